package session

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// establish sets calls up at the first office for the connection a.
func (p *player) establish(ms int, calls ...int) {
	p.play(fmt.Sprintf("%d a open", ms))
	for _, call := range calls {
		p.play(fmt.Sprintf("%d a > %s", ms, setUpMessage(call, 0)))
		p.play(fmt.Sprintf("%d o1 > %s", ms+10, answerMessage(call)))
	}
}

// Guards against calls that are cut at an office that is well, after a planned restart has disconnected their client: one
// set-up of another client that waits there for 3 s was evidence enough, and nobody told the client (review/6).
func TestShutdownLeavesCallsOfDisconnectedClientsAtTheirOffice(t *testing.T) {
	p := newPlayer(t)
	p.step()
	p.establish(10, 0xa1, 0xa2)
	lines := []string{"3900 b open", "4000 b > " + setUpMessage(0xb1, 0), "4200 term"}
	for _, office := range []string{"o1", "o2"} {
		lines = append(lines, repeatEvery(250, 250, office+` > [2b 0000000000000000 2b["free:7;size:9"]]`)...)
	}
	slices.SortStableFunc(lines, func(a, b string) int { return eventTime(a) - eventTime(b) })
	for _, line := range lines {
		if !p.ended {
			p.play(line)
		}
	}
	if !p.ended || !p.conns["a"].closed {
		t.Error("the process has not shut down")
	}
	for _, call := range []int{0xa1, 0xa2} {
		if p.wroteMessage("o1", 0x0c, call) {
			t.Errorf("call %x was released at its office; played:\n%s", call, strings.Join(p.lines, "\n"))
		}
	}
}

// Guards against a process that shuts down, has disconnected the client of a call, and still takes the release of its
// office, which the next process could deliver: it closes its connection to that office, and opens none (review/9).
func TestShutdownLeavesOfficeOfDisconnectedClients(t *testing.T) {
	p := newPlayer(t)
	p.step()
	p.establish(10, 0xa1)
	p.play("900 b open")
	p.play("900 b > " + setUpMessage(0xb1, 1)) // keeps the process
	p.play("1000 term")
	office := p.conns["o1"]
	p.until(1_800_000)
	if office.closed || p.conns["a"].closed {
		t.Error("the client was disconnected before others had stopped connecting")
	}
	p.until(2_000_000)
	if !p.conns["a"].closed || !office.closed || p.conns["o1"] != office || p.conns["o2"].closed || p.ended {
		t.Errorf("the office that holds the call can still tell this process alone; played:\n%s",
			strings.Join(p.lines, "\n"))
	}
}

// Guards against a process that shuts down and leaves an office while it can still tell the client of a call there.
func TestShutdownKeepsOfficeOfConnectedClients(t *testing.T) {
	p := newPlayer(t)
	p.step()
	p.establish(10, 0xa1)
	p.play("900 a > " + setUpMessage(0xb1, 1))
	p.play("1000 term")
	p.play("2500 o1 > " + cancelMessage(0xa1))
	if told := p.toldAt("a", "a1"); told != 2500 {
		t.Errorf("the client was told at %d; played:\n%s", told, strings.Join(p.lines, "\n"))
	}
}

// Guards against the end of a call that an office sent to the previous process as that one ended: the office repeats it
// on the next connection, and this process had opened its own before (review/9). The office is never without a set-up.
func TestStartedProcessCollectsWhatThePreviousOneLeft(t *testing.T) {
	p := newPlayer(t)
	undelivered := false
	p.greeting = func(conn *fakeConn) []byte {
		data := parse(t, `[2b 0000000000000000 2b["free:7;size:9"]]`)
		if undelivered && strings.HasPrefix(conn.name, "o1") {
			undelivered = false
			data = append(data, parse(t, cancelMessage(0xe1))...)
		}
		return data
	}
	p.step()
	p.play("100 a open")
	for ms := 200; ms < 20_000; ms += 400 {
		p.play(fmt.Sprintf("%d a > %s", ms, setUpMessage(ms, 0)))
		p.play(fmt.Sprintf("%d o1 > %s", ms+390, answerMessage(ms)))
		p.play(fmt.Sprintf("%d a > %s", ms+390, cancelMessage(ms)))
		undelivered = undelivered || ms == 5000 // the previous process has ended
	}
	const excused, rule = 5_000, 8_050
	if told := p.toldAt("a", "e1"); told < 0 || told > 5_000+excused+rule {
		t.Errorf("the client was told at %d", told)
	}
	if p.s.collectors != 0 || p.s.offices.All()[0].Collector != nil {
		t.Error("a connection that only collects releases is left open")
	}
}
