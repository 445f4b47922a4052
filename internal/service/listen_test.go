package service

import (
	"net"
	"testing"
	"time"
)

// A second process can listen beside the first, and new connections go to it alone. Guards against connections that
// are reset because the process that they wait for ends.
func TestListenBesideAnother(t *testing.T) {
	var told string
	listen := listener("", &told)
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
	const callers = 20
	for range callers {
		c, err := net.Dial("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
	}
	for range callers {
		_ = listeners[1].SetDeadline(time.Now().Add(patience))
		if _, err := listeners[1].Accept(); err != nil {
			t.Fatalf("the second did not get all: %v", err)
		}
	}
	_ = listeners[0].Close()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatalf("the second alone: %v", err)
	}
	_ = c.Close()
}
