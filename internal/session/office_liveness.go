package session

import (
	"context"
	"iter"
	"log/slog"

	"pewterwheel/decide"
	"pewterwheel/internal/liveness"
	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

const (
	// longStandStill is a stand-still of this process after which offices have settleFor, of time in which it runs, to be
	// read and connected to before their silence counts.
	longPause  = 1_000_000
	settleTime = 700_000
	// settleLeast is what is left of it where the time of calls would run out: what waits to be read is read within it.
	minSettleTime = 100_000
	// mostWaited is the longest that a word is taken to have waited for this process to read it.
	maxReadDelay = 2_000_000
)

// watchClock is when offices were last looked at, and how much of this process's own stand-still is still to be settled.
type checkClock struct {
	lastCheck int64
	settling  int64
}

// advance notes a look; it tells whether the process has stood still since the last one. A stand-still while another one is
// settled begins nothing anew. Guards against a process short of processor that would never judge an office.
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

// settled tells whether an office may be judged: a stand-still is over for long enough, or calls that stand there can't wait.
func (s *Session) canJudge(office *state.Office) bool {
	left := s.livenessClock.settling
	if left > settleTime-minSettleTime {
		return false
	}
	return left <= 0 || !office.Liveness.CanWait(s.now, left)
}

// watchOffices ends connections to offices on which a message has begun and does not end, or nothing comes any more, and
// releases the calls that stand at an office that can't end them.
func (s *Session) checkOffices() {
	// Guards against taking our own stand-still for theirs: what came meanwhile may not have been read yet.
	paused := s.livenessClock.advance(s.now)
	for _, office := range s.offices.All() {
		s.checkLane(&office.Lane, len(office.Standing), paused)
		if len(office.Standing) == 0 || paused && office.Liveness.CanWait(s.now, minSettleTime) {
			continue
		}
		s.probeOffice(office)
		s.judgeOffice(office)
		s.judgeRestart(office)
		s.judgeUnended(office)
	}
	if s.lanes.laner != nil {
		s.checkLanes(paused)
	}
}

// watchOffice ends a connection at which so many calls stand if it brings nothing any more, or nothing whole. Guards
// against ending one whose bytes wait unread while much comes from others.
func (s *Session) checkLane(lane *state.Lane, established int, paused bool) {
	if lane.Conn != nil && len(lane.Queue) > 0 {
		s.flushQueue(lane)
	}
	switch {
	case lane.Conn == nil:
	case len(lane.In) > 0 && s.now-lane.Partial >= officeMessageTimeout:
		if !lane.Conn.Unread() {
			s.Counters[state.BadIn]++
			s.closeConn(lane.Conn, errPartialMessage)
		}
	case len(lane.Out)+established > 0 && !paused && lane.Spoken.Mute(s.now, s.reportRhythm) && !lane.Conn.Unread():
		s.closeConn(lane.Conn, errOfficeSilent)
	}
}

// inspectOffice replaces a silent connection on which nothing is out, so that the next one shows whether the office still
// speaks. The present one stays until that is up: where nothing passes to the office, what it says may still come.
func (s *Session) probeOffice(office *state.Office) {
	if office.Conn == nil || len(office.Out) > 0 || office.Conn.Unread() {
		return
	}
	if office.Liveness.Inspect(s.now, office.Spoken.Opened) {
		s.connectReplacement(office)
	}
}

// officeSpoke notes a whole message of an office.
func (s *Session) recordOfficeMessage(lane *state.Lane, message wire.Message, at int64) {
	record := liveness.Message{At: s.earliestWriteTime(at), Word: s.messageKind(lane, message), Main: lane.Number == 0, Opened: lane.Spoken.Opened}
	if record.Word == liveness.Answer {
		record.Asked = s.setUpSentAt(lane, message.Call)
	}
	if transition, changed := lane.To.Liveness.Heard(record); changed {
		s.applyTransition(lane.To, transition)
	}
}

// wordOf is what kind of message an office sent.
func (s *Session) messageKind(lane *state.Lane, message wire.Message) liveness.Word {
	switch {
	case message.Type == wire.TypeGroup:
		return liveness.Report
	case message.Type == wire.TypeHeard:
		return liveness.Confirmation
	case message.Type == wire.TypeAnswer:
		return liveness.Answer
	case message.Type != wire.TypeRelease:
		return liveness.Progress
	case s.outstandingAttempt(lane, message.Call) != nil:
		return liveness.Refusal
	}
	return liveness.End
}

// askedAt is when the set-up of a call was sent to an office at which it is out, or was until it was given up; 0: it is not.
func (s *Session) setUpSentAt(lane *state.Lane, call uint64) int64 {
	if attempt := s.outstandingAttempt(lane, call); attempt != nil {
		return attempt.Since
	}
	return lane.To.Ended[call].Asked
}

// writtenAt is the earliest time at which an office may have written what was read at a time: during a stand-still of this
// process its words wait. Guards against a term that begins anew when an old word is read. The bound
// guards against judging an office that speaks by our own absence.
func (s *Session) earliestWriteTime(read int64) int64 {
	if s.pauseEnded == 0 || s.now-s.pauseEnded > minSettleTime {
		return read
	}
	return max(min(read, s.pauseBegan), read-maxReadDelay)
}

// judgeOffice releases the calls that stand at an office if it can't end them any more.
func (s *Session) judgeOffice(office *state.Office) {
	if len(office.Standing) == 0 || !s.canJudge(office) || office.Conn != nil && office.Conn.Unread() {
		return
	}
	if transition, changed := office.Liveness.Judge(s.now, s.overdueSetUps(office)); changed {
		s.applyTransition(office, transition)
	}
	if office.Liveness.WantsTrial(s.now) {
		s.queueEvent(decide.Event{Kind: decide.Trial, Server: office.ID})
	}
	if s.nearDeparture() {
		s.judgeDeparting(office)
	}
}

// departing tells whether callers are about to be sent away for good: nobody is there afterwards to be told of an end.
func (s *Session) nearDeparture() bool {
	return s.stoppedAt != 0 && s.now >= s.stoppedAt+acceptAfterStop-2*watchInterval
}

// judgeDeparting releases what stands at an office of which there is doubt, while its callers are still connected.
func (s *Session) judgeDeparting(office *state.Office) {
	observation := liveness.LastObservation{Usual: max(s.reportRhythm, office.Spoken.Rhythm), Connected: office.Conn != nil, Unanswered: s.unansweredSetUps(&office.Lane)}
	if transition, changed := office.Liveness.JudgeDeparting(s.now, observation); changed && len(office.Standing) > 0 {
		s.applyTransition(office, transition)
	}
}

// officeBecame logs and counts a transition, and does what follows from it.
func (s *Session) applyTransition(office *state.Office, transition liveness.Transition) {
	if transition.From != transition.To {
		s.logLiveness(office, transition)
		s.Counters[transitionCounters[transition.To]]++
	}
	if transition.To == liveness.Unresponsive {
		s.releaseEstablished(office, transition.Reason)
	}
}

// transitions counts offices by what they are believed to have become.
var transitionCounters = [...]state.Counter{
	liveness.Responsive:   state.OfficesBack,
	liveness.Suspected:    state.OfficesSuspected,
	liveness.Unresponsive: state.OfficesUnresponsive,
}

func (s *Session) logLiveness(office *state.Office, transition liveness.Transition) {
	level := slog.LevelInfo
	if transition.To == liveness.Unresponsive {
		level = slog.LevelWarn
	}
	s.log.Log(context.Background(), level, "office liveness", append([]any{"office", office.ID, "from", transition.From.String(), "to", transition.To.String(),
		"reason", transition.Reason.String()}, s.livenessFields(office)...)...)
}

// evidence is what the log says of an office that is judged: how long ago it said what, how long work waits there, what is owed,
// and how late this process reads.
func (s *Session) livenessFields(office *state.Office) []any {
	ago := func(word liveness.Word) int64 { return millisSince(s.now, office.Liveness.Last(word)) }
	return []any{"silent_ms", millisSince(s.now, office.Liveness.Spoke()), "answered_ms", ago(liveness.Answer), "refused_ms", ago(liveness.Refusal),
		"ended_ms", ago(liveness.End), "lag_ms", office.Liveness.Lag() / 1000, "unanswered", s.overdueSetUps(office).Count, "connected", office.Conn != nil,
		"out", len(office.Out), "standing", len(office.Standing), "read_late_ms", s.readDelay / 1000}
}

// releasedBy counts released calls by the evidence against their office.
var releaseCounters = [liveness.Reasons]state.Counter{
	liveness.Silent:      state.ReleasedSilent,
	liveness.Stalled:     state.ReleasedStalled,
	liveness.Refused:     state.ReleasedRefused,
	liveness.Unreachable: state.ReleasedUnreachable,
	liveness.Departing:   state.ReleasedDeparting,
	liveness.Restarted:   state.ReleasedRestarted,
	liveness.NoneEnded:   state.ReleasedNoneEnded,
}

// releaseStanding releases the calls that stand at an office which can't end them. Where it can't be connected to, those on a
// pooled connection that is there are left.
func (s *Session) releaseEstablished(office *state.Office, reason liveness.Reason) {
	unconnected := reason == liveness.Refused || reason == liveness.Unreachable
	for _, established := range inKeyOrder(office.Standing) {
		if !unconnected || !s.onOpenConn(established) {
			s.releaseForOffice(office, established, reason)
		}
	}
	if reason == liveness.Silent && office.Conn != nil {
		s.closeConn(office.Conn, errOfficeSilent)
	}
}

// judgeRestart releases the calls of a process of the office that has ended, where another one speaks for it.
func (s *Session) judgeRestart(office *state.Office) {
	if !s.canJudge(office) || office.Conn != nil && office.Conn.Unread() {
		return
	}
	list := liveness.List{Heard: s.source.Heard(), Lost: s.journal.lostAt}
	if s.journal.conn == nil {
		list.Lost = s.now
	}
	restart, ended := office.Liveness.Restarted(s.now, list, countEstablished(office), s.nearDeparture())
	if !ended {
		return
	}
	s.log.Warn("office restarted", "office", office.ID, "evidence", restart.Evidence.String(), "last_word_ms", (s.now-restart.Spoke)/1000,
		"lost_ms", (s.now-restart.Before)/1000, "standing", len(office.Standing), "of_before", countEstablished(office)(0, restart.Before))
	for _, established := range inKeyOrder(office.Standing) {
		if established.Since < restart.Before {
			s.releaseForOffice(office, established, liveness.Restarted)
		}
	}
}

// judgeUnended releases the calls that have stood for long at an office of which none ends any more.
func (s *Session) judgeUnended(office *state.Office) {
	if !office.Liveness.UnendedDue(s.now) || !s.canJudge(office) || office.Conn != nil && office.Conn.Unread() {
		return
	}
	before, ended := office.Liveness.Unended(s.now, callsAtOffice(office), s.callDurations.Rates(s.observedOffices()))
	if !ended {
		return
	}
	if countEstablished(office)(0, before) > 0 {
		s.log.Warn("office ends no calls", append([]any{"office", office.ID}, s.livenessFields(office)...)...)
	}
	for _, established := range inKeyOrder(office.Standing) {
		if established.Since < before {
			s.releaseForOffice(office, established, liveness.NoneEnded)
		}
	}
}

// observed is what stands at each office, and until when nothing of it is known to have ended.
func (s *Session) observedOffices() iter.Seq[liveness.Observed] {
	return func(yield func(liveness.Observed) bool) {
		for _, office := range s.offices.All() {
			until := office.Liveness.LastEnd()
			if until == 0 {
				until = s.now
			}
			if !yield(liveness.Observed{Until: until, Calls: callsAtOffice(office)}) {
				return
			}
		}
	}
}

// callsAt is the calls that stand at an office.
func callsAtOffice(office *state.Office) iter.Seq[liveness.Call] {
	return func(yield func(liveness.Call) bool) {
		for _, established := range office.Standing {
			if !yield(liveness.Call{Since: established.Since, Class: established.Class}) {
				return
			}
		}
	}
}

// waiting is the set-ups that are out at an office for long enough to have been answered by now.
func (s *Session) overdueSetUps(office *state.Office) (waiting liveness.Unanswered) {
	for _, attempt := range office.Out {
		waiting.Add(s.now, office.Liveness.Waited(s.now, attempt.Since))
	}
	for _, lane := range office.Lanes {
		for _, attempt := range lane.Out {
			waiting.Add(s.now, office.Liveness.Waited(s.now, attempt.Since))
		}
	}
	return waiting
}

// standing counts the calls that stand at an office by when they began to.
func countEstablished(office *state.Office) liveness.Standing {
	return func(from, to int64) int {
		n := 0
		for _, established := range office.Standing {
			if established.Since >= from && established.Since < to {
				n++
			}
		}
		return n
	}
}

// unanswered counts the set-ups that are out on a connection for long enough to have been answered by now.
func (s *Session) unansweredSetUps(lane *state.Lane) int {
	n := 0
	for _, attempt := range lane.Out {
		if s.now-attempt.Since >= liveness.LeastWait && lane.To.Liveness.Served() <= attempt.Since {
			n++
		}
	}
	return n
}

// releaseFor releases a call towards its caller and, if its office still has it, there.
func (s *Session) releaseForOffice(office *state.Office, established *state.Standing, reason liveness.Reason) {
	call, lane := established.ID, established.On
	s.log.Info("call released for its office", "call", formatCallID(call), "office", office.ID, "reason", reason.String(),
		"stood_ms", (s.now-established.Since)/1000)
	s.Counters[releaseCounters[reason]]++
	s.cutEstablished(established)
	if office.Conn != nil || lane.Conn != nil {
		s.releaseAtOffice(lane, call, wire.CauseCut)
	}
	if len(office.Ended) < maxPendingReleases {
		office.Ended[call] = state.Ending{Cause: wire.CauseCut, At: s.now, On: lane.Number, Unresponsive: true}
	}
}
