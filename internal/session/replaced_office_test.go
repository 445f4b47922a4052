package session

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pewterwheel/internal/state"
)

// officeReplacement is an office's process that hangs at lastMessageAt, is killed some time later, and is replaced
// by one that knows none of its calls. Times are milliseconds.
type officeReplacement struct {
	name            string
	hangTime        int  // from the last message to the kill
	downTime        int  // from the kill until the new process listens; 0: it listens before the kill
	reportInterval  int  // interval of its reports of free lines; 0: it never reports
	reportsContinue bool // reports continue while it hangs, and set-ups are not answered
	journalResponds bool // the journal is connected but reports nothing
}

const (
	freshReport  = `[2b 0000000000000000 2b["free:9;size:9"]]`
	loadedReport = `[2b 0000000000000000 2b["free:7;size:9"]]`
)

// lines returns the events. The office sends a message every 200 ms until it hangs, and so does the new one.
func (r officeReplacement) lines() []string {
	killed := lastMessageAt + r.hangTime
	up := killed + max(r.downTime, 1)
	lines := []string{fmt.Sprintf("%d o1 close", killed+1)}
	if r.downTime > 0 {
		lines = append(lines, fmt.Sprintf("%d o1 refuse", killed), fmt.Sprintf("%d o1 accept", up))
	}
	if r.journalResponds {
		lines = append(lines, repeatEvery(300, 500, "j > {0000000000000001 00}")...)
	}
	if r.reportsContinue {
		lines = append(lines, setUpAt(lastMessageAt+20, 1), setUpAt(lastMessageAt+30, 2))
		for at := lastMessageAt + 300; at < killed; at += 300 {
			lines = append(lines, fmt.Sprintf("%d o1 > %s", at, loadedReport))
		}
	}
	// The new process sends on a connection that opens some time after it listens.
	for at := up + 1200; at < caseLength; at += 200 {
		lines = append(lines, fmt.Sprintf("%d o1 > %s", at, "[06 00000000000000b1]"))
	}
	if r.reportInterval > 0 {
		for at := up + 1300; at < caseLength; at += r.reportInterval {
			lines = append(lines, fmt.Sprintf("%d o1 > %s", at, freshReport))
		}
	}
	return lines
}

// play establishes two calls at o1 and returns when the release of each was sent to its caller; 0: never.
func (r officeReplacement) play(t *testing.T) (told []int, all []string) {
	scenario := officeCase{events: r.lines}
	scenario.earlierEvents = []string{
		`16 a > [01 00000000000000a3 10["balance-check"] 13["3000"] 1c["n/3"] 1f["dest:0;width:1;via:-1"] 3d["offer"]]`,
		`32 o1 > [09 00000000000000a3 3d["d1"]]`,
	}
	if r.reportInterval > 0 {
		scenario.earlierEvents = append(scenario.earlierEvents, "6 o1 > "+strings.Replace(loadedReport, "7", "9", 1),
			"400 o1 > "+loadedReport)
		scenario.greeting = func(p *player) []byte {
			if p.now >= int64(lastMessageAt+r.hangTime+max(r.downTime, 1))*1000 {
				return parse(t, freshReport)
			}
			return nil
		}
	}
	lines := scenario.play(t)
	for _, call := range []string{"a1", "a3"} {
		at, _ := releaseOf(lines, call)
		told = append(told, at)
	}
	return told, lines
}

// A caller waited too long for the release of a call whose office's process hung, was killed, and was replaced
// by one that responds but does not know the call: the time was counted from the loss of the connection, or
// not at all.
func TestReplacedOfficeLeavesNoCallerWaiting(t *testing.T) {
	cases := []officeReplacement{
		{name: "reports rarely, hangs briefly", hangTime: 400, downTime: 150, reportInterval: 3200},
		{name: "reports often, hangs", hangTime: 1200, downTime: 150, reportInterval: 500},
		{name: "keeps reporting, hangs", hangTime: 1200, downTime: 150, reportInterval: 3200, reportsContinue: true},
		{name: "keeps reporting, hangs for long", hangTime: 2400, downTime: 150, reportInterval: 3200, reportsContinue: true},
		{name: "no connect is refused", hangTime: 1200, reportInterval: 3200},
		{name: "no connect is refused, killed at once", hangTime: 0, reportInterval: 3200},
		{name: "discovery does not report it", hangTime: 1200, downTime: 150, reportInterval: 3200, journalResponds: true},
		{name: "discovery does not report it, killed at once", hangTime: 0, downTime: 2200, reportInterval: 3200,
			journalResponds: true},
		{name: "discovery does not report it, no connect is refused", hangTime: 1200, reportInterval: 3200,
			journalResponds: true},
	}
	for _, hangs := range []int{0, 1200, 2400, 5000} {
		for _, gap := range []int{150, 1000, 2200} {
			for _, reports := range []int{0, 300, 3200, 5000} {
				cases = append(cases, officeReplacement{name: fmt.Sprintf("hangs %d ms, is away for %d ms, reports each %d ms",
					hangs, gap, reports),
					hangTime: hangs, downTime: gap, reportInterval: reports})
			}
		}
	}
	for _, replacement := range cases {
		t.Run(replacement.name, func(t *testing.T) {
			told, lines := replacement.play(t)
			for i, at := range told {
				if at == 0 || at > releaseDue {
					t.Errorf("the release of call %d reached its caller at %d ms, want by %d ms (0: never)", i+1, at, releaseDue)
				}
			}
			if t.Failed() && testing.Verbose() {
				t.Log(strings.Join(slices.DeleteFunc(lines, func(l string) bool { return strings.Contains(l, "[06 ") }), "\n"))
			}
		})
	}
}

