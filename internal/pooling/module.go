package pooling

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"pewterwheel/internal/fleet"
)

// Bounds and times of the Module; times are microseconds.
const (
	// MaxClients bounds the clients that are tracked. Any further client goes by session unless another one can be
	// evicted.
	MaxClients = 1024
	// MaxRecords bounds the records of other processes over all clients.
	MaxRecords = 16384
	maxPeers   = 4096
	maxPending = 512 // denials that some process has not acknowledged

	tickInterval  = 100_000
	tableLifetime = 3_000_000 // how long a published table is valid
	tableRefresh  = 1_000_000 // a table is published again after this time even if nothing changed
	// After a start no client is raised or tried for this long, so that denials can arrive first.
	startDelay       = 10_000_000
	stallGap         = 2_000_000 // gap between two ticks from which the Module counts as stalled
	stallDelay       = 2_000_000 // after a stall no client is raised or tried for this long
	entryInterval    = 250_000   // least time between two versions of this process's part of the fleet entry
	denialRetry      = 250_000   // time between two retries of an unacknowledged denial
	fastRetries      = 40        // number of retries at that interval, before slowDenialRetry applies
	slowDenialRetry  = 5_000_000 // time between two later retries
	evidenceInterval = 200_000   // time between two rounds of sending evidence
	evidenceFanout   = 3         // processes per round
	messagesPerPeer  = 3         // messages per process and round
	// After this time a process is sent all evidence again, as messages may have been lost.
	fullResendInterval = 60_000_000
	digestRepairDelay  = 500_000       // how long a digest may differ before denials are sent to repair it
	evaluateInterval   = 500_000       // least time between two evaluations of a client, unless it is denied
	halfLife           = 1_800_000_000 // half-life of clean outcomes
	undecidedTimeout   = 4 * halfLife  // an undecided test starts anew after this time
	denialPeriod       = 600_000_000   // duration of a denial in the first epoch; doubled with each further epoch
	maxDenialDoublings = 6             // maximum number of doublings; used at once if only the highest mode is denied
	peerMemory         = 600_000_000   // how long a process that was reachable is counted as an expected one
	isolationGrace     = 10_000_000    // after this time an isolated process uses its own evidence alone
	clientIdleTime     = 10_000_000    // a client that is not denied may be evicted after this time without a sign
	reportInterval     = 60_000_000    // time between two reports of a kind
	lateEvidenceWeight = 0.5           // weight of clean outcomes counted before this process first received the record
	minOrderedSetUps   = 200           // number of set-ups below which their order is not evaluated
)

// defectSet selects safeguards to disable, so that tests can show that each one is needed.
type defectSet struct {
	witnessAsFault       bool // a witness only counts as one more fault
	noDecay              bool // clean outcomes do not decay
	raisesWhileIsolated  bool // an isolated process continues as usual
	joinAdds             bool // joining adds counts instead of taking their maximum
	fullTrust            bool // older counts of other processes get full weight
	callsMove            bool // calls in progress change connections when a verdict falls
	anyClass             bool // classes that may not be repeated are tried, too
	ignoresNewerVersions bool // the lower verdict of a version that knows more signs is ignored
}

// Config is the configuration of a Module.
type Config struct {
	Self        string // name of this process in the fleet
	Seed        uint64 // seed for the order of the processes that evidence is sent to
	Loop        *Loop  // the loop of the same process
	ReportError func(error)
	// MaxUnsafeRate bounds the probability that a client is raised to a mode that is not safe for it; 0: 1 in 10,000.
	MaxUnsafeRate float64
	// ObserveOnly computes and reports verdicts, but the table keeps every client by session. Session code that only
	// observes and never calls ConnectionSelector.Select makes no trials; what it observes on shared connections still
	// counts.
	ObserveOnly bool
	// Signs is the mask of the signs that are evaluated; 0: all that this version knows. For tests of mixed versions.
	Signs uint64
	// FixedThreshold raises a client after this many clean outcomes regardless of the test, and no test denies; 0: the
	// test decides. It is a baseline for measurements only and not for production.
	FixedThreshold float64
}

// peer is another process of the fleet.
type peer struct {
	name         string
	present      bool  // in the latest view
	unavailable  bool  // suspected or leaving: no messages are expected from it
	lastSeen     int64 // when it was last in a view and not suspected; 0: never, or it is leaving
	firstSeen    int64 // when it was first known
	incarnation  uint64
	signs        uint64
	digest       uint64
	differsSince int64 // since when its digest differs; 0: it does not
	lastPart     []byte
	sentChange   uint64 // evidence up to this value of changeCount was sent to it
	resentAt     int64  // when sending all evidence last started over
	repairIndex  int    // index in the client list up to which denials were sent
}

// client holds what is known of a client and this process's conclusions.
type client struct {
	key      uint64
	name     string
	evidence Evidence
	// weighted and weightedOwn are the counts as this process weights them: decayed, and with a lower weight for
	// records received late. weightedOwn only contains its own observations.
	weighted, weightedOwn [MaxSigns]float64
	decayedAt             int64
	testingSince          int64  // since when sharing by message is tested
	undecidedTests        uint32 // number of undecided tests of sharing by message in this epoch
	epochBegan            int64  // when the epoch began in this process
	lastSignAt            int64  // when a sign was last counted
	deniedAt              int64
	ownMissing            bool   // something was missing on an own connection, in any epoch
	lastChange            uint64 // value of changeCount at the last change of this process's own record
	stale                 bool   // needs to be evaluated
	evaluatedAt           int64
	endsPassed            bool // the test of ends has passed
	plainBase             baseRates
	markedBase            baseRates
	mode                  Mode
	opinion               Mode
	modeSince             int64
}

