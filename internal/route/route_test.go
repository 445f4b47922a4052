package route

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"pewterwheel/decide"
)

const sec = int64(1_000_000)

// The first pool slows 3.7 times for half a minute. With the router, calls go to the first pool alone while it takes
// them, spill as far as it does not, and come back after it; the figures go to the log.
func TestSpillAndReturn(t *testing.T) {
	type phase struct {
		name  string
		tally tally
		share float64
		moved int
	}
	var r *Router
	play := func(name string, make func(decide.Settings) Inner) (ps []phase) {
		set := settings(decide.Free)
		var hosts []*worldHost
		for i := range 5 {
			hosts = append(hosts, hostAt(fmt.Sprint("h", i), i/3, 20_000)) // 50 a second each, three in core, two in reserve
		}
		w := newWorld(t, make(set), set, 5, hosts...)
		part := func(name string, long int64) {
			w.tally = tally{}
			moved := r.Counts.Moved
			w.offer(0, 100, long)
			w.run(w.now + long)
			ps = append(ps, phase{name, w.tally, float64(w.tally.first) / float64(w.tally.attempts), int(r.Counts.Moved - moved)})
		}
		part("start", 20*sec)
		part("calm", 30*sec)
		for _, h := range hosts[:3] {
			h.service = 74_000
		}
		part("slow", 10*sec)
		part("slow, later", 20*sec)
		for _, h := range hosts[:3] {
			h.service = 20_000
		}
		part("back", 20*sec)
		part("later", 30*sec)
		w.run(w.now + 20*sec)
		w.settled()
		for _, p := range ps {
			t.Logf("%-14s %-12s offered %4d on time %.3f late %.3f refused %.3f failed %.3f, at the first pool %.2f, repeats %d, moved %d", name, p.name, p.tally.offered,
				float64(p.tally.onTime)/float64(p.tally.offered), float64(p.tally.late)/float64(p.tally.offered),
				float64(p.tally.refused)/float64(p.tally.offered), float64(p.tally.failed)/float64(p.tally.offered), p.share, p.tally.repeats, p.moved)
		}
		return ps
	}
	with := play("routed", func(set decide.Settings) Inner { r = routed(t, config(set), set, 1); return r })
	play("module alone", func(set decide.Settings) Inner { n, _ := decide.New(set, 1); return n })
	play("first alone", func(set decide.Settings) Inner {
		set.Classes[0].Pools = []int{0}
		n, _ := decide.New(set, 1)
		return n
	})
	t.Logf("counts %+v, flow %.2f", r.Counts, r.Flow(0))
	if calm := with[1]; calm.share < 0.95 || float64(calm.tally.onTime) < 0.97*float64(calm.tally.offered) {
		t.Errorf("calm: %.2f at the first pool, %d of %d on time", calm.share, calm.tally.onTime, calm.tally.offered)
	}
	if slow := with[3]; slow.share > 0.6 || slow.share < 0.1 || float64(slow.tally.onTime) < 0.8*float64(slow.tally.offered) {
		t.Errorf("slow: %.2f at the first pool, %d of %d on time", slow.share, slow.tally.onTime, slow.tally.offered)
	}
	if slow := with[3]; slow.moved > slow.tally.offered/20 {
		t.Errorf("slow: %d of %d calls had to wait at the first pool before they moved on", slow.moved, slow.tally.offered)
	}
	if later := with[5]; later.share < 0.9 {
		t.Errorf("later: %.2f at the first pool", later.share)
	}
}

