package stage

import (
	"errors"
	"fmt"
	"hash/maphash"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"pewterwheel/internal/fleet"
	"pewterwheel/internal/lease"
)

// fakeLease is a lease with at most one holder. A record that is being written counts once it is stored, and is
// lost if the holder changes first.
type fakeLease struct {
	claims  []string
	holder  string
	fence   uint64
	value   []byte
	write   uint64
	pending []byte
}

func (f *fakeLease) grant() {
	if f.holder == "" && len(f.claims) > 0 {
		f.holder, f.fence, f.pending = f.claims[0], f.fence+1, nil
	}
}

func (f *fakeLease) release(name string) {
	f.claims = slices.DeleteFunc(f.claims, func(n string) bool { return n == name })
	if f.holder == name {
		f.holder = ""
	}
	f.grant()
}

// processLease is the lease as one process sees it.
type processLease struct {
	lease *fakeLease
	name  string
}

func (l processLease) Claim(int64, string, *fleet.Out) {
	if !slices.Contains(l.lease.claims, l.name) {
		l.lease.claims = append(l.lease.claims, l.name)
	}
	l.lease.grant()
}
func (l processLease) Release(int64, string, *fleet.Out) { l.lease.release(l.name) }
func (l processLease) Held(int64, string) (lease.Grant, bool) {
	return lease.Grant{Fence: l.lease.fence, Value: l.lease.value, Write: l.lease.write}, l.lease.holder == l.name
}
func (l processLease) Write(_ int64, _ string, v []byte, _ *fleet.Out) (uint64, error) {
	if len(v) > lease.MaxRecord {
		return 0, errors.New("too long")
	}
	l.lease.pending = v
	return l.lease.write + 1, nil
}
func (l processLease) Holder(string) (string, uint64) { return l.lease.holder, l.lease.fence }

const change = 7

// modelState is the state of a few processes, their messages and acts, and the faults that may still occur.
type modelState struct {
	now            int64
	lease          *fakeLease
	parts          []*Module
	entries        []fleet.Entry
	acts           [][]fleet.Act
	concluded      []uint64 // change of the target in the file of the concluded target, by process
	messages       []fleet.Message
	lastViewed     [2]string // the state last shown to the processes that claim the lease, and to the others
	dropsLeft      int
	duplicatesLeft int
	deathsLeft     int
	leaseMovesLeft int
	refusalsLeft   int
	harmfulStage   int // the stage in which the new processes do worse; -1: none
	failpoints     failpoints
	program        bool
	losesRecord    bool // the record is lost when the lease moves
	lossy          bool
	sharedView     bool // all processes get the same view at once, for a smaller search
	deathCount     int
	highestStage   int // the highest stage that was stored
	highestOrder   []([2]uint64)
}

func (w *modelState) config(i int, running, concluded Target) Config {
	tiny := Rules{Baseline: 1, WarmUp: 1, SlotLength: 1, MinEvaluation: 1, MaxEvaluation: 1,
		ApplyTimeout: 1 << 50, SuspectTimeout: 1 << 50, LeaseTimeout: 3 * second, ResendInterval: 1, MaxUnreachable: 1}
	if w.dropsLeft == 0 && w.deathsLeft == 0 && w.deathCount == 0 && !w.lossy {
		tiny.ResendInterval = 1 << 50 // orders are not repeated where none is lost, for a smaller search
	}
	return Config{Name: w.entries[i].Name, Zone: "z", Lease: processLease{w.lease, w.entries[i].Name}, Running: running,
		Concluded: concluded, Rules: tiny, failpoints: w.failpoints, oracle: func(s int) bool { return s == w.harmfulStage }}
}

func newModelState(n int, faults failpoints) *modelState {
	w := &modelState{lease: &fakeLease{}, parts: make([]*Module, n), entries: make([]fleet.Entry, n),
		acts: make([][]fleet.Act, n), concluded: make([]uint64, n),
		highestOrder: make([][2]uint64, n), harmfulStage: -1, failpoints: faults}
	for i := range n {
		w.entries[i] = fleet.Entry{Name: string(rune('a' + i)), Incarnation: 1, Zone: "z", State: fleet.Serving}
		w.parts[i] = New(w.config(i, Target{}, Target{}))
	}
	return w
}

