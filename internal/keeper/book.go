package keeper

import (
	"math"
	"slices"
	"strings"

	"pewterwheel/internal/fleet"
	"pewterwheel/internal/lease"
)

const (
	firstLines = 4          // lines that a number is assumed to have until more is known
	probeFirst = 250_000    // delay of the next probe for lines after a probe that found some
	probeKnown = 2_000_000  // delay after a busy end, while fewer lines than were known are assumed
	probeMost  = 8_000_000  // longest delay between probes
	moveOver   = 60_000_000 // averaging window of the demand that decides who should keep a number
	turnOver   = 10_000_000 // averaging window of the turnover of lines
	knownFor   = 60_000_000 // the most lines seen in use are remembered for this long
	idlePart   = 12         // no advance grants while more than one in this many of the lines is an unused permit
	aheadMost  = 4          // most advance permits that may be saved up
	writeGap   = 100_000    // least time between two writes of the record
	writeSoon  = 5_000      // the same if an answer waits for the write
	leastLife  = 100_000    // a permit that would be valid for less is not granted
	maxPeers   = 4096       // processes in one ledger
	wantLately = 5_000_000  // a process that wanted a line this recently may get one in advance
	againLeast = 20_000
	againMost  = 500_000
	stayLeast  = 200_000
	stayMost   = 10_000_000
)

// peer is one process in the ledger of a number.
type peer struct {
	name string
	life uint64
	n    uint64 // number of its newest report
	at   int64  // when that report came
	seen bool   // it has reported under this keeper's fence
	due  bool   // its answer waits for the record to be written
	it   item   // its newest report

	granted int64   // permits granted for that report
	lasts   int64   // lifetime of these permits, from when the report was sent
	ghost   int64   // lines that an earlier incarnation of it held
	laid    int64   // when these no longer count
	ceil    int64   // most lines that it may hold by the record stored at a majority
	next    int64   // the same by the record that is being written
	wanted  int64   // when it last wanted a line
	turn    float64 // grants weighted by demand, as in weighted fair queuing: the lowest is served first
	rate    float64 // its demand averaged over a minute, which decides whether the number should move
	noted   int64   // lines counted for it in the last note; notedPrevious: those of an earlier incarnation
	before  int64
}

// heldLines returns the lines that a process may hold: those it reported and those granted since.
func (p *peer) holds(now int64) int64 {
	return p.it.Hold + p.granted + p.earlier(now)
}

// previousLines returns the lines of an earlier incarnation that still count as held.
func (p *peer) earlier(now int64) int64 {
	if now < p.laid {
		return p.ghost
	}
	return 0
}

// ledger is the authoritative record of one number at its keeper.
type book struct {
	cfg   *Config
	key   string
	thing string
	fence uint64
	begun int64
	peers []*peer // sorted by name

	lines  int64 // lines that the number is assumed to have
	known  int64 // most lines seen in use recently
	knew   int64 // when they were seen
	slow   bool  // nothing has been busy yet: the assumed lines grow exponentially
	most   int64 // lines by the site's configuration; 0: not configured
	probe  int64 // when more lines are probed next
	pause  int64 // delay between probes
	sought bool  // it is not known yet whether the lines probed last exist
	step   int64 // lines probed at once
	need   int64 // calls still to begin before the probed lines count as found

	ended  float64 // lines that became free, with exponential decay
	counts int64   // when freedLines was last brought up to date
	ahead  float64 // permits that may be granted in advance
	served float64 // virtual time of the peer served last
	unmet  int64   // when a call was last refused

	// What the previous keeper may have granted without this one having been told.
	holders []holder // those that have not reported here yet
	all     bool     // any process may hold lines
	old     int64    // lines in the previous keeper's record
	told    int64    // of these, lines in the first reports of those that have reported
	window  int64    // until when permits of the previous keeper may be valid
	silent  int64    // until when lines of processes that have not reported count as held

	write    uint64 // the write that is in progress; 0: none
	wrote    int64
	dirty    bool
	wroteAll bool // the record being written allows any holder; storedAnyHolder: the one stored at a majority
	isAll    bool
	wroteN   int64 // the lines in the record being written; storedLines: in the one stored at a majority
	isN      int64

	more    int64  // since when another process has enough more of the demand; 0: none has
	leaving string // the next keeper
	leave   int64  // when the number is handed over at the latest; 0: it is not

	doubts uint64 // permits not granted because the lease ends too soon

	notes                    []fleet.Note // not passed on yet
	notedLines, notedUnknown int64        // as last noted; -1: never
}

