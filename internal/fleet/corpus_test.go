package fleet

import (
	"bytes"
	"fmt"
	"testing"

	"pewterwheel/internal/corpus"
)

// What any version wrote of an entry is read as it was meant, passed on whole, and no number has another meaning.
func TestCorpus(t *testing.T) {
	full := Entry{Name: "sidecar-7", Incarnation: 1_700_000_000_000_001, Version: 12, Program: "v1.9.0", Settings: 0xfedcba9876543210, Zone: "porto",
		State: Draining, Roster: 3, Protocol: ProtocolHeads, Parts: map[Kind][]byte{Lease: {0xa0}, Stage: {1, 2, 3}, Keeper: {9}, Pooling: bytes.Repeat([]byte{7}, 40)}}
	full.Windows = []Window{{Number: 4, Length: 1_000_000}, {Number: 5, Length: 1_000_000, CPU: 123_456, Memory: 1 << 25, Broken: 2, Class: []ClassFigures{
		{Name: "gold", Offered: 900, Served: 800, Refused: 60, Failed: 30, Late: 10, Worth: 1600.5, Whole: 1800.25, Waits: []uint32{0, 5, 70, 1 << 20}}, {Name: "tin", Offered: 1}}}}
	unknown := full
	unknown.rest = fields{11: {0x18, 0x2a}, 4096: {0x63, 'n', 'e', 'w'}}
	unknown.Windows = []Window{{Number: 5, Length: 1, rest: fields{7: {0x01}}, Class: []ClassFigures{{Name: "gold", rest: fields{10: {0x81, 0x02}}}}}}
	largest := full
	largest.Parts = map[Kind][]byte{}
	for k := Lease; k <= Pooling; k++ {
		largest.Parts[k] = bytes.Repeat([]byte{byte(k)}, MaxBody)
	}
	largest.Windows = nil
	for n := range MaxWindows {
		w := Window{Number: uint64(n + 1), Length: 1_000_000}
		for i := range MaxClasses {
			w.Class = append(w.Class, ClassFigures{Name: fmt.Sprintf("class-%02d", i), Offered: uint64(i), Waits: someWaits(i)})
		}
		largest.Windows = append(largest.Windows, w)
	}
	var cases []corpus.Case
	for name, e := range map[string]Entry{"entry": full, "entry-unknown": unknown, "entry-largest": largest, "entry-least": {Name: "a", Incarnation: 1, Version: 1, State: Starting}} {
		cases = append(cases, corpus.Case{Name: name, Value: e, Bytes: e.Encode(), Max: MaxEntry,
			Bounds: map[string]int{"Name": MaxName, "Zone": MaxName, "Program": MaxName, "Windows": MaxWindows, "Class": MaxClasses, "Waits": MaxBuckets, "Parts": MaxParts},
			Read:   func(b []byte) (any, error) { return DecodeEntry(b) },
			Again: func(b []byte) ([]byte, error) {
				e, err := DecodeEntry(b)
				if err != nil {
					return nil, err
				}
				return e.Encode(), nil
			}})
	}
	for name, u := range map[string]Update{
		"update":       {Name: "sidecar-7", Incarnation: 1_700_000_000_000_001, Base: 12, Version: 15, State: Serving, Settings: 0xfedcba9876543210, Roster: 3},
		"update-least": {Name: "a", Incarnation: 1, Base: 1, Version: 2, State: Starting},
	} {
		cases = append(cases, corpus.Case{Name: name, Value: u, Bytes: u.Encode(), Max: MaxUpdate, Bounds: map[string]int{"Name": MaxName},
			Read: func(b []byte) (any, error) { return DecodeUpdate(b) }})
	}
	corpus.Check(t, cases, corpus.Constants(".", func(_, typ string) string {
		return map[string]string{"Kind": "kind", "State": "state"}[typ]
	}))
}

func someWaits(i int) (waits []uint32) {
	for j := range MaxBuckets {
		waits = append(waits, uint32(i*j))
	}
	return waits
}