// A call was cut at a live office whose connections were lost or refused for a moment, although the office
// gave evidence of being the same process: the release of an earlier call, or its lines in use.
func TestOfficeBackAfterALossKeepsItsCalls(t *testing.T) {
	reporting := func(*player) []byte { return parse(t, loadedReport) }
	spoken := repeatEvery(lastMessageAt, 200, "o1 > [06 00000000000000b1]")
	for _, scenario := range []officeCase{
		{name: "reset repeatedly", greeting: reporting, events: func() []string {
			return append(slices.Clone(spoken), repeatEvery(700, 900, "o1 close")...)
		}},
		{name: "refuses for a moment, discovery is silent, an older call ends", greeting: reporting, events: func() []string {
			return append(slices.Clone(spoken), "700 o1 refuse", "701 o1 close", "1500 o1 accept",
				"4000 o1 > [0c 00000000000000a3 3a[10]]")
		}},
		{name: "refuses for a moment, discovery responds", greeting: reporting, events: func() []string {
			return append(append(slices.Clone(spoken), "700 o1 refuse", "701 o1 close", "1500 o1 accept"),
				repeatEvery(300, 500, "j > {0000000000000001 00}")...)
		}},
		{name: "silent for some seconds, and calls end on the next connection", events: func() []string {
			return append([]string{"5000 o1 close", "5002 o1 > [0c 00000000000000a3 3a[10]]"},
				repeatEvery(5003, 200, "o1 > [06 00000000000000b1]")...)
		}},
		{name: "its lines lag behind the ends of calls", events: func() []string {
			return append([]string{"700 o1 close", "710 o1 > " + freshReport, "800 o1 > [0c 00000000000000a3 3a[10]]"},
				repeatEvery(800, 200, "o1 > "+officeReport(8))...)
		}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			scenario.earlierEvents = []string{
				`16 a > [01 00000000000000a3 10["balance-check"] 13["3000"] 1c["n/3"] 1f["dest:0;width:1;via:-1"] 3d["offer"]]`,
				`32 o1 > [09 00000000000000a3 3d["d1"]]`,
				"400 o1 > " + loadedReport,
			}
			lines := scenario.play(t)
			if at, cause := releaseOf(lines, "a1"); at != 0 {
				t.Errorf("the call was released at %d ms with cause %s, though its office is alive:\n%s", at, cause,
					strings.Join(lines, "\n"))
			}
		})
	}
}

// officeReport returns a report of the given number of free lines out of nine.
func officeReport(free int) string {
	return fmt.Sprintf(`[2b 0000000000000000 2b["free:%d;size:9"]]`, free)
}

// Many short calls stayed established forever at an office that never reports and whose process was replaced
// without a refused connect: none of them ends, though many ended each second before. If the process lives on,
// they end one after the other.
func TestOfficeThatEndsNoneOfManyCalls(t *testing.T) {
	const calls, distance, holds, lost = 400, 25, 1500, 8010
	for _, lives := range []bool{false, true} {
		t.Run(fmt.Sprint("its process lives: ", lives), func(t *testing.T) {
			p := newPlayer(t)
			lines := []string{"10 a open", fmt.Sprintf("%d o1 close", lost)}
			for i := range calls {
				at := 20 + distance*i
				lines = append(lines,
					fmt.Sprintf(`%d a > [01 %016x 10["balance-check"] 13["3000"] 1c["n/%d"] 1f["dest:0;width:1;via:-1"] 3d["offer"]]`,
						at, i+1, i),
					fmt.Sprintf(`%d o1 > [09 %016x 3d["d"]]`, at+1, i+1))
				if end := at + holds; lives || end < lost || at > lost {
					lines = append(lines, fmt.Sprintf("%d o1 > [0c %016x 3a[10]]", end, i+1))
				}
			}
			slices.SortStableFunc(lines, func(a, b string) int { return eventTime(a) - eventTime(b) })
			p.step()
			for _, line := range lines {
				p.play(line)
			}
			p.until(int64(lost+8050) * 1000)
			for _, established := range p.s.offices.Get("s-00000001").Established {
				if established.Since < lost*1000 {
					t.Errorf("call %d is still established 8.05 s after its process ended", established.ID)
				}
			}
			if cut := p.s.Counters[state.ReleasedRestarted]; lives == (cut > 0) {
				t.Errorf("%d calls were released as those of a previous process", cut)
			}
		})
	}
}

