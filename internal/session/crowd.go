package session

import (
	"pewterwheel/decide"
	"pewterwheel/internal/admit"
	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

// Spent tells how long the last Step took, in microseconds, by the clock of whoever calls it.
func (s *Session) Spent(took int64) { s.door.Took(len(s.offered)-s.turned, s.turned, took) }

// offered is a set-up of this round, and the place of its event.
type offered struct {
	call  *state.Call
	id    uint64
	at    int64
	event int
}

// crowded lets the door judge the set-ups of a round that has more of them than it may hold: those that are taken share
// the places in the order of events, the others are refused.
func (s *Session) crowded() {
	s.offers = s.offers[:0]
	for _, o := range s.offered {
		offer := admit.Offer{At: o.at} // its caller has left meanwhile: no time is left to it
		if c := s.calls[o.id]; c == o.call && !c.Answered {
			class := &s.set.Classes[s.classes[c.SetUp.Class]]
			offer = admit.Offer{At: o.at, Deadline: c.Deadline, Aim: class.Aim, Worth: class.Worth, LateWorth: class.Late}
		}
		s.offers = append(s.offers, offer)
	}
	taken := s.door.Judge(s.now, s.offers)
	orders, refused := s.orders[:0], s.refused[:0]
	for range s.offered {
		refused = append(refused, true)
	}
	for _, i := range taken {
		orders, refused[i] = append(orders, s.events[s.offered[i].event]), false
	}
	s.orders, s.refused = orders, refused
	for i, o := range s.offered {
		if c := s.calls[o.id]; refused[i] && c == o.call && !c.Answered {
			s.turned++
			s.Counters[state.DoorRefusals]++
			s.final(decide.Action{Call: decide.CallID(o.id), Wait: s.awayFrom(c)}, wire.CauseCongestion, state.RefusalsOut)
		}
	}
	// The places are given out from the first on; those that are left over go.
	kept, next, order := s.events[:0], 0, 0
	for i, e := range s.events {
		if next < len(s.offered) && s.offered[next].event == i {
			if next++; order == len(orders) {
				continue
			}
			e = orders[order]
			order++
		}
		kept = append(kept, e)
	}
	s.events = kept
}

// awayFrom is how long a call that is refused before the module sees it is to stay away, in microseconds.
func (s *Session) awayFrom(c *state.Call) int64 {
	if after := s.set.Limits.MaxAfter; s.set.Limits.RetryAfter && after > 0 {
		return min(after, s.set.Classes[s.classes[c.SetUp.Class]].Aim)
	}
	return 0
}
