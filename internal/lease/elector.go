package lease

import (
	"bytes"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"pewterwheel/internal/fleet"
)

// resource is an elector's state for one resource.
type resource struct {
	name string
	// The highest fence voted for or learned, its owner (empty: unknown), and whether the owner has released it.
	fence            uint64
	fenceOwner       string
	ownerIncarnation uint64
	released         bool
	// The current vote: for which process, and until when by the local clock. It may be for a lower fence than the
	// highest, because a higher fence can be learned from other electors while the vote is valid.
	votedFor         string
	votedIncarnation uint64
	voteExpiresAt    int64
	// The record: the fence under which it was stored, the number of the write, its bytes.
	recordFence, write uint64
	value              []byte

	// Roster under which this process may vote on the resource, because its state is complete; 0: the state has not
	// been learned since this process started or evicted the resource.
	readyRoster         uint64
	bothMajoritiesUntil int64    // until when votes report that a majority of the previous electors is required as well
	generation          uint64   // value of Module.generation when this state was created
	lastUsed            int64    // time of the creation or of the last claim; see Config.EvictAfter
	waiters             []string // refused claimants, to be notified when the resource is free
	// Progress of learning the state from other electors, in rounds of one learn request to each peer.
	learning      bool
	learnRound    uint64
	nextLearnAt   int64
	learnInterval int64
	learnStart    int64
	peers         []peer
	// Identifies the electors, this one included, that together had lost the resource's state when this process started
	// to vote with a new state; see forgottenStateID. Empty if the state was learned from others.
	forgottenStates []uint64
}

// forgottenStateID identifies the state of a process between two losses of a resource's state: its name, incarnation
// and generation.
func forgottenStateID(name string, incarnation, generation uint64) uint64 {
	return xxhash.Sum64String(name + "\x00" + strconv.FormatUint(incarnation, 36) + "\x00" +
		strconv.FormatUint(generation, 36))
}

// maxWaiters limits how many claimants are notified that a resource is free.
const maxWaiters = 8

// peer is the last answer of another elector to a learn request of this process.
type peer struct {
	name                    string
	inCurrent, inPrevious   bool   // whether it is an elector in the current and in the previous roster
	round                   uint64 // learn round of its last answer; 0: none
	incarnation, generation uint64
	readyRoster             uint64
	// Learn round of the last answer, if the peer also answered an earlier round with the same incarnation and
	// generation. With a readyRoster that is too low, the peer already was not ready when the last round began.
	unreadyRound        uint64
	bothMajoritiesUntil int64
}

// requiredRoster returns the roster under which this process must have learned a resource before it votes on it; 0: it
// is not an elector of the resource.
func (p *Module) requiredRoster(resourceName string) uint64 {
	if slices.Contains(p.electors(resourceName), p.cfg.Self) {
		return p.roster
	}
	if p.previousNames != nil && slices.Contains(p.previousElectors(resourceName), p.cfg.Self) {
		return p.roster - 1
	}
	return 0
}

// ensureResource returns the state of a resource and creates it if there is room; nil: there is none.
func (p *Module) ensureResource(resourceName string) *resource {
	if res := p.resources[resourceName]; res != nil {
		return res
	}
	if len(p.resources) >= p.cfg.MaxResources {
		var oldest *resource
		for _, res := range p.resources {
			if res.voteExpiresAt > p.now || res.learning || res.lastUsed+p.cfg.EvictAfter > p.now {
				continue
			}
			if oldest == nil || res.lastUsed < oldest.lastUsed || res.lastUsed == oldest.lastUsed &&
				res.name < oldest.name {
				oldest = res
			}
		}
		if oldest == nil {
			return nil
		}
		// An evicted resource is treated like one after a restart: its state is learned from the other electors before
		// the next vote, and they detect the loss by the higher generation.
		p.observeFence(oldest.fence)
		p.fenceFloor = max(p.fenceFloor, oldest.fence)
		delete(p.resources, oldest.name)
		p.generation++
		p.counts.evicted++
	}
	res := &resource{name: resourceName, generation: p.generation, lastUsed: p.now}
	p.resources[resourceName] = res
	return res
}

func (res *resource) addWaiter(who string) {
	if len(res.waiters) < maxWaiters && !slices.Contains(res.waiters, who) {
		res.waiters = append(res.waiters, who)
	}
}

