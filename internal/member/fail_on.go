//go:build failpoints

package member

import (
	"os"
	"syscall"
	"time"

	"pewterwheel/internal/agent"
	"pewterwheel/internal/failpoint"
	"pewterwheel/internal/fleet"
	"pewterwheel/internal/keeper"
	"pewterwheel/internal/lease"
)

// failParts are parts that only tests have: one that notes who is seen, and one that claims and acts, if it is told to.
// With the failpoint die=DURATION the process dies so long after its parts were made.
func (t *together) failParts() []fleet.Module {
	if d, err := time.ParseDuration(failpoint.Value("die")); err == nil {
		time.AfterFunc(d, func() { _ = syscall.Kill(os.Getpid(), syscall.SIGKILL) })
	}
	return append([]fleet.Module{agent.NewWatcher()}, agent.NewClaimer(t.lessor)...)
}

// leaseWithFailpoints is a lease's configuration as failpoints want it.
func leaseWithFailpoints(c lease.Config) lease.Config {
	if d, err := time.ParseDuration(failpoint.Value("lease-believed")); err == nil {
		c.Lease = d.Microseconds() // others believe in another one
	}
	if failpoint.On("lease-no-floor") {
		c.Floor = 0
	}
	return c
}

// keeperWithFailpoints is the same for the keepers of numbers.
func keeperWithFailpoints(c keeper.Config) keeper.Config {
	if failpoint.On("keeper-over") {
		return c.Overgranting()
	}
	return c
}

// unsafe is the part of unsafe clients that may be raised, as by pooling-unsafe=0.2: a verdict that loose comes within seconds.
func unsafe(part float64) float64 {
	if by, err := parseFactor(failpoint.Value("pooling-unsafe")); err == nil {
		return by
	}
	return part
}
