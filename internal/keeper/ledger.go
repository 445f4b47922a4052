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
	foundProbeDelay     = 250_000    // delay between probes for lines after one that found some
	knownProbeDelay     = 2_000_000  // delay after a set-up ended busy, while fewer lines are assumed than known
	maxProbeDelay       = 8_000_000  // longest delay between probes
	demandWindow        = 60_000_000 // averaging window of the demand that decides who should own a number
	turnoverWindow      = 10_000_000 // averaging window of the turnover of lines
	knownLinesAge       = 60_000_000 // the highest number of lines seen in use is kept for this long
	unusedDivisor       = 12         // no advance grants while the unused permits exceed the lines divided by this
	maxAdvanceCredit    = 4          // most advance permits that may be saved up
	minWriteInterval    = 100_000    // least time between two writes of the record
	pendingWriteDelay   = 5_000      // the same if an answer to a report waits for the write
	minPermitLifetime   = 100_000    // a permit that would be valid for less is not granted
	maxPeers            = 4096       // processes in one ledger
	recentWindow        = 5_000_000  // requests, set-ups, refusals and reports count as recent for this long
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
	reported      bool      // it has reported under this owner's fence
	answerPending bool      // its answer waits for the record to be written
	report        operation // its newest report

	granted       int64   // permits granted for that report
	lifetime      int64   // lifetime of these permits, from when the report was sent
	previousHeld  int64   // lines that an earlier incarnation of it held
	previousUntil int64   // when these no longer count
	maxLines      int64   // most lines that it may hold by the record stored at a majority
	nextMaxLines  int64   // the same by the record that is being written
	wantedAt      int64   // when it last requested a permit
	virtualTime   float64 // grants weighted by demand, as in weighted fair queuing: the lowest is served first
	averageRate   float64 // its demand averaged over a minute, which decides whether the number should move
	notedLines    int64   // lines counted for it in the last note
	notedPrevious int64   // the same of an earlier incarnation
}

// heldLines returns the lines that a process may hold: those it reported and those granted since.
func (p *peerState) heldLines(now int64) int64 {
	return p.report.Held + p.granted + p.previousLines(now)
}

// previousLines returns the lines of an earlier incarnation that still count as held.
func (p *peerState) previousLines(now int64) int64 {
	if now < p.previousUntil {
		return p.previousHeld
	}
	return 0
}

// numberLedger is the owner's account of one number: its lines, and who holds them.
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
	growing        bool  // no set-up has ended busy yet: the assumed lines grow exponentially
	siteLines      int64 // lines by the site's configuration; 0: not configured
	nextProbe      int64 // when probeLines next assumes more lines
	probeDelay     int64 // delay between two such probes
	probing        bool  // it is not known yet whether the lines of the last probe exist
	probeStep      int64 // number of lines added by a probe
	callsToConfirm int64 // calls still to begin before the probed lines count as found

	freedLines    float64 // lines that became free, with exponential decay
	freedAt       int64   // when freedLines was last brought up to date
	advanceCredit float64 // permits that may be granted in advance
	virtualTime   float64 // virtual time of the peer served last
	refusedAt     int64   // when a call was last refused

	// What the previous owner may have granted without this one having been told.
	previousHolders      []holder // those that have not reported here yet
	anyPreviousHolder    bool     // any process may hold lines
	recordedLines        int64    // lines in the previous owner's record
	reportedLines        int64    // of these, lines in the first reports of those that have reported
	previousPermitsUntil int64    // until when permits of the previous owner may be valid
	previousHoldersUntil int64    // until when lines of processes that have not reported count as held

	pendingWrite     uint64 // the write that is in progress; 0: none
	writtenAt        int64
	dirty            bool
	writtenAnyHolder bool  // the record being written lets any process hold lines
	storedAnyHolder  bool  // the same of the record stored at a majority
	writtenLines     int64 // the lines in the record being written
	storedLines      int64 // the lines in the record stored at a majority

	moveWantedSince int64  // since when the demand at another process is higher by enough to move the number; 0: it is not
	successor       string // the next owner
	handOverBy      int64  // when the number is handed over at the latest; 0: it is not

	lifetimeRefusals uint64 // permits not granted because the lease ends too soon

	notes                    []fleet.Note // not passed on yet
	notedLines, notedUnknown int64        // as last noted; -1: never
}

