// Package fleettest runs several processes of the program on loopback, with stand-in offices and callers, puts relays
// with faults between every two of them, and checks the history of what they did. Nothing in service imports it.
package fleettest

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Faults is what happens to what passes in one direction. The parts are of 1.
type Faults struct {
	Drop, Double, Swap float64       // of datagrams: lost, sent twice, sent after the next one
	Delay, Jitter      time.Duration // of datagrams and of stretches of a stream; jitter is drawn evenly below it
	Cut                bool          // nothing passes: datagrams are lost, streams stay open in silence, new ones do not come up
	Reset              int64         // streams end after so many further bytes in this direction, once; 0: not
}

// Direction is one way between two processes, or between a process and one of its offices or callers.
type Direction struct {
	Name string

	mu     sync.Mutex
	faults Faults
	rng    *rand.Rand
	left   int64
	change chan struct{} // closed by the next change of the faults
	held   []byte        // a datagram that waits for the next one
	pass   func([]byte)  // where datagrams go on
	timers map[*time.Timer]bool
	ended  bool

	// Seen, Passed, Dropped, Doubled, Swapped count datagrams; Bytes what went through streams.
	Seen, Passed, Dropped, Doubled, Swapped, Bytes atomic.Int64
}

func newDirection(name string, seed uint64) *Direction {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return &Direction{Name: name, rng: rand.New(rand.NewPCG(seed, h.Sum64())), change: make(chan struct{}), timers: map[*time.Timer]bool{}}
}

// Set puts other faults in place.
func (d *Direction) Set(f Faults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults, d.left = f, f.Reset
	close(d.change)
	d.change = make(chan struct{})
}

func (d *Direction) now() (Faults, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.faults, d.change
}

// swapWait is how long a datagram that is to be overtaken waits for one that does.
var swapWait = 50 * time.Millisecond

// datagram decides what becomes of one. Every datagram takes the same number of draws, so that the fate of the n-th one
// depends on the seed and n, and not on what was set before.
func (d *Direction) datagram(b []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	drop, double, swap, jitter := d.rng.Float64(), d.rng.Float64(), d.rng.Float64(), d.rng.Float64()
	f := d.faults
	d.Seen.Add(1)
	switch {
	case d.ended:
		return
	case f.Cut || drop < f.Drop:
		d.Dropped.Add(1)
		return
	case swap < f.Swap && d.held == nil && len(b) > 0:
		d.Swapped.Add(1)
		d.held = b
		d.after(swapWait, func() {
			if len(d.held) > 0 && &d.held[0] == &b[0] { // and not a later one
				d.release()
			}
		})
		return
	}
	wait := f.Delay + time.Duration(jitter*float64(f.Jitter))
	d.deliver(wait, b)
	if double < f.Double {
		d.Doubled.Add(1)
		d.deliver(wait, b)
	}
	d.release()
}

// release lets go of the datagram that was held, if there is one. The lock is held.
func (d *Direction) release() {
	if d.held != nil {
		d.deliver(d.faults.Delay, d.held)
		d.held = nil
	}
}

// deliver sends a datagram on, after a time. The lock is held. What is on its way when a cut begins is lost with it.
func (d *Direction) deliver(wait time.Duration, b []byte) {
	if wait <= 0 {
		d.send(b)
		return
	}
	d.after(wait, func() { d.send(b) })
}

func (d *Direction) send(b []byte) {
	if d.faults.Cut {
		d.Dropped.Add(1)
		return
	}
	d.Passed.Add(1)
	d.pass(b)
}

// after does something later under the lock, unless the relay has ended by then. The lock is held.
func (d *Direction) after(wait time.Duration, do func()) {
	var t *time.Timer
	t = time.AfterFunc(wait, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if delete(d.timers, t); !d.ended {
			do()
		}
	})
	d.timers[t] = true
}

func (d *Direction) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
	for t := range d.timers {
		t.Stop()
	}
}

