package session

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"pewterwheel/decide"
	"pewterwheel/internal/state"
)

func (s *Session) setTimer(at int64, timer state.Timer) {
	s.Counters[state.Timers]++
	s.wheel.Set(at, timer)
}

func (s *Session) handleTimer(timer state.Timer) {
	switch timer.Kind {
	case state.TimerModule:
		s.queueEvent(decide.Event{Kind: decide.TimerFired, Token: timer.ID})
	case state.TimerAttempt:
		if call := s.calls[timer.ID]; call != nil && call.Attempt != nil && call.Attempt.Number == int(timer.N) &&
			(call.Attempt.Queued || s.now >= call.Deadline) {
			s.Counters[state.TimeOuts]++
			s.cancelAttempt(call.Attempt, decide.TimedOut)
		}
	case state.TimerDial:
		if officeConn, ok := s.dials[timer.ID]; ok {
			delete(s.dials, timer.ID)
			if officeConn == nil {
				s.journalDisconnected(errDialTimeout)
			} else {
				s.officeDialFailed(officeConn, errDialTimeout)
			}
		}
	case state.TimerRedial:
		if office := s.pendingRedials[timer.ID]; office != nil {
			delete(s.pendingRedials, timer.ID)
			s.redialIfNeeded(office)
		}
	case state.TimerJournal:
		s.checkJournal()
		s.wheel.Set(s.now+journalCheckInterval, timer)
	case state.TimerIncomplete:
		s.checkOffices()
		s.contactOffices()
		s.checkCallers()
		s.checkControlConns()
		s.closeDrainedCallers()
		s.leaveOffices()
		s.wheel.Set(s.now+watchInterval, timer)
	case state.TimerConnWait:
		s.refuseWaiting(timer.ID, int(timer.N))
	case state.TimerStopAccepting:
		s.net.StopAccepting()
	case state.TimerShutdownDeadline:
		s.failOpenCalls()
	case state.TimerSweep:
		s.sweep()
		s.wheel.Set(s.now+sweepInterval, timer)
	}
}

// sweep removes expired entries.
func (s *Session) sweep() {
	s.callPool.Trim()
	s.trimEventBuffers()
	s.peakCalls = max(s.peakCalls, len(s.calls))
	s.peakEstablished = max(s.peakEstablished, len(s.established))
	s.endedCalls.Expire(s.now)
	s.calls = shrinkMap(s.calls, &s.peakCalls)
	s.established = shrinkMap(s.established, &s.peakEstablished)
	s.pooled.peakTracked = max(s.pooled.peakTracked, len(s.pooled.tracked))
	s.pooled.tracked = shrinkMap(s.pooled.tracked, &s.pooled.peakTracked)
	expired := func(_ uint64, ending state.PendingRelease) bool { return s.now-ending.At > pendingReleaseTTL }
	maps.DeleteFunc(s.earlierReleases, expired)
	s.expireReleases()
	for _, office := range s.offices.All() {
		maps.DeleteFunc(office.PendingReleases, expired)
		s.repeatDueReleases(office)
		office.UnknownReleases = 0
	}
	if s.pooled.connSelector != nil {
		s.closeIdleOwnedConns()
	}
	s.offices.Prune()
}

// shrinkMap reallocates a map that has far fewer entries than it had at most, since a map never shrinks by
// itself.
func shrinkMap[V any](m map[uint64]V, largest *int) map[uint64]V {
	const least, much = 4096, 8
	if *largest < least || len(m) > *largest/much {
		return m
	}
	*largest = len(m)
	n := make(map[uint64]V, len(m))
	maps.Copy(n, m)
	return n
}

// inKeyOrder iterates over a map by ascending key, so that nothing depends on map order. Entries removed
// during the iteration are skipped.
func inKeyOrder[K cmp.Ordered, V any](m map[K]V) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, k := range slices.Sorted(maps.Keys(m)) {
			v, present := m[k]
			if present && !yield(k, v) {
				return
			}
		}
	}
}
