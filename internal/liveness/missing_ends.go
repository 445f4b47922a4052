package liveness

import "iter"

// Bounds on the evidence from missing ends of calls.
const (
	// overdueEnds is the number of ends that must have been expected since the last one before their absence shows that
	// the office no longer ends calls. The probability that none of that many comes by chance is exp(-16), about one in
	// ten million. minCalls is the least number of calls from before the last end that must be involved.
	overdueEnds = 16
	minCalls    = 4
	// youngWithin is how long after the last end, in microseconds, a call may have been established and still be
	// included in the expected ends.
	youngWithin = 1_000_000
	// overdueUnanswered replaces overdueEnds where no set-up was answered in the meantime either.
	overdueUnanswered = 8
	// The learned rates are applied only if they predict the ends of the calls established shortly before the last end:
	// at least minConfirmingEnds ends must have been expected of these, confirmingEnds if there are so many, and at
	// least 1/confirmingPart of the expected ends must have come.
	confirmingEnds    = 16
	minConfirmingEnds = 8
	confirmingPart    = 3
	// The ages of calls, at the last end and now, are taken to be less by 1/ageMargin, because the learned rates are
	// only as precise as their steps of ages.
	ageMargin = 5
	// recentEnds bounds the number of ends kept for one office.
	recentEnds = 64
	// noEndsCheckInterval is the time, in microseconds, between two checks of calls of which none ends.
	noEndsCheckInterval = 250_000
)

// confirmingPeriods are periods before the last end, in microseconds. The learned rates are checked on the calls
// established within the shortest of them that gives confirmingEnds expected ends, else within the longest.
var confirmingPeriods = [...]int64{500_000, 1_000_000, 2_000_000, 4_000_000, 8_000_000, 16_000_000, 32_000_000}

// endedCall is a call that an office ended.
type endedCall struct {
	Call
	at int64
}

// endRecord is what is known of the ends that an office reported.
type endRecord struct {
	last    int64 // when the last one was received; 0: none was
	checked int64 // when calls were last checked against it
	missing bool  // the expected ends have not come
	recent  [recentEnds]endedCall
	count   int // number of ends added; recent[count%recentEnds] is the next to be overwritten
}

func (e *endRecord) add(at int64, call Call) {
	e.recent[e.count%recentEnds] = endedCall{call, at}
	e.count++
	e.last = max(e.last, at)
	e.missing = false
}

// ReleasedCallEnded records the end of a call that was already released. It shows that the office ends calls, but no
// holding time is known.
func (o *Office) ReleasedCallEnded(at int64) {
	o.ended.last = max(o.ended.last, at)
	o.ended.missing = false
}

// LastEnd returns when the office last ended a call; 0: it has ended none.
func (o *Office) LastEnd() int64 { return o.ended.last }

// MissingEndsCheckDue reports whether CheckMissingEnds should be called: the office has ended calls before, but none
// for releaseAfter.
func (o *Office) MissingEndsCheckDue(now int64) bool {
	e := &o.ended
	return e.last != 0 && now-(e.last-o.queueDelay) >= releaseAfter && now-e.checked >= noEndsCheckInterval
}

// CheckMissingEnds reports whether the office no longer ends calls, whatever else it sends. If so, its calls
// established before the returned time are over. The learned rates are wrong if holding times change suddenly or if
// calls of another kind replace those that end. ratesConfirmed detects this: the calls established shortly before the
// last end, which was that of an older call, then have fewer ends than the rates predict.
func (o *Office) CheckMissingEnds(now int64, calls iter.Seq[Call], rates Rates) (before int64, over bool) {
	e := &o.ended
	e.checked = now
	if !e.missing {
		needed := float64(overdueEnds)
		refused := o.lastOfKind[Refusal] > o.lastOfKind[Answer] || o.unanswered.Count > 0
		if refused && now-(o.lastOfKind[Answer]-o.queueDelay) >= silentAfter {
			needed = overdueUnanswered
		}
		e.missing = e.overdue(now, calls, rates, needed) && e.ratesConfirmed(calls, rates)
	}
	return now - releaseAfter, e.missing
}

// overdue reports whether the needed number of ends was expected since the last one, at least half of it of calls
// established before that. Guards against calls of another kind that begin after a pause: those alone are no evidence.
func (e *endRecord) overdue(now int64, calls iter.Seq[Call], rates Rates, needed float64) bool {
	oldCalls := 0
	expectedOld, expectedYoung := 0.0, 0.0
	for call := range calls {
		ageAtLastEnd := max(e.last-call.Since, 0)
		ageNow := now - call.Since
		expected := rates.expected(call.Class, ageAtLastEnd-ageAtLastEnd/ageMargin, ageNow-ageNow/ageMargin)
		switch {
		case call.Since < e.last:
			oldCalls++
			expectedOld += expected
		case call.Since < e.last+youngWithin:
			expectedYoung += expected
		}
	}
	return oldCalls >= minCalls && expectedOld >= needed/2 && expectedOld+expectedYoung >= needed
}

// ratesConfirmed reports whether the learned rates predict the ends, up to the last one, of the calls established
// shortly before it.
func (e *endRecord) ratesConfirmed(calls iter.Seq[Call], rates Rates) bool {
	expected, came := 0.0, 0.0
	for _, period := range confirmingPeriods {
		expected, came = e.endsOfLatest(period, calls, rates)
		if expected >= confirmingEnds {
			break
		}
	}
	return expected >= minConfirmingEnds && came*confirmingPart >= expected
}

// endsOfLatest returns how many ends, up to the last one, were expected of the calls established within a period
// before it, and how many came. The calls are those that have not ended and those in recent.
func (e *endRecord) endsOfLatest(period int64, calls iter.Seq[Call], rates Rates) (expected, came float64) {
	begin := e.last - period
	for call := range calls {
		if call.Since >= begin && call.Since < e.last {
			expected += rates.expected(call.Class, 0, e.last-call.Since)
		}
	}
	for _, end := range e.recent[:min(e.count, recentEnds)] {
		if end.Since >= begin {
			expected += rates.expected(end.Class, 0, end.at-end.Since)
			came++
		}
	}
	return expected, came
}
