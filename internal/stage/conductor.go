package stage

import (
	"fmt"
	"slices"

	"pewterwheel/internal/fleet"
	"pewterwheel/internal/lease"
)

var phaseNames = [...]string{"none", "running", "halted, going back", "passed, concluding", "concluded", "halted, all back"}

// conductor is what a process does that holds the lease of the change, or waits for it.
type conductor struct {
	proposal Target // that waits for the lease; Change 0: none
	proposed int64
	claimed  bool
	holds    bool
	grant    lease.Grant
	rec      record // what stands in the lease's record
	// A new record that is being stored: nothing is said or done by it until it is.
	next    record
	write   uint64
	writing bool
	then    event    // what the new record means, once it is
	reason  string   // of a halt, whole
	names   []string // of a wave

	since    int64            // since when this process conducts
	wave     []string         // who is told now, by name
	waveAt   int64            // since when
	said     int64            // when the orders were last repeated
	answers  map[string]State // of the wave, under this record
	whys     map[string]string
	heard    map[string]int64  // since when one of the wave is heard without an answer
	lives    map[string]uint64 // of the wave, as they were told
	aside    int64             // this process does not claim until then, so that another one can tell it
	filledAt int64             // since when the stage has all its processes; 0: it has not
	lookAt   int64
	found    finding
	waits    string // what it waits for
	waitNote int64
	stuck    int64 // since when nobody could go back; 0: somebody does
	ended    bool  // has told that the change is over
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

// conduct does what the holder of the lease has to do, and claims it where this process should.
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
		p.note(out, "refused", 0, int64(c.proposal.Change), "the lease of the change was not granted")
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

// adopt takes over the record of whoever held the lease before.
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

// event is what a record that has just been stored means.
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

// store writes a record; what follows from it is done once a majority of the electors has it.
func (p *Part) store(now int64, rec record, then event, out *fleet.Out) {
	c := &p.conductor
	rec.Fence = c.grant.Fence
	w, err := p.c.Lease.Write(now, Thing, rec.encode(), out)
	if err != nil {
		return // it is tried again in the next step, if the lease is still held
	}
	if p.c.failpoints.tellsFirst {
		c.rec, c.write, c.then = rec, w, then
		p.stored(now, out)
		return
	}
	c.next, c.write, c.writing, c.then = rec, w, true, then
}

// stored does what follows from a record that has been stored.
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
		p.note(out, "opened again", c.grant.Fence, int64(change), "processes came back that are in it")
	}
}

// step does what the record says comes next.
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

// open begins a proposal, if the record says that it may be.
func (p *Part) open(now int64, out *fleet.Out) {
	c := &p.conductor
	t := c.proposal
	var err error
	switch {
	case c.rec.Target == t:
		c.proposal = Target{} // it was stored, though this process has not heard so before it lost the lease
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

// wait notes what is waited for: when it is another thing, and once a minute.
func (p *Part) wait(now int64, why string, out *fleet.Out) {
	c := &p.conductor
	if why != c.waits || now-c.waitNote >= 60*second {
		c.waits, c.waitNote = why, now
		if why != "" {
			p.note(out, "waits", c.grant.Fence, int64(c.rec.Target.Change), why)
		}
	}
}

// halt stops a change. Those who are being told just now stay in the wave: they are told to go back first, for the
// order that they were given may still be on its way.
func (p *Part) halt(now int64, reason string, out *fleet.Out) {
	c := &p.conductor
	rec := c.rec
	rec.Phase, rec.Reason = goingBack, cut(reason, maxReason)
	c.reason = reason
	p.store(now, rec, stopped, out)
}
