package session

import (
	"bufio"
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"pewterwheel/internal/membership"
	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

// Each file in testdata is a recorded exchange with one line per event, beginning with its millisecond:
//
//	10 a open                 a caller connects; close: it closes the connection
//	10 a > [01 0000…01 …]     bytes from the caller a, the office o1 or the journal j
//	10 a < [0c …]             bytes written by the program; shut: the program closed the connection
//	10 a waiting              from now on data waits on the connection, unread or unsent; idle: no longer
//	10 a gone                 the caller has closed the connection, which is not reported yet
//	10 o1 stuck               from now on written data is not sent completely; taken: it has been sent
//	10 o1 reset               the connection has ended unnoticed: writes to it fail
//	10 o1 refuse              result of connects from now on: accept, refuse, silent, short (of descriptors here)
//	10 term                   SIGTERM; end: the program has exited
//	10 hup                    SIGHUP: the journal service is at j2 from now on
//	10 q1 open                a client connects to the control address
//
// In bytes, [ ] stand for a two-byte length and the content it counts, { } for a four-byte one, "" for text, and
// everything else is hex. The program's output is compared with the recording, to the byte and the millisecond.
var update = flag.Bool("update", false, "record what the program does now")

const settings = `{"areas":["lisboa"],"balancers":2,"quantum_us":5000,"classes":[
{"name":"balance-check","aim_us":1500000,"deadline_us":9000000,"importance":1,"late_worth":0.25,"effect":"free"},
{"name":"sale-auth","aim_us":800000,"deadline_us":6000000,"importance":6,"late_worth":0.1,"effect":"free"}],
"family_info":{"class_cells":[[0,1],[0,1]],"class_width":[1,1],"guard_us":200000,"resend_us":500000,"home_no":-1},
"policy_limits":{"dial_timeout_us":500000,"max_retry_after_us":2000000,"may_cancel":true,"most_tries":6,
"most_held":20,"retry_after":true},"rules":{"answer_slack_us":20000,"cold_us":13000000,"drain_grace_us":1000000,
"fall_multiple":3,"fall_us":1500000,"start_capacity":0.28}}`

const knownList = `{"pos":1,"entries":[{"pos":1,"hosts":{"seq":1,"whole":true,"hosts":[
{"host":"s-00000001","dial":"127.0.0.1:1001","site":"lisboa","block":0,"health":"SERVING","share":1},
{"host":"s-00000002","dial":"127.0.0.1:1002","site":"lisboa","block":1,"health":"SERVING","share":1}]}}]}`

var connNames = map[string]string{"127.0.0.1:1001": "o1", "127.0.0.1:1002": "o2", "127.0.0.1:1003": "o3",
	"journal": "j", "journal2": "j2"}

// player simulates the environment of a session, including its clock.
type player struct {
	t               testing.TB
	s               *Session
	now             int64
	conns           map[string]*fakeConn
	connectPolicy   map[string]string
	pendingArrivals []Arrival
	lines           []string
	ended           bool
	// listenerClosing: StopAccepting was called. holdsListenerClosed: only the test reports that the listener is closed.
	listenerClosing, holdsListenerClosed bool
	connSelector                         *fakeConnSelector       // nil: calls are not assigned to pooled connections
	onWrite                              func(*fakeConn, []byte) // receives what is written; nil: recorded in lines
	onClose, onConnect                   func(*fakeConn)         // called for closed and opened connections
	greeting                             func(*fakeConn) []byte  // an office's first message on a connection
	split                                func(n int) int         // where data of length n is split; nil: nowhere
}

type fakeConn struct {
	p      *player
	name   string
	closed bool
	// Data has arrived and is unread, or written data has not been sent completely.
	waiting bool
	// peerClosed: the peer has closed it, which is not reported yet. unsent: some written data has not left.
	// blocksWrites: written data does not leave at once.
	peerClosed, unsent, blocksWrites bool
}

func (c *fakeConn) Pending() bool { return c.waiting || c.unsent }

func (c *fakeConn) Unread() bool { return c.waiting }

func (c *fakeConn) Unsent() bool { return c.unsent }

func (c *fakeConn) PeerClosed() bool { return c.peerClosed }

func (c *fakeConn) MarkTrusted() {}

func (c *fakeConn) Write(b []byte) (int, error) {
	if c.closed {
		return 0, errors.New("closed")
	}
	c.unsent = c.unsent || c.blocksWrites
	if c.p.onWrite != nil {
		c.p.onWrite(c, b)
		return len(b), nil
	}
	c.p.note(c.name + " < " + render(b))
	return len(b), nil
}

func (c *fakeConn) Close() error {
	if !c.closed {
		c.closed = true
		c.p.note(c.name + " shut")
		if c.p.onClose != nil {
			c.p.onClose(c)
		}
	}
	return nil
}

func (p *player) note(line string) {
	p.lines = append(p.lines, fmt.Sprintf("%d %s", p.now/1000, line))
}

func (p *player) Dial(address string, id uint64) {
	name := connNames[address]
	arrival := Arrival{Kind: Dialled, At: p.now, Dial: id}
	switch p.connectPolicy[name] {
	case "silent":
		return
	case "refuse":
		arrival.Err = fmt.Errorf("connect: %w", syscall.ECONNREFUSED)
	case "short":
		arrival.Err = fmt.Errorf("socket: %w", syscall.EMFILE)
	default:
		if p.s != nil && p.s.dials[id] != nil && p.s.dials[id].Number == collectorNumber {
			name += ".collector"
		} else if p.s != nil && p.s.dials[id] != nil && p.s.dials[id].Number != 0 {
			name = fmt.Sprintf("%s.%d", name, p.s.dials[id].Number)
		}
		conn := &fakeConn{p: p, name: name}
		p.conns[name], arrival.Conn = conn, conn
		if p.onConnect != nil && name[0] == 'o' {
			p.onConnect(conn)
		}
	}
	p.pendingArrivals = append(p.pendingArrivals, arrival)
	if conn, up := arrival.Conn.(*fakeConn); up && p.greeting != nil && name[0] == 'o' {
		if data := p.greeting(conn); len(data) > 0 {
			p.pendingArrivals = append(p.pendingArrivals, Arrival{Kind: Data, At: p.now, Conn: conn, Data: data})
		}
	}
}

// StopAccepting reports a closed listener in the next round, or leaves that to the test.
func (p *player) StopAccepting() {
	if p.listenerClosing = true; !p.holdsListenerClosed {
		p.pendingArrivals = append(p.pendingArrivals, Arrival{Kind: ListenerClosed, At: p.now})
	}
}

func (p *player) step(arrivals ...Arrival) {
	p.s.Step(p.now, arrivals)
	for _, arrival := range arrivals { // the buffer is reused after the round, so nothing may keep a reference to it
		for i := range arrival.Data {
			arrival.Data[i] = 0xdb
		}
	}
	for len(p.pendingArrivals) > 0 {
		ready := p.pendingArrivals
		p.pendingArrivals = nil
		p.s.Step(p.now, ready)
	}
	if p.s.Done() && !p.ended {
		p.ended = true
		p.note("end")
	}
}

// until advances the clock without arrivals.
func (p *player) until(at int64) {
	for p.s.Next() <= at && !p.s.Done() {
		p.now = max(p.now, p.s.Next())
		p.step()
	}
	p.now = at
}

func (p *player) play(line string) {
	words := strings.SplitN(line, " ", 4)
	ms, err := strconv.ParseInt(words[0], 10, 64)
	if err != nil {
		p.t.Fatalf("line %q: %v", line, err)
	}
	p.until(ms * 1000)
	p.lines = append(p.lines, line)
	if words[1] == "term" {
		p.step(Arrival{Kind: Shutdown, At: p.now})
		return
	}
	if words[1] == "hup" {
		p.step(Arrival{Kind: Reload, At: p.now, Update: membership.Update{Address: "journal2"}})
		return
	}
	if words[1] == "verdict" {
		p.connSelector.modes[words[2]] = words[3]
		return
	}
	name, conn := words[1], p.conns[words[1]]
	switch words[2] {
	case "open":
		conn = &fakeConn{p: p, name: name}
		p.conns[name] = conn
		if p.connSelector != nil {
			p.connSelector.nextCaller = name
		}
		kind := Accepted
		if name[0] == 'q' {
			kind = ControlAccepted
		}
		p.step(Arrival{Kind: kind, At: p.now, Conn: conn})
	case "reset":
		conn.closed = true
	case "waiting", "idle":
		conn.waiting = words[2] == "waiting"
	case "gone":
		conn.peerClosed = true
	case "stuck", "taken":
		conn.unsent = words[2] == "stuck"
	case "close":
		conn.closed = true
		p.step(Arrival{Kind: Closed, At: p.now, Conn: conn, Err: io.EOF})
	case ">":
		var as []Arrival
		data := parse(p.t, words[3])
		for p.split != nil && len(data) > 1 {
			n := p.split(len(data))
			as = append(as, Arrival{Kind: Data, At: p.now, Conn: conn, Data: data[:n:n]})
			data = data[n:]
		}
		p.step(append(as, Arrival{Kind: Data, At: p.now, Conn: conn, Data: data})...)
	default:
		p.connectPolicy[name] = words[2]
	}
}

// parse converts the notation of the recordings to bytes.
func parse(t testing.TB, text string) []byte {
	var open []int
	var b []byte
	for i := 0; i < len(text); i++ {
		switch c := text[i]; c {
		case ' ':
		case '[', '{':
			open = append(open, len(b))
			b = append(b, make([]byte, map[byte]int{'[': 2, '{': 4}[c])...)
		case ']', '}':
			at := open[len(open)-1]
			open = open[:len(open)-1]
			width := map[byte]int{']': 2, '}': 4}[c]
			for k, n := width-1, len(b)-at-width; k >= 0; k, n = k-1, n>>8 {
				b[at+k] = byte(n)
			}
		case '"':
			end := i + 1 + strings.IndexByte(text[i+1:], '"')
			b = append(b, text[i+1:end]...)
			i = end
		default:
			v, err := hex.DecodeString(text[i : i+2])
			if err != nil {
				t.Fatalf("bytes %q: %v", text, err)
			}
			b = append(b, v...)
			i++
		}
	}
	return b
}

// render converts bytes to the notation of the recordings.
func render(b []byte) string {
	message, n, err := wire.Next(b)
	if text, ok := strings.CutSuffix(string(b), "\n"); ok && n == 0 {
		return `"` + strings.ReplaceAll(text, "\n", `" 0a "`) + `" 0a`
	}
	if err != nil || n == 0 || message.Bad {
		return hex.EncodeToString(b)
	}
	text := fmt.Sprintf("[%02x %016x", byte(message.Type), message.Call)
	for _, p := range message.Params {
		value := `"` + string(p.Value) + `"`
		if p.Code == wire.ParamCause || strings.ContainsFunc(string(p.Value), func(r rune) bool {
			return r < ' ' || r > '~' || r == '"'
		}) {
			value = hex.EncodeToString(p.Value)
		}
		text += fmt.Sprintf(" %02x[%s]", p.Code, value)
	}
	if text += "]"; n < len(b) {
		text += render(b[n:])
	}
	return text
}

func newPlayer(t *testing.T) *player { return newPlayerOf(t, Config{Sockets: 1024, Seed: 7}) }

func newPlayerOf(t testing.TB, cfg Config) *player {
	p := &player{t: t, conns: map[string]*fakeConn{}, connectPolicy: map[string]string{}}
	var first wire.Known
	for text, into := range map[string]any{settings: &cfg.Settings, knownList: &first} {
		if err := json.Unmarshal([]byte(text), into); err != nil {
			t.Fatal(err)
		}
	}
	cfg.Source = membership.NewJournal("journal", first, cfg.Settings.Zones)
	var err error
	if p.s, err = New(cfg, p, slog.New(slog.DiscardHandler), 0); err != nil {
		t.Fatal(err)
	}
	return p
}

// The result must not depend on how arriving data is split: it matches the recording to the byte.
func FuzzSplitExchanges(f *testing.F) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		f.Fatalf("no recordings: %v", err)
	}
	for i := range files {
		f.Add(uint8(i), uint64(0)) // one byte at a time
		f.Add(uint8(i), uint64(i)+1)
	}
	f.Fuzz(func(t *testing.T, file uint8, seed uint64) {
		text, err := os.ReadFile(files[int(file)%len(files)])
		if err != nil {
			t.Fatal(err)
		}
		rng := rand.New(rand.NewPCG(seed, 1))
		play := func(split func(int) int) []string {
			p := newPlayer(t)
			p.split = split
			p.step()
			for line := range strings.Lines(string(text)) {
				if fields := strings.Fields(line); len(fields) > 1 && fields[0] != "#" && fields[2%len(fields)] != "<" &&
					!slices.Contains([]string{"shut", "end"}, fields[len(fields)-1]) {
					p.play(strings.TrimSuffix(line, "\n"))
				}
			}
			p.until(p.now + 30_000_000)
			return p.lines
		}
		whole := play(nil)
		split := play(func(n int) int {
			if seed == 0 {
				return 1
			}
			return 1 + rng.IntN(n-1)
		})
		if !slices.Equal(whole, split) {
			t.Errorf("%s: output for split data:\n%s\nfor unsplit data:\n%s", files[int(file)%len(files)],
				strings.Join(split, "\n"), strings.Join(whole, "\n"))
		}
	})
}

