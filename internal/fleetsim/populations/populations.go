// Package populations plays clients with hidden habits against the real decisions of pooling, in virtual time: sessions that
// rely on their connection in one way or another, or do not, before offices that bind state to connections. The habits are the
// ground truth that verdicts are held against.
package populations

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"

	"pewterwheel/internal/fleet"
	"pewterwheel/internal/pooling"
	"pewterwheel/internal/wire"
)

// Way is what a client's calls rely on.
type Way int

// The ways. Those that say so are safe in every mode.
const (
	Stateless Way = iota // safe
	FreeToken            // safe: repeats tokens that every connection takes
	Crosser              // safe: ends calls on whichever of its own connections
	Mixed                // repeats tokens that every connection takes, and seldom one that only its own does
	Token                // repeats tokens that only the connection takes on which they were given
	Prepared             // relies on what an earlier call of the session left on the connection; nothing of it shows
	Ordered              // sends two set-ups at a time, the second of which needs the first before it
	Behind               // calls that may not be repeated rely on what others of the session left on the connection
	EndBound             // the office takes an end on the set-up's connection alone; safe by call
	Reuse                // two sessions use one id at a time; safe by call
	ways
)

var wayNames = [ways]string{"stateless", "free token", "crosser", "mixed token", "token", "prepared", "ordered", "left behind", "end-bound", "id reuse"}

func (w Way) String() string { return wayNames[w] }

// Most is the highest mode in which nothing of a way's calls is harmed.
func (w Way) Most() pooling.Mode {
	switch w {
	case Mixed, Token, Prepared, Ordered, Behind:
		return pooling.BySession
	case EndBound, Reuse:
		return pooling.ByCall
	}
	return pooling.ByMessage
}

// Habit is a client's hidden truth.
type Habit struct {
	Way     Way
	Rate    float64 // part of its calls in which the way shows
	Cause   byte    // of a refusal for want of state
	Faults  float64 // part of set-ups that offices refuse with a fault, whatever the lane
	Missing float64 // part of set-ups in which the caller itself leaves something out
	Guarded float64 // part of calls that may not be repeated
	Ends    float64 // part of calls that the caller ends
	Overlap float64 // part of calls that begin before the last is over
}

// Draw draws a habit of a way that shows at least once in rarest calls.
func Draw(r *rand.Rand, w Way, rarest float64) Habit {
	h := Habit{Way: w, Rate: math.Exp(-r.Float64() * math.Log(rarest)), Cause: wire.CauseMissing, Ends: r.Float64()}
	if r.Float64() < 0.25 {
		h.Cause = wire.CauseFault
	}
	switch x := r.Float64(); {
	case x < 0.1:
		h.Faults = 0.005 * r.Float64()
	case x < 0.4:
		h.Faults = 0.001 * r.Float64()
	}
	if r.Float64() < 0.1 {
		h.Missing = 0.0005 * r.Float64()
	}
	if r.Float64() < 0.1 {
		h.Guarded = 0.3 * r.Float64()
	}
	if r.Float64() < 0.5 {
		h.Overlap = 0.3 * r.Float64()
	}
	if w == Behind {
		h.Guarded = max(h.Guarded, 0.05)
		h.Rate = max(h.Rate, min(1, 1/(rarest*h.Guarded)))
	}
	if w == EndBound {
		h.Ends = max(h.Ends, 0.05)
	}
	return h
}

// Config sizes a world.
type Config struct {
	Processes, Sessions int // sessions of the client at each process
	Seed                uint64
	Every               int64   // microseconds between two calls over all processes
	Lasts               float64 // mean length of a call, microseconds; 0: over at once
	Loss                float64 // part of messages that are lost
	Delay               int64   // of a message, at the most
	Part                func(i int, cfg *pooling.Config)
	Made                func(i int, p *pooling.Module, l *pooling.Loop)
}

