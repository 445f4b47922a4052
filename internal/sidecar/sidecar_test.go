package sidecar

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pewterwheel/internal/config"
	"pewterwheel/internal/standin"
)

// site is a random sound site with its applications, whose hosts are stand-ins.
type site struct {
	files []config.File // the site's, then the declarations
}

// drawSite draws a sound site on the offices and ports given. What is declared keeps to what the pools take.
func drawSite(t *rapid.T, offices []string, ports []int) site {
	var b strings.Builder
	apps := rapid.IntRange(1, 3).Draw(t, "applications")
	pools := rapid.IntRange(1, 3).Draw(t, "pools")
	fmt.Fprintf(&b, "[site]\nname = s%d\ndomain = %s\nsidecars = %d\n", pools, rapid.SampledFrom([]string{"example.org", "miudo.example.org"}).Draw(t, "domain"), apps+rapid.IntRange(0, 9).Draw(t, "more"))
	domain := strings.Fields(strings.Split(b.String(), "domain = ")[1])[0]
	if rapid.Bool().Draw(t, "machine") {
		fmt.Fprintf(&b, "\n[machine]\nmemory = %dMiB\ndescriptors = %d\n", rapid.IntRange(64, 512).Draw(t, "memory"), rapid.IntRange(256, 2048).Draw(t, "descriptors"))
	}
	if rapid.Bool().Draw(t, "rules") {
		fmt.Fprintf(&b, "\n[rules]\nguard = %dms\ncold = %ds\nstay-away = %dms\n", rapid.IntRange(200, 900).Draw(t, "guard"), rapid.IntRange(1, 60).Draw(t, "cold"), rapid.IntRange(0, 5000).Draw(t, "away"))
	}
	for p := range pools {
		fmt.Fprintf(&b, "\n[pool p%d]\nrate = %d/s\nopen = %d\n", p, rapid.IntRange(120, 5000).Draw(t, "rate"), rapid.IntRange(1, 500).Draw(t, "open"))
	}
	for i, at := range offices {
		fmt.Fprintf(&b, "\n[host h%d.%s]\naddress = %s\npool = p%d\nweight = %g\n", i, domain, at, i%pools, rapid.Float64Range(0.1, 10).Draw(t, "weight"))
		if i >= pools && rapid.Bool().Draw(t, "draining") { // each pool has one that is up
			b.WriteString("state = draining\n")
		}
	}
	s := site{[]config.File{{Name: "site.ini", Text: []byte(b.String())}}}
	for a := range apps {
		b.Reset()
		fmt.Fprintf(&b, "[application]\nname = a%d\nlistener = 127.0.0.1:%d\ncontrol = 127.0.0.1:%d\nshare = %d%%\n", a, ports[2*a], ports[2*a+1], 100/apps)
		if rapid.Bool().Draw(t, "tries") {
			fmt.Fprintf(&b, "tries = %d\nrepeats = %d%%\n", rapid.IntRange(1, 6).Draw(t, "n"), rapid.IntRange(0, 50).Draw(t, "repeats"))
		}
		for c := range rapid.IntRange(1, 3).Draw(t, "classes") {
			deadline := rapid.IntRange(2000, 9000).Draw(t, "deadline")
			fmt.Fprintf(&b, "\n[class c%d]\naim = %dms\ndeadline = %dms\nrate = %d/s\neffect = %s\n", c, rapid.IntRange(100, deadline).Draw(t, "aim"), deadline,
				rapid.IntRange(0, 8).Draw(t, "expected"), rapid.SampledFrom([]string{"free", "guarded\nwindow = 30s", "single-shot"}).Draw(t, "effect"))
			order := rapid.Permutation([]string{"p0", "p1", "p2"}[:pools]).Draw(t, "order")
			fmt.Fprintf(&b, "pools = %s\n", strings.Join(order[:rapid.IntRange(1, pools).Draw(t, "of")], ", "))
		}
		s.files = append(s.files, config.File{Name: fmt.Sprintf("a%d.ini", a), Text: []byte(b.String())})
	}
	return s
}

// values are some of no kind, and some of each kind, sound or not.
var values = [][]string{
	{"", "-1", "NaN", "1e400", "p9", "free", "0.0.0.0:20001", "x y", "5 parsecs"},
	{"0s", "1ms", "250ms", "700ms", "3s", "20s", "2h"},
	{"0%", "0.5%", "10%", "33%", "99%", "101%"},
	{"0/s", "1/min", "3/s", "50/s", "9000/s", "2000000/s"},
	{"0", "1", "2", "5", "300", "70000", "1.5"},
	{"p0", "p1", "p0, p1", "p1, p0", "p2, p2", "core"},
}