// pendingDenial is a denial that not every process has acknowledged.
type pendingDenial struct {
	key            uint64
	epoch          uint32
	modes          Modes
	unacknowledged []*peer
	retries        int
	dueAt          int64
}

// Module is the state machine of pooling in one process.
type Module struct {
	cfg            Config
	knownSigns     uint64
	random         *rand.Rand
	incarnation    uint64
	startedAt      int64
	tickedAt       int64
	couldRaise     bool
	pausedUntil    int64 // until when no client is raised, after a stall or an isolation
	nextTick       int64
	clients        map[uint64]*client
	clientList     []*client // in the order in which they became known
	peers          map[string]*peer
	peerList       []*peer // sorted by name
	remoteRecords  int
	changeCount    uint64
	digest         uint64
	pending        []pendingDenial
	nextPeer       int // index in peerList of the next process that evidence is sent to
	evidenceSentAt int64
	entrySentAt    int64
	entryBody      []byte
	publishedAt    int64 // when the table was last published
	tableChanged   bool  // the verdicts differ from the published table
	isolatedSince  int64 // since when this process is isolated; 0: it is not
	reportedAt     map[string]int64
	defects        defectSet
	// counters for Figures
	messagesIn, messagesOut, unreadable, refusedRecords, refusedClients, witnesses, falls, raises uint64
}

var _ fleet.Module = (*Module)(nil)

// New returns a Module. The error is a *ConfigError.
func New(cfg Config) (*Module, error) {
	if cfg.Self == "" {
		return nil, &ConfigError{"process name is empty"}
	}
	if cfg.Loop == nil {
		return nil, &ConfigError{"no session loop is given"}
	}
	if cfg.MaxUnsafeRate == 0 {
		cfg.MaxUnsafeRate = defaultUnsafe
	}
	if !(cfg.MaxUnsafeRate > 0 && cfg.MaxUnsafeRate < 0.5) {
		return nil, &ConfigError{fmt.Sprintf("probability of unsafe sessions is %v, but must be above 0 and below 0.5",
			cfg.MaxUnsafeRate)}
	}
	if cfg.Signs == 0 {
		cfg.Signs = KnownSigns
	}
	if cfg.ReportError == nil {
		cfg.ReportError = func(error) {}
	}
	return &Module{cfg: cfg, knownSigns: cfg.Signs & KnownSigns, random: rand.New(rand.NewPCG(cfg.Seed, 0x73696773)),
		clients: map[uint64]*client{},
		peers:   map[string]*peer{}, reportedAt: map[string]int64{}}, nil
}

// Kind implements fleet.Module.
func (p *Module) Kind() fleet.Kind { return fleet.Pooling }

// Start implements fleet.Module.
func (p *Module) Start(now int64, _ *fleet.Out) {
	p.startedAt, p.tickedAt, p.nextTick = now, now, now+tickInterval
}

// Done implements fleet.Module. The Module requests no acts.
func (p *Module) Done(int64, fleet.Act, error, *fleet.Out) {}

// Next implements fleet.Module.
func (p *Module) Next() int64 { return p.nextTick }

// report passes an error to Config.ReportError, at most once a minute for each kind.
func (p *Module) report(now int64, kind string, err error) {
	if at, ok := p.reportedAt[kind]; !ok || now-at >= reportInterval {
		p.reportedAt[kind] = now
		p.cfg.ReportError(err)
	}
}

// View implements fleet.Module.
func (p *Module) View(now int64, v *fleet.View, out *fleet.Out) {
	for _, q := range p.peerList {
		q.present = false
	}
	for i := range v.Members {
		m := &v.Members[i]
		if m.Name == p.cfg.Self {
			if m.Incarnation > p.incarnation {
				p.setIncarnation(m.Incarnation)
			}
			continue
		}
		q := p.peer(now, m.Name)
		if q.incarnation != m.Incarnation { // a new incarnation has lost everything that was sent to the previous one
			q.incarnation, q.sentChange, q.resentAt = m.Incarnation, 0, now
		}
		q.present, q.unavailable = true, m.Suspect || m.State == fleet.Leaving
		if m.State == fleet.Leaving {
			q.lastSeen = 0
		} else if !m.Suspect {
			q.lastSeen = now
		}
		if body := m.Parts[fleet.Pooling]; len(body) > 0 && !slices.Equal(body, q.lastPart) {
			q.lastPart = body
			s, err := decodePayload(m.Name, body)
			if err != nil {
				p.unreadable++
				p.report(now, "body", err)
				continue
			}
			q.signs, q.digest = s.Signs, s.Digest
			p.joinDenials(now, s.Denials, out)
		}
	}
	p.peerList = slices.DeleteFunc(p.peerList, func(q *peer) bool {
		forget := !q.present && now-q.lastSeen >= peerMemory && now-q.firstSeen >= peerMemory
		if forget {
			delete(p.peers, q.name)
		}
		return forget
	})
	p.updateIsolation(now)
	p.evaluateStale(now, out)
}

// setIncarnation sets this process's incarnation, also in the records that were counted before it was known.
func (p *Module) setIncarnation(life uint64) {
	p.incarnation = life
	for _, c := range p.clientList {
		if i, ok := c.evidence.find(p.cfg.Self); ok {
			c.evidence.Records[i].Incarnation = life
			p.markChanged(c)
		}
	}
}

func (p *Module) peer(now int64, name string) *peer {
	q := p.peers[name]
	if q == nil {
		q = &peer{name: name, firstSeen: now}
		p.peers[name] = q
		i, _ := slices.BinarySearchFunc(p.peerList, name, func(a *peer, n string) int {
			if a.name < n {
				return -1
			}
			return 1
		})
		p.peerList = slices.Insert(p.peerList, i, q)
	}
	return q
}

