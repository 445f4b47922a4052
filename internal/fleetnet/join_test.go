package fleetnet

import (
	"testing"
	"time"
)

// Calls on members that are not seen grow rare where they are in vain, rarer in a large fleet, and are soon made again when
// somebody came to be seen; a member that sees nobody goes on calling.
func TestPace(t *testing.T) {
	for _, c := range []struct {
		away, others int
		first, last  time.Duration
	}{{0, 23, time.Second, time.Second}, {23, 0, time.Second / 4, time.Second / 4}, {3, 20, 2622 * time.Millisecond, 55 * time.Second}, {255, 254, 8223 * time.Millisecond, 541 * time.Second}} {
		var p pacer
		next := func(joined uint64) time.Duration { return p.next(time.Second, c.away, c.others, joined) }
		if wait := next(7); wait != 0 {
			t.Errorf("the first call waits for %s", wait)
		}
		first := next(7)
		for range 20 {
			next(7)
		}
		last := next(7)
		if first.Truncate(time.Millisecond) != c.first || last.Truncate(time.Second/4) != c.last.Truncate(time.Second/4) || next(8) != first {
			t.Errorf("%d away of %d: %s, in the end %s", c.away, c.others, first, last)
		}
	}
}
