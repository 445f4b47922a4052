package stage

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// minStageSlots is the number of slots needed before a stage is judged.
const leastSlots = 4

// score is the result of one process in a measure over the stage.
type score struct {
	zone  string
	newer bool
	x     float64 // excess per unit of weight
	old   float64 // the same before the change
	had   bool    // excessBefore is known
	base  float64
}

// scores returns the scores of all processes that can be compared in a measure.
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
	// Drops processes with next to no calls: they show nothing, but would count as much as the others.
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

// maxDeviations limits a score to so many standard deviations from the middle of its zone.
const farthest = 6

func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(list))
	return s[len(s)/2]
}

// compare compares old and new in one measure. It returns false if there is nothing to compare, for example
// because no process reports the figure.
func (e *evidence) compare(m int) (comparison, bool) {
	list := e.scores(m)
	if e.stage == All {
		// The remaining processes change zone by zone. A zone with few old processes left cannot be compared, and
		// the old ones of another zone are no substitute.
		olds := map[string]int{}
		for _, s := range list {
			if !s.newer {
				olds[s.zone]++
			}
		}
		list = slices.DeleteFunc(list, func(s score) bool { return olds[s.zone] < 4 })
	}
	// A part of the excess that a process had before the change persists; the old processes show how large that
	// part is (the regression slope).
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
	// An outlier, old or new, such as the busiest process in a load jump, is limited to the deviation that the
	// spread of the others makes plausible.
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
	// Lower bound of the variance: calls are counted one by one.
	least := c.margin * c.margin * 1e-4
	if m <= slow {
		a, b := e.oldSum[m], e.newSum[m]
		p := min(0.5, (a.num+b.num+1)/(a.den+b.den+2))
		binomial := p * (1 - p) * (1/max(a.den, 1) + 1/max(b.den, 1))
		least = max(least, binomial)
		if e.failpoints.noCluster { // fault: treats calls as independent and processes as alike
			c.variance = binomial
		}
	}
	c.variance = max(c.variance, least)
	return c, true
}

// setMargin sets the increase of a measure that must be detected, in the unit of the measure, and the increase
// that is tolerated.
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

// finding is the result of an evaluation, with the figures that it is based on.
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

// evaluate judges the stage by the figures gathered so far.
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
		// The spread of the old processes does not show how far out a single one can be, such as the one that a
		// load jump hits hardest. So a few new processes cause no halt if an old one is as bad. A single slot in
		// which a trouble begins is not enough evidence either: its spread is that of the moment only.
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
	// Long windows take longer to give enough slots.
	enough := (leastSlots + 1) * e.longSlot()
	longest := max(e.rules.Most, enough)
	most := longest
	if e.stage == One {
		// One process shows crashes and gross faults; the next stage shows the rest.
		most = min(most, max(2*e.rules.Look, enough))
	}
	f := worst
	switch {
	case told == 0 || f.calls == 0:
		f.verdict, f.text = untold, "too little traffic: no calls on the new side"
		if now-e.since >= longest {
			f.verdict, f.measure, f.text = harms, -1, "no calls on the new side in time to judge it"
		}
	case now-e.since < e.rules.Look:
		f.verdict, f.text = untold, "not judged for long enough yet"
	case all == passes:
		f.verdict, f.text = passes, "no measure is worse by its margin"
	case now-e.since < most:
		f.verdict, f.text = untold, "too little traffic to decide yet: "+f.reason()
	case e.stage != One && f.diff > f.margin:
		f.verdict, f.text = harms, "undecided in time, and worse by more than its margin: "+f.reason()
	default:
		f.verdict, f.text = passes, "undecided in time, and worse by less than its margin: "+f.reason()
	}
	return f
}
