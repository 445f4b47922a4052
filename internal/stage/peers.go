package stage

import (
	"bytes"
	"slices"

	"pewterwheel/internal/fleet"
)

// peer is the last known state of one process.
type peer struct {
	name                 string
	incarnation, version uint64
	zone                 string
	state                fleet.State
	suspect              bool  // suspected by the view, or missing from it
	suspectChangedAt     int64 // when suspect last changed
	inView               bool  // is in the newest view
	status               processStatus
	rawStatus            []byte // encoded form of status
}

// reachable reports whether a process serves and is not suspected.
func (p *peer) reachable() bool { return p.inView && !p.suspect && p.state == fleet.Serving }

// inChange reports whether a process takes part in a change. A process that refused counts until its refusal is
// settled.
func (p *peer) inChange(change uint64) bool {
	return p.status.Change == change && p.status.State != Unchanged && change != 0
}

// peerTable is what a process knows of the others from their entries.
type peerTable struct {
	self           string
	byName         map[string]*peer
	names          []string // names of all peers that are not forgotten, sorted
	sorted         []*peer  // the peers in the order of names
	highestFence   uint64   // the highest fencing number that any process has announced
	highestWrite   uint64   // the highest write announced under highestFence
	highestOver    uint64   // the highest change that any process knows to be over
	highestRunning uint64   // the highest change that any process conducts or takes part in
	crashedChange  uint64   // the change whose crashes are counted: the highest with a crash
	crashes        uint64   // the number of these crashes that this process knows
	lastCrashed    string   // name of the process whose crash was counted last
	failpoints     failpoints
}

// forgetAfter is how long a process that is missing from the view is kept. Bounds the memory used where each process
// has a new name.
const forgetAfter = 3600 * second

// update applies a view.
func (t *peerTable) update(now int64, v *fleet.View) {
	for _, p := range t.sorted {
		p.inView = false
	}
	next := 0
	for i := range v.Members {
		m := &v.Members[i]
		for next < len(t.names) && t.names[next] < m.Name {
			next++
		}
		if next == len(t.names) || t.names[next] != m.Name {
			if t.byName[m.Name] != nil {
				continue // the view is not sorted
			}
			p := &peer{name: m.Name}
			t.byName[m.Name] = p
			t.names, t.sorted = slices.Insert(t.names, next, m.Name), slices.Insert(t.sorted, next, p)
		}
		p := t.sorted[next]
		p.inView, p.zone = true, m.Zone
		if m.Suspect != p.suspect {
			p.suspect, p.suspectChangedAt = m.Suspect, now
		}
		if p.incarnation == m.Incarnation && p.version == m.Version {
			continue
		}
		if m.Incarnation < p.incarnation {
			continue // an entry of an earlier incarnation is out of date
		}
		status, raw := p.status, m.Parts[fleet.Stage]
		if p.incarnation != m.Incarnation || !bytes.Equal(raw, p.rawStatus) {
			if status = (processStatus{}); len(raw) > fleet.MaxBody || len(raw) > 0 && decode(raw, &status) != nil {
				status = processStatus{} // a status that cannot be decoded counts as empty
			}
			p.rawStatus = raw
		}
		t.countCrash(m, p, status)
		p.incarnation, p.version, p.state, p.status = m.Incarnation, m.Version, m.State, status
		t.merge(status)
	}
	anyExpired := false
	for _, p := range t.sorted {
		// A process that is missing from the view has left or has not been heard from for long; it is treated as
		// suspected.
		if !p.inView && !p.suspect {
			p.suspect, p.suspectChangedAt = true, now
		}
		anyExpired = anyExpired || !p.inView && now-p.suspectChangedAt > forgetAfter
	}
	if anyExpired {
		expired := func(p *peer) bool { return !p.inView && now-p.suspectChangedAt > forgetAfter }
		t.names = slices.DeleteFunc(t.names, func(n string) bool { return expired(t.byName[n]) })
		t.sorted = slices.DeleteFunc(t.sorted, func(p *peer) bool {
			if expired(p) {
				delete(t.byName, p.name)
			}
			return expired(p)
		})
	}
}

// merge raises the highest known values to those that a process announces in its status.
func (t *peerTable) merge(status processStatus) {
	if status.Fence > t.highestFence || status.Fence == t.highestFence && status.Write > t.highestWrite {
		t.highestFence, t.highestWrite = status.Fence, status.Write
	}
	t.highestOver = max(t.highestOver, status.HighestOver)
	if isOver(status.Phase) {
		t.highestOver = max(t.highestOver, status.ConductedChange)
	} else {
		t.highestRunning = max(t.highestRunning, status.ConductedChange)
	}
	if status.State != Unchanged {
		t.highestRunning = max(t.highestRunning, status.Change)
	}
	if status.CrashedChange > t.crashedChange || status.CrashedChange == t.crashedChange && status.Crashes > t.crashes {
		t.crashedChange, t.crashes = status.CrashedChange, status.Crashes
	}
}

// countCrash counts a process that died while it took part in a change: it has a new incarnation that was not
// started by the change. A process that was already draining or leaving, as its operators asked, is not counted.
func (t *peerTable) countCrash(m *fleet.Member, p *peer, next processStatus) {
	if m.Incarnation == p.incarnation || p.incarnation == 0 || p.status.Change == 0 || t.failpoints.ignoreCrashes {
		return
	}
	change := p.status.Change
	switch p.status.State {
	case Changing:
		if next.Change == change && (next.State == Changed || next.State == Returning) {
			return
		}
	case Changed:
		if p.state == fleet.Draining || p.state == fleet.Leaving {
			return
		}
	default:
		return
	}
	if change > t.crashedChange {
		t.crashedChange, t.crashes = change, 0
	}
	if t.crashedChange == change {
		t.crashes++
		t.lastCrashed = m.Name
	}
}

// anyInChange reports whether a reachable process is still in a change.
func (t *peerTable) anyInChange(change uint64) bool {
	for _, p := range t.sorted {
		if p.inChange(change) && p.reachable() {
			return true
		}
	}
	return false
}

// runningChange returns the change that is known to be running; 0: none.
func (t *peerTable) runningChange() uint64 {
	if t.highestRunning > t.highestOver || t.anyInChange(t.highestRunning) {
		return t.highestRunning
	}
	return 0
}

// isStandby reports whether this is one of the few processes that would take over as conductor. They are ranked
// independently of the order in which processes change. A process that is alone on its side of the change is not one
// of them, because another process has to order it.
func (t *peerTable) isStandby(change uint64) bool {
	const maxStandbys = 3
	self := t.byName[t.self]
	if self == nil || !self.reachable() || t.onlyOneOnSide(self, change) {
		return false
	}
	ahead := 0
	for _, p := range t.sorted {
		if p != self && p.reachable() && compareRank(^change, p.name, t.self) < 0 && !t.onlyOneOnSide(p, change) {
			ahead++
		}
	}
	return ahead < maxStandbys
}

// onlyOneOnSide reports whether all other reachable processes, at least two, are on one side of the change and this
// one is on the other.
func (t *peerTable) onlyOneOnSide(process *peer, change uint64) bool {
	side, others := process.inChange(change), 0
	for _, p := range t.sorted {
		if p != process && p.reachable() {
			if p.inChange(change) == side {
				return false
			}
			others++
		}
	}
	return others > 1
}
