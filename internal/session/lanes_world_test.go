package session

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pewterwheel/internal/pooling"
	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

// laneWorld is callers and two offices round a session whose calls are given lanes, all by a seed. Offices read late, lose
// what they have not read when a connection ends, end connections and refuse new ones; verdicts change. It holds every message
// against what must hold on lanes.
type laneWorld struct {
	*player
	rng     *rand.Rand
	live    []*fakeConn              // to offices
	unread  map[*fakeConn][]wireSent // by an office
	session map[*fakeConn]int        // of a lane that is a caller's own
	pool    map[*fakeConn]bool       // lanes that a call has had to itself
	holder  map[*fakeConn]uint64     // the call that has one now
	callers []*worldCaller
	calls   map[uint64]*worldCall
	ids     uint64
	broken  []string
	refused map[string]int64 // offices that refuse connects, and until when
	seen    map[string]int
	asleep  bool // offices read nothing
}

type wireSent struct {
	kind wire.Type
	call uint64
}

type worldCaller struct {
	conn    *fakeConn
	session int
}

type worldCall struct {
	by    *worldCaller
	pick  pooling.Lane
	out   *fakeConn // where a set-up is out, as the program sees it
	guard int64
	at    [2]worldSide
	told  bool // its caller knows that it stands
	final bool
	done  bool // its caller wants no answer any more
}

// worldSide is what an office knows of a call.
type worldSide struct {
	open   *fakeConn // where the set-up came
	stands *fakeConn // where it was answered
}

// place is the office that a connection leads to.
func (c *fakeConn) place() int { return int(c.name[1] - '1') }

func (w *laneWorld) fault(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%d ms: ", w.now/1000)+fmt.Sprintf(format, args...))
}

// messages are those in what was written. Each write holds whole ones.
func messages(b []byte) (ms []wire.Message) {
	for len(b) > 0 {
		m, n, err := wire.Next(b)
		if err != nil || n == 0 {
			return ms
		}
		ms, b = append(ms, m), b[n:]
	}
	return ms
}

func (w *laneWorld) took(c *fakeConn, b []byte) {
	for _, m := range messages(b) {
		call := w.calls[m.Call]
		switch {
		case c.name[0] == 'j':
		case c.name[0] != 'o':
			w.toCaller(c, m)
		case call == nil:
		default:
			w.unread[c] = append(w.unread[c], wireSent{m.Type, m.Call})
			if m.Type == wire.TypeSetUp {
				w.setUpGoes(c, m.Call, call)
			} else if m.Type == wire.TypeRelease {
				w.endGoes(c, m.Call, call)
			}
		}
	}
}

func (w *laneWorld) setUpGoes(c *fakeConn, id uint64, call *worldCall) {
	call.pick = w.laner.picks[id]
	if call.out != nil || w.now < call.guard {
		w.fault("set-up %x on %s while one is out, or within the guard", id, c.name)
	}
	call.out = c
	_, lane, _ := strings.Cut(c.name, ".")
	w.seen["set-up "+laneNames[call.pick]]++
	switch owner, owned := w.session[c]; {
	case (lane == "") != (call.pick == pooling.Any):
		w.fault("set-up %x is to go on %s and went on %s", id, laneNames[call.pick], c.name)
	case call.pick == pooling.Own:
		if owned && owner != call.by.session || w.pool[c] {
			w.fault("set-up %x of session %d on %s, which is not its own", id, call.by.session, c.name)
		}
		w.session[c] = call.by.session
	case call.pick == pooling.Taken:
		if w.holder[c] != 0 || owned {
			w.fault("set-up %x on %s, which %x has", id, c.name, w.holder[c])
		}
		w.holder[c], w.pool[c] = id, true
	}
	lanes := 0
	for _, l := range w.live {
		if strings.Contains(l.name, ".") {
			lanes++
		}
	}
	if lanes > 10 {
		w.fault("%d lanes", lanes)
	}
}

func (w *laneWorld) endGoes(c *fakeConn, id uint64, call *worldCall) {
	w.free(id)
	if call.out != nil && call.out.place() == c.place() {
		if call.out != c && !call.out.dead {
			w.fault("the give-up of %x on %s overtakes its set-up on %s", id, c.name, call.out.name)
		}
		call.out, call.guard = nil, w.now+200_000
		w.seen["give-up"]++
	} else if s := call.at[c.place()].stands; s != nil && s != c && !s.dead && call.pick != pooling.Any {
		w.fault("the end of %x on %s, not on %s", id, c.name, s.name)
	}
}

