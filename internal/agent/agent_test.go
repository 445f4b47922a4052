package agent

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"pewterwheel/internal/advice"
	"pewterwheel/internal/dissemination"
	"pewterwheel/internal/fleet"
	"pewterwheel/internal/fleetnet"
	"pewterwheel/internal/standin"
)

// fakeNet records the calls to it.
type fakeNet struct {
	mu          sync.Mutex
	events      chan fleetnet.Event
	own         fleet.Coded
	spreadCount map[string]int
	keptNames   []string // names whose entries were kept but not spread
	passedTo    []string // processes to which entries were passed
	refused     atomic.Uint64
	digestValue uint64
	older       bool
	sent        []fleet.Message
	left        bool
	closed      bool
}

func newFakeNet() *fakeNet {
	return &fakeNet{events: make(chan fleetnet.Event, 100), spreadCount: map[string]int{}}
}
func (n *fakeNet) Send(m fleet.Message) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent = append(n.sent, m)
	if m.To == "nobody" {
		return &fleetnet.UnknownMemberError{Name: m.To}
	}
	return nil
}
func (n *fakeNet) Spread(name string, b fleet.Coded) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.spreadCount[name]++; name == "a" {
		n.own = b
	}
}

// timesSpread returns how often a process's entry was spread, and whether the last spread of the own entry was an
// update.
func (n *fakeNet) timesSpread(name string) (times int, update bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.spreadCount[name], n.own.Update != nil
}

func (n *fakeNet) hasOlderMembers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.older
}
func (n *fakeNet) digest() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.digestValue
}

// keptOnly returns the names whose entries were kept but not spread.
func (n *fakeNet) keptOnly() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.keptNames)
}

// entry returns the own entry as other members decode it from the last spread.
func (n *fakeNet) entry(t testing.TB) *fleet.Entry {
	t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	other := fleet.NewRegistry(fleet.Entry{Name: "other", Incarnation: 1, State: fleet.Serving})
	if _, _, err := other.Take(1, n.own.Entry); err != nil {
		t.Fatal(err)
	}
	if n.own.Update != nil {
		if _, taken, err := other.TakeUpdate(1, n.own.Update); err != nil || taken == nil {
			t.Fatalf("the update does not apply to its entry: %v", err)
		}
	}
	return &other.View(2).Member("a").Entry
}
func (n *fakeNet) Keep(name string, _ fleet.Coded) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.keptNames = append(n.keptNames, name)
}
func (n *fakeNet) Pass(to string, known fleet.Coded) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.passedTo = append(n.passedTo, to)
	return nil
}
func (n *fakeNet) Root(root uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.digestValue = root
}
func (n *fakeNet) Older(heard bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.older = heard
}
func (n *fakeNet) Allow(dissemination.Class, int) bool { return true }
func (n *fakeNet) Forget(string)                       {}
func (n *fakeNet) Events() <-chan fleetnet.Event       { return n.events }
func (n *fakeNet) Seen() int                           { return 0 }
func (n *fakeNet) Name(map[string]netip.AddrPort)      {}
func (n *fakeNet) Figures(put func(string, uint64, bool)) {
	put("fleet_budget_settings_refused", n.refused.Load(), false)
}
func (n *fakeNet) Leave() { n.left = true }
func (n *fakeNet) Close() { n.closed = true; close(n.events) }

// fakeModule records its events and reacts to them with the given function.
type fakeModule struct {
	kind    fleet.Kind
	events  []string
	windows []fleet.Window
	react   func(now int64, what string, out *fleet.Out)
	next    int64
}

func (p *fakeModule) record(now int64, out *fleet.Out, format string, args ...any) {
	what := fmt.Sprintf(format, args...)
	if p.events = append(p.events, what); p.react != nil {
		p.react(now, what, out)
	}
}
func (p *fakeModule) Kind() fleet.Kind { return p.kind }
func (p *fakeModule) Start(now int64, out *fleet.Out) {
	p.next = math.MaxInt64
	p.record(now, out, "start")
}
func (p *fakeModule) Message(now int64, m fleet.Message, out *fleet.Out) {
	p.record(now, out, "%s: %s", m.From, m.Body)
}
func (p *fakeModule) View(now int64, v *fleet.View, out *fleet.Out) {
	p.record(now, out, "view of %d", len(v.Members))
}
func (p *fakeModule) Done(now int64, a fleet.Act, err error, out *fleet.Out) {
	var refused *ActError
	p.record(now, out, "done %d %v", a.Number, errors.As(err, &refused))
}
func (p *fakeModule) Tick(now int64, out *fleet.Out) {
	p.next = math.MaxInt64
	p.record(now, out, "tick")
}
func (p *fakeModule) Window(_ int64, w fleet.Window, _ *fleet.Out) {
	p.windows = append(p.windows, w)
}
func (p *fakeModule) Next() int64 { return p.next }
func (p *fakeModule) Figures(put func(string, uint64, bool)) {
	put("fake_heard", uint64(len(p.events)), false)
}

