// Exported types are in api.go; this file holds the decision logic.

package decide

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Tuning constants. Times are microseconds.
const (
	// targetDelay is Td, the target processing delay of the throttle.
	targetDelay = 1_000_000
	// resendFraction times the network's resend time is the upper bound of Td: a longer wait causes repeated
	// set-ups, which are additional load.
	resendFraction = 0.8
	// countInterval is τ, the interval over which completed set-ups are counted; the value is the paper's. If
	// Td is below referenceDelay, τ and the backoff times below are shortened in proportion, because
	// everything that they wait for is faster there too.
	countInterval  = 5_000_000
	referenceDelay = 400_000
	// tickInterval is the period at which held calls, intervals and silent servers are checked without other
	// events.
	tickInterval = 20_000
	// countDecay is the part of an interval's count that is carried into the next one: one interval alone has
	// too few calls.
	countDecay = 0.5
	// priorSetUps is the weight, in set-ups, of the node's overall rate when it is combined with a server's
	// own count.
	priorSetUps = 4.0
	// demandFraction of the calls that callers request is the least rate that a node assumes the servers can
	// take. coldDemandFraction, without unseenCalls, is used where all nodes together could overload a
	// server.
	demandFraction, coldDemandFraction = 1.0, 0.4
	// unseenCalls are added to a node's count: a node that has just started may not have received any call
	// yet.
	unseenCalls = 2.0
	// lateWaitMultiple times the mean time between new callers is how long a server must have had room before
	// it is sent a call that is past its aim.
	lateWaitMultiple = 2.0
	// uncontrolledMultiple times the limit that its completions would give is the maximum of open set-ups at
	// a server that is not under control; load that is processed in time stays far below it.
	uncontrolledMultiple = 2.0
	// destinationWaitFraction of the aim of its class is how long a call waits for its destination before it
	// tries another server.
	destinationWaitFraction = 0.02
	// delayRiseGain is the weight of a new set-up delay above a server's average; delayFallGain that of one
	// below, so that the average falls more slowly than it rises.
	delayRiseGain, delayFallGain = 0.3, 0.1
	// firstBackoff and maxBackoff bound the backoff after immediate failures of a server; it doubles until a
	// set-up completes.
	firstBackoff, maxBackoff = 250_000, 2_000_000
	// excessWaitGain times the excess of a wait above Td is added to the gap between set-ups of a limit below
	// one.
	excessWaitGain = 2.0
	// failureBackoffMultiple and silenceBackoffMultiple times the expected time per set-up are the first
	// backoff after an immediate failure and after silence; maxBackoffMultiple times that is the maximum.
	failureBackoffMultiple, silenceBackoffMultiple, maxBackoffMultiple = 1.0, 4.0, 4.0
	// maxGapIntervals times τ is the upper bound of every backoff and gap, so that a recovered server is
	// found in time.
	maxGapIntervals = 3
	// overtakenFraction times Td: a set-up sent this much earlier than one that was answered is considered
	// lost, because servers answer in order.
	overtakenFraction = 0.25
	// silenceMultiple times Td, or delayMultiple times the average delay if that is more, without any answer
	// counts as silence.
	silenceMultiple, delayMultiple = 3.0, 4.0
	// coldBudgetFraction is the part of this node's share of the fall-over budget that it uses at a cold
	// server.
	coldBudgetFraction = 0.4
	// coldBudgetReward is what a set-up that completed in time adds to a cold server's budget, in sends; the
	// budget holds at most one.
	coldBudgetReward = 1.2
	// longOpenList is the length above which a list of open set-ups drops its first entry without moving the
	// others.
	longOpenList = 64
	// maxRedials bounds the callers that may redial, of which it is known when they first tried. A call of
	// one more counts as a new one.
	maxRedials = 16_384
)

// tickToken is the token of the recurring timer; calls use tokens above it.
const tickToken = 0

type server struct {
	id       ServerID
	place    int
	zone     int
	up       bool
	unlisted bool  // no longer on the list; removed once nothing is open there
	started  int64 // 0: long ago

	open         []*call // set-ups sent that have neither completed nor ended, oldest first
	completed    int     // N: completed in this interval
	decayedCount float64 // N of earlier intervals, each weighted by countDecay to the power of its age
	decayedSpan  float64 // the time that decayedCount covers, in microseconds
	countedSince int64   // when it was first listed, or last restarted
	limit        int     // L; applies only under control
	exactLimit   float64 // L before it is truncated to an integer of at least one
	nextSend     int64   // with a limit below one: the earliest time of the next set-up
	controlled   bool    // control is on: the limit applies
	overloadSeen bool    // a reason for control was seen in this interval

	delay         float64 // average set-up delay that this node measured
	capacityShare float64 // capacity relative to other servers
	coldBudget    float64 // set-ups that may be sent now while it is cold; at most one
	coldBudgetAt  int64   // when coldBudget was last updated
	lastAnswer    int64   // when it last answered anything
	silent        bool    // found silent, and no answer since
	lossy         bool    // unanswered set-ups were lost on the way: the server answered others in time
	backoff       backoff // after immediate failures and silence
	lineWindow    float64 // maximum of open set-ups while its lines are all taken; 0: no such bound
	windowCutAt   int64   // when lineWindow was last reduced
	canTake       float64 // set-ups a second that it reports it can take; negative: not reported
	freeLines     float64 // free lines that it reports; negative: not reported
}

