package stage

import (
	"fmt"

	"pewterwheel/internal/advice"
)

// Errors lists a value of each error type of this package.
var Errors = []advice.Advised{&TargetError{}, &NumberError{}, &RunningError{}, &FenceError{}, &RecordError{}}

// TargetError is a change that names nothing that a process could go by.
type TargetError struct {
	Change uint64
	Why    string
}

func (e *TargetError) Error() string { return fmt.Sprintf("change %d: %s", e.Change, e.Why) }

// Advice tells what an operator can do.
func (*TargetError) Advice() string {
	return "Give [change] a number from 1 and a settings file whose path has at most 120 bytes, and send SIGHUP again."
}

// NumberError is a change under the number of one that is over.
type NumberError struct{ Change, Over uint64 }

func (e *NumberError) Error() string {
	return fmt.Sprintf("change %d is not higher than change %d, which is over", e.Change, e.Over)
}

// Advice tells what an operator can do.
func (*NumberError) Advice() string {
	return "Give the change in [change] a number higher than that of every change before, and send SIGHUP again."
}

// RunningError is a change while another runs.
type RunningError struct {
	Change, Running uint64
	Conductor       string // as last heard; empty: not known
}

func (e *RunningError) Error() string {
	return fmt.Sprintf("change %d refused: change %d runs, conducted by %q", e.Change, e.Running, e.Conductor)
}

// Advice tells what an operator can do.
func (*RunningError) Advice() string {
	return "Wait until STATS of any process shows the running change as over, then send SIGHUP again."
}

// FenceError is an order under a lower fencing number than this process has seen.
type FenceError struct {
	Change, Fence, Seen uint64
	From                string
}

func (e *FenceError) Error() string {
	return fmt.Sprintf("order of %q for change %d under number %d refused: %d was seen", e.From, e.Change, e.Fence, e.Seen)
}

// Advice tells what an operator can do.
func (*FenceError) Advice() string {
	return "Nothing, if it is seen once after a cut: the sender is no longer the conductor; if it goes on, look at the sender's clock."
}

// RecordError is a record of the change's lease that cannot be read.
type RecordError struct{ Err error }

func (e *RecordError) Error() string { return fmt.Sprintf("record of the change: %v", e.Err) }

// Unwrap gives the cause.
func (e *RecordError) Unwrap() error { return e.Err }

// Advice tells what an operator can do.
func (*RecordError) Advice() string {
	return "A newer version conducts: let it finish, or end every process that runs it, before a change is begun from here."
}
