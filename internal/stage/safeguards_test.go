package stage

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"pewterwheel/internal/advice"
	"pewterwheel/internal/fleet"
	"pewterwheel/internal/lease"
)

// figuresModel generates the windows of a fleet, drawn anew for each test of the comparison.
type figuresModel struct {
	r        *rand.Rand
	spread   float64 // how much the refusal rates of the processes differ
	trouble  float64 // additional refusals of all processes, once a process has changed
	worse    float64 // additional refusals of the new processes
	meanRate float64
	rates    []float64
}

// judge simulates 60 processes, 6 of which change, and returns the first decided finding of 40 slots.
func (f *figuresModel) judge(faults failpoints, before int) finding {
	rules := Rules{WarmUp: 1, Alpha: 0.02}.withDefaults()
	e := newEvidence(rules, change, 0, faults)
	now, number := int64(0), uint64(0)
	f.rates = make([]float64, 60)
	for i := range f.rates {
		f.rates[i] = f.meanRate * math.Exp(f.spread*f.r.NormFloat64())
	}
	slot := func(changed bool) {
		now, number = now+rules.SlotLength, number+1
		for i, p := range f.rates {
			status := processStatus{}
			if changed {
				p += f.trouble
				if i%10 == 0 {
					status, p = processStatus{Change: change, State: Changed}, p+f.worse
				}
			}
			n := 200.0
			refused := max(0, math.Round(n*p+math.Sqrt(n*p)*f.r.NormFloat64()))
			m := fleet.Member{Entry: fleet.Entry{Name: fmt.Sprint("c", i), Incarnation: 1, Zone: "z",
				State: fleet.Serving, Windows: []fleet.Window{{
					Number: number, Length: rules.SlotLength,
					Class: []fleet.ClassFigures{{Name: "x", Offered: uint64(n), Refused: uint64(refused)}}}}}}
			e.addWindows(now, &m, status)
		}
		e.closeIfOver(now)
	}
	for range before {
		slot(false)
	}
	e.markStarted(now)
	slot(true)
	e.beginStage(now+2, Twentieth)
	now += 2
	for range 40 {
		slot(true)
		if v := e.evaluate(now); v.verdict != verdictUndecided {
			return v
		}
	}
	return finding{verdict: verdictUndecided}
}

// countHalts returns how many of 100 changes are halted.
func countHalts(f figuresModel, faults failpoints, before int) int {
	n := 0
	for seed := range uint64(100) {
		f.r = rand.New(rand.NewPCG(seed, 7))
		if f.judge(faults, before).verdict == verdictHarmful {
			n++
		}
	}
	return n
}

// Checks that a worse version is detected, that a trouble that affects both sides is not taken for harm, and that
// differences between processes are not taken for an effect of the change.
func TestComparison(t *testing.T) {
	for _, c := range []struct {
		name        string
		f           figuresModel
		before      int
		d           failpoints
		least, most int // halted changes of 100
	}{
		{"harmless", figuresModel{meanRate: 0.02, spread: 0.3}, 12, failpoints{}, 0, 1},
		{"one percentage point more refusals", figuresModel{meanRate: 0.02, spread: 0.3, worse: 0.01}, 12, failpoints{},
			95, 100},
		{"one percentage point more refusals, no figures from before",
			figuresModel{meanRate: 0.02, spread: 0.1, worse: 0.01}, 0, failpoints{}, 95, 100},
		{"trouble of all processes", figuresModel{meanRate: 0.02, spread: 0.3, trouble: 0.1}, 12, failpoints{}, 0, 1},
		{"processes that differ widely", figuresModel{meanRate: 0.02, spread: 0.8}, 0, failpoints{}, 0, 2},
		{"unpaired: trouble of all processes is taken for harm",
			figuresModel{meanRate: 0.02, spread: 0.3, trouble: 0.1}, 12, failpoints{unpaired: true}, 75, 100},
		{"calls taken as independent: differences are taken for harm", figuresModel{meanRate: 0.02, spread: 0.8}, 0,
			failpoints{assumeIndependent: true}, 15, 100},
	} {
		if n := countHalts(c.f, c.d, c.before); n < c.least || n > c.most {
			t.Errorf("%s: %d of 100 halted, want %d to %d", c.name, n, c.least, c.most)
		} else {
			t.Logf("%s: %d of 100 halted", c.name, n)
		}
	}
}

// Evaluates random paths without drift at every step. The likelihood ratio reaches 1/alpha in at most a fraction
// alpha of them, whatever part of the variance does not fall with time; a test for a single evaluation does so far
// more often.
func TestSequentialBound(t *testing.T) {
	const alpha, paths, steps = 0.05, 1500, 200
	for _, constant := range []float64{0, 0.02} {
		for _, d := range []failpoints{{}, {fixedSampleTest: true}} {
			r := rand.New(rand.NewPCG(9, 9))
			halted := 0
			for range paths {
				x, drift := 0.0, math.Sqrt(constant)*r.NormFloat64()
				for i := 1.0; i <= steps; i++ {
					x += r.NormFloat64() + drift
					c := comparison{diff: x / i, variance: 1/i + constant, degrees: 1e6, margin: 0.5}
					if c.judge(alpha, 1e-12, d) == verdictHarmful {
						halted++
						break
					}
				}
			}
			share := float64(halted) / paths
			t.Logf("constant part of the variance %v, test for a single evaluation %v: %.3f halted", constant,
				d.fixedSampleTest, share)
			if d.fixedSampleTest != (share > 0.1) || !d.fixedSampleTest && share > 1.25*alpha {
				t.Errorf("constant part of the variance %v, %+v: %.3f halted", constant, d, share)
			}
		}
	}
}