// Harm counts calls that went wrong because of the lane.
type Harm struct {
	Tried    int // on a shared lane by a trial; repeated on the own connection
	Raised   int // on a shared lane by a verdict
	LateTold int // of Late: on a process that the witness had reached
	Late     int // on the own connection, for want of what an earlier call left on a shared one
	Before   int // of Tried and Raised: after the first witness anywhere, at a process that it had not reached
	Told     int // of Tried and Raised: set up where a witness that denies the mode was known, in its epoch
}

func (h *Harm) add(o Harm) {
	h.Tried, h.Raised, h.Late, h.LateTold = h.Tried+o.Tried, h.Raised+o.Raised, h.Late+o.Late, h.LateTold+o.LateTold
	h.Before, h.Told = h.Before+o.Before, h.Told+o.Told
}

type session struct {
	id     pooling.SessionID
	at     int // process
	client pooling.ClientID
	last   *pooling.Call // begun and not over
	state  int           // connection on which its token or preparation is; 0: none
	token  string
	own    int
	who    int // client
}

type conn struct {
	busy int64 // until when a call holds it
	used int64
}

// Process is one process of the world.
type Process struct {
	Name    string
	Loop    *pooling.Loop
	Part    *pooling.Module
	Life    uint64
	Parts   map[fleet.Kind][]byte
	shown   map[fleet.Kind][]byte // what others see of Parts
	Witness int64                 // when the first witness was known here; 0: none is
	Denied  pooling.Modes
	epoch   uint64       // to which Denied belongs: in a later one the client is tried again
	Mode    pooling.Mode // of the first client
	Cut     bool         // nothing comes in or goes out
	Stopped bool
	pool    []conn
}

type letter struct {
	at int64
	m  fleet.Message
}

// World is processes, their network, and clients.
type World struct {
	Now     int64
	Procs   []*Process
	Clients []Habit
	Harm    Harm
	First   int64 // when a witness was first known anywhere; 0: not yet
	Calls   int
	Free    int // of them on own connections, by session
	cfg     Config
	r       *rand.Rand
	byWho   [][]*session
	mail    []letter
	conns   int
	ids     uint64
	viewed  int64
	next    uint64 // session
	keys    []string
	hashes  []uint64
}

// New makes a world with these clients. Its processes have settled.
func New(cfg Config, clients ...Habit) *World {
	w := &World{Now: 1_000_000, cfg: cfg, r: rand.New(rand.NewPCG(cfg.Seed, 77)), Clients: clients}
	for i := range cfg.Processes {
		w.Procs = append(w.Procs, nil)
		w.Start(i)
	}
	for who := range clients {
		w.byWho = append(w.byWho, nil)
		w.hashes = append(w.hashes, pooling.Key("app"+strconv.Itoa(who), "127.0.0.1"))
		w.keys = append(w.keys, fmt.Sprintf("%016x", w.hashes[who]))
		for i := range cfg.Processes * cfg.Sessions {
			s := &session{who: who}
			w.byWho[who] = append(w.byWho[who], s)
			w.open(s, i%cfg.Processes)
		}
	}
	w.Idle(11_000_000)
	return w
}

// Start starts a process, or starts it anew with nothing.
func (w *World) Start(i int) {
	p := &Process{Name: fmt.Sprintf("p%03d", i), Life: uint64(w.Now), Parts: map[fleet.Kind][]byte{}, Mode: pooling.BySession}
	p.Loop = pooling.NewLoop(w.r.Uint64())
	cfg := pooling.Config{Self: p.Name, Seed: w.r.Uint64(), Loop: p.Loop}
	if w.cfg.Part != nil {
		w.cfg.Part(i, &cfg)
	}
	var err error
	if p.Part, err = pooling.New(cfg); err != nil {
		panic(err)
	}
	if w.cfg.Made != nil {
		w.cfg.Made(i, p.Part, p.Loop)
	}
	w.Procs[i] = p
	var out fleet.Out
	p.Part.Start(w.Now, &out)
	w.take(p, &out)
	for _, ss := range w.byWho {
		for _, s := range ss {
			if s.at == i {
				w.open(s, i)
			}
		}
	}
}

