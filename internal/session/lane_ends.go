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
func (s *Session) releaseAcknowledged(lane *state.Lane, call uint64) {
	tracked := s.lanes.tracked[call]
	if tracked == nil || tracked.releaseLane == nil || tracked.releaseLane.To != lane.To {
		return
	}
	tracked.releaseLane = nil
	s.observe(pooling.EndHeard, call, 0, nil)
	if tracked.over {
		s.untrackCall(call, tracked)
	}
}

// checkReleases reports releases that were not acknowledged in time and sends them again. If the connection
// has ended since, nothing is reported, because that may be the reason.
func (s *Session) checkReleases() {
	lanes := &s.lanes
	for lanes.firstPending < len(lanes.sentReleases) && s.now-lanes.sentReleases[lanes.firstPending].sentAt >= releaseAckTimeout {
		release := lanes.sentReleases[lanes.firstPending]
		lanes.firstPending++
		tracked := lanes.tracked[release.call]
		if tracked == nil || tracked.releaseLane == nil || tracked.releasedAt != release.sentAt {
			continue
		}
		lane := tracked.releaseLane
		tracked.releaseLane = nil
		if lane.Conn != nil && lane.Spoken.Opened <= release.sentAt && lane.To.State != decide.Removed {
			s.observe(pooling.EndUnheard, release.call, 0, nil)
			if ending, kept := lane.To.Ended[release.call]; kept && tracked.repeats < maxReleaseRepeats && !lanes.observeOnly {
				tracked.repeats++
				s.releaseAtOffice(lane, release.call, ending.Cause)
			}
		}
		if tracked.releaseLane == nil && tracked.over {
			s.untrackCall(release.call, tracked)
		}
	}
	if lanes.firstPending == len(lanes.sentReleases) {
		lanes.sentReleases, lanes.firstPending = lanes.sentReleases[:0], 0
	} else if lanes.firstPending > 1024 && lanes.firstPending > len(lanes.sentReleases)/2 {
		lanes.sentReleases, lanes.firstPending = append(lanes.sentReleases[:0], lanes.sentReleases[lanes.firstPending:]...), 0
	}
}

// laneForRelease returns the lane for a release or cancellation of a call: the lane of its set-up, or another
// one if the verdict allows it. If that lane has ended, it is the office's main connection.
func (s *Session) laneForRelease(lane *state.Lane, call uint64) *state.Lane {
	lanes, tracked := &s.lanes, s.lanes.tracked[call]
	if tracked != nil && !lanes.observeOnly {
		// A cancellation must follow its set-up on the same lane. If it overtook the set-up on another
		// connection, the office would ignore it and then work on a call that has been retried elsewhere.
		if tracked.established && lanes.laner.Lane(s.now, &tracked.call, pooling.End) == pooling.Any || !tracked.established && lanes.disabled.cancelInOrder {
			lane = anotherLane(lane)
		}
	}
	if lane.Conn == nil {
		lane = &lane.To.Lane
	}
	if tracked != nil {
		tracked.releaseLane, tracked.releasedAt = lane, s.now
		lanes.sentReleases = append(lanes.sentReleases, sentRelease{call, s.now})
	}
	return lane
}

// laneForAck returns the lane on which an office's release of a call is acknowledged: the one on which it
// arrived, or the one that holds the call.
func (s *Session) laneForAck(lane *state.Lane, call uint64) *state.Lane {
	established, tracked := s.established[call], s.lanes.tracked[call]
	if established == nil || tracked == nil || s.lanes.observeOnly || established.On == lane || established.On.To != lane.To || established.On.Conn == nil ||
		s.lanes.laner.Lane(s.now, &tracked.call, pooling.Heard) != pooling.Held {
		return lane
	}
	return established.On
}

// outstandingAttempt returns the attempt that a message of an office refers to. In most cases it is on the
// connection on which the message arrived.
func (s *Session) outstandingAttempt(lane *state.Lane, call uint64) *state.Attempt {
	if attempt := lane.Out[call]; attempt != nil || len(lane.To.Lanes) == 0 {
		return attempt
	}
	if c := s.calls[call]; c != nil && c.Attempt != nil && c.Attempt.On.To == lane.To && !c.Attempt.Queued {
		return c.Attempt
	}
	return nil
}

// resendReleases repeats unacknowledged releases on an office's main connection, which has just been opened,
// except those sent on a lane that is still open.
func (s *Session) resendReleases(lane *state.Lane) {
	office := lane.To
	for call, ending := range inKeyOrder(office.Ended) {
		if ending.On != 0 {
			if slices.ContainsFunc(office.Lanes, func(l *state.Lane) bool { return l.Number == ending.On && l.Conn != nil }) {
				continue
			}
			ending.On = 0
			office.Ended[call] = ending
		}
		s.sendOfficeRelease(lane, call, ending.Cause)
	}
}

// laneLost notes that a connection has ended. Unacknowledged releases of a lane are repeated on the main
// connection.
func (s *Session) laneLost(lane *state.Lane) {
	office := lane.To
	if lane.Stands > 0 {
		for id, established := range inKeyOrder(office.Standing) {
			if established.On == lane {
				s.observe(pooling.LaneLost, id, 0, nil)
			}
		}
	}
	if lane.Number == 0 {
		return
	}
	s.removeLane(lane)
	if s.lanes.disabled.repeatLost {
		return
	}
	for call, ending := range inKeyOrder(office.Ended) {
		if ending.On == lane.Number {
			ending.On = 0
			office.Ended[call] = ending
			s.sendOfficeRelease(&office.Lane, call, ending.Cause)
		}
	}
}

// removeLane removes a lane whose connection has ended or failed to open.
func (s *Session) removeLane(lane *state.Lane) {
	if lane.Number == 0 || lane.Number == waitingNumber {
		return
	}
	office, is := lane.To, func(x *state.Lane) bool { return x == lane }
	if !slices.ContainsFunc(office.Lanes, is) {
		return
	}
	office.Lanes = slices.DeleteFunc(office.Lanes, is)
	office.Free = slices.DeleteFunc(office.Free, is)
	if lane.Owner != nil {
		delete(office.Own, lane.Owner.Session)
	}
	lane.Holder = 0
	s.lanes.count--
	s.lanes.laneAvailable = true
}
