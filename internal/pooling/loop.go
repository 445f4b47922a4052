package pooling

import (
	"math"
	"math/rand/v2"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"pewterwheel/internal/wire"
)

// Bounds of the state kept on the session loop. Times are microseconds.
const (
	maxLoopClients   = 4096       // clients with an open session or with counts that were not handed over
	maxSessions      = 16384      // tracked sessions; any further one uses the mode BySession and is not observed
	ringSize         = 256        // batches waiting for the Module; a power of two
	handOverInterval = 20_000     // time between two hand-overs of counts; a witness is handed over at once
	maxTokens        = 16         // received tokens, and sent ones, remembered per session
	minTokenLength   = 8          // bytes of the shortest run of tokenBytes that is taken for a token
	maxTextScanned   = 512        // bytes of a description that are scanned for tokens
	minSureOwnSetUps = 1000       // clean set-ups on own connections after which CauseMissing on a shared one is a witness
	ownKeepTime      = 60_000_000 // how long idle own connections are kept after a client's last change of mode
)

// Flags in Call.Flags.
const (
	memoMarked     uint8 = 1 << iota // the set-up repeats a token that an office gave its session
	memoRefused                      // a set-up of the call was refused with a stateful cause (see stateful)
	memoMissing                      // that refusal had CauseMissing and came on a shared connection
	memoEndMoved                     // the end was sent on another connection than the set-up
	memoEndUnheard                   // the moved end was not acknowledged there in time
	memoOpen                         // the call is counted as open in its session
	memoSent                         // a set-up of the call was sent
	memoTrial                        // trial: sent on a shared connection while the client's mode was BySession
)

// Verdict is the decision for one client.
type Verdict struct {
	Epoch          uint32
	Mode           Mode
	Trial          Mode   // mode on trial; 0: none
	Share          uint32 // share of plain set-ups that are tried, in units of 2^-32
	Marked         uint32 // share of marked set-ups (they repeat a token) that are tried, likewise
	Ends           bool   // the end of a call may use another connection than its set-up
	OwnNeverMissed bool   // OwnMissing was never counted, over at least minSureOwnSetUps clean set-ups
	Since          int64  // time of the last change of Mode
}

// Table holds the verdicts that the loop applies. It is immutable and replaced as a whole.
type Table struct {
	// ValidUntil is when the table expires. After that every client uses BySession, because a stalled Module cannot
	// lower the mode of any.
	ValidUntil int64
	Default    Verdict
	verdicts   map[uint64]Verdict
}

// Lookup returns the verdict of the client with the given key.
func (t *Table) Lookup(key uint64) Verdict {
	if v, ok := t.verdicts[key]; ok {
		return v
	}
	return t.Default
}

// Key returns the client key that processes exchange, from the declared application and the source address.
func Key(application, source string) uint64 {
	return xxhash.Sum64String(clientName(application, source))
}

func clientName(application, source string) string {
	return application[:min(len(application), MaxName)] + "@" + source[:min(len(source), MaxName)]
}

// batch holds the counts of a client since its last hand-over.
type batch struct {
	key    uint64
	name   string
	epoch  uint32 // epoch of the client's evidence to which the counts belong
	counts Counts
}

// ring passes batches from the loop to the Module. It has one writer and one reader.
type ring struct {
	slots      [ringSize]batch
	head, tail atomic.Uint64 // next slot to read, next slot to write
}

func (r *ring) push(b *batch) bool {
	t := r.tail.Load()
	if t-r.head.Load() == ringSize {
		return false
	}
	r.slots[t%ringSize] = *b
	r.tail.Store(t + 1)
	return true
}

func (r *ring) pop(b *batch) bool {
	h := r.head.Load()
	if h == r.tail.Load() {
		return false
	}
	*b = r.slots[h%ringSize]
	r.slots[h%ringSize].name = ""
	r.head.Store(h + 1)
	return true
}

// loopClient is the state of a client on the loop.
type loopClient struct {
	batch
	sessions     int
	dirty        bool   // it has counts to hand over and is listed in Loop.dirtyClients
	urgent       bool   // the counts include a witness
	verdictTable *Table // the table that verdict was taken from
	verdict      Verdict
	denied       Modes  // modes denied by witnesses seen on this loop, which the table may not contain yet
	deniedEpoch  uint32 // epoch to which denied belongs
	ownMissing   bool   // OwnMissing was counted, in any epoch
}

