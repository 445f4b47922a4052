package stage

import (
	"pewterwheel/internal/fleet"
)

// gatherFigures reads the figures of all processes if this process conducts the change or would take over as
// conductor, and requests them meanwhile.
func (p *Part) gather(now int64, v *fleet.View, out *fleet.Out) {
	c := &p.conductor
	r := p.watch.runs()
	if c.holds && c.rec.Phase == running {
		r = c.rec.Target.Change
	}
	if r == 0 || !c.claimed {
		c.evidence = nil
		p.want(now, false, out)
		return
	}
	p.want(now, true, out)
	e := c.evidence
	fresh := e == nil || e.change != r
	if fresh {
		e = newEvidence(p.c.Rules, r, now, p.c.failpoints)
		e.asked = p.c.Figures != nil
		e.slotEnd = now + p.slot()
		c.evidence = e
	}
	e.slot, e.fresh = p.slot(), fresh
	if p.c.oracle != nil {
		return
	}
	for i := range v.Members {
		m := &v.Members[i]
		if q := p.watch.peers[m.Name]; q != nil && !m.Suspect { // figures of a suspected process are out of date
			e.take(now, m, q.told)
			// A standby begins with a stage when its conductor does.
			if t := q.told; !c.holds && t.Conducts == r && t.Judging && t.Stage > e.stage {
				e.begin(now, t.Stage)
			}
			if !e.told && q.in(r) {
				e.begun(now)
			}
		}
	}
	e.tick(now)
}

// requestFigures says whether this process needs the figures of the others.
func (p *Part) want(now int64, wanted bool, out *fleet.Out) {
	if p.c.Figures != nil {
		p.c.Figures.Want(now, wanted, out)
	}
}

// slotLength returns the length of the intervals over which old and new are compared. It leaves room for the
// windows of each process to arrive a little late, because a process without figures in half of the slots is not
// compared.
func (p *Part) slot() int64 {
	if p.c.Figures == nil {
		return p.c.Rules.Slot
	}
	return max(p.c.Rules.Slot, p.c.Figures.Length()/4*5)
}
