package session

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"slices"
	"syscall"

	"pewterwheel/decide"
	"pewterwheel/internal/liveness"
	"pewterwheel/internal/pooling"
	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

func (s *Session) connect(officeConn *state.OfficeConn) {
	if officeConn.Conn == nil && officeConn.DialID == 0 {
		officeConn.DialID = s.dial(officeConn.To.Address.String(), officeConn)
	}
}

// connectReplacement opens a connection that replaces the present one once it is open.
func (s *Session) connectReplacement(office *state.Office) {
	if office.DialID == 0 && s.now >= office.NextDial {
		office.DialID = s.dial(office.Address.String(), &office.OfficeConn)
	}
}

func (s *Session) officeConnected(officeConn *state.OfficeConn, conn state.Conn) {
	office := officeConn.To
	if officeConn.Conn != nil {
		if len(officeConn.Outstanding) > 0 { // closing the present connection would reset its outstanding attempts
			officeConn.DialID = 0
			_ = conn.Close() // nothing was written to it
			return
		}
		s.closeConn(officeConn.Conn, errOfficeSilent)
	}
	if officeConn.DialID, officeConn.Buffer = 0, nil; officeConn.Number == 0 {
		// The backoff continues until a connection has lasted.
		office.ConnectFailed = false
		office.Liveness.Connected()
	}
	if office.State == decide.Removed {
		_ = conn.Close() // nothing was written to it
		s.failQueued(officeConn)
		s.removePooledConn(officeConn)
		s.removeCollector(officeConn)
		return
	}
	officeConn.Conn = conn
	officeConn.Received.Begin(s.now)
	if officeConn != office.Collector { // an office that hangs has told nothing on it yet
		office.Contact.Opened(s.now)
	}
	s.connOwners[conn] = officeConn
	if officeConn.Number == 0 {
		s.repeatPendingReleases(officeConn)
	}
	s.flushQueue(officeConn)
}

func (s *Session) officeDialFailed(officeConn *state.OfficeConn, err error) {
	office := officeConn.To
	officeConn.DialID = 0
	s.officeConnLogger(officeConn).Warn("office unreached", "office", office.ID, "error", err)
	if officeConn.Conn != nil {
		s.scheduleRedial(office, maxRedialDelay)
		return
	}
	s.failQueued(officeConn)
	if officeConn.Number != 0 {
		s.removePooledConn(officeConn)
		s.removeCollector(officeConn)
		return
	}
	office.ConnectFailed = true
	office.Contact.Lost(s.now)
	office.Liveness.ConnectFailed(s.now, refusedByPeer(err))
	s.judgeOffice(office)
	s.scheduleRedial(office, maxRedialDelay)
}

