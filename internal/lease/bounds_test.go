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

// check ends a test unless something is so.
func check(t *testing.T, ok bool, format string, args ...any) {
	t.Helper()
	if !ok {
		t.Fatalf(format, args...)
	}
}

// as returns an error of its type out of a chain, or ends the test.
func as[E error](t *testing.T, err error) E {
	t.Helper()
	var e E
	if !errors.As(err, &e) {
		t.Fatalf("%T (%v), want %T", err, err, e)
	}
	return e
}

var live = flag.Int("lease.live", 50, "how many seeds are played for the times to a grant")

// With a majority connected and no faults a free thing is granted within so many round trips; after a holder's death within a
// lease, the drift and the rest of those who wait. A fifth of the plays lack two of the five electors.
func TestTimes(t *testing.T) {
	const lease, delay = 3_000_000, 1_000 // 0.5 to 1.5 ms a way: a round trip is 3 ms at the most
	var first, again, death, released []float64
	for seed := range uint64(*live) {
		rng := rand.New(rand.NewPCG(seed, 99))
		names := roster(9)
		w := newWorld(seed, names, Config{Names: names, Lease: lease, Drift: 0.01}, doctor{})
		w.things, w.delay = []string{"a"}, delay
		for _, q := range w.procs {
			w.start(q)
		}
		electors := Electors("a", names, 5)
		var others []string
		for _, n := range names {
			if !slices.Contains(electors, n) {
				others = append(others, n)
			}
		}
		w.run(lease * 1.1)
		if seed%5 == 0 {
			w.stop(w.proc(electors[0]))
			w.stop(w.proc(electors[1]))
		}
		granted := func(from float64) float64 {
			for n := w.grants; w.grants == n && w.now < from+3*lease; {
				w.run(100)
			}
			return w.now - from
		}
		w.claim(others[0], "a")
		first = append(first, granted(w.now)/(3*delay))
		w.release(others[0], "a")
		w.run(1e6)
		w.claim(others[1], "a")
		again = append(again, granted(w.now)/(3*delay))
		w.claim(others[2], "a")
		w.claim(others[3], "a")
		w.run(float64(rng.IntN(5 * lease)))
		w.release(others[1], "a")
		released = append(released, granted(w.now)/1000)
		w.run(float64(rng.IntN(5 * lease)))
		for _, name := range others[2:4] {
			if _, ok := w.held(name, "a"); ok {
				w.claim(others[0], "a")
				w.run(1e6)
				w.stop(w.proc(name))
				break
			}
		}
		death = append(death, granted(w.now)/lease)
		check(t, w.broken == "", "seed %d: %s", seed, w.broken)
	}
	tell := func(what string, xs []float64, most float64) {
		slices.Sort(xs)
		t.Logf("%s: median %.2f, 99th of a hundred %.2f, most %.2f", what, xs[len(xs)/2], xs[len(xs)*99/100], xs[len(xs)-1])
		check(t, xs[len(xs)-1] <= most, "%s: over %.2f", what, most)
	}
	tell("a thing that is new to all, in round trips", first, 6)
	tell("a thing that is known, in round trips", again, 4)
	tell("after a release, of two that wait, in ms", released, 1500)
	tell("after a holder's death, of two that wait, in leases", death, 1.35)
}

func TestRosters(t *testing.T) {
	p := New(Config{Self: "p1", Roster: 1, Names: roster(5), Lease: 1_000_000})
	p.Start(0, &fleet.Out{})
	check(t, p.SetRoster(1, 1, roster(5)) == nil, "the same roster again")
	as[*RosterEmptyError](t, p.SetRoster(1, 1, roster(6)))
	as[*RosterEmptyError](t, p.SetRoster(1, 2, nil))
	as[*RosterEmptyError](t, p.SetRoster(1, 2, []string{"x", "x"}))
	as[*RosterSkipError](t, p.SetRoster(1, 3, roster(6)))
	check(t, p.SetRoster(1, 2, roster(6)) == nil, "the next roster")
	young := as[*RosterYoungError](t, p.SetRoster(1_000_000, 3, roster(7)))
	check(t, young.Left == 10_001, "%d us are left", young.Left)
	check(t, p.SetRoster(1_010_001, 3, roster(7)) == nil, "the next one, once a lease is over")
	as[*RosterSkipError](t, p.SetRoster(3_000_000, 2, roster(6)))
	known, _ := p.Roster()
	check(t, known == 3, "roster %d", known)
}

