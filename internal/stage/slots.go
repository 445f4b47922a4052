package stage

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// maxVariances is the maximum number of slots of which the variance among the old processes is kept. The median of
// the kept variances is the usual one (see addSlotToSums).
const maxVariances = 1024

// closeIfOver closes the current slot, an interval over which old and new processes are compared, if it has passed.
func (e *evidence) closeIfOver(now int64) {
	if now >= e.slotEnd {
		e.close(now)
	}
}

// close compares the figures of each process in the slot with those of the old processes of its zone, class by
// class, and keeps the excess. A problem that affects the whole zone, or all processes, is on both sides and
// cancels out. Then it starts the next slot.
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
		zoneSums := zones[s.zone]
		if zoneSums == nil {
			zoneSums = &[maxClasses][measureGrowth]ratio{}
			zones[s.zone] = zoneSums
		}
		for c := range s.classSlots {
			for m := range measureGrowth {
				zoneSums[c][m].add(s.classSlots[c].sums[m])
				allZones[c][m].add(s.classSlots[c].sums[m])
				if !e.changeStarted {
					e.unpairedSums[c][m].add(s.classSlots[c].sums[m])
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
		compared := false
		s.excess = [measureGrowth]ratio{}
		for c := range s.classSlots {
			for m := range measureGrowth {
				figures := s.classSlots[c].sums[m]
				if figures.den == 0 {
					continue
				}
				expected := allZones[c][m]
				if zoneSums := zones[s.zone]; zoneSums != nil && zoneSums[c][m].den > 0 {
					expected = zoneSums[c][m]
				}
				// In the stage All only old processes of the same zone are compared with; otherwise, those of
				// all zones are used if the zone has none.
				if zoneSums := zones[s.zone]; e.stage == All && (zoneSums == nil || zoneSums[c][m].den == 0) {
					continue
				}
				if e.failpoints.unpaired {
					expected = e.unpairedSums[c][m]
				}
				if expected.den == 0 {
					continue
				}
				compared = true
				s.excess[m].add(ratio{figures.num - figures.den*expected.share(), figures.den})
				if judging && !s.excluded {
					switch {
					case s.side == sideOld:
						e.oldSum[m].add(figures)
					case s.side == sideNew && now >= s.warmAt:
						e.newSum[m].add(figures)
					}
					if m == measureSlow { // its margin differs by class, so it is averaged over the answers
						e.slowMarginSum.add(ratio{figures.den * e.slowMargin[c] * expected.share(), figures.den})
					}
				}
			}
		}
		if compared && judging && !s.excluded {
			s.stageSlots++
		}
		if s.length > 0 {
			s.offeredRate = s.offered / s.length
			served := s.served / s.length
			// The capacity that a process has shown, in calls per second. A process can serve more than it just did
			// if its thread had time left: as much as would take 60% of the thread, but at most four times as much.
			// A higher rate shown earlier still counts, less 0.5% for each slot since.
			if utilization := s.cpuUsed / s.length; utilization > 0 {
				served = max(served, min(4*served, served*0.6/utilization))
			}
			s.shownRate = max(s.shownRate*0.995, served)
			s.emptySlots = 0
		} else if s.emptySlots++; !e.requested || s.emptySlots > 1 { // a single window that comes by message may be lost
			s.offeredRate = 0
		}
		s.classSlots, s.length, s.offered, s.served, s.cpuUsed = s.classSlots[:0], 0, 0, 0, 0
	}
	e.closedSlots++
	e.addSlotToSums(now, judging)
}

// addSlotToSums adds the excess of each process in the slot to its sums before the change or in the stage. A
// slot in which the old processes differed more than usual, as in a load jump that some of them cannot serve, gets a
// lower weight: otherwise it alone would dominate the sums of both sides. With figures of two old processes or fewer,
// a slot has the full weight. The weight depends on the old processes only and is the same for all.
func (e *evidence) addSlotToSums(now int64, judging bool) {
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
			if len(e.oldVariances[m]) < maxVariances {
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

// addWaitsBefore adds the waits of the old processes in the slot to the histograms of the classes. They are needed
// until the change starts, when setSlowBuckets derives the slow buckets from them.
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
// nearest to one in a hundred (the slow bucket), and how steeply the share falls there. From that steepness follows
// how much the share grows if waits become longer by the margin WaitP99. A class with too few answers to find the
// bucket has none.
func (e *evidence) setSlowBuckets() {
	for c := range e.classes {
		var countFrom [33]float64 // number of the answers in bucket b and higher
		for b := 31; b >= 0; b-- {
			countFrom[b] = countFrom[b+1] + e.waitsBefore[c][b]
		}
		total := countFrom[0]
		if total < 1000 {
			continue
		}
		e.slowBucketsSet = true
		nearest := math.Inf(1)
		for b := 1; b < 31; b++ {
			if distance := math.Abs(math.Log(max(countFrom[b], 1) / total / 0.01)); distance < nearest && countFrom[b] > 0 {
				nearest, e.slowBucket[c] = distance, b
			}
		}
		b := e.slowBucket[c]
		// Each bucket reaches to twice the wait of the one below. The share is taken to fall as a power of the wait;
		// steepness is the exponent.
		steepness := math.Log(max(countFrom[b-1], 1)/max(countFrom[b+1], 1)) / (2 * math.Ln2)
		e.slowMargin[c] = math.Pow(1+e.rules.Margins.WaitP99, max(steepness, 0.3)) - 1
	}
}

// countSlow counts the answers in the slow bucket and above, class by class, as a fraction of all.
func (e *evidence) countSlow(s *processEvidence) {
	if !e.slowBucketsSet {
		return
	}
	for c := range s.classSlots {
		if e.slowBucket[c] == 0 { // too few answers before the change
			continue
		}
		for b, x := range s.classSlots[c].waits {
			slowShare := ratio{0, x}
			if b >= e.slowBucket[c] {
				slowShare.num = x
			}
			s.classSlots[c].sums[measureSlow].add(slowShare)
		}
	}
}

// markStarted records that the first process is being ordered to change now. The figures so far, including those of
// the unfinished slot, are from before the change.
func (e *evidence) markStarted(now int64) {
	if e.changeStarted {
		return
	}
	e.close(now)
	e.changeStarted = true
	e.setSlowBuckets()
}