// free notes that a call has its lane no more.
func (w *laneWorld) free(id uint64) {
	for c, h := range w.holder {
		if h == id {
			delete(w.holder, c)
		}
	}
}

func (w *laneWorld) toCaller(c *fakeConn, m wire.Message) {
	call := w.calls[m.Call]
	switch {
	case call == nil || m.Type != wire.TypeAnswer && m.Type != wire.TypeRelease:
	case m.Type == wire.TypeAnswer || !call.final:
		if call.final || call.by.conn != c {
			w.fault("a second answer for %x, or another's", m.Call)
		}
		call.final, call.told = true, m.Type == wire.TypeAnswer && !call.done // else its give-up crosses this
		if m.Cause() == wire.CauseCongestion {
			w.seen["refused"]++
		}
	default: // the end of a call that stood
		for _, side := range call.at {
			if m.Cause() == wire.CauseCut && call.told && side.stands != nil && !side.stands.dead {
				w.fault("%x is cut, and its connection %s is there", m.Call, side.stands.name)
			}
		}
		call.told = false
		w.say(c, wire.Message{Type: wire.TypeHeard, Call: m.Call})
	}
}

// closed is the end of a connection that the program closed: what was written to it is read.
func (w *laneWorld) closed(c *fakeConn) {
	if c.name[0] != 'o' {
		return
	}
	for _, caller := range w.callers {
		if s, owned := w.session[c]; owned && s == caller.session && !caller.conn.dead && w.laner.modes[w.laner.callers[s-1]] != "taken" {
			w.fault("%s is closed, and its caller is connected", c.name)
		}
	}
	w.read(c, true)
	w.lost(c)
}

// lost is the end of a connection to an office.
func (w *laneWorld) lost(c *fakeConn) {
	c.dead = true
	w.live = slices.DeleteFunc(w.live, func(l *fakeConn) bool { return l == c })
	delete(w.unread, c)
	delete(w.holder, c)
	for _, call := range w.calls {
		if call.out == c {
			call.out, call.guard = nil, w.now+200_000
		}
		if side := &call.at[c.place()]; side.open == c {
			side.open = nil
		}
	}
}

// say brings a message to the program, if its connection is there.
func (w *laneWorld) say(c *fakeConn, m wire.Message) {
	b, err := m.Append(nil)
	if err == nil && !c.dead {
		w.ready = append(w.ready, Arrival{Kind: Data, At: w.now, Conn: c, Data: b})
	}
}

// read lets an office read what came on a connection; quiet: it does not reply.
func (w *laneWorld) read(c *fakeConn, quiet bool) {
	unread := w.unread[c]
	delete(w.unread, c)
	for _, m := range unread {
		side := &w.calls[m.call].at[c.place()]
		switch m.kind {
		case wire.TypeSetUp:
			side.open = c
		case wire.TypeRelease:
			if side.open == c {
				side.open = nil
			}
			side.stands = nil
			if !quiet && w.rng.IntN(20) > 0 {
				w.say(c, wire.Message{Type: wire.TypeHeard, Call: m.call})
			}
		}
	}
}

func (w *laneWorld) each(do func(id uint64, c *worldCall)) {
	for id := uint64(1); id <= w.ids; id++ {
		do(id, w.calls[id])
	}
}

// tick lets a little time pass in which things happen; calm: nothing new does.
func (w *laneWorld) tick(calm bool) {
	w.until(w.now + 3000 + w.rng.Int64N(20_000))
	chance := func(one int) bool { return w.rng.IntN(one) == 0 }
	for _, c := range slices.Clone(w.live) {
		if !w.asleep && (calm || !chance(4)) {
			w.read(c, false)
		}
		if !calm && chance(150) {
			w.lost(c)
			w.ready = append(w.ready, Arrival{Kind: Closed, At: w.now, Conn: c, Err: io.EOF})
		}
	}
	w.each(func(id uint64, c *worldCall) {
		for i := range c.at {
			w.work(id, c, &c.at[i], calm, chance)
		}
		if c.told && (calm || chance(20)) || !c.final && !c.done && !calm && chance(200) {
			by := w.callers[w.rng.IntN(len(w.callers))].conn
			if !c.final {
				by, c.done = c.by.conn, true
			}
			c.told = false
			w.say(by, wire.ReleaseOf(id, wire.CauseNormal))
		}
	})
	if !calm {
		w.happen(chance)
	}
	w.step()
	for _, o := range w.s.offices.All() {
		for i := 0; o.Room != nil && i < len(o.Room.Queue); i++ {
			c := o.Room.Queue[i].Call
			w.seen["waits"]++
			if waits := w.now - (c.Deadline - c.SetUp.Wait); waits > w.s.set.Classes[w.s.classes[c.SetUp.Class]].Aim+100_000 {
				w.fault("%x has waited %d ms for room", c.ID, waits/1000)
			}
		}
	}
}

