package session

import (
	"pewterwheel/decide"
	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

// startAttempt sends a call's set-up to an office. The connection is opened first if there is none.
func (s *Session) startAttempt(action decide.Action) {
	call, office := s.calls[uint64(action.Call)], s.offices.Get(action.Server)
	if call == nil {
		// The caller cancelled in the same step in which the module sent. The attempt must be reported as
		// ended, or the module would count it as open for ever under the server's limit. It is reported as
		// cancelled rather than unsent, because after an unsent attempt the module avoids the server for a
		// while.
		s.Counters[state.Moot]++
		s.queueEvent(decide.Event{Kind: decide.AttemptEnded, Call: action.Call, Server: action.Server,
			Outcome: decide.Cancelled, AnswerGiven: true,
			Load: decide.NoLoad()})
		return
	}
	if n := call.Attempts; office == nil || call.Answered || call.Attempt != nil || s.maxTries > 0 && n >= s.maxTries ||
		s.now >= call.Deadline {
		call.Attempts++
		s.Counters[state.Moot]++
		s.queueEvent(decide.Event{Kind: decide.AttemptEnded, Call: action.Call, Server: action.Server, Attempt: n,
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

// sendOrQueue writes an attempt's set-up to its connection. It queues the set-up while the connection is not
// up or the caller's input is still unread.
func (s *Session) sendOrQueue(attempt *state.Attempt) {
	officeConn, from := attempt.OfficeConn, attempt.Call.From
	attempt.Queued = true
	switch {
	case attempt.Call.Answered: // where attempts may not be cancelled, one outlives its call and caller
		s.cancelAttempt(attempt, decide.Cancelled)
		return
	case from.Conn.PeerClosed():
		s.callerCancelled(attempt.Call) // the end of the connection is reported next
		return
	case attempt.NotAfter != 0 && s.now >= attempt.NotAfter:
		s.cancelAttempt(attempt, decide.TimedOut)
		return
	}
	if officeConn.Conn != nil && !officeConn.Conn.Unsent() && !s.mayHaveCancelled(from) {
		s.sendSetUp(attempt)
		return
	}
	officeConn.Queue = append(officeConn.Queue, attempt)
	if officeConn == officeConn.To.Overflow {
		s.waitForConn(attempt)
		return
	}
	s.connect(officeConn)
}

// mayHaveCancelled reports whether a caller may have cancelled its calls in input that is still unread because
// this process was paused a moment ago.
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
	// An earlier attempt of the same call may have been cancelled there without acknowledgment. Dropping its
	// release keeps the end of the new call from being taken for the answer to that release.
	officeConn := attempt.OfficeConn
	attempt.EarlierRelease, attempt.EarlierReleasePending = officeConn.To.PendingReleases[attempt.Call.ID]
	delete(officeConn.To.PendingReleases, attempt.Call.ID)
	officeConn.Outstanding[attempt.Call.ID] = attempt
	box := s.officeOutbox(officeConn)
	out, err := attempt.Call.SetUp.AppendOnward(box.Bytes, attempt.Call.ID, attempt.Call.Deadline-s.now)
	if err != nil {
		attempt.Failed = true // the set-up is too long for any office
		return
	}
	box.Bytes = out
	box.Attempts = append(box.Attempts, state.AttemptRef{Call: attempt.Call.ID, Number: attempt.Number})
}

// endAttempt removes an attempt from its office and reports the outcome to the module.
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
	if call.Answered {
		s.forgetCall(call)
	}
}

// cancelAttempt ends an attempt from this side and notifies the office. An answer that crosses the
// notification is ignored.
func (s *Session) cancelAttempt(attempt *state.Attempt, outcome decide.Outcome) {
	if !attempt.Queued {
		attempt.OfficeConn.To.Liveness.SetUpCancelled(s.now, attempt.Since)
	}
	if isUnsent(attempt.OfficeConn, attempt) {
		s.closeConn(attempt.OfficeConn.Conn, errUnsentSetUps) // otherwise the set-up would begin once the office reads again
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

// recordSentTime keeps the time at which a cancelled set-up was sent, so that a late answer shows the office's
// delay.
func (s *Session) recordSentTime(attempt *state.Attempt) {
	office := attempt.OfficeConn.To
	if ending, kept := office.PendingReleases[attempt.Call.ID]; kept {
		ending.SetUpSent = attempt.Since
		office.PendingReleases[attempt.Call.ID] = ending
	}
}

// isUnsent reports whether a set-up, or part of it, may still be buffered in this process.
func isUnsent(officeConn *state.OfficeConn, attempt *state.Attempt) bool {
	return attempt.PartlySent && !attempt.Queued && officeConn.Conn != nil && officeConn.Conn.Unsent()
}

// withdrawQueued ensures that no further set-up leaves for an office that takes no new calls.
func (s *Session) withdrawQueued(officeConn *state.OfficeConn) {
	s.failQueued(officeConn)
	for _, attempt := range inKeyOrder(officeConn.Outstanding) {
		if isUnsent(officeConn, attempt) {
			s.closeConn(officeConn.Conn, errUnsentSetUps)
			return
		}
	}
}
