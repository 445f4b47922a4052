package route

import (
	"fmt"
	"slices"

	"pewterwheel/decide"
)

const (
	// burstSeconds bounds, in seconds, the unused rate that is kept for a class, and likewise for other classes. At
	// least one call is kept, because a low rate would otherwise admit none.
	burstSeconds = 0.5
	// A class keeps reserveFactor times its recent peak, plus one, free of its share of the open set-ups.
	reserveFactor = 1.25
	// peakDecay is the fraction of a peak that is forgotten each period.
	peakDecay = 0.1
	// updateInterval is the shortest interval between checks of held calls; period is the interval between updates of
	// the flows.
	updateInterval = 50_000
	period         = 1_000_000
	// The interval grows by another updateInterval for each hostsPerInterval hosts: each update asks the module about
	// every host.
	hostsPerInterval = 1_000
	// overloadFraction of a period's calls, plus one, may be moved on or lost without reducing the flow.
	overloadFraction = 0.02
	// An overloaded pool is next sent flowReduction times what it was observed to take.
	flowReduction = 0.95
	// Within nearCeiling below and above the flow at which a pool was last overloaded, the flow grows slower, by
	// slowFactor. Guards against oscillation: beyond that point the pool would be overloaded again at once.
	nearCeiling, slowFactor = 0.1, 0.2
	// pausePeriods is the number of periods after an overload before the flow grows: calls held there are sent first.
	pausePeriods = 2
	// maxHeldAtTarget is the maximum number of calls held at the pool to which a held call moves.
	maxHeldAtTarget = 2
	// maxFreeCalls is the maximum number of calls kept for reuse.
	maxFreeCalls = 1024
)

// pool is the router's state of a pool.
type pool struct {
	// The limit, shared among classes.
	rateLimit    float64
	maxOpen      int
	open         int // calls that were admitted and have no final answer, or whose attempt is outstanding
	sharedTokens float64
	lastRefill   int64
	classes      []classQuota

	// The flow: the fraction of the calls with this pool as first choice that is sent there.
	flow        float64
	carry       float64 // fraction of a call carried over to the next one by the division of calls
	ceiling     float64 // the flow at which it was last overloaded
	pauseLeft   int     // number of periods before the flow may grow
	upHosts     int     // number of hosts that are up
	totalShare  float64 // the sum of their shares
	usableHosts int     // number of those that the module does not avoid

	held    int // calls there without an outstanding attempt
	wanted  int // in this period: calls with this pool as first choice
	entered int
	sent    int // first attempts there
	moved   int // calls that moved to another pool
	lost    int // calls that had their final answer without an attempt there
}

// classQuota is a class's part of a pool's limit.
type classQuota struct {
	share         float64
	rate          float64
	tokens        float64 // calls that may be admitted now; negative after repeated attempts
	open          int
	peak          float64 // recent maximum of open set-ups, including those refused by the limit of open set-ups
	promisedUntil int64   // until when its rate is assigned to refused callers that were told when to retry
}

func (q *classQuota) burst() float64 { return max(1, burstSeconds*q.rate) }

// reserve returns the number of open set-ups kept for a class beyond those it has.
func (q *classQuota) reserve(maxOpen int) float64 {
	return max(0, min(q.share*float64(maxOpen), reserveFactor*q.peak+1)-float64(q.open))
}

// refill adds to each class the tokens that its rate has yielded, and to the shared tokens what exceeds a class's
// burst. This is how unused rate is lent; a class takes it back by using its own rate again.
func (p *pool) refill(now int64) {
	seconds := float64(now-p.lastRefill) / 1e6
	p.lastRefill = now
	for i := range p.classes {
		quota := &p.classes[i]
		quota.tokens += quota.rate * seconds
		if excess := quota.tokens - quota.burst(); excess > 0 && quota.share > 0 {
			quota.tokens -= excess
			p.sharedTokens += excess
		}
	}
	p.sharedTokens = min(p.sharedTokens, max(1, burstSeconds*p.rateLimit))
}

