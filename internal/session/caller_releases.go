package session

import (
	"pewterwheel/decide"
	"pewterwheel/internal/delivery"
	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

// releaseToCaller sends a call's release to its client: on the connection of the set-up while that is open, otherwise
// on each connection that may be the client's, as s.releases decides. from is nil for a call of a previous process.
func (s *Session) releaseToCaller(release delivery.Release, from *state.Caller) {
	s.Counters[state.ReleasesOut]++
	var setUpOn *delivery.Connection
	if from != nil {
		setUpOn = &from.Delivery
	}
	if s.releases.Release(release, setUpOn, s.now) {
		s.sendRelease(from, release.Call, release.Cause, 0)
	}
}

// sendRetainedToAll sends retained releases on all connections for which some wait.
func (s *Session) sendRetainedToAll() {
	if !s.releases.StartRound(s.now) {
		return
	}
	for _, caller := range s.callers {
		s.sendRetained(caller)
	}
}

// sendRetained sends a connection the retained releases that it may be sent now.
func (s *Session) sendRetained(caller *state.Caller) {
	if s.releases.Ready(&caller.Delivery, s.now) {
		s.copyReleases(caller, s.releases.Take(&caller.Delivery, releaseBuffers(caller), s.now))
	}
}

// sendRetainedBeforeClose sends a connection that is about to be closed the retained releases that it was not sent yet.
func (s *Session) sendRetainedBeforeClose(caller *state.Caller) {
	if s.releases.Len() > 0 {
		s.copyReleases(caller, s.releases.TakeLast(&caller.Delivery, releaseBuffers(caller), s.now))
	}
}

// copyReleases writes copies of retained releases to a caller. They are no reply: a connection that asks for nothing is
// still closed for that.
func (s *Session) copyReleases(caller *state.Caller, releases []delivery.Release) {
	for _, release := range releases {
		box := s.callerOutbox(caller)
		if box == nil {
			return
		}
		box.Bytes = wire.AppendRelease(box.Bytes, release.Call, release.Cause, 0)
	}
}

// releaseBuffers returns the state of a caller's buffers. A message that has begun counts as unread if it may become a
// health test.
func releaseBuffers(caller *state.Caller) delivery.Buffers {
	return delivery.Buffers{Unread: caller.Conn.Unread() || wire.MayBeTest(caller.Buffer), Unsent: caller.Conn.Unsent()}
}

// countRetained updates the counters of retained releases.
func (s *Session) countRetained() {
	s.Counters[state.ReleasesRetained] = s.releases.Retained
	s.Counters[state.ReleaseCopies] = s.releases.Copied
	s.Counters[state.ReleasesDropped] = s.releases.Dropped
}

// expireReleases forgets releases that were sent on further connections for long enough, and acknowledges them to their
// offices.
func (s *Session) expireReleases() {
	for _, caller := range s.callers {
		s.releases.ExpireSent(&caller.Delivery, s.now)
	}
	for _, release := range s.releases.Expire(s.now) {
		if office := s.offices.Get(release.Office); office != nil {
			s.sendAck(office.OpenConn(release.OfficeConn), release.Call)
		}
	}
}

// sendAck acknowledges an office's release, if the office is connected.
func (s *Session) sendAck(officeConn *state.OfficeConn, call uint64) {
	if officeConn.Conn != nil {
		box := s.officeOutbox(officeConn)
		box.Bytes = wire.AppendHeard(box.Bytes, call)
	}
}

// acknowledgesRelease reports whether an office's release is acknowledged at once. One whose client is not known to be
// connected is acknowledged only when this process has finished with it: should the process end before, the office
// repeats the release on its next connection, to the next process.
func (s *Session) acknowledgesRelease(office *state.Office, call uint64) bool {
	if _, ended := office.PendingReleases[call]; ended || s.calls[call] != nil {
		return true
	}
	if established := s.established[call]; established != nil {
		return established.OfficeConn.To != office || established.From.Conn != nil
	}
	return s.endedCalls.Has(call) && !s.releases.Retains(call)
}

// queueEarlierRelease queues a caller's release of a call of a previous process.
func (s *Session) queueEarlierRelease(caller *state.Caller, release delivery.EarlierRelease) {
	dropped, full := s.earlierWaiting.Add(&caller.Delivery, release)
	if full {
		s.Counters[state.InvalidIn]++
		s.endedCalls.Remove(dropped.Call) // its caller may release it again
	}
}

// passOnEarlierReleases sends the offices the callers' releases of a previous process's calls that are due: any office
// may hold such a call, and the others ignore its release.
func (s *Session) passOnEarlierReleases() {
	for _, release := range s.earlierWaiting.Take(len(s.offices.All()), s.now) {
		if len(s.earlierReleases) < maxEarlierReleases {
			s.earlierReleases[release.Call] = state.PendingRelease{Cause: release.Cause, At: s.now}
		}
		for _, office := range s.offices.All() {
			if office.State != decide.Removed {
				s.releaseAtOffice(&office.OfficeConn, release.Call, release.Cause)
			}
		}
	}
}
