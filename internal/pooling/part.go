package pooling

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"pewterwheel/internal/fleet"
)

// Bounds and times of the part; times are microseconds.
const (
	// MaxClients bounds the clients that are known. Who is past it goes by session, unless one can be forgotten.
	MaxClients = 1024
	// MaxRecords bounds the records that are kept of other processes, over all clients.
	MaxRecords = 16384
	maxPeers   = 4096
	maxPending = 512 // denials that some process has not acknowledged

	tick       = 100_000
	tableFor   = 3_000_000     // a table holds for so long after it was put up
	retable    = 1_000_000     // it is put up again this soon, though nothing changed
	settle     = 10_000_000    // after a start: nobody is raised or tried before denials had time to come
	stood      = 2_000_000     // two ticks so far apart: the part stood still
	stoodFor   = 2_000_000     // then nobody is raised or tried for so long
	tellEvery  = 250_000       // between two of the process's part of its entry
	again      = 250_000       // between two repeats of a denial that was not acknowledged
	fastTries  = 40            // so often; then slowly
	againSlow  = 5_000_000     // between two later repeats
	sayEvery   = 200_000       // between two rounds of evidence
	fan        = 3             // processes that a round goes to
	bursts     = 3             // messages to each
	wholeEvery = 60_000_000    // after this a process is told everything anew: some of it may have been lost
	healAfter  = 500_000       // a digest that differs for so long is healed
	weighEvery = 500_000       // a client is weighed no oftener, unless it is denied
	halfLife   = 1_800_000_000 // after which clean outcomes count half
	undecided  = 4 * halfLife  // a test that has come to nothing begins anew
	rest       = 600_000_000   // after a denial in the first epoch; in each further one it is twice as long
	restMost   = 6             // so often at the most, and at once where only the highest mode is denied
	knownFor   = 600_000_000   // a process that was heard counts as one to be heard for so long
	cutGrace   = 10_000_000    // after which a process that is cut off goes by its own evidence alone
	idle       = 10_000_000    // a client that is not denied may be forgotten after this much without a sign
	complain   = 60_000_000    // between two complaints of a kind
	lessTrust  = 0.5           // for what was counted before this process first heard of it
	fewSigns   = 200           // set-ups below which their order says nothing
)

// doctor holds what tests switch off to see it missed.
type doctor struct {
	witnessLoses bool // a witness counts as one more fault
	noDecay      bool // what was clean once stays so
	cutRaises    bool // a process that is cut off goes on as ever
	adds         bool // joining adds instead of taking the greatest
	trusts       bool // what others counted before counts in full
	moves        bool // calls under way move at a fall
	anyClass     bool // classes that may not be repeated are tried, too
	alone        bool // the lower verdict of a version with further signs is not taken
}

// Config is what a Part is made from.
type Config struct {
	Self     string // this process's name in the fleet
	Seed     uint64 // draws whom evidence goes to first
	Loop     *Loop  // of the same process
	Complain func(error)
	// Unsafe bounds the probability that a client is raised to a mode that it does not bear; 0: 1 in 10,000.
	Unsafe float64
	// Watch: verdicts are reached and shown, and the table keeps everybody by session. A session code that only tells and never
	// asks makes no trials; what it tells of shared lanes counts all the same.
	Watch bool
	// Signs is the mask of the signs that are gone by; 0: all that this version knows. For tests of versions.
	Signs uint64
	// Fixed raises after so many clean outcomes, whatever the test says, and no test denies; 0: the test decides. It is the
	// baseline that measurements hold the test against, and nothing to be run.
	Fixed float64
}

// peer is another process.
type peer struct {
	name    string
	here    bool  // in the newest view
	suspect bool  // or about to leave: nothing is expected of it
	heard   int64 // when it was last in a view and not suspected; 0: never
	met     int64 // when it first was
	life    uint64
	signs   uint64
	digest  uint64
	differs int64 // since when its digest differs; 0: it does not
	part    []byte
	told    uint64 // evidence up to this change was sent to it
	whole   int64  // when it was last begun anew
	heal    int    // place in the clients up to which denials were sent
}

// client is what is known of a client, and what this process makes of it.
type client struct {
	key  uint64
	name string
	ev   Evidence
	// all and own are the outcomes as this process weighs them: decayed, and what it heard late at less trust. own is of its
	// own alone.
	all, own [MaxSigns]float64
	decayed  int64
	testing  int64  // since when sharing by message is tested
	tests    uint32 // of it that came to nothing in this epoch
	begun    int64  // when the epoch began here
	grown    int64  // when a sign last came
	deniedAt int64
	missed   bool   // an own connection has missed something, in whichever epoch
	changed  uint64 // the change in which this process's own record last changed
	stale    bool   // to be weighed
	weighed  int64
	ends     bool // ends have passed their test
	plain    bases
	marked   bases
	mode     Mode
	opinion  Mode
	since    int64
}

// pending is a denial that not everybody has acknowledged.
type pending struct {
	key   uint64
	epoch uint32
	modes Modes
	left  []*peer
	tries int
	due   int64
}

