package service

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"pewterwheel/internal/session"
	"pewterwheel/internal/wire"
)

// patience is only for a broken program: nothing here is judged by how fast it comes.
const patience = 30 * time.Second

// mute connections are more than the half of 256 descriptors that callers may hold; both ends are in this process, and
// the engine takes 320 descriptors at most.
const mute = 130

// port listens on a free port of the loopback.
func port(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// peer is the far end of one of the program's connections.
type peer struct {
	t    *testing.T
	conn net.Conn
	buf  []byte
}

func newPeer(t *testing.T, conn net.Conn, err error) *peer {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(patience))
	return &peer{t: t, conn: conn}
}

func (p *peer) write(m wire.Message) {
	p.t.Helper()
	b, err := m.Append(nil)
	if err == nil {
		_, err = p.conn.Write(b)
	}
	if err != nil {
		p.t.Fatal(err)
	}
}

// want reads up to a message of that type and call.
func (p *peer) want(kind wire.Type, call uint64) wire.Message {
	p.t.Helper()
	for {
		m, n, err := wire.Next(p.buf)
		if err != nil {
			p.t.Fatal(err)
		}
		if n > 0 {
			if p.buf = p.buf[n:]; m.Type == kind && m.Call == call {
				return m
			}
			continue
		}
		chunk := make([]byte, 4096)
		n, err = p.conn.Read(chunk)
		if err != nil {
			p.t.Fatalf("waiting for message %d of call %d: %v", kind, call, err)
		}
		p.buf = append(p.buf, chunk[:n]...)
	}
}

// free is an address on which nobody listens.
func free(t *testing.T) string {
	l := port(t)
	_ = l.Close()
	return l.Addr().String()
}

// configuration is a whole one, with one office and the smallest limits.
func configuration(listen, control string, journal, office net.Listener) string {
	return fmt.Sprintf(`{"name":"n0","listen":"%s","control":"%s","seed":"8c1f30d27a5be964",
		"limits":{"cores":0.2,"memory_mb":32,"sockets":256},"journal":"%s",
		"known":{"pos":3,"entries":[{"pos":3,"hosts":{"whole":true,"hosts":[
			{"host":"s-00000001","dial":"%s","block":0,"health":"SERVING","share":1}]}}]},
		"settings":{"balancers":1,"quantum_us":5000,"classes":[
			{"name":"sale-auth","aim_us":800000,"deadline_us":6000000,"importance":6,"effect":"free"}],
			"policy_limits":{"may_cancel":true,"most_tries":6}}}`, listen, control, journal.Addr(), office.Addr())
}

// setUp is a caller's set-up.
func setUp(call uint64) wire.Message {
	m := wire.SetUp{Class: "sale-auth", Number: "n/1", Description: []byte("offer")}.Onward(call, 6_000_000)
	m.Params = append(m.Params, wire.Text(wire.ParamInfo, "dest:0;width:1;via:-1"))
	return m
}

func answerTo(call uint64) wire.Message {
	return wire.Message{Type: wire.TypeAnswer, Call: call, Params: []wire.Param{{Code: wire.ParamDescription, Value: []byte{0, 255}}}}
}

