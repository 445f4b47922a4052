package session

// Division of the configured descriptors. Callers may use half of them, or what the connections to offices
// leave of the unreserved ones if that is less. Without the limit, hundreds of idle callers could use up all
// descriptors: no office and no restarted journal service could be reached, and new callers would be closed
// unread.
const (
	// baseDescriptors are used by the program itself: three standard streams, the poller, the listeners, the
	// connection to the journal, a configuration file being read, and dials being abandoned.
	baseDescriptors = 16
	// minCallers callers are always accepted, however long the list of offices is.
	minCallers = 16
	// One part in callerReserveDivisor of the descriptors is reserved for callers: connections to offices are
	// opened before their first set-up only as far as they leave this part free.
	callerReserveDivisor = 3
	// listenerCount counts the callers' address and the control address.
	listenerCount = 2
	// maxPendingAccepts bounds the result of AcceptLimit.
	maxPendingAccepts = 16
)

// AcceptLimit returns how many new connections of one address may wait for the loop, given the number of
// descriptors. Further ones wait in the listener's backlog, where they use no descriptor.
func AcceptLimit(sockets int) int { return min(maxPendingAccepts, max(1, sockets/32)) }

func controlConnLimit(sockets int) int { return min(maxControlConns, max(2, sockets/16)) }

// reservedDescriptors is the number of descriptors that are for neither callers nor offices. For each address
// as many connections as may wait for the loop may also be in processing by it, one more waits to be queued,
// and one descriptor is being duplicated.
func reservedDescriptors(sockets int) int {
	return baseDescriptors + listenerCount*(2*AcceptLimit(sockets)+2) + controlConnLimit(sockets)
}

// callerLimit is the maximum number of callers' connections at present.
func (s *Session) callerLimit() int {
	return min(s.maxCallers, max(minCallers, s.descriptorLimit-len(s.offices.All())-s.pooled.count-s.contacts.collectors))
}

// newCallerGrace is how long the first message of a new caller may take to arrive. Closing earlier would lose
// set-ups in transit, which callers send again only once.
const newCallerGrace = 50_000

// unreadCallerGrace is how long callers with unread input may keep new ones from being accepted.
const unreadCallerGrace = 500_000

// AcceptableCallers returns how many of want new callers may be accepted, counting the connections that can be closed
// to make room. After unreadCallerGrace all are accepted and the excess is closed. Without that grace, dozens of new
// callers would be closed because the input of those just accepted is still unread.
func (s *Session) AcceptableCallers(want int) int {
	places, unread := s.callerLimit()-len(s.callers), false
	for _, caller := range s.callers {
		if places >= want {
			break
		}
		if len(caller.Open) > 0 {
			continue
		}
		if caller.Conn.Pending() {
			unread = true
			continue
		}
		places++
	}
	if places > 0 {
		s.fullSince = 0
		return min(places, want)
	}
	if s.fullSince == 0 {
		s.fullSince = s.now
	}
	if unread && s.now-s.fullSince < unreadCallerGrace {
		return 0
	}
	return want
}
