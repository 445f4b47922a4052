package fleetnet

import (
	"bytes"
	"testing"

	"pewterwheel/internal/corpus"
	"pewterwheel/internal/fleet"
)

// The envelopes of any version are read as they were meant.
func TestCorpus(t *testing.T) {
	encode, decode := fleet.Coding()
	var cases []corpus.Case
	for name, e := range map[string]envelope{
		"envelope-message": {Kind: uint8(fleet.Keeper), From: "sidecar-1", To: "sidecar-2", Body: bytes.Repeat([]byte{0xa1}, fleet.MaxBody)},
		"envelope-entry":   {Entry: []byte{0xa1, 0x01, 0x61, 'a'}},
		"envelope-entries": {Entries: [][]byte{{0xa1, 0x01, 0x61, 'a'}, {0xa1, 0x01, 0x61, 'b'}}, Updates: [][]byte{{0xa1, 0x01, 0x61, 'c'}}},
	} {
		b, err := encode.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		cases = append(cases, corpus.Case{Name: name, Value: e, Bytes: b, Max: datagram, Read: func(b []byte) (any, error) {
			var e envelope
			err := decode.Unmarshal(b, &e)
			return e, err
		}})
	}
	corpus.Check(t, cases, nil)
}
