package session

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pewterwheel/decide"
	"pewterwheel/internal/state"
)

// setUpMessage returns a caller's set-up that prefers the office at a place.
func setUpMessage(call, place int) string {
	return fmt.Sprintf(`[01 %016x 10["balance-check"] 13["3000"] 1c["n/%d"] 1f["dest:%d;width:1;via:-1"] 3d["offer"]]`,
		call, call, place)
}

func answerMessage(call int) string { return fmt.Sprintf(`[09 %016x 3d["d"]]`, call) }

func cancelMessage(call int) string { return fmt.Sprintf("[0c %016x 3a[10]]", call) }

// wroteMessage reports whether a message of the given type was written for a call to a connection with the given
// name prefix.
func (p *player) wroteMessage(conn string, kind, call int) bool {
	return slices.ContainsFunc(p.lines, func(line string) bool {
		words := strings.Fields(line)
		return len(words) > 2 && strings.HasPrefix(words[1], conn) && words[2] == "<" &&
			strings.Contains(line, fmt.Sprintf("[%02x %016x", kind, call))
	})
}

// mainConn returns the session's main connection to an office.
func (p *player) mainConn(office string) *state.OfficeConn {
	return &p.s.offices.Get(decide.ServerID(office)).OfficeConn
}

// newPlayerWithHeldCall sets up call 3 of the caller b, which is held for a slot: each of the two offices has one
// open set-up of the caller a.
func newPlayerWithHeldCall(t *testing.T) *player {
	p := newPlayer(t)
	p.step()
	p.play("5 a open")
	p.play("5 b open")
	p.play("10 a > " + setUpMessage(1, 0))
	p.play("12 a > " + setUpMessage(2, 1))
	p.play("20 b > " + setUpMessage(3, 0))
	if p.wroteMessage("o", 1, 3) {
		t.Fatal("the third call did not wait for a slot")
	}
	return p
}

// A caller disconnects while its call is held, and a slot becomes free before the disconnect is reported. No
// attempt may begin.
func TestNoAttemptForDisconnectedCaller(t *testing.T) {
	p := newPlayerWithHeldCall(t)
	p.play("200 b gone")
	p.play("300 o1 > " + answerMessage(1))
	p.until(1_000_000)
	if p.wroteMessage("o", 1, 3) {
		t.Errorf("an attempt began for a disconnected caller:\n%s", strings.Join(p.lines, "\n"))
	}
	p.play("1000 b close")
	p.play("1001 a > " + setUpMessage(4, 0)) // the slot is still available
	p.until(2_000_000)
	if !p.wroteMessage("o1", 1, 4) {
		t.Errorf("the office gets no further set-up:\n%s", strings.Join(p.lines, "\n"))
	}
}

// The attempt does begin if the caller is still connected.
func TestAttemptForConnectedCaller(t *testing.T) {
	p := newPlayerWithHeldCall(t)
	p.play("300 o1 > " + answerMessage(1))
	p.until(1_000_000)
	if !p.wroteMessage("o1", 1, 3) {
		t.Errorf("no attempt began:\n%s", strings.Join(p.lines, "\n"))
	}
}

// A connect for a call takes long, and meanwhile the caller has disconnected or cancelled. The other waiting
// call is sent.
func TestNoAttemptForCallEndedDuringConnect(t *testing.T) {
	for _, how := range []string{"gone", "cancelled", "not heard yet"} {
		p := newPlayer(t)
		p.step()
		for _, line := range []string{"5 a open", "5 b open", "6 o1 silent", "7 o1 close", "7 o2 silent", "8 o2 close"} {
			p.play(line)
		}
		p.play("10 a > " + setUpMessage(1, 0))
		p.play("10 b > " + setUpMessage(2, 1))
		switch how {
		case "gone":
			p.play("100 b gone")
		case "cancelled":
			p.play("100 b > " + cancelMessage(2))
		}
		if how == "not heard yet" { // nothing is read for 250 ms; then the offices' connections are reported first
			p.until(150_000)
			p.conns["b"].waiting = true
		} else {
			p.until(400_000)
		}
		p.now = 400_000
		var up []Arrival
		for i, office := range []string{"s-00000001", "s-00000002"} {
			officeConn := p.mainConn(office)
			if len(officeConn.Queue) == 0 && (how != "cancelled" || i == 0) {
				t.Fatalf("%s: no set-up waits for %s", how, office)
			}
			conn := &fakeConn{p: p, name: fmt.Sprintf("o%d", i+1)}
			p.conns[conn.name] = conn
			up = append(up, Arrival{Kind: Dialled, At: p.now, Dial: officeConn.DialID, Conn: conn})
		}
		p.step(up...)
		if how == "not heard yet" {
			if p.wroteMessage("o2", 1, 2) {
				t.Errorf("%s: an attempt began", how)
			}
			p.play("401 b idle")
			p.play("401 b > " + cancelMessage(2))
		}
		p.until(1_500_000)
		if !p.wroteMessage("o1", 1, 1) || p.wroteMessage("o", 1, 2) {
			t.Errorf("%s: the office was to get call 1 and not call 2:\n%s", how, strings.Join(p.lines, "\n"))
		}
	}
}

