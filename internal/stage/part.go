package stage

import (
	"errors"
	"fmt"
	"math"

	"pewterwheel/internal/fleet"
)

// Part is the state machine of staged changes in one process: it carries out the orders that the process receives,
// and is the conductor while the process holds the lease. It implements fleet.Module.
type Part struct {
	c       Config
	watch   watch
	viewed  bool
	follows bool // this process would take over from the conductor

	// The part of this process in a change.
	running, concluded Target
	target             Target // target of the change that it takes part in
	state              State
	change             uint64
	fence, write       uint64 // fencing number and write of the highest order seen
	why                string
	act                uint64 // number of the open act; 0: none
	verb               string // verb of the open act
	acts               uint64
	wantsBack          bool // ordered back while it was changing
	handed             bool // a successor has taken over; this process does nothing any more
	shown              []byte

	conductor conductor
	next      int64
	counts    counts
}

type counts struct{ orders, refused, changes, backs, halts, concluded, errors uint64 }

var _ fleet.Module = (*Part)(nil)

// tickInterval is how often a part checks its lease, its orders and its slots.
const every = second / 5

func newPart(c Config) *Part {
	c.Rules = c.Rules.whole()
	p := &Part{c: c, running: c.Running, concluded: c.Concluded, next: math.MaxInt64}
	p.watch = watch{self: c.Name, peers: map[string]*peer{}, failpoints: c.failpoints}
	if c.Running.Change != c.Concluded.Change {
		p.state, p.change, p.target = Changed, c.Running.Change, c.Running
	}
	return p
}

// Kind returns fleet.Stage.
func (p *Part) Kind() fleet.Kind { return fleet.Stage }

// Start publishes the status of this process.
func (p *Part) Start(now int64, out *fleet.Out) {
	p.next = now + every
	p.tell(out)
}

// View applies a view of the other processes.
func (p *Part) View(now int64, v *fleet.View, out *fleet.Out) {
	p.watch.view(now, v)
	p.viewed = true
	r := p.watch.runs()
	p.follows = r != 0 && p.watch.follows(r)
	// Guards against orders of a former conductor in a process that has just started.
	if p.watch.fence > p.fence || p.watch.fence == p.fence && p.watch.write > p.write {
		p.fence, p.write = p.watch.fence, p.watch.write
	}
	p.gather(now, v, out)
	p.conduct(now, out)
	p.tell(out)
}

// Tick does the work that is due.
func (p *Part) Tick(now int64, out *fleet.Out) {
	p.next = now + every
	p.conduct(now, out)
	p.tell(out)
}

// Next returns when Tick is due.
func (p *Part) Next() int64 { return p.next }

// Message handles an order or an answer.
func (p *Part) Message(now int64, m fleet.Message, out *fleet.Out) {
	var s speech
	if len(m.Body) > fleet.MaxBody || decode(m.Body, &s) != nil || len(s.Target.Settings) > MaxPath || len(s.Target.Program) > MaxPath {
		p.counts.errors++
		return
	}
	if s.Order {
		p.order(now, m.From, s, out)
	} else {
		p.answered(now, m.From, s)
		p.conduct(now, out)
	}
	p.tell(out)
}

// handleOrder carries out an order of the conductor and answers it.
func (p *Part) order(now int64, from string, s speech, out *fleet.Out) {
	// A process that has just started knows no fencing number yet; it ignores orders until it has its first view.
	if p.handed || !p.viewed {
		return
	}
	p.counts.orders++
	if !p.c.failpoints.noFence && (s.Fence < p.fence || s.Fence == p.fence && s.Write < p.write) {
		p.counts.refused++
		err := &FenceError{Change: s.Change, Fence: s.Fence, Seen: p.fence, From: from}
		p.note(out, "order refused", s.Fence, int64(s.Change), err.Error())
		p.answer(from, s.Change, out)
		return
	}
	p.fence, p.write = s.Fence, s.Write
	if p.act == 0 {
		p.obey(s, out)
	} else if s.Verb == Back && s.Change == p.change && p.verb == Apply {
		p.wantsBack = true
	}
	p.answer(from, s.Change, out)
}

func (p *Part) obey(s speech, out *fleet.Out) {
	switch s.Verb {
	case Apply:
		if s.Change <= max(p.watch.over, p.running.Change) || p.state == Refusing && p.change == s.Change {
			return
		}
		if p.state == Changed && p.change > p.watch.over {
			return // one change at a time, but a process that came back after its change was over may go on to the next
		}
		p.state, p.change, p.target, p.why = Changing, s.Change, s.Target, ""
		p.begin(Apply, s.Target, out)
	case Back:
		switch {
		case p.change != s.Change:
		case p.state == Refusing && p.running.Change == p.concluded.Change:
			p.settle()
		case p.state == Changed || p.state == Refusing:
			p.state = Returning
			p.begin(Back, p.concluded, out)
		}
	case Conclude:
		if p.state == Changed && p.change == s.Change {
			p.begin(Conclude, p.target, out)
		}
	}
}

func (p *Part) settle() {
	p.state, p.change, p.target, p.why = Unchanged, 0, Target{}, ""
}

func (p *Part) begin(verb string, t Target, out *fleet.Out) {
	p.acts++
	p.act, p.verb = p.acts, verb
	out.Acts = append(out.Acts, fleet.Act{Kind: fleet.Stage, Number: p.act, What: verb, Body: t.Encode()})
	p.note(out, verb, p.fence, int64(p.change), fmt.Sprintf("write %d", p.write))
}

