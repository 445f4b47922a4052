package session_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"pewterwheel/internal/membership"
	"pewterwheel/internal/pooling"
	"pewterwheel/internal/service"
	"pewterwheel/internal/standin"
	"pewterwheel/internal/wire"
)

// fixed is a connection selector that assigns all calls to one kind of connection and counts observations.
type fixed struct {
	mu   sync.Mutex
	mode pooling.Mode
	next pooling.ClientID
	from map[string]int // callers by application and source address
	saw  map[pooling.EventKind]int
}

func (l *fixed) Open(_ int64, _ pooling.SessionID, application, source string) pooling.ClientID {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.from[application+" "+source]++
	l.next++
	return l.next
}
func (l *fixed) Closed(int64, pooling.ClientID, pooling.SessionID)       {}
func (l *fixed) KeepOwn(int64, pooling.ClientID, pooling.SessionID) bool { return true }
func (l *fixed) Select(_ int64, c *pooling.Call, k pooling.MessageKind) pooling.ConnectionKind {
	switch {
	case k == pooling.End && l.mode == pooling.ByMessage:
		return pooling.AnyConnection
	case k != pooling.SetUp:
		return pooling.SetUpConnection
	}
	c.Connection = pooling.ConnectionKind(l.mode) // both types have the same order
	return c.Connection
}
func (l *fixed) Observe(_ int64, o pooling.Observation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.saw[o.Event]++
}
func (l *fixed) EndRound(int64) {}

// serving is a log handler that signals when the program logs that it is serving.
type serving chan struct{}

func (c serving) Enabled(context.Context, slog.Level) bool { return true }
func (c serving) WithAttrs([]slog.Attr) slog.Handler       { return c }
func (c serving) WithGroup(string) slog.Handler            { return c }
func (c serving) Handle(_ context.Context, r slog.Record) error {
	if r.Message == "serving" {
		close(c)
	}
	return nil
}

var starting sync.Mutex

// serve runs the program until the test ends or stop is called.
func serve(t *testing.T, l pooling.ConnectionSelector, sockets int, offices ...string) (address string, stop func()) {
	t.Helper()
	address = fmt.Sprintf("127.0.0.1:%d", standin.FreePort())
	cfg := service.Config{Name: "s", Listen: address, Seed: "8c1f30d27a5be964", ConnSelector: l, Application: "app"}
	for i, o := range offices {
		cfg.Members = append(cfg.Members, membership.Member{Name: fmt.Sprint("o", i+1), Address: netip.MustParseAddrPort(o),
			Weight: 1})
	}
	cfg.Limits.Cores, cfg.Limits.Sockets = 1, sockets
	set := &cfg.Settings
	set.Balancers, set.Quantum, set.Zones = 1, 5_000, []string{""}
	set.Classes = []wire.ClassSettings{{Name: "sale-auth", Aim: 800_000, Deadline: 6_000_000, Worth: 1, Effect: "free"}}
	set.Info.Guard, set.Info.Resend = 200_000, 500_000
	set.Limits.MaxTries, set.Limits.Cancel, set.Limits.RetryAfter, set.Limits.MaxAfter = 2, true, true, 2_000_000
	set.Rules.Ask = 1 << 60
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	up := make(serving)
	starting.Lock() // the network engine's package has a variable that each start sets
	go func() {
		ended <- service.Run(func() (service.Config, error) { return cfg, nil }, signals, slog.New(up))
	}()
	<-up
	starting.Unlock()
	stop = sync.OnceFunc(func() {
		signals <- syscall.SIGTERM
		must(t, <-ended)
	})
	t.Cleanup(stop)
	return address, stop
}

