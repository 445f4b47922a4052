// Package meter counts the results of the calls of one process, by class, and makes them available to the other
// processes. It is a session.Decider in front of all others and passes everything through unchanged. It has no clock,
// goroutine or lock; the loop of calls writes, and any other goroutine may read at any time.
package meter

import (
	"math/bits"
	"sync/atomic"

	"pewterwheel/decide"
	"pewterwheel/internal/fleet"
)

// Decider is the decider that a meter wraps.
type Decider interface {
	Step(now int64, e decide.Event, out []decide.Action) []decide.Action
	Avoids(id decide.ServerID) bool
}

// classCounters are the counters of one class since the start. One goroutine writes, others read. Derived values are
// not counted: the calls served are the sum of the wait buckets, and worth follows from how many were on time and late.
type classCounters struct {
	offered, refused, failed, late atomic.Uint64
	waitBuckets                    [fleet.MaxBuckets]atomic.Uint64
}

// openCall is a call without a final answer.
type openCall struct {
	arrivedAt, deadline int64
	class               int32
	attemptOut          bool // an attempt is out
}

// Meter counts for one process. OnStart is called once, when the loop of calls begins, and ExtraFigures adds figures to
// those of the deciders; both may be nil. Step, Reload, Avoids and Figures belong to the loop of calls; Read to any one
// other goroutine.
type Meter struct {
	OnStart      func()
	ExtraFigures func(put func(name string, n uint64, gauge bool))

	inner    Decider
	reloader interface {
		Reload(now int64, part any, out []decide.Action) []decide.Action
	}
	figuresSource interface {
		Figures(put func(name string, n uint64, gauge bool))
	}
	classes     []decide.Class
	answerSlack int64
	classNames  []string
	counters    []classCounters
	violations  atomic.Uint64
	calls       map[decide.CallID]openCall
	previous    []fleet.ClassFigures // totals at the last Read
}

// New returns a meter in front of a decider. Names are those of the settings' classes.
func New(settings decide.Settings, names []string, inner Decider) *Meter {
	m := &Meter{inner: inner, classes: settings.Classes, answerSlack: settings.Rules.AnswerSlack,
		classNames: names, counters: make([]classCounters, len(settings.Classes)),
		calls: map[decide.CallID]openCall{}, previous: make([]fleet.ClassFigures, len(settings.Classes))}
	for i := range m.previous {
		m.previous[i].Waits = make([]uint32, fleet.MaxBuckets)
	}
	m.reloader, _ = inner.(interface {
		Reload(now int64, part any, out []decide.Action) []decide.Action
	})
	m.figuresSource, _ = inner.(interface {
		Figures(put func(name string, n uint64, gauge bool))
	})
	return m
}

// increment adds one to a counter that only this goroutine writes.
func increment(n *atomic.Uint64) { n.Store(n.Load() + 1) }

// Step passes an event on and counts what the event and the resulting actions report.
func (m *Meter) Step(now int64, e decide.Event, out []decide.Action) []decide.Action {
	switch e.Kind {
	case decide.NodeStarted:
		if m.OnStart != nil {
			m.OnStart()
		}
	case decide.CallArrived:
		if e.Class >= 0 && e.Class < len(m.counters) {
			counters := &m.counters[e.Class]
			increment(&counters.offered)
			m.calls[e.Call] = openCall{arrivedAt: now, deadline: e.Deadline, class: int32(e.Class)}
		}
	case decide.SetUpCompleted:
		m.countFinal(now, e.Call, completed)
	case decide.AttemptEnded:
		if call, ok := m.calls[e.Call]; ok {
			if e.AnswerGiven {
				m.countFinal(now, e.Call, failed)
			} else if call.attemptOut {
				call.attemptOut = false
				m.calls[e.Call] = call
			}
		}
	case decide.CallerLeft:
		m.countFinal(now, e.Call, callerLeft)
	}
	first := len(out)
	out = m.inner.Step(now, e, out)
	m.countActions(now, out[first:])
	return out
}

