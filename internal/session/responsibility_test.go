package session

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"testing"

	"pewterwheel/decide"
	"pewterwheel/internal/delivery"
	"pewterwheel/internal/membership"
	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

const second = 1_000_000

// establish sets calls up at the first office for the connection a.
func (p *player) establish(ms int, calls ...int) {
	p.play(fmt.Sprintf("%d a open", ms))
	for _, call := range calls {
		p.play(fmt.Sprintf("%d a > %s", ms, setUpMessage(call, 0)))
		p.play(fmt.Sprintf("%d o1 > %s", ms+10, answerMessage(call)))
	}
}

// repeatUndelivered lets offices greet with a report of their lines, and the first office also with the release of a call
// that it could not deliver before, once the result is set to true.
func (p *player) repeatUndelivered(call int) *bool {
	undelivered := false
	p.greeting = func(conn *fakeConn) []byte {
		data := parse(p.t, `[2b 0000000000000000 2b["free:7;size:9"]]`)
		if undelivered && strings.HasPrefix(conn.name, "o1") {
			undelivered = false
			data = append(data, parse(p.t, cancelMessage(call))...)
		}
		return data
	}
	return &undelivered
}

// Guards against calls that are cut at an office that is well, after a planned restart has disconnected their client: one
// set-up of another client that waits there for 3 s was evidence enough, and nobody told the client (review/6).
func TestShutdownLeavesCallsOfDisconnectedClientsAtTheirOffice(t *testing.T) {
	p := newPlayer(t)
	p.step()
	p.establish(10, 0xa1, 0xa2)
	lines := []string{"3900 b open", "4000 b > " + setUpMessage(0xb1, 0), "4200 term"}
	for _, office := range []string{"o1", "o2"} {
		lines = append(lines, repeatEvery(250, 250, office+` > [2b 0000000000000000 2b["free:7;size:9"]]`)...)
	}
	slices.SortStableFunc(lines, func(a, b string) int { return eventTime(a) - eventTime(b) })
	for _, line := range lines {
		if !p.ended {
			p.play(line)
		}
	}
	if !p.ended || !p.conns["a"].closed {
		t.Error("the process has not shut down")
	}
	for _, call := range []int{0xa1, 0xa2} {
		if p.wroteMessage("o1", 0x0c, call) {
			t.Errorf("call %x was released at its office; played:\n%s", call, strings.Join(p.lines, "\n"))
		}
	}
}

// Guards against a process that shuts down, has disconnected the client of a call, and still takes the release of its
// office, which the next process could deliver: it closes its connection to that office, and opens none (review/9).
func TestShutdownLeavesOfficeOfDisconnectedClients(t *testing.T) {
	p := newPlayer(t)
	p.step()
	p.establish(10, 0xa1)
	p.play("900 b open")
	p.play("900 b > " + setUpMessage(0xb1, 1)) // keeps the process
	p.play("1000 term")
	office := p.conns["o1"]
	p.until(1_800_000)
	if office.closed || p.conns["a"].closed {
		t.Error("the client was disconnected before others had stopped connecting")
	}
	p.until(2_000_000)
	if !p.conns["a"].closed || !office.closed || p.conns["o1"] != office || p.conns["o2"].closed || p.ended {
		t.Errorf("the office that holds the call can still tell this process alone; played:\n%s",
			strings.Join(p.lines, "\n"))
	}
}

// Guards against a process that shuts down and leaves an office while it can still tell the client of a call there.
func TestShutdownKeepsOfficeOfConnectedClients(t *testing.T) {
	p := newPlayer(t)
	p.step()
	p.establish(10, 0xa1)
	p.play("900 a > " + setUpMessage(0xb1, 1))
	p.play("1000 term")
	p.play("2500 o1 > " + cancelMessage(0xa1))
	if told := p.toldAt("a", "a1"); told != 2500 {
		t.Errorf("the client was told at %d; played:\n%s", told, strings.Join(p.lines, "\n"))
	}
}

