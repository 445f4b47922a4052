// Package agent runs the modules of a process that coordinate with other processes: on one goroutine, separate from the
// loop of calls. It delivers the messages of other processes to the modules, carries out the actions that the modules
// request, publishes the process's own entry and logs the modules' notes. Nothing in it delays a call, and its input
// waits in bounded queues that count what they drop.
package agent

import (
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"pewterwheel/internal/advice"
	"pewterwheel/internal/dissemination"
	"pewterwheel/internal/failpoint"
	"pewterwheel/internal/fleet"
	"pewterwheel/internal/fleetnet"
)

const (
	defaultWindowLength = 1_000_000
	// moduleStartDelay is the time from the start of the agent to the creation of the modules; see Config.NewModules.
	moduleStartDelay = 1_000_000
	defaultQueueSize = 1024
	// minUpdateInterval is the minimum time between two publications of this process's entry and between two views,
	// because a module may change its part of the entry at every message.
	minUpdateInterval = 50_000
	// suspicionInterval is how often suspicions are evaluated when nothing has changed.
	suspicionInterval = 500_000
	// warnInterval is the minimum time between two log lines about the same ongoing condition.
	warnInterval = 60_000_000
	// maxActs limits the acts (blocking actions that modules request) that run or whose result is not handled yet;
	// further ones fail with an *ActError.
	maxActs = 16
	// maxSelfMessages limits the messages between the modules of this process that one carryOut delivers, in case the
	// modules answer each other without end.
	maxSelfMessages = 10_000
	// stopTimeout is how long Stop waits for running acts.
	stopTimeout = 2 * time.Second
)

// Agent is the agent of one process.
type Agent struct {
	cfg         Config
	modules     []fleet.Module
	registry    *fleet.Registry
	views       *fleet.ViewHolder
	log         *slog.Logger
	posted      chan func(now int64, out *fleet.Out)
	endedActs   chan endedAct
	states      chan fleet.State
	stop        chan struct{}
	stopped     chan struct{}
	stopOnce    sync.Once
	runningActs sync.WaitGroup
	actSlots    chan struct{}

	now               int64
	out               fleet.Out       // actions that the modules requested and that are not carried out yet
	selfMessages      []fleet.Message // messages between modules of this process that are not delivered yet
	windowStart       int64           // start time of the current window
	windows           []fleet.Window  // the latest ended windows, oldest first
	windowStartCPU    int64           // CPU time of this process at windowStart
	metrics           *metrics
	make              int64                 // when to create the modules; 0: they have been created
	failedActs        []endedAct            // acts that were not started; runDue notifies their modules
	pendingChanges    []func(*fleet.Entry)  // changes of this process's entry that are not published yet
	lastPublished     int64                 // time of the last publication of this process's entry
	publishedDigest   uint64                // digest of the registry last given to the network, for its probes
	entryRepair       *dissemination.Repair // reconciles the known entries with other members
	lastView          int64                 // time at which a view was last due, whether or not there was a change
	lastEntryWarning  int64                 // time of the last warning about a dropped entry
	lastBudgetWarning int64                 // time of the last warning about an exceeded traffic budget
	// budgetRefusalsWarned is the number of refused messages at that warning.
	budgetRefusalsWarned uint64

	droppedPosts, refusedCount, noteCount, viewCount atomic.Uint64
}

// Views returns the holder of the latest view.
func (a *Agent) Views() *fleet.ViewHolder { return a.views }

// Post passes an observation made on another goroutine, for example the loop of calls, to the modules: f is called on
// the agent's goroutine, and the actions that it requests are carried out. Post never blocks; if the queue is full, it
// drops f, counts the drop and returns false.
func (a *Agent) Post(f func(now int64, out *fleet.Out)) bool {
	select {
	case a.posted <- f:
		return true
	default:
		a.droppedPosts.Add(1)
		return false
	}
}

// SetState sets the state of the process and publishes it.
func (a *Agent) SetState(s fleet.State) {
	select {
	case a.states <- s:
	case <-a.stopped:
	}
}

// SetAddresses sets the addresses of the members on the network, by member name.
func (a *Agent) SetAddresses(addresses map[string]netip.AddrPort) { a.cfg.Net.Name(addresses) }

// SetSettingsAndRoster publishes the digest of the settings and the number of the roster that the process uses from
// now on. It returns false if the queue of Post is full.
func (a *Agent) SetSettingsAndRoster(settings, roster uint64) bool {
	return a.Post(func(int64, *fleet.Out) {
		a.pendingChanges = append(a.pendingChanges, func(e *fleet.Entry) { e.Settings, e.Roster = settings, roster })
	})
}

