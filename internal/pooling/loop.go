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
	maxLoopClients = 4096   // with an open session, or counts that were not handed on
	maxSessions    = 16384  // that are watched; those past it go by session
	ringSize       = 256    // batches on their way to the part; a power of two
	flushEvery     = 20_000 // microseconds between two hand-overs of counts; a witness goes at once
	words          = 16     // tokens given to a session, and words sent by it, that are remembered
	leastWord      = 8      // bytes of the shortest text that is taken for a token
	mostText       = 512    // bytes of a description that are looked through
	sureOwn        = 1000   // own set-ups without a miss after which a miss on a shared lane is a witness
	settleOwn      = 60_000_000
)

// Memo bits of a call.
const (
	memoMarked  uint8 = 1 << iota // its set-up repeats a token that an office gave its session
	memoRefused                   // a set-up of it was refused statefully
	memoMissing                   // and on a shared lane, for want of something
	memoEndAny                    // its end went on another lane than the set-up
	memoEndLost                   // and was not heard there
	memoOpen                      // it counts among its session's open ones
	memoTried                     // a set-up of it has gone out
	memoTrial                     // on a shared lane, while its client went by session
)

// Verdict is what the table says of one client.
type Verdict struct {
	Epoch   uint32
	Mode    Mode
	Trial   Mode   // the mode that is on trial; 0: none
	Share   uint32 // part of plain set-ups that are tried, of 2^32
	Marked  uint32 // the same of set-ups that repeat a token
	Ends    bool   // ends may leave their set-up's connection
	OwnSure bool   // no own connection has ever missed anything, in long enough
	Since   int64  // when Mode was last changed
}

// Table is what the loop goes by: immutable, put up whole.
type Table struct {
	Until    int64 // it holds before this alone: then every client goes by session, as a part that stands still can fell nobody
	Unknown  Verdict
	verdicts map[uint64]Verdict
}

// Of returns the verdict of a client by its key.
func (t *Table) Of(key uint64) Verdict {
	if v, ok := t.verdicts[key]; ok {
		return v
	}
	return t.Unknown
}

// Key is a client's key between processes, by the application that it declares and its source address.
func Key(application, source string) uint64 {
	return xxhash.Sum64String(name(application, source))
}

func name(application, source string) string {
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
	sessions int
	dirty    bool
	urgent   bool   // a witness is in it
	read     *Table // the table that verdict was read from
	verdict  Verdict
	denied   Modes // by a witness seen here, before the part has said so
	at       uint32
	missing  bool // an own connection has missed something, in whichever epoch
}

type session struct {
	client  ClientID
	open    int
	calls   uint32
	own     uint32 // set-ups answered on its own connections
	shared  bool   // a set-up of it has gone on a shared lane: what its own connections refuse may have been left there
	control bool   // no set-up of it is tried: what its own connections refuse is what trials are held against
	guarded bool   // it has had a call that may not be repeated freely
	given   [words]uint64
	sent    [words]uint64
	gave    uint8
	wrote   uint8
}

// Loop is the Laner: what pooling keeps on the loop. Its Part drains it; nothing else may be called off the loop.
type Loop struct {
	table    atomic.Pointer[Table]
	ring     ring
	held     atomic.Uint64 // hand-overs that found the ring full: the counts stay and go with the next
	dropped  atomic.Uint64 // signs lost, of clients for whom there was no room
	random   *rand.PCG
	now      int64
	flushed  int64
	urgent   bool
	ids      map[uint64]ClientID
	clients  []loopClient // by ClientID; 0 is nobody
	free     []ClientID
	dirty    []ClientID
	sessions map[SessionID]*session
	spare    []*session
	doctor   doctor
}

var _ Laner = (*Loop)(nil)

// NewLoop returns a Loop that puts everybody by session until a Part puts up its first table. The seed draws its trials.
func NewLoop(seed uint64) *Loop {
	l := &Loop{random: rand.NewPCG(seed, 0x706f6f6c), ids: map[uint64]ClientID{}, clients: make([]loopClient, 1, 64),
		dirty: make([]ClientID, 0, maxLoopClients), sessions: map[SessionID]*session{}}
	l.table.Store(&Table{})
	return l
}

// Open implements Laner.
func (l *Loop) Open(now int64, s SessionID, application, source string) ClientID {
	l.now = now
	if len(l.sessions) >= maxSessions {
		l.dropped.Add(1)
		return 0
	}
	key := Key(application, source)
	id, ok := l.ids[key]
	if !ok {
		switch n := len(l.free); {
		case n > 0:
			id, l.free = l.free[n-1], l.free[:n-1]
		case len(l.clients) <= maxLoopClients:
			l.clients = append(l.clients, loopClient{})
			id = ClientID(len(l.clients) - 1)
		default:
			l.dropped.Add(1)
			return 0
		}
		l.ids[key] = id
		l.clients[id] = loopClient{batch: batch{key: key, name: name(application, source), epoch: 1}}
	}
	l.clients[id].sessions++
	x := &session{}
	if n := len(l.spare); n > 0 {
		x, l.spare = l.spare[n-1], l.spare[:n-1]
	}
	*x = session{client: id, control: l.drawn(1 << 31)}
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
	if len(l.spare) < 256 {
		l.spare = append(l.spare, x)
	}
	l.clients[x.client].sessions--
	l.release(x.client)
}

