package stage

import (
	"github.com/fxamacker/cbor/v2"

	"pewterwheel/internal/lease"
)

// State is the state of a process in a change.
type State uint8

// The states of a process. Their values are exchanged between versions.
const (
	Unchanged State = iota // runs with the concluded target
	Changing               // was ordered to change, and has begun
	Changed                // runs with the target of the change
	Returning              // was ordered back to the concluded target
	Refusing               // refused the change and serves on as before
)

var stateNames = [...]string{"old", "changing", "new", "going back", "refused"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// The phases of a change in its record.
const (
	none       uint8 = iota
	running          // stage by stage
	goingBack        // halted: the changed processes are rolled back
	concluding       // passed: all processes store the new target
	concluded        // over
	halted           // over: all reachable processes are rolled back
)

func isOver(phase uint8) bool { return phase == concluded || phase == halted }

const (
	maxReason = 90  // bytes, in the record
	maxDetail = 200 // bytes, in a message or an entry
)

// message is an order of the conductor or the answer to one.
type message struct {
	Order         bool   `cbor:"1,keyasint,omitempty"`
	Change        uint64 `cbor:"2,keyasint"`
	Fence         uint64 `cbor:"3,keyasint"` // fencing number of the order; in an answer the highest seen
	Write         uint64 `cbor:"4,keyasint"` // write of the record behind the order; in an answer the highest seen
	Verb          string `cbor:"5,keyasint,omitempty"`
	Target        Target `cbor:"6,keyasint,omitempty"`
	State         State  `cbor:"7,keyasint,omitempty"`
	Detail        string `cbor:"8,keyasint,omitempty" json:"Why"`
	RunningChange uint64 `cbor:"9,keyasint,omitempty" json:"Life"` // in an answer: change of the target of the sender
}

// processStatus is what a process announces of itself in its entry.
type processStatus struct {
	Change        uint64 `cbor:"1,keyasint,omitempty"` // the change that it takes part in; 0: none
	State         State  `cbor:"2,keyasint,omitempty"`
	Fence         uint64 `cbor:"3,keyasint,omitempty"` // the highest fencing number seen, with the write seen under it
	Write         uint64 `cbor:"4,keyasint,omitempty"`
	Detail        string `cbor:"5,keyasint,omitempty" json:"Why"`
	HighestOver   uint64 `cbor:"6,keyasint,omitempty" json:"Over"`    // the highest change known to be over
	CrashedChange uint64 `cbor:"7,keyasint,omitempty" json:"Crashed"` // change in which processes died, and how many
	Crashes       uint64 `cbor:"8,keyasint,omitempty"`
	RunningChange uint64 `cbor:"9,keyasint,omitempty" json:"Goes"` // change of the target that it runs with
	// Only of a conductor:
	ConductedChange uint64 `cbor:"10,keyasint,omitempty" json:"Conducts"`
	Phase           uint8  `cbor:"11,keyasint,omitempty"`
	Stage           int    `cbor:"12,keyasint,omitempty"`
	Judging         bool   `cbor:"13,keyasint,omitempty"`
	HaltReason      string `cbor:"14,keyasint,omitempty" json:"Reason"`
}

// record is the content of the record of the lease.
type record struct {
	Target      Target   `cbor:"1,keyasint"`
	Phase       uint8    `cbor:"2,keyasint"`
	Stage       int      `cbor:"3,keyasint"`
	Ordered     int      `cbor:"4,keyasint" json:"Told"` // processes ordered so far, over all stages
	Wave        []uint32 `cbor:"5,keyasint,omitempty"`   // hashes of the names of the processes that are being ordered
	Fence       uint64   `cbor:"6,keyasint"`             // fencing number under which this was written
	Reason      string   `cbor:"7,keyasint,omitempty"`
	HighestOver uint64   `cbor:"8,keyasint,omitempty" json:"Over"` // the highest change that was over before this one
}

func (r record) highestOver() uint64 {
	if isOver(r.Phase) {
		return max(r.HighestOver, r.Target.Change)
	}
	return r.HighestOver
}

func (r record) encode() []byte {
	r.Reason = truncate(r.Reason, maxReason)
	return encode(r)
}

func decodeRecord(b []byte) (record, error) {
	var r record
	if len(b) == 0 {
		return r, nil
	}
	if err := decode(b, &r); err != nil {
		return record{}, &RecordError{Err: err}
	}
	if len(b) > lease.MaxRecord || r.Stage < 0 || r.Stage >= stages || r.Phase > halted || len(r.Wave) > MaxWave ||
		r.Ordered < 0 {
		return record{}, &RecordError{Err: &TargetError{Change: r.Target.Change, Reason: "a value is out of range"}}
	}
	return r, nil
}

var (
	encMode, _ = cbor.CoreDetEncOptions().EncMode()
	decMode, _ = cbor.DecOptions{MaxArrayElements: 64, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
)

func encode(v any) []byte {
	b, err := encMode.Marshal(v)
	if err != nil {
		panic(err) // structs of numbers, strings and lists of them can always be encoded
	}
	return b
}

func decode(b []byte, v any) error { return decMode.Unmarshal(b, v) }

// truncate shortens a text to at most n bytes without splitting a character.
func truncate(s string, size int) string {
	if len(s) <= size {
		return s
	}
	for size > 0 && s[size]&0xC0 == 0x80 {
		size--
	}
	return s[:size]
}
