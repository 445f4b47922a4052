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
	opReport = 1 // to the keeper: the lines held here, and the permits wanted
	opAnswer = 2 // from the keeper: permits, or when to retry; with a zero report number it only names the keeper
	opOver   = 3 // from the keeper: the contention is over
	opTake   = 4 // from the keeper: become the next keeper
)

// operation is one operation of a message. Times are microseconds from when the message that is answered was sent.
type operation struct {
	Op           uint8  `cbor:"1,keyasint"`
	Key          string `cbor:"2,keyasint"`
	Fence        uint64 `cbor:"3,keyasint,omitempty"`             // highest that the sender knows; from the keeper: its own
	ReportNumber uint64 `cbor:"4,keyasint,omitempty" json:"N"`    // number of the report; permits for an earlier one are no longer accepted
	Incarnation  uint64 `cbor:"5,keyasint,omitempty" json:"Life"` // incarnation of the reporter

	Held    int64  `cbor:"6,keyasint,omitempty" json:"Hold"` // lines held: unused permits, set-ups and calls
	Unused  int64  `cbor:"7,keyasint,omitempty" json:"Idle"` // of these, unused permits
	Calls   int64  `cbor:"8,keyasint,omitempty"`             // of these, calls
	Wanted  int64  `cbor:"9,keyasint,omitempty" json:"Want"` // set-ups that wait
	Rate    int64  `cbor:"10,keyasint,omitempty"`
	Busy    uint64 `cbor:"11,keyasint,omitempty"`
	Began   uint64 `cbor:"12,keyasint,omitempty"`
	Ended   uint64 `cbor:"13,keyasint,omitempty"`
	Refused uint64 `cbor:"14,keyasint,omitempty"`

	Permits          int64  `cbor:"20,keyasint,omitempty"` // all that were granted for this report so far
	Lifetime         int64  `cbor:"21,keyasint,omitempty" json:"Lasts"`
	RetryAfter       int64  `cbor:"22,keyasint,omitempty" json:"Again"` // no permit is available for this long
	CallerRetryAfter int64  `cbor:"23,keyasint,omitempty" json:"Stay"`  // callers are to stay away for this long
	TurnoverShare    int64  `cbor:"24,keyasint,omitempty" json:"Share"` // the reporter's share of the turnover, calls in 1000 s
	Keeper           string `cbor:"25,keyasint,omitempty"`              // who keeps the number; empty: the sender
}

type messageBody struct {
	Operations []cbor.RawMessage `cbor:"1,keyasint"`
}

// entryPart is the keeper part of a process's entry.
type entryPart struct {
	Kept      []keptNumber      `cbor:"1,keyasint,omitempty"`
	Contended []contendedNumber `cbor:"2,keyasint,omitempty" json:"Seen"`
}

