// Package route decides in front of the decision module which pool a call goes to, whether it may enter at all, and
// whether a further attempt is within the budget. It is driven like the module and drives it; the pick of a server, the
// caps, holding and the guards stay there. It owns no clock, goroutine or connection; times are microseconds.
package route

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"pewterwheel/decide"
)

// Inner is the decision module as the router drives it.
type Inner interface {
	Step(now int64, e decide.Event, out []decide.Action) []decide.Action
	Avoids(id decide.ServerID) bool
}

// Config is what a router goes by. Rates are set-ups a second, parts are of one.
type Config struct {
	Sidecars int // that share the pools' hosts, this one included
	Pools    []Pool
	Classes  []Class
	Repeats  float64 // repeated attempts, as a part of first ones
	Floor    float64 // repeated attempts that are allowed in any case, a second
	Wait     int64   // a call that was held this long at a pool may move to the next
	Return   float64 // part of a pool's calls that comes back to it, a second
	Least    float64 // part of a pool's calls that goes there however capped it is
}

// Pool is one pool; its number is its place for the module.
type Pool struct {
	Name  string
	Rate  float64 // this sidecar's limit
	Open  int     // this sidecar's limit of open set-ups
	Whole float64 // what the whole pool takes when all its hosts are warm
}

// Class is one class of call; its number is that of the settings.
type Class struct {
	Pools []int   // in order of choice
	Share float64 // its part of each limit, beside the other classes that may use the pool
}

// Check says what of a configuration cannot be gone by, for settings with so many classes.
func (c *Config) Check(classes int) error {
	if len(c.Pools) == 0 || len(c.Classes) != classes || c.Sidecars < 1 {
		return fmt.Errorf("route: %d pools, %d classes for %d of the settings, %d sidecars", len(c.Pools), len(c.Classes), classes, c.Sidecars)
	}
	for i, cl := range c.Classes {
		if len(cl.Pools) == 0 || slices.ContainsFunc(cl.Pools, func(p int) bool { return p < 0 || p >= len(c.Pools) }) {
			return fmt.Errorf("route: class %d has pools %v of %d", i, cl.Pools, len(c.Pools))
		}
	}
	return nil
}

// Settings gives the module a class for each class and pool, whose one pool that is.
func (c *Config) Settings(set decide.Settings) decide.Settings {
	var classes []decide.Class
	for _, cl := range set.Classes {
		for p := range c.Pools {
			cl.Pools = []int{p}
			classes = append(classes, cl)
		}
	}
	set.Classes = classes
	return set
}

// call is one call that has entered a pool and has no final answer, or whose attempt is still out.
type call struct {
	id        decide.CallID
	order     decide.Event // as it arrived
	class     int
	pool      int
	entered   int64 // when it came to this pool, or back to it from an attempt
	sends     int   // attempts made
	base      int   // attempts made before it came to this pool
	out       bool  // an attempt is out
	host      *host // where
	ran       bool  // an attempt may have run
	notBefore int64 // the guard after the last attempt
	paid      bool  // its next attempt is paid for from the budget
	over      bool  // it has its final answer, or its caller has gone
	listed    bool  // it is in held
}

// Router decides for one sidecar. It is not safe for concurrent use.
type Router struct {
	cfg     Config
	set     decide.Settings // as they are without the router
	inner   Inner
	rng     *rand.Rand
	now     int64
	out     []decide.Action
	bufs    [][]decide.Action // by depth of calls into the module
	depth   int
	calls   map[decide.CallID]*call
	held    []*call // calls without an attempt out, and some that are over
	looking []*call // held, while it is looked at
	spare   []*call // calls that nobody holds any more
	pools   []pool
	hosts   map[decide.ServerID]*host
	order   []*host // in order of first listing
	cold    []*host // those that the module is shown as up only while they have room

	budget  float64 // repeated attempts in hand
	filled  int64   // when budget was last filled
	looked  int64   // when held calls were last looked at
	periods int64   // when the pools' flows were last set

	// Counts of what was decided, for staff.
	Counts Counts
}

// Counts are what a router has decided since its start.
type Counts struct {
	Spilled  uint64 // calls that entered another pool than their first
	Moved    uint64 // calls that moved on from a pool at which they were held
	Borrowed uint64 // calls that used what other classes left
	Limited  uint64 // calls refused by a limit
	Repeats  uint64 // further attempts refused by the budget
	Shut     uint64 // times a cold host was hidden from the module
}

// Figures gives the counts, and of each pool the part in a hundred of its calls that goes there now.
func (r *Router) Figures(put func(name string, n uint64, gauge bool)) {
	c := &r.Counts
	put("route_spilled", c.Spilled, false)
	put("route_moved", c.Moved, false)
	put("route_borrowed", c.Borrowed, false)
	put("route_limited", c.Limited, false)
	put("route_repeats_refused", c.Repeats, false)
	put("route_cold_shut", c.Shut, false)
	for i := range r.pools {
		put("route_flow."+r.cfg.Pools[i].Name, uint64(100*r.pools[i].flow), true)
		put("route_open."+r.cfg.Pools[i].Name, uint64(r.pools[i].open), true)
	}
}

