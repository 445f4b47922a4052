package stage

import (
	"slices"

	"pewterwheel/internal/fleet"
)

// advanceRunning advances a running change: it checks for reasons to halt, then orders further processes or judges
// the stage.
func (p *Module) advanceRunning(now int64, out *fleet.Out) {
	c := &p.conductor
	rec := c.record
	change := rec.Target.Change
	if peers := &p.peers; peers.crashedChange == change && peers.crashes > 0 {
		crashed := peers.lastCrashed
		if crashed == "" {
			crashed = "a process"
		}
		p.halt(now, crashed+" died in the change", out)
		return
	}
	if e := c.evidence; e != nil && e.change == change && e.firstBroken != "" {
		p.halt(now, e.firstBroken+" counted a broken rule", out)
		return
	}
	for _, n := range p.peers.names {
		if q := p.peers.byName[n]; q.inChange(change) && q.status.State == Refusing {
			p.halt(now, n+" refuses: "+q.status.Detail, out)
			return
		}
	}
	if len(c.wave) > 0 {
		p.superviseWave(now, Apply, out)
		return
	}
	if c.stageFilledAt == 0 {
		p.fillStage(now, out)
		return
	}
	p.judgeStage(now, out)
}

// superviseWave repeats the order until all processes of a wave have carried it out, and drops those that are cut
// off.
func (p *Module) superviseWave(now int64, verb string, out *fleet.Out) {
	c := &p.conductor
	change := c.record.Target.Change
	pending := c.wave[:0:0]
	for _, name := range c.wave {
		q := p.peers.byName[name]
		state, answered := c.answers[name]
		if q != nil && q.status.Change == change && !answered {
			state = q.status.State
		}
		switch verb {
		case Apply:
			if state == Refusing {
				p.halt(now, name+" refuses: "+c.answerDetails[name], out)
				return
			}
			if incarnation := c.incarnations[name]; incarnation != 0 && q != nil && q.incarnation > incarnation &&
				!q.inChange(change) && !p.config.failpoints.ignoreCrashes {
				p.halt(now, name+" died in the change", out)
				return
			}
			// The entry decides, because all other processes go by it, and a successor publishes it first.
			if q != nil && q.inChange(change) && q.status.State == Changed && (q.reachable() || q.suspect) {
				continue
			}
		default:
			if q != nil && q.inView && !q.inChange(change) &&
				(answered && state == Unchanged || q.status.Fence == c.grant.Fence && q.status.Write >= c.grant.Write) {
				continue
			}
		}
		if q == nil || q.suspect {
			since := c.waveStartedAt
			if q != nil {
				since = max(since, q.suspectChangedAt)
			}
			if now-since >= p.config.Rules.SuspectTimeout {
				p.addNote(out, "cut off", c.grant.Fence, int64(change), name)
				continue
			}
			delete(c.reachableSince, name)
		} else if reachableSince, ok := c.reachableSince[name]; !ok {
			c.reachableSince[name] = now
		} else if now-reachableSince >= p.config.Rules.ApplyTimeout {
			if verb == Apply {
				p.halt(now, name+" was ordered to change and has not changed in time", out)
				return
			}
			p.addNote(out, "does not go back", c.grant.Fence, int64(change), name)
			continue
		}
		pending = append(pending, name)
	}
	c.wave = pending
	if len(pending) == 0 || c.ordersSentAt != 0 && now-c.ordersSentAt < p.config.Rules.ResendInterval {
		return
	}
	c.ordersSentAt = now
	for _, n := range pending {
		p.sendOrder(now, n, verb, out)
	}
}

// sendOrder sends an order to one process, with the fencing number of the lease.
func (p *Module) sendOrder(now int64, to, verb string, out *fleet.Out) {
	c := &p.conductor
	s := message{Order: true, Change: c.record.Target.Change, Fence: c.grant.Fence, Write: c.grant.Write, Verb: verb,
		Target: c.record.Target}
	if to == p.config.Name {
		p.handleOrder(now, to, s, out)
		return
	}
	out.Send = append(out.Send, fleet.Message{Kind: fleet.Stage, From: p.config.Name, To: to, Body: encode(s)})
}

// recordAnswer records the answer of a process to an order.
func (p *Module) recordAnswer(_ int64, from string, s message) {
	c := &p.conductor
	// Ignores answers to an earlier conductor or from before this record.
	if !c.holdsLease || s.Change != c.record.Target.Change || s.Fence != c.grant.Fence || s.Write != c.grant.Write ||
		!slices.Contains(c.wave, from) {
		return
	}
	c.answers[from], c.answerDetails[from] = s.State, s.Detail
}

