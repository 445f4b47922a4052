package fleet

import (
	"bytes"
	"maps"
	"slices"
)

// Own is the process's own entry as it stands. It must not be written to but in Write.
func (b *Registry) Own() *Entry { return b.own }

// Write changes the process's own entry and returns it, coded whole, to be spread. Name, incarnation and version are the
// registry's.
func (b *Registry) Write(change func(*Entry)) []byte {
	b.change(change)
	return b.code()
}

// Change changes the process's own entry and returns it as it is to be spread: an update if it says all, else whole.
func (b *Registry) Change(change func(*Entry)) Coded {
	b.change(change)
	if !b.Heads || !b.updateSays() {
		return Coded{Entry: b.code()}
	}
	e := b.own
	u := Update{Name: e.Name, Incarnation: e.Incarnation, Base: b.ownBase.Version, Version: e.Version, State: e.State, Settings: e.Settings, Roster: e.Roster}
	b.update = u.Encode()
	return Coded{b.ownRaw, b.update}
}

// SetWindows puts the process's own windows into its entry, for the views to come and for when it is next coded with them.
func (b *Registry) SetWindows(windows []Window) {
	e := *b.own // views hold the last one
	e.Windows = windows
	b.own = &e
}

// updateSays tells whether the own entry differs from what was last coded whole in what an update holds alone.
func (b *Registry) updateSays() bool {
	e, was := b.own, b.ownBase
	return was.Windows == nil && e.Incarnation == was.Incarnation && e.Program == was.Program && e.Zone == was.Zone && e.Protocol == was.Protocol &&
		maps.EqualFunc(e.Parts, was.Parts, bytes.Equal)
}

// change changes the own entry and gives it its next version.
func (b *Registry) change(change func(*Entry)) {
	e := *b.own // views hold the last one
	e.Windows, e.Parts = slices.Clone(e.Windows), maps.Clone(e.Parts)
	change(&e)
	e.Name, e.Incarnation, e.Version = b.own.Name, b.own.Incarnation, b.own.Version+1
	for k, body := range e.Parts {
		if len(body) > MaxBody || len(body) == 0 {
			delete(e.Parts, k)
		}
	}
	b.replaceOwn(&e)
}

// replaceOwn puts another own entry in place of the last.
func (b *Registry) replaceOwn(e *Entry) {
	b.digest.toggle(b.own.newest())
	b.own = e
	b.digest.toggle(e.newest())
	b.changed = true
}

// code codes the own entry whole.
func (b *Registry) code() []byte {
	told := *b.own
	if b.Heads {
		told.Windows = nil
	}
	raw := told.Encode()
	if len(raw) > MaxEntry {
		b.Counts.Over++
		b.own.Parts, told.Parts = nil, nil
		raw = told.Encode()
	}
	b.ownBase, b.ownRaw, b.update = &told, raw, nil
	return raw
}

// ofOwn takes what is told of this process. An earlier incarnation whose clock was ahead of this one's would shadow it, so
// this one takes a higher number. Same: it is what this process told itself.
func (b *Registry) ofOwn(incarnation, version uint64, same bool) (string, []byte, error) {
	o := b.own
	if incarnation < o.Incarnation || incarnation == o.Incarnation && (version < o.Version || same) {
		b.Counts.Old++
		return "", nil, nil
	}
	b.Counts.Raised++
	b.raised++
	next := *o
	next.Incarnation, next.Version = min(incarnation+1, maxIncarnation), 0
	b.replaceOwn(&next)
	spread := b.Write(func(*Entry) {})
	if b.raised > maxIncarnationBumps {
		return o.Name, spread, &NameTwiceError{o.Name, b.raised}
	}
	return o.Name, spread, nil
}