type session struct {
	client     ClientID
	open       int    // calls that are not over
	calls      uint32 // calls so far
	ownAnswers uint32 // set-ups answered on its own connections
	shared     bool   // a set-up went on a shared connection, where state may be that its own connections lack
	// control marks a session of the control group, which is a random half of all sessions: none of its set-ups is
	// tried while the client's mode is BySession, so its refusals on own connections are the base rate for trials.
	control        bool
	guarded        bool // it had a guarded call: one that may not be repeated freely
	receivedTokens [maxTokens]uint64
	sentTokens     [maxTokens]uint64
	receivedCount  uint8
	sentCount      uint8
}

// Loop implements ConnectionSelector and holds the pooling state of the session loop. Except for Verdict, its methods
// may only be called on that loop. The Module of the process drains the ring and publishes the table.
type Loop struct {
	table        atomic.Pointer[Table]
	ring         ring
	ringFull     atomic.Uint64 // hand-overs that found the ring full; the counts are kept for a later one
	droppedSigns atomic.Uint64 // sessions opened without room in the tables; their signs are not counted
	random       *rand.PCG
	now          int64
	handedOverAt int64
	urgent       bool
	ids          map[uint64]ClientID
	clients      []loopClient // indexed by ClientID; 0 is unused
	freeClients  []ClientID
	dirtyClients []ClientID
	sessions     map[SessionID]*session
	freeSessions []*session
	defects      defectSet
}

var _ ConnectionSelector = (*Loop)(nil)

// NewLoop returns a Loop that uses BySession for every client until a Module publishes its first table. The seed
// determines which set-ups are tried.
func NewLoop(seed uint64) *Loop {
	l := &Loop{random: rand.NewPCG(seed, 0x706f6f6c), ids: map[uint64]ClientID{}, clients: make([]loopClient, 1, 64),
		dirtyClients: make([]ClientID, 0, maxLoopClients), sessions: map[SessionID]*session{}}
	l.table.Store(&Table{})
	return l
}

// Open implements ConnectionSelector.
func (l *Loop) Open(now int64, sessionID SessionID, application, source string) ClientID {
	l.now = now
	if len(l.sessions) >= maxSessions {
		l.droppedSigns.Add(1)
		return 0
	}
	key := Key(application, source)
	id, ok := l.ids[key]
	if !ok {
		switch n := len(l.freeClients); {
		case n > 0:
			id, l.freeClients = l.freeClients[n-1], l.freeClients[:n-1]
		case len(l.clients) <= maxLoopClients:
			l.clients = append(l.clients, loopClient{})
			id = ClientID(len(l.clients) - 1)
		default:
			l.droppedSigns.Add(1)
			return 0
		}
		l.ids[key] = id
		l.clients[id] = loopClient{batch: batch{key: key, name: clientName(application, source), epoch: 1}}
	}
	l.clients[id].sessions++
	sess := &session{}
	if n := len(l.freeSessions); n > 0 {
		sess, l.freeSessions = l.freeSessions[n-1], l.freeSessions[:n-1]
	}
	*sess = session{client: id, control: l.draw(1 << 31)}
	l.sessions[sessionID] = sess
	return id
}

// Closed implements ConnectionSelector.
func (l *Loop) Closed(now int64, clientID ClientID, sessionID SessionID) {
	sess := l.sessions[sessionID]
	if sess == nil {
		return
	}
	l.now = now
	delete(l.sessions, sessionID)
	if len(l.freeSessions) < 256 {
		l.freeSessions = append(l.freeSessions, sess)
	}
	l.clients[sess.client].sessions--
	l.releaseIfUnused(sess.client)
}

// releaseIfUnused frees a client's slot once it has no open session and no counts to hand over.
func (l *Loop) releaseIfUnused(id ClientID) {
	if cl := &l.clients[id]; cl.sessions == 0 && !cl.dirty && cl.key != 0 {
		delete(l.ids, cl.key)
		*cl = loopClient{}
		l.freeClients = append(l.freeClients, id)
	}
}

// KeepOwn implements ConnectionSelector.
func (l *Loop) KeepOwn(now int64, clientID ClientID, sessionID SessionID) bool {
	sess := l.sessions[sessionID]
	if sess == nil {
		return false
	}
	l.now = now
	cl := &l.clients[sess.client]
	v := l.verdict(cl)
	return sess.guarded || l.mode(cl, v) == BySession || now-v.Since < ownKeepTime
}

