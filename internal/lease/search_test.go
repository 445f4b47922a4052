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

// search explores, within bounds, every sequence of events for three electors and two claimants of one resource. It
// runs the production code: a state contains the Parts themselves. Without faults, messages arrive in the order in
// which they were sent, and time advances when none is in transit. A fault is a deviation from this; each run has a
// limited number of them. A delayed message may arrive at any later point, also after a restart, or never. Clocks run
// at the bound of the drift. States that differ only in the order of delayed messages, or in data that no longer
// matters, count as equal.
type search struct {
	overrides   testOverrides
	faults      int // per run
	steps       int // time steps per run; six are one lease by a fast clock
	maxStates   int // limit of states at which the search stops; 0: none
	noTrace     bool
	states      map[uint64]struct{}
	transitions int
	violation   string
	trace       []string
	names       []string
	rates       [5]int64
	hashInput   []byte
}

const (
	searchLease        = 66
	slowRate, fastRate = 10, 11 // clock advance per time step: the drift is a tenth
	startTime          = 1000
)

type envelope struct {
	from, to int
	m        fleet.Message
}

// searchState is a state of the search. Its Parts and envelopes are never modified once they belong to a state.
type searchState struct {
	parts     [5]*Module
	inTransit []envelope // delivered in this order
	delayed   []envelope // may be delivered
	step      int
	faults    int
	// 1 + index of a process cut off in both directions; from 6 on: 6 + index of a process that receives but is not
	// heard
	isolated     int
	incarnations [5]uint64
	// Remaining actions of the claimants.
	claims, releases, writes, restarts int
	// Observations.
	highestFence   uint64
	heldFence      [2]uint64
	pendingWrite   [2]writeRecord // not shown in a grant yet
	completedWrite writeRecord
	pendingActs    []uint64 // fences of actions in transit
	gateFence      uint64
	parent         *searchState
	event          string
	message        *envelope // delivered or delayed
	lastProcess    int       // index of the process that handled the last event
}

func (p *Module) clone() *Module {
	clone := *p
	clone.resources = make(map[string]*resource, len(p.resources))
	clone.learning = nil
	copies := map[*resource]*resource{}
	for name, original := range p.resources {
		u := *original
		u.waiters, u.peers = slices.Clone(original.waiters), slices.Clone(original.peers)
		clone.resources[name] = &u
		copies[original] = &u
	}
	for _, t := range p.learning {
		clone.learning = append(clone.learning, copies[t])
	}
	clone.claims = make([]*claim, len(p.claims))
	for i, c := range p.claims {
		d := *c
		d.voters = slices.Clone(c.voters)
		clone.claims[i] = &d
	}
	clone.selfMessages = nil
	return &clone
}

func (s *search) clock(i, step int) int64 { return startTime + int64(step)*s.rates[i] }

// apply runs an event in a process and returns the resulting state.
func (s *search) apply(state *searchState, i int, what string,
	f func(p *Module, now int64, out *fleet.Out)) *searchState {
	next := *state
	next.parent, next.event, next.message, next.lastProcess = s.parentOf(state), what, nil, i
	next.parts[i] = state.parts[i].clone()
	s.applyTo(&next, i, f)
	s.checkInvariants(&next)
	return &next
}

// parentOf returns the previous state for the trace; a deep search has no memory for traces.
func (s *search) parentOf(state *searchState) *searchState {
	if s.noTrace {
		return nil
	}
	return state
}

// applyTo runs an event in a state that is not shared yet.
func (s *search) applyTo(state *searchState, i int, f func(p *Module, now int64, out *fleet.Out)) {
	var out fleet.Out
	f(state.parts[i], s.clock(i, state.step), &out)
	state.inTransit = slices.Clip(state.inTransit)
	for _, m := range out.Send {
		to := slices.Index(s.names, m.To)
		if state.isolated == i+1 || state.isolated == to+1 || state.isolated == i+6 {
			continue
		}
		state.inTransit = append(state.inTransit, envelope{i, to, m})
	}
}

