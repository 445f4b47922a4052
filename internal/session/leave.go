package session

import (
	"errors"
	"slices"

	"pewterwheel/internal/state"
)

// Callers are sent away while a drain lasts, and after SIGTERM. New connections come for a while yet; then each
// connection ends as soon as nothing is open on it, and where something always is, new set-ups are refused until
// nothing is. In a drain it stays while a call that was set up on it stands, for its end is to be told; after SIGTERM
// another process tells it. From the start of a drain on, the times are:
const (
	// awayAfter: no connection ends before this. The front asks every 0.1 s and sends callers for 0.2 s more.
	drainCloseAfter = 450_000
	// awayNew is how long a new connection with nothing asked for is left alone: its first set-up is on its way.
	drainNewGrace = 250_000
	// awayRefuse: set-ups on what is still connected are refused. Trying again elsewhere does no harm.
	drainRefuseAfter = 1_300_000
	// awayEnd: a connection on which set-ups keep coming ends with all that is open on it. Guards against one that
	// is never idle: at 4 s none may have brought a set-up within 2 s.
	drainEndAfter = 1_800_000
)

var errDrained = errors.New("sent away")

// away tells for how long callers have been sent away; negative: they are not, or not yet.
func (s *Session) drainElapsed() int64 {
	switch {
	case s.stoppedAt != 0:
		return s.now - s.stoppedAt - acceptAfterStop
	case s.drainingSince != 0:
		return s.now - s.drainingSince - drainCloseAfter
	}
	return -1
}

// refusing tells whether new set-ups are refused, for their connection is to end.
func (s *Session) refusingSetUps() bool { return s.drainElapsed() >= drainRefuseAfter-drainCloseAfter }

// sendAway ends callers' connections with nothing open, while callers are sent away. Guards against ending one on which a
// set-up has come that was not read yet, as after a stand-still, or an answer is not written whole: both would be lost.
func (s *Session) closeDrainedCallers() {
	elapsed := s.drainElapsed()
	if elapsed < 0 {
		return
	}
	for _, caller := range slices.Clone(s.callers) {
		switch {
		case len(caller.Open) == 0 && (caller.Stands == 0 || s.stoppedAt != 0) && (caller.Told || s.now-caller.Since >= drainNewGrace) && !caller.Conn.Waiting():
			s.closeConn(caller.Conn, errDrained)
		case s.drainingSince != 0 && elapsed >= drainEndAfter-drainCloseAfter && caller.Asked > s.drainingSince+drainRefuseAfter:
			s.closeDrained(caller)
		}
	}
}

// turnAway ends a connection after the final answers of what is open on it.
func (s *Session) closeDrained(caller *state.Caller) {
	for _, call := range inKeyOrder(caller.Open) {
		s.failCall(call)
	}
	s.closeConn(caller.Conn, errDrained)
}

// owes tells whether a connection to an office that is to be told of ends is coming up. Guards against ending just then: a
// call that its caller has released would stand on there for nobody. Where the connect is refused the office is no more.
func (s *Session) releasesPending() bool {
	return s.now < s.lastAnswerTime() && slices.ContainsFunc(s.offices.All(), func(office *state.Office) bool {
		return office.Dialling != 0 && len(office.Ended) > 0 && !office.Unreached
	})
}
