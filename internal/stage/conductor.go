package stage

import (
	"fmt"
	"slices"

	"pewterwheel/internal/fleet"
	"pewterwheel/internal/lease"
)

var phaseNames = [...]string{"none", "running", "halted, going back", "passed, concluding", "concluded", "halted, all back"}

// conductor is the state of a process that holds the lease of the change or is claiming it.
type conductor struct {
	proposal Target // waits for the lease; Change 0: none
	proposed int64
	claimed  bool
	holds    bool
	grant    lease.Grant
	rec      record // the stored record of the lease
	// The record that is being written. No order is sent and nothing is reported on the basis of it until it is
	// stored.
	next    record
	write   uint64
	writing bool
	then    event    // what to do once the new record is stored
	reason  string   // reason of a halt, not truncated
	names   []string // names of the wave that is being stored

	since    int64            // when this process began to conduct
	wave     []string         // names of the processes that are being ordered now
	waveAt   int64            // when the orders of the wave began
	said     int64            // when the orders were last sent
	answers  map[string]State // answers of the wave to orders under this record
	whys     map[string]string
	heard    map[string]int64  // since when a process of the wave has been reachable without an answer
	lives    map[string]uint64 // incarnations of the wave when it was ordered
	aside    int64             // this process does not claim the lease before this time, so that another one can order it
	filledAt int64             // when the stage got all its processes; 0: not yet
	lookAt   int64
	found    finding
	waits    string // what the conductor is waiting for
	waitNote int64
	stuck    int64 // since when no process could be rolled back; 0: not blocked
	ended    bool  // has noted that the change is over
	evidence *evidence
}

func (c *conductor) tell(t *told) {
	if !c.holds || c.rec.Phase == none {
		return
	}
	t.Conducts, t.Phase, t.Stage, t.Reason = c.rec.Target.Change, c.rec.Phase, c.rec.Stage, cut(c.rec.Reason, maxReason)
	t.Judging = c.evidence != nil && c.evidence.stage == c.rec.Stage
}

func (c *conductor) text() string {
	s := fmt.Sprintf("change %d: %s, stage %s, %d told", c.rec.Target.Change, phaseNames[c.rec.Phase], stageNames[c.rec.Stage], c.rec.Told)
	switch {
	case c.rec.Reason != "":
		s += ": " + c.rec.Reason
	case c.waits != "":
		s += ": " + c.waits
	case c.found.text != "":
		s += ": " + c.found.text
	}
	return s
}

func (c *conductor) figures(put func(string, uint64, bool)) {
	if !c.holds {
		put("stage_conducts", 0, true)
		return
	}
	put("stage_conducts", c.rec.Target.Change, true)
	put("stage_phase", uint64(c.rec.Phase), true)
	put("stage_stage", uint64(c.rec.Stage), true)
	put("stage_told", uint64(c.rec.Told), true)
	if c.found.calls > 0 {
		put("stage_new_calls", uint64(c.found.calls), true)
		put("stage_new_processes", uint64(c.found.nNew), true)
		put("stage_old_processes", uint64(c.found.nOld), true)
	}
}

// conduct does the work of the holder of the lease, and claims the lease if this process should.
func (p *Part) conduct(now int64, out *fleet.Out) {
	c := &p.conductor
	if p.c.Lease == nil {
		return
	}
	if p.handed {
		p.release(now, out)
		return
	}
	if c.proposal.Change != 0 && now-c.proposed > p.c.Rules.Ask && !c.holds {
		p.note(out, "refused", 0, int64(c.proposal.Change), "the lease of the change was not granted in time")
		c.proposal = Target{}
	}
	wants := c.proposal.Change != 0 || c.holds
	wants = wants || p.follows && now >= c.aside
	if !wants {
		p.release(now, out)
		return
	}
	if !c.claimed {
		c.claimed = true
		p.c.Lease.Claim(now, Thing, out)
	}
	g, ok := p.c.Lease.Held(now, Thing)
	if !ok {
		if c.holds {
			p.note(out, "conductor lost", c.grant.Fence, int64(c.rec.Target.Change), "")
		}
		c.holds, c.writing, c.wave = false, false, nil
		return
	}
	if !c.holds || g.Fence != c.grant.Fence {
		if !p.adopt(now, g, out) {
			return
		}
	}
	c.grant = g
	if c.writing {
		if g.Write < c.write {
			return
		}
		c.rec, c.writing = c.next, false
		p.stored(now, out)
	}
	p.step(now, out)
}

func (p *Part) release(now int64, out *fleet.Out) {
	c := &p.conductor
	if c.claimed {
		c.claimed, c.holds, c.writing, c.wave = false, false, false, nil
		p.c.Lease.Release(now, Thing, out)
	}
}

// adoptRecord continues from the record that the previous holder of the lease stored.
func (p *Part) adopt(now int64, g lease.Grant, out *fleet.Out) bool {
	c := &p.conductor
	rec, err := readRecord(g.Value)
	if err != nil {
		p.counts.errors++
		if c.waits != err.Error() {
			c.waits = err.Error()
			p.note(out, "record", g.Fence, 0, err.Error())
		}
		c.proposal = Target{}
		p.release(now, out)
		return false
	}
	c.holds, c.grant, c.rec, c.since, c.writing = true, g, rec, now, false
	c.filledAt, c.lookAt, c.said, c.waits, c.found, c.ended = 0, 0, 0, "", finding{}, false
	c.stuck = 0
	c.setWave(now, nil)
	for _, n := range p.watch.names {
		if slices.Contains(rec.Wave, mark(n)) {
			c.wave = append(c.wave, n)
		}
	}
	p.fence, p.write = max(p.fence, g.Fence), max(p.write, g.Write)
	p.watch.over = max(p.watch.over, rec.last())
	if rec.Phase != none {
		p.note(out, "conducts", g.Fence, int64(rec.Target.Change), phaseNames[rec.Phase]+", stage "+stageNames[rec.Stage])
	}
	return true
}

