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
	target := Target{Change: 12, Settings: "/etc/{name}/12.ini", SettingsDigest: 0xfedcba9876543210,
		Program: "/opt/12/program", ProgramDigest: 42}
	longest := Target{Change: 1 << 40, Settings: strings.Repeat("s", MaxPath), SettingsDigest: 1 << 63,
		Program: strings.Repeat("p", MaxPath), ProgramDigest: 1 << 63}
	messages := map[string]message{
		"answer": {Change: 12, Fence: 7, Write: 3, State: Refusing, Detail: "the digest is another",
			RunningChange: 11},
		"changed": {Change: 12, Fence: 7, Write: 3, State: Changed, RunningChange: 12},
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
	names, values := numbers.Of("word")
	for i, verb := range values {
		if names[i] != "Thing" {
			messages["order-"+strings.Trim(verb, `"`)] = message{Order: true, Change: 12, Fence: 7, Write: 3,
				Verb: strings.Trim(verb, `"`), Target: target}
		}
	}
	var cases []corpus.Case
	for name, s := range messages {
		cases = append(cases, corpus.Case{Name: name, Value: s, Bytes: encode(s), Max: fleet.MaxBody,
			Read: func(b []byte) (any, error) {
				var s message
				err := decode(b, &s)
				return s, err
			}})
	}
	for name, r := range map[string]record{
		"record": {Target: target, Phase: running, Stage: Quarter, Ordered: 9, Wave: []uint32{1, 1 << 31},
			Fence: 7, Reason: "", HighestOver: 11},
		"record-halted": {Target: longest, Phase: halted, Stage: All, Ordered: 300, Fence: 8,
			Reason: strings.Repeat("r", maxReason), HighestOver: 12},
		"record-largest": {Target: longest, Phase: concluding, Stage: All, Wave: make([]uint32, MaxWave), Fence: 8,
			HighestOver: 12},
	} {
		cases = append(cases, corpus.Case{Name: name, Value: r, Bytes: r.encode(), Max: lease.MaxRecord,
			Bounds: map[string]int{"Wave": MaxWave}, Read: func(b []byte) (any, error) { return decodeRecord(b) }})
	}
	status := processStatus{Change: 12, State: Returning, Fence: 7, Write: 3, Detail: "it is slower", HighestOver: 11,
		CrashedChange: 12, Crashes: 2, RunningChange: 10,
		ConductedChange: 12, Phase: goingBack, Stage: Twentieth, Judging: true, HaltReason: "refused"}
	cases = append(cases, corpus.Case{Name: "told", Value: status, Bytes: encode(status), Max: fleet.MaxBody,
		Read: func(b []byte) (any, error) {
			var s processStatus
			err := decode(b, &s)
			return s, err
		}})
	for name, to := range map[string]Target{"target": target, "target-longest": longest} {
		cases = append(cases, corpus.Case{Name: name, Value: to, Bytes: to.Encode(), Max: fleet.MaxBody,
			Bounds: map[string]int{"Settings": MaxPath, "Program": MaxPath},
			Read:   func(b []byte) (any, error) { return DecodeTarget(b) }})
	}
	corpus.Check(t, cases, numbers)
}
