package lease

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pewterwheel/internal/advice"
	"pewterwheel/internal/fleet"
)

// require fails the test unless the condition holds.
func require(t *testing.T, ok bool, format string, args ...any) {
	t.Helper()
	if !ok {
		t.Fatalf(format, args...)
	}
}

// requireErrorAs returns the error of type E in the chain of err, or fails the test.
func requireErrorAs[E error](t *testing.T, err error) E {
	t.Helper()
	var e E
	if !errors.As(err, &e) {
		t.Fatalf("%T (%v), want %T", err, err, e)
	}
	return e
}

var timingSeeds = flag.Int("lease.live", 50, "number of seeds for the test of grant times")

// Checks the time to a grant with a majority connected and no faults: a bounded number of round trips for a free
// resource; after the death of a holder, one lease plus the drift and the back-off of the waiting claimants. In a fifth
// of the runs two of the five electors are stopped.
func TestGrantTimes(t *testing.T) {
	const lease, delay = 3_000_000, 1_000 // 0.5 to 1.5 ms one way: a round trip takes at most 3 ms
	var firstGrant, secondGrant, afterDeath, afterRelease []float64
	for seed := range uint64(*timingSeeds) {
		rng := rand.New(rand.NewPCG(seed, 99))
		names := rosterOf(9)
		sim := newSimulation(seed, names, Config{Names: names, Lease: lease, Drift: 0.01}, testOverrides{})
		sim.resources, sim.delay = []string{"a"}, delay
		for _, proc := range sim.processes {
			sim.start(proc)
		}
		electors := Electors("a", names, 5)
		var others []string
		for _, n := range names {
			if !slices.Contains(electors, n) {
				others = append(others, n)
			}
		}
		sim.run(lease * 1.1)
		if seed%5 == 0 {
			sim.stop(sim.process(electors[0]))
			sim.stop(sim.process(electors[1]))
		}
		timeToGrant := func(from float64) float64 {
			for n := sim.grants; sim.grants == n && sim.now < from+3*lease; {
				sim.run(100)
			}
			return sim.now - from
		}
		sim.claim(others[0], "a")
		firstGrant = append(firstGrant, timeToGrant(sim.now)/(3*delay))
		sim.release(others[0], "a")
		sim.run(1e6)
		sim.claim(others[1], "a")
		secondGrant = append(secondGrant, timeToGrant(sim.now)/(3*delay))
		sim.claim(others[2], "a")
		sim.claim(others[3], "a")
		sim.run(float64(rng.IntN(5 * lease)))
		sim.release(others[1], "a")
		afterRelease = append(afterRelease, timeToGrant(sim.now)/1000)
		sim.run(float64(rng.IntN(5 * lease)))
		for _, name := range others[2:4] {
			if _, ok := sim.held(name, "a"); ok {
				sim.claim(others[0], "a")
				sim.run(1e6)
				sim.stop(sim.process(name))
				break
			}
		}
		afterDeath = append(afterDeath, timeToGrant(sim.now)/lease)
		require(t, sim.violation == "", "seed %d: %s", seed, sim.violation)
	}
	checkMax := func(what string, xs []float64, limit float64) {
		slices.Sort(xs)
		t.Logf("%s: median %.2f, 99th percentile %.2f, maximum %.2f", what, xs[len(xs)/2], xs[len(xs)*99/100],
			xs[len(xs)-1])
		require(t, xs[len(xs)-1] <= limit, "%s: exceeds %.2f", what, limit)
	}
	checkMax("first grant of a new resource, in round trips", firstGrant, 6)
	checkMax("grant of a known resource, in round trips", secondGrant, 4)
	checkMax("after a release, with two waiting claimants, in ms", afterRelease, 1500)
	checkMax("after the death of the holder, with two waiting claimants, in leases", afterDeath, 1.35)
}

func TestSetRosterErrors(t *testing.T) {
	p := New(Config{Self: "p1", Roster: 1, Names: rosterOf(5), Lease: 1_000_000})
	p.Start(0, &fleet.Out{})
	require(t, p.SetRoster(1, 1, rosterOf(5)) == nil, "the same roster was rejected")
	requireErrorAs[*InvalidRosterError](t, p.SetRoster(1, 1, rosterOf(6)))
	requireErrorAs[*InvalidRosterError](t, p.SetRoster(1, 2, nil))
	requireErrorAs[*InvalidRosterError](t, p.SetRoster(1, 2, []string{"x", "x"}))
	requireErrorAs[*RosterSequenceError](t, p.SetRoster(1, 3, rosterOf(6)))
	require(t, p.SetRoster(1, 2, rosterOf(6)) == nil, "the next roster was rejected")
	young := requireErrorAs[*RosterChangeError](t, p.SetRoster(1_000_000, 3, rosterOf(7)))
	require(t, young.Left == 10_001, "%d us left", young.Left)
	require(t, p.SetRoster(1_010_001, 3, rosterOf(7)) == nil, "the next roster was rejected after a lease had passed")
	requireErrorAs[*RosterSequenceError](t, p.SetRoster(3_000_000, 2, rosterOf(6)))
	known, _ := p.Roster()
	require(t, known == 3, "roster %d", known)
}

