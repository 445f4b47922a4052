package keeper

import "math"

// The sketch's size: cells in sets of ways. A number shares a set with those of the same low bits of its hash.
const (
	sketchSets = 256
	ways       = 4
	epoch      = 5_000_000 // counts are halved so often, in microseconds
)

// set counts up to four numbers, by their hashes. It is one line of the processor's cache.
type set struct {
	hash  [ways]uint64
	count [ways]uint32 // orders, halved every epoch; over the true count by at most err
	err   [ways]uint16
	busy  [ways]uint8 // busy ends, halved every epoch
	epoch uint32
}

// sketch finds the numbers asked for most in bounded memory: space-saving with decay, in sets so that a touch looks at few
// cells and allocates nothing. A number that is not held takes the place of the least of its set, and inherits its count.
type sketch struct {
	sets  [sketchSets]set
	epoch uint32
	until int64 // of this epoch
}

// touch counts an order, and returns where.
func (s *sketch) touch(hash uint64, now int64) (*set, int) {
	if now >= s.until {
		s.epoch = uint32(now / epoch)
		s.until = (now/epoch + 1) * epoch
	}
	c := &s.sets[hash%sketchSets]
	if c.epoch != s.epoch {
		c.decay(s.epoch)
	}
	// Written out, for most touches find nothing, and what is least can't be foretold: no branch depends on it.
	i := 0
	switch hash {
	case c.hash[0]:
	case c.hash[1]:
		i = 1
	case c.hash[2]:
		i = 2
	case c.hash[3]:
		i = 3
	default:
		i = c.least()
		c.hash[i], c.err[i], c.busy[i] = hash, uint16(min(c.count[i], math.MaxUint16)), 0
	}
	c.count[i]++
	return c, i
}

// least is where the fewest orders are counted.
func (c *set) least() int {
	i, n := 0, c.count[0]
	if c.count[1] < n {
		i = 1
	}
	n = min(n, c.count[1])
	if c.count[2] < n {
		i = 2
	}
	n = min(n, c.count[2])
	if c.count[3] < n {
		i = 3
	}
	return i
}

func (c *set) decay(e uint32) {
	by := e - c.epoch
	for i := range c.count {
		c.count[i], c.err[i], c.busy[i] = c.count[i]>>by, c.err[i]>>by, c.busy[i]>>by
	}
	c.epoch = e
}

// ranOut counts a busy end, and returns how many there were lately, and how many orders at the least.
func (s *sketch) ranOut(hash uint64, now int64) (busy, orders uint32) {
	c, i := s.touch(hash, now)
	c.count[i]--
	c.busy[i] += min(1, math.MaxUint8-c.busy[i])
	return uint32(c.busy[i]), c.sure(i)
}

// sure is how many orders there were at the least.
func (c *set) sure(i int) uint32 { return c.count[i] - uint32(c.err[i]) }
