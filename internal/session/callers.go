package session

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"

	"pewterwheel/decide"
	"pewterwheel/internal/admit"
	"pewterwheel/internal/delivery"
	"pewterwheel/internal/pooling"
	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

func (s *Session) callerAccepted(arrival Arrival) {
	if len(s.callers) >= s.callerLimit() && !s.closeIdleCaller() {
		s.Counters[state.CallersClosed]++
		s.log.Warn("too many callers", "callers", len(s.callers))
		_ = arrival.Conn.Close() // no set-up was read from it
		return
	}
	s.Counters[state.CallersIn]++
	caller := &state.Caller{Conn: arrival.Conn, Since: s.now, Open: map[uint64]*state.Call{}, IdleSince: s.now,
		Delivery: s.releases.Open(s.now)}
	s.connOwners[arrival.Conn] = caller
	s.callers = append(s.callers, caller)
	if s.pooled.connSelector != nil {
		s.registerCaller(caller)
	}
}

// markActive notes that a connection has asked for a call or ended one, and sends it the retained releases.
func (s *Session) markActive(caller *state.Caller) {
	caller.LastSetUp = s.now
	caller.Delivery.Requested()
	s.sendRetained(caller)
}

// trustCaller marks a connection as that of a well-behaved caller.
func (s *Session) trustCaller(caller *state.Caller) {
	if !caller.Trusted {
		caller.Trusted = true
		caller.Conn.MarkTrusted()
	}
}

// closeIdleCaller makes room by closing a caller's connection with no open set-up: first the one that has been
// idle longest among untrusted ones, then the longest idle of the trusted ones, and one that has just
// connected only if there is no other. It keeps descriptors free for the offices, and prevents hundreds of
// silent connections from displacing well-behaved callers.
func (s *Session) closeIdleCaller() bool {
	var idle *state.Caller
	rank := func(caller *state.Caller) int {
		switch {
		case s.now-caller.Since < newCallerGrace:
			return 2
		case caller.Trusted:
			return 1
		}
		return 0
	}
	for _, caller := range s.callers {
		if len(caller.Open) > 0 || idle != nil &&
			cmp.Or(cmp.Compare(rank(idle), rank(caller)), cmp.Compare(idle.IdleSince, caller.IdleSince)) <= 0 {
			continue
		}
		// A caller that has not read an answer for so long has most likely vanished.
		if !caller.Conn.Pending() || s.now-caller.IdleSince > unreadAnswerTimeout && !caller.Conn.Unread() {
			idle = caller
		}
	}
	if idle == nil {
		return false
	}
	s.closeConn(idle.Conn, nil)
	return true
}

// checkCallers ends connections that have requested nothing since they were accepted, or whose message stays
// incomplete. Clients that are silent, send an incomplete message or cancel every call would otherwise hold a
// descriptor each. A caller with no open set-up loses nothing, unless the rest of its message has arrived and
// is still unread.
func (s *Session) checkCallers() {
	for _, caller := range s.snapshotCallers() {
		switch {
		case len(caller.Buffer) > 0 && s.now-caller.PartialSince >= callerMessageTimeout:
			if !caller.Conn.Pending() {
				s.disconnectCaller(caller, errPartialMessage)
			}
		case !caller.Replied && len(caller.Open) == 0 && s.now-caller.Since >= callerMessageTimeout && !caller.Conn.Pending():
			s.disconnectCaller(caller, errNoRequest)
		}
	}
}

// snapshotCallers returns the current callers, including those that leave during the iteration. The slice is
// valid until the next call.
func (s *Session) snapshotCallers() []*state.Caller {
	clear(s.callerScratch)
	s.callerScratch = append(s.callerScratch[:0], s.callers...)
	return s.callerScratch
}

// disconnectCaller ends a connection that violates the protocol. Its open set-ups get their final answer
// first, so that no call is established for such a client.
func (s *Session) disconnectCaller(caller *state.Caller, err error) {
	if caller.Conn == nil {
		return // already disconnected
	}
	s.Counters[state.CallersClosed]++
	s.log.Debug("disconnecting caller", "open", len(caller.Open), "error", err)
	for _, call := range inKeyOrder(caller.Open) {
		s.failCall(call)
	}
	s.closeConn(caller.Conn, err)
}

func (s *Session) callerDisconnected(caller *state.Caller, err error) {
	s.callers = slices.DeleteFunc(s.callers, func(c *state.Caller) bool { return c == caller })
	for _, call := range inKeyOrder(caller.Open) {
		s.callerCancelled(call)
	}
	orderly := errors.Is(err, io.EOF) && !caller.Conn.Unsent()
	s.releases.Close(&caller.Delivery, orderly, s.now)
	caller.Conn = nil
	if s.pooled.connSelector != nil {
		s.pooled.connSelector.Closed(s.now, pooling.ClientID(caller.Client), pooling.SessionID(caller.Session))
	}
}

