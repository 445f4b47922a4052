package session

import (
	"slices"

	"pewterwheel/decide"
	"pewterwheel/internal/pooling"
	"pewterwheel/internal/state"
)

// told is a release that was sent to an office.
type sentRelease struct {
	call   uint64
	sentAt int64
}

// endHeard notes that an office has heard the release of a call.
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

// watchEnds looks for releases that were not heard in time, and sends them again. One whose connection has ended tells
// nothing: that may be what kept it.
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

// laneToEnd is the lane on which a release of a call goes, or a give-up: that of its set-up, or another where the verdict
// lets it; where that has ended, the office's main one.
func (s *Session) laneForRelease(lane *state.Lane, call uint64) *state.Lane {
	lanes, tracked := &s.lanes, s.lanes.tracked[call]
	if tracked != nil && !lanes.observeOnly {
		// A give-up goes behind its set-up. Guards against one that overtakes it on another connection: the office would pass
		// it over, and then work for nobody while the call is tried again elsewhere.
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

// laneToHear is the lane on which an office is told that its release of a call was taken: where it came, or where the call is
// held.
func (s *Session) laneForAck(lane *state.Lane, call uint64) *state.Lane {
	established, tracked := s.established[call], s.lanes.tracked[call]
	if established == nil || tracked == nil || s.lanes.observeOnly || established.On == lane || established.On.To != lane.To || established.On.Conn == nil ||
		s.lanes.laner.Lane(s.now, &tracked.call, pooling.Heard) != pooling.Held {
		return lane
	}
	return established.On
}

// outAt is the attempt that is out at an office and that a message is of: mostly on the connection on which it came.
func (s *Session) outstandingAttempt(lane *state.Lane, call uint64) *state.Attempt {
	if attempt := lane.Out[call]; attempt != nil || len(lane.To.Lanes) == 0 {
		return attempt
	}
	if c := s.calls[call]; c != nil && c.Attempt != nil && c.Attempt.On.To == lane.To && !c.Attempt.Queued {
		return c.Attempt
	}
	return nil
}

// endHere releases on an office's main connection, which has just come up, what was not heard yet; but for what went on a
// lane that is still there.
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

// laneLost notes that a connection has ended. What was released on a lane and not heard is released again on the main one.
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

// laneOver forgets a lane whose connection has ended, or has not come up.
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
