package standin

import (
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"pewterwheel/internal/wire"
)

// A release that crosses the office's answer ends the call: it does not stand for ever once its release has been heard.
func TestReleaseCrossesTheAnswer(t *testing.T) {
	book := NewBook()
	o, err := NewOffice("o", "127.0.0.1:0", book, Script{Work: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer o.Close()
	conn, err := net.Dial("tcp4", o.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	p := &pipe{conn: conn}
	say := func(m wire.Message) {
		if err := p.send(m); err != nil {
			t.Fatal(err)
		}
	}
	say(wire.SetUp{Class: "sale-auth", Number: "n/1", Description: []byte("d")}.Onward(1, patience.Microseconds()))
	until(t, "the set-up", func() bool { return o.Taken() == 1 })
	book.mu.Lock() // the answer waits for it
	free := func() bool {
		if o.mu.TryLock() {
			o.mu.Unlock()
			return true
		}
		return false
	}
	for by := time.Now().Add(time.Second); free() && time.Now().Before(by); {
		time.Sleep(time.Millisecond)
	}
	say(wire.ReleaseOf(1, wire.CauseNormal))
	time.Sleep(50 * time.Millisecond) // and the release, as far as it goes, comes in meanwhile
	book.mu.Unlock()
	_ = conn.SetReadDeadline(time.Now().Add(patience))
	for seen := map[wire.Type]bool{}; !seen[wire.TypeAnswer] || !seen[wire.TypeHeard]; {
		m, err := p.next()
		if err != nil {
			t.Fatal(err)
		}
		seen[m.Type] = true
	}
	if n := o.Standing(); n != 0 {
		t.Errorf("%d calls stand whose release was heard", n)
	}
}

// A set-up whose work is done after the office has closed its connection, and before the book has that end, does not stand: its
// release may have been heard on the next connection already, and nobody would know of it. Sent again, it counts as cut when
// its connection ended.
func TestNothingStandsOnceItsConnectionIsClosed(t *testing.T) {
	book := NewBook()
	o, err := NewOffice("o", "127.0.0.1:0", book, Script{})
	if err != nil {
		t.Fatal(err)
	}
	defer o.Close()
	conn, err := net.Dial("tcp4", o.Address)
	if err != nil {
		t.Fatal(err)
	}
	p := &pipe{conn: conn}
	book.out(1, o.Name, p, time.Now())
	ended := p.close(io.EOF)
	if _, ok := o.stand(p, 1, false); ok || o.Standing() != 0 {
		t.Errorf("set up: %t; %d calls stand of a connection that has ended", ok, o.Standing())
	}
	time.Sleep(guard)
	if again := p.ended(io.EOF); !again.Equal(ended) {
		t.Errorf("it ended at %s, and later is said to have ended at %s", ended, again)
	}
	book.out(1, "second", &pipe{conn: conn}, time.Now())
	if broken := book.Broken(); len(broken) > 0 {
		t.Error(broken)
	}
}

// An attempt that was cut by its connection's end counts from that end on, also where it is not read until the next one is
// out, and the office has told something behind it.
func TestCutCountsFromItsEnd(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	peer, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	p, book := &pipe{conn: conn}, NewBook()
	book.out(1, "first", p, time.Now())
	_ = peer.Close()
	until(t, "the end", p.over)
	_ = p.send(wire.Message{Type: wire.TypeGroup})
	until(t, "the reset", func() bool { return p.info().State == unix.BPF_TCP_CLOSE })
	time.Sleep(guard)
	book.out(1, "second", &pipe{conn: conn}, time.Now())
	if broken := book.Broken(); len(broken) > 0 {
		t.Error(broken)
	}
}
