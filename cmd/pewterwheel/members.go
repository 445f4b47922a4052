//go:build failpoints

package main

import (
	"os"

	"pewterwheel/internal/member"
	"pewterwheel/internal/sidecar"
)

// A build for tests is one file that can do all.
func init() {
	sidecar.Join = member.Join
	if code, ok := member.Special(os.Args[1:]); ok {
		os.Exit(code)
	}
}
