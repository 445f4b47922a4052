package session

// How the descriptors of the configuration are shared out. Callers may have half of them, or what the offices' connections leave
// of what is not reserved, where that is less. Guards against idle callers by hundreds: without a free descriptor no office
// is reached, nor the journal service once it is back, and new callers are closed on unread.
const (
	// ownDescriptors are the program's own: its three streams, what it waits with, what it listens on, the journal's connection,
	// a configuration that is read, and connects to be given up.
	baseDescriptors = 16
	// leastCallers are let in however long the list is.
	minCallers = 16
	// One part in callersPart of the descriptors is what usual callers may hold: connections to offices are opened ahead of
	// their first set-up only as far as they leave that.
	callerReserveDivisor = 3
	// listeners is the callers' address and the second one.
	listenerCount = 2
	// mostTaken bounds what Taken gives.
	maxPendingAccepts = 16
)

// Taken is how many new connections of one address may wait for the loop where there are so many descriptors. Further ones
// wait in the listener's backlog, where they take none.
func Taken(sockets int) int { return min(maxPendingAccepts, max(1, sockets/32)) }

func controlConnLimit(sockets int) int { return min(maxControlConns, max(2, sockets/16)) }

// reserved is what is neither for callers nor for offices. At each address as many as may wait for the loop are also being
// taken in by it, one more waits to be queued, and one is being copied.
func reservedDescriptors(sockets int) int {
	return baseDescriptors + listenerCount*(2*Taken(sockets)+2) + controlConnLimit(sockets)
}

// mostCallers is how many callers' connections there may be now.
func (s *Session) callerLimit() int {
	return min(s.maxCallers, max(minCallers, s.descriptorLimit-len(s.offices.All())-s.lanes.count))
}

// justCome is how long a new caller's first message may be on its way: a set-up that crosses the end of its connection is sent
// again once only.
const newCallerGrace = 50_000

// unreadFor is how long callers on whose connections something waits to be read may keep new ones out.
const unreadCallerGrace = 500_000

// Places is how many of so many new callers there is room for, or room can be made; past unreadFor all of them may come, and
// be closed on. Guards against closing on new callers by dozens because those that came just before were not read yet.
func (s *Session) Places(want int) int {
	places, unread := s.callerLimit()-len(s.callers), false
	for _, caller := range s.callers {
		if places >= want {
			break
		}
		if len(caller.Open) > 0 {
			continue
		}
		if caller.Conn.Waiting() {
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
