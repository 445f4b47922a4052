package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pewterwheel/internal/config"
	"pewterwheel/internal/recovery"
	"pewterwheel/internal/store"
)

const sources = "../../examples/sidecar/"

func run(args ...string) (int, string, string) {
	var out, errs bytes.Buffer
	code := Execute(args, &out, &errs)
	return code, out.String(), errs.String()
}

// edited copies an example with a change.
func edited(t *testing.T, dir, name, from, to string) string {
	t.Helper()
	text, err := os.ReadFile(sources + name)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), from) {
		t.Fatalf("%s has no %q", name, from)
	}
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(strings.Replace(string(text), from, to, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	bad := edited(t, dir, "tills.ini", "deadline = 6s", "deadline = 6")
	open := edited(t, dir, "kiosk.ini", "127.0.0.1:20011", "0.0.0.0:20011")
	site := sources + "site.ini"
	for _, c := range []struct {
		args []string
		code int
		said string
	}{
		{[]string{"config", "check", "--site", site, sources + "tills.ini", sources + "kiosk.ini"}, Sound, "3 files: 0 findings, 0 warnings"},
		{[]string{"config", "check", "--site", site, bad}, Found, bad + `:10: deadline is "6", without a unit`},
		{[]string{"config", "check", "--site", site, open}, Sound, "warning: listener is 0.0.0.0:20011"},
		{[]string{"config", "check", "--strict", "--site", site, open}, Found, "1 warnings"},
		{[]string{"config", "check", dir}, Unreadable, dir + ":0: could not be read: is a directory"},
		{[]string{"config", "check", dir + "/none.ini"}, Unreadable, "no such file"},
		{[]string{"config", "check"}, Unreadable, "name the files"},
		{[]string{"config", "chekc"}, Unreadable, "unknown command"},
		{[]string{"confg"}, Unreadable, "unknown command"},
		{[]string{"sidecar"}, Unreadable, `required flag(s) "config"`},
		{[]string{"sidecar", "--config", bad}, Found, "without a unit"},
		{[]string{"sidecar", "--config", dir + "/none.ini"}, Unreadable, "could not read"},
		{[]string{"sidecar", "--config", bad, "--log-level", "loud"}, Unreadable, "debug, info"},
		{[]string{"config", "diff", site, site}, Sound, "nothing changes in meaning"},
		{[]string{"config", "diff", site, sources + "tills.ini"}, Unreadable, "is a site file, and"},
		{[]string{"completion", "bash"}, Sound, "bash completion"},
	} {
		code, out, errs := run(c.args...)
		if code != c.code || !strings.Contains(out+errs, c.said) {
			t.Errorf("%q: exit code %d, said %q %q; want %d and %q", c.args, code, out, errs, c.code, c.said)
		}
	}
}

func TestCheckAsJSON(t *testing.T) {
	bad := edited(t, t.TempDir(), "tills.ini", "deadline = 6s", "deadline = 6")
	_, out, _ := run("config", "check", "--json", "--site", sources+"site.ini", bad)
	var found config.Findings
	if err := json.Unmarshal([]byte(out), &found); err != nil || len(found) != 1 || found[0].Kind != config.NoUnit || found[0].Line != 10 {
		t.Errorf("%v: %s", err, out)
	}
	if _, out, _ = run("config", "check", "--json", sources+"site.ini"); strings.TrimSpace(out) != "[]" {
		t.Errorf("nothing found is written as %q", out)
	}
}

// With any finding no file is touched; without, each is replaced, and nothing else is left in the folder.
func TestWriteAllOrNothing(t *testing.T) {
	dir, out := t.TempDir(), t.TempDir()
	write := func(tills string) int {
		code, _, _ := run("config", "write", "--site", sources+"site.ini", "--out", out, sources+"kiosk.ini", tills)
		return code
	}
	if code := write(sources + "tills.ini"); code != Sound {
		t.Fatalf("exit code %d", code)
	}
	text := func() (all string) {
		entries, err := os.ReadDir(out)
		if err != nil || len(entries) != 2 {
			t.Fatalf("%v, %v", entries, err)
		}
		for _, e := range entries {
			b, err := os.ReadFile(filepath.Join(out, e.Name()))
			if err != nil {
				t.Fatal(err)
			}
			all += string(b)
		}
		return all
	}
	before := text()
	// The first application's file would change, the second one is wrong.
	if code := write(edited(t, dir, "tills.ini", "listener = 127.0.0.1:20001", "listener = 127.0.0.1:20011")); code != Found || text() != before {
		t.Errorf("exit code %d, files touched: %v", code, text() != before)
	}
	if code := write(edited(t, dir, "tills.ini", "share = 60%", "share = 50%")); code != Sound || text() == before || !strings.Contains(text(), "share = 50%") {
		t.Errorf("exit code %d, files replaced: %v", code, text() != before)
	}
	code, said, _ := run("config", "diff", sources+"tills.ini", filepath.Join(dir, "tills.ini"))
	if code != Sound || said != "[application] share falls from 60% to 50% (on reload)\n" {
		t.Errorf("exit code %d, %q", code, said)
	}
	// A folder in the place of a file: nothing may be left half done beside it.
	if err := os.Mkdir(filepath.Join(out, "x"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := Put(out, []config.File{{Name: "x", Text: []byte("y")}}); err == nil {
		t.Error("a folder was replaced by a file")
	}
	if left, _ := filepath.Glob(filepath.Join(out, ".x.*")); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
}

// The commands on a store: sound, torn, damaged, repaired, and one that is open.
func TestStoreCommands(t *testing.T) {
	dir := t.TempDir()
	r := recovery.NewRecorder(recovery.NewState())
	s, err := store.Open(store.Dir(dir), store.Options{SegmentBytes: 100})
	if err != nil {
		t.Fatal(err)
	}
	for i := range uint64(6) {
		r.AttemptSent(i+1, "office", 1, 1_000_000, 7_000_000)
		if !s.Append(r.Batch()) || s.Sync() != nil {
			t.Fatal("refused")
		}
	}
	if code, _, errs := run("store", "verify", dir); code != Unreadable || !strings.Contains(errs, "another process") {
		t.Errorf("a store that is open: %d, %q", code, errs)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	want := func(code int, said string, args ...string) {
		t.Helper()
		got, out, errs := run(append([]string{"store"}, args...)...)
		if got != code || !strings.Contains(out+errs, said) {
			t.Errorf("%q: exit code %d, said %q %q; want %d and %q", args, got, out, errs, code, said)
		}
	}
	want(Sound, "sound: 6 records", "verify", dir)
	want(Sound, "6 records", "inspect", dir)
	want(Sound, `{"key":"c/6","value":{"id":6,"stage":1,"office":"office","attempts":1,"since":1000000,"deadline":7000000}}`, "dump", "--json", dir)
	want(Unreadable, "is no folder", "verify", filepath.Join(dir, "none"))
	segments, err := filepath.Glob(filepath.Join(dir, "segment-*"))
	if err != nil || len(segments) < 3 {
		t.Fatalf("%v, %v", segments, err)
	}
	text, err := os.ReadFile(segments[0])
	if err != nil {
		t.Fatal(err)
	}
	text[len(text)-1] ^= 1
	if err := os.WriteFile(segments[0], text, 0o600); err != nil {
		t.Fatal(err)
	}
	damaged := filepath.Base(segments[0]) + " at "
	want(Found, damaged, "verify", dir)
	want(Sound, "set aside: "+filepath.Base(segments[0]), "repair", "--dry-run", dir)
	want(Found, damaged, "verify", dir) // nothing has changed
	want(Sound, "recovered:", "repair", dir)
	want(Sound, "sound: ", "verify", dir)
	want(Sound, "not part of the store", "inspect", dir)
	want(Sound, "", "compact", dir)
	want(Sound, "checkpoint-", "inspect", dir)
	want(Sound, "nothing is damaged", "repair", dir)
}
