package session

import (
	"fmt"
	"strings"
	"testing"

	"pewterwheel/internal/state"
)

// setUpBurst returns n set-ups of one class for one connection, with consecutive ids from first on.
func setUpBurst(first, n int, class string) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `[01 %016x 10["%s"] 13["3000"] 1c["n/%d"] 1f["dest:%d;width:1;via:-1"] 3d["x"]]`, first+i, class,
			first+i, i%2)
	}
	return b.String()
}

// A round with more set-ups than it may take is handled at once: the most important ones go to the module, and
// the others are refused in this round, each once and with a retry delay. A call cancelled in the same round
// gets no answer.
func TestOverloadedRound(t *testing.T) {
	p := newPlayer(t)
	p.s.maxCalls = 1000
	for range 100 {
		p.s.admission.RecordRound(100, 0, 10_000_000)
	}
	most := p.s.admission.MaxSetUps(225)
	p.step()
	conn := func(name, text string) Arrival {
		p.play("10 " + name + " open")
		return Arrival{Kind: Data, At: p.now, Conn: p.conns[name], Data: parse(t, text)}
	}
	p.until(10_000)
	as := []Arrival{conn("a", setUpBurst(0x1000, 200, "balance-check")), conn("b", setUpBurst(0x2000, 20, "sale-auth")),
		conn("c", setUpBurst(0x3000, 5, "sale-auth")+"[0c 0000000000003002 3a[10]]")}
	p.lines = nil
	p.step(as...)
	out := strings.Join(p.lines, "\n")
	refused, away := strings.Count(out, "3a[2a]"), strings.Count(out, `3a[2a] 22["1500"]`)
	if want := 225 - 1 - most; refused != want || away != want || p.s.Counters[state.OverloadRefusals] != uint64(want) {
		t.Errorf("%d were refused, %d with a retry delay, %d counted; %d arrived and a round takes %d", refused, away,
			p.s.Counters[state.OverloadRefusals], 225, most)
	}
	for id := range 200 { // the newest of the less important ones are admitted
		call := fmt.Sprintf("[0c %016x 3a[2a]", 0x1000+id)
		if got, want := strings.Contains(out, call), id < 200-(most-24); got != want {
			t.Errorf("balance-check %d is refused: %v, want %v", id, got, want)
		}
	}
	if strings.Contains(out, "[0c 0000000000002") || strings.Contains(out, "[0c 0000000000003") {
		t.Errorf("a sale-auth was refused:\n%s", out)
	}
	if !strings.Contains(out, "< [01 0000000000002013") && !strings.Contains(out, "< [01 0000000000003004") {
		t.Errorf("the newest of the most important set-ups was not sent first:\n%s", out)
	}
	if n := p.s.countOpen(); n != most {
		t.Errorf("%d calls are open, want %d", n, most)
	}
	for _, rule := range ruleViolations(t, p.lines) {
		t.Error(rule)
	}
	// A round within the limit is not affected.
	p.lines = nil
	p.play("20 d open")
	p.play("20 d > " + setUpBurst(0x4000, most, "balance-check"))
	if got := strings.Join(p.lines, "\n"); strings.Contains(got, "3a[2a]") {
		t.Errorf("a set-up was refused in a round of %d, which is the limit: %s", most, got)
	}
}