// updateIsolation reports whether more than half of the expected processes are unreachable, and updates the state of
// isolation.
func (p *Module) updateIsolation(now int64) bool {
	known, reached := 0, 0
	for _, q := range p.peerList {
		if q.lastSeen != 0 && now-q.lastSeen < peerMemory {
			known++
			if q.present && !q.unavailable {
				reached++
			}
		}
	}
	if 2*reached >= known || p.defects.raisesWhileIsolated {
		if p.isolatedSince != 0 {
			// denials from the time of the isolation must arrive first
			p.isolatedSince, p.pausedUntil = 0, max(p.pausedUntil, now+stallDelay)
			p.markAllStale()
		}
		return false
	}
	if p.isolatedSince == 0 {
		p.isolatedSince = now
		p.markAllStale()
	}
	p.report(now, "cut", &IsolatedError{reached, known})
	return true
}

func (p *Module) markAllStale() {
	for _, c := range p.clientList {
		c.stale = true
	}
}

// Tick implements fleet.Module.
func (p *Module) Tick(now int64, out *fleet.Out) {
	if gap := now - p.tickedAt; gap >= stallGap {
		// The process was stopped and has resumed: its state is old, and a witness may have been reported meanwhile.
		p.pausedUntil = now + stallDelay
		p.markAllStale()
		p.report(now, "still", &StallError{gap})
	}
	p.tickedAt, p.nextTick = now, now+tickInterval
	p.updateIsolation(now)
	if c := p.mayRaise(now); c != p.couldRaise { // evaluate every client again, as raising was or is now suspended
		p.couldRaise, p.tableChanged = c, true
		p.markAllStale()
	}
	p.drain(now, out)
	p.endEpochs(now)
	p.evaluateStale(now, out)
	p.resendDenials(now, out)
	p.sendEvidence(now, out)
}

// evaluateStale evaluates the clients that changed and publishes the verdicts.
func (p *Module) evaluateStale(now int64, out *fleet.Out) {
	for _, c := range p.clientList {
		if c.stale && now-c.evaluatedAt >= evaluateInterval || now-c.evaluatedAt >= startDelay {
			p.evaluate(now, c, out)
		}
	}
	if p.tableChanged || now-p.publishedAt >= tableRefresh {
		p.publish(now)
	}
	p.publishEntry(now, out)
}

// mayRaise reports whether clients may be raised or tried now.
func (p *Module) mayRaise(now int64) bool {
	return now-p.startedAt >= startDelay && now >= p.pausedUntil && p.isolatedSince == 0
}

// publish publishes a table of all verdicts.
func (p *Module) publish(now int64) {
	p.tableChanged, p.publishedAt = false, now
	table := &Table{ValidUntil: now + tableLifetime, Default: Verdict{Epoch: 1, Mode: BySession},
		verdicts: make(map[uint64]Verdict, len(p.clientList))}
	mayRaise, paused := p.mayRaise(now), now < p.pausedUntil
	if mayRaise && len(p.clientList) < MaxClients {
		table.Default.Trial, table.Default.Share, table.Default.Marked =
			ByCall, fraction32(minTrialShare), fraction32(minTrialShare)
	}
	for _, c := range p.clientList {
		v := Verdict{Epoch: c.evidence.Epoch, Mode: c.mode, Since: c.modeSince, Ends: c.endsPassed,
			OwnNeverMissed: !c.ownMissing && c.weighted[OwnClean]+c.weighted[OwnMarkedClean] >= minSureOwnSetUps}
		if paused || p.cfg.ObserveOnly {
			v.Mode = BySession // denials from the time of the stall may not have arrived yet
		}
		if next := c.mode + 1; mayRaise && next <= c.evidence.Denied.highestAllowed() {
			v.Trial = next
			plain, marked := trialShare(p.tally(&c.weighted, next, false), 1, maxTrialShare),
				trialShare(p.tally(&c.weighted, next, true), signShare(&c.weighted, Marked), maxMarkedTrialShare)
			v.Share, v.Marked = fraction32(plain), fraction32(marked)
		}
		table.verdicts[c.key] = v
	}
	p.cfg.Loop.table.Store(table)
}

// signShare returns the fraction of a client's calls that showed a sign.
func signShare(counts *[MaxSigns]float64, sign Sign) float64 {
	return min(1, counts[sign]/max(1, counts[Serial]+counts[Overlapped]))
}

// fraction32 returns a share in units of 2^-32.
func fraction32(share float64) uint32 { return uint32(share * math.MaxUint32) }

// drain takes the counts from the loop's ring.
func (p *Module) drain(now int64, out *fleet.Out) {
	for counted := (batch{}); p.cfg.Loop.ring.pop(&counted); {
		c := p.client(now, counted.key, counted.epoch)
		if c == nil {
			continue
		}
		if c.name == "" {
			c.name = counted.name
		}
		var denies Modes
		by := Sign(0)
		for s := TokenBound; s < Refuted; s++ {
			if counted.counts[s] > 0 && !p.defects.witnessAsFault {
				denies, by = denies|Signs[s-1].Denies, s
			}
		}
		if counted.epoch < c.evidence.Epoch {
			if denies != 0 { // the witness was seen nevertheless, so it denies in the present epoch, too
				p.deny(now, c, denies, by, out)
			}
			continue
		}
		if counted.epoch > c.evidence.Epoch {
			p.joinDenial(now, c, &Evidence{Epoch: counted.epoch}, out)
		}
		own := Record{Process: p.cfg.Self, Incarnation: p.incarnation, Signs: p.knownSigns, Opinion: c.opinion}
		if i, ok := c.evidence.find(p.cfg.Self); ok {
			own = c.evidence.Records[i]
		}
		for i, n := range counted.counts {
			own.Counts[i] += min(n, math.MaxUint32-own.Counts[i])
			c.weightedOwn[i] += float64(n)
		}
		p.joinEvidence(now, c, &Evidence{Epoch: c.evidence.Epoch, Records: []Record{own}}, 1)
		p.markChanged(c)
		if denies != 0 {
			p.deny(now, c, denies, by, out)
		}
	}
}

