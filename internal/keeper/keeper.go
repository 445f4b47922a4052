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

// maxOwned bounds the numbers that one process owns, so that its part of the entry holds them all.
const maxOwned = 16

const (
	ledgerInterval  = 100_000 // interval at which ledgers are checked
	publishInterval = 500_000 // least time between two updates of the entry
	idleInterval    = 250_000 // interval at which the queue is read while no number is in contention
	sweepInterval   = 2_000_000
	handOverTimeout = 300_000 // longest wait of a hand-over for the record to be stored
)

// Module is the state machine of one process: it detects which numbers are in contention, takes and gives up ownership
// of numbers, grants permits for those it owns, and requests permits for those that others own. It is not safe for
// concurrent use.
type Module struct {
	cfg   Config
	table *Table
	queue *Queue
	now   int64
	view  *fleet.View

	entries         map[string]*memberEntry // by process
	numbers         map[string]*numberState // by number
	announcedOwners []string                // numbers for which an entry announced an owner
	localDemands    map[string]*localDemand // numbers that this process sees in contention
	clients         map[string]*ownerClient
	retired         map[string]*tableEntry   // numbers that are no longer followed but still have calls
	ledgers         map[string]*numberLedger // numbers that this process owns
	claims          map[string]claim         // numbers that it claims

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

// counts holds what a Module has done since its start.
type counts struct {
	claims, acquired, lost, moved, over                           uint64
	reports, granted, withoutPermit                               uint64
	permitsTaken, permitsReturned, outdated, lowFence, unanswered uint64
	undecodable, tableFull, noRoom, received, sent, badRecords    uint64
}

// claim is a number whose lease this process has requested.
type claim struct {
	claimedAt  int64
	knownFence uint64 // of the owner known at the time: a process announced under a higher one owns the number
}

// dueTime is a time at which the client of a number is to be checked.
type dueTime struct {
	at  int64
	key string
}

// dueHeap is a heap of due times.
type dueHeap []dueTime

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].key < h[j].key
}
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *dueHeap) Push(x any)   { *h = append(*h, x.(dueTime)) }
func (h *dueHeap) Pop() any     { old := *h; last := old[len(old)-1]; *h = old[:len(old)-1]; return last }

// New returns the Module of a process, or a *ConfigError. It shares the table and the queue with the process's
// AdmissionFilter. Its driver calls Tick when Queue.Wake has a value, and at Next at the latest.
func New(cfg Config, table *Table, queue *Queue) (*Module, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Module{cfg: cfg.withDefaults(), table: table, queue: queue, entries: map[string]*memberEntry{},
		numbers: map[string]*numberState{}, localDemands: map[string]*localDemand{},
		clients: map[string]*ownerClient{}, retired: map[string]*tableEntry{},
		ledgers: map[string]*numberLedger{}, claims: map[string]claim{},
		outgoing: map[string][]operation{}}, nil
}

// Kind returns fleet.Keeper.
func (p *Module) Kind() fleet.Kind { return fleet.Keeper }

// Start takes the start time.
func (p *Module) Start(now int64, out *fleet.Out) {
	p.now, p.evaluatedAt, p.ledgersCheckedAt = now, now, now
}

// Done does nothing: the Module has no acts.
func (p *Module) Done(now int64, act fleet.Act, err error, out *fleet.Out) {}

// Message takes a message of another process. What cannot be decoded is counted and ignored.
func (p *Module) Message(now int64, message fleet.Message, out *fleet.Out) {
	p.now = now
	p.counts.received++
	ops, err := decodeOperations(message)
	if err != nil {
		p.counts.undecodable++
	}
	for _, op := range ops {
		p.handleOperation(now, message.From, op, out)
	}
	p.flush(now, out)
}

// View takes a new view of the processes.
func (p *Module) View(now int64, view *fleet.View, out *fleet.Out) {
	previous := p.view
	p.now, p.view = now, view
	for i := range view.Members {
		member := &view.Members[i]
		// Most entries are unchanged since the last view, and at the same index.
		if previous != nil && i < len(previous.Members) {
			if old := &previous.Members[i]; old.Name == member.Name && old.Version == member.Version &&
				old.Incarnation == member.Incarnation {
				continue
			}
		}
		p.readEntry(member.Name, member.Parts[fleet.Keeper])
	}
	if previous != nil && len(p.entries) > 0 {
		for name := range p.entries { // the order does not matter: each entry is removed on its own
			if view.Member(name) == nil {
				p.readEntry(name, nil)
				delete(p.entries, name)
			}
		}
	}
	p.adoptOwners(now, out)
	p.flush(now, out)
}