// work lets an office go on with a call.
func (w *laneWorld) work(id uint64, c *worldCall, side *worldSide, calm bool, chance func(int) bool) {
	switch {
	case side.open != nil && (calm || chance(2)):
		on := side.open
		side.open = nil
		r := w.rng.IntN(10)
		if c.out == on {
			if c.out = nil; r >= 8 {
				w.free(id)
			}
		}
		if r < 8 {
			side.stands = on
			w.say(on, wire.Message{Type: wire.TypeAnswer, Call: id, Params: []wire.Param{wire.Text(wire.ParamDescription, "d")}})
		} else {
			w.say(on, wire.ReleaseOf(id, []byte{wire.CauseMissing, wire.CauseBusy}[r-8]))
		}
	case side.stands != nil && c.told && !calm && chance(150):
		on := side.stands
		if on.dead {
			k := slices.IndexFunc(w.live, func(l *fakeConn) bool { return l.place() == on.place() })
			if k < 0 {
				break
			}
			on = w.live[k]
		}
		side.stands = nil
		w.free(id)
		w.say(on, wire.ReleaseOf(id, wire.CauseNormal))
	}
}

// happen is what begins and what goes wrong.
func (w *laneWorld) happen(chance func(int) bool) {
	for range w.rng.IntN(3) {
		by := w.callers[w.rng.IntN(len(w.callers))]
		w.ids++
		w.calls[w.ids] = &worldCall{by: by}
		m := wire.SetUp{Class: []string{"balance-check", "sale-auth"}[w.rng.IntN(2)], Number: "n/1",
			Description: []byte("offer")}.Onward(w.ids, 300_000+w.rng.Int64N(4_000_000))
		m.Params = append(m.Params, wire.Text(wire.ParamInfo, fmt.Sprintf("dest:%d;width:1;via:-1", w.rng.IntN(2))))
		w.say(by.conn, m)
	}
	if chance(40) {
		modes := []string{"own", "taken", "any", "taken"}
		w.laner.modes[w.laner.callers[w.rng.IntN(len(w.laner.callers))]] = modes[w.rng.IntN(len(modes))]
	}
	if chance(60) {
		i := w.rng.IntN(len(w.callers))
		w.leave(w.callers[i])
		w.callers[i] = w.connects()
	}
	if chance(150) { // longer than calls are kept for an office that refuses
		o := []string{"o1", "o2"}[w.rng.IntN(2)]
		w.refused[o] = w.now + w.rng.Int64N(6_000_000)
		w.policy[o] = "refuse"
		if k := slices.IndexFunc(w.live, func(c *fakeConn) bool { return c.name == o }); k >= 0 {
			c := w.live[k]
			w.lost(c)
			w.ready = append(w.ready, Arrival{Kind: Closed, At: w.now, Conn: c, Err: errors.New("reset")})
		}
	}
	for o, until := range w.refused {
		if w.now >= until {
			w.policy[o] = "accept"
		}
	}
}

func (w *laneWorld) connects() *worldCaller {
	c := &worldCaller{conn: &fakeConn{p: w.player, name: fmt.Sprint("c", len(w.laner.callers))}}
	w.laner.opens = c.conn.name
	w.laner.modes[c.conn.name] = []string{"own", "taken", "any"}[w.rng.IntN(3)]
	w.step(Arrival{Kind: Accepted, At: w.now, Conn: c.conn})
	c.session = len(w.laner.callers)
	return c
}

func (w *laneWorld) leave(c *worldCaller) {
	w.step() // it leaves once what it has sent is taken in
	c.conn.dead = true
	for _, call := range w.calls {
		if call.by == c && !call.final {
			call.done = true
		}
	}
	w.step(Arrival{Kind: Closed, At: w.now, Conn: c.conn, Err: io.EOF})
}

