package session

import (
	"fmt"
	"testing"

	"pewterwheel/internal/pooling"
)

// fakeLaner gives each caller's calls the lane that a test says, and keeps what it is told.
type fakeLaner struct {
	p       *player
	opens   string            // the caller that connects next
	modes   map[string]string // by caller: own, taken or any
	callers []string          // by session, from 1
	picks   map[uint64]pooling.Lane
	mute    bool
}

var laneNames = map[pooling.Lane]string{0: "none", pooling.Own: "own", pooling.Taken: "taken", pooling.Any: "any"}

var happenings = map[pooling.Happening]string{pooling.CameSetUp: "came", pooling.CameAgain: "again", pooling.CameEnd: "end",
	pooling.Answered: "answered", pooling.Failed: "failed", pooling.EndHeard: "heard", pooling.EndUnheard: "unheard",
	pooling.EndedThere: "ended", pooling.Over: "over", pooling.LaneLost: "lost"}

func (l *fakeLaner) Open(_ int64, s pooling.SessionID, _, _ string) pooling.ClientID {
	l.callers = append(l.callers, l.opens)
	return pooling.ClientID(s)
}

func (l *fakeLaner) Closed(int64, pooling.ClientID, pooling.SessionID) {}

func (l *fakeLaner) Keep(_ int64, _ pooling.ClientID, s pooling.SessionID) bool {
	return l.modes[l.callers[s-1]] != "taken"
}

func (l *fakeLaner) Lane(_ int64, c *pooling.Call, k pooling.Kind) pooling.Lane {
	mode := l.modes[l.callers[c.Session-1]]
	if k != pooling.SetUp {
		if k == pooling.End && c.Lane == pooling.Any && mode == "any" {
			return pooling.Any
		}
		return pooling.Held
	}
	c.Lane = pooling.Own
	switch {
	case c.Memo != 0: // refused on a shared lane
	case mode == "taken":
		c.Lane = pooling.Taken
	case mode == "any":
		c.Lane = pooling.Any
	}
	if l.picks != nil {
		l.picks[c.ID] = c.Lane
	}
	return c.Lane
}

func (l *fakeLaner) Observe(_ int64, o pooling.Observation) {
	if o.What == pooling.Failed && o.Call.Lane != pooling.Own {
		o.Call.Memo = 1
	}
	if l.mute {
		return
	}
	by := l.callers[o.Call.Session-1]
	if o.On != 0 && o.On != o.Call.Session {
		by += " by " + l.callers[o.On-1]
	}
	text := ""
	if o.Cause != 0 {
		text = fmt.Sprintf(" %02x", o.Cause)
	}
	if o.Text != nil {
		text += fmt.Sprintf(" %q", o.Text)
	}
	l.p.note(fmt.Sprintf("see %s %x of %s on %s%s", happenings[o.What], o.Call.ID, by, laneNames[o.Call.Lane], text))
}

func (l *fakeLaner) Round(int64) {}

func newLanePlayer(t *testing.T, sockets int) *player {
	l := &fakeLaner{modes: map[string]string{}, picks: map[uint64]pooling.Lane{}}
	p := newPlayerOf(t, Config{Sockets: sockets, Seed: 7, Laner: l})
	l.p, p.laner = p, l
	return p
}

// Recorded exchanges in which calls are given lanes: o1 is an office's main connection, o1.1 a lane; verdict says how a
// caller's calls go from then on, and see is what pooling was told.
func TestLaneExchanges(t *testing.T) {
	playFiles(t, "testdata/lanes/*.txt", func(t *testing.T) *player { return newLanePlayer(t, 68) })
}
