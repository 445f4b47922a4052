package service

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"pewterwheel/internal/wire"
)

// officeLines is how many lines an office process has.
const officeLines = 100

// officeProcess plays one process of an office: it answers set-ups, keeps their calls, and reports its lines.
type officeProcess struct {
	t       *testing.T
	l       net.Listener
	reports time.Duration // between reports; 0: it never reports

	mu        sync.Mutex
	conns     []net.Conn
	calls     map[uint64]bool
	hung      bool
	reporting bool // reports go on while it hangs
	killed    bool
}

func startOffice(t *testing.T, l net.Listener, reports time.Duration) *officeProcess {
	p := &officeProcess{t: t, l: l, reports: reports, calls: map[uint64]bool{}}
	go p.accept()
	t.Cleanup(p.kill)
	return p
}

func (p *officeProcess) accept() {
	for {
		conn, err := p.l.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		killed := p.killed
		p.conns = append(p.conns, conn)
		p.mu.Unlock()
		if killed {
			_ = conn.Close()
			return
		}
		go p.read(conn)
		if p.reports > 0 {
			go p.report(conn)
		}
	}
}

// report tells of free lines on a connection, first of all and then again and again.
func (p *officeProcess) report(conn net.Conn) {
	for {
		p.mu.Lock()
		silent := p.killed || p.hung && !p.reporting
		free := officeLines - len(p.calls)
		p.mu.Unlock()
		if !silent && p.write(conn, wire.Message{Type: wire.TypeGroup,
			Params: []wire.Param{wire.Text(wire.ParamLoad, fmt.Sprintf("free:%d;size:%d", free, officeLines))}}) != nil {
			return
		}
		time.Sleep(p.reports)
	}
}

func (p *officeProcess) write(conn net.Conn, m wire.Message) error {
	b, err := m.Append(nil)
	if err != nil {
		return err
	}
	_, err = conn.Write(b)
	return err
}

// read acts on what comes, unless the process hangs.
func (p *officeProcess) read(conn net.Conn) {
	var buf []byte
	chunk := make([]byte, 64<<10)
	for {
		n, err := conn.Read(chunk)
		if err != nil {
			return
		}
		buf = append(buf, chunk[:n]...)
		for {
			m, took, err := wire.Next(buf)
			if err != nil || took == 0 {
				break
			}
			p.take(conn, m)
			buf = buf[took:]
		}
	}
}

// take acts on one message.
func (p *officeProcess) take(conn net.Conn, m wire.Message) {
	p.mu.Lock()
	if p.hung || p.killed {
		p.mu.Unlock()
		return
	}
	switch m.Type {
	case wire.TypeSetUp:
		p.calls[m.Call] = true
	case wire.TypeRelease:
		delete(p.calls, m.Call)
	}
	p.mu.Unlock()
	switch m.Type {
	case wire.TypeSetUp:
		_ = p.write(conn, answer(m.Call, "good"))
	case wire.TypeRelease:
		_ = p.write(conn, wire.Message{Type: wire.TypeHeard, Call: m.Call})
	}
}

// hang has the process do nothing any more, but for its reports where they go on.
func (p *officeProcess) hang(reporting bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hung = true
	p.reporting = reporting
}

// reset ends the connections of the process, which goes on.
func (p *officeProcess) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	p.conns = nil
}

// kill ends the process: its listener and its connections.
func (p *officeProcess) kill() {
	p.mu.Lock()
	p.killed = true
	p.mu.Unlock()
	_ = p.l.Close()
	p.reset()
}

// listenAgain listens at an address that another listener has just left.
func listenAgain(t *testing.T, address string) net.Listener {
	var l net.Listener
	eventually(t, "the address is free again", func() (free bool) {
		var err error
		l, err = net.Listen("tcp4", address)
		return err == nil
	})
	return l
}

// sharedListener is a listener that two processes hold, one after the other: the second accepts from when the first is killed.
type sharedListener struct {
	net.Listener
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *sharedListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *sharedListener) Close() error { l.once.Do(func() { close(l.closed) }); return nil }

// share hands the connections of a listener to those that hold it, the first of them that has not closed it.
func share(l net.Listener, holders ...*sharedListener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		for _, holder := range holders {
			select {
			case <-holder.closed:
				continue
			case holder.accepted <- conn:
			}
			break
		}
	}
}

// standingCalls sets calls up and returns their ids once they stand.
func standingCalls(caller *tape, n int) []uint64 {
	var calls []uint64
	for call := uint64(1); call <= uint64(n); call++ {
		caller.say(setUp(call))
		caller.await(call, wire.TypeAnswer, 1)
		calls = append(calls, call)
	}
	return calls
}

