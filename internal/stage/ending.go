package stage

import (
	"pewterwheel/internal/fleet"
)

// judge looks at old against new once a slot, once all of the stage have been new for long enough to count.
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

// verdict is what a look says of the stage that is filled.
func (p *Part) verdict(now int64) finding {
	c := &p.conductor
	if c.rec.Stage == All {
		// Nobody is left to compare with: what is left is to see that none dies.
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

// pass opens the next stage, or concludes the change.
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

// goBack takes those who changed back, a few at a time.
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
	// A halted change ends, also where there is never room: then one at a time, and the next when it serves again.
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

// conclude has the new target written down by all who are heard. One that died on the way, and came back by what
// was concluded before, is taken along: one at a time, and left behind if it does not come.
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

// end tells that a change is over, and gives the lease up once others know. Who comes back from a cut later, still
// in the change, is seen to: by whoever then holds the lease.
func (p *Part) end(now int64, out *fleet.Out) {
	c := &p.conductor
	change := c.rec.Target.Change
	if r := p.watch.runs(); r > change && p.viewed {
		// Its record is gone with the electors that had it. What it had come to nobody knows: those in it go back.
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
	// The entry says that it is over, and is read by the others before the lease is given up.
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