// playLanes plays a day of so many ticks and then lets all come to its end; it returns what did not hold.
func playLanes(t *testing.T, seed uint64, ticks int, without without, seen map[string]int) []string {
	w := &laneWorld{player: newLanePlayer(t, 72), rng: rand.New(rand.NewPCG(seed, 5)), unread: map[*fakeConn][]wireSent{},
		session: map[*fakeConn]int{}, pool: map[*fakeConn]bool{}, holder: map[*fakeConn]uint64{}, calls: map[uint64]*worldCall{},
		refused: map[string]int64{}, seen: seen}
	w.laner.mute, w.s.lanes.without = true, without
	w.wrote, w.shut, w.came = w.took, w.closed, func(c *fakeConn) { w.live = append(w.live, c) }
	for _, a := range w.ready { // those of the start
		if c, ok := a.Conn.(*fakeConn); ok && c.name[0] == 'o' {
			w.live = append(w.live, c)
		}
	}
	w.step()
	for range 6 {
		w.callers = append(w.callers, w.connects())
	}
	for range ticks {
		if w.tick(false); len(w.broken) > 0 {
			return w.broken
		}
		w.lines = nil
	}
	w.asleep = true // what is released now is lost with the lanes
	for range 5 {
		w.tick(false)
	}
	for _, c := range slices.Clone(w.live) {
		if strings.Contains(c.name, ".") {
			w.lost(c)
			w.ready = append(w.ready, Arrival{Kind: Closed, At: w.now, Conn: c, Err: io.EOF})
		}
	}
	w.asleep = false
	clear(w.policy)
	for range 1000 {
		w.tick(true)
	}
	for id, c := range w.calls {
		if !c.final && !c.done {
			w.fault("%x has no final answer", id)
		}
		for _, side := range c.at {
			if side.stands != nil {
				w.fault("%x still stands at its office, on %s", id, side.stands.name)
			}
		}
	}
	for _, c := range w.callers {
		w.leave(c)
	}
	w.until(w.now + 4*remember)
	n := &w.s.lanes
	left := n.count + len(n.followed) + len(n.tells)
	for _, o := range w.s.offices.All() {
		left += len(o.Lanes) + len(o.Own) + len(o.Free)
		if o.Room != nil {
			left += len(o.Room.Queue)
		}
		for _, l := range append([]*state.Lane{&o.Lane}, o.Lanes...) {
			left += len(l.Out) + len(l.Queue) + l.Stands
		}
	}
	if left != 0 {
		w.fault("%d lanes, %d calls, %d releases are left; %d in all", n.count, len(n.followed), len(n.tells), left)
	}
	return w.broken
}

func TestLanesInAWorldOfFaults(t *testing.T) {
	days := 16
	if testing.Short() {
		days = 8
	}
	seen := map[string]int{}
	for seed := range uint64(days) {
		if broken := playLanes(t, seed, 1500, without{}, seen); len(broken) > 0 {
			t.Errorf("seed %d: %s", seed, strings.Join(broken[:min(3, len(broken))], "; "))
		}
	}
	t.Log(seen)
	for _, what := range []string{"set-up own", "set-up taken", "set-up any", "give-up", "waits", "refused"} {
		if seen[what] < days {
			t.Errorf("%s: %d in %d days", what, seen[what], days)
		}
	}
}

// Each guard is needed: without it the same world finds what it is for.
func TestEachGuardOfLanesIsNeeded(t *testing.T) {
	for _, c := range []struct {
		without without
		finds   string
	}{
		{without{shareTaken: true}, "which"},
		{without{spill: true}, "is to go on"},
		{without{keepLost: true}, "still stands at its office"},
		{without{crossGiveUp: true}, "overtakes"},
		{without{noBound: true}, "lanes"},
		{without{forgetHolder: true}, "are left"},
		{without{cutHeld: true}, "is cut, and its connection"},
		{without{waitOn: true}, "for room"},
		{without{clearOwn: true}, "its caller is connected"},
	} {
		caught := ""
		for seed := uint64(0); seed < 40 && !strings.Contains(caught, c.finds); seed++ {
			caught = strings.Join(playLanes(t, seed, 1500, c.without, map[string]int{}), "; ")
		}
		if !strings.Contains(caught, c.finds) {
			t.Errorf("%+v was not caught; found: %.200s", c.without, caught)
		}
	}
}
