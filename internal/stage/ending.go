package stage

import (
	"pewterwheel/internal/fleet"
)

// judgeStage compares old and new processes once a slot, as soon as all processes of the stage have been new for
// the warm-up time.
func (p *Part) judge(now int64, out *fleet.Out) {
	c := &p.conductor
	e := c.evidence
	if e == nil {
		return
	}
	if now-c.filledAt < p.c.Rules.Warm {
		return
	}
	if e.stage < c.rec.Stage {
		e.begin(now, c.rec.Stage)
		c.lookAt = e.slotEnd
	}
	if now < c.lookAt {
		return
	}
	c.lookAt = now + e.slot
	e.tick(now)
	var f finding
	if f = (finding{verdict: passes}); p.c.oracle == nil {
		f = p.verdict(now)
	} else if p.c.oracle(c.rec.Stage) {
		f = finding{verdict: harms, measure: -1, text: "worse"}
	}
	if f.text != c.found.text && (f.verdict != untold || c.found.verdict != f.verdict || c.found.text == "") {
		p.note(out, "evidence", c.grant.Fence, int64(c.rec.Stage), f.text)
	}
	c.found = f
	switch f.verdict {
	case harms:
		p.halt(now, f.text, out)
	case passes:
		p.pass(now, out)
	}
}

// evaluateStage evaluates the evidence of a stage that has all its processes.
func (p *Part) verdict(now int64) finding {
	c := &p.conductor
	if c.rec.Stage == All {
		// No unchanged processes are left to compare with; the change only waits to see that no process dies.
		f := c.evidence.look(now)
		if f.verdict != harms && now-c.filledAt >= p.c.Rules.Warm+p.c.Rules.Look {
			f.verdict, f.text = passes, "all have changed"
		} else if f.verdict == passes {
			f.verdict = untold
		}
		return f
	}
	return c.evidence.look(now)
}

// passStage opens the next stage, or starts to conclude the change.
func (p *Part) pass(now int64, out *fleet.Out) {
	c := &p.conductor
	rec := c.rec
	rec.Wave = nil
	if rec.Stage == All {
		rec.Phase = concluding
		p.store(now, rec, passed, out)
		return
	}
	rec.Stage++
	if p.c.failpoints.anyOrder && rec.Stage < All {
		rec.Stage++
	}
	p.store(now, rec, nextStage, out)
}

// rollBack rolls the changed processes back, a few at a time.
func (p *Part) goBack(now int64, out *fleet.Out) {
	c := &p.conductor
	if len(c.wave) > 0 {
		p.follow(now, Back, out)
		return
	}
	pl := p.plan(true)
	if c.stuck == 0 {
		c.stuck = now
	}
	// A halted change must end even if there is never spare capacity: then one process at a time goes back, and
	// the next one once it serves again.
	pl.last = now-c.stuck >= p.c.Rules.Patience
	wave, why := pl.next()
	if len(wave) > 0 {
		c.stuck = 0
	}
	switch {
	case why == onlySelf:
		p.stepAside(now, out)
	case why == filled:
		rec := c.rec
		rec.Phase, rec.Wave = halted, nil
		p.store(now, rec, nothing, out)
	case len(wave) == 0:
		p.wait(now, why, out)
	default:
		p.storeWave(now, c.rec, wave, out)
	}
}

// conclude has all reachable processes store the new target. A process that died during the change and restarted
// with the previous target is changed as well: one at a time, and skipped if it does not change in time.
func (p *Part) conclude(now int64, out *fleet.Out) {
	c := &p.conductor
	again := c.said == 0 || now-c.said >= p.c.Rules.Repeat
	if again {
		c.said = now
	}
	left, behind := false, ""
	for _, n := range p.watch.names {
		q := p.watch.peers[n]
		switch {
		case !q.here() || q.told.State == Refusing:
		case q.in(c.rec.Target.Change):
			if left = true; again {
				p.say(now, n, Conclude, out)
			}
		case q.told.Goes < c.rec.Target.Change && behind == "" && c.whys[n] == "":
			behind = n
		}
	}
	if behind != "" && !left {
		if at, ok := c.heard[behind]; !ok {
			c.heard[behind] = now
			p.note(out, "takes along", c.grant.Fence, int64(c.rec.Target.Change), behind)
		} else if now-at > p.c.Rules.Patience {
			c.whys[behind] = "left behind"
			p.note(out, "left behind", c.grant.Fence, int64(c.rec.Target.Change), behind)
		}
		if left = true; again {
			p.say(now, behind, Apply, out)
		}
	}
	if left {
		return
	}
	rec := c.rec
	rec.Phase = concluded
	p.store(now, rec, nothing, out)
}

// finish notes that a change is over and releases the lease once the others know. If a process that was cut off
// comes back later and is still in the change, whoever then holds the lease finishes it.
func (p *Part) end(now int64, out *fleet.Out) {
	c := &p.conductor
	change := c.rec.Target.Change
	if r := p.watch.runs(); r > change && p.viewed {
		// The record was lost with the electors that stored it. How far the change had come is unknown: the
		// processes in it are rolled back.
		c.reason = "the record of the change was lost"
		p.store(now, record{Target: Target{Change: r}, Phase: goingBack, Reason: c.reason, Over: c.rec.last()}, stopped, out)
		return
	}
	if c.rec.Phase == none {
		p.release(now, out)
		return
	}
	p.watch.over = max(p.watch.over, change)
	if p.watch.straggles(change) {
		rec := c.rec
		rec.Phase, rec.Wave = goingBack, nil
		if c.rec.Phase == concluded {
			rec.Phase = concluding
		}
		p.store(now, rec, reopened, out)
		return
	}
	if !c.ended {
		c.ended, c.said = true, now
		p.note(out, "over", c.grant.Fence, int64(change), phaseNames[c.rec.Phase]+" "+c.rec.Reason)
		return
	}
	// The lease is released after the other processes have read from the entry that the change is over.
	known := true
	for _, n := range p.watch.names {
		if q := p.watch.peers[n]; q.here() && n != p.c.Name && q.told.Over < change {
			known = false
		}
	}
	if known || now-c.said >= p.c.Rules.Ask {
		p.release(now, out)
	}
}
