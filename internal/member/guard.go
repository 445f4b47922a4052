package member

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"pewterwheel/internal/advice"
	"pewterwheel/internal/agent"
	"pewterwheel/internal/guard"
	"pewterwheel/internal/stage"
)

// GuardWord is the command that a process becomes which has handed over: guard CONCLUDED INSTALLED WORDS...
const GuardWord = "guard"

// startWord is the command as which a program file is started: start FILES PROGRAM WORDS... Connections that the engine holds are
// not closed where one program starts another. Guards against callers and offices that wait on connections nobody serves.
const startWord = "start-program"

// Special carries out the commands that only processes give to each other; false: it is none of them.
func Special(args []string) (code int, ok bool) {
	switch {
	case len(args) > 0 && args[0] == GuardWord:
		return Guard(args[1:]), true
	case len(args) > 2 && args[0] == startWord:
		keep, err := strconv.Atoi(args[1])
		if err == nil {
			// At the exec, not now: the runtime of this process has descriptors of its own, without which it ends.
			err = unix.CloseRange(uint(keep), math.MaxInt32, unix.CLOSE_RANGE_CLOEXEC)
		}
		if err == nil {
			err = syscall.Exec(args[2], args[2:], os.Environ())
		}
		fmt.Fprintln(os.Stderr, "pewterwheel:", args[2]+":", err)
		return 1, true
	}
	return 0, false
}

// command starts a program file with this process's words, with its descriptors below keep and no others.
func command(path string, keep int, words []string) *exec.Cmd {
	cmd := exec.Command("/proc/self/exe", append([]string{startWord, strconv.Itoa(keep), path}, words...)...)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	return cmd
}

// stand makes this process the guard of its successor, if it has one and nobody else is. It does not return then.
func (t *together) stand() {
	t.mu.Lock()
	successor := t.successor
	t.mu.Unlock()
	if successor == 0 || t.heir.Guarded {
		return
	}
	// A signal that comes while the program changes would end it; until the guard listens it is lost, and comes again or a kill does.
	signal.Ignore(syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1)
	args := append([]string{os.Args[0], GuardWord, t.file, t.heir.Installed}, os.Args[1:]...)
	_ = unix.CloseRange(3, math.MaxInt32, unix.CLOSE_RANGE_CLOEXEC) // where the system has no such call they stay open
	// The file that this process runs may have been replaced where it lay.
	if err := syscall.Exec("/proc/self/exe", args, os.Environ()); err != nil {
		t.log.Error("this process ends, and its successor has no guard", "process", successor, "error", err)
	}
}

// Guard is the process that stays: it passes signals on to the process that serves, and starts the concluded version if that dies.
// It returns the exit code.
func Guard(args []string) int {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if len(args) < 2 {
		log.Error("a guard is made by a process that hands over, and not by hand")
		return 2
	}
	concluded, installed, words := args[0], args[1], args[2:]
	signals := make(chan os.Signal, 64)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGCHLD)
	if err := unix.Prctl(unix.PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0); err != nil {
		log.Error("successors of the successor will not be seen", "error", err)
	}
	log.Info("standing by", "children", children())
	g := guard.New(agent.Monotonic())
	start := time.NewTimer(time.Hour)
	start.Stop()
	// Deaths of before the signals were asked for are looked for, too.
	look := time.NewTicker(time.Second)
	defer look.Stop()
	step := func(s guard.Step) (over bool) {
		if s.ScheduleStart {
			start.Reset(time.Duration(max(0, s.StartAt-agent.Monotonic())) * time.Microsecond)
		}
		return s.Exit
	}
	for {
		select {
		case sig := <-signals:
			switch sig {
			case syscall.SIGCHLD:
			case syscall.SIGTERM, syscall.SIGINT:
				start.Stop()
				alive := pass(syscall.SIGTERM)
				if s := g.Stop(alive); step(s) {
					return s.Code
				}
			default:
				pass(sig.(syscall.Signal))
			}
		case <-look.C:
		case <-start.C:
			program, err := begin(concluded, installed, words)
			if err != nil {
				log.Error("the concluded version cannot be started", "program", program, "error", err, advice.Attr(err))
			} else {
				log.Warn("the concluded version is started", "program", program, "deaths", g.UnexpectedExits)
			}
			step(g.Started(agent.Monotonic(), err == nil))
		}
		for {
			var status syscall.WaitStatus
			pid, err := syscall.Wait4(-1, &status, syscall.WNOHANG, nil)
			if err != nil || pid <= 0 {
				break
			}
			clean := status.Exited() && status.ExitStatus() == 0
			log.Info("a process has ended", "process", pid, "clean", clean, "status", fmt.Sprint(uint32(status)))
			if s := g.Ended(agent.Monotonic(), clean, len(children()) > 0); step(s) {
				return s.Code
			}
		}
	}
}

// children are the processes that serve, or end, under this one.
func children() []int {
	lists, _ := filepath.Glob("/proc/self/task/*/children")
	var pids []int
	for _, list := range lists {
		text, err := os.ReadFile(list)
		if err != nil {
			continue // the thread has gone
		}
		for _, f := range strings.Fields(string(text)) {
			if pid, err := strconv.Atoi(f); err == nil && !dead(pid) {
				pids = append(pids, pid)
			}
		}
	}
	return pids
}

// dead tells whether a child has ended and waits to be heard of.
func dead(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return true
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	return strings.HasPrefix(rest, "Z") || strings.HasPrefix(rest, "X")
}

// pass hands a signal to the processes that serve or end; false: there is none.
func pass(sig syscall.Signal) bool {
	all := children()
	for _, pid := range all {
		_ = syscall.Kill(pid, sig) // one that has just ended needs none
	}
	return len(all) > 0
}

// outcome is what the file of the concluded change holds.
type outcome struct {
	stage.Target
	Serves string `json:",omitempty"` // the program file, with this process's names in it
}

// begin starts what was concluded last: never the version of a change that is not.
func begin(concluded, installed string, words []string) (program string, err error) {
	program = installed
	var last outcome
	if text, err := os.ReadFile(concluded); err == nil && json.Unmarshal(text, &last) == nil && last.Serves != "" {
		if text, err := os.ReadFile(last.Serves); err == nil && (last.ProgramDigest == 0 || xxhash.Sum64(text) == last.ProgramDigest) {
			program = last.Serves
		}
	}
	heir, err := json.Marshal(succession{last.Target, installed, true, false})
	if err != nil {
		return program, &SuccessorError{program, err}
	}
	cmd := command(program, 3, words)
	cmd.Env = append(os.Environ(), successionVariable+"="+string(heir))
	if err := cmd.Start(); err != nil {
		return program, &SuccessorError{program, err}
	}
	return program, nil
}
