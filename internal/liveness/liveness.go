// Package liveness decides whether an office can still end its established calls. It uses the messages that the
// office sends, the set-ups that it leaves unanswered and the outcome of connects to it. It has no clock, goroutine
// or socket: the caller passes times, in microseconds, and receives state transitions. docs/design/liveness.md
// describes the evidence, its bounds and their cost.
package liveness

// Bounds on the evidence, in microseconds. The protocol requires that the caller is told of the end of a call within
// 8 s where the office cannot send a release; the end may directly follow the office's last message.
const (
	// releaseAfter is how long the process that holds calls may send nothing, or end none of many calls, before its
	// calls are considered over.
	releaseAfter = 7_000_000
	// silentAfter is how long an office may send nothing, or leave set-ups unanswered. It is shorter than
	// releaseAfter because the part of an office that answers or greets may have continued for a while after it could
	// no longer end calls.
	silentAfter = 6_500_000
	// maxQueueDelay bounds the assumed queueing delay of an office's messages behind its other work.
	maxQueueDelay = 2_500_000
	// releaseWithin is the latest time after an office's last message at which such calls are released, whatever other
	// evidence is pending.
	releaseWithin = 7_900_000
	// probeAfter is how long an office may send nothing before it is suspected and a probe is due: a second connection
	// that shows whether the office still sends messages.
	probeAfter = 3_500_000
	// refusedFor and unreachableFor are how long connects may be refused, and how long they may fail to be
	// established. A refused connect proves that the process has ended; one that is not established may be due to a
	// network partition.
	refusedFor     = 2_500_000
	unreachableFor = 4_500_000
	// lastingFor is how long a connection must have been up for its loss to begin a new series of failures.
	lastingFor = refusedFor
	// suspectAfter is how long a series of failures lasts before the office is suspected.
	suspectAfter = 1_000_000
	// minWait is the shortest time that an unanswered set-up must have been outstanding to count as evidence,
	// minCutWait the same for a set-up whose connection was lost. At least minUnanswered such set-ups,
	// outstanding for a total of stalledWait, show that the office answers none: a single one may have been lost.
	minWait       = 300_000
	minCutWait    = 100_000
	minUnanswered = 2
	stalledWait   = 500_000
	// stalledFor is how long the first of them must have been unanswered, however long ago the last service was: a
	// set-up that is sent in that time and answered shows that the first one was lost.
	stalledFor = 3_000_000
	// trialAfter is how long after an unanswered set-up a trial set-up is requested, where the first is not sufficient
	// evidence.
	trialAfter = 500_000
	// trialInterval is the least interval between such requests, maxTrials their maximum number.
	trialInterval = 1_500_000
	maxTrials     = 3
	// listSilence is how long the list may already have been silent when that is detected.
	listSilence = 3_000_000
	// departingAfter is the silence that suffices when this process shuts down and cannot wait for more evidence.
	departingAfter = 1_000_000
	// departingStalled is how long, at shutdown, no message of a call may have been received while set-ups are
	// unanswered and reports continue.
	departingStalled = 1_500_000
)

// State is the assumed state of an office.
type State int

// Office states.
const (
	Responsive   State = iota
	Suspected          // some evidence indicates that it cannot end its calls any more
	Unresponsive       // its established calls are over
)

// String returns the name used in the log.
func (s State) String() string { return [...]string{"responsive", "suspected", "unresponsive"}[s] }

// Reason is the evidence for a transition.
type Reason int

// Reasons for a transition.
const (
	MessageReceived Reason = iota // a message was received
	Silent                        // no complete message was received on any connection
	Stalled                       // messages are received, but none of a call, although set-ups are unanswered
	Refused                       // connects are refused
	Unreachable                   // connects are not established
	Departing                     // this process shuts down before the evidence is complete
	Restarted                     // the messages come from another process than the one that held the calls
	NoneEnded                     // none of many calls ends any more, whatever messages are received
	reasons
)

// Reasons is the number of reasons.
const Reasons = int(reasons)

