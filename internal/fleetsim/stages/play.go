package stages

import (
	"maps"
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

// play is one change on its way through a fleet.
type play struct {
	w     *World
	b     *book
	rules stage.Rules
	parts []*stage.Module
	mail  []fleet.Message
	acts  []doing
	res   Result
	seen  []bool
	views uint64
	calls *mailed // nil: windows of figures stand in the entries of all
}

// Play takes one change through a fleet, and returns what became of it. Every process's windows stand in its entry.
func Play(seed uint64, n int, e Effect, rules stage.Rules) Result {
	return playWith(seed, n, e, rules, nil)
}

func playWith(seed uint64, n int, e Effect, rules stage.Rules, calls *mailed) Result {
	w := NewWorld(seed, n, e)
	p := &play{w: w, b: &book{}, rules: rules, parts: make([]*stage.Module, n), seen: make([]bool, n), calls: calls}
	for i := range n {
		p.begin(i, stage.Target{}, stage.Target{})
	}
	proposer := int(seed) % n
	cutAt := int64(math.MaxInt64)
	if seed%5 == 0 { // every fifth run loses a conductor on the way
		cutAt = int64(w.r.Float64() * 900e6)
	}
	target := stage.Target{Change: 7, Settings: "new.ini", Program: "/new"}
	for ; w.now < 7200e6 && !p.res.Over; w.now += step {
		if w.now == 60e6 {
			p.run(proposer, func(out *fleet.Out) { _ = p.parts[proposer].Propose(w.now, target, out) })
		}
		if w.now >= cutAt && p.b.holder != "" {
			p.b.claims = append(slices.DeleteFunc(p.b.claims, func(n string) bool { return n == p.b.holder }), p.b.holder)
			p.b.holder, cutAt = "", math.MaxInt64
			p.b.settle()
		}
		if w.now%window == 0 {
			w.Windows()
			p.res.Most = max(p.res.Most, w.OnIt())
			p.view(seed%5 == 0)
		}
		p.res.Worst = max(p.res.Worst, w.away())
		p.deliver()
		p.finish()
		for _, c := range slices.Clone(p.b.claims) {
			i := at(c)
			p.run(i, func(out *fleet.Out) { p.parts[i].Tick(w.now, out) })
		}
	}
	p.res.Cost = w.Cost / max(1, w.Whole) * float64(w.now) / 60e6
	return p.res
}

// run calls a process, and takes in what it wants.
func (p *play) run(i int, f func(out *fleet.Out)) {
	var out fleet.Out
	f(&out)
	w := p.w
	p.mail = append(p.mail, out.Send...)
	for _, a := range out.Acts {
		at := w.now + 1e6
		if a.What != stage.Conclude {
			w.procs[i].gone = true
			at = w.now + int64(restartAt*(0.7+0.6*w.r.Float64())*1e6)
		}
		p.acts = append(p.acts, doing{at, i, a})
	}
	for k, v := range out.Parts {
		e := &w.procs[i].entry
		e.Parts = maps.Clone(e.Parts) // views hold the last one
		if e.Parts[k] = v; v == nil {
			delete(e.Parts, k)
		}
		e.Version++
	}
	for _, h := range out.Heard {
		p.calls.hear(i, h)
	}
	for _, note := range out.Notes {
		p.note(note)
	}
}

func (p *play) note(note fleet.Note) {
	switch note.What {
	case "stage":
		p.res.Opened = append(p.res.Opened, int(note.N))
	case "halted":
		p.res.Halted, p.res.Reason, p.res.Minutes = true, note.Text, float64(p.w.now)/60e6
	case "over":
		if p.res.Over = true; !p.res.Halted {
			p.res.Minutes = float64(p.w.now) / 60e6
		}
	}
}

// begin starts a life of a process.
func (p *play) begin(i int, running, concluded stage.Target) {
	w := p.w
	c := stage.Config{Name: name(i), Zone: w.procs[i].entry.Zone, Lease: lessor{p.b, name(i)}, Running: running,
		Concluded: concluded, Rules: p.rules}
	if p.calls != nil {
		c.Figures = p.calls.begin(i, w.procs[i].entry.Incarnation)
	}
	p.parts[i] = stage.New(c)
	p.run(i, func(out *fleet.Out) { p.parts[i].Start(w.now, out) })
	p.seen[i] = false
}

// view shows the fleet to its processes: to all that read figures, and to the others less often, to save time.
func (p *play) view(followers bool) {
	w := p.w
	p.views++
	v := &fleet.View{Number: p.views, Members: make([]fleet.Member, 0, len(w.procs))}
	for _, q := range w.procs {
		m := fleet.Member{Entry: q.entry, Suspect: q.cut}
		if q.gone {
			m.State = fleet.Draining
		}
		if p.calls != nil {
			m.Windows = nil
		}
		v.Members = append(v.Members, m)
	}
	if p.calls != nil {
		p.calls.windows(p, v)
	}
	for i := range w.procs {
		reads := p.b.holder == name(i) || followers && slices.Contains(p.b.claims, name(i))
		if p.seen[i] && !reads && (int(w.now/window)+i)%100 != 0 {
			continue
		}
		p.seen[i] = true
		shown := v
		if p.calls != nil {
			shown = p.calls.shown(i, v, w.procs[i].entry.Windows)
		}
		p.run(i, func(out *fleet.Out) { p.parts[i].View(w.now, shown, out) })
	}
}

// deliver brings the messages whose sender and receiver are there.
func (p *play) deliver() {
	w := p.w
	for _, m := range take(&p.mail) {
		to := at(m.To)
		if from := at(m.From); w.procs[to].cut || w.procs[from].cut || w.procs[to].gone {
			continue
		}
		p.run(to, func(out *fleet.Out) {
			if m.Kind == fleet.Figures {
				p.calls.modules[to].Message(w.now, m, out)
			} else {
				p.parts[to].Message(w.now, m, out)
			}
		})
	}
}

// finish ends the acts that are over.
func (p *play) finish() {
	w := p.w
	for k := 0; k < len(p.acts); k++ {
		d := p.acts[k]
		if d.at > w.now {
			continue
		}
		p.acts = slices.Delete(p.acts, k, k+1)
		k--
		p.run(d.who, func(out *fleet.Out) { p.parts[d.who].Done(w.now, d.act, nil, out) })
		if d.act.What == stage.Conclude {
			continue
		}
		t, _ := stage.DecodeTarget(d.act.Body)
		w.restart(w.procs[d.who], d.act.What == stage.Apply)
		p.begin(d.who, t, stage.Target{})
	}
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