// countEvents returns how often a module received an event. It counts on the agent's goroutine.
func countEvents(a *Agent, module *fakeModule, what string) int {
	n := make(chan int, 1)
	a.Post(func(int64, *fleet.Out) {
		sum := 0
		for _, h := range module.events {
			if h == what {
				sum++
			}
		}
		n <- sum
	})
	return <-n
}

// runAgent runs an agent with one module in virtual time.
func runAgent(t *testing.T, cfg Config, module *fakeModule, run func(a *Agent, n *fakeNet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n, start := newFakeNet(), time.Now()
		cfg.Self, cfg.Net = "a", n
		cfg.Clock = func() int64 { return 5_000_000 + time.Since(start).Microseconds() }
		if cfg.WallClock == nil {
			cfg.WallClock = func() int64 { return 1000 }
		}
		if cfg.NewModules == nil {
			cfg.NewModules = func(uint64) []fleet.Module { return []fleet.Module{module} }
		}
		a := New(cfg)
		go a.Run()
		time.Sleep(moduleStartDelay * time.Microsecond)
		synctest.Wait()
		run(a, n)
		a.Stop()
		if !n.left || !n.closed || n.entry(t).State != fleet.Leaving {
			t.Errorf("left %v, closed %v, in state %d", n.left, n.closed, n.entry(t).State)
		}
	})
}

// Modules receive their events; the actions that they request are carried out in order; messages within a process do
// not use the network; entry parts are spread; notes are logged with the machine's time.
func TestAgentRunsModules(t *testing.T) {
	module := &fakeModule{kind: fleet.Stage}
	module.react = func(now int64, what string, out *fleet.Out) {
		switch what {
		case "b: hello":
			out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Stage, What: "greeted", Thing: "x", Fence: 7,
				Until: now + 1_000_000, N: 3, Text: "by b"})
			out.Send = append(out.Send, fleet.Message{Kind: fleet.Stage, To: "a", Body: []byte("mine")},
				fleet.Message{Kind: fleet.Stage, To: "b", Body: []byte("thanks")},
				fleet.Message{Kind: fleet.Stage, To: "nobody"})
			out.Tell(fleet.Stage, []byte("greeted"))
		case "a: mine":
			out.Acts = append(out.Acts, fleet.Act{Kind: fleet.Stage, Number: 1, What: "good"},
				fleet.Act{Kind: fleet.Stage, Number: 2, What: "bad"})
			module.next = now + 300_000
		}
	}
	var log bytes.Buffer
	cfg := Config{Zone: "porto", Program: "v1", Settings: 5, Roster: 6,
		Log:    slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug})),
		Window: func() fleet.Window { return fleet.Window{Class: []fleet.ClassFigures{{Name: "c", Offered: 4}}} },
		RunAct: func(a fleet.Act) error {
			if a.What == "bad" {
				return &ActError{a.What, "it is bad"}
			}
			return nil
		}}
	runAgent(t, cfg, module, func(a *Agent, n *fakeNet) {
		if v := a.Views().Read(); v == nil || v.Member("a").Program != "v1" || countEvents(a, module, "start") != 1 ||
			countEvents(a, module, "view of 1") < 1 {
			t.Errorf("%+v", v)
		}
		a.SetState(fleet.Serving)
		a.SetState(fleet.Starting) // states never go back
		n.events <- fleetnet.Event{Kind: fleetnet.Message, Msg: fleet.Message{Kind: fleet.Stage, From: "b", To: "a",
			Body: []byte("hello")}}
		// a message for an unknown module
		n.events <- fleetnet.Event{Kind: fleetnet.Message, Msg: fleet.Message{Kind: 77, From: "b", To: "a"}}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		for what, want := range map[string]int{"b: hello": 1, "a: mine": 1, "done 1 false": 1, "done 2 true": 1,
			"tick": 1} {
			if got := countEvents(a, module, what); got != want {
				t.Errorf("%q was recorded %d times", what, got)
			}
		}
		if len(n.sent) != 2 || n.sent[0].To != "b" || n.sent[0].From != "a" {
			t.Errorf("sent %v", n.sent)
		}
		e := n.entry(t)
		if e.State != fleet.Serving || string(e.Parts[fleet.Stage]) != "greeted" || e.Zone != "porto" ||
			e.Settings != 5 || e.Roster != 6 {
			t.Errorf("%+v", e)
		}
		if len(e.Windows) != 0 {
			t.Errorf("the spread entry contains windows: %+v", e.Windows)
		}
		if n.digest() == 0 {
			t.Error("the network received no digest")
		}
		if k := len(module.windows); k < 2 || module.windows[k-1].Number != module.windows[k-2].Number+1 ||
			module.windows[k-1].Class[0].Offered != 4 || module.windows[k-1].Memory == 0 {
			t.Errorf("windows %+v", module.windows)
		}
		a.SetState(fleet.Draining) // the next view shows the own windows
		time.Sleep(time.Second)
		synctest.Wait()
		if w := a.Views().Read().Member("a").Windows; len(w) < 2 || w[len(w)-1].Class[0].Offered != 4 {
			t.Errorf("own windows %+v", w)
		}
		figures := map[string]uint64{}
		a.Figures(func(name string, n uint64, _ bool) { figures[name] = n })
		if figures["fleet_members"] != 1 || figures["fake_heard"] == 0 || figures["fleet_refused"] != 1 ||
			figures["fleet_notes"] != 1 {
			t.Errorf("%v", figures)
		}
	})
	for _, want := range []string{"msg=noted kind=2 what=greeted thing=x fence=7 until=",
		"n=3 text=\"by b\" self=a mono=", "msg=\"act failed\" what=bad"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("the log does not contain %s\n%s", want, log.String())
		}
	}
}