// Whatever offices do, every call has one final answer, and no rule is broken; the world checks it on every event.
func TestRulesHold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		set := settings(decide.Free, decide.Guarded, decide.SingleShot)
		set.Classes[1].Scope = decide.ScopeCell
		cfg := config(set)
		for i := range cfg.Pools {
			cfg.Pools[i].Rate = rapid.Float64Range(1, 100).Draw(rt, "rate")
			cfg.Pools[i].Open = rapid.IntRange(1, 50).Draw(rt, "open")
		}
		cfg.Classes[2].Pools = []int{1, 0}
		cfg.Repeats = rapid.Float64Range(0, 1).Draw(rt, "repeats")
		seed := rapid.Uint64().Draw(rt, "seed")
		var hosts []*worldHost
		for i := range 4 {
			hosts = append(hosts, hostAt(fmt.Sprint("h", i), i%2, 20_000))
		}
		r := routed(t, cfg, set, seed)
		w := newWorld(t, r, set, seed, hosts...)
		for range rapid.IntRange(1, 12).Draw(rt, "turns") {
			w.offer(rapid.IntRange(0, 2).Draw(rt, "class"), rapid.Float64Range(1, 150).Draw(rt, "load"), 2*sec)
			h := hosts[rapid.IntRange(0, 3).Draw(rt, "host")]
			switch rapid.IntRange(0, 8).Draw(rt, "trouble") {
			case 0:
				h.mute = !h.mute
			case 1:
				h.broken = !h.broken
			case 2:
				h.service = rapid.Int64Range(1_000, 200_000).Draw(rt, "service")
			case 3:
				w.tell(h, decide.Draining)
			case 4:
				h.Started = w.now
				w.tell(h, decide.Up)
			case 5:
				for id, c := range w.calls { // the caller leaves
					if !c.answered && c.out == "" {
						c.answered = true
						w.step(decide.Event{Kind: decide.Gone, Call: id})
						break
					}
				}
			case 6:
				for id, c := range w.calls {
					if c.out == h.ID {
						w.end(id, h.ID, c.attempts-1, decide.Cut, false)
					}
				}
			case 7:
				cfg.Pools[0].Rate = rapid.Float64Range(1, 100).Draw(rt, "new rate")
				for _, a := range r.Reload(w.now, cfg, nil) {
					w.act(a)
				}
			}
			w.run(w.now + rapid.Int64Range(0, 3*sec).Draw(rt, "long"))
		}
		w.run(w.now + 30*sec)
		w.settled()
		for i := range r.pools {
			if p := &r.pools[i]; p.open != 0 || p.held != 0 {
				rt.Fatalf("pool %d has %d open and %d held with no call left", i, p.open, p.held)
			}
		}
		if len(r.calls) != 0 {
			rt.Fatalf("%d calls are kept", len(r.calls))
		}
	})
}

// What a sidecar sends never passes its limit: rate over any time plus what may be saved up, and open set-ups at any
// moment; and a class that keeps within its share is never refused for others.
func TestLimits(t *testing.T) {
	set := settings(decide.Free, decide.Free)
	cfg := config(set)
	cfg.Pools[0].Rate, cfg.Pools[1].Rate = 40, 40
	cfg.Classes = []Class{{[]int{0}, 0.25}, {[]int{0}, 0.75}}
	r := routed(t, cfg, set, 3)
	w := newWorld(t, r, set, 3, hostAt("a", 0, 1000), hostAt("b", 0, 1000), hostAt("c", 1, 1000))
	refusedOf := func(class int) int {
		n := 0
		for _, c := range w.calls {
			if c.class == class && c.ended == 1 && c.attempts == 0 {
				n++
			}
		}
		return n
	}
	w.run(w.now + 5*sec)
	w.offer(1, 200, 20*sec) // alone, and five times the limit: what the other class leaves is lent
	w.run(w.now + 20*sec)
	alone := w.tally.attempts
	if most := 40*20 + 20 + 20 + 1; alone > most || alone < 40*20*95/100 {
		t.Errorf("a class alone made %d attempts in 20 s at a limit of 40 a second", alone)
	}
	if r.Counts.Borrowed == 0 {
		t.Error("nothing was lent")
	}
	w.offer(1, 200, 20*sec)
	w.offer(0, 6, 20*sec) // within its share of 10 a second
	w.run(w.now + 25*sec)
	w.settled()
	if n := refusedOf(0); n > 2 {
		t.Errorf("%d calls of the class within its share were refused", n)
	}
	told := map[int64]bool{}
	for _, wait := range w.tally.waits {
		told[wait/1000] = true
		if wait <= 0 || wait > set.MaxRetryAfter {
			t.Fatalf("a refused caller was told to stay away for %d us", wait)
		}
	}
	if len(told) < 50 {
		t.Errorf("%d refused callers were told %d different times to come back", len(w.tally.waits), len(told))
	}
}

