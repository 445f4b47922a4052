// Package session turns what arrives on connections into the decision module's events, and the module's
// actions into messages. Nothing is decided here, and nothing here reads a clock or opens a socket itself.
package session

import (
	"fmt"
	"log/slog"
	"math"
	"slices"

	"pewterwheel/decide"
	"pewterwheel/internal/admit"
	"pewterwheel/internal/liveness"
	"pewterwheel/internal/membership"
	"pewterwheel/internal/pooling"
	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

// Decider is the decision module as the session drives it.
type Decider interface {
	Step(now int64, e decide.Event, out []decide.Action) []decide.Action
	Avoids(id decide.ServerID) bool
}

// Reloader is a Decider that takes its own part of a configuration that was read anew, and answers with actions.
type Reloader interface {
	Reload(now int64, part any, out []decide.Action) []decide.Action
}

// Figurer is a Decider that has figures of its own for staff: counts that only grow, and gauges.
type MetricsReporter interface {
	Figures(put func(name string, n uint64, gauge bool))
}

// Network opens connections; the result comes back as an arrival of kind Dialled.
type Network interface {
	Dial(address string, id uint64)
	// Leave takes in the callers that wait to be, and listens for no more; then an arrival of kind Left comes.
	Leave()
}

// Times of the program's own, in microseconds; those of the service come with its settings.
const (
	wheelTick = 5_000
	// journalSilence: an empty frame comes each second, so a connection silent for longer has died. What was to
	// come on it counts as told 4 s after it fell silent, or 2 s after it broke; a new one must be up by then,
	// and a connect that does not come up takes half a second of that.
	journalSilenceTimeout = 2_200_000
	journalCheckInterval  = 200_000
	// wholeWithin is how long an office may take from the first byte of a message to its last. Guards against
	// a length that is too large: the message never ends, and takes in all that follows on the connection.
	officeMessageTimeout = 100_000
	watchInterval        = 20_000
	// standStill without a round, though one comes with each watch, means that the process did not run, or the loop had too
	// much to do.
	minPause = 3 * watchInterval
	// callerWithin is how long a caller's connection may take to bring its first whole set-up, test or release,
	// and each later message from its first byte to its last. A bad client is owed an end within 3 s.
	callerMessageTimeout = 2_000_000
	// maxOpen bounds the set-ups that one connection may have open. Many calls share one, but no usual caller
	// sends several seconds' worth of calls on one.
	maxOpenPerCaller = 256
	// maxOdd bounds the set-ups that cannot be read and the releases of calls that nobody knows on one
	// connection. After a restart callers release the calls that stand, so it must bear some.
	maxInvalidPerCaller = 256
	// badSetUp is what a set-up that cannot be read counts towards maxOdd: eight end the connection.
	invalidSetUpWeight = maxInvalidPerCaller / 8
	// One part in heldPart of the memory is for open set-ups, each of which takes callSize beside its description.
	// Guards against set-ups of 16 KiB each, of which the settings would let more be open than memory holds.
	memoryDivisor, callOverhead = 8, 1024
	// maxEndings bounds the releases kept for an office until it is heard to take them.
	maxPendingReleases = 4096
	// maxBefore bounds the releases of calls of before our start that are kept for offices that are named later.
	maxEarlierReleases = 1024
	// redialFirst and redialMost bound the pause between connects to an office at which calls stand.
	minRedialDelay, maxRedialDelay = 100_000, 800_000
	// reopenMost bounds it after a connection that came up and did not last: the office is there, and what it releases on a
	// connection that ends, and on the next one that does, has to come within a second.
	maxReopenDelay = 250_000
	// inheritFor is how long after its start, and after the last end of a call of before it, this process counts on further
	// ones: it connects again to all offices, for their releases come on the next connection.
	earlierCallsWindow = 10_000_000
	// maxEager offices have a connection each from when they are first named, fewer where descriptors are short; of longer
	// lists each has it from its first set-up. Guards against thousands of connects at once, most of which nobody will need.
	maxEagerOffices = 512
	// remember is how long ids of calls that are over are known, to tell a crossing release from that of a
	// call of before our start.
	endedCallTTL  = 20_000_000
	sweepInterval = 1_000_000
	// tellAfter is how much later an office is told once more of set-ups that were stuck on a connection which has ended.
	releaseRepeatDelay = 1_000_000
	// unsureFor: a caller that closes so soon after a release was written to it, and has not said that it heard
	// it, may not have read it.
	unconfirmedReleaseTTL = 6_000_000
	// goOn is how long after SIGTERM connections (0.4 s) and set-ups on them (0.2 s more) may still come.
	acceptAfterStop = 850_000
	// No kill comes sooner after SIGTERM than the longest deadline, counted as longestCounted where it is
	// longer, plus killAfter. Every call has its final answer this much before: beforeKill.
	maxCountedDeadline, killDelay, killMargin = 3_000_000, 700_000, 200_000
	maxEndedCalls                             = 1 << 16
	maxEventPasses                            = 32
)

// Config is what a Session is made from.
type Config struct {
	Settings wire.Settings
	Source   membership.Source
	Sockets  int
	Memory   int64 // bytes; 0: not limited
	Seed     uint64
	// Node makes what decides; nil: the module alone.
	Node func(decide.Settings, uint64) (Decider, error)
	// Laner says on which connection to an office a message goes; nil: each office has one for all, and nothing of it is kept.
	Laner pooling.Laner
	// Watch: Laner is told what is seen and not asked; all goes as without it.
	Watch bool
	// Application is the name of the application whose callers come here, for Laner.
	Application string
}

// Session is one running session controller. All of it belongs to one goroutine.
type Session struct {
	Counters state.Counters

	net               Network
	decider           Decider
	endHearer         EndHearer // the node, if it is one
	log               *slog.Logger
	source            membership.Source
	journal           journal
	now               int64
	lastStep          int64 // when the last round was
	pauseBegan        int64 // when the last round before a stand-still was; 0: never
	readDelay         int64 // how long what came in this round had waited at most
	pauseEnded        int64 // when it last came to after standing still, or was found to have been told late; 0: never
	wheel             *state.Wheel
	dueTimers         []state.Timer
	events            []decide.Event
	spareEvents       []decide.Event
	actions           []decide.Action
	controlReply      []byte
	params            []wire.Param // of the message that is being read
	pendingWrites     []any        // *state.Caller and *state.Lane that have something to be written
	callPool          state.Calls
	callerScratch     []*state.Caller
	admission         admit.Door
	offeredSetUps     []offeredSetUp // set-ups of this round
	admissionOffers   []admit.Offer
	admittedEvents    []decide.Event // room for those that the door takes
	refusedScratch    []bool
	admissionRefusals int // set-ups of this round that the door refused

	classIndex      map[string]int
	classNames      map[string]string // of classes
	settings        wire.Settings
	maxTries        int
	maxCalls        int
	maxCallBytes    int64 // of open set-ups
	callBytes       int64
	maxCallers      int
	maxControlConns int
	descriptorLimit int // descriptors for callers and offices together
	maxEagerOffices int
	fullSince       int64 // since when there has been no place for a new caller; 0: there is one
	dialTimeout     int64
	maxDeadline     int64 // the longest deadline of a class

	reportRhythm    liveness.Rhythm    // of all offices' reports
	callDurations   *liveness.Holding  // how long calls last
	livenessClock   checkClock         // when connections to offices were last looked at
	connOwners      map[state.Conn]any // *state.Caller, *state.Lane or *journal
	callers         []*state.Caller    // in the order in which they came
	controlConns    []*state.Asker     // in the order in which they came
	answerCounts    []state.Ends       // by class
	calls           map[uint64]*state.Call
	established     map[uint64]*state.Standing
	unsentReleases  map[uint64]state.Ending // releases to callers, of whom none is connected
	earlierReleases map[uint64]state.Ending // callers' releases of calls of before our start, for offices that are named later
	endedCalls      map[uint64]int64        // ids of calls that ended, and when
	// The most entries that these have had at a sweep, since they were last made anew.
	mostEndedCalls, mostCalls, mostEstablished int
	offices                                    state.Offices
	dials                                      map[uint64]*state.Lane   // nil: the journal
	pendingRedials                             map[uint64]*state.Office // those that wait to be dialled again, by the wait's number
	lastDialID                                 uint64
	startedAt                                  int64
	earlierCallSeen                            int64 // when a call of before our start was last heard of; at first the start
	stoppedAt                                  int64 // when SIGTERM came; 0: not
	listenerClosed                             bool  // nobody listens for callers any more
	drainingSince                              int64 // since when callers are sent away though the program goes on; 0: they are not
	lanes                                      lanes
}

// New returns a session that knows the list of its configuration. The first Step starts it.
func New(cfg Config, net Network, log *slog.Logger, now int64) (*Session, error) {
	set, err := cfg.Settings.Decide()
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if cfg.Node == nil {
		cfg.Node = func(set decide.Settings, seed uint64) (Decider, error) { return decide.New(set, seed) }
	}
	node, err := cfg.Node(set, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Session{net: net, decider: node, log: log, now: now, lastStep: now, wheel: state.NewWheel(wheelTick, now),
		startedAt: now, earlierCallSeen: now, answerCounts: make([]state.Ends, len(cfg.Settings.Classes)), settings: cfg.Settings, classIndex: map[string]int{}, classNames: map[string]string{}, maxTries: set.MaxTries, maxCalls: cfg.Settings.Limits.MaxHeld,
		maxCallers: max(minCallers, cfg.Sockets/2), maxControlConns: controlConnLimit(cfg.Sockets), descriptorLimit: cfg.Sockets - reservedDescriptors(cfg.Sockets), maxCallBytes: math.MaxInt64, dialTimeout: cfg.Settings.DialLimit().Microseconds(),
		connOwners: map[state.Conn]any{}, calls: map[uint64]*state.Call{},
		established: map[uint64]*state.Standing{}, unsentReleases: map[uint64]state.Ending{}, earlierReleases: map[uint64]state.Ending{}, endedCalls: map[uint64]int64{},
		dials: map[uint64]*state.Lane{}, pendingRedials: map[uint64]*state.Office{}}
	s.maxEagerOffices = min(maxEagerOffices, max(1, s.descriptorLimit-cfg.Sockets/callerReserveDivisor))
	s.lanes.init(cfg)
	if cfg.Memory > 0 {
		s.maxCallBytes = cfg.Memory / memoryDivisor
	}
	if s.maxCalls <= 0 {
		s.maxCalls = 20_000
	}
	s.callDurations = liveness.NewHolding(len(cfg.Settings.Classes))
	s.endHearer, _ = node.(EndHearer)
	for i, c := range cfg.Settings.Classes {
		s.classIndex[c.Name], s.classNames[c.Name] = i, c.Name
		s.maxDeadline = max(s.maxDeadline, c.Deadline)
	}
	s.queueEvent(decide.Event{Kind: decide.Start})
	s.source = cfg.Source
	if err := s.source.Start(now, s.applyChange); err != nil {
		return nil, err
	}
	s.dialJournal()
	s.wheel.Set(now+watchInterval, state.Timer{Kind: state.TimerPartial})
	s.wheel.Set(now+sweepInterval, state.Timer{Kind: state.TimerSweep})
	s.wheel.Set(now+journalCheckInterval, state.Timer{Kind: state.TimerJournal})
	return s, nil
}

// Next tells when Step is due at the latest, whatever arrives.
func (s *Session) Next() int64 {
	if len(s.events) > 0 {
		return s.now
	}
	at, _ := s.wheel.Next() // never empty: the sweep is always set
	return at
}

// Step takes in what has arrived and the timers that are due, hands all of it to the module at one clock
// value, and carries out the module's actions in order.
func (s *Session) Step(now int64, arrivals []Arrival) {
	if s.now = max(s.now, now); s.wasPaused(arrivals) {
		s.pauseEnded = s.now
		s.pauseBegan = s.lastStep
	}
	s.lastStep = s.now
	if len(arrivals) > 0 {
		s.Counters[state.Rounds]++
	}
	s.offeredSetUps = s.offeredSetUps[:0]
	s.readDelay = 0
	for _, arrival := range arrivals {
		s.readDelay = max(s.readDelay, s.now-arrival.At)
		s.handleArrival(arrival)
	}
	s.admissionRefusals = 0
	if n := len(s.offeredSetUps); n > s.admission.Most(n) {
		s.admitRound()
	}
	s.dueTimers = s.wheel.Advance(s.now, s.dueTimers[:0])
	for _, timer := range s.dueTimers {
		s.handleTimer(timer)
	}
	// What an action ends at once, like a cancelled attempt, is an event of a further round. The bound only
	// lets arrivals in between; it cuts nothing off.
	for range maxEventPasses {
		if len(s.events) == 0 {
			break
		}
		events := s.events
		s.events, s.spareEvents = s.spareEvents[:0], nil
		s.actions = s.actions[:0]
		for _, event := range events {
			s.actions = s.decider.Step(s.now, event, s.actions)
		}
		s.spareEvents = events[:0]
		for _, action := range s.actions {
			s.execute(action)
		}
	}
	if s.lanes.laner != nil {
		s.finishLaneRound()
	}
	s.flush()
	s.callPool.Settle()
}

// stoodStill tells whether this round comes long after the last one, or tells of what came in long ago. Guards against
// beginning an attempt for a caller who has left meanwhile: that he has may not have been read yet.
func (s *Session) wasPaused(arrivals []Arrival) bool {
	return s.now-s.lastStep > minPause || slices.ContainsFunc(arrivals, func(arrival Arrival) bool { return s.now-arrival.At > minPause })
}

// Done tells whether a stop that was asked for is complete: nothing that was taken lacks its answer, no more can come, and
// all that was written has been read, or a kill may come. Guards against ending while callers wait to be taken in: the
// system resets them, with the set-ups that they have sent.
func (s *Session) Done() bool {
	return s.stoppedAt != 0 && s.now >= s.stoppedAt+acceptAfterStop && s.countOpen() == 0 && !s.releasesPending() && (s.listenerClosed && len(s.callers) == 0 || s.now >= s.lastAnswerTime())
}

// lastAnswer is when the last call must have its answer once SIGTERM has come.
func (s *Session) lastAnswerTime() int64 {
	return s.stoppedAt + min(maxCountedDeadline, s.maxDeadline) + killDelay - killMargin
}

// endAll gives what is still open its final answer. Guards against the kill, which loses it: callers may wait
// longer than that. They may try another controller at once, so no time to come back is told.
func (s *Session) failOpenCalls() {
	for _, call := range inKeyOrder(s.calls) {
		if !call.Answered {
			s.failCall(call)
		}
	}
}

// endNow gives an open call its final answer, whatever the module would still do for it, and calls it off.
func (s *Session) failCall(call *state.Call) {
	s.finishCall(call, decide.Action{Call: decide.CallID(call.ID)}, wire.CauseCut, state.FailuresOut)
}

func (s *Session) finishCall(call *state.Call, action decide.Action, cause byte, counter state.Counter) {
	s.sendFinal(action, cause, counter)
	s.queueEvent(decide.Event{Kind: decide.Gone, Call: decide.CallID(call.ID)})
	if call.Attempt != nil {
		s.cancelAttempt(call.Attempt, decide.Cancelled)
	}
}

func (s *Session) countOpen() int {
	n := 0
	for _, call := range s.calls {
		if !call.Answered {
			n++
		}
	}
	return n
}

func (s *Session) queueEvent(event decide.Event) { s.events = append(s.events, event) }

// Report logs the counters and what is held now.
func (s *Session) Report() {
	s.log.Info("counters", "counts", s.Counters.String(), "open", s.countOpen(), "standing", len(s.established),
		"callers", len(s.callers), "offices", len(s.offices.All()))
}

// act carries out one action of the module.
func (s *Session) execute(action decide.Action) {
	switch action.Kind {
	case decide.Send:
		s.startAttempt(action)
	case decide.Refuse:
		s.sendFinal(action, wire.CauseCongestion, state.RefusalsOut)
	case decide.Fail:
		s.sendFinal(action, wire.CauseCut, state.FailuresOut)
	case decide.Cancel:
		if call := s.calls[uint64(action.Call)]; call != nil && call.Attempt != nil && call.Attempt.N == action.Attempt {
			s.Counters[state.CancelsOut]++
			s.cancelAttempt(call.Attempt, decide.Cancelled)
		}
	case decide.Timer:
		s.setTimer(s.now+action.Wait, state.Timer{Kind: state.TimerModule, ID: action.Token})
	case decide.Watch: // the journal is always subscribed to
	case decide.Log:
		s.log.Info("decided", "text", action.Text)
	}
}
