package keeper

import (
	"math"
	"slices"
	"strings"

	"pewterwheel/internal/fleet"
	"pewterwheel/internal/lease"
)

const (
	firstLines = 4          // a number is thought to have so many lines until more is known
	probeFirst = 250_000    // one more line is tried so soon after one more was found
	probeKnown = 2_000_000  // and so soon after a busy end, while fewer than were known are thought to be there
	probeMost  = 8_000_000  // and so often at the least
	moveOver   = 60_000_000 // over which the demand is reckoned that says who should keep a number
	turnOver   = 10_000_000 // over which the turnover of lines is reckoned
	knownFor   = 60_000_000 // lines that were seen are remembered for so long
	idlePart   = 12         // one part in so many of the lines may be in hand unused, before more is given ahead
	aheadMost  = 4          // permits ahead that may be saved up
	writeGap   = 100_000    // between two writes of the record
	writeSoon  = 5_000      // and if an answer waits for one
	leastLife  = 100_000    // a permit that would last less is not given
	maxPeers   = 4096       // processes in one record
	wantLately = 5_000_000  // who wanted a line so lately may get one ahead
	againLeast = 20_000
	againMost  = 500_000
	stayLeast  = 200_000
	stayMost   = 10_000_000
)

// peer is one process as the record of a number has it.
type peer struct {
	name string
	life uint64
	n    uint64 // its newest report
	at   int64  // when that came
	seen bool   // it has reported under this keeper's fence
	due  bool   // its answer waits for the record to be written
	it   item   // that report

	granted int64   // given for that report
	lasts   int64   // how long these last, from when the report was sent
	ghost   int64   // lines that an earlier life of it held
	laid    int64   // until when these count
	ceil    int64   // most that it may hold, by the record that a majority has
	next    int64   // and by that which is being written
	wanted  int64   // when it last wanted a line
	turn    float64 // grants had for its part of the demand: who has the least is served first
	rate    float64 // its demand over a minute, which says whether the number should move
	noted   int64   // lines that it is counted with, by the notes; before: those of an earlier life
	before  int64
}

// holds is the lines that a process may hold: what it told, and what it was given since.
func (p *peer) holds(now int64) int64 {
	return p.it.Hold + p.granted + p.earlier(now)
}

// earlier is the lines of an earlier life of it that count yet.
func (p *peer) earlier(now int64) int64 {
	if now < p.laid {
		return p.ghost
	}
	return 0
}

