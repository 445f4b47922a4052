package keeper

import (
	"math"

	"pewterwheel/internal/fleet"
)

const (
	reportGap  = 20_000    // least time between two reports of one number while no set-up waits
	lostGap    = 200_000   // the same while its keeper does not answer
	forgetHand = 6_000_000 // a number whose keeper is not known or heard any more is forgotten after this
	leastAhead = 0.5       // calls in the lifetime of a permit from which permits are granted in advance
	rateOver   = 5_000_000 // averaging window of the demand
)

// keeperClient is this process's own state for one number that another process, or this one, keeps.
type hand struct {
	slot   *slot
	keeper string
	n      uint64 // number of its newest report; reportedAt: when that was sent
	asked  int64
	waits  bool  // set-ups wait for the answer to that report
	took   int64 // permits accepted in answer to it
	heard  int64 // when its keeper was last heard of
	due    int64 // when it is to be checked next
	soon   bool  // something has changed since the report
	noted  int64 // lines in the last note, plus one; 0: none under this fence

	wanted, refused uint64 // as of the last update of rate
	rate            float64
	reckoned        int64
	unmet           int64 // when a call was last refused here; 0: never
	last            int64 // when there was last a set-up; 0: never
}

// heldLines returns the lines of the number that this process holds, and how many of these are unused permits. The
// loop counts a call as open before it takes its permit, so the unused permits are read first: no permit is missed.
func (h *hand) holds() (all, idle int64) {
	idle = h.slot.inHand()
	return idle + h.slot.open.Load(), idle
}

// recentlyRequested tells whether there were set-ups for the number recently.
func (h *hand) lately(now int64) bool { return h.last != 0 && now-h.last < wantLately }

// updateRate brings the demand up to date.
func (h *hand) reckon(now int64) {
	wanted, refused := h.slot.wanted.Load(), h.slot.refused.Load()
	if wanted != h.wanted {
		h.last = now
	}
	if refused != h.refused {
		h.unmet = now
	}
	if dt := float64(now - h.reckoned); dt > 0 {
		keep := math.Exp(-dt / rateOver)
		h.rate = h.rate*keep + (1-keep)*float64(wanted-h.wanted)/dt*1e9
		h.reckoned = now
		h.wanted, h.refused = wanted, refused
	}
}

// client returns this process's state for a number. If there is none it is created when a keeper is heard of, if the
// table has room.
func (p *Part) hand(now int64, key string) *hand {
	if h := p.hands[key]; h != nil {
		return h
	}
	if len(p.hands) >= p.cfg.Numbers {
		p.counts.full++
		return nil
	}
	s := p.past[key]
	if s == nil {
		s = newSlot(key)
	}
	p.reshelve = true
	delete(p.past, key)
	h := &hand{slot: s, heard: now, reckoned: now, due: math.MaxInt64, wanted: s.wanted.Load(), refused: s.refused.Load()}
	if seen := p.seen[key]; seen != nil {
		h.rate, h.last = seen.rate, now
	}
	p.hands[key] = h
	return h
}

// dropClient forgets a number. Its open calls are followed to their end: they count if the number returns before
// that.
func (p *Part) drop(h *hand) {
	h.slot.retire(func(*batch) bool { return true })
	p.reshelve = true
	delete(p.hands, h.slot.key)
	if h.slot.open.Load() > 0 && len(p.past) < p.cfg.Numbers {
		p.past[h.slot.key] = h.slot
	}
}

// raiseFence adopts a fence higher than the known one: permits of the old one are taken back, and the new keeper is
// told what is held here.
func (p *Part) raise(now int64, h *hand, keeper string, fence uint64, out *fleet.Out) {
	if fence <= h.slot.fence.Load() {
		return
	}
	h.slot.fence.Store(fence)
	h.keeper, h.heard, h.waits, h.noted = keeper, now, false, 0
	p.counts.back += uint64(h.slot.retire(func(b *batch) bool { return b.fence < fence && !p.cfg.doctor.noFence }))
	h.slot.noneUntil.Store(0)
	h.slot.lost.Store(false)
	if all, _ := h.holds(); all > 0 || h.lately(now) {
		p.report(now, h, out)
	}
}

// sendReport tells the keeper what is held here, and requests permits for the waiting set-ups. Permits for an earlier
// report are no longer accepted, so the keeper knows exactly which ones are out.
func (p *Part) report(now int64, h *hand, out *fleet.Out) {
	s := h.slot
	s.dirty.Store(false)
	h.reckon(now)
	want := s.held.Load()
	if s.lost.Load() { // no set-up waits for an unreachable keeper, but it is asked until it answers
		want = max(want, 1)
	}
	h.n++
	h.asked, h.took, h.waits, h.soon = now, 0, want > 0, false
	s.retire(func(b *batch) bool { return now >= b.until })
	all, idle := h.holds()
	if p.counts.reports++; h.noted != all+1 {
		h.noted = all + 1
		out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Keeper, What: "told", Thing: s.key, Fence: s.fence.Load(), N: all})
	}
	p.emit(h.keeper, item{Op: opReport, Key: s.key, Fence: s.fence.Load(), N: h.n, Life: p.cfg.Life, Hold: all, Idle: idle,
		Calls: max(0, s.calls.Load()), Want: want, Rate: int64(h.rate), Busy: s.busy.Load(), Began: s.began.Load(),
		Ended: s.ended.Load(), Refused: s.refused.Load()})
	p.planHand(now, h)
}

