// Package guard decides for the process that stays when its program is replaced: it keeps the number by which the machine's
// service manager knows the sidecar, and sees to it that one process of it serves. It has no clock, process or file.
//
// A process that hands over to another program's is that one's parent. It becomes the guard when its own last call is
// answered, and from then on holds nothing but this. What hands over later is a child of the guard's and just ends.
package guard

// Times of a guard, in microseconds.
const (
	// FirstPause is how long after a process died the next one is started; it doubles to MostPause while they go on dying.
	FirstPause = 100_000
	MostPause  = 30_000_000
	// Steady is how long a process must have lived for its death to count as a first one.
	Steady = 60_000_000
)

// Step is what a guard is to do.
type Step struct {
	// Start, at StartAt: a process of the concluded version, which is never that of a change that is not concluded.
	Start   bool
	StartAt int64
	// Exit with Code: all is over.
	Exit bool
	Code int
}

// Guard is the decisions of one guard.
type Guard struct {
	began    int64 // when the newest process was started, or taken over
	pause    int64 // before the last start
	stopping bool
	waits    bool // for a start that is due
	failed   bool // the last process that ended on the way out failed

	// Deaths counts processes that ended though nobody had asked them to.
	Deaths uint64
}

// New returns the guard of a process that serves since now.
func New(now int64) *Guard { return &Guard{began: now} }

// Stop says that all is to end. Alive tells whether a process is left.
func (g *Guard) Stop(alive bool) Step {
	g.stopping, g.waits = true, false
	if !alive {
		return Step{Exit: true}
	}
	return Step{}
}

// Ended says that a process has ended, clean if it was asked to and all was answered. Alive tells whether another one is
// left: then the one that ended has handed over, or lost to it, and nothing is to be done.
func (g *Guard) Ended(now int64, clean, alive bool) Step {
	if g.failed = !clean; alive {
		return Step{}
	}
	if g.stopping || clean { // who ended cleanly by itself was told to by its operators
		code := 0
		if g.failed {
			code = 1
		}
		return Step{Exit: true, Code: code}
	}
	g.Deaths++
	if g.pause *= 2; now-g.began >= Steady || g.pause == 0 {
		g.pause = FirstPause
	}
	g.pause = min(g.pause, MostPause)
	g.waits = true
	return Step{Start: true, StartAt: now + g.pause}
}

// Started says that a process was started, or could not be.
func (g *Guard) Started(now int64, done bool) Step {
	if !g.waits {
		return Step{}
	}
	if done {
		g.waits, g.began = false, now
		return Step{}
	}
	g.pause = min(max(2*g.pause, FirstPause), MostPause)
	return Step{Start: true, StartAt: now + g.pause}
}
