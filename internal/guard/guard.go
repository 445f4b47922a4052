// Package guard implements the decisions of the process that supervises the serving process after the program was
// replaced. The guard keeps the process ID by which the service manager of the machine knows the sidecar, and
// makes sure that one process serves. The package uses no clock, process or file.
//
// A process that hands over to a process of another program is the parent of its successor. It becomes the guard
// once its own last call is answered, and from then on does nothing else. A process that hands over later is a
// child of the guard and simply exits.
package guard

// Delays of the guard, in microseconds.
const (
	// InitialRestartDelay is the time from the death of a process to the start of the next one. It doubles up to
	// MaxRestartDelay while processes keep dying.
	InitialRestartDelay = 100_000
	MaxRestartDelay     = 30_000_000
	// MinStableUptime is how long a process must have lived for its death to reset the restart delay.
	MinStableUptime = 60_000_000
)

// Step is the next action of a guard.
type Step struct {
	// ScheduleStart says to start a process at StartAt. It runs the concluded version, never that of a change that is not
	// concluded.
	ScheduleStart bool
	StartAt       int64
	// Exit says that the guard exits with Code: nothing is left to supervise.
	Exit bool
	Code int
}

// Guard is the state of one guard.
type Guard struct {
	startedAt      int64 // when the newest process was started or took over
	restartDelay   int64 // delay before the last start
	stopping       bool
	startScheduled bool // a start is scheduled
	lastFailed     bool // the last process that ended did not end cleanly

	// UnexpectedExits counts the processes that ended although nobody had asked them to.
	UnexpectedExits uint64
}

// New returns the guard of a process that has been serving since now.
func New(now int64) *Guard { return &Guard{startedAt: now} }

// Stop tells the guard that the service is being stopped. The parameter alive says whether a process is still running.
func (g *Guard) Stop(alive bool) Step {
	g.stopping, g.startScheduled = true, false
	if !alive {
		return Step{Exit: true}
	}
	return Step{}
}

// Ended reports that a process has ended. It ended cleanly if it was asked to end and had answered all its calls.
// The parameter alive says whether another process is still running: then the one that ended has handed over, or
// the other one took over from it, and the guard has nothing to do.
func (g *Guard) Ended(now int64, clean, alive bool) Step {
	if g.lastFailed = !clean; alive {
		return Step{}
	}
	if g.stopping || clean { // a process that ended cleanly by itself was told to by its operators
		code := 0
		if g.lastFailed {
			code = 1
		}
		return Step{Exit: true, Code: code}
	}
	g.UnexpectedExits++
	if g.restartDelay *= 2; now-g.startedAt >= MinStableUptime || g.restartDelay == 0 {
		g.restartDelay = InitialRestartDelay
	}
	g.restartDelay = min(g.restartDelay, MaxRestartDelay)
	g.startScheduled = true
	return Step{ScheduleStart: true, StartAt: now + g.restartDelay}
}

// Started reports that a process was started, or that the start failed.
func (g *Guard) Started(now int64, started bool) Step {
	if !g.startScheduled {
		return Step{}
	}
	if started {
		g.startScheduled, g.startedAt = false, now
		return Step{}
	}
	g.restartDelay = min(max(2*g.restartDelay, InitialRestartDelay), MaxRestartDelay)
	return Step{ScheduleStart: true, StartAt: now + g.restartDelay}
}
