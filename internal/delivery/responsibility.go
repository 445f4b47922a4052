package delivery

// Responsibility decides until when a process is responsible for telling clients of the ends of calls: of the calls that
// it set up itself, and of those of previous processes under its address, of which it knows nothing.
//
// A process that shuts down is responsible for a call while the call's client can still be connected to it. From then
// on the next process is, to which the client connects again: the process that ends decides nothing about the call on
// mere doubt, and leaves the office free to send the release to the next process.
//
// A process that has started is responsible for earlier calls at an office until the office shows that it holds none,
// because nothing bounds how long a call lasts. An office sends a release that could not be delivered on the next
// connection that is opened, so each office is given one often enough.
type Responsibility struct {
	started     int64
	earlierSeen int64 // when the last sign of an earlier call was seen; initially the start
	ready       int64 // when the process first reported that it is ready; 0: it has not been asked, or is not
	shutdown    int64 // when the shutdown began; 0: the process is not shutting down
}

// Times in microseconds.
const (
	// AcceptAfterShutdown is how long after the request to shut down clients still connect (0.4 s) and send set-ups
	// (another 0.2 s). Afterwards their connections are closed as soon as no set-up is open on them.
	AcceptAfterShutdown = 850_000
	// doubtBeforeClose is how long before that mere doubt about an office suffices to release its calls.
	doubtBeforeClose = 40_000
	// eagerWindow is how long after the start, and after each sign of an earlier call, a lost connection to an office
	// is opened again at once: most earlier calls end in this time.
	eagerWindow = 10_000_000
	// reconnectAfter is how long an office may be without a connection after eagerWindow. A release that could not be
	// sent is due 8 s after the end of its call; the rest is for many offices at once, a slow connect, and the client.
	reconnectAfter = 5_500_000
	// reportsReadyWithin is how long after its start a process that replaces a running one reports ready at the latest.
	reportsReadyWithin = 6_000_000
	// overlap is how long after that the previous process may still be running: at most 5.7 s until it is killed, and a
	// margin. What an office sent to it, and it did not deliver, arrives on the next connection that is opened.
	overlap = 6_000_000
	// collectRetry is the time between connections to an office that has sent nothing on the last one, and collectFor
	// for how long they are opened.
	collectRetry, collectFor = 6_000_000, 20_000_000
	// collectAtLeast and collectAtMost bound how long a connection that only collects releases stays open: the
	// releases directly follow the office's greeting.
	collectAtLeast = 300_000
	collectAtMost  = 2_000_000
)

// MaxCollecting bounds the connections that only collect releases, at all offices together. Each is open for a third of
// a second, so that 510 offices have theirs within 6 s.
const MaxCollecting = 32

// NewResponsibility returns the responsibility of a process that starts now.
func NewResponsibility(now int64) Responsibility {
	return Responsibility{started: now, earlierSeen: now}
}

// ShutDown notes that the process has been asked to shut down.
func (r *Responsibility) ShutDown(now int64) { r.shutdown = now }

// ReportedReady notes that the process has reported that it is ready, upon which a previous one is told to shut down.
func (r *Responsibility) ReportedReady(now int64) {
	if r.ready == 0 {
		r.ready = now
	}
}

// EarlierCallSeen notes a sign of a call of a previous process.
func (r *Responsibility) EarlierCallSeen(now int64) { r.earlierSeen = now }

// DisconnectingFor returns for how long clients' connections have been closed for the shutdown; negative: not yet, or the
// process is not shutting down.
func (r *Responsibility) DisconnectingFor(now int64) int64 {
	if r.shutdown == 0 {
		return -1
	}
	return now - r.shutdown - AcceptAfterShutdown
}

// handedOver reports whether clients are expected to connect to the next process.
func (r *Responsibility) handedOver(now int64) bool { return r.DisconnectingFor(now) >= 0 }

// CanTell reports whether the client of a call can still be told of its end by this process. setUpOn is the connection
// of the call's set-up.
func (r *Responsibility) CanTell(setUpOn *Connection, now int64) bool {
	return !setUpOn.closed || !r.handedOver(now)
}

// Evidence is how sure it is that an office can't end a call.
type Evidence int

