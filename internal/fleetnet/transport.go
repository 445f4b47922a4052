package fleetnet

import (
	"fmt"
	"log"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"pewterwheel/internal/dissemination"
)

// What memberlist is told as everybody's address. It takes an address for a part of who somebody is: under a name whose
// address has changed it refuses a process until the earlier one counts as dead. Ours go by name alone, so that one that
// comes back at another port is taken in at once. Where a name is reached stands in this process's own settings, and for
// names that are not there in what their processes tell of themselves.
const (
	nowherePort = 1
	nowhere     = "127.0.0.1:1"
)

var nowhereIP = net.IPv4(127, 0, 0, 1).To4()

// transport is memberlist's own for UDP and TCP, with two things of ours: where to send goes by name, and what comes from
// another cluster, or from nobody of ours, ends here and is counted.
type transport struct {
	*memberlist.NetTransport
	cluster string
	counts  *counts
	budget  *account
	packets chan *memberlist.Packet
	streams chan net.Conn
	done    chan struct{}
	once    sync.Once
	wg      sync.WaitGroup
	slots   chan struct{} // as many connections may be taken in at once

	mu    sync.RWMutex
	own   map[string]netip.AddrPort // by this process's settings
	heard map[string]netip.AddrPort // by what processes tell of themselves
	open  map[net.Conn]bool         // those taken in that have not said whose they are
}

var _ memberlist.NodeAwareTransport = (*transport)(nil)

func listen(cfg Config, logger *log.Logger, c *counts, budget *account) (*transport, error) {
	inner, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{cfg.Bind.Addr().String()}, BindPort: int(cfg.Bind.Port()), Logger: logger})
	if err != nil {
		return nil, err
	}
	t := &transport{NetTransport: inner, cluster: cfg.Cluster, counts: c, budget: budget, packets: make(chan *memberlist.Packet), streams: make(chan net.Conn),
		done: make(chan struct{}), slots: make(chan struct{}, maxStreams), own: maps.Clone(cfg.Names), heard: map[string]netip.AddrPort{}, open: map[net.Conn]bool{}}
	t.wg.Go(t.takePackets)
	t.wg.Go(t.takeStreams)
	return t, nil
}

// FinalAdvertiseAddr gives what stands for every process's address.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return nowhereIP, nowherePort, nil
}

// of is where a process is reached.
func (t *transport) of(name string) (netip.AddrPort, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if at, ok := t.own[name]; ok {
		return at, true
	}
	at, ok := t.heard[name]
	return at, ok
}

func (t *transport) knows(name string) bool { _, ok := t.of(name); return ok }

func (t *transport) names() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.Sorted(maps.Keys(t.own))
}

func (t *transport) name(addresses map[string]netip.AddrPort) {
	t.mu.Lock()
	t.own = maps.Clone(addresses)
	t.mu.Unlock()
}

// told takes what a process tells of where it is reached. Guards against one that names thousands.
func (t *transport) told(name string, meta []byte) {
	at, err := netip.ParseAddrPort(string(meta))
	if err != nil {
		return
	}
	t.mu.Lock()
	if _, known := t.heard[name]; known || len(t.heard) < maxState {
		t.heard[name] = at
	}
	t.mu.Unlock()
}

// address turns what memberlist has into what a socket takes. Every call of memberlist's has the name, but the answer to a
// ping that gives none; that one goes to where the ping came from.
func (t *transport) address(a memberlist.Address) (memberlist.Address, error) {
	if a.Name == "" {
		if a.Addr == nowhere {
			return a, &UnknownMemberError{"a process without a name"}
		}
		return a, nil
	}
	at, ok := t.of(a.Name)
	if !ok {
		return a, &UnknownMemberError{a.Name}
	}
	return memberlist.Address{Addr: at.String(), Name: a.Name}, nil
}

// WriteToAddress sends a packet to a process by its name.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	to, err := t.address(a)
	if err != nil {
		return time.Time{}, err
	}
	t.counts.bytesOut.Add(uint64(len(b)))
	t.counts.datagramsOut.Add(1)
	if inner, _, err := memberlist.RemoveLabelHeaderFromPacket(b); err == nil && !isMessage(inner) {
		t.budget.spend(dissemination.Membership, dissemination.Out, len(b)+datagramHeader)
	}
	return t.NetTransport.WriteToAddress(b, to)
}

