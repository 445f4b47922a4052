// Package fleetnet carries what the processes of a fleet tell each other, by hashicorp/memberlist behind a small interface:
// entries spread to all, messages go to one, and who is seen and who no longer is comes back. Everything that comes in is
// bounded and counted where it is dropped; what it means is decided elsewhere.
package fleetnet

import (
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"pewterwheel/internal/dissemination"
	"pewterwheel/internal/fleet"
)

// Net is how a process speaks with the others. All of it may be called from any goroutine, and nothing of it waits for
// the network but Leave and Close.
type Net interface {
	// Send hands a message to the process it is for. It may be lost, doubled, late and out of order. The error says only
	// that it was not sent.
	Send(m fleet.Message) error
	// Spread passes the newest of a process on to all, in place of what was passed on of that name before.
	Spread(name string, newest fleet.Coded)
	// Keep notes the newest of a process, for those who join, without passing it on.
	Keep(name string, newest fleet.Coded)
	// Pass sends what is known of a process to one other. The error says only that it was not sent.
	Pass(to string, known fleet.Coded) error
	// Root says by which digest of all entries the probes of others are answered from now on. One that differs comes as Root.
	Root(root uint64)
	// Older says whether members are heard that read whole entries alone. While there are, nothing else is spread, and the
	// budget holds nothing back.
	Older(heard bool)
	// Allow tells whether so many bytes of a class may be sent now. It spends nothing.
	Allow(class dissemination.Class, bytes int) bool
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
	Update                       // Bytes: a coded update of an entry, unread; at most fleet.MaxUpdate bytes
	Root                         // Name has another digest of all entries than this process: Digest
)

// Event is one thing that came in. What it holds is the receiver's.
type Event struct {
	Kind   EventKind
	Name   string
	Msg    fleet.Message
	Bytes  []byte
	Passed bool // an Entry or Update that was sent to this process alone, by Pass: others know it
	Digest uint64
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
	// Budget bounds the bytes of control traffic, in and out together; its zero value: the usual.
	Budget dissemination.BudgetConfig
}

// The usual times, in microseconds: for machines of one site.
const (
	usualProbe        = 300_000
	usualProbeTimeout = 200_000
	usualGossip       = 150_000
	usualPushPull     = 60_000_000
	usualRejoin       = 1_000_000
)