func (w *World) open(s *session, at int) {
	w.next++
	*s = session{id: pooling.SessionID(w.next), at: at, who: s.who}
	s.client = w.Procs[at].Loop.Open(w.Now, s.id, "app"+strconv.Itoa(s.who), "127.0.0.1")
}

// Renew ends a random session of a client and opens another in its place.
func (w *World) Renew(who int) {
	s := w.byWho[who][w.r.IntN(len(w.byWho[who]))]
	w.Procs[s.at].Loop.Closed(w.Now, s.client, s.id)
	w.open(s, s.at)
}

func (w *World) take(p *Process, out *fleet.Out) {
	for k, b := range out.Parts {
		p.Parts[k] = b
	}
	for _, n := range out.Notes {
		if n.Thing != w.keys[0] {
			continue
		}
		switch n.What {
		case "verdict":
			p.Mode = pooling.Mode(n.N)
		case "witness":
			if w.First == 0 {
				w.First = w.Now
			}
			if p.Witness == 0 {
				p.Witness = w.Now
			}
			p.Denied |= pooling.Modes(n.N)
			p.epoch = n.Fence
		}
	}
	for _, m := range out.Send {
		if p.Cut || w.cfg.Loss > 0 && w.r.Float64() < w.cfg.Loss {
			continue
		}
		w.mail = append(w.mail, letter{w.Now + 1 + w.r.Int64N(max(1, w.cfg.Delay)), m})
	}
}

// Idle lets time pass without calls.
func (w *World) Idle(d int64) {
	for end := w.Now + d; w.Now < end; {
		w.Now = min(end, w.Now+20_000)
		w.turn()
	}
}

// turn delivers what is due.
func (w *World) turn() {
	kept := w.mail[:0]
	due := []letter(nil)
	for _, l := range w.mail {
		if l.at <= w.Now {
			due = append(due, l)
		} else {
			kept = append(kept, l)
		}
	}
	w.mail = kept
	for _, l := range due {
		for _, p := range w.Procs {
			if p.Name == l.m.To && !p.Cut && !p.Stopped {
				var out fleet.Out
				p.Part.Message(w.Now, l.m, &out)
				w.take(p, &out)
			}
		}
	}
	view := w.Now-w.viewed >= 200_000
	if view {
		w.viewed = w.Now
	}
	for _, p := range w.Procs {
		if p.Stopped {
			continue
		}
		p.Loop.EndRound(w.Now)
		var out fleet.Out
		if view {
			p.Part.View(w.Now, w.view(p), &out)
		}
		if p.Part.Next() <= w.Now {
			p.Part.Tick(w.Now, &out)
		}
		w.take(p, &out)
	}
}

// view is what a process sees: what others showed at the last view, for gossip takes its time.
func (w *World) view(of *Process) *fleet.View {
	v := &fleet.View{Number: uint64(w.Now), Self: of.Name}
	for _, p := range w.Procs {
		m := fleet.Member{Entry: fleet.Entry{Name: p.Name, Incarnation: p.Life, State: fleet.Serving, Parts: p.shown}}
		if p != of && (p.Cut || of.Cut || p.Stopped) {
			m.Suspect, m.Parts = true, nil
		}
		v.Members = append(v.Members, m)
	}
	of.shown = map[fleet.Kind][]byte{fleet.Pooling: of.Parts[fleet.Pooling]}
	return v
}

// Play plays so many calls of random sessions, until stop says so.
func (w *World) Play(calls int, stop func() bool) int {
	turned := w.Now
	for n := range calls {
		w.Now += w.cfg.Every
		who := 0
		if len(w.byWho) > 1 {
			who = w.r.IntN(len(w.byWho))
		}
		s := w.byWho[who][w.r.IntN(len(w.byWho[who]))]
		if !w.Procs[s.at].Stopped {
			w.call(s)
		}
		if w.Now-turned >= 20_000 {
			turned = w.Now
			w.turn()
			if stop != nil && stop() {
				return n + 1
			}
		}
	}
	return calls
}