// Part is pooling's state machine in one process.
type Part struct {
	cfg     Config
	signs   uint64
	random  *rand.Rand
	life    uint64
	started int64
	ticked  int64
	wasCalm bool
	woke    int64 // until when nobody is raised because the part stood still
	next    int64
	clients map[uint64]*client
	order   []*client // as they came to be known
	peers   map[string]*peer
	names   []*peer // by name
	records int
	change  uint64
	digest  uint64
	pending []pending
	turn    int // the next of names that evidence goes to
	said    int64
	toldAt  int64
	toldAs  []byte
	put     int64 // when the table was last put up
	dirty   bool  // it differs from what was put up
	cutAt   int64 // since when this process is cut off; 0: it is not
	mourned map[string]int64
	doctor  doctor
	// counts for staff
	heard, sent, garbled, refused, full, witnesses, falls, raises uint64
}

var _ fleet.Module = (*Part)(nil)

// New returns a Part; the error is a *ConfigError.
func New(cfg Config) (*Part, error) {
	if cfg.Self == "" {
		return nil, &ConfigError{"the process has no name"}
	}
	if cfg.Loop == nil {
		return nil, &ConfigError{"there is no loop to decide for"}
	}
	if cfg.Unsafe == 0 {
		cfg.Unsafe = usualUnsafe
	}
	if !(cfg.Unsafe > 0 && cfg.Unsafe < 0.5) {
		return nil, &ConfigError{fmt.Sprintf("a part of %v unsafe sessions cannot be gone by", cfg.Unsafe)}
	}
	if cfg.Signs == 0 {
		cfg.Signs = Known
	}
	if cfg.Complain == nil {
		cfg.Complain = func(error) {}
	}
	return &Part{cfg: cfg, signs: cfg.Signs & Known, random: rand.New(rand.NewPCG(cfg.Seed, 0x73696773)), clients: map[uint64]*client{},
		peers: map[string]*peer{}, mourned: map[string]int64{}}, nil
}

// Kind implements fleet.Module.
func (p *Part) Kind() fleet.Kind { return fleet.Pooling }

// Start implements fleet.Module.
func (p *Part) Start(now int64, _ *fleet.Out) {
	p.started, p.ticked, p.next = now, now, now+tick
}

// Done implements fleet.Module; the part asks for no acts.
func (p *Part) Done(int64, fleet.Act, error, *fleet.Out) {}

// Next implements fleet.Module.
func (p *Part) Next() int64 { return p.next }

// complains hands an error on, one of a kind a minute.
func (p *Part) complains(now int64, kind string, err error) {
	if at, ok := p.mourned[kind]; !ok || now-at >= complain {
		p.mourned[kind] = now
		p.cfg.Complain(err)
	}
}

// View implements fleet.Module.
func (p *Part) View(now int64, v *fleet.View, out *fleet.Out) {
	for _, q := range p.names {
		q.here = false
	}
	for i := range v.Members {
		m := &v.Members[i]
		if m.Name == p.cfg.Self {
			if m.Incarnation > p.life {
				p.lives(m.Incarnation)
			}
			continue
		}
		q := p.peer(now, m.Name)
		if q.life != m.Incarnation { // a later life knows nothing of what was told to the last
			q.life, q.told, q.whole = m.Incarnation, 0, now
		}
		q.here, q.suspect = true, m.Suspect || m.State == fleet.Leaving
		if m.State == fleet.Leaving {
			q.heard = 0
		} else if !m.Suspect {
			q.heard = now
		}
		if body := m.Parts[fleet.Pooling]; len(body) > 0 && !slices.Equal(body, q.part) {
			q.part = body
			s, err := hear(m.Name, body)
			if err != nil {
				p.garbled++
				p.complains(now, "body", err)
				continue
			}
			q.signs, q.digest = s.Signs, s.Digest
			p.denied(now, s.Denials, out)
		}
	}
	p.names = slices.DeleteFunc(p.names, func(q *peer) bool {
		gone := !q.here && now-q.heard >= knownFor && now-q.met >= knownFor
		if gone {
			delete(p.peers, q.name)
		}
		return gone
	})
	p.isCut(now)
	p.step(now, out)
}

// lives takes this process's incarnation: what it counted before it knew it was counted in this life.
func (p *Part) lives(life uint64) {
	p.life = life
	for _, c := range p.order {
		if i, ok := c.ev.find(p.cfg.Self); ok {
			c.ev.Records[i].Life = life
			p.changes(c)
		}
	}
}

func (p *Part) peer(now int64, name string) *peer {
	q := p.peers[name]
	if q == nil {
		q = &peer{name: name, met: now}
		p.peers[name] = q
		i, _ := slices.BinarySearchFunc(p.names, name, func(a *peer, n string) int {
			if a.name < n {
				return -1
			}
			return 1
		})
		p.names = slices.Insert(p.names, i, q)
	}
	return q
}

