// Package route chooses, in front of the decision module, the pool for each call, decides whether the call is
// admitted at all, and limits further attempts to a budget. It has the interface of the module and drives the module;
// the choice of a server, the caps, holding and the guards remain there. It owns no clock, goroutine or connection;
// times are microseconds.
package route

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"pewterwheel/decide"
)

// Module is the decision module as used by the router.
type Module interface {
	Step(now int64, e decide.Event, out []decide.Action) []decide.Action
	Avoids(id decide.ServerID) bool
}

// Config is the configuration of a router. Rates are set-ups per second; fractions are of one.
type Config struct {
	Sidecars      int // number of sidecars that share the pools' hosts, including this one
	Pools         []Pool
	Classes       []Class
	RepeatRatio   float64 // ratio of repeated attempts to first ones
	MinRepeatRate float64 // repeated attempts per second that are always allowed
	MoveAfter     int64   // a call held this long at a pool may move to the next
	ReturnRate    float64 // fraction of a pool's calls, per second, by which its flow grows again
	MinFlow       float64 // smallest fraction of a pool's calls that is sent there, however limited it is
}

// Pool is the configuration of one pool; its index is the place that the module knows.
type Pool struct {
	Name      string
	RateLimit float64 // this sidecar's limit of set-ups per second
	MaxOpen   int     // this sidecar's limit of open set-ups
	TotalRate float64 // set-ups per second of the whole pool when all its hosts are warm
}

// Class is one class of calls; its index is that of the settings.
type Class struct {
	Pools []int   // in order of preference
	Share float64 // its part of each limit, relative to the other classes that may use the pool
}

// Check returns an error if the configuration is invalid for settings with the given number of classes.
func (c *Config) Check(classes int) error {
	if len(c.Pools) == 0 || len(c.Classes) != classes || c.Sidecars < 1 {
		return fmt.Errorf("route: invalid configuration: %d pools, %d classes (the settings have %d), %d sidecars",
			len(c.Pools), len(c.Classes), classes, c.Sidecars)
	}
	for i, cl := range c.Classes {
		if len(cl.Pools) == 0 || slices.ContainsFunc(cl.Pools, func(p int) bool { return p < 0 || p >= len(c.Pools) }) {
			return fmt.Errorf("route: class %d has pools %v, but %d pools are defined", i, cl.Pools, len(c.Pools))
		}
	}
	return nil
}

// Settings returns settings for the module with one class for each class and pool, which may use only that pool.
func (c *Config) Settings(settings decide.Settings) decide.Settings {
	var classes []decide.Class
	for _, cl := range settings.Classes {
		for p := range c.Pools {
			cl.Pools = []int{p}
			classes = append(classes, cl)
		}
	}
	settings.Classes = classes
	return settings
}

// call is a call that was admitted to a pool and has no final answer, or whose attempt is outstanding.
type call struct {
	id              decide.CallID
	event           decide.Event // as it was received
	class           int
	pool            int
	entered         int64 // when it came to this pool, or returned to it from an attempt
	attempts        int   // number of attempts made
	earlierAttempts int   // number of attempts made before it came to this pool
	outstanding     bool  // an attempt is outstanding
	host            *host // the host of that attempt
	mayHaveRun      bool  // an attempt may have run
	notBefore       int64 // end of the guard time after the last attempt
	paid            bool  // its next attempt is paid for from the budget
	finished        bool  // it has its final answer, or its caller has disconnected
	inHeldCalls     bool  // it is in heldCalls
}

// Router routes the calls of one sidecar. It is not safe for concurrent use.
type Router struct {
	cfg           Config
	settings      decide.Settings // as they are without the router
	module        Module
	rng           *rand.Rand
	now           int64
	actions       []decide.Action
	actionBuffers [][]decide.Action // by depth of calls to the module
	depth         int
	calls         map[decide.CallID]*call
	heldCalls     []*call // calls without an outstanding attempt, and some that are finished
	heldCopy      []*call // copy of heldCalls for iteration
	freeCalls     []*call // calls for reuse, without references
	pools         []pool
	hosts         map[decide.ServerID]*host
	hostOrder     []*host // in the order of first listing
	coldHosts     []*host // those shown to the module only while they have tokens

	budget     float64 // repeated attempts that are allowed now
	lastRefill int64   // when budget was last filled
	lastUpdate int64   // when held calls were last checked
	lastPeriod int64   // when the pools' flows were last updated

	// Counts of routing decisions, for operators.
	Counts Counts
}

