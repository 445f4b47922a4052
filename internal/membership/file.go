package membership

import (
	"net/netip"
	"slices"

	"pewterwheel/decide"
	"pewterwheel/internal/wire"
)

// Member is an office as a file names it.
type Member struct {
	Name     string
	Address  netip.AddrPort
	Place    int // pool number
	Zone     int
	Weight   float64
	Draining bool
}

// ID names an office of a file: by its name and address together, for a known name at a new address is another
// process, of which nothing is known.
func (m Member) ID() decide.ServerID { return decide.ServerID(m.Name + "/" + m.Address.String()) }

// entry is what a File keeps of an office.
type entry struct {
	Member
	started int64 // 0: it was there when this sidecar started
	left    int64 // since when it is off the file; 0: it is on it
	told    wire.Office
}

// File is a list that a configuration file gives, and gives anew on each reload. An office that has left the file is
// drained, and removed once nothing stands there or its linger time is over.
type File struct {
	entries map[decide.ServerID]*entry
	order   []decide.ServerID // as first named
	linger  int64
	number  uint64
	first   []Member
	rest    []Member // new offices that are still to be told
	since   int64    // when they were read
}

// batch is how many offices are added or removed at a time. Guards against a reload of a long list holding up the calls
// that pass: what must not wait, that an office is drained, is told at once, and the rest by and by.
const batch = 500

// NewFile returns a list of the members that a file names. Microseconds of linger are how long calls may go on standing
// at an office that has left the file.
func NewFile(members []Member, linger int64) *File {
	return &File{entries: map[decide.ServerID]*entry{}, linger: linger, first: members}
}

// Start gives the whole list. Nothing is known of the offices' age: they are taken to have been there for long, as
// most have, and the module starts each of them under control.
func (f *File) Start(_ int64, take func(wire.Change)) error {
	f.change(0, f.first, len(f.first), take)
	f.first = nil
	return nil
}

// Address is empty: a file has to be read, not connected to.
func (f *File) Address() string { return "" }

// Ask is never called, for there is no address.
func (f *File) Ask(int64) []byte { return nil }

// Feed is never called, for there is no address.
func (f *File) Feed(int64, []byte, func(wire.Change)) error { return nil }

// Heard is never asked, for there is no address.
func (f *File) Heard() int64 { return 0 }

// Last is the number of the last change: how often the list has changed.
func (f *File) Last() uint64 { return f.number }

// Reload turns a file read anew into the smallest change: nothing is said of what stays as it is.
func (f *File) Reload(now int64, u Update, take func(wire.Change)) error {
	f.linger = u.Linger
	f.change(now, u.Members, batch, take)
	return nil
}

// change tells what a list of members changes; those that are new started at the given time, and so many of them are
// told now.
func (f *File) change(started int64, members []Member, now int, take func(wire.Change)) {
	var c wire.Change
	f.rest, f.since = nil, started
	named := make(map[decide.ServerID]bool, len(members))
	for _, m := range members {
		id := m.ID()
		named[id] = true
		e := f.entries[id]
		if e == nil && now == 0 {
			f.rest = append(f.rest, m)
			continue
		}
		if e == nil {
			e = f.add(id)
			now--
		}
		// One that comes back while calls still stand there is the same process, as warm as before.
		e.Member, e.left = m, 0
		e.tell(&c, stateOf(m))
	}
	for _, id := range f.order {
		if e := f.entries[id]; !named[id] && e.left == 0 {
			e.left = max(1, started)
			e.tell(&c, decide.Draining)
		}
	}
	f.tell(c, take)
}

func (f *File) add(id decide.ServerID) *entry {
	e := &entry{started: f.since}
	f.entries[id] = e
	f.order = append(f.order, id)
	return e
}

// Tick adds new offices that are still to be told, and removes those that have left the file and at which nothing stands
// any more, or has for too long.
func (f *File) Tick(now int64, stands func(decide.ServerID) int, take func(wire.Change)) {
	var c wire.Change
	n := min(batch, len(f.rest))
	for _, m := range f.rest[:n] {
		e := f.add(m.ID())
		e.Member = m
		e.tell(&c, stateOf(m))
	}
	f.rest = f.rest[n:]
	removed := 0
	f.order = slices.DeleteFunc(f.order, func(id decide.ServerID) bool {
		e := f.entries[id]
		if e.left == 0 || removed == batch || now-e.left < f.linger && stands(id) > 0 {
			return false
		}
		delete(f.entries, id)
		e.tell(&c, decide.Removed)
		removed++
		return true
	})
	f.tell(c, take)
}

func (f *File) tell(c wire.Change, take func(wire.Change)) {
	if len(c.Offices) > 0 {
		f.number++
		c.Number = f.number
		take(c)
	}
}

func stateOf(m Member) decide.State {
	if m.Draining {
		return decide.Draining
	}
	return decide.Up
}

// tell adds an office to a change, unless it would say what was said last.
func (e *entry) tell(c *wire.Change, s decide.State) {
	o := wire.Office{Address: e.Address, Listed: decide.Listed{ID: e.ID(), Place: e.Place, Zone: e.Zone, State: s,
		Share: e.Weight, Started: e.started}}
	if o != e.told {
		e.told = o
		c.Offices = append(c.Offices, o)
	}
}
