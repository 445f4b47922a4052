package fleettest

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func must(t testing.TB, ok bool, why ...any) {
	t.Helper()
	if !ok {
		t.Fatal(why...)
	}
}

func near(t testing.TB, want float64, got, by int64) {
	t.Helper()
	must(t, math.Abs(want-float64(got)) <= float64(by), "got", got, "want", want, "within", by)
}

// twoEnds are two UDP sockets with relays between them.
func twoEnds(t *testing.T, seed uint64) (ab, ba *Relay, a, b *net.UDPConn) {
	t.Helper()
	ab, ba, err := NewPair("a", "b", seed)
	must(t, err == nil, "failed", err)
	for _, end := range []struct {
		c **net.UDPConn
		r *Relay
	}{{&a, ba}, {&b, ab}} {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		must(t, err == nil, "failed", err)
		*end.c = c
		must(t, end.r.Target(c.LocalAddr().String()) == nil, "no target")
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Cleanup(func() { ab.Close(); ba.Close() })
	return ab, ba, a, b
}

func dest(r *Relay) *net.UDPAddr {
	a, _ := net.ResolveUDPAddr("udp4", r.Address)
	return a
}

// send sends numbered datagrams one by one, and returns what arrived, in order.
func send(t *testing.T, r *Relay, from, at *net.UDPConn, n int) (got []int) {
	t.Helper()
	buf := make([]byte, 64)
	read := func(wait time.Duration) bool {
		_ = at.SetReadDeadline(time.Now().Add(wait))
		k, _, err := at.ReadFromUDP(buf)
		if err != nil {
			return false
		}
		i := 0
		_, _ = fmt.Sscan(string(buf[:k]), &i)
		got = append(got, i)
		return true
	}
	for i := range n {
		seen := r.To.Seen.Load()
		_, err := from.WriteToUDP(fmt.Append(nil, i), dest(r))
		must(t, err == nil, "failed", err)
		for by := time.Now().Add(patience); r.To.Seen.Load() == seen; time.Sleep(20 * time.Microsecond) { // one at a time: no buffer runs over
			must(t, time.Now().Before(by), "the relay takes nothing")
		}
		for int64(len(got)) < r.To.Passed.Load() && read(patience) {
		}
	}
	for by := time.Now().Add(patience); r.To.Passed.Load()+r.To.Dropped.Load()-r.To.Doubled.Load() < r.To.Seen.Load(); time.Sleep(time.Millisecond) {
		must(t, time.Now().Before(by), "the relay keeps something back")
	}
	for int64(len(got)) < r.To.Passed.Load() && read(patience) {
	}
	return got
}

// What becomes of datagrams depends on the seed and on their number alone, and is as often as was asked for.
func TestDatagramsByTheirNumber(t *testing.T) {
	const n = 1500
	defer func(was time.Duration) { swapWait = was }(swapWait)
	swapWait = 2 * time.Second // the count decides, and not a pause of the machine
	var first []int
	for _, seed := range []uint64{1, 1, 2} {
		ab, _, a, b := twoEnds(t, seed)
		ab.To.Set(Faults{Drop: 0.2, Double: 0.1, Swap: 0.1})
		got := send(t, ab, a, b, n)
		near(t, 0.2*n, ab.To.Dropped.Load(), 60)
		near(t, 0.1*0.8*n, ab.To.Doubled.Load(), 50)
		near(t, 0.1*0.8*n, ab.To.Swapped.Load(), 50)
		must(t, len(got) == n-int(ab.To.Dropped.Load()-ab.To.Doubled.Load()), "arrived", len(got))
		late := 0
		for i := 1; i < len(got); i++ {
			if got[i] < got[i-1] {
				late++
			}
		}
		near(t, float64(late), ab.To.Swapped.Load(), 20)
		switch {
		case first == nil:
			first = got
		case seed == 1:
			for i := range min(len(first), len(got)) {
				must(t, first[i] == got[i], i, first[max(0, i-3):i+5], got[max(0, i-3):i+5])
			}
			must(t, slices.Equal(first, got), "the same seed gave another outcome")
		default:
			must(t, !slices.Equal(first, got), "another seed gave the same outcome")
		}
	}
}

// A cut of one way leaves the other, and an answer goes the way back of its own.
func TestOneWayCut(t *testing.T) {
	ab, ba, a, b := twoEnds(t, 3)
	ab.To.Set(Faults{Cut: true})
	must(t, len(send(t, ab, a, b, 5)) == 0, "the cut let something through")
	must(t, slices.Equal([]int{0, 1, 2}, send(t, ba, b, a, 3)), "the other way is cut, too")
	ab.To.Set(Faults{Delay: 5 * time.Millisecond, Jitter: time.Millisecond})
	must(t, len(send(t, ab, a, b, 8)) == 8, "a delay lost something")
	_, err := a.WriteToUDP([]byte("ask"), dest(ab))
	must(t, err == nil, "failed", err)
	_, from, err := b.ReadFromUDP(make([]byte, 64))
	must(t, err == nil, "failed", err)
	must(t, dest(ba).String() == from.String(), "whoever answers the sender must answer over the relay of the way back")
}

// echo serves streams that give back what they get, until the test ends.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(t, err == nil, "failed", err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	return l.Addr().String()
}

// Streams pass, fall silent without an end in a cut and go on after it, end in the middle of a message when they are to,
// and a connect that meets a cut comes to nothing. Nothing is left over when relays close.
func TestStreams(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t, goleak.IgnoreCurrent()) })
	at := echo(t)
	r, err := NewStreams("p", at, 1)
	must(t, err == nil, "failed", err)
	t.Cleanup(r.Close)
	dial := func() net.Conn {
		c, err := net.Dial("tcp4", r.Address)
		must(t, err == nil, "failed", err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	ask := func(c net.Conn, text string, wait time.Duration) (string, error) {
		_ = c.SetDeadline(time.Now().Add(wait))
		_, _ = c.Write([]byte(text))
		buf := make([]byte, len(text))
		n, err := io.ReadFull(c, buf)
		return string(buf[:n]), err
	}
	c := dial()
	got, err := ask(c, "hello", patience)
	must(t, err == nil, "failed", err)
	must(t, got == "hello", got)

	r.Back.Set(Faults{Cut: true})
	_, err = ask(c, "again", 50*time.Millisecond)
	must(t, errors.Is(err, os.ErrDeadlineExceeded), "a cut way is silence, and not an end", err)
	up := dial()
	for open := 0; open < 3; { // both ends of the first, and the one that waits
		r.mu.Lock()
		open = len(r.conns)
		r.mu.Unlock()
	}
	r.Back.Set(Faults{})
	_, err = ask(up, "x", patience)
	must(t, err != nil, "a connect that met a cut came up after it")
	buf := make([]byte, 5)
	_ = c.SetDeadline(time.Now().Add(patience))
	_, err = io.ReadFull(c, buf)
	must(t, err == nil, "failed", err)
	must(t, string(buf) == "again", "what was written in the cut did not arrive after it")

	r.Back.Set(Faults{Reset: 3})
	got, err = ask(c, "middle", patience)
	must(t, got == "mid", got)
	must(t, errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.ErrUnexpectedEOF), "not cut in the middle", err)
	c = dial()
	_, err = ask(c, "whole", patience)
	must(t, err == nil, "a reset comes once", err)
	r.Break()
	_, err = ask(c, "x", patience)
	must(t, err != nil, "a broken stream goes on")
}
