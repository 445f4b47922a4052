package fleettest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pewterwheel/internal/config"
	"pewterwheel/internal/standin"
)

// patience is only for a broken program: nothing is judged by how fast it comes.
const patience = 60 * time.Second

// Build makes the program, with failpoints, from this source.
func Build(t testing.TB, dir string) string {
	t.Helper()
	path := filepath.Join(dir, "pewterwheel")
	c := exec.Command("go", "build", "-tags", "failpoints", "-o", path, "pewterwheel/cmd/pewterwheel")
	if out, err := c.CombinedOutput(); err != nil {
		t.Fatalf("the program does not build: %v\n%s", err, out)
	}
	return path
}

// Options are what a fleet is made of.
type Options struct {
	Program    string // the path of what Build made
	Members    int
	Zones      int                // members take turns in them; 0: one
	Roster     int                // the first so many members vote; 0: five, or as many as there are, an odd number
	Seed       uint64             // of what the relays do
	Lease      time.Duration      // 0: 2 s
	Off        bool               // members know nothing of each other: no section for it in their files
	Site       string             // further sections of the site's file
	Failpoints string             // of all members; see Process.Failpoints
	Work       time.Duration      // of an office on a set-up; 0: 1 ms
	Hold       time.Duration      // of a call that stands; 0: 10 ms
	Lines      map[string]int     // of called numbers that have only so many
	Offices    int                // 0: 4
	Class      func(i int) string // further classes of an application; nil: none
	App        string             // the application that all members serve; empty: each one of its own, named after it
}

// Fleet is several processes, their offices and callers, and the relays between all of them.
type Fleet struct {
	Options
	t       testing.TB
	dir     string
	Book    *standin.Book
	History *History
	Lines   *standin.Lines
	Process []*Process
	Office  []*standin.Office
	links   map[[2]int]*Relay // by who sends and who is reached
}

// Process is one member, over all its lives.
type Process struct {
	f          *Fleet
	Index      int
	Name       string
	Program    string // may be changed before a start
	Failpoints string // switched on at the next start, beside the fleet's
	Life       int    // counted from 1
	Settings   config.Sidecar
	Front      *Relay // between its callers and it
	Caller     *standin.Roamer

	path    string
	bind    string // where it listens for other members
	offices []*Relay
	cmd     *exec.Cmd
	ended   chan error
	running bool
	stopped bool
	spoilt  bool // it was killed, stopped or cut off from its callers: it may have lost calls
	log     *tail
}

// tail keeps the end of a log, for a test that fails.
type tail struct {
	mu    sync.Mutex
	lines []string
}

func (l *tail) add(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lines = append(l.lines, line); len(l.lines) > 400 {
		l.lines = l.lines[200:]
	}
}

// end gives the last lines that are not the membership's own.
func (l *tail) end(most int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	some := slices.DeleteFunc(slices.Clone(l.lines), func(s string) bool { return strings.Contains(s, `"msg":"membership"`) })
	return strings.Join(some[max(0, len(some)-most):], "\n")
}

func (l *tail) String() string { return l.end(100) }

// free is a port on which nobody listens, on TCP and UDP.
func free() string {
	for {
		at := fmt.Sprintf("127.0.0.1:%d", standin.FreePort())
		if c, err := net.ListenPacket("udp4", at); err == nil {
			_ = c.Close()
			return at
		}
	}
}

