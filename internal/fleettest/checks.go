package fleettest

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// Check runs every check that holds of a history whatever was done to the processes.
func Check(events []Event) []Violation {
	var vs []Violation
	for _, check := range []func([]Event) []Violation{OneHolder, Lives, Records, Stages, Verdicts} {
		vs = append(vs, check(events)...)
	}
	return vs
}

// of picks the events of a kind, and what the rig did.
func of(events []Event, kind string) []Event {
	var some []Event
	for _, e := range events {
		if e.Kind == kind || e.Kind == "rig" {
			some = append(some, e)
		}
	}
	return some
}

// over tells whether an event ends a life: what it held is held by nobody from then on.
func over(e Event) bool { return e.Kind == "rig" && (e.What == "kill" || e.What == "end") }

// hold is a stretch in which one life alone may act on a thing.
type hold struct {
	thing, who string
	fence      uint64
	from, to   int64
}

// acted is when a holder looked at what it holds, before it acted: N tells how much of it was left then. What the machine
// does to a process between its look and its act is what the number is for.
func acted(e Event) int64 {
	if e.Until != 0 && e.N > 0 {
		return e.Until - e.N
	}
	return e.At
}

// OneHolder checks that no two lives hold a thing at one moment, that each new holder has a higher number, and that nobody
// acts on what it does not hold. A grant counts until it runs out, is given up, or its holder dies.
func OneHolder(events []Event) []Violation {
	var vs []Violation
	var all []*hold
	open := map[string]*hold{} // by thing and life
	for _, e := range of(events, "lease") {
		key := e.Thing + "\x00" + e.Who()
		h := open[key]
		switch {
		case over(e):
			for _, h := range all {
				if h.who == e.Who() {
					h.to = min(h.to, e.At)
				}
			}
		case e.What == "granted" || e.What == "renewed":
			if h == nil || h.fence != e.Fence || h.to < e.At {
				h = &hold{e.Thing, e.Who(), e.Fence, e.At, e.At}
				open[key], all = h, append(all, h)
			}
			h.to = max(h.to, e.Until)
		case e.What == "released":
			if h != nil {
				h.to = min(h.to, e.At)
			}
		case e.What == "lapsed": // it says until when it had held it
			if h != nil && h.fence == e.Fence {
				h.to = max(h.to, e.Until)
			}
		case e.What == "acting":
			if h == nil || h.fence != e.Fence {
				vs = append(vs, Violation{"one-holder", fmt.Sprintf("%s acts on %s under %d, which it was not granted", e.Who(), e.Thing, e.Fence)})
			} else if at := acted(e); at > h.to {
				vs = append(vs, Violation{"one-holder", fmt.Sprintf("%s acts on %s under %d, %d us after its grant ran out", e.Who(), e.Thing, e.Fence, at-h.to)})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b *hold) int { return int(max(-1, min(1, a.from-b.from))) })
	last := map[string]*hold{} // of each thing, the one that lasts longest
	high := map[string]*hold{}
	for _, h := range all {
		if l := last[h.thing]; l != nil && l.who != h.who && h.from < l.to {
			vs = append(vs, Violation{"one-holder", fmt.Sprintf("%s is held by %s under %d until %.6f, and by %s under %d from %.6f",
				h.thing, l.who, l.fence, float64(l.to)/1e6, h.who, h.fence, float64(h.from)/1e6)})
		}
		if l := high[h.thing]; l != nil && (h.fence < l.fence || h.fence == l.fence && h.who != l.who) {
			vs = append(vs, Violation{"fence", fmt.Sprintf("%s got %s under %d after %s had it under %d", h.who, h.thing, h.fence, l.who, l.fence)})
		}
		if l := last[h.thing]; l == nil || h.to > l.to {
			last[h.thing] = h
		}
		if l := high[h.thing]; l == nil || h.fence > l.fence {
			high[h.thing] = h
		}
	}
	return vs
}

// RecordOp is what is done to a number's record, as porcupine's model has it.
type RecordOp struct {
	What  string // as the notes have it; "dead" is the end of a process
	Fence uint64
	To    string
	N     int64
	At    int64 // microseconds
	thing string
}

const (
	// The next keeper answers for what the last one granted for as long as a permit lives, 2 s; less what its note may be late.
	answersFor = 1_500_000
	// What a process is counted with that says nothing counts for 30 s, less the same.
	countsFor = 29_000_000
	// What the keeper before the last granted is in the last one's record for 30 s; less its writes.
	answersLong = 25_000_000
	earlierLife = " before"
	// Words of a process that its keeper may have passed over are remembered, so many of them.
	mostTold = 64
)

// record is the model's state: the newest keeper's number, what each process may still take, by the number under which it
// was granted, what its keeper counts each with, and what these told. It is never changed, but copied.
type record struct {
	fence          uint64
	kept           int64 // when
	lines, unknown int64 // as the keeper noted
	counts         bool  // it notes what it counts with: histories of earlier versions do not
	most, met      int64 // lines of the keeper before, and what those held that have reported to this one, as they first did
	left           map[string]int64
	with           map[string]int64   // counted by this keeper
	since          map[string]int64   // when that last changed
	old            map[string]int64   // counted by the one before, of those that have not reported
	told           map[string][]int64 // by number and process, from the one last counted on
}

func (s record) copied() record {
	s.left, s.with, s.since, s.old, s.told = maps.Clone(s.left), maps.Clone(s.with), maps.Clone(s.since), maps.Clone(s.old), maps.Clone(s.told)
	return s
}

// sum is the lines of all processes in a count.
func sum(m map[string]int64) (n int64) {
	for _, v := range m {
		n += v
	}
	return n
}

// stepRecord is the model. Only the newest keeper grants, and no more than the lines that it knows, less what it counts each
// process with and what the keeper before may have granted; it counts a process with no less than that has told since; a
// process takes what was granted to it, and no more.
func stepRecord(s record, op RecordOp) (bool, record) {
	by := fmt.Sprintf("%d/%s", op.Fence, op.To)
	s = s.copied()
	switch op.What {
	case "kept":
		if op.Fence <= s.fence {
			return false, s
		}
		s.most, s.met = min(s.lines, sum(s.with)), 0
		if op.At >= s.kept+answersLong {
			clear(s.old)
		}
		for who, n := range s.with { // what an earlier one granted stands until its receiver tells
			if !strings.HasSuffix(who, earlierLife) {
				s.old[who] = max(s.old[who], n)
			}
		}
		s.fence, s.kept, s.lines, s.unknown, s.counts = op.Fence, op.At, op.N, 0, false
		s.with, s.since = map[string]int64{}, map[string]int64{}
	case "told":
		t := append(slices.Clone(s.told[by]), op.N)
		s.told[by] = t[max(0, len(t)-mostTold):]
	case "dead":
		delete(s.old, op.To)
	case "permit":
		if s.left[by] -= op.N; s.left[by] < 0 {
			return false, s
		}
	case "granted":
		if op.Fence != s.fence {
			return false, s
		}
		s.left[by] += op.N
		s.with[op.To] += op.N
		s.since[op.To] = op.At
		if !s.counts {
			return true, s
		}
		if sum(s.with)+s.unknown > s.lines {
			return false, s
		}
		// Whatever the keeper noted as not known, it is no less than what is.
		if op.At < s.kept+answersFor && s.unknown < min(sum(s.old), s.most-s.met) {
			return false, s
		}
	}
	if op.Fence != s.fence { // what an earlier keeper counts is of no account any more
		return true, s
	}
	switch op.What {
	case "lines":
		s.lines, s.counts = op.N, true
	case "unknown":
		s.unknown, s.counts = op.N, true
	case "met", "holds":
		at := slices.Index(s.told[by], op.N)
		if at < 0 {
			return false, s
		}
		s.told[by] = s.told[by][at:]
		s.with[op.To], s.since[op.To] = op.N, op.At
		if op.What == "met" {
			s.met += op.N
			delete(s.old, op.To)
		}
	case "gone", "before":
		to := op.To
		if op.What == "before" {
			to += earlierLife
		}
		if op.N < s.with[to] && op.At < s.since[to]+countsFor {
			return false, s
		}
		s.with[to], s.since[to] = op.N, op.At
	}
	return true, s
}

var recordModel = porcupine.Model{
	Init: func() any {
		return record{left: map[string]int64{}, with: map[string]int64{}, since: map[string]int64{}, old: map[string]int64{}, told: map[string][]int64{}}
	},
	Equal: func(a, b any) bool { return reflect.DeepEqual(a, b) },
	Step: func(state, input, _ any) (bool, any) {
		ok, next := stepRecord(state.(record), input.(RecordOp))
		return ok, next
	},
	DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
}

// noteWithin is how much later than what it tells a note may have its time.
const noteWithin = 2000 // microseconds

// Records checks that the record of every number is linearizable: that there is one order of all that its keepers and those
// who hold permits did, in which each did what the record then allowed.
func Records(events []Event) []Violation {
	ops := map[string][]porcupine.Operation{}
	clients := map[string]int{}
	last := map[string]int64{} // of each life, in nanoseconds: what it noted has the order in which it did
	var things []string
	add := func(e Event, op RecordOp) {
		if clients[e.Who()] == 0 {
			clients[e.Who()] = len(clients) + 1
		}
		if ops[op.thing] == nil {
			things = append(things, op.thing)
		}
		from := max(1000*(e.At-noteWithin), last[e.Who()]+1)
		to := max(1000*e.At, from+1)
		last[e.Who()] = to
		ops[op.thing] = append(ops[op.thing], porcupine.Operation{ClientId: clients[e.Who()], Input: op, Call: from, Return: to})
	}
	for _, e := range of(events, "keeper") {
		op := RecordOp{What: e.What, Fence: e.Fence, To: e.Process, N: e.N, At: e.At, thing: e.Thing}
		switch e.What {
		case "granted", "met", "holds", "gone", "before":
			op.To = e.Text
		case "kept", "permit", "lines", "unknown", "told":
		default:
			if over(e) {
				for _, thing := range things {
					add(e, RecordOp{What: "dead", To: e.Process, At: e.At, thing: thing})
				}
			}
			continue
		}
		add(e, op)
	}
	var vs []Violation
	for _, thing := range things {
		switch porcupine.CheckOperationsTimeout(recordModel, ops[thing], 20*time.Second) {
		case porcupine.Illegal:
			vs = append(vs, Violation{"record", fmt.Sprintf("no order of the %d operations on %s is one that its record allows%s", len(ops[thing]), thing,
				firstRefused(ops[thing]))})
		case porcupine.Unknown:
			vs = append(vs, Violation{"record", fmt.Sprintf("whether the record of %s is linearizable was not decided in time", thing)})
		}
	}
	return vs
}

// firstRefused tells which operation, in the order in which they were noted, is the first that the record does not allow.
func firstRefused(ops []porcupine.Operation) string {
	s := recordModel.Init().(record)
	for _, o := range ops {
		op := o.Input.(RecordOp)
		ok, next := stepRecord(s, op)
		if !ok {
			return fmt.Sprintf(": as noted, it refuses %q of %d for %s under %d, with %d held and %d not known of %d lines", op.What, op.N, op.To, op.Fence,
				sum(s.with), s.unknown, s.lines)
		}
		s = next
	}
	return ""
}

// stageNames are those that a conductor's note names, in order.
var stageNames = []string{"one", "twentieth", "quarter", "all"}

// Stages checks each change: one at a time, stages opened in order and none twice, orders of the stage alone that is open, no
// process told to change after a halt, and nothing done by a conductor once there is a later one.
func Stages(events []Event) []Violation {
	var vs []Violation
	change, stage, fence, after := int64(0), int64(-1), uint64(0), ""
	for _, e := range of(events, "stage") {
		bad := func(format string, args ...any) {
			vs = append(vs, Violation{"stages", fmt.Sprintf("change %d: %s ", change, e.Who()) + fmt.Sprintf(format, args...)})
		}
		conducts := slices.Contains([]string{"opened", "conducts", "stage", "tells", "halted", "passed"}, e.What)
		if conducts && e.Fence < fence {
			bad("conducts (%s) under %d after %d", e.What, e.Fence, fence)
			continue
		}
		if conducts {
			fence = e.Fence
		}
		switch e.What {
		case "opened":
			if change != 0 && after == "" {
				bad("opens change %d while it runs", e.N)
			}
			change, stage, after = e.N, -1, ""
		case "conducts":
			_, name, _ := strings.Cut(e.Text, ", stage ")
			at := int64(slices.Index(stageNames, name))
			if e.N == change && at > stage+1 {
				bad("takes it up at stage %d after %d", at, stage)
			}
			if e.N == change || change == 0 {
				change, stage = e.N, max(stage, at) // whoever opened it may have died before it said so
			}
		case "stage":
			switch {
			case after != "":
				bad("opens stage %d after it was %s", e.N, after)
			case e.N == stage:
				bad("repeats stage %d", e.N)
			case e.N != stage+1:
				bad("opens stage %d after %d", e.N, stage)
			}
			stage = max(stage, e.N)
		case "tells":
			apply := strings.HasPrefix(e.Text, "apply ")
			switch {
			case apply && after != "":
				bad("tells %q after it was %s", e.Text, after)
			case apply && e.N != stage:
				bad("tells %q of stage %d while %d is open", e.Text, e.N, stage)
			}
		case "passed", "halted":
			if after != "" && after != e.What {
				bad("was %s, and is then %s", after, e.What)
			}
			if e.What == "passed" && stage != int64(len(stageNames)-1) {
				bad("passes it at stage %d", stage)
			}
			after = e.What
		}
	}
	return vs
}

// Verdicts checks what processes held of a client: a witness brings every process that hears of it to the lowest verdict,
// and nobody raises it again on the same or an earlier lot of evidence. N of a verdict is its height, 1 the lowest; Fence is
// the number of the client's lot, which a witness takes up by one.
func Verdicts(events []Event) []Violation {
	var vs []Violation
	seen := map[string]uint64{} // by life and client: the lot of the newest witness that it knows
	for _, e := range of(events, "pooling") {
		key := e.Who() + " " + e.Thing
		switch e.What {
		case "witness":
			seen[key] = max(seen[key], e.Fence)
		case "verdict":
			if e.N > 1 && e.Fence < seen[key] {
				vs = append(vs, Violation{"verdict", fmt.Sprintf("%s raises %s to %d on lot %d, and knows a witness of lot %d", e.Who(), e.Thing, e.N, e.Fence, seen[key])})
			}
		}
	}
	return vs
}

// KnownWithin checks that what one process noted of each thing was noted by every process that lived on, within a bound from
// its first note, or from healed if that was later.
func KnownWithin(events []Event, kind, what string, processes []string, healed int64, within time.Duration) []Violation {
	first, known := map[string]int64{}, map[string]map[string]int64{}
	var things []string
	for _, e := range of(events, kind) {
		if e.Kind != kind || e.What != what {
			continue
		}
		if known[e.Thing] == nil {
			things = append(things, e.Thing)
			first[e.Thing], known[e.Thing] = e.At, map[string]int64{}
		}
		if _, had := known[e.Thing][e.Process]; !had {
			known[e.Thing][e.Process] = e.At
		}
	}
	var vs []Violation
	for _, thing := range things {
		by := max(first[thing], healed) + within.Microseconds()
		for _, p := range processes {
			if at, had := known[thing][p]; !had {
				vs = append(vs, Violation{"known", fmt.Sprintf("%s never noted %s of %s", p, what, thing)})
			} else if at > by {
				vs = append(vs, Violation{"known", fmt.Sprintf("%s noted %s of %s %d ms late", p, what, thing, (at-by)/1000)})
			}
		}
	}
	return vs
}

// suspected is what is added to the state, in N of what is seen, of a process that is.
const suspected = 10

// Lives checks what processes see of each other: never an earlier life after a later one, and nobody taken for gone who was
// not told to end.
func Lives(events []Event) []Violation {
	var vs []Violation
	last, ends := map[string]Event{}, map[string]bool{}
	for _, e := range of(events, "fleet") {
		key := e.Who() + " " + e.Thing
		switch was, had := last[key]; {
		case e.Kind == "rig":
			ends[e.Process] = ends[e.Process] || e.What == "term"
		case e.What == "sees":
			if had && e.Fence < was.Fence {
				vs = append(vs, Violation{"lives", fmt.Sprintf("%s sees life %d of %s after life %d", e.Who(), e.Fence, e.Thing, was.Fence)})
			}
			last[key] = e
		case e.What == "unseen":
			if had && !ends[e.Thing] {
				vs = append(vs, Violation{"lives", fmt.Sprintf("%s takes %s for gone, life %d, which nobody has ended", e.Who(), e.Thing, was.Fence)})
			}
		}
	}
	return vs
}

// Views checks what processes see at the end of a history: those that run see each other as each sees itself, unsuspected, and
// suspect or no longer see all others.
func Views(events []Event, running map[string]bool) []Violation {
	sees := map[string]map[string]Event{}
	for _, e := range events {
		switch {
		case e.Kind == "rig" && e.What == "start":
			sees[e.Process] = map[string]Event{}
		case e.Kind == "fleet" && e.What == "sees" && sees[e.Process] != nil:
			sees[e.Process][e.Thing] = e
		case e.Kind == "fleet" && e.What == "unseen" && sees[e.Process] != nil:
			delete(sees[e.Process], e.Thing)
		}
	}
	var vs []Violation
	bad := func(who, format string, args ...any) {
		vs = append(vs, Violation{"views", who + " " + fmt.Sprintf(format, args...)})
	}
	for _, who := range sorted(running) {
		for _, other := range sorted(sees) {
			e, seen := sees[who][other]
			switch own := sees[other][other]; {
			case !running[other] && seen && e.N < suspected:
				bad(who, "sees %s, which does not run", other)
			case running[other] && !seen:
				bad(who, "does not see %s", other)
			case running[other] && e.N >= suspected:
				bad(who, "suspects %s", other)
			case running[other] && (e.Fence != own.Fence || e.Text != own.Text):
				bad(who, "sees life %d of %s, version %s; it is life %d, version %s", e.Fence, other, e.Text, own.Fence, own.Text)
			}
		}
	}
	return vs
}

func sorted[V any](m map[string]V) []string {
	var names []string
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
