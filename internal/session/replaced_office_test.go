package session

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pewterwheel/internal/state"
)

// replacement is an office's process that hangs at lastWord, is killed some time later, and is replaced by one that knows
// nothing of its calls. Times are milliseconds.
type replacement struct {
	name      string
	hangs     int  // from the last word to the kill
	gap       int  // from the kill until the new process listens; 0: it listens before the kill
	reports   int  // distance of its reports of lines; 0: it never reports
	reportsOn bool // reports go on while it hangs, and set-ups have no answer
	discovery bool // discovery is heard, and says nothing
}

const (
	freshReport  = `[2b 0000000000000000 2b["free:9;size:9"]]`
	loadedReport = `[2b 0000000000000000 2b["free:7;size:9"]]`
)

// lines is what happens, with its times. The office says something every 200 ms until it hangs, the new one too.
func (r replacement) lines() []string {
	killed := lastWord + r.hangs
	up := killed + max(r.gap, 1)
	lines := []string{fmt.Sprintf("%d o1 close", killed+1)}
	if r.gap > 0 {
		lines = append(lines, fmt.Sprintf("%d o1 refuse", killed), fmt.Sprintf("%d o1 accept", up))
	}
	if r.discovery {
		lines = append(lines, every(300, 500, "j > {0000000000000001 00}")...)
	}
	if r.reportsOn {
		lines = append(lines, setUpAt(lastWord+20, 1), setUpAt(lastWord+30, 2))
		for at := lastWord + 300; at < killed; at += 300 {
			lines = append(lines, fmt.Sprintf("%d o1 > %s", at, loadedReport))
		}
	}
	// The new process speaks on a connection that comes up some time after it listens.
	for at := up + 1200; at < watchedFor; at += 200 {
		lines = append(lines, fmt.Sprintf("%d o1 > %s", at, "[06 00000000000000b1]"))
	}
	if r.reports > 0 {
		for at := up + 1300; at < watchedFor; at += r.reports {
			lines = append(lines, fmt.Sprintf("%d o1 > %s", at, freshReport))
		}
	}
	return lines
}

// play has two calls stand at o1 and returns when each was told to its caller; 0: never.
func (r replacement) play(t *testing.T) (told []int, all []string) {
	c := officeCase{lines: r.lines}
	c.extra = []string{
		`16 a > [01 00000000000000a3 10["balance-check"] 13["3000"] 1c["n/3"] 1f["dest:0;width:1;via:-1"] 3d["offer"]]`,
		`32 o1 > [09 00000000000000a3 3d["d1"]]`,
	}
	if r.reports > 0 {
		c.extra = append(c.extra, "6 o1 > "+strings.Replace(loadedReport, "7", "9", 1), "400 o1 > "+loadedReport)
		c.greets = func(p *player) []byte {
			if p.now >= int64(lastWord+r.hangs+max(r.gap, 1))*1000 {
				return parse(t, freshReport)
			}
			return nil
		}
	}
	lines := c.play(t)
	for _, call := range []string{"a1", "a3"} {
		at, _ := releasedCall(lines, call)
		told = append(told, at)
	}
	return told, lines
}

// A caller is left waiting for the end of a call whose office's process hung, was killed, and was replaced by one that speaks
// for it and knows nothing of the call: its time counted from the loss of the connection, or not at all.
func TestReplacedOfficeLeavesNoCallerWaiting(t *testing.T) {
	cases := []replacement{
		{name: "reports seldom, hangs briefly", hangs: 400, gap: 150, reports: 3200},
		{name: "reports often, hangs", hangs: 1200, gap: 150, reports: 500},
		{name: "reports on, hangs", hangs: 1200, gap: 150, reports: 3200, reportsOn: true},
		{name: "reports on, hangs for long", hangs: 2400, gap: 150, reports: 3200, reportsOn: true},
		{name: "nothing is refused", hangs: 1200, reports: 3200},
		{name: "nothing is refused, killed at once", hangs: 0, reports: 3200},
		{name: "discovery says nothing of it", hangs: 1200, gap: 150, reports: 3200, discovery: true},
		{name: "discovery says nothing of it, killed at once", hangs: 0, gap: 2200, reports: 3200, discovery: true},
		{name: "discovery says nothing of it, nothing is refused", hangs: 1200, reports: 3200, discovery: true},
	}
	for _, hangs := range []int{0, 1200, 2400, 5000} {
		for _, gap := range []int{150, 1000, 2200} {
			for _, reports := range []int{0, 300, 3200, 5000} {
				cases = append(cases, replacement{name: fmt.Sprintf("hangs %d ms, is away for %d ms, reports each %d ms", hangs, gap, reports),
					hangs: hangs, gap: gap, reports: reports})
			}
		}
	}
	for _, r := range cases {
		t.Run(r.name, func(t *testing.T) {
			told, lines := r.play(t)
			for i, at := range told {
				if at == 0 || at > toldBy {
					t.Errorf("the caller of call %d was told at %d ms, want by %d ms (0: never)", i+1, at, toldBy)
				}
			}
			if t.Failed() && testing.Verbose() {
				t.Log(strings.Join(slices.DeleteFunc(lines, func(l string) bool { return strings.Contains(l, "[06 ") }), "\n"))
			}
		})
	}
}

