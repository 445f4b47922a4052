package agent

import (
	"math"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"pewterwheel/internal/failpoint"
	"pewterwheel/internal/fleet"
	"pewterwheel/internal/fleetnet"
)

// endWindow ends a window of figures and passes it to the modules that serve windows on request. The window is also
// part of the published entry, but only while some members read only whole entries.
func (a *Agent) endWindow() {
	window := fleet.Window{}
	if a.cfg.Window != nil {
		window = a.cfg.Window()
	}
	cpu := cpuTime()
	window.Number, window.Length, window.CPU, window.Memory = a.nextWindowNumber(), a.now-a.windowStart,
		cpu-a.windowStartCPU, residentMemory()
	a.windowStartCPU, a.windowStart = cpu, a.now
	if a.windows = append(a.windows, window); len(a.windows) > fleet.MaxWindows {
		a.windows = slices.Clone(a.windows[1:])
	}
	a.registry.SetWindows(a.windows)
	for _, module := range a.modules {
		if receiver, ok := module.(windowReceiver); ok {
			receiver.Window(a.now, window, &a.out)
			a.carryOut()
		}
	}
	if !a.registry.Heads {
		a.publish()
	}
	a.snapshotMetrics()
}

// windowReceiver is a module that receives the process's own windows.
type windowReceiver interface {
	Window(now int64, w fleet.Window, out *fleet.Out)
}

// windowLength returns the length of a window; it is longer in a large fleet while windows spread to all members.
func (a *Agent) windowLength() int64 {
	if a.registry.Heads {
		return a.cfg.WindowLength
	}
	return a.cfg.WindowLength * a.registry.IntervalFactor()
}

func (a *Agent) nextWindowNumber() uint64 {
	if n := len(a.windows); n > 0 {
		return a.windows[n-1].Number + 1
	}
	return 1
}

// snapshotMetrics publishes the metrics of all modules for other goroutines.
func (a *Agent) snapshotMetrics() {
	var metrics []metric
	put := func(name string, n uint64, gauge bool) { metrics = append(metrics, metric{name, n, gauge}) }
	view := a.views.Read()
	members, suspected := 0, 0
	if view != nil {
		for i := range view.Members {
			if members++; view.Members[i].Suspect {
				suspected++
			}
		}
	}
	counts := &a.registry.Counts
	size, known := a.registry.Size()
	put("fleet_members", uint64(members), true)
	put("fleet_suspected", uint64(suspected), true)
	put("fleet_known", uint64(known), true)
	put("fleet_bytes_kept", uint64(size), true)
	put("fleet_state", uint64(a.registry.Own().State), true)
	put("fleet_roster", a.registry.Own().Roster, true)
	put("fleet_entries", counts.Entries, false)
	put("fleet_entries_old", counts.Old, false)
	put("fleet_entries_garbage", counts.Garbage, false)
	put("fleet_entries_full", counts.Full, false)
	put("fleet_entries_over", counts.Over, false)
	put("fleet_lives_raised", counts.Raised, false)
	put("fleet_updates", counts.Updates, false)
	put("fleet_update_gaps", counts.Gaps, false)
	put("fleet_windows_heard", counts.Windows, false)
	put("fleet_older_members", uint64(a.registry.Older()), true)
	put("fleet_views", a.viewCount.Load(), false)
	put("fleet_notes", a.noteCount.Load(), false)
	put("fleet_posts_dropped", a.droppedPosts.Load(), false)
	put("fleet_refused", a.refusedCount.Load(), false)
	a.cfg.Net.Figures(put)
	a.entryRepair.Figures(put)
	for _, module := range a.modules {
		module.Figures(put)
	}
	a.warnOfBudget(metrics)
	if err := a.metrics.set(metrics); err != nil {
		a.log.Error("metrics not updated; the previous snapshot is kept", "error", err)
	}
}

// warnOfBudget logs, at most once per warnInterval, that some traffic of this process exceeded its budget.
func (a *Agent) warnOfBudget(metrics []metric) {
	refused := uint64(0)
	for _, f := range metrics {
		if f.name == "fleet_budget_settings_refused" || f.name == "fleet_budget_figures_refused" {
			refused += f.value
		}
	}
	if refused == a.budgetRefusalsWarned || a.lastBudgetWarning != 0 && a.now-a.lastBudgetWarning < warnInterval {
		return
	}
	a.log.Warn("control traffic is over its budget", "refused", refused-a.budgetRefusalsWarned, "advice",
		fleetnet.BudgetAdvice)
	a.budgetRefusalsWarned, a.lastBudgetWarning = refused, a.now
}

// Figures reports the metrics as of the end of the last window. It may be called from any goroutine.
func (a *Agent) Figures(put func(name string, n uint64, gauge bool)) {
	if failpoint.On("figures-wait") {
		time.Sleep(1500 * time.Millisecond)
	}
	for _, f := range a.metrics.gathered() {
		put(f.name, f.value, f.gauge)
	}
}

// cpuTime returns the CPU time used by this process in microseconds.
func cpuTime() int64 {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return (u.Utime.Nano() + u.Stime.Nano()) / 1000
}

// residentMemory returns the resident memory of this process in bytes.
func residentMemory() int64 {
	text, err := os.ReadFile("/proc/self/statm")
	if fields := strings.Fields(string(text)); err == nil && len(fields) > 1 {
		if n, err := strconv.ParseInt(fields[1], 10, 64); err == nil {
			return n * int64(os.Getpagesize())
		}
	}
	var m runtime.MemStats // stops the world; only where there is no /proc
	runtime.ReadMemStats(&m)
	return int64(min(m.Sys, math.MaxInt64))
}