// kind is which of the values are of the kind that a line has.
func kind(line string) int {
	switch {
	case strings.HasSuffix(line, "s") && !strings.HasSuffix(line, "/s"):
		return 1
	case strings.HasSuffix(line, "%"):
		return 2
	case strings.HasSuffix(line, "/s"):
		return 3
	case strings.HasPrefix(line, "pool"):
		return 5
	}
	return 4
}

// mutate changes one line of one file: away, twice, another number, another unit, or another character. Addresses
// are left alone: at another one there would be nobody, or somebody else.
func mutate(t *rapid.T, s site) (site, string) {
	m := site{slices.Clone(s.files)}
	i := rapid.IntRange(0, len(m.files)-1).Draw(t, "file")
	lines := strings.Split(strings.TrimSuffix(string(m.files[i].Text), "\n"), "\n")
	n := rapid.IntRange(0, len(lines)-1).Draw(t, "line")
	was := lines[n]
	if was == "" || slices.Contains([]string{"address", "listener", "control"}, strings.Fields(was)[0]) {
		return m, ""
	}
	switch at := rapid.IntRange(0, len(was)-1).Draw(t, "at"); rapid.SampledFrom([]int{0, 1, 2, 2, 2, 2, 2, 2, 3, 4}).Draw(t, "how") {
	case 0:
		lines = slices.Delete(lines, n, n+1)
	case 1:
		lines = slices.Insert(lines, n, was)
	case 2:
		key, _, ok := strings.Cut(was, "=")
		if !ok {
			return m, ""
		}
		lines[n] = key + "= " + rapid.SampledFrom(values[rapid.SampledFrom([]int{0, 1, 1, 1, 1}).Draw(t, "of its own kind")*kind(was)]).Draw(t, "value")
	case 3:
		lines[n] = was[:at] + was[at+1:]
	case 4:
		lines[n] = was[:at] + rapid.SampledFrom([]string{"x", "0", ".", " ", "=", "[", ";", "\"", "é", "\x00"}).Draw(t, "char") + was[at:]
	}
	m.files[i].Text = []byte(strings.Join(lines, "\n") + "\n")
	return m, fmt.Sprintf("%s line %d %q", m.files[i].Name, n+1, was)
}

