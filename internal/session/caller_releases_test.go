package session

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// The files in testdata/ends play one failure each; the first line says which. Beside the lines of recordings they
// have, with the millisecond first:
//
//	20 a call a1          a call is set up on the connection a and answered by the first office; asks: it is not answered
//	1000 crowd x          so many connections open that others are closed to make room
//	2000 o1 ends a1 e1    the office releases calls; those that were never set up are a previous process's
//	2010 a acknowledges a1, a tests
//	4000 later            nothing more until then
//
// and without it: closed CONN, CONN told CALL by MILLISECOND, CONN never told CALL, o1 acknowledged CALL, o1 not
// acknowledged CALL.
func TestEndsReachTheirClients(t *testing.T) {
	files, err := filepath.Glob("testdata/ends/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			p := newPlayerOf(t, Config{Sockets: 64, Seed: 7}) // few places for callers
			p.step()
			for lines := bufio.NewScanner(strings.NewReader(string(text))); lines.Scan(); {
				if line := lines.Text(); !strings.HasPrefix(line, "#") {
					p.playEnds(line)
				}
			}
		})
	}
}

// playEnds plays or checks a line of a script.
func (p *player) playEnds(line string) {
	words := strings.Fields(line)
	ms, err := strconv.Atoi(words[0])
	if err != nil {
		p.checkEnds(line, words)
		return
	}
	conn := words[1]
	say := func(format string, args ...any) {
		p.play(fmt.Sprintf("%d %s > ", ms, conn) + fmt.Sprintf(format, args...))
	}
	switch verb := strings.Join(words[min(2, len(words)):min(3, len(words))], ""); {
	case conn == "later":
		p.until(int64(ms) * 1000)
	case conn == "crowd":
		for i := range 40 {
			p.play(fmt.Sprintf("%d %s%d open", ms, words[2], i))
		}
	case verb == "call" || verb == "asks":
		call := callNumber(p.t, words[3])
		say("%s", setUpMessage(call, 0))
		if verb == "call" {
			p.play(fmt.Sprintf("%d o1 > %s", ms+5, answerMessage(call)))
		}
	case verb == "ends":
		for _, call := range words[3:] {
			say("%s", cancelMessage(callNumber(p.t, call)))
		}
	case verb == "acknowledges":
		say("[10 %016x]", callNumber(p.t, words[3]))
	case verb == "tests":
		say("[34 0000000000000001 3a[00]]")
	default:
		p.play(line)
	}
}

func (p *player) checkEnds(line string, words []string) {
	p.t.Helper()
	holds := true
	switch {
	case words[0] == "closed":
		for _, conn := range words[1:] {
			holds = holds && p.conns[conn].closed
		}
	case words[1] == "told":
		by, err := strconv.Atoi(words[4])
		at := p.toldAt(words[0], words[2])
		holds = err == nil && at >= 0 && at <= by
	case words[1] == "never":
		holds = p.wroteMessage(words[0], 0x35, 1) // its tests were answered
		for _, call := range words[3:] {
			holds = holds && p.toldAt(words[0], call) < 0
		}
	default:
		wanted := words[1] == "acknowledged"
		for _, call := range words[strings.Count(line, "not ")+2:] {
			holds = holds && p.wroteMessage(words[0], 0x10, callNumber(p.t, call)) == wanted
		}
	}
	if !holds {
		p.t.Errorf("does not hold: %s; played:\n%s", line, strings.Join(p.lines, "\n"))
	}
}

// toldAt returns when the release of a call was written to a connection, in milliseconds; -1: never.
func (p *player) toldAt(conn, call string) int {
	release := fmt.Sprintf("[0c %016x", callNumber(p.t, call))
	for _, line := range p.lines {
		words := strings.Fields(line)
		if len(words) > 2 && words[1] == conn && words[2] == "<" && strings.Contains(line, release) {
			return eventTime(line)
		}
	}
	return -1
}

func callNumber(t testing.TB, text string) int {
	call, err := strconv.ParseInt(text, 16, 64)
	if err != nil {
		t.Fatalf("call %q: %v", text, err)
	}
	return int(call)
}
