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
	maxSeen   = 16         // numbers in contention that one process announces
	seenRoom  = 256        // numbers in contention that it tracks
	seenFor   = 10_000_000 // how long it tracks them after their last busy end
	claimFor  = 10_000_000 // a claim that is not granted within this time is given up
	urged     = 2_000_000  // a keeper that hands over is succeeded at once within this time
	evalEvery = 250_000    // interval at which it is evaluated who keeps which number
	witnesses = 2          // processes that must see a number in contention
)

// localDemand is the demand for a number that this process sees in contention.
type heavy struct {
	rate float64 // set-ups in 1000 s
	at   int64
}

// memberEntry is the decoded keeper part of a member's entry, and the bytes it was decoded from.
type teller struct {
	body []byte
	said said
}

// numberState is what the entries of all members say of one number.
type sight struct {
	key  string
	seen []tellerOf // sorted by name
	kept []tellerOf // sorted by name
	mine int64      // since when this process is the one chosen to keep it; 0: it is not
}

type tellerOf struct {
	name  string
	n     int64 // rate for reporters, fence for keepers
	share int64
}

func put(list []tellerOf, t tellerOf) []tellerOf {
	i, ok := slices.BinarySearchFunc(list, t.name, func(t tellerOf, name string) int { return strings.Compare(t.name, name) })
	if ok {
		list[i] = t
		return list
	}
	return slices.Insert(list, i, t)
}

func take(list []tellerOf, name string) []tellerOf {
	return slices.DeleteFunc(list, func(t tellerOf) bool { return t.name == name })
}

// readEntry takes a member's part of its entry if it has changed.
func (p *Part) tells(name string, body []byte) {
	t := p.tellers[name]
	if t != nil && len(t.body) == len(body) && (len(body) == 0 || &t.body[0] == &body[0]) {
		return
	}
	if t == nil {
		if len(body) == 0 {
			return
		}
		t = &teller{}
		p.tellers[name] = t
	}
	for _, s := range t.said.Seen {
		p.unsay(s.Key, func(x *sight) { x.seen = take(x.seen, name) })
	}
	for _, k := range t.said.Kept {
		p.unsay(k.Key, func(x *sight) { x.kept = take(x.kept, name) })
	}
	said, err := readSaid(name, body)
	if err != nil {
		p.counts.unread++
	}
	t.body, t.said = body, said
	for _, s := range said.Seen {
		x := p.sight(s.Key)
		x.seen = put(x.seen, tellerOf{name: name, n: s.Rate})
	}
	for _, k := range said.Kept {
		x := p.sight(k.Key)
		x.kept = put(x.kept, tellerOf{name: name, n: int64(k.Fence), share: k.Share})
		p.news = append(p.news, k.Key)
	}
}

func (p *Part) sight(key string) *sight {
	x := p.sights[key]
	if x == nil {
		x = &sight{key: key}
		p.sights[key] = x
	}
	return x
}

func (p *Part) unsay(key string, f func(*sight)) {
	if x := p.sights[key]; x != nil {
		if f(x); len(x.seen)+len(x.kept) == 0 {
			delete(p.sights, key)
		}
	}
}