// After a process pause an attempt waits while input of its caller is unread, but no longer than two watch
// intervals.
func TestAttemptAfterProcessPause(t *testing.T) {
	for _, how := range []string{"cancelled", "something else"} {
		p := newPlayerWithHeldCall(t)
		p.conns["b"].waiting = true
		p.now = 400_000 // no round since 20 ms
		p.step(Arrival{Kind: Data, At: p.now, Conn: p.conns["o1"], Data: parse(t, answerMessage(1))})
		if p.wroteMessage("o", 1, 3) {
			t.Errorf("%s: an attempt began before its caller's input was read", how)
		}
		if how == "cancelled" {
			p.step(Arrival{Kind: Data, At: p.now, Conn: p.conns["b"], Data: parse(t, cancelMessage(3))})
		}
		p.until(500_000) // some input stays unread
		if began := p.wroteMessage("o1", 1, 3); began != (how == "something else") {
			t.Errorf("%s: an attempt began: %t\n%s", how, began, strings.Join(p.lines, "\n"))
		}
	}
}

// While data written to an office has not left, further set-ups are queued in this process, where they can be
// withdrawn.
func TestNoSetUpBehindUnsentData(t *testing.T) {
	for _, how := range []string{"cancelled", "gone", "drained", "waits"} {
		p := newPlayer(t)
		p.step()
		for _, line := range []string{"5 a open", "5 b open", "6 o1 stuck", "6 o2 stuck"} {
			p.play(line)
		}
		p.play("10 a > " + setUpMessage(1, 0))
		p.play("10 b > " + setUpMessage(2, 1))
		switch how {
		case "cancelled":
			p.play("100 b > " + cancelMessage(2))
		case "gone":
			p.play("100 b gone")
		case "drained":
			p.play("100 j > {0000000000000002 02 00000002 7f000001 03ea 01 00 00 0001 000003e8 0000000000000000}")
			p.until(150_000)
			if office := p.s.offices.Get("s-00000002"); office.State != decide.Draining {
				t.Fatalf("the office is not draining: %v", office.State)
			}
			p.play("160 b > " + cancelMessage(2)) // otherwise it would be sent to the other office
		}
		p.play("300 o1 taken")
		p.play("300 o2 taken")
		p.until(1_000_000)
		if !p.wroteMessage("o1", 1, 1) || p.wroteMessage("o", 1, 2) != (how == "waits") {
			t.Errorf("%s: unexpected messages to the offices:\n%s", how, strings.Join(p.lines, "\n"))
		}
	}
}

// A caller cancels, or the office is to drain, while a set-up is written but not sent completely. The
// connection must be closed, because the set-up would otherwise begin once the office reads again. The
// established calls there are released on the next connection.
func TestUnsentSetUpIsWithdrawn(t *testing.T) {
	for _, how := range []string{"cancelled", "gone", "drained", "taken in time"} {
		p := newPlayer(t)
		p.step()
		p.play("5 b open")
		p.conns["o2"].blocksWrites = true
		first := p.conns["o2"]
		p.play("10 b > " + setUpMessage(2, 1))
		if !p.wroteMessage("o2", 1, 2) {
			t.Fatal("no set-up was written")
		}
		switch how {
		case "cancelled":
			p.play("100 b > " + cancelMessage(2))
		case "gone":
			p.play("100 b close")
		case "drained":
			p.play("100 j > {0000000000000002 02 00000002 7f000001 03ea 01 00 00 0001 000003e8 0000000000000000}")
		case "taken in time":
			first.blocksWrites = false
			p.play("90 o2 taken")
			p.play("100 b > " + cancelMessage(2))
		}
		if first.closed == (how == "taken in time") {
			t.Errorf("%s: connection closed: %t\n%s", how, first.closed, strings.Join(p.lines, "\n"))
		}
		p.until(400_000)
		if how != "drained" && !p.wroteMessage("o2", 12, 2) {
			t.Errorf("%s: the office did not get the release:\n%s", how, strings.Join(p.lines, "\n"))
		}
		if n := len(p.s.calls); how != "drained" && n != 0 {
			t.Errorf("%s: %d calls are left", how, n)
		}
	}
}

