package sidecar

import (
	"log/slog"
	"path/filepath"
	"testing"
	"time"

	"golang.org/x/tools/txtar"

	"pewterwheel/examples"
	"pewterwheel/internal/config"
	"pewterwheel/internal/demo"
	"pewterwheel/internal/session"
)

type nowhere struct{}

func (nowhere) Dial(string, uint64) {}
func (nowhere) StopAccepting()      {}

// Whatever a file holds, the checker ends, and says it in findings; and of what it accepts as a sidecar's file, the
// sidecar makes a session that starts.
func FuzzCheckedFileStarts(f *testing.F) {
	files, err := demo.Read(examples.Sidecar, "sidecar")
	if err != nil {
		f.Fatal(err)
	}
	written, found := config.Write(files[0], files[1:])
	if found.Errors() > 0 {
		f.Fatal(found)
	}
	for _, file := range append(files, written...) {
		f.Add(file.Text)
	}
	broken, err := filepath.Glob("../config/testdata/broken/*.txtar")
	if err != nil || len(broken) == 0 {
		f.Fatalf("no corpus: %v", err)
	}
	for _, path := range broken {
		a, err := txtar.ParseFile(path)
		if err != nil {
			f.Fatal(err)
		}
		for _, file := range a.Files {
			f.Add(file.Data)
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		begin := time.Now()
		result := config.Check([]config.File{{Name: "f.ini", Text: text}})
		if took := time.Since(begin); took > 10*time.Second && len(text) < 1<<16 { // for what never ends, on any machine
			t.Fatalf("%d bytes took %s", len(text), took)
		}
		for _, finding := range result.Findings {
			if finding.What == "" || finding.Right == "" || finding.Line < 0 {
				t.Fatalf("a finding says nothing: %+v", finding)
			}
		}
		if result.Findings.Errors() > 0 || result.Documents[0].Kind != config.SidecarFile {
			return
		}
		r := NewReader("f.ini", nil)
		r.read = func(string) ([]byte, error) { return text, nil }
		for range 2 { // the second is a reload
			cfg, err := r.Read()
			if err != nil {
				t.Fatalf("accepted, and then: %v", err)
			}
			s, err := cfg.Session()
			if err != nil {
				t.Fatalf("accepted, and then: %v", err)
			}
			if _, err := session.New(s, nowhere{}, slog.New(slog.DiscardHandler), 1); err != nil {
				t.Fatalf("accepted, and then: %v", err)
			}
		}
	})
}
