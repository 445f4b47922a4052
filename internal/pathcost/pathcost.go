// Package pathcost counts what the program spends on a call: it runs the real loop on loopback sockets in a process of
// its own, plays the caller and the office in step with it, and counts allocations, bytes, reads, writes, rounds, timers
// and copied bytes, a call. Counts and not times: they are the same on every machine.
package pathcost

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"pewterwheel/decide"
	"pewterwheel/internal/pooling"
	"pewterwheel/internal/service"
	"pewterwheel/internal/session"
	"pewterwheel/internal/sidecar"
	"pewterwheel/internal/standin"
)

// Snapshot is what the program has spent since its start.
type Snapshot struct {
	Allocs, Bytes       uint64
	SysReads, SysWrites uint64            // read and write calls of the whole process, as the kernel counts them
	CPU                 time.Duration     // of the whole process
	Counters            map[string]uint64 // the program's own
	GCs                 uint32
}

// counting is a log handler that keeps the last line of counters, and tells warnings.
type counting struct{ lines chan string }

func (c counting) Enabled(context.Context, slog.Level) bool { return true }
func (c counting) WithAttrs([]slog.Attr) slog.Handler       { return c }
func (c counting) WithGroup(string) slog.Handler            { return c }
func (c counting) Handle(_ context.Context, r slog.Record) error {
	if r.Level >= slog.LevelWarn {
		r.Attrs(func(a slog.Attr) bool { r.Message += " " + a.String(); return true })
		fmt.Fprintln(os.Stderr, r.Message)
	}
	if r.Message == "counters" {
		r.Attrs(func(a slog.Attr) bool {
			if a.Key == "counts" {
				c.lines <- a.Value.String()
			}
			return true
		})
	}
	return nil
}

// plantEnv names a cost that is planted, to show that it is seen.
const plantEnv, plantAllocation, plantWrite = "PEWTERWHEEL_PATHCOST_PLANT", "allocation", "write"

// lanesEnv names the lane that all calls are given: own, taken, any; or watch.
const lanesEnv = "PEWTERWHEEL_PATHCOST_LANES"

// laned gives every call one kind of lane. What a verdict costs is not in it: that is pooling's own to measure.
type laned struct{ how string }

// Open, Closed, KeepOwn, Observe and EndRound are those of a pooling.ConnectionSelector that keeps nothing.
func (*laned) Open(int64, pooling.SessionID, string, string) pooling.ClientID { return 1 }
func (*laned) Closed(int64, pooling.ClientID, pooling.SessionID)              {}
func (*laned) KeepOwn(int64, pooling.ClientID, pooling.SessionID) bool        { return true }
func (*laned) Observe(int64, pooling.Observation)                             {}
func (*laned) EndRound(int64)                                                 {}

// Select gives the one kind of lane.
func (l *laned) Select(_ int64, c *pooling.Call, k pooling.MessageKind) pooling.ConnectionKind {
	if k != pooling.SetUp {
		return pooling.SetUpConnection
	}
	switch c.Connection = pooling.OwnConnection; l.how {
	case "taken":
		c.Connection = pooling.ExclusiveConnection
	case "any":
		c.Connection = pooling.AnyConnection
	}
	return c.Connection
}

// coreEnv names the one core on which the program is to run.
const coreEnv = "PEWTERWHEEL_PATHCOST_CORE"

// planted is the module with one more allocation a call.
type planted struct {
	*decide.Node
	kept *[64]byte
}

// Step does what the module does, and keeps something of each call.
func (p *planted) Step(now int64, e decide.Event, out []decide.Action) []decide.Action {
	if e.Kind == decide.CallArrived {
		p.kept = new([64]byte)
	}
	return p.Node.Step(now, e, out)
}

// Child serves by a configuration, the platform's (.json) or a sidecar's (.ini), until its input ends. For each line of
// input it writes a snapshot.
func Child(path string, in io.Reader, out io.Writer) error {
	var core int
	if _, err := fmt.Sscan(os.Getenv(coreEnv), &core); err == nil {
		if err := standin.Pin(core); err != nil {
			return err
		}
	}
	read := func() (service.Config, error) { return service.ReadConfig(path) }
	if strings.HasSuffix(path, ".ini") {
		read = sidecar.NewReader(path, nil).Read
	}
	if os.Getenv(plantEnv) == plantAllocation {
		sound := read
		read = func() (service.Config, error) {
			cfg, err := sound()
			cfg.Node = func(set decide.Settings, seed uint64) (session.Decider, error) {
				n, err := decide.New(set, seed)
				return &planted{Node: n}, err
			}
			return cfg, err
		}
	}
	if how := os.Getenv(lanesEnv); how != "" {
		plain := read
		read = func() (service.Config, error) {
			cfg, err := plain()
			cfg.ConnSelector, cfg.Watch = &laned{how}, how == "watch"
			return cfg, err
		}
	}
	signals := make(chan os.Signal, 1)
	c := counting{make(chan string, 1)}
	ended := make(chan error, 1)
	go func() { ended <- service.Run(read, signals, slog.New(c)) }()
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		signals <- syscall.SIGUSR1
		var s Snapshot
		select {
		case text := <-c.lines:
			s.Counters = map[string]uint64{}
			for f := range strings.FieldsSeq(text) {
				name, n, _ := strings.Cut(f, "=")
				s.Counters[name], _ = strconv.ParseUint(n, 10, 64)
			}
		case err := <-ended:
			return err
		}
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		s.Allocs, s.Bytes, s.GCs = m.Mallocs, m.TotalAlloc, m.NumGC
		if text, err := os.ReadFile("/proc/self/io"); err == nil {
			_, _ = fmt.Sscanf(string(text), "rchar: %d\nwchar: %d\nsyscr: %d\nsyscw: %d", new(uint64), new(uint64), &s.SysReads, &s.SysWrites)
		}
		var u syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err == nil {
			s.CPU = time.Duration(u.Utime.Nano() + u.Stime.Nano())
		}
		if err := json.NewEncoder(out).Encode(s); err != nil {
			return err
		}
	}
	return nil
}
