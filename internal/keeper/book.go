package keeper

import (
	"math"
	"slices"
	"strings"

	"pewterwheel/internal/fleet"
	"pewterwheel/internal/lease"
)

const (
	initialLines        = 4          // lines that a number is assumed to have until more is known
	foundProbeDelay     = 250_000    // delay of the next probe for lines after a probe that found some
	knownProbeDelay     = 2_000_000  // delay after a busy end, while fewer lines than were known are assumed
	maxProbeDelay       = 8_000_000  // longest delay between probes
	demandWindow        = 60_000_000 // averaging window of the demand that decides who should keep a number
	turnoverWindow      = 10_000_000 // averaging window of the turnover of lines
	knownLinesAge       = 60_000_000 // the most lines seen in use are remembered for this long
	unusedDivisor       = 12         // no advance grants while more than one in this many of the lines is an unused permit
	maxAdvanceCredit    = 4          // most advance permits that may be saved up
	minWriteInterval    = 100_000    // least time between two writes of the record
	pendingWriteDelay   = 5_000      // the same if an answer waits for the write
	minPermitLifetime   = 100_000    // a permit that would be valid for less is not granted
	maxPeers            = 4096       // processes in one ledger
	recentTime          = 5_000_000  // a process that wanted a line this recently may get one in advance
	minRetryAfter       = 20_000
	maxRetryAfter       = 500_000
	minCallerRetryAfter = 200_000
	maxCallerRetryAfter = 10_000_000
)

// peerState is one process in the ledger of a number.
type peerState struct {
	name          string
	incarnation   uint64
	reportNumber  uint64    // number of its newest report
	reportedAt    int64     // when that report came
	reported      bool      // it has reported under this keeper's fence
	answerPending bool      // its answer waits for the record to be written
	report        operation // its newest report

	granted       int64   // permits granted for that report
	lifetime      int64   // lifetime of these permits, from when the report was sent
	previousHeld  int64   // lines that an earlier incarnation of it held
	previousUntil int64   // when these no longer count
	maxLines      int64   // most lines that it may hold by the record stored at a majority
	nextMaxLines  int64   // the same by the record that is being written
	wantedAt      int64   // when it last wanted a line
	virtualTime   float64 // grants weighted by demand, as in weighted fair queuing: the lowest is served first
	averageRate   float64 // its demand averaged over a minute, which decides whether the number should move
	notedLines    int64   // lines counted for it in the last note; notedPrevious: those of an earlier incarnation
	notedPrevious int64
}

// heldLines returns the lines that a process may hold: those it reported and those granted since.
func (p *peerState) heldLines(now int64) int64 {
	return p.report.Held + p.granted + p.previousLines(now)
}

// previousLines returns the lines of an previousLines incarnation that still count as held.
func (p *peerState) previousLines(now int64) int64 {
	if now < p.previousUntil {
		return p.previousHeld
	}
	return 0
}

// ledger is the authoritative record of one number at its keeper.
type numberLedger struct {
	cfg       *Config
	key       string
	leaseName string
	fence     uint64
	startedAt int64
	peers     []*peerState // sorted by name

	lines          int64 // lines that the number is assumed to have
	knownLines     int64 // most lines seen in use recently
	knownAt        int64 // when they were seen
	growing        bool  // nothing has been busy yet: the assumed lines grow exponentially
	siteLines      int64 // lines by the site's configuration; 0: not configured
	nextProbe      int64 // when more lines are probed next
	probeDelay     int64 // delay between probes
	probing        bool  // it is not known yet whether the lines probed last exist
	probeStep      int64 // lines probed at once
	callsToConfirm int64 // calls still to begin before the probed lines count as found

	freedLines    float64 // lines that became free, with exponential decay
	freedAt       int64   // when freedLines was last brought up to date
	advanceCredit float64 // permits that may be granted in advance
	virtualTime   float64 // virtual time of the peer served last
	refusedAt     int64   // when a call was last refused

	// What the previous keeper may have granted without this one having been told.
	previousHolders      []holder // those that have not reported here yet
	anyPreviousHolder    bool     // any process may hold lines
	recordedLines        int64    // lines in the previous keeper's record
	reportedLines        int64    // of these, lines in the first reports of those that have reported
	previousPermitsUntil int64    // until when permits of the previous keeper may be valid
	previousHoldersUntil int64    // until when lines of processes that have not reported count as held

	pendingWrite     uint64 // the write that is in progress; 0: none
	writtenAt        int64
	dirty            bool
	writtenAnyHolder bool // the record being written allows any holder; storedAnyHolder: the one stored at a majority
	storedAnyHolder  bool
	writtenLines     int64 // the lines in the record being written; storedLines: in the one stored at a majority
	storedLines      int64

	moveWantedSince int64  // since when another process has enough more of the demand; 0: none has
	successor       string // the next keeper
	handOverBy      int64  // when the number is handed over at the latest; 0: it is not

	lifetimeRefusals uint64 // permits not granted because the lease ends too soon

	notes                    []fleet.Note // not passed on yet
	notedLines, notedUnknown int64        // as last noted; -1: never
}

