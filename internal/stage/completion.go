package stage

import (
	"pewterwheel/internal/fleet"
)

// judgeStage compares old and new processes once a slot, as soon as all processes of the stage have been new for
// the warm-up time.
func (p *Module) judgeStage(now int64, out *fleet.Out) {
	c := &p.conductor
	e := c.evidence
	if e == nil {
		return
	}
	if now-c.stageFilledAt < p.config.Rules.WarmUp {
		return
	}
	if e.stage < c.record.Stage {
		e.beginStage(now, c.record.Stage)
		c.nextEvaluationAt = e.slotEnd
	}
	if now < c.nextEvaluationAt {
		return
	}
	c.nextEvaluationAt = now + e.slotLength
	e.closeIfOver(now)
	var result finding
	if result = (finding{verdict: verdictHarmless}); p.config.oracle == nil {
		result = p.evaluateStage(now)
	} else if p.config.oracle(c.record.Stage) {
		result = finding{verdict: verdictHarmful, measure: -1, text: "worse"}
	}
	if result.text != c.lastFinding.text && (result.verdict != verdictUndecided ||
		c.lastFinding.verdict != result.verdict || c.lastFinding.text == "") {
		p.addNote(out, "evidence", c.grant.Fence, int64(c.record.Stage), result.text)
	}
	c.lastFinding = result
	switch result.verdict {
	case verdictHarmful:
		p.halt(now, result.text, out)
	case verdictHarmless:
		p.passStage(now, out)
	}
}

// evaluateStage evaluates the evidence of a stage that has all its processes.
func (p *Module) evaluateStage(now int64) finding {
	c := &p.conductor
	if c.record.Stage == All {
		// No unchanged processes are left to compare with; the change only waits to see that no process dies.
		result := c.evidence.evaluate(now)
		if result.verdict != verdictHarmful && now-c.stageFilledAt >= p.config.Rules.WarmUp+p.config.Rules.MinEvaluation {
			result.verdict, result.text = verdictHarmless, "all have changed"
		} else if result.verdict == verdictHarmless {
			result.verdict = verdictUndecided
		}
		return result
	}
	return c.evidence.evaluate(now)
}

// passStage opens the next stage, or starts to conclude the change.
func (p *Module) passStage(now int64, out *fleet.Out) {
	c := &p.conductor
	rec := c.record
	rec.Wave = nil
	if rec.Stage == All {
		rec.Phase = concluding
		p.storeRecord(now, rec, changePassed, out)
		return
	}
	rec.Stage++
	if p.config.failpoints.skipStage && rec.Stage < All {
		rec.Stage++
	}
	p.storeRecord(now, rec, stageOpened, out)
}

// rollBack rolls the changed processes back, a few at a time.
func (p *Module) rollBack(now int64, out *fleet.Out) {
	c := &p.conductor
	if len(c.wave) > 0 {
		p.superviseWave(now, Back, out)
		return
	}
	plan := p.makePlan(true)
	if c.rollbackBlockedSince == 0 {
		c.rollbackBlockedSince = now
	}
	// A halted change must end even if there is never spare capacity: then one process at a time goes back, and
	// the next one once it serves again.
	plan.forced = now-c.rollbackBlockedSince >= p.config.Rules.ApplyTimeout
	wave, why := plan.nextWave()
	if len(wave) > 0 {
		c.rollbackBlockedSince = 0
	}
	switch {
	case why == onlyConductorLeft:
		p.yieldLease(now, out)
	case why == stageFull:
		rec := c.record
		rec.Phase, rec.Wave = halted, nil
		p.storeRecord(now, rec, noEvent, out)
	case len(wave) == 0:
		p.noteWaiting(now, why, out)
	default:
		p.storeWave(now, c.record, wave, out)
	}
}

// conclude has all reachable processes store the new target. A process that died during the change and restarted
// with the previous target is changed as well: one at a time, and skipped if it does not change in time.
func (p *Module) conclude(now int64, out *fleet.Out) {
	c := &p.conductor
	resend := c.ordersSentAt == 0 || now-c.ordersSentAt >= p.config.Rules.ResendInterval
	if resend {
		c.ordersSentAt = now
	}
	pending, leftBehind := false, ""
	for _, n := range p.peers.names {
		q := p.peers.byName[n]
		switch {
		case !q.reachable() || q.status.State == Refusing:
		case q.inChange(c.record.Target.Change):
			if pending = true; resend {
				p.sendOrder(now, n, Conclude, out)
			}
		case q.status.RunningChange < c.record.Target.Change && leftBehind == "" && c.answerDetails[n] == "":
			leftBehind = n
		}
	}
	if leftBehind != "" && !pending {
		if since, ok := c.reachableSince[leftBehind]; !ok {
			c.reachableSince[leftBehind] = now
			p.addNote(out, "takes along", c.grant.Fence, int64(c.record.Target.Change), leftBehind)
		} else if now-since > p.config.Rules.ApplyTimeout {
			c.answerDetails[leftBehind] = "left behind"
			p.addNote(out, "left behind", c.grant.Fence, int64(c.record.Target.Change), leftBehind)
		}
		if pending = true; resend {
			p.sendOrder(now, leftBehind, Apply, out)
		}
	}
	if pending {
		return
	}
	rec := c.record
	rec.Phase = concluded
	p.storeRecord(now, rec, noEvent, out)
}

// finish notes that a change is over and releases the lease once the others know. If a process that was cut off
// comes back later and is still in the change, whoever then holds the lease finishes it.
func (p *Module) finish(now int64, out *fleet.Out) {
	c := &p.conductor
	change := c.record.Target.Change
	if running := p.peers.runningChange(); running > change && p.hasView {
		// The record was lost with the electors that stored it. How far the change had come is unknown: the
		// processes in it are rolled back.
		c.haltReason = "the record of the change was lost"
		p.storeRecord(now, record{Target: Target{Change: running}, Phase: goingBack, Reason: c.haltReason,
			HighestOver: c.record.highestOver()}, changeHalted, out)
		return
	}
	if c.record.Phase == none {
		p.releaseLease(now, out)
		return
	}
	p.peers.highestOver = max(p.peers.highestOver, change)
	if p.peers.anyInChange(change) {
		rec := c.record
		rec.Phase, rec.Wave = goingBack, nil
		if c.record.Phase == concluded {
			rec.Phase = concluding
		}
		p.storeRecord(now, rec, changeReopened, out)
		return
	}
	if !c.endNoted {
		c.endNoted, c.ordersSentAt = true, now
		p.addNote(out, "over", c.grant.Fence, int64(change), phaseNames[c.record.Phase]+" "+c.record.Reason)
		return
	}
	// The lease is released after the other processes have read from the entry that the change is over.
	known := true
	for _, n := range p.peers.names {
		if q := p.peers.byName[n]; q.reachable() && n != p.config.Name && q.status.HighestOver < change {
			known = false
		}
	}
	if known || now-c.ordersSentAt >= p.config.Rules.LeaseTimeout {
		p.releaseLease(now, out)
	}
}
