// Package chaindelay measures what session controllers add to a call: the delay through one of them and through several
// in a row, against a direct connection to the same stand-in office, and the processor time and memory of one on the
// path of calls. Each controller is a process of the built program, on loopback addresses. All of it is test code.
package chaindelay

import (
	"encoding/binary"
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"pewterwheel/internal/demo"
	"pewterwheel/internal/standin"
)

const (
	className = "sale-auth"
	// patience bounds what comes only in a broken program.
	patience = 20 * time.Second
	// journalEvery is how often the journal service sends an empty frame; without one for 2.2 s it is given up.
	journalEvery = 500 * time.Millisecond
)

// program is the path of the built program.
var program string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "chaindelay-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "pewterwheel")
	build := exec.Command("go", "build", "-o", program, "pewterwheel/cmd/pewterwheel")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "the program does not build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// configuration is a controller's file; the verbs are name, listener, second address, journal service and office.
const configuration = `{"name":"%s","listen":"%s","control":"%s","seed":"8c1f30d27a5be964",
"limits":{"cores":1,"memory_mb":256,"sockets":256},"journal":"%s",
"known":{"pos":3,"entries":[{"pos":3,"hosts":{"whole":true,"hosts":[
{"host":"s-00000001","dial":"%s","block":0,"health":"SERVING","share":1}]}}]},
"settings":{"balancers":1,"quantum_us":5000,"classes":[
{"name":"sale-auth","aim_us":800000,"deadline_us":6000000,"importance":6,"effect":"free"}],
"family_info":{"guard_us":200000,"resend_us":500000},
"policy_limits":{"may_cancel":true,"most_tries":6,"retry_after":true,"max_retry_after_us":2000000}}}`

// controller is a process of the program.
type controller struct {
	command *exec.Cmd
	listen  string
}

// startController starts a controller in front of one office and waits until it serves. It ends with the test.
func startController(t *testing.T, name, office string) *controller {
	t.Helper()
	dir := t.TempDir()
	listen, control := freeAddress(), freeAddress()
	path := filepath.Join(dir, name+".json")
	text := fmt.Sprintf(configuration, name, listen, control, startJournal(t), office)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	command := exec.Command(program)
	command.Env = append(os.Environ(), "BALANCER_CONFIG="+path)
	command.Stdout = log
	command.Stderr = log
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	for limit := time.Now().Add(patience); !demo.Ask(control, "READY"); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(limit) {
			text, _ := os.ReadFile(log.Name())
			t.Fatalf("%s does not serve:\n%s", name, text)
		}
	}
	return &controller{command: command, listen: listen}
}

func freeAddress() string { return fmt.Sprintf("127.0.0.1:%d", standin.FreePort()) }

// listenHere listens on a loopback address until the end of the test.
func listenHere(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// startJournal starts a journal service that has nothing new to tell, and returns its address.
func startJournal(t *testing.T) string {
	t.Helper()
	listener := listenHere(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // closed
			}
			go sendEmptyFrames(conn)
		}
	}()
	return listener.Addr().String()
}

// sendEmptyFrames tells every while that event 3 is the last, until the connection ends.
func sendEmptyFrames(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	frame := append(binary.BigEndian.AppendUint64([]byte{0, 0, 0, 9}, 3), 0)
	for {
		if _, err := conn.Write(frame); err != nil {
			return
		}
		time.Sleep(journalEvery)
	}
}

// startOffice starts a stand-in office that answers at once.
func startOffice(t *testing.T, book *standin.Book) *standin.Office {
	t.Helper()
	office, err := standin.NewOffice("office", "127.0.0.1:0", book, standin.Script{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(office.Close)
	return office
}

// startChain starts controllers in a row before an office, with a relay between each two, the last one first. It returns
// them in the order in which a call passes them.
func startChain(t *testing.T, office string, depth int) []*controller {
	t.Helper()
	chain := make([]*controller, depth)
	next := office
	for i := depth - 1; i >= 0; i-- {
		if i < depth-1 {
			next = startRelay(t, next)
		}
		chain[i] = startController(t, fmt.Sprintf("c%d", i+1), next)
		next = chain[i].listen
	}
	return chain
}
