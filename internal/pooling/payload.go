package pooling

import (
	"errors"

	"github.com/fxamacker/cbor/v2"

	"pewterwheel/internal/fleet"
)

// Payloads are CBOR maps with integer keys. Unknown keys of later versions are ignored.

// payload is the body of a message, and this process's part of its fleet entry.
type payload struct {
	Signs       uint64           `cbor:"1,keyasint"`             // mask of the signs that the sender's version knows
	Incarnation uint64           `cbor:"2,keyasint" json:"Life"` // the speaker's
	Digest      uint64           `cbor:"3,keyasint,omitempty"`   // of all denials that the sender knows
	Denials     []denialRecord   `cbor:"4,keyasint,omitempty"`
	Evidence    []evidenceRecord `cbor:"5,keyasint,omitempty"`
	// denials that the sender received, in their present state
	Acks []denialRecord `cbor:"6,keyasint,omitempty"`
}

// denialRecord holds the denied modes of a client.
type denialRecord struct {
	Key      uint64 `cbor:"1,keyasint"`
	Epoch    uint32 `cbor:"2,keyasint"`
	Modes    Modes  `cbor:"3,keyasint"`
	DeniedBy Sign   `cbor:"4,keyasint" json:"By"`
}

// evidenceRecord is the sender's own record of a client, with the denials that it knows.
type evidenceRecord struct {
	Key            uint64          `cbor:"1,keyasint"`
	Epoch          uint32          `cbor:"2,keyasint"`
	Modes          Modes           `cbor:"3,keyasint,omitempty"`
	DeniedBy       Sign            `cbor:"4,keyasint,omitempty" json:"By"`
	Opinion        Mode            `cbor:"5,keyasint"`
	OpinionVersion uint32          `cbor:"6,keyasint" json:"Said"`
	Counts         map[Sign]uint32 `cbor:"7,keyasint"`
}

// Bounds of one payload.
const (
	maxPayloadDenials = 24
	maxPayloadRecords = 16
)

var (
	encMode, _ = cbor.CoreDetEncOptions().EncMode()
	decMode, _ = cbor.DecOptions{MaxArrayElements: 64, MaxMapPairs: 64, MaxNestedLevels: 6,
		IndefLength: cbor.IndefLengthForbidden,
		TagsMd:      cbor.TagsForbidden, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()

	errTooLong      = errors.New("payload exceeds the size limit")
	errTooManyItems = errors.New("payload has more items than allowed")
	errTooManyPeers = errors.New("process table is full")
	errZeroEpoch    = errors.New("epoch is 0")
)

func (s *payload) encode() []byte {
	b, err := encMode.Marshal(s)
	if err != nil {
		panic(err) // cannot happen: every field type can be encoded
	}
	return b
}

// decodePayload decodes and validates a payload.
func decodePayload(from string, body []byte) (*payload, error) {
	if len(body) > fleet.MaxBody {
		return nil, &PayloadError{from, errTooLong}
	}
	s := &payload{}
	if err := decMode.Unmarshal(body, s); err != nil {
		return nil, &PayloadError{from, err}
	}
	if len(s.Denials) > maxPayloadDenials || len(s.Acks) > maxPayloadDenials || len(s.Evidence) > maxPayloadRecords {
		return nil, &PayloadError{from, errTooManyItems}
	}
	for i := range s.Denials {
		if s.Denials[i].Epoch == 0 {
			return nil, &PayloadError{from, errZeroEpoch}
		}
		s.Denials[i].Modes = s.Denials[i].Modes.withHigherModes()
	}
	for i := range s.Evidence {
		r := &s.Evidence[i]
		if r.Epoch == 0 {
			return nil, &PayloadError{from, errZeroEpoch}
		}
		r.Modes, r.Opinion = r.Modes.withHigherModes(), min(r.Opinion, ByMessage)
	}
	return s, nil
}

// toMap returns the counts as a map, without those that are 0.
func (c *Counts) toMap() map[Sign]uint32 {
	m := make(map[Sign]uint32, 16)
	for i, n := range c {
		if n > 0 {
			m[Sign(i)] = n
		}
	}
	return m
}

// countsFromMap is the inverse of toMap. Numbers from MaxSigns on are ignored.
func countsFromMap(m map[Sign]uint32) (c Counts) {
	for i := range c {
		c[i] = m[Sign(i)]
	}
	return c
}

// digest returns the hash of one denial. The digest of a set is the exclusive or of its hashes.
func (d denialRecord) digest() uint64 {
	x := d.Key ^ uint64(d.Epoch)*0x9e3779b97f4a7c15 ^ uint64(d.Modes)<<56
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>29
}
