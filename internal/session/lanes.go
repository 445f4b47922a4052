package session

import (
	"log/slog"
	"math"
	"net"

	"pewterwheel/internal/pooling"
	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

// Beside its main connection an office may have further ones, lanes: a caller's own, or those of the pool, which a call
// has to itself. Which of them a message takes is pooling's to say. All else is as on the main connection, by the same code.
const (
	// lanePart of the descriptors may be lanes, over all offices; callers have half. What the offices' main connections
	// need is left to them, and laneSpare for the journal, the second address and the listeners. One office may have half of
	// the lanes. Guards against an office that answers slowly having all of them.
	laneDivisor, laneReserve, officeLaneDivisor = 4, 24, 2
	// laneIdle is how long a lane of the pool may carry nothing, laneLinger one whose caller has left.
	laneIdleTimeout, ownedLaneLinger = 10_000_000, 1_000_000
	// maxWaiting set-ups wait at an office for room for a lane; more are refused at once.
	maxWaiting = 256
	// hearWithin is how long an office may take to hear a release before that is told, and the release sent again, maxAgain
	// times at the most.
	releaseAckTimeout, maxReleaseRepeats = 1_000_000, 2
	// room is the number of what is no lane: where attempts wait for one.
	waitingNumber = math.MaxUint32
)

// lanes is what is kept where calls are given lanes.
type lanes struct {
	laner       pooling.Laner // nil: all go on the main connections, and nothing here is used
	observeOnly bool          // it is told, and not asked
	application string
	sockets     int

	lastSession   uint64 // numbers of callers' connections given out
	lastSerial    uint64 // and of offices
	lastNumber    uint32 // and of lanes
	count         int    // lanes that there are
	tracked       map[uint64]*trackedCall
	spareTracked  []*trackedCall
	untracked     pooling.Call  // for what is seen of a call that is not followed
	maybeOver     []uint64      // calls that may have ended in this round
	sentReleases  []sentRelease // releases that wait to be heard, in the order in which they were sent
	firstPending  int           // those before it are done with
	laneAvailable bool          // a lane may be had by one who waits
	turn          int           // the office whose turn it is to have it first
	scratch       []*state.Lane
	disabled      disabledGuards
	opened        uint64 // lanes
	waited        uint64 // set-ups that waited for room
	refused       uint64 // set-ups that were refused for want of it
	evicted       uint64 // lanes that were closed to make room

	mostTracked int
}

// without takes guards away, for tests that show what each is for.
type disabledGuards struct {
	exclusiveLane  bool // the length of a call, for which it has its lane to itself
	waitForLane    bool // waiting for room, in place of the main connection
	repeatLost     bool // releasing again what went on a lane that was lost
	cancelInOrder  bool // a give-up behind its set-up
	laneLimit      bool // the number of lanes
	returnLane     bool // giving a lane back
	keepOnOpenLane bool // calls on a lane that is there, while the main connection is not
	waitLimit      bool // the end of waiting
	keepOwned      bool // a caller's own lane, while it is connected
}

// followed is what is kept of a call for pooling, until nothing more is to be told of it.
type trackedCall struct {
	call        pooling.Call
	verdict     pooling.Lane // of its newest attempt
	established bool
	over        bool
	releaseLane *state.Lane // where a release of it went that was not heard yet
	releasedAt  int64       // when
	repeats     int         // times that it was sent again
}

func (n *lanes) init(cfg Config) {
	n.laner, n.observeOnly, n.application, n.sockets = cfg.Laner, cfg.Watch, cfg.Application, cfg.Sockets
	if n.laner != nil {
		n.tracked = map[uint64]*trackedCall{}
	}
}

// callerOpened tells of a caller's connection.
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

// follow begins to follow a call that was taken.
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

// unfollow lets go of a call of which all was told.
func (s *Session) untrackCall(id uint64, tracked *trackedCall) {
	const most = 512
	delete(s.lanes.tracked, id)
	if *tracked = (trackedCall{}); len(s.lanes.spareTracked) < most {
		s.lanes.spareTracked = append(s.lanes.spareTracked, tracked)
	}
}

// saw tells what was seen of a call, if it is followed.
func (s *Session) observe(happening pooling.Happening, call uint64, cause byte, text []byte) {
	if tracked := s.lanes.tracked[call]; tracked != nil {
		s.lanes.laner.Observe(s.now, pooling.Observation{What: happening, Call: &tracked.call, Cause: cause, Text: text})
	}
}

// cameEnd tells who brought a release or a give-up of a call.
func (s *Session) observeCallerRelease(caller *state.Caller, call uint64) {
	if tracked := s.lanes.tracked[call]; tracked != nil {
		s.lanes.laner.Observe(s.now, pooling.Observation{What: pooling.CameEnd, Call: &tracked.call, On: pooling.SessionID(caller.Session)})
	}
}

// cameAgain tells who brought a set-up under an id that was used.
func (s *Session) observeRepeatedSetUp(caller *state.Caller, call uint64) {
	lanes := &s.lanes
	lanes.untracked = pooling.Call{ID: call, Client: pooling.ClientID(caller.Client), Session: pooling.SessionID(caller.Session)}
	c := &lanes.untracked
	if tracked := lanes.tracked[call]; tracked != nil {
		c = &tracked.call
	}
	lanes.laner.Observe(s.now, pooling.Observation{What: pooling.CameAgain, Call: c, On: pooling.SessionID(caller.Session)})
}

// stood notes that a call stands on a lane.
func (s *Session) markEstablished(lane *state.Lane, call uint64, description []byte) {
	lane.Stands++
	if tracked := s.lanes.tracked[call]; tracked != nil {
		tracked.established = true
		s.observe(pooling.Answered, call, 0, description)
	}
}

// stoodOn notes that it stands no more.
func (s *Session) markEnded(established *state.Standing) {
	established.On.Stands--
	s.freeLane(established.On, established.ID)
	s.lanes.maybeOver = append(s.lanes.maybeOver, established.ID)
}

// laneRound ends a round: who waits has what lanes there are, and what is over is told.
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

// holds tells whether a call stands on a connection that is there.
func (s *Session) onOpenConn(established *state.Standing) bool {
	return established.On.Conn != nil && !s.lanes.disabled.keepOnOpenLane
}

// watchLanes ends lanes that bring nothing whole, or nothing any more, and those that nobody needs; and looks for releases
// that were not heard.
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

// sweepLanes closes callers' own lanes that have carried nothing for a while, where pooling no longer needs them.
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

// laneLog is the log; of a lane it names that beside.
func (s *Session) laneLogger(lane *state.Lane) *slog.Logger {
	if lane.Number == 0 {
		return s.log
	}
	return s.log.With("lane", lane.Number)
}

// laneFigures are told to staff where calls are given lanes.
func (s *Session) appendLaneMetrics(b []byte) []byte {
	lanes := &s.lanes
	b = wire.Gauge(b, "lanes", lanes.count)
	b = wire.Count(b, "lanes_opened", "", lanes.opened)
	b = wire.Count(b, "lanes_cleared", "", lanes.evicted)
	b = wire.Count(b, "lanes_waited", "", lanes.waited)
	return wire.Count(b, "lanes_refused", "", lanes.refused)
}
