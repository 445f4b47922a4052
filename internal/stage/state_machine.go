package stage

import (
	"errors"
	"fmt"
	"math"

	"pewterwheel/internal/fleet"
)

// Module is the state machine of staged changes in one process: it carries out the orders that the process receives,
// and is the conductor while the process holds the lease. It implements fleet.Module.
type Module struct {
	config    Config
	peers     peerTable
	hasView   bool
	isStandby bool // this process would take over from the conductor

	// The part of this process in a change.
	running, concluded         Target
	target                     Target // target of the change that it takes part in
	state                      State
	change                     uint64
	highestFence, highestWrite uint64 // fencing number and write of the highest order seen
	detail                     string
	openAct                    uint64 // number of the open act; 0: none
	openVerb                   string // verb of the open act
	lastAct                    uint64
	rollbackPending            bool // ordered back while it was changing
	handedOver                 bool // a successor has taken over; this process does nothing any more
	published                  []byte

	conductor conductor
	nextTick  int64
	counters  counters
}

type counters struct{ orders, refusedOrders, appliedChanges, rollbacks, halts, conclusions, badMessages uint64 }

var _ fleet.Module = (*Module)(nil)

// tickInterval is how often a Module checks its lease, its orders and its slots.
const tickInterval = second / 5

func newPart(c Config) *Module {
	c.Rules = c.Rules.withDefaults()
	p := &Module{config: c, running: c.Running, concluded: c.Concluded, nextTick: math.MaxInt64}
	p.peers = peerTable{self: c.Name, byName: map[string]*peer{}, failpoints: c.failpoints}
	if c.Running.Change != c.Concluded.Change {
		p.state, p.change, p.target = Changed, c.Running.Change, c.Running
	}
	return p
}

// Kind returns fleet.Stage.
func (p *Module) Kind() fleet.Kind { return fleet.Stage }

// Start publishes the status of this process.
func (p *Module) Start(now int64, out *fleet.Out) {
	p.nextTick = now + tickInterval
	p.publishStatus(out)
}

// View applies a view of the other processes.
func (p *Module) View(now int64, v *fleet.View, out *fleet.Out) {
	p.peers.update(now, v)
	p.hasView = true
	running := p.peers.runningChange()
	p.isStandby = running != 0 && p.peers.isStandby(running)
	// Guards against orders of a former conductor in a process that has just started.
	if p.peers.highestFence > p.highestFence ||
		p.peers.highestFence == p.highestFence && p.peers.highestWrite > p.highestWrite {
		p.highestFence, p.highestWrite = p.peers.highestFence, p.peers.highestWrite
	}
	p.gatherFigures(now, v, out)
	p.conduct(now, out)
	p.publishStatus(out)
}

// Tick does the work that is due.
func (p *Module) Tick(now int64, out *fleet.Out) {
	p.nextTick = now + tickInterval
	p.conduct(now, out)
	p.publishStatus(out)
}

// Next returns when Tick is due.
func (p *Module) Next() int64 { return p.nextTick }

// Message handles an order or an answer.
func (p *Module) Message(now int64, m fleet.Message, out *fleet.Out) {
	var s message
	if len(m.Body) > fleet.MaxBody || decode(m.Body, &s) != nil || len(s.Target.Settings) > MaxPath ||
		len(s.Target.Program) > MaxPath {
		p.counters.badMessages++
		return
	}
	if s.Order {
		p.handleOrder(now, m.From, s, out)
	} else {
		p.recordAnswer(now, m.From, s)
		p.conduct(now, out)
	}
	p.publishStatus(out)
}

// handleOrder carries out an order of the conductor and answers it.
func (p *Module) handleOrder(now int64, from string, s message, out *fleet.Out) {
	// A process that has just started knows no fencing number yet; it ignores orders until it has its first view.
	if p.handedOver || !p.hasView {
		return
	}
	p.counters.orders++
	if !p.config.failpoints.ignoreFence && (s.Fence < p.highestFence ||
		s.Fence == p.highestFence && s.Write < p.highestWrite) {
		p.counters.refusedOrders++
		err := &FenceError{Change: s.Change, Fence: s.Fence, HighestSeen: p.highestFence, From: from}
		p.addNote(out, "order refused", s.Fence, int64(s.Change), err.Error())
		p.sendAnswer(from, s.Change, out)
		return
	}
	p.highestFence, p.highestWrite = s.Fence, s.Write
	if p.openAct == 0 {
		p.execute(s, out)
	} else if s.Verb == Back && s.Change == p.change && p.openVerb == Apply {
		p.rollbackPending = true
	}
	p.sendAnswer(from, s.Change, out)
}

