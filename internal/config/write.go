package config

import (
	"fmt"
	"path/filepath"
	"strings"
)

// FileName is the name of a written file, for an application of that name.
func FileName(application string) string { return application + ".sidecar.ini" }

// Write makes the file of each application's sidecar from the site's file and the declarations. Files come back by
// name, in the order of the declarations; with findings that are no warnings there are none. What is written has been
// read and checked again, so that a fault of the writer is found here and not at a start.
func Write(site File, apps []File) ([]File, Findings) {
	r := Check(append([]File{site}, apps...))
	if len(r.Documents) > 0 && r.Documents[0].Kind != SiteFile && r.Findings.Errors() == 0 {
		r.Findings.add(site.Name, 1, NoSite, fmt.Sprintf("this is a %s", r.Documents[0].Kind), "name the site file")
	}
	for i, d := range r.Documents {
		if i > 0 && d.Kind != Declaration && r.Findings.Errors() == 0 {
			r.Findings.add(d.File, 1, NoDeclaration, fmt.Sprintf("this is a %s", d.Kind), "name declarations alone")
		}
	}
	if r.Findings.Errors() > 0 {
		return nil, r.Findings
	}
	var out []File
	for _, d := range r.Documents[1:] {
		out = append(out, File{FileName(d.one("application").text("name")), writeOne(r.Documents[0], d)})
	}
	again := Check(out)
	for _, f := range again.Findings {
		if !f.Warning {
			r.Findings = append(r.Findings, f)
		}
	}
	if r.Findings.Errors() > 0 {
		return nil, r.Findings
	}
	return out, r.Findings
}

// NoDeclaration is a file that is no declaration where one is wanted.
const NoDeclaration Kind = "not-a-declaration"

// writeOne writes one sidecar's file: of the site what the application's classes can reach, the declaration, and what
// follows from both, each line with where it comes from.
func writeOne(site, app *Document) []byte {
	var b strings.Builder
	name := app.one("application").text("name")
	fmt.Fprintf(&b, "; Written by \"pewterwheel config write\" for the sidecar of %s.\n", name)
	fmt.Fprintf(&b, "; Change %s or %s and write it anew; see docs/SIDECAR.md.\n", filepath.Base(site.File), filepath.Base(app.File))
	for _, d := range []*Document{site, app} {
		shares := classShares(app)
		for _, s := range Sections {
			for i, block := range d.of(s.Kind) {
				if s.Kind == "pool" && !uses(app, block.Name) || s.Kind == "host" && !uses(app, block.text("pool")) {
					continue
				}
				fmt.Fprintf(&b, "\n[%s]\n", block.Title())
				for _, set := range s.Settings {
					v, ok := block.value(set.Key)
					line, given := block.lines[set.Key]
					switch {
					case given:
						fmt.Fprintf(&b, "%s = %s ; %s:%d\n", set.Key, v.Text, filepath.Base(d.File), line)
					case ok:
						fmt.Fprintf(&b, "%s = %s ; default\n", set.Key, v.Text)
					case s.Kind == "class" && set.Key == "share":
						fmt.Fprintf(&b, "%s = %s ; computed: by expected rate, of what no class has declared\n", set.Key, format(Part, max(set.Min, float64(int(shares[i]*1e5))/1e5)))
					}
				}
			}
		}
	}
	a := app.one("application")
	for _, p := range site.of("pool") {
		if !uses(app, p.Name) {
			continue
		}
		rate, open, _ := limitOf(p, a)
		n, _ := a.num("sidecars")
		whence := fmt.Sprintf("%s / %s sidecars", a.text("share"), format(Count, n))
		fmt.Fprintf(&b, "\n[limit %s]\n", p.Name)
		fmt.Fprintf(&b, "rate = %s ; computed: %s x %s\n", format(Rate, rate), p.text("rate"), whence)
		fmt.Fprintf(&b, "open = %s ; computed: %s x %s\n", format(Count, open), p.text("open"), whence)
	}
	return []byte(b.String())
}