// singleOfficeDecider is a decider that sends all calls to one office, with a latest time of sending.
type singleOfficeDecider struct {
	office decide.ServerID
	until  int64
	ended  []decide.Event
}

func (d *singleOfficeDecider) Step(now int64, event decide.Event, out []decide.Action) []decide.Action {
	switch event.Kind {
	case decide.CallArrived:
		until := int64(0)
		if d.until != 0 {
			until = now + d.until
		}
		out = append(out, decide.Action{Kind: decide.Send, Call: event.Call, Server: d.office, SendBy: until})
	case decide.AttemptEnded:
		d.ended = append(d.ended, event)
		out = append(out, decide.Action{Kind: decide.Fail, Call: event.Call})
	}
	return out
}

func (*singleOfficeDecider) Avoids(decide.ServerID) bool { return false }

// The time in which a call may be repeated ends while its set-up waits for a connection: it is withdrawn. A
// set-up sent in time stays outstanding until it is answered.
func TestSetUpIsSentWithinItsTimeLimit(t *testing.T) {
	for _, up := range []int64{250, 299, 301, 400} {
		decider := &singleOfficeDecider{office: "s-00000001", until: 290_000}
		p := newPlayerOf(t, Config{Sockets: 1024, Seed: 7,
			NewDecider: func(decide.Settings, uint64) (Decider, error) { return decider, nil }})
		p.step()
		for _, line := range []string{"5 a open", "6 o1 silent", "7 o1 close"} {
			p.play(line)
		}
		p.play("10 a > " + setUpMessage(1, 0)) // to be sent by 300 ms
		p.until(up * 1000)
		conn := &fakeConn{p: p, name: "o1"}
		p.conns["o1"] = conn
		p.step(Arrival{Kind: Dialled, At: p.now, Dial: p.mainConn("s-00000001").DialID, Conn: conn})
		p.until(900_000)
		if left := p.wroteMessage("o1", 1, 1); left != (up < 300) || left != (len(decider.ended) == 0) {
			t.Errorf("connected at %d: sent: %t; ended: %v", up, left, decider.ended)
		}
		p.play("900 o1 > " + answerMessage(1))
		if answered := p.wroteMessage("a", 9, 1); answered != (up < 300) {
			t.Errorf("connected at %d: answered: %t", up, answered)
		}
	}
}

// If attempts may not be cancelled, one that waits for a connection outlives its call's final answer and its
// caller's connection. Nothing may be sent for it once the connection is open.
func TestNoAttemptForAnsweredCall(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		decider := &singleOfficeDecider{office: "s-00000001"}
		p := newPlayerOf(t, Config{Sockets: 1024, Seed: 7,
			NewDecider: func(decide.Settings, uint64) (Decider, error) { return decider, nil }})
		p.step()
		for _, line := range []string{"5 a open", "6 o1 silent", "7 o1 close"} {
			p.play(line)
		}
		p.play("10 a > " + setUpMessage(1, 0))
		p.until(100_000)
		p.s.execute(decide.Action{Kind: decide.Fail, Call: 1})
		if leaves {
			p.play("150 a close")
		}
		p.until(200_000)
		conn := &fakeConn{p: p, name: "o1"}
		p.conns["o1"] = conn
		p.step(Arrival{Kind: Dialled, At: p.now, Dial: p.mainConn("s-00000001").DialID, Conn: conn})
		p.until(900_000)
		if p.wroteMessage("o1", 1, 1) || len(decider.ended) != 1 || len(p.s.calls) != 0 {
			t.Errorf("caller disconnects: %t; %d calls, ended: %v\n%s", leaves, len(p.s.calls), decider.ended,
				strings.Join(p.lines, "\n"))
		}
	}
}

// Long set-ups in one round that do not leave must not exceed the limit of unsent data, so that one caller
// can't end the office connection that all callers share.
func TestLongSetUpsDoNotEndTheConnection(t *testing.T) {
	decider := &singleOfficeDecider{office: "s-00000001", until: 290_000}
	p := newPlayerOf(t, Config{Sockets: 1024, Seed: 7,
		NewDecider: func(decide.Settings, uint64) (Decider, error) { return decider, nil }})
	p.step()
	p.play("5 a open")
	p.conns["o1"].blocksWrites = true
	wrote, most := 0, 0
	p.onWrite = func(conn *fakeConn, b []byte) {
		if conn.name == "o1" {
			wrote, most = wrote+1, max(most, len(b))
		}
	}
	long := strings.Repeat("x", 16<<10-200)
	var all []byte
	for call := range 20 {
		all = append(all, parse(t, strings.Replace(setUpMessage(call+1, 0), "offer", long, 1))...)
	}
	p.now = 10_000
	p.step(Arrival{Kind: Data, At: p.now, Conn: p.conns["a"], Data: all})
	if wrote == 0 || most > 64<<10 {
		t.Errorf("%d writes, one of %d bytes", wrote, most)
	}
	if out, queue := len(p.mainConn("s-00000001").Outstanding), len(p.mainConn("s-00000001").Queue); out == 0 ||
		queue == 0 || out+queue != 20 {
		t.Errorf("%d set-ups are outstanding, %d wait", out, queue)
	}
}