func (c *conductor) setWave(now int64, names []string) {
	c.wave, c.waveAt, c.said = names, now, 0
	c.answers, c.whys, c.heard, c.lives = map[string]State{}, map[string]string{}, map[string]int64{}, map[string]uint64{}
}

// recordEvent says what the record that was just stored means.
type event uint8

const (
	nothing event = iota
	opened
	nextStage
	nextWave
	stopped
	passed
	reopened
)

// storeRecord writes a record. Its consequences follow once a majority of the electors has stored it.
func (p *Part) store(now int64, rec record, then event, out *fleet.Out) {
	c := &p.conductor
	rec.Fence = c.grant.Fence
	w, err := p.c.Lease.Write(now, Thing, rec.encode(), out)
	if err != nil {
		return // retried in the next call of advance if the lease is still held
	}
	if p.c.failpoints.tellsFirst {
		c.rec, c.write, c.then = rec, w, then
		p.stored(now, out)
		return
	}
	c.next, c.write, c.writing, c.then = rec, w, true, then
}

// recordStored acts on a record that has been stored.
func (p *Part) stored(now int64, out *fleet.Out) {
	c := &p.conductor
	change := c.rec.Target.Change
	then := c.then
	c.then = nothing
	switch then {
	case opened:
		c.proposal = Target{}
		c.since = now
		p.note(out, "opened", c.grant.Fence, int64(change), c.rec.Target.Settings+" "+c.rec.Target.Program)
		p.noteStage(out)
	case nextStage:
		c.filledAt, c.found = 0, finding{}
		p.noteStage(out)
	case nextWave:
		c.setWave(now, c.names)
		verb := Back
		if c.rec.Phase == running {
			verb = Apply
			c.evidence.begun(now)
		}
		for _, n := range c.wave {
			c.lives[n] = p.watch.peers[n].life
			p.note(out, "tells", c.grant.Fence, int64(c.rec.Stage), verb+" "+n)
		}
		p.follow(now, verb, out)
	case stopped:
		p.counts.halts++
		c.setWave(now, c.wave)
		p.note(out, "halted", c.grant.Fence, int64(change), c.reason)
	case passed:
		c.setWave(now, nil)
		p.note(out, "passed", c.grant.Fence, int64(change), c.found.text)
	case reopened:
		c.setWave(now, nil)
		p.note(out, "opened again", c.grant.Fence, int64(change), "processes that are still in the change came back")
	}
}

// advance takes the next step that the stored record calls for.
func (p *Part) step(now int64, out *fleet.Out) {
	c := &p.conductor
	if c.writing {
		return
	}
	if c.proposal.Change != 0 {
		p.open(now, out)
		return
	}
	switch c.rec.Phase {
	case running:
		p.run(now, out)
	case goingBack:
		p.goBack(now, out)
	case concluding:
		p.conclude(now, out)
	default:
		p.end(now, out)
	}
}

// openChange starts the proposed change if the record permits it.
func (p *Part) open(now int64, out *fleet.Out) {
	c := &p.conductor
	t := c.proposal
	var err error
	switch {
	case c.rec.Target == t:
		c.proposal = Target{} // it was stored, but this process lost the lease before it learned so
		return
	case c.rec.Phase != none && !over(c.rec.Phase):
		err = &RunningError{Change: t.Change, Running: c.rec.Target.Change, Conductor: p.c.Name}
	case t.Change <= max(c.rec.last(), p.watch.over):
		err = &NumberError{Change: t.Change, Over: max(c.rec.last(), p.watch.over)}
	}
	if err != nil {
		c.proposal = Target{}
		p.note(out, "refused", c.grant.Fence, int64(t.Change), err.Error())
		return
	}
	rec := record{Target: t, Phase: running, Over: c.rec.last()}
	p.store(now, rec, opened, out)
}

func (p *Part) noteStage(out *fleet.Out) {
	c := &p.conductor
	p.note(out, "stage", c.grant.Fence, int64(c.rec.Stage), fmt.Sprintf("change %d, stage %s", c.rec.Target.Change, stageNames[c.rec.Stage]))
}

// noteWaiting notes what the conductor is waiting for when that changes, and otherwise once a minute.
func (p *Part) wait(now int64, why string, out *fleet.Out) {
	c := &p.conductor
	if why != c.waits || now-c.waitNote >= 60*second {
		c.waits, c.waitNote = why, now
		if why != "" {
			p.note(out, "waits", c.grant.Fence, int64(c.rec.Target.Change), why)
		}
	}
}

// halt stops a change. The processes that are being ordered stay in the wave and are rolled back first, because
// the order to change may still be on its way to them.
func (p *Part) halt(now int64, reason string, out *fleet.Out) {
	c := &p.conductor
	rec := c.rec
	rec.Phase, rec.Reason = goingBack, cut(reason, maxReason)
	c.reason = reason
	p.store(now, rec, stopped, out)
}
