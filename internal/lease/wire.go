package lease

import (
	"github.com/fxamacker/cbor/v2"

	"pewterwheel/internal/fleet"
)

// MaxName bounds a thing's name and a process's, in bytes.
const MaxName = 96

// maxSpan bounds a time in a message, in microseconds: an hour. Guards against sums that run over.
const maxSpan = 3_600_000_000

// maxNumber bounds fences, writes and rosters in messages. Guards against a spoilt number after which none is higher.
const maxNumber = 1 << 62

// What a message is. Numbers are spoken between versions.
const (
	typClaim   = 1 // to an elector: vote for a new fence, and tell the record that you know
	typHold    = 2 // to an elector: vote on under this fence, and keep this record
	typVote    = 3 // from an elector
	typRefuse  = 4 // from an elector
	typRelease = 5 // to an elector: the votes under this fence and all lower ones are given up
	typFree    = 6 // from an elector: who was refused may ask again
	typLearn   = 7 // from an elector to another: what do you know of this thing
	typKnown   = 8 // its answer
)

// maxForgot bounds the list of lives in a message: a majority of the most electors that a thing can have.
const maxForgot = maxElectors/2 + 1

// maxElectors bounds the electors of a thing.
const maxElectors = 9

// Reason is why an elector refuses. Numbers are spoken between versions.
type Reason uint8

// The reasons.
const (
	Taken       Reason = 1 // its vote for another runs
	LowFence    Reason = 2 // it has voted for a fence as high
	OlderRoster Reason = 3 // the claim's roster is older than one it knows
	NewerRoster Reason = 4 // the claim's roster is newer, and its names are not known here
	Waiting     Reason = 5 // it has just started and waits out a lease
	Learning    Reason = 6 // it learns from other electors what it may have known
	NoElector   Reason = 7 // by its roster it does not vote on this thing
	Full        Reason = 8 // it keeps as many things as it may
)

func (r Reason) String() string {
	names := [...]string{"", "taken", "low fence", "older roster", "newer roster", "waiting", "learning", "no elector", "full"}
	if int(r) < len(names) {
		return names[r]
	}
	return "other"
}

// body is every message of this package. What a type does not need is left out.
type body struct {
	Type   uint8  `cbor:"1,keyasint"`
	Thing  string `cbor:"2,keyasint"`
	Roster uint64 `cbor:"3,keyasint,omitempty"` // the sender's, or that under which a claim is
	Life   uint64 `cbor:"4,keyasint,omitempty"` // of the sender's process
	Fence  uint64 `cbor:"5,keyasint,omitempty"`
	Seq    uint64 `cbor:"6,keyasint,omitempty"` // of the question, repeated in its answer
	// The record that is kept: the fence under which it was stored, its write's number, its bytes.
	RecFence uint64 `cbor:"7,keyasint,omitempty"`
	Write    uint64 `cbor:"8,keyasint,omitempty"`
	Value    []byte `cbor:"9,keyasint,omitempty"`
	// Whom the fence belongs to.
	Holder     string `cbor:"10,keyasint,omitempty"`
	HolderLife uint64 `cbor:"11,keyasint,omitempty"`
	Over       bool   `cbor:"12,keyasint,omitempty"` // that holder has given it up
	Reason     Reason `cbor:"13,keyasint,omitempty"`
	Left       int64  `cbor:"14,keyasint,omitempty"` // microseconds until the reason may be over
	Young      int64  `cbor:"15,keyasint,omitempty"` // microseconds for which the old majority is needed, too
	Ready      uint64 `cbor:"16,keyasint,omitempty"` // the roster under which the sender may vote on the thing; 0: none
	Gen        uint64 `cbor:"17,keyasint,omitempty"` // how often the sender has forgotten things in this life
	High       uint64 `cbor:"18,keyasint,omitempty"` // the highest fence of the thing that the sender knows
	// Which lives the sender, or who told it, saw to have forgotten the thing at one moment, a majority; see forgetter.
	Forgot []uint64 `cbor:"19,keyasint,omitempty"`
}

// told is the package's part of a process's entry.
type told struct {
	High uint64     `cbor:"1,keyasint"`           // the highest fence of any thing that it has seen
	Held []heldHint `cbor:"2,keyasint,omitempty"` // some of what it holds
}

type heldHint struct {
	Thing string `cbor:"1,keyasint"`
	Fence uint64 `cbor:"2,keyasint"`
}

// maxHints bounds what of its things a process tells in its entry.
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
		m, err := cbor.DecOptions{MaxNestedLevels: 4, MaxArrayElements: 64, MaxMapPairs: 64, IndefLength: cbor.IndefLengthForbidden,
			TagsMd: cbor.TagsForbidden}.DecMode()
		if err != nil {
			panic(err)
		}
		return m
	}()
)

func encode(v any) []byte {
	b, err := encoder.Marshal(v)
	if err != nil {
		panic(err) // a struct of plain fields can always be written
	}
	return b
}

// decode reads a message and checks its bounds; the error is a *BodyError.
func decode(raw []byte) (body, error) {
	var b body
	if len(raw) > fleet.MaxBody {
		return b, &BodyError{Why: "too long"}
	}
	if err := decoder.Unmarshal(raw, &b); err != nil {
		return body{}, &BodyError{Why: err.Error()}
	}
	why := ""
	switch {
	case b.Type < typClaim || b.Type > typKnown:
		why = "no type that is known"
	case len(b.Thing) == 0 || len(b.Thing) > MaxName || len(b.Holder) > MaxName:
		why = "a name that is empty or too long"
	case len(b.Value) > MaxRecord:
		why = "a record that is too long"
	case b.Left < 0 || b.Left > maxSpan || b.Young < 0 || b.Young > maxSpan:
		why = "a time out of bounds"
	case max(b.Fence, b.High, b.RecFence, b.Write, b.Roster, b.Ready) > maxNumber:
		why = "a number out of bounds"
	case len(b.Forgot) > maxForgot:
		why = "a list that is too long"
	case b.Write > 0 && b.RecFence == 0, b.Write == 0 && len(b.Value) > 0:
		why = "half a record"
	case (b.Type == typClaim || b.Type == typHold) && (b.Fence == 0 || b.Roster == 0):
		why = "a claim without a number"
	}
	if why != "" {
		return body{}, &BodyError{Why: why}
	}
	return b, nil
}

// readTold reads a process's part of its entry; what cannot be read, or is out of bounds, is as if nothing stood there.
func readTold(raw []byte) told {
	var t told
	if len(raw) > fleet.MaxBody || decoder.Unmarshal(raw, &t) != nil || t.High > maxNumber || len(t.Held) > maxHints {
		return told{}
	}
	for _, h := range t.Held {
		if h.Fence > maxNumber || len(h.Thing) == 0 || len(h.Thing) > MaxName {
			return told{}
		}
	}
	return t
}
