package service

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"

	"pewterwheel/internal/session"
)

const (
	readBuffer = 64 << 10
	// leastUnwritten is the least that may wait for a peer that does not read; past its bound the connection ends.
	leastUnwritten = 64 << 10
	// dialBeyond is how long after the time in the settings, by which the session gives up on a connect, one that has not
	// come up is given back to the system. Guards against descriptors for several connects to each office that is away.
	dialBeyond = 50 * time.Millisecond
	// acceptPause is how long after a failed accept the next one comes.
	acceptPause = 10 * time.Millisecond
)

// dialled marks a connection that was opened from here with the number of its dial.
type dialled uint64

// network is the sockets: nbio's engine, whose callbacks only stamp and queue what arrived.
type network struct {
	engine  *nbio.Engine
	queue   *queue
	now     func() int64
	control string // the second address, as the system writes it
	callers *leaving
	connect time.Duration // the most that a connect may take
	started chan struct{} // closed once the engine runs
}

func newNetwork(cfg Config, q *queue, now func() int64) *network {
	logging.SetLevel(logging.LevelError)
	sockets := cfg.Limits.Sockets
	nbio.MaxOpenFiles = sockets + 64 // the engine keeps a table of that size
	// All peers together that read nothing must not fill memory.
	unwritten := max(leastUnwritten, int(cfg.Limits.MemoryMB<<20)/2/sockets)
	n := &network{queue: q, now: now, started: make(chan struct{}), connect: cfg.Settings.DialLimit() + dialBeyond}
	var addresses []string
	if cfg.Control != "" {
		addresses = append(addresses, cfg.Control)
	}
	addresses = append(addresses, cfg.Listen) // last, for from then on it has the new callers of one that serves
	n.engine = nbio.NewEngine(nbio.Config{Network: "tcp4", Addrs: addresses, Listen: patiently(listener(cfg.Control, cfg.Beside, &n.control, n.listens)),
		NPoller: 1, ReadBufferSize: readBuffer, MaxWriteBufferSize: unwritten})
	// The engine calls this before it reads from the connection, so nothing is queued ahead of it.
	n.engine.OnOpen(func(c *nbio.Conn) {
		own := &conn{Conn: c, queue: q}
		a := session.Arrival{Kind: session.Accepted, At: now(), Conn: own}
		id, ok := c.Session().(dialled)
		c.SetSession(own)
		if own.ours = ok; ok {
			a.Kind, a.Dial = session.Dialled, uint64(id)
		} else if n.control != "" && c.LocalAddr().String() == n.control {
			a.Kind = session.ControlAccepted
		}
		q.put(a)
	})
	// The engine tries again at once. Guards against a full core while descriptors are short.
	n.engine.OnAcceptError(func(error) { time.Sleep(acceptPause) })
	buffer := make([]byte, readBuffer) // the one poller's
	n.engine.OnReadBufferAlloc(func(c *nbio.Conn) *[]byte {
		q.inHand.Store(c)
		buffer = buffer[:cap(buffer)] // the engine cuts it to what it has read
		return &buffer
	})
	n.engine.OnReadBufferFree(func(*nbio.Conn, *[]byte) { q.inHand.Store(nil) })
	n.engine.OnData(func(c *nbio.Conn, data []byte) {
		q.put(session.Arrival{Kind: session.Data, At: now(), Conn: connOf(c), Data: data})
	})
	n.engine.OnClose(func(c *nbio.Conn, err error) {
		q.put(session.Arrival{Kind: session.Closed, At: now(), Conn: connOf(c), Err: err})
	})
	n.engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, size int) { connOf(c).written(size) })
	return n
}

// listens keeps what listens for callers.
func (n *network) listens(l *net.TCPListener) net.Listener {
	n.callers = &leaving{TCPListener: l, left: func() { n.queue.put(session.Arrival{Kind: session.ListenerClosed, At: n.now()}) }}
	return n.callers
}

// StopAccepting takes in the callers that wait to be, and listens for no more. Guards against callers that wait at a process which
// has ended, and, where three processes are beside each other for a moment, against the kernel's choice of one that is ending.
func (n *network) StopAccepting() { n.callers.leave() }

func (n *network) start() error {
	if err := n.engine.Start(); err != nil {
		return fmt.Errorf("network: %w", err)
	}
	close(n.started)
	return nil
}

// Dial opens a connection; the result is queued. The engine's own DialAsync cannot be used: version 1.6.8 takes
// the first four bytes of an address that the standard library gives in sixteen, so that every IPv4 connect
// goes to 0.0.0.0, and it reports a refused connect as a success. So the connect is the standard library's,
// and the engine takes over what has come up.
func (n *network) Dial(address string, id uint64) {
	go func() {
		<-n.started
		// Of one that did not come up in time the session has told itself by then, or does so in its next step.
		if err := n.dial(address, id); err != nil && !os.IsTimeout(err) {
			n.queue.put(session.Arrival{Kind: session.Dialled, At: n.now(), Dial: id, Err: err})
		}
	}()
}

func (n *network) dial(address string, id uint64) error {
	std, err := net.DialTimeout("tcp4", address, n.connect)
	if err != nil {
		return err // it names the address
	}
	conn, err := nbio.NBConn(std)
	if err != nil {
		_ = std.Close() // nothing was written to it
		return fmt.Errorf("connect %s: %w", address, err)
	}
	conn.SetSession(dialled(id)) // tells onOpen whose it is
	// A failure here is told as the end of the connection, which onOpen has told of.
	_, _ = n.engine.AddConn(conn)
	return nil
}
