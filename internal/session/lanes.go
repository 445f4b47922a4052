package session

import (
	"log/slog"
	"math"
	"net"

	"pewterwheel/internal/pooling"
	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

// An office may have further connections beside its main one, called lanes: lanes owned by one caller, and
// pooled lanes, each of which one call at a time holds exclusively. Package pooling decides which of them a
// message takes. Otherwise lanes use the same code as the main connection.
const (
	// One part in laneDivisor of the descriptors may be used for lanes of all offices; callers have half of
	// the descriptors. The rest is for the offices' main connections, and laneReserve of it for the journal,
	// the control address and the listeners. One office may have one part in officeLaneDivisor of the lanes,
	// so that one that answers slowly does not take all of them.
	laneDivisor, laneReserve, officeLaneDivisor = 4, 24, 2
	// laneIdleTimeout is how long a pooled lane may be idle, ownedLaneLinger how long a lane is kept after its
	// owner has disconnected.
	laneIdleTimeout, ownedLaneLinger = 10_000_000, 1_000_000
	// maxWaiting set-ups may wait for a lane at one office; more are refused at once.
	maxWaiting = 256
	// releaseAckTimeout is how long an office may take to acknowledge a release before that is reported and
	// the release repeated, at most maxReleaseRepeats times.
	releaseAckTimeout, maxReleaseRepeats = 1_000_000, 2
	// waitingNumber is the number of the pseudo-lane in which attempts wait for a lane.
	waitingNumber = math.MaxUint32
)

// lanes is the state kept if calls are assigned to lanes.
type lanes struct {
	laner       pooling.Laner // nil: all calls use the main connections, and nothing here is used
	observeOnly bool          // laner is informed but not asked
	application string
	sockets     int

	lastSession   uint64 // last number given to a caller's connection
	lastSerial    uint64 // last number given to an office
	lastNumber    uint32 // last number given to a lane
	count         int    // existing lanes
	tracked       map[uint64]*trackedCall
	spareTracked  []*trackedCall
	untracked     pooling.Call  // for observations of calls that are not tracked
	maybeOver     []uint64      // calls that may have ended in this round
	sentReleases  []sentRelease // releases without acknowledgment, in the order of sending
	firstPending  int           // index of the first one that is still pending
	laneAvailable bool          // a lane may have become available to a waiting attempt
	turn          int           // rotates the office that is served first
	scratch       []*state.Lane
	disabled      disabledGuards
	opened        uint64 // lanes opened
	waited        uint64 // set-ups that waited for a lane
	refused       uint64 // set-ups refused because no lane was available
	evicted       uint64 // lanes closed to make room

	mostTracked int
}

// disabledGuards switches single guards off, for tests that show what each of them prevents.
type disabledGuards struct {
	exclusiveLane  bool // exclusive use of a lane for the length of a call
	waitForLane    bool // waiting for a lane instead of using the main connection
	repeatLost     bool // repeating the releases of a lost lane
	cancelInOrder  bool // cancelling on the lane of the set-up
	laneLimit      bool // the limit on the number of lanes
	returnLane     bool // returning a lane to the pool
	keepOnOpenLane bool // keeping calls on an open lane while the main connection is down
	waitLimit      bool // the time limit of waiting
	keepOwned      bool // keeping a caller's own lane while it is connected
}

// trackedCall is what is kept of a call for pooling until its last observation is reported.
type trackedCall struct {
	call        pooling.Call
	verdict     pooling.Lane // of its latest attempt
	established bool
	over        bool
	releaseLane *state.Lane // lane of its unacknowledged release
	releasedAt  int64       // when that release was sent
	repeats     int         // how often the release was repeated
}

func (n *lanes) init(cfg Config) {
	n.laner, n.observeOnly, n.application, n.sockets = cfg.Laner, cfg.Watch, cfg.Application, cfg.Sockets
	if n.laner != nil {
		n.tracked = map[uint64]*trackedCall{}
	}
}

// registerCaller reports a caller's connection to the laner.
func (s *Session) registerCaller(caller *state.Caller) {
	lanes := &s.lanes
	lanes.lastSession++
	caller.Session = lanes.lastSession
	source := ""
	if a, ok := caller.Conn.(interface{ RemoteAddr() net.Addr }); ok && a.RemoteAddr() != nil {
		source = a.RemoteAddr().String()
		if host, _, err := net.SplitHostPort(source); err == nil {
			source = host
		}
	}
	caller.Client = uint32(lanes.laner.Open(s.now, pooling.SessionID(caller.Session), lanes.application, source))
}

// trackCall starts tracking an accepted call.
func (s *Session) trackCall(call *state.Call, class int) {
	lanes := &s.lanes
	var tracked *trackedCall
	if k := len(lanes.spareTracked); k > 0 {
		tracked, lanes.spareTracked = lanes.spareTracked[k-1], lanes.spareTracked[:k-1]
	} else {
		tracked = &trackedCall{}
	}
	effect := s.settings.Classes[class].Effect
	tracked.call = pooling.Call{ID: call.ID, Client: pooling.ClientID(call.From.Client), Session: pooling.SessionID(call.From.Session),
		Free: effect == "" || effect == "free"}
	lanes.tracked[call.ID] = tracked
	s.observe(pooling.CameSetUp, call.ID, 0, call.SetUp.Description)
}

// untrackCall stops tracking a call whose observations are all reported.
func (s *Session) untrackCall(id uint64, tracked *trackedCall) {
	const most = 512
	delete(s.lanes.tracked, id)
	if *tracked = (trackedCall{}); len(s.lanes.spareTracked) < most {
		s.lanes.spareTracked = append(s.lanes.spareTracked, tracked)
	}
}

// observe reports an observation of a call if it is tracked.
func (s *Session) observe(happening pooling.Happening, call uint64, cause byte, text []byte) {
	if tracked := s.lanes.tracked[call]; tracked != nil {
		s.lanes.laner.Observe(s.now, pooling.Observation{What: happening, Call: &tracked.call, Cause: cause, Text: text})
	}
}

// observeCallerRelease reports the connection that brought a release or cancellation of a call.
func (s *Session) observeCallerRelease(caller *state.Caller, call uint64) {
	if tracked := s.lanes.tracked[call]; tracked != nil {
		s.lanes.laner.Observe(s.now, pooling.Observation{What: pooling.CameEnd, Call: &tracked.call, On: pooling.SessionID(caller.Session)})
	}
}

// observeRepeatedSetUp reports the connection that brought a set-up with an id already in use.
func (s *Session) observeRepeatedSetUp(caller *state.Caller, call uint64) {
	lanes := &s.lanes
	lanes.untracked = pooling.Call{ID: call, Client: pooling.ClientID(caller.Client), Session: pooling.SessionID(caller.Session)}
	c := &lanes.untracked
	if tracked := lanes.tracked[call]; tracked != nil {
		c = &tracked.call
	}
	lanes.laner.Observe(s.now, pooling.Observation{What: pooling.CameAgain, Call: c, On: pooling.SessionID(caller.Session)})
}

// markEstablished notes that a call is established on a lane.
func (s *Session) markEstablished(lane *state.Lane, call uint64, description []byte) {
	lane.Stands++
	if tracked := s.lanes.tracked[call]; tracked != nil {
		tracked.established = true
		s.observe(pooling.Answered, call, 0, description)
	}
}

// markEnded notes that an established call has ended.
func (s *Session) markEnded(established *state.Standing) {
	established.On.Stands--
	s.freeLane(established.On, established.ID)
	s.lanes.maybeOver = append(s.lanes.maybeOver, established.ID)
}

// finishLaneRound ends a round: it assigns available lanes to waiting attempts and reports the calls that are
// over.
func (s *Session) finishLaneRound() {
	lanes := &s.lanes
	if lanes.laneAvailable {
		s.assignLanes()
	}
	for _, id := range lanes.maybeOver {
		tracked := lanes.tracked[id]
		if tracked == nil || tracked.over || s.calls[id] != nil || s.established[id] != nil {
			continue
		}
		tracked.over = true
		s.observe(pooling.Over, id, 0, nil)
		if tracked.releaseLane == nil {
			s.untrackCall(id, tracked)
		}
	}
	lanes.maybeOver = lanes.maybeOver[:0]
	lanes.laner.Round(s.now)
}

// onOpenConn reports whether a call is established on a connection that is open.
func (s *Session) onOpenConn(established *state.Standing) bool {
	return established.On.Conn != nil && !s.lanes.disabled.keepOnOpenLane
}

// checkLanes ends lanes that bring no complete message or nothing any more, and those that are no longer
// needed. It also checks for unacknowledged releases.
func (s *Session) checkLanes(paused bool) {
	lanes := &s.lanes
	for _, office := range s.offices.All() {
		if len(office.Lanes) == 0 {
			continue
		}
		lanes.scratch = append(lanes.scratch[:0], office.Lanes...)
		for _, lane := range lanes.scratch {
			s.checkLane(lane, lane.Stands, paused)
			within := int64(laneIdleTimeout)
			if lane.Owner != nil {
				within = ownedLaneLinger
			}
			if lane.Conn != nil && lane.Loose() && s.now-lane.Idle >= within && !lane.Conn.Waiting() {
				s.closeConn(lane.Conn, errIdle)
			}
		}
	}
	clear(lanes.scratch)
	if !paused {
		s.checkReleases()
	}
}

// closeIdleOwnedLanes closes callers' own lanes that have been idle for a while and that pooling no longer
// needs.
func (s *Session) closeIdleOwnedLanes() {
	lanes := &s.lanes
	for _, office := range s.offices.All() {
		lanes.scratch = append(lanes.scratch[:0], office.Lanes...)
		for _, lane := range lanes.scratch {
			caller := lane.Owner
			if caller != nil && caller.Conn != nil && lane.Conn != nil && lane.Quiet() && s.now-lane.Idle >= laneIdleTimeout &&
				!lanes.laner.Keep(s.now, pooling.ClientID(caller.Client), pooling.SessionID(caller.Session)) && !lane.Conn.Waiting() {
				s.closeConn(lane.Conn, errIdle)
			}
		}
	}
	clear(lanes.scratch)
}

// laneLogger returns the logger for a connection; for a lane it adds the lane's number.
func (s *Session) laneLogger(lane *state.Lane) *slog.Logger {
	if lane.Number == 0 {
		return s.log
	}
	return s.log.With("lane", lane.Number)
}

// appendLaneMetrics appends the counters and gauges of lanes.
func (s *Session) appendLaneMetrics(b []byte) []byte {
	lanes := &s.lanes
	b = wire.Gauge(b, "lanes", lanes.count)
	b = wire.Count(b, "lanes_opened", "", lanes.opened)
	b = wire.Count(b, "lanes_cleared", "", lanes.evicted)
	b = wire.Count(b, "lanes_waited", "", lanes.waited)
	return wire.Count(b, "lanes_refused", "", lanes.refused)
}
