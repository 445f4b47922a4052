package lease

import (
	"bytes"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"pewterwheel/internal/fleet"
)

// Config is what a part is made from. Times are microseconds.
type Config struct {
	Self        string
	Incarnation uint64 // this life of the process; higher than that of every earlier one
	Seed        uint64 // of the jitter

	Roster uint64   // the roster's number, from 1
	Names  []string // of the roster
	// Previous are the names of the roster before, if processes may still act under it; nil: none does. A process that is told
	// a new roster while it runs (SetRoster) needs none: it knows the one before.
	Previous []string

	Electors int     // of a thing, at the most, and 9 are the most; 0: 5
	Lease    int64   // how long a vote lasts; 0: 3 s. Messages should come back within an eighth of it.
	Drift    float64 // by how much the rates of two processes' monotonic clocks may differ at the most; 0: 0.01
	// Floor is lower than every fence to come and not lower than any given before all electors were last restarted together,
	// as milliseconds of the wall clock are, while fewer than a thousand grants a second are made. 0: nothing is known.
	Floor uint64
	// MaxThings bounds what an elector keeps; 0: 4,096. When it is reached, things that nobody has claimed for Keep are
	// forgotten, the longest unused first; Keep 0: an hour.
	MaxThings int
	Keep      int64
	// Renewals makes a note of each renewal, too, for tests that read the history.
	Renewals bool
}

// doctor takes safeguards out, one by one, for the tests that must see each of them missing.
type doctor struct {
	noStartWait    bool // votes at once after a start
	noRecovery     bool // votes without having learnt what it forgot
	noMargin       bool // holds for a whole lease
	countFromReply bool // counts from the answer, not from before the question
	oneMajority    bool // asks only the new roster's electors while it is young
	noRosterNumber bool // votes whatever roster the claim is under
	noSeal         bool // does not note the number of a newer roster that it hears of
	noFence        bool // votes for a fence that is not above the highest
	voteOver       bool // votes for another while its vote runs
	smallMajority  bool // is content with half, rounded down
	noRestore      bool // does not store the record anew under its own fence
	noGate         bool // lets whoever is told to act take a lower fence; the tests' gates look at it
	calm           bool // is no safeguard: jitter is 0, for the search
}

// Part is the leases of one process: as an elector of things and as a claimant of some. It implements fleet.Module and Lessor.
// It is not safe for concurrent use.
type Part struct {
	cfg    Config
	doctor doctor
	margin int64 // the most by which a clock may run away from another one over a lease
	retry  int64 // first distance of repeats
	rng    rand.PCG

	now        int64
	roster     uint64
	names, old []string // of the roster, and of the one before; nil: not known
	young      int64    // until when this process needs both majorities
	seen       uint64   // the highest roster number heard of; claims under a lower one are refused
	voteFrom   int64    // when a lease has passed since the start
	base       uint64   // the highest fence heard of any thing; claims begin above it
	floor      uint64   // no fence up to it is voted for where all have forgotten: what was given at the start, told in entries, forgotten
	gen        uint64   // how often a thing was forgotten

	things map[string]*thing
	busy   []*thing // those that are learning, in order of their beginning
	claims []*claim // by thing
	seq    uint64
	local  []body // messages to itself
	hints  map[string]hint
	parts  map[string]readPart // of the newest view, by member
	toldAt told
	retell bool
	counts counts
}

type hint struct {
	name  string
	fence uint64
}

type counts struct {
	sent, received, unread, votes, refusals, grants, lapses, releases, renewals, attempts, learnt, forgotten, lostWrites uint64
}

var (
	_ fleet.Module = (*Part)(nil)
	_ Lessor       = (*Part)(nil)
)

// New makes a part that knows nothing of earlier lives.
func New(c Config) *Part {
	c.Roster = max(c.Roster, 1)
	if c.Electors <= 0 {
		c.Electors = 5
	}
	c.Electors = min(c.Electors, maxElectors)
	if c.Lease <= 0 {
		c.Lease = 3_000_000
	}
	if c.Drift <= 0 || c.Drift >= 1 {
		c.Drift = 0.01
	}
	if c.MaxThings <= 0 {
		c.MaxThings = 4096
	}
	if c.Keep <= 0 {
		c.Keep = 3_600_000_000
	}
	c.Floor = min(c.Floor, maxNumber>>1)
	p := &Part{cfg: c, roster: c.Roster, seen: c.Roster, base: c.Floor, floor: c.Floor, things: map[string]*thing{}}
	p.margin = int64(math.Ceil(float64(c.Lease) * c.Drift))
	p.retry = max(c.Lease/64, 1)
	p.rng.Seed(c.Seed, xxhash.Sum64String(c.Self))
	p.names = ordered(c.Names)
	if len(c.Previous) > 0 {
		p.old = ordered(c.Previous)
	}
	return p
}

func ordered(names []string) []string {
	s := slices.Clone(names)
	slices.Sort(s)
	return slices.Compact(s)
}

