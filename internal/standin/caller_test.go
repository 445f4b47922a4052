package standin

import (
	"io"
	"net"
	"testing"
	"time"

	"pewterwheel/internal/wire"
)

const patience = 30 * time.Second

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for by := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(by) {
			t.Fatalf("%s did not come", what)
		}
	}
}

// Who waits for a caller waits for what it is yet to send, too.
func TestWaitIsForWhatIsOffered(t *testing.T) {
	book := NewBook()
	o, err := NewOffice("o", "127.0.0.1:0", book, Script{})
	if err != nil {
		t.Fatal(err)
	}
	defer o.Close()
	c, err := Dial(o.Address, book, 0) // to the office itself: it answers as a sidecar would
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	stop := make(chan struct{})
	c.Offer("sale-auth", patience, 0.001, 2, stop) // the second call is due in a quarter of an hour
	until(t, "the first call's answer", func() bool { return book.Sums().Answered == 1 })
	if c.Wait(50 * time.Millisecond) {
		t.Error("nothing was waited for, and a call was to come")
	}
	close(stop)
	if !c.Wait(patience) {
		t.Error("the end of what was offered did not come")
	}
}

// A call crossed its connection's end if that end had come before it was sent, however late it is read; else it may have
// been sent only a moment before.
func TestLineTellsWhatCrossed(t *testing.T) {
	for _, first := range []string{"end", "call"} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		conn, err := net.Dial("tcp4", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		peer, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		book := NewBook()
		line := NewLine(l.Addr().String(), book, 0)
		line.pipe = &pipe{conn: conn} // whose end nobody reads until the test does
		end := func() {
			_ = peer.Close()
			until(t, "the end", line.pipe.over)
		}
		was := line.pipe
		if first == "end" {
			end()
		}
		line.Call("sale-auth", patience, time.Now().Add(patience))
		if first == "call" {
			end()
		}
		time.Sleep(2 * crossing)
		line.closed(was, io.EOF)
		if again, lost := line.Again, len(book.Broken()); first == "end" && (again != 1 || lost != 0) || first == "call" && (again != 0 || lost != 1) {
			t.Errorf("the %s came first: %d were sent again, %v", first, again, book.Broken())
		}
		line.Close()
		_ = conn.Close()
		_ = l.Close()
	}
}

// An office counts from when its connection ended, and no answer goes on a connection that has ended, however late the
// end is read.
func TestOfficeTellsWhenItWasLeft(t *testing.T) {
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
	p := &pipe{conn: conn} // whose end nobody reads until the test does
	if p.over() || time.Since(p.ended(nil)) > time.Second {
		t.Error("a connection that stands is over")
	}
	sent := time.Now()
	_, _ = peer.Write([]byte{0})
	time.Sleep(200 * time.Millisecond)
	if late := p.heard().Sub(sent); late > 100*time.Millisecond {
		t.Errorf("what came is told %s after it was sent", late)
	}
	_ = peer.Close()
	until(t, "the end", p.over)
	seen := time.Now()
	time.Sleep(200 * time.Millisecond)
	for _, behind := range []bool{false, true} { // what is written behind the end resets the connection
		if behind {
			_, _ = conn.Write([]byte{0})
		}
		if late := p.ended(map[bool]error{true: io.EOF}[behind]).Sub(seen); late > 100*time.Millisecond {
			t.Errorf("the end is told %s after it came; behind it was written: %v", late, behind)
		}
	}
	book := NewBook()
	book.out(8, "o", p, seen)
	book.out(8, "o", &pipe{conn: peer}, time.Now().Add(guard))
	if broken := book.Broken(); len(broken) > 0 {
		t.Error(broken)
	}
	o := &Office{Name: "o", book: book, standing: map[uint64]bool{}}
	o.setUp(p, 7, "", map[uint64]bool{})
	time.Sleep(50 * time.Millisecond) // the answer would be due at once
	if book.call(7).answered {
		t.Error("a call was answered on a connection that had ended")
	}
}

// A give-up that crosses the office's answer gives the set-up up; the release of a call of which its caller knows does not.
func TestGiveUpCrossesAnswer(t *testing.T) {
	for _, told := range []bool{false, true} {
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
		defer func() { _ = conn.Close() }()
		p := &pipe{conn: conn}
		book.offered(7, time.Now().Add(patience))
		_ = p.send(wire.SetUp{Class: "sale-auth", Number: "n/7", Description: []byte("offer")}.Onward(7, patience.Microseconds()))
		until(t, "the call at the office", func() bool { return o.Standing() == 1 })
		if told {
			book.final(7, &book.Counts.Answered)
		}
		_ = p.send(wire.ReleaseOf(7, wire.CauseNormal))
		for heard := false; !heard; {
			m, err := p.next()
			if err != nil {
				t.Fatal(err)
			}
			heard = m.Type == wire.TypeHeard
		}
		book.out(7, "o", p, time.Now().Add(guard))
		if n := len(book.Broken()); n != map[bool]int{true: 1}[told] {
			t.Errorf("the caller was told: %v; %v", told, book.Broken())
		}
	}
}
