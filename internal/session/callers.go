package session

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"pewterwheel/decide"
	"pewterwheel/internal/admit"
	"pewterwheel/internal/pooling"
	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

func (s *Session) callerAccepted(arrival Arrival) {
	if len(s.callers) >= s.callerLimit() && !s.closeIdleCaller() {
		s.Counters[state.TurnedOut]++
		s.log.Warn("too many callers", "callers", len(s.callers))
		_ = arrival.Conn.Close() // no set-up was read from it
		return
	}
	s.Counters[state.CallersIn]++
	caller := &state.Caller{Conn: arrival.Conn, Since: s.now, Open: map[uint64]*state.Call{}, Quiet: s.now, Unsure: map[uint64]state.Ending{}}
	s.connOwners[arrival.Conn] = caller
	s.callers = append(s.callers, caller)
	if s.lanes.laner != nil {
		s.registerCaller(caller)
	}
}

// asks notes that a connection asks for a call, or ends one: it may be told of the ends that nobody was there for.
// Guards against telling them to the front, whose connections bring a test alone: to it that is no passed test.
func (s *Session) markActive(caller *state.Caller) {
	caller.Asked = s.now
	if len(s.unsentReleases) == 0 {
		return
	}
	for id, ending := range inKeyOrder(s.unsentReleases) {
		if !ending.Sent {
			s.releaseToCaller(id, ending.Cause, nil)
		}
	}
}

// mayBeUsual tells whether a connection has asked for a call, or ended one.
func mayBeTrusted(caller *state.Caller) bool { return caller.Good || caller.Asked != 0 }

// good notes that a connection is a usual caller's, and tells it what could not be told to one.
func (s *Session) trustCaller(caller *state.Caller) {
	if caller.Good {
		return
	}
	caller.Good = true
	caller.Conn.Trust()
	for id, ending := range inKeyOrder(s.unsentReleases) {
		delete(s.unsentReleases, id)
		if _, alreadySent := caller.Unsure[id]; !alreadySent {
			s.releaseToCaller(id, ending.Cause, caller)
		}
	}
}

// closeQuiet makes room by closing a caller's connection with no open set-up: the oldest that has asked for
// nothing yet, else that which has been quiet for longest; one that has just come only where there is no other. Guards against running out of descriptors, of which the
// offices need theirs, and against mute connections by hundreds taking the places of usual callers.
func (s *Session) closeIdleCaller() bool {
	var idle *state.Caller
	rank := func(caller *state.Caller) int {
		switch {
		case s.now-caller.Since < newCallerGrace:
			return 2
		case caller.Good:
			return 1
		}
		return 0
	}
	for _, caller := range s.callers {
		if len(caller.Open) > 0 || idle != nil && cmp.Or(cmp.Compare(rank(idle), rank(caller)), cmp.Compare(idle.Quiet, caller.Quiet)) <= 0 {
			continue
		}
		// Who has not taken an answer for so long has most likely vanished.
		if !caller.Conn.Waiting() || s.now-caller.Quiet > unconfirmedReleaseTTL && !caller.Conn.Unread() {
			idle = caller
		}
	}
	if idle == nil {
		return false
	}
	s.closeConn(idle.Conn, nil)
	return true
}

// watchCallers ends connections that have asked for nothing since they came, or whose message does not end.
// Guards against clients that say nothing, send half a message, or withdraw all that they ask: each holds a
// descriptor. A caller with no open set-up loses nothing by it, unless the rest has come and was not read yet.
func (s *Session) checkCallers() {
	for _, caller := range s.snapshotCallers() {
		switch {
		case len(caller.In) > 0 && s.now-caller.Part >= callerMessageTimeout:
			if !caller.Conn.Waiting() {
				s.disconnectCaller(caller, errPartialMessage)
			}
		case !caller.Told && len(caller.Open) == 0 && s.now-caller.Since >= callerMessageTimeout && !caller.Conn.Waiting():
			s.disconnectCaller(caller, errNoRequest)
		}
	}
}

