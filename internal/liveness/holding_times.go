package liveness

import (
	"iter"
	"math"
)

// Call ages are grouped into steps; each step is a quarter of an octave longer than the one before.
const (
	ageSteps  = 50
	firstStep = 100_000 // microseconds
	// keptEnds is the number of ends per class from which rates are learned; when it is reached, earlier ends are
	// weighted by one half.
	keptEnds = 2048
)

// ageStart is the age at which each step begins, in microseconds; the last step is unbounded.
var ageStart = func() (starts [ageSteps + 1]float64) {
	for i := 1; i < ageSteps; i++ {
		starts[i] = firstStep * math.Exp2(float64(i-1)/4)
	}
	starts[ageSteps] = math.Inf(1)
	return starts
}()

// addTimeAtAges adds the time that a call spends in each age step, up to the given age, to a table.
func addTimeAtAges(table *[ageSteps]float64, age int64) {
	for i := 0; i < ageSteps && float64(age) > ageStart[i]; i++ {
		table[i] += min(float64(age), ageStart[i+1]) - ageStart[i]
	}
}

// ageStep returns the step that an age falls into.
func ageStep(age int64) int {
	i := 0
	for i+1 < ageSteps && float64(age) >= ageStart[i+1] {
		i++
	}
	return i
}

// classStats holds the statistics of finished calls of one class.
type classStats struct {
	ended     [ageSteps]float64 // number of ends, by age step
	timeAtAge [ageSteps]float64 // microseconds that calls spent in each age step
	total     float64
}

// HoldingTimes estimates the holding times of calls: the rate at which calls end (the hazard rate), by class and age.
// It is learned over all offices, from calls that offices ended and from calls that still exist.
type HoldingTimes struct{ classes []classStats }

// NewHoldingTimes returns an estimator for the given number of call classes.
func NewHoldingTimes(classes int) *HoldingTimes {
	return &HoldingTimes{classes: make([]classStats, classes)}
}

// EndedByOffice records that the office ended a call of a class at an age.
func (h *HoldingTimes) EndedByOffice(class int, age int64) {
	c := &h.classes[class]
	if c.total >= keptEnds {
		c.halve()
	}
	c.total++
	c.ended[ageStep(age)]++
	addTimeAtAges(&c.timeAtAge, age)
}

// EndedByCaller records that the caller ended a call at an age: until then its office had not ended it.
func (h *HoldingTimes) EndedByCaller(class int, age int64) {
	addTimeAtAges(&h.classes[class].timeAtAge, age)
}

func (c *classStats) halve() {
	for i := range c.ended {
		c.ended[i] /= 2
		c.timeAtAge[i] /= 2
	}
	c.total /= 2
}

// Call is an established call at an office.
type Call struct {
	Since int64
	Class int
}

// OfficeCalls is the established calls of an office and the time up to which they are known not to have ended.
type OfficeCalls struct {
	Until int64
	Calls iter.Seq[Call]
}

// Rates is the rate of ends per microsecond and established call, by class and age step.
type Rates [][ageSteps]float64

// Rates returns the learned rates, including the time spent by the calls that are established now. A step that few
// calls have reached gets a low rate.
func (h *HoldingTimes) Rates(offices iter.Seq[OfficeCalls]) Rates {
	timeAtAge := make([][ageSteps]float64, len(h.classes))
	for office := range offices {
		for call := range office.Calls {
			addTimeAtAges(&timeAtAge[call.Class], office.Until-call.Since)
		}
	}
	rates := make(Rates, len(h.classes))
	for c := range rates {
		for i := range rates[c] {
			minTime := max(ageStart[i], firstStep) // the time of one call in the step, as a minimum of evidence
			rates[c][i] = h.classes[c].ended[i] / (h.classes[c].timeAtAge[i] + timeAtAge[c][i] + minTime)
		}
	}
	return rates
}

// expected returns the expected number of ends of a call of a class between two ages.
func (r Rates) expected(class int, from, to int64) float64 {
	sum := 0.0
	low := max(float64(from), 0)
	for i := ageStep(max(from, 0)); i < ageSteps && low < float64(to); i++ {
		high := min(float64(to), ageStart[i+1])
		sum += (high - low) * r[class][i]
		low = high
	}
	return sum
}