const (
	// datagram holds the largest entry, the largest update and what is around them.
	datagram = fleet.MaxEntry + 1024
	// frame is what a datagram of gossip has where no single entry needs more: one Ethernet frame, with the headers.
	frame = 1400
	// gossipNodes is how many others are told in each gossip, by memberlist of the membership and by this package of entries.
	gossipNodes = 3
	// membersPerProbe is how many members make the time between probes, and that to answer one, longer by their usual lengths.
	membersPerProbe = 200
	// membershipMultiplier times log10 of the members is how often memberlist repeats what it spreads.
	membershipMultiplier = 3
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

// envelope is what a datagram of ours holds: a message, or entries and updates. Entry alone is read by the older version.
type envelope struct {
	Kind    uint8    `cbor:"1,keyasint,omitempty"`
	From    string   `cbor:"2,keyasint,omitempty"`
	To      string   `cbor:"3,keyasint,omitempty"`
	Body    []byte   `cbor:"4,keyasint,omitempty"`
	Entry   []byte   `cbor:"5,keyasint,omitempty"`
	Entries [][]byte `cbor:"6,keyasint,omitempty"`
	Updates [][]byte `cbor:"7,keyasint,omitempty"`
}

// counts are what came, went and was passed by.
type counts struct {
	sent, unsent, received, entries, spread, foreign, garbage, misled, dropped, complaints, twice, bytesOut, bytesIn atomic.Uint64
	updates, datagramsOut, datagramsIn, streamsOut, streamsIn, streamsRefused, streamBytesOut, streamBytesIn         atomic.Uint64
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
	encode    cbor.EncMode
	decode    cbor.DecMode
	counts    counts
	budget    *account
	repeats   repeats
	seen      atomic.Int64  // others that the membership sees
	joined    atomic.Uint64 // times that another came to be seen
	root      atomic.Uint64 // of this process's entries
	older     atomic.Bool   // members of the older version are heard

	mu    sync.Mutex
	known map[string]fleet.Coded
	queue *dissemination.Queue // what is to be gossiped
	peers []string             // whom the membership sees, in no order
}

// Open listens and begins to join the others, which goes on until all that are named are seen, and again whenever one is
// not. The error is a *BindError or a *ConfigError.
func Open(cfg Config) (Net, error) {
	// A large fleet has more to say of whom it suspects, and a wrong suspicion costs it more: probes are rarer there, and wait longer.
	size := 1 + float64(len(cfg.Names))/membersPerProbe
	for _, d := range []struct {
		at    *int64
		usual int64
	}{{&cfg.Probe, int64(usualProbe * size)}, {&cfg.ProbeTimeout, int64(usualProbeTimeout * size)}, {&cfg.Gossip, usualGossip}, {&cfg.PushPull, usualPushPull}, {&cfg.Rejoin, usualRejoin}} {
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
	n := newMember(cfg)
	logger := n.logger()
	var err error
	if n.transport, err = listen(cfg, logger, &n.counts, n.budget); err != nil {
		return nil, &BindError{cfg.Bind, err}
	}
	us := func(t int64) time.Duration { return time.Duration(t) * time.Microsecond }
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label, c.SkipInboundLabelCheck, c.Transport, c.Logger, c.LogOutput = cfg.Self, cfg.Cluster, true, n.transport, logger, nil
	c.RequireNodeNames, c.EnableCompression, c.UDPBufferSize, c.TCPTimeout = true, false, frame, tcpTimeout
	c.ProbeInterval, c.ProbeTimeout, c.GossipInterval, c.PushPullInterval = us(cfg.Probe), us(cfg.ProbeTimeout), us(cfg.Gossip), us(cfg.PushPull)
	c.SuspicionMult, c.SuspicionMaxTimeoutMult, c.RetransmitMult, c.GossipNodes = cfg.Suspicion, 2, membershipMultiplier, gossipNodes
	c.GossipToTheDeadTime = 30 * time.Second
	c.AwarenessMaxMultiplier = 4
	c.Delegate, c.Events, c.Conflict, c.Ping = n, n, n, n
	if n.list, err = memberlist.Create(c); err != nil {
		_ = n.transport.Shutdown()
		return nil, &ConfigError{err}
	}
	n.wg.Go(n.join)
	n.wg.Go(n.gossip)
	return n, nil
}

// newMember makes what needs no sockets.
func newMember(cfg Config) *member {
	n := &member{cfg: cfg, events: make(chan Event, cfg.Queue), done: make(chan struct{}), known: map[string]fleet.Coded{},
		queue: dissemination.NewQueue(), budget: newAccount(cfg.Budget)}
	n.encode, n.decode = fleet.Coding()
	return n
}

func (n *member) Events() <-chan Event { return n.events }

func (n *member) Seen() int { return int(n.seen.Load()) }

func (n *member) Name(addresses map[string]netip.AddrPort) { n.transport.name(addresses) }

func (n *member) Figures(put func(name string, v uint64, gauge bool)) {
	c := &n.counts
	put("fleet_seen", uint64(n.Seen()), true)
	put("fleet_repeats", n.repeats.count(), false)
	for _, f := range []struct {
		name string
		n    *atomic.Uint64
	}{{"fleet_messages_out", &c.sent}, {"fleet_messages_unsent", &c.unsent}, {"fleet_messages_in", &c.received}, {"fleet_messages_misled", &c.misled},
		{"fleet_entries_heard", &c.entries}, {"fleet_updates_heard", &c.updates}, {"fleet_entries_spread", &c.spread}, {"fleet_foreign", &c.foreign}, {"fleet_garbage", &c.garbage},
		{"fleet_events_dropped", &c.dropped}, {"fleet_net_complaints", &c.complaints}, {"fleet_bytes_out", &c.bytesOut}, {"fleet_bytes_in", &c.bytesIn},
		{"fleet_datagrams_out", &c.datagramsOut}, {"fleet_datagrams_in", &c.datagramsIn}, {"fleet_streams_out", &c.streamsOut}, {"fleet_streams_in", &c.streamsIn}, {"fleet_streams_refused", &c.streamsRefused},
		{"fleet_stream_bytes_out", &c.streamBytesOut}, {"fleet_stream_bytes_in", &c.streamBytesIn}} {
		put(f.name, f.n.Load(), false)
	}
	n.mu.Lock()
	n.queue.Figures(put)
	n.mu.Unlock()
	n.budget.figures(put)
}

func (n *member) Leave() {
	n.flush()
	_ = n.list.Leave(leaveWithin) // who has not heard it finds out
}

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
