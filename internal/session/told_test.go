package session

import (
	"fmt"
	"strings"
	"testing"
)

// What the journal service has to tell counts as told so long after a fault, whether it has come or not. By then it must
// have been asked again, whatever the fault has to do with the frames that came each second before. Ending 100 ms ahead
// leaves the events the time to come.
func TestJournalIsResubscribedInTime(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault string // what happens, a line each; ms after the fault, +0 is the fault
		told  int64  // ms after the fault
	}{
		{"it breaks off", "+0 j close", 2000},
		{"it breaks off, and connects are refused for a second", "+0 j refuse|+0 j close|+1000 j accept", 2000},
		{"it breaks off, and connects do not come up for a second", "+0 j silent|+0 j close|+1000 j accept", 2000},
		{"it stops", "", 4000},
		{"it stops, and connects do not come up for three seconds", "+0 j silent|+3000 j accept", 4000},
		{"it is cut off for six seconds", "+0 j silent|+6000 j accept", 7000},
		{"it is down for six seconds and a half", "+0 j refuse|+0 j close|+6500 j accept", 7000},
		{"it moves", "+0 hup|+0 j close", 4000},
		{"it moves, and is not there for three seconds", "+0 j2 silent|+0 hup|+3000 j2 accept", 4000},
	} {
		worst := int64(0)
		for phase := int64(0); phase < 1000; phase += 50 {
			p := newPlayer(t)
			for ms := int64(100); ms <= 5000; ms += 1000 {
				p.play(fmt.Sprint(ms, " j > {0000000000000001 00}"))
			}
			fault := 4150 + phase
			p.until(fault * 1000)
			before := len(p.lines)
			for line := range strings.SplitSeq(c.fault, "|") {
				if after, rest, ok := strings.Cut(strings.TrimPrefix(line, "+"), " "); ok {
					var ms int64
					_, _ = fmt.Sscan(after, &ms) // it is one of ours
					p.play(fmt.Sprint(fault+ms, " ", rest))
				}
			}
			p.until((fault + 20_000) * 1000)
			asked := int64(20_000)
			for _, line := range p.lines[before:] {
				var ms int64
				if _, err := fmt.Sscan(line, &ms); err == nil && strings.HasSuffix(line, " < 0000000000000001") {
					asked = ms - fault
					break
				}
			}
			worst = max(worst, asked)
		}
		t.Logf("%s: asked again after %d ms at most", c.name, worst)
		if worst > c.told-100 {
			t.Errorf("%s: asked again only after %d ms; it counts as told after %d", c.name, worst, c.told)
		}
	}
}
