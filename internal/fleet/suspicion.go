package fleet

import "cmp"

// Up says that the membership sees a process.
func (b *Registry) Up(now int64, name string) {
	if len(b.seen) < MaxMembers {
		b.seen[name] = true
	}
	r := b.records[name]
	if r == nil {
		return
	}
	r.seen = true
	if r.gone != 0 {
		r.gone, r.heard, b.changed = 0, now, true
	}
}

// Gone says that the membership no longer sees a process. That is no proof of its end.
func (b *Registry) Gone(now int64, name string) {
	delete(b.seen, name)
	r := b.records[name]
	if r == nil {
		return
	}
	r.seen = false
	if r.gone == 0 {
		r.gone, b.changed = max(1, now), true
	}
}

// quietFor is after how long without news a process is suspected. One that tells of itself on change alone, and that the
// membership sees, is given some heartbeats; any other only so long as it takes to hear of it, or to see it.
func (b *Registry) quietFor(r *record) int64 {
	if r.seen && r.entry.Protocol >= ProtocolHeads {
		return max(heartbeatsMissed*DefaultHeartbeat, cmp.Or(b.Stale, DefaultStale)) * b.IntervalFactor()
	}
	return cmp.Or(b.Stale, DefaultStale) * b.IntervalFactor()
}

// stateOf tells whether a process is suspected, and whether it is left out of the view.
func (b *Registry) stateOf(now int64, r *record) (suspect, left bool) {
	stale, absent := b.quietFor(r), cmp.Or(b.Absent, DefaultAbsent)
	quiet := now - r.heard
	if r.entry.State == Leaving && (r.gone != 0 || quiet >= leftFor) {
		return true, true
	}
	if u := r.update; u != nil && u.State == Leaving && (r.gone != 0 || quiet >= leftFor) {
		return true, true
	}
	suspect = r.gone != 0 || quiet >= stale
	left = r.gone != 0 && now-r.gone >= absent || quiet >= absent+stale
	return suspect, left
}

// judge brings up to date who is suspected and who is left out.
func (b *Registry) judge(now int64) {
	for _, r := range b.records {
		suspect, left := b.stateOf(now, r)
		if suspect == r.bad && left == r.left {
			continue
		}
		r.bad, r.left, r.since, b.changed = suspect, left, now, true
		if left {
			b.unlist(r)
		} else {
			b.list(r)
		}
	}
}
