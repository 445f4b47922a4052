//go:build failpoints

package agent

import (
	"maps"
	"math"
	"slices"

	"pewterwheel/internal/failpoint"
	"pewterwheel/internal/fleet"
	"pewterwheel/internal/lease"
)

// actEvery is how often a claimer acts on what it holds.
const actEvery = 20_000

// Claimer claims the thing that the failpoint "claim" names, and notes each time that it acts on it: until when it may by its
// grant, and in N how much of that was left when it looked. It is in builds for tests alone. With "claim-unasked" it is
// broken: it acts on what it was granted once, and does not look whether it still holds it.
type Claimer struct {
	Lessor lease.Lessor
	thing  string
	next   int64
	last   lease.Grant
}

// NewClaimer returns a claimer; none if the failpoint is off.
func NewClaimer(l lease.Lessor) []fleet.Module {
	if l == nil || failpoint.Value("claim") == "" {
		return nil
	}
	return []fleet.Module{&Claimer{Lessor: l, thing: failpoint.Value("claim"), next: math.MaxInt64}}
}

// Kind is one that nobody speaks.
func (c *Claimer) Kind() fleet.Kind { return 255 }

// Start claims.
func (c *Claimer) Start(now int64, out *fleet.Out) {
	c.Lessor.Claim(now, c.thing, out)
	c.next = now + actEvery
}

// Tick acts, if it may.
func (c *Claimer) Tick(now int64, out *fleet.Out) {
	c.next = now + actEvery
	g, held := c.Lessor.Held(now, c.thing)
	if held {
		c.last = g
	} else if !failpoint.On("claim-unasked") || c.last.Fence == 0 {
		return
	}
	out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Lease, What: "acting", Thing: c.thing, Fence: c.last.Fence, Until: c.last.Until,
		N: c.last.Until - now})
}

// Next is when it acts.
func (c *Claimer) Next() int64 { return c.next }

// Message brings nothing.
func (c *Claimer) Message(int64, fleet.Message, *fleet.Out) {}

// View is not looked at.
func (c *Claimer) View(int64, *fleet.View, *fleet.Out) {}

// Done is of nothing that it asked for.
func (c *Claimer) Done(int64, fleet.Act, error, *fleet.Out) {}

// Figures has none.
func (c *Claimer) Figures(func(string, uint64, bool)) {}

// Watcher notes what its process sees of each process, itself included, whenever that changes: the life as Fence, the state in
// N, with 10 more if it is suspected, and the version as Text. One that is no longer in the view is "unseen".
type Watcher struct{ seen map[string]fleet.Note }

// NewWatcher returns a watcher that has seen nobody.
func NewWatcher() *Watcher { return &Watcher{map[string]fleet.Note{}} }

// View compares a view with the last.
func (w *Watcher) View(_ int64, v *fleet.View, out *fleet.Out) {
	here := map[string]bool{}
	for i := range v.Members {
		m := &v.Members[i]
		n := fleet.Note{Kind: w.Kind(), What: "sees", Thing: m.Name, Fence: m.Incarnation, N: int64(m.State), Text: m.Program}
		if m.Suspect {
			n.N += 10
		}
		if here[m.Name] = true; w.seen[m.Name] != n {
			w.seen[m.Name] = n
			out.Notes = append(out.Notes, n)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(w.seen)) {
		if !here[name] {
			n := w.seen[name]
			n.What = "unseen"
			out.Notes = append(out.Notes, n)
			delete(w.seen, name)
		}
	}
}

// Kind is one that nobody speaks.
func (w *Watcher) Kind() fleet.Kind { return 254 }

// Start does nothing.
func (w *Watcher) Start(int64, *fleet.Out) {}

// Tick is never called.
func (w *Watcher) Tick(int64, *fleet.Out) {}

// Next is never.
func (w *Watcher) Next() int64 { return math.MaxInt64 }

// Message brings nothing.
func (w *Watcher) Message(int64, fleet.Message, *fleet.Out) {}

// Done is of nothing that it asked for.
func (w *Watcher) Done(int64, fleet.Act, error, *fleet.Out) {}

// Figures has none.
func (w *Watcher) Figures(func(string, uint64, bool)) {}
