package service

import (
	"net"
	"testing"
	"time"
)

// allCome checks that whoever dials the address comes to one listener.
func allCome(t *testing.T, address string, to *net.TCPListener) {
	t.Helper()
	for range 20 {
		conn, err := net.Dial("tcp4", address)
		newPeer(t, conn, err)
		_ = to.SetDeadline(time.Now().Add(patience))
		if _, err := to.Accept(); err != nil {
			t.Fatalf("not all came to one: %v", err)
		}
	}
}

// A second process can listen beside the first, and new connections go to it alone. Guards against connections that
// are reset because the process that they wait for ends.
func TestListenBesideAnother(t *testing.T) {
	var told string
	listen := listener("", false, &told, func(l *net.TCPListener) net.Listener { return l })
	var listeners []*net.TCPListener
	address := "127.0.0.1:0"
	for range 2 {
		l, err := listen("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		address = l.Addr().String()
		listeners = append(listeners, l.(*net.TCPListener))
	}
	defer func() { _ = listeners[1].Close() }()
	allCome(t, address, listeners[1])
	_ = listeners[0].Close()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatalf("the second alone: %v", err)
	}
	_ = c.Close()
}

// Callers that wait to be taken in when a process begins to leave are taken in, each with what it has sent, and then nobody
// can come any more. Guards against calls that die unread in the queue of a listener: the system resets them.
func TestLeaveTakesInWhoWaits(t *testing.T) {
	left := make(chan bool, 1)
	var told string
	listen := listener("", false, &told, func(l *net.TCPListener) net.Listener {
		return &leaving{TCPListener: l, left: func() { left <- true }}
	})
	l, err := listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	const callers = 20
	for i := range callers {
		c, err := net.Dial("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if _, err := c.Write([]byte{byte(i)}); err != nil {
			t.Fatal(err)
		}
	}
	l.(*leaving).leave()
	taken := make(chan net.Conn, callers)
	go func() { // as the engine does
		for {
			c, err := l.Accept()
			if err != nil {
				t.Errorf("Accept: %v", err)
				return
			}
			taken <- c
		}
	}()
	for i := range callers {
		select {
		case c := <-taken:
			said := make([]byte, 1)
			if _, err := c.Read(said); err != nil || said[0] != byte(i) {
				t.Errorf("caller %d: %d, %v", i, said[0], err)
			}
			_ = c.Close()
		case <-time.After(patience):
			t.Fatalf("%d of %d who waited were taken in", i, callers)
		}
	}
	select {
	case <-left:
	case <-time.After(patience):
		t.Fatal("it was never left")
	}
	if c, err := net.Dial("tcp4", address); err == nil {
		_ = c.Close()
		t.Error("somebody came after it")
	}
}

// Where a third process listens before the first has ended, the second, which ends next, gets no callers once it has left,
// though the kernel's number for the newest is its own.
func TestLeaveBetweenOthers(t *testing.T) {
	left := make(chan bool, 3)
	var told string
	listen := listener("", false, &told, func(l *net.TCPListener) net.Listener {
		return &leaving{TCPListener: l, left: func() { left <- true }}
	})
	address := "127.0.0.1:0"
	var ls []*leaving
	for range 3 {
		l, err := listen("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		address = l.Addr().String()
		ls = append(ls, l.(*leaving))
	}
	defer func() { _ = ls[2].Close() }()
	for _, l := range ls[:2] { // the first ends, and then the second
		l.leave()
		go func() { _, _ = l.Accept() }()
		<-left
	}
	allCome(t, address, ls[2].TCPListener)
}
