package scaletest

import (
	"cmp"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"testing"
	"text/tabwriter"
	"time"
)

var (
	sizes    = flag.String("sizes", "", "numbers of members, with commas; empty: TestScale measures nothing")
	seconds  = flag.Int("seconds", 30, "length of each measured stretch")
	trials   = flag.Int("trials", 5, "changes of one member's settings that are followed, at each size")
	settle   = flag.Int("settle", 20, "seconds of quiet between the start and the first measured stretch")
	patience = flag.Int("patience", 120, "seconds until a fleet is measured though not all members know all")
	format   = flag.String("format", "plain", "of the table: plain, markdown or tsv")
	within   = flag.Int("within", 0, "seconds over which the starts are spread; 0: all at once")
	linked   = flag.Bool("links", false, "links between members: 8 zones in 2 regions, round trips of 1, 3 and 40 ms")
	loss     = flag.Float64("loss", 0, "part of datagrams that links lose")
	double   = flag.Float64("double", 0, "part of datagrams that links send twice")
	late     = flag.Float64("late", 0, "part of datagrams that links send 200 ms late")
	most     = flag.Int("memory", 11, "GiB of memory at which the measuring stops")
)

// guardMemory ends the process when it takes more memory than it may.
func guardMemory(t *testing.T) {
	t.Helper()
	debug.SetMemoryLimit(int64(*most) << 30)
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			if m.Sys-m.HeapReleased > uint64(*most)<<30 {
				panic(fmt.Sprintf("over %d GiB", *most))
			}
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Second):
			}
		}
	}()
}

// figures are those of one size, by name, in the order in which they were measured.
type figures struct {
	members int
	names   []string
	text    map[string]string
	value   map[string]float64 // of those a line is fitted to
}

func (f *figures) put(name string, v float64, digits int) {
	f.says(name, strconv.FormatFloat(v, 'f', digits, 64))
	f.value[name] = v
}

func (f *figures) says(name, text string) {
	f.names = append(f.names, name)
	f.text[name] = text
}

// took puts a time, or how many had it when the limit was over.
func (f *figures) took(name string, t Times, part float64) {
	if d, ok := t.By(part); ok {
		f.put(name, d.Seconds(), 3)
		return
	}
	f.says(name, fmt.Sprintf("%d of %d in %.0f s", len(t.Took), t.Of, t.Limit.Seconds()))
}

// stretch puts what was measured over a time.
func (f *figures) stretch(prefix string, s Stretch) {
	const kilo = 1000
	for _, c := range []struct {
		name string
		c    Counter
	}{
		{"datagrams out", DatagramBytesOut},
		{"datagrams in", DatagramBytesIn},
		{"streams out", StreamBytesOut},
		{"streams in", StreamBytesIn},
	} {
		r := s.Rates[c.c]
		f.put(prefix+c.name+", KB/s, mean", r.Mean/kilo, 2)
		f.put(prefix+c.name+", KB/s, highest member", r.Most/kilo, 2)
		f.put(prefix+c.name+", KB/s, highest second", r.Second/kilo, 2)
	}
	f.put(prefix+"datagrams out a second", s.Rates[DatagramsOut].Mean, 2)
	f.put(prefix+"streams out a second", s.Rates[StreamsOut].Mean, 3)
	f.put(prefix+"in and out, payload, KB/s", s.Payload()/kilo, 2)
	f.put(prefix+"in and out, with headers, KB/s", s.Wire()/kilo, 2)
	f.put(prefix+"processor a member, % of a core", s.Core*100, 2)
	cores := strconv.Itoa(runtime.NumCPU())
	f.says(prefix+"processor in all, cores of "+cores, strconv.FormatFloat(s.Cores, 'f', 2, 64))
	f.says(prefix+"processor of other programs, cores of "+cores, strconv.FormatFloat(s.Others, 'f', 2, 64))
	f.put(prefix+"events dropped a second", s.Rates[EventsDropped].Mean, 3)
	f.says(prefix+"members that know all, unsuspected, %", strconv.FormatFloat(s.Whole*100, 'f', 1, 64))
	f.says(prefix+"seconds measured", strconv.FormatFloat(s.Seconds, 'f', 0, 64))
}

// changes puts how fast changes of one member's settings came to the others: the middle and the highest of the trials.
func (f *figures) changes(all []Times) {
	for _, part := range []struct {
		name string
		part float64
	}{{"50%", 0.5}, {"99%", 0.99}, {"all", 1}} {
		slices.SortFunc(all, func(x, y Times) int {
			a, _ := x.By(part.part)
			b, _ := y.By(part.part)
			return cmp.Compare(a, b) // one that did not come within the limit has that
		})
		name := "a change is known to " + part.name + ", s, "
		f.took(name+"middle trial", all[len(all)/2], part.part)
		f.took(name+"worst trial", all[len(all)-1], part.part)
	}
}

// cuts puts how fast cuts are seen and healed.
func (f *figures) cuts(t *testing.T, fleet *Fleet, limit time.Duration) {
	t.Helper()
	for _, c := range cutCases {
		seen, healed := c.play(t, fleet, limit)
		f.took("cut, "+c.what+": seen by all, s", seen, 1)
		f.took("cut, "+c.what+", healed: each knows all, s", healed, 1)
	}
}

