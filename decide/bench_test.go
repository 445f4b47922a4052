package decide

import "testing"

// benchNode returns a node with one server, which has room only where held is 0, and holds the given number of calls.
func benchNode(b *testing.B, held int) *Node {
	b.Helper()
	n, err := New(testSettings(), 1)
	if err != nil {
		b.Fatal(err)
	}
	acts := n.Step(0, Event{Kind: NodeStarted}, nil)
	acts = n.Step(0, Event{Kind: ListUpdate, Form: ListCached, Servers: []Listed{upServer("a", 0)}}, acts)
	if held > 0 {
		n.serverByID["a"].backoff.until = 1 << 60
	}
	for i := range held {
		acts = n.Step(0, Event{Kind: CallArrived, Call: CallID(1<<40 + i), Deadline: 1 << 60}, acts[:0])
	}
	if len(n.held) != held {
		b.Fatalf("%d calls held, want %d", len(n.held), held)
	}
	return n
}

func benchEvent(b *testing.B, held int) {
	n := benchNode(b, held)
	var acts []Action
	e := Event{Kind: ServerReport, Server: "a", Outcome: OK, Load: NoLoad()}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		acts = n.Step(int64(i), e, acts[:0])
	}
}

// Cost of one event with no call held.
func BenchmarkEventNoneHeld(b *testing.B) { benchEvent(b, 0) }

// Cost of one event with a thousand calls held and no room; it must be about the same.
func BenchmarkEventThousandHeld(b *testing.B) { benchEvent(b, 1000) }
