package member

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pewterwheel/internal/config"
	"pewterwheel/internal/sidecar"
	"pewterwheel/internal/standin"
)

// fleetSite writes the files of so many applications, each with a member of its own name, m0 and so on.
func fleetSite(t testing.TB, office string, members int, more string) []config.File {
	t.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "[site]\nname = s\ndomain = example.org\nsidecars = %d\nlog-level = debug\n[pool core]\nrate = 1000/s\nopen = 500\n[host h.example.org]\naddress = %s\npool = core\n", members, office)
	b.WriteString("[fleet]\ncluster = test\nroster-number = 1\nroster = m0, m1, m2\n")
	for i := range members {
		fmt.Fprintf(&b, "[member m%d]\naddress = 127.0.0.1:%d\n", i, standin.FreePort())
	}
	files := []config.File{{Name: "site.ini", Text: []byte(b.String() + more)}}
	for i := range members {
		files = append(files, config.File{Name: fmt.Sprintf("m%d.ini", i), Text: fmt.Appendf(nil, "[application]\nname = m%d\nlistener = 127.0.0.1:%d\ncontrol = 127.0.0.1:%d\nshare = 10%%\n"+
			"[class sale-auth]\naim = 800ms\ndeadline = 6s\neffect = free\npools = core\nrate = 10/s\n", i, standin.FreePort(), standin.FreePort())})
	}
	out, found := config.Write(files[0], files[1:])
	if found.Errors() > 0 {
		t.Fatal(found)
	}
	return out
}

// Three processes find each other. One that is killed is suspected and not taken for gone; it comes back under its name. One
// that ends is left out. Calls pass meanwhile, and the meter sees them.
func TestFleetOfProcesses(t *testing.T) {
	book := standin.NewBook()
	o, err := standin.NewOffice("h.example.org", "127.0.0.1:0", book, standin.Script{Work: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(o.Close)
	dir := t.TempDir()
	files := fleetSite(t, o.Address, 3, "")
	var all []*running
	for i, f := range files {
		all = append(all, start(t, dir, f, fmt.Sprintf("m%d", i)))
	}
	for _, s := range all {
		until(t, "a view of all", func() bool { return s.gauge("fleet_members") == 3 && s.gauge("fleet_suspected") == 0 })
		s.pass(t, book)
	}
	if err := all[2].cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	<-all[2].ended
	until(t, "suspicion", func() bool { return all[0].gauge("fleet_suspected") == 1 })
	if n := all[0].gauge("fleet_members"); n != 3 {
		t.Errorf("%d members are shown, and one is only suspected", n)
	}
	again := start(t, dir, files[2], "m2")
	until(t, "its return", func() bool { return all[0].gauge("fleet_suspected") == 0 && again.gauge("fleet_members") == 3 })
	all[1].stop(t)
	until(t, "its end", func() bool { return all[0].gauge("fleet_members") == 2 && again.gauge("fleet_members") == 2 })
	again.stop(t)
	all[0].stop(t)
	book.Settle()
	if sums := book.Sums(); sums.Answered != 3 || len(book.Broken()) > 0 {
		t.Errorf("%+v, %v", sums, book.Broken())
	}
	for _, want := range []string{"fleet joined", "state=2", "state=3", "state=4"} {
		if !strings.Contains(all[0].log.String(), want) {
			t.Errorf("the log lacks %q", want)
		}
	}
}

// A name for which the file has no member is refused at the start, and so is a file without a fleet.
func TestMemberMustBeKnown(t *testing.T) {
	files := fleetSite(t, "127.0.0.1:9", 3, "")
	path := filepath.Join(t.TempDir(), "f.ini")
	if err := os.WriteFile(path, files[0].Text, 0o600); err != nil {
		t.Fatal(err)
	}
	r := sidecar.NewReader(path, nil)
	s, err := r.Settings()
	if err != nil {
		t.Fatal(err)
	}
	var known *MemberError
	if _, err := Join(r, s, "m9", nil); !errors.As(err, &known) {
		t.Errorf("an unknown name gave %v", err)
	}
	s.Fleet = nil
	if _, err := Join(r, s, "m0", nil); !errors.As(err, &known) {
		t.Errorf("a file without a fleet gave %v", err)
	}
}
