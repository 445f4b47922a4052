// Command pewterwheel-member is pewterwheel for sidecars that speak with each other: it takes the same command line, and
// "pewterwheel sidecar --member NAME" becomes it. It is a program file of its own so that the platform's process, which has
// no part in this, does not hold the libraries for it.
package main

import (
	"os"

	"pewterwheel/internal/cli"
	"pewterwheel/internal/member"
	"pewterwheel/internal/sidecar"
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == member.GuardWord {
		os.Exit(member.Guard(os.Args[2:]))
	}
	sidecar.Join = member.Join
	cli.Main()
}
