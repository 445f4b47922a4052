package keeper

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"pewterwheel/internal/fleet"
	"pewterwheel/internal/lease"
)

// Operations that one process sends another about a number. A value is never reused; unknown ones are ignored.
const (
	opReport = 1 // to the owner: the lines held here, and the permits wanted
	opAnswer = 2 // from the owner: permits, or when to retry; with a zero report number it only names the owner
	opOver   = 3 // from the owner: the contention is over
	opTake   = 4 // from the owner: become the next owner
)

// operation is one operation of a message. Durations are in microseconds; the lifetime of permits starts when the
// report that is answered was sent.
type operation struct {
	Op           uint8  `cbor:"1,keyasint"`
	Key          string `cbor:"2,keyasint"`
	Fence        uint64 `cbor:"3,keyasint,omitempty"`             // highest known to the sender; of the owner: its own
	ReportNumber uint64 `cbor:"4,keyasint,omitempty" json:"N"`    // permits for an earlier report are not accepted
	Incarnation  uint64 `cbor:"5,keyasint,omitempty" json:"Life"` // of the reporter

	Held    int64  `cbor:"6,keyasint,omitempty" json:"Hold"` // lines held: unused permits, set-ups and calls
	Unused  int64  `cbor:"7,keyasint,omitempty" json:"Idle"` // of these, unused permits
	Calls   int64  `cbor:"8,keyasint,omitempty"`             // of these, calls
	Wanted  int64  `cbor:"9,keyasint,omitempty" json:"Want"` // set-ups that wait
	Rate    int64  `cbor:"10,keyasint,omitempty"`
	Busy    uint64 `cbor:"11,keyasint,omitempty"`
	Began   uint64 `cbor:"12,keyasint,omitempty"`
	Ended   uint64 `cbor:"13,keyasint,omitempty"`
	Refused uint64 `cbor:"14,keyasint,omitempty"`

	Permits          int64  `cbor:"20,keyasint,omitempty"`               // all that were granted for this report so far
	Lifetime         int64  `cbor:"21,keyasint,omitempty" json:"Lasts"`  // of the permits
	RetryAfter       int64  `cbor:"22,keyasint,omitempty" json:"Again"`  // no permit is available for this long
	CallerRetryAfter int64  `cbor:"23,keyasint,omitempty" json:"Stay"`   // callers are to stay away for this long
	TurnoverShare    int64  `cbor:"24,keyasint,omitempty" json:"Share"`  // calls in 1000 s: the reporter's part
	Owner            string `cbor:"25,keyasint,omitempty" json:"Keeper"` // who owns the number; empty: the sender
}

type messageBody struct {
	Operations []cbor.RawMessage `cbor:"1,keyasint"`
}

// entryPart is the part of a process's entry that belongs to this package.
type entryPart struct {
	Owned     []ownedNumber     `cbor:"1,keyasint,omitempty" json:"Kept"`
	Contended []contendedNumber `cbor:"2,keyasint,omitempty" json:"Seen"`
}

type ownedNumber struct {
	Key      string `cbor:"1,keyasint"`
	Fence    uint64 `cbor:"2,keyasint"`
	Turnover int64  `cbor:"3,keyasint,omitempty" json:"Share"` // turnover of the lines, calls in 1000 s
}

type contendedNumber struct {
	Key  string `cbor:"1,keyasint"`
	Rate int64  `cbor:"2,keyasint"` // set-ups in 1000 s
}

var encoding = func() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()

var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 5, MaxArrayElements: 64, MaxMapPairs: 64}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

const (
	maxCount    = 1 << 20
	maxDuration = 60_000_000
	maxRate     = 1 << 40
)

// withinBounds tells whether the values of an operation are within bounds.
func (op *operation) withinBounds() bool {
	for _, n := range []int64{op.Held, op.Unused, op.Calls, op.Wanted, op.Permits} {
		if n < 0 || n > maxCount {
			return false
		}
	}
	for _, t := range []int64{op.Lifetime, op.RetryAfter, op.CallerRetryAfter} {
		if t < 0 || t > maxDuration {
			return false
		}
	}
	return validKey(op.Key) && op.Rate >= 0 && op.Rate <= maxRate &&
		op.TurnoverShare >= 0 && op.TurnoverShare <= maxRate && len(op.Owner) <= 64
}

func validKey(key string) bool { return key != "" && len(key) <= maxKeyLength }

// decodeOperations returns the operations of a message that can be decoded and are within bounds, and an error if any
// are not.
func decodeOperations(message fleet.Message) (ops []operation, err error) {
	var body messageBody
	if len(message.Body) > fleet.MaxBody {
		return nil, &MessageError{message.From, fmt.Sprintf("message of %d bytes exceeds the limit", len(message.Body))}
	}
	if decodeErr := decoding.Unmarshal(message.Body, &body); decodeErr != nil {
		return nil, &MessageError{message.From, decodeErr.Error()}
	}
	for _, raw := range body.Operations {
		var op operation
		if decodeErr := decoding.Unmarshal(raw, &op); decodeErr != nil {
			err = &MessageError{message.From, decodeErr.Error()}
		} else if !op.withinBounds() {
			err = &MessageError{message.From, "value out of bounds"}
		} else {
			ops = append(ops, op)
		}
	}
	return ops, err
}

