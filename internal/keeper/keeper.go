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
	ledgerInterval  = 100_000 // interval at which ledgers are checked
	publishInterval = 500_000 // least time between two updates of the entry
	idleInterval    = 250_000 // interval at which the queue is read while no number is in contention
	sweepInterval   = 2_000_000
	handOverTimeout = 300_000 // longest wait of a hand-over for the record to be stored
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

	entries          map[string]*memberEntry // by process
	numbers          map[string]*numberState // by number
	announcedKeepers []string                // numbers for which an entry announced a keeper
	localDemands     map[string]*localDemand // numbers that this process sees in contention
	clients          map[string]*keeperClient
	retired          map[string]*tableEntry   // numbers that are no longer followed but still have calls
	ledgers          map[string]*numberLedger // numbers that this process keeps
	claims           map[string]claim         // numbers that it claims

	tableStale       bool // the table differs from clients
	draining         bool
	published        []byte // the current part of the entry
	publishedAt      int64
	evaluatedAt      int64
	sweptAt          int64
	fullNotedAt      int64 // when it was last noted that no process has room for a number
	ledgersCheckedAt int64

	dueClients      dueHeap
	localOperations []operation // addressed to this process itself
	outgoing        map[string][]operation

	counts counts
}

// counts holds what a Part has done since its start.
type counts struct {
	claims, kept, lost, moved, over                           uint64
	reports, granted, withoutPermit                           uint64
	permitsTaken, permitsReturned, late, lowFence, unanswered uint64
	unread, tableFull, noRoom, received, sent, badRecords     uint64
}

// claim is a number whose lease this process has requested.
type claim struct {
	claimedAt  int64
	knownFence uint64 // of the keeper known at the time: a process announced under a higher one keeps the number
}

// dueTime is a time at which the client of a number is to be checked.
type dueTime struct {
	at  int64
	key string
}

// dueHeap is a heap of due times.
type dueHeap []dueTime

func (a dueHeap) Len() int { return len(a) }
func (a dueHeap) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].key < a[j].key
}
func (a dueHeap) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *dueHeap) Push(x any)   { *a = append(*a, x.(dueTime)) }
func (a *dueHeap) Pop() any     { o := *a; x := o[len(o)-1]; *a = o[:len(o)-1]; return x }

// New returns the Part of a process, or a *ConfigError. It shares the table and the queue with the process's Front.
// Its driver calls Tick when Queue.Wake has a value, and at Next at the latest.
func New(cfg Config, table *Table, queue *Queue) (*Part, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Part{cfg: cfg.withDefaults(), table: table, queue: queue, entries: map[string]*memberEntry{}, numbers: map[string]*numberState{},
		localDemands: map[string]*localDemand{}, clients: map[string]*keeperClient{}, retired: map[string]*tableEntry{}, ledgers: map[string]*numberLedger{},
		claims: map[string]claim{}, outgoing: map[string][]operation{}}, nil
}

// Kind returns fleet.Keeper.
func (p *Part) Kind() fleet.Kind { return fleet.Keeper }

// Start takes the start time.
func (p *Part) Start(now int64, out *fleet.Out) {
	p.now, p.evaluatedAt, p.ledgersCheckedAt = now, now, now
}

// Done does nothing: the Part has no acts.
func (p *Part) Done(now int64, a fleet.Act, err error, out *fleet.Out) {}

// Message takes a message of another process. What cannot be decoded is counted and ignored.
func (p *Part) Message(now int64, m fleet.Message, out *fleet.Out) {
	p.now = now
	p.counts.received++
	items, err := decodeOperations(m)
	if err != nil {
		p.counts.unread++
	}
	for _, it := range items {
		p.handleOperation(now, m.From, it, out)
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
		p.readEntry(m.Name, m.Parts[fleet.Keeper])
	}
	if was != nil && len(p.entries) > 0 {
		for name := range p.entries { // the order does not matter: each entry is removed on its own
			if v.Member(name) == nil {
				p.readEntry(name, nil)
				delete(p.entries, name)
			}
		}
	}
	p.adoptKeepers(now, out)
	p.flush(now, out)
}