// A call is answered in the round in which its caller cancels it. Whichever is read first counts, and the
// office gets a release if no caller has the call.
func TestAnswerAndCancellationInOneRound(t *testing.T) {
	up := `[01 %s 10["balance-check"] 13["3000"] 1c["n/1"] 1f["dest:0;width:1;via:-1"] 3d["offer"]]`
	for _, id := range []string{"0000000000000001", "8000000000000001", "8000000000000000", "ffffffffffffffff"} {
		for _, first := range []string{"answer", "giveup"} {
			p := newPlayer(t)
			p.step()
			p.play("5 a open")
			p.play("10 a > " + fmt.Sprintf(up, id))
			answer := Arrival{Kind: Data, At: p.now, Conn: p.conns["o1"], Data: parse(t, "[09 "+id+` 3d["d"]]`)}
			giveUp := Arrival{Kind: Data, At: p.now, Conn: p.conns["a"], Data: parse(t, "[0c "+id+" 3a[10]]")}
			p.lines = nil
			if first == "answer" {
				p.step(answer, giveUp)
			} else {
				p.step(giveUp, answer)
			}
			release := "10 o1 < [0c " + id + " 3a[10]]"
			if n := strings.Count(strings.Join(p.lines, "\n"), release); n != 1 {
				t.Errorf("%s, %s first: the office got %d releases; %q", id, first, n, p.lines)
			}
			answered := strings.Contains(strings.Join(p.lines, "\n"), "a < [09 "+id)
			if answered != (first == "answer") || len(p.s.calls)+len(p.s.established) != 0 {
				t.Errorf("%s, %s first: %d open calls, %d established; %q", id, first, len(p.s.calls), len(p.s.established),
					p.lines)
			}
		}
	}
}

