package standin

import (
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
)

// Ports that are handed out are below those that the system gives to connections, and each is handed out once by a
// process: a port that was free a moment ago must not be somebody's by the time it is listened on.
const firstPort, ports = 12_000, 18_000

var port atomic.Int64

// FreePort is a loopback port on which nobody listens.
func FreePort() int {
	name := fnv.New32() // test programs that run side by side begin at places of their own
	_, _ = name.Write([]byte(filepath.Base(os.Args[0])))
	start := int(name.Sum32() % ports)
	for range ports {
		n := firstPort + (start+int(port.Add(1)))%ports
		if l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", n)); err == nil {
			_ = l.Close() // nobody came
			return n
		}
	}
	panic("no port is free")
}
