package dissemination

import (
	"fmt"
	"math"
	"math/big"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// figuresOf returns what a Figures method gives, by name; no name comes twice.
func figuresOf(t rapid.TB, figures func(func(name string, n uint64, gauge bool))) map[string]uint64 {
	t.Helper()
	got := map[string]uint64{}
	figures(func(name string, n uint64, _ bool) {
		if _, twice := got[name]; twice {
			t.Errorf("%s comes twice", name)
		}
		got[name] = n
	})
	return got
}

// passed is a message that a budget allowed.
type passed struct {
	at    int64
	bytes int64
}

// overAny returns the first window of so many microseconds in which more than so many bytes passed.
func overAny(trace []passed, length, most int64) (at, bytes int64, over bool) {
	oldest := 0
	sum := int64(0)
	for _, p := range trace {
		sum += p.bytes
		for p.at-trace[oldest].at >= length {
			sum -= trace[oldest].bytes
			oldest++
		}
		if sum > most {
			return p.at, sum, true
		}
	}
	return 0, 0, false
}

// checkBounds holds what was allowed against both limits, in windows of all kinds of lengths.
func checkBounds(t rapid.TB, config BudgetConfig, trace []passed) {
	t.Helper()
	config = config.withDefaults()
	if at, sum, over := overAny(trace, second, config.Factor*config.Rate); over {
		t.Errorf("%d bytes in the second to %d", sum, at)
	}
	depth := config.Factor * config.Rate * config.Burst / second
	for length := int64(second); length <= 600*second; length *= 3 {
		most := depth + config.Rate*length/second
		if at, sum, over := overAny(trace, length, most); over {
			t.Errorf("%d bytes in %d s to %d, %d are the most", sum, length/second, at, most)
		}
	}
}

// Who always has something to send gets the rate in the long run, and never more than the limits.
func TestBudgetHoldsRate(t *testing.T) {
	for _, config := range []BudgetConfig{
		{},
		{Rate: 2_000, Factor: 3, Burst: 4 * second},
		{Rate: 50_000, Factor: 2, Burst: second},
	} {
		b := NewBudget(config)
		random := rand.New(rand.NewPCG(1, 2))
		var trace []passed
		total := int64(0)
		const length = 2_000 * second
		for now := int64(0); now < length; now += 1 + random.Int64N(20_000) {
			size := 1 + random.IntN(1_000)
			if b.Allow(now, Settings, size) {
				b.Spend(now, Settings, Out, size)
				trace = append(trace, passed{now, int64(size)})
				total += int64(size)
			}
		}
		checkBounds(t, config, trace)
		config = config.withDefaults()
		least := config.Rate * (length / second) * 99 / 100
		most := config.Rate*(length/second) + config.Factor*config.Rate*config.Burst/second
		if total < least || total > most {
			t.Errorf("%+v: %d bytes, and %d to %d were to be had", config, total, least, most)
		}
	}
}

// After a quiet time Factor x Rate passes for Burst, almost whole, and then Rate.
func TestBudgetBurst(t *testing.T) {
	b := NewBudget(BudgetConfig{})
	b.Spend(0, Settings, Out, 1)
	start := int64(1_000 * second)
	sent := map[int64]int64{} // bytes by second
	for now := start; now < start+60*second; now += 5_000 {
		if b.Allow(now, Settings, 700) {
			b.Spend(now, Settings, Out, 700)
			sent[(now-start)/second] += 700
		}
	}
	burst := int64(0)
	for s := range int64(8) {
		burst += sent[s]
		if sent[s] > DefaultFactor*DefaultRate {
			t.Errorf("second %d: %d bytes", s, sent[s])
		}
	}
	if burst < 8*DefaultFactor*DefaultRate*9/10 {
		t.Errorf("%d bytes in eight seconds", burst)
	}
	for s := int64(20); s < 60; s++ {
		if sent[s] < DefaultRate-1_400 || sent[s] > DefaultRate+1_400 {
			t.Errorf("second %d: %d bytes", s, sent[s])
		}
	}
}

// Whatever passes between, what was allowed stays within the limits; membership is always allowed; whenever figures
// are allowed settings would be, too.
func TestBudgetProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := BudgetConfig{
			Rate:   rapid.Int64Range(100, 100_000).Draw(t, "rate"),
			Factor: rapid.Int64Range(1, 20).Draw(t, "factor"),
			Burst:  rapid.Int64Range(second/10, 20*second).Draw(t, "burst"),
		}
		b := NewBudget(config)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		pause := rapid.Int64Range(100, 3*second).Draw(t, "pause")
		now := rapid.Int64Range(math.MinInt64/2, math.MaxInt64/2).Draw(t, "start")
		var trace []passed
		refused := map[Class]uint64{}
		for range 2_000 {
			now += random.Int64N(pause)
			size := random.IntN(3_000)
			class := Membership + Class(random.IntN(3))
			if random.IntN(4) == 0 {
				b.Spend(now, class, In, size)
				continue
			}
			if !b.Allow(now, class, size) {
				refused[class]++
				continue
			}
			if class == Figures && !b.leaves(Settings, int64(size)) {
				t.Fatal("figures pass where settings would not")
			}
			b.Spend(now, class, Out, size)
			if class != Membership {
				trace = append(trace, passed{now, int64(size)})
			}
		}
		checkBounds(t, config, trace)
		got := figuresOf(t, b.Figures)
		if refused[Membership] != 0 {
			t.Fatalf("membership was refused %d times", refused[Membership])
		}
		for _, class := range []Class{Settings, Figures} {
			if n := got["fleet_budget_"+class.String()+"_refused"]; n != refused[class] {
				t.Fatalf("%d refusals of %s counted, %d were", n, class, refused[class])
			}
		}
	})
}