// handleClaim decides on a claim or its renewal.
func (p *Module) handleClaim(from string, msg body, out *fleet.Out) {
	p.observeFence(msg.Fence)
	p.observeRoster(msg.Roster)
	refuse := func(res *resource, why Reason, left int64) {
		p.counts.refusals++
		reply := body{Type: typRefuse, Thing: msg.Thing, Roster: p.highestRoster, Fence: msg.Fence, Seq: msg.Seq,
			Reason: why, RetryAfter: min(max(left, 0), maxDuration)}
		if res != nil {
			res.addWaiter(from)
			reply.HighestFence, reply.Holder, reply.HolderIncarnation, reply.Released = res.fence, res.fenceOwner,
				res.ownerIncarnation, res.released
			if why == Taken {
				reply.Holder, reply.HolderIncarnation = res.votedFor, res.votedIncarnation
			}
		}
		p.send(from, reply, out)
	}
	if msg.Roster > p.roster+1 {
		refuse(nil, NewerRoster, 0)
		return
	}
	// If claims under an older roster got votes, majorities of two rosters could have no elector in common.
	if msg.Roster < p.highestRoster && !p.overrides.noRosterCheck {
		refuse(nil, OlderRoster, 0)
		return
	}
	required := p.requiredRoster(msg.Thing)
	if required == 0 || required < p.roster && msg.Roster > p.roster {
		refuse(nil, NoElector, 0)
		return
	}
	res := p.ensureResource(msg.Thing)
	if res == nil {
		refuse(nil, Full, 0)
		return
	}
	res.lastUsed = p.now
	// A vote that this process cast before its restart, and has no record of, may still be valid.
	if p.now < p.voteFrom {
		p.startLearning(res)
		refuse(res, Waiting, p.voteFrom-p.now)
		return
	}
	if res.readyRoster < required && p.overrides.noRecovery {
		res.readyRoster = required
	}
	if res.readyRoster < required {
		p.startLearning(res)
		p.tickLearning(res, out)
	}
	if res.readyRoster < required {
		refuse(res, Learning, 0)
		return
	}
	if res.voteExpiresAt > p.now && (res.votedFor != from || res.votedIncarnation != msg.Incarnation) &&
		!p.overrides.voteTwice {
		refuse(res, Taken, res.voteExpiresAt-p.now)
		return
	}
	same := msg.Fence == res.fence && res.fenceOwner == from && res.ownerIncarnation == msg.Incarnation && !res.released
	if msg.Fence <= res.fence && !same && !p.overrides.noFenceCheck {
		refuse(res, LowFence, 0)
		return
	}
	res.fence, res.fenceOwner, res.ownerIncarnation, res.released = msg.Fence, from, msg.Incarnation, false
	res.votedFor, res.votedIncarnation, res.voteExpiresAt = from, msg.Incarnation, p.now+p.cfg.Lease
	res.waiters = slices.DeleteFunc(res.waiters, func(s string) bool { return s == from })
	if msg.Type == typHold && (msg.Write > 0 || !p.overrides.noRecordRewrite) {
		res.storeRecord(msg.Fence, msg.Write, msg.Value)
	}
	p.counts.votes++
	vote := body{Type: typVote, Thing: msg.Thing, Roster: p.highestRoster, Fence: msg.Fence, Seq: msg.Seq,
		ReadyRoster:       res.readyRoster,
		BothMajoritiesFor: min(max(res.bothMajoritiesUntil-p.now, 0), maxDuration)}
	if msg.Type == typClaim {
		vote.RecordFence, vote.Write, vote.Value = res.recordFence, res.write, res.value
	}
	p.send(from, vote, out)
}

// storeRecord stores a record if it is newer than the stored one.
func (res *resource) storeRecord(fence, write uint64, value []byte) {
	if fence > res.recordFence || fence == res.recordFence && write > res.write {
		res.recordFence, res.write, res.value = fence, write, bytes.Clone(value)
	}
}

