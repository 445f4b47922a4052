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

// Config configures an agent.
type Config struct {
	Self, Zone, Program string
	Settings            uint64 // digest of the settings in use
	Roster              uint64 // number of the installed roster
	Net                 fleetnet.Net
	Views               *fleet.ViewHolder // nil: the agent creates its own
	// NewModules creates the modules, at most one per kind, for the given incarnation. It is called when the process
	// has had time to hear of an earlier incarnation of its own, whose clock may have been ahead, and again, for
	// modules without state, if it hears of one later.
	NewModules   func(incarnation uint64) []fleet.Module
	InitialParts map[fleet.Kind][]byte // initial parts of the own entry, until the modules set theirs
	Wake         <-chan struct{}       // requests a Tick of all modules before it is due; nil: none
	// RunAct carries out an act. It runs on a goroutine of the agent and may block. Its result goes to Module.Done. If
	// RunAct is nil, every act fails with an *ActError.
	RunAct func(fleet.Act) error
	Log    *slog.Logger
	// Clock returns the machine's monotonic time in microseconds; nil: Monotonic.
	Clock func() int64
	// WallClock returns a wall clock time in microseconds, for the incarnation number. It may be wrong; nil: the
	// machine's.
	WallClock func() int64
	// Window returns the figures of the calls since its last call; nil: there are none.
	Window       func() fleet.Window
	WindowLength int64 // of a window in microseconds; 0: one second

	QueueSize     int   // maximum number of posted observations that wait; 0: 1024
	Stale, Absent int64 // see fleet.Registry
}

// ActError reports an act that was not carried out.
type ActError struct {
	What   string
	Reason string
}

func (e *ActError) Error() string {
	return fmt.Sprintf("agent: act %s was not carried out: %s", e.What, e.Reason)
}

// Advice returns what an operator can do.
func (e *ActError) Advice() string {
	return "The requesting change says what follows; if it keeps asking, end it by removing [change] and reloading."
}

// ClockError reports that the machine's clock cannot be read.
type ClockError struct{ Err error }

func (e *ClockError) Error() string {
	return "agent: cannot read the monotonic clock: " + e.Err.Error()
}
func (e *ClockError) Unwrap() error { return e.Err }

// Advice returns what an operator can do.
func (e *ClockError) Advice() string {
	return "Check what blocks clock_gettime, as a system call filter; without a clock it must not join a fleet."
}

// Errors lists all errors of this package, for the operators' page.
var Errors = []advice.Advised{&ActError{}, &ClockError{}}

// Monotonic returns the machine's monotonic time in microseconds, which is the same for all processes of a machine.
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
		cfg.Clock = scaledClock(cfg.Clock)
	}
	if cfg.WallClock == nil {
		cfg.WallClock = func() int64 { return time.Now().UnixMicro() }
	}
	if cfg.WindowLength == 0 {
		cfg.WindowLength = defaultWindowLength
	}
	if cfg.QueueSize == 0 {
		cfg.QueueSize = defaultQueueSize
	}
	if cfg.Views == nil {
		cfg.Views = &fleet.ViewHolder{}
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.RunAct == nil {
		cfg.RunAct = func(act fleet.Act) error { return &ActError{act.What, "this process cannot carry out acts"} }
	}
	a := &Agent{cfg: cfg, views: cfg.Views, log: cfg.Log, posted: make(chan func(int64, *fleet.Out), cfg.QueueSize),
		endedActs: make(chan endedAct, maxActs), states: make(chan fleet.State, 8), stop: make(chan struct{}),
		stopped: make(chan struct{}), actSlots: make(chan struct{}, maxActs), metrics: newMetrics()}
	incarnation := uint64(max(1, cfg.WallClock()))
	a.registry = fleet.NewRegistry(fleet.Entry{Name: cfg.Self, Incarnation: incarnation, Zone: cfg.Zone,
		Program:  cfg.Program,
		Settings: cfg.Settings, Roster: cfg.Roster, Protocol: fleet.ProtocolHeads, State: fleet.Starting,
		Parts: cfg.InitialParts})
	a.registry.Heads = true
	a.entryRepair = dissemination.NewRepair(dissemination.RepairConfig{Self: cfg.Self, Seed: incarnation}, a.registry)
	a.registry.Stale, a.registry.Absent = cfg.Stale, cfg.Absent
	if failpoint.On("gone-is-left") {
		a.registry.Absent = 1
	}
	return a
}