// checkInvariants checks a state against the rules.
func (s *search) checkInvariants(state *searchState) {
	fail := func(format string, args ...any) {
		if s.violation == "" {
			s.violation = fmt.Sprintf(format, args...)
			for x := state; x != nil; x = x.parent {
				what := x.event
				if l := x.message; l != nil {
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
		g, ok := state.parts[i].Held(s.clock(i, state.step), "a")
		if !ok {
			state.heldFence[c] = 0
			continue
		}
		holders++
		if state.heldFence[c] != g.Fence {
			if g.Fence <= state.highestFence {
				fail("fence: %s got %d after %d", s.names[i], g.Fence, state.highestFence)
			}
			state.highestFence, state.heldFence[c], state.pendingWrite[c] = max(state.highestFence, g.Fence), g.Fence,
				writeRecord{}
			state.pendingActs = append(slices.Clip(state.pendingActs), g.Fence)
			if g.Write < state.completedWrite.write || g.Write == state.completedWrite.write &&
				string(g.Value) != state.completedWrite.value {
				fail("lost write: %s got write %d %q after write %d %q had completed", s.names[i], g.Write, g.Value,
					state.completedWrite.write, state.completedWrite.value)
			}
		}
		if g.Write > 0 { // a record shown by a holder has been stored
			state.completedWrite = writeRecord{write: g.Write, value: string(g.Value)}
		}
	}
	if holders > 1 {
		fail("two holders")
	}
}

// hashNumbers appends numbers to the hash input of a state.
func (s *search) hashNumbers(v ...int64) {
	for _, x := range v {
		s.hashInput = binary.AppendVarint(s.hashInput, x)
	}
}

func (s *search) hashText(v ...string) {
	for _, x := range v {
		s.hashNumbers(int64(len(x)))
		s.hashInput = append(s.hashInput, x...)
	}
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// hash covers everything that determines how a state can continue.
func (s *search) hash(state *searchState) uint64 {
	s.hashInput = s.hashInput[:0]
	s.hashNumbers(int64(state.step), int64(state.faults), int64(state.isolated), int64(state.claims),
		int64(state.releases),
		int64(state.writes), int64(state.restarts),
		int64(state.highestFence), int64(state.heldFence[0]), int64(state.heldFence[1]),
		int64(state.completedWrite.write),
		int64(state.gateFence), int64(len(state.pendingActs)), int64(state.lastProcess))
	s.hashText(state.completedWrite.value)
	for _, a := range state.pendingActs {
		s.hashNumbers(int64(a))
	}
	for i, p := range state.parts {
		s.hashNumbers(int64(state.incarnations[i]), int64(p.highestFence), int64(p.fenceFloor), p.voteFrom,
			int64(p.lastSeq), int64(p.generation), int64(len(p.learning)), int64(len(p.claims)))
		if res := p.resources["a"]; res != nil {
			s.hashNumbers(int64(res.fence), int64(res.ownerIncarnation), boolToInt(res.released),
				int64(res.votedIncarnation),
				max(res.voteExpiresAt, p.now), int64(res.recordFence), int64(res.write),
				int64(res.readyRoster), int64(res.generation), boolToInt(res.learning), int64(res.learnRound),
				int64(len(res.waiters)), int64(len(res.peers)), int64(len(res.forgottenStates)))
			for _, f := range res.forgottenStates {
				s.hashNumbers(int64(f))
			}
			s.hashText(res.fenceOwner, res.votedFor, string(res.value))
			s.hashText(res.waiters...)
			if res.learning {
				s.hashNumbers(res.nextLearnAt, res.learnInterval)
			}
			for _, q := range res.peers {
				s.hashNumbers(int64(q.round), int64(q.incarnation), int64(q.generation), int64(q.readyRoster),
					int64(q.unreadyRound))
			}
		}
		for _, c := range p.claims {
			s.hashNumbers(int64(c.phase), int64(c.fence), int64(c.highestFence), max(c.expiresAt, p.now), c.nextAction,
				c.retryInterval, int64(c.failedAttempts))
			if c.phase == backingOff {
				continue
			}
			s.hashNumbers(c.attemptStart, c.lastBroadcast, int64(c.learnedRecord.write), int64(c.learnedFence),
				int64(c.inFlight.write), int64(c.queued.write),
				int64(c.stored.write), int64(c.lastWrite))
			s.hashText(string(c.learnedRecord.value), string(c.inFlight.value), string(c.stored.value))
			for _, v := range c.voters {
				s.hashNumbers(boolToInt(v.voted), v.voteSentAt, boolToInt(v.stored), v.storedSentAt,
					int64(v.storedWrite), boolToInt(v.votesInCurrent), int64(v.reason), max(v.blockedUntil, p.now))
				s.hashText(v.holder)
			}
		}
	}
	for _, l := range state.inTransit {
		s.hashNumbers(int64(l.from), int64(l.to))
		s.hashText(string(l.m.Body))
	}
	s.hashNumbers(-1)
	for _, l := range state.delayed {
		s.hashNumbers(int64(l.from), int64(l.to))
		s.hashText(string(l.m.Body))
	}
	return xxhash.Sum64(s.hashInput)
}

// initialState returns a state in which the electors know the resource and nobody holds it.
func (s *search) initialState() *searchState {
	s.names = []string{"e1", "e2", "e3", "c1", "c2"}
	state := &searchState{event: "first", claims: 2, releases: 1, writes: 1, restarts: 2, faults: s.faults}
	for i := range state.parts {
		s.startProcess(state, i)
	}
	s.applyTo(state, 3, func(p *Module, now int64, out *fleet.Out) { p.Claim(now, "a", out) })
	for state.step = 0; state.step < 10; state.step++ {
		s.deliverAll(state)
		for i := range state.parts {
			s.applyTo(state, i, func(p *Module, now int64, out *fleet.Out) { p.Tick(now, out) })
		}
	}
	s.deliverAll(state)
	grant, ok := state.parts[3].Held(s.clock(3, state.step), "a")
	if !ok {
		s.violation = "the initial state was not reached"
	}
	state.highestFence = grant.Fence
	s.applyTo(state, 3, func(p *Module, now int64, out *fleet.Out) { p.Release(now, "a", out) })
	s.deliverAll(state)
	return state
}

func (s *search) deliverAll(state *searchState) {
	for len(state.inTransit) > 0 {
		l := state.inTransit[0]
		state.inTransit = state.inTransit[1:]
		s.applyTo(state, l.to, func(p *Module, now int64, out *fleet.Out) { p.Message(now, l.m, out) })
	}
}

// startProcess starts a new incarnation of a process.
func (s *search) startProcess(state *searchState, i int) {
	state.incarnations[i]++
	p := New(Config{Self: s.names[i], Incarnation: state.incarnations[i], Roster: 1, Names: s.names[:3],
		Lease: searchLease,
		Drift: 0.1, Floor: state.highestFence})
	p.overrides = s.overrides
	p.overrides.noJitter = true
	state.parts[i] = p
	s.applyTo(state, i, func(p *Module, now int64, out *fleet.Out) { p.Start(now, out) })
}

// successors returns the possible next states.
func (s *search) successors(state *searchState) []*searchState {
	var all []*searchState
	deliver := func(state *searchState, l envelope, what string) *searchState {
		x := s.apply(state, l.to, what, func(p *Module, now int64, out *fleet.Out) { p.Message(now, l.m, out) })
		x.message = &l
		return x
	}
	with := func(what string, f func(x *searchState)) *searchState {
		x := *state
		x.parent, x.event, x.message = s.parentOf(state), what, nil
		f(&x)
		return &x
	}
	fault := func(what string, f func(x *searchState)) {
		if state.faults > 0 {
			all = append(all, with(what, func(x *searchState) { x.faults--; f(x) }))
		}
	}
	delay := func(x *searchState, ls ...envelope) {
		x.delayed = append(slices.Clip(x.delayed), ls...)
		slices.SortFunc(x.delayed, func(a, b envelope) int {
			if a.from != b.from || a.to != b.to {
				return a.from*8 + a.to - b.from*8 - b.to
			}
			return strings.Compare(string(a.m.Body), string(b.m.Body))
		})
	}
	for i, l := range state.delayed {
		if i > 0 && l.from == state.delayed[i-1].from && l.to == state.delayed[i-1].to &&
			string(l.m.Body) == string(state.delayed[i-1].m.Body) {
			continue
		}
		if len(state.inTransit) > 0 && state.lastProcess != l.to {
			continue // equivalent to its delivery right after the last event of that process
		}
		all = append(all, deliver(with("",
			func(x *searchState) { x.delayed = slices.Delete(slices.Clone(x.delayed), i, i+1) }), l, "late"))
	}
	for i := range 3 { // an elector crashes and restarts without state
		if state.restarts > 0 && (state.lastProcess == i || len(state.inTransit) == 0) {
			fault(restartEvents[i], func(x *searchState) {
				x.restarts--
				s.startProcess(x, i)
			})
		}
	}
	if state.restarts > 0 && len(state.inTransit) == 0 {
		fault("restart all electors", func(x *searchState) {
			x.restarts--
			for i := range 3 {
				s.startProcess(x, i)
			}
		})
	}
	if len(state.inTransit) > 0 {
		l := state.inTransit[0]
		rest := func(x *searchState) { x.inTransit = x.inTransit[1:] }
		all = append(all, deliver(with("", rest), l, "deliver"))
		// Also covers a lost message: it may never arrive
		fault("hold back", func(x *searchState) { rest(x); delay(x, l); x.message = &l })
		if state.faults > 0 {
			x := deliver(with("", func(x *searchState) { rest(x); delay(x, l); x.faults-- }), l, "twice")
			all = append(all, x)
		}
		if len(state.inTransit) > 1 {
			fault("hold back all", func(x *searchState) { delay(x, state.inTransit...); x.inTransit = nil })
		}
		return all
	}
	if state.step < 10+s.steps {
		x := with("step", func(x *searchState) { x.step++ })
		for i := range x.parts {
			if now := s.clock(i, x.step); x.parts[i].Next() <= now {
				x.parts[i] = x.parts[i].clone()
				s.applyTo(x, i, func(p *Module, now int64, out *fleet.Out) { p.Tick(now, out) })
			} else if len(x.parts[i].claims) > 0 {
				x.parts[i] = x.parts[i].clone()
				x.parts[i].advanceClock(now)
			}
		}
		s.checkInvariants(x)
		all = append(all, x)
	}
	if state.isolated == 0 {
		for i := range 7 { // the last two: claimants that are not heard
			k := i + 1
			if i >= 5 {
				k = i - 5 + 3 + 6
			}
			fault("cut", func(x *searchState) { x.isolated = k })
		}
	} else {
		all = append(all, with("heal", func(x *searchState) { x.isolated = 0 }))
	}
	for c := range 2 {
		p := state.parts[3+c]
		// the first claim is always by claimant 1
		if state.claims > 0 && len(p.claims) == 0 && (c == 0 || state.claims == 1) {
			x := s.apply(state, 3+c, "claim", func(p *Module, now int64, out *fleet.Out) { p.Claim(now, "a", out) })
			x.claims--
			all = append(all, x)
		}
		if _, ok := p.Held(s.clock(3+c, state.step), "a"); ok {
			if state.writes > 0 && state.faults > 0 {
				x := s.apply(state, 3+c, "write", func(p *Module, now int64, out *fleet.Out) {
					_, _ = p.Write(now, "a", []byte(s.names[3+c]), out)
				})
				x.writes, x.faults = x.writes-1, x.faults-1
				all = append(all, x)
			}
			if state.releases > 0 && state.faults > 0 {
				x := s.apply(state, 3+c, "release", func(p *Module, now int64,
					out *fleet.Out) {
					p.Release(now, "a", out)
				})
				x.releases, x.faults = x.releases-1, x.faults-1
				all = append(all, x)
			}
		}
	}
	if len(state.pendingActs) > 1 {
		for i, fence := range state.pendingActs {
			x := with("act", func(x *searchState) {
				x.pendingActs = slices.Delete(slices.Clone(x.pendingActs), i,
					i+1)
			})
			var g Gate
			_ = g.Admit("a", state.gateFence)
			if err := g.Admit("a", fence); err == nil {
				if fence < state.gateFence && s.violation == "" {
					s.violation = "a lower fence was admitted"
				}
				x.gateFence = fence
			} else if fence >= state.gateFence && s.violation == "" {
				s.violation = "a fence that is not lower was rejected"
			}
			all = append(all, x)
		}
	}
	return all
}

var restartEvents = [...]string{"restart e1", "restart e2", "restart e3"}

func typeName(raw []byte) string {
	b, _ := decode(raw)
	return [...]string{"", "claim", "hold", "vote", "refuse", "release", "free", "learn", "known"}[b.Type]
}

// run explores all states.
func (s *search) run() {
	s.states = map[uint64]struct{}{}
	for _, rates := range [][5]int64{
		{fastRate, fastRate, fastRate, slowRate, fastRate}, // the holder's clock is slow
		{slowRate, slowRate, slowRate, fastRate, slowRate},
		{fastRate, slowRate, fastRate, slowRate, slowRate},
	} {
		s.rates = rates
		state := s.initialState()
		stack := []*searchState{state}
		s.states[s.hash(state)] = struct{}{}
		for len(stack) > 0 && s.violation == "" && (s.maxStates == 0 || len(s.states) < s.maxStates) {
			state := stack[len(stack)-1]
			stack = stack[:len(stack)-1]
			for _, x := range s.successors(state) {
				s.transitions++
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

var deepSearch = flag.String("lease.deep", "", "FAULTS,STEPS for a deeper search")

// The state search detects these disabled safeguards too, each by the rule that it protects.
func TestSearchSafeguards(t *testing.T) {
	for _, c := range []struct {
		name          string
		overrides     testOverrides
		faults, steps int
		want          string
	}{
		{"refusing other claimants while a vote is valid", testOverrides{voteTwice: true}, 0, 2, "two holders"},
		{"fences above the highest", testOverrides{noFenceCheck: true}, 1, 2, "fence"},
		{"the wait after a start", testOverrides{noStartWait: true}, 1, 3, "two holders"},
		{"the drift margin", testOverrides{noDriftMargin: true}, 1, 8, "two holders"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := search{overrides: c.overrides, faults: c.faults, steps: c.steps, maxStates: 400_000}
			if s.run(); !strings.HasPrefix(s.violation, c.want) {
				t.Fatalf("%q after %d states", s.violation, len(s.states))
			}
			t.Logf("%s after %d states, %d events from the initial state", s.violation, len(s.states), len(s.trace)-1)
		})
	}
}

func TestSearch(t *testing.T) {
	s := search{faults: 1, steps: 3}
	if *deepSearch != "" {
		s.noTrace, s.maxStates = true, 40_000_000
		if _, err := fmt.Sscanf(*deepSearch, "%d,%d", &s.faults, &s.steps); err != nil {
			t.Fatal(err)
		}
	}
	began := time.Now()
	s.run()
	t.Logf("%d faults, %d steps of time: %d states, %d transitions, %.1f s", s.faults, s.steps, len(s.states),
		s.transitions, time.Since(began).Seconds())
	if s.violation != "" {
		t.Errorf("%s:\n%s", s.violation, strings.Join(s.trace, "\n"))
	}
}
