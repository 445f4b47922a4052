package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"slices"
	"testing"

	"pewterwheel/decide"
)

func TestMessageLengths(t *testing.T) {
	whole, err := Message{Type: TypeAnswer, Call: 7, Params: []Param{{ParamDescription, []byte{0, 255}}}}.Append(nil)
	if err != nil {
		t.Fatal(err)
	}
	for n := range whole {
		if _, took, err := Next(whole[:n]); took != 0 || err != nil {
			t.Errorf("%d of %d bytes: took %d, %v", n, len(whole), took, err)
		}
	}
	if m, took, err := Next(append(whole, 0)); took != len(whole) || err != nil || m.Bad || m.Call != 7 {
		t.Errorf("a whole message: %+v, took %d, %v", m, took, err)
	}
	for _, head := range []string{"\x00\x08", "\x3f\xff", "\xff\xff"} {
		if _, _, err := Next([]byte(head)); !errors.Is(err, ErrLength) {
			t.Errorf("length % x: %v", head, err)
		}
	}
	longest := Message{Params: []Param{{1, make([]byte, MaxMessage-14)}}}
	if b, err := longest.Append(nil); err != nil || len(b) != MaxMessage {
		t.Errorf("the longest message: %d bytes, %v", len(b), err)
	}
	longest.Params[0].Value = make([]byte, MaxMessage-13)
	if _, err := longest.Append(nil); !errors.Is(err, ErrLength) {
		t.Errorf("one byte more: %v", err)
	}
}

func FuzzNext(f *testing.F) {
	f.Add([]byte("\x00\x0c\x01\x00\x00\x00\x00\x00\x00\x00\x07\x10\x00\x00"))
	f.Add([]byte("\x00\x0d\x0c\x00\x00\x00\x00\x00\x00\x00\x07\x3a\x00\x01\x22"))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, n, err := Next(b)
		if err != nil || n == 0 || m.Bad {
			return
		}
		if again, err := m.Append(nil); err != nil || !bytes.Equal(again, b[:n]) {
			t.Errorf("% x written as % x, %v", b[:n], again, err)
		}
		up, err := ReadSetUp(m, map[string]string{"a": "a"}, make([]byte, 3)) // must not panic
		if err != nil {
			return
		}
		want, err := up.Onward(m.Call, 5_000).Append(nil)
		got, err2 := up.AppendOnward([]byte("x"), m.Call, 5_000)
		if (err == nil) != (err2 == nil) || err == nil && string(got) != "x"+string(want) || err != nil && string(got) != "x" {
			t.Errorf("a set-up goes on as % x, %v; want % x, %v", got, err2, want, err)
		}
		_, _ = m.Load(), m.Cause()
	})
}

// The two ways of writing a message write the same.
func TestAppended(t *testing.T) {
	long := Message{Type: TypeRelease, Call: 7, Params: []Param{{ParamCause, []byte{42}}, Text(ParamStayAway, "1500")}}
	for _, c := range []struct {
		m Message
		b []byte
	}{
		{long, AppendRelease(nil, 7, 42, 1500)},
		{ReleaseOf(7, 16), AppendRelease(nil, 7, 16, 0)},
		{Message{Type: TypeHeard, Call: 1 << 63}, AppendHeard(nil, 1<<63)},
	} {
		if want, err := c.m.Append(nil); err != nil || !bytes.Equal(want, c.b) {
			t.Errorf("% x, want % x, %v", c.b, want, err)
		}
	}
	for n, sound := range map[int]bool{0: true, 300: true, MaxMessage - 14: true, MaxMessage - 13: false} {
		d := make([]byte, n)
		want, err := Message{Type: TypeAnswer, Call: 9, Params: []Param{{ParamDescription, d}}}.Append([]byte("x"))
		got, err2 := AppendAnswer([]byte("x"), 9, d)
		if (err == nil) != sound || (err2 == nil) != sound || !bytes.Equal(got, want) {
			t.Errorf("an answer with %d bytes: %v, %v, %d bytes and %d", n, err, err2, len(got), len(want))
		}
	}
}

func FuzzNextFrame(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x09\x00\x00\x00\x00\x00\x00\x00\x01\x00"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if c, n, err := NextFrame(b); err == nil && n > 0 && 13+27*len(c.Offices) > n && !c.Empty {
			t.Errorf("%d records in %d bytes", len(c.Offices), n)
		}
	})
}

// The journal's frames and the configuration's JSON are two writings of the same events.
func TestKnownAndFramesAgree(t *testing.T) {
	var e Entry
	text := `{"pos":41,"hosts":{"seq":7,"whole":true,"hosts":[{"host":"s-00c41f7a","dial":"10.1.0.9:2905",
		"site":"faro","class":"std","block":2,"health":"DRAINING","share":4,"born_ms":1700000000000}]}}`
	if err := json.Unmarshal([]byte(text), &e); err != nil {
		t.Fatal(err)
	}
	known, err := e.Change([]string{"lisboa", "faro"})
	if err != nil {
		t.Fatal(err)
	}
	frame := []byte{0, 0, 0, 36, 0, 0, 0, 0, 0, 0, 0, 41, 1, 0x00, 0xc4, 0x1f, 0x7a, 10, 1, 0, 9, 0x0b, 0x59, 1, 1, 0,
		0, 2, 0, 0, 0x0f, 0xa0, 0, 0, 1, 0x8b, 0xcf, 0xe5, 0x68, 0}
	told, n, err := NextFrame(frame)
	if err != nil || n != len(frame) || len(told.Offices) != 1 || told.Offices[0] != known.Offices[0] ||
		told.Number != known.Number || told.Whole != known.Whole || known.Offices[0].State != decide.Draining {
		t.Errorf("frame %+v (%d, %v)\nknown %+v", told, n, err, known)
	}
}

// Guards against a load that no server can have upsetting the module's sums.
func TestLoadOfAGroup(t *testing.T) {
	for text, want := range map[string]float64{"free:70;size:296": 70, "free:0;size:9": 0, "free:x": -1, "free:-3": -1,
		"free:Inf": -1, "free:NaN": -1, "": -1, "size:4": -1} {
		m := Message{Type: TypeGroup, Params: []Param{Text(ParamLoad, text)}}
		if got := m.Load().FreeLines; got != want {
			t.Errorf("%q: %v free lines, want %v", text, got, want)
		}
	}
}

// A message that is split anywhere is whole with what is missing of it, and not before.
func TestMissing(t *testing.T) {
	message, err := Message{Type: TypeProgress, Call: 1, Params: []Param{Text(ParamLoad, "free:1")}}.Append(nil)
	if err != nil {
		t.Fatal(err)
	}
	both := append(slices.Clone(message), message...)
	for split := 1; split < len(message); split++ {
		for came := 1; came <= len(both)-split; came++ {
			begun, next := both[:split:split], both[split:split+came]
			part := min(len(next), Missing(begun, next))
			_, n, err := Next(slices.Concat(begun, next[:part]))
			if whole := split+came >= len(message); err != nil || (n > 0) != whole || whole && part != len(message)-split || !whole && part != came {
				t.Fatalf("split at %d, %d more came: %d taken, a message of %d, %v", split, came, part, n, err)
			}
		}
	}
	if n := Missing([]byte{0}, []byte{0, 1, 2}); n != 1 {
		t.Errorf("%d bytes are missing to tell that no message is so short", n)
	}
}
