package recovery

import (
	"maps"
	"slices"

	"pewterwheel/decide"
	"pewterwheel/internal/store"
)

// Recorder turns what happens in a round into one batch of records, and keeps the state, so that all of it can be handed
// over where batches were lost. It belongs to one goroutine.
type Recorder struct {
	state   State
	changed map[string]store.Op // of this round, by key: the last one counts
	known   map[string]bool     // keys that a batch before this one has
}

// NewRecorder returns a recorder that goes on from a state, which the store has.
func NewRecorder(s State) *Recorder {
	r := &Recorder{state: s, changed: map[string]store.Op{}, known: map[string]bool{}}
	r.Whole()
	return r
}

func (r *Recorder) set(op store.Op) { r.changed[op.Key] = op }

// Sent notes that an attempt is out.
func (r *Recorder) Sent(id uint64, office decide.ServerID, attempts int, now, deadline int64) {
	r.call(Call{ID: id, Stage: Out, Office: office, Attempts: attempts, Since: now, Deadline: deadline})
}

// Stood notes that a call stands.
func (r *Recorder) Stood(id uint64, office decide.ServerID, now int64) {
	r.call(Call{ID: id, Stage: Stands, Office: office, Attempts: r.state.Calls[id].Attempts, Since: now})
}

func (r *Recorder) call(c Call) {
	r.state.Calls[c.ID] = c
	r.set(c.op())
}

// Ended notes that a call's attempt, or the call, is over. While its guard runs that is kept.
func (r *Recorder) Ended(id uint64, now, guard int64) {
	c, ok := r.state.Calls[id]
	switch {
	case !ok:
	case guard > now:
		c.Stage, c.Since, c.Until = Guarded, now, guard
		r.call(c)
	default:
		delete(r.state.Calls, id)
		r.set(gone(c.op().Key))
	}
}

// Expire forgets guards that are over.
func (r *Recorder) Expire(now int64) {
	for id, c := range r.state.Calls { // no order: each is judged alone
		if c.Stage == Guarded && c.Until <= now {
			r.Ended(id, now, 0)
		}
	}
}

// Listed notes what the list says of an office.
func (r *Recorder) Listed(m Member) {
	if m.State == decide.Removed {
		if _, ok := r.state.Members[m.Office]; ok {
			delete(r.state.Members, m.Office)
			r.set(gone(m.op().Key))
		}
		r.Learned(Limit{Office: m.Office})
		return
	}
	if r.state.Members[m.Office] != m {
		r.state.Members[m.Office] = m
		r.set(m.op())
	}
}

// Learned notes a limit; none at all is no limit.
func (r *Recorder) Learned(l Limit) {
	was, ok := r.state.Limits[l.Office]
	switch {
	case l.Open <= 0 && ok:
		delete(r.state.Limits, l.Office)
		r.set(gone(l.op().Key))
	case l.Open > 0 && was != l:
		r.state.Limits[l.Office] = l
		r.set(l.op())
	}
}

// Batch is what has changed since the last one, by key. What came and went between is not in it.
func (r *Recorder) Batch() []store.Op {
	var ops []store.Op
	for _, key := range slices.Sorted(maps.Keys(r.changed)) {
		op := r.changed[key]
		if op.Delete && !r.known[key] {
			continue
		}
		if r.known[key] = true; op.Delete {
			delete(r.known, key)
		}
		ops = append(ops, op)
	}
	clear(r.changed)
	return ops
}

// Whole is all there is, for a store that has lost a batch.
func (r *Recorder) Whole() []store.Op {
	clear(r.changed)
	clear(r.known)
	var ops []store.Op
	for _, id := range slices.Sorted(maps.Keys(r.state.Calls)) {
		ops = append(ops, r.state.Calls[id].op())
	}
	for _, id := range slices.Sorted(maps.Keys(r.state.Members)) {
		ops = append(ops, r.state.Members[id].op())
	}
	for _, id := range slices.Sorted(maps.Keys(r.state.Limits)) {
		ops = append(ops, r.state.Limits[id].op())
	}
	for _, op := range ops {
		r.known[op.Key] = true
	}
	return ops
}

// Trust is how long what was kept is believed. Microseconds.
type Trust struct {
	Guard    int64   // the rule's: no attempt of a call within it after one was cut
	Standing int64   // no call stands for longer
	Fresh    int64   // a member told of so lately is believed in full
	Stale    int64   // one told of so long ago is not believed to be there at all
	Least    float64 // what is left of its weight just before that
	Half     int64   // a limit is worth half after this
}

// Usual is what is believed where nothing else is said.
func Usual(guard int64) Trust {
	return Trust{Guard: guard, Standing: 3600e6, Fresh: 10e6, Stale: 24 * 3600e6, Least: 0.1, Half: 30e6}
}

// Believed is what a starting program may go by.
type Believed struct {
	Standing []Call                      // calls that stood, and may still
	Release  []Call                      // attempts that were out: nobody waits for them any more, and their offices are to be told
	Guards   map[uint64]int64            // no attempt of these before then
	Members  []Member                    // with the weight that their age leaves; drained ones stay drained
	Limits   map[decide.ServerID]float64 // of members alone
	Dropped  int                         // records too old to be believed
}

// Believe tells what of a state may still be believed at a time. A cut ends every attempt that was out, and its guard runs
// from now on, for nobody knows when it ended. A clock that was set back makes nothing older than it is, and no guard longer.
func Believe(s State, now int64, t Trust) Believed {
	b := Believed{Guards: map[uint64]int64{}, Limits: map[decide.ServerID]float64{}}
	for _, id := range slices.Sorted(maps.Keys(s.Calls)) {
		c := s.Calls[id]
		switch c.Stage {
		case Out:
			b.Release = append(b.Release, c)
			b.Guards[id] = now + t.Guard
		case Stands:
			if now-c.Since > t.Standing {
				b.Release = append(b.Release, c)
				b.Dropped++
				continue
			}
			b.Standing = append(b.Standing, c)
		case Guarded:
			if until := min(c.Until, now+t.Guard); until > now {
				b.Guards[id] = until
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.Members)) {
		m := s.Members[id]
		age := max(0, now-m.Told)
		if age >= t.Stale {
			b.Dropped++
			continue
		}
		if age > t.Fresh {
			m.Share *= 1 - (1-t.Least)*float64(age-t.Fresh)/float64(t.Stale-t.Fresh)
		}
		b.Members = append(b.Members, m)
		if l, ok := s.Limits[id]; ok {
			open := l.Open
			for left := max(0, now-l.Learned); left >= t.Half && open >= 1; left -= t.Half {
				open /= 2
			}
			if open >= 1 {
				b.Limits[id] = open
			}
		}
	}
	return b
}
