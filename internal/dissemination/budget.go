// Package dissemination decides how what the members of a fleet tell one another spreads: Budget, which traffic may
// pass within so many bytes a second; Queue, what is gossiped next; Repair, how members find and mend what gossip has
// missed. It has no clock, goroutine, socket or log, and no randomness but from seeds: times are microseconds of a
// monotonic clock that its callers pass in, and the same calls always give the same answers. Nothing here may be
// called from two goroutines at once.
package dissemination

import "math"

// Class is what control traffic is for. Under a shortage the highest number gives way first.
type Class uint8

// The classes, the most important one first. Any other value is treated as Figures.
const (
	// Membership is traffic of the membership and of the leases: it always passes, and is charged.
	Membership Class = iota + 1
	// Settings are heads of entries, digests, and orders of changes.
	Settings
	// Figures are windows of figures.
	Figures
	classCount = iota
)

var classNames = [...]string{Membership: "membership", Settings: "settings", Figures: "figures"}

// String returns the class as it stands in the names of counters; "unknown" for a value that is none.
func (c Class) String() string {
	if c.known() {
		return classNames[c]
	}
	return "unknown"
}

func (c Class) known() bool { return c >= Membership && c <= Figures }

// index returns the class's place in a list; that of Figures for a value that is none.
func (c Class) index() int {
	if c.known() {
		return int(c - Membership)
	}
	return int(Figures - Membership)
}

// Direction is which way traffic goes, as seen from this member.
type Direction uint8

// The directions. Any other value is treated as Out.
const (
	In Direction = iota + 1
	Out
)

// String returns the direction's name; "unknown" for a value that is none.
func (d Direction) String() string {
	switch d {
	case In:
		return "in"
	case Out:
		return "out"
	}
	return "unknown"
}

// Defaults of a BudgetConfig.
const (
	DefaultRate   = 11_000     // bytes a second
	DefaultFactor = 8          // times the rate
	DefaultBurst  = 10_000_000 // microseconds
)

// Highest values of a BudgetConfig; what is above is taken as these. Their product stays far from overflowing.
const (
	maxRate   = 1 << 28 // bytes a second
	maxFactor = 1 << 6
	maxBurst  = 1 << 26 // microseconds, some 67 s
)

// BudgetConfig says how much control traffic a member may have, both directions and both transports together. A value
// of 0 or less stands for its default.
type BudgetConfig struct {
	Rate int64 // bytes a second that are held in the long run; DefaultRate
	// Factor: in no second more than Factor x Rate bytes are allowed; DefaultFactor. A larger message never is, and
	// with a Factor of 1 a sixteenth of the rate stays unused.
	Factor int64
	Burst  int64 // microseconds for which Factor x Rate may be spent after a quiet time; DefaultBurst
}

func (c BudgetConfig) withDefaults() BudgetConfig {
	return BudgetConfig{
		Rate:   bounded(c.Rate, DefaultRate, maxRate),
		Factor: bounded(c.Factor, DefaultFactor, maxFactor),
		Burst:  bounded(c.Burst, DefaultBurst, maxBurst),
	}
}

func bounded(value, defaultValue, highest int64) int64 {
	if value <= 0 {
		return defaultValue
	}
	return min(value, highest)
}

// second is one second in microseconds. The sustained balance is kept in bytes times this, so that no fraction is
// lost.
const second = 1_000_000

// Budget is the one account of all control traffic of a member. Two limits hold for what may be refused: a token
// bucket of Factor x Rate x Burst bytes, refilled by Rate, for the long run, and a sliding window of a second for the
// peak.
type Budget struct {
	config    BudgetConfig
	depth     int64 // of the sustained balance, in bytes x second
	balance   int64 // sustained: from -depth to depth
	peak      window
	started   bool
	last      int64 // time of the latest call
	lifted    bool
	exhausted uint64 // times that the sustained balance went to 0
	classes   [classCount]classCounts
}

// classCounts is what passed and what was refused of one class.
type classCounts struct {
	bytesIn, bytesOut     uint64
	refused, refusedBytes uint64
}

// NewBudget returns a Budget with nothing spent.
func NewBudget(config BudgetConfig) *Budget {
	config = config.withDefaults()
	depth := config.Factor * config.Rate * config.Burst
	return &Budget{
		config:  config,
		depth:   depth,
		balance: depth,
		peak:    window{limit: config.Factor * config.Rate},
	}
}

// Lift sets whether everything is allowed; it is charged and counted all the same. It is for the time in which members
// of a version that knows no budget are heard.
func (b *Budget) Lift(lifted bool) { b.lifted = lifted }