// refusedByPeer reports whether a connect was refused by the office's system, as opposed to a local failure.
func refusedByPeer(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// failQueued ends the set-ups that wait for a connection. Nothing of them has been sent.
func (s *Session) failQueued(officeConn *state.OfficeConn) {
	queue := officeConn.Queue
	officeConn.Queue = nil
	for _, attempt := range queue {
		s.Counters[state.ConnectFailures]++
		s.endAttempt(attempt, decide.Unreachable)
	}
}

// officeDisconnected ends what was open on a connection. Established calls outlive it: the office sends their
// releases on the next connection, which is opened at once.
func (s *Session) officeDisconnected(officeConn *state.OfficeConn, err error) {
	office, unsent := officeConn.To, errors.Is(err, errUnsentSetUps) || officeConn.Conn.Unsent()
	unanswered := s.unansweredSetUps(officeConn)
	officeConn.Conn, officeConn.Buffer = nil, nil
	s.writeOffice(officeConn) // discards the outbox and marks its attempts as not sent
	level := slog.LevelWarn
	if errors.Is(err, errIdle) || errors.Is(err, errCollected) || errors.Is(err, errDrained) {
		level = slog.LevelDebug
	}
	s.officeConnLogger(officeConn).Log(context.Background(), level, "office connection ended", "office", office.ID,
		"out", len(officeConn.Outstanding), "standing", len(office.Established),
		"silent_ms", millisSince(s.now, office.Liveness.LastMessage()),
		"served_ms", millisSince(s.now, office.Liveness.LastService()), "error", err)
	for _, attempt := range inKeyOrder(officeConn.Outstanding) {
		if attempt.Failed {
			s.Counters[state.ConnectFailures]++
			if attempt.EarlierReleasePending { // the call of the earlier attempt may be established there all the same
				office.PendingReleases[attempt.Call.ID] = attempt.EarlierRelease
			}
			s.endAttempt(attempt, decide.Unreachable)
			continue
		}
		s.Counters[state.Resets]++
		office.Liveness.SetUpCut(s.now, attempt.Since)
		office.PendingReleases[attempt.Call.ID] = state.PendingRelease{Cause: wire.CauseNormal, At: s.now,
			ConnNumber: officeConn.Number}
		if s.pooled.connSelector != nil {
			s.observe(pooling.ConnectionLost, attempt.Call.ID, 0, nil)
		}
		s.endAttempt(attempt, decide.Cut)
	}
	if unsent {
		s.scheduleReleaseRepeats(officeConn)
	}
	if s.pooled.connSelector != nil {
		s.officeConnLost(officeConn)
	}
	s.removeCollector(officeConn)
	if officeConn.Number == 0 {
		office.Contact.Lost(s.now)
		office.Liveness.ConnectionLost(s.now, liveness.LostConnection{Opened: officeConn.Received.Opened,
			Unanswered: unanswered})
	}
	switch short := s.now-officeConn.Received.Opened < maxRedialDelay; {
	case officeConn.Number != 0: // a pooled connection says nothing about the main connection
	case short && office.Backoff != 0: // else a connect per round trip where each is closed at once
		s.scheduleRedial(office, maxReopenDelay)
		return
	case short: // the first short connection may be chance
		office.Backoff = minRedialDelay / 2
	default:
		office.Backoff = 0
	}
	s.redialIfNeeded(office)
}

// millisSince returns how many milliseconds ago then was, for the log; -1: never.
func millisSince(now, time int64) int64 {
	if time == 0 {
		return -1
	}
	return (now - time) / 1000
}

// scheduleReleaseRepeats schedules the repetition of the pending releases of a connection that
// ended before everything on it had been sent: those of attempts that ended with it, and those of attempts
// cancelled before. The release of the latter may be lost although its set-up was sent.
func (s *Session) scheduleReleaseRepeats(officeConn *state.OfficeConn) {
	office := officeConn.To
	for call, ending := range office.PendingReleases {
		if ending.ConnNumber == officeConn.Number && ending.RepeatAt == 0 {
			ending.RepeatAt = s.now + releaseRepeatDelay
			office.PendingReleases[call] = ending
		}
	}
}

// repeatDueReleases sends an office the releases that are due for repetition. An office may read a set-up of an
// ended connection only after it has read the call's release on the next one; the call would then stay
// established without a caller.
func (s *Session) repeatDueReleases(office *state.Office) {
	for call, ending := range inKeyOrder(office.PendingReleases) {
		if ending.RepeatAt != 0 && s.now >= ending.RepeatAt && office.Conn != nil {
			ending.RepeatAt = 0
			office.PendingReleases[call] = ending
			s.sendOfficeRelease(&office.OfficeConn, call, ending.Cause)
		}
	}
}

// redialIfNeeded reconnects if calls are established at an office, also those of a previous process, or
// releases are pending. Otherwise the next set-up does.
func (s *Session) redialIfNeeded(office *state.Office) {
	needed := len(office.PendingReleases) > 0 || s.canTellAny(office) || s.mayHaveEarlierCalls(office)
	if office.State != decide.Removed && needed && s.now >= office.NextDial {
		s.connect(&office.OfficeConn)
	}
}

// mayHaveEarlierCalls reports whether calls of the previous process are likely enough at an office to connect to it at
// once. Later contactOffices does.
func (s *Session) mayHaveEarlierCalls(office *state.Office) bool {
	return s.responsibility.ExpectsEarlierCalls(s.now) && office.Started <= s.startedAt &&
		len(s.offices.All()) <= s.maxEagerOffices
}

// scheduleRedial reconnects after a delay that doubles each time, up to a maximum.
func (s *Session) scheduleRedial(office *state.Office, maxDelay int64) {
	office.Backoff = min(max(2*office.Backoff, minRedialDelay), maxDelay)
	office.NextDial = s.now + office.Backoff
	s.lastDialID++
	s.pendingRedials[s.lastDialID] = office
	s.wheel.Set(office.NextDial, state.Timer{Kind: state.TimerRedial, ID: s.lastDialID})
}

// endOffice ends an office or one incarnation of it when the list reports its end. The list is late, so calls
// that a restarted server has accepted since, on a connection opened since, are kept.
func (s *Session) endOffice(gone state.EndedOffice) {
	office, startedBefore := gone.Office, int64(math.MaxInt64)
	if gone.Removed {
		office.Liveness = liveness.Office{}
	} else {
		startedBefore = office.Started
	}
	s.cutEstablishedBefore(office, startedBefore)
	for _, officeConn := range slices.Clone(office.Pooled) {
		s.endOfficeConn(officeConn, startedBefore)
	}
	if office.Collector != nil {
		s.endOfficeConn(office.Collector, startedBefore)
	}
	s.endOfficeConn(&office.OfficeConn, startedBefore)
}

// endOfficeConn closes a connection to an office, or to one incarnation of it, that has ended.
func (s *Session) endOfficeConn(officeConn *state.OfficeConn, openedBefore int64) {
	if officeConn.Conn != nil && officeConn.Received.Opened >= openedBefore {
		return
	}
	if officeConn.Conn != nil {
		s.writeOffice(officeConn)
		delete(s.connOwners, officeConn.Conn)
		_ = officeConn.Conn.Close() // the connection is being abandoned
		officeConn.Conn = nil
	}
	for _, attempt := range inKeyOrder(officeConn.Outstanding) {
		s.Counters[state.Resets]++
		s.endAttempt(attempt, decide.Cut)
	}
	if officeConn.Number == 0 {
		clear(officeConn.To.PendingReleases)
	}
	if officeConn.DialID != 0 { // it may lead to the old address
		delete(s.dials, officeConn.DialID)
		officeConn.DialID = 0
	}
	s.failQueued(officeConn)
	s.removePooledConn(officeConn)
	s.removeCollector(officeConn)
}
