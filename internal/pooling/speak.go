package pooling

import (
	"errors"

	"github.com/fxamacker/cbor/v2"

	"pewterwheel/internal/fleet"
)

// What is spoken: CBOR maps with integer keys; a later version's further keys are passed over.

// speech is the body of a message, and the process's part of its entry.
type speech struct {
	Signs    uint64       `cbor:"1,keyasint"`           // that the speaker's version knows
	Life     uint64       `cbor:"2,keyasint"`           // the speaker's
	Digest   uint64       `cbor:"3,keyasint,omitempty"` // of all denials that the speaker knows
	Denials  []saidDenial `cbor:"4,keyasint,omitempty"`
	Evidence []saidRecord `cbor:"5,keyasint,omitempty"`
	Acks     []saidDenial `cbor:"6,keyasint,omitempty"` // denials that it has taken, as it now knows them
}

// saidDenial is what stands denied of a client.
type saidDenial struct {
	Key   uint64 `cbor:"1,keyasint"`
	Epoch uint32 `cbor:"2,keyasint"`
	Modes Modes  `cbor:"3,keyasint"`
	By    Sign   `cbor:"4,keyasint"`
}

// saidRecord is the speaker's own record of a client, with what it knows to be denied.
type saidRecord struct {
	Key     uint64          `cbor:"1,keyasint"`
	Epoch   uint32          `cbor:"2,keyasint"`
	Modes   Modes           `cbor:"3,keyasint,omitempty"`
	By      Sign            `cbor:"4,keyasint,omitempty"`
	Opinion Mode            `cbor:"5,keyasint"`
	Said    uint32          `cbor:"6,keyasint"`
	Counts  map[Sign]uint32 `cbor:"7,keyasint"`
}

// Bounds of one body.
const (
	mostSaidDenials = 24
	mostSaidRecords = 16
)

var (
	speaker, _ = cbor.CoreDetEncOptions().EncMode()
	hearer, _  = cbor.DecOptions{MaxArrayElements: 64, MaxMapPairs: 64, MaxNestedLevels: 6, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()

	errLong  = errors.New("longer than a body may be")
	errMuch  = errors.New("more in it than a body may hold")
	errPeers = errors.New("more processes than are kept")
	errEpoch = errors.New("an epoch that is none")
)

func (s *speech) bytes() []byte {
	b, err := speaker.Marshal(s)
	if err != nil {
		panic(err) // the type has nothing that cannot be written
	}
	return b
}

// hear reads a body.
func hear(from string, body []byte) (*speech, error) {
	if len(body) > fleet.MaxBody {
		return nil, &BodyError{from, errLong}
	}
	s := &speech{}
	if err := hearer.Unmarshal(body, s); err != nil {
		return nil, &BodyError{from, err}
	}
	if len(s.Denials) > mostSaidDenials || len(s.Acks) > mostSaidDenials || len(s.Evidence) > mostSaidRecords {
		return nil, &BodyError{from, errMuch}
	}
	for i := range s.Denials {
		if s.Denials[i].Epoch == 0 {
			return nil, &BodyError{from, errEpoch}
		}
		s.Denials[i].Modes = s.Denials[i].Modes.whole()
	}
	for i := range s.Evidence {
		r := &s.Evidence[i]
		if r.Epoch == 0 {
			return nil, &BodyError{from, errEpoch}
		}
		r.Modes, r.Opinion = r.Modes.whole(), min(r.Opinion, ByMessage)
	}
	return s, nil
}

// said writes counts; those that are 0 are left out.
func (c *Counts) said() map[Sign]uint32 {
	m := make(map[Sign]uint32, 16)
	for i, n := range c {
		if n > 0 {
			m[Sign(i)] = n
		}
	}
	return m
}

// counts reads them back; numbers past MaxSigns are passed over.
func counts(m map[Sign]uint32) (c Counts) {
	for i := range c {
		c[i] = m[Sign(i)]
	}
	return c
}

// digest is one denial's part in the digest, which is all of them by exclusive or.
func (d saidDenial) digest() uint64 {
	x := d.Key ^ uint64(d.Epoch)*0x9e3779b97f4a7c15 ^ uint64(d.Modes)<<56
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>29
}
