package fleettest

import (
	"fmt"
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
	What  string // "kept" by a new keeper, "granted" by it to a process, "permit" taken there
	Fence uint64
	To    string
	N     int64
}

// record is the model's state: the newest keeper's number, and what each process may still take, by the number under which it
// was granted. It is kept as text, so that states can be compared.
type record struct {
	fence uint64
	left  string
}

// stepRecord is the model. Only the newest keeper grants; a process takes what was granted to it, and no more.
func stepRecord(s record, op RecordOp) (bool, record) {
	switch op.What {
	case "kept":
		if op.Fence <= s.fence {
			return false, s
		}
		s.fence = op.Fence
		return true, s
	case "granted":
		if op.Fence != s.fence {
			return false, s
		}
	}
	mark := fmt.Sprintf(" %d/%s=", op.Fence, op.To)
	before, rest, had := strings.Cut(s.left, mark)
	n, after := int64(0), rest
	if had {
		var number string
		number, after, _ = strings.Cut(rest, ";")
		_, _ = fmt.Sscan(number, &n)
	}
	if op.What == "granted" {
		n += op.N
	} else if n -= op.N; n < 0 {
		return false, s
	}
	s.left = before + after + mark + fmt.Sprint(n) + ";"
	return true, s
}

var recordModel = porcupine.Model{
	Init: func() any { return record{} },
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
	var things []string
	for _, e := range of(events, "keeper") {
		op := RecordOp{What: e.What, Fence: e.Fence, To: e.Process, N: e.N}
		switch e.What {
		case "granted":
			op.To = e.Text
		case "kept", "permit":
		default:
			continue
		}
		if clients[e.Who()] == 0 {
			clients[e.Who()] = len(clients) + 1
		}
		if ops[e.Thing] == nil {
			things = append(things, e.Thing)
		}
		ops[e.Thing] = append(ops[e.Thing], porcupine.Operation{ClientId: clients[e.Who()], Input: op, Call: e.At - noteWithin, Return: e.At})
	}
	var vs []Violation
	for _, thing := range things {
		switch porcupine.CheckOperationsTimeout(recordModel, ops[thing], 20*time.Second) {
		case porcupine.Illegal:
			vs = append(vs, Violation{"record", fmt.Sprintf("no order of the %d operations on %s is one that its record allows", len(ops[thing]), thing)})
		case porcupine.Unknown:
			vs = append(vs, Violation{"record", fmt.Sprintf("whether the record of %s is linearizable was not decided in time", thing)})
		}
	}
	return vs
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
