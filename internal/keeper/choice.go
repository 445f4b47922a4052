package keeper

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"pewterwheel/internal/fleet"
)

const (
	maxAnnounced     = 16         // numbers in contention that one process announces
	maxLocalDemands  = 256        // numbers in contention that it tracks
	localDemandAge   = 10_000_000 // how long it tracks them after their last busy end
	claimTimeout     = 10_000_000 // a claim that is not granted within this time is given up
	successionTime   = 2_000_000  // a keeper that hands over is succeeded at once within this time
	evaluateInterval = 250_000    // interval at which it is evaluated who keeps which number
	minReporters     = 2          // processes that must see a number in contention
)

// localDemand is the demand for a number that this process sees in contention.
type localDemand struct {
	rate      float64 // set-ups in 1000 s
	updatedAt int64
}

// memberEntry is the decoded keeper part of a member's entry, and the bytes it was decoded from.
type memberEntry struct {
	body []byte
	part entryPart
}

// numberState is what the entries of all members say of one number.
type numberState struct {
	key         string
	reporters   []announcement // sorted by name
	keepers     []announcement // sorted by name
	chosenSince int64          // since when this process is the one chosen to keep it; 0: it is not
}

type announcement struct {
	name     string
	value    int64 // rate for reporters, fence for keepers
	turnover int64
}

func setAnnouncement(list []announcement, t announcement) []announcement {
	i, ok := slices.BinarySearchFunc(list, t.name, func(t announcement, name string) int { return strings.Compare(t.name, name) })
	if ok {
		list[i] = t
		return list
	}
	return slices.Insert(list, i, t)
}

func removeAnnouncement(list []announcement, name string) []announcement {
	return slices.DeleteFunc(list, func(t announcement) bool { return t.name == name })
}

// readEntry takes a member's part of its entry if it has changed.
func (p *Part) readEntry(name string, body []byte) {
	t := p.entries[name]
	if t != nil && len(t.body) == len(body) && (len(body) == 0 || &t.body[0] == &body[0]) {
		return
	}
	if t == nil {
		if len(body) == 0 {
			return
		}
		t = &memberEntry{}
		p.entries[name] = t
	}
	for _, s := range t.part.Contended {
		p.updateNumberState(s.Key, func(x *numberState) { x.reporters = removeAnnouncement(x.reporters, name) })
	}
	for _, k := range t.part.Kept {
		p.updateNumberState(k.Key, func(x *numberState) { x.keepers = removeAnnouncement(x.keepers, name) })
	}
	said, err := decodeEntryPart(name, body)
	if err != nil {
		p.counts.unread++
	}
	t.body, t.part = body, said
	for _, s := range said.Contended {
		x := p.numberState(s.Key)
		x.reporters = setAnnouncement(x.reporters, announcement{name: name, value: s.Rate})
	}
	for _, k := range said.Kept {
		x := p.numberState(k.Key)
		x.keepers = setAnnouncement(x.keepers, announcement{name: name, value: int64(k.Fence), turnover: k.Turnover})
		p.announcedKeepers = append(p.announcedKeepers, k.Key)
	}
}

func (p *Part) numberState(key string) *numberState {
	x := p.numbers[key]
	if x == nil {
		x = &numberState{key: key}
		p.numbers[key] = x
	}
	return x
}

func (p *Part) updateNumberState(key string, f func(*numberState)) {
	if x := p.numbers[key]; x != nil {
		if f(x); len(x.reporters)+len(x.keepers) == 0 {
			delete(p.numbers, key)
		}
	}
}

// keeperOf returns the announced keeper of a number with the highest fence; nil: none.
func (p *Part) keeperOf(key string) *announcement {
	x := p.numbers[key]
	if x == nil {
		return nil
	}
	var best *announcement
	for i := range x.keepers {
		if k := &x.keepers[i]; best == nil || k.value > best.value {
			best = k
		}
	}
	return best
}

