package service

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"pewterwheel/internal/standin"
	"pewterwheel/internal/wire"
)

// told is after how long what the journal service has to tell counts as told, whether it has come or not.
const told = 7 * time.Second

// discovery is a stand-in for the journal service: down at first, in one of several ways, and back later. It has its address from
// the first, so that nobody else can take it.
type discovery struct {
	t       *testing.T
	address string
	fd      int         // bound to the address
	asked   chan uint64 // the numbers from which it was asked
	frames  chan []byte // what is told once it is back

	mu       sync.Mutex
	then     func(net.Conn) // what a connection gets that has asked
	listener net.Listener   // nil: nobody listens
	open     []net.Conn     // the program's, or those that hold the queue full
}

// The ways in which discovery is down.
const (
	refused = "refused"    // nobody listens
	dropped = "blackholed" // connects are never answered
	mum     = "silent"     // connects come up, and nothing is ever said
)

func newDiscovery(t *testing.T, down string) *discovery {
	t.Helper()
	d := &discovery{t: t, asked: make(chan uint64, 1024), frames: make(chan []byte, 16)}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	var at unix.Sockaddr
	if err == nil {
		at, err = unix.Getsockname(fd)
	}
	if err != nil {
		t.Fatal(err)
	}
	d.fd, d.address = fd, fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port)
	t.Cleanup(func() {
		d.hangUp()
		if d.listener != nil {
			_ = d.listener.Close()
		}
		_ = unix.Close(fd)
	})
	switch down {
	case dropped: // a queue of one place, which is full: the system drops each further connect
		if err := unix.Listen(fd, 0); err != nil {
			t.Fatal(err)
		}
		for {
			c, err := net.DialTimeout("tcp4", d.address, 300*time.Millisecond)
			if err != nil {
				break
			}
			d.open = append(d.open, c)
		}
	case mum:
		d.serve(func(net.Conn) {})
	}
	return d
}

// hangUp ends all connections.
func (d *discovery) hangUp() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.open {
		_ = c.Close()
	}
	d.open = nil
}

// serve listens from now on, and notes from which event each connection asks before it gets what it is to get.
func (d *discovery) serve(then func(net.Conn)) {
	d.t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.then = then; d.listener != nil {
		return
	}
	if err := unix.Listen(d.fd, 128); err != nil {
		d.t.Fatal(err)
	}
	file, err := unix.Dup(d.fd)
	if err != nil {
		d.t.Fatal(err)
	}
	f := os.NewFile(uintptr(file), "discovery")
	d.listener, err = net.FileListener(f)
	_ = f.Close() // the listener has a copy
	if err != nil {
		d.t.Fatal(err)
	}
	go func() {
		for {
			c, err := d.listener.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			d.open = append(d.open, c)
			then := d.then
			d.mu.Unlock()
			go func() {
				last := make([]byte, 8)
				if _, err := io.ReadFull(c, last); err != nil {
					return
				}
				d.asked <- binary.BigEndian.Uint64(last)
				then(c)
			}()
		}
	}()
}

// back brings discovery back: what is put into frames is told, with an empty one each second.
func (d *discovery) back() {
	d.t.Helper()
	d.serve(func(c net.Conn) {
		empty := frameOf(0, 0, nil)
		for pause := time.NewTicker(time.Second); ; {
			var err error
			select {
			case f := <-d.frames:
				_, err = c.Write(f)
			case <-pause.C:
				_, err = c.Write(empty)
			}
			if err != nil {
				return
			}
		}
	})
	d.hangUp()
}

// frameOf is a frame of the journal.
func frameOf(number uint64, kind byte, records []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(records)))
	b = append(binary.BigEndian.AppendUint64(b, number), kind)
	return append(b, records...)
}

// recordOf is a record of an office that serves at an address.
func recordOf(t *testing.T, id uint32, address string) []byte {
	t.Helper()
	at := mustAddrPort(t, address)
	b := binary.BigEndian.AppendUint32(nil, id)
	ip := at.Addr().As4()
	b = binary.BigEndian.AppendUint16(append(b, ip[:]...), at.Port())
	b = append(b, 0, 0, 0, 0, 0)
	b = binary.BigEndian.AppendUint32(b, 1000)
	return binary.BigEndian.AppendUint64(b, 0)
}

