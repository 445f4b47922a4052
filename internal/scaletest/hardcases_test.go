package scaletest

import (
	"bytes"
	"flag"
	"math"
	"testing"
	"time"

	"pewterwheel/internal/dissemination"
	"pewterwheel/internal/fleet"
)

var (
	hard  = flag.Int("hard", 24, "members in the hard cases")
	apart = flag.Int("apart", 8, "seconds for which a zone is lost, or regions are apart, in the hard cases")
)

// The budget that members go by unless they are told another, in bytes.
const (
	burstASecond = dissemination.DefaultRate * dissemination.DefaultFactor
	burstInAll   = burstASecond * dissemination.DefaultBurst / 1_000_000
	// membershipShare is what the membership, which always passes, may take beside: its gossip has at most a frame to three
	// others each 150 ms, and as much comes in.
	membershipShare = 2 * 3 * 1400 * 1000 / 150
)

// withinBurst fails if any member had more in a second, or the fleet more in the mean, than the budget and the membership allow.
func withinBurst(t *testing.T, what string, s Stretch) {
	t.Helper()
	second := 0.0
	for _, c := range []Counter{DatagramBytesIn, DatagramBytesOut, StreamBytesIn, StreamBytesOut} {
		second += s.Rates[c].Second
	}
	if most := float64(burstASecond + membershipShare); second > most {
		t.Errorf("%s: %.0f bytes in a member's highest second, at most %.0f may be", what, second, most)
	}
	most := float64(burstInAll)/s.Seconds + dissemination.DefaultRate + membershipShare
	if mean := s.Wire(); mean > most {
		t.Errorf("%s: %.0f bytes a second in the mean, at most %.0f may be", what, mean, most)
	}
	t.Logf("%s: %.0f bytes in the highest second, %.0f a second in the mean over %.0f s", what, second, s.Wire(), s.Seconds)
}

// during measures while something is played.
func during(f *Fleet, seconds int, play func()) Stretch {
	measured := make(chan Stretch, 1)
	go func() { measured <- f.Measure(time.Duration(seconds) * time.Second) }()
	play()
	return <-measured
}

