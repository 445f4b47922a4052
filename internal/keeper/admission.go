package keeper

import (
	"pewterwheel/decide"
)

// Decider decides on the events that an AdmissionFilter passes on: the router, or the decide module alone.
type Decider interface {
	Step(now int64, e decide.Event, out []decide.Action) []decide.Action
	Avoids(id decide.ServerID) bool
}

const (
	maxKeyLength     = 32      // longer numbers are not followed
	maxTrackedCalls  = 1 << 16 // calls to numbers in contention that an AdmissionFilter follows
	maxWaitingSetUps = 64      // set-ups that wait for one number
	waitingInterval  = 5_000   // interval at which waiting set-ups are checked
	minBusyEnds      = 2       // recent busy ends of one number before it is reported
	// timerToken marks the timers of an AdmissionFilter. Tokens of the decide module count up from 0 and never reach it.
	timerToken = 1 << 63
)

// trackedCall is one call to a number in contention that the AdmissionFilter follows.
type trackedCall struct {
	entry       *tableEntry
	setUp       decide.Event // the set-up while it waits
	fallback    bool         // admitted without a permit
	waiting     bool
	arrivedAt   int64
	waitUntil   int64 // latest end of the wait
	attemptOpen bool
	finished    bool // it has its final answer, or its caller has gone
	established bool
}

// AdmissionFilter decides on the call loop, in front of the router, whether a call to a number in contention may be
// attempted. It delays, admits or refuses set-ups; it sends none itself. Calls to other numbers cost one sketch update.
// It belongs to the goroutine of the loop.
type AdmissionFilter struct {
	cfg            Config
	settings       decide.Settings
	inner          Decider
	table          *Table
	queue          *Queue
	sketch         *sketch
	calls          map[decide.CallID]*trackedCall
	freeCalls      []*trackedCall
	waitingEntries []*tableEntry // numbers for which set-ups wait
	checkedAt      int64
	timerArmed     bool

	// Counts holds the counters of what was decided, for operators.
	Counts FilterCounts
}

// FilterCounts counts what an AdmissionFilter has decided since its start.
type FilterCounts struct {
	Contended       uint64 // set-ups for numbers in contention
	Permitted       uint64 // admitted with a permit
	Delayed         uint64 // delayed while a permit was requested
	Refused         uint64 // refused, as no line is free
	Fallback        uint64 // admitted by the fallback share, as the owner was unreachable
	FallbackRefused uint64 // refused, as the fallback share was used up
	Busy            uint64 // set-ups under a permit that ended busy
	Untracked       uint64 // admitted without being followed, for lack of room
	BusyUncontended uint64 // set-ups to numbers not in contention that ended busy
}

// NewAdmissionFilter returns an AdmissionFilter that passes events to inner, which is made with the same settings. It
// shares the table and the queue with the Module of the process. The session must report the ends of calls to it
// (session.EndObserver): a decider in front of it passes on ObservesEnds and events.
func NewAdmissionFilter(cfg Config, settings decide.Settings, inner Decider, table *Table,
	queue *Queue) *AdmissionFilter {
	return &AdmissionFilter{cfg: cfg.withDefaults(), settings: settings, inner: inner, table: table, queue: queue,
		sketch: &sketch{}, calls: map[decide.CallID]*trackedCall{}}
}

// Avoids tells whether the decide module currently avoids a listed server.
func (f *AdmissionFilter) Avoids(id decide.ServerID) bool { return f.inner.Avoids(id) }

// ObservesEnds returns true: the ends of established calls free lines.
func (f *AdmissionFilter) ObservesEnds() bool { return true }

// Reload passes on a part of a new configuration.
func (f *AdmissionFilter) Reload(now int64, part any, out []decide.Action) []decide.Action {
	if inner, ok := f.inner.(interface {
		Reload(int64, any, []decide.Action) []decide.Action
	}); ok {
		return inner.Reload(now, part, out)
	}
	return out
}