func (p *Module) execute(s message, out *fleet.Out) {
	switch s.Verb {
	case Apply:
		if s.Change <= max(p.peers.highestOver, p.running.Change) || p.state == Refusing && p.change == s.Change {
			return
		}
		if p.state == Changed && p.change > p.peers.highestOver {
			return // one change at a time, but a process that came back after its change was over may go on to the next
		}
		p.state, p.change, p.target, p.detail = Changing, s.Change, s.Target, ""
		p.startAct(Apply, s.Target, out)
	case Back:
		switch {
		case p.change != s.Change:
		case p.state == Refusing && p.running.Change == p.concluded.Change:
			p.leaveChange()
		case p.state == Changed || p.state == Refusing:
			p.state = Returning
			p.startAct(Back, p.concluded, out)
		}
	case Conclude:
		if p.state == Changed && p.change == s.Change {
			p.startAct(Conclude, p.target, out)
		}
	}
}

func (p *Module) leaveChange() {
	p.state, p.change, p.target, p.detail = Unchanged, 0, Target{}, ""
}

func (p *Module) startAct(verb string, t Target, out *fleet.Out) {
	p.lastAct++
	p.openAct, p.openVerb = p.lastAct, verb
	out.Acts = append(out.Acts, fleet.Act{Kind: fleet.Stage, Number: p.openAct, What: verb, Body: t.Encode()})
	p.addNote(out, verb, p.highestFence, int64(p.change), fmt.Sprintf("write %d", p.highestWrite))
}

// Done handles the end of an act.
func (p *Module) Done(now int64, a fleet.Act, err error, out *fleet.Out) {
	if a.Number != p.openAct || p.openAct == 0 {
		return
	}
	p.openAct = 0
	switch p.openVerb {
	case Apply:
		switch {
		case err != nil:
			p.state, p.detail = Refusing, truncate(err.Error(), maxDetail)
			p.addNote(out, "refuses", p.highestFence, int64(p.change), p.detail)
			if p.rollbackPending && p.running.Change == p.concluded.Change {
				p.leaveChange()
			}
		case p.needsSuccessor(p.target):
			p.handedOver = true // the successor publishes the outcome
			p.counters.appliedChanges++
		default:
			p.counters.appliedChanges++
			p.state, p.running = Changed, p.target
			p.addNote(out, "changed", p.highestFence, int64(p.change), "")
			if p.rollbackPending {
				p.state = Returning
				p.startAct(Back, p.concluded, out)
			}
		}
		p.rollbackPending = false
	case Back:
		switch {
		case err != nil:
			p.state, p.detail = Changed, truncate(err.Error(), maxDetail)
			p.addNote(out, "does not go back", p.highestFence, int64(p.change), p.detail)
		case p.needsSuccessor(p.concluded):
			p.handedOver = true
			p.counters.rollbacks++
		default:
			p.counters.rollbacks++
			p.addNote(out, "returned", p.highestFence, int64(p.change), "")
			p.running = p.concluded
			p.leaveChange()
		}
	case Conclude:
		if err != nil {
			p.detail = truncate(err.Error(), maxDetail)
			p.addNote(out, "does not conclude", p.highestFence, int64(p.change), p.detail)
			break
		}
		p.addNote(out, "concluded", p.highestFence, int64(p.change), "")
		p.counters.conclusions++
		p.concluded = p.target
		p.leaveChange()
	}
	p.conduct(now, out)
	p.publishStatus(out)
}

func (p *Module) sendAnswer(to string, change uint64, out *fleet.Out) {
	s := message{Change: change, Fence: p.highestFence, Write: p.highestWrite, Detail: p.detail,
		RunningChange: p.running.Change}
	if p.change == change {
		s.State = p.state
	}
	if to == p.config.Name {
		p.recordAnswer(0, to, s)
		return
	}
	out.Send = append(out.Send, fleet.Message{Kind: fleet.Stage, From: p.config.Name, To: to, Body: encode(s)})
}