// Guards against the end of a call that an office sent to the previous process as that one ended: the office repeats it
// on the next connection, and this process had opened its own before (review/9). The office is never without a set-up.
func TestStartedProcessCollectsWhatThePreviousOneLeft(t *testing.T) {
	p := newPlayer(t)
	undelivered := p.repeatUndelivered(0xe1)
	p.step()
	p.play("100 a open")
	p.play("100 j > {0000000000000001 00}")
	p.play("100 q1 open")
	p.play(`100 q1 > "READY" 0a`)
	for ms := 200; ms < 20_000; ms += 400 {
		p.play(fmt.Sprintf("%d a > %s", ms, setUpMessage(ms, 0)))
		p.play(fmt.Sprintf("%d o1 > %s", ms+390, answerMessage(ms)))
		p.play(fmt.Sprintf("%d a > %s", ms+390, cancelMessage(ms)))
		*undelivered = *undelivered || ms == 5000 // the previous process has ended
	}
	const excused, rule = 5_000, 8_050
	if told := p.toldAt("a", "e1"); told < 0 || told > 5_000+excused+rule {
		t.Errorf("the client was told at %d", told)
	}
	if p.s.contacts.collectors != 0 || p.s.offices.All()[0].Collector != nil {
		t.Error("a connection that only collects releases is left open")
	}
}

// Guards against the end of a call of the previous process at an office that closes idle connections: it was told to
// nobody once the process had run for 10 s, because no connection was opened any more (review/7).
func TestQuietOfficeTellsOfEarlierCallsHoweverLongTheyLast(t *testing.T) {
	for _, end := range []int{14_000, 75_000, 3_600_000} {
		p := newPlayer(t)
		undelivered := p.repeatUndelivered(0xe1)
		p.step()
		p.establish(100, 0xa1)
		p.play("120 a > " + cancelMessage(0xa1))
		for ms := 5_000; ms < end; ms += 5_000 {
			closeIdle(p, ms, 5*second)
		}
		p.until(int64(end) * 1000)
		*undelivered = p.conns["o1"].closed
		if !*undelivered {
			p.play(fmt.Sprintf("%d o1 > %s", end, cancelMessage(0xe1)))
		}
		p.until(int64(end+9_000) * 1000)
		if told := p.toldAt("a", "e1"); told < 0 || told > end+8_050 {
			t.Errorf("the end at %d ms was told at %d", end, told)
		}
	}
}

// closeIdle lets the first office close its connection if that has been open for a time.
func closeIdle(p *player, ms int, idle int64) {
	p.until(int64(ms) * 1000)
	conn := p.mainConn("s-00000001")
	if conn.Conn != nil && p.now-conn.Received.Opened >= idle {
		p.play(fmt.Sprintf("%d o1 close", ms))
	}
}

// manyOffices is a network of offices that accept every connection, greet, and close it after a while.
type manyOffices struct {
	t          *testing.T
	now        int64
	pending    []Arrival
	open       map[*countedConn]string // the address
	lost       map[string]int64        // since when an address has no connection; 0: it has one
	connects   map[int64]int           // by second
	mostOpen   int
	longestGap int64 // without a connection
}

type countedConn struct {
	network *manyOffices
	opened  int64
}

func (c *countedConn) Pending() bool               { return false }
func (c *countedConn) Unread() bool                { return false }
func (c *countedConn) Unsent() bool                { return false }
func (c *countedConn) PeerClosed() bool            { return false }
func (c *countedConn) MarkTrusted()                {}
func (c *countedConn) Write(b []byte) (int, error) { return len(b), nil }

func (c *countedConn) Close() error {
	c.network.ended(c)
	return nil
}

func (m *manyOffices) StopAccepting() {}

func (m *manyOffices) Dial(address string, id uint64) {
	if address == "journal" {
		return
	}
	conn := &countedConn{network: m, opened: m.now}
	m.open[conn] = address
	m.mostOpen = max(m.mostOpen, len(m.open))
	m.connects[m.now/second]++
	if lost := m.lost[address]; lost != 0 {
		m.longestGap = max(m.longestGap, m.now-lost)
	}
	m.lost[address] = 0
	greeting := parse(m.t, `[2b 0000000000000000 2b["free:7;size:9"]]`)
	m.pending = append(m.pending, Arrival{Kind: Dialled, At: m.now, Dial: id, Conn: conn},
		Arrival{Kind: Data, At: m.now, Conn: conn, Data: greeting})
}

func (m *manyOffices) ended(conn *countedConn) {
	address, open := m.open[conn]
	if !open {
		return
	}
	delete(m.open, conn)
	for _, other := range m.open {
		if other == address {
			return
		}
	}
	m.lost[address] = m.now
}

