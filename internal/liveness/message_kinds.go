package liveness

// MessageKind is the kind of a message from an office.
type MessageKind int

// Kinds of messages.
const (
	Report       MessageKind = iota // the state of its lines, unsolicited; also the first message on a new connection
	Confirmation                    // a release was received
	Progress                        // progress of a set-up, or the result of a test
	Answer                          // a call is established
	Refusal                         // a set-up is over
	End                             // an established call is over
	kinds
)

// proves is what a message of each kind proves beyond the fact that the process runs and can reach this one over the
// network. That calls end is proven only by an end, whatever else works.
var proves = [kinds]struct {
	service bool // call processing worked: a process that hangs cannot have written it
}{
	Report:       {service: false},
	Confirmation: {service: false},
	Progress:     {service: false},
	Answer:       {service: true},
	Refusal:      {service: true},
	End:          {service: true},
}
