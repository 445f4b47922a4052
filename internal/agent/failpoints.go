package agent

import (
	"strconv"

	"pewterwheel/internal/failpoint"
	"pewterwheel/internal/fleet"
)

// rated is a clock that runs at the rate of the failpoint "clock-rate".
func rated(clock func() int64) func() int64 {
	rate, err := strconv.ParseFloat(failpoint.Value("clock-rate"), 64)
	if err != nil {
		return clock
	}
	base := clock()
	return func() int64 { return base + int64(rate*float64(clock()-base)) }
}

// ofName tells whether a coded entry is a process's.
func ofName(entry []byte, name string) bool {
	e, err := fleet.DecodeEntry(entry)
	return err == nil && e.Name == name
}

// updateOfName tells whether a coded update is of a process's entry.
func updateOfName(update []byte, name string) bool {
	u, err := fleet.DecodeUpdate(update)
	return err == nil && u.Name == name
}
