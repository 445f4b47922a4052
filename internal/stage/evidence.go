package stage

import (
	"slices"

	"pewterwheel/internal/fleet"
)

// The measures in which old and new are compared. In each, more is worse.
const (
	lost    = iota // worth not served, as a fraction of the whole
	refused        // as a fraction of those offered
	failed
	late
	slow   // answers above the bucket of the histogram next to the old 99th percentile, as a fraction
	cpu    // processor time per call
	memory // resident
	growth // growth of resident memory per minute
	measures
)

var measureNames = [measures]string{"worth lost", "refused", "failed", "late", "slow answers", "processor time per call", "memory",
	"growth of memory"}

// maxClasses is the maximum number of classes that are compared separately; further ones count as the last.
const maxClasses = 16

// ratio is a sum and its base, for example the refused calls of all offered ones.
type pair struct{ num, den float64 }

func (p *pair) add(q pair) {
	p.num += q.num
	p.den += q.den
}

func (p pair) share() float64 {
	if p.den == 0 {
		return 0
	}
	return p.num / p.den
}

// classSlot is what one process showed in one class in one slot.
type cell struct {
	m     [growth]pair
	waits [32]float64
}

// side says on which side of the comparison the figures of a process count.
type side uint8

const (
	neither side = iota
	former
	newer
)

// regression is a least squares fit of the memory of a process over time.
type line struct{ n, t, tt, m, tm float64 }

func (l *line) add(t, m float64) {
	l.n++
	l.t += t
	l.tt += t * t
	l.m += m
	l.tm += t * m
}

func (l line) slope() float64 {
	d := l.n*l.tt - l.t*l.t
	if l.n < 3 || d <= 0 {
		return 0
	}
	return (l.n*l.tm - l.t*l.m) / d
}

// processEvidence is the evidence of one process.
type subject struct {
	zone   string
	life   uint64
	last   uint64 // number of the last window that was added
	seen   bool   // a window of this incarnation was added
	side   side
	warm   int64  // when its figures begin to count as new
	broken uint64 // highest value before its change of the counters that must stay 0
	cells  []cell // figures of the slot, by class
	// Excess over the old processes in the same slots, zones and classes, before the change and in the stage.
	excess        [growth]pair // of the slot
	before, after [growth]pair
	memory        line
	slots         int  // slots of the stage with figures of this process
	out           bool // has changed sides in the stage, and is not compared
	// Input of the plan:
	length, offered, served, used float64
	rate, shown                   float64
	quiet                         int // slots in a row without a window
}

// evidence collects the figures of old and new processes. The conductor keeps it, and so do the processes that
// would take over from it.
type evidence struct {
	rules      Rules
	slot       int64 // current length of a slot
	asked      bool  // the figures come by message, in windows that may be longer than Rules.Warm
	fresh      bool  // the evidence was created for this view
	change     uint64
	began      int64
	slotEnd    int64
	subjects   map[string]*subject
	names      []string // sorted
	classes    []string
	edge       [maxClasses]int     // bucket of the histogram next to the old 99th percentile; 0: not known
	tail       [maxClasses]float64 // relative growth of the share above it when that percentile is worse by its margin
	edges      bool
	waits      [maxClasses][32]float64 // waits of all old processes before the change
	told       bool                    // a process has been ordered: later figures are no longer from before the change
	stage      int                     // the stage that is judged; -1: none
	since      int64
	closed     int // slots closed so far
	slots      int
	oldSum     [measures]pair
	newSum     [measures]pair
	tailSum    pair
	apart      [growth][]float64        // variances of the old processes in each slot, sorted
	steady     [maxClasses][growth]pair // figures before the change, for the failpoint unpaired
	broke      string                   // the first new process with a counter above 0 that must stay 0
	failpoints failpoints
}

func newEvidence(r Rules, change uint64, now int64, d failpoints) *evidence {
	return &evidence{
		rules:      r,
		slot:       r.Slot,
		change:     change,
		began:      now,
		slotEnd:    now + r.Slot,
		subjects:   map[string]*subject{},
		stage:      -1,
		failpoints: d,
	}
}

// requestedSlot returns the length of a slot if it depends on the length of requested windows, else 0.
func (e *evidence) longSlot() int64 {
	if !e.asked {
		return 0
	}
	return e.slot
}

