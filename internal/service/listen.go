package service

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// newest is a program for the kernel, in its classic packet filter language, that picks among the sockets that listen
// on one address: the second of them. With one alone, which has the number 0, the kernel picks as usual.
var newest = []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 1}}

// listener makes what listens. On the address for callers a second process may listen beside this one, to take over
// from it, and new connections go to that alone from then on. Guards against connections that wait to be taken in by
// a process that is ending: they would be reset. The second address is each process's own, but for members of a fleet, whose
// successors take it over in the same way (beside); how the system writes it is left in told. What listens for callers is handed to callers.
func listener(control string, beside bool, told *string, callers func(*net.TCPListener) net.Listener) func(network, address string) (net.Listener, error) {
	return func(network, address string) (net.Listener, error) {
		if address == control && !beside {
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
		if address == control {
			*told = l.Addr().String()
			return l, nil
		}
		return callers(l.(*net.TCPListener)), nil
	}
}

func onSocket(c syscall.RawConn, do func(fd int) error) error {
	var err error
	if cerr := c.Control(func(fd uintptr) { err = do(int(fd)) }); cerr != nil {
		return cerr
	}
	return err
}

// patient is a listener that hands on what it has taken in only once a further descriptor is free. Guards against the engine,
// which copies the descriptor of each connection and closes the connection unread where it cannot.
type patient struct{ net.Listener }

func patiently(listen func(network, address string) (net.Listener, error)) func(network, address string) (net.Listener, error) {
	return func(network, address string) (net.Listener, error) {
		l, err := listen(network, address)
		return patient{l}, err
	}
}

// Accept takes in the next connection.
func (l patient) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	for err == nil {
		fd, short := unix.Open(os.DevNull, unix.O_RDONLY|unix.O_CLOEXEC, 0)
		if short == nil {
			_ = unix.Close(fd)
		}
		if !errors.Is(short, unix.EMFILE) && !errors.Is(short, unix.ENFILE) {
			break
		}
		time.Sleep(acceptPause)
	}
	return c, err
}

// leaving is a listener that can be left: who waits to be taken in is, and then nobody can come any more.
type leaving struct {
	*net.TCPListener
	asked atomic.Bool // to be left
	left  func()      // told once it is empty and closed
}

// leave begins it; Accept does the rest.
func (l *leaving) leave() {
	l.asked.Store(true)
	_ = l.SetDeadline(time.Unix(1, 0)) // wakes it; fails on one that is closed already
}

// Accept takes in the next caller. Once the listener is left and empty it closes it and does not come back: the engine
// would call again at once.
func (l *leaving) Accept() (net.Conn, error) {
	for {
		if l.asked.Load() && !l.waits() {
			_ = l.Close() // nobody is there to be told
			l.left()
			select {}
		}
		c, err := l.TCPListener.Accept()
		if err == nil || !l.asked.Load() {
			return c, err
		}
		// Who waits is taken in at once; the bound is for one that has gone meanwhile.
		_ = l.SetDeadline(time.Now().Add(acceptPause))
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			time.Sleep(acceptPause) // descriptors are short; what waits still waits
		}
	}
}

// waits tells whether anyone waits to be taken in.
func (l *leaving) waits() bool {
	c, err := l.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = onSocket(c, func(fd int) (err error) {
		n, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		return err
	})
	return errors.Is(err, unix.EINTR) || err == nil && n > 0
}
