package session

import (
	"slices"

	"pewterwheel/decide"
	"pewterwheel/internal/pooling"
	"pewterwheel/internal/state"
)

// sentRelease is a release that was sent to an office.
type sentRelease struct {
	call   uint64
	sentAt int64
}

// releaseAcknowledged notes that an office has acknowledged the release of a call.
func (s *Session) releaseAcknowledged(officeConn *state.OfficeConn, call uint64) {
	tracked := s.pooled.tracked[call]
	if tracked == nil || tracked.releaseConn == nil || tracked.releaseConn.To != officeConn.To {
		return
	}
	tracked.releaseConn = nil
	s.observe(pooling.EndAcknowledged, call, 0, nil)
	if tracked.over {
		s.untrackCall(call, tracked)
	}
}

// checkReleases reports releases that were not acknowledged in time and repeats them. If the connection
// has ended since, nothing is reported, because that may be the reason.
func (s *Session) checkReleases() {
	pooled := &s.pooled
	for pooled.firstUnchecked < len(pooled.sentReleases) &&
		s.now-pooled.sentReleases[pooled.firstUnchecked].sentAt >= releaseAckTimeout {
		release := pooled.sentReleases[pooled.firstUnchecked]
		pooled.firstUnchecked++
		tracked := pooled.tracked[release.call]
		if tracked == nil || tracked.releaseConn == nil || tracked.releasedAt != release.sentAt {
			continue
		}
		officeConn := tracked.releaseConn
		tracked.releaseConn = nil
		if officeConn.Conn != nil && officeConn.Received.Opened <= release.sentAt && officeConn.To.State != decide.Removed {
			s.observe(pooling.EndUnacknowledged, release.call, 0, nil)
			if ending, kept := officeConn.To.PendingReleases[release.call]; kept && tracked.repeats < maxReleaseRepeats &&
				!pooled.observeOnly {
				tracked.repeats++
				s.releaseAtOffice(officeConn, release.call, ending.Cause)
			}
		}
		if tracked.releaseConn == nil && tracked.over {
			s.untrackCall(release.call, tracked)
		}
	}
	if pooled.firstUnchecked == len(pooled.sentReleases) {
		pooled.sentReleases, pooled.firstUnchecked = pooled.sentReleases[:0], 0
	} else if pooled.firstUnchecked > 1024 && pooled.firstUnchecked > len(pooled.sentReleases)/2 {
		pooled.sentReleases, pooled.firstUnchecked = append(pooled.sentReleases[:0],
			pooled.sentReleases[pooled.firstUnchecked:]...), 0
	}
}

// connForRelease returns the connection for a release or cancellation of a call: that of its set-up, or another
// one if the verdict allows it. If that connection has ended, it is the office's main connection.
func (s *Session) connForRelease(officeConn *state.OfficeConn, call uint64) *state.OfficeConn {
	pooled, tracked := &s.pooled, s.pooled.tracked[call]
	if tracked != nil && !pooled.observeOnly {
		// A cancellation must follow its set-up on the same connection. If it overtook the set-up on another
		// connection, the office would ignore it and then work on a call that has been retried elsewhere.
		if tracked.established && pooled.connSelector.Select(s.now, &tracked.call, pooling.End) == pooling.AnyConnection ||
			!tracked.established && pooled.disabled.cancelInOrder {
			officeConn = anotherConn(officeConn)
		}
	}
	if officeConn.Conn == nil {
		officeConn = &officeConn.To.OfficeConn
	}
	if tracked != nil {
		tracked.releaseConn, tracked.releasedAt = officeConn, s.now
		pooled.sentReleases = append(pooled.sentReleases, sentRelease{call, s.now})
	}
	return officeConn
}

// connForAck returns the connection on which an office's release of a call is acknowledged: the one on which it
// arrived, or the one that holds the call.
func (s *Session) connForAck(officeConn *state.OfficeConn, call uint64) *state.OfficeConn {
	established, tracked := s.established[call], s.pooled.tracked[call]
	if established == nil || tracked == nil || s.pooled.observeOnly || established.OfficeConn == officeConn ||
		established.OfficeConn.To != officeConn.To || established.OfficeConn.Conn == nil ||
		s.pooled.connSelector.Select(s.now, &tracked.call, pooling.ReleaseAck) != pooling.SetUpConnection {
		return officeConn
	}
	return established.OfficeConn
}

// outstandingAttempt returns the attempt that a message of an office refers to. In most cases it is on the
// connection on which the message arrived.
func (s *Session) outstandingAttempt(officeConn *state.OfficeConn, call uint64) *state.Attempt {
	hasOthers := len(officeConn.To.Pooled) > 0 || officeConn.To.Collector != nil
	if attempt := officeConn.Outstanding[call]; attempt != nil || !hasOthers {
		return attempt
	}
	if c := s.calls[call]; c != nil && c.Attempt != nil && c.Attempt.OfficeConn.To == officeConn.To && !c.Attempt.Queued {
		return c.Attempt
	}
	return nil
}

// repeatPendingReleases repeats pending releases on an office's main connection, which has just been opened,
// except those sent on a pooled connection that is still open.
func (s *Session) repeatPendingReleases(officeConn *state.OfficeConn) {
	office := officeConn.To
	for call, ending := range inKeyOrder(office.PendingReleases) {
		if ending.ConnNumber != 0 {
			if slices.ContainsFunc(office.Pooled, func(c *state.OfficeConn) bool {
				return c.Number == ending.ConnNumber && c.Conn != nil
			}) {
				continue
			}
			ending.ConnNumber = 0
			office.PendingReleases[call] = ending
		}
		s.sendOfficeRelease(officeConn, call, ending.Cause)
	}
}

// officeConnLost notes that an office connection has ended. Pending releases of a pooled connection are repeated
// on the main connection.
func (s *Session) officeConnLost(officeConn *state.OfficeConn) {
	office := officeConn.To
	if officeConn.EstablishedCount > 0 {
		for id, established := range inKeyOrder(office.Established) {
			if established.OfficeConn == officeConn {
				s.observe(pooling.ConnectionLost, id, 0, nil)
			}
		}
	}
	if officeConn.Number == 0 {
		return
	}
	s.removePooledConn(officeConn)
	if s.pooled.disabled.repeatLost {
		return
	}
	for call, ending := range inKeyOrder(office.PendingReleases) {
		if ending.ConnNumber == officeConn.Number {
			ending.ConnNumber = 0
			office.PendingReleases[call] = ending
			s.sendOfficeRelease(&office.OfficeConn, call, ending.Cause)
		}
	}
}

// removePooledConn removes a pooled connection that has ended or failed to open.
func (s *Session) removePooledConn(officeConn *state.OfficeConn) {
	if officeConn.Number == 0 || officeConn.Number == waitingNumber {
		return
	}
	office, is := officeConn.To, func(c *state.OfficeConn) bool { return c == officeConn }
	if !slices.ContainsFunc(office.Pooled, is) {
		return
	}
	office.Pooled = slices.DeleteFunc(office.Pooled, is)
	office.FreeConns = slices.DeleteFunc(office.FreeConns, is)
	if officeConn.Owner != nil {
		delete(office.CallerConns, officeConn.Owner.Session)
	}
	officeConn.HeldByCall = 0
	s.pooled.count--
	s.pooled.connAvailable = true
}
