package lease

import (
	"bytes"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"pewterwheel/internal/fleet"
)

// thing is what an elector keeps of one thing.
type thing struct {
	name string
	// The highest fence voted for or learnt, whom it belongs to ("": not known), and whether that one has given it up.
	fence     uint64
	owner     string
	ownerLife uint64
	over      bool
	// The vote that runs: for whom, and until when by this clock. It is not the fence's: a fence may be learnt from others
	// while a vote for a lower one runs.
	voted     string
	votedLife uint64
	until     int64
	// The record: under which fence it was stored, the write's number, its bytes.
	recFence, write uint64
	value           []byte

	ready   uint64 // the roster under which this process may vote on it; 0: it has not learnt it in this life
	young   int64  // until when votes say that the old majority is needed, too
	gen     uint64
	used    int64
	waiters []string // who was refused and is told when it is free
	// What it learns from others, while it does.
	learning bool
	round    uint64
	next     int64
	pause    int64
	began    int64
	peers    []peer
	forgot   []uint64 // which lives had forgotten it at the moment from which this process counts; see forgetter
}

// forgetter names one life of a process in which it has not forgotten the thing again.
func forgetter(name string, life, gen uint64) uint64 {
	return xxhash.Sum64String(name + "\x00" + strconv.FormatUint(life, 36) + "\x00" + strconv.FormatUint(gen, 36))
}

// maxWaiters bounds who is told that a thing is free.
const maxWaiters = 8

// peer is what another elector last answered to a question of this life.
type peer struct {
	name       string
	isNew, old bool   // of which electors it is
	round      uint64 // to which question it answered last; 0: none
	life, gen  uint64
	ready      uint64
	steady     uint64 // the round of the answer, if it was not ready in that round and an earlier one, in one life
	young      int64
}

// target is the roster under which this process has to have learnt a thing before it votes on it; 0: it is no elector of it.
func (p *Part) target(name string) uint64 {
	if slices.Contains(p.electors(name), p.cfg.Self) {
		return p.roster
	}
	if p.old != nil && slices.Contains(p.oldElectors(name), p.cfg.Self) {
		return p.roster - 1
	}
	return 0
}

// keep returns what is kept of a thing, and makes it if there is room; nil: there is none.
func (p *Part) keep(name string) *thing {
	if t := p.things[name]; t != nil {
		return t
	}
	if len(p.things) >= p.cfg.MaxThings {
		var oldest *thing
		for _, t := range p.things {
			if t.until > p.now || t.learning || t.used+p.cfg.Keep > p.now {
				continue
			}
			if oldest == nil || t.used < oldest.used || t.used == oldest.used && t.name < oldest.name {
				oldest = t
			}
		}
		if oldest == nil {
			return nil
		}
		// Forgotten is as after a restart: it is learnt from others before the next vote, and others see by gen that it was.
		p.heardFence(oldest.fence)
		p.floor = max(p.floor, oldest.fence)
		delete(p.things, oldest.name)
		p.gen++
		p.counts.forgotten++
	}
	t := &thing{name: name, gen: p.gen, used: p.now}
	p.things[name] = t
	return t
}

func (t *thing) waits(who string) {
	if len(t.waiters) < maxWaiters && !slices.Contains(t.waiters, who) {
		t.waiters = append(t.waiters, who)
	}
}

