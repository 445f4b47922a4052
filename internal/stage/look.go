package stage

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// leastSlots are gathered before a stage is judged at all.
const leastSlots = 4

// score is what one process shows in a measure, over the stage.
type score struct {
	zone  string
	newer bool
	x     float64 // excess, a unit
	old   float64 // the same before the change
	had   bool    // there is a before
	base  float64
}

// scores are those of all that can be compared in a measure.
func (e *evidence) scores(m int) []score {
	var list []score
	for _, n := range e.names {
		s := e.subjects[n]
		if s.out || s.side == neither || 2*s.slots < e.slots || s.slots == 0 {
			continue
		}
		sc := score{zone: s.zone, newer: s.side == newer}
		if m == growth {
			if s.memory.n < 3 {
				continue
			}
			sc.x, sc.base = s.memory.slope(), 1
		} else {
			if s.after[m].den == 0 {
				continue
			}
			sc.x, sc.base = s.after[m].share(), s.after[m].den
			if sc.had = s.before[m].den > 0; sc.had {
				sc.old = s.before[m].share()
			}
		}
		list = append(list, sc)
	}
	// Who had next to no calls tells nothing, and would weigh as much as the others.
	bases := make([]float64, len(list))
	for i := range list {
		bases[i] = list[i].base
	}
	slices.Sort(bases)
	if len(bases) > 0 {
		least := bases[len(bases)/2] / 5
		list = slices.DeleteFunc(list, func(s score) bool { return s.base < least })
	}
	return list
}

// farthest is how many standard deviations from its zone's middle a process's score counts at the most.
const farthest = 6

func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(list))
	return s[len(s)/2]
}

// compare is old against new in one measure; false: there is nothing to compare, as where a figure is not told.
func (e *evidence) compare(m int) (comparison, bool) {
	list := e.scores(m)
	if e.stage == All {
		// The rest changes zone by zone: where no old ones are left there is nothing to compare with, and another zone's
		// are no measure.
		olds := map[string]int{}
		for _, s := range list {
			if !s.newer {
				olds[s.zone]++
			}
		}
		list = slices.DeleteFunc(list, func(s score) bool { return olds[s.zone] < 4 })
	}
	// What a process showed beyond the others before the change it goes on to show in part: how large a part, the old
	// ones tell.
	var xs, ys []float64
	for _, s := range list {
		if !s.newer && s.had {
			xs, ys = append(xs, s.old), append(ys, s.x)
		}
	}
	keeps := 0.0
	if len(xs) >= 8 {
		if v := stat.Variance(xs, nil); v > 0 {
			keeps = min(1, max(0, stat.Covariance(xs, ys, nil)/v))
		}
	}
	type group struct{ olds, news []float64 }
	groups := map[string]*group{}
	var zones []string
	var pooled []float64
	nNew := 0
	for _, s := range list {
		g := groups[s.zone]
		if g == nil {
			g = &group{}
			groups[s.zone] = g
			zones = append(zones, s.zone)
		}
		if s.had {
			s.x -= keeps * s.old
		}
		if s.newer {
			g.news = append(g.news, s.x)
			nNew++
		} else {
			g.olds = append(g.olds, s.x)
		}
	}
	// One that is far out of all others, old or new, as the busiest in a jump, counts as far as the others' spread
	// makes likely.
	var off []float64
	middle := map[string]float64{}
	for _, z := range zones {
		if g := groups[z]; len(g.olds) > 0 {
			middle[z] = median(g.olds)
			for _, x := range g.olds {
				off = append(off, math.Abs(x-middle[z]))
			}
		}
	}
	if far := farthest * 1.4826 * median(off); len(off) >= 20 && far > 0 {
		for _, z := range zones {
			g := groups[z]
			if len(g.olds) == 0 {
				continue
			}
			for _, l := range [][]float64{g.olds, g.news} {
				for i := range l {
					l[i] = min(max(l[i], middle[z]-far), middle[z]+far)
				}
			}
		}
	}
	c := comparison{nNew: nNew}
	sumSq, freedom := 0.0, -1.0
	for _, z := range zones {
		g := groups[z]
		if len(g.olds) == 0 {
			continue
		}
		mean := stat.Mean(g.olds, nil)
		for _, x := range g.olds {
			sumSq += (x - mean) * (x - mean)
			pooled = append(pooled, x)
		}
		freedom += float64(len(g.olds) - 1)
	}
	c.nOld = len(pooled)
	if nNew == 0 || c.nOld < 2 || freedom < 1 {
		return c, false
	}
	variance, center := sumSq/freedom, stat.Mean(pooled, nil)
	var most float64
	for _, z := range zones {
		g := groups[z]
		if len(g.news) == 0 {
			continue
		}
		mid, v, n := center, variance, float64(c.nOld)
		if len(g.olds) >= 4 {
			mid, n = stat.Mean(g.olds, nil), float64(len(g.olds))
			if len(g.olds) >= 10 {
				v = stat.Variance(g.olds, nil)
			}
		}
		if e.failpoints.noPairs {
			mid = 0
		}
		w := float64(len(g.news)) / float64(nNew)
		for _, x := range g.olds {
			c.most = max(c.most, x-mid)
		}
		c.diff += w * (stat.Mean(g.news, nil) - mid)
		c.variance += w * w * v * (1/float64(len(g.news)) + 1/n)
		most = max(most, v)
	}
	c.freedom = freedom
	c.old, c.new, c.calls = e.oldSum[m].share(), e.newSum[m].share(), e.newSum[refused].den
	e.margin(m, &c)
	if c.margin <= 0 {
		return c, false
	}
	// The least that the variance can be: calls are counted one by one.
	least := c.margin * c.margin * 1e-4
	if m <= slow {
		a, b := e.oldSum[m], e.newSum[m]
		p := min(0.5, (a.num+b.num+1)/(a.den+b.den+2))
		binomial := p * (1 - p) * (1/max(a.den, 1) + 1/max(b.den, 1))
		least = max(least, binomial)
		if e.failpoints.noCluster { // the fault: calls taken for independent, processes for alike
			c.variance = binomial
		}
	}
	c.variance = max(c.variance, least)
	return c, true
}

