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

// fakeNet remembers what it was told.
type fakeNet struct {
	mu      sync.Mutex
	events  chan fleetnet.Event
	own     fleet.Coded
	passed  map[string]int
	kept    []string // what was noted and not passed on
	direct  []string // to whom entries were passed
	refused atomic.Uint64
	root    uint64
	older   bool
	sent    []fleet.Message
	left    bool
	closed  bool
}

func newNet() *fakeNet {
	return &fakeNet{events: make(chan fleetnet.Event, 100), passed: map[string]int{}}
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
	if n.passed[name]++; name == "a" {
		n.own = b
	}
}

// told is how often a process was spread, and whether the own entry's last time was an update.
func (n *fakeNet) told(name string) (times int, update bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.passed[name], n.own.Update != nil
}

func (n *fakeNet) goesByOlder() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.older
}
func (n *fakeNet) digest() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.root
}

// noted is what was kept and not passed on.
func (n *fakeNet) noted() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.kept)
}

// entry is the own entry as others read what was last spread of it.
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
			t.Fatalf("an update that is not on top of its entry: %v", err)
		}
	}
	return &other.View(2).Member("a").Entry
}
func (n *fakeNet) Keep(name string, _ fleet.Coded) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.kept = append(n.kept, name)
}
func (n *fakeNet) Pass(to string, known fleet.Coded) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.direct = append(n.direct, to)
	return nil
}
func (n *fakeNet) Root(root uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.root = root
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

// fakePart writes down what it is told, and does what it is set to.
type fakePart struct {
	kind    fleet.Kind
	heard   []string
	windows []fleet.Window
	on      func(now int64, what string, out *fleet.Out)
	next    int64
}

func (p *fakePart) say(now int64, out *fleet.Out, format string, args ...any) {
	what := fmt.Sprintf(format, args...)
	if p.heard = append(p.heard, what); p.on != nil {
		p.on(now, what, out)
	}
}
func (p *fakePart) Kind() fleet.Kind                { return p.kind }
func (p *fakePart) Start(now int64, out *fleet.Out) { p.next = math.MaxInt64; p.say(now, out, "start") }
func (p *fakePart) Message(now int64, m fleet.Message, out *fleet.Out) {
	p.say(now, out, "%s: %s", m.From, m.Body)
}
func (p *fakePart) View(now int64, v *fleet.View, out *fleet.Out) {
	p.say(now, out, "view of %d", len(v.Members))
}
func (p *fakePart) Done(now int64, a fleet.Act, err error, out *fleet.Out) {
	var refused *ActError
	p.say(now, out, "done %d %v", a.Number, errors.As(err, &refused))
}
func (p *fakePart) Tick(now int64, out *fleet.Out) { p.next = math.MaxInt64; p.say(now, out, "tick") }
func (p *fakePart) Window(_ int64, w fleet.Window, _ *fleet.Out) {
	p.windows = append(p.windows, w)
}
func (p *fakePart) Next() int64 { return p.next }
func (p *fakePart) Figures(put func(string, uint64, bool)) {
	put("fake_heard", uint64(len(p.heard)), false)
}

// has counts what a part was told. It is asked on the agent's goroutine.
func has(a *Agent, p *fakePart, what string) int {
	n := make(chan int, 1)
	a.Post(func(int64, *fleet.Out) {
		sum := 0
		for _, h := range p.heard {
			if h == what {
				sum++
			}
		}
		n <- sum
	})
	return <-n
}

// inBubble runs an agent with one part, in time that stands still while nothing happens.
func inBubble(t *testing.T, cfg Config, p *fakePart, play func(a *Agent, n *fakeNet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n, start := newNet(), time.Now()
		cfg.Self, cfg.Net = "a", n
		cfg.Clock = func() int64 { return 5_000_000 + time.Since(start).Microseconds() }
		if cfg.Wall == nil {
			cfg.Wall = func() int64 { return 1000 }
		}
		if cfg.Make == nil {
			cfg.Make = func(uint64) []fleet.Module { return []fleet.Module{p} }
		}
		a := New(cfg)
		go a.Run()
		time.Sleep(startDelay * time.Microsecond)
		synctest.Wait()
		play(a, n)
		a.Stop()
		if !n.left || !n.closed || n.entry(t).State != fleet.Leaving {
			t.Errorf("left %v, closed %v, in state %d", n.left, n.closed, n.entry(t).State)
		}
	})
}

