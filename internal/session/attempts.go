package session

import (
	"pewterwheel/decide"
	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

// startAttempt carries out the decider's action to send a call's set-up to an office. The connection is
// opened first if there is none.
func (s *Session) startAttempt(action decide.Action) {
	call, office := s.calls[uint64(action.Call)], s.offices.Get(action.Server)
	if call == nil {
		// The caller cancelled in the same step in which the decider chose to send. The attempt must be reported
		// as ended, or the decider would count it as open at the office for ever. It is reported as Cancelled
		// rather than NotSent, because after NotSent the decider avoids the office for a while.
		s.Counters[state.Moot]++
		s.queueEvent(decide.Event{Kind: decide.AttemptEnded, Call: action.Call, Server: action.Server,
			Outcome: decide.Cancelled, AnswerGiven: true,
			Load: decide.NoLoad()})
		return
	}
	if number := call.Attempts; office == nil || call.Answered || call.Attempt != nil || s.maxTries > 0 && number >= s.maxTries ||
		s.now >= call.Deadline { // the action has been overtaken: NotSent proves that the attempt never ran
		call.Attempts++
		s.Counters[state.Moot]++
		s.queueEvent(decide.Event{Kind: decide.AttemptEnded, Call: action.Call, Server: action.Server, Attempt: number,
			Outcome: decide.NotSent, AnswerGiven: call.Answered, Load: decide.NoLoad()})
		return
	}
	officeConn := &office.OfficeConn
	if s.pooled.connSelector != nil {
		officeConn = s.connForSetUp(call, office)
	}
	attempt := call.NewAttempt(officeConn, s.now)
	call.Attempt, attempt.NotAfter = attempt, action.SendBy
	s.setTimer(call.Deadline, state.Timer{Kind: state.TimerAttempt, ID: call.ID, N: int32(attempt.Number)})
	if action.SendBy != 0 {
		s.setTimer(action.SendBy, state.Timer{Kind: state.TimerAttempt, ID: call.ID, N: int32(attempt.Number)})
	}
	s.sendOrQueue(attempt)
}

// sendOrQueue writes an attempt's set-up to its connection. It queues the set-up while the connection is not up or
// holds unsent data, or the caller may have cancelled in input that is still unread. An attempt that has become
// useless ends here instead.
func (s *Session) sendOrQueue(attempt *state.Attempt) {
	officeConn, caller := attempt.OfficeConn, attempt.Call.From
	attempt.Queued = true
	switch {
	case attempt.Call.Answered: // an attempt that may not be cancelled stays open after its call was answered
		s.cancelAttempt(attempt, decide.Cancelled)
		return
	case caller.Conn.PeerClosed():
		s.callerCancelled(attempt.Call) // the caller's connection has ended, which is reported to the loop next
		return
	case attempt.NotAfter != 0 && s.now >= attempt.NotAfter:
		s.cancelAttempt(attempt, decide.TimedOut)
		return
	}
	if officeConn.Conn != nil && !officeConn.Conn.Unsent() && !s.mayHaveCancelled(caller) {
		s.sendSetUp(attempt)
		return
	}
	officeConn.Queue = append(officeConn.Queue, attempt)
	if officeConn == officeConn.To.Overflow { // not a connection: the attempt waits for a pooled one to become free
		s.waitForConn(attempt)
		return
	}
	s.connect(officeConn)
}

// mayHaveCancelled reports whether a caller may have cancelled its calls while this process was paused: the pause
// ended a moment ago, and input of the caller is still unread.
func (s *Session) mayHaveCancelled(caller *state.Caller) bool {
	return s.pauseEnded != 0 && s.now-s.pauseEnded < 2*watchInterval && caller.Conn.Unread()
}

// flushQueue sends the set-ups queued for a connection, as far as they no longer have to wait.
func (s *Session) flushQueue(officeConn *state.OfficeConn) {
	queue := officeConn.Queue
	officeConn.Queue = nil
	for _, attempt := range queue {
		s.sendOrQueue(attempt)
	}
}

// sendSetUp writes an attempt's set-up to its office.
func (s *Session) sendSetUp(attempt *state.Attempt) {
	attempt.Queued = false
	// An earlier attempt of the same call may have been cancelled at this office, and its release not acknowledged
	// yet. That release is no longer pending from here on, or the end of the new attempt would be taken for its
	// acknowledgement. The attempt keeps it, to be restored if the set-up cannot be written.
	officeConn := attempt.OfficeConn
	attempt.EarlierRelease, attempt.EarlierReleasePending = officeConn.To.PendingReleases[attempt.Call.ID]
	delete(officeConn.To.PendingReleases, attempt.Call.ID)
	officeConn.Outstanding[attempt.Call.ID] = attempt
	box := s.officeOutbox(officeConn)
	out, err := attempt.Call.SetUp.AppendOnward(box.Bytes, attempt.Call.ID, attempt.Call.Deadline-s.now)
	if err != nil {
		// The set-up is too long for any office. Nothing is written; the attempt ends at the call's deadline at the
		// latest.
		attempt.Failed = true
		return
	}
	box.Bytes = out
	box.Attempts = append(box.Attempts, state.AttemptRef{Call: attempt.Call.ID, Number: attempt.Number})
}

// endAttempt removes an attempt from its office and reports the outcome to the decider.
func (s *Session) endAttempt(attempt *state.Attempt, outcome decide.Outcome) {
	s.endAttemptWith(attempt, outcome, wire.Message{}, s.now)
}

// endAttemptWith is endAttempt with the office's last message and the time at which it arrived.
func (s *Session) endAttemptWith(attempt *state.Attempt, outcome decide.Outcome, message wire.Message,
	arrivedAt int64) {
	call := attempt.Call
	delete(attempt.OfficeConn.Outstanding, call.ID)
	if attempt.OfficeConn.Number != 0 {
		s.freePooledConn(attempt.OfficeConn, call.ID)
	}
	call.Attempt = nil
	event := decide.Event{Kind: decide.AttemptEnded, Call: decide.CallID(call.ID), Server: attempt.OfficeConn.To.ID,
		Attempt: attempt.Number,
		Elapsed: max(0, arrivedAt-attempt.Since), Outcome: outcome, AnswerGiven: call.Answered,
		ProcessorFull: message.Overload(), Load: message.Load()}
	if outcome == decide.Failed && message.Cause() == wire.CauseBusy {
		event.NumberBusy, event.Key = true, call.SetUp.Number
	}
	s.queueEvent(event)
	if call.Answered { // the call was kept only for this attempt
		s.forgetCall(call)
	}
}

// cancelAttempt ends an attempt from this side and notifies the office. An answer that crosses the
// notification is ignored.
func (s *Session) cancelAttempt(attempt *state.Attempt, outcome decide.Outcome) {
	if !attempt.Queued {
		attempt.OfficeConn.To.Liveness.SetUpCancelled(s.now, attempt.Since)
	}
	if mayBeBuffered(attempt.OfficeConn, attempt) {
		// Otherwise the office would begin the set-up once it reads again. The attempt ends with the connection.
		s.closeConn(attempt.OfficeConn.Conn, errUnsentSetUps)
		return
	}
	if attempt.Queued {
		queue := attempt.OfficeConn.Queue
		for i := range queue {
			if queue[i] == attempt {
				attempt.OfficeConn.Queue = append(queue[:i:i], queue[i+1:]...)
				break
			}
		}
	} else {
		s.releaseAtOffice(attempt.OfficeConn, attempt.Call.ID, wire.CauseNormal)
		s.recordSentTime(attempt)
	}
	s.endAttempt(attempt, outcome)
}

// recordSentTime keeps the time at which a cancelled set-up was sent with its pending release, so that an answer that
// still arrives shows how long the office took.
func (s *Session) recordSentTime(attempt *state.Attempt) {
	office := attempt.OfficeConn.To
	if release, kept := office.PendingReleases[attempt.Call.ID]; kept {
		release.SetUpSent = attempt.Since
		office.PendingReleases[attempt.Call.ID] = release
	}
}

// mayBeBuffered reports whether a set-up, or part of it, may still be in the connection's send buffer, and not have
// reached the office.
func mayBeBuffered(officeConn *state.OfficeConn, attempt *state.Attempt) bool {
	return attempt.PartlySent && !attempt.Queued && officeConn.Conn != nil && officeConn.Conn.Unsent()
}

// withdrawQueued ensures that no further set-up leaves on a connection to an office that takes no new calls. Queued
// set-ups fail; if one that was written may still be buffered, the connection is closed.
func (s *Session) withdrawQueued(officeConn *state.OfficeConn) {
	s.failQueued(officeConn)
	for _, attempt := range inKeyOrder(officeConn.Outstanding) {
		if mayBeBuffered(officeConn, attempt) {
			s.closeConn(officeConn.Conn, errUnsentSetUps)
			return
		}
	}
}
