// Package pooling decides which connections of a caller may share connections to offices. A caller's connection is a session,
// and its client is what it declares itself to be and where it comes from. Safe is what was observed to be so, and only for a
// while: signs are taken on the loop, joined over the processes, and weighed into a verdict for each client. It has no clock,
// goroutine or socket, and its only randomness is a seed's.
package pooling

// Mode is how a client's messages share connections to an office.
type Mode uint8

// The modes, the safest first: a higher one holds all that the lower ones allow.
const (
	BySession Mode = iota + 1 // a connection to each office for every caller's connection
	ByCall                    // one of the pool for the length of a call
	ByMessage                 // each message on any of the pool
)

// ClientID names a client in this process, for as long as one of its sessions is open. 0: not known, always BySession.
type ClientID uint32

// SessionID names a caller's connection in this process; it is never given anew.
type SessionID uint64

// Kind is what a message to an office does to its call.
type Kind uint8

// The kinds of message that go to an office.
const (
	SetUp  Kind = iota + 1 // an attempt of a call
	GiveUp                 // takes a set-up back that has no answer yet
	End                    // releases a call that stands
	Heard                  // says that the office's release was taken
)

// Lane is the connection to an office on which a message goes.
type Lane uint8

// The lanes. An office that has none of a lane's connections open has one opened; one that cannot be had is no reason to take
// another lane.
const (
	Own   Lane = iota + 1 // the session's own at that office; no other session's messages go there. It stays as long as the session
	Taken                 // one of the pool that no other call holds, for the length of this call
	Any                   // any of the pool; for what follows a set-up another than the set-up's, where there is one
	Held                  // the one that the call's set-up went on; never returned for a set-up
)

// Call is what the session code keeps of a call, from its set-up to its end, and hands over with each question and each
// observation. It is copied whole where the call moves (from the open call to the standing one).
type Call struct {
	ID      uint64
	Client  ClientID  // of the connection that brought the set-up
	Session SessionID // that connection
	Office  uint64    // where its newest set-up goes or went: any number that two offices never share
	Free    bool      // its class may be repeated freely
	Lane    Lane      // what Lane returned for its newest set-up, kept here by Lane itself; 0: none has gone out
	Memo    uint8     // pooling's own, as the next
	Refused uint64    // office that refused it on a shared lane; 0: none has
}

// Happening is what the session code saw.
type Happening uint8

// What the session code tells. The word in brackets says what goes with it.
const (
	CameSetUp  Happening = iota + 1 // a set-up was taken from the caller [text: its description]
	CameAgain                       // a set-up came under an id in use, or used within what is remembered [on]
	CameEnd                         // a release or a give-up came from the callers [on: the session that brought it]
	Answered                        // the office answered: the call stands [text: its description]
	Failed                          // the office refused the newest set-up [cause]; not for one that we took back
	EndHeard                        // the office has heard a release of ours
	EndUnheard                      // it has not, in time, while its connection stood; the release is then sent again, by Lane
	EndedThere                      // the office released a call that stood [cause]
	Over                            // the call has ended for its caller, or never stood; comes once, last but for EndHeard
	LaneLost                        // the connection that the newest set-up went on is lost; no sign of anything
)

// Observation is one happening with what goes with it. Text is only read before Observe returns.
type Observation struct {
	What  Happening
	Call  *Call
	On    SessionID // the session that brought the message; 0: as Call.Session
	Cause byte      // of the release
	Text  []byte
}

// Laner is what the session code asks. All of it is called on the loop; Lane and Observe neither allocate nor block. Only Open
// may allocate, once for each caller's connection. A nil Laner means that pooling is off: no call of it is made.
type Laner interface {
	// Open tells of a caller's connection: the application that it declares (the site file's name for it) and its source
	// address without the port. Each is cut to MaxName bytes.
	Open(now int64, s SessionID, application, source string) ClientID
	// Closed tells that it ended. Its own connections to offices may then be closed, once nothing is open on them.
	Closed(now int64, c ClientID, s SessionID)
	// Keep tells whether a session's own connections to offices must stay, though nothing is open on them. It is asked at a
	// sweep; no: they may be closed, for the client's verdict has long let its calls go elsewhere.
	Keep(now int64, c ClientID, s SessionID) bool
	// Lane tells on which connection a message of a call goes. For a set-up the answer is Own, Taken or Any, and is kept in
	// c.Lane by Lane itself; CameSetUp was observed before the first. For what follows it is Held, or Any for an End while
	// the set-up went on Any and the client's verdict still allows it: a call under way when a verdict falls stays on its
	// connection. A repeat of a set-up that was refused on a shared lane goes on Own.
	Lane(now int64, c *Call, k Kind) Lane
	// Observe tells what was seen of a call.
	Observe(now int64, o Observation)
	// Round is called at the end of each round of the loop: what was observed is handed on, as far as there is room.
	Round(now int64)
}

// MaxName bounds each half of a client's name, in bytes.
const MaxName = 64
