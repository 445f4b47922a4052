package lease

import (
	"bytes"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"pewterwheel/internal/fleet"
)

// Config configures a Module. Times are in microseconds.
type Config struct {
	Self        string
	Incarnation uint64 // of this process; higher than that of every earlier run
	Seed        uint64 // for the retry jitter

	Roster uint64   // number of the roster, from 1
	Names  []string // members of the roster
	// PreviousNames holds the members of the previous roster if processes may still act under it; nil if none does. A
	// process that receives a new roster while it runs (SetRoster) does not need it: it knows the previous one.
	PreviousNames []string

	Electors int     // maximum number of electors per resource, at most 9; 0: 5
	Lease    int64   // duration of a vote; 0: 3 s. Round trips should take less than an eighth of it.
	Drift    float64 // maximum relative rate difference of the monotonic clocks of two processes; 0: 0.01
	// Floor is lower than every future fence and not lower than any granted before all electors were last restarted
	// together. Milliseconds of the wall clock satisfy this as long as fewer than a thousand grants are made per
	// second. 0: unknown.
	Floor uint64
	// MaxResources limits the resources that an elector keeps; 0: 4,096. At the limit, resources that nobody has
	// claimed for EvictAfter are evicted, the least recently used first; EvictAfter 0: an hour.
	MaxResources int
	EvictAfter   int64
	// NoteRenewals also adds a note for each renewal, for tests that read the history.
	NoteRenewals bool
}

// testOverrides disables safeguards one by one, for tests that check that each missing safeguard is detected.
type testOverrides struct {
	noStartWait         bool // vote immediately after a start
	noRecovery          bool // vote without learning the lost state
	noDriftMargin       bool // hold for the full lease duration
	countFromReply      bool // count a vote from its reply instead of from its request
	currentMajorityOnly bool // ask only the electors of the current roster during a roster change
	noRosterCheck       bool // vote regardless of the claim's roster
	noRosterNotice      bool // ignore the number of a newer roster in messages
	noFenceCheck        bool // vote for a fence that is not above the highest
	voteTwice           bool // vote for another claimant while a vote is valid
	smallMajority       bool // accept half of the electors, rounded down
	noRecordRewrite     bool // do not store the learned record again under the new fence
	noFenceGate         bool // accept lower fences when told to act; read by the gates of the tests
	noJitter            bool // not a safeguard: no jitter, for the state search
}

// Module manages the leases of one process, both as an elector and as a claimant of resources. It implements
// fleet.Module and Client. It is not safe for concurrent use.
type Module struct {
	cfg           Config
	overrides     testOverrides
	driftMargin   int64 // maximum drift between two clocks over one lease
	retryInterval int64 // initial retry delay
	rng           rand.PCG

	now                        int64
	roster                     uint64
	rosterNames, previousNames []string // members of the current and the previous roster; nil: unknown
	bothMajoritiesUntil        int64    // until when this process requires majorities of both rosters
	highestRoster              uint64   // highest roster number seen; claims under a lower one are refused
	voteFrom                   int64    // one lease after the start
	highestFence               uint64   // highest fence seen for any resource; new claims start above it
	// Where all electors have lost the state of a resource, only fences above this one are granted: the maximum of the
	// initial floor, the fences in entries and the evicted fences.
	fenceFloor uint64
	generation uint64 // incremented at each eviction

	resources      map[string]*resource
	learning       []*resource // resources being learned, in the order in which learning started
	claims         []*claim    // sorted by resource
	lastSeq        uint64
	selfMessages   []body // messages to itself
	hints          map[string]hint
	entryParts     map[string]cachedEntryPart // from the newest view, by member
	published      entryPart
	publishPending bool
	counts         counts
}

type hint struct {
	name  string
	fence uint64
}

type counts struct {
	sent, received, unread, votes, refusals, grants, lapses, releases, renewals, attempts, learned, evicted,
	lostWrites uint64
}

var (
	_ fleet.Module = (*Module)(nil)
	_ Client       = (*Module)(nil)
)

