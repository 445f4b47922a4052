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
	successionTime   = 2_000_000  // an owner that hands over is succeeded at once within this time
	evaluateInterval = 250_000    // interval at which the owners of numbers are evaluated
	minReporters     = 2          // processes that must see a number in contention
)

// localDemand is the demand for a number that this process sees in contention.
type localDemand struct {
	rate      float64 // set-ups in 1000 s
	updatedAt int64
}

// memberEntry is this package's part of a member's entry, decoded, and the bytes it was decoded from.
type memberEntry struct {
	body []byte
	part entryPart
}

// numberState is what the entries of all members say of one number.
type numberState struct {
	key         string
	reporters   []announcement // sorted by name
	owners      []announcement // sorted by name
	chosenSince int64          // since when this process is the one chosen to own it; 0: it is not
}

// announcement is what the entry of one member says of a number.
type announcement struct {
	name     string
	value    int64 // rate for reporters, fence for owners
	turnover int64
}

func setAnnouncement(list []announcement, added announcement) []announcement {
	i, ok := slices.BinarySearchFunc(list, added.name, func(a announcement, name string) int {
		return strings.Compare(a.name, name)
	})
	if ok {
		list[i] = added
		return list
	}
	return slices.Insert(list, i, added)
}

func removeAnnouncement(list []announcement, name string) []announcement {
	return slices.DeleteFunc(list, func(a announcement) bool { return a.name == name })
}

// readEntry takes a member's part of its entry if it has changed.
func (p *Module) readEntry(name string, body []byte) {
	entry := p.entries[name]
	if entry != nil && len(entry.body) == len(body) && (len(body) == 0 || &entry.body[0] == &body[0]) {
		return
	}
	if entry == nil {
		if len(body) == 0 {
			return
		}
		entry = &memberEntry{}
		p.entries[name] = entry
	}
	for _, contended := range entry.part.Contended {
		p.updateNumberState(contended.Key, func(state *numberState) {
			state.reporters = removeAnnouncement(state.reporters, name)
		})
	}
	for _, owned := range entry.part.Owned {
		p.updateNumberState(owned.Key, func(state *numberState) {
			state.owners = removeAnnouncement(state.owners, name)
		})
	}
	part, err := decodeEntryPart(name, body)
	if err != nil {
		p.counts.undecodable++
	}
	entry.body, entry.part = body, part
	for _, contended := range part.Contended {
		state := p.numberState(contended.Key)
		state.reporters = setAnnouncement(state.reporters, announcement{name: name, value: contended.Rate})
	}
	for _, owned := range part.Owned {
		state := p.numberState(owned.Key)
		state.owners = setAnnouncement(state.owners, announcement{name: name, value: int64(owned.Fence),
			turnover: owned.Turnover})
		p.announcedOwners = append(p.announcedOwners, owned.Key)
	}
}

func (p *Module) numberState(key string) *numberState {
	state := p.numbers[key]
	if state == nil {
		state = &numberState{key: key}
		p.numbers[key] = state
	}
	return state
}

func (p *Module) updateNumberState(key string, update func(*numberState)) {
	if state := p.numbers[key]; state != nil {
		if update(state); len(state.reporters)+len(state.owners) == 0 {
			delete(p.numbers, key)
		}
	}
}

// ownerOf returns the announced owner of a number with the highest fence; nil: none.
func (p *Module) ownerOf(key string) *announcement {
	state := p.numbers[key]
	if state == nil {
		return nil
	}
	var best *announcement
	for i := range state.owners {
		if owner := &state.owners[i]; best == nil || owner.value > best.value {
			best = owner
		}
	}
	return best
}

// ownedElsewhere tells whether another process that is not suspected owns a number. A number owned by a suspected
// process may be claimed: the lease decides.
func (p *Module) ownedElsewhere(key string) bool {
	owner := p.ownerOf(key)
	if owner == nil || owner.name == p.cfg.Self {
		return false
	}
	member := p.view.Member(owner.name)
	return member != nil && !member.Suspect
}

