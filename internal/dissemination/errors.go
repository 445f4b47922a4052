package dissemination

import (
	"fmt"

	"pewterwheel/internal/advice"
)

// Errors are all errors of this package, for the operators' page.
var Errors = []advice.Advised{&MessageError{}}

// Fault is what is wrong with a message.
type Fault uint8

// The faults.
const (
	TooLong     Fault = iota + 1 // over fleet.MaxBody
	NotCoded                     // not the coding of fleet.Coding, or cut off
	UnknownType                  // none of the types of messages
	BadCount                     // a list that is too long, or digests of another number of buckets
	BadName                      // a name that is empty, too long, or no text
	BadNumber                    // an incarnation or a version out of bounds
)

var faultNames = [...]string{
	TooLong:     "too long",
	NotCoded:    "not readable",
	UnknownType: "no type that is known",
	BadCount:    "a list of a wrong length",
	BadName:     "a name that is empty, too long or no text",
	BadNumber:   "a number out of bounds",
}

// String returns what is wrong, in a few words; "unknown" for a value that is none.
func (f Fault) String() string {
	if f >= TooLong && int(f) < len(faultNames) {
		return faultNames[f]
	}
	return "unknown"
}

// MessageError is a message of Repair that was not read.
type MessageError struct {
	Size  int // bytes
	Fault Fault
	Cause error // of the decoder; nil: the message could be decoded
}

func (e *MessageError) Error() string {
	text := fmt.Sprintf("repair: message of %d bytes: %s", e.Size, e.Fault)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the error of the decoder.
func (e *MessageError) Unwrap() error { return e.Cause }

// Advice says what an operator can do.
func (e *MessageError) Advice() string {
	return "Look for another program on the fleet's addresses, or a process of a version that is years away; " +
		"a few harm nothing."
}
