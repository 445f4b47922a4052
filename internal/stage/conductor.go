package stage

import (
	"fmt"
	"slices"

	"pewterwheel/internal/fleet"
	"pewterwheel/internal/lease"
)

var phaseNames = [...]string{"none", "running", "halted, going back", "passed, concluding", "concluded",
	"halted, all back"}

// conductor is the state of a process that holds the lease of the change or is claiming it.
type conductor struct {
	proposal     Target // waits for the lease; Change 0: none
	proposedAt   int64
	leaseClaimed bool
	holdsLease   bool
	grant        lease.Grant
	record       record // the stored record of the lease
	// The record that is being written. No order is sent and nothing is reported on the basis of it until it is
	// stored.
	nextRecord   record
	pendingWrite uint64
	writePending bool
	onStored     recordEvent // what to do once the new record is stored
	haltReason   string      // reason of a halt, not truncated
	nextWave     []string    // names of the wave that is being stored

	conductingSince      int64            // when this process began to conduct
	wave                 []string         // names of the processes that are being ordered now
	waveStartedAt        int64            // when the orders of the wave began
	ordersSentAt         int64            // when the orders were last sent
	answers              map[string]State // answers of the wave to orders under this record
	answerDetails        map[string]string
	reachableSince       map[string]int64  // since when a process of the wave has been reachable without an answer
	incarnations         map[string]uint64 // incarnations of the wave when it was ordered
	noClaimUntil         int64             // no claim before then, so that another process can order this one
	stageFilledAt        int64             // when the stage got all its processes; 0: not yet
	nextEvaluationAt     int64
	lastFinding          finding
	waitingFor           string // what the conductor is waiting for
	waitNotedAt          int64
	rollbackBlockedSince int64 // since when no process could be rolled back; 0: not blocked
	endNoted             bool  // has noted that the change is over
	evidence             *evidence
}

func (c *conductor) fillStatus(status *processStatus) {
	if !c.holdsLease || c.record.Phase == none {
		return
	}
	status.ConductedChange, status.Phase, status.Stage, status.HaltReason = c.record.Target.Change, c.record.Phase,
		c.record.Stage, truncate(c.record.Reason, maxReason)
	status.Judging = c.evidence != nil && c.evidence.stage == c.record.Stage
}

func (c *conductor) summary() string {
	text := fmt.Sprintf("change %d: %s, stage %s, %d told", c.record.Target.Change, phaseNames[c.record.Phase],
		stageNames[c.record.Stage], c.record.Ordered)
	switch {
	case c.record.Reason != "":
		text += ": " + c.record.Reason
	case c.waitingFor != "":
		text += ": " + c.waitingFor
	case c.lastFinding.text != "":
		text += ": " + c.lastFinding.text
	}
	return text
}

func (c *conductor) putMetrics(put func(string, uint64, bool)) {
	if !c.holdsLease {
		put("stage_conducts", 0, true)
		return
	}
	put("stage_conducts", c.record.Target.Change, true)
	put("stage_phase", uint64(c.record.Phase), true)
	put("stage_stage", uint64(c.record.Stage), true)
	put("stage_told", uint64(c.record.Ordered), true)
	if c.lastFinding.newCalls > 0 {
		put("stage_new_calls", uint64(c.lastFinding.newCalls), true)
		put("stage_new_processes", uint64(c.lastFinding.nNew), true)
		put("stage_old_processes", uint64(c.lastFinding.nOld), true)
	}
}

