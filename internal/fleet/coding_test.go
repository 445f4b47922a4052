package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

// drawEntry draws an entry, also over the bounds of what fits.
func drawEntry(t *rapid.T, name string) Entry {
	e := Entry{Name: name, Incarnation: rapid.Uint64Range(1, 4).Draw(t, "life"), Version: rapid.Uint64Range(1, 4).Draw(t, "version"),
		Program: rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "program"), Settings: rapid.Uint64().Draw(t, "settings"),
		Zone: rapid.SampledFrom([]string{"", "porto"}).Draw(t, "zone"), State: State(rapid.IntRange(1, 4).Draw(t, "state")), Roster: rapid.Uint64().Draw(t, "roster")}
	for range rapid.IntRange(0, MaxWindows+2).Draw(t, "windows") {
		w := Window{Number: rapid.Uint64().Draw(t, "n"), Length: 1e6, CPU: 5, Memory: 1 << 24, Broken: rapid.Uint64().Draw(t, "broken")}
		for i := range rapid.IntRange(0, 6).Draw(t, "classes") {
			c := ClassFigures{Name: fmt.Sprintf("class-of-some-length-%d", i), Offered: rapid.Uint64().Draw(t, "offered"), Worth: rapid.Float64Range(0, 1e9).Draw(t, "worth")}
			c.Waits = rapid.SliceOfN(rapid.Uint32(), 0, MaxBuckets).Draw(t, "waits")
			w.Class = append(w.Class, c)
		}
		e.Windows = append(e.Windows, w)
	}
	for k := range rapid.IntRange(0, 4).Draw(t, "parts") {
		if e.Parts == nil {
			e.Parts = map[Kind][]byte{}
		}
		e.Parts[Kind(k+1)] = rapid.SliceOfN(rapid.Byte(), 1, MaxBody).Draw(t, "part")
	}
	return e
}

// Whatever an entry holds, it is coded within its bound, is read back, and is coded the same again; parts are never shed
// for figures, and of the windows the newest stay.
func TestEntriesFitAndComeBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := drawEntry(t, "a")
		b := e.Encode()
		if len(b) > MaxEntry {
			t.Fatalf("%d bytes", len(b))
		}
		back, err := DecodeEntry(b)
		if err != nil {
			t.Fatal(err)
		}
		if again := back.Encode(); !bytes.Equal(again, b) {
			t.Fatalf("coded again:\n%x\n%x", b, again)
		}
		if back.Name != e.Name || back.Settings != e.Settings || back.State != e.State || len(back.Parts) != len(e.Parts) {
			t.Fatalf("%+v came back as %+v", e, back)
		}
		if n, m := len(e.Windows), len(back.Windows); m > 0 && back.Windows[m-1].Number != e.Windows[n-1].Number || n > 0 && m == 0 && len(e.Parts) < 4 {
			t.Fatalf("%d windows, %d came back", n, m)
		}
	})
}

// The most that a process may put into its entry still leaves room for its newest window.
func TestShedding(t *testing.T) {
	e := Entry{Name: "a", Incarnation: 1, Version: 1, State: Serving, Parts: map[Kind][]byte{}}
	for k := range Kind(4) {
		e.Parts[k+1] = bytes.Repeat([]byte{255}, MaxBody)
	}
	for i := range MaxWindows {
		w := Window{Number: uint64(i), Length: 1e6, CPU: math.MaxInt64, Memory: math.MaxInt64}
		for c := range 4 {
			w.Class = append(w.Class, ClassFigures{Name: fmt.Sprintf("class-%d", c), Offered: 1 << 60, Served: 1 << 60, Worth: 1.1, Waits: bytes32(MaxBuckets)})
		}
		e.Windows = append(e.Windows, w)
	}
	full, err := DecodeEntry(e.Encode())
	if err != nil || len(full.Windows) < 1 || len(full.Windows[len(full.Windows)-1].Class) != 4 || full.Windows[len(full.Windows)-1].Number != MaxWindows-1 {
		t.Fatalf("%v, %+v", err, full)
	}
	e.Parts = nil
	if some, err := DecodeEntry(e.Encode()); err != nil || len(some.Windows) != MaxWindows {
		t.Errorf("without parts %d windows of four classes fit, %v", len(some.Windows), err)
	}
}

func bytes32(n int) []uint32 {
	b := make([]uint32, n)
	for i := range b {
		b[i] = 200 + uint32(i)
	}
	return b
}

