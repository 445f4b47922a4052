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
