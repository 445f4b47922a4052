package keeper

import "math"

// The size of the sketch: a set-associative table. Numbers whose hashes have the same low bits share a set.
const (
	sketchSets  = 256
	ways        = 4
	epochLength = 5_000_000 // counts are halved at this interval, in microseconds
)

// counterSet counts up to four numbers by their hashes. It fills one cache line of the processor.
type counterSet struct {
	hash      [ways]uint64
	count     [ways]uint32 // set-ups, halved every epoch; exceeds the true count by at most overcount
	overcount [ways]uint16
	busy      [ways]uint8 // set-ups that ended busy, halved every epoch
	epoch     uint32
}

// sketch finds the most requested numbers in bounded memory. It is space-saving with decay, in sets, so that a count
// looks at few cells and allocates nothing. A number that has no cell replaces the one with the lowest count of its
// set, and inherits that count.
type sketch struct {
	sets     [sketchSets]counterSet
	epoch    uint32
	epochEnd int64 // end of this epoch
}

// add counts a set-up, and returns its cell.
func (s *sketch) add(hash uint64, now int64) (*counterSet, int) {
	if now >= s.epochEnd {
		s.epoch = uint32(now / epochLength)
		s.epochEnd = (now/epochLength + 1) * epochLength
	}
	c := &s.sets[hash%sketchSets]
	if c.epoch != s.epoch {
		c.decay(s.epoch)
	}
	// Written out without branches that depend on the counts: most lookups find nothing, and which count is lowest is
	// unpredictable.
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
		i = c.minIndex()
		c.hash[i], c.overcount[i], c.busy[i] = hash, uint16(min(c.count[i], math.MaxUint16)), 0
	}
	c.count[i]++
	return c, i
}

// minIndex returns the index of the lowest count.
func (c *counterSet) minIndex() int {
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

func (c *counterSet) decay(e uint32) {
	by := e - c.epoch
	for i := range c.count {
		c.count[i], c.overcount[i], c.busy[i] = c.count[i]>>by, c.overcount[i]>>by, c.busy[i]>>by
	}
	c.epoch = e
}

// countBusy counts a set-up that ended busy, and returns the recent number of these and the least number of set-ups.
func (s *sketch) countBusy(hash uint64, now int64) (busy, orders uint32) {
	c, i := s.add(hash, now)
	c.count[i]--
	c.busy[i] += min(1, math.MaxUint8-c.busy[i])
	return uint32(c.busy[i]), c.minCount(i)
}

// minCount returns the least number of set-ups that there can have been.
func (c *counterSet) minCount(i int) uint32 { return c.count[i] - uint32(c.overcount[i]) }
