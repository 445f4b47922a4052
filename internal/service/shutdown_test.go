package service

import (
	"bytes"
	"encoding/binary"
	"errors"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

// over ends the program as the end of its process does: the system closes its connections.
func (b *byHand) over() {
	b.t.Helper()
	if !b.s.Done() {
		b.t.Fatal("it is not done")
	}
	for _, c := range b.conns {
		_ = c.Close()
	}
}

// rest is all that still comes to a peer until the end of its connection.
func (p *peer) rest() (all []wire.Message) {
	p.t.Helper()
	chunk := make([]byte, 4096)
	for {
		n, err := p.conn.Read(chunk)
		p.buf = append(p.buf, chunk[:n]...)
		if err != nil {
			break
		}
	}
	for len(p.buf) > 0 {
		m, n, err := wire.Next(p.buf)
		if err != nil || n == 0 {
			p.t.Fatalf("% x is no whole message: %v", p.buf, err)
		}
		all, p.buf = append(all, m), p.buf[n:]
	}
	return all
}

// next reads the next message of a type.
func (p *peer) next(kind wire.Type) wire.Message {
	p.t.Helper()
	for chunk := make([]byte, 4096); ; {
		m, n, err := wire.Next(p.buf)
		if err != nil {
			p.t.Fatal(err)
		}
		if p.buf = p.buf[n:]; n > 0 && m.Type == kind {
			return m
		}
		if n > 0 {
			continue
		}
		if n, err = p.conn.Read(chunk); err != nil {
			p.t.Fatalf("waiting for a message %d: %v", kind, err)
		}
		p.buf = append(p.buf, chunk[:n]...)
	}
}

func has(all []wire.Message, kind wire.Type, call uint64) bool {
	for _, m := range all {
		if m.Type == kind && m.Call == call {
			return true
		}
	}
	return false
}

// An office releases a call while no caller is there to be told, and the process ends: the office has not been told that the
// release was heard, tells it again to the process that serves next, and the caller is told there. Guards against an end
// that only a process knew which is no more.
func TestEndThatNobodyCanBeTold(t *testing.T) {
	for name, crossing := range map[string]func(b *byHand, server, caller *peer){
		"the caller has left before SIGTERM": func(b *byHand, server, caller *peer) {
			_ = caller.conn.Close()
			b.until("the caller has left", func() bool { return b.closed == 1 })
			b.tell(server, wire.ReleaseOf(7, wire.CauseNormal))
			b.stop()
			b.stepped(900 * time.Millisecond)
		},
		"the callers have just been sent away": func(b *byHand, server, caller *peer) {
			b.stop()
			b.stepped(800 * time.Millisecond)
			_, own := b.dial(net.Dialer{}) // has asked for nothing yet, and is left alone a little longer
			b.stepped(100 * time.Millisecond)
			if len(caller.rest()) != 0 || own.Pending() {
				b.t.Fatal("the caller has been told something")
			}
			b.tell(server, wire.ReleaseOf(7, wire.CauseNormal))
			b.stepped(300 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := playByHand(t, nil)
			server := b.accept()
			caller, _ := b.dial(net.Dialer{})
			b.call(7, server, caller)
			crossing(b, server, caller)
			b.until("it is done", b.s.Done)
			b.over()
			heard := has(server.rest(), wire.TypeHeard, 7)
			if heard {
				t.Error("a release was heard that nobody was told")
			}
			next := playByHand(t, func(c *Config) {
				c.Listen, c.Known.Entries[0].List.Offices[0].Address = b.listen, b.office.Addr().String()
			})
			next.office, next.listen = b.office, b.listen
			server = next.accept()
			if !heard { // an office tells again what nobody has heard
				next.tell(server, wire.ReleaseOf(7, wire.CauseNormal))
			}
			caller, _ = next.dial(net.Dialer{})
			next.during(func() {
				caller.write(setUp(8))
				caller.want(wire.TypeRelease, 7)
			})
		})
	}
}

// tell lets an office say something, and plays it.
func (b *byHand) tell(server *peer, m wire.Message) {
	b.t.Helper()
	server.write(m)
	b.queued(1)
	b.step()
}

// Set-ups come before SIGTERM, with it, and up to 0.6 s after it, on connections of before and on new ones, the last in one read
// with the end of what their caller has to say, and the office answers them only then: each has its one answer, unchanged. Then
// the connections end, and the program does. Further signals, and what staff asks for, change nothing of that.
func TestSetUpsRoundSIGTERM(t *testing.T) {
	b := playByHand(t, nil)
	server := b.accept()
	early, _ := b.dial(net.Dialer{})
	for id := range uint64(30) { // of which it learns how much the office takes
		b.call(100+id, server, early)
		b.stepped(100 * time.Millisecond)
	}
	early.write(setUp(1))
	b.tell(early, setUp(2))
	early.write(setUp(3)) // comes after SIGTERM, whatever the queue has of it
	b.queued(1)
	held := b.q.take(b.items)
	b.stop()
	b.play(held)
	b.stepped(200 * time.Millisecond)
	b.q.put(signalled(syscall.SIGTERM, nil)) // a second one puts nothing off
	b.q.put(signalled(syscall.SIGHUP, func() (Config, error) { return Config{}, errors.New("no file") }))
	b.stepped(200 * time.Millisecond)
	late, _ := b.dial(net.Dialer{})
	b.stepped(200 * time.Millisecond)
	text, err := setUp(4).Append(nil)
	if err == nil {
		text, err = setUp(5).Append(text) // two in one write, with the test that the front sends
	}
	if err == nil {
		text, err = wire.Message{Type: wire.TypeTest, Call: 6}.Append(text)
	}
	if err == nil {
		_, err = late.conn.Write(text)
	}
	if err != nil {
		t.Fatal(err)
	}
	b.tell(early, setUp(7))
	b.during(func() {
		if m := late.want(wire.TypeTested, 6); m.Cause() != 0 {
			t.Errorf("a test gave %+v after SIGTERM", m)
		}
	})
	b.stepped(700 * time.Millisecond)
	if b.s.Done() {
		t.Error("it is done with set-ups open")
	}
	b.pace = 1000
	b.during(func() {
		for range 6 {
			m := answerTo(server.next(wire.TypeSetUp).Call)
			m.Params[0].Value = binary.BigEndian.AppendUint64(nil, m.Call)
			server.write(m)
		}
	})
	b.until("the connections end", func() bool { b.stepped(5 * time.Millisecond); return b.s.Done() })
	if at := b.clock.Load() - b.stopped; at > 3_000_000 {
		t.Errorf("it ended %d us after SIGTERM", at)
	}
	b.over()
	for p, ids := range map[*peer][]uint64{early: {1, 2, 3, 7}, late: {4, 5}} {
		got := map[uint64]int{}
		for _, m := range p.rest() {
			if d, _ := m.Get(wire.ParamDescription); m.Type != wire.TypeAnswer || !bytes.Equal(d, binary.BigEndian.AppendUint64(nil, m.Call)) {
				t.Errorf("a caller got %+v", m)
			}
			got[m.Call]++
		}
		for _, id := range ids {
			if got[id] != 1 {
				t.Errorf("call %d had %d answers", id, got[id])
			}
			delete(got, id)
		}
		if len(got) > 0 {
			t.Errorf("a caller got answers to others' calls: %v", got)
		}
	}
}

// Answers lie in the system's buffers, for a caller that reads slowly, when the callers' connections are ended after SIGTERM,
// and the caller says something more before it reads on: it gets all of them, whole. Guards against the reset with which
// the system answers what comes on a connection that was closed: it takes what was not sent yet with it.
func TestAnswersReachASlowReader(t *testing.T) {
	b := playByHand(t, nil)
	server := b.accept()
	slow, own := b.dial(net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return onSocket(c, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, 4096) })
	}})
	const calls, size = 8, 8 << 10
	b.during(func() {
		for id := range uint64(calls) {
			slow.write(setUp(id + 1))
			server.want(wire.TypeSetUp, id+1)
			m := answerTo(id + 1)
			m.Params[0].Value = make([]byte, size)
			server.write(m)
		}
	})
	b.until("all are answered", func() bool { return b.s.Counters[state.AnswersOut] == calls })
	if left, _ := unix.IoctlGetInt(own.Hash(), unix.TIOCOUTQ); left == 0 || own.unwritten.Load() > 0 {
		t.Fatalf("%d bytes are in the system's buffers, and %d wait for them", left, own.unwritten.Load())
	}
	b.stop()
	b.stepped(time.Second)
	slow.write(wire.ReleaseOf(1, wire.CauseNormal)) // its first call is over
	b.during(func() {
		for id := range uint64(calls) {
			if d, _ := slow.want(wire.TypeAnswer, id+1).Get(wire.ParamDescription); len(d) != size {
				t.Errorf("the description of call %d came with %d bytes", id+1, len(d))
			}
		}
		server.want(wire.TypeRelease, 1)
	})
	b.until("it is done", func() bool { b.stepped(5 * time.Millisecond); return b.s.Done() })
}

