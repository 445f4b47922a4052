package pooling

import (
	"fmt"

	"pewterwheel/internal/advice"
)

// BodyError reports a message or a part of an entry that cannot be decoded. It is ignored; evidence from other
// processes still arrives.
type BodyError struct {
	From string
	Why  error
}

// Error implements error.
func (e *BodyError) Error() string {
	return fmt.Sprintf("pooling: payload from %q ignored: %v", e.From, e.Why)
}

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Why }

// Advice implements advice.Advised.
func (e *BodyError) Advice() string {
	return "Check that process's program version and the fleet's addresses: another program may be sending to them."
}

// ClientsError reports that the client table is full. Clients that are left out go by session.
type ClientsError struct{ Most int }

// Error implements error.
func (e *ClientsError) Error() string {
	return fmt.Sprintf("pooling: client table is full: %d clients are known and none can be evicted", e.Most)
}

// Advice implements advice.Advised.
func (e *ClientsError) Advice() string {
	return "Calls are not affected; if offices lack connections, let callers use fewer applications or addresses."
}

// RecordsError reports that evidence of other processes no longer fits. Verdicts use the evidence that does, and take
// longer.
type RecordsError struct{ Most int }

// Error implements error.
func (e *RecordsError) Error() string {
	return fmt.Sprintf("pooling: record table is full: %d records of other processes are kept", e.Most)
}

// Advice implements advice.Advised.
func (e *RecordsError) Advice() string {
	return "Expected in fleets of hundreds; split the installation into clusters if clients are raised too slowly."
}

// CutError reports that most other processes are unreachable. No client is raised, and no client stays raised on the
// evidence of others.
type CutError struct{ Reached, Known int }

// Error implements error.
func (e *CutError) Error() string {
	return fmt.Sprintf("pooling: only %d of %d other processes are reachable", e.Reached, e.Known)
}

// Advice implements advice.Advised.
func (e *CutError) Advice() string {
	return "Repair the network between the processes; until then clients go by session, with more connections at offices."
}

// StillError reports that the Part was stalled for so long that its table expired.
type StillError struct{ For int64 }

// Error implements error.
func (e *StillError) Error() string {
	return fmt.Sprintf("pooling: processing stalled for %d ms", e.For/1000)
}

// Advice implements advice.Advised.
func (e *StillError) Advice() string {
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
var Errors = []advice.Advised{&BodyError{}, &ClientsError{}, &RecordsError{}, &CutError{}, &StillError{},
	&ConfigError{}}
