package dissemination

import (
	"fmt"
	"testing"

	"pewterwheel/internal/fleet"
)

// deafen has every tenth member miss all gossip for so many microseconds from now.
func (w *world) deafen(length int64) {
	for i := 0; i < len(w.members); i += 10 {
		w.members[i].deafTill = w.now + length
	}
}

// expectTraffic logs and bounds the bytes of all members between two seconds: the mean a second and the most of one
// member in one second.
func (w *world) expectTraffic(what string, from, to int64, mean float64, most int64) {
	w.t.Helper()
	gotMean, gotMost := w.report(from, to)
	w.t.Logf("%s: %.0f bytes a second a member, %d at the most", what, gotMean, gotMost)
	for _, name := range []string{
		"repair_asks", "repair_answers", "repair_wanted", "repair_passed", "fleet_budget_settings_refused",
	} {
		w.t.Logf("    %s %d", name, w.counts(name))
	}
	if gotMean > mean || gotMost > most {
		w.t.Errorf("%s: over %.0f bytes a second, or over %d in one", what, mean, most)
	}
	if n := w.counts("repair_bad_messages"); n != 0 {
		w.t.Errorf("%d bad messages", n)
	}
}

// While nothing changes only probes cost anything: neither gossip nor repair says a word.
func TestFleetQuiet(t *testing.T) {
	w := newWorld(t, worldConfig{members: 510, loss: 0.05, seed: 1})
	w.wait(5 * second)
	w.expectTraffic("quiet", 1, 5, 1_600, 4_000)
	if n := w.counts("repair_asks") + w.counts("fleet_gossip_sent"); n != 0 {
		t.Errorf("%d asks and gossiped entries", n)
	}
}

// A change is known to all within five seconds, though a twentieth of all datagrams is lost and a tenth of the members
// hears no gossip at all.
func TestFleetLearnsOfAChange(t *testing.T) {
	for _, config := range []worldConfig{
		{members: 510, seed: 1},
		{members: 510, seed: 2},
		{members: 510, seed: 3},
		{members: 510, seed: 4},
		{members: 510, seed: 5},
		{members: 510, seed: 6, headBytes: 1_000},
		{members: 510, seed: 7, spreadsAll: true},
		{members: 1_020, seed: 1},
		{members: 1_020, seed: 2},
	} {
		config.loss = 0.05
		w := newWorld(t, config)
		w.wait(second)
		w.deafen(10 * second)
		w.change(w.members[w.random.IntN(config.members)])
		took := w.converge(5)
		what := fmt.Sprintf("%+v: %.2f s", w.worldConfig, took)
		w.expectTraffic(what, 1, w.now/second+1, 6_000, 35_000)
	}
}

// Thirty changes at one moment are known to all somewhat later, under the same faults.
func TestFleetLearnsOfManyChanges(t *testing.T) {
	w := newWorld(t, worldConfig{members: 510, loss: 0.05, seed: 1})
	w.wait(second)
	w.deafen(30 * second)
	for i := range 30 {
		w.change(w.members[i*17])
	}
	took := w.converge(10)
	w.expectTraffic(fmt.Sprintf("30 changes, %.2f s", took), 1, w.now/second+1, 16_000, 65_000)
}

// A change of some member each second, the whole time, stays well within the budget.
func TestFleetChangesSteadily(t *testing.T) {
	w := newWorld(t, worldConfig{members: 510, loss: 0.05, seed: 1})
	for range 30 {
		w.change(w.members[w.random.IntN(len(w.members))])
		w.wait(second)
	}
	w.expectTraffic("a change each second", 10, 30, 6_500, 20_000)
	if n := w.counts("fleet_budget_settings_refused"); n != 0 {
		t.Errorf("%d refusals", n)
	}
	w.converge(5)
}

// split has each half of the members know a hundred changes of each of its own, and none of the other half's, after an
// hour in which the halves did not hear of each other.
func (w *world) split() {
	w.now += 3_600 * second
	for _, v := range w.versions {
		v.Version += 100
		w.versions[v.Name] = v
	}
	for i, m := range w.members {
		for j := i % 2; j < len(w.members); j += 2 {
			m.registry.set(w.versions[w.members[j].name])
		}
	}
}

// Two halves that know nothing of each other's changes become equal, and the bytes a second stay bounded meanwhile.
func TestHalvesConverge(t *testing.T) {
	w := newWorld(t, worldConfig{members: 510, loss: 0.05, seed: 1})
	w.split()
	start := w.now / second
	took := w.converge(40)
	w.expectTraffic(fmt.Sprintf("halves, %.2f s", took), start, w.now/second, 12_500, DefaultFactor*DefaultRate*5/4)
	for at := start; at < w.now/second; at++ {
		if mean, _ := w.report(at, at+1); mean > 30_000 {
			t.Errorf("second %d: %.0f bytes a member", at-start, mean)
		}
	}
}

// Also within a budget that is too small for it: what is refused comes later.
func TestHalvesConvergeInASmallBudget(t *testing.T) {
	const rate = 4_000
	w := newWorld(t, worldConfig{members: 200, loss: 0.05, seed: 1, rate: rate, headBytes: 1_500})
	w.split()
	start := w.now / second
	took := w.converge(300)
	length := w.now/second - start
	depth := float64(DefaultFactor * rate * DefaultBurst / second)
	what := fmt.Sprintf("halves in a small budget, %.2f s", took)
	w.expectTraffic(what, start, w.now/second, depth/float64(length)+rate, 4*DefaultFactor*rate)
	if w.counts("fleet_budget_settings_refused") == 0 {
		t.Error("nothing was refused: the budget was not small")
	}
}

// The simulated heads come back as they were.
func TestHeads(t *testing.T) {
	w := newWorld(t, worldConfig{members: 1})
	v := fleet.Version{Name: "sidecar-0000", Incarnation: 1 << 40, Version: 77}
	if raw := w.encodeHead(v); decodeHead(raw) != v || len(raw) != w.headBytes {
		t.Errorf("%x", raw)
	}
}
