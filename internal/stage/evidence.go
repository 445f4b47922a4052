package stage

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"

	"pewterwheel/internal/fleet"
)

// The measures in which old and new are compared. In each more is worse.
const (
	lost    = iota // worth not served, of the whole
	refused        // of those offered
	failed
	late
	slow   // of the answers, over the edge of the histogram next to the old 99th percentile
	cpu    // processor time a call
	memory // resident
	growth // of it, a minute
	measures
)

var measureNames = [measures]string{"worth lost", "refused", "failed", "late", "slow answers", "processor time a call", "memory",
	"growth of memory"}

// maxSlots bounds the slots whose spread is kept, to know what is usual.
const maxSlots = 1024

// leastSlots are gathered before a stage is judged at all.
const leastSlots = 4

// maxClasses bounds the classes told apart; further ones count as the last.
const maxClasses = 16

// pair is a sum over its base: how many were refused, of how many.
type pair struct{ num, den float64 }

func (p *pair) add(q pair) { p.num += q.num; p.den += q.den }

func (p pair) share() float64 {
	if p.den == 0 {
		return 0
	}
	return p.num / p.den
}

// cell is what one process showed in one class in one slot.
type cell struct {
	m     [growth]pair
	waits [32]float64
}

// side is which of the two a process's figures count for.
type side uint8

const (
	neither side = iota
	former
	newer
)

// line is a straight line through a process's memory over time, by least squares.
type line struct{ n, t, tt, m, tm float64 }

func (l *line) add(t, m float64) { l.n++; l.t += t; l.tt += t * t; l.m += m; l.tm += t * m }

func (l line) slope() float64 {
	d := l.n*l.tt - l.t*l.t
	if l.n < 3 || d <= 0 {
		return 0
	}
	return (l.n*l.tm - l.t*l.m) / d
}

// subject is one process in the evidence.
type subject struct {
	zone   string
	life   uint64
	last   uint64 // number of the last window taken
	seen   bool   // a window was taken in this life
	side   side
	warm   int64  // its figures as a new one count from then
	broken uint64 // what its counters that must stay 0 showed before it was new
	cells  []cell // of the slot, by class
	// Excess over what the old ones showed in the same slots, zones and classes, before the change and in the stage.
	excess        [growth]pair // of the slot
	before, after [growth]pair
	memory        line
	slots         int  // of the stage in which it showed anything
	out           bool // has changed sides in the stage: it is in no comparison
	// For the plan:
	length, offered, served, used float64
	rate, shown                   float64
	quiet                         int // slots in a row without a window
}

// evidence is what the figures of all processes say of old against new. The conductor keeps it, and those who would follow it.
type evidence struct {
	rules    Rules
	slot     int64 // how long a slot is now
	asked    bool  // the figures come by message, in windows that may be longer than Rules.Warm
	fresh    bool  // it has begun with this view
	change   uint64
	began    int64
	slotEnd  int64
	subjects map[string]*subject
	names    []string // sorted
	classes  []string
	edge     [maxClasses]int     // of the histogram, next to the old 99th percentile; 0: not known
	tail     [maxClasses]float64 // by how much the share over it grows, of itself, where that percentile is worse by its margin
	edges    bool
	waits    [maxClasses][32]float64 // of all, before the change
	told     bool                    // somebody has been told: what comes is no longer of before
	stage    int                     // that is judged; -1: none
	since    int64
	closed   int // slots, in all
	slots    int
	oldSum   [measures]pair
	newSum   [measures]pair
	tailSum  pair
	apart    [growth][]float64        // how far apart the old ones were, by slot, sorted
	steady   [maxClasses][growth]pair // for the doctor that does not pair: old figures before the change
	broke    string                   // the first new process whose counters show a broken rule
	doctor   doctor
}

func newEvidence(r Rules, change uint64, now int64, d doctor) *evidence {
	return &evidence{rules: r, slot: r.Slot, change: change, began: now, slotEnd: now + r.Slot, subjects: map[string]*subject{}, stage: -1, doctor: d}
}

