// Package keeper shares the lines of called numbers whose lines run out. When several processes repeatedly find one
// number busy, one of them takes the lease of the number and so becomes its owner: it tracks the lines of the number
// and everything open to it, and grants permits to the others. An AdmissionFilter on each call loop admits calls to the
// number only with a permit. A number that is not in contention has no owner and costs nothing. The package is named
// keeper for the settings section and the metrics of that name.
//
// Module is the state machine of a process and runs beside its call loop; AdmissionFilter is the session.Decider on the
// loop. They share only a Table and a Queue. Neither has a clock, goroutine or socket; both use the same monotonic time
// in microseconds.
package keeper

import (
	"fmt"

	"pewterwheel/internal/advice"
	"pewterwheel/internal/lease"
)

// Config configures the Module and the AdmissionFilter of a process. Zero fields take the default named beside them.
// Times are in microseconds.
type Config struct {
	Self        string                 // name of this process in the view
	Incarnation uint64                 // incarnation of this process: above that of every earlier run under this name
	Lessor      lease.Client           // used by the Module only
	Excluded    func(name string) bool // reports processes that are next in a staged change; nil: none
	Lines       func(key string) int   // lines of a number that the site configures; 0 or nil: they are learned

	MaxOwned      int     // numbers owned here at once; default and maximum 16: they must fit into the process's entry
	TableSize     int     // numbers in the table; 4096
	FallbackShare float64 // fraction of its turnover share that a process uses while the owner is unreachable; 0.5
	AdvanceShare  float64 // fraction of the permits granted before they are requested; 0.75
	MoveMargin    float64 // relative excess of another process's demand that moves a number to it; 0.5
	ClockDrift    float64 // bound on how much faster one clock runs than another; 0.01

	PermitLifetime int64 // lifetime of a permit, from when it was requested; 2 s
	MaxWait        int64 // longest wait of a set-up for a permit, at most half the aim of its class; 40 ms
	AnswerTimeout  int64 // an owner that has not answered within this time is unreachable; 35 ms
	PollInterval   int64 // longest time between reads of the queue while a number is in contention; 5 ms
	ClaimDelay     int64 // contention lasts this long before a number is claimed; 500 ms
	MoveDelay      int64 // another process has the higher demand for this long before a number moves; 5 s
	CalmTime       int64 // contention is over when no call was refused for this long; 10 s
	SilenceTimeout int64 // lines of a process that sends no reports count as held for this long; 30 s

	disabled disabledSafeguards
}

// disabledSafeguards switches safeguards off, so that tests can show that each is needed.
type disabledSafeguards struct {
	noLeaseLimit, noFencing, forgetPreviousHolders, noHysteresis, singleReporter, noFallbackLimit, noPermitExpiry,
	allowSuspects, overGrant bool
}

// withDefaults returns the configuration with its zero fields set to their defaults.
func (c Config) withDefaults() Config {
	setDefault(&c.MaxOwned, 16)
	c.MaxOwned = min(c.MaxOwned, maxOwned)
	setDefault(&c.TableSize, 4096)
	setDefault(&c.FallbackShare, 0.5)
	setDefault(&c.AdvanceShare, 0.75)
	setDefault(&c.MoveMargin, 0.5)
	setDefault(&c.ClockDrift, 0.01)
	setDefault(&c.PermitLifetime, 2_000_000)
	setDefault(&c.MaxWait, 40_000)
	setDefault(&c.AnswerTimeout, 35_000)
	setDefault(&c.PollInterval, 5_000)
	setDefault(&c.ClaimDelay, 500_000)
	setDefault(&c.MoveDelay, 5_000_000)
	setDefault(&c.CalmTime, 10_000_000)
	setDefault(&c.SilenceTimeout, 30_000_000)
	if c.Excluded == nil {
		c.Excluded = func(string) bool { return false }
	}
	if c.Lines == nil {
		c.Lines = func(string) int { return 0 }
	}
	return c
}

func setDefault[T int | int64 | float64](value *T, defaultValue T) {
	if *value == 0 {
		*value = defaultValue
	}
}

// Check returns a *ConfigError if the configuration is invalid.
func (c *Config) Check() error {
	filled := c.withDefaults()
	switch {
	case filled.Self == "":
		return &ConfigError{"no name configured for this process"}
	case filled.MaxOwned < 1:
		return &ConfigError{fmt.Sprintf("limit of %d owned numbers is below 1", c.MaxOwned)}
	case filled.FallbackShare < 0 || filled.FallbackShare > 1:
		return &ConfigError{fmt.Sprintf("share of %g is not within 0 to 1", filled.FallbackShare)}
	case filled.AdvanceShare < 0 || filled.AdvanceShare > 0.9:
		return &ConfigError{fmt.Sprintf("fraction %g of permits granted in advance is not within 0 to 0.9",
			filled.AdvanceShare)}
	case filled.ClockDrift < 0 || filled.ClockDrift > 0.1:
		return &ConfigError{fmt.Sprintf("clock drift of %g is not within 0 to 0.1", filled.ClockDrift)}
	case filled.PermitLifetime < 10*filled.MaxWait || filled.SilenceTimeout < 2*filled.PermitLifetime:
		return &ConfigError{fmt.Sprintf(
			"permit lifetime of %d us is below 10 waits of %d us or above half the silence timeout of %d us",
			filled.PermitLifetime, filled.MaxWait, filled.SilenceTimeout)}
	}
	return nil
}

// Errors lists the error types of this package.
var Errors = []advice.Advised{
	&ConfigError{}, &MessageError{}, &RecordError{}, &OwnershipLostError{}, &OwnerLimitError{},
}

// ConfigError reports an invalid configuration.
type ConfigError struct{ What string }

func (e *ConfigError) Error() string { return "keeper: " + e.What }

// Advice tells an operator what to do.
func (e *ConfigError) Advice() string {
	return "Correct the value in the [keeper] section of the site file; config check reports it again."
}

// MessageError reports a message, or a part of an entry, that cannot be decoded.
type MessageError struct{ From, What string }

func (e *MessageError) Error() string {
	return "keeper: message or entry from " + e.From + ": " + e.What
}

// Advice tells an operator what to do.
func (e *MessageError) Advice() string {
	return "Compare the program versions; return a process that sends what others cannot decode to its last version."
}

// RecordError reports a number's record, stored with its lease, that cannot be decoded.
type RecordError struct{ Number, What string }

func (e *RecordError) Error() string { return "keeper: record of " + e.Number + ": " + e.What }

// Advice tells an operator what to do.
func (e *RecordError) Advice() string {
	return "No action needed: the lines are learned again in some seconds; if it recurs, compare the program versions."
}

// OwnershipLostError reports that the lease of a number ended while this process owned it.
type OwnershipLostError struct{ Number string }

func (e *OwnershipLostError) Error() string { return "keeper: lease of " + e.Number + " lost" }

// Advice tells an operator what to do.
func (e *OwnershipLostError) Advice() string {
	return "Check if this process was stopped or cut off from a roster majority; calls go by share until another owns it."
}

// OwnerLimitError reports a number in contention that no process can own, as all own their maximum.
type OwnerLimitError struct{ Number string }

func (e *OwnerLimitError) Error() string { return "keeper: no process has room to own " + e.Number }

// Advice tells an operator what to do.
func (e *OwnerLimitError) Advice() string {
	return "Raise the limit of numbers that one process owns, or find out why so many numbers run out of lines at once."
}
