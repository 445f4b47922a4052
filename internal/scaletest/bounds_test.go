package scaletest

import (
	"strconv"
	"testing"
	"time"
)

// What a member may cost while nothing changes, in bytes and counts a second, as a mean over the fleet: probes, answers and
// heartbeats, and now and then an exchange of the membership's states.
var bounds = map[Counter]float64{
	DatagramBytesIn:  2_500,
	DatagramBytesOut: 2_500,
	DatagramsIn:      30,
	DatagramsOut:     30,
	StreamBytesIn:    2_000,
	StreamBytesOut:   2_000,
	StreamsIn:        0.5,
	StreamsOut:       0.5,
}

// settled is how long after the start a fleet is taken for quiet.
const settled = 10 * time.Second

// A fleet that is quiet costs each member no more than it may.
func TestBounds(t *testing.T) {
	for _, members := range []int{24, 60} {
		t.Run(strconv.Itoa(members), func(t *testing.T) {
			t.Parallel()
			f := start(t, Spec{Members: members, Seed: 1})
			time.Sleep(settled)
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
