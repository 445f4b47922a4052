package aggregate

import (
	"bytes"
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"pewterwheel/internal/fleet"
)

// sender is what a process keeps for those that ask for its figures.
type sender struct {
	incarnation uint64         // of this process
	base        uint64         // base windows so far
	history     []fleet.Window // the last History of them
	requests    map[string]*request
	served      []*service // lowest by (first seen, name)
	round       uint64     // of reading a view
}

// request is what one member's entry asks for.
type request struct {
	name        string
	incarnation uint64
	raw         []byte // of the part, as it was read
	bad         bool   // it cannot be read
	suspect     bool
	refused     bool // has been counted as one too many
	length      int64
	serial      uint64
	first       int64  // when it was first seen
	renewed     int64  // when its serial last grew
	sent        uint64 // the last base window that was sent for it
	round       uint64 // of reading a view, in which it was there
}

// service is one subscriber that is served.
type service struct {
	*request
	sum    fleet.Window
	holds  bool   // sum holds a base window
	number uint64 // of the last window sent; 0: none yet
	begun  int64
	phase  float64 // of this process's turns, as a part of the length
	due    int64   // when the sum is to be sent
	dueFor int64   // the length that due was drawn for
}

// learn reads from a view who asks for figures.
func (m *Module) learn(now int64, v *fleet.View) {
	s := &m.sender
	s.round++
	if own := v.Member(m.cfg.Self); own != nil {
		s.incarnation = own.Incarnation
	}
	for i := range v.Members {
		member := &v.Members[i]
		body := member.Parts[fleet.Figures]
		if len(body) == 0 || member.Name == m.cfg.Self {
			continue // a process's own windows stand in its views
		}
		r := s.requests[member.Name]
		if r == nil || r.incarnation != member.Incarnation {
			r = &request{name: member.Name, incarnation: member.Incarnation, first: now}
			s.requests[member.Name] = r
		}
		if !bytes.Equal(r.raw, body) {
			m.read(now, r, body)
		}
		r.suspect, r.round = member.Suspect, s.round
	}
	for name, r := range s.requests {
		if r.round != s.round {
			delete(s.requests, name)
		}
	}
	m.choose(now)
}

// read takes what a request says anew. A serial that has not grown renews nothing.
func (m *Module) read(now int64, r *request, body []byte) {
	r.raw = body
	said, err := decodeSubscription(body)
	if err != nil {
		r.bad = true
		m.counts.bad++
		return
	}
	r.bad = false
	if said.Serial > r.serial {
		r.serial, r.renewed = said.Serial, now
	}
	r.length = said.Length
}

// valid tells whether a request is to be served.
func (r *request) valid(now int64) bool { return !r.bad && !r.suspect && now-r.renewed < Lapse }

// choose begins and ends services: the first MaxSubscribers valid requests have one.
func (m *Module) choose(now int64) {
	s := &m.sender
	if len(s.requests) == 0 && len(s.served) == 0 {
		return
	}
	var valid []*request
	for _, r := range s.requests {
		if r.valid(now) {
			valid = append(valid, r)
		}
	}
	slices.SortFunc(valid, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.first, b.first), strings.Compare(a.name, b.name))
	})
	for _, r := range valid[min(len(valid), MaxSubscribers):] {
		if !r.refused {
			r.refused = true
			m.counts.refused++
		}
	}
	var served []*service
	for _, r := range valid[:min(len(valid), MaxSubscribers)] {
		i := slices.IndexFunc(s.served, func(v *service) bool { return v.request == r })
		if i >= 0 {
			served = append(served, s.served[i])
		} else {
			served = append(served, m.begin(now, r))
		}
	}
	s.served = served
}

// begin is a new service, with the history that its subscriber has not been sent before.
func (m *Module) begin(now int64, r *request) *service {
	v := &service{request: r, begun: now, phase: phase(m.cfg.Self, r.name, m.cfg.Seed)}
	for i := range m.sender.history {
		if w := &m.sender.history[i]; w.Number > r.sent {
			m.add(v, w)
		}
	}
	return v
}

// phase is where between two windows, as a part of their length, one process sends to another, so that not all send
// at once.
func phase(self, subscriber string, seed uint64) float64 {
	d := xxhash.NewWithSeed(seed)
	_, _ = d.WriteString(self)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(subscriber)
	return float64(d.Sum64()>>11) / (1 << 53)
}

