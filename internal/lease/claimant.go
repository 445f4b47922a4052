package lease

import (
	"bytes"
	"math"
	"slices"
	"strings"

	"pewterwheel/internal/fleet"
)

// phase is the state of a claim.
type phase uint8

const (
	backingOff      phase = iota // until nextAction, or until an elector reports that the resource is free
	requestingVotes              // requesting votes under a new fence
	storingRecord                // has the votes and stores the learned record under its own fence
	holding
)

// claim is the state of this process's claim to one resource, from Claim to Release.
type claim struct {
	resource       string
	phase          phase
	fence          uint64 // of the attempt or the grant
	highestFence   uint64 // highest fence seen for the resource
	holderHint     hint
	expiresAt      int64 // the lease is held only before this time; 0: not held
	nextAction     int64 // time of the next retry or renewal
	attemptStart   int64 // start time of the current attempt
	lastBroadcast  int64 // time of the last request to all electors
	retryInterval  int64 // current delay between retries
	failedAttempts uint  // consecutive failed attempts
	notedReason    Reason

	voters      []voter
	requests    [16]request // most recent requests, indexed by sequence number
	askPrevious bool        // the electors of the previous roster are asked as well

	// Records: the newest that the voters reported, the one being stored, the next to be stored, and the last stored.
	learnedRecord, inFlight, queued, stored record
	learnedFence                            uint64
	lastWrite                               uint64 // number of the newest write requested
}

type record struct {
	write uint64 // 0: none
	value []byte
}

// request is a message sent to the electors: when it was sent and which write it carried.
type request struct {
	seq    uint64
	sentAt int64
	write  uint64
	isHold bool
}

// voter is the claimant's view of an elector during the current attempt. A time of 0 means never.
type voter struct {
	name                  string
	inCurrent, inPrevious bool
	voted                 bool
	voteSentAt            int64 // send time of the newest request that it voted for
	stored                bool
	storedSentAt          int64 // send time and write number of the newest request whose record it stored
	storedWrite           uint64
	needsPrevious         bool // it reports that a majority of the previous electors is still required
	// It has learned the resource under the request's roster and votes as one of that roster's electors.
	votesInCurrent bool
	// Why it refuses to vote, until when, and which process it votes for.
	reason       Reason
	blockedUntil int64
	holder       string
	holderFence  uint64
}

func (p *Module) findClaim(resource string) *claim {
	if i, ok := p.claimIndex(resource); ok {
		return p.claims[i]
	}
	return nil
}

func (p *Module) claimIndex(resource string) (int, bool) {
	return slices.BinarySearchFunc(p.claims, resource,
		func(c *claim, s string) int { return strings.Compare(c.resource, s) })
}

// Claim requests a lease on a resource and keeps renewing it until Release. An empty name, or one longer than MaxName,
// is ignored.
func (p *Module) Claim(now int64, resource string, out *fleet.Out) {
	p.advanceClock(now)
	i, ok := p.claimIndex(resource)
	if ok || len(resource) == 0 || len(resource) > MaxName {
		return
	}
	c := &claim{resource: resource, nextAction: p.now}
	p.resetVoters(c)
	p.claims = slices.Insert(p.claims, i, c)
	p.tickClaim(c, out)
	p.flush(out)
}

// Release gives up the lease, so that another process can claim the resource at once. A write that is not stored yet
// may or may not take effect.
func (p *Module) Release(now int64, resource string, out *fleet.Out) {
	p.advanceClock(now)
	i, ok := p.claimIndex(resource)
	if !ok {
		return
	}
	c := p.claims[i]
	p.claims = slices.Delete(p.claims, i, i+1)
	if c.phase == holding {
		p.counts.releases++
		out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Lease, What: "released", Thing: resource, Fence: c.fence})
		p.publishPending = true
	}
	p.sendRelease(c, out)
	p.flush(out)
}

// sendRelease tells the electors that a fence is given up.
func (p *Module) sendRelease(c *claim, out *fleet.Out) {
	if c.phase == backingOff {
		return
	}
	for i := range c.voters {
		if v := &c.voters[i]; v.inCurrent || c.askPrevious {
			p.send(v.name, body{Type: typRelease, Thing: c.resource, Roster: p.roster, Incarnation: p.cfg.Incarnation,
				Fence: c.fence}, out)
		}
	}
}