// Figures reports the counters of the AdmissionFilter and of the decider behind it.
func (f *AdmissionFilter) Figures(put func(name string, n uint64, gauge bool)) {
	counts := &f.Counts
	put("keeper_hot", counts.Contended, false)
	put("keeper_permitted", counts.Permitted, false)
	put("keeper_held", counts.Delayed, false)
	put("keeper_refused", counts.Refused, false)
	put("keeper_plain", counts.Fallback, false)
	put("keeper_unshared", counts.FallbackRefused, false)
	put("keeper_busy", counts.Busy, false)
	put("keeper_busy_cold", counts.BusyUncontended, false)
	put("keeper_untracked", counts.Untracked, false)
	put("keeper_queue_dropped", f.queue.Dropped(), false)
	put("keeper_followed", uint64(len(f.calls)), true)
	if inner, ok := f.inner.(interface {
		Figures(func(string, uint64, bool))
	}); ok {
		inner.Figures(put)
	}
}

// Step handles one event and appends the resulting actions.
func (f *AdmissionFilter) Step(now int64, event decide.Event, out []decide.Action) []decide.Action {
	if len(f.waitingEntries) > 0 && now > f.checkedAt {
		out = f.processWaiting(now, out)
	}
	switch event.Kind {
	case decide.CallArrived:
		if event.Key == "" || len(event.Key) > maxKeyLength {
			break
		}
		hash := hashOf(event.Key)
		f.sketch.add(hash, now)
		if entry := f.table.find(hash, event.Key); entry != nil && f.calls[event.Call] == nil {
			return f.handleSetUp(now, entry, event, out)
		}
	case decide.TimerFired:
		if event.Token&timerToken != 0 {
			f.timerArmed = false
			return f.armTimer(out)
		}
	case decide.CallEnded:
		if call := f.calls[event.Call]; call != nil {
			f.release(event.Call, call)
		}
		return out
	case decide.AttemptEnded:
		return f.handleEnd(now, event, out)
	case decide.SetUpCompleted:
		if call := f.calls[event.Call]; call != nil && !call.established {
			call.attemptOpen, call.established = false, true
			call.entry.calls.Add(1)
			if !call.fallback {
				call.entry.began.Add(1)
			}
			f.reportChange(call.entry)
		}
	case decide.CallerLeft:
		if call := f.calls[event.Call]; call != nil {
			if call.waiting { // the inner decider does not know the call
				call.waiting = false
				call.entry.waitingCount.Add(-1)
				delete(f.calls, event.Call)
				return out
			}
			out = f.forward(now, event, out)
			f.finish(event.Call, call)
			return out
		}
	}
	if len(f.calls) == 0 {
		return f.inner.Step(now, event, out)
	}
	return f.forward(now, event, out)
}

// forward passes an event on, and tracks what becomes of the calls that are followed.
func (f *AdmissionFilter) forward(now int64, event decide.Event, out []decide.Action) []decide.Action {
	n := len(out)
	out = f.inner.Step(now, event, out)
	if len(f.calls) == 0 {
		return out
	}
	for _, action := range out[n:] {
		switch action.Kind {
		case decide.Send:
			if call := f.calls[action.Call]; call != nil {
				call.attemptOpen = true
			}
		case decide.Refuse, decide.Fail:
			if call := f.calls[action.Call]; call != nil {
				f.finish(action.Call, call)
			}
		}
	}
	return out
}

