package fleetnet

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxRepeats is how many of the last entries and updates are known again, and as many of before.
const maxRepeats = 2048

// repeats knows the entries and updates again that came last: gossip brings each several times, and the copies cost as much
// to read as the first. What is taken for a repeat by chance, or came too early to be of use, comes by repair.
type repeats struct {
	mu            sync.Mutex
	newer, former map[uint64]struct{}
	passedBy      uint64
}

// again tells whether the same bytes came lately.
func (r *repeats) again(b []byte) bool {
	sum := xxhash.Sum64(b)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, isNewer := r.newer[sum]
	_, isFormer := r.former[sum]
	if isNewer || isFormer {
		r.passedBy++
		return true
	}
	if r.newer == nil || len(r.newer) >= maxRepeats {
		r.newer, r.former = make(map[uint64]struct{}), r.newer
	}
	r.newer[sum] = struct{}{}
	return false
}

// count is how many were passed by.
func (r *repeats) count() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.passedBy
}
