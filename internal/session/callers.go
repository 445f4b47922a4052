package session

import (
	"slices"
	"strconv"

	"pewterwheel/decide"
	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

func (s *Session) accepted(a Arrival) {
	if len(s.callers) >= s.maxCallers && !s.closeQuiet() {
		s.log.Warn("too many callers", "callers", len(s.callers))
		_ = a.Conn.Close() // no set-up was read from it
		return
	}
	s.Counters[state.CallersIn]++
	c := &state.Caller{Conn: a.Conn, Open: map[uint64]*state.Call{}, Quiet: s.now, Unsure: map[uint64]state.Ending{}}
	s.roles[a.Conn] = c
	s.callers = append(s.callers, c)
	for id, e := range inOrder(s.unsent) {
		delete(s.unsent, id)
		s.tellEnd(id, e.Cause, c)
	}
}

// closeQuiet makes room by closing the caller's connection that has had no open set-up for longest. Guards
// against running out of descriptors, of which the offices need theirs.
func (s *Session) closeQuiet() bool {
	var quiet *state.Caller
	for _, c := range s.callers {
		if len(c.Open) == 0 && len(c.In) == 0 && (quiet == nil || c.Quiet < quiet.Quiet) {
			quiet = c
		}
	}
	if quiet == nil {
		return false
	}
	s.drop(quiet.Conn, nil)
	return true
}

func (s *Session) callerLeft(caller *state.Caller) {
	s.callers = slices.DeleteFunc(s.callers, func(c *state.Caller) bool { return c == caller })
	for _, c := range inOrder(caller.Open) {
		s.callerGaveUp(c)
	}
	// A release written just before the close may not have been read: the next connection brings it again.
	for id, e := range inOrder(caller.Unsure) {
		if s.now-e.At <= unsureFor {
			s.tellEnd(id, e.Cause, nil)
		}
	}
	caller.Conn = nil
}

func (s *Session) fromCaller(from *state.Caller, m wire.Message, at int64) {
	switch m.Type {
	case wire.TypeSetUp:
		s.setUp(from, m, at)
	case wire.TypeRelease:
		s.callerReleased(from, m)
	case wire.TypeHeard:
		delete(from.Unsure, m.Call)
	case wire.TypeTest:
		s.Counters[state.TestsIn]++
		var passed byte = 1
		if s.stop != 0 {
			passed = 0
		}
		s.toCaller(from, wire.Message{Type: wire.TypeTested, Call: m.Call,
			Params: []wire.Param{{Code: wire.ParamCause, Value: []byte{passed}}}})
	case wire.TypeProgress, wire.TypeGroup, wire.TypeTested:
	default:
		s.Counters[state.BadIn]++
	}
}

// toCaller writes to a caller. What cannot be written is lost with the connection, whose end is told next.
func (s *Session) toCaller(to *state.Caller, m wire.Message) error {
	if to.Conn == nil {
		return errClosed
	}
	return s.send(to.Conn, m)
}

func (s *Session) setUp(from *state.Caller, m wire.Message, at int64) {
	s.Counters[state.SetUpsIn]++
	if s.calls[m.Call] != nil || s.stands[m.Call] != nil {
		// A second set-up under the id of a call that is open: the call has its one answer, this gets none.
		s.Counters[state.BadIn]++
		s.log.Warn("set-up under an id in use", "call", id(m.Call))
		return
	}
	up, err := wire.ReadSetUp(m)
	class, known := s.classes[up.Class]
	if err != nil || !known {
		s.Counters[state.BadIn]++
		s.Counters[state.FailuresOut]++
		s.log.Warn("set-up unreadable", "call", id(m.Call), "class", up.Class, "error", err)
		_ = s.toCaller(from, wire.ReleaseOf(m.Call, wire.CauseMissing))
		return
	}
	if len(s.calls) >= s.maxHeld {
		// Bounds memory; the settings name the number, past which no decision is asked for.
		s.Counters[state.RefusalsOut]++
		_ = s.toCaller(from, wire.ReleaseOf(m.Call, wire.CauseCongestion))
		return
	}
	// A timer may come a tick late. Guards against final answers that reach their callers just after these have
	// given up, and with them the time to come back: one call of twenty under load.
	c := &state.Call{ID: m.Call, From: from, SetUp: up, Deadline: at + up.Wait - wheelTick}
	if s.stop != 0 {
		c.Deadline = min(c.Deadline, s.lastAnswer())
	}
	s.calls[c.ID], from.Open[c.ID] = c, c
	delete(s.over, c.ID)
	s.event(decide.Event{Kind: decide.Order, Call: decide.CallID(c.ID), Class: class, Key: up.Number,
		Deadline: c.Deadline, Dest: up.Dest, Again: up.Again})
}

// callerReleased takes a give-up of an open set-up, or the end of a call that stands.
func (s *Session) callerReleased(from *state.Caller, m wire.Message) {
	if c := s.calls[m.Call]; c != nil && !c.Answered {
		s.Counters[state.GiveUpsIn]++
		s.callerGaveUp(c)
		return
	}
	s.Counters[state.ReleasesIn]++
	cause := m.Cause()
	if cause == 0 {
		cause = wire.CauseNormal
	}
	if st := s.stands[m.Call]; st != nil {
		s.over[m.Call] = s.now
		s.endStanding(st)
		s.endAt(st.Office, m.Call, cause)
	} else if _, known := s.over[m.Call]; !known {
		// A call of before our own start: any office may have it, and those that have not pass it over.
		s.over[m.Call] = s.now
		for _, o := range s.offices.All() {
			if o.State != decide.Removed {
				s.endAt(o, m.Call, cause)
			}
		}
	}
	_ = s.toCaller(from, wire.Message{Type: wire.TypeHeard, Call: m.Call})
}

// callerGaveUp ends a call whose caller has gone: no answer is owed, and an attempt has nobody to stand for.
func (s *Session) callerGaveUp(c *state.Call) {
	s.answered(c)
	s.event(decide.Event{Kind: decide.Gone, Call: decide.CallID(c.ID)})
	if c.Attempt != nil {
		s.giveUp(c.Attempt, decide.Cancelled)
	} else {
		s.forget(c)
	}
}

// answered notes that nothing more is owed to a call's caller.
func (s *Session) answered(c *state.Call) {
	c.Answered = true
	delete(c.From.Open, c.ID)
	if len(c.From.Open) == 0 {
		c.From.Quiet = s.now
	}
}

func (s *Session) forget(c *state.Call) {
	delete(s.calls, c.ID)
	s.over[c.ID] = s.now
}

// final gives a caller the one final answer of a call that does not stand, at once.
func (s *Session) final(a decide.Action, cause byte, counter state.Counter) {
	c := s.calls[uint64(a.Call)]
	if c == nil || c.Answered {
		return
	}
	s.Counters[counter]++
	m := wire.ReleaseOf(c.ID, cause)
	if a.Wait > 0 {
		m.Params = append(m.Params, wire.Text(wire.ParamStayAway, strconv.FormatInt((a.Wait+999)/1000, 10)))
	}
	_ = s.toCaller(c.From, m)
	s.answered(c)
	if c.Attempt == nil {
		s.forget(c)
	}
}

// tellEnd releases a call towards its callers: on the connection given, else on any, else on the next.
func (s *Session) tellEnd(call uint64, cause byte, to *state.Caller) {
	if to == nil || to.Conn == nil {
		if len(s.callers) == 0 {
			s.unsent[call] = state.Ending{Cause: cause, At: s.now}
			return
		}
		to = s.callers[len(s.callers)-1] // the newest is the least likely to be closing
	}
	s.Counters[state.ReleasesOut]++
	to.Unsure[call] = state.Ending{Cause: cause, At: s.now}
	_ = s.toCaller(to, wire.ReleaseOf(call, cause))
}

// id writes a call's id as the protocol does.
func id(call uint64) string {
	s := strconv.FormatUint(call, 16)
	return "0000000000000000"[len(s):] + s
}
