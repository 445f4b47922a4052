package fleetnet

import (
	"sync"
	"time"

	"pewterwheel/internal/dissemination"
	"pewterwheel/internal/fleet"
)

const (
	// datagramHeader is what the Internet protocols add to a datagram.
	datagramHeader = 28
	// streamHeaders is what opening and closing a connection takes, beside the bytes that pass on it.
	streamHeaders = 7 * 40
	// userMessage and checksummed are memberlist's first bytes of a message of ours, and of one behind a checksum.
	userMessage, checksummed, checksumSize = 8, 12, 5
	// around is about what memberlist and the label add to a message of ours.
	around = 24
)

// account is the budget of this process, for all goroutines, by the time since it was made.
type account struct {
	mu      sync.Mutex
	budget  *dissemination.Budget
	started time.Time
}

func newAccount(cfg dissemination.BudgetConfig) *account {
	return &account{budget: dissemination.NewBudget(cfg), started: time.Now()}
}

func (a *account) allow(class dissemination.Class, bytes int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.budget.Allow(time.Since(a.started).Microseconds(), class, bytes)
}

func (a *account) spend(class dissemination.Class, direction dissemination.Direction, bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget.Spend(time.Since(a.started).Microseconds(), class, direction, bytes)
}

func (a *account) lift(lifted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget.Lift(lifted)
}

func (a *account) figures(put func(name string, n uint64, gauge bool)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget.Figures(put)
}

// classOf is the class of a module's messages: leases and ownership go before what can wait.
func classOf(kind fleet.Kind) dissemination.Class {
	switch kind {
	case fleet.Lease, fleet.Keeper:
		return dissemination.Membership
	case fleet.Figures:
		return dissemination.Figures
	}
	return dissemination.Settings
}

// isMessage tells whether a datagram of memberlist's, without its label, is one message of ours: those are charged by
// their class where they are sent and taken.
func isMessage(b []byte) bool {
	if len(b) > checksumSize && b[0] == checksummed {
		b = b[checksumSize:]
	}
	return len(b) > 0 && b[0] == userMessage
}
