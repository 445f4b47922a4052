package scaletest

import "errors"

var errNoLinks = errors.New("scaletest: the fleet has no links that could be cut")

// cutWhere adds a cut to those there are.
func (f *Fleet) cutWhere(c cut) error {
	if f.network == nil {
		return errNoLinks
	}
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	all := append([]cut{c}, *f.network.cuts.Load()...)
	f.network.cuts.Store(&all)
	return nil
}

// CutZone cuts a zone off from all others, in both directions.
func (f *Fleet) CutZone(zone int) error {
	return f.cutWhere(func(from, to end) bool { return (from.zone == zone) != (to.zone == zone) })
}

// CutRegions cuts two regions off from each other, in both directions.
func (f *Fleet) CutRegions(one, other int) error {
	return f.cutWhere(func(from, to end) bool {
		return from.region == one && to.region == other || from.region == other && to.region == one
	})
}

// CutInward lets nothing come to a member any more; what it sends passes. Streams need both directions: none comes up.
func (f *Fleet) CutInward(m *Member) error { return f.cutMember(m, true, false) }

// CutOutward lets nothing that a member sends pass any more; what is sent to it does. Streams need both directions.
func (f *Fleet) CutOutward(m *Member) error { return f.cutMember(m, false, true) }

// cutMember cuts a member off. It gives it links of its own first, so that its streams are known from those of others
// in its zone.
func (f *Fleet) cutMember(m *Member, inward, outward bool) error {
	if f.network == nil {
		return errNoLinks
	}
	if err := f.separate(m); err != nil {
		return err
	}
	return f.cutWhere(func(from, to end) bool {
		return inward && to.member == m.index || outward && from.member == m.index
	})
}

// separate has a member reach the others by links of its own.
func (f *Fleet) separate(m *Member) error {
	n := f.network
	n.mu.Lock()
	_, there := n.own[m.index]
	offset := 1 + f.spec.Zones + len(n.own)
	n.mu.Unlock()
	if !there {
		links, err := n.makeLinks(f.endOf(m.index), offset)
		if err != nil {
			return err
		}
		n.mu.Lock()
		n.own[m.index] = ownLinks{offset, links}
		n.mu.Unlock()
		n.start(links)
	}
	book := f.addresses(m)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running != nil {
		m.running.agent.SetAddresses(book)
	}
	return nil
}

// Heal ends all cuts.
func (f *Fleet) Heal() {
	if f.network != nil {
		f.network.cuts.Store(&[]cut{})
	}
}

// Links counts what became of datagrams between members; nil: there are no links.
func (f *Fleet) Links() *LinkCounts {
	if f.network == nil {
		return nil
	}
	return &f.network.counts
}
