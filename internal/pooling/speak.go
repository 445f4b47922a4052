package pooling

import (
	"errors"

	"github.com/fxamacker/cbor/v2"

	"pewterwheel/internal/fleet"
)

// What is spoken: CBOR maps with integer keys; a later version's further keys are passed over.

// payload is the body of a message, and the process's part of its entry.
type payload struct {
	Signs       uint64           `cbor:"1,keyasint"`             // that the speaker's version knows
	Incarnation uint64           `cbor:"2,keyasint" json:"Life"` // the speaker's
	Digest      uint64           `cbor:"3,keyasint,omitempty"`   // of all denials that the speaker knows
	Denials     []denialRecord   `cbor:"4,keyasint,omitempty"`
	Evidence    []evidenceRecord `cbor:"5,keyasint,omitempty"`
	Acks        []denialRecord   `cbor:"6,keyasint,omitempty"` // denials that it has taken, as it now knows them
}

// denialRecord is what stands denied of a client.
type denialRecord struct {
	Key      uint64 `cbor:"1,keyasint"`
	Epoch    uint32 `cbor:"2,keyasint"`
	Modes    Modes  `cbor:"3,keyasint"`
	DeniedBy Sign   `cbor:"4,keyasint" json:"By"`
}

// evidenceRecord is the speaker's own record of a client, with what it knows to be denied.
type evidenceRecord struct {
	Key            uint64          `cbor:"1,keyasint"`
	Epoch          uint32          `cbor:"2,keyasint"`
	Modes          Modes           `cbor:"3,keyasint,omitempty"`
	DeniedBy       Sign            `cbor:"4,keyasint,omitempty" json:"By"`
	Opinion        Mode            `cbor:"5,keyasint"`
	OpinionVersion uint32          `cbor:"6,keyasint" json:"Said"`
	Counts         map[Sign]uint32 `cbor:"7,keyasint"`
}

// Bounds of one body.
const (
	maxPayloadDenials = 24
	maxPayloadRecords = 16
)

var (
	encMode, _ = cbor.CoreDetEncOptions().EncMode()
	decMode, _ = cbor.DecOptions{MaxArrayElements: 64, MaxMapPairs: 64, MaxNestedLevels: 6, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()

	errTooLong      = errors.New("longer than a body may be")
	errTooManyItems = errors.New("more in it than a body may hold")
	errTooManyPeers = errors.New("more processes than are kept")
	errZeroEpoch    = errors.New("an epoch that is none")
)

func (s *payload) bytes() []byte {
	b, err := encMode.Marshal(s)
	if err != nil {
		panic(err) // the type has nothing that cannot be written
	}
	return b
}

// decodePayload reads a body.
func decodePayload(from string, body []byte) (*payload, error) {
	if len(body) > fleet.MaxBody {
		return nil, &BodyError{from, errTooLong}
	}
	s := &payload{}
	if err := decMode.Unmarshal(body, s); err != nil {
		return nil, &BodyError{from, err}
	}
	if len(s.Denials) > maxPayloadDenials || len(s.Acks) > maxPayloadDenials || len(s.Evidence) > maxPayloadRecords {
		return nil, &BodyError{from, errTooManyItems}
	}
	for i := range s.Denials {
		if s.Denials[i].Epoch == 0 {
			return nil, &BodyError{from, errZeroEpoch}
		}
		s.Denials[i].Modes = s.Denials[i].Modes.withHigherModes()
	}
	for i := range s.Evidence {
		r := &s.Evidence[i]
		if r.Epoch == 0 {
			return nil, &BodyError{from, errZeroEpoch}
		}
		r.Modes, r.Opinion = r.Modes.withHigherModes(), min(r.Opinion, ByMessage)
	}
	return s, nil
}

// toMap writes counts; those that are 0 are left out.
func (c *Counts) toMap() map[Sign]uint32 {
	m := make(map[Sign]uint32, 16)
	for i, n := range c {
		if n > 0 {
			m[Sign(i)] = n
		}
	}
	return m
}

// countsFromMap reads them back; numbers past MaxSigns are passed over.
func countsFromMap(m map[Sign]uint32) (c Counts) {
	for i := range c {
		c[i] = m[Sign(i)]
	}
	return c
}

// digest is one denial's part in the digest, which is all of them by exclusive or.
func (d denialRecord) digest() uint64 {
	x := d.Key ^ uint64(d.Epoch)*0x9e3779b97f4a7c15 ^ uint64(d.Modes)<<56
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>29
}
