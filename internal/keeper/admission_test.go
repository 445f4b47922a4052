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

// fakeDecider is the decider behind an AdmissionFilter in tests: it sends or refuses as configured, and checks the
// events it receives.
type fakeDecider struct {
	t       interface{ Fatalf(string, ...any) }
	seen    map[decide.CallID]bool
	refuses bool
	repeats bool // repeats a failed attempt
}

func (d *fakeDecider) Avoids(decide.ServerID) bool { return false }

func (d *fakeDecider) Step(_ int64, event decide.Event, out []decide.Action) []decide.Action {
	switch event.Kind {
	case decide.CallArrived:
		d.seen[event.Call] = true
		if d.refuses {
			return append(out, decide.Action{Kind: decide.Refuse, Call: event.Call})
		}
		return append(out, decide.Action{Kind: decide.Send, Call: event.Call})
	case decide.CallEnded, decide.TimerFired:
		d.t.Fatalf("the inner decider receives event %v, token %x", event.Kind, event.Token)
	case decide.AttemptEnded:
		if !event.AnswerGiven && d.repeats {
			return append(out, decide.Action{Kind: decide.Send, Call: event.Call})
		} else if !event.AnswerGiven {
			out = append(out, decide.Action{Kind: decide.Fail, Call: event.Call})
		}
	case decide.SetUpCompleted: // may come for a call whose caller has gone and which was answered in the same round
		if !d.seen[event.Call] {
			d.t.Fatalf("the inner decider receives an event for unknown call %d", event.Call)
		}
	}
	return out
}

const contendedKey, uncontendedKey = "0800111", "0300222"

func settings() decide.Settings {
	return decide.Settings{Classes: []decide.Class{{Aim: 500_000, Deadline: 2_000_000}}, RetryAdvice: true,
		MaxRetryAfter: 5_000_000}
}

