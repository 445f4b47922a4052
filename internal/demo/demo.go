// Package demo shows two sidecars at work: it writes their configuration from the examples, starts stand-in offices and
// the program itself, passes calls while the configuration changes, and judges what it saw.
package demo

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"pewterwheel/internal/config"
	"pewterwheel/internal/standin"
)

// Options are what a demo is run by.
type Options struct {
	Program string        // the program, whose sidecar command is started
	Files   []config.File // the site's file, then the declarations
	Calls   int
	Dir     string // for configuration and logs; empty: one of its own
	Put     func(dir string, files []config.File) error
	Out     io.Writer
}

// Read reads the examples, the site's file first.
func Read(from fs.FS, dir string) ([]config.File, error) {
	entries, err := fs.ReadDir(from, dir)
	if err != nil {
		return nil, err
	}
	var files []config.File
	for _, e := range entries {
		text, err := fs.ReadFile(from, dir+"/"+e.Name())
		if err != nil {
			return nil, err
		}
		f := config.File{Name: e.Name(), Text: text}
		if e.Name() == "site.ini" {
			files = append([]config.File{f}, files...)
		} else {
			files = append(files, f)
		}
	}
	return files, nil
}

// world is what the demo has started.
type world struct {
	Options
	book     *standin.Book
	offices  map[string]*standin.Office // by address
	names    []string                   // addresses, in order
	settings []config.Sidecar           // of each application
	sidecars []*exec.Cmd
	callers  []*standin.Caller
	begin    time.Time
}

// patience is only for a broken program.
const patience = 20 * time.Second

// Run runs the demo.
func Run(o Options) error {
	w := &world{Options: o, book: standin.NewBook(), offices: map[string]*standin.Office{}}
	if w.Dir == "" {
		dir, err := os.MkdirTemp("", "pewterwheel-demo-")
		if err != nil {
			return err
		}
		w.Dir = dir
		defer func() { _ = os.RemoveAll(dir) }()
	}
	defer w.stop()
	if err := w.write(); err != nil {
		return err
	}
	for _, h := range w.settings[0].Hosts {
		if err := w.office(h.Name, h.Address.String()); err != nil {
			return err
		}
	}
	for _, s := range w.settings {
		if err := w.sidecar(s); err != nil {
			return err
		}
	}
	if err := w.play(); err != nil {
		return err
	}
	return w.judge()
}

func (w *world) say(format string, args ...any) { fmt.Fprintf(w.Out, format+"\n", args...) }

// write writes the sidecars' files from what the world's files say now.
func (w *world) write() error {
	written, found := config.Write(w.Files[0], w.Files[1:])
	for _, f := range found {
		w.say("%s", f)
	}
	if found.Errors() > 0 {
		return errors.New("the configuration was refused")
	}
	w.settings = nil
	for _, f := range written {
		r := config.Check([]config.File{f})
		s, err := r.Documents[0].Sidecar()
		if err != nil {
			return err
		}
		w.settings = append(w.settings, s)
		path := filepath.Join(w.Dir, f.Name)
		if old, err := os.ReadFile(path); err == nil {
			for _, c := range config.Diff(config.Check([]config.File{{Name: path, Text: old}}).Documents[0], r.Documents[0]) {
				w.say("    %s: %s", f.Name, c)
			}
		} else {
			w.say("wrote and checked %s: %d classes, %d pools, %d hosts", f.Name, len(s.Classes), len(s.Pools), len(s.Hosts))
		}
	}
	return w.Put(w.Dir, written)
}

func (w *world) office(name, address string) error {
	s := w.settings[0]
	work := 5 * time.Millisecond
	for _, h := range s.Hosts {
		for _, p := range s.Pools {
			if h.Address.String() == address && p.Name == h.Pool {
				n := 0
				for _, o := range s.Hosts {
					if o.Pool == p.Name {
						n++
					}
				}
				work = time.Duration(float64(time.Second) * float64(n) / p.Rate)
			}
		}
	}
	o, err := standin.NewOffice(name, address, w.book, standin.Script{Work: work, Queue: time.Second})
	if err != nil {
		return err
	}
	w.offices[address] = o
	w.names = append(w.names, address)
	return nil
}

