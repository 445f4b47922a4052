//go:build review

// Command rig2 plays the cases of the second review: it starts the project's programs by the deploy file's commands, and is
// their clients, offices and journal service, on loopback.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	unrun  = 2

	usage = "usage: review-2 CASE FOLDER, from the root"
	// longest is how long a case may take.
	longest = 115 * time.Second
)

var current *site

// fail ends a run that could not be played.
func fail(format string, args ...any) {
	fmt.Printf("could not run: "+format+"\n", args...)
	if current != nil {
		current.end()
		_ = os.RemoveAll(current.dir)
	}
	os.Exit(unrun)
}

// trouble tells whether the disruption is played.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

var cases = map[string]func(s *site) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fail(usage)
	}
	root, err := os.Getwd()
	if err != nil {
		fail("%v", err)
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fail("%v", err)
	}
	s := &site{b: newBook(os.Args[2]), root: root, dir: dir, listen: freeAddress(), fleet: 7, idle: 600e9}
	current = s
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-asked:
			fail("asked to end")
		case <-time.After(longest):
			fail("over %v", longest)
		}
	}()
	ok := cases[os.Args[1]](s)
	if s.crashed() {
		s.b.say("a session controller ended unasked")
		ok = false
	}
	s.end()
	if logs, _ := filepath.Glob(filepath.Join(dir, "*.log")); os.Getenv("KEEP_LOGS") != "" {
		for _, l := range logs {
			text, _ := os.ReadFile(l)
			fmt.Printf("--- %s\n%s", filepath.Base(l), text)
		}
	}
	_ = os.RemoveAll(dir)
	if !ok {
		s.b.say("the rule was broken")
		os.Exit(broken)
	}
	s.b.say("the rule held")
	os.Exit(held)
}
