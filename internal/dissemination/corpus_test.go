package dissemination

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"pewterwheel/internal/corpus"
	"pewterwheel/internal/fleet"
)

// Each message of any version is read as it was meant; no type has another meaning.
func TestCorpus(t *testing.T) {
	numbers := corpus.Constants(".", func(name, kind string) string {
		if kind == "messageType" {
			return "type"
		}
		return ""
	})
	messages := corpusMessages()
	bounds := map[string]int{
		"Name":     fleet.MaxName,
		"Versions": maxListed,
		"Names":    MaxPassed,
		"Buckets":  fleet.DigestBuckets * bucketBytes,
	}
	var cases []corpus.Case
	for name, m := range messages {
		cases = append(cases, corpus.Case{
			Name:   "message-" + name,
			Value:  *m,
			Bytes:  m.encode(),
			Max:    fleet.MaxBody,
			Bounds: bounds,
			Read:   func(b []byte) (any, error) { return decodeRepair(b) },
		})
	}
	types, _ := numbers.Of("type")
	for _, name := range types {
		if _, there := messages[strings.ToLower(strings.TrimPrefix(name, "type"))]; !there {
			t.Errorf("no case of %s", name)
		}
	}
	if len(types) != 3 || fmt.Sprint(numbers["type typeAsk"]) != "1" {
		t.Errorf("spoken numbers: %v", numbers)
	}
	corpus.Check(t, cases, numbers)
}

// corpusMessages are what this version says, by name: each type, and the longest.
func corpusMessages() map[string]*repairMessage {
	var digests [fleet.DigestBuckets]uint32
	for i := range digests {
		digests[i] = uint32(i) * 0x01234567
	}
	longest := &repairMessage{Type: typeVersions, Covered: math.MaxUint64}
	for left := fleet.MaxBody - listFrame; ; {
		v := fleet.Version{Name: strings.Repeat("v", fleet.MaxName), Incarnation: maxNumber, Version: maxNumber}
		if left -= versionBytes(v); left < 0 {
			break
		}
		longest.add([]fleet.Version{v})
	}
	listed := []listedVersion{{"sidecar-1", 1_700_000_000_000_001, 7}, {"sidecar-2", 1, 1}}
	return map[string]*repairMessage{
		"ask":      {Type: typeAsk, Buckets: encodeBuckets(&digests)},
		"versions": {Type: typeVersions, Covered: 1<<63 | 5, Versions: listed},
		"empty":    {Type: typeVersions, Covered: 1},
		"longest":  longest,
		"want":     {Type: typeWant, Names: []string{"sidecar-1", "sidecar-7"}},
	}
}
