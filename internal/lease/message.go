package lease

import (
	"github.com/fxamacker/cbor/v2"

	"pewterwheel/internal/fleet"
)

// MaxName is the maximum length of a resource name and of a process name in bytes.
const MaxName = 96

// maxDuration limits durations in a message, in microseconds: one hour. It prevents overflow in sums.
const maxDuration = 3_600_000_000

// maxNumber limits fences, writes and rosters in messages, so that a corrupted number cannot exhaust the range.
const maxNumber = 1 << 62

// Message types. The numbers are part of the wire protocol and must not change.
const (
	typClaim   = 1 // to an elector: vote for a new fence and return the stored record
	typHold    = 2 // to an elector: renew the vote for this fence and store this record
	typVote    = 3 // from an elector
	typRefuse  = 4 // from an elector
	typRelease = 5 // to an elector: the votes for this fence and all lower ones are released
	typFree    = 6 // from an elector: a refused claimant may ask again
	typLearn   = 7 // from one elector to another: request for its state of a resource
	typKnown   = 8 // reply to typLearn
)

// maxForgottenStates limits the list of forgotten states in a message: a majority of the maximum number of electors.
const maxForgottenStates = maxElectors/2 + 1

// maxElectors is the maximum number of electors of a resource.
const maxElectors = 9

// Reason says why an elector refuses to vote. The numbers are part of the wire protocol and must not change.
type Reason uint8

// Reasons for a refusal.
const (
	Taken       Reason = 1 // its vote for another claimant is still valid
	LowFence    Reason = 2 // it has already voted for a fence that is not lower
	OlderRoster Reason = 3 // the claim's roster is older than one it knows
	NewerRoster Reason = 4 // the claim's roster is newer, and this elector does not have its members yet
	Waiting     Reason = 5 // it started less than one lease ago
	Learning    Reason = 6 // it is learning from other electors what it may have known before
	NoElector   Reason = 7 // it is not an elector of the resource in its roster
	Full        Reason = 8 // its table of resources is full
)

func (r Reason) String() string {
	names := [...]string{"", "taken", "low fence", "older roster", "newer roster", "waiting", "learning", "no elector",
		"full"}
	if int(r) < len(names) {
		return names[r]
	}
	return "other"
}

// body is the body of every message of this package. Fields that a type does not use are omitted.
type body struct {
	Type        uint8  `cbor:"1,keyasint"`
	Thing       string `cbor:"2,keyasint"`
	Roster      uint64 `cbor:"3,keyasint,omitempty"`             // of the sender, or that of a claim
	Incarnation uint64 `cbor:"4,keyasint,omitempty" json:"Life"` // incarnation of the sender's process
	Fence       uint64 `cbor:"5,keyasint,omitempty"`
	Seq         uint64 `cbor:"6,keyasint,omitempty"` // of the request, repeated in its reply
	// The stored record: the fence under which it was stored, the number of the write, its bytes.
	RecordFence uint64 `cbor:"7,keyasint,omitempty" json:"RecFence"`
	Write       uint64 `cbor:"8,keyasint,omitempty"`
	Value       []byte `cbor:"9,keyasint,omitempty"`
	// Owner of the fence.
	Holder            string `cbor:"10,keyasint,omitempty"`
	HolderIncarnation uint64 `cbor:"11,keyasint,omitempty" json:"HolderLife"`
	Released          bool   `cbor:"12,keyasint,omitempty" json:"Over"` // the owner has released the fence
	Reason            Reason `cbor:"13,keyasint,omitempty"`
	// Microseconds until the reason may no longer apply.
	RetryAfter int64 `cbor:"14,keyasint,omitempty" json:"Left"`
	// Microseconds for which a majority of the previous electors is required as well.
	BothMajoritiesFor int64 `cbor:"15,keyasint,omitempty" json:"Young"`
	// Roster under which the sender may vote on the resource; 0: none.
	ReadyRoster uint64 `cbor:"16,keyasint,omitempty" json:"Ready"`
	// How often the sender has evicted resources since it started.
	Generation uint64 `cbor:"17,keyasint,omitempty" json:"Gen"`
	// Highest fence of the resource known to the sender.
	HighestFence uint64 `cbor:"18,keyasint,omitempty" json:"High"`
	// Process states, a majority of the electors, that had all lost the resource at one moment, as seen by the sender
	// or by the elector that told it; see forgottenStateID.
	Forgot []uint64 `cbor:"19,keyasint,omitempty"`
}

