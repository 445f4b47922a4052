package pathcost

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

var (
	jump  = flag.String("jump", "", "also offer calls at these rates, with commas between, after a steady one, and tell what became of them")
	core  = flag.Int("core", -1, "the core on which the program is to run in -jump")
	quiet = flag.Int("steady", 5000, "the steady rate before -jump")
)

// What becomes of calls at rates up to and past what the loop takes; told, not judged, but that every call has its answer.
func TestJump(t *testing.T) {
	rates, warm, long := []int{2000}, 500*time.Millisecond, 500*time.Millisecond
	if *jump != "" {
		rates, warm, long = nil, 8*time.Second, 3*time.Second
		for text := range strings.SplitSeq(*jump, ",") {
			n, err := strconv.Atoi(text)
			if err != nil {
				t.Fatal(err)
			}
			rates = append(rates, n)
		}
	} else {
		*quiet = 1000
	}
	var env []string
	if *core >= 0 {
		env = []string{fmt.Sprint(coreEnv, "=", *core)}
	}
	for _, mode := range []string{"platform", "sidecar"} {
		all, err := Jump(os.Args[0], env, mode, t.TempDir(), *quiet, warm, rates, long, 2*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		for _, l := range all {
			q := func(p float64) time.Duration {
				return time.Duration(l.ServedWaits.ValueAtQuantile(p)) * time.Microsecond
			}
			t.Logf("%-8s %6d a second: %6d offered, %6d served, %6d refused (%d at the door), %d failed, %d unanswered; served after %v, %v, %v (50, 99, 99.9%%); refused after %v (99%%); %.1f us of processor a call; %d rounds",
				mode, l.Rate, l.Offered, l.Served, l.Refused, l.AtDoor, l.Failed, l.Unanswered, q(50), q(99), q(99.9),
				time.Duration(l.RefusedWaits.ValueAtQuantile(99))*time.Microsecond, float64(l.CPU.Microseconds())/float64(l.Offered), l.Rounds)
			if l.Unanswered > 0 || l.Served+l.Refused+l.Failed != l.Offered || l.Served == 0 {
				t.Errorf("%+v", l)
			}
		}
	}
}
