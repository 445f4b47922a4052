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
	picks      map[uint64]pooling.ConnectionKind
	silent     bool
}

var connKindNames = map[pooling.ConnectionKind]string{0: "none", pooling.OwnConnection: "own",
	pooling.ExclusiveConnection: "taken", pooling.AnyConnection: "any"}

var observationNames = map[pooling.EventKind]string{pooling.SetUpReceived: "came", pooling.IDReused: "again",
	pooling.EndReceived:   "end",
	pooling.SetUpAnswered: "answered", pooling.SetUpRefused: "failed", pooling.EndAcknowledged: "heard",
	pooling.EndUnacknowledged: "unheard",
	pooling.EndedByOffice:     "ended", pooling.CallOver: "over", pooling.ConnectionLost: "lost"}

func (l *fakeConnSelector) Open(_ int64, s pooling.SessionID, _, _ string) pooling.ClientID {
	l.callers = append(l.callers, l.nextCaller)
	return pooling.ClientID(s)
}

func (l *fakeConnSelector) Closed(int64, pooling.ClientID, pooling.SessionID) {}

func (l *fakeConnSelector) KeepOwn(_ int64, _ pooling.ClientID, s pooling.SessionID) bool {
	return l.modes[l.callers[s-1]] != "taken"
}

func (l *fakeConnSelector) Select(_ int64, call *pooling.Call, kind pooling.MessageKind) pooling.ConnectionKind {
	mode := l.modes[l.callers[call.Session-1]]
	if kind != pooling.SetUp {
		if kind == pooling.End && call.Connection == pooling.AnyConnection && mode == "any" {
			return pooling.AnyConnection
		}
		return pooling.SetUpConnection
	}
	call.Connection = pooling.OwnConnection
	switch {
	case call.Flags != 0: // it was refused on a connection that is not its own
	case mode == "taken":
		call.Connection = pooling.ExclusiveConnection
	case mode == "any":
		call.Connection = pooling.AnyConnection
	}
	if l.picks != nil {
		l.picks[call.ID] = call.Connection
	}
	return call.Connection
}

func (l *fakeConnSelector) Observe(_ int64, observation pooling.Observation) {
	if observation.Event == pooling.SetUpRefused && observation.Call.Connection != pooling.OwnConnection {
		observation.Call.Flags = 1
	}
	if l.silent {
		return
	}
	by := l.callers[observation.Call.Session-1]
	if observation.Session != 0 && observation.Session != observation.Call.Session {
		by += " by " + l.callers[observation.Session-1]
	}
	text := ""
	if observation.Cause != 0 {
		text = fmt.Sprintf(" %02x", observation.Cause)
	}
	if observation.Text != nil {
		text += fmt.Sprintf(" %q", observation.Text)
	}
	l.p.note(fmt.Sprintf("see %s %x of %s on %s%s", observationNames[observation.Event], observation.Call.ID, by,
		connKindNames[observation.Call.Connection], text))
}

func (l *fakeConnSelector) EndRound(int64) {}

func newPooledConnPlayer(t *testing.T, sockets int) *player {
	connSelector := &fakeConnSelector{modes: map[string]string{}, picks: map[uint64]pooling.ConnectionKind{}}
	p := newPlayerOf(t, Config{Sockets: sockets, Seed: 7, ConnSelector: connSelector})
	connSelector.p, p.connSelector = p, connSelector
	return p
}

// Recorded exchanges of calls on pooled connections: o1 is an office's main connection, o1.1 a pooled one. The
// word verdict sets the mode of a caller's further calls, and see is an observation reported to pooling.
func TestPooledConnExchanges(t *testing.T) {
	playFiles(t, "testdata/lanes/*.txt", func(t *testing.T) *player { return newPooledConnPlayer(t, 68) })
}
