package config

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
)

var update = flag.Bool("update", false, "write what the checker says now into the corpus")

// load reads files of the example.
func load(t testing.TB, names ...string) []File {
	t.Helper()
	var files []File
	for _, name := range names {
		text, err := os.ReadFile(filepath.Join("../../examples/sidecar", name))
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, File{name, text})
	}
	return files
}

// corpus is the broken files, each archive with what the checker has to say of it.
func corpus(t testing.TB) map[string]*txtar.Archive {
	t.Helper()
	paths, err := filepath.Glob("testdata/broken/*.txtar")
	if err != nil || len(paths) < 80 {
		t.Fatalf("%d archives, %v", len(paths), err)
	}
	all := map[string]*txtar.Archive{}
	for _, p := range paths {
		a, err := txtar.ParseFile(p)
		if err != nil {
			t.Fatal(err)
		}
		all[p] = a
	}
	return all
}

// lines writes findings as the command does.
func lines(fs Findings) string {
	var b strings.Builder
	for _, f := range fs {
		b.WriteString(f.String() + "\n")
	}
	return b.String()
}

// Every broken set of files has just the findings beside it, and every kind of finding there is has been found.
func TestCorpus(t *testing.T) {
	reached := map[Kind]bool{}
	for path, a := range corpus(t) {
		var files []File
		want, at := "", -1
		for i, f := range a.Files {
			if f.Name == "want" {
				want, at = string(f.Data), i
				continue
			}
			files = append(files, File{f.Name, f.Data})
		}
		got := Check(files).Findings
		for _, f := range got {
			reached[f.Kind] = true
		}
		if *update {
			if at < 0 {
				a.Files = append(a.Files, txtar.File{})
				at = len(a.Files) - 1
			}
			a.Files[at] = txtar.File{Name: "want", Data: []byte(lines(got))}
			if err := os.WriteFile(path, txtar.Format(a), 0o644); err != nil {
				t.Fatal(err)
			}
			continue
		}
		if lines(got) != want || len(got) == 0 {
			t.Errorf("%s: found\n%swant\n%s", path, lines(got), want)
		}
	}
	for _, kind := range []Kind{TooLarge, NoDeclaration} { // too large for a corpus, and a finding of the writer alone
		reached[kind] = true
	}
	for _, kind := range allKinds(t) {
		if !reached[kind] {
			t.Errorf("no file of the corpus is answered with %q", kind)
		}
	}
}

// allKinds reads the kinds of finding from the source, so that none is forgotten here.
func allKinds(t testing.TB) []Kind {
	t.Helper()
	paths, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	var kinds []Kind
	for _, p := range paths {
		text, err := os.ReadFile(p)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range regexp.MustCompile(`(?m)^(?:const |\t)\w+ +Kind = "([^"]+)"`).FindAllSubmatch(text, -1) {
			kinds = append(kinds, Kind(m[1]))
		}
	}
	if len(kinds) < 60 {
		t.Fatalf("only %d kinds of finding: %q", len(kinds), kinds)
	}
	return kinds
}

func TestOversizedFiles(t *testing.T) {
	for name, c := range map[string]struct {
		text []byte
		kind Kind
	}{
		"a line of a megabyte": {append([]byte("[site]\nname = "), bytes.Repeat([]byte{'x'}, 1<<20)...), LongLine},
		"a file of 17 MiB":     {bytes.Repeat([]byte("; x\n"), 17<<18), TooLarge},
	} {
		fs := Check([]File{{"f.ini", c.text}}).Findings
		if len(fs) != 1 || fs[0].Kind != c.kind {
			t.Errorf("%s gave %v", name, fs)
		}
	}
}

// Every default of the table is a value that the table takes, and every key has a sentence.
func TestTableIsSound(t *testing.T) {
	for _, s := range Sections {
		for _, set := range s.Settings {
			if set.Doc == "" || s.Doc == "" {
				t.Errorf("[%s] %s has no sentence", s.Kind, set.Key)
			}
			if set.Default == "" {
				continue
			}
			if v, err := set.read(set.Default); err != nil || units[set.Type] != nil && format(set.Type, v.Num) != set.Default && v.Text != "1500ms" {
				t.Errorf("[%s] %s: default %q reads as %+v, %v", s.Kind, set.Key, set.Default, v, err)
			}
		}
	}
}

// The example is written, read again without a finding, and written the same once more.
func TestWriteIsStable(t *testing.T) {
	files := load(t, "site.ini", "tills.ini", "kiosk.ini")
	first, fs := Write(files[0], files[1:])
	second, _ := Write(files[0], files[1:])
	if len(fs) > 0 || len(first) != 2 {
		t.Fatalf("%d files, %v", len(first), fs)
	}
	for i := range first {
		if first[i].Name != second[i].Name || !bytes.Equal(first[i].Text, second[i].Text) {
			t.Errorf("%s is written another way the second time", first[i].Name)
		}
	}
	if got := Check(append(files[:1:1], first...)).Findings; len(got) > 0 {
		t.Errorf("what was written is found wrong: %v", got)
	}
	r := Check(first[:1])
	s, err := r.Documents[0].Sidecar()
	if err != nil || s.Application.Name != "tills" || len(s.Hosts) != 4 || s.Pools[0].LimitRate != 540 || s.Classes[0].Share != 0.9 {
		t.Errorf("%v, %+v", err, s)
	}
	if _, fs := Write(files[1], files[2:]); fs.Errors() == 0 {
		t.Error("a declaration was taken for a site file")
	}
	if _, fs := Write(files[0], first); fs.Errors() == 0 {
		t.Error("a written file was taken for a declaration")
	}
	for _, d := range r.Documents {
		if d.Kind != SidecarFile {
			t.Errorf("%s is a %s", d.File, d.Kind)
		}
	}
}