// checkPlan checks that a wave does not contain processes that must not be ordered at the same time.
func checkPlan(p *plan) error {
	wave, _ := p.nextWave()
	if len(wave) == 0 {
		return nil
	}
	capacity, offered, changed := 0.0, 0.0, 0
	ordered := map[string]bool{}
	for _, n := range wave {
		ordered[n] = true
	}
	zone := ""
	for _, x := range p.candidates {
		if x.reachable {
			offered += x.offered
			if !x.changing && !ordered[x.name] {
				capacity += x.shown
			}
		}
		if ordered[x.name] {
			if !x.reachable || x.changing || x.inChange != p.rollback {
				return fmt.Errorf("%s cannot be ordered", x.name)
			}
			if zone != "" && zone != x.zone {
				return errors.New("two zones in one wave")
			}
			zone = x.zone
		}
		if x.inChange && x.reachable && !p.rollback {
			changed++
		}
		for _, y := range p.candidates {
			if ordered[x.name] && (ordered[y.name] || y.changing) && y.name != x.name && p.neighbours(x.name, y.name) {
				return errors.New("neighbours at once")
			}
		}
	}
	if p.rollback && p.forced {
		if busy := slices.ContainsFunc(p.candidates, func(x candidate) bool { return x.changing }); len(wave) == 1 &&
			!busy {
			return nil
		}
	}
	if p.program && capacity < p.capacityFactor()*offered-1e-6 {
		return errors.New("under the capacity that is needed")
	}
	if size := StageSize(p.stage, len(p.candidates)); !p.rollback && p.stage != All &&
		changed+len(wave) > size+size/2+1 {
		return fmt.Errorf("%d in a stage of %d", changed+len(wave), size)
	}
	return nil
}

func drawPlan(t *rapid.T, faults failpoints) *plan {
	p := &plan{rules: Rules{MaxUnreachable: 1}.withDefaults(), change: 5, program: true,
		rollback: rapid.Bool().Draw(t, "back"), forced: rapid.Bool().Draw(t, "last"),
		stage: rapid.IntRange(One, All).Draw(t, "stage"), neighbours: func(a, b string) bool { return a[:2] == b[:2] },
		failpoints: faults}
	n := rapid.IntRange(1, 40).Draw(t, "processes")
	load := rapid.Float64Range(0.2, 1).Draw(t, "load")
	for i := range n {
		s := rapid.IntRange(0, 9).Draw(t, "state")
		x := candidate{name: fmt.Sprintf("%c%c%d", 'a'+i/8, 'a'+i%8/2, i%2), zone: string(rune('x' + i%3)),
			reachable: s > 0, inChange: s > 6, changing: s == 9, shown: 10}
		x.offered = 10 * load
		if x.inChange {
			p.ordered++
		}
		p.candidates = append(p.candidates, x)
	}
	return p
}

func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := checkPlan(drawPlan(t, failpoints{})); err != nil {
			t.Fatal(err)
		}
	})
}

// crash runs a change in which the one new process dies, and returns the phase and reason in the record then.
func crash(t *testing.T, faults failpoints) string {
	w := newRunningModel(t, 4, faults, func(w *modelState) { w.lossy = true })
	result := ""
	for range 200 {
		names, do := w.steps()
		for k, f := range do {
			if strings.HasPrefix(names[k], "double") {
				continue
			}
			w.now += second
			if err := f(w); err != nil {
				t.Fatal(err)
			}
			break
		}
		// One round of all kinds of steps, in order.
		for _, n := range []string{"store", "view", "deliver", "done", "tick"} {
			names, do := w.steps()
			for k := range names {
				if strings.Contains(names[k], n) {
					w.now += second
					if err := do[k](w); err != nil {
						t.Fatal(err)
					}
					break
				}
			}
		}
		for i, p := range w.parts {
			if p.state == Changed && w.deathCount == 0 &&
				w.parts[0].peers.byName[w.entries[i].Name].status.State == Changed {
				w.deathCount++
				if err := w.restart(i, 0); err != nil {
					t.Fatal(err)
				}
			}
		}
		if r, _ := decodeRecord(w.lease.value); r.Reason != "" || isOver(r.Phase) {
			result = phaseNames[r.Phase] + ": " + r.Reason
			break
		}
	}
	return result
}

