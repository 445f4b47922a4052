package stage

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// The stages of a change, in order. Each contains the processes of the previous one.
const (
	One       = iota // one process
	Twentieth        // a twentieth of them
	Quarter
	All
	stages
)

var stageNames = [stages]string{"one", "twentieth", "quarter", "all"}

// StageSize returns how many of n processes are in the change once a stage has all its processes.
func Size(stage, n int) int {
	switch stage {
	case One:
		return min(1, n)
	case Twentieth:
		return (n + 19) / 20
	case Quarter:
		return (n + 3) / 4
	}
	return n
}

// rank returns the position of a process or a zone in the order of a change. The order differs from change to
// change, so that it is not always the same process that goes first.
func order(change uint64, name string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], change)
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// nameHash returns the hash that stands for a process in the record of a change.
func mark(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// candidate is one process as the plan sees it.
type place struct {
	name, zone string
	order      uint64  // position in the order of the change
	here       bool    // serves and is not suspected
	in         bool    // is in the change or was ordered to be
	busy       bool    // is changing, or may be changing unseen
	offered    float64 // calls a second
	shown      float64 // calls a second that it has shown it can serve
}

// plan is the input from which the next wave is chosen.
type plan struct {
	rules      Rules
	change     uint64
	program    bool // the program changes: a process serves nothing meanwhile; a reload of settings costs no capacity
	back       bool // processes are rolled back
	last       bool // rollback was blocked for long: one at a time goes back whatever the offered load
	self       string
	usual      float64 // median of the offered rates; 0: not computed yet
	stage      int
	told       int // processes ordered so far, over all stages
	places     []place
	neighbours func(a, b string) bool
	failpoints failpoints
}

// zoneQuotas returns how many processes of each zone a stage contains: the size of the stage in proportion to the
// sizes of the zones, and the remainder to the zones that come first in the order of the change.
func (p *plan) quota() (zones []string, want map[string]int) {
	// Counts reachable processes only: a zone that is cut off has no share that others would wait for.
	have, heard := map[string]int{}, 0
	for _, x := range p.places {
		if !x.here {
			continue
		}
		heard++
		if have[x.zone]++; have[x.zone] == 1 {
			zones = append(zones, x.zone)
		}
	}
	slices.SortFunc(zones, func(a, b string) int { return byOrder(p.change, a, b) })
	want = map[string]int{}
	left := min(Size(p.stage, len(p.places)), heard)
	for size, i := left, 0; i < len(zones); i++ {
		n := size * have[zones[i]] / max(1, heard)
		want[zones[i]], left = n, left-n
	}
	for i := 0; left > 0 && len(zones) > 0; i++ {
		if z := zones[i%len(zones)]; want[z] < have[z] {
			want[z]++
			left--
		}
	}
	return zones, want
}

func byOrder(change uint64, a, b string) int {
	switch x, y := order(change, a), order(change, b); {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return strings.Compare(a, b)
}

// Reasons why nextWave returns no wave.
const (
	filled   = "filled"    // the stage has all processes that it can have
	onlySelf = "only self" // only the conductor itself is left; another process has to order it
)

// nextWave chooses the processes of one zone that change next, or returns the reason why there are none now.
func (p *plan) next() (wave []string, why string) {
	if len(p.places) == 0 {
		return nil, "no process is known"
	}
	away, busy, need, have := 0, 0, 0.0, 0.0
	lost, in := 0, 0
	for _, x := range p.places {
		if !x.here {
			away++
			if x.in {
				lost++
			}
		} else if x.in {
			in++
		}
		if x.busy {
			busy++
		}
		if x.here {
			need += x.offered
			if !x.busy || !p.program {
				have += x.shown
			}
		}
	}
	for i := range p.places {
		p.places[i].order = order(p.change, p.places[i].name)
	}
	zones, want := p.quota()
	size := Size(p.stage, len(p.places))
	// A process that was ordered and is cut off counts as ordered, because its state is unknown. It is replaced up
	// to a limit, so that the stage does not grow with every partition.
	may := min(p.rules.Wave, max(size-p.told+min(lost, size/2+1), (size+1)/2-in))
	switch {
	case p.back && p.last:
		may = 1
	case p.back:
		may = max(1, p.rules.Wave/2)
	case p.stage == All:
		may = p.rules.Wave
	}
	left, selfLeft := 0, false
	for _, zone := range zones {
		list := make([]place, 0, len(p.places)) // processes of the zone, in the order of the change
		in := 0
		for _, x := range p.places {
			if x.zone == zone {
				list = append(list, x)
				if x.in && x.here {
					in++
				}
			}
		}
		slices.SortFunc(list, func(a, b place) int { return cmp.Or(cmp.Compare(a.order, b.order), strings.Compare(a.name, b.name)) })
		room := want[zone] - in
		if p.back {
			room = in
		}
		ordinary := slices.ContainsFunc(list, func(x place) bool { return x.here && !x.busy && !x.in && x.name != p.self && p.ordinary(x) })
		for i, x := range list {
			// The first process is judged alone, so it must not be one of the busiest, which a load jump hits
			// hardest, or of the idlest.
			if p.stage == One && !p.back && ordinary && !p.ordinary(x) {
				continue
			}
			if !x.here || x.busy || x.in != p.back || room <= 0 {
				continue
			}
			if x.name == p.self && len(p.places)-away > 1 {
				selfLeft = true
				continue
			}
			left++
			room--
			if len(wave) > 0 && zoneOf(p.places, wave[0]) != zone || len(wave) >= may {
				continue
			}
			if !p.failpoints.noNeighbours && p.besideBusy(list, i, wave) {
				continue
			}
			// Guards against a take-over that leaves less capacity than the traffic needs.
			if p.program && !p.failpoints.noRoom && !(p.back && p.last && busy == 0) {
				if have-x.shown < p.room()*need {
					why = "waits: the remaining processes could not serve the offered load"
					continue
				}
			}
			have -= x.shown
			wave = append(wave, x.name)
		}
	}
	switch {
	case left == 0 && selfLeft:
		return nil, onlySelf
	case left == 0 || may <= 0:
		return nil, filled
	}
	if most := max(1, int(p.rules.Away*float64(len(p.places)))); !p.back && away > most {
		return nil, "waits: too many processes are starting, ending or suspected"
	}
	if len(wave) == 0 && why == "" {
		why = "waits: neighbours are changing"
	}
	return wave, why
}

// hasTypicalLoad reports whether the offered rate of a process is within 25% of the median.
func (p *plan) ordinary(x place) bool {
	if p.usual == 0 {
		var all []float64
		for _, y := range p.places {
			if y.here {
				all = append(all, y.offered)
			}
		}
		slices.Sort(all)
		p.usual = max(all[len(all)/2], 1e-9)
	}
	return x.offered >= 0.75*p.usual && x.offered <= 1.25*p.usual
}

// capacityFactor returns the factor by which the capacity must exceed the offered load. A rollback needs no
// reserve.
func (p *plan) room() float64 {
	if p.back {
		return 1
	}
	return p.rules.Room
}

func zoneOf(places []place, name string) string {
	i, ok := slices.BinarySearchFunc(places, name, func(x place, n string) int { return strings.Compare(x.name, n) })
	if !ok {
		return ""
	}
	return places[i].zone
}

// neighbourChanging reports whether a neighbour of the i-th process of a zone is changing or is in the wave.
func (p *plan) besideBusy(list []place, i int, wave []string) bool {
	changes := func(x place) bool { return x.busy || slices.Contains(wave, x.name) }
	if p.neighbours != nil {
		for _, x := range p.places {
			if x.name != list[i].name && changes(x) && p.neighbours(list[i].name, x.name) {
				return true
			}
		}
		return false
	}
	return i > 0 && changes(list[i-1]) || i+1 < len(list) && changes(list[i+1])
}