// measureSize measures a fleet of one size from its start to its end.
func measureSize(t *testing.T, spec Spec) *figures {
	t.Helper()
	f := &figures{members: spec.Members, text: map[string]string{}, value: map[string]float64{}}
	before := Taken()
	fleet, err := NewFleet(spec)
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	begin := time.Now()
	if err := fleet.Start(time.Duration(*within) * time.Second); err != nil {
		t.Fatal(err)
	}
	limit := time.Duration(*patience) * time.Second
	knew := fleet.AwaitAll(begin, limit)
	f.took("started: half know all, s", knew, 0.5)
	f.took("started: each knows all, s", knew, 1)
	time.Sleep(time.Duration(*settle) * time.Second)
	length := time.Duration(*seconds) * time.Second
	quiet := fleet.Measure(length)
	f.stretch("quiet: ", quiet)
	followed := make([]Times, 0, *trials)
	for i := range *trials {
		followed = append(followed, fleet.AwaitChange(fleet.Members[(i*7)%spec.Members], min(limit, 15*time.Second)))
	}
	f.changes(followed)
	changed := withChanges(t, fleet, length)
	f.stretch("with changes: ", changed)
	f.atTargetRate(quiet, changed)
	f.roles(fleet, length)
	if spec.Links != nil {
		f.cuts(t, fleet, limit)
	}
	room := Taken().Share(before, spec.Members)
	f.put("memory a member, KB of heap and stacks", room.Bytes/1000, 0)
	f.put("goroutines a member", room.Goroutines, 1)
	f.put("descriptors a member", room.Descriptors, 1)
	f.says("load of the machine, 1, 5 and 15 minutes", load())
	return f
}

// asked are the links that the flags ask for; nil: none.
func asked() *Links {
	if !*linked {
		return nil
	}
	links := UsualLinks()
	links.Loss, links.Double, links.Late = *loss, *double, *late
	return &links
}

// load is that of the machine.
func load() string {
	text, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 3 {
		return "not known"
	}
	return strings.Join(fields[:3], " ")
}

// changesEach is the time between changes of a member's settings at the target's rate: 980 a day, at all members at
// once.
const changesEach = 88 * time.Second

// withChanges measures while all members change their settings, once each 88 s and once at least, and one member
// restarts.
func withChanges(t *testing.T, fleet *Fleet, length time.Duration) Stretch {
	t.Helper()
	result := make(chan Stretch)
	go func() { result <- fleet.Measure(length) }()
	restart := time.After(length / 2)
	changes := time.NewTimer(length / 10)
	defer changes.Stop()
	for {
		select {
		case s := <-result:
			return s
		case <-changes.C:
			for _, m := range fleet.Members {
				m.ChangeSettings()
			}
			changes.Reset(changesEach)
		case <-restart:
			if err := fleet.Members[len(fleet.Members)/2].Restart(); err != nil {
				t.Error(err)
			}
		}
	}
}

// rowsOf makes a row a figure, and a column a size.
func rowsOf(all []*figures) [][]string {
	head := []string{"members"}
	for _, f := range all {
		head = append(head, strconv.Itoa(f.members))
	}
	rows := [][]string{head}
	for _, name := range all[0].names {
		row := []string{name}
		for _, f := range all {
			row = append(row, f.text[name])
		}
		rows = append(rows, row)
	}
	return rows
}

// fitOf makes a row a figure that all sizes have: the line that fits it.
func fitOf(all []*figures) [][]string {
	rows := [][]string{{"least squares over the sizes", "at 0", "a member", "residual"}}
	for _, name := range all[0].names {
		var x, y []float64
		for _, f := range all {
			if v, ok := f.value[name]; ok {
				x, y = append(x, float64(f.members)), append(y, v)
			}
		}
		if len(x) != len(all) {
			continue
		}
		l := Fit(x, y)
		row := []string{name}
		for _, v := range []float64{l.At0, l.Slope, l.Residual} {
			row = append(row, strconv.FormatFloat(v, 'g', 3, 64))
		}
		rows = append(rows, row)
	}
	return rows
}

func write(to io.Writer, rows [][]string, format string) {
	switch format {
	case "tsv":
		for _, row := range rows {
			_, _ = fmt.Fprintln(to, strings.Join(row, "\t"))
		}
	case "markdown":
		for i, row := range rows {
			_, _ = fmt.Fprintln(to, "| "+strings.Join(row, " | ")+" |")
			if i == 0 {
				_, _ = fmt.Fprintln(to, "| --- |"+strings.Repeat(" ---: |", len(row)-1))
			}
		}
	default:
		w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
		for _, row := range rows {
			_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
		}
		_ = w.Flush()
	}
}

// What a fleet costs its members, by size. It measures, and judges nothing: make scale.
func TestScale(t *testing.T) {
	if *sizes == "" {
		t.Skip("no -sizes are asked for")
	}
	guardMemory(t)
	var all []*figures
	for _, text := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 2 {
			t.Fatalf("-sizes: %q is no number of members", text)
		}
		fmt.Printf("%s: %s begin, load %s\n", time.Now().UTC().Format(time.DateTime), text, load())
		all = append(all, measureSize(t, Spec{Members: n, Links: asked(), Seed: 1}))
		write(os.Stdout, rowsOf(all[len(all)-1:]), "tsv") // should a larger size not come to its end
	}
	fmt.Printf("%s, %s, %d cores; all change their settings each %s, and one restarts, in the stretch with changes\n",
		time.Now().UTC().Format(time.DateTime), runtime.Version(), runtime.NumCPU(), changesEach)
	write(os.Stdout, rowsOf(all), *format)
	if len(all) > 1 {
		fmt.Println()
		write(os.Stdout, fitOf(all), *format)
	}
}
