package standin

import (
	"fmt"
	"io"
	"sync"
	"time"

	"pewterwheel/internal/wire"
)

// guard is the rule's: no attempt of a call sooner after one that was given up or cut. early is how much sooner than
// the sidecar counts it an office may see it: the two messages take different ways through the machine.
const guard, early = 200 * time.Millisecond, 20 * time.Millisecond

// Book is what offices and callers saw of every call, and which rules were broken.
type Book struct {
	mu     sync.Mutex
	calls  map[uint64]*seen
	rules  []string
	Counts Counts
}

// Counts are the sums of a book.
type Counts struct {
	Offered, Answered, Refused, Failed int
	Attempts                           int
	Late                               int // final answers after the caller gave up
	Harmed                             int // messages for which an office missed state that it keeps on another connection
}

type seen struct {
	at       string    // where an attempt is out
	on       *pipe     // its connection
	ended    time.Time // when the last one was given up or cut
	answered bool      // an office answered
	finals   int
	by       time.Time // the caller gives up
	closed   bool      // its caller's connection ended
	through  string    // the address of the controller that its caller asked
	stand    stand     // once its caller was told that it stands
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{calls: map[uint64]*seen{}} }

// Broken are the rules that were broken, in words.
func (b *Book) Broken() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.rules...)
}

// Sums gives the counts.
func (b *Book) Sums() Counts { b.mu.Lock(); defer b.mu.Unlock(); return b.Counts }

// Harmed is how many messages were harmed by the connection on which they came to an office.
func (b *Book) Harmed() int { return b.Sums().Harmed }

func (b *Book) harm() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Counts.Harmed++
}

// maxBroken bounds what is kept; one is enough to fail.
const maxBroken = 50

func (b *Book) broken(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.note(format, args...)
}

func (b *Book) note(format string, args ...any) {
	if len(b.rules) < maxBroken {
		b.rules = append(b.rules, fmt.Sprintf(format, args...))
	}
}

func (b *Book) call(id uint64) *seen {
	c := b.calls[id]
	if c == nil {
		c = &seen{}
		b.calls[id] = c
	}
	return c
}

// out notes an attempt at an office.
func (b *Book) out(id uint64, office string, on *pipe, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.call(id)
	b.Counts.Attempts++
	if c.at != "" && c.on != on && c.on.over() { // the end of the other's connection has come and is not read yet
		c.at, c.ended = "", c.on.ended(io.EOF) // something may have been written behind that end by now
	}
	if c.at != "" {
		b.note("call %x has two attempts out, at %s and %s", id, c.at, office)
	}
	if !c.ended.IsZero() && now.Sub(c.ended) < guard-early {
		b.note("call %x was sent to %s %d ms after an attempt that was given up or cut", id, office, now.Sub(c.ended).Milliseconds())
	}
	if c.answered {
		b.note("call %x was sent to %s after it had been set up", id, office)
	}
	c.at, c.on = office, on
}

// over notes the end of an attempt; cut is when it was given up, or its connection ended, and zero if neither.
func (b *Book) over(id uint64, office string, cut time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.call(id); c.at == office {
		if c.at = ""; !cut.IsZero() {
			c.ended = cut
		}
	}
}

// released notes that a call that stands was let go. If its caller has not been told that it stands, the give-up of its
// set-up crossed the office's answer: it counts as given up, and may be sent again after the guard.
func (b *Book) released(id uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.call(id); c.answered && c.finals == 0 && !c.by.IsZero() {
		c.answered, c.ended = false, now
	}
}

// answered notes that an office sets a call up; false: it was given up there.
func (b *Book) answered(id uint64, office string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.call(id)
	if c.at != office {
		return false
	}
	c.at, c.answered = "", true
	c.stand = stand{office: office} // what an earlier attempt left elsewhere counts for nothing
	return true
}

func (b *Book) offered(id uint64, by time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Counts.Offered++
	b.call(id).by = by
}

// final notes a final answer; it tells whether the call now has the one that it may have.
func (b *Book) final(id uint64, sum *int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.call(id)
	if c.finals++; c.finals > 1 {
		b.note("call %x has %d final answers", id, c.finals)
		return false
	}
	*sum++
	c.stand.known = sum == &b.Counts.Answered
	if time.Now().After(c.by.Add(early)) {
		b.Counts.Late++
		b.note("call %x was answered after its caller had given up", id)
	}
	return true
}

// sum is where a final answer of a call is counted.
func (b *Book) sum(m wire.Message) *int {
	switch {
	case m.Type == wire.TypeAnswer:
		return &b.Counts.Answered
	case m.Cause() == wire.CauseCongestion:
		return &b.Counts.Refused
	}
	return &b.Counts.Failed
}

// Offered notes a call of a caller that is none of this package, and until when its answer may come. It comes before the
// call is sent.
func (b *Book) Offered(id uint64, by time.Time) { b.offered(id, by) }

// Final notes a final answer that such a caller has got; it comes before the call is released.
func (b *Book) Final(m wire.Message) { b.final(m.Call, b.sum(m)) }

// Settle checks that every call has its one final answer.
func (b *Book) Settle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, c := range b.calls {
		if !c.by.IsZero() && c.finals == 0 && !c.closed {
			b.note("call %x has no final answer", id)
		}
	}
}