func newBook(cfg *Config, key, thing string, now int64, g lease.Grant) (*book, error) {
	b := &book{cfg: cfg, key: key, thing: thing, fence: g.Fence, begun: now, lines: firstLines, slow: true, counts: now, unmet: now, step: 1,
		pause: probeFirst, dirty: true, notedLines: -1, notedUnknown: -1}
	r, err := readRecord(key, g.Value)
	if r.Lines > 0 {
		b.slow = false
		b.lines, b.known, b.knew = r.Lines, r.Known, now
		b.ended = float64(r.Turn) * turnOver / 1e9
		b.old, b.all, b.holders = max(r.Lines, r.Out), r.All, r.holders()
		// The previous keeper may have granted a permit just before this lease began, and clocks may drift apart.
		b.window = now + int64(float64(cfg.Permit)*(1+2*cfg.Drift))
		b.silent = now + cfg.Silent
	}
	if n := cfg.Lines(key); n > 0 {
		if b.most, b.slow = int64(n), false; r.Lines == 0 {
			b.lines = b.most
		}
		b.lines = min(b.lines, b.most)
	}
	return b, err
}

// peer returns the state of a process; nil: the ledger is full.
func (b *book) peer(name string) *peer {
	i, ok := slices.BinarySearchFunc(b.peers, name, func(p *peer, name string) int { return strings.Compare(p.name, name) })
	if ok {
		return b.peers[i]
	}
	if len(b.peers) >= maxPeers {
		return nil
	}
	p := &peer{name: name, turn: b.served}
	b.peers = slices.Insert(b.peers, i, p)
	return p
}

// held returns the lines that the processes that have reported may hold, and how many of these carry a call.
func (b *book) held(now int64) (held, calls int64) {
	for _, p := range b.peers {
		held += p.holds(now)
		calls += p.it.Calls
	}
	return held, calls
}

// unreported returns the lines that the previous keeper may have granted to processes that have not reported to this
// one. While permits of that keeper may be valid, these are all the lines it could grant; later, those that its
// record allowed, until the processes have been silent for so long that they count as gone.
func (b *book) unknown(now int64) int64 {
	if b.cfg.doctor.forgetOld || now >= b.silent || !b.all && len(b.holders) == 0 {
		return 0
	}
	rest := max(0, b.old-b.told)
	if b.all || now < b.window {
		return rest
	}
	sum := int64(0)
	for _, h := range b.holders {
		sum += h.ceil
	}
	return min(rest, sum)
}

// grantLimit returns the number of lines that may be granted in total. Lines that are not yet stored at a majority
// are not granted, so that the next keeper never reads of fewer lines than are granted.
func (b *book) limit() int64 {
	lines := min(b.lines, b.isN)
	if b.write != 0 {
		lines = min(lines, b.wroteN)
	}
	return lines
}

// freeLines returns the lines that may be granted now.
func (b *book) free(now int64) int64 {
	held, _ := b.held(now)
	free := b.limit() - held - b.unknown(now)
	if b.cfg.doctor.overGrant && b.isN > 0 {
		free++
	}
	return free
}

// addNote adds a note on the number.
func (b *book) note(what string, n int64, who string, until int64) {
	b.notes = append(b.notes, fleet.Note{Kind: fleet.Keeper, What: what, Thing: b.key, Fence: b.fence, Until: until, N: n, Text: who})
}

// noteHeld notes the lines counted for a process if they have changed.
func (b *book) counted(now int64, what string, p *peer, n int64) {
	if n != p.noted || what == "met" {
		b.note(what, n, p.name, 0)
		p.noted = n
	}
	if n := p.earlier(now); n != p.before {
		b.note("before", n, p.name, 0)
		p.before = n
	}
}

// noteGrant notes a grant, preceded by every value it was computed from that has not been noted yet.
func (b *book) noteGrant(now int64, p *peer, n, lasts int64) {
	for _, q := range b.peers {
		b.counted(now, "holds", q, q.it.Hold+q.granted)
	}
	if l := b.limit(); l != b.notedLines {
		b.note("lines", l, "", 0)
		b.notedLines = l
	}
	if u := b.unknown(now); u != b.notedUnknown {
		b.note("unknown", u, "", 0)
		b.notedUnknown = u
	}
	b.note("granted", n, p.name, now+lasts)
	p.noted += n
}

// totalRate returns the demand of all processes, in calls in 1000 s; at least 1.
func (b *book) demand() int64 {
	n := int64(1)
	for _, p := range b.peers {
		n += p.it.Rate
	}
	return n
}

// turnover returns the lines that become free in 1000 s.
func (b *book) turnover(now int64) int64 {
	b.decay(now)
	return int64(b.ended * 1e9 / turnOver)
}

func (b *book) decay(now int64) {
	if now > b.counts {
		b.ended *= math.Exp(-float64(now-b.counts) / turnOver)
		b.counts = now
	}
}