// markChanged marks this process's own record of a client to be sent.
func (p *Module) markChanged(c *client) {
	p.changeCount++
	c.lastChange = p.changeCount
}

// client returns the client with the given key. A new one is added, if necessary in place of an evicted one; nil:
// there is no room.
func (p *Module) client(now int64, key uint64, epoch uint32) *client {
	if c := p.clients[key]; c != nil {
		return c
	}
	if len(p.clientList) >= MaxClients {
		worst := -1
		// Evict the client with the least evidence, and among equals the one without signs for longest.
		for i, c := range p.clientList {
			if c.evidence.Denied != 0 || now-c.lastSignAt < clientIdleTime {
				continue
			}
			if worst < 0 || c.evidenceSteps() < p.clientList[worst].evidenceSteps() ||
				c.evidenceSteps() == p.clientList[worst].evidenceSteps() &&
					c.lastSignAt < p.clientList[worst].lastSignAt {
				worst = i
			}
		}
		if worst < 0 {
			p.refusedClients++
			p.report(now, "clients", &ClientLimitError{MaxClients})
			return nil
		}
		evicted := p.clientList[worst]
		p.remoteRecords -= p.remoteRecordCount(evicted)
		delete(p.clients, evicted.key)
		p.clientList = slices.Delete(p.clientList, worst, worst+1)
	}
	c := &client{key: key, evidence: Evidence{Epoch: max(epoch, 1)}, mode: BySession, opinion: BySession,
		epochBegan: now, lastSignAt: now, decayedAt: now, modeSince: now, stale: true}
	p.clients[key] = c
	p.clientList = append(p.clientList, c)
	return c
}

// evidenceSteps returns the amount of clean evidence of a client on a logarithmic scale of base 2.
func (c *client) evidenceSteps() int {
	return int(math.Log2(1 + c.weighted[OwnClean] + c.weighted[OwnMarkedClean] + c.weighted[CallClean] +
		c.weighted[MessageClean]))
}

// remoteRecordCount returns the number of a client's records of other processes.
func (p *Module) remoteRecordCount(c *client) int {
	n := len(c.evidence.Records)
	if _, ok := c.evidence.find(p.cfg.Self); ok {
		n--
	}
	return n
}

// joinEvidence joins evidence into a client's and adds what is new to the weighted counts. Clean outcomes of a record
// that this process did not know before are multiplied by trust; faults always count in full.
func (p *Module) joinEvidence(now int64, c *client, other *Evidence, weight float64) {
	if other.Epoch < c.evidence.Epoch {
		return
	}
	denied, recordsBefore := c.evidence.Denied, p.remoteRecordCount(c)
	if other.Epoch > c.evidence.Epoch {
		denied = 0
		c.evidence.Records = nil
		c.beginEpoch(now)
	}
	before := make([]*Counts, len(other.Records)) // nil: this incarnation of the process was not known
	for i := range other.Records {
		if j, ok := c.evidence.find(other.Records[i].Process); ok &&
			c.evidence.Records[j].Incarnation >= other.Records[i].Incarnation {
			old := c.evidence.Records[j].Counts
			before[i] = &old
		}
	}
	if !c.evidence.join(other, p.defects) {
		return
	}
	p.remoteRecords += p.remoteRecordCount(c) - recordsBefore
	p.tableChanged = p.tableChanged || c.evidence.Denied != denied
	for i := range other.Records {
		j, _ := c.evidence.find(other.Records[i].Process)
		for s, n := range c.evidence.Records[j].Counts {
			known := before[i] != nil
			if known {
				n -= before[i][s]
			}
			if n == 0 || p.knownSigns>>s&1 == 0 {
				continue // unknown signs are kept and joined, but not evaluated
			}
			credit := float64(n)
			if !known && isClean(Sign(s)) && !p.defects.fullTrust {
				credit *= weight
			}
			c.weighted[s] += credit
			c.lastSignAt = now
		}
	}
	c.ownMissing = c.ownMissing || c.weighted[OwnMissing] > 0
	c.stale = true
}

// beginEpoch resets the state that belongs to one epoch.
func (c *client) beginEpoch(now int64) {
	c.weighted, c.weightedOwn, c.epochBegan, c.decayedAt, c.stale =
		[MaxSigns]float64{}, [MaxSigns]float64{}, now, now, true
	c.testingSince, c.undecidedTests = now, 0
}

// isClean reports whether a sign speaks in favour of sharing.
func isClean(s Sign) bool {
	switch s {
	case CallClean, CallMarkedClean, MessageClean, MessageMarkedClean, EndClean, AfterClean:
		return true
	}
	return false
}

// deny denies modes to a client within its epoch and sends the denial to all processes.
func (p *Module) deny(now int64, c *client, modes Modes, by Sign, out *fleet.Out) {
	if modes = modes.withHigherModes(); modes&^c.evidence.Denied == 0 {
		return
	}
	p.witnesses++
	p.joinDenial(now, c, &Evidence{Epoch: c.evidence.Epoch, Denied: modes, DeniedBy: by}, out)
	if len(p.pending) >= maxPending {
		p.pending = slices.Delete(p.pending, 0, 1) // the digest exchange repairs it where it is missing
	}
	unacknowledged := make([]*peer, 0, len(p.peerList))
	for _, q := range p.peerList {
		if q.present {
			unacknowledged = append(unacknowledged, q)
		}
	}
	p.pending = append(p.pending, pendingDenial{key: c.key, epoch: c.evidence.Epoch, modes: c.evidence.Denied,
		unacknowledged: unacknowledged, dueAt: now})
	p.resendDenials(now, out)
}

