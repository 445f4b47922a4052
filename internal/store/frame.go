package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// Op is one change: a value under a key, or that there is none any more.
type Op struct {
	Delete bool
	Key    string
	Value  []byte
}

// Version is the form that is written. Older ones are read: in 1 a frame had no flags.
const Version = 2

// A file begins with its kind, its version and a number; the checksum is over what is before it.
//
//	"pwl" kind:1 version:1 number:8 crc:4
const headSize = 3 + 1 + 1 + 8 + 4

// A frame is its length (of all that follows the checksum), a checksum of the length and of all that follows it, its
// number, flags, and its changes. In a change, lengths are varints; that of a value is one more, and 0 for a deletion.
//
//	length:4 crc:4 number:8 flags:1 (key length, key, value length + 1, value)...
const frameHead = 4 + 4

// maxFrame bounds a frame. A longer length is damage.
const maxFrame = 64 << 20

// The flags of a frame.
const (
	// Whole: it is all there is, in place of everything before it.
	Whole byte = 1 << iota
	// End ends a checkpoint; without it one is not whole.
	End
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// The kinds of file.
const (
	kindSegment    = 's'
	kindCheckpoint = 'c'
)

func head(kind byte, number uint64) []byte {
	b := binary.BigEndian.AppendUint64([]byte{'p', 'w', 'l', kind, Version}, number)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

var errHead = errors.New("no head of a file of this store")

// readHead reads a file's head; it gives the version and the number.
func readHead(b []byte, kind byte) (version byte, number uint64, err error) {
	const sum = headSize - 4
	if len(b) < headSize || string(b[:3]) != "pwl" || b[3] != kind ||
		binary.BigEndian.Uint32(b[sum:]) != crc32.Checksum(b[:sum], castagnoli) {
		return 0, 0, errHead
	}
	if version = b[4]; version < 1 || version > Version {
		return 0, 0, fmt.Errorf("form %d; this program reads 1 to %d", version, Version)
	}
	return version, binary.BigEndian.Uint64(b[5:]), nil
}

// appendFrame writes a frame behind b.
func appendFrame(b []byte, number uint64, flags byte, ops []Op) []byte {
	from := len(b)
	b = append(b, make([]byte, frameHead)...)
	b = append(binary.BigEndian.AppendUint64(b, number), flags)
	for _, op := range ops {
		b = append(binary.AppendUvarint(b, uint64(len(op.Key))), op.Key...)
		if op.Delete {
			b = append(b, 0)
			continue
		}
		b = append(binary.AppendUvarint(b, uint64(len(op.Value))+1), op.Value...)
	}
	seal(b[from:])
	return b
}

// seal fills in a frame's length and checksum.
func seal(f []byte) {
	binary.BigEndian.PutUint32(f, uint32(len(f)-frameHead))
	sum := crc32.Checksum(f[:4], castagnoli)
	binary.BigEndian.PutUint32(f[4:], crc32.Update(sum, castagnoli, f[frameHead:]))
}

// frame is one that was read; values share the memory that it was read from.
type frame struct {
	number uint64
	flags  byte
	ops    []Op
	at     []int // where each value begins, from the frame's first byte
	size   int
}

var errFrame = errors.New("frame damaged or not whole")

// readFrame reads the frame at the beginning of b.
func readFrame(b []byte, version byte) (f frame, err error) {
	if len(b) < frameHead+8 {
		return f, errFrame
	}
	length := int64(binary.BigEndian.Uint32(b))
	if length < 8 || length > maxFrame || int64(len(b)) < frameHead+length {
		return f, errFrame
	}
	f.size = frameHead + int(length)
	sum := crc32.Update(crc32.Checksum(b[:4], castagnoli), castagnoli, b[frameHead:f.size])
	if binary.BigEndian.Uint32(b[4:]) != sum {
		return f, errFrame
	}
	f.number = binary.BigEndian.Uint64(b[frameHead:])
	rest, at := b[:f.size], frameHead+8
	if version >= 2 {
		if at >= f.size {
			return f, errFrame
		}
		f.flags = rest[at]
		at++
	}
	for at < f.size {
		n, k := binary.Uvarint(rest[at:])
		if k <= 0 || n > uint64(f.size-at-k) {
			return f, errFrame
		}
		op := Op{Key: string(rest[at+k : at+k+int(n)])}
		at += k + int(n)
		n, k = binary.Uvarint(rest[at:])
		if k <= 0 || n > uint64(f.size-at-k)+1 {
			return f, errFrame
		}
		at += k
		f.at = append(f.at, at)
		if op.Delete = n == 0; !op.Delete {
			op.Value = rest[at : at+int(n)-1 : at+int(n)-1]
			at += int(n) - 1
		}
		f.ops = append(f.ops, op)
	}
	return f, nil
}
