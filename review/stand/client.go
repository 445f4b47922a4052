//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"pewterwheel/internal/wire"
)

// session is one call of the client, from its set-up on.
type session struct {
	id       uint64
	begun    time.Time
	by       time.Time // until then its caller waits
	written  time.Time // when its set-up was last written
	on       *link     // the connection on which it was written; nil: it waits for one
	resent   bool
	answered time.Time // its one final answer; zero: none yet
	result   string
	finals   int
	stands   bool
	endAt    time.Time // when its caller ends it; zero: the office does
	endSent  *link     // the connection on which its release was written
	over     time.Time // when it is known to be over
	lost     bool      // its connection ended without an answer, and the page has no excuse for that
}

// client is a caller's system: many calls share its one connection. It sends on a connection only between the front's yes
// and its no, and what is to be sent meanwhile waits.
type client struct {
	name        string
	from        string // the address that it connects from
	rec         *recorder
	c           *controller
	description int
	hold        func() time.Duration // callers end their calls after it; nil: offices do
	wait        func() time.Duration
	tick        time.Duration

	mu       sync.Mutex
	k        *link
	admitted bool
	noSince  time.Time // when the front last began to turn away
	calls    map[uint64]*session
	order    []*session
	number   uint64
	stopped  bool
	foreign  int // messages about calls that are not its own
}

func newClient(name, from string, rec *recorder, c *controller) *client {
	// A try is given up after 30 to 40% of the class's 9 s.
	return &client{name: name, from: from, rec: rec, c: c, description: 300, tick: 20 * time.Millisecond, calls: map[uint64]*session{},
		number: rand.Uint64() | 1<<63,
		wait:   func() time.Duration { return time.Duration(2700+rand.IntN(900)) * time.Millisecond }}
}

func (c *client) setUp(s *session, now time.Time) wire.Message {
	text := make([]byte, c.description)
	for i := range text {
		text[i] = 'a' + byte(i%26)
	}
	copy(text, fmt.Sprintf("offer of %016x ", s.id))
	return wire.Message{Type: wire.TypeSetUp, Call: s.id, Params: []wire.Param{wire.Text(wire.ParamClass, "balance-check"),
		wire.Text(wire.ParamWait, strconv.FormatInt(max(1, s.by.Sub(now).Milliseconds()), 10)),
		wire.Text(wire.ParamNumber, fmt.Sprintf("n/%x", s.id)),
		wire.Text(wire.ParamInfo, fmt.Sprintf("dest:%d;width:1;via:-1", s.id%uint64(len(c.c.offices)))),
		{Code: wire.ParamDescription, Value: text}}}
}

// call makes a new call: its set-up leaves with the next tick for which there is a connection.
func (c *client) call() *session {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	now := time.Now()
	s := &session{id: c.number, begun: now, by: now.Add(c.wait())}
	c.calls[s.id] = s
	c.order = append(c.order, s)
	return s
}

