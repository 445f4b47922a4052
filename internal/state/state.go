package state

import (
	"net/netip"
	"slices"

	"pewterwheel/decide"
	"pewterwheel/internal/delivery"
	"pewterwheel/internal/liveness"
	"pewterwheel/internal/wire"
)

// Conn is a connection as used by the session. Write queues data that cannot be sent at once; Close discards queued
// data.
type Conn interface {
	Write([]byte) (int, error)
	Close() error
	// Pending reports whether there is received data that the session has not processed, or written data that has not
	// been sent.
	Pending() bool
	// Unread reports whether data was received of which the session was not notified yet.
	Unread() bool
	// Unsent reports whether written data has not been sent.
	Unsent() bool
	// PeerClosed reports whether the peer has closed the connection, even if the session was not notified yet.
	PeerClosed() bool
	// MarkTrusted marks the peer as a trusted caller: if it sends too much, the connection is throttled instead of closed.
	MarkTrusted()
}

// Outbox collects the data that is written to a connection at the end of the round, in one write.
type Outbox struct {
	Bytes         []byte
	Attempts      []AttemptRef // attempts in it; a write that fails has written none of it
	AnsweredCalls []uint64     // calls whose answers are in it
	Dirty         bool         // it is among those written at the end of the round
}

// AttemptRef identifies an attempt. The call's ID may be in use by another call when the attempt is looked up.
type AttemptRef struct {
	Call   uint64
	Number int
}

// Clear empties the outbox; its buffers are kept up to a bound.
func (b *Outbox) Clear() {
	const maxCapacity = 64 << 10
	if b.Bytes = b.Bytes[:0]; cap(b.Bytes) > maxCapacity {
		b.Bytes = nil
	}
	b.Attempts, b.AnsweredCalls, b.Dirty = b.Attempts[:0], b.AnsweredCalls[:0], false
}

// Call is a call that was accepted and has no final answer yet, or whose attempt is still outstanding.
type Call struct {
	ID             uint64
	From           *Caller
	SetUp          wire.SetUp
	Deadline       int64 // the caller gives up at this time
	Answered       bool  // the caller has its final answer, or has disconnected
	Attempts       int   // number of attempts made
	Attempt        *Attempt
	currentAttempt Attempt // storage that Attempt points to
}

// NewAttempt begins the call's next attempt. A call never has more than one.
func (c *Call) NewAttempt(on *OfficeConn, now int64) *Attempt {
	c.currentAttempt = Attempt{Call: c, Number: c.Attempts, OfficeConn: on, Since: now}
	c.Attempts++
	return &c.currentAttempt
}

// FreeList is a free list of calls and established calls. What was returned to it is handed out again only after
// Recycle, which is called when nobody refers to it any more. Guards against a call that changes while it is in use.
type FreeList struct {
	freeCalls, returnedCalls             []*Call
	freeEstablished, returnedEstablished []*EstablishedCall
	usedSinceTrim                        bool
}

// Bounds of the free list: the number of calls, and the buffer size for the description of each.
const maxFree, maxDescription = 512, 1 << 10

// NewCall returns a call, empty except for the capacity of its description.
func (l *FreeList) NewCall() *Call {
	l.usedSinceTrim = true
	if n := len(l.freeCalls); n > 0 {
		c := l.freeCalls[n-1]
		l.freeCalls = l.freeCalls[:n-1]
		return c
	}
	return &Call{}
}

// ReturnCall returns a call to the free list.
func (l *FreeList) ReturnCall(c *Call) { l.returnedCalls = append(l.returnedCalls, c) }

// NewEstablished returns an empty established call.
func (l *FreeList) NewEstablished() *EstablishedCall {
	if n := len(l.freeEstablished); n > 0 {
		st := l.freeEstablished[n-1]
		l.freeEstablished = l.freeEstablished[:n-1]
		return st
	}
	return &EstablishedCall{}
}

// ReturnEstablished returns an established call to the free list.
func (l *FreeList) ReturnEstablished(st *EstablishedCall) {
	l.returnedEstablished = append(l.returnedEstablished, st)
}

// Trim empties the free list if nothing was taken from it since the last Trim.
func (l *FreeList) Trim() {
	if !l.usedSinceTrim {
		l.freeCalls, l.freeEstablished = nil, nil
	}
	l.usedSinceTrim = false
}

// Recycle makes the returned calls available again.
func (l *FreeList) Recycle() {
	for i, c := range l.returnedCalls {
		description := c.SetUp.Description[:0]
		if *c = (Call{}); cap(description) <= maxDescription {
			c.SetUp.Description = description
		}
		if l.returnedCalls[i] = nil; len(l.freeCalls) < maxFree {
			l.freeCalls = append(l.freeCalls, c)
		}
	}
	for i, st := range l.returnedEstablished {
		*st = EstablishedCall{}
		if l.returnedEstablished[i] = nil; len(l.freeEstablished) < maxFree {
			l.freeEstablished = append(l.freeEstablished, st)
		}
	}
	l.returnedCalls, l.returnedEstablished = l.returnedCalls[:0], l.returnedEstablished[:0]
}