// Parts are told of all that concerns them; what they want done is done, in order; what a process tells itself takes no
// net; what is in the entry is spread; notes are in the log with the machine's time.
func TestAgentDrives(t *testing.T) {
	p := &fakePart{kind: fleet.Stage}
	p.on = func(now int64, what string, out *fleet.Out) {
		switch what {
		case "b: hello":
			out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Stage, What: "greeted", Thing: "x", Fence: 7, Until: now + 1_000_000, N: 3, Text: "by b"})
			out.Send = append(out.Send, fleet.Message{Kind: fleet.Stage, To: "a", Body: []byte("mine")}, fleet.Message{Kind: fleet.Stage, To: "b", Body: []byte("thanks")},
				fleet.Message{Kind: fleet.Stage, To: "nobody"})
			out.Tell(fleet.Stage, []byte("greeted"))
		case "a: mine":
			out.Acts = append(out.Acts, fleet.Act{Kind: fleet.Stage, Number: 1, What: "good"}, fleet.Act{Kind: fleet.Stage, Number: 2, What: "bad"})
			p.next = now + 300_000
		}
	}
	var log bytes.Buffer
	cfg := Config{Zone: "porto", Program: "v1", Settings: 5, Roster: 6, Log: slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug})),
		Window: func() fleet.Window { return fleet.Window{Class: []fleet.ClassFigures{{Name: "c", Offered: 4}}} },
		Do: func(a fleet.Act) error {
			if a.What == "bad" {
				return &ActError{a.What, "it is bad"}
			}
			return nil
		}}
	inBubble(t, cfg, p, func(a *Agent, n *fakeNet) {
		if v := a.Views().Read(); v == nil || v.Member("a").Program != "v1" || has(a, p, "start") != 1 || has(a, p, "view of 1") < 1 {
			t.Errorf("%+v", v)
		}
		a.State(fleet.Serving)
		a.State(fleet.Starting) // lives do not run backwards
		n.events <- fleetnet.Event{Kind: fleetnet.Message, Msg: fleet.Message{Kind: fleet.Stage, From: "b", To: "a", Body: []byte("hello")}}
		n.events <- fleetnet.Event{Kind: fleetnet.Message, Msg: fleet.Message{Kind: 77, From: "b", To: "a"}} // of a module to come
		time.Sleep(2 * time.Second)
		synctest.Wait()
		for what, want := range map[string]int{"b: hello": 1, "a: mine": 1, "done 1 false": 1, "done 2 true": 1, "tick": 1} {
			if got := has(a, p, what); got != want {
				t.Errorf("%q was heard %d times", what, got)
			}
		}
		if len(n.sent) != 2 || n.sent[0].To != "b" || n.sent[0].From != "a" {
			t.Errorf("sent %v", n.sent)
		}
		e := n.entry(t)
		if e.State != fleet.Serving || string(e.Parts[fleet.Stage]) != "greeted" || e.Zone != "porto" || e.Settings != 5 || e.Roster != 6 {
			t.Errorf("%+v", e)
		}
		if len(e.Windows) != 0 {
			t.Errorf("windows are spread: %+v", e.Windows)
		}
		if n.digest() == 0 {
			t.Error("the net was told no digest")
		}
		if k := len(p.windows); k < 2 || p.windows[k-1].Number != p.windows[k-2].Number+1 || p.windows[k-1].Class[0].Offered != 4 || p.windows[k-1].Memory == 0 {
			t.Errorf("windows %+v", p.windows)
		}
		a.State(fleet.Draining) // the next view shows the own windows
		time.Sleep(time.Second)
		synctest.Wait()
		if w := a.Views().Read().Member("a").Windows; len(w) < 2 || w[len(w)-1].Class[0].Offered != 4 {
			t.Errorf("own windows %+v", w)
		}
		figures := map[string]uint64{}
		a.Figures(func(name string, n uint64, _ bool) { figures[name] = n })
		if figures["fleet_members"] != 1 || figures["fake_heard"] == 0 || figures["fleet_refused"] != 1 || figures["fleet_notes"] != 1 {
			t.Errorf("%v", figures)
		}
	})
	for _, want := range []string{"msg=noted kind=2 what=greeted thing=x fence=7 until=", "n=3 text=\"by b\" self=a mono=", "msg=\"act failed\" what=bad"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("the log lacks %s\n%s", want, log.String())
		}
	}
}

