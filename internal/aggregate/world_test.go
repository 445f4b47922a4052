package aggregate

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"strings"

	"pewterwheel/internal/fleet"
)

// process is one member of a test's fleet.
type process struct {
	module *Module
	entry  fleet.Entry
	dead   bool // does nothing any more, and the others suspect it
	frozen bool // what it writes into its entry reaches nobody
	heard  []fleet.HeardWindow
	taken  map[string]uint64 // number of the last window heard, by process
	in     int64             // bytes of figures that came in
	base   uint64            // base windows that it had
	sent   map[uint64]int    // messages, by second
}

// world is a fleet in virtual time, with base windows of one second. All see the same view.
type world struct {
	now     int64
	rng     *rand.Rand
	procs   []*process
	byName  map[string]*process
	shown   map[string]fleet.Entry // as the others have it
	changed bool
	number  uint64
	mail    map[int64][]fleet.Message // by the second in which they come
	loss    float64                   // of messages
	twice   float64
	late    int64 // seconds that a message may take at the most
	deaf    map[string]bool
	window  func(i int) fleet.Window
}

func newWorld(n int, config func(i int, c *Config)) *world {
	w := &world{rng: rand.New(rand.NewPCG(1, 2)), byName: map[string]*process{}, shown: map[string]fleet.Entry{},
		mail: map[int64][]fleet.Message{}, deaf: map[string]bool{}, changed: true}
	w.window = func(i int) fleet.Window { return usualWindow(w.rng) }
	for i := range n {
		c := Config{Self: fmt.Sprintf("member-%04d", i), Seed: uint64(i)}
		if config != nil {
			config(i, &c)
		}
		p := &process{module: New(c), taken: map[string]uint64{}, sent: map[uint64]int{}}
		p.entry = fleet.Entry{Name: c.Self, Incarnation: 1, Version: 1, State: fleet.Serving}
		w.procs = append(w.procs, p)
		w.byName[c.Self] = p
	}
	return w
}

// usualWindow is a second of one process as most have it: three classes, thirty calls.
func usualWindow(rng *rand.Rand) fleet.Window {
	w := fleet.Window{Length: second, CPU: 300_000 + rng.Int64N(100_000), Memory: 42<<20 + rng.Int64N(1<<20)}
	for c, name := range []string{"query", "sale", "alarm"} {
		f := fleet.ClassFigures{Name: name, Waits: make([]uint32, 14)}
		for range 5 + rng.IntN(10) {
			f.Offered++
			switch rng.IntN(50) {
			case 0:
				f.Refused++
			case 1:
				f.Failed++
			default:
				f.Served++
				f.Waits[6+min(rng.IntN(8), rng.IntN(8))]++
			}
		}
		f.Whole = float64(f.Offered) * float64(1+2*c)
		f.Worth = float64(f.Served) * float64(1+2*c)
		w.Class = append(w.Class, f)
	}
	return w
}

// largestWindow is a window with all that a window can hold.
func largestWindow() fleet.Window {
	w := fleet.Window{Length: second, CPU: math.MaxInt64 >> 16, Memory: math.MaxInt64 >> 1, Broken: math.MaxUint64}
	for c := range fleet.MaxClasses {
		const most = math.MaxUint64 >> 16
		f := fleet.ClassFigures{Name: fmt.Sprintf("%02d%s", c, strings.Repeat("x", fleet.MaxName-2)), Offered: most,
			Served: most, Refused: most, Failed: most, Late: most, Worth: 1e-3 + float64(c), Whole: 1e300}
		for range fleet.MaxBuckets {
			f.Waits = append(f.Waits, math.MaxUint32)
		}
		w.Class = append(w.Class, f)
	}
	return w
}

// member is a process in a view, and what it asks for.
func member(name string, incarnation uint64, asks []byte) fleet.Member {
	m := fleet.Member{Entry: fleet.Entry{Name: name, Incarnation: incarnation}}
	if asks != nil {
		m.Parts = map[fleet.Kind][]byte{fleet.Figures: asks}
	}
	return m
}