// verdict returns the verdict of a client at present.
func (l *Loop) verdict(cl *loopClient) Verdict {
	t := l.table.Load()
	if cl.verdictTable != t {
		cl.verdictTable, cl.verdict = t, t.Lookup(cl.key)
		if cl.verdict.Epoch > cl.epoch { // the counts belong to an epoch that is over
			cl.epoch, cl.counts = cl.verdict.Epoch, Counts{}
		}
	}
	if l.now >= t.ValidUntil {
		// The Module is stalled or has only just resumed, so its last verdicts may no longer be used.
		return Verdict{Epoch: cl.epoch, Mode: BySession, Since: l.now}
	}
	return cl.verdict
}

// Verdict returns the present verdict for a client key, for operators and measurements. It may be called from any
// goroutine.
func (l *Loop) Verdict(key uint64) Verdict { return l.table.Load().Lookup(key) }

// mode returns the highest mode that a client may use.
func (l *Loop) mode(cl *loopClient, v Verdict) Mode {
	m := max(v.Mode, BySession)
	if v.Epoch <= cl.deniedEpoch {
		m = min(m, cl.denied.highestAllowed())
	}
	return m
}

// trial returns the mode on trial for a client; 0: none.
func (l *Loop) trial(cl *loopClient, v Verdict) Mode {
	if v.Trial == 0 || v.Epoch <= cl.deniedEpoch && v.Trial > cl.denied.highestAllowed() {
		return 0
	}
	return v.Trial
}

// draw returns true with a probability of share/2^32.
func (l *Loop) draw(share uint32) bool { return uint32(l.random.Uint64()>>32) < share }

// Select implements ConnectionSelector.
func (l *Loop) Select(now int64, call *Call, kind MessageKind) ConnectionKind {
	l.now = now
	sess := l.sessions[call.Session]
	if kind != SetUp {
		return l.connectionAfterSetUp(sess, call, kind)
	}
	call.Connection = l.connectionForSetUp(sess, call)
	call.Flags |= memoSent
	if sess == nil {
		return call.Connection
	}
	sess.shared = sess.shared || call.Connection != OwnConnection
	return call.Connection
}

// connectionForSetUp selects the kind of connection for a set-up: that of the client's mode or, for a random share of
// the set-ups, that of the mode on trial.
func (l *Loop) connectionForSetUp(sess *session, call *Call) ConnectionKind {
	if sess == nil {
		return OwnConnection
	}
	if !call.Repeatable {
		sess.guarded = true
	}
	if call.Flags&memoRefused != 0 || !call.Repeatable && !l.defects.anyClass {
		// Evidence only covers classes that may be repeated freely, so all others use own connections.
		return OwnConnection
	}
	cl := &l.clients[sess.client]
	v := l.verdict(cl)
	share := v.Share
	if call.Flags&memoMarked != 0 {
		share = v.Marked
	}
	mode, trial := l.mode(cl, v), l.trial(cl, v)
	switch {
	case trial <= mode || call.Flags&memoSent != 0: // only the first set-up of a call is tried
	case mode > BySession && l.draw(share):
		mode = trial
	// The share is doubled because only the half of the sessions outside the control group is tried.
	case mode == BySession && !sess.control && sess.ownAnswers >= minOwnAnswers && l.draw(double(share)):
		call.Flags |= memoTrial
		mode = trial
	}
	switch mode {
	case ByMessage:
		return AnyConnection
	case ByCall:
		return ExclusiveConnection
	}
	return OwnConnection
}

func double(share uint32) uint32 { return uint32(min(2*uint64(share), math.MaxUint32)) }

// connectionAfterSetUp selects the kind of connection for a message after the set-up. Only an end may use another
// connection than the set-up: a give-up could overtake its set-up there, and an acknowledgement must go where the
// release came from.
func (l *Loop) connectionAfterSetUp(sess *session, call *Call, kind MessageKind) ConnectionKind {
	if kind != End || sess == nil {
		return SetUpConnection
	}
	cl := &l.clients[sess.client]
	if call.Flags&(memoEndMoved|memoEndUnheard) == 0 {
		l.count(sess.client, Ended)
	}
	v := l.verdict(cl)
	allowed := l.mode(cl, v) >= ByMessage && v.Ends || l.trial(cl, v) == ByMessage
	if l.defects.callsMove && !allowed && call.Connection != OwnConnection {
		return OwnConnection
	}
	if call.Connection != AnyConnection || !allowed || call.Flags&memoEndUnheard != 0 {
		return SetUpConnection
	}
	call.Flags |= memoEndMoved
	return AnyConnection
}

