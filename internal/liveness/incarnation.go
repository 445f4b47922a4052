package liveness

import "slices"

// Bounds on the evidence of a new process of an office. Times are in microseconds.
const (
	// settleAfter is how long a new connection may take to bring messages that refute a restart: releases that could
	// not be delivered before.
	settleAfter = 500_000
	// lateDelivery is how long after the loss of one connection another may still bring messages written before the
	// loss.
	lateDelivery = 200_000
	// reportDelay is how long a report of lines may be delayed behind answers to calls that it does not count.
	reportDelay = 200_000
	// listLag is how long the list may take to announce a new start.
	listLag = 7_000_000
	// minExpectedEnds is the number of ends that must be expected of a group of calls before the absence of any shows
	// that their process is gone. By chance none of that many ends comes in about one of ten million cases.
	minExpectedEnds = 16
	// maxOutages bounds the number of outages kept for one office.
	maxOutages = 16
)

// CountEstablished returns the number of calls at an office that were established at or after from and before to.
type CountEstablished func(from, to int64) int

// Evidence is the evidence that another process of the office has replaced the one that held the calls from before an
// outage.
type Evidence int

// Kinds of evidence.
const (
	NoEvidence   Evidence = iota
	RefusedBlind          // a connect was refused while the list of offices, which tells of new starts, was unreachable
	FewerLines            // the office reports fewer lines in use than such calls are established
	NoEnds                // none of these calls has ended, although as many ended in the same time before
)

// String returns the name used in the log.
func (e Evidence) String() string {
	return [...]string{"none", "refused-blind", "fewer-lines", "no-ends"}[e]
}

// outage is a period without a lasting main connection, after which another process of the office may be running.
type outage struct {
	lost            int64 // when it began; calls established before are in question
	lastMessage     int64 // the last message before it, which proves that the process ran
	lastService     int64 // the last message of a call before it, which proves that the call processing worked
	unanswered      bool  // set-ups were unanswered between lastService and the loss
	endsBefore      int   // calls that the office ended in the last releaseAfter before lastMessage
	reportsTrusted  bool  // no report of lines before it contradicted the established calls
	firstMessage    int64 // the first message on the main connection after it; 0: none yet
	connectRefused  bool  // a connect was refused during it
	listNotReceived bool  // the list could not be received at the time when it had to announce a new start
	deficit         lineDeficit
}

// lineDeficit is a report, after an outage, of fewer lines in use than calls established before a given time.
type lineDeficit struct {
	at        int64 // when it was received; 0: none was
	lines     int
	from      int64 // it is compared with the calls established from here on ...
	before    int64 // ... and before this
	confirmed bool  // more calls than lines were still established after pending releases had time to arrive
}

// processHistory is what is known of the successive processes of an office.
type processHistory struct {
	outages           []outage // those before which calls were established that still exist, oldest first
	endCounts         perSecondCounts
	reportContradicts bool // the last report of lines contradicted the established calls
}

// LostConnection describes a main connection at the time of its loss.
type LostConnection struct {
	Opened     int64 // when it was established
	Unanswered int   // set-ups outstanding on it, sent after the last message of a call and outstanding for MinWait
}

// MinWait is the shortest time, in microseconds, that a set-up must have been outstanding for its missing answer to
// count as evidence.
const MinWait = minWait

// inOutage reports whether the main connection has brought nothing since its last loss.
func (o *Office) inOutage() bool {
	last := len(o.outages) - 1
	return last >= 0 && o.outages[last].firstMessage == 0
}

// beginOutage records that the main connection does not last.
func (o *Office) beginOutage(now int64, unanswered int) {
	if o.inOutage() {
		return
	}
	if len(o.outages) == maxOutages {
		o.outages = slices.Delete(o.outages, 0, 1)
	}
	o.outages = append(o.outages, outage{
		lost:           now,
		lastMessage:    o.processedUntil(),
		lastService:    o.servedUntil(),
		unanswered:     unanswered > 0 || o.unanswered.Count > 0,
		endsBefore:     o.endCounts.since(o.lastMessage - releaseAfter),
		reportsTrusted: !o.reportContradicts,
	})
}

// endOutage records the first message on the main connection after an outage.
func (o *Office) endOutage(at int64) {
	if o.inOutage() {
		o.outages[len(o.outages)-1].firstMessage = at
	}
}

// processProof is a message that only the process running at a given time can have written.
type processProof struct {
	at     int64
	since  int64 // when that process was running
	opened int64 // when the connection that brought the message was established
}

// refutes reports whether the process survived an outage, so that only a connection was lost. Guards against messages
// that were written before the loss of one connection and read late on another.
func (p processProof) refutes(g outage) bool {
	return g.lost > p.since && (p.opened >= g.lost || p.at >= g.lost+lateDelivery)
}

// recordSameProcess records that a process from before some outages is still running. In an outage that continues it
// may still end.
func (o *Office) recordSameProcess(p processProof) {
	if o.inOutage() {
		if g := &o.outages[len(o.outages)-1]; p.refutes(*g) {
			g.lost = p.at
			g.lastMessage = p.at - o.queueDelay
			g.lastService = max(g.lastService, o.servedUntil())
			g.endsBefore = o.endCounts.since(p.at - releaseAfter)
		}
	}
	o.outages = slices.DeleteFunc(o.outages, func(g outage) bool { return g.firstMessage != 0 && p.refutes(g) })
}

// CallEnded records that the office ended an established call, on a connection established at the given time: the process
// that set the call up is still running.
func (o *Office) CallEnded(now int64, call Call, opened int64) {
	o.endCounts.add(now)
	o.ended.add(now, call)
	o.recordSameProcess(processProof{at: now, since: call.Since, opened: opened})
}

