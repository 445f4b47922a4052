package service

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"regexp"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pewterwheel/internal/standin"
	"pewterwheel/internal/wire"
)

// memory is how many MB of the process are resident, and the most that were.
func (b *bench) memory() (now, most int) {
	b.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", b.cmd.Process.Pid))
	if err != nil {
		b.t.Fatal(err)
	}
	for _, m := range regexp.MustCompile(`(VmRSS|VmHWM):\s+(\d+) kB`).FindAllStringSubmatch(string(text), -1) {
		kb, _ := strconv.Atoi(m[2])
		if m[1] == "VmRSS" {
			now = kb >> 10
		} else {
			most = kb >> 10
		}
	}
	return now, most
}

// flood writes what next gives to new connections, one after the other as each is ended, until a time, and reads nothing.
func flood(address string, until time.Time, next func() []byte) {
	for time.Now().Before(until) {
		conn, err := net.DialTimeout("tcp4", address, time.Second)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(until)
		for {
			if _, err := conn.Write(next()); err != nil {
				break
			}
		}
		_ = conn.Close()
	}
}

// many writes one message after the other, each made anew.
func many(n int, m func() wire.Message) func() []byte {
	return func() []byte {
		var b []byte
		for range n {
			b, _ = m().Append(b)
		}
		return b
	}
}

var floods = []struct {
	name string
	next func(*rand.Rand) func() []byte
}{
	{"set-ups under new ids", func(r *rand.Rand) func() []byte {
		return many(200, func() wire.Message { return setUp(r.Uint64() | 1) })
	}},
	{"set-ups withdrawn at once", func(r *rand.Rand) func() []byte {
		withdraw, id := false, uint64(0)
		return many(200, func() wire.Message {
			if withdraw = !withdraw; withdraw {
				id = r.Uint64() | 1
				return setUp(id)
			}
			return wire.ReleaseOf(id, wire.CauseNormal)
		})
	}},
	{"one id twice", func(r *rand.Rand) func() []byte {
		id := r.Uint64() | 1
		return many(2, func() wire.Message { return setUp(id) })
	}},
	{"long set-ups", func(r *rand.Rand) func() []byte {
		return many(8, func() wire.Message {
			m := setUp(r.Uint64() | 1)
			m.Params = append(m.Params, wire.Param{Code: 99, Value: make([]byte, 16<<10-200)})
			return m
		})
	}},
	{"long descriptions", func(r *rand.Rand) func() []byte {
		return many(8, func() wire.Message {
			m := setUp(r.Uint64() | 1)
			m.Params[3].Value = make([]byte, 16<<10-200)
			return m
		})
	}},
	{"releases of unknown calls", func(r *rand.Rand) func() []byte {
		return many(200, func() wire.Message { return wire.ReleaseOf(r.Uint64()|1, wire.CauseNormal) })
	}},
	{"tests", func(r *rand.Rand) func() []byte {
		return many(1000, func() wire.Message { return wire.Message{Type: wire.TypeTest, Call: r.Uint64()} })
	}},
	{"noise", func(r *rand.Rand) func() []byte {
		return func() []byte {
			b := make([]byte, 64<<10)
			for i := 0; i < len(b); i += 8 {
				binary.LittleEndian.PutUint64(b[i:], r.Uint64())
			}
			return b
		}
	}},
	{"zeros", func(*rand.Rand) func() []byte { return func() []byte { return make([]byte, 64<<10) } }},
}

