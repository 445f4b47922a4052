package state

// EndedCalls remembers the ids of calls that have ended, so that a set-up with the id of one is not run again, and a
// release that crosses the end of its call is not taken for that of a previous process's call.
//
// An id is remembered for EndedCallTTL at least, unless too many others have ended since. Connections that bring ids in
// usual numbers share one set, and all others a second one, so that a flood of new ids forgets the flood's own. The zero
// value is empty.
type EndedCalls struct {
	usual, excess endedGenerations
}

const (
	// EndedCallTTL is for how many microseconds an id is remembered.
	EndedCallTTL = 20_000_000
	// generationLength is how long ids are added to a generation, in microseconds. generations of them, one of which is
	// being filled, hold the ids of EndedCallTTL at least.
	generationLength = EndedCallTTL / 2
	generations      = 3
	// maxEndedPerGeneration bounds the ids of each generation of each set.
	maxEndedPerGeneration = 20_000
	// usualIDs and usualTrustedIDs are how many ids a connection may bring to a generation of usual ones. The second is
	// for trusted connections: some 200 calls a second, as a call that stands counts at its answer and its end.
	usualIDs, usualTrustedIDs = 8, 4096
)

// endedGenerations is a set of ids in generations, the latest first. The oldest one is dropped when the latest is full or
// old.
type endedGenerations struct {
	ids    [generations]map[uint64]struct{}
	number uint64 // of the latest generation
	since  int64  // when it began
}

// EndedShare counts the ids that a connection has brought to the set of usual ones. The zero value counts none.
type EndedShare struct {
	generation uint64
	count      int
}

// Add remembers the id of a call that a caller's connection has asked for or released. A nil caller is an office that has
// released a call which no caller of this process asked for.
func (e *EndedCalls) Add(id uint64, by *Caller, now int64) {
	e.Expire(now)
	if _, known := e.usual.ids[0][id]; known {
		return
	}
	if by != nil && e.isUsual(by) {
		by.Ended.count++
		e.usual.add(id, now)
		return
	}
	e.excess.add(id, now)
}

// isUsual reports whether a connection has brought no more ids than usual in the current generation.
func (e *EndedCalls) isUsual(by *Caller) bool {
	if by.Ended.generation != e.usual.number {
		by.Ended = EndedShare{generation: e.usual.number}
	}
	if by.Trusted {
		return by.Ended.count < usualTrustedIDs
	}
	return by.Ended.count < usualIDs
}

// Has reports whether an id is remembered.
func (e *EndedCalls) Has(id uint64) bool { return e.usual.has(id) || e.excess.has(id) }

// Remove forgets an id: its call is established after all.
func (e *EndedCalls) Remove(id uint64) {
	e.usual.remove(id)
	e.excess.remove(id)
}

// Expire forgets ids that have been remembered for long enough.
func (e *EndedCalls) Expire(now int64) {
	e.usual.expire(now)
	e.excess.expire(now)
}

// Len returns the number of remembered ids.
func (e *EndedCalls) Len() int { return e.usual.len() + e.excess.len() }

func (g *endedGenerations) add(id uint64, now int64) {
	if len(g.ids[0]) >= maxEndedPerGeneration {
		g.rotate(now)
	}
	if g.ids[0] == nil {
		g.ids[0] = make(map[uint64]struct{}, len(g.ids[1]))
	}
	g.ids[0][id] = struct{}{}
}

func (g *endedGenerations) has(id uint64) bool {
	for _, generation := range g.ids {
		if _, known := generation[id]; known {
			return true
		}
	}
	return false
}

func (g *endedGenerations) remove(id uint64) {
	for _, generation := range g.ids {
		delete(generation, id)
	}
}

func (g *endedGenerations) len() (n int) {
	for _, generation := range g.ids {
		n += len(generation)
	}
	return n
}

func (g *endedGenerations) expire(now int64) {
	if now-g.since >= generationLength {
		g.rotate(now)
	}
}

func (g *endedGenerations) rotate(now int64) {
	copy(g.ids[1:], g.ids[:generations-1])
	g.ids[0] = nil
	g.number++
	g.since = now
}
