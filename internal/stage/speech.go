package stage

import (
	"github.com/fxamacker/cbor/v2"

	"pewterwheel/internal/lease"
)

// State is what a process does about a change.
type State uint8

// The states of a process. Values are spoken between versions.
const (
	Unchanged State = iota // goes by what is concluded
	Changing               // was told, and has begun
	Changed                // goes by the change's target
	Returning              // was told to go by what is concluded again
	Refusing               // refused the change, and goes on as before
)

var stateNames = [...]string{"old", "changing", "new", "going back", "refused"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Phases of a change, as its record tells them.
const (
	none       uint8 = iota
	running          // stage by stage
	goingBack        // halted: those changed go back
	concluding       // passed: the new target is written down everywhere
	concluded        // over
	halted           // over: everybody reached is back
)

func over(phase uint8) bool { return phase == concluded || phase == halted }

const (
	maxReason = 90  // bytes, in the record
	maxWhy    = 200 // bytes, in a message or an entry
)

// speech is a message: an order of the conductor's, or the answer to one.
type speech struct {
	Order  bool   `cbor:"1,keyasint,omitempty"`
	Change uint64 `cbor:"2,keyasint"`
	Fence  uint64 `cbor:"3,keyasint"` // of the order; in an answer the highest seen
	Write  uint64 `cbor:"4,keyasint"` // of the record that stood when the order was given; in an answer the highest seen
	Verb   string `cbor:"5,keyasint,omitempty"`
	Target Target `cbor:"6,keyasint,omitempty"`
	State  State  `cbor:"7,keyasint,omitempty"`
	Why    string `cbor:"8,keyasint,omitempty"`
	Life   uint64 `cbor:"9,keyasint,omitempty"` // of an answer: running target's change of who answers
}

// told is what a process tells of itself in its entry.
type told struct {
	Change  uint64 `cbor:"1,keyasint,omitempty"` // the change that it is in; 0: none
	State   State  `cbor:"2,keyasint,omitempty"`
	Fence   uint64 `cbor:"3,keyasint,omitempty"` // the highest seen, with the write seen under it
	Write   uint64 `cbor:"4,keyasint,omitempty"`
	Why     string `cbor:"5,keyasint,omitempty"`
	Over    uint64 `cbor:"6,keyasint,omitempty"` // the highest change known to be over
	Crashed uint64 `cbor:"7,keyasint,omitempty"` // a change in which it saw processes die, and how many
	Crashes uint64 `cbor:"8,keyasint,omitempty"`
	Goes    uint64 `cbor:"9,keyasint,omitempty"` // change of the target that it goes by
	// Of a conductor:
	Conducts uint64 `cbor:"10,keyasint,omitempty"`
	Phase    uint8  `cbor:"11,keyasint,omitempty"`
	Stage    int    `cbor:"12,keyasint,omitempty"`
	Judging  bool   `cbor:"13,keyasint,omitempty"`
	Reason   string `cbor:"14,keyasint,omitempty"`
}

// record is what the lease carries of a change.
type record struct {
	Target Target   `cbor:"1,keyasint"`
	Phase  uint8    `cbor:"2,keyasint"`
	Stage  int      `cbor:"3,keyasint"`
	Told   int      `cbor:"4,keyasint"`           // processes told so far, over all stages
	Wave   []uint32 `cbor:"5,keyasint,omitempty"` // who is being told now
	Fence  uint64   `cbor:"6,keyasint"`           // under which this was written
	Reason string   `cbor:"7,keyasint,omitempty"`
	Over   uint64   `cbor:"8,keyasint,omitempty"` // the highest change that was over before this one
}

func (r record) last() uint64 {
	if over(r.Phase) {
		return max(r.Over, r.Target.Change)
	}
	return r.Over
}

func (r record) encode() []byte {
	r.Reason = cut(r.Reason, maxReason)
	return encode(r)
}

func readRecord(b []byte) (record, error) {
	var r record
	if len(b) == 0 {
		return r, nil
	}
	if err := decode(b, &r); err != nil {
		return record{}, &RecordError{Err: err}
	}
	if len(b) > lease.MaxRecord || r.Stage < 0 || r.Stage >= stages || r.Phase > halted || len(r.Wave) > MaxWave || r.Told < 0 {
		return record{}, &RecordError{Err: &TargetError{Change: r.Target.Change, Why: "figures out of bounds"}}
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
		panic(err) // structs of numbers, strings and lists of them can be written
	}
	return b
}

func decode(b []byte, v any) error { return decMode.Unmarshal(b, v) }

// cut shortens a text to n bytes, at the start of a character.
func cut(s string, n int) string {
	if len(s) <= n {
		return s
	}
	for n > 0 && s[n]&0xC0 == 0x80 {
		n--
	}
	return s[:n]
}