// everyCaller is the callers as they are now; whoever leaves meanwhile is still in it. It is good until the next call.
func (s *Session) snapshotCallers() []*state.Caller {
	clear(s.callerScratch)
	s.callerScratch = append(s.callerScratch[:0], s.callers...)
	return s.callerScratch
}

// turnOut ends a connection on which nothing more can be made of what comes. Its open set-ups have their one
// final answer first: none of them may stand for a client that breaks the protocol.
func (s *Session) disconnectCaller(caller *state.Caller, err error) {
	if caller.Conn == nil {
		return // it has left
	}
	s.Counters[state.TurnedOut]++
	s.log.Debug("caller turned out", "open", len(caller.Open), "error", err)
	for _, call := range inKeyOrder(caller.Open) {
		s.failCall(call)
	}
	s.closeConn(caller.Conn, err)
}

func (s *Session) callerDisconnected(caller *state.Caller) {
	s.callers = slices.DeleteFunc(s.callers, func(c *state.Caller) bool { return c == caller })
	for _, call := range inKeyOrder(caller.Open) {
		s.callerCancelled(call)
	}
	// A release written just before the close may not have been read: the next connection brings it again.
	for id, ending := range inKeyOrder(caller.Unsure) {
		if kept, ok := s.unsentReleases[id]; ok {
			kept.Sent = false
			s.unsentReleases[id] = kept
		} else if s.now-ending.At <= unconfirmedReleaseTTL {
			s.releaseToCaller(id, ending.Cause, nil)
		}
	}
	caller.Conn = nil
	if s.lanes.laner != nil {
		s.lanes.laner.Closed(s.now, pooling.ClientID(caller.Client), pooling.SessionID(caller.Session))
	}
}

func (s *Session) handleCallerMessage(caller *state.Caller, message wire.Message, at int64) {
	switch message.Type {
	case wire.TypeSetUp:
		s.handleSetUp(caller, message, at)
	case wire.TypeRelease:
		s.handleCallerRelease(caller, message)
	case wire.TypeHeard:
		if _, ours := caller.Unsure[message.Call]; ours {
			delete(caller.Unsure, message.Call)
			delete(s.unsentReleases, message.Call)
			s.trustCaller(caller)
		}
	case wire.TypeTest:
		s.Counters[state.TestsIn]++
		var passed byte = 1
		if s.stoppedAt != 0 || s.drainingSince != 0 {
			passed = 0
		}
		if box := s.callerOutbox(caller); box != nil {
			caller.Told = true
			box.Bytes = wire.AppendTested(box.Bytes, message.Call, passed)
		}
	case wire.TypeProgress, wire.TypeGroup, wire.TypeTested:
	default:
		s.Counters[state.BadIn]++
		s.disconnectCaller(caller, errUnknownType)
	}
}

// callerBox is where messages for a caller are written; nil: it has left. What cannot be written is lost with the
// connection, whose end is told next.
func (s *Session) callerOutbox(caller *state.Caller) *state.Outbox {
	if caller.Conn == nil {
		return nil
	}
	if len(caller.Box.Bytes) > maxOutbox {
		s.writeCaller(caller)
	}
	return s.outbox(caller, &caller.Box)
}

// tellAnswer tells a caller that its call stands; false: that cannot be told.
func (s *Session) sendAnswer(caller *state.Caller, call uint64, description []byte) bool {
	box := s.callerOutbox(caller)
	if box == nil {
		return false
	}
	out, err := wire.AppendAnswer(box.Bytes, call, description)
	if err != nil {
		return false
	}
	caller.Told, box.Bytes = true, out
	box.Told = append(box.Told, call)
	return true
}

// tellRelease tells a caller of an end; milliseconds to stay away go with it, if there are any.
func (s *Session) sendRelease(caller *state.Caller, call uint64, cause byte, retryAfter int64) {
	if box := s.callerOutbox(caller); box != nil {
		caller.Told = true
		box.Bytes = wire.AppendRelease(box.Bytes, call, cause, retryAfter)
	}
}

