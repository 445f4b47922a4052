package stage

import (
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

// verdict is the result of evaluating the evidence.
type verdict uint8

const (
	verdictUndecided verdict = iota // neither of the two is shown
	verdictHarmless                 // no measure is worse by its margin
	verdictHarmful
)

// comparison compares old and new in one measure: the difference of the means, and its uncertainty.
type comparison struct {
	diff      float64 // mean of the new processes less that of the old; positive is worse
	variance  float64 // variance of diff, including the differences between processes
	degrees   float64 // degrees of freedom of the variance
	margin    float64 // increase that must be detected
	tolerated float64 // increase that is tolerated
	old, new  float64 // values shown in the reason
	maxOld    float64 // highest value of an old process, on the scale of diff
	nOld      int     // processes
	nNew      int
	newCalls  float64 // on the new side
}

// logLikelihoodRatio returns the logarithm of the mixture likelihood ratio of "the mean is above 0, with a prior
// that is half normal with scale tau" against "the mean is 0", for an observed diff with the given variance. The
// variance consists of noise, which falls with time, and of differences between processes, which do not. The ratio
// depends on the path only through diff, so it is a martingale while the mean is 0: however often it is evaluated,
// it reaches 1/a with probability a at most (Ville). The degrees of freedom account for the few processes that the
// variance was estimated from.
func logLikelihoodRatio(diff, variance, degrees, tau float64) float64 {
	z := diff / math.Sqrt(variance)
	if degrees < 200 {
		z = normalQuantile(z, degrees)
	}
	share := tau * tau / (variance + tau*tau)
	x := z * math.Sqrt(share)
	tail := -math.Log(-x * math.Sqrt(2*math.Pi)) // of x*x/2 + log(CDF(x)), where the CDF is too small for a float
	if x > -30 {
		tail = x*x/2 + math.Log(distuv.UnitNormal.CDF(x))
	}
	return math.Ln2 + 0.5*math.Log1p(-share) + tail
}

// normalQuantile returns the normal deviate with the same tail probability as the given deviate of Student's t.
func normalQuantile(t, degrees float64) float64 {
	student := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: max(degrees, 1)}
	tail := max(student.Survival(math.Abs(t)), 1e-290)
	return math.Copysign(-distuv.UnitNormal.Quantile(tail), t)
}

// judge reports whether a comparison shows harm, with a probability of at most alpha that the increase is within
// the tolerance, or no harm, with a probability of at most beta that the increase reaches the margin.
func (c comparison) judge(alpha, beta float64, faults failpoints) verdict {
	if faults.fixedSampleTest { // fault: a test for a single evaluation, applied at each
		z := normalQuantile((c.diff-c.tolerated)/math.Sqrt(c.variance), c.degrees)
		if z > distuv.UnitNormal.Quantile(1-alpha) {
			return verdictHarmful
		}
	} else if logLikelihoodRatio(c.diff-c.tolerated, c.variance, c.degrees, c.margin) >= -math.Log(alpha) {
		return verdictHarmful
	}
	if logLikelihoodRatio(c.margin-c.diff, c.variance, c.degrees, c.margin) >= -math.Log(beta) {
		return verdictHarmless
	}
	return verdictUndecided
}

// alphaShare is the part of Rules.Alpha that the comparisons of each stage may use. The last two stages share one
// body of evidence.
var alphaShare = [stages]float64{0.1, 0.5, 0.4, 0.4}
