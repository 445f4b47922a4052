package fleettest

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Step is one thing that is done to a fleet once it has come so far. What it does may be written and read as text.
type Step struct {
	After int    // calls that have their final answers
	Do    string // cut, mute, heal, rough, smooth, kill, start, stop, cont, term, rebind, break
	Who   []int  // members; for cut and mute those on one side
}

func (s Step) String() string {
	who := make([]string, len(s.Who))
	for i, w := range s.Who {
		who[i] = strconv.Itoa(w)
	}
	return strings.TrimSpace(fmt.Sprintf("%d %s %s", s.After, s.Do, strings.Join(who, ",")))
}

// Schedule is what is done to a fleet, in order.
type Schedule []Step

func (s Schedule) String() string {
	var b strings.Builder
	for _, step := range s {
		fmt.Fprintln(&b, step)
	}
	return b.String()
}

// Read reads a schedule as String writes it. Lines that begin with # are passed over.
func Read(text string) (Schedule, error) {
	var s Schedule
	lines := bufio.NewScanner(strings.NewReader(text))
	for n := 1; lines.Scan(); n++ {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		after, err := strconv.Atoi(words[0])
		if err != nil || len(words) < 2 || len(words) > 3 || !slices.Contains(deeds, words[1]) {
			return nil, fmt.Errorf("schedule line %d: %q is not AFTER DEED MEMBERS", n, lines.Text())
		}
		step := Step{After: after, Do: words[1]}
		if len(words) == 3 {
			for _, w := range strings.Split(words[2], ",") {
				i, err := strconv.Atoi(w)
				if err != nil {
					return nil, fmt.Errorf("schedule line %d: %q is no member", n, w)
				}
				step.Who = append(step.Who, i)
			}
		}
		s = append(s, step)
	}
	return s, nil
}

var deeds = []string{"cut", "mute", "heal", "rough", "smooth", "kill", "start", "stop", "cont", "term", "rebind", "break"}

// Draw draws a schedule of so many troubles, one after the other, each of which ends, with so many calls before each step. At
// its end all members live and reach each other.
func Draw(seed uint64, members, troubles, calls int) Schedule {
	rng := rand.New(rand.NewPCG(seed, 0x5ced))
	some := func(most int) []int {
		who := rng.Perm(members)[:1+rng.IntN(most)]
		slices.Sort(who)
		return who
	}
	var s Schedule
	add := func(do string, who ...int) { s = append(s, Step{After: (len(s) + 1) * calls, Do: do, Who: who}) }
	for range troubles {
		switch half := max(1, members/2); rng.IntN(8) {
		case 0:
			add("cut", some(half)...)
			add("heal")
		case 1:
			add("mute", some(half)...)
			add("heal")
		case 2:
			add("rough")
			add("smooth")
		case 3:
			who := some(half)
			add("kill", who...)
			add("start", who...)
		case 4:
			who := some(max(1, members/4))
			add("stop", who...)
			add("cont", who...)
		case 5:
			who := some(max(1, members/4))
			add("term", who...)
			add("start", who...)
		case 6:
			add("rebind", some(1)...)
		case 7:
			add("break", some(half)...)
		}
	}
	return s
}

// Rough is what happens to datagrams and streams in a bad hour.
var Rough = Faults{Drop: 0.2, Double: 0.1, Swap: 0.1, Delay: 2 * time.Millisecond, Jitter: 20 * time.Millisecond}

// Do does one step.
func (f *Fleet) Do(s Step) {
	f.t.Helper()
	f.History.Rig("rig", 0, s.Do, s.String())
	var rest []int
	for i := range f.Process {
		if !slices.Contains(s.Who, i) {
			rest = append(rest, i)
		}
	}
	switch s.Do {
	case "cut", "mute":
		f.Cut(s.Who, rest, s.Do == "cut", true)
		return
	case "heal", "smooth":
		f.Each(Faults{})
		return
	case "rough":
		f.Each(Rough)
		return
	}
	for _, i := range s.Who {
		p := f.Process[i]
		switch s.Do {
		case "kill":
			p.Kill()
		case "start":
			p.Start()
		case "stop":
			p.Signal(syscall.SIGSTOP)
		case "cont":
			p.Signal(syscall.SIGCONT)
		case "term":
			p.Stop()
		case "rebind":
			p.Kill()
			p.Rebind()
			p.Start()
		case "break":
			p.spoilt = true
			p.Front.Break()
			for _, r := range p.offices {
				r.Break()
			}
		}
	}
	for _, i := range s.Who {
		if s.Do == "start" || s.Do == "rebind" {
			f.Process[i].Ready()
		}
	}
}

// Play does a schedule's steps, each once so many calls have their final answers.
func (f *Fleet) Play(s Schedule) {
	f.t.Helper()
	f.t.Cleanup(func() {
		if f.t.Failed() {
			f.t.Logf("the schedule, to be played again (seed %d of the relays):\n%s", f.Seed, s)
		}
	})
	start := f.answers()
	for _, step := range s {
		f.Until(fmt.Sprintf("%d answers for step %q", step.After, step), func() bool { return f.answers()-start >= step.After })
		f.Do(step)
	}
}

func (f *Fleet) answers() int {
	c := f.Book.Sums()
	return c.Answered + c.Refused + c.Failed
}

// Offer has every member's caller set up calls at a rate a second each, to numbers called once or to the one that is given,
// until the function that it returns is called.
func (f *Fleet) Offer(rate float64, number ...string) (stop func()) {
	done := make(chan struct{})
	ends := make(chan struct{}, len(f.Process))
	for _, p := range f.Process {
		go func() {
			defer func() { ends <- struct{}{} }()
			tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
			defer tick.Stop()
			for {
				select {
				case <-done:
					return
				case <-tick.C:
					p.Caller.Call("sale", strings.Join(number, ""), 3*time.Second)
				}
			}
		}()
	}
	return func() {
		close(done)
		for range f.Process {
			<-ends
		}
	}
}