// A call is cut at an office that is alive, whose connections were lost or refused for a moment, and which says so: by the end
// of another call of before, or by its lines in use.
func TestOfficeBackAfterALossKeepsItsCalls(t *testing.T) {
	reporting := func(*player) []byte { return parse(t, loadedReport) }
	spoken := every(lastWord, 200, "o1 > [06 00000000000000b1]")
	for _, c := range []officeCase{
		{name: "reset again and again", greets: reporting, lines: func() []string {
			return append(slices.Clone(spoken), every(700, 900, "o1 close")...)
		}},
		{name: "refuses for a moment, discovery is silent, an older call ends", greets: reporting, lines: func() []string {
			return append(slices.Clone(spoken), "700 o1 refuse", "701 o1 close", "1500 o1 accept", "4000 o1 > [0c 00000000000000a3 3a[10]]")
		}},
		{name: "refuses for a moment, discovery is heard", greets: reporting, lines: func() []string {
			return append(append(slices.Clone(spoken), "700 o1 refuse", "701 o1 close", "1500 o1 accept"), every(300, 500, "j > {0000000000000001 00}")...)
		}},
		{name: "silent for some seconds, and calls end on the next connection", lines: func() []string {
			return append([]string{"5000 o1 close", "5002 o1 > [0c 00000000000000a3 3a[10]]"},
				every(5003, 200, "o1 > [06 00000000000000b1]")...)
		}},
		{name: "its lines lag behind the ends of calls", lines: func() []string {
			return append([]string{"700 o1 close", "710 o1 > " + freshReport, "800 o1 > [0c 00000000000000a3 3a[10]]"}, every(800, 200, "o1 > "+officeReport(8))...)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.extra = []string{
				`16 a > [01 00000000000000a3 10["balance-check"] 13["3000"] 1c["n/3"] 1f["dest:0;width:1;via:-1"] 3d["offer"]]`,
				`32 o1 > [09 00000000000000a3 3d["d1"]]`,
				"400 o1 > " + loadedReport,
			}
			lines := c.play(t)
			if at, cause := releasedCall(lines, "a1"); at != 0 {
				t.Errorf("the call was released at %d ms with cause %s, though its office lives:\n%s", at, cause, strings.Join(lines, "\n"))
			}
		})
	}
}

// officeReport is a report of so many free lines of nine.
func officeReport(free int) string {
	return fmt.Sprintf(`[2b 0000000000000000 2b["free:%d;size:9"]]`, free)
}

// Many short calls are left standing for ever at an office that never reports, whose process was replaced without a refused
// connect: none of them ends, though many ended each second before. Where the process lives, they end one after the other.
func TestOfficeThatEndsNoneOfManyCalls(t *testing.T) {
	const calls, distance, holds, lost = 400, 25, 1500, 8010
	for _, lives := range []bool{false, true} {
		t.Run(fmt.Sprint("its process lives: ", lives), func(t *testing.T) {
			p := newPlayer(t)
			lines := []string{"10 a open", fmt.Sprintf("%d o1 close", lost)}
			for i := range calls {
				at := 20 + distance*i
				lines = append(lines, fmt.Sprintf(`%d a > [01 %016x 10["balance-check"] 13["3000"] 1c["n/%d"] 1f["dest:0;width:1;via:-1"] 3d["offer"]]`, at, i+1, i),
					fmt.Sprintf(`%d o1 > [09 %016x 3d["d"]]`, at+1, i+1))
				if end := at + holds; lives || end < lost || at > lost {
					lines = append(lines, fmt.Sprintf("%d o1 > [0c %016x 3a[10]]", end, i+1))
				}
			}
			slices.SortStableFunc(lines, func(a, b string) int { return at(a) - at(b) })
			p.step()
			for _, line := range lines {
				p.play(line)
			}
			p.until(int64(lost+8050) * 1000)
			for _, st := range p.s.offices.Get("s-00000001").Standing {
				if st.Since < lost*1000 {
					t.Errorf("call %d stands still, 8.05 s after its process has ended", st.ID)
				}
			}
			if cut := p.s.Counters[state.ReleasedRestarted]; lives == (cut > 0) {
				t.Errorf("%d calls were released as those of another process", cut)
			}
		})
	}
}