// Done handles the end of an act.
func (p *Part) Done(now int64, a fleet.Act, err error, out *fleet.Out) {
	if a.Number != p.act || p.act == 0 {
		return
	}
	p.act = 0
	switch p.verb {
	case Apply:
		switch {
		case err != nil:
			p.state, p.why = Refusing, cut(err.Error(), maxWhy)
			p.note(out, "refuses", p.fence, int64(p.change), p.why)
			if p.wantsBack && p.running.Change == p.concluded.Change {
				p.settle()
			}
		case p.replaces(p.target):
			p.handed = true // the successor publishes the outcome
			p.counts.changes++
		default:
			p.counts.changes++
			p.state, p.running = Changed, p.target
			p.note(out, "changed", p.fence, int64(p.change), "")
			if p.wantsBack {
				p.state = Returning
				p.begin(Back, p.concluded, out)
			}
		}
		p.wantsBack = false
	case Back:
		switch {
		case err != nil:
			p.state, p.why = Changed, cut(err.Error(), maxWhy)
			p.note(out, "does not go back", p.fence, int64(p.change), p.why)
		case p.replaces(p.concluded):
			p.handed = true
			p.counts.backs++
		default:
			p.counts.backs++
			p.note(out, "returned", p.fence, int64(p.change), "")
			p.running = p.concluded
			p.settle()
		}
	case Conclude:
		if err != nil {
			p.why = cut(err.Error(), maxWhy)
			p.note(out, "does not conclude", p.fence, int64(p.change), p.why)
			break
		}
		p.note(out, "concluded", p.fence, int64(p.change), "")
		p.counts.concluded++
		p.concluded = p.target
		p.settle()
	}
	p.conduct(now, out)
	p.tell(out)
}

func (p *Part) answer(to string, change uint64, out *fleet.Out) {
	s := speech{Change: change, Fence: p.fence, Write: p.write, Why: p.why, Life: p.running.Change}
	if p.change == change {
		s.State = p.state
	}
	if to == p.c.Name {
		p.answered(0, to, s)
		return
	}
	out.Send = append(out.Send, fleet.Message{Kind: fleet.Stage, From: p.c.Name, To: to, Body: encode(s)})
}

// publishStatus updates the status in the entry of this process if it has changed.
func (p *Part) tell(out *fleet.Out) {
	if p.handed {
		return
	}
	t := told{Change: p.change, State: p.state, Fence: p.fence, Write: p.write, Why: p.why, Over: p.watch.over,
		Crashed: p.watch.crashed, Crashes: p.watch.crashes, Goes: p.running.Change}
	p.conductor.tell(&t)
	if b := encode(t); string(b) != string(p.shown) {
		p.shown = b
		out.Tell(fleet.Stage, b)
	}
}

func (p *Part) note(out *fleet.Out, what string, fence uint64, n int64, text string) {
	out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Stage, What: what, Thing: Thing, Fence: fence, N: n, Text: text})
}

func (p *Part) propose(now int64, t Target, out *fleet.Out) error {
	switch {
	case t.Change == 0:
		return &TargetError{Change: t.Change, Why: "no change number is given"}
	case t.Settings == "" && t.Program == "":
		return &TargetError{Change: t.Change, Why: "names neither a settings file nor a program"}
	case len(t.Settings) > MaxPath || len(t.Program) > MaxPath:
		return &TargetError{Change: t.Change, Why: "path too long"}
	}
	if r := p.known(); r != 0 {
		name := ""
		if p.c.Lease != nil {
			name, _ = p.c.Lease.Holder(Thing)
		}
		return &RunningError{Change: t.Change, Running: r, Conductor: name}
	}
	if o := max(p.watch.over, p.concluded.Change); t.Change <= o {
		return &NumberError{Change: t.Change, Over: o}
	}
	p.conductor.proposal, p.conductor.proposed = t, now
	p.conduct(now, out)
	p.tell(out)
	return nil
}

// knownRunning returns the change that is known to be running or was proposed here; 0: none.
func (p *Part) known() uint64 {
	if r := p.watch.runs(); r != 0 {
		return r
	}
	if p.conductor.proposal.Change != 0 {
		return p.conductor.proposal.Change
	}
	if c := &p.conductor; c.holds && c.rec.Phase != none && !over(c.rec.Phase) {
		return c.rec.Target.Change
	}
	return 0
}

// Figures reports the state of the change and counters as metrics.
func (p *Part) Figures(put func(name string, n uint64, gauge bool)) {
	put("stage_change", p.change, true)
	put("stage_state", uint64(p.state), true)
	put("stage_runs", p.watch.runs(), true)
	put("stage_over", p.watch.over, true)
	put("stage_goes_by", p.running.Change, true)
	put("stage_orders", p.counts.orders, false)
	put("stage_orders_refused", p.counts.refused, false)
	put("stage_changes", p.counts.changes, false)
	put("stage_backs", p.counts.backs, false)
	put("stage_halts", p.counts.halts, false)
	put("stage_bad_messages", p.counts.errors, false)
	p.conductor.figures(put)
}

// Text describes the change in one line, as STATS shows it: the conductor, the stage, and after a halt the reason
// with its evidence.
func (p *Part) Text() string {
	if c := &p.conductor; c.holds && c.rec.Phase != none {
		return c.text()
	}
	for _, n := range p.watch.names {
		if t := p.watch.peers[n].told; t.Conducts != 0 && t.Conducts >= p.watch.running && t.Conducts >= p.watch.over {
			return fmt.Sprintf("change %d: %s, stage %s, told by %s: %s", t.Conducts, phaseNames[min(t.Phase, halted)],
				stageNames[min(max(t.Stage, 0), stages-1)], n, t.Reason)
		}
	}
	return "no change"
}

// IsConflict reports whether an error says that a change was not started because of another change or of its own
// number.
func Refused(err error) bool {
	var r *RunningError
	var n *NumberError
	return errors.As(err, &r) || errors.As(err, &n)
}
