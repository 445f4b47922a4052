package standin

import (
	"fmt"
	"net"
	"sync"
	"time"

	"pewterwheel/internal/wire"
)

// crossing is how long before its connection's end a set-up may have been written to be sent again, once, on a new one.
// What was written after that end crossed it however late this process reads of the end: it may be a busy machine's.
const crossing = 50 * time.Millisecond

// Line is a caller that outlives its connections: it dials again whoever listens on its address, and sends again what
// crossed the end of a connection. What else was on it then is lost.
type Line struct {
	address string
	book    *Book
	hold    time.Duration

	mu    sync.Mutex
	pipe  *pipe
	open  map[uint64]*offered
	ended bool
	// Dials and Again count connections, and set-ups that were sent again.
	Dials, Again int
}

// offered is a call without its final answer.
type offered struct {
	m     wire.Message
	pipe  *pipe
	sent  time.Time
	after bool // the connection's end had come by then, unread
	again bool
}

// NewLine makes a caller; calls that stand are released after the hold time.
func NewLine(address string, book *Book, hold time.Duration) *Line {
	return &Line{address: address, book: book, hold: hold, open: map[uint64]*offered{}}
}

// Open is how many calls lack their final answer.
func (l *Line) Open() int { l.mu.Lock(); defer l.mu.Unlock(); return len(l.open) }

// Close ends the line's connection.
func (l *Line) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended = true; l.pipe != nil {
		_ = l.pipe.conn.Close()
	}
}

// Call sends a set-up whose caller waits so long by the message, and is held late only after by.
func (l *Line) Call(class string, wait time.Duration, by time.Time) {
	id := ids.Add(1)
	l.book.offered(id, by)
	l.book.by(id, l.address)
	m := wire.SetUp{Class: class, Number: fmt.Sprintf("n/%d", id), Description: []byte("offer")}.Onward(id, wait.Microseconds())
	m.Params = append(m.Params, wire.Text(wire.ParamInfo, "dest:-1;width:1;via:-1"))
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &offered{m: m}
	l.open[id] = c
	l.send(c)
}

// send writes a set-up on the connection there is, or a new one. What cannot be written is for read to find.
func (l *Line) send(c *offered) {
	if l.pipe == nil {
		conn, err := net.DialTimeout("tcp4", l.address, 5*time.Second)
		if err != nil {
			l.book.broken("call %x: nobody listens: %v", c.m.Call, err)
			return
		}
		l.Dials++
		l.pipe = &pipe{conn: conn}
		go l.read(l.pipe)
	}
	c.pipe, c.sent = l.pipe, time.Now()
	_ = l.pipe.send(c.m)
	c.after = l.pipe.over()
}

func (l *Line) read(p *pipe) {
	for {
		m, err := p.next()
		if err != nil {
			l.closed(p, err)
			return
		}
		switch m.Type {
		case wire.TypeAnswer:
			l.final(m)
			time.AfterFunc(l.hold, func() {
				l.mu.Lock()
				defer l.mu.Unlock()
				if l.pipe != nil {
					_ = l.pipe.send(wire.ReleaseOf(m.Call, wire.CauseNormal))
				}
			})
		case wire.TypeRelease:
			_ = p.send(wire.Message{Type: wire.TypeHeard, Call: m.Call})
			l.mu.Lock()
			_, open := l.open[m.Call]
			l.mu.Unlock()
			if open {
				l.final(m)
			} else {
				l.book.endTold(m.Call)
			}
		}
	}
}

func (l *Line) final(m wire.Message) {
	l.book.final(m.Call, l.book.sum(m))
	l.mu.Lock()
	delete(l.open, m.Call)
	l.mu.Unlock()
}

// closed sends again what crossed the end of a connection, and notes what was lost with it.
func (l *Line) closed(p *pipe, err error) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pipe == p {
		l.pipe = nil
	}
	if l.ended {
		return
	}
	for id, c := range l.open {
		if c.pipe != p {
			continue
		}
		if c.again || !c.after && now.Sub(c.sent) > crossing {
			l.book.broken("call %x is lost: its connection ended %d ms after it was sent (again: %v): %v", id, now.Sub(c.sent).Milliseconds(), c.again, err)
			delete(l.open, id)
			continue
		}
		c.again = true
		l.Again++
		l.send(c)
	}
}