// book is the authoritative record of one number, at its keeper.
type book struct {
	cfg   *Config
	key   string
	thing string
	fence uint64
	begun int64
	peers []*peer // by name

	lines  int64 // that the number seems to have
	known  int64 // the most that were seen in use, lately
	knew   int64 // when
	slow   bool  // nothing has been busy yet: the lines are sought by doubling
	most   int64 // that the site says there are; 0: it does not
	probe  int64 // when one more is tried
	pause  int64 // until the next such time
	sought bool  // whether the last line tried is there is not known yet
	step   int64 // lines tried at once
	need   int64 // calls that are to begin before these count as found

	ended  float64 // lines that became free, decayed
	counts int64   // as of when
	ahead  float64 // permits that may be given before they are asked for
	served float64 // the turn of who was served last
	unmet  int64   // when a call was last turned away

	// What the last keeper may have granted, and is not told yet.
	holders []holder // that have not reported here
	all     bool     // any process may hold some
	old     int64    // lines as the last record had them
	told    int64    // of them, held by those that have reported, as they first did
	window  int64    // until when a permit of the last keeper may be valid
	silent  int64    // until when those that say nothing count

	write    uint64 // the record that is being written; 0: none
	wrote    int64
	dirty    bool
	wroteAll bool // the record being written says that all may hold; isAll: that which a majority has
	isAll    bool
	wroteN   int64 // the lines that it tells of; isN: those of the record that a majority has
	isN      int64

	more    int64  // since when an other process has so much more of the demand; 0: none has
	leaving string // who is to be the next keeper
	leave   int64  // when it is given up at the latest; 0: it is not

	doubts uint64 // permits that were not given because the lease ends too soon

	notes                    []fleet.Note // not handed out yet
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
		// Of clocks that run apart, the oldest permit may have been given just before this lease began.
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

// peer returns a process's place; nil: there is no room.
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

// held is the lines that processes may hold that have reported; calls those on which a call stands.
func (b *book) held(now int64) (held, calls int64) {
	for _, p := range b.peers {
		held += p.holds(now)
		calls += p.it.Calls
	}
	return held, calls
}

// unknown is the lines that the last keeper may have granted to processes that have not reported to this one. While its
// permits may be valid, that is all that it could give; later, what its record allowed them, until they have been silent
// for so long that they count as gone.
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

// limit is the lines that grants are held against. Guards against a next keeper that reads of fewer lines than are granted: those
// that a majority does not know of yet are not.
func (b *book) limit() int64 {
	lines := min(b.lines, b.isN)
	if b.write != 0 {
		lines = min(lines, b.wroteN)
	}
	return lines
}

// free is the lines that may be granted now.
func (b *book) free(now int64) int64 {
	held, _ := b.held(now)
	free := b.limit() - held - b.unknown(now)
	if b.cfg.doctor.overGrant && b.isN > 0 {
		free++
	}
	return free
}

// note adds a note of the record.
func (b *book) note(what string, n int64, who string, until int64) {
	b.notes = append(b.notes, fleet.Note{Kind: fleet.Keeper, What: what, Thing: b.key, Fence: b.fence, Until: until, N: n, Text: who})
}

// counted notes what a process is counted with, if that has changed.
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

// noteGrant notes a grant, and before it whatever it was reckoned with that is not noted yet.
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

// demand is what all ask for, in calls in a thousand seconds; at least 1.
func (b *book) demand() int64 {
	n := int64(1)
	for _, p := range b.peers {
		n += p.it.Rate
	}
	return n
}

// turnover is the lines that become free, in a thousand seconds.
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

// lasting is how long a permit given now for a report may last, from when that was sent. Guards against one that is still
// valid when an other process keeps the number: what is given ends before the lease does, also by a clock that runs slow.
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

// report takes what a process tells, and returns the process; nil: it is old, or there is no room.
func (b *book) report(now int64, from string, it item) *peer {
	p := b.peer(from)
	if p == nil || it.Life < p.life || it.Life == p.life && it.N < p.n {
		return nil
	}
	if it.Life > p.life {
		if p.life != 0 { // its last life is over, but what it held may stand yet
			p.ghost, p.laid = p.holds(now), now+b.cfg.Silent
		}
		*p = peer{name: p.name, life: it.Life, ghost: p.ghost, laid: p.laid, ceil: p.ceil, next: p.next, turn: p.turn, noted: p.noted, before: p.before}
	}
	if it.N == p.n && p.seen {
		return p // said twice
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

// learn takes so many busy ends, and set-ups that became calls, under permits. A busy end says that there is one line less
// than was thought, though never less than those on which calls stand.
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
		b.lines += 2 * began // each one that is found lets two more be tried
		b.dirty = true
	case b.sought && (calls >= b.lines || b.need <= 0): // the lines that were tried are there: the next may be, too
		b.sought, b.pause, b.probe = false, probeFirst, now+probeFirst
		b.step = min(2*b.step, 1+b.lines/8)
	}
}

// seek tries one more line, or twice as many as were found the last time, when all that are known are in use and calls are turned away.
func (b *book) seek(now int64) {
	if b.most > 0 && b.lines >= b.most || b.slow || now < b.probe || now-b.unmet > wantLately || b.unknown(now) > 0 {
		return
	}
	held, calls := b.held(now)
	if held < b.lines {
		return
	}
	b.need = held - calls + 2*b.step // when so many calls have begun, some of them are on the lines that are tried
	b.lines, b.sought = b.lines+b.step, true
	if b.most > 0 {
		b.lines = min(b.lines, b.most)
	}
	b.probe = now + b.pause
	b.dirty = true
}

// room is how many more lines a process may hold by the record that a later keeper would read.
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

// waits tells whether a process could have a line as soon as the record says so.
func (b *book) waits(now int64, p *peer) bool {
	held, _ := b.held(now)
	return held+b.unknown(now) < b.lines && (b.room(now, p) < 1 || b.free(now) < 1)
}

// give grants a process up to so many permits for its newest report, and returns how many.
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

// answer gives what a report asks for. Where lines are free, and the record does not let the process have one yet, its answer
// waits once until it does. While there is plenty, more than that is given, by the process's part of the demand.
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

// early gives one permit ahead to the process that was served least for its part of the demand, and returns it; nil: none is
// to be given. Guards against a process that hardly ever asks at the moment when a line is free.
func (b *book) early(now int64, g lease.Grant) *peer {
	if b.ahead < 1 || b.free(now) < 1 {
		return nil
	}
	var best *peer
	idle := int64(0)
	for _, p := range b.peers {
		idle += p.it.Idle + p.granted
	}
	if idle > b.lines/idlePart { // lines in hand serve nobody, and show nothing of those that are sought
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

// times are when a process may ask again, how long its callers are to stay away, and its part of the turnover.
func (b *book) times(now int64, p *peer) (again, stay, share int64) {
	turn := float64(b.turnover(now)) / 1e9 // lines a microsecond
	part := float64(p.it.Rate) / float64(b.demand())
	again, stay = 100_000, 1_000_000
	if turn > 0 {
		again = int64(min(1/turn/4, againMost))
		stay = int64(min(1/(turn*max(part, 1e-3)), stayMost))
	}
	return max(again, againLeast), max(stay, stayLeast), int64(turn * part * 1e9)
}

// forget lets go of processes that have said nothing for long, or want and hold nothing any more.
func (b *book) forget(now int64) {
	b.peers = slices.DeleteFunc(b.peers, func(p *peer) bool {
		over := now-p.at > b.cfg.Silent && now >= p.laid
		if over {
			b.counted(now, "gone", p, 0)
		}
		return over
	})
}

// stores is the record as it should stand: each process may hold what it holds, and twice its part of the lines, and a few.
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

// stored notes that a majority has the record that was written.
func (b *book) stored() {
	b.write, b.isAll, b.isN = 0, b.wroteAll, b.wroteN
	for _, p := range b.peers {
		p.ceil = p.next
	}
}
