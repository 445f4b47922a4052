package lease

// Gate checks fences at the receiver of an action: it refuses a fence lower than the highest it has seen for the
// resource. The zero value is ready for use. It is not safe for concurrent use.
type Gate struct {
	highest  map[string]uint64
	disabled bool // disables the check, for the test that detects its absence
}

// Admit reports whether an action on a resource under this fence is allowed; if not, the error is a *StaleFenceError.
// A fence equal to the highest belongs to the same holder.
func (g *Gate) Admit(resource string, fence uint64) error {
	if highest := g.highest[resource]; fence < highest && !g.disabled {
		return &StaleFenceError{Resource: resource, Fence: fence, Highest: highest}
	}
	if g.highest == nil {
		g.highest = map[string]uint64{}
	}
	g.highest[resource] = max(g.highest[resource], fence)
	return nil
}

// Highest returns the highest fence seen for a resource; 0: none.
func (g *Gate) Highest(resource string) uint64 { return g.highest[resource] }

// Forget drops the fence of a resource. The caller must be able to prove that no earlier holder acts any more.
func (g *Gate) Forget(resource string) { delete(g.highest, resource) }

// Len returns the number of resources tracked.
func (g *Gate) Len() int { return len(g.highest) }
