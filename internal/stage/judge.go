package stage

import (
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

// verdict is what a look at the evidence says.
type verdict uint8

const (
	untold verdict = iota // neither
	passes                // no measure is worse by its margin
	harms
)

// comparison is old against new in one measure: the mean over the new processes less that over the old, and how far it can be
// off by chance.
type comparison struct {
	diff     float64 // positive is worse
	variance float64 // of diff, the differences between processes included
	freedom  float64 // degrees of freedom of the variance
	margin   float64 // what must be seen
	spared   float64 // what is let pass
	old, new float64 // as the reason gives them
	most     float64 // of any old process, on the same scale
	nOld     int     // processes
	nNew     int
	calls    float64 // on the new side
}

// logOdds is the logarithm of the mixture likelihood ratio of "the mean is over 0, by some figure drawn from a half normal of
// scale tau" against "it is 0", where diff was seen with that variance. The variance is made of the noise, which falls with
// time, and of the differences between processes, which do not. diff is enough to know of the path that led to it, so that the
// ratio is a martingale while the mean is 0, looked at as often as one likes: it reaches 1/a in a of the cases at the most
// (Ville). Freedom turns the few processes that the variance was learned from into a wider one.
func logOdds(diff, variance, freedom, tau float64) float64 {
	z := diff / math.Sqrt(variance)
	if freedom < 200 {
		z = normalOf(z, freedom)
	}
	part := tau * tau / (variance + tau*tau)
	x := z * math.Sqrt(part)
	tail := -math.Log(-x * math.Sqrt(2*math.Pi)) // of x*x/2 + log(CDF(x)), where the CDF is too small for a float
	if x > -30 {
		tail = x*x/2 + math.Log(distuv.UnitNormal.CDF(x))
	}
	return math.Ln2 + 0.5*math.Log1p(-part) + tail
}

// normalOf is the normal deviate that is as rare as the given one of Student's t.
func normalOf(t, freedom float64) float64 {
	s := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: max(freedom, 1)}
	p := max(s.Survival(math.Abs(t)), 1e-290)
	return math.Copysign(-distuv.UnitNormal.Quantile(p), t)
}

// judge says whether a comparison shows harm, with a chance of at most alpha that there is none over what is spared, or no
// harm, with a chance of at most beta that it is as bad as the margin.
func (c comparison) judge(alpha, beta float64, d failpoints) verdict {
	if d.peeks { // the fault: a test for one look, taken at every look
		z := normalOf((c.diff-c.spared)/math.Sqrt(c.variance), c.freedom)
		if z > distuv.UnitNormal.Quantile(1-alpha) {
			return harms
		}
	} else if logOdds(c.diff-c.spared, c.variance, c.freedom, c.margin) >= -math.Log(alpha) {
		return harms
	}
	if logOdds(c.margin-c.diff, c.variance, c.freedom, c.margin) >= -math.Log(beta) {
		return passes
	}
	return untold
}

// alphaShare is the part of Rules.Alpha that each stage's comparisons may use. The last two go on with one evidence.
var alphaShare = [stages]float64{0.1, 0.5, 0.4, 0.4}
