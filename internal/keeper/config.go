// Package keeper keeps the record of called numbers whose lines run out. While several processes see one number end busy
// again and again, one of them holds the lease of it, knows its lines and all that is open to it, and gives the others
// permits; a Front on each loop lets calls to it through by permit alone. Otherwise nobody keeps it, and it costs nothing.
//
// Part is the state machine of a process beside its loop, Front the session.Decider on the loop; a Table and a Queue are
// all that they share. Neither has a clock, goroutine or socket, and both go by the same monotonic microseconds.
package keeper

import (
	"fmt"

	"pewterwheel/internal/advice"
	"pewterwheel/internal/lease"
)

// Config is what the part and the front of a process go by. Zero fields have the defaults named beside them. Times are
// microseconds.
type Config struct {
	Self   string                 // name of this process in the view
	Life   uint64                 // its incarnation: higher than that of every earlier life under this name
	Lessor lease.Lessor           // for the part; the front needs none
	Barred func(name string) bool // processes that are next in a staged change; nil: none
	Lines  func(key string) int   // lines of a number that the site knows; 0 or nil: they are learned

	Most    int     // numbers kept here at once; 16, and never more, for they must fit the process's entry
	Numbers int     // numbers in the table; 4096
	Share   float64 // part of its share that a process uses while the keeper can't be reached; 0.5
	Ahead   float64 // part of the permits given before they are asked for; 0.75
	Margin  float64 // an other process must have this much more of the demand to be given a number; 0.5
	Drift   float64 // bound on how much faster one clock runs than another; 0.01

	Permit int64 // life of a permit, from when it was asked for; 2 s
	Hold   int64 // an order waits for a permit no longer than this, nor than half its class's aim; 40 ms
	Answer int64 // a keeper that has not answered within this can't be reached; 35 ms
	Poll   int64 // the part looks at its queue so often while a number is hot, if it is not woken; 5 ms
	Settle int64 // contention lasts this long before a number is claimed; 500 ms
	Stay   int64 // an other process has more of the demand for this long before a number moves; 5 s
	Calm   int64 // nobody was refused for this long: the contention is over; 10 s
	Silent int64 // what a process holds that says nothing counts for this long; 30 s

	doctor doctor
}

// doctor takes safeguards out, so that tests can show that they are needed.
type doctor struct {
	noStop, noFence, forgetOld, noHysteresis, oneWitness, noShare, noExpiry, pickSuspect, overGrant bool
}

// fill puts the defaults in.
func (c Config) fill() Config {
	def(&c.Most, 16)
	c.Most = min(c.Most, maxKept)
	def(&c.Numbers, 4096)
	def(&c.Share, 0.5)
	def(&c.Ahead, 0.75)
	def(&c.Margin, 0.5)
	def(&c.Drift, 0.01)
	def(&c.Permit, 2_000_000)
	def(&c.Hold, 40_000)
	def(&c.Answer, 35_000)
	def(&c.Poll, 5_000)
	def(&c.Settle, 500_000)
	def(&c.Stay, 5_000_000)
	def(&c.Calm, 10_000_000)
	def(&c.Silent, 30_000_000)
	if c.Barred == nil {
		c.Barred = func(string) bool { return false }
	}
	if c.Lines == nil {
		c.Lines = func(string) int { return 0 }
	}
	return c
}

func def[T int | int64 | float64](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// Check says what of a configuration cannot be gone by: a *ConfigError; nil: all is well.
func (c *Config) Check() error {
	f := c.fill()
	switch {
	case f.Self == "":
		return &ConfigError{"no name of this process"}
	case f.Most < 1:
		return &ConfigError{fmt.Sprintf("%d numbers at one keeper", c.Most)}
	case f.Share < 0 || f.Share > 1:
		return &ConfigError{fmt.Sprintf("share of %g, of 0 to 1", f.Share)}
	case f.Ahead < 0 || f.Ahead > 0.9:
		return &ConfigError{fmt.Sprintf("%g of the permits ahead, of 0 to 0.9", f.Ahead)}
	case f.Drift < 0 || f.Drift > 0.1:
		return &ConfigError{fmt.Sprintf("drift of %g, of 0 to 0.1", f.Drift)}
	case f.Permit < 10*f.Hold || f.Silent < 2*f.Permit:
		return &ConfigError{fmt.Sprintf("a permit of %d us beside a hold of %d us and %d us of silence", f.Permit, f.Hold, f.Silent)}
	}
	return nil
}

// Errors are the errors of this package.
var Errors = []advice.Advised{&ConfigError{}, &MessageError{}, &RecordError{}, &LostError{}, &FullError{}}

// ConfigError is a configuration that cannot be gone by.
type ConfigError struct{ What string }

func (e *ConfigError) Error() string { return "keeper: " + e.What }

// Advice tells an operator what to do.
func (e *ConfigError) Advice() string {
	return "Correct the figure in the [keeper] section of the site file; config check shows it again."
}

// MessageError is a message or a part of an entry that cannot be read.
type MessageError struct{ From, What string }

func (e *MessageError) Error() string { return "keeper: from " + e.From + ": " + e.What }

// Advice tells an operator what to do.
func (e *MessageError) Advice() string {
	return "Compare the program versions of the processes; one that sends what others cannot read is to go back to the last version."
}

// RecordError is a number's record, stored with its lease, that cannot be read.
type RecordError struct{ Number, What string }

func (e *RecordError) Error() string { return "keeper: record of " + e.Number + ": " + e.What }

// Advice tells an operator what to do.
func (e *RecordError) Advice() string {
	return "Nothing need be done: the number is learned anew, which takes some seconds; if it recurs, compare the program versions."
}

// LostError is a number whose lease ended at its keeper.
type LostError struct{ Number string }

func (e *LostError) Error() string { return "keeper: lease of " + e.Number + " lost" }

// Advice tells an operator what to do.
func (e *LostError) Advice() string {
	return "Look whether this process was stopped or cut off from the majority of the roster; calls go on, by share until another keeps it."
}

// FullError is a number in contention that nobody may keep, as all are at their bound.
type FullError struct{ Number string }

func (e *FullError) Error() string { return "keeper: no room to keep " + e.Number }

// Advice tells an operator what to do.
func (e *FullError) Advice() string {
	return "Raise the bound of numbers at one keeper, or look why so many numbers run out of lines at once."
}
