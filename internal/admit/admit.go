// Package admit decides at the door what becomes of a set-up that has just arrived, before the decision module sees
// it. No clock, goroutine or socket.
package admit

// The final answer of a set-up is written this much before its caller gives up: one part in leadPart of what the caller
// waits, within bounds, all in microseconds. Timers come up to a tick of 5 ms late, and then the answer has its way still
// before it, through a loop that may stand still for some ms while another process has its core. Guards against answers that
// come when nobody waits for them any more: to their callers they are none.
const (
	leadPart            = 8
	leastLead, mostLead = 5_000, 20_000
)

// Deadline is when the final answer of a set-up must be written at the latest, if it was read at the time at, and its caller
// waits so many microseconds from when it sent it. It is not after the time at if an answer written later than at once would
// come too late.
func Deadline(at, wait int64) int64 {
	return at + wait - min(max(wait/leadPart, leastLead), mostLead)
}
