package membership

import (
	"encoding/binary"
	"errors"
	"testing"

	"pewterwheel/decide"
	"pewterwheel/internal/wire"
)

// frameOf returns a frame of the journal with one record for each state; the records have the IDs 1, 2 and so on.
func frameOf(number uint64, kind byte, states ...byte) []byte {
	var records []byte
	for i, state := range states {
		r := make([]byte, 27)
		r[3], r[10] = byte(i+1), state
		records = append(records, r...)
	}
	return frameWithLength(9+len(records), number, kind, records)
}

// frameWithLength returns a frame with the given length field.
func frameWithLength(length int, number uint64, kind byte, records []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(length))
	return append(append(binary.BigEndian.AppendUint64(b, number), kind), records...)
}

// For each invalid or unusual sequence of frames: the changes reported, in order, and whether the connection must be
// closed. Each sequence is fed in one piece and in pieces of every size, with the same result.
func TestInvalidFrames(t *testing.T) {
	join := func(frames ...[]byte) (all []byte) {
		for _, f := range frames {
			all = append(all, f...)
		}
		return all
	}
	const far = uint64(1) << 62
	for _, c := range []struct {
		name     string
		in       []byte
		reported []uint64
		skipped  bool // the missing events are requested again
		broken   bool // the data is not from the journal
	}{
		{"repeated", join(frameOf(4, 2, 0), frameOf(4, 2, 0), frameOf(5, 2, 0), frameOf(4, 2, 1), frameOf(5, 2, 0)),
			[]uint64{4, 5}, false, false},
		{"out of order", join(frameOf(4, 2, 0), frameOf(6, 2, 0), frameOf(5, 2, 0)), []uint64{4}, true, false},
		{"a gap", frameOf(5, 2, 0), nil, true, false},
		{"a gap before a whole list", join(frameOf(9, 1, 0), frameOf(10, 2, 0)), []uint64{9, 10}, false, false},
		{"an old whole list", frameOf(3, 1, 0), nil, false, false},
		{"an empty whole list", join(frameOf(4, 1), frameOf(5, 2, 0)), []uint64{4, 5}, false, false},
		{"an empty change", join(frameOf(4, 2), frameOf(5, 2, 0)), []uint64{4, 5}, false, false},
		{"a whole list far ahead", join(frameOf(far, 1, 0), frameOf(4, 2, 0), frameOf(far+1, 2, 0)),
			[]uint64{far, far + 1}, false, false},
		{"the largest number", join(frameOf(1<<64-1, 1, 0), frameOf(0, 2, 0), frameOf(1, 2, 0)),
			[]uint64{1<<64 - 1}, false, false},
		{"empty frames with any number", join(frameOf(0, 0), frameOf(far, 0), frameOf(4, 0), frameOf(4, 2, 0)),
			[]uint64{4}, false, false},
		{"an empty frame with records", join(frameOf(4, 0, 0), frameOf(4, 2, 0)), []uint64{4}, false, false},
		{"truncated record", join(frameOf(4, 2, 0), frameWithLength(9+26, 5, 2, make([]byte, 26))),
			[]uint64{4}, false, true},
		{"one extra byte", frameWithLength(9+28, 4, 2, make([]byte, 28)), nil, false, true},
		{"unknown kind", join(frameOf(4, 2, 0), frameOf(5, 3, 0)), []uint64{4}, false, true},
		{"unknown state", join(frameOf(4, 2, 0), frameOf(5, 2, 0, 3)), []uint64{4}, false, true},
		{"length below the minimum", frameWithLength(8, 4, 2, nil), nil, false, true},
		{"length zero", frameWithLength(0, 4, 2, nil), nil, false, true},
		{"length above the maximum", frameWithLength(1<<20+1, 4, 2, nil), nil, false, true},
		{"negative length", frameWithLength(-1, 4, 2, nil), nil, false, true},
		{"incomplete frame", join(frameOf(4, 2, 0), frameWithLength(9+270, 5, 2, make([]byte, 27))),
			[]uint64{4}, false, false},
		{"text", []byte("HTTP/1.1 200 OK\r\n\r\n"), nil, false, true},
	} {
		for step := 1; step <= len(c.in); step++ {
			j := NewJournal("x:1", wire.Known{Last: 3}, nil)
			var reported []uint64
			emit := func(c wire.Change) { reported = append(reported, c.Number) }
			_ = j.Start(0, emit)
			j.Request(0)
			var err error
			for at := 0; at < len(c.in) && err == nil; at += step {
				err = j.Feed(1, c.in[at:min(at+step, len(c.in))], emit)
			}
			var skipped *SkippedError
			isSkip := errors.As(err, &skipped)
			if len(reported) != len(c.reported) || isSkip != c.skipped || (err != nil && !isSkip) != c.broken {
				t.Fatalf("%s, %d bytes at a time: reported %v, %v", c.name, step, reported, err)
			}
			last := uint64(3)
			for i := range reported {
				if last = reported[i]; last != c.reported[i] {
					t.Fatalf("%s, %d bytes at a time: reported %v", c.name, step, reported)
				}
			}
			if ask := j.Request(2); binary.BigEndian.Uint64(ask) != last {
				t.Errorf("%s: requests events after % x, not %d", c.name, ask, last)
			}
		}
	}
}

// Bytes that do not complete a frame do not count as a sign of life, however long they keep coming; a complete frame
// does.
func TestIncompleteFrameIsSilence(t *testing.T) {
	j := NewJournal("x:1", wire.Known{Last: 3}, nil)
	_ = j.Start(0, func(wire.Change) {})
	j.Request(7)
	for i, b := range frameWithLength(9+2700, 4, 2, make([]byte, 2699)) {
		if err := j.Feed(int64(100+i), []byte{b}, func(wire.Change) {}); err != nil || j.LastFrame() != 7 {
			t.Fatalf("byte %d: heard at %d, %v", i, j.LastFrame(), err)
		}
	}
	if err := j.Feed(9000, []byte{0}, func(wire.Change) {}); err != nil || j.LastFrame() != 9000 || j.LastNumber() != 4 {
		t.Errorf("heard at %d, last %d, %v", j.LastFrame(), j.LastNumber(), err)
	}
}

// FuzzFeed checks that, whatever data is fed in whatever pieces, numbers only grow, a gap outside a whole list is an
// error, and nothing crashes.
func FuzzFeed(f *testing.F) {
	f.Add(frameOf(4, 2, 0, 1, 2), 3)
	f.Add(frameOf(9, 1, 0), 1)
	f.Add(append(frameOf(4, 2, 0), frameOf(6, 2, 0)...), 40)
	f.Fuzz(func(t *testing.T, in []byte, step int) {
		step = max(1, step%64)
		j := NewJournal("x:1", wire.Known{Last: 3}, nil)
		last := uint64(3)
		_ = j.Start(0, func(wire.Change) {})
		for at := 0; at < len(in); at += step {
			err := j.Feed(1, in[at:min(at+step, len(in))], func(c wire.Change) {
				if c.Number <= last || c.Number > last+1 && !c.Whole {
					t.Fatalf("event %d was reported after event %d", c.Number, last)
				}
				last = c.Number
				for _, o := range c.Offices {
					if o.State > decide.Removed {
						t.Fatalf("invalid state %d", o.State)
					}
				}
			})
			if j.LastNumber() != last {
				t.Fatalf("Last returns %d, but event %d was reported last", j.LastNumber(), last)
			}
			if err != nil {
				return
			}
		}
	})
}