// joinDenial joins a denial, lowers the verdict and publishes it at once.
func (p *Module) joinDenial(now int64, c *client, other *Evidence, out *fleet.Out) {
	denied, epoch := c.evidence.Denied, c.evidence.Epoch
	if denied != 0 {
		p.digest ^= c.denial().digest()
	}
	p.joinEvidence(now, c, other, lateEvidenceWeight)
	if c.evidence.Denied != 0 {
		p.digest ^= c.denial().digest()
	}
	if c.evidence.Denied == 0 || c.evidence.Epoch == epoch && c.evidence.Denied == denied {
		return
	}
	c.deniedAt = now
	out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Pooling, What: "witness", Thing: c.historyKey(),
		Fence: uint64(c.evidence.Epoch),
		N:     int64(c.evidence.Denied), Text: c.evidence.DeniedBy.String() + " denies " + c.evidence.Denied.String()})
	p.evaluate(now, c, out)
	p.publish(now)
}

// denial returns the record of the client's denial for a payload.
func (c *client) denial() denialRecord {
	return denialRecord{Key: c.key, Epoch: c.evidence.Epoch, Modes: c.evidence.Denied, DeniedBy: c.evidence.DeniedBy}
}

// historyKey returns the name of a client in the history: its key, which is the same in all processes.
func (c *client) historyKey() string { return fmt.Sprintf("%016x", c.key) }

// endEpochs starts a new epoch for clients whose denial has expired and for those whose test stayed undecided.
func (p *Module) endEpochs(now int64) {
	for _, c := range p.clientList {
		expired := c.evidence.Denied != 0 && now-c.deniedAt >= c.denialTime() ||
			c.evidence.Denied == 0 && c.mode == BySession && now-c.epochBegan >= undecidedTimeout
		if !expired {
			continue
		}
		if c.evidence.Denied != 0 {
			p.digest ^= c.denial().digest()
		}
		p.joinEvidence(now, c, &Evidence{Epoch: c.evidence.Epoch + 1}, lateEvidenceWeight)
		p.markChanged(c)
	}
}

// denialTime returns the least duration of a denial. It depends on the epoch, which all processes share.
func (c *client) denialTime() int64 {
	if c.evidence.Denied.highestAllowed() > BySession {
		return denialPeriod << maxDenialDoublings
	}
	return denialPeriod << min(c.evidence.Epoch-1, maxDenialDoublings)
}

// tally returns the outcomes that the test of a mode is computed from.
func (p *Module) tally(counts *[MaxSigns]float64, mode Mode, marked bool) Tally {
	offset := Sign(0)
	if marked {
		offset = CallMarkedClean - CallClean
	}
	if mode == ByMessage {
		return Tally{counts[MessageClean+offset], counts[MessageFault+offset]}
	}
	// A clean outcome by message is also one by call. A fault by message may be due to sharing by message alone.
	return Tally{counts[CallClean+offset] + counts[MessageClean+offset], counts[CallFault+offset]}
}

// test is one of the tests that a mode must pass.
type test struct {
	lowBaseRatio  float64 // log likelihood ratio for no harm, at the low base rate
	highBaseRatio float64 // the same at the high base rate
	Tally
	base, least float64
	countedIn   Sign // sign under which the clean outcomes of this mode alone are counted
}

func newTest(tally Tally, base *baseRates, least float64, countedIn Sign) test {
	return test{logLikelihoodRatio(tally, base.low, least), logLikelihoodRatio(tally, base.high, least),
		tally, base.low, least, countedIn}
}

// tests appends the tests that a mode must pass, given what was seen of a client. A kind of message that never
// occurred needs no test.
func (p *Module) tests(c *client, counts *[MaxSigns]float64, mode Mode, into []test) []test {
	plain, marked := CallClean, CallMarkedClean
	if mode == ByMessage {
		plain, marked = MessageClean, MessageMarkedClean
	}
	c.plainBase.update(Tally{counts[OwnClean], counts[OwnFault]})
	tests := append(into, newTest(p.tally(counts, mode, false), &c.plainBase, minHarm, plain))
	if counts[Marked] > 0 {
		c.markedBase.update(Tally{counts[OwnMarkedClean], counts[OwnMarkedFault]})
		tests = append(tests, newTest(p.tally(counts, mode, true), &c.markedBase,
			minTestHarm(signShare(counts, Marked), maxMarkedHarm), marked))
	}
	if mode == ByCall && counts[Guarded] > 0 {
		// During trials at most half of the set-ups of a session are shared; after a raise nearly all are. The harm
		// to be detected therefore shows half as often.
		tests = append(tests, newTest(Tally{counts[AfterClean], counts[AfterFault]}, &c.plainBase,
			minTestHarm(signShare(counts, Guarded), maxMarkedHarm)/2, AfterClean))
	}
	if mode == ByMessage && counts[Ended] > 0 {
		tests = append(tests, newTest(Tally{counts[EndClean], counts[EndFault]},
			&baseRates{low: minBaseRate, high: minBaseRate}, minTestHarm(signShare(counts, Ended), maxEndHarm),
			EndClean))
	}
	return tests
}

// requiredRatio returns the log likelihood ratio that each test of a mode must reach.
func (p *Module) requiredRatio(c *client, counts *[MaxSigns]float64, mode Mode) float64 {
	epoch := c.evidence.Epoch
	if mode == ByMessage {
		epoch += c.undecidedTests
	}
	required := requiredLogRatio(p.cfg.MaxUnsafeRate, epoch)
	if counts[Serial] >= minOrderedSetUps && counts[Overlapped] < counts[Serial]/minOrderedSetUps &&
		counts[Crossed] < counts[Serial]/20 {
		required += extraDemand
	}
	if mode == ByMessage && counts[Again] > 0 {
		required += extraDemand
	}
	return required
}

