package stage

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// minStageSlots is the number of slots needed before a stage is judged.
const minStageSlots = 4

// score is the result of one process in a measure over the stage.
type score struct {
	zone         string
	newer        bool
	excess       float64 // excess per unit of weight
	excessBefore float64 // the same before the change
	hasBefore    bool    // excessBefore is known
	weight       float64
}

// scores returns the scores of all processes that can be compared in a measure.
func (e *evidence) scores(measure int) []score {
	var list []score
	for _, n := range e.names {
		s := e.processes[n]
		if s.excluded || s.side == sideNone || 2*s.stageSlots < e.stageSlots || s.stageSlots == 0 {
			continue
		}
		item := score{zone: s.zone, newer: s.side == sideNew}
		if measure == measureGrowth {
			if s.memoryTrend.count < 3 {
				continue
			}
			item.excess, item.weight = s.memoryTrend.slope(), 1
		} else {
			if s.excessInStage[measure].den == 0 {
				continue
			}
			item.excess, item.weight = s.excessInStage[measure].share(), s.excessInStage[measure].den
			if item.hasBefore = s.excessBefore[measure].den > 0; item.hasBefore {
				item.excessBefore = s.excessBefore[measure].share()
			}
		}
		list = append(list, item)
	}
	// Drops processes with next to no calls: they show nothing, but would count as much as the others.
	weights := make([]float64, len(list))
	for i := range list {
		weights[i] = list[i].weight
	}
	slices.Sort(weights)
	if len(weights) > 0 {
		minWeight := weights[len(weights)/2] / 5
		list = slices.DeleteFunc(list, func(s score) bool { return s.weight < minWeight })
	}
	return list
}

// maxDeviations limits a score to so many standard deviations from the middle of its zone.
const maxDeviations = 6

func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(list))
	return s[len(s)/2]
}