// New returns a Module without any state of earlier runs.
func New(config Config) *Module {
	config.Roster = max(config.Roster, 1)
	if config.Electors <= 0 {
		config.Electors = 5
	}
	config.Electors = min(config.Electors, maxElectors)
	if config.Lease <= 0 {
		config.Lease = 3_000_000
	}
	if config.Drift <= 0 || config.Drift >= 1 {
		config.Drift = 0.01
	}
	if config.MaxResources <= 0 {
		config.MaxResources = 4096
	}
	if config.EvictAfter <= 0 {
		config.EvictAfter = 3_600_000_000
	}
	config.Floor = min(config.Floor, maxNumber>>1)
	p := &Module{cfg: config, roster: config.Roster, highestRoster: config.Roster, highestFence: config.Floor,
		fenceFloor: config.Floor, resources: map[string]*resource{}}
	p.driftMargin = int64(math.Ceil(float64(config.Lease) * config.Drift))
	p.retryInterval = max(config.Lease/64, 1)
	p.rng.Seed(config.Seed, xxhash.Sum64String(config.Self))
	p.rosterNames = sortedUnique(config.Names)
	if len(config.PreviousNames) > 0 {
		p.previousNames = sortedUnique(config.PreviousNames)
	}
	return p
}

func sortedUnique(names []string) []string {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}

// Electors returns the electors of a resource, sorted by name: the n roster members with the highest rendezvous hash.
func Electors(resource string, names []string, n int) []string {
	type ranked struct {
		hash uint64
		name string
	}
	all := make([]ranked, 0, len(names))
	for _, name := range names {
		all = append(all, ranked{xxhash.Sum64String(resource + "\x00" + name), name})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.hash != b.hash {
			if a.hash > b.hash {
				return -1
			}
			return 1
		}
		return strings.Compare(a.name, b.name)
	})
	all = all[:min(n, len(all))]
	electors := make([]string, 0, len(all))
	for _, r := range all {
		electors = append(electors, r.name)
	}
	slices.Sort(electors)
	return electors
}

func (p *Module) electors(resource string) []string {
	return Electors(resource, p.rosterNames, p.cfg.Electors)
}

func (p *Module) previousElectors(resource string) []string {
	if p.previousNames == nil {
		return nil
	}
	return Electors(resource, p.previousNames, p.cfg.Electors)
}

// majority returns the size of a majority of n electors.
func (p *Module) majority(n int) int {
	if p.overrides.smallMajority {
		return max(n/2, 1)
	}
	return n/2 + 1
}

// leaseWait is how long the local clock must run until a lease has expired by every other clock.
func (p *Module) leaseWait() int64 { return p.cfg.Lease + p.driftMargin }

// jitter returns a random number in [0, n).
func (p *Module) jitter(n int64) int64 {
	if n <= 0 || p.overrides.noJitter {
		return 0
	}
	return int64(p.rng.Uint64() % uint64(n))
}

// observeFence updates the highest fence seen for any resource.
func (p *Module) observeFence(fence uint64) {
	if fence > p.highestFence && fence <= maxNumber>>1 {
		p.highestFence, p.publishPending = fence, true
	}
}

// SetRoster installs the next roster. It rejects a number that is not the next one (*RosterSequenceError), a roster
// that comes while the previous change is not complete (*RosterChangeError), and an invalid list
// (*InvalidRosterError); the current roster then stays. Installing the current roster again is no error. The resulting
// messages are sent at the next Tick, which is due at once.
func (p *Module) SetRoster(now int64, number uint64, names []string) error {
	p.advanceClock(now)
	members := sortedUnique(names)
	switch {
	case len(members) == 0:
		return &InvalidRosterError{Number: number, Reason: "it lists no names"}
	case len(members) != len(names):
		return &InvalidRosterError{Number: number, Reason: "it lists a name twice"}
	case number == p.roster && slices.Equal(members, p.rosterNames):
		return nil
	case number == p.roster:
		return &InvalidRosterError{Number: number, Reason: "a different list already has this number"}
	case number != p.roster+1:
		return &RosterSequenceError{Current: p.roster, Got: number}
	}
	transferring := 0
	for _, res := range p.resources {
		if res.learning && res.readyRoster > 0 {
			transferring++
		}
	}
	if now < p.bothMajoritiesUntil || transferring > 0 {
		return &RosterChangeError{Current: p.roster, Got: number, Left: max(p.bothMajoritiesUntil-now, 0),
			Resources: transferring}
	}
	p.previousNames, p.rosterNames, p.roster = p.rosterNames, members, number
	p.highestRoster = max(p.highestRoster, number)
	p.bothMajoritiesUntil = now + p.leaseWait()
	names = names[:0:0]
	for name := range p.resources {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		// Local state must be transferred: by being asked, the new electors learn that there is something to ask for.
		if res := p.resources[name]; res.learning || res.readyRoster > 0 {
			if res.learning {
				p.stopLearning(res)
			}
			p.startLearning(res)
		}
	}
	for _, c := range p.claims {
		p.resetVoters(c)
		c.nextAction = now
	}
	return nil
}

