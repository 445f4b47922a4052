//go:build !failpoints

package sidecar

import "pewterwheel/internal/fleet"

func (*together) failParts() []fleet.Part { return nil }
