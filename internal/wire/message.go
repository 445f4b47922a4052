package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"

	"pewterwheel/decide"
)

// MaxMessage is the most bytes that a binary message may hold, its length field included.
const MaxMessage = 16 << 10

// Type is the type byte of a binary message.
type Type byte

// The types of message.
const (
	TypeSetUp    Type = 1
	TypeProgress Type = 6
	TypeAnswer   Type = 9
	TypeRelease  Type = 12 // also a refusal, and the giving up of a set-up
	TypeHeard    Type = 16
	TypeGroup    Type = 43
	TypeTest     Type = 52
	TypeTested   Type = 53
)

// The parameters that this program reads or writes.
const (
	ParamClass       = 16
	ParamWait        = 19
	ParamNumber      = 28
	ParamInfo        = 31
	ParamStayAway    = 34
	ParamNote        = 37
	ParamLoad        = 43
	ParamCause       = 58
	ParamDescription = 61
)

// The causes of a release. Any cause but 34, 42 and 102 tells a caller that its call has failed.
const (
	CauseNormal     = 16 // given up, or at its end
	CauseBusy       = 17
	CauseFull       = 34
	CauseCut        = 41
	CauseCongestion = 42
	CauseFault      = 47
	CauseMissing    = 96 // a parameter is missing or cannot be read
	CauseMoot       = 102
)

// NoteOverload is the note of a server whose processor is full.
const NoteOverload = "ovl"

// Param is one parameter of a message.
type Param struct {
	Code  byte
	Value []byte
}

// Message is one binary message. Its values share the memory that it was read from.
type Message struct {
	Type   Type
	Call   uint64
	Params []Param
	// Bad tells that the parameters do not fill the message exactly: the call is harmed, its connection not.
	Bad bool
}

// ErrLength is a length field that no message can have; what follows on the connection cannot be read.
var ErrLength = errors.New("message length out of bounds")

const messageHead = 9 // type and call id, which the length counts

// Next reads the first message of buf and tells how many bytes it took; 0 means that more is needed.
func Next(buf []byte) (Message, int, error) { return NextInto(buf, nil) }

// NextInto is Next with a list for the parameters, which is written over; the message is good until it is used again.
func NextInto(buf []byte, params []Param) (Message, int, error) {
	if len(buf) < 2 {
		return Message{}, 0, nil
	}
	size := int(binary.BigEndian.Uint16(buf))
	if size < messageHead || size+2 > MaxMessage {
		return Message{}, 0, fmt.Errorf("%w: %d", ErrLength, size)
	}
	if len(buf) < 2+size {
		return Message{}, 0, nil
	}
	m := Message{Type: Type(buf[2]), Call: binary.BigEndian.Uint64(buf[3:]), Params: params[:0]}
	for rest := buf[11 : 2+size]; len(rest) > 0; {
		if len(rest) < 3 || len(rest)-3 < int(binary.BigEndian.Uint16(rest[1:])) {
			m.Bad = true
			break
		}
		end := 3 + int(binary.BigEndian.Uint16(rest[1:]))
		m.Params = append(m.Params, Param{rest[0], rest[3:end:end]})
		rest = rest[end:]
	}
	return m, 2 + size, nil
}

// Missing is how many bytes a message that has begun still needs to be whole; next, what has come behind them, may hold the
// rest of its length. Where not even that has come, it is all that has.
func Missing(begun, next []byte) int {
	const length = 2
	have := len(begun)
	if have < length {
		if have+len(next) < length {
			return len(next)
		}
		begun = append(begun[:have:have], next[:length-have]...)
	}
	return max(length-have, length+int(binary.BigEndian.Uint16(begun))-have)
}

// MayBeTest reports whether a message that has begun is a health test, as far as can be told.
func MayBeTest(begun []byte) bool {
	const typeAt = 2 // behind the length
	return len(begun) > 0 && (len(begun) <= typeAt || Type(begun[typeAt]) == TypeTest)
}

// Append writes the message behind b.
func (m Message) Append(b []byte) ([]byte, error) {
	size := messageHead
	for _, p := range m.Params {
		size += 3 + len(p.Value)
	}
	if size+2 > MaxMessage {
		return b, fmt.Errorf("%w: %d", ErrLength, size)
	}
	b = binary.BigEndian.AppendUint16(b, uint16(size))
	b = append(b, byte(m.Type))
	b = binary.BigEndian.AppendUint64(b, m.Call)
	for _, p := range m.Params {
		b = append(b, p.Code)
		b = binary.BigEndian.AppendUint16(b, uint16(len(p.Value)))
		b = append(b, p.Value...)
	}
	return b, nil
}

// Get returns the first parameter of that code.
func (m Message) Get(code byte) ([]byte, bool) {
	for _, p := range m.Params {
		if p.Code == code {
			return p.Value, true
		}
	}
	return nil, false
}

// Cause returns the cause of a release; 0 if it names none that can be read.
func (m Message) Cause() byte {
	if v, ok := m.Get(ParamCause); ok && len(v) == 1 {
		return v[0]
	}
	return 0
}

// Overload tells whether a note says that the processor was full.
func (m Message) Overload() bool {
	note, _ := m.Get(ParamNote)
	return string(note) == NoteOverload
}

