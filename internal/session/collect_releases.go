package session

import (
	"errors"
	"slices"

	"pewterwheel/decide"
	"pewterwheel/internal/delivery"
	"pewterwheel/internal/state"
)

const (
	// collectorNumber is the connection number of every office's collector, below that of the placeholder.
	collectorNumber = waitingNumber - 1
	// maxContactsPerCheck bounds the connections that a check of all offices opens: 400 a second.
	maxContactsPerCheck = 8
)

var errCollected = errors.New("connection has brought what the office could not deliver")

// contactOffices opens the connections on which offices can send the releases of a previous process's calls, as
// s.responsibility decides, and closes those that have served for that.
func (s *Session) contactOffices() {
	eligible, opened := len(s.offices.All()) <= s.maxEagerOffices, 0
	for _, office := range s.offices.All() {
		if office.Collector != nil {
			s.closeCollected(office.Collector)
		}
		if eligible && opened < maxContactsPerCheck && s.contactOffice(office) {
			opened++
		}
	}
}

// contactOffice opens a connection to an office if one is due, and reports whether it did.
func (s *Session) contactOffice(office *state.Office) bool {
	if office.State == decide.Removed || office.Started > s.startedAt || office.DialID != 0 || office.Collector != nil {
		return false
	}
	switch s.responsibility.ContactDue(office.Contact, office.Conn != nil, s.now) {
	case delivery.Collect:
		if s.collectors < s.maxCollectors() {
			office.Collector = &state.OfficeConn{To: office, Number: collectorNumber,
				Outstanding: map[uint64]*state.Attempt{}}
			s.collectors++
			office.Contact.Tried(s.now)
			s.connect(office.Collector)
			return true
		}
	}
	return false
}

// maxCollectors returns how many collectors may be open at present. The descriptors that callers may hold by the
// protocol are left to them.
func (s *Session) maxCollectors() int {
	spare := s.descriptorLimit - len(s.offices.All()) - s.pooled.count - s.sockets/callerReserveDivisor
	return max(1, min(delivery.MaxCollecting, spare))
}

// closeCollected closes a collector that has brought what the office could not deliver, or brings nothing.
func (s *Session) closeCollected(collector *state.OfficeConn) {
	if collector.Conn == nil || collector.Conn.Unread() || len(collector.Buffer) > 0 &&
		s.now-collector.PartialSince < officeMessageTimeout {
		return
	}
	received := collector.Received.LastReceived > collector.Received.Opened
	if received {
		collector.To.Contact.Opened(collector.Received.Opened)
	}
	if delivery.Collected(collector.Received.Opened, received, s.now) {
		s.closeConn(collector.Conn, errCollected)
	}
}

// removeCollector forgets an office's collector that has ended or failed to open.
func (s *Session) removeCollector(officeConn *state.OfficeConn) {
	if officeConn == officeConn.To.Collector {
		officeConn.To.Collector = nil
		s.collectors--
	}
}

// leaveOffices closes the connections to offices that a process which shuts down no longer needs, once it can tell no
// client of the end of a call there. The office then sends the releases of these calls to the next process.
func (s *Session) leaveOffices() {
	if s.responsibility.DisconnectingFor(s.now) < 0 {
		return
	}
	for _, office := range s.offices.All() {
		if len(office.Established) == 0 || s.needsOffice(office) {
			continue
		}
		for _, officeConn := range slices.Clone(office.Pooled) {
			s.leaveOffice(officeConn)
		}
		s.leaveOffice(&office.OfficeConn)
	}
}

// leaveOffice closes a connection to an office if it is open and nothing waits on it.
func (s *Session) leaveOffice(officeConn *state.OfficeConn) {
	if officeConn.Conn != nil && !officeConn.Conn.Pending() {
		s.closeConn(officeConn.Conn, errDrained)
	}
}

// needsOffice reports whether a process that shuts down still needs its connections to an office: for a set-up, a
// release that the office may not have read, or the end of a call whose client can be told.
func (s *Session) needsOffice(office *state.Office) bool {
	hasSetUps := func(officeConn *state.OfficeConn) bool { return len(officeConn.Outstanding)+len(officeConn.Queue) > 0 }
	return len(office.PendingReleases) > 0 || hasSetUps(&office.OfficeConn) ||
		slices.ContainsFunc(office.Pooled, hasSetUps) || s.canTellAny(office)
}

// canTellAny reports whether this process can still tell the client of any call established at an office.
func (s *Session) canTellAny(office *state.Office) bool {
	for _, established := range office.Established {
		if s.responsibility.CanTell(&established.From.Delivery, s.now) {
			return true
		}
	}
	return false
}