// permitLifetime returns how long a permit granted now for a report may be valid, from when the report was sent.
// Permits end before the lease does, also by a slow clock, so that none is valid while another process keeps the
// number.
func (b *book) lasting(now int64, p *peer, g lease.Grant) int64 {
	lasts := b.cfg.Permit
	if !b.cfg.doctor.noStop {
		lasts = min(lasts, int64(float64(g.Until-now)/(1+2*b.cfg.Drift))+now-p.at)
	}
	if lasts-(now-p.at) < leastLife {
		b.doubts++
		return 0
	}
	return lasts
}

// applyReport applies the report of a process and returns the process; nil: the report is outdated, or the ledger is
// full.
func (b *book) report(now int64, from string, it item) *peer {
	p := b.peer(from)
	if p == nil || it.Life < p.life || it.Life == p.life && it.N < p.n {
		return nil
	}
	if it.Life > p.life {
		if p.life != 0 { // its previous incarnation has ended, but lines held by that may still be in use
			p.ghost, p.laid = p.holds(now), now+b.cfg.Silent
		}
		*p = peer{name: p.name, life: it.Life, ghost: p.ghost, laid: p.laid, ceil: p.ceil, next: p.next, turn: p.turn, noted: p.noted, before: p.before}
	}
	if it.N == p.n && p.seen {
		return p // duplicate
	}
	was, first := p.it, !p.seen
	if keep := math.Exp(-float64(now-p.at) / moveOver); first {
		p.rate = float64(it.Rate)
	} else {
		p.rate = p.rate*keep + float64(it.Rate)*(1-keep)
	}
	p.n, p.at, p.seen, p.it, p.granted, p.lasts, p.due = it.N, now, true, it, 0, 0, false
	if it.Want > 0 {
		p.wanted = now
	}
	if first {
		b.counted(now, "met", p, it.Hold)
		b.told += it.Hold
		b.holders = slices.DeleteFunc(b.holders, func(h holder) bool {
			if h.name == nameHash(from) {
				p.ceil, p.next = h.ceil, h.ceil
				return true
			}
			return false
		})
		return p
	}
	b.counted(now, "holds", p, it.Hold)
	if it.Refused > was.Refused {
		b.unmet = now
	}
	b.decay(now)
	b.ended += float64(it.Ended - min(was.Ended, it.Ended))
	b.learn(now, int64(it.Busy-min(was.Busy, it.Busy)), int64(it.Began-min(was.Began, it.Began)))
	return p
}

// learnLines takes busy ends, and set-ups under permits that became calls. A busy end shows that there is one line
// less than assumed, but never fewer than carry calls.
func (b *book) learn(now, busy, began int64) {
	held, calls := b.held(now)
	if calls >= b.known || now-b.knew > knownFor {
		b.known, b.knew = calls, now
	}
	b.need -= began
	switch {
	case busy > 0:
		b.slow, b.sought, b.step = false, false, 1
		b.lines = max(b.lines-busy, calls, 1)
		b.pause = min(2*b.pause, probeMost)
		if b.lines < max(b.known, b.most) {
			b.pause = probeKnown
		}
		b.probe = now + b.pause
		b.dirty = true
	case b.slow && began > 0 && 4*held > 3*b.lines:
		b.lines += 2 * began // each line found allows two more to be tried
		b.dirty = true
	case b.sought && (calls >= b.lines || b.need <= 0): // the probed lines exist: there may be more
		b.sought, b.pause, b.probe = false, probeFirst, now+probeFirst
		b.step = min(2*b.step, 1+b.lines/8)
	}
}

// probeLines assumes one more line, or twice as many as the last probe found, while all known lines are in use and
// calls are refused.
func (b *book) seek(now int64) {
	if b.most > 0 && b.lines >= b.most || b.slow || now < b.probe || now-b.unmet > wantLately || b.unknown(now) > 0 {
		return
	}
	held, calls := b.held(now)
	if held < b.lines {
		return
	}
	b.need = held - calls + 2*b.step // once this many calls have begun, some use the probed lines
	b.lines, b.sought = b.lines+b.step, true
	if b.most > 0 {
		b.lines = min(b.lines, b.most)
	}
	b.probe = now + b.pause
	b.dirty = true
}

// headroom returns how many more lines a process may hold by the record that a later keeper would read.
func (b *book) room(now int64, p *peer) int64 {
	if b.isAll && (b.write == 0 || b.wroteAll) {
		return maxCeil
	}
	ceil := p.ceil
	if b.write != 0 {
		ceil = min(ceil, p.next)
	}
	return ceil - p.holds(now)
}

// awaitsRecord tells whether a process could have a line as soon as the record allows it.
func (b *book) waits(now int64, p *peer) bool {
	held, _ := b.held(now)
	return held+b.unknown(now) < b.lines && (b.room(now, p) < 1 || b.free(now) < 1)
}

