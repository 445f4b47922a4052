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

func (s *Session) connect(lane *state.Lane) {
	if lane.Conn == nil && lane.Dialling == 0 {
		lane.Dialling = s.dial(lane.To.Address.String(), lane)
	}
}

// connectReplacement opens a connection that replaces the present one once it is open.
func (s *Session) connectReplacement(office *state.Office) {
	if office.Dialling == 0 && s.now >= office.NotUntil {
		office.Dialling = s.dial(office.Address.String(), &office.Lane)
	}
}

func (s *Session) officeConnected(lane *state.Lane, conn state.Conn) {
	office := lane.To
	if lane.Conn != nil {
		if len(lane.Out) > 0 { // closing the present connection would reset the attempts that are out on it
			lane.Dialling = 0
			_ = conn.Close() // nothing was written to it
			return
		}
		s.closeConn(lane.Conn, errOfficeSilent)
	}
	if lane.Dialling, lane.In = 0, nil; lane.Number == 0 { // the backoff continues until a connection has lasted
		office.Unreached = false
		office.Liveness.Connected()
	}
	if office.State == decide.Removed {
		_ = conn.Close() // nothing was written to it
		s.failQueued(lane)
		s.removeLane(lane)
		return
	}
	lane.Conn = conn
	lane.Spoken.Up(s.now)
	s.connOwners[conn] = lane
	if lane.Number == 0 {
		s.resendReleases(lane)
	}
	s.flushQueue(lane)
}

func (s *Session) officeDialFailed(lane *state.Lane, err error) {
	office := lane.To
	lane.Dialling = 0
	s.laneLogger(lane).Warn("office unreached", "office", office.ID, "error", err)
	if lane.Conn != nil {
		s.scheduleRedial(office, maxRedialDelay)
		return
	}
	s.failQueued(lane)
	if lane.Number != 0 {
		s.removeLane(lane)
		return
	}
	office.Unreached = true
	office.Liveness.ConnectFailed(s.now, refusedByPeer(err))
	s.judgeOffice(office)
	s.scheduleRedial(office, maxRedialDelay)
}

