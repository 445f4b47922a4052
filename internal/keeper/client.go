package keeper

import (
	"math"

	"pewterwheel/internal/fleet"
)

const (
	minReportGap         = 20_000    // least time between two reports of one number while no set-up waits
	unreachableReportGap = 200_000   // the same while its owner does not answer
	clientTimeout        = 6_000_000 // a number whose owner is not known or heard any more is forgotten after this
	minAdvanceDemand     = 0.5       // calls in the lifetime of a permit from which permits are granted in advance
	rateWindow           = 5_000_000 // averaging window of the demand
)

// ownerClient is the state of this process as a client of a number's owner, which may be this process itself.
type ownerClient struct {
	entry          *tableEntry
	owner          string
	reportNumber   uint64 // number of its newest report; reportedAt: when that was sent
	reportedAt     int64
	awaitingAnswer bool  // set-ups wait for the answer to that report
	permitsTaken   int64 // permits accepted in answer to it
	ownerHeardAt   int64 // when its owner was last heard of
	checkAt        int64 // when it is to be checked next
	changed        bool  // something has changed since the report
	notedLines     int64 // lines in the last note, plus one; 0: none under this fence

	ratedRequested, ratedRefused uint64 // as of the last update of rate
	rate                         float64
	ratedAt                      int64
	refusedAt                    int64 // when a call was last refused here; 0: never
	requestedAt                  int64 // when there was last a set-up; 0: never
}

// heldLines returns the lines of the number that this process holds, and how many of these are unused permits. The
// loop counts a call as open before it takes its permit, so the unused permits are read first: no permit is missed.
func (c *ownerClient) heldLines() (held, unused int64) {
	unused = c.entry.unusedPermits()
	return unused + c.entry.open.Load(), unused
}

// recentlyRequested tells whether there were set-ups for the number recently.
func (c *ownerClient) recentlyRequested(now int64) bool {
	return c.requestedAt != 0 && now-c.requestedAt < recentWindow
}

// updateRate brings the demand up to date.
func (c *ownerClient) updateRate(now int64) {
	requested, refused := c.entry.requested.Load(), c.entry.refused.Load()
	if requested != c.ratedRequested {
		c.requestedAt = now
	}
	if refused != c.ratedRefused {
		c.refusedAt = now
	}
	if elapsed := float64(now - c.ratedAt); elapsed > 0 {
		decay := math.Exp(-elapsed / rateWindow)
		c.rate = c.rate*decay + (1-decay)*float64(requested-c.ratedRequested)/elapsed*1e9
		c.ratedAt = now
		c.ratedRequested, c.ratedRefused = requested, refused
	}
}

// client returns the client for a number. If there is none, it is created, and its entry added to the table; nil: the
// table is full.
func (p *Module) client(now int64, key string) *ownerClient {
	if client := p.clients[key]; client != nil {
		return client
	}
	if len(p.clients) >= p.cfg.TableSize {
		p.counts.tableFull++
		return nil
	}
	entry := p.retired[key]
	if entry == nil {
		entry = newTableEntry(key)
	}
	p.tableStale = true
	delete(p.retired, key)
	client := &ownerClient{entry: entry, ownerHeardAt: now, ratedAt: now, checkAt: math.MaxInt64,
		ratedRequested: entry.requested.Load(), ratedRefused: entry.refused.Load()}
	if demand := p.localDemands[key]; demand != nil {
		client.rate, client.requestedAt = demand.rate, now
	}
	p.clients[key] = client
	return client
}

// dropClient forgets a number. Its open calls are followed to their end: they count if the number returns before
// that.
func (p *Module) dropClient(client *ownerClient) {
	client.entry.removeBatches(func(*batch) bool { return true })
	p.tableStale = true
	delete(p.clients, client.entry.key)
	if client.entry.open.Load() > 0 && len(p.retired) < p.cfg.TableSize {
		p.retired[client.entry.key] = client.entry
	}
}

