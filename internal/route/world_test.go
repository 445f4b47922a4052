package route

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"pewterwheel/decide"
)

// A world is offices, callers and a network in virtual time, round a router or the module alone. It checks the rules
// on every event: one final answer for each call, never two attempts out, no attempt within the guard, nothing to a host
// that the list has ended, nothing behind the router's back.
type world struct {
	t     testing.TB
	node  Inner
	set   decide.Settings
	rng   *rand.Rand
	now   int64
	queue events
	n     uint64
	calls map[decide.CallID]*worldCall
	hosts map[decide.ServerID]*worldHost
	tally tally
}

type tally struct {
	offered, onTime, late, refused, failed int
	attempts, repeats, first               int // first: attempts at the pool of first choice
	waits                                  []int64
}

type worldCall struct {
	class    int
	begun    int64
	deadline int64
	out      decide.ServerID
	attempts int
	guard    int64
	ran      bool // an attempt may have run
	ranAt    int  // at this pool
	answered bool
	ended    int // final answers
}

type worldHost struct {
	decide.Listed
	service int64 // work for a set-up, microseconds
	free    int64 // when its line is worked off
	most    int64 // past this much work in line it refuses
	mute    bool
	broken  bool
	sends   []int64
}

type worldEvent struct {
	at int64
	n  uint64
	do func()
}

type events []worldEvent

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(worldEvent)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func newWorld(t testing.TB, node Inner, set decide.Settings, seed uint64, hosts ...*worldHost) *world {
	w := &world{t: t, node: node, set: set, rng: rand.New(rand.NewPCG(seed, 9)), now: 1_000_000_000,
		calls: map[decide.CallID]*worldCall{}, hosts: map[decide.ServerID]*worldHost{}}
	w.step(decide.Event{Kind: decide.Start})
	var list []decide.Listed
	for _, h := range hosts {
		w.hosts[h.ID] = h
		list = append(list, h.Listed)
	}
	w.step(decide.Event{Kind: decide.List, Form: decide.Delta, Servers: list})
	return w
}

func (w *world) after(wait int64, do func()) {
	w.n++
	heap.Push(&w.queue, worldEvent{w.now + max(0, wait), w.n, do})
}

func (w *world) run(till int64) {
	for len(w.queue) > 0 && w.queue[0].at <= till {
		e := heap.Pop(&w.queue).(worldEvent)
		w.now = e.at
		e.do()
	}
	w.now = max(w.now, till)
}

func (w *world) step(e decide.Event) {
	for _, a := range w.node.Step(w.now, e, nil) {
		w.act(a)
	}
}

// tell changes a host on the list.
func (w *world) tell(h *worldHost, s decide.State) {
	h.State = s
	w.hosts[h.ID] = h
	w.step(decide.Event{Kind: decide.List, Form: decide.Delta, Servers: []decide.Listed{h.Listed}})
}

func (w *world) act(a decide.Action) {
	switch a.Kind {
	case decide.Send:
		w.send(a)
	case decide.Refuse, decide.Fail:
		c := w.calls[a.Call]
		if c.ended++; c.ended > 1 || c.answered {
			w.t.Fatalf("call %d has a second final answer", a.Call)
		}
		if c.answered = true; a.Kind == decide.Refuse {
			if c.attempts > 0 {
				w.t.Fatalf("call %d was sent on and is answered as refused", a.Call)
			}
			w.tally.refused++
			w.tally.waits = append(w.tally.waits, a.Wait)
		} else {
			w.tally.failed++
		}
	case decide.Cancel:
		if c := w.calls[a.Call]; c.out != "" && c.attempts-1 == a.Attempt {
			w.end(a.Call, c.out, c.attempts-1, decide.Cancelled, false)
		} else if c.out != "" {
			w.t.Fatalf("call %d: attempt %d is called off, and %d is out", a.Call, a.Attempt, c.attempts-1)
		}
	case decide.Timer:
		token := a.Token
		w.after(a.Wait, func() { w.step(decide.Event{Kind: decide.Fired, Token: token}) })
	}
}

