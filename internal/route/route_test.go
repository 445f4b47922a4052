package route

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"pewterwheel/decide"
)

const sec = int64(1_000_000)

// The first pool becomes 3.7 times slower for half a minute. With the router, calls go only to the first pool while
// it can take them, spill to the next as far as it cannot, and return afterwards. The results are logged.
func TestSpillAndReturn(t *testing.T) {
	type phase struct {
		name    string
		results results
		share   float64
		moved   int
	}
	var r *Router
	runScenario := func(name string, make func(decide.Settings) Module) (ps []phase) {
		set := settings(decide.Repeatable)
		var hosts []*simulatedHost
		for i := range 5 {
			hosts = append(hosts, hostAt(fmt.Sprint("h", i), i/3, 20_000)) // 50/s each, 3 in core, 2 in reserve
		}
		sim := newSimulation(t, make(set), set, 5, hosts...)
		runPhase := func(name string, duration int64) {
			sim.results = results{}
			moved := r.Counts.Moved
			sim.offer(0, 100, duration)
			sim.run(sim.now + duration)
			ps = append(ps, phase{name, sim.results, float64(sim.results.firstPool) / float64(sim.results.attempts),
				int(r.Counts.Moved - moved)})
		}
		runPhase("start", 20*sec)
		runPhase("calm", 30*sec)
		for _, h := range hosts[:3] {
			h.serviceTime = 74_000
		}
		runPhase("slow", 10*sec)
		runPhase("slow, later", 20*sec)
		for _, h := range hosts[:3] {
			h.serviceTime = 20_000
		}
		runPhase("back", 20*sec)
		runPhase("later", 30*sec)
		sim.run(sim.now + 20*sec)
		sim.checkSettled()
		for _, p := range ps {
			t.Logf("%-14s %-12s offered %4d on time %.3f late %.3f refused %.3f failed %.3f first %.2f repeats %d moved %d",
				name, p.name, p.results.offered,
				float64(p.results.onTime)/float64(p.results.offered), float64(p.results.late)/float64(p.results.offered),
				float64(p.results.refused)/float64(p.results.offered), float64(p.results.failed)/float64(p.results.offered),
				p.share, p.results.repeats, p.moved)
		}
		return ps
	}
	phases := runScenario("routed", func(set decide.Settings) Module { r = routed(t, config(set), set, 1); return r })
	runScenario("module alone", func(set decide.Settings) Module { n, _ := decide.New(set, 1); return n })
	runScenario("first alone", func(set decide.Settings) Module {
		set.Classes[0].Pools = []int{0}
		n, _ := decide.New(set, 1)
		return n
	})
	t.Logf("counts %+v, flow %.2f", r.Counts, r.Flow(0))
	if calm := phases[1]; calm.share < 0.95 || float64(calm.results.onTime) < 0.97*float64(calm.results.offered) {
		t.Errorf("calm: %.2f at the first pool, %d of %d on time", calm.share, calm.results.onTime, calm.results.offered)
	}
	if slow := phases[3]; slow.share > 0.6 || slow.share < 0.1 ||
		float64(slow.results.onTime) < 0.8*float64(slow.results.offered) {
		t.Errorf("slow: %.2f at the first pool, %d of %d on time", slow.share, slow.results.onTime, slow.results.offered)
	}
	if slow := phases[3]; slow.moved > slow.results.offered/20 {
		t.Errorf("slow: %d of %d calls were held at the first pool before they moved on",
			slow.moved, slow.results.offered)
	}
	if later := phases[5]; later.share < 0.9 {
		t.Errorf("later: %.2f at the first pool", later.share)
	}
}

