// Package delivery decides on which callers' connections the release of an established call is sent, how often, and
// until when. It has no clock, goroutine or socket; times are microseconds of the caller's clock.
//
// The protocol names no client in a call and binds no established call to a connection. While the connection of the
// set-up is open, the release goes there: it certainly belongs to the call's client. Once that connection has ended,
// any other one may be that client's, so the release is retained in a Log for a fixed time and sent once on every
// connection that may belong to a client, also on those that open meanwhile. An acknowledgement is optional in the
// protocol and proves nothing about other connections, so none ends this; neither does a connection's source address
// play a part, because clients may share one.
//
// The load balancer's connections carry health tests alone, and a release would fail the test, so connections that have
// only tested are left out. A connection that has sent nothing yet may be either; it counts as a client's once its
// test, if it were the load balancer's, should have arrived.
package delivery

import (
	"maps"
	"slices"

	"pewterwheel/decide"
)

// Times in microseconds.
const (
	// Retention is how long a retained release is sent on further connections. The protocol wants it at the client 8 s
	// after the call's end at the latest; a client that was disconnected for longer is still told of it.
	Retention = 20_000_000
	// roundInterval is the shortest time between two rounds of deliveries, so that many releases share a write. A
	// release is due within 1 s.
	roundInterval = 100_000
	// silentGrace is how long a new connection without a message may still turn out to be the load balancer's. Together
	// with roundInterval it stays well below the second within which a release is due.
	silentGrace = 500_000
	// readWindow is how long before a client closes a connection a release that was written to it may not have been
	// read. Clients close an idle connection no earlier than 4 s after its last call ended, so that an ordinary close
	// leaves nothing in doubt.
	readWindow = 3_000_000
	// lostWindow replaces readWindow where the connection ended in another way.
	lostWindow = 8_000_000
)

// Bounds on state and work.
const (
	// maxRetained bounds the retained releases; the oldest are dropped. All of them take 60 KiB on a connection.
	maxRetained = 4096
	// maxUnconfirmed bounds the releases of one connection of which it is kept when they were sent.
	maxUnconfirmed = 4096
	// maxBatch bounds the releases sent on a connection in a round.
	maxBatch = 1024
	// copiesPerSecond bounds the copies of retained releases that are sent on all connections together, at 15 bytes
	// each.
	copiesPerSecond = 400_000
	// reservedCopies of these are kept for connections that are known to be clients': hundreds of silent connections
	// cannot delay a client that goes on asking.
	reservedCopies = copiesPerSecond / 2
)

const microsecondsPerSecond = 1_000_000

// Release is the release of an established call towards its client.
type Release struct {
	Call   uint64
	Cause  byte
	Office decide.ServerID // the office whose release is not acknowledged yet; empty: none waits for that
	// OfficeConn is the number of the connection on which the office released the call.
	OfficeConn uint32
}

// retainedRelease is a release in the log.
type retainedRelease struct {
	Release
	since int64 // when it was retained
}

// sentRelease is a release that was sent on the connection of the call's set-up and has not been acknowledged.
type sentRelease struct {
	cause byte
	at    int64
}

// Connection is what is known of one caller's connection. It is made by Log.Open.
type Connection struct {
	opened      int64
	closed      bool
	requested   bool                   // it has brought a request of a client
	tested      bool                   // it has brought a health test
	next        uint64                 // sequence number of the next retained release for it
	unconfirmed map[uint64]sentRelease // by call
}

// Requested notes a set-up or a release on the connection, which only clients send.
func (c *Connection) Requested() { c.requested = true }

// Tested notes a health test on the connection.
func (c *Connection) Tested() { c.tested = true }

// Buffers is the state of a connection's buffers at a decision.
type Buffers struct {
	Unread bool // received data was not processed yet, and may be a health test
	Unsent bool // written data has not left yet
}

// Log holds the releases whose client may not have been told, in the order in which they were retained, and the
// position of each connection in it. The zero value is an empty log.
type Log struct {
	entries   []retainedRelease
	first     uint64            // sequence number of entries[0]
	numbers   map[uint64]uint64 // sequence numbers of the entries, by call
	lastRound int64
	spent     int64 // copies sent, less those that the time since then allows
	spentAt   int64 // when spent was last reduced

	// Statistics.
	Retained uint64 // releases that were retained
	Copied   uint64 // copies of them that were sent
	Dropped  uint64 // releases dropped because too many were retained
}

// Open notes a new connection, on which every retained release is still to be sent.
func (l *Log) Open(now int64) Connection { return Connection{opened: now, next: l.first} }

// Release notes the end of a call. It reports whether the release is to be sent now on the connection of the call's
// set-up; otherwise it is retained. A nil connection is that of a call of a previous process.
func (l *Log) Release(release Release, setUpOn *Connection, now int64) bool {
	if setUpOn == nil || setUpOn.closed {
		l.retain(release, now)
		return false
	}
	if setUpOn.unconfirmed == nil {
		setUpOn.unconfirmed = map[uint64]sentRelease{}
	}
	if len(setUpOn.unconfirmed) < maxUnconfirmed {
		setUpOn.unconfirmed[release.Call] = sentRelease{cause: release.Cause, at: now}
	}
	return true
}

