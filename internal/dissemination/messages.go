package dissemination

import (
	"encoding/binary"
	"unicode/utf8"

	"pewterwheel/internal/fleet"
)

// messageType is what a message of Repair is. Numbers are spoken between versions: they are never given anew.
type messageType uint8

const (
	typeAsk      messageType = 1 // digests of the sender's buckets: which of yours differ
	typeVersions messageType = 2 // the answer: versions of entries in the buckets that differ
	typeWant     messageType = 3 // names of entries that the sender asks for
)

// bucketBytes is the length of one bucket's digest in a message.
const bucketBytes = 4

// maxListed bounds the lists in a message; fleet.Coding reads no longer ones.
const maxListed = 64

// maxNumber bounds incarnations and versions. Guards against a spoilt number after which none is higher.
const maxNumber = 1 << 62

// repairMessage is every message of Repair. What a type does not need is left out.
type repairMessage struct {
	Type     messageType     `cbor:"1,keyasint"`
	Buckets  []byte          `cbor:"2,keyasint,omitempty"` // of an ask: fleet.DigestBuckets digests, big endian
	Covered  uint64          `cbor:"3,keyasint,omitempty"` // of versions: bit i: bucket i is listed whole
	Versions []listedVersion `cbor:"4,keyasint,omitempty"`
	Names    []string        `cbor:"5,keyasint,omitempty"` // of a want
}

// listedVersion is a fleet.Version as it stands in a message.
type listedVersion struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Version     uint64 `cbor:"3,keyasint"`
}

func (m *repairMessage) encode() []byte {
	encoder, _ := fleet.Coding()
	raw, err := encoder.Marshal(m)
	if err != nil {
		panic(err) // a struct of plain fields can always be written
	}
	return raw
}

// decodeRepair reads a message and checks its bounds; the error is a *MessageError.
func decodeRepair(raw []byte) (repairMessage, error) {
	if len(raw) > fleet.MaxBody {
		return repairMessage{}, &MessageError{Size: len(raw), Fault: TooLong}
	}
	var m repairMessage
	_, decoder := fleet.Coding()
	if err := decoder.Unmarshal(raw, &m); err != nil {
		return repairMessage{}, &MessageError{Size: len(raw), Fault: NotCoded, Cause: err}
	}
	if fault := m.fault(); fault != 0 {
		return repairMessage{}, &MessageError{Size: len(raw), Fault: fault}
	}
	return m, nil
}

// fault returns what is wrong with a message; 0: nothing.
func (m *repairMessage) fault() Fault {
	switch m.Type {
	case typeAsk:
		if len(m.Buckets) != fleet.DigestBuckets*bucketBytes {
			return BadCount
		}
		return 0
	case typeVersions:
		return versionsFault(m.Versions)
	case typeWant:
		return namesFault(m.Names)
	}
	return UnknownType
}

func versionsFault(versions []listedVersion) Fault {
	if len(versions) > maxListed {
		return BadCount
	}
	for _, v := range versions {
		if !nameFits(v.Name) {
			return BadName
		}
		if !numberFits(v.Incarnation) || !numberFits(v.Version) {
			return BadNumber
		}
	}
	return 0
}

func namesFault(names []string) Fault {
	if len(names) == 0 || len(names) > MaxPassed {
		return BadCount
	}
	for _, name := range names {
		if !nameFits(name) {
			return BadName
		}
	}
	return 0
}

func nameFits(name string) bool {
	return name != "" && len(name) <= fleet.MaxName && utf8.ValidString(name)
}

func numberFits(n uint64) bool { return n > 0 && n <= maxNumber }

// encodeBuckets writes the digests of an ask.
func encodeBuckets(buckets *[fleet.DigestBuckets]uint32) []byte {
	raw := make([]byte, 0, fleet.DigestBuckets*bucketBytes)
	for _, digest := range buckets {
		raw = binary.BigEndian.AppendUint32(raw, digest)
	}
	return raw
}

// differing returns which buckets differ from the digests of an ask, as bits.
func differing(buckets *[fleet.DigestBuckets]uint32, raw []byte) uint64 {
	differ := uint64(0)
	for i, digest := range buckets {
		if binary.BigEndian.Uint32(raw[i*bucketBytes:]) != digest {
			differ |= 1 << i
		}
	}
	return differ
}

// Sizes of what a list is written in, in bytes, at the most: the map of the message with its type, the bits of the
// covered buckets, the key and the head of the list.
const (
	listFrame    = 1 + 2 + 10 + 1 + 2
	versionFrame = 1 + 3 // the map of a listedVersion and its keys
)

// versionBytes is how many bytes a version takes in a message.
func versionBytes(v fleet.Version) int {
	return versionFrame + textBytes(v.Name) + headBytes(v.Incarnation) + headBytes(v.Version)
}

// textBytes is how many bytes a text takes.
func textBytes(text string) int { return headBytes(uint64(len(text))) + len(text) }

// headBytes is how many bytes CBOR takes for a number, or for the head of a text or list of that length.
func headBytes(n uint64) int {
	switch {
	case n < 24:
		return 1
	case n < 1<<8:
		return 2
	case n < 1<<16:
		return 3
	case n < 1<<32:
		return 5
	}
	return 9
}