func (w *modelState) clone() *modelState {
	v := *w
	f := *w.lease
	f.claims = slices.Clone(f.claims)
	v.lease = &f
	v.parts, v.entries, v.acts = make([]*Module, len(w.parts)), slices.Clone(w.entries), slices.Clone(w.acts)
	v.concluded, v.messages, v.highestOrder =
		slices.Clone(w.concluded), slices.Clone(w.messages), slices.Clone(w.highestOrder)
	for i, p := range w.parts {
		q := *p
		q.config = v.config(i, p.config.Running, p.config.Concluded)
		q.config.Rules = p.config.Rules
		q.peers.byName, q.peers.sorted = map[string]*peer{}, slices.Clone(p.peers.sorted)
		for j, x := range q.peers.sorted {
			y := *x
			q.peers.sorted[j], q.peers.byName[y.name] = &y, &y
		}
		c := &q.conductor
		c.wave, c.answers, c.answerDetails = slices.Clone(c.wave), maps.Clone(c.answers), maps.Clone(c.answerDetails)
		c.reachableSince, c.incarnations = maps.Clone(c.reachableSince), maps.Clone(c.incarnations)
		if c.evidence != nil {
			e := *c.evidence
			c.evidence = &e
		}
		v.acts[i] = slices.Clone(w.acts[i])
		v.parts[i] = &q
	}
	return &v
}

// print returns everything in a state that affects what can follow. Times are left out, because nothing here
// depends on them.
func (w *modelState) print() string {
	var b strings.Builder
	f := w.lease
	fmt.Fprintf(&b, "%v %s %d %x %d %x|%d%d%d%d%d%v|", f.claims, f.holder, f.fence, f.value, f.write, f.pending,
		w.dropsLeft, w.duplicatesLeft, w.deathsLeft, w.leaseMovesLeft, w.refusalsLeft, w.lastViewed)
	for i, p := range w.parts {
		c := &p.conductor
		fmt.Fprintf(&b, "%d %d %d %d %d %s %d %v %v %v %d %d %d|", p.running.Change, p.state, p.change, p.highestFence,
			p.highestWrite, p.openVerb, p.openAct, p.rollbackPending,
			p.handedOver, p.hasView, p.peers.highestOver, p.peers.highestRunning, w.entries[i].Incarnation)
		fmt.Fprintf(&b, "%v%v %d %d%d%v %v %v %v %v %d|", c.leaseClaimed, c.holdsLease, c.proposal.Change,
			c.record.Phase, c.record.Stage, c.writePending, c.wave,
			c.answers, c.stageFilledAt > 0, c.endNoted, w.concluded[i])
		if e := c.evidence; e != nil {
			fmt.Fprint(&b, e.changeStarted, e.stage, e.beganAt < w.now)
		}
		for _, x := range p.peers.sorted {
			fmt.Fprintf(&b, "%d%d%d,", x.incarnation, x.status.State, x.status.Phase)
		}
	}
	m := make([]string, len(w.messages))
	for i, x := range w.messages {
		m[i] = x.From + x.To + string(x.Body)
	}
	slices.Sort(m)
	fmt.Fprint(&b, m)
	return b.String()
}

func processIndex(name string) int { return int(name[0] - 'a') }