// grant grants a process up to the wanted number of permits for its newest report, and returns how many.
func (b *book) give(now int64, p *peer, want int64, g lease.Grant) int64 {
	n := min(want, b.free(now), b.room(now, p))
	if n <= 0 || b.leave != 0 {
		return 0
	}
	lasts := b.lasting(now, p, g)
	if lasts == 0 {
		return 0
	}
	b.noteGrant(now, p, n, lasts)
	p.granted += n
	p.lasts = lasts
	b.served = max(b.served, p.turn)
	p.turn = max(p.turn, b.served-1) + float64(n)*float64(b.demand())/float64(max(1, p.it.Rate))/float64(max(1, len(b.peers)))
	return n
}

// answerReport grants what a report requests. If lines are free but the record does not allow the process one yet,
// its answer waits once until it does. While lines are plentiful, it grants extra permits by the process's share of
// the demand.
func (b *book) answer(now int64, p *peer, g lease.Grant) (gave int64) {
	if p.it.Want <= p.granted {
		return 0
	}
	gave = b.give(now, p, p.it.Want-p.granted, g)
	if p.granted < p.it.Want {
		if p.due = !p.due && b.leave == 0 && b.waits(now, p); p.due {
			b.dirty = true
		} else {
			b.unmet = now
		}
		return gave
	}
	p.due = false
	b.ahead = min(aheadMost, b.ahead+b.cfg.Ahead/(1-b.cfg.Ahead)*float64(gave))
	share := float64(p.it.Rate) / float64(b.demand())
	if extra := min(int64(share*float64(b.free(now))/2), p.it.Rate/2000); extra > 0 {
		gave += b.give(now, p, extra, g)
	}
	return gave
}

// grantAhead grants one permit in advance to the process that was served least for its share of the demand, and
// returns that process; nil: no permit is granted. It serves processes that hardly ever ask at the moment when a line
// is free.
func (b *book) early(now int64, g lease.Grant) *peer {
	if b.ahead < 1 || b.free(now) < 1 {
		return nil
	}
	var best *peer
	idle := int64(0)
	for _, p := range b.peers {
		idle += p.it.Idle + p.granted
	}
	if idle > b.lines/idlePart { // lines behind unused permits serve no call and hide whether the probed lines exist
		return nil
	}
	for _, p := range b.peers {
		if p.it.Idle > 0 || p.granted > 0 || now-p.at > b.cfg.Permit/2 || now-p.wanted > wantLately || p.wanted == 0 ||
			b.room(now, p) < 1 {
			continue
		}
		if best == nil || p.turn < best.turn {
			best = p
		}
	}
	if best == nil || b.give(now, best, 1, g) == 0 {
		return nil
	}
	b.ahead--
	return best
}

// retryTimes returns when a process may ask again, how long its callers are to stay away, and its share of the
// turnover.
func (b *book) times(now int64, p *peer) (again, stay, share int64) {
	turn := float64(b.turnover(now)) / 1e9 // lines in a microsecond
	part := float64(p.it.Rate) / float64(b.demand())
	again, stay = 100_000, 1_000_000
	if turn > 0 {
		again = int64(min(1/turn/4, againMost))
		stay = int64(min(1/(turn*max(part, 1e-3)), stayMost))
	}
	return max(again, againLeast), max(stay, stayLeast), int64(turn * part * 1e9)
}

// forgetSilent removes processes that have not reported for long and whose lines no longer count.
func (b *book) forget(now int64) {
	b.peers = slices.DeleteFunc(b.peers, func(p *peer) bool {
		over := now-p.at > b.cfg.Silent && now >= p.laid
		if over {
			b.counted(now, "gone", p, 0)
		}
		return over
	})
}

// prepareRecord returns the record to write: each process may hold what it holds, and at least twice its share of the
// lines plus 3.
func (b *book) stores(now int64) record {
	held, _ := b.held(now)
	r := record{Lines: b.lines, Known: b.known, Turn: b.turnover(now), Out: held + b.unknown(now)}
	demand := float64(b.demand())
	hs := slices.Clone(b.holders)
	if now >= b.silent {
		hs = nil
	}
	for _, p := range b.peers {
		p.next = 0
		if holds := p.holds(now); holds > 0 || now-p.wanted <= b.cfg.Silent && p.wanted != 0 {
			p.next = min(maxCeil, max(holds, 3+int64(math.Ceil(2*float64(p.it.Rate)/demand*float64(b.lines)))))
			hs = append(hs, holder{nameHash(p.name), p.next})
		}
	}
	r.hold(hs)
	if b.all && now < b.silent {
		r.All, r.Holders = true, nil
	}
	b.wroteAll, b.wroteN = r.All, r.Lines
	return r
}

// recordStored notes that the record that was written is stored at a majority.
func (b *book) stored() {
	b.write, b.isAll, b.isN = 0, b.wroteAll, b.wroteN
	for _, p := range b.peers {
		p.ceil = p.next
	}
}
