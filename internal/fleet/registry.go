package fleet

import (
	"bytes"
	"cmp"
	"slices"
)

// Times and bounds of a Registry, in microseconds.
const (
	// DefaultStale: a process of which nothing newer has been heard for this long is suspected, also where the membership
	// still sees it: it may be stopped, or cut off in one direction.
	DefaultStale = 5_000_000
	// DefaultAbsent: a suspected process is left out of the view after this. Nothing exclusive may hang on it.
	DefaultAbsent = 300_000_000
	// MembersPerSlot processes can tell of themselves once a second within what spreads from each; where there are more, all tell so many
	// times less often, their windows are so many times longer, and it takes so many times longer until quiet is suspect.
	MembersPerSlot = 32
	// DefaultHeartbeat: a process that speaks ProtocolHeads tells of itself so often, also when nothing has changed.
	DefaultHeartbeat = 30_000_000
	// heartbeatsMissed: such a process, which the membership sees, is suspected after so many heartbeats that did not come.
	heartbeatsMissed = 3
	// leftFor: one that said that it leaves is left out after this, if the membership has not reported its end before.
	leftFor = 10_000_000
	// MaxMembers bounds the processes of a fleet, those included that are gone and remembered. With MaxEntry it bounds the
	// memory for coded entries: 24 MiB; three hundred processes with entries of 2 KiB take 0.6 MiB.
	MaxMembers = 4096
	// maxIncarnationBumps: so many times a process takes a higher life than one it hears of its own name, before it says that the
	// name is used twice. One is usual after a start with a clock that stepped back.
	maxIncarnationBumps = 3
)

// Counts are what a book has taken in and passed by.
type Counts struct {
	Entries uint64 // taken: they were newer
	Old     uint64 // no newer than what was known
	Garbage uint64 // could not be read, or over a bound
	Full    uint64 // no room
	Raised  uint64 // times this process took a higher life than one heard of its own name
	Over    uint64 // own entries that were over size even when all was shed
	Updates uint64 // updates taken: they were newer
	Gaps    uint64 // updates on top of an entry that is not known here; repair brings both
	Windows uint64 // windows of others that were taken in by AddWindow
}

type record struct {
	entry     *Entry
	raw       []byte
	update    *Update // on top of entry; nil: none
	rawUpdate []byte
	windows   []Window // that it was asked for, in this incarnation; the newest last
	listed    bool     // in the digest
	seen      bool     // the membership sees it
	heard     int64    // when its newest entry came, by this process's clock
	gone      int64    // since when the membership says that it is gone; 0: it does not
	since     int64    // since when it is as the last view has it
	left      bool     // of the view
	bad       bool     // suspected, as the last view has it
}

// Registry merges the entries of all processes as one of them hears them. Only its own process writes that one's entry. It
// belongs to one goroutine. Between two books that were told the same entries, in whatever order and how often, the entries
// are the same; what is suspected is each one's own.
type Registry struct {
	Counts Counts
	Stale  int64 // microseconds; DefaultStale where it is 0
	Absent int64 // microseconds; DefaultAbsent where it is 0

	// Heads: the own entry is spread without its windows, which stand in the own views alone.
	Heads bool

	own     *Entry
	ownRaw  []byte
	ownBase *Entry // as it was coded whole the last time
	update  []byte // of the own entry, on top of that
	records map[string]*record
	names   []string        // of all records and the own, sorted
	seen    map[string]bool // whom the membership sees
	older   int             // others in the last view that are heard and speak ProtocolWindows
	digest  digest
	number  uint64
	shown   int // others in the last view
	raised  int
	changed bool
	loose   bool // only for tests: an earlier life may shadow a later one
}

// NewRegistry returns the book of a process that starts: self with a Name, an Incarnation from a wall clock, which may be wrong,
// and what else it knows of itself. Its Version becomes 1.
func NewRegistry(self Entry) *Registry {
	self.Incarnation = min(max(1, self.Incarnation), maxIncarnation)
	self.Version = 0
	b := &Registry{own: &self, records: map[string]*record{}, seen: map[string]bool{}, names: []string{self.Name}}
	b.digest.toggle(self.newest())
	b.Write(func(*Entry) {})
	return b
}