// Attempt is a set-up that is outstanding at an office, or waits for its connection.
type Attempt struct {
	Call       *Call
	Number     int
	OfficeConn *OfficeConn // the connection on which it was sent, or for which it waits
	Since      int64       // when it was sent, or queued
	Queued     bool        // it waits for a connection: nothing of it has reached the office
	Failed     bool        // it could not be written: nothing of it was sent
	NotAfter   int64       // it must not be sent from this time on; 0: no limit
	PartlySent bool        // not all data written with it had been sent at that time
	// An earlier attempt at the same office was cancelled, and its release was still pending when this one was
	// made.
	EarlierReleasePending bool
	EarlierRelease        PendingRelease // release of the earlier attempt
}

// EstablishedCall is an established call.
type EstablishedCall struct {
	ID         uint64
	OfficeConn *OfficeConn // the connection on which it was set up; it may have been closed
	From       *Caller
	Since      int64
	Class      int // index of the class in the settings
}

// Caller is a connection from callers.
type Caller struct {
	Conn             Conn
	Outbox           Outbox
	Since            int64            // when it was accepted
	Buffer           []byte           // incomplete message
	PartialSince     int64            // since when Buffer holds an incomplete message
	Open             map[uint64]*Call // set-ups without a final answer
	IdleSince        int64            // since when no set-up is open
	EstablishedCount int              // number of established calls that were set up on it
	LastSetUp        int64            // when its last set-up was received
	Replied          bool             // it was sent an answer, a refusal or the result of a test
	// Trusted: had an established call or acknowledged a release; abusive clients do neither
	Trusted      bool
	InvalidCount int                 // number of set-ups and releases that could not be interpreted
	Ended        EndedShare          // ids of ended calls that it has brought
	Delivery     delivery.Connection // releases sent on it, and still to be sent

	Session uint64 // number of the connection, never reused; 0: calls are not assigned to pooled connections
	Client  uint32 // identity of the client, as assigned by pooling
}

// ControlConn is a connection on the control address.
type ControlConn struct {
	Conn   Conn
	Since  int64
	Buffer []byte
}

// FinalAnswers counts the final answers given to a class's calls.
type FinalAnswers struct{ Completed, Rejected, Failed uint64 }

// PendingRelease is a pending release to an office: it was sent, or is to be sent, and is not acknowledged yet.
type PendingRelease struct {
	Cause      byte
	At         int64
	ConnNumber uint32 // number of the connection on which it was sent
	RepeatAt   int64  // when it is repeated to the office although it was acknowledged; 0: it is not
	// Unresponsive: it was sent because the office was assumed to be unable to end the call.
	Unresponsive bool
	SetUpSent    int64 // when its set-up was sent to an office, if the set-up was cancelled there; otherwise 0
}

// OfficeConn is an office connection, existing or planned, and what is open on it. An office has one main connection
// and may have pooled connections: each of these is owned by one caller, or shared by the calls of several callers,
// one call at a time.
type OfficeConn struct {
	To           *Office
	Number       uint32 // 0: the office's main connection; pooled connections have numbers that are never reused
	Conn         Conn
	Outbox       Outbox
	Received     liveness.Connection // what was received on it, and when
	DialID       uint64              // the current dial; 0: none
	Buffer       []byte
	ReceivedAny  bool                // something was received on it
	PartialSince int64               // since when Buffer holds an incomplete message
	Outstanding  map[uint64]*Attempt // attempts that were sent and have not ended
	Queue        []*Attempt          // attempts that wait for the connection

	// Only for pooled connections.
	Owner            *Caller // the caller that owns it; nil: it is shared
	HeldByCall       uint64  // the call that holds it if it is shared; 0: none does
	EstablishedCount int     // number of established calls that were set up on it
	IdleSince        int64   // since when nothing is open on it
}

// IsIdle reports whether a pooled connection has no open set-ups, waiting attempts or established calls.
func (c *OfficeConn) IsIdle() bool {
	return c.HeldByCall == 0 && c.EstablishedCount == 0 && len(c.Outstanding)+len(c.Queue) == 0
}

// IsUnused reports whether a pooled connection is unused: nothing is open on it, and its owner has disconnected or it
// is shared.
func (c *OfficeConn) IsUnused() bool { return c.IsIdle() && (c.Owner == nil || c.Owner.Conn == nil) }

// Office is a call server and the main connection to it.
type Office struct {
	wire.Office
	OfficeConn
	ConnectFailed   bool                        // the last connect was refused or not established
	Backoff         int64                       // next pause between dials
	NextDial        int64                       // no dial before this time
	Liveness        liveness.Office             // whether it can still end its calls
	Established     map[uint64]*EstablishedCall // calls established there
	PendingReleases map[uint64]PendingRelease   // pending releases to the office
	Contact         delivery.Contact            // when it could send the releases of a previous process's calls
	Collector       *OfficeConn                 // connection that only collects such releases; nil: none
	UnknownReleases int                         // number of releases of unknown calls it has sent since the last sweep
	ReportRound     uint64                      // number of the round in which it last reported
	ReportsInRound  int                         // number of reports in that round

	// The following fields are used only where calls are assigned to pooled connections.
	Serial      uint64                 // number by which pooling refers to the office
	Pooled      []*OfficeConn          // all of them, in the order in which they were requested
	CallerConns map[uint64]*OfficeConn // by session: those owned by callers that are connected or just disconnected
	FreeConns   []*OfficeConn          // those shared that no call holds; the last one released is last
	Overflow    *OfficeConn            // not a connection: attempts wait here if no further one is allowed
}

