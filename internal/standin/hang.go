package standin

import (
	"fmt"
	"net"
	"time"

	"pewterwheel/internal/wire"
)

// hang is a stretch in which an office's process does nothing. Its system goes on accepting connections.
type hang struct {
	over    chan struct{} // closed once the office has recovered
	reports bool          // reports of free lines go on: only the processor hangs
	parts   *Parts        // nil: nothing else does
	at      time.Time
}

// Parts is what of an office goes on while its processor hangs, beside its reports.
type Parts struct {
	Answers time.Duration // set-ups are answered for so long
	Refuses time.Duration // set-ups are refused for so long
	Heard   bool          // releases are confirmed, and nothing comes of them
}

// HangInPart has the office end no call any more, while parts of it go on; where reports is true, its reports too.
func (o *Office) HangInPart(reports bool, parts Parts) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.hang == nil {
		o.hang = &hang{over: make(chan struct{}), reports: reports, parts: &parts, at: time.Now()}
		o.book.unseen(o.Name)
	}
}

// answers tells whether an office that hangs still answers set-ups.
func (h *hang) answers() bool { return h.parts != nil && time.Since(h.at) < h.parts.Answers }

// servePart deals with a message that comes to an office of which parts go on; false: it doesn't hang so.
func (o *Office) servePart(p *pipe, m wire.Message, out map[uint64]bool) bool {
	o.mu.Lock()
	hung := o.hang
	o.mu.Unlock()
	if hung == nil || hung.parts == nil {
		return false
	}
	switch {
	case m.Type == wire.TypeSetUp && hung.answers():
		o.setUp(p, m.Call, "", out)
	case m.Type == wire.TypeSetUp && time.Since(hung.at) < hung.parts.Refuses:
		_ = p.send(wire.ReleaseOf(m.Call, wire.CauseFull)) // where it can't be written its connection has ended
	case m.Type == wire.TypeRelease:
		o.gaveUp(p, m.Call, out, hung.parts.Heard)
	}
	return true
}

// gaveUp notes a release that came while parts go on: a set-up that is out is over with it, and nothing comes of it else.
func (o *Office) gaveUp(p *pipe, call uint64, out map[uint64]bool, confirmed bool) {
	if out[call] {
		delete(out, call)
		o.book.over(call, o.Name, p.heard())
	}
	if confirmed {
		_ = p.send(wire.Message{Type: wire.TypeHeard, Call: call})
	}
}

// Hang has the office read nothing, answer nothing and release nothing; calls that stand end all the same. Where reports is
// true it goes on telling its free lines.
func (o *Office) Hang(reports bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.hang == nil {
		o.hang = &hang{over: make(chan struct{}), reports: reports}
		o.book.unseen(o.Name)
	}
}

// Unseen tells that from now on the office may not see what controllers send: attempts that are out there may have been given up.
func (o *Office) Unseen() { o.book.unseen(o.Name) }

// Recover ends a hang. Connections end, with what was not read on them, and what ended meanwhile is released on the next ones.
func (o *Office) Recover() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.hang == nil {
		return nil
	}
	_ = o.l.Close()
	for c := range o.conns {
		_ = c.Close()
	}
	l, err := net.Listen("tcp4", o.Address)
	if err != nil {
		return fmt.Errorf("stand-in office %s recovers: %w", o.Name, err)
	}
	o.l = l
	close(o.hang.over)
	o.hang = nil
	go o.accept(l)
	return nil
}

// Kill ends the office's process, also one that hangs: its listener, its connections and its calls, of which it tells nobody.
func (o *Office) Kill() {
	o.mu.Lock()
	defer o.mu.Unlock()
	_ = o.l.Close()
	for c := range o.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	for call := range o.standing {
		o.book.ended(call, o.Name, time.Now())
	}
	clear(o.standing)
	clear(o.owed)
	if o.hang != nil {
		close(o.hang.over)
		o.hang = nil
	}
}

// Restart starts a process in the place of one that was killed. It knows nothing of its calls.
func (o *Office) Restart() error {
	l, err := net.Listen("tcp4", o.Address)
	if err != nil {
		return fmt.Errorf("stand-in office %s starts anew: %w", o.Name, err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.l = l
	go o.accept(l)
	return nil
}

// awake tells whether the office acts on what it has read; false: its process hung at that time, and waits for its end.
func (o *Office) awake() bool {
	o.mu.Lock()
	hung := o.hang
	o.mu.Unlock()
	if hung == nil {
		return true
	}
	<-hung.over
	return false
}

// reporting tells whether the office tells of its free lines now.
func (o *Office) reporting() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.script.Unreported && (o.hang == nil || o.hang.reports)
}

// Unheard tells that from now on nobody hears what the office writes, or that it is heard again: releases written meanwhile
// count as not sent.
func (o *Office) Unheard(unheard bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unheard = unheard
}

// endCall ends a call that stands, and releases it on its connection, otherwise on any open one of that peer, and also on the
// next one that the peer opens.
func (o *Office) endCall(on *pipe, call uint64) {
	o.mu.Lock()
	if !o.standing[call] {
		o.mu.Unlock()
		return
	}
	delete(o.standing, call)
	o.book.ended(call, o.Name, time.Now())
	peer := peerOf(on.conn)
	o.owed[call] = peer
	if o.hang != nil {
		o.mu.Unlock()
		return
	}
	if on.over() {
		on = o.openTo(peer)
	}
	o.mu.Unlock()
	if on != nil {
		o.sendRelease(on, call)
	}
}

// openTo is an open connection of a peer; nil: there is none. The lock is held.
func (o *Office) openTo(peer string) *pipe {
	for conn, p := range o.conns {
		if peerOf(conn) == peer && !p.over() {
			return p
		}
	}
	return nil
}

// peerOf is the host at the other end of a connection.
func peerOf(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return host
}

// sendOwed releases on a new connection what its peer has not been heard to take.
func (o *Office) sendOwed(p *pipe) {
	o.mu.Lock()
	if o.hang != nil {
		o.mu.Unlock()
		return
	}
	peer := peerOf(p.conn)
	var calls []uint64
	for call, owedTo := range o.owed {
		if owedTo == peer {
			calls = append(calls, call)
		}
	}
	o.mu.Unlock()
	for _, call := range calls {
		o.sendRelease(p, call)
	}
}

func (o *Office) sendRelease(p *pipe, call uint64) {
	o.mu.Lock()
	unheard := o.unheard
	o.mu.Unlock()
	if p.send(wire.ReleaseOf(call, wire.CauseNormal)) == nil && !unheard {
		o.book.endWritten(call, o.Name, time.Now())
	}
}

func (o *Office) heardOf(call uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.owed, call)
}