// entryPart is the package's part of a process's entry.
type entryPart struct {
	HighestFence uint64      `cbor:"1,keyasint" json:"High"` // highest fence seen for any resource
	Held         []heldLease `cbor:"2,keyasint,omitempty"`   // some of the leases it holds
}

type heldLease struct {
	Thing string `cbor:"1,keyasint"`
	Fence uint64 `cbor:"2,keyasint"`
}

// maxHints limits the held leases that a process lists in its entry.
const maxHints = 8

var (
	encoder = func() cbor.EncMode {
		m, err := cbor.EncOptions{}.EncMode()
		if err != nil {
			panic(err)
		}
		return m
	}()
	decoder = func() cbor.DecMode {
		m, err := cbor.DecOptions{MaxNestedLevels: 4, MaxArrayElements: 64, MaxMapPairs: 64,
			IndefLength: cbor.IndefLengthForbidden,
			TagsMd:      cbor.TagsForbidden}.DecMode()
		if err != nil {
			panic(err)
		}
		return m
	}()
)

func encode(v any) []byte {
	raw, err := encoder.Marshal(v)
	if err != nil {
		panic(err) // a struct of plain fields can always be encoded
	}
	return raw
}

// decode decodes a message and checks its bounds; the error is a *MessageError.
func decode(raw []byte) (body, error) {
	var msg body
	if len(raw) > fleet.MaxBody {
		return msg, &MessageError{Reason: "too long"}
	}
	if err := decoder.Unmarshal(raw, &msg); err != nil {
		return body{}, &MessageError{Reason: err.Error()}
	}
	why := ""
	switch {
	case msg.Type < typClaim || msg.Type > typKnown:
		why = "unknown message type"
	case len(msg.Thing) == 0 || len(msg.Thing) > MaxName || len(msg.Holder) > MaxName:
		why = "a name is empty or too long"
	case len(msg.Value) > MaxRecord:
		why = "the record is too long"
	case msg.RetryAfter < 0 || msg.RetryAfter > maxDuration || msg.BothMajoritiesFor < 0 ||
		msg.BothMajoritiesFor > maxDuration:
		why = "a duration is out of bounds"
	case max(msg.Fence, msg.HighestFence, msg.RecordFence, msg.Write, msg.Roster, msg.ReadyRoster) > maxNumber:
		why = "a number is out of bounds"
	case len(msg.Forgot) > maxForgottenStates:
		why = "the list of forgotten states is too long"
	case msg.Write > 0 && msg.RecordFence == 0, msg.Write == 0 && len(msg.Value) > 0:
		why = "the record is incomplete"
	case (msg.Type == typClaim || msg.Type == typHold) && (msg.Fence == 0 || msg.Roster == 0):
		why = "the claim has no fence or no roster number"
	}
	if why != "" {
		return body{}, &MessageError{Reason: why}
	}
	return msg, nil
}

// decodeEntryPart decodes a process's part of its entry; a part that is invalid or out of bounds is treated as empty.
func decodeEntryPart(raw []byte) entryPart {
	var part entryPart
	if len(raw) > fleet.MaxBody || decoder.Unmarshal(raw, &part) != nil || part.HighestFence > maxNumber ||
		len(part.Held) > maxHints {
		return entryPart{}
	}
	for _, h := range part.Held {
		if h.Fence > maxNumber || len(h.Thing) == 0 || len(h.Thing) > MaxName {
			return entryPart{}
		}
	}
	return part
}