// longSlot is the length of a slot where that hangs on how long windows are; else 0.
func (e *evidence) longSlot() int64 {
	if !e.asked {
		return 0
	}
	return e.slot
}

// begin starts a stage's evidence anew, or goes on with that of the stage before it.
func (e *evidence) begin(now int64, stage int) {
	if e.stage == stage {
		return
	}
	if stage == All && e.stage == Quarter {
		e.stage = All
		return
	}
	e.close(now)
	if !e.edges {
		e.setEdges() // this process conducts only now, and has not seen what was before
	}
	e.stage, e.since, e.slots = stage, now, 0
	e.oldSum, e.newSum, e.tailSum = [measures]pair{}, [measures]pair{}, pair{}
	for _, n := range e.names {
		s := e.subjects[n]
		s.after, s.memory, s.slots = [growth]pair{}, line{}, 0
		s.out = s.side == neither // one that this process has seen for less than it takes to be warm comes in later
	}
}

func (e *evidence) class(name string) int {
	if i := slices.Index(e.classes, name); i >= 0 {
		return i
	}
	if len(e.classes) < maxClasses {
		e.classes = append(e.classes, name)
	}
	return len(e.classes) - 1
}

// take reads the windows of a member that are not known yet. in is what the member does about the change.
func (e *evidence) take(now int64, m *fleet.Member, in told) {
	s := e.subjects[m.Name]
	if s == nil {
		s = &subject{}
		e.subjects[m.Name] = s
		i, _ := slices.BinarySearch(e.names, m.Name)
		e.names = slices.Insert(e.names, i, m.Name)
	}
	is := neither
	switch {
	case m.State != fleet.Serving:
	case in.Change == e.change && in.State == Changed:
		is = newer
	case in.Change != e.change:
		is = former
	}
	s.zone = m.Zone
	if s.life != m.Incarnation {
		s.life, s.last, s.seen, s.broken = m.Incarnation, 0, false, 0
		s.shown, s.rate = 0, 0
		s.cells, s.length, s.offered, s.served, s.used = nil, 0, 0, 0, 0
		s.out = true
	}
	if is != s.side {
		if is == newer {
			s.warm = now + e.rules.Warm
		}
		s.side, s.out, s.cells = is, true, nil
	}
	if n := len(m.Windows); e.fresh && e.asked && n > 0 {
		s.last, s.seen = m.Windows[n-1].Number, true // they may be left from an earlier change, however long ago
	}
	for i := range m.Windows {
		w := &m.Windows[i]
		if s.seen && w.Number <= s.last || w.Length <= 0 {
			continue
		}
		// What a process that is new only now did before is not told apart in its first window.
		first := !s.seen
		s.last, s.seen = w.Number, true
		if s.side == newer {
			if w.Broken > s.broken && e.broke == "" {
				e.broke = m.Name
			}
		} else {
			s.broken = max(s.broken, w.Broken)
		}
		if s.side == neither || first && i+1 < len(m.Windows) && s.side == newer {
			continue
		}
		if e.asked && s.side == newer && now-w.Length < s.warm {
			continue // it began before the process was warm, or had changed
		}
		e.window(now, s, w)
	}
}

