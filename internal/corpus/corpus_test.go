package corpus

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// note stands for what a package speaks.
type note struct {
	Type uint8            `cbor:"1,keyasint"`
	Text string           `cbor:"2,keyasint,omitempty"`
	Rest map[uint8]string `cbor:"3,keyasint,omitempty"`
}

// moved is note with the meaning of two keys changed.
type moved struct {
	Type uint8            `cbor:"1,keyasint"`
	Text string           `cbor:"4,keyasint,omitempty"`
	Rest map[uint8]string `cbor:"3,keyasint,omitempty"`
}

func read[T any](b []byte) (any, error) {
	var v T
	if len(b) > 64 {
		return v, os.ErrInvalid
	}
	err := cbor.Unmarshal(b, &v)
	return v, err
}

func again(b []byte) ([]byte, error) {
	var v any
	if len(b) > 64 {
		return nil, os.ErrInvalid
	}
	if err := cbor.Unmarshal(b, &v); err != nil {
		return nil, err
	}
	return encode(v)
}

func encode(v any) ([]byte, error) {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, err
	}
	return mode.Marshal(v)
}

func made(t *testing.T, name string, n note) Case {
	b, err := encode(n)
	if err != nil {
		t.Fatal(err)
	}
	return Case{Name: name, Value: n, Bytes: b, Read: read[note], Again: again, Max: 64}
}

// Each way in which a later version may break with an earlier one is caught, and by the line that guards against it.
func TestWhatBreaksIsCaught(t *testing.T) {
	type version struct {
		cases   []Case
		numbers Numbers
	}
	for _, c := range []struct {
		name   string
		change func(v *version)
		caught string // "": all is well
	}{
		{"nothing", func(*version) {}, ""},
		{"a message type in no file", func(v *version) { v.cases = append(v.cases, made(t, "new", note{Type: 3})) }, "new is written today and is not there"},
		{"written otherwise", func(v *version) { v.cases[0] = made(t, "full", note{Type: 1, Text: "b"}) }, "full is written today"},
		{"a reader taken out", func(v *version) { v.cases = v.cases[1:] }, "nobody reads it any more"},
		{"a key moved", func(v *version) { v.cases[0].Read = read[moved] }, "read otherwise than it was meant"},
		{"refused", func(v *version) { v.cases[0].Read = func([]byte) (any, error) { return nil, os.ErrInvalid } }, "read otherwise than it was meant"},
		{"unknown keys refused", func(v *version) {
			v.cases[0].Read = func(b []byte) (any, error) {
				var n note
				mode, _ := cbor.DecOptions{ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
				err := mode.Unmarshal(b, &n)
				return n, err
			}
		}, "read otherwise with unknown fields"},
		{"unknown keys lost", func(v *version) {
			v.cases[0].Again = func(b []byte) ([]byte, error) {
				n, err := read[note](b)
				if err != nil {
					return nil, err
				}
				return encode(n)
			}
		}, "not passed on"},
		{"a panic at short bytes", func(v *version) {
			v.cases[0].Read = func(b []byte) (any, error) { _ = b[3]; return read[note](b) }
		}, "panic"},
		{"no bound on a text", func(v *version) {
			v.cases[0].Read = func(b []byte) (any, error) {
				n, err := read[note](b)
				if n := n.(note); err == nil && n.Text != "a" && n.Text != "" {
					return note{Text: strings.Repeat("x", 65)}, nil
				}
				return n, err
			}
		}, "65 long"},
		{"a list over its bound", func(v *version) { v.cases[0].Bounds = map[string]int{"Text": 8} }, "grown to 9"},
		{"a number given anew", func(v *version) { v.numbers["type typAsk"] = "2" }, "typAsk was 1 and is now"},
		{"a number taken out", func(v *version) { delete(v.numbers, "type typAsk") }, "typAsk was 1 and is now"},
		{"a number given twice", func(v *version) { v.numbers["type typNew"] = "1" }, "are both"},
		{"a number in no file", func(v *version) { v.numbers["type typNew"] = "3" }, "a number is spoken today"},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			v := version{[]Case{made(t, "full", note{1, "a", map[uint8]string{5: "x"}}), made(t, "bare", note{Type: 2})}, Numbers{"type typAsk": "1", "type typTell": "2"}}
			if added, err := Add(dir, v.cases, v.numbers); err != nil || filepath.Base(added) != "v1" {
				t.Fatal(added, err)
			}
			v.numbers = maps.Clone(v.numbers)
			c.change(&v)
			got := fmt.Sprint(Problems(dir, v.cases, v.numbers))
			if c.caught == "" && got != "[]" || !strings.Contains(got, c.caught) {
				t.Fatalf("got %s, want %q", got, c.caught)
			}
		})
	}
}

// A folder is added for what is new, none is ever changed, and nothing is added over a break.
func TestOnlyAdds(t *testing.T) {
	dir, numbers := t.TempDir(), Numbers{"type typAsk": "1"}
	add := func(cases []Case, want string) {
		t.Helper()
		before := map[string]string{}
		files, _ := filepath.Glob(filepath.Join(dir, "*", "*"))
		for _, f := range files {
			b, _ := os.ReadFile(f)
			before[f] = string(b)
		}
		added, err := Add(dir, cases, numbers)
		if got := fmt.Sprintf("%s %t", strings.TrimPrefix(added, dir), err != nil); got != want {
			t.Fatalf("got %s (%v), want %s", got, err, want)
		}
		for f, was := range before {
			if b, err := os.ReadFile(f); err != nil || string(b) != was {
				t.Fatalf("%s was changed: %v", f, err)
			}
		}
	}
	one, two := made(t, "one", note{Type: 1, Text: "a"}), made(t, "two", note{Type: 2})
	add([]Case{one}, "/v1 false")
	add([]Case{one}, " false")
	add([]Case{one, two}, "/v2 false")
	add([]Case{two}, " true") // the first one's reader is gone
	other := made(t, "one", note{Type: 9, Text: "b"})
	add([]Case{other, two}, "/v3 false")
	if ps := Problems(dir, []Case{other, two}, numbers); len(ps) > 0 {
		t.Fatal(ps)
	}
}

// A field or a spoken type that no case writes is found in the package's source.
func TestUnfilledIsFound(t *testing.T) {
	dir := t.TempDir()
	text := "package p\nimport \"other\"\ntype Kind uint8\nconst (\n First Kind = iota + 1\n Second\n)\nconst far = other.Far\ntype note struct { Type uint8 `cbor:\"1,keyasint\"` }\n" +
		"type letter struct { N int `cbor:\"1,keyasint\"` }\n"
	if err := os.WriteFile(filepath.Join(dir, "p.go"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	got := fmt.Sprint(unfilled(dir, []Case{made(t, "one", note{Type: 1, Text: "a"})}))
	if got != "[note.Rest is spoken, and no case fills it letter is spoken, and in no case]" {
		t.Fatal(got)
	}
	ns, _ := json.Marshal(Constants(dir, func(_, typ string) string { return strings.ToLower(typ) }))
	if string(ns) != `{"kind First":"1","kind Second":"2"}` {
		t.Fatal(string(ns))
	}
}