// The state of an elector is bounded; evicted state is learned again before the next vote, and no fence goes back.
func TestElectorStateIsBounded(t *testing.T) {
	names := rosterOf(5)
	sim := newSimulation(1, names, Config{Names: names, Lease: 100_000, Drift: 0.01, MaxResources: 8,
		EvictAfter: 1_000_000},
		testOverrides{})
	for _, proc := range sim.processes {
		sim.start(proc)
	}
	sim.run(110_000)
	for round := range 3 {
		for i := range 20 {
			resource := fmt.Sprint("t", i)
			if round == 0 || i < 8 {
				sim.resources = append(sim.resources[:min(len(sim.resources), i)], resource)
			}
			sim.claim("p1", resource)
			sim.run(50_000)
			g, ok := sim.held("p1", resource)
			require(t, ok == (i < 8), "round %d: %s, %+v", round, resource, g)
			for _, proc := range sim.processes {
				require(t, len(proc.part.resources) <= 8, "%d resources", len(proc.part.resources))
			}
		}
		for i := range 20 {
			sim.release("p1", fmt.Sprint("t", i))
		}
		sim.run(2_000_000)
	}
	require(t, sim.violation == "", "%s", sim.violation)
}

func TestErrorsGiveAdvice(t *testing.T) {
	seen := map[string]bool{}
	for _, e := range Errors {
		require(t, e.Error() != "" && len(advice.Of(fmt.Errorf("wrapped: %w", e))) > 20 && !seen[fmt.Sprintf("%T", e)],
			"%T", e)
		seen[fmt.Sprintf("%T", e)] = true
	}
	p := New(Config{Self: "p1", Names: rosterOf(1)})
	_, err := p.Write(0, "a", make([]byte, MaxRecord+1), &fleet.Out{})
	requireErrorAs[*RecordSizeError](t, err)
	_, err = p.Write(0, "a", nil, &fleet.Out{})
	requireErrorAs[*NotHeldError](t, err)
}

// No datagram may get a value out of bounds past decode, and every decoded message can be encoded again.
func FuzzDecode(f *testing.F) {
	f.Add(encode(&body{Type: typHold, Thing: "a", Roster: 1, Incarnation: 2, Fence: 3, Seq: 4, RecordFence: 3, Write: 5,
		Value: []byte("v")}))
	f.Add(encode(&body{Type: typKnown, Thing: "a", Roster: 1, Holder: "p2", HolderIncarnation: 7, Released: true,
		ReadyRoster: 1, Generation: 2, BothMajoritiesFor: 9, RetryAfter: 8}))
	f.Add(encode(map[int]any{1: 1, 2: "a", 3: 1, 5: 1, 99: "of a newer version"}))
	f.Add([]byte{0xbf, 0x01, 0x02, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		b, err := decode(raw)
		if err != nil {
			if !errors.As(err, new(*MessageError)) {
				t.Errorf("%T", err)
			}
		} else if n := len(encode(&b)); n > fleet.MaxBody {
			t.Errorf("%d bytes from %d", n, len(raw))
		}
		decodeEntryPart(raw)
		p := New(Config{Self: "p1", Names: rosterOf(3), Lease: 1000})
		p.Start(0, &fleet.Out{})
		p.Claim(5_000, "a", &fleet.Out{})
		p.Message(5_001, fleet.Message{Kind: fleet.Lease, From: "p2", To: "p1", Body: raw}, &fleet.Out{})
		if _, ok := p.Held(5_002, "a"); ok {
			t.Error("a single message led to a grant")
		}
	})
}

func TestDecodeIgnoresUnknownKeys(t *testing.T) {
	b, err := decode(encode(map[int]any{1: 1, 2: "a", 3: 1, 5: 7, 99: "of a newer version"}))
	require(t, err == nil && b.Fence == 7, "%v: %+v", err, b)
	_, err = decode(encode(&body{Type: typClaim, Thing: "a", Roster: 1, Fence: 1 << 63}))
	requireErrorAs[*MessageError](t, err)
	// The longest message and the longest entry part fit.
	name := string(make([]byte, MaxName))
	big := body{9, name, maxNumber, 1<<64 - 1, maxNumber, 1<<64 - 1, maxNumber, maxNumber, make([]byte, MaxRecord),
		name, 1<<64 - 1, true, 9, maxDuration, maxDuration,
		maxNumber, 1<<64 - 1, maxNumber, []uint64{1<<64 - 1, 1<<64 - 1, 1<<64 - 1, 1<<64 - 1, 1<<64 - 1}}
	require(t, len(encode(&big)) <= fleet.MaxBody, "%d bytes", len(encode(&big)))
	full := entryPart{HighestFence: maxNumber}
	for range maxHints {
		full.Held = append(full.Held, heldLease{name, maxNumber})
	}
	require(t, len(encode(&full)) <= fleet.MaxBody, "%d bytes", len(encode(&full)))
}
