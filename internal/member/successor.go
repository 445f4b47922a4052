package member

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"pewterwheel/internal/stage"
)

// A change of program: this process starts its successor, which listens beside it and takes the callers from then on, and ends
// as after SIGTERM. The successor joins the fleet when this one has left it, under the same name and in a later life. What stays
// under this process's number is in guard.go.
const (
	// successionVariable of the environment says what a process succeeds to; it is taken out at once.
	successionVariable = "PEWTERWHEEL_SUCCESSION"
	// readyFile is the descriptor on which a successor says that it serves.
	readyFile = 3
	ready     = "serves\n"
	// servesWithin is how long a successor may take to serve.
	servesWithin = 20 * time.Second
	// doneFirst is how long this process goes on after its successor serves, so that what came of the act is told before it leaves.
	doneFirst = 100 * time.Millisecond
)

// succession is what a predecessor hands on.
type succession struct {
	Running   stage.Target // what the successor is to go by
	Installed string       // the program file that the installation starts
	Guarded   bool         // a guard stands by: whoever hands over next need not become one
	Told      bool         // the predecessor waits on readyFile
}

// SuccessorError is a successor that did not come to serve.
type SuccessorError struct {
	Program string
	Err     error
}

func (e *SuccessorError) Error() string {
	return fmt.Sprintf("fleet: the program %s did not come to serve: %v", e.Program, e.Err)
}
func (e *SuccessorError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *SuccessorError) Advice() string {
	return "Start that program by hand on this machine with config check, see that its file may be executed, and read what it logged."
}

// succeeds takes over what a predecessor handed on, if there was one.
func (t *together) succeeds() {
	t.heir.Installed, _ = os.Executable()
	text := os.Getenv(successionVariable)
	_ = os.Unsetenv(successionVariable) // it can be: the name is a good one
	if text == "" {
		return
	}
	if err := json.Unmarshal([]byte(text), &t.heir); err != nil {
		t.log.Error("what a predecessor handed on cannot be read", "error", err)
		return
	}
	t.running = t.heir.Running
	t.reader.GoBy(t.expand(t.running.Settings), nil)
	if t.heir.Told {
		t.tells = os.NewFile(readyFile, "predecessor")
	}
}

// serves tells the predecessor that callers are taken here from now on.
func (t *together) serves() {
	if t.tells != nil {
		_, _ = io.WriteString(t.tells, ready) // one that has gone is over anyway
		_ = t.tells.Close()
		t.tells = nil
	}
}

// program is the file that a target is to be served by, expanded.
func (t *together) program(to stage.Target) string {
	return cmp.Or(t.expand(to.Program), t.heir.Installed)
}

// succeed starts the program of a target in this process's place and returns once it serves; an error: it does not, it has been
// ended, and this process goes on.
func (t *together) succeed(to stage.Target) error {
	path := t.program(to)
	text, err := os.ReadFile(path)
	if err != nil {
		return &SuccessorError{path, err}
	}
	if to.ProgramDigest != 0 && xxhash.Sum64(text) != to.ProgramDigest {
		return &SuccessorError{path, errDigest}
	}
	heir, err := json.Marshal(succession{to, t.heir.Installed, true, true})
	if err != nil {
		return &SuccessorError{path, err}
	}
	if !t.heir.Guarded {
		// Whoever hands over after this one is then a child of this process's, and not of the machine's first.
		if err := unix.Prctl(unix.PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0); err != nil {
			return &SuccessorError{path, err}
		}
	}
	hears, tells, err := os.Pipe()
	if err != nil {
		return &SuccessorError{path, err}
	}
	defer func() { _ = hears.Close() }()
	cmd := exec.Command(path, os.Args[1:]...)
	cmd.Env = append(os.Environ(), successionVariable+"="+string(heir))
	cmd.Stdout, cmd.Stderr, cmd.ExtraFiles = os.Stdout, os.Stderr, []*os.File{tells}
	err = cmd.Start()
	_ = tells.Close() // the successor has its own
	if err != nil {
		return &SuccessorError{path, err}
	}
	t.log.Info("a successor is started", "program", path, "process", cmd.Process.Pid, "change", to.Change)
	_ = hears.SetReadDeadline(time.Now().Add(servesWithin))
	line, err := bufio.NewReader(hears).ReadString('\n')
	if err != nil || line != ready {
		_ = cmd.Process.Kill() // it may have ended by itself
		_, _ = cmd.Process.Wait()
		if errors.Is(err, io.EOF) || err == nil {
			err = errEnded
		}
		return &SuccessorError{path, err}
	}
	t.mu.Lock()
	t.successor = cmd.Process.Pid
	t.mu.Unlock()
	t.log.Info("a successor serves", "program", path, "process", cmd.Process.Pid, "change", to.Change)
	time.AfterFunc(doneFirst, func() { t.ends <- syscall.SIGTERM })
	return nil
}

var errEnded = errors.New("it ended before it served")

// apart tells whether a target's program is another than that which this process runs.
func (t *together) apart(to stage.Target) bool {
	now := t.runningNow()
	return t.program(to) != t.program(now) || to.ProgramDigest != 0 && now.ProgramDigest != 0 && to.ProgramDigest != now.ProgramDigest
}

// whole puts into a target what it leaves as it is concluded: a change of settings alone keeps the program, and the other way.
func (t *together) whole(to stage.Target) stage.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	if to.Program == "" {
		to.Program, to.ProgramDigest = t.concluded.Program, t.concluded.ProgramDigest
	}
	if to.Settings == "" {
		to.Settings, to.SettingsDigest = t.concluded.Settings, t.concluded.SettingsDigest
	}
	return to
}
