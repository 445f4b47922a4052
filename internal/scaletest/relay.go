package scaletest

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"pewterwheel/internal/fleet"
)

// Links is what passes between members. Times are those of one way; parts are of 1.
type Links struct {
	InZone, InRegion, BetweenRegions time.Duration
	Loss, Double, Late               float64       // parts of datagrams that are lost, sent twice, and sent late
	LateBy                           time.Duration // how late
}

// UsualLinks are those of round trips of 1 ms in a zone, 3 ms in a region and 40 ms between regions, without faults.
func UsualLinks() Links {
	return Links{
		InZone:         500 * time.Microsecond,
		InRegion:       1500 * time.Microsecond,
		BetweenRegions: 20 * time.Millisecond,
		LateBy:         200 * time.Millisecond,
	}
}

// LinkCounts count what became of datagrams between members.
type LinkCounts struct{ Passed, Lost, Doubled, Late, Cut atomic.Int64 }

// end is one end of a link: a member, or with unknownMember any of a zone.
type end struct{ member, zone, region int }

const unknownMember = -1

// cut tells whether nothing passes from one end to the other.
type cut func(from, to end) bool

// network passes what members of one zone send to one member on, each by a link of its own. All members of a zone use
// the same links, so that there are as many links a member as there are zones, and not as many as there are members.
type network struct {
	fleet   *Fleet
	links   Links
	members map[netip.AddrPort]int // by where they send datagrams from
	counts  LinkCounts
	cuts    atomic.Pointer[[]cut]
	work    sync.WaitGroup

	mu    sync.Mutex
	rng   *rand.Rand
	zones [][]*link          // by zone and member
	own   map[int]ownLinks   // of members that have links of their own
	open  map[io.Closer]bool // sockets; nil: the network has ended
}

// link passes datagrams and streams on to one member.
type link struct {
	network *network
	from    end
	to      int
	packets *net.UDPConn
	streams *net.TCPListener
}

// ownLinks are those of one member to all, and how far they listen from the members' own ports.
type ownLinks struct {
	offset int
	links  []*link
}

func newNetwork(f *Fleet) (*network, error) {
	n := &network{
		fleet:   f,
		links:   *f.spec.Links,
		members: map[netip.AddrPort]int{},
		rng:     rand.New(rand.NewPCG(f.spec.Seed, 0)),
		own:     map[int]ownLinks{},
		open:    map[io.Closer]bool{},
	}
	n.cuts.Store(&[]cut{})
	for i := range f.Members {
		n.members[f.address(i, 0)] = i
	}
	for zone := range f.spec.Zones {
		links, err := n.makeLinks(end{unknownMember, zone, f.region(zone)}, 1+zone)
		if err != nil {
			n.close()
			return nil, err
		}
		n.zones = append(n.zones, links)
	}
	for _, links := range n.zones {
		n.start(links)
	}
	return n, nil
}

// region is that of a zone.
func (f *Fleet) region(zone int) int { return zone * f.spec.Regions / f.spec.Zones }

func (m *Member) region() int { return m.fleet.region(m.zone) }

func (f *Fleet) endOf(member int) end {
	m := f.Members[member]
	return end{member, m.zone, m.region()}
}

// makeLinks makes links from one end to all members. They listen at an offset from the members' own ports.
func (n *network) makeLinks(from end, offset int) ([]*link, error) {
	var links []*link
	for to := range n.fleet.Members {
		at := n.fleet.address(to, offset)
		l := &link{network: n, from: from, to: to}
		var err error
		if l.packets, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at)); err != nil {
			return nil, err
		}
		n.keep(l.packets)
		if l.streams, err = net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(at)); err != nil {
			return nil, err
		}
		n.keep(l.streams)
		links = append(links, l)
	}
	return links, nil
}

func (n *network) start(links []*link) {
	for _, l := range links {
		n.work.Go(l.takeDatagrams)
		n.work.Go(l.takeStreams)
	}
}

// offset is how far the links by which a member reaches the others listen from their own ports.
func (n *network) offset(m *Member) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if own, ok := n.own[m.index]; ok {
		return own.offset
	}
	return 1 + m.zone
}

// keep notes what the end of the network closes; what comes later is closed at once, and false.
func (n *network) keep(c io.Closer) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.open == nil {
		_ = c.Close()
		return false
	}
	n.open[c] = true
	return true
}

func (n *network) drop(c io.Closer) {
	n.mu.Lock()
	delete(n.open, c)
	n.mu.Unlock()
	_ = c.Close()
}

func (n *network) close() {
	n.mu.Lock()
	for c := range n.open {
		_ = c.Close()
	}
	n.open = nil
	n.mu.Unlock()
	n.work.Wait()
}

