// Package session converts input from connections into events of the decision module, and the module's actions
// into messages. It makes no routing decisions, reads no clock and opens no sockets itself.
package session

import (
	"fmt"
	"log/slog"
	"math"
	"slices"

	"pewterwheel/decide"
	"pewterwheel/internal/admit"
	"pewterwheel/internal/delivery"
	"pewterwheel/internal/liveness"
	"pewterwheel/internal/membership"
	"pewterwheel/internal/pooling"
	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

// Decider is the decision module as used by a Session.
type Decider interface {
	Step(now int64, e decide.Event, out []decide.Action) []decide.Action
	Avoids(id decide.ServerID) bool
}

// Reloader is a Decider with its own part of a reloaded configuration. It returns actions to carry out.
type Reloader interface {
	Reload(now int64, part any, out []decide.Action) []decide.Action
}

// MetricsReporter is a Decider that reports metrics of its own: counters, and gauges.
type MetricsReporter interface {
	Figures(put func(name string, n uint64, gauge bool))
}

// Network opens connections; the result is delivered as an Arrival of kind Dialled.
type Network interface {
	Dial(address string, id uint64)
	// StopAccepting accepts the callers that wait in the listener's backlog and closes the listener; then an Arrival
	// of kind ListenerClosed follows.
	StopAccepting()
}

// Fixed times in microseconds; configurable ones come with the settings.
const (
	wheelTick = 5_000
	// journalSilenceTimeout: the journal sends an empty frame each second, so a connection that is silent for
	// longer has died. A change must be applied within 4 s after the connection fell silent, or 2 s after it
	// broke. A new connection must be open by then, and a failed connect takes half a second of that time.
	journalSilenceTimeout = 2_200_000
	journalCheckInterval  = 200_000
	// officeMessageTimeout is how long an office may take from the first byte of a message to its last. It
	// detects a wrong length field, with which the message would never end and swallow all later messages.
	officeMessageTimeout = 100_000
	watchInterval        = 20_000
	// minPause is the time without a round, though one follows each watchInterval, that counts as a process
	// pause: the process did not run, or the loop was overloaded.
	minPause = 3 * watchInterval
	// callerMessageTimeout is how long a caller's connection may take to send its first complete set-up, test
	// or release, and each later message from its first byte to its last. The connection of a misbehaving
	// client must end within 3 s.
	callerMessageTimeout = 2_000_000
	// maxOpenPerCaller bounds the open set-ups of one connection. Many calls share a connection, but no
	// well-behaved caller sends several seconds' worth of calls on one.
	maxOpenPerCaller = 256
	// maxInvalidPerCaller bounds the unreadable set-ups and the releases of unknown calls on one connection.
	// After a restart callers release calls of the previous process, so some must be tolerated.
	maxInvalidPerCaller = 256
	// invalidSetUpWeight is what an unreadable set-up counts towards maxInvalidPerCaller: eight end the
	// connection.
	invalidSetUpWeight = maxInvalidPerCaller / 8
	// One part in memoryDivisor of the memory is for open set-ups, each of which takes callOverhead beside its
	// description. Otherwise the settings would allow more set-ups of 16 KiB each than fit in memory.
	memoryDivisor, callOverhead = 8, 1024
	// maxPendingReleases bounds the pending releases kept for one office.
	maxPendingReleases = 4096
	// maxEarlierReleases bounds the releases of a previous process's calls that are kept for offices listed
	// later.
	maxEarlierReleases = 1024
	// maxReportsPerRound bounds the reports of one office that are evaluated in a round. Offices report some times a
	// second, on up to four connections.
	maxReportsPerRound = 64
	// minRedialDelay and maxRedialDelay bound the delay between connects to an office with established calls.
	minRedialDelay, maxRedialDelay = 100_000, 800_000
	// maxReopenDelay bounds the delay after a connection that was opened and soon lost. The office is
	// reachable, and what it releases on a connection that ends, and then on the next one, has to arrive
	// within a second.
	maxReopenDelay = 250_000
	// maxEagerOffices offices are connected to as soon as they are listed, fewer if descriptors are short.
	// With a longer list each is connected to at its first set-up, to avoid thousands of simultaneous connects
	// of which most are never needed.
	maxEagerOffices = 512
	// pendingReleaseTTL is how long a release that an office does not acknowledge is kept.
	pendingReleaseTTL = 20_000_000
	sweepInterval     = 1_000_000
	// releaseRepeatDelay is how much later a release is repeated to an office if its connection ended with unsent
	// data.
	releaseRepeatDelay = 1_000_000
	// unreadAnswerTimeout is how long a caller may leave what was written to it unread before it counts as vanished.
	unreadAnswerTimeout = 6_000_000
	// SIGKILL comes no sooner after SIGTERM than the longest deadline, counted as at most maxCountedDeadline,
	// plus killDelay. Every call gets its final answer killMargin before that.
	maxCountedDeadline, killDelay, killMargin = 3_000_000, 700_000, 200_000
	maxEventPasses                            = 32
)

// Config configures a Session.
type Config struct {
	Settings wire.Settings
	Source   membership.Source
	Sockets  int
	Memory   int64 // bytes; 0: unlimited
	Seed     uint64
	// NewDecider creates the decider; nil: the decision module alone.
	NewDecider func(decide.Settings, uint64) (Decider, error)
	// ConnSelector selects the connection to an office for each message; nil: each office has a single connection,
	// and no state is kept for pooled connections.
	ConnSelector pooling.ConnectionSelector
	// ObserveOnly: ConnSelector is informed but not asked, and calls are routed as without it.
	ObserveOnly bool
	// Application is the name of the application of the callers, for ConnSelector.
	Application string
}

// Session is a running session controller. It must be used by one goroutine only.
type Session struct {
	Counters state.Counters

	net               Network
	decider           Decider
	endObserver       EndObserver // the decider, if it implements EndObserver
	log               *slog.Logger
	source            membership.Source
	journal           journal
	now               int64
	lastStep          int64 // time of the last round
	pauseBegan        int64 // time of the last round before a process pause; 0: never
	readDelay         int64 // longest time for which input of this round had waited
	pauseEnded        int64 // when the last process pause ended, or input was found to have waited long; 0: never
	wheel             *state.Wheel
	dueTimers         []state.Timer
	events            []decide.Event
	spareEvents       []decide.Event
	actions           []decide.Action
	peakEvents        int // most events of a pass since the last sweep
	controlReply      []byte
	params            []wire.Param // of the message being read
	pendingWrites     []any        // *state.Caller and *state.OfficeConn with messages to write
	callPool          state.FreeList
	callerScratch     []*state.Caller
	admission         admit.RoundLimiter
	offeredSetUps     []offeredSetUp // set-ups of this round
	admissionOffers   []admit.Candidate
	admittedEvents    []decide.Event // scratch space for the events of admitted set-ups
	refusedScratch    []bool
	admissionRefusals int // set-ups of this round refused by admission control

	classIndex      map[string]int
	classNames      map[string]string // of classes
	settings        wire.Settings
	maxTries        int
	maxCalls        int
	maxCallBytes    int64 // of open set-ups
	callBytes       int64
	maxCallers      int
	maxControlConns int
	sockets         int // all descriptors
	descriptorLimit int // descriptors for callers and offices together
	maxEagerOffices int
	fullSince       int64 // since when no new caller can be accepted; 0: one can
	dialTimeout     int64
	maxDeadline     int64 // the longest deadline of a class

	reportRhythm  liveness.ReportInterval // of all offices' reports
	callDurations *liveness.HoldingTimes  // distribution of call durations
	livenessClock checkClock              // state of the office checks
	connOwners    map[state.Conn]any      // *state.Caller, *state.OfficeConn, *state.ControlConn or *journal
	callers       []*state.Caller         // in order of arrival
	controlConns  []*state.ControlConn    // in order of arrival
	answerCounts  []state.FinalAnswers    // by class
	calls         map[uint64]*state.Call
	established   map[uint64]*state.EstablishedCall
	releases      delivery.Log // releases towards callers
	// until when this process tells callers of the ends of calls
	responsibility delivery.Responsibility
	contacts       officeContacts
	// callers' releases of a previous process's calls, for the offices
	earlierWaiting delivery.EarlierReleases
	// the same for later offices
	earlierReleases map[uint64]state.PendingRelease
	endedCalls      state.EndedCalls
	// Largest sizes of these maps at a sweep since they were last reallocated.
	peakCalls, peakEstablished int
	offices                    state.Offices
	dials                      map[uint64]*state.OfficeConn // nil: the journal
	pendingRedials             map[uint64]*state.Office     // by number of the timer
	lastDialID                 uint64
	startedAt                  int64
	shutdownSince              int64 // since when a shutdown lasts, which SIGTERM starts; 0: none
	listenerClosed             bool  // the callers' listener is closed
	drainingSince              int64 // since when a drain lasts; 0: none
	pooled                     pooledConns
}

// New returns a session with the list in the source's configuration. The first Step starts it.
func New(cfg Config, net Network, log *slog.Logger, now int64) (*Session, error) {
	set, err := cfg.Settings.Decide()
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if cfg.NewDecider == nil {
		cfg.NewDecider = func(set decide.Settings, seed uint64) (Decider, error) { return decide.New(set, seed) }
	}
	node, err := cfg.NewDecider(set, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Session{net: net, decider: node, log: log, now: now, lastStep: now, wheel: state.NewWheel(wheelTick, now),
		startedAt: now, responsibility: delivery.NewResponsibility(now),
		answerCounts: make([]state.FinalAnswers, len(cfg.Settings.Classes)),
		settings:     cfg.Settings, classIndex: map[string]int{}, classNames: map[string]string{}, maxTries: set.MaxTries,
		maxCalls:   cfg.Settings.Limits.MaxHeld,
		maxCallers: max(minCallers, cfg.Sockets/2), maxControlConns: controlConnLimit(cfg.Sockets),
		sockets: cfg.Sockets, descriptorLimit: cfg.Sockets - reservedDescriptors(cfg.Sockets), maxCallBytes: math.MaxInt64,
		dialTimeout: cfg.Settings.DialLimit().Microseconds(),
		connOwners:  map[state.Conn]any{}, calls: map[uint64]*state.Call{},
		established:     map[uint64]*state.EstablishedCall{},
		earlierReleases: map[uint64]state.PendingRelease{},
		dials:           map[uint64]*state.OfficeConn{}, pendingRedials: map[uint64]*state.Office{}}
	s.maxEagerOffices = min(maxEagerOffices, max(1, s.descriptorLimit-cfg.Sockets/callerReserveDivisor))
	s.pooled.init(cfg)
	if cfg.Memory > 0 {
		s.maxCallBytes = cfg.Memory / memoryDivisor
	}
	if s.maxCalls <= 0 {
		s.maxCalls = 20_000
	}
	s.callDurations = liveness.NewHoldingTimes(len(cfg.Settings.Classes))
	s.endObserver, _ = node.(EndObserver)
	for i, c := range cfg.Settings.Classes {
		s.classIndex[c.Name], s.classNames[c.Name] = i, c.Name
		s.maxDeadline = max(s.maxDeadline, c.Deadline)
	}
	s.queueEvent(decide.Event{Kind: decide.NodeStarted})
	s.source = cfg.Source
	if err := s.source.Start(now, s.applyChange); err != nil {
		return nil, err
	}
	s.dialJournal()
	s.wheel.Set(now+watchInterval, state.Timer{Kind: state.TimerIncomplete})
	s.wheel.Set(now+sweepInterval, state.Timer{Kind: state.TimerSweep})
	s.wheel.Set(now+journalCheckInterval, state.Timer{Kind: state.TimerJournal})
	return s, nil
}

// Next returns the time by which Step has to be called even without arrivals.
func (s *Session) Next() int64 {
	if len(s.events) > 0 {
		return s.now
	}
	at, _ := s.wheel.Next() // never empty: the sweep is always set
	return at
}

// Step handles arrivals and due timers, passes the resulting events to the decider at one clock value, and
// carries out its actions in order.
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
	if n := len(s.offeredSetUps); n > s.admission.MaxSetUps(n) {
		s.admitRound()
	}
	s.dueTimers = s.wheel.Advance(s.now, s.dueTimers[:0])
	for _, timer := range s.dueTimers {
		s.handleTimer(timer)
	}
	// What an action ends at once, like a cancelled attempt, is an event of a further pass. The bound only
	// lets arrivals in between; no event is dropped.
	for range maxEventPasses {
		if len(s.events) == 0 {
			break
		}
		events := s.events
		s.peakEvents = max(s.peakEvents, len(events))
		s.events, s.spareEvents = s.spareEvents[:0], nil
		s.actions = s.actions[:0]
		for _, event := range events {
			s.actions = s.decider.Step(s.now, event, s.actions)
		}
		s.spareEvents = spareBuffer(events)
		for _, action := range s.actions {
			s.execute(action)
		}
	}
	if s.pooled.connSelector != nil {
		s.finishConnRound()
	}
	s.passOnEarlierReleases()
	s.sendRetainedToAll()
	s.flush()
	s.callPool.Recycle()
}

// spareBuffer returns a buffer of events for reuse, unless it has grown for a flood.
func spareBuffer(events []decide.Event) []decide.Event {
	const maxSpare = 4096
	if cap(events) > maxSpare {
		return nil
	}
	return events[:0]
}

// trimEventBuffers lets the buffers of events and actions go that are far larger than any pass needed since the last sweep.
func (s *Session) trimEventBuffers() {
	const least, much = 64, 4
	if most := max(cap(s.events), cap(s.spareEvents), cap(s.actions)); most > max(least, much*s.peakEvents) {
		s.spareEvents, s.actions = nil, nil
		s.events = append([]decide.Event(nil), s.events...)
	}
	s.peakEvents = 0
}

// wasPaused reports whether this round comes long after the last one, or delivers input that arrived long ago.
// In this case the end of a caller may be unread, and no attempt should begin for it.
func (s *Session) wasPaused(arrivals []Arrival) bool {
	return s.now-s.lastStep > minPause ||
		slices.ContainsFunc(arrivals, func(arrival Arrival) bool { return s.now-arrival.At > minPause })
}

// Done reports whether a requested stop is complete: every accepted call is answered, no more can arrive, and
// everything written has been read, or SIGKILL may come. Exiting while callers wait to be accepted would reset
// their connections and lose the set-ups that they have sent.
func (s *Session) Done() bool {
	return s.shutdownSince != 0 && s.responsibility.DisconnectingFor(s.now) >= 0 && s.countOpen() == 0 &&
		!s.releasesPending() && (s.listenerClosed && len(s.callers) == 0 && s.earlierWaiting.Waiting() == 0 ||
		s.now >= s.lastAnswerTime())
}

// lastAnswerTime is when the last call must have its answer at shutdown.
func (s *Session) lastAnswerTime() int64 {
	return s.shutdownSince + min(maxCountedDeadline, s.maxDeadline) + killDelay - killMargin
}

// failOpenCalls gives each open call its final answer, because SIGKILL would lose it; a caller's own time
// limit may be later. Callers may try another controller at once, so no retry delay is sent.
func (s *Session) failOpenCalls() {
	for _, call := range inKeyOrder(s.calls) {
		if !call.Answered {
			s.failCall(call)
		}
	}
}

// failCall gives an open call its final answer, whatever the module would still do for it, and cancels its
// attempt.
func (s *Session) failCall(call *state.Call) {
	s.finishCall(call, decide.Action{Call: decide.CallID(call.ID)}, wire.CauseCut, state.FailuresOut)
}

func (s *Session) finishCall(call *state.Call, action decide.Action, cause byte, counter state.Counter) {
	s.sendFinal(action, cause, counter)
	s.queueEvent(decide.Event{Kind: decide.CallerLeft, Call: decide.CallID(call.ID)})
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

// Report logs the counters and the current state.
func (s *Session) Report() {
	s.countRetained()
	s.log.Info("counters", "counts", s.Counters.String(), "open", s.countOpen(), "standing", len(s.established),
		"callers", len(s.callers), "offices", len(s.offices.All()))
}

// execute carries out one action of the decider.
func (s *Session) execute(action decide.Action) {
	switch action.Kind {
	case decide.Send:
		s.startAttempt(action)
	case decide.Refuse:
		s.sendFinal(action, wire.CauseCongestion, state.RefusalsOut)
	case decide.Fail:
		s.sendFinal(action, wire.CauseCut, state.FailuresOut)
	case decide.Cancel:
		if call := s.calls[uint64(action.Call)]; call != nil && call.Attempt != nil && call.Attempt.Number == action.Attempt {
			s.Counters[state.CancelsOut]++
			s.cancelAttempt(call.Attempt, decide.Cancelled)
		}
	case decide.StartTimer:
		s.setTimer(s.now+action.Wait, state.Timer{Kind: state.TimerModule, ID: action.Token})
	case decide.SubscribeList: // the journal is always subscribed to
	case decide.Log:
		s.log.Info("decided", "text", action.Text)
	}
}
