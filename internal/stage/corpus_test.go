package stage

import (
	"go/token"
	"strings"
	"testing"

	"pewterwheel/internal/corpus"
	"pewterwheel/internal/fleet"
	"pewterwheel/internal/lease"
)

// Checks that the messages, statuses and records of every version are decoded with their original meaning, and
// that the values of states, phases, stages and verbs do not change.
func TestCorpus(t *testing.T) {
	target := Target{Change: 12, Settings: "/etc/{name}/12.ini", SettingsDigest: 0xfedcba9876543210, Program: "/opt/12/program", ProgramDigest: 42}
	longest := Target{Change: 1 << 40, Settings: strings.Repeat("s", MaxPath), SettingsDigest: 1 << 63, Program: strings.Repeat("p", MaxPath), ProgramDigest: 1 << 63}
	speeches := map[string]speech{
		"answer":  {Change: 12, Fence: 7, Write: 3, State: Refusing, Why: "the digest is another", Life: 11},
		"changed": {Change: 12, Fence: 7, Write: 3, State: Changed, Life: 12},
	}
	numbers := corpus.Constants(".", func(name, typ string) string {
		switch {
		case typ == "State":
			return "state"
		case typ == "uint8":
			return "phase"
		case typ == "untyped string" && token.IsExported(name):
			return "word"
		case name == "One" || name == "Twentieth" || name == "Quarter" || name == "All":
			return "stage"
		}
		return ""
	})
	words, values := numbers.Of("word")
	for i, verb := range values {
		if words[i] != "Thing" {
			speeches["order-"+strings.Trim(verb, `"`)] = speech{Order: true, Change: 12, Fence: 7, Write: 3, Verb: strings.Trim(verb, `"`), Target: target}
		}
	}
	var cases []corpus.Case
	for name, s := range speeches {
		cases = append(cases, corpus.Case{Name: name, Value: s, Bytes: encode(s), Max: fleet.MaxBody, Read: func(b []byte) (any, error) {
			var s speech
			err := decode(b, &s)
			return s, err
		}})
	}
	for name, r := range map[string]record{
		"record":         {Target: target, Phase: running, Stage: Quarter, Told: 9, Wave: []uint32{1, 1 << 31}, Fence: 7, Reason: "", Over: 11},
		"record-halted":  {Target: longest, Phase: halted, Stage: All, Told: 300, Fence: 8, Reason: strings.Repeat("r", maxReason), Over: 12},
		"record-largest": {Target: longest, Phase: concluding, Stage: All, Wave: make([]uint32, MaxWave), Fence: 8, Over: 12},
	} {
		cases = append(cases, corpus.Case{Name: name, Value: r, Bytes: r.encode(), Max: lease.MaxRecord, Bounds: map[string]int{"Wave": MaxWave}, Read: func(b []byte) (any, error) { return readRecord(b) }})
	}
	said := told{Change: 12, State: Returning, Fence: 7, Write: 3, Why: "it is slower", Over: 11, Crashed: 12, Crashes: 2, Goes: 10,
		Conducts: 12, Phase: goingBack, Stage: Twentieth, Judging: true, Reason: "refused"}
	cases = append(cases, corpus.Case{Name: "told", Value: said, Bytes: encode(said), Max: fleet.MaxBody, Read: func(b []byte) (any, error) {
		var s told
		err := decode(b, &s)
		return s, err
	}})
	for name, to := range map[string]Target{"target": target, "target-longest": longest} {
		cases = append(cases, corpus.Case{Name: name, Value: to, Bytes: to.Encode(), Max: fleet.MaxBody, Bounds: map[string]int{"Settings": MaxPath, "Program": MaxPath}, Read: func(b []byte) (any, error) { return DecodeTarget(b) }})
	}
	corpus.Check(t, cases, numbers)
}
