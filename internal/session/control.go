package session

import (
	"errors"
	"slices"

	"pewterwheel/decide"
	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

const (
	// maxControlConns bounds the control connections. A new one replaces the oldest: clients wait for an
	// answer for one second at most, and some connect without sending a request.
	maxControlConns = 16
	// controlRequestTimeout is how long a control connection may take to send its request.
	controlRequestTimeout = 1_500_000
	// readyWithoutJournal is how long after the start the program reports ready although the journal is not
	// connected. Until then the list in the configuration applies.
	readyWithoutJournal = 2_000_000
)

var errControlTimeout = errors.New("no request in time, or too many control connections")

// controlAccepted registers a connection to the control address.
func (s *Session) controlAccepted(arrival Arrival) {
	if len(s.controlConns) >= s.maxControlConns {
		s.closeConn(s.controlConns[0].Conn, errControlTimeout)
	}
	asker := &state.ControlConn{Conn: arrival.Conn, Since: s.now}
	s.controlConns = append(s.controlConns, asker)
	s.connOwners[arrival.Conn] = asker
}

func (s *Session) controlDisconnected(asker *state.ControlConn) {
	s.controlConns = slices.DeleteFunc(s.controlConns, func(a *state.ControlConn) bool { return a == asker })
}

// checkControlConns closes control connections that do not complete a request line in time.
func (s *Session) checkControlConns() {
	for len(s.controlConns) > 0 && s.now-s.controlConns[0].Since >= controlRequestTimeout {
		s.closeConn(s.controlConns[0].Conn, errControlTimeout)
	}
}

// handleControlData answers the single request of a control connection and closes it.
func (s *Session) handleControlData(asker *state.ControlConn, data []byte) {
	asker.Buffer = append(asker.Buffer, data...)
	line, whole, err := wire.NextAsk(asker.Buffer)
	if err != nil {
		s.Counters[state.InvalidIn]++
		_, _ = asker.Conn.Write(wire.Told(s.controlReply[:0], false, err.Error())) // unread replies are asked for again
		s.closeConn(asker.Conn, err)
		return
	}
	if !whole {
		return
	}
	s.Counters[state.ControlLinesIn]++
	s.controlReply = s.appendControlReply(line, s.controlReply[:0])
	_, _ = asker.Conn.Write(s.controlReply) // unread replies are asked for again
	s.closeConn(asker.Conn, nil)
}

func (s *Session) appendControlReply(line string, b []byte) []byte {
	switch line {
	case wire.AskReady:
		if s.ready() {
			s.responsibility.ReportedReady(s.now)
			return wire.Told(b, true, "ready")
		}
		return wire.Told(b, false, "not ready")
	case wire.AskStats:
		return append(s.appendMetrics(wire.Told(b, true, "figures")), wire.FiguresEnd...)
	case wire.AskDrain:
		if s.drainingSince == 0 {
			s.drainingSince = s.now
			s.log.Info("draining, disconnecting callers", "callers", len(s.callers), "open", s.countOpen())
		}
		return wire.Told(b, true, "draining")
	case wire.AskUndrain:
		if s.shutdownSince != 0 {
			return wire.Told(b, false, "stopping")
		}
		if s.drainingSince != 0 {
			s.drainingSince = 0
			s.log.Info("drain cancelled, accepting callers again")
		}
		return wire.Told(b, true, "taking callers")
	}
	s.Counters[state.InvalidIn]++
	return wire.Told(b, false, "unknown call")
}

// ready reports whether callers may be sent to this process.
func (s *Session) ready() bool {
	return s.shutdownSince == 0 && s.drainingSince == 0 && (s.journal.ready || s.now-s.startedAt >= readyWithoutJournal)
}

// appendMetrics appends the program's counters and gauges.
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
		if office.State != decide.Up || office.ConnectFailed || s.decider.Avoids(office.ID) {
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
	if s.pooled.connSelector != nil {
		b = s.appendPooledConnMetrics(b)
	}
	b = wire.Count(b, wire.FigureAttempts, "", s.Counters[state.AttemptsOut])
	b = wire.Gauge(b, wire.FigurePending, s.countOpen()+len(s.established))
	b = wire.Gauge(b, wire.FigureMembers, members)
	b = wire.Gauge(b, wire.FigureUnavailable, avoided)
	b = wire.Count(b, wire.FigureReloads, "", s.Counters[state.Reloads])
	return wire.Count(b, wire.FigureReloadErrors, "", s.Counters[state.ReloadErrors])
}
