package pooling

import (
	"fmt"

	"pewterwheel/internal/advice"
)

// PayloadError reports a message or a part of an entry that cannot be decoded. It is ignored; evidence from other
// processes still arrives.
type PayloadError struct {
	From string
	Why  error
}

// Error implements error.
func (e *PayloadError) Error() string {
	return fmt.Sprintf("pooling: payload from %q ignored: %v", e.From, e.Why)
}

// Unwrap returns the cause.
func (e *PayloadError) Unwrap() error { return e.Why }

// Advice implements advice.Advised.
func (e *PayloadError) Advice() string {
	return "Check that process's program version and the fleet's addresses: another program may be sending to them."
}

// ClientLimitError reports that the client table is full. Clients that are left out go by session.
type ClientLimitError struct{ Most int }

// Error implements error.
func (e *ClientLimitError) Error() string {
	return fmt.Sprintf("pooling: client table is full: %d clients are known and none can be evicted", e.Most)
}

// Advice implements advice.Advised.
func (e *ClientLimitError) Advice() string {
	return "Calls are not affected; if offices lack connections, let callers use fewer applications or addresses."
}

// RecordLimitError reports that evidence of other processes no longer fits. Verdicts use the evidence that does, and
// take longer.
type RecordLimitError struct{ Most int }

// Error implements error.
func (e *RecordLimitError) Error() string {
	return fmt.Sprintf("pooling: record table is full: %d records of other processes are kept", e.Most)
}

// Advice implements advice.Advised.
func (e *RecordLimitError) Advice() string {
	return "Expected in fleets of hundreds; split the installation into clusters if clients are raised too slowly."
}

// IsolatedError reports that most other processes are unreachable. No client is raised, and no client stays raised on
// the evidence of others.
type IsolatedError struct{ Reached, Known int }

// Error implements error.
func (e *IsolatedError) Error() string {
	return fmt.Sprintf("pooling: only %d of %d other processes are reachable", e.Reached, e.Known)
}

// Advice implements advice.Advised.
func (e *IsolatedError) Advice() string {
	return "Repair the network between the processes; until then clients go by session, with more connections at offices."
}

// StallError reports that the Module was stalled for so long that its table expired.
type StallError struct{ For int64 }

// Error implements error.
func (e *StallError) Error() string {
	return fmt.Sprintf("pooling: processing stalled for %d ms", e.For/1000)
}

// Advice implements advice.Advised.
func (e *StallError) Advice() string {
	return "Find what stopped the process (stop signal, overloaded machine); verdicts recover by themselves in seconds."
}

// ConfigError reports an invalid configuration.
type ConfigError struct{ What string }

// Error implements error.
func (e *ConfigError) Error() string { return "pooling: " + e.What }

// Advice implements advice.Advised.
func (e *ConfigError) Advice() string {
	return "Correct the [fleet] section of the site file and check it with config check."
}

// Errors lists all error types of the package.
var Errors = []advice.Advised{&PayloadError{}, &ClientLimitError{}, &RecordLimitError{}, &IsolatedError{},
	&StallError{}, &ConfigError{}}