func TestExchanges(t *testing.T) { playFiles(t, "testdata/*.txt", newPlayer) }

func playFiles(t *testing.T, pattern string, newPlayer func(*testing.T) *player) {
	files, err := filepath.Glob(pattern)
	if err != nil || len(files) == 0 {
		t.Fatalf("no recordings: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			p := newPlayer(t)
			started := false
			lines := bufio.NewScanner(strings.NewReader(string(text)))
			for lines.Scan() {
				line := lines.Text()
				words := strings.Fields(line)
				switch {
				case strings.HasPrefix(line, "#"):
					p.lines = append(p.lines, line)
				case len(words) > 2 && words[2] == "<", words[1] == "see", words[len(words)-1] == "shut",
					words[len(words)-1] == "end":
				default:
					if !started {
						started = true
						p.step()
					}
					p.play(line)
				}
			}
			for _, broken := range ruleViolations(t, p.lines) {
				t.Error(broken)
			}
			got := strings.Join(p.lines, "\n") + "\n"
			if *update {
				if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
			} else if got != string(text) {
				t.Errorf("the program's output differs from the recording:\n%s\nrecorded:\n%s", got, text)
			}
		})
	}
}

// ruleViolations checks a recording for rules that hold in any: one final answer per call, one outstanding
// attempt at a time, at most six attempts, and none within the guard time after one that was reset or
// cancelled. It is also applied while recording, so that a wrong recording is noticed.
func ruleViolations(t *testing.T, lines []string) (broken []string) {
	final, out, sends, guard := map[uint64]wire.Type{}, map[uint64]string{}, map[uint64]int{}, map[uint64]int64{}
	for _, line := range lines {
		words := strings.SplitN(line, " ", 4)
		if strings.HasPrefix(line, "#") || len(words) < 3 {
			continue
		}
		ms, _ := strconv.ParseInt(words[0], 10, 64)
		office := words[1][0] == 'o'
		if words[2] == "close" || words[2] == "shut" {
			for call, where := range out {
				if where == words[1] {
					delete(out, call)
					guard[call] = ms + 200
				}
			}
		}
		if len(words) < 4 || words[1][0] == 'j' || words[1] == "see" || words[1] == "verdict" {
			continue
		}
		for b := parse(t, words[3]); len(b) > 0; {
			message, n, err := wire.Next(b)
			if err != nil || n == 0 {
				break
			}
			b = b[n:]
			switch ends := message.Type == wire.TypeAnswer || message.Type == wire.TypeRelease; {
			case office && words[2] == "<" && message.Type == wire.TypeSetUp:
				if out[message.Call] != "" || ms < guard[message.Call] {
					broken = append(broken, fmt.Sprintf("%s: out at %q, guard until %d", line, out[message.Call], guard[message.Call]))
				}
				if sends[message.Call]++; sends[message.Call] > 6 {
					broken = append(broken, line+": too many attempts")
				}
				out[message.Call] = words[1]
			case office && ends && out[message.Call] == words[1]:
				delete(out, message.Call)
				if words[2] == "<" || message.Cause() == wire.CauseCut {
					guard[message.Call] = ms + 200
				}
			case !office && words[2] == "<" && ends:
				// Only the release of an established call may be repeated on another connection.
				if was := final[message.Call]; was != 0 && (message.Type == wire.TypeAnswer || was == wire.TypeRelease) {
					broken = append(broken, line+": a second final answer")
				} else if was == 0 {
					final[message.Call] = message.Type
				}
			}
		}
	}
	return broken
}

