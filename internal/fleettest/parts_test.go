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
// another, and it comes to one end.
func TestConductorKilledAtEachStep(t *testing.T) {
	t.Parallel()
	f := begin(t, Options{Zones: 3, Failpoints: "stage=0.05"})
	stop := f.Offer(20)
	at := Clock()
	f.propose(0, 1, "spill-return = 5%", "spill-return = 6%")
	deaths := 0
	for over := false; !over; {
		e := f.next(at, "stage", "opened", "tells", "stage", "conducts", "passed", "halted", "over")
		at = e.At
		switch p := f.named(e.Process); {
		case e.What == "over":
			over = true
		case e.What == "conducts" || !p.running:
		default:
			p.Kill()
			deaths++
			p.Start()
			p.Ready()
			asked := time.Now()
			f.Until("somebody follows "+p.Name, func() bool {
				// Who dies before anybody has heard of the change is followed once it is asked for again.
				if e.What == "opened" && time.Since(asked) > 3*time.Second {
					asked = time.Now()
					p.Signal(syscall.SIGHUP)
				}
				_, follows := f.since(at, "stage", "conducts", "opened", "over")
				return follows
			})
		}
	}
	stop()
	f.Agree("after the change")
	sound(t, f)
	t.Logf("%d conductors died", deaths)
	if deaths < 2 {
		t.Errorf("only %d conductors died", deaths)
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
