package fleettest

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pewterwheel/internal/pooling"
	"pewterwheel/internal/standin"
	"pewterwheel/internal/wire"
)

// sessions is how many connections a client has to each member.
const sessions = 4

// clients are one client's connections to some members, with what they rely on.
func (f *Fleet) clients(address func(*Process) string, habit standin.Habit, at []int) (some []*standin.Client) {
	f.t.Helper()
	for _, i := range at {
		for n := range sessions {
			c, err := standin.DialClient(address(f.Process[i]), f.Book, habit, f.Seed*1000+uint64(i*sessions+n), 10*time.Millisecond)
			f.must(err)
			f.t.Cleanup(c.Close)
			some = append(some, c)
		}
	}
	return some
}

// playing has clients play a few calls ten times a second until they are stopped, and then until each call has its answer.
func (f *Fleet) playing(some []*standin.Client) (stop func()) {
	done, late := make(chan struct{}), make(chan bool, len(some))
	for _, c := range some {
		go func() {
			ok := true
			for tick := time.NewTicker(100 * time.Millisecond); ; {
				select {
				case <-done:
					tick.Stop()
					late <- !ok
					return
				case <-tick.C:
					ok = c.Play("long", 10*time.Second, 5) && ok
				}
			}
		}()
	}
	return func() {
		f.t.Helper()
		close(done)
		for range some {
			if <-late {
				f.t.Error("a call had no answer in time")
			}
		}
	}
}

// plays has clients play so many calls each, and waits for the answers.
func (f *Fleet) plays(some []*standin.Client, calls int) {
	f.t.Helper()
	var all sync.WaitGroup
	for _, c := range some {
		all.Go(func() {
			if !c.Play("long", 10*time.Second, calls) {
				f.t.Error("a call had no answer in time")
			}
		})
	}
	all.Wait()
}

// knows are the members that note something of a client.
func (f *Fleet) knows(what, client string, is func(Event) bool) (at []int) {
	for i, p := range f.Process {
		if slices.ContainsFunc(f.History.Events(), func(e Event) bool {
			return e.Process == p.Name && e.Kind == "pooling" && e.What == what && e.Thing == client && is(e)
		}) {
			at = append(at, i)
		}
	}
	return at
}

