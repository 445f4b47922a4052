package aggregate

import "pewterwheel/internal/advice"

// Errors are all errors of this package, for the operators' page.
var Errors = []advice.Advised{&BodyError{}}

// BodyError is why a message of figures, or a subscription in an entry, was passed by.
type BodyError struct{ Why string }

func (e *BodyError) Error() string { return "figures not read: " + e.Why }

// Advice says what an operator can do.
func (e *BodyError) Advice() string {
	return "Look for a process of a version that is years away, or another program on the fleet's addresses; " +
		"a few of them harm nothing."
}
