package member

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"pewterwheel/internal/advice"
	"pewterwheel/internal/aggregate"
	"pewterwheel/internal/config"
	"pewterwheel/internal/dissemination"
	"pewterwheel/internal/failpoint"
	"pewterwheel/internal/fleet"
	"pewterwheel/internal/keeper"
	"pewterwheel/internal/lease"
	"pewterwheel/internal/pooling"
	"pewterwheel/internal/stage"
)

// queueRoom is how many reports of the loop of calls may wait for the keepers' part.
const queueRoom = 4096

// make makes the parts of this process for a life, knowing nothing. Those that need a lease hold the lessor.
func (t *together) make(life uint64) []fleet.Module {
	t.mu.Lock()
	s, running, concluded := t.last, t.running, t.concluded
	t.mu.Unlock()
	if s.Fleet == nil {
		s = t.base
	}
	f := s.Fleet
	t.lessor = lease.New(leaseWithFailpoints(lease.Config{Self: t.member.Name, Incarnation: life, Seed: life, Roster: f.RosterNumber, Names: f.Roster,
		Lease: f.Lease, Drift: f.Drift, Floor: life / 1000, NoteRenewals: failpoint.Enabled}))
	figures := aggregate.New(aggregate.Config{Self: t.member.Name, Seed: life, Allow: t.allowFigures})
	t.stage = stage.New(stage.Config{
		Name:      t.member.Name,
		Zone:      t.member.Zone,
		Lease:     t.lessor,
		Running:   running,
		Concluded: concluded,
		Figures:   figures,
		Rules:     stageRules(),
	})
	parts := []fleet.Module{t.lessor, figures, t.stage}
	if t.table != nil {
		cfg := t.keepers(life, t.lessor)
		cfg.Excluded = t.stage.ChangesSoon
		k, err := keeper.New(keeperWithFailpoints(cfg), t.table, t.queue)
		if err != nil {
			t.log.Error("no numbers are kept", "error", err, advice.Attr(err))
		} else {
			t.keeper = k
			parts = append(parts, k)
		}
	}
	if t.pools != nil {
		p, err := pooling.New(pooling.Config{Self: t.member.Name, Seed: life, Loop: t.pools, MaxUnsafeRate: unsafe(t.base.Pooling.Unsafe), ObserveOnly: t.base.Pooling.Mode == "watch",
			ReportError: func(err error) { t.log.Warn("pooling", "error", err, advice.Attr(err)) }})
		if err != nil {
			t.log.Error("no sessions are observed", "error", err, advice.Attr(err))
		} else {
			parts = append(parts, p)
		}
	}
	return append(parts, t.failParts()...)
}

// allowFigures tells whether the budget has room for a window of so many bytes; one that it has none for goes on growing.
func (t *together) allowFigures(_ int64, bytes int) bool {
	return t.net.Allow(dissemination.Figures, bytes)
}

// keepers is what the keepers' part and its front go by; the front needs no lessor.
func (t *together) keepers(life uint64, lessor lease.Client) keeper.Config {
	k := t.base.Keepers
	return keeper.Config{Self: t.member.Name, Incarnation: life, Lessor: lessor, MaxOwned: k.Numbers, FallbackShare: k.Share, ClockDrift: t.base.Fleet.Drift}
}

// wakes is what asks for a look at the parts before it is due.
func (t *together) wakes() <-chan struct{} {
	if t.queue == nil {
		return nil
	}
	return t.queue.Wake()
}

// told hands a file that was read anew to the parts: its roster, and the change that it names.
func (t *together) told(now int64, s config.Sidecar, out *fleet.Out) {
	if t.lessor == nil { // the parts are made from the file that was read last
		if s.Change != nil && s.Change.Number > t.runningNow().Change {
			t.log.Warn("a change waits for the next SIGHUP: this process has just started", "change", s.Change.Number)
		}
		return
	}
	if err := t.lessor.SetRoster(now, s.Fleet.RosterNumber, s.Fleet.Roster); err != nil {
		t.log.Error("the roster stays", "number", s.Fleet.RosterNumber, "error", err, advice.Attr(err))
	}
	if s.Change == nil || s.Change.Number <= t.runningNow().Change {
		return
	}
	target, err := t.target(*s.Change)
	target = t.whole(target)
	if err == nil {
		err = t.stage.Propose(now, target, out)
	}
	var runs *stage.RunningError
	if errors.As(err, &runs) && runs.Running == s.Change.Number {
		return // the file was read anew while its change goes its way, or by it
	}
	if err != nil {
		t.log.Error("the change is not begun", "change", s.Change.Number, "error", err, advice.Attr(err))
		return
	}
	t.log.Info("a change is proposed", "change", target.Change, "settings", target.Settings, "program", target.Program)
}