// idlers connect hundreds of times: they say nothing, or half a message.
func idlers(address string, n int, until time.Time, halves bool) {
	var conns []net.Conn
	for len(conns) < n && time.Now().Before(until) {
		conn, err := net.DialTimeout("tcp4", address, time.Second)
		if err != nil {
			continue
		}
		if halves {
			_, _ = conn.Write([]byte{0, 40, 1})
		}
		conns = append(conns, conn)
	}
	time.Sleep(time.Until(until))
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// Through floods of each kind, with hundreds of connections that say nothing beside, a usual caller's calls each have their
// one answer, and the process stays within its memory and descriptors, and lets go of the latter afterwards.
func TestFloods(t *testing.T) {
	for _, lim := range []limits{{memory: 32, sockets: 128}, {memory: 48, sockets: 256}} {
		book := standin.NewBook()
		office, err := standin.NewOffice("o", fmt.Sprintf("127.0.0.1:%d", standin.FreePort()), book, standin.Script{})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(office.Close)
		b := newBench(t, lim, at(office.Address))
		for i, f := range floods {
			t.Run(fmt.Sprintf("%d MB/%s", lim.memory, f.name), func(t *testing.T) {
				until := time.Now().Add(700 * time.Millisecond)
				var busy sync.WaitGroup
				for n := range 4 {
					busy.Go(func() { flood(b.listen, until, f.next(rand.New(rand.NewPCG(uint64(100*lim.memory+i), uint64(n))))) })
				}
				busy.Go(func() { idlers(b.listen, 200, until, i%2 == 0) })
				usual := standin.NewLine(b.listen, book, 10*time.Millisecond)
				defer usual.Close()
				descriptors := 0
				for time.Now().Before(until) {
					usual.Call("sale-auth", 5*time.Second, time.Now().Add(patience))
					time.Sleep(5 * time.Millisecond)
					descriptors = max(descriptors, b.descriptors())
				}
				busy.Wait()
				eventually(t, "each call of the usual caller has its answer", func() bool { return usual.Open() == 0 })
				time.Sleep(20 * time.Millisecond) // its last calls are released
				_, most := b.memory()
				t.Logf("%d MB at most, %d descriptors, %+v", most, descriptors, book.Sums())
				if most > lim.memory && !raced() {
					t.Errorf("%d MB were resident, %d are allowed", most, lim.memory)
				}
				if descriptors > lim.sockets {
					t.Errorf("%d descriptors, %d are allowed", descriptors, lim.sockets)
				}
			})
		}
		// Calls of a flood stand as any others: their clients have forgotten them, the office has not.
		eventually(t, "what is open stands at the office", func() bool { return b.pending() == office.Standing() })
		eventually(t, "descriptors fall back", func() bool { return b.descriptors() < 24 })
		b.end()
		for _, rule := range book.Broken() {
			if !strings.Contains(rule, "was sent to") && !strings.Contains(rule, "attempts out") { // the usual caller's alone
				t.Error(rule)
			}
		}
	}
}

// at is an address on which somebody listens, as a listener.
func at(address string) net.Listener { return listensAt{address: address} }

type listensAt struct {
	net.Listener
	address string
}

func (l listensAt) Addr() net.Addr { a, _ := net.ResolveTCPAddr("tcp4", l.address); return a }

// An office that releases unknown calls at full speed, reads all, and a caller that reads nothing: neither fills memory.
func TestOfficeFloodsWithReleases(t *testing.T) {
	const memory = 32
	office := play(t, port(t))
	b := newBench(t, limits{memory: memory, sockets: 128}, office)
	o, caller := office.next(), b.caller()
	b.warm(caller, 2, o)
	id, ended := uint64(1), 0
	r := rand.New(rand.NewPCG(1, 2))
	next := many(500, func() wire.Message { return wire.ReleaseOf(r.Uint64()|1, wire.CauseNormal) })
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); {
		if !o.over().IsZero() { // it had more to read than it read
			id++
			caller.say(setUp(id))
			if o = office.next(); o == nil {
				t.Fatal("never connected again")
			}
			ended++
		}
		o.say(next())
	}
	_, most := b.memory()
	t.Logf("%d MB at most, %d connections ended", most, ended)
	if most > memory && !raced() {
		t.Errorf("%d MB were resident, %d are allowed", most, memory)
	}
}

// raced tells whether this program was built to detect races, which takes several times the memory.
func raced() bool {
	info, _ := debug.ReadBuildInfo()
	return info != nil && slices.ContainsFunc(info.Settings, func(s debug.BuildSetting) bool { return s.Key == "-race" && s.Value == "true" })
}
