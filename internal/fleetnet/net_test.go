package fleetnet

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
	"go.uber.org/goleak"

	"pewterwheel/internal/dissemination"
	"pewterwheel/internal/fleet"
	"pewterwheel/internal/standin"
)

// patience is only for a broken program: nothing is judged by how fast it comes.
const patience = 20 * time.Second

// free returns a loopback address at which UDP and TCP are free, and which no connection is given meanwhile.
func free(t testing.TB) netip.AddrPort {
	t.Helper()
	for range 20 {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(standin.FreePort()))
		u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
		if err == nil {
			_ = u.Close()
			return at
		}
	}
	t.Fatal("no free address")
	return netip.AddrPort{}
}

// box takes a net's events and remembers them.
type box struct {
	Net
	mu       sync.Mutex
	up       map[string]bool
	messages []fleet.Message
	entries  map[string]int
	updates  map[string]int
	roots    map[string]uint64
}

func open(t testing.TB, cfg Config) *box {
	t.Helper()
	cfg.Probe, cfg.ProbeTimeout, cfg.Gossip, cfg.Rejoin, cfg.PushPull = 100_000, 50_000, 30_000, 200_000, 500_000
	n, err := Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	b := &box{Net: n, up: map[string]bool{}, entries: map[string]int{}, updates: map[string]int{}, roots: map[string]uint64{}}
	over := make(chan struct{})
	go func() {
		defer close(over)
		for e := range n.Events() {
			b.mu.Lock()
			switch e.Kind {
			case Up, Gone:
				b.up[e.Name] = e.Kind == Up
			case Message:
				b.messages = append(b.messages, e.Msg)
			case Entry:
				b.entries[string(e.Bytes)]++
			case Update:
				b.updates[string(e.Bytes)]++
			case Root:
				b.roots[e.Name] = e.Digest
			}
			b.mu.Unlock()
		}
	}()
	t.Cleanup(func() { n.Close(); <-over })
	return b
}

func (b *box) has(f func() bool) func() bool {
	return func() bool { b.mu.Lock(); defer b.mu.Unlock(); return f() }
}

func until(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for by := time.Now().Add(patience); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(by) {
			t.Fatalf("%s did not come", what)
		}
	}
}

// pipe relays UDP and TCP from an address of its own to one that may change. Everything goes to and fro between one pair.
type pipe struct {
	at  netip.AddrPort
	mu  sync.Mutex
	to  netip.AddrPort
	cut bool
}

func relay(t testing.TB, to netip.AddrPort) *pipe {
	t.Helper()
	p := &pipe{at: free(t), to: to}
	u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(p.at))
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp4", p.at.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = u.Close(); _ = l.Close() })
	goes := func() (netip.AddrPort, bool) { p.mu.Lock(); defer p.mu.Unlock(); return p.to, !p.cut }
	go func() {
		b := make([]byte, 64<<10)
		for {
			n, err := u.Read(b)
			if err != nil {
				return
			}
			if to, ok := goes(); ok {
				_, _ = u.WriteToUDPAddrPort(b[:n], to)
			}
		}
	}()
	go func() {
		for {
			from, err := l.Accept()
			if err != nil {
				return
			}
			to, ok := goes()
			if !ok {
				_ = from.Close()
				continue
			}
			onward, err := net.Dial("tcp4", to.String())
			if err != nil {
				_ = from.Close()
				continue
			}
			half := func(a, b net.Conn) {
				_, _ = bytes.NewBuffer(nil).ReadFrom(readerTo{a, b})
				_ = a.Close()
				_ = b.Close()
			}
			go half(from, onward)
			go half(onward, from)
		}
	}()
	return p
}

// readerTo copies what is read to another connection.
type readerTo struct{ from, to net.Conn }

func (r readerTo) Read(b []byte) (int, error) {
	n, err := r.from.Read(b[:min(len(b), 4096)])
	if n > 0 {
		if _, err := r.to.Write(b[:n]); err != nil {
			return 0, err
		}
	}
	return 0, err
}

