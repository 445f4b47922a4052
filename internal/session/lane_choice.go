package session

import (
	"math"
	"slices"

	"pewterwheel/decide"
	"pewterwheel/internal/pooling"
	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

// laneFor returns the connection on which a call's next set-up goes to an office, or the office's waiting
// queue (Room) if no lane is available.
func (s *Session) laneFor(call *state.Call, office *state.Office) *state.Lane {
	lanes, tracked := &s.lanes, s.lanes.tracked[call.ID]
	if office.Serial == 0 {
		lanes.lastSerial++
		office.Serial = lanes.lastSerial
	}
	verdict := pooling.Own
	if tracked != nil {
		tracked.call.Office = office.Serial
		if lanes.observeOnly {
			tracked.call.Lane = pooling.Any
		} else {
			tracked.verdict = lanes.laner.Lane(s.now, &tracked.call, pooling.SetUp)
			verdict = tracked.verdict
		}
	}
	if lanes.observeOnly {
		return &office.Lane
	}
	lane := s.findLane(verdict, call, office, true)
	if lane == nil {
		if lanes.disabled.waitForLane {
			return &office.Lane
		}
		if office.Room == nil {
			office.Room = &state.Lane{To: office, Number: waitingNumber}
		}
		lane = office.Room
	}
	return lane
}

// findLane finds a lane for a call's set-up, or creates one if create is set. It returns nil if there is none.
func (s *Session) findLane(verdict pooling.Lane, call *state.Call, office *state.Office, create bool) *state.Lane {
	switch verdict {
	case pooling.Any:
		return &office.Lane
	case pooling.Taken:
		if s.lanes.disabled.exclusiveLane && len(office.Lanes) > 0 {
			return office.Lanes[0]
		}
		if k := len(office.Free); k > 0 {
			lane := office.Free[k-1]
			office.Free = office.Free[:k-1]
			lane.Holder = call.ID
			return lane
		}
		if !create {
			return nil
		}
		l := s.newLane(office)
		if l != nil {
			l.Holder = call.ID
		}
		return l
	}
	l := office.Own[call.From.Session] // whatever other verdict there may be: a lane of its own is the safest
	if l == nil && create {
		if l = s.newLane(office); l != nil {
			if l.Owner = call.From; office.Own == nil {
				office.Own = map[uint64]*state.Lane{}
			}
			office.Own[call.From.Session] = l
		}
	}
	return l
}

// newLane creates a lane if the limits allow it or an idle lane can be closed.
func (s *Session) newLane(office *state.Office) *state.Lane {
	lanes := &s.lanes
	most := max(1, min(lanes.sockets/laneDivisor, lanes.sockets/2-laneReserve-len(s.offices.All())))
	if lanes.disabled.laneLimit {
		most = math.MaxInt
	}
	if atOffice := len(office.Lanes) >= max(1, most/officeLaneDivisor); (atOffice || lanes.count >= most) && !s.evictIdleLane(office, atOffice) {
		return nil
	}
	lanes.lastNumber++
	lanes.count++
	lanes.opened++
	lane := &state.Lane{To: office, Number: lanes.lastNumber, Out: map[uint64]*state.Attempt{}, Idle: s.now}
	office.Lanes = append(office.Lanes, lane)
	return lane
}

// evictIdleLane closes the lane that has been idle longest and belongs to nobody, at one office or at all. A
// caller's own lane stays while the caller is connected, because the state that the office keeps for the
// connection would be lost.
func (s *Session) evictIdleLane(office *state.Office, atOffice bool) bool {
	var idle *state.Lane
	consider := func(o *state.Office) {
		for _, lane := range o.Lanes {
			if (lane.Loose() || s.lanes.disabled.keepOwned && lane.Quiet()) && lane.Conn != nil && (idle == nil || lane.Idle < idle.Idle) {
				idle = lane
			}
		}
	}
	if atOffice {
		consider(office)
	} else {
		for _, o := range s.offices.All() {
			consider(o)
		}
	}
	if idle == nil || idle.Conn.Waiting() {
		return false
	}
	s.lanes.evicted++
	s.closeConn(idle.Conn, errIdle)
	return true
}

// waitForLane lets an attempt wait for a lane until its class's aim has passed; then its call is refused.
// Using another lane would be faster, but no lane that is not known to be safe may be used.
func (s *Session) waitForLane(attempt *state.Attempt) {
	call := attempt.Call
	s.lanes.waited++
	until := min(call.Deadline, call.Deadline-call.SetUp.Wait+s.settings.Classes[s.classIndex[call.SetUp.Class]].Aim)
	if until <= s.now || len(attempt.On.Queue) > maxWaiting {
		s.refuseWaiting(call.ID, attempt.N)
		return
	}
	if !s.lanes.disabled.waitLimit {
		s.setTimer(until, state.Timer{Kind: state.TimerRoom, ID: call.ID, N: int32(attempt.N)})
	}
}

// refuseWaiting refuses a call whose attempt still waits for a lane.
func (s *Session) refuseWaiting(id uint64, n int) {
	call := s.calls[id]
	if call == nil || call.Answered || call.Attempt == nil || call.Attempt.N != n || call.Attempt.On.Number != waitingNumber {
		return
	}
	s.lanes.refused++
	s.finishCall(call, decide.Action{Call: decide.CallID(id), Wait: s.retryAfter(call)}, wire.CauseCongestion, state.RefusalsOut)
}

// assignLanes gives the available lanes to waiting attempts. The offices take turns at being first.
func (s *Session) assignLanes() {
	lanes := &s.lanes
	lanes.laneAvailable = false
	all := s.offices.All()
	lanes.turn++
	for i := range all {
		office := all[(i+lanes.turn)%len(all)]
		if office.Room == nil || len(office.Room.Queue) == 0 || office.State != decide.Up {
			continue
		}
		waiting := office.Room.Queue
		kept, create := waiting[:0:0], true
		for _, attempt := range waiting {
			verdict := pooling.Own
			if tracked := lanes.tracked[attempt.Call.ID]; tracked != nil {
				verdict = tracked.verdict
			}
			lane := s.findLane(verdict, attempt.Call, office, create)
			if lane == nil {
				kept, create = append(kept, attempt), false
				continue
			}
			attempt.On, attempt.Since = lane, s.now
			s.sendOrQueue(attempt)
		}
		office.Room.Queue = kept
	}
}

// freeLane returns a lane to the pool if the call still holds it.
func (s *Session) freeLane(lane *state.Lane, call uint64) {
	if lane.Number == 0 {
		return
	}
	if lane.Idle = s.now; lane.Holder == call && !s.lanes.disabled.returnLane {
		lane.Holder = 0
		lane.To.Free = append(lane.To.Free, lane)
	}
	s.lanes.laneAvailable = true
}

// anotherLane returns a connection other than lane that no call holds, or lane if there is none.
func anotherLane(lane *state.Lane) *state.Lane {
	for _, other := range slices.Backward(lane.To.Free) {
		if other != lane && other.Conn != nil {
			return other
		}
	}
	if lane.To.Conn != nil {
		return &lane.To.Lane
	}
	return lane
}