// All that start at once know all, within a burst that the budget allows.
func TestStartOfAll(t *testing.T) {
	f, err := NewFleet(Spec{Members: *hard, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	withinBurst(t, "a start of all", during(f, 6, func() {
		begin := time.Now()
		if err := f.Start(0); err != nil {
			t.Error(err)
		}
		mustAll(t, "a start of all", f.AwaitAll(begin, generous))
	}))
}

// A zone that is lost, and regions that are apart, while members change their settings on both sides: when they meet again
// all know all, the newest of each, without a storm.
func TestApartAndBack(t *testing.T) {
	for _, c := range cutCases[:2] {
		t.Run(c.what, func(t *testing.T) {
			links := UsualLinks()
			f := start(t, Spec{Members: *hard, Links: &links, Seed: 1})
			if err := c.cut(f); err != nil {
				t.Fatal(err)
			}
			withinBurst(t, "apart", during(f, *apart, func() {
				for _, m := range f.Members {
					m.ChangeSettings()
				}
			}))
			f.Heal()
			withinBurst(t, "back", during(f, 6, func() {
				mustAll(t, "the meeting", f.AwaitAll(time.Now(), 2*generous))
				mustAll(t, "the newest of all", f.Await(time.Now(), generous, 50*time.Millisecond, func(o *Member) bool {
					return o.knowsNewest()
				}))
			}))
		})
	}
}

// knowsNewest tells whether a member knows the settings by which each member goes.
func (m *Member) knowsNewest() bool {
	v := m.View()
	for _, other := range m.fleet.Members {
		if known := v.Member(other.Name); known == nil || known.Settings != other.settings.Load() {
			return false
		}
	}
	return true
}

// Lost, doubled and late datagrams: one in twenty of each. Changes of all members' settings come to all, within the budget.
func TestLossyLinks(t *testing.T) {
	links := UsualLinks()
	links.Loss, links.Double, links.Late = 0.05, 0.05, 0.05
	f := start(t, Spec{Members: *hard, Links: &links, Seed: 1})
	withinBurst(t, "lossy links", during(f, 6, func() {
		for _, m := range f.Members {
			m.ChangeSettings()
		}
		mustAll(t, "changes of all", f.Await(time.Now(), generous, 50*time.Millisecond, (*Member).knowsNewest))
	}))
}

// full tells parts of the largest size that differ each time: as much as any member may ever have to say.
type full struct {
	quietModule
	next int64
	n    byte
}

// Kind is one that nobody else speaks.
func (*full) Kind() fleet.Kind { return 200 }

// Tick tells four parts.
func (f *full) Tick(now int64, out *fleet.Out) {
	f.next = now + 200_000
	f.n++
	for kind := fleet.Kind(201); kind < 205; kind++ {
		out.Tell(kind, bytes.Repeat([]byte{f.n}, fleet.MaxBody))
	}
}

// Next is when it tells.
func (f *full) Next() int64 { return f.next }

// quietModule does nothing.
type quietModule struct{}

func (quietModule) Start(int64, *fleet.Out)                  {}
func (quietModule) Message(int64, fleet.Message, *fleet.Out) {}
func (quietModule) View(int64, *fleet.View, *fleet.Out)      {}
func (quietModule) Done(int64, fleet.Act, error, *fleet.Out) {}
func (quietModule) Tick(int64, *fleet.Out)                   {}
func (quietModule) Next() int64                              { return math.MaxInt64 }
func (quietModule) Figures(func(string, uint64, bool))       {}

// Entries of the largest size from every member, changing five times a second, stay within a budget that is soon spent; what has
// no room is counted, and nobody is suspected for it.
func TestLargestEntries(t *testing.T) {
	budget := dissemination.BudgetConfig{Rate: 40_000, Factor: 4, Burst: 1_000_000}
	f := start(t, Spec{Members: *hard, Seed: 1, Budget: budget, Modules: func(*Member) []fleet.Module { return []fleet.Module{&full{}} }})
	const seconds = 8
	s := f.Measure(seconds * time.Second)
	most := float64(budget.Rate) + float64(budget.Rate*budget.Factor*budget.Burst/1_000_000)/seconds + membershipShare
	if mean := s.Wire(); mean > most {
		t.Errorf("%.0f bytes a second in the mean, at most %.0f may be", mean, most)
	}
	refused := uint64(0)
	for _, m := range f.Members {
		refused += m.figure("fleet_budget_settings_refused")
	}
	if refused == 0 {
		t.Error("nothing was refused: the budget was not reached")
	}
	mustAll(t, "all, unsuspected", f.AwaitAll(time.Now(), generous))
	t.Logf("%.0f bytes a second in the mean, %d times refused", s.Wire(), refused)
}

// A subscriber is sent each member's windows within its rate; when it dies, or no longer asks, nobody sends any more.
func TestSubscriber(t *testing.T) {
	f := start(t, Spec{Members: *hard, Seed: 1})
	asks := f.Members[0]
	sent := func() (n uint64) {
		for _, m := range f.Members[1:] {
			n += m.figure("figures_sent")
		}
		return n
	}
	subscribers := func() (n uint64) {
		for _, m := range f.Members[1:] {
			n += m.figure("figures_subscribers")
		}
		return n
	}
	served := func(o *Member) bool { return o == asks || o.figure("figures_subscribers") == 1 }
	idle := func(o *Member) bool { return o == asks || o.figure("figures_subscribers") == 0 }
	asks.Want(true)
	mustAll(t, "the subscription", f.Await(time.Now(), generous, 50*time.Millisecond, served))
	mustAll(t, "windows of all", f.Await(time.Now(), generous, 50*time.Millisecond, func(o *Member) bool {
		known := asks.View().Member(o.Name)
		return known != nil && len(known.Windows) > 0
	}))
	asks.Want(false)
	mustAll(t, "its end", f.Await(time.Now(), generous, 50*time.Millisecond, idle))
	asks.Want(true)
	mustAll(t, "the subscription again", f.Await(time.Now(), generous, 50*time.Millisecond, served))
	asks.Kill()
	mustAll(t, "the death of the subscriber", f.Await(time.Now(), generous, 50*time.Millisecond, idle))
	was := sent()
	time.Sleep(3 * time.Second)
	if now := sent(); now != was || subscribers() != 0 {
		t.Errorf("%d windows were sent to nobody", now-was)
	}
}
