package dissemination

import (
	"bytes"
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"pewterwheel/internal/fleet"
)

// naiveQueue does by plain sorting what Queue does.
type naiveQueue struct {
	items []naiveItem
	puts  int
}

type naiveItem struct {
	name          string
	body          []byte
	put           int
	transmissions int
}

func (q *naiveQueue) forget(name string) {
	q.items = slices.DeleteFunc(q.items, func(i naiveItem) bool { return i.name == name })
}

func (q *naiveQueue) put(name string, body []byte) {
	q.forget(name)
	q.puts++
	q.items = append(q.items, naiveItem{name: name, body: body, put: q.puts})
}

func (q *naiveQueue) sort() {
	slices.SortFunc(q.items, func(a, b naiveItem) int {
		return cmp.Or(cmp.Compare(a.transmissions, b.transmissions), cmp.Compare(b.put, a.put))
	})
}

func (q *naiveQueue) fill(limit, overhead, members int) (bodies [][]byte) {
	once := int(math.Ceil(math.Log10(float64(max(1, members) + 1))))
	q.items = slices.DeleteFunc(q.items, func(i naiveItem) bool { return i.transmissions >= 2*once })
	q.sort()
	for last := len(q.items) - 1; last >= Crowded && q.items[last].transmissions >= once; last-- {
		q.items = q.items[:last]
	}
	left := limit
	for i := range q.items {
		candidate := &q.items[i]
		size := len(candidate.body) + overhead
		if size <= left || i == 0 {
			left -= size
			bodies = append(bodies, candidate.body)
			candidate.transmissions++
		}
	}
	q.items = slices.DeleteFunc(q.items, func(i naiveItem) bool { return i.transmissions >= 2*once })
	return bodies
}

// check holds the queue's inner lists against its counts.
func (q *Queue) check(t *rapid.T) {
	items := 0
	size := 0
	for transmissions, level := range q.levels {
		for i, one := range level {
			if one.transmissions != transmissions || q.items[one.name] != one || i > 0 && level[i-1].put >= one.put {
				t.Fatalf("level %d holds %+v at %d", transmissions, one, i)
			}
			items++
			size += len(one.body)
		}
	}
	if items != q.Len() || size != q.Waiting() {
		t.Fatalf("%d items of %d bytes, counted as %d of %d", items, size, q.Len(), q.Waiting())
	}
}

// Whatever is put, forgotten and sent, the queue gives what plain sorting gives.
func TestQueueModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue()
		naive := &naiveQueue{}
		names := rapid.IntRange(1, 200).Draw(t, "names")
		longest := rapid.SampledFrom([]int{3, 40, 400}).Draw(t, "longest")
		name := func() string { return fmt.Sprint("m", rapid.IntRange(0, names).Draw(t, "name")) }
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				for range rapid.IntRange(1, 40).Draw(t, "puts") {
					n := name()
					body := bytes.Repeat([]byte(n+","), 1+rapid.IntRange(0, longest).Draw(t, "length"))
					q.Put(n, body)
					naive.put(n, body)
				}
			},
			"forget": func(*rapid.T) {
				n := name()
				q.Forget(n)
				naive.forget(n)
			},
			"fill": func(t *rapid.T) {
				limit := rapid.IntRange(1, 1_400).Draw(t, "limit")
				overhead := rapid.IntRange(0, 20).Draw(t, "overhead")
				members := rapid.IntRange(-1, 1_020).Draw(t, "members")
				overhead = min(overhead, limit)
				want := naive.fill(limit, overhead, members)
				got := q.Fill(limit, overhead, members)
				if !slices.EqualFunc(got, want, bytes.Equal) {
					t.Fatalf("%q, and %q were to come", got, want)
				}
			},
			"": func(t *rapid.T) {
				q.check(t)
				if len(naive.items) != q.Len() {
					t.Fatalf("%d items wait, and %d should", q.Len(), len(naive.items))
				}
			},
		})
	})
}

// An item is sent as often as the size of the fleet asks for; a newer one begins anew.
func TestQueueTransmissions(t *testing.T) {
	for members, want := range map[int]int{
		-5: 2, 0: 2, 1: 2, 9: 2, 10: 4, 99: 4, 100: 6, 510: 6, 999: 6, 1_000: 8, 1_020: 8, math.MaxInt: 38,
	} {
		q := NewQueue()
		q.Put("a", []byte("old"))
		if got := q.Fill(100, 3, members); len(got) != 1 || string(got[0]) != "old" {
			t.Errorf("%q", got)
		}
		q.Put("a", []byte("new"))
		sent := 0
		for len(q.Fill(100, 3, members)) > 0 {
			sent++
		}
		got := figuresOf(t, q.Figures)
		if sent != want || got["fleet_gossip_sent"] != uint64(want+1) || got["fleet_gossip_superseded"] != 1 ||
			got["fleet_gossip_completed"] != 1 || got["fleet_gossip_dropped"] != 0 ||
			q.Len() != 0 || q.Waiting() != 0 {
			t.Errorf("%d members: sent %d times: %v", members, sent, got)
		}
	}
}