type keptNumber struct {
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

// withinBounds tells whether the values of an item are within bounds.
func (it *operation) withinBounds() bool {
	for _, n := range []int64{it.Held, it.Unused, it.Calls, it.Wanted, it.Permits} {
		if n < 0 || n > maxCount {
			return false
		}
	}
	for _, t := range []int64{it.Lifetime, it.RetryAfter, it.CallerRetryAfter} {
		if t < 0 || t > maxDuration {
			return false
		}
	}
	return validKey(it.Key) && it.Rate >= 0 && it.Rate <= maxRate && it.TurnoverShare >= 0 && it.TurnoverShare <= maxRate &&
		len(it.Keeper) <= 64
}

func validKey(k string) bool { return k != "" && len(k) <= maxKeyLength }

// decodeItems returns the items of a message that are within bounds, and an error if it contains anything else.
func decodeOperations(m fleet.Message) (items []operation, err error) {
	var l messageBody
	if len(m.Body) > fleet.MaxBody {
		return nil, &MessageError{m.From, fmt.Sprintf("message of %d bytes exceeds the limit", len(m.Body))}
	}
	if e := decoding.Unmarshal(m.Body, &l); e != nil {
		return nil, &MessageError{m.From, e.Error()}
	}
	for _, raw := range l.Operations {
		var it operation
		if e := decoding.Unmarshal(raw, &it); e != nil {
			err = &MessageError{m.From, e.Error()}
		} else if !it.withinBounds() {
			err = &MessageError{m.From, "value out of bounds"}
		} else {
			items = append(items, it)
		}
	}
	return items, err
}

// appendMessages packs items into as few messages as possible.
func appendMessages(from, to string, items []operation, out *fleet.Out) {
	const frame = 8
	var l messageBody
	size := frame
	send := func() {
		if body, err := encoding.Marshal(l); err == nil && len(l.Operations) > 0 {
			out.Send = append(out.Send, fleet.Message{Kind: fleet.Keeper, From: from, To: to, Body: body})
		}
		l.Operations, size = nil, frame
	}
	for i := range items {
		raw, err := encoding.Marshal(&items[i])
		if err != nil {
			continue // every item can be encoded
		}
		if size+len(raw) > fleet.MaxBody || len(l.Operations) == 64 {
			send()
		}
		l.Operations, size = append(l.Operations, raw), size+len(raw)
	}
	send()
}

// decodeEntryPart decodes the keeper part of an entry and leaves out what is out of bounds.
func decodeEntryPart(name string, body []byte) (entryPart, error) {
	var s entryPart
	if len(body) == 0 {
		return s, nil
	}
	if err := decoding.Unmarshal(body, &s); err != nil {
		return entryPart{}, &MessageError{name, err.Error()}
	}
	s.Kept = slices.DeleteFunc(s.Kept, func(k keptNumber) bool {
		return !validKey(k.Key) || k.Fence == 0 || k.Turnover < 0 || k.Turnover > maxRate
	})
	s.Contended = slices.DeleteFunc(s.Contended, func(k contendedNumber) bool { return !validKey(k.Key) || k.Rate < 0 || k.Rate > maxRate })
	return s, nil
}

// encode encodes the part, with as many of the contended numbers as fit.
func (s entryPart) encode() []byte {
	if len(s.Kept)+len(s.Contended) == 0 {
		return nil
	}
	for {
		b, err := encoding.Marshal(s)
		if err != nil {
			return nil
		}
		if len(b) <= fleet.MaxBody {
			return b
		}
		if len(s.Contended) > 0 {
			s.Contended = s.Contended[:len(s.Contended)-1]
		} else {
			s.Kept = s.Kept[:len(s.Kept)-1]
		}
	}
}

// record is stored with the lease of a number for the next keeper.
type record struct {
	Lines       int64  `cbor:"1,keyasint"`
	Known       int64  `cbor:"2,keyasint"`
	Turnover    int64  `cbor:"3,keyasint" json:"Turn"`          // calls in 1000 s
	AnyHolder   bool   `cbor:"4,keyasint,omitempty" json:"All"` // any process may hold lines: there are too many holders to list
	Outstanding int64  `cbor:"6,keyasint,omitempty" json:"Out"` // lines that may have been held when it was written
	Holders     []byte `cbor:"5,keyasint,omitempty"`            // 6 bytes each: hash of the name, most lines that it may hold
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

func (r *record) holders() (hs []holder) {
	for b := r.Holders; len(b) >= holderSize; b = b[holderSize:] {
		hs = append(hs, holder{binary.BigEndian.Uint32(b), int64(binary.BigEndian.Uint16(b[4:]))})
	}
	return hs
}

func (r *record) encode() []byte {
	b, err := encoding.Marshal(r)
	if err != nil || len(b) > lease.MaxRecord {
		return nil
	}
	return b
}

// decodeRecord decodes the record of a number; no bytes give an empty record.
func decodeRecord(key string, b []byte) (r record, err error) {
	if len(b) == 0 {
		return r, nil
	}
	if e := decoding.Unmarshal(b, &r); e != nil {
		return record{}, &RecordError{key, e.Error()}
	}
	if r.Lines < 0 || r.Lines > maxCount || r.Known < 0 || r.Known > maxCount || r.Turnover < 0 || r.Turnover > maxRate ||
		r.Outstanding < 0 || r.Outstanding > maxCount {
		return record{}, &RecordError{key, "value out of bounds"}
	}
	return r, nil
}