// adoptKeepers takes up the keepers that entries have announced.
func (p *Part) adoptKeepers(now int64, out *fleet.Out) {
	slices.Sort(p.announcedKeepers)
	for _, key := range slices.Compact(p.announcedKeepers) {
		if k := p.keeperOf(key); k != nil {
			if h := p.client(now, key); h != nil {
				if h.entry.turnoverShare.Load() == 0 { // until the keeper has sent this process its share
					h.entry.turnoverShare.Store(k.turnover / int64(max(1, len(p.view.Members))))
				}
				p.raiseFence(now, h, k.name, uint64(k.value), out)
			}
		}
	}
	p.announcedKeepers = p.announcedKeepers[:0]
}

// Tick takes what the loop has reported, and does what is due.
func (p *Part) Tick(now int64, out *fleet.Out) {
	p.now = now
	p.readQueue(now, out)
	for len(p.dueClients) > 0 && p.dueClients[0].at <= now {
		d := heap.Pop(&p.dueClients).(dueTime)
		if h := p.clients[d.key]; h != nil && h.checkAt == d.at {
			h.checkAt = math.MaxInt64
			p.tickClient(now, h, out)
		}
	}
	if now-p.ledgersCheckedAt >= ledgerInterval {
		p.ledgersCheckedAt = now
		p.tickLedgers(now, out)
	}
	if now-p.evaluatedAt >= evaluateInterval {
		p.evaluatedAt = now
		p.evaluate(now, out)
		p.sweep(now)
		maps.DeleteFunc(p.retired, func(_ string, s *tableEntry) bool { return s.open.Load() <= 0 })
		p.publish(now, out)
	}
	p.flush(now, out)
}

// sweep forgets numbers whose keeper is not announced or heard any more.
func (p *Part) sweep(now int64) {
	if now-p.sweptAt < sweepInterval {
		return
	}
	p.sweptAt = now
	for _, h := range p.clients { // the order does not matter: each is checked on its own
		if now-h.keeperHeardAt > clientTimeout && p.keeperOf(h.entry.key) == nil && p.ledgers[h.entry.key] == nil {
			p.dropClient(h)
		}
	}
}

func (p *Part) readQueue(now int64, out *fleet.Out) {
	for range cap(p.queue.reports) {
		select {
		case r := <-p.queue.reports:
			switch r.kind {
			case reportChanged:
				if h := p.clients[r.entry.key]; h != nil && h.entry == r.entry {
					p.handleChange(now, h, out)
				} else {
					r.entry.reportQueued.Store(false)
				}
			case reportContended:
				p.recordContention(now, r)
			}
		default:
			return
		}
	}
}

// recordContention records that a number ends busy here; the least requested one is replaced if there is no room.
func (p *Part) recordContention(now int64, r report) {
	v := p.localDemands[r.key]
	if v == nil {
		if len(p.localDemands) >= maxLocalDemands {
			least := ""
			for key, w := range p.localDemands {
				if least == "" || w.rate < p.localDemands[least].rate || w.rate == p.localDemands[least].rate && key < least {
					least = key
				}
			}
			delete(p.localDemands, least)
		}
		v = &localDemand{}
		p.localDemands[r.key] = v
	}
	// A count that is halved every epoch covers about one and a half epochs.
	v.rate, v.updatedAt = float64(r.recentSetUps)*1e9/(1.5*epochLength), now
}

// Next returns when Tick is due.
func (p *Part) Next() int64 {
	next := p.now + idleInterval
	if len(p.clients) > 0 {
		next = p.now + p.cfg.Poll
	}
	if len(p.dueClients) > 0 {
		next = min(next, p.dueClients[0].at)
	}
	if len(p.ledgers)+len(p.claims) > 0 {
		next = min(next, p.ledgersCheckedAt+ledgerInterval)
	}
	return max(p.now, next)
}

func (p *Part) wakeClient(h *keeperClient, at int64) {
	if at < h.checkAt {
		h.checkAt = at
		heap.Push(&p.dueClients, dueTime{at, h.entry.key})
	}
}

