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

// item is one operation of a message. Times are microseconds from when the message that is answered was sent.
type item struct {
	Op    uint8  `cbor:"1,keyasint"`
	Key   string `cbor:"2,keyasint"`
	Fence uint64 `cbor:"3,keyasint,omitempty"` // highest that the sender knows; from the keeper: its own
	N     uint64 `cbor:"4,keyasint,omitempty"` // number of the report; permits for an earlier one are no longer accepted
	Life  uint64 `cbor:"5,keyasint,omitempty"` // incarnation of the reporter

	Hold    int64  `cbor:"6,keyasint,omitempty"` // lines held: unused permits, set-ups and calls
	Idle    int64  `cbor:"7,keyasint,omitempty"` // of these, unused permits
	Calls   int64  `cbor:"8,keyasint,omitempty"` // of these, calls
	Want    int64  `cbor:"9,keyasint,omitempty"` // set-ups that wait
	Rate    int64  `cbor:"10,keyasint,omitempty"`
	Busy    uint64 `cbor:"11,keyasint,omitempty"`
	Began   uint64 `cbor:"12,keyasint,omitempty"`
	Ended   uint64 `cbor:"13,keyasint,omitempty"`
	Refused uint64 `cbor:"14,keyasint,omitempty"`

	Permits int64  `cbor:"20,keyasint,omitempty"` // all that were granted for this report so far
	Lasts   int64  `cbor:"21,keyasint,omitempty"`
	Again   int64  `cbor:"22,keyasint,omitempty"` // no permit is available for this long
	Stay    int64  `cbor:"23,keyasint,omitempty"` // callers are to stay away for this long
	Share   int64  `cbor:"24,keyasint,omitempty"` // the reporter's share of the turnover, calls in 1000 s
	Keeper  string `cbor:"25,keyasint,omitempty"` // who keeps the number; empty: the sender
}

type letter struct {
	Items []cbor.RawMessage `cbor:"1,keyasint"`
}

// entryPart is the keeper part of a process's entry.
type said struct {
	Kept []keptBy `cbor:"1,keyasint,omitempty"`
	Seen []seenBy `cbor:"2,keyasint,omitempty"`
}

type keptBy struct {
	Key   string `cbor:"1,keyasint"`
	Fence uint64 `cbor:"2,keyasint"`
	Share int64  `cbor:"3,keyasint,omitempty"` // turnover of the lines, calls in 1000 s
}

type seenBy struct {
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
	maxFigure = 1 << 20
	maxTime   = 60_000_000
	maxRate   = 1 << 40
)

// withinBounds tells whether the values of an item are within bounds.
func (it *item) sound() bool {
	for _, n := range []int64{it.Hold, it.Idle, it.Calls, it.Want, it.Permits} {
		if n < 0 || n > maxFigure {
			return false
		}
	}
	for _, t := range []int64{it.Lasts, it.Again, it.Stay} {
		if t < 0 || t > maxTime {
			return false
		}
	}
	return goodKey(it.Key) && it.Rate >= 0 && it.Rate <= maxRate && it.Share >= 0 && it.Share <= maxRate &&
		len(it.Keeper) <= 64
}

func goodKey(k string) bool { return k != "" && len(k) <= maxKey }

// decodeItems returns the items of a message that are within bounds, and an error if it contains anything else.
func readLetter(m fleet.Message) (items []item, err error) {
	var l letter
	if len(m.Body) > fleet.MaxBody {
		return nil, &MessageError{m.From, fmt.Sprintf("message of %d bytes exceeds the limit", len(m.Body))}
	}
	if e := decoding.Unmarshal(m.Body, &l); e != nil {
		return nil, &MessageError{m.From, e.Error()}
	}
	for _, raw := range l.Items {
		var it item
		if e := decoding.Unmarshal(raw, &it); e != nil {
			err = &MessageError{m.From, e.Error()}
		} else if !it.sound() {
			err = &MessageError{m.From, "value out of bounds"}
		} else {
			items = append(items, it)
		}
	}
	return items, err
}