func newLedger(cfg *Config, key, thing string, now int64, g lease.Grant) (*numberLedger, error) {
	b := &numberLedger{cfg: cfg, key: key, leaseName: thing, fence: g.Fence, startedAt: now, lines: initialLines, growing: true, freedAt: now, refusedAt: now, probeStep: 1,
		probeDelay: foundProbeDelay, dirty: true, notedLines: -1, notedUnknown: -1}
	r, err := decodeRecord(key, g.Value)
	if r.Lines > 0 {
		b.growing = false
		b.lines, b.knownLines, b.knownAt = r.Lines, r.Known, now
		b.freedLines = float64(r.Turnover) * turnoverWindow / 1e9
		b.recordedLines, b.anyPreviousHolder, b.previousHolders = max(r.Lines, r.Outstanding), r.AnyHolder, r.holders()
		// The previous keeper may have granted a permit just before this lease began, and clocks may drift apart.
		b.previousPermitsUntil = now + int64(float64(cfg.PermitLifetime)*(1+2*cfg.Drift))
		b.previousHoldersUntil = now + cfg.SilenceTimeout
	}
	if n := cfg.Lines(key); n > 0 {
		if b.siteLines, b.growing = int64(n), false; r.Lines == 0 {
			b.lines = b.siteLines
		}
		b.lines = min(b.lines, b.siteLines)
	}
	return b, err
}

// peer returns the state of a process; nil: the ledger is full.
func (b *numberLedger) peer(name string) *peerState {
	i, ok := slices.BinarySearchFunc(b.peers, name, func(p *peerState, name string) int { return strings.Compare(p.name, name) })
	if ok {
		return b.peers[i]
	}
	if len(b.peers) >= maxPeers {
		return nil
	}
	p := &peerState{name: name, virtualTime: b.virtualTime}
	b.peers = slices.Insert(b.peers, i, p)
	return p
}

// held returns the lines that the processes that have reported may hold, and how many of these carry a call.
func (b *numberLedger) held(now int64) (held, calls int64) {
	for _, p := range b.peers {
		held += p.heldLines(now)
		calls += p.report.Calls
	}
	return held, calls
}

// unreported returns the lines that the previous keeper may have granted to processes that have not reported to this
// one. While permits of that keeper may be valid, these are all the lines it could grant; later, those that its
// record allowed, until the processes have been silent for so long that they count as gone.
func (b *numberLedger) unreported(now int64) int64 {
	if b.cfg.disabled.forgetPreviousHolders || now >= b.previousHoldersUntil || !b.anyPreviousHolder && len(b.previousHolders) == 0 {
		return 0
	}
	rest := max(0, b.recordedLines-b.reportedLines)
	if b.anyPreviousHolder || now < b.previousPermitsUntil {
		return rest
	}
	sum := int64(0)
	for _, h := range b.previousHolders {
		sum += h.maxLines
	}
	return min(rest, sum)
}

// grantLimit returns the number of lines that may be granted in total. Lines that are not yet stored at a majority
// are not granted, so that the next keeper never reads of fewer lines than are granted.
func (b *numberLedger) grantLimit() int64 {
	lines := min(b.lines, b.storedLines)
	if b.pendingWrite != 0 {
		lines = min(lines, b.writtenLines)
	}
	return lines
}

// freeLines returns the lines that may be granted now.
func (b *numberLedger) freeLines(now int64) int64 {
	held, _ := b.held(now)
	free := b.grantLimit() - held - b.unreported(now)
	if b.cfg.disabled.overGrant && b.storedLines > 0 {
		free++
	}
	return free
}

// addNote adds a addNote on the number.
func (b *numberLedger) addNote(what string, n int64, who string, until int64) {
	b.notes = append(b.notes, fleet.Note{Kind: fleet.Keeper, What: what, Thing: b.key, Fence: b.fence, Until: until, N: n, Text: who})
}

