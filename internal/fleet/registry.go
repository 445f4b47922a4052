package fleet

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
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
	// leftFor: one that said that it leaves is left out after this, if the membership has not reported its end before.
	leftFor = 10_000_000
	// MaxMembers bounds the processes of a fleet, those included that are gone and remembered. With MaxEntry it bounds the
	// memory for coded entries: 24 MiB; three hundred processes with entries of 2 KiB take 0.6 MiB.
	MaxMembers = 4096
	// maxIncarnationBumps: so many times a process takes a higher life than one it hears of its own name, before it says that the
	// name is used twice. One is usual after a start with a clock that stepped back.
	maxIncarnationBumps = 3
)

// NameTwiceError is a second living process under this one's name.
type NameTwiceError struct {
	Name  string
	Times int
}

func (e *NameTwiceError) Error() string {
	return fmt.Sprintf("fleet: another process goes by the name %s: it wrote over this one's entry %d times", e.Name, e.Times)
}

// Advice says what an operator can do.
func (e *NameTwiceError) Advice() string {
	return "Find the other process that was started with the same --member, and end one of the two; start it again under a name of its own."
}

// FullError is a process for which there is no room in the book.
type FullError struct{ Name string }

func (e *FullError) Error() string {
	return fmt.Sprintf("fleet: no room for %s beside %d processes", e.Name, MaxMembers)
}

// Advice says what an operator can do.
func (e *FullError) Advice() string {
	return "Look which names come and go: a fleet of over 4,000 processes is to be split into clusters of their own."
}

// Counts are what a book has taken in and passed by.
type Counts struct {
	Entries uint64 // taken: they were newer
	Old     uint64 // no newer than what was known
	Garbage uint64 // could not be read, or over a bound
	Full    uint64 // no room
	Raised  uint64 // times this process took a higher life than one heard of its own name
	Over    uint64 // own entries that were over size even when all was shed
}

type record struct {
	entry *Entry
	raw   []byte
	heard int64 // when its newest entry came, by this process's clock
	gone  int64 // since when the membership says that it is gone; 0: it does not
	since int64 // since when it is as the last view has it
	left  bool  // of the view
	bad   bool  // suspected, as the last view has it
}

// Registry merges the entries of all processes as one of them hears them. Only its own process writes that one's entry. It
// belongs to one goroutine. Between two books that were told the same entries, in whatever order and how often, the entries
// are the same; what is suspected is each one's own.
type Registry struct {
	Counts Counts
	Stale  int64 // microseconds; DefaultStale where it is 0
	Absent int64 // microseconds; DefaultAbsent where it is 0

	own     *Entry
	ownRaw  []byte
	records map[string]*record
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
	b := &Registry{own: &self, records: map[string]*record{}}
	b.Write(func(*Entry) {})
	return b
}

// Own is the process's own entry as it stands. It must not be written to but in Write.
func (b *Registry) Own() *Entry { return b.own }

// Write changes the process's own entry and returns it, coded, to be spread. Name, life and version are the book's.
func (b *Registry) Write(change func(*Entry)) []byte {
	e := *b.own // views hold the last one
	e.Windows, e.Parts = slices.Clone(e.Windows), maps.Clone(e.Parts)
	change(&e)
	e.Name, e.Incarnation, e.Version = b.own.Name, b.own.Incarnation, b.own.Version+1
	for k, body := range e.Parts {
		if len(body) > MaxBody || len(body) == 0 {
			delete(e.Parts, k)
		}
	}
	raw := e.Encode()
	if len(raw) > MaxEntry {
		b.Counts.Over++
		e.Parts = nil
		raw = e.Encode()
	}
	b.own, b.ownRaw, b.changed = &e, raw, true
	return raw
}

// Newer tells whether a life and version come after another.
func Newer(incarnation, version, thanIncarnation, thanVersion uint64) bool {
	return incarnation > thanIncarnation || incarnation == thanIncarnation && version > thanVersion
}