// adoptOwners creates or updates the clients of the numbers for which entries have announced owners.
func (p *Module) adoptOwners(now int64, out *fleet.Out) {
	slices.Sort(p.announcedOwners)
	for _, key := range slices.Compact(p.announcedOwners) {
		if owner := p.ownerOf(key); owner != nil {
			if client := p.client(now, key); client != nil {
				if client.entry.turnoverShare.Load() == 0 { // until the owner has sent this process its share
					client.entry.turnoverShare.Store(owner.turnover / int64(max(1, len(p.view.Members))))
				}
				p.raiseFence(now, client, owner.name, uint64(owner.value), out)
			}
		}
	}
	p.announcedOwners = p.announcedOwners[:0]
}

// Tick takes what the loop has reported, and does what is due.
func (p *Module) Tick(now int64, out *fleet.Out) {
	p.now = now
	p.readQueue(now, out)
	for len(p.dueClients) > 0 && p.dueClients[0].at <= now {
		due := heap.Pop(&p.dueClients).(dueTime)
		if client := p.clients[due.key]; client != nil && client.checkAt == due.at {
			client.checkAt = math.MaxInt64
			p.tickClient(now, client, out)
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
		maps.DeleteFunc(p.retired, func(_ string, entry *tableEntry) bool { return entry.open.Load() <= 0 })
		p.publish(now, out)
	}
	p.flush(now, out)
}

// sweep forgets numbers whose owner is not announced or heard any more.
func (p *Module) sweep(now int64) {
	if now-p.sweptAt < sweepInterval {
		return
	}
	p.sweptAt = now
	for _, client := range p.clients { // the order does not matter: each is checked on its own
		if now-client.ownerHeardAt > clientTimeout && p.ownerOf(client.entry.key) == nil &&
			p.ledgers[client.entry.key] == nil {
			p.dropClient(client)
		}
	}
}

func (p *Module) readQueue(now int64, out *fleet.Out) {
	for range cap(p.queue.reports) {
		select {
		case report := <-p.queue.reports:
			switch report.kind {
			case reportChanged:
				if client := p.clients[report.entry.key]; client != nil && client.entry == report.entry {
					p.handleChange(now, client, out)
				} else {
					report.entry.reportQueued.Store(false)
				}
			case reportContended:
				p.recordContention(now, report)
			}
		default:
			return
		}
	}
}

// recordContention records that calls to a number end busy here. It replaces the least requested number if there is no
// room.
func (p *Module) recordContention(now int64, report report) {
	demand := p.localDemands[report.key]
	if demand == nil {
		if len(p.localDemands) >= maxLocalDemands {
			least := ""
			for key, other := range p.localDemands {
				if least == "" || other.rate < p.localDemands[least].rate ||
					other.rate == p.localDemands[least].rate && key < least {
					least = key
				}
			}
			delete(p.localDemands, least)
		}
		demand = &localDemand{}
		p.localDemands[report.key] = demand
	}
	// A count that is halved every epoch covers about one and a half epochs.
	demand.rate, demand.updatedAt = float64(report.recentSetUps)*1e9/(1.5*epochLength), now
}

// Next returns when Tick is due.
func (p *Module) Next() int64 {
	next := p.now + idleInterval
	if len(p.clients) > 0 {
		next = p.now + p.cfg.PollInterval
	}
	if len(p.dueClients) > 0 {
		next = min(next, p.dueClients[0].at)
	}
	if len(p.ledgers)+len(p.claims) > 0 {
		next = min(next, p.ledgersCheckedAt+ledgerInterval)
	}
	return max(p.now, next)
}

func (p *Module) wakeClient(client *ownerClient, at int64) {
	if at < client.checkAt {
		client.checkAt = at
		heap.Push(&p.dueClients, dueTime{at, client.entry.key})
	}
}

// publish puts the numbers that this process owns or sees in contention into its entry.
func (p *Module) publish(now int64, out *fleet.Out) {
	if now-p.publishedAt < publishInterval && p.publishedAt != 0 {
		return
	}
	if encoded := p.entryPart(now).encode(); !bytes.Equal(encoded, p.published) {
		p.published, p.publishedAt = encoded, now
		out.Tell(fleet.Keeper, encoded)
		p.readEntry(p.cfg.Self, encoded)
		p.announcedOwners = p.announcedOwners[:0]
	}
}

// Drain begins a planned shutdown: numbers owned here are handed over, and no more are claimed.
func (p *Module) Drain(now int64, out *fleet.Out) {
	p.now, p.draining = now, true
	for _, key := range sortedKeys(p.claims) {
		delete(p.claims, key)
		p.cfg.Lessor.Release(now, leaseName(key), out)
	}
	p.tickLedgers(now, out)
	p.flush(now, out)
}

// Drained tells whether all numbers owned here have been handed over.
func (p *Module) Drained() bool { return p.draining && len(p.ledgers) == 0 }

// emit queues an operation for a process, this one included.
func (p *Module) emit(to string, op operation) {
	if to == p.cfg.Self {
		p.localOperations = append(p.localOperations, op)
	} else {
		p.outgoing[to] = append(p.outgoing[to], op)
	}
}

// flush handles the operations addressed to this process, and sends the others.
func (p *Module) flush(now int64, out *fleet.Out) {
	for len(p.localOperations) > 0 {
		op := p.localOperations[0]
		p.localOperations = p.localOperations[1:]
		p.handleOperation(now, p.cfg.Self, op, out)
	}
	p.localOperations = nil
	if p.tableStale {
		p.tableStale = false
		entries := make(map[uint64]*tableEntry, len(p.clients))
		for _, client := range p.clients {
			entries[client.entry.hash] = client.entry
		}
		p.table.replace(entries)
	}
	if len(p.outgoing) == 0 {
		return
	}
	queued := len(out.Send)
	for _, to := range sortedKeys(p.outgoing) {
		appendMessages(p.cfg.Self, to, p.outgoing[to], out)
	}
	clear(p.outgoing)
	p.counts.sent += uint64(len(out.Send) - queued)
}

// handleOperation handles one operation of a message.
func (p *Module) handleOperation(now int64, from string, op operation, out *fleet.Out) {
	switch op.Op {
	case opReport:
		p.handleReport(now, from, op, out)
	case opAnswer:
		p.handleAnswer(now, from, op, out)
	case opOver:
		if client := p.clients[op.Key]; client != nil && op.Fence >= client.entry.fence.Load() &&
			p.ledgers[op.Key] == nil {
			p.dropClient(client)
		}
	case opTake:
		if p.ledgers[op.Key] == nil && p.claims[op.Key].claimedAt == 0 && p.eligible(p.cfg.Self) {
			p.claimNumber(now, op.Key, out)
		}
	}
}

// handleReport takes a report for a number that this process owns, or answers who owns it.
func (p *Module) handleReport(now int64, from string, op operation, out *fleet.Out) {
	ledger := p.ledgers[op.Key]
	if ledger == nil {
		if client := p.clients[op.Key]; client != nil && client.entry.fence.Load() > op.Fence &&
			client.owner != p.cfg.Self {
			p.emit(from, operation{Op: opAnswer, Key: op.Key, Fence: client.entry.fence.Load(), Owner: client.owner})
		}
		return
	}
	grant, held := p.cfg.Lessor.Held(now, ledger.leaseName)
	switch {
	case !held || grant.Fence != ledger.fence || op.Fence > ledger.fence:
		return // the lease has ended, which the next check of the ledgers handles
	case op.Fence < ledger.fence:
		p.emit(from, operation{Op: opAnswer, Key: op.Key, Fence: ledger.fence})
		return
	}
	peer := ledger.applyReport(now, from, op)
	if peer == nil {
		p.counts.outdated++
		return
	}
	if op.Wanted > 0 && !peer.answerPending {
		if ledger.answerReport(now, peer, grant); peer.answerPending {
			p.ledgersCheckedAt = min(p.ledgersCheckedAt, now-ledgerInterval+pendingWriteDelay)
		} else {
			p.reply(now, ledger, peer, out)
		}
	}
	p.grantAhead(now, ledger, out)
}

// replyPending sends the answers that waited for the record.
func (p *Module) replyPending(now int64, ledger *numberLedger, grant lease.Grant, out *fleet.Out) {
	for _, peer := range ledger.peers {
		if peer.answerPending {
			ledger.answerReport(now, peer, grant)
			p.reply(now, ledger, peer, out)
		}
	}
}

// reply tells a process what it was granted for its newest report.
func (p *Module) reply(now int64, ledger *numberLedger, peer *peerState, out *fleet.Out) {
	retryAfter, callerRetryAfter, share := ledger.retryTimes(now, peer)
	if peer.granted >= peer.report.Wanted {
		retryAfter = 0
	} else {
		p.counts.withoutPermit++
	}
	p.emit(peer.name, operation{Op: opAnswer, Key: ledger.key, Fence: ledger.fence, ReportNumber: peer.reportNumber,
		Incarnation: peer.incarnation, Permits: peer.granted, Lifetime: peer.lifetime,
		RetryAfter: retryAfter, CallerRetryAfter: callerRetryAfter, TurnoverShare: share})
	if peer.granted > 0 {
		p.counts.granted++
	}
}

// passNotes passes on the notes of a ledger.
func (p *Module) passNotes(ledger *numberLedger, out *fleet.Out) {
	out.Notes = append(out.Notes, ledger.notes...)
	ledger.notes = ledger.notes[:0]
}

// grantAhead grants what may be granted in advance, and passes on the notes.
func (p *Module) grantAhead(now int64, ledger *numberLedger, out *fleet.Out) {
	defer p.passNotes(ledger, out)
	grant, held := p.cfg.Lessor.Held(now, ledger.leaseName)
	if !held || grant.Fence != ledger.fence {
		return
	}
	for peer := ledger.grantAhead(now, grant); peer != nil; peer = ledger.grantAhead(now, grant) {
		p.reply(now, ledger, peer, out)
	}
}

// tickLedgers checks claimed and owned numbers: leases that were granted or have ended, records to be written, numbers
// to be handed over or given up.
func (p *Module) tickLedgers(now int64, out *fleet.Out) {
	for _, key := range sortedKeys(p.claims) {
		if grant, ok := p.cfg.Lessor.Held(now, leaseName(key)); ok {
			delete(p.claims, key)
			p.startOwnership(now, key, grant, out)
			continue
		}
		// Another process owns it by now, or the lease was not granted in time.
		if pending := p.claims[key]; now-pending.claimedAt > claimTimeout ||
			p.ownedElsewhere(key) && uint64(p.ownerOf(key).value) > pending.knownFence {
			delete(p.claims, key)
			p.cfg.Lessor.Release(now, leaseName(key), out)
		}
	}
	for _, key := range sortedKeys(p.ledgers) {
		p.tickLedger(now, p.ledgers[key], out)
	}
}

// startOwnership creates the ledger from the previous owner's record, and asks the processes that may hold lines to
// report what they hold.
func (p *Module) startOwnership(now int64, key string, grant lease.Grant, out *fleet.Out) {
	ledger, err := newLedger(&p.cfg, key, leaseName(key), now, grant)
	if err != nil {
		p.counts.badRecords++
		out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Keeper, What: "record", Thing: key, Fence: grant.Fence,
			Text: err.Error()})
	}
	p.ledgers[key] = ledger
	p.counts.acquired++
	out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Keeper, What: "kept", Thing: key, Fence: grant.Fence,
		Until: grant.Until, N: ledger.lines})
	notice := operation{Op: opAnswer, Key: key, Fence: grant.Fence}
	p.emit(p.cfg.Self, notice)
	recipients := map[string]bool{p.cfg.Self: true}
	if state := p.numbers[key]; state != nil {
		for _, reporter := range state.reporters {
			recipients[reporter.name] = true
		}
	}
	for _, holder := range ledger.previousHolders {
		for _, member := range p.members() {
			if nameHash(member.Name) == holder.name {
				recipients[member.Name] = true
			}
		}
	}
	for _, name := range sortedKeys(recipients) {
		if name != p.cfg.Self {
			p.emit(name, notice)
		}
	}
	p.publishedAt = 0
	p.publish(now, out)
}

