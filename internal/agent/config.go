package agent

import (
	"fmt"
	"log/slog"
	"time"

	"golang.org/x/sys/unix"

	"pewterwheel/internal/advice"
	"pewterwheel/internal/dissemination"
	"pewterwheel/internal/failpoint"
	"pewterwheel/internal/fleet"
	"pewterwheel/internal/fleetnet"
)

// Config is what an agent is made from.
type Config struct {
	Self, Zone, Program string
	Settings            uint64 // digest of the settings it goes by
	Roster              uint64 // number of the roster it knows
	Net                 fleetnet.Net
	Views               *fleet.ViewHolder // nil: one of its own
	// Make makes the parts, one of a kind at the most, for a life of this number. They are made when the process has had time to
	// hear of an earlier life of its own, whose clock may have been ahead; and anew, knowing nothing, if it hears of one later.
	Make  func(life uint64) []fleet.Module
	First map[fleet.Kind][]byte // parts of the own entry until the modules tell theirs
	Wake  <-chan struct{}       // asks for a Tick of all parts before it is due; nil: nothing does
	// Do carries out an act; it may take its time, on a goroutine of the agent's. What came of it goes to Part.Done. nil: every
	// act fails with an *ActError.
	Do  func(fleet.Act) error
	Log *slog.Logger
	// Clock is the machine's monotonic time in microseconds; nil: that.
	Clock func() int64
	// Wall is a wall clock in microseconds, for the number of this life. It may be wrong; nil: the machine's.
	Wall func() int64
	// Window gives the figures of the calls since it was last asked; nil: there are none.
	Window func() fleet.Window
	Length int64 // of a window; 0: a second

	Queue         int   // posted observations that wait at the most; 0: 1024
	Stale, Absent int64 // as of fleet.Registry
}

// ActError is an act that was not carried out.
type ActError struct {
	What string
	Why  string
}

func (e *ActError) Error() string { return fmt.Sprintf("agent: %s was not done: %s", e.What, e.Why) }

// Advice says what an operator can do.
func (e *ActError) Advice() string {
	return "The change that asked for it says what follows; if it asks again and again, end the change by taking [change] out and reloading."
}

// ClockError is a machine clock that cannot be read.
type ClockError struct{ Err error }

func (e *ClockError) Error() string { return "agent: monotonic clock: " + e.Err.Error() }
func (e *ClockError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *ClockError) Advice() string {
	return "Look what keeps the process from clock_gettime, as a filter of system calls; without a clock it must not join a fleet."
}

// Errors are all errors of this package, for the operators' page.
var Errors = []advice.Advised{&ActError{}, &ClockError{}}

// Monotonic is the machine's monotonic time in microseconds: the same for all processes of one machine.
func Monotonic() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(&ClockError{err})
	}
	return t.Nano() / 1000
}

// New returns an agent. Run starts it.
func New(cfg Config) *Agent {
	if cfg.Clock == nil {
		cfg.Clock = Monotonic
	}
	if failpoint.Enabled {
		cfg.Clock = rated(cfg.Clock)
	}
	if cfg.Wall == nil {
		cfg.Wall = func() int64 { return time.Now().UnixMicro() }
	}
	if cfg.Length == 0 {
		cfg.Length = defaultLength
	}
	if cfg.Queue == 0 {
		cfg.Queue = defaultQueue
	}
	if cfg.Views == nil {
		cfg.Views = &fleet.ViewHolder{}
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.Do == nil {
		cfg.Do = func(act fleet.Act) error { return &ActError{act.What, "nothing here does it"} }
	}
	a := &Agent{cfg: cfg, views: cfg.Views, log: cfg.Log, posted: make(chan func(int64, *fleet.Out), cfg.Queue),
		acts: make(chan ended, maxActs), states: make(chan fleet.State, 8), stop: make(chan struct{}), over: make(chan struct{}), slots: make(chan struct{}, maxActs), metrics: newMetrics()}
	life := uint64(max(1, cfg.Wall()))
	a.registry = fleet.NewRegistry(fleet.Entry{Name: cfg.Self, Incarnation: life, Zone: cfg.Zone, Program: cfg.Program,
		Settings: cfg.Settings, Roster: cfg.Roster, Protocol: fleet.ProtocolHeads, State: fleet.Starting, Parts: cfg.First})
	a.registry.Heads = true
	a.repair = dissemination.NewRepair(dissemination.RepairConfig{Self: cfg.Self, Seed: life}, a.registry)
	a.registry.Stale, a.registry.Absent = cfg.Stale, cfg.Absent
	if failpoint.On("gone-is-left") {
		a.registry.Absent = 1
	}
	return a
}