// Counts are the numbers of routing decisions since the router's start.
type Counts struct {
	Spilled        uint64 // calls admitted to another pool than their first
	Moved          uint64 // calls that moved from a pool at which they were held
	Borrowed       uint64 // calls that used the unused rate of other classes
	Limited        uint64 // calls refused by a limit
	RepeatsRefused uint64 // further attempts refused by the budget
	HostsHidden    uint64 // times that a cold host was hidden from the module
}

// Figures reports the counts and, for each pool, the percentage of its calls that is sent there now.
func (r *Router) Figures(put func(name string, n uint64, gauge bool)) {
	c := &r.Counts
	put("route_spilled", c.Spilled, false)
	put("route_moved", c.Moved, false)
	put("route_borrowed", c.Borrowed, false)
	put("route_limited", c.Limited, false)
	put("route_repeats_refused", c.RepeatsRefused, false)
	put("route_cold_shut", c.HostsHidden, false)
	for i := range r.pools {
		put("route_flow."+r.cfg.Pools[i].Name, uint64(100*r.pools[i].flow), true)
		put("route_open."+r.cfg.Pools[i].Name, uint64(r.pools[i].open), true)
	}
}

// New returns a router in front of a module. The caller makes the module from Config.Settings.
func New(cfg Config, settings decide.Settings, module Module, seed uint64) (*Router, error) {
	if err := cfg.Check(len(settings.Classes)); err != nil {
		return nil, err
	}
	r := &Router{settings: settings, module: module, rng: rand.New(rand.NewPCG(seed, 1)),
		calls: map[decide.CallID]*call{}, hosts: map[decide.ServerID]*host{}, pools: make([]pool, len(cfg.Pools))}
	for i := range r.pools {
		r.pools[i] = pool{flow: 1, ceiling: 1, classes: make([]classQuota, len(cfg.Classes))}
	}
	r.applyConfig(cfg)
	for i := range r.pools { // unused rate is available at the start
		p := &r.pools[i]
		for j := range p.classes {
			p.classes[j].tokens = p.classes[j].burst()
		}
	}
	r.budget = r.maxBudget()
	return r, nil
}

// applyConfig makes a configuration effective.
func (r *Router) applyConfig(cfg Config) {
	r.cfg = cfg
	for i := range r.pools {
		p, c := &r.pools[i], &cfg.Pools[i]
		p.rateLimit, p.maxOpen = c.RateLimit, c.MaxOpen
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
			p.classes[j].rate = p.rateLimit * p.classes[j].share
		}
	}
}

// Reload makes a new configuration effective if it has the same pools and classes; part must be a Config. Calls,
// flows and tokens are kept.
func (r *Router) Reload(now int64, config any, out []decide.Action) []decide.Action {
	cfg, ok := config.(Config)
	if !ok || len(cfg.Pools) != len(r.pools) || cfg.Check(len(r.settings.Classes)) != nil {
		return append(out, decide.Action{Kind: decide.Log, Text: "routes not reloaded: the pools or classes differ"})
	}
	r.now = now
	for i := range r.pools {
		r.pools[i].refill(now)
	}
	r.applyConfig(cfg)
	return out
}

// Avoids reports whether the module avoids a listed server now.
func (r *Router) Avoids(id decide.ServerID) bool { return r.module.Avoids(id) }