func (p *Module) tickLedger(now int64, ledger *numberLedger, out *fleet.Out) {
	grant, ok := p.cfg.Lessor.Held(now, ledger.leaseName)
	if !ok || grant.Fence != ledger.fence {
		delete(p.ledgers, ledger.key)
		p.counts.lost++
		p.cfg.Lessor.Release(now, ledger.leaseName, out)
		out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Keeper, What: "lost", Thing: ledger.key,
			Fence: ledger.fence, Text: (&OwnershipLostError{ledger.key}).Error()})
		p.publishedAt = 0
		return
	}
	if ledger.pendingWrite != 0 && grant.Write >= ledger.pendingWrite {
		ledger.recordStored()
		p.replyPending(now, ledger, grant, out)
		p.passNotes(ledger, out)
	}
	if ledger.handOverBy != 0 {
		if ledger.pendingWrite == 0 || now >= ledger.handOverBy {
			p.handOver(now, ledger, out)
		}
		return
	}
	ledger.forgetSilent(now)
	p.passNotes(ledger, out)
	ledger.probeLines(now)
	successor := p.successor(now, ledger)
	if calm := now-ledger.refusedAt > p.cfg.CalmTime; calm || successor != "" || p.mustHandOver() {
		ledger.handOverBy, ledger.successor = now+handOverTimeout, successor
		if calm {
			ledger.successor = ""
		}
		p.storeRecord(now, ledger, out)
		return
	}
	urgent := slices.ContainsFunc(ledger.peers, func(peer *peerState) bool { return peer.answerPending })
	if urgent {
		p.ledgersCheckedAt = min(p.ledgersCheckedAt, now-ledgerInterval+pendingWriteDelay)
	}
	if ledger.dirty && ledger.pendingWrite == 0 && (now-ledger.writtenAt >= minWriteInterval || urgent) ||
		now-ledger.writtenAt >= 10*ledgerInterval && ledger.pendingWrite == 0 {
		p.storeRecord(now, ledger, out)
	}
	p.grantAhead(now, ledger, out)
}

