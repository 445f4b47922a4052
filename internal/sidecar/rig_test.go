package sidecar

import (
	"errors"
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
	"pewterwheel/internal/standin"
)

// patience is only for a broken program: nothing is judged by how fast it comes.
const patience = 30 * time.Second

// serveBy names the file by which this test program serves as a sidecar, in place of testing: each sidecar is a process
// of its own, as in service.
const serveBy = "PEWTERWHEEL_TEST_SIDECAR"

func TestMain(m *testing.M) {
	if path := os.Getenv(serveBy); path != "" {
		if err := Serve(Options{Path: path}, os.Stderr); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// running is a sidecar that serves from a file.
type running struct {
	config.Sidecar
	path  string
	cmd   *exec.Cmd
	ended chan error
	log   *lockedLog
}

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

// start starts a sidecar from a file's text and waits until it serves.
func start(t testing.TB, dir string, f config.File) *running {
	t.Helper()
	s := &running{path: filepath.Join(dir, f.Name), ended: make(chan error, 1), log: &lockedLog{}}
	s.put(t, f.Text)
	var err error
	if s.Sidecar, err = NewReader(s.path, nil).Settings(); err != nil {
		t.Fatalf("%v\n%s", err, f.Text)
	}
	s.cmd = exec.Command(os.Args[0])
	s.cmd.Env = append(os.Environ(), serveBy+"="+s.path)
	s.cmd.Stderr = s.log
	if err := s.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.cmd.Process.Kill() }) // for a test that fails before it stops it
	go func() { s.ended <- s.cmd.Wait() }()
	for by := time.Now().Add(patience); !strings.HasPrefix(s.ask("READY"), "200 "); time.Sleep(2 * time.Millisecond) {
		select {
		case err := <-s.ended:
			t.Fatalf("the sidecar ended: %v\n%s\n%s", err, s.log, f.Text)
		default:
		}
		if time.Now().After(by) {
			t.Fatalf("the sidecar does not serve\n%s", s.log)
		}
	}
	return s
}

// put replaces the file as config write does.
func (s *running) put(t testing.TB, text []byte) {
	t.Helper()
	if err := os.WriteFile(s.path+".new", text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(s.path+".new", s.path); err != nil {
		t.Fatal(err)
	}
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

// figure reads one figure of STATS.
func (s *running) figure(name string) int {
	_, rest, _ := strings.Cut(s.ask("STATS"), "app."+name+":")
	n := 0
	_, _ = fmt.Sscanf(rest, "%d", &n)
	return n
}

// reload puts a new text in place and waits until the sidecar has read it, or refused it.
func (s *running) reload(t testing.TB, text []byte) {
	t.Helper()
	s.put(t, text)
	before := s.figure("config_reloads") + s.figure("config_reload_errors")
	s.signal(t, syscall.SIGHUP)
	for by := time.Now().Add(patience); s.figure("config_reloads")+s.figure("config_reload_errors") == before; time.Sleep(time.Millisecond) {
		if time.Now().After(by) {
			t.Fatal("the sidecar does not reload")
		}
	}
}

func (s *running) signal(t testing.TB, sig os.Signal) {
	t.Helper()
	if err := s.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		t.Error(err)
	}
}

// stop ends a sidecar; it must end with all answered.
func (s *running) stop(t testing.TB) {
	t.Helper()
	s.signal(t, syscall.SIGTERM)
	select {
	case err := <-s.ended:
		if err != nil {
			t.Errorf("the sidecar ended with %v\n%s", err, s.log)
		}
	case <-time.After(patience):
		t.Errorf("SIGTERM did not end the sidecar\n%s", s.log)
	}
}

// pass makes one call of each class and wants it answered.
func (s *running) pass(t testing.TB, book *standin.Book) {
	t.Helper()
	caller, err := standin.Dial(s.Application.Listener.String(), book, 10*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	for _, c := range s.Classes {
		before := book.Sums().Answered
		select {
		case <-caller.Call(c.Name, time.Duration(c.Deadline)*time.Microsecond):
		case <-time.After(patience):
			t.Fatalf("no final answer\n%s", s.log)
		}
		if book.Sums().Answered != before+1 {
			t.Fatalf("a call of class %s was not answered\n%s", c.Name, s.log)
		}
	}
}

// sound fails the test if a rule was broken.
func sound(t testing.TB, book *standin.Book) {
	t.Helper()
	book.Settle()
	for _, b := range book.Broken() {
		t.Error(b)
	}
}
