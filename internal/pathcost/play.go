package pathcost

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"pewterwheel/internal/standin"
	"pewterwheel/internal/wire"
)

// rig is the program with a caller, an office and a journal service round it.
type rig struct {
	cmd     *exec.Cmd
	in      io.WriteCloser
	out     *bufio.Reader
	caller  *end
	office  *end
	next    uint64
	class   string
	plant   string
	closers []io.Closer
	alone   bool // one call at a time: each would have a connection to itself
}

// patience is only for a broken program.
const patience = 20 * time.Second

// end is one connection to the program.
type end struct {
	conn net.Conn
	buf  []byte
	read [64 << 10]byte
}

func (e *end) write(ms ...wire.Message) error {
	var b []byte
	for _, m := range ms {
		var err error
		if b, err = m.Append(b); err != nil {
			return err
		}
	}
	_, err := e.conn.Write(b)
	return err
}

// want reads up to so many messages of a type, and returns them in order; others are passed over.
func (e *end) want(kind wire.Type, n int) ([]wire.Message, error) {
	var got []wire.Message
	_ = e.conn.SetReadDeadline(time.Now().Add(patience))
	for len(got) < n {
		m, k, err := wire.Next(e.buf)
		if err != nil {
			return nil, err
		}
		if k > 0 {
			e.buf = e.buf[k:]
			if m.Type == kind {
				got = append(got, m)
			}
			continue
		}
		if k, err = e.conn.Read(e.read[:]); err != nil {
			return nil, fmt.Errorf("%d of %d messages of type %d: %w", len(got), n, kind, err)
		}
		e.buf = append(append([]byte(nil), e.buf...), e.read[:k]...)
	}
	return got, nil
}

func listen() (net.Listener, error) { return net.Listen("tcp4", "127.0.0.1:0") }

func free() string { return fmt.Sprintf("127.0.0.1:%d", standin.FreePort()) }

// platform and beside are the two ways in which the program runs; %s: listener, second address, journal, office.
const platform = `{"name":"n0","listen":"%s","control":"%s","seed":"8c1f30d27a5be964",
"limits":{"cores":1,"memory_mb":64,"sockets":256},"journal":"%s",
"known":{"pos":3,"entries":[{"pos":3,"hosts":{"whole":true,"hosts":[
{"host":"s-00000001","dial":"%s","block":0,"health":"SERVING","share":1}]}}]},
"settings":{"balancers":1,"quantum_us":5000,"classes":[
{"name":"sale-auth","aim_us":800000,"deadline_us":6000000,"importance":6,"effect":"free"}],
"family_info":{"guard_us":200000,"resend_us":500000},
"policy_limits":{"may_cancel":true,"most_tries":6,"retry_after":true,"max_retry_after_us":2000000}}}`

const beside = `[site]
name = s
domain = example.org
sidecars = 1
[machine]
memory = 64MiB
descriptors = 256
[pool core]
rate = 100000/s
open = 10000
[host h.example.org]
address = %[4]s
pool = core
[application]
name = a
listener = %[1]s
control = %[2]s
share = 100%%
[class sale-auth]
aim = 800ms
deadline = 6s
effect = free
pools = core
rate = 100/s
[limit core]
rate = 100000/s
open = 10000
`

// start starts a program, whose Child it is, in one of the two ways.
func start(program string, env []string, mode, dir string) (*rig, error) {
	r := &rig{class: "sale-auth", office: &end{}, caller: &end{}}
	journal, err := listen()
	if err != nil {
		return nil, err
	}
	office, err := listen()
	if err != nil {
		return nil, err
	}
	r.closers = append(r.closers, journal, office)
	go keep(journal)
	address, control := free(), free()
	name, text := "c.json", platform
	if mode == "sidecar" {
		name, text = "c.ini", beside
	}
	path := filepath.Join(dir, mode+name)
	if mode == "sidecar" {
		text = fmt.Sprintf(text+"%.0[3]s", address, control, "", office.Addr())
	} else {
		text = fmt.Sprintf(text, address, control, journal.Addr(), office.Addr())
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	r.cmd = exec.Command(program)
	r.cmd.Env = append(append(os.Environ(), env...), childEnv+"="+path)
	r.cmd.Stderr = os.Stderr
	if r.in, err = r.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := r.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	r.out = bufio.NewReader(out)
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	r.closers = append(r.closers, r.in)
	if r.office.conn, err = office.Accept(); err != nil {
		return nil, err
	}
	for by := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
		if r.caller.conn, err = net.Dial("tcp4", address); err == nil || time.Now().After(by) {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	r.closers = append(r.closers, r.office.conn, r.caller.conn)
	for _, e := range env {
		if name, how, _ := strings.Cut(e, "="); name == lanesEnv && (how == "own" || how == "taken") {
			// The first call opens the lane, and all go on that: there is one caller, and at most one call at a time by call.
			if err := r.caller.write(r.setUp(6 * time.Second)); err != nil {
				return nil, err
			}
			if r.office.conn, err = office.Accept(); err != nil {
				return nil, err
			}
			r.closers = append(r.closers, r.office.conn)
			r.alone = how == "taken"
			if err := r.serve(1); err != nil {
				return nil, err
			}
		}
	}
	for _, e := range env {
		if name, what, _ := strings.Cut(e, "="); name == plantEnv {
			r.plant = what
		}
	}
	return r, nil
}

const childEnv = "PEWTERWHEEL_PATHCOST"

// keep is a journal service that tells nothing, every half second.
func keep(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return // closed
		}
		go func() {
			for {
				b := binary.BigEndian.AppendUint64([]byte{0, 0, 0, 9}, 3)
				if _, err := c.Write(append(b, 0)); err != nil {
					return
				}
				time.Sleep(500 * time.Millisecond)
			}
		}()
	}
}