// Observe implements ConnectionSelector.
func (l *Loop) Observe(now int64, observation Observation) {
	l.now = now
	call := observation.Call
	sess := l.sessions[call.Session]
	if sess == nil {
		return // the client is unknown
	}
	id := sess.client
	cl := &l.clients[id]
	marked := call.Flags&memoMarked != 0
	switch observation.Event {
	case SetUpReceived:
		if !call.Repeatable {
			l.count(id, Guarded)
		}
		if sess.open > 0 {
			l.count(id, Overlapped)
		} else if sess.calls > 0 {
			l.count(id, Serial)
		}
		sess.calls++
		sess.open++
		call.Flags |= memoOpen
		if sess.repeatsToken(observation.Text) {
			call.Flags |= memoMarked
			l.count(id, Marked)
		}
	case IDReused:
		if other := l.sessions[observation.Session]; other != nil && other != sess && other.client == id {
			l.recordWitness(id, IDClash)
		}
		l.count(id, Again)
	case EndReceived:
		if observation.Session != 0 && observation.Session != call.Session {
			l.count(id, Crossed)
		}
	case SetUpAnswered:
		sess.recordReceivedTokens(observation.Text)
		if call.Flags&memoRefused == 0 {
			l.count(id, l.outcomeSign(sess, call, OwnClean))
		}
		if call.Connection != OwnConnection {
			break
		}
		sess.ownAnswers++
		if call.Flags&memoMissing != 0 && call.RefusedBy == call.Office {
			if marked {
				l.recordWitness(id, TokenBound)
			} else {
				l.recordWitness(id, StateMissing)
			}
		}
	case SetUpRefused:
		l.observeRefusal(sess, cl, call, observation.Cause)
	case EndAcknowledged:
		switch call.Flags & (memoEndMoved | memoEndUnheard) {
		case memoEndMoved:
			l.count(id, EndClean)
		case memoEndMoved | memoEndUnheard:
			l.count(id, EndFault)
		}
		call.Flags &^= memoEndMoved | memoEndUnheard
	case EndUnacknowledged:
		if call.Flags&memoEndMoved != 0 {
			call.Flags |= memoEndUnheard
		}
	case CallOver:
		if call.Flags&memoOpen != 0 {
			call.Flags &^= memoOpen
			sess.open--
		}
	}
}

// observeRefusal records the refusal of a set-up.
func (l *Loop) observeRefusal(sess *session, cl *loopClient, call *Call, cause byte) {
	id := sess.client
	if !stateful(cause) || call.Flags&memoRefused != 0 {
		return
	}
	call.Flags |= memoRefused
	l.count(id, l.outcomeSign(sess, call, OwnFault))
	if cause != wire.CauseMissing {
		return
	}
	switch {
	case call.Connection != OwnConnection:
		call.Flags |= memoMissing
		call.RefusedBy = call.Office
		if v := l.verdict(cl); v.OwnNeverMissed && !cl.ownMissing && call.Flags&memoTrial == 0 {
			l.recordWitness(id, MissingShared)
		}
	case !sess.shared:
		cl.ownMissing = true
		l.count(id, OwnMissing)
	}
}

// outcomeSign returns the sign to count for an answer (sign is OwnClean) or a refusal (sign is OwnFault), depending on
// the call's connection; 0: none. The signs of each kind of connection are numbered in the same order, so the result is
// found by adding the difference of two of them. Once a session has used shared connections, outcomes on its own ones
// no longer count for the base rate: those of guarded calls count as AfterClean (see sharesOften) or AfterFault, and
// those of other calls are not counted, because the trials provide the same evidence.
func (l *Loop) outcomeSign(sess *session, call *Call, sign Sign) Sign {
	switch call.Connection {
	case OwnConnection:
		switch {
		case sess.shared && call.Repeatable:
			return 0
		case sess.shared && sign == OwnClean && !l.sharesOften(sess):
			return 0
		case sess.shared:
			return sign + AfterClean - OwnClean
		}
	case ExclusiveConnection:
		sign += CallClean - OwnClean
	case AnyConnection:
		sign += MessageClean - OwnClean
	}
	if call.Flags&memoMarked != 0 {
		sign += OwnMarkedClean - OwnClean
	}
	return sign
}

