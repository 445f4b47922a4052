package dissemination

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"pewterwheel/internal/fleet"
)

// filled returns a registry of so many entries, their names made by a format from their numbers.
func filled(entries int, format string) *fakeRegistry {
	registry := newFakeRegistry()
	for i := range entries {
		registry.set(fleet.Version{Name: fmt.Sprintf(format, i), Incarnation: 1, Version: 2})
	}
	return registry
}

// answers returns what a member says to so many asks that differ in every bucket.
func answers(t *testing.T, registry *fakeRegistry, asks int) (messages []repairMessage) {
	t.Helper()
	r := NewRepair(RepairConfig{Self: "self", Seed: 4}, registry)
	for range asks {
		raw := r.list(math.MaxUint64).encode()
		m, err := decodeRepair(raw)
		if err != nil || len(m.Versions) == 0 {
			t.Fatalf("%d bytes: %v: %+v", len(raw), err, m)
		}
		messages = append(messages, m)
	}
	return messages
}

// checkListed holds an answer against the registry: buckets stand in it whole or not at all, but for a part of one,
// which stands there alone.
func checkListed(t *testing.T, registry *fakeRegistry, m *repairMessage) {
	t.Helper()
	listed := [fleet.DigestBuckets]int{}
	buckets := map[int]bool{}
	for _, v := range m.Versions {
		bucket := bucketOf(v.Name)
		listed[bucket]++
		buckets[bucket] = true
		if got, known := registry.Newest(v.Name); !known || got != fleet.Version(v) {
			t.Errorf("%+v is listed, and known as %+v", v, got)
		}
	}
	for bucket, names := range registry.names {
		whole := m.Covered&(1<<bucket) != 0
		if whole && listed[bucket] != len(names) || !whole && listed[bucket] != 0 && len(buckets) > 1 {
			t.Errorf("bucket %d: %d of %d are listed, covered %v", bucket, listed[bucket], len(names), whole)
		}
	}
}

// Repeated answers name every entry sooner or later, whatever the size of fleet and names, and each can be read.
func TestAnswersCoverAll(t *testing.T) {
	long := "%04d" + strings.Repeat("n", fleet.MaxName-4)
	for _, fleetOf := range []struct {
		entries int
		format  string
		asks    int
	}{
		{3, "%x", 20},
		{3, long, 20},
		{510, "%x", 80},
		{510, "sidecar-%d", 200},
		{1_020, "sidecar-%d", 300},
		{1_020, long, 600},
		{fleet.MaxMembers, long, 2_000},
	} {
		registry := filled(fleetOf.entries, fleetOf.format)
		named := map[string]bool{}
		for _, m := range answers(t, registry, fleetOf.asks) {
			checkListed(t, registry, &m)
			for _, v := range m.Versions {
				named[v.Name] = true
			}
		}
		if len(named) < fleetOf.entries*99/100 {
			t.Errorf("%+v: only %d were named", fleetOf, len(named))
		}
	}
}

// A list of the shortest versions ends at the most elements that are read, whole buckets or a part of one.
func TestAnswersOfShortNames(t *testing.T) {
	for _, m := range answers(t, filled(1_000, "%x"), 100) {
		if len(m.Versions) > maxListed {
			t.Errorf("%d versions", len(m.Versions))
		}
	}
	one := newFakeRegistry()
	for i := 0; len(one.versions) < 2*maxListed; i++ {
		if name := fmt.Sprintf("%x", i); bucketOf(name) == 0 {
			one.set(fleet.Version{Name: name, Incarnation: 1, Version: 1})
		}
	}
	for _, m := range answers(t, one, 100) {
		if len(m.Versions) != maxListed || m.Covered&1 != 0 {
			t.Errorf("%d versions, covered %x", len(m.Versions), m.Covered)
		}
	}
	if versionsFault(make([]listedVersion, maxListed+1)) != BadCount {
		t.Error("a list that is too long passes")
	}
}

// hear has a module, which has just asked, take a message, and returns what it does.
func hear(t *testing.T, r *Repair, m *repairMessage) fleet.Out {
	t.Helper()
	r.nextAsk = math.MinInt64
	r.Root(0, "peer", 1, &fleet.Out{})
	var out fleet.Out
	r.Message(0, fleet.Message{Kind: fleet.Repair, From: "peer", To: "self", Body: m.encode()}, &out)
	checkOut(t, &out)
	return out
}

// What is older and what is missing at the peer are bounded together; the longest names asked for fit a message.
func TestRepairBoundsOneAnswer(t *testing.T) {
	r := NewRepair(RepairConfig{Self: "self"}, filled(fleet.MaxMembers, "member-%d"))
	older := &repairMessage{Type: typeVersions, Covered: math.MaxUint64}
	for i := range MaxPassed / 2 {
		older.add([]fleet.Version{{Name: fmt.Sprint("member-", i), Incarnation: 1, Version: 1}})
	}
	if out := hear(t, r, older); len(out.Pass) != MaxPassed {
		t.Errorf("%d entries passed", len(out.Pass))
	}
	unknown := &repairMessage{Type: typeVersions}
	name := "%02d" + strings.Repeat("x", fleet.MaxName-2)
	const listed = 14
	for i := range listed {
		unknown.add([]fleet.Version{{Name: fmt.Sprintf(name, i), Incarnation: 1, Version: 1}})
	}
	if out := hear(t, r, unknown); len(out.Send) != 1 {
		t.Errorf("%+v", out)
	}
	if got := figuresOf(t, r.Figures)["repair_wanted"]; got != listed {
		t.Errorf("%d wanted", got)
	}
	var out fleet.Out
	var names []string
	for i := range MaxPassed {
		names = append(names, fmt.Sprintf(name, i))
	}
	r.want("peer", names, &out)
	checkOut(t, &out)
	m, err := decodeRepair(out.Send[0].Body)
	if err != nil || len(m.Names) < 15 || len(m.Names) == MaxPassed {
		t.Errorf("%v: %d names", err, len(m.Names))
	}
}

// Members that hear of a difference at the same time do not ask in step for long.
func TestRepairJitter(t *testing.T) {
	at := map[int64]int{}
	for seed := range uint64(100) {
		r := NewRepair(RepairConfig{Self: "self", Seed: seed}, newFakeRegistry())
		for now := int64(0); now < 5*DefaultAskEvery; now += 1_000 {
			var out fleet.Out
			r.Root(now, "peer", 1, &out)
			if len(out.Send) > 0 && now > 3*DefaultAskEvery {
				at[now/10_000]++
			}
		}
	}
	for slot, asks := range at {
		if asks > 20 {
			t.Errorf("%d of 100 members ask within the hundredth of a second %d", asks, slot)
		}
	}
}