func newLedger(cfg *Config, key, leaseName string, now int64, grant lease.Grant) (*numberLedger, error) {
	ledger := &numberLedger{cfg: cfg, key: key, leaseName: leaseName, fence: grant.Fence, startedAt: now,
		lines: initialLines, growing: true, freedAt: now, refusedAt: now, probeStep: 1,
		probeDelay: foundProbeDelay, dirty: true, notedLines: -1, notedUnknown: -1}
	stored, err := decodeRecord(key, grant.Value)
	if stored.Lines > 0 {
		ledger.growing = false
		ledger.lines, ledger.knownLines, ledger.knownAt = stored.Lines, stored.Known, now
		ledger.freedLines = float64(stored.Turnover) * turnoverWindow / 1e9
		ledger.recordedLines, ledger.anyPreviousHolder, ledger.previousHolders =
			max(stored.Lines, stored.Outstanding), stored.AnyHolder, stored.holders()
		// The previous owner may have granted a permit just before this lease began, and clocks may drift apart.
		ledger.previousPermitsUntil = now + int64(float64(cfg.PermitLifetime)*(1+2*cfg.ClockDrift))
		ledger.previousHoldersUntil = now + cfg.SilenceTimeout
	}
	if n := cfg.Lines(key); n > 0 {
		if ledger.siteLines, ledger.growing = int64(n), false; stored.Lines == 0 {
			ledger.lines = ledger.siteLines
		}
		ledger.lines = min(ledger.lines, ledger.siteLines)
	}
	return ledger, err
}

// peer returns the state of a process; nil: the ledger is full.
func (l *numberLedger) peer(name string) *peerState {
	i, ok := slices.BinarySearchFunc(l.peers, name, func(peer *peerState, name string) int {
		return strings.Compare(peer.name, name)
	})
	if ok {
		return l.peers[i]
	}
	if len(l.peers) >= maxPeers {
		return nil
	}
	peer := &peerState{name: name, virtualTime: l.virtualTime}
	l.peers = slices.Insert(l.peers, i, peer)
	return peer
}

// held returns the lines that the processes that have reported may hold, and how many of these carry a call.
func (l *numberLedger) held(now int64) (held, calls int64) {
	for _, peer := range l.peers {
		held += peer.heldLines(now)
		calls += peer.report.Calls
	}
	return held, calls
}

// unreported returns the lines that the previous owner may have granted to processes that have not reported to this
// one. While permits of that owner may be valid, these are all the lines it could grant; later, those that its
// record allowed, until the processes have been silent for so long that they count as gone.
func (l *numberLedger) unreported(now int64) int64 {
	if l.cfg.disabled.forgetPreviousHolders || now >= l.previousHoldersUntil ||
		!l.anyPreviousHolder && len(l.previousHolders) == 0 {
		return 0
	}
	remaining := max(0, l.recordedLines-l.reportedLines)
	if l.anyPreviousHolder || now < l.previousPermitsUntil {
		return remaining
	}
	sum := int64(0)
	for _, h := range l.previousHolders {
		sum += h.maxLines
	}
	return min(remaining, sum)
}

// grantLimit returns the number of lines that may be granted in total. Lines that are not yet stored at a majority
// are not granted, so that the next owner never reads of fewer lines than are granted.
func (l *numberLedger) grantLimit() int64 {
	lines := min(l.lines, l.storedLines)
	if l.pendingWrite != 0 {
		lines = min(lines, l.writtenLines)
	}
	return lines
}

// freeLines returns the lines that may be granted now.
func (l *numberLedger) freeLines(now int64) int64 {
	held, _ := l.held(now)
	free := l.grantLimit() - held - l.unreported(now)
	if l.cfg.disabled.overGrant && l.storedLines > 0 {
		free++
	}
	return free
}

// addNote adds a note on the number.
func (l *numberLedger) addNote(what string, n int64, who string, until int64) {
	l.notes = append(l.notes, fleet.Note{Kind: fleet.Keeper, What: what, Thing: l.key, Fence: l.fence, Until: until,
		N: n, Text: who})
}

// noteHeld notes the lines counted for a process if they have changed.
func (l *numberLedger) noteHeld(now int64, what string, peer *peerState, n int64) {
	if n != peer.notedLines || what == "met" {
		l.addNote(what, n, peer.name, 0)
		peer.notedLines = n
	}
	if n := peer.previousLines(now); n != peer.notedPrevious {
		l.addNote("before", n, peer.name, 0)
		peer.notedPrevious = n
	}
}