// A caller is left waiting for the end of a call at a silent office, as this process stood still when its time came.
func TestStandStillPutsNoEndOff(t *testing.T) {
	for _, c := range []struct{ from, until int }{{6500, 7600}, {5000, 7000}, {6900, 7800}, {3000, 5000}, {6000, 7850}} {
		t.Run(fmt.Sprintf("from %d ms to %d ms after the last word", c.from, c.until), func(t *testing.T) {
			p := newPlayer(t)
			p.step()
			p.play("10 a open")
			p.play(`12 a > [01 00000000000000a1 10["balance-check"] 13["3000"] 1c["n/1"] 1f["dest:0;width:1;via:-1"] 3d["offer"]]`)
			p.play(`30 o1 > [09 00000000000000a1 3d["d1"]]`)
			p.play(fmt.Sprintf("%d o1 > [06 00000000000000a1]", lastWord))
			p.until(int64(lastWord+c.from) * 1000)
			p.now = int64(lastWord+c.until) * 1000
			p.step()
			p.until(watchedFor * 1000)
			if at, _ := released(p.lines); at == 0 || at > toldBy {
				t.Errorf("the caller was told of the end of its call at %d ms, want by %d ms (0: never)", at, toldBy)
			}
		})
	}
}

// A call is cut at an office that spoke while this process stood still, and whose word waits to be read.
func TestWordDuringAStandStillIsHeard(t *testing.T) {
	p := newPlayer(t)
	p.step()
	p.play("10 a open")
	p.play(`12 a > [01 00000000000000a1 10["balance-check"] 13["3000"] 1c["n/1"] 1f["dest:0;width:1;via:-1"] 3d["offer"]]`)
	p.play(`30 o1 > [09 00000000000000a1 3d["d1"]]`)
	p.play(fmt.Sprintf("%d o1 > [06 00000000000000a1]", lastWord))
	p.until((lastWord + 500) * 1000)
	p.now = (lastWord + 12_000) * 1000
	p.step()
	p.play(fmt.Sprintf("%d o1 waiting", lastWord+12_010))
	p.play(fmt.Sprintf("%d o1 idle", lastWord+12_300))
	p.play(fmt.Sprintf("%d o1 > [06 00000000000000a1]", lastWord+12_300))
	p.until((lastWord + 13_500) * 1000)
	if at, _ := released(p.lines); at != 0 {
		t.Errorf("the call was released at %d ms, though its office spoke", at)
	}
}

// A caller is left waiting for the end of a call at a silent office by a process so short of processor that each of its rounds
// comes late.
func TestLateRoundsPutNoEndOff(t *testing.T) {
	p := newPlayer(t)
	p.step()
	p.play("10 a open")
	p.play(`12 a > [01 00000000000000a1 10["balance-check"] 13["3000"] 1c["n/1"] 1f["dest:0;width:1;via:-1"] 3d["offer"]]`)
	p.play(`30 o1 > [09 00000000000000a1 3d["d1"]]`)
	p.play(fmt.Sprintf("%d o1 > [06 00000000000000a1]", lastWord))
	for p.now < watchedFor*1000 {
		p.now += 60_000
		p.step()
	}
	if at, _ := released(p.lines); at == 0 || at > toldBy {
		t.Errorf("the caller was told of the end of its call at %d ms, want by %d ms (0: never)", at, toldBy)
	}
}

// A caller is left waiting for the end of a call whose office wrote its last word while this process stood still: its time
// counted from when the word was read.
func TestWordReadAfterAStandStillIsAnOldOne(t *testing.T) {
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
			p.until(watchedFor * 1000)
			if at, _ := released(p.lines); at == 0 || at > from+8050 {
				t.Errorf("the caller was told of the end of its call at %d ms, want by %d ms (0: never)", at, from+8050)
			}
		})
	}
}
