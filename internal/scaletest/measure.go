package scaletest

import (
	"math"
	"slices"
	"time"

	"pewterwheel/internal/fleet"
	"pewterwheel/internal/fleetnet"
)

// Counter is one of a member's counts of what passed.
type Counter int

// The counts of a member, of its payload alone.
const (
	DatagramBytesIn Counter = iota
	DatagramBytesOut
	StreamBytesIn
	StreamBytesOut
	DatagramsIn
	DatagramsOut
	StreamsIn
	StreamsOut
	EventsDropped
	counterCount
)

var counterOf = map[string]Counter{
	"fleet_bytes_in":         DatagramBytesIn,
	"fleet_bytes_out":        DatagramBytesOut,
	"fleet_stream_bytes_in":  StreamBytesIn,
	"fleet_stream_bytes_out": StreamBytesOut,
	"fleet_datagrams_in":     DatagramsIn,
	"fleet_datagrams_out":    DatagramsOut,
	"fleet_streams_in":       StreamsIn,
	"fleet_streams_out":      StreamsOut,
	"fleet_events_dropped":   EventsDropped,
}

// Counters are all counts of a member since its first start.
type Counters [counterCount]uint64

func (c *Counters) add(o Counters) {
	for i := range c {
		c[i] += o[i]
	}
}

func read(n fleetnet.Net) Counters {
	var c Counters
	n.Figures(func(name string, v uint64, _ bool) {
		if i, ok := counterOf[name]; ok {
			c[i] = v
		}
	})
	return c
}

// Counters gives what a member has counted, its earlier incarnations included.
func (m *Member) Counters() Counters {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.before
	if m.running != nil {
		c.add(read(m.running.net))
	}
	return c
}

// KnowsAll tells whether a view holds as many members, of which none is suspected.
func KnowsAll(v *fleet.View, members int) bool {
	if v == nil || len(v.Members) != members {
		return false
	}
	return !slices.ContainsFunc(v.Members, func(m fleet.Member) bool { return m.Suspect })
}

// Times are how long each of some members took, the shortest first; those that did not come within the limit are
// missing.
type Times struct {
	Of    int
	Took  []time.Duration
	Limit time.Duration
}

// By is how long it took until so large a part had it; false: not within the limit.
func (t Times) By(part float64) (time.Duration, bool) {
	n := max(1, int(math.Ceil(part*float64(t.Of))))
	if n > len(t.Took) {
		return t.Limit, false
	}
	return t.Took[n-1], true
}

// Await looks each pause whether members have it, until all do or the limit is over. A member that had it once counts.
func (f *Fleet) Await(begin time.Time, limit, pause time.Duration, has func(*Member) bool) Times {
	t := Times{Of: len(f.Members), Limit: limit}
	waiting := slices.Clone(f.Members)
	for {
		waiting = slices.DeleteFunc(waiting, func(m *Member) bool {
			had := has(m)
			if had {
				t.Took = append(t.Took, time.Since(begin))
			}
			return had
		})
		if len(waiting) == 0 || time.Since(begin) > limit {
			return t
		}
		time.Sleep(pause)
	}
}

// AwaitAll is how long each member took from a moment until it knew all.
func (f *Fleet) AwaitAll(begin time.Time, limit time.Duration) Times {
	return f.Await(begin, limit, 50*time.Millisecond, func(m *Member) bool {
		return KnowsAll(m.View(), len(f.Members))
	})
}

// AwaitFull is how long each member took until its entry held as many windows as it may: it costs the most from then
// on.
func (f *Fleet) AwaitFull(limit time.Duration) Times {
	return f.Await(time.Now(), limit, 100*time.Millisecond, func(m *Member) bool {
		own := m.View().Member(m.Name)
		return own != nil && len(own.Windows) == fleet.MaxWindows
	})
}

// AwaitChange changes one member's settings and is how long each member took until it knew that.
func (f *Fleet) AwaitChange(changed *Member, limit time.Duration) Times {
	begin, digest := time.Now(), changed.ChangeSettings()
	return f.Await(begin, limit, 2*time.Millisecond, func(m *Member) bool {
		known := m.View().Member(changed.Name)
		return known != nil && known.Settings == digest
	})
}
