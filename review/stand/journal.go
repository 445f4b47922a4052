//go:build review

package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// entry is an office on the list.
type entry struct {
	id      uint32
	address string
	state   byte // 0 ready, 1 draining, 2 gone
	born    int64
}

// journal is the journal service: it keeps numbered events, and tells each subscriber those after the number it has.
type journal struct {
	rec    *recorder
	l      net.Listener
	mu     sync.Mutex
	events [][]byte // frames; the event numbered i+2 is events[i], because event 1 is in the configuration
}

func newJournal(rec *recorder) (*journal, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	j := &journal{rec: rec, l: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go j.serve(c)
		}
	}()
	return j, nil
}

func frame(number uint64, kind byte, payload []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	b = binary.BigEndian.AppendUint64(b, number)
	return append(append(b, kind), payload...)
}

// add adds an event with changes.
func (j *journal) add(entries ...entry) {
	var p []byte
	for _, e := range entries {
		a := netip.MustParseAddrPort(e.address)
		ip := a.Addr().As4()
		p = binary.BigEndian.AppendUint32(p, e.id)
		p = append(p, ip[:]...)
		p = binary.BigEndian.AppendUint16(p, a.Port())
		p = append(p, e.state, 0, 0)
		p = binary.BigEndian.AppendUint16(p, 0)
		p = binary.BigEndian.AppendUint32(p, 1000)
		p = binary.BigEndian.AppendUint64(p, uint64(e.born))
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	number := uint64(len(j.events) + 2)
	j.events = append(j.events, frame(number, 2, p))
	j.rec.note("journal", "event", 0, fmt.Sprintf("number %d: %+v", number, entries))
}

func (j *journal) serve(c net.Conn) {
	defer c.Close()
	var from [8]byte
	for n := 0; n < 8; {
		k, err := c.Read(from[n:])
		if err != nil {
			return
		}
		n += k
	}
	next := binary.BigEndian.Uint64(from[:]) + 1
	last := time.Now()
	for {
		j.mu.Lock()
		var out []byte
		for next <= uint64(len(j.events)+1) && next >= 2 {
			out = append(out, j.events[next-2]...)
			next++
		}
		j.mu.Unlock()
		if out == nil && time.Since(last) >= time.Second {
			out = frame(next-1, 0, nil)
			last = time.Now()
		}
		if out != nil {
			if _, err := c.Write(out); err != nil {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}
