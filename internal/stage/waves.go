package stage

import (
	"slices"

	"pewterwheel/internal/fleet"
)

// advanceRunning advances a running change: it checks for reasons to halt, then orders further processes or judges
// the stage.
func (p *Part) run(now int64, out *fleet.Out) {
	c := &p.conductor
	rec := c.rec
	change := rec.Target.Change
	if w := &p.watch; w.crashed == change && w.crashes > 0 {
		who := w.who
		if who == "" {
			who = "a process"
		}
		p.halt(now, who+" died in the change", out)
		return
	}
	if e := c.evidence; e != nil && e.change == change && e.broke != "" {
		p.halt(now, e.broke+" counted a broken rule", out)
		return
	}
	for _, n := range p.watch.names {
		if q := p.watch.peers[n]; q.in(change) && q.told.State == Refusing {
			p.halt(now, n+" refuses: "+q.told.Why, out)
			return
		}
	}
	if len(c.wave) > 0 {
		p.follow(now, Apply, out)
		return
	}
	if c.filledAt == 0 {
		p.fill(now, out)
		return
	}
	p.judge(now, out)
}

// superviseWave repeats the order until all processes of a wave have carried it out, and drops those that are cut
// off.
func (p *Part) follow(now int64, verb string, out *fleet.Out) {
	c := &p.conductor
	change := c.rec.Target.Change
	open := c.wave[:0:0]
	for _, n := range c.wave {
		q := p.watch.peers[n]
		st, answered := c.answers[n]
		if q != nil && q.told.Change == change && !answered {
			st = q.told.State
		}
		switch verb {
		case Apply:
			if st == Refusing {
				p.halt(now, n+" refuses: "+c.whys[n], out)
				return
			}
			if was := c.lives[n]; was != 0 && q != nil && q.life > was && !q.in(change) && !p.c.failpoints.noCrash {
				p.halt(now, n+" died in the change", out)
				return
			}
			// The entry decides, because all other processes go by it, and a successor publishes it first.
			if q != nil && q.in(change) && q.told.State == Changed && (q.here() || q.suspect) {
				continue
			}
		default:
			if q != nil && q.known && !q.in(change) && (answered && st == Unchanged || q.told.Fence == c.grant.Fence && q.told.Write >= c.grant.Write) {
				continue
			}
		}
		if q == nil || q.suspect {
			since := c.waveAt
			if q != nil {
				since = max(since, q.since)
			}
			if now-since >= p.c.Rules.Lost {
				p.note(out, "cut off", c.grant.Fence, int64(change), n)
				continue
			}
			delete(c.heard, n)
		} else if at, ok := c.heard[n]; !ok {
			c.heard[n] = now
		} else if now-at >= p.c.Rules.Patience {
			if verb == Apply {
				p.halt(now, n+" was ordered to change and has not changed in time", out)
				return
			}
			p.note(out, "does not go back", c.grant.Fence, int64(change), n)
			continue
		}
		open = append(open, n)
	}
	c.wave = open
	if len(open) == 0 || c.said != 0 && now-c.said < p.c.Rules.Repeat {
		return
	}
	c.said = now
	for _, n := range open {
		p.say(now, n, verb, out)
	}
}

// sendOrder sends an order to one process, with the fencing number of the lease.
func (p *Part) say(now int64, to, verb string, out *fleet.Out) {
	c := &p.conductor
	s := speech{Order: true, Change: c.rec.Target.Change, Fence: c.grant.Fence, Write: c.grant.Write, Verb: verb, Target: c.rec.Target}
	if to == p.c.Name {
		p.order(now, to, s, out)
		return
	}
	out.Send = append(out.Send, fleet.Message{Kind: fleet.Stage, From: p.c.Name, To: to, Body: encode(s)})
}

// recordAnswer records the answer of a process to an order.
func (p *Part) answered(_ int64, from string, s speech) {
	c := &p.conductor
	// Ignores answers to an earlier conductor or from before this record.
	if !c.holds || s.Change != c.rec.Target.Change || s.Fence != c.grant.Fence || s.Write != c.grant.Write || !slices.Contains(c.wave, from) {
		return
	}
	c.answers[from], c.whys[from] = s.State, s.Why
}

