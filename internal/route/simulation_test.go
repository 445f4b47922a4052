package route

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"pewterwheel/decide"
)

// simulation simulates offices, callers and a network in virtual time around a router or the module alone. It checks
// the rules on every event: one final answer for each call, never two outstanding attempts, no attempt within the
// guard time, nothing sent to a host that the list has removed, and no action that bypasses the router.
type simulation struct {
	t        testing.TB
	module   Module
	set      decide.Settings
	rng      *rand.Rand
	now      int64
	queue    events
	sequence uint64
	calls    map[decide.CallID]*simulatedCall
	hosts    map[decide.ServerID]*simulatedHost
	results  results
}

type results struct {
	offered, onTime, late, refused, failed int
	attempts, repeats, firstPool           int // firstPool: attempts at the pool of first choice
	waits                                  []int64
}

type simulatedCall struct {
	class         int
	begun         int64
	deadline      int64
	outstandingAt decide.ServerID
	attempts      int
	guardUntil    int64
	mayHaveRun    bool // an attempt may have run
	ranAtPool     int  // pool of that attempt
	answered      bool
	finalAnswers  int // number of final answers
}

type simulatedHost struct {
	decide.Listed
	serviceTime  int64 // processing time of a set-up, microseconds
	idleFrom     int64 // when its queue is empty
	maxQueue     int64 // refuses set-ups while its queue is longer, in microseconds of work
	unresponsive bool
	unreachable  bool
	sends        []int64
}

type simulatedEvent struct {
	at       int64
	sequence uint64
	do       func()
}

type events []simulatedEvent

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(simulatedEvent)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func newSimulation(t testing.TB, module Module, set decide.Settings, seed uint64, hosts ...*simulatedHost) *simulation {
	sim := &simulation{t: t, module: module, set: set, rng: rand.New(rand.NewPCG(seed, 9)), now: 1_000_000_000,
		calls: map[decide.CallID]*simulatedCall{}, hosts: map[decide.ServerID]*simulatedHost{}}
	sim.step(decide.Event{Kind: decide.NodeStarted})
	var list []decide.Listed
	for _, h := range hosts {
		sim.hosts[h.ID] = h
		list = append(list, h.Listed)
	}
	sim.step(decide.Event{Kind: decide.ListUpdate, Form: decide.ListDelta, Servers: list})
	return sim
}

func (sim *simulation) after(delay int64, do func()) {
	sim.sequence++
	heap.Push(&sim.queue, simulatedEvent{sim.now + max(0, delay), sim.sequence, do})
}

func (sim *simulation) run(until int64) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		e := heap.Pop(&sim.queue).(simulatedEvent)
		sim.now = e.at
		e.do()
	}
	sim.now = max(sim.now, until)
}

func (sim *simulation) step(e decide.Event) {
	for _, a := range sim.module.Step(sim.now, e, nil) {
		sim.handleAction(a)
	}
}

// updateHost changes a host on the list.
func (sim *simulation) updateHost(h *simulatedHost, s decide.State) {
	h.State = s
	sim.hosts[h.ID] = h
	sim.step(decide.Event{Kind: decide.ListUpdate, Form: decide.ListDelta, Servers: []decide.Listed{h.Listed}})
}

func (sim *simulation) handleAction(a decide.Action) {
	switch a.Kind {
	case decide.Send:
		sim.send(a)
	case decide.Refuse, decide.Fail:
		c := sim.calls[a.Call]
		if c.finalAnswers++; c.finalAnswers > 1 || c.answered {
			sim.t.Fatalf("call %d has a second final answer", a.Call)
		}
		if c.answered = true; a.Kind == decide.Refuse {
			if c.attempts > 0 {
				sim.t.Fatalf("call %d was attempted and is answered as refused", a.Call)
			}
			sim.results.refused++
			sim.results.waits = append(sim.results.waits, a.Wait)
		} else {
			sim.results.failed++
		}
	case decide.Cancel:
		if c := sim.calls[a.Call]; c.outstandingAt != "" && c.attempts-1 == a.Attempt {
			sim.endAttempt(a.Call, c.outstandingAt, c.attempts-1, decide.Cancelled, false)
		} else if c.outstandingAt != "" {
			sim.t.Fatalf("call %d: attempt %d is cancelled, but %d is outstanding", a.Call, a.Attempt, c.attempts-1)
		}
	case decide.StartTimer:
		token := a.Token
		sim.after(a.Wait, func() { sim.step(decide.Event{Kind: decide.TimerFired, Token: token}) })
	}
}