// odd counts what nothing could be made of. Guards against a client that sends the like again and again, at full
// speed: each answer costs more than the question.
func (s *Session) countInvalid(caller *state.Caller, weight int) {
	if caller.Odd += weight; caller.Odd >= maxInvalidPerCaller {
		s.disconnectCaller(caller, errTooManyInvalid)
	}
}

func (s *Session) handleSetUp(caller *state.Caller, message wire.Message, at int64) {
	s.Counters[state.SetUpsIn]++
	if _, over := s.endedCalls[message.Call]; over || s.calls[message.Call] != nil || s.established[message.Call] != nil {
		// A second set-up under a used id: any answer to it could be taken for one to the first, so it gets
		// none, and its connection ends. A first that is open on the same connection fails with it.
		s.Counters[state.BadIn]++
		if s.lanes.laner != nil {
			s.observeRepeatedSetUp(caller, message.Call)
		}
		s.disconnectCaller(caller, errIDInUse)
		return
	}
	call := s.callPool.Call()
	setUp, err := wire.ReadSetUp(message, s.classNames, call.SetUp.Description)
	call.SetUp = setUp
	class, known := s.classIndex[setUp.Class]
	if err == nil {
		err = s.validateSetUp(setUp, class, known)
	}
	if err != nil {
		s.Counters[state.BadIn]++
		s.Counters[state.FailuresOut]++
		s.log.Debug("set-up unreadable", "call", formatCallID(message.Call), "error", err)
		s.sendRelease(caller, message.Call, wire.CauseMissing, 0)
		s.callPool.Over(call)
		s.countInvalid(caller, invalidSetUpWeight)
		return
	}
	s.markActive(caller)
	size := callOverhead + int64(len(setUp.Description))
	if s.refusingSetUps() {
		s.Counters[state.RefusalsOut]++
		s.answerCounts[class].Rejected++
		s.sendRelease(caller, message.Call, wire.CauseCongestion, 0) // another controller may take it at once
		s.callPool.Over(call)
		return
	}
	if len(s.calls) >= s.maxCalls || len(caller.Open) >= maxOpenPerCaller || s.callBytes+size > s.maxCallBytes {
		// Bounds memory; the settings name the number, past which no decision is asked for.
		s.Counters[state.RefusalsOut]++
		s.answerCounts[class].Rejected++
		s.sendRelease(caller, message.Call, wire.CauseCongestion, retryAfterMillis(s.retryAfter(call)))
		s.callPool.Over(call)
		return
	}
	call.ID, call.From, call.Deadline = message.Call, caller, admit.Deadline(at, setUp.Wait)
	if s.stoppedAt != 0 {
		call.Deadline = min(call.Deadline, s.lastAnswerTime())
	}
	s.calls[call.ID], caller.Open[call.ID] = call, call
	s.callBytes += size
	if s.lanes.laner != nil {
		s.trackCall(call, class)
	}
	s.offeredSetUps = append(s.offeredSetUps, offeredSetUp{call: call, id: call.ID, arrivedAt: at, event: len(s.events)})
	s.queueEvent(decide.Event{Kind: decide.Order, Call: decide.CallID(call.ID), Class: class, Key: setUp.Number,
		Deadline: call.Deadline, Dest: setUp.Dest, Again: setUp.Again})
}

// fits checks a set-up against the settings. Figures out of range never reach the module.
func (s *Session) validateSetUp(setUp wire.SetUp, class int, known bool) error {
	if !known {
		return fmt.Errorf("parameter 16: no class %.20q", setUp.Class)
	}
	if setUp.Wait > s.settings.Classes[class].Deadline {
		return fmt.Errorf("parameter 19: %d us is past the deadline of the class", setUp.Wait)
	}
	if cells := s.settings.Info.Cells; class < len(cells) && setUp.Dest >= 0 && !slices.Contains(cells[class], setUp.Dest) {
		return fmt.Errorf("parameter 31: dest %d", setUp.Dest)
	}
	if widths := s.settings.Info.Widths; class < len(widths) && setUp.Width > 0 && setUp.Width != widths[class] {
		return fmt.Errorf("parameter 31: width %d", setUp.Width)
	}
	return nil
}

