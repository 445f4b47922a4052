// Package member makes a sidecar take part in a fleet: it opens the net, runs the agent with the parts that decide over
// several processes, puts what they need before the decider of calls, and carries out their acts. Only the program
// pewterwheel-member has it.
package member

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"pewterwheel/decide"
	"pewterwheel/internal/advice"
	"pewterwheel/internal/agent"
	"pewterwheel/internal/config"
	"pewterwheel/internal/dissemination"
	"pewterwheel/internal/failpoint"
	"pewterwheel/internal/fleet"
	"pewterwheel/internal/fleetnet"
	"pewterwheel/internal/keeper"
	"pewterwheel/internal/lease"
	"pewterwheel/internal/meter"
	"pewterwheel/internal/pooling"
	"pewterwheel/internal/service"
	"pewterwheel/internal/session"
	"pewterwheel/internal/sidecar"
	"pewterwheel/internal/stage"
)

const (
	// bindAgain is the pause before an address is tried again that another process still has: in a take-over the predecessor
	// leaves the fleet when its last call is answered.
	bindAgain = 250 * time.Millisecond
	// applyWithin is how long the loop of calls may take to go by new settings.
	applyWithin = 5 * time.Second
)

// MemberError is a name under which this process cannot take part.
type MemberError struct{ Name, Why string }

func (e *MemberError) Error() string { return fmt.Sprintf("fleet: member %q: %s", e.Name, e.Why) }

// Advice says what an operator can do.
func (e *MemberError) Advice() string {
	return "Start the process with --member and a name that has a [member] section in its file, or without the flag to serve alone."
}

// ApplyError is settings, or a program, that this process refuses to go by. It goes on as before.
type ApplyError struct {
	Path string
	Err  error
}

func (e *ApplyError) Error() string { return fmt.Sprintf("fleet: cannot go by %s: %v", e.Path, e.Err) }
func (e *ApplyError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *ApplyError) Advice() string {
	return "Run config check on that file on this machine; put the right file there, and start the change again under a higher number."
}

// Errors are the errors of this package that concern several processes, for the operators' page.
var Errors = []advice.Advised{&MemberError{}, &ApplyError{}, &SuccessorError{}}

var (
	errDigest = errors.New("it is not the file that the change names: its digest is another")
	errLate   = errors.New("the settings were not taken in time")
	errOther  = errors.New("it is the file of another application")
)

// together is what one process has to do with others. It is made only where the file has a fleet and the process a name.
type together struct {
	reader *sidecar.Reader
	log    *slog.Logger
	base   config.Sidecar // as at the start
	member config.Member
	views  fleet.ViewHolder
	clock  func() int64 // of the loop of calls and of the parts: what crosses between them holds times
	wall   int64        // for the number of this life; it may be wrong
	table  *keeper.Table
	queue  *keeper.Queue
	pools  *pooling.Loop // nil: pooling is off
	file   string        // where a concluded change is written down
	meter  atomic.Pointer[meter.Meter]
	agent  atomic.Pointer[agent.Agent]
	hup    chan<- os.Signal
	stop   chan struct{}
	over   chan struct{}
	ends   chan os.Signal // this process's own, where its successor serves
	heir   succession     // what its predecessor handed on
	tells  *os.File       // where the predecessor hears that it serves; nil: nobody waits

	net fleetnet.Net // set before the agent runs

	// Of the agent's goroutine.
	lessor *lease.Module
	stage  *stage.Module
	keeper *keeper.Module

	mu        sync.Mutex
	state     fleet.State
	running   stage.Target   // what this process goes by
	concluded stage.Target   // what it would come up by
	last      config.Sidecar // its own file as it was last read
	doing     sync.Mutex     // one act on the settings at a time
	successor int            // the process that serves in this one's place; 0: none
}

var _ sidecar.Company = (*together)(nil)

