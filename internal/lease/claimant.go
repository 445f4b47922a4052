package lease

import (
	"bytes"
	"math"
	"slices"
	"strings"

	"pewterwheel/internal/fleet"
)

// What a claim is doing.
type phase uint8

const (
	resting phase = iota // until next, or until an elector says that the thing is free
	asking               // for votes under a new fence
	storing              // has them, and stores the record that it was told under its own fence
	holding
)

// claim is what this process wants of one thing, from Claim to Release.
type claim struct {
	thing string
	phase phase
	fence uint64 // of the attempt or the grant
	high  uint64 // the highest fence heard of the thing
	hint  hint
	until int64 // held before this alone; 0: not held
	next  int64 // when something is to be done
	began int64 // of the attempt
	full  int64 // when the electors were last asked all
	pause int64 // distance of repeats
	tries uint  // attempts in a row that came to nothing
	noted Reason

	voters []voter
	rounds [16]round // the last questions, by seq
	both   bool      // the electors of the roster before are asked, too

	// The record: the newest that the voters told, then what is being stored, what is to be stored next, and what is stored.
	told, flight, after, stored record
	toldFence                   uint64
	last                        uint64 // number of the newest write asked for
}

type record struct {
	write uint64 // 0: none
	value []byte
}

// round is a question: when it was asked, and which write it carried.
type round struct {
	seq   uint64
	sent  int64
	write uint64
	hold  bool
}

// voter is an elector as the claimant sees it, in this attempt. A time of 0: never.
type voter struct {
	name       string
	isNew, old bool
	voted      bool
	sent       int64 // when the newest question was sent for which it voted
	kept       bool
	keptSent   int64 // when the newest question was sent by which it kept the record, and the number of it
	keptWrite  uint64
	young      bool // it says that the old majority is needed, too
	asNew      bool // it has learnt the thing under the roster of the question, and votes as one of its electors
	// Why it does not vote now, until when it will not, and whom it votes for.
	reason      Reason
	blocked     int64
	holder      string
	holderFence uint64
}

func (p *Part) claim(thing string) *claim {
	if i, ok := p.findClaim(thing); ok {
		return p.claims[i]
	}
	return nil
}

func (p *Part) findClaim(thing string) (int, bool) {
	return slices.BinarySearchFunc(p.claims, thing, func(c *claim, s string) int { return strings.Compare(c.thing, s) })
}

// Claim asks for a thing, and goes on renewing it, until Release. A name that is empty or over MaxName is passed by.
func (p *Part) Claim(now int64, thing string, out *fleet.Out) {
	p.at(now)
	i, ok := p.findClaim(thing)
	if ok || len(thing) == 0 || len(thing) > MaxName {
		return
	}
	c := &claim{thing: thing, next: p.now}
	p.setVoters(c)
	p.claims = slices.Insert(p.claims, i, c)
	p.claimTick(c, out)
	p.end(out)
}

// Release gives a thing up, so that another may have it at once. A write that is not stored yet may happen or not.
func (p *Part) Release(now int64, thing string, out *fleet.Out) {
	p.at(now)
	i, ok := p.findClaim(thing)
	if !ok {
		return
	}
	c := p.claims[i]
	p.claims = slices.Delete(p.claims, i, i+1)
	if c.phase == holding {
		p.counts.releases++
		out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Lease, What: "released", Thing: thing, Fence: c.fence})
		p.retell = true
	}
	p.letGo(c, out)
	p.end(out)
}

// letGo tells the electors that a fence is given up.
func (p *Part) letGo(c *claim, out *fleet.Out) {
	if c.phase == resting {
		return
	}
	for i := range c.voters {
		if v := &c.voters[i]; v.isNew || c.both {
			p.send(v.name, body{Type: typRelease, Thing: c.thing, Roster: p.roster, Life: p.cfg.Incarnation, Fence: c.fence}, out)
		}
	}
}

// Held returns what this process holds now; false: it may not act.
func (p *Part) Held(now int64, thing string) (Grant, bool) {
	c := p.claim(thing)
	if c == nil || c.phase != holding || max(now, p.now) >= c.until {
		return Grant{}, false
	}
	return Grant{Fence: c.fence, Until: c.until, Value: c.stored.value, Write: c.stored.write}, true
}

// Write replaces the thing's record, while it is held. The errors are *NotHeldError and *RecordSizeError. The number counts
// under the grant's fence: the write has happened once Held shows it, or a higher one, under the fence of the call.
func (p *Part) Write(now int64, thing string, value []byte, out *fleet.Out) (uint64, error) {
	p.at(now)
	if len(value) > MaxRecord {
		return 0, &RecordSizeError{Thing: thing, Size: len(value)}
	}
	if _, ok := p.Held(now, thing); !ok {
		return 0, &NotHeldError{Thing: thing}
	}
	c := p.claim(thing)
	c.last++
	rec := record{c.last, bytes.Clone(value)}
	if c.flight.write > c.stored.write {
		c.after = rec // one at a time. Guards against a holder that writes so often that no write of its own is ever seen stored.
	} else {
		c.flight = rec
		p.ask(c, true, out)
	}
	p.end(out)
	return rec.write, nil
}