// What an elector keeps is bounded; what it forgets it learns again before it votes, and no fence goes back.
func TestThingsAreBounded(t *testing.T) {
	names := roster(5)
	w := newWorld(1, names, Config{Names: names, Lease: 100_000, Drift: 0.01, MaxThings: 8, Keep: 1_000_000}, doctor{})
	for _, q := range w.procs {
		w.start(q)
	}
	w.run(110_000)
	for round := range 3 {
		for i := range 20 {
			thing := fmt.Sprint("t", i)
			if round == 0 || i < 8 {
				w.things = append(w.things[:min(len(w.things), i)], thing)
			}
			w.claim("p1", thing)
			w.run(50_000)
			g, ok := w.held("p1", thing)
			check(t, ok == (i < 8), "round %d: %s, %+v", round, thing, g)
			for _, q := range w.procs {
				check(t, len(q.part.things) <= 8, "%d things", len(q.part.things))
			}
		}
		for i := range 20 {
			w.release("p1", fmt.Sprint("t", i))
		}
		w.run(2_000_000)
	}
	check(t, w.broken == "", "%s", w.broken)
}

func TestErrorsAdvise(t *testing.T) {
	seen := map[string]bool{}
	for _, e := range Errors {
		check(t, e.Error() != "" && len(advice.Of(fmt.Errorf("wrapped: %w", e))) > 20 && !seen[fmt.Sprintf("%T", e)], "%T", e)
		seen[fmt.Sprintf("%T", e)] = true
	}
	p := New(Config{Self: "p1", Names: roster(1)})
	_, err := p.Write(0, "a", make([]byte, MaxRecord+1), &fleet.Out{})
	as[*RecordSizeError](t, err)
	_, err = p.Write(0, "a", nil, &fleet.Out{})
	as[*NotHeldError](t, err)
}

// Whatever comes in a datagram, nothing of it that is out of bounds gets in, and what gets in can be sent on.
func FuzzDecode(f *testing.F) {
	f.Add(encode(&body{Type: typHold, Thing: "a", Roster: 1, Life: 2, Fence: 3, Seq: 4, RecFence: 3, Write: 5, Value: []byte("v")}))
	f.Add(encode(&body{Type: typKnown, Thing: "a", Roster: 1, Holder: "p2", HolderLife: 7, Over: true, Ready: 1, Gen: 2, Young: 9, Left: 8}))
	f.Add(encode(map[int]any{1: 1, 2: "a", 3: 1, 5: 1, 99: "of a newer version"}))
	f.Add([]byte{0xbf, 0x01, 0x02, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		b, err := decode(raw)
		if err != nil {
			if !errors.As(err, new(*BodyError)) {
				t.Errorf("%T", err)
			}
		} else if n := len(encode(&b)); n > fleet.MaxBody {
			t.Errorf("%d bytes from %d", n, len(raw))
		}
		readTold(raw)
		p := New(Config{Self: "p1", Names: roster(3), Lease: 1000})
		p.Start(0, &fleet.Out{})
		p.Claim(5_000, "a", &fleet.Out{})
		p.Message(5_001, fleet.Message{Kind: fleet.Lease, From: "p2", To: "p1", Body: raw}, &fleet.Out{})
		if _, ok := p.Held(5_002, "a"); ok {
			t.Error("one message made a holder")
		}
	})
}

func TestUnknownKeysArePassedOver(t *testing.T) {
	b, err := decode(encode(map[int]any{1: 1, 2: "a", 3: 1, 5: 7, 99: "of a newer version"}))
	check(t, err == nil && b.Fence == 7, "%v: %+v", err, b)
	_, err = decode(encode(&body{Type: typClaim, Thing: "a", Roster: 1, Fence: 1 << 63}))
	as[*BodyError](t, err)
	// The longest message and the longest part of an entry fit.
	name := string(make([]byte, MaxName))
	big := body{9, name, maxNumber, 1<<64 - 1, maxNumber, 1<<64 - 1, maxNumber, maxNumber, make([]byte, MaxRecord), name, 1<<64 - 1, true, 9, maxSpan, maxSpan,
		maxNumber, 1<<64 - 1, maxNumber, []uint64{1<<64 - 1, 1<<64 - 1, 1<<64 - 1, 1<<64 - 1, 1<<64 - 1}}
	check(t, len(encode(&big)) <= fleet.MaxBody, "%d bytes", len(encode(&big)))
	full := told{High: maxNumber}
	for range maxHints {
		full.Held = append(full.Held, heldHint{name, maxNumber})
	}
	check(t, len(encode(&full)) <= fleet.MaxBody, "%d bytes", len(encode(&full)))
}
