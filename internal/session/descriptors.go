package session

// How the descriptors of the configuration are shared out. Callers may have half of them, or what the offices' connections leave
// of what is not reserved, where that is less. Guards against idle callers by hundreds: without a free descriptor no office
// is reached, nor the journal service once it is back, and new callers are closed on unread.
const (
	// ownDescriptors are the program's own: its three streams, what it waits with, what it listens on, the journal's connection,
	// a configuration that is read, and connects to be given up.
	ownDescriptors = 16
	// leastCallers are let in however long the list is.
	leastCallers = 16
	// One part in callersPart of the descriptors is what usual callers may hold: connections to offices are opened ahead of
	// their first set-up only as far as they leave that.
	callersPart = 3
	// listeners is the callers' address and the second one.
	listeners = 2
	// mostTaken bounds what Taken gives.
	mostTaken = 16
)

// Taken is how many new connections of one address may wait for the loop where there are so many descriptors. Further ones
// wait in the listener's backlog, where they take none.
func Taken(sockets int) int { return min(mostTaken, max(1, sockets/32)) }

func askers(sockets int) int { return min(mostAskers, max(2, sockets/16)) }

// reserved is what is neither for callers nor for offices. At each address as many as may wait for the loop are also being
// taken in by it, one more waits to be queued, and one is being copied.
func reserved(sockets int) int {
	return ownDescriptors + listeners*(2*Taken(sockets)+2) + askers(sockets)
}

// mostCallers is how many callers' connections there may be now.
func (s *Session) mostCallers() int {
	return min(s.maxCallers, max(leastCallers, s.room-len(s.offices.All())-s.lanes.count))
}

// justCome is how long a new caller's first message may be on its way: a set-up that crosses the end of its connection is sent
// again once only.
const justCome = 50_000

// unreadFor is how long callers on whose connections something waits to be read may keep new ones out.
const unreadFor = 500_000

// Places is how many of so many new callers there is room for, or room can be made; past unreadFor all of them may come, and
// be closed on. Guards against closing on new callers by dozens because those that came just before were not read yet.
func (s *Session) Places(want int) int {
	n, unread := s.mostCallers()-len(s.callers), false
	for _, c := range s.callers {
		if n >= want {
			break
		}
		if len(c.Open) > 0 {
			continue
		}
		if c.Conn.Waiting() {
			unread = true
			continue
		}
		n++
	}
	if n > 0 {
		s.fullSince = 0
		return min(n, want)
	}
	if s.fullSince == 0 {
		s.fullSince = s.now
	}
	if unread && s.now-s.fullSince < unreadFor {
		return 0
	}
	return want
}
