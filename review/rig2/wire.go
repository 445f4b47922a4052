//go:build review

package main

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Types and parameters of the protocol that the rig uses.
const (
	tSetUp, tAnswer, tRelease, tHeard, tGroup, tTest, tTested = 1, 9, 12, 16, 43, 52, 53

	pClass, pWait, pNumber, pInfo, pLoad, pCause, pDescription = 16, 19, 28, 31, 43, 58, 61
)

type param struct {
	code  byte
	value []byte
}

type message struct {
	kind   byte
	call   uint64
	params []param
}

func (m message) get(code byte) []byte {
	for _, p := range m.params {
		if p.code == code {
			return p.value
		}
	}
	return nil
}

func (m message) cause() byte {
	if v := m.get(pCause); len(v) == 1 {
		return v[0]
	}
	return 0
}

func (m message) bytes() []byte {
	size := 9
	for _, p := range m.params {
		size += 3 + len(p.value)
	}
	b := binary.BigEndian.AppendUint16(nil, uint16(size))
	b = append(b, m.kind)
	b = binary.BigEndian.AppendUint64(b, m.call)
	for _, p := range m.params {
		b = append(b, p.code)
		b = binary.BigEndian.AppendUint16(b, uint16(len(p.value)))
		b = append(b, p.value...)
	}
	return b
}

func release(call uint64, cause byte) message {
	return message{kind: tRelease, call: call, params: []param{{pCause, []byte{cause}}}}
}

func readMessage(r io.Reader) (message, error) {
	var head [2]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return message{}, err
	}
	size := int(binary.BigEndian.Uint16(head[:]))
	if size < 9 {
		return message{}, errors.New("length out of bounds")
	}
	b := make([]byte, size)
	if _, err := io.ReadFull(r, b); err != nil {
		return message{}, err
	}
	m := message{kind: b[0], call: binary.BigEndian.Uint64(b[1:])}
	for rest := b[9:]; len(rest) > 0; {
		if len(rest) < 3 || len(rest)-3 < int(binary.BigEndian.Uint16(rest[1:])) {
			return m, errors.New("parameters do not fill the message")
		}
		end := 3 + int(binary.BigEndian.Uint16(rest[1:]))
		m.params = append(m.params, param{rest[0], rest[3:end]})
		rest = rest[end:]
	}
	return m, nil
}

// link is one connection; writes are whole messages.
type link struct {
	net.Conn
	mu     sync.Mutex
	opened time.Time
	used   time.Time // last message of a call, in either direction
}

func newLink(c net.Conn) *link { return &link{Conn: c, opened: time.Now(), used: time.Now()} }

func (l *link) send(m message) error { return l.write(m.bytes(), m.kind != tGroup) }

// write writes whole messages in one go; ofCalls: they make the connection one in use.
func (l *link) write(b []byte, ofCalls bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ofCalls {
		l.used = time.Now()
	}
	_ = l.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err := l.Write(b)
	return err
}

func (l *link) touch() {
	l.mu.Lock()
	l.used = time.Now()
	l.mu.Unlock()
}

func (l *link) idle() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.used)
}

// reset ends a connection with a reset.
func (l *link) reset() {
	if tcp, ok := l.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = l.Close()
}