// Window brings this process's own base window that has just ended, once a base second, and sends what is due.
func (m *Module) Window(now int64, w fleet.Window, out *fleet.Out) {
	s := &m.sender
	s.base++
	w.Number = s.base // of this life: the number of a window sent is never higher
	s.history = append(s.history, w)
	if len(s.history) > History {
		s.history = slices.Clone(s.history[1:])
	}
	m.choose(now)
	for _, v := range s.served {
		if !v.holds || v.sum.Number < s.base { // one that has just begun has it from the history
			m.add(v, &w)
		}
		if v.isDue(now) {
			m.send(now, v, out)
		}
	}
}

// isDue tells whether the sum is to be sent. It is then as long as was asked for, to a base window; where the
// length has just been changed, a sum of less than half of it waits for its next turn.
func (v *service) isDue(now int64) bool {
	if v.dueFor != v.length {
		v.due = v.turn(now)
	}
	if now < v.due {
		return false
	}
	if v.number != 0 && v.sum.Length < v.length/2 {
		v.due = v.turn(now)
		return false
	}
	return true
}

// turn is the next time after now at which this process is to send: its phase in one of the lengths since the
// service began. All senders' turns lie evenly over a length, also after it was changed.
func (v *service) turn(now int64) int64 {
	v.dueFor = v.length
	first := v.begun + int64(v.phase*float64(v.length))
	if now < first {
		return first
	}
	return first + ((now-first)/v.length+1)*v.length
}

// send sends the sum, unless the budget refuses it. A sum of MaxGrowth lengths is sent without asking: it takes no
// more bytes than one of a single length, so that this is at most an eighth of what was asked for, and a subscriber
// that hears nothing at all would take the silence for a process that serves nothing.
func (m *Module) send(now int64, v *service, out *fleet.Out) {
	s := &m.sender
	window := v.sum
	window.Number = s.base
	if v.number != 0 {
		window.Number = v.number + 1
	}
	bodies, shed := messages(s.incarnation, &window)
	size := 0
	for _, b := range bodies {
		size += messageSize(m.cfg.Self, v.name, b)
	}
	if m.cfg.Allow != nil && !m.cfg.Allow(now, size) && v.sum.Length < MaxGrowth*v.length {
		m.counts.summed++
		return
	}
	for _, b := range bodies {
		out.Send = append(out.Send, fleet.Message{Kind: fleet.Figures, From: m.cfg.Self, To: v.name, Body: b})
	}
	m.counts.shed += uint64(shed)
	m.counts.sent++
	m.sent(now, v, window.Number)
}

// sent begins the next sum.
func (m *Module) sent(now int64, v *service, number uint64) {
	v.number, v.request.sent = number, m.sender.base
	v.sum, v.holds = fleet.Window{}, false
	v.due = v.turn(now)
}

// messageSize is what a message takes on its way.
func messageSize(from, to string, body []byte) int { return len(from) + len(to) + len(body) + frame }

// add adds a base window to a sum.
func (m *Module) add(v *service, w *fleet.Window) {
	v.holds = true
	v.sum.Number = w.Number
	v.sum.Length += w.Length
	v.sum.CPU += w.CPU
	v.sum.Memory, v.sum.Broken = w.Memory, w.Broken
	for i := range w.Class {
		if !addClass(&v.sum, &w.Class[i]) {
			m.counts.shed++
		}
	}
}

// addClass adds the figures of one class; false: there is no room, or no reader would take them.
func addClass(sum *fleet.Window, c *fleet.ClassFigures) bool {
	i := slices.IndexFunc(sum.Class, func(x fleet.ClassFigures) bool { return x.Name == c.Name })
	if i < 0 {
		if len(sum.Class) >= fleet.MaxClasses || len(c.Name) > fleet.MaxName {
			return false
		}
		sum.Class = append(sum.Class, fleet.ClassFigures{Name: c.Name})
		i = len(sum.Class) - 1
	}
	s := &sum.Class[i]
	if !finite(s.Worth+c.Worth) || !finite(s.Whole+c.Whole) {
		return false
	}
	s.Offered += c.Offered
	s.Served += c.Served
	s.Refused += c.Refused
	s.Failed += c.Failed
	s.Late += c.Late
	s.Worth += c.Worth
	s.Whole += c.Whole
	for b, n := range c.Waits {
		at := min(b, fleet.MaxBuckets-1)
		for len(s.Waits) <= at {
			s.Waits = append(s.Waits, 0)
		}
		s.Waits[at] += min(n, math.MaxUint32-s.Waits[at])
	}
	return true
}

func finite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }
