package route

import (
	"slices"

	"pewterwheel/decide"
)

// coldPart of the work that would push a cold host over is what all sidecars together may send it.
const coldPart = 0.5

// host is what the router knows of a listed server.
type host struct {
	decide.Listed
	id     decide.ServerID
	place  int
	state  decide.State // as the list has it
	open   int
	gated  bool    // among those that are shown only while they have room
	hidden bool    // shown to the module as not up
	tokens float64 // sends in hand, while it is cold
	filled int64
}

// list takes the news of the list and passes it on, cold hosts as having no room yet.
func (r *Router) list(e decide.Event) {
	named := map[decide.ServerID]bool{}
	shown := slices.Clone(e.Servers)
	for i, l := range e.Servers {
		named[l.ID] = true
		h := r.hosts[l.ID]
		fresh := h == nil || l.Started > h.Started
		if h == nil {
			h = &host{id: l.ID}
			r.hosts[l.ID] = h
			r.order = append(r.order, h)
		}
		if h.Listed, h.place, h.state = l, l.Place, l.State; fresh {
			h.tokens, h.filled = r.rng.Float64(), r.now
		}
		h.hidden = false
		if l.State == decide.Up && r.isCold(h) {
			if !h.gated {
				h.gated = true
				r.cold = append(r.cold, h)
			}
			if h.tokens < 1 {
				h.hidden = true
				shown[i].State = decide.Draining
			}
		}
	}
	if e.Form == decide.Whole || e.Form == decide.Copy {
		for _, h := range r.order {
			if !named[h.id] {
				h.state = decide.Removed
			}
		}
	}
	r.order = slices.DeleteFunc(r.order, func(h *host) bool {
		if h.state != decide.Removed || h.open > 0 {
			return false
		}
		delete(r.hosts, h.id)
		return true
	})
	e.Servers = shown
	r.forward(e)
	r.count()
}

func (r *Router) isCold(h *host) bool {
	return h.Started != 0 && r.now-h.Started < r.set.Rules.Cold
}

// gates shows the module each cold host as up just while this sidecar has a send for it in hand: its part, one of
// the site's sidecars, of what all may send without pushing the host over. Guards against a new host being filled by
// everybody's first set-ups: sidecars learn nothing from each other, so each keeps to its part.
func (r *Router) gates() {
	var news []decide.Listed // told at once: each telling costs the module a look at its whole list
	r.cold = slices.DeleteFunc(r.cold, func(h *host) bool {
		h.gated = h.state == decide.Up && r.isCold(h)
		if h.gated {
			r.fill(h)
		}
		if h.state == decide.Up {
			news = r.turn(news, h, !h.gated || h.tokens >= 1)
		}
		return !h.gated
	})
	r.show(news)
}

// fill gives a cold host the sends that its rate has brought since.
func (r *Router) fill(h *host) {
	h.tokens = min(1, h.tokens+r.coldRate(h)*float64(r.now-h.filled)/1e6)
	h.filled = r.now
}

// coldRate is the sends a second that this sidecar may make to a cold host.
func (r *Router) coldRate(h *host) float64 {
	if h.place >= len(r.cfg.Pools) {
		return 0
	}
	rules := &r.set.Rules
	age := float64(max(0, r.now-h.Started)) / float64(rules.Cold)
	part := rules.StartCapacity + (1-rules.StartCapacity)*age
	return coldPart * rules.FallMultiple * part * r.cfg.Pools[h.place].Whole * h.Share / max(h.Share, r.pools[h.place].size) / float64(r.cfg.Sidecars)
}

// turn opens or shuts a host for the module; a change goes behind the news.
func (r *Router) turn(news []decide.Listed, h *host, up bool) []decide.Listed {
	if h.hidden == !up {
		return news
	}
	l := h.Listed
	if h.hidden = !up; h.hidden {
		l.State = decide.Draining
		r.Counts.Shut++
	}
	return append(news, l)
}

// show tells the module of hosts that were opened or shut.
func (r *Router) show(news []decide.Listed) {
	if len(news) > 0 {
		r.forward(decide.Event{Kind: decide.List, Form: decide.Delta, Servers: news})
	}
}