// Stop announces that this process leaves, and ends the agent and its network. It returns when both have ended, so Run
// must have been called.
func (a *Agent) Stop() {
	a.stopOnce.Do(func() { close(a.stop) })
	<-a.stopped
}

// Run runs the modules until Stop.
func (a *Agent) Run() {
	defer close(a.stopped)
	a.now = a.cfg.Clock()
	a.windowStart, a.lastPublished, a.lastView = a.now, a.now-minUpdateInterval, a.now-minUpdateInterval
	a.windowStartCPU = cpuTime()
	a.cfg.Net.Spread(a.cfg.Self, fleet.Coded{Entry: a.registry.Write(func(*fleet.Entry) {})})
	a.make = a.now + moduleStartDelay
	timer := time.NewTimer(0)
	defer timer.Stop()
	events := a.cfg.Net.Events()
	for {
		timer.Reset(time.Duration(max(0, min(a.nextWake()-a.cfg.Clock(), 1_000_000))) * time.Microsecond)
		select {
		case <-a.stop:
			a.shutDown()
			return
		case event, ok := <-events:
			if !ok {
				events = nil // the network was closed by someone else; continue without it
				break
			}
			a.updateClock()
			a.handleEvent(event)
			for range len(events) { // handle all waiting events in one round, with one view
				a.updateClock()
				a.handleEvent(<-events)
			}
		case post := <-a.posted:
			a.updateClock()
			post(a.now, &a.out)
			a.carryOut()
		case e := <-a.endedActs:
			<-a.actSlots
			a.updateClock()
			a.actDone(e)
		case s := <-a.states:
			a.updateClock()
			a.setState(s)
		case <-a.cfg.Wake:
			a.updateClock()
			for _, module := range a.modules {
				module.Tick(a.now, &a.out)
				a.carryOut()
			}
		case <-timer.C:
		}
		a.updateClock()
		a.runDue()
	}
}

func (a *Agent) updateClock() { a.now = max(a.now, a.cfg.Clock()) }

// nextWake returns when the agent must wake at the latest.
func (a *Agent) nextWake() int64 {
	wake := a.windowStart + a.windowLength()
	if a.make != 0 {
		wake = min(wake, a.make)
	}
	for _, module := range a.modules {
		wake = min(wake, module.Next())
	}
	wake = min(wake, a.nextPublish())
	if a.registry.Changed() {
		return min(wake, a.lastView+a.viewInterval())
	}
	return min(wake, a.lastView+suspicionInterval)
}

// nextPublish returns when this process's entry is due to be published: minUpdateInterval after the last publication if
// it has changed, otherwise at the heartbeat.
func (a *Agent) nextPublish() int64 {
	if len(a.pendingChanges) > 0 {
		return a.lastPublished + minUpdateInterval
	}
	return a.lastPublished + fleet.DefaultHeartbeat*a.registry.IntervalFactor()
}

// runDue does what is due: it notifies modules of refused acts, creates the modules, calls their ticks, ends the
// window, publishes this process's entry, updates the view and gives the network the digest of the registry.
func (a *Agent) runDue() {
	failed := a.failedActs
	a.failedActs = nil
	for _, e := range failed {
		a.actDone(e)
	}
	if a.make != 0 && a.now >= a.make {
		a.make = 0
		a.startModules()
	}
	for _, module := range a.modules {
		if module.Next() <= a.now {
			module.Tick(a.now, &a.out)
			a.carryOut()
		}
	}
	if a.now-a.windowStart >= a.windowLength() {
		a.endWindow()
	}
	if a.now >= a.nextPublish() {
		a.publish()
	}
	if a.now-a.lastView >= a.viewInterval() {
		a.updateView()
	}
	if root, _ := a.registry.Digest(); root != a.publishedDigest {
		a.publishedDigest = root
		a.cfg.Net.Root(root)
	}
}

// viewInterval returns the minimum time between two views. A view lists all members, so its cost grows with the fleet;
// in a large fleet it is built less often.
func (a *Agent) viewInterval() int64 { return minUpdateInterval * a.registry.IntervalFactor() }

// updateView builds a view if anything has changed, and passes it to all modules.
func (a *Agent) updateView() {
	a.lastView = a.now
	view := a.registry.View(a.now)
	if view == nil {
		return
	}
	a.viewCount.Add(1)
	a.views.Post(view)
	a.setWholeEntries(a.registry.Older() > 0)
	for _, module := range a.modules {
		module.View(a.now, view, &a.out)
		a.carryOut()
	}
}