// publishStatus updates the status in the entry of this process if it has changed.
func (p *Module) publishStatus(out *fleet.Out) {
	if p.handedOver {
		return
	}
	status := processStatus{Change: p.change, State: p.state, Fence: p.highestFence, Write: p.highestWrite,
		Detail: p.detail, HighestOver: p.peers.highestOver, CrashedChange: p.peers.crashedChange,
		Crashes: p.peers.crashes, RunningChange: p.running.Change}
	p.conductor.fillStatus(&status)
	if b := encode(status); string(b) != string(p.published) {
		p.published = b
		out.Tell(fleet.Stage, b)
	}
}

func (p *Module) addNote(out *fleet.Out, what string, fence uint64, number int64, text string) {
	out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Stage, What: what, Thing: Thing, Fence: fence, N: number,
		Text: text})
}

func (p *Module) propose(now int64, t Target, out *fleet.Out) error {
	switch {
	case t.Change == 0:
		return &TargetError{Change: t.Change, Reason: "no change number is given"}
	case t.Settings == "" && t.Program == "":
		return &TargetError{Change: t.Change, Reason: "names neither a settings file nor a program"}
	case len(t.Settings) > MaxPath || len(t.Program) > MaxPath:
		return &TargetError{Change: t.Change, Reason: "path too long"}
	}
	if running := p.knownRunning(); running != 0 {
		conductor := ""
		if p.config.Lease != nil {
			conductor, _ = p.config.Lease.Holder(Thing)
		}
		return &RunningError{Change: t.Change, Running: running, Conductor: conductor}
	}
	if highestOver := max(p.peers.highestOver, p.concluded.Change); t.Change <= highestOver {
		return &NumberError{Change: t.Change, HighestOver: highestOver}
	}
	p.conductor.proposal, p.conductor.proposedAt = t, now
	p.conduct(now, out)
	p.publishStatus(out)
	return nil
}

// knownRunning returns the change that is known to be running or was proposed here; 0: none.
func (p *Module) knownRunning() uint64 {
	if r := p.peers.runningChange(); r != 0 {
		return r
	}
	if p.conductor.proposal.Change != 0 {
		return p.conductor.proposal.Change
	}
	if c := &p.conductor; c.holdsLease && c.record.Phase != none && !isOver(c.record.Phase) {
		return c.record.Target.Change
	}
	return 0
}

// Figures reports the state of the change and counters as metrics.
func (p *Module) Figures(put func(name string, n uint64, gauge bool)) {
	put("stage_change", p.change, true)
	put("stage_state", uint64(p.state), true)
	put("stage_runs", p.peers.runningChange(), true)
	put("stage_over", p.peers.highestOver, true)
	put("stage_goes_by", p.running.Change, true)
	put("stage_orders", p.counters.orders, false)
	put("stage_orders_refused", p.counters.refusedOrders, false)
	put("stage_changes", p.counters.appliedChanges, false)
	put("stage_backs", p.counters.rollbacks, false)
	put("stage_halts", p.counters.halts, false)
	put("stage_bad_messages", p.counters.badMessages, false)
	p.conductor.putMetrics(put)
}

// Text describes the change in one line, as STATS shows it: the conductor, the stage, and after a halt the reason
// with its evidence.
func (p *Module) Text() string {
	if c := &p.conductor; c.holdsLease && c.record.Phase != none {
		return c.summary()
	}
	for _, n := range p.peers.names {
		if t := p.peers.byName[n].status; t.ConductedChange != 0 && t.ConductedChange >= p.peers.highestRunning &&
			t.ConductedChange >= p.peers.highestOver {
			return fmt.Sprintf("change %d: %s, stage %s, told by %s: %s", t.ConductedChange,
				phaseNames[min(t.Phase, halted)], stageNames[min(max(t.Stage, 0), stages-1)], n, t.HaltReason)
		}
	}
	return "no change"
}

// IsConflict reports whether an error says that a change was not started because of another change or of its own
// number.
func IsConflict(err error) bool {
	var running *RunningError
	var number *NumberError
	return errors.As(err, &running) || errors.As(err, &number)
}
