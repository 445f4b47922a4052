package pooling

import (
	"testing"

	"pewterwheel/internal/corpus"
	"pewterwheel/internal/fleet"
)

// Payloads of any version must decode to what they meant when written, and no sign, mode or set of modes may change
// its meaning.
func TestCorpus(t *testing.T) {
	numbers := corpus.Constants(".", func(name, typ string) string {
		if name == "lastSign" { // an alias of the last sign
			return ""
		}
		return map[string]string{"Sign": "sign", "Mode": "mode", "Modes": "denied"}[typ]
	})
	var each Counts
	for _, s := range Signs {
		each[s.Sign] = 1000 + uint32(s.Sign)
	}
	denials := []denialRecord{{Key: 1 << 63, Epoch: 4, Modes: DenyCall, DeniedBy: TokenBound}, {Key: 2, Epoch: 1,
		Modes: DenyMessage, DeniedBy: IDClash}}
	most := &payload{Signs: KnownSigns, Incarnation: 1_700_000_000_000_001}
	for i := range maxPayloadDenials {
		most.Denials = append(most.Denials, denialRecord{Key: uint64(i) << 55, Epoch: 1 << 30, Modes: DenyCall,
			DeniedBy: Refuted})
	}
	var cases []corpus.Case
	for name, s := range map[string]*payload{
		"own":     {Signs: KnownSigns, Incarnation: 1_700_000_000_000_001, Digest: 0xfedcba9876543210},
		"denials": {Signs: KnownSigns, Incarnation: 5, Denials: denials},
		"acks":    {Signs: KnownSigns, Incarnation: 5, Acks: denials[:1]},
		"evidence": {Signs: KnownSigns, Incarnation: 5, Evidence: []evidenceRecord{{Key: 7, Epoch: 2,
			Modes:    DenyMessage,
			DeniedBy: IDClash, Opinion: ByCall, OpinionVersion: 900, Counts: each.toMap()}}},
		"most": most,
	} {
		cases = append(cases, corpus.Case{Name: "speech-" + name, Value: s, Bytes: s.encode(), Max: fleet.MaxBody,
			Bounds: map[string]int{"Denials": maxPayloadDenials, "Acks": maxPayloadDenials,
				"Evidence": maxPayloadRecords}, Read: func(b []byte) (any, error) {
				return decodePayload("sidecar-1", b)
			}})
	}
	corpus.Check(t, cases, numbers)
}