// Electors returns who votes on a thing: the n names of a roster that are highest in rendezvous hash, by name.
func Electors(thing string, names []string, n int) []string {
	type ranked struct {
		hash uint64
		name string
	}
	all := make([]ranked, 0, len(names))
	for _, name := range names {
		all = append(all, ranked{xxhash.Sum64String(thing + "\x00" + name), name})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.hash != b.hash {
			if a.hash > b.hash {
				return -1
			}
			return 1
		}
		return strings.Compare(a.name, b.name)
	})
	all = all[:min(n, len(all))]
	s := make([]string, 0, len(all))
	for _, r := range all {
		s = append(s, r.name)
	}
	slices.Sort(s)
	return s
}

func (p *Part) electors(thing string) []string { return Electors(thing, p.names, p.cfg.Electors) }

func (p *Part) oldElectors(thing string) []string {
	if p.old == nil {
		return nil
	}
	return Electors(thing, p.old, p.cfg.Electors)
}

// majority of a set of electors.
func (p *Part) majority(n int) int {
	if p.doctor.smallMajority {
		return max(n/2, 1)
	}
	return n/2 + 1
}

// wait is how long this clock must run for a lease to have passed by every other one.
func (p *Part) wait() int64 { return p.cfg.Lease + p.margin }

// jitter draws from 0 up to n.
func (p *Part) jitter(n int64) int64 {
	if n <= 0 || p.doctor.calm {
		return 0
	}
	return int64(p.rng.Uint64() % uint64(n))
}

// heardFence remembers the highest fence of all things.
func (p *Part) heardFence(f uint64) {
	if f > p.base && f <= maxNumber>>1 {
		p.base, p.retell = f, true
	}
}

// SetRoster takes the next roster. It refuses a number that is not the next (*RosterSkipError), one that comes while the one
// before is young or has not passed on (*RosterYoungError), and a list that is none (*RosterEmptyError); the roster then stays.
// The same roster again is no error. What follows from it is sent at the next Tick, which is due at once.
func (p *Part) SetRoster(now int64, n uint64, names []string) error {
	p.at(now)
	set := ordered(names)
	switch {
	case len(set) == 0:
		return &RosterEmptyError{Number: n, Why: "it has no names"}
	case len(set) != len(names):
		return &RosterEmptyError{Number: n, Why: "a name stands in it twice"}
	case n == p.roster && slices.Equal(set, p.names):
		return nil
	case n == p.roster:
		return &RosterEmptyError{Number: n, Why: "another list has this number"}
	case n != p.roster+1:
		return &RosterSkipError{Has: p.roster, Got: n}
	}
	waits := 0
	for _, t := range p.things {
		if t.learning && t.ready > 0 {
			waits++
		}
	}
	if now < p.young || waits > 0 {
		return &RosterYoungError{Has: p.roster, Got: n, Left: max(p.young-now, 0), Things: waits}
	}
	p.old, p.names, p.roster = p.names, set, n
	p.seen = max(p.seen, n)
	p.young = now + p.wait()
	names = names[:0:0]
	for name := range p.things {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		// What is known here must pass on: the new electors are asked, and learn by that there is something to ask for.
		if t := p.things[name]; t.learning || t.ready > 0 {
			if t.learning {
				p.unlearn(t)
			}
			p.learn(t)
		}
	}
	for _, c := range p.claims {
		p.setVoters(c)
		c.next = now
	}
	return nil
}

// Roster is the number of the roster that this process knows, and the highest that it has heard of.
func (p *Part) Roster() (known, heard uint64) { return p.roster, p.seen }

// hearRoster takes note of a roster's number in a message. Only the next one is believed. Guards against a spoilt number.
func (p *Part) hearRoster(n uint64) {
	if n == p.roster+1 && !p.doctor.noSeal && !p.doctor.noRosterNumber {
		p.seen = max(p.seen, n)
	}
}

func (p *Part) at(now int64) { p.now = max(p.now, now) }

// Kind is fleet.Lease.
func (p *Part) Kind() fleet.Kind { return fleet.Lease }

// Start begins the wait after which the process votes.
func (p *Part) Start(now int64, out *fleet.Out) {
	p.now = now
	p.voteFrom = now + p.wait()
	if p.doctor.noStartWait {
		p.voteFrom = now
	}
	if p.old != nil {
		p.young = now + p.wait()
	}
	p.retell = true
	p.end(out)
}

// Message brings a message of another process's leases. What cannot be read is counted and passed by.
func (p *Part) Message(now int64, m fleet.Message, out *fleet.Out) {
	p.at(now)
	p.counts.received++
	b, err := decode(m.Body)
	if err != nil || m.From == "" || len(m.From) > MaxName {
		p.counts.unread++
		return
	}
	p.handle(m.From, b, out)
	p.end(out)
}

func (p *Part) handle(from string, b body, out *fleet.Out) {
	switch b.Type {
	case typClaim, typHold:
		p.asked(from, b, out)
	case typRelease:
		p.givenUp(from, b, out)
	case typLearn:
		p.learnAsked(from, b, out)
	case typKnown:
		p.known(from, b, out)
	case typVote, typRefuse:
		p.answered(from, b, out)
	case typFree:
		p.freed(from, b, out)
	}
}