func (sim *simulation) send(a decide.Action) {
	c, h := sim.calls[a.Call], sim.hosts[a.Server]
	switch {
	case c.outstandingAt != "":
		sim.t.Fatalf("call %d has two outstanding attempts, at %s and %s", a.Call, c.outstandingAt, a.Server)
	case c.answered:
		sim.t.Fatalf("call %d is sent after its final answer", a.Call)
	case sim.now < c.guardUntil:
		sim.t.Fatalf("call %d is sent %d us before its guard time is over", a.Call, c.guardUntil-sim.now)
	case c.mayHaveRun && sim.set.Classes[c.class].Effect == decide.SingleShot:
		sim.t.Fatalf("call %d may have run, and is sent again", a.Call)
	case c.mayHaveRun && sim.set.Classes[c.class].Scope == decide.ScopeCell && h.Place != c.ranAtPool:
		sim.t.Fatalf("call %d may have run at pool %d, which alone detects repeats, and is sent to %d",
			a.Call, c.ranAtPool, h.Place)
	case h.State != decide.Up:
		sim.t.Fatalf("call %d is sent to %s, which is not up", a.Call, a.Server)
	case sim.set.MaxTries > 0 && c.attempts >= sim.set.MaxTries:
		sim.t.Fatalf("call %d is sent for the %dth time", a.Call, c.attempts+1)
	}
	n := c.attempts
	c.outstandingAt, c.attempts = a.Server, n+1
	sim.results.attempts++
	if n > 0 {
		sim.results.repeats++
	}
	if h.Place == 0 {
		sim.results.firstPool++
	}
	h.sends = append(h.sends, sim.now)
	const networkDelay = 500
	endAfter := func(wait int64, o decide.Outcome, full bool) {
		sim.after(wait, func() {
			if c.outstandingAt == a.Server && c.attempts-1 == n {
				sim.endAttempt(a.Call, a.Server, n, o, full)
			}
		})
	}
	sim.after(c.deadline-sim.now, func() {
		if c.outstandingAt == a.Server && c.attempts-1 == n {
			sim.endAttempt(a.Call, a.Server, n, decide.TimedOut, false)
		}
	})
	switch {
	case h.unresponsive:
	case h.unreachable:
		endAfter(networkDelay, decide.Unreachable, false)
	case max(0, h.idleFrom-sim.now) > h.maxQueue:
		h.idleFrom += h.serviceTime / 10
		endAfter(2*networkDelay, decide.Rejected, true)
	default:
		h.idleFrom = max(h.idleFrom, sim.now+networkDelay) + h.serviceTime
		sent := sim.now
		sim.after(h.idleFrom-sim.now+networkDelay, func() {
			if c.outstandingAt != a.Server || c.attempts-1 != n {
				return // given up
			}
			c.outstandingAt = ""
			if !c.answered {
				c.answered = true
				if c.finalAnswers++; c.finalAnswers > 1 {
					sim.t.Fatalf("call %d has a second final answer", a.Call)
				}
				if sim.now-c.begun <= sim.set.Classes[c.class].Aim {
					sim.results.onTime++
				} else {
					sim.results.late++
				}
			}
			sim.step(decide.Event{Kind: decide.SetUpCompleted, Call: a.Call, Server: a.Server, Attempt: n,
				Elapsed: sim.now - sent})
		})
	}
}