// A diff speaks of meaning: a default spelled out, an order and a unit are none.
func TestDiff(t *testing.T) {
	files := load(t, "site.ini", "tills.ini")
	site := string(files[0].Text)
	read := func(text string) *Document { return Check([]File{{"site.ini", []byte(text)}}).Documents[0] }
	old := read(site)
	for _, c := range []struct {
		from, to string
		want     []string
	}{
		{"cold = 4s", "cold = 4000ms", nil},
		{"memory = 128MiB", "memory = 128MiB\ncores = 1", nil},
		{"rate = 900/s", "rate = 800/s", []string{"[pool core] rate falls from 900/s to 800/s (on reload)"}},
		{"cold = 4s", "cold = 5s", []string{"[rules] cold rises from 4s to 5s (at the next start)"}},
		{"127.0.0.1:21002", "127.0.0.1:21009", []string{"[host office-2.example.org] moves from 127.0.0.1:21002 to 127.0.0.1:21009; the new one starts cold, calls at the old one go on (on reload)"}},
		{"zone = porto", "zone = porto\nstate = draining", []string{"[host office-2.example.org] drains: nothing new is sent there, what stands goes on (on reload)"}},
		{"office-4", "office-5", []string{"[host office-5.example.org] is new: pool reserve, 127.0.0.1:21004, up (on reload)", "[host office-4.example.org] is gone: pool reserve, 127.0.0.1:21004, up (on reload)"}},
	} {
		if !strings.Contains(site, c.from) {
			t.Fatalf("%q is not in the example", c.from)
		}
		var got []string
		for _, d := range Diff(old, read(strings.Replace(site, c.from, c.to, 1))) {
			got = append(got, d.String())
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%q to %q: %q, want %q", c.from, c.to, got, c.want)
		}
	}
}

// A fleet's sections are carried into written files and read back; without them there is nothing of a fleet, and a member's
// new address, a new roster and a new change take effect on reload.
func TestFleetIsCarried(t *testing.T) {
	files := load(t, "site.ini", "tills.ini", "kiosk.ini")
	plain, _ := Write(files[0], files[1:])
	if s, err := Check(plain[:1]).Documents[0].Sidecar(); err != nil || s.Fleet != nil || s.Change != nil || s.Keepers != nil || s.Pooling != nil || len(s.Members) > 0 {
		t.Errorf("a file without a fleet gave %+v, %v", s, err)
	}
	with := func(text string) *Document {
		site := File{files[0].Name, append(bytes.Clone(files[0].Text), text...)}
		out, fs := Write(site, files[1:])
		if len(fs) > 0 {
			t.Fatal(fs)
		}
		return Check(out[:1]).Documents[0]
	}
	const fleet = "[fleet]\ncluster = lisboa\nroster-number = 7\nroster = c, a, b\n[keepers]\n[pooling]\nmode = on\n" +
		"[member a]\naddress = 127.0.0.1:20101\nzone = porto\n[member b]\naddress = 127.0.0.1:20102\nbind = 0.0.0.0:20112\n[member c]\naddress = 127.0.0.1:20103\n"
	old := with(fleet)
	s, err := old.Sidecar()
	if err != nil {
		t.Fatal(err)
	}
	b, ok := s.Member("b")
	if !ok || b.Bind.String() != "0.0.0.0:20112" || s.Members[0].Bind != s.Members[0].Address || s.Members[0].Zone != "porto" {
		t.Errorf("members are %+v", s.Members)
	}
	if f := s.Fleet; f.Cluster != "lisboa" || f.RosterNumber != 7 || !slices.Equal(f.Roster, []string{"c", "a", "b"}) || f.Lease != 2e6 || f.Drift != 0.01 {
		t.Errorf("the fleet is %+v", f)
	}
	if s.Keepers.Numbers != 16 || s.Keepers.Share != 0.05 || s.Pooling.Mode != "on" || s.Pooling.Unsafe != 0.0001 {
		t.Errorf("%+v, %+v", s.Keepers, s.Pooling)
	}
	is := with(strings.NewReplacer("20103", "20104", "number = 7", "number = 8", "c, a, b", "a, b, c, d, e").Replace(fleet) +
		"[member d]\naddress = 127.0.0.1:20105\n[member e]\naddress = 127.0.0.1:20106\n[change]\nnumber = 1\nsettings = /tmp/{member}.ini\n")
	for _, c := range Diff(old, is) {
		if !c.Reload {
			t.Errorf("%s", c)
		}
	}
	if n := len(Diff(old, is)); n != 6 {
		t.Errorf("%d changes: %v", n, Diff(old, is))
	}
}