// Take takes in a coded entry that came from anywhere. Spread is what is to be passed on: the entry where it was newer than
// what was known, or the process's own where it had to take a higher life; nil: nothing. Name is whose entry Spread is. The
// error is an *EntryError, a *FullError or a *NameTwiceError; it is counted, and nothing else has to be done about it.
func (b *Registry) Take(now int64, raw []byte) (name string, spread []byte, err error) {
	e, err := DecodeEntry(raw)
	if err != nil {
		b.Counts.Garbage++
		return "", nil, err
	}
	if e.Name == b.own.Name {
		return b.ofOwn(e, raw)
	}
	r := b.records[e.Name]
	if r == nil {
		if len(b.records) >= MaxMembers-1 && !b.makeRoom() {
			b.Counts.Full++
			return "", nil, &FullError{e.Name}
		}
		r = &record{since: now}
		b.records[e.Name] = r
	} else if !b.after(e, raw, r) {
		b.Counts.Old++
		return "", nil, nil
	}
	if r.entry != nil && e.Incarnation > r.entry.Incarnation {
		r.gone, r.since = 0, now // what was said of an earlier life says nothing of this one
	}
	r.entry, r.raw, r.heard = e, bytes.Clone(raw), now
	b.Counts.Entries++
	b.changed = true
	return e.Name, r.raw, nil
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

// ofOwn takes what is told of this process. An earlier life whose clock was ahead of this one's would shadow it, so this
// life takes a higher number.
func (b *Registry) ofOwn(e *Entry, raw []byte) (string, []byte, error) {
	o := b.own
	if e.Incarnation < o.Incarnation || e.Incarnation == o.Incarnation && (e.Version < o.Version || bytes.Equal(raw, b.ownRaw)) {
		b.Counts.Old++
		return "", nil, nil
	}
	b.Counts.Raised++
	b.raised++
	next := *o
	next.Incarnation, next.Version = min(e.Incarnation+1, maxIncarnation), 0
	b.own = &next
	spread := b.Write(func(*Entry) {})
	if b.raised > maxIncarnationBumps {
		return o.Name, spread, &NameTwiceError{o.Name, b.raised}
	}
	return o.Name, spread, nil
}

// makeRoom forgets the process that has been out of the view for longest.
func (b *Registry) makeRoom() bool {
	oldest := ""
	for name, r := range b.records {
		if r.left && (oldest == "" || cmp.Or(cmp.Compare(r.heard, b.records[oldest].heard), cmp.Compare(name, oldest)) < 0) {
			oldest = name
		}
	}
	delete(b.records, oldest)
	return oldest != ""
}

// IntervalFactor is how many times less often than each window's usual length processes tell of themselves, for their number. Whom
// this process shows is counted, so it does not jump when many are remembered that have gone.
func (b *Registry) IntervalFactor() int64 { return 1 + int64(b.shown/MembersPerSlot) }

// Up says that the membership sees a process.
func (b *Registry) Up(now int64, name string) {
	if r := b.records[name]; r != nil && r.gone != 0 {
		r.gone, r.heard, b.changed = 0, now, true
	}
}

// Gone says that the membership no longer sees a process. That is no proof of its end.
func (b *Registry) Gone(now int64, name string) {
	if r := b.records[name]; r != nil && r.gone == 0 {
		r.gone, b.changed = max(1, now), true
	}
}

// stateOf tells whether a process is suspected, and whether it is left out of the view.
func (b *Registry) stateOf(now int64, r *record) (suspect, left bool) {
	stale, absent := cmp.Or(b.Stale, DefaultStale)*b.IntervalFactor(), cmp.Or(b.Absent, DefaultAbsent)
	quiet := now - r.heard
	if r.entry.State == Leaving && (r.gone != 0 || quiet >= leftFor) {
		return true, true
	}
	suspect = r.gone != 0 || quiet >= stale
	left = r.gone != 0 && now-r.gone >= absent || quiet >= absent+stale
	return suspect, left
}

// View returns a new view if anything has changed since the last one; nil: nothing has.
func (b *Registry) View(now int64) *View {
	for _, r := range b.records {
		suspect, left := b.stateOf(now, r)
		if suspect != r.bad || left != r.left {
			r.bad, r.left, r.since, b.changed = suspect, left, now, true
		}
	}
	if !b.changed {
		return nil
	}
	b.changed = false
	b.number++
	v := &View{Number: b.number, Self: b.own.Name, Members: make([]Member, 0, len(b.records)+1)}
	v.Members = append(v.Members, Member{Entry: *b.own})
	for _, name := range slices.Sorted(maps.Keys(b.records)) {
		if r := b.records[name]; !r.left {
			v.Members = append(v.Members, Member{Entry: *r.entry, Suspect: r.bad, Since: r.since})
		}
	}
	b.shown = len(v.Members) - 1
	slices.SortFunc(v.Members, func(x, y Member) int { return cmp.Compare(x.Name, y.Name) })
	return v
}

// Known gives the coded entries of all that are known and in the view, by name.
func (b *Registry) Known(put func(name string, raw []byte)) {
	put(b.own.Name, b.ownRaw)
	for _, name := range slices.Sorted(maps.Keys(b.records)) {
		if r := b.records[name]; !r.left {
			put(name, r.raw)
		}
	}
}

// Size is how many bytes of coded entries are kept, and of how many processes, this one included.
func (b *Registry) Size() (bytes, processes int) {
	bytes = len(b.ownRaw)
	for _, r := range b.records {
		bytes += len(r.raw)
	}
	return bytes, len(b.records) + 1
}
