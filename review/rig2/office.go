//go:build review

package main

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// office is a call server. What it does with a set-up is written in the number called: n/FIRST/SECOND/HOLD/SERIAL, in
// milliseconds. The office of place 0 answers after FIRST, that of place 1 after SECOND; either ends the call HOLD after that.
type office struct {
	b       *book
	name    string
	id      uint32
	place   int
	address string
	size    int

	mu     sync.Mutex
	l      net.Listener
	life   int // of the process; a replaced one forgets its calls
	links  []*link
	calls  map[uint64]*taken
	owed   map[uint64]byte // releases that nobody has been heard to take, for the next connection
	others int             // lines that other senders' calls take
	// idle: a connection with nothing on it for so long is closed; 0: never
	idle time.Duration
	quit chan struct{}
}

// taken is a set-up or a call at an office.
type taken struct {
	a    *attempt
	link *link
}

func newOffice(b *book, name string, id uint32, place int) *office {
	o := &office{b: b, name: name, id: id, place: place, size: 400, calls: map[uint64]*taken{}, owed: map[uint64]byte{},
		quit: make(chan struct{})}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fail("office: %v", err)
	}
	o.address = l.Addr().String()
	o.serve(l)
	go o.watch()
	return o
}

func (o *office) key() string { return fmt.Sprintf("s-%08x", o.id) }

func (o *office) serve(l net.Listener) {
	o.mu.Lock()
	o.l = l
	life := o.life
	o.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			o.opened(newLink(c), life)
		}
	}()
}

// opened greets with the state of the lines, and tells what it could not tell before.
func (o *office) opened(k *link, life int) {
	o.mu.Lock()
	if life != o.life {
		o.mu.Unlock()
		k.reset()
		return
	}
	o.links = append(o.links, k)
	report := o.report()
	owed := o.owed
	o.owed = map[uint64]byte{}
	o.mu.Unlock()
	o.b.note("%s: connection opened", o.name)
	_ = k.send(report)
	for id, cause := range owed {
		o.b.note("%s: release %x again on a new connection", o.name, id)
		_ = k.send(release(id, cause))
	}
	go o.read(k, life)
}

func (o *office) report() message {
	free := o.size - o.others - len(o.calls)
	return message{kind: tGroup, params: []param{{pLoad, []byte(fmt.Sprintf("free:%d;size:%d", free, o.size))}}}
}

// reportEvery is how often an office tells of its lines.
const reportEvery = 250 * time.Millisecond

// watch reports the lines in use, on four connections at most, and closes connections that are idle.
func (o *office) watch() {
	for {
		select {
		case <-o.quit:
			return
		case <-time.After(reportEvery):
		}
		o.mu.Lock()
		report := o.report()
		var idle []*link
		on := map[*link]bool{}
		for _, h := range o.calls {
			on[h.link] = true
		}
		for i, k := range o.links {
			if i < 4 {
				_ = k.send(report)
			}
			if o.idle > 0 && !on[k] && k.idle() >= o.idle {
				idle = append(idle, k)
			}
		}
		o.mu.Unlock()
		for _, k := range idle {
			o.b.note("%s: closes an idle connection", o.name)
			_ = k.Close()
		}
	}
}

func (o *office) read(k *link, life int) {
	for {
		m, err := readMessage(k)
		if err != nil {
			o.mu.Lock()
			for i, other := range o.links {
				if other == k {
					o.links = append(o.links[:i:i], o.links[i+1:]...)
					break
				}
			}
			if life == o.life { // the set-ups open on it are given up
				for id, h := range o.calls {
					if h.link == k && !h.a.standing {
						o.end(id, h, "given up with its connection")
					}
				}
			}
			o.mu.Unlock()
			_ = k.Close()
			o.b.note("%s: connection ended: %v", o.name, err)
			return
		}
		k.touch()
		switch m.kind {
		case tSetUp:
			o.setUp(k, m, life)
		case tRelease:
			o.mu.Lock()
			h := o.calls[m.call]
			if h != nil && life == o.life {
				o.end(m.call, h, fmt.Sprintf("controller, cause %d", m.cause()))
			}
			delete(o.owed, m.call)
			o.mu.Unlock()
			if h != nil {
				o.b.note("%s: %x ended by the controller, cause %d", o.name, m.call, m.cause())
			}
			_ = k.send(message{kind: tHeard, call: m.call})
		case tHeard:
			o.mu.Lock()
			delete(o.owed, m.call)
			o.mu.Unlock()
		case tTest:
			_ = k.send(message{kind: tTested, call: m.call, params: []param{{pCause, []byte{1}}}})
		}
	}
}

// end notes the end of a set-up or call. The office's lock is held.
func (o *office) end(id uint64, h *taken, by string) {
	delete(o.calls, id)
	o.b.mu.Lock()
	h.a.over, h.a.by, h.a.standing = time.Now(), by, false
	o.b.mu.Unlock()
}

func (o *office) setUp(k *link, m message, life int) {
	answer, hold := 0, 0
	if f := strings.Split(string(m.get(pNumber)), "/"); len(f) == 5 {
		answer, _ = strconv.Atoi(f[1+o.place])
		hold, _ = strconv.Atoi(f[3])
	}
	a := &attempt{office: o.name, from: time.Now()}
	o.b.with(m.call, o.name, func(c *call) { c.attempts = append(c.attempts, a) })
	o.b.note("%s: set-up %x (%s)", o.name, m.call, m.get(pNumber))
	h := &taken{a: a, link: k}
	o.mu.Lock()
	o.calls[m.call] = h
	o.mu.Unlock()
	time.AfterFunc(time.Duration(answer)*time.Millisecond, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if life != o.life || o.calls[m.call] != h {
			return
		}
		o.b.mu.Lock()
		a.stood, a.standing = time.Now(), true
		o.b.mu.Unlock()
		o.b.note("%s: answers %x", o.name, m.call)
		_ = k.send(message{kind: tAnswer, call: m.call,
			params: []param{{pDescription, []byte(fmt.Sprintf("%s:%x", o.name, m.call))}}})
		time.AfterFunc(time.Duration(hold)*time.Millisecond, func() { o.finish(m.call, h, life) })
	})
}

// finish ends a standing call: the release goes on the connection of the set-up, otherwise on any open one, and also on
// the next one that is opened, unless it is heard before.
func (o *office) finish(id uint64, h *taken, life int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if life != o.life || o.calls[id] != h {
		return
	}
	o.end(id, h, "office")
	o.owed[id] = 16
	on := (*link)(nil)
	for _, k := range o.links {
		if k == h.link {
			on = k
		}
	}
	if on == nil && len(o.links) > 0 {
		on = o.links[0]
	}
	if on == nil {
		o.b.note("%s: %x ends, no connection for its release", o.name, id)
		return
	}
	o.b.note("%s: %x ends, released (on its own connection: %v)", o.name, id, on == h.link)
	_ = on.send(release(id, 16))
}

// replace lets the process die and another one start at the same address after a pause.
func (o *office) replace(pause time.Duration) {
	o.mu.Lock()
	o.life++
	_ = o.l.Close()
	for id, h := range o.calls {
		o.end(id, h, "the office's process died")
	}
	for _, k := range o.links {
		k.reset()
	}
	o.links, o.owed = nil, map[uint64]byte{}
	o.mu.Unlock()
	o.b.note("%s: process died", o.name)
	time.Sleep(pause)
	for range 100 {
		l, err := net.Listen("tcp4", o.address)
		if err == nil {
			o.serve(l)
			o.b.note("%s: another process listens", o.name)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	fail("office %s: its address cannot be bound again", o.name)
}
