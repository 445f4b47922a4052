package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pewterwheel/internal/config"
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
