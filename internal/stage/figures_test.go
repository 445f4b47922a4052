package stage

import (
	"testing"

	"pewterwheel/internal/fleet"
)

// fakeSubscriber records the calls of Want.
type asker struct {
	wanted bool
	turns  int // how often wanted has changed
	length int64
}

func (a *asker) Want(_ int64, wanted bool, _ *fleet.Out) {
	if wanted != a.wanted {
		a.wanted = wanted
		a.turns++
	}
}

func (a *asker) Length() int64 { return a.length }

// gatherer is a Part that conducts a change, with a view of itself and three other processes.
type gatherer struct {
	*Part
	asker *asker
	view  fleet.View
}

func newGatherer(length int64) *gatherer {
	a := &asker{length: length}
	p := New(Config{Name: "a", Lease: of{&fake{}, "a"}, Figures: a})
	g := &gatherer{Part: p, asker: a}
	for _, name := range []string{"a", "b", "c", "d"} {
		e := fleet.Entry{Name: name, Incarnation: 1, Version: 1, Zone: "z", State: fleet.Serving}
		g.view.Members = append(g.view.Members, fleet.Member{Entry: e})
	}
	p.conductor.claimed, p.conductor.holds = true, true
	p.conductor.rec = record{Target: Target{Change: change, Settings: "x"}, Phase: running}
	return g
}

// show applies a view in which process b has these windows.
func (g *gatherer) show(now int64, windows ...fleet.Window) {
	m := &g.view.Members[1]
	m.Windows = windows
	m.Version++
	g.watch.view(now, &g.view)
	g.gather(now, &g.view, &fleet.Out{})
}

func calls(number uint64, length int64, offered uint64) fleet.Window {
	class := fleet.ClassFigures{Name: "x", Offered: offered, Served: offered}
	return fleet.Window{Number: number, Length: length, Class: []fleet.ClassFigures{class}}
}

// Checks that figures are requested exactly as long as evidence is kept.
func TestFiguresAreAskedFor(t *testing.T) {
	g := newGatherer(22 * second)
	g.show(second)
	g.show(2 * second)
	if !g.asker.wanted || g.asker.turns != 1 || g.conductor.evidence == nil {
		t.Fatalf("wanted %t, changed %d times", g.asker.wanted, g.asker.turns)
	}
	g.conductor.claimed = false
	if g.show(3 * second); g.asker.wanted || g.conductor.evidence != nil {
		t.Error("figures are still requested")
	}
	g.conductor.claimed = true
	if g.show(4 * second); !g.asker.wanted {
		t.Error("figures are not requested again")
	}
	g.conductor.holds = false
	if g.show(5 * second); g.asker.wanted {
		t.Error("figures are requested although no change is running")
	}
}

// Checks that a slot is long enough for a window of each process, and is as the rules say where windows are short.
func TestSlotFollowsTheWindows(t *testing.T) {
	for _, c := range []struct{ length, want int64 }{
		{second, 10 * second},
		{8 * second, 10 * second},
		{22 * second, 27_500_000},
		{37 * second, 46_250_000},
	} {
		g := newGatherer(c.length)
		g.show(second)
		e := g.conductor.evidence
		if e.slot != c.want || e.slotEnd != second+c.want {
			t.Errorf("windows of %d: slot %d until %d", c.length, e.slot, e.slotEnd)
		}
		g.asker.length = 60 * second
		if g.show(2 * second); e.slot != 75*second {
			t.Errorf("windows of 60 s: slot %d", e.slot)
		}
		if e.close(100 * second); e.slotEnd != 175*second {
			t.Errorf("the next slot ends at %d", e.slotEnd)
		}
	}
	p := New(Config{Name: "a"})
	if p.slot() != 10*second || newEvidence(p.c.Rules, 1, 0, failpoints{}).longSlot() != 0 {
		t.Error("windows in entries change the length of the slot")
	}
}

// Checks that windows that are in the view when the evidence begins are ignored, because they may be from any
// earlier time, and that later ones are added.
func TestOldWindowsCountForNothing(t *testing.T) {
	g := newGatherer(22 * second)
	g.show(second, calls(1, 22*second, 1000), calls(2, 22*second, 1000))
	s := g.conductor.evidence.subjects["b"]
	if s.offered != 0 || s.last != 2 {
		t.Fatalf("%g calls, last window %d", s.offered, s.last)
	}
	if g.show(2*second, calls(2, 22*second, 1000), calls(3, 22*second, 70)); s.offered != 70 || s.last != 3 {
		t.Errorf("%g calls, last window %d", s.offered, s.last)
	}
}

// Checks that a window that began before its process had changed and was warm does not count as new.
func TestWindowsFromBeforeTheChange(t *testing.T) {
	g := newGatherer(22 * second)
	g.show(second)
	e := g.conductor.evidence
	b := &g.view.Members[1]
	b.Parts = map[fleet.Kind][]byte{fleet.Stage: encode(told{Change: change, State: Changed})}
	g.show(2 * second)
	s := e.subjects["b"]
	if s.side != newer || s.warm != 32*second {
		t.Fatalf("side %d, warm at %d", s.side, s.warm)
	}
	e.slotEnd = 1000 * second // the rest of the test is one slot
	g.show(20*second, calls(1, 22*second, 1000))
	g.show(42*second, calls(1, 22*second, 1000), calls(2, 22*second, 1000))
	if s.offered != 0 {
		t.Errorf("%g calls from windows that began too early", s.offered)
	}
	broken := calls(3, 22*second, 50)
	broken.Broken = 1
	g.show(60*second, calls(2, 22*second, 1000), broken)
	if g.show(82*second, broken, calls(4, 22*second, 60)); s.offered != 50+60 {
		t.Errorf("%g calls", s.offered)
	}
	if e.broke != "b" {
		t.Error("a broken rule in an ignored window is not detected")
	}
}

// Checks that one lost window does not set the offered rate of a process to zero, and that two in a row do.
func TestOneWindowLost(t *testing.T) {
	g := newGatherer(22 * second)
	g.show(second)
	e := g.conductor.evidence
	g.show(2*second, calls(1, 22*second, 220))
	for i, want := range []float64{10, 10, 0} {
		if e.close(int64(30*i+30) * second); e.subjects["b"].rate != want {
			t.Errorf("slot %d: %g calls a second, want %g", i, e.subjects["b"].rate, want)
		}
	}
}

// Windows in the entry of a process and windows sent as messages are numbered separately. Checks that the sent
// ones are added when the windows in the entry end.
func TestWindowsCountedAnew(t *testing.T) {
	g := newGatherer(22 * second)
	g.show(second)
	s := g.conductor.evidence.subjects["b"]
	g.show(2*second, calls(500, second, 1), calls(501, second, 2))
	g.show(3*second, calls(7, 22*second, 100), calls(8, 22*second, 100))
	if s.offered != 3 {
		t.Fatalf("%g calls", s.offered)
	}
	if g.show(4*second, calls(8, 22*second, 100), calls(9, 22*second, 10)); s.offered != 13 {
		t.Errorf("%g calls", s.offered)
	}
}