// isCut tells whether most of those whom it should hear are not heard.
func (p *Part) isCut(now int64) bool {
	known, reached := 0, 0
	for _, q := range p.names {
		if q.heard != 0 && now-q.heard < knownFor {
			known++
			if q.here && !q.suspect {
				reached++
			}
		}
	}
	if 2*reached >= known || p.doctor.cutRaises {
		if p.cutAt != 0 {
			p.cutAt, p.woke = 0, max(p.woke, now+stoodFor) // what happened meanwhile has to come first
			p.staleAll()
		}
		return false
	}
	if p.cutAt == 0 {
		p.cutAt = now
		p.staleAll()
	}
	p.complains(now, "cut", &CutError{reached, known})
	return true
}

func (p *Part) staleAll() {
	for _, c := range p.order {
		c.stale = true
	}
}

// Tick implements fleet.Module.
func (p *Part) Tick(now int64, out *fleet.Out) {
	if gap := now - p.ticked; gap >= stood {
		// Guards against a process that was stopped and wakes: what it knew is old, and a witness may have come since.
		p.woke = now + stoodFor
		p.staleAll()
		p.complains(now, "still", &StillError{gap})
	}
	p.ticked, p.next = now, now+tick
	p.isCut(now)
	if c := p.calm(now); c != p.wasCalm { // whom this held back, or would have, is weighed anew
		p.wasCalm, p.dirty = c, true
		p.staleAll()
	}
	p.drain(now, out)
	p.sweep(now)
	p.step(now, out)
	p.repeat(now, out)
	p.say(now, out)
}

// step weighs what changed and puts the verdicts up.
func (p *Part) step(now int64, out *fleet.Out) {
	for _, c := range p.order {
		if c.stale && now-c.weighed >= weighEvery || now-c.weighed >= settle {
			p.weigh(now, c, out)
		}
	}
	if p.dirty || now-p.put >= retable {
		p.publish(now)
	}
	p.tell(now, out)
}

// calm tells whether somebody may be raised or tried now.
func (p *Part) calm(now int64) bool {
	return now-p.started >= settle && now >= p.woke && p.cutAt == 0
}

// publish puts up a table of all verdicts.
func (p *Part) publish(now int64) {
	p.dirty, p.put = false, now
	t := &Table{Until: now + tableFor, Unknown: Verdict{Epoch: 1, Mode: BySession}, verdicts: make(map[uint64]Verdict, len(p.order))}
	calm, woke := p.calm(now), now < p.woke
	if calm && len(p.order) < MaxClients {
		t.Unknown.Trial, t.Unknown.Share, t.Unknown.Marked = ByCall, part(leastShare), part(leastShare)
	}
	for _, c := range p.order {
		v := Verdict{Epoch: c.ev.Epoch, Mode: c.mode, Since: c.since, Ends: c.ends, OwnSure: !c.missed && c.all[OwnClean]+c.all[OwnMarkedClean] >= sureOwn}
		if woke || p.cfg.Watch {
			v.Mode = BySession // what came meanwhile may not have been heard yet
		}
		if next := c.mode + 1; calm && next <= c.ev.Denied.highest() {
			v.Trial = next
			plain, marked := share(p.tally(&c.all, next, false), 1, mostShare), share(p.tally(&c.all, next, true), seen(&c.all, Marked), mostMarks)
			v.Share, v.Marked = part(plain), part(marked)
		}
		t.verdicts[c.key] = v
	}
	p.cfg.Loop.table.Store(t)
}

// seen is how large a part of a client's calls bore a sign.
func seen(of *[MaxSigns]float64, s Sign) float64 {
	return min(1, of[s]/max(1, of[Serial]+of[Overlapped]))
}

// part is a share of 2^32.
func part(share float64) uint32 { return uint32(share * math.MaxUint32) }

// drain takes what the loop has counted.
func (p *Part) drain(now int64, out *fleet.Out) {
	for b := (batch{}); p.cfg.Loop.ring.pop(&b); {
		c := p.client(now, b.key, b.epoch)
		if c == nil {
			continue
		}
		if c.name == "" {
			c.name = b.name
		}
		var denies Modes
		by := Sign(0)
		for s := TokenBound; s < Refuted; s++ {
			if b.counts[s] > 0 && !p.doctor.witnessLoses {
				denies, by = denies|Signs[s-1].Denies, s
			}
		}
		if b.epoch < c.ev.Epoch {
			if denies != 0 { // it was seen after all, so the new epoch has it, too
				p.deny(now, c, denies, by, out)
			}
			continue
		}
		if b.epoch > c.ev.Epoch {
			p.takeDenial(now, c, &Evidence{Epoch: b.epoch}, out)
		}
		mine := Record{Process: p.cfg.Self, Life: p.life, Signs: p.signs, Opinion: c.opinion}
		if i, ok := c.ev.find(p.cfg.Self); ok {
			mine = c.ev.Records[i]
		}
		for i, n := range b.counts {
			mine.Counts[i] += min(n, math.MaxUint32-mine.Counts[i])
			c.own[i] += float64(n)
		}
		p.joins(now, c, &Evidence{Epoch: c.ev.Epoch, Records: []Record{mine}}, 1)
		p.changes(c)
		if denies != 0 {
			p.deny(now, c, denies, by, out)
		}
	}
}