// setWholeEntries selects the format in which this process's entry is published. While there is a member of the
// previous version (older), which reads only whole entries, windows are part of the entry and it is published at the
// end of each window. Otherwise it has no windows and modules send them to the members that ask for them.
func (a *Agent) setWholeEntries(older bool) {
	if a.registry.Heads != older {
		return
	}
	a.registry.Heads = !older
	a.cfg.Net.Older(older)
	a.log.Info("switched the entry format for members of the previous version", "older", a.registry.Older())
	a.publish()
}

// startModules creates the modules for the current incarnation, in place of earlier ones, and starts them.
func (a *Agent) startModules() {
	if a.cfg.NewModules == nil {
		return
	}
	a.selfMessages = nil
	a.modules = a.cfg.NewModules(a.registry.Own().Incarnation)
	for _, module := range a.modules {
		module.Start(a.now, &a.out)
		a.carryOut()
	}
	if view := a.views.Read(); view != nil {
		for _, module := range a.modules {
			module.View(a.now, view, &a.out)
			a.carryOut()
		}
	}
}

// handleEvent handles an event of the network.
func (a *Agent) handleEvent(event fleetnet.Event) {
	switch event.Kind {
	case fleetnet.Message:
		a.deliverMessage(event.Msg)
		a.carryOut()
	case fleetnet.Entry:
		if failpoint.On("deaf-own") && isEntryOf(event.Bytes, a.cfg.Self) {
			return
		}
		name, spread, err := a.registry.Take(a.now, event.Bytes)
		a.warnOfEntry(err)
		if spread != nil {
			a.spreadNewEntry(name, fleet.Coded{Entry: spread}, event.Passed)
		}
	case fleetnet.Update:
		if failpoint.On("deaf-own") && isUpdateOf(event.Bytes, a.cfg.Self) {
			return
		}
		name, spread, err := a.registry.TakeUpdate(a.now, event.Bytes)
		a.warnOfEntry(err)
		if spread != nil {
			a.spreadNewEntry(name, *spread, event.Passed)
		}
	case fleetnet.Root:
		a.entryRepair.Root(a.now, event.Name, event.Digest, &a.out)
		a.carryOut()
	case fleetnet.Up:
		a.registry.Up(a.now, event.Name)
	case fleetnet.Gone:
		a.registry.Gone(a.now, event.Name)
	}
}

// warnOfEntry logs a dropped entry or update, at most once per warnInterval.
func (a *Agent) warnOfEntry(err error) {
	if err == nil || a.lastEntryWarning != 0 && a.now-a.lastEntryWarning <= warnInterval {
		return
	}
	a.lastEntryWarning = a.now
	a.log.Warn("entry dropped", "error", err, advice.Attr(err))
}

// spreadNewEntry spreads a new entry or update to the other members. One of another process that came by repair is only
// kept, since the other members know it already. If it is this process's own, a later incarnation than the current one
// was heard and the registry has taken a higher one; the modules are then created again.
func (a *Agent) spreadNewEntry(name string, newest fleet.Coded, byRepair bool) {
	if byRepair && name != a.cfg.Self {
		a.cfg.Net.Keep(name, newest)
		return
	}
	a.cfg.Net.Spread(name, newest)
	if name == a.cfg.Self && a.make == 0 { // the modules exist and their messages carried the lower incarnation
		a.log.Info("heard of a later incarnation of this process; took a higher one", "life",
			a.registry.Own().Incarnation)
		a.startModules()
	}
}

func (a *Agent) setState(s fleet.State) {
	if a.registry.Own().State >= s {
		return // states never go back
	}
	a.pendingChanges = append(a.pendingChanges, func(e *fleet.Entry) { e.State = s })
	a.publish()
	a.log.Info("process state changed", "self", a.cfg.Self, "state", uint8(s))
}

// publish applies the pending changes to this process's entry and spreads it.
func (a *Agent) publish() {
	changes := a.pendingChanges
	a.pendingChanges, a.lastPublished = nil, a.now
	a.cfg.Net.Spread(a.cfg.Self, a.registry.Change(func(e *fleet.Entry) {
		for _, change := range changes {
			change(e)
		}
	}))
}

// shutDown announces that this process leaves, and stops.
func (a *Agent) shutDown() {
	a.updateClock()
	a.setState(fleet.Leaving)
	a.cfg.Net.Leave()
	a.cfg.Net.Close()
	// The channel endedActs has room for the results of all running acts, so none of them blocks on it. The timeout
	// covers acts that never end.
	done := make(chan struct{})
	go func() { a.runningActs.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(stopTimeout):
		a.log.Warn("acts still running at shutdown")
	}
}
