package dissemination

import (
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"

	"pewterwheel/internal/fleet"
)

// DefaultAskEvery is how often a member asks another one for what differs, at the most, in microseconds.
const DefaultAskEvery = 1_000_000

// MaxPassed bounds the entries that one message has a member pass to another, and the names in a message.
const MaxPassed = 32

// maxAskEvery bounds AskEvery, in microseconds: an hour.
const maxAskEvery = 3_600_000_000

// jitterShare is the part of AskEvery by which asks are spread at random, so that members do not ask in step.
const jitterShare = 8

// Registry is what Repair asks of the registry of entries.
type Registry interface {
	// Digest returns a digest of the names, incarnations and versions of all entries, and one for each bucket of
	// names.
	Digest() (root uint64, buckets [fleet.DigestBuckets]uint32)
	// Versions gives the version of each entry whose name is in a bucket.
	Versions(bucket int, put func(fleet.Version))
	// Newest returns the version of a name's entry; false: there is none.
	Newest(name string) (fleet.Version, bool)
}

// RepairConfig are the settings of a Repair.
type RepairConfig struct {
	Self     string // name of this process
	AskEvery int64  // microseconds; DefaultAskEvery where it is 0 or less
	Seed     uint64 // of the order of buckets and the jitter; another one in each process
}

// Repair finds and mends what gossip has missed. Whoever hears a root digest that is not its own sends the peer the
// digests of its buckets (an ask) and is answered with the versions of the entries in buckets that differ, as many as
// fit a message. It then asks for the entries that are newer there (a want) and has those that are newer here passed
// to the peer. Entries themselves go by fleet.Out.Pass. Lost messages need no care: the next root that differs begins
// anew.
type Repair struct {
	config   RepairConfig
	registry Registry
	random   *rand.Rand
	nextAsk  int64  // no ask before this
	asked    string // whose answer is awaited; "": nobody's
	counts   repairCounts
}

type repairCounts struct {
	asks, answers, wanted, passed, badMessages, unasked uint64
}

var _ fleet.Module = (*Repair)(nil)

// NewRepair returns the module of one process.
func NewRepair(config RepairConfig, registry Registry) *Repair {
	config.AskEvery = bounded(config.AskEvery, DefaultAskEvery, maxAskEvery)
	return &Repair{
		config:   config,
		registry: registry,
		random:   rand.New(rand.NewPCG(config.Seed, 0)),
		nextAsk:  math.MinInt64,
	}
}

// Root brings the root digest that came with a peer's acknowledgement of a probe. If it differs from this process's
// own, the peer is asked, unless somebody was asked within AskEvery.
func (r *Repair) Root(now int64, from string, root uint64, out *fleet.Out) {
	if now < r.nextAsk || !nameFits(from) || from == r.config.Self {
		return
	}
	own, buckets := r.registry.Digest()
	if own == root {
		return
	}
	r.asked = from
	r.nextAsk = later(now, r.config.AskEvery+r.random.Int64N(r.config.AskEvery/jitterShare+1))
	r.counts.asks++
	r.send(from, &repairMessage{Type: typeAsk, Buckets: encodeBuckets(&buckets)}, out)
}

// later returns the time so many microseconds after another, the last of all at the most.
func later(now, microseconds int64) int64 {
	if now > math.MaxInt64-microseconds {
		return math.MaxInt64
	}
	return now + microseconds
}

func (r *Repair) send(to string, m *repairMessage, out *fleet.Out) {
	message := fleet.Message{Kind: fleet.Repair, From: r.config.Self, To: to, Body: m.encode()}
	out.Send = append(out.Send, message)
}

// Message takes a message of another process's Repair. One that cannot be read is counted and passed by.
func (r *Repair) Message(_ int64, message fleet.Message, out *fleet.Out) {
	m, err := decodeRepair(message.Body)
	if err != nil || !nameFits(message.From) || message.From == r.config.Self {
		r.counts.badMessages++
		return
	}
	switch m.Type {
	case typeAsk:
		r.answer(message.From, m.Buckets, out)
	case typeVersions:
		r.compare(message.From, &m, out)
	case typeWant:
		r.passAll(message.From, m.Names, out)
	}
}

// answer tells a peer the versions in the buckets that differ; nothing if none does.
func (r *Repair) answer(peer string, digests []byte, out *fleet.Out) {
	_, buckets := r.registry.Digest()
	differ := differing(&buckets, digests)
	if differ == 0 {
		return
	}
	r.counts.answers++
	r.send(peer, r.list(differ), out)
}

// list writes the versions in the given buckets, from one of them on that is chosen at random, until a message is
// full. A bucket is listed whole, and marked as covered, or not at all; but of a first one that is larger than a
// message, a part is listed that is chosen at random, too.
func (r *Repair) list(buckets uint64) *repairMessage {
	answer := &repairMessage{Type: typeVersions}
	left := fleet.MaxBody - listFrame
	start := r.random.IntN(fleet.DigestBuckets)
	for i := range fleet.DigestBuckets {
		bucket := (start + i) % fleet.DigestBuckets
		if buckets&(1<<bucket) == 0 {
			continue
		}
		versions, size := r.versions(bucket)
		if size <= left && len(versions) <= maxListed-len(answer.Versions) {
			left -= size
			answer.Covered |= 1 << bucket
			answer.add(versions)
			continue
		}
		if answer.Covered == 0 {
			answer.add(r.somePart(versions, left))
			break
		}
	}
	return answer
}

