package service

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// newest is a program for the kernel, in its classic packet filter language, that picks among the sockets that listen
// on one address: the second of them. With one alone, which has the number 0, the kernel picks as usual.
var newest = []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 1}}

// listener makes what listens. On the address for callers a second process may listen beside this one, to take over
// from it, and new connections go to that alone from then on. Guards against connections that wait to be taken in by
// a process that is ending: they would be reset. The second address is each process's own; how the system writes it
// is left in told.
func listener(control string, told *string) func(network, address string) (net.Listener, error) {
	return func(network, address string) (net.Listener, error) {
		if address == control {
			l, err := net.Listen(network, address)
			if err == nil {
				*told = l.Addr().String()
			}
			return l, err
		}
		shared := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
			return onSocket(c, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
		}}
		shared.SetMultipathTCP(false) // the standard library's default, for which the system knows no such program
		l, err := shared.Listen(context.Background(), network, address)
		if err != nil {
			return nil, err
		}
		c, err := l.(*net.TCPListener).SyscallConn()
		if err == nil {
			// Only now: the system lets no socket that has a program join others on their address.
			err = onSocket(c, func(fd int) error {
				return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
					&unix.SockFprog{Len: uint16(len(newest)), Filter: &newest[0]})
			})
		}
		if err != nil {
			_ = l.Close() // nothing was taken in
			return nil, fmt.Errorf("listen beside another process: %w", err)
		}
		return l, nil
	}
}

func onSocket(c syscall.RawConn, do func(fd int) error) error {
	var err error
	if cerr := c.Control(func(fd uintptr) { err = do(int(fd)) }); cerr != nil {
		return cerr
	}
	return err
}
