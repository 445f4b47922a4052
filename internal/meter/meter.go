// Package meter counts what becomes of the calls of one process, by class, for the other processes to see: it is a
// session.Decider in front of all others, through which everything passes as it is. It has no clock, goroutine or lock; the
// loop of calls writes, and any other goroutine may read at any time.
package meter

import (
	"math"
	"math/bits"
	"sync/atomic"

	"pewterwheel/decide"
	"pewterwheel/internal/fleet"
)

// Decider is what a meter stands in front of.
type Decider interface {
	Step(now int64, e decide.Event, out []decide.Action) []decide.Action
	Avoids(id decide.ServerID) bool
}

// figures are one class's counts since the start. One goroutine writes, others read.
type figures struct {
	offered, served, refused, failed, late atomic.Uint64
	worth, whole                           atomic.Uint64 // bits of a float64
	waits                                  [fleet.MaxBuckets]atomic.Uint64
}

// open is a call without a final answer.
type open struct {
	at, deadline int64
	class        int32
	out          bool // an attempt is out
}

// Meter counts for one process. Started is called once, when the loop of calls begins, and Also gives further figures beside
// those of the deciders; both may be nil. Step, Reload, Avoids and Figures belong to the loop of calls; Read to any one goroutine.
type Meter struct {
	Started func()
	Also    func(put func(name string, n uint64, gauge bool))

	inner    Decider
	reloader interface {
		Reload(now int64, part any, out []decide.Action) []decide.Action
	}
	figurer interface {
		Figures(put func(name string, n uint64, gauge bool))
	}
	classes []decide.Class
	slack   int64
	names   []string
	figures []figures
	broken  atomic.Uint64
	calls   map[decide.CallID]open
	last    []fleet.ClassFigures // as Read gave them before
}

// New returns a meter in front of a decider. Names are those of the settings' classes.
func New(set decide.Settings, names []string, inner Decider) *Meter {
	m := &Meter{inner: inner, classes: set.Classes, slack: set.Rules.AnswerSlack, names: names, figures: make([]figures, len(set.Classes)),
		calls: map[decide.CallID]open{}, last: make([]fleet.ClassFigures, len(set.Classes))}
	for i := range m.last {
		m.last[i].Waits = make([]uint32, fleet.MaxBuckets)
	}
	m.reloader, _ = inner.(interface {
		Reload(now int64, part any, out []decide.Action) []decide.Action
	})
	m.figurer, _ = inner.(interface {
		Figures(put func(name string, n uint64, gauge bool))
	})
	return m
}

// one adds to a count of which this goroutine is the only writer.
func one(n *atomic.Uint64) { n.Store(n.Load() + 1) }

func add(n *atomic.Uint64, x float64) { n.Store(math.Float64bits(math.Float64frombits(n.Load()) + x)) }

// Step passes an event on and counts what it and the actions say.
func (m *Meter) Step(now int64, e decide.Event, out []decide.Action) []decide.Action {
	switch e.Kind {
	case decide.Start:
		if m.Started != nil {
			m.Started()
		}
	case decide.Order:
		if e.Class >= 0 && e.Class < len(m.figures) {
			f := &m.figures[e.Class]
			one(&f.offered)
			add(&f.whole, m.classes[e.Class].Worth)
			m.calls[e.Call] = open{at: now, deadline: e.Deadline, class: int32(e.Class)}
		}
	case decide.Begun:
		m.end(now, e.Call, begun)
	case decide.Ended:
		if c, ok := m.calls[e.Call]; ok {
			if e.Final {
				m.end(now, e.Call, failed)
			} else if c.out {
				c.out = false
				m.calls[e.Call] = c
			}
		}
	case decide.Gone:
		m.end(now, e.Call, gone)
	}
	from := len(out)
	out = m.inner.Step(now, e, out)
	m.acts(now, out[from:])
	return out
}

