// Package fleetnet carries what the processes of a fleet tell each other, by hashicorp/memberlist behind a small interface:
// entries spread to all, messages go to one, and who is seen and who no longer is comes back. Everything that comes in is
// bounded and counted where it is dropped; what it means is decided elsewhere.
package fleetnet

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"pewterwheel/internal/advice"
	"pewterwheel/internal/failpoint"
	"pewterwheel/internal/fleet"
)

// Net is how a process speaks with the others. All of it may be called from any goroutine, and nothing of it waits for
// the network but Leave and Close.
type Net interface {
	// Send hands a message to the process it is for. It may be lost, doubled, late and out of order. The error says only
	// that it was not sent.
	Send(m fleet.Message) error
	// Spread passes a process's coded entry on to all, in place of an earlier one of that name.
	Spread(name string, entry []byte)
	// Forget drops a process's entry: it is passed on no more.
	Forget(name string)
	// Events brings what came in. It is closed by Close.
	Events() <-chan Event
	// Seen tells how many others the membership sees now.
	Seen() int
	// Name tells anew where members are reached.
	Name(addresses map[string]netip.AddrPort)
	// Figures gives counts that only grow, and gauges.
	Figures(put func(name string, n uint64, gauge bool))
	// Leave tells the others that this process goes, and waits until one has heard it, for half a second at most.
	Leave()
	// Close ends all goroutines and sockets.
	Close()
}

// EventKind tells what came in.
type EventKind uint8

// The kinds of event.
const (
	Message EventKind = iota + 1 // Msg
	Entry                        // Bytes: a coded entry, unread; at most fleet.MaxEntry bytes
	Up                           // the membership sees Name
	Gone                         // it no longer sees Name: cut off, stopped, ended or gone by its own word
)

// Event is one thing that came in. What it holds is the receiver's.
type Event struct {
	Kind  EventKind
	Name  string
	Msg   fleet.Message
	Bytes []byte
}

// Config is what a Net is made from.
type Config struct {
	Cluster string // what comes from another one is passed by
	Self    string
	Bind    netip.AddrPort            // where it listens, by UDP and TCP
	Reach   netip.AddrPort            // where others reach it who do not have its name in their own settings
	Names   map[string]netip.AddrPort // where this process reaches the others, by its own settings
	Seeds   []string                  // names to join by at the start; none: all of Names
	Log     *slog.Logger              // memberlist's own lines go there, at debug
	Queue   int                       // events that wait at the most; 0: 4096

	// Microseconds; 0: the usual. A process is reported gone after Suspicion probes without an answer, twice that at most.
	Probe, ProbeTimeout, Gossip, PushPull, Rejoin int64
	Suspicion                                     int // 0: 4
}

// The usual times, in microseconds: for machines of one site.
const (
	usualProbe        = 300_000
	usualProbeTimeout = 200_000
	usualGossip       = 150_000
	usualPushPull     = 10_000_000
	usualRejoin       = 1_000_000
)

const (
	// datagram holds the largest entry and memberlist's own words around it. Usual entries are under 1,400 bytes; a larger
	// one goes in two or more fragments of Ethernet's.
	datagram = fleet.MaxEntry + 1024
	// gossipNodes times datagram a gossip bounds the bytes a second that spread: 144 KiB with the usual times. Beside it
	// there are the messages, and one exchange of all entries each PushPull.
	gossipNodes = 3
	// maxStreams bounds the connections that are taken in at once, and streamWithin how long one may take to say whose it is.
	maxStreams   = 64
	streamWithin = time.Second
	tcpTimeout   = 2 * time.Second
	leaveWithin  = 500 * time.Millisecond
	usualQueue   = 4096
	suspicion    = 4
	// maxState bounds the entries that come in one exchange.
	maxState = fleet.MaxMembers
)

// BytesASecond is the most that spreads from one process with the usual times, beside messages and exchanges of all.
const BytesASecond = gossipNodes * datagram * 1_000_000 / usualGossip

// UnknownMemberError is a process of which nobody has said where it is reached.
type UnknownMemberError struct{ Name string }

func (e *UnknownMemberError) Error() string {
	return fmt.Sprintf("fleetnet: nobody has told where %s is reached", e.Name)
}

// Advice says what an operator can do.
func (e *UnknownMemberError) Advice() string {
	return "Give it a [member] section in the site file, write the sidecars' files anew and reload them."
}

// BindError is an address that could not be listened on.
type BindError struct {
	Address netip.AddrPort
	Err     error
}

