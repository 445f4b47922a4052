package fleettest

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// propose puts settings for all members beside their files, each member's own with lines replaced, and tells one member of the
// change.
func (f *Fleet) propose(who, number int, from, to string) {
	f.t.Helper()
	dir, err := os.MkdirTemp(built.dir, "new") // a short path: the change's record carries it
	f.must(err)
	for _, p := range f.Process {
		text, err := os.ReadFile(p.path)
		f.must(err)
		if !strings.Contains(string(text), from) {
			f.t.Fatalf("%q is not in\n%s", from, text)
		}
		f.must(os.WriteFile(filepath.Join(dir, p.Name), []byte(strings.ReplaceAll(string(text), from, to)), 0o600))
	}
	p := f.Process[who]
	f.must(p.Write(fmt.Sprintf("[change]\nnumber = %d\nsettings = %s\n", number, filepath.Join(dir, "{member}"))))
	p.Signal(syscall.SIGHUP)
}

// since gives the first event of a kind after a time; false: there is none yet.
func (f *Fleet) since(at int64, kind string, what ...string) (Event, bool) {
	for _, e := range f.History.Events() {
		for _, w := range what {
			if e.At > at && e.Kind == kind && e.What == w {
				return e, true
			}
		}
	}
	return Event{}, false
}

// next waits for such an event.
func (f *Fleet) next(at int64, kind string, what ...string) (e Event) {
	f.t.Helper()
	f.Until(fmt.Sprintf("%s of %s", what, kind), func() (ok bool) { e, ok = f.since(at, kind, what...); return ok })
	return e
}

func (f *Fleet) named(name string) *Process {
	for _, p := range f.Process {
		if p.Name == name {
			return p
		}
	}
	f.t.Fatalf("no member %s", name)
	return nil
}

// A change of settings goes its way though its conductor is killed at each step: no stage is skipped, repeated, or open beside
// another, and it comes to one end. Each is killed once another member has heard of what it conducts.
func TestConductorKilledAtEachStep(t *testing.T) {
	t.Parallel()
	f := begin(t, Options{Zones: 3, Failpoints: "stage=0.05"})
	stop := f.Offer(20)
	at := Clock()
	f.propose(0, 1, "spill-return = 5%", "spill-return = 6%")
	steps := map[string]bool{}
	for over := false; !over; {
		e := f.next(at, "stage", "opened", "tells", "stage", "passed", "halted", "over")
		at = e.At
		p := f.named(e.Process)
		over = e.What == "over"
		if step := fmt.Sprint(e.What, e.N); !over && e.Life == p.Life && !steps[step] {
			steps[step] = true
			other := f.Process[(p.Index+1)%f.Members]
			f.Until("another hears of the change", func() bool { return other.Figure("stage_runs") > 0 || other.Figure("stage_over") > 0 })
			p.Kill()
			p.Start()
			p.Ready()
			f.next(at, "stage", "conducts", "over")
		}
	}
	stop()
	f.Agree("after the change")
	sound(t, f)
	t.Logf("conductors died at %v", sorted(steps))
	if len(steps) < 3 {
		t.Errorf("conductors died at %v alone", sorted(steps))
	}
}

// A change that has members refuse calls is halted, and those changed go back; a second one meanwhile is refused.
func TestHarmfulChangeHalts(t *testing.T) {
	t.Parallel()
	f := begin(t, Options{Zones: 3, Failpoints: "stage=0.05"})
	stop := f.Offer(20)
	at := Clock()
	f.propose(0, 1, "[limit core]\nrate = ", "[limit core]\nrate = 1/s ; ")
	e := f.next(at, "stage", "opened")
	f.next(at, "stage", "tells")
	f.propose(1, 2, "spill-return = 5%", "spill-return = 6%")
	halt := f.next(e.At, "stage", "halted", "passed")
	t.Log(halt)
	f.next(halt.At, "stage", "over")
	stop()
	sound(t, f)
	if halt.What != "halted" {
		t.Errorf("the change passed: %s", halt)
	}
	if f.History.Logged("ERROR", "the change is not begun") == 0 {
		t.Error("the second change was not refused")
	}
}

