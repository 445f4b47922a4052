package keeper

import (
	"pewterwheel/decide"
)

// Decider decides behind a Front: the router, or the decide module alone.
type Decider interface {
	Step(now int64, e decide.Event, out []decide.Action) []decide.Action
	Avoids(id decide.ServerID) bool
}

const (
	maxKeyLength     = 32      // longer numbers are not followed
	maxTrackedCalls  = 1 << 16 // calls to numbers in contention that a Front follows
	maxWaitingSetUps = 64      // set-ups that wait for one number
	waitingInterval  = 5_000   // interval at which waiting set-ups are checked
	minBusyEnds      = 2       // recent busy ends of one number before it is reported
	// timerToken marks the timers of a Front. Tokens of the decide module count up from 0 and never reach it.
	timerToken = 1 << 63
)

// trackedCall is one trackedCall to a number in contention that the Front follows.
type trackedCall struct {
	entry       *tableEntry
	setUp       decide.Event // the set-up while it waits
	fallback    bool         // admitted without a permit
	waiting     bool
	arrivedAt   int64 // when it arrived
	waitUntil   int64 // latest end of the wait
	attemptOpen bool  // an attempt is open
	finished    bool  // it has its final answer, or its caller has gone
	established bool
}

// Front decides on the call loop, in front of the router, whether a call to a number in contention may be attempted.
// It delays, admits or refuses set-ups; it sends none itself. Calls to other numbers cost one sketch update. It
// belongs to the goroutine of the loop.
type Front struct {
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

// FilterCounts counts what a Front has decided since its start.
type FilterCounts struct {
	Contended       uint64 // set-ups for numbers in contention
	Permitted       uint64 // admitted with a permit
	Held            uint64 // delayed while a permit was requested
	Refused         uint64 // refused, as no line is free
	Fallback        uint64 // admitted by the fallback share, as the keeper was unreachable
	FallbackRefused uint64 // refused, as the fallback share was used up
	Busy            uint64 // set-ups under a permit that ended busy
	Untracked       uint64 // admitted without being followed, for lack of room
	BusyUncontended uint64 // set-ups to numbers not in contention that ended busy
}

// NewFront returns a Front that passes events to inner, which is made with the same settings. It shares the table and
// the queue with the Part of the process. The session must report the ends of calls to it (session.EndHearer): a
// decider in front of it passes on HearsEnds and events.
func NewFront(cfg Config, set decide.Settings, inner Decider, table *Table, queue *Queue) *Front {
	return &Front{cfg: cfg.withDefaults(), settings: set, inner: inner, table: table, queue: queue, sketch: &sketch{}, calls: map[decide.CallID]*trackedCall{}}
}

// Avoids tells whether the decide module currently avoids a listed server.
func (f *Front) Avoids(id decide.ServerID) bool { return f.inner.Avoids(id) }

// HearsEnds returns true: the ends of established calls free lines.
func (f *Front) HearsEnds() bool { return true }

// Reload passes on a part of a new configuration.
func (f *Front) Reload(now int64, part any, out []decide.Action) []decide.Action {
	if r, ok := f.inner.(interface {
		Reload(int64, any, []decide.Action) []decide.Action
	}); ok {
		return r.Reload(now, part, out)
	}
	return out
}

// Figures reports the counters of the Front and of the decider behind it.
func (f *Front) Figures(put func(name string, n uint64, gauge bool)) {
	c := &f.Counts
	put("keeper_hot", c.Contended, false)
	put("keeper_permitted", c.Permitted, false)
	put("keeper_held", c.Held, false)
	put("keeper_refused", c.Refused, false)
	put("keeper_plain", c.Fallback, false)
	put("keeper_unshared", c.FallbackRefused, false)
	put("keeper_busy", c.Busy, false)
	put("keeper_busy_cold", c.BusyUncontended, false)
	put("keeper_untracked", c.Untracked, false)
	put("keeper_queue_dropped", f.queue.Dropped(), false)
	put("keeper_followed", uint64(len(f.calls)), true)
	if g, ok := f.inner.(interface {
		Figures(func(string, uint64, bool))
	}); ok {
		g.Figures(put)
	}
}

// Step handles one event and appends the resulting actions.
func (f *Front) Step(now int64, e decide.Event, out []decide.Action) []decide.Action {
	if len(f.waitingEntries) > 0 && now > f.checkedAt {
		out = f.processWaiting(now, out)
	}
	switch e.Kind {
	case decide.Order:
		if e.Key == "" || len(e.Key) > maxKeyLength {
			break
		}
		hash := hashOf(e.Key)
		f.sketch.add(hash, now)
		if s := f.table.find(hash, e.Key); s != nil && f.calls[e.Call] == nil {
			return f.handleSetUp(now, s, e, out)
		}
	case decide.Fired:
		if e.Token&timerToken != 0 {
			f.timerArmed = false
			return f.armTimer(out)
		}
	case decide.Over:
		if c := f.calls[e.Call]; c != nil {
			f.release(e.Call, c)
		}
		return out
	case decide.Ended:
		return f.handleEnd(now, e, out)
	case decide.Begun:
		if c := f.calls[e.Call]; c != nil && !c.established {
			c.attemptOpen, c.established = false, true
			c.entry.calls.Add(1)
			if !c.fallback {
				c.entry.began.Add(1)
			}
			f.reportChange(c.entry)
		}
	case decide.Gone:
		if c := f.calls[e.Call]; c != nil {
			if c.waiting { // the inner decider does not know the call
				c.waiting = false
				c.entry.waitingCount.Add(-1)
				delete(f.calls, e.Call)
				return out
			}
			out = f.forward(now, e, out)
			f.finish(e.Call, c)
			return out
		}
	}
	if len(f.calls) == 0 {
		return f.inner.Step(now, e, out)
	}
	return f.forward(now, e, out)
}

// forward passes an event on, and tracks what becomes of the calls that are followed.
func (f *Front) forward(now int64, e decide.Event, out []decide.Action) []decide.Action {
	n := len(out)
	out = f.inner.Step(now, e, out)
	if len(f.calls) == 0 {
		return out
	}
	for _, a := range out[n:] {
		switch a.Kind {
		case decide.Send:
			if c := f.calls[a.Call]; c != nil {
				c.attemptOpen = true
			}
		case decide.Refuse, decide.Fail:
			if c := f.calls[a.Call]; c != nil {
				f.finish(a.Call, c)
			}
		}
	}
	return out
}

// handleSetUp takes a set-up to a number in contention.
func (f *Front) handleSetUp(now int64, s *tableEntry, e decide.Event, out []decide.Action) []decide.Action {
	f.Counts.Contended++
	s.requested.Add(1)
	if len(f.calls) >= maxTrackedCalls {
		f.Counts.Untracked++
		return f.forward(now, e, out)
	}
	hold := f.cfg.MaxWait
	if e.Class >= 0 && e.Class < len(f.settings.Classes) {
		hold = min(hold, f.settings.Classes[e.Class].Aim/2)
	}
	if e.Deadline > 0 {
		hold = min(hold, (e.Deadline-now)/2)
	}
	switch {
	case len(s.waiting) == 0 && s.takePermit(now, &f.cfg.disabled):
		return f.admit(now, e, f.track(e.Call, s, now), out)
	case now < s.noPermitUntil.Load():
		return f.refuse(s, e.Call, out)
	case s.keeperUnreachable.Load():
		f.reportChange(s) // permits are requested again, but nothing waits for them
		return f.admitFallback(now, e, s, out)
	case hold < waitingInterval, len(s.waiting) >= maxWaitingSetUps:
		return f.refuse(s, e.Call, out)
	}
	c := f.track(e.Call, s, now)
	c.setUp, c.waiting, c.waitUntil = e, true, now+hold
	s.waitingCount.Add(1)
	if !f.reportChange(s) {
		c.waiting = false
		s.waitingCount.Add(-1)
		delete(f.calls, e.Call)
		return f.admitFallback(now, e, s, out)
	}
	f.Counts.Held++
	if len(s.waiting) == 0 {
		f.waitingEntries = append(f.waitingEntries, s)
	}
	s.waiting = append(s.waiting, c)
	return f.armTimer(out)
}

// track follows a call until it is over.
func (f *Front) track(id decide.CallID, s *tableEntry, now int64) *trackedCall {
	c := &trackedCall{}
	if n := len(f.freeCalls); n > 0 {
		c, f.freeCalls = f.freeCalls[n-1], f.freeCalls[:n-1]
	}
	*c = trackedCall{entry: s, arrivedAt: now}
	f.calls[id] = c
	return c
}

// admit lets a call through; its line counts as open already.
func (f *Front) admit(now int64, e decide.Event, c *trackedCall, out []decide.Action) []decide.Action {
	if !c.fallback {
		f.Counts.Permitted++
	}
	f.reportChange(c.entry)
	return f.forward(now, e, out)
}

// refuse refuses a call for some time.
func (f *Front) refuse(s *tableEntry, id decide.CallID, out []decide.Action) []decide.Action {
	f.Counts.Refused++
	s.refused.Add(1)
	return append(out, decide.Action{Kind: decide.Refuse, Call: id, Wait: f.retryAfter(s)})
}

// retryAfter returns the time for which callers are told to retryAfter away.
func (f *Front) retryAfter(s *tableEntry) int64 {
	if !f.settings.RetryAdvice {
		return 0
	}
	return min(s.callerRetryAfter.Load(), f.settings.MaxRetryAfter)
}

// admitFallback admits a call without a permit while the keeper is unreachable, within this process's fraction of the
// turnover admitFallback it was last told. It keeps the calls of all processes from reaching the offices at once when a
// keeper dies.
func (f *Front) admitFallback(now int64, e decide.Event, s *tableEntry, out []decide.Action) []decide.Action {
	if s.refilledAt == 0 {
		s.tokens, s.refilledAt = 1, now
	}
	s.tokens = min(1, s.tokens+f.cfg.Share*float64(s.turnoverShare.Load())*1e-9*float64(now-s.refilledAt))
	s.refilledAt = now
	if s.tokens < 1 && !f.cfg.disabled.noFallbackLimit {
		f.Counts.FallbackRefused++
		return f.refuse(s, e.Call, out)
	}
	s.tokens--
	f.Counts.Fallback++
	c := f.track(e.Call, s, now)
	c.fallback = true
	s.fallback.Add(1)
	s.open.Add(1)
	return f.admit(now, e, c, out)
}

// processWaiting checks the set-ups that wait: permits go to the first in the queue.
func (f *Front) processWaiting(now int64, out []decide.Action) []decide.Action {
	f.checkedAt = now
	left := f.waitingEntries[:0]
	for _, s := range f.waitingEntries {
		rest := s.waiting[:0]
		for i, c := range s.waiting {
			if !c.waiting { // its caller has gone
				continue
			}
			id := c.setUp.Call
			switch {
			case s.takePermit(now, &f.cfg.disabled):
				f.stopWaiting(c)
				out = f.admit(now, c.setUp, c, out)
			case now < s.noPermitUntil.Load():
				f.stopWaiting(c)
				delete(f.calls, id)
				out = f.refuse(s, id, out)
			case now >= c.waitUntil || s.keeperUnreachable.Load():
				f.stopWaiting(c)
				delete(f.calls, id)
				out = f.admitFallback(now, c.setUp, s, out)
			default:
				rest = append(rest, s.waiting[i])
			}
		}
		clear(s.waiting[len(rest):])
		s.waiting = rest
		if len(rest) > 0 {
			left = append(left, s)
		}
	}
	f.waitingEntries = left
	return out
}

func (f *Front) stopWaiting(c *trackedCall) {
	c.waiting = false
	c.entry.waitingCount.Add(-1)
}

// armTimer requests the next check while set-ups wait.
func (f *Front) armTimer(out []decide.Action) []decide.Action {
	if f.timerArmed || len(f.waitingEntries) == 0 {
		return out
	}
	f.timerArmed = true
	return append(out, decide.Action{Kind: decide.Timer, Wait: waitingInterval, Token: timerToken})
}

// handleEnd takes the end of an attempt. A number in contention that is busy is not attempted again: this is the
// call's final answer, as the router gives it when the budget for repeats is used up.
func (f *Front) handleEnd(now int64, e decide.Event, out []decide.Action) []decide.Action {
	c := f.calls[e.Call]
	if c == nil || c.waiting || c.established {
		if e.Busy && c == nil && e.Key != "" && len(e.Key) <= maxKeyLength {
			f.Counts.BusyUncontended++
			f.countBusy(now, e.Key)
		}
		return f.forward(now, e, out)
	}
	c.attemptOpen = false
	if e.Busy {
		if !c.fallback {
			f.Counts.Busy++
			c.entry.busy.Add(1)
		}
		if !e.Final && !c.finished {
			e.Final = true
			out = f.forward(now, e, out)
			out = append(out, decide.Action{Kind: decide.Fail, Call: e.Call, Wait: f.retryAfter(c.entry)})
			f.release(e.Call, c)
			return out
		}
	}
	final := e.Final
	out = f.forward(now, e, out)
	if final {
		f.finish(e.Call, c)
	} else if c.finished && !c.attemptOpen {
		f.release(e.Call, c)
	}
	return out
}

// countBusy counts a busy end of a number that is not in the table.
func (f *Front) countBusy(now int64, key string) {
	hash := hashOf(key)
	if busy, orders := f.sketch.countBusy(hash, now); busy >= minBusyEnds && f.table.find(hash, key) == nil {
		f.queue.push(report{kind: reportContended, key: key, recentSetUps: max(orders, busy)})
	}
}

// finish marks that a call has its final answer, or that its caller has gone. If no attempt is open, its line is
// free.
func (f *Front) finish(id decide.CallID, c *trackedCall) {
	c.finished = true
	if !c.attemptOpen && !c.established {
		f.release(id, c)
	}
}

// release frees a call's line.
func (f *Front) release(id decide.CallID, c *trackedCall) {
	if f.calls[id] != c {
		return
	}
	delete(f.calls, id)
	s := c.entry
	if c.established {
		s.calls.Add(-1)
	}
	if c.fallback {
		s.fallback.Add(-1)
	}
	s.ended.Add(1)
	s.open.Add(-1)
	f.reportChange(s)
	f.freeCalls = append(f.freeCalls, c)
}

// reportChange tells the Part that the values of a number have reportChange, once until the Part has read them; false: the
// queue is full.
func (f *Front) reportChange(s *tableEntry) bool {
	if s.reportQueued.Swap(true) {
		return true
	}
	if f.queue.push(report{kind: reportChanged, entry: s}) {
		return true
	}
	s.reportQueued.Store(false)
	return false
}
