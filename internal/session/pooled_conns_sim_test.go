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

// connSim simulates callers and two offices of a session whose calls use pooled connections, by a seed. Offices read
// late, lose unread messages when a connection ends, end connections and refuse new ones; verdicts change.
// Every message is checked against the rules for pooled connections.
type connSim struct {
	*player
	rng           *rand.Rand
	officeConns   []*fakeConn                 // to offices
	unread        map[*fakeConn][]sentMessage // by an office
	ownerSession  map[*fakeConn]int           // of a connection owned by a caller
	shared        map[*fakeConn]bool          // connections that a call has held exclusively
	holder        map[*fakeConn]uint64        // the call that holds the connection now
	callers       []*simCaller
	calls         map[uint64]*simCall
	lastID        uint64
	violations    []string
	refused       map[string]int64 // offices that refuse connects, and until when
	seen          map[string]int
	officesPaused bool // offices read nothing
}

type sentMessage struct {
	kind wire.Type
	call uint64
}

type simCaller struct {
	conn    *fakeConn
	session int
}

type simCall struct {
	caller           *simCaller
	pick             pooling.ConnectionKind
	sentOn           *fakeConn // where a set-up is outstanding, as the process sees it
	guardUntil       int64
	offices          [2]officeSide
	knowsEstablished bool // its caller knows that it is established
	answered         bool
	cancelled        bool // its caller expects no answer any more
}

// officeSide is an office's state of a call.
type officeSide struct {
	openOn        *fakeConn // where the set-up arrived
	establishedOn *fakeConn // where it was answered
}

// officeIndex returns the index of the office that a connection leads to.
func (c *fakeConn) officeIndex() int { return int(c.name[1] - '1') }

func (w *connSim) fault(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%d ms: ", w.now/1000)+fmt.Sprintf(format, args...))
}

// messages returns the messages in one write, each of which holds complete messages only.
func messages(b []byte) (ms []wire.Message) {
	for len(b) > 0 {
		message, n, err := wire.Next(b)
		if err != nil || n == 0 {
			return ms
		}
		ms, b = append(ms, message), b[n:]
	}
	return ms
}

func (w *connSim) handleWrite(conn *fakeConn, b []byte) {
	for _, message := range messages(b) {
		call := w.calls[message.Call]
		switch {
		case conn.name[0] == 'j':
		case conn.name[0] != 'o':
			w.handleToCaller(conn, message)
		case call == nil:
		default:
			w.unread[conn] = append(w.unread[conn], sentMessage{message.Type, message.Call})
			if message.Type == wire.TypeSetUp {
				w.handleSetUp(conn, message.Call, call)
			} else if message.Type == wire.TypeRelease {
				w.handleRelease(conn, message.Call, call)
			}
		}
	}
}

func (w *connSim) handleSetUp(conn *fakeConn, id uint64, call *simCall) {
	call.pick = w.connSelector.picks[id]
	if call.sentOn != nil || w.now < call.guardUntil {
		w.fault("set-up %x on %s while one is outstanding, or within the guard", id, conn.name)
	}
	call.sentOn = conn
	_, number, _ := strings.Cut(conn.name, ".")
	w.seen["set-up "+connKindNames[call.pick]]++
	switch owner, owned := w.ownerSession[conn]; {
	case (number == "") != (call.pick == pooling.AnyConnection):
		w.fault("set-up %x is to go on %s but went on %s", id, connKindNames[call.pick], conn.name)
	case call.pick == pooling.OwnConnection:
		if owned && owner != call.caller.session || w.shared[conn] {
			w.fault("set-up %x of session %d on %s, which is not its own", id, call.caller.session, conn.name)
		}
		w.ownerSession[conn] = call.caller.session
	case call.pick == pooling.ExclusiveConnection:
		if w.holder[conn] != 0 || owned {
			w.fault("set-up %x on %s, which %x holds", id, conn.name, w.holder[conn])
		}
		w.holder[conn], w.shared[conn] = id, true
	}
	conns := 0
	for _, l := range w.officeConns {
		if strings.Contains(l.name, ".") {
			conns++
		}
	}
	if conns > 10 {
		w.fault("%d pooled connections", conns)
	}
}