// due is when a claim wants its tick: its next repeat, or its end.
func (c *claim) due() int64 {
	if c.phase == holding {
		return min(c.next, c.until)
	}
	return c.next
}

// setVoters makes the list of who votes by the rosters that are known now. What was heard of them counts no more.
func (p *Part) setVoters(c *claim) {
	c.voters, c.rounds = nil, [16]round{}
	for _, name := range p.electors(c.thing) {
		c.voters = append(c.voters, voter{name: name, isNew: true})
	}
	for _, name := range p.oldElectors(c.thing) {
		if i := slices.IndexFunc(c.voters, func(v voter) bool { return v.name == name }); i >= 0 {
			c.voters[i].old = true
		} else {
			c.voters = append(c.voters, voter{name: name, old: true})
		}
	}
	c.both = p.now < p.young
}

// claimTick does what is due: an end, an attempt, a renewal, a repeat.
func (p *Part) claimTick(c *claim, out *fleet.Out) {
	if c.phase == holding && p.now >= c.until {
		p.counts.lapses++
		p.retell = true
		if c.last > c.stored.write {
			p.counts.lostWrites++
		}
		out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Lease, What: "lapsed", Thing: c.thing, Fence: c.fence, Until: c.until})
		p.letGo(c, out)
		c.phase, c.next, c.tries = resting, p.now, 0
	}
	if p.now < c.next {
		return
	}
	switch c.phase {
	case resting:
		p.attempt(c, out)
	case asking, storing:
		// An attempt that another claimant has some votes of ends soon. Guards against two that wait for each other's.
		taken := slices.ContainsFunc(c.voters, func(v voter) bool { return v.reason == Taken && p.now < v.blocked })
		if age := p.now - c.began; age >= p.cfg.Lease/3 || taken && age >= p.cfg.Lease/16 {
			p.fail(c, out)
			return
		}
		p.ask(c, false, out)
	case holding:
		p.ask(c, p.now-c.full >= p.cfg.Lease/3, out)
	}
}

// attempt asks for votes under a fence higher than all that were heard of.
func (p *Part) attempt(c *claim, out *fleet.Out) {
	p.counts.attempts++
	c.fence = max(c.high, p.base) + 1
	c.high = c.fence
	p.heardFence(c.fence)
	p.setVoters(c)
	c.phase, c.began, c.until = asking, p.now, 0
	c.told, c.flight, c.after, c.stored, c.toldFence, c.last = record{}, record{}, record{}, record{}, 0, 0
	p.ask(c, true, out)
}

// ask sends a question: all electors, or those whose answer is missing.
func (p *Part) ask(c *claim, all bool, out *fleet.Out) {
	if all {
		c.full, c.pause = p.now, p.retry
	}
	if p.now < p.young {
		c.both = true
	}
	b := p.question(c)
	for i := range c.voters {
		if v := &c.voters[i]; (v.isNew || c.both) && (all || !c.fresh(v)) {
			p.send(v.name, b, out)
		}
	}
	c.next = p.now + c.pause + p.jitter(c.pause/2)
	c.pause = min(2*c.pause, p.cfg.Lease/12)
	if c.phase == holding {
		c.next = min(c.next, max(c.full+p.cfg.Lease/3, p.now+1))
	} else {
		c.next = min(c.next, max(c.began+p.cfg.Lease/3, p.now+1))
	}
	if c.phase == holding && p.renewed(c) {
		c.next = max(c.full+p.cfg.Lease/3, p.now+1)
	}
}

// question makes a round and the message for it.
func (p *Part) question(c *claim) body {
	p.seq++
	r := &c.rounds[p.seq%uint64(len(c.rounds))]
	*r = round{seq: p.seq, sent: p.now, hold: c.phase != asking}
	b := body{Type: typClaim, Thing: c.thing, Roster: p.roster, Life: p.cfg.Incarnation, Fence: c.fence, Seq: p.seq}
	if r.hold {
		b.Type, b.RecFence, b.Write, b.Value = typHold, c.fence, c.flight.write, c.flight.value
		r.write = c.flight.write
	}
	return b
}

// fresh: the voter has answered to what is asked now.
func (c *claim) fresh(v *voter) bool {
	if c.phase == asking {
		return v.voted && v.sent >= c.full
	}
	return v.kept && v.keptSent >= c.full && v.keptWrite >= c.flight.write
}

// renewed: a majority has answered to the last question to all.
func (p *Part) renewed(c *claim) bool { return p.count(c, c.fresh) }

