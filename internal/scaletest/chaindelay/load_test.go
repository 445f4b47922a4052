package chaindelay

import (
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"

	"pewterwheel/internal/wire"
)

const (
	// connections is over how many connections a path's calls are spread; each may have 256 set-ups open.
	connections = 8
	callerWait  = 6 * time.Second
	// longestDelay is in microseconds, as all delays here.
	longestDelay = 60_000_000
)

// lastCall is the last call id that was given to a call.
var lastCall atomic.Uint64

// result is what became of calls.
type result struct {
	offered, answered, refused, failed int
	repeated                           int // final answers to a call that had one
	unanswered                         int
	delays                             *hdrhistogram.Histogram // of answered calls, from when each was to be sent
	lateness                           *hdrhistogram.Histogram // how late calls were sent
}

func newResult() *result {
	return &result{delays: hdrhistogram.New(1, longestDelay, 3), lateness: hdrhistogram.New(1, longestDelay, 3)}
}

func (r *result) add(other *result) {
	r.offered += other.offered
	r.answered += other.answered
	r.refused += other.refused
	r.failed += other.failed
	r.repeated += other.repeated
	r.unanswered += other.unanswered
	r.delays.Merge(other.delays)
	r.lateness.Merge(other.lateness)
}

// sound tells whether each call had exactly one final answer.
func (r *result) sound() bool {
	return r.unanswered == 0 && r.repeated == 0 && r.answered+r.refused+r.failed == r.offered && r.answered > 0
}

// path is a way to the office: connections to what stands first on it.
type path struct {
	name    string
	callers []*caller
}

// dialPath connects to what stands first on a path, and passes some calls.
func dialPath(t *testing.T, name, address string) *path {
	t.Helper()
	p := &path{name: name}
	for range connections {
		conn, err := net.DialTimeout("tcp4", address, patience)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		p.callers = append(p.callers, &caller{reader: messageReader{conn: conn}})
	}
	// A controller ends connections that ask for nothing in their first 2 s.
	if first := p.offer(connections*10, time.Second, 0); !first.sound() {
		t.Fatalf("%s: the first calls: %+v", name, first)
	}
	return p
}

// span is a number of calls that are offered at one rate.
type span struct {
	rate    int // calls a second
	calls   int
	skipped int // of the first so many calls no delay is noted
	first   uint64
	begin   time.Time
}

func (s *span) due(index int) time.Time {
	return s.begin.Add(time.Duration(index) * time.Second / time.Duration(s.rate))
}

// offer offers calls at a rate, whatever comes back, and waits until all have their answers or could have.
func (p *path) offer(rate int, duration, lead time.Duration) *result {
	s := &span{rate: rate, calls: int(duration.Seconds() * float64(rate)), skipped: int(lead.Seconds() * float64(rate))}
	s.first = lastCall.Add(uint64(s.calls)) - uint64(s.calls) + 1
	s.begin = time.Now().Add(20 * time.Millisecond)
	limit := s.begin.Add(duration + callerWait + time.Second)
	var reading sync.WaitGroup
	for number, c := range p.callers {
		c.prepare(s, number, len(p.callers))
		reading.Go(func() { c.read(limit) })
	}
	total := newResult()
	total.offered = s.calls
	p.send(s, total.lateness)
	reading.Wait()
	for _, c := range p.callers {
		c.result.unanswered = c.open
		total.add(c.result)
	}
	return total
}

// send sends each call when it is due. It keeps a thread to itself, which sleeps in the system: a sleep of the Go
// scheduler may last a millisecond longer than it should.
func (p *path) send(s *span, lateness *hdrhistogram.Histogram) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for index := 0; index < s.calls; {
		sleepUntil(s.due(index))
		now := time.Now()
		for ; index < s.calls && !s.due(index).After(now); index++ {
			c := p.callers[index%len(p.callers)]
			c.out = appendSetUp(c.out, s.first+uint64(index))
			if index >= s.skipped {
				_ = lateness.RecordValue(max(1, now.Sub(s.due(index)).Microseconds()))
			}
		}
		for _, c := range p.callers {
			if len(c.out) > 0 {
				_ = c.write(c.out) // on failure its reader finds the calls unanswered
				c.out = c.out[:0]
			}
		}
	}
}

