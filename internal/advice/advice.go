// Package advice is how an error tells an operator what to do: every error type of the parts that work between processes
// has one method for it, and the log carries it as a field of its own.
package advice

import (
	"errors"
	"log/slog"
)

// Advised is an error that says what an operator can do about it, in one sentence.
type Advised interface {
	error
	Advice() string
}

// Of returns the advice of the first error in a chain that has one; empty: none has.
func Of(err error) string {
	var a Advised
	if errors.As(err, &a) {
		return a.Advice()
	}
	return ""
}

// Attr is an error's advice as a field of a log line.
func Attr(err error) slog.Attr { return slog.String("advice", Of(err)) }