// Step handles one event at a given time and appends the resulting actions.
func (r *Router) Step(now int64, e decide.Event, out []decide.Action) []decide.Action {
	r.now, r.actions = now, out
	switch e.Kind {
	case decide.NodeStarted:
		r.lastRefill, r.lastUpdate, r.lastPeriod = now, now, now
		for i := range r.pools {
			r.pools[i].lastRefill = now
		}
		r.forward(e)
	case decide.ListUpdate:
		r.handleList(e)
	case decide.CallArrived:
		r.handleOrder(e)
	case decide.SetUpCompleted:
		r.handleBegun(e)
	case decide.AttemptEnded:
		r.handleEnded(e)
	case decide.CallerLeft:
		r.handleGone(e)
	default:
		r.forward(e)
	}
	r.update()
	out, r.actions = r.actions, nil
	return out
}

// forward passes an event to the module and handles the resulting actions.
func (r *Router) forward(e decide.Event) {
	if r.depth == len(r.actionBuffers) {
		r.actionBuffers = append(r.actionBuffers, nil)
	}
	actions := r.module.Step(r.now, e, r.actionBuffers[r.depth][:0])
	r.actionBuffers[r.depth] = actions
	r.depth++
	for _, a := range actions {
		r.handleAction(a)
	}
	r.depth--
}

// handleAction handles one action of the module.
func (r *Router) handleAction(a decide.Action) {
	c := r.calls[a.Call]
	switch a.Kind {
	case decide.Send:
		if c != nil {
			r.handleSend(c, a.Server)
		}
	case decide.Refuse, decide.Fail:
		if c == nil {
			break
		}
		if c.attempts == c.earlierAttempts && !c.outstanding {
			r.pools[c.pool].lost++
		}
		if c.attempts > 0 { // there may have been attempts at earlier pools, of which the module does not know
			a.Kind = decide.Fail
		}
		r.finish(c)
	case decide.Cancel:
		if c != nil {
			a.Attempt += c.earlierAttempts
		}
	}
	r.actions = append(r.actions, a)
}

// moduleClass returns the class that represents a class at a pool for the module.
func (r *Router) moduleClass(class, pool int) int { return class*len(r.pools) + pool }

// handleOrder admits a new call to a pool, or refuses it at once.
func (r *Router) handleOrder(e decide.Event) {
	if e.Class < 0 || e.Class >= len(r.cfg.Classes) || r.calls[e.Call] != nil {
		r.actions = append(r.actions, decide.Action{Kind: decide.Refuse, Call: e.Call})
		return
	}
	e.Destination, e.Transit = -1, false // places are pools here, and the router chooses the pool
	pool, ok := r.choosePool(e.Class)
	if !ok {
		r.Counts.Limited++
		r.actions = append(r.actions, decide.Action{Kind: decide.Refuse, Call: e.Call, Wait: r.retryAfter(e.Class)})
		return
	}
	c := &call{}
	if n := len(r.freeCalls); n > 0 {
		c, r.freeCalls = r.freeCalls[n-1], r.freeCalls[:n-1]
	}
	*c = call{id: e.Call, event: e, class: e.Class, entered: r.now}
	if pool != r.cfg.Classes[c.class].Pools[0] {
		r.Counts.Spilled++
	}
	r.calls[c.id] = c
	r.enterPool(c, pool)
}

// enterPool passes a call to the module as a call of a pool that has already admitted it.
func (r *Router) enterPool(c *call, pool int) {
	c.pool, c.entered = pool, r.now
	r.pools[pool].entered++
	r.hold(c)
	e := c.event
	e.Class = r.moduleClass(c.class, pool)
	r.forward(e)
}

func (r *Router) hold(c *call) {
	r.pools[c.pool].held++
	if !c.inHeldCalls {
		c.inHeldCalls = true
		r.heldCalls = append(r.heldCalls, c)
	}
}

// finish records that a call needs no further answer; if no attempt is outstanding, no state of it is kept.
func (r *Router) finish(c *call) {
	if c.finished {
		return
	}
	c.finished = true
	if c.paid { // paid for an attempt that was not made
		c.paid = false
		r.budget = min(r.budget+1, r.maxBudget())
	}
	if !c.outstanding {
		r.pools[c.pool].held--
		r.remove(c)
	}
}

// remove removes a call and frees its slot in its pool.
func (r *Router) remove(c *call) {
	if r.calls[c.id] == c {
		delete(r.calls, c.id)
		r.pools[c.pool].release(c.class)
	}
}

