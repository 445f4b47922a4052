package stage

// ChangesSoon reports whether a process is changing or is among the next to change. Meanwhile it should not be given
// anything to own. The answer is based on the entries that this process has received and may be wrong, so nothing
// that needs mutual exclusion may depend on it.
func (p *Module) ChangesSoon(name string) bool {
	peer := p.peers.byName[name]
	if peer == nil {
		return false
	}
	if peer.status.State == Changing || peer.status.State == Returning {
		return true
	}
	running := p.peers.runningChange()
	if running == 0 || peer.inChange(running) {
		return false
	}
	// Compares by zone, and within a zone by rank in the change, as the plan does: the lowest of the remaining
	// processes change next.
	ahead, remaining := 0, 0
	for _, n := range p.peers.names {
		other := p.peers.byName[n]
		if !other.inView || other.inChange(running) {
			continue
		}
		remaining++
		if n != name && (compareRank(running, other.zone, peer.zone) < 0 ||
			other.zone == peer.zone && compareRank(running, n, name) < 0) {
			ahead++
		}
	}
	return ahead < max(1, min(p.config.Rules.WaveSize, remaining/10))
}

// InitialStatus returns the status for the entry of a process until its Module publishes one. It tells the target that
// the process runs with, so that a process that has just started is not taken for one that left the change.
func InitialStatus(running, concluded Target) []byte {
	p := newPart(Config{Running: running, Concluded: concluded})
	return encode(processStatus{Change: p.change, State: p.state, RunningChange: p.running.Change})
}

// needsSuccessor reports whether a successor must be started here to run with a target.
func (p *Module) needsSuccessor(t Target) bool {
	return t.Program != p.running.Program || t.ProgramDigest != p.running.ProgramDigest
}
