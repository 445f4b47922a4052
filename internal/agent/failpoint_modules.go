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

// actInterval is how often a claimer acts on the resource it holds.
const actInterval = 20_000

// Claimer claims the resource that the failpoint "claim" names and adds a note each time it acts on it: the expiry of
// its grant in Until, and the remaining time in N. It exists only in test builds. With the failpoint "claim-unasked" it
// is faulty: it acts on an earlier grant without checking that it still holds the resource.
type Claimer struct {
	Lessor    lease.Client
	resource  string
	nextAct   int64
	lastGrant lease.Grant
}

// NewClaimer returns a claimer, or none if the failpoint is off.
func NewClaimer(l lease.Client) []fleet.Module {
	if l == nil || failpoint.Value("claim") == "" {
		return nil
	}
	return []fleet.Module{&Claimer{Lessor: l, resource: failpoint.Value("claim"), nextAct: math.MaxInt64}}
}

// Kind returns a kind that no message has.
func (c *Claimer) Kind() fleet.Kind { return 255 }

// Start claims the resource.
func (c *Claimer) Start(now int64, out *fleet.Out) {
	c.Lessor.Claim(now, c.resource, out)
	c.nextAct = now + actInterval
}

// Tick acts if the resource is held.
func (c *Claimer) Tick(now int64, out *fleet.Out) {
	c.nextAct = now + actInterval
	g, held := c.Lessor.Held(now, c.resource)
	if held {
		c.lastGrant = g
	} else if !failpoint.On("claim-unasked") || c.lastGrant.Fence == 0 {
		return
	}
	out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Lease, What: "acting", Thing: c.resource,
		Fence: c.lastGrant.Fence, Until: c.lastGrant.Until,
		N: c.lastGrant.Until - now})
}

// Next returns when the claimer acts next.
func (c *Claimer) Next() int64 { return c.nextAct }

// Message does nothing.
func (c *Claimer) Message(int64, fleet.Message, *fleet.Out) {}

// View does nothing.
func (c *Claimer) View(int64, *fleet.View, *fleet.Out) {}

// Done does nothing: a Claimer requests no acts.
func (c *Claimer) Done(int64, fleet.Act, error, *fleet.Out) {}

// Figures reports no metrics.
func (c *Claimer) Figures(func(string, uint64, bool)) {}

// Watcher adds a note whenever its process's view of a process changes, itself included: the incarnation in Fence, the
// state in N, plus 10 if the process is suspected, and the version in Text. A process that is no longer in the view is
// noted as "unseen".
type Watcher struct{ lastSeen map[string]fleet.Note }

// NewWatcher returns a watcher that has not seen any process.
func NewWatcher() *Watcher { return &Watcher{map[string]fleet.Note{}} }

// View compares a view with the previous one.
func (w *Watcher) View(_ int64, view *fleet.View, out *fleet.Out) {
	present := map[string]bool{}
	for i := range view.Members {
		member := &view.Members[i]
		note := fleet.Note{Kind: w.Kind(), What: "sees", Thing: member.Name, Fence: member.Incarnation,
			N: int64(member.State), Text: member.Program}
		if member.Suspect {
			note.N += 10
		}
		if present[member.Name] = true; w.lastSeen[member.Name] != note {
			w.lastSeen[member.Name] = note
			out.Notes = append(out.Notes, note)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(w.lastSeen)) {
		if !present[name] {
			note := w.lastSeen[name]
			note.What = "unseen"
			out.Notes = append(out.Notes, note)
			delete(w.lastSeen, name)
		}
	}
}

// Kind returns a kind that no message has.
func (w *Watcher) Kind() fleet.Kind { return 254 }

// Start does nothing.
func (w *Watcher) Start(int64, *fleet.Out) {}

// Tick is never called.
func (w *Watcher) Tick(int64, *fleet.Out) {}

// Next returns no time.
func (w *Watcher) Next() int64 { return math.MaxInt64 }

// Message does nothing.
func (w *Watcher) Message(int64, fleet.Message, *fleet.Out) {}

// Done does nothing: a Watcher requests no acts.
func (w *Watcher) Done(int64, fleet.Act, error, *fleet.Out) {}

// Figures reports no metrics.
func (w *Watcher) Figures(func(string, uint64, bool)) {}