func (p *pipe) set(to netip.AddrPort, cut bool) { p.mu.Lock(); p.to, p.cut = to, cut; p.mu.Unlock() }

// Two processes that reach each other only at addresses of their own files, through relays, find each other; messages and
// entries pass; a cut is seen and healed; and one that comes back under its name at another port is taken in.
func TestByNameThroughRelays(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) }) // the last, when all is closed
	atA, atB := free(t), free(t)
	toA, toB := relay(t, atA), relay(t, atB)
	nobody := netip.MustParseAddrPort("127.0.0.1:9") // what gossip says must not be gone by where the own file names an address
	config := func(self string, bind netip.AddrPort, other string, at netip.AddrPort) Config {
		return Config{Cluster: "one", Self: self, Bind: bind, Reach: nobody, Names: map[string]netip.AddrPort{other: at}}
	}
	a := open(t, config("a", atA, "b", toB.at))
	b := open(t, config("b", atB, "a", toA.at))
	both := func(what string) {
		t.Helper()
		until(t, what, func() bool { return a.Seen() == 1 && b.Seen() == 1 })
	}
	both("a first meeting")
	body := bytes.Repeat([]byte{7}, fleet.MaxBody)
	if err := a.Send(fleet.Message{Kind: fleet.Lease, To: "b", Body: body}); err != nil {
		t.Fatal(err)
	}
	until(t, "a message", b.has(func() bool {
		return len(b.messages) > 0 && b.messages[0].From == "a" && b.messages[0].Kind == fleet.Lease && bytes.Equal(b.messages[0].Body, body)
	}))
	large := string(bytes.Repeat([]byte{8}, fleet.MaxEntry))
	a.Spread("a", fleet.Coded{Entry: []byte(large)})
	until(t, "the largest entry", b.has(func() bool { return b.entries[large] > 0 }))

	toA.set(atA, true)
	toB.set(atB, true)
	until(t, "the cut", func() bool { return a.Seen() == 0 && b.Seen() == 0 })
	toA.set(atA, false)
	toB.set(atB, false)
	both("the healing")

	b.Close() // killed, for a: nothing is said
	moved := free(t)
	toB.set(moved, false)
	again := open(t, config("b", moved, "a", toA.at))
	until(t, "its return", func() bool {
		return again.Seen() == 1 && a.Send(fleet.Message{Kind: 2, To: "b", Body: []byte("x")}) == nil && again.has(func() bool { return len(again.messages) > 0 })()
	})
	until(t, "what was spread before", again.has(func() bool { return again.entries[large] > 0 }))
	again.Leave()
	until(t, "its leaving", func() bool { return a.Seen() == 0 })
}

// Who has nobody's address in its own file goes by what processes tell of themselves.
func TestAddressesFromOthers(t *testing.T) {
	at := []netip.AddrPort{free(t), free(t), free(t)}
	var all []*box
	for i := range 3 { // all know the first alone
		all = append(all, open(t, Config{Cluster: "one", Self: fmt.Sprintf("m%d", i), Bind: at[i], Reach: at[i], Names: map[string]netip.AddrPort{"m0": at[0]}}))
	}
	for _, b := range all {
		until(t, "all three", func() bool { return b.Seen() == 2 })
	}
	until(t, "a message between two that were not told of each other", func() bool {
		return all[1].Send(fleet.Message{Kind: 1, To: "m2", Body: []byte("x")}) == nil && all[2].has(func() bool { return len(all[2].messages) > 0 })()
	})
	var unknown *UnknownMemberError
	if err := all[0].Send(fleet.Message{Kind: 1, To: "m9"}); !errors.As(err, &unknown) {
		t.Errorf("a message to nobody gave %v", err)
	}
	var size *SizeError
	if err := all[0].Send(fleet.Message{Kind: 1, To: "m1", Body: make([]byte, fleet.MaxBody+1)}); !errors.As(err, &size) {
		t.Errorf("a message over size gave %v", err)
	}
	var bind *BindError
	if _, err := Open(Config{Cluster: "one", Self: "m9", Bind: at[0]}); !errors.As(err, &bind) {
		t.Errorf("a used address gave %v", err)
	}
}

