package session

import (
	"fmt"
	"strings"
	"testing"
)

// dueIn is how long after an office's release, or after its client has connected, the client must have it.
const dueIn = 1_000

func releaseMessage(call int) string { return fmt.Sprintf("[0c %016x 3a[10]]", call) }

func testMessage() string { return "[34 0000000000000001 3a[00]]" }

// establish plays a call of a caller's connection at the first office, from its set-up to its answer.
func (p *player) establish(ms int, conn string, call int) {
	p.play(fmt.Sprintf("%d %s > %s", ms, conn, setUpMessage(call, 0)))
	p.play(fmt.Sprintf("%d o1 > %s", ms+5, answerMessage(call)))
}

// crowdOut opens so many connections at one instant that the callers' places are taken, and those of clients with no
// open set-up are closed to make room.
func (p *player) crowdOut(ms int, name string) {
	for i := range 40 {
		p.play(fmt.Sprintf("%d %s%d open", ms, name, i))
	}
}

// newCrowdedPlayer has few places for callers.
func newCrowdedPlayer(t *testing.T) *player {
	p := newPlayerOf(t, Config{Sockets: 64, Seed: 7})
	p.step()
	return p
}

func (p *player) wantClosed(conns ...string) {
	p.t.Helper()
	for _, conn := range conns {
		if !p.conns[conn].closed {
			p.t.Fatalf("the connection %s was not closed", conn)
		}
	}
}

// released returns when a call was released on a connection, in milliseconds; -1: never.
func (p *player) released(conn string, call int) int {
	for _, line := range p.lines {
		words := strings.Fields(line)
		if len(words) > 2 && words[1] == conn && words[2] == "<" && strings.Contains(line, fmt.Sprintf("[0c %016x", call)) {
			return eventTime(line)
		}
	}
	return -1
}

// wantReleased requires that a call was released on a connection by a given time.
func (p *player) wantReleased(conn string, call, by int) {
	p.t.Helper()
	if at := p.released(conn, call); at < 0 || at > by {
		p.t.Errorf("call %x was released on %s at %d ms, want by %d ms (-1: never)", call, conn, at, by)
	}
}

// The end of a call whose connection had ended was sent to the newest connection of any client, often another
// client's, and its own client never heard of it (review case 2).
func TestEndOfCallReachesItsOwnClient(t *testing.T) {
	t.Run("connections were closed to make room", func(t *testing.T) {
		p := newCrowdedPlayer(t)
		p.play("10 a open")
		p.play("10 b open")
		p.establish(20, "a", 0xa1)
		p.establish(30, "b", 0xb1)
		p.crowdOut(1000, "x")
		p.wantClosed("a", "b")
		p.play("1100 a2 open")
		p.establish(1110, "a2", 0xa2)
		p.play("1200 b2 open")
		p.establish(1210, "b2", 0xb2)
		p.play("2000 o1 > " + releaseMessage(0xa1) + releaseMessage(0xb1))
		p.until(4_000_000)
		p.wantReleased("a2", 0xa1, 2000+dueIn)
		p.wantReleased("b2", 0xb1, 2000+dueIn)
	})
	t.Run("calls of a previous process", func(t *testing.T) {
		p := newPlayer(t)
		p.step()
		for i, conn := range []string{"a", "b", "c"} {
			p.play("10 " + conn + " open")
			p.establish(20+10*i, conn, 0xa1+i)
		}
		p.play("100 o1 > " + releaseMessage(0xe1) + releaseMessage(0xe2) + releaseMessage(0xe3))
		p.until(2_000_000)
		for i, conn := range []string{"a", "b", "c"} {
			p.wantReleased(conn, 0xe1+i, 100+dueIn)
		}
	})
	t.Run("another client acknowledges it, the own one comes later", func(t *testing.T) {
		p := newPlayer(t)
		p.step()
		p.play("10 b open")
		p.establish(20, "b", 0xb1)
		p.play("100 o1 > " + releaseMessage(0xe1))
		p.play(fmt.Sprintf("150 b > [10 %016x]", 0xe1))
		p.play("3000 a open")
		p.play("3010 a > " + setUpMessage(0xa1, 0))
		p.until(5_000_000)
		p.wantReleased("a", 0xe1, 3010+dueIn)
	})
	t.Run("its connection ends unread", func(t *testing.T) {
		p := newPlayer(t)
		p.step()
		p.play("10 a open")
		p.establish(20, "a", 0xa1)
		p.play("1000 o1 > " + releaseMessage(0xa1))
		p.play("1010 a close")
		p.play("1020 a2 open")
		p.play("1030 a2 > " + setUpMessage(0xa2, 0))
		p.play("1040 b open")
		p.establish(1050, "b", 0xb1)
		p.until(3_000_000)
		p.wantReleased("a2", 0xa1, 1030+dueIn)
	})
}