// Whatever offices do, every call gets one final answer and no rule is broken; the simulation checks this on every
// event.
func TestRandomSequencesKeepRules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		set := settings(decide.Repeatable, decide.Guarded, decide.SingleShot)
		set.Classes[1].Scope = decide.ScopeCell
		cfg := config(set)
		for i := range cfg.Pools {
			cfg.Pools[i].RateLimit = rapid.Float64Range(1, 100).Draw(rt, "rate")
			cfg.Pools[i].MaxOpen = rapid.IntRange(1, 50).Draw(rt, "open")
		}
		cfg.Classes[2].Pools = []int{1, 0}
		cfg.RepeatRatio = rapid.Float64Range(0, 1).Draw(rt, "repeats")
		seed := rapid.Uint64().Draw(rt, "seed")
		var hosts []*simulatedHost
		for i := range 4 {
			hosts = append(hosts, hostAt(fmt.Sprint("h", i), i%2, 20_000))
		}
		r := routed(t, cfg, set, seed)
		sim := newSimulation(t, r, set, seed, hosts...)
		for range rapid.IntRange(1, 12).Draw(rt, "turns") {
			sim.offer(rapid.IntRange(0, 2).Draw(rt, "class"), rapid.Float64Range(1, 150).Draw(rt, "load"), 2*sec)
			h := hosts[rapid.IntRange(0, 3).Draw(rt, "host")]
			switch rapid.IntRange(0, 8).Draw(rt, "trouble") {
			case 0:
				h.unresponsive = !h.unresponsive
			case 1:
				h.unreachable = !h.unreachable
			case 2:
				h.serviceTime = rapid.Int64Range(1_000, 200_000).Draw(rt, "service")
			case 3:
				sim.updateHost(h, decide.Draining)
			case 4:
				h.Started = sim.now
				sim.updateHost(h, decide.Up)
			case 5:
				for id, c := range sim.calls { // the caller disconnects
					if !c.answered && c.outstandingAt == "" {
						c.answered = true
						sim.step(decide.Event{Kind: decide.CallerLeft, Call: id})
						break
					}
				}
			case 6:
				for id, c := range sim.calls {
					if c.outstandingAt == h.ID {
						sim.endAttempt(id, h.ID, c.attempts-1, decide.Cut, false)
					}
				}
			case 7:
				cfg.Pools[0].RateLimit = rapid.Float64Range(1, 100).Draw(rt, "new rate")
				for _, a := range r.Reload(sim.now, cfg, nil) {
					sim.handleAction(a)
				}
			}
			sim.run(sim.now + rapid.Int64Range(0, 3*sec).Draw(rt, "long"))
		}
		sim.run(sim.now + 30*sec)
		sim.checkSettled()
		for i := range r.pools {
			if p := &r.pools[i]; p.open != 0 || p.held != 0 {
				rt.Fatalf("pool %d has %d open and %d held calls, but no call is left", i, p.open, p.held)
			}
		}
		if len(r.calls) != 0 {
			rt.Fatalf("%d calls are left over", len(r.calls))
		}
	})
}

// A sidecar never exceeds its limit: the rate over any period plus the allowed burst, and the open set-ups at any
// moment. A class that stays within its share is never refused because of others.
func TestLimits(t *testing.T) {
	set := settings(decide.Repeatable, decide.Repeatable)
	cfg := config(set)
	cfg.Pools[0].RateLimit, cfg.Pools[1].RateLimit = 40, 40
	cfg.Classes = []Class{{[]int{0}, 0.25}, {[]int{0}, 0.75}}
	r := routed(t, cfg, set, 3)
	sim := newSimulation(t, r, set, 3, hostAt("a", 0, 1000), hostAt("b", 0, 1000), hostAt("c", 1, 1000))
	refusedOf := func(class int) int {
		n := 0
		for _, c := range sim.calls {
			if c.class == class && c.finalAnswers == 1 && c.attempts == 0 {
				n++
			}
		}
		return n
	}
	sim.run(sim.now + 5*sec)
	sim.offer(1, 200, 20*sec) // alone, at five times the limit: it may use the unused rate of the other class
	sim.run(sim.now + 20*sec)
	alone := sim.results.attempts
	if most := 40*20 + 20 + 20 + 1; alone > most || alone < 40*20*95/100 {
		t.Errorf("a class alone made %d attempts in 20 s at a limit of 40 a second", alone)
	}
	if r.Counts.Borrowed == 0 {
		t.Error("no rate was lent")
	}
	sim.offer(1, 200, 20*sec)
	sim.offer(0, 6, 20*sec) // within its share of 10 per second
	sim.run(sim.now + 25*sec)
	sim.checkSettled()
	if n := refusedOf(0); n > 2 {
		t.Errorf("%d calls of the class within its share were refused", n)
	}
	delays := map[int64]bool{}
	for _, wait := range sim.results.waits {
		delays[wait/1000] = true
		if wait <= 0 || wait > set.MaxRetryAfter {
			t.Fatalf("a refused caller was given a retry delay of %d us", wait)
		}
	}
	if len(delays) < 50 {
		t.Errorf("%d refused callers were given %d different retry delays", len(sim.results.waits), len(delays))
	}
}

