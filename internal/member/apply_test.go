package member

import (
	"bytes"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"

	"pewterwheel/internal/fleet"
	"pewterwheel/internal/sidecar"
	"pewterwheel/internal/stage"
)

// alone is a process whose service is only a reader of its file.
func alone(t *testing.T, path string) (*together, *sidecar.Reader) {
	t.Helper()
	r := sidecar.NewReader(path, nil)
	s, err := r.Settings()
	if err != nil {
		t.Fatal(err)
	}
	c, err := Join(r, s, "m0", slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	r.With(c)
	signals, read := make(chan os.Signal), make(chan struct{})
	forwarded := c.Forward(signals)
	go func() {
		defer close(read)
		for range forwarded { // each is a SIGHUP of apply's
			_, _ = r.Read()
		}
	}()
	t.Cleanup(func() {
		close(c.(*together).hup)
		<-read
		close(signals)
	})
	return c.(*together), r
}

// A change's settings are gone by, gone back from, kept over a restart once concluded, and left once an operator says so.
// What is wrong is refused with the reason, and then nothing has changed.
func TestApply(t *testing.T) {
	dir := t.TempDir()
	text := fleetSite(t, "127.0.0.1:9", 3, "")[0].Text
	own, next := filepath.Join(dir, "own.ini"), filepath.Join(dir, "next-m0.ini")
	changed := bytes.Replace(text, []byte("rate = 10/s"), []byte("rate = 9/s"), 1)
	for path, b := range map[string][]byte{own: text, next: changed, filepath.Join(dir, "bad.ini"): []byte("[site]\n"),
		filepath.Join(dir, "other.ini"): bytes.Replace(changed, []byte("name = m0"), []byte("name = m7"), 1)} {
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	p, r := alone(t, own)
	goes := func(p *together, r *sidecar.Reader, want []byte, where string) {
		t.Helper()
		if _, err := r.Read(); err != nil {
			t.Fatal(err)
		}
		if digest, applied := r.Going(); digest != xxhash.Sum64(want) || applied != where {
			t.Errorf("goes by %x from %q", digest, applied)
		}
	}
	goes(p, r, text, "")
	act := func(what string, to stage.Target) error {
		return p.do(fleet.Act{Kind: fleet.Stage, What: what, Body: to.Encode()})
	}
	to := stage.Target{Change: 1, Settings: filepath.Join(dir, "next-{member}.ini"), SettingsDigest: xxhash.Sum64(changed)}
	var refused *ApplyError
	for name, bad := range map[string]stage.Target{
		"another digest": {Change: 1, Settings: to.Settings, SettingsDigest: 5}, "no file": {Change: 1, Settings: "/none.ini"},
		"findings": {Change: 1, Settings: filepath.Join(dir, "bad.ini")}, "another application": {Change: 1, Settings: filepath.Join(dir, "other.ini")},
		"a program": {Change: 1, Program: "/bin/true"}} {
		if err := act(stage.Apply, bad); !errors.As(err, &refused) || refused.Advice() == "" {
			t.Errorf("%s gave %v", name, err)
		}
		goes(p, r, text, "")
	}
	if err := act(stage.Apply, to); err != nil {
		t.Fatal(err)
	}
	goes(p, r, changed, next)
	if err := act(stage.Back, stage.Target{}); err != nil {
		t.Fatal(err)
	}
	goes(p, r, text, "")
	if err := act(stage.Apply, to); err != nil {
		t.Fatal(err)
	}
	died, again := alone(t, own) // before it is concluded: the old version comes back
	goes(died, again, text, "")
	if err := act(stage.Conclude, to); err != nil {
		t.Fatal(err)
	}
	restarted, again := alone(t, own)
	goes(restarted, again, changed, next)
	if restarted.running != to || restarted.concluded != to {
		t.Errorf("after a restart it goes by %+v, %+v", restarted.running, restarted.concluded)
	}
	if err := os.Remove(own + ".concluded"); err != nil {
		t.Fatal(err)
	}
	goes(restarted, again, text, "")
	if err := os.WriteFile(own+".concluded", []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	spoilt, again := alone(t, own)
	goes(spoilt, again, text, "")
	left, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range left {
		if strings.Contains(f.Name(), ".concluded.") {
			t.Errorf("%s is left over", f.Name())
		}
	}
}
