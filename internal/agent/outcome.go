package agent

import (
	"maps"
	"slices"

	"pewterwheel/internal/advice"
	"pewterwheel/internal/fleet"
)

type ended struct {
	act fleet.Act
	err error
}

func (a *Agent) deliver(m fleet.Message) {
	if m.Kind == fleet.Repair {
		a.repair.Message(a.now, m, &a.out)
		return
	}
	for _, p := range a.parts {
		if p.Kind() == m.Kind {
			p.Message(a.now, m, &a.out)
			return
		}
	}
	a.refused.Add(1)
}

func (a *Agent) done(e ended) {
	if e.err != nil {
		a.log.Warn("act failed", "what", e.act.What, "number", e.act.Number, "error", e.err, advice.Attr(e.err))
	}
	for _, p := range a.parts {
		if p.Kind() == e.act.Kind {
			p.Done(a.now, e.act, e.err, &a.out)
			a.carry()
			return
		}
	}
}

// carry does what a part wants done, in order, and what comes of it within this process.
func (a *Agent) carry() {
	for range maxLocal {
		out := a.out
		a.out = fleet.Out{}
		for _, n := range out.Notes {
			a.note(n)
		}
		for _, k := range slices.Sorted(maps.Keys(out.Parts)) {
			a.keep(k, out.Parts[k])
		}
		for _, m := range out.Send {
			m.From = a.cfg.Self
			if m.To == a.cfg.Self {
				a.local = append(a.local, m)
				continue
			}
			if err := a.cfg.Net.Send(m); err != nil {
				a.log.Debug("message not sent", "to", m.To, "kind", m.Kind, "error", err, advice.Attr(err))
			}
		}
		for _, act := range out.Acts {
			a.act(act)
		}
		for _, heard := range out.Heard {
			a.registry.AddWindow(heard)
		}
		for _, p := range out.Pass {
			a.pass(p)
		}
		if len(a.local) == 0 {
			return
		}
		m := a.local[0]
		if a.local = a.local[1:]; len(a.local) == 0 {
			a.local = nil
		}
		a.deliver(m)
	}
	a.log.Error("parts of one process go on telling each other", "waiting", len(a.local))
	a.refused.Add(uint64(len(a.local)))
	a.local, a.out = nil, fleet.Out{} // else the next round would go on with it
}

// pass sends one process what is known of another.
func (a *Agent) pass(p fleet.PassedEntry) {
	known, ok := a.registry.Coded(p.Name)
	if !ok {
		return
	}
	if err := a.cfg.Net.Pass(p.To, known); err != nil {
		a.log.Debug("message not sent", "to", p.To, "kind", fleet.Repair, "error", err, advice.Attr(err))
	}
}

// keep puts a part's own contents into the process's entry, to be told soon.
func (a *Agent) keep(k fleet.Kind, body []byte) {
	if len(body) > fleet.MaxBody {
		a.refused.Add(1)
		return
	}
	a.pending = append(a.pending, func(e *fleet.Entry) {
		if e.Parts == nil {
			e.Parts = map[fleet.Kind][]byte{}
		}
		e.Parts[k] = body
	})
}

// act starts an act on a goroutine of its own. Its end comes back through a channel with room for all that run.
func (a *Agent) act(act fleet.Act) {
	select {
	case a.slots <- struct{}{}:
	default:
		a.refused.Add(1)
		a.failed = append(a.failed, ended{act, &ActError{act.What, "too many run"}})
		return
	}
	a.doing.Go(func() {
		a.acts <- ended{act, a.cfg.Do(act)} // there is room for all that have a slot
	})
}

// note logs a part's note with the machine's time, so that the logs of several processes can be laid side by side.
func (a *Agent) note(n fleet.Note) {
	a.notes.Add(1)
	mono, until := Monotonic(), int64(0)
	if n.Until != 0 {
		until = mono + n.Until - a.cfg.Clock()
	}
	a.log.Debug("noted", "kind", uint8(n.Kind), "what", n.What, "thing", n.Thing, "fence", n.Fence, "until", until, "n", n.N, "text", n.Text,
		"self", a.cfg.Self, "mono", mono)
}
