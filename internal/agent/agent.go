// Package agent drives the parts of one process that decide over several processes: one goroutine, away from the loop of
// calls. It hands them what came from other processes, carries out what they want done, tells the others of this one, and
// logs the parts' notes. Nothing in it holds up a call, and what comes to it waits in bounded queues that count what they drop.
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
	defaultLength = 1_000_000
	// startDelay is how long parts are not made after the start.
	startDelay   = 1_000_000
	defaultQueue = 1024
	// minInterval is the time between two of the own entry, and of two views, at least: modules may tell at every message.
	minInterval = 50_000
	// judgeInterval is how often it is looked who is suspected, where nothing new has come.
	judgeInterval = 500_000
	// warnInterval is the time between two lines of the log about one thing that goes on.
	warnInterval = 60_000_000
	// acts that run or wait at once; more are refused with an *ActError.
	maxActs = 16
	// maxLocal bounds what parts of one process tell each other within one round. Guards against two that never end.
	maxLocal = 10_000
	// stopWithin is how long Stop waits for acts that run.
	stopWithin = 2 * time.Second
)

// Agent is one process's agent.
type Agent struct {
	cfg      Config
	parts    []fleet.Module
	registry *fleet.Registry
	views    *fleet.ViewHolder
	log      *slog.Logger
	posted   chan func(now int64, out *fleet.Out)
	acts     chan ended
	states   chan fleet.State
	stop     chan struct{}
	over     chan struct{}
	once     sync.Once
	doing    sync.WaitGroup
	slots    chan struct{}

	now     int64
	out     fleet.Out
	local   []fleet.Message
	begun   int64 // of the window that is under way
	windows []fleet.Window
	cpu     int64
	metrics *metrics
	make    int64                // when parts are to be made; 0: they are
	failed  []ended              // acts that were not begun; told in the next round
	pending []func(*fleet.Entry) // changes of the own entry that are not told yet
	told    int64                // when the own entry was last told
	root    uint64               // digest of the registry that the net answers probes with
	repair  *dissemination.Repair
	seen    int64 // when views were last looked at
	twice   int64 // when an entry that was passed by was last logged
	warned  int64 // when it was last logged that traffic is over its budget
	// refusedSeen is how many messages had been refused then.
	refusedSeen uint64

	dropped, refused, notes, viewsMade atomic.Uint64
}

// Views is where the newest view stands.
func (a *Agent) Views() *fleet.ViewHolder { return a.views }

// Post hands the parts something that was seen elsewhere, as in the loop of calls: f is called on the agent's goroutine, and
// what it wants done is done. It never waits; false: the queue was full, and it was dropped and counted.
func (a *Agent) Post(f func(now int64, out *fleet.Out)) bool {
	select {
	case a.posted <- f:
		return true
	default:
		a.dropped.Add(1)
		return false
	}
}

// State says what the process does now; it is told to all.
func (a *Agent) State(s fleet.State) {
	select {
	case a.states <- s:
	case <-a.over:
	}
}

// Name tells anew where members are reached.
func (a *Agent) Name(addresses map[string]netip.AddrPort) { a.cfg.Net.Name(addresses) }

// Goes says by which settings and roster the process goes from now on.
func (a *Agent) Goes(settings, roster uint64) bool {
	return a.Post(func(int64, *fleet.Out) {
		a.pending = append(a.pending, func(e *fleet.Entry) { e.Settings, e.Roster = settings, roster })
	})
}

// Stop tells the others that this process leaves, and ends the agent and its net. It returns when both have ended, so Run
// must have been called.
func (a *Agent) Stop() {
	a.once.Do(func() { close(a.stop) })
	<-a.over
}

// Run drives the parts until Stop.
func (a *Agent) Run() {
	defer close(a.over)
	a.now = a.cfg.Clock()
	a.begun, a.told, a.seen = a.now, a.now-minInterval, a.now-minInterval
	a.cpu = processor()
	a.cfg.Net.Spread(a.cfg.Self, fleet.Coded{Entry: a.registry.Write(func(*fleet.Entry) {})})
	a.make = a.now + startDelay
	timer := time.NewTimer(0)
	defer timer.Stop()
	events := a.cfg.Net.Events()
	for {
		timer.Reset(time.Duration(max(0, min(a.next()-a.cfg.Clock(), 1_000_000))) * time.Microsecond)
		select {
		case <-a.stop:
			a.leave()
			return
		case e, ok := <-events:
			if !ok {
				events = nil // the net was closed under us; go on alone
				break
			}
			a.clock()
			a.event(e)
			for range len(events) { // what waits is one round: one view for all of it
				a.clock()
				a.event(<-events)
			}
		case f := <-a.posted:
			a.clock()
			f(a.now, &a.out)
			a.carry()
		case e := <-a.acts:
			<-a.slots
			a.clock()
			a.done(e)
		case s := <-a.states:
			a.clock()
			a.state(s)
		case <-a.cfg.Wake:
			a.clock()
			for _, p := range a.parts {
				p.Tick(a.now, &a.out)
				a.carry()
			}
		case <-timer.C:
		}
		a.clock()
		a.settle()
	}
}

func (a *Agent) clock() { a.now = max(a.now, a.cfg.Clock()) }

// next is when the agent has to wake at the latest.
func (a *Agent) next() int64 {
	at := a.begun + a.length()
	if a.make != 0 {
		at = min(at, a.make)
	}
	for _, p := range a.parts {
		at = min(at, p.Next())
	}
	at = min(at, a.tellAt())
	if a.registry.Changed() {
		return min(at, a.seen+a.viewInterval())
	}
	return min(at, a.seen+judgeInterval)
}

