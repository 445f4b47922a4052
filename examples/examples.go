// Package examples holds the example configurations, so that the demo finds them wherever the program is started.
package examples

import "embed"

// Sidecar is a site's file and two applications' declarations.
//
//go:embed sidecar/*.ini
var Sidecar embed.FS