// handleRelease ends the vote for a claimant that gives up its fence, and makes sure that a delayed claim under that
// fence gets no vote.
func (p *Module) handleRelease(from string, msg body, out *fleet.Out) {
	res := p.resources[msg.Thing]
	if res == nil {
		return
	}
	ownVote := res.votedFor == from && res.votedIncarnation == msg.Incarnation
	switch {
	case msg.Fence == res.fence && res.fenceOwner == from && res.ownerIncarnation == msg.Incarnation:
		res.released = true
	case msg.Fence > res.fence && res.readyRoster > 0 && (ownVote || res.voteExpiresAt <= p.now):
		res.fence, res.fenceOwner, res.ownerIncarnation, res.released = msg.Fence, from, msg.Incarnation, true
	case msg.Fence < res.fence:
		return // a later claim of the same process, or another process, has the vote
	}
	if ownVote && res.fence <= msg.Fence {
		res.voteExpiresAt = 0
		p.notifyWaiters(res, out)
	}
}

// notifyWaiters tells refused claimants that they can ask again.
func (p *Module) notifyWaiters(res *resource, out *fleet.Out) {
	for _, w := range res.waiters {
		p.send(w, body{Type: typFree, Thing: res.name, Fence: res.fence}, out)
	}
	res.waiters = nil
}

// startLearning starts to ask the resource's other electors, those of the previous roster included, for their state of
// it. tickLearning sends the requests.
func (p *Module) startLearning(res *resource) {
	if res.learning {
		return
	}
	res.learning, res.learnRound, res.learnInterval, res.learnStart = true, 0, p.retryInterval, p.now
	res.nextLearnAt = max(p.now, p.voteFrom)
	res.peers = res.peers[:0]
	add := func(name string, current bool) {
		if name == p.cfg.Self {
			return
		}
		for i := range res.peers {
			if res.peers[i].name == name {
				res.peers[i].inCurrent, res.peers[i].inPrevious = res.peers[i].inCurrent || current,
					res.peers[i].inPrevious || !current
				return
			}
		}
		res.peers = append(res.peers, peer{name: name, inCurrent: current, inPrevious: !current})
	}
	for _, name := range p.electors(res.name) {
		add(name, true)
	}
	for _, name := range p.previousElectors(res.name) {
		add(name, false)
	}
	p.learning = append(p.learning, res)
}

func (p *Module) stopLearning(res *resource) {
	res.learning, res.peers = false, nil
	p.learning = slices.DeleteFunc(p.learning, func(o *resource) bool { return o == res })
}

// tickLearning starts a new learn round when it is due, and asks all peers again. Answers to earlier rounds then only
// serve to detect peers that stay unready (see peer.unreadyRound).
func (p *Module) tickLearning(res *resource, out *fleet.Out) {
	if !res.learning || p.now < res.nextLearnAt {
		return
	}
	required := p.requiredRoster(res.name)
	if res.readyRoster == 0 && (required == 0 || p.now-res.learnStart > 4*p.leaseWait() &&
		p.now-res.lastUsed > 4*p.leaseWait()) {
		p.stopLearning(res) // no longer wanted, and there is no local state to transfer
		return
	}
	res.learnRound++
	res.nextLearnAt = p.now + res.learnInterval + p.jitter(res.learnInterval)
	res.learnInterval = min(2*res.learnInterval, p.cfg.Lease/4)
	if res.readyRoster > 0 && res.learnRound > 6 {
		// Not urgent: no claimant waits for it, the state only has to be transferred eventually.
		res.learnInterval = 4 * p.cfg.Lease
	}
	for i := range res.peers {
		p.send(res.peers[i].name, body{Type: typLearn, Thing: res.name, Roster: p.roster,
			Incarnation: p.cfg.Incarnation, Seq: res.learnRound}, out)
	}
	p.checkLearned(res, out)
}

