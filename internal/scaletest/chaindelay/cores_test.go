package chaindelay

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// coreTimes is the time, in ticks, that the cores on which this process may run have been busy, and in all.
type coreTimes struct{ busy, all int }

func readCoreTimes() coreTimes {
	var allowed unix.CPUSet
	_ = unix.SchedGetaffinity(0, &allowed) // on failure the set is empty, and so are the times
	text, _ := os.ReadFile("/proc/stat")
	var times coreTimes
	for row := range strings.SplitSeq(string(text), "\n") {
		fields := strings.Fields(row)
		if len(fields) < 9 || !strings.HasPrefix(fields[0], "cpu") {
			continue
		}
		core, err := strconv.Atoi(fields[0][len("cpu"):])
		if err != nil || !allowed.IsSet(core) {
			continue // the line of all cores, or another's
		}
		for i, field := range fields[1:9] { // what guests have is in the first two as well
			ticks, _ := strconv.Atoi(field)
			if times.all += ticks; i != 3 && i != 4 { // idle, and waiting for a disk
				times.busy += ticks
			}
		}
	}
	return times
}

// otherWork is the time of the cores, and the part of it that this measurement has had: this process and the controllers.
type otherWork struct {
	cores coreTimes
	own   time.Duration
}

func readOtherWork(t *testing.T, chain []*controller) otherWork {
	t.Helper()
	work := otherWork{cores: readCoreTimes()}
	pids := []int{os.Getpid()}
	for _, c := range chain {
		pids = append(pids, c.command.Process.Pid)
	}
	for _, pid := range pids {
		used, err := readUsage(pid)
		if err != nil {
			t.Fatal(err)
		}
		work.own += used.processor
	}
	return work
}

// since is the part of the cores that other work has had since a time.
func (w otherWork) since(before otherWork) float64 {
	busy := w.cores.busy - before.cores.busy - int((w.own-before.own)/clockTick)
	return float64(max(0, busy)) / float64(max(1, w.cores.all-before.cores.all))
}

// loadAverage tells the machine's load beside the measurement, which is a part of it.
func loadAverage() string {
	text, _ := os.ReadFile("/proc/loadavg")
	return "load: " + strings.TrimSpace(string(text))
}

// The times of the cores can be read.
func TestReadCoreTimes(t *testing.T) {
	if times := readCoreTimes(); times.all <= 0 || times.busy <= 0 || times.busy > times.all {
		t.Errorf("%+v", times)
	}
}

// What this measurement has had itself is not other work.
func TestOtherWork(t *testing.T) {
	before := otherWork{coreTimes{100, 1000}, time.Second}
	after := otherWork{coreTimes{160, 1200}, time.Second + 50*clockTick}
	if share := after.since(before); share != 0.05 {
		t.Errorf("other work had %v of the cores", share)
	}
}