// evaluate decays the evidence of a client, runs its tests and changes its verdict.
func (p *Module) evaluate(now int64, c *client, out *fleet.Out) {
	c.stale, c.evaluatedAt = false, now
	p.decay(now, c)
	counts := &c.weighted
	if p.isolatedSince != 0 && now-p.isolatedSince >= isolationGrace {
		counts = &c.weightedOwn
	}
	opinion := BySession
	var room [4]test
	for m := ByCall; m <= c.evidence.Denied.highestAllowed(); m++ {
		need, pass := p.requiredRatio(c, counts, m), true
		for _, t := range p.tests(c, counts, m, room[:0]) {
			if t.highBaseRatio <= refutedLogRatio && counts == &c.weighted && p.cfg.FixedThreshold == 0 {
				modes := DenyCall
				if m == ByMessage {
					modes = DenyMessage
				}
				p.deny(now, c, modes, Refuted, out) // evaluates the client again
				return
			}
			if c.opinion >= m {
				c.clip(t, need+headroom)
				pass = pass && t.lowBaseRatio >= keepFraction*need
			} else if p.cfg.FixedThreshold > 0 {
				pass = pass && t.Clean >= p.cfg.FixedThreshold
			} else {
				pass = pass && t.lowBaseRatio >= need && p.mayRaise(now)
			}
		}
		if !pass {
			break
		}
		opinion = m
	}
	c.endsPassed = opinion == ByMessage && counts[Ended] > 0
	if opinion != c.opinion {
		c.opinion = opinion
		p.recordOpinion(now, c)
	}
	mode := p.limitByNewerVersions(c, opinion)
	if mode > c.mode && !p.mayRaise(now) {
		mode = c.mode
	}
	if mode != c.mode {
		if mode > c.mode {
			p.raises++
		} else {
			p.falls++
		}
		if mode == ByCall && c.mode < mode {
			c.testingSince = now
		}
		c.mode, c.modeSince, p.tableChanged = mode, now, true
		out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Pooling, What: "verdict", Thing: c.historyKey(),
			Fence: uint64(c.evidence.Epoch),
			N:     int64(mode), Text: c.name + " " + mode.String()})
	}
	// the share of trials may have changed
	p.tableChanged = p.tableChanged || c.mode < c.evidence.Denied.highestAllowed()
}

// recordOpinion writes the changed opinion to this process's own record.
func (p *Module) recordOpinion(now int64, c *client) {
	r := Record{Process: p.cfg.Self, Incarnation: p.incarnation, Signs: p.knownSigns}
	if i, ok := c.evidence.find(p.cfg.Self); ok {
		r = c.evidence.Records[i]
		c.evidence.Records[i].Opinion, c.evidence.Records[i].OpinionVersion = c.opinion, r.OpinionVersion+1
	} else {
		r.Opinion = c.opinion
		c.evidence.joinRecord(&r, p.defects)
	}
	p.markChanged(c)
}

// limitByNewerVersions returns the lowest of this process's opinion and those of processes that evaluate signs which
// it does not know.
func (p *Module) limitByNewerVersions(c *client, own Mode) Mode {
	if p.defects.ignoresNewerVersions {
		return own
	}
	for _, q := range p.peerList {
		if !q.present || q.signs&^p.knownSigns == 0 {
			continue
		}
		opinion := BySession
		if i, ok := c.evidence.find(q.name); ok {
			opinion = max(c.evidence.Records[i].Opinion, BySession)
		}
		own = min(own, opinion)
	}
	return own
}

// decay reduces the weight of old evidence once a client is raised, since its test then never ends. Before, evidence
// keeps its full weight: Wald's bound holds for a test that forgets nothing, and an undecided test starts anew
// instead.
func (p *Module) decay(now int64, c *client) {
	elapsed := now - c.decayedAt
	c.decayedAt = now
	if elapsed <= 0 || p.defects.noDecay || c.mode == BySession {
		return
	}
	if c.mode == ByMessage {
		c.testingSince = now
	} else if now-c.testingSince >= undecidedTimeout {
		c.testingSince = now
		c.undecidedTests++
		for s := range c.weighted {
			if isByMessageSign(Sign(s)) {
				c.weighted[s], c.weightedOwn[s] = 0, 0
			}
		}
	}
	factor := math.Exp2(-float64(elapsed) / halfLife)
	for s := range c.weighted {
		least := 0.
		switch Sign(s) {
		case OwnClean, OwnFault, OwnMarkedClean, OwnMarkedFault, AfterClean:
			continue // a raised client has few or no set-ups on own connections and must not be lowered for that
		case Marked, Ended, Again, Guarded:
			least = 1 // the client's habits are not forgotten within the epoch
		}
		if isByMessageSign(Sign(s)) && c.mode < ByMessage {
			continue
		}
		c.weighted[s] = max(min(c.weighted[s], least), c.weighted[s]*factor)
		c.weightedOwn[s] = max(min(c.weightedOwn[s], least), c.weightedOwn[s]*factor)
	}
}

// isByMessageSign reports whether a sign belongs to the test of sharing by message.
func isByMessageSign(s Sign) bool { return s >= MessageClean && s <= EndFault }

// clip reduces the clean outcomes so that a test's ratio is no higher than most. Otherwise old clean outcomes could
// outweigh recent faults.
func (c *client) clip(t test, limit float64) {
	if t.lowBaseRatio <= limit {
		return
	}
	excess := (t.lowBaseRatio - limit) / math.Log((1-t.base)/(1-min(t.base+t.least, 0.999)))
	c.weighted[t.countedIn] -= min(excess, c.weighted[t.countedIn])
}

