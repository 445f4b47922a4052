package session

import (
	"errors"
	"maps"
	"slices"

	"pewterwheel/decide"
	"pewterwheel/internal/membership"
	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

// journal is the connection to the service that reports changes of the list, if the source has one.
type journal struct {
	conn      state.Conn
	dialID    uint64 // number of the current dial; 0: none
	dialledAt int64  // when the current dial began
	lostAt    int64  // when the last connection ended or failed to open
	ready     bool   // was connected since the start, or is not needed
}

func (s *Session) dialJournal() {
	address := s.source.Address()
	if address == "" {
		s.journal.ready = true
		return
	}
	s.journal.dialledAt = s.now
	s.journal.dialID = s.dial(address, nil)
}

// journalConnected subscribes to all events after the last one received.
func (s *Session) journalConnected(conn state.Conn) {
	journal := &s.journal
	journal.dialID, journal.conn, journal.ready = 0, conn, true
	s.connOwners[conn] = journal
	if _, err := conn.Write(s.source.Request(s.now)); err != nil {
		s.closeConn(conn, err)
	}
}

func (s *Session) journalDisconnected(err error) {
	journal := &s.journal
	journal.lostAt = s.now
	s.Counters[state.JournalLost]++
	s.log.Warn("journal connection lost", "last", s.source.LastNumber(), "error", err)
	journal.conn, journal.dialID = nil, 0
	if s.now-journal.dialledAt >= journalCheckInterval { // otherwise checkJournal dials
		s.dialJournal()
	}
}

// reload applies a reloaded configuration to the source of the list and, if it supports that, to the decider.
// All other state is kept.
func (s *Session) reload(arrival Arrival) {
	journal, address, err := &s.journal, s.source.Address(), arrival.Err
	if err == nil {
		err = s.source.Reload(s.now, arrival.Update, s.applyChange)
	}
	if err != nil {
		s.Counters[state.ReloadErrors]++
		s.log.Error("configuration unreadable", "error", err)
		return
	}
	s.Counters[state.Reloads]++
	s.log.Info("configuration reloaded", "journal", arrival.Update.Address, "last", s.source.LastNumber(),
		"known", arrival.Update.Known.Last)
	if r, ok := s.decider.(Reloader); ok && arrival.Update.Other != nil {
		s.actions = r.Reload(s.now, arrival.Update.Other, s.actions[:0])
		for _, act := range s.actions {
			s.execute(act)
		}
	}
	if s.source.Address() == address {
		return
	}
	delete(s.dials, journal.dialID) // it leads to the old address
	if journal.dialID = 0; journal.conn != nil {
		delete(s.connOwners, journal.conn)
		_ = journal.conn.Close() // the connection is being abandoned
		journal.conn = nil
	}
	s.dialJournal()
}

// checkJournal reconnects to the journal and ends a connection that no longer brings even its empty frames. It
// also lets the source report changes that are due by time.
func (s *Session) checkJournal() {
	journal := &s.journal
	s.source.Tick(s.now, s.callsInProgress, s.applyChange)
	switch {
	case journal.conn != nil && s.now-s.source.LastFrame() > journalSilenceTimeout:
		s.closeConn(journal.conn, errJournalSilent)
	case journal.conn == nil && journal.dialID == 0:
		s.dialJournal()
	}
}

// callsInProgress counts the calls that are established, outstanding or being released at an office.
func (s *Session) callsInProgress(id decide.ServerID) int {
	office := s.offices.Get(id)
	if office == nil {
		return 0
	}
	n := len(office.Established) + len(office.Outstanding) + len(office.PendingReleases)
	for _, officeConn := range office.Pooled {
		n += len(officeConn.Outstanding)
	}
	return n
}

func (s *Session) handleJournalData(data []byte) {
	err := s.source.Feed(s.now, data, func(change wire.Change) {
		s.Counters[state.JournalEvents]++
		s.applyChange(change)
	})
	var skipped *membership.SkippedError
	switch {
	case errors.As(err, &skipped):
		s.log.Warn("journal skipped events", "last", skipped.Last, "number", skipped.Number)
		s.closeConn(s.journal.conn, nil) // changes depend on all earlier ones: subscribe again
	case err != nil:
		s.Counters[state.InvalidIn]++
		s.closeConn(s.journal.conn, err) // a new connection resumes after the last valid event
	}
}

// applyChange applies one journal event to the list, ends what it removes and reports it to the module.
func (s *Session) applyChange(change wire.Change) {
	change = s.offices.EndReplaced(change)
	newOffices := slices.DeleteFunc(slices.Clone(change.Offices),
		func(office wire.Office) bool { return s.offices.Get(office.ID) != nil })
	gone := s.offices.Apply(change)
	for _, office := range newOffices {
		if office.Started < s.startedAt { // calls of a previous process may be established there
			maps.Copy(s.offices.Get(office.ID).PendingReleases, s.earlierReleases)
		}
	}
	event := decide.Event{Kind: decide.ListUpdate, Form: decide.ListDelta}
	if change.Whole {
		event.Form = decide.ListFull
	}
	for _, office := range change.Offices {
		event.Servers = append(event.Servers, office.Listed)
	}
	s.queueEvent(event)
	for _, g := range gone {
		s.endOffice(g)
	}
	for _, office := range s.offices.All() {
		if office.State != decide.Up {
			// Set-ups waiting for a connection would reach the office after the grace period; they have not
			// been sent yet.
			s.withdrawQueued(&office.OfficeConn)
			for _, officeConn := range slices.Clone(office.Pooled) {
				s.withdrawQueued(officeConn)
			}
			if office.Overflow != nil {
				s.withdrawQueued(office.Overflow)
			}
		}
	}
	for _, office := range change.Offices {
		// Connects before the first set-up, because the releases of a previous process's calls come on this
		// connection.
		listed := s.offices.Get(office.ID)
		if listed.State != decide.Removed && len(s.offices.All()) <= s.maxEagerOffices {
			s.connect(&listed.OfficeConn)
		}
		s.redialIfNeeded(listed)
	}
}