// handleSetUp takes a set-up to a number in contention.
func (f *AdmissionFilter) handleSetUp(now int64, entry *tableEntry, event decide.Event,
	out []decide.Action) []decide.Action {
	f.Counts.Contended++
	entry.requested.Add(1)
	if len(f.calls) >= maxTrackedCalls {
		f.Counts.Untracked++
		return f.forward(now, event, out)
	}
	wait := f.cfg.MaxWait
	if event.Class >= 0 && event.Class < len(f.settings.Classes) {
		wait = min(wait, f.settings.Classes[event.Class].Aim/2)
	}
	if event.Deadline > 0 {
		wait = min(wait, (event.Deadline-now)/2)
	}
	switch {
	case len(entry.waiting) == 0 && entry.takePermit(now, &f.cfg.disabled):
		return f.admit(now, event, f.track(event.Call, entry, now), out)
	case now < entry.noPermitUntil.Load():
		return f.refuse(entry, event.Call, out)
	case entry.ownerUnreachable.Load():
		f.reportChange(entry) // permits are requested again, but nothing waits for them
		return f.admitFallback(now, event, entry, out)
	case wait < waitingInterval, len(entry.waiting) >= maxWaitingSetUps:
		return f.refuse(entry, event.Call, out)
	}
	call := f.track(event.Call, entry, now)
	call.setUp, call.waiting, call.waitUntil = event, true, now+wait
	entry.waitingCount.Add(1)
	if !f.reportChange(entry) {
		call.waiting = false
		entry.waitingCount.Add(-1)
		delete(f.calls, event.Call)
		return f.admitFallback(now, event, entry, out)
	}
	f.Counts.Delayed++
	if len(entry.waiting) == 0 {
		f.waitingEntries = append(f.waitingEntries, entry)
	}
	entry.waiting = append(entry.waiting, call)
	return f.armTimer(out)
}

// track follows a call until it is over.
func (f *AdmissionFilter) track(id decide.CallID, entry *tableEntry, now int64) *trackedCall {
	call := &trackedCall{}
	if n := len(f.freeCalls); n > 0 {
		call, f.freeCalls = f.freeCalls[n-1], f.freeCalls[:n-1]
	}
	*call = trackedCall{entry: entry, arrivedAt: now}
	f.calls[id] = call
	return call
}

// admit lets a call through; its line counts as open already.
func (f *AdmissionFilter) admit(now int64, event decide.Event, call *trackedCall, out []decide.Action) []decide.Action {
	if !call.fallback {
		f.Counts.Permitted++
	}
	f.reportChange(call.entry)
	return f.forward(now, event, out)
}

// refuse refuses a call for some time.
func (f *AdmissionFilter) refuse(entry *tableEntry, id decide.CallID, out []decide.Action) []decide.Action {
	f.Counts.Refused++
	entry.refused.Add(1)
	return append(out, decide.Action{Kind: decide.Refuse, Call: id, Wait: f.retryAfter(entry)})
}

// retryAfter returns the time for which callers are told to stay away.
func (f *AdmissionFilter) retryAfter(entry *tableEntry) int64 {
	if !f.settings.RetryAdvice {
		return 0
	}
	return min(entry.callerRetryAfter.Load(), f.settings.MaxRetryAfter)
}

// admitFallback admits a call without a permit while the owner is unreachable, within this process's fraction of the
// turnover share it was last told. It prevents the calls of all processes from reaching the offices at once when an
// owner dies.
func (f *AdmissionFilter) admitFallback(now int64, event decide.Event, entry *tableEntry,
	out []decide.Action) []decide.Action {
	if entry.refilledAt == 0 {
		entry.tokens, entry.refilledAt = 1, now
	}
	entry.tokens = min(1, entry.tokens+
		f.cfg.FallbackShare*float64(entry.turnoverShare.Load())*1e-9*float64(now-entry.refilledAt))
	entry.refilledAt = now
	if entry.tokens < 1 && !f.cfg.disabled.noFallbackLimit {
		f.Counts.FallbackRefused++
		return f.refuse(entry, event.Call, out)
	}
	entry.tokens--
	f.Counts.Fallback++
	call := f.track(event.Call, entry, now)
	call.fallback = true
	entry.fallback.Add(1)
	entry.open.Add(1)
	return f.admit(now, event, call, out)
}