// New returns a router before a module. The module is made by the caller from Config.Settings.
func New(cfg Config, set decide.Settings, inner Inner, seed uint64) (*Router, error) {
	if err := cfg.Check(len(set.Classes)); err != nil {
		return nil, err
	}
	r := &Router{set: set, inner: inner, rng: rand.New(rand.NewPCG(seed, 1)), calls: map[decide.CallID]*call{},
		hosts: map[decide.ServerID]*host{}, pools: make([]pool, len(cfg.Pools))}
	for i := range r.pools {
		r.pools[i] = pool{flow: 1, ceiling: 1, classes: make([]lot, len(cfg.Classes))}
	}
	r.take(cfg)
	for i := range r.pools { // what nobody has used yet is there
		p := &r.pools[i]
		for j := range p.classes {
			p.classes[j].tokens = p.classes[j].burst()
		}
	}
	r.budget = r.budgetMost()
	return r, nil
}

// take goes by a configuration from now on.
func (r *Router) take(cfg Config) {
	r.cfg = cfg
	for i := range r.pools {
		p, c := &r.pools[i], &cfg.Pools[i]
		p.rate, p.most = c.Rate, c.Open
		sum := 0.0
		for _, cl := range cfg.Classes {
			if slices.Contains(cl.Pools, i) {
				sum += cl.Share
			}
		}
		for j, cl := range cfg.Classes {
			p.classes[j].share = 0
			if sum > 0 && slices.Contains(cl.Pools, i) {
				p.classes[j].share = cl.Share / sum
			}
			p.classes[j].rate = p.rate * p.classes[j].share
		}
	}
}

// Reload goes by a configuration that was read anew, if it has the same pools and classes; part is a Config. Calls,
// flows and what is in hand go on.
func (r *Router) Reload(now int64, part any, out []decide.Action) []decide.Action {
	cfg, ok := part.(Config)
	if !ok || len(cfg.Pools) != len(r.pools) || cfg.Check(len(r.set.Classes)) != nil {
		return append(out, decide.Action{Kind: decide.Log, Text: "routes stay: pools or classes are others"})
	}
	r.now = now
	for i := range r.pools {
		r.pools[i].fill(now)
	}
	r.take(cfg)
	return out
}

// Avoids tells whether the module leaves a listed server alone now.
func (r *Router) Avoids(id decide.ServerID) bool { return r.inner.Avoids(id) }

// Step takes one event at one time and appends what is to be done.
func (r *Router) Step(now int64, e decide.Event, out []decide.Action) []decide.Action {
	r.now, r.out = now, out
	switch e.Kind {
	case decide.Start:
		r.filled, r.looked, r.periods = now, now, now
		for i := range r.pools {
			r.pools[i].filled = now
		}
		r.forward(e)
	case decide.List:
		r.list(e)
	case decide.Order:
		r.arrive(e)
	case decide.Begun:
		r.begun(e)
	case decide.Ended:
		r.ended(e)
	case decide.Gone:
		r.gone(e)
	default:
		r.forward(e)
	}
	r.look()
	out, r.out = r.out, nil
	return out
}

// forward hands an event to the module and takes up what it wants done.
func (r *Router) forward(e decide.Event) {
	if r.depth == len(r.bufs) {
		r.bufs = append(r.bufs, nil)
	}
	acts := r.inner.Step(r.now, e, r.bufs[r.depth][:0])
	r.bufs[r.depth] = acts
	r.depth++
	for _, a := range acts {
		r.from(a)
	}
	r.depth--
}

// from takes up one action of the module.
func (r *Router) from(a decide.Action) {
	c := r.calls[a.Call]
	switch a.Kind {
	case decide.Send:
		if c != nil {
			r.sent(c, a.Server)
		}
	case decide.Refuse, decide.Fail:
		if c == nil {
			break
		}
		if c.sends == c.base && !c.out {
			r.pools[c.pool].lost++
		}
		if c.sends > 0 { // earlier pools may have had attempts of which the module does not know
			a.Kind = decide.Fail
		}
		r.end(c)
	case decide.Cancel:
		if c != nil {
			a.Attempt += c.base
		}
	}
	r.out = append(r.out, a)
}

// inside is the class that a class has for the module at a pool.
func (r *Router) inside(class, pool int) int { return class*len(r.pools) + pool }

// arrive takes a new call into a pool, or refuses it at once.
func (r *Router) arrive(e decide.Event) {
	if e.Class < 0 || e.Class >= len(r.cfg.Classes) || r.calls[e.Call] != nil {
		r.out = append(r.out, decide.Action{Kind: decide.Refuse, Call: e.Call})
		return
	}
	e.Dest, e.Transit = -1, false // places are pools here, and the router chooses
	pool, ok := r.choose(e.Class)
	if !ok {
		r.Counts.Limited++
		r.out = append(r.out, decide.Action{Kind: decide.Refuse, Call: e.Call, Wait: r.comeBack(e.Class)})
		return
	}
	c := &call{}
	if n := len(r.spare); n > 0 {
		c, r.spare = r.spare[n-1], r.spare[:n-1]
	}
	*c = call{id: e.Call, order: e, class: e.Class, entered: r.now}
	if pool != r.cfg.Classes[c.class].Pools[0] {
		r.Counts.Spilled++
	}
	r.calls[c.id] = c
	r.enter(c, pool)
}