// Modules cannot block the agent for good. Work beyond a limit is dropped and counted.
func TestAgentIsBounded(t *testing.T) {
	module := &fakeModule{kind: fleet.Lease}
	var hold chan struct{}
	module.react = func(_ int64, what string, out *fleet.Out) {
		switch what {
		case "b: loop", "a: loop": // sends itself messages without end
			out.Send = append(out.Send, fleet.Message{Kind: fleet.Lease, To: "a", Body: []byte("loop")})
		case "b: acts":
			for i := range uint64(maxActs + 3) {
				out.Acts = append(out.Acts, fleet.Act{Kind: fleet.Lease, Number: i, What: "wait"})
			}
		case "b: large":
			out.Tell(fleet.Lease, make([]byte, fleet.MaxBody+1))
		}
	}
	runAgent(t, Config{QueueSize: 4, RunAct: func(fleet.Act) error { <-hold; return nil }}, module,
		func(a *Agent, n *fakeNet) {
			hold = make(chan struct{}) // created within the synctest bubble
			for _, what := range []string{"loop", "acts", "large"} {
				n.events <- fleetnet.Event{Kind: fleetnet.Message,
					Msg: fleet.Message{Kind: fleet.Lease, From: "b", To: "a", Body: []byte(what)}}
			}
			time.Sleep(2 * time.Second)
			if got := countEvents(a, module, "a: loop"); got < maxSelfMessages-1 || got > maxSelfMessages {
				t.Errorf("%d messages to itself", got)
			}
			for i := range maxActs + 3 {
				if got, want := countEvents(a, module, fmt.Sprintf("done %d true", i)), i/maxActs; got != want {
					t.Errorf("act %d was rejected %d times", i, got)
				}
			}
			close(hold)
			synctest.Wait()
			if got := countEvents(a, module, "done 0 false"); got != 1 {
				t.Errorf("the first act ended %d times", got)
			}
			if n.entry(t).Parts[fleet.Lease] != nil {
				t.Error("an oversized part is in the entry")
			}
			block, blocked := make(chan struct{}), make(chan struct{})
			a.Post(func(int64, *fleet.Out) { close(blocked); <-block })
			<-blocked
			taken := 0
			for range 10 {
				if a.Post(func(int64, *fleet.Out) {}) {
					taken++
				}
			}
			close(block)
			if taken != 4 || a.droppedPosts.Load() != 6 {
				t.Errorf("%d posts accepted and %d dropped", taken, a.droppedPosts.Load())
			}
			synctest.Wait()
		})
}