// keptElsewhere tells whether another process that is not suspected keeps a number. A number kept by a suspected
// process may be claimed: the lease decides.
func (p *Part) keptElsewhere(key string) bool {
	k := p.keeperOf(key)
	if k == nil || k.name == p.cfg.Self {
		return false
	}
	m := p.view.Member(k.name)
	return m != nil && !m.Suspect
}

func (p *Part) members() []fleet.Member {
	if p.view == nil {
		return nil
	}
	return p.view.Members
}

// eligible tells whether a process may be given a number to keep: it is serving, not suspected, not next in a staged
// change, and has room.
func (p *Part) eligible(name string) bool {
	if name == p.cfg.Self {
		if p.draining || len(p.ledgers)+len(p.claims) >= p.cfg.Most || p.cfg.Barred(name) {
			return false
		}
		m := p.view.Member(name)
		return m == nil || m.State == fleet.Serving
	}
	m := p.view.Member(name)
	if m == nil || m.State != fleet.Serving || m.Suspect && !p.cfg.disabled.allowSuspects || p.cfg.Barred(name) {
		return false
	}
	t := p.entries[name]
	return t == nil || len(t.part.Kept) < p.cfg.Most
}

// preferred orders the candidates for a number by demand, and equal ones by hash, so that all processes choose the
// same one.
func preferred(key, a string, na int64, b string, nb int64) bool {
	if c := cmp.Compare(na, nb); c != 0 {
		return c > 0
	}
	return xxhash.Sum64String(key+"\x00"+a) > xxhash.Sum64String(key+"\x00"+b)
}

// chooseKeeper returns who is to keep a number that nobody keeps; empty: nobody is eligible.
func (p *Part) chooseKeeper(x *numberState) string {
	best, most := "", int64(0)
	for _, t := range x.reporters {
		if p.eligible(t.name) && (best == "" || preferred(x.key, t.name, t.value, best, most)) {
			best, most = t.name, t.value
		}
	}
	return best
}

// isContended tells whether enough processes see a number in contention. One process alone may just have a problem of
// its own with the number, such as an office of its own that answers busy.
func (p *Part) isContended(x *numberState) bool {
	need := minReporters
	if len(x.reporters) < need && !p.cfg.disabled.singleReporter {
		return false
	}
	if p.cfg.disabled.singleReporter {
		need = 1
	}
	n := 0
	for _, t := range x.reporters {
		if m := p.view.Member(t.name); m != nil && !m.Suspect || t.name == p.cfg.Self {
			n++
		}
	}
	return n >= need
}

// evaluate checks for every announced number who keeps it, and whether this process is to.
func (p *Part) evaluate(now int64, out *fleet.Out) {
	var keys []string
	for key, x := range p.numbers {
		if len(x.reporters) > 0 {
			keys = append(keys, key)
		} else {
			x.chosenSince = 0
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		x := p.numbers[key]
		if p.ledgers[key] != nil || p.claims[key].claimedAt != 0 {
			continue
		}
		if p.keptElsewhere(key) || !p.isContended(x) {
			x.chosenSince = 0
			continue
		}
		switch p.chooseKeeper(x) {
		case p.cfg.Self:
			if x.chosenSince == 0 {
				x.chosenSince = now
			}
			if now-x.chosenSince >= p.cfg.ClaimDelay {
				p.claimNumber(now, key, out)
			}
		case "":
			p.counts.noRoom++
			if x.chosenSince = 0; now-p.fullNotedAt >= claimTimeout || p.fullNotedAt == 0 {
				p.fullNotedAt = now
				out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Keeper, What: "full", Thing: key, Text: (&FullError{key}).Error()})
			}
		default:
			x.chosenSince = 0
		}
	}
}

func (p *Part) claimNumber(now int64, key string, out *fleet.Out) {
	c := claim{claimedAt: max(1, now)}
	if k := p.keeperOf(key); k != nil {
		c.knownFence = uint64(k.value)
	}
	p.claims[key] = c
	p.counts.claims++
	p.cfg.Lessor.Claim(now, leaseName(key), out)
}

