package keeper

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pewterwheel/decide"
	"pewterwheel/internal/fleet"
	"pewterwheel/internal/lease"
)

// fakeDecider is the decider behind a Front in tests: it sends or refuses as configured, and checks the events it
// receives.
type fakeDecider struct {
	t       interface{ Fatalf(string, ...any) }
	seen    map[decide.CallID]bool
	refuses bool
	repeats bool // repeats a failed attempt
}

func (n *fakeDecider) Avoids(decide.ServerID) bool { return false }

func (n *fakeDecider) Step(_ int64, e decide.Event, out []decide.Action) []decide.Action {
	switch e.Kind {
	case decide.Order:
		n.seen[e.Call] = true
		if n.refuses {
			return append(out, decide.Action{Kind: decide.Refuse, Call: e.Call})
		}
		return append(out, decide.Action{Kind: decide.Send, Call: e.Call})
	case decide.Over, decide.Fired:
		n.t.Fatalf("the inner decider receives event %v, token %x", e.Kind, e.Token)
	case decide.Ended:
		if !e.Final && n.repeats {
			return append(out, decide.Action{Kind: decide.Send, Call: e.Call})
		} else if !e.Final {
			out = append(out, decide.Action{Kind: decide.Fail, Call: e.Call})
		}
	case decide.Begun: // may come for a call whose caller has gone and which was answered in the same round
		if !n.seen[e.Call] {
			n.t.Fatalf("the inner decider receives an event for unknown call %d", e.Call)
		}
	}
	return out
}

const contendedKey, uncontendedKey = "0800111", "0300222"

func settings() decide.Settings {
	return decide.Settings{Classes: []decide.Class{{Aim: 500_000, Deadline: 2_000_000}}, RetryAdvice: true, MaxRetryAfter: 5_000_000}
}

// For any sequence of events: each call gets at most one final answer, each admitted call has a permit or uses the
// fallback share, no permit is used twice, and no line is held once all calls are over.
func TestFrontLines(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table, queue := NewTable(), NewQueue(64)
		in := &fakeDecider{t: rt, seen: map[decide.CallID]bool{}}
		f := NewFront(Config{Self: "a"}, settings(), in, table, queue)
		s := newTableEntry(contendedKey)
		s.fence.Store(3)
		s.keeperUnreachable.Store(false)
		table.replace(map[uint64]*tableEntry{s.hash: s})
		now, id := int64(10_000_000), decide.CallID(0)
		state := map[decide.CallID]string{} // waiting, out, stands, gone (its attempt still out)
		permits, passed := 0, 0
		armed := false
		do := func(e decide.Event) {
			for _, a := range f.Step(now, e, nil) {
				switch a.Kind {
				case decide.Send:
					switch state[a.Call] {
					case "waiting":
						passed++
						state[a.Call] = "out"
					case "going": // admitted at the moment when its caller left
						passed++
						state[a.Call] = "gone"
					}
				case decide.Refuse, decide.Fail:
					if st := state[a.Call]; st != "waiting" && st != "out" && st != "going" {
						rt.Fatalf("call %d gets a final answer in state %q", a.Call, st)
					}
					delete(state, a.Call)
				case decide.Timer:
					armed = true
				}
			}
		}
		pick := func(want ...string) (decide.CallID, bool) {
			var ids []decide.CallID
			for id, st := range state {
				if slices.Contains(want, st) {
					ids = append(ids, id)
				}
			}
			if len(ids) == 0 {
				return 0, false
			}
			slices.Sort(ids)
			return rapid.SampledFrom(ids).Draw(rt, "call"), true
		}
		end := func(id decide.CallID, busy bool) {
			gone := state[id] == "gone"
			e := decide.Event{Kind: decide.Ended, Call: id, Outcome: decide.Failed, Busy: busy, Key: contendedKey, Final: gone}
			if gone {
				delete(state, id)
			}
			do(e)
		}
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			now += int64(rapid.IntRange(0, 9_000).Draw(rt, "later"))
			if armed && rapid.Bool().Draw(rt, "fires") {
				armed = false
				do(decide.Event{Kind: decide.Fired, Token: timerToken})
			}
			switch rapid.IntRange(0, 9).Draw(rt, "what") {
			case 0, 1, 2:
				id++
				state[id] = "waiting"
				in.refuses, in.repeats = rapid.Bool().Draw(rt, "refuses"), rapid.Bool().Draw(rt, "again")
				do(decide.Event{Kind: decide.Order, Call: id, Key: contendedKey, Deadline: now + 2_000_000})
			case 3:
				n := rapid.IntRange(1, 3).Draw(rt, "permits")
				permits += n
				b := &batch{fence: 3, expiresAt: now + 20_000}
				b.remaining.Store(int64(n))
				s.addBatch(b)
			case 4:
				if rapid.Bool().Draw(rt, "none") {
					s.noPermitUntil.Store(now + 10_000)
				} else {
					s.keeperUnreachable.Store(rapid.Bool().Draw(rt, "lost"))
					s.turnoverShare.Store(500_000)
				}
			case 5:
				if id, ok := pick("out"); ok {
					state[id] = "stands"
					do(decide.Event{Kind: decide.Begun, Call: id})
				}
			case 6:
				if id, ok := pick("out", "gone"); ok {
					end(id, rapid.Bool().Draw(rt, "busy"))
				}
			case 7:
				if id, ok := pick("stands"); ok {
					delete(state, id)
					do(decide.Event{Kind: decide.Over, Call: id})
				}
			case 8:
				if id, ok := pick("waiting", "out"); ok {
					if state[id] = map[string]string{"waiting": "going", "out": "gone"}[state[id]]; state[id] == "gone" {
						do(decide.Event{Kind: decide.Gone, Call: id})
						break
					}
					if do(decide.Event{Kind: decide.Gone, Call: id}); state[id] == "going" {
						delete(state, id)
					}
				}
			case 9:
				for len(queue.reports) > 0 {
					(<-queue.reports).entry.reportQueued.Store(false)
				}
			}
			if used := passed - int(f.Counts.Fallback); used > permits {
				rt.Fatalf("%d calls admitted with %d permits", used, permits)
			}
		}
		now += 100_000
		do(decide.Event{Kind: decide.Fired, Token: timerToken})
		for id, st := range state {
			switch st {
			case "waiting":
				rt.Fatalf("call %d still waits after its deadline", id)
			case "stands":
				delete(state, id)
				do(decide.Event{Kind: decide.Over, Call: id})
			default:
				in.repeats = false
				end(id, true)
			}
		}
		if s.open.Load() != 0 || s.calls.Load() != 0 || s.waitingCount.Load() != 0 || s.fallback.Load() != 0 || len(f.calls) != 0 {
			rt.Fatalf("after all calls are over: open %d, calls %d, waiting %d, without permit %d, followed %d", s.open.Load(), s.calls.Load(), s.waitingCount.Load(),
				s.fallback.Load(), len(f.calls))
		}
	})
}

