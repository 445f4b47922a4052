package stage

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// The stages of a change, in order. Each holds the processes of the one before it.
const (
	One       = iota // one process
	Twentieth        // a twentieth of them
	Quarter
	All
	stages
)

var stageNames = [stages]string{"one", "twentieth", "quarter", "all"}

// Size is how many of n processes are in the change once a stage is filled.
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

// order is the place of a process, or a zone, in a change: each change has an order of its own, so that it is not always the
// same process that goes first.
func order(change uint64, name string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], change)
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// mark is how the record of a change names a process.
func mark(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// place is one process as the plan sees it.
type place struct {
	name, zone string
	order      uint64  // its place in the change
	here       bool    // serves and is not suspected
	in         bool    // is in the change, or was told to be
	busy       bool    // changes now, or may do so unheard
	offered    float64 // calls a second
	shown      float64 // calls a second that it showed it serves
}

// plan is what the next wave is chosen from.
type plan struct {
	rules      Rules
	change     uint64
	program    bool // the program changes: a process serves nothing while it does. A reload of settings costs none of it.
	back       bool // processes are taken out of the change
	last       bool // has waited long for room: one at a time goes back whatever is offered
	self       string
	usual      float64 // what the middle one is offered; 0: not known yet
	stage      int
	told       int // told so far, over all stages
	places     []place
	neighbours func(a, b string) bool
	failpoints failpoints
}

// quota is how many processes of each zone a stage holds: its size shared out by the zones' sizes, the rest to those that
// come first in the change's order.
func (p *plan) quota() (zones []string, want map[string]int) {
	// Of those that are heard: a zone that is cut off has no part that others would wait for.
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

// What next says besides a wave.
const (
	filled   = "filled"    // the stage has all that it can have
	onlySelf = "only self" // only the conductor itself is left: another one has to tell it
)

// next chooses the processes that change next, of one zone, or says why there are none now.
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
	// Who was told and is cut off counts as told, and is made up for to a bound: without one it could not be told what such
	// a process does, and with no bound the stage would grow by every cut.
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
		list := make([]place, 0, len(p.places)) // of the zone, in the change's order
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
			// The first one alone is judged: not by what the busiest of all shows in a jump, or the idlest.
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
			// Guards against a take-over that leaves less than the traffic needs.
			if p.program && !p.failpoints.noRoom && !(p.back && p.last && busy == 0) {
				if have-x.shown < p.room()*need {
					why = "waits: the processes left would not serve what is offered"
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
		return nil, "waits: too many processes start, end or are suspected"
	}
	if len(wave) == 0 && why == "" {
		why = "waits: neighbours are changing"
	}
	return wave, why
}

// ordinary tells whether a process is offered about as much as most are.
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

// room is by how much what is served must stay over what is offered. Those that go back do so with none to spare.
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

// besideBusy tells whether a neighbour of the i-th process of a zone changes now, or is in the wave.
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