// successor returns the process that should keep a number instead of this one: one whose demand has been enough
// higher for long enough to be worth the cost of a move, or any eligible process if this one must hand over. Empty:
// none. The margin and the delay keep a number from moving back and forth between processes with the same demand.
func (p *Part) successor(now int64, b *numberLedger) string {
	best, most, own := "", int64(0), int64(0)
	rate := func(q *peerState) int64 {
		if p.cfg.disabled.noHysteresis {
			return q.report.Rate
		}
		return int64(q.averageRate)
	}
	for _, q := range b.peers {
		if q.name == p.cfg.Self {
			own = rate(q)
			continue
		}
		if now-q.reportedAt <= recentTime && p.eligible(q.name) && (best == "" || preferred(b.key, q.name, rate(q), best, most)) {
			best, most = q.name, rate(q)
		}
	}
	if p.mustHandOver() {
		if best == "" {
			for _, m := range p.members() {
				if m.Name != p.cfg.Self && p.eligible(m.Name) && (best == "" || preferred(b.key, m.Name, 0, best, 0)) {
					best = m.Name
				}
			}
		}
		return best
	}
	// A move costs the lines that stay unused while the permits of the old keeper expire.
	cost := b.turnover(now) * p.cfg.PermitLifetime / p.cfg.MoveDelay
	need, stay := own+int64(p.cfg.MoveMargin*float64(own))+cost, p.cfg.MoveDelay
	if now-b.startedAt < demandWindow/2 { // too early for the average demand of each process
		need = math.MaxInt64
	}
	if p.cfg.disabled.noHysteresis {
		need, stay = own, 0
	}
	if best == "" || most <= need {
		b.moveWantedSince = 0
		return ""
	}
	if b.moveWantedSince == 0 {
		b.moveWantedSince = now
	}
	if now-b.moveWantedSince < stay {
		return ""
	}
	return best
}

// mustHandOver tells whether this process may no longer keep any number.
func (p *Part) mustHandOver() bool {
	m := p.view.Member(p.cfg.Self)
	return p.draining || m != nil && (m.State == fleet.Draining || m.State == fleet.Leaving) || p.cfg.Barred(p.cfg.Self)
}

// entryPart returns this process's part of its entry: the numbers it keeps, and those it sees in contention that
// nobody keeps.
func (p *Part) entryPart(now int64) entryPart {
	var s entryPart
	for _, key := range sortedKeys(p.ledgers) {
		b := p.ledgers[key]
		s.Kept = append(s.Kept, keptNumber{key, b.fence, roundRate(b.turnover(now))})
	}
	for key, v := range p.localDemands {
		if now-v.updatedAt > localDemandAge {
			delete(p.localDemands, key)
		} else if p.clients[key] == nil {
			s.Contended = append(s.Contended, contendedNumber{key, roundRate(int64(v.rate))})
		}
	}
	for key, h := range p.clients {
		if h.refusedAt != 0 && now-h.refusedAt <= localDemandAge && p.ledgers[key] == nil && !p.keptElsewhere(key) {
			s.Contended = append(s.Contended, contendedNumber{key, roundRate(int64(h.rate))})
		}
	}
	slices.SortFunc(s.Contended, func(a, b contendedNumber) int {
		if c := cmp.Compare(b.Rate, a.Rate); c != 0 {
			return c
		}
		return strings.Compare(a.Key, b.Key)
	})
	if len(s.Contended) > maxAnnounced {
		s.Contended = s.Contended[:maxAnnounced]
	}
	slices.SortFunc(s.Contended, func(a, b contendedNumber) int { return strings.Compare(a.Key, b.Key) })
	return s
}

// roundRate rounds down to a power of two, or one and a half times one, so that an entry does not change with every
// call.
func roundRate(n int64) int64 {
	step := int64(1)
	for n/step >= 4 {
		step *= 2
	}
	return n / step * step
}
