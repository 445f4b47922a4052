package sidecar

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"pewterwheel/decide"
	"pewterwheel/internal/config"
	"pewterwheel/internal/session"
	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

// bigSite is a site of so many hosts in one pool, from the given number on, and so many applications.
func bigSite(hosts, from, applications int) []config.File {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[site]\nname = big\ndomain = example.org\nsidecars = %d\n[machine]\ndescriptors = 100000\nmemory = 1GiB\n[pool core]\nrate = 1000000/s\nopen = 1000000\n", max(1, applications))
	for i := from; i < from+hosts; i++ {
		fmt.Fprintf(&b, "[host h%d.example.org]\naddress = 127.%d.%d.%d:7000\npool = core\n", i, 1+i>>16, i>>8&255, i&255)
	}
	files := []config.File{{Name: "site.ini", Text: bytes.Clone(b.Bytes())}}
	for i := range applications {
		files = append(files, config.File{Name: fmt.Sprintf("a%d.ini", i), Text: fmt.Appendf(nil, "[application]\nname = a%d\nlistener = 127.0.0.1:%d\ncontrol = 127.0.0.1:%d\nshare = 0.05%%\n"+
			"[class sale-auth]\naim = 800ms\ndeadline = 6s\neffect = free\npools = core\nrate = 100/s\n", i, 20000+2*i, 20001+2*i)})
	}
	return files
}

// Checking a thousand applications against five hundred hosts together.
func BenchmarkCheck1000Applications500Hosts(b *testing.B) {
	files := bigSite(500, 0, 1000)
	b.ReportAllocs()
	for b.Loop() {
		if r := config.Check(files); len(r.Findings) > 0 {
			b.Fatal(r.Findings[0])
		}
	}
}

// fakeNet gives each dial a connection that swallows what is written, and remembers what it was asked.
type fakeNet struct{ ready []session.Arrival }

type fakeConn struct{ wrote func([]byte) }

func (c *fakeConn) Write(b []byte) (int, error) {
	if c.wrote != nil {
		c.wrote(b)
	}
	return len(b), nil
}
func (*fakeConn) Pending() bool    { return false }
func (*fakeConn) Unread() bool     { return false }
func (*fakeConn) Unsent() bool     { return false }
func (*fakeConn) PeerClosed() bool { return false }
func (*fakeConn) MarkTrusted()     {}
func (c *fakeConn) Close() error   { return nil }

// Dial answers with an office that sets up every call at once.
func (n *fakeNet) StopAccepting() {}

func (n *fakeNet) Dial(_ string, id uint64) {
	c := &fakeConn{}
	c.wrote = func(b []byte) {
		if m, k, _ := wire.Next(b); k > 0 && m.Type == wire.TypeSetUp {
			answer := wire.Message{Type: wire.TypeAnswer, Call: m.Call, Params: []wire.Param{wire.Text(wire.ParamDescription, "ok")}}
			out, _ := answer.Append(nil)
			n.ready = append(n.ready, session.Arrival{Kind: session.Data, Conn: c, Data: out})
		}
	}
	n.ready = append(n.ready, session.Arrival{Kind: session.Dialled, Dial: id, Conn: c})
}

// worldOf is a session with the settings of a file, its callers' connection, and a clock of its own.
type worldOf struct {
	s      *session.Session
	net    *fakeNet
	caller *fakeConn
	now    int64
	call   uint64
	worst  time.Duration
}

func newWorld(t testing.TB, files []config.File, node func(decide.Settings, uint64) (session.Decider, error)) (*worldOf, *Reader) {
	t.Helper()
	r := NewReader("f.ini", nil)
	r.read = func(string) ([]byte, error) {
		out, found := config.Write(files[0], files[1:])
		if found.Errors() > 0 {
			t.Fatal(found[0])
		}
		return out[0].Text, nil
	}
	cfg, err := r.Read()
	if err != nil {
		t.Fatal(err)
	}
	sc, err := cfg.Session()
	if err != nil {
		t.Fatal(err)
	}
	if node != nil {
		sc.NewDecider = node
	}
	w := &worldOf{net: &fakeNet{}, caller: &fakeConn{}, now: 1_000_000}
	if w.s, err = session.New(sc, w.net, slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelError})), w.now); err != nil {
		t.Fatal(err)
	}
	w.step(session.Arrival{Kind: session.Accepted, Conn: w.caller})
	return w, r
}