// A permit that has expired, or has a lower fence than was seen, admits no call, and a grant of such permits is not
// accepted.
func TestExpiryAndFence(t *testing.T) {
	for _, c := range []struct {
		guard string
		fence uint64
		until int64
		later int64
	}{{"expiry", 3, 900, 900}, {"fence", 2, 5000, 1}} {
		for _, guarded := range []bool{true, false} {
			cfg := Config{Self: "a"}
			if !guarded {
				cfg = cfg.Without(c.guard)
			}
			s := newTableEntry(contendedKey)
			s.fence.Store(3)
			b := &batch{fence: c.fence, expiresAt: c.until}
			b.remaining.Store(1)
			s.addBatch(b)
			if s.takePermit(1000, &cfg.disabled) == guarded {
				t.Errorf("safeguard %s on: %v; permit taken: %v", c.guard, guarded, guarded)
			}
			// The same for an answer of a keeper.
			p := newTestPart(t, cfg)
			var out fleet.Out
			p.handleAnswer(1000, "k", operation{Op: opAnswer, Key: contendedKey, Fence: 3}, &out)
			h := p.clients[contendedKey]
			p.sendReport(1000, h, &out)
			p.handleAnswer(1000+c.later, "k", operation{Op: opAnswer, Key: contendedKey, Fence: c.fence, ReportNumber: h.reportNumber, Permits: 1, Lifetime: 900}, &out)
			if took := h.entry.unusedPermits() == 1; took == guarded {
				t.Errorf("safeguard %s on: %v; grant accepted: %v", c.guard, guarded, took)
			}
		}
	}
}