// Newer tells whether a life and version come after another.
func Newer(incarnation, version, thanIncarnation, thanVersion uint64) bool {
	return incarnation > thanIncarnation || incarnation == thanIncarnation && version > thanVersion
}

// Take takes in a coded entry that came from anywhere. Spread is what is to be passed on: the entry where it was newer than
// what was known, or the process's own where it had to take a higher incarnation; nil: nothing. Name is whose entry Spread
// is. The error is an *EntryError, a *FullError or a *NameTwiceError; it is counted, and nothing else has to be done about it.
func (b *Registry) Take(now int64, raw []byte) (name string, spread []byte, err error) {
	e, err := DecodeEntry(raw)
	if err != nil {
		b.Counts.Garbage++
		return "", nil, err
	}
	if e.Name == b.own.Name {
		return b.ofOwn(e.Incarnation, e.Version, bytes.Equal(raw, b.ownRaw))
	}
	r := b.records[e.Name]
	if r == nil {
		if r, err = b.enter(now, e.Name); err != nil {
			return "", nil, err
		}
	} else if !b.after(e, raw, r) {
		b.Counts.Old++
		return "", nil, nil
	}
	b.unlist(r)
	if r.entry != nil && e.Incarnation > r.entry.Incarnation {
		r.gone, r.since = 0, now // what was said of an earlier incarnation says nothing of this one
		r.windows = nil
	}
	r.entry, r.raw, r.heard = e, bytes.Clone(raw), now
	r.update, r.rawUpdate = nil, nil
	b.list(r)
	b.Counts.Entries++
	b.changed = true
	return e.Name, r.raw, nil
}

// TakeUpdate takes in a coded update that came from anywhere. Name is whose it is, and spread what is to be passed on; nil:
// nothing. The error is an *EntryError or a *NameTwiceError; it is counted.
func (b *Registry) TakeUpdate(now int64, raw []byte) (name string, spread *Coded, err error) {
	u, err := DecodeUpdate(raw)
	if err != nil {
		b.Counts.Garbage++
		return "", nil, err
	}
	if u.Name == b.own.Name {
		name, whole, err := b.ofOwn(u.Incarnation, u.Version, bytes.Equal(raw, b.update))
		if whole == nil {
			return "", nil, err
		}
		return name, &Coded{Entry: whole}, err
	}
	r := b.records[u.Name]
	switch {
	case r == nil || Newer(u.Incarnation, u.Base, r.entry.Incarnation, r.entry.Version):
		b.Counts.Gaps++
		return "", nil, nil
	case u.Incarnation != r.entry.Incarnation || u.Base != r.entry.Version || !r.olderThan(u, raw):
		b.Counts.Old++
		return "", nil, nil
	}
	b.unlist(r)
	r.update, r.rawUpdate, r.heard = u, bytes.Clone(raw), now
	b.list(r)
	b.Counts.Updates++
	b.changed = true
	return u.Name, &Coded{r.raw, r.rawUpdate}, nil
}

// olderThan tells whether an update on top of the record's entry takes the place of the record's. Two of one version should
// not be; where they differ all the same, all registries choose alike.
func (r *record) olderThan(u *Update, raw []byte) bool {
	switch {
	case r.update == nil || u.Version > r.update.Version:
		return true
	case u.Version == r.update.Version:
		return bytes.Compare(raw, r.rawUpdate) > 0
	}
	return false
}

// AddWindow takes a window of figures that another process sent, to stand in the views to come. False: it is of a process
// or an incarnation that is not the one known.
func (b *Registry) AddWindow(h HeardWindow) bool {
	r := b.records[h.Name]
	if r == nil || r.entry.Incarnation != h.Incarnation {
		return false
	}
	r.windows = append(slices.Clone(r.windows), h.Window) // views hold the last ones
	if n := len(r.windows); n > MaxWindows {
		r.windows = r.windows[n-MaxWindows:]
	}
	b.Counts.Windows++
	b.changed = true
	return true
}

// enter makes room for a process that was not known.
func (b *Registry) enter(now int64, name string) (*record, error) {
	if len(b.records) >= MaxMembers-1 && !b.makeRoom() {
		b.Counts.Full++
		return nil, &FullError{name}
	}
	r := &record{since: now, seen: b.seen[name]}
	b.records[name] = r
	at, _ := slices.BinarySearch(b.names, name)
	b.names = slices.Insert(b.names, at, name)
	return r, nil
}

