package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"pewterwheel/internal/fleettest"
	"pewterwheel/internal/standin"
)

// Times of a trial.
const (
	troubled = 12 * time.Second // calls come at the full rate, and faults with them
	settling = 10 * time.Second // longer than any term of the protocol for what has ended before
	trickle  = 300 * time.Millisecond
	// toldWithin is when a change of the list counts as told, also where discovery does not speak.
	toldWithin = 7 * time.Second
	takeOver   = 1200 * time.Millisecond // a successor starts this long before its predecessor is told to end
	class      = "sale-auth"
	officeSize = 2000 // lines of an office that tells how many it has
)

// Result is what a trial showed.
type Result struct {
	Plan   Plan
	Counts standin.Counts
	Ends   standin.Ends
	Broken []string // each rule that was broken, with the case
	Logs   []string // files with the controllers' logs
}

// controller is one process with the relays between it and the offices.
type controller struct {
	name    string
	listen  string
	config  string
	states  []string // of the offices on the list
	started []int64  // Unix milliseconds of their starts; 0: long ago
	events  int      // of the list so far
	process *exec.Cmd
	ended   chan error
	log     *bytes.Buffer
	relays  []*fleettest.Relay
	journal *discovery
	lines   []*standin.Line
}

// trial is one that runs.
type trial struct {
	plan        Plan
	program     string
	dir         string
	book        *standin.Book
	offices     []*standin.Office
	controllers []*controller
	result      Result
	mu          sync.Mutex
	timeline    string // what the rig did, a line each
}

// Play plays a plan with a program, in a directory of its own.
func Play(program, dir string, plan Plan) (Result, error) {
	t := &trial{plan: plan, program: program, dir: dir, book: standin.NewBook(), result: Result{Plan: plan}}
	defer t.close()
	if err := t.start(); err != nil {
		return t.result, err
	}
	begin := time.Now()
	var work sync.WaitGroup
	for i, trouble := range plan.Offices {
		work.Go(func() { t.trouble(i, trouble, begin) })
	}
	work.Go(func() { t.silence(begin) })
	for i, c := range t.controllers {
		work.Go(func() { t.takeOver(i, c, begin) })
		for k, line := range c.lines {
			work.Go(func() { t.offer(line, uint64(i*10+k), begin) })
		}
	}
	work.Wait()
	t.judge()
	return t.result, nil
}

// note writes what the rig does into the trial's timeline, on the clock of the controllers' logs.
func (t *trial) note(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timeline += time.Now().UTC().Format("15:04:05.000 ") + fmt.Sprintf(format, args...) + "\n"
}

func (t *trial) broke(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.Broken = append(t.result.Broken, fmt.Sprintf(format, args...))
}

// start starts offices, discovery, controllers and callers.
func (t *trial) start() error {
	for i := range t.plan.Offices {
		rng := rand.New(rand.NewPCG(t.plan.Seed, uint64(100+i)))
		var mu sync.Mutex
		hold := func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return time.Duration(rng.ExpFloat64() * float64(t.plan.Hold))
		}
		script := standin.Script{Work: 3 * time.Millisecond, Queue: 500 * time.Millisecond, Hold: hold, Unreported: !t.plan.Reports,
			ReportEvery: t.plan.ReportEvery}
		if t.plan.ReportEvery != 0 {
			script.Size = officeSize
		}
		var o *standin.Office
		var err error
		for range 5 { // a port that was free may be somebody's by now
			o, err = standin.NewOffice(fmt.Sprintf("s-%08d", i+1), fmt.Sprintf("127.0.0.1:%d", standin.FreePort()), t.book, script)
			if err == nil {
				break
			}
		}
		if err != nil {
			return err
		}
		t.offices = append(t.offices, o)
	}
	for i := range t.plan.Controllers {
		c, err := t.newController(i)
		if err != nil {
			return err
		}
		t.controllers = append(t.controllers, c)
	}
	time.Sleep(time.Second) // until they serve
	return nil
}

