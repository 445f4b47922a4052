// Package soak plays short, dense trials: a few real processes of the program with stand-in offices, discovery and callers on
// loopback, and faults that cross. All of a trial is drawn from its seed. For tests alone.
package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pewterwheel/internal/standin"
)

// Fault is what happens to an office.
type Fault int

// The faults.
const (
	Well         Fault = iota // nothing
	Hung                      // its process does nothing any more; its system accepts connections
	HungReports               // its processor does nothing any more; reports of free lines go on
	HungFor                   // its process does nothing for some seconds
	Gone                      // its process ends, and connects are refused
	Vanished                  // nothing passes between it and the controllers, and connects do not come up
	VanishedFor               // the same for some seconds; then its connections are reset
	Unheard                   // nothing passes from it to the controllers
	Unreachable               // nothing passes from the controllers to it
	Resets                    // its connections are reset again and again
	Drained                   // it drains on the list, and goes some seconds later
	HungAndDrain              // it hangs, and drains on the list meanwhile
	faultsOfFirstForm

	// Those that seeds from firstOfSecondForm on draw, too.
	Replaced        // it hangs, is killed, and another process that knows nothing of its calls takes its place
	ReplacedAtOnce  // the same, and no connect is refused meanwhile
	ReplacedInTurns // it is killed and replaced again and again; the second form leaves it out by mistake, and the third draws it

	// That which seeds from firstOfThirdForm on draw, too.
	HungInPart // its processor ends no calls any more, and parts of it go on for a while
	faults
)

// firstOfSecondForm is the first seed that draws replaced offices, and how often offices report. Earlier ones draw what they
// always did: tests and known failures name them.
const firstOfSecondForm = 2_000_000

// firstOfThirdForm is the first seed that draws offices of which parts go on.
const firstOfThirdForm = 3_000_000

// String names the fault.
func (f Fault) String() string {
	return [...]string{"well", "hung", "hung-reports", "hung-for", "gone", "vanished", "vanished-for", "unheard", "unreachable",
		"resets", "drained", "hung-and-drains", "", "replaced", "replaced-at-once", "replaced-in-turns", "hung-in-part"}[f]
}

// Trouble is a fault of one office, with its time from the start of the trial and how long it lasts where it does.
type Trouble struct {
	Fault Fault
	At    time.Duration
	Lasts time.Duration
	Gap   time.Duration // how long connects are refused
	Told  time.Duration // when after its start discovery tells of a new process; 0: never
	Parts standin.Parts // what goes on
	// Reports go on, where the office reports.
	ReportsOn bool
}

// Plan is all that is drawn of a trial.
type Plan struct {
	Seed        uint64
	Controllers int
	Offices     []Trouble
	Reports     bool          // offices tell of their free lines
	ReportEvery time.Duration // how often; 0: as the stand-in does
	Deadline    time.Duration // of the class
	Resend      time.Duration
	Hold        time.Duration   // mean
	Rate        float64         // set-ups a second to each controller
	Silence     Trouble         // discovery is silent; Lasts 0: never
	Stops       []time.Duration // when each controller is told to end and has a successor; 0: never
}

// Draw draws a plan.
func Draw(seed uint64) Plan {
	rng := rand.New(rand.NewPCG(seed, 0x50a4))
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(rng.Float64()*float64(high-low))
	}
	p := Plan{Seed: seed, Controllers: 2 + rng.IntN(3), Reports: rng.IntN(2) == 0, Deadline: between(600*time.Millisecond, 4*time.Second),
		Resend: between(250*time.Millisecond, 600*time.Millisecond), Hold: between(500*time.Millisecond, 5*time.Second), Rate: 6 + 14*rng.Float64()}
	for i := range 2 + rng.IntN(3) {
		t := Trouble{Fault: Fault(rng.IntN(int(faultsOfFirstForm))), At: between(1500*time.Millisecond, 6*time.Second), Lasts: between(500*time.Millisecond, 9*time.Second)}
		if i == 0 {
			t = Trouble{} // one is always there to serve
		}
		p.Offices = append(p.Offices, t)
	}
	if rng.IntN(2) == 0 {
		p.Silence = Trouble{At: between(time.Second, 5*time.Second), Lasts: between(time.Second, 9*time.Second)}
	}
	for range p.Controllers {
		stop := time.Duration(0)
		if rng.IntN(3) == 0 {
			stop = between(4*time.Second, 9*time.Second)
		}
		p.Stops = append(p.Stops, stop)
	}
	if seed >= firstOfSecondForm {
		p.drawReplaced(rand.New(rand.NewPCG(seed, 0x4e91)))
	}
	if seed >= firstOfThirdForm {
		p.drawHungInPart(rand.New(rand.NewPCG(seed, 0x9a75)))
	}
	return p
}

