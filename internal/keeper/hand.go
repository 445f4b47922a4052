package keeper

import (
	"math"

	"pewterwheel/internal/fleet"
)

const (
	minReportGap         = 20_000    // least time between two reports of one number while no set-up waits
	unreachableReportGap = 200_000   // the same while its keeper does not answer
	clientTimeout        = 6_000_000 // a number whose keeper is not known or heard any more is forgotten after this
	minAdvanceDemand     = 0.5       // calls in the lifetime of a permit from which permits are granted in advance
	rateWindow           = 5_000_000 // averaging window of the demand
)

// keeperClient is this process's own state for one number that another process, or this one, keeps.
type keeperClient struct {
	entry          *tableEntry
	keeper         string
	reportNumber   uint64 // number of its newest report; reportedAt: when that was sent
	reportedAt     int64
	awaitingAnswer bool  // set-ups wait for the answer to that report
	permitsTaken   int64 // permits accepted in answer to it
	keeperHeardAt  int64 // when its keeper was last heard of
	checkAt        int64 // when it is to be checked next
	changed        bool  // something has changed since the report
	notedLines     int64 // lines in the last note, plus one; 0: none under this fence

	ratedRequested, ratedRefused uint64 // as of the last update of rate
	rate                         float64
	ratedAt                      int64
	refusedAt                    int64 // when a call was last refused here; 0: never
	requestedAt                  int64 // when there was last a set-up; 0: never
}

// heldLines returns the lines of the number that this process heldLines, and how many of these are unused permits. The
// loop counts a call as open before it takes its permit, so the unused permits are read first: no permit is missed.
func (h *keeperClient) heldLines() (all, idle int64) {
	idle = h.entry.unusedPermits()
	return idle + h.entry.open.Load(), idle
}

// recentlyRequested tells whether there were set-ups for the number recently.
func (h *keeperClient) recentlyRequested(now int64) bool {
	return h.requestedAt != 0 && now-h.requestedAt < recentTime
}

// updateRate brings the demand up to date.
func (h *keeperClient) updateRate(now int64) {
	wanted, refused := h.entry.requested.Load(), h.entry.refused.Load()
	if wanted != h.ratedRequested {
		h.requestedAt = now
	}
	if refused != h.ratedRefused {
		h.refusedAt = now
	}
	if dt := float64(now - h.ratedAt); dt > 0 {
		keep := math.Exp(-dt / rateWindow)
		h.rate = h.rate*keep + (1-keep)*float64(wanted-h.ratedRequested)/dt*1e9
		h.ratedAt = now
		h.ratedRequested, h.ratedRefused = wanted, refused
	}
}

// client returns this process's state for a number. If there is none it is created when a keeper is heard of, if the
// table has room.
func (p *Part) client(now int64, key string) *keeperClient {
	if h := p.clients[key]; h != nil {
		return h
	}
	if len(p.clients) >= p.cfg.TableSize {
		p.counts.tableFull++
		return nil
	}
	s := p.retired[key]
	if s == nil {
		s = newTableEntry(key)
	}
	p.tableStale = true
	delete(p.retired, key)
	h := &keeperClient{entry: s, keeperHeardAt: now, ratedAt: now, checkAt: math.MaxInt64, ratedRequested: s.requested.Load(), ratedRefused: s.refused.Load()}
	if seen := p.localDemands[key]; seen != nil {
		h.rate, h.requestedAt = seen.rate, now
	}
	p.clients[key] = h
	return h
}

// dropClient forgets a number. Its open calls are followed to their end: they count if the number returns before
// that.
func (p *Part) dropClient(h *keeperClient) {
	h.entry.removeBatches(func(*batch) bool { return true })
	p.tableStale = true
	delete(p.clients, h.entry.key)
	if h.entry.open.Load() > 0 && len(p.retired) < p.cfg.TableSize {
		p.retired[h.entry.key] = h.entry
	}
}

// raiseFence adopts a fence higher than the known one: permits of the old one are taken back, and the new keeper is
// told what is held here.
func (p *Part) raiseFence(now int64, h *keeperClient, keeper string, fence uint64, out *fleet.Out) {
	if fence <= h.entry.fence.Load() {
		return
	}
	h.entry.fence.Store(fence)
	h.keeper, h.keeperHeardAt, h.awaitingAnswer, h.notedLines = keeper, now, false, 0
	p.counts.permitsReturned += uint64(h.entry.removeBatches(func(b *batch) bool { return b.fence < fence && !p.cfg.disabled.noFencing }))
	h.entry.noPermitUntil.Store(0)
	h.entry.keeperUnreachable.Store(false)
	if all, _ := h.heldLines(); all > 0 || h.recentlyRequested(now) {
		p.sendReport(now, h, out)
	}
}

// sendReport tells the keeper what is held here, and requests permits for the waiting set-ups. Permits for an earlier
// sendReport are no longer accepted, so the keeper knows exactly which ones are out.
func (p *Part) sendReport(now int64, h *keeperClient, out *fleet.Out) {
	s := h.entry
	s.reportQueued.Store(false)
	h.updateRate(now)
	want := s.waitingCount.Load()
	if s.keeperUnreachable.Load() { // no set-up waits for an unreachable keeper, but it is asked until it answers
		want = max(want, 1)
	}
	h.reportNumber++
	h.reportedAt, h.permitsTaken, h.awaitingAnswer, h.changed = now, 0, want > 0, false
	s.removeBatches(func(b *batch) bool { return now >= b.expiresAt })
	all, idle := h.heldLines()
	if p.counts.reports++; h.notedLines != all+1 {
		h.notedLines = all + 1
		out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Keeper, What: "told", Thing: s.key, Fence: s.fence.Load(), N: all})
	}
	p.emit(h.keeper, operation{Op: opReport, Key: s.key, Fence: s.fence.Load(), ReportNumber: h.reportNumber, Incarnation: p.cfg.Life, Held: all, Unused: idle,
		Calls: max(0, s.calls.Load()), Wanted: want, Rate: int64(h.rate), Busy: s.busy.Load(), Began: s.began.Load(),
		Ended: s.ended.Load(), Refused: s.refused.Load()})
	p.scheduleClient(now, h)
}

