package member

import (
	"encoding/json"
	"testing"

	"pewterwheel/internal/corpus"
	"pewterwheel/internal/stage"
)

// What any version wrote down of a concluded change, and what it hands to a successor of another version, is read as it was meant.
func TestCorpus(t *testing.T) {
	target := stage.Target{Change: 12, Settings: "/etc/{name}/12.ini", SettingsDigest: 0xfedcba9876543210, Program: "/opt/12/program", ProgramDigest: 42}
	written := func(v any) []byte {
		b, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	last, heir := outcome{target, "/opt/12/program"}, succession{target, "/opt/program", true, true}
	corpus.Check(t, []corpus.Case{
		{Name: "concluded", Value: last, Bytes: append(written(last), '\n'), Read: func(b []byte) (any, error) {
			var v outcome
			err := json.Unmarshal(b, &v)
			return v, err
		}},
		{Name: "succession", Value: heir, Bytes: written(heir), Read: func(b []byte) (any, error) {
			var v succession
			err := json.Unmarshal(b, &v)
			return v, err
		}},
	}, nil)
}