// A random sound site is written, found clean, started on loopback and passes calls. One random change of a line either
// is refused or starts and passes calls all the same.
func TestWhatIsAcceptedServes(t *testing.T) {
	const sites = 100
	book := standin.NewBook()
	var offices []string
	for range 4 {
		o, err := standin.NewOffice("o", "127.0.0.1:0", book, standin.Script{Work: time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(o.Close)
		offices = append(offices, o.Address)
	}
	type drawn struct {
		site    site
		change  string
		changed site
	}
	// What is drawn must not depend on the ports that are free now: they are put in afterwards.
	ports := []int{60001, 60002, 60003, 60004, 60005, 60006}
	refused, served := 0, 0
	var all []*running
	for seed := range sites {
		d := rapid.Custom(func(t *rapid.T) (d drawn) {
			d.site = drawSite(t, offices, ports)
			d.changed, d.change = mutate(t, d.site)
			return d
		}).Example(seed)
		if d.change == "" {
			continue
		}
		for i, s := range []site{d.site, d.changed} {
			for _, port := range ports {
				free := fmt.Appendf(nil, ":%d", standin.FreePort())
				for j := range s.files {
					s.files[j].Text = bytes.ReplaceAll(s.files[j].Text, fmt.Appendf(nil, ":%d", port), free)
				}
			}
			written, found := config.Write(s.files[0], s.files[1:])
			if found.Errors() > 0 {
				if i == 0 {
					t.Fatalf("a sound site was refused: %v\n%s", found, s.files)
				}
				refused++
				continue
			}
			if i == 1 {
				served++
			}
			dir := t.TempDir()
			for _, f := range written {
				r := start(t, dir, f)
				r.pass(t, book)
				r.signal(t, syscall.SIGTERM) // its end is waited for below
				all = append(all, r)
			}
		}
	}
	for _, r := range all {
		r.stop(t)
	}
	sound(t, book)
	t.Logf("of %d changes %d were refused, %d served", sites, refused, served)
	if refused < sites/4 || served < sites/10 {
		t.Errorf("of %d changes %d were refused, %d served: both are wanted", sites, refused, served)
	}
}

// Fifty reloads under load: hosts come, drain, leave, move and come back, for two sidecars of one site. Every call has one
// final answer, nothing new goes to a drained host after 1 s, no call has two attempts out, and no cold host gets more from
// both together than it bears.
func TestReloadsUnderLoad(t *testing.T) {
	const reloads = 50
	book := standin.NewBook()
	rng := rand.New(rand.NewPCG(7, 7))
	bound := standin.Bound{Start: 0.28, Cold: 4 * time.Second, Multiple: 3, Fall: 1500 * time.Millisecond}
	type host struct {
		name, pool string
		o          *standin.Office
		on, drains bool
	}
	office := func(name string) *standin.Office {
		o, err := standin.NewOffice(name, "127.0.0.1:0", book, standin.Script{Work: 5 * time.Millisecond, Queue: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(o.Close)
		return o
	}
	var hosts []*host
	for i := range 7 {
		hosts = append(hosts, &host{name: fmt.Sprintf("h%d.example.org", i), pool: []string{"core", "reserve"}[i/5], on: true})
		hosts[i].o = office(hosts[i].name)
	}
	ports := []int{standin.FreePort(), standin.FreePort(), standin.FreePort(), standin.FreePort()}
	write := func() []config.File {
		var b strings.Builder
		b.WriteString("[site]\nname = s\ndomain = example.org\nsidecars = 2\n[rules]\ncold = 4s\nlinger = 2s\n[pool core]\nrate = 1000/s\nopen = 500\n[pool reserve]\nrate = 400/s\nopen = 200\n")
		for _, h := range hosts {
			if h.on {
				fmt.Fprintf(&b, "[host %s]\naddress = %s\npool = %s\nstate = %s\n", h.name, h.o.Address, h.pool, map[bool]string{true: "draining", false: "up"}[h.drains])
			}
		}
		files := []config.File{{Name: "site.ini", Text: []byte(b.String())}}
		for i := range 2 {
			files = append(files, config.File{Name: fmt.Sprintf("a%d.ini", i), Text: fmt.Appendf(nil, "[application]\nname = a%d\nlistener = 127.0.0.1:%d\ncontrol = 127.0.0.1:%d\nshare = 50%%\n"+
				"[class sale-auth]\naim = 800ms\ndeadline = 6s\neffect = free\npools = core, reserve\nrate = 80/s\n", i, ports[2*i], ports[2*i+1])})
		}
		out, found := config.Write(files[0], files[1:])
		if found.Errors() > 0 {
			t.Fatal(found)
		}
		return out
	}
	dir := t.TempDir()
	var sidecars []*running
	for _, f := range write() {
		sidecars = append(sidecars, start(t, dir, f))
	}
	stop := make(chan struct{})
	var callers []*standin.Caller
	for _, s := range sidecars {
		c, err := standin.Dial(s.Application.Listener.String(), book, 300*time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		callers = append(callers, c)
		c.Offer("sale-auth", 6*time.Second, 80, 1<<20, stop)
	}
	bad := 0
	for i := range reloads {
		h := hosts[1+rng.IntN(4)] // the first of core, and reserve, stay
		var told *standin.Office  // drained from when both sidecars are told
		switch what := rng.IntN(4); {
		case !h.on: // comes back, the same process: it is up again from now on
			h.on, h.drains = true, false
			h.o.Drained(false)
		case what == 0:
			h.drains = !h.drains
			if told = h.o; !h.drains {
				told = nil
				h.o.Drained(false)
			}
		case what == 1:
			h.on, told = false, h.o
		default: // the same name at a new address: a new host, and cold
			told = h.o
			h.o = office(h.name)
			h.o.Cold(bound)
			h.drains = false
		}
		out := write()
		if i%10 == 9 { // and a file that is wrong changes nothing
			bad++
			for j, s := range sidecars {
				s.reload(t, []byte(strings.Replace(string(out[j].Text), "guard = 200ms", "guard = 20ms", 1)))
			}
		}
		for j, s := range sidecars {
			s.reload(t, out[j].Text)
		}
		if told != nil {
			told.Drained(true)
		}
		time.Sleep(100 * time.Millisecond)
	}
	close(stop)
	for _, c := range callers {
		c.Wait(patience)
	}
	sums := book.Sums()
	for _, s := range sidecars {
		if n := s.figure("config_reloads"); n != reloads {
			t.Errorf("%d reloads were counted", n)
		}
		if n := s.figure("config_reload_errors"); n != bad {
			t.Errorf("%d refused reloads were counted, of %d", n, bad)
		}
		if !strings.Contains(s.log.String(), "guard is") {
			t.Error("the findings of a bad file are not in the log")
		}
		s.stop(t)
	}
	sound(t, book)
	t.Logf("%+v", sums)
	if sums.Offered < 500 || sums.Answered < sums.Offered*9/10 {
		t.Errorf("%+v: too few were answered", sums)
	}
}

// Offices that are slow, full, at fault, cut their connections or say nothing, changing all the time, under load: every
// call has one final answer before its caller gives up, no two attempts are out, none comes within the guard.
func TestTroubledOffices(t *testing.T) {
	book := standin.NewBook()
	rng := rand.New(rand.NewPCG(11, 7))
	var offices []*standin.Office
	var b strings.Builder
	b.WriteString("[site]\nname = s\ndomain = example.org\nsidecars = 1\n[pool core]\nrate = 1000/s\nopen = 500\n[pool reserve]\nrate = 400/s\nopen = 200\n")
	for i := range 6 {
		o, err := standin.NewOffice(fmt.Sprintf("h%d.example.org", i), "127.0.0.1:0", book, standin.Script{Work: time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(o.Close)
		offices = append(offices, o)
		fmt.Fprintf(&b, "[host %s]\naddress = %s\npool = %s\n", o.Name, o.Address, []string{"core", "reserve"}[i/4])
	}
	out, found := config.Write(config.File{Name: "site.ini", Text: []byte(b.String())}, []config.File{{Name: "a.ini", Text: fmt.Appendf(nil,
		"[application]\nname = a\nlistener = 127.0.0.1:%d\ncontrol = 127.0.0.1:%d\nshare = 100%%\ntries = 4\n"+
			"[class sale-auth]\naim = 500ms\ndeadline = 2s\neffect = free\npools = core, reserve\nrate = 80/s\n"+
			"[class refund]\naim = 500ms\ndeadline = 2s\neffect = single-shot\npools = reserve, core\nrate = 20/s\n", standin.FreePort(), standin.FreePort())}})
	if found.Errors() > 0 {
		t.Fatal(found)
	}
	s := start(t, t.TempDir(), out[0])
	stop := make(chan struct{})
	var callers []*standin.Caller
	for class, rate := range map[string]float64{"sale-auth": 80, "refund": 20} {
		c, err := standin.Dial(s.Application.Listener.String(), book, 300*time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		callers = append(callers, c)
		c.Offer(class, 2*time.Second, rate, 1<<20, stop)
	}
	scripts := []standin.Script{{Work: time.Millisecond}, {Work: 200 * time.Millisecond, Queue: time.Second}, {Mode: standin.Full},
		{Mode: standin.Busy}, {Mode: standin.Reset}, {Mode: standin.Silent}, {Work: time.Millisecond}}
	for range 40 {
		offices[rng.IntN(len(offices))].Script(scripts[rng.IntN(len(scripts))])
		time.Sleep(100 * time.Millisecond)
	}
	close(stop)
	for _, c := range callers {
		c.Wait(patience)
	}
	sums := book.Sums()
	s.stop(t)
	sound(t, book)
	t.Logf("%+v", sums)
	if sums.Answered == 0 || sums.Refused+sums.Failed == 0 || sums.Attempts <= sums.Answered {
		t.Errorf("%+v: there was no trouble, or nothing else", sums)
	}
}

// A sidecar does not start from a file with findings, or from one of another kind.
func TestRefusals(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "f.ini")
	for text, want := range map[string]string{"[site]\nname = x\n": "lacks domain", "": "holds no settings",
		"[site]\nname = x\ndomain = example.org\nsidecars = 1\n[pool p]\nrate = 1/s\nopen = 1\n[host h.example.org]\naddress = 127.0.0.1:1\npool = p\n": "is a site file"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := NewReader(path, nil).Read(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q gave %v", text, err)
		}
	}
	var found *FindingsError
	if _, err := NewReader(dir, nil).Read(); err == nil || errors.As(err, &found) {
		t.Errorf("a folder gave %v", err)
	}
}
