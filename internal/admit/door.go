package admit

import "slices"

const (
	// roundTime is how long a round of the loop should take at the most, in microseconds: four ticks of its timers, which
	// wait behind it, as do answers and give-ups. Measured with 10 ms: where another process had the core for some ms, one of a
	// hundred calls was refused at a third of the rate that the loop can take.
	roundTime = 20_000
	// leastRound set-ups are taken in a round whatever they seem to cost: a few tell little of the cost of one.
	leastRound = 128
	// countsFrom set-ups in a round its length tells what one costs; below, what else the round did weighs more.
	countsFrom = 16
	// firstCost is taken for the cost of a set-up until rounds have told it, in microseconds.
	firstCost = 20.0
	// refusedPart of what a set-up costs is the cost of one that is refused at the door.
	refusedPart = 0.25
	// dearer and cheaper are the weights of a round that cost more, or less, than the average, and jump the most by which one is
	// believed to have cost more. Guards against one round in which the process stood still.
	dearer, cheaper, jump = 0.2, 0.05, 3.0
)

// Offer is a set-up that has come in a round, as the door sees it. Times are microseconds.
type Offer struct {
	At               int64 // when it was read
	Deadline         int64 // its answer must be written by then
	Aim              int64 // it has its full worth for so long from At
	Worth, LateWorth float64
}

// Door decides which set-ups of a round the decision module gets to see, so that a round stays short however many come.
// It is not safe for concurrent use.
type Door struct {
	cost   float64 // of a set-up, in microseconds; 0: not known yet
	ranked []int
}

// Cost is what a set-up costs the loop, all that follows from it included, in microseconds.
func (d *Door) Cost() float64 {
	if d.cost == 0 {
		return firstCost
	}
	return d.cost
}

// Took tells how long a round took in which so many set-ups were taken and refused, with the answers and releases of others.
func (d *Door) Took(taken, refused int, took int64) {
	if taken < countsFrom || took <= 0 {
		return
	}
	cost := d.Cost()
	is := min(float64(took)/(float64(taken)+refusedPart*float64(refused)), jump*cost)
	gain := cheaper
	if is > cost {
		gain = dearer
	}
	d.cost = cost + gain*(is-cost)
}

// Most is how many of so many set-ups a round may hold: the time that is left once the others are refused.
func (d *Door) Most(come int) int {
	return max(leastRound, int((roundTime/d.Cost()-refusedPart*float64(come))/(1-refusedPart)))
}

// Judge gives the indexes of those offers that are taken, in the order in which they go to the module; the others are to be
// refused at once. What it returns is good until the next call. It is asked only where there are more than Most: fewer are
// all taken as they came.
func (d *Door) Judge(now int64, offers []Offer) []int {
	d.ranked = d.ranked[:0]
	for i, o := range offers {
		if now < o.Deadline {
			d.ranked = append(d.ranked, i)
		}
	}
	most := d.Most(len(offers))
	if len(d.ranked) <= most {
		return d.ranked
	}
	worth := func(o Offer) float64 {
		if now-o.At > o.Aim {
			return o.Worth * o.LateWorth
		}
		return o.Worth
	}
	slices.SortFunc(d.ranked, func(a, b int) int {
		switch x, y := worth(offers[a]), worth(offers[b]); {
		case x != y && x > y:
			return -1
		case x != y:
			return 1
		}
		if d := offers[b].At - offers[a].At; d != 0 {
			return int(min(1, max(-1, d)))
		}
		return b - a
	})
	return d.ranked[:most]
}