// asked judges a claim or the renewal of one.
func (p *Part) asked(from string, b body, out *fleet.Out) {
	p.heardFence(b.Fence)
	p.hearRoster(b.Roster)
	refuse := func(t *thing, why Reason, left int64) {
		p.counts.refusals++
		r := body{Type: typRefuse, Thing: b.Thing, Roster: p.seen, Fence: b.Fence, Seq: b.Seq, Reason: why, Left: min(max(left, 0), maxSpan)}
		if t != nil {
			t.waits(from)
			r.High, r.Holder, r.HolderLife, r.Over = t.fence, t.owner, t.ownerLife, t.over
			if why == Taken {
				r.Holder, r.HolderLife = t.voted, t.votedLife
			}
		}
		p.send(from, r, out)
	}
	if b.Roster > p.roster+1 {
		refuse(nil, NewerRoster, 0)
		return
	}
	// Guards against two rosters' majorities that have no elector in common.
	if b.Roster < p.seen && !p.doctor.noRosterNumber {
		refuse(nil, OlderRoster, 0)
		return
	}
	target := p.target(b.Thing)
	if target == 0 || target < p.roster && b.Roster > p.roster {
		refuse(nil, NoElector, 0)
		return
	}
	t := p.keep(b.Thing)
	if t == nil {
		refuse(nil, Full, 0)
		return
	}
	t.used = p.now
	// Guards against a vote of the life before, which this one has forgotten.
	if p.now < p.voteFrom {
		p.learn(t)
		refuse(t, Waiting, p.voteFrom-p.now)
		return
	}
	if t.ready < target && p.doctor.noRecovery {
		t.ready = target
	}
	if t.ready < target {
		p.learn(t)
		p.learnTick(t, out)
	}
	if t.ready < target {
		refuse(t, Learning, 0)
		return
	}
	if t.until > p.now && (t.voted != from || t.votedLife != b.Life) && !p.doctor.voteOver {
		refuse(t, Taken, t.until-p.now)
		return
	}
	same := b.Fence == t.fence && t.owner == from && t.ownerLife == b.Life && !t.over
	if b.Fence <= t.fence && !same && !p.doctor.noFence {
		refuse(t, LowFence, 0)
		return
	}
	t.fence, t.owner, t.ownerLife, t.over = b.Fence, from, b.Life, false
	t.voted, t.votedLife, t.until = from, b.Life, p.now+p.cfg.Lease
	t.waiters = slices.DeleteFunc(t.waiters, func(s string) bool { return s == from })
	if b.Type == typHold && (b.Write > 0 || !p.doctor.noRestore) {
		t.store(b.Fence, b.Write, b.Value)
	}
	p.counts.votes++
	v := body{Type: typVote, Thing: b.Thing, Roster: p.seen, Fence: b.Fence, Seq: b.Seq, Ready: t.ready,
		Young: min(max(t.young-p.now, 0), maxSpan)}
	if b.Type == typClaim {
		v.RecFence, v.Write, v.Value = t.recFence, t.write, t.value
	}
	p.send(from, v, out)
}

// store keeps a record if it is newer than the one that is kept.
func (t *thing) store(fence, write uint64, value []byte) {
	if fence > t.recFence || fence == t.recFence && write > t.write {
		t.recFence, t.write, t.value = fence, write, bytes.Clone(value)
	}
}

// givenUp ends the vote of who gives a fence up, and sees that a late claim under it gets none.
func (p *Part) givenUp(from string, b body, out *fleet.Out) {
	t := p.things[b.Thing]
	if t == nil {
		return
	}
	mine := t.voted == from && t.votedLife == b.Life
	switch {
	case b.Fence == t.fence && t.owner == from && t.ownerLife == b.Life:
		t.over = true
	case b.Fence > t.fence && t.ready > 0 && (mine || t.until <= p.now):
		t.fence, t.owner, t.ownerLife, t.over = b.Fence, from, b.Life, true
	case b.Fence < t.fence:
		return // a later claim of the same process has the vote, or another's
	}
	if mine && t.fence <= b.Fence {
		t.until = 0
		p.free(t, out)
	}
}

// free tells who was refused that it may ask again.
func (p *Part) free(t *thing, out *fleet.Out) {
	for _, w := range t.waiters {
		p.send(w, body{Type: typFree, Thing: t.name, Fence: t.fence}, out)
	}
	t.waiters = nil
}

// learn begins to ask the other electors what they know of a thing.
func (p *Part) learn(t *thing) {
	if t.learning {
		return
	}
	t.learning, t.round, t.pause, t.began = true, 0, p.retry, p.now
	t.next = max(p.now, p.voteFrom)
	t.peers = t.peers[:0]
	add := func(name string, isNew bool) {
		if name == p.cfg.Self {
			return
		}
		for i := range t.peers {
			if t.peers[i].name == name {
				t.peers[i].isNew, t.peers[i].old = t.peers[i].isNew || isNew, t.peers[i].old || !isNew
				return
			}
		}
		t.peers = append(t.peers, peer{name: name, isNew: isNew, old: !isNew})
	}
	for _, name := range p.electors(t.name) {
		add(name, true)
	}
	for _, name := range p.oldElectors(t.name) {
		add(name, false)
	}
	p.busy = append(p.busy, t)
}

