package aggregate

import (
	"math"
	"testing"

	"pewterwheel/internal/corpus"
	"pewterwheel/internal/fleet"
)

// What any version says of figures, and asks for, is read as it was meant.
func TestCorpus(t *testing.T) {
	sum := fleet.Window{Number: 7, Length: 22_000_000, CPU: 6_600_000, Memory: 42 << 20, Broken: 1}
	sum.Class = []fleet.ClassFigures{
		{Name: "query", Offered: 600, Served: 580, Refused: 12, Failed: 8, Late: 5, Worth: 577.5, Whole: 600,
			Waits: []uint32{0, 3, 500, 77}},
		{Name: "alarm", Offered: 30, Served: 30, Worth: 180, Whole: 180},
	}
	largest := largestWindow()
	largest.Number = math.MaxUint64
	pieces, _ := messages(math.MaxUint64, &largest)
	whole, _ := messages(1_700_000_000_000_001, &sum)
	bounds := map[string]int{"Class": fleet.MaxClasses, "Name": fleet.MaxName, "Waits": fleet.MaxBuckets}
	var cases []corpus.Case
	add := func(name string, b []byte) {
		var m message
		_, mode := fleet.Coding()
		if err := mode.Unmarshal(b, &m); err != nil {
			t.Fatal(err)
		}
		cases = append(cases, corpus.Case{Name: name, Value: m, Bytes: b, Max: fleet.MaxBody, Bounds: bounds,
			Read: func(b []byte) (any, error) { return decodeMessage(b) }})
	}
	add("window", whole[0])
	add("window-first-piece", pieces[0])
	add("window-last-piece", pieces[len(pieces)-1])
	s := subscription{Length: 37_000_000, Serial: 3}
	cases = append(cases, corpus.Case{Name: "subscription", Value: s, Bytes: encode(s), Max: fleet.MaxBody,
		Read: func(b []byte) (any, error) { return decodeSubscription(b) }})
	corpus.Check(t, cases, corpus.Numbers{})
}