// handleLearn answers another elector's learn request with the local state. It first records the request's roster
// number, so that no claim under an older roster gets a vote from now on and what the requester learns from a majority
// stays complete.
func (p *Module) handleLearn(from string, msg body, out *fleet.Out) {
	if msg.Roster > p.roster+1 {
		return
	}
	p.observeRoster(msg.Roster)
	reply := body{Type: typKnown, Thing: msg.Thing, Roster: p.highestRoster, Incarnation: p.cfg.Incarnation,
		Generation: p.generation, Seq: msg.Seq}
	if res := p.resources[msg.Thing]; res != nil {
		reply.Generation, reply.Fence, reply.Holder, reply.HolderIncarnation, reply.Released = res.generation,
			res.fence, res.fenceOwner, res.ownerIncarnation, res.released
		reply.RecordFence, reply.Write, reply.Value = res.recordFence, res.write, res.value
		reply.Forgot = res.forgottenStates
		reply.ReadyRoster, reply.BothMajoritiesFor = res.readyRoster,
			min(max(res.bothMajoritiesUntil-p.now, 0), maxDuration)
	}
	p.send(from, reply, out)
	// The requester may have learned of a resource that this elector does not know yet.
	if p.now >= p.voteFrom && msg.Roster == p.roster && p.requiredRoster(msg.Thing) == p.roster {
		if res := p.resources[msg.Thing]; res == nil || res.readyRoster < p.roster {
			if res = p.ensureResource(msg.Thing); res != nil && !res.learning {
				res.lastUsed = p.now
				p.startLearning(res)
			}
		}
	}
}

// handleKnown handles another elector's answer to a learn request.
func (p *Module) handleKnown(from string, msg body, out *fleet.Out) {
	p.observeFence(msg.Fence)
	p.observeRoster(msg.Roster)
	res := p.resources[msg.Thing]
	if res == nil || !res.learning || msg.Seq != res.learnRound {
		return
	}
	i := slices.IndexFunc(res.peers, func(sender peer) bool { return sender.name == from })
	if i < 0 {
		return
	}
	res.merge(msg)
	sender := &res.peers[i]
	before := *sender
	*sender = peer{name: sender.name, inCurrent: sender.inCurrent, inPrevious: sender.inPrevious, round: res.learnRound,
		incarnation: msg.Incarnation, generation: msg.Generation, readyRoster: msg.ReadyRoster,
		bothMajoritiesUntil: sender.bothMajoritiesUntil}
	if msg.BothMajoritiesFor > 0 {
		sender.bothMajoritiesUntil = max(sender.bothMajoritiesUntil, p.now+msg.BothMajoritiesFor+p.driftMargin)
	}
	// An incarnation and generation that answers a round after an earlier one existed when the later round began. If it
	// is not ready now, it was not ready then either.
	if before.round > 0 && (before.round < res.learnRound || before.unreadyRound == res.learnRound) &&
		before.incarnation == msg.Incarnation && before.generation == msg.Generation {
		sender.unreadyRound = res.learnRound
	}
	// The sender votes with a new state because a majority, which included this process in its present
	// incarnation and generation, had lost the old one. This process may vote from now on too, since it has neither
	// voted nor stored anything until now. Otherwise electors could block each other, each lacking a majority in the
	// same state.
	if required := p.requiredRoster(res.name); required > 0 && res.readyRoster < required &&
		msg.ReadyRoster >= required &&
		slices.Contains(msg.Forgot, forgottenStateID(p.cfg.Self, p.cfg.Incarnation, res.generation)) {
		res.forgottenStates = msg.Forgot
		p.finishLearning(res, required, sender.bothMajoritiesUntil, out)
		return
	}
	p.checkLearned(res, out)
}

// finishLearning ends learning; from now on this process votes on the resource under the required roster. Up to the
// time until, its votes report that a majority of the previous electors is required as well.
func (p *Module) finishLearning(res *resource, required uint64, until int64, out *fleet.Out) {
	res.readyRoster, res.bothMajoritiesUntil = required, max(res.bothMajoritiesUntil, until)
	p.counts.learned++
	p.stopLearning(res)
	p.notifyWaiters(res, out)
}

// merge adopts a higher fence or a newer record that another elector reports. If the same fence is reported with
// another owner, it belongs to neither and only counts as used.
func (res *resource) merge(msg body) {
	switch {
	case msg.Fence > res.fence:
		res.fence, res.fenceOwner, res.ownerIncarnation, res.released = msg.Fence, msg.Holder, msg.HolderIncarnation,
			msg.Released
	case msg.Fence == res.fence && (msg.Holder != res.fenceOwner || msg.HolderIncarnation != res.ownerIncarnation):
		res.fenceOwner, res.ownerIncarnation = "", 0
	case msg.Fence == res.fence:
		res.released = res.released || msg.Released
	}
	if msg.RecordFence > 0 {
		res.storeRecord(msg.RecordFence, msg.Write, msg.Value)
	}
}

