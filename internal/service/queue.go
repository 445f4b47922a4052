package service

import (
	"math"
	"sync"
	"sync/atomic"

	"github.com/lesismal/nbio"

	"pewterwheel/internal/session"
	"pewterwheel/internal/state"
)

const (
	// perConn bounds the bytes of one caller's connection that wait for the loop. Guards against one sender at full
	// speed filling the queue for all: past it the connection is given up. What came in one read counts for arrivalSize
	// more, or a sender of single bytes would fill memory all the same. A connection that was opened from here has no
	// such bound: an office's is everybody's, and in a jump of calls the answers of a tenth of a second are more. A usual
	// caller is not given up for a jump of its calls either: whoever reads waits for the loop, and so does the caller.
	perConn     = 2 * readBuffer
	arrivalSize = 256
	// queuePart of the memory limit is what may wait for the loop in all; leastQueue where that is small.
	queuePart, leastQueue = 1.0 / 16, 1 << 20
)

// queue hands arrivals from the network's goroutines to the loop.
type queue struct {
	mu       sync.Mutex
	room     sync.Cond
	items    []session.Arrival
	most     int // bytes
	bytes    int
	accepted map[session.ArrivalKind]int
	taken    int                // most of accepted of one kind; see session.AcceptLimit
	places   int                // callers that may be accepted until the loop has been through what it took; see session.Places
	waiting  map[state.Conn]int // bytes of each connection; over perConn: given up
	playing  map[state.Conn]int // the same of what the last take gave
	wake     chan struct{}
	// The connection from which the engine's one poller reads, or of which it hands on what it has read; nil: none.
	inHand atomic.Pointer[nbio.Conn]
	// What came is copied behind each other into one slab, and is good until the next take; by turns with the one that
	// the loop is reading.
	slab, reading []byte
	spare         int // takes in a row that left most of a large slab unused
}

// A slab of more than maxSlab bytes is let go once so many takes in a row have left most of it unused. Guards against
// making it anew for each round of a jump, and against keeping it for good.
const maxSlab, maxSpare = 256 << 10, 64

func newQueue(memoryMB int64, sockets int) *queue {
	q := &queue{wake: make(chan struct{}, 1), waiting: map[state.Conn]int{}, playing: map[state.Conn]int{}, accepted: map[session.ArrivalKind]int{},
		taken: session.AcceptLimit(sockets), places: session.AcceptLimit(sockets),
		most: max(leastQueue, int(queuePart*float64(memoryMB<<20)))}
	q.room.L = &q.mu
	return q
}

// put adds an arrival and waits while the queue is full. What it holds is copied.
func (q *queue) put(a session.Arrival) {
	q.mu.Lock()
	switch a.Kind {
	case session.Data:
		for q.bytes > q.most {
			q.room.Wait()
		}
		waiting, most := q.waiting[a.Conn], perConn
		if c, _ := a.Conn.(*conn); c != nil && (c.ours || c.trusted.Load()) {
			for most = math.MaxInt; !c.ours && waiting > perConn; waiting = q.waiting[a.Conn] {
				q.room.Wait()
			}
		}
		if waiting > most {
			q.mu.Unlock()
			return // the loop has been told
		}
		size := len(a.Data) + arrivalSize
		q.waiting[a.Conn] = waiting + size
		if waiting+size > most {
			a.Kind, a.Data = session.InputOverflow, nil
		}
		q.bytes += size
		if a.Data != nil {
			from := len(q.slab)
			q.slab = append(q.slab, a.Data...)
			a.Data = q.slab[from:len(q.slab):len(q.slab)]
		}
	case session.Closed:
		q.waiting[a.Conn] += arrivalSize
	case session.Accepted, session.ControlAccepted: // each alone: callers by hundreds do not keep anyone off the second address
		for q.accepted[a.Kind] >= q.taken || a.Kind == session.Accepted && q.accepted[a.Kind] >= q.places {
			q.room.Wait()
		}
		q.accepted[a.Kind]++
	}
	q.items = append(q.items, a)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default: // it is awake already
	}
}

// done tells that the loop has been through what it took, and has places for so many more callers.
func (q *queue) done(places int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.places = places
	q.room.Broadcast()
}

// take returns all that waits, whose data is good until the next take; buf is reused for what comes next.
func (q *queue) take(buf []session.Arrival) []session.Arrival {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	clear(buf)
	q.items, q.bytes = buf[:0], 0
	if cap(q.reading) > maxSlab {
		if q.spare++; len(q.slab) > cap(q.reading)/4 {
			q.spare = 0
		}
		if q.spare > maxSpare {
			q.reading, q.spare = nil, 0
		}
	}
	q.slab, q.reading = q.reading[:0], q.slab
	clear(q.accepted)
	clear(q.playing)
	q.waiting, q.playing = q.playing, q.waiting
	q.places = 0
	q.room.Broadcast()
	return items
}

// holds tells whether anything of a connection waits for the loop, or, played, is among what the loop is playing. Guards
// against ending a connection as idle in the round that has its set-up.
func (q *queue) holds(c *conn, played bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if played {
		return q.playing[c] > 0
	}
	return q.waiting[c] > 0
}
