package stage

import (
	"fmt"

	"pewterwheel/internal/advice"
)

// Errors lists one value of each error type of this package.
var Errors = []advice.Advised{&TargetError{}, &NumberError{}, &RunningError{}, &FenceError{}, &RecordError{}}

// TargetError reports a change whose target is invalid.
type TargetError struct {
	Change uint64
	Reason string
}

func (e *TargetError) Error() string { return fmt.Sprintf("change %d: %s", e.Change, e.Reason) }

// Advice returns what an operator can do about it.
func (*TargetError) Advice() string {
	return "Give [change] a number from 1 and a settings file whose path has at most 120 bytes, and send SIGHUP again."
}

// NumberError reports a change whose number is not higher than that of a change that is over.
type NumberError struct{ Change, HighestOver uint64 }

func (e *NumberError) Error() string {
	return fmt.Sprintf("change %d is not higher than change %d, which is over", e.Change, e.HighestOver)
}

// Advice returns what an operator can do about it.
func (*NumberError) Advice() string {
	return "Give the change in [change] a number higher than that of every change before, and send SIGHUP again."
}

// RunningError reports a change that was refused because another one is running.
type RunningError struct {
	Change, Running uint64
	Conductor       string // as last heard; empty if not known
}

func (e *RunningError) Error() string {
	return fmt.Sprintf("change %d refused: change %d is running, conducted by %q", e.Change, e.Running, e.Conductor)
}

// Advice returns what an operator can do about it.
func (*RunningError) Advice() string {
	return "Wait until STATS of any process shows that the running change is over, then send SIGHUP again."
}

// FenceError reports an order with a lower fencing number than the highest that this process has seen.
type FenceError struct {
	Change, Fence, HighestSeen uint64
	From                       string
}

func (e *FenceError) Error() string {
	return fmt.Sprintf("order from %q for change %d with fencing number %d refused: %d was seen",
		e.From, e.Change, e.Fence, e.HighestSeen)
}

// Advice returns what an operator can do about it.
func (*FenceError) Advice() string {
	return "Ignore it once after a partition: the sender no longer conducts. If it repeats, check the sender's clock."
}

// RecordError reports that the record of the lease of the change cannot be decoded.
type RecordError struct{ Err error }

func (e *RecordError) Error() string {
	return fmt.Sprintf("cannot decode the record of the change: %v", e.Err)
}

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Err }

// Advice returns what an operator can do about it.
func (*RecordError) Advice() string {
	return "A newer version conducts: let it finish, or stop all processes that run it, before starting a change here."
}
