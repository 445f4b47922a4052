package stage

import (
	"pewterwheel/internal/fleet"
)

// gatherFigures reads the figures of all processes if this process conducts the change or would take over as
// conductor, and requests them meanwhile.
func (p *Module) gatherFigures(now int64, v *fleet.View, out *fleet.Out) {
	c := &p.conductor
	change := p.peers.runningChange()
	if c.holdsLease && c.record.Phase == running {
		change = c.record.Target.Change
	}
	if change == 0 || !c.leaseClaimed {
		c.evidence = nil
		p.requestFigures(now, false, out)
		return
	}
	p.requestFigures(now, true, out)
	e := c.evidence
	fresh := e == nil || e.change != change
	if fresh {
		e = newEvidence(p.config.Rules, change, now, p.config.failpoints)
		e.requested = p.config.Figures != nil
		e.slotEnd = now + p.slotLength()
		c.evidence = e
	}
	e.slotLength, e.fresh = p.slotLength(), fresh
	if p.config.oracle != nil {
		return
	}
	for i := range v.Members {
		m := &v.Members[i]
		if known := p.peers.byName[m.Name]; known != nil && !m.Suspect { // those of a suspected one are out of date
			e.addWindows(now, m, known.status)
			// A standby begins with a stage when its conductor does.
			if status := known.status; !c.holdsLease && status.ConductedChange == change && status.Judging &&
				status.Stage > e.stage {
				e.beginStage(now, status.Stage)
			}
			if !e.changeStarted && known.inChange(change) {
				e.markStarted(now)
			}
		}
	}
	e.closeIfOver(now)
}

// requestFigures says whether this process needs the figures of the others.
func (p *Module) requestFigures(now int64, wanted bool, out *fleet.Out) {
	if p.config.Figures != nil {
		p.config.Figures.Want(now, wanted, out)
	}
}

// slotLength returns the length of the intervals over which old and new are compared. It leaves room for the
// windows of each process to arrive a little late, because a process without figures in half of the slots is not
// compared.
func (p *Module) slotLength() int64 {
	if p.config.Figures == nil {
		return p.config.Rules.SlotLength
	}
	return max(p.config.Rules.SlotLength, p.config.Figures.Length()/4*5)
}
