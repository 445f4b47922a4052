package store

import (
	"maps"
	"slices"
)

// compacted is the end of a compaction.
type compacted struct {
	err   error
	name  string
	size  int64
	refs  map[string]ref // where each value is now
	was   map[string]ref // where it was
	freed []string
}

// A compaction is worth its work when what is on the disk is this many times what is live, or in so many files.
const wasteful, manyFiles = 3, 64

// compactIfDue begins a compaction beside the writing if there is enough to gain. The segment that is written is closed
// first, so that the checkpoint holds all up to a frame's number.
func (s *Store) compactIfDue() {
	if total := s.total(); !s.working && s.file != nil && (total > wasteful*s.live && total > s.opt.CompactAt || len(s.old) > manyFiles) {
		s.startCompaction()
	}
}

func (s *Store) startCompaction() {
	// Guards against a checkpoint that would take the name, and so the place, of the one before it, and go with the files
	// that it replaces: where nothing was written since that one, a frame that changes nothing is.
	var err error
	if slices.Contains(s.old, checkpointName(s.number)) {
		err = s.frames([]batch{{}})
	}
	if err == nil {
		err = s.roll()
	}
	if err != nil {
		s.fail(err)
		s.drop()
		return
	}
	s.imu.RLock()
	was := maps.Clone(s.index)
	s.imu.RUnlock()
	s.working = true
	m := manifest{Form: Version, Checkpoint: checkpointName(s.number), Number: s.number, First: s.segment}
	freed := slices.Clone(s.old)
	go func() {
		c := compacted{name: m.Checkpoint, was: was, freed: freed}
		c.refs, c.size, c.err = checkpoint(s.fs, m, was)
		s.compact <- c
	}()
}

// checkpointFrame is about how many bytes a frame of a checkpoint has. Tests have smaller ones.
var checkpointFrame = 64 << 10

// checkpoint writes a checkpoint of the values at these places, and the manifest that names it. Each step is lasting
// before the next one begins: the checkpoint under another name, then under its own, then the manifest likewise. A cut
// between any two leaves the old manifest with all that it names, or the new one with all that it names.
func checkpoint(fs FS, m manifest, was map[string]ref) (refs map[string]ref, size int64, err error) {
	f, err := fs.Create(m.Checkpoint + tmpSuffix)
	if err != nil {
		return nil, 0, err
	}
	defer func() {
		if err != nil {
			_ = f.Close() // the error before it counts
		}
	}()
	r := newReaders(fs)
	defer r.close()
	refs = make(map[string]ref, len(was))
	buf := head(kindCheckpoint, m.Number)
	var ops []Op
	room := 0
	out := func(flags byte) error {
		at := len(buf)
		buf = appendFrame(buf, m.Number, flags, ops)
		fr, err := readFrame(buf[at:], Version)
		if err != nil {
			return err
		}
		for i, op := range ops {
			refs[op.Key] = ref{m.Checkpoint, size + int64(at+fr.at[i]), len(op.Value)}
		}
		_, err = f.Write(buf)
		size += int64(len(buf))
		buf, ops, room = buf[:0], ops[:0], 0
		return err
	}
	for _, k := range slices.Sorted(maps.Keys(was)) {
		v, err := r.value(was[k])
		if err != nil {
			return nil, 0, err
		}
		ops = append(ops, Op{Key: k, Value: v})
		if room += len(k) + len(v); room >= checkpointFrame {
			if err := out(0); err != nil {
				return nil, 0, err
			}
		}
	}
	if err = out(End); err != nil {
		return nil, 0, err
	}
	if err = f.Sync(); err != nil {
		return nil, 0, err
	}
	if err = f.Close(); err != nil {
		return nil, 0, err
	}
	if err = fs.Rename(m.Checkpoint+tmpSuffix, m.Checkpoint); err != nil {
		return nil, 0, err
	}
	if err = fs.Sync(); err != nil {
		return nil, 0, err
	}
	return refs, size, writeManifest(fs, m)
}

func writeManifest(fs FS, m manifest) error {
	f, err := fs.Create(manifestName + tmpSuffix)
	if err != nil {
		return err
	}
	if _, err = f.Write(m.encode()); err == nil {
		err = f.Sync()
	}
	if err2 := f.Close(); err == nil {
		err = err2
	}
	if err == nil {
		err = fs.Rename(manifestName+tmpSuffix, manifestName)
	}
	if err == nil {
		err = fs.Sync()
	}
	return err
}

// compacted takes in a compaction that has ended: values that have not changed since are in the checkpoint now, and the
// files before it go.
func (s *Store) compacted(c compacted) {
	s.working = false
	if c.err != nil {
		s.fail(c.err)
		return
	}
	s.imu.Lock()
	for k, was := range c.was {
		if s.index[k] == was {
			s.index[k] = c.refs[k]
		}
	}
	s.imu.Unlock()
	s.bytes[c.name] = c.size
	s.old = append(slices.DeleteFunc(s.old, func(n string) bool { return slices.Contains(c.freed, n) }), c.name)
	for _, name := range c.freed {
		delete(s.bytes, name)
		var err error
		if s.harmed[name] { // nothing damaged is thrown away: somebody may want to know
			err = s.fs.Rename(name, asidePrefix+name)
		} else {
			err = s.fs.Remove(name)
		}
		if err != nil {
			s.fail(err) // the manifest does not name it: the next open removes it
		}
	}
	s.mu.Lock()
	s.stats.Compactions++
	s.mu.Unlock()
}
