package admit

import "slices"

const (
	// maxRoundTime is the target for the longest round of the loop, in microseconds: four ticks of its timers, which
	// wait for the round, as do answers and caller timeouts. Measured with 10 ms: where another process used the core
	// for some ms, one call in a hundred was refused at a third of the rate that the loop can take.
	maxRoundTime = 20_000
	// minRoundSetUps are accepted in every round whatever their estimated cost, because few set-ups are a poor measure
	// of the cost of one.
	minRoundSetUps = 128
	// minMeasuredSetUps is the least number of set-ups in a round from which their cost is measured; below it, other
	// work of the round outweighs them.
	minMeasuredSetUps = 16
	// initialCost is the assumed cost of a set-up until rounds have been measured, in microseconds.
	initialCost = 20.0
	// refusalCostFraction of the cost of a set-up is the cost of one that RoundLimiter refuses.
	refusalCostFraction = 0.25
	// costRiseGain and costFallGain are the weights of a round whose cost is above or below the average. maxCostRatio
	// bounds a measured cost relative to the average, against a round in which the process was stalled.
	costRiseGain, costFallGain, maxCostRatio = 0.2, 0.05, 3.0
)

// Candidate is a set-up that arrived in a round. Times are microseconds.
type Candidate struct {
	ReadAt           int64 // when it was read
	Deadline         int64 // its answer must be written by then
	Aim              int64 // it has its full worth for this long from ReadAt
	Worth, LateWorth float64
}

// RoundLimiter decides which set-ups of a round are passed to the decision module, so that a round stays short
// however many arrive. It is not safe for concurrent use.
type RoundLimiter struct {
	cost   float64 // of a set-up, in microseconds; 0: not known yet
	ranked []int
}

// Cost is the estimated cost of a set-up to the loop, including all work that follows from it, in microseconds.
func (d *RoundLimiter) Cost() float64 {
	if d.cost == 0 {
		return initialCost
	}
	return d.cost
}

// RecordRound records the length of a round in which the given numbers of set-ups were accepted and refused, including
// the answers and releases of other calls.
func (d *RoundLimiter) RecordRound(accepted, refused int, took int64) {
	if accepted < minMeasuredSetUps || took <= 0 {
		return
	}
	cost := d.Cost()
	measured := min(float64(took)/(float64(accepted)+refusalCostFraction*float64(refused)), maxCostRatio*cost)
	gain := costFallGain
	if measured > cost {
		gain = costRiseGain
	}
	d.cost = cost + gain*(measured-cost)
}

// MaxSetUps is the maximum of set-ups accepted in a round of the given number: what the time allows after the others
// are refused.
func (d *RoundLimiter) MaxSetUps(offered int) int {
	return max(minRoundSetUps, int((maxRoundTime/d.Cost()-refusalCostFraction*float64(offered))/(1-refusalCostFraction)))
}

// Select returns the indexes of the offers that are accepted, in the order in which they go to the module; the others
// are to be refused at once. The result is valid until the next call. It is called only if there are more offers than
// MaxSetUps; otherwise all are accepted in the order of arrival.
func (d *RoundLimiter) Select(now int64, offers []Candidate) []int {
	d.ranked = d.ranked[:0]
	for i, o := range offers {
		if now < o.Deadline {
			d.ranked = append(d.ranked, i)
		}
	}
	limit := d.MaxSetUps(len(offers))
	if len(d.ranked) <= limit {
		return d.ranked
	}
	worth := func(o Candidate) float64 {
		if now-o.ReadAt > o.Aim {
			return o.Worth * o.LateWorth
		}
		return o.Worth
	}
	slices.SortFunc(d.ranked, func(a, b int) int {
		switch worthA, worthB := worth(offers[a]), worth(offers[b]); {
		case worthA != worthB && worthA > worthB:
			return -1
		case worthA != worthB:
			return 1
		}
		if d := offers[b].ReadAt - offers[a].ReadAt; d != 0 {
			return int(min(1, max(-1, d)))
		}
		return b - a
	})
	return d.ranked[:limit]
}