// tellAt is when the own entry is told: soon after a change, else at its heartbeat.
func (a *Agent) tellAt() int64 {
	if len(a.pending) > 0 {
		return a.told + minInterval
	}
	return a.told + fleet.DefaultHeartbeat*a.registry.IntervalFactor()
}

// settle does what has come due: parts' ticks, the window, the own entry, the view.
func (a *Agent) settle() {
	failed := a.failed
	a.failed = nil
	for _, e := range failed {
		a.done(e)
	}
	if a.make != 0 && a.now >= a.make {
		a.make = 0
		a.begin()
	}
	for _, p := range a.parts {
		if p.Next() <= a.now {
			p.Tick(a.now, &a.out)
			a.carry()
		}
	}
	if a.now-a.begun >= a.length() {
		a.window()
	}
	if a.now >= a.tellAt() {
		a.tell()
	}
	if a.now-a.seen >= a.viewInterval() {
		a.look()
	}
	if root, _ := a.registry.Digest(); root != a.root {
		a.root = root
		a.cfg.Net.Root(root)
	}
}

// viewInterval is the time between two views at least: a view shows all members, so it is made more seldom where there are many.
func (a *Agent) viewInterval() int64 { return minInterval * a.registry.IntervalFactor() }

// look makes a view, if anything has changed, and shows it to all modules.
func (a *Agent) look() {
	a.seen = a.now
	v := a.registry.View(a.now)
	if v == nil {
		return
	}
	a.viewsMade.Add(1)
	a.views.Post(v)
	a.speak(a.registry.Older() > 0)
	for _, p := range a.parts {
		p.View(a.now, v, &a.out)
		a.carry()
	}
}

// speak goes by what those who are heard can read: while one of them reads whole entries alone, windows stand in the own
// entry, which is told with each of them.
func (a *Agent) speak(older bool) {
	if a.registry.Heads != older {
		return
	}
	a.registry.Heads = !older
	a.cfg.Net.Older(older)
	a.log.Info("members of the version before are heard", "older", a.registry.Older())
	a.tell()
}

// begin makes the parts for this life and starts them.
func (a *Agent) begin() {
	if a.cfg.Make == nil {
		return
	}
	a.local = nil
	a.parts = a.cfg.Make(a.registry.Own().Incarnation)
	for _, p := range a.parts {
		p.Start(a.now, &a.out)
		a.carry()
	}
	if v := a.views.Read(); v != nil {
		for _, p := range a.parts {
			p.View(a.now, v, &a.out)
			a.carry()
		}
	}
}

// event takes one thing from the net.
func (a *Agent) event(e fleetnet.Event) {
	switch e.Kind {
	case fleetnet.Message:
		a.deliver(e.Msg)
		a.carry()
	case fleetnet.Entry:
		if failpoint.On("deaf-own") && ofName(e.Bytes, a.cfg.Self) {
			return
		}
		name, spread, err := a.registry.Take(a.now, e.Bytes)
		a.passedBy(err)
		if spread != nil {
			a.passOn(name, fleet.Coded{Entry: spread}, e.Passed)
		}
	case fleetnet.Update:
		if failpoint.On("deaf-own") && updateOfName(e.Bytes, a.cfg.Self) {
			return
		}
		name, spread, err := a.registry.TakeUpdate(a.now, e.Bytes)
		a.passedBy(err)
		if spread != nil {
			a.passOn(name, *spread, e.Passed)
		}
	case fleetnet.Root:
		a.repair.Root(a.now, e.Name, e.Digest, &a.out)
		a.carry()
	case fleetnet.Up:
		a.registry.Up(a.now, e.Name)
	case fleetnet.Gone:
		a.registry.Gone(a.now, e.Name)
	}
}

// passedBy logs, now and then, an entry or an update that was passed by.
func (a *Agent) passedBy(err error) {
	if err == nil || a.twice != 0 && a.now-a.twice <= warnInterval {
		return
	}
	a.twice = a.now
	a.log.Warn("entry passed by", "error", err, advice.Attr(err))
}

// passOn spreads what was news, unless it came by repair: then others know it. Where it is of this process itself, that had to
// take a higher incarnation.
func (a *Agent) passOn(name string, newest fleet.Coded, passed bool) {
	if passed && name != a.cfg.Self {
		a.cfg.Net.Keep(name, newest)
		return
	}
	a.cfg.Net.Spread(name, newest)
	if name == a.cfg.Self && a.make == 0 { // the modules' messages were those of a lower one
		a.log.Info("a later life under this name is taken", "life", a.registry.Own().Incarnation)
		a.begin()
	}
}

func (a *Agent) state(s fleet.State) {
	if a.registry.Own().State >= s {
		return // lives do not run backwards
	}
	a.pending = append(a.pending, func(e *fleet.Entry) { e.State = s })
	a.tell()
	a.log.Info("fleet", "self", a.cfg.Self, "state", uint8(s))
}

// tell makes the changes of the own entry that wait, and spreads it.
func (a *Agent) tell() {
	changes := a.pending
	a.pending, a.told = nil, a.now
	a.cfg.Net.Spread(a.cfg.Self, a.registry.Change(func(e *fleet.Entry) {
		for _, change := range changes {
			change(e)
		}
	}))
}

// leave says that this process goes, and ends.
func (a *Agent) leave() {
	a.clock()
	a.state(fleet.Leaving)
	a.cfg.Net.Leave()
	a.cfg.Net.Close()
	// Acts that run find room in their channel. Guards against waiting for one that never ends.
	ends := make(chan struct{})
	go func() { a.doing.Wait(); close(ends) }()
	select {
	case <-ends:
	case <-time.After(stopWithin):
		a.log.Warn("acts still run at the end")
	}
}
