package delivery

import "testing"

// Guards against a client whose releases of unknown calls at full speed, on one connection after the other, fill the
// connections to offices and delay those of other clients.
func TestEarlierReleasesTakeTurns(t *testing.T) {
	var waiting EarlierReleases
	const offices, perConnection = 24, 256
	client, flood := &Connection{}, &Connection{}
	passedOn, ofClient, call := 0, 0, uint64(0)
	const clientCalls = 100
	for at := int64(0); at < 10*second; at += 10 * millisecond {
		for range 40 * perConnection {
			if call++; call%perConnection == 0 {
				waiting.Distrust(flood) // it sent too many, and comes again
				flood = &Connection{}
			}
			waiting.Add(flood, EarlierRelease{Call: 1<<40 + call})
		}
		if at == second {
			for n := range uint64(clientCalls) {
				if dropped, full := waiting.Add(client, EarlierRelease{Call: n}); full && dropped.Call < clientCalls {
					t.Fatalf("the client's release %d was dropped", dropped.Call)
				}
			}
		}
		taken := waiting.Take(offices, at)
		passedOn += len(taken)
		for _, release := range taken {
			if release.Call < clientCalls {
				ofClient++
			}
		}
		if ofClient == clientCalls && at > 6*second {
			break
		}
		if queues := len(waiting.turns) + len(waiting.distrusted); waiting.Waiting() > maxEarlierWaiting || len(waiting.of) != queues {
			t.Fatalf("%d releases wait in %d queues, %d by connection", waiting.Waiting(), queues, len(waiting.of))
		}
		if most := maxEarlierPerSecond * int(at/second+2); passedOn > most {
			t.Fatalf("%d releases were passed on within %d ms", passedOn, at/millisecond)
		}
	}
	if ofClient != clientCalls {
		t.Errorf("%d of %d releases of the client were passed on", ofClient, clientCalls)
	}
}

// Guards against releases that are held back although offices can take them, and against more than 510 offices can.
func TestEarlierReleasesPassAtOnceWhereTheyAreFew(t *testing.T) {
	for offices, most := range map[int]int{2: 1000, 510: 98} {
		var waiting EarlierReleases
		connection := &Connection{}
		for call := range uint64(2000) {
			waiting.Add(connection, EarlierRelease{Call: call})
		}
		if taken := waiting.Take(offices, 10*second); len(taken) != most || taken[0].Call != 0 {
			t.Errorf("%d of 2000 go to %d offices at once", len(taken), offices)
		}
	}
}