// noteGrant notes a grant, preceded by every value it was computed from that has not been noted yet.
func (l *numberLedger) noteGrant(now int64, peer *peerState, n, lifetime int64) {
	for _, other := range l.peers {
		l.noteHeld(now, "holds", other, other.report.Held+other.granted)
	}
	if limit := l.grantLimit(); limit != l.notedLines {
		l.addNote("lines", limit, "", 0)
		l.notedLines = limit
	}
	if unreported := l.unreported(now); unreported != l.notedUnknown {
		l.addNote("unknown", unreported, "", 0)
		l.notedUnknown = unreported
	}
	l.addNote("granted", n, peer.name, now+lifetime)
	peer.notedLines += n
}

// totalRate returns the demand of all processes, in calls in 1000 s; at least 1.
func (l *numberLedger) totalRate() int64 {
	n := int64(1)
	for _, peer := range l.peers {
		n += peer.report.Rate
	}
	return n
}

// turnover returns the lines that become free in 1000 s.
func (l *numberLedger) turnover(now int64) int64 {
	l.decayFreed(now)
	return int64(l.freedLines * 1e9 / turnoverWindow)
}

func (l *numberLedger) decayFreed(now int64) {
	if now > l.freedAt {
		l.freedLines *= math.Exp(-float64(now-l.freedAt) / turnoverWindow)
		l.freedAt = now
	}
}

// permitLifetime returns how long a permit granted now for a report may be valid, from when the report was sent.
// Permits end before the lease does, also by a slow clock, so that none is valid while another process owns the
// number.
func (l *numberLedger) permitLifetime(now int64, peer *peerState, grant lease.Grant) int64 {
	lifetime := l.cfg.PermitLifetime
	if !l.cfg.disabled.noLeaseLimit {
		lifetime = min(lifetime, int64(float64(grant.Until-now)/(1+2*l.cfg.ClockDrift))+now-peer.reportedAt)
	}
	if lifetime-(now-peer.reportedAt) < minPermitLifetime {
		l.lifetimeRefusals++
		return 0
	}
	return lifetime
}

// applyReport applies the report of a process and returns the process; nil: the report is outdated, or the ledger is
// full.
func (l *numberLedger) applyReport(now int64, from string, op operation) *peerState {
	peer := l.peer(from)
	if peer == nil || op.Incarnation < peer.incarnation ||
		op.Incarnation == peer.incarnation && op.ReportNumber < peer.reportNumber {
		return nil
	}
	if op.Incarnation > peer.incarnation {
		if peer.incarnation != 0 { // its previous incarnation has ended, but lines held by that may still be in use
			peer.previousHeld, peer.previousUntil = peer.heldLines(now), now+l.cfg.SilenceTimeout
		}
		*peer = peerState{name: peer.name, incarnation: op.Incarnation, previousHeld: peer.previousHeld,
			previousUntil: peer.previousUntil, maxLines: peer.maxLines, nextMaxLines: peer.nextMaxLines,
			virtualTime: peer.virtualTime, notedLines: peer.notedLines, notedPrevious: peer.notedPrevious}
	}
	if op.ReportNumber == peer.reportNumber && peer.reported {
		return peer // duplicate
	}
	previous, first := peer.report, !peer.reported
	if decay := math.Exp(-float64(now-peer.reportedAt) / demandWindow); first {
		peer.averageRate = float64(op.Rate)
	} else {
		peer.averageRate = peer.averageRate*decay + float64(op.Rate)*(1-decay)
	}
	peer.reportNumber, peer.reportedAt, peer.reported, peer.report, peer.granted, peer.lifetime, peer.answerPending =
		op.ReportNumber, now, true, op, 0, 0, false
	if op.Wanted > 0 {
		peer.wantedAt = now
	}
	if first {
		l.noteHeld(now, "met", peer, op.Held)
		l.reportedLines += op.Held
		l.previousHolders = slices.DeleteFunc(l.previousHolders, func(h holder) bool {
			if h.name == nameHash(from) {
				peer.maxLines, peer.nextMaxLines = h.maxLines, h.maxLines
				return true
			}
			return false
		})
		return peer
	}
	l.noteHeld(now, "holds", peer, op.Held)
	if op.Refused > previous.Refused {
		l.refusedAt = now
	}
	l.decayFreed(now)
	l.freedLines += float64(op.Ended - min(previous.Ended, op.Ended))
	l.learnLines(now, int64(op.Busy-min(previous.Busy, op.Busy)), int64(op.Began-min(previous.Began, op.Began)))
	return peer
}