// An office may read an unsent set-up of a closed connection only after it has received the release on the
// next one. The release is therefore repeated.
func TestUnsentSetUpIsReleasedTwice(t *testing.T) {
	p := newPlayer(t)
	p.step()
	p.play("5 b open")
	p.conns["o2"].blocksWrites = true
	p.play("10 b > " + setUpMessage(2, 1))
	p.play("100 b > " + cancelMessage(2)) // its connection is closed, and the next one opens
	p.play("150 o2 > [10 0000000000000002]")
	p.lines = nil
	p.until(3_500_000)
	if n := strings.Count(strings.Join(p.lines, "\n"), "o2 < "+cancelMessage(2)); n != 1 {
		t.Errorf("the release was repeated %d times:\n%s", n, strings.Join(p.lines, "\n"))
	}
	p.play("3600 o2 > [10 0000000000000002]")
	if n := len(p.s.offices.Get("s-00000002").PendingReleases); n != 0 {
		t.Errorf("%d releases are still pending after the second acknowledgment", n)
	}
}

// A set-up was sent and cancelled, and its release waits behind another, unsent set-up. The release is lost
// with that connection, and the office may read the set-up after it has acknowledged the release on the next
// one. Therefore this release is repeated, too.
func TestReleaseLostWithConnectionIsRepeated(t *testing.T) {
	for _, stuck := range []bool{true, false} {
		decider := &singleOfficeDecider{office: "s-00000002"}
		p := newPlayerOf(t, Config{Sockets: 1024, Seed: 7,
			NewDecider: func(decide.Settings, uint64) (Decider, error) { return decider, nil }})
		p.step()
		p.play("5 b open")
		p.play("10 b > " + setUpMessage(1, 1)) // it is sent
		first := p.conns["o2"]
		first.blocksWrites = stuck
		p.play("20 b > " + setUpMessage(2, 1))
		if !p.wroteMessage("o2", 1, 1) || !p.wroteMessage("o2", 1, 2) {
			t.Fatal("the set-ups were not written")
		}
		p.play("90 b > " + cancelMessage(1)) // written, but not sent
		p.play("100 b > " + cancelMessage(2))
		if first.closed != stuck {
			t.Fatalf("stuck: %t; connection closed: %t", stuck, first.closed)
		}
		p.play("150 o2 > [10 0000000000000001]")
		p.play("150 o2 > [10 0000000000000002]")
		p.lines = nil
		p.until(3_500_000)
		for call := 1; call <= 2; call++ {
			if n := strings.Count(strings.Join(p.lines, "\n"), cancelMessage(call)); (n == 1) != stuck || n > 1 {
				t.Errorf("stuck: %t; the release was repeated %d times for call %d:\n%s", stuck, n, call,
					strings.Join(p.lines, "\n"))
			}
		}
		p.play("3600 o2 > [10 0000000000000001]")
		p.play("3600 o2 > [10 0000000000000002]")
		if n := len(p.s.offices.Get("s-00000002").PendingReleases); n != 0 {
			t.Errorf("stuck: %t; %d releases are still pending after the second acknowledgment", stuck, n)
		}
	}
}

// The office acknowledges the first release after the second has become due but before it was sent: it is
// still sent.
func TestReleaseAcknowledgedLateIsRepeated(t *testing.T) {
	p := newPlayer(t)
	p.step()
	p.play("5 b open")
	p.conns["o2"].blocksWrites = true
	p.play("10 b > " + setUpMessage(2, 1))
	p.play("100 b > " + cancelMessage(2)) // its connection is closed, and the next one opens
	p.until(100_000 + releaseRepeatDelay + 50_000)
	p.play(fmt.Sprintf("%d o2 > [10 0000000000000002]", p.now/1000))
	p.lines = nil
	p.until(3_500_000)
	if n := strings.Count(strings.Join(p.lines, "\n"), "o2 < "+cancelMessage(2)); n != 1 {
		t.Errorf("the release was repeated %d times:\n%s", n, strings.Join(p.lines, "\n"))
	}
}
