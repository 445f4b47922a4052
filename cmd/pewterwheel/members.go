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
	if len(os.Args) > 1 && os.Args[1] == member.GuardWord {
		os.Exit(member.Guard(os.Args[2:]))
	}
}
