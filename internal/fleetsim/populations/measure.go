package populations

import (
	"math/rand/v2"
	"sync"

	"pewterwheel/internal/pooling"
)

// Result is what became of one client.
type Result struct {
	Habit   Habit
	Wrong   bool // raised above what its way bears
	Denied  bool
	ByCall  int // calls over all processes until it went by call at every one; 0: it did not
	ByMsg   int // the same by message
	Calls   int
	Harm    Harm
	Witness int64 // from the first process that knew of the witness to the last; -1: not all did
}

// One plays one client until its verdict is settled, or for so many calls.
func One(cfg Config, h Habit, most int) Result {
	w := New(cfg, h)
	res := Result{Habit: h, Witness: -1}
	for res.Calls < most {
		res.Calls += w.Play(1000, func() bool {
			low, high := pooling.ByMessage, pooling.BySession
			denied := false
			for _, p := range w.Procs {
				low, high = min(low, p.Mode), max(high, p.Mode)
				denied = denied || p.Denied&pooling.DenyCall == pooling.DenyCall
			}
			res.Wrong = res.Wrong || high > h.Way.Most()
			if low >= pooling.ByCall && res.ByCall == 0 {
				res.ByCall = w.Calls
			}
			if low >= pooling.ByMessage && res.ByMsg == 0 {
				res.ByMsg = w.Calls
			}
			res.Denied = denied
			return denied || low == pooling.ByMessage
		})
		low := pooling.ByMessage
		for _, p := range w.Procs {
			low = min(low, p.Mode)
		}
		if res.Denied || low == pooling.ByMessage {
			break
		}
	}
	w.Play(2000, nil) // what comes after the verdict
	for _, p := range w.Procs {
		res.Wrong = res.Wrong || p.Mode > h.Way.Most()
	}
	if at := w.spread(); at >= 0 {
		res.Witness = at
	}
	res.Harm = w.Harm
	return res
}

// spread is the time from the first process that knew of a witness to the last; -1: not all know of one.
func (w *World) spread() int64 {
	first, last := w.Procs[0].Witness, w.Procs[0].Witness
	for _, p := range w.Procs {
		if p.Witness == 0 {
			return -1
		}
		first, last = min(first, p.Witness), max(last, p.Witness)
	}
	return last - first
}

// Population plays n clients on so many goroutines; draw makes the i-th from a source seeded by seed and i.
func Population(seed uint64, n, at int, cfg Config, most int, draw func(i int, r *rand.Rand) Habit) []Result {
	res := make([]Result, n)
	var wg sync.WaitGroup
	for g := range at {
		wg.Go(func() {
			for i := g; i < n; i += at {
				r := rand.New(rand.NewPCG(seed, uint64(i)))
				c := cfg
				c.Seed = r.Uint64()
				res[i] = One(c, draw(i, r), most)
			}
		})
	}
	wg.Wait()
	return res
}
