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
func StageSize(stage, n int) int {
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
func rank(change uint64, name string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], change)
	digest := xxhash.New()
	_, _ = digest.Write(b[:])
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

// nameHash returns the hash that stands for a process in the record of a change.
func nameHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// candidate is one process as the plan sees it.
type candidate struct {
	name, zone string
	rank       uint64  // position in the order of the change
	reachable  bool    // serves and is not suspected
	inChange   bool    // is in the change or was ordered to be
	changing   bool    // is changing, or may be changing unseen
	offered    float64 // calls a second
	shown      float64 // calls a second that it has shown it can serve
}

// plan is the input from which the next wave is chosen.
type plan struct {
	rules         Rules
	change        uint64
	program       bool // the program changes: the process serves nothing meanwhile; a reload costs no capacity
	rollback      bool // processes are rolled back
	forced        bool // rollback was blocked for long: one at a time goes back whatever the offered load
	self          string
	medianOffered float64 // median of the offered rates; 0: not computed yet
	stage         int
	ordered       int // processes ordered so far, over all stages
	candidates    []candidate
	neighbours    func(a, b string) bool
	failpoints    failpoints
}

// zoneQuotas returns how many processes of each zone a stage contains: the size of the stage in proportion to the
// sizes of the zones, and the remainder to the zones that come first in the order of the change.
func (p *plan) zoneQuotas() (zones []string, quotas map[string]int) {
	// Counts reachable processes only: a zone that is cut off has no share that others would wait for.
	sizes, reachable := map[string]int{}, 0
	for _, x := range p.candidates {
		if !x.reachable {
			continue
		}
		reachable++
		if sizes[x.zone]++; sizes[x.zone] == 1 {
			zones = append(zones, x.zone)
		}
	}
	slices.SortFunc(zones, func(a, b string) int { return compareRank(p.change, a, b) })
	quotas = map[string]int{}
	remaining := min(StageSize(p.stage, len(p.candidates)), reachable)
	for size, i := remaining, 0; i < len(zones); i++ {
		n := size * sizes[zones[i]] / max(1, reachable)
		quotas[zones[i]], remaining = n, remaining-n
	}
	for i := 0; remaining > 0 && len(zones) > 0; i++ {
		if z := zones[i%len(zones)]; quotas[z] < sizes[z] {
			quotas[z]++
			remaining--
		}
	}
	return zones, quotas
}