// A process that starts with its clock behind hears of its earlier incarnation, takes a higher one, and creates its
// modules again for that one.
func TestModulesRestartForLaterIncarnation(t *testing.T) {
	earlier := fleet.NewRegistry(fleet.Entry{Name: "a", Incarnation: 90_000, State: fleet.Serving})
	raw := earlier.Write(func(*fleet.Entry) {})
	var incarnations []uint64
	module := &fakeModule{kind: fleet.Lease}
	runAgent(t, Config{NewModules: func(incarnation uint64) []fleet.Module {
		incarnations = append(incarnations, incarnation)
		return []fleet.Module{module}
	}}, module, func(a *Agent, n *fakeNet) {
		n.events <- fleetnet.Event{Kind: fleetnet.Entry, Bytes: raw}
		time.Sleep(time.Second)
		synctest.Wait()
		if len(incarnations) != 2 || incarnations[0] != 1000 || incarnations[1] <= 90_000 ||
			n.entry(t).Incarnation != incarnations[1] || countEvents(a, module, "start") != 2 {
			t.Errorf("modules were created for incarnations %v, the entry has %d", incarnations, n.entry(t).Incarnation)
		}
	})
}

// Two agents on real sockets: each sees the other's state, a message arrives, and all goroutines end.
func TestTwoAgents(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	addresses := map[string]netip.AddrPort{"a": freeAddress(), "b": freeAddress()}
	agents, modules := map[string]*Agent{}, map[string]*fakeModule{}
	for self := range addresses {
		open, err := fleetnet.Open(fleetnet.Config{Cluster: "x", Self: self, Bind: addresses[self],
			Reach: addresses[self], Names: addresses, Gossip: 30_000, Rejoin: 100_000})
		if err != nil {
			t.Fatal(err)
		}
		module := &fakeModule{kind: fleet.Lease}
		modules[self] = module
		agents[self] = New(Config{Self: self, Net: open, WindowLength: 100_000,
			NewModules: func(uint64) []fleet.Module { return []fleet.Module{module} }})
		go agents[self].Run()
		agents[self].SetState(fleet.Serving)
		t.Cleanup(agents[self].Stop)
	}
	for self, a := range agents {
		for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			v := a.Views().Read()
			other := v.Member(map[string]string{"a": "b", "b": "a"}[self])
			if other != nil && !other.Suspect && other.State == fleet.Serving {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("%s sees %+v", self, v)
			}
		}
	}
	for by := time.Now().Add(20 * time.Second); countEvents(agents["b"], modules["b"],
		"a: across") == 0; time.Sleep(20 * time.Millisecond) {
		agents["a"].Post(func(_ int64, out *fleet.Out) {
			out.Send = append(out.Send, fleet.Message{Kind: fleet.Lease, To: "b", Body: []byte("across")})
		})
		if time.Now().After(by) {
			t.Fatal("no message arrived")
		}
	}
}

// While a member of the previous version is heard, the windows are part of the own entry and spread with each of them,
// because that member needs them for its decisions. Once it has gone, only entries without windows spread.
func TestWindowsSpreadWhileOlderMembersAreHeard(t *testing.T) {
	module := &fakeModule{kind: fleet.Lease}
	older := fleet.NewRegistry(fleet.Entry{Name: "b", Incarnation: 1, State: fleet.Serving})
	runAgent(t, Config{Window: func() fleet.Window {
		return fleet.Window{Class: []fleet.ClassFigures{{Name: "c",
			Offered: 4}}}
	}}, module, func(a *Agent, n *fakeNet) {
		n.events <- fleetnet.Event{Kind: fleetnet.Up, Name: "b"}
		for range 4 {
			n.events <- fleetnet.Event{Kind: fleetnet.Entry, Bytes: older.Write(func(*fleet.Entry) {})}
			time.Sleep(time.Second)
		}
		synctest.Wait()
		if w := n.entry(t).Windows; !n.hasOlderMembers() || len(w) < 3 || w[len(w)-1].Class[0].Offered != 4 {
			t.Errorf("a member of the previous version receives windows %+v; the network has older members: %v", w,
				n.hasOlderMembers())
		}
		n.events <- fleetnet.Event{Kind: fleetnet.Entry,
			Bytes: older.Write(func(e *fleet.Entry) { e.State = fleet.Leaving })}
		n.events <- fleetnet.Event{Kind: fleetnet.Gone, Name: "b"}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if w := n.entry(t).Windows; n.hasOlderMembers() || len(w) != 0 {
			t.Errorf("after it has gone, windows %+v are spread; the network has older members: %v", w,
				n.hasOlderMembers())
		}
	})
}

