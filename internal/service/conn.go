package service

import (
	"fmt"
	"sync/atomic"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// conn is one of the engine's connections with what the session asks of it beside.
type conn struct {
	*nbio.Conn
	ours      bool         // opened from here
	trusted   atomic.Bool  // a usual caller's
	unwritten atomic.Int64 // bytes handed to the engine that the system has not taken
	queue     *queue       // where what it brings goes
	poll      [1]unix.PollFd
}

// connOf returns the connection that onOpen made; nil: it was never opened.
func connOf(c *nbio.Conn) *conn {
	own, _ := c.Session().(*conn)
	return own
}

// Write hands bytes to the engine, which queues what the system does not take at once.
func (c *conn) Write(b []byte) (int, error) {
	c.unwritten.Add(int64(len(b)))
	n, err := c.Conn.Write(b)
	if err != nil {
		return n, fmt.Errorf("write: %w", err) // the engine has ended the connection
	}
	return n, nil
}

// MarkTrusted tells that the connection is a usual caller's.
func (c *conn) MarkTrusted() { c.trusted.Store(true) }

// written notes bytes that the system has taken.
func (c *conn) written(n int) { c.unwritten.Add(-int64(n)) }

// Unsent tells whether some of what was written has not left.
func (c *conn) Unsent() bool { return c.unwritten.Load() > 0 }

// PeerClosed tells whether the peer has ended the connection. Guards against an attempt for a caller who has left while this
// process stood still, or while his connection waited to be taken in: his end is read after what he asked for.
func (c *conn) PeerClosed() bool {
	// Where the connection ends at this moment its descriptor may be another's; its end is told next either way.
	c.poll[0] = unix.PollFd{Fd: int32(c.Hash()), Events: unix.POLLRDHUP}
	n, err := unix.Poll(c.poll[:], 0)
	return err == nil && n > 0 && c.poll[0].Revents != 0
}

// Unread tells whether something has come that the loop was not told of. It is looked for in the order of its way: what the
// system no longer has is being read, and what is no longer read is queued.
func (c *conn) Unread() bool {
	// Where the connection has ended, its descriptor may be another's by now; its end is told next either way.
	unread, err := unix.IoctlGetInt(c.Hash(), unix.TIOCINQ)
	return err == nil && unread > 0 || c.queue.inHand.Load() == c.Conn || c.queue.holds(c, false)
}

// Pending tells whether something has come that the loop has not played, or some that was written has not reached the peer's
// system: it is lost if anything more comes on a connection that was closed.
func (c *conn) Pending() bool {
	if c.Unsent() || c.Unread() || c.queue.holds(c, true) {
		return true
	}
	unsent, err := unix.IoctlGetInt(c.Hash(), unix.TIOCOUTQ)
	return err == nil && unsent > 0
}