// refusedByPeer reports whether a connect was refused by the office's system, as opposed to a local failure.
func refusedByPeer(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// failQueued ends the set-ups that wait for a connection. Nothing of them has been sent.
func (s *Session) failQueued(lane *state.Lane) {
	queue := lane.Queue
	lane.Queue = nil
	for _, attempt := range queue {
		s.Counters[state.Unreached]++
		s.endAttempt(attempt, decide.Unreached)
	}
}

// officeDisconnected ends what was open on a connection. Established calls outlive it: the office sends their
// releases on the next connection, which is opened at once.
func (s *Session) officeDisconnected(lane *state.Lane, err error) {
	office, unsent := lane.To, errors.Is(err, errUnsentSetUps) || lane.Conn.Unsent()
	unanswered := s.unansweredSetUps(lane)
	lane.Conn, lane.In = nil, nil
	s.writeOffice(lane) // discards the outbox and marks its attempts as not sent
	level := slog.LevelWarn
	if errors.Is(err, errIdle) {
		level = slog.LevelDebug
	}
	s.laneLogger(lane).Log(context.Background(), level, "office connection ended", "office", office.ID, "out", len(lane.Out), "standing", len(office.Standing),
		"silent_ms", millisSince(s.now, office.Liveness.Spoke()), "served_ms", millisSince(s.now, office.Liveness.Served()), "error", err)
	for _, attempt := range inKeyOrder(lane.Out) {
		if attempt.Failed {
			s.Counters[state.Unreached]++
			if attempt.Unheard { // the call of the earlier attempt may be established there all the same
				office.Ended[attempt.Call.ID] = attempt.Over
			}
			s.endAttempt(attempt, decide.Unreached)
			continue
		}
		s.Counters[state.Resets]++
		office.Liveness.Cut(s.now, attempt.Since)
		office.Ended[attempt.Call.ID] = state.Ending{Cause: wire.CauseNormal, At: s.now, On: lane.Number}
		if s.lanes.laner != nil {
			s.observe(pooling.LaneLost, attempt.Call.ID, 0, nil)
		}
		s.endAttempt(attempt, decide.Cut)
	}
	if unsent {
		s.scheduleReleaseRepeats(lane)
	}
	if s.lanes.laner != nil {
		s.laneLost(lane)
	}
	if lane.Number == 0 {
		office.Liveness.ConnectionLost(s.now, liveness.Lost{Opened: lane.Spoken.Opened, Unanswered: unanswered})
	}
	switch short := s.now-lane.Spoken.Opened < maxRedialDelay; {
	case lane.Number != 0: // a lane says nothing about the main connection
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

// scheduleReleaseRepeats schedules another transmission of the unacknowledged releases of a connection that
// ended before everything on it had been sent: those of attempts that ended with it, and those of attempts
// cancelled before. The release of the latter may be lost although its set-up was sent.
func (s *Session) scheduleReleaseRepeats(lane *state.Lane) {
	office := lane.To
	for call, ending := range office.Ended {
		if ending.On == lane.Number && ending.Again == 0 {
			ending.Again = s.now + releaseRepeatDelay
			office.Ended[call] = ending
		}
	}
}

// repeatReleases sends an office the releases that are due for repetition. An office may read a set-up of an
// ended connection only after it has read the call's release on the next one; the call would then stay
// established without a caller.
func (s *Session) repeatReleases(office *state.Office) {
	for call, ending := range inKeyOrder(office.Ended) {
		if ending.Again != 0 && s.now >= ending.Again && office.Conn != nil {
			ending.Again = 0
			office.Ended[call] = ending
			s.sendOfficeRelease(&office.Lane, call, ending.Cause)
		}
	}
}

// redialIfNeeded reconnects if calls are established at an office, also those of a previous process, or
// releases are pending. Otherwise the next set-up does.
func (s *Session) redialIfNeeded(office *state.Office) {
	needed := len(office.Standing) > 0 || len(office.Ended) > 0 || s.mayHaveEarlierCalls(office)
	if office.State != decide.Removed && needed && s.now >= office.NotUntil {
		s.connect(&office.Lane)
	}
}

// mayHaveEarlierCalls reports whether calls of the previous process may be established at an office.
func (s *Session) mayHaveEarlierCalls(office *state.Office) bool {
	return s.now-s.earlierCallSeen < earlierCallsWindow && office.Started <= s.startedAt && len(s.offices.All()) <= s.maxEagerOffices
}

// scheduleRedial reconnects after a delay that doubles each time, up to a maximum.
func (s *Session) scheduleRedial(office *state.Office, maxDelay int64) {
	office.Backoff = min(max(2*office.Backoff, minRedialDelay), maxDelay)
	office.NotUntil = s.now + office.Backoff
	s.lastDialID++
	s.pendingRedials[s.lastDialID] = office
	s.wheel.Set(office.NotUntil, state.Timer{Kind: state.TimerRedial, ID: s.lastDialID})
}

// endOffice ends an office or one incarnation of it when the list reports its end. The list is late, so calls
// that a restarted server has accepted since, on a connection opened since, are kept.
func (s *Session) endOffice(gone state.Gone) {
	office, startedBefore := gone.Office, int64(math.MaxInt64)
	if gone.Removed {
		office.Liveness = liveness.Office{}
	} else {
		startedBefore = office.Started
	}
	s.cutEstablishedBefore(office, startedBefore)
	for _, lane := range slices.Clone(office.Lanes) {
		s.endLane(lane, startedBefore)
	}
	s.endLane(&office.Lane, startedBefore)
}

// endLane closes a connection to an office, or to one incarnation of it, that has ended.
func (s *Session) endLane(lane *state.Lane, openedBefore int64) {
	if lane.Conn != nil && lane.Spoken.Opened >= openedBefore {
		return
	}
	if lane.Conn != nil {
		s.writeOffice(lane)
		delete(s.connOwners, lane.Conn)
		_ = lane.Conn.Close() // the connection is being abandoned
		lane.Conn = nil
	}
	for _, attempt := range inKeyOrder(lane.Out) {
		s.Counters[state.Resets]++
		s.endAttempt(attempt, decide.Cut)
	}
	if lane.Number == 0 {
		clear(lane.To.Ended)
	}
	if lane.Dialling != 0 { // it may lead to the old address
		delete(s.dials, lane.Dialling)
		lane.Dialling = 0
	}
	s.failQueued(lane)
	s.removeLane(lane)
}
