package stage

import (
	"testing"

	"pewterwheel/internal/fleet"
)

// asker is a subscriber to figures that writes down what is asked of it.
type asker struct {
	wanted bool
	turns  int // how often that has changed
	length int64
}

func (a *asker) Want(_ int64, wanted bool, _ *fleet.Out) {
	if wanted != a.wanted {
		a.wanted = wanted
		a.turns++
	}
}

func (a *asker) Length() int64 { return a.length }

// gatherer is a part that conducts a change, with a view of itself and three others.
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

// show brings the view, with these windows of process b.
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

// Figures are asked for as long as evidence is kept, and no longer.
func TestFiguresAreAskedFor(t *testing.T) {
	g := newGatherer(22 * second)
	g.show(second)
	g.show(2 * second)
	if !g.asker.wanted || g.asker.turns != 1 || g.conductor.evidence == nil {
		t.Fatalf("wanted %t, %d turns", g.asker.wanted, g.asker.turns)
	}
	g.conductor.claimed = false
	if g.show(3 * second); g.asker.wanted || g.conductor.evidence != nil {
		t.Error("still asked for")
	}
	g.conductor.claimed = true
	if g.show(4 * second); !g.asker.wanted {
		t.Error("not asked for again")
	}
	g.conductor.holds = false
	if g.show(5 * second); g.asker.wanted {
		t.Error("asked for when nothing runs")
	}
}

// A slot holds a window of each process, however long windows are; with short ones it is as the rules have it.
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
		t.Error("windows in entries change the slot")
	}
}

// What stands in the view when the evidence begins may be of any time before, and counts for nothing; what comes
// then does.
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

// A window that began before its process was new and warm says nothing of the new.
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
	e.slotEnd = 1000 * second // all that follows is one slot
	g.show(20*second, calls(1, 22*second, 1000))
	g.show(42*second, calls(1, 22*second, 1000), calls(2, 22*second, 1000))
	if s.offered != 0 {
		t.Errorf("%g calls of windows that began too early", s.offered)
	}
	broken := calls(3, 22*second, 50)
	broken.Broken = 1
	g.show(60*second, calls(2, 22*second, 1000), broken)
	if g.show(82*second, broken, calls(4, 22*second, 60)); s.offered != 50+60 {
		t.Errorf("%g calls", s.offered)
	}
	if e.broke != "b" {
		t.Error("a broken rule in a window that counts for nothing is not seen")
	}
}

// One window that is lost does not make a process one that is offered nothing; two in a row do.
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

// Windows that stood in a process's entry, and those that it then sends, are counted apart: where the entry's end, the sent
// ones that come from then on are taken.
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
