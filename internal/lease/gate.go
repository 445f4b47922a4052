package lease

// Gate is for whoever is told to act: it refuses a number lower than the highest it has seen of a thing. The zero value is
// ready for use. It is not safe for concurrent use.
type Gate struct {
	high map[string]uint64
	off  bool // the safeguard is taken out, for the test that must see it missing
}

// Admit says whether who acts on a thing under this number may; else the error is a *FenceError. A number as high as the
// highest is the same holder.
func (g *Gate) Admit(thing string, fence uint64) error {
	if has := g.high[thing]; fence < has && !g.off {
		return &FenceError{Thing: thing, Fence: fence, Has: has}
	}
	if g.high == nil {
		g.high = map[string]uint64{}
	}
	g.high[thing] = max(g.high[thing], fence)
	return nil
}

// Highest is the highest number seen of a thing; 0: none.
func (g *Gate) Highest(thing string) uint64 { return g.high[thing] }

// Forget drops what is known of a thing. Only who can prove that no holder of before acts any more may call it.
func (g *Gate) Forget(thing string) { delete(g.high, thing) }

// Len is how many things are kept.
func (g *Gate) Len() int { return len(g.high) }
