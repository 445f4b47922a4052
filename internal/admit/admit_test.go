package admit

import (
	"testing"

	"pgregory.net/rapid"
)

func TestDeadline(t *testing.T) {
	for wait, want := range map[int64]int64{1_000: -4_000, 5_000: 0, 6_000: 1_000, 40_000: 35_000, 80_000: 70_000,
		160_000: 140_000, 9_000_000: 8_980_000} {
		if got := Deadline(1_000_000_000, wait) - 1_000_000_000; got != want {
			t.Errorf("a caller that waits %d us is answered within %d, want %d", wait, got, want)
		}
	}
}

// For any wait: the delay of a tick does not make the answer late, a caller that waits longer is not answered sooner,
// and no more than a fifth of a wait of 25 ms or more is lost.
func TestDeadlineLeavesTimeForTheAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		readAt, wait := rapid.Int64Range(0, 1<<52).Draw(t, "at"), rapid.Int64Range(0, 60_000_000).Draw(t, "wait")
		deadline := Deadline(readAt, wait)
		if deadline+5_000 > readAt+wait {
			t.Errorf("wait of %d us: %d us are left for the answer", wait, readAt+wait-deadline)
		}
		if longer := Deadline(readAt, wait+1_000); longer < deadline {
			t.Errorf("with a wait longer by %d us the deadline is %d us sooner", 1_000, deadline-longer)
		}
		if wait >= 25_000 && deadline-readAt < wait*4/5 {
			t.Errorf("wait of %d us: only %d are used", wait, deadline-readAt)
		}
	})
}