// A caller waited too long for the release of a call at a silent office, because this process was paused when
// the release became due.
func TestProcessPauseDelaysNoRelease(t *testing.T) {
	for _, c := range []struct{ from, until int }{{6500, 7600}, {5000, 7000}, {6900, 7800}, {3000, 5000}, {6000, 7850}} {
		t.Run(fmt.Sprintf("from %d ms to %d ms after the last word", c.from, c.until), func(t *testing.T) {
			p := newPlayer(t)
			p.step()
			p.play("10 a open")
			p.play(`12 a > [01 00000000000000a1 10["balance-check"] 13["3000"] 1c["n/1"] 1f["dest:0;width:1;via:-1"] 3d["offer"]]`)
			p.play(`30 o1 > [09 00000000000000a1 3d["d1"]]`)
			p.play(fmt.Sprintf("%d o1 > [06 00000000000000a1]", lastMessageAt))
			p.until(int64(lastMessageAt+c.from) * 1000)
			p.now = int64(lastMessageAt+c.until) * 1000
			p.step()
			p.until(caseLength * 1000)
			if at, _ := releaseOfFirstCall(p.lines); at == 0 || at > releaseDue {
				t.Errorf("the release reached the caller at %d ms, want by %d ms (0: never)", at, releaseDue)
			}
		})
	}
}

// A call was cut at an office that sent a message during a pause of this process, which was still unread.
func TestMessageDuringProcessPauseCounts(t *testing.T) {
	p := newPlayer(t)
	p.step()
	p.play("10 a open")
	p.play(`12 a > [01 00000000000000a1 10["balance-check"] 13["3000"] 1c["n/1"] 1f["dest:0;width:1;via:-1"] 3d["offer"]]`)
	p.play(`30 o1 > [09 00000000000000a1 3d["d1"]]`)
	p.play(fmt.Sprintf("%d o1 > [06 00000000000000a1]", lastMessageAt))
	p.until((lastMessageAt + 500) * 1000)
	p.now = (lastMessageAt + 12_000) * 1000
	p.step()
	p.play(fmt.Sprintf("%d o1 waiting", lastMessageAt+12_010))
	p.play(fmt.Sprintf("%d o1 idle", lastMessageAt+12_300))
	p.play(fmt.Sprintf("%d o1 > [06 00000000000000a1]", lastMessageAt+12_300))
	p.until((lastMessageAt + 13_500) * 1000)
	if at, _ := releaseOfFirstCall(p.lines); at != 0 {
		t.Errorf("the call was released at %d ms, though its office sent a message", at)
	}
}

// A caller waited too long for the release of a call at a silent office, because this process was short of CPU
// and each of its rounds came late.
func TestLateRoundsDelayNoRelease(t *testing.T) {
	p := newPlayer(t)
	p.step()
	p.play("10 a open")
	p.play(`12 a > [01 00000000000000a1 10["balance-check"] 13["3000"] 1c["n/1"] 1f["dest:0;width:1;via:-1"] 3d["offer"]]`)
	p.play(`30 o1 > [09 00000000000000a1 3d["d1"]]`)
	p.play(fmt.Sprintf("%d o1 > [06 00000000000000a1]", lastMessageAt))
	for p.now < caseLength*1000 {
		p.now += 60_000
		p.step()
	}
	if at, _ := releaseOfFirstCall(p.lines); at == 0 || at > releaseDue {
		t.Errorf("the release reached the caller at %d ms, want by %d ms (0: never)", at, releaseDue)
	}
}

// A caller waited too long for the release of a call whose office sent its last message during a pause of this
// process: the time was counted from when the message was read.
func TestMessageReadAfterProcessPauseCountsAsOld(t *testing.T) {
	const from = 1000
	for _, stood := range []int{100, 600, 1100, 1400} {
		t.Run(fmt.Sprintf("stood still for %d ms", stood), func(t *testing.T) {
			p := newPlayer(t)
			p.step()
			p.play("10 a open")
			p.play(`12 a > [01 00000000000000a1 10["balance-check"] 13["3000"] 1c["n/1"] 1f["dest:0;width:1;via:-1"] 3d["offer"]]`)
			p.play(`30 o1 > [09 00000000000000a1 3d["d1"]]`)
			p.until(from * 1000)
			p.now = int64(from+stood) * 1000
			p.step(Arrival{Kind: Data, At: p.now, Conn: p.conns["o1"], Data: parse(t, "[06 00000000000000a1]")})
			p.until(caseLength * 1000)
			if at, _ := releaseOfFirstCall(p.lines); at == 0 || at > from+8050 {
				t.Errorf("the release reached the caller at %d ms, want by %d ms (0: never)", at, from+8050)
			}
		})
	}
}
