package route

import (
	"slices"

	"pewterwheel/decide"
)

// coldFraction of the work that overloads a cold host is what all sidecars together may send it.
const coldFraction = 0.5

// host is the router's state of a listed server.
type host struct {
	decide.Listed
	id         decide.ServerID
	poolIndex  int
	state      decide.State // as given by the list
	open       int
	throttled  bool    // shown to the module only while it has tokens
	hidden     bool    // shown to the module as not up
	tokens     float64 // set-ups that may be sent to it now, while it is cold
	lastRefill int64
}

// handleList applies an update of the list and passes it on, with cold hosts shown as unavailable until they have
// tokens.
func (r *Router) handleList(e decide.Event) {
	listed := map[decide.ServerID]bool{}
	shown := slices.Clone(e.Servers)
	for i, l := range e.Servers {
		listed[l.ID] = true
		h := r.hosts[l.ID]
		restarted := h == nil || l.Started > h.Started
		if h == nil {
			h = &host{id: l.ID}
			r.hosts[l.ID] = h
			r.hostOrder = append(r.hostOrder, h)
		}
		if h.Listed, h.poolIndex, h.state = l, l.Place, l.State; restarted {
			h.tokens, h.lastRefill = r.rng.Float64(), r.now
		}
		h.hidden = false
		if l.State == decide.Up && r.isCold(h) {
			if !h.throttled {
				h.throttled = true
				r.coldHosts = append(r.coldHosts, h)
			}
			if h.tokens < 1 {
				h.hidden = true
				shown[i].State = decide.Draining
			}
		}
	}
	if e.Form == decide.ListFull || e.Form == decide.ListCached {
		for _, h := range r.hostOrder {
			if !listed[h.id] {
				h.state = decide.Removed
			}
		}
	}
	r.hostOrder = slices.DeleteFunc(r.hostOrder, func(h *host) bool {
		if h.state != decide.Removed || h.open > 0 {
			return false
		}
		delete(r.hosts, h.id)
		return true
	})
	e.Servers = shown
	r.forward(e)
	r.countHosts()
}

func (r *Router) isCold(h *host) bool {
	return h.Started != 0 && r.now-h.Started < r.settings.Rules.ColdTime
}

// updateColdHosts shows the module each cold host as up only while this sidecar has a token for it. Tokens come at
// this sidecar's share, one of the site's sidecars, of the rate that all may send without overloading the host.
// Guards against a new host being filled by the first set-ups of all sidecars: sidecars learn nothing from each
// other, so each keeps to its share.
func (r *Router) updateColdHosts() {
	var updates []decide.Listed // sent in one event: for each one the module goes through its whole list
	r.coldHosts = slices.DeleteFunc(r.coldHosts, func(h *host) bool {
		h.throttled = h.state == decide.Up && r.isCold(h)
		if h.throttled {
			r.refill(h)
		}
		if h.state == decide.Up {
			updates = r.setVisible(updates, h, !h.throttled || h.tokens >= 1)
		}
		return !h.throttled
	})
	r.publish(updates)
}

// refill adds the tokens that a cold host's rate has yielded since the last refill.
func (r *Router) refill(h *host) {
	h.tokens = min(1, h.tokens+r.coldRate(h)*float64(r.now-h.lastRefill)/1e6)
	h.lastRefill = r.now
}

// coldRate returns the number of set-ups per second that this sidecar may send to a cold host.
func (r *Router) coldRate(h *host) float64 {
	if h.poolIndex >= len(r.cfg.Pools) {
		return 0
	}
	rules := &r.settings.Rules
	age := float64(max(0, r.now-h.Started)) / float64(rules.ColdTime)
	capacity := rules.StartCapacity + (1-rules.StartCapacity)*age
	return coldFraction * rules.FallMultiple * capacity * r.cfg.Pools[h.poolIndex].TotalRate * h.Share /
		max(h.Share, r.pools[h.poolIndex].totalShare) / float64(r.cfg.Sidecars)
}

// setVisible shows or hides a host; a change is appended to updates.
func (r *Router) setVisible(updates []decide.Listed, h *host, visible bool) []decide.Listed {
	if h.hidden == !visible {
		return updates
	}
	l := h.Listed
	if h.hidden = !visible; h.hidden {
		l.State = decide.Draining
		r.Counts.HostsHidden++
	}
	return append(updates, l)
}

// publish sends the module the hosts that were shown or hidden.
func (r *Router) publish(updates []decide.Listed) {
	if len(updates) > 0 {
		r.forward(decide.Event{Kind: decide.ListUpdate, Form: decide.ListDelta, Servers: updates})
	}
}