// needBoth: the majority of the old electors counts, too.
func (p *Part) needBoth(c *claim) bool {
	if p.doctor.oneMajority {
		return false
	}
	if p.now < p.young {
		return true
	}
	for i := range c.voters {
		if v := &c.voters[i]; v.isNew && v.young {
			return true
		}
	}
	return false
}

// count says whether a majority of the electors, or of both rosters' where it must be, is so.
func (p *Part) count(c *claim, is func(*voter) bool) bool {
	var n, has, oldN, oldHas int
	for i := range c.voters {
		v := &c.voters[i]
		yes := 0
		if is(v) {
			yes = 1
		}
		if v.isNew {
			n++
			if v.asNew || v.sent == 0 {
				has += yes
			}
		}
		if v.old {
			oldN, oldHas = oldN+1, oldHas+yes
		}
	}
	if n == 0 || has < p.majority(n) {
		return false
	}
	return !p.needBoth(c) || oldN > 0 && oldHas >= p.majority(oldN)
}

// span is how long a vote counts here from when it was asked for: less than at any elector, by the drift.
func (p *Part) span() int64 {
	if p.doctor.noMargin {
		return p.cfg.Lease
	}
	return p.cfg.Lease - p.margin
}

// votesUntil is until when a majority's votes last.
func (p *Part) votesUntil(c *claim) int64 {
	most := func(pick, counts func(*voter) bool) int64 {
		var sent []int64
		n := 0
		for i := range c.voters {
			if v := &c.voters[i]; pick(v) {
				if n++; v.voted && counts(v) {
					sent = append(sent, v.sent)
				}
			}
		}
		if n == 0 || len(sent) < p.majority(n) {
			return math.MinInt64
		}
		slices.Sort(sent)
		return sent[len(sent)-p.majority(n)] + p.span()
	}
	until := most(func(v *voter) bool { return v.isNew }, func(v *voter) bool { return v.asNew })
	if p.needBoth(c) {
		until = min(until, most(func(v *voter) bool { return v.old }, func(*voter) bool { return true }))
	}
	return until
}

// answered takes a vote or a refusal.
func (p *Part) answered(from string, b body, out *fleet.Out) {
	p.hearRoster(b.Roster)
	p.heardFence(b.High)
	c := p.claim(b.Thing)
	if c == nil {
		return
	}
	c.high = max(c.high, b.High)
	if b.Type == typRefuse && b.Holder != "" && b.Holder != p.cfg.Self && !b.Over && b.High >= c.hint.fence {
		c.hint = hint{b.Holder, b.High}
	}
	r := c.rounds[b.Seq%uint64(len(c.rounds))]
	i := slices.IndexFunc(c.voters, func(v voter) bool { return v.name == from })
	if c.phase == resting || b.Seq == 0 || r.seq != b.Seq || b.Fence != c.fence || i < 0 {
		return
	}
	v := &c.voters[i]
	if b.Type == typRefuse {
		p.refused(c, v, b, out)
		return
	}
	v.reason, v.blocked = 0, 0
	sent := r.sent
	if p.doctor.countFromReply {
		sent = p.now
	}
	v.voted, v.sent = true, max(v.sent, sent)
	v.young = b.Young > 0
	v.asNew = b.Ready >= p.roster
	if r.hold && (!v.kept || sent >= v.keptSent) {
		v.kept, v.keptSent, v.keptWrite = true, sent, max(v.keptWrite, r.write)
	}
	if c.phase == asking && b.RecFence > 0 && (b.RecFence > c.toldFence || b.RecFence == c.toldFence && b.Write > c.told.write) {
		c.toldFence, c.told = b.RecFence, record{b.Write, b.Value}
	}
	if v.young && !c.both && slices.ContainsFunc(c.voters, func(v voter) bool { return v.old }) {
		c.both = true
		p.ask(c, false, out)
	}
	p.progress(c, out)
}

// progress moves a claim on if a majority has answered.
func (p *Part) progress(c *claim, out *fleet.Out) {
	valid := func(sent int64) bool { return p.now < sent+p.span() }
	if c.phase == asking && p.count(c, func(v *voter) bool { return v.voted && valid(v.sent) }) {
		// What was told becomes the holder's own, under its fence, before it acts. Guards against a write that a minority has, and
		// that one later holder sees and the next one does not.
		c.phase, c.flight, c.last = storing, c.told, c.told.write
		if p.doctor.noRestore {
			c.stored, c.flight = c.told, record{}
			p.grant(c, out)
		}
		p.ask(c, true, out)
	}
	// A record is stored if a majority kept it in answer to questions that are younger than a lease: an elector that has
	// forgotten since then asks the others only after that.
	kept := p.count(c, func(v *voter) bool { return v.kept && valid(v.keptSent) && v.keptWrite >= c.flight.write })
	switch {
	case c.phase == storing && kept:
		c.stored = c.flight
		p.grant(c, out)
	case c.phase == holding:
		if kept && c.flight.write > c.stored.write {
			c.stored = c.flight
			if c.after.write > c.flight.write {
				c.flight = c.after
				p.ask(c, true, out)
			}
		}
		if until := p.votesUntil(c); until > c.until {
			c.until = until
			p.counts.renewals++
			if p.cfg.Renewals {
				out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Lease, What: "renewed", Thing: c.thing, Fence: c.fence, Until: c.until})
			}
		}
		if p.renewed(c) {
			c.next = max(c.full+p.cfg.Lease/3, p.now+1)
		}
	}
}

