package session

import (
	"encoding/binary"

	"pewterwheel/decide"
	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

// journal is the subscription to the changes of the list.
type journal struct {
	address  string
	conn     state.Conn
	dialling uint64 // the dial that is under way; 0: none
	dialled  int64  // when it began
	in       []byte
	last     uint64 // number of the last event taken
	heard    int64  // when the last whole frame came
	seen     bool   // it has come up since the start
}

func (s *Session) dialJournal() {
	s.journal.dialled = s.now
	s.journal.dialling = s.dial(s.journal.address, nil)
}

// journalOpen asks for all that came after the last event we have.
func (s *Session) journalOpen(conn state.Conn) {
	j := &s.journal
	j.dialling, j.conn, j.in, j.heard, j.seen = 0, conn, nil, s.now, true
	s.roles[conn] = j
	if _, err := conn.Write(binary.BigEndian.AppendUint64(nil, j.last)); err != nil {
		s.drop(conn, err)
	}
}

func (s *Session) journalLost(err error) {
	j := &s.journal
	s.Counters[state.JournalLost]++
	s.log.Warn("journal lost", "last", j.last, "error", err)
	j.conn, j.dialling, j.in = nil, 0, nil
	if s.now-j.dialled >= journalAgain { // else watchJournal does
		s.dialJournal()
	}
}

// reload moves to the journal address of a configuration that was read anew. The numbers go on there, and so
// does all else that the program holds. Events that the file already knows need not be waited for.
func (s *Session) reload(a Arrival) {
	j := &s.journal
	if a.Err != nil {
		s.Counters[state.ReloadErrors]++
		s.log.Error("configuration unreadable", "error", a.Err)
		return
	}
	s.Counters[state.Reloads]++
	s.log.Info("configuration read anew", "journal", a.Journal, "last", j.last, "known", a.Known.Last)
	for _, entry := range a.Known.Entries {
		if entry.Number <= j.last || entry.Number > j.last+1 && !entry.List.Whole {
			continue
		}
		c, err := entry.Change(s.set.Zones)
		if err != nil {
			s.log.Error("configuration unreadable", "error", err)
			break
		}
		j.last = c.Number
		s.change(c)
	}
	if a.Journal == j.address {
		return
	}
	j.address = a.Journal
	delete(s.dials, j.dialling) // it leads to the old one
	if j.dialling = 0; j.conn != nil {
		delete(s.roles, j.conn)
		_ = j.conn.Close() // its end is what is asked for
		j.conn, j.in = nil, nil
	}
	s.dialJournal()
}

// watchJournal connects again, and ends a connection that no longer brings even its empty frames.
func (s *Session) watchJournal() {
	j := &s.journal
	switch {
	case j.conn != nil && s.now-j.heard > journalSilence:
		s.drop(j.conn, errSilent)
	case j.conn == nil && j.dialling == 0:
		s.dialJournal()
	}
}

func (s *Session) fromJournal(data []byte) {
	j := &s.journal
	buf := append(j.in, data...)
	for {
		c, n, err := wire.NextFrame(buf)
		if err != nil {
			s.Counters[state.BadIn]++
			s.drop(j.conn, err) // a new connection resumes after the last event that could be read
			return
		}
		if n == 0 {
			break
		}
		buf, j.heard = buf[n:], s.now // a frame that never ends is silence, too
		if c.Empty || c.Number <= j.last {
			continue
		}
		if c.Number > j.last+1 && !c.Whole {
			s.log.Warn("journal skipped events", "last", j.last, "number", c.Number)
			s.drop(j.conn, nil) // changes only hold on top of all earlier ones: ask again
			return
		}
		j.last = c.Number
		s.Counters[state.JournalEvents]++
		s.change(c)
	}
	j.in = append([]byte(nil), buf...)
}

// change takes one event of the journal: the list, what it ends, and the module's view of it.
func (s *Session) change(c wire.Change) {
	gone := s.offices.Apply(c)
	e := decide.Event{Kind: decide.List, Form: decide.Delta}
	if c.Whole {
		e.Form = decide.Whole
	}
	for _, o := range c.Offices {
		e.Servers = append(e.Servers, o.Listed)
	}
	s.event(e)
	for _, g := range gone {
		s.officeGone(g)
	}
	for _, o := range s.offices.All() {
		if o.State != decide.Up {
			// Set-ups that wait for a connect would reach it after the grace: they never left.
			s.unreached(o)
		}
	}
	for _, o := range c.Offices {
		// A connection before the first set-up: releases of calls of before our start come on it.
		if known := s.offices.Get(o.ID); known.State != decide.Removed {
			s.connect(known)
		}
	}
}
