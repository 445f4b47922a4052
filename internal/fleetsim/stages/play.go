package stages

import (
	"math"
	"slices"

	"pewterwheel/internal/fleet"
	"pewterwheel/internal/lease"
	"pewterwheel/internal/stage"
)

// Result is what became of one change.
type Result struct {
	Halted  bool
	Reason  string
	Over    bool    // it ended, and all that are reached are on one side
	Most    float64 // the highest part of the traffic that was on changed processes
	Minutes float64 // until it was halted or concluded
	Cost    float64 // worth that its effect cost, as a part of a minute's whole
	Opened  []int   // the stages, in order
	Worst   int     // most processes changing at one moment
}

// book is a lease of which at most one holds, without electors: those are measured elsewhere.
type book struct {
	claims []string
	holder string
	fence  uint64
	value  []byte
	write  uint64
}

type lessor struct {
	b    *book
	name string
}

func (l lessor) Claim(_ int64, _ string, _ *fleet.Out) {
	if !slices.Contains(l.b.claims, l.name) {
		l.b.claims = append(l.b.claims, l.name)
	}
	l.b.settle()
}

func (l lessor) Release(_ int64, _ string, _ *fleet.Out) {
	l.b.claims = slices.DeleteFunc(l.b.claims, func(n string) bool { return n == l.name })
	if l.b.holder == l.name {
		l.b.holder = ""
	}
	l.b.settle()
}

func (b *book) settle() {
	if b.holder == "" && len(b.claims) > 0 {
		b.holder = b.claims[0]
		b.fence++
	}
}

func (l lessor) Held(now int64, _ string) (lease.Grant, bool) {
	return lease.Grant{Fence: l.b.fence, Until: now + 5e6, Value: l.b.value, Write: l.b.write}, l.b.holder == l.name
}

func (l lessor) Write(_ int64, _ string, v []byte, _ *fleet.Out) (uint64, error) {
	l.b.write++
	l.b.value = v
	return l.b.write, nil
}

func (l lessor) Holder(string) (string, uint64) { return l.b.holder, l.b.fence }

type doing struct {
	at  int64
	who int
	act fleet.Act
}

// Play takes one change through a fleet, and returns what became of it.
func Play(seed uint64, n int, e Effect, rules stage.Rules) Result {
	w := NewWorld(seed, n, e)
	b := &book{}
	res := Result{}
	parts := make([]*stage.Part, n)
	var mail []fleet.Message
	var acts []doing
	target := stage.Target{Change: 7, Settings: "new.ini", Program: "/new"}
	run := func(i int, f func(out *fleet.Out)) {
		var out fleet.Out
		f(&out)
		mail = append(mail, out.Send...)
		for _, a := range out.Acts {
			at := w.now + 1e6
			if a.What != stage.Conclude {
				w.procs[i].gone = true
				at = w.now + int64(restartAt*(0.7+0.6*w.r.Float64())*1e6)
			}
			acts = append(acts, doing{at, i, a})
		}
		for k, v := range out.Parts {
			w.procs[i].entry.Parts = map[fleet.Kind][]byte{k: v}
			w.procs[i].entry.Version++
		}
		for _, note := range out.Notes {
			switch note.What {
			case "stage":
				res.Opened = append(res.Opened, int(note.N))
			case "halted":
				res.Halted, res.Reason, res.Minutes = true, note.Text, float64(w.now)/60e6
			case "over":
				if res.Over = true; !res.Halted {
					res.Minutes = float64(w.now) / 60e6
				}
			}
		}
	}
	begin := func(i int, running, concluded stage.Target) {
		parts[i] = stage.New(stage.Config{Name: name(i), Zone: w.procs[i].entry.Zone, Lease: lessor{b, name(i)}, Running: running,
			Concluded: concluded, Rules: rules})
		run(i, func(out *fleet.Out) { parts[i].Start(w.now, out) })
	}
	for i := range n {
		begin(i, stage.Target{}, stage.Target{})
	}
	proposer := int(seed) % n
	cutAt := int64(math.MaxInt64)
	if seed%5 == 0 { // every fifth run loses a conductor on the way
		cutAt = int64(w.r.Float64() * 900e6)
	}
	seen := make([]bool, n)
	var number uint64
	for ; w.now < 7200e6 && !res.Over; w.now += step {
		if w.now == 60e6 {
			run(proposer, func(out *fleet.Out) { _ = parts[proposer].Propose(w.now, target, out) })
		}
		if w.now >= cutAt && b.holder != "" {
			b.claims = append(slices.DeleteFunc(b.claims, func(n string) bool { return n == b.holder }), b.holder)
			b.holder, cutAt = "", math.MaxInt64
			b.settle()
		}
		if w.now%window == 0 {
			w.Windows()
			res.Most = max(res.Most, w.OnIt())
			number++
			v := &fleet.View{Number: number, Members: make([]fleet.Member, 0, n)}
			for _, p := range w.procs {
				m := fleet.Member{Entry: p.entry, Suspect: p.cut}
				if p.gone {
					m.State = fleet.Draining
				}
				v.Members = append(v.Members, m)
			}
			for i := range n {
				reads := b.holder == name(i) || seed%5 == 0 && slices.Contains(b.claims, name(i))
				if seen[i] && !reads && (int(w.now/window)+i)%100 != 0 {
					continue // who does not conduct and will not is told less often, to save time
				}
				seen[i] = true
				run(i, func(out *fleet.Out) { parts[i].View(w.now, v, out) })
			}
		}
		busy := 0
		for _, p := range w.procs {
			if p.gone {
				busy++
			}
		}
		res.Worst = max(res.Worst, busy)
		for _, m := range take(&mail) {
			to := at(m.To)
			if from := at(m.From); w.procs[to].cut || w.procs[from].cut || w.procs[to].gone {
				continue
			}
			run(to, func(out *fleet.Out) { parts[to].Message(w.now, m, out) })
		}
		for k := 0; k < len(acts); k++ {
			d := acts[k]
			if d.at > w.now {
				continue
			}
			acts = slices.Delete(acts, k, k+1)
			k--
			old, p := parts[d.who], w.procs[d.who]
			if d.act.What == stage.Conclude {
				run(d.who, func(out *fleet.Out) { old.Done(w.now, d.act, nil, out) })
				continue
			}
			run(d.who, func(out *fleet.Out) { old.Done(w.now, d.act, nil, out) })
			t, _ := stage.DecodeTarget(d.act.Body)
			w.restart(p, d.act.What == stage.Apply)
			begin(d.who, t, stage.Target{})
			seen[d.who] = false
		}
		for _, c := range slices.Clone(b.claims) {
			i := at(c)
			run(i, func(out *fleet.Out) { parts[i].Tick(w.now, out) })
		}
	}
	res.Cost = w.Cost / max(1, w.Whole) * float64(w.now) / 60e6
	return res
}