// An office's connection ends, and a caller releases a call that stands there, as the program is about to end after SIGTERM:
// it ends once the release is written on the next connection, or none comes up.
func TestReleaseOwedAtTheEnd(t *testing.T) {
	for name, comes := range map[string]bool{"the office comes back": true, "it does not": false} {
		t.Run(name, func(t *testing.T) {
			b := playByHand(t, nil)
			server := b.accept()
			caller, _ := b.dial(net.Dialer{})
			b.call(7, server, caller)
			b.stop()
			b.stepped(840 * time.Millisecond)
			b.held = make(chan bool)
			_ = server.conn.Close()
			b.until("the office's connection has ended", func() bool { return b.closed == 1 })
			b.during(func() {
				caller.write(wire.ReleaseOf(7, wire.CauseNormal))
				caller.want(wire.TypeHeard, 7)
			})
			b.stepped(60 * time.Millisecond)
			b.until("the callers are sent away", func() bool { b.stepped(time.Millisecond); return b.closed >= 2 && b.left })
			if b.s.Done() {
				t.Error("it is done with a release to be written")
			}
			if comes {
				close(b.held)
				server = b.accept()
				b.during(func() { server.want(wire.TypeRelease, 7) })
			}
			began := b.clock.Load()
			b.until("it is done", func() bool { b.stepped(5 * time.Millisecond); return b.s.Done() })
			if waited := b.clock.Load() - began; waited > 700_000 {
				t.Errorf("it was done %d us later", waited)
			}
		})
	}
}

// UNDRAIN after SIGTERM is refused. Guards against staff who count on a process that is about to end.
func TestUndrainWhileStopping(t *testing.T) {
	control := free(t)
	b := playByHand(t, func(c *Config) { c.Control = control })
	b.during(func() {
		if got := ask(t, control, wire.AskDrain); !strings.HasPrefix(got, "200 ") {
			t.Errorf("DRAIN gave %q", got)
		}
	})
	b.stop()
	b.during(func() {
		if got := ask(t, control, wire.AskUndrain); !strings.HasPrefix(got, "400 ") {
			t.Errorf("UNDRAIN after SIGTERM gave %q", got)
		}
		if got := ask(t, control, wire.AskReady); strings.HasPrefix(got, "200 ") {
			t.Errorf("READY after SIGTERM gave %q", got)
		}
	})
}
