// Package lease decides who alone may act on a thing for a while: by a majority of the thing's electors, on monotonic
// clocks of bounded drift, without a disk. It has no clock, goroutine or socket.
package lease

import "pewterwheel/internal/fleet"

// Grant is what a holder has.
type Grant struct {
	Fence uint64 // higher than that of every earlier holder; whoever is told to act refuses a lower one
	Until int64  // the holder acts before this alone, by its own clock
	Value []byte // the thing's record, the newest that a majority of its electors has stored
	Write uint64 // number of the write that stored it; 0: none
}

// Lessor is how the other parts of a process ask for leases. It is called from the goroutine of the parts alone.
type Lessor interface {
	// Claim asks for a thing, and goes on renewing it, until Release.
	Claim(now int64, thing string, out *fleet.Out)
	// Release gives a thing up, so that another may have it at once.
	Release(now int64, thing string, out *fleet.Out)
	// Held returns what this process holds now; false: it may not act.
	Held(now int64, thing string) (Grant, bool)
	// Write replaces the thing's record, while it is held; MaxRecord bytes at the most. It returns the write's number, and
	// the write has happened for every later holder once Held shows that number, or a higher one, under the same fence.
	Write(now int64, thing string, value []byte, out *fleet.Out) (uint64, error)
	// Holder is who was last heard to hold a thing, and under which number. It is a hint: nobody may act on it.
	Holder(thing string) (name string, fence uint64)
}

// MaxRecord bounds the record of a thing, in bytes.
const MaxRecord = 512
