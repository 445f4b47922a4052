//go:build !failpoints

// Package failpoint makes a program worse on purpose, for tests that start several processes of it. A release build has
// none of it: there Enabled is a constant that is false, and what stands behind it is not in the program.
package failpoint

// Enabled tells whether this build has failpoints at all.
const Enabled = false

// On tells whether a failpoint is switched on.
func On(string) bool { return false }

// Value is what a failpoint is set to; empty: it is off.
func Value(string) string { return "" }
