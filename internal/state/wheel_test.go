package state

import "testing"

// A timer comes due at the first tick at or after its time: never early, and less than one turn of the wheel late.
func TestWheelIsNeverEarly(t *testing.T) {
	const tick = 5_000
	w := NewWheel(tick, 1_000_003)
	times := []int64{0, 1_000_003, 1_004_999, 1_005_000, 1_005_001, 1_234_567, 1_000_000 + 2*wheelSlots*tick + 1}
	for i, at := range times {
		w.Set(at, Timer{ID: uint64(i)})
	}
	fired := map[uint64]int64{}
	for w.Len() > 0 {
		at, ok := w.Next()
		if !ok {
			t.Fatal("timers are set, but Next returns none")
		}
		for _, d := range w.Advance(at, nil) {
			fired[d.ID] = at
		}
	}
	for i, at := range times {
		if got := fired[uint64(i)]; got < at || got >= max(at, 1_000_003)+2*tick {
			t.Errorf("timer for %d came due at %d", at, got)
		}
	}
	if _, ok := w.Next(); ok {
		t.Error("Next returns a time for an empty wheel")
	}
}

func TestWheelAfterAPause(t *testing.T) {
	w := NewWheel(5_000, 0)
	for i := range uint64(3) {
		w.Set(int64(3-i)*1_000_000, Timer{ID: i})
	}
	var order []uint64
	for _, d := range w.Advance(60_000_000, nil) {
		order = append(order, d.ID)
	}
	if len(order) != 3 || order[0] != 2 || order[2] != 0 {
		t.Errorf("timers came due in the order %v", order)
	}
}

// The memory that a jump in load takes on the wheel is released one turn after it.
func TestWheelReleasesMemory(t *testing.T) {
	w := NewWheel(5_000, 0)
	const many = 200_000
	for i := range uint64(many) {
		w.Set(int64(i)*10, Timer{ID: i})
	}
	capacity := func() (n int) {
		for _, s := range w.slots {
			n += cap(s)
		}
		return n
	}
	if capacity() < many {
		t.Fatalf("there is capacity for %d of %d timers", capacity(), many)
	}
	came := 0
	for now := int64(0); now < 3*wheelSlots*5_000; now += 5_000 {
		w.Set(now+50_000, Timer{}) // ordinary load afterwards
		came += len(w.Advance(now, nil))
	}
	if came < many || capacity() > wheelSlots*minSlotCapacity {
		t.Errorf("%d of %d timers came due, and there is still capacity for %d", came, many, capacity())
	}
}
