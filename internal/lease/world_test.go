package lease

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"pewterwheel/internal/fleet"
)

// world is several processes in virtual time, with faults between them, and the rules that must hold at every moment.
type world struct {
	rng    *rand.Rand
	cfg    Config
	doctor doctor
	now    float64 // microseconds of real time
	procs  []*proc
	wire   []flying
	// Faults.
	loss, twice, late float64
	delay             float64
	cut               func(from, to string) bool
	rate              func(i int) float64
	floor             uint64
	rosters           [][]string // by number, from 1
	// What was seen.
	broken  string
	things  []string
	high    map[string]uint64
	holder  map[string]string
	done    map[string][]written // writes that have happened, in order
	acts    []act                // told to somebody, on the way
	lost    map[string]uint64    // up to which fence nothing is expected to have been kept
	gate    Gate
	grants  int
	granted map[string]float64
	carried int
}

type written struct {
	fence, write uint64
	value        string
}

type act struct {
	thing string
	fence uint64
}

// arrive lets somebody be told to act; n picks whom of those on the way.
func (w *world) arrive(n int) {
	a := w.acts[n]
	w.acts = append(w.acts[:n], w.acts[n+1:]...)
	before := w.gate.Highest(a.thing)
	if err := w.gate.Admit(a.thing, a.fence); err == nil && a.fence < before {
		w.fail("gate: %s was acted on under %d after %d", a.thing, a.fence, before)
	} else if err != nil && a.fence >= before {
		w.fail("gate: %v", err)
	}
}

type proc struct {
	name   string
	part   *Part
	rate   float64 // of its clock
	offset float64
	life   uint64
	up     bool
	frozen bool // it runs no more for a while, and then goes on as if nothing had been
	wants  map[string]bool
	view   map[string]uint64 // fence held at the last look
	waits  map[string][]written
	roster uint64
	names  []string
}

type flying struct {
	at float64
	m  fleet.Message
}

func newWorld(seed uint64, names []string, cfg Config, d doctor) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), cfg: cfg, doctor: d, delay: 500, high: map[string]uint64{}, holder: map[string]string{},
		done: map[string][]written{}, lost: map[string]uint64{}, granted: map[string]float64{}, cut: func(_, _ string) bool { return false }}
	w.rate = func(int) float64 { return 1 + cfg.Drift*(w.rng.Float64()-0.5) }
	w.rosters = [][]string{cfg.Names}
	for i, name := range names {
		w.procs = append(w.procs, &proc{name: name, rate: w.rate(i), offset: float64(w.rng.Int64N(1 << 40)), roster: 1, names: cfg.Names})
	}
	return w
}

func (w *world) proc(name string) *proc {
	i := slices.IndexFunc(w.procs, func(q *proc) bool { return q.name == name })
	return w.procs[i]
}

func (q *proc) clock(now float64) int64 { return int64(q.offset + now*q.rate) }

// start begins a life of a process; it knows nothing of the one before.
func (w *world) start(q *proc) {
	cfg := w.cfg
	q.life++
	cfg.Self, cfg.Incarnation, cfg.Seed = q.name, q.life, w.rng.Uint64()
	cfg.Roster, cfg.Names = q.roster, q.names
	w.floor = max(w.floor, uint64(w.now/1000)) // the wall clock, in milliseconds
	cfg.Floor = w.floor
	if q.roster > 1 {
		cfg.Previous = w.rosters[q.roster-2]
	}
	q.part = New(cfg)
	q.part.doctor = w.doctor
	q.up, q.wants, q.view, q.waits = true, map[string]bool{}, map[string]uint64{}, map[string][]written{}
	w.do(q, func(now int64, out *fleet.Out) { q.part.Start(now, out) })
}

func (w *world) stop(q *proc) {
	w.look()
	q.up, q.frozen = false, false
	for _, thing := range w.things {
		// What has happened may be lost with the memory of a majority, of the electors of any roster that is still about.
		for n := max(len(w.rosters)-2, 0); n < len(w.rosters); n++ {
			e := Electors(thing, w.rosters[n], w.cfg.Electors)
			live := 0
			for _, name := range e {
				if o := w.proc(name); o.up && o.part.things[thing] != nil && o.part.things[thing].ready > 0 {
					live++
				}
			}
			if live < len(e)/2+1 {
				w.done[thing] = nil
				for _, o := range w.procs { // nor does count what was asked for before that
					if o.up {
						w.lost[thing] = max(w.lost[thing], o.part.base)
					}
				}
			}
		}
	}
}

