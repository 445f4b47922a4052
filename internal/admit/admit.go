// Package admit decides which of the set-ups that have just arrived are passed to the decision module, and until when
// each must be answered. It uses no clock, goroutine or socket.
package admit

// The final answer of a set-up is written before its caller gives up, earlier by the caller's wait divided by
// answerLeadDivisor, within bounds in microseconds. Timers are up to one tick of 5 ms late, and the answer still has to
// pass through a loop that may be stalled for some ms while another process uses its core. An answer that arrives after
// its caller has given up does not count as one.
const (
	answerLeadDivisor            = 8
	minAnswerLead, maxAnswerLead = 5_000, 20_000
)

// Deadline returns when the final answer of a set-up must be written at the latest, if the set-up was read at readAt
// and its caller waits the given time, in microseconds, from when it was sent. The result is not after readAt if only
// an immediate answer can be in time.
func Deadline(readAt, wait int64) int64 {
	return readAt + wait - min(max(wait/answerLeadDivisor, minAnswerLead), maxAnswerLead)
}
