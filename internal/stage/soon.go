package stage

// Soon tells whether a process changes now, or is among the next to: meanwhile nothing should be given to it to keep. It is as
// true as what this process has heard, and nothing exclusive hangs on it.
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
	// By zones, and within a zone in the change's order, as the plan goes; the first ones that are left.
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

// First is the part of a process's entry until its Part tells one: what it goes by, so that a process that has just come up is
// not taken for one that fell out of the change.
func First(running, concluded Target) []byte {
	p := newPart(Config{Running: running, Concluded: concluded})
	return encode(told{Change: p.change, State: p.state, Goes: p.running.Change})
}

// replaces tells whether going by a target takes a successor here.
func (p *Part) replaces(t Target) bool {
	return t.Program != p.running.Program || t.ProgramDigest != p.running.ProgramDigest
}
