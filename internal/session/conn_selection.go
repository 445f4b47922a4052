package session

import (
	"math"
	"slices"

	"pewterwheel/decide"
	"pewterwheel/internal/pooling"
	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

// connForSetUp returns the connection on which a call's next set-up goes to an office, or the office's placeholder
// for waiting attempts (Overflow) if none is available.
func (s *Session) connForSetUp(call *state.Call, office *state.Office) *state.OfficeConn {
	pooled, tracked := &s.pooled, s.pooled.tracked[call.ID]
	if office.Serial == 0 {
		pooled.lastSerial++
		office.Serial = pooled.lastSerial
	}
	verdict := pooling.OwnConnection
	if tracked != nil {
		tracked.call.Office = office.Serial
		if pooled.observeOnly {
			tracked.call.Connection = pooling.AnyConnection
		} else {
			tracked.verdict = pooled.connSelector.Select(s.now, &tracked.call, pooling.SetUp)
			verdict = tracked.verdict
		}
	}
	if pooled.observeOnly {
		return &office.OfficeConn
	}
	officeConn := s.findConn(verdict, call, office, true)
	if officeConn == nil {
		if pooled.disabled.waitForConn {
			return &office.OfficeConn
		}
		if office.Overflow == nil {
			office.Overflow = &state.OfficeConn{To: office, Number: waitingNumber}
		}
		officeConn = office.Overflow
	}
	return officeConn
}

// findConn returns the connection for a call's set-up by the verdict. If there is none, it creates a pooled one if
// create is set, and otherwise, or if the limits do not allow one, returns nil.
func (s *Session) findConn(verdict pooling.ConnectionKind, call *state.Call, office *state.Office,
	create bool) *state.OfficeConn {
	switch verdict {
	case pooling.AnyConnection:
		return &office.OfficeConn
	case pooling.ExclusiveConnection:
		if s.pooled.disabled.exclusiveConn && len(office.Pooled) > 0 {
			return office.Pooled[0]
		}
		if k := len(office.FreeConns); k > 0 {
			officeConn := office.FreeConns[k-1]
			office.FreeConns = office.FreeConns[:k-1]
			officeConn.HeldByCall = call.ID
			return officeConn
		}
		if !create {
			return nil
		}
		created := s.newPooledConn(office)
		if created != nil {
			created.HeldByCall = call.ID
		}
		return created
	}
	// For any other verdict a connection of the caller's own is the safest.
	owned := office.CallerConns[call.From.Session]
	if owned == nil && create {
		if owned = s.newPooledConn(office); owned != nil {
			if owned.Owner = call.From; office.CallerConns == nil {
				office.CallerConns = map[uint64]*state.OfficeConn{}
			}
			office.CallerConns[call.From.Session] = owned
		}
	}
	return owned
}

// newPooledConn creates a pooled connection if the limits allow it or an idle one can be closed.
func (s *Session) newPooledConn(office *state.Office) *state.OfficeConn {
	pooled := &s.pooled
	most := max(1, min(pooled.sockets/connDivisor, pooled.sockets/2-connReserve-len(s.offices.All())))
	if pooled.disabled.connLimit {
		most = math.MaxInt
	}
	if atOffice := len(office.Pooled) >= max(1, most/officeConnDivisor); (atOffice || pooled.count >= most) &&
		!s.evictIdleConn(office, atOffice) {
		return nil
	}
	pooled.lastNumber++
	pooled.count++
	pooled.opened++
	officeConn := &state.OfficeConn{To: office, Number: pooled.lastNumber, Outstanding: map[uint64]*state.Attempt{},
		IdleSince: s.now}
	office.Pooled = append(office.Pooled, officeConn)
	return officeConn
}

// evictIdleConn closes the unused pooled connection that has been idle longest, at one office or at all. A
// connection that a caller owns stays while the caller is connected, because the state that the office keeps for the
// connection would be lost.
func (s *Session) evictIdleConn(office *state.Office, atOffice bool) bool {
	var idle *state.OfficeConn
	consider := func(o *state.Office) {
		for _, officeConn := range o.Pooled {
			if (officeConn.IsUnused() || s.pooled.disabled.keepOwned && officeConn.IsIdle()) && officeConn.Conn != nil &&
				(idle == nil || officeConn.IdleSince < idle.IdleSince) {
				idle = officeConn
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
	if idle == nil || idle.Conn.Pending() {
		return false
	}
	s.pooled.evicted++
	s.closeConn(idle.Conn, errIdle)
	return true
}

// waitForConn lets an attempt wait for a pooled connection until its class's aim has passed; then its call is
// refused. Using another connection would be faster, but none that is not known to be safe may be used.
func (s *Session) waitForConn(attempt *state.Attempt) {
	call := attempt.Call
	s.pooled.waited++
	until := min(call.Deadline, call.Deadline-call.SetUp.Wait+s.settings.Classes[s.classIndex[call.SetUp.Class]].Aim)
	if until <= s.now || len(attempt.OfficeConn.Queue) > maxWaiting {
		s.refuseWaiting(call.ID, attempt.Number)
		return
	}
	if !s.pooled.disabled.waitLimit {
		s.setTimer(until, state.Timer{Kind: state.TimerConnWait, ID: call.ID, N: int32(attempt.Number)})
	}
}

// refuseWaiting refuses a call whose attempt still waits for a pooled connection.
func (s *Session) refuseWaiting(id uint64, n int) {
	call := s.calls[id]
	if call == nil || call.Answered || call.Attempt == nil || call.Attempt.Number != n ||
		call.Attempt.OfficeConn.Number != waitingNumber {
		return
	}
	s.pooled.refused++
	s.finishCall(call, decide.Action{Call: decide.CallID(id), Wait: s.retryAfter(call)}, wire.CauseCongestion,
		state.RefusalsOut)
}

// assignFreeConns gives available connections to waiting attempts. The offices take turns at being first.
func (s *Session) assignFreeConns() {
	pooled := &s.pooled
	pooled.connAvailable = false
	all := s.offices.All()
	pooled.turn++
	for i := range all {
		office := all[(i+pooled.turn)%len(all)]
		if office.Overflow == nil || len(office.Overflow.Queue) == 0 || office.State != decide.Up {
			continue
		}
		waiting := office.Overflow.Queue
		kept, create := waiting[:0:0], true
		for _, attempt := range waiting {
			verdict := pooling.OwnConnection
			if tracked := pooled.tracked[attempt.Call.ID]; tracked != nil {
				verdict = tracked.verdict
			}
			officeConn := s.findConn(verdict, attempt.Call, office, create)
			if officeConn == nil {
				kept, create = append(kept, attempt), false
				continue
			}
			attempt.OfficeConn, attempt.Since = officeConn, s.now
			s.sendOrQueue(attempt)
		}
		office.Overflow.Queue = kept
	}
}

// freePooledConn makes a shared connection available again if the call still holds it.
func (s *Session) freePooledConn(officeConn *state.OfficeConn, call uint64) {
	if officeConn.Number == 0 {
		return
	}
	if officeConn.IdleSince = s.now; officeConn.HeldByCall == call && !s.pooled.disabled.returnConn {
		officeConn.HeldByCall = 0
		officeConn.To.FreeConns = append(officeConn.To.FreeConns, officeConn)
	}
	s.pooled.connAvailable = true
}

// anotherConn returns a connection to the same office that no call holds, or officeConn if there is no other.
func anotherConn(officeConn *state.OfficeConn) *state.OfficeConn {
	for _, other := range slices.Backward(officeConn.To.FreeConns) {
		if other != officeConn && other.Conn != nil {
			return other
		}
	}
	if officeConn.To.Conn != nil {
		return &officeConn.To.OfficeConn
	}
	return officeConn
}
