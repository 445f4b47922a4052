package lease

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"pewterwheel/internal/fleet"
)

// simulation runs several processes in virtual time with faults between them, and checks the rules that must hold at
// every moment.
type simulation struct {
	rng       *rand.Rand
	config    Config
	overrides testOverrides
	now       float64 // microseconds of real time
	processes []*simProcess
	inTransit []transitMessage
	// Faults.
	loss, duplication, lateness float64
	delay                       float64
	cut                         func(from, to string) bool
	rate                        func(i int) float64
	floor                       uint64
	rosters                     [][]string // by number, from 1
	// Observations.
	violation        string
	resources        []string
	highestFence     map[string]uint64
	holder           map[string]string
	completedWrites  map[string][]writeRecord // writes that have taken effect, in order
	pendingActs      []act                    // actions in transit to their receiver
	lostUpToFence    map[string]uint64        // records under fences up to this one may be lost
	gate             Gate
	grants           int
	grantedAt        map[string]float64
	recordsPreserved int
}

type writeRecord struct {
	fence, write uint64
	value        string
}

type act struct {
	resource string
	fence    uint64
}

// deliverAct delivers the nth action in transit to its receiver.
func (sim *simulation) deliverAct(n int) {
	a := sim.pendingActs[n]
	sim.pendingActs = append(sim.pendingActs[:n], sim.pendingActs[n+1:]...)
	before := sim.gate.Highest(a.resource)
	if err := sim.gate.Admit(a.resource, a.fence); err == nil && a.fence < before {
		sim.fail("gate: %s was acted on under %d after %d", a.resource, a.fence, before)
	} else if err != nil && a.fence >= before {
		sim.fail("gate: %v", err)
	}
}

type simProcess struct {
	name          string
	part          *Module
	rate          float64 // of its clock
	offset        float64
	incarnation   uint64
	up            bool
	frozen        bool // paused for a while; afterwards it continues with its old state
	claimed       map[string]bool
	heldFence     map[string]uint64 // fence held at the last check
	pendingWrites map[string][]writeRecord
	roster        uint64
	names         []string
}

type transitMessage struct {
	at float64
	m  fleet.Message
}

func newSimulation(seed uint64, names []string, cfg Config, overrides testOverrides) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), config: cfg, overrides: overrides, delay: 500,
		highestFence: map[string]uint64{}, holder: map[string]string{},
		completedWrites: map[string][]writeRecord{}, lostUpToFence: map[string]uint64{},
		grantedAt: map[string]float64{}, cut: func(_, _ string) bool { return false }}
	sim.rate = func(int) float64 { return 1 + cfg.Drift*(sim.rng.Float64()-0.5) }
	sim.rosters = [][]string{cfg.Names}
	for i, name := range names {
		sim.processes = append(sim.processes, &simProcess{name: name, rate: sim.rate(i),
			offset: float64(sim.rng.Int64N(1 << 40)), roster: 1, names: cfg.Names})
	}
	return sim
}

func (sim *simulation) process(name string) *simProcess {
	i := slices.IndexFunc(sim.processes, func(proc *simProcess) bool { return proc.name == name })
	return sim.processes[i]
}

func (proc *simProcess) clock(now float64) int64 { return int64(proc.offset + now*proc.rate) }

// start starts a new incarnation of a process, without state of the previous one.
func (sim *simulation) start(proc *simProcess) {
	cfg := sim.config
	proc.incarnation++
	cfg.Self, cfg.Incarnation, cfg.Seed = proc.name, proc.incarnation, sim.rng.Uint64()
	cfg.Roster, cfg.Names = proc.roster, proc.names
	sim.floor = max(sim.floor, uint64(sim.now/1000)) // the wall clock, in milliseconds
	cfg.Floor = sim.floor
	if proc.roster > 1 {
		cfg.PreviousNames = sim.rosters[proc.roster-2]
	}
	proc.part = New(cfg)
	proc.part.overrides = sim.overrides
	proc.up, proc.claimed, proc.heldFence, proc.pendingWrites = true, map[string]bool{}, map[string]uint64{},
		map[string][]writeRecord{}
	sim.do(proc, func(now int64, out *fleet.Out) { proc.part.Start(now, out) })
}

func (sim *simulation) stop(proc *simProcess) {
	sim.checkInvariants()
	proc.up, proc.frozen = false, false
	for _, resource := range sim.resources {
		// A completed write may be lost when a majority of the electors, of the current or previous roster, loses its
		// state.
		for n := max(len(sim.rosters)-2, 0); n < len(sim.rosters); n++ {
			e := Electors(resource, sim.rosters[n], sim.config.Electors)
			live := 0
			for _, name := range e {
				if o := sim.process(name); o.up && o.part.resources[resource] != nil &&
					o.part.resources[resource].readyRoster > 0 {
					live++
				}
			}
			if live < len(e)/2+1 {
				sim.completedWrites[resource] = nil
				for _, o := range sim.processes { // writes requested earlier do not count either
					if o.up {
						sim.lostUpToFence[resource] = max(sim.lostUpToFence[resource], o.part.highestFence)
					}
				}
			}
		}
	}
}