func (s *Session) handleCallerMessage(caller *state.Caller, message wire.Message, at int64) {
	switch message.Type {
	case wire.TypeSetUp:
		s.handleSetUp(caller, message, at)
	case wire.TypeRelease:
		s.handleCallerRelease(caller, message)
	case wire.TypeHeard:
		if s.releases.Acknowledged(&caller.Delivery, message.Call) && caller.LastSetUp != 0 {
			s.trustCaller(caller)
		}
	case wire.TypeTest:
		s.Counters[state.TestsIn]++
		caller.Delivery.Tested()
		var passed byte = 1
		if s.shutdownSince != 0 || s.drainingSince != 0 {
			passed = 0
		}
		if box := s.callerOutbox(caller); box != nil {
			caller.Replied = true
			box.Bytes = wire.AppendTested(box.Bytes, message.Call, passed)
		}
	case wire.TypeProgress, wire.TypeGroup, wire.TypeTested:
	default:
		s.Counters[state.InvalidIn]++
		s.disconnectCaller(caller, errUnknownType)
	}
}

// callerOutbox returns the buffer for messages to a caller, or nil if the caller has disconnected. Messages
// that can't be written are lost with the connection, whose end is reported next.
func (s *Session) callerOutbox(caller *state.Caller) *state.Outbox {
	if caller.Conn == nil {
		return nil
	}
	if len(caller.Outbox.Bytes) > maxOutbox {
		s.writeCaller(caller)
	}
	return s.outbox(caller, &caller.Outbox)
}

// sendAnswer tells a caller that its call is established. It reports false if the answer can't be delivered.
func (s *Session) sendAnswer(caller *state.Caller, call uint64, description []byte) bool {
	box := s.callerOutbox(caller)
	if box == nil {
		return false
	}
	out, err := wire.AppendAnswer(box.Bytes, call, description)
	if err != nil {
		return false
	}
	caller.Replied, box.Bytes = true, out
	box.AnsweredCalls = append(box.AnsweredCalls, call)
	return true
}

// sendRelease sends a release to a caller, with the milliseconds to wait before a retry if there are any.
func (s *Session) sendRelease(caller *state.Caller, call uint64, cause byte, retryAfter int64) {
	if box := s.callerOutbox(caller); box != nil {
		caller.Replied = true
		box.Bytes = wire.AppendRelease(box.Bytes, call, cause, retryAfter)
	}
}

// countInvalid counts input that can't be processed. It stops a client that keeps sending such input at full
// speed, since each answer costs more than the request.
func (s *Session) countInvalid(caller *state.Caller, weight int) {
	if caller.InvalidCount += weight; caller.InvalidCount >= maxInvalidPerCaller {
		s.earlierWaiting.Distrust(&caller.Delivery)
		s.disconnectCaller(caller, errTooManyInvalid)
	}
}

func (s *Session) handleSetUp(caller *state.Caller, message wire.Message, at int64) {
	s.Counters[state.SetUpsIn]++
	if s.endedCalls.Has(message.Call) || s.calls[message.Call] != nil || s.established[message.Call] != nil {
		// The id is already in use. An answer to this set-up could be taken for an answer to the first one, so
		// it gets none and its connection ends. A first set-up that is open on the same connection fails with
		// it.
		s.Counters[state.InvalidIn]++
		if s.pooled.connSelector != nil {
			s.observeRepeatedSetUp(caller, message.Call)
		}
		s.disconnectCaller(caller, errIDInUse)
		return
	}
	call := s.callPool.NewCall()
	setUp, err := wire.ReadSetUp(message, s.classNames, call.SetUp.Description)
	call.SetUp = setUp
	class, known := s.classIndex[setUp.Class]
	if err == nil {
		err = s.validateSetUp(setUp, class, known)
	}
	if err != nil {
		s.Counters[state.InvalidIn]++
		s.Counters[state.FailuresOut]++
		s.log.Debug("invalid set-up", "call", formatCallID(message.Call), "error", err)
		s.sendRelease(caller, message.Call, wire.CauseMissing, 0)
		s.callPool.ReturnCall(call)
		s.countInvalid(caller, invalidSetUpWeight)
		return
	}
	s.markActive(caller)
	size := callOverhead + int64(len(setUp.Description))
	if s.refusingSetUps() {
		s.Counters[state.RefusalsOut]++
		s.answerCounts[class].Rejected++
		s.sendRelease(caller, message.Call, wire.CauseCongestion, 0) // another controller may take it at once
		s.callPool.ReturnCall(call)
		return
	}
	if len(s.calls) >= s.maxCalls || len(caller.Open) >= maxOpenPerCaller || s.callBytes+size > s.maxCallBytes {
		// Bounds memory. The settings define the maximum number of calls, beyond which the module is not
		// asked.
		s.Counters[state.RefusalsOut]++
		s.answerCounts[class].Rejected++
		s.sendRelease(caller, message.Call, wire.CauseCongestion, retryAfterMillis(s.retryAfter(call)))
		s.callPool.ReturnCall(call)
		return
	}
	call.ID, call.From, call.Deadline = message.Call, caller, admit.Deadline(at, setUp.Wait)
	if s.shutdownSince != 0 {
		call.Deadline = min(call.Deadline, s.lastAnswerTime())
	}
	s.calls[call.ID], caller.Open[call.ID] = call, call
	s.callBytes += size
	if s.pooled.connSelector != nil {
		s.trackCall(call, class)
	}
	s.offeredSetUps = append(s.offeredSetUps, offeredSetUp{call: call, id: call.ID, arrivedAt: at, event: len(s.events)})
	s.queueEvent(decide.Event{Kind: decide.CallArrived, Call: decide.CallID(call.ID), Class: class, Key: setUp.Number,
		Deadline: call.Deadline, Destination: setUp.Dest, AgainAfterCut: setUp.Again})
}