// Checks that disabling each safeguard leads to the failure that it guards against.
func TestSafeguards(t *testing.T) {
	searchError := func(n int, faults failpoints, set func(w *modelState)) error {
		_, _, _, err := search(newRunningModel(t, n, faults, set), 20000)
		return err
	}
	planErrors := func(d failpoints) error {
		var found error
		for seed := range 300 {
			p := rapid.Custom(func(t *rapid.T) *plan { return drawPlan(t, d) }).Example(seed)
			if err := checkPlan(p); err != nil {
				found = errors.Join(found, err)
			}
		}
		return found
	}
	for _, c := range []struct {
		name string
		err  error
		want string
	}{
		{"orders sent before the record is stored",
			searchError(3, failpoints{ordersBeforeRecord: true}, func(w *modelState) {}),
			"ordered before the record was stored"},
		{"fencing number ignored", searchError(3, failpoints{ignoreFence: true},
			func(w *modelState) { w.lossy, w.duplicatesLeft, w.leaseMovesLeft, w.harmfulStage = true, 1, 1, One }),
			"carries out an order with a lower fencing number"},
		{"stages out of order", searchError(3, failpoints{skipStage: true}, func(w *modelState) {}), "a stage is skipped"},
		{"neighbours ignored", planErrors(failpoints{ignoreNeighbours: true}), "neighbours at once"},
		{"capacity ignored", planErrors(failpoints{ignoreCapacity: true}), "under the capacity"},
	} {
		if c.err == nil || !strings.Contains(c.err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.name, c.err, c.want)
		}
	}
	if got := crash(t, failpoints{}); !strings.Contains(got, "died in the change") {
		t.Errorf("a new process died: %q", got)
	}
	if got := crash(t, failpoints{ignoreCrashes: true}); got != "concluded: " {
		t.Errorf("a new process died, and crashes are not counted: %q", got)
	}
}

// Checks which proposals and orders are refused, and that each error has an advice.
func TestRefusals(t *testing.T) {
	w := newRunningModel(t, 3, failpoints{}, func(w *modelState) {})
	var out fleet.Out
	p := w.parts[0]
	for _, c := range []struct {
		t    Target
		want error
	}{
		{Target{Change: 8, Settings: "x"}, &RunningError{Change: 8, Running: change, Conductor: "a"}},
		{Target{Settings: "x"}, &TargetError{Reason: "no change number is given"}},
		{Target{Change: 8}, &TargetError{Change: 8, Reason: "names neither a settings file nor a program"}},
		{Target{Change: 8, Settings: strings.Repeat("x", MaxPath+1)}, &TargetError{Change: 8, Reason: "path too long"}},
	} {
		if err := p.Propose(w.now, c.t, &out); err == nil || err.Error() != c.want.Error() {
			t.Errorf("%v: %v, want %v", c.t, err, c.want)
		}
	}
	q := New(Config{Name: "q", Lease: processLease{&fakeLease{}, "q"}})
	q.peers.highestOver = 9
	var over *NumberError
	if err := q.Propose(0, Target{Change: 9, Settings: "x"}, &out); !errors.As(err, &over) || over.HighestOver != 9 {
		t.Errorf("a change that is over: %v", err)
	}
	// An order with a lower fencing number is answered with the highest one seen, and is not carried out.
	q.hasView, q.highestFence = true, 5
	out = fleet.Out{}
	q.Message(0, fleet.Message{From: "z",
		Body: encode(message{Order: true, Change: 10, Fence: 4, Write: 9, Verb: Apply, Target: Target{Change: 10}})},
		&out)
	var answer message
	if len(out.Acts) != 0 || len(out.Send) != 1 || decode(out.Send[0].Body, &answer) != nil || answer.Fence != 5 ||
		q.state != Unchanged {
		t.Errorf("order with a lower fencing number: %+v", out)
	}
	for _, e := range Errors {
		if e.Advice() == "" || advice.Of(fmt.Errorf("so: %w", e)) != e.Advice() {
			t.Errorf("%T has no advice", e)
		}
	}
}

// Checks that the largest record and the largest messages fit, and that undecodable bytes change nothing.
func TestSizesAndGarbage(t *testing.T) {
	long := strings.Repeat("ä", 500)
	r := record{Target: Target{math.MaxUint64, long[:MaxPath], math.MaxUint64, long[:MaxPath], math.MaxUint64},
		Phase: halted, Stage: All, Ordered: 1 << 30, Fence: math.MaxUint64, Reason: long, HighestOver: math.MaxUint64}
	for range MaxWave {
		r.Wave = append(r.Wave, math.MaxUint32)
	}
	if n := len(r.encode()); n > lease.MaxRecord {
		t.Errorf("the largest record has %d bytes", n)
	}
	if back, err := decodeRecord(r.encode()); err != nil || back.Target != r.Target || len(back.Wave) != MaxWave {
		t.Errorf("decoded record: %+v, %v", back, err)
	}
	w := newRunningModel(t, 3, failpoints{}, func(w *modelState) {})
	rapid.Check(t, func(t *rapid.T) {
		b := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "bytes")
		before := w.print()
		w.parts[1].Message(0, fleet.Message{From: "a", Body: b}, &fleet.Out{})
		if w.print() != before && decode(b, &message{}) != nil {
			t.Errorf("%x changed the state", b)
		}
		_, _ = decodeRecord(b)
	})
}
