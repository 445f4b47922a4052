// Package recovery converts the state of a running program to records of a store, rebuilds the state from them, and
// decides which of it is still valid at a given age. It uses no file and no clock; times are Unix microseconds.
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

// Stage is the progress of a call.
type Stage byte

// Stages of a stored call.
const (
	AttemptOut  Stage = iota + 1 // an attempt is out
	Established                  // the call is established at its office
	Guarded                      // no attempt is out, and none may be sent before the guard time has passed
)

func (s Stage) String() string {
	if s < AttemptOut || s > Guarded {
		return "stage " + strconv.Itoa(int(s))
	}
	return [...]string{"", "out", "stands", "guarded"}[s]
}

// Call is the stored state of a call.
type Call struct {
	ID       uint64          `json:"id"`
	Stage    Stage           `json:"stage"`
	Office   decide.ServerID `json:"office"`
	Attempts int             `json:"attempts"`
	Since    int64           `json:"since"`           // when the stage began
	Deadline int64           `json:"deadline"`        // when the caller gives up
	Until    int64           `json:"until,omitempty"` // when the guard time has passed
}

// OfficeEntry is the stored state of an office on the list.
type OfficeEntry struct {
	Office  decide.ServerID `json:"office"`
	Address string          `json:"address"`
	State   decide.State    `json:"state"`
	Place   int             `json:"place"`
	Zone    int             `json:"zone"`
	Share   float64         `json:"share"`
	Started int64           `json:"started"`
	Told    int64           `json:"told"` // when the list last reported it
}

// Limit is a learned limit.
type Limit struct {
	Office  decide.ServerID `json:"office"`
	Open    float64         `json:"open"` // maximum of open set-ups at the office
	Learned int64           `json:"learned"`
}

// State is the whole stored state.
type State struct {
	Calls   map[uint64]Call
	Offices map[decide.ServerID]OfficeEntry
	Limits  map[decide.ServerID]Limit
}

// NewState returns an empty state.
func NewState() State {
	return State{map[uint64]Call{}, map[decide.ServerID]OfficeEntry{}, map[decide.ServerID]Limit{}}
}

// Prefixes of the keys of records, by type.
const callKey, officeKey, limitKey = "c/", "m/", "l/"

// valueVersion is the first byte of a value; a later version of the format has another.
const valueVersion = 1

var errUnreadable = errors.New("value cannot be decoded")