// storeRecord writes the record with the lease.
func (p *Module) storeRecord(now int64, ledger *numberLedger, out *fleet.Out) {
	rec := ledger.prepareRecord(now)
	write, err := p.cfg.Lessor.Write(now, ledger.leaseName, rec.encode(), out)
	if err != nil {
		p.counts.badRecords++
		return
	}
	ledger.pendingWrite, ledger.writtenAt, ledger.dirty = write, now, false
}

// handOver releases the lease of a number and asks the next owner to claim it; without one, it tells the processes in
// the ledger that the contention is over.
func (p *Module) handOver(now int64, ledger *numberLedger, out *fleet.Out) {
	delete(p.ledgers, ledger.key)
	p.cfg.Lessor.Release(now, ledger.leaseName, out)
	what := "moved"
	if ledger.successor == "" {
		what = "over"
		p.counts.over++
		for _, peer := range ledger.peers {
			p.emit(peer.name, operation{Op: opOver, Key: ledger.key, Fence: ledger.fence})
		}
	} else {
		p.counts.moved++
		p.emit(ledger.successor, operation{Op: opTake, Key: ledger.key, Fence: ledger.fence})
	}
	out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Keeper, What: what, Thing: ledger.key, Fence: ledger.fence,
		N: ledger.lines, Text: ledger.successor})
	p.publishedAt = 0
	p.publish(now, out)
}