// figure reads one figure.
func figure(n Net, name string) (v uint64) {
	n.Figures(func(f string, x uint64, _ bool) {
		if f == name {
			v = x
		}
	})
	return v
}

// What comes from another cluster, from no program of ours, or is over a bound, is counted and passed by, and the members
// go on.
func TestStrangers(t *testing.T) {
	atA, atB := free(t), free(t)
	a := open(t, Config{Cluster: "one", Self: "a", Bind: atA, Reach: atA, Names: map[string]netip.AddrPort{"b": atB}, Queue: 8})
	stranger := open(t, Config{Cluster: "two", Self: "b", Bind: atB, Reach: atB, Names: map[string]netip.AddrPort{"a": atA}})
	until(t, "what is foreign", func() bool { return figure(a, "fleet_foreign") > 2 })
	if a.Seen() != 0 || stranger.Seen() != 0 {
		t.Error("two clusters are one")
	}
	u, err := net.Dial("udp4", atA.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = u.Close() }()
	label, err := memberlist.AddLabelHeaderToPacket([]byte{8, 0xff, 0xff, 0xff}, "one") // a message of ours that is none
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range [][]byte{label, {244}, {244, 200, 'x'}, bytes.Repeat([]byte{0}, 1400), []byte("GET / HTTP/1.1"), {8}, bytes.Repeat([]byte{0xff}, 60000)} {
		if _, err := u.Write(b); err != nil {
			t.Fatal(err)
		}
	}
	until(t, "what is garbage", func() bool { return figure(a, "fleet_garbage") >= 3 })
	for range 2 * maxStreams { // connections that say nothing: so many are taken in, the others closed at once
		c, err := net.Dial("tcp4", atA.String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
	}
	until(t, "what is too much", func() bool { return figure(a, "fleet_events_dropped") > 0 })
	stranger.Close()
	friend := open(t, Config{Cluster: "one", Self: "b", Bind: atB, Reach: atB, Names: map[string]netip.AddrPort{"a": atA}})
	until(t, "a member all the same", func() bool { return a.Seen() == 1 && friend.Seen() == 1 })
}

// The state of a push and pull is read entry by entry, whatever it holds.
func TestStateIsBounded(t *testing.T) {
	n := newMember(Config{Queue: 10_000})
	for i := range 300 {
		n.known[fmt.Sprint(i)] = fleet.Coded{Entry: bytes.Repeat([]byte{byte(i)}, 1+i)}
	}
	n.known["7"] = fleet.Coded{Entry: []byte{7}, Update: []byte{8}}
	if state := n.LocalState(false); state != nil {
		t.Errorf("%d bytes are exchanged where nobody joins", len(state))
	}
	state := n.LocalState(true)
	n.MergeRemoteState(state, false)
	if len(n.events) != 301 || n.counts.garbage.Load() != 0 || n.counts.updates.Load() != 1 {
		t.Errorf("%d entries and updates, %d updates, %d garbage", len(n.events), n.counts.updates.Load(), n.counts.garbage.Load())
	}
	n.Older(true)
	if len(n.LocalState(false)) != len(state) {
		t.Error("a member of the version before is not told of all")
	}
	for i, b := range [][]byte{nil, {}, {0xff}, {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, {0x99}, {0x82, 0x41, 1}, state[:len(state)/2], {0x99, 0xff, 0xff}} {
		was := n.counts.garbage.Load()
		if n.MergeRemoteState(b, false); len(b) > 0 && n.counts.garbage.Load() == was {
			t.Errorf("state %d was not counted", i)
		}
	}
}

// However much there is to spread, what leaves a process and comes to it is bounded by its budget, and what does not pass
// is counted and waits.
func TestBytesAreBounded(t *testing.T) {
	at := []netip.AddrPort{free(t), free(t), free(t), free(t)}
	names := map[string]netip.AddrPort{}
	for i := range at {
		names[fmt.Sprintf("m%d", i)] = at[i]
	}
	budget := dissemination.BudgetConfig{Rate: 20_000, Factor: 4, Burst: 1_000_000}
	var all []*box
	for i := range at {
		all = append(all, open(t, Config{Cluster: "one", Self: fmt.Sprintf("m%d", i), Bind: at[i], Reach: at[i], Names: names, Budget: budget}))
	}
	for _, b := range all {
		until(t, "all four", func() bool { return b.Seen() == 3 })
	}
	// What may be refused: the membership's own words are charged first, and are not counted here.
	passed := func(b *box) uint64 { return figure(b, "fleet_budget_settings_bytes_out") }
	begin, was := time.Now(), passed(all[0])
	for i := range 2000 {
		all[0].Spread(fmt.Sprintf("n%d", i), fleet.Coded{Entry: bytes.Repeat([]byte{byte(i)}, fleet.MaxEntry)})
	}
	until(t, "what is spread, and what is refused", func() bool {
		return time.Since(begin) >= 1500*time.Millisecond && passed(all[0])-was >= 5*fleet.MaxEntry && figure(all[0], "fleet_budget_settings_refused") > 0
	})
	sum := passed(all[0]) - was
	depth := uint64(budget.Rate * budget.Factor * budget.Burst / 1_000_000)
	if most := depth + uint64(time.Since(begin).Seconds()*float64(budget.Rate)) + gossipNodes*datagram; sum > most {
		t.Errorf("%d bytes were sent, at most %d may be", sum, most)
	}
	var refused *BudgetError
	err := all[0].Send(fleet.Message{Kind: fleet.Figures, To: "m1", Body: make([]byte, fleet.MaxBody)})
	if !errors.As(err, &refused) || refused.Advice() == "" {
		t.Errorf("figures beyond the budget gave %v", err)
	}
	if err := all[0].Send(fleet.Message{Kind: fleet.Lease, To: "m1", Body: make([]byte, fleet.MaxBody)}); err != nil {
		t.Errorf("a lease beyond the budget gave %v", err)
	}
	all[0].Older(true)
	if err := all[0].Send(fleet.Message{Kind: fleet.Figures, To: "m1", Body: make([]byte, fleet.MaxBody)}); err != nil {
		t.Errorf("figures where members of the version before are heard gave %v", err)
	}
}

// pair opens two members that see each other.
func pair(t *testing.T) (a, b *box) {
	t.Helper()
	atA, atB := free(t), free(t)
	a = open(t, Config{Cluster: "one", Self: "a", Bind: atA, Reach: atA, Names: map[string]netip.AddrPort{"b": atB}})
	b = open(t, Config{Cluster: "one", Self: "b", Bind: atB, Reach: atB, Names: map[string]netip.AddrPort{"a": atA}})
	until(t, "a meeting", func() bool { return a.Seen() == 1 && b.Seen() == 1 })
	return a, b
}

// Where an update says what is new, it alone is gossiped.
func TestUpdatesGoAlone(t *testing.T) {
	n := newMember(Config{})
	n.Spread("y", fleet.Coded{Entry: []byte("entry of y"), Update: []byte("update of y")})
	items := n.queue.Fill(frame, itemOverhead, 2)
	if len(items) != 1 || string(items[0]) != "uupdate of y" {
		t.Errorf("%q are gossiped", items)
	}
}

// Updates pass in one datagram with entries, and what is spread just before a leaving still goes out.
func TestUpdatesPass(t *testing.T) {
	a, b := pair(t)
	a.Spread("x", fleet.Coded{Entry: []byte("entry of x")})
	a.Spread("y", fleet.Coded{Entry: []byte("entry of y"), Update: []byte("update of y")})
	until(t, "an entry and an update", b.has(func() bool { return b.entries["entry of x"] > 0 && b.updates["update of y"] > 0 }))
	if err := a.Pass("b", fleet.Coded{Entry: []byte("entry of z"), Update: []byte("update of z")}); err != nil {
		t.Error(err)
	}
	until(t, "what was passed", b.has(func() bool { return b.entries["entry of z"] > 0 && b.updates["update of z"] > 0 }))
	b.Spread("w", fleet.Coded{Entry: []byte("entry of w")})
	b.Leave()
	if got := figure(b, "fleet_gossip_sent"); got == 0 {
		t.Error("what was spread just before the leaving did not go out")
	}
	until(t, "what was spread just before the leaving", a.has(func() bool { return a.entries["entry of w"] > 0 }))
}

// Who has others than this process is told by its answer to a probe.
func TestDigestsComeWithProbes(t *testing.T) {
	a, b := pair(t)
	a.Root(77)
	until(t, "another digest", b.has(func() bool { return b.roots["a"] == 77 }))
}

// Members of the version before read one whole entry in a datagram.
func TestOlderMembersReadWholeEntries(t *testing.T) {
	a, b := pair(t)
	a.Older(true)
	a.Spread("v", fleet.Coded{Entry: []byte("entry of v"), Update: []byte("update of v")})
	until(t, "an entry as the version before reads it", b.has(func() bool { return b.entries["entry of v"] > 0 }))
}

// What passes is counted byte for byte: datagrams and streams apart, whatever becomes of it.
func TestBytesAreCounted(t *testing.T) {
	at := free(t)
	alone := open(t, Config{Cluster: "one", Self: "a", Bind: at, Reach: at})
	datagrams, err := net.Dial("udp4", at.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = datagrams.Close() }()
	for _, size := range []int{1, 100, 1400} {
		if _, err := datagrams.Write(bytes.Repeat([]byte{'x'}, size)); err != nil {
			t.Fatal(err)
		}
	}
	until(t, "three datagrams of 1,501 bytes", func() bool {
		return figure(alone, "fleet_datagrams_in") == 3 && figure(alone, "fleet_bytes_in") == 1501
	})
	foreign, err := memberlist.AddLabelHeaderToPacket(nil, "another")
	if err != nil {
		t.Fatal(err)
	}
	stream, err := net.Dial("tcp4", at.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stream.Close() }()
	if _, err := stream.Write(foreign); err != nil {
		t.Fatal(err)
	}
	until(t, "one stream with a label alone", func() bool {
		return figure(alone, "fleet_streams_in") == 1 && figure(alone, "fleet_stream_bytes_in") == uint64(len(foreign))
	})
	for _, name := range []string{"fleet_datagrams_out", "fleet_bytes_out", "fleet_streams_out", "fleet_stream_bytes_out"} {
		if n := figure(alone, name); n != 0 {
			t.Errorf("%s is %d where nothing was sent", name, n)
		}
	}
}

// The bytes that one of two members wrote into streams are those that the other one read.
func TestStreamsAreCountedAtBothEnds(t *testing.T) {
	atA, atB := free(t), free(t)
	a := open(t, Config{Cluster: "one", Self: "a", Bind: atA, Reach: atA, Names: map[string]netip.AddrPort{"b": atB}})
	a.Spread("a", fleet.Coded{Entry: bytes.Repeat([]byte{8}, fleet.MaxEntry)})
	b := open(t, Config{Cluster: "one", Self: "b", Bind: atB, Reach: atB, Names: map[string]netip.AddrPort{"a": atA}})
	until(t, "an exchange of all, counted alike", func() bool {
		out, in := figure(a, "fleet_stream_bytes_out"), figure(b, "fleet_stream_bytes_in")
		back, answer := figure(b, "fleet_stream_bytes_out"), figure(a, "fleet_stream_bytes_in")
		return out >= fleet.MaxEntry && out == in && back > 0 && back == answer
	})
	until(t, "as many streams at both ends", func() bool {
		return figure(a, "fleet_streams_out") == figure(b, "fleet_streams_in") && figure(b, "fleet_streams_out") == figure(a, "fleet_streams_in")
	})
}
