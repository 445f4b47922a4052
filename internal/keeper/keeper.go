package keeper

import (
	"bytes"
	"container/heap"
	"maps"
	"math"
	"slices"

	"pewterwheel/internal/fleet"
	"pewterwheel/internal/lease"
)

// maxKept bounds the numbers that one process keeps, so that its part of the entry holds them all.
const maxKept = 16

const (
	bookEvery  = 100_000 // interval at which ledgers are checked
	tellEvery  = 500_000 // least time between two updates of the entry
	idleEvery  = 250_000 // interval at which the queue is read while no number is in contention
	sweepEvery = 2_000_000
	leaveTime  = 300_000 // longest wait of a hand-over for the record to be stored
)

// Part is the state machine of one process: it detects which numbers are in contention, takes and gives up the
// keeping of numbers, grants permits for those it keeps, and requests permits for those that others keep. It is not
// safe for concurrent use.
type Part struct {
	cfg   Config
	table *Table
	queue *Queue
	now   int64
	view  *fleet.View

	tellers map[string]*teller // by process
	sights  map[string]*sight  // by number
	news    []string           // numbers for which an entry announced a keeper
	seen    map[string]*heavy  // numbers that this process sees in contention
	hands   map[string]*hand
	past    map[string]*slot // numbers that are no longer followed but still have calls
	books   map[string]*book // numbers that this process keeps
	claims  map[string]claim // numbers that it claims

	reshelve bool // the table differs from clients
	draining bool
	told     []byte // the current part of the entry
	toldAt   int64
	weighed  int64
	swept    int64
	fullAt   int64 // when it was last noted that no process has room for a number
	booked   int64

	agenda  agenda
	local   []item // addressed to this process itself
	letters map[string][]item

	counts counts
}

// counts holds what a Part has done since its start.
type counts struct {
	claims, kept, lost, moved, calm                uint64
	reports, granted, none                         uint64
	taken, back, late, lowFence, unanswered        uint64
	unread, full, noRoom, messages, sent, badStore uint64
}

// claim is a number whose lease this process has requested.
type claim struct {
	at    int64
	fence uint64 // of the keeper known at the time: a process announced under a higher one keeps the number
}

// dueTime is a time at which the client of a number is to be checked.
type due struct {
	at  int64
	key string
}

// dueHeap is a heap of due times.
type agenda []due

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].key < a[j].key
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(due)) }
func (a *agenda) Pop() any     { o := *a; x := o[len(o)-1]; *a = o[:len(o)-1]; return x }

// New returns the Part of a process, or a *ConfigError. It shares the table and the queue with the process's Front.
// Its driver calls Tick when Queue.Wake has a value, and at Next at the latest.
func New(cfg Config, table *Table, queue *Queue) (*Part, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Part{cfg: cfg.fill(), table: table, queue: queue, tellers: map[string]*teller{}, sights: map[string]*sight{},
		seen: map[string]*heavy{}, hands: map[string]*hand{}, past: map[string]*slot{}, books: map[string]*book{},
		claims: map[string]claim{}, letters: map[string][]item{}}, nil
}

// Kind returns fleet.Keeper.
func (p *Part) Kind() fleet.Kind { return fleet.Keeper }

// Start takes the start time.
func (p *Part) Start(now int64, out *fleet.Out) { p.now, p.weighed, p.booked = now, now, now }

// Done does nothing: the Part has no acts.
func (p *Part) Done(now int64, a fleet.Act, err error, out *fleet.Out) {}

// Message takes a message of another process. What cannot be decoded is counted and ignored.
func (p *Part) Message(now int64, m fleet.Message, out *fleet.Out) {
	p.now = now
	p.counts.messages++
	items, err := readLetter(m)
	if err != nil {
		p.counts.unread++
	}
	for _, it := range items {
		p.item(now, m.From, it, out)
	}
	p.flush(now, out)
}