// keeperOf returns the announced keeper of a number with the highest fence; nil: none.
func (p *Part) keeperOf(key string) *tellerOf {
	x := p.sights[key]
	if x == nil {
		return nil
	}
	var best *tellerOf
	for i := range x.kept {
		if k := &x.kept[i]; best == nil || k.n > best.n {
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
func (p *Part) fit(name string) bool {
	if name == p.cfg.Self {
		if p.draining || len(p.books)+len(p.claims) >= p.cfg.Most || p.cfg.Barred(name) {
			return false
		}
		m := p.view.Member(name)
		return m == nil || m.State == fleet.Serving
	}
	m := p.view.Member(name)
	if m == nil || m.State != fleet.Serving || m.Suspect && !p.cfg.doctor.pickSuspect || p.cfg.Barred(name) {
		return false
	}
	t := p.tellers[name]
	return t == nil || len(t.said.Kept) < p.cfg.Most
}

// preferred orders the candidates for a number by demand, and equal ones by hash, so that all processes choose the
// same one.
func better(key, a string, na int64, b string, nb int64) bool {
	if c := cmp.Compare(na, nb); c != 0 {
		return c > 0
	}
	return xxhash.Sum64String(key+"\x00"+a) > xxhash.Sum64String(key+"\x00"+b)
}

// chooseKeeper returns who is to keep a number that nobody keeps; empty: nobody is eligible.
func (p *Part) choose(x *sight) string {
	best, most := "", int64(0)
	for _, t := range x.seen {
		if p.fit(t.name) && (best == "" || better(x.key, t.name, t.n, best, most)) {
			best, most = t.name, t.n
		}
	}
	return best
}

// isContended tells whether enough processes see a number in contention. One process alone may just have a problem of
// its own with the number, such as an office of its own that answers busy.
func (p *Part) contended(x *sight) bool {
	need := witnesses
	if len(x.seen) < need && !p.cfg.doctor.oneWitness {
		return false
	}
	if p.cfg.doctor.oneWitness {
		need = 1
	}
	n := 0
	for _, t := range x.seen {
		if m := p.view.Member(t.name); m != nil && !m.Suspect || t.name == p.cfg.Self {
			n++
		}
	}
	return n >= need
}

// evaluate checks for every announced number who keeps it, and whether this process is to.
func (p *Part) weigh(now int64, out *fleet.Out) {
	var keys []string
	for key, x := range p.sights {
		if len(x.seen) > 0 {
			keys = append(keys, key)
		} else {
			x.mine = 0
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		x := p.sights[key]
		if p.books[key] != nil || p.claims[key].at != 0 {
			continue
		}
		if p.keptElsewhere(key) || !p.contended(x) {
			x.mine = 0
			continue
		}
		switch p.choose(x) {
		case p.cfg.Self:
			if x.mine == 0 {
				x.mine = now
			}
			if now-x.mine >= p.cfg.Settle {
				p.claim(now, key, out)
			}
		case "":
			p.counts.noRoom++
			if x.mine = 0; now-p.fullAt >= claimFor || p.fullAt == 0 {
				p.fullAt = now
				out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Keeper, What: "full", Thing: key, Text: (&FullError{key}).Error()})
			}
		default:
			x.mine = 0
		}
	}
}

func (p *Part) claim(now int64, key string, out *fleet.Out) {
	c := claim{at: max(1, now)}
	if k := p.keeperOf(key); k != nil {
		c.fence = uint64(k.n)
	}
	p.claims[key] = c
	p.counts.claims++
	p.cfg.Lessor.Claim(now, thing(key), out)
}

// successor returns the process that should keep a number instead of this one: one whose demand has been enough
// higher for long enough to be worth the cost of a move, or any eligible process if this one must hand over. Empty:
// none. The margin and the delay keep a number from moving back and forth between processes with the same demand.
func (p *Part) follower(now int64, b *book) string {
	best, most, own := "", int64(0), int64(0)
	rate := func(q *peer) int64 {
		if p.cfg.doctor.noHysteresis {
			return q.it.Rate
		}
		return int64(q.rate)
	}
	for _, q := range b.peers {
		if q.name == p.cfg.Self {
			own = rate(q)
			continue
		}
		if now-q.at <= wantLately && p.fit(q.name) && (best == "" || better(b.key, q.name, rate(q), best, most)) {
			best, most = q.name, rate(q)
		}
	}
	if p.leaves() {
		if best == "" {
			for _, m := range p.members() {
				if m.Name != p.cfg.Self && p.fit(m.Name) && (best == "" || better(b.key, m.Name, 0, best, 0)) {
					best = m.Name
				}
			}
		}
		return best
	}
	// A move costs the lines that stay unused while the permits of the old keeper expire.
	cost := b.turnover(now) * p.cfg.Permit / p.cfg.Stay
	need, stay := own+int64(p.cfg.Margin*float64(own))+cost, p.cfg.Stay
	if now-b.begun < moveOver/2 { // too early for the average demand of each process
		need = math.MaxInt64
	}
	if p.cfg.doctor.noHysteresis {
		need, stay = own, 0
	}
	if best == "" || most <= need {
		b.more = 0
		return ""
	}
	if b.more == 0 {
		b.more = now
	}
	if now-b.more < stay {
		return ""
	}
	return best
}

// mustHandOver tells whether this process may no longer keep any number.
func (p *Part) leaves() bool {
	m := p.view.Member(p.cfg.Self)
	return p.draining || m != nil && (m.State == fleet.Draining || m.State == fleet.Leaving) || p.cfg.Barred(p.cfg.Self)
}

// entryPart returns this process's part of its entry: the numbers it keeps, and those it sees in contention that
// nobody keeps.
func (p *Part) saying(now int64) said {
	var s said
	for _, key := range sortedKeys(p.books) {
		b := p.books[key]
		s.Kept = append(s.Kept, keptBy{key, b.fence, rough(b.turnover(now))})
	}
	for key, v := range p.seen {
		if now-v.at > seenFor {
			delete(p.seen, key)
		} else if p.hands[key] == nil {
			s.Seen = append(s.Seen, seenBy{key, rough(int64(v.rate))})
		}
	}
	for key, h := range p.hands {
		if h.unmet != 0 && now-h.unmet <= seenFor && p.books[key] == nil && !p.keptElsewhere(key) {
			s.Seen = append(s.Seen, seenBy{key, rough(int64(h.rate))})
		}
	}
	slices.SortFunc(s.Seen, func(a, b seenBy) int {
		if c := cmp.Compare(b.Rate, a.Rate); c != 0 {
			return c
		}
		return strings.Compare(a.Key, b.Key)
	})
	if len(s.Seen) > maxSeen {
		s.Seen = s.Seen[:maxSeen]
	}
	slices.SortFunc(s.Seen, func(a, b seenBy) int { return strings.Compare(a.Key, b.Key) })
	return s
}

// roundRate rounds down to a power of two, or one and a half times one, so that an entry does not change with every
// call.
func rough(n int64) int64 {
	step := int64(1)
	for n/step >= 4 {
		step *= 2
	}
	return n / step * step
}
