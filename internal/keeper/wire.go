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

// What one process tells another about a number. Numbers are never given anew; an unknown one is passed over.
const (
	opReport = 1 // to the keeper: what is held here, and what is wanted
	opAnswer = 2 // from the keeper: permits, or the time to come again; with N 0 it says just who keeps the number
	opOver   = 3 // from the keeper: the contention is over
	opTake   = 4 // from the keeper: be the next
)

// item is one such thing. Times are microseconds that begin when the message that is answered was sent.
type item struct {
	Op    uint8  `cbor:"1,keyasint"`
	Key   string `cbor:"2,keyasint"`
	Fence uint64 `cbor:"3,keyasint,omitempty"` // the highest that the sender knows; of the keeper: its own
	N     uint64 `cbor:"4,keyasint,omitempty"` // number of the report; permits for an earlier one are not taken any more
	Life  uint64 `cbor:"5,keyasint,omitempty"` // incarnation of the reporter

	Hold    int64  `cbor:"6,keyasint,omitempty"` // lines held: permits in hand, set-ups and calls
	Idle    int64  `cbor:"7,keyasint,omitempty"` // of them, permits in hand
	Calls   int64  `cbor:"8,keyasint,omitempty"` // of them, calls
	Want    int64  `cbor:"9,keyasint,omitempty"` // orders that wait
	Rate    int64  `cbor:"10,keyasint,omitempty"`
	Busy    uint64 `cbor:"11,keyasint,omitempty"`
	Began   uint64 `cbor:"12,keyasint,omitempty"`
	Ended   uint64 `cbor:"13,keyasint,omitempty"`
	Refused uint64 `cbor:"14,keyasint,omitempty"`

	Permits int64  `cbor:"20,keyasint,omitempty"` // all that were given for report N so far
	Lasts   int64  `cbor:"21,keyasint,omitempty"`
	Again   int64  `cbor:"22,keyasint,omitempty"` // none is to be had for so long
	Stay    int64  `cbor:"23,keyasint,omitempty"` // callers are to stay away for so long
	Share   int64  `cbor:"24,keyasint,omitempty"` // the reporter's part of the turnover, calls in a thousand seconds
	Keeper  string `cbor:"25,keyasint,omitempty"` // who keeps it; empty: the sender
}

type letter struct {
	Items []cbor.RawMessage `cbor:"1,keyasint"`
}

// said is the keepers' part of a process's entry.
type said struct {
	Kept []keptBy `cbor:"1,keyasint,omitempty"`
	Seen []seenBy `cbor:"2,keyasint,omitempty"`
}

type keptBy struct {
	Key   string `cbor:"1,keyasint"`
	Fence uint64 `cbor:"2,keyasint"`
	Share int64  `cbor:"3,keyasint,omitempty"` // turnover of the lines, calls in a thousand seconds
}

type seenBy struct {
	Key  string `cbor:"1,keyasint"`
	Rate int64  `cbor:"2,keyasint"` // orders in a thousand seconds
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

// sound tells whether an item's figures are within bounds.
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
	return goodKey(it.Key) && it.Rate >= 0 && it.Rate <= maxRate && it.Share >= 0 && it.Share <= maxRate && len(it.Keeper) <= 64
}

func goodKey(k string) bool { return k != "" && len(k) <= maxKey }

// readLetter returns the sound items of a message, and an error if there was anything else in it.
func readLetter(m fleet.Message) (items []item, err error) {
	var l letter
	if len(m.Body) > fleet.MaxBody {
		return nil, &MessageError{m.From, fmt.Sprintf("%d bytes", len(m.Body))}
	}
	if e := decoding.Unmarshal(m.Body, &l); e != nil {
		return nil, &MessageError{m.From, e.Error()}
	}
	for _, raw := range l.Items {
		var it item
		if e := decoding.Unmarshal(raw, &it); e != nil {
			err = &MessageError{m.From, e.Error()}
		} else if !it.sound() {
			err = &MessageError{m.From, "a figure out of bounds"}
		} else {
			items = append(items, it)
		}
	}
	return items, err
}

// letters packs items into as few messages as they fit.
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
			continue // there is nothing in it that could not be encoded
		}
		if size+len(raw) > fleet.MaxBody || len(l.Items) == 64 {
			send()
		}
		l.Items, size = append(l.Items, raw), size+len(raw)
	}
	send()
}

// readSaid reads the keepers' part of an entry; what is out of bounds is left out.
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

// bytes writes it, with as many of the seen as there is room for.
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

// record is what stands with a number's lease: what the next keeper must know.
type record struct {
	Lines   int64  `cbor:"1,keyasint"`
	Known   int64  `cbor:"2,keyasint"`
	Turn    int64  `cbor:"3,keyasint"`           // turnover, calls in a thousand seconds
	All     bool   `cbor:"4,keyasint,omitempty"` // any process may hold lines, for those that may are too many
	Out     int64  `cbor:"6,keyasint,omitempty"` // lines that may have been held when it was written
	Holders []byte `cbor:"5,keyasint,omitempty"` // 6 bytes each: hash of the name, most that it may hold
}

const (
	holderSize = 6
	maxHolders = 72
	maxCeil    = 1<<16 - 1
)

// holder is a process that may hold lines, by the record.
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

// readRecord reads the record of a number; none is an empty one.
func readRecord(key string, b []byte) (r record, err error) {
	if len(b) == 0 {
		return r, nil
	}
	if e := decoding.Unmarshal(b, &r); e != nil {
		return record{}, &RecordError{key, e.Error()}
	}
	if r.Lines < 0 || r.Lines > maxFigure || r.Known < 0 || r.Known > maxFigure || r.Turn < 0 || r.Turn > maxRate || r.Out < 0 || r.Out > maxFigure {
		return record{}, &RecordError{key, "a figure out of bounds"}
	}
	return r, nil
}