func (e *evidence) window(now int64, s *subject, w *fleet.Window) {
	all := 0.0
	for _, c := range w.Class {
		i := e.class(c.Name)
		for len(s.cells) <= i {
			s.cells = append(s.cells, cell{})
		}
		k := &s.cells[i]
		n := float64(c.Offered)
		all += n
		if c.Whole > 0 {
			k.m[lost].add(pair{max(0, c.Whole-c.Worth), c.Whole})
		}
		k.m[refused].add(pair{float64(c.Refused), n})
		k.m[failed].add(pair{float64(c.Failed), n})
		k.m[late].add(pair{float64(c.Late), n})
		for b, x := range c.Waits {
			k.waits[min(b, len(k.waits)-1)] += float64(x)
		}
		s.offered += n
		s.served += float64(c.Served)
	}
	if len(s.cells) == 0 {
		s.cells = append(s.cells, cell{})
	}
	if w.CPU > 0 {
		s.cells[0].m[cpu].add(pair{float64(w.CPU), all})
	}
	if w.Memory > 0 {
		s.cells[0].m[memory].add(pair{float64(w.Memory), 1})
		if e.stage >= 0 && !s.out && now >= e.since && (s.side == former || now >= s.warm) {
			s.memory.add(float64(now-e.since)/60e6, float64(w.Memory))
		}
	}
	s.length += float64(w.Length) / 1e6
	s.used += float64(w.CPU) / 1e6
}

// tick closes a slot that is over.
func (e *evidence) tick(now int64) {
	if now >= e.slotEnd {
		e.close(now)
	}
}

// close compares what each process showed in the slot with what the old ones of its zone did, class by class, and keeps the
// excess. A trouble of the zone, or of all, is in both and falls out.
func (e *evidence) close(now int64) {
	e.slotEnd = now + e.slot
	if !e.edges {
		e.learnWaits()
	}
	zones := map[string]*[maxClasses][growth]pair{}
	var all [maxClasses][growth]pair
	for _, n := range e.names {
		s := e.subjects[n]
		e.slowOnes(s)
		if s.side != former {
			continue
		}
		z := zones[s.zone]
		if z == nil {
			z = &[maxClasses][growth]pair{}
			zones[s.zone] = z
		}
		for c := range s.cells {
			for m := range growth {
				z[c][m].add(s.cells[c].m[m])
				all[c][m].add(s.cells[c].m[m])
				if !e.told {
					e.steady[c][m].add(s.cells[c].m[m])
				}
			}
		}
	}
	judging := e.stage >= 0 && now > e.since
	if judging {
		e.slots++
	}
	for _, n := range e.names {
		s := e.subjects[n]
		showed := false
		s.excess = [growth]pair{}
		for c := range s.cells {
			for m := range growth {
				x := s.cells[c].m[m]
				if x.den == 0 {
					continue
				}
				mu := all[c][m]
				if z := zones[s.zone]; z != nil && z[c][m].den > 0 {
					mu = z[c][m]
				}
				if z := zones[s.zone]; e.stage == All && (z == nil || z[c][m].den == 0) {
					continue
				}
				if e.doctor.noPairs {
					mu = e.steady[c][m]
				}
				if mu.den == 0 {
					continue
				}
				showed = true
				s.excess[m].add(pair{x.num - x.den*mu.share(), x.den})
				if judging && !s.out {
					switch {
					case s.side == former:
						e.oldSum[m].add(x)
					case s.side == newer && now >= s.warm:
						e.newSum[m].add(x)
					}
					if m == slow {
						e.tailSum.add(pair{x.den * e.tail[c] * mu.share(), x.den})
					}
				}
			}
		}
		if showed && judging && !s.out {
			s.slots++
		}
		if s.length > 0 {
			s.rate = s.offered / s.length
			served := s.served / s.length
			// A process serves more than it just did if its thread had time left: up to six tenths of it, and four times as much.
			if u := s.used / s.length; u > 0 {
				served = max(served, min(4*served, served*0.6/u))
			}
			s.shown = max(s.shown*0.995, served)
			s.quiet = 0
		} else if s.quiet++; !e.asked || s.quiet > 1 { // a window may be lost on its way
			s.rate = 0
		}
		s.cells, s.length, s.offered, s.served, s.used = s.cells[:0], 0, 0, 0, 0
	}
	e.closed++
	e.keep(now, judging)
}

