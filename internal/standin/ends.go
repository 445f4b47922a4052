package standin

import (
	"fmt"
	"time"
)

// The protocol's times for the end of a call that has stood, with the slack of sockets.
const (
	afterRelease = time.Second + 50*time.Millisecond   // after the office, or the controller, has released it
	afterEnd     = 8*time.Second + 50*time.Millisecond // after its end, where no release could be sent
)

// stand is the life of a call that its caller was told of.
type stand struct {
	office  string
	known   bool      // its caller was told that it stands
	ended   time.Time // at its office; zero: it has not
	written time.Time // when its release was first written, by either side; zero: it was not
	told    time.Time // when its caller was told of the end; zero: it was not
	cut     bool      // the controller released it while it stood
	orphan  bool      // the process through which it was set up has ended before
}

// due is when its caller must have been told of the end.
func (s stand) due() time.Time {
	latest := s.ended.Add(afterEnd)
	if !s.written.IsZero() && s.written.Before(latest) {
		return s.written.Add(afterRelease)
	}
	return latest
}

// ended notes that a call has ended at its office.
func (b *Book) ended(id uint64, office string, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.standAt(id, office); s.ended.IsZero() {
		s.ended = at
	}
}

// standAt is a call's life at an office. Where an answer of an earlier attempt was lost it may have stood at another office
// before; what becomes of it there counts for nothing. The lock is held.
func (b *Book) standAt(id uint64, office string) *stand {
	c := b.call(id)
	if c.stand.office != office {
		return &stand{}
	}
	return &c.stand
}

// endWritten notes that a release of a call was written by its office, or came to it from the controller.
func (b *Book) endWritten(id uint64, office string, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.standAt(id, office).writtenAt(at)
}

func (s *stand) writtenAt(at time.Time) {
	if s.ended.IsZero() {
		s.ended = at
	}
	if s.written.IsZero() {
		s.written = at
	}
}

// cutThere notes that a controller released a call that stood at its office.
func (b *Book) cutThere(id uint64, office string, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.standAt(id, office)
	s.writtenAt(at)
	s.cut = true
}

// unseen ends all attempts that are out at an office, of whose give-ups it may not hear.
func (b *Book) unseen(office string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.calls {
		if c.at == office {
			c.at = ""
		}
	}
}

// by notes through which controller a call is asked for.
func (b *Book) by(id uint64, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.call(id).through = address
}

// Orphan tells that the process which served an address has ended: a successor knows nothing of calls that stand.
func (b *Book) Orphan(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.calls {
		if c.through == address && c.stand.known && c.stand.told.IsZero() {
			c.stand.orphan = true
		}
	}
}

// endTold notes that a caller was told of the end of a call.
func (b *Book) endTold(id uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.call(id); c.stand.told.IsZero() {
		c.stand.told = time.Now()
	}
}

// Ends is what became of the calls that stood.
type Ends struct {
	Stood, Ended int
	Late         []string       // calls whose callers were told too late, or not though they had to be by now
	Orphaned     []string       // the same, where the process through which they were set up had ended before
	Cut          map[string]int // calls that controllers released while they stood, by office
}

// Ends checks the ends of all calls that stood.
func (b *Book) Ends(now time.Time) Ends {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := Ends{Cut: map[string]int{}}
	for id, c := range b.calls {
		if !c.stand.known {
			continue
		}
		e.Stood++
		s := c.stand
		if !s.ended.IsZero() {
			e.Ended++
		}
		if s.cut || !s.told.IsZero() && s.ended.IsZero() {
			e.Cut[s.office]++
		}
		if tooLate := s.told.After(s.due()) || s.told.IsZero() && now.After(s.due()); !s.ended.IsZero() && tooLate {
			text := fmt.Sprintf("call %x at %s ended at %s, its release was written at %s, its caller told at %s, due at %s",
				id, s.office, clock(s.ended), clock(s.written), clock(s.told), clock(s.due()))
			if s.orphan {
				e.Orphaned = append(e.Orphaned, text)
			} else {
				e.Late = append(e.Late, text)
			}
		}
	}
	return e
}

// clock is a time as the program's log has it, or never.
func clock(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return t.UTC().Format("15:04:05.000")
}