// With real sockets and an office that keeps state per connection: clients whose behaviour permits a mode are
// not harmed by it, and some of the others are, so the office does detect violations. In both cases no rule is
// broken, and every call has exactly one final answer.
func TestPooledConnsPreserveConnectionState(t *testing.T) {
	modeNames := map[pooling.Mode]string{pooling.BySession: "by session", pooling.ByCall: "by call",
		pooling.ByMessage: "by message"}
	harmed := map[string]bool{"by call, repeats token": true, "by call, relies on order": true,
		"by message, relies on order": true}
	for mode, name := range modeNames {
		for habit := standin.Stateless; habit < standin.Rarely; habit++ {
			name := name + ", " + habit.String()
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				book := standin.NewBook()
				o, err := standin.NewOffice("o1", fmt.Sprintf("127.0.0.1:%d", standin.FreePort()), book,
					standin.Script{Work: time.Millisecond, Bound: wire.CauseMissing})
				must(t, err)
				t.Cleanup(o.Close)
				l := &fixed{mode: mode, from: map[string]int{}, saw: map[pooling.EventKind]int{}}
				address, stop := serve(t, l, 256, o.Address)
				var clients []*standin.Client
				for i := range 3 {
					c, err := standin.DialClient(address, book, habit, uint64(i), 3*time.Millisecond)
					must(t, err)
					clients = append(clients, c)
				}
				var all sync.WaitGroup
				for _, c := range clients {
					all.Go(func() {
						if !c.Play("sale-auth", 6*time.Second, 25) {
							t.Error("calls without a final answer")
						}
					})
				}
				all.Wait()
				eventually(t, "calls still stand", func() bool { return o.Standing() == 0 })
				for _, c := range clients {
					c.Close()
				}
				stop()
				book.Settle()
				sums := book.Sums()
				is(t, "rules kept", len(book.Broken()) == 0, book.Broken())
				is(t, "one final answer each", sums.Offered == sums.Answered+sums.Refused+sums.Failed, sums)
				if habit.Safe(mode) {
					is(t, "no harm, all answered", sums.Harmed == 0 && sums.Answered == sums.Offered, sums)
				} else if harmed[name] {
					is(t, "harm", sums.Harmed > 0, sums)
				}
				is(t, "one source", len(l.from) == 1 && l.from["app 127.0.0.1"] > 0, l.from)
				is(t, "each call told of, and its end", l.saw[pooling.SetUpReceived] == sums.Offered &&
					l.saw[pooling.CallOver] == sums.Offered, l.saw)
				is(t, "used ids told", (habit == standin.ReusesIDs) == (l.saw[pooling.IDReused] > 0), l.saw)
			})
		}
	}
}

// With real sockets, capacity for eight pooled connections, offices that reset connections with open set-ups,
// and SIGTERM while calls are established: no rule is broken, and every call has exactly one final answer.
func TestPooledConnsUnderFaultsOnSockets(t *testing.T) {
	for _, mode := range []pooling.Mode{pooling.BySession, pooling.ByCall} {
		t.Run(fmt.Sprint(mode), func(t *testing.T) {
			t.Parallel()
			book := standin.NewBook()
			var offices []*standin.Office
			var addresses []string
			for i := range 2 {
				o, err := standin.NewOffice(fmt.Sprint("o", i+1), fmt.Sprintf("127.0.0.1:%d", standin.FreePort()), book,
					standin.Script{Work: 2 * time.Millisecond})
				must(t, err)
				t.Cleanup(o.Close)
				offices, addresses = append(offices, o), append(addresses, o.Address)
			}
			l := &fixed{mode: mode, from: map[string]int{}, saw: map[pooling.EventKind]int{}}
			address, stop := serve(t, l, 68, addresses...)
			var clients []*standin.Client
			for i := range 3 {
				c, err := standin.DialClient(address, book, standin.Stateless, uint64(i), 50*time.Millisecond)
				must(t, err)
				clients = append(clients, c)
			}
			var all sync.WaitGroup
			for _, c := range clients {
				all.Go(func() { is(t, "all answered", c.Play("sale-auth", 3*time.Second, 60), "") })
			}
			faults := make(chan struct{})
			go func() {
				defer close(faults)
				for i := range 10 {
					o := offices[i%2]
					o.Script(standin.Script{Mode: standin.Reset})
					time.Sleep(15 * time.Millisecond)
					o.Script(standin.Script{Work: 2 * time.Millisecond})
					time.Sleep(60 * time.Millisecond)
				}
			}()
			<-faults
			all.Wait()
			is(t, "all answered", clients[0].Play("sale-auth", 3*time.Second, 5), "")
			stop() // while calls are established on pooled connections
			for _, c := range clients {
				c.Close()
			}
			book.Settle()
			sums := book.Sums()
			is(t, "rules kept", len(book.Broken()) == 0, book.Broken())
			is(t, "connections lost under set-ups", l.saw[pooling.ConnectionLost] > 0, l.saw)
			is(t, "some answered", sums.Answered > 0, sums)
			t.Logf("%+v; %v", sums, l.saw)
		})
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func is(t *testing.T, what string, so bool, shown any) {
	t.Helper()
	if !so {
		t.Errorf("failed: %s: %+v", what, shown)
	}
}

func eventually(t *testing.T, not string, is func() bool) {
	t.Helper()
	for by := time.Now().Add(20 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(by) {
			t.Fatal(not)
		}
	}
}
