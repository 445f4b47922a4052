//go:build failpoints

package member

import (
	"time"

	"pewterwheel/internal/agent"
	"pewterwheel/internal/failpoint"
	"pewterwheel/internal/fleet"
	"pewterwheel/internal/lease"
)

// failParts are parts that only tests have: one that notes who is seen, and one that claims and acts, on a lease of its own.
func (t *together) failParts() []fleet.Part {
	parts := []fleet.Part{agent.NewWatcher()}
	if failpoint.Value("claim") == "" {
		return parts
	}
	f := t.base.Fleet
	l := lease.New(doctored(lease.Config{Self: t.member.Name, Incarnation: uint64(time.Now().UnixMicro()), Roster: f.RosterNumber, Names: f.Roster,
		Lease: f.Lease, Drift: f.Drift, Floor: uint64(time.Now().UnixMilli()), Renewals: true}))
	return append(append(parts, l), agent.NewClaimer(l)...)
}

// doctored is a lease's configuration as failpoints want it.
func doctored(c lease.Config) lease.Config {
	if d, err := time.ParseDuration(failpoint.Value("lease-believed")); err == nil {
		c.Lease = d.Microseconds() // others believe in another one
	}
	if failpoint.On("lease-no-floor") {
		c.Floor = 0
	}
	return c
}
