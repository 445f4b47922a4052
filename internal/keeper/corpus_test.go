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
		full := operation{Op: uint8(n), Key: "+351210000000", Fence: 7, ReportNumber: 9, Incarnation: 11, Held: 12,
			Unused: 2, Calls: 8, Wanted: 40, Rate: 5000, Busy: 3, Began: 70, Ended: 60, Refused: 5, Permits: 14,
			Lifetime: 2_000_000, RetryAfter: 300_000, CallerRetryAfter: 30_000_000, TurnoverShare: 2500,
			Owner: "sidecar-3"}
		var out fleet.Out
		appendMessages("sidecar-1", "sidecar-2", []operation{full, {Op: uint8(n), Key: "1"}}, &out)
		var body messageBody
		if err := decoding.Unmarshal(out.Send[0].Body, &body); err != nil {
			t.Fatal(err)
		}
		cases = append(cases, corpus.Case{Name: "letter-" + strings.ToLower(op[2:]), Value: struct {
			Body      messageBody
			Operation operation
		}{body, full}, Bytes: out.Send[0].Body, Max: fleet.MaxBody,
			Bounds: map[string]int{"Key": maxKeyLength, "Owner": 64},
			Read: func(b []byte) (any, error) {
				return decodeOperations(fleet.Message{Kind: fleet.Keeper, From: "sidecar-1", To: "sidecar-2", Body: b})
			}})
	}
	r := record{Lines: 40, Known: 38, Turnover: 2500, Outstanding: 30}
	r.setHolders([]holder{{nameHash("sidecar-1"), 10}, {nameHash("sidecar-2"), maxHolderLines}})
	largest := record{Lines: 40, Known: 38, Turnover: maxRate, Outstanding: 30}
	largest.setHolders(make([]holder, maxHolders))
	all := record{Lines: 1, Known: 1, Turnover: 1}
	all.setHolders(make([]holder, maxHolders+1))
	for name, r := range map[string]record{"record": r, "record-largest": largest, "record-all": all} {
		cases = append(cases, corpus.Case{Name: name, Value: r, Bytes: r.encode(), Max: lease.MaxRecord,
			Read: func(b []byte) (any, error) {
				if len(b) > lease.MaxRecord {
					return nil, &RecordError{"1", "longer than the record of a lease may be"}
				}
				r, err := decodeRecord("1", b)
				type namedHolder struct {
					Name uint32
					Most int64
				}
				var holders []namedHolder
				for _, h := range r.holders() {
					holders = append(holders, namedHolder{h.name, h.maxLines})
				}
				return struct {
					Record  record
					Holders []namedHolder
				}{r, holders}, err
			}})
	}
	part := entryPart{Owned: []ownedNumber{{"+351210000000", 7, 2500}, {"1", 8, 0}},
		Contended: []contendedNumber{{"2", 90_000}}}
	cases = append(cases, corpus.Case{Name: "said", Value: part, Bytes: part.encode(), Max: fleet.MaxBody,
		Bounds: map[string]int{"Key": maxKeyLength, "Owner": 64},
		Read:   func(b []byte) (any, error) { return decodeEntryPart("sidecar-1", b) }})
	corpus.Check(t, cases, numbers)
}
