package scaletest

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

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
	Others  float64 // cores that other programs took of those that this process may use
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

// busyTime is for how many seconds the cores that this process may use were busy, whoever used them.
func busyTime() float64 {
	var may unix.CPUSet
	text, err := os.ReadFile("/proc/stat")
	if err != nil || unix.SchedGetaffinity(0, &may) != nil {
		return 0
	}
	const idle, waiting, counted = 4, 5, 9 // fields: a name, times of user, nice, system, idle, waiting and so on
	const ticks = 100.0                    // a second
	sum := 0.0
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		cpu, err := strconv.Atoi(strings.TrimPrefix(fields[0], "cpu"))
		if err != nil || !strings.HasPrefix(line, "cpu") || !may.IsSet(cpu) {
			continue
		}
		for i := 1; i < min(counted, len(fields)); i++ {
			if n, err := strconv.ParseFloat(fields[i], 64); err == nil && i != idle && i != waiting {
				sum += n / ticks
			}
		}
	}
	return sum
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
	begin, busy := time.Now(), busyTime()
	first := f.counters()
	last, at, seconds := first, begin, 0
	for seconds == 0 || time.Since(begin) < d {
		time.Sleep(time.Second) // never less: a rate over a part of one would be no second's
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
	used = processorTime(unix.RUSAGE_SELF) - used
	s.Others = max(0, busyTime()-busy-used.Seconds()) / s.Seconds
	used -= processorTime(unix.RUSAGE_THREAD) - own
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

func (f *Fleet) whole() float64 {
	n := 0
	for _, m := range f.Members {
		if KnowsAll(m.View(), len(f.Members)) {
			n++
		}
	}
	return float64(n) / float64(len(f.Members))
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
	return Room{
		Bytes:       (r.Bytes - before.Bytes) / n,
		Goroutines:  (r.Goroutines - before.Goroutines) / n,
		Descriptors: (r.Descriptors - before.Descriptors) / n,
	}
}
