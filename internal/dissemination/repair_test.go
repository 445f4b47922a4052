package dissemination

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"pewterwheel/internal/fleet"
)

// pair are two modules that hear one another without loss.
type pair struct {
	a, b *Repair
	ra   *fakeRegistry
	rb   *fakeRegistry
}

func newPair(seed uint64) *pair {
	p := &pair{ra: newFakeRegistry(), rb: newFakeRegistry()}
	p.a = NewRepair(RepairConfig{Self: "a", Seed: seed}, p.ra)
	p.b = NewRepair(RepairConfig{Self: "b", Seed: seed + 1}, p.rb)
	return p
}

// round has a hear b's root, and carries everything to and fro until nothing is left to say.
func (p *pair) round(t rapid.TB, now int64) (messages int) {
	t.Helper()
	root, _ := p.rb.Digest()
	var out fleet.Out
	p.a.Root(now, "b", root, &out)
	return p.carry(t, now, out)
}

// back has b hear a's root.
func (p *pair) back(t rapid.TB, now int64) (messages int) {
	t.Helper()
	root, _ := p.ra.Digest()
	var out fleet.Out
	p.b.Root(now, "a", root, &out)
	return p.carry(t, now, out)
}

func (p *pair) carry(t rapid.TB, now int64, out fleet.Out) (messages int) {
	t.Helper()
	for len(out.Send)+len(out.Pass) > 0 {
		var next fleet.Out
		for _, m := range out.Send {
			if len(m.Body) > fleet.MaxBody {
				t.Errorf("a message of %d bytes", len(m.Body))
			}
			messages++
			to := p.a
			if m.To == "b" {
				to = p.b
			}
			to.Message(now, m, &next)
		}
		for _, passed := range out.Pass {
			from, to := p.rb, p.ra
			if passed.To == "b" {
				from, to = p.ra, p.rb
			}
			v, known := from.Newest(passed.Name)
			if !known {
				t.Errorf("%+v is passed and not known", passed)
			}
			to.take(v)
		}
		out = next
	}
	return messages
}

func (p *pair) equal() bool { return p.ra.root == p.rb.root && p.ra.digests == p.rb.digests }

// Where nothing differs nothing is said.
func TestRepairEqual(t *testing.T) {
	p := newPair(1)
	p.ra.set(fleet.Version{Name: "x", Incarnation: 1, Version: 1})
	p.rb.set(fleet.Version{Name: "x", Incarnation: 1, Version: 1})
	if n := p.round(t, 0); n != 0 {
		t.Errorf("%d messages", n)
	}
	var out fleet.Out
	_, buckets := p.ra.Digest()
	ask := &repairMessage{Type: typeAsk, Buckets: encodeBuckets(&buckets)}
	p.b.Message(0, fleet.Message{From: "a", Body: ask.encode()}, &out)
	if len(out.Send) != 0 {
		t.Errorf("%+v", out)
	}
}

// One round mends both sides: what is newer there, what is newer here, and what either lacks.
func TestRepairBothWays(t *testing.T) {
	p := newPair(1)
	p.ra.set(fleet.Version{Name: "only-a", Incarnation: 1, Version: 1})
	p.rb.set(fleet.Version{Name: "only-b", Incarnation: 1, Version: 1})
	p.ra.set(fleet.Version{Name: "newer-a", Incarnation: 2, Version: 1})
	p.rb.set(fleet.Version{Name: "newer-a", Incarnation: 1, Version: 9})
	p.ra.set(fleet.Version{Name: "newer-b", Incarnation: 5, Version: 1})
	p.rb.set(fleet.Version{Name: "newer-b", Incarnation: 5, Version: 2})
	if p.round(t, 0); !p.equal() {
		t.Errorf("%v\n%v", p.ra.versions, p.rb.versions)
	}
	a, b := figuresOf(t, p.a.Figures), figuresOf(t, p.b.Figures)
	if a["repair_asks"] != 1 || a["repair_wanted"] != 2 || a["repair_passed"] != 2 ||
		b["repair_answers"] != 1 || b["repair_passed"] != 2 {
		t.Errorf("%v\n%v", a, b)
	}
}

// An entry in a bucket that the peer has nothing in is passed, too: the answer covers the bucket and lists nothing.
func TestRepairEmptyBucket(t *testing.T) {
	p := newPair(1)
	p.ra.set(fleet.Version{Name: "x", Incarnation: 1, Version: 1})
	if p.round(t, 0); !p.equal() || len(p.rb.versions) != 1 {
		t.Errorf("%v", p.rb.versions)
	}
}

