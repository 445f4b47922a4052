package fleettest

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"

	"golang.org/x/sys/unix"

	"pewterwheel/internal/fleet"
)

// Event is one line of a history. Times are microseconds of the machine's monotonic clock, the same for all processes.
type Event struct {
	At      int64
	Process string
	Life    int
	Kind    string // "rig", "lease", "stage", "keeper", "pooling", "fleet"
	What    string
	Thing   string
	Fence   uint64
	Until   int64 // by the machine's clock; 0: none
	N       int64
	Text    string
}

// Who names one life of a process.
func (e Event) Who() string { return fmt.Sprintf("%s#%d", e.Process, e.Life) }

func (e Event) String() string {
	return fmt.Sprintf("%9.3f %s %s %s %s fence %d until %.3f n %d %s", float64(e.At)/1e6, e.Who(), e.Kind, e.What, e.Thing, e.Fence,
		float64(e.Until)/1e6, e.N, e.Text)
}

// Clock is the machine's monotonic time in microseconds.
func Clock() int64 {
	var ts unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts)
	return ts.Nano() / 1000
}

// History is what all processes noted, and what was done to them.
type History struct {
	mu     sync.Mutex
	events []Event
	logged map[string]int // lines by level and message, and by process and message
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{logged: map[string]int{}} }

// noted is a line of a process's log. Until and Mono are of the machine's clock.
type noted struct {
	Level, Msg        string
	Kind              fleet.Kind
	What, Thing, Text string
	Fence             uint64
	Until, N, Mono    int64
}

var kinds = map[fleet.Kind]string{fleet.Lease: "lease", fleet.Stage: "stage", fleet.Keeper: "keeper", fleet.Pooling: "pooling", 254: "fleet"}

// Line takes a line of a process's log.
func (h *History) Line(process string, life int, line []byte) {
	var n noted
	err := json.Unmarshal(line, &n)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err != nil:
		h.logged["unreadable "+string(line)]++
	case n.Msg != "noted":
		h.logged[n.Level+" "+n.Msg]++
		h.logged[process+" "+n.Msg]++
	default:
		h.events = append(h.events, Event{At: n.Mono, Process: process, Life: life, Kind: kinds[n.Kind], What: n.What, Thing: n.Thing,
			Fence: n.Fence, Until: n.Until, N: n.N, Text: n.Text})
	}
}

// Rig notes what the test did to a process.
func (h *History) Rig(process string, life int, what, text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, Event{At: Clock(), Process: process, Life: life, Kind: "rig", What: what, Text: text})
}

// Events gives all that was noted, in order of time.
func (h *History) Events() []Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := slices.Clone(h.events)
	slices.SortStableFunc(all, func(a, b Event) int { return int(max(-1, min(1, a.At-b.At))) })
	return all
}

// Count is how often something of a kind was noted; progress of a test is counted by it.
func (h *History) Count(kind, what string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, e := range h.events {
		if e.Kind == kind && e.What == what {
			n++
		}
	}
	return n
}

// Logged is how many lines with a message there were, at a level or by a process.
func (h *History) Logged(of, message string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.logged[of+" "+message]
}

// Violation is a rule that a history breaks.
type Violation struct{ Check, Text string }

func (v Violation) String() string { return v.Check + ": " + v.Text }

// Report tells what was broken, and the end of the history without what is repeated all the time.
func Report(vs []Violation, events []Event) string {
	var b strings.Builder
	for _, v := range vs {
		fmt.Fprintln(&b, v)
	}
	events = slices.DeleteFunc(slices.Clone(events), func(e Event) bool { return e.What == "acting" || e.What == "renewed" })
	for _, e := range events[max(0, len(events)-120):] {
		fmt.Fprintln(&b, "   ", e)
	}
	return b.String()
}
