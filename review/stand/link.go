//go:build review

package main

import (
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"pewterwheel/internal/wire"
)

// link is a connection on which messages go both ways.
type link struct {
	conn net.Conn
	mu   sync.Mutex
	buf  []byte
}

func (k *link) send(m wire.Message) error {
	b, err := m.Append(nil)
	if err != nil {
		return err
	}
	return k.write(b)
}

func (k *link) write(b []byte) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, err := k.conn.Write(b)
	return err
}

// next reads one message. Its values are good until the next one.
func (k *link) next() (wire.Message, error) {
	for {
		m, n, err := wire.Next(k.buf)
		if err != nil {
			return m, err
		}
		if n > 0 {
			k.buf = k.buf[n:]
			return m, nil
		}
		part := make([]byte, 16<<10)
		n, err = k.conn.Read(part)
		if err != nil {
			return m, err
		}
		k.buf = append(k.buf[:len(k.buf):len(k.buf)], part[:n]...)
	}
}

// recorder writes what was sent, answered and run, with the milliseconds of the system's Unix clock.
type recorder struct {
	mu sync.Mutex
	f  *os.File
}

func (r *recorder) note(who, what string, call uint64, more string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := "-"
	if call != 0 {
		id = fmt.Sprintf("%016x", call)
	}
	fmt.Fprintf(r.f, "%d %s %s %s %s\n", time.Now().UnixMilli(), who, id, what, more)
}

func (r *recorder) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	fmt.Fprintf(r.f, "%d %s\n", time.Now().UnixMilli(), text)
	fmt.Println(text)
}