// validateSetUp checks a set-up against the settings, so that no value out of range reaches the module.
func (s *Session) validateSetUp(setUp wire.SetUp, class int, known bool) error {
	if !known {
		return fmt.Errorf("parameter 16: unknown class %.20q", setUp.Class)
	}
	if setUp.Wait > s.settings.Classes[class].Deadline {
		return fmt.Errorf("parameter 19: %d us exceeds the deadline of the class", setUp.Wait)
	}
	if cells := s.settings.Info.Cells; class < len(cells) && setUp.Dest >= 0 &&
		!slices.Contains(cells[class], setUp.Dest) {
		return fmt.Errorf("parameter 31: class has no dest %d", setUp.Dest)
	}
	if widths := s.settings.Info.Widths; class < len(widths) && setUp.Width > 0 && setUp.Width != widths[class] {
		return fmt.Errorf("parameter 31: width of the class is not %d", setUp.Width)
	}
	return nil
}

// handleCallerRelease handles the cancellation of an open set-up or the release of an established call.
func (s *Session) handleCallerRelease(caller *state.Caller, message wire.Message) {
	if call := s.calls[message.Call]; call != nil && !call.Answered {
		s.Counters[state.GiveUpsIn]++
		if s.pooled.connSelector != nil {
			s.observeCallerRelease(caller, message.Call)
		}
		s.callerCancelled(call)
		return
	}
	s.Counters[state.ReleasesIn]++
	s.markActive(caller)
	cause := message.Cause()
	if cause == 0 {
		cause = wire.CauseNormal
	}
	if established := s.established[message.Call]; established != nil {
		if s.pooled.connSelector != nil {
			s.observeCallerRelease(caller, message.Call)
		}
		s.trustCaller(caller)
		s.endedCalls.Add(message.Call, established.From, s.now)
		s.callDurations.EndedByCaller(established.Class, s.now-established.Since)
		s.endEstablished(established)
		s.releaseAtOffice(established.OfficeConn, message.Call, cause)
	} else if !s.endedCalls.Has(message.Call) {
		s.endedCalls.Add(message.Call, caller, s.now)
		s.queueEarlierRelease(caller, delivery.EarlierRelease{Call: message.Call, Cause: cause})
		s.passOnEarlierReleases()
		s.countInvalid(caller, 1)
	}
	if box := s.callerOutbox(caller); box != nil {
		box.Bytes = wire.AppendHeard(box.Bytes, message.Call)
	}
}

// callerCancelled ends a call whose caller is gone. No answer is owed, and its attempt is cancelled.
func (s *Session) callerCancelled(call *state.Call) {
	s.markAnswered(call)
	s.queueEvent(decide.Event{Kind: decide.CallerLeft, Call: decide.CallID(call.ID)})
	if call.Attempt != nil {
		s.cancelAttempt(call.Attempt, decide.Cancelled)
	} else {
		s.forgetCall(call)
	}
}

// markAnswered notes that the caller is owed nothing more for a call.
func (s *Session) markAnswered(call *state.Call) {
	call.Answered = true
	delete(call.From.Open, call.ID)
	if len(call.From.Open) == 0 {
		call.From.IdleSince = s.now
	}
}

func (s *Session) forgetCall(call *state.Call) {
	if s.calls[call.ID] == call {
		s.callBytes -= callOverhead + int64(len(call.SetUp.Description))
		s.callPool.ReturnCall(call)
	}
	delete(s.calls, call.ID)
	s.endedCalls.Add(call.ID, call.From, s.now)
	if s.pooled.connSelector != nil {
		s.pooled.maybeOver = append(s.pooled.maybeOver, call.ID)
	}
}

// sendFinal gives a caller the one final answer of a call that is not established.
func (s *Session) sendFinal(action decide.Action, cause byte, counter state.Counter) {
	call := s.calls[uint64(action.Call)]
	if call == nil || call.Answered {
		return
	}
	s.Counters[counter]++
	if ends := &s.answerCounts[s.classIndex[call.SetUp.Class]]; cause == wire.CauseCongestion {
		ends.Rejected++
	} else {
		ends.Failed++
	}
	s.sendRelease(call.From, call.ID, cause, retryAfterMillis(action.Wait))
	s.markAnswered(call)
	if call.Attempt == nil {
		s.forgetCall(call)
	}
}

// retryAfterMillis converts a retry delay from microseconds to milliseconds, rounded up.
func retryAfterMillis(wait int64) int64 { return (wait + 999) / 1000 }

// formatCallID formats a call id as in the protocol.
func formatCallID(call uint64) string {
	s := strconv.FormatUint(call, 16)
	return "0000000000000000"[len(s):] + s
}
