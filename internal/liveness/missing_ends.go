package liveness

import "iter"

// Bounds on the evidence from missing ends of calls.
const (
	// overdueEnds is the number of ends that must be expected before the absence of any shows that the office ends no
	// more calls. By chance none of that many ends comes in about one of ten million cases. minCalls is the number
	// of calls that must be involved.
	overdueEnds = 16
	minCalls    = 4
	// youngWithin is how long after the last end, in microseconds, a call may have begun to count with those
	// established then.
	youngWithin = 1_000_000
	// overdueUnanswered replaces overdueEnds where no set-up was answered in the meantime either.
	overdueUnanswered = 8
	// The learned rates are applied only if they agree with the ends of the latest calls before the last end: they are
	// checked on calls of which confirmingEnds ends are expected, and minConfirmingEnds at least, and 1/confirmingPart
	// of the expected ends at least must have come.
	confirmingEnds    = 16
	minConfirmingEnds = 8
	confirmingPart    = 3
	// At the last end a call's age is taken to be less by 1/ageMargin: the learned rates are only as precise as their
	// steps.
	ageMargin = 5
	// recentEnds bounds the number of ends kept for one office.
	recentEnds = 64
	// noEndsCheckInterval is the time, in microseconds, between two checks of calls of which none ends.
	noEndsCheckInterval = 250_000
)

// confirmingPeriods are the periods before the last end, in microseconds; the calls begun within the shortest period of
// which confirmingEnds ends are expected are compared with the learned rates.
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
	missing bool  // none came of as many as were expected
	recent  [recentEnds]endedCall
	count   int // total number received
}

func (e *endRecord) add(at int64, call Call) {
	e.recent[e.count%recentEnds] = endedCall{call, at}
	e.count++
	e.last = max(e.last, at)
	e.missing = false
}

// EndSeen records the end of a call that was already released: the office ends calls.
func (o *Office) EndSeen(at int64) {
	o.ended.last = max(o.ended.last, at)
	o.ended.missing = false
}

// LastEnd returns when the office last ended a call; 0: it has ended none.
func (o *Office) LastEnd() int64 { return o.ended.last }

// UnendedDue reports whether established calls should be checked against the ends received: none has been for long
// enough.
func (o *Office) UnendedDue(now int64) bool {
	e := &o.ended
	return e.last != 0 && now-(e.last-o.queueDelay) >= releaseAfter && now-e.checked >= noEndsCheckInterval
}

// Unended reports whether calls established before a given time are over because the office ends no calls any more,
// whatever else it sends. If holding times change suddenly, or calls of another kind replace those that end, the
// learned rates no longer apply. In that case they did not apply to the latest calls before the last end either,
// which was the end of an older call.
func (o *Office) Unended(now int64, calls iter.Seq[Call], rates Rates) (before int64, over bool) {
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

// overdue reports whether the needed number of ends should have come since the last one, half of them of calls
// established at that time. Guards against calls of another kind that begin after a lull: those alone are no
// evidence.
func (e *endRecord) overdue(now int64, calls iter.Seq[Call], rates Rates, needed float64) bool {
	count := 0
	old, young := 0.0, 0.0
	for call := range calls {
		then := max(e.last-call.Since, 0)
		since := now - call.Since
		expected := rates.expected(call.Class, then-then/ageMargin, since-since/ageMargin)
		switch {
		case call.Since < e.last:
			count++
			old += expected
		case call.Since < e.last+youngWithin:
			young += expected
		}
	}
	return count >= minCalls && old >= needed/2 && old+young >= needed
}

// ratesConfirmed reports whether, up to the last end, about as many ends came of the calls begun shortly before it as
// were expected.
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

// endsOfLatest returns how many ends, up to the last one, were expected of the calls that began within a period
// before it, and how many came.
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