// encodeFields encodes the fields of a value: numbers, and strings with their length in front.
func encodeFields(fields ...any) []byte {
	b := []byte{valueVersion}
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

// decodeFields reads fields of the same types in the same order; the value must contain nothing else.
func decodeFields(b []byte, fields ...any) error {
	if len(b) == 0 || b[0] != valueVersion {
		return errUnreadable
	}
	b = b[1:]
	for _, f := range fields {
		switch f := f.(type) {
		case *int64:
			n, k := binary.Varint(b)
			if k <= 0 {
				return errUnreadable
			}
			*f, b = n, b[k:]
		case *float64:
			if len(b) < 8 {
				return errUnreadable
			}
			*f, b = math.Float64frombits(binary.BigEndian.Uint64(b)), b[8:]
		case *string:
			n, k := binary.Uvarint(b)
			if k <= 0 || n > uint64(len(b)-k) {
				return errUnreadable
			}
			*f, b = string(b[k:k+int(n)]), b[k+int(n):]
		}
	}
	if len(b) > 0 {
		return errUnreadable
	}
	return nil
}

func (c Call) op() store.Op {
	return store.Op{Key: callKey + strconv.FormatUint(c.ID, 16),
		Value: encodeFields(int64(c.Stage), string(c.Office), int64(c.Attempts), c.Since, c.Deadline, c.Until)}
}

func (o OfficeEntry) op() store.Op {
	return store.Op{Key: officeKey + string(o.Office),
		Value: encodeFields(o.Address, int64(o.State), int64(o.Place), int64(o.Zone), o.Share, o.Started, o.Told)}
}

func (l Limit) op() store.Op {
	return store.Op{Key: limitKey + string(l.Office), Value: encodeFields(l.Open, l.Learned)}
}

func deletion(key string) store.Op { return store.Op{Delete: true, Key: key} }

func readCall(key string, value []byte) (call Call, err error) {
	if call.ID, err = strconv.ParseUint(strings.TrimPrefix(key, callKey), 16, 64); err != nil {
		return call, errUnreadable
	}
	var stage, attempts int64
	err = decodeFields(value, &stage, (*string)(&call.Office), &attempts, &call.Since, &call.Deadline, &call.Until)
	call.Stage, call.Attempts = Stage(stage), int(attempts)
	if err == nil && (call.Stage < AttemptOut || call.Stage > Guarded || stage > int64(Guarded)) {
		err = errUnreadable
	}
	return call, err
}

func readOfficeEntry(key string, value []byte) (entry OfficeEntry, err error) {
	var state, place, zone int64
	err = decodeFields(value, &entry.Address, &state, &place, &zone, &entry.Share, &entry.Started, &entry.Told)
	entry.Office, entry.State, entry.Place, entry.Zone =
		decide.ServerID(strings.TrimPrefix(key, officeKey)), decide.State(state), int(place), int(zone)
	if err == nil && (entry.State < decide.Up || entry.State > decide.Removed || !(entry.Share >= 0) ||
		math.IsInf(entry.Share, 0)) {
		err = errUnreadable
	}
	return entry, err
}

func readLimit(key string, value []byte) (limit Limit, err error) {
	err = decodeFields(value, &limit.Open, &limit.Learned)
	limit.Office = decide.ServerID(strings.TrimPrefix(key, limitKey))
	if err == nil && (!(limit.Open >= 0) || math.IsInf(limit.Open, 0)) {
		err = errUnreadable
	}
	return limit, err
}

// DecodeRecord decodes one record for display.
func DecodeRecord(key string, value []byte) (any, error) {
	switch {
	case strings.HasPrefix(key, callKey):
		return readCall(key, value)
	case strings.HasPrefix(key, officeKey):
		return readOfficeEntry(key, value)
	case strings.HasPrefix(key, limitKey):
		return readLimit(key, value)
	}
	return nil, fmt.Errorf("key %q: %w", key, errUnreadable)
}

// BuildState builds the state from a store's records. Unreadable records are left out, and their keys are returned;
// their content is not guessed.
func BuildState(records map[string][]byte) (State, []string) {
	state := NewState()
	var unreadable []string
	for key, value := range records { // the order is irrelevant: records are independent
		v, err := DecodeRecord(key, value)
		if err != nil {
			unreadable = append(unreadable, key)
			continue
		}
		switch v := v.(type) {
		case Call:
			state.Calls[v.ID] = v
		case OfficeEntry:
			state.Offices[v.Office] = v
		case Limit:
			state.Limits[v.Office] = v
		}
	}
	return state, unreadable
}

// MergeAfterDamage decides how a record that was read after a damaged part of the store replaces the stored one. It can
// only end or restrict: a call moves to a later stage, an office becomes draining or removed but never up again, a
// limit falls. Nothing new is created.
func MergeAfterDamage(key string, stored []byte, op store.Op) (store.Op, bool) {
	previous, err := DecodeRecord(key, stored)
	current, currentErr := DecodeRecord(key, op.Value)
	if currentErr != nil {
		return op, false
	}
	if err != nil {
		return deletion(key), true // the stored value is unreadable, and has changed since
	}
	switch current := current.(type) {
	case Call:
		return op, current.Stage >= previous.(Call).Stage
	case OfficeEntry:
		return op, current.State > previous.(OfficeEntry).State
	case Limit:
		return op, current.Open < previous.(Limit).Open
	}
	return op, false
}
