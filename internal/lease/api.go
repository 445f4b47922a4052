// Package lease decides which single process may act on a resource for a limited time: by a majority of the resource's
// electors, on monotonic clocks of bounded drift, without disk storage. It has no clock, goroutine or socket of its
// own.
package lease

import "pewterwheel/internal/fleet"

// Grant is a lease held by this process.
type Grant struct {
	// Fencing number, higher than that of every earlier holder; the receiver of an action refuses a lower one.
	Fence uint64
	Until int64  // the holder acts only before this time, by its own clock
	Value []byte // record of the resource, the newest that a majority of its electors has stored
	Write uint64 // number of the write that stored it; 0: none
}

// Client is the interface through which other modules of the process use leases. It is called only from the modules'
// goroutine.
type Client interface {
	// Claim requests a lease on a resource and keeps renewing it until Release.
	Claim(now int64, resource string, out *fleet.Out)
	// Release gives up the lease, so that another process can claim the resource at once.
	Release(now int64, resource string, out *fleet.Out)
	// Held returns the current grant of this process; if it returns false, the process may not act.
	Held(now int64, resource string) (Grant, bool)
	// Write replaces the record of a resource while its lease is held; at most MaxRecord bytes. It returns the number
	// of the write. The write has taken effect for every later holder once Held returns this number or a higher one
	// under the same fence.
	Write(now int64, resource string, value []byte, out *fleet.Out) (uint64, error)
	// Holder returns the last known holder of a resource and its fence. It is only a hint: nothing may act on it.
	Holder(resource string) (name string, fence uint64)
}

// MaxRecord is the maximum size of a resource's record in bytes.
const MaxRecord = 512
