package scaletest

import (
	"fmt"
	"time"
)

// atTargetRate puts what a member takes where changes come each 88 s, from a stretch without and one with a single change of all.
func (f *figures) atTargetRate(quiet, changed Stretch) {
	part := min(1, changed.Seconds/changesEach.Seconds())
	f.put("at the target's rate: in and out, with headers, KB/s", (quiet.Wire()+part*(changed.Wire()-quiet.Wire()))/1000, 2)
	f.put("at the target's rate: processor a member, % of a core", (quiet.Core+part*(changed.Core-quiet.Core))*100, 2)
}

// roles puts what single members take that have a role in the fleet, with nothing else going on.
func (f *figures) roles(fleet *Fleet, length time.Duration) {
	conductor := fleet.Members[0]
	conductor.Want(true)
	time.Sleep(2 * time.Second)
	f.put("conductor: in and out, with headers, KB/s", wireOf(conductor, length)/1000, 2)
	f.put("conductor: length of windows, s", float64(conductor.figure("figures_length_us"))/1e6, 0)
	conductor.Want(false)
	time.Sleep(2 * time.Second)
	const things = 16
	holder := fleet.Members[len(fleet.Members)-1]
	for i := range things {
		holder.Claim(fmt.Sprintf("thing-%d", i))
	}
	time.Sleep(2 * time.Second)
	elector := fleet.Members[1]
	votes := make(chan float64)
	go func() { votes <- wireOf(elector, length) }()
	f.put("holder of 16 leases: in and out, with headers, KB/s", wireOf(holder, length)/1000, 2)
	f.put("elector for 16 leases: in and out, with headers, KB/s", <-votes/1000, 2)
}

// wireOf is how many bytes a second one member passes, in and out, with the headers.
func wireOf(m *Member, length time.Duration) float64 {
	from, begin := m.Counters(), time.Now()
	time.Sleep(length)
	to, seconds := m.Counters(), time.Since(begin).Seconds()
	var s Stretch
	for c := range s.Rates {
		s.Rates[c].Mean = float64(to[c]-from[c]) / seconds
	}
	return s.Wire()
}
