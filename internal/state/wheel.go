// Package state holds what a running session controller keeps in memory: calls and their attempts, standing
// calls, connections, the list of offices, counters and timers. It owns no clock and no socket.
package state

// Timer kinds; what the other fields of a Timer mean depends on the kind.
const (
	TimerModule  = iota + 1 // the module's: ID is its token
	TimerAttempt            // an attempt's time is up: ID is the call, N the attempt
	TimerDial               // a connect has taken too long: ID is the dial
	TimerRedial             // an office may be dialled again: ID is the wait's
	TimerJournal            // look after the journal connection
	TimerPartial            // look for messages that do not end, and for callers that want nothing
	TimerLeave              // no new callers are to come
	TimerStop               // what is open must have its answer now
	TimerSweep              // drop what is too old
	TimerRoom               // an attempt has waited long enough for room for a lane: ID is the call, N the attempt
)

// Timer is one entry of the wheel. It cannot be taken back; whoever set it checks whether it still matters. It holds no
// pointer: after a jump there are hundreds of thousands, and the garbage collector would look at each again and again.
type Timer struct {
	Kind int32
	N    int32
	ID   uint64
	tick int64
}

// A slot that has room for more than slotRoom timers and was less than a quarter full gives the rest back. Guards against
// giving back what the next turn asks for again.
const wheelSlots, slotRoom = 1024, 64

// Wheel keeps timers by coarse ticks. A timer comes due at the first tick at or after its time, never before
// it: what the rules count from a moment on must not start early.
type Wheel struct {
	tick  int64 // microseconds
	done  int64 // last tick advanced to
	slots [wheelSlots][]Timer
	count int
}

// NewWheel returns an empty wheel at the given time.
func NewWheel(tick, now int64) *Wheel { return &Wheel{tick: tick, done: now / tick} }

// Set adds a timer that comes due at the given time.
func (w *Wheel) Set(at int64, t Timer) {
	t.tick = max((at+w.tick-1)/w.tick, w.done+1)
	slot := &w.slots[t.tick%wheelSlots]
	*slot = append(*slot, t)
	w.count++
}

// Len is the number of timers set.
func (w *Wheel) Len() int { return w.count }

// Advance appends the timers that have come due to out, earlier ticks first.
func (w *Wheel) Advance(now int64, out []Timer) []Timer {
	last := now / w.tick
	if w.count == 0 {
		w.done = max(w.done, last)
	}
	for w.done < last {
		w.done++
		slot := &w.slots[w.done%wheelSlots]
		keep := (*slot)[:0]
		for _, t := range *slot {
			if t.tick <= w.done {
				out = append(out, t)
				w.count--
			} else {
				keep = append(keep, t)
			}
		}
		if room := cap(*slot); room > slotRoom && len(*slot) < room/4 {
			keep = append(make([]Timer, 0, max(slotRoom, len(keep))), keep...)
		}
		*slot = keep
	}
	return out
}

// Next tells when the wheel should be advanced next, at the latest after one turn; false if it is empty.
func (w *Wheel) Next() (int64, bool) {
	if w.count == 0 {
		return 0, false
	}
	for i := int64(1); i < wheelSlots; i++ {
		for _, t := range w.slots[(w.done+i)%wheelSlots] {
			if t.tick == w.done+i {
				return t.tick * w.tick, true
			}
		}
	}
	return (w.done + wheelSlots) * w.tick, true
}