// processWaiting checks the set-ups that wait: permits go to the first in the queue.
func (f *AdmissionFilter) processWaiting(now int64, out []decide.Action) []decide.Action {
	f.checkedAt = now
	remaining := f.waitingEntries[:0]
	for _, entry := range f.waitingEntries {
		waiting := entry.waiting[:0]
		for i, call := range entry.waiting {
			if !call.waiting { // its caller has gone
				continue
			}
			id := call.setUp.Call
			switch {
			case entry.takePermit(now, &f.cfg.disabled):
				f.stopWaiting(call)
				out = f.admit(now, call.setUp, call, out)
			case now < entry.noPermitUntil.Load():
				f.stopWaiting(call)
				delete(f.calls, id)
				out = f.refuse(entry, id, out)
			case now >= call.waitUntil || entry.ownerUnreachable.Load():
				f.stopWaiting(call)
				delete(f.calls, id)
				out = f.admitFallback(now, call.setUp, entry, out)
			default:
				waiting = append(waiting, entry.waiting[i])
			}
		}
		clear(entry.waiting[len(waiting):])
		entry.waiting = waiting
		if len(waiting) > 0 {
			remaining = append(remaining, entry)
		}
	}
	f.waitingEntries = remaining
	return out
}

func (f *AdmissionFilter) stopWaiting(call *trackedCall) {
	call.waiting = false
	call.entry.waitingCount.Add(-1)
}

// armTimer requests the next check while set-ups wait.
func (f *AdmissionFilter) armTimer(out []decide.Action) []decide.Action {
	if f.timerArmed || len(f.waitingEntries) == 0 {
		return out
	}
	f.timerArmed = true
	return append(out, decide.Action{Kind: decide.StartTimer, Wait: waitingInterval, Token: timerToken})
}

// handleEnd takes the end of an attempt. A number in contention that is busy is not attempted again: this is the
// call's final answer, as the router gives it when the budget for repeats is used up.
func (f *AdmissionFilter) handleEnd(now int64, event decide.Event, out []decide.Action) []decide.Action {
	call := f.calls[event.Call]
	if call == nil || call.waiting || call.established {
		if event.NumberBusy && call == nil && event.Key != "" && len(event.Key) <= maxKeyLength {
			f.Counts.BusyUncontended++
			f.countBusy(now, event.Key)
		}
		return f.forward(now, event, out)
	}
	call.attemptOpen = false
	if event.NumberBusy {
		if !call.fallback {
			f.Counts.Busy++
			call.entry.busy.Add(1)
		}
		if !event.AnswerGiven && !call.finished {
			event.AnswerGiven = true
			out = f.forward(now, event, out)
			out = append(out, decide.Action{Kind: decide.Fail, Call: event.Call, Wait: f.retryAfter(call.entry)})
			f.release(event.Call, call)
			return out
		}
	}
	final := event.AnswerGiven
	out = f.forward(now, event, out)
	if final {
		f.finish(event.Call, call)
	} else if call.finished && !call.attemptOpen {
		f.release(event.Call, call)
	}
	return out
}

// countBusy counts a busy end of a number that is not in the table.
func (f *AdmissionFilter) countBusy(now int64, key string) {
	hash := hashOf(key)
	if busy, setUps := f.sketch.countBusy(hash, now); busy >= minBusyEnds && f.table.find(hash, key) == nil {
		f.queue.push(report{kind: reportContended, key: key, recentSetUps: max(setUps, busy)})
	}
}

// finish marks that a call has its final answer, or that its caller has gone. If no attempt is open, its line is
// free.
func (f *AdmissionFilter) finish(id decide.CallID, call *trackedCall) {
	call.finished = true
	if !call.attemptOpen && !call.established {
		f.release(id, call)
	}
}

// release frees a call's line.
func (f *AdmissionFilter) release(id decide.CallID, call *trackedCall) {
	if f.calls[id] != call {
		return
	}
	delete(f.calls, id)
	entry := call.entry
	if call.established {
		entry.calls.Add(-1)
	}
	if call.fallback {
		entry.fallback.Add(-1)
	}
	entry.ended.Add(1)
	entry.open.Add(-1)
	f.reportChange(entry)
	f.freeCalls = append(f.freeCalls, call)
}

// reportChange tells the Module that the values of a number have changed, once until the Module has read them; false:
// the queue is full.
func (f *AdmissionFilter) reportChange(entry *tableEntry) bool {
	if entry.reportQueued.Swap(true) {
		return true
	}
	if f.queue.push(report{kind: reportChanged, entry: entry}) {
		return true
	}
	entry.reportQueued.Store(false)
	return false
}
