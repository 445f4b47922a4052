package pooling

import (
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

// The confidence required for a verdict. The probabilities are per client and for the whole fleet, because the
// processes join their evidence.
const (
	// defaultUnsafe is the default of alpha. Alpha bounds the probability that a client is ever raised to a mode in
	// which its set-ups are refused more often than on its own connections by at least minHarm. Epoch n may use
	// alpha/2^n of it, so the sum over repeated tests never exceeds alpha.
	defaultUnsafe = 1e-4
	// falseDenialRate (beta) bounds the probability that a test denies a client for an epoch although its set-ups are
	// never refused more often on shared connections.
	falseDenialRate = 1e-3
	// minHarm is the least harm that a test must detect, as a fraction of all the client's calls that fail on shared
	// connections and not on own ones. A client whose failures are rarer may be raised; the first witness then lowers
	// it. Calls that repeat a token, and ends, have tests of their own, in which the same harm is a larger fraction
	// of fewer calls; maxMarkedHarm and maxEndHarm bound the harm that such a test may miss.
	minHarm, maxMarkedHarm, maxEndHarm = 1. / 400, 1. / 10, 1. / 50
	// minBaseRate is the least assumed refusal rate on own connections. Raising uses the lower end of the rate's
	// confidence interval (quantile baseRateQuantile), denying its upper end. A rate that is assumed too low makes
	// raising slower and never easier.
	minBaseRate, baseRateQuantile = 1e-4, 0.05
	// extraDemand is added to the required log likelihood ratio for each sign that leaves a doubt.
	extraDemand = 2.302585092994046 // ln 10
	// headroom is how far the ratio may exceed the required one. It is capped so that a client can be lowered without
	// first outweighing a month of clean outcomes.
	headroom = 2.0
	// keepFraction is the fraction of the required ratio below which a raised client is lowered.
	keepFraction = 0.6
)

// requiredLogRatio is the log likelihood ratio that a test must reach in an epoch. By Wald's inequality a client
// whose harm is minHarm or more ever reaches it with a probability of at most alpha/2^epoch.
func requiredLogRatio(alpha float64, epoch uint32) float64 {
	return math.Log(1/alpha) + float64(max(epoch, 1))*math.Ln2
}

// refutedLogRatio is the log likelihood ratio at or below which a test denies the mode.
var refutedLogRatio = math.Log(falseDenialRate)

// Tally holds the decayed outcomes that a test is computed from.
type Tally struct{ Clean, Fault float64 }

// baseRates holds the lower and upper ends of the confidence interval of the refusal rate on own connections, and the
// tally that they were computed from. They are computed again once that tally has changed by more than 1/50.
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
	case own.Fault < 1: // closed form of the quantile below
		b.high = 1 - math.Pow(baseRateQuantile, 1/(own.Clean+own.Fault))
	default:
		b.low = distuv.Beta{Alpha: own.Fault, Beta: own.Clean + 1}.Quantile(baseRateQuantile)
		b.high = distuv.Beta{Alpha: own.Fault + 1, Beta: own.Clean + 1e-9}.Quantile(1 - baseRateQuantile)
	}
	b.low, b.high = max(minBaseRate, b.low), max(minBaseRate, b.high)
}

// logLikelihoodRatio compares how well no harm and the least harm explain the outcomes. Greater harm explains clean
// outcomes even worse, so the bound holds for it too.
func logLikelihoodRatio(tally Tally, base, least float64) float64 {
	harmed := min(base+least, 0.999)
	return tally.Clean*math.Log((1-base)/(1-harmed)) - tally.Fault*math.Log(harmed/base)
}

// minTestHarm is the least harm that a test must detect if it covers the given fraction of the client's calls.
func minTestHarm(fraction, limit float64) float64 {
	return min(max(minHarm/max(fraction, 1e-9), minHarm), limit)
}

// Trials. Until a verdict allows a mode, a share of the set-ups of repeatable classes is sent in that mode.
const (
	// maxDisturbed bounds the fraction of a client's calls that trials may disturb: the share is chosen so that it
	// times the upper bound of the fault rate (95%) is no more, but stays between minTrialShare and the maximum.
	maxDisturbed                                      = 1. / 500
	minTrialShare, maxTrialShare, maxMarkedTrialShare = 1. / 64, 1. / 4, 1. / 2
	// minOwnAnswers is how many calls of a session must have been answered on its own connections before one is tried
	// on a shared one.
	minOwnAnswers = 2
)

// trialShare is the share of set-ups that may be tried after these outcomes, for a kind of set-up that makes up the
// given fraction of all.
func trialShare(tally Tally, fraction, limit float64) float64 {
	n := tally.Clean + tally.Fault
	return min(limit, max(minTrialShare, maxDisturbed/max(fraction, 1e-9)*n/(tally.Fault+3)))
}