// Figures reports the counters and gauges of the Module.
func (p *Module) Figures(put func(name string, n uint64, gauge bool)) {
	counts := &p.counts
	put("keeper_numbers", uint64(len(p.clients)), true)
	put("keeper_kept_now", uint64(len(p.ledgers)), true)
	lines, held := int64(0), int64(0)
	for _, ledger := range p.ledgers {
		ledgerHeld, _ := ledger.held(p.now)
		lines, held = lines+ledger.lines, held+ledgerHeld
	}
	put("keeper_lines", uint64(lines), true)
	put("keeper_lines_held", uint64(held), true)
	put("keeper_claims", counts.claims, false)
	put("keeper_kept", counts.acquired, false)
	put("keeper_lost", counts.lost, false)
	put("keeper_moved", counts.moved, false)
	put("keeper_over", counts.over, false)
	put("keeper_no_room", counts.noRoom, false)
	put("keeper_table_full", counts.tableFull, false)
	put("keeper_reports", counts.reports, false)
	put("keeper_grants", counts.granted, false)
	put("keeper_none", counts.withoutPermit, false)
	put("keeper_permits_taken", counts.permitsTaken, false)
	put("keeper_permits_back", counts.permitsReturned, false)
	put("keeper_late", counts.outdated, false)
	put("keeper_low_fence", counts.lowFence, false)
	put("keeper_unanswered", counts.unanswered, false)
	put("keeper_unread", counts.undecodable, false)
	put("keeper_bad_record", counts.badRecords, false)
	put("keeper_messages_in", counts.received, false)
	put("keeper_messages_out", counts.sent, false)
}

func leaseName(key string) string { return "number/" + key }

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