// appendMessages packs items into as few messages as possible.
func letters(from, to string, items []item, out *fleet.Out) {
	const frame = 8
	var l letter
	size := frame
	send := func() {
		if body, err := encoding.Marshal(l); err == nil && len(l.Items) > 0 {
			out.Send = append(out.Send, fleet.Message{Kind: fleet.Keeper, From: from, To: to, Body: body})
		}
		l.Items, size = nil, frame
	}
	for i := range items {
		raw, err := encoding.Marshal(&items[i])
		if err != nil {
			continue // every item can be encoded
		}
		if size+len(raw) > fleet.MaxBody || len(l.Items) == 64 {
			send()
		}
		l.Items, size = append(l.Items, raw), size+len(raw)
	}
	send()
}

// decodeEntryPart decodes the keeper part of an entry and leaves out what is out of bounds.
func readSaid(name string, body []byte) (said, error) {
	var s said
	if len(body) == 0 {
		return s, nil
	}
	if err := decoding.Unmarshal(body, &s); err != nil {
		return said{}, &MessageError{name, err.Error()}
	}
	s.Kept = slices.DeleteFunc(s.Kept, func(k keptBy) bool {
		return !goodKey(k.Key) || k.Fence == 0 || k.Share < 0 || k.Share > maxRate
	})
	s.Seen = slices.DeleteFunc(s.Seen, func(k seenBy) bool { return !goodKey(k.Key) || k.Rate < 0 || k.Rate > maxRate })
	return s, nil
}

// encode encodes the part, with as many of the contended numbers as fit.
func (s said) bytes() []byte {
	if len(s.Kept)+len(s.Seen) == 0 {
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
		if len(s.Seen) > 0 {
			s.Seen = s.Seen[:len(s.Seen)-1]
		} else {
			s.Kept = s.Kept[:len(s.Kept)-1]
		}
	}
}

// record is stored with the lease of a number for the next keeper.
type record struct {
	Lines   int64  `cbor:"1,keyasint"`
	Known   int64  `cbor:"2,keyasint"`
	Turn    int64  `cbor:"3,keyasint"`           // calls in 1000 s
	All     bool   `cbor:"4,keyasint,omitempty"` // any process may hold lines: there are too many holders to list
	Out     int64  `cbor:"6,keyasint,omitempty"` // lines that may have been held when it was written
	Holders []byte `cbor:"5,keyasint,omitempty"` // 6 bytes each: hash of the name, most lines that it may hold
}

const (
	holderSize = 6
	maxHolders = 72
	maxCeil    = 1<<16 - 1
)

// holder is a process that may hold lines according to the record.
type holder struct {
	name uint32
	ceil int64
}

func nameHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

func (r *record) hold(holders []holder) {
	if r.All = len(holders) > maxHolders; r.All {
		return
	}
	for _, h := range holders {
		r.Holders = binary.BigEndian.AppendUint32(r.Holders, h.name)
		r.Holders = binary.BigEndian.AppendUint16(r.Holders, uint16(h.ceil))
	}
}

func (r *record) holders() (hs []holder) {
	for b := r.Holders; len(b) >= holderSize; b = b[holderSize:] {
		hs = append(hs, holder{binary.BigEndian.Uint32(b), int64(binary.BigEndian.Uint16(b[4:]))})
	}
	return hs
}

func (r *record) bytes() []byte {
	b, err := encoding.Marshal(r)
	if err != nil || len(b) > lease.MaxRecord {
		return nil
	}
	return b
}

// decodeRecord decodes the record of a number; no bytes give an empty record.
func readRecord(key string, b []byte) (r record, err error) {
	if len(b) == 0 {
		return r, nil
	}
	if e := decoding.Unmarshal(b, &r); e != nil {
		return record{}, &RecordError{key, e.Error()}
	}
	if r.Lines < 0 || r.Lines > maxFigure || r.Known < 0 || r.Known > maxFigure || r.Turn < 0 || r.Turn > maxRate ||
		r.Out < 0 || r.Out > maxFigure {
		return record{}, &RecordError{key, "value out of bounds"}
	}
	return r, nil
}
