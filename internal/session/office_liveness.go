package session

import (
	"context"
	"iter"
	"log/slog"

	"pewterwheel/decide"
	"pewterwheel/internal/delivery"
	"pewterwheel/internal/liveness"
	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

const (
	// longPause is the length of a process pause after which offices get settleTime, counted while this
	// process runs, to be read and connected to before their silence counts.
	longPause  = 1_000_000
	settleTime = 700_000
	// minSettleTime remains of settleTime if the calls' time would otherwise run out. Input that waits to be
	// read is read within it.
	minSettleTime = 100_000
	// maxReadDelay is the longest time for which a message is assumed to have waited unread in this process.
	maxReadDelay = 2_000_000
)

// checkClock records when offices were last checked and how much time is left to settle after a process
// pause.
type checkClock struct {
	lastCheck int64
	settling  int64
}

// advance records a check and reports whether the process was paused since the last one. A pause during
// settling does not restart it; otherwise a process short of CPU would never judge an office.
func (w *checkClock) advance(now int64) (paused bool) {
	elapsed := now - w.lastCheck
	w.lastCheck = now
	switch {
	case w.settling > 0:
		w.settling -= min(elapsed, 2*watchInterval)
	case elapsed >= longPause:
		w.settling = settleTime
	}
	return elapsed > 2*watchInterval
}

// canJudge reports whether an office may be judged: enough time has passed since a process pause, or its
// established calls can't wait.
func (s *Session) canJudge(office *state.Office) bool {
	left := s.livenessClock.settling
	if left > settleTime-minSettleTime {
		return false
	}
	return left <= 0 || !office.Liveness.CanWait(s.now, left)
}

// checkOffices ends connections to offices on which a message stays incomplete or nothing arrives any more. It
// releases the calls established at an office that can't end them.
func (s *Session) checkOffices() {
	// After a pause of this process, what arrived meanwhile may be unread, so offices are not blamed for the
	// silence.
	paused := s.livenessClock.advance(s.now)
	for _, office := range s.offices.All() {
		s.checkOfficeConn(&office.OfficeConn, len(office.Established), paused)
		if len(office.Established) == 0 || paused && office.Liveness.CanWait(s.now, minSettleTime) {
			continue
		}
		s.probeOffice(office)
		s.judgeOffice(office)
		s.judgeRestart(office)
		s.judgeUnended(office)
	}
	if s.pooled.connSelector != nil {
		s.checkPooledConns(paused)
	}
}

// checkOfficeConn ends a connection that brings nothing any more, or no complete message. established is the number
// of calls on it. A connection with unread input is kept, because this process may be busy with others.
func (s *Session) checkOfficeConn(officeConn *state.OfficeConn, established int, paused bool) {
	if officeConn.Conn != nil && len(officeConn.Queue) > 0 {
		s.flushQueue(officeConn)
	}
	switch {
	case officeConn.Conn == nil:
	case len(officeConn.Buffer) > 0 && s.now-officeConn.PartialSince >= officeMessageTimeout:
		if !officeConn.Conn.Unread() {
			s.Counters[state.InvalidIn]++
			s.closeConn(officeConn.Conn, errPartialMessage)
		}
	case len(officeConn.Outstanding)+established > 0 && !paused && officeConn.Received.IsSilent(s.now, s.reportRhythm) &&
		!officeConn.Conn.Unread():
		s.closeConn(officeConn.Conn, errOfficeSilent)
	}
}

// probeOffice replaces a silent connection with nothing outstanding, so that the new one shows whether the
// office still responds. The present connection stays until the new one is open: if nothing passes to the
// office, its messages may still arrive.
func (s *Session) probeOffice(office *state.Office) {
	if office.Conn == nil || len(office.Outstanding) > 0 || office.Conn.Unread() {
		return
	}
	if office.Liveness.NeedsProbe(s.now, office.Received.Opened) {
		s.connectReplacement(office)
	}
}

// recordOfficeMessage records a complete message of an office.
func (s *Session) recordOfficeMessage(officeConn *state.OfficeConn, message wire.Message, at int64) {
	if officeConn.Number == collectorNumber && message.Type == wire.TypeGroup {
		return // the greeting shows only that the office still accepts connections
	}
	record := liveness.Message{At: s.earliestWriteTime(at), Kind: s.messageKind(officeConn, message),
		OnMain: officeConn.Number == 0, Opened: officeConn.Received.Opened}
	if record.Kind == liveness.Answer {
		record.SetUpSent = s.setUpSentAt(officeConn, message.Call)
	}
	if transition, changed := officeConn.To.Liveness.MessageReceived(record); changed {
		s.applyTransition(officeConn.To, transition)
	}
}

// messageKind returns the kind of an office's message.
func (s *Session) messageKind(officeConn *state.OfficeConn, message wire.Message) liveness.MessageKind {
	switch {
	case message.Type == wire.TypeGroup:
		return liveness.Report
	case message.Type == wire.TypeHeard:
		return liveness.Confirmation
	case message.Type == wire.TypeAnswer:
		return liveness.Answer
	case message.Type != wire.TypeRelease:
		return liveness.Progress
	case s.outstandingAttempt(officeConn, message.Call) != nil:
		return liveness.Refusal
	}
	return liveness.End
}

// setUpSentAt returns when the set-up of a call was sent to an office at which it is outstanding, or was until it
// was cancelled; 0: neither.
func (s *Session) setUpSentAt(officeConn *state.OfficeConn, call uint64) int64 {
	if attempt := s.outstandingAttempt(officeConn, call); attempt != nil {
		return attempt.Since
	}
	return officeConn.To.PendingReleases[call].SetUpSent
}

// earliestWriteTime returns the earliest time at which an office may have written a message that was read at
// the given time, since messages wait unread during a process pause. Without it, an old message would restart
// a timeout when it is read. The lower bound keeps an office that does respond from being judged by this
// process's own pause.
func (s *Session) earliestWriteTime(read int64) int64 {
	if s.pauseEnded == 0 || s.now-s.pauseEnded > minSettleTime {
		return read
	}
	return max(min(read, s.pauseBegan), read-maxReadDelay)
}

// judgeOffice releases the calls established at an office if it can't end them any more.
func (s *Session) judgeOffice(office *state.Office) {
	if len(office.Established) == 0 || !s.canJudge(office) || office.Conn != nil && office.Conn.Unread() {
		return
	}
	if transition, changed := office.Liveness.Judge(s.now, s.overdueSetUps(office)); changed {
		s.applyTransition(office, transition)
	}
	if office.Liveness.WantsTrial(s.now) {
		s.queueEvent(decide.Event{Kind: decide.TrialRequested, Server: office.ID})
	}
	if s.doubtSufficesAt(office) {
		s.judgeDeparting(office)
	}
}

// doubtSufficesAt reports whether mere doubt suffices to release any of the calls at an office.
func (s *Session) doubtSufficesAt(office *state.Office) bool {
	if s.shutdownSince == 0 {
		return false
	}
	for _, established := range office.Established {
		if s.mayRelease(established, liveness.Departing) {
			return true
		}
	}
	return false
}

// mayRelease reports whether this process may release a call for a reason.
func (s *Session) mayRelease(established *state.EstablishedCall, reason liveness.Reason) bool {
	evidence := delivery.Inferred
	switch reason {
	case liveness.Departing:
		evidence = delivery.Doubt
	case liveness.Refused:
		evidence = delivery.ProcessEnded
	}
	return s.responsibility.MayRelease(&established.From.Delivery, evidence, s.now)
}

// judgeDeparting releases the calls at a doubtful office while their callers are still connected.
func (s *Session) judgeDeparting(office *state.Office) {
	observation := liveness.ShutdownObservation{ReportInterval: max(s.reportRhythm, office.Received.ReportInterval),
		Connected: office.Conn != nil, Unanswered: s.unansweredSetUps(&office.OfficeConn)}
	if transition, changed := office.Liveness.JudgeDeparting(s.now, observation); changed && len(office.Established) > 0 {
		s.applyTransition(office, transition)
	}
}

// applyTransition logs and counts a transition and acts on it.
func (s *Session) applyTransition(office *state.Office, transition liveness.Transition) {
	if transition.From != transition.To {
		s.logLiveness(office, transition)
		s.Counters[transitionCounters[transition.To]]++
	}
	if transition.To == liveness.Unresponsive {
		s.releaseEstablished(office, transition.Reason)
	}
}

// transitionCounters counts offices by their new liveness state.
var transitionCounters = [...]state.Counter{
	liveness.Responsive:   state.OfficesRecovered,
	liveness.Suspected:    state.OfficesSuspected,
	liveness.Unresponsive: state.OfficesUnresponsive,
}

func (s *Session) logLiveness(office *state.Office, transition liveness.Transition) {
	level := slog.LevelInfo
	if transition.To == liveness.Unresponsive {
		level = slog.LevelWarn
	}
	s.log.Log(context.Background(), level, "office liveness",
		append([]any{"office", office.ID, "from", transition.From.String(), "to", transition.To.String(),
			"reason", transition.Reason.String()}, s.livenessFields(office)...)...)
}

// livenessFields returns the log fields of an office that is judged: the age of its latest messages, how long
// set-ups have waited there, what is outstanding, and how late this process reads.
func (s *Session) livenessFields(office *state.Office) []any {
	ago := func(word liveness.MessageKind) int64 { return millisSince(s.now, office.Liveness.LastOfKind(word)) }
	return []any{"silent_ms", millisSince(s.now, office.Liveness.LastMessage()), "answered_ms", ago(liveness.Answer),
		"refused_ms", ago(liveness.Refusal),
		"ended_ms", ago(liveness.End), "lag_ms", office.Liveness.QueueDelay() / 1000,
		"unanswered", s.overdueSetUps(office).Count, "connected", office.Conn != nil,
		"out", len(office.Outstanding), "standing", len(office.Established), "read_late_ms", s.readDelay / 1000}
}

// releaseCounters counts released calls by the reason.
var releaseCounters = [liveness.Reasons]state.Counter{
	liveness.Silent:      state.ReleasedSilent,
	liveness.Stalled:     state.ReleasedStalled,
	liveness.Refused:     state.ReleasedRefused,
	liveness.Unreachable: state.ReleasedUnreachable,
	liveness.Departing:   state.ReleasedDeparting,
	liveness.Restarted:   state.ReleasedRestarted,
	liveness.NoneEnded:   state.ReleasedNoneEnded,
}

// releaseEstablished releases the calls established at an office that can't end them. If the office can't be
// connected to, those on a pooled connection that is still open are kept.
func (s *Session) releaseEstablished(office *state.Office, reason liveness.Reason) {
	unconnected := reason == liveness.Refused || reason == liveness.Unreachable
	for _, established := range inKeyOrder(office.Established) {
		if !unconnected || !s.onOpenConn(established) {
			s.releaseForOffice(office, established, reason)
		}
	}
	if reason == liveness.Silent && office.Conn != nil {
		s.closeConn(office.Conn, errOfficeSilent)
	}
}

// judgeRestart releases the calls of an office's previous process once another one responds for it.
func (s *Session) judgeRestart(office *state.Office) {
	if !s.canJudge(office) || office.Conn != nil && office.Conn.Unread() {
		return
	}
	list := liveness.ListReception{LastReceived: s.source.LastFrame(), LastUnreachable: s.journal.lostAt}
	if s.journal.conn == nil {
		list.LastUnreachable = s.now
	}
	restart, ended := office.Liveness.Restarted(s.now, list, countEstablished(office), s.doubtSufficesAt(office))
	if !ended {
		return
	}
	s.log.Warn("office restarted", "office", office.ID, "evidence", restart.Evidence.String(),
		"last_word_ms", (s.now-restart.LastMessage)/1000,
		"lost_ms", (s.now-restart.Before)/1000, "standing", len(office.Established),
		"of_before", countEstablished(office)(0, restart.Before))
	for _, established := range inKeyOrder(office.Established) {
		if established.Since < restart.Before {
			s.releaseForOffice(office, established, liveness.Restarted)
		}
	}
}

// judgeUnended releases the calls that have been established for long at an office at which calls no longer
// end.
func (s *Session) judgeUnended(office *state.Office) {
	if !office.Liveness.MissingEndsCheckDue(s.now) || !s.canJudge(office) || office.Conn != nil && office.Conn.Unread() {
		return
	}
	before, ended := office.Liveness.CheckMissingEnds(s.now, callsAtOffice(office),
		s.callDurations.Rates(s.observedOffices()))
	if !ended {
		return
	}
	if countEstablished(office)(0, before) > 0 {
		s.log.Warn("calls no longer end at office", append([]any{"office", office.ID}, s.livenessFields(office)...)...)
	}
	for _, established := range inKeyOrder(office.Established) {
		if established.Since < before {
			s.releaseForOffice(office, established, liveness.NoneEnded)
		}
	}
}

// observedOffices yields the calls established at each office, and until when none of them is known to have
// ended.
func (s *Session) observedOffices() iter.Seq[liveness.OfficeCalls] {
	return func(yield func(liveness.OfficeCalls) bool) {
		for _, office := range s.offices.All() {
			until := office.Liveness.LastEnd()
			if until == 0 {
				until = s.now
			}
			if !yield(liveness.OfficeCalls{Until: until, Calls: callsAtOffice(office)}) {
				return
			}
		}
	}
}

// callsAtOffice yields the calls established at an office.
func callsAtOffice(office *state.Office) iter.Seq[liveness.Call] {
	return func(yield func(liveness.Call) bool) {
		for _, established := range office.Established {
			if !yield(liveness.Call{Since: established.Since, Class: established.Class}) {
				return
			}
		}
	}
}

// overdueSetUps returns the set-ups that have been outstanding at an office long enough to have been
// answered.
func (s *Session) overdueSetUps(office *state.Office) (waiting liveness.Unanswered) {
	for _, attempt := range office.Outstanding {
		waiting.Add(s.now, office.Liveness.OutstandingFor(s.now, attempt.Since))
	}
	for _, officeConn := range office.Pooled {
		for _, attempt := range officeConn.Outstanding {
			waiting.Add(s.now, office.Liveness.OutstandingFor(s.now, attempt.Since))
		}
	}
	return waiting
}

// countEstablished returns a function that counts the calls at an office that were established in [from, to).
func countEstablished(office *state.Office) liveness.CountEstablished {
	return func(from, to int64) int {
		n := 0
		for _, established := range office.Established {
			if established.Since >= from && established.Since < to {
				n++
			}
		}
		return n
	}
}

// unansweredSetUps counts the set-ups that have been outstanding on a connection long enough to have been
// answered.
func (s *Session) unansweredSetUps(officeConn *state.OfficeConn) int {
	n := 0
	for _, attempt := range officeConn.Outstanding {
		if s.now-attempt.Since >= liveness.MinWait && officeConn.To.Liveness.LastService() <= attempt.Since {
			n++
		}
	}
	return n
}

// releaseForOffice releases a call to its caller and, if the office is connected, at the office, unless the caller can't
// be told any more.
func (s *Session) releaseForOffice(office *state.Office, established *state.EstablishedCall, reason liveness.Reason) {
	if !s.mayRelease(established, reason) {
		return
	}
	call, officeConn := established.ID, established.OfficeConn
	s.log.Info("releasing call because its office cannot end it", "call", formatCallID(call), "office", office.ID,
		"reason", reason.String(),
		"stood_ms", (s.now-established.Since)/1000)
	s.Counters[releaseCounters[reason]]++
	s.cutEstablished(established)
	if office.Conn != nil || officeConn.Conn != nil {
		s.releaseAtOffice(officeConn, call, wire.CauseCut)
	}
	if len(office.PendingReleases) < maxPendingReleases {
		office.PendingReleases[call] = state.PendingRelease{Cause: wire.CauseCut, At: s.now, ConnNumber: officeConn.Number,
			Unresponsive: true}
	}
}
