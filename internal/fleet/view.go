package fleet

import "sync/atomic"

// Member is one process as this one knows it.
type Member struct {
	Entry
	// Suspect: it has not been heard for a while. That is never taken for its death: it may go on serving, and hold what it
	// held until that runs out.
	Suspect bool
	Since   int64 // since when it is suspected, or known, by this process's clock
}

// View is what one process knows of all, at one moment. It is never written to once it is on the board.
type View struct {
	Number  uint64 // grows with each view of this process
	Self    string
	Members []Member // by name, this process included; without those that have left or been gone for long
}

// Member returns a process by name; nil: not known.
func (v *View) Member(name string) *Member {
	if v == nil {
		return nil
	}
	lo, hi := 0, len(v.Members)
	for lo < hi {
		if mid := int(uint(lo+hi) >> 1); v.Members[mid].Name < name {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo < len(v.Members) && v.Members[lo].Name == name {
		return &v.Members[lo]
	}
	return nil
}

// ViewHolder is where the newest view stands. One goroutine posts; any may read, without a lock or an allocation.
type ViewHolder struct{ view atomic.Pointer[View] }

// Post puts a view in place of the last.
func (b *ViewHolder) Post(v *View) { b.view.Store(v) }

// Read returns the newest view; nil: there is none yet.
func (b *ViewHolder) Read() *View { return b.view.Load() }