func (e *BindError) Error() string {
	return fmt.Sprintf("fleetnet: cannot listen on %s: %v", e.Address, e.Err)
}
func (e *BindError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *BindError) Advice() string {
	return "See which process listens there (ss -lnptu); if it is this one's predecessor, wait for its end, else change bind or address of the member."
}

// SizeError is a message over fleet.MaxBody, or with a name over fleet.MaxName.
type SizeError struct{ Size int }

func (e *SizeError) Error() string {
	return fmt.Sprintf("fleetnet: a message of %d bytes; %d are the most", e.Size, fleet.MaxBody)
}

// Advice says what an operator can do.
func (e *SizeError) Advice() string {
	return "Report it: it is a fault of the program, no setting mends it."
}

// ConfigError is a configuration that the membership refuses.
type ConfigError struct{ Err error }

func (e *ConfigError) Error() string { return "fleetnet: " + e.Err.Error() }
func (e *ConfigError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *ConfigError) Advice() string {
	return "Check [fleet] and [member] of the site file with config check; the rest of the line says what was refused."
}

// Errors are all errors of this package, for the operators' page.
var Errors = []advice.Advised{&UnknownMemberError{}, &BindError{}, &SizeError{}, &ConfigError{}}

// envelope is what a datagram of ours holds: a message, or an entry.
type envelope struct {
	Kind  uint8  `cbor:"1,keyasint,omitempty"`
	From  string `cbor:"2,keyasint,omitempty"`
	To    string `cbor:"3,keyasint,omitempty"`
	Body  []byte `cbor:"4,keyasint,omitempty"`
	Entry []byte `cbor:"5,keyasint,omitempty"`
}

// counts are what came, went and was passed by.
type counts struct {
	sent, unsent, received, entries, spread, foreign, garbage, misled, dropped, complaints, twice, bytesOut, bytesIn atomic.Uint64
	datagramsOut, datagramsIn, streamsOut, streamsIn, streamBytesOut, streamBytesIn                                  atomic.Uint64
}

type member struct {
	cfg       Config
	list      *memberlist.Memberlist
	transport *transport
	events    chan Event
	closing   sync.RWMutex // held to write to events
	closed    bool
	done      chan struct{}
	wg        sync.WaitGroup
	queue     memberlist.TransmitLimitedQueue
	encode    cbor.EncMode
	decode    cbor.DecMode
	counts    counts
	seen      atomic.Int64 // others that the membership sees

	mu      sync.Mutex
	entries map[string][]byte
}

// Open listens and begins to join the others, which goes on until all that are named are seen, and again whenever one is
// not. The error is a *BindError or a *ConfigError.
func Open(cfg Config) (Net, error) {
	for _, d := range []struct {
		at    *int64
		usual int64
	}{{&cfg.Probe, usualProbe}, {&cfg.ProbeTimeout, usualProbeTimeout}, {&cfg.Gossip, usualGossip}, {&cfg.PushPull, usualPushPull}, {&cfg.Rejoin, usualRejoin}} {
		if *d.at == 0 {
			*d.at = d.usual
		}
	}
	if cfg.Queue == 0 {
		cfg.Queue = usualQueue
	}
	if cfg.Suspicion == 0 {
		cfg.Suspicion = suspicion
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	n := &member{cfg: cfg, events: make(chan Event, cfg.Queue), done: make(chan struct{}), entries: map[string][]byte{}}
	n.encode, n.decode = fleet.Coding()
	n.queue.NumNodes, n.queue.RetransmitMult = func() int { return n.Seen() + 1 }, 2
	logger := n.logger()
	var err error
	if n.transport, err = listen(cfg, logger, &n.counts); err != nil {
		return nil, &BindError{cfg.Bind, err}
	}
	us := func(t int64) time.Duration { return time.Duration(t) * time.Microsecond }
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label, c.SkipInboundLabelCheck, c.Transport, c.Logger, c.LogOutput = cfg.Self, cfg.Cluster, true, n.transport, logger, nil
	c.RequireNodeNames, c.EnableCompression, c.UDPBufferSize, c.TCPTimeout = true, false, datagram, tcpTimeout
	c.ProbeInterval, c.ProbeTimeout, c.GossipInterval, c.PushPullInterval = us(cfg.Probe), us(cfg.ProbeTimeout), us(cfg.Gossip), us(cfg.PushPull)
	c.SuspicionMult, c.SuspicionMaxTimeoutMult, c.RetransmitMult, c.GossipNodes = cfg.Suspicion, 2, 3, gossipNodes
	c.GossipToTheDeadTime = 30 * time.Second
	c.AwarenessMaxMultiplier = 4
	c.Delegate, c.Events, c.Conflict = n, n, n
	if n.list, err = memberlist.Create(c); err != nil {
		_ = n.transport.Shutdown()
		return nil, &ConfigError{err}
	}
	n.wg.Go(n.join)
	return n, nil
}

// join calls on members that are not seen: on the seeds first, then on one of the others at a time. Guards against two sides
// of a cut that have forgotten each other: the membership itself never calls on who is gone for good.
func (n *member) join() {
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1)) // who is called on first decides nothing
	first := n.cfg.Seeds
	for {
		seen := map[string]bool{n.cfg.Self: true}
		for _, m := range n.list.Members() {
			seen[m.Name] = true
		}
		var away []string
		for _, name := range n.transport.names() {
			if !seen[name] {
				away = append(away, name)
			}
		}
		if len(seen) == 1 && len(first) > 0 {
			away = slices.DeleteFunc(slices.Clone(first), func(name string) bool { return name == n.cfg.Self })
		}
		rng.Shuffle(len(away), func(i, j int) { away[i], away[j] = away[j], away[i] })
		for _, name := range away[:min(len(away), 2)] {
			select {
			case <-n.done:
				return
			default:
			}
			_, _ = n.list.Join([]string{name + "/" + nowhere}) // it is tried again, and memberlist has logged it
		}
		pause := time.Duration(n.cfg.Rejoin) * time.Microsecond
		if len(seen) == 1 {
			pause /= 4
		}
		select {
		case <-n.done:
			return
		case <-time.After(pause):
		}
	}
}

