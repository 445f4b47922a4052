package lease

import (
	"fmt"
	"testing"

	"pewterwheel/internal/fleet"
)

func rosterOf(n int) []string {
	var s []string
	for i := range n {
		s = append(s, fmt.Sprintf("p%d", i+1))
	}
	return s
}

func (sim *simulation) claim(name, resource string) {
	proc := sim.process(name)
	sim.do(proc, func(now int64, out *fleet.Out) { proc.part.Claim(now, resource, out) })
}

func (sim *simulation) release(name, resource string) {
	proc := sim.process(name)
	sim.do(proc, func(now int64, out *fleet.Out) { proc.part.Release(now, resource, out) })
}

func (sim *simulation) write(name, resource, value string) (n uint64, err error) {
	proc := sim.process(name)
	sim.do(proc, func(now int64, out *fleet.Out) {
		if n, err = proc.part.Write(now, resource, []byte(value), out); err == nil {
			proc.pendingWrites[resource] = append(proc.pendingWrites[resource],
				writeRecord{proc.part.findClaim(resource).fence, n, value})
		}
	})
	return n, err
}

func (sim *simulation) held(name, resource string) (Grant, bool) {
	proc := sim.process(name)
	return proc.part.Held(proc.clock(sim.now), resource)
}

func TestLeaseLifecycle(t *testing.T) {
	names := rosterOf(7)
	sim := newSimulation(1, names, Config{Names: names, Lease: 3_000_000, Drift: 0.01}, testOverrides{})
	sim.resources = []string{"a"}
	for _, proc := range sim.processes {
		sim.start(proc)
	}
	sim.claim("p1", "a")
	sim.run(2_900_000)
	if _, ok := sim.held("p1", "a"); ok {
		t.Error("granted before one lease had passed since the start")
	}
	sim.run(300_000)
	if _, ok := sim.held("p1", "a"); !ok {
		t.Fatal("not granted")
	}
	if _, err := sim.write("p1", "a", "one"); err != nil {
		t.Fatal(err)
	}
	sim.run(2000)
	sim.claim("p2", "a")
	sim.run(20_000_000)
	g1, ok := sim.held("p1", "a")
	if !ok || string(g1.Value) != "one" {
		t.Fatalf("%+v %v", g1, ok)
	}
	if name, fence := sim.process("p2").part.Holder("a"); name != "p1" || fence != g1.Fence {
		t.Errorf("p2 reports holder %s under fence %d", name, fence)
	}
	sent := sim.process("p1").part.counts.sent
	sim.run(30_000_000)
	if n := sim.process("p1").part.counts.sent - sent; n > 30*5+5 {
		t.Errorf("%d messages for a lease held for 30 s", n)
	}
	sim.release("p1", "a")
	sim.run(100_000)
	g2, ok := sim.held("p2", "a")
	if !ok || g2.Fence <= g1.Fence || string(g2.Value) != "one" {
		t.Fatalf("after the release: %+v %v", g2, ok)
	}
	at := sim.now
	sim.claim("p3", "a")
	sim.run(500_000)
	sim.stop(sim.process("p2"))
	sim.run(5_000_000)
	if _, ok := sim.held("p3", "a"); !ok {
		t.Fatal("not granted after the holder's death")
	}
	t.Logf("next grant after %.2f s", (sim.grantedAt["a"]-at)/1e6)
	if sim.violation != "" {
		t.Error(sim.violation)
	}
}

// A holder keeps its lease, fence and record through a roster change that replaces most electors and reaches the
// processes one by one. Then the previous electors stop, and the next holder must see the record.
func TestLeaseSurvivesRosterChange(t *testing.T) {
	names := rosterOf(9)
	sim := newSimulation(3, names, Config{Names: names[:5], Lease: 1_000_000, Drift: 0.01}, testOverrides{})
	sim.resources = []string{"a"}
	for _, proc := range sim.processes {
		sim.start(proc)
	}
	sim.claim("p9", "a")
	sim.run(1_500_000)
	if _, err := sim.write("p9", "a", "x"); err != nil {
		t.Fatal(err)
	}
	sim.run(100_000)
	before, _ := sim.held("p9", "a")
	sim.rosters = append(sim.rosters, names[3:8])
	for _, proc := range sim.processes {
		if err := proc.part.SetRoster(proc.clock(sim.now), 2, names[3:8]); err != nil {
			t.Fatal(err)
		}
		sim.run(50_000)
	}
	sim.run(3_000_000)
	if g, ok := sim.held("p9", "a"); !ok || g.Fence != before.Fence || string(g.Value) != "x" {
		t.Fatalf("before %+v, after %+v %v", before, g, ok)
	}
	for _, name := range names[:3] {
		sim.stop(sim.process(name))
	}
	sim.claim("p8", "a")
	sim.release("p9", "a")
	sim.run(2_000_000)
	if g, ok := sim.held("p8", "a"); !ok || g.Fence <= before.Fence || string(g.Value) != "x" || sim.violation != "" {
		t.Fatalf("next holder: %+v %v %s", g, ok, sim.violation)
	}
	for _, proc := range sim.processes {
		if proc.up && len(proc.part.learning) > 0 {
			t.Errorf("%s is still learning", proc.name)
		}
	}
}
