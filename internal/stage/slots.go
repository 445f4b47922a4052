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

// close compares the figures of each process in the slot with those of the old processes of its zone, class by
// class, and keeps the excess. A problem that affects the whole zone, or all processes, is on both sides and
// cancels out.
func (e *evidence) close(now int64) {
	e.slotEnd = now + e.slotLength
	if !e.slowBucketsSet {
		e.addWaitsBefore()
	}
	zones := map[string]*[maxClasses][measureGrowth]ratio{}
	var allZones [maxClasses][measureGrowth]ratio
	for _, n := range e.names {
		s := e.processes[n]
		e.countSlow(s)
		if s.side != sideOld {
			continue
		}
		z := zones[s.zone]
		if z == nil {
			z = &[maxClasses][measureGrowth]ratio{}
			zones[s.zone] = z
		}
		for c := range s.classSlots {
			for m := range measureGrowth {
				z[c][m].add(s.classSlots[c].sums[m])
				allZones[c][m].add(s.classSlots[c].sums[m])
				if !e.changeStarted {
					e.oldBefore[c][m].add(s.classSlots[c].sums[m])
				}
			}
		}
	}
	judging := e.stage >= 0 && now > e.stageSince
	if judging {
		e.stageSlots++
	}
	for _, n := range e.names {
		s := e.processes[n]
		hasFigures := false
		s.excess = [measureGrowth]ratio{}
		for c := range s.classSlots {
			for m := range measureGrowth {
				x := s.classSlots[c].sums[m]
				if x.den == 0 {
					continue
				}
				expected := allZones[c][m]
				if z := zones[s.zone]; z != nil && z[c][m].den > 0 {
					expected = z[c][m]
				}
				if z := zones[s.zone]; e.stage == All && (z == nil || z[c][m].den == 0) {
					continue
				}
				if e.failpoints.unpaired {
					expected = e.oldBefore[c][m]
				}
				if expected.den == 0 {
					continue
				}
				hasFigures = true
				s.excess[m].add(ratio{x.num - x.den*expected.share(), x.den})
				if judging && !s.excluded {
					switch {
					case s.side == sideOld:
						e.oldSum[m].add(x)
					case s.side == sideNew && now >= s.warmAt:
						e.newSum[m].add(x)
					}
					if m == measureSlow {
						e.slowMarginSum.add(ratio{x.den * e.slowMargin[c] * expected.share(), x.den})
					}
				}
			}
		}
		if hasFigures && judging && !s.excluded {
			s.stageSlots++
		}
		if s.length > 0 {
			s.offeredRate = s.offered / s.length
			served := s.served / s.length
			// A process can serve more than it just did if its thread had time left: as much as would take 60% of
			// the thread, but at most four times as much.
			if utilization := s.cpuUsed / s.length; utilization > 0 {
				served = max(served, min(4*served, served*0.6/utilization))
			}
			s.shownRate = max(s.shownRate*0.995, served)
			s.emptySlots = 0
		} else if s.emptySlots++; !e.requested || s.emptySlots > 1 { // a single window may have been lost on the way
			s.offeredRate = 0
		}
		s.classSlots, s.length, s.offered, s.served, s.cpuUsed = s.classSlots[:0], 0, 0, 0, 0
	}
	e.closedSlots++
	e.accumulate(now, judging)
}

// accumulate adds the slot to the sums of each process. A slot in which the old processes differed more than
// usual, as in a load jump that some of them cannot serve, gets a lower weight: otherwise it alone would dominate
// the sums of both sides. The weight depends on the old processes only and is the same for all.
func (e *evidence) accumulate(now int64, judging bool) {
	var excesses []float64
	for m := range measureGrowth {
		excesses = excesses[:0]
		for _, n := range e.names {
			if s := e.processes[n]; s.side == sideOld && s.excess[m].den > 0 {
				excesses = append(excesses, s.excess[m].share())
			}
		}
		if len(excesses) == 0 {
			continue
		}
		weight := 1.0
		if v := stat.Variance(excesses, nil); len(excesses) > 2 && v > 0 {
			at, _ := slices.BinarySearch(e.oldVariances[m], v)
			if len(e.oldVariances[m]) < maxSlots {
				e.oldVariances[m] = slices.Insert(e.oldVariances[m], at, v)
			}
			weight = min(1, e.oldVariances[m][len(e.oldVariances[m])/2]/v)
		}
		for _, n := range e.names {
			s := e.processes[n]
			x := ratio{weight * s.excess[m].num, weight * s.excess[m].den}
			switch {
			case !e.changeStarted && s.side == sideOld:
				s.excessBefore[m].add(x)
			case judging && !s.excluded && (s.side == sideOld || s.side == sideNew && now >= s.warmAt):
				s.excessInStage[m].add(x)
			}
		}
	}
}

// addWaitsBefore adds the waits of the old processes in the slot to the histograms of the classes.
func (e *evidence) addWaitsBefore() {
	for _, n := range e.names {
		if s := e.processes[n]; s.side == sideOld {
			for c := range s.classSlots {
				for b, x := range s.classSlots[c].waits {
					e.waitsBefore[c][b] += x
				}
			}
		}
	}
}

// setSlowBuckets finds, for each class, the bucket of the histogram at which the share of answers in it and above is
// nearest to one in a hundred, and how steeply the share falls there. From that steepness follows how much the share
// grows if waits become longer by the margin.
func (e *evidence) setSlowBuckets() {
	for c := range e.classes {
		var over [33]float64 // share of the answers in bucket b and higher
		for b := 31; b >= 0; b-- {
			over[b] = over[b+1] + e.waitsBefore[c][b]
		}
		total := over[0]
		if total < 1000 {
			continue
		}
		e.slowBucketsSet = true
		nearest := math.Inf(1)
		for b := 1; b < 31; b++ {
			if d := math.Abs(math.Log(max(over[b], 1) / total / 0.01)); d < nearest && over[b] > 0 {
				nearest, e.slowBucket[c] = d, b
			}
		}
		b := e.slowBucket[c]
		steepness := math.Log(max(over[b-1], 1)/max(over[b+1], 1)) / (2 * math.Ln2)
		e.slowMargin[c] = math.Pow(1+e.rules.Margins.WaitP99, max(steepness, 0.3)) - 1
	}
}

// countSlow counts the answers in the slow buckets.
func (e *evidence) countSlow(s *processEvidence) {
	if !e.slowBucketsSet {
		return
	}
	for c := range s.classSlots {
		if e.slowBucket[c] == 0 {
			continue
		}
		for b, x := range s.classSlots[c].waits {
			p := ratio{0, x}
			if b >= e.slowBucket[c] {
				p.num = x
			}
			s.classSlots[c].sums[measureSlow].add(p)
		}
	}
}

// markStarted records that the first process is being ordered now.
func (e *evidence) markStarted(now int64) {
	if e.changeStarted {
		return
	}
	e.close(now)
	e.changeStarted = true
	e.setSlowBuckets()
}
