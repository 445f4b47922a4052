// Package membership holds what tells which offices there are: the platform's journal service, or a checked file.
// It turns what they tell into changes of the list, and decides how little a new file has to change. It owns no
// socket, no file and no clock; times are microseconds on its caller's clock.
package membership

import (
	"encoding/binary"
	"fmt"

	"pewterwheel/decide"
	"pewterwheel/internal/wire"
)

// Update is a configuration that was read anew, as far as it tells of offices.
type Update struct {
	Address string     // the journal service from now on; for a Journal
	Known   wire.Known // the journal's events up to now; for a Journal
	Zones   []string   // names of the zones, in order; for a Journal
	Members []Member   // all offices of the file; for a File
	Linger  int64      // how long calls may stand at an office that left the file; for a File
	Part    any        // what the file says for others than the list; passed on as it came
}

// Source is one place that tells which offices there are.
type Source interface {
	// Start gives what is known before anything has been asked.
	Start(now int64, take func(wire.Change)) error
	// Address names the service that has to be connected to; empty: there is none, and nothing is ever fed.
	Address() string
	// Ask begins a new connection to it and returns what is written there first.
	Ask(now int64) []byte
	// Feed takes what came on the connection and tells the changes in it, in order. After an error the connection
	// is of no more use; a new one resumes.
	Feed(now int64, data []byte, take func(wire.Change)) error
	// Heard is when the last whole frame came on the connection.
	Heard() int64
	// Reload takes a configuration that was read anew, which has been checked.
	Reload(now int64, u Update, take func(wire.Change)) error
	// Tick tells what has come due by time alone; stands tells how many calls stand at an office, or are out there.
	// It is called several times a second.
	Tick(now int64, stands func(decide.ServerID) int, take func(wire.Change))
	// Last is the number of the last change taken.
	Last() uint64
}

// SkippedError tells that changes are missing before one that came.
type SkippedError struct{ Last, Number uint64 }

func (e *SkippedError) Error() string {
	return fmt.Sprintf("journal went from event %d to %d", e.Last, e.Number)
}

// Journal is the subscription to the platform's journal service.
type Journal struct {
	address string
	known   wire.Known
	zones   []string
	in      []byte
	last    uint64
	heard   int64
}

// NewJournal returns a subscription that knows the events of a configuration.
func NewJournal(address string, known wire.Known, zones []string) *Journal {
	return &Journal{address: address, known: known, zones: zones}
}

// Start gives the events of the configuration.
func (j *Journal) Start(_ int64, take func(wire.Change)) error {
	for _, entry := range j.known.Entries {
		c, err := entry.Change(j.zones)
		if err != nil {
			return fmt.Errorf("known: %w", err)
		}
		take(c)
	}
	j.last, j.known = j.known.Last, wire.Known{}
	return nil
}

// Address is the journal service's.
func (j *Journal) Address() string { return j.address }

// Ask asks for all that came after the last event taken.
func (j *Journal) Ask(now int64) []byte {
	j.in, j.heard = nil, now
	return binary.BigEndian.AppendUint64(nil, j.last)
}

// Heard is when the last whole frame came.
func (j *Journal) Heard() int64 { return j.heard }

// Last is the number of the last event taken.
func (j *Journal) Last() uint64 { return j.last }

// Tick tells nothing: the journal does.
func (j *Journal) Tick(int64, func(decide.ServerID) int, func(wire.Change)) {}

// Feed reads frames. Changes only hold on top of all earlier ones, so a gap is an error.
func (j *Journal) Feed(now int64, data []byte, take func(wire.Change)) error {
	buf := append(j.in, data...)
	for {
		c, n, err := wire.NextFrame(buf)
		if err != nil {
			return err
		}
		if n == 0 {
			break
		}
		buf, j.heard = buf[n:], now // a frame that never ends is silence, too
		if c.Empty || c.Number <= j.last {
			continue
		}
		if c.Number > j.last+1 && !c.Whole {
			return &SkippedError{j.last, c.Number}
		}
		j.last = c.Number
		take(c)
	}
	j.in = append([]byte(nil), buf...)
	return nil
}

// Reload takes events that the file already knows, so that they need not be waited for, and moves to the address
// that it names. The numbers go on there. A file of which any event cannot be read changes nothing.
func (j *Journal) Reload(_ int64, u Update, take func(wire.Change)) error {
	var changes []wire.Change
	for _, entry := range u.Known.Entries {
		c, err := entry.Change(j.zones)
		if err != nil {
			return fmt.Errorf("known: %w", err)
		}
		changes = append(changes, c)
	}
	j.address = u.Address
	for _, c := range changes {
		if c.Number <= j.last || c.Number > j.last+1 && !c.Whole {
			continue
		}
		j.last = c.Number
		take(c)
	}
	return nil
}
