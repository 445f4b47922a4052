package decide

import "testing"

// Nothing was sent during the backoff after silence, so for long it was unknown whether a silent server answered again.
func TestTrialSetUpToSilentServer(t *testing.T) {
	r := newRunner(t, testSettings(), upServer("a", 0), upServer("b", 1))
	r.settle(0, 1)
	serverA := r.node.serverByID["a"]
	stuck := r.requireOne(Send, r.arrive(1, 0, 0))
	for i := 0; !serverA.silent && i < 300; i++ {
		r.node.unitRate = 1e-6 // a set-up a second: the backoff takes seconds
		r.advance(10 * ms)
	}
	r.end(stuck, Cancelled, false)
	sentToA := func(from CallID) (sent int) {
		for i := range CallID(5) {
			for _, a := range append(r.arrive(from+i, 0, 0), r.advance(20*ms)...) {
				if a.Kind == Send && a.Server == "a" {
					sent++
				} else if a.Kind == Send {
					r.complete(a, 5*ms)
				}
			}
		}
		return sent
	}
	if n := sentToA(10); n != 0 {
		t.Fatalf("%d set-ups during the backoff, before a trial set-up is requested", n)
	}
	n := 0
	for _, a := range actionsOf(Send, r.step(Event{Kind: TrialRequested, Server: "a"})) { // a call that was held
		if a.Server == "a" {
			n++
		}
	}
	if n += sentToA(20); n != 1 {
		t.Errorf("%d set-ups to the silent server after a trial set-up was requested, want 1", n)
	}
	if !r.node.Avoids("a") {
		t.Error("Avoids is false for the silent server")
	}
	r.step(Event{Kind: TrialRequested, Server: "gone"})
	if acts := r.step(Event{Kind: TrialRequested, Server: "b"}); len(acts) != 0 {
		t.Errorf("actions %v for a trial set-up to a healthy server, want none", acts)
	}
}