// Join makes what a process needs to take part under a member's name. The error is a *MemberError.
func Join(r *sidecar.Reader, s config.Sidecar, name string, log *slog.Logger) (sidecar.Company, error) {
	if s.Fleet == nil {
		return nil, &MemberError{name, "the file has no [fleet]"}
	}
	m, ok := s.Member(name)
	if !ok {
		return nil, &MemberError{name, "the file has no such [member]"}
	}
	t := &together{reader: r, log: log, base: s, last: s, member: m, state: fleet.Starting, stop: make(chan struct{}), over: make(chan struct{}), ends: make(chan os.Signal, 1),
		clock: service.Clock(), file: r.Path() + ".concluded"}
	t.wall = time.Now().UnixMicro()
	if failpoint.Enabled {
		if d, err := time.ParseDuration(failpoint.Value("clock")); err == nil {
			t.wall += d.Microseconds()
		}
	}
	if s.Keepers != nil {
		t.table, t.queue = keeper.NewTable(), keeper.NewQueue(queueRoom)
	}
	if s.Pooling != nil && s.Pooling.Mode != "off" {
		t.pools = pooling.NewLoop(uint64(t.wall))
	}
	t.recall()
	t.succeeds()
	return t, nil
}

// Configure gives the service the clock that the parts go by, and what gives calls lanes at the offices.
func (t *together) Configure(c *service.Config) {
	c.Clock, c.Beside = t.clock, true
	if t.pools != nil {
		c.ConnSelector, c.Application = t.pools, t.base.Application.Name
	}
}

// Front puts what the parts need of the calls before a decider, the meter in front of all.
func (t *together) Front(set decide.Settings, classes []string, inner session.Decider) session.Decider {
	if t.table != nil {
		inner = keeper.NewAdmissionFilter(t.keepers(uint64(t.wall), nil), set, inner, t.table, t.queue)
	}
	m := meter.New(set, classes, inner)
	m.OnStart = func() { t.now(fleet.Serving); t.serves() }
	m.ExtraFigures = func(put func(name string, n uint64, gauge bool)) {
		if a := t.agent.Load(); a != nil {
			a.Figures(put)
		}
	}
	t.meter.Store(m)
	return m
}

func (t *together) window() fleet.Window {
	if m := t.meter.Load(); m != nil {
		return m.Read()
	}
	return fleet.Window{}
}

// now says what this process does.
func (t *together) now(s fleet.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = max(t.state, s)
	if a := t.agent.Load(); a != nil {
		a.SetState(t.state)
	}
}

// addresses is where this process reaches the others.
func addresses(s config.Sidecar, self string) map[string]netip.AddrPort {
	m := map[string]netip.AddrPort{}
	for _, o := range s.Members {
		if o.Name != self {
			m[o.Name] = o.Address
		}
	}
	return m
}

// Run opens the net, which may have to wait for a predecessor, and drives the agent until Leave.
func (t *together) Run() {
	defer close(t.over)
	cfg := fleetnet.Config{Cluster: t.base.Fleet.Cluster, Self: t.member.Name, Bind: t.member.Bind, Reach: t.member.Address,
		Names: addresses(t.base, t.member.Name), Seeds: t.base.Fleet.Seeds, Log: t.log,
		Budget: dissemination.BudgetConfig{Rate: t.base.Fleet.ControlBytes}}
	var net fleetnet.Net
	for tries := 0; ; tries++ {
		var err error
		if net, err = fleetnet.Open(cfg); err == nil {
			break
		}
		if tries%40 == 0 {
			t.log.Warn("fleet not joined yet", "error", err, advice.Attr(err))
		}
		select {
		case <-t.stop:
			return
		case <-time.After(bindAgain):
		}
	}
	t.net = net
	digest, _ := t.reader.Going()
	a := agent.New(agent.Config{Self: t.member.Name, Zone: t.member.Zone, Program: Version(), Settings: digest, Roster: t.base.Fleet.RosterNumber,
		Net: net, Views: &t.views, NewModules: t.make, InitialParts: map[fleet.Kind][]byte{fleet.Stage: stage.InitialStatus(t.running, t.concluded)}, Wake: t.wakes(), RunAct: t.do, Log: t.log, Clock: t.clock, WallClock: func() int64 { return t.wall }, Window: t.window})
	ran := make(chan struct{})
	go func() { a.Run(); close(ran) }()
	t.mu.Lock()
	t.agent.Store(a)
	a.SetState(t.state)
	t.mu.Unlock()
	digest, _ = t.reader.Going() // the service may have read the file meanwhile
	a.SetSettingsAndRoster(digest, t.base.Fleet.RosterNumber)
	t.log.Info("fleet joined", "cluster", cfg.Cluster, "self", cfg.Self, "bind", cfg.Bind, "mono", agent.Monotonic())
	<-t.stop
	a.Stop()
	<-ran
}