// View takes a new view of the processes.
func (p *Part) View(now int64, v *fleet.View, out *fleet.Out) {
	was := p.view
	p.now, p.view = now, v
	for i := range v.Members {
		m := &v.Members[i]
		// Most entries are unchanged since the last view, and at the same index.
		if was != nil && i < len(was.Members) {
			if o := &was.Members[i]; o.Name == m.Name && o.Version == m.Version && o.Incarnation == m.Incarnation {
				continue
			}
		}
		p.tells(m.Name, m.Parts[fleet.Keeper])
	}
	if was != nil && len(p.tellers) > 0 {
		for name := range p.tellers { // the order does not matter: each entry is removed on its own
			if v.Member(name) == nil {
				p.tells(name, nil)
				delete(p.tellers, name)
			}
		}
	}
	p.heard(now, out)
	p.flush(now, out)
}

// adoptKeepers takes up the keepers that entries have announced.
func (p *Part) heard(now int64, out *fleet.Out) {
	slices.Sort(p.news)
	for _, key := range slices.Compact(p.news) {
		if k := p.keeperOf(key); k != nil {
			if h := p.hand(now, key); h != nil {
				if h.slot.rate.Load() == 0 { // until the keeper has sent this process its share
					h.slot.rate.Store(k.share / int64(max(1, len(p.view.Members))))
				}
				p.raise(now, h, k.name, uint64(k.n), out)
			}
		}
	}
	p.news = p.news[:0]
}

// Tick takes what the loop has reported, and does what is due.
func (p *Part) Tick(now int64, out *fleet.Out) {
	p.now = now
	p.drainQueue(now, out)
	for len(p.agenda) > 0 && p.agenda[0].at <= now {
		d := heap.Pop(&p.agenda).(due)
		if h := p.hands[d.key]; h != nil && h.due == d.at {
			h.due = math.MaxInt64
			p.handDue(now, h, out)
		}
	}
	if now-p.booked >= bookEvery {
		p.booked = now
		p.tickBooks(now, out)
	}
	if now-p.weighed >= evalEvery {
		p.weighed = now
		p.weigh(now, out)
		p.sweep(now)
		maps.DeleteFunc(p.past, func(_ string, s *slot) bool { return s.open.Load() <= 0 })
		p.tell(now, out)
	}
	p.flush(now, out)
}

// sweep forgets numbers whose keeper is not announced or heard any more.
func (p *Part) sweep(now int64) {
	if now-p.swept < sweepEvery {
		return
	}
	p.swept = now
	for _, h := range p.hands { // the order does not matter: each is checked on its own
		if now-h.heard > forgetHand && p.keeperOf(h.slot.key) == nil && p.books[h.slot.key] == nil {
			p.drop(h)
		}
	}
}

func (p *Part) drainQueue(now int64, out *fleet.Out) {
	for range cap(p.queue.c) {
		select {
		case r := <-p.queue.c:
			switch r.kind {
			case reportChanged:
				if h := p.hands[r.slot.key]; h != nil && h.slot == r.slot {
					p.changed(now, h, out)
				} else {
					r.slot.dirty.Store(false)
				}
			case reportSeen:
				p.sees(now, r)
			}
		default:
			return
		}
	}
}

// recordContention records that a number ends busy here; the least requested one is replaced if there is no room.
func (p *Part) sees(now int64, r report) {
	v := p.seen[r.key]
	if v == nil {
		if len(p.seen) >= seenRoom {
			least := ""
			for key, w := range p.seen {
				if least == "" || w.rate < p.seen[least].rate || w.rate == p.seen[least].rate && key < least {
					least = key
				}
			}
			delete(p.seen, least)
		}
		v = &heavy{}
		p.seen[r.key] = v
	}
	// A count that is halved every epoch covers about one and a half epochs.
	v.rate, v.at = float64(r.n)*1e9/(1.5*epoch), now
}

// Next returns when Tick is due.
func (p *Part) Next() int64 {
	next := p.now + idleEvery
	if len(p.hands) > 0 {
		next = p.now + p.cfg.Poll
	}
	if len(p.agenda) > 0 {
		next = min(next, p.agenda[0].at)
	}
	if len(p.books)+len(p.claims) > 0 {
		next = min(next, p.booked+bookEvery)
	}
	return max(p.now, next)
}