// Message implements fleet.Module.
func (p *Module) Message(now int64, m fleet.Message, out *fleet.Out) {
	p.messagesIn++
	s, err := decodePayload(m.From, m.Body)
	if err == nil && p.peers[m.From] == nil && len(p.peerList) >= maxPeers {
		err = &PayloadError{m.From, errTooManyPeers}
	}
	if err != nil {
		p.unreadable++
		p.report(now, "body", err)
		return
	}
	q := p.peer(now, m.From)
	q.signs = s.Signs
	p.joinDenials(now, s.Denials, out)
	if len(s.Denials) > 0 {
		acks := make([]denialRecord, 0, len(s.Denials))
		for _, d := range s.Denials {
			if c := p.clients[d.Key]; c != nil {
				acks = append(acks, c.denial())
			}
		}
		p.send(m.From, &payload{Acks: acks}, out)
	}
	for _, a := range s.Acks {
		p.acknowledged(now, q, a, out)
	}
	for i := range s.Evidence {
		p.receiveEvidence(now, q, s, &s.Evidence[i], out)
	}
}

// joinDenials joins denials received from another process.
func (p *Module) joinDenials(now int64, denials []denialRecord, out *fleet.Out) {
	for _, d := range denials {
		if c := p.client(now, d.Key, d.Epoch); c != nil {
			p.joinFromPeer(now, c, &Evidence{Epoch: d.Epoch, Denied: d.Modes, DeniedBy: d.DeniedBy}, out)
		}
	}
}

// joinFromPeer joins a client's epoch and denials received from another process. If that begins a later epoch, a
// recent denial of the present one is carried over: the epoch may have begun where the witness was not known.
func (p *Module) joinFromPeer(now int64, c *client, other *Evidence, out *fleet.Out) {
	own, by := c.evidence.Denied, c.evidence.DeniedBy
	carry := other.Epoch > c.evidence.Epoch && own != 0 && now-c.deniedAt < c.denialTime()/2
	p.joinDenial(now, c, other, out)
	if carry {
		p.deny(now, c, own, by, out)
	}
}

// acknowledged records that a process knows a denial, or a later epoch in which it no longer applies.
func (p *Module) acknowledged(now int64, q *peer, ack denialRecord, out *fleet.Out) {
	for i := 0; i < len(p.pending); i++ {
		denial := &p.pending[i]
		if denial.key != ack.Key || ack.Epoch < denial.epoch ||
			ack.Epoch == denial.epoch && denial.modes&^ack.Modes != 0 {
			continue
		}
		denial.unacknowledged = slices.DeleteFunc(denial.unacknowledged, func(x *peer) bool { return x == q })
		if len(denial.unacknowledged) == 0 {
			p.pending = slices.Delete(p.pending, i, i+1)
			i--
		}
	}
	if c := p.clients[ack.Key]; c != nil && ack.Epoch > c.evidence.Epoch {
		p.joinFromPeer(now, c, &Evidence{Epoch: ack.Epoch, Denied: ack.Modes.withHigherModes(),
			DeniedBy: ack.DeniedBy}, out)
	}
}

// receiveEvidence joins another process's own record.
func (p *Module) receiveEvidence(now int64, from *peer, message *payload, record *evidenceRecord, out *fleet.Out) {
	c := p.client(now, record.Key, record.Epoch)
	if c == nil {
		return
	}
	p.joinFromPeer(now, c, &Evidence{Epoch: record.Epoch, Denied: record.Modes, DeniedBy: record.DeniedBy}, out)
	if record.Epoch != c.evidence.Epoch {
		return
	}
	if _, found := c.evidence.find(from.name); !found && p.remoteRecords >= MaxRecords {
		p.refusedRecords++
		p.report(now, "records", &RecordLimitError{MaxRecords})
		return
	}
	p.joinEvidence(now, c, &Evidence{Epoch: record.Epoch, Records: []Record{{Process: from.name,
		Incarnation: message.Incarnation, Opinion: record.Opinion, OpinionVersion: record.OpinionVersion,
		Signs: message.Signs, Counts: countsFromMap(record.Counts)}}}, lateEvidenceWeight)
}

// send queues a message. The caller keeps its payload within the size limit; a larger one is dropped.
func (p *Module) send(to string, message *payload, out *fleet.Out) {
	message.Signs, message.Incarnation = p.knownSigns, p.incarnation
	body := message.encode()
	if len(body) > fleet.MaxBody {
		return
	}
	p.messagesOut++
	out.Send = append(out.Send, fleet.Message{Kind: fleet.Pooling, From: p.cfg.Self, To: to, Body: body})
}

// resendDenials sends denials again to the processes that have not acknowledged them.
func (p *Module) resendDenials(now int64, out *fleet.Out) {
	var due []*pendingDenial
	for i := 0; i < len(p.pending); i++ {
		w := &p.pending[i]
		if c := p.clients[w.key]; c == nil || c.evidence.Epoch > w.epoch {
			p.pending = slices.Delete(p.pending, i, i+1) // it no longer applies
			i--
			continue
		}
		w.unacknowledged = slices.DeleteFunc(w.unacknowledged, func(q *peer) bool { return !q.present })
		if now >= w.dueAt {
			due = append(due, w)
		}
	}
	if len(due) == 0 {
		return
	}
	for _, q := range p.peerList {
		var s payload
		for _, w := range due {
			if len(s.Denials) < maxPayloadDenials && slices.Contains(w.unacknowledged, q) {
				s.Denials = append(s.Denials, p.clients[w.key].denial())
			}
		}
		if len(s.Denials) > 0 {
			p.send(q.name, &s, out)
		}
	}
	for _, w := range due {
		w.retries++
		if w.dueAt = now + denialRetry; w.retries > fastRetries {
			w.dueAt = now + slowDenialRetry
		}
	}
	p.pending = slices.DeleteFunc(p.pending, func(w pendingDenial) bool { return len(w.unacknowledged) == 0 })
}