// Leave ends all of it, once the last call has its answer.
func (t *together) Leave() {
	close(t.stop)
	<-t.over
	t.stand()
}

// Forward passes signals on to the service, and takes from them what the others have to know.
func (t *together) Forward(signals <-chan os.Signal) <-chan os.Signal {
	to := make(chan os.Signal, cap(signals)+1)
	t.hup = to
	go func() {
		for {
			var sig os.Signal
			var open bool
			select {
			case sig, open = <-signals:
				if !open {
					return
				}
			case sig = <-t.ends:
			}
			if sig == syscall.SIGTERM || sig == syscall.SIGINT {
				t.now(fleet.Draining)
				t.post(func(now int64, out *fleet.Out) {
					if t.keeper != nil {
						t.keeper.Drain(now, out)
					}
				})
			}
			to <- sig
		}
	}()
	return to
}

// Loaded takes a file that was read anew: addresses, and what the parts go by.
func (t *together) Loaded(s config.Sidecar, digest uint64) {
	a := t.agent.Load()
	if a == nil || s.Fleet == nil {
		return // members that are gone from a file are not forgotten by those that run
	}
	a.SetAddresses(addresses(s, t.member.Name))
	a.SetSettingsAndRoster(digest, s.Fleet.RosterNumber)
	t.mu.Lock()
	t.last = s
	t.mu.Unlock()
	t.post(func(now int64, out *fleet.Out) { t.told(now, s, out) })
}

// post hands something to the parts, if there are any that run; false: it was dropped.
func (t *together) post(f func(now int64, out *fleet.Out)) bool {
	a := t.agent.Load()
	return a != nil && a.Post(f)
}

// do carries out an act of a part's, away from all loops.
func (t *together) do(act fleet.Act) error {
	to, err := stage.DecodeTarget(act.Body)
	if err != nil {
		return &ApplyError{act.What, err}
	}
	switch act.What {
	case stage.Apply, stage.Back:
		return t.apply(to)
	case stage.Conclude:
		return t.conclude(to)
	}
	return &agent.ActError{What: act.What, Reason: "no such act"}
}

// apply goes by the settings that a change names, as after SIGHUP.
func (t *together) apply(to stage.Target) error {
	t.doing.Lock()
	defer t.doing.Unlock()
	path := t.expand(to.Settings)
	if t.apart(to) {
		return t.succeed(to)
	}
	text, err := os.ReadFile(cmp.Or(path, t.reader.Path()))
	if err != nil {
		return &ApplyError{path, err}
	}
	digest := xxhash.Sum64(text)
	if to.SettingsDigest != 0 && digest != to.SettingsDigest {
		return &ApplyError{path, errDigest}
	}
	s, err := sidecar.NewReader(cmp.Or(path, t.reader.Path()), nil).Settings()
	if err != nil {
		return &ApplyError{path, err}
	}
	if s.Application.Name != t.base.Application.Name {
		return &ApplyError{path, errOther}
	}
	taken := make(chan error, 1)
	was := t.reader.GoBy(path, taken)
	t.hup <- syscall.SIGHUP
	select {
	case err = <-taken:
	case <-time.After(applyWithin):
		err = errLate
	}
	if err != nil {
		t.reader.GoBy(was, nil)
		return &ApplyError{path, err}
	}
	t.mu.Lock()
	t.running = to
	t.mu.Unlock()
	t.log.Info("goes by settings of a change", "change", to.Change, "path", cmp.Or(path, t.reader.Path()), "digest", digest)
	return nil
}

// expand puts this process's names into a path.
func (t *together) expand(path string) string {
	return strings.NewReplacer("{member}", t.member.Name, "{application}", t.base.Application.Name).Replace(path)
}

// Version is the program's version, as the others see it.
func Version() string {
	if failpoint.Enabled {
		if v := failpoint.Value("version"); v != "" {
			return v
		}
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value[:min(len(s.Value), 12)]
		}
	}
	return "unknown"
}