func (p *Module) members() []fleet.Member {
	if p.view == nil {
		return nil
	}
	return p.view.Members
}

// eligible tells whether a process may become the owner of a number: it is serving, not suspected, not next in a staged
// change, and has room.
func (p *Module) eligible(name string) bool {
	if name == p.cfg.Self {
		if p.draining || len(p.ledgers)+len(p.claims) >= p.cfg.MaxOwned || p.cfg.Excluded(name) {
			return false
		}
		member := p.view.Member(name)
		return member == nil || member.State == fleet.Serving
	}
	member := p.view.Member(name)
	if member == nil || member.State != fleet.Serving || member.Suspect && !p.cfg.disabled.allowSuspects ||
		p.cfg.Excluded(name) {
		return false
	}
	entry := p.entries[name]
	return entry == nil || len(entry.part.Owned) < p.cfg.MaxOwned
}

// preferred orders the candidates for a number by demand, and equal ones by hash, so that all processes choose the
// same one.
func preferred(key, nameA string, rateA int64, nameB string, rateB int64) bool {
	if order := cmp.Compare(rateA, rateB); order != 0 {
		return order > 0
	}
	return xxhash.Sum64String(key+"\x00"+nameA) > xxhash.Sum64String(key+"\x00"+nameB)
}

// chooseOwner returns the process that is to own a number without an owner; empty: no process is eligible.
func (p *Module) chooseOwner(state *numberState) string {
	best, highest := "", int64(0)
	for _, reporter := range state.reporters {
		if p.eligible(reporter.name) &&
			(best == "" || preferred(state.key, reporter.name, reporter.value, best, highest)) {
			best, highest = reporter.name, reporter.value
		}
	}
	return best
}

// isContended tells whether enough processes see a number in contention. One process alone may just have a problem of
// its own with the number, such as an office of its own that answers busy.
func (p *Module) isContended(state *numberState) bool {
	required := minReporters
	if len(state.reporters) < required && !p.cfg.disabled.singleReporter {
		return false
	}
	if p.cfg.disabled.singleReporter {
		required = 1
	}
	n := 0
	for _, reporter := range state.reporters {
		if member := p.view.Member(reporter.name); member != nil && !member.Suspect || reporter.name == p.cfg.Self {
			n++
		}
	}
	return n >= required
}

