package stage

import (
	"slices"

	"pewterwheel/internal/fleet"
)

// The measures in which old and new are compared. In each, more is worse.
const (
	measureWorth   = iota // worth not served, as a fraction of the whole
	measureRefused        // as a fraction of those offered
	measureFailed
	measureLate
	measureSlow   // answers above the bucket of the histogram next to the old 99th percentile, as a fraction
	measureCPU    // processor time per call
	measureMemory // resident
	measureGrowth // growth of resident memory per minute
	measureCount
)

var measureNames = [measureCount]string{"worth lost", "refused", "failed", "late", "slow answers",
	"processor time per call", "memory", "growth of memory"}

// maxClasses is the maximum number of classes that are compared separately; further ones count as the last.
const maxClasses = 16

// ratio is a sum and its base, for example the refused calls of all offered ones.
type ratio struct{ num, den float64 }

func (r *ratio) add(other ratio) {
	r.num += other.num
	r.den += other.den
}

func (r ratio) share() float64 {
	if r.den == 0 {
		return 0
	}
	return r.num / r.den
}

// classSlot is what one process showed in one class in one slot.
type classSlot struct {
	sums  [measureGrowth]ratio
	waits [32]float64
}

// side says on which side of the comparison the figures of a process count.
type side uint8

const (
	sideNone side = iota
	sideOld
	sideNew
)

// regression is a least squares fit of the memory of a process over time.
type regression struct{ count, sumT, sumTT, sumM, sumTM float64 }

func (r *regression) add(t, m float64) {
	r.count++
	r.sumT += t
	r.sumTT += t * t
	r.sumM += m
	r.sumTM += t * m
}

func (r regression) slope() float64 {
	d := r.count*r.sumTT - r.sumT*r.sumT
	if r.count < 3 || d <= 0 {
		return 0
	}
	return (r.count*r.sumTM - r.sumT*r.sumM) / d
}

// processEvidence is the evidence of one process.
type processEvidence struct {
	zone         string
	incarnation  uint64
	lastWindow   uint64 // number of the last window that was added
	hasWindow    bool   // a window of this incarnation was added
	side         side
	warmAt       int64       // when its figures begin to count as new
	brokenBefore uint64      // highest value before its change of the counters that must stay 0
	classSlots   []classSlot // figures of the slot, by class
	// Excess over the old processes in the same slots, zones and classes, before the change and in the stage.
	excess                      [measureGrowth]ratio // of the slot
	excessBefore, excessInStage [measureGrowth]ratio
	memoryTrend                 regression
	stageSlots                  int  // slots of the stage with figures of this process
	excluded                    bool // has changed sides in the stage, and is not compared
	// Input of the plan:
	length, offered, served, cpuUsed float64
	offeredRate, shownRate           float64
	emptySlots                       int // slots in a row without a window
}

// evidence collects the figures of old and new processes. The conductor keeps it, and so do the processes that
// would take over from it.
type evidence struct {
	rules          Rules
	slotLength     int64 // current length of a slot
	requested      bool  // the figures come by message, in windows that may be longer than Rules.WarmUp
	fresh          bool  // the evidence was created for this view
	change         uint64
	beganAt        int64
	slotEnd        int64
	processes      map[string]*processEvidence
	names          []string // sorted
	classes        []string
	slowBucket     [maxClasses]int     // bucket of the histogram next to the old 99th percentile; 0: not known
	slowMargin     [maxClasses]float64 // relative growth of the share above it if waits are longer by the margin
	slowBucketsSet bool
	waitsBefore    [maxClasses][32]float64 // waits of all old processes before the change
	changeStarted  bool                    // a process has been ordered; later figures are not from before the change
	stage          int                     // the stage that is judged; -1: none
	stageSince     int64
	closedSlots    int // slots closed so far
	stageSlots     int
	oldSum         [measureCount]ratio
	newSum         [measureCount]ratio
	slowMarginSum  ratio
	oldVariances   [measureGrowth][]float64         // variances of the old processes in each slot, sorted
	unpairedSums   [maxClasses][measureGrowth]ratio // of the old processes before the change; for the failpoint unpaired
	firstBroken    string                           // the first new process with a counter above 0 that must stay 0
	failpoints     failpoints
}

func newEvidence(rules Rules, change uint64, now int64, faults failpoints) *evidence {
	return &evidence{
		rules:      rules,
		slotLength: rules.SlotLength,
		change:     change,
		beganAt:    now,
		slotEnd:    now + rules.SlotLength,
		processes:  map[string]*processEvidence{},
		stage:      -1,
		failpoints: faults,
	}
}

// requestedSlot returns the length of a slot if it depends on the length of requested windows, else 0.
func (e *evidence) requestedSlot() int64 {
	if !e.requested {
		return 0
	}
	return e.slotLength
}

