package member

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pewterwheel/internal/config"
	"pewterwheel/internal/sidecar"
	"pewterwheel/internal/standin"
)

// patience is only for a broken program: nothing is judged by how fast it comes.
const patience = 30 * time.Second

// serveBy names the file by which this test program serves as a member, in place of testing.
const serveBy = "PEWTERWHEEL_TEST_MEMBER_FILE"

// pollsFirst has this test program wait on descriptors, by many goroutines, before it does anything else.
const pollsFirst = "PEWTERWHEEL_TEST_POLLS_FIRST"

func TestMain(m *testing.M) {
	if os.Getenv(pollsFirst) != "" {
		pollDescriptors()
	}
	if code, ok := Special(os.Args[1:]); ok {
		os.Exit(code)
	}
	if path := os.Getenv(serveBy); path != "" {
		sidecar.Join = Join
		if err := sidecar.Serve(sidecar.Options{Path: path, Member: os.Getenv(sidecar.MemberVariable)}, os.Stderr); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// pollDescriptors has goroutines wait on pipes, and be woken again and again, so that the runtime's poller is at work.
func pollDescriptors() {
	for range 8 {
		r, w, err := os.Pipe()
		if err != nil {
			continue
		}
		go func() {
			for {
				_, _ = w.Write([]byte{0})
				_, _ = r.Read(make([]byte, 1))
			}
		}()
	}
	time.Sleep(5 * time.Millisecond)
}

// lockedLog takes what a process logs.
type lockedLog struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *lockedLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}
func (l *lockedLog) String() string { l.mu.Lock(); defer l.mu.Unlock(); return l.b.String() }

// running is a member that serves from a file.
type running struct {
	config.Sidecar
	path  string
	cmd   *exec.Cmd
	ended chan error
	log   *lockedLog
}

func start(t testing.TB, dir string, f config.File, name string) *running {
	t.Helper()
	s := &running{path: filepath.Join(dir, f.Name), ended: make(chan error, 1), log: &lockedLog{}}
	if err := os.WriteFile(s.path, f.Text, 0o600); err != nil {
		t.Fatal(err)
	}
	var err error
	if s.Sidecar, err = sidecar.NewReader(s.path, nil).Settings(); err != nil {
		t.Fatalf("%v\n%s", err, f.Text)
	}
	s.cmd = exec.Command(os.Args[0])
	s.cmd.Env = append(os.Environ(), serveBy+"="+s.path, sidecar.MemberVariable+"="+name)
	s.cmd.Stderr = s.log
	if err := s.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.cmd.Process.Kill() }) // for a test that fails before it stops it
	go func() { s.ended <- s.cmd.Wait() }()
	until(t, "service by "+name, func() bool { return strings.HasPrefix(s.ask("READY"), "200 ") })
	return s
}

func (s *running) ask(line string) string {
	conn, err := net.DialTimeout("tcp4", s.Application.Control.String(), time.Second)
	if err != nil {
		return ""
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(patience))
	_, _ = conn.Write([]byte(line + "\n"))
	text, _ := io.ReadAll(conn)
	return string(text)
}

// gauge reads one figure of STATS; -1: it is not there.
func (s *running) gauge(name string) int {
	n := -1
	if _, rest, ok := strings.Cut(s.ask("STATS"), "app."+name+":"); ok {
		_, _ = fmt.Sscanf(rest, "%d", &n)
	}
	return n
}

func (s *running) stop(t testing.TB) {
	t.Helper()
	_ = s.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-s.ended:
		if err != nil {
			t.Fatalf("%v\n%s", err, s.log)
		}
	case <-time.After(patience):
		t.Fatalf("the member does not end\n%s", s.log)
	}
}

// pass makes one call.
func (s *running) pass(t testing.TB, book *standin.Book) {
	t.Helper()
	c, err := standin.Dial(s.Application.Listener.String(), book, 10*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	select {
	case <-c.Call("sale-auth", 6*time.Second):
	case <-time.After(patience):
		t.Fatalf("no final answer\n%s", s.log)
	}
}

// until waits for something that must come.
func until(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for by := time.Now().Add(patience); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(by) {
			t.Fatalf("%s did not come", what)
		}
	}
}