// call calls a Module, collects its output and checks the invariants.
func (w *modelState) call(i int, f func(p *Module, out *fleet.Out)) error {
	var out fleet.Out
	f(w.parts[i], &out)
	stored, err := decodeRecord(w.lease.value)
	if err != nil {
		return err
	}
	for _, m := range out.Send {
		var s message
		if decode(m.Body, &s) != nil || len(m.Body) > fleet.MaxBody {
			return errors.New("a message that cannot be decoded")
		}
		if s.Order && s.Verb == Apply && stored.Phase != concluding &&
			(stored.Phase != running || !slices.Contains(stored.Wave, nameHash(m.To))) {
			return fmt.Errorf("ordered before the record was stored: %s", m.To)
		}
		if !slices.ContainsFunc(w.messages, func(x fleet.Message) bool {
			return x.From == m.From && x.To == m.To && string(x.Body) == string(m.Body)
		}) {
			w.messages = append(w.messages, m)
		}
	}
	w.acts[i] = append(w.acts[i], out.Acts...)
	for _, n := range out.Notes {
		if n.What == Apply || n.What == Back {
			var write uint64
			_, _ = fmt.Sscanf(n.Text, "write %d", &write)
			if is := [2]uint64{n.Fence, write}; slices.Compare(is[:], w.highestOrder[i][:]) < 0 {
				return fmt.Errorf("%s carries out an order with a lower fencing number: %v after %v", w.entries[i].Name,
					is, w.highestOrder[i])
			} else {
				w.highestOrder[i] = is
			}
		}
	}
	if b, ok := out.Parts[fleet.Stage]; ok {
		if len(b) > fleet.MaxBody {
			return errors.New("the status in an entry is too large")
		}
		w.entries[i].Parts = map[fleet.Kind][]byte{fleet.Stage: b}
		w.entries[i].Version++
	}
	// Drops messages that have no effect whenever they arrive: answers to an earlier record, and orders that will
	// be refused.
	w.messages = slices.DeleteFunc(w.messages, func(m fleet.Message) bool {
		var s message
		_ = decode(m.Body, &s)
		to := w.parts[processIndex(m.To)]
		if s.Order {
			return !w.failpoints.ignoreFence && (s.Fence < to.highestFence ||
				s.Fence == to.highestFence && s.Write < to.highestWrite)
		}
		return s.Fence != w.lease.fence || s.Write < w.lease.write
	})
	changed := 0
	for _, p := range w.parts {
		if p.running.Change == change {
			changed++
		}
	}
	if changed > StageSize(w.highestStage, len(w.parts)) {
		return fmt.Errorf("%d processes are in stage %s", changed, stageNames[w.highestStage])
	}
	return nil
}

// restart starts the next incarnation of a process. running is the number of the change whose target it runs with.
func (w *modelState) restart(i int, running uint64) error {
	t := func(n uint64) Target {
		if n == 0 {
			return Target{}
		}
		return w.target()
	}
	w.entries[i].Incarnation++
	w.entries[i].Version, w.entries[i].Parts = 1, nil
	w.acts[i] = nil
	w.lease.release(w.entries[i].Name)
	w.parts[i] = New(w.config(i, t(running), t(w.concluded[i])))
	return w.call(i, func(p *Module, out *fleet.Out) { p.Start(w.now, out) })
}

func (w *modelState) target() Target {
	t := Target{Change: change, Settings: "new.ini"}
	if w.program {
		t.Program = "/new"
	}
	return t
}

// entriesText returns the statuses in all entries.
func (w *modelState) entriesText() string {
	var b strings.Builder
	for _, e := range w.entries {
		fmt.Fprintf(&b, "%d %x,", e.Incarnation, e.Parts[fleet.Stage])
	}
	return b.String()
}