// Allow tells whether a message of so many bytes may be sent now. It spends nothing; a refusal is counted. Membership
// is always allowed; Settings while something of both limits is left after it; Figures while it leaves more than half
// of both.
func (b *Budget) Allow(now int64, class Class, bytes int) bool {
	b.advance(now)
	if b.lifted || class == Membership || b.leaves(class, int64(max(0, bytes))) {
		return true
	}
	counts := &b.classes[class.index()]
	counts.refused++
	counts.refusedBytes += uint64(max(0, bytes))
	return false
}

// leaves tells whether enough for the class would be left after so many bytes.
func (b *Budget) leaves(class Class, bytes int64) bool {
	sustainedReserve := int64(0)
	peakReserve := int64(0)
	if class != Settings {
		sustainedReserve = b.depth / 2
		peakReserve = b.peak.limit / 2
	}
	return b.balance-b.cost(bytes) > sustainedReserve && b.peak.left()-min(bytes, b.peak.limit) > peakReserve
}

// Spend charges what passed, also what came in and could not be refused. A debt never grows over the depth of the
// bucket, so that a flood coming in doesn't mute a member for longer than Factor x Burst.
func (b *Budget) Spend(now int64, class Class, direction Direction, bytes int) {
	b.advance(now)
	bytes = max(0, bytes)
	counts := &b.classes[class.index()]
	if direction == In {
		counts.bytesIn += uint64(bytes)
	} else {
		counts.bytesOut += uint64(bytes)
	}
	before := b.balance
	b.balance = max(b.balance-b.cost(int64(bytes)), -b.depth)
	if before > 0 && b.balance <= 0 {
		b.exhausted++
	}
	b.peak.add(int64(bytes))
}

// cost is what so many bytes take from the sustained balance; twice its depth at the most, which takes everything.
func (b *Budget) cost(bytes int64) int64 {
	if bytes > 2*b.depth/second {
		return 2 * b.depth
	}
	return bytes * second
}

// advance refills both limits for the time since the latest call. A clock that stands still or steps back refills
// nothing.
func (b *Budget) advance(now int64) {
	if !b.started {
		b.started = true
		b.last = now
		return
	}
	if now <= b.last {
		return
	}
	elapsed := uint64(now) - uint64(b.last) // right also where the signed difference overflows
	b.last = now
	b.peak.advance(elapsed)
	missing := b.depth - b.balance
	if elapsed > uint64(missing/b.config.Rate) {
		b.balance = b.depth
		return
	}
	b.balance += int64(elapsed) * b.config.Rate
}

// Figures gives the counters by class, how often the sustained balance was exhausted, and how many bytes of it are
// left.
func (b *Budget) Figures(put func(name string, n uint64, gauge bool)) {
	for class := Membership; class <= Figures; class++ {
		counts := b.classes[class.index()]
		prefix := "fleet_budget_" + class.String()
		put(prefix+"_bytes_in", counts.bytesIn, false)
		put(prefix+"_bytes_out", counts.bytesOut, false)
		if class == Membership {
			continue // never refused
		}
		put(prefix+"_refused", counts.refused, false)
		put(prefix+"_refused_bytes", counts.refusedBytes, false)
	}
	put("fleet_budget_exhausted", b.exhausted, false)
	put("fleet_budget_left", uint64(max(0, b.balance/second)), true)
}

// windowSlots is into how many slots a second is divided. What passed is forgotten a slot at a time.
const windowSlots = 16

// slotLength is the length of a slot, in microseconds.
const slotLength = second / windowSlots

// window counts the bytes of the last second, and of up to a slot more. A token bucket that holds a second's worth
// would let twice that pass within a second.
type window struct {
	limit  int64                  // bytes
	slots  [windowSlots + 1]int64 // bytes; a second touches one more slot than it is long
	newest int                    // index of the current slot
	offset int64                  // microseconds since the current slot began
	sum    int64                  // of all slots
}

func (w *window) left() int64 { return w.limit - w.sum }

// add counts bytes. A slot holds at most the limit, which shuts the window already.
func (w *window) add(bytes int64) {
	was := w.slots[w.newest]
	w.slots[w.newest] = min(was+min(bytes, w.limit), w.limit)
	w.sum += w.slots[w.newest] - was
}

// advance moves on by so many microseconds.
func (w *window) advance(elapsed uint64) {
	elapsed = min(elapsed, math.MaxInt64/2)
	w.offset += int64(elapsed)
	steps := w.offset / slotLength
	w.offset %= slotLength
	for range min(steps, int64(len(w.slots))) {
		w.newest = (w.newest + 1) % len(w.slots)
		w.sum -= w.slots[w.newest]
		w.slots[w.newest] = 0
	}
}