// Nothing that parts do holds the agent up for good, and nothing that comes too fast is waited for: it is counted.
func TestAgentIsBounded(t *testing.T) {
	p := &fakePart{kind: fleet.Lease}
	var hold chan struct{}
	p.on = func(_ int64, what string, out *fleet.Out) {
		switch what {
		case "b: loop", "a: loop": // tells itself for ever
			out.Send = append(out.Send, fleet.Message{Kind: fleet.Lease, To: "a", Body: []byte("loop")})
		case "b: acts":
			for i := range uint64(maxActs + 3) {
				out.Acts = append(out.Acts, fleet.Act{Kind: fleet.Lease, Number: i, What: "wait"})
			}
		case "b: large":
			out.Tell(fleet.Lease, make([]byte, fleet.MaxBody+1))
		}
	}
	inBubble(t, Config{Queue: 4, Do: func(fleet.Act) error { <-hold; return nil }}, p, func(a *Agent, n *fakeNet) {
		hold = make(chan struct{}) // within the bubble of time
		for _, what := range []string{"loop", "acts", "large"} {
			n.events <- fleetnet.Event{Kind: fleetnet.Message, Msg: fleet.Message{Kind: fleet.Lease, From: "b", To: "a", Body: []byte(what)}}
		}
		time.Sleep(2 * time.Second)
		if got := has(a, p, "a: loop"); got < maxLocal-1 || got > maxLocal {
			t.Errorf("told itself %d times", got)
		}
		for i := range maxActs + 3 {
			if got, want := has(a, p, fmt.Sprintf("done %d true", i)), i/maxActs; got != want {
				t.Errorf("act %d was refused %d times", i, got)
			}
		}
		close(hold)
		synctest.Wait()
		if got := has(a, p, "done 0 false"); got != 1 {
			t.Errorf("the first act ended %d times", got)
		}
		if n.entry(t).Parts[fleet.Lease] != nil {
			t.Error("a part over size is in the entry")
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
		if taken != 4 || a.dropped.Load() != 6 {
			t.Errorf("%d were taken and %d dropped", taken, a.dropped.Load())
		}
		synctest.Wait()
	})
}

// A process that starts with its clock behind hears of its earlier life, takes a later one, and its parts are made for that.
func TestLaterLife(t *testing.T) {
	earlier := fleet.NewRegistry(fleet.Entry{Name: "a", Incarnation: 90_000, State: fleet.Serving})
	raw := earlier.Write(func(*fleet.Entry) {})
	var lives []uint64
	p := &fakePart{kind: fleet.Lease}
	inBubble(t, Config{Make: func(life uint64) []fleet.Module { lives = append(lives, life); return []fleet.Module{p} }}, p, func(a *Agent, n *fakeNet) {
		n.events <- fleetnet.Event{Kind: fleetnet.Entry, Bytes: raw}
		time.Sleep(time.Second)
		synctest.Wait()
		if len(lives) != 2 || lives[0] != 1000 || lives[1] <= 90_000 || n.entry(t).Incarnation != lives[1] || has(a, p, "start") != 2 {
			t.Errorf("parts were made for lives %v, the entry is of %d", lives, n.entry(t).Incarnation)
		}
	})
}

// Two agents on real sockets: each shows the other as it is, a message goes across, and all goroutines end.
func TestTwoAgents(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	at := map[string]netip.AddrPort{"a": address(), "b": address()}
	agents, parts := map[string]*Agent{}, map[string]*fakePart{}
	for self := range at {
		open, err := fleetnet.Open(fleetnet.Config{Cluster: "x", Self: self, Bind: at[self], Reach: at[self], Names: at, Gossip: 30_000, Rejoin: 100_000})
		if err != nil {
			t.Fatal(err)
		}
		p := &fakePart{kind: fleet.Lease}
		parts[self] = p
		agents[self] = New(Config{Self: self, Net: open, Length: 100_000, Make: func(uint64) []fleet.Module { return []fleet.Module{p} }})
		go agents[self].Run()
		agents[self].State(fleet.Serving)
		t.Cleanup(agents[self].Stop)
	}
	for self, a := range agents {
		for by := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			v := a.Views().Read()
			other := v.Member(map[string]string{"a": "b", "b": "a"}[self])
			if other != nil && !other.Suspect && other.State == fleet.Serving {
				break
			}
			if time.Now().After(by) {
				t.Fatalf("%s sees %+v", self, v)
			}
		}
	}
	for by := time.Now().Add(20 * time.Second); has(agents["b"], parts["b"], "a: across") == 0; time.Sleep(20 * time.Millisecond) {
		agents["a"].Post(func(_ int64, out *fleet.Out) {
			out.Send = append(out.Send, fleet.Message{Kind: fleet.Lease, To: "b", Body: []byte("across")})
		})
		if time.Now().After(by) {
			t.Fatal("no message came")
		}
	}
}