// LinesInUse records a report of the number of lines in use at the office, by calls of all senders.
func (o *Office) LinesInUse(now int64, lines int, established CountEstablished) {
	since := int64(0) // calls from before an outage are in question
	if last := len(o.outages) - 1; last >= 0 {
		since = o.outages[last].lost
	}
	if count := established(since, now+1); count > 0 {
		o.reportContradicts = lines < count
	}
	from := int64(0)
	for i := range o.outages {
		g := &o.outages[i]
		g.linesInUse(now, lines, from, established)
		from = g.lost // calls from before it are no evidence against the process that runs after it
	}
}

// linesInUse compares a report with all calls established before the report can have been sent: those in question and
// those established since. A report that agrees soon afterwards cancels one that did not; later, new calls may hide
// that old ones are gone.
func (g *outage) linesInUse(now int64, lines int, from int64, established CountEstablished) {
	before := max(g.lost, now-reportDelay)
	switch {
	case g.firstMessage == 0 || !g.reportsTrusted || g.deficit.confirmed:
	case lines < established(from, before):
		if g.deficit.at == 0 {
			g.deficit = lineDeficit{at: now, lines: lines, from: from, before: before}
		}
	case now-g.deficit.at < settleAfter:
		g.deficit = lineDeficit{}
	}
}

// confirm evaluates a report of fewer lines once pending releases have had time to arrive.
func (f *lineDeficit) confirm(now int64, established CountEstablished) {
	if f.at == 0 || f.confirmed || now-f.at < settleAfter {
		return
	}
	if f.confirmed = f.lines < established(f.from, f.before); !f.confirmed {
		f.at = 0
	}
}

// ListReception is what the caller knows about the reception of the list of offices.
type ListReception struct {
	LastReceived    int64 // when anything was last received of it; 0: never, or it cannot be lost
	LastUnreachable int64 // when it was last unreachable; 0: never
}

// Restart describes a process that has ended. Calls established at the office before a given time are over.
type Restart struct {
	Before      int64
	Evidence    Evidence
	LastMessage int64 // the last message of that process
}

// Restarted reports whether calls established before a given time are over because their process has ended, although
// the office sends messages. The delay counts from the last message of that process. When this controller is
// departing, a refused connect suffices, without delay.
func (o *Office) Restarted(now int64, list ListReception, established CountEstablished,
	departing bool) (Restart, bool) {
	for i := len(o.outages) - 1; i >= 0; i-- {
		g := &o.outages[i]
		g.updateListState(now, list)
		g.deficit.confirm(now, established)
		evidence := g.evidence(now, established)
		if departing && evidence == NoEvidence && g.connectRefused && g.firstMessage != 0 {
			evidence = RefusedBlind
		}
		if evidence == NoEvidence || !departing && now < g.releaseTime(evidence) {
			continue
		}
		restart := Restart{Before: g.lost, Evidence: evidence, LastMessage: g.lastMessage}
		o.outages = slices.Delete(o.outages, 0, i+1) // calls from before earlier outages are included
		return restart, true
	}
	if len(o.outages) > 0 && o.outages[0].firstMessage != 0 && established(0, o.outages[0].lost) == 0 {
		o.outages = slices.Delete(o.outages, 0, 1)
	}
	return Restart{}, false
}

// updateListState records whether the list could be received at the time when it had to announce a new start.
func (g *outage) updateListState(now int64, list ListReception) {
	if now > g.lost+listLag {
		return
	}
	lost := list.LastUnreachable != 0 && list.LastUnreachable >= g.lost-listSilence
	unheard := list.LastReceived != 0 && list.LastReceived < g.lost && now-g.lost >= listSilence/2
	g.listNotReceived = g.listNotReceived || lost || unheard
}

// evidence returns the evidence for another process after an outage.
func (g *outage) evidence(now int64, established CountEstablished) Evidence {
	switch {
	case g.firstMessage == 0:
		return NoEvidence // silence and failed connects are judged by assess
	case g.deficit.confirmed:
		return FewerLines
	case g.connectRefused && g.listNotReceived:
		return RefusedBlind
	case now-g.lastMessage >= releaseAfter && g.endsBefore >= minExpectedEnds &&
		established(g.lastMessage-releaseAfter, g.lost) >= minExpectedEnds:
		return NoEnds
	}
	return NoEvidence
}

// releaseTime returns the time from which, by the evidence, calls from before an outage are over. Evidence that shows
// a new process regardless of the list and of the old process counts from the last time at which the old process is
// known to have worked.
func (g *outage) releaseTime(evidence Evidence) int64 {
	last := g.lastMessage
	if g.lastService > 0 && (g.unanswered || evidence == FewerLines) {
		last = g.lastService
	}
	return max(last+releaseAfter, g.firstMessage+settleAfter)
}

// perSecondCounts counts the calls that an office ended in each of the last few seconds.
type perSecondCounts struct {
	counts [16]int
	second int64 // the last second counted
}

const countInterval = 1_000_000

func (h *perSecondCounts) add(now int64) {
	h.advance(now / countInterval)
	h.counts[h.second%int64(len(h.counts))]++
}

// advance clears the seconds in which nothing was counted.
func (h *perSecondCounts) advance(second int64) {
	for n := 0; h.second < second; n++ {
		if n == len(h.counts) {
			h.second = second
			return
		}
		h.second++
		h.counts[h.second%int64(len(h.counts))] = 0
	}
}

// since returns the number of calls ended since a time, to the second.
func (h *perSecondCounts) since(from int64) int {
	sum := 0
	for second := max(from/countInterval+1, h.second-int64(len(h.counts))+1, 0); second <= h.second; second++ {
		sum += h.counts[second%int64(len(h.counts))]
	}
	return sum
}
