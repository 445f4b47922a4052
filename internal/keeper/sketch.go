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

// sketch finds the most requested numbers in bounded memory. It runs the space-saving algorithm with decay in each set,
// so that a count looks at few cells and allocates nothing. A number that has no cell replaces the one with the lowest
// count of its set, and inherits that count.
type sketch struct {
	sets     [sketchSets]counterSet
	epoch    uint32
	epochEnd int64
}

// add counts a set-up, and returns its cell.
func (s *sketch) add(hash uint64, now int64) (*counterSet, int) {
	if now >= s.epochEnd {
		s.epoch = uint32(now / epochLength)
		s.epochEnd = (now/epochLength + 1) * epochLength
	}
	set := &s.sets[hash%sketchSets]
	if set.epoch != s.epoch {
		set.decay(s.epoch)
	}
	// Written out without branches that depend on the counts: most lookups find nothing, and which count is lowest is
	// unpredictable.
	i := 0
	switch hash {
	case set.hash[0]:
	case set.hash[1]:
		i = 1
	case set.hash[2]:
		i = 2
	case set.hash[3]:
		i = 3
	default:
		i = set.minIndex()
		set.hash[i], set.overcount[i], set.busy[i] = hash, uint16(min(set.count[i], math.MaxUint16)), 0
	}
	set.count[i]++
	return set, i
}

// minIndex returns the index of the lowest count.
func (c *counterSet) minIndex() int {
	i, lowest := 0, c.count[0]
	if c.count[1] < lowest {
		i = 1
	}
	lowest = min(lowest, c.count[1])
	if c.count[2] < lowest {
		i = 2
	}
	lowest = min(lowest, c.count[2])
	if c.count[3] < lowest {
		i = 3
	}
	return i
}

func (c *counterSet) decay(current uint32) {
	shift := current - c.epoch
	for i := range c.count {
		c.count[i], c.overcount[i], c.busy[i] = c.count[i]>>shift, c.overcount[i]>>shift, c.busy[i]>>shift
	}
	c.epoch = current
}

// countBusy counts a busy end, and returns the recent numbers of busy ends and, at least, of set-ups. The set-up itself
// was counted by add, whose count for the look-up is undone.
func (s *sketch) countBusy(hash uint64, now int64) (busy, setUps uint32) {
	set, i := s.add(hash, now)
	set.count[i]--
	set.busy[i] += min(1, math.MaxUint8-set.busy[i])
	return uint32(set.busy[i]), set.minCount(i)
}

// minCount returns the least number of set-ups that there can have been.
func (c *counterSet) minCount(i int) uint32 { return c.count[i] - uint32(c.overcount[i]) }