// For any sequence of events: each call gets at most one final answer, each admitted call has a permit or uses the
// fallback share, no permit is used twice, and no line is held once all calls are over.
func TestAdmissionFilterLines(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table, queue := NewTable(), NewQueue(64)
		inner := &fakeDecider{t: rt, seen: map[decide.CallID]bool{}}
		filter := NewAdmissionFilter(Config{Self: "a"}, settings(), inner, table, queue)
		entry := newTableEntry(contendedKey)
		entry.fence.Store(3)
		entry.ownerUnreachable.Store(false)
		table.replace(map[uint64]*tableEntry{entry.hash: entry})
		now, id := int64(10_000_000), decide.CallID(0)
		state := map[decide.CallID]string{} // waiting, going (caller leaves), out, stands, gone (attempt still out)
		permits, admitted := 0, 0
		armed := false
		do := func(e decide.Event) {
			for _, action := range filter.Step(now, e, nil) {
				switch action.Kind {
				case decide.Send:
					switch state[action.Call] {
					case "waiting":
						admitted++
						state[action.Call] = "out"
					case "going": // admitted at the moment when its caller left
						admitted++
						state[action.Call] = "gone"
					}
				case decide.Refuse, decide.Fail:
					if status := state[action.Call]; status != "waiting" && status != "out" && status != "going" {
						rt.Fatalf("call %d gets a final answer in state %q", action.Call, status)
					}
					delete(state, action.Call)
				case decide.StartTimer:
					armed = true
				}
			}
		}
		pick := func(want ...string) (decide.CallID, bool) {
			var ids []decide.CallID
			for id, status := range state {
				if slices.Contains(want, status) {
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
			e := decide.Event{Kind: decide.AttemptEnded, Call: id, Outcome: decide.Failed, NumberBusy: busy, Key: contendedKey,
				AnswerGiven: gone}
			if gone {
				delete(state, id)
			}
			do(e)
		}
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			now += int64(rapid.IntRange(0, 9_000).Draw(rt, "later"))
			if armed && rapid.Bool().Draw(rt, "fires") {
				armed = false
				do(decide.Event{Kind: decide.TimerFired, Token: timerToken})
			}
			switch rapid.IntRange(0, 9).Draw(rt, "what") {
			case 0, 1, 2:
				id++
				state[id] = "waiting"
				inner.refuses, inner.repeats = rapid.Bool().Draw(rt, "refuses"), rapid.Bool().Draw(rt, "again")
				do(decide.Event{Kind: decide.CallArrived, Call: id, Key: contendedKey, Deadline: now + 2_000_000})
			case 3:
				n := rapid.IntRange(1, 3).Draw(rt, "permits")
				permits += n
				added := &batch{fence: 3, expiresAt: now + 20_000}
				added.remaining.Store(int64(n))
				entry.addBatch(added)
			case 4:
				if rapid.Bool().Draw(rt, "none") {
					entry.noPermitUntil.Store(now + 10_000)
				} else {
					entry.ownerUnreachable.Store(rapid.Bool().Draw(rt, "lost"))
					entry.turnoverShare.Store(500_000)
				}
			case 5:
				if id, ok := pick("out"); ok {
					state[id] = "stands"
					do(decide.Event{Kind: decide.SetUpCompleted, Call: id})
				}
			case 6:
				if id, ok := pick("out", "gone"); ok {
					end(id, rapid.Bool().Draw(rt, "busy"))
				}
			case 7:
				if id, ok := pick("stands"); ok {
					delete(state, id)
					do(decide.Event{Kind: decide.CallEnded, Call: id})
				}
			case 8:
				if id, ok := pick("waiting", "out"); ok {
					if state[id] = map[string]string{"waiting": "going", "out": "gone"}[state[id]]; state[id] == "gone" {
						do(decide.Event{Kind: decide.CallerLeft, Call: id})
						break
					}
					if do(decide.Event{Kind: decide.CallerLeft, Call: id}); state[id] == "going" {
						delete(state, id)
					}
				}
			case 9:
				for len(queue.reports) > 0 {
					(<-queue.reports).entry.reportQueued.Store(false)
				}
			}
			if used := admitted - int(filter.Counts.Fallback); used > permits {
				rt.Fatalf("%d calls admitted with %d permits", used, permits)
			}
		}
		now += 100_000
		do(decide.Event{Kind: decide.TimerFired, Token: timerToken})
		for id, status := range state {
			switch status {
			case "waiting":
				rt.Fatalf("call %d still waits after its deadline", id)
			case "stands":
				delete(state, id)
				do(decide.Event{Kind: decide.CallEnded, Call: id})
			default:
				inner.repeats = false
				end(id, true)
			}
		}
		if entry.open.Load() != 0 || entry.calls.Load() != 0 || entry.waitingCount.Load() != 0 ||
			entry.fallback.Load() != 0 || len(filter.calls) != 0 {
			rt.Fatalf("after all calls are over: open %d, calls %d, waiting %d, without permit %d, followed %d",
				entry.open.Load(), entry.calls.Load(), entry.waitingCount.Load(),
				entry.fallback.Load(), len(filter.calls))
		}
	})
}

// A permit that has expired, or has a lower fence than was seen, admits no call, and a grant of such permits is not
// accepted.
func TestExpiryAndFence(t *testing.T) {
	for _, test := range []struct {
		safeguard string
		fence     uint64
		until     int64
		later     int64
	}{{"expiry", 3, 900, 900}, {"fence", 2, 5000, 1}} {
		for _, enabled := range []bool{true, false} {
			cfg := Config{Self: "a"}
			if !enabled {
				cfg = cfg.Without(test.safeguard)
			}
			entry := newTableEntry(contendedKey)
			entry.fence.Store(3)
			added := &batch{fence: test.fence, expiresAt: test.until}
			added.remaining.Store(1)
			entry.addBatch(added)
			if entry.takePermit(1000, &cfg.disabled) == enabled {
				t.Errorf("safeguard %s on: %v; permit taken: %v", test.safeguard, enabled, enabled)
			}
			// The same for an answer of an owner.
			module := newTestModule(t, cfg)
			var out fleet.Out
			module.handleAnswer(1000, "k", operation{Op: opAnswer, Key: contendedKey, Fence: 3}, &out)
			client := module.clients[contendedKey]
			module.sendReport(1000, client, &out)
			module.handleAnswer(1000+test.later, "k", operation{Op: opAnswer, Key: contendedKey, Fence: test.fence,
				ReportNumber: client.reportNumber, Permits: 1, Lifetime: 900}, &out)
			if taken := client.entry.unusedPermits() == 1; taken == enabled {
				t.Errorf("safeguard %s on: %v; grant accepted: %v", test.safeguard, enabled, taken)
			}
		}
	}
}

