package agent

import (
	"maps"
	"slices"

	"pewterwheel/internal/advice"
	"pewterwheel/internal/fleet"
)

type endedAct struct {
	act fleet.Act
	err error
}

func (a *Agent) deliverMessage(message fleet.Message) {
	if message.Kind == fleet.Repair {
		a.entryRepair.Message(a.now, message, &a.out)
		return
	}
	for _, module := range a.modules {
		if module.Kind() == message.Kind {
			module.Message(a.now, message, &a.out)
			return
		}
	}
	a.refusedCount.Add(1)
}

func (a *Agent) actDone(end endedAct) {
	if end.err != nil {
		a.log.Warn("act failed", "what", end.act.What, "number", end.act.Number, "error", end.err, advice.Attr(end.err))
	}
	for _, module := range a.modules {
		if module.Kind() == end.act.Kind {
			module.Done(a.now, end.act, end.err, &a.out)
			a.carryOut()
			return
		}
	}
}

// carryOut carries out the actions that a module requested, in order, and handles the resulting messages within this
// process.
func (a *Agent) carryOut() {
	for range maxSelfMessages {
		out := a.out
		a.out = fleet.Out{}
		for _, note := range out.Notes {
			a.logNote(note)
		}
		for _, kind := range slices.Sorted(maps.Keys(out.Parts)) {
			a.setEntryPart(kind, out.Parts[kind])
		}
		for _, message := range out.Send {
			message.From = a.cfg.Self
			if message.To == a.cfg.Self {
				a.selfMessages = append(a.selfMessages, message)
				continue
			}
			if err := a.cfg.Net.Send(message); err != nil {
				a.log.Debug("message not sent", "to", message.To, "kind", message.Kind, "error", err, advice.Attr(err))
			}
		}
		for _, act := range out.Acts {
			a.startAct(act)
		}
		for _, heard := range out.Heard {
			a.registry.AddWindow(heard)
		}
		for _, passed := range out.Pass {
			a.passEntry(passed)
		}
		if len(a.selfMessages) == 0 {
			return
		}
		m := a.selfMessages[0]
		if a.selfMessages = a.selfMessages[1:]; len(a.selfMessages) == 0 {
			a.selfMessages = nil
		}
		a.deliverMessage(m)
	}
	a.log.Error("modules keep sending messages to each other; dropped the rest", "waiting", len(a.selfMessages))
	a.refusedCount.Add(uint64(len(a.selfMessages)))
	a.selfMessages, a.out = nil, fleet.Out{} // otherwise the next round would continue with them
}

// passEntry sends a process the known entry of another one.
func (a *Agent) passEntry(passed fleet.PassedEntry) {
	known, ok := a.registry.Coded(passed.Name)
	if !ok {
		return
	}
	if err := a.cfg.Net.Pass(passed.To, known); err != nil {
		a.log.Debug("message not sent", "to", passed.To, "kind", fleet.Repair, "error", err, advice.Attr(err))
	}
}

// setEntryPart stores a module's part of the own entry, to be published soon.
func (a *Agent) setEntryPart(kind fleet.Kind, body []byte) {
	if len(body) > fleet.MaxBody {
		a.refusedCount.Add(1)
		return
	}
	a.pendingChanges = append(a.pendingChanges, func(e *fleet.Entry) {
		if e.Parts == nil {
			e.Parts = map[fleet.Kind][]byte{}
		}
		e.Parts[kind] = body
	})
}

// startAct starts an act on its own goroutine. Its result comes back through a channel with room for all running acts.
func (a *Agent) startAct(act fleet.Act) {
	select {
	case a.actSlots <- struct{}{}:
	default:
		a.refusedCount.Add(1)
		a.failedActs = append(a.failedActs, endedAct{act, &ActError{act.What, "too many acts are running"}})
		return
	}
	a.runningActs.Go(func() {
		a.endedActs <- endedAct{act, a.cfg.RunAct(act)} // there is room for every act that has a slot
	})
}

// logNote logs a module's note with the machine's time, so that logs of several processes can be correlated.
func (a *Agent) logNote(note fleet.Note) {
	a.noteCount.Add(1)
	mono, until := Monotonic(), int64(0)
	if note.Until != 0 {
		until = mono + note.Until - a.cfg.Clock()
	}
	a.log.Debug("noted", "kind", uint8(note.Kind), "what", note.What, "thing", note.Thing, "fence", note.Fence, "until",
		until, "n", note.N, "text", note.Text,
		"self", a.cfg.Self, "mono", mono)
}