// Held returns the current grant of this process; if it returns false, the process may not act.
func (p *Module) Held(now int64, resource string) (Grant, bool) {
	c := p.findClaim(resource)
	if c == nil || c.phase != holding || max(now, p.now) >= c.expiresAt {
		return Grant{}, false
	}
	return Grant{Fence: c.fence, Until: c.expiresAt, Value: c.stored.value, Write: c.stored.write}, true
}

// Write replaces the record of a resource while its lease is held. The errors are *NotHeldError and *RecordSizeError.
// The number is valid under the grant's fence: the write has taken effect once Held returns this number or a higher one
// under the same fence as at the time of the call.
func (p *Module) Write(now int64, resource string, value []byte, out *fleet.Out) (uint64, error) {
	p.advanceClock(now)
	if len(value) > MaxRecord {
		return 0, &RecordSizeError{Resource: resource, Size: len(value)}
	}
	if _, ok := p.Held(now, resource); !ok {
		return 0, &NotHeldError{Resource: resource}
	}
	c := p.findClaim(resource)
	c.lastWrite++
	rec := record{c.lastWrite, bytes.Clone(value)}
	if c.inFlight.write > c.stored.write {
		// One write at a time: otherwise a holder that writes often would never see any of its writes stored.
		c.queued = rec
	} else {
		c.inFlight = rec
		p.sendRequest(c, true, out)
	}
	p.flush(out)
	return rec.write, nil
}

// dueAt returns when the claim needs its next tick: at its next retry or renewal, or at its expiry.
func (c *claim) dueAt() int64 {
	if c.phase == holding {
		return min(c.nextAction, c.expiresAt)
	}
	return c.nextAction
}

// resetVoters rebuilds the list of voters from the current rosters and discards all earlier answers.
func (p *Module) resetVoters(c *claim) {
	c.voters, c.requests = nil, [16]request{}
	for _, name := range p.electors(c.resource) {
		c.voters = append(c.voters, voter{name: name, inCurrent: true})
	}
	for _, name := range p.previousElectors(c.resource) {
		if i := slices.IndexFunc(c.voters, func(v voter) bool { return v.name == name }); i >= 0 {
			c.voters[i].inPrevious = true
		} else {
			c.voters = append(c.voters, voter{name: name, inPrevious: true})
		}
	}
	c.askPrevious = p.now < p.bothMajoritiesUntil
}

// tickClaim does what is due: expiry, a new attempt, a renewal or a retry.
func (p *Module) tickClaim(c *claim, out *fleet.Out) {
	if c.phase == holding && p.now >= c.expiresAt {
		p.counts.lapses++
		p.publishPending = true
		if c.lastWrite > c.stored.write {
			p.counts.lostWrites++
		}
		out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Lease, What: "lapsed", Thing: c.resource, Fence: c.fence,
			Until: c.expiresAt})
		p.sendRelease(c, out)
		c.phase, c.nextAction, c.failedAttempts = backingOff, p.now, 0
	}
	if p.now < c.nextAction {
		return
	}
	switch c.phase {
	case backingOff:
		p.startAttempt(c, out)
	case requestingVotes, storingRecord:
		// End the attempt early if another claimant has some of the votes, so that two claimants do not wait for each
		// other's votes.
		taken := slices.ContainsFunc(c.voters, func(v voter) bool {
			return v.reason == Taken &&
				p.now < v.blockedUntil
		})
		if age := p.now - c.attemptStart; age >= p.cfg.Lease/3 || taken && age >= p.cfg.Lease/16 {
			p.abandonAttempt(c, out)
			return
		}
		p.sendRequest(c, false, out)
	case holding:
		p.sendRequest(c, p.now-c.lastBroadcast >= p.cfg.Lease/3, out)
	}
}

// startAttempt requests votes under a fence higher than any seen so far.
func (p *Module) startAttempt(c *claim, out *fleet.Out) {
	p.counts.attempts++
	c.fence = max(c.highestFence, p.highestFence) + 1
	c.highestFence = c.fence
	p.observeFence(c.fence)
	p.resetVoters(c)
	c.phase, c.attemptStart, c.expiresAt = requestingVotes, p.now, 0
	c.learnedRecord, c.inFlight, c.queued, c.stored, c.learnedFence, c.lastWrite = record{}, record{}, record{},
		record{}, 0, 0
	p.sendRequest(c, true, out)
}

