package standin

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// Ports that are handed out are below those that the system gives to connections, in blocks. A port that was free a
// moment ago must not be somebody's by the time it is listened on.
const firstPort, blocks, inBlock = 12_000, 60, 300

// mostBlocks of one process leave some to others that run beside it; a process that needs more ports goes round its own.
const mostBlocks = 12

// ours are the blocks that this process holds, by listening on the first port of each until it ends: two programs that
// run side by side, even of one name, never hand out the same port.
var ours struct {
	sync.Mutex
	held   []net.Listener
	first  []int // ports of the blocks
	handed int
}

// FreePort is a loopback port on which nobody listens.
func FreePort() int {
	ours.Lock()
	defer ours.Unlock()
	for range blocks * inBlock {
		at := ours.handed / (inBlock - 1)
		if at >= len(ours.first) && !hold() {
			if ours.handed = 0; len(ours.first) == 0 {
				break
			}
			at = 0
		}
		n := ours.first[at] + 1 + ours.handed%(inBlock-1)
		ours.handed++
		if l, err := listen(n); err == nil {
			_ = l.Close() // nobody came
			return n
		}
	}
	panic("no port is free")
}

// hold takes one more block; false: there is none for this process.
func hold() bool {
	for i := range blocks {
		if len(ours.first) == mostBlocks {
			break
		}
		first := firstPort + (os.Getpid()+i)%blocks*inBlock
		if l, err := listen(first); err == nil {
			ours.held, ours.first = append(ours.held, l), append(ours.first, first)
			return true
		}
	}
	return false
}

func listen(port int) (net.Listener, error) {
	return net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
}