// publish puts what this process keeps and sees in contention into its entry.
func (p *Part) publish(now int64, out *fleet.Out) {
	if now-p.publishedAt < publishInterval && p.publishedAt != 0 {
		return
	}
	if b := p.entryPart(now).encode(); !bytes.Equal(b, p.published) {
		p.published, p.publishedAt = b, now
		out.Tell(fleet.Keeper, b)
		p.readEntry(p.cfg.Self, b)
		p.announcedKeepers = p.announcedKeepers[:0]
	}
}

// Drain begins a planned shutdown: numbers kept here are handed over, and no more are claimed.
func (p *Part) Drain(now int64, out *fleet.Out) {
	p.now, p.draining = now, true
	for _, key := range sortedKeys(p.claims) {
		delete(p.claims, key)
		p.cfg.Lessor.Release(now, leaseName(key), out)
	}
	p.tickLedgers(now, out)
	p.flush(now, out)
}

// Drained tells whether all numbers kept here have been handed over.
func (p *Part) Drained() bool { return p.draining && len(p.ledgers) == 0 }

// emit queues an item for a process, this one included.
func (p *Part) emit(to string, it operation) {
	if to == p.cfg.Self {
		p.localOperations = append(p.localOperations, it)
	} else {
		p.outgoing[to] = append(p.outgoing[to], it)
	}
}

// flush handles the items addressed to this process, and sends the others.
func (p *Part) flush(now int64, out *fleet.Out) {
	for len(p.localOperations) > 0 {
		it := p.localOperations[0]
		p.localOperations = p.localOperations[1:]
		p.handleOperation(now, p.cfg.Self, it, out)
	}
	p.localOperations = nil
	if p.tableStale {
		p.tableStale = false
		slots := make(map[uint64]*tableEntry, len(p.clients))
		for _, h := range p.clients {
			slots[h.entry.hash] = h.entry
		}
		p.table.replace(slots)
	}
	if len(p.outgoing) == 0 {
		return
	}
	n := len(out.Send)
	for _, to := range sortedKeys(p.outgoing) {
		appendMessages(p.cfg.Self, to, p.outgoing[to], out)
	}
	clear(p.outgoing)
	p.counts.sent += uint64(len(out.Send) - n)
}

// handleItem handles one handleOperation of a message.
func (p *Part) handleOperation(now int64, from string, it operation, out *fleet.Out) {
	switch it.Op {
	case opReport:
		p.handleReport(now, from, it, out)
	case opAnswer:
		p.handleAnswer(now, from, it, out)
	case opOver:
		if h := p.clients[it.Key]; h != nil && it.Fence >= h.entry.fence.Load() && p.ledgers[it.Key] == nil {
			p.dropClient(h)
		}
	case opTake:
		if p.ledgers[it.Key] == nil && p.claims[it.Key].claimedAt == 0 && p.eligible(p.cfg.Self) {
			p.claimNumber(now, it.Key, out)
		}
	}
}

// handleReport takes a report for a number that this process keeps, or answers who keeps it.
func (p *Part) handleReport(now int64, from string, it operation, out *fleet.Out) {
	b := p.ledgers[it.Key]
	if b == nil {
		if h := p.clients[it.Key]; h != nil && h.entry.fence.Load() > it.Fence && h.keeper != p.cfg.Self {
			p.emit(from, operation{Op: opAnswer, Key: it.Key, Fence: h.entry.fence.Load(), Keeper: h.keeper})
		}
		return
	}
	g, held := p.cfg.Lessor.Held(now, b.leaseName)
	switch {
	case !held || g.Fence != b.fence || it.Fence > b.fence:
		return // the lease has ended, which the next check of the ledgers handles
	case it.Fence < b.fence:
		p.emit(from, operation{Op: opAnswer, Key: it.Key, Fence: b.fence})
		return
	}
	q := b.applyReport(now, from, it)
	if q == nil {
		p.counts.late++
		return
	}
	if it.Wanted > 0 && !q.answerPending {
		if b.answerReport(now, q, g); q.answerPending {
			p.ledgersCheckedAt = min(p.ledgersCheckedAt, now-ledgerInterval+pendingWriteDelay)
		} else {
			p.reply(now, b, q, out)
		}
	}
	p.grantAhead(now, b, out)
}