func (m *Meter) acts(now int64, acts []decide.Action) {
	for i := range acts {
		switch a := &acts[i]; a.Kind {
		case decide.Refuse:
			m.end(now, a.Call, refused)
		case decide.Fail:
			m.end(now, a.Call, failed)
		case decide.Send:
			if c, ok := m.calls[a.Call]; ok {
				if c.out { // two attempts of one call at once
					one(&m.broken)
				}
				c.out = true
				m.calls[a.Call] = c
			}
		}
	}
}

type ending int

const (
	begun ending = iota
	refused
	failed
	gone // the caller left: nobody was answered
)

// end counts the final answer of a call, once.
func (m *Meter) end(now int64, id decide.CallID, how ending) {
	c, ok := m.calls[id]
	if !ok {
		return
	}
	delete(m.calls, id)
	f, class := &m.figures[c.class], &m.classes[c.class]
	if how != gone && c.deadline > 0 && now > c.deadline+m.slack {
		one(&m.broken)
	}
	switch how {
	case begun:
		wait, worth := now-c.at, class.Worth
		one(&f.served)
		if wait > class.Aim {
			one(&f.late)
			worth *= class.LateWorth
		}
		add(&f.worth, worth)
		one(&f.waits[bucket(wait)])
	case refused:
		one(&f.refused)
	default:
		one(&f.failed)
	}
}

// bucket is the number of the waits that a wait, in microseconds, is among: those under 2^(i+9).
func bucket(wait int64) int {
	return min(max(0, bits.Len64(uint64(max(0, wait)))-9), fleet.MaxBuckets-1)
}

// Avoids passes the question on.
func (m *Meter) Avoids(id decide.ServerID) bool { return m.inner.Avoids(id) }

// HearsEnds tells whether what is behind wants to hear of the ends of calls that stood.
func (m *Meter) HearsEnds() bool {
	h, ok := m.inner.(interface{ HearsEnds() bool })
	return ok && h.HearsEnds()
}

// Reload passes a configuration on, if what is behind takes one.
func (m *Meter) Reload(now int64, part any, out []decide.Action) []decide.Action {
	if m.reloader == nil {
		return out
	}
	from := len(out)
	out = m.reloader.Reload(now, part, out)
	m.acts(now, out[from:])
	return out
}

// Figures gives the figures of what is behind.
func (m *Meter) Figures(put func(name string, n uint64, gauge bool)) {
	if m.figurer != nil {
		m.figurer.Figures(put)
	}
	put("meter_broken", m.broken.Load(), false)
	if m.Also != nil {
		m.Also(put)
	}
}

// Read gives what was counted since the last Read, as the calls' part of a window. Figures that change while it reads are in
// this one or the next.
func (m *Meter) Read() fleet.Window {
	w := fleet.Window{Broken: m.broken.Load(), Class: make([]fleet.ClassFigures, len(m.figures))}
	for i := range m.figures {
		f, last, c := &m.figures[i], &m.last[i], &w.Class[i]
		c.Name = m.names[i]
		for _, x := range []struct {
			now       *atomic.Uint64
			last, out *uint64
		}{{&f.offered, &last.Offered, &c.Offered}, {&f.served, &last.Served, &c.Served}, {&f.refused, &last.Refused, &c.Refused},
			{&f.failed, &last.Failed, &c.Failed}, {&f.late, &last.Late, &c.Late}} {
			n := x.now.Load()
			*x.out, *x.last = n-*x.last, n
		}
		worth, whole := math.Float64frombits(f.worth.Load()), math.Float64frombits(f.whole.Load())
		c.Worth, c.Whole = worth-last.Worth, whole-last.Whole
		last.Worth, last.Whole = worth, whole
		c.Waits = make([]uint32, fleet.MaxBuckets)
		most := 0
		for j := range f.waits {
			n := uint32(f.waits[j].Load())
			if c.Waits[j] = n - last.Waits[j]; c.Waits[j] > 0 {
				most = j + 1
			}
			last.Waits[j] = n
		}
		c.Waits = c.Waits[:most]
	}
	return w
}