func (t *trial) newController(i int) (*controller, error) {
	c := &controller{name: fmt.Sprintf("n%d", i)}
	var err error
	if c.journal, err = newDiscovery(); err != nil {
		return nil, err
	}
	for _, o := range t.offices {
		relay, err := fleettest.NewStreams(c.name+"-"+o.Name, o.Address, t.plan.Seed)
		if err != nil {
			return nil, err
		}
		relay.From = fmt.Sprintf("127.0.0.%d", 10+i)
		c.relays = append(c.relays, relay)
		c.states = append(c.states, "SERVING")
		c.started = append(c.started, 0)
	}
	c.listen = fmt.Sprintf("127.0.0.1:%d", standin.FreePort())
	c.events = firstEvent
	c.config = filepath.Join(t.dir, c.name+".json")
	c.log = &bytes.Buffer{}
	if c.process, c.ended, err = t.run(c); err != nil {
		return nil, err
	}
	for range 2 {
		c.lines = append(c.lines, standin.NewLine(c.listen, t.book, time.Hour))
	}
	return c, nil
}

// configure writes a controller's configuration, with the list as it is now.
func (t *trial) configure(c *controller) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	var hosts []string
	for i, o := range t.offices {
		hosts = append(hosts, fmt.Sprintf(`{"host":"%s","dial":"%s","block":%d,"health":"%s","share":1,"born_ms":%d}`, o.Name, c.relays[i].Address, i, c.states[i], c.started[i]))
	}
	deadline := t.plan.Deadline.Microseconds()
	text := fmt.Sprintf(`{"name":"%s","listen":"%s","seed":"%016x","limits":{"cores":1,"memory_mb":64,"sockets":384},"journal":"%s",
		"known":{"pos":%d,"entries":[{"pos":%d,"hosts":{"whole":true,"hosts":[%s]}}]},
		"settings":{"balancers":%d,"quantum_us":5000,"classes":[{"name":"%s","aim_us":%d,"deadline_us":%d,"importance":1,"effect":"free"}],
		"family_info":{"guard_us":200000,"resend_us":%d,"home_no":-1},"rules":{"drain_grace_us":1000000},
		"policy_limits":{"may_cancel":true,"most_tries":6,"retry_after":true,"max_retry_after_us":2000000}}}`,
		c.name, c.listen, t.plan.Seed, c.journal.address(), c.events, c.events, strings.Join(hosts, ","), t.plan.Controllers,
		class, deadline/2, deadline, t.plan.Resend.Microseconds())
	return os.WriteFile(c.config, []byte(text), 0o600)
}

// run starts a process for a controller.
func (t *trial) run(c *controller) (*exec.Cmd, chan error, error) {
	if err := t.configure(c); err != nil {
		return nil, nil, err
	}
	process := exec.Command(t.program)
	process.Env = append(os.Environ(), "BALANCER_CONFIG="+c.config, fmt.Sprintf("BALANCER_CONTROL=127.0.0.1:%d", standin.FreePort()))
	process.Stderr = &lockedWriter{mu: &t.mu, to: c.log}
	if err := process.Start(); err != nil {
		return nil, nil, fmt.Errorf("start %s: %w", t.program, err)
	}
	ended := make(chan error, 1)
	go func() { ended <- process.Wait() }()
	return process, ended, nil
}

// lockedWriter is a log that two processes write into, one after the other's start.
type lockedWriter struct {
	mu *sync.Mutex
	to *bytes.Buffer
}

func (w *lockedWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.to.Write(b)
}

// offer calls at random times, at the full rate and then now and then, so that callers stay connected.
func (t *trial) offer(line *standin.Line, stream uint64, begin time.Time) {
	rng := rand.New(rand.NewPCG(t.plan.Seed, 1000+stream))
	for time.Since(begin) < troubled+settling {
		pause := time.Duration(rng.ExpFloat64() * float64(time.Second) / t.plan.Rate * 2)
		if time.Since(begin) > troubled {
			pause = trickle
		}
		time.Sleep(min(pause, time.Second))
		line.Call(class, t.plan.Deadline, time.Now().Add(t.plan.Deadline+50*time.Millisecond))
	}
	for end := time.Now().Add(t.plan.Deadline + time.Second); line.Open() > 0 && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
}

