// Package stages plays staged changes on several hundred processes in virtual time, for the measurements of internal/stage.
package stages

import (
	"math"
	"math/rand/v2"

	"pewterwheel/internal/fleet"
)

// Effect is what a change does to the processes that have it. The zero Effect is a harmless change.
type Effect struct {
	Worth   float64 // part of the worth that is lost
	Tail    float64 // by how much the slowest twentieth of the answers is slower
	Refused float64 // part of the calls that is refused besides
	Growth  float64 // bytes a minute
}

const (
	step      = int64(1_000_000)
	window    = int64(10_000_000) // a window of the simulation; those of the program are of 1 s
	zones     = 3
	classes   = 3
	calls     = 30.0 // a second and process, in the mean
	buckets   = 22
	restartAt = 4.0 // seconds that a process needs to start its successor, in the mean
)

var (
	classShare = [classes]float64{0.5, 0.3, 0.2}
	classWorth = [classes]float64{1, 3, 6}
	className  = [classes]string{"query", "sale", "alarm"}
)

// process is one of the fleet.
type process struct {
	entry                                   fleet.Entry
	zone                                    int
	load, bad, pace, cpu, mem, touch, drift float64
	changed                                 bool
	freshAt                                 int64 // when this life began
	gone                                    bool  // changes just now
	cut                                     bool
	ramp                                    float64 // bytes grown by the change
	number                                  uint64
	offered                                 float64
}

// trouble is something that hits all, or a zone, for a while.
type trouble struct {
	kind        int // 0: a jump of traffic, 1: slow offices, 2: a zone is lost
	zone        int // -1: all
	from, until int64
	size        float64
}

// World is the fleet, its traffic and its troubles, all drawn from a seed.
type World struct {
	r        *rand.Rand
	now      int64
	procs    []*process
	troubles []trouble
	effect   Effect
	hour     [zones]float64
	rate     float64
	// Cost is the worth that the change's effect cost, and Whole what all of the traffic was worth.
	Cost, Whole float64
}

// NewWorld draws a fleet of n processes and the troubles of the next two hours.
func NewWorld(seed uint64, n int, e Effect) *World {
	w := &World{r: rand.New(rand.NewPCG(seed, 0x57a6e5)), effect: e}
	w.rate = calls * math.Exp(0.2*w.r.NormFloat64())
	for i := range n {
		p := &process{zone: i % zones}
		p.load = math.Exp(0.2 * w.r.NormFloat64())
		p.bad = math.Exp(0.2 * w.r.NormFloat64())
		p.pace = math.Exp(0.05 * w.r.NormFloat64())
		p.cpu = math.Exp(0.1 * w.r.NormFloat64())
		p.mem = 30e6 * math.Exp(0.15*w.r.NormFloat64())
		p.touch = 0.5 + w.r.Float64()
		p.freshAt = -3600e6
		p.entry = fleet.Entry{Name: name(i), Incarnation: 1, Version: 1, Zone: string(rune('a' + p.zone)), State: fleet.Serving,
			Parts: map[fleet.Kind][]byte{}}
		w.procs = append(w.procs, p)
	}
	for z := range zones {
		w.hour[z] = w.r.Float64() * 2 * math.Pi
	}
	for t := int64(0); t < 7200e6; {
		t += int64(w.r.ExpFloat64() * 240e6)
		x := trouble{kind: w.r.IntN(5) / 2, zone: w.r.IntN(zones+1) - 1, from: t, size: 0.5 + 1.5*w.r.Float64()}
		x.until = t + int64((10+50*w.r.Float64())*1e6)
		if x.kind == 2 {
			x.zone = w.r.IntN(zones)
			x.until = t + int64((5+25*w.r.Float64())*1e6)
		}
		w.troubles = append(w.troubles, x)
	}
	return w
}

func name(i int) string {
	return "c" + string([]byte{'0' + byte(i/100%10), '0' + byte(i/10%10), '0' + byte(i%10)})
}

// around is what the troubles do to a zone now.
func (w *World) around(zone int) (load, slow float64, lost bool) {
	load = 1 + 0.3*math.Sin(w.hour[zone]+2*math.Pi*float64(w.now)/3600e6)
	for _, t := range w.troubles {
		if w.now < t.from || w.now >= t.until {
			continue
		}
		here := t.zone < 0 || t.zone == zone
		switch {
		case t.kind == 0 && here:
			load *= 1 + t.size
		case t.kind == 1 && here:
			slow += t.size / 2
		case t.kind == 2 && here:
			lost = true
		case t.kind == 2:
			load *= 1.5 // what the lost zone's callers bring
		}
	}
	return load, slow, lost
}

func (w *World) poisson(mean float64) float64 {
	if mean <= 0 {
		return 0
	}
	if mean > 15 {
		return max(0, math.Round(mean+math.Sqrt(mean)*w.r.NormFloat64()))
	}
	l, k, p := math.Exp(-mean), 0.0, 1.0
	for {
		if p *= w.r.Float64(); p <= l {
			return k
		}
		k++
	}
}