// The keeper of a hot number on the lesser side of a cut, one that dies, one that stands still, and a change of settings
// meanwhile: the number has one keeper at a time, its record one order, and calls go on.
func TestKeepersUnderFaults(t *testing.T) {
	t.Parallel()
	f := begin(t, Options{Site: "[keepers]\nnumbers = 16\n", Lines: map[string]int{"n/hot": 10}, Hold: 300 * time.Millisecond, Failpoints: "stage=0.05"})
	stop := f.Offer(15, "n/hot")
	ordinary := f.Offer(5)
	kept := f.next(0, "keeper", "kept")
	taken := func(after int64) {
		t.Helper()
		f.Until("permits are taken", func() bool { _, ok := f.since(after, "keeper", "permit"); return ok })
	}
	// other waits until another one keeps it than the keeper of an event: after that event, for it may have moved by itself meanwhile.
	other := func(than Event) Event {
		t.Helper()
		var e Event
		f.Until("another keeps it", func() bool {
			for _, e = range f.History.Events() {
				if e.At > than.At && e.What == "kept" && e.Process != than.Process {
					return true
				}
			}
			return false
		})
		taken(e.At)
		return e
	}
	// newest is the last event of its keeping, and so who keeps it now.
	newest := func() Event {
		e := kept
		for _, x := range f.History.Events() {
			if x.What == "kept" && x.At > e.At {
				e = x
			}
		}
		return e
	}
	taken(kept.At)
	who := f.named(kept.Process).Index
	lesser := []int{who, (who + 1) % f.Members}
	f.Cut(lesser, f.rest(lesser...), true, true)
	next := other(kept)
	f.Each(Faults{})
	f.Agree("after the cut")
	next = newest()
	f.named(next.Process).Kill()
	other(next)
	for _, p := range f.Process {
		if !p.running {
			p.Start()
			p.Ready()
		}
	}
	at := Clock()
	f.propose(0, 1, "spill-return = 5%", "spill-return = 6%")
	f.next(at, "stage", "tells")
	next = newest()
	f.named(next.Process).Signal(syscall.SIGSTOP)
	other(next)
	f.named(next.Process).Signal(syscall.SIGCONT)
	stop()
	ordinary()
	f.Agree("after all")
	sound(t, f)
	lines, busy := f.Lines.Counts()
	t.Logf("%d set-ups got a line and %d ended busy; %d grants, %d permits", lines, busy, f.History.Count("keeper", "granted"), f.History.Count("keeper", "permit"))
}

// Half of the fleet dies at once and comes back under a later version's name, then the other half; the program is the same, for there
// is no other version of it yet that speaks with members. Members of both names see each other,
// the hot number is kept and permits are taken under either mixture, and the calls of the half that lives go on.
func TestHalfByHalf(t *testing.T) {
	t.Parallel()
	f := begin(t, Options{Site: "[keepers]\nnumbers = 16\n", Lines: map[string]int{"n/hot": 10}, Hold: 300 * time.Millisecond})
	stop := f.Offer(15, "n/hot")
	ordinary := f.Offer(5)
	kept := f.next(0, "keeper", "kept")
	f.next(kept.At, "keeper", "permit")
	for half := range 2 {
		var dead []*Process
		for i, p := range f.Process {
			if i%2 == half {
				dead = append(dead, p)
				p.Kill()
			}
		}
		for _, p := range dead {
			p.Failpoints = "version=later"
			p.Start()
		}
		for _, p := range dead {
			p.Ready()
		}
		f.Agree("with versions side by side")
		f.next(Clock(), "keeper", "permit")
	}
	stop()
	ordinary()
	f.Agree("after all")
	sound(t, f)
}