// raiseFence adopts the fence of a new owner if it is higher than the known one: permits with a lower fence are taken
// back, and the new owner is told what is held here.
func (p *Module) raiseFence(now int64, client *ownerClient, owner string, fence uint64, out *fleet.Out) {
	if fence <= client.entry.fence.Load() {
		return
	}
	client.entry.fence.Store(fence)
	client.owner, client.ownerHeardAt, client.awaitingAnswer, client.notedLines = owner, now, false, 0
	p.counts.permitsReturned += uint64(client.entry.removeBatches(func(batch *batch) bool {
		return batch.fence < fence && !p.cfg.disabled.noFencing
	}))
	client.entry.noPermitUntil.Store(0)
	client.entry.ownerUnreachable.Store(false)
	if held, _ := client.heldLines(); held > 0 || client.recentlyRequested(now) {
		p.sendReport(now, client, out)
	}
}

// sendReport tells the owner what is held here, and requests permits for the waiting set-ups. Permits for an earlier
// report are no longer accepted, so the owner knows exactly which ones are out.
func (p *Module) sendReport(now int64, client *ownerClient, out *fleet.Out) {
	entry := client.entry
	entry.reportQueued.Store(false)
	client.updateRate(now)
	wanted := entry.waitingCount.Load()
	if entry.ownerUnreachable.Load() { // no set-up waits for an unreachable owner, but it is asked until it answers
		wanted = max(wanted, 1)
	}
	client.reportNumber++
	client.reportedAt, client.permitsTaken, client.awaitingAnswer, client.changed = now, 0, wanted > 0, false
	entry.removeBatches(func(batch *batch) bool { return now >= batch.expiresAt })
	held, unused := client.heldLines()
	if p.counts.reports++; client.notedLines != held+1 {
		client.notedLines = held + 1
		out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Keeper, What: "told", Thing: entry.key,
			Fence: entry.fence.Load(), N: held})
	}
	p.emit(client.owner, operation{Op: opReport, Key: entry.key, Fence: entry.fence.Load(),
		ReportNumber: client.reportNumber, Incarnation: p.cfg.Incarnation, Held: held, Unused: unused,
		Calls: max(0, entry.calls.Load()), Wanted: wanted, Rate: int64(client.rate), Busy: entry.busy.Load(),
		Began: entry.began.Load(), Ended: entry.ended.Load(), Refused: entry.refused.Load()})
	p.scheduleClient(now, client)
}

// handleAnswer takes an owner's answer.
func (p *Module) handleAnswer(now int64, from string, op operation, out *fleet.Out) {
	owner := from
	if op.Owner != "" {
		owner = op.Owner
	}
	client := p.clients[op.Key]
	if client == nil {
		if op.Fence == 0 {
			return
		}
		if client = p.client(now, op.Key); client == nil {
			return
		}
	}
	fence := client.entry.fence.Load()
	// Ignore an owner that does not know that its lease has ended.
	if op.Fence < fence && !p.cfg.disabled.noFencing {
		p.counts.lowFence++
		return
	}
	p.raiseFence(now, client, owner, op.Fence, out)
	if op.ReportNumber == 0 || op.ReportNumber != client.reportNumber || op.Incarnation != p.cfg.Incarnation {
		if op.ReportNumber != 0 {
			p.counts.outdated++
		}
		return
	}
	client.ownerHeardAt = now
	client.entry.ownerUnreachable.Store(false)
	if granted := op.Permits - client.permitsTaken; granted > 0 {
		if until := client.reportedAt + op.Lifetime; now < until || p.cfg.disabled.noPermitExpiry {
			client.permitsTaken = op.Permits
			added := &batch{fence: op.Fence, expiresAt: until}
			added.remaining.Store(granted)
			client.entry.addBatch(added)
			p.counts.permitsTaken += uint64(granted)
			out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Keeper, What: "permit", Thing: op.Key, Fence: op.Fence,
				Until: until, N: granted})
		} else {
			p.counts.outdated++
		}
	}
	noPermitUntil := int64(0)
	if op.RetryAfter > 0 {
		noPermitUntil = now + op.RetryAfter
	}
	client.entry.callerRetryAfter.Store(op.CallerRetryAfter)
	client.entry.turnoverShare.Store(op.TurnoverShare)
	client.entry.noPermitUntil.Store(noPermitUntil)
	client.awaitingAnswer = false
	p.scheduleClient(now, client)
}

