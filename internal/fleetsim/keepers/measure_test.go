package keepers

import (
	"fmt"
	"slices"
	"testing"
)

// base is 24 processes and one number of 40 lines with ten times the demand.
func base(seed uint64) Config {
	return Config{Processes: 24, Numbers: 1, Lines: 40, Demand: 10, Stands: 30_000_000, Exchange: 20_000, Delay: 600,
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

func TestOneNumber(t *testing.T) {
	const warm, long = 60_000_000, 240_000_000
	for seed := uint64(1); seed <= 3; seed++ {
		off, oracle := base(seed), base(seed)
		off.Off, oracle.Oracle = true, true
		a, _ := played(off, warm, long)
		b, _ := played(oracle, warm, long)
		c, w := played(base(seed), warm, long)
		fmt.Printf("off busy %d served %d; oracle used %.1f served %d; keepers busy %d used %.1f served %d refused %d wait99.9 %d max %d delay50 %d delay99 %d messages/s/proc %.2f\n",
			a.Busy, a.Served, b.Used/float64(long), b.Served, c.Busy, c.Used/float64(long), c.Served, c.Refused,
			quantile(c.Refusals, 0.999), quantile(c.Refusals, 1), quantile(c.Delays, 0.5), quantile(c.Delays, 0.99), float64(c.Messages)/24/float64(long/1e6))
		if seed == 1 {
			for _, p := range w.Procs[:3] {
				p.Part.Figures(func(n string, v uint64, _ bool) { fmt.Print(n, "=", v, " ") })
				p.Front.Figures(func(n string, v uint64, _ bool) { fmt.Print(n, "=", v, " ") })
				fmt.Println()
			}
			for _, n := range w.Counts.Notes {
				if n.What != "permit" && n.What != "granted" {
					fmt.Println(n)
				}
			}
		}
	}
}
