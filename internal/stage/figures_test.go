package stage

import (
	"testing"

	"pewterwheel/internal/fleet"
)

// fakeSubscriber records the calls of Want.
type fakeSubscriber struct {
	wanted  bool
	changes int // how often wanted has changed
	length  int64
}

func (s *fakeSubscriber) Want(_ int64, wanted bool, _ *fleet.Out) {
	if wanted != s.wanted {
		s.wanted = wanted
		s.changes++
	}
}

func (s *fakeSubscriber) Length() int64 { return s.length }

// gatherer is a Module that conducts a change, with a view of itself and three other processes.
type gatherer struct {
	*Module
	subscriber *fakeSubscriber
	view       fleet.View
}

func newGatherer(length int64) *gatherer {
	subscriber := &fakeSubscriber{length: length}
	p := New(Config{Name: "a", Lease: processLease{&fakeLease{}, "a"}, Figures: subscriber})
	g := &gatherer{Module: p, subscriber: subscriber}
	for _, name := range []string{"a", "b", "c", "d"} {
		e := fleet.Entry{Name: name, Incarnation: 1, Version: 1, Zone: "z", State: fleet.Serving}
		g.view.Members = append(g.view.Members, fleet.Member{Entry: e})
	}
	p.conductor.leaseClaimed, p.conductor.holdsLease = true, true
	p.conductor.record = record{Target: Target{Change: change, Settings: "x"}, Phase: running}
	return g
}

// applyView applies a view in which process b has these windows.
func (g *gatherer) applyView(now int64, windows ...fleet.Window) {
	m := &g.view.Members[1]
	m.Windows = windows
	m.Version++
	g.peers.update(now, &g.view)
	g.gatherFigures(now, &g.view, &fleet.Out{})
}

func newWindow(number uint64, length int64, offered uint64) fleet.Window {
	class := fleet.ClassFigures{Name: "x", Offered: offered, Served: offered}
	return fleet.Window{Number: number, Length: length, Class: []fleet.ClassFigures{class}}
}

// Checks that figures are requested exactly as long as evidence is kept.
func TestFiguresAreRequested(t *testing.T) {
	g := newGatherer(22 * second)
	g.applyView(second)
	g.applyView(2 * second)
	if !g.subscriber.wanted || g.subscriber.changes != 1 || g.conductor.evidence == nil {
		t.Fatalf("wanted %t, changed %d times", g.subscriber.wanted, g.subscriber.changes)
	}
	g.conductor.leaseClaimed = false
	if g.applyView(3 * second); g.subscriber.wanted || g.conductor.evidence != nil {
		t.Error("figures are still requested")
	}
	g.conductor.leaseClaimed = true
	if g.applyView(4 * second); !g.subscriber.wanted {
		t.Error("figures are not requested again")
	}
	g.conductor.holdsLease = false
	if g.applyView(5 * second); g.subscriber.wanted {
		t.Error("figures are requested although no change is running")
	}
}

// Checks that a slot is long enough for a window of each process, and is as the rules say where windows are short.
func TestSlotLengthFollowsWindows(t *testing.T) {
	for _, c := range []struct{ length, want int64 }{
		{second, 10 * second},
		{8 * second, 10 * second},
		{22 * second, 27_500_000},
		{37 * second, 46_250_000},
	} {
		g := newGatherer(c.length)
		g.applyView(second)
		e := g.conductor.evidence
		if e.slotLength != c.want || e.slotEnd != second+c.want {
			t.Errorf("windows of %d: slot %d until %d", c.length, e.slotLength, e.slotEnd)
		}
		g.subscriber.length = 60 * second
		if g.applyView(2 * second); e.slotLength != 75*second {
			t.Errorf("windows of 60 s: slot %d", e.slotLength)
		}
		if e.close(100 * second); e.slotEnd != 175*second {
			t.Errorf("the next slot ends at %d", e.slotEnd)
		}
	}
	p := New(Config{Name: "a"})
	if p.slotLength() != 10*second || newEvidence(p.config.Rules, 1, 0, failpoints{}).requestedSlot() != 0 {
		t.Error("windows in entries change the length of the slot")
	}
}

// Checks that windows that are in the view when the evidence begins are ignored, because they may be from any
// earlier time, and that later ones are added.
func TestEarlierWindowsIgnored(t *testing.T) {
	g := newGatherer(22 * second)
	g.applyView(second, newWindow(1, 22*second, 1000), newWindow(2, 22*second, 1000))
	s := g.conductor.evidence.processes["b"]
	if s.offered != 0 || s.lastWindow != 2 {
		t.Fatalf("%g calls, last window %d", s.offered, s.lastWindow)
	}
	if g.applyView(2*second, newWindow(2, 22*second, 1000), newWindow(3, 22*second, 70)); s.offered != 70 ||
		s.lastWindow != 3 {
		t.Errorf("%g calls, last window %d", s.offered, s.lastWindow)
	}
}

// Checks that a window that began before its process had changed and was warm does not count as new.
func TestWindowsFromBeforeTheChange(t *testing.T) {
	g := newGatherer(22 * second)
	g.applyView(second)
	e := g.conductor.evidence
	b := &g.view.Members[1]
	b.Parts = map[fleet.Kind][]byte{fleet.Stage: encode(processStatus{Change: change, State: Changed})}
	g.applyView(2 * second)
	s := e.processes["b"]
	if s.side != sideNew || s.warmAt != 32*second {
		t.Fatalf("side %d, warm at %d", s.side, s.warmAt)
	}
	e.slotEnd = 1000 * second // the rest of the test is one slot
	g.applyView(20*second, newWindow(1, 22*second, 1000))
	g.applyView(42*second, newWindow(1, 22*second, 1000), newWindow(2, 22*second, 1000))
	if s.offered != 0 {
		t.Errorf("%g calls from windows that began too early", s.offered)
	}
	broken := newWindow(3, 22*second, 50)
	broken.Broken = 1
	g.applyView(60*second, newWindow(2, 22*second, 1000), broken)
	if g.applyView(82*second, broken, newWindow(4, 22*second, 60)); s.offered != 50+60 {
		t.Errorf("%g calls", s.offered)
	}
	if e.firstBroken != "b" {
		t.Error("a broken rule in an ignored window is not detected")
	}
}

// Checks that one lost window does not set the offered rate of a process to zero, and that two in a row do.
func TestOneWindowLost(t *testing.T) {
	g := newGatherer(22 * second)
	g.applyView(second)
	e := g.conductor.evidence
	g.applyView(2*second, newWindow(1, 22*second, 220))
	for i, want := range []float64{10, 10, 0} {
		if e.close(int64(30*i+30) * second); e.processes["b"].offeredRate != want {
			t.Errorf("slot %d: %g calls a second, want %g", i, e.processes["b"].offeredRate, want)
		}
	}
}

// Windows in the entry of a process and windows sent as messages are numbered separately. Checks that the sent
// ones are added when the windows in the entry end.
func TestEntryAndMessageWindowsNumberedSeparately(t *testing.T) {
	g := newGatherer(22 * second)
	g.applyView(second)
	s := g.conductor.evidence.processes["b"]
	g.applyView(2*second, newWindow(500, second, 1), newWindow(501, second, 2))
	g.applyView(3*second, newWindow(7, 22*second, 100), newWindow(8, 22*second, 100))
	if s.offered != 3 {
		t.Fatalf("%g calls", s.offered)
	}
	if g.applyView(4*second, newWindow(8, 22*second, 100), newWindow(9, 22*second, 10)); s.offered != 13 {
		t.Errorf("%g calls", s.offered)
	}
}
