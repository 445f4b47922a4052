package lease

import (
	"fmt"

	"pewterwheel/internal/advice"
)

// Errors are all errors of this package, for the operators' page.
var Errors = []advice.Advised{&FenceError{}, &RosterSkipError{}, &RosterYoungError{}, &RosterEmptyError{}, &NotHeldError{},
	&RecordSizeError{}, &ThingNameError{}, &BodyError{}, &RefusedError{}}

// FenceError refuses whoever acts under a lower number than one that has been seen.
type FenceError struct {
	Thing      string
	Fence, Has uint64
}

func (e *FenceError) Error() string {
	return fmt.Sprintf("%s: fence %d is lower than %d, which has been seen", e.Thing, e.Fence, e.Has)
}

// Advice says what an operator can do.
func (e *FenceError) Advice() string {
	return "Nothing for one line: a holder from before acted late and was refused; if the same process repeats it, restart it."
}

// RosterSkipError refuses a roster whose number is not the next.
type RosterSkipError struct{ Has, Got uint64 }

func (e *RosterSkipError) Error() string {
	return fmt.Sprintf("roster %d does not follow on roster %d", e.Got, e.Has)
}

// Advice says what an operator can do.
func (e *RosterSkipError) Advice() string {
	return fmt.Sprintf("Give the processes roster %d first, one lease apart, or restart this one with the roster that the others have.",
		e.Has+1)
}

// RosterYoungError refuses a roster while the one before is young, or what it knows has not passed on to the new electors.
type RosterYoungError struct {
	Has, Got uint64
	Left     int64 // microseconds; 0: not all things have passed on yet
	Things   int   // how many have not
}

func (e *RosterYoungError) Error() string {
	return fmt.Sprintf("roster %d comes while roster %d is young: %d ms are left, %d things have yet to pass on", e.Got, e.Has,
		(e.Left+999)/1000, e.Things)
}

// Advice says what an operator can do.
func (e *RosterYoungError) Advice() string {
	return fmt.Sprintf("See that a majority of the processes of roster %d and of the one before run, wait, and give roster %d again.", e.Has, e.Got)
}

// RosterEmptyError refuses a roster without names, with a name twice, or with another list under a number that is taken.
type RosterEmptyError struct {
	Number uint64
	Why    string
}

func (e *RosterEmptyError) Error() string { return fmt.Sprintf("roster %d: %s", e.Number, e.Why) }

// Advice says what an operator can do.
func (e *RosterEmptyError) Advice() string {
	return "Correct the roster in the site file: each name once, and a new number for each new list."
}

// NotHeldError refuses a write to a thing that this process does not hold.
type NotHeldError struct{ Thing string }

func (e *NotHeldError) Error() string { return e.Thing + ": not held here" }

// Advice says what an operator can do.
func (e *NotHeldError) Advice() string {
	return "Nothing, if it passes: the lease has run out and is claimed again; else look at which electors can be reached."
}

// RecordSizeError refuses a record over MaxRecord.
type RecordSizeError struct {
	Thing string
	Size  int
}

func (e *RecordSizeError) Error() string {
	return fmt.Sprintf("%s: a record of %d bytes, and %d are the most", e.Thing, e.Size, MaxRecord)
}

// Advice says what an operator can do.
func (e *RecordSizeError) Advice() string {
	return "Report it as a fault of the program, with the version: no setting makes a record as large."
}

// ThingNameError refuses a thing's name that is empty or over MaxName.
type ThingNameError struct{ Size int }

func (e *ThingNameError) Error() string {
	return fmt.Sprintf("a thing's name of %d bytes, and 1 to %d are allowed", e.Size, MaxName)
}

// Advice says what an operator can do.
func (e *ThingNameError) Advice() string {
	return "Shorten the number or the change's name in the site file."
}

// BodyError says why a message was passed by.
type BodyError struct{ Why string }

func (e *BodyError) Error() string { return "message not read: " + e.Why }

// Advice says what an operator can do.
func (e *BodyError) Advice() string {
	return "Look for another cluster or another program on the fleet's addresses; a few of them in a roll are versions that differ."
}

// RefusedError is why an elector did not vote.
type RefusedError struct {
	Thing, Elector string
	Reason         Reason
	Left           int64 // microseconds until it may change; 0: not known
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s: refused by %s: %s, %d ms left", e.Thing, e.Elector, e.Reason, (e.Left+999)/1000)
}

// Advice says what an operator can do.
func (e *RefusedError) Advice() string {
	switch e.Reason {
	case OlderRoster:
		return "Give this process the newer roster: the same site file as the others, and SIGHUP."
	case NewerRoster:
		return "Give the elector the newer roster: the same site file as here, and SIGHUP."
	case NoElector:
		return "Compare the rosters of the two site files: under one number they must have the same names."
	case Full:
		return "Claim fewer things, or raise the number of things that an elector keeps."
	}
	return "Nothing: it is asked again by itself once the time is over."
}