// A caller is left waiting for the end of a call whose office's process hung, was killed and was replaced, seen from a real
// process of the program.
func TestReplacedOfficeProcessLeavesNoCallerWaiting(t *testing.T) {
	const seldom, often = 3200 * time.Millisecond, 500 * time.Millisecond
	for _, c := range []struct {
		name      string
		discovery bool // it is heard, and says nothing
		reports   time.Duration
		reporting bool // reports go on while it hangs
		hangs     time.Duration
		gap       time.Duration // 0: the new one listens before the old is killed
		setUps    bool
	}{
		{name: "hangs briefly", reports: seldom, hangs: 400 * time.Millisecond, gap: 150 * time.Millisecond},
		{name: "reports often", reports: often, hangs: 1200 * time.Millisecond, gap: 150 * time.Millisecond},
		{name: "reports seldom", reports: seldom, hangs: 1200 * time.Millisecond, gap: 150 * time.Millisecond},
		{name: "reports seldom, set-ups go on", reports: seldom, hangs: 1200 * time.Millisecond, gap: time.Second, setUps: true},
		{name: "reports seldom, away for longer", reports: seldom, hangs: 1200 * time.Millisecond, gap: 2200 * time.Millisecond},
		{name: "never reports", hangs: 1200 * time.Millisecond, gap: 150 * time.Millisecond},
		{name: "never reports, set-ups go on", hangs: 1200 * time.Millisecond, gap: 150 * time.Millisecond, setUps: true},
		{name: "hangs for longer", reports: seldom, hangs: 2400 * time.Millisecond, gap: 150 * time.Millisecond},
		{name: "hangs for long", reports: seldom, hangs: 5 * time.Second, gap: 150 * time.Millisecond},
		{name: "reports on", reports: often, reporting: true, hangs: 1200 * time.Millisecond, gap: 150 * time.Millisecond, setUps: true},
		{name: "reports on for longer", reports: often, reporting: true, hangs: 2400 * time.Millisecond, gap: 150 * time.Millisecond, setUps: true},
		{name: "nothing is refused, killed at once", reports: seldom},
		{name: "nothing is refused", reports: seldom, hangs: 1200 * time.Millisecond},
		{name: "discovery says nothing, killed at once", discovery: true, reports: seldom, gap: 150 * time.Millisecond},
		{name: "discovery says nothing", discovery: true, reports: seldom, hangs: 1200 * time.Millisecond, gap: 2200 * time.Millisecond},
		{name: "discovery says nothing, nothing is refused", discovery: true, reports: often, hangs: 1200 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			l := port(t)
			address := l.Addr().String()
			b := newBench(t, limits{memory: 48, sockets: 256, deaf: !c.discovery}, l)
			before := &sharedListener{Listener: l, accepted: make(chan net.Conn), closed: make(chan struct{})}
			after := &sharedListener{Listener: l, accepted: make(chan net.Conn), closed: make(chan struct{})}
			go share(l, before, after)
			office := startOffice(t, before, c.reports)
			caller := b.caller()
			calls := standingCalls(caller, 9)
			if c.reports > 0 {
				time.Sleep(c.reports + c.reports/4) // a report of the lines in use
			}
			hung := time.Now()
			office.hang(c.reporting)
			if c.setUps {
				go func() {
					for call := uint64(100); call < 124; call++ {
						caller.say(setUp(call))
						time.Sleep(300 * time.Millisecond)
					}
				}()
			}
			time.Sleep(c.hangs)
			if c.gap > 0 {
				_ = l.Close()
				office.kill()
				time.Sleep(c.gap)
				startOffice(t, listenAgain(t, address), c.reports)
			} else {
				startOffice(t, after, c.reports)
				office.kill()
			}
			for _, call := range calls {
				for time.Since(hung) < 12*time.Second && len(caller.of(call, wire.TypeRelease)) == 0 {
					time.Sleep(10 * time.Millisecond)
				}
				told := caller.of(call, wire.TypeRelease)
				if len(told) == 0 {
					t.Fatalf("the caller was not told of the end of its call in 12 s\n%s", &b.log)
				}
				if waited := told[0].at.Sub(hung); waited > endUnheard {
					t.Fatalf("the caller was told after %v, want within %v\n%s", waited, endUnheard, &b.log)
				}
			}
		})
	}
}

// A call is cut at an office whose connections are reset again and again, though it lives and reports that it has the call.
func TestResetOfficeProcessKeepsItsCalls(t *testing.T) {
	for _, deaf := range []bool{false, true} {
		t.Run(fmt.Sprint("discovery is silent: ", deaf), func(t *testing.T) {
			t.Parallel()
			l := port(t)
			b := newBench(t, limits{memory: 48, sockets: 256, deaf: deaf}, l)
			office := startOffice(t, l, 500*time.Millisecond)
			caller := b.caller()
			calls := standingCalls(caller, 9)
			time.Sleep(600 * time.Millisecond)
			for begin := time.Now(); time.Since(begin) < 10*time.Second; time.Sleep(1300 * time.Millisecond) {
				office.reset()
			}
			for _, call := range calls {
				if cut := caller.of(call, wire.TypeRelease); len(cut) > 0 {
					t.Fatalf("call %d was released at an office that lives\n%s", call, &b.log)
				}
			}
		})
	}
}

// A caller is left waiting for the end of a call whose office said its last word while the process stood still, seen from a
// real process of the program that was stopped for a while.
func TestOfficeThatHangsAsTheProcessStandsStill(t *testing.T) {
	for _, stood := range []time.Duration{600 * time.Millisecond, 1100 * time.Millisecond, 1400 * time.Millisecond} {
		t.Run(stood.String(), func(t *testing.T) {
			t.Parallel()
			l := port(t)
			b := newBench(t, limits{memory: 48, sockets: 256}, l)
			office := startOffice(t, l, 0)
			caller := b.caller()
			calls := standingCalls(caller, 3)
			_ = b.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(50 * time.Millisecond)
			office.mu.Lock()
			conns := office.conns
			office.mu.Unlock()
			for _, conn := range conns {
				_ = office.write(conn, wire.Message{Type: wire.TypeProgress, Call: calls[0]})
			}
			office.hang(false)
			hung := time.Now()
			time.Sleep(stood)
			_ = b.cmd.Process.Signal(syscall.SIGCONT)
			for _, call := range calls {
				for time.Since(hung) < 12*time.Second && len(caller.of(call, wire.TypeRelease)) == 0 {
					time.Sleep(10 * time.Millisecond)
				}
				told := caller.of(call, wire.TypeRelease)
				if len(told) == 0 || told[0].at.Sub(hung) > endUnheard {
					t.Fatalf("the caller was not told within %v: %v\n%s", endUnheard, told, &b.log)
				}
			}
		})
	}
}
