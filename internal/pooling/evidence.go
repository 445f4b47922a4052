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
func (e *Evidence) Join(other *Evidence) bool { return e.join(other, defectSet{}) }

func (e *Evidence) join(other *Evidence, defects defectSet) bool {
	switch {
	case other.Epoch < e.Epoch:
		return false
	case other.Epoch > e.Epoch:
		*e = Evidence{Epoch: other.Epoch, Denied: other.Denied, DeniedBy: other.DeniedBy,
			Records: slices.Clone(other.Records)}
		return true
	}
	changed := other.Denied&^e.Denied != 0 || other.DeniedBy > e.DeniedBy
	e.Denied, e.DeniedBy = e.Denied|other.Denied, max(e.DeniedBy, other.DeniedBy)
	for i := range other.Records {
		if e.joinRecord(&other.Records[i], defects) {
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
func (e *Evidence) joinRecord(r *Record, defects defectSet) bool {
	i, found := e.find(r.Process)
	if !found {
		e.Records = slices.Insert(e.Records, i, *r)
		return true
	}
	return e.Records[i].join(r, defects)
}

func (r *Record) join(other *Record, defects defectSet) bool {
	switch {
	case other.Incarnation < r.Incarnation:
		return false
	case other.Incarnation > r.Incarnation:
		*r = *other
		return true
	}
	before := *r
	// If the same incarnation was reported with two sign masks, the union covers what either has seen.
	r.Signs |= other.Signs
	if other.OpinionVersion > r.OpinionVersion {
		r.OpinionVersion, r.Opinion = other.OpinionVersion, other.Opinion
	} else if other.OpinionVersion == r.OpinionVersion {
		r.Opinion = min(r.Opinion, other.Opinion)
	}
	for i, n := range other.Counts {
		if defects.joinAdds {
			r.Counts[i] += n
		} else {
			r.Counts[i] = max(r.Counts[i], n)
		}
	}
	return *r != before
}