// sendEvidence sends evidence to the next few processes, and denials to those whose digest differs.
func (p *Module) sendEvidence(now int64, out *fleet.Out) {
	if now-p.evidenceSentAt < evidenceInterval || len(p.peerList) == 0 {
		return
	}
	p.evidenceSentAt = now
	for _, q := range p.peerList {
		if !q.present || q.unavailable || q.lastPart == nil || q.digest == p.digest {
			q.differsSince = 0
		} else if q.differsSince == 0 {
			q.differsSince = now
		}
	}
	for n, i := 0, 0; n < evidenceFanout && i < len(p.peerList); i++ {
		q := p.peerList[p.nextPeer%len(p.peerList)]
		p.nextPeer++
		if !q.present || q.unavailable {
			continue
		}
		n++
		if q.differsSince != 0 && now-q.differsSince >= digestRepairDelay {
			p.repairDenials(q, out)
		}
		if now-q.resentAt >= fullResendInterval {
			q.sentChange, q.resentAt = 0, now
		}
		for range messagesPerPeer {
			if !p.sendEvidenceTo(q, out) {
				break
			}
		}
	}
}

// repairDenials sends the next denials to a process whose digest differs. The denials that this process lacks are
// sent by the other one in the same way.
func (p *Module) repairDenials(q *peer, out *fleet.Out) {
	var message payload
	for range p.clientList {
		if q.repairIndex >= len(p.clientList) {
			q.repairIndex = 0
		}
		c := p.clientList[q.repairIndex]
		q.repairIndex++
		if c.evidence.Denied != 0 {
			if message.Denials = append(message.Denials, c.denial()); len(message.Denials) == maxPayloadDenials {
				break
			}
		}
	}
	if len(message.Denials) > 0 {
		p.send(q.name, &message, out)
	}
}

// sendEvidenceTo sends the oldest changed own records that a process has not been sent, and reports whether any are
// left.
func (p *Module) sendEvidenceTo(q *peer, out *fleet.Out) bool {
	var changed []*client
	for _, c := range p.clientList {
		if c.lastChange > q.sentChange {
			changed = append(changed, c)
		}
	}
	slices.SortFunc(changed, func(a, b *client) int {
		if a.lastChange < b.lastChange {
			return -1
		}
		return 1
	})
	var message payload
	size := 64
	for _, c := range changed {
		r := evidenceRecord{Key: c.key, Epoch: c.evidence.Epoch, Modes: c.evidence.Denied,
			DeniedBy: c.evidence.DeniedBy, Opinion: c.opinion}
		if i, ok := c.evidence.find(p.cfg.Self); ok {
			r.OpinionVersion, r.Counts = c.evidence.Records[i].OpinionVersion, c.evidence.Records[i].Counts.toMap()
		}
		size += 40 + 7*len(r.Counts)
		if len(message.Evidence) == maxPayloadRecords || size > fleet.MaxBody {
			break
		}
		message.Evidence = append(message.Evidence, r)
		q.sentChange = c.lastChange
	}
	if len(message.Evidence) == 0 {
		return false
	}
	p.send(q.name, &message, out)
	return len(message.Evidence) < len(changed)
}

// publishEntry publishes this process's part of its fleet entry: the signs that it knows, the digest of its denials,
// and the newest of them.
func (p *Module) publishEntry(now int64, out *fleet.Out) {
	if p.incarnation == 0 || p.entryBody != nil && now-p.entrySentAt < entryInterval {
		return
	}
	message := payload{Signs: p.knownSigns, Incarnation: p.incarnation, Digest: p.digest}
	var denied []*client
	for _, c := range p.clientList {
		if c.evidence.Denied != 0 {
			denied = append(denied, c)
		}
	}
	slices.SortStableFunc(denied, func(a, b *client) int { return int(min(max(b.deniedAt-a.deniedAt, -1), 1)) })
	for _, c := range denied[:min(len(denied), maxPayloadDenials)] {
		message.Denials = append(message.Denials, c.denial())
	}
	body := message.encode()
	if slices.Equal(body, p.entryBody) {
		return
	}
	p.entrySentAt, p.entryBody = now, body
	out.Tell(fleet.Pooling, body)
}

// Figures implements fleet.Module.
func (p *Module) Figures(put func(name string, n uint64, gauge bool)) {
	var byMode [ByMessage + 1]uint64
	denied := uint64(0)
	for _, c := range p.clientList {
		byMode[c.mode]++
		if c.evidence.Denied != 0 {
			denied++
		}
	}
	isolated := uint64(0)
	if p.isolatedSince != 0 {
		isolated = 1
	}
	for _, f := range []struct {
		name  string
		n     uint64
		gauge bool
	}{
		{"pooling.clients", uint64(len(p.clientList)), true}, {"pooling.by_session", byMode[BySession], true},
		{"pooling.by_call", byMode[ByCall], true}, {"pooling.by_message", byMode[ByMessage], true},
		{"pooling.denied", denied, true}, {"pooling.records", uint64(p.remoteRecords), true},
		{"pooling.cut", isolated, true},
		{"pooling.untold", uint64(len(p.pending)), true},
		{"pooling.raises", p.raises, false}, {"pooling.falls", p.falls, false},
		{"pooling.witnesses", p.witnesses, false},
		{"pooling.messages_in", p.messagesIn, false}, {"pooling.messages_out", p.messagesOut, false},
		{"pooling.garbled", p.unreadable, false},
		{"pooling.records_refused", p.refusedRecords, false}, {"pooling.clients_refused", p.refusedClients, false},
		{"pooling.ring_full", p.cfg.Loop.ringFull.Load(), false},
		{"pooling.signs_dropped", p.cfg.Loop.droppedSigns.Load(), false},
	} {
		put(f.name, f.n, f.gauge)
	}
}
