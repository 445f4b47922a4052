package lease

import (
	"bytes"
	"strconv"
	"strings"
	"testing"

	"pewterwheel/internal/corpus"
	"pewterwheel/internal/fleet"
)

// Each message of any version is read as it was meant; no type and no reason has another meaning.
func TestCorpus(t *testing.T) {
	numbers := corpus.Constants(".", func(name, typ string) string {
		switch {
		case strings.HasPrefix(name, "typ"):
			return "type"
		case typ == "Reason":
			return "reason"
		}
		return ""
	})
	number := func(s string) uint8 {
		n, err := strconv.ParseUint(s, 10, 8)
		if err != nil {
			t.Fatal(err)
		}
		return uint8(n)
	}
	bounds := map[string]int{"Thing": MaxName, "Holder": MaxName, "Value": MaxRecord, "Forgot": maxForgot, "Held": maxHints}
	var cases []corpus.Case
	add := func(name string, b body) {
		cases = append(cases, corpus.Case{Name: name, Value: b, Bytes: encode(b), Max: fleet.MaxBody, Bounds: bounds, Read: func(b []byte) (any, error) { return decode(b) }})
	}
	full := body{Thing: "number/+351210000000", Roster: 3, Life: 1_700_000_000_000_001, Fence: 77, Seq: 9, RecFence: 76, Write: 4, Value: []byte{1, 2, 3},
		Holder: "sidecar-4", HolderLife: 1_700_000_000_000_002, Over: true, Reason: Taken, Left: 1_500_000, Young: 2_000_000, Ready: 3, Gen: 2, High: 78,
		Forgot: []uint64{5, 6, 7}}
	names, types := numbers.Of("type")
	for i, name := range names {
		b := full
		b.Type = number(types[i])
		add("message-"+strings.ToLower(strings.TrimPrefix(name, "typ")), b)
	}
	names, reasons := numbers.Of("reason")
	for i, name := range names {
		add("refusal-"+strings.ToLower(name), body{Type: typRefuse, Thing: "change", Reason: Reason(number(reasons[i]))})
	}
	longest := full
	longest.Type, longest.Thing, longest.Holder = typKnown, strings.Repeat("t", MaxName), strings.Repeat("h", MaxName)
	longest.Value = bytes.Repeat([]byte{0xff}, MaxRecord)
	add("message-longest", longest)
	said := told{High: 99, Held: []heldHint{{"change", 7}, {"number/1", 99}}}
	cases = append(cases, corpus.Case{Name: "told", Value: said, Bytes: encode(said), Max: fleet.MaxBody, Bounds: bounds, Read: func(b []byte) (any, error) { return readTold(b), nil }})
	corpus.Check(t, cases, numbers)
}
