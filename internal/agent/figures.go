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

// window ends a window of figures. The modules that pass it to who asks are given it; it stands in the own entry as others
// are told it only while some of them read whole entries alone.
func (a *Agent) window() {
	w := fleet.Window{}
	if a.cfg.Window != nil {
		w = a.cfg.Window()
	}
	cpu := processor()
	w.Number, w.Length, w.CPU, w.Memory = a.number(), a.now-a.begun, cpu-a.cpu, resident()
	a.cpu, a.begun = cpu, a.now
	if a.windows = append(a.windows, w); len(a.windows) > fleet.MaxWindows {
		a.windows = slices.Clone(a.windows[1:])
	}
	a.registry.SetWindows(a.windows)
	for _, p := range a.parts {
		if taker, ok := p.(windowTaker); ok {
			taker.Window(a.now, w, &a.out)
			a.carry()
		}
	}
	if !a.registry.Heads {
		a.tell()
	}
	a.snapshot()
}

// windowTaker is a module that is given the process's own windows.
type windowTaker interface {
	Window(now int64, w fleet.Window, out *fleet.Out)
}

// length is that of a window: longer in a large fleet where windows spread to all.
func (a *Agent) length() int64 {
	if a.registry.Heads {
		return a.cfg.Length
	}
	return a.cfg.Length * a.registry.IntervalFactor()
}

func (a *Agent) number() uint64 {
	if n := len(a.windows); n > 0 {
		return a.windows[n-1].Number + 1
	}
	return 1
}

// snapshot puts the figures of all parts where others may read them.
func (a *Agent) snapshot() {
	var fs []figure
	put := func(name string, n uint64, gauge bool) { fs = append(fs, figure{name, n, gauge}) }
	v := a.views.Read()
	members, suspected := 0, 0
	if v != nil {
		for i := range v.Members {
			if members++; v.Members[i].Suspect {
				suspected++
			}
		}
	}
	c := &a.registry.Counts
	size, known := a.registry.Size()
	put("fleet_members", uint64(members), true)
	put("fleet_suspected", uint64(suspected), true)
	put("fleet_known", uint64(known), true)
	put("fleet_bytes_kept", uint64(size), true)
	put("fleet_state", uint64(a.registry.Own().State), true)
	put("fleet_roster", a.registry.Own().Roster, true)
	put("fleet_entries", c.Entries, false)
	put("fleet_entries_old", c.Old, false)
	put("fleet_entries_garbage", c.Garbage, false)
	put("fleet_entries_full", c.Full, false)
	put("fleet_entries_over", c.Over, false)
	put("fleet_lives_raised", c.Raised, false)
	put("fleet_updates", c.Updates, false)
	put("fleet_update_gaps", c.Gaps, false)
	put("fleet_windows_heard", c.Windows, false)
	put("fleet_older_members", uint64(a.registry.Older()), true)
	put("fleet_views", a.viewsMade.Load(), false)
	put("fleet_notes", a.notes.Load(), false)
	put("fleet_posts_dropped", a.dropped.Load(), false)
	put("fleet_refused", a.refused.Load(), false)
	a.cfg.Net.Figures(put)
	a.repair.Figures(put)
	for _, p := range a.parts {
		p.Figures(put)
	}
	a.warnOfBudget(fs)
	if err := a.metrics.set(fs); err != nil {
		a.log.Error("figures stay as they were", "error", err)
	}
}

// warnOfBudget logs, now and then, that something of this process's traffic had no room in its budget.
func (a *Agent) warnOfBudget(fs []figure) {
	refused := uint64(0)
	for _, f := range fs {
		if f.name == "fleet_budget_settings_refused" || f.name == "fleet_budget_figures_refused" {
			refused += f.n
		}
	}
	if refused == a.refusedSeen || a.warned != 0 && a.now-a.warned < warnInterval {
		return
	}
	a.log.Warn("control traffic is over its budget", "refused", refused-a.refusedSeen, "advice", fleetnet.BudgetAdvice)
	a.refusedSeen, a.warned = refused, a.now
}

// Figures gives the figures as they were at the end of the last window. Any goroutine may ask.
func (a *Agent) Figures(put func(name string, n uint64, gauge bool)) {
	if failpoint.On("figures-wait") {
		time.Sleep(1500 * time.Millisecond)
	}
	for _, f := range a.metrics.gathered() {
		put(f.name, f.n, f.gauge)
	}
}

// processor is the processor time that this process has used, in microseconds.
func processor() int64 {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return (u.Utime.Nano() + u.Stime.Nano()) / 1000
}

// resident is how many bytes of this process are in memory.
func resident() int64 {
	text, err := os.ReadFile("/proc/self/statm")
	if fields := strings.Fields(string(text)); err == nil && len(fields) > 1 {
		if n, err := strconv.ParseInt(fields[1], 10, 64); err == nil {
			return n * int64(os.Getpagesize())
		}
	}
	var m runtime.MemStats // a stop of the world, where there is no /proc
	runtime.ReadMemStats(&m)
	return int64(min(m.Sys, math.MaxInt64))
}
