// Package corpus holds what every version of the program must still be able to read: the bytes that the processes of each
// version wrote, in files, with what they mean. Each package that speaks to other processes keeps its own under testdata and
// checks them by a test; this package reads, writes and spoils them. Only tests import it.
package corpus

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

var update = flag.Bool("update-corpus", false, "add a folder to the corpus if this version writes anything otherwise; none is ever changed")

// Case is one thing that this version writes.
type Case struct {
	Name  string // of its files; it stays for good, for it names the reader of older versions' files too
	Value any    // what is written; over all cases every field of it must be filled once
	Bytes []byte // as it is written: CBOR, or JSON if it begins with a brace
	// Read is how today's code reads it; what it returns is rendered as JSON.
	Read func([]byte) (any, error)
	// Again reads and writes it, if it is passed on: unknown fields must survive. nil: it is not.
	Again func([]byte) ([]byte, error)
	Max   int // bytes that a reader takes, and no text or list that is read is longer; 0: nothing is promised
	// Bounds are narrower ones of texts and lists, by the names of their fields.
	Bounds map[string]int
}

const numbersFile = "numbers.txt"

// Check holds a package's cases and its spoken numbers against the corpus in its testdata; with -update-corpus it first adds a folder
// if there is need of one. It runs in the package's own folder.
func Check(t *testing.T, cases []Case, numbers Numbers) {
	t.Helper()
	if *update {
		if added, err := Add("testdata", cases, numbers); err != nil {
			t.Fatal(err)
		} else if added != "" {
			t.Logf("added %s", added)
		}
	}
	for _, p := range append(Problems("testdata", cases, numbers), unfilled(".", cases)...) {
		t.Error(p)
	}
}

// Problems tells all in which the corpus under dir and today's code do not agree.
func Problems(dir string, cases []Case, numbers Numbers) (ps []string) {
	folders := versions(dir)
	if len(folders) == 0 {
		return []string{dir + ": no version's folder; run the test with -update-corpus"}
	}
	ps = lacking(folders[len(folders)-1], cases, numbers)
	for _, folder := range folders {
		ps = append(ps, numbers.against(filepath.Join(folder, numbersFile))...)
		files, _ := filepath.Glob(filepath.Join(folder, "*.bin")) // the pattern is a good one
		for _, file := range files {
			name := strings.TrimSuffix(filepath.Base(file), ".bin")
			i := slices.IndexFunc(cases, func(c Case) bool { return c.Name == name })
			if i < 0 {
				ps = append(ps, file+": nobody reads it any more")
				continue
			}
			ps = append(ps, cases[i].problems(file)...)
		}
	}
	return ps
}

// problems holds one file against today's reader.
func (c Case) problems(file string) (ps []string) {
	bad := func(what string, args ...any) { ps = append(ps, file+": "+fmt.Sprintf(what, args...)) }
	raw, err := os.ReadFile(file)
	if err != nil {
		return []string{err.Error()}
	}
	meant, err := os.ReadFile(strings.TrimSuffix(file, ".bin") + ".json")
	if err != nil {
		return []string{err.Error()}
	}
	if why := c.understood(raw, meant, ""); why != "" {
		bad("read otherwise than it was meant: %s", why)
	}
	later, added, err := withUnknown(raw)
	switch {
	case err != nil:
		bad("no unknown field can be added: %v", err)
	case c.Max > 0 && len(later) > c.Max: // the largest of its kind: there is no room for a later version's fields
	default:
		if why := c.understood(later, meant, added); why != "" {
			bad("read otherwise with unknown fields: %s", why)
		}
		if c.Again == nil {
			break
		}
		if again, err := c.Again(later); err != nil || !bytes.Equal(again, later) {
			bad("unknown fields are not passed on as they came: %v", err)
		}
	}
	return append(ps, c.spoil(file, raw)...)
}

// understood tells in what the reading of raw differs from what was meant; fields of the name added are passed over.
func (c Case) understood(raw, meant []byte, added string) string {
	v, err := c.Read(raw)
	if err != nil {
		return err.Error()
	}
	now, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return differ("", plain(meant), plain(now), added)
}

// lacking tells what this version writes that is not in its folder.
func lacking(folder string, cases []Case, numbers Numbers) (ps []string) {
	for _, c := range cases {
		if old, err := os.ReadFile(filepath.Join(folder, c.Name+".bin")); err != nil || !bytes.Equal(old, c.Bytes) {
			ps = append(ps, fmt.Sprintf("%s: %s is written today and is not there; look whether older versions can read it, then use -update-corpus", folder, c.Name))
		}
	}
	if old, err := os.ReadFile(filepath.Join(folder, numbersFile)); err != nil || string(old) != numbers.text() {
		ps = append(ps, folder+": a number is spoken today that is not there; use -update-corpus")
	}
	return ps
}

// versions are the folders of the corpus, the oldest first.
func versions(dir string) (folders []string) {
	for n := 1; ; n++ {
		folder := filepath.Join(dir, fmt.Sprintf("v%d", n))
		if _, err := os.Stat(folder); err != nil {
			return folders
		}
		folders = append(folders, folder)
	}
}

// Add writes a folder for what this version writes, if the newest one differs, and returns its name. It never changes a folder
// that is there: if one of them is read otherwise today, it refuses.
func Add(dir string, cases []Case, numbers Numbers) (string, error) {
	folders := versions(dir)
	if len(folders) > 0 {
		for _, p := range Problems(dir, cases, numbers) {
			if !strings.Contains(p, "-update-corpus") {
				return "", fmt.Errorf("nothing is added while what is there is not read as it was meant: %s", p)
			}
		}
		if len(lacking(folders[len(folders)-1], cases, numbers)) == 0 {
			return "", nil
		}
	}
	folder := filepath.Join(dir, fmt.Sprintf("v%d", len(folders)+1))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	if err := os.Mkdir(folder, 0o755); err != nil { // fails if it is there
		return "", err
	}
	files := map[string][]byte{numbersFile: []byte(numbers.text())}
	for _, c := range cases {
		v, err := c.Read(c.Bytes)
		if err != nil {
			return "", fmt.Errorf("%s: %w", c.Name, err)
		}
		meant, err := json.MarshalIndent(v, "", " ")
		if err != nil {
			return "", fmt.Errorf("%s: %w", c.Name, err)
		}
		files[c.Name+".bin"], files[c.Name+".json"] = c.Bytes, append(meant, '\n')
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(folder, name), text, 0o644); err != nil {
			return "", err
		}
	}
	return folder, nil
}