// Runs the loop and the Part concurrently, for the race detector: each permit is used once, and no line is lost.
func TestLoopAndPartConcurrently(t *testing.T) {
	table, queue := NewTable(), NewQueue(16)
	p, err := New(Config{Self: "a", Lessor: &fakeLessor{}}, table, queue)
	if err != nil {
		t.Fatal(err)
	}
	var out fleet.Out
	p.handleAnswer(1, "k", operation{Op: opAnswer, Key: contendedKey, Fence: 1}, &out)
	p.flush(1, &out)
	s := p.clients[contendedKey].entry
	f := NewFront(Config{Self: "a"}, settings(), &fakeDecider{t: t, seen: map[decide.CallID]bool{}}, table, queue)
	stop, done := make(chan bool), make(chan int64)
	var clock atomic.Int64
	go func() { // the Part, and a keeper that grants one permit for each report
		given, fence := int64(0), uint64(1)
		for {
			select {
			case <-stop:
				done <- given
				return
			case <-queue.Wake():
			default:
				runtime.Gosched()
			}
			var out fleet.Out
			now := clock.Load() // both use one clock
			p.Tick(now, &out)
			h := p.clients[contendedKey]
			if h.awaitingAnswer {
				if given++; given%50 == 0 {
					fence++
				}
				p.handleAnswer(now, "k", operation{Op: opAnswer, Key: contendedKey, Fence: fence, ReportNumber: h.reportNumber, Incarnation: 0, Permits: 1, Lifetime: 100_000}, &out)
			}
		}
	}()
	for i := range 8_000 {
		now, id := int64(i)*10, decide.CallID(i)
		clock.Store(now)
		if i%16 == 0 {
			runtime.Gosched()
		}
		for _, a := range f.Step(now, decide.Event{Kind: decide.Order, Call: id, Key: contendedKey}, nil) {
			if a.Kind == decide.Send {
				f.Step(now, decide.Event{Kind: decide.Begun, Call: a.Call}, nil)
				f.Step(now, decide.Event{Kind: decide.Over, Call: a.Call}, nil)
			}
		}
	}
	close(stop)
	given := <-done
	for _, c := range f.calls {
		if !c.waiting {
			t.Error("a call that is over is still followed")
		}
	}
	if open := s.open.Load() - s.fallback.Load(); int64(f.Counts.Permitted) > given || open > int64(len(f.calls)) {
		t.Errorf("%d permits granted, %d used, %d lines open", given, f.Counts.Permitted, open)
	}
	t.Log("granted", given, "used", f.Counts.Permitted, "by fallback share", f.Counts.Fallback)
}

// fakeLessor is a lessor that grants everything.
type fakeLessor struct{ writes uint64 }

func (a *fakeLessor) Claim(int64, string, *fleet.Out)   {}
func (a *fakeLessor) Release(int64, string, *fleet.Out) {}
func (a *fakeLessor) Held(now int64, thing string) (lease.Grant, bool) {
	return lease.Grant{Fence: 1, Until: now + 4_000_000, Write: a.writes}, true
}
func (a *fakeLessor) Write(int64, string, []byte, *fleet.Out) (uint64, error) {
	a.writes++
	return a.writes, nil
}
func (a *fakeLessor) Holder(string) (string, uint64) { return "", 0 }

