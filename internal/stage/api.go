// Package stage changes the settings or the program of many processes in stages: one process, a twentieth of them,
// a quarter, all. It contains the plan of a change, the conductor that coordinates it, the steps that each process
// takes, and the statistical comparison of changed and unchanged processes.
//
// The conductor of a change is the process that holds the lease named Thing. It stores the progress of the change
// as the record of that lease, sends orders to the other processes, and halts the change if the changed processes
// do worse. A halted change is rolled back.
//
// The package uses no clock, goroutine, socket or file; times are microseconds of the monotonic clock of the
// process.
package stage

import (
	"github.com/fxamacker/cbor/v2"

	"pewterwheel/internal/fleet"
	"pewterwheel/internal/lease"
)

// Thing is the name of the lease whose holder conducts a change.
const Thing = "change"

// MaxPath is the maximum length of each path of a Target in bytes: the record of a change contains both paths and
// may have lease.MaxRecord bytes.
const MaxPath = 120

// Target is the configuration that a process runs with, or that a change asks it to run with. Its paths are valid
// on the machine of every process.
type Target struct {
	Change         uint64 `cbor:"1,keyasint"`           // number, from 1; every later change has a higher one
	Settings       string `cbor:"2,keyasint,omitempty"` // path of the settings file; at most MaxPath bytes
	SettingsDigest uint64 `cbor:"3,keyasint,omitempty"` // digest that the file must have when it is read
	Program        string `cbor:"4,keyasint,omitempty"` // path of the program file; empty: only the settings change
	ProgramDigest  uint64 `cbor:"5,keyasint,omitempty"` // digest that the file must have when it is started
}

// Encode returns the target as CBOR, the body of an act.
func (t Target) Encode() []byte {
	b, err := cbor.Marshal(t)
	if err != nil {
		panic(err) // a struct of numbers and strings can always be encoded
	}
	return b
}

// DecodeTarget decodes the body of an act or the target that a predecessor passed on.
func DecodeTarget(b []byte) (Target, error) {
	var t Target
	if err := cbor.Unmarshal(b, &t); err != nil {
		return Target{}, err
	}
	if len(t.Settings) > MaxPath || len(t.Program) > MaxPath {
		return Target{}, &TargetError{Change: t.Change, Reason: "path too long"}
	}
	return t, nil
}

// The acts of this package. The Body of each is the Target as CBOR. Only one act is open at a time.
const (
	// Apply asks the process to run with the target: to reload the settings, or, if Program differs, to start a
	// successor that takes over. Done(nil) follows once the process (or its successor) serves with the target.
	// Done(err) follows if it refuses; it then serves on as before. A successor creates a Module of its own under
	// the same name and a higher incarnation, with Config.Running set to this target and Config.Concluded
	// unchanged.
	Apply = "apply"
	// Back asks the process to return in the same way to the target that it ran with before the change. The
	// Program of that target is empty if it means the program that the service file of the installation starts.
	Back = "back"
	// Conclude asks to store the target in the file that names the concluded target. Processes started later run
	// with it. Nothing else changes. If Done(err) follows, the error is noted and the order is given again.
	Conclude = "conclude"
)

// Config configures a Module. Zero durations and fractions stand for their defaults.
type Config struct {
	Name  string // name of this process
	Zone  string
	Lease lease.Client
	// Running is the target that this process runs with. In a successor that was started by a change it differs
	// from Concluded in its Change.
	Running Target
	// Concluded is the target that the file of the concluded target names, the zero Target if there is none. The
	// process would use it if it were started now, and returns to it on a rollback.
	Concluded Target
	// Neighbours reports whether two processes must not change at the same time, for example because they run on
	// one machine. If it is nil, two processes of one zone are neighbours if one directly follows the other in the
	// order in which they change.
	Neighbours func(a, b string) bool

	// Figures requests windows of figures from the other processes. If it is nil, the windows are part of the view
	// without a request.
	Figures Subscriber

	Rules Rules

	failpoints failpoints
	oracle     func(stage int) bool // for tests: decides whether a stage does worse, instead of the figures
}

// Subscriber requests windows of figures from the other processes. The windows that arrive are part of the view.
type Subscriber interface {
	// Want says whether the windows are needed. Repeated calls with the same value are allowed.
	Want(now int64, wanted bool, out *fleet.Out)
	// Length returns the length of the requested windows in microseconds.
	Length() int64
}

// New returns the Module of one process. It does nothing until Start.
func New(c Config) *Module { return newPart(c) }

// Propose starts a change in the process that received it by SIGHUP. It returns an error at once if the target is
// invalid (*TargetError), if its number is not higher than that of every change that is over (*NumberError), or if
// a change is known to be running (*RunningError). If it returns nil, this process claims the lease of the
// conductor. The outcome is reported as a note: "opened", or "refused" if the record of the lease shows a running
// change or the lease is not granted within Rules.LeaseTimeout.
func (p *Module) Propose(now int64, t Target, out *fleet.Out) error { return p.propose(now, t, out) }