// noteHeld notes the lines noteHeld for a process if they have changed.
func (b *numberLedger) noteHeld(now int64, what string, p *peerState, n int64) {
	if n != p.notedLines || what == "met" {
		b.addNote(what, n, p.name, 0)
		p.notedLines = n
	}
	if n := p.previousLines(now); n != p.notedPrevious {
		b.addNote("before", n, p.name, 0)
		p.notedPrevious = n
	}
}

// noteGrant notes a grant, preceded by every value it was computed from that has not been noted yet.
func (b *numberLedger) noteGrant(now int64, p *peerState, n, lasts int64) {
	for _, q := range b.peers {
		b.noteHeld(now, "holds", q, q.report.Held+q.granted)
	}
	if l := b.grantLimit(); l != b.notedLines {
		b.addNote("lines", l, "", 0)
		b.notedLines = l
	}
	if u := b.unreported(now); u != b.notedUnknown {
		b.addNote("unknown", u, "", 0)
		b.notedUnknown = u
	}
	b.addNote("granted", n, p.name, now+lasts)
	p.notedLines += n
}

// totalRate returns the totalRate of all processes, in calls in 1000 s; at least 1.
func (b *numberLedger) totalRate() int64 {
	n := int64(1)
	for _, p := range b.peers {
		n += p.report.Rate
	}
	return n
}

// turnover returns the lines that become free in 1000 s.
func (b *numberLedger) turnover(now int64) int64 {
	b.decayFreed(now)
	return int64(b.freedLines * 1e9 / turnoverWindow)
}

func (b *numberLedger) decayFreed(now int64) {
	if now > b.freedAt {
		b.freedLines *= math.Exp(-float64(now-b.freedAt) / turnoverWindow)
		b.freedAt = now
	}
}

// permitLifetime returns how long a permit granted now for a report may be valid, from when the report was sent.
// Permits end before the lease does, also by a slow clock, so that none is valid while another process keeps the
// number.
func (b *numberLedger) permitLifetime(now int64, p *peerState, g lease.Grant) int64 {
	lasts := b.cfg.PermitLifetime
	if !b.cfg.disabled.noLeaseLimit {
		lasts = min(lasts, int64(float64(g.Until-now)/(1+2*b.cfg.Drift))+now-p.reportedAt)
	}
	if lasts-(now-p.reportedAt) < minPermitLifetime {
		b.lifetimeRefusals++
		return 0
	}
	return lasts
}

// applyReport applies the applyReport of a process and returns the process; nil: the applyReport is outdated, or the ledger is
// full.
func (b *numberLedger) applyReport(now int64, from string, it operation) *peerState {
	p := b.peer(from)
	if p == nil || it.Incarnation < p.incarnation || it.Incarnation == p.incarnation && it.ReportNumber < p.reportNumber {
		return nil
	}
	if it.Incarnation > p.incarnation {
		if p.incarnation != 0 { // its previous incarnation has ended, but lines held by that may still be in use
			p.previousHeld, p.previousUntil = p.heldLines(now), now+b.cfg.SilenceTimeout
		}
		*p = peerState{name: p.name, incarnation: it.Incarnation, previousHeld: p.previousHeld, previousUntil: p.previousUntil, maxLines: p.maxLines, nextMaxLines: p.nextMaxLines, virtualTime: p.virtualTime, notedLines: p.notedLines, notedPrevious: p.notedPrevious}
	}
	if it.ReportNumber == p.reportNumber && p.reported {
		return p // duplicate
	}
	was, first := p.report, !p.reported
	if keep := math.Exp(-float64(now-p.reportedAt) / demandWindow); first {
		p.averageRate = float64(it.Rate)
	} else {
		p.averageRate = p.averageRate*keep + float64(it.Rate)*(1-keep)
	}
	p.reportNumber, p.reportedAt, p.reported, p.report, p.granted, p.lifetime, p.answerPending = it.ReportNumber, now, true, it, 0, 0, false
	if it.Wanted > 0 {
		p.wantedAt = now
	}
	if first {
		b.noteHeld(now, "met", p, it.Held)
		b.reportedLines += it.Held
		b.previousHolders = slices.DeleteFunc(b.previousHolders, func(h holder) bool {
			if h.name == nameHash(from) {
				p.maxLines, p.nextMaxLines = h.maxLines, h.maxLines
				return true
			}
			return false
		})
		return p
	}
	b.noteHeld(now, "holds", p, it.Held)
	if it.Refused > was.Refused {
		b.refusedAt = now
	}
	b.decayFreed(now)
	b.freedLines += float64(it.Ended - min(was.Ended, it.Ended))
	b.learnLines(now, int64(it.Busy-min(was.Busy, it.Busy)), int64(it.Began-min(was.Began, it.Began)))
	return p
}