var (
	// errReset ends a stream that was to be cut in the middle.
	errReset = errors.New("the relay ended the stream")
	// errUnread is an end that reads no more. What it wrote before may still be on its way back.
	errUnread = errors.New("the other end reads no more")
)

// copy passes a stream on in one direction until it ends, done is closed, or a reset is due.
// An end does not pass a cut either: the other side sees silence.
func (d *Direction) copy(to, from net.Conn, done, stop <-chan struct{}) error {
	buf := make([]byte, 16<<10)
	for {
		n, ended := from.Read(buf)
		f, change := d.now()
		for f.Cut || f.Delay+f.Jitter > 0 {
			var due <-chan time.Time
			if !f.Cut {
				d.mu.Lock()
				due = time.After(f.Delay + time.Duration(d.rng.Float64()*float64(f.Jitter)))
				d.mu.Unlock()
			}
			select {
			case <-done:
				return net.ErrClosed
			case <-stop:
				return net.ErrClosed
			case <-due:
				f = Faults{}
			case <-change:
				f, change = d.now()
			}
		}
		if ended != nil {
			return ended
		}
		d.mu.Lock()
		cut := d.left > 0 && int64(n) >= d.left
		if cut {
			n = int(d.left)
		}
		if d.left > 0 {
			d.left -= int64(n)
		}
		d.mu.Unlock()
		if _, err := to.Write(buf[:n]); err != nil {
			return errUnread
		}
		if d.Bytes.Add(int64(n)); cut {
			return errReset
		}
	}
}

// Relay listens on an address of its own, on UDP and TCP, and passes what comes on to a target. What comes back passes in
// the other direction.
type Relay struct {
	To, Back *Direction
	Address  string // where it listens
	From     string // the address that targets see streams come from; empty: the usual one

	packets *net.UDPConn
	streams *net.TCPListener
	twin    *Relay // the relay of the way back; nil: streams alone

	mu     sync.Mutex
	target *net.UDPAddr // where the target listens
	conns  map[net.Conn]bool
	ended  bool
	stop   chan struct{}
	work   sync.WaitGroup
}

// NewPair makes the two relays between two processes. What a sends to the first one's address reaches b from the second
// one's address, which is where b reaches a: an answer to a datagram's sender goes the same way as all else.
func NewPair(a, b string, seed uint64) (ab, ba *Relay, err error) {
	to, back := newDirection(a+">"+b, seed), newDirection(b+">"+a, seed)
	if ab, err = newRelay(to, back, true); err != nil {
		return nil, nil, err
	}
	if ba, err = newRelay(back, to, true); err != nil {
		ab.Close()
		return nil, nil, err
	}
	ab.twin, ba.twin = ba, ab
	to.pass = func(p []byte) { ab.forward(p, ba) }
	back.pass = func(p []byte) { ba.forward(p, ab) }
	for _, r := range []*Relay{ab, ba} {
		r.start()
	}
	return ab, ba, nil
}

// NewStreams makes a relay for TCP alone, as between a process and its callers or an office.
func NewStreams(name, target string, seed uint64) (*Relay, error) {
	r, err := newRelay(newDirection(name+">", seed), newDirection("<"+name, seed), false)
	if err != nil {
		return nil, err
	}
	if err := r.Target(target); err != nil {
		r.Close()
		return nil, err
	}
	r.start()
	return r, nil
}

func newRelay(to, back *Direction, packets bool) (*Relay, error) {
	r := &Relay{To: to, Back: back, conns: map[net.Conn]bool{}, stop: make(chan struct{})}
	for range 20 { // the port of the one may be somebody's on the other
		l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, err
		}
		r.streams, r.Address = l, l.Addr().String()
		if !packets {
			return r, nil
		}
		if r.packets, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: l.Addr().(*net.TCPAddr).Port}); err == nil {
			return r, nil
		}
		_ = l.Close()
	}
	return nil, errors.New("no port is free for UDP and TCP")
}

// Target says where what comes goes on to from now on. Streams that are open stay where they are.
func (r *Relay) Target(address string) error {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = a
	return nil
}