func compareRank(change uint64, a, b string) int {
	switch x, y := rank(change, a), rank(change, b); {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return strings.Compare(a, b)
}

// Reasons why nextWave returns no wave.
const (
	stageFull         = "filled"    // the stage has all processes that it can have
	onlyConductorLeft = "only self" // only the conductor itself is left; another process has to order it
)

// nextWave chooses the processes of one zone that change next, or returns the reason why there are none now.
func (p *plan) nextWave() (wave []string, why string) {
	if len(p.candidates) == 0 {
		return nil, "no process is known"
	}
	unreachable, changing, offered, capacity := 0, 0, 0.0, 0.0
	lostOrdered, reachableIn := 0, 0
	for _, x := range p.candidates {
		if !x.reachable {
			unreachable++
			if x.inChange {
				lostOrdered++
			}
		} else if x.inChange {
			reachableIn++
		}
		if x.changing {
			changing++
		}
		if x.reachable {
			offered += x.offered
			if !x.changing || !p.program {
				capacity += x.shown
			}
		}
	}
	for i := range p.candidates {
		p.candidates[i].rank = rank(p.change, p.candidates[i].name)
	}
	zones, quotas := p.zoneQuotas()
	size := StageSize(p.stage, len(p.candidates))
	// A process that was ordered and is cut off counts as ordered, because its state is unknown. It is replaced up
	// to a limit, so that the stage does not grow with every partition.
	waveSize := min(p.rules.WaveSize, max(size-p.ordered+min(lostOrdered, size/2+1), (size+1)/2-reachableIn))
	switch {
	case p.rollback && p.forced:
		waveSize = 1
	case p.rollback:
		waveSize = max(1, p.rules.WaveSize/2)
	case p.stage == All:
		waveSize = p.rules.WaveSize
	}
	eligible, selfEligible := 0, false
	for _, zone := range zones {
		list := make([]candidate, 0, len(p.candidates)) // processes of the zone, in the order of the change
		zoneIn := 0
		for _, x := range p.candidates {
			if x.zone == zone {
				list = append(list, x)
				if x.inChange && x.reachable {
					zoneIn++
				}
			}
		}
		slices.SortFunc(list, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(a.rank, b.rank), strings.Compare(a.name, b.name))
		})
		room := quotas[zone] - zoneIn
		if p.rollback {
			room = zoneIn
		}
		anyTypical := slices.ContainsFunc(list, func(x candidate) bool {
			return x.reachable && !x.changing && !x.inChange && x.name != p.self && p.hasTypicalLoad(x)
		})
		for i, x := range list {
			// The first process is judged alone, so it must not be one of the busiest, which a load jump hits
			// hardest, or of the idlest.
			if p.stage == One && !p.rollback && anyTypical && !p.hasTypicalLoad(x) {
				continue
			}
			if !x.reachable || x.changing || x.inChange != p.rollback || room <= 0 {
				continue
			}
			if x.name == p.self && len(p.candidates)-unreachable > 1 {
				selfEligible = true
				continue
			}
			eligible++
			room--
			if len(wave) > 0 && zoneOf(p.candidates, wave[0]) != zone || len(wave) >= waveSize {
				continue
			}
			if !p.failpoints.ignoreNeighbours && p.neighbourChanging(list, i, wave) {
				continue
			}
			// Guards against a take-over that leaves less capacity than the traffic needs.
			if p.program && !p.failpoints.ignoreCapacity && !(p.rollback && p.forced && changing == 0) {
				if capacity-x.shown < p.capacityFactor()*offered {
					why = "waits: the remaining processes could not serve the offered load"
					continue
				}
			}
			capacity -= x.shown
			wave = append(wave, x.name)
		}
	}
	switch {
	case eligible == 0 && selfEligible:
		return nil, onlyConductorLeft
	case eligible == 0 || waveSize <= 0:
		return nil, stageFull
	}
	if maxUnreachable := max(1, int(p.rules.MaxUnreachable*float64(len(p.candidates)))); !p.rollback &&
		unreachable > maxUnreachable {
		return nil, "waits: too many processes are starting, ending or suspected"
	}
	if len(wave) == 0 && why == "" {
		why = "waits: neighbours are changing"
	}
	return wave, why
}

// hasTypicalLoad reports whether the offered rate of a process is within 25% of the median.
func (p *plan) hasTypicalLoad(x candidate) bool {
	if p.medianOffered == 0 {
		var offered []float64
		for _, y := range p.candidates {
			if y.reachable {
				offered = append(offered, y.offered)
			}
		}
		slices.Sort(offered)
		p.medianOffered = max(offered[len(offered)/2], 1e-9)
	}
	return x.offered >= 0.75*p.medianOffered && x.offered <= 1.25*p.medianOffered
}

// capacityFactor returns the factor by which the capacity must exceed the offered load. A rollback needs no
// reserve.
func (p *plan) capacityFactor() float64 {
	if p.rollback {
		return 1
	}
	return p.rules.CapacityFactor
}

func zoneOf(candidates []candidate, name string) string {
	i, ok := slices.BinarySearchFunc(candidates, name, func(x candidate, n string) int {
		return strings.Compare(x.name, n)
	})
	if !ok {
		return ""
	}
	return candidates[i].zone
}

// neighbourChanging reports whether a neighbour of the i-th process of a zone is changing or is in the wave.
func (p *plan) neighbourChanging(list []candidate, i int, wave []string) bool {
	changes := func(x candidate) bool { return x.changing || slices.Contains(wave, x.name) }
	if p.neighbours != nil {
		for _, x := range p.candidates {
			if x.name != list[i].name && changes(x) && p.neighbours(list[i].name, x.name) {
				return true
			}
		}
		return false
	}
	return i > 0 && changes(list[i-1]) || i+1 < len(list) && changes(list[i+1])
}