// Runs the loop and the Module concurrently, for the race detector: each permit is used once, and no line is lost.
func TestLoopAndModuleConcurrently(t *testing.T) {
	table, queue := NewTable(), NewQueue(16)
	module, err := New(Config{Self: "a", Lessor: &fakeLessor{}}, table, queue)
	if err != nil {
		t.Fatal(err)
	}
	var out fleet.Out
	module.handleAnswer(1, "k", operation{Op: opAnswer, Key: contendedKey, Fence: 1}, &out)
	module.flush(1, &out)
	entry := module.clients[contendedKey].entry
	filter := NewAdmissionFilter(Config{Self: "a"}, settings(), &fakeDecider{t: t, seen: map[decide.CallID]bool{}},
		table, queue)
	stop, done := make(chan bool), make(chan int64)
	var clock atomic.Int64
	go func() { // the Module, and an owner that grants one permit for each report
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
			module.Tick(now, &out)
			client := module.clients[contendedKey]
			if client.awaitingAnswer {
				if given++; given%50 == 0 {
					fence++
				}
				module.handleAnswer(now, "k", operation{Op: opAnswer, Key: contendedKey, Fence: fence,
					ReportNumber: client.reportNumber, Incarnation: 0, Permits: 1, Lifetime: 100_000}, &out)
			}
		}
	}()
	for i := range 8_000 {
		now, id := int64(i)*10, decide.CallID(i)
		clock.Store(now)
		if i%16 == 0 {
			runtime.Gosched()
		}
		for _, action := range filter.Step(now, decide.Event{Kind: decide.CallArrived, Call: id, Key: contendedKey}, nil) {
			if action.Kind == decide.Send {
				filter.Step(now, decide.Event{Kind: decide.SetUpCompleted, Call: action.Call}, nil)
				filter.Step(now, decide.Event{Kind: decide.CallEnded, Call: action.Call}, nil)
			}
		}
	}
	close(stop)
	given := <-done
	for _, c := range filter.calls {
		if !c.waiting {
			t.Error("a call that is over is still followed")
		}
	}
	if open := entry.open.Load() - entry.fallback.Load(); int64(filter.Counts.Permitted) > given ||
		open > int64(len(filter.calls)) {
		t.Errorf("%d permits granted, %d used, %d lines open", given, filter.Counts.Permitted, open)
	}
	t.Log("granted", given, "used", filter.Counts.Permitted, "by fallback share", filter.Counts.Fallback)
}

// fakeLessor is a lessor that grants everything.
type fakeLessor struct{ writes uint64 }

func (l *fakeLessor) Claim(int64, string, *fleet.Out)   {}
func (l *fakeLessor) Release(int64, string, *fleet.Out) {}
func (l *fakeLessor) Held(now int64, thing string) (lease.Grant, bool) {
	return lease.Grant{Fence: 1, Until: now + 4_000_000, Write: l.writes}, true
}
func (l *fakeLessor) Write(int64, string, []byte, *fleet.Out) (uint64, error) {
	l.writes++
	return l.writes, nil
}
func (l *fakeLessor) Holder(string) (string, uint64) { return "", 0 }

func newTestModule(t testing.TB, cfg Config) *Module {
	cfg.Self, cfg.Lessor = "a", &fakeLessor{}
	module, err := New(cfg, NewTable(), NewQueue(64))
	if err != nil {
		t.Fatal(err)
	}
	return module
}

