package chaindelay

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

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

// busySince tells how busy the cores have been since a time, this measurement included, and the machine's load average.
func busySince(before coreTimes) string {
	now := readCoreTimes()
	share := float64(now.busy-before.busy) / float64(max(1, now.all-before.all))
	load, _ := os.ReadFile("/proc/loadavg")
	return fmt.Sprintf("cores busy: %.2f; load: %s", share, strings.TrimSpace(string(load)))
}

// The times of the cores can be read.
func TestReadCoreTimes(t *testing.T) {
	if times := readCoreTimes(); times.all <= 0 || times.busy <= 0 || times.busy > times.all {
		t.Errorf("%+v", times)
	}
}
