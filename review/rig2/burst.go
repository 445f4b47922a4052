//go:build review

package main

import (
	"net"
	"sync"
	"syscall"
	"time"
)

func init() { cases["first-burst"] = firstBurst }

// Bounds of the rule: what a set-up may wait beyond its time, and how long before a connection's end it may have been written
// to be sent again, once.
const (
	slack    = 550 * ms
	crossing = 50 * ms
)

// gateway is a client that many callers share. It has one connection and opens it again when it has ended. What it wrote
// less than 50 ms before a connection's end is sent again, once, on the next one.
type gateway struct {
	s    *site
	name string

	mu    sync.Mutex
	link  *link
	open  map[uint64]*asked
	ended bool
}

// asked is a set-up of a gateway without its final answer.
type asked struct {
	m        message
	by       time.Time
	sent     time.Time
	again    bool
	finals   int
	excused  bool // its process was killed
	why      string
	answered time.Time
}

func newGateway(s *site, name string) *gateway {
	g := &gateway{s: s, name: name, open: map[uint64]*asked{}}
	return g
}

// connect opens the connection. The gateway's lock is held.
func (g *gateway) connect() {
	for range 400 {
		c, err := net.DialTimeout("tcp4", g.s.listen, time.Second)
		if err == nil {
			g.link = newLink(c)
			g.s.b.note("%s: connected", g.name)
			go g.read(g.link)
			return
		}
		time.Sleep(20 * ms)
	}
	fail("%s: nobody listens", g.name)
}

// send writes set-ups in one go. The gateway's lock is held.
func (g *gateway) send(all []*asked) {
	if g.link == nil {
		g.connect()
	}
	var out []byte
	for _, a := range all {
		a.sent = time.Now()
		out = append(out, a.m.bytes()...)
		g.s.b.note("%s: set-up %x, %d bytes (again: %v)", g.name, a.m.call, len(a.m.bytes()), a.again)
	}
	_ = g.link.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, _ = g.link.Write(out)
}

// ask offers count calls at once, each with a description of so many bytes.
func (g *gateway) ask(count, room int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []*asked
	for i := range count {
		c := g.s.b.offer(g.name)
		a := &asked{m: setUpMessage(c.id, "balance-check", 3*time.Second, i%2, 10*ms, 10*ms, time.Second, room),
			by: time.Now().Add(3*time.Second + slack)}
		g.open[c.id] = a
		all = append(all, a)
	}
	g.send(all)
}

func (g *gateway) read(k *link) {
	for {
		m, err := readMessage(k)
		if err != nil {
			g.closed(k, err)
			return
		}
		if m.kind != tAnswer && m.kind != tRelease {
			continue
		}
		g.mu.Lock()
		if a := g.open[m.call]; a != nil {
			if a.finals++; a.finals == 1 {
				a.answered = time.Now()
			}
			if m.kind == tRelease && a.finals == 1 || m.kind == tAnswer {
				g.s.b.note("%s: final answer %x: type %d cause %d", g.name, m.call, m.kind, m.cause())
			}
		}
		g.mu.Unlock()
		if m.kind == tRelease {
			_ = k.send(message{kind: tHeard, call: m.call})
		}
	}
}

func (g *gateway) closed(k *link, err error) {
	now := time.Now()
	g.s.b.note("%s: connection ended: %v", g.name, err)
	_ = k.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.link == k {
		g.link = nil
	}
	if g.ended {
		return
	}
	var again []*asked
	for id, a := range g.open {
		switch {
		case a.finals > 0 || a.excused || a.why != "":
		case a.again || now.Sub(a.sent) > crossing:
			a.why = "its connection ended"
			g.s.b.note("%s: set-up %x is lost: its connection ended %d ms after it was written (again: %v): %v", g.name, id,
				now.Sub(a.sent).Milliseconds(), a.again, err)
		default:
			a.again = true
			again = append(again, a)
		}
	}
	if len(again) > 0 {
		g.send(again)
	}
}

// firstBurst: a controller is killed and starts again; what its clients' callers asked for meanwhile comes at once on the
// clients' new connections.
func firstBurst(s *site) bool {
	a, b := newOffice(s.b, "A", 0xa1, 0), newOffice(s.b, "B", 0xb2, 1)
	s.journal = newJournal(s.b, a, b)
	first := s.start("first")
	s.ready(first)
	var all []*gateway
	for _, name := range []string{"gateway-1", "gateway-2", "gateway-3", "gateway-4"} {
		g := newGateway(s, name)
		all = append(all, g)
		for range 3 { // ordinary calls, one after the other
			g.ask(1, 300)
			time.Sleep(300 * ms)
		}
	}
	for round := range 4 {
		if round == 1 && trouble() {
			for _, g := range all { // nothing is open: those of the round before have their answers
				g.mu.Lock()
				for _, a := range g.open {
					a.excused = a.finals == 0
				}
				g.mu.Unlock()
			}
			s.signal(first, syscall.SIGKILL)
			<-first.done
			s.ready(s.start("second"))
		}
		for _, g := range all {
			g.ask(24, 15<<10)
			time.Sleep(time.Second) // 24 calls a second
		}
		time.Sleep(time.Second)
	}
	time.Sleep(4 * time.Second)
	offered, lost := 0, 0
	for _, g := range all {
		g.mu.Lock()
		g.ended = true
		for id, a := range g.open {
			offered++
			switch {
			case a.excused:
			case a.finals == 0 || a.answered.After(a.by):
				lost++
				s.b.note("%s: set-up %x has no final answer in time (%s)", g.name, id, a.why)
			}
		}
		g.mu.Unlock()
	}
	s.b.say("%d set-ups were offered, %d of them got no final answer", offered, lost)
	return lost == 0
}