func (w *connSim) handleRelease(conn *fakeConn, id uint64, call *simCall) {
	w.free(id)
	if call.sentOn != nil && call.sentOn.officeIndex() == conn.officeIndex() {
		if call.sentOn != conn && !call.sentOn.closed {
			w.fault("the cancellation of %x on %s overtakes its set-up on %s", id, conn.name, call.sentOn.name)
		}
		call.sentOn, call.guardUntil = nil, w.now+200_000
		w.seen["cancelled"]++
	} else if s := call.offices[conn.officeIndex()].establishedOn; s != nil && s != conn && !s.closed &&
		call.pick != pooling.AnyConnection {
		w.fault("the release of %x on %s, not on %s", id, conn.name, s.name)
	}
}

// free notes that a call no longer holds its connection.
func (w *connSim) free(id uint64) {
	for conn, h := range w.holder {
		if h == id {
			delete(w.holder, conn)
		}
	}
}

func (w *connSim) handleToCaller(conn *fakeConn, message wire.Message) {
	call := w.calls[message.Call]
	switch {
	case call == nil || message.Type != wire.TypeAnswer && message.Type != wire.TypeRelease:
	case message.Type == wire.TypeAnswer || !call.answered:
		if call.answered || call.caller.conn != conn {
			w.fault("a second answer for %x, or one for another caller", message.Call)
		}
		// A cancellation of the caller crosses the answer.
		call.answered, call.knowsEstablished = true, message.Type == wire.TypeAnswer && !call.cancelled
		if message.Cause() == wire.CauseCongestion {
			w.seen["refused"]++
		}
	default: // the release of an established call
		for _, side := range call.offices {
			if message.Cause() == wire.CauseCut && call.knowsEstablished && side.establishedOn != nil &&
				!side.establishedOn.closed {
				w.fault("%x is cut, though its connection %s is open", message.Call, side.establishedOn.name)
			}
		}
		call.knowsEstablished = false
		w.send(conn, wire.Message{Type: wire.TypeHeard, Call: message.Call})
	}
}

// handleClose handles a connection closed by the process: what was written to it is read.
func (w *connSim) handleClose(conn *fakeConn) {
	if conn.name[0] != 'o' {
		return
	}
	for _, caller := range w.callers {
		if s, owned := w.ownerSession[conn]; owned && s == caller.session && !caller.conn.closed &&
			w.connSelector.modes[w.connSelector.callers[s-1]] != "taken" {
			w.fault("%s is closed, though its caller is connected", conn.name)
		}
	}
	w.readMessages(conn, true)
	w.loseConn(conn)
}

// loseConn handles the end of a connection to an office.
func (w *connSim) loseConn(conn *fakeConn) {
	conn.closed = true
	w.officeConns = slices.DeleteFunc(w.officeConns, func(l *fakeConn) bool { return l == conn })
	delete(w.unread, conn)
	delete(w.holder, conn)
	for _, call := range w.calls {
		if call.sentOn == conn {
			call.sentOn, call.guardUntil = nil, w.now+200_000
		}
		if side := &call.offices[conn.officeIndex()]; side.openOn == conn {
			side.openOn = nil
		}
	}
}

// send delivers a message to the process if its connection is open.
func (w *connSim) send(conn *fakeConn, message wire.Message) {
	b, err := message.Append(nil)
	if err == nil && !conn.closed {
		w.pendingArrivals = append(w.pendingArrivals, Arrival{Kind: Data, At: w.now, Conn: conn, Data: b})
	}
}