func (p *Part) wakeHand(h *hand, at int64) {
	if at < h.due {
		h.due = at
		heap.Push(&p.agenda, due{at, h.slot.key})
	}
}

// publish puts what this process keeps and sees in contention into its entry.
func (p *Part) tell(now int64, out *fleet.Out) {
	if now-p.toldAt < tellEvery && p.toldAt != 0 {
		return
	}
	if b := p.saying(now).bytes(); !bytes.Equal(b, p.told) {
		p.told, p.toldAt = b, now
		out.Tell(fleet.Keeper, b)
		p.tells(p.cfg.Self, b)
		p.news = p.news[:0]
	}
}

// Drain begins a planned shutdown: numbers kept here are handed over, and no more are claimed.
func (p *Part) Drain(now int64, out *fleet.Out) {
	p.now, p.draining = now, true
	for _, key := range sortedKeys(p.claims) {
		delete(p.claims, key)
		p.cfg.Lessor.Release(now, thing(key), out)
	}
	p.tickBooks(now, out)
	p.flush(now, out)
}

// Drained tells whether all numbers kept here have been handed over.
func (p *Part) Drained() bool { return p.draining && len(p.books) == 0 }

// emit queues an item for a process, this one included.
func (p *Part) emit(to string, it item) {
	if to == p.cfg.Self {
		p.local = append(p.local, it)
	} else {
		p.letters[to] = append(p.letters[to], it)
	}
}

// flush handles the items addressed to this process, and sends the others.
func (p *Part) flush(now int64, out *fleet.Out) {
	for len(p.local) > 0 {
		it := p.local[0]
		p.local = p.local[1:]
		p.item(now, p.cfg.Self, it, out)
	}
	p.local = nil
	if p.reshelve {
		p.reshelve = false
		slots := make(map[uint64]*slot, len(p.hands))
		for _, h := range p.hands {
			slots[h.slot.hash] = h.slot
		}
		p.table.replace(slots)
	}
	if len(p.letters) == 0 {
		return
	}
	n := len(out.Send)
	for _, to := range sortedKeys(p.letters) {
		letters(p.cfg.Self, to, p.letters[to], out)
	}
	clear(p.letters)
	p.counts.sent += uint64(len(out.Send) - n)
}

// handleItem handles one item of a message.
func (p *Part) item(now int64, from string, it item, out *fleet.Out) {
	switch it.Op {
	case opReport:
		p.reported(now, from, it, out)
	case opAnswer:
		p.answered(now, from, it, out)
	case opOver:
		if h := p.hands[it.Key]; h != nil && it.Fence >= h.slot.fence.Load() && p.books[it.Key] == nil {
			p.drop(h)
		}
	case opTake:
		if p.books[it.Key] == nil && p.claims[it.Key].at == 0 && p.fit(p.cfg.Self) {
			p.claim(now, it.Key, out)
		}
	}
}

// handleReport takes a report for a number that this process keeps, or answers who keeps it.
func (p *Part) reported(now int64, from string, it item, out *fleet.Out) {
	b := p.books[it.Key]
	if b == nil {
		if h := p.hands[it.Key]; h != nil && h.slot.fence.Load() > it.Fence && h.keeper != p.cfg.Self {
			p.emit(from, item{Op: opAnswer, Key: it.Key, Fence: h.slot.fence.Load(), Keeper: h.keeper})
		}
		return
	}
	g, held := p.cfg.Lessor.Held(now, b.thing)
	switch {
	case !held || g.Fence != b.fence || it.Fence > b.fence:
		return // the lease has ended, which the next check of the ledgers handles
	case it.Fence < b.fence:
		p.emit(from, item{Op: opAnswer, Key: it.Key, Fence: b.fence})
		return
	}
	q := b.report(now, from, it)
	if q == nil {
		p.counts.late++
		return
	}
	if it.Want > 0 && !q.due {
		if b.answer(now, q, g); q.due {
			p.booked = min(p.booked, now-bookEvery+writeSoon)
		} else {
			p.reply(now, b, q, out)
		}
	}
	p.early(now, b, out)
}