// admit takes a slot for a class, if the limit has one; borrowed reports whether it used the rate of other classes.
func (p *pool) admit(now int64, class int) (ok, borrowed bool) {
	p.refill(now)
	quota := &p.classes[class]
	if p.open >= p.maxOpen || float64(quota.open) >= quota.share*float64(p.maxOpen) && !p.canLend(class) {
		quota.peak = min(quota.peak+1, quota.share*float64(p.maxOpen))
		return false, false
	}
	switch {
	case quota.tokens >= 1:
		quota.tokens--
	case p.sharedTokens >= 1:
		p.sharedTokens--
		borrowed = true
	default:
		return false, false
	}
	p.open++
	quota.open++
	quota.peak = max(quota.peak, float64(quota.open))
	return true, borrowed
}

// canLend reports whether an open set-up is available beyond those kept for other classes.
func (p *pool) canLend(class int) bool {
	reserved := 0.0
	for i := range p.classes {
		if i != class {
			reserved += p.classes[i].reserve(p.maxOpen)
		}
	}
	return float64(p.maxOpen-p.open)-reserved >= 1
}

func (p *pool) release(class int) {
	p.open--
	p.classes[class].open--
}

// charge takes a token for a repeated attempt, down to a debt of one burst.
func (p *pool) charge(class int) {
	quota := &p.classes[class]
	quota.tokens = max(quota.tokens-1, -quota.burst())
}

// takesNext reports whether the next call goes to the pool. Calls are divided evenly, not at random.
func (p *pool) takesNext() bool {
	if p.flow >= 1 {
		return true
	}
	p.carry += p.flow
	if p.carry >= 1 {
		p.carry--
		return true
	}
	return false
}

// choosePool takes a slot for a new call of a class in the first usable pool that takes the next call and has room,
// otherwise in a pool that was only passed over. If no pool is usable, calls wait at the first one.
func (r *Router) choosePool(class int) (int, bool) {
	pools := r.cfg.Classes[class].Pools
	first := true
	for i, n := range pools {
		p := &r.pools[n]
		if p.usableHosts == 0 {
			continue
		}
		last := !slices.ContainsFunc(pools[i+1:], func(n int) bool { return r.pools[n].usableHosts > 0 })
		if first {
			p.wanted++
			first = false
		}
		if last || p.takesNext() {
			if r.admit(n, class) {
				return n, true
			}
		}
	}
	for _, n := range pools {
		if r.pools[n].usableHosts > 0 && r.admit(n, class) {
			return n, true
		}
	}
	if first { // no pool is usable
		for _, up := range []bool{true, false} {
			for _, n := range pools {
				if (r.pools[n].upHosts > 0) == up && r.admit(n, class) {
					return n, true
				}
			}
		}
	}
	return 0, false
}

func (r *Router) admit(pool, class int) bool {
	ok, borrowed := r.pools[pool].admit(r.now, class)
	if ok && borrowed {
		r.Counts.Borrowed++
	}
	return ok
}

// retryAfter returns the retry delay for a call that no limit has room for: the time until the rate of its class
// admits it, after the callers that were given a time before. Guards against all of them returning at once.
func (r *Router) retryAfter(class int) int64 {
	if !r.settings.RetryAdvice {
		return 0
	}
	quota := &r.pools[r.cfg.Classes[class].Pools[0]].classes[class]
	maxDelay := r.settings.MaxRetryAfter
	if quota.rate <= 0 {
		return maxDelay
	}
	next := max(quota.promisedUntil, r.now+int64(max(0, 1-quota.tokens)/quota.rate*1e6)) + int64(1e6/quota.rate)
	if next-r.now >= maxDelay {
		return maxDelay
	}
	quota.promisedUntil = next
	return next - r.now
}

// update moves held calls and updates the flows, several times a second.
func (r *Router) update() {
	if r.now-r.lastUpdate < updateInterval*int64(1+len(r.hostOrder)/hostsPerInterval) {
		return
	}
	r.lastUpdate = r.now
	r.updateColdHosts()
	r.countHosts()
	r.heldCalls = slices.DeleteFunc(r.heldCalls, func(c *call) bool {
		c.inHeldCalls = !c.finished && !c.outstanding
		if c.finished && r.calls[c.id] != c && len(r.freeCalls) < maxFreeCalls {
			r.freeCalls = append(r.freeCalls, c) // it was removed from calls, and this list held the last reference
		}
		return !c.inHeldCalls
	})
	r.heldCopy = append(r.heldCopy[:0], r.heldCalls...)
	for _, c := range r.heldCopy {
		if !c.finished && !c.outstanding {
			r.tryMove(c)
		}
	}
	if r.now-r.lastPeriod >= period {
		r.lastPeriod = r.now
		if len(r.calls) == 0 { // release memory after a burst
			r.freeCalls, r.heldCopy = nil, nil
		}
		for i := range r.pools {
			r.updateFlow(i)
		}
	}
}