func (c Config) tenthOfLease() float64 { return float64(c.Lease) / 10 }

// do runs an event in a process, sends its messages, and checks all rules.
func (sim *simulation) do(proc *simProcess, f func(now int64, out *fleet.Out)) {
	var out fleet.Out
	f(proc.clock(sim.now), &out)
	for _, m := range out.Send {
		if len(m.Body) > fleet.MaxBody {
			sim.fail("message body of %d bytes", len(m.Body))
		}
		for n := 0; n == 0 || n == 1 && sim.rng.Float64() < sim.duplication; n++ {
			if sim.rng.Float64() < sim.loss || sim.cut(m.From, m.To) {
				continue
			}
			delay := sim.delay * (0.5 + sim.rng.Float64())
			if sim.rng.Float64() < sim.lateness {
				delay += sim.rng.Float64() * 2 * float64(sim.config.Lease)
			}
			sim.inTransit = append(sim.inTransit, transitMessage{sim.now + delay, m})
		}
	}
	for _, n := range out.Notes {
		if n.What == "granted" {
			sim.grants++
			sim.grantedAt[n.Thing] = sim.now
		}
	}
	sim.checkInvariants()
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf(format, args...)
	}
}

// checkInvariants checks the grants of all processes against the rules.
func (sim *simulation) checkInvariants() {
	for _, resource := range sim.resources {
		holder := ""
		for _, proc := range sim.processes {
			if !proc.up {
				continue
			}
			g, ok := proc.part.Held(proc.clock(sim.now), resource)
			if !ok {
				proc.heldFence[resource] = 0
				continue
			}
			if holder != "" {
				sim.fail("two holders: %s and %s hold %s", holder, proc.name, resource)
			}
			holder = proc.name
			if proc.heldFence[resource] != g.Fence {
				if g.Fence <= sim.highestFence[resource] {
					sim.fail("fence: %s got %s under %d after %d", proc.name, resource, g.Fence,
						sim.highestFence[resource])
				}
				sim.highestFence[resource] = max(sim.highestFence[resource], g.Fence)
				proc.heldFence[resource] = g.Fence
				proc.pendingWrites[resource] = nil
				// Every later holder must see a completed write, unless a later write has completed or may have.
				if d := sim.completedWrites[resource]; len(d) > 0 {
					last := d[len(d)-1]
					if g.Write < last.write {
						sim.fail("lost write: %s got %s under %d with write %d after write %d had completed", proc.name,
							resource, g.Fence, g.Write, last.write)
					}
					if g.Write == last.write && string(g.Value) != last.value {
						sim.fail("lost write: %s got %s with %q as write %d, which had completed as %q", proc.name,
							resource,
							g.Value, g.Write, last.value)
					}
					sim.recordsPreserved++
				}
			}
			// A record shown by a holder has been stored.
			if d := sim.completedWrites[resource]; g.Write > 0 && g.Fence > sim.lostUpToFence[resource] &&
				(len(d) == 0 || d[len(d)-1].write < g.Write) {
				sim.completedWrites[resource] = append(d, writeRecord{g.Fence, g.Write, string(g.Value)})
			}
			for len(proc.pendingWrites[resource]) > 0 && proc.pendingWrites[resource][0].write <= g.Write {
				x := proc.pendingWrites[resource][0]
				proc.pendingWrites[resource] = proc.pendingWrites[resource][1:]
				if x.write == g.Write && x.value != string(g.Value) {
					sim.fail("lost write: %s sees %q for write %d, which was %q", proc.name, g.Value, x.write, x.value)
				}
			}
		}
	}
}

// run advances the simulation by the given number of microseconds.
func (sim *simulation) run(span float64) {
	end := sim.now + span
	for sim.violation == "" {
		at, next := end, -1
		for i, f := range sim.inTransit {
			if f.at < at {
				at, next = f.at, i
			}
		}
		var tick *simProcess
		for _, proc := range sim.processes {
			if !proc.up || proc.frozen {
				continue
			}
			n := proc.part.Next()
			if n == math.MaxInt64 {
				continue
			}
			t := max((float64(n)-proc.offset)/proc.rate, sim.now)
			for proc.clock(t) < n {
				t += 0.5
			}
			if t < at {
				at, tick, next = t, proc, -1
			}
		}
		sim.now = max(sim.now, at)
		switch {
		case tick != nil:
			sim.do(tick, func(now int64, out *fleet.Out) { tick.part.Tick(now, out) })
		case next >= 0:
			m := sim.inTransit[next].m
			sim.inTransit[next] = sim.inTransit[len(sim.inTransit)-1]
			sim.inTransit = sim.inTransit[:len(sim.inTransit)-1]
			i := slices.IndexFunc(sim.processes, func(proc *simProcess) bool { return proc.name == m.To })
			if i >= 0 && sim.processes[i].frozen {
				sim.inTransit = append(sim.inTransit, transitMessage{sim.now + sim.config.tenthOfLease(), m})
			} else if i >= 0 && sim.processes[i].up {
				proc := sim.processes[i]
				sim.do(proc, func(now int64, out *fleet.Out) { proc.part.Message(now, m, out) })
			}
		default:
			return
		}
	}
}
