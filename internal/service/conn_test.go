package service

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/lesismal/nbio"
)

// eventually waits for what comes by itself; how fast is not judged.
func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for by := time.Now().Add(patience); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(by) {
			t.Fatalf("%s: never", what)
		}
	}
}

// A connection tells of bytes that have come while nobody reads, and of bytes that its peer does not read.
func TestConnWaiting(t *testing.T) {
	opened, gate := make(chan *conn, 1), make(chan bool)
	engine := nbio.NewEngine(nbio.Config{Network: "tcp4", Addrs: []string{"127.0.0.1:0"}, NPoller: 1, MaxWriteBufferSize: 64 << 20})
	engine.OnOpen(func(c *nbio.Conn) {
		own := &conn{Conn: c, queue: newQueue(32, 256)}
		c.SetSession(own)
		opened <- own
	})
	engine.OnData(func(*nbio.Conn, []byte) { gate <- true; <-gate })
	engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) { connOf(c).written(n) })
	if err := engine.Start(); err != nil {
		t.Fatal(err)
	}
	defer engine.Stop()
	far, err := net.Dial("tcp4", engine.Addrs[0])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = far.Close() }()
	own := <-opened
	say := func() {
		t.Helper()
		if _, err := far.Write([]byte{1}); err != nil {
			t.Fatal(err)
		}
	}
	if own.Pending() {
		t.Error("nothing has come, and something waits")
	}
	say()
	<-gate // it has been read, and whoever reads is busy with it
	if own.Pending() {
		t.Error("all has been read, and something waits")
	}
	say()
	eventually(t, "a byte that nobody reads waits", own.Pending)
	gate <- true
	<-gate
	if own.Pending() {
		t.Error("the second byte has been read, and something waits")
	}
	gate <- true

	wrote := 0
	for ; !own.Pending(); wrote += 32 << 10 {
		if _, err := own.Write(make([]byte, 32<<10)); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := io.CopyN(io.Discard, far, int64(wrote)); err != nil {
		t.Fatal(err)
	}
	eventually(t, "all that was written has been read", func() bool { return !own.Pending() })
}