// Guards against bursts and heaps of connections by which a process keeps in touch with 510 offices that close idle ones
// after 5 s, and against an office that is left without one for over 8 s, also where descriptors are too few for all.
func TestContactWithManyOfficesIsBounded(t *testing.T) {
	const offices = 510
	for sockets, mostOpen := range map[int]int{1024: offices + delivery.MaxCollecting, 256: delivery.MaxCollecting} {
		network := playManyOffices(t, offices, sockets)
		if network.longestGap == 0 || network.longestGap > 8*second {
			t.Errorf("%d descriptors: an office was without a connection for %d ms", sockets, network.longestGap/1000)
		}
		for at, connects := range network.connects {
			// before, offices are connected to again at once
			if most := maxContactsPerCheck * second / watchInterval; at >= 11 && connects > most {
				t.Errorf("%d descriptors: %d connects in a second, over %d", sockets, connects, most)
			}
		}
		if network.mostOpen > mostOpen {
			t.Errorf("%d descriptors: %d connections to %d offices", sockets, network.mostOpen, offices)
		}
	}
}

// playManyOffices plays a minute of a process without callers.
func playManyOffices(t *testing.T, offices, sockets int) *manyOffices {
	const idle, length = 5 * second, 60 * second
	network := &manyOffices{t: t, open: map[*countedConn]string{}, lost: map[string]int64{}, connects: map[int64]int{}}
	var known wire.Known
	var hosts []string
	for n := range offices {
		hosts = append(hosts, fmt.Sprintf(`{"host":"s-%08x","dial":"127.0.1.1:%d","site":"lisboa","block":%d,"health":"SERVING","share":1}`,
			n+1, 2000+n, n%2))
	}
	cfg := Config{Sockets: sockets, Seed: 7}
	list := fmt.Sprintf(`{"pos":1,"entries":[{"pos":1,"hosts":{"seq":1,"whole":true,"hosts":[%s]}}]}`, strings.Join(hosts, ","))
	for text, into := range map[string]any{settings: &cfg.Settings, list: &known} {
		if err := json.Unmarshal([]byte(text), into); err != nil {
			t.Fatal(err)
		}
	}
	cfg.Source = membership.NewJournal("journal", known, cfg.Settings.Zones)
	s, err := New(cfg, network, slog.New(slog.DiscardHandler), 0)
	if err != nil {
		t.Fatal(err)
	}
	for network.now < length {
		arrivals := network.pending
		network.pending = nil
		for conn := range network.open {
			if network.now-conn.opened >= idle {
				arrivals = append(arrivals, Arrival{Kind: Closed, At: network.now, Conn: conn, Err: io.EOF})
				network.ended(conn)
			}
		}
		s.Step(network.now, arrivals)
		network.now += watchInterval
	}
	for _, lost := range network.lost {
		if lost != 0 {
			network.longestGap = max(network.longestGap, network.now-lost)
		}
	}
	return network
}

// Guards against a set-up that runs twice because its id, used by a client that has left, was forgotten under a flood of
// new ids on another connection (review picture c).
func TestFloodOfNewIDsForgetsNoOtherClientsIDs(t *testing.T) {
	for name, flood := range map[string]func(id int) string{
		"set-ups given up": func(id int) string { return setUpMessage(id, 0) + cancelMessage(id) },
		"releases":         cancelMessage,
	} {
		p := newPlayer(t)
		p.onWrite = func(*fakeConn, []byte) {}
		p.step()
		p.play("10 a open")
		p.play("10 a > " + setUpMessage(0xa1, 0))
		p.play("20 a close")
		for n := range 100_000 {
			if conn := p.conns["x"]; conn == nil || conn.closed {
				p.play(fmt.Sprintf("%d x open", 100+n/50))
			}
			p.lines = nil
			p.play(fmt.Sprintf("%d x > %s", 100+n/50, flood(1_000_000+n)))
		}
		p.lines, p.onWrite = nil, nil
		p.play("3000 b open")
		p.play("3000 b > " + setUpMessage(0xa1, 0))
		if p.wroteMessage("o", 0x01, 0xa1) || !p.conns["b"].closed {
			t.Errorf("%s: the id was run again", name)
		}
	}
}