// readMessages lets an office read what arrived on a connection; quiet: it sends no replies.
func (w *connSim) readMessages(conn *fakeConn, quiet bool) {
	unread := w.unread[conn]
	delete(w.unread, conn)
	for _, m := range unread {
		side := &w.calls[m.call].offices[conn.officeIndex()]
		switch m.kind {
		case wire.TypeSetUp:
			side.openOn = conn
		case wire.TypeRelease:
			if side.openOn == conn {
				side.openOn = nil
			}
			side.establishedOn = nil
			if !quiet && w.rng.IntN(20) > 0 {
				w.send(conn, wire.Message{Type: wire.TypeHeard, Call: m.call})
			}
		}
	}
}

func (w *connSim) eachCall(do func(id uint64, call *simCall)) {
	for id := uint64(1); id <= w.lastID; id++ {
		do(id, w.calls[id])
	}
}

// tick advances the clock a little with random events; calm: nothing new begins.
func (w *connSim) tick(calm bool) {
	w.until(w.now + 3000 + w.rng.Int64N(20_000))
	chance := func(one int) bool { return w.rng.IntN(one) == 0 }
	for _, conn := range slices.Clone(w.officeConns) {
		if !w.officesPaused && (calm || !chance(4)) {
			w.readMessages(conn, false)
		}
		if !calm && chance(150) {
			w.loseConn(conn)
			w.pendingArrivals = append(w.pendingArrivals, Arrival{Kind: Closed, At: w.now, Conn: conn, Err: io.EOF})
		}
	}
	w.eachCall(func(id uint64, c *simCall) {
		for i := range c.offices {
			w.advanceCall(id, c, &c.offices[i], calm, chance)
		}
		if c.knowsEstablished && (calm || chance(20)) || !c.answered && !c.cancelled && !calm && chance(200) {
			by := w.callers[w.rng.IntN(len(w.callers))].conn
			if !c.answered {
				by, c.cancelled = c.caller.conn, true
			}
			c.knowsEstablished = false
			w.send(by, wire.ReleaseOf(id, wire.CauseNormal))
		}
	})
	if !calm {
		w.injectEvents(chance)
	}
	w.step()
	for _, office := range w.s.offices.All() {
		for i := 0; office.Overflow != nil && i < len(office.Overflow.Queue); i++ {
			call := office.Overflow.Queue[i].Call
			w.seen["waits"]++
			if waits := w.now - (call.Deadline - call.SetUp.Wait); waits >
				w.s.settings.Classes[w.s.classIndex[call.SetUp.Class]].Aim+100_000 {
				w.fault("%x has waited %d ms for a pooled connection", call.ID, waits/1000)
			}
		}
	}
}

// advanceCall advances a call at an office.
func (w *connSim) advanceCall(id uint64, call *simCall, side *officeSide, calm bool, chance func(int) bool) {
	switch {
	case side.openOn != nil && (calm || chance(2)):
		on := side.openOn
		side.openOn = nil
		r := w.rng.IntN(10)
		if call.sentOn == on {
			if call.sentOn = nil; r >= 8 {
				w.free(id)
			}
		}
		if r < 8 {
			side.establishedOn = on
			w.send(on, wire.Message{Type: wire.TypeAnswer, Call: id,
				Params: []wire.Param{wire.Text(wire.ParamDescription, "d")}})
		} else {
			w.send(on, wire.ReleaseOf(id, []byte{wire.CauseMissing, wire.CauseBusy}[r-8]))
		}
	case side.establishedOn != nil && call.knowsEstablished && !calm && chance(150):
		on := side.establishedOn
		if on.closed {
			k := slices.IndexFunc(w.officeConns, func(l *fakeConn) bool { return l.officeIndex() == on.officeIndex() })
			if k < 0 {
				break
			}
			on = w.officeConns[k]
		}
		side.establishedOn = nil
		w.free(id)
		w.send(on, wire.ReleaseOf(id, wire.CauseNormal))
	}
}

