//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// settings are those of a small deployment: three zones, two classes, the figures of the operators' site.
const settings = `{"areas":["lisboa","porto","faro"],"balancers":%d,
"classes":[{"name":"balance-check","aim_us":1500000,"deadline_us":9000000,"importance":1,"late_worth":0.25,"effect":"free","dedup_scope":"all","key_ttl_us":5000000,"streamed":true},
{"name":"sale-auth","aim_us":800000,"deadline_us":6000000,"importance":6,"late_worth":0.1,"effect":"free","dedup_scope":"all","key_ttl_us":5000000,"streamed":true}],
"clients":{"marks_retry":false},"discovery":"automatic",
"family_info":{"class_cells":[[0,1],[0,1]],"class_hold_us":[9500000,4700000],"class_width":[1,1],"far_state":"none","gives_wait":false,"guard_us":200000,"home_no":-1,"network_form":"pools","resend_us":500000,"route_advice":false},
"layers":["session-servers"],"locality":0,"machine_types":["standard"],"my_number":0,"over_share_worth":0.1,
"policy_limits":{"conn_idle_us":%d,"cpu_us_per_request":0,"cpu_us_per_s":300000,"dial_timeout_us":500000,"max_retry_after_us":2000000,"may_cancel":true,"most_held":20000,"most_tries":6,"parallel_tries":false,"peer_messages":true,"probes":false,"retry_after":true,"streams_per_conn":1048576},
"quantum_us":5000,"report":{"how":"probe","names":["free","size"]},
"rules":{"answer_slack_us":20000,"ask_within_us":10000000,"cold_us":13000000,"drain_grace_us":1000000,"fall_multiple":3,"fall_us":1500000,"start_capacity":0.28},
"service_type":"trunks","tenants":[],"tier":0,"weight_kind":"none","worth_by":"request"}`

// site is what the platform tells a controller.
type site struct {
	b       *book
	root    string
	dir     string // temporary
	listen  string
	journal *journal
	fleet   int           // session controllers
	idle    time.Duration // conn_idle_us
	procs   []*proc
	seeds   int
}

// proc is one process of a session controller.
type proc struct {
	name    string
	cmd     *exec.Cmd
	control string
	done    chan struct{}
	asked   atomic.Bool // it was sent a signal by the rig
}

// freeAddress finds a port below the system's own range that nobody listens on.
func freeAddress() string {
	for port := 21000 + os.Getpid()*37%10000; port < 32000; port++ {
		a := fmt.Sprintf("127.0.0.1:%d", port)
		if used[a] {
			continue
		}
		if l, err := net.Listen("tcp4", a); err == nil {
			_ = l.Close()
			used[a] = true
			return a
		}
	}
	fail("no free port")
	return ""
}

var used = map[string]bool{}

// deployed returns a command of the deploy file.
func deployed(root, key string) string {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		fail("deploy file: %v", err)
	}
	m := regexp.MustCompile(`(?m)^` + key + ` = "(.*?)"`).FindStringSubmatch(string(text))
	if m == nil {
		fail("deploy file: no %s", key)
	}
	return m[1]
}

// start starts a process by the deploy file's run command.
func (s *site) start(name string) *proc {
	s.seeds++
	p := &proc{name: name, control: freeAddress(), done: make(chan struct{})}
	cfg := fmt.Sprintf(`{"name":"n0","listen":%q,"control":%q,"seed":"8c1f30d27a5be9%02x","limits":{"cores":1.0,"memory_mb":128,"sockets":512},"journal":%q,"known":%s,"settings":%s}`,
		s.listen, p.control, s.seeds, s.journal.address, s.journal.known(), fmt.Sprintf(settings, s.fleet, s.idle.Microseconds()))
	path := filepath.Join(s.dir, name+".json")
	if err := os.WriteFile(path, []byte(cfg), 0o644); err != nil {
		fail("%v", err)
	}
	p.cmd = exec.Command("/bin/sh", "-c", deployed(s.root, "run"))
	p.cmd.Dir = s.root
	p.cmd.Env = append(os.Environ(), "BALANCER_NAME=n0", "BALANCER_LISTEN="+s.listen, "BALANCER_CONFIG="+path,
		"BALANCER_CONTROL="+p.control, "TMPDIR="+s.dir)
	out, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		fail("%v", err)
	}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		fail("start: %v", err)
	}
	s.b.note("%s: process started", name)
	s.procs = append(s.procs, p)
	go func() {
		err := p.cmd.Wait()
		s.b.note("%s: process ended: %v", name, err)
		close(p.done)
		if state, ok := p.cmd.ProcessState.Sys().(syscall.WaitStatus); ok && !p.asked.Load() && state.Signaled() &&
			(state.Signal() == syscall.SIGKILL || state.Signal() == syscall.SIGTERM || state.Signal() == syscall.SIGINT) {
			fail("%s was ended from outside: %v", name, state.Signal())
		}
	}()
	return p
}

// ask asks on the second address.
func (p *proc) ask(line string) string {
	c, err := net.DialTimeout("tcp4", p.control, time.Second)
	if err != nil {
		return ""
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, "%s\n", line)
	text, _ := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(text)
}

// ready waits until the process says that it is ready.
func (s *site) ready(p *proc) {
	for range 300 {
		if strings.HasPrefix(p.ask("READY"), "200") {
			s.b.note("%s: ready", p.name)
			return
		}
		if p.ended() {
			fail("%s ended before it was ready", p.name)
		}
		time.Sleep(100 * time.Millisecond)
	}
	fail("%s: not ready within 30 s", p.name)
}

func (s *site) signal(p *proc, sig syscall.Signal) {
	s.b.note("%s: %v", p.name, sig)
	p.asked.Store(true)
	_ = p.cmd.Process.Signal(sig)
}

func (p *proc) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// crashed tells of a process that ended and was not asked to.
func (s *site) crashed() bool {
	for _, p := range s.procs {
		if p.ended() && !p.asked.Load() {
			return true
		}
	}
	return false
}

// end ends all processes.
func (s *site) end() {
	for _, p := range s.procs {
		p.asked.Store(true)
	}
	for _, p := range s.procs {
		if !p.ended() {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
}