// An idle class's reserve of open set-ups decays, is lent to other classes, and is returned when the class needs it.
func TestOpenSetUpsAreLent(t *testing.T) {
	set := settings(decide.Repeatable, decide.Repeatable)
	cfg := config(set)
	cfg.Pools[0].MaxOpen = 40
	cfg.Pools[0].RateLimit = 10_000
	cfg.Classes = []Class{{[]int{0}, 0.5}, {[]int{0}, 0.5}}
	r := routed(t, cfg, set, 3)
	p := &r.pools[0]
	p.refill(0)
	admitted := func(class int) (n int) {
		for range 100 {
			if ok, _ := p.admit(0, class); ok {
				n++
			}
		}
		return n
	}
	if n := admitted(1); n < 35 || n > 40 {
		t.Errorf("a class alone got %d of 40 open set-ups", n)
	}
	lent := p.open
	for range 10 { // its calls end, and the other class needs them
		p.release(1)
	}
	if n := admitted(0); n < 10 {
		t.Errorf("the owner got %d of the 10 that were freed", n)
	}
	for range 5 { // the owner has five left and recently had more: those are kept for it
		p.release(0)
	}
	for p.classes[1].open > 0 {
		p.release(1)
	}
	if n := admitted(1); n > 27 || n < 20 {
		t.Errorf("a class got %d of 40 while another one has 5 and recently had 10", n)
	}
	if n := admitted(0); n < 5 {
		t.Errorf("the owner got back %d", n)
	}
	if p.open > lent+3 || p.open > 40 {
		t.Errorf("%d set-ups are open at a limit of 40", p.open)
	}
}

// In an overload, repeated attempts stay within their ratio to first attempts plus the minimum rate, and a call that
// is given up is answered at once.
func TestRepeatBudget(t *testing.T) {
	runScenario := func(repeats float64) results {
		set := settings(decide.Repeatable)
		set.MaxTries = 6
		cfg := config(set)
		cfg.RepeatRatio, cfg.MinRepeatRate = repeats, 1
		r := routed(t, cfg, set, 3)
		var hosts []*simulatedHost
		for i := range 4 {
			h := hostAt(fmt.Sprint("h", i), 0, 200_000) // 5 per second each
			h.maxQueue = 100_000
			hosts = append(hosts, h)
		}
		sim := newSimulation(t, r, set, 3, hosts...)
		sim.offer(0, 60, 60*sec)
		sim.run(sim.now + 80*sec)
		sim.checkSettled()
		return sim.results
	}
	tight, loose := runScenario(0.1), runScenario(1)
	if most := 0.1*float64(tight.attempts-tight.repeats) + 60 + budgetCalls + budgetSeconds + 1; float64(tight.repeats) >
		most {
		t.Errorf("%d repeated attempts with %d first attempts, want %.0f at most",
			tight.repeats, tight.attempts-tight.repeats, most)
	}
	if tight.repeats >= loose.repeats {
		t.Errorf("the budget made no difference: %d repeated attempts with it, %d without",
			tight.repeats, loose.repeats)
	}
	t.Logf("budget 0.1: %+v", tight.repeats)
	t.Logf("budget 1: %+v", loose.repeats)
}

// However many sidecars discover a new host at the same time, together they send it less than what overloads it.
func TestColdHostOfManySidecars(t *testing.T) {
	const sidecars = 40
	set := settings(decide.Repeatable)
	cfg := config(set)
	cfg.Sidecars = sidecars
	cfg.Pools[0].TotalRate = 200 // of four hosts: 50 each
	var simulations []*simulation
	for i := range sidecars {
		var hosts []*simulatedHost
		for j := range 3 {
			hosts = append(hosts, hostAt(fmt.Sprint("h", j), 0, 1000))
		}
		simulations = append(simulations, newSimulation(t, routed(t, cfg, set, uint64(i)), set, uint64(i), hosts...))
	}
	for _, sim := range simulations {
		sim.offer(0, 10, 40*sec) // in total twice what the pool takes
		sim.run(sim.now + 10*sec)
	}
	var fresh []*simulatedHost
	for _, sim := range simulations {
		h := hostAt("new", 0, 1000)
		h.Started = sim.now
		fresh = append(fresh, h)
		sim.updateHost(h, decide.Up)
		sim.run(sim.now + 20*sec)
	}
	started := fresh[0].Started
	worst := 0.0
	for at := int64(0); at < set.Rules.ColdTime; at += 100_000 {
		n := 0
		for _, h := range fresh {
			for _, s := range h.sends {
				if s-started >= at && s-started < at+set.Rules.FallTime {
					n++
				}
			}
		}
		part := set.Rules.StartCapacity + (1-set.Rules.StartCapacity)*float64(at)/float64(set.Rules.ColdTime)
		bound := set.Rules.FallMultiple * part * 50 * float64(set.Rules.FallTime) / 1e6
		worst = max(worst, float64(n)/bound)
	}
	t.Logf("at most %.2f of what overloads it", worst)
	if worst > 1 || worst < 0.05 {
		t.Errorf("a cold host got %.2f times what overloads it", worst)
	}
}

