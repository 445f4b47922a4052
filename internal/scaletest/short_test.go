package scaletest

import (
	"math"
	"slices"
	"testing"
	"time"
)

// generous is far longer than anything that is waited for takes: nothing is judged by how fast it comes.
const generous = 60 * time.Second

// start makes a fleet, starts all of it at once, and waits until each member knows all.
func start(t *testing.T, spec Spec) *Fleet {
	t.Helper()
	f, err := NewFleet(spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	begin := time.Now()
	if err := f.Start(0); err != nil {
		t.Fatal(err)
	}
	mustAll(t, "the start", f.AwaitAll(begin, generous))
	return f
}

// mustAll fails unless all members had what was waited for.
func mustAll(t *testing.T, what string, had Times) {
	t.Helper()
	took, ok := had.By(1)
	if !ok {
		t.Fatalf("%s: %d of %d within %s", what, len(had.Took), had.Of, had.Limit)
	}
	t.Logf("%s: all %d within %s", what, had.Of, took)
}

// A member that ends without a word is suspected by all; started again it is one of them, with the settings of before.
func TestRestart(t *testing.T) {
	t.Parallel()
	f := start(t, Spec{Members: 6, Seed: 1})
	m := f.Members[2]
	digest := m.ChangeSettings()
	earlier := m.Counters()
	m.Kill()
	mustAll(t, "its end", f.Await(time.Now(), generous, 50*time.Millisecond, func(o *Member) bool {
		return o == m || suspects(o, m)
	}))
	if err := m.Start(); err != nil {
		t.Fatal(err)
	}
	mustAll(t, "its return", f.AwaitAll(time.Now(), generous))
	// The membership may see it before its new entry has come: until then the others show the entry of before.
	mustAll(t, "its settings", f.Await(time.Now(), generous, 50*time.Millisecond, func(o *Member) bool {
		known := o.View().Member(m.Name)
		return known != nil && known.Settings == digest
	}))
	if now := m.Counters(); now[DatagramBytesOut] < earlier[DatagramBytesOut] {
		t.Errorf("its counts ran backwards: %v, %v", earlier, now)
	}
	if err := m.Restart(); err != nil {
		t.Fatal(err)
	}
	mustAll(t, "its restart", f.AwaitAll(time.Now(), generous))
}

// suspects tells whether one member suspects another, or no longer shows it.
func suspects(o, m *Member) bool {
	known := o.View().Member(m.Name)
	return known == nil || known.Suspect
}

// Members that reach each other by links with faults know all, and the faults are as many as were asked for.
func TestLinks(t *testing.T) {
	t.Parallel()
	const part, within = 0.05, 0.02
	links := UsualLinks()
	links.Loss, links.Double, links.Late = part, part, part
	f := start(t, Spec{Members: 12, Zones: 4, Regions: 2, Links: &links, Seed: 1})
	n := f.Links()
	for by := time.Now().Add(generous); n.Passed.Load() < 2000 && time.Now().Before(by); {
		time.Sleep(50 * time.Millisecond)
	}
	drawn := float64(n.Passed.Load() - n.Doubled.Load() + n.Lost.Load())
	all := map[string]int64{"lost": n.Lost.Load(), "doubled": n.Doubled.Load(), "late": n.Late.Load()}
	for what, got := range all {
		if had := float64(got) / drawn; math.Abs(had-part) > within {
			t.Errorf("%s: %.3f of %.0f datagrams", what, had, drawn)
		}
	}
	mustAll(t, "a change", f.AwaitChange(f.Members[1], generous))
}

// cutCase is a cut, and who is to suspect whom by it.
type cutCase struct {
	what string
	cut  func(f *Fleet) error
	away func(o, m *Member) bool // whether o is to suspect m
}

// play makes the cut and heals it, and is how long each member took until it suspected whom it is to suspect, and from
// the healing on until it knew all.
func (c cutCase) play(t *testing.T, f *Fleet, limit time.Duration) (seen, healed Times) {
	t.Helper()
	if err := c.cut(f); err != nil {
		t.Fatal(err)
	}
	seen = f.Await(time.Now(), limit, 50*time.Millisecond, func(o *Member) bool {
		return !slices.ContainsFunc(f.Members, func(m *Member) bool { return c.away(o, m) && !suspects(o, m) })
	})
	f.Heal()
	return seen, f.AwaitAll(time.Now(), limit)
}

var cutCases = []cutCase{
	{
		"a zone",
		func(f *Fleet) error { return f.CutZone(0) },
		func(o, m *Member) bool { return (o.zone == 0) != (m.zone == 0) },
	},
	{
		"regions",
		func(f *Fleet) error { return f.CutRegions(0, 1) },
		func(o, m *Member) bool { return o.region() != m.region() },
	},
	{
		"inward",
		func(f *Fleet) error { return f.CutInward(f.Members[0]) },
		func(o, m *Member) bool { return o.index == 0 && m.index != 0 },
	},
	{
		"outward",
		func(f *Fleet) error { return f.CutOutward(f.Members[0]) },
		func(o, m *Member) bool { return m.index == 0 && o.index != 0 },
	},
}

// Each cut is seen by those that it concerns, and heals.
func TestCuts(t *testing.T) {
	t.Parallel()
	links := UsualLinks()
	f := start(t, Spec{Members: 12, Zones: 4, Regions: 2, Links: &links, Seed: 1})
	for _, c := range cutCases {
		seen, healed := c.play(t, f, generous)
		mustAll(t, "a cut: "+c.what, seen)
		mustAll(t, "its healing", healed)
	}
	if f.Links().Cut.Load() == 0 {
		t.Error("no datagram met a cut")
	}
}

// A fleet whose members are started one by one knows all; and without links nothing can be cut.
func TestStartedWithin(t *testing.T) {
	t.Parallel()
	f, err := NewFleet(Spec{Members: 6, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	if err := f.Start(time.Second); err != nil {
		t.Fatal(err)
	}
	mustAll(t, "the start", f.AwaitAll(time.Now(), generous))
	if f.CutZone(0) == nil || f.CutInward(f.Members[0]) == nil {
		t.Error("a cut without links")
	}
	f.Heal()
}

// The line through figures is that of least squares, and its residual what they differ by.
func TestFit(t *testing.T) {
	l := Fit([]float64{0, 1, 2, 3}, []float64{1, 4, 4, 7})
	if math.Abs(l.At0-1.3) > 1e-9 || math.Abs(l.Slope-1.8) > 1e-9 || math.Abs(l.Residual-math.Sqrt(0.45)) > 1e-9 {
		t.Errorf("%+v", l)
	}
}

// Times count those that took no longer than the others, and say who did not come.
func TestTimes(t *testing.T) {
	had := Times{Of: 4, Took: []time.Duration{1, 2, 3}, Limit: 9}
	for part, want := range map[float64]time.Duration{0.01: 1, 0.5: 2, 0.75: 3} {
		if got, ok := had.By(part); !ok || got != want {
			t.Errorf("%g: %d, %v", part, got, ok)
		}
	}
	if got, ok := had.By(0.99); ok || got != 9 {
		t.Errorf("99%%: %d, %v", got, ok)
	}
}