// An idle class's reserve of open set-ups fades, is lent, and comes back as it asks for it.
func TestOpenLent(t *testing.T) {
	set := settings(decide.Free, decide.Free)
	cfg := config(set)
	cfg.Pools[0].Open = 40
	cfg.Pools[0].Rate = 10_000
	cfg.Classes = []Class{{[]int{0}, 0.5}, {[]int{0}, 0.5}}
	r := routed(t, cfg, set, 3)
	p := &r.pools[0]
	p.fill(0)
	have := func(class int) (n int) {
		for range 100 {
			if ok, _ := p.admit(0, class); ok {
				n++
			}
		}
		return n
	}
	if n := have(1); n < 35 || n > 40 {
		t.Errorf("a class alone has %d of 40 open", n)
	}
	lent := p.open
	for range 10 { // its calls end, and the other class asks
		p.leave(1)
	}
	if n := have(0); n < 10 {
		t.Errorf("the owner got %d of 10 that came free", n)
	}
	for range 5 { // the owner has five left, and had more of late: those are kept for it
		p.leave(0)
	}
	for p.classes[1].open > 0 {
		p.leave(1)
	}
	if n := have(1); n > 27 || n < 20 {
		t.Errorf("a class got %d of 40 while another one has 5 and had 10 of late", n)
	}
	if n := have(0); n < 5 {
		t.Errorf("the owner got back %d", n)
	}
	if p.open > lent+3 || p.open > 40 {
		t.Errorf("%d are open at a limit of 40", p.open)
	}
}

// In an overload repeats stay within their part of first tries and the floor, and who is given up hears at once.
func TestRepeatBudget(t *testing.T) {
	play := func(repeats float64) tally {
		set := settings(decide.Free)
		set.MaxTries = 6
		cfg := config(set)
		cfg.Repeats, cfg.Floor = repeats, 1
		r := routed(t, cfg, set, 3)
		var hosts []*worldHost
		for i := range 4 {
			h := hostAt(fmt.Sprint("h", i), 0, 200_000) // 5 a second each
			h.most = 100_000
			hosts = append(hosts, h)
		}
		w := newWorld(t, r, set, 3, hosts...)
		w.offer(0, 60, 60*sec)
		w.run(w.now + 80*sec)
		w.settled()
		return w.tally
	}
	tight, loose := play(0.1), play(1)
	if most := 0.1*float64(tight.attempts-tight.repeats) + 60 + budgetCalls + budgetSeconds + 1; float64(tight.repeats) > most {
		t.Errorf("%d repeats beside %d first attempts; %.0f are the most", tight.repeats, tight.attempts-tight.repeats, most)
	}
	if tight.repeats >= loose.repeats {
		t.Errorf("the budget made no difference: %d repeats with it, %d without", tight.repeats, loose.repeats)
	}
	t.Logf("budget 0.1: %+v", tight.repeats)
	t.Logf("budget 1: %+v", loose.repeats)
}

// However many sidecars find a new host at once, what they send it together stays under what pushes it over.
func TestColdHostOfManySidecars(t *testing.T) {
	const sidecars = 40
	set := settings(decide.Free)
	cfg := config(set)
	cfg.Sidecars = sidecars
	cfg.Pools[0].Whole = 200 // of four hosts: 50 each
	var worlds []*world
	for i := range sidecars {
		var hosts []*worldHost
		for j := range 3 {
			hosts = append(hosts, hostAt(fmt.Sprint("h", j), 0, 1000))
		}
		worlds = append(worlds, newWorld(t, routed(t, cfg, set, uint64(i)), set, uint64(i), hosts...))
	}
	for _, w := range worlds {
		w.offer(0, 10, 40*sec) // all together twice what the pool takes
		w.run(w.now + 10*sec)
	}
	var fresh []*worldHost
	for _, w := range worlds {
		h := hostAt("new", 0, 1000)
		h.Started = w.now
		fresh = append(fresh, h)
		w.tell(h, decide.Up)
		w.run(w.now + 20*sec)
	}
	started := fresh[0].Started
	worst := 0.0
	for at := int64(0); at < set.Rules.Cold; at += 100_000 {
		n := 0
		for _, h := range fresh {
			for _, s := range h.sends {
				if s-started >= at && s-started < at+set.Rules.Fall {
					n++
				}
			}
		}
		part := set.Rules.StartCapacity + (1-set.Rules.StartCapacity)*float64(at)/float64(set.Rules.Cold)
		bound := set.Rules.FallMultiple * part * 50 * float64(set.Rules.Fall) / 1e6
		worst = max(worst, float64(n)/bound)
	}
	t.Logf("at the worst %.2f of what pushes it over", worst)
	if worst > 1 || worst < 0.05 {
		t.Errorf("a cold host got %.2f times what pushes it over", worst)
	}
}

