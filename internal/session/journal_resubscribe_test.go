package session

import (
	"fmt"
	"strings"
	"testing"
)

// A change of the list counts as known a fixed time after a fault, whether it has arrived or not. By then the
// journal must have been subscribed to again, whatever the phase of the fault relative to the frames sent each
// second. The margin of 100 ms is for the events to arrive.
func TestJournalIsResubscribedInTime(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault string // events separated by |, each with its time in ms after the fault
		told  int64  // when a change counts as known, in ms after the fault
	}{
		{"it breaks off", "+0 j close", 2000},
		{"it breaks off, and connects are refused for a second", "+0 j refuse|+0 j close|+1000 j accept", 2000},
		{"it breaks off, and connects are not answered for a second", "+0 j silent|+0 j close|+1000 j accept", 2000},
		{"it stops", "", 4000},
		{"it stops, and connects are not answered for three seconds", "+0 j silent|+3000 j accept", 4000},
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
					_, _ = fmt.Sscan(after, &ms) // the format is fixed by this test
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
		t.Logf("%s: subscribed again after %d ms at most", c.name, worst)
		if worst > c.told-100 {
			t.Errorf("%s: subscribed again only after %d ms; changes count as known after %d", c.name, worst, c.told)
		}
	}
}