// learnLines corrects the assumed number of lines. busy is the number of set-ups under permits that ended busy:
// each shows that there is one line less than assumed, but never fewer than carry calls. began is the number that
// became calls.
func (l *numberLedger) learnLines(now, busy, began int64) {
	held, calls := l.held(now)
	if calls >= l.knownLines || now-l.knownAt > knownLinesAge {
		l.knownLines, l.knownAt = calls, now
	}
	l.callsToConfirm -= began
	switch {
	case busy > 0:
		l.growing, l.probing, l.probeStep = false, false, 1
		l.lines = max(l.lines-busy, calls, 1)
		l.probeDelay = min(2*l.probeDelay, maxProbeDelay)
		if l.lines < max(l.knownLines, l.siteLines) {
			l.probeDelay = knownProbeDelay
		}
		l.nextProbe = now + l.probeDelay
		l.dirty = true
	case l.growing && began > 0 && 4*held > 3*l.lines:
		l.lines += 2 * began // each line found allows two more to be tried
		l.dirty = true
	case l.probing && (calls >= l.lines || l.callsToConfirm <= 0): // the probed lines exist: there may be more
		l.probing, l.probeDelay, l.nextProbe = false, foundProbeDelay, now+foundProbeDelay
		l.probeStep = min(2*l.probeStep, 1+l.lines/8)
	}
}

// probeLines assumes probeStep more lines while all assumed lines are in use and calls are refused. The step is one
// line, and doubles after each probe that found its lines, up to one more than an eighth of all lines.
func (l *numberLedger) probeLines(now int64) {
	if l.siteLines > 0 && l.lines >= l.siteLines || l.growing || now < l.nextProbe || now-l.refusedAt > recentWindow ||
		l.unreported(now) > 0 {
		return
	}
	held, calls := l.held(now)
	if held < l.lines {
		return
	}
	l.callsToConfirm = held - calls + 2*l.probeStep // once this many calls have begun, some use the probed lines
	l.lines, l.probing = l.lines+l.probeStep, true
	if l.siteLines > 0 {
		l.lines = min(l.lines, l.siteLines)
	}
	l.nextProbe = now + l.probeDelay
	l.dirty = true
}

// headroom returns how many more lines a process may hold by the record that a later owner would read.
func (l *numberLedger) headroom(now int64, peer *peerState) int64 {
	if l.storedAnyHolder && (l.pendingWrite == 0 || l.writtenAnyHolder) {
		return maxHolderLines
	}
	maxLines := peer.maxLines
	if l.pendingWrite != 0 {
		maxLines = min(maxLines, peer.nextMaxLines)
	}
	return maxLines - peer.heldLines(now)
}

// awaitsRecord reports whether a process could have a line as soon as the record allows it.
func (l *numberLedger) awaitsRecord(now int64, peer *peerState) bool {
	held, _ := l.held(now)
	return held+l.unreported(now) < l.lines && (l.headroom(now, peer) < 1 || l.freeLines(now) < 1)
}

// grant grants a process up to the wanted number of permits for its newest report, and returns how many.
func (l *numberLedger) grant(now int64, peer *peerState, wanted int64, grant lease.Grant) int64 {
	n := min(wanted, l.freeLines(now), l.headroom(now, peer))
	if n <= 0 || l.handOverBy != 0 {
		return 0
	}
	lifetime := l.permitLifetime(now, peer, grant)
	if lifetime == 0 {
		return 0
	}
	l.noteGrant(now, peer, n, lifetime)
	peer.granted += n
	peer.lifetime = lifetime
	l.virtualTime = max(l.virtualTime, peer.virtualTime)
	peer.virtualTime = max(peer.virtualTime, l.virtualTime-1) +
		float64(n)*float64(l.totalRate())/float64(max(1, peer.report.Rate))/float64(max(1, len(l.peers)))
	return n
}

// answerReport grants what a report requests. If lines are free but the stored record does not allow the process one
// yet, the answer is delayed once, until the record that does is stored. A process that gets all that it requests is
// granted extra permits: its share, by demand, of half the free lines, but no more than its calls of half a second.
func (l *numberLedger) answerReport(now int64, peer *peerState, grant lease.Grant) (granted int64) {
	if peer.report.Wanted <= peer.granted {
		return 0
	}
	granted = l.grant(now, peer, peer.report.Wanted-peer.granted, grant)
	if peer.granted < peer.report.Wanted {
		if peer.answerPending = !peer.answerPending && l.handOverBy == 0 &&
			l.awaitsRecord(now, peer); peer.answerPending {
			l.dirty = true
		} else {
			l.refusedAt = now
		}
		return granted
	}
	peer.answerPending = false
	l.advanceCredit = min(maxAdvanceCredit, l.advanceCredit+l.cfg.AdvanceShare/(1-l.cfg.AdvanceShare)*float64(granted))
	share := float64(peer.report.Rate) / float64(l.totalRate())
	if extra := min(int64(share*float64(l.freeLines(now))/2), peer.report.Rate/2000); extra > 0 {
		granted += l.grant(now, peer, extra, grant)
	}
	return granted
}