// fakeModule is a module that returns the given actions and records the events it receives.
type fakeModule struct {
	events      []decide.Event
	nextActions []decide.Action
	avoided     map[decide.ServerID]bool
}

func (m *fakeModule) Step(_ int64, e decide.Event, out []decide.Action) []decide.Action {
	m.events = append(m.events, e)
	out = append(out, m.nextActions...)
	m.nextActions = nil
	return out
}

func (m *fakeModule) Avoids(id decide.ServerID) bool { return m.avoided[id] }

// A call whose only host becomes unusable moves to the next pool, and its attempts are counted on: the module's first
// attempt there is its second one. A repeated attempt that is paid for but not made is refunded.
func TestMoveKeepsAttemptCount(t *testing.T) {
	set := settings(decide.Repeatable)
	module := &fakeModule{avoided: map[decide.ServerID]bool{}}
	r, err := New(config(set), set, module, 1)
	if err != nil {
		t.Fatal(err)
	}
	r.Step(1, decide.Event{Kind: decide.NodeStarted}, nil)
	r.Step(1, decide.Event{Kind: decide.ListUpdate, Form: decide.ListDelta, Servers: []decide.Listed{{ID: "a", Share: 1},
		{ID: "b", Place: 1, Share: 1}}}, nil)
	module.nextActions = []decide.Action{{Kind: decide.Send, Call: 7, Server: "a"}}
	r.Step(2, decide.Event{Kind: decide.CallArrived, Call: 7, Deadline: 6 * sec}, nil)
	budget := r.budget
	r.Step(3, decide.Event{Kind: decide.AttemptEnded, Call: 7, Server: "a", Outcome: decide.Cut}, nil)
	if r.budget >= budget {
		t.Error("a repeat was not paid for")
	}
	module.avoided["a"] = true
	module.events = nil
	r.Step(100_000, decide.Event{Kind: decide.ServerReport}, nil)
	if len(module.events) != 1 {
		t.Errorf("within the guard time the module received %+v", module.events)
	}
	r.Step(300_000, decide.Event{Kind: decide.ServerReport}, nil)
	var kinds []decide.EventKind
	for _, e := range module.events {
		kinds = append(kinds, e.Kind)
	}
	if n := len(module.events); n != 4 || module.events[2].Kind != decide.CallerLeft ||
		module.events[3].Kind != decide.CallArrived || module.events[3].Class != 1 {
		t.Fatalf("after the guard time the module received %v, %+v", kinds, module.events)
	}
	module.nextActions = []decide.Action{{Kind: decide.Send, Call: 7, Server: "b"}}
	r.Step(300_001, decide.Event{Kind: decide.ServerReport}, nil)
	module.nextActions = []decide.Action{{Kind: decide.Cancel, Call: 7, Attempt: 0}}
	acts := r.Step(300_002, decide.Event{Kind: decide.ServerReport}, nil)
	if len(acts) != 1 || acts[0].Kind != decide.Cancel || acts[0].Attempt != 1 {
		t.Errorf("the cancelled attempt is %+v", acts)
	}
	r.Step(300_003, decide.Event{Kind: decide.AttemptEnded, Call: 7, Server: "b", Attempt: 1,
		Outcome: decide.Cancelled}, nil)
	if e := module.events[len(module.events)-1]; e.Attempt != 0 {
		t.Errorf("the module received attempt %d, want its first at the pool", e.Attempt)
	}
	budget = r.budget
	module.nextActions = []decide.Action{{Kind: decide.Refuse, Call: 7}}
	acts = r.Step(300_004, decide.Event{Kind: decide.ServerReport}, nil)
	if len(acts) != 1 || acts[0].Kind != decide.Fail || r.budget != budget+1 {
		t.Errorf("failed with %+v, budget %v after %v", acts, r.budget, budget)
	}
}

func TestBadConfigurations(t *testing.T) {
	set := settings(decide.Repeatable)
	for _, break_ := range []func(*Config){func(c *Config) { c.Pools = nil }, func(c *Config) { c.Classes = nil },
		func(c *Config) { c.Classes[0].Pools = nil },
		func(c *Config) { c.Classes[0].Pools = []int{2} }, func(c *Config) { c.Sidecars = 0 }} {
		cfg := config(set)
		break_(&cfg)
		if _, err := New(cfg, set, nil, 1); err == nil {
			t.Errorf("%+v was accepted", cfg)
		}
	}
}