// conduct does the work of the holder of the lease, and claims the lease if this process should.
func (p *Module) conduct(now int64, out *fleet.Out) {
	c := &p.conductor
	if p.config.Lease == nil {
		return
	}
	if p.handedOver {
		p.releaseLease(now, out)
		return
	}
	if c.proposal.Change != 0 && now-c.proposedAt > p.config.Rules.LeaseTimeout && !c.holdsLease {
		p.addNote(out, "refused", 0, int64(c.proposal.Change), "the lease of the change was not granted in time")
		c.proposal = Target{}
	}
	wants := c.proposal.Change != 0 || c.holdsLease
	wants = wants || p.isStandby && now >= c.noClaimUntil
	if !wants {
		p.releaseLease(now, out)
		return
	}
	if !c.leaseClaimed {
		c.leaseClaimed = true
		p.config.Lease.Claim(now, Thing, out)
	}
	g, ok := p.config.Lease.Held(now, Thing)
	if !ok {
		if c.holdsLease {
			p.addNote(out, "conductor lost", c.grant.Fence, int64(c.record.Target.Change), "")
		}
		c.holdsLease, c.writePending, c.wave = false, false, nil
		return
	}
	if !c.holdsLease || g.Fence != c.grant.Fence {
		if !p.adoptRecord(now, g, out) {
			return
		}
	}
	c.grant = g
	if c.writePending {
		if g.Write < c.pendingWrite {
			return
		}
		c.record, c.writePending = c.nextRecord, false
		p.recordStored(now, out)
	}
	p.advance(now, out)
}

func (p *Module) releaseLease(now int64, out *fleet.Out) {
	c := &p.conductor
	if c.leaseClaimed {
		c.leaseClaimed, c.holdsLease, c.writePending, c.wave = false, false, false, nil
		p.config.Lease.Release(now, Thing, out)
	}
}

// adoptRecord continues from the record that the previous holder of the lease stored.
func (p *Module) adoptRecord(now int64, g lease.Grant, out *fleet.Out) bool {
	c := &p.conductor
	rec, err := decodeRecord(g.Value)
	if err != nil {
		p.counters.badMessages++
		if c.waitingFor != err.Error() {
			c.waitingFor = err.Error()
			p.addNote(out, "record", g.Fence, 0, err.Error())
		}
		c.proposal = Target{}
		p.releaseLease(now, out)
		return false
	}
	c.holdsLease, c.grant, c.record, c.conductingSince, c.writePending = true, g, rec, now, false
	c.stageFilledAt, c.nextEvaluationAt, c.ordersSentAt, c.waitingFor, c.lastFinding, c.endNoted = 0, 0, 0, "",
		finding{}, false
	c.rollbackBlockedSince = 0
	c.setWave(now, nil)
	for _, n := range p.peers.names {
		if slices.Contains(rec.Wave, nameHash(n)) {
			c.wave = append(c.wave, n)
		}
	}
	p.highestFence, p.highestWrite = max(p.highestFence, g.Fence), max(p.highestWrite, g.Write)
	p.peers.highestOver = max(p.peers.highestOver, rec.highestOver())
	if rec.Phase != none {
		p.addNote(out, "conducts", g.Fence, int64(rec.Target.Change),
			phaseNames[rec.Phase]+", stage "+stageNames[rec.Stage])
	}
	return true
}

func (c *conductor) setWave(now int64, names []string) {
	c.wave, c.waveStartedAt, c.ordersSentAt = names, now, 0
	c.answers, c.answerDetails, c.reachableSince, c.incarnations = map[string]State{}, map[string]string{},
		map[string]int64{}, map[string]uint64{}
}

// recordEvent says what the record that was just stored means.
type recordEvent uint8

const (
	noEvent recordEvent = iota
	changeOpened
	stageOpened
	waveStored
	changeHalted
	changePassed
	changeReopened
)

// storeRecord writes a record. Its consequences follow once a majority of the electors has stored it.
func (p *Module) storeRecord(now int64, rec record, then recordEvent, out *fleet.Out) {
	c := &p.conductor
	rec.Fence = c.grant.Fence
	write, err := p.config.Lease.Write(now, Thing, rec.encode(), out)
	if err != nil {
		return // retried in the next call of advance if the lease is still held
	}
	if p.config.failpoints.ordersBeforeRecord {
		c.record, c.pendingWrite, c.onStored = rec, write, then
		p.recordStored(now, out)
		return
	}
	c.nextRecord, c.pendingWrite, c.writePending, c.onStored = rec, write, true, then
}

