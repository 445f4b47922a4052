package service

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"pewterwheel/internal/standin"
	"pewterwheel/internal/wire"
)

// readyWithin is how soon after its start a process has to be ready, whatever discovery does.
const readyWithin = 10 * time.Second

// Processes that start side by side are ready in time, by the second address, by a test and by a call, with discovery well,
// or down or broken in each way. Guards against a start that waits for discovery.
func TestReadyWhateverDiscoveryDoes(t *testing.T) {
	known := frameOf(3, 0, nil)
	says := func(b []byte, end bool) func(net.Conn) {
		return func(c net.Conn) {
			_, _ = c.Write(b) // a program that has gone is no fault here
			if end {
				_ = c.Close()
			}
		}
	}
	var all []chan time.Duration
	var names []string
	for _, c := range []struct {
		name, down string
		then       func(net.Conn) // of one that listens
	}{
		{refused, refused, nil},
		{dropped, dropped, nil},
		{mum, mum, nil},
		{"well", "", says(known, false)},
		{"half a frame", "", says(known[:7], false)},
		{"a frame that never ends", "", says(append([]byte{0, 15, 0, 0}, known...), false)},
		{"garbage", "", says([]byte("HTTP/1.1 503 Service Unavailable\r\n\r\n"), false)},
		{"closed on", "", says(nil, true)},
		{"an unknown kind, and closed on", "", says(frameOf(4, 7, nil), true)},
		{"a gap", "", says(frameOf(9, 2, nil), false)},
	} {
		for range 2 {
			d := newDiscovery(t, c.down)
			if c.then != nil {
				d.serve(c.then)
			}
			took := make(chan time.Duration, 1)
			all, names = append(all, took), append(names, c.name)
			start := coldStart(t, d.address)
			go func() { took <- start() }()
		}
	}
	var worst time.Duration
	for i, took := range all {
		n := <-took
		if worst = max(worst, n); n > readyWithin {
			t.Errorf("with discovery %s ready after %s", names[i], n)
		}
	}
	t.Logf("%d processes side by side, the slowest ready after %s", len(all), worst)
}

// coldStart starts a process; what it returns waits until it serves, and tells how long that took from the start.
func coldStart(t *testing.T, journal string) func() time.Duration {
	t.Helper()
	book := standin.NewBook()
	o, err := standin.NewOffice("s-00000001", "127.0.0.1:0", book, standin.Script{Work: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(o.Close)
	listen, control := fmt.Sprintf("127.0.0.1:%d", standin.FreePort()), fmt.Sprintf("127.0.0.1:%d", standin.FreePort())
	path := siteFile(t, listen, journal, 256, []string{o.Address})
	began := time.Now()
	c := startLimited(t, path, control, 256)
	return func() time.Duration {
		for by := began.Add(patience); time.Now().Before(by); time.Sleep(20 * time.Millisecond) {
			if strings.HasPrefix(say(control, "READY\n"), "200 ") && served(listen) {
				took := time.Since(began)
				c.stop()
				c.waitFor(t)
				return took
			}
		}
		t.Errorf("never ready\n%s", &c.log)
		return patience
	}
}

// served tells whether a test passes and a call goes through on a new connection.
func served(listen string) bool {
	conn, err := net.DialTimeout("tcp4", listen, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	b, err := wire.Message{Type: wire.TypeTest}.Append(nil)
	if err == nil {
		b, err = setUp(1).Append(b)
	}
	if err == nil {
		_, err = conn.Write(b)
	}
	var in []byte
	for passed, chunk := false, make([]byte, 4096); err == nil; {
		m, n, bad := wire.Next(in)
		if bad != nil {
			return false
		}
		if n == 0 {
			n, err = conn.Read(chunk)
			in = append(in, chunk[:n]...)
			continue
		}
		in = in[n:]
		switch {
		case m.Type == wire.TypeTested:
			passed = m.Cause() == 1
		case m.Call == 1:
			return passed && m.Type == wire.TypeAnswer
		}
	}
	return false
}