// While a member of the version before is heard, windows stand in the own entry and spread with each of them, so that it can
// judge by them; once it has gone, heads alone spread again.
func TestOlderMembersAreToldWindows(t *testing.T) {
	p := &fakePart{kind: fleet.Lease}
	older := fleet.NewRegistry(fleet.Entry{Name: "b", Incarnation: 1, State: fleet.Serving})
	inBubble(t, Config{Window: func() fleet.Window { return fleet.Window{Class: []fleet.ClassFigures{{Name: "c", Offered: 4}}} }}, p, func(a *Agent, n *fakeNet) {
		n.events <- fleetnet.Event{Kind: fleetnet.Up, Name: "b"}
		for range 4 {
			n.events <- fleetnet.Event{Kind: fleetnet.Entry, Bytes: older.Write(func(*fleet.Entry) {})}
			time.Sleep(time.Second)
		}
		synctest.Wait()
		if w := n.entry(t).Windows; !n.goesByOlder() || len(w) < 3 || w[len(w)-1].Class[0].Offered != 4 {
			t.Errorf("a member of the version before is told %+v; the net goes by it: %v", w, n.goesByOlder())
		}
		n.events <- fleetnet.Event{Kind: fleetnet.Entry, Bytes: older.Write(func(e *fleet.Entry) { e.State = fleet.Leaving })}
		n.events <- fleetnet.Event{Kind: fleetnet.Gone, Name: "b"}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if w := n.entry(t).Windows; n.goesByOlder() || len(w) != 0 {
			t.Errorf("when it has gone %+v is spread; the net goes by it: %v", w, n.goesByOlder())
		}
	})
}

// A quiet process tells of itself at each heartbeat alone, by updates; what changes is told at once, by an update where that
// says all; what another asks for in repair is passed to it.
func TestHeadsSpreadOnChange(t *testing.T) {
	p := &fakePart{kind: fleet.Lease}
	p.on = func(_ int64, what string, out *fleet.Out) {
		if what == "b: part" {
			out.Tell(fleet.Lease, []byte("new"))
		}
	}
	inBubble(t, Config{}, p, func(a *Agent, n *fakeNet) {
		time.Sleep(time.Second)
		synctest.Wait()
		told := func(what string, wait time.Duration, want int, update bool) {
			t.Helper()
			was, _ := n.told("a")
			time.Sleep(wait)
			synctest.Wait()
			times, updated := n.told("a")
			if got := times - was; got != want || want > 0 && updated != update {
				t.Errorf("%s: told %d times, an update: %v", what, got, updated)
			}
		}
		told("two heartbeats", 2*fleet.DefaultHeartbeat*time.Microsecond, 2, true)
		for i := range 20 {
			a.Goes(uint64(i+1), 1)
		}
		told("changes that come at once: the first, then all others together", time.Second, 2, true)
		n.events <- fleetnet.Event{Kind: fleetnet.Message, Msg: fleet.Message{Kind: fleet.Lease, From: "b", To: "a", Body: []byte("part")}}
		told("another part", time.Second, 1, false)
		if e := n.entry(t); e.Settings != 20 || string(e.Parts[fleet.Lease]) != "new" {
			t.Errorf("%+v", e)
		}
		b := fleet.NewRegistry(fleet.Entry{Name: "b", Incarnation: 1, State: fleet.Serving, Protocol: fleet.ProtocolHeads})
		n.events <- fleetnet.Event{Kind: fleetnet.Entry, Bytes: b.Write(func(*fleet.Entry) {}), Passed: true}
		n.events <- fleetnet.Event{Kind: fleetnet.Entry, Bytes: b.Write(func(*fleet.Entry) {})}
		synctest.Wait()
		if times, _ := n.told("b"); times != 1 || len(n.noted()) != 1 || n.noted()[0] != "b" {
			t.Errorf("what came by repair is spread: %d times spread, %v kept", times, n.noted())
		}
		n.events <- fleetnet.Event{Kind: fleetnet.Root, Name: "b", Digest: 1}
		synctest.Wait()
		n.mu.Lock()
		defer n.mu.Unlock()
		if len(n.sent) != 1 || n.sent[0].Kind != fleet.Repair || n.sent[0].To != "b" {
			t.Errorf("another digest was answered with %+v", n.sent)
		}
	})
}

// What had no room in the budget is logged with what to do, once a minute while it goes on.
func TestBudgetIsWarnedOf(t *testing.T) {
	var log bytes.Buffer
	p := &fakePart{kind: fleet.Lease}
	inBubble(t, Config{Log: slog.New(slog.NewTextHandler(&log, nil))}, p, func(_ *Agent, n *fakeNet) {
		for range 3 {
			n.refused.Add(7)
			time.Sleep(40 * time.Second)
		}
		synctest.Wait()
	})
	lines := strings.Count(log.String(), "control traffic is over its budget")
	if lines != 2 || strings.Count(log.String(), "refused=7 advice=") != 2 { // the third time is within a minute of the second
		t.Errorf("%d lines\n%s", lines, log.String())
	}
}

// address is one that no connection is given meanwhile.
func address() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(standin.FreePort()))
}

func TestErrorsAdvise(t *testing.T) {
	for _, e := range Errors {
		if advice.Of(fmt.Errorf("around: %w", e)) == "" {
			t.Errorf("%T says nothing", e)
		}
	}
}