func (m *Meter) countActions(now int64, actions []decide.Action) {
	for i := range actions {
		switch action := &actions[i]; action.Kind {
		case decide.Refuse:
			m.countFinal(now, action.Call, refused)
		case decide.Fail:
			m.countFinal(now, action.Call, failed)
		case decide.Send:
			if call, ok := m.calls[action.Call]; ok {
				if call.attemptOut { // two attempts of one call at the same time
					increment(&m.violations)
				}
				call.attemptOut = true
				m.calls[action.Call] = call
			}
		}
	}
}

type callResult int

const (
	completed callResult = iota
	refused
	failed
	callerLeft // the caller left: no answer was given
)

// countFinal counts the final answer of a call, once.
func (m *Meter) countFinal(now int64, id decide.CallID, result callResult) {
	call, ok := m.calls[id]
	if !ok {
		return
	}
	delete(m.calls, id)
	counters, class := &m.counters[call.class], &m.classes[call.class]
	if result != callerLeft && call.deadline > 0 && now > call.deadline+m.answerSlack {
		increment(&m.violations)
	}
	switch result {
	case completed:
		wait := now - call.arrivedAt
		increment(&counters.waitBuckets[bucket(wait)]) // before late, which Read loads first: late never exceeds served
		if wait > class.Aim {
			increment(&counters.late)
		}
	case refused:
		increment(&counters.refused)
	default:
		increment(&counters.failed)
	}
}

// bucket returns the number of the bucket of a wait in microseconds; bucket i holds waits under 2^(i+9).
func bucket(wait int64) int {
	return min(max(0, bits.Len64(uint64(max(0, wait)))-9), fleet.MaxBuckets-1)
}

// Avoids passes the query on.
func (m *Meter) Avoids(id decide.ServerID) bool { return m.inner.Avoids(id) }

// ObservesEnds reports whether the wrapped decider wants to receive the ends of established calls.
func (m *Meter) ObservesEnds() bool {
	hearer, ok := m.inner.(interface{ ObservesEnds() bool })
	return ok && hearer.ObservesEnds()
}

// Reload passes a configuration on, if the wrapped decider accepts one.
func (m *Meter) Reload(now int64, part any, out []decide.Action) []decide.Action {
	if m.reloader == nil {
		return out
	}
	first := len(out)
	out = m.reloader.Reload(now, part, out)
	m.countActions(now, out[first:])
	return out
}

// Figures reports the figures of the wrapped decider and those of the meter.
func (m *Meter) Figures(put func(name string, n uint64, gauge bool)) {
	if m.figuresSource != nil {
		m.figuresSource.Figures(put)
	}
	put("meter_broken", m.violations.Load(), false)
	if m.ExtraFigures != nil {
		m.ExtraFigures(put)
	}
}

// Read returns the counts since the last Read, as the calls' part of a window. Counters that change during a read
// appear in this result or the next.
func (m *Meter) Read() fleet.Window {
	window := fleet.Window{Broken: m.violations.Load(), Class: make([]fleet.ClassFigures, len(m.counters))}
	for i := range m.counters {
		counters, previous, figures := &m.counters[i], &m.previous[i], &window.Class[i]
		figures.Name = m.classNames[i]
		for _, counter := range []struct {
			now       *atomic.Uint64
			last, out *uint64
		}{{&counters.late, &previous.Late, &figures.Late},
			{&counters.offered, &previous.Offered, &figures.Offered},
			{&counters.refused, &previous.Refused, &figures.Refused},
			{&counters.failed, &previous.Failed, &figures.Failed}} {
			n := counter.now.Load()
			*counter.out, *counter.last = n-*counter.last, n
		}
		figures.Waits = make([]uint32, fleet.MaxBuckets)
		used := 0
		for j := range counters.waitBuckets {
			n := uint32(counters.waitBuckets[j].Load())
			if figures.Waits[j] = n - previous.Waits[j]; figures.Waits[j] > 0 {
				used = j + 1
			}
			figures.Served += uint64(figures.Waits[j])
			previous.Waits[j] = n
		}
		figures.Waits = figures.Waits[:used]
		class := &m.classes[i]
		late := float64(figures.Late)
		figures.Whole, figures.Worth = float64(figures.Offered)*class.Worth,
			max(0, float64(figures.Served)-late)*class.Worth+late*class.Worth*class.LateWorth
	}
	return window
}