// trouble does to an office what is drawn for it.
func (t *trial) trouble(i int, trouble Trouble, begin time.Time) {
	if trouble.Fault == Well {
		return
	}
	o := t.offices[i]
	time.Sleep(time.Until(begin.Add(trouble.At)))
	t.note("%s: %v", o.Name, trouble.Fault)
	defer t.note("%s: %v is over, or lasts", o.Name, trouble.Fault)
	switch trouble.Fault {
	case Hung:
		o.Hang(false)
	case HungReports:
		o.Hang(true)
	case HungInPart:
		o.HangInPart(trouble.ReportsOn, trouble.Parts)
	case HungFor:
		o.Hang(false)
		time.Sleep(trouble.Lasts)
		if err := o.Recover(); err != nil {
			t.broke("the rig: %v", err)
		}
	case Gone:
		o.Close()
	case Vanished:
		t.faults(i, true, true)
	case VanishedFor:
		t.faults(i, true, true)
		time.Sleep(trouble.Lasts)
		t.breakStreams(i)
		t.faults(i, false, false)
	case Unheard:
		t.faults(i, false, true)
	case Unreachable:
		t.faults(i, true, false)
	case Resets:
		for range 8 {
			t.breakStreams(i)
			time.Sleep(trouble.Lasts / 8)
		}
	case Drained:
		t.list(i, stateDraining, 0)
		time.Sleep(t.untilTold(time.Since(begin)))
		o.Drained(true)
		time.Sleep(trouble.Lasts)
		t.list(i, stateGone, 0)
	case HungAndDrain:
		o.Hang(false)
		time.Sleep(trouble.Lasts / 4)
		t.list(i, stateDraining, 0)
	case Replaced, ReplacedAtOnce:
		t.replace(i, trouble)
	case ReplacedInTurns:
		for range 3 {
			trouble.Lasts /= 2
			t.replace(i, trouble)
			time.Sleep(time.Second)
		}
	}
}

// replace has an office hang, kills its process and starts another one in its place.
func (t *trial) replace(i int, trouble Trouble) {
	o := t.offices[i]
	o.Hang(false)
	time.Sleep(trouble.Lasts)
	if trouble.Fault != ReplacedAtOnce {
		for _, c := range t.controllers {
			c.relays[i].Refuse()
		}
	}
	t.note("%s: killed", o.Name)
	o.Kill()
	if trouble.Fault != ReplacedAtOnce {
		time.Sleep(trouble.Gap)
	}
	t.note("%s: another process listens", o.Name)
	started := time.Now()
	if err := o.Restart(); err != nil {
		t.broke("the rig: %v", err)
		return
	}
	if trouble.Fault != ReplacedAtOnce {
		for _, c := range t.controllers {
			if err := c.relays[i].Listen(); err != nil {
				t.broke("the rig: %v", err)
			}
		}
	}
	if trouble.Told != 0 {
		time.Sleep(trouble.Told)
		t.list(i, stateReady, started.UnixMilli())
	}
}

// faults cuts the way to an office, and the way back, for all controllers.
func (t *trial) faults(i int, to, back bool) {
	if to {
		t.offices[i].Unseen()
	}
	t.offices[i].Unheard(back)
	t.note("%s: cut towards it %t, from it %t", t.offices[i].Name, to, back)
	for _, c := range t.controllers {
		c.relays[i].To.Set(fleettest.Faults{Cut: to})
		c.relays[i].Back.Set(fleettest.Faults{Cut: back})
	}
}

func (t *trial) breakStreams(i int) {
	t.note("%s: connections are reset", t.offices[i].Name)
	for _, c := range t.controllers {
		c.relays[i].Break()
	}
}

// list changes an office's state on the list, and its start in Unix milliseconds where it is not 0.
func (t *trial) list(i int, state byte, started int64) {
	health := map[byte]string{stateReady: "SERVING", stateDraining: "DRAINING", stateGone: "DELETED"}[state]
	for _, c := range t.controllers {
		t.mu.Lock()
		c.states[i] = health
		c.started[i] = started
		c.events++
		t.mu.Unlock()
		c.journal.tell(uint32(i+1), c.relays[i].Address, state, started)
	}
}