func sleepUntil(due time.Time) {
	for left := time.Until(due); left > 0; left = time.Until(due) {
		rest := unix.NsecToTimespec(left.Nanoseconds())
		_ = unix.Nanosleep(&rest, nil) // interrupted: the rest is slept in the next round
	}
}

func appendSetUp(out []byte, call uint64) []byte {
	message := controllersSetUp(call)
	message.Params = append(message.Params, information)
	out, _ = message.Append(out) // it is never too long
	return out
}

// caller is one connection of a path.
type caller struct {
	reader messageReader
	out    []byte // the sender's alone
	writes sync.Mutex

	span    *span
	number  int    // the caller has the calls whose index is this, modulo the number of callers
	of      int    // the number of callers
	open    int    // calls without their final answer
	settled []bool // by place among the caller's calls
	result  *result
}

// prepare makes the caller ready for its part of a span of calls.
func (c *caller) prepare(s *span, number, of int) {
	c.span = s
	c.number = number
	c.of = of
	c.open = (s.calls - number + of - 1) / of
	c.settled = make([]bool, c.open)
	c.result = newResult()
}

func (c *caller) write(b []byte) error {
	c.writes.Lock()
	defer c.writes.Unlock()
	_, err := c.reader.conn.Write(b)
	return err
}

// read takes the answers to the caller's calls until all are there, or the time is over. Calls end as they stand.
func (c *caller) read(limit time.Time) {
	_ = c.reader.conn.SetReadDeadline(limit)
	var out []byte
	for c.open > 0 {
		message, err := c.reader.next()
		if err != nil {
			return
		}
		out = c.take(out[:0], message)
		if len(out) > 0 && c.write(out) != nil {
			return
		}
	}
}

// take notes a message and appends what is to be said to it.
func (c *caller) take(out []byte, message wire.Message) []byte {
	if message.Type != wire.TypeAnswer && message.Type != wire.TypeRelease {
		return out
	}
	index := int(message.Call - c.span.first)
	place := index / c.of
	if message.Call < c.span.first || index >= c.span.calls || index%c.of != c.number || c.settled[place] {
		c.result.repeated++
		return out
	}
	c.settled[place] = true
	c.open--
	switch {
	case message.Type == wire.TypeAnswer:
		c.result.answered++
		if delay := c.reader.at.Sub(c.span.due(index)).Microseconds(); index >= c.span.skipped {
			_ = c.result.delays.RecordValue(max(1, delay))
		}
		out, _ = wire.ReleaseOf(message.Call, wire.CauseNormal).Append(out)
		return out
	case message.Cause() == wire.CauseFull, message.Cause() == wire.CauseCongestion, message.Cause() == wire.CauseMoot:
		c.result.refused++
	default:
		c.result.failed++
	}
	return wire.AppendHeard(out, message.Call)
}

// messageReader reads messages from a connection, and notes when the last bytes came.
type messageReader struct {
	conn   net.Conn
	buffer []byte
	chunk  [64 << 10]byte
	at     time.Time
}

// next reads one message; its values are good until the next one.
func (r *messageReader) next() (wire.Message, error) {
	for {
		message, size, err := wire.Next(r.buffer)
		if err != nil {
			return message, err
		}
		if size > 0 {
			r.buffer = r.buffer[size:]
			return message, nil
		}
		count, err := r.conn.Read(r.chunk[:])
		if err != nil {
			return message, err
		}
		r.at = time.Now()
		r.buffer = append(append(make([]byte, 0, len(r.buffer)+count), r.buffer...), r.chunk[:count]...)
	}
}