// evaluate claims the numbers in contention that have no owner and for which this process has been chosen for long
// enough. It notes if no process is eligible for one.
func (p *Module) evaluate(now int64, out *fleet.Out) {
	var keys []string
	for key, state := range p.numbers {
		if len(state.reporters) > 0 {
			keys = append(keys, key)
		} else {
			state.chosenSince = 0
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		state := p.numbers[key]
		if p.ledgers[key] != nil || p.claims[key].claimedAt != 0 {
			continue
		}
		if p.ownedElsewhere(key) || !p.isContended(state) {
			state.chosenSince = 0
			continue
		}
		switch p.chooseOwner(state) {
		case p.cfg.Self:
			if state.chosenSince == 0 {
				state.chosenSince = now
			}
			if now-state.chosenSince >= p.cfg.ClaimDelay {
				p.claimNumber(now, key, out)
			}
		case "":
			p.counts.noRoom++
			if state.chosenSince = 0; now-p.fullNotedAt >= claimTimeout || p.fullNotedAt == 0 {
				p.fullNotedAt = now
				out.Notes = append(out.Notes, fleet.Note{Kind: fleet.Keeper, What: "full", Thing: key,
					Text: (&OwnerLimitError{key}).Error()})
			}
		default:
			state.chosenSince = 0
		}
	}
}

func (p *Module) claimNumber(now int64, key string, out *fleet.Out) {
	pending := claim{claimedAt: max(1, now)}
	if owner := p.ownerOf(key); owner != nil {
		pending.knownFence = uint64(owner.value)
	}
	p.claims[key] = pending
	p.counts.claims++
	p.cfg.Lessor.Claim(now, leaseName(key), out)
}

// successor returns the process that should own a number instead of this one: one whose demand has been enough
// higher for long enough to be worth the cost of a move, or any eligible process if this one must hand over. Empty:
// none. The margin and the delay prevent a number from moving back and forth between processes with the same demand.
func (p *Module) successor(now int64, ledger *numberLedger) string {
	best, highest, ownRate := "", int64(0), int64(0)
	rate := func(peer *peerState) int64 {
		if p.cfg.disabled.noHysteresis {
			return peer.report.Rate
		}
		return int64(peer.averageRate)
	}
	for _, peer := range ledger.peers {
		if peer.name == p.cfg.Self {
			ownRate = rate(peer)
			continue
		}
		if now-peer.reportedAt <= recentWindow && p.eligible(peer.name) &&
			(best == "" || preferred(ledger.key, peer.name, rate(peer), best, highest)) {
			best, highest = peer.name, rate(peer)
		}
	}
	if p.mustHandOver() {
		if best == "" {
			for _, member := range p.members() {
				if member.Name != p.cfg.Self && p.eligible(member.Name) &&
					(best == "" || preferred(ledger.key, member.Name, 0, best, 0)) {
					best = member.Name
				}
			}
		}
		return best
	}
	// A move costs the lines that stay unused while the permits of the old owner expire.
	cost := ledger.turnover(now) * p.cfg.PermitLifetime / p.cfg.MoveDelay
	threshold, delay := ownRate+int64(p.cfg.MoveMargin*float64(ownRate))+cost, p.cfg.MoveDelay
	if now-ledger.startedAt < demandWindow/2 { // too early for the average demand of each process
		threshold = math.MaxInt64
	}
	if p.cfg.disabled.noHysteresis {
		threshold, delay = ownRate, 0
	}
	if best == "" || highest <= threshold {
		ledger.moveWantedSince = 0
		return ""
	}
	if ledger.moveWantedSince == 0 {
		ledger.moveWantedSince = now
	}
	if now-ledger.moveWantedSince < delay {
		return ""
	}
	return best
}

// mustHandOver tells whether this process may no longer own any number.
func (p *Module) mustHandOver() bool {
	member := p.view.Member(p.cfg.Self)
	return p.draining || member != nil && (member.State == fleet.Draining || member.State == fleet.Leaving) ||
		p.cfg.Excluded(p.cfg.Self)
}

// entryPart returns this package's part of the process's entry: the numbers it owns, and those without an owner that
// it sees in contention.
func (p *Module) entryPart(now int64) entryPart {
	var part entryPart
	for _, key := range sortedKeys(p.ledgers) {
		ledger := p.ledgers[key]
		part.Owned = append(part.Owned, ownedNumber{key, ledger.fence, roundRate(ledger.turnover(now))})
	}
	for key, demand := range p.localDemands {
		if now-demand.updatedAt > localDemandAge {
			delete(p.localDemands, key)
		} else if p.clients[key] == nil {
			part.Contended = append(part.Contended, contendedNumber{key, roundRate(int64(demand.rate))})
		}
	}
	for key, client := range p.clients {
		if client.refusedAt != 0 && now-client.refusedAt <= localDemandAge && p.ledgers[key] == nil &&
			!p.ownedElsewhere(key) {
			part.Contended = append(part.Contended, contendedNumber{key, roundRate(int64(client.rate))})
		}
	}
	slices.SortFunc(part.Contended, func(a, b contendedNumber) int {
		if c := cmp.Compare(b.Rate, a.Rate); c != 0 {
			return c
		}
		return strings.Compare(a.Key, b.Key)
	})
	if len(part.Contended) > maxAnnounced {
		part.Contended = part.Contended[:maxAnnounced]
	}
	slices.SortFunc(part.Contended, func(a, b contendedNumber) int { return strings.Compare(a.Key, b.Key) })
	return part
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
