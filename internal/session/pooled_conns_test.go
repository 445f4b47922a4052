package session

import (
	"fmt"
	"testing"

	"pewterwheel/internal/pooling"
)

// fakeConnSelector assigns each caller's calls to the kind of connection that a test chooses, and records the
// observations reported to it.
type fakeConnSelector struct {
	p          *player
	nextCaller string            // the caller that connects next
	modes      map[string]string // by caller: own, taken or any
	callers    []string          // by session, from 1
	picks      map[uint64]pooling.Lane
	silent     bool
}

var connKindNames = map[pooling.Lane]string{0: "none", pooling.Own: "own", pooling.Taken: "taken", pooling.Any: "any"}

var observationNames = map[pooling.Happening]string{pooling.CameSetUp: "came", pooling.CameAgain: "again", pooling.CameEnd: "end",
	pooling.Answered: "answered", pooling.Failed: "failed", pooling.EndHeard: "heard", pooling.EndUnheard: "unheard",
	pooling.EndedThere: "ended", pooling.Over: "over", pooling.LaneLost: "lost"}

func (l *fakeConnSelector) Open(_ int64, s pooling.SessionID, _, _ string) pooling.ClientID {
	l.callers = append(l.callers, l.nextCaller)
	return pooling.ClientID(s)
}

func (l *fakeConnSelector) Closed(int64, pooling.ClientID, pooling.SessionID) {}

func (l *fakeConnSelector) Keep(_ int64, _ pooling.ClientID, s pooling.SessionID) bool {
	return l.modes[l.callers[s-1]] != "taken"
}

func (l *fakeConnSelector) Lane(_ int64, call *pooling.Call, kind pooling.Kind) pooling.Lane {
	mode := l.modes[l.callers[call.Session-1]]
	if kind != pooling.SetUp {
		if kind == pooling.End && call.Lane == pooling.Any && mode == "any" {
			return pooling.Any
		}
		return pooling.Held
	}
	call.Lane = pooling.Own
	switch {
	case call.Memo != 0: // it was refused on a connection that is not its own
	case mode == "taken":
		call.Lane = pooling.Taken
	case mode == "any":
		call.Lane = pooling.Any
	}
	if l.picks != nil {
		l.picks[call.ID] = call.Lane
	}
	return call.Lane
}

func (l *fakeConnSelector) Observe(_ int64, observation pooling.Observation) {
	if observation.What == pooling.Failed && observation.Call.Lane != pooling.Own {
		observation.Call.Memo = 1
	}
	if l.silent {
		return
	}
	by := l.callers[observation.Call.Session-1]
	if observation.On != 0 && observation.On != observation.Call.Session {
		by += " by " + l.callers[observation.On-1]
	}
	text := ""
	if observation.Cause != 0 {
		text = fmt.Sprintf(" %02x", observation.Cause)
	}
	if observation.Text != nil {
		text += fmt.Sprintf(" %q", observation.Text)
	}
	l.p.note(fmt.Sprintf("see %s %x of %s on %s%s", observationNames[observation.What], observation.Call.ID, by, connKindNames[observation.Call.Lane], text))
}

func (l *fakeConnSelector) Round(int64) {}

func newPooledConnPlayer(t *testing.T, sockets int) *player {
	connSelector := &fakeConnSelector{modes: map[string]string{}, picks: map[uint64]pooling.Lane{}}
	p := newPlayerOf(t, Config{Sockets: sockets, Seed: 7, Laner: connSelector})
	connSelector.p, p.connSelector = p, connSelector
	return p
}

// Recorded exchanges of calls on pooled connections: o1 is an office's main connection, o1.1 a pooled one. The
// word verdict sets the mode of a caller's further calls, and see is an observation reported to pooling.
func TestPooledConnExchanges(t *testing.T) {
	playFiles(t, "testdata/lanes/*.txt", func(t *testing.T) *player { return newPooledConnPlayer(t, 68) })
}