// script is an inner module that does what it is told to, and notes what it was told.
type script struct {
	events  []decide.Event
	next    []decide.Action
	avoided map[decide.ServerID]bool
}

func (s *script) Step(_ int64, e decide.Event, out []decide.Action) []decide.Action {
	s.events = append(s.events, e)
	out = append(out, s.next...)
	s.next = nil
	return out
}

func (s *script) Avoids(id decide.ServerID) bool { return s.avoided[id] }

// A call whose only host has become unusable moves to the next pool with its attempts counted on: what the module calls
// its first attempt there is its second one, and a repeat that is paid for and not made is paid back.
func TestMoveKeepsCount(t *testing.T) {
	set := settings(decide.Free)
	in := &script{avoided: map[decide.ServerID]bool{}}
	r, err := New(config(set), set, in, 1)
	if err != nil {
		t.Fatal(err)
	}
	r.Step(1, decide.Event{Kind: decide.Start}, nil)
	r.Step(1, decide.Event{Kind: decide.List, Form: decide.Delta, Servers: []decide.Listed{{ID: "a", Share: 1}, {ID: "b", Place: 1, Share: 1}}}, nil)
	in.next = []decide.Action{{Kind: decide.Send, Call: 7, Server: "a"}}
	r.Step(2, decide.Event{Kind: decide.Order, Call: 7, Deadline: 6 * sec}, nil)
	budget := r.budget
	r.Step(3, decide.Event{Kind: decide.Ended, Call: 7, Server: "a", Outcome: decide.Cut}, nil)
	if r.budget >= budget {
		t.Error("a repeat was not paid for")
	}
	in.avoided["a"] = true
	in.events = nil
	r.Step(100_000, decide.Event{Kind: decide.Checked}, nil)
	if len(in.events) != 1 {
		t.Errorf("within the guard the module was told %+v", in.events)
	}
	r.Step(300_000, decide.Event{Kind: decide.Checked}, nil)
	var kinds []decide.EventKind
	for _, e := range in.events {
		kinds = append(kinds, e.Kind)
	}
	if n := len(in.events); n != 4 || in.events[2].Kind != decide.Gone || in.events[3].Kind != decide.Order || in.events[3].Class != 1 {
		t.Fatalf("after the guard the module was told %v, %+v", kinds, in.events)
	}
	in.next = []decide.Action{{Kind: decide.Send, Call: 7, Server: "b"}}
	r.Step(300_001, decide.Event{Kind: decide.Checked}, nil)
	in.next = []decide.Action{{Kind: decide.Cancel, Call: 7, Attempt: 0}}
	acts := r.Step(300_002, decide.Event{Kind: decide.Checked}, nil)
	if len(acts) != 1 || acts[0].Kind != decide.Cancel || acts[0].Attempt != 1 {
		t.Errorf("the attempt that is called off is %+v", acts)
	}
	r.Step(300_003, decide.Event{Kind: decide.Ended, Call: 7, Server: "b", Attempt: 1, Outcome: decide.Cancelled}, nil)
	if e := in.events[len(in.events)-1]; e.Attempt != 0 {
		t.Errorf("the module was told of attempt %d, its first at the pool", e.Attempt)
	}
	budget = r.budget
	in.next = []decide.Action{{Kind: decide.Refuse, Call: 7}}
	acts = r.Step(300_004, decide.Event{Kind: decide.Checked}, nil)
	if len(acts) != 1 || acts[0].Kind != decide.Fail || r.budget != budget+1 {
		t.Errorf("given up with %+v, budget %v after %v", acts, r.budget, budget)
	}
}

func TestBadConfigurations(t *testing.T) {
	set := settings(decide.Free)
	for _, break_ := range []func(*Config){func(c *Config) { c.Pools = nil }, func(c *Config) { c.Classes = nil },
		func(c *Config) { c.Classes[0].Pools = nil }, func(c *Config) { c.Classes[0].Pools = []int{2} }, func(c *Config) { c.Sidecars = 0 }} {
		cfg := config(set)
		break_(&cfg)
		if _, err := New(cfg, set, nil, 1); err == nil {
			t.Errorf("%+v was taken", cfg)
		}
	}
}
