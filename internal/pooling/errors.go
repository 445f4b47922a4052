package pooling

import (
	"fmt"

	"pewterwheel/internal/advice"
)

// BodyError is a message or a part of an entry that cannot be read. It is passed by; evidence goes on coming from others.
type BodyError struct {
	From string
	Why  error
}

// Error implements error.
func (e *BodyError) Error() string { return fmt.Sprintf("pooling: from %q: %v", e.From, e.Why) }

// Unwrap gives the reason.
func (e *BodyError) Unwrap() error { return e.Why }

// Advice implements advice.Advised.
func (e *BodyError) Advice() string {
	return "Look at that process's program version, and at the fleet's addresses: something else may be sending there."
}

// ClientsError tells that no more clients fit: those left out go by session.
type ClientsError struct{ Most int }

// Error implements error.
func (e *ClientsError) Error() string {
	return fmt.Sprintf("pooling: %d clients are known and none may be forgotten", e.Most)
}

// Advice implements advice.Advised.
func (e *ClientsError) Advice() string {
	return "Nothing is wrong with calls; if offices run short of connections, let callers declare fewer applications or addresses."
}

// RecordsError tells that evidence of other processes no longer fits: verdicts go by what does, and are made later.
type RecordsError struct{ Most int }

// Error implements error.
func (e *RecordsError) Error() string {
	return fmt.Sprintf("pooling: %d records of other processes are kept and there is no room for more", e.Most)
}

// Advice implements advice.Advised.
func (e *RecordsError) Advice() string {
	return "Expected in fleets of hundreds; split the installation into clusters if clients are raised too slowly."
}

// CutError tells that most processes cannot be heard: nobody is raised, and nobody stays raised on what others saw.
type CutError struct{ Reached, Known int }

// Error implements error.
func (e *CutError) Error() string {
	return fmt.Sprintf("pooling: %d of %d other processes are heard", e.Reached, e.Known)
}

// Advice implements advice.Advised.
func (e *CutError) Advice() string {
	return "Mend the network between the processes; until then expect more connections at offices, by session."
}

// StillError tells that the part stood still for so long that its table ran out.
type StillError struct{ For int64 }

// Error implements error.
func (e *StillError) Error() string {
	return fmt.Sprintf("pooling: nothing was done for %d ms", e.For/1000)
}

// Advice implements advice.Advised.
func (e *StillError) Advice() string {
	return "Look for what stopped the process (a stop signal, a starved machine); verdicts come back by themselves within seconds."
}

// ConfigError tells what of a configuration cannot be gone by.
type ConfigError struct{ What string }

// Error implements error.
func (e *ConfigError) Error() string { return "pooling: " + e.What }

// Advice implements advice.Advised.
func (e *ConfigError) Advice() string {
	return "Mend the [fleet] section of the site file and check it with config check."
}

// Errors lists every error type of the package.
var Errors = []advice.Advised{&BodyError{}, &ClientsError{}, &RecordsError{}, &CutError{}, &StillError{}, &ConfigError{}}
