package scaletest

import (
	"strconv"
	"testing"
	"time"
)

// What a member may cost, in bytes and counts a second, as a mean over the fleet. It is what is spread that costs:
// bounded by its pace, whatever the size of the fleet.
var bounds = map[Counter]float64{
	DatagramBytesIn:  300_000,
	DatagramBytesOut: 300_000,
	DatagramsIn:      80,
	DatagramsOut:     80,
	StreamBytesIn:    300_000,
	StreamBytesOut:   300_000,
	StreamsIn:        3,
	StreamsOut:       3,
}

// settled is how long it is waited for entries that hold all windows: they take 15 s with 60 members.
const settled = 20 * time.Second

// A fleet that is quiet costs each member no more than it may.
func TestBounds(t *testing.T) {
	for _, members := range []int{24, 60} {
		t.Run(strconv.Itoa(members), func(t *testing.T) {
			t.Parallel()
			f := start(t, Spec{Members: members, Seed: 1})
			full := f.AwaitFull(settled) // on a machine with other work it may not come; the bounds hold all the same
			t.Logf("%d of %d entries hold all windows", len(full.Took), full.Of)
			s := f.Measure(4 * time.Second)
			for c, most := range bounds {
				if got := s.Rates[c].Mean; got > most {
					t.Errorf("counter %d: %.0f a member and second, at most %.0f may be", c, got, most)
				}
			}
			if s.Rates[DatagramBytesIn].Mean == 0 || s.Payload() >= s.Wire() {
				t.Errorf("nothing was measured: %+v", s)
			}
			t.Logf("%+v", s)
		})
	}
}
