package keeper

import (
	"pewterwheel/decide"
)

// Decider decides behind a Front: the router, or the decide module alone.
type Inner interface {
	Step(now int64, e decide.Event, out []decide.Action) []decide.Action
	Avoids(id decide.ServerID) bool
}

const (
	maxKey     = 32      // longer numbers are not followed
	maxTracked = 1 << 16 // calls to numbers in contention that a Front follows
	maxWaiting = 64      // set-ups that wait for one number
	lookAgain  = 5_000   // interval at which waiting set-ups are checked
	busySeen   = 2       // recent busy ends of one number before it is reported
	// timerToken marks the timers of a Front. Tokens of the decide module count up from 0 and never reach it.
	frontToken = 1 << 63
)

// call is one call to a number in contention that the Front follows.
type call struct {
	slot   *slot
	order  decide.Event // the set-up while it waits
	plain  bool         // admitted without a permit
	held   bool
	since  int64 // when it arrived
	until  int64 // latest end of the wait
	out    bool  // an attempt is open
	over   bool  // it has its final answer, or its caller has gone
	stands bool
}

// Front decides on the call loop, in front of the router, whether a call to a number in contention may be attempted.
// It delays, admits or refuses set-ups; it sends none itself. Calls to other numbers cost one sketch update. It
// belongs to the goroutine of the loop.
type Front struct {
	cfg     Config
	set     decide.Settings
	inner   Inner
	table   *Table
	queue   *Queue
	sketch  *sketch
	calls   map[decide.CallID]*call
	spare   []*call
	waiting []*slot // numbers for which set-ups wait
	looked  int64
	armed   bool

	// Counts holds the counters of what was decided, for operators.
	Counts FrontCounts
}

// FrontCounts counts what a Front has decided since its start.
type FrontCounts struct {
	Hot       uint64 // set-ups for numbers in contention
	Permitted uint64 // admitted with a permit
	Held      uint64 // delayed while a permit was requested
	Refused   uint64 // refused, as no line is free
	Plain     uint64 // admitted by the fallback share, as the keeper was unreachable
	Unshared  uint64 // refused, as the fallback share was used up
	Busy      uint64 // set-ups under a permit that ended busy
	Untracked uint64 // admitted without being followed, for lack of room
	BusyCold  uint64 // set-ups to numbers not in contention that ended busy
}

// NewFront returns a Front that passes events to inner, which is made with the same settings. It shares the table and
// the queue with the Part of the process. The session must report the ends of calls to it (session.EndHearer): a
// decider in front of it passes on HearsEnds and events.
func NewFront(cfg Config, set decide.Settings, inner Inner, table *Table, queue *Queue) *Front {
	return &Front{cfg: cfg.fill(), set: set, inner: inner, table: table, queue: queue, sketch: &sketch{}, calls: map[decide.CallID]*call{}}
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
	put("keeper_hot", c.Hot, false)
	put("keeper_permitted", c.Permitted, false)
	put("keeper_held", c.Held, false)
	put("keeper_refused", c.Refused, false)
	put("keeper_plain", c.Plain, false)
	put("keeper_unshared", c.Unshared, false)
	put("keeper_busy", c.Busy, false)
	put("keeper_busy_cold", c.BusyCold, false)
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
	if len(f.waiting) > 0 && now > f.looked {
		out = f.look(now, out)
	}
	switch e.Kind {
	case decide.Order:
		if e.Key == "" || len(e.Key) > maxKey {
			break
		}
		hash := hashOf(e.Key)
		f.sketch.touch(hash, now)
		if s := f.table.find(hash, e.Key); s != nil && f.calls[e.Call] == nil {
			return f.order(now, s, e, out)
		}
	case decide.Fired:
		if e.Token&frontToken != 0 {
			f.armed = false
			return f.arm(out)
		}
	case decide.Over:
		if c := f.calls[e.Call]; c != nil {
			f.release(e.Call, c)
		}
		return out
	case decide.Ended:
		return f.ended(now, e, out)
	case decide.Begun:
		if c := f.calls[e.Call]; c != nil && !c.stands {
			c.out, c.stands = false, true
			c.slot.calls.Add(1)
			if !c.plain {
				c.slot.began.Add(1)
			}
			f.changed(c.slot)
		}
	case decide.Gone:
		if c := f.calls[e.Call]; c != nil {
			if c.held { // the inner decider does not know the call
				c.held = false
				c.slot.held.Add(-1)
				delete(f.calls, e.Call)
				return out
			}
			out = f.forward(now, e, out)
			f.finished(e.Call, c)
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
				c.out = true
			}
		case decide.Refuse, decide.Fail:
			if c := f.calls[a.Call]; c != nil {
				f.finished(a.Call, c)
			}
		}
	}
	return out
}