func TestRuleViolationsAreDetected(t *testing.T) {
	for want, recording := range map[string]string{
		"":         "1 o1 < [01 0000000000000001];2 o1 > [0c 0000000000000001 3a[22]];2 o2 < [01 0000000000000001]",
		"out at":   "1 o1 < [01 0000000000000001];2 o2 < [01 0000000000000001]",
		"guard":    "1 o1 < [01 0000000000000001];2 o1 close;201 o2 < [01 0000000000000001]",
		"answer":   "1 a < [09 0000000000000001];2 b < [09 0000000000000001]",
		"a second": "1 a < [0c 0000000000000001 3a[2a]];2 a < [0c 0000000000000001 3a[2a]]",
	} {
		got := strings.Join(ruleViolations(t, strings.Split(recording, ";")), "; ")
		if !strings.Contains(got, want) || want == "" && got != "" {
			t.Errorf("%s\ngave %q, want %q", recording, got, want)
		}
	}
}

// A long run in short: callers, ids and offices keep changing, some offices reuse the address of a removed
// one, calls are answered, refused, answered with malformed messages or not at all, and callers disconnect at
// any point. Afterwards every map, list and timer must be empty except those in use.
func TestLongRunLeavesNoState(t *testing.T) {
	p := newPlayer(t)
	p.step()
	const rounds = 400
	office := func(n, state int) {
		p.lines = nil
		p.play(fmt.Sprintf("%d j > {%016x 02 %08x 7f000001 03eb %02x 00 00 0002 000003e8 0000000000000000}",
			p.now/1000, n*2+2+state/2, n+16, state))
	}
	for n := range rounds {
		office(n, 0)
		name, id := fmt.Sprint("c", n), n+1
		say := func(line string) { p.play(fmt.Sprintf("%d %s", p.now/1000, line)) }
		say(name + " open")
		say(fmt.Sprintf(`%s > [01 %016x 10["balance-check"] 13["3000"] 1c["n/%d"] 1f["dest:%d;width:1;via:-1"] 3d["x"]]`,
			name, id, n, n%2))
		at := fmt.Sprint("o", 1+n%2)
		switch n % 5 {
		case 0:
			say(fmt.Sprintf(`%s > [09 %016x 3d["d"]]`, at, id))
			p.until(p.now + 100_000)
			say(fmt.Sprintf(`%s > [0c %016x 3a[10]]`, at, id))
		case 1:
			say(fmt.Sprintf(`%s > [0c %016x 3a[22]]`, at, id))
		case 2:
			say(fmt.Sprintf(`%s > [09 %016x]`, at, id))
		case 3:
			say(fmt.Sprintf(`%s > [0c %016x 3a[10]]`, name, id))
		}
		if n%3 == 0 {
			say(name + " close")
		}
		p.until(p.now + 200_000)
		office(n, 2)
	}
	p.until(p.now + 4*state.EndedCallTTL)
	for _, caller := range slices.Clone(p.s.callers) {
		p.step(Arrival{Kind: Closed, At: p.now, Conn: caller.Conn})
	}
	p.until(p.now + 2*state.EndedCallTTL)
	s := p.s
	for what, n := range map[string]int{"calls": len(s.calls), "established calls": len(s.established),
		"retained releases": s.releases.Len(),
		"remembered ids":    s.endedCalls.Len(), "bytes": int(s.callBytes),
		"dials": len(s.dials), "callers": len(s.callers)} {
		if n != 0 {
			t.Errorf("%d %s are left", n, what)
		}
	}
	// Expected timers: the module's tick, the sweep, and the journal and connection checks. Expected
	// connections: two offices in service and the journal.
	if timers, roles := s.wheel.Len(), len(s.connOwners); timers > 8 || roles > 3 || len(s.offices.All()) != 2 {
		t.Errorf("%d timers, %d connections, %d offices are left", timers, roles, len(s.offices.All()))
	}
	for _, o := range s.offices.All() {
		if len(o.Outstanding)+len(o.Queue)+len(o.Established)+len(o.PendingReleases) != 0 {
			t.Errorf("%s is left with %d %d %d %d", o.ID, len(o.Outstanding), len(o.Queue), len(o.Established),
				len(o.PendingReleases))
		}
	}
	if c := s.Counters; c[state.SetUpsIn] != rounds || c[state.AnswersOut] == 0 || c[state.JournalEvents] != 2*rounds {
		t.Errorf("too few events in the run: %s", c.String())
	}
}

