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

// gather reads the figures of all, in those who conduct or would follow, and asks for them meanwhile.
func (p *Part) gather(now int64, v *fleet.View, out *fleet.Out) {
	c := &p.conductor
	r := p.watch.runs()
	if c.holds && c.rec.Phase == running {
		r = c.rec.Target.Change
	}
	if r == 0 || !c.claimed {
		c.evidence = nil
		p.want(now, false, out)
		return
	}
	p.want(now, true, out)
	e := c.evidence
	fresh := e == nil || e.change != r
	if fresh {
		e = newEvidence(p.c.Rules, r, now, p.c.doctor)
		e.asked = p.c.Figures != nil
		e.slotEnd = now + p.slot()
		c.evidence = e
	}
	e.slot, e.fresh = p.slot(), fresh
	if p.c.oracle != nil {
		return
	}
	for i := range v.Members {
		m := &v.Members[i]
		if q := p.watch.peers[m.Name]; q != nil && !m.Suspect { // a suspected one's figures are of before
			e.take(now, m, q.told)
			// A follower begins with a stage when its conductor does.
			if t := q.told; !c.holds && t.Conducts == r && t.Judging && t.Stage > e.stage {
				e.begin(now, t.Stage)
			}
			if !e.told && q.in(r) {
				e.begun(now)
			}
		}
	}
	e.tick(now)
}

// want says whether this process needs the others' figures.
func (p *Part) want(now int64, wanted bool, out *fleet.Out) {
	if p.c.Figures != nil {
		p.c.Figures.Want(now, wanted, out)
	}
}

// slot is over how long a stretch old and new are compared: long enough that each process's windows fall into it, also where
// they come a little late, for who shows nothing in half of the slots is in no comparison.
func (p *Part) slot() int64 {
	if p.c.Figures == nil {
		return p.c.Rules.Slot
	}
	return max(p.c.Rules.Slot, p.c.Figures.Length()/4*5)
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
	if p.c.doctor.tellsFirst {
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

// halt stops a change. Those who are being told just now stay in the wave: they are told to go back first, for the order that
// they were given may still be on its way.
func (p *Part) halt(now int64, reason string, out *fleet.Out) {
	c := &p.conductor
	rec := c.rec
	rec.Phase, rec.Reason = goingBack, cut(reason, maxReason)
	c.reason = reason
	p.store(now, rec, stopped, out)
}

// run takes the change on by what the stage lacks: processes, or a verdict.
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
		p.halt(now, e.broke+" counts a broken rule", out)
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

// follow sees to it that all of a wave do what they were told: it repeats the order, and lets those go who are cut off.
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
			if was := c.lives[n]; was != 0 && q != nil && q.life > was && !q.in(change) && !p.c.doctor.noCrash {
				p.halt(now, n+" died in the change", out)
				return
			}
			// The entry says it, for the entry is what all others go by, and what a successor tells first.
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
				p.halt(now, n+" was told and has not changed in time", out)
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

// say gives one process an order, under the number by which this one holds the lease.
func (p *Part) say(now int64, to, verb string, out *fleet.Out) {
	c := &p.conductor
	s := speech{Order: true, Change: c.rec.Target.Change, Fence: c.grant.Fence, Write: c.grant.Write, Verb: verb, Target: c.rec.Target}
	if to == p.c.Name {
		p.order(now, to, s, out)
		return
	}
	out.Send = append(out.Send, fleet.Message{Kind: fleet.Stage, From: p.c.Name, To: to, Body: encode(s)})
}

// answered takes what a process says to an order.
func (p *Part) answered(_ int64, from string, s speech) {
	c := &p.conductor
	// An answer to an earlier conductor's order, or from before this record, tells nothing of this one.
	if !c.holds || s.Change != c.rec.Target.Change || s.Fence != c.grant.Fence || s.Write != c.grant.Write || !slices.Contains(c.wave, from) {
		return
	}
	c.answers[from], c.whys[from] = s.State, s.Why
}

// fill tells the next processes of the stage, or says that it has all of them.
func (p *Part) fill(now int64, out *fleet.Out) {
	c := &p.conductor
	rec := c.rec
	e := c.evidence
	if e == nil || e.change != rec.Target.Change {
		return // the next view brings the first figures
	}
	if rec.Told > 0 {
		e.begun(now)
	}
	if rec.Told == 0 && now-max(c.since, e.began) < max(p.c.Rules.Baseline, e.longSlot()) {
		p.wait(now, "gathers figures of before", out)
		return
	}
	pl := p.plan(false)
	if pl.program && e.closed == 0 && p.c.oracle == nil {
		p.wait(now, "no figures yet of what is offered", out)
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

// stepAside gives the lease up, because the conductor is itself the only process that is left.
func (p *Part) stepAside(now int64, out *fleet.Out) {
	p.note(out, "steps aside", p.conductor.grant.Fence, int64(p.conductor.rec.Target.Change), "only the conductor is left")
	p.conductor.aside = now + p.c.Rules.Ask
	p.release(now, out)
}

// storeWave writes down who is told next, and tells them once that is stored.
func (p *Part) storeWave(now int64, rec record, wave []string, out *fleet.Out) {
	c := &p.conductor
	// Who was told and is cut off stays in the record: it may be changing unheard, and its neighbours wait for it.
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
		told: c.rec.Told, neighbours: p.c.Neighbours, doctor: p.c.doctor}
	for _, n := range p.watch.names {
		q := p.watch.peers[n]
		if !q.known {
			continue
		}
		x := place{name: n, zone: q.zone, here: q.here(), in: q.in(change)}
		if q.in(change) {
			x.busy = q.told.State == Changing || q.told.State == Returning
		} else if slices.Contains(c.rec.Wave, mark(n)) && q.suspect {
			x.in, x.busy = true, true // it was told, and may be changing unheard
		}
		if e := c.evidence; e != nil {
			if s := e.subjects[n]; s != nil {
				x.offered, x.shown = s.rate, s.shown
			}
		}
		pl.places = append(pl.places, x)
	}
	// A process showed what those like it did: its zone's better ones are taken for it.
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
	if p.c.doctor.anyOrder && rec.Stage < All {
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

// conclude has the new target written down by all who are heard. One that died on the way, and came back by what was concluded
// before, is taken along: one at a time, and left behind if it does not come.
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

// end tells that a change is over, and gives the lease up once others know. Who comes back from a cut later, still in the
// change, is seen to: by whoever then holds the lease.
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
