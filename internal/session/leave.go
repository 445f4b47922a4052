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
	awayAfter = 450_000
	// awayNew is how long a new connection with nothing asked for is left alone: its first set-up is on its way.
	awayNew = 250_000
	// awayRefuse: set-ups on what is still connected are refused. Trying again elsewhere does no harm.
	awayRefuse = 1_300_000
	// awayEnd: a connection on which set-ups keep coming ends with all that is open on it. Guards against one that
	// is never idle: at 4 s none may have brought a set-up within 2 s.
	awayEnd = 1_800_000
)

var errAway = errors.New("sent away")

// away tells for how long callers have been sent away; negative: they are not, or not yet.
func (s *Session) away() int64 {
	switch {
	case s.stop != 0:
		return s.now - s.stop - goOn
	case s.drain != 0:
		return s.now - s.drain - awayAfter
	}
	return -1
}

// refusing tells whether new set-ups are refused, for their connection is to end.
func (s *Session) refusing() bool { return s.away() >= awayRefuse-awayAfter }

// sendAway ends callers' connections with nothing open, while callers are sent away. Guards against ending one on which a
// set-up has come that was not read yet, as after a stand-still, or an answer is not written whole: both would be lost.
func (s *Session) sendAway() {
	away := s.away()
	if away < 0 {
		return
	}
	for _, c := range slices.Clone(s.callers) {
		switch {
		case len(c.Open) == 0 && (c.Stands == 0 || s.stop != 0) && (c.Told || s.now-c.Since >= awayNew) && !c.Conn.Waiting():
			s.drop(c.Conn, errAway)
		case s.drain != 0 && away >= awayEnd-awayAfter && c.Asked > s.drain+awayRefuse:
			s.turnAway(c)
		}
	}
}

// turnAway ends a connection after the final answers of what is open on it.
func (s *Session) turnAway(c *state.Caller) {
	for _, call := range inOrder(c.Open) {
		s.endNow(call)
	}
	s.drop(c.Conn, errAway)
}

// owes tells whether a connection to an office that is to be told of ends is coming up. Guards against ending just then: a
// call that its caller has released would stand on there for nobody. Where the connect is refused the office is no more.
func (s *Session) owes() bool {
	return s.now < s.lastAnswer() && slices.ContainsFunc(s.offices.All(), func(o *state.Office) bool {
		return o.Dialling != 0 && len(o.Ended) > 0 && !o.Unreached
	})
}
