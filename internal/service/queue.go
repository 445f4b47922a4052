package service

import (
	"math"
	"sync"

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
	taken    int                // most of accepted of one kind; see session.Taken
	places   int                // callers that may be accepted until the loop has been through what it took; see session.Places
	waiting  map[state.Conn]int // bytes of each connection; over perConn: given up
	wake     chan struct{}
	// What came is copied behind each other into one slab, and is good until the next take; by turns with the one that
	// the loop is reading.
	slab, reading []byte
	spare         int // takes in a row that left most of a large slab unused
}

// A slab of more than maxSlab bytes is let go once so many takes in a row have left most of it unused. Guards against
// making it anew for each round of a jump, and against keeping it for good.
const maxSlab, maxSpare = 256 << 10, 64

func newQueue(memoryMB int64, sockets int) *queue {
	q := &queue{wake: make(chan struct{}, 1), waiting: map[state.Conn]int{}, accepted: map[session.ArrivalKind]int{}, taken: session.Taken(sockets), places: session.Taken(sockets),
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
		if c, _ := a.Conn.(*conn); c != nil {
			c.pending.Add(1)
		}
		if waiting+size > most {
			a.Kind, a.Data = session.Flooded, nil
		}
		q.bytes += size
		if a.Data != nil {
			from := len(q.slab)
			q.slab = append(q.slab, a.Data...)
			a.Data = q.slab[from:len(q.slab):len(q.slab)]
		}
	case session.Accepted, session.Asked: // each alone: callers by hundreds do not keep anyone off the second address
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

// reads notes that a connection is read from now. Under the lock, for what opened the connection has queued that there.
func (q *queue) reads(c *conn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c.pending.Add(1)
}

// done tells that the loop has been through what it took, and has places for so many more callers.
func (q *queue) done(items []session.Arrival, places int) {
	for _, a := range items {
		if c, _ := a.Conn.(*conn); c != nil && (a.Kind == session.Data || a.Kind == session.Flooded) {
			c.pending.Add(-1)
		}
	}
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
	q.places = 0
	clear(q.waiting)
	q.room.Broadcast()
	return items
}
