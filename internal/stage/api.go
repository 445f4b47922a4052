// Package stage changes the settings or the program of many processes in stages: one process, a twentieth, a
// quarter, all. It holds the plan of a change, its conductor, what each process does about it, and the judgement of
// old against new. It has no clock, goroutine, socket or file; times are microseconds of the process's own
// monotonic clock.
package stage

import (
	"github.com/fxamacker/cbor/v2"

	"pewterwheel/internal/fleet"
	"pewterwheel/internal/lease"
)

// Thing is the name of the lease whose holder conducts a change.
const Thing = "change"

// MaxPath bounds each path of a Target, in bytes: the record of a change carries both and has lease.MaxRecord bytes.
const MaxPath = 120

// Target is what a process goes by, or is to go by: a change names one. Paths are good on every process's machine.
type Target struct {
	Change         uint64 `cbor:"1,keyasint"`           // its number, from 1; every later change has a higher one
	Settings       string `cbor:"2,keyasint,omitempty"` // path of the settings file; MaxPath
	SettingsDigest uint64 `cbor:"3,keyasint,omitempty"` // digest that the file must have when it is read
	Program        string `cbor:"4,keyasint,omitempty"` // path of the program file; empty: only the settings change; MaxPath
	ProgramDigest  uint64 `cbor:"5,keyasint,omitempty"` // digest that the file must have when it is started
}

// Encode is the target as CBOR: the body of an act.
func (t Target) Encode() []byte {
	b, err := cbor.Marshal(t)
	if err != nil {
		panic(err) // a struct of numbers and strings can be written
	}
	return b
}

// DecodeTarget reads the body of an act, or what a predecessor handed on.
func DecodeTarget(b []byte) (Target, error) {
	var t Target
	if err := cbor.Unmarshal(b, &t); err != nil {
		return Target{}, err
	}
	if len(t.Settings) > MaxPath || len(t.Program) > MaxPath {
		return Target{}, &TargetError{Change: t.Change, Why: "path too long"}
	}
	return t, nil
}

// What an Act of this package asks for. Its Body is the Target, CBOR. One act is open at a time.
const (
	// Apply asks the process to go by the target: reload the settings, or with a Program start a successor of it that
	// takes over. Done(nil) comes once the process (or its successor) serves by it; Done(err) if it refuses, and then
	// it serves on as before. A successor starts a Part of its own, under the same name and a higher incarnation, with
	// Config.Running set to this target and Config.Concluded as it stood here.
	Apply = "apply"
	// Back asks the process to go by the target that it went by before the change, in the same way: that target's Program
	// is empty if what the installation's service file starts is meant.
	Back = "back"
	// Conclude asks to write down, in the file that names the concluded target, that this one is it from now on. What is
	// started later comes up by it. Nothing else changes. Done(err) is noted and asked for again.
	Conclude = "conclude"
)

// Config is what a Part needs to know. Zero durations and shares stand for the defaults given with them.
type Config struct {
	Name  string // of this process
	Zone  string
	Lease lease.Lessor
	// Running is what this process goes by. In a successor that a change started it differs from Concluded by its Change.
	Running Target
	// Concluded is what the file of the concluded target names, the zero Target if there is none: what the process
	// would come up by if it were started now, and what it goes back to.
	Concluded Target
	// Neighbours tells that two processes must not change at the same moment, as those of one machine. nil: those of
	// one zone that follow each other in the order in which they change.
	Neighbours func(a, b string) bool

	// Figures asks the other processes for their windows of figures; nil: they stand in the view unasked.
	Figures Subscriber

	Rules Rules

	failpoints failpoints
	oracle     func(stage int) bool // for the search: whether a stage does worse, in place of the figures
}

// Subscriber asks the other processes for their windows of figures, which then come to stand in the view.
type Subscriber interface {
	// Want says whether they are wanted. It may be said again and again.
	Want(now int64, wanted bool, out *fleet.Out)
	// Length is how long the windows are that were asked for, in microseconds.
	Length() int64
}

// New returns the part of one process. It does nothing until Start.
func New(c Config) *Part { return newPart(c) }

// Propose starts a change, in the process that was told of it by SIGHUP. It returns an error at once if the target
// is not one (*TargetError), if its number is that of a change that is over or lower (*NumberError), or if a change
// is known to run (*RunningError). nil means that this process asks for the conductor's lease now; what comes of it
// stands in the notes: "opened", or "refused" where the lease's record shows a change that runs, or nobody grants
// it in Rules.Ask.
func (p *Part) Propose(now int64, t Target, out *fleet.Out) error { return p.propose(now, t, out) }
