package lease

import (
	"encoding/binary"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"pewterwheel/internal/fleet"
)

// The search goes through all that can happen to three electors and two claimants of one thing within bounds. The code that is
// searched is the code in service: a state holds the parts themselves. Where nothing is wrong, messages arrive in the order in
// which they were sent, and time goes on once none is under way; a fault is a departure from that, and a run has a bounded number
// of them. A message that is late may arrive at any later point, also after a restart, or never. Clocks run at the bound of the
// drift. Two states that differ only in the order of what is late, or of things that no longer matter, are one.
type search struct {
	doctor doctor
	faults int // of a run
	steps  int // of time in a run; six are a lease by a clock that is ahead
	most   int // states, at which it gives up; 0: none
	blind  bool
	states map[uint64]struct{}
	moves  int
	found  string
	trace  []string
	names  []string
	rates  [5]int64
	dump   []byte
}

const (
	searchLease = 66
	slow, quick = 10, 11 // what a clock gains in a step of time: the drift is a tenth
	firstTime   = 1000
)

type letter struct {
	from, to int
	m        fleet.Message
}

// node is a state of the search. Parts and letters are never written to once they are in one.
type node struct {
	parts  [5]*Part
	wire   []letter // will arrive, in this order
	late   []letter // may arrive
	step   int
	faults int
	cut    int // which process nobody hears or reaches: its number + 1; above 5: whom nobody hears, but who hears
	lives  [5]uint64
	// What claimants have left to do.
	claims, releases, writes, restarts int
	// What was seen.
	high    uint64
	view    [2]uint64
	wrote   [2]written // waits for being shown
	done    written
	acts    []uint64 // under which fences somebody was told to act, on the way
	gate    uint64
	parent  *node
	what    string
	about   *letter // what was delivered or held back
	touched int     // the process to which something came last
}

func (p *Part) clone() *Part {
	q := *p
	q.things = make(map[string]*thing, len(p.things))
	q.busy = nil
	copied := map[*thing]*thing{}
	for name, t := range p.things {
		u := *t
		u.waiters, u.peers = slices.Clone(t.waiters), slices.Clone(t.peers)
		q.things[name] = &u
		copied[t] = &u
	}
	for _, t := range p.busy {
		q.busy = append(q.busy, copied[t])
	}
	q.claims = make([]*claim, len(p.claims))
	for i, c := range p.claims {
		d := *c
		d.voters = slices.Clone(c.voters)
		q.claims[i] = &d
	}
	q.local = nil
	return &q
}

func (s *search) clock(i, step int) int64 { return firstTime + int64(step)*s.rates[i] }

// on lets something happen in a process and returns the state after it.
func (s *search) on(n *node, i int, what string, f func(p *Part, now int64, out *fleet.Out)) *node {
	next := *n
	next.parent, next.what, next.about, next.touched = s.before(n), what, nil, i
	next.parts[i] = n.parts[i].clone()
	s.in(&next, i, f)
	s.look(&next)
	return &next
}

// before is the state before one, for the trace; a deep search has no room for them.
func (s *search) before(n *node) *node {
	if s.blind {
		return nil
	}
	return n
}

// in changes a state that is nobody else's yet.
func (s *search) in(n *node, i int, f func(p *Part, now int64, out *fleet.Out)) {
	var out fleet.Out
	f(n.parts[i], s.clock(i, n.step), &out)
	n.wire = slices.Clip(n.wire)
	for _, m := range out.Send {
		to := slices.Index(s.names, m.To)
		if n.cut == i+1 || n.cut == to+1 || n.cut == i+6 {
			continue
		}
		n.wire = append(n.wire, letter{i, to, m})
	}
}

// look holds a state against the rules.
func (s *search) look(n *node) {
	fail := func(format string, args ...any) {
		if s.found == "" {
			s.found = fmt.Sprintf(format, args...)
			for x := n; x != nil; x = x.parent {
				what := x.what
				if l := x.about; l != nil {
					what += fmt.Sprintf(" %s>%s %s", s.names[l.from], s.names[l.to], typeName(l.m.Body))
				}
				s.trace = append(s.trace, what)
			}
			slices.Reverse(s.trace)
		}
	}
	holders := 0
	for c := range 2 {
		i := 3 + c
		g, ok := n.parts[i].Held(s.clock(i, n.step), "a")
		if !ok {
			n.view[c] = 0
			continue
		}
		holders++
		if n.view[c] != g.Fence {
			if g.Fence <= n.high {
				fail("fence: %s got %d after %d", s.names[i], g.Fence, n.high)
			}
			n.high, n.view[c], n.wrote[c] = max(n.high, g.Fence), g.Fence, written{}
			n.acts = append(slices.Clip(n.acts), g.Fence)
			if g.Write < n.done.write || g.Write == n.done.write && string(g.Value) != n.done.value {
				fail("lost write: %s got write %d %q after %d %q had happened", s.names[i], g.Write, g.Value, n.done.write, n.done.value)
			}
		}
		if g.Write > 0 { // what a holder shows has happened
			n.done = written{write: g.Write, value: string(g.Value)}
		}
	}
	if holders > 1 {
		fail("two holders")
	}
}

