package soak

import (
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// States of an office on the list.
const (
	stateReady    = 0
	stateDraining = 1
	stateGone     = 2
)

// discovery is a stand-in for the journal service of one controller, which reaches offices at addresses of its own.
type discovery struct {
	listener net.Listener

	mu     sync.Mutex
	frames [][]byte // changes after the list of the start, in order
	silent bool
	conns  map[net.Conn]bool
	change chan struct{} // closed by the next change
}

func newDiscovery() (*discovery, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{listener: l, conns: map[net.Conn]bool{}, change: make(chan struct{})}
	go d.accept()
	return d, nil
}

func (d *discovery) address() string { return d.listener.Addr().String() }

func (d *discovery) accept() {
	for {
		c, err := d.listener.Accept()
		if err != nil {
			return // closed
		}
		d.mu.Lock()
		d.conns[c] = true
		d.mu.Unlock()
		go d.serve(c)
	}
}

// serve tells what comes after the event that a controller has, and an empty frame each second.
func (d *discovery) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		d.mu.Lock()
		delete(d.conns, c)
		d.mu.Unlock()
	}()
	last := make([]byte, 8)
	if _, err := io.ReadFull(c, last); err != nil {
		return
	}
	next := binary.BigEndian.Uint64(last) - firstEvent
	for {
		d.mu.Lock()
		silent, frames, change := d.silent, d.frames, d.change
		d.mu.Unlock()
		out := frame(0, 0, nil)
		for ; !silent && next < uint64(len(frames)); next++ {
			out = append(out, frames[next]...)
		}
		if !silent {
			if _, err := c.Write(out); err != nil {
				return
			}
		}
		select {
		case <-change:
		case <-time.After(time.Second):
		}
	}
}

// firstEvent is the number of the event that the configuration holds.
const firstEvent = 1

// tell adds a change of one office; started is the Unix millisecond of its start, or 0.
func (d *discovery) tell(id uint32, address string, state byte, started int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	number := uint64(firstEvent + len(d.frames) + 1)
	d.frames = append(d.frames, frame(number, 2, record(id, address, state, started)))
	d.changed()
}

// silence has the service say nothing, or speak again.
func (d *discovery) silence(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
	d.changed()
}

// changed wakes who waits for a change. The lock is held.
func (d *discovery) changed() {
	close(d.change)
	d.change = make(chan struct{})
}

func (d *discovery) close() {
	_ = d.listener.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		_ = c.Close()
	}
}

func frame(number uint64, kind byte, records []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(records)))
	b = binary.BigEndian.AppendUint64(b, number)
	b = append(b, kind)
	return append(b, records...)
}

// record is an office's: id, address, port, state, zone, kind, cell, weight in thousandths, start.
func record(id uint32, address string, state byte, started int64) []byte {
	at := netip.MustParseAddrPort(address)
	ip := at.Addr().As4()
	b := binary.BigEndian.AppendUint32(nil, id)
	b = append(b, ip[:]...)
	b = binary.BigEndian.AppendUint16(b, at.Port())
	b = append(b, state, 0, 0)
	b = binary.BigEndian.AppendUint16(b, uint16(id-1))
	b = binary.BigEndian.AppendUint32(b, 1000)
	return binary.BigEndian.AppendUint64(b, uint64(started))
}