// beginStage starts the evidence of a stage. The last stage continues with that of the stage before it.
func (e *evidence) begin(now int64, stage int) {
	if e.stage == stage {
		return
	}
	if stage == All && e.stage == Quarter {
		e.stage = All
		return
	}
	e.close(now)
	if !e.edges {
		e.setEdges() // this process took over later and has not seen the time before the change
	}
	e.stage, e.since, e.slots = stage, now, 0
	e.oldSum, e.newSum, e.tailSum = [measures]pair{}, [measures]pair{}, pair{}
	for _, n := range e.names {
		s := e.subjects[n]
		s.after, s.memory, s.slots = [growth]pair{}, line{}, 0
		s.out = s.side == neither // a process that has not been seen for the warm-up time yet is compared later
	}
}

func (e *evidence) class(name string) int {
	if i := slices.Index(e.classes, name); i >= 0 {
		return i
	}
	if len(e.classes) < maxClasses {
		e.classes = append(e.classes, name)
	}
	return len(e.classes) - 1
}

// addWindows adds the windows of a member that are not known yet. in is the status of the member.
func (e *evidence) take(now int64, m *fleet.Member, in told) {
	s := e.subjects[m.Name]
	if s == nil {
		s = &subject{}
		e.subjects[m.Name] = s
		i, _ := slices.BinarySearch(e.names, m.Name)
		e.names = slices.Insert(e.names, i, m.Name)
	}
	is := neither
	switch {
	case m.State != fleet.Serving:
	case in.Change == e.change && in.State == Changed:
		is = newer
	case in.Change != e.change:
		is = former
	}
	s.zone = m.Zone
	if s.life != m.Incarnation {
		s.life, s.last, s.seen, s.broken = m.Incarnation, 0, false, 0
		s.shown, s.rate = 0, 0
		s.cells, s.length, s.offered, s.served, s.used = nil, 0, 0, 0, 0
		s.out = true
	}
	if is != s.side {
		if is == newer {
			s.warm = now + e.rules.Warm
		}
		s.side, s.out, s.cells = is, true, nil
	}
	if n := len(m.Windows); e.asked && n > 0 {
		newest := m.Windows[n-1].Number
		// Windows that are present when the evidence begins may be left from an earlier change, however long ago.
		// Where the numbers fall, the windows were part of the entry of the process before and are sent as
		// messages now; their figures were already added.
		if e.fresh || s.seen && newest < s.last {
			s.last, s.seen = newest, true
		}
	}
	for i := range m.Windows {
		w := &m.Windows[i]
		if s.seen && w.Number <= s.last || w.Length <= 0 {
			continue
		}
		// The first window of a process that has just become new may contain figures from before.
		first := !s.seen
		s.last, s.seen = w.Number, true
		if s.side == newer {
			if w.Broken > s.broken && e.broke == "" {
				e.broke = m.Name
			}
		} else {
			s.broken = max(s.broken, w.Broken)
		}
		if s.side == neither || first && i+1 < len(m.Windows) && s.side == newer {
			continue
		}
		if e.asked && s.side == newer && now-w.Length < s.warm {
			continue // the window began before the process was warm or had changed
		}
		e.window(now, s, w)
	}
}

func (e *evidence) window(now int64, s *subject, w *fleet.Window) {
	all := 0.0
	for _, c := range w.Class {
		i := e.class(c.Name)
		for len(s.cells) <= i {
			s.cells = append(s.cells, cell{})
		}
		k := &s.cells[i]
		n := float64(c.Offered)
		all += n
		if c.Whole > 0 {
			k.m[lost].add(pair{max(0, c.Whole-c.Worth), c.Whole})
		}
		k.m[refused].add(pair{float64(c.Refused), n})
		k.m[failed].add(pair{float64(c.Failed), n})
		k.m[late].add(pair{float64(c.Late), n})
		for b, x := range c.Waits {
			k.waits[min(b, len(k.waits)-1)] += float64(x)
		}
		s.offered += n
		s.served += float64(c.Served)
	}
	if len(s.cells) == 0 {
		s.cells = append(s.cells, cell{})
	}
	if w.CPU > 0 {
		s.cells[0].m[cpu].add(pair{float64(w.CPU), all})
	}
	if w.Memory > 0 {
		s.cells[0].m[memory].add(pair{float64(w.Memory), 1})
		if e.stage >= 0 && !s.out && now >= e.since && (s.side == former || now >= s.warm) {
			s.memory.add(float64(now-e.since)/60e6, float64(w.Memory))
		}
	}
	s.length += float64(w.Length) / 1e6
	s.used += float64(w.CPU) / 1e6
}
