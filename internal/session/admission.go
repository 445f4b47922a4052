package session

import (
	"pewterwheel/decide"
	"pewterwheel/internal/admit"
	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

// RecordStepTime reports how long the last Step took in microseconds, by the clock of its caller.
func (s *Session) RecordStepTime(took int64) {
	s.admission.RecordRound(len(s.offeredSetUps)-s.admissionRefusals, s.admissionRefusals, took)
}

// offeredSetUp is a set-up of the current round and the index of its event.
type offeredSetUp struct {
	call      *state.Call
	id        uint64
	arrivedAt int64
	event     int
}

// admitRound applies admission control to a round with more set-ups than it may take. The admitted ones are
// assigned to the set-ups' positions in the order of events; the others are refused.
func (s *Session) admitRound() {
	s.admissionOffers = s.admissionOffers[:0]
	for _, o := range s.offeredSetUps {
		offer := admit.Candidate{ReadAt: o.arrivedAt} // its caller has left meanwhile: a zero deadline
		if call := s.calls[o.id]; call == o.call && !call.Answered {
			class := &s.settings.Classes[s.classIndex[call.SetUp.Class]]
			offer = admit.Candidate{ReadAt: o.arrivedAt, Deadline: call.Deadline, Aim: class.Aim, Worth: class.Worth,
				LateWorth: class.Late}
		}
		s.admissionOffers = append(s.admissionOffers, offer)
	}
	admitted := s.admission.Select(s.now, s.admissionOffers)
	orders, refused := s.admittedEvents[:0], s.refusedScratch[:0]
	for range s.offeredSetUps {
		refused = append(refused, true)
	}
	for _, i := range admitted {
		orders, refused[i] = append(orders, s.events[s.offeredSetUps[i].event]), false
	}
	s.admittedEvents, s.refusedScratch = orders, refused
	for i, o := range s.offeredSetUps {
		if call := s.calls[o.id]; refused[i] && call == o.call && !call.Answered {
			s.admissionRefusals++
			s.Counters[state.OverloadRefusals]++
			s.sendFinal(decide.Action{Call: decide.CallID(o.id), Wait: s.retryAfter(call)}, wire.CauseCongestion,
				state.RefusalsOut)
		}
	}
	// Fills the set-ups' positions from the first on and drops the positions left over.
	kept, next, order := s.events[:0], 0, 0
	for i, event := range s.events {
		if next < len(s.offeredSetUps) && s.offeredSetUps[next].event == i {
			if next++; order == len(orders) {
				continue
			}
			event = orders[order]
			order++
		}
		kept = append(kept, event)
	}
	s.events = kept
}

// retryAfter is the retry delay, in microseconds, of a call that is refused before it reaches the module.
func (s *Session) retryAfter(call *state.Call) int64 {
	if after := s.settings.Limits.MaxAfter; s.settings.Limits.RetryAfter && after > 0 {
		return min(after, s.settings.Classes[s.classIndex[call.SetUp.Class]].Aim)
	}
	return 0
}