// steps returns all events that can happen next.
func (w *modelState) steps() (names []string, do []func(w *modelState) error) {
	add := func(n string, f func(w *modelState) error) { names, do = append(names, n), append(do, f) }
	f := w.lease
	if f.pending != nil {
		add("store", func(w *modelState) error {
			old, _ := decodeRecord(w.lease.value)
			is, err := decodeRecord(w.lease.pending)
			if err != nil {
				return err
			}
			w.lease.value, w.lease.pending = w.lease.pending, nil
			w.lease.write++
			w.highestStage = max(w.highestStage, is.Stage)
			switch {
			case is.Stage != old.Stage && is.Stage != old.Stage+1:
				return fmt.Errorf("a stage is skipped or reopened: %d after %d", is.Stage, old.Stage)
			case is.Phase < old.Phase && !(old.Phase == halted && is.Phase == goingBack) &&
				!(old.Phase == concluded && is.Phase == concluding):
				return fmt.Errorf("phase %d after %d", is.Phase, old.Phase)
			case old.Phase == goingBack && is.Phase != goingBack && is.Phase != halted:
				return errors.New("a halted change was continued")
			}
			return nil
		})
	}
	for _, c := range f.claims {
		i := processIndex(c)
		add("tick "+c, func(w *modelState) error {
			return w.call(i, func(p *Module, out *fleet.Out) { p.Tick(w.now, out) })
		})
	}
	seen := w.entriesText()
	for k := range 2 {
		if w.lastViewed[k] == seen || w.sharedView && k == 1 {
			continue
		}
		add([]string{"view conductors", "view others"}[k], func(w *modelState) error {
			w.lastViewed[k] = seen
			v := &fleet.View{}
			for _, e := range w.entries {
				v.Members = append(v.Members, fleet.Member{Entry: e})
			}
			for i := range w.parts {
				if !w.sharedView && slices.Contains(w.lease.claims, w.entries[i].Name) != (k == 0) {
					continue
				}
				if err := w.call(i, func(p *Module, out *fleet.Out) { p.View(w.now, v, out) }); err != nil {
					return err
				}
			}
			return nil
		})
	}
	for k, m := range w.messages {
		deliver := func(w *modelState) error {
			return w.call(processIndex(m.To), func(p *Module, out *fleet.Out) { p.Message(w.now, m, out) })
		}
		add("deliver to "+m.To, func(w *modelState) error {
			w.messages = slices.Delete(w.messages, k, k+1)
			return deliver(w)
		})
		if w.duplicatesLeft > 0 {
			add("double to "+m.To, func(w *modelState) error { w.duplicatesLeft--; return deliver(w) })
		}
		if w.dropsLeft > 0 {
			add("drop to "+m.To, func(w *modelState) error {
				w.dropsLeft--
				w.messages = slices.Delete(w.messages, k, k+1)
				return nil
			})
		}
	}
	for i := range w.parts {
		for _, a := range w.acts[i] {
			done := func(w *modelState, err error) error {
				w.acts[i] = slices.DeleteFunc(w.acts[i], func(b fleet.Act) bool { return b.Number == a.Number })
				if err == nil && a.What == Conclude {
					w.concluded[i] = change
				}
				if e := w.call(i, func(p *Module, out *fleet.Out) { p.Done(w.now, a, err, out) }); e != nil ||
					err != nil || !w.program || a.What == Conclude {
					return e
				}
				t, e := DecodeTarget(a.Body)
				if e != nil {
					return e
				}
				return w.restart(i, t.Change)
			}
			add(a.What+" done "+w.entries[i].Name, func(w *modelState) error { return done(w, nil) })
			if w.refusalsLeft > 0 && a.What == Apply {
				add("refuse "+w.entries[i].Name,
					func(w *modelState) error { w.refusalsLeft--; return done(w, errors.New("no")) })
			}
		}
		if w.deathsLeft > 0 {
			add("die "+w.entries[i].Name,
				func(w *modelState) error { w.deathsLeft--; w.deathCount++; return w.restart(i, w.concluded[i]) })
		}
	}
	if w.leaseMovesLeft > 0 && f.holder != "" {
		add("move", func(w *modelState) error {
			w.leaseMovesLeft--
			if w.losesRecord {
				w.lease.value = nil
			}
			l := w.lease
			l.claims = append(slices.DeleteFunc(l.claims, func(n string) bool { return n == l.holder }), l.holder)
			l.holder = ""
			l.grant()
			return nil
		})
	}
	return names, do
}

// checkEnd checks that a change is over and that every process is on the right side of it. It is called when
// nothing more happens without a fault.
func (w *modelState) checkEnd() error {
	r, err := decodeRecord(w.lease.value)
	if err != nil {
		return err
	}
	if r.Phase != none && !isOver(r.Phase) {
		return fmt.Errorf("the change remains in phase %s, stage %d", phaseNames[r.Phase], r.Stage)
	}
	for i, p := range w.parts {
		if (r.Phase == halted || r.Phase == none) && p.running.Change != 0 {
			return fmt.Errorf("%s was not rolled back", w.entries[i].Name)
		}
		if r.Phase == concluded && p.running.Change != change && w.deathCount == 0 {
			return fmt.Errorf("%s was not changed", w.entries[i].Name)
		}
	}
	return nil
}

// search runs every order of events. It returns the number of states found, whether the search was complete, and
// the first violation with the events that led to it. It stops without an error after maxStates states.
func search(start *modelState, maxStates int) (states int, complete bool, path []string, err error) {
	seen := map[uint64]bool{}
	h := maphash.MakeSeed()
	type node struct {
		w    *modelState
		prev *node
		name string
	}
	first := &node{w: start}
	stack := []*node{first}
	for len(stack) > 0 {
		n := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		names, do := n.w.steps()
		before, moved := n.w.print(), false
		for k := range do {
			v := n.w.clone()
			v.now += second
			violation := do[k](v)
			p := v.print()
			next := &node{w: v, prev: n, name: names[k]}
			if violation != nil {
				for x := next; x != nil; x = x.prev {
					path = append(path, x.name)
				}
				slices.Reverse(path)
				return len(seen), false, path, violation
			}
			if p == before {
				continue
			}
			moved = moved || !strings.HasPrefix(names[k], "die") && !strings.HasPrefix(names[k], "move")
			s := maphash.String(h, p)
			if seen[s] {
				continue
			}
			seen[s] = true
			if len(seen) >= maxStates {
				return len(seen), false, nil, nil
			}
			stack = append(stack, next)
		}
		if !moved {
			if violation := n.w.checkEnd(); violation != nil {
				for x := n; x != nil; x = x.prev {
					path = append(path, x.name)
				}
				slices.Reverse(path)
				return len(seen), false, path, violation
			}
		}
	}
	return len(seen), true, nil, nil
}

