// Package membership provides the sources of the list of offices: the platform's journal service, or a checked file.
// It turns their data into changes of the list, and determines the smallest change for a new version of a file. It
// owns no socket, file or clock; times are microseconds of its caller's clock.
package membership

import (
	"encoding/binary"
	"fmt"

	"pewterwheel/decide"
	"pewterwheel/internal/wire"
)

// Update is the part of a reloaded configuration that describes the offices.
type Update struct {
	Address string     // for a Journal: the new address of the journal service
	Known   wire.Known // for a Journal: the journal's events up to now
	Zones   []string   // for a Journal: names of the zones, in order
	Members []Member   // for a File: all offices in the file
	Linger  int64      // for a File: how long calls may continue at an office removed from the file
	Other   any        // settings that do not concern the list; passed on unchanged
}

// Source is a source of the list of offices.
type Source interface {
	// Start reports what is known before the first connection.
	Start(now int64, emit func(wire.Change)) error
	// Address returns the address of the service to connect to. If it is empty, there is none and Feed is never
	// called.
	Address() string
	// Request begins a new connection to the service and returns the data to write on it first.
	Request(now int64) []byte
	// Feed parses data received on the connection and reports the changes in it, in order. After an error the
	// connection must be closed; a new one resumes.
	Feed(now int64, data []byte, emit func(wire.Change)) error
	// LastFrame returns when the last complete frame was received on the connection.
	LastFrame() int64
	// Reload applies a reloaded configuration, which has already been checked.
	Reload(now int64, u Update, emit func(wire.Change)) error
	// Tick reports changes that are due to the passage of time. countCalls returns the number of calls established or
	// outstanding at an office. Tick is called several times a second.
	Tick(now int64, countCalls func(decide.ServerID) int, emit func(wire.Change))
	// LastNumber returns the number of the last change reported.
	LastNumber() uint64
}

// SkippedError reports that changes are missing before a received one.
type SkippedError struct{ Last, Number uint64 }

func (e *SkippedError) Error() string {
	return fmt.Sprintf("journal skipped events: event %d was followed by event %d", e.Last, e.Number)
}

// Journal is the subscription to the platform's journal service.
type Journal struct {
	address    string
	known      wire.Known
	zones      []string
	buffer     []byte
	lastNumber uint64
	lastFrame  int64
}

// NewJournal returns a subscription that already knows the events of a configuration.
func NewJournal(address string, known wire.Known, zones []string) *Journal {
	return &Journal{address: address, known: known, zones: zones}
}

// Start reports the events of the configuration.
func (j *Journal) Start(_ int64, emit func(wire.Change)) error {
	for _, entry := range j.known.Entries {
		c, err := entry.Change(j.zones)
		if err != nil {
			return fmt.Errorf("known journal events: %w", err)
		}
		emit(c)
	}
	j.lastNumber, j.known = j.known.Last, wire.Known{}
	return nil
}

// Address returns the address of the journal service.
func (j *Journal) Address() string { return j.address }

// Request requests all events after the last one reported.
func (j *Journal) Request(now int64) []byte {
	j.buffer, j.lastFrame = nil, now
	return binary.BigEndian.AppendUint64(nil, j.lastNumber)
}

// LastFrame returns when the last complete frame was received.
func (j *Journal) LastFrame() int64 { return j.lastFrame }

// LastNumber returns the number of the last event reported.
func (j *Journal) LastNumber() uint64 { return j.lastNumber }

// Tick does nothing: changes come only from the journal.
func (j *Journal) Tick(int64, func(decide.ServerID) int, func(wire.Change)) {}

// Feed parses frames. A change applies only on top of all earlier ones, so a gap is an error.
func (j *Journal) Feed(now int64, data []byte, emit func(wire.Change)) error {
	buf := append(j.buffer, data...)
	for {
		change, n, err := wire.NextFrame(buf)
		if err != nil {
			return err
		}
		if n == 0 {
			break
		}
		buf, j.lastFrame = buf[n:], now // an incomplete frame counts as silence
		if change.Empty || change.Number <= j.lastNumber {
			continue
		}
		if change.Number > j.lastNumber+1 && !change.Whole {
			return &SkippedError{j.lastNumber, change.Number}
		}
		j.lastNumber = change.Number
		emit(change)
	}
	j.buffer = append([]byte(nil), buf...)
	return nil
}

// Reload reports the events in the configuration, so that they need not be received, and switches to the address in
// it. Event numbers continue there. A configuration with an event that cannot be read changes nothing.
func (j *Journal) Reload(_ int64, u Update, emit func(wire.Change)) error {
	var changes []wire.Change
	for _, entry := range u.Known.Entries {
		c, err := entry.Change(j.zones)
		if err != nil {
			return fmt.Errorf("known journal events: %w", err)
		}
		changes = append(changes, c)
	}
	j.address = u.Address
	for _, c := range changes {
		if c.Number <= j.lastNumber || c.Number > j.lastNumber+1 && !c.Whole {
			continue
		}
		j.lastNumber = c.Number
		emit(c)
	}
	return nil
}