// release lets a client's place be used again, once nothing of it is open or still to be handed on.
func (l *Loop) release(id ClientID) {
	if cl := &l.clients[id]; cl.sessions == 0 && !cl.dirty && cl.key != 0 {
		delete(l.ids, cl.key)
		*cl = loopClient{}
		l.free = append(l.free, id)
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
	return x.guarded || l.mode(cl, v) == BySession || now-v.Since < settleOwn
}

// verdict is what the table says of a client now.
func (l *Loop) verdict(cl *loopClient) Verdict {
	t := l.table.Load()
	if cl.read != t {
		cl.read, cl.verdict = t, t.Of(cl.key)
		if cl.verdict.Epoch > cl.epoch { // what was counted belongs to an epoch that is over
			cl.epoch, cl.counts = cl.verdict.Epoch, Counts{}
		}
	}
	if l.now >= t.Until {
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
	if v.Epoch <= cl.at {
		m = min(m, cl.denied.highest())
	}
	return m
}

// trial is the mode on trial for a client; 0: none.
func (l *Loop) trial(cl *loopClient, v Verdict) Mode {
	if v.Trial == 0 || v.Epoch <= cl.at && v.Trial > cl.denied.highest() {
		return 0
	}
	return v.Trial
}

// drawn tells whether one of this share of 2^32 is drawn.
func (l *Loop) drawn(share uint32) bool { return uint32(l.random.Uint64()>>32) < share }

// Lane implements Laner.
func (l *Loop) Lane(now int64, c *Call, k Kind) Lane {
	l.now = now
	x := l.sessions[c.Session]
	if k != SetUp {
		return l.follows(x, c, k)
	}
	c.Lane = l.lane(x, c)
	c.Memo |= memoTried
	if x == nil {
		return c.Lane
	}
	x.shared = x.shared || c.Lane != Own
	return c.Lane
}

// lane chooses for a set-up.
func (l *Loop) lane(x *session, c *Call) Lane {
	if x == nil {
		return Own
	}
	if !c.Free {
		x.guarded = true
	}
	if c.Memo&memoRefused != 0 || !c.Free && !l.doctor.anyClass {
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
	case trial <= mode || c.Memo&memoTried != 0:
	case mode > BySession && l.drawn(share):
		mode = trial
	case mode == BySession && !x.control && x.own >= after && l.drawn(double(share)): // for only half of the sessions are tried
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

// follows chooses for what comes after a set-up. Only an end may leave the set-up's connection: a give-up could overtake its
// set-up on another, and what is heard is told where it was said.
func (l *Loop) follows(x *session, c *Call, k Kind) Lane {
	if k != End || x == nil {
		return Held
	}
	cl := &l.clients[x.client]
	if c.Memo&(memoEndAny|memoEndLost) == 0 {
		l.count(x.client, Ended)
	}
	v := l.verdict(cl)
	allowed := l.mode(cl, v) >= ByMessage && v.Ends || l.trial(cl, v) == ByMessage
	if l.doctor.moves && !allowed && c.Lane != Own {
		return Own
	}
	if c.Lane != Any || !allowed || c.Memo&memoEndLost != 0 {
		return Held
	}
	c.Memo |= memoEndAny
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
		if x.repeats(o.Text) {
			c.Memo |= memoMarked
			l.count(id, Marked)
		}
	case CameAgain:
		if y := l.sessions[o.On]; y != nil && y != x && y.client == id {
			l.witness(id, IDClash)
		}
		l.count(id, Again)
	case CameEnd:
		if o.On != 0 && o.On != c.Session {
			l.count(id, Crossed)
		}
	case Answered:
		x.takes(o.Text)
		if c.Memo&memoRefused == 0 {
			l.count(id, l.outcome(x, c, OwnClean))
		}
		if c.Lane != Own {
			break
		}
		x.own++
		if c.Memo&memoMissing != 0 && c.Refused == c.Office {
			if marked {
				l.witness(id, TokenBound)
			} else {
				l.witness(id, StateMissing)
			}
		}
	case Failed:
		l.failed(x, cl, c, o.Cause)
	case EndHeard:
		switch c.Memo & (memoEndAny | memoEndLost) {
		case memoEndAny:
			l.count(id, EndClean)
		case memoEndAny | memoEndLost:
			l.count(id, EndFault)
		}
		c.Memo &^= memoEndAny | memoEndLost
	case EndUnheard:
		if c.Memo&memoEndAny != 0 {
			c.Memo |= memoEndLost
		}
	case Over:
		if c.Memo&memoOpen != 0 {
			c.Memo &^= memoOpen
			x.open--
		}
	}
}

// failed takes a refusal of a set-up.
func (l *Loop) failed(x *session, cl *loopClient, c *Call, cause byte) {
	id := x.client
	if !stateful(cause) || c.Memo&memoRefused != 0 {
		return
	}
	c.Memo |= memoRefused
	l.count(id, l.outcome(x, c, OwnFault))
	if cause != wire.CauseMissing {
		return
	}
	switch {
	case c.Lane != Own:
		c.Memo |= memoMissing
		c.Refused = c.Office
		if v := l.verdict(cl); v.OwnSure && !cl.missing && c.Memo&memoTrial == 0 {
			l.witness(id, MissingShared)
		}
	case !x.shared:
		cl.missing = true
		l.count(id, OwnMissing)
	}
}

// outcome is the sign of an answer or refusal; of is OwnClean or OwnFault. 0: it is none. What own connections refuse of a
// session that has shared is no base any more; where it may be repeated, its trials tell the same.
func (l *Loop) outcome(x *session, c *Call, of Sign) Sign {
	switch c.Lane {
	case Own:
		switch {
		case x.shared && c.Free:
			return 0
		case x.shared && of == OwnClean && !l.often(x):
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

// often tells whether about half of a session's set-ups are shared, as the test of guarded calls takes for granted. Guards
// against passing it by what was clean while hardly anything could have been left behind.
func (l *Loop) often(x *session) bool {
	v := l.verdict(&l.clients[x.client])
	return v.Mode > BySession || v.Share >= part(mostShare)
}

// witness denies at once, here, and has it handed on with the round.
func (l *Loop) witness(id ClientID, s Sign) {
	cl := &l.clients[id]
	v := l.verdict(cl)
	if v.Epoch > cl.at {
		cl.at, cl.denied = v.Epoch, 0
	}
	if !l.doctor.witnessLoses {
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
		l.dirty = append(l.dirty, id)
	}
}

// Round implements Laner. Counts for which the ring has no room stay and go with a later round; witnesses go first.
func (l *Loop) Round(now int64) {
	l.now = now
	if len(l.dirty) == 0 || !l.urgent && now-l.flushed < flushEvery {
		return
	}
	l.flushed = now
	if l.urgent {
		l.urgent = false
		for i, n := 0, 0; i < len(l.dirty); i++ {
			if l.clients[l.dirty[i]].urgent {
				l.dirty[i], l.dirty[n] = l.dirty[n], l.dirty[i]
				n++
			}
		}
	}
	n := 0
	for ; n < len(l.dirty); n++ {
		cl := &l.clients[l.dirty[n]]
		l.verdict(cl)
		if !l.ring.push(&cl.batch) {
			l.held.Add(1)
			l.urgent = l.urgent || cl.urgent
			break
		}
		cl.counts, cl.dirty, cl.urgent = Counts{}, false, false
	}
	for _, id := range l.dirty[:n] {
		l.release(id)
	}
	l.dirty = l.dirty[:copy(l.dirty, l.dirty[n:])]
}

// repeats notes a set-up's words and tells whether one of them is a token that an office gave.
func (x *session) repeats(text []byte) bool {
	marked := false
	for from, to := 0, 0; next(text, &from, &to); {
		switch w := xxhash.Sum64(text[from:to]); {
		case has(&x.given, w):
			marked = true
		case !has(&x.sent, w):
			x.sent[x.wrote%words] = w
			x.wrote++
		}
	}
	return marked
}

// takes notes the words of an office's answer that the session has not sent itself.
func (x *session) takes(text []byte) {
	for from, to := 0, 0; next(text, &from, &to); {
		if w := xxhash.Sum64(text[from:to]); !has(&x.sent, w) && !has(&x.given, w) {
			x.given[x.gave%words] = w
			x.gave++
		}
	}
}

func has(in *[words]uint64, w uint64) bool {
	for _, v := range in {
		if v == w {
			return true
		}
	}
	return false
}

// next finds the next word of leastWord bytes or more.
func next(text []byte, from, to *int) bool {
	text = text[:min(len(text), mostText)]
	for i := *to; i < len(text); {
		for i < len(text) && !letters[text[i]] {
			i++
		}
		*from = i
		for i < len(text) && letters[text[i]] {
			i++
		}
		if *to = i; i-*from >= leastWord {
			return true
		}
	}
	return false
}

// letters are those that a token may be of.
var letters = func() (l [256]bool) {
	for c := range l {
		l[c] = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_'
	}
	return l
}()
