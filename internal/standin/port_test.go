package standin

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// handOut has this test program hand out so many ports, say which, and wait for the end of its input, in place of testing.
const handOut = "PEWTERWHEEL_TEST_PORTS"

func TestMain(m *testing.M) {
	var n int
	if _, err := fmt.Sscan(os.Getenv(handOut), &n); err == nil {
		for range n {
			fmt.Println(FreePort())
		}
		fmt.Println("over")
		_, _ = fmt.Scanln()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// Programs of one name that run side by side hand out ports of their own: none that another has handed out, too, though
// nobody listens on it yet.
func TestPortsOfProgramsSideBySide(t *testing.T) {
	const programs, each = 4, 400
	by := map[string]int{}
	for i := range programs {
		c := exec.Command(os.Args[0])
		c.Env = append(os.Environ(), fmt.Sprint(handOut, "=", each))
		in, err := c.StdinPipe()
		if err != nil {
			t.Fatal(err)
		}
		out, err := c.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = in.Close(); _ = c.Wait() })
		for {
			var port string
			if _, err := fmt.Fscanln(out, &port); err != nil {
				t.Fatal(err)
			}
			if port == "over" {
				break
			}
			if other, taken := by[port]; taken {
				t.Fatalf("%s was handed out by programs %d and %d", port, other, i)
			}
			by[port] = i
		}
	}
	if len(by) != programs*each {
		t.Errorf("%d ports, %d are wanted", len(by), programs*each)
	}
}

// A program that needs more ports than its blocks have goes round them, past those on which somebody listens.
func TestPortsGoRound(t *testing.T) {
	first := FreePort()
	l, err := listen(first)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	for range mostBlocks * inBlock {
		if FreePort() == first {
			t.Fatal("a port on which somebody listens was handed out")
		}
	}
	if len(ours.first) > mostBlocks {
		t.Errorf("%d blocks are held", len(ours.first))
	}
}
