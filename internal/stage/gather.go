package stage

import (
	"pewterwheel/internal/fleet"
)

// gather reads the figures of all, in those who conduct or would follow, and asks for them meanwhile.
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
		if q := p.watch.peers[m.Name]; q != nil && !m.Suspect { // a suspected one's figures are of before
			e.take(now, m, q.told)
			// A follower begins with a stage when its conductor does.
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

// want says whether this process needs the others' figures.
func (p *Part) want(now int64, wanted bool, out *fleet.Out) {
	if p.c.Figures != nil {
		p.c.Figures.Want(now, wanted, out)
	}
}

// slot is over how long a stretch old and new are compared: long enough that each process's windows fall into it,
// also where they come a little late, for who shows nothing in half of the slots is in no comparison.
func (p *Part) slot() int64 {
	if p.c.Figures == nil {
		return p.c.Rules.Slot
	}
	return max(p.c.Rules.Slot, p.c.Figures.Length()/4*5)
}
