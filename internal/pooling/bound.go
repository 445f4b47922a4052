package pooling

import (
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

// The confidence that a verdict needs. All of it is about one client, and errors are the whole fleet's, for evidence is joined.
const (
	// defaultUnsafe is alpha, unless the configuration says otherwise. Alpha bounds the probability that a client is ever raised to a mode in which a set-up is refused more often than on its
	// own connections by at least the least harm below. Epoch n spends alpha/2^n of it, so that tests begun anew never
	// add up to more.
	defaultUnsafe = 1e-4
	// falseDenialRate bounds the probability that a test denies, for an epoch, a client whose set-ups are never refused more often.
	falseDenialRate = 1e-3
	// minHarm is the least harm that a test must find, as a part of all the client's calls that go wrong on shared connections
	// and not on own ones. A habit that shows more seldom may be raised; it falls by the first witness then. Calls that repeat
	// a token, and ends, have tests of their own, in which the same harm is a larger part of fewer; maxMarkedHarm and maxEndHarm
	// bound what such a test may pass over.
	minHarm, maxMarkedHarm, maxEndHarm = 1. / 400, 1. / 10, 1. / 50
	// minBaseRate is the least that is taken for the part refused on own connections; what is gone by is its lower end (baseRateQuantile) for
	// raising, and its upper one for denying. A part taken too low makes raising slower and never easier.
	minBaseRate, baseRateQuantile = 1e-4, 0.05
	// extraDemand is by how much more the likelihood must tell, for each sign that leaves a doubt.
	extraDemand = 2.302585092994046 // ln 10
	// headroom is how far above the bound the test is let go: a fall must not wait for all the good of a month to be outweighed.
	headroom = 2.0
	// keepFraction is the part of the bound under which a raised client falls.
	keepFraction = 0.6
)

// requiredLogRatio is what the test's log likelihood ratio must reach in an epoch. By Wald's inequality a client in which the harm is the
// least one or more ever gets there with a probability of at most alpha/2^epoch.
func requiredLogRatio(alpha float64, epoch uint32) float64 {
	return math.Log(1/alpha) + float64(max(epoch, 1))*math.Ln2
}

// refutedLogRatio is at or below what the test denies.
var refutedLogRatio = math.Log(falseDenialRate)

// Tally are the outcomes that a test goes by, decayed.
type Tally struct{ Clean, Fault float64 }

// baseRates are the lower and the upper end of the part of set-ups that is refused on own connections, and what they were made
// from: they are made anew once that has changed by a fiftieth.
type baseRates struct {
	computedFrom Tally
	low, high    float64
}

func (b *baseRates) update(own Tally) {
	near := func(a, b float64) bool { return math.Abs(a-b) <= b/50 }
	if b.high > 0 && near(own.Clean, b.computedFrom.Clean) && near(own.Fault, b.computedFrom.Fault) {
		return
	}
	b.computedFrom, b.low, b.high = own, minBaseRate, minBaseRate
	switch {
	case own.Clean+own.Fault < 1:
		return
	case own.Fault < 1: // as the quantile below would have it, at once
		b.high = 1 - math.Pow(baseRateQuantile, 1/(own.Clean+own.Fault))
	default:
		b.low = distuv.Beta{Alpha: own.Fault, Beta: own.Clean + 1}.Quantile(baseRateQuantile)
		b.high = distuv.Beta{Alpha: own.Fault + 1, Beta: own.Clean + 1e-9}.Quantile(1 - baseRateQuantile)
	}
	b.low, b.high = max(minBaseRate, b.low), max(minBaseRate, b.high)
}

// logLikelihoodRatio is the logarithm of how much better no harm at all explains the outcomes than the least harm does. Greater harm
// explains clean outcomes worse still, so the bound holds for it too.
func logLikelihoodRatio(t Tally, base, least float64) float64 {
	harmed := min(base+least, 0.999)
	return t.Clean*math.Log((1-base)/(1-harmed)) - t.Fault*math.Log(harmed/base)
}

// minTestHarm is the minTestHarm harm of a test that sees this part of the client's calls.
func minTestHarm(seen, most float64) float64 { return min(max(minHarm/max(seen, 1e-9), minHarm), most) }

// Trials. Until a verdict allows a mode, a share of the set-ups of classes that may be repeated freely is tried in it.
const (
	// maxDisturbed bounds the part of a client's calls that trials may disturb: the share is such that share times the upper bound of
	// faults (95%) is no more, within least and most share.
	maxDisturbed                                      = 1. / 500
	minTrialShare, maxTrialShare, maxMarkedTrialShare = 1. / 64, 1. / 4, 1. / 2
	// minOwnAnswers is how many calls of a session must have been answered on its own connections before one is tried.
	minOwnAnswers = 2
)

// trialShare is the part of set-ups that may be tried after these outcomes, of a sort that is this part of all.
func trialShare(t Tally, seen, most float64) float64 {
	n := t.Clean + t.Fault
	return min(most, max(minTrialShare, maxDisturbed/max(seen, 1e-9)*n/(t.Fault+3)))
}