// New makes a fleet, of which no process runs yet. It ends with the test.
func New(t testing.TB, o Options) *Fleet {
	t.Helper()
	if o.Lease == 0 {
		o.Lease = 2 * time.Second
	}
	if o.Offices == 0 {
		o.Offices = 4
	}
	if o.Work == 0 {
		o.Work = time.Millisecond
	}
	if o.Roster == 0 {
		o.Roster = min(5, (o.Members-1)|1)
	}
	if o.Hold == 0 {
		o.Hold = 10 * time.Millisecond
	}
	f := &Fleet{Options: o, Lines: standin.NewLines(o.Lines), t: t, dir: t.TempDir(), Book: standin.NewBook(), History: NewHistory(), links: map[[2]int]*Relay{}}
	t.Cleanup(f.close)
	for i := range o.Offices {
		office, err := standin.NewOffice(fmt.Sprintf("office-%d", i), "127.0.0.1:0", f.Book, standin.Script{Work: o.Work, Queue: time.Second, Lines: f.Lines})
		f.must(err)
		f.Office = append(f.Office, office)
	}
	for i := range o.Members {
		p := &Process{f: f, Index: i, Name: fmt.Sprintf("m%02d", i), Program: o.Program, bind: free(), log: &tail{}}
		f.Process = append(f.Process, p)
		for j, office := range f.Office {
			r, err := NewStreams(fmt.Sprintf("%s>office-%d", p.Name, j), office.Address, o.Seed)
			f.must(err)
			p.offices = append(p.offices, r)
		}
		for j := range i {
			ij, ji, err := NewPair(p.Name, f.Process[j].Name, o.Seed)
			f.must(err)
			f.links[[2]int{i, j}], f.links[[2]int{j, i}] = ij, ji
		}
	}
	for _, p := range f.Process {
		p.point()
	}
	for _, p := range f.Process {
		f.must(p.Write(""))
		front, err := NewStreams("callers>"+p.Name, p.Settings.Application.Listener.String(), o.Seed)
		f.must(err)
		p.Front = front
		p.Caller = standin.NewRoamer(front.Address, f.Book, o.Hold)
	}
	return f
}

func (f *Fleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *Fleet) close() {
	for _, p := range f.Process {
		if p.Caller != nil {
			p.Caller.Close()
		}
		if p.running {
			_ = p.cmd.Process.Kill()
			<-p.ended
			p.running = false
		}
		if f.t.Failed() && p.log != nil {
			f.t.Logf("the end of the log of %s:\n%s", p.Name, p.log.end(25))
		}
		if p.Front != nil {
			p.Front.Close()
		}
		for _, r := range p.offices {
			r.Close()
		}
	}
	for _, r := range f.links {
		r.Close()
	}
	for _, o := range f.Office {
		o.Close()
	}
}

// point tells every relay towards a member where it listens.
func (p *Process) point() {
	for j := range p.f.Process {
		if r := p.f.links[[2]int{j, p.Index}]; r != nil {
			p.f.must(r.Target(p.bind))
		}
	}
}

// Rebind gives a member another port for other members, from its next start on.
func (p *Process) Rebind() {
	p.bind = free()
	p.point()
	p.f.must(p.Write(""))
}

// site is the site's file as one member has it: it reaches every other by a relay of its own. Its guard is twice the rule's,
// for the book goes by when messages arrive, and they pass through relays on a busy machine.
func (p *Process) site(more string) config.File {
	var b strings.Builder
	f := p.f
	fmt.Fprintf(&b, "[site]\nname = s\ndomain = example.org\nsidecars = %d\nlog-format = json\nlog-level = debug\n[machine]\nmemory = 96MiB\ndescriptors = 400\n[rules]\nguard = 400ms\ncold = 1s\n", f.Members)
	fmt.Fprintf(&b, "[pool core]\nrate = %d/s\nopen = 4000\n", int(0.8*float64(len(f.Office))*float64(time.Second/f.Work)))
	for i, r := range p.offices {
		fmt.Fprintf(&b, "[host office-%d.example.org]\naddress = %s\npool = core\n", i, r.Address)
	}
	if !f.Off {
		var roster []string
		for _, q := range f.Process[:f.Roster] {
			roster = append(roster, q.Name)
		}
		fmt.Fprintf(&b, "[fleet]\ncluster = c\nroster-number = 1\nroster = %s\nlease = %dms\n", strings.Join(roster, ", "), f.Lease.Milliseconds())
		for _, q := range f.Process {
			at := q.bind
			if r := f.links[[2]int{p.Index, q.Index}]; r != nil {
				at = r.Address
			}
			fmt.Fprintf(&b, "[member %s]\naddress = %s\nzone = z%d\n", q.Name, at, q.Index%max(1, f.Zones))
		}
	}
	b.WriteString(f.Site + more)
	return config.File{Name: "site.ini", Text: []byte(b.String())}
}