// fill gives each side so many entries, of which a share in a hundred differs: it is missing on one side, or older
// there.
func (p *pair) fill(random *rand.Rand, entries, share int, suffix string) {
	for i := range entries {
		v := fleet.Version{Name: fmt.Sprint(i, suffix), Incarnation: maxNumber - 5, Version: 1 + random.Uint64N(3)}
		later := v
		where := 4
		if random.IntN(100) < share {
			where = random.IntN(4)
			later.Version++
		}
		switch where {
		case 0:
			p.ra.set(v)
		case 1:
			p.rb.set(v)
		case 2:
			p.ra.set(v)
			p.rb.set(later)
		case 3:
			p.ra.set(later)
			p.rb.set(v)
		default:
			p.ra.set(v)
			p.rb.set(v)
		}
	}
}

// converge plays rounds, each side asking in turn, until both are equal.
func (p *pair) converge(t rapid.TB, most int) (rounds int) {
	t.Helper()
	for now := int64(0); !p.equal(); now += 2 * DefaultAskEvery {
		if rounds++; rounds > most {
			t.Fatalf("not equal after %d rounds", most)
		}
		if n := p.round(t, now) + p.back(t, now); n > 6 {
			t.Fatalf("%d messages in one round", n)
		}
	}
	return rounds
}

// Whatever two registries hold, they become equal in a bounded number of rounds, each of few messages.
func TestRepairConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPair(rapid.Uint64().Draw(t, "seed"))
		entries := rapid.SampledFrom([]int{3, 60, 510}).Draw(t, "entries")
		suffix := strings.Repeat("n", rapid.SampledFrom([]int{0, 20, 55}).Draw(t, "suffix"))
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "state"), 0))
		p.fill(random, entries, rapid.IntRange(1, 100).Draw(t, "share"), suffix)
		p.converge(t, 10+entries/5)
	})
}

// Also where a bucket is larger than a message, as in a fleet as large as can be, with the longest names.
func TestRepairConvergesWithLargeBuckets(t *testing.T) {
	p := newPair(5)
	p.fill(rand.New(rand.NewPCG(1, 1)), fleet.MaxMembers, 20, strings.Repeat("n", fleet.MaxName-4))
	rounds := p.converge(t, 1_000)
	t.Logf("%d entries, a fifth of them different: %d rounds", fleet.MaxMembers, rounds)
}

// Nobody is asked more often than once each AskEvery, whoever reports what, and not much less often.
func TestRepairAskRate(t *testing.T) {
	for _, every := range []int64{0, 300_000, 1, math.MaxInt64} {
		r := NewRepair(RepairConfig{Self: "self", AskEvery: every, Seed: 3}, newFakeRegistry())
		every = bounded(every, DefaultAskEvery, maxAskEvery)
		var asks []int64
		for now := int64(0); now < 100_000_000; now += 10_000 {
			var out fleet.Out
			r.Root(now, fmt.Sprint("peer-", now%7), uint64(1+now), &out)
			if len(out.Send) > 0 {
				asks = append(asks, now)
			}
		}
		gap := int64(math.MaxInt64)
		for i := range asks[1:] {
			gap = min(gap, asks[i+1]-asks[i])
		}
		least := 100_000_000 / max(10_000, every+every/jitterShare+10_000)
		if gap < every || int64(len(asks)) < least || figuresOf(t, r.Figures)["repair_asks"] != uint64(len(asks)) {
			t.Errorf("every %d: %d asks, %d apart at the least", every, len(asks), gap)
		}
	}
}

// At the ends of time nothing overflows.
func TestRepairExtremeTimes(t *testing.T) {
	r := NewRepair(RepairConfig{Self: "self"}, newFakeRegistry())
	asked := 0
	for _, now := range []int64{math.MinInt64, math.MinInt64 + 1, 0, 1, math.MaxInt64 - 1, math.MaxInt64 - 1} {
		var out fleet.Out
		r.Root(now, "peer", 9, &out)
		asked += len(out.Send)
	}
	if asked != 3 || r.Next() != math.MaxInt64 {
		t.Errorf("%d asks", asked)
	}
}

// An answer counts once, and only from the one that was asked last; it has the module do nothing otherwise.
func TestRepairUnasked(t *testing.T) {
	r := NewRepair(RepairConfig{Self: "self"}, newFakeRegistry())
	answer := (&repairMessage{Type: typeVersions, Versions: []listedVersion{{"x", 1, 1}}}).encode()
	from := func(peer string) int {
		var out fleet.Out
		r.Message(0, fleet.Message{Kind: fleet.Repair, From: peer, To: "self", Body: answer}, &out)
		return len(out.Send) + len(out.Pass)
	}
	if from("peer") != 0 {
		t.Error("an answer to nothing counted")
	}
	var out fleet.Out
	r.Root(0, "self", 7, &out)
	r.Root(0, "", 7, &out)
	r.Root(0, "peer", 7, &out)
	if len(out.Send) != 1 || from("other") != 0 || from("peer") != 1 || from("peer") != 0 {
		t.Errorf("%+v", out)
	}
	if got := figuresOf(t, r.Figures)["repair_unasked"]; got != 3 {
		t.Errorf("%d answers to nothing", got)
	}
}