// Those sent least often come first, then those put last; small ones fill what is left of the datagram.
func TestQueueOrder(t *testing.T) {
	q := NewQueue()
	q.Put("a", []byte("aaaa"))
	q.Put("b", []byte("bb"))
	q.Put("c", []byte("cccc"))
	for i, want := range []string{"[cccc bb]", "[aaaa bb]", "[cccc bb]", "[aaaa bb]"} {
		if got := fmt.Sprintf("%s", q.Fill(10, 2, 100)); got != want {
			t.Errorf("datagram %d: %s", i, got)
		}
	}
	q.Put("d", []byte("d"))
	if got := fmt.Sprintf("%s", q.Fill(3, 2, 100)); got != "[d]" {
		t.Error(got)
	}
}

// One that is larger than a datagram goes alone when it is its turn, and hinders nobody.
func TestQueueLarge(t *testing.T) {
	q := NewQueue()
	q.Put("large", make([]byte, 5_000))
	q.Put("small", make([]byte, 10))
	for i, want := range []int{10, 5_000, 10, 5_000} {
		if got := q.Fill(1_400, 30, 10); len(got) != 1 || len(got[0]) != want {
			t.Errorf("datagram %d: %d bodies", i, len(got))
		}
	}
	if got := q.Fill(100, math.MaxInt, 10); len(got) != 1 {
		t.Errorf("%d bodies", len(got))
	}
	if q.Fill(0, 30, 10) != nil || q.Fill(-1, 30, 10) != nil || q.Len() != 2 {
		t.Error("something came in no room")
	}
	if got := q.Fill(1, -7, 10); len(got) != 1 {
		t.Errorf("%d bodies", len(got))
	}
}

// While many wait those that were sent half as often as usual go; without a crowd they stay.
func TestQueueCrowded(t *testing.T) {
	waiting := func(items int) int {
		q := NewQueue()
		for i := range items {
			q.Put(fmt.Sprint(i), make([]byte, 100))
		}
		for range 3 { // half of what 510 members ask for
			q.Fill(items*100, 0, 510)
		}
		q.Fill(1, 0, 510)
		return q.Len()
	}
	if got := waiting(Crowded); got != Crowded {
		t.Errorf("%d wait where it was not crowded", got)
	}
	if got := waiting(200); got != Crowded {
		t.Errorf("%d wait where it was crowded", got)
	}
}

// No more than fleet.MaxMembers names wait: a new one takes the place of the one sent most often, the oldest among
// equals.
func TestQueueIsBounded(t *testing.T) {
	q := NewQueue()
	for i := range fleet.MaxMembers {
		q.Put(fmt.Sprint(i), []byte{1})
	}
	q.Put("0", nil) // forgets
	q.Put("0", []byte{1})
	q.Put("more", []byte{2})
	if q.items["1"] != nil || q.items["0"] == nil || q.Len() != fleet.MaxMembers {
		t.Errorf("%d wait", q.Len())
	}
	q.Fill(1, 0, 510) // sends "more"
	q.Put("last", []byte{3})
	if q.items["more"] != nil || q.items["2"] == nil || q.Len() != fleet.MaxMembers {
		t.Errorf("%d wait", q.Len())
	}
	got := figuresOf(t, q.Figures)
	if got["fleet_gossip_dropped"] != 2 || got["fleet_gossip_waiting"] != fleet.MaxMembers ||
		got["fleet_gossip_waiting_bytes"] != fleet.MaxMembers || q.Waiting() != fleet.MaxMembers {
		t.Errorf("%v", got)
	}
}

// filler is what the benchmarks compare.
type filler interface {
	Put(name string, body []byte)
	Fill(limit, overhead, members int) [][]byte
}

// sortedQueue is naiveQueue as a filler.
type sortedQueue struct{ naiveQueue }

func (q *sortedQueue) Put(name string, body []byte) { q.put(name, body) }

func (q *sortedQueue) Fill(limit, overhead, members int) [][]byte {
	return q.fill(limit, overhead, members)
}

// benchmarkFill keeps so many items of up to 500 bytes waiting, a new one after each datagram.
func benchmarkFill(b *testing.B, q filler, items int) {
	names := make([]string, items)
	for i := range names {
		names[i] = fmt.Sprint("member-", i)
		q.Put(names[i], make([]byte, 200+i%300))
	}
	next := 0
	for b.Loop() {
		q.Fill(1_400, 30, items)
		for range 4 {
			q.Put(names[next], make([]byte, 200+next%300))
			next = (next + 1) % items
		}
	}
}

func BenchmarkQueueFill(b *testing.B) {
	for _, items := range []int{60, 510, 1_020} {
		b.Run(fmt.Sprintf("queue-%d", items), func(b *testing.B) { benchmarkFill(b, NewQueue(), items) })
		b.Run(fmt.Sprintf("sorted-%d", items), func(b *testing.B) { benchmarkFill(b, &sortedQueue{}, items) })
	}
}