// changes notes that this process's own record of a client is to be told.
func (p *Part) changes(c *client) {
	p.change++
	c.changed = p.change
}

// client returns a client, which is made room for if it is new; nil: there is none.
func (p *Part) client(now int64, key uint64, epoch uint32) *client {
	if c := p.clients[key]; c != nil {
		return c
	}
	if len(p.order) >= MaxClients {
		worst := -1
		for i, c := range p.order { // the least worth, by what was counted of it, and of those the oldest
			if c.ev.Denied != 0 || now-c.grown < idle {
				continue
			}
			if worst < 0 || c.worth() < p.order[worst].worth() || c.worth() == p.order[worst].worth() && c.grown < p.order[worst].grown {
				worst = i
			}
		}
		if worst < 0 {
			p.full++
			p.complains(now, "clients", &ClientsError{MaxClients})
			return nil
		}
		gone := p.order[worst]
		p.records -= p.others(gone)
		delete(p.clients, gone.key)
		p.order = slices.Delete(p.order, worst, worst+1)
	}
	c := &client{key: key, ev: Evidence{Epoch: max(epoch, 1)}, mode: BySession, opinion: BySession, begun: now, grown: now, decayed: now,
		since: now, stale: true}
	p.clients[key] = c
	p.order = append(p.order, c)
	return c
}

// worth is how much was counted of a client, in steps of two.
func (c *client) worth() int {
	return int(math.Log2(1 + c.all[OwnClean] + c.all[OwnMarkedClean] + c.all[CallClean] + c.all[MessageClean]))
}

// others counts the records of other processes.
func (p *Part) others(c *client) int {
	n := len(c.ev.Records)
	if _, ok := c.ev.find(p.cfg.Self); ok {
		n--
	}
	return n
}

// joins joins evidence into a client's and credits what is new in it. What was clean before this process first heard of the
// record counts by the trust given; faults always count whole.
func (p *Part) joins(now int64, c *client, e *Evidence, trust float64) {
	if e.Epoch < c.ev.Epoch {
		return
	}
	denied, was := c.ev.Denied, p.others(c)
	if e.Epoch > c.ev.Epoch {
		denied = 0
		c.ev.Records = nil
		c.renew(now)
	}
	before := make([]*Counts, len(e.Records)) // nil: this life of the process was not known
	for i := range e.Records {
		if j, ok := c.ev.find(e.Records[i].Process); ok && c.ev.Records[j].Life >= e.Records[i].Life {
			old := c.ev.Records[j].Counts
			before[i] = &old
		}
	}
	if !c.ev.join(e, p.doctor) {
		return
	}
	p.records += p.others(c) - was
	p.dirty = p.dirty || c.ev.Denied != denied
	for i := range e.Records {
		j, _ := c.ev.find(e.Records[i].Process)
		for s, n := range c.ev.Records[j].Counts {
			known := before[i] != nil
			if known {
				n -= before[i][s]
			}
			if n == 0 || p.signs>>s&1 == 0 {
				continue // a sign that is not known here is kept and joined, and not gone by
			}
			credit := float64(n)
			if !known && clean(Sign(s)) && !p.doctor.trusts {
				credit *= trust
			}
			c.all[s] += credit
			c.grown = now
		}
	}
	c.missed = c.missed || c.all[OwnMissing] > 0
	c.stale = true
}

// renew begins an epoch.
func (c *client) renew(now int64) {
	c.all, c.own, c.begun, c.decayed, c.stale = [MaxSigns]float64{}, [MaxSigns]float64{}, now, now, true
	c.testing, c.tests = now, 0
}

// clean tells whether a sign speaks for sharing.
func clean(s Sign) bool {
	switch s {
	case CallClean, CallMarkedClean, MessageClean, MessageMarkedClean, EndClean, AfterClean:
		return true
	}
	return false
}

// deny takes modes from a client within its epoch, and has everybody told.
func (p *Part) deny(now int64, c *client, modes Modes, by Sign, out *fleet.Out) {
	if modes = modes.whole(); modes&^c.ev.Denied == 0 {
		return
	}
	p.witnesses++
	p.takeDenial(now, c, &Evidence{Epoch: c.ev.Epoch, Denied: modes, By: by}, out)
	if len(p.pending) >= maxPending {
		p.pending = slices.Delete(p.pending, 0, 1) // its digest will tell that somebody lacks it
	}
	left := make([]*peer, 0, len(p.names))
	for _, q := range p.names {
		if q.here {
			left = append(left, q)
		}
	}
	p.pending = append(p.pending, pending{key: c.key, epoch: c.ev.Epoch, modes: c.ev.Denied, left: left, due: now})
	p.repeat(now, out)
}

