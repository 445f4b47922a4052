package dissemination

import (
	"cmp"
	"slices"

	"pewterwheel/internal/fleet"
)

// Multiplier times ceil(log10(members+1)) is how often an item is sent before it leaves a Queue.
const Multiplier = 2

// Crowded is how many items may wait in a Queue before those go that were sent half as often as Multiplier asks for.
const Crowded = 64

// Queue holds what is to be gossiped, one item a name. Items wait in one list for each number of transmissions,
// ordered by when they were put: so a new one is appended, and the next one to be sent is the last of the first list
// that has any.
type Queue struct {
	items  map[string]*item
	levels [][]*item // by transmissions; each in order of put
	puts   uint64    // number of the latest put
	bytes  int       // of all bodies
	least  int       // no waiting body is shorter; 0: none waits
	counts queueCounts
}

type queueCounts struct {
	sent       uint64 // transmissions
	superseded uint64 // items that a newer one took the place of
	completed  uint64 // items that were sent as often as they should
	dropped    uint64 // items that had to go before
}

type item struct {
	name          string
	body          []byte
	put           uint64
	transmissions int
}

// NewQueue returns an empty Queue.
func NewQueue() *Queue { return &Queue{items: map[string]*item{}} }

// Len returns how many items wait.
func (q *Queue) Len() int { return len(q.items) }

// Waiting returns the bytes of all bodies that wait.
func (q *Queue) Waiting() int { return q.bytes }

// Put adds a body to be gossiped under a name, in place of what waited under it; it starts anew. The body is kept, not
// copied: nobody may write to it again. An empty body only takes out what waited. Where fleet.MaxMembers names wait,
// the one that was sent most often makes room.
func (q *Queue) Put(name string, body []byte) {
	if old := q.items[name]; old != nil {
		q.remove(old)
		q.counts.superseded++
	}
	if len(body) == 0 {
		return
	}
	if len(q.items) >= fleet.MaxMembers {
		q.drop(len(q.levels) - 1)
	}
	if len(q.items) == 0 || len(body) < q.least {
		q.least = len(body)
	}
	q.puts++
	added := &item{name: name, body: body, put: q.puts}
	q.items[name] = added
	q.bytes += len(body)
	q.insert(added)
}

// Forget takes out what waits under a name, if anything does.
func (q *Queue) Forget(name string) {
	if old := q.items[name]; old != nil {
		q.remove(old)
	}
}

// Fill returns the bodies for one datagram of at most limit bytes, in which each takes its length and overhead. Those
// sent least often come first and, among equals, those put last; what does not fit into the rest of the datagram is
// passed over. The very first is always among them: one that is larger than limit is returned alone. Each body
// returned has been sent once more thereby. members is how many members the fleet has. nil: nothing waits, or limit is
// not positive.
func (q *Queue) Fill(limit, overhead, members int) [][]byte {
	q.shed(members)
	if limit <= 0 || len(q.items) == 0 {
		return nil
	}
	taken := q.choose(limit, min(max(0, overhead), limit))
	bodies := make([][]byte, 0, len(taken))
	most := Multiplier * log10Ceil(members)
	for _, chosen := range taken {
		bodies = append(bodies, chosen.body)
		q.sent(chosen, most)
	}
	return bodies
}

// choose picks the items of one datagram; the first one whatever its size.
func (q *Queue) choose(limit, overhead int) []*item {
	var taken []*item
	left := limit
	for _, level := range q.levels {
		for _, candidate := range slices.Backward(level) {
			size := len(candidate.body) + overhead
			if size > left && len(taken) > 0 {
				continue
			}
			taken = append(taken, candidate)
			left -= size
			if left < q.least+overhead {
				return taken
			}
		}
	}
	return taken
}

// sent counts a transmission of an item, which leaves the queue after the last one.
func (q *Queue) sent(chosen *item, most int) {
	q.counts.sent++
	if chosen.transmissions+1 >= most {
		q.remove(chosen)
		q.counts.completed++
		return
	}
	q.takeOut(chosen)
	chosen.transmissions++
	q.insert(chosen)
}

// shed takes out what was sent often enough: as often as Multiplier asks for, as the fleet may have become smaller,
// and while the queue is crowded, half as often. Repair heals what these would have reached.
func (q *Queue) shed(members int) {
	once := log10Ceil(members)
	for transmissions := len(q.levels) - 1; transmissions >= once; transmissions-- {
		for len(q.levels[transmissions]) > 0 && (transmissions >= Multiplier*once || len(q.items) > Crowded) {
			q.drop(transmissions)
		}
	}
}

// drop takes out the oldest of those that were sent so often, or of the next ones sent less often.
func (q *Queue) drop(transmissions int) {
	for ; transmissions >= 0; transmissions-- {
		if level := q.levels[transmissions]; len(level) > 0 {
			q.remove(level[0])
			q.counts.dropped++
			return
		}
	}
}

func (q *Queue) insert(added *item) {
	for len(q.levels) <= added.transmissions {
		q.levels = append(q.levels, nil)
	}
	level := q.levels[added.transmissions]
	q.levels[added.transmissions] = slices.Insert(level, place(level, added), added)
}

func (q *Queue) takeOut(old *item) {
	level := q.levels[old.transmissions]
	at := place(level, old)
	q.levels[old.transmissions] = slices.Delete(level, at, at+1)
}

func (q *Queue) remove(old *item) {
	q.takeOut(old)
	delete(q.items, old.name)
	q.bytes -= len(old.body)
}

// place returns the index of an item in its level, or where it belongs.
func place(level []*item, wanted *item) int {
	at, _ := slices.BinarySearchFunc(level, wanted.put, func(one *item, put uint64) int {
		return cmp.Compare(one.put, put)
	})
	return at
}

// log10Ceil returns ceil(log10(members+1)), 1 at the least.
func log10Ceil(members int) int {
	digits := 1
	for power := uint64(10); power < uint64(max(0, members))+1; power *= 10 {
		digits++
	}
	return digits
}

// Figures gives the counters of the queue, and how much waits in it.
func (q *Queue) Figures(put func(name string, n uint64, gauge bool)) {
	put("fleet_gossip_sent", q.counts.sent, false)
	put("fleet_gossip_superseded", q.counts.superseded, false)
	put("fleet_gossip_completed", q.counts.completed, false)
	put("fleet_gossip_dropped", q.counts.dropped, false)
	put("fleet_gossip_waiting", uint64(len(q.items)), true)
	put("fleet_gossip_waiting_bytes", uint64(q.bytes), true)
}
