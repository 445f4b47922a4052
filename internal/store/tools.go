package store

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Report is what a look at a store found. It is looked at without being opened: nothing is changed.
type Report struct {
	Files  []FileInfo `json:"files"`
	Damage []Damage   `json:"damage"`
	Keys   int        `json:"keys"`
	Bytes  int64      `json:"bytes"`
	Last   uint64     `json:"last"` // number of the last frame
	// Recovered tells what an open would give.
	State map[string][]byte `json:"-"`
}

// Sound tells that every file holds what was written, but for a torn tail.
func (r *Report) Sound() bool {
	return !slices.ContainsFunc(r.Damage, func(d Damage) bool { return d.Lost })
}

// Inspect looks at a store that nobody has open.
func Inspect(fs FS, later Later) (*Report, error) {
	lock, err := fs.Lock(lockName)
	if err != nil {
		return nil, err
	}
	defer func() { _ = lock.Close() }() // nothing was written
	l, err := load(fs, later)
	if err != nil {
		return nil, err
	}
	r := &Report{Files: l.files, Damage: l.damage, Keys: len(l.live), Bytes: l.bytes, Last: l.last, State: l.live}
	names, err := fs.List()
	if err != nil {
		return nil, err
	}
	for _, name := range append(l.leftover, names...) {
		if strings.HasPrefix(name, asidePrefix) || slices.Contains(l.leftover, name) && !slices.ContainsFunc(r.Files, func(f FileInfo) bool { return f.Name == name }) {
			r.Files = append(r.Files, FileInfo{Name: name, Aside: true})
		}
	}
	return r, nil
}

// Compact writes a store that nobody has open anew, as one checkpoint.
func Compact(fs FS, opt Options) error {
	s, err := Open(fs, opt)
	if err != nil {
		return err
	}
	if err := s.Sync(); err != nil {
		_ = s.Close() // the error before it counts
		return err
	}
	return s.closeCompacted()
}

// closeCompacted compacts on the way out.
func (s *Store) closeCompacted() error {
	before := s.Stats().Failures
	s.mu.Lock()
	s.closed = true
	s.signal()
	s.mu.Unlock()
	<-s.ended
	var err error
	if s.file, err = s.fs.Create(segmentName(s.segment + 1)); err == nil {
		s.segment++
		s.old = append(s.old, s.name)
		s.name = segmentName(s.segment)
		if _, err = s.file.Write(head(kindSegment, s.segment)); err == nil {
			err = s.file.Sync()
		}
		if err2 := s.file.Close(); err == nil {
			err = err2
		}
	}
	if err == nil {
		m := manifest{Form: Version, Checkpoint: checkpointName(s.number), Number: s.number, First: s.segment}
		c := compacted{name: m.Checkpoint, was: maps.Clone(s.index), freed: slices.DeleteFunc(slices.Clone(s.old), func(n string) bool { return n == m.Checkpoint })}
		c.refs, c.size, c.err = checkpoint(s.fs, m, c.was)
		s.compacted(c)
		err = c.err
	}
	if err2 := s.lock.Close(); err == nil {
		err = err2
	}
	if err == nil && s.Stats().Failures != before {
		err = fmt.Errorf("store: some files could not be removed")
	}
	return err
}

// Repair writes what can be recovered of a store anew, and sets aside every file that it was made of; nothing is deleted.
// A dry run tells what would be set aside and changes nothing.
func Repair(fs FS, later Later, dry bool) (aside []string, r *Report, err error) {
	if r, err = Inspect(fs, later); err != nil {
		return nil, nil, err
	}
	if len(r.Damage) == 0 {
		return nil, r, nil
	}
	for _, f := range r.Files {
		if !strings.HasPrefix(f.Name, asidePrefix) {
			aside = append(aside, f.Name)
		}
	}
	if names, err := fs.List(); err != nil {
		return nil, r, err
	} else if slices.Contains(names, manifestName) {
		aside = append(aside, manifestName)
	}
	if dry {
		return aside, r, nil
	}
	lock, err := fs.Lock(lockName)
	if err != nil {
		return nil, r, err
	}
	defer func() { _ = lock.Close() }() // all is on the disk
	for _, name := range aside {
		if err := fs.Rename(name, asidePrefix+name); err != nil {
			return aside, r, err
		}
	}
	var ops []Op
	for _, k := range slices.Sorted(maps.Keys(r.State)) {
		ops = append(ops, Op{Key: k, Value: r.State[k]})
	}
	// One segment that begins with the whole state, behind all numbers that were used.
	number := uint64(1)
	for _, f := range r.Files {
		var n uint64
		if _, err := fmt.Sscanf(f.Name, "segment-%x", &n); err == nil {
			number = max(number, n+1)
		}
	}
	w, err := fs.Create(segmentName(number))
	if err != nil {
		return aside, r, err
	}
	_, err = w.Write(appendFrame(head(kindSegment, number), r.Last+1, Whole, ops))
	if err == nil {
		err = w.Sync()
	}
	if err2 := w.Close(); err == nil {
		err = err2
	}
	if err == nil {
		err = fs.Sync()
	}
	return aside, r, err
}
