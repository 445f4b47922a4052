// Package state holds the in-memory state of a running session controller: calls and their attempts, established
// calls, connections, the list of offices, counters and timers. It owns no clock and no socket.
package state

// Timer kinds. The meaning of the other fields of a Timer depends on the kind.
const (
	TimerModule           = iota + 1 // timer of the decision module: ID is its token
	TimerAttempt                     // the time limit of an attempt: ID is the call, N the attempt
	TimerDial                        // the time limit of a connect: ID is the dial
	TimerRedial                      // an office may be dialled again: ID is the number of the wait
	TimerJournal                     // check of the journal connection
	TimerIncomplete                  // check for incomplete messages, and for idle callers
	TimerStopAccepting               // at shutdown: new callers are no longer accepted
	TimerShutdownDeadline            // at shutdown: all open calls must be answered now
	TimerSweep                       // removal of outdated state
	TimerConnWait                    // the time limit of a wait for a pooled connection; ID and N as for TimerAttempt
)

// Timer is one entry of the wheel. It cannot be cancelled; whoever set it checks whether it is still relevant. It
// holds no pointer, because after a jump in load there are hundreds of thousands of timers, which the garbage
// collector would scan again and again.
type Timer struct {
	Kind int32
	N    int32
	ID   uint64
	tick int64
}

// minSlotCapacity is the capacity above which a slot that was less than a quarter full is shrunk. Guards against
// releasing memory that the next turn of the wheel needs again.
const wheelSlots, minSlotCapacity = 1024, 64

// Wheel keeps timers at the resolution of a tick. A timer comes due at the first tick at or after its time, never
// before it: periods that the rules measure from a given moment must not start early.
type Wheel struct {
	tick     int64 // microseconds
	lastTick int64 // last tick advanced to
	slots    [wheelSlots][]Timer
	count    int
}

// NewWheel returns an empty wheel at the given time.
func NewWheel(tick, now int64) *Wheel { return &Wheel{tick: tick, lastTick: now / tick} }

// Set adds a timer that comes due at the given time.
func (w *Wheel) Set(at int64, t Timer) {
	t.tick = max((at+w.tick-1)/w.tick, w.lastTick+1)
	slot := &w.slots[t.tick%wheelSlots]
	*slot = append(*slot, t)
	w.count++
}

// Len returns the number of timers set.
func (w *Wheel) Len() int { return w.count }

// Advance appends the timers that have come due to out, earlier ticks first.
func (w *Wheel) Advance(now int64, out []Timer) []Timer {
	last := now / w.tick
	if w.count == 0 {
		w.lastTick = max(w.lastTick, last)
	}
	for w.lastTick < last {
		w.lastTick++
		slot := &w.slots[w.lastTick%wheelSlots]
		keep := (*slot)[:0]
		for _, t := range *slot {
			if t.tick <= w.lastTick {
				out = append(out, t)
				w.count--
			} else {
				keep = append(keep, t)
			}
		}
		if capacity := cap(*slot); capacity > minSlotCapacity && len(*slot) < capacity/4 {
			keep = append(make([]Timer, 0, max(minSlotCapacity, len(keep))), keep...)
		}
		*slot = keep
	}
	return out
}

// Next returns the time at which the wheel should be advanced next, after one turn at the latest; false if it is
// empty.
func (w *Wheel) Next() (int64, bool) {
	if w.count == 0 {
		return 0, false
	}
	for i := int64(1); i < wheelSlots; i++ {
		for _, t := range w.slots[(w.lastTick+i)%wheelSlots] {
			if t.tick == w.lastTick+i {
				return t.tick * w.tick, true
			}
		}
	}
	return (w.lastTick + wheelSlots) * w.tick, true
}
