package populations

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"

	"pewterwheel/internal/pooling"
)

func usual() Config {
	return Config{Processes: 4, Sessions: 6, Every: 500, Delay: 30_000, Loss: 0.01}
}

// size is how many clients of each way are played; the environment asks for more, by hand.
func size(small int) int {
	if n, err := strconv.Atoi(os.Getenv("POOLING_CLIENTS")); err == nil {
		return n
	}
	return small
}

// seed is one that nothing was built with.
func seed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("POOLING_SEED"), 10, 64); err == nil {
		return n
	}
	return 1
}

func TestPopulations(t *testing.T) {
	n := size(24)
	for w := range ways {
		if only := os.Getenv("POOLING_WAY"); only != "" && only != w.String() {
			continue
		}
		res := Population(seed(), n, 4, usual(), 200_000, func(_ int, r *rand.Rand) Habit { return Draw(r, w, 256) })
		var wrong, denied, byCall, byMsg, late, tried, raised, lateTold, before, told, calls int
		var at, atMsg, spread []int
		for _, r := range res {
			if r.Wrong {
				wrong++
				t.Logf("wrong: %+v", r)
			}
			if r.Denied {
				denied++
			}
			if r.ByCall > 0 {
				byCall++
				at = append(at, r.ByCall)
			}
			if r.ByMsg > 0 {
				byMsg++
				atMsg = append(atMsg, r.ByMsg)
			}
			if r.Witness >= 0 {
				spread = append(spread, int(r.Witness))
			}
			late, tried, raised, before, told, calls, lateTold = late+r.Harm.Late, tried+r.Harm.Tried, raised+r.Harm.Raised, before+r.Harm.Before, told+r.Harm.Told, calls+r.Calls, lateTold+r.Harm.LateTold
		}
		fmt.Printf("%-11s n=%d wrong=%d denied=%d byCall=%d (p50 %d p90 %d) byMsg=%d (p90 %d) harm tried=%d raised=%d late=%d (told %d) before=%d told=%d calls=%d spread n=%d max %dms\n",
			w, n, wrong, denied, byCall, q(at, n, 0.5), q(at, n, 0.9), byMsg, q(atMsg, n, 0.9), tried, raised, late, lateTold, before, told, calls, len(spread), q(spread, len(spread), 1)/1000)
	}
}

// q is a quantile of n clients, of whom those not listed come last; -1: it is one of those.
func q(of []int, n int, part float64) int {
	slices.Sort(of)
	i := int(part*float64(n)+0.999) - 1
	if i < 0 || i >= len(of) {
		return -1
	}
	return of[i]
}

var _ = pooling.Known
