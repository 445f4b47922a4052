package scaletest

import (
	"math"
	"os"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sys/unix"

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

// Rate is a count a member and second.
type Rate struct {
	Mean   float64 // of all members, over all the time
	Most   float64 // of the member with the highest, over all the time
	Second float64 // of any member, in its highest second
}

// Stretch is what was measured over a time.
type Stretch struct {
	Seconds float64
	Rates   [counterCount]Rate
	Core    float64 // processor time a member, as a part of one core; without that of the measuring itself
	Cores   float64 // of the whole process
	Whole   float64 // part of the members that knew all, unsuspected, as a mean over the seconds
}

// Headers of what passes, in bytes: of UDP and IP a datagram, of TCP and IP a segment.
const (
	datagramHeader        = 28
	segmentHeader         = 40
	segmentBytes          = 1448
	segmentsOfAConnection = 7
)

// Wire is how many bytes a member and second passed in both directions, with the headers.
func (s *Stretch) Wire() float64 {
	mean := func(c Counter) float64 { return s.Rates[c].Mean }
	datagrams := mean(DatagramBytesIn) + mean(DatagramBytesOut) + datagramHeader*(mean(DatagramsIn)+mean(DatagramsOut))
	streams := mean(StreamBytesIn) + mean(StreamBytesOut)
	segments := streams/segmentBytes + segmentsOfAConnection*(mean(StreamsIn)+mean(StreamsOut))
	return datagrams + streams + segmentHeader*segments
}

// Payload is how many bytes a member and second passed in both directions, without the headers.
func (s *Stretch) Payload() float64 {
	sum := 0.0
	for _, c := range []Counter{DatagramBytesIn, DatagramBytesOut, StreamBytesIn, StreamBytesOut} {
		sum += s.Rates[c].Mean
	}
	return sum
}

// processorTime is what a process or thread has used.
func processorTime(who int) time.Duration {
	var u unix.Rusage
	if unix.Getrusage(who, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (f *Fleet) counters() []Counters {
	all := make([]Counters, len(f.Members))
	for i, m := range f.Members {
		all[i] = m.Counters()
	}
	return all
}

// Measure measures for a time, second by second. It has a thread of its own, whose processor time is left out.
func (f *Fleet) Measure(d time.Duration) Stretch {
	result := make(chan Stretch)
	go func() {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		result <- f.measure(d)
	}()
	return <-result
}

func (f *Fleet) measure(d time.Duration) Stretch {
	var s Stretch
	own, used := processorTime(unix.RUSAGE_THREAD), processorTime(unix.RUSAGE_SELF)
	begin := time.Now()
	first := f.counters()
	last, at, seconds := first, begin, 0
	for next := begin.Add(time.Second); time.Since(begin) < d; next = next.Add(time.Second) {
		time.Sleep(time.Until(next))
		now, counters := time.Now(), f.counters()
		for c := range s.Rates {
			_, s.Rates[c].Second = rates(last, counters, Counter(c), now.Sub(at).Seconds(), s.Rates[c].Second)
		}
		last, at = counters, now
		s.Whole += f.whole()
		seconds++
	}
	s.Seconds = at.Sub(begin).Seconds()
	s.Whole /= float64(max(1, seconds))
	for c := range s.Rates {
		s.Rates[c].Mean, s.Rates[c].Most = rates(first, last, Counter(c), s.Seconds, 0)
	}
	used = processorTime(unix.RUSAGE_SELF) - used - (processorTime(unix.RUSAGE_THREAD) - own)
	s.Cores = used.Seconds() / s.Seconds
	s.Core = s.Cores / float64(len(f.Members))
	return s
}

// rates gives the mean and the highest of all members, at least the given one.
func rates(from, to []Counters, c Counter, seconds, most float64) (mean, highest float64) {
	for i := range to {
		rate := float64(to[i][c]-from[i][c]) / seconds
		mean += rate / float64(len(to))
		most = max(most, rate)
	}
	return mean, most
}

// KnowsAll tells whether a view holds as many members, of which none is suspected.
func KnowsAll(v *fleet.View, members int) bool {
	if v == nil || len(v.Members) != members {
		return false
	}
	return !slices.ContainsFunc(v.Members, func(m fleet.Member) bool { return m.Suspect })
}

func (f *Fleet) whole() float64 {
	n := 0
	for _, m := range f.Members {
		if KnowsAll(m.View(), len(f.Members)) {
			n++
		}
	}
	return float64(n) / float64(len(f.Members))
}

// Times are how long each of some members took, the shortest first; those that did not come within the limit are missing.
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
	return f.Await(begin, limit, 50*time.Millisecond, func(m *Member) bool { return KnowsAll(m.View(), len(f.Members)) })
}

// AwaitFull is how long each member took until its entry held as many windows as it may: it costs the most from then on.
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

// Room is what a process takes beside processor time.
type Room struct {
	Bytes       float64 // of heap and stacks, after a collection
	Goroutines  float64
	Descriptors float64
}

// Taken is what this process takes now.
func Taken() Room {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	descriptors, _ := os.ReadDir("/proc/self/fd") // none, where there is no such directory
	return Room{float64(m.HeapInuse + m.StackInuse), float64(runtime.NumGoroutine()), float64(len(descriptors))}
}

// Share is what each of some members took beside what was taken before them.
func (r Room) Share(before Room, members int) Room {
	n := float64(members)
	return Room{(r.Bytes - before.Bytes) / n, (r.Goroutines - before.Goroutines) / n, (r.Descriptors - before.Descriptors) / n}
}
