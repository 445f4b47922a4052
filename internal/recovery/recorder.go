package recovery

import (
	"maps"
	"slices"

	"pewterwheel/decide"
	"pewterwheel/internal/store"
)

// Recorder turns the events of a round into one batch of records. It keeps the state, so that it can be written as a
// whole where batches were lost. It belongs to one goroutine.
type Recorder struct {
	state   State
	changed map[string]store.Op // in this round, by key: the last change counts
	stored  map[string]bool     // keys that an earlier batch contains
}

// NewRecorder returns a recorder that continues from a state that the store already has.
func NewRecorder(state State) *Recorder {
	r := &Recorder{state: state, changed: map[string]store.Op{}, stored: map[string]bool{}}
	r.Snapshot()
	return r
}

func (r *Recorder) addChange(op store.Op) { r.changed[op.Key] = op }

// AttemptSent records that an attempt is out.
func (r *Recorder) AttemptSent(id uint64, office decide.ServerID, attempts int, now, deadline int64) {
	r.setCall(Call{ID: id, Stage: AttemptOut, Office: office, Attempts: attempts, Since: now, Deadline: deadline})
}

// CallEstablished records that a call is established.
func (r *Recorder) CallEstablished(id uint64, office decide.ServerID, now int64) {
	r.setCall(Call{ID: id, Stage: Established, Office: office, Attempts: r.state.Calls[id].Attempts, Since: now})
}

func (r *Recorder) setCall(call Call) {
	r.state.Calls[call.ID] = call
	r.addChange(call.op())
}

// Ended records that a call's attempt, or the call, has ended. A call is kept while its guard time runs.
func (r *Recorder) Ended(id uint64, now, guard int64) {
	call, ok := r.state.Calls[id]
	switch {
	case !ok:
	case guard > now:
		call.Stage, call.Since, call.Until = Guarded, now, guard
		r.setCall(call)
	default:
		delete(r.state.Calls, id)
		r.addChange(deletion(call.op().Key))
	}
}

// ExpireGuards removes calls whose guard time has passed.
func (r *Recorder) ExpireGuards(now int64) {
	for id, c := range r.state.Calls { // the order is irrelevant: calls are independent
		if c.Stage == Guarded && c.Until <= now {
			r.Ended(id, now, 0)
		}
	}
}

// SetOffice records an entry of the list of offices.
func (r *Recorder) SetOffice(entry OfficeEntry) {
	if entry.State == decide.Removed {
		if _, ok := r.state.Offices[entry.Office]; ok {
			delete(r.state.Offices, entry.Office)
			r.addChange(deletion(entry.op().Key))
		}
		r.SetLimit(Limit{Office: entry.Office})
		return
	}
	if r.state.Offices[entry.Office] != entry {
		r.state.Offices[entry.Office] = entry
		r.addChange(entry.op())
	}
}

// SetLimit records a learned limit; an Open of zero removes it.
func (r *Recorder) SetLimit(limit Limit) {
	previous, ok := r.state.Limits[limit.Office]
	switch {
	case limit.Open <= 0 && ok:
		delete(r.state.Limits, limit.Office)
		r.addChange(deletion(limit.op().Key))
	case limit.Open > 0 && previous != limit:
		r.state.Limits[limit.Office] = limit
		r.addChange(limit.op())
	}
}

// Batch returns the changes since the last batch, ordered by key. Records that were both created and deleted since then
// are left out.
func (r *Recorder) Batch() []store.Op {
	var ops []store.Op
	for _, key := range slices.Sorted(maps.Keys(r.changed)) {
		op := r.changed[key]
		if op.Delete && !r.stored[key] {
			continue
		}
		if r.stored[key] = true; op.Delete {
			delete(r.stored, key)
		}
		ops = append(ops, op)
	}
	clear(r.changed)
	return ops
}

// Snapshot returns the whole state, for a store that has lost a batch.
func (r *Recorder) Snapshot() []store.Op {
	clear(r.changed)
	clear(r.stored)
	var ops []store.Op
	for _, id := range slices.Sorted(maps.Keys(r.state.Calls)) {
		ops = append(ops, r.state.Calls[id].op())
	}
	for _, id := range slices.Sorted(maps.Keys(r.state.Offices)) {
		ops = append(ops, r.state.Offices[id].op())
	}
	for _, id := range slices.Sorted(maps.Keys(r.state.Limits)) {
		ops = append(ops, r.state.Limits[id].op())
	}
	for _, op := range ops {
		r.stored[op.Key] = true
	}
	return ops
}

// RetentionPolicy says how long stored state is considered valid. Times are microseconds.
type RetentionPolicy struct {
	Guard         int64   // the rule's guard time: no attempt of a call so soon after one was cut off
	MaxCallAge    int64   // no call is established for longer
	FullWeightAge int64   // an office reported within this age has its full weight
	MaxOfficeAge  int64   // an office last reported this long ago is dropped
	MinWeight     float64 // the part of its weight that an office has just before MaxOfficeAge
	LimitHalfLife int64   // a limit halves each time this has passed
}

// DefaultPolicy returns the policy that applies where no other is configured.
func DefaultPolicy(guard int64) RetentionPolicy {
	return RetentionPolicy{Guard: guard, MaxCallAge: 3600e6, FullWeightAge: 10e6, MaxOfficeAge: 24 * 3600e6,
		MinWeight: 0.1, LimitHalfLife: 30e6}
}

// Restored is the state from which a starting program may continue.
type Restored struct {
	Established []Call                      // established calls that may still exist
	Release     []Call                      // attempts that were out: no caller waits, the offices must be told
	Guards      map[uint64]int64            // no attempt of these calls before then
	Offices     []OfficeEntry               // with the weight that their age leaves; draining ones stay draining
	Limits      map[decide.ServerID]float64 // of offices in Offices only
	Dropped     int                         // records that are too old
}

// Restore returns the part of a state that is still valid at a time. An interruption ends every attempt that was out;
// its guard time runs from now on, because the time of its end is unknown. After the clock was set back, no record
// counts as older than it is and no guard time is longer.
func Restore(state State, now int64, policy RetentionPolicy) Restored {
	restored := Restored{Guards: map[uint64]int64{}, Limits: map[decide.ServerID]float64{}}
	for _, id := range slices.Sorted(maps.Keys(state.Calls)) {
		call := state.Calls[id]
		switch call.Stage {
		case AttemptOut:
			restored.Release = append(restored.Release, call)
			restored.Guards[id] = now + policy.Guard
		case Established:
			if now-call.Since > policy.MaxCallAge {
				restored.Release = append(restored.Release, call)
				restored.Dropped++
				continue
			}
			restored.Established = append(restored.Established, call)
		case Guarded:
			if until := min(call.Until, now+policy.Guard); until > now {
				restored.Guards[id] = until
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(state.Offices)) {
		entry := state.Offices[id]
		age := max(0, now-entry.Told)
		if age >= policy.MaxOfficeAge {
			restored.Dropped++
			continue
		}
		if age > policy.FullWeightAge {
			entry.Share *= 1 - (1-policy.MinWeight)*float64(age-policy.FullWeightAge)/
				float64(policy.MaxOfficeAge-policy.FullWeightAge)
		}
		restored.Offices = append(restored.Offices, entry)
		if limit, ok := state.Limits[id]; ok {
			open := limit.Open
			for since := max(0, now-limit.Learned); since >= policy.LimitHalfLife && open >= 1; since -= policy.LimitHalfLife {
				open /= 2
			}
			if open >= 1 {
				restored.Limits[id] = open
			}
		}
	}
	return restored
}
