package membership

import (
	"encoding/binary"
	"errors"
	"testing"

	"pewterwheel/decide"
	"pewterwheel/internal/wire"
)

// whole is a frame of the journal; records of one office each, by id and state.
func whole(number uint64, kind byte, states ...byte) []byte {
	var records []byte
	for i, state := range states {
		r := make([]byte, 27)
		r[3], r[10] = byte(i+1), state
		records = append(records, r...)
	}
	return sized(9+len(records), number, kind, records)
}

// sized is a frame that claims a length.
func sized(length int, number uint64, kind byte, records []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(length))
	return append(append(binary.BigEndian.AppendUint64(b, number), kind), records...)
}

// The end of each frame that is not as it should be: what is taken, in order, and whether the connection is of no more use.
// Each is fed in one piece, and split at every byte; the end is the same.
func TestEndsOfFrames(t *testing.T) {
	join := func(frames ...[]byte) (all []byte) {
		for _, f := range frames {
			all = append(all, f...)
		}
		return all
	}
	const far = uint64(1) << 62
	for _, c := range []struct {
		name    string
		in      []byte
		taken   []uint64
		skipped bool // asked again for what is missing
		broken  bool // not the journal's
	}{
		{"told twice", join(whole(4, 2, 0), whole(4, 2, 0), whole(5, 2, 0), whole(4, 2, 1), whole(5, 2, 0)), []uint64{4, 5}, false, false},
		{"out of order", join(whole(4, 2, 0), whole(6, 2, 0), whole(5, 2, 0)), []uint64{4}, true, false},
		{"a gap", whole(5, 2, 0), nil, true, false},
		{"a gap before a whole list", join(whole(9, 1, 0), whole(10, 2, 0)), []uint64{9, 10}, false, false},
		{"a whole list from before", whole(3, 1, 0), nil, false, false},
		{"a whole list of nothing", join(whole(4, 1), whole(5, 2, 0)), []uint64{4, 5}, false, false},
		{"a change of nothing", join(whole(4, 2), whole(5, 2, 0)), []uint64{4, 5}, false, false},
		{"a whole list far ahead", join(whole(far, 1, 0), whole(4, 2, 0), whole(far+1, 2, 0)), []uint64{far, far + 1}, false, false},
		{"the last number there is", join(whole(1<<64-1, 1, 0), whole(0, 2, 0), whole(1, 2, 0)), []uint64{1<<64 - 1}, false, false},
		{"empty frames of any number", join(whole(0, 0), whole(far, 0), whole(4, 0), whole(4, 2, 0)), []uint64{4}, false, false},
		{"an empty frame with records", join(whole(4, 0, 0), whole(4, 2, 0)), []uint64{4}, false, false},
		{"a record cut off", join(whole(4, 2, 0), sized(9+26, 5, 2, make([]byte, 26))), []uint64{4}, false, true},
		{"a byte too many", sized(9+28, 4, 2, make([]byte, 28)), nil, false, true},
		{"unknown kind", join(whole(4, 2, 0), whole(5, 3, 0)), []uint64{4}, false, true},
		{"unknown state", join(whole(4, 2, 0), whole(5, 2, 0, 3)), []uint64{4}, false, true},
		{"too short to be one", sized(8, 4, 2, nil), nil, false, true},
		{"length of nothing", sized(0, 4, 2, nil), nil, false, true},
		{"longer than any list", sized(1<<20+1, 4, 2, nil), nil, false, true},
		{"negative length", sized(-1, 4, 2, nil), nil, false, true},
		{"longer than what comes", join(whole(4, 2, 0), sized(9+270, 5, 2, make([]byte, 27))), []uint64{4}, false, false},
		{"text", []byte("HTTP/1.1 200 OK\r\n\r\n"), nil, false, true},
	} {
		for step := 1; step <= len(c.in); step++ {
			j := NewJournal("x:1", wire.Known{Last: 3}, nil)
			var taken []uint64
			take := func(c wire.Change) { taken = append(taken, c.Number) }
			_ = j.Start(0, take)
			j.Ask(0)
			var err error
			for at := 0; at < len(c.in) && err == nil; at += step {
				err = j.Feed(1, c.in[at:min(at+step, len(c.in))], take)
			}
			var skipped *SkippedError
			isSkip := errors.As(err, &skipped)
			if len(taken) != len(c.taken) || isSkip != c.skipped || (err != nil && !isSkip) != c.broken {
				t.Fatalf("%s, %d bytes at a time: took %v, %v", c.name, step, taken, err)
			}
			last := uint64(3)
			for i := range taken {
				if last = taken[i]; last != c.taken[i] {
					t.Fatalf("%s, %d bytes at a time: took %v", c.name, step, taken)
				}
			}
			if ask := j.Ask(2); binary.BigEndian.Uint64(ask) != last {
				t.Errorf("%s: asks again from % x, not %d", c.name, ask, last)
			}
		}
	}
}

// Bytes that make no whole frame are no sign of life, however long they go on coming; a whole frame is.
func TestTrickleIsSilence(t *testing.T) {
	j := NewJournal("x:1", wire.Known{Last: 3}, nil)
	_ = j.Start(0, func(wire.Change) {})
	j.Ask(7)
	for i, b := range sized(9+2700, 4, 2, make([]byte, 2699)) {
		if err := j.Feed(int64(100+i), []byte{b}, func(wire.Change) {}); err != nil || j.Heard() != 7 {
			t.Fatalf("byte %d: heard at %d, %v", i, j.Heard(), err)
		}
	}
	if err := j.Feed(9000, []byte{0}, func(wire.Change) {}); err != nil || j.Heard() != 9000 || j.Last() != 4 {
		t.Errorf("heard at %d, last %d, %v", j.Heard(), j.Last(), err)
	}
}

// FuzzFeed: whatever comes, in whatever pieces, numbers only grow, an unlisted gap is told, and nothing crashes.
func FuzzFeed(f *testing.F) {
	f.Add(whole(4, 2, 0, 1, 2), 3)
	f.Add(whole(9, 1, 0), 1)
	f.Add(append(whole(4, 2, 0), whole(6, 2, 0)...), 40)
	f.Fuzz(func(t *testing.T, in []byte, step int) {
		step = max(1, step%64)
		j := NewJournal("x:1", wire.Known{Last: 3}, nil)
		last := uint64(3)
		_ = j.Start(0, func(wire.Change) {})
		for at := 0; at < len(in); at += step {
			err := j.Feed(1, in[at:min(at+step, len(in))], func(c wire.Change) {
				if c.Number <= last || c.Number > last+1 && !c.Whole {
					t.Fatalf("%d was taken after %d", c.Number, last)
				}
				last = c.Number
				for _, o := range c.Offices {
					if o.State > decide.Removed {
						t.Fatalf("state %d", o.State)
					}
				}
			})
			if j.Last() != last {
				t.Fatalf("last is %d, taken was %d", j.Last(), last)
			}
			if err != nil {
				return
			}
		}
	})
}