// newer is an entry as a later version may write it: with fields that this one does not know, in each level.
func newer(t testing.TB) []byte {
	t.Helper()
	class := map[uint64]any{keyClassName: "sale-auth", keyOffered: 7, 40: "of a class"}
	window := map[uint64]any{keyNumber: 3, keyLength: 1_000_000, keyClass: []any{class}, 41: []uint64{1, 2}}
	entry := map[uint64]any{keyName: "b", keyIncarnation: 9, keyVersion: 2, keyState: 7, keyWindows: []any{window},
		keyParts: map[uint64][]byte{4: []byte("known"), 9: []byte("of a kind to come")}, 42: map[uint64]string{1: "of an entry"}, 300: 1.5}
	b, err := coder().Marshal(entry)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// What a newer version adds survives passage through this one, byte for byte, in every level.
func TestNewerFieldsSurvive(t *testing.T) {
	b := newer(t)
	e, err := DecodeEntry(b)
	if err != nil {
		t.Fatal(err)
	}
	if e.Windows[0].Class[0].Offered != 7 || string(e.Parts[9]) != "of a kind to come" || e.State != 7 {
		t.Errorf("%+v", e)
	}
	if again := e.Encode(); !bytes.Equal(again, b) {
		t.Errorf("%x\n%x", b, again)
	}
	copied := *e // as a view's members are
	if again := copied.Encode(); !bytes.Equal(again, b) {
		t.Error("a copy lost them")
	}
	e.rest, e.Windows[0].rest = nil, nil
	if again := e.Encode(); bytes.Equal(again, b) {
		t.Error("the check does not see what is lost")
	}
}

// What is no entry, or over a bound, is refused with a type of its own.
func TestBadEntries(t *testing.T) {
	good := map[uint64]any{keyName: "b", keyIncarnation: 9, keyVersion: 2, keyState: 2}
	with := func(key uint64, v any) []byte {
		m := map[uint64]any{}
		for k, v := range good {
			m[k] = v
		}
		if m[key] = v; v == nil {
			delete(m, key)
		}
		b, err := cbor.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	if _, err := DecodeEntry(with(keyZone, "x")); err != nil {
		t.Fatal(err)
	}
	windows := make([]any, MaxWindows+1)
	for i := range windows {
		windows[i] = map[uint64]any{keyNumber: i}
	}
	unknown := map[uint64]any{keyName: "b", keyIncarnation: 9, keyVersion: 2, keyState: 2}
	for k := range uint64(MaxUnknown + 1) {
		unknown[100+k] = k
	}
	many, _ := cbor.Marshal(unknown)
	for name, b := range map[string][]byte{
		"nothing": nil, "text": []byte("GET / HTTP/1.1"), "a list": {0x80}, "open end": {0xbf, 0xff}, "over size": with(99, make([]byte, MaxEntry)),
		"no name": with(keyName, nil), "long name": with(keyName, string(make([]byte, MaxName+1))), "no life": with(keyIncarnation, nil),
		"the last life": with(keyIncarnation, uint64(math.MaxUint64)), "no version": with(keyVersion, 0), "no state": with(keyState, nil), "large state": with(keyState, 256),
		"name a number": with(keyName, 5), "windows": with(keyWindows, windows), "window a text": with(keyWindows, []any{"x"}),
		"time runs back": with(keyWindows, []any{map[uint64]any{keyLength: -1}}), "no number": with(keyWindows, []any{map[uint64]any{keyClass: []any{map[uint64]any{keyWorth: math.NaN()}}}}),
		"large part": with(keyParts, map[uint64][]byte{1: make([]byte, MaxBody+1)}), "part 0": with(keyParts, map[uint64][]byte{0: {1}}), "part 256": with(keyParts, map[uint64][]byte{256: {1}}),
		"unknown": many, "twice": {0xa2, 0x01, 0x61, 'b', 0x01, 0x61, 'c'}, "more": append(with(keyZone, "x"), 0), "text key": {0xa1, 0x61, 'a', 0x01},
	} {
		e, err := DecodeEntry(b)
		var bad *EntryError
		if e != nil || !errors.As(err, &bad) || bad.Advice() == "" {
			t.Errorf("%s gave %+v, %v", name, e, err)
		}
	}
}

// Whatever comes, the decoder ends without a panic; what it accepts is within bounds and is written again as it came, if it
// was written as we do.
func FuzzEntry(f *testing.F) {
	f.Add(newer(f))
	for seed := range 20 {
		e := rapid.Custom(func(t *rapid.T) Entry { return drawEntry(t, "b") }).Example(seed)
		f.Add(e.Encode())
	}
	f.Add([]byte{})
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add(bytes.Repeat([]byte{0x81}, 100))
	f.Add([]byte{0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := DecodeEntry(b)
		if err != nil {
			return
		}
		again := e.Encode()
		if len(again) > MaxEntry || len(e.Windows) > MaxWindows || len(e.Parts) > MaxParts {
			t.Fatalf("%d bytes, %d windows, %d parts", len(again), len(e.Windows), len(e.Parts))
		}
		twice, err := DecodeEntry(again)
		if err != nil {
			t.Fatalf("what was read and written cannot be read: %v", err)
		}
		if third := twice.Encode(); !bytes.Equal(third, again) {
			t.Fatalf("%x\n%x", again, third)
		}
		book := NewRegistry(Entry{Name: "a", State: Serving})
		if _, _, err := book.Take(1, b); err != nil && e.Name != "a" {
			t.Fatal(err)
		}
		if v := book.View(2); v == nil || v.Member("a") == nil {
			t.Fatalf("%+v", v)
		}
	})
}