func (n *network) isCut(from, to end) bool {
	for _, cuts := range *n.cuts.Load() {
		if cuts(from, to) {
			return true
		}
	}
	return false
}

// delay is how long what is sent takes.
func (n *network) delay(from, to end) time.Duration {
	switch {
	case from.zone == to.zone:
		return n.links.InZone
	case from.region == to.region:
		return n.links.InRegion
	}
	return n.links.BetweenRegions
}

// takeDatagrams reads what members send.
func (l *link) takeDatagrams() {
	buffer := make([]byte, fleet.MaxEntry+4096)
	for {
		size, at, err := l.packets.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if from, known := l.network.members[at]; known && err == nil {
			l.network.datagram(from, l.to, append([]byte(nil), buffer[:size]...))
		}
	}
}

// datagram decides what becomes of one.
func (n *network) datagram(from, to int, b []byte) {
	n.mu.Lock()
	lost := n.rng.Float64() < n.links.Loss
	doubled := n.rng.Float64() < n.links.Double
	late := n.rng.Float64() < n.links.Late
	n.mu.Unlock()
	source, target := n.fleet.endOf(from), n.fleet.endOf(to)
	wait := n.delay(source, target)
	switch {
	case n.isCut(source, target):
		n.counts.Cut.Add(1)
		return
	case lost:
		n.counts.Lost.Add(1)
		return
	case late:
		n.counts.Late.Add(1)
		wait += n.links.LateBy
	}
	if doubled {
		n.counts.Doubled.Add(1)
		time.AfterFunc(wait, func() { n.deliver(from, to, b) })
	}
	time.AfterFunc(wait, func() { n.deliver(from, to, b) })
}

// deliver hands a datagram over from where the member would send its answer to: an answer to its sender goes by a
// link, too.
func (n *network) deliver(from, to int, b []byte) {
	n.mu.Lock()
	back := n.zones[n.fleet.Members[to].zone][from]
	if own, ok := n.own[to]; ok {
		back = own.links[from]
	}
	n.mu.Unlock()
	n.counts.Passed.Add(1)
	_, _ = back.packets.WriteToUDPAddrPort(b, n.fleet.address(to, 0)) // one that nobody takes is lost, as elsewhere
}

func (l *link) takeStreams() {
	for {
		c, err := l.streams.Accept()
		if err != nil {
			return
		}
		l.network.work.Go(func() { l.stream(c) })
	}
}

// streamWithin is how long a stream may be open: far longer than those of the membership are.
const streamWithin = 15 * time.Second

// stream passes one connection on, both ways, until either way ends. A connect needs both ways, and takes one there
// and back; where there is a cut it stays in silence until who asked gives it up.
func (l *link) stream(in net.Conn) {
	n := l.network
	if !n.keep(in) {
		return
	}
	defer n.drop(in)
	_ = in.SetDeadline(time.Now().Add(streamWithin))
	to := n.fleet.endOf(l.to)
	wait := n.delay(l.from, to)
	if n.isCut(l.from, to) || n.isCut(to, l.from) {
		_, _ = io.Copy(io.Discard, in)
		return
	}
	time.Sleep(2 * wait)
	out, err := net.DialTimeout("tcp4", n.fleet.address(l.to, 0).String(), time.Second)
	if err != nil || !n.keep(out) {
		return
	}
	defer n.drop(out)
	_ = out.SetDeadline(time.Now().Add(streamWithin))
	var ways sync.WaitGroup
	ways.Go(func() { n.passOn(out, in, l.from, to, wait) })
	ways.Go(func() { n.passOn(in, out, to, l.from, wait) })
	ways.Wait()
}

// stretch is bytes on their way, and when they are due; none: the end.
type stretch struct {
	due   time.Time
	bytes []byte
}

// passOn passes a stream on in one direction, with its end. A cut ends it in silence.
func (n *network) passOn(to, from net.Conn, source, target end, wait time.Duration) {
	const onTheWay = 64 // bounds what waits in memory
	line := make(chan stretch, onTheWay)
	n.work.Go(func() {
		defer close(line)
		for {
			buffer := make([]byte, 16<<10)
			size, err := from.Read(buffer)
			line <- stretch{time.Now().Add(wait), buffer[:size]}
			if err != nil {
				return
			}
		}
	})
	silent := false
	for s := range line {
		time.Sleep(time.Until(s.due))
		if silent = silent || n.isCut(source, target); !silent {
			_, _ = to.Write(s.bytes) // an end that reads no more ends the other way
		}
	}
	if c, ok := to.(*net.TCPConn); ok && !silent {
		_ = c.CloseWrite()
	}
}