// OpenConn returns the open connection with a number, or the main connection if that one has ended.
func (o *Office) OpenConn(number uint32) *OfficeConn {
	if o.Collector != nil && o.Collector.Number == number && o.Collector.Conn != nil {
		return o.Collector
	}
	for _, pooled := range o.Pooled {
		if pooled.Number == number && pooled.Conn != nil {
			return pooled
		}
	}
	return &o.OfficeConn
}

// Offices is the list of offices.
type Offices struct {
	byID    map[decide.ServerID]*Office
	inOrder []*Office
}

// Get returns an office that the list has named, even if it was removed since.
func (l *Offices) Get(id decide.ServerID) *Office { return l.byID[id] }

// All returns the offices in the order in which they were first named.
func (l *Offices) All() []*Office { return l.inOrder }

// EndedOffice is an office, or one process of it, that has ended according to the list; its connection and calls end
// with it.
type EndedOffice struct {
	Office  *Office
	Removed bool // also at its old address; false: it was restarted at the same one
}

// EndReplaced returns a change of the list in which offices whose address another office has taken are removed. A new
// office may have the address of one that has gone, and the list may tell of it before it tells of that end. Whatever is
// sent to the address from then on goes to the new office.
func (l *Offices) EndReplaced(c wire.Change) wire.Change {
	latest := map[netip.AddrPort]wire.Office{}
	changed := map[decide.ServerID]bool{}
	for _, o := range c.Offices {
		changed[o.ID] = true
		noteAddress(latest, o)
	}
	stays := func(known *Office) bool { return !changed[known.ID] && !c.Whole }
	for _, known := range l.inOrder {
		if _, named := latest[known.Address]; named && stays(known) {
			noteAddress(latest, known.Office)
		}
	}
	c.Offices = slices.Clone(c.Offices)
	for i, o := range c.Offices {
		if o.Started < latest[o.Address].Started {
			c.Offices[i].State = decide.Removed
		}
	}
	for _, known := range l.inOrder {
		if stays(known) && known.State != decide.Removed && known.Started < latest[known.Address].Started {
			gone := known.Office
			gone.State = decide.Removed
			c.Offices = append(c.Offices, gone)
		}
	}
	return c
}

// noteAddress notes an office as the latest to start at its address, if it is.
func noteAddress(latest map[netip.AddrPort]wire.Office, o wire.Office) {
	if o.State != decide.Removed && o.Started >= latest[o.Address].Started {
		latest[o.Address] = o
	}
}

// Apply applies a change of the list and returns the offices that have ended by it, or have a new start or address.
func (l *Offices) Apply(c wire.Change) []EndedOffice {
	var ended []EndedOffice
	if l.byID == nil {
		l.byID = map[decide.ServerID]*Office{}
	}
	listed := map[decide.ServerID]bool{}
	for _, o := range c.Offices {
		listed[o.ID] = true
		known := l.byID[o.ID]
		if known == nil {
			known = &Office{Office: o, OfficeConn: OfficeConn{Outstanding: map[uint64]*Attempt{}},
				Established:     map[uint64]*EstablishedCall{},
				PendingReleases: map[uint64]PendingRelease{}}
			known.To = known
			l.byID[o.ID] = known
			l.inOrder = append(l.inOrder, known)
			continue
		}
		previous := known.Office
		known.Office = o
		switch {
		case o.State == decide.Removed && previous.State != decide.Removed:
			ended = append(ended, EndedOffice{known, true})
		case o.Address != previous.Address: // whatever answers at the old address is not this office
			ended = append(ended, EndedOffice{known, true})
		case o.Started > previous.Started:
			ended = append(ended, EndedOffice{known, false})
		}
	}
	if c.Whole {
		for _, o := range l.inOrder {
			if !listed[o.ID] && o.State != decide.Removed {
				o.State = decide.Removed
				ended = append(ended, EndedOffice{o, true})
			}
		}
	}
	return ended
}

// Prune drops removed offices of which no state is left, so that the list does not grow without bound.
func (l *Offices) Prune() {
	l.inOrder = slices.DeleteFunc(l.inOrder, func(o *Office) bool {
		empty := o.State == decide.Removed && o.Conn == nil && o.DialID == 0 && len(o.Outstanding) == 0 &&
			len(o.Queue) == 0 && len(o.Established) == 0 && len(o.Pooled) == 0 &&
			o.Collector == nil &&
			(o.Overflow == nil || len(o.Overflow.Queue) == 0)
		if empty {
			delete(l.byID, o.ID)
		}
		return empty
	})
}
