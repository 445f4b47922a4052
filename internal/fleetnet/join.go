package fleetnet

import (
	"math/rand/v2"
	"slices"
	"time"

	"pewterwheel/internal/fleet"
)

// callsAtOnce is how many members that are not seen are called on before a pause, in a small fleet.
const callsAtOnce = 2

// join calls on members that are not seen: on the seeds first, then on one of the others at a time. Guards against two sides
// of a cut that have forgotten each other: the membership itself never calls on who is gone for good.
func (n *member) join() {
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1)) // who is called on first decides nothing
	for {
		away, alone := n.unseen()
		rng.Shuffle(len(away), func(i, j int) { away[i], away[j] = away[j], away[i] })
		calls, pause := n.pace(alone)
		for _, name := range away[:min(len(away), calls)] {
			select {
			case <-n.done:
				return
			default:
			}
			_, _ = n.list.Join([]string{name + "/" + nowhere}) // it is tried again, and memberlist has logged it
		}
		select {
		case <-n.done:
			return
		case <-time.After(pause):
		}
	}
}

// unseen are the members of this process's settings that the membership does not see; the seeds alone where it sees nobody.
func (n *member) unseen() (away []string, alone bool) {
	seen := map[string]bool{n.cfg.Self: true}
	for _, m := range n.list.Members() {
		seen[m.Name] = true
	}
	if len(seen) == 1 && len(n.cfg.Seeds) > 0 {
		return slices.DeleteFunc(slices.Clone(n.cfg.Seeds), func(name string) bool { return name == n.cfg.Self }), true
	}
	for _, name := range n.transport.names() {
		if !seen[name] {
			away = append(away, name)
		}
	}
	return away, len(seen) == 1
}

// pace is how many members are called on, and the pause until the next. A call that is answered exchanges the states of all,
// so the more there are the fewer each process makes: the others call as well, and one answer tells all.
func (n *member) pace(alone bool) (calls int, pause time.Duration) {
	pause = time.Duration(n.cfg.Rejoin) * time.Microsecond
	factor := 1 + len(n.transport.names())/fleet.MembersPerSlot
	switch {
	case alone:
		return callsAtOnce, pause / 4
	case factor == 1:
		return callsAtOnce, pause
	}
	return 1, pause * time.Duration(factor)
}
