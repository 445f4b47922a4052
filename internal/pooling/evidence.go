package pooling

import "slices"

// Counts counts signs by their number. They only grow within one epoch of a client in one life of a process.
type Counts [MaxSigns]uint32

// Record is what one life of one process has counted of a client, in one epoch. Its process alone writes it.
type Record struct {
	Process        string
	Incarnation    uint64 // the process's incarnation
	Opinion        Mode   // what that process would allow by its own signs; 0: it has not said
	OpinionVersion uint32 // grows with each change of Opinion, within the life
	Signs          uint64 // mask of the signs that its version knows
	Counts         Counts
}

// Evidence is all that is known of a client. Join makes it a semilattice: epochs first, then denials by union and records one
// by one, later lives before earlier ones, counts by their greatest. So it does not matter in which order, how often or by
// which way anything arrives.
type Evidence struct {
	Epoch    uint32 // begins anew after a denial, or an undecided test, has had its time; all else belongs to one epoch
	Denied   Modes  // by a witness; nothing within the epoch takes it back
	DeniedBy Sign   // the denying sign of the highest number, for the log
	Records  []Record
}

// Join takes in other evidence of the same client. It tells whether anything changed.
func (e *Evidence) Join(o *Evidence) bool { return e.join(o, defectSet{}) }

func (e *Evidence) join(o *Evidence, d defectSet) bool {
	switch {
	case o.Epoch < e.Epoch:
		return false
	case o.Epoch > e.Epoch:
		*e = Evidence{Epoch: o.Epoch, Denied: o.Denied, DeniedBy: o.DeniedBy, Records: slices.Clone(o.Records)}
		return true
	}
	changed := o.Denied&^e.Denied != 0 || o.DeniedBy > e.DeniedBy
	e.Denied, e.DeniedBy = e.Denied|o.Denied, max(e.DeniedBy, o.DeniedBy)
	for i := range o.Records {
		if e.joinRecord(&o.Records[i], d) {
			changed = true
		}
	}
	return changed
}

// find tells where a process's record is, or would be.
func (e *Evidence) find(process string) (int, bool) {
	return slices.BinarySearchFunc(e.Records, process, func(r Record, p string) int {
		switch {
		case r.Process < p:
			return -1
		case r.Process > p:
			return 1
		}
		return 0
	})
}

// joinRecord joins one record of this epoch.
func (e *Evidence) joinRecord(r *Record, d defectSet) bool {
	i, found := e.find(r.Process)
	if !found {
		e.Records = slices.Insert(e.Records, i, *r)
		return true
	}
	return e.Records[i].join(r, d)
}

func (r *Record) join(o *Record, d defectSet) bool {
	switch {
	case o.Incarnation < r.Incarnation:
		return false
	case o.Incarnation > r.Incarnation:
		*r = *o
		return true
	}
	was := *r
	// Guards against a version that was told twice with two sets of signs: the wider one has seen more.
	r.Signs |= o.Signs
	if o.OpinionVersion > r.OpinionVersion {
		r.OpinionVersion, r.Opinion = o.OpinionVersion, o.Opinion
	} else if o.OpinionVersion == r.OpinionVersion {
		r.Opinion = min(r.Opinion, o.Opinion)
	}
	for i, n := range o.Counts {
		if d.joinAdds {
			r.Counts[i] += n
		} else {
			r.Counts[i] = max(r.Counts[i], n)
		}
	}
	return *r != was
}
