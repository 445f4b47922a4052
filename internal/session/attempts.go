package session

import (
	"pewterwheel/decide"
	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

// attempt sends a call's set-up to an office, over a connection that is opened first if there is none.
func (s *Session) startAttempt(action decide.Action) {
	call, office := s.calls[uint64(action.Call)], s.offices.Get(action.Server)
	if call == nil {
		// The caller gave up in the very step in which the module sent. Guards against a set-up that the module
		// counts as open for ever: each one takes a place under the server's limit. It is called off and not
		// unsent, for which the module would leave the server alone for a while.
		s.Counters[state.Moot]++
		s.queueEvent(decide.Event{Kind: decide.Ended, Call: action.Call, Server: action.Server, Outcome: decide.Cancelled, Final: true,
			Load: decide.NoLoad()})
		return
	}
	if n := call.Sends; office == nil || call.Answered || call.Attempt != nil || s.maxTries > 0 && n >= s.maxTries ||
		s.now >= call.Deadline {
		call.Sends++
		s.Counters[state.Moot]++
		s.queueEvent(decide.Event{Kind: decide.Ended, Call: action.Call, Server: action.Server, Attempt: n,
			Outcome: decide.Unsent, Final: call.Answered, Load: decide.NoLoad()})
		return
	}
	lane := &office.Lane
	if s.lanes.laner != nil {
		lane = s.laneFor(call, office)
	}
	attempt := call.Try(lane, s.now)
	call.Attempt, attempt.Until = attempt, action.Until
	s.setTimer(call.Deadline, state.Timer{Kind: state.TimerAttempt, ID: call.ID, N: int32(attempt.N)})
	if action.Until != 0 {
		s.setTimer(action.Until, state.Timer{Kind: state.TimerAttempt, ID: call.ID, N: int32(attempt.N)})
	}
	s.sendOrQueue(attempt)
}

// putOn writes an attempt's set-up to its connection, or lets it wait for that, and for what its caller has said meanwhile.
func (s *Session) sendOrQueue(attempt *state.Attempt) {
	lane, from := attempt.On, attempt.Call.From
	attempt.Queued = true
	switch {
	case attempt.Call.Answered: // where attempts may not be called off it outlives its call, and its caller's connection
		s.cancelAttempt(attempt, decide.Cancelled)
		return
	case from.Conn.Gone():
		s.callerCancelled(attempt.Call) // its end is told next
		return
	case attempt.Until != 0 && s.now >= attempt.Until:
		s.cancelAttempt(attempt, decide.TimedOut)
		return
	}
	if lane.Conn != nil && !lane.Conn.Unsent() && !s.mayHaveCancelled(from) {
		s.sendSetUp(attempt)
		return
	}
	lane.Queue = append(lane.Queue, attempt)
	if lane == lane.To.Room {
		s.waitForLane(attempt)
		return
	}
	s.connect(lane)
}

// unread tells whether a caller may have given up what it asked for, in words that were not read yet, because this process
// has just stood still.
func (s *Session) mayHaveCancelled(caller *state.Caller) bool {
	return s.pauseEnded != 0 && s.now-s.pauseEnded < 2*watchInterval && caller.Conn.Unread()
}

// unqueue writes the set-ups that wait for a connection, as far as they need not wait any more.
func (s *Session) flushQueue(lane *state.Lane) {
	queue := lane.Queue
	lane.Queue = nil
	for _, attempt := range queue {
		s.sendOrQueue(attempt)
	}
}

// put writes an attempt's set-up to its office.
func (s *Session) sendSetUp(attempt *state.Attempt) {
	attempt.Queued = false
	// An earlier attempt there may have been given up unheard. Guards against taking the end of the call that
	// stands for an answer to that.
	lane := attempt.On
	attempt.Over, attempt.Unheard = lane.To.Ended[attempt.Call.ID]
	delete(lane.To.Ended, attempt.Call.ID)
	lane.Out[attempt.Call.ID] = attempt
	box := s.officeOutbox(lane)
	out, err := attempt.Call.SetUp.AppendOnward(box.Bytes, attempt.Call.ID, attempt.Call.Deadline-s.now)
	if err != nil {
		attempt.Failed = true // it is too long for any office
		return
	}
	box.Bytes = out
	box.Sent = append(box.Sent, state.Batched{Call: attempt.Call.ID, N: attempt.N})
}

// ended takes an attempt that is over off its office and tells the module how it ended.
func (s *Session) endAttempt(attempt *state.Attempt, outcome decide.Outcome) {
	s.endAttemptWith(attempt, outcome, wire.Message{}, s.now)
}

// endedWith also tells what the office said of itself, and when its message came.
func (s *Session) endAttemptWith(attempt *state.Attempt, outcome decide.Outcome, message wire.Message, arrivedAt int64) {
	call := attempt.Call
	delete(attempt.On.Out, call.ID)
	if attempt.On.Number != 0 {
		s.freeLane(attempt.On, call.ID)
	}
	call.Attempt = nil
	event := decide.Event{Kind: decide.Ended, Call: decide.CallID(call.ID), Server: attempt.On.To.ID, Attempt: attempt.N,
		Took: max(0, arrivedAt-attempt.Since), Outcome: outcome, Final: call.Answered, Full: message.Overload(), Load: message.Load()}
	if outcome == decide.Failed && message.Cause() == wire.CauseBusy {
		event.Busy, event.Key = true, call.SetUp.Number
	}
	s.queueEvent(event)
	if call.Answered {
		s.forgetCall(call)
	}
}

// giveUp ends an attempt from our side. The office is told; an answer that crosses this finds nobody.
func (s *Session) cancelAttempt(attempt *state.Attempt, outcome decide.Outcome) {
	if !attempt.Queued {
		attempt.On.To.Liveness.GivenUp(s.now, attempt.Since)
	}
	if isUnsent(attempt.On, attempt) {
		s.closeConn(attempt.On.Conn, errUnsentSetUps) // else it would begin there once the office reads again; it ends with the connection
		return
	}
	if attempt.Queued {
		queue := attempt.On.Queue
		for i := range queue {
			if queue[i] == attempt {
				attempt.On.Queue = append(queue[:i:i], queue[i+1:]...)
				break
			}
		}
	} else {
		s.releaseAtOffice(attempt.On, attempt.Call.ID, wire.CauseNormal)
		s.recordSentTime(attempt)
	}
	s.endAttempt(attempt, outcome)
}

// keepAsked keeps when a set-up was sent that was given up: a late answer tells how long it waited there.
func (s *Session) recordSentTime(attempt *state.Attempt) {
	office := attempt.On.To
	if ending, kept := office.Ended[attempt.Call.ID]; kept {
		ending.Asked = attempt.Since
		office.Ended[attempt.Call.ID] = ending
	}
}

// stuckOn tells whether a set-up, or a part of it, may still wait in this process to be taken by the system.
func isUnsent(lane *state.Lane, attempt *state.Attempt) bool {
	return attempt.Stuck && !attempt.Queued && lane.Conn != nil && lane.Conn.Unsent()
}

// takeBack sees to it that nothing more leaves for an office at which nothing new may begin.
func (s *Session) withdrawQueued(lane *state.Lane) {
	s.failQueued(lane)
	for _, attempt := range inKeyOrder(lane.Out) {
		if isUnsent(lane, attempt) {
			s.closeConn(lane.Conn, errUnsentSetUps)
			return
		}
	}
}