// Acknowledged notes that a client has acknowledged a release. It reports whether the release had been sent on that
// connection. What others are sent does not change: the client may have acknowledged a call that is not its own.
func (l *Log) Acknowledged(c *Connection, call uint64) bool {
	if _, sent := c.unconfirmed[call]; sent {
		delete(c.unconfirmed, call)
		return true
	}
	number, retained := l.numbers[call]
	return retained && number < c.next
}

// Close notes the end of a connection. Releases that may not have been read are retained for the client's other
// connections. The end is orderly if the client closed the connection and all written data had left before.
func (l *Log) Close(c *Connection, orderly bool, now int64) {
	c.closed = true
	window := int64(lostWindow)
	if orderly {
		window = readWindow
	}
	for _, call := range slices.Sorted(maps.Keys(c.unconfirmed)) {
		if sent := c.unconfirmed[call]; now-sent.at <= window {
			l.retain(Release{Call: call, Cause: sent.cause}, now)
		}
	}
	c.unconfirmed = nil
}

func (l *Log) retain(release Release, now int64) {
	if l.Retains(release.Call) {
		return
	}
	if len(l.entries) == maxRetained {
		l.Dropped++
		l.removeOldest(1)
	}
	if l.numbers == nil {
		l.numbers = map[uint64]uint64{}
	}
	l.Retained++
	l.numbers[release.Call] = l.first + uint64(len(l.entries))
	l.entries = append(l.entries, retainedRelease{Release: release, since: now})
}

// Retains reports whether the release of a call is still being sent on further connections.
func (l *Log) Retains(call uint64) bool {
	_, retained := l.numbers[call]
	return retained
}

// Len returns the number of retained releases.
func (l *Log) Len() int { return len(l.entries) }

// StartRound reports whether releases are to be sent on all connections that Ready names, and if so starts the
// interval until the next such round.
func (l *Log) StartRound(now int64) bool {
	if len(l.entries) == 0 || now-l.lastRound < roundInterval {
		return false
	}
	l.lastRound = now
	return true
}

// Ready reports whether releases are waiting for a connection on which they may be sent, as far as its buffers allow
// it.
func (l *Log) Ready(c *Connection, now int64) bool {
	if !l.waiting(c) {
		return false
	}
	return c.requested || now-c.opened >= silentGrace
}

// Take returns the releases to send on a connection that is Ready, each once. The result is valid until the next call
// of any method.
func (l *Log) Take(c *Connection, buffers Buffers, now int64) []Release {
	if buffers.Unsent || !l.Ready(c, now) || !c.requested && buffers.Unread {
		return nil
	}
	return l.take(c, maxBatch, now)
}

// TakeLast returns the releases to send on a connection that is about to be closed by this side. A silent client may
// never be left connected for longer, for instance while others crowd it out, so silentGrace does not count; the load
// balancer's test would fail at such a connection in any case.
func (l *Log) TakeLast(c *Connection, buffers Buffers, now int64) []Release {
	if buffers.Unsent || !l.waiting(c) || !c.requested && buffers.Unread {
		return nil
	}
	return l.take(c, maxRetained, now)
}

// waiting reports whether a connection that may be a client's has not been sent all retained releases.
func (l *Log) waiting(c *Connection) bool {
	return !c.closed && (c.requested || !c.tested) && c.next < l.first+uint64(len(l.entries))
}

func (l *Log) take(c *Connection, most int, now int64) []Release {
	l.regain(now)
	allowed := copiesPerSecond - l.spent
	if !c.requested {
		allowed -= reservedCopies
	}
	c.next = max(c.next, l.first)
	waiting := l.entries[c.next-l.first:]
	count := max(0, min(int64(len(waiting)), int64(most), allowed))
	c.next += uint64(count)
	l.spent += count
	l.Copied += uint64(count)
	releases := make([]Release, 0, count)
	for _, entry := range waiting[:count] {
		releases = append(releases, entry.Release)
	}
	return releases
}

// regain makes the copies available again that the time since the last call allows.
func (l *Log) regain(now int64) {
	elapsed := min(now-l.spentAt, microsecondsPerSecond)
	l.spent = max(0, l.spent-elapsed*copiesPerSecond/microsecondsPerSecond)
	l.spentAt = now
}

// Expire removes the releases that were retained for long enough, and returns them so that their offices can be
// acknowledged: until then an office that was not acknowledged repeats its release to a next process.
func (l *Log) Expire(now int64) []Release {
	var expired []Release
	for _, entry := range l.entries {
		if now-entry.since < Retention {
			break
		}
		expired = append(expired, entry.Release)
	}
	l.removeOldest(len(expired))
	return expired
}

// ExpireSent forgets the releases that a connection was sent long enough ago to count as read.
func (l *Log) ExpireSent(c *Connection, now int64) {
	maps.DeleteFunc(c.unconfirmed, func(_ uint64, sent sentRelease) bool { return now-sent.at > lostWindow })
}

func (l *Log) removeOldest(count int) {
	for _, entry := range l.entries[:count] {
		delete(l.numbers, entry.Call)
	}
	l.first += uint64(count)
	l.entries = l.entries[count:]
	if len(l.entries) == 0 { // neither a slice nor a map shrinks by itself
		l.entries, l.numbers = nil, nil
	}
}
