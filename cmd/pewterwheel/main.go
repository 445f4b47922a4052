// Command pewterwheel is a session controller on real sockets, and the tool that writes and checks the configuration
// of those that run as sidecars.
package main

import "pewterwheel/internal/cli"

func main() { cli.Main() }