// View takes the highest fences and the hints from the processes' entries.
func (p *Part) View(now int64, v *fleet.View, out *fleet.Out) {
	p.at(now)
	p.hints = make(map[string]hint, len(p.hints))
	parts := make(map[string]readPart, len(v.Members))
	for i := range v.Members {
		m := &v.Members[i]
		raw := m.Parts[fleet.Lease]
		if raw == nil || m.Name == p.cfg.Self {
			continue
		}
		read := p.parts[m.Name]
		if !bytes.Equal(read.raw, raw) {
			read = readPart{raw, readTold(raw)}
		}
		parts[m.Name] = read
		t := read.told
		p.heardFence(t.High)
		p.floor = max(p.floor, min(t.High, maxNumber>>1))
		for _, h := range t.Held {
			if h.Fence > p.hints[h.Thing].fence {
				p.hints[h.Thing] = hint{m.Name, h.Fence}
			}
		}
	}
	p.parts = parts
	p.end(out)
}

// readPart is a member's part of its entry as it was read: views come often, and most members' parts are as they were.
type readPart struct {
	raw  []byte
	told told
}

// Done has nothing to do: leases ask for no acts.
func (p *Part) Done(int64, fleet.Act, error, *fleet.Out) {}

// Tick repeats, renews, and lets end what has run out.
func (p *Part) Tick(now int64, out *fleet.Out) {
	p.at(now)
	for i := 0; i < len(p.busy); { // learnTick may take it out
		t := p.busy[i]
		if p.now >= t.next {
			p.learnTick(t, out)
		}
		if i < len(p.busy) && p.busy[i] == t {
			i++
		}
	}
	for _, c := range p.claims {
		if p.now >= c.due() {
			p.claimTick(c, out)
		}
	}
	p.end(out)
}

// Next is when the first repeat, renewal or end is due.
func (p *Part) Next() int64 {
	next := int64(math.MaxInt64)
	for _, t := range p.busy {
		next = min(next, t.next)
	}
	for _, c := range p.claims {
		next = min(next, c.due())
	}
	return next
}

// send gives a message to another process, or to this one's own elector or claimant.
func (p *Part) send(to string, b body, out *fleet.Out) {
	if to == p.cfg.Self {
		p.local = append(p.local, b)
		return
	}
	p.counts.sent++
	out.Send = append(out.Send, fleet.Message{Kind: fleet.Lease, From: p.cfg.Self, To: to, Body: encode(&b)})
}

// end delivers what the process sent itself, and tells in its entry what others should know.
func (p *Part) end(out *fleet.Out) {
	for i := 0; i < len(p.local); i++ {
		p.handle(p.cfg.Self, p.local[i], out)
	}
	p.local = p.local[:0]
	if !p.retell {
		return
	}
	p.retell = false
	t := told{High: p.base}
	for _, c := range p.claims {
		if c.phase == holding && len(t.Held) < maxHints {
			t.Held = append(t.Held, heldHint{c.thing, c.fence})
		}
	}
	if t.High != p.toldAt.High || !slices.Equal(t.Held, p.toldAt.Held) {
		p.toldAt = t
		out.Tell(fleet.Lease, encode(&t))
	}
}

// Holder is who was last heard to hold a thing. It is a hint.
func (p *Part) Holder(thing string) (name string, fence uint64) {
	h := p.hints[thing]
	if t := p.things[thing]; t != nil && t.owner != "" && !t.over && t.fence > h.fence {
		h = hint{t.owner, t.fence}
	}
	if c := p.claim(thing); c != nil {
		if c.hint.fence > h.fence {
			h = c.hint
		}
		if c.phase == holding && c.fence >= h.fence {
			h = hint{p.cfg.Self, c.fence}
		}
	}
	return h.name, h.fence
}

// Figures gives the package's counts. A held lease costs a question to each of its electors, and its answer, every third of a
// lease, and no more while a majority answers.
func (p *Part) Figures(put func(name string, n uint64, gauge bool)) {
	held := uint64(0)
	for _, c := range p.claims {
		if c.phase == holding && p.now < c.until {
			held++
		}
	}
	put("lease.held", held, true)
	put("lease.claims", uint64(len(p.claims)), true)
	put("lease.things", uint64(len(p.things)), true)
	put("lease.learning", uint64(len(p.busy)), true)
	put("lease.roster", p.roster, true)
	put("lease.roster_heard", p.seen, true)
	c := &p.counts
	put("lease.sent", c.sent, false)
	put("lease.received", c.received, false)
	put("lease.unread", c.unread, false)
	put("lease.votes", c.votes, false)
	put("lease.refusals", c.refusals, false)
	put("lease.attempts", c.attempts, false)
	put("lease.grants", c.grants, false)
	put("lease.renewals", c.renewals, false)
	put("lease.lapses", c.lapses, false)
	put("lease.releases", c.releases, false)
	put("lease.learnt", c.learnt, false)
	put("lease.forgotten", c.forgotten, false)
	put("lease.lost_writes", c.lostWrites, false)
}