// sendRequest sends a request to all electors, or only to those that have not answered.
func (p *Module) sendRequest(c *claim, all bool, out *fleet.Out) {
	if all {
		c.lastBroadcast, c.retryInterval = p.now, p.retryInterval
	}
	if p.now < p.bothMajoritiesUntil {
		c.askPrevious = true
	}
	msg := p.newRequest(c)
	for i := range c.voters {
		if v := &c.voters[i]; (v.inCurrent || c.askPrevious) && (all || !c.answeredLatest(v)) {
			p.send(v.name, msg, out)
		}
	}
	c.nextAction = p.now + c.retryInterval + p.jitter(c.retryInterval/2)
	c.retryInterval = min(2*c.retryInterval, p.cfg.Lease/12)
	if c.phase == holding {
		c.nextAction = min(c.nextAction, max(c.lastBroadcast+p.cfg.Lease/3, p.now+1))
	} else {
		c.nextAction = min(c.nextAction, max(c.attemptStart+p.cfg.Lease/3, p.now+1))
	}
	if c.phase == holding && p.majorityAnsweredLatest(c) {
		c.nextAction = max(c.lastBroadcast+p.cfg.Lease/3, p.now+1)
	}
}

// newRequest records a request and returns its message.
func (p *Module) newRequest(c *claim) body {
	p.lastSeq++
	question := &c.requests[p.lastSeq%uint64(len(c.requests))]
	*question = request{seq: p.lastSeq, sentAt: p.now, isHold: c.phase != requestingVotes}
	msg := body{Type: typClaim, Thing: c.resource, Roster: p.roster, Incarnation: p.cfg.Incarnation, Fence: c.fence,
		Seq: p.lastSeq}
	if question.isHold {
		msg.Type, msg.RecordFence, msg.Write, msg.Value = typHold, c.fence, c.inFlight.write, c.inFlight.value
		question.write = c.inFlight.write
	}
	return msg
}

// answeredLatest reports whether the voter has answered the current request.
func (c *claim) answeredLatest(v *voter) bool {
	if c.phase == requestingVotes {
		return v.voted && v.voteSentAt >= c.lastBroadcast
	}
	return v.stored && v.storedSentAt >= c.lastBroadcast && v.storedWrite >= c.inFlight.write
}

// majorityAnsweredLatest reports whether a majority has answered the last request sent to all.
func (p *Module) majorityAnsweredLatest(c *claim) bool { return p.hasMajority(c, c.answeredLatest) }

// needsBothMajorities reports whether a majority of the previous electors is required as well.
func (p *Module) needsBothMajorities(c *claim) bool {
	if p.overrides.currentMajorityOnly {
		return false
	}
	if p.now < p.bothMajoritiesUntil {
		return true
	}
	for i := range c.voters {
		if v := &c.voters[i]; v.inCurrent && v.needsPrevious {
			return true
		}
	}
	return false
}

// hasMajority reports whether the condition holds for a majority of the electors, in both rosters where both are
// required.
func (p *Module) hasMajority(c *claim, condition func(*voter) bool) bool {
	var total, count, previousTotal, previousCount int
	for i := range c.voters {
		v := &c.voters[i]
		yes := 0
		if condition(v) {
			yes = 1
		}
		if v.inCurrent {
			total++
			if v.votesInCurrent || v.voteSentAt == 0 {
				count += yes
			}
		}
		if v.inPrevious {
			previousTotal, previousCount = previousTotal+1, previousCount+yes
		}
	}
	if total == 0 || count < p.majority(total) {
		return false
	}
	return !p.needsBothMajorities(c) || previousTotal > 0 && previousCount >= p.majority(previousTotal)
}

// voteDuration is how long a vote counts here, from the time its request was sent. It is shorter than at any elector by
// the drift margin.
func (p *Module) voteDuration() int64 {
	if p.overrides.noDriftMargin {
		return p.cfg.Lease
	}
	return p.cfg.Lease - p.driftMargin
}

// votesExpireAt returns until when a majority of the votes is valid.
func (p *Module) votesExpireAt(c *claim) int64 {
	majorityExpiry := func(included, counts func(*voter) bool) int64 {
		var sentTimes []int64
		total := 0
		for i := range c.voters {
			if v := &c.voters[i]; included(v) {
				if total++; v.voted && counts(v) {
					sentTimes = append(sentTimes, v.voteSentAt)
				}
			}
		}
		if total == 0 || len(sentTimes) < p.majority(total) {
			return math.MinInt64
		}
		slices.Sort(sentTimes)
		return sentTimes[len(sentTimes)-p.majority(total)] + p.voteDuration()
	}
	until := majorityExpiry(func(v *voter) bool { return v.inCurrent }, func(v *voter) bool { return v.votesInCurrent })
	if p.needsBothMajorities(c) {
		until = min(until, majorityExpiry(func(v *voter) bool { return v.inPrevious },
			func(*voter) bool { return true }))
	}
	return until
}

