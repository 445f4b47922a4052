package keeper

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Table holds the numbers in contention for the call loop to read: an immutable map behind an atomic pointer. The
// Module stores a new map when a number is added or removed; the values of an entry are atomics.
type Table struct{ snapshot atomic.Pointer[tableSnapshot] }

// tableSnapshot holds the entries by hash, and a bit filter that rules out most other numbers with a single read.
type tableSnapshot struct {
	filter  [64]uint64
	entries map[uint64]*tableEntry
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	t.snapshot.Store(&tableSnapshot{})
	return t
}

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.snapshot.Load().entries) }

// find returns the entry of a number; nil: it is not in contention.
func (t *Table) find(hash uint64, key string) *tableEntry {
	snapshot := t.snapshot.Load()
	if snapshot.filter[hash>>58]&(1<<(hash>>52&63)) == 0 {
		return nil
	}
	if entry := snapshot.entries[hash]; entry != nil && entry.key == key {
		return entry
	}
	return nil
}

// replace stores other entries; only the Module calls it.
func (t *Table) replace(entries map[uint64]*tableEntry) {
	snapshot := &tableSnapshot{entries: entries}
	for hash := range entries {
		snapshot.filter[hash>>58] |= 1 << (hash >> 52 & 63)
	}
	t.snapshot.Store(snapshot)
}

// HeldLines returns the lines of a number that this process holds: calls and set-ups admitted with a permit, those
// admitted without one, and unused permits that are still valid. It serves operators and tests.
func (t *Table) HeldLines(now int64, key string) (open, fallback, permits int64) {
	entry := t.find(hashOf(key), key)
	if entry == nil {
		return 0, 0, 0
	}
	for _, batch := range *entry.batches.Load() {
		if now < batch.expiresAt && batch.fence >= entry.fence.Load() {
			permits += max(0, batch.remaining.Load())
		}
	}
	fallback = entry.fallback.Load()
	return entry.open.Load() - fallback, fallback, permits
}

// batch holds the permits of one grant. The loop takes permits from it; the Module takes the remaining ones back.
type batch struct {
	fence     uint64
	expiresAt int64 // by this process's clock
	remaining atomic.Int64
}

// tableEntry is one number in contention as the loop sees it.
type tableEntry struct {
	hash uint64
	key  string

	// Written by the loop, read by the Module. Counts only grow; open, calls, fallback and waitingCount also decrease.
	requested    atomic.Uint64 // set-ups for it
	refused      atomic.Uint64 // set-ups refused here
	busy         atomic.Uint64 // set-ups under a permit that ended busy
	began        atomic.Uint64 // set-ups under a permit that became calls
	ended        atomic.Uint64 // calls and set-ups that are over
	open         atomic.Int64  // set-ups and calls: each holds a line
	calls        atomic.Int64  // of these, established calls
	fallback     atomic.Int64  // of these, those without a permit
	waitingCount atomic.Int64  // set-ups that wait here for a permit
	reportQueued atomic.Bool   // a report of a change is queued already

	// Written by the Module, read by the loop.
	batches          atomic.Pointer[[]*batch]
	fence            atomic.Uint64 // highest seen
	noPermitUntil    atomic.Int64  // no permit is available before
	callerRetryAfter atomic.Int64  // microseconds that a caller is to stay away
	turnoverShare    atomic.Int64  // calls in 1000 s: this process's share of the lines' turnover
	ownerUnreachable atomic.Bool   // the owner does not answer

	// Used by the loop alone: token bucket for calls admitted without a permit while the owner is unreachable.
	tokens     float64
	refilledAt int64
	waiting    []*trackedCall
}

func hashOf(key string) uint64 { return xxhash.Sum64String(key) }

func newTableEntry(key string) *tableEntry {
	entry := &tableEntry{hash: hashOf(key), key: key}
	entry.batches.Store(&[]*batch{})
	return entry
}

// takePermit uses one unused permit that is valid and has the newest fence. The line counts as open before the permit
// is taken, so that a permit is never missing from both counts.
func (e *tableEntry) takePermit(now int64, disabled *disabledSafeguards) bool {
	batches := *e.batches.Load()
	if len(batches) == 0 {
		return false
	}
	e.open.Add(1)
	fence := e.fence.Load()
	for _, batch := range batches {
		if batch.fence < fence && !disabled.noFencing || now >= batch.expiresAt && !disabled.noPermitExpiry {
			continue
		}
		for remaining := batch.remaining.Load(); remaining > 0; remaining = batch.remaining.Load() {
			if batch.remaining.CompareAndSwap(remaining, remaining-1) {
				return true
			}
		}
	}
	e.open.Add(-1)
	return false
}

// unusedPermits returns the permits that the loop can still take.
func (e *tableEntry) unusedPermits() int64 {
	total := int64(0)
	for _, batch := range *e.batches.Load() {
		total += max(0, batch.remaining.Load())
	}
	return total
}

// addBatch adds a batch, and removeBatches takes back the batches that match; permits that the loop took until then
// count as open. Only the Module calls them.
func (e *tableEntry) addBatch(added *batch) {
	batches := append([]*batch{}, *e.batches.Load()...)
	batches = append(batches, added)
	e.batches.Store(&batches)
}

func (e *tableEntry) removeBatches(matches func(*batch) bool) (returned int64) {
	var remaining []*batch
	for _, batch := range *e.batches.Load() {
		switch {
		case matches(batch):
			returned += max(0, batch.remaining.Swap(0))
		case batch.remaining.Load() > 0:
			remaining = append(remaining, batch)
		}
	}
	e.batches.Store(&remaining)
	return returned
}

// Kinds of reports from the loop to the Module.
const (
	reportChanged   = iota + 1 // what is open has changed, or a set-up waits
	reportContended            // a number that is not in the table repeatedly ended busy
)

// report is one report from the loop to the Module.
type report struct {
	kind         int
	entry        *tableEntry
	key          string
	recentSetUps uint32 // recent set-ups, for reportContended
}

// Queue carries reports from the loop to the Module. It is bounded, and counts the reports that it drops.
type Queue struct {
	reports chan report
	wake    chan struct{}
	dropped atomic.Uint64
}

// NewQueue returns a queue with the given capacity; 4096 is plenty.
func NewQueue(capacity int) *Queue {
	return &Queue{reports: make(chan report, capacity), wake: make(chan struct{}, 1)}
}

// Wake receives a value when the queue is not empty: the driver of the Module may then call its Tick before Next is
// due.
func (q *Queue) Wake() <-chan struct{} { return q.wake }

// Dropped returns how many reports found the queue full.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// push never blocks; false: the queue is full.
func (q *Queue) push(r report) bool {
	select {
	case q.reports <- r:
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