// handleChange handles the loop's notice that something differs from the last report.
func (p *Module) handleChange(now int64, client *ownerClient, out *fleet.Out) {
	client.entry.reportQueued.Store(false)
	client.changed = true
	p.tickClient(now, client, out)
}

// tickClient does what is due for a number.
func (p *Module) tickClient(now int64, client *ownerClient, out *fleet.Out) {
	if client.awaitingAnswer && now >= client.reportedAt+p.cfg.AnswerTimeout {
		// The owner is unreachable, or the message was lost: waiting set-ups use the fallback share, and the owner
		// is asked again.
		client.awaitingAnswer, client.changed = false, true
		client.entry.ownerUnreachable.Store(true)
		p.counts.unanswered++
	}
	unreachable := client.entry.ownerUnreachable.Load()
	if returned := client.entry.removeBatches(func(batch *batch) bool {
		return now >= batch.expiresAt && !p.cfg.disabled.noPermitExpiry
	}); returned > 0 {
		p.counts.permitsReturned += uint64(returned)
		client.changed = true
	}
	wanted := client.entry.waitingCount.Load()
	held, _ := client.heldLines()
	active := held > 0 || client.recentlyRequested(now) || client.entry.requested.Load() != client.ratedRequested
	switch {
	case wanted > 0 && !client.awaitingAnswer && !unreachable, // a set-up waits
		client.changed && !client.awaitingAnswer && now-client.reportedAt >= p.minReportInterval(unreachable),
		active && !client.awaitingAnswer && now-client.reportedAt >= p.reportInterval(now, client):
		p.sendReport(now, client, out)
	}
	p.scheduleClient(now, client)
}

// reportInterval returns the interval of reports without changes: if a call is likely within the lifetime of a
// permit, short enough for a permit to be granted in advance; else short enough for the owner not to take this process
// for silent.
func (p *Module) reportInterval(now int64, client *ownerClient) int64 {
	if client.recentlyRequested(now) && client.rate*1e-9*float64(p.cfg.PermitLifetime) >= minAdvanceDemand {
		return p.cfg.PermitLifetime / 2
	}
	return p.cfg.SilenceTimeout / 3
}

func (p *Module) minReportInterval(unreachable bool) int64 {
	if unreachable {
		return unreachableReportGap
	}
	return minReportGap
}

// scheduleClient sets when a number is checked next.
func (p *Module) scheduleClient(now int64, client *ownerClient) {
	next := int64(math.MaxInt64)
	// Without lines held or recent set-ups nothing is due until the loop reports something.
	if held, _ := client.heldLines(); held > 0 || client.recentlyRequested(now) {
		next = max(now, client.reportedAt+p.reportInterval(now, client))
	}
	for _, batch := range *client.entry.batches.Load() {
		if batch.remaining.Load() > 0 && !p.cfg.disabled.noPermitExpiry {
			next = min(next, batch.expiresAt)
		}
	}
	if client.awaitingAnswer {
		next = min(next, client.reportedAt+p.cfg.AnswerTimeout)
	} else if client.changed {
		next = min(next, client.reportedAt+p.minReportInterval(client.entry.ownerUnreachable.Load()))
	} else if client.entry.waitingCount.Load() > 0 {
		next = min(next, now+p.cfg.PollInterval)
	}
	if next != math.MaxInt64 {
		p.wakeClient(client, max(next, now+1000))
	}
}