// takeDenial joins a denial and puts the verdict down at once.
func (p *Part) takeDenial(now int64, c *client, e *Evidence, out *fleet.Out) {
	was, epoch := c.ev.Denied, c.ev.Epoch
	if was != 0 {
		p.digest ^= c.said().digest()
	}
	p.joins(now, c, e, lessTrust)
	if c.ev.Denied != 0 {
		p.digest ^= c.said().digest()
	}
	if c.ev.Denied == 0 || c.ev.Epoch == epoch && c.ev.Denied == was {
		return
	}
	c.deniedAt = now
	out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Pooling, What: "witness", Thing: c.thing(), Fence: uint64(c.ev.Epoch),
		N: int64(c.ev.Denied), Text: c.ev.By.String() + " denies " + c.ev.Denied.String()})
	p.weigh(now, c, out)
	p.publish(now)
}

// said is the client's denial as it is spoken.
func (c *client) said() saidDenial {
	return saidDenial{Key: c.key, Epoch: c.ev.Epoch, Modes: c.ev.Denied, By: c.ev.By}
}

// thing names a client in the history: by its key, which all processes share.
func (c *client) thing() string { return fmt.Sprintf("%016x", c.key) }

// sweep lets epochs end: those that are denied after their rest, those of a test that has come to nothing.
func (p *Part) sweep(now int64) {
	for _, c := range p.order {
		over := c.ev.Denied != 0 && now-c.deniedAt >= c.rests() ||
			c.ev.Denied == 0 && c.mode == BySession && now-c.begun >= undecided
		if !over {
			continue
		}
		if c.ev.Denied != 0 {
			p.digest ^= c.said().digest()
		}
		p.joins(now, c, &Evidence{Epoch: c.ev.Epoch + 1}, lessTrust)
		p.changes(c)
	}
}

// rests is how long a denial stands at least. It goes by the epoch, which all processes share.
func (c *client) rests() int64 {
	if c.ev.Denied.highest() > BySession {
		return rest << restMost
	}
	return rest << min(c.ev.Epoch-1, restMost)
}

// tally are the outcomes that the test of a mode goes by.
func (p *Part) tally(of *[MaxSigns]float64, m Mode, marked bool) Tally {
	by := Sign(0)
	if marked {
		by = CallMarkedClean - CallClean
	}
	if m == ByMessage {
		return Tally{of[MessageClean+by], of[MessageFault+by]}
	}
	// What was clean by message was so by call, too. A fault by message may be that of sharing by message alone.
	return Tally{of[CallClean+by] + of[MessageClean+by], of[CallFault+by]}
}

// test is one of those that a mode must pass.
type test struct {
	likely  float64 // that there is no harm, with the base taken low
	against float64 // the same with the base taken high
	Tally
	base, least float64
	counted     Sign // where those clean outcomes are counted that belong to this mode alone
}

func newTest(t Tally, b *bases, least float64, counted Sign) test {
	return test{likelihood(t, b.low, least), likelihood(t, b.high, least), t, b.low, least, counted}
}

// tests are those that a mode must pass for what has been seen of a client. A kind of message that never came needs none.
func (p *Part) tests(c *client, of *[MaxSigns]float64, m Mode, into []test) []test {
	plain, marked := CallClean, CallMarkedClean
	if m == ByMessage {
		plain, marked = MessageClean, MessageMarkedClean
	}
	c.plain.from(Tally{of[OwnClean], of[OwnFault]})
	t := append(into, newTest(p.tally(of, m, false), &c.plain, leastHarm, plain))
	if of[Marked] > 0 {
		c.marked.from(Tally{of[OwnMarkedClean], of[OwnMarkedFault]})
		t = append(t, newTest(p.tally(of, m, true), &c.marked, least(seen(of, Marked), mostMarked), marked))
	}
	if m == ByCall && of[Guarded] > 0 {
		// Of the sessions that are tried half of the set-ups are shared at the most, of a raised client nearly all: the harm
		// that is looked for shows half as often.
		t = append(t, newTest(Tally{of[AfterClean], of[AfterFault]}, &c.plain, least(seen(of, Guarded), mostMarked)/2, AfterClean))
	}
	if m == ByMessage && of[Ended] > 0 {
		t = append(t, newTest(Tally{of[EndClean], of[EndFault]}, &bases{low: floorBase, high: floorBase}, least(seen(of, Ended), mostEnd), EndClean))
	}
	return t
}

// needed is what each test of a mode must reach.
func (p *Part) needed(c *client, of *[MaxSigns]float64, m Mode) float64 {
	epoch := c.ev.Epoch
	if m == ByMessage {
		epoch += c.tests
	}
	n := bound(p.cfg.Unsafe, epoch)
	if of[Serial] >= fewSigns && of[Overlapped] < of[Serial]/fewSigns && of[Crossed] < of[Serial]/20 {
		n += demand
	}
	if m == ByMessage && of[Again] > 0 {
		n += demand
	}
	return n
}