// String returns the name used in the log.
func (r Reason) String() string {
	return [...]string{"spoke", "silent", "stalled", "refused", "unreachable", "departing", "restarted",
		"none-ended"}[r]
}

// Transition is a change of an office's state.
type Transition struct {
	From, To State
	Reason   Reason
}

// connectFailure is the result of the last connect, if it failed.
type connectFailure int

const (
	noFailure connectFailure = iota
	connectRefused
	connectUnreachable
)

// Office is the evidence about one office. The zero value represents an office of which nothing is known.
type Office struct {
	state            State
	reason           Reason
	lastMessage      int64        // when the last complete message was received, on any connection
	lastService      int64        // when the last message of a call was received
	lastOfKind       [kinds]int64 // when the last message of each kind was received
	lastAnsweredSent int64        // when the latest of the answered set-ups was sent
	queueDelay       int64        // queueing delay of its last answer at the office
	failingSince     int64        // since when the main connection has not lasted; 0: it does
	lastFailure      int64        // when the last connect of this series failed
	lastConnect      connectFailure
	ended            endRecord
	processHistory

	unanswered     Unanswered // set-ups given up, or cut, without an answer since lastService
	lastUnanswered int64      // when the last of them was
	trialCount     int        // number of trial set-ups requested since lastService
	lastTrial      int64      // when the last one was requested
}

// Unanswered summarizes unanswered set-ups: their number, the total time that they have been outstanding, and since
// when the oldest is. Times are in microseconds.
type Unanswered struct {
	Count       int
	TotalWait   int64
	OldestSince int64
}

// Add counts a set-up that has been outstanding for the given time; 0: it is no evidence.
func (u *Unanswered) Add(now, duration int64) {
	if duration > 0 {
		u.merge(Unanswered{Count: 1, TotalWait: duration, OldestSince: now - duration})
	}
}

// merge adds the set-ups of another summary.
func (u *Unanswered) merge(other Unanswered) {
	if u.Count == 0 || other.Count > 0 && other.OldestSince < u.OldestSince {
		u.OldestSince = other.OldestSince
	}
	u.Count += other.Count
	u.TotalWait += other.TotalWait
}

// sufficient reports whether an office that leaves these set-ups unanswered answers none, given the queueing delay at
// the office.
func (u Unanswered) sufficient(queueDelay int64) bool {
	return u.Count >= minUnanswered && u.TotalWait >= stalledWait+minUnanswered*queueDelay
}

// State returns the current state.
func (o *Office) State() State { return o.state }

// LastMessage returns when the last complete message was received; 0: none was.
func (o *Office) LastMessage() int64 { return o.lastMessage }

// LastOfKind returns when the last message of a kind was received; 0: none was.
func (o *Office) LastOfKind(word MessageKind) int64 { return o.lastOfKind[word] }

// QueueDelay returns the queueing delay at the office, as measured by its last answer.
func (o *Office) QueueDelay() int64 { return o.queueDelay }

// LastService returns when the last message of a call was received, which only a working process can write; 0: none
// was.
func (o *Office) LastService() int64 { return o.lastService }

// Message is the part of a complete message from an office that counts as evidence.
type Message struct {
	At        int64
	Kind      MessageKind
	OnMain    bool  // it was received on the office's main connection, not on a pooled one
	Opened    int64 // when that connection was established
	SetUpSent int64 // when the set-up that it answers was sent; 0: it answers none
}

// processedUntil returns the earliest time at which the office may have stopped ending calls, by its last message:
// releases are queued behind the messages that it writes.
func (o *Office) processedUntil() int64 { return o.lastMessage - o.queueDelay }

// servedUntil returns the same time by its last message of a call.
func (o *Office) servedUntil() int64 { return o.lastService - o.queueDelay }