// Windows plays one window's length of all processes: each serving one gets a new window in its entry.
func (w *World) Windows() {
	var load, slow [zones]float64
	var gone [zones]bool
	for z := range zones {
		load[z], slow[z], gone[z] = w.around(z)
	}
	seconds := float64(window) / 1e6
	for _, p := range w.procs {
		p.cut = gone[p.zone]
		p.drift = 0.96*p.drift + 0.028*w.r.NormFloat64()
		p.offered = 0
		if p.gone {
			continue
		}
		rate := w.rate * p.load * load[p.zone]
		if p.cut {
			rate *= 0.1
		}
		age := float64(w.now-p.freshAt) / 1e6
		fresh := math.Exp(-age / 10)
		// A process serves what it can up to over twice the ordinary; beyond that it refuses.
		over := max(0, 1-2.2*w.rate*1.3/max(rate, 1))
		win := fleet.Window{Length: window, Class: make([]fleet.ClassFigures, classes)}
		p.number++
		win.Number = p.number
		for c := range classes {
			n := w.poisson(rate * classShare[c] * seconds)
			p.offered += n
			bad := p.bad * math.Exp(p.drift)
			refuse := 0.01*bad + over*0.9 + 0.02*fresh
			fail := 0.008*bad + 0.02*slow[p.zone]*p.touch
			late := 0.01*bad + 0.05*slow[p.zone]*p.touch
			extra := 0.0
			if p.changed {
				extra = w.effect.Refused
			}
			f := &win.Class[c]
			f.Name = className[c]
			r := min(n, w.poisson(n*refuse))
			x := min(n-r, w.poisson((n-r)*extra))
			l := min(n-r-x, w.poisson((n-r-x)*late))
			e := min(n-r-x-l, w.poisson((n-r-x-l)*fail))
			served := n - r - x - l - e
			cost := 0.0
			if p.changed && w.effect.Worth > 0 {
				cost = min(served, w.poisson(n*w.effect.Worth))
			}
			f.Offered, f.Served, f.Refused, f.Failed, f.Late = uint64(n), uint64(served+l), uint64(r+x), uint64(e), uint64(l)
			f.Whole = n * classWorth[c]
			f.Worth = (served + 0.3*l - cost) * classWorth[c]
			w.Whole += f.Whole
			w.Cost += (cost + x) * classWorth[c]
			if p.changed && w.effect.Tail > 0 {
				// A slower answer in twenty is taken to be worth a fifth less.
				w.Cost += 0.05 * 0.2 * served * classWorth[c]
			}
			f.Waits = w.waits(p, served+l, 1+slow[p.zone]*p.touch)
		}
		win.CPU = int64(p.cpu * (p.offered*300 + 1000*seconds) * (1 + 0.05*w.r.NormFloat64()))
		if p.changed {
			p.ramp += w.effect.Growth * seconds / 60
		}
		win.Memory = int64(p.mem - 4e6*math.Exp(-age/20) + p.ramp + 0.3e6*w.r.NormFloat64())
		p.entry.Windows = append(p.entry.Windows[max(0, len(p.entry.Windows)-2):len(p.entry.Windows):len(p.entry.Windows)], win)
		p.entry.Version++
	}
}

// overs is the part of a normal distribution that is over a deviate, every hundredth of it from -8.
var overs = func() (t [1602]float64) {
	for i := range t {
		t[i] = 0.5 * math.Erfc((float64(i)/100-8)/math.Sqrt2)
	}
	return t
}()

func normalOver(z float64) float64 {
	x := (min(max(z, -8), 8) + 8) * 100
	i := int(x)
	return overs[i] + (x-float64(i))*(overs[i+1]-overs[i])
}

// waits draws the histogram of the answers: log normal, with the slowest twentieth made slower by the change.
func (w *World) waits(p *process, n, slow float64) []uint32 {
	h := make([]uint32, buckets)
	mid, spread := math.Log(60_000*p.pace*slow), 0.8
	edge := mid + 1.645*spread
	left, rest := n, 1.0
	for b := 0; b < buckets && left > 0; b++ {
		x := float64(b+9) * math.Ln2
		if p.changed && w.effect.Tail > 0 && x > edge {
			x = max(edge, x-math.Log(1+w.effect.Tail))
		}
		over := normalOver((x - mid) / spread)
		share := rest - over
		if share < 1e-6 {
			continue
		}
		q := share / rest
		k := 0.0
		switch m := left * q; {
		case b == buckets-1:
			k = left
		case m*(1-q) > 15:
			k = math.Round(m + math.Sqrt(m*(1-q))*w.r.NormFloat64())
		case q > 0.5:
			k = left - w.poisson(left*(1-q))
		default:
			k = w.poisson(m)
		}
		k = min(left, max(0, k))
		h[b] = uint32(k)
		left, rest = left-k, over
		if rest < 1e-9 {
			break
		}
	}
	return h
}

// Restart begins a process's next life, with the change or without.
func (w *World) restart(p *process, changed bool) {
	p.entry.Incarnation++
	p.entry.Version = 1
	p.entry.Windows, p.number, p.ramp = nil, 0, 0
	p.freshAt, p.changed, p.gone = w.now, changed, false
}

// OnIt is the part of the traffic that goes to changed processes.
func (w *World) OnIt() float64 {
	on, all := 0.0, 0.0
	for _, p := range w.procs {
		all += p.offered
		if p.changed {
			on += p.offered
		}
	}
	return on / max(1, all)
}

// away is how many processes change just now.
func (w *World) away() int {
	n := 0
	for _, p := range w.procs {
		if p.gone {
			n++
		}
	}
	return n
}