// Open set-ups use at most their share of memory, whatever their number, and release it afterwards.
func TestOpenSetUpsAreBoundedByMemory(t *testing.T) {
	p := newPlayer(t)
	p.s.maxCallBytes, p.s.maxCalls = 32<<20/memoryDivisor, 20_000
	p.step()
	long := strings.Repeat("x", 15<<10)
	for n := range 1000 {
		if n%100 == 0 {
			p.play(fmt.Sprintf("10 c%d open", n/100))
		}
		p.play(fmt.Sprintf(`10 c%d > [01 %016x 10["balance-check"] 13["3000"] 1c["n/%d"] 1f["dest:0;width:1;via:-1"] 3d["%s"]]`,
			n/100, n+1, n, long))
		p.lines = nil
	}
	if n := len(p.s.calls); n < 200 || n > 300 {
		t.Errorf("%d set-ups of 15 KiB are open in 32 MB", n)
	}
	p.until(20_000_000)
	if len(p.s.calls) != 0 || p.s.callBytes != 0 {
		t.Errorf("%d calls and %d bytes are left", len(p.s.calls), p.s.callBytes)
	}
}

// After SIGTERM the program must not exit while callers may wait in the listener's backlog, and it answers
// those that did.
func TestShutdownWaitsForListenerBacklog(t *testing.T) {
	p := newPlayer(t)
	p.holdsListenerClosed = true
	p.step()
	p.play("100 term")
	p.until(1_500_000)
	if p.ended || !p.listenerClosing {
		t.Fatalf("exited: %v; asked to close the listener: %v", p.ended, p.listenerClosing)
	}
	p.play("1500 a open")
	p.play(`1500 a > [01 00000000000000a1 10["balance-check"] 13["3000"] 1c["n/1"] 1f["dest:0;width:1;via:-1"] 3d["offer"]]`)
	p.step(Arrival{Kind: ListenerClosed, At: p.now})
	if p.ended {
		t.Error("exited with an open call")
	}
	p.play(`1600 o1 > [09 00000000000000a1 3d["d1"]]`)
	p.until(2_000_000)
	if got := strings.Join(p.lines, "\n"); !p.ended || !strings.Contains(got, "1600 a < [09 00000000000000a1") {
		t.Errorf("ended: %v\n%s", p.ended, got)
	}
}