func (p *Part) grant(c *claim, out *fleet.Out) {
	until := p.votesUntil(c)
	if until <= p.now {
		return // too late: it is asked again
	}
	c.phase, c.until, c.tries, c.noted = holding, until, 0, 0
	c.hint = hint{p.cfg.Self, c.fence}
	p.counts.grants++
	p.retell = true
	out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Lease, What: "granted", Thing: c.thing, Fence: c.fence, Until: until,
		N: int64(c.stored.write)})
	c.next = max(c.full+p.cfg.Lease/3, p.now+1)
}

// refused takes note of why an elector does not vote, and gives an attempt up that can come to nothing.
func (p *Part) refused(c *claim, v *voter, b body, out *fleet.Out) {
	v.reason, v.holder, v.holderFence = b.Reason, b.Holder, b.High
	switch b.Reason {
	case Learning: // it says when it is done
		v.blocked = 0
	case Taken, Waiting:
		v.blocked = p.now + max(b.Left, 1)
	case LowFence:
		v.blocked = p.now + p.cfg.Lease
	default:
		v.blocked = p.now + p.cfg.Lease/4
	}
	if c.phase == holding {
		return
	}
	if p.possible(c) {
		return
	}
	err := &RefusedError{Thing: c.thing, Elector: v.name, Reason: b.Reason, Left: b.Left}
	if c.noted != b.Reason { // once for each reason in a row, and anew after a grant
		c.noted = b.Reason
		out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Lease, What: "refused", Thing: c.thing, Fence: c.fence, N: int64(b.Reason),
			Text: err.Error() + "; " + err.Advice()})
	}
	p.fail(c, out)
}

// possible: those who have not refused are still enough.
func (p *Part) possible(c *claim) bool {
	return p.count(c, func(v *voter) bool { return p.now >= v.blocked })
}

// fail gives an attempt up, its votes with it, and rests: until the votes for a holder run out, if a majority votes for one;
// a short while drawn by chance, and longer from time to time, if claimants have taken the votes from each other.
func (p *Part) fail(c *claim, out *fleet.Out) {
	p.letGo(c, out)
	c.phase = resting
	c.tries++
	rest := p.retry << min(c.tries, 5)
	rest = min(rest, p.cfg.Lease/4)
	c.next = p.now + rest/4 + p.jitter(rest)
	var ends []int64
	n, low := 0, false
	holder := ""
	for i := range c.voters {
		v := &c.voters[i]
		if !v.isNew {
			continue
		}
		n++
		low = low || v.reason == LowFence && p.now < v.blocked
		if p.now >= v.blocked || v.reason != Taken && v.reason != Waiting {
			continue
		}
		if v.reason == Taken {
			if holder != "" && holder != v.holder {
				continue
			}
			holder = v.holder
		}
		ends = append(ends, v.blocked)
	}
	switch {
	case len(ends) >= n/2+1:
		// So many of these votes must end before the rest of the electors is a majority with them.
		slices.Sort(ends)
		c.tries = 1
		c.next = max(ends[n/2-(n-len(ends))], p.now) + p.jitter(p.cfg.Lease/16)
	case low && c.tries <= 1:
		c.next = p.now // it knows better now
	case low && c.tries <= 2:
		c.next = p.now + p.jitter(p.retry)
	}
}

// freed: an elector that refused may vote now.
func (p *Part) freed(from string, b body, out *fleet.Out) {
	c := p.claim(b.Thing)
	if c == nil {
		return
	}
	c.high = max(c.high, b.Fence)
	p.heardFence(b.Fence)
	i := slices.IndexFunc(c.voters, func(v voter) bool { return v.name == from })
	if i < 0 {
		return
	}
	v := &c.voters[i]
	if c.phase == resting {
		c.next = min(c.next, p.now+p.jitter(p.retry<<min(c.tries, 5)))
		if c.next <= p.now {
			p.claimTick(c, out)
		}
		return
	}
	v.blocked, v.reason = 0, 0
	if (v.isNew || c.both) && !c.fresh(v) {
		p.send(v.name, p.question(c), out)
	}
}
