//go:build failpoints

// Package failpoint makes a program worse on purpose, for tests that start several processes of it. It is in builds with
// the tag failpoints alone.
package failpoint

import (
	"os"
	"strings"
)

// Enabled tells whether this build has failpoints at all.
const Enabled = true

// Variable of the environment that switches failpoints on: names, or NAME=VALUE, separated by commas.
const Variable = "PEWTERWHEEL_FAILPOINTS"

var points = func() map[string]string {
	m := map[string]string{}
	for _, p := range strings.Split(os.Getenv(Variable), ",") {
		if name, value, _ := strings.Cut(p, "="); name != "" {
			if value == "" {
				value = "1"
			}
			m[name] = value
		}
	}
	return m
}()

// On tells whether a failpoint is switched on.
func On(name string) bool { return points[name] != "" }

// Value is what a failpoint is set to; empty: it is off.
func Value(name string) string { return points[name] }
