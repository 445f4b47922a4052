package session

import (
	"errors"
	"slices"

	"pewterwheel/decide"
	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

const (
	// mostAskers bounds the connections of the second address. A new one takes the place of the oldest: whoever asks
	// waits for a second at most, and some connect and ask for nothing.
	maxControlConns = 16
	// askWithin is how long one may take to ask.
	controlRequestTimeout = 1_500_000
	// readyAnyhow is how long after the start the program says that it serves though the journal has not come up:
	// the list of the configuration holds until then.
	readyWithoutJournal = 2_000_000
)

var errControlTimeout = errors.New("nothing asked for in time, or no room")

// asked takes in a connection of the second address.
func (s *Session) controlAccepted(arrival Arrival) {
	if len(s.controlConns) >= s.maxControlConns {
		s.closeConn(s.controlConns[0].Conn, errControlTimeout)
	}
	asker := &state.Asker{Conn: arrival.Conn, Since: s.now}
	s.controlConns = append(s.controlConns, asker)
	s.connOwners[arrival.Conn] = asker
}

func (s *Session) controlDisconnected(asker *state.Asker) {
	s.controlConns = slices.DeleteFunc(s.controlConns, func(a *state.Asker) bool { return a == asker })
}

// watchAskers ends connections of the second address that do not finish a line.
func (s *Session) checkControlConns() {
	for len(s.controlConns) > 0 && s.now-s.controlConns[0].Since >= controlRequestTimeout {
		s.closeConn(s.controlConns[0].Conn, errControlTimeout)
	}
}

// fromAsker answers the one line of a connection, and ends it.
func (s *Session) handleControlData(asker *state.Asker, data []byte) {
	asker.In = append(asker.In, data...)
	line, whole, err := wire.NextAsk(asker.In)
	if err != nil {
		s.Counters[state.BadIn]++
		_, _ = asker.Conn.Write(wire.Told(s.controlReply[:0], false, err.Error())) // who does not read it asks again
		s.closeConn(asker.Conn, err)
		return
	}
	if !whole {
		return
	}
	s.Counters[state.AskedIn]++
	s.controlReply = s.appendControlReply(line, s.controlReply[:0])
	_, _ = asker.Conn.Write(s.controlReply) // who does not read its answer asks again
	s.closeConn(asker.Conn, nil)
}

func (s *Session) appendControlReply(line string, b []byte) []byte {
	switch line {
	case wire.AskReady:
		if s.ready() {
			return wire.Told(b, true, "ready")
		}
		return wire.Told(b, false, "not ready")
	case wire.AskStats:
		return append(s.appendMetrics(wire.Told(b, true, "figures")), wire.FiguresEnd...)
	case wire.AskDrain:
		if s.drainingSince == 0 {
			s.drainingSince = s.now
			s.log.Info("sending callers away", "callers", len(s.callers), "open", s.countOpen())
		}
		return wire.Told(b, true, "draining")
	case wire.AskUndrain:
		if s.stoppedAt != 0 {
			return wire.Told(b, false, "stopping")
		}
		if s.drainingSince != 0 {
			s.drainingSince = 0
			s.log.Info("taking callers again")
		}
		return wire.Told(b, true, "taking callers")
	}
	s.Counters[state.BadIn]++
	return wire.Told(b, false, "unknown call")
}

// ready tells whether callers may be sent here.
func (s *Session) ready() bool {
	return s.stoppedAt == 0 && s.drainingSince == 0 && (s.journal.ready || s.now-s.startedAt >= readyWithoutJournal)
}

// figures lists what the program has done and holds.
func (s *Session) appendMetrics(b []byte) []byte {
	for i, class := range s.settings.Classes {
		b = wire.Count(b, wire.FigureCompleted, class.Name, s.answerCounts[i].Completed)
		b = wire.Count(b, wire.FigureRejected, class.Name, s.answerCounts[i].Rejected)
		b = wire.Count(b, wire.FigureFailed, class.Name, s.answerCounts[i].Failed)
	}
	members, avoided := 0, 0
	for _, office := range s.offices.All() {
		if office.State == decide.Removed {
			continue
		}
		members++
		if office.State != decide.Up || office.Unreached || s.decider.Avoids(office.ID) {
			avoided++
		}
	}
	if f, ok := s.decider.(MetricsReporter); ok {
		f.Figures(func(name string, n uint64, gauge bool) {
			if gauge {
				b = wire.Gauge(b, name, int(n))
			} else {
				b = wire.Count(b, name, "", n)
			}
		})
	}
	if s.lanes.laner != nil {
		b = s.appendLaneMetrics(b)
	}
	b = wire.Count(b, wire.FigureAttempts, "", s.Counters[state.AttemptsOut])
	b = wire.Gauge(b, wire.FigurePending, s.countOpen()+len(s.established))
	b = wire.Gauge(b, wire.FigureMembers, members)
	b = wire.Gauge(b, wire.FigureUnavailable, avoided)
	b = wire.Count(b, wire.FigureReloads, "", s.Counters[state.Reloads])
	return wire.Count(b, wire.FigureReloadErrors, "", s.Counters[state.ReloadErrors])
}
