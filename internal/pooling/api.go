// Package pooling decides which caller connections may share connections to offices. A caller's connection is a
// session; its client is identified by the application that it declares and its source address. Sharing is only
// considered safe for a client after it was observed to be safe, and only for a limited time. What the session code
// reports is counted on its loop by kind of observation (a Sign); the counts of all processes of the fleet are added
// up, and the Module evaluates them into a Verdict for each client: the mode that it may use. The package has no
// clock, goroutine or socket, and its only randomness comes from a seed.
package pooling

// Mode is how the messages of a client share connections to an office.
type Mode uint8

// The modes, safest first. A higher mode includes everything that the lower ones allow.
const (
	BySession Mode = iota + 1 // each caller connection has its own connection to each office
	ByCall                    // a call has a pooled connection to itself until it ends
	ByMessage                 // each message may use any pooled connection
)

// ClientID identifies a client in this process while at least one of its sessions is open. 0 means unknown: the
// client always uses the mode BySession.
type ClientID uint32

// SessionID identifies a caller's connection in this process. IDs are never reused.
type SessionID uint64

// MessageKind is the effect that a message to an office has on its call.
type MessageKind uint8

// The kinds of messages to an office.
const (
	SetUp      MessageKind = iota + 1 // an attempt of a call
	GiveUp                            // withdraws a set-up that has no answer yet
	End                               // releases an established call
	ReleaseAck                        // acknowledges the office's release
)

// ConnectionKind is the kind of connection to an office that carries a message.
type ConnectionKind uint8

// The kinds of connections. If no connection of the selected kind is open, one is opened. A connection that cannot be
// opened is no reason to use another kind.
const (
	// OwnConnection is the session's own connection to the office. It carries no other session's messages and stays
	// open as long as the session.
	OwnConnection       ConnectionKind = iota + 1
	ExclusiveConnection                // a pooled connection that no other call uses, for the length of this call
	// AnyConnection is any pooled connection. For a message after the set-up it is a different one than the set-up's, if
	// there is one.
	AnyConnection
	SetUpConnection // the connection that carried the call's set-up; never returned for a set-up
)

// Call is the state that the session code keeps for a call from its set-up to its end, and passes with each query and
// observation. It is copied as a whole when the call changes from open to established.
type Call struct {
	ID         uint64
	Client     ClientID       // of the connection on which the set-up arrived
	Session    SessionID      // the connection on which the set-up arrived
	Office     uint64         // office that its newest set-up goes or went to: any number that is unique per office
	Repeatable bool           // the call's class may be repeated freely; the calls of all others use OwnConnection
	Connection ConnectionKind // returned and stored here by Select for its newest set-up; 0: none was sent
	Flags      uint8          // used by this package only, like RefusedBy; the session code just keeps both
	RefusedBy  uint64         // office that refused the call on a shared connection; 0: none has
}

// EventKind is the kind of an observation.
type EventKind uint8

// The observations that the session code reports. Brackets name the Observation fields that are set.
const (
	SetUpReceived   EventKind = iota + 1 // a set-up was accepted from the caller [Text: its description]
	IDReused                             // a set-up arrived under a call id in use or still remembered [Session]
	EndReceived                          // a release or give-up arrived from a caller [Session: on which it arrived]
	SetUpAnswered                        // the office answered and the call is established [Text: its description]
	SetUpRefused                         // the office refused the newest set-up [Cause]; not for a withdrawn one
	EndAcknowledged                      // the office acknowledged a release sent by this process
	// EndUnacknowledged: no acknowledgement arrived in time while the connection was open. The release is then sent
	// again on the connection that a further call of Select selects.
	EndUnacknowledged
	EndedByOffice // the office released an established call [Cause]
	// CallOver: the call ended for its caller, or was never established. It is reported once, and only EndAcknowledged
	// may follow.
	CallOver
	ConnectionLost // the connection that carried the newest set-up was lost; not counted for or against sharing
)

// Observation is one reported event with its details. Text is only read before Observe returns.
type Observation struct {
	Event   EventKind
	Call    *Call
	Session SessionID // the session on which the message arrived; 0: the same as Call.Session
	Cause   byte      // cause of the release
	Text    []byte
}

// ConnectionSelector is the interface that the session code uses. All methods run on the session loop; Select and
// Observe neither allocate nor block. Only Open may allocate, once per caller connection. A nil ConnectionSelector
// means that pooling is off, and no method is called.
type ConnectionSelector interface {
	// Open registers a caller's connection with the application that it declares (named as in the site file) and its
	// source address without the port. Each is cut to MaxName bytes.
	Open(now int64, session SessionID, application, source string) ClientID
	// Closed reports that the connection ended. Its own connections to offices may be closed once nothing is open on
	// them.
	Closed(now int64, client ClientID, session SessionID)
	// KeepOwn reports whether a session's own connections to offices must stay open although nothing is open on them. It
	// is called by the periodic sweep. They may be closed once the client's verdict has allowed sharing for long
	// enough.
	KeepOwn(now int64, client ClientID, session SessionID) bool
	// Select selects the kind of connection for a message of a call. For a set-up it is OwnConnection,
	// ExclusiveConnection or AnyConnection, and Select also stores it in call.Connection; SetUpReceived must be
	// observed before the first one. For later messages it is SetUpConnection, or AnyConnection for an End if the
	// set-up went on AnyConnection and the client's verdict still allows it. If the client's mode is lowered during a
	// call, the messages after its set-up use the set-up's connection. If a set-up was refused on a shared connection
	// (ExclusiveConnection or AnyConnection), its repeat goes on OwnConnection.
	Select(now int64, call *Call, kind MessageKind) ConnectionKind
	// Observe reports an event of a call.
	Observe(now int64, observation Observation)
	// EndRound is called at the end of each round of the session loop. It hands the counts over to the Module, which
	// runs outside the loop, as far as the ring buffer between the two has room. The rest is kept for a later round.
	EndRound(now int64)
}

// MaxName bounds the application and the source address of a client, in bytes each.
const MaxName = 64
