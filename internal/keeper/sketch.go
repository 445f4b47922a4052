package keeper

// The sketch's size: cells in sets of ways. A number shares a set with those of the same low bits of its hash.
const (
	sketchSets = 256
	ways       = 4
	epoch      = 5_000_000 // counts are halved so often, in microseconds
)

// cell counts one number.
type cell struct {
	hash  uint64
	key   string
	count uint32 // orders, halved every epoch; over the true count by at most err
	err   uint32
	busy  uint32 // busy ends, halved every epoch
	epoch uint32
}

// sketch finds the numbers asked for most in bounded memory: space-saving with decay, in sets so that a touch looks at few
// cells and allocates nothing. A number that is not held takes the place of the least of its set, and inherits its count.
type sketch struct{ cells [sketchSets * ways]cell }

// touch counts an order, and returns its cell.
func (s *sketch) touch(hash uint64, key string, now int64) *cell {
	e := uint32(now / epoch)
	set := s.cells[hash%sketchSets*ways:][:ways]
	least := &set[0]
	for i := range set {
		c := &set[i]
		if c.epoch != e {
			c.decay(e)
		}
		if c.hash == hash && c.key == key {
			c.count++
			return c
		}
		if c.count < least.count {
			least = c
		}
	}
	*least = cell{hash: hash, key: key, count: least.count + 1, err: least.count, epoch: e}
	return least
}

func (c *cell) decay(e uint32) {
	by := e - c.epoch
	c.count, c.err, c.busy, c.epoch = c.count>>by, c.err>>by, c.busy>>by, e
}

// sure is how many orders there were at the least.
func (c *cell) sure() uint32 { return c.count - c.err }