// learnLines takes busy ends, and set-ups under permits that became calls. A busy end shows that there is one line
// less than assumed, but never fewer than carry calls.
func (b *numberLedger) learnLines(now, busy, began int64) {
	held, calls := b.held(now)
	if calls >= b.knownLines || now-b.knownAt > knownLinesAge {
		b.knownLines, b.knownAt = calls, now
	}
	b.callsToConfirm -= began
	switch {
	case busy > 0:
		b.growing, b.probing, b.probeStep = false, false, 1
		b.lines = max(b.lines-busy, calls, 1)
		b.probeDelay = min(2*b.probeDelay, maxProbeDelay)
		if b.lines < max(b.knownLines, b.siteLines) {
			b.probeDelay = knownProbeDelay
		}
		b.nextProbe = now + b.probeDelay
		b.dirty = true
	case b.growing && began > 0 && 4*held > 3*b.lines:
		b.lines += 2 * began // each line found allows two more to be tried
		b.dirty = true
	case b.probing && (calls >= b.lines || b.callsToConfirm <= 0): // the probed lines exist: there may be more
		b.probing, b.probeDelay, b.nextProbe = false, foundProbeDelay, now+foundProbeDelay
		b.probeStep = min(2*b.probeStep, 1+b.lines/8)
	}
}

// probeLines assumes one more line, or twice as many as the last probe found, while all known lines are in use and
// calls are refused.
func (b *numberLedger) probeLines(now int64) {
	if b.siteLines > 0 && b.lines >= b.siteLines || b.growing || now < b.nextProbe || now-b.refusedAt > recentTime || b.unreported(now) > 0 {
		return
	}
	held, calls := b.held(now)
	if held < b.lines {
		return
	}
	b.callsToConfirm = held - calls + 2*b.probeStep // once this many calls have begun, some use the probed lines
	b.lines, b.probing = b.lines+b.probeStep, true
	if b.siteLines > 0 {
		b.lines = min(b.lines, b.siteLines)
	}
	b.nextProbe = now + b.probeDelay
	b.dirty = true
}

// headroom returns how many more lines a process may hold by the record that a later keeper would read.
func (b *numberLedger) headroom(now int64, p *peerState) int64 {
	if b.storedAnyHolder && (b.pendingWrite == 0 || b.writtenAnyHolder) {
		return maxHolderLines
	}
	ceil := p.maxLines
	if b.pendingWrite != 0 {
		ceil = min(ceil, p.nextMaxLines)
	}
	return ceil - p.heldLines(now)
}

// awaitsRecord tells whether a process could have a line as soon as the record allows it.
func (b *numberLedger) awaitsRecord(now int64, p *peerState) bool {
	held, _ := b.held(now)
	return held+b.unreported(now) < b.lines && (b.headroom(now, p) < 1 || b.freeLines(now) < 1)
}

// grant grants a process up to the wanted number of permits for its newest report, and returns how many.
func (b *numberLedger) grant(now int64, p *peerState, want int64, g lease.Grant) int64 {
	n := min(want, b.freeLines(now), b.headroom(now, p))
	if n <= 0 || b.handOverBy != 0 {
		return 0
	}
	lasts := b.permitLifetime(now, p, g)
	if lasts == 0 {
		return 0
	}
	b.noteGrant(now, p, n, lasts)
	p.granted += n
	p.lifetime = lasts
	b.virtualTime = max(b.virtualTime, p.virtualTime)
	p.virtualTime = max(p.virtualTime, b.virtualTime-1) + float64(n)*float64(b.totalRate())/float64(max(1, p.report.Rate))/float64(max(1, len(b.peers)))
	return n
}

