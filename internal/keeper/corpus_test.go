package keeper

import (
	"strconv"
	"strings"
	"testing"

	"pewterwheel/internal/corpus"
	"pewterwheel/internal/fleet"
	"pewterwheel/internal/lease"
)

// TestCorpus checks that messages, records and entry parts of every version decode to the same values, and that no
// operation code has changed its meaning.
func TestCorpus(t *testing.T) {
	numbers := corpus.Constants(".", func(name, typ string) string {
		if strings.HasPrefix(name, "op") && typ == "untyped int" {
			return "item"
		}
		return ""
	})
	var cases []corpus.Case
	ops, values := numbers.Of("item")
	for i, op := range ops {
		n, err := strconv.ParseUint(values[i], 10, 8)
		if err != nil {
			t.Fatal(err)
		}
		it := item{Op: uint8(n), Key: "+351210000000", Fence: 7, N: 9, Life: 11, Hold: 12, Idle: 2, Calls: 8, Want: 40, Rate: 5000, Busy: 3, Began: 70,
			Ended: 60, Refused: 5, Permits: 14, Lasts: 2_000_000, Again: 300_000, Stay: 30_000_000, Share: 2500, Keeper: "sidecar-3"}
		var out fleet.Out
		letters("sidecar-1", "sidecar-2", []item{it, {Op: uint8(n), Key: "1"}}, &out)
		var l letter
		if err := decoding.Unmarshal(out.Send[0].Body, &l); err != nil {
			t.Fatal(err)
		}
		cases = append(cases, corpus.Case{Name: "letter-" + strings.ToLower(op[2:]), Value: struct {
			Letter letter
			Item   item
		}{l, it}, Bytes: out.Send[0].Body, Max: fleet.MaxBody, Bounds: map[string]int{"Key": maxKey, "Keeper": 64}, Read: func(b []byte) (any, error) {
			return readLetter(fleet.Message{Kind: fleet.Keeper, From: "sidecar-1", To: "sidecar-2", Body: b})
		}})
	}
	r := record{Lines: 40, Known: 38, Turn: 2500, Out: 30}
	r.hold([]holder{{nameHash("sidecar-1"), 10}, {nameHash("sidecar-2"), maxCeil}})
	most := record{Lines: 40, Known: 38, Turn: maxRate, Out: 30}
	most.hold(make([]holder, maxHolders))
	all := record{Lines: 1, Known: 1, Turn: 1}
	all.hold(make([]holder, maxHolders+1))
	for name, r := range map[string]record{"record": r, "record-largest": most, "record-all": all} {
		cases = append(cases, corpus.Case{Name: name, Value: r, Bytes: r.bytes(), Max: lease.MaxRecord, Read: func(b []byte) (any, error) {
			if len(b) > lease.MaxRecord {
				return nil, &RecordError{"1", "longer than the record of a lease may be"}
			}
			r, err := readRecord("1", b)
			type whom struct {
				Name uint32
				Most int64
			}
			var whose []whom
			for _, h := range r.holders() {
				whose = append(whose, whom{h.name, h.ceil})
			}
			return struct {
				Record  record
				Holders []whom
			}{r, whose}, err
		}})
	}
	s := said{Kept: []keptBy{{"+351210000000", 7, 2500}, {"1", 8, 0}}, Seen: []seenBy{{"2", 90_000}}}
	cases = append(cases, corpus.Case{Name: "said", Value: s, Bytes: s.bytes(), Max: fleet.MaxBody, Bounds: map[string]int{"Key": maxKey, "Keeper": 64}, Read: func(b []byte) (any, error) { return readSaid("sidecar-1", b) }})
	corpus.Check(t, cases, numbers)
}