// handleReply handles a vote or a refusal.
func (p *Module) handleReply(from string, msg body, out *fleet.Out) {
	p.observeRoster(msg.Roster)
	p.observeFence(msg.HighestFence)
	c := p.findClaim(msg.Thing)
	if c == nil {
		return
	}
	c.highestFence = max(c.highestFence, msg.HighestFence)
	if msg.Type == typRefuse && msg.Holder != "" && msg.Holder != p.cfg.Self && !msg.Released &&
		msg.HighestFence >= c.holderHint.fence {
		c.holderHint = hint{msg.Holder, msg.HighestFence}
	}
	question := c.requests[msg.Seq%uint64(len(c.requests))]
	i := slices.IndexFunc(c.voters, func(v voter) bool { return v.name == from })
	if c.phase == backingOff || msg.Seq == 0 || question.seq != msg.Seq || msg.Fence != c.fence || i < 0 {
		return
	}
	v := &c.voters[i]
	if msg.Type == typRefuse {
		p.handleRefusal(c, v, msg, out)
		return
	}
	v.reason, v.blockedUntil = 0, 0
	sent := question.sentAt
	if p.overrides.countFromReply {
		sent = p.now
	}
	v.voted, v.voteSentAt = true, max(v.voteSentAt, sent)
	v.needsPrevious = msg.BothMajoritiesFor > 0
	v.votesInCurrent = msg.ReadyRoster >= p.roster
	if question.isHold && (!v.stored || sent >= v.storedSentAt) {
		v.stored, v.storedSentAt, v.storedWrite = true, sent, max(v.storedWrite, question.write)
	}
	if c.phase == requestingVotes && msg.RecordFence > 0 && (msg.RecordFence > c.learnedFence ||
		msg.RecordFence == c.learnedFence && msg.Write > c.learnedRecord.write) {
		c.learnedFence, c.learnedRecord = msg.RecordFence, record{msg.Write, msg.Value}
	}
	if v.needsPrevious && !c.askPrevious && slices.ContainsFunc(c.voters, func(v voter) bool { return v.inPrevious }) {
		c.askPrevious = true
		p.sendRequest(c, false, out)
	}
	p.advanceClaim(c, out)
}

// advanceClaim moves a claim to its next phase if a majority has answered.
func (p *Module) advanceClaim(c *claim, out *fleet.Out) {
	valid := func(sent int64) bool { return p.now < sent+p.voteDuration() }
	if c.phase == requestingVotes && p.hasMajority(c, func(v *voter) bool { return v.voted && valid(v.voteSentAt) }) {
		// Before it acts, the holder stores the learned record under its own fence. Otherwise a write that only a
		// minority has stored could be seen by one later holder and missed by the next.
		c.phase, c.inFlight, c.lastWrite = storingRecord, c.learnedRecord, c.learnedRecord.write
		if p.overrides.noRecordRewrite {
			c.stored, c.inFlight = c.learnedRecord, record{}
			p.grantLease(c, out)
		}
		p.sendRequest(c, true, out)
	}
	// A record counts as stored if a majority stored it in answer to requests younger than one lease: an elector that
	// has lost its state since then asks the others only after that time.
	recordStored := p.hasMajority(c, func(v *voter) bool {
		return v.stored && valid(v.storedSentAt) &&
			v.storedWrite >= c.inFlight.write
	})
	switch {
	case c.phase == storingRecord && recordStored:
		c.stored = c.inFlight
		p.grantLease(c, out)
	case c.phase == holding:
		if recordStored && c.inFlight.write > c.stored.write {
			c.stored = c.inFlight
			if c.queued.write > c.inFlight.write {
				c.inFlight = c.queued
				p.sendRequest(c, true, out)
			}
		}
		if until := p.votesExpireAt(c); until > c.expiresAt {
			c.expiresAt = until
			p.counts.renewals++
			if p.cfg.NoteRenewals {
				out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Lease, What: "renewed", Thing: c.resource,
					Fence: c.fence, Until: c.expiresAt})
			}
		}
		if p.majorityAnsweredLatest(c) {
			c.nextAction = max(c.lastBroadcast+p.cfg.Lease/3, p.now+1)
		}
	}
}