// replyPending sends the answers that waited for the record.
func (p *Part) owed(now int64, b *book, g lease.Grant, out *fleet.Out) {
	for _, q := range b.peers {
		if q.due {
			b.answer(now, q, g)
			p.reply(now, b, q, out)
		}
	}
}

// reply tells a process what it was granted for its newest report.
func (p *Part) reply(now int64, b *book, q *peer, out *fleet.Out) {
	again, stay, share := b.times(now, q)
	if q.granted >= q.it.Want {
		again = 0
	} else {
		p.counts.none++
	}
	p.emit(q.name, item{Op: opAnswer, Key: b.key, Fence: b.fence, N: q.n, Life: q.life, Permits: q.granted, Lasts: q.lasts,
		Again: again, Stay: stay, Share: share})
	if q.granted > 0 {
		p.counts.granted++
	}
}

// passNotes passes on the notes of a ledger.
func (p *Part) notes(b *book, out *fleet.Out) {
	out.Notes = append(out.Notes, b.notes...)
	b.notes = b.notes[:0]
}

// grantAhead grants what may be granted in advance, and passes on the notes.
func (p *Part) early(now int64, b *book, out *fleet.Out) {
	defer p.notes(b, out)
	g, held := p.cfg.Lessor.Held(now, b.thing)
	if !held || g.Fence != b.fence {
		return
	}
	for q := b.early(now, g); q != nil; q = b.early(now, g) {
		p.reply(now, b, q, out)
	}
}

// tickLedgers checks claimed and kept numbers: leases that were granted or have ended, records to be written, numbers
// to be handed over or given up.
func (p *Part) tickBooks(now int64, out *fleet.Out) {
	for _, key := range sortedKeys(p.claims) {
		if g, ok := p.cfg.Lessor.Held(now, thing(key)); ok {
			delete(p.claims, key)
			p.open(now, key, g, out)
			continue
		}
		// Another process keeps it by now, or nobody grants the lease.
		if c := p.claims[key]; now-c.at > claimFor || p.keptElsewhere(key) && uint64(p.keeperOf(key).n) > c.fence {
			delete(p.claims, key)
			p.cfg.Lessor.Release(now, thing(key), out)
		}
	}
	for _, key := range sortedKeys(p.books) {
		p.tickBook(now, p.books[key], out)
	}
}

// startKeeping creates the ledger from the previous keeper's record, and asks the processes that may hold lines what
// they hold.
func (p *Part) open(now int64, key string, g lease.Grant, out *fleet.Out) {
	b, err := newBook(&p.cfg, key, thing(key), now, g)
	if err != nil {
		p.counts.badStore++
		out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Keeper, What: "record", Thing: key, Fence: g.Fence, Text: err.Error()})
	}
	p.books[key] = b
	p.counts.kept++
	out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Keeper, What: "kept", Thing: key, Fence: g.Fence, Until: g.Until, N: b.lines})
	hello := item{Op: opAnswer, Key: key, Fence: g.Fence}
	p.emit(p.cfg.Self, hello)
	ask := map[string]bool{p.cfg.Self: true}
	if x := p.sights[key]; x != nil {
		for _, t := range x.seen {
			ask[t.name] = true
		}
	}
	for _, h := range b.holders {
		for _, m := range p.members() {
			if nameHash(m.Name) == h.name {
				ask[m.Name] = true
			}
		}
	}
	for _, name := range sortedKeys(ask) {
		if name != p.cfg.Self {
			p.emit(name, hello)
		}
	}
	p.toldAt = 0
	p.tell(now, out)
}

