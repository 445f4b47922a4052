package fleetnet

import (
	"encoding/binary"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"pewterwheel/internal/dissemination"
	"pewterwheel/internal/failpoint"
	"pewterwheel/internal/fleet"
)

// NodeMeta gives memberlist where this process is reached.
func (n *member) NodeMeta(int) []byte {
	if at := n.cfg.Reach; at.IsValid() {
		return []byte(at.String())
	}
	return nil
}

// GetBroadcasts gives memberlist nothing to spread: entries go by this package's own gossip, within the budget.
func (n *member) GetBroadcasts(int, int) [][]byte { return nil }

// NotifyMsg takes a datagram of ours, from memberlist.
func (n *member) NotifyMsg(b []byte) {
	var e envelope
	if len(b) > datagram || n.decode.Unmarshal(b, &e) != nil {
		n.counts.garbage.Add(1)
		return
	}
	class := dissemination.Settings
	if e.Kind != 0 {
		class = classOf(fleet.Kind(e.Kind))
	}
	n.budget.spend(class, dissemination.In, len(b)+around+datagramHeader)
	switch {
	case e.Entry != nil:
		n.entry(e.Entry, false)
	case len(e.Entries)+len(e.Updates) > 0 && e.To != "" && e.To != n.cfg.Self:
		n.counts.misled.Add(1)
	case len(e.Entries)+len(e.Updates) > 0:
		for _, entry := range e.Entries {
			n.entry(entry, e.To != "")
		}
		for _, update := range e.Updates {
			n.update(update, e.To != "")
		}
	case e.Kind == 0 || e.From == "" || len(e.From) > fleet.MaxName || len(e.Body) > fleet.MaxBody:
		n.counts.garbage.Add(1)
	case e.To != n.cfg.Self || e.From == n.cfg.Self:
		n.counts.misled.Add(1)
	default:
		n.counts.received.Add(1)
		n.came(Event{Kind: Message, Msg: fleet.Message{Kind: fleet.Kind(e.Kind), From: e.From, To: e.To, Body: e.Body}})
	}
}

// entry hands a coded entry over, unread.
func (n *member) entry(b []byte, passed bool) {
	n.hand(Event{Kind: Entry, Bytes: b, Passed: passed}, fleet.MaxEntry, &n.counts.entries)
}

// update hands a coded update over, unread.
func (n *member) update(b []byte, passed bool) {
	n.hand(Event{Kind: Update, Bytes: b, Passed: passed}, fleet.MaxUpdate, &n.counts.updates)
}

// hand hands over what is of a size that it may have, and is no copy of what gossip brought lately.
func (n *member) hand(e Event, most int, heard *atomic.Uint64) {
	if len(e.Bytes) == 0 || len(e.Bytes) > most {
		n.counts.garbage.Add(1)
		return
	}
	heard.Add(1)
	if !e.Passed && n.repeats.again(e.Bytes) || failpoint.On("net-deaf") {
		return
	}
	n.came(e)
}

// LocalState gives memberlist what it exchanges of ours with one other: all that is known to who joins, else nothing, for
// what one of two lacks comes by repair. Updates stand behind the entries, where the older version does not read.
func (n *member) LocalState(join bool) []byte {
	if !join && !n.older.Load() {
		return nil
	}
	var entries, updates [][]byte
	n.mu.Lock()
	for _, known := range n.known {
		entries = append(entries, known.Entry)
		if known.Update != nil {
			updates = append(updates, known.Update)
		}
	}
	n.mu.Unlock()
	b, err := n.encode.Marshal(entries)
	if err != nil {
		return nil
	}
	behind, err := n.encode.Marshal(updates)
	if err != nil {
		return b
	}
	return append(b, behind...)
}

// MergeRemoteState takes what LocalState gave another, from memberlist.
func (n *member) MergeRemoteState(b []byte, _ bool) {
	rest, ok := n.each(b, func(entry []byte) { n.entry(entry, false) })
	if ok && len(rest) > 0 {
		_, _ = n.each(rest, func(update []byte) { n.update(update, false) })
	}
}

// each takes the byte strings of a coded array, one by one: as one array they would be over what Coding allows, and need not
// fit in memory. What cannot be read is counted.
func (n *member) each(b []byte, take func([]byte)) (rest []byte, ok bool) {
	if len(b) == 0 {
		return nil, false
	}
	rest, count, ok := arrayOf(b)
	if !ok || count > maxState {
		n.counts.garbage.Add(1)
		return nil, false
	}
	for range count {
		var item []byte
		var err error
		if rest, err = n.decode.UnmarshalFirst(rest, &item); err != nil {
			n.counts.garbage.Add(1)
			return nil, false
		}
		take(item)
	}
	return rest, true
}

// arrayOf reads the head of a coded array.
func arrayOf(b []byte) (rest []byte, count int, ok bool) {
	const array = 4 << 5
	if b[0]&0xe0 != array {
		return nil, 0, false
	}
	switch info, wide := b[0]&0x1f, 0; {
	case info < 24:
		return b[1:], int(info), true
	case info == 24:
		wide = 1
		fallthrough
	case info == 25:
		if wide == 0 {
			wide = 2
		}
		if len(b) < 1+wide {
			return nil, 0, false
		}
		for _, x := range b[1 : 1+wide] {
			count = count<<8 | int(x)
		}
		return b[1+wide:], count, true
	}
	return nil, 0, false
}

// NotifyJoin hears from memberlist that it sees a process.
func (n *member) NotifyJoin(node *memberlist.Node) {
	n.transport.told(node.Name, node.Meta)
	if node.Name == n.cfg.Self {
		return
	}
	n.mu.Lock()
	n.peers = append(n.peers, node.Name)
	n.mu.Unlock()
	n.seen.Add(1)
	n.joined.Add(1)
	n.came(Event{Kind: Up, Name: node.Name})
}

// NotifyUpdate hears from memberlist that a process is reached elsewhere.
func (n *member) NotifyUpdate(node *memberlist.Node) { n.transport.told(node.Name, node.Meta) }

// NotifyLeave hears from memberlist that it no longer sees a process.
func (n *member) NotifyLeave(node *memberlist.Node) {
	if node.Name == n.cfg.Self {
		return
	}
	n.mu.Lock()
	if at := slices.Index(n.peers, node.Name); at >= 0 {
		n.peers = slices.Delete(n.peers, at, at+1)
	}
	n.mu.Unlock()
	n.seen.Add(-1)
	n.came(Event{Kind: Gone, Name: node.Name})
}

// NotifyConflict hears from memberlist that a name is used twice.
func (n *member) NotifyConflict(*memberlist.Node, *memberlist.Node) { n.counts.twice.Add(1) }

// AckPayload is what the probes of others are answered with: the digest of all entries that are known here.
func (n *member) AckPayload() []byte {
	return binary.BigEndian.AppendUint64(nil, n.root.Load())
}

// NotifyPingComplete hears the digest of a process that answered a probe. One of the older version answers without.
func (n *member) NotifyPingComplete(other *memberlist.Node, _ time.Duration, payload []byte) {
	if len(payload) != 8 {
		return
	}
	root := binary.BigEndian.Uint64(payload)
	if root != n.root.Load() {
		n.came(Event{Kind: Root, Name: other.Name, Digest: root})
	}
}