// Guards against set-ups for an office that has gone, which reached the office that has taken its address, while the list
// told of the new one and not yet of that end (review picture d). The calls of the one that has gone are over.
func TestOfficeWhoseAddressIsTakenGetsNothing(t *testing.T) {
	p := newPlayer(t)
	p.step()
	p.establish(10, 0xa1)
	p.play("500 o1 close")
	// s-00000010 in the cell of the second office, at the address of the first one, started at 900 ms.
	p.play("1000 j > {0000000000000002 02 00000010 7f000001 03e9 00 00 00 0001 000003e8 0000000000000384}")
	if cause := p.toldAt("a", "a1"); cause < 0 || cause > 1_000 {
		t.Errorf("the call's client was told at %d", cause)
	}
	old := p.s.offices.Get("s-00000001")
	for n := range 20 {
		p.play(fmt.Sprintf("%d a > %s", 1100+n, setUpMessage(0xb0+n, 0)))
	}
	if old != nil && (old.Conn != nil || old.DialID != 0 || len(old.Outstanding) > 0) {
		t.Error("the old office is still connected to")
	}
	if p.s.Counters[state.AnswersOut] != 1 {
		t.Errorf("%s", p.s.Counters.String())
	}
	for n := range 20 {
		if p.wroteMessage("o1", 0x01, 0xb0+n) {
			t.Errorf("a set-up for the old office went to the new one; played:\n%s", strings.Join(p.lines, "\n"))
			break
		}
	}
	// The end of the old one comes late and changes nothing; the new one serves its own cell.
	p.play("6000 j > {0000000000000003 02 00000001 7f000001 03e9 02 00 00 0000 000003e8 0000000000000000}")
	if office := p.s.offices.Get("s-00000010"); office == nil || office.Conn == nil {
		t.Error("the new office is not connected to")
	}
}

// Guards against a client that releases ever new ids at full speed, and comes back each time it is disconnected: each
// release goes to every office, and so many ended the connections on which other clients' set-ups were open (picture b).
func TestFloodOfReleasesSparesTheOffices(t *testing.T) {
	p := newPlayer(t)
	sent := 0
	p.onWrite = func(conn *fakeConn, b []byte) {
		if strings.HasPrefix(conn.name, "o") {
			sent += len(b)
		}
	}
	p.step()
	const length, connections, size = 3, 400, 15
	for n := range length * connections {
		at := int64(n) * second / connections
		p.until(at)
		p.play(fmt.Sprintf("%d x open", at/1000))
		var releases strings.Builder
		for i := range 300 {
			releases.WriteString(cancelMessage(1<<32 + n*1000 + i))
		}
		p.lines = nil
		p.play(fmt.Sprintf("%d x > %s", at/1000, releases.String()))
	}
	// A thousand a second to each of two offices, as many at once, and what is repeated on a connection that ended.
	if most := 2 * (length + 1) * 1000 * size; sent > most {
		t.Errorf("%d bytes went to the offices in %d s, over %d", sent, length, most)
	}
}

// reportCounter is a decider that counts the reports of offices that reach it.
type reportCounter struct {
	Decider
	reports int
}

func (c *reportCounter) Step(now int64, event decide.Event, actions []decide.Action) []decide.Action {
	if event.Kind == decide.ServerReport {
		c.reports++
	}
	return c.Decider.Step(now, event, actions)
}

// Guards against an office that reports its lines at full speed: each report was an event, and together they took all
// time and memory.
func TestFloodOfReportsIsBounded(t *testing.T) {
	counter := &reportCounter{}
	p := newPlayerOf(t, Config{Sockets: 1024, Seed: 7,
		NewDecider: func(set decide.Settings, seed uint64) (Decider, error) {
			node, err := decide.New(set, seed)
			counter.Decider = node
			return counter, err
		}})
	p.step()
	report := parse(t, `[2b 0000000000000000 2b["free:7;size:9"]]`)
	p.now = second
	p.step(Arrival{Kind: Data, At: p.now, Conn: p.conns["o1"], Data: bytes.Repeat(report, 100_000)})
	if counter.reports == 0 || counter.reports > maxReportsPerRound {
		t.Errorf("%d reports of a round were evaluated", counter.reports)
	}
	p.play("1100 a open")
	p.play("1100 a > " + setUpMessage(0xa1, 0))
	p.play("1110 o1 > " + answerMessage(0xa1))
	if !p.wroteMessage("a", 0x09, 0xa1) {
		t.Error("a call at the office is not served")
	}
}
