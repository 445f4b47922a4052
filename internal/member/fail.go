//go:build !failpoints

package member

import (
	"pewterwheel/internal/fleet"
	"pewterwheel/internal/keeper"
	"pewterwheel/internal/lease"
)

func (*together) failParts() []fleet.Module { return nil }

func leaseWithFailpoints(c lease.Config) lease.Config { return c }

func keeperWithFailpoints(c keeper.Config) keeper.Config { return c }

func unsafe(part float64) float64 { return part }
