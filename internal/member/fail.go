//go:build !failpoints

package member

import (
	"pewterwheel/internal/fleet"
	"pewterwheel/internal/keeper"
	"pewterwheel/internal/lease"
)

func (*together) failParts() []fleet.Module { return nil }

func doctored(c lease.Config) lease.Config { return c }

func doctoredKeeper(c keeper.Config) keeper.Config { return c }

func unsafe(part float64) float64 { return part }