// handleSetUp takes a set-up to a number in contention.
func (f *Front) order(now int64, s *slot, e decide.Event, out []decide.Action) []decide.Action {
	f.Counts.Hot++
	s.wanted.Add(1)
	if len(f.calls) >= maxTracked {
		f.Counts.Untracked++
		return f.forward(now, e, out)
	}
	hold := f.cfg.Hold
	if e.Class >= 0 && e.Class < len(f.set.Classes) {
		hold = min(hold, f.set.Classes[e.Class].Aim/2)
	}
	if e.Deadline > 0 {
		hold = min(hold, (e.Deadline-now)/2)
	}
	switch {
	case len(s.waiting) == 0 && s.take(now, &f.cfg.doctor):
		return f.pass(now, e, f.follow(e.Call, s, now), out)
	case now < s.noneUntil.Load():
		return f.refuse(s, e.Call, out)
	case s.lost.Load():
		f.changed(s) // permits are requested again, but nothing waits for them
		return f.share(now, e, s, out)
	case hold < lookAgain, len(s.waiting) >= maxWaiting:
		return f.refuse(s, e.Call, out)
	}
	c := f.follow(e.Call, s, now)
	c.order, c.held, c.until = e, true, now+hold
	s.held.Add(1)
	if !f.changed(s) {
		c.held = false
		s.held.Add(-1)
		delete(f.calls, e.Call)
		return f.share(now, e, s, out)
	}
	f.Counts.Held++
	if len(s.waiting) == 0 {
		f.waiting = append(f.waiting, s)
	}
	s.waiting = append(s.waiting, c)
	return f.arm(out)
}

// track follows a call until it is over.
func (f *Front) follow(id decide.CallID, s *slot, now int64) *call {
	c := &call{}
	if n := len(f.spare); n > 0 {
		c, f.spare = f.spare[n-1], f.spare[:n-1]
	}
	*c = call{slot: s, since: now}
	f.calls[id] = c
	return c
}

// admit lets a call through; its line counts as open already.
func (f *Front) pass(now int64, e decide.Event, c *call, out []decide.Action) []decide.Action {
	if !c.plain {
		f.Counts.Permitted++
	}
	f.changed(c.slot)
	return f.forward(now, e, out)
}

// refuse refuses a call for some time.
func (f *Front) refuse(s *slot, id decide.CallID, out []decide.Action) []decide.Action {
	f.Counts.Refused++
	s.refused.Add(1)
	return append(out, decide.Action{Kind: decide.Refuse, Call: id, Wait: f.stay(s)})
}

// retryAfter returns the time for which callers are told to stay away.
func (f *Front) stay(s *slot) int64 {
	if !f.set.RetryAdvice {
		return 0
	}
	return min(s.stay.Load(), f.set.MaxRetryAfter)
}

// admitFallback admits a call without a permit while the keeper is unreachable, within this process's fraction of the
// turnover share it was last told. It keeps the calls of all processes from reaching the offices at once when a
// keeper dies.
func (f *Front) share(now int64, e decide.Event, s *slot, out []decide.Action) []decide.Action {
	if s.filled == 0 {
		s.tokens, s.filled = 1, now
	}
	s.tokens = min(1, s.tokens+f.cfg.Share*float64(s.rate.Load())*1e-9*float64(now-s.filled))
	s.filled = now
	if s.tokens < 1 && !f.cfg.doctor.noShare {
		f.Counts.Unshared++
		return f.refuse(s, e.Call, out)
	}
	s.tokens--
	f.Counts.Plain++
	c := f.follow(e.Call, s, now)
	c.plain = true
	s.plain.Add(1)
	s.open.Add(1)
	return f.pass(now, e, c, out)
}

