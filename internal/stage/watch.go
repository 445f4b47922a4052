package stage

import (
	"bytes"
	"slices"

	"pewterwheel/internal/fleet"
)

// peer is the last known state of one process.
type peer struct {
	name          string
	life, version uint64
	zone          string
	state         fleet.State
	suspect       bool
	since         int64 // since when it has been suspected or missing from the view
	known         bool  // is in the newest view
	told          told
	raw           []byte // encoded form of status
}

// reachable reports whether a process serves and is not suspected.
func (p *peer) here() bool { return p.known && !p.suspect && p.state == fleet.Serving }

// inChange reports whether a process takes part in a change. A process that refused counts until its refusal is
// settled.
func (p *peer) in(change uint64) bool {
	return p.told.Change == change && p.told.State != Unchanged && change != 0
}

// peerTable is what a process knows of the others from their entries.
type watch struct {
	self       string
	peers      map[string]*peer
	names      []string // names of all peers that are not forgotten, sorted
	list       []*peer  // the peers in the order of names
	fence      uint64   // the highest fencing number that any process has announced, with the write under it
	write      uint64
	over       uint64 // the highest change that any process knows to be over
	running    uint64 // the highest change that any process conducts or takes part in
	crashed    uint64 // the change whose crashes are counted, and the number of them that this process knows
	crashes    uint64
	who        string // name of the process that crashed first
	failpoints failpoints
}

// forgetAfter is how long a name that is missing from the view is kept. Bounds the memory used if names are used
// only once each.
const forget = 3600 * second

// update applies a view.
func (w *watch) view(now int64, v *fleet.View) {
	for _, p := range w.list {
		p.known = false
	}
	at := 0
	for i := range v.Members {
		m := &v.Members[i]
		for at < len(w.names) && w.names[at] < m.Name {
			at++
		}
		if at == len(w.names) || w.names[at] != m.Name {
			if w.peers[m.Name] != nil {
				continue // the view is not sorted
			}
			p := &peer{name: m.Name}
			w.peers[m.Name] = p
			w.names, w.list = slices.Insert(w.names, at, m.Name), slices.Insert(w.list, at, p)
		}
		p := w.list[at]
		p.known, p.zone = true, m.Zone
		if m.Suspect != p.suspect {
			p.suspect, p.since = m.Suspect, now
		}
		if p.life == m.Incarnation && p.version == m.Version {
			continue
		}
		if m.Incarnation < p.life {
			continue // an entry of an earlier incarnation is out of date
		}
		t, b := p.told, m.Parts[fleet.Stage]
		if p.life != m.Incarnation || !bytes.Equal(b, p.raw) {
			if t = (told{}); len(b) > fleet.MaxBody || len(b) > 0 && decode(b, &t) != nil {
				t = told{} // a status that cannot be decoded counts as empty
			}
			p.raw = b
		}
		w.lives(m, p, t)
		p.life, p.version, p.state, p.told = m.Incarnation, m.Version, m.State, t
		w.learn(t)
	}
	forgets := false
	for _, p := range w.list {
		// A process that is missing from the view has left or has not been heard from for long; it is treated as
		// suspected.
		if !p.known && !p.suspect {
			p.suspect, p.since = true, now
		}
		forgets = forgets || !p.known && now-p.since > forget
	}
	if forgets {
		gone := func(p *peer) bool { return !p.known && now-p.since > forget }
		w.names = slices.DeleteFunc(w.names, func(n string) bool { return gone(w.peers[n]) })
		w.list = slices.DeleteFunc(w.list, func(p *peer) bool {
			if gone(p) {
				delete(w.peers, p.name)
			}
			return gone(p)
		})
	}
}

// merge takes over what another process announces.
func (w *watch) learn(t told) {
	if t.Fence > w.fence || t.Fence == w.fence && t.Write > w.write {
		w.fence, w.write = t.Fence, t.Write
	}
	w.over = max(w.over, t.Over)
	if over(t.Phase) {
		w.over = max(w.over, t.Conducts)
	} else {
		w.running = max(w.running, t.Conducts)
	}
	if t.State != Unchanged {
		w.running = max(w.running, t.Change)
	}
	if t.Crashed > w.crashed || t.Crashed == w.crashed && t.Crashes > w.crashes {
		w.crashed, w.crashes = t.Crashed, t.Crashes
	}
}

// countCrash counts a process that died while it took part in a change: it has a new incarnation that was not
// started by the change. A process that was already draining or leaving, as its operators asked, is not counted.
func (w *watch) lives(m *fleet.Member, p *peer, next told) {
	if m.Incarnation == p.life || p.life == 0 || p.told.Change == 0 || w.failpoints.noCrash {
		return
	}
	c := p.told.Change
	switch p.told.State {
	case Changing:
		if next.Change == c && (next.State == Changed || next.State == Returning) {
			return
		}
	case Changed:
		if p.state == fleet.Draining || p.state == fleet.Leaving {
			return
		}
	default:
		return
	}
	if c > w.crashed {
		w.crashed, w.crashes = c, 0
	}
	if w.crashed == c {
		w.crashes++
		w.who = m.Name
	}
}

// anyInChange reports whether a reachable process is still in a change.
func (w *watch) straggles(change uint64) bool {
	for _, p := range w.list {
		if p.in(change) && p.here() {
			return true
		}
	}
	return false
}

// runningChange returns the change that is known to be running; 0: none.
func (w *watch) runs() uint64 {
	if w.running > w.over || w.straggles(w.running) {
		return w.running
	}
	return 0
}

// isStandby reports whether this is one of the few processes that would take over as conductor. A process that is
// the last one on its side of the change is not, because another process has to order it.
func (w *watch) follows(change uint64) bool {
	const few = 3
	me := w.peers[w.self]
	if me == nil || !me.here() || w.alone(me, change) {
		return false
	}
	before := 0
	for _, p := range w.list {
		if p != me && p.here() && byOrder(^change, p.name, w.self) < 0 && !w.alone(p, change) {
			before++
		}
	}
	return before < few
}

// onlyOneOnSide reports whether all other reachable processes are on one side of the change and this one on the
// other.
func (w *watch) alone(one *peer, change uint64) bool {
	mine, others := one.in(change), 0
	for _, p := range w.list {
		if p != one && p.here() {
			if p.in(change) == mine {
				return false
			}
			others++
		}
	}
	return others > 1
}
