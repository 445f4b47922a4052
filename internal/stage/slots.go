package stage

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// maxSlots is the maximum number of slots whose variance is kept to know the usual one.
const maxSlots = 1024

// tick closes the slot if it is over.
func (e *evidence) tick(now int64) {
	if now >= e.slotEnd {
		e.close(now)
	}
}

// closeSlot compares the figures of each process in the slot with those of the old processes of its zone, class by
// class, and keeps the excess. A trouble that affects the whole zone, or all processes, is on both sides and
// cancels out.
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
				if e.failpoints.noPairs {
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
			// A process can serve more than it just did if its thread had time left: as much as would take 60% of
			// the thread, but at most four times as much.
			if u := s.used / s.length; u > 0 {
				served = max(served, min(4*served, served*0.6/u))
			}
			s.shown = max(s.shown*0.995, served)
			s.quiet = 0
		} else if s.quiet++; !e.asked || s.quiet > 1 { // a single window may have been lost on the way
			s.rate = 0
		}
		s.cells, s.length, s.offered, s.served, s.used = s.cells[:0], 0, 0, 0, 0
	}
	e.closed++
	e.keep(now, judging)
}

// accumulate adds the slot to the sums of each process. A slot in which the old processes differed more than
// usual, as in a load jump that some of them cannot serve, gets a lower weight: otherwise it alone would dominate
// the sums of both sides. The weight depends on the old processes only and is the same for all.
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

// addWaitsBefore adds the waits of the old processes in the slot to the histograms of the classes.
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

// setSlowBuckets finds, for each class, the bucket of the histogram at which the share of answers in it and above is
// nearest to one in a hundred, and how steeply the share falls there. From that steepness follows how much the share
// grows if waits become longer by the margin.
func (e *evidence) setEdges() {
	for c := range e.classes {
		var over [33]float64 // share of the answers in bucket b and higher
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

// countSlow counts the answers in the slow buckets.
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

// markStarted records that the first process is being ordered now.
func (e *evidence) begun(now int64) {
	if e.told {
		return
	}
	e.close(now)
	e.told = true
	e.setEdges()
}