// compare compares old and new in one measure. It returns false if there is nothing to compare, for example
// because no process reports the figure.
func (e *evidence) compare(measure int) (comparison, bool) {
	list := e.scores(measure)
	if e.stage == All {
		// The remaining processes change zone by zone. A zone with few old processes left cannot be compared, and
		// the old ones of another zone are no substitute.
		oldInZone := map[string]int{}
		for _, s := range list {
			if !s.newer {
				oldInZone[s.zone]++
			}
		}
		list = slices.DeleteFunc(list, func(s score) bool { return oldInZone[s.zone] < 4 })
	}
	// A part of the excess that a process had before the change persists; the old processes show how large that
	// part is (the regression slope).
	var before, during []float64
	for _, s := range list {
		if !s.newer && s.hasBefore {
			before, during = append(before, s.excessBefore), append(during, s.excess)
		}
	}
	persistence := 0.0
	if len(before) >= 8 {
		if v := stat.Variance(before, nil); v > 0 {
			persistence = min(1, max(0, stat.Covariance(before, during, nil)/v))
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
		if s.hasBefore {
			s.excess -= persistence * s.excessBefore
		}
		if s.newer {
			g.news = append(g.news, s.excess)
			nNew++
		} else {
			g.olds = append(g.olds, s.excess)
		}
	}
	// An outlier, old or new, such as the busiest process in a load jump, is limited to the deviation that the
	// spread of the others makes plausible.
	var deviations []float64
	medians := map[string]float64{}
	for _, z := range zones {
		if g := groups[z]; len(g.olds) > 0 {
			medians[z] = median(g.olds)
			for _, x := range g.olds {
				deviations = append(deviations, math.Abs(x-medians[z]))
			}
		}
	}
	if limit := maxDeviations * 1.4826 * median(deviations); len(deviations) >= 20 && limit > 0 {
		for _, z := range zones {
			g := groups[z]
			if len(g.olds) == 0 {
				continue
			}
			for _, l := range [][]float64{g.olds, g.news} {
				for i := range l {
					l[i] = min(max(l[i], medians[z]-limit), medians[z]+limit)
				}
			}
		}
	}
	c := comparison{nNew: nNew}
	sumOfSquares, degrees := 0.0, -1.0
	for _, z := range zones {
		g := groups[z]
		if len(g.olds) == 0 {
			continue
		}
		mean := stat.Mean(g.olds, nil)
		for _, x := range g.olds {
			sumOfSquares += (x - mean) * (x - mean)
			pooled = append(pooled, x)
		}
		degrees += float64(len(g.olds) - 1)
	}
	c.nOld = len(pooled)
	if nNew == 0 || c.nOld < 2 || degrees < 1 {
		return c, false
	}
	variance, center := sumOfSquares/degrees, stat.Mean(pooled, nil)
	var maxVariance float64
	for _, z := range zones {
		g := groups[z]
		if len(g.news) == 0 {
			continue
		}
		reference, v, n := center, variance, float64(c.nOld)
		if len(g.olds) >= 4 {
			reference, n = stat.Mean(g.olds, nil), float64(len(g.olds))
			if len(g.olds) >= 10 {
				v = stat.Variance(g.olds, nil)
			}
		}
		if e.failpoints.unpaired {
			reference = 0
		}
		w := float64(len(g.news)) / float64(nNew)
		for _, x := range g.olds {
			c.maxOld = max(c.maxOld, x-reference)
		}
		c.diff += w * (stat.Mean(g.news, nil) - reference)
		c.variance += w * w * v * (1/float64(len(g.news)) + 1/n)
		maxVariance = max(maxVariance, v)
	}
	c.degrees = degrees
	c.old, c.new, c.newCalls = e.oldSum[measure].share(), e.newSum[measure].share(), e.newSum[measureRefused].den
	e.setMargin(measure, &c)
	if c.margin <= 0 {
		return c, false
	}
	// Lower bound of the variance: calls are counted one by one.
	minVariance := c.margin * c.margin * 1e-4
	if measure <= measureSlow {
		a, b := e.oldSum[measure], e.newSum[measure]
		p := min(0.5, (a.num+b.num+1)/(a.den+b.den+2))
		binomial := p * (1 - p) * (1/max(a.den, 1) + 1/max(b.den, 1))
		minVariance = max(minVariance, binomial)
		if e.failpoints.assumeIndependent { // fault: treats calls as independent and processes as alike
			c.variance = binomial
		}
	}
	c.variance = max(c.variance, minVariance)
	return c, true
}

// setMargin sets the increase of a measure that must be detected, in the unit of the measure, and the increase
// that is tolerated.
func (e *evidence) setMargin(measure int, c *comparison) {
	margins, tolerated := &e.rules.Margins, 0.25
	switch measure {
	case measureWorth:
		c.margin = margins.Worth
	case measureRefused:
		c.margin = margins.Refused
	case measureFailed:
		c.margin = margins.Failed
	case measureLate:
		c.margin = margins.Late
	case measureSlow:
		c.margin = e.slowMarginSum.share()
	case measureCPU:
		c.margin, tolerated = margins.CPU*c.old, 0.5
	case measureMemory:
		c.margin, tolerated = margins.Memory*c.old, 0.5
	case measureGrowth:
		c.margin, tolerated = margins.Growth, 0.5
		c.old, c.new = 0, c.diff
	}
	c.tolerated = tolerated * c.margin
}

// finding is the result of an evaluation, with the figures that it is based on.
type finding struct {
	verdict verdict
	measure int
	comparison
	text string
}

func (f finding) describe() string {
	if f.measure < 0 {
		return f.text
	}
	unit := func(x float64) string {
		switch f.measure {
		case measureCPU:
			return fmt.Sprintf("%.0f us", x)
		case measureMemory, measureGrowth:
			return fmt.Sprintf("%.1f MB", x/1e6)
		}
		return fmt.Sprintf("%.2f%%", 100*x)
	}
	return fmt.Sprintf("%s old %s new %s, %+.1f se, %d:%d processes", measureNames[f.measure], unit(f.old), unit(f.new),
		f.diff/math.Sqrt(f.variance), f.nOld, f.nNew)
}

// evaluate judges the stage by the figures gathered so far.
func (e *evidence) evaluate(now int64) finding {
	if e.stage < 0 || e.stageSlots == 0 {
		return finding{measure: -1, text: "no figures yet"}
	}
	alpha := e.rules.Alpha * alphaShare[e.stage] / measureCount
	overall, worst := verdictHarmless, finding{measure: -1}
	compared := 0
	for m := range measureCount {
		c, ok := e.compare(m)
		if !ok {
			continue
		}
		compared++
		f := finding{verdict: c.judge(alpha, e.rules.Beta, e.failpoints), measure: m, comparison: c}
		// The spread of the old processes does not show how far out a single one can be, such as the one that a
		// load jump hits hardest. So a few new processes cause no halt if an old one is as bad. A single slot in
		// which a trouble begins is not enough evidence either: its spread is that of the moment only.
		if e.stageSlots < minStageSlots {
			f.verdict = verdictUndecided
		}
		if f.verdict == verdictHarmful && c.nNew < 5 && c.nOld >= 20 && c.diff <= c.maxOld {
			f.verdict = verdictUndecided
		}
		if f.verdict == verdictHarmful {
			f.text = f.describe()
			return f
		}
		if f.verdict == verdictUndecided {
			overall = verdictUndecided
		}
		if worst.measure < 0 || c.diff/c.margin > worst.diff/worst.margin {
			worst = f
		}
	}
	// Long windows take longer to give enough slots.
	minTime := (minStageSlots + 1) * e.requestedSlot()
	maxTime := max(e.rules.MaxEvaluation, minTime)
	timeLimit := maxTime
	if e.stage == One {
		// One process shows crashes and gross faults; the next stage shows the rest.
		timeLimit = min(timeLimit, max(2*e.rules.MinEvaluation, minTime))
	}
	f := worst
	switch {
	case compared == 0 || f.newCalls == 0:
		f.verdict, f.text = verdictUndecided, "too little traffic: no calls on the new side"
		if now-e.stageSince >= maxTime {
			f.verdict, f.measure, f.text = verdictHarmful, -1, "no calls on the new side in time to judge it"
		}
	case now-e.stageSince < e.rules.MinEvaluation:
		f.verdict, f.text = verdictUndecided, "not judged for long enough yet"
	case overall == verdictHarmless:
		f.verdict, f.text = verdictHarmless, "no measure is worse by its margin"
	case now-e.stageSince < timeLimit:
		f.verdict, f.text = verdictUndecided, "too little traffic to decide yet: "+f.describe()
	case e.stage != One && f.diff > f.margin:
		f.verdict, f.text = verdictHarmful, "undecided in time, and worse by more than its margin: "+f.describe()
	default:
		f.verdict, f.text = verdictHarmless, "undecided in time, and worse by less than its margin: "+f.describe()
	}
	return f
}
