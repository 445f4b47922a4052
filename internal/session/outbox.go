package session

import (
	"pewterwheel/internal/state"
)

// maxBox is what may wait for a connection before it is written within the round. With the longest message behind it it is less
// than the least that the engine keeps for one connection (64 KiB): a write of more would end the connection.
const maxOutbox = 32 << 10

// box is where messages for a connection are written behind each other; it is written at the end of the round.
func (s *Session) outbox(owner any, box *state.Outbox) *state.Outbox {
	if !box.Dirty {
		box.Dirty = true
		s.pendingWrites = append(s.pendingWrites, owner)
	}
	return box
}

// flush writes what the round has for each connection, in one write. What one finds out, that its connection has ended,
// may be something for others to be told.
func (s *Session) flush() {
	for i := 0; i < len(s.pendingWrites); i++ {
		switch to := s.pendingWrites[i].(type) {
		case *state.Caller:
			s.writeCaller(to)
		case *state.Lane:
			s.writeOffice(to)
		}
	}
	clear(s.pendingWrites)
	s.pendingWrites = s.pendingWrites[:0]
}

// writeCaller writes what there is for a caller. Where that fails, nobody knows of the calls whose answers were in it.
func (s *Session) writeCaller(caller *state.Caller) {
	if !s.writeBox(caller.Conn, &caller.Box) {
		for _, call := range caller.Box.Told {
			s.answerUndelivered(call)
		}
	}
	caller.Box.Clear()
}

// writeOffice writes what there is for an office. A write that fails has ended the connection; its end is told next and
// ends the attempts. That it failed, as on a connection that was reset while idle, proves that the office has nothing of them.
func (s *Session) writeOffice(lane *state.Lane) {
	sent := s.writeBox(lane.Conn, &lane.Box)
	stuck := sent && len(lane.Box.Sent) > 0 && lane.Conn.Unsent()
	for _, b := range lane.Box.Sent {
		if sent {
			s.Counters[state.AttemptsOut]++
		}
		if call := s.calls[b.Call]; call != nil && call.Attempt != nil && call.Attempt.N == b.N && call.Attempt.On == lane {
			call.Attempt.Failed, call.Attempt.Stuck = !sent, stuck
		}
	}
	lane.Box.Clear()
}

// write writes a box; false: the connection is no more.
func (s *Session) writeBox(conn state.Conn, box *state.Outbox) bool {
	if len(box.Bytes) == 0 {
		return true
	}
	if conn == nil {
		return false
	}
	s.Counters[state.Writes]++
	_, err := conn.Write(box.Bytes)
	return err == nil
}
