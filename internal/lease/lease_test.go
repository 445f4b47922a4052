package lease

import (
	"fmt"
	"testing"

	"pewterwheel/internal/fleet"
)

func roster(n int) []string {
	var s []string
	for i := range n {
		s = append(s, fmt.Sprintf("p%d", i+1))
	}
	return s
}

func (w *world) claim(name, thing string) {
	q := w.proc(name)
	w.do(q, func(now int64, out *fleet.Out) { q.part.Claim(now, thing, out) })
}

func (w *world) release(name, thing string) {
	q := w.proc(name)
	w.do(q, func(now int64, out *fleet.Out) { q.part.Release(now, thing, out) })
}

func (w *world) write(name, thing, value string) (n uint64, err error) {
	q := w.proc(name)
	w.do(q, func(now int64, out *fleet.Out) {
		if n, err = q.part.Write(now, thing, []byte(value), out); err == nil {
			q.waits[thing] = append(q.waits[thing], written{q.part.claim(thing).fence, n, value})
		}
	})
	return n, err
}

func (w *world) held(name, thing string) (Grant, bool) {
	q := w.proc(name)
	return q.part.Held(q.clock(w.now), thing)
}

func TestLife(t *testing.T) {
	names := roster(7)
	w := newWorld(1, names, Config{Names: names, Lease: 3_000_000, Drift: 0.01}, doctor{})
	w.things = []string{"a"}
	for _, q := range w.procs {
		w.start(q)
	}
	w.claim("p1", "a")
	w.run(2_900_000)
	if _, ok := w.held("p1", "a"); ok {
		t.Error("granted before a lease had passed since all started")
	}
	w.run(300_000)
	if _, ok := w.held("p1", "a"); !ok {
		t.Fatal("not granted")
	}
	if _, err := w.write("p1", "a", "one"); err != nil {
		t.Fatal(err)
	}
	w.run(2000)
	w.claim("p2", "a")
	w.run(20_000_000)
	g1, ok := w.held("p1", "a")
	if !ok || string(g1.Value) != "one" {
		t.Fatalf("%+v %v", g1, ok)
	}
	if name, fence := w.proc("p2").part.Holder("a"); name != "p1" || fence != g1.Fence {
		t.Errorf("p2 takes %s under %d for the holder", name, fence)
	}
	sent := w.proc("p1").part.counts.sent
	w.run(30_000_000)
	if n := w.proc("p1").part.counts.sent - sent; n > 30*5+5 {
		t.Errorf("%d messages for a lease held for 30 s", n)
	}
	w.release("p1", "a")
	w.run(100_000)
	g2, ok := w.held("p2", "a")
	if !ok || g2.Fence <= g1.Fence || string(g2.Value) != "one" {
		t.Fatalf("after the release: %+v %v", g2, ok)
	}
	at := w.now
	w.claim("p3", "a")
	w.run(500_000)
	w.stop(w.proc("p2"))
	w.run(5_000_000)
	if _, ok := w.held("p3", "a"); !ok {
		t.Fatal("not granted after the holder's death")
	}
	t.Logf("the next got it %.2f s after", (w.granted["a"]-at)/1e6)
	if w.broken != "" {
		t.Error(w.broken)
	}
}

// A holder keeps its lease, its fence and its record through a roster that changes most of the electors, told one by one; the old
// ones then end, and the next holder sees the record.
func TestHeldThroughARoster(t *testing.T) {
	names := roster(9)
	w := newWorld(3, names, Config{Names: names[:5], Lease: 1_000_000, Drift: 0.01}, doctor{})
	w.things = []string{"a"}
	for _, q := range w.procs {
		w.start(q)
	}
	w.claim("p9", "a")
	w.run(1_500_000)
	if _, err := w.write("p9", "a", "x"); err != nil {
		t.Fatal(err)
	}
	w.run(100_000)
	before, _ := w.held("p9", "a")
	w.rosters = append(w.rosters, names[3:8])
	for _, q := range w.procs {
		if err := q.part.SetRoster(q.clock(w.now), 2, names[3:8]); err != nil {
			t.Fatal(err)
		}
		w.run(50_000)
	}
	w.run(3_000_000)
	if g, ok := w.held("p9", "a"); !ok || g.Fence != before.Fence || string(g.Value) != "x" {
		t.Fatalf("before %+v, after %+v %v", before, g, ok)
	}
	for _, name := range names[:3] {
		w.stop(w.proc(name))
	}
	w.claim("p8", "a")
	w.release("p9", "a")
	w.run(2_000_000)
	if g, ok := w.held("p8", "a"); !ok || g.Fence <= before.Fence || string(g.Value) != "x" || w.broken != "" {
		t.Fatalf("the next: %+v %v %s", g, ok, w.broken)
	}
	for _, q := range w.procs {
		if q.up && len(q.part.busy) > 0 {
			t.Errorf("%s still learns", q.name)
		}
	}
}
