//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"pewterwheel/internal/wire"
)

// controller is a session controller, started with the command `run` of the deploy file.
type controller struct {
	rec             *recorder
	dir             string
	listen, control string
	journal         string
	offices         []entry
	sockets, memory int
	cmd             *exec.Cmd
	starts          int
	done            chan struct{}
	ending          atomic.Bool // it was told to end
}

// freeAddress is a loopback address on which nobody listens, below the ports that the system gives to outgoing connections.
func freeAddress() string {
	for range 1000 {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(10000)))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	fail(2, "no free port")
	return ""
}

// runCommand reads `run` from the deploy file.
func runCommand() string {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		fail(2, "%v", err)
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			command, _, _ := strings.Cut(rest, `"`)
			return command
		}
	}
	fail(2, "the deploy file has no run")
	return ""
}

// config writes the configuration: that of the wire page's example, for one session controller of a small deployment.
func (c *controller) config() string {
	var hosts []map[string]any
	for i, o := range c.offices {
		hosts = append(hosts, map[string]any{"host": fmt.Sprintf("s-%08x", o.id), "dial": o.address, "site": "lisboa", "class": "standard",
			"block": i, "health": "SERVING", "share": 1, "born_ms": 0})
	}
	cells := []int{}
	for i := range c.offices {
		cells = append(cells, i)
	}
	class := func(name string, aim, deadline int, worth, late float64) map[string]any {
		return map[string]any{"name": name, "aim_us": aim, "deadline_us": deadline, "importance": worth, "late_worth": late,
			"effect": "free", "dedup_scope": "all", "key_ttl_us": 5000000, "streamed": true}
	}
	settings := map[string]any{
		"areas": []string{"lisboa", "porto", "faro"}, "balancers": 6, "my_number": 0, "locality": 0, "discovery": "automatic",
		"classes": []any{class("balance-check", 1500000, 9000000, 1, 0.25), class("sale-auth", 800000, 6000000, 6, 0.1)},
		"clients": map[string]any{"marks_retry": false},
		"family_info": map[string]any{"class_cells": []any{cells, cells}, "class_hold_us": []int{9500000, 4700000}, "class_width": []int{1, 1},
			"far_state": "none", "gives_wait": false, "guard_us": 200000, "home_no": -1, "network_form": "pools", "resend_us": 500000,
			"route_advice": false},
		"layers": []string{"session-servers"}, "machine_types": []string{"standard"}, "tenants": []any{}, "tier": 0, "quantum_us": 5000,
		"policy_limits": map[string]any{"conn_idle_us": 600000000, "cpu_us_per_request": 0.0, "cpu_us_per_s": 300000, "dial_timeout_us": 500000,
			"max_retry_after_us": 2000000, "may_cancel": true, "most_held": 20000, "most_tries": 6, "parallel_tries": false,
			"peer_messages": false, "probes": false, "retry_after": true, "streams_per_conn": 1048576},
		"report": map[string]any{"how": "probe", "names": []string{"free", "size"}},
		"rules": map[string]any{"answer_slack_us": 20000, "ask_within_us": 10000000, "cold_us": 13000000, "drain_grace_us": 1000000,
			"fall_multiple": 3.0, "fall_us": 1500000, "start_capacity": 0.28},
		"service_type": "trunks", "weight_kind": "none", "worth_by": "request", "over_share_worth": 0.1,
	}
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": c.listen, "control": c.control, "seed": fmt.Sprintf("8c1f30d27a5be9%02x", c.starts),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": c.memory, "sockets": c.sockets},
		"journal":  c.journal,
		"known":    map[string]any{"pos": 1, "entries": []any{map[string]any{"pos": 1, "hosts": map[string]any{"seq": 1, "whole": true, "hosts": hosts}}}},
		"settings": settings})
	if err != nil {
		fail(2, "%v", err)
	}
	path := filepath.Join(c.dir, fmt.Sprintf("config-%d.json", c.starts))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		fail(2, "%v", err)
	}
	return path
}

// start starts a process of the controller and waits until it says that it is ready.
func (c *controller) start() {
	c.starts++
	path := c.config()
	log, err := os.Create(filepath.Join(c.dir, fmt.Sprintf("controller-%d.log", c.starts)))
	if err != nil {
		fail(2, "%v", err)
	}
	c.cmd = exec.Command("/bin/sh", "-c", runCommand())
	c.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+path, "TMPDIR="+c.dir)
	c.cmd.Stdout, c.cmd.Stderr = log, log
	if err := c.cmd.Start(); err != nil {
		fail(2, "%v", err)
	}
	c.rec.note("controller", "started", 0, fmt.Sprint("pid ", c.cmd.Process.Pid))
	c.done = make(chan struct{})
	c.ending.Store(false)
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		c.rec.note("controller", "ended", 0, fmt.Sprint("pid ", cmd.Process.Pid, " ", err))
		log.Close()
		close(done)
		if !c.ending.Load() {
			fail(2, "the controller ended unasked: nothing is judged")
		}
	}(c.cmd, c.done)
	for began := time.Now(); !c.ready(); time.Sleep(50 * time.Millisecond) {
		select {
		case <-c.done:
			fail(2, "the controller ended as it started")
		default:
		}
		if time.Since(began) > 30*time.Second {
			c.kill()
			fail(2, "the controller is not ready within 30 s")
		}
	}
	c.rec.note("controller", "ready", 0, "")
}

func (c *controller) ask(line string) string {
	conn, err := net.DialTimeout("tcp4", c.control, time.Second)
	if err != nil {
		return ""
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintln(conn, line)
	s, _ := bufio.NewReader(conn).ReadString('\n')
	return s
}

func (c *controller) ready() bool { return strings.HasPrefix(c.ask("READY"), "200") }

func (c *controller) signal(s syscall.Signal) {
	c.ending.Store(true)
	c.rec.note("operator", "signal", 0, s.String())
	_ = c.cmd.Process.Signal(s)
}

// kill ends the process, if it runs.
func (c *controller) kill() {
	if c.cmd == nil {
		return
	}
	c.ending.Store(true)
	_ = c.cmd.Process.Kill()
	<-c.done
}

// restart is a planned restart: SIGTERM, SIGKILL no sooner than 3.7 s later, and a new process some time after the end.
func (c *controller) restart(pause time.Duration) {
	c.signal(syscall.SIGTERM)
	select {
	case <-c.done:
	case <-time.After(4 * time.Second):
		c.signal(syscall.SIGKILL)
		<-c.done
	}
	time.Sleep(pause)
	c.start()
}

// passesTest is the front's test, on a connection of its own.
func (c *controller) passesTest() bool {
	conn, err := net.DialTimeout("tcp4", c.listen, 500*time.Millisecond)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(500 * time.Millisecond))
	k := &link{conn: conn}
	if k.send(wire.Message{Type: wire.TypeTest, Call: 1, Params: []wire.Param{{Code: wire.ParamCause, Value: []byte{0}}}}) != nil {
		return false
	}
	m, err := k.next()
	return err == nil && m.Type == wire.TypeTested && m.Cause() == 1
}