// front asks every 0.1 s whether the controller passes a test, and connects the client.
func (c *client) front() {
	for {
		ok := c.c.passesTest()
		c.mu.Lock()
		if c.stopped {
			c.mu.Unlock()
			return
		}
		if c.admitted && !ok {
			c.noSince = time.Now()
		}
		if c.admitted != ok {
			c.rec.note("front", fmt.Sprint("admitted ", ok), 0, "")
		}
		c.admitted = ok
		c.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
}

func (c *client) connect() {
	dialer := net.Dialer{Timeout: 500 * time.Millisecond, LocalAddr: &net.TCPAddr{IP: net.ParseIP(c.from)}}
	conn, err := dialer.Dial("tcp4", c.c.listen)
	if err != nil {
		return
	}
	k := &link{conn: conn}
	c.mu.Lock()
	c.k = k
	c.mu.Unlock()
	c.rec.note(c.name, "connected", 0, conn.LocalAddr().String())
	go c.read(k)
}

// stillAsks is how long after the front's first no set-ups go on coming on an open connection. After SIGTERM new connections
// keep coming for 0.2 to 0.4 s, and requests on open ones for another 0.2 s.
const stillAsks = 400 * time.Millisecond

// run plays the ticks: what is to be sent is written in one write, releases first.
func (c *client) run() {
	for {
		time.Sleep(c.tick)
		c.mu.Lock()
		if c.stopped {
			c.mu.Unlock()
			return
		}
		k, admitted := c.k, c.admitted
		asks := admitted || time.Since(c.noSince) < stillAsks
		c.mu.Unlock()
		if k == nil {
			if admitted {
				c.connect()
			}
			continue
		}
		c.flush(k, asks)
	}
}

func (c *client) flush(k *link, admitted bool) {
	c.mu.Lock()
	now := time.Now()
	var out []byte
	var sent []*session
	for _, s := range c.order {
		if s.stands && s.over.IsZero() && !s.endAt.IsZero() && now.After(s.endAt) && s.endSent != k {
			s.endSent = k
			out, _ = wire.ReleaseOf(s.id, wire.CauseNormal).Append(out)
			c.rec.note(c.name, "release", s.id, "")
		}
	}
	for _, s := range c.order {
		if admitted && s.on == nil && s.answered.IsZero() && now.Before(s.by) {
			out, _ = c.setUp(s, now).Append(out)
			s.on = k
			sent = append(sent, s)
			what := "set-up"
			if s.resent {
				what = "set-up sent again"
			}
			c.rec.note(c.name, what, s.id, fmt.Sprintf("wait %d ms", s.by.Sub(now).Milliseconds()))
		}
	}
	c.mu.Unlock()
	if len(out) == 0 {
		return
	}
	err := k.write(out)
	c.mu.Lock()
	for _, s := range sent {
		if s.written = time.Now(); err != nil {
			s.on = nil // not written whole
		}
	}
	c.mu.Unlock()
}

func (c *client) read(k *link) {
	for {
		m, err := k.next()
		if err != nil {
			c.ended(k, err)
			return
		}
		c.mu.Lock()
		s := c.calls[m.Call]
		if s == nil { // nothing of this client's
			c.foreign++
			c.mu.Unlock()
			c.rec.note(c.name, "message about a call that is not its own", m.Call, fmt.Sprintf("type %d, cause %d", m.Type, m.Cause()))
			continue
		}
		now := time.Now()
		switch m.Type {
		case wire.TypeAnswer:
			s.finals++
			if s.answered.IsZero() {
				s.answered, s.result, s.stands = now, "answer", true
				if c.hold != nil {
					s.endAt = now.Add(c.hold())
				}
			}
			c.rec.note(c.name, "answer", m.Call, "")
		case wire.TypeRelease:
			if s.answered.IsZero() {
				s.finals++
				s.answered, s.result = now, fmt.Sprint("cause ", m.Cause())
				c.rec.note(c.name, "not set up", m.Call, s.result)
			} else if s.stands {
				if s.over.IsZero() {
					s.over = now
				}
				c.rec.note(c.name, "released", m.Call, fmt.Sprint("cause ", m.Cause()))
				_ = k.send(wire.Message{Type: wire.TypeHeard, Call: m.Call})
			} else {
				s.finals++
				c.rec.note(c.name, "second final answer", m.Call, "")
			}
		case wire.TypeHeard:
			if s.stands && s.over.IsZero() {
				s.over = now
			}
		}
		c.mu.Unlock()
	}
}

// ended notes the end of a connection, and what was open on it. A set-up that crossed the end within 50 ms is sent again, once.
func (c *client) ended(k *link, err error) {
	_ = k.conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.k == k {
		c.k = nil
	}
	var open []*session
	for _, s := range c.order {
		if s.on == k && s.answered.IsZero() && now.Before(s.by) {
			open = append(open, s)
		}
	}
	c.rec.note(c.name, "connection ended", 0, fmt.Sprintf("%v; %d set-ups unanswered", err, len(open)))
	for _, s := range open {
		age := now.Sub(s.written)
		if age <= 50*time.Millisecond && !s.resent {
			s.resent, s.on = true, nil
			c.rec.note(c.name, "crossed the end", s.id, fmt.Sprintf("written %d ms before", age.Milliseconds()))
			continue
		}
		s.lost = true
		c.rec.note(c.name, "LOST", s.id, fmt.Sprintf("written %d ms before the end of its connection, sent again: %v", age.Milliseconds(), s.resent))
	}
}

func (c *client) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	if c.k != nil {
		_ = c.k.conn.Close()
	}
}

// unanswered are the set-ups that were written to the controller and have no final answer half a second after their time.
func (c *client) unanswered(slack time.Duration) []*session {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return slices.DeleteFunc(slices.Clone(c.order), func(s *session) bool {
		return s.written.IsZero() || !s.answered.IsZero() || now.Before(s.by.Add(slack))
	})
}

// sums are the results of all calls.
func (c *client) sums() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := map[string]int{}
	for _, s := range c.order {
		switch {
		case !s.answered.IsZero():
			n[s.result]++
		case s.written.IsZero():
			n["never sent"]++
		default:
			n["no answer"]++
		}
		if s.finals > 1 {
			n["more than one answer"]++
		}
	}
	return n
}
