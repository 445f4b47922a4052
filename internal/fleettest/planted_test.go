package fleettest

import (
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Processes that were made worse on purpose: each fault is caught, by the check that is there for it.
func TestPlanted(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		points string // of all members
		first  string // of the first one, in place of those
		do     func(f *Fleet)
		want   string
	}{
		"acts without asking, after a stop": {"claim=x,claim-unasked", "", func(f *Fleet) {
			was := f.holder("x")
			f.Process[was].Signal(syscall.SIGSTOP)
			f.holder("x", was)
			f.Process[was].Signal(syscall.SIGCONT)
			f.again("x", was)
		}, "us after its grant ran out"},
		"acts without asking, behind a cut": {"claim=x,claim-unasked", "", func(f *Fleet) {
			was := f.holder("x")
			f.Cut([]int{was}, f.rest(was), true, true)
			f.holder("x", was)
			f.again("x", was)
		}, "us after its grant ran out"},
		"a lease believed to be longer than it is": {"", "claim=x,lease-believed=40s", func(f *Fleet) {
			f.holder("x")
			f.Cut([]int{0}, f.rest(0), true, true)
			f.claims(1)
			f.holder("x", 0)
		}, "one-holder: x is held by"},
		"a clock at a third of the rate": {"", "claim=x,clock-rate=0.3", func(f *Fleet) {
			f.holder("x")
			f.Cut([]int{0}, f.rest(0), true, true)
			f.claims(1)
			f.holder("x", 0)
			f.again("x", 0)
		}, "one-holder: "},
		"numbers that begin anew": {"claim=x", "", func(f *Fleet) {
			f.holder("x")
			for _, p := range f.Process {
				p.Kill()
				p.Failpoints = "lease-no-floor"
			}
			f.StartAll()
			f.holder("x")
		}, "fence: "},
		"suspicion taken for death": {"gone-is-left", "", func(f *Fleet) {
			f.Until("all see all", func() bool { return f.History.Count("fleet", "sees") >= f.Members*f.Members })
			f.Process[1].Kill()
			f.Until("it is unseen", func() bool { return f.History.Count("fleet", "unseen") > 0 })
		}, "lives: "},
		"an earlier life shadows a later one": {"deaf-own", "", func(f *Fleet) {
			f.Process[1].Kill()
			f.Process[1].Failpoints = "clock=-1h"
			f.Process[1].Start()
			f.Process[1].Ready()
			// Entries spread on change alone; what it does not take of itself it is told again by repair.
			f.Until("it is told of its earlier life", func() bool { return f.Process[1].Figure("repair_asks") >= 3 })
		}, "views: "},
		"entries that nobody takes": {"net-deaf", "", func(f *Fleet) {
			f.Until("entries pass", func() bool { return f.Process[0].Figure("fleet_entries_heard") > 20 })
		}, "does not see"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := New(t, Options{Program: program(t), Members: 5, Seed: *seed, Failpoints: c.points})
			f.Process[0].Failpoints = c.first
			f.StartAll()
			c.do(f)
			vs := append(f.Judge(), Views(f.History.Events(), f.Running())...)
			for _, v := range vs {
				if strings.Contains(v.String(), c.want) {
					t.Log(v)
					return
				}
			}
			t.Errorf("%d violations, none of them %q:\n%s", len(vs), c.want, Report(vs, f.History.Events()))
		})
	}
}

// claims has a member claim x in its next life, which begins now.
func (f *Fleet) claims(who int) {
	f.Process[who].Kill()
	f.Process[who].Failpoints = "claim=x"
	f.Process[who].Start()
}

// again waits until a member acts on a thing, though it may not.
func (f *Fleet) again(thing string, who int) {
	f.t.Helper()
	since := Clock()
	f.Until(f.Process[who].Name+" acts on "+thing, func() bool {
		for _, e := range f.History.Events() {
			if e.What == "acting" && e.Thing == thing && e.At > since && e.Process == f.Process[who].Name {
				return true
			}
		}
		return false
	})
}

// A keeper that grants a line more than there is: by its own notes of what it grants against.
func TestPlantedKeeper(t *testing.T) {
	t.Parallel()
	f := New(t, Options{Program: program(t), Members: 5, Seed: *seed, Site: "[keepers]\nnumbers = 16\n", Lines: map[string]int{"n/hot": 4},
		Hold: 300 * time.Millisecond, Failpoints: "keeper-over"})
	f.StartAll()
	stop := f.Offer(15, "n/hot")
	f.Until("lines are granted", func() bool { return f.History.Count("keeper", "granted") >= 20 })
	stop()
	vs := f.Judge()
	for _, v := range vs {
		if v.Check == "record" && strings.Contains(v.Text, `it refuses "granted"`) && grantedBeyond(v.Text) {
			t.Log(v)
			return
		}
	}
	t.Errorf("%d violations, none of the record:\n%s", len(vs), Report(vs, f.History.Events()))
}

var heldOfLines = regexp.MustCompile(`(\d+) held and 0 not known of (\d+) lines`)

// grantedBeyond tells whether a line was granted when as many were held as there were, by the owner's own record. How many
// it takes to be there depends on when the first call met an end that was busy.
func grantedBeyond(text string) bool {
	m := heldOfLines.FindStringSubmatch(text)
	return m != nil && m[1] == m[2] && m[2] != "0"
}