// replyPending sends the answers that waited for the record.
func (p *Part) replyPending(now int64, b *numberLedger, g lease.Grant, out *fleet.Out) {
	for _, q := range b.peers {
		if q.answerPending {
			b.answerReport(now, q, g)
			p.reply(now, b, q, out)
		}
	}
}

// reply tells a process what it was granted for its newest report.
func (p *Part) reply(now int64, b *numberLedger, q *peerState, out *fleet.Out) {
	again, stay, share := b.retryTimes(now, q)
	if q.granted >= q.report.Wanted {
		again = 0
	} else {
		p.counts.withoutPermit++
	}
	p.emit(q.name, operation{Op: opAnswer, Key: b.key, Fence: b.fence, ReportNumber: q.reportNumber, Incarnation: q.incarnation, Permits: q.granted, Lifetime: q.lifetime,
		RetryAfter: again, CallerRetryAfter: stay, TurnoverShare: share})
	if q.granted > 0 {
		p.counts.granted++
	}
}

// passNotes passes on the passNotes of a ledger.
func (p *Part) passNotes(b *numberLedger, out *fleet.Out) {
	out.Notes = append(out.Notes, b.notes...)
	b.notes = b.notes[:0]
}

// grantAhead grants what may be granted in advance, and passes on the notes.
func (p *Part) grantAhead(now int64, b *numberLedger, out *fleet.Out) {
	defer p.passNotes(b, out)
	g, held := p.cfg.Lessor.Held(now, b.leaseName)
	if !held || g.Fence != b.fence {
		return
	}
	for q := b.grantAhead(now, g); q != nil; q = b.grantAhead(now, g) {
		p.reply(now, b, q, out)
	}
}

// tickLedgers checks claimed and kept numbers: leases that were granted or have ended, records to be written, numbers
// to be handed over or given up.
func (p *Part) tickLedgers(now int64, out *fleet.Out) {
	for _, key := range sortedKeys(p.claims) {
		if g, ok := p.cfg.Lessor.Held(now, leaseName(key)); ok {
			delete(p.claims, key)
			p.startKeeping(now, key, g, out)
			continue
		}
		// Another process keeps it by now, or nobody grants the lease.
		if c := p.claims[key]; now-c.claimedAt > claimTimeout || p.keptElsewhere(key) && uint64(p.keeperOf(key).value) > c.knownFence {
			delete(p.claims, key)
			p.cfg.Lessor.Release(now, leaseName(key), out)
		}
	}
	for _, key := range sortedKeys(p.ledgers) {
		p.tickLedger(now, p.ledgers[key], out)
	}
}

// startKeeping creates the ledger from the previous keeper's record, and asks the processes that may hold lines what
// they hold.
func (p *Part) startKeeping(now int64, key string, g lease.Grant, out *fleet.Out) {
	b, err := newLedger(&p.cfg, key, leaseName(key), now, g)
	if err != nil {
		p.counts.badRecords++
		out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Keeper, What: "record", Thing: key, Fence: g.Fence, Text: err.Error()})
	}
	p.ledgers[key] = b
	p.counts.kept++
	out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Keeper, What: "kept", Thing: key, Fence: g.Fence, Until: g.Until, N: b.lines})
	hello := operation{Op: opAnswer, Key: key, Fence: g.Fence}
	p.emit(p.cfg.Self, hello)
	ask := map[string]bool{p.cfg.Self: true}
	if x := p.numbers[key]; x != nil {
		for _, t := range x.reporters {
			ask[t.name] = true
		}
	}
	for _, h := range b.previousHolders {
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
	p.publishedAt = 0
	p.publish(now, out)
}