// A duplicate of a report is granted no more permits, and a report older than the newest is granted none.
func TestReportOnce(t *testing.T) {
	cfg := Config{Self: "a", Lines: func(string) int { return 5 }}.withDefaults()
	ledger, _ := newLedger(&cfg, contendedKey, "x", 0, lease.Grant{Fence: 1})
	ledger.prepareRecord(1)
	ledger.recordStored()
	grant := lease.Grant{Fence: 1, Until: 4_000_000}
	ask := func(n uint64, held, wanted int64) int64 {
		peer := ledger.applyReport(1, "p", operation{ReportNumber: n, Incarnation: 1, Held: held, Wanted: wanted,
			Rate: 1000})
		if peer == nil {
			return -1
		}
		ledger.answerReport(1, peer, grant)
		return peer.granted
	}
	ask(1, 0, 1)
	ledger.prepareRecord(1)
	ledger.recordStored()
	for _, step := range []struct {
		n                uint64
		hold, want, gets int64
	}{{2, 0, 2, 2}, {2, 0, 2, 2}, {1, 0, 4, -1}, {3, 2, 9, 3}, {4, 5, 1, 0}, {5, 0, 5, 5}} {
		if got := ask(step.n, step.hold, step.want); got != step.gets {
			t.Errorf("report %d: %d permits, want %d", step.n, got, step.gets)
		}
	}
}

// No message exceeds its size bound; operations that cannot be decoded or are out of bounds are counted and ignored.
func TestMessages(t *testing.T) {
	var ops []operation
	for i := range 100 {
		ops = append(ops, operation{Op: opReport, Key: fmt.Sprintf("%032d", i), Fence: 1 << 60, ReportNumber: 1 << 60,
			Incarnation: 1 << 60, Held: 1 << 19, Unused: 1 << 19, Calls: 1 << 19, Wanted: 1 << 19, Rate: 1 << 39,
			Busy: 1 << 60, Began: 1 << 60, Ended: 1 << 60, Refused: 1 << 60})
	}
	var out fleet.Out
	appendMessages("a", "b", ops, &out)
	var decoded []operation
	for _, message := range out.Send {
		got, err := decodeOperations(message)
		if len(message.Body) > fleet.MaxBody || err != nil {
			t.Fatal(len(message.Body), err)
		}
		decoded = append(decoded, got...)
	}
	if !slices.Equal(decoded, ops) {
		t.Error("decoded operations differ from the encoded ones")
	}
	module := newTestModule(t, Config{})
	for i, invalid := range []operation{{Op: opAnswer, Key: ""}, {Op: opAnswer, Key: contendedKey, Permits: -1},
		{Op: opAnswer, Key: contendedKey, Lifetime: 1 << 50}, {Op: opAnswer, Key: contendedKey, Held: 1 << 30}} {
		var out fleet.Out
		appendMessages("b", "a", []operation{invalid, {Op: 200, Key: contendedKey}}, &out)
		module.Message(1, out.Send[0], &out)
		if module.counts.undecodable != uint64(i+1) || len(module.clients) != 0 {
			t.Errorf("%+v is accepted", invalid)
		}
	}
	entry := entryPart{}
	for i := range 64 {
		entry.Contended = append(entry.Contended, contendedNumber{fmt.Sprintf("%032d", i), 1 << 39})
	}
	if n := len(entry.encode()); n > fleet.MaxBody || n < fleet.MaxBody/2 {
		t.Errorf("entry part of %d bytes", n)
	}
	rec := record{Lines: maxCount, Known: maxCount, Turnover: maxRate, Outstanding: maxCount}
	var holders []holder
	for i := range maxHolders {
		holders = append(holders, holder{uint32(i), maxHolderLines})
	}
	rec.setHolders(holders)
	got, err := decodeRecord(contendedKey, rec.encode())
	if err != nil || len(got.holders()) != maxHolders || len(rec.encode()) > lease.MaxRecord {
		t.Errorf("record of %d bytes is decoded as %v, %v", len(rec.encode()), got, err)
	}
}

