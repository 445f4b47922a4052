package standin

import (
	"fmt"
	"os"
	"strconv"

	"golang.org/x/sys/unix"
)

// Pin lets this process run on one core alone: each of its threads, and so those that they make.
func Pin(core int) error {
	var set unix.CPUSet
	set.Set(core)
	for range 2 { // one may have been made while the first were pinned
		tasks, err := os.ReadDir("/proc/self/task")
		if err != nil {
			return fmt.Errorf("pin: %w", err)
		}
		for _, task := range tasks {
			id, err := strconv.Atoi(task.Name())
			if err != nil {
				continue
			}
			if err := unix.SchedSetaffinity(id, &set); err != nil {
				return fmt.Errorf("pin to core %d: %w", core, err)
			}
		}
	}
	return nil
}

// FirstCore is the first core on which this process may run.
func FirstCore() int {
	var allowed unix.CPUSet
	if err := unix.SchedGetaffinity(0, &allowed); err == nil {
		for core := range len(allowed) * 64 {
			if allowed.IsSet(core) {
				return core
			}
		}
	}
	return 0
}