func (p *Part) tickLedger(now int64, b *numberLedger, out *fleet.Out) {
	g, ok := p.cfg.Lessor.Held(now, b.leaseName)
	if !ok || g.Fence != b.fence {
		delete(p.ledgers, b.key)
		p.counts.lost++
		p.cfg.Lessor.Release(now, b.leaseName, out)
		out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Keeper, What: "lost", Thing: b.key, Fence: b.fence, Text: (&LostError{b.key}).Error()})
		p.publishedAt = 0
		return
	}
	if b.pendingWrite != 0 && g.Write >= b.pendingWrite {
		b.recordStored()
		p.replyPending(now, b, g, out)
		p.passNotes(b, out)
	}
	if b.handOverBy != 0 {
		if b.pendingWrite == 0 || now >= b.handOverBy {
			p.handOver(now, b, out)
		}
		return
	}
	b.forgetSilent(now)
	p.passNotes(b, out)
	b.probeLines(now)
	next := p.successor(now, b)
	if calm := now-b.refusedAt > p.cfg.CalmTime; calm || next != "" || p.mustHandOver() {
		b.handOverBy, b.successor = now+handOverTimeout, next
		if calm {
			b.successor = ""
		}
		p.storeRecord(now, b, out)
		return
	}
	soon := slices.ContainsFunc(b.peers, func(q *peerState) bool { return q.answerPending })
	if soon {
		p.ledgersCheckedAt = min(p.ledgersCheckedAt, now-ledgerInterval+pendingWriteDelay)
	}
	if b.dirty && b.pendingWrite == 0 && (now-b.writtenAt >= minWriteInterval || soon) || now-b.writtenAt >= 10*ledgerInterval && b.pendingWrite == 0 {
		p.storeRecord(now, b, out)
	}
	p.grantAhead(now, b, out)
}

// storeRecord writes the record with the lease.
func (p *Part) storeRecord(now int64, b *numberLedger, out *fleet.Out) {
	r := b.prepareRecord(now)
	n, err := p.cfg.Lessor.Write(now, b.leaseName, r.encode(), out)
	if err != nil {
		p.counts.badRecords++
		return
	}
	b.pendingWrite, b.writtenAt, b.dirty = n, now, false
}

// handOver gives a number up to the next keeper, or to nobody.
func (p *Part) handOver(now int64, b *numberLedger, out *fleet.Out) {
	delete(p.ledgers, b.key)
	p.cfg.Lessor.Release(now, b.leaseName, out)
	what := "moved"
	if b.successor == "" {
		what = "over"
		p.counts.over++
		for _, q := range b.peers {
			p.emit(q.name, operation{Op: opOver, Key: b.key, Fence: b.fence})
		}
	} else {
		p.counts.moved++
		p.emit(b.successor, operation{Op: opTake, Key: b.key, Fence: b.fence})
	}
	out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Keeper, What: what, Thing: b.key, Fence: b.fence, N: b.lines, Text: b.successor})
	p.publishedAt = 0
	p.publish(now, out)
}

// Figures reports the counters and gauges of the Part.
func (p *Part) Figures(put func(name string, n uint64, gauge bool)) {
	c := &p.counts
	put("keeper_numbers", uint64(len(p.clients)), true)
	put("keeper_kept_now", uint64(len(p.ledgers)), true)
	lines, held := int64(0), int64(0)
	for _, b := range p.ledgers {
		n, _ := b.held(p.now)
		lines, held = lines+b.lines, held+n
	}
	put("keeper_lines", uint64(lines), true)
	put("keeper_lines_held", uint64(held), true)
	put("keeper_claims", c.claims, false)
	put("keeper_kept", c.kept, false)
	put("keeper_lost", c.lost, false)
	put("keeper_moved", c.moved, false)
	put("keeper_over", c.over, false)
	put("keeper_no_room", c.noRoom, false)
	put("keeper_table_full", c.tableFull, false)
	put("keeper_reports", c.reports, false)
	put("keeper_grants", c.granted, false)
	put("keeper_none", c.withoutPermit, false)
	put("keeper_permits_taken", c.permitsTaken, false)
	put("keeper_permits_back", c.permitsReturned, false)
	put("keeper_late", c.late, false)
	put("keeper_low_fence", c.lowFence, false)
	put("keeper_unanswered", c.unanswered, false)
	put("keeper_unread", c.unread, false)
	put("keeper_bad_record", c.badRecords, false)
	put("keeper_messages_in", c.received, false)
	put("keeper_messages_out", c.sent, false)
}

func leaseName(key string) string { return "number/" + key }

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
