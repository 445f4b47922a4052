package lease

import (
	"fmt"

	"pewterwheel/internal/advice"
)

// Errors lists all errors of this package, for the operators' page.
var Errors = []advice.Advised{&StaleFenceError{}, &RosterSequenceError{}, &RosterChangeError{}, &InvalidRosterError{},
	&NotHeldError{},
	&RecordSizeError{}, &ResourceNameError{}, &MessageError{}, &RefusedError{}}

// StaleFenceError refuses an action under a fence lower than one already seen.
type StaleFenceError struct {
	Resource       string
	Fence, Highest uint64
}

func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("%s: fence %d is lower than fence %d, which has already been seen", e.Resource, e.Fence,
		e.Highest)
}

// Advice returns what an operator can do.
func (e *StaleFenceError) Advice() string {
	return "Ignore a single case: an earlier holder acted late and was refused; restart a process that repeats it."
}

// RosterSequenceError rejects a roster whose number does not follow the current one.
type RosterSequenceError struct{ Current, Got uint64 }

func (e *RosterSequenceError) Error() string {
	return fmt.Sprintf("roster %d does not follow roster %d", e.Got, e.Current)
}

// Advice returns what an operator can do.
func (e *RosterSequenceError) Advice() string {
	return fmt.Sprintf(
		"Install roster %d first, one lease apart from the next, or restart this process with the others' roster.",
		e.Current+1)
}

// RosterChangeError rejects a roster while the previous change is not complete: it is younger than a lease, or local
// state has not been transferred to the new electors.
type RosterChangeError struct {
	Current, Got uint64
	Left         int64 // microseconds; 0: only the transfer of resources is not complete
	Resources    int   // number of resources still to be transferred
}

func (e *RosterChangeError) Error() string {
	return fmt.Sprintf(
		"roster %d rejected: the change to roster %d is incomplete, %d ms and %d resource transfers remain", e.Got,
		e.Current,
		(e.Left+999)/1000, e.Resources)
}

// Advice returns what an operator can do.
func (e *RosterChangeError) Advice() string {
	return fmt.Sprintf(
		"Check that a majority of roster %d and of the previous one is running, wait, and install roster %d again.",
		e.Current, e.Got)
}

// InvalidRosterError rejects a roster without names, with a duplicate name, or with a different list under a used
// number.
type InvalidRosterError struct {
	Number uint64
	Reason string
}

func (e *InvalidRosterError) Error() string { return fmt.Sprintf("roster %d: %s", e.Number, e.Reason) }

// Advice returns what an operator can do.
func (e *InvalidRosterError) Advice() string {
	return "Correct the roster in the site file: each name once, and a new number for each new list."
}

// NotHeldError rejects a write to a resource that this process does not hold.
type NotHeldError struct{ Resource string }

func (e *NotHeldError) Error() string { return e.Resource + ": lease is not held by this process" }

// Advice returns what an operator can do.
func (e *NotHeldError) Advice() string {
	return "No action if it passes: the lease expired and is claimed again; else check which electors are reachable."
}

// RecordSizeError rejects a record larger than MaxRecord.
type RecordSizeError struct {
	Resource string
	Size     int
}

func (e *RecordSizeError) Error() string {
	return fmt.Sprintf("%s: record of %d bytes exceeds the maximum of %d", e.Resource, e.Size, MaxRecord)
}

// Advice returns what an operator can do.
func (e *RecordSizeError) Advice() string {
	return "Report it as a bug, with the version: no setting makes a record this large."
}

// ResourceNameError rejects a resource name that is empty or longer than MaxName.
type ResourceNameError struct{ Size int }

func (e *ResourceNameError) Error() string {
	return fmt.Sprintf("resource name of %d bytes: the length must be 1 to %d", e.Size, MaxName)
}

// Advice returns what an operator can do.
func (e *ResourceNameError) Advice() string {
	return "Shorten the number or the change's name in the site file."
}

// MessageError says why a message was dropped.
type MessageError struct{ Reason string }

func (e *MessageError) Error() string { return "lease message dropped: " + e.Reason }

// Advice returns what an operator can do.
func (e *MessageError) Advice() string {
	return "Check for another cluster or program on the fleet's addresses; a few during an update are version skew."
}

// RefusedError says why an elector did not vote.
type RefusedError struct {
	Resource, Elector string
	Reason            Reason
	RetryAfter        int64 // microseconds until this may change; 0: unknown
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s: elector %s refused the claim: %s, %d ms left", e.Resource, e.Elector, e.Reason,
		(e.RetryAfter+999)/1000)
}

// Advice returns what an operator can do.
func (e *RefusedError) Advice() string {
	switch e.Reason {
	case OlderRoster:
		return "Give this process the newer roster: install the site file of the others and send SIGHUP."
	case NewerRoster:
		return "Give the elector the newer roster: install the site file of this process there and send SIGHUP."
	case NoElector:
		return "Compare the rosters of the two site files: rosters with the same number must list the same names."
	case Full:
		return "Claim fewer resources, or raise the number of resources that an elector keeps."
	}
	return "No action: the claim is retried automatically after the remaining time."
}
