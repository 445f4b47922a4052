package keeper

import (
	"math"

	"pewterwheel/internal/fleet"
)

// maxKept bounds the numbers that one process keeps, so that its part of its entry holds them all.
const maxKept = 16

// Part is the keepers' state machine of one process: it sees which numbers are hot, claims and gives up the keeping of them,
// grants permits for those it keeps, and asks for those of others. It is not safe for concurrent use.
type Part struct {
	cfg   Config
	table *Table
	queue *Queue
}

// New returns the part of a process, or a *ConfigError. The table and the queue are those of its Front. Whoever drives the
// part calls Tick when Queue.Wake says so, or at Next at the latest.
func New(cfg Config, table *Table, queue *Queue) (*Part, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Part{cfg: cfg.fill(), table: table, queue: queue}, nil
}

// Kind is fleet.Keeper.
func (p *Part) Kind() fleet.Kind { return fleet.Keeper }

// Start takes the first time.
func (p *Part) Start(now int64, out *fleet.Out) {}

// Message takes what an other process tells.
func (p *Part) Message(now int64, m fleet.Message, out *fleet.Out) {}

// View takes what is known of the processes.
func (p *Part) View(now int64, v *fleet.View, out *fleet.Out) {}

// Done: the part has no acts.
func (p *Part) Done(now int64, a fleet.Act, err error, out *fleet.Out) {}

// Tick takes what the loop has reported, and does what is due.
func (p *Part) Tick(now int64, out *fleet.Out) {}

// Next tells when Tick is due.
func (p *Part) Next() int64 { return math.MaxInt64 }

// Drain begins a planned end: what is kept here is handed over, and nothing more is claimed.
func (p *Part) Drain(now int64, out *fleet.Out) {}

// Drained tells whether all that was kept here has been handed over.
func (p *Part) Drained() bool { return true }

// Figures gives the part's counts and gauges.
func (p *Part) Figures(put func(name string, n uint64, gauge bool)) {}
