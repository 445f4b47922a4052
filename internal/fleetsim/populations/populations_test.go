package populations

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"

	"pewterwheel/internal/pooling"
	"pewterwheel/internal/wire"
)

func usual() Config {
	return Config{Processes: 4, Sessions: 6, Every: 500, Delay: 30_000, Loss: 0.01}
}

// setting is a number of the environment, by which measurements are asked for by hand.
func setting(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// sums are what became of the clients of one way.
type sums struct {
	clients, wrong, denied, spreads int
	byCall, byMessage               []int
	latest                          int64
	harm                            Harm
	calls                           int
}

func sum(results []Result) sums {
	s := sums{clients: len(results)}
	for _, r := range results {
		if r.Wrong {
			s.wrong++
		}
		if r.Denied {
			s.denied++
		}
		if r.ByCall > 0 {
			s.byCall = append(s.byCall, r.ByCall)
		}
		if r.ByMsg > 0 {
			s.byMessage = append(s.byMessage, r.ByMsg)
		}
		if r.Witness >= 0 {
			s.spreads++
			s.latest = max(s.latest, r.Witness)
		}
		s.calls += r.Calls
		s.harm.add(r.Harm)
	}
	return s
}

// part is the calls within which so large a part of all clients was raised; "-": it was not.
func (s *sums) part(of []int, part float64) string {
	slices.Sort(of)
	if i := int(part*float64(s.clients)+0.999) - 1; i >= 0 && i < len(of) {
		return strconv.Itoa(of[i])
	}
	return "-"
}

func (s *sums) String() string {
	h := s.harm
	return fmt.Sprintf("%d | %d | %d | %s | %s | %s | %s | %d | %d | %d | %d | %d | %d | %d ms",
		s.clients, s.wrong, s.denied, s.part(s.byCall, 0.5), s.part(s.byCall, 0.9), s.part(s.byMessage, 0.5), s.part(s.byMessage, 0.9),
		h.Tried, h.Raised, h.Late, h.Before, h.Told, h.LateTold, s.latest/1000)
}

// TestPopulations plays some clients of each way: none is raised above what it bears, nothing is shared once a witness is known,
// and who relies on its connection is found.
func TestPopulations(t *testing.T) {
	for w := range ways {
		most := 60_000
		if w.Most() == pooling.BySession {
			most = 400_000
		}
		s := sum(Population(1, 4, 4, usual(), most, func(_ int, r *rand.Rand) Habit { return Draw(r, w, 256) }))
		t.Logf("%s | %s", w, &s)
		if s.wrong != 0 || s.harm.Told != 0 || s.latest > 2_000_000 {
			t.Errorf("%s: %d raised wrongly, %d harmed after the witness, which took %d us", w, s.wrong, s.harm.Told, s.latest)
		}
		if w.Most() == pooling.BySession && s.denied != s.clients || w.Most() > pooling.BySession && len(s.byCall) == 0 {
			t.Errorf("%s: %d of %d denied, %d raised by call", w, s.denied, s.clients, len(s.byCall))
		}
	}
}

// TestFleet: in 24 processes that lose one message in twenty a witness is known everywhere within 2 s, and nobody is harmed where
// it is known.
func TestFleet(t *testing.T) {
	n := setting("POOLING_PROCESSES", 24)
	var latest int64
	var harm Harm
	worlds := setting("POOLING_WORLDS", 3)
	for seed := range worlds {
		w := New(Config{Processes: n, Sessions: 4, Every: 200, Delay: 100_000, Loss: 0.05, Seed: uint64(seed)},
			Habit{Way: Prepared, Rate: 0.1, Cause: wire.CauseMissing})
		w.Play(200_000, func() bool { return w.First != 0 })
		w.Play(15_000, nil)
		took := w.spread()
		if took < 0 || took > 2_000_000 || w.Harm.Told != 0 {
			t.Errorf("seed %d: known everywhere after %d us, %d harmed where it was", seed, took, w.Harm.Told)
		}
		latest = max(latest, took)
		harm.add(w.Harm)
	}
	t.Logf("%d processes, %d worlds: at the latest %d ms; harm %+v", n, worlds, latest/1000, harm)
}

// The measurements, by hand: POOLING_MEASURE clients of each way, from POOLING_SEED.

func TestMeasure(t *testing.T) {
	n := setting("POOLING_MEASURE", 0)
	if n == 0 {
		t.Skip("measured by hand")
	}
	rarest := float64(setting("POOLING_RAREST", 256))
	cfg := usual()
	fixed := setting("POOLING_FIXED", 0)
	cfg.Part = func(_ int, c *pooling.Config) { c.FixedThreshold = float64(fixed) }
	for w := range ways {
		if only := os.Getenv("POOLING_WAY"); only != "" && only != w.String() {
			continue
		}
		s := sum(Population(uint64(setting("POOLING_SEED", 1)), n, setting("POOLING_AT", 2), cfg, setting("POOLING_MOST", 200_000),
			func(_ int, r *rand.Rand) Habit {
				h := Draw(r, w, rarest)
				if once := setting("POOLING_ONCE", 0); once > 0 { // in so many calls, all of them
					h.Rate = 1 / float64(once)
				}
				return h
			}))
		fmt.Printf("%s | %s | %d calls\n", w, &s, s.calls)
	}
}

// TestDescriptors counts connections at one office over a whole installation, with a given part of unsafe clients.
func TestDescriptors(t *testing.T) {
	if os.Getenv("POOLING_DESCRIPTORS") == "" {
		t.Skip("measured by hand")
	}
	const clients, processes, sessions = 20, 4, 25
	r := rand.New(rand.NewPCG(uint64(setting("POOLING_SEED", 1)), 3))
	var habits []Habit
	unsafe, guarded := setting("POOLING_UNSAFE", 2), 0
	for i := range clients {
		way := Way(r.IntN(int(Crosser) + 1))
		if i < unsafe {
			way = Mixed + Way(r.IntN(int(Ordered-Mixed)+1))
		}
		h := Draw(r, way, 256)
		if h.Guarded > 0 && way <= Crosser {
			guarded++
		}
		habits = append(habits, h)
	}
	cfg := Config{Processes: processes, Sessions: sessions, Every: 1000, Delay: 30_000, Loss: 0.01, Lasts: 400_000, Seed: r.Uint64()}
	cfg.Part = func(_ int, c *pooling.Config) { c.FixedThreshold = float64(setting("POOLING_FIXED", 0)) }
	w := New(cfg, habits...)
	fmt.Printf("%d clients, %d unsafe, %d safe ones with guarded calls; by session %d\n", clients, unsafe, guarded, clients*processes*sessions)
	for step := range setting("POOLING_STEPS", 30) {
		w.Play(100_000, nil)
		own, pooled := w.Descriptors()
		modes := map[pooling.Mode]int{}
		for who := range habits {
			modes[w.Procs[0].Loop.Verdict(pooling.Key("app"+strconv.Itoa(who), "127.0.0.1")).Mode]++
		}
		fmt.Printf("after %d s: own %d, pooled %d, %.3f of by session; verdicts %v\n", (step+1)*100, own, pooled,
			float64(own+pooled)/(clients*processes*sessions), modes)
	}
	for who, h := range habits {
		v := w.Procs[0].Loop.Verdict(w.hashes[who])
		fmt.Printf("%s, epoch %d: %s once in %.0f, faults %.4f, missing %.5f, guarded %.2f\n", v.Mode, v.Epoch, h.Way, 1/h.Rate, h.Faults, h.Missing, h.Guarded)
	}
	fmt.Printf("harm %+v of %d calls\n", w.Harm, w.Calls)
}
