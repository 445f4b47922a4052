// Package config reads, checks, joins, writes and compares the settings of sidecars, which are INI files: a site's, an
// application's declaration, and the written file of one sidecar that holds both. It turns them into one typed value.
// It opens no file itself: names and contents come in, findings and values go out.
package config

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/agnivade/levenshtein"
)

// Kind names a kind of finding. The operators' page lists all of them, and the corpus reaches all of them.
type Kind string

// Finding is one thing that is wrong, or doubtful.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"` // 0: the file as a whole
	Kind    Kind   `json:"kind"`
	What    string `json:"what"`
	Right   string `json:"right"`
	Warning bool   `json:"warning,omitempty"` // doubtful, and no reason to refuse the file
}

func (f Finding) String() string {
	mark := ""
	if f.Warning {
		mark = "warning: "
	}
	return fmt.Sprintf("%s:%d: %s%s; %s", f.File, f.Line, mark, f.What, f.Right)
}

// Findings is all that was found.
type Findings []Finding

func (fs *Findings) add(file string, line int, kind Kind, what, right string) {
	*fs = append(*fs, Finding{File: file, Line: line, Kind: kind, What: what, Right: right})
}

func (fs *Findings) warn(file string, line int, kind Kind, what, right string) {
	*fs = append(*fs, Finding{File: file, Line: line, Kind: kind, What: what, Right: right, Warning: true})
}

// Errors tells how many findings are no warnings.
func (fs Findings) Errors() int {
	n := 0
	for _, f := range fs {
		if !f.Warning {
			n++
		}
	}
	return n
}

// sorted orders findings by file and line and drops what is said twice.
func (fs Findings) sorted() Findings {
	slices.SortStableFunc(fs, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Kind, b.Kind),
			cmp.Compare(a.What, b.What))
	})
	return slices.Compact(fs)
}

// nearest returns the known name that a misspelt one is closest to, as advice.
func nearest(name string, known []string) string {
	best, at := "", len(name)/2+2
	for _, k := range known {
		if d := levenshtein.ComputeDistance(name, k); d < at {
			best, at = k, d
		}
	}
	if best == "" {
		return "known are " + join(known)
	}
	return "the nearest that is known is " + best
}

// join lists names for people.
func join(names []string) string {
	switch len(names) {
	case 0:
		return "none"
	case 1:
		return names[0]
	}
	text := names[0]
	for _, n := range names[1 : len(names)-1] {
		text += ", " + n
	}
	return text + " and " + names[len(names)-1]
}

func quote(text string) string {
	const most = 60
	if len(text) > most {
		text = text[:most] + "…"
	}
	return fmt.Sprintf("%q", text)
}
