package standin

import (
	"sync"
	"time"

	"pewterwheel/internal/wire"
)

// Lines are called numbers with so many lines each, at all offices together: a set-up to one whose lines are taken ends busy.
// Numbers that are not named have any.
type Lines struct {
	mu   sync.Mutex
	of   map[string]int
	open map[uint64]line

	// Taken and Busy count set-ups to the numbers that are named.
	taken, busy int
}

type line struct {
	number string
	since  time.Time
}

// forgotten is how long a call has a line at the most: who set it up may have died.
const forgotten = 2 * time.Second

// NewLines returns numbers with their lines.
func NewLines(of map[string]int) *Lines { return &Lines{of: of, open: map[uint64]line{}} }

// Counts are how many set-ups to the numbers got a line, and how many ended busy.
func (l *Lines) Counts() (taken, busy int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.taken, l.busy
}

// take gives a call a line; false: there is none.
func (l *Lines) take(number string, call uint64) bool {
	if l == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	most, named := l.of[number]
	if !named {
		return true
	}
	used := 0
	for id, at := range l.open {
		if time.Since(at.since) > forgotten {
			delete(l.open, id)
		} else if at.number == number {
			used++
		}
	}
	if used >= most {
		l.busy++
		return false
	}
	l.taken++
	l.open[call] = line{number, time.Now()}
	return true
}

// end gives a call's line back.
func (l *Lines) end(call uint64) {
	if l != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.open, call)
	}
}

// engaged answers a set-up whose number has no line.
func (o *Office) engaged(p *pipe, call uint64) error {
	o.book.out(call, o.Name, p, time.Now())
	o.book.over(call, o.Name, time.Time{})
	return p.send(wire.ReleaseOf(call, wire.CauseBusy))
}

// lines are those of the office's script; nil: numbers have any.
func (o *Office) lines() *Lines { o.mu.Lock(); defer o.mu.Unlock(); return o.script.Lines }
