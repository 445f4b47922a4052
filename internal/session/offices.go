package session

import (
	"errors"

	"pewterwheel/decide"
	"pewterwheel/internal/delivery"
	"pewterwheel/internal/liveness"
	"pewterwheel/internal/pooling"
	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

var (
	errDialTimeout    = errors.New("connect timed out")
	errJournalSilent  = errors.New("no journal frame in time")
	errMalformed      = errors.New("malformed message")
	errOfficeSilent   = errors.New("office has gone silent")
	errPartialMessage = errors.New("message not complete in time")
	errBufferExceeded = errors.New("input buffer limit of the connection exceeded")
	errUnknownType    = errors.New("unknown message type")
	errIDInUse        = errors.New("set-up with an id already in use")
	errNoRequest      = errors.New("no request in time")
	errTooManyInvalid = errors.New("too many invalid messages")
	errIdle           = errors.New("connection is idle")
	errUnsentSetUps   = errors.New("cancelled or withdrawn set-ups are still unsent")
)

// EndObserver is a Decider that may need to be told of the end of each established call by an event of kind
// decide.CallEnded. A Decider that wraps others forwards it. A Decider that does not need ends gets no such events.
type EndObserver interface {
	ObservesEnds() bool
}

// reportCallOver tells the decider that an established call has ended, if it needs to know.
func (s *Session) reportCallOver(call uint64) {
	if s.endObserver != nil && s.endObserver.ObservesEnds() {
		s.queueEvent(decide.Event{Kind: decide.CallEnded, Call: decide.CallID(call)})
	}
}

// officeOutbox returns the buffer for messages to an office.
func (s *Session) officeOutbox(officeConn *state.OfficeConn) *state.Outbox {
	if len(officeConn.Outbox.Bytes) > maxOutbox {
		s.writeOffice(officeConn)
	}
	return s.outbox(officeConn, &officeConn.Outbox)
}

// sendOfficeRelease sends a release to an office if it is connected.
func (s *Session) sendOfficeRelease(officeConn *state.OfficeConn, call uint64, cause byte) {
	if officeConn.Conn != nil {
		box := s.officeOutbox(officeConn)
		box.Bytes = wire.AppendRelease(box.Bytes, call, cause, 0)
	}
}

// releaseAtOffice releases a call at an office, or cancels its set-up there, on this connection or the next.
func (s *Session) releaseAtOffice(officeConn *state.OfficeConn, call uint64, cause byte) {
	office := officeConn.To
	if office.State == decide.Removed {
		return
	}
	if s.pooled.connSelector != nil {
		officeConn = s.connForRelease(officeConn, call)
	}
	if len(office.PendingReleases) < maxPendingReleases {
		office.PendingReleases[call] = state.PendingRelease{Cause: cause, At: s.now, ConnNumber: officeConn.Number}
	}
	if officeConn.Conn != nil {
		s.sendOfficeRelease(officeConn, call, cause)
	} else {
		s.redialIfNeeded(office)
	}
}

func (s *Session) handleOfficeMessage(officeConn *state.OfficeConn, message wire.Message, at int64) {
	if message.Bad {
		// After an invalid parameter nothing further on this connection can be relied on.
		s.Counters[state.InvalidIn]++
		s.closeConn(officeConn.Conn, errMalformed)
		return
	}
	s.recordOfficeMessage(officeConn, message, at)
	switch message.Type {
	case wire.TypeAnswer:
		s.handleOfficeAnswer(officeConn, message, at)
	case wire.TypeRelease:
		s.handleOfficeRelease(officeConn, message, at)
	case wire.TypeHeard:
		if officeConn.To.PendingReleases[message.Call].RepeatAt != 0 {
			break // the release has to be repeated first
		}
		delete(officeConn.To.PendingReleases, message.Call)
		if s.pooled.connSelector != nil {
			s.releaseAcknowledged(officeConn, message.Call)
		}
	case wire.TypeGroup:
		// Arrives unrequested at regular intervals; the module weights its choice by the free lines.
		if s.reportsExceeded(officeConn.To) {
			break
		}
		officeConn.Received.Report(at, &s.reportRhythm)
		if officeConn.Number != 0 && officeConn.To.Conn != nil {
			break // the report also arrives on the main connection
		}
		if lines, reported := message.LinesInUse(); reported {
			s.responsibility.LinesInUse(&officeConn.To.Contact, lines, officeConn.Received.Opened)
			officeConn.To.Liveness.LinesInUse(at, lines, countEstablished(officeConn.To))
		}
		s.queueEvent(decide.Event{Kind: decide.ServerReport, Server: officeConn.To.ID, Outcome: decide.OK,
			Load: message.Load()})
	case wire.TypeProgress, wire.TypeTested:
	default:
		s.Counters[state.InvalidIn]++
	}
}

// reportsExceeded counts a report of an office, and reports whether it has sent more in this round than are of use. An office
// that reports at full speed would otherwise take all time and memory for them.
func (s *Session) reportsExceeded(office *state.Office) bool {
	if round := s.Counters[state.Rounds]; office.ReportRound != round {
		office.ReportRound = round
		office.ReportsInRound = 0
	}
	office.ReportsInRound++
	return office.ReportsInRound > maxReportsPerRound
}

func (s *Session) handleOfficeAnswer(officeConn *state.OfficeConn, message wire.Message, arrivedAt int64) {
	office, attempt := officeConn.To, s.outstandingAttempt(officeConn, message.Call)
	if attempt == nil {
		_, ended := office.PendingReleases[message.Call]
		if established := s.established[message.Call]; !ended && (established == nil || established.OfficeConn.To != office) {
			s.Counters[state.InvalidIn]++
			s.releaseAtOffice(officeConn, message.Call, wire.CauseNormal) // it is established there without a caller
		}
		return
	}
	description, _ := message.Get(wire.ParamDescription)
	if len(description) == 0 {
		// The call is established there, but without a usable description. Passing it on would report a call
		// as served that no office set up. officeDisconnected releases it on the next connection.
		s.Counters[state.InvalidIn]++
		s.closeConn(officeConn.Conn, errMalformed)
		return
	}
	s.Counters[state.AnswersReceived]++
	call, officeConn := attempt.Call, attempt.OfficeConn
	delete(officeConn.Outstanding, call.ID)
	call.Attempt = nil
	s.queueEvent(decide.Event{Kind: decide.SetUpCompleted, Call: decide.CallID(call.ID), Server: office.ID,
		Attempt: attempt.Number,
		Elapsed: max(0, arrivedAt-attempt.Since)})
	if call.Answered {
		s.forgetCall(call)
		s.reportCallOver(call.ID)
		s.releaseAtOffice(officeConn, call.ID, wire.CauseNormal)
		s.freePooledConn(officeConn, call.ID)
		return
	}
	s.markAnswered(call)
	s.forgetCall(call)
	if !s.sendAnswer(call.From, call.ID, description) {
		s.reportCallOver(call.ID)
		s.releaseAtOffice(officeConn, call.ID, wire.CauseNormal) // no caller knows that it is established
		s.freePooledConn(officeConn, call.ID)
		return
	}
	s.Counters[state.AnswersOut]++
	s.answerCounts[s.classIndex[call.SetUp.Class]].Completed++
	s.trustCaller(call.From)
	s.endedCalls.Remove(call.ID)
	st := s.callPool.NewEstablished()
	*st = state.EstablishedCall{ID: call.ID, OfficeConn: officeConn, From: call.From, Since: s.now,
		Class: s.classIndex[call.SetUp.Class]}
	s.established[call.ID], office.Established[call.ID] = st, st
	call.From.EstablishedCount++
	if s.pooled.connSelector != nil {
		s.markEstablished(officeConn, call.ID, description)
	}
}

// answerUndelivered ends a call whose answer did not reach its caller.
func (s *Session) answerUndelivered(call uint64) {
	if established := s.established[call]; established != nil {
		s.Counters[state.AnswersOut]--
		officeConn := established.OfficeConn
		s.endedCalls.Add(call, established.From, s.now)
		s.endEstablished(established)
		s.releaseAtOffice(officeConn, call, wire.CauseNormal)
	}
}

// releaseOutcomes maps the cause of a release that precedes the answer to the attempt's outcome and its
// counter.
var releaseOutcomes = map[byte]struct {
	outcome decide.Outcome
	counter state.Counter
}{wire.CauseFull: {decide.Rejected, state.FullReceived}, wire.CauseMoot: {decide.NotSent, state.Moot},

	wire.CauseCut: {decide.Cut, state.Resets}}

func (s *Session) handleOfficeRelease(officeConn *state.OfficeConn, message wire.Message, arrivedAt int64) {
	office, cause := officeConn.To, message.Cause()
	if s.acknowledgesRelease(office, message.Call) {
		ackOn := officeConn
		if s.pooled.connSelector != nil {
			ackOn = s.connForAck(officeConn, message.Call)
		}
		s.sendAck(ackOn, message.Call)
	}
	if attempt := s.outstandingAttempt(officeConn, message.Call); attempt != nil {
		ended, ok := releaseOutcomes[cause]
		if !ok {
			ended.outcome, ended.counter = decide.Failed, state.ErrorsReceived
		}
		s.Counters[ended.counter]++
		if s.pooled.connSelector != nil {
			s.observe(pooling.SetUpRefused, message.Call, cause, nil)
		}
		s.endAttemptWith(attempt, ended.outcome, message, arrivedAt)
		return
	}
	if pending, isPending := office.PendingReleases[message.Call]; isPending {
		if pending.Unresponsive {
			s.Counters[state.ReleasedEarly]++
			office.Liveness.ReleasedCallEnded(arrivedAt)
		}
		delete(office.PendingReleases, message.Call) // it crossed this side's release
		if s.pooled.connSelector != nil {
			s.releaseAcknowledged(officeConn, message.Call)
		}
		return
	}
	var from *state.Caller // nil: the call is not known, or not established
	if established := s.established[message.Call]; established != nil {
		if established.OfficeConn.To != office {
			return // it was cancelled here and is established elsewhere; only its end there counts
		}
		office.Liveness.CallEnded(arrivedAt, liveness.Call{Since: established.Since, Class: established.Class},
			officeConn.Received.Opened)
		s.callDurations.EndedByOffice(established.Class, s.now-established.Since)
		if s.pooled.connSelector != nil {
			s.observe(pooling.EndedByOffice, message.Call, cause, nil)
		}
		from = established.From
		s.endEstablished(established)
		s.releaseToCaller(releaseBy(officeConn, message), from)
	} else if !s.endedCalls.Has(message.Call) && s.calls[message.Call] == nil {
		// bounds memory; no office has so many at once
		if office.UnknownReleases++; office.UnknownReleases > maxPendingReleases {
			s.Counters[state.InvalidIn]++
			return
		}
		s.responsibility.EarlierCallSeen(s.now)
		s.releaseToCaller(releaseBy(officeConn, message), nil) // a call of a previous process
	}
	s.endedCalls.Add(message.Call, from, s.now)
}

// releaseBy returns the release that an office has sent, for the call's client.
func releaseBy(officeConn *state.OfficeConn, message wire.Message) delivery.Release {
	return delivery.Release{Call: message.Call, Cause: message.Cause(), Office: officeConn.To.ID,
		OfficeConn: officeConn.Number}
}

func (s *Session) endEstablished(established *state.EstablishedCall) {
	s.reportCallOver(established.ID)
	delete(s.established, established.ID)
	established.From.EstablishedCount--
	delete(established.OfficeConn.To.Established, established.ID)
	if s.pooled.connSelector != nil {
		s.markEnded(established)
	}
	s.callPool.ReturnEstablished(established)
}

// cutEstablishedBefore releases to their callers the calls established before a given time at an office that
// no longer exists.
func (s *Session) cutEstablishedBefore(office *state.Office, before int64) {
	for _, established := range inKeyOrder(office.Established) {
		if established.Since < before {
			s.cutEstablished(established)
		}
	}
}

// cutEstablished releases a call to its caller with cause cut.
func (s *Session) cutEstablished(established *state.EstablishedCall) {
	call, from := established.ID, established.From
	s.endedCalls.Add(call, from, s.now)
	s.endEstablished(established)
	s.releaseToCaller(delivery.Release{Call: call, Cause: wire.CauseCut}, from)
}
