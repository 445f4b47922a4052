package stage

// Soon reports whether a process is changing or is among the next to change. Meanwhile it should not be given
// anything to keep. The answer rests on what this process has heard, and nothing that needs exclusion depends on
// it.
func (p *Part) Soon(name string) bool {
	q := p.watch.peers[name]
	if q == nil {
		return false
	}
	if q.told.State == Changing || q.told.State == Returning {
		return true
	}
	run := p.watch.runs()
	if run == 0 || q.in(run) {
		return false
	}
	// Compares by zone, and within a zone by rank in the change, as the plan does; the first processes that are
	// left change next.
	before, left := 0, 0
	for _, n := range p.watch.names {
		o := p.watch.peers[n]
		if !o.known || o.in(run) {
			continue
		}
		left++
		if n != name && (byOrder(run, o.zone, q.zone) < 0 || o.zone == q.zone && byOrder(run, n, name) < 0) {
			before++
		}
	}
	return before < max(1, min(p.c.Rules.Wave, left/10))
}

// First returns the status for the entry of a process until its Part publishes one. It tells the target that the
// process runs with, so that a process that has just started is not taken for one that left the change.
func First(running, concluded Target) []byte {
	p := newPart(Config{Running: running, Concluded: concluded})
	return encode(told{Change: p.change, State: p.state, Goes: p.running.Change})
}

// needsSuccessor reports whether a successor must be started here to run with a target.
func (p *Part) replaces(t Target) bool {
	return t.Program != p.running.Program || t.ProgramDigest != p.running.ProgramDigest
}
