package pooling

import (
	"math"
	"math/rand/v2"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"pewterwheel/internal/wire"
)

// Bounds of what is kept on the loop.
const (
	maxLoopClients   = 4096   // with an open session, or counts that were not handed on
	maxSessions      = 16384  // that are watched; those past it go by session
	ringSize         = 256    // batches on their way to the part; a power of two
	flushEvery       = 20_000 // microseconds between two hand-overs of counts; a witness goes at once
	maxTokens        = 16     // tokens given to a session, and words sent by it, that are remembered
	minTokenLength   = 8      // bytes of the shortest text that is taken for a token
	maxTextScanned   = 512    // bytes of a description that are looked through
	minSureOwnSetUps = 1000   // own set-ups without a miss after which a miss on a shared lane is a witness
	ownKeepTime      = 60_000_000
)

// Memo bits of a call.
const (
	memoMarked     uint8 = 1 << iota // its set-up repeats a token that an office gave its session
	memoRefused                      // a set-up of it was refused statefully
	memoMissing                      // and on a shared lane, for want of something
	memoEndMoved                     // its end went on another lane than the set-up
	memoEndUnheard                   // and was not heard there
	memoOpen                         // it counts among its session's open ones
	memoSent                         // a set-up of it has gone out
	memoTrial                        // on a shared lane, while its client went by session
)

// Verdict is what the table says of one client.
type Verdict struct {
	Epoch          uint32
	Mode           Mode
	Trial          Mode   // the mode that is on trial; 0: none
	Share          uint32 // part of plain set-ups that are tried, of 2^32
	Marked         uint32 // the same of set-ups that repeat a token
	Ends           bool   // ends may leave their set-up's connection
	OwnNeverMissed bool   // no own connection has ever missed anything, in long enough
	Since          int64  // when Mode was last changed
}

// Table is what the loop goes by: immutable, put up whole.
type Table struct {
	ValidUntil int64 // it holds before this alone: then every client goes by session, as a part that stands still can fell nobody
	Default    Verdict
	verdicts   map[uint64]Verdict
}

// Of returns the verdict of a client by its key.
func (t *Table) Of(key uint64) Verdict {
	if v, ok := t.verdicts[key]; ok {
		return v
	}
	return t.Default
}

// Key is a client's key between processes, by the application that it declares and its source address.
func Key(application, source string) uint64 {
	return xxhash.Sum64String(clientName(application, source))
}

func clientName(application, source string) string {
	return application[:min(len(application), MaxName)] + "@" + source[:min(len(source), MaxName)]
}

// batch is what the loop has counted of a client since the last one.
type batch struct {
	key    uint64
	name   string
	epoch  uint32
	counts Counts
}

