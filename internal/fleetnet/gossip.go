package fleetnet

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/memberlist"

	"pewterwheel/internal/dissemination"
	"pewterwheel/internal/fleet"
)

// coded is one name's newest as it waits in the queue, with its first byte saying what it is.
const (
	codedEntry  = 'e'
	codedUpdate = 'u'
	// itemOverhead is what an item takes beside its own bytes: the head of a byte string.
	itemOverhead = 3
	// flushNodes is how many are told at once by a process that leaves.
	flushNodes = 2 * gossipNodes
	// maxItems is as many as a datagram's array may have.
	maxItems = 60
)

// Send implements Net.
func (n *member) Send(m fleet.Message) error {
	switch {
	case len(m.Body) > fleet.MaxBody || len(m.To) > fleet.MaxName:
		n.counts.unsent.Add(1)
		return &SizeError{len(m.Body)}
	case !n.transport.knows(m.To):
		n.counts.unsent.Add(1)
		return &UnknownMemberError{m.To}
	}
	e := envelope{Kind: uint8(m.Kind), From: n.cfg.Self, To: m.To, Body: m.Body}
	if err := n.post(m.To, classOf(m.Kind), e); err != nil {
		n.counts.unsent.Add(1)
		return err
	}
	n.counts.sent.Add(1)
	return nil
}

// post sends an envelope to one process, if the budget has room for it.
func (n *member) post(to string, class dissemination.Class, e envelope) error {
	b, err := n.encode.Marshal(e)
	if err != nil {
		return err
	}
	size := len(b) + around + datagramHeader
	if !n.budget.allow(class, size) {
		return &BudgetError{class, size}
	}
	n.budget.spend(class, dissemination.Out, size)
	// The name is all that the transport goes by. A checksum is added for whoever speaks protocol 5, as all of us do.
	return n.list.SendBestEffort(&memberlist.Node{Name: to, Addr: nowhereIP, Port: nowherePort, PMax: memberlist.ProtocolVersionMax}, b)
}

// Spread implements Net.
func (n *member) Spread(name string, newest fleet.Coded) {
	if len(newest.Entry) > fleet.MaxEntry || len(newest.Update) > fleet.MaxUpdate {
		return
	}
	n.counts.spread.Add(1)
	item := append([]byte{codedEntry}, newest.Entry...)
	if newest.Update != nil && !n.older.Load() {
		item = append([]byte{codedUpdate}, newest.Update...)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.known[name] = newest
	n.queue.Put(name, item)
}

// Keep implements Net.
func (n *member) Keep(name string, newest fleet.Coded) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.known[name] = newest
}

// Pass implements Net.
func (n *member) Pass(to string, known fleet.Coded) error {
	if n.older.Load() {
		return n.post(to, dissemination.Settings, envelope{Entry: known.Entry})
	}
	e := envelope{To: to, Entries: [][]byte{known.Entry}}
	if known.Update != nil {
		e.Updates = [][]byte{known.Update}
	}
	return n.post(to, dissemination.Settings, e)
}

// Forget implements Net.
func (n *member) Forget(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.known, name)
	n.queue.Forget(name)
}

// Root implements Net.
func (n *member) Root(root uint64) { n.root.Store(root) }

// Older implements Net.
func (n *member) Older(heard bool) {
	if n.older.Swap(heard) != heard {
		n.budget.lift(heard)
	}
}

// Allow implements Net.
func (n *member) Allow(class dissemination.Class, bytes int) bool {
	return n.budget.allow(class, bytes)
}

// gossip tells a few others, at each interval, the newest of what is known.
func (n *member) gossip() {
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 2)) // who is told first decides nothing
	ticker := time.NewTicker(time.Duration(n.cfg.Gossip) * time.Microsecond)
	defer ticker.Stop()
	for {
		select {
		case <-n.done:
			return
		case <-ticker.C:
		}
		for _, to := range n.some(rng, gossipNodes) {
			if !n.tell(to) {
				break
			}
		}
	}
}

// flush tells some others at once what waits to be gossiped: there may be no further round.
func (n *member) flush() {
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 3)) // who is told decides nothing
	for _, to := range n.some(rng, flushNodes) {
		if !n.tell(to) {
			return
		}
	}
}

// some draws a few of those that the membership sees; nobody where there is nothing to tell.
func (n *member) some(rng *rand.Rand, count int) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.queue.Len() == 0 {
		return nil
	}
	drawn := make([]string, 0, count)
	for i := range min(count, len(n.peers)) {
		j := i + rng.IntN(len(n.peers)-i)
		n.peers[i], n.peers[j] = n.peers[j], n.peers[i]
		drawn = append(drawn, n.peers[i])
	}
	return drawn
}

// tell sends one datagram of what waits to one process; false: there is nothing, or no room in the budget.
func (n *member) tell(to string) bool {
	if !n.budget.allow(dissemination.Settings, frame) {
		return false
	}
	n.mu.Lock()
	items := n.queue.Fill(frame-around, itemOverhead, len(n.peers))
	n.mu.Unlock()
	if len(items) == 0 {
		return false
	}
	if n.older.Load() {
		return n.tellOlder(to, items)
	}
	var e envelope
	for _, item := range items[:min(len(items), maxItems)] {
		if item[0] == codedUpdate {
			e.Updates = append(e.Updates, item[1:])
		} else {
			e.Entries = append(e.Entries, item[1:])
		}
	}
	return n.post(to, dissemination.Settings, e) == nil
}

// tellOlder sends each entry by itself, as the older version reads them.
func (n *member) tellOlder(to string, items [][]byte) bool {
	for _, item := range items {
		if item[0] != codedEntry {
			continue
		}
		if n.post(to, dissemination.Settings, envelope{Entry: item[1:]}) != nil {
			return false
		}
	}
	return true
}
