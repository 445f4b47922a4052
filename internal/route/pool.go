package route

import (
	"fmt"
	"slices"

	"pewterwheel/decide"
)

const (
	// burstTime is for how long a class's unused rate is kept for itself, and at the most for others. At least one
	// call is, or a low rate would let none in.
	burstTime = 0.5
	// reserveOver times its recent peak, and one, is what a class keeps free of its share of the open set-ups.
	reserveOver = 1.25
	// peakFade is the part of a peak that is forgotten each period.
	peakFade = 0.1
	// lookEvery is how often held calls are looked at, at the most; period is how often flows are set.
	lookEvery = 50_000
	period    = 1_000_000
	// hostsALook hosts more, and looks are as much rarer: each look asks the module about every host.
	hostsALook = 1_000
	// strainPart of a period's calls, and one, may be moved on or lost without a reason to send fewer.
	strainPart = 0.02
	// underFlow times what a strained pool was seen to take is what it is sent next.
	underFlow = 0.95
	// nearCeiling: from so far below the flow at which a pool was last strained, to as far above, the flow grows
	// slower, by slowly. Guards against swinging: past the point it would be strained again at once.
	nearCeiling, slowly = 0.1, 0.2
	// restPeriods pass after a strain before the flow grows: what was held there goes out first.
	restPeriods = 2
	// queueAhead calls at most may be held at the pool to which a held call moves.
	queueAhead = 2
	// maxSpare calls at most are kept to be used again.
	maxSpare = 1024
)

// pool is what the router knows of a pool.
type pool struct {
	// The limit, shared out among classes.
	rate    float64
	most    int
	open    int // calls that have entered and have no final answer, or whose attempt is out
	common  float64
	filled  int64
	classes []lot

	// The flow: which part of the calls whose first choice it is go there.
	flow    float64
	carry   float64 // what the division of calls owes the pool
	ceiling float64 // the flow at which it was last strained
	rest    int     // periods before the flow may grow
	up      int     // hosts that are up
	size    float64 // what they make up together
	live    int     // those of them that the module does not leave alone

	held    int // calls there without an attempt out
	wanted  int // in this period: calls whose first choice it was
	entered int
	sent    int // first attempts there
	moved   int // calls that moved on
	lost    int // calls that had their final answer without an attempt there
}

// lot is a class's part of a pool's limit.
type lot struct {
	share   float64
	rate    float64
	tokens  float64 // calls in hand; less than none after repeats
	open    int
	peak    float64 // most open of late, and what was refused for want of it
	promise int64   // until when its rate is told away to callers that were refused
}

func (l *lot) burst() float64 { return max(1, burstTime*l.rate) }

// reserve is how many open set-ups are kept for a class beyond those it has.
func (l *lot) reserve(most int) float64 {
	return max(0, min(l.share*float64(most), reserveOver*l.peak+1)-float64(l.open))
}

// fill gives each class what its rate has brought since, and to all in common what a class has no room for: that is
// how rate is lent, and that a class uses its own again is how it is taken back.
func (p *pool) fill(now int64) {
	passed := float64(now-p.filled) / 1e6
	p.filled = now
	for i := range p.classes {
		l := &p.classes[i]
		l.tokens += l.rate * passed
		if over := l.tokens - l.burst(); over > 0 && l.share > 0 {
			l.tokens -= over
			p.common += over
		}
	}
	p.common = min(p.common, max(1, burstTime*p.rate))
}

// admit takes a place for a class, if the limit has one; borrowed tells whether others' rate paid for it.
func (p *pool) admit(now int64, class int) (ok, borrowed bool) {
	p.fill(now)
	l := &p.classes[class]
	if p.open >= p.most || float64(l.open) >= l.share*float64(p.most) && !p.spare(class) {
		l.peak = min(l.peak+1, l.share*float64(p.most))
		return false, false
	}
	switch {
	case l.tokens >= 1:
		l.tokens--
	case p.common >= 1:
		p.common--
		borrowed = true
	default:
		return false, false
	}
	p.open++
	l.open++
	l.peak = max(l.peak, float64(l.open))
	return true, borrowed
}

// spare tells whether there is an open set-up to be had beyond what is kept for other classes.
func (p *pool) spare(class int) bool {
	kept := 0.0
	for i := range p.classes {
		if i != class {
			kept += p.classes[i].reserve(p.most)
		}
	}
	return float64(p.most-p.open)-kept >= 1
}

func (p *pool) leave(class int) {
	p.open--
	p.classes[class].open--
}

// charge takes rate for a repeated attempt, down to a burst of debt.
func (p *pool) charge(class int) {
	l := &p.classes[class]
	l.tokens = max(l.tokens-1, -l.burst())
}