// injectEvents starts new calls and causes faults.
func (w *connSim) injectEvents(chance func(int) bool) {
	for range w.rng.IntN(3) {
		by := w.callers[w.rng.IntN(len(w.callers))]
		w.lastID++
		w.calls[w.lastID] = &simCall{caller: by}
		message := wire.SetUp{Class: []string{"balance-check", "sale-auth"}[w.rng.IntN(2)], Number: "n/1",
			Description: []byte("offer")}.Onward(w.lastID, 300_000+w.rng.Int64N(4_000_000))
		message.Params = append(message.Params,
			wire.Text(wire.ParamInfo, fmt.Sprintf("dest:%d;width:1;via:-1", w.rng.IntN(2))))
		w.send(by.conn, message)
	}
	if chance(40) {
		modes := []string{"own", "taken", "any", "taken"}
		w.connSelector.modes[w.connSelector.callers[w.rng.IntN(len(w.connSelector.callers))]] = modes[w.rng.IntN(len(modes))]
	}
	if chance(60) {
		i := w.rng.IntN(len(w.callers))
		w.disconnectCaller(w.callers[i])
		w.callers[i] = w.connectCaller()
	}
	if chance(150) { // longer than calls are kept for an office that refuses
		o := []string{"o1", "o2"}[w.rng.IntN(2)]
		w.refused[o] = w.now + w.rng.Int64N(6_000_000)
		w.connectPolicy[o] = "refuse"
		if k := slices.IndexFunc(w.officeConns, func(conn *fakeConn) bool { return conn.name == o }); k >= 0 {
			conn := w.officeConns[k]
			w.loseConn(conn)
			w.pendingArrivals = append(w.pendingArrivals, Arrival{Kind: Closed, At: w.now, Conn: conn, Err: errors.New("reset")})
		}
	}
	for o, until := range w.refused {
		if w.now >= until {
			w.connectPolicy[o] = "accept"
		}
	}
}

func (w *connSim) connectCaller() *simCaller {
	caller := &simCaller{conn: &fakeConn{p: w.player, name: fmt.Sprint("c", len(w.connSelector.callers))}}
	w.connSelector.nextCaller = caller.conn.name
	w.connSelector.modes[caller.conn.name] = []string{"own", "taken", "any"}[w.rng.IntN(3)]
	w.step(Arrival{Kind: Accepted, At: w.now, Conn: caller.conn})
	caller.session = len(w.connSelector.callers)
	return caller
}

func (w *connSim) disconnectCaller(caller *simCaller) {
	w.step() // it disconnects once what it has sent is handled
	caller.conn.closed = true
	for _, call := range w.calls {
		if call.caller == caller && !call.answered {
			call.cancelled = true
		}
	}
	w.step(Arrival{Kind: Closed, At: w.now, Conn: caller.conn, Err: io.EOF})
}