// ring hands batches from the loop to the part: one writes, one reads.
type ring struct {
	slots      [ringSize]batch
	head, tail atomic.Uint64 // next to be read, next to be written
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

// loopClient is a client as the loop knows it.
type loopClient struct {
	batch
	sessions     int
	dirty        bool
	urgent       bool   // a witness is in it
	verdictTable *Table // the table that verdict was read from
	verdict      Verdict
	denied       Modes // by a witness seen here, before the part has said so
	deniedEpoch  uint32
	ownMissing   bool // an own connection has missed something, in whichever epoch
}

type session struct {
	client         ClientID
	open           int
	calls          uint32
	ownAnswers     uint32 // set-ups answered on its own connections
	shared         bool   // a set-up of it has gone on a shared lane: what its own connections refuse may have been left there
	control        bool   // no set-up of it is tried: what its own connections refuse is what trials are held against
	guarded        bool   // it has had a call that may not be repeated freely
	receivedTokens [maxTokens]uint64
	sentTokens     [maxTokens]uint64
	receivedCount  uint8
	sentCount      uint8
}

// Loop is the Laner: what pooling keeps on the loop. Its Part drains it; nothing else may be called off the loop.
type Loop struct {
	table        atomic.Pointer[Table]
	ring         ring
	ringFull     atomic.Uint64 // hand-overs that found the ring full: the counts stay and go with the next
	droppedSigns atomic.Uint64 // signs lost, of clients for whom there was no room
	random       *rand.PCG
	now          int64
	flushedAt    int64
	urgent       bool
	ids          map[uint64]ClientID
	clients      []loopClient // by ClientID; 0 is nobody
	freeClients  []ClientID
	dirtyClients []ClientID
	sessions     map[SessionID]*session
	freeSessions []*session
	defects      defectSet
}

var _ Laner = (*Loop)(nil)

// NewLoop returns a Loop that puts everybody by session until a Part puts up its first table. The seed draws its trials.
func NewLoop(seed uint64) *Loop {
	l := &Loop{random: rand.NewPCG(seed, 0x706f6f6c), ids: map[uint64]ClientID{}, clients: make([]loopClient, 1, 64),
		dirtyClients: make([]ClientID, 0, maxLoopClients), sessions: map[SessionID]*session{}}
	l.table.Store(&Table{})
	return l
}

// Open implements Laner.
func (l *Loop) Open(now int64, s SessionID, application, source string) ClientID {
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
	x := &session{}
	if n := len(l.freeSessions); n > 0 {
		x, l.freeSessions = l.freeSessions[n-1], l.freeSessions[:n-1]
	}
	*x = session{client: id, control: l.draw(1 << 31)}
	l.sessions[s] = x
	return id
}

// Closed implements Laner.
func (l *Loop) Closed(now int64, c ClientID, s SessionID) {
	x := l.sessions[s]
	if x == nil {
		return
	}
	l.now = now
	delete(l.sessions, s)
	if len(l.freeSessions) < 256 {
		l.freeSessions = append(l.freeSessions, x)
	}
	l.clients[x.client].sessions--
	l.releaseIfUnused(x.client)
}

// releaseIfUnused lets a client's place be used again, once nothing of it is open or still to be handed on.
func (l *Loop) releaseIfUnused(id ClientID) {
	if cl := &l.clients[id]; cl.sessions == 0 && !cl.dirty && cl.key != 0 {
		delete(l.ids, cl.key)
		*cl = loopClient{}
		l.freeClients = append(l.freeClients, id)
	}
}

// Keep implements Laner.
func (l *Loop) Keep(now int64, c ClientID, s SessionID) bool {
	x := l.sessions[s]
	if x == nil {
		return false
	}
	l.now = now
	cl := &l.clients[x.client]
	v := l.verdict(cl)
	return x.guarded || l.mode(cl, v) == BySession || now-v.Since < ownKeepTime
}

// verdict is what the table says of a client now.
func (l *Loop) verdict(cl *loopClient) Verdict {
	t := l.table.Load()
	if cl.verdictTable != t {
		cl.verdictTable, cl.verdict = t, t.Of(cl.key)
		if cl.verdict.Epoch > cl.epoch { // what was counted belongs to an epoch that is over
			cl.epoch, cl.counts = cl.verdict.Epoch, Counts{}
		}
	}
	if l.now >= t.ValidUntil {
		// Guards against going on by what a part that stands still, or has just woken, once said.
		return Verdict{Epoch: cl.epoch, Mode: BySession, Since: l.now}
	}
	return cl.verdict
}

// Verdict is what a client goes by now, by its key; for staff and measurements. It may be asked from any thread.
func (l *Loop) Verdict(key uint64) Verdict { return l.table.Load().Of(key) }

// mode is the highest mode that a client may go by.
func (l *Loop) mode(cl *loopClient, v Verdict) Mode {
	m := max(v.Mode, BySession)
	if v.Epoch <= cl.deniedEpoch {
		m = min(m, cl.denied.highestAllowed())
	}
	return m
}

// trial is the mode on trial for a client; 0: none.
func (l *Loop) trial(cl *loopClient, v Verdict) Mode {
	if v.Trial == 0 || v.Epoch <= cl.deniedEpoch && v.Trial > cl.denied.highestAllowed() {
		return 0
	}
	return v.Trial
}

// draw tells whether one of this share of 2^32 is draw.
func (l *Loop) draw(share uint32) bool { return uint32(l.random.Uint64()>>32) < share }

// Lane implements Laner.
func (l *Loop) Lane(now int64, c *Call, k Kind) Lane {
	l.now = now
	x := l.sessions[c.Session]
	if k != SetUp {
		return l.laneAfterSetUp(x, c, k)
	}
	c.Lane = l.laneForSetUp(x, c)
	c.Memo |= memoSent
	if x == nil {
		return c.Lane
	}
	x.shared = x.shared || c.Lane != Own
	return c.Lane
}

// laneForSetUp chooses for a set-up.
func (l *Loop) laneForSetUp(x *session, c *Call) Lane {
	if x == nil {
		return Own
	}
	if !c.Free {
		x.guarded = true
	}
	if c.Memo&memoRefused != 0 || !c.Free && !l.defects.anyClass {
		// What was observed is of classes that may be repeated; nothing was shown of the others, so they go by session.
		return Own
	}
	cl := &l.clients[x.client]
	v := l.verdict(cl)
	share := v.Share
	if c.Memo&memoMarked != 0 {
		share = v.Marked
	}
	mode, trial := l.mode(cl, v), l.trial(cl, v)
	switch {
	case trial <= mode || c.Memo&memoSent != 0:
	case mode > BySession && l.draw(share):
		mode = trial
	case mode == BySession && !x.control && x.ownAnswers >= minOwnAnswers && l.draw(double(share)): // for only half of the sessions are tried
		c.Memo |= memoTrial
		mode = trial
	}
	switch mode {
	case ByMessage:
		return Any
	case ByCall:
		return Taken
	}
	return Own
}

func double(share uint32) uint32 { return uint32(min(2*uint64(share), math.MaxUint32)) }

// laneAfterSetUp chooses for what comes after a set-up. Only an end may leave the set-up's connection: a give-up could overtake its
// set-up on another, and what is heard is told where it was said.
func (l *Loop) laneAfterSetUp(x *session, c *Call, k Kind) Lane {
	if k != End || x == nil {
		return Held
	}
	cl := &l.clients[x.client]
	if c.Memo&(memoEndMoved|memoEndUnheard) == 0 {
		l.count(x.client, Ended)
	}
	v := l.verdict(cl)
	allowed := l.mode(cl, v) >= ByMessage && v.Ends || l.trial(cl, v) == ByMessage
	if l.defects.callsMove && !allowed && c.Lane != Own {
		return Own
	}
	if c.Lane != Any || !allowed || c.Memo&memoEndUnheard != 0 {
		return Held
	}
	c.Memo |= memoEndMoved
	return Any
}

// Observe implements Laner.
func (l *Loop) Observe(now int64, o Observation) {
	l.now = now
	c := o.Call
	x := l.sessions[c.Session]
	if x == nil {
		return // its signs would be laid to nobody
	}
	id := x.client
	cl := &l.clients[id]
	marked := c.Memo&memoMarked != 0
	switch o.What {
	case CameSetUp:
		if !c.Free {
			l.count(id, Guarded)
		}
		if x.open > 0 {
			l.count(id, Overlapped)
		} else if x.calls > 0 {
			l.count(id, Serial)
		}
		x.calls++
		x.open++
		c.Memo |= memoOpen
		if x.repeatsToken(o.Text) {
			c.Memo |= memoMarked
			l.count(id, Marked)
		}
	case CameAgain:
		if y := l.sessions[o.On]; y != nil && y != x && y.client == id {
			l.recordWitness(id, IDClash)
		}
		l.count(id, Again)
	case CameEnd:
		if o.On != 0 && o.On != c.Session {
			l.count(id, Crossed)
		}
	case Answered:
		x.recordReceivedTokens(o.Text)
		if c.Memo&memoRefused == 0 {
			l.count(id, l.outcomeSign(x, c, OwnClean))
		}
		if c.Lane != Own {
			break
		}
		x.ownAnswers++
		if c.Memo&memoMissing != 0 && c.Refused == c.Office {
			if marked {
				l.recordWitness(id, TokenBound)
			} else {
				l.recordWitness(id, StateMissing)
			}
		}
	case Failed:
		l.observeRefusal(x, cl, c, o.Cause)
	case EndHeard:
		switch c.Memo & (memoEndMoved | memoEndUnheard) {
		case memoEndMoved:
			l.count(id, EndClean)
		case memoEndMoved | memoEndUnheard:
			l.count(id, EndFault)
		}
		c.Memo &^= memoEndMoved | memoEndUnheard
	case EndUnheard:
		if c.Memo&memoEndMoved != 0 {
			c.Memo |= memoEndUnheard
		}
	case Over:
		if c.Memo&memoOpen != 0 {
			c.Memo &^= memoOpen
			x.open--
		}
	}
}

// observeRefusal takes a refusal of a set-up.
func (l *Loop) observeRefusal(x *session, cl *loopClient, c *Call, cause byte) {
	id := x.client
	if !stateful(cause) || c.Memo&memoRefused != 0 {
		return
	}
	c.Memo |= memoRefused
	l.count(id, l.outcomeSign(x, c, OwnFault))
	if cause != wire.CauseMissing {
		return
	}
	switch {
	case c.Lane != Own:
		c.Memo |= memoMissing
		c.Refused = c.Office
		if v := l.verdict(cl); v.OwnNeverMissed && !cl.ownMissing && c.Memo&memoTrial == 0 {
			l.recordWitness(id, MissingShared)
		}
	case !x.shared:
		cl.ownMissing = true
		l.count(id, OwnMissing)
	}
}

// outcomeSign is the sign of an answer or refusal; of is OwnClean or OwnFault. 0: it is none. What own connections refuse of a
// session that has shared is no base any more; where it may be repeated, its trials tell the same.
func (l *Loop) outcomeSign(x *session, c *Call, of Sign) Sign {
	switch c.Lane {
	case Own:
		switch {
		case x.shared && c.Free:
			return 0
		case x.shared && of == OwnClean && !l.sharesOften(x):
			return 0
		case x.shared:
			return of + AfterClean - OwnClean
		}
	case Taken:
		of += CallClean - OwnClean
	case Any:
		of += MessageClean - OwnClean
	}
	if c.Memo&memoMarked != 0 {
		of += OwnMarkedClean - OwnClean
	}
	return of
}

// sharesOften tells whether about half of a session's set-ups are shared, as the test of guarded calls takes for granted. Guards
// against passing it by what was clean while hardly anything could have been left behind.
func (l *Loop) sharesOften(x *session) bool {
	v := l.verdict(&l.clients[x.client])
	return v.Mode > BySession || v.Share >= fraction32(maxTrialShare)
}

// recordWitness denies at once, here, and has it handed on with the round.
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

// Round implements Laner. Counts for which the ring has no room stay and go with a later round; witnesses go first.
func (l *Loop) Round(now int64) {
	l.now = now
	if len(l.dirtyClients) == 0 || !l.urgent && now-l.flushedAt < flushEvery {
		return
	}
	l.flushedAt = now
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

// repeatsToken notes a set-up's words and tells whether one of them is a token that an office gave.
func (x *session) repeatsToken(text []byte) bool {
	marked := false
	for from, to := 0, 0; nextToken(text, &from, &to); {
		switch w := xxhash.Sum64(text[from:to]); {
		case containsToken(&x.receivedTokens, w):
			marked = true
		case !containsToken(&x.sentTokens, w):
			x.sentTokens[x.sentCount%maxTokens] = w
			x.sentCount++
		}
	}
	return marked
}

// recordReceivedTokens notes the words of an office's answer that the session has not sent itself.
func (x *session) recordReceivedTokens(text []byte) {
	for from, to := 0, 0; nextToken(text, &from, &to); {
		if w := xxhash.Sum64(text[from:to]); !containsToken(&x.sentTokens, w) && !containsToken(&x.receivedTokens, w) {
			x.receivedTokens[x.receivedCount%maxTokens] = w
			x.receivedCount++
		}
	}
}

func containsToken(in *[maxTokens]uint64, w uint64) bool {
	for _, v := range in {
		if v == w {
			return true
		}
	}
	return false
}

// nextToken finds the nextToken word of leastWord bytes or more.
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

// tokenBytes are those that a token may be of.
var tokenBytes = func() (l [256]bool) {
	for c := range l {
		l[c] = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_'
	}
	return l
}()