func (r *Router) handleSend(c *call, id decide.ServerID) {
	p := &r.pools[c.pool]
	c.outstanding, c.host = true, r.hosts[id]
	p.held--
	if c.attempts == c.earlierAttempts {
		p.sent++
	}
	if c.attempts == 0 {
		r.budget = min(r.budget+r.cfg.RepeatRatio, r.maxBudget())
	} else { // repeated attempts are charged, because they are load for the pool too
		p.charge(c.class)
	}
	c.attempts++
	c.paid = false
	if h := c.host; h != nil {
		h.open++
		if r.isCold(h) {
			r.refill(h)
			h.tokens--
			r.publish(r.setVisible(nil, h, h.tokens >= 1))
		}
	}
}

// attemptOver records that a call's attempt is over.
func (r *Router) attemptOver(c *call) {
	if c.outstanding && c.host != nil {
		c.host.open--
	}
	c.outstanding, c.host = false, nil
}

func (r *Router) handleBegun(e decide.Event) {
	if c := r.calls[e.Call]; c != nil && c.outstanding {
		e.Attempt -= c.earlierAttempts
		r.attemptOver(c)
		c.finished = true
		r.remove(c)
	}
	r.forward(e)
}

func (r *Router) handleGone(e decide.Event) {
	if c := r.calls[e.Call]; c != nil {
		r.finish(c)
	}
	r.forward(e)
}

// handleEnded handles the end of an attempt. A call that may not have another attempt gets its final answer here, at
// once; the module is told so.
func (r *Router) handleEnded(e decide.Event) {
	c := r.calls[e.Call]
	if c == nil || !c.outstanding {
		r.forward(e)
		return
	}
	e.Attempt -= c.earlierAttempts
	r.attemptOver(c)
	switch e.Outcome {
	case decide.TimedOut, decide.Cut, decide.Cancelled:
		c.notBefore = r.now + r.settings.Rules.GuardTime
	}
	neverRan := e.Outcome == decide.Rejected || e.Outcome == decide.Unreachable || e.Outcome == decide.NotSent
	c.mayHaveRun = c.mayHaveRun || !neverRan
	if e.AnswerGiven || c.finished {
		c.finished = true
		r.remove(c)
		r.forward(e)
		return
	}
	if r.settings.MaxTries > 0 && c.attempts >= r.settings.MaxTries || !r.payRepeat(c, e.Outcome) {
		c.finished = true
		r.remove(c)
		e.AnswerGiven = true
		r.forward(e)
		r.actions = append(r.actions, decide.Action{Kind: decide.Fail, Call: c.id, Wait: r.failureRetryAfter(c.class)})
		return
	}
	c.entered = r.now
	r.hold(c)
	r.forward(e)
}

// failureRetryAfter returns the retry delay that the module would give, for a call that the router fails.
func (r *Router) failureRetryAfter(class int) int64 {
	if !r.settings.RetryAdvice {
		return 0
	}
	return min(r.settings.MaxRetryAfter, r.settings.Classes[class].Aim)
}

// Budget for repeated attempts

// At most budgetSeconds of the minimum rate, plus budgetCalls, are saved up: an hour of low load must not pay for a
// storm of repeats.
const budgetSeconds, budgetCalls = 5, 5

func (r *Router) maxBudget() float64 { return budgetCalls + budgetSeconds*r.cfg.MinRepeatRate }

// payRepeat pays for a further attempt after one with the given outcome. An attempt that never left this machine
// costs nothing. Guards against repeated attempts that prolong an overload after its cause has gone.
func (r *Router) payRepeat(c *call, o decide.Outcome) bool {
	r.budget = min(r.budget+r.cfg.MinRepeatRate*float64(r.now-r.lastRefill)/1e6, r.maxBudget())
	r.lastRefill = r.now
	if o == decide.Unreachable || o == decide.NotSent {
		return true
	}
	if r.budget < 1 {
		r.Counts.RepeatsRefused++
		return false
	}
	r.budget--
	c.paid = true
	return true
}