func (p *Part) unlearn(t *thing) {
	t.learning, t.peers = false, nil
	p.busy = slices.DeleteFunc(p.busy, func(o *thing) bool { return o == t })
}

// learnTick asks anew, all of them in a new round; the answers to earlier rounds count no more but as what came before.
func (p *Part) learnTick(t *thing, out *fleet.Out) {
	if !t.learning || p.now < t.next {
		return
	}
	target := p.target(t.name)
	if t.ready == 0 && (target == 0 || p.now-t.began > 4*p.wait() && p.now-t.used > 4*p.wait()) {
		p.unlearn(t) // nobody wants it any more, and nothing is known here that must pass on
		return
	}
	t.round++
	t.next = p.now + t.pause + p.jitter(t.pause)
	t.pause = min(2*t.pause, p.cfg.Lease/4)
	if t.ready > 0 && t.round > 6 {
		t.pause = 4 * p.cfg.Lease // nobody waits for it; it need only pass on at some time
	}
	for i := range t.peers {
		p.send(t.peers[i].name, body{Type: typLearn, Thing: t.name, Roster: p.roster, Life: p.cfg.Incarnation, Seq: t.round}, out)
	}
	p.learntEnough(t, out)
}

// learnAsked tells another elector what is known here, and by that seals it: from now on no claim under the roster before
// gets a vote here, so that what the other learns from a majority stays all that there is.
func (p *Part) learnAsked(from string, b body, out *fleet.Out) {
	if b.Roster > p.roster+1 {
		return
	}
	p.hearRoster(b.Roster)
	k := body{Type: typKnown, Thing: b.Thing, Roster: p.seen, Life: p.cfg.Incarnation, Gen: p.gen, Seq: b.Seq}
	if t := p.things[b.Thing]; t != nil {
		k.Gen, k.Fence, k.Holder, k.HolderLife, k.Over = t.gen, t.fence, t.owner, t.ownerLife, t.over
		k.RecFence, k.Write, k.Value = t.recFence, t.write, t.value
		k.Forgot = t.forgot
		k.Ready, k.Young = t.ready, min(max(t.young-p.now, 0), maxSpan)
	}
	p.send(from, k, out)
	// Who asks may have learnt of a thing that this elector has yet to hear of.
	if p.now >= p.voteFrom && b.Roster == p.roster && p.target(b.Thing) == p.roster {
		if t := p.things[b.Thing]; t == nil || t.ready < p.roster {
			if t = p.keep(b.Thing); t != nil && !t.learning {
				t.used = p.now
				p.learn(t)
			}
		}
	}
}

// known takes another elector's answer.
func (p *Part) known(from string, b body, out *fleet.Out) {
	p.heardFence(b.Fence)
	p.hearRoster(b.Roster)
	t := p.things[b.Thing]
	if t == nil || !t.learning || b.Seq != t.round {
		return
	}
	i := slices.IndexFunc(t.peers, func(q peer) bool { return q.name == from })
	if i < 0 {
		return
	}
	t.merge(b)
	q := &t.peers[i]
	before := *q
	*q = peer{name: q.name, isNew: q.isNew, old: q.old, round: t.round, life: b.Life, gen: b.Gen, ready: b.Ready, young: q.young}
	if b.Young > 0 {
		q.young = max(q.young, p.now+b.Young+p.margin)
	}
	// Twice the same life that is not ready, in two rounds: so it was at the moment when the later one began.
	if before.round > 0 && (before.round < t.round || before.steady == t.round) && before.life == b.Life && before.gen == b.Gen {
		q.steady = t.round
	}
	// The other one counts from a moment at which a majority had forgotten the thing, this life among them. So may this one:
	// until now it has voted for nothing and stored nothing. Guards against electors that each lack a majority of the same kind.
	if target := p.target(t.name); target > 0 && t.ready < target && b.Ready >= target &&
		slices.Contains(b.Forgot, forgetter(p.cfg.Self, p.cfg.Incarnation, t.gen)) {
		t.forgot = b.Forgot
		p.learntAll(t, target, q.young, out)
		return
	}
	p.learntEnough(t, out)
}