func (n *member) Send(m fleet.Message) error {
	if len(m.Body) > fleet.MaxBody || len(m.To) > fleet.MaxName {
		n.counts.unsent.Add(1)
		return &SizeError{len(m.Body)}
	}
	if !n.transport.knows(m.To) {
		n.counts.unsent.Add(1)
		return &UnknownMemberError{m.To}
	}
	b, err := n.encode.Marshal(envelope{Kind: uint8(m.Kind), From: n.cfg.Self, To: m.To, Body: m.Body})
	if err == nil {
		// The name is all that the transport goes by. A checksum is added for whoever speaks protocol 5, as all of us do.
		err = n.list.SendBestEffort(&memberlist.Node{Name: m.To, Addr: nowhereIP, Port: nowherePort, PMax: memberlist.ProtocolVersionMax}, b)
	}
	if err != nil {
		n.counts.unsent.Add(1)
		return err
	}
	n.counts.sent.Add(1)
	return nil
}

func (n *member) Spread(name string, entry []byte) {
	b, err := n.encode.Marshal(envelope{Entry: entry})
	if err != nil || len(entry) > fleet.MaxEntry {
		return
	}
	n.mu.Lock()
	n.entries[name] = entry
	n.mu.Unlock()
	n.counts.spread.Add(1)
	n.queue.QueueBroadcast(broadcast{name, b})
}

func (n *member) Forget(name string) {
	n.mu.Lock()
	delete(n.entries, name)
	n.mu.Unlock()
}

func (n *member) Events() <-chan Event { return n.events }

func (n *member) Seen() int { return int(n.seen.Load()) }

func (n *member) Name(addresses map[string]netip.AddrPort) { n.transport.name(addresses) }

func (n *member) Figures(put func(name string, v uint64, gauge bool)) {
	c := &n.counts
	put("fleet_seen", uint64(n.Seen()), true)
	for _, f := range []struct {
		name string
		n    *atomic.Uint64
	}{{"fleet_messages_out", &c.sent}, {"fleet_messages_unsent", &c.unsent}, {"fleet_messages_in", &c.received}, {"fleet_messages_misled", &c.misled},
		{"fleet_entries_heard", &c.entries}, {"fleet_entries_spread", &c.spread}, {"fleet_foreign", &c.foreign}, {"fleet_garbage", &c.garbage},
		{"fleet_events_dropped", &c.dropped}, {"fleet_net_complaints", &c.complaints}, {"fleet_bytes_out", &c.bytesOut}, {"fleet_bytes_in", &c.bytesIn},
		{"fleet_datagrams_out", &c.datagramsOut}, {"fleet_datagrams_in", &c.datagramsIn}, {"fleet_streams_out", &c.streamsOut}, {"fleet_streams_in", &c.streamsIn},
		{"fleet_stream_bytes_out", &c.streamBytesOut}, {"fleet_stream_bytes_in", &c.streamBytesIn}} {
		put(f.name, f.n.Load(), false)
	}
}