// callerReleased takes a give-up of an open set-up, or the end of a call that stands.
func (s *Session) handleCallerRelease(caller *state.Caller, message wire.Message) {
	if call := s.calls[message.Call]; call != nil && !call.Answered {
		s.Counters[state.GiveUpsIn]++
		if s.lanes.laner != nil {
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
		if s.lanes.laner != nil {
			s.observeCallerRelease(caller, message.Call)
		}
		s.trustCaller(caller)
		s.endedCalls[message.Call] = s.now
		s.callDurations.Outlived(established.Class, s.now-established.Since)
		s.endEstablished(established)
		s.releaseAtOffice(established.On, message.Call, cause)
	} else if _, known := s.endedCalls[message.Call]; !known {
		// A call of before our own start: any office may have it, and those that have not pass it over.
		s.endedCalls[message.Call] = s.now
		if len(s.earlierReleases) < maxEarlierReleases {
			s.earlierReleases[message.Call] = state.Ending{Cause: cause, At: s.now}
		}
		for _, office := range s.offices.All() {
			if office.State != decide.Removed {
				s.releaseAtOffice(&office.Lane, message.Call, cause)
			}
		}
		s.countInvalid(caller, 1)
	}
	if box := s.callerOutbox(caller); box != nil {
		box.Bytes = wire.AppendHeard(box.Bytes, message.Call)
	}
}

// callerGaveUp ends a call whose caller has gone: no answer is owed, and an attempt has nobody to stand for.
func (s *Session) callerCancelled(call *state.Call) {
	s.markAnswered(call)
	s.queueEvent(decide.Event{Kind: decide.Gone, Call: decide.CallID(call.ID)})
	if call.Attempt != nil {
		s.cancelAttempt(call.Attempt, decide.Cancelled)
	} else {
		s.forgetCall(call)
	}
}

// answered notes that nothing more is owed to a call's caller.
func (s *Session) markAnswered(call *state.Call) {
	call.Answered = true
	delete(call.From.Open, call.ID)
	if len(call.From.Open) == 0 {
		call.From.Quiet = s.now
	}
}

func (s *Session) forgetCall(call *state.Call) {
	if s.calls[call.ID] == call {
		s.callBytes -= callOverhead + int64(len(call.SetUp.Description))
		s.callPool.Over(call)
	}
	delete(s.calls, call.ID)
	s.endedCalls[call.ID] = s.now
	if s.lanes.laner != nil {
		s.lanes.maybeOver = append(s.lanes.maybeOver, call.ID)
	}
}

// final gives a caller the one final answer of a call that does not stand, at once.
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

// stayAway is when a caller is to come back, in whole milliseconds.
func retryAfterMillis(wait int64) int64 { return (wait + 999) / 1000 }

// tellEnd releases a call towards its callers: on the connection given, else on that of any usual caller, else of one
// that has asked for a call, and again to the next usual one. Guards against telling it to bad clients alone, who come by hundreds and forget it.
func (s *Session) releaseToCaller(call uint64, cause byte, caller *state.Caller) {
	if caller == nil || caller.Conn == nil {
		caller = nil
		for _, c := range slices.Backward(s.callers) { // the newest is the least likely to be closing
			if c.Good {
				caller = c
				break
			}
			if caller == nil && c.Asked != 0 {
				caller = c // it may be a usual one's first
			}
		}
		if caller == nil || !caller.Good {
			s.unsentReleases[call] = state.Ending{Cause: cause, At: s.now, Sent: caller != nil}
		}
		if caller == nil {
			return
		}
	}
	s.Counters[state.ReleasesOut]++
	caller.Unsure[call] = state.Ending{Cause: cause, At: s.now}
	s.sendRelease(caller, call, cause, 0)
}

// id writes a call's id as the protocol does.
func formatCallID(call uint64) string {
	s := strconv.FormatUint(call, 16)
	return "0000000000000000"[len(s):] + s
}