// Write writes a member's file, as config write does, with further sections of the site.
func (p *Process) Write(more string) error {
	if p.Settings.Application.Name == "" {
		p.Settings.Application.Listener, p.Settings.Application.Control = addr(free()), addr(free())
	}
	a := p.Settings.Application
	name := p.Name
	if p.f.App != "" {
		name = p.f.App
	}
	text := fmt.Sprintf("[application]\nname = %s\nlistener = %s\ncontrol = %s\nshare = %d%%\n[class sale]\naim = 800ms\ndeadline = 3s\neffect = free\npools = core\nrate = %d/s\n",
		name, a.Listener, a.Control, 100/p.f.Members, int(0.5*float64(len(p.f.Office))*float64(time.Second/p.f.Work))/p.f.Members)
	if p.f.Class != nil {
		text += p.f.Class(p.Index)
	}
	written, found := config.Write(p.site(more), []config.File{{Name: p.Name + ".ini", Text: []byte(text)}})
	if found.Errors() > 0 {
		return fmt.Errorf("%v\n%s\n%s", found, p.site(more).Text, text)
	}
	r := config.Check(written)
	s, err := r.Documents[0].Sidecar()
	if err != nil {
		return fmt.Errorf("%v %w", r.Findings, err)
	}
	p.Settings, p.path = s, filepath.Join(p.f.dir, p.Name+"-"+written[0].Name)
	if err := os.WriteFile(p.path+".new", written[0].Text, 0o600); err != nil {
		return err
	}
	return os.Rename(p.path+".new", p.path)
}

// Start starts a member's next life. It does not wait until it serves.
func (p *Process) Start() {
	p.f.t.Helper()
	p.Life++
	args := []string{"sidecar", "--config", p.path}
	if !p.f.Off {
		args = append(args, "--member", p.Name)
	}
	p.cmd = exec.Command(p.Program, args...)
	points := strings.Trim(p.f.Failpoints+","+p.Failpoints, ",")
	p.cmd.Env = append(os.Environ(), "PEWTERWHEEL_FAILPOINTS="+points)
	out, err := p.cmd.StderrPipe()
	p.f.must(err)
	p.f.must(p.cmd.Start())
	p.ended, p.running, p.stopped = make(chan error, 1), true, false
	p.f.History.Rig(p.Name, p.Life, "start", p.Failpoints)
	life, ended, cmd := p.Life, p.ended, p.cmd
	go func() {
		p.read(out, life)
		ended <- cmd.Wait()
	}()
}

// read puts the notes of a life into the history, and keeps the end of its log.
func (p *Process) read(out io.Reader, life int) {
	lines := bufio.NewScanner(out)
	lines.Buffer(make([]byte, 64<<10), 1<<20)
	for lines.Scan() {
		p.log.add(lines.Text())
		p.f.History.Line(p.Name, life, lines.Bytes())
	}
}

// StartAll starts all members and waits until each serves.
func (f *Fleet) StartAll() {
	f.t.Helper()
	for _, p := range f.Process {
		p.Start()
	}
	for _, p := range f.Process {
		p.Ready()
	}
}

// Ready waits until a member serves.
func (p *Process) Ready() {
	p.f.t.Helper()
	p.f.Until(p.Name+" serves", func() bool {
		select {
		case err := <-p.ended:
			p.running = false
			p.f.t.Fatalf("%s ended: %v\n%s", p.Name, err, p.log)
		default:
		}
		return strings.HasPrefix(p.Ask("READY", time.Second), "200 ")
	})
	p.Caller.Pause(false)
}

// Until waits until something is so.
func (f *Fleet) Until(what string, so func() bool) {
	f.t.Helper()
	for by := time.Now().Add(patience); !so(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(by) {
			f.t.Fatalf("not within %v: %s\n%s", patience, what, Report(nil, f.History.Events()))
		}
	}
}

// Ask asks a member's second address; empty: no answer came within the time.
func (p *Process) Ask(line string, wait time.Duration) string {
	conn, err := net.DialTimeout("tcp4", p.Settings.Application.Control.String(), wait)
	if err != nil {
		return ""
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(wait))
	_, _ = conn.Write([]byte(line + "\n"))
	text, _ := io.ReadAll(conn)
	return string(text)
}

// Signal sends a signal, and notes those by which a process falls silent or wakes.
func (p *Process) Signal(s syscall.Signal) {
	p.f.t.Helper()
	switch s {
	case syscall.SIGSTOP:
		p.stopped, p.spoilt = true, true
		p.f.History.Rig(p.Name, p.Life, "stop", "")
	case syscall.SIGCONT:
		p.stopped = false
		p.f.History.Rig(p.Name, p.Life, "cont", "")
	}
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.f.t.Error(err)
	}
}