// handleAnswer takes an answer of a keeper.
func (p *Part) handleAnswer(now int64, from string, it operation, out *fleet.Out) {
	keeper := from
	if it.Keeper != "" {
		keeper = it.Keeper
	}
	h := p.clients[it.Key]
	if h == nil {
		if it.Fence == 0 {
			return
		}
		if h = p.client(now, it.Key); h == nil {
			return
		}
	}
	fence := h.entry.fence.Load()
	// Ignore a keeper that does not know that its lease has ended.
	if it.Fence < fence && !p.cfg.disabled.noFencing {
		p.counts.lowFence++
		return
	}
	p.raiseFence(now, h, keeper, it.Fence, out)
	if it.ReportNumber == 0 || it.ReportNumber != h.reportNumber || it.Incarnation != p.cfg.Life {
		if it.ReportNumber != 0 {
			p.counts.late++
		}
		return
	}
	h.keeperHeardAt = now
	h.entry.keeperUnreachable.Store(false)
	if more := it.Permits - h.permitsTaken; more > 0 {
		if until := h.reportedAt + it.Lifetime; now < until || p.cfg.disabled.noPermitExpiry {
			h.permitsTaken = it.Permits
			b := &batch{fence: it.Fence, expiresAt: until}
			b.remaining.Store(more)
			h.entry.addBatch(b)
			p.counts.permitsTaken += uint64(more)
			out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Keeper, What: "permit", Thing: it.Key, Fence: it.Fence, Until: until, N: more})
		} else {
			p.counts.late++
		}
	}
	none := int64(0)
	if it.RetryAfter > 0 {
		none = now + it.RetryAfter
	}
	h.entry.callerRetryAfter.Store(it.CallerRetryAfter)
	h.entry.turnoverShare.Store(it.TurnoverShare)
	h.entry.noPermitUntil.Store(none)
	h.awaitingAnswer = false
	p.scheduleClient(now, h)
}

// handleChange handles the loop's notice that something differs from the last report.
func (p *Part) handleChange(now int64, h *keeperClient, out *fleet.Out) {
	h.entry.reportQueued.Store(false)
	h.changed = true
	p.tickClient(now, h, out)
}

// tickClient does what is due for a number.
func (p *Part) tickClient(now int64, h *keeperClient, out *fleet.Out) {
	if h.awaitingAnswer && now >= h.reportedAt+p.cfg.AnswerTimeout {
		// The keeper is unreachable, or the message was lost: waiting set-ups use the fallback share, and the keeper
		// is asked again.
		h.awaitingAnswer, h.changed = false, true
		h.entry.keeperUnreachable.Store(true)
		p.counts.unanswered++
	}
	lost := h.entry.keeperUnreachable.Load()
	if back := h.entry.removeBatches(func(b *batch) bool { return now >= b.expiresAt && !p.cfg.disabled.noPermitExpiry }); back > 0 {
		p.counts.permitsReturned += uint64(back)
		h.changed = true
	}
	want := h.entry.waitingCount.Load()
	all, _ := h.heldLines()
	live := all > 0 || h.recentlyRequested(now) || h.entry.requested.Load() != h.ratedRequested
	switch {
	case want > 0 && !h.awaitingAnswer && !lost, // a set-up waits
		h.changed && !h.awaitingAnswer && now-h.reportedAt >= p.minReportInterval(lost),
		live && !h.awaitingAnswer && now-h.reportedAt >= p.reportInterval(now, h):
		p.sendReport(now, h, out)
	}
	p.scheduleClient(now, h)
}

// reportInterval returns how often the keeper hears of a number without changes: if a call is likely within the
// lifetime of a permit, often enough for a permit to be granted in advance; else often enough for what is held here
// to count.
func (p *Part) reportInterval(now int64, h *keeperClient) int64 {
	if h.recentlyRequested(now) && h.rate*1e-9*float64(p.cfg.PermitLifetime) >= minAdvanceDemand {
		return p.cfg.PermitLifetime / 2
	}
	return p.cfg.SilenceTimeout / 3
}

func (p *Part) minReportInterval(lost bool) int64 {
	if lost {
		return unreachableReportGap
	}
	return minReportGap
}

// scheduleClient sets when a number is checked next.
func (p *Part) scheduleClient(now int64, h *keeperClient) {
	due := int64(math.MaxInt64)
	if all, _ := h.heldLines(); all > 0 || h.recentlyRequested(now) { // else nothing is due until the loop reports something
		due = max(now, h.reportedAt+p.reportInterval(now, h))
	}
	for _, b := range *h.entry.batches.Load() {
		if b.remaining.Load() > 0 && !p.cfg.disabled.noPermitExpiry {
			due = min(due, b.expiresAt)
		}
	}
	if h.awaitingAnswer {
		due = min(due, h.reportedAt+p.cfg.AnswerTimeout)
	} else if h.changed {
		due = min(due, h.reportedAt+p.minReportInterval(h.entry.keeperUnreachable.Load()))
	} else if h.entry.waitingCount.Load() > 0 {
		due = min(due, now+p.cfg.Poll)
	}
	if due != math.MaxInt64 {
		p.wakeClient(h, max(due, now+1000))
	}
}