func (r *rig) stop() {
	for _, c := range r.closers {
		_ = c.Close()
	}
	_ = r.cmd.Wait() // its input has ended, and so does it
}

func (r *rig) snapshot() (s Snapshot, err error) {
	if _, err = r.in.Write([]byte("s\n")); err != nil {
		return s, err
	}
	line, err := r.out.ReadBytes('\n')
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(line, &s)
}

// setUp is a new call's set-up.
func (r *rig) setUp(wait time.Duration) wire.Message {
	r.next++
	m := wire.SetUp{Class: r.class, Number: "number/0123456789", Description: make([]byte, 200)}.Onward(r.next, wait.Microseconds())
	m.Params = append(m.Params, wire.Text(wire.ParamInfo, "dest:-1;width:1;via:-1"))
	return m
}

var description = wire.Param{Code: wire.ParamDescription, Value: make([]byte, 200)}

// answer sets up at the office the calls of these set-ups.
func (r *rig) answer(ms []wire.Message) error {
	out := make([]wire.Message, len(ms))
	for i, m := range ms {
		out[i] = wire.Message{Type: wire.TypeAnswer, Call: m.Call, Params: []wire.Param{description}}
	}
	return r.office.write(out...)
}

// over ends calls that stand: the caller releases them, and the office hears it.
func (r *rig) over(ms []wire.Message) error {
	var out []wire.Message
	for _, m := range ms {
		out = append(out, wire.ReleaseOf(m.Call, wire.CauseNormal))
	}
	if err := r.caller.write(out...); err != nil {
		return err
	}
	if _, err := r.caller.want(wire.TypeHeard, len(ms)); err != nil {
		return err
	}
	rel, err := r.office.want(wire.TypeRelease, len(ms))
	if err != nil {
		return err
	}
	return r.heard(rel)
}

func (r *rig) heard(ms []wire.Message) error {
	var out []wire.Message
	for _, m := range ms {
		out = append(out, wire.Message{Type: wire.TypeHeard, Call: m.Call})
	}
	return r.office.write(out...)
}

// pass lets so many calls pass at once: set up in one write, answered in one, ended in one.
func (r *rig) pass(n int) error {
	var ms []wire.Message
	for range n {
		ms = append(ms, r.setUp(6*time.Second))
	}
	if err := r.caller.write(ms...); err != nil {
		return err
	}
	if r.plant == plantWrite { // a test is answered by itself
		for range ms {
			if err := r.caller.write(wire.Message{Type: wire.TypeTest}); err != nil {
				return err
			}
			if _, err := r.caller.want(wire.TypeTested, 1); err != nil {
				return err
			}
		}
	}
	return r.serve(n)
}

// serve answers what comes to the office until so many calls stand, and ends them.
func (r *rig) serve(n int) error {
	var stand []wire.Message
	for len(stand) < n {
		ms, err := r.office.want(wire.TypeSetUp, 1)
		if err != nil {
			return err
		}
		for { // what came with it
			m, k, err := wire.Next(r.office.buf)
			if err != nil || k == 0 {
				break
			}
			r.office.buf = r.office.buf[k:]
			if m.Type == wire.TypeSetUp {
				ms = append(ms, m)
			}
		}
		if err := r.answer(ms); err != nil {
			return err
		}
		if _, err := r.caller.want(wire.TypeAnswer, len(ms)); err != nil {
			return err
		}
		stand = append(stand, ms...)
	}
	return r.over(stand)
}

// pieces writes a set-up in pieces, each of which is read alone.
func (r *rig) pieces(cut func(n int) []int) error {
	b, err := r.setUp(6 * time.Second).Append(nil)
	if err != nil {
		return err
	}
	from := 0
	for _, to := range append(cut(len(b)), len(b)) {
		if _, err := r.caller.conn.Write(b[from:to]); err != nil {
			return err
		}
		from = to
		if to < len(b) {
			time.Sleep(2 * time.Millisecond)
		}
	}
	return r.serve(1)
}