// fillStage orders the next processes of the stage to change, or records that the stage has all of them.
func (p *Module) fillStage(now int64, out *fleet.Out) {
	c := &p.conductor
	rec := c.record
	e := c.evidence
	if e == nil || e.change != rec.Target.Change {
		return // the next view contains the first figures
	}
	if rec.Ordered > 0 {
		e.markStarted(now)
	}
	if rec.Ordered == 0 && now-max(c.conductingSince, e.beganAt) < max(p.config.Rules.Baseline, e.requestedSlot()) {
		p.noteWaiting(now, "gathers figures from before the change", out)
		return
	}
	plan := p.makePlan(false)
	if plan.program && e.closedSlots == 0 && p.config.oracle == nil {
		p.noteWaiting(now, "no figures of the offered load yet", out)
		return
	}
	wave, why := plan.nextWave()
	switch {
	case why == stageFull, why == onlyConductorLeft && rec.Stage != All:
		p.noteWaiting(now, "", out)
		c.stageFilledAt = now
	case why == onlyConductorLeft:
		p.yieldLease(now, out)
	case len(wave) == 0:
		p.noteWaiting(now, why, out)
	default:
		p.noteWaiting(now, "", out)
		rec.Ordered += len(wave)
		p.storeWave(now, rec, wave, out)
	}
}

// yieldLease releases the lease because the conductor itself is the only process that is left.
func (p *Module) yieldLease(now int64, out *fleet.Out) {
	p.addNote(out, "steps aside", p.conductor.grant.Fence, int64(p.conductor.record.Target.Change),
		"only the conductor is left")
	p.conductor.noClaimUntil = now + p.config.Rules.LeaseTimeout
	p.releaseLease(now, out)
}

// storeWave stores the names of the processes to order next; they are ordered once the record is stored.
func (p *Module) storeWave(now int64, rec record, wave []string, out *fleet.Out) {
	c := &p.conductor
	// A process that was ordered and is cut off stays in the record: it may be changing unseen, and its neighbours
	// have to wait.
	previous := rec.Wave
	rec.Wave = nil
	for _, n := range wave {
		rec.Wave = append(rec.Wave, nameHash(n))
	}
	for _, n := range p.peers.names {
		if q := p.peers.byName[n]; q.suspect && !q.inChange(rec.Target.Change) && len(rec.Wave) < MaxWave &&
			slices.Contains(previous, nameHash(n)) {
			rec.Wave = append(rec.Wave, nameHash(n))
		}
	}
	c.nextWave = wave
	p.storeRecord(now, rec, waveStored, out)
}

func (p *Module) makePlan(rollback bool) *plan {
	c := &p.conductor
	change := c.record.Target.Change
	result := &plan{
		rules:  p.config.Rules,
		change: change,
		program: c.record.Target.Program != p.concluded.Program ||
			c.record.Target.ProgramDigest != p.concluded.ProgramDigest,
		rollback:   rollback,
		self:       p.config.Name,
		stage:      c.record.Stage,
		ordered:    c.record.Ordered,
		neighbours: p.config.Neighbours,
		failpoints: p.config.failpoints,
	}
	for _, n := range p.peers.names {
		q := p.peers.byName[n]
		if !q.inView {
			continue
		}
		x := candidate{name: n, zone: q.zone, reachable: q.reachable(), inChange: q.inChange(change)}
		if q.inChange(change) {
			x.changing = q.status.State == Changing || q.status.State == Returning
		} else if slices.Contains(c.record.Wave, nameHash(n)) && q.suspect {
			x.inChange, x.changing = true, true // it was ordered, and may be changing unseen
		}
		if e := c.evidence; e != nil {
			if s := e.processes[n]; s != nil {
				x.offered, x.shown = s.offeredRate, s.shownRate
			}
		}
		result.candidates = append(result.candidates, x)
	}
	// A process is taken to have at least the capacity that the 90th percentile of its zone has shown.
	shownByZone := map[string][]float64{}
	for _, x := range result.candidates {
		if x.reachable && x.shown > 0 && x.inChange == rollback {
			shownByZone[x.zone] = append(shownByZone[x.zone], x.shown)
		}
	}
	for _, l := range shownByZone {
		slices.Sort(l)
	}
	for i := range result.candidates {
		x := &result.candidates[i]
		if l := shownByZone[x.zone]; len(l) > 0 && x.inChange == rollback {
			x.shown = max(x.shown, l[(len(l)-1)*9/10])
		}
	}
	return result
}
