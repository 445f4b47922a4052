package service

import (
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"runtime/debug"
	"slices"
	"strconv"
	"testing"
	"time"

	"pewterwheel/internal/wire"
)

// memory is how many MB of the process are resident, and the most that were.
func (b *bench) memory() (now, most int) {
	b.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", b.cmd.Process.Pid))
	if err != nil {
		b.t.Fatal(err)
	}
	for _, m := range regexp.MustCompile(`(VmRSS|VmHWM):\s+(\d+) kB`).FindAllStringSubmatch(string(text), -1) {
		kb, _ := strconv.Atoi(m[2])
		if m[1] == "VmRSS" {
			now = kb >> 10
		} else {
			most = kb >> 10
		}
	}
	return now, most
}

// many writes one message after the other, each made anew.
func many(n int, m func() wire.Message) func() []byte {
	return func() []byte {
		var b []byte
		for range n {
			b, _ = m().Append(b)
		}
		return b
	}
}

// An office that releases unknown calls at full speed, reads all, and a caller that reads nothing: neither fills memory.
func TestOfficeFloodsWithReleases(t *testing.T) {
	const memory = 32
	office := play(t, port(t))
	b := newBench(t, limits{memory: memory, sockets: 128}, office)
	o, caller := office.next(), b.caller()
	b.warm(caller, 2, o)
	id, ended := uint64(1), 0
	r := rand.New(rand.NewPCG(1, 2))
	next := many(500, func() wire.Message { return wire.ReleaseOf(r.Uint64()|1, wire.CauseNormal) })
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); {
		if !o.over().IsZero() { // it had more to read than it read
			id++
			caller.say(setUp(id))
			if o = office.next(); o == nil {
				t.Fatal("never connected again")
			}
			ended++
		}
		o.say(next())
	}
	_, most := b.memory()
	t.Logf("%d MB at most, %d connections ended", most, ended)
	if most > memory && !raced() {
		t.Errorf("%d MB were resident, %d are allowed", most, memory)
	}
}

// raced tells whether this program was built to detect races, which takes several times the memory.
func raced() bool {
	info, _ := debug.ReadBuildInfo()
	return info != nil && slices.ContainsFunc(info.Settings, func(s debug.BuildSetting) bool { return s.Key == "-race" && s.Value == "true" })
}
