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

// officeContacts counts the connections that are opened for the calls of a previous process.
type officeContacts struct {
	collectors    int // that are open or being opened
	maxCollectors int // at present
	opened        int // connections opened in this check
	next          int // index of the office that is looked at first in the next check
}

var errCollected = errors.New("connection has brought what the office could not deliver")

// contactOffices opens the connections on which offices can send the releases of a previous process's calls, as
// s.responsibility decides, and closes those that have served for that.
func (s *Session) contactOffices() {
	s.contacts.maxCollectors, s.contacts.opened = s.collectorLimit(), 0
	offices, first := s.offices.All(), s.contacts.next
	for i := range offices {
		index := (first + i) % len(offices)
		office, before := offices[index], s.contacts.opened
		if office.Collector != nil {
			s.closeCollected(office.Collector)
		}
		if s.contacts.opened < maxContactsPerCheck {
			s.contactOffice(office)
		}
		if s.contacts.opened > before { // the others come first in the next check
			s.contacts.next = index + 1
		}
	}
}

// contactOffice opens a connection to an office if one is due. If there are descriptors for a connection to each office it
// stays open until the office closes it.
func (s *Session) contactOffice(office *state.Office) {
	if office.State == decide.Removed || office.Started > s.startedAt || office.DialID != 0 || office.Collector != nil ||
		s.now < office.NextDial {
		return
	}
	due := s.responsibility.ContactDue(office.Contact, office.Conn != nil, s.now)
	switch {
	case due == delivery.Reconnect && len(s.offices.All()) <= s.maxEagerOffices:
		s.contacts.opened++
		s.connect(&office.OfficeConn)
	case due != delivery.NoContact && s.contacts.collectors < s.contacts.maxCollectors:
		s.contacts.opened++
		s.openCollector(office)
	}
}

// openCollector opens a connection to an office that only collects releases.
func (s *Session) openCollector(office *state.Office) {
	office.Collector = &state.OfficeConn{To: office, Number: collectorNumber, Outstanding: map[uint64]*state.Attempt{}}
	s.contacts.collectors++
	office.Contact.Tried(s.now)
	s.connect(office.Collector)
}

// collectorLimit returns how many collectors may be open at present. The descriptors that callers may hold by the
// protocol are left to them.
func (s *Session) collectorLimit() int {
	spare := s.descriptorLimit - max(len(s.callers), s.sockets/callerReserveDivisor) - s.pooled.count
	for _, office := range s.offices.All() {
		if office.Conn != nil || office.DialID != 0 {
			spare--
		}
	}
	return max(1, min(delivery.MaxCollecting, spare))
}

// closeCollected closes a collector that has brought what the office could not deliver, or brings nothing.
func (s *Session) closeCollected(collector *state.OfficeConn) {
	if collector.Conn == nil || collector.Conn.Unread() || len(collector.Buffer) > 0 &&
		s.now-collector.PartialSince < officeMessageTimeout {
		return
	}
	if collector.ReceivedAny {
		collector.To.Contact.Opened(collector.Received.Opened)
	}
	if delivery.Collected(collector.Received.Opened, collector.ReceivedAny, s.now) {
		s.closeConn(collector.Conn, errCollected)
	}
}

// removeCollector forgets an office's collector that has ended or failed to open.
func (s *Session) removeCollector(officeConn *state.OfficeConn) {
	office := officeConn.To
	if officeConn != office.Collector {
		return
	}
	office.Collector = nil
	s.contacts.collectors--
	if office.Conn == nil {
		office.Contact.Lost(s.now)
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