func at(name string) int { return int(name[1]-'0')*100 + int(name[2]-'0')*10 + int(name[3]-'0') }

func take(m *[]fleet.Message) []fleet.Message {
	l := *m
	*m = nil
	return l
}

// PlayFixed is the baseline with the same stages: each waits for two minutes, then the sums over all processes, old against new, are
// held against fixed thresholds. Wait 0 is no stages: all change, a twentieth at a time, and operators take it back after ten minutes.
func PlayFixed(seed uint64, n int, e Effect, wait int64) Result {
	w := NewWorld(seed, n, e)
	res := Result{}
	order := w.r.Perm(n)
	size, level, since := 0, 0, int64(60e6)
	type sums struct{ offered, refused, failed, late, lost, whole, slow, answers float64 }
	var sum [2]sums
	var mem, at0 [2]float64 // of old and new: resident in the mean, now and where the wait began
	for ; w.now < 7200e6; w.now += window {
		if w.now >= 60e6 && size == 0 && level == 0 || wait == 0 && w.now >= 60e6 && size < n {
			size = max(size, 1)
		}
		want := [...]int{1, (n + 19) / 20, (n + 3) / 4, n}[min(level, 3)]
		if wait == 0 {
			want = n
		}
		if w.now >= 60e6 && size < want+1 {
			k := 0
			for _, i := range order[:want] {
				if p := w.procs[i]; !p.changed && k < 8+n/20*b2i(wait == 0) {
					w.restart(p, true)
					k++
					since = w.now
				}
			}
			size = want
			if k > 0 {
				size = want - 1
			}
		}
		w.Windows()
		res.Most = max(res.Most, w.OnIt())
		mem = [2]float64{}
		var many [2]float64
		for _, p := range w.procs {
			if len(p.entry.Windows) == 0 || p.cut || w.now < since+30e6 {
				continue
			}
			win := p.entry.Windows[len(p.entry.Windows)-1]
			s := &sum[b2i(p.changed)]
			for _, c := range win.Class {
				s.offered += float64(c.Offered)
				s.refused += float64(c.Refused)
				s.failed += float64(c.Failed)
				s.late += float64(c.Late)
				s.lost += c.Whole - c.Worth
				s.whole += c.Whole
				for b, x := range c.Waits {
					s.answers += float64(x)
					if b >= 10 {
						s.slow += float64(x)
					}
				}
			}
			many[b2i(p.changed)]++
			mem[b2i(p.changed)] += float64(win.Memory)
		}
		for g := range mem {
			if mem[g] /= max(1, many[g]); w.now <= since+30e6 {
				at0[g] = mem[g]
			}
		}
		grew := (mem[1] - at0[1] - mem[0] + at0[0]) / max(1, float64(w.now-since-30e6)/60e6)
		if wait == 0 {
			if w.now >= 60e6+600e6 {
				res.Halted, res.Over = e != (Effect{}), true
				break
			}
			continue
		}
		if w.now >= 60e6 && w.now-since >= wait+30e6 && sum[1].offered > 0 && (sum[0].offered > 0 || level == 3) {
			d := func(f func(s sums) float64) float64 { return f(sum[1]) - f(sum[0]) }
			if level < 3 && (grew > 2.5e6 || d(func(s sums) float64 { return s.lost / s.whole }) > 0.01 ||
				d(func(s sums) float64 { return s.refused / s.offered }) > 0.005 ||
				d(func(s sums) float64 { return s.failed / s.offered }) > 0.005 ||
				d(func(s sums) float64 { return s.late / s.offered }) > 0.005 ||
				d(func(s sums) float64 { return s.slow / max(1, s.answers) }) > 0.15*sum[0].slow/max(1, sum[0].answers)) {
				res.Halted, res.Over = true, true
				break
			}
			if level == 3 {
				res.Over = true
				break
			}
			level++
			sum, since = [2]sums{}, w.now
		}
	}
	res.Minutes = float64(w.now) / 60e6
	res.Cost = w.Cost / max(1, w.Whole) * res.Minutes
	return res
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}
