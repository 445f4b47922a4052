package pooling

import "slices"

// Counts holds the number of observations of each sign, indexed by Sign. Within one epoch of a client and one life of
// a process, counts only grow.
type Counts [MaxSigns]uint32

// Record holds what one life of a process has counted for a client in one epoch. Only that process writes it.
type Record struct {
	Process        string
	Incarnation    uint64 // incarnation of the process
	Opinion        Mode   // mode that this process would allow on its own evidence; 0: not stated yet
	OpinionVersion uint32 // incremented with each change of Opinion within the incarnation
	Signs          uint64 // mask of the signs that the process's version knows
	Counts         Counts
}

// Evidence is everything known about a client. Join makes it a join-semilattice: the later epoch wins; within an
// epoch denials are united and records are joined per process, where the later incarnation wins and each count is the
// maximum of both. The result does not depend on the order, number or route of the messages.
type Evidence struct {
	Epoch    uint32 // incremented when a denial or an undecided test has expired; all other fields belong to one epoch
	Denied   Modes  // modes denied by a witness; not revoked within the epoch
	DeniedBy Sign   // the highest-numbered sign that denied a mode, for the log
	Records  []Record
}

// Join merges other evidence of the same client and reports whether anything changed.
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

// find returns the index of a process's record, or where to insert it.
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

// joinRecord merges a record of the same epoch and reports whether anything changed.
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
	// If the same incarnation was reported with two sign masks, the union covers what either has seen.
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
