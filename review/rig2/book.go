//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// book is the record of a run: what was sent, answered and run, in the order in which the rig saw it.
type book struct {
	mu    sync.Mutex
	begin time.Time
	file  *os.File
	calls map[uint64]*call
	next  uint64
}

// call is what clients and offices saw of one call.
type call struct {
	id          uint64
	client      string
	sent        time.Time // the set-up was written by its client
	answered    time.Time // the client read the answer
	description string    // of that answer
	finals      int       // final answers that the client read: answers and releases before an answer
	cause       byte      // of a final answer that is none
	told        time.Time // the client read that the standing call is over
	toldCause   byte
	hungUp      time.Time // the client wrote its release

	attempts []*attempt
}

// attempt is one set-up as an office saw it.
type attempt struct {
	office   string
	from     time.Time
	stood    time.Time
	over     time.Time // ended by the office, given up or released
	by       string    // who ended it
	standing bool
}

func newBook(dir string) *book {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fail("record: %v", err)
	}
	return &book{begin: time.Now(), file: f, calls: map[uint64]*call{}, next: uint64(time.Now().UnixNano())}
}

// note writes a line.
func (b *book) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noteLocked(format, args...)
}

func (b *book) noteLocked(format string, args ...any) {
	fmt.Fprintf(b.file, "%8.3f %s\n", time.Since(b.begin).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line and prints it.
func (b *book) say(format string, args ...any) {
	b.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (b *book) offer(client string) *call {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	c := &call{id: b.next, client: client, sent: time.Now()}
	b.calls[c.id] = c
	return c
}

// with runs f on a call under the book's lock; a call that the rig did not offer is noted.
func (b *book) with(id uint64, who string, f func(c *call)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.calls[id]
	if c == nil {
		b.noteLocked("%s: unknown call %x", who, id)
		return
	}
	f(c)
}

// look returns a copy of what is known of a call.
func (b *book) look(c *call) call {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := *c
	k.attempts = nil
	for _, a := range c.attempts {
		copied := *a
		k.attempts = append(k.attempts, &copied)
	}
	return k
}

// at is a time of the record, in seconds; -1: never.
func (b *book) at(t time.Time) float64 {
	if t.IsZero() {
		return -1
	}
	return t.Sub(b.begin).Seconds()
}
