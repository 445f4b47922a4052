package member

import (
	"os"
	"os/exec"
	"testing"
)

// A successor crashes before its program runs: the descriptor on which its own runtime polls was closed under it.
func TestStartOfAProgramLeavesTheRuntimeItsPoller(t *testing.T) {
	program, err := exec.LookPath("true")
	if err != nil {
		t.Fatal(err)
	}
	for range 60 {
		cmd := command(program, 3, nil)
		cmd.Env = append(os.Environ(), pollsFirst+"=1")
		cmd.Stdout, cmd.Stderr = nil, nil
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("%v\n%.400s", err, out)
		}
	}
}

// What a program is started with is what it was meant to have: descriptors from the first that is not kept on are closed.
func TestStartOfAProgramClosesWhatIsNotKept(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Close() }()
	for keep, want := range map[int]bool{3: false, 4: true} {
		cmd := command("/bin/sh", keep, []string{"-c", "[ -e /proc/self/fd/3 ]"})
		cmd.ExtraFiles = []*os.File{w}
		if held := cmd.Run() == nil; held != want {
			t.Errorf("with %d descriptors kept the program has the fourth: %t, want %t", keep, held, want)
		}
	}
	_ = w.Close()
}
