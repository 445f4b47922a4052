package delivery

// Responsibility decides until when a process is responsible for telling clients of the ends of calls: of the calls that
// it set up itself, and of those of previous processes under its address, of which it knows nothing.
//
// A process that shuts down is responsible for a call while the call's client can still be connected to it. From then
// on the next process is, to which the client connects again: the process that ends decides nothing about the call on
// mere doubt, and leaves the office free to send the release to the next process.
//
// A process that has started is responsible for the calls of the one before it, most of which end soon.
type Responsibility struct {
	started     int64
	earlierSeen int64 // when the last sign of an earlier call was seen; initially the start
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
)

// NewResponsibility returns the responsibility of a process that starts now.
func NewResponsibility(now int64) Responsibility {
	return Responsibility{started: now, earlierSeen: now}
}

// ShutDown notes that the process has been asked to shut down.
func (r *Responsibility) ShutDown(now int64) { r.shutdown = now }

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
