package standin

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"pewterwheel/internal/wire"
)

// ids are the calls' ids, one for each call of this process.
var ids atomic.Uint64

// Caller is an application's connection to its sidecar.
type Caller struct {
	pipe *pipe
	book *Book
	mu   sync.Mutex
	open map[uint64]chan wire.Message
	hold time.Duration
	done sync.WaitGroup
	down bool

	// What a Client does otherwise; nil: as usual.
	describe func(id uint64) string
	took     func(id uint64, description []byte)
	ends     *Caller // releases go on its connection
}

// Dial connects to a sidecar. Calls that stand are released after the hold time.
func Dial(address string, book *Book, hold time.Duration) (*Caller, error) {
	return dial(address, book, hold, nil)
}

// dial is Dial, of whose caller with may change what it does before anything comes.
func dial(address string, book *Book, hold time.Duration, with func(*Caller)) (*Caller, error) {
	conn, err := net.DialTimeout("tcp4", address, 5*time.Second)
	if err != nil {
		return nil, fmt.Errorf("stand-in caller: %w", err)
	}
	c := &Caller{pipe: &pipe{conn: conn}, book: book, open: map[uint64]chan wire.Message{}, hold: hold}
	if with != nil {
		with(c)
	}
	go c.read()
	return c, nil
}

// Close ends the connection.
func (c *Caller) Close() {
	c.mu.Lock()
	c.down = true
	c.mu.Unlock()
	_ = c.pipe.conn.Close()
}

func (c *Caller) read() {
	for {
		m, err := c.pipe.next()
		if err != nil {
			c.mu.Lock()
			if !c.down && len(c.open) > 0 {
				c.book.broken("a caller's connection ended with %d calls open: %v", len(c.open), err)
			}
			c.mu.Unlock()
			return
		}
		switch m.Type {
		case wire.TypeAnswer:
			ends := c
			if c.ends != nil {
				ends = c.ends
			}
			if description, ok := m.Get(wire.ParamDescription); ok && c.took != nil {
				c.took(m.Call, description)
			}
			// Before the final answer is told: who waits for it may send what relies on this order.
			if c.hold == 0 {
				_ = ends.pipe.send(wire.ReleaseOf(m.Call, wire.CauseNormal))
			} else {
				time.AfterFunc(c.hold, func() { _ = ends.pipe.send(wire.ReleaseOf(m.Call, wire.CauseNormal)) })
			}
			c.final(m)
		case wire.TypeRelease:
			c.mu.Lock()
			_, open := c.open[m.Call]
			c.mu.Unlock()
			_ = c.pipe.send(wire.Message{Type: wire.TypeHeard, Call: m.Call})
			if open {
				c.final(m)
			} else {
				c.book.endTold(m.Call)
			}
		}
	}
}

func (c *Caller) final(m wire.Message) {
	first := c.book.final(m.Call, c.book.sum(m))
	c.mu.Lock()
	ch := c.open[m.Call]
	delete(c.open, m.Call)
	c.mu.Unlock()
	if first && ch != nil {
		m.Params = nil // they share the connection's memory
		ch <- m
		c.done.Done()
	}
}

// Call sends a set-up and returns where its one final answer will come.
func (c *Caller) Call(class string, wait time.Duration) <-chan wire.Message {
	id := ids.Add(1)
	ch := make(chan wire.Message, 1)
	c.mu.Lock()
	c.open[id] = ch
	c.mu.Unlock()
	c.done.Add(1)
	c.book.offered(id, time.Now().Add(wait))
	description := "offer"
	if c.describe != nil {
		description = c.describe(id)
	}
	m := wire.SetUp{Class: class, Number: fmt.Sprintf("n/%d", id), Description: []byte(description)}.Onward(id, wait.Microseconds())
	m.Params = append(m.Params, wire.Text(wire.ParamInfo, "dest:-1;width:1;via:-1"))
	if err := c.pipe.send(m); err != nil {
		c.book.broken("call %x could not be sent: %v", id, err)
	}
	return ch
}

// Offer begins to send calls of a class at a rate a second, whatever comes back, until it has sent so many or stop is
// closed. Wait waits for that end, too: a call that is sent after it would have no answer.
func (c *Caller) Offer(class string, wait time.Duration, rate float64, calls int, stop <-chan struct{}) {
	begin := time.Now()
	c.done.Go(func() {
		for i := range calls {
			due := begin.Add(time.Duration(float64(i) / rate * float64(time.Second)))
			select {
			case <-stop:
				return
			case <-time.After(time.Until(due)):
			}
			c.Call(class, wait)
		}
	})
}

// Wait waits until every call has its final answer, for so long at the most.
func (c *Caller) Wait(most time.Duration) bool {
	all := make(chan struct{})
	go func() { c.done.Wait(); close(all) }()
	select {
	case <-all:
		return true
	case <-time.After(most):
		return false
	}
}
