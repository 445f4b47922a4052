package session

import (
	"errors"
	"slices"

	"pewterwheel/internal/state"
)

// Callers are disconnected during a drain and a shutdown. New connections still arrive for a while; then
// each connection is closed as soon as no set-up is open on it. Where one always is, new set-ups are refused
// until none is. During a drain a connection stays while a call that was set up on it is established, because
// its release has to be delivered; at a shutdown the next process delivers it (delivery.Responsibility). The times below
// count from the start of a drain:
const (
	// drainCloseAfter is when the first connections are closed. The load balancer checks every 0.1 s and sends
	// callers for another 0.2 s.
	drainCloseAfter = 450_000
	// drainNewGrace is how long a new connection without a request is kept, because its first set-up is in
	// transit.
	drainNewGrace = 250_000
	// drainRefuseAfter is when new set-ups are refused. A retry at another controller does no harm.
	drainRefuseAfter = 1_300_000
	// drainEndAfter is when connections on which set-ups keep arriving are closed with all open set-ups. 4 s
	// after the start of a drain no connection may have brought a set-up within the last 2 s, and some
	// connections are never idle.
	drainEndAfter = 1_800_000
)

var errDrained = errors.New("disconnected by drain or shutdown")

// drainElapsed returns for how long callers have been disconnected; it is negative if they are not, or not
// yet.
func (s *Session) drainElapsed() int64 {
	switch {
	case s.shutdownSince != 0:
		return s.responsibility.DisconnectingFor(s.now)
	case s.drainingSince != 0:
		return s.now - s.drainingSince - drainCloseAfter
	}
	return -1
}

// refusingSetUps reports whether new set-ups are refused because their connection is about to be closed.
func (s *Session) refusingSetUps() bool { return s.drainElapsed() >= drainRefuseAfter-drainCloseAfter }

// closeDrainedCallers closes callers' connections with no open set-up during a drain or shutdown. A connection
// with an unread set-up, as after a process pause, or with a partly written answer stays open, since both
// would be lost.
func (s *Session) closeDrainedCallers() {
	elapsed := s.drainElapsed()
	if elapsed < 0 {
		return
	}
	for _, caller := range slices.Clone(s.callers) {
		switch {
		case len(caller.Open) == 0 && (caller.EstablishedCount == 0 || s.shutdownSince != 0) &&
			(caller.Replied || s.now-caller.Since >= drainNewGrace) && !caller.Conn.Pending():
			s.closeConn(caller.Conn, errDrained)
		case s.drainingSince != 0 && elapsed >= drainEndAfter-drainCloseAfter &&
			caller.LastSetUp > s.drainingSince+drainRefuseAfter:
			s.closeDrained(caller)
		}
	}
}

// closeDrained closes a connection after the final answers to its open set-ups.
func (s *Session) closeDrained(caller *state.Caller) {
	for _, call := range inKeyOrder(caller.Open) {
		s.failCall(call)
	}
	s.closeConn(caller.Conn, errDrained)
}

// releasesPending reports whether a connection that is to carry releases to an office is being opened. Exiting
// now would leave calls established there that their callers have released. If the connect is refused, the
// office no longer exists.
func (s *Session) releasesPending() bool {
	return s.now < s.lastAnswerTime() && slices.ContainsFunc(s.offices.All(), func(office *state.Office) bool {
		return office.DialID != 0 && len(office.PendingReleases) > 0 && !office.ConnectFailed
	})
}
