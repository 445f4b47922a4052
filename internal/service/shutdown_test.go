package service

import (
	"net"
	"testing"
	"time"

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
			if len(caller.rest()) != 0 || own.Waiting() {
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