// Roster returns the number of the installed roster and the highest number seen.
func (p *Module) Roster() (known, heard uint64) { return p.roster, p.highestRoster }

// observeRoster records the roster number of a message. It accepts only the next number, to guard against a corrupted
// one.
func (p *Module) observeRoster(number uint64) {
	if number == p.roster+1 && !p.overrides.noRosterNotice && !p.overrides.noRosterCheck {
		p.highestRoster = max(p.highestRoster, number)
	}
}

func (p *Module) advanceClock(now int64) { p.now = max(p.now, now) }

// Kind returns fleet.Lease.
func (p *Module) Kind() fleet.Kind { return fleet.Lease }

// Start begins the waiting time after which the process votes.
func (p *Module) Start(now int64, out *fleet.Out) {
	p.now = now
	p.voteFrom = now + p.leaseWait()
	if p.overrides.noStartWait {
		p.voteFrom = now
	}
	if p.previousNames != nil {
		p.bothMajoritiesUntil = now + p.leaseWait()
	}
	p.publishPending = true
	p.flush(out)
}

// Message handles a lease message of another process. Messages that cannot be decoded are counted and dropped.
func (p *Module) Message(now int64, message fleet.Message, out *fleet.Out) {
	p.advanceClock(now)
	p.counts.received++
	msg, err := decode(message.Body)
	if err != nil || message.From == "" || len(message.From) > MaxName {
		p.counts.unread++
		return
	}
	p.handle(message.From, msg, out)
	p.flush(out)
}

func (p *Module) handle(from string, msg body, out *fleet.Out) {
	switch msg.Type {
	case typClaim, typHold:
		p.handleClaim(from, msg, out)
	case typRelease:
		p.handleRelease(from, msg, out)
	case typLearn:
		p.handleLearn(from, msg, out)
	case typKnown:
		p.handleKnown(from, msg, out)
	case typVote, typRefuse:
		p.handleReply(from, msg, out)
	case typFree:
		p.handleFree(from, msg, out)
	}
}

// View reads the highest fences and the holder hints from the members' entries.
func (p *Module) View(now int64, view *fleet.View, out *fleet.Out) {
	p.advanceClock(now)
	p.hints = make(map[string]hint, len(p.hints))
	parts := make(map[string]cachedEntryPart, len(view.Members))
	for i := range view.Members {
		member := &view.Members[i]
		raw := member.Parts[fleet.Lease]
		if raw == nil || member.Name == p.cfg.Self {
			continue
		}
		read := p.entryParts[member.Name]
		if !bytes.Equal(read.raw, raw) {
			read = cachedEntryPart{raw, decodeEntryPart(raw)}
		}
		parts[member.Name] = read
		part := read.decoded
		p.observeFence(part.HighestFence)
		p.fenceFloor = max(p.fenceFloor, min(part.HighestFence, maxNumber>>1))
		for _, held := range part.Held {
			if held.Fence > p.hints[held.Thing].fence {
				p.hints[held.Thing] = hint{member.Name, held.Fence}
			}
		}
	}
	p.entryParts = parts
	p.flush(out)
}

// cachedEntryPart caches a decoded entry part of a member: views are frequent, and most entry parts do not change
// between them.
type cachedEntryPart struct {
	raw     []byte
	decoded entryPart
}