// startLimited starts a process of the program with so many descriptors, and no more.
func startLimited(t *testing.T, path, control string, descriptors int) *controller {
	t.Helper()
	script := fmt.Sprintf(`ulimit -n %d && exec "$0"`, descriptors)
	c := &controller{control: control, cmd: exec.Command("/bin/sh", "-c", script, os.Args[0]), ended: make(chan error, 1)}
	c.cmd.Env = append(os.Environ(), serveOn+"=-1", "BALANCER_CONFIG="+path, "BALANCER_CONTROL="+control)
	c.cmd.Stderr = &c.log
	if err := c.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.cmd.Process.Kill() }) // for a test that fails before it ends
	go func() { c.ended <- c.cmd.Wait() }()
	return c
}

// descriptors counts what a process has open.
func (c *controller) descriptors() int {
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.cmd.Process.Pid))
	return len(open)
}

// siteFile writes a configuration with so many descriptors, whose list has the offices at these addresses.
func siteFile(t *testing.T, listen, journal string, sockets int, offices []string) string {
	t.Helper()
	var hosts []string
	for i, address := range offices {
		hosts = append(hosts, fmt.Sprintf(`{"host":"s-%08x","dial":"%s","block":%d,"health":"SERVING","share":1}`, i+1, address, i%2))
	}
	text := fmt.Sprintf(`{"name":"n0","listen":"%s","seed":"8c1f30d27a5be964","limits":{"cores":0.25,"memory_mb":64,"sockets":%d},
		"journal":"%s","known":{"pos":3,"entries":[{"pos":3,"hosts":{"whole":true,"hosts":[%s]}}]},
		"settings":{"balancers":1,"quantum_us":5000,"classes":[
			{"name":"sale-auth","aim_us":800000,"deadline_us":6000000,"importance":6,"effect":"free"}],
			"family_info":{"guard_us":200000,"resend_us":500000,"home_no":-1},
			"policy_limits":{"may_cancel":true,"most_tries":6,"retry_after":true,"max_retry_after_us":2000000}}}`,
		listen, sockets, journal, strings.Join(hosts, ","))
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// crowd is idle clients that hold on to their connections, and come again where they are closed.
type crowd struct {
	stop  chan bool
	come  atomic.Int64 // clients whose first connection has come up
	calls atomic.Uint64
	all   sync.WaitGroup
}

// join adds clients; each says something on its connection and waits for its end.
func (c *crowd) join(n int, address string, say func(net.Conn)) {
	for range n {
		c.all.Go(func() {
			for first := true; ; first = false {
				conn, err := net.DialTimeout("tcp4", address, 5*time.Second)
				if err == nil {
					if first {
						c.come.Add(1)
					}
					ended := make(chan bool)
					go func() {
						select {
						case <-c.stop:
							_ = conn.Close()
						case <-ended:
						}
					}()
					say(conn)
					_, _ = io.Copy(io.Discard, conn)
					_ = conn.Close()
					close(ended)
				}
				select {
				case <-c.stop:
					return
				case <-time.After(500 * time.Millisecond):
				}
			}
		})
	}
}

func (c *crowd) leave() {
	close(c.stop)
	c.all.Wait()
}

// saying writes a message and nothing more; with less, so many bytes of it are missing.
func saying(m func() wire.Message, less int) func(net.Conn) {
	return func(c net.Conn) {
		b, err := m().Append(nil)
		if err == nil {
			_, _ = c.Write(b[:len(b)-less]) // who is closed on comes again
		}
	}
}

// Idle clients by hundreds, on both addresses, with discovery down and as many descriptors as the configuration says and
// no more: a usual caller is served, discovery is reached once it is back, and an office that it tells of has a connection.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	for _, descriptors := range []int{64, 128, 256} {
		for _, down := range []string{refused, dropped, mum} {
			t.Run(fmt.Sprintf("%d_%s", descriptors, down), func(t *testing.T) {
				t.Parallel()
				idleWhileDown(t, descriptors, down)
			})
		}
	}
}