// handleAnswer takes an answer of a keeper.
func (p *Part) answered(now int64, from string, it item, out *fleet.Out) {
	keeper := from
	if it.Keeper != "" {
		keeper = it.Keeper
	}
	h := p.hands[it.Key]
	if h == nil {
		if it.Fence == 0 {
			return
		}
		if h = p.hand(now, it.Key); h == nil {
			return
		}
	}
	fence := h.slot.fence.Load()
	// Ignore a keeper that does not know that its lease has ended.
	if it.Fence < fence && !p.cfg.doctor.noFence {
		p.counts.lowFence++
		return
	}
	p.raise(now, h, keeper, it.Fence, out)
	if it.N == 0 || it.N != h.n || it.Life != p.cfg.Life {
		if it.N != 0 {
			p.counts.late++
		}
		return
	}
	h.heard = now
	h.slot.lost.Store(false)
	if more := it.Permits - h.took; more > 0 {
		if until := h.asked + it.Lasts; now < until || p.cfg.doctor.noExpiry {
			h.took = it.Permits
			b := &batch{fence: it.Fence, until: until}
			b.left.Store(more)
			h.slot.add(b)
			p.counts.taken += uint64(more)
			out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Keeper, What: "permit", Thing: it.Key, Fence: it.Fence, Until: until, N: more})
		} else {
			p.counts.late++
		}
	}
	none := int64(0)
	if it.Again > 0 {
		none = now + it.Again
	}
	h.slot.stay.Store(it.Stay)
	h.slot.rate.Store(it.Share)
	h.slot.noneUntil.Store(none)
	h.waits = false
	p.planHand(now, h)
}

// handleChange handles the loop's notice that something differs from the last report.
func (p *Part) changed(now int64, h *hand, out *fleet.Out) {
	h.slot.dirty.Store(false)
	h.soon = true
	p.handDue(now, h, out)
}

// tickClient does what is due for a number.
func (p *Part) handDue(now int64, h *hand, out *fleet.Out) {
	if h.waits && now >= h.asked+p.cfg.Answer {
		// The keeper is unreachable, or the message was lost: waiting set-ups use the fallback share, and the keeper
		// is asked again.
		h.waits, h.soon = false, true
		h.slot.lost.Store(true)
		p.counts.unanswered++
	}
	lost := h.slot.lost.Load()
	if back := h.slot.retire(func(b *batch) bool { return now >= b.until && !p.cfg.doctor.noExpiry }); back > 0 {
		p.counts.back += uint64(back)
		h.soon = true
	}
	want := h.slot.held.Load()
	all, _ := h.holds()
	live := all > 0 || h.lately(now) || h.slot.wanted.Load() != h.wanted
	switch {
	case want > 0 && !h.waits && !lost, // a set-up waits
		h.soon && !h.waits && now-h.asked >= p.gap(lost),
		live && !h.waits && now-h.asked >= p.beat(now, h):
		p.report(now, h, out)
	}
	p.planHand(now, h)
}

// reportInterval returns how often the keeper hears of a number without changes: if a call is likely within the
// lifetime of a permit, often enough for a permit to be granted in advance; else often enough for what is held here
// to count.
func (p *Part) beat(now int64, h *hand) int64 {
	if h.lately(now) && h.rate*1e-9*float64(p.cfg.Permit) >= leastAhead {
		return p.cfg.Permit / 2
	}
	return p.cfg.Silent / 3
}

func (p *Part) gap(lost bool) int64 {
	if lost {
		return lostGap
	}
	return reportGap
}

// scheduleClient sets when a number is checked next.
func (p *Part) planHand(now int64, h *hand) {
	due := int64(math.MaxInt64)
	if all, _ := h.holds(); all > 0 || h.lately(now) { // else nothing is due until the loop reports something
		due = max(now, h.asked+p.beat(now, h))
	}
	for _, b := range *h.slot.batches.Load() {
		if b.left.Load() > 0 && !p.cfg.doctor.noExpiry {
			due = min(due, b.until)
		}
	}
	if h.waits {
		due = min(due, h.asked+p.cfg.Answer)
	} else if h.soon {
		due = min(due, h.asked+p.gap(h.slot.lost.Load()))
	} else if h.slot.held.Load() > 0 {
		due = min(due, now+p.cfg.Poll)
	}
	if due != math.MaxInt64 {
		p.wakeHand(h, max(due, now+1000))
	}
}