type call struct {
	id                   CallID
	token                uint64
	class                *Class
	destination          int
	transit              bool
	heldSince            int64 // when it was last put on hold
	firstTried           int64 // when its caller first tried
	aimBy                int64 // it earns its full worth until then
	redial               redialKey
	deadline             int64
	destinationOnlyUntil int64 // until then it waits for its destination only
	noSendBefore         int64 // guard time: no send before this
	attempts             int
	server               *server // where an attempt is out
	sentAt               int64
	lastServer           *server // where the last attempt was
	mayHaveRunAt         *server // where it may have run first; nil: nowhere
	resendUntil          int64   // where repeats have an effect: no send from then on; 0: no bound
	cancelled            bool    // the attempt that is out was cancelled
	worthFactor          float64 // the part of the class's worth that the tenant's quota leaves
	finished             bool    // the final answer was given, or the caller has left
}

// redialKey identifies the redials of one caller.
type redialKey struct {
	class int
	key   string
}

// tenantQuota is what a tenant may still send within its quota.
type tenantQuota struct {
	remaining float64
	updated   int64
}

// backoff delays sends to a server after immediate failures or silence.
type backoff struct {
	length int64 // length of the current backoff; 0: none
	until  int64 // nothing is sent before this
}

// extend starts or doubles the backoff; set-ups that were open together count once.
func (b *backoff) extend(now, first, longest int64) {
	if now >= b.until {
		b.length = min(max(2*b.length, first), longest)
		b.until = now + b.length
	}
}

// Node decides for one access node. It is not safe for concurrent use.
type Node struct {
	settings       Settings
	rng            *rand.Rand
	now            int64
	actions        []Action
	servers        []*server // in order of first listing
	serverByID     map[ServerID]*server
	calls          map[CallID]*call
	callByToken    map[uint64]*call
	held           []*call
	candidates     []*server           // buffer of pickServer
	tenantQuotas   []tenantQuota       // one for each tenant, in the order of the settings
	redials        map[redialKey]int64 // first try of each caller that got no set-up and may redial
	lastToken      uint64
	intervalStart  int64 // when this interval began
	intervalEnd    int64
	callSeen       bool    // a call has arrived since the start: intervals are counted
	newCalls       float64 // new callers' calls, and completed set-ups, decayed as decayedCount is
	completions    float64
	countedSpan    float64 // the time that these counts cover, in microseconds
	lateWait       int64   // a server idle for this long is not needed by calls that can be on time
	unitRate       float64 // expected completions per microsecond and unit of capacity; 0: not known
	provenUnitRate float64 // the same without assumed calls: safe where all nodes could overload a server
	td             float64 // Td, the target delay of this node
	tau            int64   // τ of this node
	minDelay       float64 // least set-up delay expected now
	nextTickDue    int64   // when the next tick is due
	resumedAt      int64   // when this node last resumed after a stall
	subscribedAt   int64
}

// New returns a node that has received no event yet.
func New(settings Settings, seed uint64) (*Node, error) {
	if len(settings.Classes) == 0 {
		return nil, errors.New("decide: settings contain no classes")
	}
	for i, c := range settings.Classes {
		if c.Aim <= 0 || c.Deadline < c.Aim {
			return nil, fmt.Errorf("decide: class %d: aim %d must be positive and deadline %d not before it",
				i, c.Aim, c.Deadline)
		}
	}
	settings.Instances = max(settings.Instances, 1)
	td := float64(targetDelay)
	if settings.ResendAfter > 0 {
		td = min(td, resendFraction*float64(settings.ResendAfter))
	}
	return &Node{settings: settings, td: td, tau: int64(countInterval * min(1, td/referenceDelay)),
		rng: rand.New(rand.NewPCG(seed, 0)), serverByID: map[ServerID]*server{},
		calls: map[CallID]*call{}, callByToken: map[uint64]*call{},
		redials: map[redialKey]int64{}, tenantQuotas: make([]tenantQuota, len(settings.Tenants))}, nil
}

// Step processes one event at the given time and appends the resulting actions to out.
func (n *Node) Step(now int64, e Event, out []Action) []Action {
	n.now, n.actions = now, out
	if n.nextTickDue > 0 && now > n.nextTickDue+tickInterval {
		n.noteStall()
	}
	switch e.Kind {
	case NodeStarted:
		n.start()
	case ListUpdate:
		n.updateList(e)
	case CallArrived:
		n.callArrived(e)
	case SetUpCompleted:
		n.setUpCompleted(e)
	case AttemptEnded:
		n.attemptEnded(e)
	case CallerLeft:
		n.callerLeft(e)
	case TimerFired:
		n.timerFired(e)
	case ServerReport:
		n.serverReported(e)
	case TrialRequested:
		n.allowTrialSetUp(n.serverByID[e.Server])
	}
	n.sendHeld()
	out, n.actions = n.actions, nil
	return out
}