func idleWhileDown(t *testing.T, descriptors int, down string) {
	book := standin.NewBook()
	var addresses []string
	for i := range min(24, descriptors/8) {
		o, err := standin.NewOffice(fmt.Sprintf("s-%08x", i+1), "127.0.0.1:0", book, standin.Script{Work: time.Millisecond, Queue: 500 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(o.Close)
		addresses = append(addresses, o.Address)
	}
	own := func() string { return fmt.Sprintf("127.0.0.1:%d", standin.FreePort()) }
	listen := own()
	d := newDiscovery(t, down)
	c := startLimited(t, siteFile(t, listen, d.address, descriptors, addresses), own(), descriptors)
	eventually(t, "it is ready", func() bool { return strings.HasPrefix(say(c.control, "READY\n"), "200 ") })

	idle := &crowd{stop: make(chan bool)}
	test := func() wire.Message { return wire.Message{Type: wire.TypeTest} }
	call := func() wire.Message { return setUp(1<<40 + idle.calls.Add(1)) }
	idle.join(80, listen, func(net.Conn) {})
	idle.join(80, listen, saying(call, 5))
	idle.join(80, listen, saying(test, 0))
	idle.join(descriptors/8, listen, saying(call, 0))
	idle.join(60, c.control, func(net.Conn) {})
	leave := sync.OnceFunc(idle.leave)
	defer leave()
	eventually(t, "all idle clients have come", func() bool { return idle.come.Load() == int64(300+descriptors/8) })
	most := c.descriptors()

	line := standin.NewLine(listen, book, 50*time.Millisecond)
	defer line.Close()
	calls := 0
	serve := func(when string) {
		t.Helper()
		before := book.Sums().Answered
		for range 30 {
			line.Call("sale-auth", 4*time.Second, time.Now().Add(patience))
			calls++
			eventually(t, "a call has its answer", func() bool { return line.Open() == 0 })
			most = max(most, c.descriptors())
		}
		if n := book.Sums().Answered - before; n < 28 {
			t.Errorf("%s: %d of 30 calls were served", when, n)
		}
	}
	serve("discovery is down")

	office := port(t)
	d.frames <- frameOf(4, 2, recordOf(t, 99, office.Addr().String()))
	for len(d.asked) > 0 {
		<-d.asked // while it said nothing
	}
	back := time.Now()
	d.back()
	select {
	case last := <-d.asked:
		if took := time.Since(back); last != 3 || took > told {
			t.Errorf("discovery was asked from %d, %s after it was back", last, took)
		}
	case <-time.After(patience):
		t.Fatal("discovery was not reached again")
	}
	reached := time.Since(back)
	_ = office.(*net.TCPListener).SetDeadline(time.Now().Add(patience))
	conn, err := office.Accept()
	if took := time.Since(back); err != nil || took > told {
		t.Errorf("the new office had a connection after %s: %v", took, err)
	} else {
		defer func() { _ = conn.Close() }()
	}
	serve("discovery is back")
	defer func() {
		t.Logf("discovery was asked after %s; %d descriptors at most; %d times too many callers", reached, most, strings.Count(c.log.String(), "too many callers"))
	}()

	leave()
	c.stop()
	c.waitFor(t)
	book.Settle()
	for _, rule := range book.Broken() {
		// The crowd's calls are not judged, nor the guard, which offices on a full machine see late.
		if !strings.Contains(rule, "call 100000000") && !strings.Contains(rule, "given up or cut") {
			t.Error(rule)
		}
	}
	log := c.log.String()
	for _, sign := range []string{"too many open files", "office unreached"} {
		if n := strings.Count(log, sign); n > 0 {
			t.Errorf("%q was logged %d times", sign, n)
		}
	}
	if t.Failed() {
		t.Logf("%.3000s\n...\n%s", log, log[max(0, len(log)-1500):])
	}

}

func mustAddrPort(t *testing.T, address string) netip.AddrPort {
	t.Helper()
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		t.Fatal(err)
	}
	return at
}
