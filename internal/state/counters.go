package state

import "strconv"

// Counter identifies one of the counters.
type Counter int

// Counters, by what they count.
const (
	CallersIn Counter = iota // connections accepted
	SetUpsIn
	GiveUpsIn
	ReleasesIn
	TestsIn
	CallersClosed // callers' connections closed because of what they sent, or did not send
	InvalidIn     // messages or connections that could not be parsed, or that named unknown objects
	AnswersOut
	RefusalsOut
	FailuresOut
	ReleasesOut
	AttemptsOut
	CancelsOut
	AnswersReceived
	FullReceived
	ErrorsReceived
	TimeOuts
	ConnectFailures
	Resets
	Moot
	JournalEvents
	JournalLost
	ControlLinesIn // lines on the control address
	Reloads
	ReloadErrors
	Reads            // times that data was received on a connection
	Writes           // writes to connections, each of all data that a round had for one
	Rounds           // steps in which anything was received
	Timers           // timers set
	Copied           // bytes copied on their way in
	OverloadRefusals // of RefusalsOut: set-ups refused because too many came in one round

	// Transitions of offices by the liveness module, and the calls of ReleasesOut that were released because of them.
	OfficesSuspected
	OfficesUnresponsive
	OfficesRecovered
	ReleasedSilent
	ReleasedStalled
	ReleasedRefused
	ReleasedUnreachable
	ReleasedDeparting
	ReleasedRestarted
	ReleasedNoneEnded
	ReleasedEarly // of these, calls that their office ended later

	// Releases whose client was not certainly connected, the copies of them sent to possible clients, and those dropped
	// because too many were retained.
	ReleasesRetained
	ReleaseCopies
	ReleasesDropped
	counters
)

var counterNames = [counters]string{"callers_in", "setups_in", "giveups_in", "releases_in", "tests_in", "turned_out",
	"bad_in",
	"answers_out", "refusals_out", "failures_out", "releases_out", "attempts_out", "cancels_out", "answers_back",
	"full_back", "errors_back", "timeouts", "unreached", "resets", "moot", "journal_events", "journal_lost",
	"asked_in", "reloads", "reload_errors", "reads", "writes", "rounds", "timers", "copied", "refused_at_door",
	"offices_suspected", "offices_unresponsive", "offices_back", "released_silent", "released_stalled",
	"released_refused", "released_unreachable", "released_departing", "released_restarted",
	"released_none_ended", "released_early", "releases_retained", "release_copies", "releases_dropped"}

// Counters count what the program receives, sends and answers.
type Counters [counters]uint64

// String returns all counters in one line.
func (c *Counters) String() string {
	var line []byte
	for i, n := range c {
		if i > 0 {
			line = append(line, ' ')
		}
		line = append(line, counterNames[i]...)
		line = append(line, '=')
		line = strconv.AppendUint(line, n, 10)
	}
	return string(line)
}