func (w *World) chance(p float64) bool { return p > 0 && w.r.Float64() < p }

// lane gives the connection for a lane.
func (w *World) lane(s *session, l pooling.ConnectionKind, lasts int64) int {
	p := w.Procs[s.at]
	if l == pooling.OwnConnection {
		if s.own == 0 {
			w.conns++
			s.own = w.conns
		}
		return s.own
	}
	base := 1_000_000_000 + s.at*1_000_000
	if w.cfg.Lasts == 0 { // a few of the pool are as good as all
		return base + w.r.IntN(8)
	}
	if l == pooling.AnyConnection {
		for len(p.pool) < 2 {
			p.pool = append(p.pool, conn{})
		}
		i := w.r.IntN(2)
		p.pool[i].used = w.Now
		return base + i
	}
	for i := 2; i < len(p.pool); i++ {
		if p.pool[i].busy <= w.Now {
			p.pool[i] = conn{w.Now + lasts, w.Now}
			return base + i
		}
	}
	for len(p.pool) < 2 {
		p.pool = append(p.pool, conn{})
	}
	p.pool = append(p.pool, conn{w.Now + lasts, w.Now})
	return base + len(p.pool) - 1
}

// Descriptors counts the connections to one office: those of sessions, and those of the pools that were used of late. Those
// that need not stay are closed.
func (w *World) Descriptors() (own, pooled int) {
	for _, ss := range w.byWho {
		for _, s := range ss {
			p := w.Procs[s.at]
			if s.own != 0 && !p.Loop.KeepOwn(w.Now, s.client, s.id) {
				s.own = 0
			}
			if s.own != 0 {
				own++
			}
		}
	}
	for _, p := range w.Procs {
		for i := range p.pool {
			if w.Now-max(p.pool[i].used, p.pool[i].busy) < 5_000_000 && p.pool[i].used > 0 {
				pooled++
			}
		}
	}
	return own, pooled
}

// call plays one call of a session from its set-up to its end, or two at a time.
func (w *World) call(s *session) {
	h := &w.Clients[s.who]
	shows := w.chance(h.Rate)
	first, on := w.setUp(s, h, shows && h.Way != Ordered, 0)
	if h.Way == Ordered && shows && first != nil {
		second, _ := w.setUp(s, h, true, on)
		w.end(s, h, second)
	}
	w.end(s, h, first)
}