// countHosts counts the hosts that are up and usable.
func (r *Router) countHosts() {
	for i := range r.pools {
		r.pools[i].upHosts, r.pools[i].usableHosts, r.pools[i].totalShare = 0, 0, 0
	}
	for _, h := range r.hostOrder {
		if h.state != decide.Up || h.poolIndex >= len(r.pools) {
			continue
		}
		p := &r.pools[h.poolIndex]
		p.upHosts++
		p.totalShare += h.Share
		if h.hidden || !r.module.Avoids(h.id) {
			p.usableHosts++
		}
	}
}

// tryMove moves a held call to a later pool if it has waited long enough, or to any pool if its own has no usable
// host left. It does not move a call if that could repeat an attempt that may have run, or during the guard time.
func (r *Router) tryMove(c *call) {
	p := &r.pools[c.pool]
	if p.usableHosts > 0 && r.now-c.entered < r.cfg.MoveAfter || r.now < c.notBefore ||
		c.mayHaveRun && r.settings.Classes[c.class].Effect != decide.Repeatable {
		return
	}
	pools := r.cfg.Classes[c.class].Pools
	for i, n := range pools {
		target := &r.pools[n]
		if n == c.pool || target.usableHosts == 0 || target.held >= maxHeldAtTarget ||
			p.usableHosts > 0 && i < slices.Index(pools, c.pool) {
			continue
		}
		if !r.admit(n, c.class) {
			continue
		}
		p.moved++
		r.Counts.Moved++
		p.held--
		p.release(c.class)
		// The module forgets the call: no attempt is outstanding, and the router keeps what is left of earlier ones.
		r.forward(decide.Event{Kind: decide.CallerLeft, Call: c.id})
		c.earlierAttempts = c.attempts
		r.enterPool(c, n)
		return
	}
}

// updateFlow sets the fraction of a pool's calls that is sent there: what the pool was observed to take, while calls
// have to move on from it or are lost there; otherwise one step more than before.
func (r *Router) updateFlow(n int) {
	p := &r.pools[n]
	previous := p.flow
	observed := float64(p.sent) / float64(max(1, p.wanted))
	overloaded := p.wanted > 0 && float64(p.moved+p.lost) > 1+overloadFraction*float64(p.entered)
	switch {
	// In the period after a reduction, calls held before it still move on: that is no reason for another reduction.
	case overloaded && (p.pauseLeft < pausePeriods || observed < p.flow/2):
		p.ceiling = max(r.cfg.MinFlow, min(p.flow, observed))
		p.flow = max(r.cfg.MinFlow, min(p.flow, flowReduction*observed))
		p.pauseLeft = pausePeriods
	case p.pauseLeft > 0:
		p.pauseLeft--
	default:
		step := r.cfg.ReturnRate * period / 1e6
		if p.flow > p.ceiling*(1-nearCeiling) && p.flow < p.ceiling*(1+nearCeiling) {
			step *= slowFactor
		}
		p.flow = min(1, p.flow+step)
	}
	if (previous >= 1) != (p.flow >= 1) {
		text := fmt.Sprintf("spill from pool %s, fraction %.2f of its calls", r.cfg.Pools[n].Name, 1-p.flow)
		if p.flow >= 1 {
			text = "spill ended at pool " + r.cfg.Pools[n].Name
		}
		r.actions = append(r.actions, decide.Action{Kind: decide.Log, Text: text})
	}
	p.wanted, p.entered, p.sent, p.moved, p.lost = 0, 0, 0, 0, 0
	for i := range p.classes {
		quota := &p.classes[i]
		quota.peak = max(float64(quota.open), quota.peak*(1-peakDecay))
	}
}

// Flow returns the fraction of the calls with a pool as first choice that is sent there now.
func (r *Router) Flow(pool int) float64 { return r.pools[pool].flow }