// weigh decays what is known of a client, tests it, and changes its verdict.
func (p *Part) weigh(now int64, c *client, out *fleet.Out) {
	c.stale, c.weighed = false, now
	p.decay(now, c)
	of := &c.all
	if p.cutAt != 0 && now-p.cutAt >= cutGrace {
		of = &c.own
	}
	opinion := BySession
	var room [4]test
	for m := ByCall; m <= c.ev.Denied.highest(); m++ {
		need, pass := p.needed(c, of, m), true
		for _, t := range p.tests(c, of, m, room[:0]) {
			if t.against <= refuted && of == &c.all && p.cfg.Fixed == 0 {
				modes := DenyCall
				if m == ByMessage {
					modes = DenyMessage
				}
				p.deny(now, c, modes, Refuted, out) // it weighs anew
				return
			}
			if c.opinion >= m {
				c.clip(t, need+spare)
				pass = pass && t.likely >= keep*need
			} else if p.cfg.Fixed > 0 {
				pass = pass && t.Clean >= p.cfg.Fixed
			} else {
				pass = pass && t.likely >= need && p.calm(now)
			}
		}
		if !pass {
			break
		}
		opinion = m
	}
	c.ends = opinion == ByMessage && of[Ended] > 0
	if opinion != c.opinion {
		c.opinion = opinion
		p.thinks(now, c)
	}
	mode := p.lower(c, opinion)
	if mode > c.mode && !p.calm(now) {
		mode = c.mode
	}
	if mode != c.mode {
		if mode > c.mode {
			p.raises++
		} else {
			p.falls++
		}
		if mode == ByCall && c.mode < mode {
			c.testing = now
		}
		c.mode, c.since, p.dirty = mode, now, true
		out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Pooling, What: "verdict", Thing: c.thing(), Fence: uint64(c.ev.Epoch),
			N: int64(mode), Text: c.name + " " + mode.String()})
	}
	p.dirty = p.dirty || c.mode < c.ev.Denied.highest() // the share of trials
}

// thinks puts the changed opinion into this process's own record.
func (p *Part) thinks(now int64, c *client) {
	r := Record{Process: p.cfg.Self, Life: p.life, Signs: p.signs}
	if i, ok := c.ev.find(p.cfg.Self); ok {
		r = c.ev.Records[i]
		c.ev.Records[i].Opinion, c.ev.Records[i].Said = c.opinion, r.Said+1
	} else {
		r.Opinion = c.opinion
		c.ev.take(&r, p.doctor)
	}
	p.changes(c)
}

// lower is the verdict that this process takes: its own opinion, or that of processes that go by signs which it does not know.
func (p *Part) lower(c *client, own Mode) Mode {
	if p.doctor.alone {
		return own
	}
	for _, q := range p.names {
		if !q.here || q.signs&^p.signs == 0 {
			continue
		}
		said := BySession
		if i, ok := c.ev.find(q.name); ok {
			said = max(c.ev.Records[i].Opinion, BySession)
		}
		own = min(own, said)
	}
	return own
}

// decay lets what was seen fade once the client goes by it: from then on the test never ends. Before, it stays whole, for
// Wald's bound is that of a test that forgets nothing; a test that comes to nothing begins anew instead.
func (p *Part) decay(now int64, c *client) {
	dt := now - c.decayed
	c.decayed = now
	if dt <= 0 || p.doctor.noDecay || c.mode == BySession {
		return
	}
	if c.mode == ByMessage {
		c.testing = now
	} else if now-c.testing >= undecided {
		c.testing = now
		c.tests++
		for s := range c.all {
			if byMessage(Sign(s)) {
				c.all[s], c.own[s] = 0, 0
			}
		}
	}
	f := math.Exp2(-float64(dt) / halfLife)
	for s := range c.all {
		least := 0.
		switch Sign(s) {
		case OwnClean, OwnFault, OwnMarkedClean, OwnMarkedFault, AfterClean:
			continue // a raised client has few set-ups on own connections, or none, and must not fall for that
		case Marked, Ended, Again, Guarded:
			least = 1 // what was seen of the client's ways is not forgotten within the epoch
		}
		if byMessage(Sign(s)) && c.mode < ByMessage {
			continue
		}
		c.all[s] = max(min(c.all[s], least), c.all[s]*f)
		c.own[s] = max(min(c.own[s], least), c.own[s]*f)
	}
}

// byMessage tells whether a sign belongs to the test of sharing by message.
func byMessage(s Sign) bool { return s >= MessageClean && s <= EndFault }

// clip takes from what was clean so much that a test stands no higher than the bound given. Guards against good of long ago
// that outweighs the bad of now.
func (c *client) clip(t test, most float64) {
	if t.likely <= most {
		return
	}
	over := (t.likely - most) / math.Log((1-t.base)/(1-min(t.base+t.least, 0.999)))
	c.all[t.counted] -= min(over, c.all[t.counted])
}