// sidecar starts a sidecar and waits until it serves.
func (w *world) sidecar(s config.Sidecar) error {
	name := s.Application.Name
	log, err := os.Create(filepath.Join(w.Dir, name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the child has its own
	c := exec.Command(w.Program, "sidecar", "--config", filepath.Join(w.Dir, config.FileName(name)))
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	w.sidecars = append(w.sidecars, c)
	for by := time.Now().Add(patience); ; time.Sleep(20 * time.Millisecond) {
		if Ask(s.Application.Control.String(), "READY") {
			break
		}
		if time.Now().After(by) {
			text, _ := os.ReadFile(log.Name())
			return fmt.Errorf("the sidecar of %s does not serve:\n%s", name, text)
		}
	}
	w.say("sidecar of %s serves at %s, process %d", name, s.Application.Listener, c.Process.Pid)
	return nil
}

// Ask asks a sidecar's second address; it tells whether the answer is yes.
func Ask(address, line string) bool {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write([]byte(line + "\n")); err != nil {
		return false
	}
	answer, _ := io.ReadAll(conn)
	return strings.HasPrefix(string(answer), "200 ")
}

// play passes the calls, and changes the configuration twice meanwhile.
func (w *world) play() error {
	total, classes := 0.0, 0
	for _, s := range w.settings {
		for _, c := range s.Classes {
			total += c.Rate
			classes++
		}
	}
	w.begin = time.Now()
	left := w.Calls
	long := time.Duration(float64(w.Calls) / total * float64(time.Second))
	stop := make(chan struct{})
	defer close(stop)
	for _, s := range w.settings {
		for _, c := range s.Classes {
			n := int(float64(w.Calls) * c.Rate / total)
			if classes--; classes == 0 {
				n = left
			}
			left -= n
			caller, err := standin.Dial(s.Application.Listener.String(), w.book, time.Second)
			if err != nil {
				return err
			}
			w.callers = append(w.callers, caller)
			caller.Offer(c.Name, time.Duration(c.Deadline)*time.Microsecond, c.Rate, n, stop)
		}
	}
	if err := w.until(long / 4); err != nil {
		return err
	}
	drained, replaced := w.settings[0].Hosts[1], w.settings[0].Hosts[2]
	w.say("%s drains", drained.Name)
	if err := w.change("[host "+drained.Name+"]\n", "[host "+drained.Name+"]\nstate = draining\n"); err != nil {
		return err
	}
	w.offices[drained.Address.String()].Drained(true)
	if err := w.until(long / 2); err != nil {
		return err
	}
	at := spare(replaced.Address.String(), w.offices)
	w.say("%s is replaced by one at %s, which is cold", replaced.Name, at)
	old := replaced.Address.String()
	if err := w.office(replaced.Name, at); err != nil {
		return err
	}
	rules := w.settings[0].Rules
	w.offices[at].Cold(standin.Bound{Start: rules.StartCapacity, Cold: time.Duration(rules.Cold) * time.Microsecond,
		Multiple: rules.ColdMultiple, Fall: time.Duration(rules.Fall) * time.Microsecond})
	if err := w.change("address = "+old, "address = "+at); err != nil {
		return err
	}
	w.offices[old].Drained(true)
	if err := w.until(long); err != nil {
		return err
	}
	for _, c := range w.callers {
		if !c.Wait(patience) {
			break // the book says which calls
		}
	}
	time.Sleep(1500 * time.Millisecond) // the last calls stand for a second
	w.progress()
	return nil
}

// spare is an address for one more office: the next port that no office has.
func spare(address string, taken map[string]*standin.Office) string {
	host, port, _ := net.SplitHostPort(address)
	for n, _ := net.LookupPort("tcp", port); ; n++ {
		if at := net.JoinHostPort(host, fmt.Sprint(n)); taken[at] == nil {
			if l, err := net.Listen("tcp4", at); err == nil {
				_ = l.Close()
				return at
			}
		}
	}
}

// change edits the site's file, writes the sidecars' files anew and tells both sidecars.
func (w *world) change(from, to string) error {
	w.Files[0].Text = []byte(strings.Replace(string(w.Files[0].Text), from, to, 1))
	if err := w.write(); err != nil {
		return err
	}
	for _, c := range w.sidecars {
		if err := c.Process.Signal(syscall.SIGHUP); err != nil {
			return err
		}
	}
	return nil
}

// until waits until so long after the begin, and shows how far it is.
func (w *world) until(after time.Duration) error {
	for left := time.Until(w.begin.Add(after)); left > 0; left = time.Until(w.begin.Add(after)) {
		time.Sleep(min(left, time.Second))
		w.progress()
	}
	return nil
}

func (w *world) progress() {
	c := w.book.Sums()
	w.say("  %4.1f s  %5d calls, %5d answered, %3d refused, %3d failed, %5d attempts", time.Since(w.begin).Seconds(), c.Offered,
		c.Answered, c.Refused, c.Failed, c.Attempts)
}

// judge prints what happened and tells whether all was well.
func (w *world) judge() error {
	w.book.Settle()
	var bad []string
	for i, c := range w.sidecars {
		_ = c.Process.Signal(syscall.SIGTERM)
		if err := c.Wait(); err != nil {
			bad = append(bad, fmt.Sprintf("the sidecar of %s ended with %v", w.settings[i].Application.Name, err))
		}
	}
	w.sidecars = nil
	t := tabwriter.NewWriter(w.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "\noffice\taddress\tset-ups\tstill standing\n")
	for _, at := range w.names {
		o := w.offices[at]
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\n", o.Name, at, o.Taken(), o.Standing())
	}
	c := w.book.Sums()
	fmt.Fprintf(t, "\ncalls\t%d\nanswered\t%d\nrefused\t%d\nfailed\t%d\nattempts\t%d\nrules broken\t%d\n", c.Offered, c.Answered, c.Refused,
		c.Failed, c.Attempts, len(w.book.Broken()))
	_ = t.Flush()
	bad = append(bad, w.book.Broken()...)
	if c.Offered != w.Calls {
		bad = append(bad, fmt.Sprintf("%d calls were offered, and %d were to be", c.Offered, w.Calls))
	}
	if c.Answered+c.Refused+c.Failed != c.Offered {
		bad = append(bad, fmt.Sprintf("%d calls had %d final answers", c.Offered, c.Answered+c.Refused+c.Failed))
	}
	if c.Answered < c.Offered/2 {
		bad = append(bad, "less than half of the calls were set up")
	}
	if len(bad) > 0 {
		return errors.New(strings.Join(bad, "\n"))
	}
	w.say("\neach call had exactly one final answer, and no rule was broken")
	return nil
}

func (w *world) stop() {
	for _, c := range w.callers {
		c.Close()
	}
	for _, c := range w.sidecars {
		_ = c.Process.Kill()
		_ = c.Wait()
	}
	for _, o := range w.offices {
		o.Close()
	}
}
