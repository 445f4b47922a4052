package keeper

import (
	"math"

	"pewterwheel/internal/fleet"
)

const (
	reportGap  = 20_000    // between two reports of one number in which no order waits
	lostGap    = 200_000   // and while its keeper does not answer
	forgetHand = 6_000_000 // a number of which no keeper is known or heard any more is forgotten after this
	leastAhead = 0.5       // calls within the life of a permit for which one is given ahead
	rateOver   = 5_000_000 // over which the demand is reckoned
)

// hand is one number that an other process, or this one, keeps: this process's own side of it.
type hand struct {
	slot   *slot
	keeper string
	n      uint64 // its newest report, and when it was sent
	asked  int64
	waits  bool  // that report has orders behind it, and is not answered
	took   int64 // permits taken for it
	heard  int64 // when its keeper was last known of
	due    int64 // when it is looked at next
	soon   bool  // something has changed since the report
	noted  int64 // lines that it told last, and one more; 0: none under this fence

	wanted, refused uint64 // as they were when rate was reckoned
	rate            float64
	reckoned        int64
	unmet           int64 // when a call was last turned away here; 0: never
	last            int64 // when there was last an order; 0: never
}

// holds is the lines that this process holds of the number, and how many of these are permits in hand. Guards against a
// permit that is counted neither here nor there: the loop counts a call as open before it takes its permit, so what is in
// hand is read first.
func (h *hand) holds() (all, idle int64) {
	idle = h.slot.inHand()
	return idle + h.slot.open.Load(), idle
}

// lately tells whether there were orders for it of late.
func (h *hand) lately(now int64) bool { return h.last != 0 && now-h.last < wantLately }

// reckon brings the demand up to date.
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

// hand returns this process's side of a number; it begins one, if there is room, when a keeper is heard of.
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

// drop forgets a number. Calls to it are followed to their end: if it comes back while some stand, they count.
func (p *Part) drop(h *hand) {
	h.slot.retire(func(*batch) bool { return true })
	p.reshelve = true
	delete(p.hands, h.slot.key)
	if h.slot.open.Load() > 0 && len(p.past) < p.cfg.Numbers {
		p.past[h.slot.key] = h.slot
	}
}

// raise takes a fence that is higher than the one known: permits of the old one are given back, and the new keeper is told
// what is held here.
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

// report tells the keeper what is held here, and asks for what orders wait for. Permits for an earlier report are not taken
// from now on, so the keeper knows exactly what is out.
func (p *Part) report(now int64, h *hand, out *fleet.Out) {
	s := h.slot
	s.dirty.Store(false)
	h.reckon(now)
	want := s.held.Load()
	if s.lost.Load() { // nothing waits for a keeper that can't be reached, but it is asked until it answers
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

// answered takes what a keeper says.
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
	// Guards against a keeper whose lease is over and who does not know it.
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

// changed takes the loop's word that something is other than it was reported.
func (p *Part) changed(now int64, h *hand, out *fleet.Out) {
	h.slot.dirty.Store(false)
	h.soon = true
	p.handDue(now, h, out)
}

// handDue does what is due for a number.
func (p *Part) handDue(now int64, h *hand, out *fleet.Out) {
	if h.waits && now >= h.asked+p.cfg.Answer {
		// It can't be reached, or the message was lost: what waits goes by share, and it is asked again with the next.
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
	case want > 0 && !h.waits && !lost, // an order waits
		h.soon && !h.waits && now-h.asked >= p.gap(lost),
		live && !h.waits && now-h.asked >= p.beat(now, h):
		p.report(now, h, out)
	}
	p.planHand(now, h)
}

// beat is how often a keeper hears of a number by which nothing changes: so often that a permit may be given ahead, if there
// is a call for one within its life; else so often that what is held counts.
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

// planHand sets when a number is looked at next.
func (p *Part) planHand(now int64, h *hand) {
	due := int64(math.MaxInt64)
	if all, _ := h.holds(); all > 0 || h.lately(now) { // else it costs nothing until the loop reports something
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