// An idle process publishes its entry only at each heartbeat, as updates. Changes are published at once, as an update
// where that is sufficient. An entry that another process requests in repair is passed to it.
func TestOwnEntrySpreadsOnChange(t *testing.T) {
	module := &fakeModule{kind: fleet.Lease}
	module.react = func(_ int64, what string, out *fleet.Out) {
		if what == "b: part" {
			out.Tell(fleet.Lease, []byte("new"))
		}
	}
	runAgent(t, Config{}, module, func(a *Agent, n *fakeNet) {
		time.Sleep(time.Second)
		synctest.Wait()
		expectSpread := func(what string, wait time.Duration, want int, update bool) {
			t.Helper()
			was, _ := n.timesSpread("a")
			time.Sleep(wait)
			synctest.Wait()
			times, updated := n.timesSpread("a")
			if got := times - was; got != want || want > 0 && updated != update {
				t.Errorf("%s: spread %d times, as an update: %v", what, got, updated)
			}
		}
		expectSpread("two heartbeats", 2*fleet.DefaultHeartbeat*time.Microsecond, 2, true)
		for i := range 20 {
			a.SetSettingsAndRoster(uint64(i+1), 1)
		}
		expectSpread("simultaneous changes: the first, then all others together", time.Second, 2, true)
		n.events <- fleetnet.Event{Kind: fleetnet.Message, Msg: fleet.Message{Kind: fleet.Lease, From: "b", To: "a",
			Body: []byte("part")}}
		expectSpread("a changed part", time.Second, 1, false)
		if e := n.entry(t); e.Settings != 20 || string(e.Parts[fleet.Lease]) != "new" {
			t.Errorf("%+v", e)
		}
		b := fleet.NewRegistry(fleet.Entry{Name: "b", Incarnation: 1, State: fleet.Serving,
			Protocol: fleet.ProtocolHeads})
		n.events <- fleetnet.Event{Kind: fleetnet.Entry, Bytes: b.Write(func(*fleet.Entry) {}), Passed: true}
		n.events <- fleetnet.Event{Kind: fleetnet.Entry, Bytes: b.Write(func(*fleet.Entry) {})}
		synctest.Wait()
		if times, _ := n.timesSpread("b"); times != 1 || len(n.keptOnly()) != 1 || n.keptOnly()[0] != "b" {
			t.Errorf("an entry received by repair was spread: %d times spread, %v kept", times, n.keptOnly())
		}
		n.events <- fleetnet.Event{Kind: fleetnet.Root, Name: "b", Digest: 1}
		synctest.Wait()
		n.mu.Lock()
		defer n.mu.Unlock()
		if len(n.sent) != 1 || n.sent[0].Kind != fleet.Repair || n.sent[0].To != "b" {
			t.Errorf("a different digest was answered with %+v", n.sent)
		}
	})
}

// Traffic over the budget is logged with advice, once per minute while it continues.
func TestBudgetWarningIsLoggedOncePerMinute(t *testing.T) {
	var log bytes.Buffer
	module := &fakeModule{kind: fleet.Lease}
	runAgent(t, Config{Log: slog.New(slog.NewTextHandler(&log, nil))}, module, func(_ *Agent, n *fakeNet) {
		for range 3 {
			n.refused.Add(7)
			time.Sleep(40 * time.Second)
		}
		synctest.Wait()
	})
	lines := strings.Count(log.String(), "control traffic is over its budget")
	// the third refusal is within a minute of the second
	if lines != 2 || strings.Count(log.String(), "refused=7 advice=") != 2 {
		t.Errorf("%d lines\n%s", lines, log.String())
	}
}

// freeAddress returns an address whose port no other connection receives in the meantime.
func freeAddress() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(standin.FreePort()))
}

func TestErrorsGiveAdvice(t *testing.T) {
	for _, e := range Errors {
		if advice.Of(fmt.Errorf("around: %w", e)) == "" {
			t.Errorf("%T has no advice", e)
		}
	}
}
