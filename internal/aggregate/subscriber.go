package aggregate

import (
	"math"

	"pewterwheel/internal/fleet"
)

const (
	// usualSize is taken for the bytes of a window until some have come.
	usualSize = 400
	// usualWeight is how many windows that counts for, and meanWindows over how many the mean moves.
	usualWeight = 8
	meanWindows = 64
	// adaptEvery is the time between two changes of the length at least: each goes to all members.
	adaptEvery = second
	// longestSum bounds the length of a window that is taken in.
	longestSum = 2 * MaxGrowth * MaxLength
	// maxPending bounds the bytes of windows of which not all pieces have come, of all members together.
	maxPending = 4 << 20
)

// subscriber is what a process keeps while it asks for the others' figures.
type subscriber struct {
	wanted  bool
	told    bool // the own entry says so
	length  int64
	serial  uint64
	renewed int64
	sources map[string]*source
	pending int     // bytes of incomplete windows
	mean    float64 // bytes a window
	windows int     // that the mean was taken over
}

// source is one member whose figures come here.
type source struct {
	incarnation uint64
	number      uint64 // of the last window taken
	partial     *partial
}

// partial is a window of which not all pieces have come.
type partial struct {
	number uint64
	pieces []*fleet.Window
	left   int
	size   int // bytes that came
}

func newSubscriber(length int64) subscriber {
	return subscriber{length: length, sources: map[string]*source{}, mean: usualSize}
}

// Want says whether this process wants the others' figures. It may be called at any time and as often as one likes;
// out takes the process's own part.
func (m *Module) Want(now int64, wanted bool, out *fleet.Out) {
	s := &m.subscriber
	if s.wanted == wanted {
		return
	}
	s.wanted = wanted
	if wanted {
		m.adapt(now, out)
		return
	}
	for _, source := range s.sources {
		m.drop(source)
	}
	if s.told {
		s.told = false
		out.Tell(fleet.Figures, nil)
	}
}

// Length is the length of the windows that this process asks for, in microseconds.
func (m *Module) Length() int64 { return m.subscriber.length }

// ask puts the subscription into the own entry, under the next serial.
func (m *Module) ask(now int64, out *fleet.Out) {
	s := &m.subscriber
	s.serial++
	s.told, s.renewed = true, now
	out.Tell(fleet.Figures, encode(subscription{Length: s.length, Serial: s.serial}))
}

// adapt sets the length by the number of members and the size of their windows. It grows when it is a sixth too
// short, for no more than the rate and a fifth of it may come, and shrinks when it is a quarter too long; between
// the two it stays, so that it does not go to and fro.
func (m *Module) adapt(now int64, out *fleet.Out) {
	s := &m.subscriber
	if !s.wanted || m.view == nil {
		return
	}
	exact := m.exactLength()
	whole := m.wholeLength(exact)
	long := float64(s.length)
	off := exact > long*7/6 || float64(whole) <= long*3/4
	if !s.told || off && now-s.renewed >= adaptEvery {
		s.length = whole
		m.ask(now, out)
	}
}

// exactLength is the length in microseconds at which all members' windows come at the rate.
func (m *Module) exactLength() float64 {
	return float64(len(m.view.Members)) * m.subscriber.mean / float64(m.cfg.Rate) * second
}

// wholeLength is a length rounded up to whole MinLengths, within its bounds.
func (m *Module) wholeLength(exact float64) int64 {
	steps := math.Ceil(min(exact, MaxLength) / float64(m.cfg.MinLength))
	return min(max(int64(steps), 1)*m.cfg.MinLength, MaxLength)
}

// Message brings a window of a member, or a piece of one.
func (m *Module) Message(now int64, msg fleet.Message, out *fleet.Out) {
	p, err := decodeMessage(msg.Body)
	if err != nil {
		m.counts.bad++
		return
	}
	source := m.source(msg.From, p.Incarnation)
	if source == nil || p.Number <= source.number {
		m.counts.old++
		return
	}
	window, size := m.join(source, p, messageSize(msg.From, m.cfg.Self, msg.Body))
	if window == nil {
		return
	}
	source.number, window.Number = p.Number, p.Number
	if window.Length <= 0 || window.Length > longestSum {
		m.counts.bad++
		return
	}
	m.counts.heard++
	m.measure(size)
	out.Heard = append(out.Heard, fleet.HeardWindow{Name: msg.From, Incarnation: p.Incarnation, Window: *window})
	m.adapt(now, out)
}

// source is what is kept of a member; nil: what comes under that incarnation is passed by.
func (m *Module) source(name string, incarnation uint64) *source {
	s := &m.subscriber
	if !s.wanted {
		return nil
	}
	member := m.view.Member(name)
	if member == nil || incarnation < member.Incarnation {
		return nil
	}
	known := s.sources[name]
	if known != nil && known.incarnation > incarnation {
		return nil
	}
	if known == nil || known.incarnation < incarnation {
		if known != nil {
			m.drop(known)
		}
		known = &source{incarnation: incarnation}
		s.sources[name] = known
	}
	return known
}

// join adds a piece to what has come of its window, and returns the window once it is whole, with the bytes that it
// took.
func (m *Module) join(source *source, p piece, size int) (*fleet.Window, int) {
	if p.Of == 1 {
		m.drop(source)
		return &p.Window, size
	}
	if source.partial != nil && source.partial.number > p.Number {
		m.counts.old++
		return nil, 0
	}
	if source.partial == nil || source.partial.number < p.Number {
		m.drop(source)
		source.partial = &partial{number: p.Number, pieces: make([]*fleet.Window, p.Of), left: int(p.Of)}
	}
	part := source.partial
	switch {
	case len(part.pieces) != int(p.Of):
		m.counts.bad++
		return nil, 0
	case part.pieces[p.Index] != nil:
		m.counts.old++
		return nil, 0
	case m.subscriber.pending+size > maxPending:
		m.drop(source)
		return nil, 0
	}
	part.pieces[p.Index] = &p.Window
	part.left--
	part.size += size
	m.subscriber.pending += size
	if part.left > 0 {
		return nil, 0
	}
	m.subscriber.pending -= part.size
	source.partial = nil
	return m.whole(part), part.size
}

// whole puts the pieces of a window together; nil: they do not make one.
func (m *Module) whole(part *partial) *fleet.Window {
	window := part.pieces[0]
	for _, p := range part.pieces[1:] {
		window.Class = append(window.Class, p.Class...)
	}
	if len(window.Class) > fleet.MaxClasses {
		m.counts.bad++
		return nil
	}
	return window
}

// drop gives up what has come of a window.
func (m *Module) drop(source *source) {
	if source.partial == nil {
		return
	}
	m.subscriber.pending -= source.partial.size
	source.partial = nil
	m.counts.incomplete++
}

// measure takes a window's bytes into the mean.
func (m *Module) measure(size int) {
	s := &m.subscriber
	s.windows = min(s.windows+1, meanWindows-usualWeight)
	s.mean += (float64(size) - s.mean) / float64(usualWeight+s.windows)
}

// prune forgets the sources that are in no view any more.
func (m *Module) prune(v *fleet.View) {
	s := &m.subscriber
	if len(s.sources) <= len(v.Members) {
		return
	}
	for name, source := range s.sources {
		if v.Member(name) == nil {
			m.drop(source)
			delete(s.sources, name)
		}
	}
}