// learnQueueDelay measures the queueing delay at the office by an answer to a set-up. Guards against a late answer
// that answers to later set-ups have overtaken.
func (o *Office) learnQueueDelay(m Message) {
	if m.SetUpSent > o.lastAnsweredSent {
		o.lastAnsweredSent = m.SetUpSent
		o.queueDelay = min(max(m.At-m.SetUpSent, 0), maxQueueDelay)
	}
}

// MessageReceived records a message.
func (o *Office) MessageReceived(m Message) (Transition, bool) {
	o.lastMessage = max(o.lastMessage, m.At)
	o.lastOfKind[m.Kind] = max(o.lastOfKind[m.Kind], m.At)
	if m.OnMain {
		o.endFailureSeries()
		o.endOutage(m.At)
	} else {
		o.recordSameProcess(processProof{at: m.At, since: m.Opened, opened: m.Opened})
	}
	if proves[m.Kind].service {
		o.lastService = max(o.lastService, m.At)
		o.learnQueueDelay(m)
		o.unanswered = Unanswered{}
		o.trialCount = 0
	}
	if o.state == Responsive || !o.contradicted(m) {
		return Transition{}, false
	}
	return o.transition(Responsive, MessageReceived), true
}

// endFailureSeries records that the main connection brings messages.
func (o *Office) endFailureSeries() {
	o.failingSince = 0
	o.lastConnect = noFailure
}

// contradicted reports whether a message contradicts the evidence for the present state.
func (o *Office) contradicted(m Message) bool {
	switch o.reason {
	case Stalled:
		return proves[m.Kind].service
	case Refused, Unreachable:
		return m.OnMain
	}
	return true
}

// OutstandingFor returns how long a set-up that was sent at the given time has been outstanding; 0: that is no
// evidence. A set-up that others overtook, which were answered long after it was sent, was lost on its way and is no
// evidence about the office.
func (o *Office) OutstandingFor(now, sent int64) int64 { return o.outstandingFor(now, sent, minWait) }

func (o *Office) outstandingFor(now, sent, least int64) int64 {
	duration := now - max(sent, o.lastService)
	if overtaken := o.lastService-sent > minWait; overtaken || duration < least {
		return 0
	}
	return duration
}

// SetUpCancelled records that a set-up sent at the given time is given up unanswered.
func (o *Office) SetUpCancelled(now, sent int64) {
	o.addUnanswered(now, o.outstandingFor(now, sent, minWait))
}

// SetUpCut records that a set-up sent at the given time was unanswered when its connection was lost.
func (o *Office) SetUpCut(now, sent int64) {
	o.addUnanswered(now, o.outstandingFor(now, sent, minCutWait))
}

func (o *Office) addUnanswered(now, duration int64) {
	o.unanswered.Add(now, duration)
	if duration > 0 {
		o.lastUnanswered = now
	}
}

// WantsTrial reports whether a trial set-up should be sent to an office that has left a set-up unanswered: without one
// it would not be known in time whether the office can still end its calls.
func (o *Office) WantsTrial(now int64) bool {
	doubted := o.unanswered.Count > 0 && !o.unanswered.sufficient(o.queueDelay) && now-o.lastUnanswered >= trialAfter
	if !doubted || o.trialCount == maxTrials || o.trialCount > 0 && now-o.lastTrial < trialInterval {
		return false
	}
	o.trialCount++
	o.lastTrial = now
	return true
}

// Connected records that a connection was established. That alone is no evidence: the system accepts connections for
// a process that hangs.
func (o *Office) Connected() { o.lastConnect = noFailure }

// ConnectionLost records the loss of a main connection.
func (o *Office) ConnectionLost(now int64, lost LostConnection) {
	if o.failingSince == 0 || now-lost.Opened >= lastingFor {
		o.failingSince = now
	}
	o.beginOutage(now, lost.Unanswered)
}

// ConnectFailed records a connect that was refused or was not established.
func (o *Office) ConnectFailed(now int64, isRefused bool) {
	if o.failingSince == 0 {
		o.failingSince = now
	}
	o.beginOutage(now, 0)
	o.lastFailure = now
	o.lastConnect = connectUnreachable
	if isRefused {
		o.lastConnect = connectRefused
		o.outages[len(o.outages)-1].connectRefused = true
	}
}

// CanWait reports whether the judgement of the office may be delayed by the given time without passing a bound for
// its established calls.
func (o *Office) CanWait(now, wait int64) bool {
	last := o.processedUntil()
	for _, g := range o.outages {
		last = min(last, g.lastMessage)
	}
	return now+wait <= last+releaseWithin
}

// Judge decides on an office that has established calls and the given outstanding set-ups. It returns an unresponsive
// office at each call, for the calls that are still to be released. It must not be called directly after a pause of
// this process: messages received during the pause may not have been read yet.
func (o *Office) Judge(now int64, outstanding Unanswered) (Transition, bool) {
	state, reason := o.assess(now, outstanding)
	if state < o.state || state == o.state && state != Unresponsive {
		return Transition{}, false // only a message restores the office
	}
	return o.transition(state, reason), true
}

// ShutdownObservation is what is known of an office when this process is about to shut down.
type ShutdownObservation struct {
	ReportInterval ReportInterval // the usual interval between two reports
	Connected      bool
	Unanswered     int // outstanding set-ups that should have been answered, as in LostConnection
}

// JudgeDeparting decides on an office that has established calls when this process is about to shut down. The next
// process knows nothing of them, so doubt suffices: a report overdue by its usual interval, no connection, an
// unanswered set-up, or silence for which a probe is due. Where reports continue, the time without a message of a
// call counts.
func (o *Office) JudgeDeparting(now int64, observation ShutdownObservation) (Transition, bool) {
	silent := now - o.lastMessage
	overdue := observation.ReportInterval != 0 && silent >= int64(observation.ReportInterval+observation.ReportInterval/2)
	doubted := overdue || !observation.Connected || o.unanswered.Count > 0 || silent >= probeAfter
	unanswered := o.unanswered.Count > 0 || observation.Unanswered >= minUnanswered
	stalled := unanswered && now-o.lastService >= departingStalled
	if !stalled && (!doubted || silent < departingAfter) {
		return Transition{}, false
	}
	return o.transition(Unresponsive, Departing), true
}

// NeedsProbe reports whether a probe is due: a second connection that shows whether the office still sends messages,
// because an office first sends on it what it could not deliver before. A connection established after the office's
// last message has already been such a probe.
func (o *Office) NeedsProbe(now, opened int64) bool {
	return now-o.lastMessage >= probeAfter && opened <= o.lastMessage
}

// assess returns the state and the reason that follow from the evidence now.
func (o *Office) assess(now int64, outstanding Unanswered) (State, Reason) {
	silent := now - o.processedUntil()
	stalled := int64(0)
	outstanding.merge(o.unanswered)
	if outstanding.sufficient(o.queueDelay) {
		stalled = min(now-o.servedUntil(), now-outstanding.OldestSince+silentAfter-stalledFor)
	}
	failing := int64(0)
	if o.lastConnect != noFailure {
		failing = o.lastFailure - o.failingSince
	}
	switch {
	case silent >= silentAfter: // first, as it also holds for calls on pooled connections
		return Unresponsive, Silent
	case o.lastConnect == connectRefused && failing >= refusedFor:
		return Unresponsive, Refused
	case o.lastConnect == connectUnreachable && failing >= unreachableFor:
		return Unresponsive, Unreachable
	case stalled >= silentAfter:
		return Unresponsive, Stalled
	case o.lastConnect == connectRefused && failing >= suspectAfter:
		return Suspected, Refused
	case o.lastConnect == connectUnreachable && failing >= suspectAfter:
		return Suspected, Unreachable
	case silent >= probeAfter:
		return Suspected, Silent
	case stalled >= probeAfter:
		return Suspected, Stalled
	}
	return Responsive, MessageReceived
}

func (o *Office) transition(to State, reason Reason) Transition {
	t := Transition{From: o.state, To: to, Reason: reason}
	o.state = to
	o.reason = reason
	return t
}