// answerReport grants what a report requests. If lines are free but the record does not allow the process one yet,
// its answerReport waits once until it does. While lines are plentiful, it grants extra permits by the process's share of
// the demand.
func (b *numberLedger) answerReport(now int64, p *peerState, g lease.Grant) (gave int64) {
	if p.report.Wanted <= p.granted {
		return 0
	}
	gave = b.grant(now, p, p.report.Wanted-p.granted, g)
	if p.granted < p.report.Wanted {
		if p.answerPending = !p.answerPending && b.handOverBy == 0 && b.awaitsRecord(now, p); p.answerPending {
			b.dirty = true
		} else {
			b.refusedAt = now
		}
		return gave
	}
	p.answerPending = false
	b.advanceCredit = min(maxAdvanceCredit, b.advanceCredit+b.cfg.AdvanceShare/(1-b.cfg.AdvanceShare)*float64(gave))
	share := float64(p.report.Rate) / float64(b.totalRate())
	if extra := min(int64(share*float64(b.freeLines(now))/2), p.report.Rate/2000); extra > 0 {
		gave += b.grant(now, p, extra, g)
	}
	return gave
}

// grantAhead grants one permit in advance to the process that was served least for its share of the demand, and
// returns that process; nil: no permit is granted. It serves processes that hardly ever ask at the moment when a line
// is free.
func (b *numberLedger) grantAhead(now int64, g lease.Grant) *peerState {
	if b.advanceCredit < 1 || b.freeLines(now) < 1 {
		return nil
	}
	var best *peerState
	idle := int64(0)
	for _, p := range b.peers {
		idle += p.report.Unused + p.granted
	}
	if idle > b.lines/unusedDivisor { // lines behind unused permits serve no call and hide whether the probed lines exist
		return nil
	}
	for _, p := range b.peers {
		if p.report.Unused > 0 || p.granted > 0 || now-p.reportedAt > b.cfg.PermitLifetime/2 || now-p.wantedAt > recentTime || p.wantedAt == 0 ||
			b.headroom(now, p) < 1 {
			continue
		}
		if best == nil || p.virtualTime < best.virtualTime {
			best = p
		}
	}
	if best == nil || b.grant(now, best, 1, g) == 0 {
		return nil
	}
	b.advanceCredit--
	return best
}

// retryTimes returns when a process may ask again, how long its callers are to stay away, and its share of the
// turnover.
func (b *numberLedger) retryTimes(now int64, p *peerState) (again, stay, share int64) {
	turn := float64(b.turnover(now)) / 1e9 // lines in a microsecond
	part := float64(p.report.Rate) / float64(b.totalRate())
	again, stay = 100_000, 1_000_000
	if turn > 0 {
		again = int64(min(1/turn/4, maxRetryAfter))
		stay = int64(min(1/(turn*max(part, 1e-3)), maxCallerRetryAfter))
	}
	return max(again, minRetryAfter), max(stay, minCallerRetryAfter), int64(turn * part * 1e9)
}

// forgetSilent removes processes that have not reported for long and whose lines no longer count.
func (b *numberLedger) forgetSilent(now int64) {
	b.peers = slices.DeleteFunc(b.peers, func(p *peerState) bool {
		over := now-p.reportedAt > b.cfg.SilenceTimeout && now >= p.previousUntil
		if over {
			b.noteHeld(now, "gone", p, 0)
		}
		return over
	})
}

// prepareRecord returns the record to write: each process may hold what it holds, and at least twice its share of the
// lines plus 3.
func (b *numberLedger) prepareRecord(now int64) record {
	held, _ := b.held(now)
	r := record{Lines: b.lines, Known: b.knownLines, Turnover: b.turnover(now), Outstanding: held + b.unreported(now)}
	demand := float64(b.totalRate())
	hs := slices.Clone(b.previousHolders)
	if now >= b.previousHoldersUntil {
		hs = nil
	}
	for _, p := range b.peers {
		p.nextMaxLines = 0
		if holds := p.heldLines(now); holds > 0 || now-p.wantedAt <= b.cfg.SilenceTimeout && p.wantedAt != 0 {
			p.nextMaxLines = min(maxHolderLines, max(holds, 3+int64(math.Ceil(2*float64(p.report.Rate)/demand*float64(b.lines)))))
			hs = append(hs, holder{nameHash(p.name), p.nextMaxLines})
		}
	}
	r.setHolders(hs)
	if b.anyPreviousHolder && now < b.previousHoldersUntil {
		r.AnyHolder, r.Holders = true, nil
	}
	b.writtenAnyHolder, b.writtenLines = r.AnyHolder, r.Lines
	return r
}

// recordStored notes that the record that was written is recordStored at a majority.
func (b *numberLedger) recordStored() {
	b.pendingWrite, b.storedAnyHolder, b.storedLines = 0, b.writtenAnyHolder, b.writtenLines
	for _, p := range b.peers {
		p.maxLines = p.nextMaxLines
	}
}