// newRunningModel returns a state in which all processes have started and the first one has proposed the change.
func newRunningModel(t testing.TB, n int, faults failpoints, set func(w *modelState)) *modelState {
	w := newModelState(n, faults)
	set(w)
	for i := range w.parts {
		w.parts[i] = New(w.config(i, Target{}, Target{}))
	}
	for i := range w.parts {
		if err := w.call(i, func(p *Module, out *fleet.Out) { p.Start(0, out) }); err != nil {
			t.Fatal(err)
		}
	}
	_, do := w.steps()
	for range 1 {
		for _, f := range do {
			if err := f(w); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := w.call(0, func(p *Module, out *fleet.Out) {
		if err := p.Propose(0, w.target(), out); err != nil {
			t.Fatal(err)
		}
	}); err != nil {
		t.Fatal(err)
	}
	return w
}

// TestSearch runs the events of a change over three and four processes in every order. No stage may be skipped,
// reopened or filled beyond its size, no process may be ordered before the record is stored or under a lower
// fencing number, and every change must end completely.
func TestSearch(t *testing.T) {
	total, maxStates := 0, 800
	if n, err := strconv.Atoi(os.Getenv("STAGE_STATES")); err == nil {
		maxStates = n // states of each case, for manual runs
	}
	for _, c := range []struct {
		name string
		n    int
		set  func(w *modelState)
	}{
		{"nothing goes wrong", 3, func(w *modelState) { w.sharedView = true }},
		{"worse at the first stage", 3, func(w *modelState) { w.harmfulStage, w.sharedView = One, true }},
		{"worse at the third stage", 3, func(w *modelState) { w.harmfulStage, w.sharedView = Quarter, true }},
		{"conductor moves", 3, func(w *modelState) { w.leaseMovesLeft, w.sharedView = 1, true }},
		{"a process refuses", 3, func(w *modelState) { w.refusalsLeft, w.sharedView = 1, true }},
		{"record lost", 3, func(w *modelState) { w.leaseMovesLeft, w.losesRecord = 1, true }},
		{"conductor moves, old views", 3, func(w *modelState) { w.leaseMovesLeft = 1 }},
		{"a process dies", 3, func(w *modelState) { w.lossy, w.deathsLeft = true, 1 }},
		{"lost and duplicated messages", 3, func(w *modelState) {
			w.lossy, w.dropsLeft, w.duplicatesLeft, w.harmfulStage = true, 1, 1, Twentieth
		}},
		{"program, a process dies", 3, func(w *modelState) { w.lossy, w.program, w.deathsLeft = true, true, 1 }},
		{"program, conductor moves, worse", 3, func(w *modelState) {
			w.lossy, w.program, w.leaseMovesLeft, w.harmfulStage = true, true, 1, One
		}},
		{"four processes, conductor moves, duplicated message, worse", 4,
			func(w *modelState) { w.leaseMovesLeft, w.duplicatesLeft, w.harmfulStage = 1, 1, One }},
	} {
		w := newRunningModel(t, c.n, failpoints{}, c.set)
		bound := maxStates
		if w.sharedView && w.leaseMovesLeft == 0 {
			bound = max(bound, 4000) // these cases are searched completely
		}
		states, complete, path, err := search(w, bound)
		if bound != maxStates && !complete && err == nil {
			t.Errorf("%s: not searched completely", c.name)
		}
		total += states
		if err != nil {
			t.Errorf("%s: %v\n%s", c.name, err, strings.Join(path, "\n"))
		}
		t.Logf("%-30s %6d states, complete %v", c.name, states, complete)
	}
	t.Logf("%d states", total)
}