// The sustained balance is what exact arithmetic says, at any times and sizes.
func TestBudgetIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		any64 := rapid.OneOf(rapid.Int64(), rapid.SampledFrom([]int64{math.MaxInt64, math.MinInt64, 0}))
		config := BudgetConfig{
			Rate:   any64.Draw(t, "rate"),
			Factor: any64.Draw(t, "factor"),
			Burst:  any64.Draw(t, "burst"),
		}
		anySize := rapid.OneOf(rapid.Int64(), rapid.Int64Range(0, 1<<40), rapid.Just(int64(math.MaxInt64)))
		b := NewBudget(config)
		config = config.withDefaults()
		depth := big.NewInt(config.Rate)
		depth.Mul(depth, big.NewInt(config.Factor)).Mul(depth, big.NewInt(config.Burst))
		balance := new(big.Int).Set(depth)
		now := any64.Draw(t, "start")
		latest := now
		for range rapid.IntRange(1, 40).Draw(t, "calls") {
			if now > latest {
				elapsed := new(big.Int).Sub(big.NewInt(now), big.NewInt(latest))
				balance.Add(balance, elapsed.Mul(elapsed, big.NewInt(config.Rate)))
				latest = now
			}
			if balance.Cmp(depth) > 0 {
				balance.Set(depth)
			}
			size := int(anySize.Draw(t, "size"))
			b.Allow(now, Figures, size)
			b.Spend(now, Settings, In, size)
			balance.Sub(balance, new(big.Int).Mul(big.NewInt(int64(max(0, size))), big.NewInt(second)))
			if floor := new(big.Int).Neg(depth); balance.Cmp(floor) < 0 {
				balance.Set(floor)
			}
			if balance.Cmp(big.NewInt(b.balance)) != 0 {
				t.Fatalf("%d is left, and %s should be", b.balance, balance)
			}
			if b.peak.sum < 0 || b.peak.sum > b.peak.limit*int64(len(b.peak.slots)) || b.peak.offset >= slotLength {
				t.Fatalf("the window has %+v", b.peak)
			}
			step := rapid.OneOf(rapid.Int64Range(-10, 10), rapid.Int64Range(0, second), any64).Draw(t, "step")
			if sum := now + step; (sum > now) == (step > 0) {
				now = sum
			}
		}
	})
}

// allowedNow tells of membership, settings, figures and two classes that are none whether 100 bytes of each are allowed.
func allowedNow(b *Budget, now int64) string {
	var allowed []bool
	for _, class := range []Class{Membership, Settings, Figures, 0, 77} {
		allowed = append(allowed, b.Allow(now, class, 100))
	}
	return strings.Trim(fmt.Sprint(allowed), "[]")
}

// Under a growing shortage in the long run figures give way first, then settings; membership never.
func TestBudgetPriority(t *testing.T) {
	depth := DefaultFactor * DefaultRate * 10
	b := NewBudget(BudgetConfig{})
	for i, step := range []struct {
		spend int
		want  string
	}{
		{0, "true true true true true"},
		{depth/2 - 101, "true true true true true"},
		{1, "true true false false false"},
		{depth/2 - 1, "true true false false false"},
		{1, "true false false false false"},
		{depth, "true false false false false"},
	} {
		b.Spend(0, Membership, In, step.spend)
		b.peak = window{limit: b.peak.limit} // the next test is about it
		if got := allowedNow(b, 0); got != step.want {
			t.Errorf("step %d: %s", i, got)
		}
	}
}

// So they do within a second, and once it is over all pass again.
func TestBudgetPriorityAtPeak(t *testing.T) {
	peak := DefaultFactor * DefaultRate
	b := NewBudget(BudgetConfig{})
	for i, step := range []struct {
		spend int
		want  string
	}{
		{peak/2 - 101, "true true true true true"},
		{1, "true true false false false"},
		{peak/2 - 1, "true true false false false"},
		{1, "true false false false false"},
	} {
		b.Spend(0, Settings, Out, step.spend)
		if got := allowedNow(b, 0); got != step.want {
			t.Errorf("step %d: %s", i, got)
		}
	}
	if got := allowedNow(b, second+slotLength); got != "true true true true true" {
		t.Errorf("a second later: %s", got)
	}
}