// list takes a record into the digest.
func (b *Registry) list(r *record) {
	if !r.listed && !r.left {
		r.listed = true
		b.digest.toggle(r.newest())
	}
}

// unlist takes a record out of the digest.
func (b *Registry) unlist(r *record) {
	if r.listed {
		r.listed = false
		b.digest.toggle(r.newest())
	}
}

// newest is the newest version that is known.
func (r *record) newest() Version {
	v := r.entry.newest()
	if r.update != nil {
		v.Version = r.update.Version
	}
	return v
}

// member is the process as a view shows it.
func (r *record) member() Member {
	m := Member{Entry: *r.entry, Suspect: r.bad, Since: r.since}
	if u := r.update; u != nil {
		m.Version, m.State, m.Settings, m.Roster = u.Version, u.State, u.Settings, u.Roster
	}
	if r.windows != nil && r.entry.Windows == nil {
		m.Windows = r.windows
	}
	return m
}

// after tells whether an entry takes the place of what is known. Two of one life and version should not be; where they
// differ all the same, all books choose alike.
func (b *Registry) after(e *Entry, raw []byte, r *record) bool {
	if b.loose {
		return e.Version > r.entry.Version
	}
	if e.Incarnation == r.entry.Incarnation && e.Version == r.entry.Version {
		return bytes.Compare(raw, r.raw) > 0
	}
	return Newer(e.Incarnation, e.Version, r.entry.Incarnation, r.entry.Version)
}

// makeRoom forgets the process that has been out of the view for longest.
func (b *Registry) makeRoom() bool {
	oldest := ""
	for name, r := range b.records {
		if r.left && (oldest == "" || cmp.Or(cmp.Compare(r.heard, b.records[oldest].heard), cmp.Compare(name, oldest)) < 0) {
			oldest = name
		}
	}
	if oldest == "" {
		return false
	}
	delete(b.records, oldest)
	at, _ := slices.BinarySearch(b.names, oldest)
	b.names = slices.Delete(b.names, at, at+1)
	return true
}

// IntervalFactor is how many times less often than each window's usual length processes tell of themselves, for their number. Whom
// this process shows is counted, so it does not jump when many are remembered that have gone.
func (b *Registry) IntervalFactor() int64 { return 1 + int64(b.shown/MembersPerSlot) }

// Older is how many of the processes that are heard speak ProtocolWindows, as of the last view.
func (b *Registry) Older() int { return b.older }

// Changed tells whether there is anything that the last view does not show, beside who has gone quiet since.
func (b *Registry) Changed() bool { return b.changed }

// View returns a new view if anything has changed since the last one; nil: nothing has.
func (b *Registry) View(now int64) *View {
	b.judge(now)
	if !b.changed {
		return nil
	}
	b.changed = false
	b.number++
	b.older = 0
	v := &View{Number: b.number, Self: b.own.Name, Members: make([]Member, 0, len(b.names))}
	for _, name := range b.names {
		if name == b.own.Name {
			v.Members = append(v.Members, Member{Entry: *b.own})
			continue
		}
		r := b.records[name]
		if r.left {
			continue
		}
		if !r.bad && r.entry.Protocol < ProtocolHeads && r.entry.State != Leaving {
			b.older++
		}
		v.Members = append(v.Members, r.member())
	}
	b.shown = len(v.Members) - 1
	return v
}

// Known gives what is known of all that are in the view, by name.
func (b *Registry) Known(put func(name string, known Coded)) {
	for _, name := range b.names {
		if known, ok := b.Coded(name); ok && (name == b.own.Name || !b.records[name].left) {
			put(name, known)
		}
	}
}

// Coded returns the newest that is known of a process.
func (b *Registry) Coded(name string) (Coded, bool) {
	if name == b.own.Name {
		return Coded{b.ownRaw, b.update}, true
	}
	r := b.records[name]
	if r == nil {
		return Coded{}, false
	}
	return Coded{r.raw, r.rawUpdate}, true
}

// Size is how many bytes of coded entries are kept, and of how many processes, this one included.
func (b *Registry) Size() (bytes, processes int) {
	bytes = len(b.ownRaw)
	for _, r := range b.records {
		bytes += len(r.raw) + len(r.rawUpdate)
	}
	return bytes, len(b.records) + 1
}