// Room for a new caller is made by closing a connection without pending data, even if one with pending data
// has been idle longer.
func TestCallerWithPendingDataIsNotClosed(t *testing.T) {
	p := newPlayer(t)
	p.s.maxCallers = 2
	p.step()
	for _, line := range []string{"10 a open", "20 b open", "30 a waiting", "40 c open", "50 c waiting", "60 d open"} {
		p.play(line)
	}
	got := strings.Join(p.lines, "; ")
	if !strings.Contains(got, "40 b shut") || strings.Contains(got, "a shut") || !strings.Contains(got, "60 d shut") {
		t.Errorf("three callers for two places, and a fourth: %s", got)
	}
}

var _ state.Conn = (*fakeConn)(nil)

// When many long messages arrive in one read, only the split one is reassembled; the others are not copied
// again.
func TestOnlySplitMessagesAreReassembled(t *testing.T) {
	p := newPlayer(t)
	p.step()
	p.play("5 a open")
	long := wire.Message{Type: wire.TypeProgress, Call: 1,
		Params: []wire.Param{{Code: 99, Value: make([]byte, 16<<10-100)}}}
	var all []byte
	for range 40 {
		all, _ = long.Append(all)
	}
	all = append(all, parse(t, setUpMessage(1, 0))...)
	before, reads := p.s.Counters[state.Copied], uint64(0)
	for came := range slices.Chunk(all, 64<<10) {
		p.now += 1000
		p.step(Arrival{Kind: Data, At: p.now, Conn: p.conns["a"], Data: came})
		reads++
	}
	beside := p.s.Counters[state.Copied] - before - uint64(len(all)) // all arriving data is copied once on its way
	if beside > reads*wire.MaxMessage {
		t.Errorf("%d bytes were copied again of %d in %d reads", beside, len(all), reads)
	}
	if !p.wroteMessage("o1", 1, 1) {
		t.Errorf("the set-up behind them was not read:\n%s", strings.Join(p.lines, "\n"))
	}
}
