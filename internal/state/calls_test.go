package state

import "testing"

// A call that was taken back is whole until the round has ended, and is handed out again only then, empty.
func TestCallsAreUsedAgainAfterTheRound(t *testing.T) {
	var l Calls
	c := l.Call()
	c.ID, c.SetUp.Description = 7, append(c.SetUp.Description, "offer"...)
	at := c.Try(nil, 5)
	c.Attempt = at
	l.Over(c)
	if next := l.Call(); next == c {
		t.Error("a call was handed out while its round went on")
	}
	if c.ID != 7 || c.Attempt != at || at.Since != 5 || string(c.SetUp.Description) != "offer" {
		t.Errorf("a call changed while its round went on: %+v", c)
	}
	l.Settle()
	next := l.Call()
	if next != c || next.ID != 0 || next.Attempt != nil || next.Sends != 0 || len(next.SetUp.Description) != 0 || cap(next.SetUp.Description) == 0 {
		t.Errorf("handed out again: %+v", next)
	}
	next.SetUp.Description = make([]byte, 2*maxRoom)
	l.Over(next)
	l.Settle()
	if kept := cap(l.Call().SetUp.Description); kept > maxRoom {
		t.Errorf("room for %d bytes is kept", kept)
	}
	for range 2 * maxSpare {
		l.Over(&Call{})
		l.Ended(&Standing{ID: 1})
	}
	l.Settle()
	if len(l.spare) != maxSpare || len(l.spareSt) != maxSpare {
		t.Errorf("%d calls and %d standing calls are kept", len(l.spare), len(l.spareSt))
	}
	if st := l.Standing(); st.ID != 0 {
		t.Errorf("handed out: %+v", st)
	}
}
