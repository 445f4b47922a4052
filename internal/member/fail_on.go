//go:build failpoints

package member

import (
	"math"

	"pewterwheel/internal/failpoint"
	"pewterwheel/internal/fleet"
	"pewterwheel/internal/lease"
)

// failParts are parts that only tests have: with the failpoint claim=THING one that claims a thing and, while it holds it,
// notes each 50 ms that it acts, so that a reader of all logs sees whether anybody else did.
func (t *together) failParts() []fleet.Part {
	if thing := failpoint.Value("claim"); thing != "" {
		return []fleet.Part{&claimer{thing: thing, lessor: t.lessor, next: math.MaxInt64}}
	}
	return nil
}

const (
	claimKind  fleet.Kind = 250
	claimEvery            = 50_000
)

type claimer struct {
	thing  string
	lessor lease.Lessor
	next   int64
	acted  uint64
}

func (c *claimer) Kind() fleet.Kind { return claimKind }
func (c *claimer) Start(now int64, out *fleet.Out) {
	c.lessor.Claim(now, c.thing, out)
	c.next = now + claimEvery
}
func (c *claimer) Tick(now int64, out *fleet.Out) {
	c.next = now + claimEvery
	if g, ok := c.lessor.Held(now, c.thing); ok {
		c.acted++
		out.Notes = append(out.Notes, fleet.Note{Kind: claimKind, What: "acting", Thing: c.thing, Fence: g.Fence, Until: g.Until, N: int64(c.acted)})
	}
}
func (c *claimer) Next() int64                              { return c.next }
func (c *claimer) Message(int64, fleet.Message, *fleet.Out) {}
func (c *claimer) View(int64, *fleet.View, *fleet.Out)      {}
func (c *claimer) Done(int64, fleet.Act, error, *fleet.Out) {}
func (c *claimer) Figures(put func(string, uint64, bool))   { put("claim_acted", c.acted, false) }
