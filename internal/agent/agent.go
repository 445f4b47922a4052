// Package agent drives the parts of one process that decide over several processes: one goroutine, away from the loop of
// calls. It hands them what came from other processes, carries out what they want done, tells the others of this one, and
// logs the parts' notes. Nothing in it holds up a call, and what comes to it waits in bounded queues that count what they drop.
package agent

import (
	"fmt"
	"log/slog"
	"maps"
	"math"
	"net/netip"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
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

type ended struct {
	act fleet.Act
	err error
}

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
	twice   int64 // when a name that is used twice was last logged

	dropped, refused, notes, viewsMade atomic.Uint64
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
		return min(at, a.seen+minInterval)
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
	if a.now-a.seen >= minInterval {
		a.look()
	}
	if root, _ := a.registry.Digest(); root != a.root {
		a.root = root
		a.cfg.Net.Root(root)
	}
}

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
			a.passOn(name, fleet.Coded{Entry: spread})
		}
	case fleetnet.Update:
		name, spread, err := a.registry.TakeUpdate(a.now, e.Bytes)
		a.passedBy(err)
		if spread != nil {
			a.passOn(name, *spread)
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

// passOn spreads what was news. Where it is of this process itself, that had to take a higher incarnation.
func (a *Agent) passOn(name string, newest fleet.Coded) {
	a.cfg.Net.Spread(name, newest)
	if name == a.cfg.Self && a.make == 0 { // the modules' messages were those of a lower one
		a.log.Info("a later life under this name is taken", "life", a.registry.Own().Incarnation)
		a.begin()
	}
}

func (a *Agent) deliver(m fleet.Message) {
	if m.Kind == fleet.Repair {
		a.repair.Message(a.now, m, &a.out)
		return
	}
	for _, p := range a.parts {
		if p.Kind() == m.Kind {
			p.Message(a.now, m, &a.out)
			return
		}
	}
	a.refused.Add(1)
}

func (a *Agent) done(e ended) {
	if e.err != nil {
		a.log.Warn("act failed", "what", e.act.What, "number", e.act.Number, "error", e.err, advice.Attr(e.err))
	}
	for _, p := range a.parts {
		if p.Kind() == e.act.Kind {
			p.Done(a.now, e.act, e.err, &a.out)
			a.carry()
			return
		}
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

// carry does what a part wants done, in order, and what comes of it within this process.
func (a *Agent) carry() {
	for range maxLocal {
		out := a.out
		a.out = fleet.Out{}
		for _, n := range out.Notes {
			a.note(n)
		}
		for _, k := range slices.Sorted(maps.Keys(out.Parts)) {
			a.keep(k, out.Parts[k])
		}
		for _, m := range out.Send {
			m.From = a.cfg.Self
			if m.To == a.cfg.Self {
				a.local = append(a.local, m)
				continue
			}
			if err := a.cfg.Net.Send(m); err != nil {
				a.log.Debug("message not sent", "to", m.To, "kind", m.Kind, "error", err, advice.Attr(err))
			}
		}
		for _, act := range out.Acts {
			a.act(act)
		}
		for _, heard := range out.Heard {
			a.registry.AddWindow(heard)
		}
		for _, p := range out.Pass {
			a.pass(p)
		}
		if len(a.local) == 0 {
			return
		}
		m := a.local[0]
		if a.local = a.local[1:]; len(a.local) == 0 {
			a.local = nil
		}
		a.deliver(m)
	}
	a.log.Error("parts of one process go on telling each other", "waiting", len(a.local))
	a.refused.Add(uint64(len(a.local)))
	a.local, a.out = nil, fleet.Out{} // else the next round would go on with it
}

// pass sends one process what is known of another.
func (a *Agent) pass(p fleet.PassedEntry) {
	known, ok := a.registry.Coded(p.Name)
	if !ok {
		return
	}
	if err := a.cfg.Net.Pass(p.To, known); err != nil {
		a.log.Debug("message not sent", "to", p.To, "kind", fleet.Repair, "error", err, advice.Attr(err))
	}
}

// keep puts a part's own contents into the process's entry, to be told soon.
func (a *Agent) keep(k fleet.Kind, body []byte) {
	if len(body) > fleet.MaxBody {
		a.refused.Add(1)
		return
	}
	a.pending = append(a.pending, func(e *fleet.Entry) {
		if e.Parts == nil {
			e.Parts = map[fleet.Kind][]byte{}
		}
		e.Parts[k] = body
	})
}

// act starts an act on a goroutine of its own. Its end comes back through a channel with room for all that run.
func (a *Agent) act(act fleet.Act) {
	select {
	case a.slots <- struct{}{}:
	default:
		a.refused.Add(1)
		a.failed = append(a.failed, ended{act, &ActError{act.What, "too many run"}})
		return
	}
	a.doing.Go(func() {
		a.acts <- ended{act, a.cfg.Do(act)} // there is room for all that have a slot
	})
}

// note logs a part's note with the machine's time, so that the logs of several processes can be laid side by side.
func (a *Agent) note(n fleet.Note) {
	a.notes.Add(1)
	mono, until := Monotonic(), int64(0)
	if n.Until != 0 {
		until = mono + n.Until - a.cfg.Clock()
	}
	a.log.Debug("noted", "kind", uint8(n.Kind), "what", n.What, "thing", n.Thing, "fence", n.Fence, "until", until, "n", n.N, "text", n.Text,
		"self", a.cfg.Self, "mono", mono)
}

// window ends a window of figures. The modules that pass it to who asks are given it; it stands in the own entry as others
// are told it only while some of them read whole entries alone.
func (a *Agent) window() {
	w := fleet.Window{}
	if a.cfg.Window != nil {
		w = a.cfg.Window()
	}
	cpu := processor()
	w.Number, w.Length, w.CPU, w.Memory = a.number(), a.now-a.begun, cpu-a.cpu, resident()
	a.cpu, a.begun = cpu, a.now
	if a.windows = append(a.windows, w); len(a.windows) > fleet.MaxWindows {
		a.windows = slices.Clone(a.windows[1:])
	}
	a.registry.SetWindows(a.windows)
	for _, p := range a.parts {
		if taker, ok := p.(windowTaker); ok {
			taker.Window(a.now, w, &a.out)
			a.carry()
		}
	}
	if !a.registry.Heads {
		a.tell()
	}
	a.snapshot()
}

// windowTaker is a module that is given the process's own windows.
type windowTaker interface {
	Window(now int64, w fleet.Window, out *fleet.Out)
}

// length is that of a window: longer in a large fleet where windows spread to all.
func (a *Agent) length() int64 {
	if a.registry.Heads {
		return a.cfg.Length
	}
	return a.cfg.Length * a.registry.IntervalFactor()
}

func (a *Agent) number() uint64 {
	if n := len(a.windows); n > 0 {
		return a.windows[n-1].Number + 1
	}
	return 1
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

// snapshot puts the figures of all parts where others may read them.
func (a *Agent) snapshot() {
	var fs []figure
	put := func(name string, n uint64, gauge bool) { fs = append(fs, figure{name, n, gauge}) }
	v := a.views.Read()
	members, suspected := 0, 0
	if v != nil {
		for i := range v.Members {
			if members++; v.Members[i].Suspect {
				suspected++
			}
		}
	}
	c := &a.registry.Counts
	size, known := a.registry.Size()
	put("fleet_members", uint64(members), true)
	put("fleet_suspected", uint64(suspected), true)
	put("fleet_known", uint64(known), true)
	put("fleet_bytes_kept", uint64(size), true)
	put("fleet_state", uint64(a.registry.Own().State), true)
	put("fleet_roster", a.registry.Own().Roster, true)
	put("fleet_entries", c.Entries, false)
	put("fleet_entries_old", c.Old, false)
	put("fleet_entries_garbage", c.Garbage, false)
	put("fleet_entries_full", c.Full, false)
	put("fleet_entries_over", c.Over, false)
	put("fleet_lives_raised", c.Raised, false)
	put("fleet_updates", c.Updates, false)
	put("fleet_update_gaps", c.Gaps, false)
	put("fleet_windows_heard", c.Windows, false)
	put("fleet_older_members", uint64(a.registry.Older()), true)
	put("fleet_views", a.viewsMade.Load(), false)
	put("fleet_notes", a.notes.Load(), false)
	put("fleet_posts_dropped", a.dropped.Load(), false)
	put("fleet_refused", a.refused.Load(), false)
	a.cfg.Net.Figures(put)
	a.repair.Figures(put)
	for _, p := range a.parts {
		p.Figures(put)
	}
	if err := a.metrics.set(fs); err != nil {
		a.log.Error("figures stay as they were", "error", err)
	}
}

// Figures gives the figures as they were at the end of the last window. Any goroutine may ask.
func (a *Agent) Figures(put func(name string, n uint64, gauge bool)) {
	if failpoint.On("figures-wait") {
		time.Sleep(1500 * time.Millisecond)
	}
	for _, f := range a.metrics.gathered() {
		put(f.name, f.n, f.gauge)
	}
}

// processor is the processor time that this process has used, in microseconds.
func processor() int64 {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return (u.Utime.Nano() + u.Stime.Nano()) / 1000
}

// resident is how many bytes of this process are in memory.
func resident() int64 {
	text, err := os.ReadFile("/proc/self/statm")
	if fields := strings.Fields(string(text)); err == nil && len(fields) > 1 {
		if n, err := strconv.ParseInt(fields[1], 10, 64); err == nil {
			return n * int64(os.Getpagesize())
		}
	}
	var m runtime.MemStats // a stop of the world, where there is no /proc
	runtime.ReadMemStats(&m)
	return int64(min(m.Sys, math.MaxInt64))
}