func (r *Relay) aim() *net.UDPAddr { r.mu.Lock(); defer r.mu.Unlock(); return r.target }

func (r *Relay) forward(p []byte, from *Relay) {
	if a := r.aim(); a != nil {
		_, _ = from.packets.WriteToUDP(p, a) // a datagram that nobody takes is lost, as elsewhere
	}
}

func (r *Relay) start() {
	r.work.Add(1)
	go r.accept(r.streams)
	if r.packets == nil {
		return
	}
	r.work.Add(1)
	go func() {
		defer r.work.Done()
		buf := make([]byte, 64<<10)
		for {
			n, _, err := r.packets.ReadFromUDP(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				r.To.datagram(append([]byte(nil), buf[:n]...))
			}
		}
	}()
}

func (r *Relay) accept(l net.Listener) {
	defer r.work.Done()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.work.Add(1)
		go func() { defer r.work.Done(); r.stream(c) }()
	}
}

// Refuse has new streams refused, as where nobody listens.
func (r *Relay) Refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.streams.Close()
}

// Listen takes new streams again, after Refuse.
func (r *Relay) Listen() error {
	address, err := net.ResolveTCPAddr("tcp4", r.Address)
	if err != nil {
		return err
	}
	l, err := net.ListenTCP("tcp4", address)
	if err != nil {
		return fmt.Errorf("relay to %v listens again: %w", r.aim(), err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return l.Close()
	}
	r.streams = l
	r.work.Add(1)
	go r.accept(l)
	return nil
}

// keep notes a connection, to be ended with the relay; false: it has ended.
func (r *Relay) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		_ = c.Close()
		return false
	}
	r.conns[c] = true
	return true
}

func (r *Relay) drop(c net.Conn, reset bool) {
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
	if t, ok := c.(*net.TCPConn); ok && reset {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// stream passes one TCP connection on, both ways, until either way ends.
func (r *Relay) stream(in net.Conn) {
	// First, so that a connect which is seen to have come has met what there was then.
	f, change := r.To.now()
	g, other := r.Back.now()
	if !r.keep(in) {
		return
	}
	reset := false
	defer func() { r.drop(in, reset) }()
	if f.Cut || g.Cut { // a connect needs both ways; who asked hears nothing, and it has come to nothing by the end of the cut
		select {
		case <-change:
		case <-other:
		case <-r.stop:
		}
		reset = true
		return
	}
	target := r.aim()
	if target == nil {
		return
	}
	dial := net.Dialer{Timeout: 5 * time.Second}
	if r.From != "" {
		dial.LocalAddr = &net.TCPAddr{IP: net.ParseIP(r.From)}
	}
	out, err := dial.Dial("tcp4", target.String())
	if err != nil {
		reset = true
		return
	}
	if !r.keep(out) {
		return
	}
	defer func() { r.drop(out, reset) }()
	done := make(chan struct{})
	ends := make(chan error, 2)
	go func() { ends <- r.To.copy(out, in, done, r.stop) }()
	go func() { ends <- r.Back.copy(in, out, done, r.stop) }()
	err = <-ends
	left := 1
	if errors.Is(err, errUnread) {
		select {
		case err = <-ends:
			left = 0
		case <-time.After(time.Second):
		}
	}
	close(done)
	// An end by reset shows as one; an ordinary end passes what was written before.
	reset = !errors.Is(err, io.EOF) && !errors.Is(err, errUnread)
	for _, c := range []net.Conn{in, out} {
		if t, ok := c.(*net.TCPConn); ok && reset {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	for range left {
		<-ends
	}
}

// Break ends all streams that are open now, as a reset does.
func (r *Relay) Break() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close ends the relay and waits for all that it started.
func (r *Relay) Close() {
	r.mu.Lock()
	if r.ended {
		r.mu.Unlock()
		return
	}
	r.ended = true
	close(r.stop)
	for c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.To.end()
	r.Back.end()
	_ = r.streams.Close()
	if r.packets != nil {
		_ = r.packets.Close()
	}
	r.work.Wait()
}