// Load reads what a server tells of itself: its free lines, in the state of a group. What cannot be read is
// not told.
func (m Message) Load() decide.Load {
	l := decide.NoLoad()
	m.eachFigure(func(name string, n float64) { l = told(l, name, n) })
	return l
}

// LinesInUse reads how many of a server's lines calls of all senders take, where the state of a group tells how many lines
// there are and how many of them are free.
func (m Message) LinesInUse() (lines int, told bool) {
	free, size := -1.0, -1.0
	m.eachFigure(func(name string, n float64) {
		switch name {
		case "free":
			free = n
		case "size":
			size = n
		}
	})
	if free < 0 || size <= 0 || free > size {
		return 0, false
	}
	return int(size - free), true
}

// eachFigure gives each figure that a server tells of itself and that can be read.
func (m Message) eachFigure(take func(name string, n float64)) {
	v, _ := m.Get(ParamLoad)
	for len(v) > 0 {
		var field []byte
		field, v, _ = bytes.Cut(v, []byte{';'})
		name, value, _ := bytes.Cut(field, []byte{':'})
		if n, err := strconv.ParseFloat(string(value), 64); err == nil && n >= 0 && n <= maxLoad {
			take(string(name), n)
		}
	}
}

// maxLoad is above any figure of a server; the bound also keeps infinities from the module's sums.
const maxLoad = 1e12

// Text makes a parameter of a text.
func Text(code byte, value string) Param { return Param{code, []byte(value)} }

// ReleaseOf makes a release, refusal or giving up with its cause.
func ReleaseOf(call uint64, cause byte) Message {
	return Message{Type: TypeRelease, Call: call, Params: []Param{{ParamCause, []byte{cause}}}}
}

// SetUp is what a caller's set-up asks for.
type SetUp struct {
	Class       string
	Wait        int64 // microseconds from when the caller sent it
	Number      string
	Dest        int // place of first choice; -1: none
	Width       int // lines that it takes; 0: not said
	Again       bool
	Description []byte
}

// maxPlace bounds the number of a place, maxNumber the length of a number called.
const (
	maxPlace  = 1<<16 - 1
	maxNumber = 256
)

// maxWait bounds a caller's wait, so that no arithmetic on it can overflow.
const maxWait = 3_600_000

// ReadSetUp reads the parameters of a set-up. Its texts are copies, but for a class that is known by name, whose text is
// that of the names; the description goes into the room given. It is strict, for a server closes its connection
// on what it cannot read, whatever else is open there, and no figure that is none may reach a decision.
func ReadSetUp(m Message, names map[string]string, room []byte) (SetUp, error) {
	s := SetUp{Dest: -1, Description: room[:0]}
	if m.Bad {
		return s, errors.New("parameters do not fill the set-up")
	}
	if m.Call == 0 {
		return s, errors.New("no id")
	}
	class, ok := m.Get(ParamClass)
	if !ok {
		return s, errors.New("parameter 16 is missing")
	}
	wait, ok := m.Get(ParamWait)
	if !ok {
		return s, errors.New("parameter 19 is missing")
	}
	ms, err := strconv.ParseInt(string(wait), 10, 64)
	if err != nil || ms < 0 || ms > maxWait {
		return s, fmt.Errorf("parameter 19: no wait: %.20q", wait)
	}
	number, _ := m.Get(ParamNumber)
	if len(number) == 0 || len(number) > maxNumber || !printable(number) {
		return s, fmt.Errorf("parameter 28: %.20q", number)
	}
	name, known := names[string(class)]
	if !known {
		name = string(class)
	}
	s.Class, s.Wait, s.Number = name, ms*1000, string(number)
	v, _ := m.Get(ParamDescription)
	if len(v) == 0 {
		return s, errors.New("parameter 61 is missing")
	}
	s.Description = append(s.Description, v...)
	info, _ := m.Get(ParamInfo)
	return s, s.figures(info)
}

// figures reads parameter 31. Names that are not known are passed over, figures that are none are not.
func (s *SetUp) figures(info []byte) error {
	again := 0
	for more := true; more; {
		var field []byte
		field, info, more = bytes.Cut(info, []byte{';'})
		name, value, ok := bytes.Cut(field, []byte{':'})
		if !ok {
			return fmt.Errorf("parameter 31: %.20q", field)
		}
		var into *int
		low, high, via := 0, maxPlace, 0
		switch string(name) {
		case "dest":
			into, low = &s.Dest, -1
		case "via":
			into, low = &via, -1
		case "width":
			into, low = &s.Width, 1
		case "again":
			into, high = &again, 1
		default:
			continue
		}
		n, err := strconv.Atoi(string(value))
		if err != nil || n < low || n > high {
			return fmt.Errorf("parameter 31: %s %.20q", name, value)
		}
		*into = n
	}
	s.Again = again == 1
	return nil
}

// printable tells whether a text holds printable ASCII alone, and no space.
func printable(text []byte) bool {
	for _, c := range text {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// Onward makes the set-up that goes to a server, which is told how long the answer is waited for.
func (s SetUp) Onward(call uint64, wait int64) Message {
	return Message{Type: TypeSetUp, Call: call, Params: []Param{Text(ParamClass, s.Class),
		Text(ParamWait, strconv.FormatInt(max(1, wait/1000), 10)), Text(ParamNumber, s.Number),
		{ParamDescription, s.Description}}}
}