func newTestPart(t testing.TB, cfg Config) *Part {
	cfg.Self, cfg.Lessor = "a", &fakeLessor{}
	p, err := New(cfg, NewTable(), NewQueue(64))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// A duplicate of a report is granted no more permits, and a report older than the newest is granted none.
func TestReportOnce(t *testing.T) {
	cfg := Config{Self: "a", Lines: func(string) int { return 5 }}.withDefaults()
	b, _ := newLedger(&cfg, contendedKey, "x", 0, lease.Grant{Fence: 1})
	b.prepareRecord(1)
	b.recordStored()
	g := lease.Grant{Fence: 1, Until: 4_000_000}
	ask := func(n uint64, hold, want int64) int64 {
		q := b.applyReport(1, "p", operation{ReportNumber: n, Incarnation: 1, Held: hold, Wanted: want, Rate: 1000})
		if q == nil {
			return -1
		}
		b.answerReport(1, q, g)
		return q.granted
	}
	ask(1, 0, 1)
	b.prepareRecord(1)
	b.recordStored()
	for _, step := range []struct {
		n                uint64
		hold, want, gets int64
	}{{2, 0, 2, 2}, {2, 0, 2, 2}, {1, 0, 4, -1}, {3, 2, 9, 3}, {4, 5, 1, 0}, {5, 0, 5, 5}} {
		if got := ask(step.n, step.hold, step.want); got != step.gets {
			t.Errorf("report %d: %d permits, want %d", step.n, got, step.gets)
		}
	}
}

// No message exceeds its size bound; items that cannot be decoded or are out of bounds are counted and ignored.
func TestMessages(t *testing.T) {
	var items []operation
	for i := range 100 {
		items = append(items, operation{Op: opReport, Key: fmt.Sprintf("%032d", i), Fence: 1 << 60, ReportNumber: 1 << 60, Incarnation: 1 << 60, Held: 1 << 19,
			Unused: 1 << 19, Calls: 1 << 19, Wanted: 1 << 19, Rate: 1 << 39, Busy: 1 << 60, Began: 1 << 60, Ended: 1 << 60, Refused: 1 << 60})
	}
	var out fleet.Out
	appendMessages("a", "b", items, &out)
	var back []operation
	for _, m := range out.Send {
		got, err := decodeOperations(m)
		if len(m.Body) > fleet.MaxBody || err != nil {
			t.Fatal(len(m.Body), err)
		}
		back = append(back, got...)
	}
	if !slices.Equal(back, items) {
		t.Error("decoded items differ from the encoded ones")
	}
	p := newTestPart(t, Config{})
	for i, bad := range []operation{{Op: opAnswer, Key: ""}, {Op: opAnswer, Key: contendedKey, Permits: -1}, {Op: opAnswer, Key: contendedKey, Lifetime: 1 << 50},
		{Op: opAnswer, Key: contendedKey, Held: 1 << 30}} {
		var out fleet.Out
		appendMessages("b", "a", []operation{bad, {Op: 200, Key: contendedKey}}, &out)
		p.Message(1, out.Send[0], &out)
		if p.counts.unread != uint64(i+1) || len(p.clients) != 0 {
			t.Errorf("%+v is accepted", bad)
		}
	}
	s := entryPart{}
	for i := range 64 {
		s.Contended = append(s.Contended, contendedNumber{fmt.Sprintf("%032d", i), 1 << 39})
	}
	if n := len(s.encode()); n > fleet.MaxBody || n < fleet.MaxBody/2 {
		t.Errorf("entry part of %d bytes", n)
	}
	r := record{Lines: maxCount, Known: maxCount, Turnover: maxRate, Outstanding: maxCount}
	var hs []holder
	for i := range maxHolders {
		hs = append(hs, holder{uint32(i), maxHolderLines})
	}
	r.setHolders(hs)
	got, err := decodeRecord(contendedKey, r.encode())
	if err != nil || len(got.holders()) != maxHolders || len(r.encode()) > lease.MaxRecord {
		t.Errorf("record of %d bytes is decoded as %v, %v", len(r.encode()), got, err)
	}
}

func FuzzMessage(f *testing.F) {
	var out fleet.Out
	appendMessages("b", "a", []operation{{Op: opReport, Key: contendedKey, Fence: 1, ReportNumber: 1, Wanted: 1}, {Op: opAnswer, Key: contendedKey, Fence: 9, Permits: 2}}, &out)
	f.Add(out.Send[0].Body)
	f.Fuzz(func(t *testing.T, body []byte) {
		p := newTestPart(t, Config{})
		var out fleet.Out
		p.Message(1, fleet.Message{Kind: fleet.Keeper, From: "b", To: "a", Body: body}, &out)
		_, _ = decodeEntryPart("b", body)
		_, _ = decodeRecord(contendedKey, body)
	})
}

// Compares the sketch with a plain map, on numbers drawn from a Zipf distribution and on 100,000 numbers of which
// changing ones are requested most.
func TestSketch(t *testing.T) {
	if raceEnabled {
		t.Skip("sizes and times without the race detector")
	}
	const top = 20
	zipf := rand.NewZipf(rand.New(rand.NewPCG(1, 2)), 1.1, 4, 99_999)
	turns := rand.New(rand.NewPCG(3, 4))
	// In the stream "turns" a hundred numbers are requested most for 20 s, then the next hundred; half of the calls
	// go to any number.
	streams := map[string]func(i int) int{
		"zipf": func(int) int { return int(zipf.Uint64()) },
		"turns": func(i int) int {
			if turns.IntN(2) == 0 {
				return turns.IntN(100_000)
			}
			return (i/20_000*100 + int(20*turns.ExpFloat64())) % 100_000
		},
	}
	for _, name := range []string{"zipf", "turns"} {
		draw := streams[name]
		s, plain := &sketch{}, map[string]float64{}
		hits := 0
		const calls, rate = 200_000, 1000
		for i := range calls {
			now := int64(i) * (1_000_000 / rate)
			key := fmt.Sprintf("0800%06d", draw(i))
			s.add(hashOf(key), now)
			if now%epochLength == 0 {
				for k := range plain {
					plain[k] /= 2
				}
			}
			plain[key]++
			if i%50_000 == 49_999 {
				hits += overlap(s, plain, top)
			}
		}
		part := float64(hits) / float64(top*calls/50_000)
		t.Logf("%s: of the %d most requested the sketch has %.3f; plain map %d entries, sketch %d", name, top, part, len(plain), sketchSets*ways)
		if part < 0.9 {
			t.Errorf("%s: recall of %.3f", name, part)
		}
	}
}

// overlap returns how many of the most requested numbers of the sketch are also the most requested of the map; equal
// counts all qualify.
func overlap(s *sketch, plain map[string]float64, top int) (n int) {
	keys := sortedKeys(plain)
	slices.SortStableFunc(keys, func(a, b string) int { return cmp.Compare(plain[b], plain[a]) })
	most := map[uint64]bool{}
	for _, k := range keys {
		if plain[k] >= plain[keys[top-1]] {
			most[hashOf(k)] = true
		}
	}
	type held struct {
		hash uint64
		n    uint32
	}
	var cells []held
	for i := range s.sets {
		for j, h := range s.sets[i].hash {
			cells = append(cells, held{h, s.sets[i].minCount(j)})
		}
	}
	slices.SortStableFunc(cells, func(a, b held) int { return cmp.Compare(b.n, a.n) })
	for _, c := range cells[:top] {
		if most[c.hash] {
			n++
		}
	}
	return n
}

// A set-up to a number not in contention allocates nothing.
func TestUncontendedNumberAllocatesNothing(t *testing.T) {
	f, keys := uncontendedFront(t)
	out := make([]decide.Action, 0, 4)
	i := 0
	if n := testing.AllocsPerRun(10_000, func() {
		i++
		out = f.Step(int64(i), decide.Event{Kind: decide.Order, Call: decide.CallID(i), Key: keys[i%len(keys)]}, out[:0])
	}); n != 0 {
		t.Errorf("%g allocations a call", n)
	}
}

type noopDecider struct{}

func (noopDecider) Step(_ int64, _ decide.Event, out []decide.Action) []decide.Action { return out }
func (noopDecider) Avoids(decide.ServerID) bool                                       { return false }

func uncontendedFront(testing.TB) (*Front, []string) {
	table := NewTable()
	slots := map[uint64]*tableEntry{}
	for i := range 100 {
		s := newTableEntry(fmt.Sprintf("0900%06d", i))
		slots[s.hash] = s
	}
	table.replace(slots)
	f := NewFront(Config{Self: "a"}, settings(), noopDecider{}, table, NewQueue(64))
	var keys []string
	for i := range 4096 {
		keys = append(keys, fmt.Sprintf("0800%06d", i))
	}
	return f, keys
}

// reportCPUTime reports the processor time of a benchmark besides its wall-clock time, which is longer on a shared
// machine.
func reportCPUTime(b *testing.B) func() {
	used := func() time.Duration {
		var u syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
			b.Fatal(err)
		}
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	was := used()
	return func() { b.ReportMetric(float64(used()-was)/float64(b.N), "cpu-ns/op") }
}

func BenchmarkUncontendedNumber(b *testing.B) {
	for _, c := range []struct {
		name string
		n    int
	}{{"few", 16}, {"many", 4096}} {
		f, keys := uncontendedFront(b)
		var inner Decider = noopDecider{}
		out := make([]decide.Action, 0, 4)
		e := decide.Event{Kind: decide.Order, Call: 1}
		b.Run(c.name+"/front", func(b *testing.B) {
			b.ReportAllocs()
			defer reportCPUTime(b)()
			for i := range b.N {
				e.Key = keys[i%c.n]
				out = f.Step(int64(i), e, out[:0])
			}
		})
		b.Run(c.name+"/without", func(b *testing.B) {
			defer reportCPUTime(b)()
			for i := range b.N {
				e.Key = keys[i%c.n]
				out = inner.Step(int64(i), e, out[:0])
			}
		})
	}
}

func BenchmarkSketch(b *testing.B) {
	var keys []string
	for i := range 100_000 {
		keys = append(keys, fmt.Sprintf("0800%06d", i))
	}
	b.Run("sketch", func(b *testing.B) {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		s := &sketch{}
		defer reportCPUTime(b)()
		for i := range b.N {
			k := keys[i*7919%len(keys)]
			s.add(hashOf(k), int64(i))
		}
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KB")
	})
	b.Run("map", func(b *testing.B) {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		m := map[string]uint32{}
		defer reportCPUTime(b)()
		for i := range b.N {
			m[keys[i*7919%len(keys)]]++
		}
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KB")
	})
}