// Kill ends a process as a lost machine does, and waits until it is gone.
func (p *Process) Kill() {
	p.f.t.Helper()
	if !p.running {
		return
	}
	p.spoilt = true
	p.Signal(syscall.SIGKILL)
	<-p.ended
	p.running = false
	p.f.History.Rig(p.Name, p.Life, "kill", "")
}

// Stop ends a member by SIGTERM: it must end by itself, with all answered. Its caller sends nothing new from then on.
func (p *Process) Stop() {
	p.f.t.Helper()
	p.Caller.Pause(true)
	p.f.History.Rig(p.Name, p.Life, "term", "")
	p.Signal(syscall.SIGTERM)
	select {
	case err := <-p.ended:
		if p.running = false; err != nil {
			p.f.t.Errorf("%s ended with %v", p.Name, err)
		}
		p.f.History.Rig(p.Name, p.Life, "end", "")
	case <-time.After(patience):
		p.f.t.Fatalf("SIGTERM did not end %s", p.Name)
	}
}

// Link is what a member sends by to another one; nil: it is the same.
func (f *Fleet) Link(from, to int) *Relay { return f.links[[2]int{from, to}] }

// Cut cuts, or heals, every way from one group of members to the other; both: and back.
func (f *Fleet) Cut(from, to []int, both, cut bool) {
	for _, i := range from {
		for _, j := range to {
			if r := f.Link(i, j); r != nil {
				r.To.Set(Faults{Cut: cut})
				if both {
					r.Back.Set(Faults{Cut: cut})
				}
			}
		}
	}
}

// Each puts faults on every way between members.
func (f *Fleet) Each(faults Faults) {
	for _, r := range f.links {
		r.To.Set(faults)
	}
}

// Judge checks all that must hold of every history, whatever was done to the fleet: every call has one final answer, and
// nobody lost one but by a death, a stop or a broken connection.
func (f *Fleet) Judge() []Violation {
	vs := Check(f.History.Events())
	for _, p := range f.Process {
		f.Until("the calls at "+p.Name+" end", func() bool { _, open := p.Caller.Counts(); return open == 0 })
		if c, _ := p.Caller.Counts(); !p.spoilt && c.Lost+c.Given+c.Refused > 0 {
			vs = append(vs, Violation{"calls", fmt.Sprintf("%s lost calls, and nothing was done to it: %+v", p.Name, c)})
		}
	}
	f.Book.Settle()
	for _, b := range f.Book.Broken() {
		if !unheard(b) {
			vs = append(vs, Violation{"book", b})
		}
	}
	return vs
}

func addr(s string) netip.AddrPort { return netip.MustParseAddrPort(s) }

// unheard tells whether the book's line is of a call that was tried again though an office had set it up: the office's answer
// crossed its being given up, or was lost with the connection, as it may on a slow machine and must where one breaks. The
// rig's class may be repeated freely.
func unheard(line string) bool { return strings.HasSuffix(line, "after it had been set up") }

// Figure reads a figure of a member's STATS; -1: there is none.
func (p *Process) Figure(name string) int {
	n := -1
	if _, rest, ok := strings.Cut(p.Ask("STATS", 5*time.Second), "app."+name+":"); ok {
		_, _ = fmt.Sscanf(rest, "%d", &n)
	}
	return n
}

// Running names the members that run.
func (f *Fleet) Running() map[string]bool {
	run := map[string]bool{}
	for _, p := range f.Process {
		if p.running {
			run[p.Name] = true
		}
	}
	return run
}

// Agree waits until all members that run see each other, unsuspected.
func (f *Fleet) Agree(when string) {
	f.t.Helper()
	var vs []Violation
	for by := time.Now().Add(patience); ; time.Sleep(50 * time.Millisecond) {
		if vs = Views(f.History.Events(), f.Running()); len(vs) == 0 {
			return
		}
		if time.Now().After(by) {
			f.t.Fatalf("views do not agree %s within %v:\n%s", when, patience, Report(vs, nil))
		}
	}
}