// A flood coming in mutes a member for a bounded time, however large it was.
func TestBudgetRecovers(t *testing.T) {
	for _, flood := range []int{5_000_000, 1 << 40, math.MaxInt} {
		b := NewBudget(BudgetConfig{})
		for range 10 {
			b.Spend(0, Figures, In, flood)
		}
		got := figuresOf(t, b.Figures)
		if got["fleet_budget_left"] != 0 || got["fleet_budget_exhausted"] != 1 {
			t.Errorf("after %d bytes: %v", flood, got)
		}
		if b.Allow(0, Settings, 1) || !b.Allow(0, Membership, 1_000) {
			t.Errorf("after %d bytes settings pass, or membership doesn't", flood)
		}
		muted := int64(DefaultFactor * DefaultBurst)
		if b.Allow(muted-second, Settings, 1) || !b.Allow(muted+second, Settings, 1) {
			t.Errorf("after %d bytes settings do not pass just after %d s", flood, muted/second)
		}
		if b.Allow(muted+second, Figures, 1) || !b.Allow(muted+muted/2+second, Figures, 1) {
			t.Errorf("after %d bytes figures do not pass just after %d s", flood, muted*3/2/second)
		}
	}
}

// While it is lifted everything passes, and is charged and counted.
func TestBudgetLift(t *testing.T) {
	b := NewBudget(BudgetConfig{Rate: 1_000, Factor: 2, Burst: second})
	b.Lift(true)
	for range 100 {
		if !b.Allow(0, Figures, 1_000) {
			t.Fatal("refused while lifted")
		}
		b.Spend(0, Figures, Out, 1_000)
	}
	got := figuresOf(t, b.Figures)
	if got["fleet_budget_figures_bytes_out"] != 100_000 || got["fleet_budget_figures_refused"] != 0 ||
		got["fleet_budget_exhausted"] != 1 {
		t.Errorf("%v", got)
	}
	b.Lift(false)
	if b.Allow(0, Settings, 1) || b.Allow(0, Figures, 1_000) || !b.Allow(0, Membership, 1) {
		t.Error("what passed while lifted was not charged")
	}
	got = figuresOf(t, b.Figures)
	if got["fleet_budget_settings_refused"] != 1 || got["fleet_budget_figures_refused_bytes"] != 1_000 {
		t.Errorf("%v", got)
	}
}

// Each class and direction has counters of its own; exhausted counts transitions.
func TestBudgetFigures(t *testing.T) {
	b := NewBudget(BudgetConfig{Rate: 1_000, Factor: 2, Burst: second}) // 2,000 bytes
	for i, class := range []Class{Membership, Settings, Figures, 0, 99} {
		b.Spend(0, class, In, 1<<(2*i))
		b.Spend(0, class, Out, 2<<(2*i))
	}
	b.Spend(0, Membership, 0, 1_000) // of no direction: out
	b.Spend(0, Membership, In, -5)
	want := map[string]uint64{
		"fleet_budget_membership_bytes_in":    1,
		"fleet_budget_membership_bytes_out":   1_002,
		"fleet_budget_settings_bytes_in":      4,
		"fleet_budget_settings_bytes_out":     8,
		"fleet_budget_settings_refused":       0,
		"fleet_budget_settings_refused_bytes": 0,
		"fleet_budget_figures_bytes_in":       16 + 64 + 256,
		"fleet_budget_figures_bytes_out":      32 + 128 + 512,
		"fleet_budget_figures_refused":        0,
		"fleet_budget_figures_refused_bytes":  0,
		"fleet_budget_exhausted":              1,
		"fleet_budget_left":                   0,
	}
	if got := figuresOf(t, b.Figures); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%v\n%v", got, want)
	}
	b.Spend(second, Settings, Out, 1) // out of debt
	if got := figuresOf(t, b.Figures); got["fleet_budget_left"] == 0 {
		t.Errorf("%v", got)
	}
	b.Spend(second, Settings, Out, 3_000)
	b.Spend(second, Settings, Out, 3_000)
	if got := figuresOf(t, b.Figures); got["fleet_budget_exhausted"] != 2 {
		t.Errorf("%v", got)
	}
}

func TestBudgetNames(t *testing.T) {
	got := fmt.Sprint(Class(0), Membership, Settings, Figures, Class(4), Direction(0), In, Out, Direction(9))
	if got != "unknown membership settings figures unknown unknown in out unknown" {
		t.Error(got)
	}
}

func BenchmarkBudget(b *testing.B) {
	budget := NewBudget(BudgetConfig{})
	now := int64(0)
	for b.Loop() {
		now += 1_000
		if budget.Allow(now, Settings, 300) {
			budget.Spend(now, Settings, Out, 300)
		}
	}
}