// checkLearned decides whether the learned state is complete, and starts another round at once if that could decide it.
//
// The state is complete if a majority of the resource's other electors is ready, that is, may vote under the required
// roster: whatever this process voted for or stored before its restart was also voted for or stored by one of them. It
// is also complete if a majority, including this process, had lost the state at one moment. Then a new state starts; if
// the previous roster is known, a majority of its electors must first report their state or have lost it too.
func (p *Module) checkLearned(res *resource, out *fleet.Out) {
	required := p.requiredRoster(res.name)
	electors := p.electors(res.name)
	if res.learnRound == 0 {
		return
	}
	// After a change of the roster, electors of the previous one may hold the state.
	checkPrevious := required == p.roster && p.previousNames != nil
	if required < p.roster {
		electors = p.previousElectors(res.name)
	}
	// count returns how many electors of the set answered in this round and are ready under neededRoster, are known to
	// have lost the state before the round began (unready), or are not ready but may have lost it only since
	// (unconfirmed), and until when they report that majorities of both rosters are required.
	count := func(set []string, neededRoster uint64) (ready, unready, unconfirmed int, bothUntil int64) {
		for i := range res.peers {
			q := &res.peers[i]
			if q.round != res.learnRound || !slices.Contains(set, q.name) {
				continue
			}
			bothUntil = max(bothUntil, q.bothMajoritiesUntil)
			switch {
			case q.readyRoster >= neededRoster:
				ready++
			case q.unreadyRound == res.learnRound:
				unready++
			default:
				unconfirmed++
			}
		}
		return ready, unready, unconfirmed, bothUntil
	}
	if res.readyRoster >= required || required == 0 {
		// This process is ready or no elector. It only asks so that the others start learning too, and stops when a
		// majority of the electors is ready.
		if ready, _, _, _ := count(p.electors(res.name), p.roster); ready >= len(p.electors(res.name))/2+1 {
			p.stopLearning(res)
		}
		return
	}
	// finish ends learning. newState says that a majority has lost the state, and keeps which electors those are;
	// useFloor raises the fence to the floor.
	finish := func(bothUntil int64, newState, useFloor bool) {
		// After all electors have lost their state, the fence must not go back: the floor is not below any fence
		// granted before.
		if useFloor && p.fenceFloor > res.fence {
			res.fence, res.fenceOwner, res.ownerIncarnation, res.released = p.fenceFloor, "", 0, false
		}
		if res.forgottenStates = nil; newState {
			res.forgottenStates = append(res.forgottenStates,
				forgottenStateID(p.cfg.Self, p.cfg.Incarnation, res.generation))
			for i := range res.peers {
				if q := &res.peers[i]; q.unreadyRound == res.learnRound && slices.Contains(electors, q.name) &&
					len(res.forgottenStates) < maxForgottenStates {
					res.forgottenStates = append(res.forgottenStates,
						forgottenStateID(q.name, q.incarnation, q.generation))
				}
			}
		}
		p.finishLearning(res, required, bothUntil, out)
	}
	ready, unready, unconfirmed, bothUntil := count(electors, required)
	if ready >= (len(electors)-1)/2+1 && ready <= len(electors)-1 {
		finish(bothUntil, false, false)
		return
	}
	needed := len(electors) / 2 // together with this process, which has lost the state too, they are a majority
	anotherRound := false
	switch {
	case unready < needed:
		anotherRound = unready+unconfirmed >= needed
	case !checkPrevious:
		finish(bothUntil, true, true)
		return
	default:
		previous := p.previousElectors(res.name)
		previousReady, previousLost, unconfirmed, _ := count(previous, p.roster-1)
		previousNeeded := len(previous)/2 + 1
		if slices.Contains(previous, p.cfg.Self) {
			if res.readyRoster >= p.roster-1 {
				previousReady++
			} else {
				previousLost++
				previousNeeded = (len(previous)-1)/2 + 1
			}
		}
		switch {
		case previousReady >= previousNeeded:
			finish(p.now+p.leaseWait(), true, false)
			return
		case previousLost >= len(previous)/2+1:
			finish(p.now+p.leaseWait(), true, true)
			return
		}
		anotherRound = previousLost+unconfirmed >= len(previous)/2+1
	}
	if anotherRound {
		res.nextLearnAt = p.now // enough electors are not ready; if they still are not in one more round, that confirms it
		p.tickLearning(res, out)
	}
}
