//go:build failpoints

package member

import "pewterwheel/internal/fleet"

// failParts are parts that only tests have.
func (t *together) failParts() []fleet.Part { return nil }
