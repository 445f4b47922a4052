package liveness

import (
	"iter"
	"math/rand/v2"
	"slices"
	"testing"
)

// callLoad simulates calls that begin at an office at random and last a random time each.
type callLoad struct {
	office      Office
	holding     *HoldingTimes
	rng         *rand.Rand
	established []Call
	endTimes    []int64 // end times of the established calls
}

func newCallLoad() *callLoad {
	return &callLoad{holding: NewHoldingTimes(1), rng: rand.New(rand.NewPCG(3, 5))}
}

func (l *callLoad) calls() iter.Seq[Call] { return slices.Values(l.established) }

// run begins calls at a rate per second, with a mean holding time in seconds, during the given period; the office
// reports ends if works is set.
func (l *callLoad) run(from, to int64, ratePerSecond, meanSeconds float64, works bool) {
	for now := from; now < to; now += second / 100 {
		if l.rng.Float64() < ratePerSecond/100 {
			l.established = append(l.established, Call{Since: now})
			l.endTimes = append(l.endTimes, now+int64(meanSeconds*l.rng.ExpFloat64()*second))
			l.office.MessageReceived(Message{At: now, Kind: Answer, OnMain: true, SetUpSent: now - 1000})
		}
		for i := 0; works && i < len(l.established); i++ {
			if l.endTimes[i] <= now {
				l.office.CallEnded(now, l.established[i], 1)
				l.office.MessageReceived(Message{At: now, Kind: End, OnMain: true})
				l.holding.EndedByOffice(0, now-l.established[i].Since)
				l.established = slices.Delete(l.established, i, i+1)
				l.endTimes = slices.Delete(l.endTimes, i, i+1)
				i--
			}
		}
	}
}

// endsNoCalls reports whether the office is found to end no calls.
func (l *callLoad) endsNoCalls(now int64) bool {
	if !l.office.MissingEndsCheckDue(now) {
		return false
	}
	until := l.office.LastEnd()
	rates := l.holding.Rates(slices.Values([]OfficeCalls{{Until: until, Calls: l.calls()}}))
	_, over := l.office.CheckMissingEnds(now, l.calls(), rates)
	return over
}

// Guards against taking an office that still answers, but ends none of its calls any more, for one that can end them.
func TestAnswersDoNotProveEnds(t *testing.T) {
	load := newCallLoad()
	load.run(second, 20*second, 15, 2.5, true)
	load.run(20*second, 26*second+second/2, 15, 2.5, false)
	if load.endsNoCalls(26*second + second/2) {
		t.Error("found to end no calls 6.5 s after the last end")
	}
	load.run(26*second+second/2, 27*second+second/10, 15, 2.5, false)
	if !load.endsNoCalls(27*second + second/10) {
		t.Error("not found to end no calls 7.1 s after the last end")
	}
	load.run(27*second+second/10, 28*second, 15, 2.5, true)
	if load.endsNoCalls(28 * second) {
		t.Error("still found to end no calls, although it does")
	}
}

// Guards against cutting calls when none ends for a while, because new calls last longer from some time on or few are
// established.
func TestRareEndsCutNoCalls(t *testing.T) {
	for _, c := range []struct {
		name                      string
		rate, mean, later, longer float64
	}{
		{"longer calls", 15, 0.5, 15, 30},
		{"longer calls, many", 90, 0.5, 90, 60},
		{"longer calls, none begin", 40, 2.5, 0, 60},
		{"longer calls, fewer begin", 40, 1, 4, 60},
		{"few calls", 0.3, 2.5, 0.3, 2.5},
		{"no new calls", 15, 2.5, 0, 2.5},
	} {
		load := newCallLoad()
		load.run(second, 20*second, c.rate, c.mean, true)
		load.run(20*second, 22*second, c.rate, c.longer, true)
		for now := int64(22 * second); now < 60*second; now += second / 4 {
			load.run(now, now+second/4, c.later, c.longer, true)
			if load.endsNoCalls(now + second/4) {
				t.Errorf("%s: found to end no calls at %d us, although it does", c.name, now)
				break
			}
		}
	}
}

// The learned holding times predict as many ends as there are, at each age.
func TestHoldingTimesPredictEnds(t *testing.T) {
	h := NewHoldingTimes(2)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 4000 {
		h.EndedByOffice(0, int64(2.5*second*rng.ExpFloat64()))
		h.EndedByOffice(1, 30*second)
	}
	rates := h.Rates(slices.Values([]OfficeCalls(nil)))
	for _, c := range []struct {
		class    int
		from, to int64
		least    float64
		most     float64
	}{
		{0, 0, 5 * second, 1.8, 2.2},
		{0, second, 2 * second, 0.35, 0.45},
		{1, 0, 25 * second, 0, 0.01},
		{1, 20 * second, 40 * second, 1, 5},
	} {
		if got := rates.expected(c.class, c.from, c.to); got < c.least || got > c.most {
			t.Errorf("class %d from %d to %d us: expected %g ends, want %g to %g",
				c.class, c.from, c.to, got, c.least, c.most)
		}
	}
}