// Message implements fleet.Module.
func (p *Part) Message(now int64, m fleet.Message, out *fleet.Out) {
	p.heard++
	s, err := hear(m.From, m.Body)
	if err == nil && p.peers[m.From] == nil && len(p.names) >= maxPeers {
		err = &BodyError{m.From, errPeers}
	}
	if err != nil {
		p.garbled++
		p.complains(now, "body", err)
		return
	}
	q := p.peer(now, m.From)
	q.signs = s.Signs
	p.denied(now, s.Denials, out)
	if len(s.Denials) > 0 {
		acks := make([]saidDenial, 0, len(s.Denials))
		for _, d := range s.Denials {
			if c := p.clients[d.Key]; c != nil {
				acks = append(acks, c.said())
			}
		}
		p.send(m.From, &speech{Acks: acks}, out)
	}
	for _, a := range s.Acks {
		p.acked(now, q, a, out)
	}
	for i := range s.Evidence {
		p.evidence(now, q, s, &s.Evidence[i], out)
	}
}

// denied takes denials that another process told.
func (p *Part) denied(now int64, denials []saidDenial, out *fleet.Out) {
	for _, d := range denials {
		if c := p.client(now, d.Key, d.Epoch); c != nil {
			p.hears(now, c, &Evidence{Epoch: d.Epoch, Denied: d.Modes, By: d.By}, out)
		}
	}
}

// hears joins what was heard of a client's epoch and denials. A denial of ours that has not had its rest goes over into a
// later epoch. Guards against an epoch that began where the witness had not been heard of.
func (p *Part) hears(now int64, c *client, e *Evidence, out *fleet.Out) {
	own, by := c.ev.Denied, c.ev.By
	carry := e.Epoch > c.ev.Epoch && own != 0 && now-c.deniedAt < c.rests()/2
	p.takeDenial(now, c, e, out)
	if carry {
		p.deny(now, c, own, by, out)
	}
}

// acked notes that a process has a denial, or a later epoch, in which it no longer stands.
func (p *Part) acked(now int64, q *peer, a saidDenial, out *fleet.Out) {
	for i := 0; i < len(p.pending); i++ {
		w := &p.pending[i]
		if w.key != a.Key || a.Epoch < w.epoch || a.Epoch == w.epoch && w.modes&^a.Modes != 0 {
			continue
		}
		w.left = slices.DeleteFunc(w.left, func(x *peer) bool { return x == q })
		if len(w.left) == 0 {
			p.pending = slices.Delete(p.pending, i, i+1)
			i--
		}
	}
	if c := p.clients[a.Key]; c != nil && a.Epoch > c.ev.Epoch {
		p.hears(now, c, &Evidence{Epoch: a.Epoch, Denied: a.Modes.whole(), By: a.By}, out)
	}
}

// evidence joins another process's own record.
func (p *Part) evidence(now int64, q *peer, s *speech, r *saidRecord, out *fleet.Out) {
	c := p.client(now, r.Key, r.Epoch)
	if c == nil {
		return
	}
	p.hears(now, c, &Evidence{Epoch: r.Epoch, Denied: r.Modes, By: r.By}, out)
	if r.Epoch != c.ev.Epoch {
		return
	}
	if _, found := c.ev.find(q.name); !found && p.records >= MaxRecords {
		p.refused++
		p.complains(now, "records", &RecordsError{MaxRecords})
		return
	}
	p.joins(now, c, &Evidence{Epoch: r.Epoch, Records: []Record{{Process: q.name, Life: s.Life, Opinion: r.Opinion, Said: r.Said,
		Signs: s.Signs, Counts: counts(r.Counts)}}}, lessTrust)
}

// send makes a message; what it is long for is the caller's to bound.
func (p *Part) send(to string, s *speech, out *fleet.Out) {
	s.Signs, s.Life = p.signs, p.life
	body := s.bytes()
	if len(body) > fleet.MaxBody {
		return
	}
	p.sent++
	out.Send = append(out.Send, fleet.Message{Kind: fleet.Pooling, From: p.cfg.Self, To: to, Body: body})
}

// repeat tells denials again to those that have not acknowledged them.
func (p *Part) repeat(now int64, out *fleet.Out) {
	var due []*pending
	for i := 0; i < len(p.pending); i++ {
		w := &p.pending[i]
		if c := p.clients[w.key]; c == nil || c.ev.Epoch > w.epoch {
			p.pending = slices.Delete(p.pending, i, i+1) // it no longer stands
			i--
			continue
		}
		w.left = slices.DeleteFunc(w.left, func(q *peer) bool { return !q.here })
		if now >= w.due {
			due = append(due, w)
		}
	}
	if len(due) == 0 {
		return
	}
	for _, q := range p.names {
		var s speech
		for _, w := range due {
			if len(s.Denials) < mostSaidDenials && slices.Contains(w.left, q) {
				s.Denials = append(s.Denials, p.clients[w.key].said())
			}
		}
		if len(s.Denials) > 0 {
			p.send(q.name, &s, out)
		}
	}
	for _, w := range due {
		w.tries++
		if w.due = now + again; w.tries > fastTries {
			w.due = now + againSlow
		}
	}
	p.pending = slices.DeleteFunc(p.pending, func(w pending) bool { return len(w.left) == 0 })
}