// processWaiting checks the set-ups that wait: permits go to the first in the queue.
func (f *Front) look(now int64, out []decide.Action) []decide.Action {
	f.looked = now
	left := f.waiting[:0]
	for _, s := range f.waiting {
		rest := s.waiting[:0]
		for i, c := range s.waiting {
			if !c.held { // its caller has gone
				continue
			}
			id := c.order.Call
			switch {
			case s.take(now, &f.cfg.doctor):
				f.let(c)
				out = f.pass(now, c.order, c, out)
			case now < s.noneUntil.Load():
				f.let(c)
				delete(f.calls, id)
				out = f.refuse(s, id, out)
			case now >= c.until || s.lost.Load():
				f.let(c)
				delete(f.calls, id)
				out = f.share(now, c.order, s, out)
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
	f.waiting = left
	return out
}

func (f *Front) let(c *call) {
	c.held = false
	c.slot.held.Add(-1)
}

// armTimer requests the next check while set-ups wait.
func (f *Front) arm(out []decide.Action) []decide.Action {
	if f.armed || len(f.waiting) == 0 {
		return out
	}
	f.armed = true
	return append(out, decide.Action{Kind: decide.Timer, Wait: lookAgain, Token: frontToken})
}

// handleEnd takes the end of an attempt. A number in contention that is busy is not attempted again: this is the
// call's final answer, as the router gives it when the budget for repeats is used up.
func (f *Front) ended(now int64, e decide.Event, out []decide.Action) []decide.Action {
	c := f.calls[e.Call]
	if c == nil || c.held || c.stands {
		if e.Busy && c == nil && e.Key != "" && len(e.Key) <= maxKey {
			f.Counts.BusyCold++
			f.ranOut(now, e.Key)
		}
		return f.forward(now, e, out)
	}
	c.out = false
	if e.Busy {
		if !c.plain {
			f.Counts.Busy++
			c.slot.busy.Add(1)
		}
		if !e.Final && !c.over {
			e.Final = true
			out = f.forward(now, e, out)
			out = append(out, decide.Action{Kind: decide.Fail, Call: e.Call, Wait: f.stay(c.slot)})
			f.release(e.Call, c)
			return out
		}
	}
	final := e.Final
	out = f.forward(now, e, out)
	if final {
		f.finished(e.Call, c)
	} else if c.over && !c.out {
		f.release(e.Call, c)
	}
	return out
}

// countBusy counts a busy end of a number that is not in the table.
func (f *Front) ranOut(now int64, key string) {
	hash := hashOf(key)
	if busy, orders := f.sketch.ranOut(hash, now); busy >= busySeen && f.table.find(hash, key) == nil {
		f.queue.push(report{kind: reportSeen, key: key, n: max(orders, busy)})
	}
}

// finish marks that a call has its final answer, or that its caller has gone. If no attempt is open, its line is
// free.
func (f *Front) finished(id decide.CallID, c *call) {
	c.over = true
	if !c.out && !c.stands {
		f.release(id, c)
	}
}

// release frees a call's line.
func (f *Front) release(id decide.CallID, c *call) {
	if f.calls[id] != c {
		return
	}
	delete(f.calls, id)
	s := c.slot
	if c.stands {
		s.calls.Add(-1)
	}
	if c.plain {
		s.plain.Add(-1)
	}
	s.ended.Add(1)
	s.open.Add(-1)
	f.changed(s)
	f.spare = append(f.spare, c)
}

// reportChange tells the Part that the values of a number have changed, once until the Part has read them; false: the
// queue is full.
func (f *Front) changed(s *slot) bool {
	if s.dirty.Swap(true) {
		return true
	}
	if f.queue.push(report{kind: reportChanged, slot: s}) {
		return true
	}
	s.dirty.Store(false)
	return false
}
