package membership

import (
	"net/netip"
	"slices"

	"pewterwheel/decide"
	"pewterwheel/internal/wire"
)

// Member is an office as listed in a file.
type Member struct {
	Name     string
	Address  netip.AddrPort
	Place    int // pool number
	Zone     int
	Weight   float64
	Draining bool
}

// ID returns the server ID of an office in a file: its name and address together, because a known name at a new
// address is another process, of which nothing is known.
func (m Member) ID() decide.ServerID { return decide.ServerID(m.Name + "/" + m.Address.String()) }

// entry is the state that a File keeps of an office.
type entry struct {
	Member
	started   int64 // 0: it was listed when this sidecar started
	removedAt int64 // when it was removed from the file; 0: it is listed
	announced wire.Office
}

// File is a list read from a configuration file, and read again on each reload. An office that was removed from the
// file is drained; it is removed from the list when no calls are left there or its linger time is over.
type File struct {
	entries      map[decide.ServerID]*entry
	inOrder      []decide.ServerID // in the order of first listing
	linger       int64
	lastNumber   uint64
	initial      []Member
	pending      []Member // new offices that are not announced yet
	pendingSince int64    // when they were read
}

// batch is the maximum number of offices added or removed at a time. Guards against delaying calls while a long list
// is reloaded: only draining is urgent and announced at once, the rest in batches.
const batch = 500

// NewFile returns a list of the members in a file. linger is how long, in microseconds, calls may continue at an
// office that was removed from the file.
func NewFile(members []Member, linger int64) *File {
	return &File{entries: map[decide.ServerID]*entry{}, linger: linger, initial: members}
}

// Start announces the whole list. The age of the offices is unknown: they are assumed to be long-running, as most
// are, and the module starts controlling each of them at once.
func (f *File) Start(_ int64, emit func(wire.Change)) error {
	f.change(0, f.initial, len(f.initial), emit)
	f.initial = nil
	return nil
}

// Address is empty: a file is read, not connected to.
func (f *File) Address() string { return "" }

// Request is never called, because there is no address.
func (f *File) Request(int64) []byte { return nil }

// Feed is never called, because there is no address.
func (f *File) Feed(int64, []byte, func(wire.Change)) error { return nil }

// LastFrame is never called, because there is no address.
func (f *File) LastFrame() int64 { return 0 }

// LastNumber returns the number of the last change, which counts the changes of the list.
func (f *File) LastNumber() uint64 { return f.lastNumber }

// Reload announces the smallest change that makes the list match a new version of the file; unchanged offices are not
// mentioned.
func (f *File) Reload(now int64, u Update, emit func(wire.Change)) error {
	f.linger = u.Linger
	f.change(now, u.Members, batch, emit)
	return nil
}

// change announces the changes from the list to the given members. New members get the given start time, and at most
// limit of them are announced now.
func (f *File) change(started int64, members []Member, limit int, emit func(wire.Change)) {
	var c wire.Change
	f.pending, f.pendingSince = nil, started
	named := make(map[decide.ServerID]bool, len(members))
	for _, m := range members {
		id := m.ID()
		named[id] = true
		e := f.entries[id]
		if e == nil && limit == 0 {
			f.pending = append(f.pending, m)
			continue
		}
		if e == nil {
			e = f.add(id)
			limit--
		}
		// An office that returns while calls are left there is the same process, as warm as before.
		e.Member, e.removedAt = m, 0
		e.announce(&c, stateOf(m))
	}
	for _, id := range f.inOrder {
		if e := f.entries[id]; !named[id] && e.removedAt == 0 {
			e.removedAt = max(1, started)
			e.announce(&c, decide.Draining)
		}
	}
	f.emitChange(c, emit)
}

func (f *File) add(id decide.ServerID) *entry {
	e := &entry{started: f.pendingSince}
	f.entries[id] = e
	f.inOrder = append(f.inOrder, id)
	return e
}

// Tick announces new offices that are pending, and removes offices that were removed from the file when no calls are
// left there or their linger time is over.
func (f *File) Tick(now int64, countCalls func(decide.ServerID) int, emit func(wire.Change)) {
	var c wire.Change
	n := min(batch, len(f.pending))
	for _, m := range f.pending[:n] {
		e := f.add(m.ID())
		e.Member = m
		e.announce(&c, stateOf(m))
	}
	f.pending = f.pending[n:]
	removed := 0
	f.inOrder = slices.DeleteFunc(f.inOrder, func(id decide.ServerID) bool {
		e := f.entries[id]
		if e.removedAt == 0 || removed == batch || now-e.removedAt < f.linger && countCalls(id) > 0 {
			return false
		}
		delete(f.entries, id)
		e.announce(&c, decide.Removed)
		removed++
		return true
	})
	f.emitChange(c, emit)
}

func (f *File) emitChange(c wire.Change, emit func(wire.Change)) {
	if len(c.Offices) > 0 {
		f.lastNumber++
		c.Number = f.lastNumber
		emit(c)
	}
}

func stateOf(m Member) decide.State {
	if m.Draining {
		return decide.Draining
	}
	return decide.Up
}

// announce adds an office to a change, unless it equals what was announced last.
func (e *entry) announce(c *wire.Change, s decide.State) {
	o := wire.Office{Address: e.Address, Listed: decide.Listed{ID: e.ID(), Place: e.Place, Zone: e.Zone, State: s,
		Share: e.Weight, Started: e.started}}
	if o != e.announced {
		e.announced = o
		c.Offices = append(c.Offices, o)
	}
}