// carry takes in what a process's module wants done.
func (w *world) carry(p *process, out fleet.Out) {
	for k, body := range out.Parts {
		p.entry.Parts = maps.Clone(p.entry.Parts)
		if p.entry.Parts == nil {
			p.entry.Parts = map[fleet.Kind][]byte{}
		}
		p.entry.Parts[k] = body
		p.entry.Version++
		w.changed = true
	}
	for _, m := range out.Send {
		if len(m.Body) > fleet.MaxBody || m.Kind != fleet.Figures || m.To == p.entry.Name {
			panic(fmt.Sprintf("a message of %d bytes, kind %d, to %s", len(m.Body), m.Kind, m.To))
		}
		p.sent[uint64(w.now/second)]++
		copies := 1
		if w.rng.Float64() < w.twice {
			copies = 2
		}
		for range copies {
			if w.rng.Float64() >= w.loss && !w.deaf[m.To] {
				at := w.now/second + 1 + w.rng.Int64N(w.late+1)
				w.mail[at] = append(w.mail[at], m)
			}
		}
	}
	for _, h := range out.Heard {
		if last := p.taken[h.Name]; h.Window.Number <= last {
			panic(fmt.Sprintf("window %d of %s after %d", h.Window.Number, h.Name, last))
		}
		p.taken[h.Name] = h.Window.Number
		p.heard = append(p.heard, h)
	}
}

// do calls a process's module.
func (w *world) do(p *process, f func(m *Module, out *fleet.Out)) {
	if p.dead {
		return
	}
	var out fleet.Out
	f(p.module, &out)
	w.carry(p, out)
}

func (w *world) want(i int, wanted bool) {
	w.do(w.procs[i], func(m *Module, out *fleet.Out) { m.Want(w.now, wanted, out) })
}

// view shows all processes the fleet, if it is another than before.
func (w *world) view() {
	if !w.changed {
		return
	}
	w.changed = false
	w.number++
	v := &fleet.View{Number: w.number}
	for _, p := range w.procs {
		if !p.frozen {
			w.shown[p.entry.Name] = p.entry
		}
		v.Members = append(v.Members, fleet.Member{Entry: w.shown[p.entry.Name], Suspect: p.dead})
	}
	for _, p := range w.procs {
		w.do(p, func(m *Module, out *fleet.Out) { m.View(w.now, v, out) })
	}
}

// second plays one second: entries and messages come, base windows end.
func (w *world) second() {
	w.now += second
	w.view()
	mail := w.mail[w.now/second]
	delete(w.mail, w.now/second)
	for _, m := range mail {
		to := w.byName[m.To]
		to.in += int64(messageSize(m.From, m.To, m.Body))
		w.do(to, func(f *Module, out *fleet.Out) { f.Message(w.now, m, out) })
	}
	for i, p := range w.procs {
		if p.dead {
			continue
		}
		if p.module.Next() <= w.now {
			w.do(p, func(m *Module, out *fleet.Out) { m.Tick(w.now, out) })
		}
		p.base++
		win := w.window(i)
		w.do(p, func(m *Module, out *fleet.Out) { m.Window(w.now, win, out) })
	}
}

func (w *world) seconds(n int) {
	for range n {
		w.second()
	}
}

// restart begins a process's next life, whose module knows nothing.
func (w *world) restart(i int) {
	p := w.procs[i]
	p.module = New(p.module.cfg)
	p.entry.Incarnation++
	p.entry.Version, p.entry.Parts, p.dead, p.taken = 1, nil, false, map[string]uint64{}
	for _, q := range w.procs {
		delete(q.taken, p.entry.Name)
	}
	w.changed = true
}

func (w *world) die(i int) { w.procs[i].dead, w.changed = true, true }

// figure is one of a process's figures.
func (p *process) figure(name string) uint64 {
	got := uint64(math.MaxUint64)
	p.module.Figures(func(n string, x uint64, _ bool) {
		if n == name {
			got = x
		}
	})
	return got
}
