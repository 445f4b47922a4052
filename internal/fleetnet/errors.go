package fleetnet

import (
	"fmt"
	"net/netip"

	"pewterwheel/internal/advice"
	"pewterwheel/internal/dissemination"
	"pewterwheel/internal/fleet"
)

// UnknownMemberError is a process of which nobody has said where it is reached.
type UnknownMemberError struct{ Name string }

func (e *UnknownMemberError) Error() string {
	return fmt.Sprintf("fleetnet: nobody has told where %s is reached", e.Name)
}

// Advice says what an operator can do.
func (e *UnknownMemberError) Advice() string {
	return "Give it a [member] section in the site file, write the sidecars' files anew and reload them."
}

// BindError is an address that could not be listened on.
type BindError struct {
	Address netip.AddrPort
	Err     error
}

func (e *BindError) Error() string {
	return fmt.Sprintf("fleetnet: cannot listen on %s: %v", e.Address, e.Err)
}
func (e *BindError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *BindError) Advice() string {
	return "See which process listens there (ss -lnptu); if it is this one's predecessor, wait for its end, else change bind or address of the member."
}

// SizeError is a message over fleet.MaxBody, or with a name over fleet.MaxName.
type SizeError struct{ Size int }

func (e *SizeError) Error() string {
	return fmt.Sprintf("fleetnet: a message of %d bytes; %d are the most", e.Size, fleet.MaxBody)
}

// Advice says what an operator can do.
func (e *SizeError) Advice() string {
	return "Report it: it is a fault of the program, no setting mends it."
}

// ConfigError is a configuration that the membership refuses.
type ConfigError struct{ Err error }

func (e *ConfigError) Error() string { return "fleetnet: " + e.Err.Error() }
func (e *ConfigError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *ConfigError) Advice() string {
	return "Check [fleet] and [member] of the site file with config check; the rest of the line says what was refused."
}

// BudgetError is a message that the budget of control traffic has no room for.
type BudgetError struct {
	Class dissemination.Class
	Size  int // bytes
}

func (e *BudgetError) Error() string {
	return fmt.Sprintf("fleetnet: no room in the budget for a message of %d bytes (%s)", e.Size, e.Class)
}

// BudgetAdvice is what an operator can do where control traffic is over its budget.
const BudgetAdvice = "Nothing is lost if it passes: it is sent again. If it goes on, see in STATS which fleet_budget_ counter grows, and raise control-bytes in [fleet]."

// Advice says what an operator can do.
func (e *BudgetError) Advice() string { return BudgetAdvice }

// Errors are all errors of this package, for the operators' page.
var Errors = []advice.Advised{&UnknownMemberError{}, &BindError{}, &SizeError{}, &ConfigError{}, &BudgetError{}}