func (t *together) runningNow() stage.Target { t.mu.Lock(); defer t.mu.Unlock(); return t.running }

// target is what a change of the site file asks for. A path in which names stand is another file for each process: then
// there is no one digest that all could be held to.
func (t *together) target(c config.Staged) (stage.Target, error) {
	target := stage.Target{Change: c.Number, Settings: c.Settings, Program: c.Program}
	for _, f := range []struct {
		path   string
		digest *uint64
	}{{c.Settings, &target.SettingsDigest}, {c.Program, &target.ProgramDigest}} {
		if f.path == "" || strings.Contains(f.path, "{") {
			continue
		}
		text, err := os.ReadFile(f.path)
		if err != nil {
			return target, &ApplyError{f.path, err}
		}
		*f.digest = xxhash.Sum64(text)
	}
	return target, nil
}

// conclude writes down by what this process comes up from now on, so that it is there whole or not at all.
func (t *together) conclude(to stage.Target) error {
	text, err := json.Marshal(outcome{to, t.expand(to.Program)})
	if err != nil {
		return &ApplyError{t.file, err}
	}
	temporary, err := os.CreateTemp(filepath.Dir(t.file), filepath.Base(t.file)+".*")
	if err != nil {
		return &ApplyError{t.file, err}
	}
	defer func() { _ = os.Remove(temporary.Name()) }() // it has another name by then, unless something failed
	_, err = temporary.Write(append(text, '\n'))
	err = errors.Join(err, temporary.Sync(), temporary.Close())
	if err == nil {
		err = os.Rename(temporary.Name(), t.file)
	}
	if err != nil {
		return &ApplyError{t.file, err}
	}
	t.mu.Lock()
	t.concluded = to
	t.mu.Unlock()
	t.log.Info("a change is concluded", "change", to.Change, "file", t.file)
	return nil
}

// recall reads what was concluded in an earlier life, and goes by its settings. Where they are not what they were the
// process comes up by its own file.
func (t *together) recall() {
	text, err := os.ReadFile(t.file)
	var to stage.Target
	if err == nil {
		err = json.Unmarshal(text, &to)
	}
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err == nil && to.Settings != "" {
		var settings []byte
		if settings, err = os.ReadFile(t.expand(to.Settings)); err == nil && to.SettingsDigest != 0 && xxhash.Sum64(settings) != to.SettingsDigest {
			err = errDigest
		}
		if err == nil {
			t.reader.GoBy(t.expand(to.Settings), nil)
		}
	}
	if err != nil {
		err = &ApplyError{t.file, err}
		t.log.Error("a concluded change is left out", "error", err, advice.Attr(err))
		to = stage.Target{Change: to.Change}
	}
	t.running, t.concluded = to, to
}

// Released tells whether the process may go by its own file again: no change is under way, and an operator has taken away what
// was written down of the last.
func (t *together) Released() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running.Change != t.concluded.Change {
		return false
	}
	if _, err := os.Stat(t.file); !errors.Is(err, fs.ErrNotExist) {
		return false
	}
	t.running.Settings, t.concluded.Settings = "", ""
	return true
}

// stageRules are the rules of changes. A build for tests may have them in less time, as by stage=0.05 in a twentieth, with figures
// compared over two windows at least, and with wider margins, as by stage-margins=20 for so many times as wide: a machine that
// does other work besides makes a few processes differ by more than a fleet does.
func stageRules() stage.Rules {
	var r stage.Rules
	if !failpoint.Enabled {
		return r
	}
	if by, err := parseFactor(failpoint.Value("stage")); err == nil {
		const second = 1e6
		t := func(s float64) int64 { return int64(s * second * by) }
		// A process takes over in its own time, however short the rest is made.
		r = stage.Rules{Baseline: t(120), WarmUp: t(30), SlotLength: max(t(10), 2*second), MinEvaluation: max(t(60), 4*second), MaxEvaluation: t(600),
			ApplyTimeout: max(t(60), 15*second), SuspectTimeout: t(20), LeaseTimeout: max(t(30), 15*second), ResendInterval: max(t(1), second/5)}
	}
	if by, err := parseFactor(failpoint.Value("stage-margins")); err == nil {
		m := &r.Margins
		*m = stage.Rules{}.WithDefaults().Margins
		for _, x := range []*float64{&m.Worth, &m.Refused, &m.Failed, &m.Late, &m.WaitP99, &m.CPU, &m.Memory, &m.Growth} {
			*x *= by
		}
	}
	return r
}

func parseFactor(text string) (float64, error) { return strconv.ParseFloat(text, 64) }
