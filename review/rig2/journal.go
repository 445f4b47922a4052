//go:build review

package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// entry is an office on the list.
type entry struct {
	o       *office
	state   byte  // 0 ready, 1 draining, 2 gone
	started int64 // Unix milliseconds; 0: long ago
}

// journal is the platform's list of offices.
type journal struct {
	b       *book
	address string
	mu      sync.Mutex
	events  [][]entry // the first is the whole list
}

func newJournal(b *book, offices ...*office) *journal {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fail("journal: %v", err)
	}
	j := &journal{b: b, address: l.Addr().String()}
	var first []entry
	for _, o := range offices {
		first = append(first, entry{o: o})
	}
	j.events = [][]entry{first}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go j.serve(c)
		}
	}()
	return j
}

// tell adds an event.
func (j *journal) tell(changes ...entry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.events = append(j.events, changes)
	for _, e := range changes {
		j.b.note("journal: event %d: %s state %d started %d", len(j.events), e.o.name, e.state, e.started)
	}
}

func (j *journal) serve(c net.Conn) {
	defer c.Close()
	var head [8]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return
	}
	last := binary.BigEndian.Uint64(head[:])
	j.b.note("journal: connected, asks from event %d on", last)
	for empty := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		j.mu.Lock()
		events := j.events
		j.mu.Unlock()
		var out []byte
		for ; last < uint64(len(events)); last++ {
			kind := byte(2)
			if last == 0 {
				kind = 1
			}
			out = append(out, frame(last+1, kind, events[last])...)
		}
		if time.Since(empty) >= time.Second {
			empty = time.Now()
			out = append(out, frame(last, 0, nil)...)
		}
		if len(out) > 0 {
			if _, err := c.Write(out); err != nil {
				return
			}
		}
	}
}

func frame(number uint64, kind byte, entries []entry) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(9+27*len(entries)))
	b = binary.BigEndian.AppendUint64(b, number)
	b = append(b, kind)
	for _, e := range entries {
		at := netip.MustParseAddrPort(e.o.address)
		ip := at.Addr().As4()
		b = binary.BigEndian.AppendUint32(b, e.o.id)
		b = append(b, ip[:]...)
		b = binary.BigEndian.AppendUint16(b, at.Port())
		b = append(b, e.state, 0, 0)
		b = binary.BigEndian.AppendUint16(b, uint16(e.o.place))
		b = binary.BigEndian.AppendUint32(b, 1000)
		b = binary.BigEndian.AppendUint64(b, uint64(e.started))
	}
	return b
}

// known is the events up to now, for the configuration.
func (j *journal) known() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	states := []string{"SERVING", "DRAINING", "DELETED"}
	var entries []string
	for i, event := range j.events {
		var hosts []string
		for _, e := range event {
			hosts = append(hosts, fmt.Sprintf(`{"host":%q,"dial":%q,"site":"porto","class":"standard","block":%d,"health":%q,"share":1,"born_ms":%d}`,
				e.o.key(), e.o.address, e.o.place, states[e.state], e.started))
		}
		entries = append(entries, fmt.Sprintf(`{"pos":%d,"hosts":{"seq":%d,"whole":%v,"hosts":[%s]}}`, i+1, i+1, i == 0,
			strings.Join(hosts, ",")))
	}
	return fmt.Sprintf(`{"pos":%d,"entries":[%s]}`, len(j.events), strings.Join(entries, ","))
}
