package lease

import (
	"bytes"
	"strconv"
	"strings"
	"testing"

	"pewterwheel/internal/corpus"
	"pewterwheel/internal/fleet"
)

// Messages of every version keep their meaning, and no number of a type or reason is reused.
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
	parseNumber := func(s string) uint8 {
		n, err := strconv.ParseUint(s, 10, 8)
		if err != nil {
			t.Fatal(err)
		}
		return uint8(n)
	}
	bounds := map[string]int{"Thing": MaxName, "Holder": MaxName, "Value": MaxRecord, "Forgot": maxForgottenStates,
		"Held": maxHints}
	var cases []corpus.Case
	add := func(name string, b body) {
		cases = append(cases, corpus.Case{Name: name, Value: b, Bytes: encode(b), Max: fleet.MaxBody, Bounds: bounds,
			Read: func(b []byte) (any, error) { return decode(b) }})
	}
	full := body{Thing: "number/+351210000000", Roster: 3, Incarnation: 1_700_000_000_000_001, Fence: 77, Seq: 9,
		RecordFence: 76, Write: 4, Value: []byte{1, 2, 3},
		Holder: "sidecar-4", HolderIncarnation: 1_700_000_000_000_002, Released: true, Reason: Taken,
		RetryAfter: 1_500_000, BothMajoritiesFor: 2_000_000, ReadyRoster: 3, Generation: 2, HighestFence: 78,
		Forgot: []uint64{5, 6, 7}}
	names, types := numbers.Of("type")
	for i, name := range names {
		b := full
		b.Type = parseNumber(types[i])
		add("message-"+strings.ToLower(strings.TrimPrefix(name, "typ")), b)
	}
	names, reasons := numbers.Of("reason")
	for i, name := range names {
		add("refusal-"+strings.ToLower(name), body{Type: typRefuse, Thing: "change",
			Reason: Reason(parseNumber(reasons[i]))})
	}
	longest := full
	longest.Type, longest.Thing, longest.Holder = typKnown, strings.Repeat("t", MaxName), strings.Repeat("h", MaxName)
	longest.Value = bytes.Repeat([]byte{0xff}, MaxRecord)
	add("message-longest", longest)
	entry := entryPart{HighestFence: 99, Held: []heldLease{{"change", 7}, {"number/1", 99}}}
	cases = append(cases, corpus.Case{Name: "told", Value: entry, Bytes: encode(entry), Max: fleet.MaxBody,
		Bounds: bounds, Read: func(b []byte) (any, error) { return decodeEntryPart(b), nil }})
	corpus.Check(t, cases, numbers)
}