// ask sends one line to a second address and reads the whole answer.
func ask(t *testing.T, address, line string) string {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	p := newPeer(t, conn, err)
	if _, err := p.conn.Write([]byte(line + "\n")); err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(p.conn)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// A call goes through the program on real sockets, with the smallest limits and bad clients beside it, a SIGHUP comes
// before it serves and two while the call stands, and SIGTERM ends it with all answered. Guards against what recordings cannot show: nbio 1.6.8 connected every
// office at 0.0.0.0, and a SIGHUP that nobody had asked for ended the program.
func TestCallOnSockets(t *testing.T) {
	office, journal, next, listen, control := port(t), port(t), port(t), free(t), free(t)
	text := configuration(listen, control, journal, office)
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	read := func() (Config, error) { return ReadConfig(path) }
	var log strings.Builder
	ended := make(chan error, 1)
	signals := Signals()
	hangUp := func() {
		t.Helper()
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	hangUp()
	go func() { ended <- Run(read, signals, slog.New(slog.NewTextHandler(&log, nil))) }()

	conn, err := journal.Accept()
	last := make([]byte, 8)
	if _, err := io.ReadFull(newPeer(t, conn, err).conn, last); err != nil || last[7] != 3 {
		t.Fatalf("the journal was asked from % x, %v", last, err)
	}
	conn, err = office.Accept()
	server := newPeer(t, conn, err)
	// More connections than callers may hold, each with half a message: the usual caller finds room all the same.
	for range mute {
		conn, err = net.Dial("tcp4", listen)
		if _, err := newPeer(t, conn, err).conn.Write([]byte{0}); err != nil {
			t.Fatal(err)
		}
	}
	conn, err = net.Dial("tcp4", listen)
	caller := newPeer(t, conn, err)

	caller.write(wire.Message{Type: wire.TypeTest})
	if m := caller.want(wire.TypeTested, 0); m.Cause() != 1 {
		t.Errorf("the test gave %+v", m)
	}
	caller.write(setUp(7))
	server.want(wire.TypeSetUp, 7)
	server.write(answerTo(7))
	if d, _ := caller.want(wire.TypeAnswer, 7).Get(wire.ParamDescription); string(d) != "\x00\xff" {
		t.Errorf("the description came as % x", d)
	}
	for line, want := range map[string][]string{"READY": {"200 "}, "STATS": {"200 ", "app.completed.sale-auth:1|c\n",
		"app.upstream_requests:1|c\n", "app.pending:1|g\n", "app.members:1|g\n", "\nEOF\n"}, "": {"400 "}} {
		got := ask(t, control, line)
		for _, part := range want {
			if !strings.Contains(got, part) {
				t.Errorf("%q was answered with %q, which lacks %q", line, got, part)
			}
		}
	}
	for _, file := range []string{"{", strings.Replace(text, journal.Addr().String(), next.Addr().String(), 1)} {
		if err := os.WriteFile(path, []byte(file), 0o600); err != nil {
			t.Fatal(err)
		}
		hangUp()
		time.Sleep(50 * time.Millisecond) // lets the first be read before the file changes; nothing depends on it
	}
	conn, err = next.Accept()
	if _, err := io.ReadFull(newPeer(t, conn, err).conn, last); err != nil || last[7] != 3 {
		t.Fatalf("the next journal service was asked from % x, %v", last, err)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	server.write(wire.ReleaseOf(7, wire.CauseNormal))
	caller.want(wire.TypeRelease, 7)
	select {
	case err := <-ended:
		if err != nil || !strings.Contains(log.String(), "setups_in=1") {
			t.Errorf("ended with %v; log:\n%s", err, log.String())
		}
	case <-time.After(patience):
		t.Fatal("SIGTERM did not end it")
	}
}

func TestBadConfigurations(t *testing.T) {
	for _, text := range []string{"", "{", `{"listen":"127.0.0.1:1"}`, `{"listen":7,"journal":"x"}`} {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadConfig(path); err == nil {
			t.Errorf("%q was taken for a configuration", text)
		}
	}
	if _, err := ReadConfig(filepath.Join(t.TempDir(), "none.json")); err == nil {
		t.Error("a file that is not there was read")
	}
	if _, err := (Config{Seed: "not hex"}).Session(); err == nil {
		t.Error("a seed that is no number was taken")
	}
}

// One sender cannot fill the queue for all, and new connections wait outside while the loop is behind.
func TestQueueBoundsEachSender(t *testing.T) {
	q := newQueue(32, 256)
	loud, quiet := &conn{}, &conn{}
	for range 100 {
		q.put(session.Arrival{Kind: session.Data, Conn: loud, Data: make([]byte, readBuffer)})
	}
	q.put(session.Arrival{Kind: session.Data, Conn: quiet, Data: []byte{1}})
	items := q.take(nil)
	var kinds []session.ArrivalKind
	for _, a := range items {
		kinds = append(kinds, a.Kind)
	}
	if want := []session.ArrivalKind{session.Data, session.InputOverflow, session.Data}; !slices.Equal(kinds, want) {
		t.Errorf("queued %v, want %v", kinds, want)
	}
	office := &conn{ours: true} // many callers' answers come on it
	for range 20 {
		q.put(session.Arrival{Kind: session.Data, Conn: office, Data: make([]byte, readBuffer)})
	}
	for i, a := range q.take(nil) {
		if a.Kind != session.Data || len(a.Data) != readBuffer {
			t.Fatalf("read %d from an office came as %v, with %d bytes", i, a.Kind, len(a.Data))
		}
	}
	usual := &conn{}
	usual.MarkTrusted()
	whole := make(chan bool)
	go func() { // more than one connection may have waiting; nothing of it is lost
		for range 10 {
			q.put(session.Arrival{Kind: session.Data, Conn: usual, Data: make([]byte, readBuffer)})
		}
		close(whole)
	}()
	got := 0
	for all := false; !all; {
		select {
		case <-whole:
			all = true
		case <-q.wake:
		}
		round := q.take(nil)
		for _, a := range round {
			if got++; a.Kind != session.Data || len(a.Data) != readBuffer {
				t.Fatalf("read %d from a usual caller came as %v, with %d bytes", got, a.Kind, len(a.Data))
			}
		}
		if len(round) > perConn/readBuffer+1 {
			t.Errorf("%d reads of a usual caller waited at once", len(round))
		}
	}
	if got != 10 {
		t.Errorf("%d of 10 reads came", got)
	}
	for range 100_000 {
		q.put(session.Arrival{Kind: session.Data, Conn: loud, Data: []byte{1}})
	}
	if n := len(q.take(nil)); n > perConn/arrivalSize+1 {
		t.Errorf("%d single bytes of one sender were queued", n)
	}
	q.done(q.taken)
	for range q.taken {
		q.put(session.Arrival{Kind: session.Accepted})
	}
	for range q.taken { // callers' connections do not count there
		q.put(session.Arrival{Kind: session.ControlAccepted})
	}
	put := make(chan bool)
	go func() {
		q.put(session.Arrival{Kind: session.Accepted})
		close(put)
	}()
	select {
	case <-put:
		t.Error("one more connection was queued while the loop was behind")
	case <-time.After(50 * time.Millisecond):
	}
	q.take(items)
	q.done(1)
	<-put
}
