// Package decide makes the admission decisions of an access node in front of several shared call servers. A Node
// receives events with their times and returns actions; it owns no clock, no goroutine and no connection. All times are
// microseconds of the caller's clock, which never runs backwards.
//
// The decisions are made in decide.go; this file holds the exported types.
package decide

// CallID identifies a call within one node.
type CallID uint64

// ServerID identifies a call server. It contains nothing about the server's place, kind or age.
type ServerID string

// Effect says what repeating a call may do.
type Effect int

// Effects of a class.
const (
	Repeatable Effect = iota // may be repeated and refused without restriction
	Guarded                  // repeats are dropped within a group of servers, for a time
	SingleShot               // must not be sent again once it may have run
)

// Scope is the group of servers in which repeats of a Guarded call are dropped.
type Scope int

// Scopes of a Guarded class.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of calls.
type Class struct {
	Aim       int64   // a call set up within this time earns its full worth
	Deadline  int64   // the caller gives up after this time
	Worth     float64 // worth of an established call
	LateWorth float64 // part of the worth that is earned after the aim
	Effect    Effect
	Scope     Scope // for Guarded
	Window    int64 // for Guarded: how long repeats are dropped
	Pools     []int // places that may take the class; nil: all
}

// Tenant is one customer's quota of the service.
type Tenant struct {
	Quota float64 // calls a second within the quota, over all nodes; 0: no bound
}

// Rules are the parameters of the rules that every node must observe.
type Rules struct {
	AnswerSlack   int64   // how long after its deadline a final answer still counts
	DrainGrace    int64   // no sends later than this after the notice of a drain
	StartCapacity float64 // least part of its capacity that a server starts with
	ColdTime      int64   // a server is warm after this time
	FallMultiple  float64 // more work than this multiple of its present capacity ...
	FallTime      int64   // ... for this long pushes a cold server over
	AskWithin     int64   // longest time without a request for a list that must be requested
	GuardTime     int64   // guard time: after a time-out, reset or cancel no resend before this has passed
}

// Settings configures a node.
type Settings struct {
	Instances      int // number of nodes that share the servers, this one included
	Classes        []Class
	Tenants        []Tenant
	OverShareWorth float64 // part of the worth that is earned above a tenant's quota
	Rules          Rules
	ResendAfter    int64 // time after which the network repeats a waiting set-up; 0: never
	Quantum        int64 // the caller's shortest time between two steps
	MaxTries       int   // attempts allowed to a call; 0: no bound
	MayCancel      bool  // Cancel is allowed
	RetryAdvice    bool  // callers receive the Wait of Refuse
	MaxRetryAfter  int64 // longest wait that callers observe
	Subscribe      bool  // the list of servers must be requested
	HomePlace      int   // own place, to which nothing is sent; -1: none
}

// EventKind is the kind of an Event.
type EventKind int

// Kinds of events. The list after each names the fields that it uses.
const (
	NodeStarted    EventKind = iota + 1 // first event of a node
	ListUpdate                          // update of the list of servers: Form, Servers
	CallArrived                         // a call arrives: the fields Call to Transit
	SetUpCompleted                      // a set-up has completed, the call is established: Call, Server, Attempt, Elapsed
	AttemptEnded                        // an attempt has ended: Call, the fields Server to Load
	CallerLeft                          // the caller has left: Call
	TimerFired                          // a timer has expired: Token
	ServerReport                        // report on a server outside a call: Server, Elapsed, Outcome, Load
	CallEnded                           // an established call has ended: Call; only for deciders that ask, not for a Node
	TrialRequested                      // request a trial set-up to a silent server: Server
)

// Outcome is how an attempt ended.
type Outcome int

// Outcomes. Rejected, Unreachable and NotSent prove that the attempt never ran.
const (
	OK          Outcome = iota + 1 // the call ran to its end
	Failed                         // number busy, or a signalling failure
	Rejected                       // rejected by the server, or the server is full
	TimedOut                       // no answer in time
	Unreachable                    // no connection
	Cut                            // set-up or established call cut off
	Cancelled                      // cancelled by the node
	NotSent                        // not sent
)

// Form is how the entries of a ListUpdate event are to be applied.
type Form int

// Forms of a list.
const (
	ListDelta  Form = iota + 1 // only the changes
	ListFull                   // the whole list
	ListCached                 // the whole list as this node last had it; may be outdated
	ListFailed                 // the list could not be read; no entries
)

// State is a server's state on the list.
type State int

// States of a listed server.
const (
	Up State = iota
	Draining
	Removed
)

// Listed is one server's entry on the list.
type Listed struct {
	ID      ServerID
	Place   int // pool number
	Zone    int
	State   State
	Share   float64 // capacity relative to other servers
	Started int64   // clock time of its last start; 0: long ago
}

// Load is a server's load report; fields not reported are negative.
type Load struct {
	Wait           float64 // wait at its processor, in microseconds
	CanTake        float64 // new set-ups a second that it can take from all nodes
	Utilization    float64 // utilization of its processor, as a fraction
	QueuedMessages float64 // messages queued there
	HoldBack       float64 // fraction of new set-ups that it asks each sender to hold back
	FreeLines      float64 // its free lines
}

// NoLoad returns the report of a server that reports nothing.
func NoLoad() Load { return Load{-1, -1, -1, -1, -1, -1} }

// Event is one event; the fields in use depend on Kind.
type Event struct {
	Kind          EventKind
	Call          CallID
	Class         int
	Tenant        int
	Key           string
	Deadline      int64 // when the caller of this try gives up
	Destination   int   // place of first choice
	MarkedRepeat  bool  // marked as a repeat by the caller
	AgainAfterCut bool  // was cut off and is sent once more
	Transit       bool  // may only be sent to Destination; otherwise it is refused
	Server        ServerID
	Attempt       int
	Elapsed       int64
	Outcome       Outcome
	AnswerGiven   bool // the caller has its final answer
	ProcessorFull bool // the processor was full
	NumberBusy    bool // AttemptEnded: the called number was busy, and Key holds it
	Load          Load
	Token         uint64
	Form          Form
	Servers       []Listed
}

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of actions. The list after each names the fields that it uses.
const (
	Send          ActionKind = iota + 1 // start a set-up: Call, Server, SendBy
	Refuse                              // final answer, refused: Call, Wait
	Fail                                // final answer, failed after attempts: Call, Wait
	Cancel                              // stop waiting for an attempt: Call, Attempt
	StartTimer                          // send TimerFired after Wait: Token
	SubscribeList                       // request changes of the list from now on
	Log                                 // write a log line: Text
)

// Action is one requested action; the fields in use depend on Kind.
type Action struct {
	Kind    ActionKind
	Call    CallID
	Server  ServerID
	Attempt int
	Wait    int64
	Token   uint64
	Text    string
	SendBy  int64 // clock time by which the set-up must have been sent, nothing may be sent after it; 0: no bound
}
