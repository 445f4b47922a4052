package agent

import (
	"strconv"

	"pewterwheel/internal/failpoint"
	"pewterwheel/internal/fleet"
)

// scaledClock returns a clock that runs at the rate given by the failpoint "clock-rate".
func scaledClock(clock func() int64) func() int64 {
	rate, err := strconv.ParseFloat(failpoint.Value("clock-rate"), 64)
	if err != nil {
		return clock
	}
	base := clock()
	return func() int64 { return base + int64(rate*float64(clock()-base)) }
}

// isEntryOf reports whether an encoded entry belongs to the named process.
func isEntryOf(entry []byte, name string) bool {
	decoded, err := fleet.DecodeEntry(entry)
	return err == nil && decoded.Name == name
}

// isUpdateOf reports whether an encoded update applies to the entry of the named process.
func isUpdateOf(update []byte, name string) bool {
	decoded, err := fleet.DecodeUpdate(update)
	return err == nil && decoded.Name == name
}
