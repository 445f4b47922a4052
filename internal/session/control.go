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
	mostAskers = 16
	// askWithin is how long one may take to ask.
	askWithin = 1_500_000
	// readyAnyhow is how long after the start the program says that it serves though the journal has not come up:
	// the list of the configuration holds until then.
	readyAnyhow = 2_000_000
)

var errAsk = errors.New("nothing asked for in time, or no room")

// asked takes in a connection of the second address.
func (s *Session) asked(a Arrival) {
	if len(s.askers) >= s.maxAskers {
		s.drop(s.askers[0].Conn, errAsk)
	}
	asker := &state.Asker{Conn: a.Conn, Since: s.now}
	s.askers = append(s.askers, asker)
	s.roles[a.Conn] = asker
}

func (s *Session) askerLeft(asker *state.Asker) {
	s.askers = slices.DeleteFunc(s.askers, func(a *state.Asker) bool { return a == asker })
}

// watchAskers ends connections of the second address that do not finish a line.
func (s *Session) watchAskers() {
	for len(s.askers) > 0 && s.now-s.askers[0].Since >= askWithin {
		s.drop(s.askers[0].Conn, errAsk)
	}
}

// fromAsker answers the one line of a connection, and ends it.
func (s *Session) fromAsker(asker *state.Asker, data []byte) {
	asker.In = append(asker.In, data...)
	line, whole, err := wire.NextAsk(asker.In)
	if err != nil {
		s.Counters[state.BadIn]++
		_, _ = asker.Conn.Write(wire.Told(s.out[:0], false, err.Error())) // who does not read it asks again
		s.drop(asker.Conn, err)
		return
	}
	if !whole {
		return
	}
	s.Counters[state.AskedIn]++
	s.out = s.answerTo(line, s.out[:0])
	_, _ = asker.Conn.Write(s.out) // who does not read its answer asks again
	s.drop(asker.Conn, nil)
}

func (s *Session) answerTo(line string, b []byte) []byte {
	switch line {
	case wire.AskReady:
		if s.ready() {
			return wire.Told(b, true, "ready")
		}
		return wire.Told(b, false, "not ready")
	case wire.AskStats:
		return append(s.figures(wire.Told(b, true, "figures")), wire.FiguresEnd...)
	case wire.AskDrain:
		if s.drain == 0 {
			s.drain = s.now
			s.log.Info("sending callers away", "callers", len(s.callers), "open", s.open())
		}
		return wire.Told(b, true, "draining")
	case wire.AskUndrain:
		if s.stop != 0 {
			return wire.Told(b, false, "stopping")
		}
		if s.drain != 0 {
			s.drain = 0
			s.log.Info("taking callers again")
		}
		return wire.Told(b, true, "taking callers")
	}
	s.Counters[state.BadIn]++
	return wire.Told(b, false, "unknown call")
}

// ready tells whether callers may be sent here.
func (s *Session) ready() bool {
	return s.stop == 0 && s.drain == 0 && (s.journal.seen || s.now-s.began >= readyAnyhow)
}

// figures lists what the program has done and holds.
func (s *Session) figures(b []byte) []byte {
	for i, class := range s.set.Classes {
		b = wire.Count(b, wire.FigureCompleted, class.Name, s.ends[i].Completed)
		b = wire.Count(b, wire.FigureRejected, class.Name, s.ends[i].Rejected)
		b = wire.Count(b, wire.FigureFailed, class.Name, s.ends[i].Failed)
	}
	members, avoided := 0, 0
	for _, o := range s.offices.All() {
		if o.State == decide.Removed {
			continue
		}
		members++
		if o.State != decide.Up || o.Unreached || s.node.Avoids(o.ID) {
			avoided++
		}
	}
	if f, ok := s.node.(Figurer); ok {
		f.Figures(func(name string, n uint64, gauge bool) {
			if gauge {
				b = wire.Gauge(b, name, int(n))
			} else {
				b = wire.Count(b, name, "", n)
			}
		})
	}
	if s.lanes.laner != nil {
		b = s.laneFigures(b)
	}
	b = wire.Count(b, wire.FigureAttempts, "", s.Counters[state.AttemptsOut])
	b = wire.Gauge(b, wire.FigurePending, s.open()+len(s.stands))
	b = wire.Gauge(b, wire.FigureMembers, members)
	b = wire.Gauge(b, wire.FigureUnavailable, avoided)
	b = wire.Count(b, wire.FigureReloads, "", s.Counters[state.Reloads])
	return wire.Count(b, wire.FigureReloadErrors, "", s.Counters[state.ReloadErrors])
}