func FuzzMessage(f *testing.F) {
	var out fleet.Out
	appendMessages("b", "a", []operation{{Op: opReport, Key: contendedKey, Fence: 1, ReportNumber: 1, Wanted: 1},
		{Op: opAnswer, Key: contendedKey, Fence: 9, Permits: 2}}, &out)
	f.Add(out.Send[0].Body)
	f.Fuzz(func(t *testing.T, body []byte) {
		module := newTestModule(t, Config{})
		var out fleet.Out
		module.Message(1, fleet.Message{Kind: fleet.Keeper, From: "b", To: "a", Body: body}, &out)
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
		counts, exact := &sketch{}, map[string]float64{}
		hits := 0
		const calls, rate = 200_000, 1000
		for i := range calls {
			now := int64(i) * (1_000_000 / rate)
			key := fmt.Sprintf("0800%06d", draw(i))
			counts.add(hashOf(key), now)
			if now%epochLength == 0 {
				for k := range exact {
					exact[k] /= 2
				}
			}
			exact[key]++
			if i%50_000 == 49_999 {
				hits += overlap(counts, exact, top)
			}
		}
		recall := float64(hits) / float64(top*calls/50_000)
		t.Logf("%s: of the %d most requested the sketch has %.3f; plain map %d entries, sketch %d", name, top, recall,
			len(exact), sketchSets*ways)
		if recall < 0.9 {
			t.Errorf("%s: recall of %.3f", name, recall)
		}
	}
}

// overlap returns how many of the most requested numbers of the sketch are also the most requested of the map; equal
// counts all qualify.
func overlap(counts *sketch, exact map[string]float64, top int) (n int) {
	keys := sortedKeys(exact)
	slices.SortStableFunc(keys, func(a, b string) int { return cmp.Compare(exact[b], exact[a]) })
	most := map[uint64]bool{}
	for _, k := range keys {
		if exact[k] >= exact[keys[top-1]] {
			most[hashOf(k)] = true
		}
	}
	type held struct {
		hash uint64
		n    uint32
	}
	var cells []held
	for i := range counts.sets {
		for j, h := range counts.sets[i].hash {
			cells = append(cells, held{h, counts.sets[i].minCount(j)})
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
	filter, keys := uncontendedFilter(t)
	out := make([]decide.Action, 0, 4)
	i := 0
	if n := testing.AllocsPerRun(10_000, func() {
		i++
		out = filter.Step(int64(i), decide.Event{Kind: decide.CallArrived, Call: decide.CallID(i),
			Key: keys[i%len(keys)]}, out[:0])
	}); n != 0 {
		t.Errorf("%g allocations a call", n)
	}
}

type noopDecider struct{}

func (noopDecider) Step(_ int64, _ decide.Event, out []decide.Action) []decide.Action { return out }
func (noopDecider) Avoids(decide.ServerID) bool                                       { return false }

func uncontendedFilter(testing.TB) (*AdmissionFilter, []string) {
	table := NewTable()
	entries := map[uint64]*tableEntry{}
	for i := range 100 {
		entry := newTableEntry(fmt.Sprintf("0900%06d", i))
		entries[entry.hash] = entry
	}
	table.replace(entries)
	filter := NewAdmissionFilter(Config{Self: "a"}, settings(), noopDecider{}, table, NewQueue(64))
	var keys []string
	for i := range 4096 {
		keys = append(keys, fmt.Sprintf("0800%06d", i))
	}
	return filter, keys
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
	before := used()
	return func() { b.ReportMetric(float64(used()-before)/float64(b.N), "cpu-ns/op") }
}

func BenchmarkUncontendedNumber(b *testing.B) {
	for _, test := range []struct {
		name string
		n    int
	}{{"few", 16}, {"many", 4096}} {
		filter, keys := uncontendedFilter(b)
		var inner Decider = noopDecider{}
		out := make([]decide.Action, 0, 4)
		event := decide.Event{Kind: decide.CallArrived, Call: 1}
		b.Run(test.name+"/front", func(b *testing.B) {
			b.ReportAllocs()
			defer reportCPUTime(b)()
			for i := range b.N {
				event.Key = keys[i%test.n]
				out = filter.Step(int64(i), event, out[:0])
			}
		})
		b.Run(test.name+"/without", func(b *testing.B) {
			defer reportCPUTime(b)()
			for i := range b.N {
				event.Key = keys[i%test.n]
				out = inner.Step(int64(i), event, out[:0])
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