// Kinds of evidence.
const (
	Doubt        Evidence = iota // too little to release a call while there is time for more
	Inferred                     // the office's silence, or what it left undone, for as long as the protocol allows
	ProcessEnded                 // the process that held the call has ended
)

// MayRelease reports whether this process releases a call on evidence that its office can't end it. setUpOn is the
// connection of the call's set-up.
//
// Doubt suffices shortly before the client is disconnected for the shutdown, and afterwards while it happens to be
// connected: the next process could not judge the office, because it knows nothing of the call. Once the client has been
// disconnected only the end of the office's process suffices: an office that is well after all would lose the call
// without anybody to tell the client, and otherwise tells the next process.
func (r *Responsibility) MayRelease(setUpOn *Connection, evidence Evidence, now int64) bool {
	switch evidence {
	case Doubt:
		return r.shutdown != 0 && r.DisconnectingFor(now) >= -doubtBeforeClose && r.CanTell(setUpOn, now)
	case Inferred:
		return r.CanTell(setUpOn, now)
	}
	return true
}

// ExpectsEarlierCalls reports whether earlier calls are so likely that an office is connected to again at once when its
// connection is lost.
func (r *Responsibility) ExpectsEarlierCalls(now int64) bool {
	return now-r.earlierSeen < eagerWindow && !r.handedOver(now)
}

// Contact records when an office could send what it could not deliver to a previous process. The zero value is that of
// an office to which no connection was opened yet.
type Contact struct {
	opened         int64 // when the last connection to it was opened on which it could send them
	tried          int64 // when the last connection that only collects releases was requested
	lost           int64 // when the last connection was lost, or failed to open; 0: never
	noEarlierCalls bool  // the office has shown that it holds no earlier call
}

// Opened notes that the office could send its releases on a connection that was opened at the given time.
func (c *Contact) Opened(at int64) { c.opened = max(c.opened, at) }

// Tried notes that a connection that only collects releases is being opened.
func (c *Contact) Tried(now int64) { c.tried = now }

// Lost notes that no connection to the office is open any more, or that none could be opened.
func (c *Contact) Lost(now int64) { c.lost = now }

// ContactKind is what is to be done so that an office can send the releases of earlier calls.
type ContactKind int

// Kinds of contact.
const (
	NoContact ContactKind = iota // nothing
	Reconnect                    // open a connection: there is none
	Collect                      // open another connection beside it, until the office has sent what it could not deliver
)

// ContactDue returns what is to be done now for the earlier calls at an office that has been running since before the
// start of this process. Once the process is asked to shut down nothing is: what it collected it might not deliver.
func (r *Responsibility) ContactDue(office Contact, connected bool, now int64) ContactKind {
	switch {
	case r.shutdown != 0 || office.noEarlierCalls:
		return NoContact
	case !connected && (office.lost == 0 || now-office.lost >= reconnectAfter):
		return Reconnect
	case connected && r.collects(now) && office.opened < r.previousEnded() && now-office.tried >= collectRetry:
		return Collect
	}
	return NoContact
}

// previousEnded returns the time by which the previous process must have ended.
func (r *Responsibility) previousEnded() int64 {
	if r.ready == 0 {
		return r.started + reportsReadyWithin + overlap
	}
	return r.ready + overlap
}

// collects reports whether a previous process may have run beside this one and ended a short time ago. A process that
// was never asked whether it is ready has replaced none that was running.
func (r *Responsibility) collects(now int64) bool {
	ended := r.previousEnded()
	return r.ready != 0 && now >= ended && now < ended+collectFor
}

// LinesInUse notes that an office reports how many of its lines calls of all controllers use, on a connection opened at
// the given time. Where none is in use, and the previous process had ended before that time, no earlier call is left: the
// office's undelivered releases came with the connection.
func (r *Responsibility) LinesInUse(office *Contact, lines int, connectionOpened int64) {
	if lines == 0 && connectionOpened >= r.previousEnded() {
		office.noEarlierCalls = true
	}
}

// Collected reports whether a connection that only collects releases may be closed. received reports whether the office
// has sent anything on it.
func Collected(opened int64, received bool, now int64) bool {
	return received && now-opened >= collectAtLeast || now-opened >= collectAtMost
}