func (w *world) send(a decide.Action) {
	c, h := w.calls[a.Call], w.hosts[a.Server]
	switch {
	case c.out != "":
		w.t.Fatalf("call %d has two attempts out, at %s and %s", a.Call, c.out, a.Server)
	case c.answered:
		w.t.Fatalf("call %d is sent after its final answer", a.Call)
	case w.now < c.guard:
		w.t.Fatalf("call %d is sent %d us before its guard is over", a.Call, c.guard-w.now)
	case c.ran && w.set.Classes[c.class].Effect == decide.SingleShot:
		w.t.Fatalf("call %d may have run, and is sent again", a.Call)
	case c.ran && w.set.Classes[c.class].Scope == decide.ScopeCell && h.Place != c.ranAt:
		w.t.Fatalf("call %d may have run at pool %d, which alone drops repeats, and is sent to %d", a.Call, c.ranAt, h.Place)
	case h.State != decide.Up:
		w.t.Fatalf("call %d is sent to %s, which is not up", a.Call, a.Server)
	case w.set.MaxTries > 0 && c.attempts >= w.set.MaxTries:
		w.t.Fatalf("call %d is sent for the %dth time", a.Call, c.attempts+1)
	}
	n := c.attempts
	c.out, c.attempts = a.Server, n+1
	w.tally.attempts++
	if n > 0 {
		w.tally.repeats++
	}
	if h.Place == 0 {
		w.tally.first++
	}
	h.sends = append(h.sends, w.now)
	const way = 500
	over := func(wait int64, o decide.Outcome, full bool) {
		w.after(wait, func() {
			if c.out == a.Server && c.attempts-1 == n {
				w.end(a.Call, a.Server, n, o, full)
			}
		})
	}
	w.after(c.deadline-w.now, func() {
		if c.out == a.Server && c.attempts-1 == n {
			w.end(a.Call, a.Server, n, decide.TimedOut, false)
		}
	})
	switch {
	case h.mute:
	case h.broken:
		over(way, decide.Unreached, false)
	case max(0, h.free-w.now) > h.most:
		h.free += h.service / 10
		over(2*way, decide.Rejected, true)
	default:
		h.free = max(h.free, w.now+way) + h.service
		sent := w.now
		w.after(h.free-w.now+way, func() {
			if c.out != a.Server || c.attempts-1 != n {
				return // given up
			}
			c.out = ""
			if !c.answered {
				c.answered = true
				if c.ended++; c.ended > 1 {
					w.t.Fatalf("call %d has a second final answer", a.Call)
				}
				if w.now-c.begun <= w.set.Classes[c.class].Aim {
					w.tally.onTime++
				} else {
					w.tally.late++
				}
			}
			w.step(decide.Event{Kind: decide.Begun, Call: a.Call, Server: a.Server, Attempt: n, Took: w.now - sent})
		})
	}
}

func (w *world) end(id decide.CallID, s decide.ServerID, n int, o decide.Outcome, full bool) {
	c := w.calls[id]
	c.out = ""
	if !c.ran && o != decide.Rejected && o != decide.Unreached && o != decide.Unsent {
		c.ran, c.ranAt = true, w.hosts[s].Place
	}
	if o == decide.TimedOut || o == decide.Cancelled || o == decide.Cut {
		c.guard = w.now + w.set.Rules.Guard
	}
	w.step(decide.Event{Kind: decide.Ended, Call: id, Server: s, Attempt: n, Outcome: o, Full: full, Final: c.answered,
		Load: decide.NoLoad()})
}

// call brings a call of a class.
func (w *world) call(class int) decide.CallID {
	w.n++
	id := decide.CallID(w.n)
	cl := w.set.Classes[class]
	w.calls[id] = &worldCall{class: class, begun: w.now, deadline: w.now + cl.Deadline}
	w.tally.offered++
	w.step(decide.Event{Kind: decide.Order, Call: id, Class: class, Key: fmt.Sprint("k", id), Deadline: w.now + cl.Deadline, Dest: -1})
	return id
}

// offer brings calls of a class at a rate a second, for so long, at random.
func (w *world) offer(class int, rate float64, long int64) {
	for at := int64(w.rng.ExpFloat64() / rate * 1e6); at < long; at += int64(w.rng.ExpFloat64() / rate * 1e6) {
		w.after(at, func() { w.call(class) })
	}
}

// settled checks that every call that came has its one final answer.
func (w *world) settled() {
	w.t.Helper()
	for id, c := range w.calls {
		if !c.answered || c.out != "" {
			w.t.Fatalf("call %d: answered %v, out at %q", id, c.answered, c.out)
		}
	}
}

func hostAt(id string, place int, service int64) *worldHost {
	return &worldHost{Listed: decide.Listed{ID: decide.ServerID(id), Place: place, Share: 1}, service: service, most: 1_000_000}
}

// settings are those of the platform, with classes that may use two pools.
func settings(effects ...decide.Effect) decide.Settings {
	set := decide.Settings{Instances: 1, Resend: 500_000, Quantum: 5_000, MaxTries: 4, MayCancel: true, RetryAdvice: true,
		MaxRetryAfter: 2_000_000, Home: -1, Rules: decide.Rules{DrainGrace: 1_000_000, StartCapacity: 0.28, Cold: 13_000_000,
			FallMultiple: 3, Fall: 1_500_000, Guard: 200_000}}
	for _, e := range effects {
		set.Classes = append(set.Classes, decide.Class{Aim: 800_000, Deadline: 6_000_000, Worth: 1, LateWorth: 0.1, Effect: e,
			Window: 30_000_000, Pools: []int{0, 1}})
	}
	return set
}

func config(set decide.Settings) Config {
	cfg := Config{Sidecars: 1, Repeats: 0.2, Floor: 1, Wait: 100_000, Return: 0.05, Least: 0.02,
		Pools: []Pool{{"core", 1000, 1000, 1000}, {"reserve", 1000, 1000, 1000}}}
	for range set.Classes {
		cfg.Classes = append(cfg.Classes, Class{[]int{0, 1}, 1 / float64(len(set.Classes))})
	}
	return cfg
}

// routed makes a router before the real module.
func routed(t testing.TB, cfg Config, set decide.Settings, seed uint64) *Router {
	t.Helper()
	inner, err := decide.New(cfg.Settings(set), seed)
	if err != nil {
		t.Fatal(err)
	}
	r, err := New(cfg, set, inner, seed)
	if err != nil {
		t.Fatal(err)
	}
	return r
}
