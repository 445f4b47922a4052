package keeper

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Table holds the numbers in contention for the call loop to read: an immutable map behind an atomic pointer. The
// Part stores a new map when a number is added or removed; the values of an entry are atomics.
type Table struct{ shelf atomic.Pointer[shelf] }

// tableSnapshot holds the entries by hash, and a bit filter that rules out most other numbers with a single read.
type shelf struct {
	bits  [64]uint64
	slots map[uint64]*slot
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	t.shelf.Store(&shelf{})
	return t
}

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.shelf.Load().slots) }

// find returns the entry of a number; nil: it is not in contention.
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

// replace stores other entries; only the Part calls it.
func (t *Table) replace(slots map[uint64]*slot) {
	b := &shelf{slots: slots}
	for hash := range slots {
		b.bits[hash>>58] |= 1 << (hash >> 52 & 63)
	}
	t.shelf.Store(b)
}

// Holds returns the lines of a number that this process holds: calls and set-ups admitted with a permit, those
// admitted without one, and unused permits that are still valid. It serves operators and tests.
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

// batch holds the permits of one grant. The loop takes permits from it; the Part takes the remaining ones back.
type batch struct {
	fence uint64
	until int64 // by this process's clock
	left  atomic.Int64
}

// tableEntry is one number in contention as the loop sees it.
type slot struct {
	hash uint64
	key  string

	// Written by the loop, read by the Part. Counts only grow; open, calls, fallback and waitingCount also decrease.
	wanted  atomic.Uint64 // set-ups for it
	refused atomic.Uint64 // set-ups refused here
	busy    atomic.Uint64 // set-ups under a permit that ended busy
	began   atomic.Uint64 // set-ups under a permit that became calls
	ended   atomic.Uint64 // calls and set-ups that are over
	open    atomic.Int64  // set-ups and calls: each holds a line
	calls   atomic.Int64  // of these, established calls
	plain   atomic.Int64  // of these, those without a permit
	held    atomic.Int64  // set-ups that wait here for a permit
	dirty   atomic.Bool   // a report of a change is queued already

	// Written by the Part, read by the loop.
	batches   atomic.Pointer[[]*batch]
	fence     atomic.Uint64 // highest seen
	noneUntil atomic.Int64  // no permit is available before
	stay      atomic.Int64  // microseconds that a caller is to stay away
	rate      atomic.Int64  // calls in 1000 s: this process's share of the lines' turnover
	lost      atomic.Bool   // the keeper does not answer

	// Used by the loop alone: token bucket for calls admitted without a permit while the keeper is unreachable.
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

// takePermit uses one unused permit that is valid and has the newest fence. The line counts as open before the permit
// is taken, so that a permit is never missing from both counts.
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

// unusedPermits returns the permits that the loop can still take.
func (s *slot) inHand() int64 {
	n := int64(0)
	for _, b := range *s.batches.Load() {
		n += max(0, b.left.Load())
	}
	return n
}

// addBatch adds a batch, and removeBatches takes back the batches that match; permits that the loop took until then
// count as open. Only the Part calls them.
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

// Kinds of reports from the loop to the Part.
const (
	reportChanged = iota + 1 // what is open has changed, or a set-up waits
	reportSeen               // a number that is not in the table repeatedly ended busy
)

// report is one report from the loop to the Part.
type report struct {
	kind int
	slot *slot
	key  string
	n    uint32 // recent set-ups, for reportContended
}

// Queue carries reports from the loop to the Part. It is bounded, and counts the reports that it drops.
type Queue struct {
	c       chan report
	wake    chan struct{}
	dropped atomic.Uint64
}

// NewQueue returns a queue with the given capacity; 4096 is plenty.
func NewQueue(room int) *Queue {
	return &Queue{c: make(chan report, room), wake: make(chan struct{}, 1)}
}

// Wake receives a value when the queue is not empty: the driver of the Part may then call its Tick before Next is
// due.
func (q *Queue) Wake() <-chan struct{} { return q.wake }

// Dropped returns how many reports found the queue full.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// push never blocks; false: the queue is full.
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