// setUp plays a set-up and its repeats; shows: the habit does, and needs the connection after, if that is not 0.
func (w *World) setUp(s *session, h *Habit, shows bool, after int) (*pooling.Call, int) {
	p := w.Procs[s.at]
	w.Calls++
	w.ids++
	c := &pooling.Call{ID: w.ids, Client: s.client, Session: s.id, Office: 1, Repeatable: !w.chance(h.Guarded)}
	text := "ask " + strconv.FormatUint(w.ids%7, 10)
	tokens := h.Way == Token || h.Way == FreeToken || h.Way == Mixed
	needs := 0
	switch {
	case after != 0:
		needs = after
	case h.Way == Behind && !c.Repeatable && shows:
		needs = s.state
	case shows && (h.Way == Token || h.Way == Mixed || h.Way == Prepared):
		needs = s.state
	}
	if tokens && (shows || h.Way == Mixed && w.chance(0.3)) && s.token != "" {
		text += " " + s.token
	}
	if s.last != nil && !w.chance(h.Overlap) && after == 0 {
		w.over(s)
	}
	p.Loop.Observe(w.Now, pooling.Observation{Event: pooling.SetUpReceived, Call: c, Text: []byte(text)})
	if h.Way == Reuse && shows {
		other := w.byWho[s.who][w.r.IntN(len(w.byWho[s.who]))]
		if other != s && other.at == s.at {
			p.Loop.Observe(w.Now, pooling.Observation{Event: pooling.IDReused, Call: c, Session: other.id})
		}
	}
	missing := w.chance(h.Missing)
	lasts := int64(0)
	if w.cfg.Lasts > 0 {
		lasts = int64(w.r.ExpFloat64() * w.cfg.Lasts)
	}
	for range 3 {
		lane := p.Loop.Select(w.Now, c, pooling.SetUp)
		on := w.lane(s, lane, lasts)
		raised := p.Loop.Verdict(w.hashes[s.who]).Mode > pooling.BySession
		wants := needs != 0 && on != needs
		if wants && after != 0 && w.chance(0.5) {
			wants = false // it came in time after all
		}
		if h.Way == Reuse && shows && lane == pooling.AnyConnection {
			wants = true
		}
		cause := byte(0)
		switch {
		case wants:
			cause = h.Cause
			switch {
			case lane == pooling.OwnConnection:
				w.Harm.Late++
				if s.who == 0 && p.Witness != 0 {
					w.Harm.LateTold++
				}
			case raised:
				w.Harm.Raised++
			default:
				w.Harm.Tried++
			}
			if s.who == 0 && lane != pooling.OwnConnection && w.First != 0 && p.Witness == 0 {
				w.Harm.Before++
			}
			if s.who == 0 && lane != pooling.OwnConnection && p.Witness != 0 && uint64(p.Loop.Verdict(w.hashes[0]).Epoch) <= p.epoch && (p.Denied&pooling.DenyCall == pooling.DenyCall || lane == pooling.AnyConnection) {
				w.Harm.Told++
			}
		case missing:
			cause = wire.CauseMissing
		case w.chance(h.Faults):
			cause = wire.CauseFault
		}
		if cause != 0 {
			p.Loop.Observe(w.Now, pooling.Observation{Event: pooling.SetUpRefused, Call: c, Cause: cause})
			if wants && lane == pooling.OwnConnection {
				s.state, s.token = 0, "" // it begins anew
			}
			if !c.Repeatable || lane == pooling.OwnConnection {
				break
			}
			continue
		}
		answer := "done"
		if s.state == 0 || h.Way != Ordered && (h.Way == Behind && c.Repeatable || h.Way != Behind && !shows) && w.chance(0.01) { // a new token, or prepared anew
			s.state = on
			if tokens {
				s.token = fmt.Sprintf("tok-%08x", w.r.Uint32())
			}
		}
		if tokens {
			answer += " " + s.token
		}
		if lane == pooling.OwnConnection {
			w.Free++
		}
		p.Loop.Observe(w.Now, pooling.Observation{Event: pooling.SetUpAnswered, Call: c, Text: []byte(answer)})
		return c, on
	}
	p.Loop.Observe(w.Now, pooling.Observation{Event: pooling.CallOver, Call: c})
	return nil, 0
}

func (w *World) over(s *session) {
	if s.last != nil {
		w.Procs[s.at].Loop.Observe(w.Now, pooling.Observation{Event: pooling.CallOver, Call: s.last})
		s.last = nil
	}
}

// end plays the end of a call that stands.
func (w *World) end(s *session, h *Habit, c *pooling.Call) {
	if c == nil {
		return
	}
	loop := w.Procs[s.at].Loop
	if w.chance(h.Ends) {
		on := s.id
		if all := w.byWho[s.who]; h.Way == Crosser {
			if other := all[w.r.IntN(len(all))]; other.at == s.at {
				on = other.id
			}
		}
		loop.Observe(w.Now, pooling.Observation{Event: pooling.EndReceived, Call: c, Session: on})
		lane := loop.Select(w.Now, c, pooling.End)
		if lane == pooling.AnyConnection && h.Way == EndBound {
			if w.Procs[s.at].Mode == pooling.ByMessage {
				w.Harm.Raised++
			} else {
				w.Harm.Tried++
			}
			loop.Observe(w.Now, pooling.Observation{Event: pooling.EndUnacknowledged, Call: c})
			loop.Select(w.Now, c, pooling.End)
		}
		loop.Observe(w.Now, pooling.Observation{Event: pooling.EndAcknowledged, Call: c})
	}
	w.over(s)
	s.last = c
}