// versions returns the versions in a bucket that a message can carry, and how many bytes they take in one.
func (r *Repair) versions(bucket int) (versions []fleet.Version, size int) {
	r.registry.Versions(bucket, func(v fleet.Version) {
		if nameFits(v.Name) && numberFits(v.Incarnation) && numberFits(v.Version) {
			versions = append(versions, v)
			size += versionBytes(v)
		}
	})
	return versions, size
}

// somePart returns as many versions as fit, from one on that is chosen at random.
func (r *Repair) somePart(versions []fleet.Version, left int) []fleet.Version {
	start := r.random.IntN(len(versions))
	var part []fleet.Version
	for i := range versions {
		v := versions[(start+i)%len(versions)]
		left -= versionBytes(v)
		if left < 0 || len(part) == maxListed {
			break
		}
		part = append(part, v)
	}
	return part
}

func (m *repairMessage) add(versions []fleet.Version) {
	for _, v := range versions {
		m.Versions = append(m.Versions, listedVersion(v))
	}
}

// compare takes a peer's answer: what is newer there is asked for, and what is newer here, or in a covered bucket and
// not there at all, is passed to the peer.
func (r *Repair) compare(peer string, m *repairMessage, out *fleet.Out) {
	if peer != r.asked {
		r.counts.unasked++
		return
	}
	r.asked = ""
	var wanted []string
	passed := 0
	listed := make(map[string]bool, len(m.Versions))
	for _, theirs := range m.Versions {
		listed[theirs.Name] = true
		ours, known := r.registry.Newest(theirs.Name)
		switch {
		case !known || fleet.Newer(theirs.Incarnation, theirs.Version, ours.Incarnation, ours.Version):
			wanted = append(wanted, theirs.Name)
		case fleet.Newer(ours.Incarnation, ours.Version, theirs.Incarnation, theirs.Version) && passed < MaxPassed:
			r.pass(peer, theirs.Name, out)
			passed++
		}
	}
	r.passUnlisted(peer, m.Covered, listed, MaxPassed-passed, out)
	r.want(peer, wanted, out)
}

// passUnlisted passes entries of covered buckets that the peer did not list.
func (r *Repair) passUnlisted(peer string, covered uint64, listed map[string]bool, most int, out *fleet.Out) {
	for ; covered != 0; covered &= covered - 1 {
		r.registry.Versions(bits.TrailingZeros64(covered), func(v fleet.Version) {
			if most > 0 && !listed[v.Name] {
				r.pass(peer, v.Name, out)
				most--
			}
		})
	}
}

func (r *Repair) pass(peer, name string, out *fleet.Out) {
	r.counts.passed++
	out.Pass = append(out.Pass, fleet.PassedEntry{To: peer, Name: name})
}

// want asks a peer for entries, as many as fit a message.
func (r *Repair) want(peer string, names []string, out *fleet.Out) {
	left := fleet.MaxBody - listFrame
	for i, name := range names {
		left -= textBytes(name)
		if left < 0 || i == MaxPassed {
			names = names[:i]
			break
		}
	}
	if len(names) == 0 {
		return
	}
	r.counts.wanted += uint64(len(names))
	r.send(peer, &repairMessage{Type: typeWant, Names: names}, out)
}

// passAll passes the entries that a peer wants, each once; names that are not known are passed by.
func (r *Repair) passAll(peer string, names []string, out *fleet.Out) {
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		if _, known := r.registry.Newest(name); known {
			r.pass(peer, name, out)
		}
	}
}

// Kind returns fleet.Repair.
func (r *Repair) Kind() fleet.Kind { return fleet.Repair }

// Start does nothing.
func (r *Repair) Start(int64, *fleet.Out) {}

// View does nothing.
func (r *Repair) View(int64, *fleet.View, *fleet.Out) {}

// Done does nothing: there are no acts.
func (r *Repair) Done(int64, fleet.Act, error, *fleet.Out) {}

// Tick does nothing.
func (r *Repair) Tick(int64, *fleet.Out) {}

// Next returns math.MaxInt64: only roots and messages have anything done.
func (r *Repair) Next() int64 { return math.MaxInt64 }

// Figures gives the counters of the module.
func (r *Repair) Figures(put func(name string, n uint64, gauge bool)) {
	put("repair_asks", r.counts.asks, false)
	put("repair_answers", r.counts.answers, false)
	put("repair_wanted", r.counts.wanted, false)
	put("repair_passed", r.counts.passed, false)
	put("repair_bad_messages", r.counts.badMessages, false)
	put("repair_unasked", r.counts.unasked, false)
}