func (w *worldOf) step(as ...session.Arrival) {
	for {
		begin := time.Now()
		w.s.Step(w.now, as)
		w.worst = max(w.worst, time.Since(begin))
		as = w.net.ready
		w.net.ready = nil
		if len(as) == 0 {
			return
		}
	}
}

// pass makes one call and ends it.
func (w *worldOf) pass() {
	w.call++
	w.now += 10_000
	m := wire.SetUp{Class: "sale-auth", Number: "n/1", Description: []byte("offer")}.Onward(w.call, 6_000_000)
	m.Params = append(m.Params, wire.Text(wire.ParamInfo, "dest:-1;width:1;via:-1"))
	b, _ := m.Append(nil)
	w.step(session.Arrival{Kind: session.Data, At: w.now, Conn: w.caller, Data: b})
	b, _ = wire.ReleaseOf(w.call, wire.CauseNormal).Append(nil)
	w.step(session.Arrival{Kind: session.Data, At: w.now, Conn: w.caller, Data: b})
}

// One reload of 10,000 hosts, half of which are others than before, while calls pass; the longest pause of the loop.
func BenchmarkReload10000Hosts(b *testing.B) {
	var worst, read time.Duration
	for range b.N {
		files := bigSite(10_000, 0, 1)
		w, r := newWorld(b, files, nil)
		for range 200 {
			w.pass()
		}
		files[0] = bigSite(10_000, 5_000, 1)[0]
		begin := time.Now()
		cfg, err := r.Read()
		read += time.Since(begin)
		if err != nil {
			b.Fatal(err)
		}
		w.worst = 0
		w.step(session.Arrival{Kind: session.Reload, Update: cfg.Update()})
		for range 200 {
			w.pass()
		}
		worst = max(worst, w.worst)
	}
	b.ReportMetric(float64(worst.Microseconds()), "worst-step-us")
	b.ReportMetric(float64(read.Microseconds())/float64(b.N), "read-us")
}

// The ordinary path, a call set up and ended, with the router and with the module alone, at 24 hosts.
func BenchmarkCall(b *testing.B) {
	for _, c := range []struct {
		name string
		node func(decide.Settings, uint64) (session.Decider, error)
	}{{"routed", nil}, {"module", func(set decide.Settings, seed uint64) (session.Decider, error) { return decide.New(set, seed) }}} {
		b.Run(c.name, func(b *testing.B) {
			w, _ := newWorld(b, bigSite(24, 0, 1), c.node)
			for range 2000 {
				w.pass()
			}
			b.ReportAllocs()
			for b.Loop() {
				w.pass()
			}
		})
	}
}

// A call that no limit has room for: refused at once, at the price of reading it and answering.
func BenchmarkRefusedCall(b *testing.B) {
	files := bigSite(24, 0, 1)
	files[0].Text = bytes.Replace(files[0].Text, []byte("rate = 1000000/s"), []byte("rate = 1/s"), 1)
	files[1].Text = bytes.Replace(files[1].Text, []byte("rate = 100/s"), []byte("rate = 0/s"), 1)
	w, _ := newWorld(b, files, nil)
	refuse := func() {
		w.call++
		m := wire.SetUp{Class: "sale-auth", Number: "n/1", Description: []byte("offer")}.Onward(w.call, 6_000_000)
		m.Params = append(m.Params, wire.Text(wire.ParamInfo, "dest:-1;width:1;via:-1"))
		out, _ := m.Append(nil)
		w.step(session.Arrival{Kind: session.Data, At: w.now, Conn: w.caller, Data: out})
	}
	for range 2000 {
		refuse()
	}
	b.ReportAllocs()
	for b.Loop() {
		refuse()
	}
	if n := w.s.Counters[state.RefusalsOut]; n < uint64(b.N) {
		b.Fatalf("%d of %d were refused", n, b.N)
	}
}