// runConnSim runs the simulation for a number of ticks, then lets everything finish. It returns the violations
// found.
func runConnSim(t *testing.T, seed uint64, ticks int, disabled disabledGuards, events map[string]int) []string {
	sim := &connSim{player: newPooledConnPlayer(t, 72), rng: rand.New(rand.NewPCG(seed, 5)),
		unread:       map[*fakeConn][]sentMessage{},
		ownerSession: map[*fakeConn]int{}, shared: map[*fakeConn]bool{}, holder: map[*fakeConn]uint64{},
		calls:   map[uint64]*simCall{},
		refused: map[string]int64{}, seen: events}
	sim.connSelector.silent, sim.s.pooled.disabled = true, disabled
	sim.onWrite, sim.onClose, sim.onConnect = sim.handleWrite, sim.handleClose,
		func(conn *fakeConn) { sim.officeConns = append(sim.officeConns, conn) }
	for _, arrival := range sim.pendingArrivals { // the connections opened at the start
		if conn, ok := arrival.Conn.(*fakeConn); ok && conn.name[0] == 'o' {
			sim.officeConns = append(sim.officeConns, conn)
		}
	}
	sim.step()
	for range 6 {
		sim.callers = append(sim.callers, sim.connectCaller())
	}
	for range ticks {
		if sim.tick(false); len(sim.violations) > 0 {
			return sim.violations
		}
		sim.lines = nil
	}
	sim.officesPaused = true // releases sent now are lost with the pooled connections
	for range 5 {
		sim.tick(false)
	}
	for _, conn := range slices.Clone(sim.officeConns) {
		if strings.Contains(conn.name, ".") {
			sim.loseConn(conn)
			sim.pendingArrivals = append(sim.pendingArrivals, Arrival{Kind: Closed, At: sim.now, Conn: conn, Err: io.EOF})
		}
	}
	sim.officesPaused = false
	clear(sim.connectPolicy)
	for range 1000 {
		sim.tick(true)
	}
	for id, call := range sim.calls {
		if !call.answered && !call.cancelled {
			sim.fault("%x has no final answer", id)
		}
		for _, side := range call.offices {
			if side.establishedOn != nil {
				sim.fault("%x is still established at its office, on %s", id, side.establishedOn.name)
			}
		}
	}
	for _, caller := range sim.callers {
		sim.disconnectCaller(caller)
	}
	sim.until(sim.now + 4*state.EndedCallTTL)
	pooled := &sim.s.pooled
	left := pooled.count + len(pooled.tracked) + len(pooled.sentReleases)
	for _, office := range sim.s.offices.All() {
		left += len(office.Pooled) + len(office.CallerConns) + len(office.FreeConns)
		if office.Overflow != nil {
			left += len(office.Overflow.Queue)
		}
		for _, officeConn := range append([]*state.OfficeConn{&office.OfficeConn}, office.Pooled...) {
			left += len(officeConn.Outstanding) + len(officeConn.Queue) + officeConn.EstablishedCount
		}
	}
	if left != 0 {
		sim.fault("%d pooled connections, %d calls, %d releases are left; %d in all", pooled.count, len(pooled.tracked),
			len(pooled.sentReleases), left)
	}
	return sim.violations
}

func TestPooledConnsUnderRandomFaults(t *testing.T) {
	days := 16
	if testing.Short() {
		days = 8
	}
	seen := map[string]int{}
	for seed := range uint64(days) {
		if broken := runConnSim(t, seed, 1500, disabledGuards{}, seen); len(broken) > 0 {
			t.Errorf("seed %d: %s", seed, strings.Join(broken[:min(3, len(broken))], "; "))
		}
	}
	t.Log(seen)
	for _, what := range []string{"set-up own", "set-up taken", "set-up any", "cancelled", "waits", "refused"} {
		if seen[what] < days {
			t.Errorf("%s: %d in %d days", what, seen[what], days)
		}
	}
}

// Each guard is needed: without it the same simulation finds the violation that it prevents.
func TestEachPooledConnGuardIsNeeded(t *testing.T) {
	for _, c := range []struct {
		without disabledGuards
		finds   string
	}{
		{disabledGuards{exclusiveConn: true}, "which"},
		{disabledGuards{waitForConn: true}, "is to go on"},
		{disabledGuards{repeatLost: true}, "is still established at its office"},
		{disabledGuards{cancelInOrder: true}, "overtakes"},
		{disabledGuards{connLimit: true}, "pooled connections"},
		{disabledGuards{returnConn: true}, "are left"},
		{disabledGuards{keepOnOpenConn: true}, "is cut, though its connection"},
		{disabledGuards{waitLimit: true}, "for a pooled connection"},
		{disabledGuards{keepOwned: true}, "though its caller is connected"},
	} {
		caught := ""
		for seed := uint64(0); seed < 40 && !strings.Contains(caught, c.finds); seed++ {
			caught = strings.Join(runConnSim(t, seed, 1500, c.without, map[string]int{}), "; ")
		}
		if !strings.Contains(caught, c.finds) {
			t.Errorf("%+v was not caught; found: %.200s", c.without, caught)
		}
	}
}