// number writes numbers to the dump of a state.
func (s *search) number(v ...int64) {
	for _, x := range v {
		s.dump = binary.AppendVarint(s.dump, x)
	}
}

func (s *search) text(v ...string) {
	for _, x := range v {
		s.number(int64(len(x)))
		s.dump = append(s.dump, x...)
	}
}

func bit(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// hash is of all that decides what a state can come to.
func (s *search) hash(n *node) uint64 {
	s.dump = s.dump[:0]
	s.number(int64(n.step), int64(n.faults), int64(n.cut), int64(n.claims), int64(n.releases), int64(n.writes), int64(n.restarts),
		int64(n.high), int64(n.view[0]), int64(n.view[1]), int64(n.done.write), int64(n.gate), int64(len(n.acts)), int64(n.touched))
	s.text(n.done.value)
	for _, a := range n.acts {
		s.number(int64(a))
	}
	for i, p := range n.parts {
		s.number(int64(n.lives[i]), int64(p.base), int64(p.floor), p.voteFrom, int64(p.seq), int64(p.gen), int64(len(p.busy)), int64(len(p.claims)))
		if t := p.things["a"]; t != nil {
			s.number(int64(t.fence), int64(t.ownerLife), bit(t.over), int64(t.votedLife), max(t.until, p.now), int64(t.recFence), int64(t.write),
				int64(t.ready), int64(t.gen), bit(t.learning), int64(t.round), int64(len(t.waiters)), int64(len(t.peers)), int64(len(t.forgot)))
			for _, f := range t.forgot {
				s.number(int64(f))
			}
			s.text(t.owner, t.voted, string(t.value))
			s.text(t.waiters...)
			if t.learning {
				s.number(t.next, t.pause)
			}
			for _, q := range t.peers {
				s.number(int64(q.round), int64(q.life), int64(q.gen), int64(q.ready), int64(q.steady))
			}
		}
		for _, c := range p.claims {
			s.number(int64(c.phase), int64(c.fence), int64(c.high), max(c.until, p.now), c.next, c.pause, int64(c.tries))
			if c.phase == resting {
				continue
			}
			s.number(c.began, c.full, int64(c.told.write), int64(c.toldFence), int64(c.flight.write), int64(c.after.write),
				int64(c.stored.write), int64(c.last))
			s.text(string(c.told.value), string(c.flight.value), string(c.stored.value))
			for _, v := range c.voters {
				s.number(bit(v.voted), v.sent, bit(v.kept), v.keptSent, int64(v.keptWrite), bit(v.asNew), int64(v.reason), max(v.blocked, p.now))
				s.text(v.holder)
			}
		}
	}
	for _, l := range n.wire {
		s.number(int64(l.from), int64(l.to))
		s.text(string(l.m.Body))
	}
	s.number(-1)
	for _, l := range n.late {
		s.number(int64(l.from), int64(l.to))
		s.text(string(l.m.Body))
	}
	return xxhash.Sum64(s.dump)
}

// first is a state in which the electors know the thing, and nobody holds it.
func (s *search) first() *node {
	s.names = []string{"e1", "e2", "e3", "c1", "c2"}
	n := &node{what: "first", claims: 2, releases: 1, writes: 1, restarts: 2, faults: s.faults}
	for i := range n.parts {
		s.birth(n, i)
	}
	s.in(n, 3, func(p *Part, now int64, out *fleet.Out) { p.Claim(now, "a", out) })
	for n.step = 0; n.step < 10; n.step++ {
		s.settle(n)
		for i := range n.parts {
			s.in(n, i, func(p *Part, now int64, out *fleet.Out) { p.Tick(now, out) })
		}
	}
	s.settle(n)
	g, ok := n.parts[3].Held(s.clock(3, n.step), "a")
	if !ok {
		s.found = "the beginning does not come about"
	}
	n.high = g.Fence
	s.in(n, 3, func(p *Part, now int64, out *fleet.Out) { p.Release(now, "a", out) })
	s.settle(n)
	return n
}

func (s *search) settle(n *node) {
	for len(n.wire) > 0 {
		l := n.wire[0]
		n.wire = n.wire[1:]
		s.in(n, l.to, func(p *Part, now int64, out *fleet.Out) { p.Message(now, l.m, out) })
	}
}

// birth begins a life of a process.
func (s *search) birth(n *node, i int) {
	n.lives[i]++
	p := New(Config{Self: s.names[i], Incarnation: n.lives[i], Roster: 1, Names: s.names[:3], Lease: searchLease, Drift: 0.1, Floor: n.high})
	p.doctor = s.doctor
	p.doctor.calm = true
	n.parts[i] = p
	s.in(n, i, func(p *Part, now int64, out *fleet.Out) { p.Start(now, out) })
}

// after gives the states that may follow.
func (s *search) after(n *node) []*node {
	var all []*node
	deliver := func(n *node, l letter, what string) *node {
		x := s.on(n, l.to, what, func(p *Part, now int64, out *fleet.Out) { p.Message(now, l.m, out) })
		x.about = &l
		return x
	}
	with := func(what string, f func(x *node)) *node {
		x := *n
		x.parent, x.what, x.about = s.before(n), what, nil
		f(&x)
		return &x
	}
	fault := func(what string, f func(x *node)) {
		if n.faults > 0 {
			all = append(all, with(what, func(x *node) { x.faults--; f(x) }))
		}
	}
	put := func(x *node, ls ...letter) {
		x.late = append(slices.Clip(x.late), ls...)
		slices.SortFunc(x.late, func(a, b letter) int {
			if a.from != b.from || a.to != b.to {
				return a.from*8 + a.to - b.from*8 - b.to
			}
			return strings.Compare(string(a.m.Body), string(b.m.Body))
		})
	}
	for i, l := range n.late {
		if i > 0 && l.from == n.late[i-1].from && l.to == n.late[i-1].to && string(l.m.Body) == string(n.late[i-1].m.Body) {
			continue
		}
		if len(n.wire) > 0 && n.touched != l.to {
			continue // it does as much right after something else came to that process
		}
		all = append(all, deliver(with("", func(x *node) { x.late = slices.Delete(slices.Clone(x.late), i, i+1) }), l, "late"))
	}
	for i := range 3 { // an elector dies and starts anew, knowing nothing
		if n.restarts > 0 && (n.touched == i || len(n.wire) == 0) {
			fault(restartOf[i], func(x *node) {
				x.restarts--
				s.birth(x, i)
			})
		}
	}
	if n.restarts > 0 && len(n.wire) == 0 {
		fault("restart all electors", func(x *node) {
			x.restarts--
			for i := range 3 {
				s.birth(x, i)
			}
		})
	}
	if len(n.wire) > 0 {
		l := n.wire[0]
		rest := func(x *node) { x.wire = x.wire[1:] }
		all = append(all, deliver(with("", rest), l, "deliver"))
		fault("hold back", func(x *node) { rest(x); put(x, l); x.about = &l }) // and drop, if it never arrives
		if n.faults > 0 {
			x := deliver(with("", func(x *node) { rest(x); put(x, l); x.faults-- }), l, "twice")
			all = append(all, x)
		}
		if len(n.wire) > 1 {
			fault("hold back all", func(x *node) { put(x, n.wire...); x.wire = nil })
		}
		return all
	}
	if n.step < 10+s.steps {
		x := with("step", func(x *node) { x.step++ })
		for i := range x.parts {
			if now := s.clock(i, x.step); x.parts[i].Next() <= now {
				x.parts[i] = x.parts[i].clone()
				s.in(x, i, func(p *Part, now int64, out *fleet.Out) { p.Tick(now, out) })
			} else if len(x.parts[i].claims) > 0 {
				x.parts[i] = x.parts[i].clone()
				x.parts[i].at(now)
			}
		}
		s.look(x)
		all = append(all, x)
	}
	if n.cut == 0 {
		for i := range 7 { // the last two: claimants of whom nobody hears
			k := i + 1
			if i >= 5 {
				k = i - 5 + 3 + 6
			}
			fault("cut", func(x *node) { x.cut = k })
		}
	} else {
		all = append(all, with("heal", func(x *node) { x.cut = 0 }))
	}
	for c := range 2 {
		p := n.parts[3+c]
		if n.claims > 0 && len(p.claims) == 0 && (c == 0 || n.claims == 1) { // the first is claimant 1
			x := s.on(n, 3+c, "claim", func(p *Part, now int64, out *fleet.Out) { p.Claim(now, "a", out) })
			x.claims--
			all = append(all, x)
		}
		if _, ok := p.Held(s.clock(3+c, n.step), "a"); ok {
			if n.writes > 0 && n.faults > 0 {
				x := s.on(n, 3+c, "write", func(p *Part, now int64, out *fleet.Out) {
					_, _ = p.Write(now, "a", []byte(s.names[3+c]), out)
				})
				x.writes, x.faults = x.writes-1, x.faults-1
				all = append(all, x)
			}
			if n.releases > 0 && n.faults > 0 {
				x := s.on(n, 3+c, "release", func(p *Part, now int64, out *fleet.Out) { p.Release(now, "a", out) })
				x.releases, x.faults = x.releases-1, x.faults-1
				all = append(all, x)
			}
		}
	}
	if len(n.acts) > 1 {
		for i, fence := range n.acts {
			x := with("act", func(x *node) { x.acts = slices.Delete(slices.Clone(x.acts), i, i+1) })
			var g Gate
			_ = g.Admit("a", n.gate)
			if err := g.Admit("a", fence); err == nil {
				if fence < n.gate && s.found == "" {
					s.found = "a lower fence was admitted"
				}
				x.gate = fence
			} else if fence >= n.gate && s.found == "" {
				s.found = "a fence that is not lower was refused"
			}
			all = append(all, x)
		}
	}
	return all
}

var restartOf = [...]string{"restart e1", "restart e2", "restart e3"}

func typeName(raw []byte) string {
	b, _ := decode(raw)
	return [...]string{"", "claim", "hold", "vote", "refuse", "release", "free", "learn", "known"}[b.Type]
}

// run goes through all states.
func (s *search) run() {
	s.states = map[uint64]struct{}{}
	for _, rates := range [][5]int64{
		{quick, quick, quick, slow, quick}, // the holder's clock is behind
		{slow, slow, slow, quick, slow},
		{quick, slow, quick, slow, slow},
	} {
		s.rates = rates
		n := s.first()
		stack := []*node{n}
		s.states[s.hash(n)] = struct{}{}
		for len(stack) > 0 && s.found == "" && (s.most == 0 || len(s.states) < s.most) {
			n := stack[len(stack)-1]
			stack = stack[:len(stack)-1]
			for _, x := range s.after(n) {
				s.moves++
				h := s.hash(x)
				if _, ok := s.states[h]; ok {
					continue
				}
				s.states[h] = struct{}{}
				stack = append(stack, x)
			}
		}
	}
}

var deep = flag.String("lease.deep", "", "faults,steps of a deeper search")

// The search sees these safeguards missing, too, each for its own reason.
func TestSearchSafeguards(t *testing.T) {
	for _, c := range []struct {
		name          string
		doctor        doctor
		faults, steps int
		want          string
	}{
		{"refusing while a vote runs", doctor{voteOver: true}, 0, 2, "two holders"},
		{"fences above the highest", doctor{noFence: true}, 1, 2, "fence"},
		{"the wait after a start", doctor{noStartWait: true}, 1, 3, "two holders"},
		{"the drift margin", doctor{noMargin: true}, 1, 8, "two holders"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := search{doctor: c.doctor, faults: c.faults, steps: c.steps, most: 400_000}
			if s.run(); !strings.HasPrefix(s.found, c.want) {
				t.Fatalf("%q after %d states", s.found, len(s.states))
			}
			t.Logf("%s after %d states, %d events from the beginning", s.found, len(s.states), len(s.trace)-1)
		})
	}
}

func TestSearch(t *testing.T) {
	s := search{faults: 1, steps: 3}
	if *deep != "" {
		s.blind, s.most = true, 40_000_000
		if _, err := fmt.Sscanf(*deep, "%d,%d", &s.faults, &s.steps); err != nil {
			t.Fatal(err)
		}
	}
	began := time.Now()
	s.run()
	t.Logf("%d faults, %d steps of time: %d states, %d moves, %.1f s", s.faults, s.steps, len(s.states), s.moves, time.Since(began).Seconds())
	if s.found != "" {
		t.Errorf("%s:\n%s", s.found, strings.Join(s.trace, "\n"))
	}
}