// noteStall records that this node has just not run for a while. In this step waits, ages and time-outs are
// not attributed to the servers, because they include the node's own delay.
func (n *Node) noteStall() {
	n.nextTickDue, n.resumedAt = n.now+tickInterval, n.now
}

func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

func (n *Node) logf(format string, args ...any) {
	n.emit(Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

// ---- events ----

func (n *Node) start() {
	n.intervalStart, n.intervalEnd = n.now, n.now+int64((1+n.rng.Float64())*float64(n.tau)/10)
	n.scheduleTick()
	n.subscribe()
}

func (n *Node) scheduleTick() {
	n.nextTickDue = n.now + tickInterval
	n.emit(Action{Kind: StartTimer, Wait: tickInterval, Token: tickToken})
}

func (n *Node) subscribe() {
	if n.settings.Subscribe {
		n.subscribedAt = n.now
		n.emit(Action{Kind: SubscribeList})
	}
}

func (n *Node) updateList(e Event) {
	if e.Form == ListFailed {
		return // keep the old list; the tick asks again
	}
	listed := map[ServerID]bool{}
	for _, l := range e.Servers {
		listed[l.ID] = true
		n.updateServer(l)
	}
	for _, s := range n.servers {
		if e.Form != ListDelta && !listed[s.id] {
			s.up, s.unlisted = false, true
		}
	}
	n.removeUnlisted()
}

// removeUnlisted removes servers that are off the list and have nothing open. Otherwise the list would grow,
// and slow every choice of a server, where servers are replaced all day.
func (n *Node) removeUnlisted() {
	n.servers = slices.DeleteFunc(n.servers, func(s *server) bool {
		drop := s.unlisted && len(s.open) == 0
		if drop {
			delete(n.serverByID, s.id)
		}
		return drop
	})
}

// updateServer applies one entry of the list. A new start time resets the state of the server.
func (n *Node) updateServer(entry Listed) {
	s := n.serverByID[entry.ID]
	if s == nil {
		s = &server{id: entry.ID, started: entry.Started}
		n.serverByID[entry.ID] = s
		n.servers = append(n.servers, s)
		n.resetServer(s)
	} else if entry.Started > s.started {
		s.started = entry.Started
		n.resetServer(s)
	}
	s.place, s.zone, s.capacityShare, s.up, s.unlisted =
		entry.Place, entry.Zone, entry.Share, entry.State == Up, entry.State == Removed
}

// resetServer resets the state of a server, with control on. Otherwise a node that has just started would
// send, or a server that has would receive, unlimited set-ups until an interval has shown its capacity.
func (n *Node) resetServer(s *server) {
	s.completed, s.decayedCount, s.decayedSpan, s.countedSince, s.delay, s.nextSend = 0, 0, 0, n.now, 0, 0
	s.controlled, s.overloadSeen, s.limit = true, true, 1
	s.coldBudget, s.coldBudgetAt, s.lastAnswer = n.rng.Float64(), n.now, n.now
	s.backoff, s.lineWindow, s.canTake, s.freeLines, s.lossy = backoff{}, 0, -1, -1, false
	n.updateExactLimit(s)
}

func (n *Node) callArrived(e Event) {
	if e.Class < 0 || e.Class >= len(n.settings.Classes) || n.calls[e.Call] != nil {
		n.emit(Action{Kind: Refuse, Call: e.Call})
		return
	}
	if !n.callSeen {
		// Do not count the time before the first call: intervals without calls end control, grow long, and
		// make the servers' capacity appear to be near zero.
		n.callSeen = true
		n.intervalStart, n.intervalEnd = n.now, n.intervalEnd+n.now-n.intervalStart
	}
	n.lastToken++
	class := &n.settings.Classes[e.Class]
	c := &call{id: e.Call, token: n.lastToken, class: class, destination: e.Destination, transit: e.Transit,
		heldSince: n.now, redial: redialKey{e.Class, e.Key}, deadline: e.Deadline}
	c.destinationOnlyUntil = n.now + int64(destinationWaitFraction*float64(class.Aim))
	c.firstTried = n.firstTryTime(c, e)
	c.aimBy = c.firstTried + class.Aim
	c.worthFactor = n.tenantWorthFactor(e.Tenant)
	if c.firstTried == n.now {
		n.newCalls++
	}
	n.calls[c.id], n.callByToken[c.token] = c, c
	if n.missesDeadline(c, n.minExpectedDelay()) {
		n.finish(c)
		return
	}
	n.emit(Action{Kind: StartTimer, Wait: max(1, c.deadline-n.now-n.settings.Quantum), Token: c.token})
	n.held = append(n.held, c)
}

// firstTryTime returns when the caller of a call first tried; the aim of the call starts there. Otherwise
// redials would take the slots of calls that can still earn their full worth: the same number, requested
// again before its caller's deadline, is treated as a redial. A call marked as a repeat of which nothing is
// known has already used up its aim.
func (n *Node) firstTryTime(c *call, e Event) int64 {
	first, known := n.redials[c.redial]
	switch {
	case known && e.Key != "" && !e.AgainAfterCut && n.now-first < c.class.Deadline:
		return first
	case e.MarkedRepeat && !e.AgainAfterCut:
		return n.now - c.class.Aim
	}
	return n.now
}

func (n *Node) setUpCompleted(e Event) {
	c := n.calls[e.Call]
	if c == nil || c.server == nil {
		return
	}
	s := c.server
	s.completed++
	n.completions++
	if s.silent && n.resumedAt != n.now {
		s.lossy, s.delay = float64(e.Elapsed) <= n.td, 0 // a cancelled set-up tells nothing of its delay
	}
	n.noteAnswer(s)
	n.cancelOvertaken(s, c)
	s.backoff = backoff{}
	s.widenLineWindow(float64(n.maxOpen(s)))
	excess := float64(e.Elapsed) - n.td
	if n.resumedAt != n.now {
		n.updateDelay(s, float64(e.Elapsed))
	} else {
		excess = 0 // part of the wait was this node's own delay
	}
	if excess > 0 {
		n.noteOverload(s)
	} else {
		s.coldBudget = max(s.coldBudget, min(s.coldBudget+coldBudgetReward, 1))
	}
	n.spaceSends(s, max(0, excess))
	n.removeOpen(c)
	n.forget(c)
	delete(n.redials, c.redial)
}

func (n *Node) attemptEnded(e Event) {
	c := n.calls[e.Call]
	if c == nil || c.server == nil {
		return // an established call, or one that ended long ago
	}
	s := c.server
	if e.ProcessorFull || e.Outcome == TimedOut && n.resumedAt != n.now && !s.losesSetUps() ||
		e.Load.Wait > n.td {
		n.noteOverload(s)
	}
	if e.Outcome != TimedOut && e.Outcome != Cancelled && e.Outcome != NotSent {
		n.noteAnswer(s)
	}
	s.updateLoad(e.Load)
	n.removeOpen(c)
	switch {
	case e.Outcome == Rejected && !e.ProcessorFull:
		n.shrinkLineWindow(s, c)
	case e.Outcome == Rejected, e.Outcome == Unreachable, e.Outcome == NotSent:
		n.backOffAfterFailure(s)
	}
	n.noteOutcome(c, s, e.Outcome)
	if e.AnswerGiven || c.finished {
		n.forget(c)
		return
	}
	n.retryOrFinish(c)
}

// noteOutcome records what the outcome means for later attempts: whether this one may have run, and the guard
// time before the next one.
func (n *Node) noteOutcome(c *call, s *server, outcome Outcome) {
	switch outcome {
	case Rejected, Unreachable, NotSent:
		return
	case TimedOut, Cut, Cancelled:
		c.noSendBefore = n.now + n.settings.Rules.GuardTime
	}
	if c.mayHaveRunAt == nil { // Repeatable: no bound; SingleShot: no send from now on
		c.mayHaveRunAt, c.resendUntil =
			s, [...]int64{Guarded: c.sentAt + c.class.Window, SingleShot: -1}[c.class.Effect]
	}
}

// retryOrFinish holds a call for another attempt if one is allowed, and finishes it otherwise.
func (n *Node) retryOrFinish(c *call) {
	if n.now >= c.deadline-n.settings.Quantum || !n.mayRepeat(c) ||
		n.settings.MaxTries > 0 && c.attempts >= n.settings.MaxTries {
		n.finish(c)
		return
	}
	c.heldSince = n.now
	n.held = append(n.held, c)
}

// mayRepeat reports whether a call may be sent, or sent again. Once it may have run, a Guarded call may be
// only while repeats are dropped, which may end before the guard time does, and a SingleShot call not at all.
func (n *Node) mayRepeat(c *call) bool {
	return c.resendUntil == 0 || max(n.now, c.noSendBefore) < c.resendUntil
}

// finish gives the final answer of a call that is held or has an attempt out.
func (n *Node) finish(c *call) {
	kind := Refuse
	if c.attempts > 0 {
		kind = Fail
	}
	action := Action{Kind: kind, Call: c.id}
	// Both answers carry the advice: a caller that got Fail should not redial immediately either.
	if n.settings.RetryAdvice {
		action.Wait = min(n.settings.MaxRetryAfter, c.class.Aim)
	}
	n.emit(action)
	n.drop(c)
}

// drop ends all work for a call; an attempt that is out is cancelled.
func (n *Node) drop(c *call) {
	c.finished = true
	if c.server == nil {
		n.forget(c)
	} else {
		n.cancelAttempt(c)
	}
}

// cancelAttempt stops waiting for an attempt; its outcome is still reported.
func (n *Node) cancelAttempt(c *call) {
	if n.settings.MayCancel && !c.cancelled {
		c.cancelled = true
		n.emit(Action{Kind: Cancel, Call: c.id, Attempt: c.attempts - 1})
	}
}

func (n *Node) callerLeft(e Event) {
	if c := n.calls[e.Call]; c != nil {
		c.finished = true
		if c.server == nil {
			n.forget(c)
		}
	}
}

func (n *Node) forget(c *call) {
	if _, known := n.redials[c.redial]; known || len(n.redials) < maxRedials {
		n.redials[c.redial] = c.firstTried
	}
	c.finished = true
	delete(n.calls, c.id)
	delete(n.callByToken, c.token)
}

// removeOpen removes a call's attempt from the open set-ups of its server.
func (n *Node) removeOpen(c *call) {
	if i := slices.Index(c.server.open, c); i == 0 && len(c.server.open) > longOpenList {
		c.server.open[0], c.server.open = nil, c.server.open[1:]
	} else if i >= 0 {
		c.server.open = slices.Delete(c.server.open, i, i+1)
	}
	c.lastServer, c.server, c.cancelled = c.server, nil, false
}

func (n *Node) serverReported(e Event) {
	if s := n.serverByID[e.Server]; s != nil {
		s.updateLoad(e.Load)
		if e.Load.Wait > n.td {
			n.noteOverload(s)
		}
	}
}

func (n *Node) timerFired(e Event) {
	if e.Token == tickToken {
		n.scheduleTick()
		n.onTick()
		return
	}
	if c := n.callByToken[e.Token]; c != nil && !c.finished {
		n.finish(c) // the caller's deadline has come
	}
}

func (n *Node) onTick() {
	n.finishUnservable()
	for _, s := range n.servers {
		if n.resumedAt == n.now {
			break // answers may follow in this same step
		}
		n.checkSilence(s)
		if len(s.open) > 0 && float64(n.now-s.open[0].sentAt) > n.td && !s.losesSetUps() {
			n.noteOverload(s)
		}
	}
	if n.callSeen && n.now >= n.intervalEnd {
		n.endIntervals()
		n.removeUnlisted()
	}
	for key, first := range n.redials { // the order is irrelevant: entries are independent
		if n.now-first > n.settings.Classes[key.class].Deadline {
			delete(n.redials, key)
		}
	}
	if n.now-n.subscribedAt > n.settings.Rules.AskWithin/2 {
		n.subscribe()
	}
}

// missesDeadline reports whether no server is expected to set up a call before its caller's deadline. Such a
// call would keep its caller waiting, and a server busy, to no use.
func (n *Node) missesDeadline(c *call, soonest float64) bool {
	if math.IsInf(soonest, 1) {
		soonest = 0 // no server is up; one may appear while the caller waits
	}
	return !c.finished && float64(n.now)+soonest >= float64(c.deadline)
}

// finishUnservable finishes held calls that cannot meet their deadline or may not be repeated any more.
func (n *Node) finishUnservable() {
	soonest := n.minExpectedDelay()
	for _, c := range n.held {
		if n.missesDeadline(c, soonest) || !c.finished && !n.mayRepeat(c) {
			n.finish(c)
		}
	}
	n.held = slices.DeleteFunc(n.held, func(c *call) bool { return c.finished })
}

// ---- throttle ----

// noteOverload records a reason for control: processor full, a time-out, or a wait above the target.
func (n *Node) noteOverload(s *server) {
	s.overloadSeen = true
	if !s.controlled {
		s.controlled, s.limit = true, max(1, len(s.open))
		n.logf("control started on server %s, limit %d", s.id, s.limit)
	}
}

func (n *Node) endIntervals() {
	n.countedSpan += float64(n.now - n.intervalStart)
	totalShare := 0.0
	for _, s := range n.servers {
		if s.up {
			totalShare += s.capacityShare
		}
	}
	if totalShare > 0 {
		n.unitRate = (unseenCalls + max(n.completions, demandFraction*n.newCalls)) /
			n.countedSpan / totalShare
		n.provenUnitRate = max(n.completions, coldDemandFraction*n.newCalls) / n.countedSpan / totalShare
	}
	n.lateWait = int64(lateWaitMultiple * n.countedSpan / (unseenCalls + n.newCalls))
	for _, s := range n.servers {
		n.endInterval(s)
	}
	n.newCalls, n.completions, n.countedSpan =
		countDecay*n.newCalls, countDecay*n.completions, countDecay*n.countedSpan
	// The first interval is short; each one is twice as long as the previous, up to τ.
	n.intervalStart, n.intervalEnd = n.now, n.now+min(n.tau, 2*(n.now-n.intervalStart))
}

// endInterval sets the limit from the completed set-ups, or ends control after an interval without a reason
// for it.
func (n *Node) endInterval(s *server) {
	if s.controlled && !s.overloadSeen && s.backoff.length == 0 {
		s.controlled = false
		n.logf("control ended on server %s", s.id)
	}
	s.decayedCount += float64(s.completed)
	s.decayedSpan += float64(n.now - max(n.intervalStart, s.countedSince))
	n.updateExactLimit(s)
	s.limit = max(1, int(s.exactLimit))
	s.decayedCount, s.decayedSpan = countDecay*s.decayedCount, countDecay*s.decayedSpan
	s.completed, s.overloadSeen = 0, false
}

// expectedRate is the rate of set-ups, per microsecond, that a server of this capacity is expected to
// complete for this node.
func (n *Node) expectedRate(s *server) float64 { return n.unitRate * s.capacityShare }

// updateExactLimit sets the limit to Td*N/τ, or, without control, to that of the expected rate if it is
// higher. So that counts of one or two calls do not decide alone, priorSetUps at the expected rate are added;
// they weigh less as the delay exceeds Td. A server's time is counted from its first listing on, since it
// could not be used before.
func (n *Node) updateExactLimit(s *server) {
	expected := n.expectedRate(s)
	if expected <= 0 {
		s.exactLimit = 1
		return
	}
	slowdown := min(1, n.td/max(1, s.delay))
	s.exactLimit = n.td * (s.decayedCount + priorSetUps*slowdown) / (s.decayedSpan + priorSetUps/expected)
	if !s.controlled { // a low count shows that little was sent to it
		s.exactLimit = max(s.exactLimit, n.td*expected*slowdown)
	}
}

// spaceSends applies a limit below one. The time per set-up is τ/N, so the next one follows an answer, or an
// unanswered set-up, after τ/N less Td, which the set-up itself is expected to take. One set-up at each of
// many nodes can overload a server, so the gap grows by the excess of a wait above Td.
func (n *Node) spaceSends(s *server, excess float64) {
	limit := s.exactLimit
	if !s.controlled {
		limit *= uncontrolledMultiple
	}
	if limit >= 1 {
		limit = 1
	}
	gap := min(n.td*(1/limit-1), float64(maxGapIntervals*n.tau))*(0.5+n.rng.Float64()) + excessWaitGain*excess
	s.nextSend = max(s.nextSend, n.now+int64(gap))
}

func (n *Node) updateDelay(s *server, took float64) {
	gain := delayRiseGain
	if took < s.delay {
		gain = delayFallGain
	}
	if s.delay == 0 {
		gain = 1
	}
	s.delay += gain * (took - s.delay)
}

// maxOpen is the maximum of open set-ups at a server. A loose bound also applies without control: otherwise
// all held calls would be sent at once when control ends, or a surge before the first wait is seen.
func (n *Node) maxOpen(s *server) int {
	if s.controlled {
		return s.limit
	}
	return max(1, int(uncontrolledMultiple*s.exactLimit))
}

// hasRoom reports whether a new set-up may be sent to a server now.
func (n *Node) hasRoom(s *server) bool {
	if n.now < s.nextSend || n.now < s.backoff.until || s.backoff.length > 0 && len(s.open) > 0 {
		return false
	}
	if s.lineWindow > 0 && len(s.open) >= int(s.lineWindow) {
		return false
	}
	return s.up && len(s.open)-n.suspectedLost(s) < n.maxOpen(s) && n.hasColdBudget(s)
}

// hadRoomFor also requires that the server had room for a given time. Otherwise late calls would take the
// next slot, the only one of a limit below one, from a call that can be on time and arrives a moment later.
func (n *Node) hadRoomFor(s *server, duration int64) bool {
	return n.now >= s.nextSend+duration && n.hasRoom(s)
}

// ---- choice of the server ----

func (n *Node) allowed(c *call, s *server) bool {
	if s.place == n.settings.HomePlace || c.transit && s.place != c.destination {
		return false
	}
	if c.class.Pools != nil && !slices.Contains(c.class.Pools, s.place) {
		return false
	}
	if c.mayHaveRunAt != nil && c.class.Effect == Guarded {
		switch c.class.Scope {
		case ScopeZone:
			return s.zone == c.mayHaveRunAt.zone
		case ScopeCell:
			return s.place == c.mayHaveRunAt.place
		}
	}
	return true
}

// sendHeld sends held calls while there is room, highest worth first.
func (n *Node) sendHeld() {
	if len(n.held) == 0 || !n.anyServerHasRoom() {
		return
	}
	n.minDelay = n.minExpectedDelay()
	slices.SortStableFunc(n.held, n.compareHeld)
	stillHeld, room := n.held[:0], true
	for _, c := range n.held {
		switch {
		case c.finished:
		case !n.mayRepeat(c):
			n.finish(c)
		case !room || n.now < c.noSendBefore:
			stillHeld = append(stillHeld, c)
		default:
			if s := n.pickServer(c); s != nil {
				n.send(c, s)
				room = n.anyServerHasRoom()
			} else {
				stillHeld = append(stillHeld, c)
			}
		}
	}
	clear(n.held[len(stillHeld):])
	n.held = stillHeld
}

// Avoids reports whether a server gets no set-ups now, whatever its limit is.
func (n *Node) Avoids(id ServerID) bool {
	s := n.serverByID[id]
	return s == nil || !s.up || s.silent || n.now < s.backoff.until
}

func (n *Node) anyServerHasRoom() bool { return slices.ContainsFunc(n.servers, n.hasRoom) }

// minExpectedDelay is the least set-up delay expected of any server.
func (n *Node) minExpectedDelay() float64 {
	best := math.Inf(1)
	for _, s := range n.servers {
		if s.up {
			best = min(best, s.delay)
		}
	}
	return best
}

// compareHeld orders held calls by the worth that they can still earn, then newest first: oldest first, an
// overloaded node would serve every call just at its aim. A call that returns from an attempt counts as new.
func (n *Node) compareHeld(a, b *call) int {
	if d := n.worth(b) - n.worth(a); d != 0 {
		return int(math.Copysign(1, d))
	}
	return int(min(1, max(-1, b.heldSince-a.heldSince)))
}

func (n *Node) isLate(c *call) bool { return float64(n.now)+n.minDelay > float64(c.aimBy) }

// worth is what a held call can still earn; only the late part if it would be set up after its aim.
func (n *Node) worth(c *call) float64 {
	if n.isLate(c) {
		return c.worthFactor * c.class.Worth * c.class.LateWorth
	}
	return c.worthFactor * c.class.Worth
}

// tenantWorthFactor is the part of its worth that a tenant's call earns: all of it within this node's part of
// the tenant's quota, averaged over a second, and OverShareWorth above it.
func (n *Node) tenantWorthFactor(tenant int) float64 {
	if tenant < 0 || tenant >= len(n.tenantQuotas) || n.settings.Tenants[tenant].Quota <= 0 {
		return 1
	}
	quota, rate := &n.tenantQuotas[tenant], n.settings.Tenants[tenant].Quota/float64(n.settings.Instances)
	quota.remaining = min(quota.remaining+rate*float64(n.now-quota.updated)/1e6, max(1, rate))
	quota.updated = n.now
	if quota.remaining < 1 {
		return n.settings.OverShareWorth
	}
	quota.remaining--
	return 1
}

// pickServer chooses the destination while it has room, otherwise by weighted random choice among the others
// that have room.
func (n *Node) pickServer(c *call) *server {
	candidates := n.candidates[:0]
	var roomTime int64
	if n.isLate(c) {
		roomTime = n.lateWait
	}
	for _, s := range n.servers {
		if !n.allowed(c, s) {
			continue
		}
		if s.place == c.destination && s.up && s != c.lastServer {
			if n.hadRoomFor(s, roomTime) {
				return s
			}
			if n.now < c.destinationOnlyUntil {
				return nil
			}
		}
		if n.hadRoomFor(s, roomTime) && s != c.lastServer {
			candidates = append(candidates, s)
		}
	}
	n.candidates = candidates
	if len(candidates) == 0 && c.lastServer != nil && n.hadRoomFor(c.lastServer, roomTime) &&
		n.allowed(c, c.lastServer) {
		return c.lastServer
	}
	return n.drawServer(candidates)
}

// drawServer chooses at random. Weights fall with the set-up delay and rise with the free lines, or the
// capacity where none are reported, and with the set-ups that a server reports it can take.
func (n *Node) drawServer(from []*server) *server {
	total := 0.0
	for _, s := range from {
		total += n.weight(s)
	}
	remaining := n.rng.Float64() * total
	var s *server
	for _, s = range from {
		if remaining -= n.weight(s); remaining <= 0 {
			break
		}
	}
	return s
}

func (n *Node) weight(s *server) float64 {
	w := s.capacityShare
	if s.freeLines >= 0 {
		w = s.freeLines + 1
	}
	w /= n.td/20 + s.delay
	if s.canTake >= 0 {
		w *= s.canTake + 1
	}
	return w
}

func (n *Node) send(c *call, s *server) {
	c.server, c.sentAt = s, n.now
	c.attempts++
	s.open = append(s.open, c)
	s.coldBudget--
	n.spaceSends(s, 0)
	n.emit(Action{Kind: Send, Call: c.id, Server: s.id, SendBy: c.resendUntil})
}

func (s *server) updateLoad(load Load) {
	if load.CanTake >= 0 {
		s.canTake = load.CanTake
	}
	if load.FreeLines >= 0 {
		s.freeLines = load.FreeLines
	}
}

// ---- protection of servers and callers ----

// backOffAfterFailure backs off from a server that rejects set-ups or cannot be reached. Its slot is free
// again at once, so the limit alone would let calls be sent to it in rapid succession. After a backoff that
// doubles it gets one set-up at a time until one completes.
func (n *Node) backOffAfterFailure(s *server) {
	n.backOff(s, failureBackoffMultiple, max(s.backoff.length, n.scaleToInterval(maxBackoff)))
}

// shrinkLineWindow handles a rejection by a server whose lines are all taken while its processor is not full.
// Lines become free one by one, so neither a backoff nor set-ups up to the limit are suitable. The window is
// halved; rejections of set-ups sent before the last reduction are ignored. At a window of one set-up the
// server is backed off from as after any immediate failure.
func (n *Node) shrinkLineWindow(s *server, c *call) {
	switch {
	case s.lineWindow == 0:
		s.lineWindow, s.windowCutAt = max(1, float64(len(s.open)+1)/2), n.now
	case c.sentAt > s.windowCutAt && s.lineWindow > 1:
		s.lineWindow, s.windowCutAt = max(1, s.lineWindow/2), n.now
	case s.lineWindow == 1:
		n.backOffAfterFailure(s)
	}
}

// widenLineWindow adds one set-up to the window for each full window that completed, and removes the window
// once it is above the limit.
func (s *server) widenLineWindow(bound float64) {
	if s.lineWindow == 0 {
		return
	}
	if s.lineWindow += 1 / s.lineWindow; s.lineWindow > bound {
		s.lineWindow = 0
	}
}

// backOff starts or doubles the backoff of a server. The times grow with the expected time per set-up, so
// that all nodes together send trial set-ups to a failing server at a fraction of its normal rate.
func (n *Node) backOff(s *server, multiple float64, longest int64) {
	first := n.scaleToInterval(firstBackoff)
	if expected := n.expectedRate(s); expected > 0 {
		first = max(first, min(int64(multiple/expected), maxGapIntervals*n.tau))
		longest = max(longest, min(int64(maxBackoffMultiple*multiple/expected), maxGapIntervals*n.tau))
	}
	s.backoff.extend(n.now, first, longest)
}

// scaleToInterval scales a time in proportion to τ.
func (n *Node) scaleToInterval(duration int64) int64 { return duration * n.tau / countInterval }

// noteAnswer records that a server answered a set-up.
func (n *Node) noteAnswer(s *server) {
	s.lastAnswer = n.now
	if s.silent {
		s.silent = false
		n.logf("server %s answers again", s.id)
	}
}

// cancelOvertaken cancels set-ups that were sent well before one that has completed: they are lost, and would
// hold their slots, and their callers, until the deadline. A refusal does not show this, because it does not
// wait in the queue.
func (n *Node) cancelOvertaken(s *server, c *call) {
	for _, other := range s.open { // in the order in which they were sent
		if other.sentAt+int64(overtakenFraction*n.td) >= c.sentAt {
			break
		}
		s.lossy = true
		n.cancelAttempt(other)
	}
}

// losesSetUps reports whether set-ups that this server does not answer in time were lost on the way. Loss
// must not start control, or bring the limit near zero, at a server that answers in time all that it
// receives.
func (s *server) losesSetUps() bool { return s.lossy && !s.silent }

// suspectedLost is 1 if set-ups to this server get lost and its oldest open one has been out for several
// average delays, else 0. At a limit of one a lost set-up would otherwise block all others until it is given
// up.
func (n *Node) suspectedLost(s *server) int {
	threshold := max(delayMultiple*s.delay, overtakenFraction*n.td)
	if s.lossy && len(s.open) > 0 && float64(n.now-s.open[0].sentAt) > threshold {
		return 1
	}
	return 0
}

// checkSilence handles a server that accepts set-ups and answers none, or cannot be heard: its open set-ups
// are cancelled while they can still complete elsewhere, and it gets one trial set-up at a time. The
// threshold grows with the average delay, so that a slow server is not taken for a silent one. Where set-ups
// were shown to be lost on the way, the first silence counts as one more loss and has no other effect.
func (n *Node) checkSilence(s *server) {
	if len(s.open) == 0 || s.open[0].cancelled {
		return
	}
	threshold := int64(max(silenceMultiple*n.td, delayMultiple*s.delay))
	if n.now-max(s.lastAnswer, s.open[0].sentAt) <= threshold {
		return
	}
	s.lossy = s.lossy && !s.silent
	if !s.lossy {
		n.backOff(s, silenceBackoffMultiple, n.tau)
		n.updateDelay(s, float64(n.now-s.open[0].sentAt))
	}
	if !s.silent {
		s.silent = true
		n.logf("server %s is silent", s.id)
	}
	for _, c := range s.open {
		if n.now-c.sentAt > threshold {
			n.cancelAttempt(c)
		}
	}
}

// hasColdBudget protects a server that has just started from being pushed over: this node's sends stay below
// its share of the load, Rules.FallMultiple times the present capacity, that all nodes together may send. The
// capacity is taken from the rate that servers are certain to take from this node.
func (n *Node) hasColdBudget(s *server) bool {
	age := n.now - s.started
	if s.started == 0 || age >= n.settings.Rules.ColdTime {
		return true
	}
	fraction := n.settings.Rules.StartCapacity
	fraction += (1 - fraction) * max(0, float64(age)) / float64(n.settings.Rules.ColdTime)
	refill := float64(n.now-s.coldBudgetAt) * coldBudgetFraction * n.settings.Rules.FallMultiple * fraction *
		n.provenUnitRate * s.capacityShare
	s.coldBudget, s.coldBudgetAt = max(s.coldBudget, min(s.coldBudget+refill, 1)), n.now
	return s.coldBudget >= 1
}
