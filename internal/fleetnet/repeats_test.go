package fleetnet

import (
	"fmt"
	"testing"
)

// The copies that gossip brings are passed by, the last few thousand of them, and what comes by repair is not.
func TestRepeats(t *testing.T) {
	n := newMember(Config{Self: "a", Queue: 10 * maxRepeats})
	send := func(e envelope) {
		b, err := n.encode.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		n.NotifyMsg(b)
	}
	for range 3 {
		send(envelope{Entries: [][]byte{[]byte("entry")}, Updates: [][]byte{[]byte("update")}})
	}
	if len(n.events) != 2 || n.repeats.count() != 4 {
		t.Errorf("%d events, %d passed by", len(n.events), n.repeats.count())
	}
	send(envelope{To: "a", Entries: [][]byte{[]byte("entry")}})
	if len(n.events) != 3 {
		t.Error("what came by repair is passed by")
	}
	for i := range 2*maxRepeats + 1 {
		send(envelope{Updates: [][]byte{fmt.Appendf(nil, "update %d", i)}})
	}
	if kept := len(n.repeats.newer) + len(n.repeats.former); kept > 2*maxRepeats {
		t.Errorf("%d are kept", kept)
	}
	was := len(n.events)
	if send(envelope{Entries: [][]byte{[]byte("entry")}}); len(n.events) != was+1 {
		t.Error("what came long ago is passed by")
	}
	send(envelope{To: "b", Entries: [][]byte{[]byte("another")}})
	if n.counts.misled.Load() != 1 {
		t.Error("an entry for another was taken")
	}
}