func (n *member) Leave() { _ = n.list.Leave(leaveWithin) } // who has not heard it finds out

func (n *member) Close() {
	select {
	case <-n.done:
		return
	default:
	}
	close(n.done)
	_ = n.list.Shutdown()
	n.wg.Wait()
	n.closing.Lock()
	n.closed = true
	close(n.events)
	n.closing.Unlock()
}

// came hands an event over, or counts it as dropped. Nothing here waits: memberlist would stand still.
func (n *member) came(e Event) {
	n.closing.RLock()
	defer n.closing.RUnlock()
	if n.closed {
		return
	}
	select {
	case n.events <- e:
	default:
		n.counts.dropped.Add(1)
	}
}

// broadcast is one process's entry on its way to all; a newer one takes its place.
type broadcast struct {
	name  string
	bytes []byte
}

func (b broadcast) Name() string                                { return b.name }
func (b broadcast) Invalidates(other memberlist.Broadcast) bool { return false } // by name
func (b broadcast) Message() []byte                             { return b.bytes }
func (b broadcast) Finished()                                   {}

// What memberlist calls.

func (n *member) NodeMeta(limit int) []byte {
	if at := n.cfg.Reach; at.IsValid() {
		return []byte(at.String())
	}
	return nil
}

func (n *member) GetBroadcasts(overhead, limit int) [][]byte {
	return n.queue.GetBroadcasts(overhead, limit)
}

func (n *member) NotifyMsg(b []byte) {
	var e envelope
	if len(b) > datagram || n.decode.Unmarshal(b, &e) != nil {
		n.counts.garbage.Add(1)
		return
	}
	if e.Entry != nil {
		n.entry(e.Entry)
		return
	}
	switch {
	case e.Kind == 0 || e.From == "" || len(e.From) > fleet.MaxName || len(e.Body) > fleet.MaxBody:
		n.counts.garbage.Add(1)
	case e.To != n.cfg.Self || e.From == n.cfg.Self:
		n.counts.misled.Add(1)
	default:
		n.counts.received.Add(1)
		n.came(Event{Kind: Message, Msg: fleet.Message{Kind: fleet.Kind(e.Kind), From: e.From, To: e.To, Body: e.Body}})
	}
}

func (n *member) entry(b []byte) {
	if len(b) == 0 || len(b) > fleet.MaxEntry {
		n.counts.garbage.Add(1)
		return
	}
	n.counts.entries.Add(1)
	if failpoint.On("net-deaf") {
		return
	}
	n.came(Event{Kind: Entry, Bytes: b})
}

func (n *member) LocalState(bool) []byte {
	n.mu.Lock()
	all := make([][]byte, 0, len(n.entries))
	for _, b := range n.entries {
		all = append(all, b)
	}
	n.mu.Unlock()
	b, err := n.encode.Marshal(all)
	if err != nil {
		return nil
	}
	return b
}

func (n *member) MergeRemoteState(b []byte, _ bool) {
	if len(b) == 0 {
		return
	}
	// Entries are bounded one by one: as one array they would be over what Coding allows, and need not fit in memory.
	rest, count, ok := arrayOf(b)
	if !ok || count > maxState {
		n.counts.garbage.Add(1)
		return
	}
	for range count {
		var entry []byte
		var err error
		if rest, err = n.decode.UnmarshalFirst(rest, &entry); err != nil {
			n.counts.garbage.Add(1)
			return
		}
		n.entry(entry)
	}
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

func (n *member) NotifyJoin(node *memberlist.Node) {
	n.transport.told(node.Name, node.Meta)
	if node.Name != n.cfg.Self {
		n.seen.Add(1)
		n.came(Event{Kind: Up, Name: node.Name})
	}
}

func (n *member) NotifyUpdate(node *memberlist.Node) { n.transport.told(node.Name, node.Meta) }

func (n *member) NotifyLeave(node *memberlist.Node) {
	if node.Name != n.cfg.Self {
		n.seen.Add(-1)
		n.came(Event{Kind: Gone, Name: node.Name})
	}
}

func (n *member) NotifyConflict(*memberlist.Node, *memberlist.Node) { n.counts.twice.Add(1) }
