package session

import (
	"pewterwheel/internal/state"
)

// maxOutbox is how many bytes may wait for a connection before they are written within the round. Together
// with the longest message this is less than the minimum that the network layer buffers for one connection (64
// KiB); a larger write would end the connection.
const maxOutbox = 32 << 10

// outbox returns the buffer for messages to a connection, which is written at the end of the round.
func (s *Session) outbox(owner any, box *state.Outbox) *state.Outbox {
	if !box.Dirty {
		box.Dirty = true
		s.pendingWrites = append(s.pendingWrites, owner)
	}
	return box
}

// flush writes the pending messages of each connection in one write. A failed write may add messages for other
// connections.
func (s *Session) flush() {
	for i := 0; i < len(s.pendingWrites); i++ {
		switch to := s.pendingWrites[i].(type) {
		case *state.Caller:
			s.writeCaller(to)
		case *state.OfficeConn:
			s.writeOffice(to)
		}
	}
	clear(s.pendingWrites)
	s.pendingWrites = s.pendingWrites[:0]
}

// writeCaller writes a caller's pending messages. If that fails, the calls whose answers were among them are
// ended.
func (s *Session) writeCaller(caller *state.Caller) {
	if !s.writeBox(caller.Conn, &caller.Outbox) {
		for _, call := range caller.Outbox.AnsweredCalls {
			s.answerUndelivered(call)
		}
	}
	caller.Outbox.Clear()
}

// writeOffice writes the pending messages of an office connection. A failed write, for instance on a connection
// that was reset while idle, proves that the office received nothing of them. The end of the connection is
// reported next and ends the attempts.
func (s *Session) writeOffice(officeConn *state.OfficeConn) {
	sent := s.writeBox(officeConn.Conn, &officeConn.Outbox)
	stuck := sent && len(officeConn.Outbox.Attempts) > 0 && officeConn.Conn.Unsent()
	for _, b := range officeConn.Outbox.Attempts {
		if sent {
			s.Counters[state.AttemptsOut]++
		}
		if call := s.calls[b.Call]; call != nil && call.Attempt != nil && call.Attempt.Number == b.Number &&
			call.Attempt.OfficeConn == officeConn {
			call.Attempt.Failed, call.Attempt.PartlySent = !sent, stuck
		}
	}
	officeConn.Outbox.Clear()
}

// writeBox writes an outbox. It reports false if the connection is closed.
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
