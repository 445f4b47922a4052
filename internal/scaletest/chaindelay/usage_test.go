package chaindelay

import (
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"
)

// clockTick is the unit of the processor times in /proc.
const clockTick = 10 * time.Millisecond

// usage is what a process has used.
type usage struct {
	processor time.Duration
	resident  int // bytes
}

// readUsage reads what a process has used from /proc.
func readUsage(pid int) (usage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, err
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	user, err := strconv.Atoi(fields[11])
	if err != nil {
		return usage{}, err
	}
	system, err := strconv.Atoi(fields[12])
	if err != nil {
		return usage{}, err
	}
	if text, err = os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid)); err != nil {
		return usage{}, err
	}
	pages, err := strconv.Atoi(strings.Fields(string(text))[1])
	return usage{time.Duration(user+system) * clockTick, pages * os.Getpagesize()}, err
}

// line is a straight line through points by least squares.
type line struct {
	intercept, slope float64
	residual         float64 // root of the mean square
	largest          float64 // the largest residual
}

func fit(x, y []float64) line {
	var l line
	l.intercept, l.slope = stat.LinearRegression(x, y, nil, false)
	squares := 0.0
	for i := range x {
		residual := math.Abs(y[i] - l.intercept - l.slope*x[i])
		squares += residual * residual
		l.largest = max(l.largest, residual)
	}
	l.residual = math.Sqrt(squares / float64(len(x)))
	return l
}

// The fit of points on a line gives that line, and the residual of one that is off it.
func TestFit(t *testing.T) {
	l := fit([]float64{0, 1, 2, 3}, []float64{5, 7, 9, 11})
	if math.Abs(l.intercept-5) > 1e-9 || math.Abs(l.slope-2) > 1e-9 || l.residual > 1e-9 {
		t.Errorf("%+v", l)
	}
	l = fit([]float64{0, 1, 2}, []float64{0, 3, 0})
	if math.Abs(l.largest-2) > 1e-9 || math.Abs(l.residual-math.Sqrt2) > 1e-9 {
		t.Errorf("%+v", l)
	}
}

// What this process has used can be read, and grows.
func TestReadUsage(t *testing.T) {
	before, err := readUsage(os.Getpid())
	if err != nil || before.resident <= 0 {
		t.Fatalf("%+v, %v", before, err)
	}
	for limit := time.Now().Add(patience); ; {
		now, err := readUsage(os.Getpid())
		if err != nil {
			t.Fatal(err)
		}
		if now.processor > before.processor {
			return
		}
		if time.Now().After(limit) {
			t.Fatal("the processor time does not grow")
		}
	}
}