// Of what is wanted each known entry is passed once; messages of nobody or of the process itself are bad ones.
func TestRepairWanted(t *testing.T) {
	registry := newFakeRegistry()
	registry.set(fleet.Version{Name: "x", Incarnation: 1, Version: 1})
	registry.set(fleet.Version{Name: "y", Incarnation: 1, Version: 1})
	r := NewRepair(RepairConfig{Self: "self"}, registry)
	want := (&repairMessage{Type: typeWant, Names: []string{"y", "unknown", "x", "y"}}).encode()
	var out fleet.Out
	for _, from := range []string{"peer", "self", "", strings.Repeat("p", fleet.MaxName+1)} {
		r.Message(0, fleet.Message{Kind: fleet.Repair, From: from, To: "self", Body: want}, &out)
	}
	passed := []fleet.PassedEntry{{To: "peer", Name: "x"}, {To: "peer", Name: "y"}}
	if !slices.Equal(out.Pass, passed) || len(out.Send) != 0 {
		t.Errorf("%+v", out)
	}
	if got := figuresOf(t, r.Figures); got["repair_passed"] != 2 || got["repair_bad_messages"] != 3 {
		t.Errorf("%v", got)
	}
}

// One message has a bounded number of entries passed and asked for, whatever differs.
func TestRepairIsBounded(t *testing.T) {
	registry := newFakeRegistry()
	for i := range fleet.MaxMembers {
		registry.set(fleet.Version{Name: fmt.Sprint("member-", i), Incarnation: 1, Version: 2})
	}
	r := NewRepair(RepairConfig{Self: "self"}, registry)
	hear := func(m *repairMessage) fleet.Out {
		var out fleet.Out
		r.nextAsk = math.MinInt64
		r.Root(0, "peer", 1, &fleet.Out{})
		r.Message(0, fleet.Message{Kind: fleet.Repair, From: "peer", To: "self", Body: m.encode()}, &out)
		checkOut(t, &out)
		return out
	}
	all := hear(&repairMessage{Type: typeVersions, Covered: math.MaxUint64})
	older := &repairMessage{Type: typeVersions}
	newer := &repairMessage{Type: typeVersions}
	for i := range 50 {
		older.add([]fleet.Version{{Name: fmt.Sprint("member-", i), Incarnation: 1, Version: 1}})
		newer.add([]fleet.Version{{Name: fmt.Sprint("m", i), Incarnation: 1, Version: 1}})
	}
	passed := hear(older)
	if len(all.Pass) != MaxPassed || len(passed.Pass) != MaxPassed {
		t.Errorf("%d and %d entries passed", len(all.Pass), len(passed.Pass))
	}
	wanted := hear(newer)
	if len(wanted.Send) != 1 || figuresOf(t, r.Figures)["repair_wanted"] != MaxPassed {
		t.Errorf("%+v", wanted)
	}
	answered := hear(&repairMessage{Type: typeAsk, Buckets: make([]byte, fleet.DigestBuckets*bucketBytes)})
	if len(answered.Send) != 1 {
		t.Fatalf("%+v", answered)
	}
	if size := len(answered.Send[0].Body); size > fleet.MaxBody || size < fleet.MaxBody*8/10 {
		t.Errorf("an answer of %d bytes", size)
	}
}

// What cannot stand in a message is left out of one.
func TestRepairLeavesOut(t *testing.T) {
	registry := newFakeRegistry()
	for _, v := range []listedVersion{
		{"", 1, 1},
		{"zero", 0, 1},
		{"none", 1, 0},
		{"huge", maxNumber + 1, 1},
		{"no\xfftext", 1, 1},
		{strings.Repeat("l", fleet.MaxName+1), 1, 1},
		{"good", 1, 1},
	} {
		registry.set(fleet.Version(v))
	}
	r := NewRepair(RepairConfig{Self: "self"}, registry)
	m, err := decodeRepair(r.list(math.MaxUint64).encode())
	if err != nil || len(m.Versions) != 1 || m.Versions[0].Name != "good" || m.Covered != math.MaxUint64 {
		t.Errorf("%v: %+v", err, m)
	}
}

func BenchmarkRepairRound(b *testing.B) {
	p := newPair(1)
	for i := range 1_020 {
		v := fleet.Version{Name: fmt.Sprint("member-", i), Incarnation: 1_700_000_000_000_000, Version: 9}
		p.ra.set(v)
		v.Version += uint64(i % 2)
		p.rb.set(v)
	}
	root, buckets := p.rb.Digest()
	ask := fleet.Message{From: "b", Body: (&repairMessage{Type: typeAsk, Buckets: encodeBuckets(&buckets)}).encode()}
	for b.Loop() {
		var out fleet.Out
		p.a.nextAsk = 0
		p.a.Root(0, "b", root, &out)
		p.a.Message(0, ask, &out)
		p.b.asked = "a"
		p.b.Message(0, out.Send[1], &out)
	}
}