// DialAddressTimeout connects to a process by its name.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	to, err := t.address(a)
	if err != nil {
		return nil, err
	}
	conn, err := t.NetTransport.DialAddressTimeout(to, timeout)
	if err != nil {
		return nil, err
	}
	t.counts.streamsOut.Add(1)
	t.budget.spend(dissemination.Membership, dissemination.Out, streamHeaders)
	return countedConn{conn, t.counts, t.budget}, nil
}

// countedConn counts the bytes of a connection as they are read and written.
type countedConn struct {
	net.Conn
	counts *counts
	budget *account
}

// Read reads and counts.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counts.streamBytesIn.Add(uint64(n))
	c.budget.spend(dissemination.Membership, dissemination.In, n)
	return n, err
}

// Write writes and counts.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counts.streamBytesOut.Add(uint64(n))
	c.budget.spend(dissemination.Membership, dissemination.Out, n)
	return n, err
}

// PacketCh brings what came by UDP, without its label.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh brings connections, without their label.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

func (t *transport) takePackets() {
	for {
		select {
		case <-t.done:
			return
		case p := <-t.NetTransport.PacketCh():
			t.counts.bytesIn.Add(uint64(len(p.Buf)))
			t.counts.datagramsIn.Add(1)
			b, label, err := memberlist.RemoveLabelHeaderFromPacket(p.Buf)
			switch {
			case err != nil || len(b) == 0:
				t.counts.garbage.Add(1)
				continue
			case label != t.cluster:
				t.counts.foreign.Add(1)
				continue
			}
			if !isMessage(b) {
				t.budget.spend(dissemination.Membership, dissemination.In, len(b)+datagramHeader)
			}
			p.Buf = b
			select {
			case t.packets <- p:
			case <-t.done:
				return
			}
		}
	}
}

func (t *transport) takeStreams() {
	for {
		select {
		case <-t.done:
			return
		case raw := <-t.NetTransport.StreamCh():
			t.counts.streamsIn.Add(1)
			t.budget.spend(dissemination.Membership, dissemination.In, streamHeaders)
			conn := countedConn{raw, t.counts, t.budget}
			select {
			case t.slots <- struct{}{}:
				t.mu.Lock()
				t.open[conn] = true
				t.mu.Unlock()
				t.wg.Go(func() { t.takeStream(conn); <-t.slots })
			default:
				t.counts.dropped.Add(1)
				_ = conn.Close()
			}
		}
	}
}

// takeStream reads whose connection it is. Guards against one that says nothing: it is given up after streamWithin.
func (t *transport) takeStream(conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(streamWithin))
	labelled, label, err := memberlist.RemoveLabelHeaderFromStream(conn)
	t.mu.Lock()
	delete(t.open, conn)
	t.mu.Unlock()
	switch {
	case err != nil:
		t.counts.garbage.Add(1)
	case label != t.cluster:
		t.counts.foreign.Add(1)
	default:
		select {
		case t.streams <- labelled: // memberlist sets a deadline of its own
			return
		case <-t.done:
		}
	}
	_ = conn.Close()
}

// Shutdown closes the sockets and ends the goroutines.
func (t *transport) Shutdown() error {
	t.once.Do(func() {
		_ = t.NetTransport.Shutdown() // while ours go on, or its own would wait for them
		close(t.done)
		t.mu.Lock()
		for conn := range t.open {
			_ = conn.Close()
		}
		t.mu.Unlock()
		t.wg.Wait()
	})
	return nil
}

// logger takes memberlist's lines: all go to the log at debug, and those that complain are counted.
func (n *member) logger() *log.Logger {
	return log.New(lines{n}, "", 0)
}

type lines struct{ n *member }

func (l lines) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b))
	if strings.HasPrefix(text, "[ERR]") || strings.HasPrefix(text, "[WARN]") {
		l.n.counts.complaints.Add(1)
	}
	l.n.cfg.Log.Debug("membership", "line", text)
	return len(b), nil
}

func (c Config) String() string {
	return fmt.Sprintf("%s of %s at %s", c.Self, c.Cluster, c.Bind)
}

var _ slog.LogValuer = Config{}

// LogValue is what a log shows of a configuration.
func (c Config) LogValue() slog.Value { return slog.StringValue(c.String()) }
