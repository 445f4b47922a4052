package session

import (
	"log/slog"
	"math"
	"net"

	"pewterwheel/internal/pooling"
	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

// An office may have pooled connections beside its main one: some are owned by one caller each, the others are
// shared, and one call at a time holds each of them exclusively. Package pooling decides which connection a
// message takes. Otherwise pooled connections use the same code as the main one.
const (
	// One part in connDivisor of the descriptors may be used for the pooled connections of all offices; callers
	// have half of the descriptors. The rest is for the offices' main connections, and connReserve of it for the
	// journal, the control address and the listeners. One office may have one part in officeConnDivisor of the
	// pooled connections, so that one that answers slowly does not take all of them.
	connDivisor, connReserve, officeConnDivisor = 4, 24, 2
	// pooledConnIdleTimeout is how long a pooled connection may be idle, ownedConnLinger how long one is kept after its
	// owner has disconnected.
	pooledConnIdleTimeout, ownedConnLinger = 10_000_000, 1_000_000
	// maxWaiting set-ups may wait for a pooled connection at one office; more are refused at once.
	maxWaiting = 256
	// releaseAckTimeout is how long an office may take to acknowledge a release before that is reported and
	// the release repeated, at most maxReleaseRepeats times.
	releaseAckTimeout, maxReleaseRepeats = 1_000_000, 2
	// waitingNumber is the number of the placeholder in which attempts wait for a pooled connection.
	waitingNumber = math.MaxUint32
)

// pooledConns is the state kept if calls are assigned to pooled connections.
type pooledConns struct {
	connSelector pooling.ConnectionSelector // nil: all calls use the main connections, and nothing here is used
	observeOnly  bool                       // connSelector is informed but not asked
	application  string
	sockets      int

	lastSession    uint64 // last number given to a caller's connection
	lastSerial     uint64 // last number given to an office
	lastNumber     uint32 // last number given to a pooled connection
	count          int    // existing pooled connections
	tracked        map[uint64]*trackedCall
	spareTracked   []*trackedCall
	untracked      pooling.Call  // for observations of calls that are not tracked
	maybeOver      []uint64      // calls that may have ended in this round
	sentReleases   []sentRelease // releases to offices, in the order of sending
	firstUnchecked int           // index of the first of them whose acknowledgment has not been checked
	connAvailable  bool          // a connection may have become available to a waiting attempt
	turn           int           // rotates the office that is served first
	scratch        []*state.OfficeConn
	disabled       disabledGuards
	opened         uint64 // pooled connections opened
	waited         uint64 // set-ups that waited for a pooled connection
	refused        uint64 // set-ups refused because no connection was available
	evicted        uint64 // pooled connections closed to make room

	peakTracked int
}

// disabledGuards switches single guards off, for tests that show what each of them prevents.
type disabledGuards struct {
	exclusiveConn  bool // exclusive use of a shared connection for the length of a call
	waitForConn    bool // waiting for a pooled connection instead of using the main connection
	repeatLost     bool // repeating the releases of a lost connection
	cancelInOrder  bool // cancelling on the connection of the set-up
	connLimit      bool // the limit on the number of pooled connections
	returnConn     bool // returning a shared connection when its call is over
	keepOnOpenConn bool // keeping calls on an open pooled connection while the main connection is down
	waitLimit      bool // the time limit of waiting
	keepOwned      bool // keeping a caller's own connection while the caller is connected
}

// trackedCall is what is kept of a call for pooling until its last observation is reported.
type trackedCall struct {
	call        pooling.Call
	verdict     pooling.ConnectionKind // of its latest attempt
	established bool
	over        bool
	releaseConn *state.OfficeConn // office connection of its pending release
	releasedAt  int64             // when that release was sent
	repeats     int               // how often that release was repeated
}

func (p *pooledConns) init(cfg Config) {
	p.connSelector, p.observeOnly, p.application, p.sockets = cfg.ConnSelector, cfg.ObserveOnly, cfg.Application,
		cfg.Sockets
	if p.connSelector != nil {
		p.tracked = map[uint64]*trackedCall{}
	}
}

// registerCaller reports a caller's connection to the connection selector.
func (s *Session) registerCaller(caller *state.Caller) {
	pooled := &s.pooled
	pooled.lastSession++
	caller.Session = pooled.lastSession
	source := ""
	if a, ok := caller.Conn.(interface{ RemoteAddr() net.Addr }); ok && a.RemoteAddr() != nil {
		source = a.RemoteAddr().String()
		if host, _, err := net.SplitHostPort(source); err == nil {
			source = host
		}
	}
	caller.Client = uint32(pooled.connSelector.Open(s.now, pooling.SessionID(caller.Session), pooled.application, source))
}

// trackCall starts tracking an accepted call.
func (s *Session) trackCall(call *state.Call, class int) {
	pooled := &s.pooled
	var tracked *trackedCall
	if k := len(pooled.spareTracked); k > 0 {
		tracked, pooled.spareTracked = pooled.spareTracked[k-1], pooled.spareTracked[:k-1]
	} else {
		tracked = &trackedCall{}
	}
	effect := s.settings.Classes[class].Effect
	tracked.call = pooling.Call{ID: call.ID, Client: pooling.ClientID(call.From.Client),
		Session:    pooling.SessionID(call.From.Session),
		Repeatable: effect == "" || effect == "free"}
	pooled.tracked[call.ID] = tracked
	s.observe(pooling.SetUpReceived, call.ID, 0, call.SetUp.Description)
}

// untrackCall stops tracking a call whose observations are all reported.
func (s *Session) untrackCall(id uint64, tracked *trackedCall) {
	const most = 512
	delete(s.pooled.tracked, id)
	if *tracked = (trackedCall{}); len(s.pooled.spareTracked) < most {
		s.pooled.spareTracked = append(s.pooled.spareTracked, tracked)
	}
}

// observe reports an observation of a call if it is tracked.
func (s *Session) observe(happening pooling.EventKind, call uint64, cause byte, text []byte) {
	if tracked := s.pooled.tracked[call]; tracked != nil {
		s.pooled.connSelector.Observe(s.now, pooling.Observation{Event: happening, Call: &tracked.call, Cause: cause,
			Text: text})
	}
}

// observeCallerRelease reports the connection that brought a release or cancellation of a call.
func (s *Session) observeCallerRelease(caller *state.Caller, call uint64) {
	if tracked := s.pooled.tracked[call]; tracked != nil {
		s.pooled.connSelector.Observe(s.now, pooling.Observation{Event: pooling.EndReceived, Call: &tracked.call,
			Session: pooling.SessionID(caller.Session)})
	}
}

// observeRepeatedSetUp reports the connection that brought a set-up with an id already in use.
func (s *Session) observeRepeatedSetUp(caller *state.Caller, call uint64) {
	pooled := &s.pooled
	pooled.untracked = pooling.Call{ID: call, Client: pooling.ClientID(caller.Client),
		Session: pooling.SessionID(caller.Session)}
	c := &pooled.untracked
	if tracked := pooled.tracked[call]; tracked != nil {
		c = &tracked.call
	}
	pooled.connSelector.Observe(s.now, pooling.Observation{Event: pooling.IDReused, Call: c,
		Session: pooling.SessionID(caller.Session)})
}

// markEstablished notes that a call is established on an office connection.
func (s *Session) markEstablished(officeConn *state.OfficeConn, call uint64, description []byte) {
	officeConn.EstablishedCount++
	if tracked := s.pooled.tracked[call]; tracked != nil {
		tracked.established = true
		s.observe(pooling.SetUpAnswered, call, 0, description)
	}
}

// markEnded notes that an established call has ended.
func (s *Session) markEnded(established *state.EstablishedCall) {
	established.OfficeConn.EstablishedCount--
	s.freePooledConn(established.OfficeConn, established.ID)
	s.pooled.maybeOver = append(s.pooled.maybeOver, established.ID)
}

// finishConnRound ends a round: it assigns available connections to waiting attempts and reports the calls that are
// over.
func (s *Session) finishConnRound() {
	pooled := &s.pooled
	if pooled.connAvailable {
		s.assignFreeConns()
	}
	for _, id := range pooled.maybeOver {
		tracked := pooled.tracked[id]
		if tracked == nil || tracked.over || s.calls[id] != nil || s.established[id] != nil {
			continue
		}
		tracked.over = true
		s.observe(pooling.CallOver, id, 0, nil)
		if tracked.releaseConn == nil {
			s.untrackCall(id, tracked)
		}
	}
	pooled.maybeOver = pooled.maybeOver[:0]
	pooled.connSelector.EndRound(s.now)
}

// onOpenConn reports whether a call is established on a connection that is open.
func (s *Session) onOpenConn(established *state.EstablishedCall) bool {
	return established.OfficeConn.Conn != nil && !s.pooled.disabled.keepOnOpenConn
}

// checkPooledConns ends pooled connections that bring no complete message or nothing any more, and those that
// are no longer needed. It also checks for pending releases.
func (s *Session) checkPooledConns(paused bool) {
	pooled := &s.pooled
	for _, office := range s.offices.All() {
		if len(office.Pooled) == 0 {
			continue
		}
		pooled.scratch = append(pooled.scratch[:0], office.Pooled...)
		for _, officeConn := range pooled.scratch {
			s.checkOfficeConn(officeConn, officeConn.EstablishedCount, paused)
			within := int64(pooledConnIdleTimeout)
			if officeConn.Owner != nil {
				within = ownedConnLinger
			}
			if officeConn.Conn != nil && officeConn.IsUnused() && s.now-officeConn.IdleSince >= within &&
				!officeConn.Conn.Pending() {
				s.closeConn(officeConn.Conn, errIdle)
			}
		}
	}
	clear(pooled.scratch)
	if !paused {
		s.checkReleases()
	}
}

// closeIdleOwnedConns closes callers' own connections that have been idle for a while and that pooling no longer
// needs.
func (s *Session) closeIdleOwnedConns() {
	pooled := &s.pooled
	for _, office := range s.offices.All() {
		pooled.scratch = append(pooled.scratch[:0], office.Pooled...)
		for _, officeConn := range pooled.scratch {
			caller := officeConn.Owner
			if caller != nil && caller.Conn != nil && officeConn.Conn != nil && officeConn.IsIdle() &&
				s.now-officeConn.IdleSince >= pooledConnIdleTimeout &&
				!pooled.connSelector.KeepOwn(s.now, pooling.ClientID(caller.Client), pooling.SessionID(caller.Session)) &&
				!officeConn.Conn.Pending() {
				s.closeConn(officeConn.Conn, errIdle)
			}
		}
	}
	clear(pooled.scratch)
}

// officeConnLogger returns the logger for a connection; for a pooled one it adds its number.
func (s *Session) officeConnLogger(officeConn *state.OfficeConn) *slog.Logger {
	if officeConn.Number == 0 {
		return s.log
	}
	return s.log.With("lane", officeConn.Number)
}

// appendPooledConnMetrics appends the counters and gauges of pooled connections.
func (s *Session) appendPooledConnMetrics(b []byte) []byte {
	pooled := &s.pooled
	b = wire.Gauge(b, "lanes", pooled.count)
	b = wire.Count(b, "lanes_opened", "", pooled.opened)
	b = wire.Count(b, "lanes_cleared", "", pooled.evicted)
	b = wire.Count(b, "lanes_waited", "", pooled.waited)
	return wire.Count(b, "lanes_refused", "", pooled.refused)
}
