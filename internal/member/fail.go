//go:build !failpoints

package member

import "pewterwheel/internal/fleet"

func (*together) failParts() []fleet.Part { return nil }