func (p *Part) tickBook(now int64, b *book, out *fleet.Out) {
	g, ok := p.cfg.Lessor.Held(now, b.thing)
	if !ok || g.Fence != b.fence {
		delete(p.books, b.key)
		p.counts.lost++
		p.cfg.Lessor.Release(now, b.thing, out)
		out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Keeper, What: "lost", Thing: b.key, Fence: b.fence, Text: (&LostError{b.key}).Error()})
		p.toldAt = 0
		return
	}
	if b.write != 0 && g.Write >= b.write {
		b.stored()
		p.owed(now, b, g, out)
		p.notes(b, out)
	}
	if b.leave != 0 {
		if b.write == 0 || now >= b.leave {
			p.give(now, b, out)
		}
		return
	}
	b.forget(now)
	p.notes(b, out)
	b.seek(now)
	next := p.follower(now, b)
	if calm := now-b.unmet > p.cfg.Calm; calm || next != "" || p.leaves() {
		b.leave, b.leaving = now+leaveTime, next
		if calm {
			b.leaving = ""
		}
		p.store(now, b, out)
		return
	}
	soon := slices.ContainsFunc(b.peers, func(q *peer) bool { return q.due })
	if soon {
		p.booked = min(p.booked, now-bookEvery+writeSoon)
	}
	if b.dirty && b.write == 0 && (now-b.wrote >= writeGap || soon) || now-b.wrote >= 10*bookEvery && b.write == 0 {
		p.store(now, b, out)
	}
	p.early(now, b, out)
}

// storeRecord writes the record with the lease.
func (p *Part) store(now int64, b *book, out *fleet.Out) {
	r := b.stores(now)
	n, err := p.cfg.Lessor.Write(now, b.thing, r.bytes(), out)
	if err != nil {
		p.counts.badStore++
		return
	}
	b.write, b.wrote, b.dirty = n, now, false
}

// handOver gives a number up to the next keeper, or to nobody.
func (p *Part) give(now int64, b *book, out *fleet.Out) {
	delete(p.books, b.key)
	p.cfg.Lessor.Release(now, b.thing, out)
	what := "moved"
	if b.leaving == "" {
		what = "over"
		p.counts.calm++
		for _, q := range b.peers {
			p.emit(q.name, item{Op: opOver, Key: b.key, Fence: b.fence})
		}
	} else {
		p.counts.moved++
		p.emit(b.leaving, item{Op: opTake, Key: b.key, Fence: b.fence})
	}
	out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Keeper, What: what, Thing: b.key, Fence: b.fence, N: b.lines, Text: b.leaving})
	p.toldAt = 0
	p.tell(now, out)
}

// Figures reports the counters and gauges of the Part.
func (p *Part) Figures(put func(name string, n uint64, gauge bool)) {
	c := &p.counts
	put("keeper_numbers", uint64(len(p.hands)), true)
	put("keeper_kept_now", uint64(len(p.books)), true)
	lines, held := int64(0), int64(0)
	for _, b := range p.books {
		n, _ := b.held(p.now)
		lines, held = lines+b.lines, held+n
	}
	put("keeper_lines", uint64(lines), true)
	put("keeper_lines_held", uint64(held), true)
	put("keeper_claims", c.claims, false)
	put("keeper_kept", c.kept, false)
	put("keeper_lost", c.lost, false)
	put("keeper_moved", c.moved, false)
	put("keeper_over", c.calm, false)
	put("keeper_no_room", c.noRoom, false)
	put("keeper_table_full", c.full, false)
	put("keeper_reports", c.reports, false)
	put("keeper_grants", c.granted, false)
	put("keeper_none", c.none, false)
	put("keeper_permits_taken", c.taken, false)
	put("keeper_permits_back", c.back, false)
	put("keeper_late", c.late, false)
	put("keeper_low_fence", c.lowFence, false)
	put("keeper_unanswered", c.unanswered, false)
	put("keeper_unread", c.unread, false)
	put("keeper_bad_record", c.badStore, false)
	put("keeper_messages_in", c.messages, false)
	put("keeper_messages_out", c.sent, false)
}

func thing(key string) string { return "number/" + key }

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
