package state

import (
	"slices"

	"pewterwheel/decide"
	"pewterwheel/internal/wire"
)

// Conn is a connection as the session needs it; Write queues what cannot go at once.
type Conn interface {
	Write([]byte) (int, error)
	Close() error
}

// Call is a call that was taken and has no final answer yet, or whose attempt is still out.
type Call struct {
	ID       uint64
	From     *Caller
	SetUp    wire.SetUp
	Deadline int64 // the caller gives up then
	Answered bool  // the caller has its final answer, or is gone
	Sends    int   // attempts made
	Attempt  *Attempt
}

// Attempt is a set-up that is out to an office, or waits for its connection.
type Attempt struct {
	Call   *Call
	N      int
	Office *Office
	Since  int64 // when it was sent, or queued
	Queued bool  // waits for a connection: nothing of it has reached the office
	Failed bool  // could not be written: nothing of it has left
}

// Standing is a call that stands.
type Standing struct {
	ID     uint64
	Office *Office
	From   *Caller
	Since  int64
}

// Caller is a connection from callers.
type Caller struct {
	Conn   Conn
	Since  int64            // when it was taken in
	In     []byte           // part of a message
	Part   int64            // since when In holds part of a message
	Open   map[uint64]*Call // set-ups without a final answer
	Quiet  int64            // since when no set-up is open
	Stands int              // calls set up on it that stand
	Asked  int64            // when its last set-up came
	Told   bool             // it has had an answer, a refusal or a test's result
	Good   bool             // a call of it stood, or it has heard of the end of one: no bad client gets so far
	Odd    int              // set-ups and releases that nothing could be made of
	Unsure map[uint64]Ending
}

// Asker is a connection of the second address.
type Asker struct {
	Conn  Conn
	Since int64
	In    []byte
}

// Ends counts the final answers given to a class's calls.
type Ends struct{ Completed, Rejected, Failed uint64 }

// Ending is a release that was sent, or is to be sent, and that nobody has heard yet.
type Ending struct {
	Cause byte
	At    int64
	Sent  bool // to a caller of whom it is not known whether it is a usual one
}

// Office is a call server and our connection to it.
type Office struct {
	wire.Office
	Conn      Conn
	Opened    int64  // when the connection came up
	Unreached bool   // the last connect was refused or did not come up
	Heard     int64  // when anything last came on it
	Told      int64  // when the office last told its free lines on it; 0: not yet
	Dialling  uint64 // the dial that is under way; 0: none
	Backoff   int64  // next pause between dials
	NotUntil  int64  // no dial before this
	Lost      int64  // when the connection was lost with calls standing; 0: not
	In        []byte
	Partial   int64                // since when In holds part of a message
	Out       map[uint64]*Attempt  // attempts sent and not ended
	Queue     []*Attempt           // attempts that wait for the connection
	Standing  map[uint64]*Standing // calls that stand there
	Ended     map[uint64]Ending    // releases that the office has not been heard to take
}

// Offices is the list of offices.
type Offices struct {
	byID  map[decide.ServerID]*Office
	order []*Office
}

// Get returns an office that the list has named, even if it has gone.
func (l *Offices) Get(id decide.ServerID) *Office { return l.byID[id] }

// All returns the offices in the order in which they were first named.
func (l *Offices) All() []*Office { return l.order }

// Gone is one office, or one life of it, that the list says is over; its connection and calls go with it.
type Gone struct {
	Office  *Office
	Removed bool // also from its old address; false: it started anew where it was
}

// Apply takes a change of the list and tells which offices have ended by it, or have a new start or address.
func (l *Offices) Apply(c wire.Change) []Gone {
	var gone []Gone
	if l.byID == nil {
		l.byID = map[decide.ServerID]*Office{}
	}
	listed := map[decide.ServerID]bool{}
	for _, o := range c.Offices {
		listed[o.ID] = true
		old := l.byID[o.ID]
		if old == nil {
			old = &Office{Office: o, Out: map[uint64]*Attempt{}, Standing: map[uint64]*Standing{},
				Ended: map[uint64]Ending{}}
			l.byID[o.ID] = old
			l.order = append(l.order, old)
			continue
		}
		was := old.Office
		old.Office = o
		switch {
		case o.State == decide.Removed && was.State != decide.Removed:
			gone = append(gone, Gone{old, true})
		case o.Address != was.Address: // whatever answers at the old one is not this office
			gone = append(gone, Gone{old, true})
		case o.Started > was.Started:
			gone = append(gone, Gone{old, false})
		}
	}
	if c.Whole {
		for _, o := range l.order {
			if !listed[o.ID] && o.State != decide.Removed {
				o.State = decide.Removed
				gone = append(gone, Gone{o, true})
			}
		}
	}
	return gone
}

// Forget drops gone offices of which nothing is kept, so that the list does not grow for ever.
func (l *Offices) Forget() {
	l.order = slices.DeleteFunc(l.order, func(o *Office) bool {
		empty := o.State == decide.Removed && o.Conn == nil && o.Dialling == 0 && len(o.Out) == 0 &&
			len(o.Queue) == 0 && len(o.Standing) == 0
		if empty {
			delete(l.byID, o.ID)
		}
		return empty
	})
}