// Done does nothing: leases request no acts.
func (p *Module) Done(int64, fleet.Act, error, *fleet.Out) {}

// Tick performs due retries, renewals and expiries.
func (p *Module) Tick(now int64, out *fleet.Out) {
	p.advanceClock(now)
	for i := 0; i < len(p.learning); { // tickLearning may remove it
		res := p.learning[i]
		if p.now >= res.nextLearnAt {
			p.tickLearning(res, out)
		}
		if i < len(p.learning) && p.learning[i] == res {
			i++
		}
	}
	for _, c := range p.claims {
		if p.now >= c.dueAt() {
			p.tickClaim(c, out)
		}
	}
	p.flush(out)
}

// Next returns when the first retry, renewal or expiry is due.
func (p *Module) Next() int64 {
	next := int64(math.MaxInt64)
	for _, res := range p.learning {
		next = min(next, res.nextLearnAt)
	}
	for _, c := range p.claims {
		next = min(next, c.dueAt())
	}
	return next
}

// send queues a message for another process, or for the elector or claimant of this one.
func (p *Module) send(to string, msg body, out *fleet.Out) {
	if to == p.cfg.Self {
		p.selfMessages = append(p.selfMessages, msg)
		return
	}
	p.counts.sent++
	out.Send = append(out.Send, fleet.Message{Kind: fleet.Lease, From: p.cfg.Self, To: to, Body: encode(&msg)})
}

// flush delivers the messages that this process sent to itself and publishes changes in its entry.
func (p *Module) flush(out *fleet.Out) {
	for i := 0; i < len(p.selfMessages); i++ {
		p.handle(p.cfg.Self, p.selfMessages[i], out)
	}
	p.selfMessages = p.selfMessages[:0]
	if !p.publishPending {
		return
	}
	p.publishPending = false
	part := entryPart{HighestFence: p.highestFence}
	for _, c := range p.claims {
		if c.phase == holding && len(part.Held) < maxHints {
			part.Held = append(part.Held, heldLease{c.resource, c.fence})
		}
	}
	if part.HighestFence != p.published.HighestFence || !slices.Equal(part.Held, p.published.Held) {
		p.published = part
		out.Tell(fleet.Lease, encode(&part))
	}
}

// Holder returns the last known holder of a resource. It is only a hint.
func (p *Module) Holder(resource string) (name string, fence uint64) {
	latest := p.hints[resource]
	if res := p.resources[resource]; res != nil && res.fenceOwner != "" && !res.released && res.fence > latest.fence {
		latest = hint{res.fenceOwner, res.fence}
	}
	if c := p.findClaim(resource); c != nil {
		if c.holderHint.fence > latest.fence {
			latest = c.holderHint
		}
		if c.phase == holding && c.fence >= latest.fence {
			latest = hint{p.cfg.Self, c.fence}
		}
	}
	return latest.name, latest.fence
}

// Figures reports the package's metrics. While a majority answers, a held lease costs one request to each of its
// electors, and the answers, every third of a lease.
func (p *Module) Figures(put func(name string, n uint64, gauge bool)) {
	held := uint64(0)
	for _, counters := range p.claims {
		if counters.phase == holding && p.now < counters.expiresAt {
			held++
		}
	}
	put("lease.held", held, true)
	put("lease.claims", uint64(len(p.claims)), true)
	put("lease.things", uint64(len(p.resources)), true)
	put("lease.learning", uint64(len(p.learning)), true)
	put("lease.roster", p.roster, true)
	put("lease.roster_heard", p.highestRoster, true)
	c := &p.counts
	put("lease.sent", c.sent, false)
	put("lease.received", c.received, false)
	put("lease.unread", c.unread, false)
	put("lease.votes", c.votes, false)
	put("lease.refusals", c.refusals, false)
	put("lease.attempts", c.attempts, false)
	put("lease.grants", c.grants, false)
	put("lease.renewals", c.renewals, false)
	put("lease.lapses", c.lapses, false)
	put("lease.releases", c.releases, false)
	put("lease.learnt", c.learned, false)
	put("lease.forgotten", c.evicted, false)
	put("lease.lost_writes", c.lostWrites, false)
}