// sharesOften reports whether about half of a session's set-ups use shared connections, as the test of guarded calls
// assumes. Otherwise clean outcomes could pass that test although hardly any state could have been left there.
func (l *Loop) sharesOften(sess *session) bool {
	v := l.verdict(&l.clients[sess.client])
	return v.Mode > BySession || v.Share >= fraction32(maxTrialShare)
}

// recordWitness applies the denial of a witness on this loop at once and marks the client, so that its counts are
// handed over to the Module at the end of the round.
func (l *Loop) recordWitness(id ClientID, s Sign) {
	cl := &l.clients[id]
	v := l.verdict(cl)
	if v.Epoch > cl.deniedEpoch {
		cl.deniedEpoch, cl.denied = v.Epoch, 0
	}
	if !l.defects.witnessAsFault {
		cl.denied |= Signs[s-1].Denies
	}
	cl.urgent, l.urgent = true, true
	l.count(id, s)
}

func (l *Loop) count(id ClientID, s Sign) {
	if s == 0 {
		return
	}
	cl := &l.clients[id]
	cl.counts[s]++
	if !cl.dirty {
		cl.dirty = true
		l.dirtyClients = append(l.dirtyClients, id)
	}
}

// EndRound implements ConnectionSelector. It hands over counts every handOverInterval, or at once if there is a
// witness; clients with a witness come first. Counts for which the ring has no room are kept for a later round.
func (l *Loop) EndRound(now int64) {
	l.now = now
	if len(l.dirtyClients) == 0 || !l.urgent && now-l.handedOverAt < handOverInterval {
		return
	}
	l.handedOverAt = now
	if l.urgent {
		l.urgent = false
		for i, n := 0, 0; i < len(l.dirtyClients); i++ {
			if l.clients[l.dirtyClients[i]].urgent {
				l.dirtyClients[i], l.dirtyClients[n] = l.dirtyClients[n], l.dirtyClients[i]
				n++
			}
		}
	}
	n := 0
	for ; n < len(l.dirtyClients); n++ {
		cl := &l.clients[l.dirtyClients[n]]
		l.verdict(cl)
		if !l.ring.push(&cl.batch) {
			l.ringFull.Add(1)
			l.urgent = l.urgent || cl.urgent
			break
		}
		cl.counts, cl.dirty, cl.urgent = Counts{}, false, false
	}
	for _, id := range l.dirtyClients[:n] {
		l.releaseIfUnused(id)
	}
	l.dirtyClients = l.dirtyClients[:copy(l.dirtyClients, l.dirtyClients[n:])]
}

// repeatsToken records the tokens of a set-up's description and reports whether an office gave the session one of them.
func (sess *session) repeatsToken(text []byte) bool {
	marked := false
	for from, to := 0, 0; nextToken(text, &from, &to); {
		switch token := xxhash.Sum64(text[from:to]); {
		case containsToken(&sess.receivedTokens, token):
			marked = true
		case !containsToken(&sess.sentTokens, token):
			sess.sentTokens[sess.sentCount%maxTokens] = token
			sess.sentCount++
		}
	}
	return marked
}

// recordReceivedTokens records the tokens of an office's answer that the session has not sent itself.
func (sess *session) recordReceivedTokens(text []byte) {
	for from, to := 0, 0; nextToken(text, &from, &to); {
		if token := xxhash.Sum64(text[from:to]); !containsToken(&sess.sentTokens, token) &&
			!containsToken(&sess.receivedTokens, token) {
			sess.receivedTokens[sess.receivedCount%maxTokens] = token
			sess.receivedCount++
		}
	}
}

func containsToken(tokens *[maxTokens]uint64, token uint64) bool {
	for _, v := range tokens {
		if v == token {
			return true
		}
	}
	return false
}

// nextToken finds the next token after *to, a run of at least minTokenLength token bytes, and sets *from and *to to its
// bounds. It reports whether there is one.
func nextToken(text []byte, from, to *int) bool {
	text = text[:min(len(text), maxTextScanned)]
	for i := *to; i < len(text); {
		for i < len(text) && !tokenBytes[text[i]] {
			i++
		}
		*from = i
		for i < len(text) && tokenBytes[text[i]] {
			i++
		}
		if *to = i; i-*from >= minTokenLength {
			return true
		}
	}
	return false
}

// tokenBytes marks the bytes that a token may contain.
var tokenBytes = func() (l [256]bool) {
	for c := range l {
		l[c] = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_'
	}
	return l
}()