// margin sets what must be seen in a measure, in its own unit, and what is let pass.
func (e *evidence) margin(m int, c *comparison) {
	g, spared := &e.rules.Margins, 0.25
	switch m {
	case lost:
		c.margin = g.Worth
	case refused:
		c.margin = g.Refused
	case failed:
		c.margin = g.Failed
	case late:
		c.margin = g.Late
	case slow:
		c.margin = e.tailSum.share()
	case cpu:
		c.margin, spared = g.CPU*c.old, 0.5
	case memory:
		c.margin, spared = g.Memory*c.old, 0.5
	case growth:
		c.margin, spared = g.Growth, 0.5
		c.old, c.new = 0, c.diff
	}
	c.spared = spared * c.margin
}

// finding is what a look came to, with the figures that it rests on.
type finding struct {
	verdict verdict
	measure int
	comparison
	text string
}

func (f finding) reason() string {
	if f.measure < 0 {
		return f.text
	}
	unit := func(x float64) string {
		switch f.measure {
		case cpu:
			return fmt.Sprintf("%.0f us", x)
		case memory, growth:
			return fmt.Sprintf("%.1f MB", x/1e6)
		}
		return fmt.Sprintf("%.2f%%", 100*x)
	}
	return fmt.Sprintf("%s old %s new %s, %+.1f se, %d:%d processes", measureNames[f.measure], unit(f.old), unit(f.new),
		f.diff/math.Sqrt(f.variance), f.nOld, f.nNew)
}

// look judges the stage by what has been gathered. Most of it is done once a slot.
func (e *evidence) look(now int64) finding {
	if e.stage < 0 || e.slots == 0 {
		return finding{measure: -1, text: "no figures yet"}
	}
	alpha := e.rules.Alpha * alphaShare[e.stage] / measures
	all, worst := passes, finding{measure: -1}
	told := 0
	for m := range measures {
		c, ok := e.compare(m)
		if !ok {
			continue
		}
		told++
		f := finding{verdict: c.judge(alpha, e.rules.Beta, e.failpoints), measure: m, comparison: c}
		// The spread of the old ones says little of how far out one of them can be, as the one on which a jump falls
		// hardest: a few new ones are not halted for what an old one shows as well. One slot in which a trouble begins is
		// no path: its spread is that of the moment alone.
		if e.slots < leastSlots {
			f.verdict = untold
		}
		if f.verdict == harms && c.nNew < 5 && c.nOld >= 20 && c.diff <= c.most {
			f.verdict = untold
		}
		if f.verdict == harms {
			f.text = f.reason()
			return f
		}
		if f.verdict == untold {
			all = untold
		}
		if worst.measure < 0 || c.diff/c.margin > worst.diff/worst.margin {
			worst = f
		}
	}
	// Where windows are long it takes longer until there are slots enough to tell by.
	enough := (leastSlots + 1) * e.longSlot()
	longest := max(e.rules.Most, enough)
	most := longest
	if e.stage == One {
		// One process tells of crashes and gross faults; the next stage of the rest.
		most = min(most, max(2*e.rules.Look, enough))
	}
	f := worst
	switch {
	case told == 0 || f.calls == 0:
		f.verdict, f.text = untold, "too little traffic to tell: no calls on the new side"
		if now-e.since >= longest {
			f.verdict, f.measure, f.text = harms, -1, "no calls on the new side to tell by"
		}
	case now-e.since < e.rules.Look:
		f.verdict, f.text = untold, "looked at too short a time"
	case all == passes:
		f.verdict, f.text = passes, "no measure is worse by its margin"
	case now-e.since < most:
		f.verdict, f.text = untold, "too little traffic to tell yet: "+f.reason()
	case e.stage != One && f.diff > f.margin:
		f.verdict, f.text = harms, "not told apart in time, and worse by over its margin: "+f.reason()
	default:
		f.verdict, f.text = passes, "not told apart in time, and worse by under its margin: "+f.reason()
	}
	return f
}