func (sim *simulation) endAttempt(id decide.CallID, s decide.ServerID, n int, o decide.Outcome, full bool) {
	c := sim.calls[id]
	c.outstandingAt = ""
	if !c.mayHaveRun && o != decide.Rejected && o != decide.Unreachable && o != decide.NotSent {
		c.mayHaveRun, c.ranAtPool = true, sim.hosts[s].Place
	}
	if o == decide.TimedOut || o == decide.Cancelled || o == decide.Cut {
		c.guardUntil = sim.now + sim.set.Rules.GuardTime
	}
	sim.step(decide.Event{Kind: decide.AttemptEnded, Call: id, Server: s, Attempt: n, Outcome: o, ProcessorFull: full,
		AnswerGiven: c.answered, Load: decide.NoLoad()})
}

// call adds a call of a class.
func (sim *simulation) call(class int) decide.CallID {
	sim.sequence++
	id := decide.CallID(sim.sequence)
	cl := sim.set.Classes[class]
	sim.calls[id] = &simulatedCall{class: class, begun: sim.now, deadline: sim.now + cl.Deadline}
	sim.results.offered++
	sim.step(decide.Event{Kind: decide.CallArrived, Call: id, Class: class,
		Key: fmt.Sprint("k", id), Deadline: sim.now + cl.Deadline, Destination: -1})
	return id
}

// offer adds calls of a class at random, at a rate per second, for the given duration.
func (sim *simulation) offer(class int, rate float64, duration int64) {
	for at := int64(sim.rng.ExpFloat64() / rate * 1e6); at < duration; at += int64(sim.rng.ExpFloat64() / rate * 1e6) {
		sim.after(at, func() { sim.call(class) })
	}
}

// checkSettled checks that every call has exactly one final answer.
func (sim *simulation) checkSettled() {
	sim.t.Helper()
	for id, c := range sim.calls {
		if !c.answered || c.outstandingAt != "" {
			sim.t.Fatalf("call %d: answered %v, outstanding at %q", id, c.answered, c.outstandingAt)
		}
	}
}

func hostAt(id string, place int, serviceTime int64) *simulatedHost {
	return &simulatedHost{Listed: decide.Listed{ID: decide.ServerID(id), Place: place, Share: 1},
		serviceTime: serviceTime, maxQueue: 1_000_000}
}

// settings returns the settings of the platform, with classes that may use two pools.
func settings(effects ...decide.Effect) decide.Settings {
	set := decide.Settings{Instances: 1, ResendAfter: 500_000, Quantum: 5_000, MaxTries: 4, MayCancel: true,
		RetryAdvice: true, MaxRetryAfter: 2_000_000, HomePlace: -1, Rules: decide.Rules{DrainGrace: 1_000_000,
			StartCapacity: 0.28, ColdTime: 13_000_000, FallMultiple: 3, FallTime: 1_500_000, GuardTime: 200_000}}
	for _, e := range effects {
		set.Classes = append(set.Classes, decide.Class{Aim: 800_000, Deadline: 6_000_000, Worth: 1, LateWorth: 0.1,
			Effect: e, Window: 30_000_000, Pools: []int{0, 1}})
	}
	return set
}

func config(set decide.Settings) Config {
	cfg := Config{Sidecars: 1, RepeatRatio: 0.2, MinRepeatRate: 1, MoveAfter: 100_000, ReturnRate: 0.05, MinFlow: 0.02,
		Pools: []Pool{{"core", 1000, 1000, 1000}, {"reserve", 1000, 1000, 1000}}}
	for range set.Classes {
		cfg.Classes = append(cfg.Classes, Class{[]int{0, 1}, 1 / float64(len(set.Classes))})
	}
	return cfg
}

// routed returns a router in front of the real module.
func routed(t testing.TB, cfg Config, set decide.Settings, seed uint64) *Router {
	t.Helper()
	module, err := decide.New(cfg.Settings(set), seed)
	if err != nil {
		t.Fatal(err)
	}
	r, err := New(cfg, set, module, seed)
	if err != nil {
		t.Fatal(err)
	}
	return r
}