// say tells evidence to the next few processes, and denials to those whose digest differs.
func (p *Part) say(now int64, out *fleet.Out) {
	if now-p.said < sayEvery || len(p.names) == 0 {
		return
	}
	p.said = now
	for _, q := range p.names {
		if !q.here || q.suspect || q.part == nil || q.digest == p.digest {
			q.differs = 0
		} else if q.differs == 0 {
			q.differs = now
		}
	}
	for n, i := 0, 0; n < fan && i < len(p.names); i++ {
		q := p.names[p.turn%len(p.names)]
		p.turn++
		if !q.here || q.suspect {
			continue
		}
		n++
		if q.differs != 0 && now-q.differs >= healAfter {
			p.heals(q, out)
		}
		if now-q.whole >= wholeEvery {
			q.told, q.whole = 0, now
		}
		for range bursts {
			if !p.sayTo(q, out) {
				break
			}
		}
	}
}

// heals sends the next denials to a process that lacks some, or has others: what it has comes the same way.
func (p *Part) heals(q *peer, out *fleet.Out) {
	var s speech
	for range p.order {
		if q.heal >= len(p.order) {
			q.heal = 0
		}
		c := p.order[q.heal]
		q.heal++
		if c.ev.Denied != 0 {
			if s.Denials = append(s.Denials, c.said()); len(s.Denials) == mostSaidDenials {
				break
			}
		}
	}
	if len(s.Denials) > 0 {
		p.send(q.name, &s, out)
	}
}

// sayTo sends the own records that changed the longest ago of those that a process has not been told; false: none is left.
func (p *Part) sayTo(q *peer, out *fleet.Out) bool {
	var next []*client
	for _, c := range p.order {
		if c.changed > q.told {
			next = append(next, c)
		}
	}
	slices.SortFunc(next, func(a, b *client) int {
		if a.changed < b.changed {
			return -1
		}
		return 1
	})
	var s speech
	size := 64
	for _, c := range next {
		r := saidRecord{Key: c.key, Epoch: c.ev.Epoch, Modes: c.ev.Denied, By: c.ev.By, Opinion: c.opinion}
		if i, ok := c.ev.find(p.cfg.Self); ok {
			r.Said, r.Counts = c.ev.Records[i].Said, c.ev.Records[i].Counts.said()
		}
		size += 40 + 7*len(r.Counts)
		if len(s.Evidence) == mostSaidRecords || size > fleet.MaxBody {
			break
		}
		s.Evidence = append(s.Evidence, r)
		q.told = c.changed
	}
	if len(s.Evidence) == 0 {
		return false
	}
	p.send(q.name, &s, out)
	return len(s.Evidence) < len(next)
}

// tell puts this process's part of its entry up: which signs it knows, the digest of its denials, and the newest of them.
func (p *Part) tell(now int64, out *fleet.Out) {
	if p.life == 0 || p.toldAs != nil && now-p.toldAt < tellEvery {
		return
	}
	s := speech{Signs: p.signs, Life: p.life, Digest: p.digest}
	var denied []*client
	for _, c := range p.order {
		if c.ev.Denied != 0 {
			denied = append(denied, c)
		}
	}
	slices.SortStableFunc(denied, func(a, b *client) int { return int(min(max(b.deniedAt-a.deniedAt, -1), 1)) })
	for _, c := range denied[:min(len(denied), mostSaidDenials)] {
		s.Denials = append(s.Denials, c.said())
	}
	body := s.bytes()
	if slices.Equal(body, p.toldAs) {
		return
	}
	p.toldAt, p.toldAs = now, body
	out.Tell(fleet.Pooling, body)
}

// Figures implements fleet.Module.
func (p *Part) Figures(put func(name string, n uint64, gauge bool)) {
	var by [ByMessage + 1]uint64
	denied := uint64(0)
	for _, c := range p.order {
		by[c.mode]++
		if c.ev.Denied != 0 {
			denied++
		}
	}
	cut := uint64(0)
	if p.cutAt != 0 {
		cut = 1
	}
	for _, f := range []struct {
		name  string
		n     uint64
		gauge bool
	}{
		{"pooling.clients", uint64(len(p.order)), true}, {"pooling.by_session", by[BySession], true},
		{"pooling.by_call", by[ByCall], true}, {"pooling.by_message", by[ByMessage], true},
		{"pooling.denied", denied, true}, {"pooling.records", uint64(p.records), true}, {"pooling.cut", cut, true},
		{"pooling.untold", uint64(len(p.pending)), true},
		{"pooling.raises", p.raises, false}, {"pooling.falls", p.falls, false}, {"pooling.witnesses", p.witnesses, false},
		{"pooling.messages_in", p.heard, false}, {"pooling.messages_out", p.sent, false}, {"pooling.garbled", p.garbled, false},
		{"pooling.records_refused", p.refused, false}, {"pooling.clients_refused", p.full, false},
		{"pooling.ring_full", p.cfg.Loop.held.Load(), false}, {"pooling.signs_dropped", p.cfg.Loop.dropped.Load(), false},
	} {
		put(f.name, f.n, f.gauge)
	}
}
