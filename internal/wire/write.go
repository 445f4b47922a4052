package wire

import (
	"encoding/binary"
	"fmt"
	"strconv"
)

// The messages of the ordinary path are written behind a buffer parameter by parameter: no list of parameters is made,
// and values are copied once, to where they leave from.

// begin writes a message's head; finish fills in the length.
func begin(b []byte, kind Type, call uint64) []byte {
	return binary.BigEndian.AppendUint64(append(b, 0, 0, byte(kind)), call)
}

// param opens a parameter whose value is of the given length.
func param(b []byte, code byte, length int) []byte {
	return append(b, code, byte(length>>8), byte(length))
}

// number appends a parameter that is a number in text.
func number(b []byte, code byte, n int64) []byte {
	var text [20]byte
	digits := strconv.AppendInt(text[:0], n, 10)
	return append(param(b, code, len(digits)), digits...)
}

// finish sets the length of the message that begins at the given place; what is too long is taken off again.
func finish(b []byte, from int) ([]byte, error) {
	size := len(b) - from
	if size > MaxMessage {
		return b[:from], fmt.Errorf("%w: %d", ErrLength, size-2)
	}
	binary.BigEndian.PutUint16(b[from:], uint16(size-2))
	return b, nil
}

// AppendHeard writes that a release was heard.
func AppendHeard(b []byte, call uint64) []byte {
	out, _ := finish(begin(b, TypeHeard, call), len(b)) // it is never too long
	return out
}

// AppendTested writes a test's result, 1: passed.
func AppendTested(b []byte, call uint64, passed byte) []byte {
	out, _ := finish(append(param(begin(b, TypeTested, call), ParamCause, 1), passed), len(b)) // it is never too long
	return out
}

// AppendRelease writes a release, refusal or giving up. Milliseconds to stay away are told if there are any.
func AppendRelease(b []byte, call uint64, cause byte, stayAway int64) []byte {
	out := append(param(begin(b, TypeRelease, call), ParamCause, 1), cause)
	if stayAway > 0 {
		out = number(out, ParamStayAway, stayAway)
	}
	out, _ = finish(out, len(b)) // it is never too long
	return out
}

// AppendAnswer writes an answer with its description; an error leaves b as it was.
func AppendAnswer(b []byte, call uint64, description []byte) ([]byte, error) {
	out := append(param(begin(b, TypeAnswer, call), ParamDescription, len(description)), description...)
	return finish(out, len(b))
}

// AppendOnward writes the set-up that goes to a server, which is told how long the answer is waited for; an error leaves
// b as it was.
func (s *SetUp) AppendOnward(b []byte, call uint64, wait int64) ([]byte, error) {
	out := append(param(begin(b, TypeSetUp, call), ParamClass, len(s.Class)), s.Class...)
	out = number(out, ParamWait, max(1, wait/1000))
	out = append(param(out, ParamNumber, len(s.Number)), s.Number...)
	out = append(param(out, ParamDescription, len(s.Description)), s.Description...)
	return finish(out, len(b))
}