// learntAll ends the learning: from now on this process votes on the thing.
func (p *Part) learntAll(t *thing, target uint64, young int64, out *fleet.Out) {
	t.ready, t.young = target, max(t.young, young)
	p.counts.learnt++
	p.unlearn(t)
	p.free(t, out)
}

// merge takes over what is higher. A fence that two claim to own belongs to nobody: it is only a number that is used up.
func (t *thing) merge(b body) {
	switch {
	case b.Fence > t.fence:
		t.fence, t.owner, t.ownerLife, t.over = b.Fence, b.Holder, b.HolderLife, b.Over
	case b.Fence == t.fence && (b.Holder != t.owner || b.HolderLife != t.ownerLife):
		t.owner, t.ownerLife = "", 0
	case b.Fence == t.fence:
		t.over = t.over || b.Over
	}
	if b.RecFence > 0 {
		t.store(b.RecFence, b.Write, b.Value)
	}
}

// learntEnough decides whether what was learnt is all that there is, and asks at once anew where that would tell.
//
// It is, if a majority of the thing's other electors may vote under the roster: whatever this process voted for or stored in a
// life before has been voted for or stored by one of them. Or if a majority, this one included, has forgotten it at one
// moment; then, if the roster before is known, a majority of its electors must tell what they know, or have forgotten it, too.
func (p *Part) learntEnough(t *thing, out *fleet.Out) {
	target := p.target(t.name)
	electors := p.electors(t.name)
	if t.round == 0 {
		return
	}
	transfer := target == p.roster && p.old != nil
	if target < p.roster {
		electors = p.oldElectors(t.name)
	}
	count := func(set []string, need uint64) (ready, steady, fresh int, young int64) {
		for i := range t.peers {
			q := &t.peers[i]
			if q.round != t.round || !slices.Contains(set, q.name) {
				continue
			}
			young = max(young, q.young)
			switch {
			case q.ready >= need:
				ready++
			case q.steady == t.round:
				steady++
			default:
				fresh++
			}
		}
		return ready, steady, fresh, young
	}
	if t.ready >= target || target == 0 {
		// It need learn nothing; it asks for the others to learn, and stops when a majority of the electors has.
		if ready, _, _, _ := count(p.electors(t.name), p.roster); ready >= len(p.electors(t.name))/2+1 {
			p.unlearn(t)
		}
		return
	}
	done := func(young int64, anew, floor bool) {
		// Guards against a fence that goes back after all have forgotten: the floor is above all that were given before.
		if floor && p.floor > t.fence {
			t.fence, t.owner, t.ownerLife, t.over = p.floor, "", 0, false
		}
		if t.forgot = nil; anew {
			t.forgot = append(t.forgot, forgetter(p.cfg.Self, p.cfg.Incarnation, t.gen))
			for i := range t.peers {
				if q := &t.peers[i]; q.steady == t.round && slices.Contains(electors, q.name) && len(t.forgot) < maxForgot {
					t.forgot = append(t.forgot, forgetter(q.name, q.life, q.gen))
				}
			}
		}
		p.learntAll(t, target, young, out)
	}
	ready, steady, fresh, young := count(electors, target)
	if ready >= (len(electors)-1)/2+1 && ready <= len(electors)-1 {
		done(young, false, false)
		return
	}
	need := len(electors) / 2 // with this one, which has forgotten it, too, they are a majority
	again := false
	switch {
	case steady < need:
		again = steady+fresh >= need
	case !transfer:
		done(young, true, true)
		return
	default:
		before := p.oldElectors(t.name)
		had, lost, fresh, _ := count(before, p.roster-1)
		wants := len(before)/2 + 1
		if slices.Contains(before, p.cfg.Self) {
			if t.ready >= p.roster-1 {
				had++
			} else {
				lost++
				wants = (len(before)-1)/2 + 1
			}
		}
		switch {
		case had >= wants:
			done(p.now+p.wait(), true, false)
			return
		case lost >= len(before)/2+1:
			done(p.now+p.wait(), true, true)
			return
		}
		again = lost+fresh >= len(before)/2+1
	}
	if again {
		t.next = p.now // all that a further round needs is there
		p.learnTick(t, out)
	}
}