// untilTold is how long it takes until a change of the list at a time of the trial counts as told.
func (t *trial) untilTold(at time.Duration) time.Duration {
	from, to := t.plan.Silence.At, t.plan.Silence.At+t.plan.Silence.Lasts
	if at < from || at >= to {
		return 0
	}
	return min(to-at, toldWithin)
}

// silence has discovery say nothing for a while.
func (t *trial) silence(begin time.Time) {
	if t.plan.Silence.Lasts == 0 {
		return
	}
	time.Sleep(time.Until(begin.Add(t.plan.Silence.At)))
	t.note("discovery falls silent")
	for _, c := range t.controllers {
		c.journal.silence(true)
	}
	time.Sleep(t.plan.Silence.Lasts)
	t.note("discovery speaks again")
	for _, c := range t.controllers {
		c.journal.silence(false)
	}
}

// takeOver starts a successor, and tells a process to end.
func (t *trial) takeOver(i int, c *controller, begin time.Time) {
	stop := t.plan.Stops[i]
	if stop == 0 {
		return
	}
	time.Sleep(time.Until(begin.Add(stop - takeOver)))
	process, ended, err := t.run(c)
	if err != nil {
		t.broke("the rig: %v", err)
		return
	}
	time.Sleep(takeOver)
	t.note("%s: SIGTERM", c.name)
	_ = c.process.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-c.ended:
		if err != nil {
			t.broke("crash: %s ended after SIGTERM with %v", c.name, err)
		}
	case <-time.After(max(t.plan.Deadline, 3*time.Second) + 700*time.Millisecond):
		_ = c.process.Process.Kill()
		<-c.ended
	}
	t.note("%s: the process that was told to end has ended", c.name)
	t.book.Orphan(c.listen)
	t.mu.Lock()
	defer t.mu.Unlock()
	c.process = process
	c.ended = ended
}

// judge holds what callers and offices saw against the rules.
func (t *trial) judge() {
	for _, c := range t.controllers {
		select {
		case err := <-c.ended:
			t.broke("crash: %s ended with %v", c.name, err)
		default:
		}
	}
	t.book.Settle()
	for _, text := range t.book.Broken() {
		// An office's answer that was lost with its connection: the class may be repeated freely.
		if !strings.Contains(text, "after it had been set up") {
			t.broke("%s", text)
		}
	}
	t.result.Counts = t.book.Sums()
	t.result.Ends = t.book.Ends(time.Now())
	slices.Sort(t.result.Ends.Late)
	slices.Sort(t.result.Ends.Orphaned)
	for _, text := range t.result.Ends.Late {
		t.broke("release: %s", text)
	}
	for _, text := range t.result.Ends.Orphaned {
		t.broke("release of a call whose process has ended: %s", text)
	}
	for i, o := range t.offices {
		if n := t.result.Ends.Cut[o.Name]; n > 0 && t.plan.Offices[i].Fault == Well {
			t.broke("cut: %d calls at %s, which was well", n, o.Name)
		}
	}
	if err := os.WriteFile(filepath.Join(t.dir, "timeline.log"), []byte(t.timeline), 0o600); err != nil {
		t.broke("the rig: %v", err)
	}
	for _, c := range t.controllers {
		file := filepath.Join(t.dir, c.name+".log")
		t.mu.Lock()
		err := os.WriteFile(file, c.log.Bytes(), 0o600)
		t.mu.Unlock()
		if err == nil {
			t.result.Logs = append(t.result.Logs, file)
		}
	}
}

func (t *trial) close() {
	for _, c := range t.controllers {
		for _, line := range c.lines {
			line.Close()
		}
		_ = c.process.Process.Kill()
		for _, r := range c.relays {
			r.Close()
		}
		c.journal.close()
	}
	for _, o := range t.offices {
		o.Close()
	}
}