func (c Config) tenth() float64 { return float64(c.Lease) / 10 }

// do runs something in a process, sends what it wants sent, and looks whether all rules hold.
func (w *world) do(q *proc, f func(now int64, out *fleet.Out)) {
	var out fleet.Out
	f(q.clock(w.now), &out)
	for _, m := range out.Send {
		if len(m.Body) > fleet.MaxBody {
			w.fail("a body of %d bytes", len(m.Body))
		}
		for n := 0; n == 0 || n == 1 && w.rng.Float64() < w.twice; n++ {
			if w.rng.Float64() < w.loss || w.cut(m.From, m.To) {
				continue
			}
			d := w.delay * (0.5 + w.rng.Float64())
			if w.rng.Float64() < w.late {
				d += w.rng.Float64() * 2 * float64(w.cfg.Lease)
			}
			w.wire = append(w.wire, flying{w.now + d, m})
		}
	}
	for _, n := range out.Notes {
		if n.What == "granted" {
			w.grants++
			w.granted[n.Thing] = w.now
		}
	}
	w.look()
}

func (w *world) fail(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
	}
}

// look holds what every process believes against the rules.
func (w *world) look() {
	for _, thing := range w.things {
		now := ""
		for _, q := range w.procs {
			if !q.up {
				continue
			}
			g, ok := q.part.Held(q.clock(w.now), thing)
			if !ok {
				q.view[thing] = 0
				continue
			}
			if now != "" {
				w.fail("two holders: %s and %s hold %s", now, q.name, thing)
			}
			now = q.name
			if q.view[thing] != g.Fence {
				if g.Fence <= w.high[thing] {
					w.fail("fence: %s got %s under %d after %d", q.name, thing, g.Fence, w.high[thing])
				}
				w.high[thing] = max(w.high[thing], g.Fence)
				q.view[thing] = g.Fence
				q.waits[thing] = nil
				// A write that has happened is seen by every later holder, unless a later one has happened or may have.
				if d := w.done[thing]; len(d) > 0 {
					last := d[len(d)-1]
					if g.Write < last.write {
						w.fail("lost write: %s got %s under %d with write %d after %d had happened", q.name, thing, g.Fence, g.Write, last.write)
					}
					if g.Write == last.write && string(g.Value) != last.value {
						w.fail("lost write: %s got %s with %q as write %d, which had happened as %q", q.name, thing, g.Value, g.Write, last.value)
					}
					w.carried++
				}
			}
			// What a holder shows has happened.
			if d := w.done[thing]; g.Write > 0 && g.Fence > w.lost[thing] && (len(d) == 0 || d[len(d)-1].write < g.Write) {
				w.done[thing] = append(d, written{g.Fence, g.Write, string(g.Value)})
			}
			for len(q.waits[thing]) > 0 && q.waits[thing][0].write <= g.Write {
				x := q.waits[thing][0]
				q.waits[thing] = q.waits[thing][1:]
				if x.write == g.Write && x.value != string(g.Value) {
					w.fail("lost write: %s shows %q for write %d, which was %q", q.name, g.Value, x.write, x.value)
				}
			}
		}
	}
}

// run goes on for so many microseconds.
func (w *world) run(span float64) {
	end := w.now + span
	for w.broken == "" {
		at, next := end, -1
		for i, f := range w.wire {
			if f.at < at {
				at, next = f.at, i
			}
		}
		var tick *proc
		for _, q := range w.procs {
			if !q.up || q.frozen {
				continue
			}
			n := q.part.Next()
			if n == math.MaxInt64 {
				continue
			}
			t := max((float64(n)-q.offset)/q.rate, w.now)
			for q.clock(t) < n {
				t += 0.5
			}
			if t < at {
				at, tick, next = t, q, -1
			}
		}
		w.now = max(w.now, at)
		switch {
		case tick != nil:
			w.do(tick, func(now int64, out *fleet.Out) { tick.part.Tick(now, out) })
		case next >= 0:
			m := w.wire[next].m
			w.wire[next] = w.wire[len(w.wire)-1]
			w.wire = w.wire[:len(w.wire)-1]
			i := slices.IndexFunc(w.procs, func(q *proc) bool { return q.name == m.To })
			if i >= 0 && w.procs[i].frozen {
				w.wire = append(w.wire, flying{w.now + w.cfg.tenth(), m})
			} else if i >= 0 && w.procs[i].up {
				q := w.procs[i]
				w.do(q, func(now int64, out *fleet.Out) { q.part.Message(now, m, out) })
			}
		default:
			return
		}
	}
}