func (p *Module) grantLease(c *claim, out *fleet.Out) {
	until := p.votesExpireAt(c)
	if until <= p.now {
		return // too late; the request is repeated
	}
	c.phase, c.expiresAt, c.failedAttempts, c.notedReason = holding, until, 0, 0
	c.holderHint = hint{p.cfg.Self, c.fence}
	p.counts.grants++
	p.publishPending = true
	out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Lease, What: "granted", Thing: c.resource, Fence: c.fence,
		Until: until,
		N:     int64(c.stored.write)})
	c.nextAction = max(c.lastBroadcast+p.cfg.Lease/3, p.now+1)
}

// handleRefusal records why an elector does not vote, and abandons an attempt that can no longer succeed.
func (p *Module) handleRefusal(c *claim, v *voter, msg body, out *fleet.Out) {
	v.reason, v.holder, v.holderFence = msg.Reason, msg.Holder, msg.HighestFence
	switch msg.Reason {
	case Learning: // the elector sends a message when it has finished learning
		v.blockedUntil = 0
	case Taken, Waiting:
		v.blockedUntil = p.now + max(msg.RetryAfter, 1)
	case LowFence:
		v.blockedUntil = p.now + p.cfg.Lease
	default:
		v.blockedUntil = p.now + p.cfg.Lease/4
	}
	if c.phase == holding {
		return
	}
	if p.majorityPossible(c) {
		return
	}
	err := &RefusedError{Resource: c.resource, Elector: v.name, Reason: msg.Reason, RetryAfter: msg.RetryAfter}
	if c.notedReason != msg.Reason { // noted once per run of equal reasons, and again after a grant
		c.notedReason = msg.Reason
		out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Lease, What: "refused", Thing: c.resource, Fence: c.fence,
			N:    int64(msg.Reason),
			Text: err.Error() + "; " + err.Advice()})
	}
	p.abandonAttempt(c, out)
}

// majorityPossible reports whether the electors that have not refused can still form a majority.
func (p *Module) majorityPossible(c *claim) bool {
	return p.hasMajority(c, func(v *voter) bool { return p.now >= v.blockedUntil })
}

// abandonAttempt releases the votes of a failed attempt and backs off: until the votes for a holder expire if a
// majority votes for one, else for a random delay that grows with the number of failed attempts, for claimants that
// took votes from each other.
func (p *Module) abandonAttempt(c *claim, out *fleet.Out) {
	p.sendRelease(c, out)
	c.phase = backingOff
	c.failedAttempts++
	delay := p.retryInterval << min(c.failedAttempts, 5)
	delay = min(delay, p.cfg.Lease/4)
	c.nextAction = p.now + delay/4 + p.jitter(delay)
	var expiries []int64
	total, lowFence := 0, false
	holder := ""
	for i := range c.voters {
		v := &c.voters[i]
		if !v.inCurrent {
			continue
		}
		total++
		lowFence = lowFence || v.reason == LowFence && p.now < v.blockedUntil
		if p.now >= v.blockedUntil || v.reason != Taken && v.reason != Waiting {
			continue
		}
		if v.reason == Taken {
			if holder != "" && holder != v.holder {
				continue
			}
			holder = v.holder
		}
		expiries = append(expiries, v.blockedUntil)
	}
	switch {
	case len(expiries) >= total/2+1:
		// This many votes must expire before these electors and the remaining ones form a majority.
		slices.Sort(expiries)
		c.failedAttempts = 1
		c.nextAction = max(expiries[total/2-(total-len(expiries))], p.now) + p.jitter(p.cfg.Lease/16)
	case lowFence && c.failedAttempts <= 1:
		c.nextAction = p.now // the refusal reported the highest fence; retry at once
	case lowFence && c.failedAttempts <= 2:
		c.nextAction = p.now + p.jitter(p.retryInterval)
	}
}

// handleFree handles the message of an elector that refused earlier and can vote now.
func (p *Module) handleFree(from string, msg body, out *fleet.Out) {
	c := p.findClaim(msg.Thing)
	if c == nil {
		return
	}
	c.highestFence = max(c.highestFence, msg.Fence)
	p.observeFence(msg.Fence)
	i := slices.IndexFunc(c.voters, func(v voter) bool { return v.name == from })
	if i < 0 {
		return
	}
	v := &c.voters[i]
	if c.phase == backingOff {
		c.nextAction = min(c.nextAction, p.now+p.jitter(p.retryInterval<<min(c.failedAttempts, 5)))
		if c.nextAction <= p.now {
			p.tickClaim(c, out)
		}
		return
	}
	v.blockedUntil, v.reason = 0, 0
	if (v.inCurrent || c.askPrevious) && !c.answeredLatest(v) {
		p.send(v.name, p.newRequest(c), out)
	}
}