// turn tells whether the next call goes to the pool. Calls are divided evenly and not by chance.
func (p *pool) turn() bool {
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

// choose takes a place for a new call of a class in the first pool that can be used, whose turn it is and that has
// room; or, if none has, in one that was only passed over. With no pool to be used at all, calls wait for the first.
func (r *Router) choose(class int) (int, bool) {
	pools := r.cfg.Classes[class].Pools
	first := true
	for i, n := range pools {
		p := &r.pools[n]
		if p.live == 0 {
			continue
		}
		last := !slices.ContainsFunc(pools[i+1:], func(n int) bool { return r.pools[n].live > 0 })
		if first {
			p.wanted++
			first = false
		}
		if last || p.turn() {
			if r.admit(n, class) {
				return n, true
			}
		}
	}
	for _, n := range pools {
		if r.pools[n].live > 0 && r.admit(n, class) {
			return n, true
		}
	}
	if first { // nothing can be used
		for _, up := range []bool{true, false} {
			for _, n := range pools {
				if (r.pools[n].up > 0) == up && r.admit(n, class) {
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

// comeBack is the time to stay away for a call that no limit has room for: until the rate of its class reaches it,
// behind those who were told a time before. Guards against all of them coming back at once.
func (r *Router) comeBack(class int) int64 {
	if !r.set.RetryAdvice {
		return 0
	}
	l := &r.pools[r.cfg.Classes[class].Pools[0]].classes[class]
	most := r.set.MaxRetryAfter
	if l.rate <= 0 {
		return most
	}
	next := max(l.promise, r.now+int64(max(0, 1-l.tokens)/l.rate*1e6)) + int64(1e6/l.rate)
	if next-r.now >= most {
		return most
	}
	l.promise = next
	return next - r.now
}

// look moves held calls on and sets the flows, several times a second.
func (r *Router) look() {
	if r.now-r.looked < lookEvery*int64(1+len(r.order)/hostsALook) {
		return
	}
	r.looked = r.now
	r.gates()
	r.count()
	r.held = slices.DeleteFunc(r.held, func(c *call) bool {
		c.listed = !c.over && !c.out
		if c.over && r.calls[c.id] != c && len(r.spare) < maxSpare {
			r.spare = append(r.spare, c) // it was forgotten, and this list was the last to hold it
		}
		return !c.listed
	})
	r.looking = append(r.looking[:0], r.held...)
	for _, c := range r.looking {
		if !c.over && !c.out {
			r.consider(c)
		}
	}
	if r.now-r.periods >= period {
		r.periods = r.now
		if len(r.calls) == 0 { // after a burst
			r.spare, r.looking = nil, nil
		}
		for i := range r.pools {
			r.setFlow(i)
		}
	}
}

// count counts the hosts that can be used.
func (r *Router) count() {
	for i := range r.pools {
		r.pools[i].up, r.pools[i].live, r.pools[i].size = 0, 0, 0
	}
	for _, h := range r.order {
		if h.state != decide.Up || h.place >= len(r.pools) {
			continue
		}
		p := &r.pools[h.place]
		p.up++
		p.size += h.Share
		if h.hidden || !r.inner.Avoids(h.id) {
			p.live++
		}
	}
}

// consider moves a held call to a later pool if it has waited long enough, or to any if its own has no host left to
// it. It stays where a move could repeat what may have run, and while the guard lasts.
func (r *Router) consider(c *call) {
	p := &r.pools[c.pool]
	if p.live > 0 && r.now-c.entered < r.cfg.Wait || r.now < c.notBefore ||
		c.ran && r.set.Classes[c.class].Effect != decide.Free {
		return
	}
	pools := r.cfg.Classes[c.class].Pools
	for i, n := range pools {
		t := &r.pools[n]
		if n == c.pool || t.live == 0 || t.held >= queueAhead || p.live > 0 && i < slices.Index(pools, c.pool) {
			continue
		}
		if !r.admit(n, c.class) {
			continue
		}
		p.moved++
		r.Counts.Moved++
		p.held--
		p.leave(c.class)
		// The module forgets it: no attempt is out, and what earlier ones leave to be kept is kept here.
		r.forward(decide.Event{Kind: decide.Gone, Call: c.id})
		c.base = c.sends
		r.enter(c, n)
		return
	}
}

// setFlow sets which part of the calls that would go to a pool do so: what it was seen to take, while calls have to
// move on from it or are lost there; else a step more than before.
func (r *Router) setFlow(n int) {
	p := &r.pools[n]
	was := p.flow
	seen := float64(p.sent) / float64(max(1, p.wanted))
	strain := p.wanted > 0 && float64(p.moved+p.lost) > 1+strainPart*float64(p.entered)
	switch {
	// In the period after a cut, what was held before it still moves on: that is no reason for another one.
	case strain && (p.rest < restPeriods || seen < p.flow/2):
		p.ceiling = max(r.cfg.Least, min(p.flow, seen))
		p.flow = max(r.cfg.Least, min(p.flow, underFlow*seen))
		p.rest = restPeriods
	case p.rest > 0:
		p.rest--
	default:
		step := r.cfg.Return * period / 1e6
		if p.flow > p.ceiling*(1-nearCeiling) && p.flow < p.ceiling*(1+nearCeiling) {
			step *= slowly
		}
		p.flow = min(1, p.flow+step)
	}
	if (was >= 1) != (p.flow >= 1) {
		text := fmt.Sprintf("spill from %s part %.2f", r.cfg.Pools[n].Name, 1-p.flow)
		if p.flow >= 1 {
			text = "spill ends at " + r.cfg.Pools[n].Name
		}
		r.out = append(r.out, decide.Action{Kind: decide.Log, Text: text})
	}
	p.wanted, p.entered, p.sent, p.moved, p.lost = 0, 0, 0, 0, 0
	for i := range p.classes {
		l := &p.classes[i]
		l.peak = max(float64(l.open), l.peak*(1-peakFade))
	}
}

// Flow is the part of the calls whose first choice is a pool that go there now.
func (r *Router) Flow(pool int) float64 { return r.pools[pool].flow }
