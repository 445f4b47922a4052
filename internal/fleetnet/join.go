package fleetnet

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"pewterwheel/internal/dissemination"
	"pewterwheel/internal/fleet"
)

const (
	// callsAtOnce is how many members one that sees nobody calls on before a pause.
	callsAtOnce = 2
	// shortestWait and longestWait are for how many times Rejoin a member waits before it calls on one that is not seen: the
	// first after somebody came to be seen, who may bring the others along; the second when call after call was in vain.
	shortestWait = 2
	longestWait  = 32
)

// join calls on members that are not seen: on the seeds first, then on one of the others at a time. Guards against two sides
// of a cut that have forgotten each other: the membership itself never calls on who is gone for good.
func (n *member) join() {
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1)) // who is called on first decides nothing
	var pace pacer
	for exchanged := false; ; {
		away, others := n.unseen(exchanged)
		wait := pace.next(time.Duration(n.cfg.Rejoin)*time.Microsecond, len(away), others, n.joined.Load())
		if !n.sleep(time.Duration((0.5 + rng.Float64()) * float64(wait))) {
			return
		}
		rng.Shuffle(len(away), func(i, j int) { away[i], away[j] = away[j], away[i] })
		calls := 1
		if others == 0 {
			calls = callsAtOnce
		}
		for _, name := range away[:min(len(away), calls)] {
			if exchanged && (n.sees(name) || !n.budget.allow(dissemination.Settings, frame)) {
				continue // it came to be seen since the pause began, or it has to wait
			}
			answered, _ := n.list.Join([]string{name + "/" + nowhere}) // it is tried again, and memberlist has logged it
			exchanged = exchanged || answered > 0
		}
	}
}

// pacer spaces the calls of one member. A call that is answered exchanges the states of all and tells both sides all, so few
// are needed, and all members that see each other make them: each waits longer from call to call, and a large fleet, whose
// states are large, longer still. Who comes to be seen makes the waits short again, for those that gossip leaves out.
type pacer struct {
	begun  bool
	joined uint64 // how many had come to be seen when the waits were short
	waits  float64
}

// next is the wait before the next call, in the mean.
func (p *pacer) next(rejoin time.Duration, away, others int, joined uint64) time.Duration {
	if !p.begun {
		p.begun = true
		return 0 // a start: there is nobody to wait for
	}
	if others == 0 {
		return rejoin / 4
	}
	if away == 0 {
		return rejoin
	}
	size := 1 + float64(away+others)/fleet.MembersPerSlot
	if p.waits == 0 || joined != p.joined {
		p.joined, p.waits = joined, shortestWait*math.Sqrt(size)
	} else {
		p.waits = min(2*p.waits, longestWait*size)
	}
	return time.Duration(float64(rejoin) * p.waits)
}

// sleep waits; false: the member is closed.
func (n *member) sleep(pause time.Duration) bool {
	select {
	case <-n.done:
		return false
	case <-time.After(pause):
		return true
	}
}

// unseen are the members of this process's settings that the membership does not see, the seeds alone where it sees nobody;
// and how many others it sees. Who has not exchanged states with anybody goes on as if it saw nobody, though gossip may have
// reached it: the exchange brings all entries at once.
func (n *member) unseen(exchanged bool) (away []string, others int) {
	seen := map[string]bool{n.cfg.Self: true}
	n.mu.Lock()
	for _, name := range n.peers {
		seen[name] = exchanged
	}
	n.mu.Unlock()
	if exchanged {
		others = len(seen) - 1
	}
	if others == 0 && len(n.cfg.Seeds) > 0 {
		return slices.DeleteFunc(slices.Clone(n.cfg.Seeds), func(name string) bool { return name == n.cfg.Self }), 0
	}
	for _, name := range n.transport.names() {
		if !seen[name] {
			away = append(away, name)
		}
	}
	return away, others
}

// sees tells whether the membership sees a process.
func (n *member) sees(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Contains(n.peers, name)
}
