package session

import (
	"fmt"
	"strings"
	"testing"
)

// dueIn is how long after an office's release, or after its client has connected, the client must have it.
const dueIn = 1_000

func releaseMessage(call int) string { return fmt.Sprintf("[0c %016x 3a[10]]", call) }

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