// mostPart is how long parts of an office go on at most: longer, and it can't be known in time that it ends no calls.
const mostPart = 1300 * time.Millisecond

// drawHungInPart has some of the offices hang in part in place of what else was drawn for them.
func (p *Plan) drawHungInPart(rng *rand.Rand) {
	for i := range p.Offices[1:] {
		lasts := time.Duration((0.7 + 0.3*rng.Float64()) * float64(mostPart))
		t := Trouble{Fault: HungInPart, At: 3*time.Second + time.Duration(rng.Float64()*float64(4*time.Second)), ReportsOn: rng.IntN(2) == 0}
		t.Parts.Heard = rng.IntN(2) == 0
		switch rng.IntN(3) {
		case 0:
			t.Parts.Answers = lasts
		case 1:
			t.Parts.Refuses = lasts
		}
		if rng.IntN(6) == 0 {
			t = Trouble{Fault: ReplacedInTurns, At: t.At, Lasts: 2 * lasts, Gap: 100*time.Millisecond + lasts, Told: time.Second}
		}
		if rng.IntN(3) > 0 {
			p.Offices[i+1] = t
		}
	}
}

// drawReplaced has some of the offices be replaced in place of what else was drawn for them.
func (p *Plan) drawReplaced(rng *rand.Rand) {
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(rng.Float64()*float64(high-low))
	}
	if p.Reports {
		p.ReportEvery = between(300*time.Millisecond, 5*time.Second)
	}
	for i := range p.Offices[1:] {
		t := Trouble{At: between(2500*time.Millisecond, 6*time.Second), Lasts: between(0, 4*time.Second), Gap: between(100*time.Millisecond, 2200*time.Millisecond)}
		t.Fault = Replaced + Fault(rng.IntN(int(ReplacedInTurns-Replaced)))
		told := between(10*time.Millisecond, time.Second)
		untold := rng.IntN(2) == 0
		if !p.Reports || !untold {
			t.Told = told // where offices report nothing, discovery has to
		}
		if rng.IntN(3) > 0 {
			p.Offices[i+1] = t
		}
	}
}

// String tells the plan in one line.
func (p Plan) String() string {
	text := fmt.Sprintf("%d controllers, reports %t %v, deadline %v, hold %v, %.0f/s each:", p.Controllers, p.Reports, p.ReportEvery.Round(10*time.Millisecond),
		p.Deadline.Round(time.Millisecond), p.Hold.Round(time.Millisecond), p.Rate)
	for _, t := range p.Offices {
		if t.Fault == Well {
			text += " well"
			continue
		}
		text += fmt.Sprintf(" %v@%v", t.Fault, t.At.Round(100*time.Millisecond))
		if t.Fault == HungInPart {
			text += fmt.Sprintf("(reports %t, %+v)", t.ReportsOn, t.Parts)
			continue
		}
		if t.Fault == HungFor || t.Fault == VanishedFor || t.Fault >= Replaced {
			text += fmt.Sprintf("+%v", t.Lasts.Round(100*time.Millisecond))
		}
		if t.Fault >= Replaced {
			text += fmt.Sprintf("(refuses %v, told %v)", t.Gap.Round(10*time.Millisecond), t.Told.Round(10*time.Millisecond))
		}
	}
	if p.Silence.Lasts != 0 {
		text += fmt.Sprintf(", discovery silent@%v+%v", p.Silence.At.Round(100*time.Millisecond), p.Silence.Lasts.Round(100*time.Millisecond))
	}
	for i, s := range p.Stops {
		if s != 0 {
			text += fmt.Sprintf(", SIGTERM n%d@%v", i, s.Round(100*time.Millisecond))
		}
	}
	return text
}
