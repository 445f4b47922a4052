package state

import "testing"

// A returned call stays intact until the round has ended, and only then is it handed out again, empty.
func TestCallsAreReusedAfterTheRound(t *testing.T) {
	var l FreeList
	c := l.NewCall()
	c.ID, c.SetUp.Description = 7, append(c.SetUp.Description, "offer"...)
	at := c.NewAttempt(nil, 5)
	c.Attempt = at
	l.ReturnCall(c)
	if next := l.NewCall(); next == c {
		t.Error("a call was handed out before its round ended")
	}
	if c.ID != 7 || c.Attempt != at || at.Since != 5 || string(c.SetUp.Description) != "offer" {
		t.Errorf("a call changed before its round ended: %+v", c)
	}
	l.Recycle()
	next := l.NewCall()
	if next != c || next.ID != 0 || next.Attempt != nil || next.Attempts != 0 ||
		len(next.SetUp.Description) != 0 || cap(next.SetUp.Description) == 0 {
		t.Errorf("reused call: %+v", next)
	}
	next.SetUp.Description = make([]byte, 2*maxDescription)
	l.ReturnCall(next)
	l.Recycle()
	if kept := cap(l.NewCall().SetUp.Description); kept > maxDescription {
		t.Errorf("a capacity of %d bytes is kept", kept)
	}
	for range 2 * maxFree {
		l.ReturnCall(&Call{})
		l.ReturnEstablished(&EstablishedCall{ID: 1})
	}
	l.Recycle()
	if len(l.freeCalls) != maxFree || len(l.freeEstablished) != maxFree {
		t.Errorf("%d calls and %d established calls are kept", len(l.freeCalls), len(l.freeEstablished))
	}
	if st := l.NewEstablished(); st.ID != 0 {
		t.Errorf("got %+v, want an empty established call", st)
	}
}