// keep adds the slot to what is known of each process. A slot in which the old ones were more apart than they mostly are, as in a
// jump that some of them cannot serve, weighs the less: else it alone would make the sum, for both sides. The weight hangs on
// the old ones alone, and is the same for all.
func (e *evidence) keep(now int64, judging bool) {
	var xs []float64
	for m := range growth {
		xs = xs[:0]
		for _, n := range e.names {
			if s := e.subjects[n]; s.side == former && s.excess[m].den > 0 {
				xs = append(xs, s.excess[m].share())
			}
		}
		if len(xs) == 0 {
			continue
		}
		weight := 1.0
		if v := stat.Variance(xs, nil); len(xs) > 2 && v > 0 {
			at, _ := slices.BinarySearch(e.apart[m], v)
			if len(e.apart[m]) < maxSlots {
				e.apart[m] = slices.Insert(e.apart[m], at, v)
			}
			weight = min(1, e.apart[m][len(e.apart[m])/2]/v)
		}
		for _, n := range e.names {
			s := e.subjects[n]
			x := pair{weight * s.excess[m].num, weight * s.excess[m].den}
			switch {
			case !e.told && s.side == former:
				s.before[m].add(x)
			case judging && !s.out && (s.side == former || s.side == newer && now >= s.warm):
				s.after[m].add(x)
			}
		}
	}
}

// learnWaits finds, class by class, the edge of the histogram over which there is nearest to one answer in a hundred, and how
// steeply the share falls there: waits longer by a part have a share over the edge higher by so much.
func (e *evidence) learnWaits() {
	for _, n := range e.names {
		if s := e.subjects[n]; s.side == former {
			for c := range s.cells {
				for b, x := range s.cells[c].waits {
					e.waits[c][b] += x
				}
			}
		}
	}
}

func (e *evidence) setEdges() {
	for c := range e.classes {
		var over [33]float64 // over[b]: share of the answers in bucket b and higher
		for b := 31; b >= 0; b-- {
			over[b] = over[b+1] + e.waits[c][b]
		}
		n := over[0]
		if n < 1000 {
			continue
		}
		e.edges = true
		best := math.Inf(1)
		for b := 1; b < 31; b++ {
			if d := math.Abs(math.Log(max(over[b], 1) / n / 0.01)); d < best && over[b] > 0 {
				best, e.edge[c] = d, b
			}
		}
		b := e.edge[c]
		steep := math.Log(max(over[b-1], 1)/max(over[b+1], 1)) / (2 * math.Ln2)
		e.tail[c] = math.Pow(1+e.rules.Margins.Wait, max(steep, 0.3)) - 1
	}
}

// slowOnes counts the answers over the edge.
func (e *evidence) slowOnes(s *subject) {
	if !e.edges {
		return
	}
	for c := range s.cells {
		if e.edge[c] == 0 {
			continue
		}
		for b, x := range s.cells[c].waits {
			p := pair{0, x}
			if b >= e.edge[c] {
				p.num = x
			}
			s.cells[c].m[slow].add(p)
		}
	}
}

// begun tells the evidence that the first process is told now.
func (e *evidence) begun(now int64) {
	if e.told {
		return
	}
	e.close(now)
	e.told = true
	e.setEdges()
}

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
		// The rest changes zone by zone: where no old ones are left there is nothing to compare with, and another zone's are no measure.
		olds := map[string]int{}
		for _, s := range list {
			if !s.newer {
				olds[s.zone]++
			}
		}
		list = slices.DeleteFunc(list, func(s score) bool { return olds[s.zone] < 4 })
	}
	// What a process showed beyond the others before the change it goes on to show in part: how large a part, the old ones tell.
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
	// One that is far out of all others, old or new, as the busiest in a jump, counts as far as the others' spread makes likely.
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
		if e.doctor.noPairs {
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
		if e.doctor.noCluster { // the fault: calls taken for independent, processes for alike
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
		f := finding{verdict: c.judge(alpha, e.rules.Beta, e.doctor), measure: m, comparison: c}
		// The spread of the old ones says little of how far out one of them can be, as the one on which a jump falls hardest:
		// a few new ones are not halted for what an old one shows as well.
		// One slot in which a trouble begins is no path: its spread is that of the moment alone.
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
