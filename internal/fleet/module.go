// Package fleet is what the processes of one installation share: each one's own entry, the immutable view of all of them,
// and the interface by which every module that decides over several processes is driven. It has no clock, goroutine or
// socket; times are microseconds of a monotonic clock, and no two processes' clocks have anything to do with each other.
package fleet

// Kind tells which module a message, an act or a part of an entry belongs to. Numbers are spoken between versions: they
// are never given anew.
type Kind uint8

// The modules that work between processes.
const (
	Lease   Kind = 1
	Stage   Kind = 2
	Keeper  Kind = 3
	Pooling Kind = 4
	Figures Kind = 5 // windows of figures, and who asks for them (internal/aggregate)
	Repair  Kind = 6 // digests of what is known of the members (internal/dissemination)
)

// MaxBody bounds the body of a message and each part of an entry, in bytes. A message fits one datagram.
const MaxBody = 1024

// Message is what one process tells another. It may be lost, doubled, late and out of order.
type Message struct {
	Kind     Kind
	From, To string // names of processes
	Body     []byte // the module's own, CBOR; MaxBody at the most
}

// Act is something to be done in this process, away from the loop of calls. What came of it comes back by Module.Done.
type Act struct {
	Kind   Kind
	Number uint64 // the module's own, to know it again by
	What   string // a verb of the module's, as "reload"
	Body   []byte
}

// Note is a line of the history: something that the processes must agree on. The agent logs it with the machine's
// monotonic time, and checkers read it back.
type Note struct {
	Kind  Kind
	What  string // "granted", "permit", "stage", "verdict", ...
	Thing string
	Fence uint64
	Until int64 // for what ends by itself: when, by this process's clock; else 0
	N     int64
	Text  string
}

// Out takes what a part wants done. Slices are appended to; what is in it when a call returns is carried out in order.
type Out struct {
	Send  []Message
	Acts  []Act
	Notes []Note
	Parts map[Kind][]byte // new contents of the process's own entry; made by Tell
	Heard []HeardWindow   // figures of other processes, to stand in the next view
	Pass  []PassedEntry   // entries of the registry that one process is to be sent
}

// HeardWindow are figures that a process was sent by the one whose they are.
type HeardWindow struct {
	Name        string
	Incarnation uint64
	Window      Window
}

// PassedEntry asks for the newest entry of a member, as the registry has it, to be sent to one process.
type PassedEntry struct {
	To, Name string
}

// Tell puts a module's part of the process's own entry in place of what stood there; nil takes it out.
func (o *Out) Tell(k Kind, body []byte) {
	if o.Parts == nil {
		o.Parts = map[Kind][]byte{}
	}
	o.Parts[k] = body
}

// Module is a module's state machine in one process. All calls come from one goroutine, never the loop of calls, with
// times that do not run backwards. It starts knowing nothing: whatever it needs of an earlier life it learns from others.
type Module interface {
	Kind() Kind
	// Start comes once, first.
	Start(now int64, out *Out)
	// Message brings a message of the part's own kind.
	Message(now int64, m Message, out *Out)
	// View brings what is now known of the processes, this one included. The view is immutable.
	View(now int64, v *View, out *Out)
	// Done brings the end of an act of the part's own kind.
	Done(now int64, a Act, err error, out *Out)
	// Tick comes at or after the time that Next asked for.
	Tick(now int64, out *Out)
	// Next tells when Tick is due; math.MaxInt64: not at all.
	Next() int64
	// Figures gives counts that only grow, and gauges.
	Figures(put func(name string, n uint64, gauge bool))
}
