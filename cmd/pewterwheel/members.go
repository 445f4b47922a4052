//go:build failpoints

package main

import (
	"pewterwheel/internal/member"
	"pewterwheel/internal/sidecar"
)

// A build for tests is one file that can do all.
func init() { sidecar.Join = member.Join }