// appendMessages packs operations into as few messages as possible.
func appendMessages(from, to string, ops []operation, out *fleet.Out) {
	const overhead = 8
	var message messageBody
	size := overhead
	send := func() {
		if body, err := encoding.Marshal(message); err == nil && len(message.Operations) > 0 {
			out.Send = append(out.Send, fleet.Message{Kind: fleet.Keeper, From: from, To: to, Body: body})
		}
		message.Operations, size = nil, overhead
	}
	for i := range ops {
		raw, err := encoding.Marshal(&ops[i])
		if err != nil {
			continue // every operation can be encoded
		}
		if size+len(raw) > fleet.MaxBody || len(message.Operations) == 64 {
			send()
		}
		message.Operations, size = append(message.Operations, raw), size+len(raw)
	}
	send()
}

// decodeEntryPart decodes this package's part of an entry and leaves out what is out of bounds.
func decodeEntryPart(name string, body []byte) (entryPart, error) {
	var part entryPart
	if len(body) == 0 {
		return part, nil
	}
	if err := decoding.Unmarshal(body, &part); err != nil {
		return entryPart{}, &MessageError{name, err.Error()}
	}
	part.Owned = slices.DeleteFunc(part.Owned, func(number ownedNumber) bool {
		return !validKey(number.Key) || number.Fence == 0 || number.Turnover < 0 || number.Turnover > maxRate
	})
	part.Contended = slices.DeleteFunc(part.Contended, func(number contendedNumber) bool {
		return !validKey(number.Key) || number.Rate < 0 || number.Rate > maxRate
	})
	return part, nil
}

// encode encodes the part, with as many of the contended numbers as fit.
func (part entryPart) encode() []byte {
	if len(part.Owned)+len(part.Contended) == 0 {
		return nil
	}
	for {
		encoded, err := encoding.Marshal(part)
		if err != nil {
			return nil
		}
		if len(encoded) <= fleet.MaxBody {
			return encoded
		}
		if len(part.Contended) > 0 {
			part.Contended = part.Contended[:len(part.Contended)-1]
		} else {
			part.Owned = part.Owned[:len(part.Owned)-1]
		}
	}
}

// record is stored with the lease of a number for the next owner.
type record struct {
	Lines       int64  `cbor:"1,keyasint"`
	Known       int64  `cbor:"2,keyasint"`                      // most lines seen in use recently
	Turnover    int64  `cbor:"3,keyasint" json:"Turn"`          // calls in 1000 s
	AnyHolder   bool   `cbor:"4,keyasint,omitempty" json:"All"` // too many holders to list: any process may hold lines
	Outstanding int64  `cbor:"6,keyasint,omitempty" json:"Out"` // lines that may have been held when it was written
	Holders     []byte `cbor:"5,keyasint,omitempty"`            // 6 bytes each: hash of the name, most lines allowed
}

const (
	holderSize     = 6
	maxHolders     = 72
	maxHolderLines = 1<<16 - 1
)

// holder is a process that may hold lines according to the record.
type holder struct {
	name     uint32
	maxLines int64
}

func nameHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

func (r *record) setHolders(holders []holder) {
	if r.AnyHolder = len(holders) > maxHolders; r.AnyHolder {
		return
	}
	for _, h := range holders {
		r.Holders = binary.BigEndian.AppendUint32(r.Holders, h.name)
		r.Holders = binary.BigEndian.AppendUint16(r.Holders, uint16(h.maxLines))
	}
}

func (r *record) holders() (holders []holder) {
	for rest := r.Holders; len(rest) >= holderSize; rest = rest[holderSize:] {
		holders = append(holders, holder{binary.BigEndian.Uint32(rest), int64(binary.BigEndian.Uint16(rest[4:]))})
	}
	return holders
}

func (r *record) encode() []byte {
	encoded, err := encoding.Marshal(r)
	if err != nil || len(encoded) > lease.MaxRecord {
		return nil
	}
	return encoded
}

// decodeRecord decodes the record of a number; no bytes give an empty record.
func decodeRecord(key string, encoded []byte) (r record, err error) {
	if len(encoded) == 0 {
		return r, nil
	}
	if decodeErr := decoding.Unmarshal(encoded, &r); decodeErr != nil {
		return record{}, &RecordError{key, decodeErr.Error()}
	}
	if r.Lines < 0 || r.Lines > maxCount || r.Known < 0 || r.Known > maxCount ||
		r.Turnover < 0 || r.Turnover > maxRate || r.Outstanding < 0 || r.Outstanding > maxCount {
		return record{}, &RecordError{key, "value out of bounds"}
	}
	return r, nil
}
