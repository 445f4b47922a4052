package keepers

import (
	"fmt"
	"os"
	"reflect"
	"runtime"
	"slices"
	"testing"
)

const second = 1_000_000

// base is 24 processes and one number of 40 lines with ten times the demand.
func base(seed uint64) Config {
	return Config{Processes: 24, Numbers: 1, Lines: 40, Demand: 10, Stands: 30 * second, Exchange: 20_000, Delay: 600,
		Gossip: 500_000, Seed: seed}
}

// played is the figures of a stretch of a world.
func played(cfg Config, warm, long int64) (Counts, *World) {
	w := New(cfg)
	w.Run(w.Now + warm)
	w.Counts = Counts{}
	w.Run(w.Now + long)
	return w.Counts, w
}

func quantile(v []int64, q float64) int64 {
	if len(v) == 0 {
		return 0
	}
	v = slices.Clone(v)
	slices.Sort(v)
	return v[int(q*float64(len(v)-1))]
}

// One number of 40 lines with ten times the demand, beside no keepers and one that sees all.
func TestOneNumber(t *testing.T) {
	warm, long, seeds := int64(45*second), int64(90*second), uint64(1)
	if os.Getenv("KEEPERS_MEASURE") != "" {
		warm, long, seeds = 60*second, 600*second, 5
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		off, oracle := base(seed), base(seed)
		off.Off, oracle.Oracle = true, true
		a, _ := played(off, warm, long)
		b, _ := played(oracle, warm, long)
		c, _ := played(base(seed), warm, long)
		fewer, used := 1-float64(c.Busy)/float64(a.Busy), c.Used/b.Used
		late, delay := quantile(c.Refusals, 0.999), quantile(c.Delays, 0.5)
		t.Logf("seed %d: busy %d -> %d (%.1f%% fewer), used %.1f of %.1f (%.1f%%), refused within %d us (99.9%%; longest %d), "+
			"delay %d us median %d 99%%, %.2f messages and %.0f bytes a second a process", seed, a.Busy, c.Busy, 100*fewer, c.Used/float64(long),
			b.Used/float64(long), 100*used, late, quantile(c.Refusals, 1), delay, quantile(c.Delays, 0.99),
			float64(c.Messages)/24/float64(long/second), float64(c.Bytes)/24/float64(long/second))
		if fewer < 0.9 || used < 0.93 || quantile(c.Refusals, 1) > 50_000 || delay >= 2*600 {
			t.Error("short of what is asked for")
		}
	}
}

// The same seed plays the same world, note by note.
func TestSameAgain(t *testing.T) {
	cfg := base(7)
	cfg.Loss, cfg.Numbers, cfg.Processes = 0.05, 5, 8
	a, _ := played(cfg, 20*second, 20*second)
	b, _ := played(cfg, 20*second, 20*second)
	if !reflect.DeepEqual(a, b) {
		t.Errorf("%d notes and %d messages, then %d and %d", len(a.Notes), a.Messages, len(b.Notes), b.Messages)
	}
}

// Lines that become more or fewer are found.
func TestLinesChange(t *testing.T) {
	w := New(base(2))
	w.Run(60 * second)
	for _, c := range []struct{ lines, least, busy int }{{20, 17, 60}, {60, 54, 60}} {
		rate := w.Cfg.Demand * float64(w.Cfg.Lines)
		w.SetLines(c.lines)
		w.Cfg.Demand = rate / float64(c.lines) // it stays as it was
		w.Run(w.Now + 60*second)
		w.Counts = Counts{}
		w.Run(w.Now + 60*second)
		used := w.Counts.Used / (60 * second)
		t.Logf("%d lines: %.1f used, %d busy", c.lines, used, w.Counts.Busy)
		if used < float64(c.least) || int(w.Counts.Busy) > c.busy {
			t.Errorf("%d lines: %.1f used, %d busy", c.lines, used, w.Counts.Busy)
		}
	}
}

// 100,000 numbers that take turns being hot, each for some seconds: nothing grows.
func TestTurns(t *testing.T) {
	cfg := base(3)
	cfg.Numbers, cfg.Turns, cfg.Stands, cfg.Lines = 100_000, 4*second, 10*second, 10
	if testing.Short() {
		t.Skip()
	}
	w := New(cfg)
	w.Run(w.Now + 100*second)
	heap := func() float64 {
		w.Counts.Notes, w.Counts.Delays, w.Counts.Refusals = nil, nil, nil
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc) / 24 / 1024
	}
	early, was := heap(), w.Counts.Messages
	w.Run(w.Now + 200*second)
	late := heap()
	rate := float64(w.Counts.Messages-was) / 24 / 200
	most := 0
	for _, p := range w.Procs {
		most = max(most, p.Table.Len())
	}
	t.Logf("%.0f KB a process after 100 s, %.0f KB after 300 s; %.2f messages a second a process; %d numbers in a table", early, late, rate, most)
	if late > early+100 || rate > 20 || most > 20 {
		t.Error("something grows")
	}
	runtime.KeepAlive(w)
}

// Many processes and a thousand hot numbers: messages a second a process. By hand, with KEEPERS_MEASURE=1.
func TestMany(t *testing.T) {
	if os.Getenv("KEEPERS_MEASURE") == "" {
		t.Skip("by hand: KEEPERS_MEASURE=1")
	}
	for _, c := range []struct{ processes, numbers, lines, spread int }{{300, 1, 400, 0}, {300, 1000, 10, 24}, {3000, 1, 400, 0}, {3000, 1000, 10, 24}} {
		cfg := base(1)
		cfg.Processes, cfg.Numbers, cfg.Lines, cfg.Spread = c.processes, c.numbers, c.lines, c.spread
		cfg.Gossip = 1 * second
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		warm, long := 24, 10
		if c.processes > 1000 { // each view costs every process a reading of thousands of entries
			warm, long, cfg.Gossip = 18, 4, 4*second
		}
		w := New(cfg)
		w.Run(w.Now + int64(warm)*second)
		kept := len(w.Noted("kept"))
		w.Counts = Counts{}
		w.Run(w.Now + int64(long)*second)
		runtime.GC()
		runtime.ReadMemStats(&after)
		most := 0
		for _, p := range w.Procs {
			most = max(most, p.Table.Len())
		}
		n := float64(c.processes * long)
		fmt.Printf("%+v: kept %d, offered %.1f calls a second a process, %.2f messages and %.0f bytes a second a process, busy %.1f%% of calls, "+
			"%.1f lines used of %d, table %d, %.0f KB a process\n", c, kept, float64(w.Counts.Offered)/n, float64(w.Counts.Messages)/n,
			float64(w.Counts.Bytes)/n, 100*float64(w.Counts.Busy)/float64(w.Counts.Offered), w.Counts.Used/float64(long)/second/float64(c.numbers), c.lines,
			most, float64(after.HeapAlloc-before.HeapAlloc)/float64(c.processes)/1024)
		runtime.KeepAlive(w)
	}
}
