package keeper

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Table is what the loop of calls reads of the numbers in contention: an immutable map behind an atomic pointer. The part
// puts a new map in place when a number comes or goes; the figures in an entry are atomics.
type Table struct{ shelf atomic.Pointer[shelf] }

// shelf is the entries by hash, and a bit for each that says most of the others are not there at the price of one look.
type shelf struct {
	bits  [64]uint64
	slots map[uint64]*slot
}

// NewTable returns a table in which no number is.
func NewTable() *Table {
	t := &Table{}
	t.shelf.Store(&shelf{})
	return t
}

// Len is how many numbers are in it.
func (t *Table) Len() int { return len(t.shelf.Load().slots) }

// find returns a number's entry; nil: it is not in contention.
func (t *Table) find(hash uint64, key string) *slot {
	b := t.shelf.Load()
	if b.bits[hash>>58]&(1<<(hash>>52&63)) == 0 {
		return nil
	}
	if s := b.slots[hash]; s != nil && s.key == key {
		return s
	}
	return nil
}

// replace puts other entries in place; only the part does.
func (t *Table) replace(slots map[uint64]*slot) {
	b := &shelf{slots: slots}
	for hash := range slots {
		b.bits[hash>>58] |= 1 << (hash >> 52 & 63)
	}
	t.shelf.Store(b)
}

// Holds is what this process holds of a number's lines: calls and set-ups that came under a permit, those that went without
// one, and permits in hand that are valid yet. It is for staff and tests.
func (t *Table) Holds(now int64, key string) (open, plain, permits int64) {
	s := t.find(hashOf(key), key)
	if s == nil {
		return 0, 0, 0
	}
	for _, b := range *s.batches.Load() {
		if now < b.until && b.fence >= s.fence.Load() {
			permits += max(0, b.left.Load())
		}
	}
	plain = s.plain.Load()
	return s.open.Load() - plain, plain, permits
}

// batch is permits of one grant. The loop takes from it, the part takes back what is left.
type batch struct {
	fence uint64
	until int64 // by this process's clock
	left  atomic.Int64
}

// slot is one number in contention as the loop sees it.
type slot struct {
	hash uint64
	key  string

	// The loop writes these, the part reads them. Counts grow, open and calls go up and down.
	wanted  atomic.Uint64 // orders for it
	refused atomic.Uint64 // orders turned away here
	busy    atomic.Uint64 // set-ups under a permit that ended busy
	began   atomic.Uint64 // set-ups under a permit that became calls
	ended   atomic.Uint64 // calls and set-ups that are over
	open    atomic.Int64  // set-ups and calls: each holds a line
	calls   atomic.Int64  // of them, calls that stand
	plain   atomic.Int64  // of them, those without a permit
	held    atomic.Int64  // orders that wait here for a permit
	dirty   atomic.Bool   // a report of a change is on its way already

	// The part writes these, the loop reads them.
	batches   atomic.Pointer[[]*batch]
	fence     atomic.Uint64 // the highest seen
	noneUntil atomic.Int64  // no permit is to be had before
	stay      atomic.Int64  // microseconds that a caller is to stay away
	rate      atomic.Int64  // calls in a thousand seconds that are this process's share of the lines' turnover
	lost      atomic.Bool   // the keeper does not answer

	// The loop's own: calls that may go the ordinary way while the keeper can't be reached.
	tokens  float64
	filled  int64
	waiting []*call
}

func hashOf(key string) uint64 { return xxhash.Sum64String(key) }

func newSlot(key string) *slot {
	s := &slot{hash: hashOf(key), key: key}
	s.batches.Store(&[]*batch{})
	return s
}

// take uses one permit that is in hand, valid and of the newest fence.
// Guards against a permit that is counted nowhere for a moment: it is open before it leaves the hand.
func (s *slot) take(now int64, d *doctor) bool {
	bs := *s.batches.Load()
	if len(bs) == 0 {
		return false
	}
	s.open.Add(1)
	fence := s.fence.Load()
	for _, b := range bs {
		if b.fence < fence && !d.noFence || now >= b.until && !d.noExpiry {
			continue
		}
		for n := b.left.Load(); n > 0; n = b.left.Load() {
			if b.left.CompareAndSwap(n, n-1) {
				return true
			}
		}
	}
	s.open.Add(-1)
	return false
}

// inHand is the permits that the loop could still take.
func (s *slot) inHand() int64 {
	n := int64(0)
	for _, b := range *s.batches.Load() {
		n += max(0, b.left.Load())
	}
	return n
}

// add puts a batch in hand, and retire takes back batches for which over says so; what the loop had taken by then counts as
// open. Both only by the part.
func (s *slot) add(b *batch) {
	bs := append([]*batch{}, *s.batches.Load()...)
	bs = append(bs, b)
	s.batches.Store(&bs)
}

func (s *slot) retire(over func(*batch) bool) (back int64) {
	var keep []*batch
	for _, b := range *s.batches.Load() {
		switch {
		case over(b):
			back += max(0, b.left.Swap(0))
		case b.left.Load() > 0:
			keep = append(keep, b)
		}
	}
	s.batches.Store(&keep)
	return back
}

// What the loop tells the part.
const (
	reportChanged = iota + 1 // what is open has changed, or an order waits
	reportSeen               // a number not in the table ended busy again and again
)

// report is one thing that the loop tells the part.
type report struct {
	kind int
	slot *slot
	key  string
	n    uint32 // orders lately, for reportSeen
}

// Queue carries reports from the loop to the part. It is bounded, and counts what it drops.
type Queue struct {
	c       chan report
	wake    chan struct{}
	dropped atomic.Uint64
}

// NewQueue returns a queue with room for so many reports; 4096 is plenty.
func NewQueue(room int) *Queue {
	return &Queue{c: make(chan report, room), wake: make(chan struct{}, 1)}
}

// Wake gets a value when something is in the queue: whoever drives the part may then call its Tick before Next says so.
func (q *Queue) Wake() <-chan struct{} { return q.wake }

// Dropped is how many reports had no room.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// push never waits; false: there was no room.
func (q *Queue) push(r report) bool {
	select {
	case q.c <- r:
	default:
		q.dropped.Add(1)
		return false
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return true
}