// recordStored acts on a record that has been stored.
func (p *Module) recordStored(now int64, out *fleet.Out) {
	c := &p.conductor
	change := c.record.Target.Change
	then := c.onStored
	c.onStored = noEvent
	switch then {
	case changeOpened:
		c.proposal = Target{}
		c.conductingSince = now
		p.addNote(out, "opened", c.grant.Fence, int64(change), c.record.Target.Settings+" "+c.record.Target.Program)
		p.noteStage(out)
	case stageOpened:
		c.stageFilledAt, c.lastFinding = 0, finding{}
		p.noteStage(out)
	case waveStored:
		c.setWave(now, c.nextWave)
		verb := Back
		if c.record.Phase == running {
			verb = Apply
			c.evidence.markStarted(now)
		}
		for _, n := range c.wave {
			c.incarnations[n] = p.peers.byName[n].incarnation
			p.addNote(out, "tells", c.grant.Fence, int64(c.record.Stage), verb+" "+n)
		}
		p.superviseWave(now, verb, out)
	case changeHalted:
		p.counters.halts++
		c.setWave(now, c.wave)
		p.addNote(out, "halted", c.grant.Fence, int64(change), c.haltReason)
	case changePassed:
		c.setWave(now, nil)
		p.addNote(out, "passed", c.grant.Fence, int64(change), c.lastFinding.text)
	case changeReopened:
		c.setWave(now, nil)
		p.addNote(out, "opened again", c.grant.Fence, int64(change), "processes that are still in the change came back")
	}
}

// advance takes the next step that the stored record calls for.
func (p *Module) advance(now int64, out *fleet.Out) {
	c := &p.conductor
	if c.writePending {
		return
	}
	if c.proposal.Change != 0 {
		p.openChange(now, out)
		return
	}
	switch c.record.Phase {
	case running:
		p.advanceRunning(now, out)
	case goingBack:
		p.rollBack(now, out)
	case concluding:
		p.conclude(now, out)
	default:
		p.finish(now, out)
	}
}

// openChange starts the proposed change if the record permits it.
func (p *Module) openChange(now int64, out *fleet.Out) {
	c := &p.conductor
	proposal := c.proposal
	var err error
	switch {
	case c.record.Target == proposal:
		c.proposal = Target{} // it was stored, but this process lost the lease before it learned so
		return
	case c.record.Phase != none && !isOver(c.record.Phase):
		err = &RunningError{Change: proposal.Change, Running: c.record.Target.Change, Conductor: p.config.Name}
	case proposal.Change <= max(c.record.highestOver(), p.peers.highestOver):
		err = &NumberError{Change: proposal.Change, HighestOver: max(c.record.highestOver(), p.peers.highestOver)}
	}
	if err != nil {
		c.proposal = Target{}
		p.addNote(out, "refused", c.grant.Fence, int64(proposal.Change), err.Error())
		return
	}
	rec := record{Target: proposal, Phase: running, HighestOver: c.record.highestOver()}
	p.storeRecord(now, rec, changeOpened, out)
}

func (p *Module) noteStage(out *fleet.Out) {
	c := &p.conductor
	p.addNote(out, "stage", c.grant.Fence, int64(c.record.Stage),
		fmt.Sprintf("change %d, stage %s", c.record.Target.Change, stageNames[c.record.Stage]))
}

// noteWaiting notes what the conductor is waiting for when that changes, and otherwise once a minute.
func (p *Module) noteWaiting(now int64, why string, out *fleet.Out) {
	c := &p.conductor
	if why != c.waitingFor || now-c.waitNotedAt >= 60*second {
		c.waitingFor, c.waitNotedAt = why, now
		if why != "" {
			p.addNote(out, "waits", c.grant.Fence, int64(c.record.Target.Change), why)
		}
	}
}

// halt stops a change. The processes that are being ordered stay in the wave and are rolled back first, because
// the order to change may still be on its way to them.
func (p *Module) halt(now int64, reason string, out *fleet.Out) {
	c := &p.conductor
	rec := c.record
	rec.Phase, rec.Reason = goingBack, truncate(reason, maxReason)
	c.haltReason = reason
	p.storeRecord(now, rec, changeHalted, out)
}