// beginStage starts the evidence of a stage. The last stage continues with that of the stage before it.
func (e *evidence) beginStage(now int64, stage int) {
	if e.stage == stage {
		return
	}
	if stage == All && e.stage == Quarter {
		e.stage = All
		return
	}
	e.close(now)
	if !e.slowBucketsSet {
		e.setSlowBuckets() // this process took over later and has not seen the time before the change
	}
	e.stage, e.stageSince, e.stageSlots = stage, now, 0
	e.oldSum, e.newSum, e.slowMarginSum = [measureCount]ratio{}, [measureCount]ratio{}, ratio{}
	for _, n := range e.names {
		s := e.processes[n]
		s.excessInStage, s.memoryTrend, s.stageSlots = [measureGrowth]ratio{}, regression{}, 0
		s.excluded = s.side == sideNone // a process that has not been seen for the warm-up time yet is compared later
	}
}

func (e *evidence) classIndex(name string) int {
	if i := slices.Index(e.classes, name); i >= 0 {
		return i
	}
	if len(e.classes) < maxClasses {
		e.classes = append(e.classes, name)
	}
	return len(e.classes) - 1
}

// addWindows adds the windows of a member that are not known yet. status is what the member announced.
func (e *evidence) addWindows(now int64, m *fleet.Member, status processStatus) {
	s := e.processes[m.Name]
	if s == nil {
		s = &processEvidence{}
		e.processes[m.Name] = s
		i, _ := slices.BinarySearch(e.names, m.Name)
		e.names = slices.Insert(e.names, i, m.Name)
	}
	side := sideNone
	switch {
	case m.State != fleet.Serving:
	case status.Change == e.change && status.State == Changed:
		side = sideNew
	case status.Change != e.change:
		side = sideOld
	}
	s.zone = m.Zone
	if s.incarnation != m.Incarnation {
		s.incarnation, s.lastWindow, s.hasWindow, s.brokenBefore = m.Incarnation, 0, false, 0
		s.shownRate, s.offeredRate = 0, 0
		s.classSlots, s.length, s.offered, s.served, s.cpuUsed = nil, 0, 0, 0, 0
		s.excluded = true
	}
	if side != s.side {
		if side == sideNew {
			s.warmAt = now + e.rules.WarmUp
		}
		s.side, s.excluded, s.classSlots = side, true, nil
	}
	if n := len(m.Windows); e.requested && n > 0 {
		newest := m.Windows[n-1].Number
		// Windows that are present when the evidence begins may be left from an earlier change, however long ago.
		// Where the numbers fall, the windows were part of the entry of the process before and are sent as
		// messages now; their figures were already added.
		if e.fresh || s.hasWindow && newest < s.lastWindow {
			s.lastWindow, s.hasWindow = newest, true
		}
	}
	for i := range m.Windows {
		w := &m.Windows[i]
		if s.hasWindow && w.Number <= s.lastWindow || w.Length <= 0 {
			continue
		}
		// The first window of a process that has just become new may contain figures from before.
		first := !s.hasWindow
		s.lastWindow, s.hasWindow = w.Number, true
		if s.side == sideNew {
			if w.Broken > s.brokenBefore && e.firstBroken == "" {
				e.firstBroken = m.Name
			}
		} else {
			s.brokenBefore = max(s.brokenBefore, w.Broken)
		}
		if s.side == sideNone || first && i+1 < len(m.Windows) && s.side == sideNew {
			continue
		}
		if e.requested && s.side == sideNew && now-w.Length < s.warmAt {
			continue // the window began before the process was warm or had changed
		}
		e.addWindow(now, s, w)
	}
}

func (e *evidence) addWindow(now int64, s *processEvidence, w *fleet.Window) {
	offered := 0.0
	for _, c := range w.Class {
		i := e.classIndex(c.Name)
		for len(s.classSlots) <= i {
			s.classSlots = append(s.classSlots, classSlot{})
		}
		slot := &s.classSlots[i]
		n := float64(c.Offered)
		offered += n
		if c.Whole > 0 {
			slot.sums[measureWorth].add(ratio{max(0, c.Whole-c.Worth), c.Whole})
		}
		slot.sums[measureRefused].add(ratio{float64(c.Refused), n})
		slot.sums[measureFailed].add(ratio{float64(c.Failed), n})
		slot.sums[measureLate].add(ratio{float64(c.Late), n})
		for b, x := range c.Waits {
			slot.waits[min(b, len(slot.waits)-1)] += float64(x)
		}
		s.offered += n
		s.served += float64(c.Served)
	}
	if len(s.classSlots) == 0 {
		s.classSlots = append(s.classSlots, classSlot{})
	}
	if w.CPU > 0 {
		s.classSlots[0].sums[measureCPU].add(ratio{float64(w.CPU), offered})
	}
	if w.Memory > 0 {
		s.classSlots[0].sums[measureMemory].add(ratio{float64(w.Memory), 1})
		if e.stage >= 0 && !s.excluded && now >= e.stageSince && (s.side == sideOld || now >= s.warmAt) {
			s.memoryTrend.add(float64(now-e.stageSince)/60e6, float64(w.Memory))
		}
	}
	s.length += float64(w.Length) / 1e6
	s.cpuUsed += float64(w.CPU) / 1e6
}
