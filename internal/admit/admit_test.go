package admit

import (
	"testing"

	"pgregory.net/rapid"
)

func TestDeadline(t *testing.T) {
	for wait, want := range map[int64]int64{1_000: -4_000, 5_000: 0, 6_000: 1_000, 40_000: 35_000, 80_000: 70_000, 160_000: 140_000,
		9_000_000: 8_980_000} {
		if got := Deadline(1_000_000_000, wait) - 1_000_000_000; got != want {
			t.Errorf("who waits %d us is answered within %d, want %d", wait, got, want)
		}
	}
}

// Whatever the callers wait, a tick's delay does not make the answer late, one that waits longer is not answered sooner, and
// no more than a fifth of a wait that is worth serving is given away.
func TestDeadlineLeavesTimeForTheAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at, wait := rapid.Int64Range(0, 1<<52).Draw(t, "at"), rapid.Int64Range(0, 60_000_000).Draw(t, "wait")
		d := Deadline(at, wait)
		if d+5_000 > at+wait {
			t.Errorf("%d us: %d us are left for the answer", wait, at+wait-d)
		}
		if longer := Deadline(at, wait+1_000); longer < d {
			t.Errorf("%d us more: by %d us sooner", 1_000, d-longer)
		}
		if wait >= 25_000 && d-at < wait*4/5 {
			t.Errorf("%d us: %d are used", wait, d-at)
		}
	})
}