// fillStage orders the next processes of the stage to change, or records that the stage has all of them.
func (p *Part) fill(now int64, out *fleet.Out) {
	c := &p.conductor
	rec := c.rec
	e := c.evidence
	if e == nil || e.change != rec.Target.Change {
		return // the next view contains the first figures
	}
	if rec.Told > 0 {
		e.begun(now)
	}
	if rec.Told == 0 && now-max(c.since, e.began) < max(p.c.Rules.Baseline, e.longSlot()) {
		p.wait(now, "gathers figures from before the change", out)
		return
	}
	pl := p.plan(false)
	if pl.program && e.closed == 0 && p.c.oracle == nil {
		p.wait(now, "no figures of the offered load yet", out)
		return
	}
	wave, why := pl.next()
	switch {
	case why == filled, why == onlySelf && rec.Stage != All:
		p.wait(now, "", out)
		c.filledAt = now
	case why == onlySelf:
		p.stepAside(now, out)
	case len(wave) == 0:
		p.wait(now, why, out)
	default:
		p.wait(now, "", out)
		rec.Told += len(wave)
		p.storeWave(now, rec, wave, out)
	}
}

// yieldLease releases the lease because the conductor itself is the only process that is left.
func (p *Part) stepAside(now int64, out *fleet.Out) {
	p.note(out, "steps aside", p.conductor.grant.Fence, int64(p.conductor.rec.Target.Change), "only the conductor is left")
	p.conductor.aside = now + p.c.Rules.Ask
	p.release(now, out)
}

// storeWave stores the names of the processes to order next; they are ordered once the record is stored.
func (p *Part) storeWave(now int64, rec record, wave []string, out *fleet.Out) {
	c := &p.conductor
	// A process that was ordered and is cut off stays in the record: it may be changing unseen, and its neighbours
	// have to wait.
	kept := rec.Wave
	rec.Wave = nil
	for _, n := range wave {
		rec.Wave = append(rec.Wave, mark(n))
	}
	for _, n := range p.watch.names {
		if q := p.watch.peers[n]; q.suspect && !q.in(rec.Target.Change) && len(rec.Wave) < MaxWave && slices.Contains(kept, mark(n)) {
			rec.Wave = append(rec.Wave, mark(n))
		}
	}
	c.names = wave
	p.store(now, rec, nextWave, out)
}

func (p *Part) plan(back bool) *plan {
	c := &p.conductor
	change := c.rec.Target.Change
	pl := &plan{rules: p.c.Rules, change: change, program: c.rec.Target.Program != p.concluded.Program || c.rec.Target.ProgramDigest != p.concluded.ProgramDigest, back: back, self: p.c.Name, stage: c.rec.Stage,
		told: c.rec.Told, neighbours: p.c.Neighbours, failpoints: p.c.failpoints}
	for _, n := range p.watch.names {
		q := p.watch.peers[n]
		if !q.known {
			continue
		}
		x := place{name: n, zone: q.zone, here: q.here(), in: q.in(change)}
		if q.in(change) {
			x.busy = q.told.State == Changing || q.told.State == Returning
		} else if slices.Contains(c.rec.Wave, mark(n)) && q.suspect {
			x.in, x.busy = true, true // it was ordered, and may be changing unseen
		}
		if e := c.evidence; e != nil {
			if s := e.subjects[n]; s != nil {
				x.offered, x.shown = s.rate, s.shown
			}
		}
		pl.places = append(pl.places, x)
	}
	// A process is taken to have at least the capacity that the 90th percentile of its zone has shown.
	best := map[string][]float64{}
	for _, x := range pl.places {
		if x.here && x.shown > 0 && x.in == back {
			best[x.zone] = append(best[x.zone], x.shown)
		}
	}
	for _, l := range best {
		slices.Sort(l)
	}
	for i := range pl.places {
		x := &pl.places[i]
		if l := best[x.zone]; len(l) > 0 && x.in == back {
			x.shown = max(x.shown, l[(len(l)-1)*9/10])
		}
	}
	return pl
}
