package stage

import (
	"math"

	"pewterwheel/internal/fleet"
)

// Part is the staged change in one process: what the process itself does about a change and, while it holds the lease, the
// conductor of it. It implements fleet.Part.
type Part struct{ c Config }

var _ fleet.Part = (*Part)(nil)

func newPart(c Config) *Part { c.Rules = c.Rules.whole(); return &Part{c: c} }

func (p *Part) propose(now int64, t Target, out *fleet.Out) error { return nil }

// Kind is fleet.Stage.
func (p *Part) Kind() fleet.Kind                                       { return fleet.Stage }
func (p *Part) Start(now int64, out *fleet.Out)                        {}
func (p *Part) Message(now int64, m fleet.Message, out *fleet.Out)     {}
func (p *Part) View(now int64, v *fleet.View, out *fleet.Out)          {}
func (p *Part) Done(now int64, a fleet.Act, err error, out *fleet.Out) {}
func (p *Part) Tick(now int64, out *fleet.Out)                         {}
func (p *Part) Next() int64                                            { return math.MaxInt64 }
func (p *Part) Figures(put func(name string, n uint64, gauge bool))    {}