// A client that came back with nothing to ask was sent no end of its calls, and what was kept for it was dropped
// (review case 3).
func TestSilentClientIsToldOfItsEnds(t *testing.T) {
	t.Run("its connection was closed to make room", func(t *testing.T) {
		p := newCrowdedPlayer(t)
		p.play("10 a open")
		p.establish(20, "a", 0xa1)
		p.crowdOut(1000, "x")
		p.wantClosed("a")
		p.play("1100 a2 open")
		p.play("1500 o1 > " + releaseMessage(0xa1))
		p.until(5_000_000)
		p.wantReleased("a2", 0xa1, 1500+dueIn)
	})
	t.Run("each of its connections is closed to make room at once", func(t *testing.T) {
		p := newCrowdedPlayer(t)
		p.play("10 a open")
		p.establish(20, "a", 0xa1)
		p.crowdOut(1000, "x")
		p.play("1010 o1 > " + releaseMessage(0xa1))
		p.play("1100 a2 open")
		p.crowdOut(1200, "y")
		p.wantClosed("a2")
		p.until(2_000_000)
		p.wantReleased("a2", 0xa1, 1200)
	})
	t.Run("it comes back after its call has ended", func(t *testing.T) {
		p := newPlayer(t)
		p.step()
		p.play("10 a open")
		p.establish(20, "a", 0xa1)
		p.play("1000 a close")
		p.play("2000 o1 > " + releaseMessage(0xa1))
		p.play("15000 a2 open")
		p.until(18_000_000)
		p.wantReleased("a2", 0xa1, 15000+dueIn)
	})
	t.Run("calls of a previous process, several clients", func(t *testing.T) {
		p := newPlayer(t)
		p.step()
		p.play("100 o1 > " + releaseMessage(0xe1) + releaseMessage(0xe2))
		p.play("500 a open")
		p.play("500 b open")
		p.until(3_000_000)
		p.wantReleased("a", 0xe1, 500+dueIn)
		p.wantReleased("b", 0xe2, 500+dueIn)
	})
	t.Run("its connection is closed as idle just then", func(t *testing.T) {
		p := newPlayer(t)
		p.step()
		p.play("100 a open")
		p.play("2090 o1 > " + releaseMessage(0xe1) + releaseMessage(0xe2))
		p.until(4_000_000)
		p.wantClosed("a")
		p.wantReleased("a", 0xe2, 2090+dueIn)
	})
	t.Run("a drain closes its connection", func(t *testing.T) {
		p := newPlayer(t)
		p.step()
		p.play("10 q1 open")
		p.play(`20 q1 > "DRAIN" 0a`)
		p.play("400 a open")
		p.play("410 o1 > " + releaseMessage(0xe1))
		p.until(3_000_000)
		p.wantClosed("a")
		p.wantReleased("a", 0xe1, 410+dueIn)
	})
	t.Run("a shutdown closes its connection", func(t *testing.T) {
		p := newPlayer(t)
		p.step()
		p.play("100 term")
		p.play("800 a open")
		p.play("900 o1 > " + releaseMessage(0xe1))
		p.until(3_000_000)
		p.wantClosed("a")
		p.wantReleased("a", 0xe1, 900+dueIn)
	})
}

// The load balancer's connections get no releases: it would take the controller for one that fails its test. Its test
// may come late, or in pieces.
func TestHealthTestsGetNoReleases(t *testing.T) {
	p := newPlayer(t)
	p.step()
	p.play("100 o1 > " + releaseMessage(0xe1))
	p.play("200 f open")
	p.play("200 g open")
	p.play("200 h open")
	p.play("210 f > " + testMessage())
	p.play("600 g > " + testMessage())
	p.play("600 h > 000d34")
	p.play("900 h > 00000000000000013a000100")
	p.play("1000 o1 > " + releaseMessage(0xe2))
	p.play("1100 f > " + testMessage())
	p.play("1900 i open")
	p.play("2200 i waiting") // its test has arrived, and is not read yet
	p.play("2800 i idle")
	p.play("2800 i > " + testMessage())
	p.until(5_000_000)
	for _, conn := range []string{"f", "g", "h", "i"} {
		if !p.wroteMessage(conn, 0x35, 1) {
			t.Errorf("the test on %s was not answered", conn)
		}
		if a, b := p.released(conn, 0xe1), p.released(conn, 0xe2); a >= 0 || b >= 0 {
			t.Errorf("releases were sent on %s, which only tests", conn)
		}
	}
}

// Releases are no reply: a connection that asks for nothing is ended for it, whatever it was sent or acknowledges.
func TestSilentConnectionsEndThoughTheyWereSentReleases(t *testing.T) {
	p := newPlayer(t)
	p.step()
	p.play("50 o1 > " + releaseMessage(0xe1))
	p.play("100 x open")
	p.play("100 y open")
	p.play(fmt.Sprintf("1000 y > [10 %016x]", 0xe1))
	p.until(2_500_000)
	p.wantReleased("x", 0xe1, 100+dueIn)
	p.wantClosed("x", "y")
}

// A release that this process took and acknowledged was lost when the process ended before the call's client had come:
// the office did not repeat it to the next process.
func TestReleaseForDisconnectedClientIsNotAcknowledged(t *testing.T) {
	p := newPlayer(t)
	p.step()
	p.play("10 a open")
	p.play("10 b open")
	p.establish(20, "a", 0xa1)
	p.establish(40, "b", 0xb1)
	p.play("1000 a close")
	p.play("1500 o1 > " + releaseMessage(0xa1) + releaseMessage(0xb1) + releaseMessage(0xe1))
	p.play("1600 o1 > " + releaseMessage(0xa1))
	p.until(2_000_000)
	for _, call := range []int{0xa1, 0xe1} {
		if p.wroteMessage("o1", 0x10, call) {
			t.Errorf("the release of call %x was acknowledged, though its client may not be connected", call)
		}
	}
	if !p.wroteMessage("o1", 0x10, 0xb1) {
		t.Error("the release of call b1 was not acknowledged, though the connection of its set-up is open")
	}
	p.until(30_000_000)
	if !p.wroteMessage("o1", 0x10, 0xa1) || !p.wroteMessage("o1", 0x10, 0xe1) {
		t.Error("releases that were sent to all clients for 20 s were not acknowledged")
	}
}