// A client that had shown nothing but good is raised everywhere. Then the fleet is cut in two, and on one side the client begins to
// rely on its connections. That side sees a witness and falls; the other knows nothing of it until the cut heals, and all
// of it soon after. Where it is known nothing more of the client is harmed, though it relies on its connections there. Another
// client, which relies on nothing, has no witness and stays raised on the side that was not cut off.
func TestWitnessInPartition(t *testing.T) {
	f := begin(t, Options{Members: 5, App: "app", Site: "[pooling]\nmode = on\n", Failpoints: "pooling-unsafe=0.4", Work: 200 * time.Microsecond,
		Class: func(int) string {
			return "[class long]\naim = 800ms\ndeadline = 10s\neffect = free\npools = core\nrate = 600/s\n"
		}})
	for _, o := range f.Office {
		o.Script(standin.Script{Work: f.Work, Queue: time.Second, Lines: f.Lines, Bound: wire.CauseMissing})
	}
	here := func(p *Process) string { return p.Settings.Application.Listener.String() }
	there := func(p *Process) string { return p.Front.Address }
	for _, p := range f.Process {
		p.Front.From = "127.0.0.2"
	}
	thing := func(source string) string { return fmt.Sprintf("%016x", pooling.Key("app", source)) }
	turns, stays := thing("127.0.0.1"), thing("127.0.0.2")
	raised := func(e Event) bool { return e.N > int64(pooling.BySession) }
	fallen := func(e Event) bool { return e.N == int64(pooling.BySession) }
	either := func(Event) bool { return true }
	all, most, few := f.rest(), []int{0, 1, 2}, []int{3, 4}

	begun := time.Now()
	stopSafe := f.playing(f.clients(there, standin.Stateless, all))
	quiet := f.playing(f.clients(here, standin.Stateless, most))
	quietFew := f.playing(f.clients(here, standin.Stateless, few))
	f.Until("both clients are raised at all members", func() bool {
		return len(f.knows("verdict", turns, raised)) == len(all) && len(f.knows("verdict", stays, raised)) == len(all)
	})
	t.Logf("raised after %v and %d calls", time.Since(begun).Round(time.Millisecond), f.Book.Sums().Offered)
	if n := f.Book.Sums().Harmed; n > 0 {
		t.Fatalf("%d messages were harmed, of clients that rely on nothing", n)
	}

	f.Cut(most, few, true, true)
	quiet()
	relies := f.clients(here, standin.RepeatsToken, most)
	stopRelies := f.playing(relies)
	f.Until("the greater side knows of a witness", func() bool { return len(f.knows("witness", turns, either)) >= len(most) })
	f.Until("and has put the client down", func() bool { return len(f.knows("verdict", turns, fallen)) >= len(most) })
	stopRelies()
	harmed := f.Book.Sums().Harmed
	if harmed == 0 {
		t.Error("a witness, and nobody was harmed")
	}
	// What was given on shared connections before may be missed once on the own ones. Then nothing is.
	f.plays(relies, 40)
	settled := f.Book.Sums().Harmed
	f.plays(relies, 100)
	f.plays(f.clients(here, standin.RepeatsToken, most), 100)
	if n := f.Book.Sums().Harmed - settled; n > 0 {
		t.Errorf("%d messages of the client were harmed where the witness was known", n)
	}
	if at := f.knows("witness", turns, either); !slices.Equal(at, most) {
		t.Errorf("a witness is known at %v behind a cut round %v", at, most)
	}

	healed := Clock()
	f.Cut(most, few, true, false)
	f.Until("all know of the witness", func() bool { return len(f.knows("witness", turns, either)) == len(all) })
	f.Until("and have put the client down", func() bool { return len(f.knows("verdict", turns, fallen)) == len(all) })
	known := Clock()
	quietFew()
	before := f.Book.Sums().Harmed
	f.plays(f.clients(here, standin.RepeatsToken, few), 200)
	if n := f.Book.Sums().Harmed - before; n > 0 {
		t.Errorf("%d messages of the client were harmed at members that had heard of the witness", n)
	}
	stopSafe()
	f.Agree("after the cut")
	events := f.History.Events()
	names := make([]string, 0, len(all))
	for _, p := range f.Process {
		names = append(names, p.Name)
	}
	ofTurns := slices.DeleteFunc(slices.Clone(events), func(e Event) bool { return e.Thing != turns })
	// The rule is 2 s. The rest is for a busy machine, on which members first find each other again.
	vs := KnownWithin(ofTurns, "pooling", "witness", names, healed, 2*time.Second+patience/4)
	vs = append(vs, KnownWithin(ofTurns, "pooling", "witness", names[:len(most)], 0, 2*time.Second+patience/4)...)
	vs = append(vs, f.Judge()...)
	last, other := map[string]int64{}, map[string]int64{}
	for _, e := range events {
		switch {
		case e.Kind == "pooling" && e.What == "witness" && e.Thing != turns:
			vs = append(vs, Violation{"verdict", e.Process + " takes a witness for one of another client: " + e.Text})
		case e.Kind == "pooling" && e.What == "verdict" && e.Thing == turns:
			last[e.Process] = e.N
		case e.Kind == "pooling" && e.What == "verdict" && e.Thing == stays:
			other[e.Process] = e.N
		}
	}
	for i, name := range names {
		if i < len(most) && other[name] == int64(pooling.BySession) {
			vs = append(vs, Violation{"verdict", name + " has put a client down that relies on nothing"})
		}
		if last[name] != int64(pooling.BySession) {
			vs = append(vs, Violation{"verdict", fmt.Sprintf("%s is left with mode %d", name, last[name])})
		}
	}
	if len(vs) > 0 {
		t.Fatal(Report(vs, events))
	}
	witness := slices.IndexFunc(events, func(e Event) bool { return e.What == "witness" })
	t.Logf("%s; known everywhere %d ms after the cut healed; %d harmed in all, calls: %+v", strings.TrimSpace(events[witness].Text),
		(known-healed)/1000, f.Book.Sums().Harmed, f.Book.Sums())
}