// enter hands a call to the module as one of a pool, in which it has its place already.
func (r *Router) enter(c *call, pool int) {
	c.pool, c.entered = pool, r.now
	r.pools[pool].entered++
	r.hold(c)
	e := c.order
	e.Class = r.inside(c.class, pool)
	r.forward(e)
}

func (r *Router) hold(c *call) {
	r.pools[c.pool].held++
	if !c.listed {
		c.listed = true
		r.held = append(r.held, c)
	}
}

// end notes that a call needs no further answer; with no attempt out nothing is kept of it.
func (r *Router) end(c *call) {
	if c.over {
		return
	}
	c.over = true
	if c.paid { // for an attempt that was not made
		c.paid = false
		r.budget = min(r.budget+1, r.budgetMost())
	}
	if !c.out {
		r.pools[c.pool].held--
		r.forget(c)
	}
}

// forget gives a call's place in its pool back.
func (r *Router) forget(c *call) {
	if r.calls[c.id] == c {
		delete(r.calls, c.id)
		r.pools[c.pool].leave(c.class)
	}
}

func (r *Router) sent(c *call, id decide.ServerID) {
	p := &r.pools[c.pool]
	c.out, c.host = true, r.hosts[id]
	p.held--
	if c.sends == c.base {
		p.sent++
	}
	if c.sends == 0 {
		r.budget = min(r.budget+r.cfg.Repeats, r.budgetMost())
	} else { // what repeats take is charged, for the pool bears them, too
		p.charge(c.class)
	}
	c.sends++
	c.paid = false
	if h := c.host; h != nil {
		h.open++
		if r.isCold(h) {
			r.fill(h)
			h.tokens--
			r.show(r.turn(nil, h, h.tokens >= 1))
		}
	}
}

// back notes that a call's attempt is over.
func (r *Router) back(c *call) {
	if c.out && c.host != nil {
		c.host.open--
	}
	c.out, c.host = false, nil
}

func (r *Router) begun(e decide.Event) {
	if c := r.calls[e.Call]; c != nil && c.out {
		e.Attempt -= c.base
		r.back(c)
		c.over = true
		r.forget(c)
	}
	r.forward(e)
}

func (r *Router) gone(e decide.Event) {
	if c := r.calls[e.Call]; c != nil {
		r.end(c)
	}
	r.forward(e)
}

// ended takes the end of an attempt. A call that may not have another one has its final answer here, at once: the
// module is told that it has it.
func (r *Router) ended(e decide.Event) {
	c := r.calls[e.Call]
	if c == nil || !c.out {
		r.forward(e)
		return
	}
	e.Attempt -= c.base
	r.back(c)
	switch e.Outcome {
	case decide.TimedOut, decide.Cut, decide.Cancelled:
		c.notBefore = r.now + r.set.Rules.Guard
	}
	never := e.Outcome == decide.Rejected || e.Outcome == decide.Unreached || e.Outcome == decide.Unsent
	c.ran = c.ran || !never
	if e.Final || c.over {
		c.over = true
		r.forget(c)
		r.forward(e)
		return
	}
	if r.set.MaxTries > 0 && c.sends >= r.set.MaxTries || !r.affords(c, e.Outcome) {
		c.over = true
		r.forget(c)
		e.Final = true
		r.forward(e)
		r.out = append(r.out, decide.Action{Kind: decide.Fail, Call: c.id, Wait: r.stayAway(c.class)})
		return
	}
	c.entered = r.now
	r.hold(c)
	r.forward(e)
}

// stayAway is the time to stay away that the module would tell, for what is given up here.
func (r *Router) stayAway(class int) int64 {
	if !r.set.RetryAdvice {
		return 0
	}
	return min(r.set.MaxRetryAfter, r.set.Classes[class].Aim)
}

// ---- the budget for repeats ----

// budgetSeconds of the floor, and budgetCalls beside them, is the most that is saved up: a quiet hour must not pay
// for a storm.
const budgetSeconds, budgetCalls = 5, 5

func (r *Router) budgetMost() float64 { return budgetCalls + budgetSeconds*r.cfg.Floor }

// affords pays for a further attempt after one that ended so. What never left this machine costs nobody anything.
// Guards against repeats that keep an overload alive after its cause has gone.
func (r *Router) affords(c *call, o decide.Outcome) bool {
	r.budget = min(r.budget+r.cfg.Floor*float64(r.now-r.filled)/1e6, r.budgetMost())
	r.filled = r.now
	if o == decide.Unreached || o == decide.Unsent {
		return true
	}
	if r.budget < 1 {
		r.Counts.Repeats++
		return false
	}
	r.budget--
	c.paid = true
	return true
}