// grantAhead grants one permit in advance to the process that was served least for its share of the demand, and
// returns that process; nil: no permit is granted. It serves processes that hardly ever ask at the moment when a line
// is free.
func (l *numberLedger) grantAhead(now int64, grant lease.Grant) *peerState {
	if l.advanceCredit < 1 || l.freeLines(now) < 1 {
		return nil
	}
	var best *peerState
	unused := int64(0)
	for _, peer := range l.peers {
		unused += peer.report.Unused + peer.granted
	}
	// Lines behind unused permits serve no call and hide whether the probed lines exist.
	if unused > l.lines/unusedDivisor {
		return nil
	}
	for _, peer := range l.peers {
		if peer.report.Unused > 0 || peer.granted > 0 || now-peer.reportedAt > l.cfg.PermitLifetime/2 ||
			now-peer.wantedAt > recentWindow || peer.wantedAt == 0 ||
			l.headroom(now, peer) < 1 {
			continue
		}
		if best == nil || peer.virtualTime < best.virtualTime {
			best = peer
		}
	}
	if best == nil || l.grant(now, best, 1, grant) == 0 {
		return nil
	}
	l.advanceCredit--
	return best
}

// retryTimes returns after what time a process may ask again, the time after which its callers may retry, and its
// share of the turnover, in lines in 1000 s.
func (l *numberLedger) retryTimes(now int64, peer *peerState) (retryAfter, callerRetryAfter, share int64) {
	turnover := float64(l.turnover(now)) / 1e9 // lines in a microsecond
	fraction := float64(peer.report.Rate) / float64(l.totalRate())
	retryAfter, callerRetryAfter = 100_000, 1_000_000
	if turnover > 0 {
		retryAfter = int64(min(1/turnover/4, maxRetryAfter))
		callerRetryAfter = int64(min(1/(turnover*max(fraction, 1e-3)), maxCallerRetryAfter))
	}
	return max(retryAfter, minRetryAfter), max(callerRetryAfter, minCallerRetryAfter), int64(turnover * fraction * 1e9)
}

// forgetSilent removes processes that have not reported for long and whose lines no longer count.
func (l *numberLedger) forgetSilent(now int64) {
	l.peers = slices.DeleteFunc(l.peers, func(peer *peerState) bool {
		silent := now-peer.reportedAt > l.cfg.SilenceTimeout && now >= peer.previousUntil
		if silent {
			l.noteHeld(now, "gone", peer, 0)
		}
		return silent
	})
}

// prepareRecord returns the record to write: each process may hold what it holds, and at least twice its share of the
// lines plus 3.
func (l *numberLedger) prepareRecord(now int64) record {
	reported, _ := l.held(now)
	rec := record{Lines: l.lines, Known: l.knownLines, Turnover: l.turnover(now),
		Outstanding: reported + l.unreported(now)}
	demand := float64(l.totalRate())
	holders := slices.Clone(l.previousHolders)
	if now >= l.previousHoldersUntil {
		holders = nil
	}
	for _, peer := range l.peers {
		peer.nextMaxLines = 0
		if held := peer.heldLines(now); held > 0 || now-peer.wantedAt <= l.cfg.SilenceTimeout && peer.wantedAt != 0 {
			peer.nextMaxLines = min(maxHolderLines,
				max(held, 3+int64(math.Ceil(2*float64(peer.report.Rate)/demand*float64(l.lines)))))
			holders = append(holders, holder{nameHash(peer.name), peer.nextMaxLines})
		}
	}
	rec.setHolders(holders)
	if l.anyPreviousHolder && now < l.previousHoldersUntil {
		rec.AnyHolder, rec.Holders = true, nil
	}
	l.writtenAnyHolder, l.writtenLines = rec.AnyHolder, rec.Lines
	return rec
}

// recordStored notes that the record that was written is stored at a majority.
func (l *numberLedger) recordStored() {
	l.pendingWrite, l.storedAnyHolder, l.storedLines = 0, l.writtenAnyHolder, l.writtenLines
	for _, peer := range l.peers {
		peer.maxLines = peer.nextMaxLines
	}
}
