//go:build review

package main

import (
	"fmt"
	"net"
	"sync"
	"time"

	"pewterwheel/internal/wire"
)

// office is a call server as the protocol page describes one.
type office struct {
	name    string
	rec     *recorder
	work    time.Duration        // from reading a set-up to its answer
	hold    func() time.Duration // after which the office ends a call; nil: callers end their calls
	line    time.Duration        // work of a set-up for its processor; 0: it has many
	size    int                  // lines
	told    time.Duration        // interval of the unasked states of its group
	reports bool                 // it goes on telling its free lines while it hangs
	others  func() int           // lines in use by calls of other session controllers; nil: none

	mu       sync.Mutex
	free     time.Time // when its processor has worked off what waits
	l        net.Listener
	conns    map[*link]bool
	newest   *link
	hung     bool
	standing map[uint64]*link     // calls that stand, with the connection of their set-up
	owed     map[uint64]bool      // releases that were not heard
	ended    map[uint64]time.Time // calls that it ended
}

func newOffice(name, address string, rec *recorder) (*office, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	o := &office{name: name, rec: rec, work: 80 * time.Millisecond, size: 1000, told: 300 * time.Millisecond, l: l,
		conns: map[*link]bool{}, standing: map[uint64]*link{}, owed: map[uint64]bool{}, ended: map[uint64]time.Time{}}
	return o, nil
}

func (o *office) address() string { return o.l.Addr().String() }

func (o *office) serve() {
	for {
		c, err := o.l.Accept()
		if err != nil {
			return
		}
		k := &link{conn: c}
		if o.hangs() && !o.reports { // the system accepts for a process that stands still
			continue
		}
		_ = k.send(o.state()) // first of all on each new connection
		o.mu.Lock()
		o.conns[k], o.newest = true, k
		for call := range o.owed { // a release is sent also on the next connection opened
			o.rec.note(o.name, "release sent again", call, "")
			_ = k.send(wire.ReleaseOf(call, wire.CauseNormal))
		}
		o.mu.Unlock()
		o.rec.note(o.name, "connection opened", 0, c.RemoteAddr().String())
		go o.tell(k)
		go o.read(k)
	}
}

func (o *office) state() wire.Message {
	o.mu.Lock()
	used := len(o.standing)
	o.mu.Unlock()
	if o.others != nil {
		used += o.others()
	}
	return wire.Message{Type: wire.TypeGroup, Params: []wire.Param{wire.Text(wire.ParamLoad,
		fmt.Sprintf("free:%d;size:%d", o.size-used, o.size))}}
}

func (o *office) tell(k *link) {
	for {
		time.Sleep(o.told)
		if (!o.hangs() || o.reports) && k.send(o.state()) != nil {
			return
		}
	}
}

func (o *office) read(k *link) {
	out := map[uint64]*time.Timer{}
	var mu sync.Mutex
	defer func() {
		_ = k.conn.Close()
		o.mu.Lock()
		delete(o.conns, k)
		o.mu.Unlock()
		mu.Lock()
		for _, t := range out { // the set-ups open on it are given up
			t.Stop()
		}
		mu.Unlock()
		o.rec.note(o.name, "connection ended", 0, "")
	}()
	for {
		m, err := k.next()
		if err != nil {
			return
		}
		if o.hangs() {
			select {}
		}
		switch m.Type {
		case wire.TypeSetUp:
			call := m.Call
			work := o.work
			if o.line > 0 { // its processor has one line, and turns set-ups away once its wait passes 1.9 s
				o.mu.Lock()
				now := time.Now()
				wait := max(0, o.free.Sub(now))
				if wait > 1900*time.Millisecond {
					o.mu.Unlock()
					full := wire.ReleaseOf(call, wire.CauseFull)
					full.Params = append(full.Params, wire.Text(wire.ParamNote, wire.NoteOverload))
					_ = k.send(full)
					continue
				}
				work = wait + o.line
				o.free = now.Add(work)
				o.mu.Unlock()
			}
			o.rec.note(o.name, "set-up", call, "")
			mu.Lock()
			out[call] = time.AfterFunc(work, func() {
				mu.Lock()
				if out[call] == nil || o.hangs() {
					mu.Unlock()
					return
				}
				delete(out, call)
				mu.Unlock()
				o.mu.Lock()
				o.standing[call] = k
				o.mu.Unlock()
				o.rec.note(o.name, "answer", call, "")
				_ = k.send(wire.Message{Type: wire.TypeAnswer, Call: call,
					Params: []wire.Param{wire.Text(wire.ParamDescription, o.name+"/"+fmt.Sprint(call))}})
				if o.hold != nil {
					time.AfterFunc(o.hold(), func() { o.end(call) })
				}
			})
			mu.Unlock()
		case wire.TypeRelease:
			mu.Lock()
			if t := out[m.Call]; t != nil {
				t.Stop()
				delete(out, m.Call)
			}
			mu.Unlock()
			o.mu.Lock()
			stood := o.standing[m.Call] != nil
			delete(o.standing, m.Call)
			o.mu.Unlock()
			if stood {
				o.rec.note(o.name, "released by the session controller", m.Call, fmt.Sprint("cause ", m.Cause()))
			}
			_ = k.send(wire.Message{Type: wire.TypeHeard, Call: m.Call})
		case wire.TypeHeard:
			o.mu.Lock()
			delete(o.owed, m.Call)
			o.mu.Unlock()
		case wire.TypeTest:
			_ = k.send(wire.Message{Type: wire.TypeTested, Call: m.Call, Params: []wire.Param{{Code: wire.ParamCause, Value: []byte{1}}}})
		}
	}
}

// end ends a call that stands: told on the connection of its set-up, otherwise on any open one.
func (o *office) end(call uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	k := o.standing[call]
	if k == nil {
		return
	}
	delete(o.standing, call)
	o.owed[call], o.ended[call] = true, time.Now()
	if !o.conns[k] {
		k = o.newest
	}
	o.rec.note(o.name, "release", call, "")
	if k != nil && !o.hung {
		_ = k.send(wire.ReleaseOf(call, wire.CauseNormal))
	}
}

// die ends the office's process: its connections are reset and its calls cut.
func (o *office) die() {
	o.mu.Lock()
	defer o.mu.Unlock()
	_ = o.l.Close()
	for k := range o.conns {
		_ = k.conn.(*net.TCPConn).SetLinger(0)
		_ = k.conn.Close()
	}
	o.rec.note(o.name, "died", 0, fmt.Sprint(len(o.standing), " calls cut"))
	for call := range o.standing {
		o.rec.note(o.name, "cut", call, "")
		o.ended[call] = time.Now()
	}
	clear(o.standing)
	clear(o.owed)
}

// again starts a new process of the office at the same address, which knows nothing of earlier calls.
func (o *office) again() (err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.l, err = net.Listen("tcp4", o.l.Addr().String()); err != nil {
		return err
	}
	o.rec.note(o.name, "started anew", 0, "")
	go o.serve()
	return nil
}

// hang has the office's process stand still: it reads nothing and says nothing. Calls end all the same.
func (o *office) hang() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.hung = true
	o.rec.note(o.name, "hangs", 0, fmt.Sprint(len(o.standing), " calls stand"))
}

func (o *office) hangs() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.hung
}
