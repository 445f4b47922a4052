// Package recovery decides what of a running program becomes records of a store, how records fold back into a state, and
// what of that state may still be believed at a given age. It owns no file and no clock; times are Unix microseconds.
package recovery

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"pewterwheel/decide"
	"pewterwheel/internal/store"
)

// Stage is how far a call is.
type Stage byte

// The stages of a call that is kept.
const (
	Out     Stage = iota + 1 // an attempt is out
	Stands                   // it stands at its office
	Guarded                  // no attempt is out, and none may be before its guard is over
)

func (s Stage) String() string {
	if s < Out || s > Guarded {
		return "stage " + strconv.Itoa(int(s))
	}
	return [...]string{"", "out", "stands", "guarded"}[s]
}

// Call is what is kept of a call.
type Call struct {
	ID       uint64          `json:"id"`
	Stage    Stage           `json:"stage"`
	Office   decide.ServerID `json:"office"`
	Attempts int             `json:"attempts"`
	Since    int64           `json:"since"`           // when the stage began
	Deadline int64           `json:"deadline"`        // when the caller gives up
	Until    int64           `json:"until,omitempty"` // when the guard is over
}

// Member is what is kept of an office on the list.
type Member struct {
	Office  decide.ServerID `json:"office"`
	Address string          `json:"address"`
	State   decide.State    `json:"state"`
	Place   int             `json:"place"`
	Zone    int             `json:"zone"`
	Share   float64         `json:"share"`
	Started int64           `json:"started"`
	Told    int64           `json:"told"` // when it was last told of
}

// Limit is a limit that was learned.
type Limit struct {
	Office  decide.ServerID `json:"office"`
	Open    float64         `json:"open"` // set-ups that the office may have open
	Learned int64           `json:"learned"`
}

// State is all that is kept.
type State struct {
	Calls   map[uint64]Call
	Members map[decide.ServerID]Member
	Limits  map[decide.ServerID]Limit
}

// NewState returns an empty state.
func NewState() State {
	return State{map[uint64]Call{}, map[decide.ServerID]Member{}, map[decide.ServerID]Limit{}}
}

// Keys of records begin with what they are.
const callKey, memberKey, limitKey = "c/", "m/", "l/"

// form leads a value: another one is read by its own rules.
const form = 1

var errValue = errors.New("a value that cannot be read")

// pack writes a value's fields: numbers, and texts led by their length.
func pack(fields ...any) []byte {
	b := []byte{form}
	for _, f := range fields {
		switch f := f.(type) {
		case int64:
			b = binary.AppendVarint(b, f)
		case float64:
			b = binary.BigEndian.AppendUint64(b, math.Float64bits(f))
		case string:
			b = append(binary.AppendUvarint(b, uint64(len(f))), f...)
		}
	}
	return b
}

// unpack reads fields of the same kinds in the same order; nothing may be left.
func unpack(b []byte, fields ...any) error {
	if len(b) == 0 || b[0] != form {
		return errValue
	}
	b = b[1:]
	for _, f := range fields {
		switch f := f.(type) {
		case *int64:
			n, k := binary.Varint(b)
			if k <= 0 {
				return errValue
			}
			*f, b = n, b[k:]
		case *float64:
			if len(b) < 8 {
				return errValue
			}
			*f, b = math.Float64frombits(binary.BigEndian.Uint64(b)), b[8:]
		case *string:
			n, k := binary.Uvarint(b)
			if k <= 0 || n > uint64(len(b)-k) {
				return errValue
			}
			*f, b = string(b[k:k+int(n)]), b[k+int(n):]
		}
	}
	if len(b) > 0 {
		return errValue
	}
	return nil
}

func (c Call) op() store.Op {
	return store.Op{Key: callKey + strconv.FormatUint(c.ID, 16),
		Value: pack(int64(c.Stage), string(c.Office), int64(c.Attempts), c.Since, c.Deadline, c.Until)}
}

func (m Member) op() store.Op {
	return store.Op{Key: memberKey + string(m.Office),
		Value: pack(m.Address, int64(m.State), int64(m.Place), int64(m.Zone), m.Share, m.Started, m.Told)}
}

func (l Limit) op() store.Op {
	return store.Op{Key: limitKey + string(l.Office), Value: pack(l.Open, l.Learned)}
}

func gone(key string) store.Op { return store.Op{Delete: true, Key: key} }

func readCall(key string, value []byte) (c Call, err error) {
	if c.ID, err = strconv.ParseUint(strings.TrimPrefix(key, callKey), 16, 64); err != nil {
		return c, errValue
	}
	var stage, attempts int64
	err = unpack(value, &stage, (*string)(&c.Office), &attempts, &c.Since, &c.Deadline, &c.Until)
	c.Stage, c.Attempts = Stage(stage), int(attempts)
	if err == nil && (c.Stage < Out || c.Stage > Guarded || stage > int64(Guarded)) {
		err = errValue
	}
	return c, err
}

func readMember(key string, value []byte) (m Member, err error) {
	var s, place, zone int64
	err = unpack(value, &m.Address, &s, &place, &zone, &m.Share, &m.Started, &m.Told)
	m.Office, m.State, m.Place, m.Zone = decide.ServerID(strings.TrimPrefix(key, memberKey)), decide.State(s), int(place), int(zone)
	if err == nil && (m.State < decide.Up || m.State > decide.Removed || !(m.Share >= 0) || math.IsInf(m.Share, 0)) {
		err = errValue
	}
	return m, err
}

func readLimit(key string, value []byte) (l Limit, err error) {
	err = unpack(value, &l.Open, &l.Learned)
	l.Office = decide.ServerID(strings.TrimPrefix(key, limitKey))
	if err == nil && (!(l.Open >= 0) || math.IsInf(l.Open, 0)) {
		err = errValue
	}
	return l, err
}

// Describe reads one record, for people.
func Describe(key string, value []byte) (any, error) {
	switch {
	case strings.HasPrefix(key, callKey):
		return readCall(key, value)
	case strings.HasPrefix(key, memberKey):
		return readMember(key, value)
	case strings.HasPrefix(key, limitKey):
		return readLimit(key, value)
	}
	return nil, fmt.Errorf("key %q: %w", key, errValue)
}

// Fold makes the state of a store's records. What cannot be read is left out and named: it is not guessed at.
func Fold(records map[string][]byte) (State, []string) {
	s := NewState()
	var unread []string
	for key, value := range records { // no order: each is a value of its own
		v, err := Describe(key, value)
		if err != nil {
			unread = append(unread, key)
			continue
		}
		switch v := v.(type) {
		case Call:
			s.Calls[v.ID] = v
		case Member:
			s.Members[v.Office] = v
		case Limit:
			s.Limits[v.Office] = v
		}
	}
	return s, unread
}

// Later decides what a record that was found behind damage does to the one before it. It can only end or tighten: a
// call takes its later stage, a member is drained or removed but never up again, a limit falls. Nothing new comes of it.
func Later(key string, have []byte, op store.Op) (store.Op, bool) {
	was, err := Describe(key, have)
	is, err2 := Describe(key, op.Value)
	if err2 != nil {
		return op, false
	}
	if err != nil {
		return gone(key), true // what it said cannot be read, and it has changed since
	}
	switch is := is.(type) {
	case Call:
		return op, is.Stage >= was.(Call).Stage
	case Member:
		return op, is.State > was.(Member).State
	case Limit:
		return op, is.Open < was.(Limit).Open
	}
	return op, false
}
