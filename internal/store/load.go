package store

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"slices"
	"strconv"
	"strings"
)

// Damage is a place where a file does not hold what was written there.
type Damage struct {
	File   string `json:"file"`
	Offset int64  `json:"offset"`
	What   string `json:"what"`
	// Lost tells that whole frames follow: what was changed between is not known. Else it is a torn tail, as a cut leaves it.
	Lost bool `json:"lost"`
}

func (d Damage) String() string { return fmt.Sprintf("%s at %d: %s", d.File, d.Offset, d.What) }

// Later decides what a change that was found behind damage does to a value from before it: what to apply, if anything.
// It may end what was, and must not bring anything new. Deletions are always applied.
type Later func(key string, have []byte, op Op) (Op, bool)

// ref is where a value is.
type ref struct {
	file   string
	offset int64
	size   int
}

// FileInfo is what one file holds.
type FileInfo struct {
	Name    string `json:"name"`
	Form    byte   `json:"form"`
	Bytes   int64  `json:"bytes"`
	Frames  int    `json:"frames"`
	First   uint64 `json:"first,omitempty"` // numbers of its frames
	Last    uint64 `json:"last,omitempty"`
	Aside   bool   `json:"aside,omitempty"` // not part of the store: left over from a cut, or set aside by a repair
	Damaged bool   `json:"damaged,omitempty"`
}

// loaded is a store as it was read back.
type loaded struct {
	live     map[string][]byte
	refs     map[string]ref
	last     uint64 // highest number seen
	segment  uint64 // highest number of a segment seen
	gap      bool   // frames are missing: what follows has to begin with the whole state
	damage   []Damage
	files    []FileInfo
	names    []string // of the files that hold the state
	leftover []string
	bytes    int64
}

func segmentName(n uint64) string    { return fmt.Sprintf("segment-%016x", n) }
func checkpointName(n uint64) string { return fmt.Sprintf("checkpoint-%016x", n) }

const (
	manifestName = "manifest"
	lockName     = "lock"
	tmpSuffix    = ".new"
	asidePrefix  = "aside-"
)

// manifest names what the state is made of.
type manifest struct {
	Form       int    `json:"form"`
	Checkpoint string `json:"checkpoint,omitempty"`
	Number     uint64 `json:"number"` // of the last frame that the checkpoint holds
	First      uint64 `json:"first"`  // the first segment behind it
}

func (m manifest) encode() []byte {
	text, _ := json.Marshal(m) // plain fields
	return fmt.Appendf(nil, "%08x %s\n", crc32.Checksum(text, castagnoli), text)
}

func decodeManifest(b []byte) (m manifest, err error) {
	sum, text, ok := strings.Cut(strings.TrimSuffix(string(b), "\n"), " ")
	n, err := strconv.ParseUint(sum, 16, 32)
	if !ok || err != nil || uint32(n) != crc32.Checksum([]byte(text), castagnoli) {
		return m, fmt.Errorf("manifest damaged")
	}
	if err := json.Unmarshal([]byte(text), &m); err != nil {
		return m, fmt.Errorf("manifest: %w", err)
	}
	if m.Form < 1 || m.Form > Version {
		return m, fmt.Errorf("manifest: form %d; this program reads 1 to %d", m.Form, Version)
	}
	return m, nil
}

func readAll(fs FS, name string) ([]byte, error) {
	r, err := fs.Open(name)
	if err != nil {
		return nil, err
	}
	b := make([]byte, r.Size())
	n, err := r.ReadAt(b, 0)
	_ = r.Close() // it was only read
	if err == io.EOF || n == len(b) {
		err = nil
	}
	return b[:n], err
}

// load reads a store back. A file system that fails is an error; what is damaged is not.
func load(fs FS, later Later) (*loaded, error) {
	names, err := fs.List()
	if err != nil {
		return nil, err
	}
	l := &loaded{live: map[string][]byte{}, refs: map[string]ref{}}
	var segments, checkpoints []uint64
	for _, name := range names {
		kind, number, ok := strings.Cut(name, "-")
		n, err := strconv.ParseUint(number, 16, 64)
		switch {
		case ok && err == nil && kind == "segment":
			segments = append(segments, n)
			l.segment = max(l.segment, n)
		case ok && err == nil && kind == "checkpoint":
			checkpoints = append(checkpoints, n)
		case strings.HasSuffix(name, tmpSuffix):
			l.leftover = append(l.leftover, name)
		}
	}
	slices.Sort(segments)
	slices.Sort(checkpoints)
	m, known, err := l.manifest(fs, names)
	if err != nil {
		return nil, err
	}
	// Without a manifest the newest checkpoint that is whole serves: one that no manifest names yet holds the same state
	// as the segments before it, which are removed only after it is named.
	var applied uint64
	for _, n := range slices.Backward(checkpoints) {
		name := checkpointName(n)
		if known && name != m.Checkpoint || applied != 0 {
			l.leftover = append(l.leftover, name)
			continue
		}
		whole, err := l.checkpoint(fs, name, known)
		if err != nil {
			return nil, err
		}
		if whole || known {
			applied = n
		}
	}
	if known && m.Checkpoint != "" && applied == 0 {
		l.damage = append(l.damage, Damage{m.Checkpoint, 0, "the checkpoint that the manifest names is not there", true})
		l.gap, applied = true, m.Number
	}
	l.last = max(l.last, applied)
	for _, n := range segments {
		if known && n < m.First {
			l.leftover = append(l.leftover, segmentName(n))
			continue
		}
		if err := l.segmentFile(fs, n, &applied, later); err != nil {
			return nil, err
		}
	}
	return l, nil
}

func (l *loaded) manifest(fs FS, names []string) (m manifest, known bool, err error) {
	if !slices.Contains(names, manifestName) {
		return m, false, nil
	}
	b, err := readAll(fs, manifestName)
	if err != nil {
		return m, false, err
	}
	l.bytes += int64(len(b))
	m, err = decodeManifest(b)
	if err != nil {
		l.damage = append(l.damage, Damage{manifestName, 0, err.Error(), false})
		return m, false, nil
	}
	return m, true, nil
}

// checkpoint applies a checkpoint's frames. Without its end it is not whole, and without a manifest that names it, it is
// not taken at all; of one that is named the whole frames are taken, for each of them holds values of one moment.
func (l *loaded) checkpoint(fs FS, name string, named bool) (whole bool, err error) {
	b, err := readAll(fs, name)
	if err != nil {
		return false, err
	}
	info := FileInfo{Name: name, Bytes: int64(len(b))}
	live, refs := map[string][]byte{}, map[string]ref{}
	at := headSize
	version, _, err := readHead(b, kindCheckpoint)
	for err == nil && !whole {
		var f frame
		if f, err = readFrame(b[at:], version); err != nil {
			break
		}
		for i, op := range f.ops {
			live[op.Key] = op.Value
			refs[op.Key] = ref{name, int64(at + f.at[i]), len(op.Value)}
		}
		info.Frames++
		whole = f.flags&End != 0
		at += f.size
	}
	info.Form, info.Damaged = version, !whole
	if !whole && !named {
		info.Aside = true
		l.files = append(l.files, info)
		l.damage = append(l.damage, Damage{name, int64(at), "a checkpoint that is not whole, and that no manifest names", false})
		return false, nil
	}
	if !whole {
		l.damage = append(l.damage, Damage{name, int64(min(at, len(b))), err.Error(), true})
		l.gap = true
	}
	l.live, l.refs = live, refs
	l.files, l.names, l.bytes = append(l.files, info), append(l.names, name), l.bytes+info.Bytes
	return whole, nil
}

// segmentFile applies a segment's frames behind those that are applied.
func (l *loaded) segmentFile(fs FS, number uint64, applied *uint64, later Later) error {
	name := segmentName(number)
	b, err := readAll(fs, name)
	if err != nil {
		return err
	}
	info := FileInfo{Name: name, Bytes: int64(len(b))}
	at := headSize
	version, _, err := readHead(b, kindSegment)
	for err == nil && at < len(b) {
		var f frame
		if f, err = readFrame(b[at:], version); err != nil {
			break
		}
		if info.Frames++; info.First == 0 {
			info.First = f.number
		}
		info.Last = f.number
		l.apply(name, int64(at), f, applied, later)
		at += f.size
	}
	if err != nil {
		info.Damaged = true
		l.damage = append(l.damage, Damage{name, int64(min(at, len(b))), err.Error(), false})
	}
	info.Form = version
	l.files, l.names, l.bytes = append(l.files, info), append(l.names, name), l.bytes+info.Bytes
	return nil
}

// apply takes one frame of a segment.
func (l *loaded) apply(name string, at int64, f frame, applied *uint64, later Later) {
	l.last = max(l.last, f.number)
	switch {
	case f.number <= *applied && !l.gap:
		return // the checkpoint has it
	case f.flags&Whole != 0:
		l.live, l.refs, l.gap = map[string][]byte{}, map[string]ref{}, false
	case f.number != *applied+1 && !l.gap:
		l.gap = true
		if n := len(l.damage); n > 0 { // behind a torn tail the numbers go on; here they do not
			l.damage[n-1].Lost = true
		} else {
			l.damage = append(l.damage, Damage{name, at, fmt.Sprintf("frame %d follows on %d", f.number, *applied), true})
		}
	}
	*applied = max(*applied, f.number)
	for i, op := range f.ops {
		if l.gap {
			// Guards against reviving: what came between is not known, and what this ends stays ended.
			have, ok := l.live[op.Key]
			if !ok {
				continue
			}
			if !op.Delete {
				if later == nil {
					continue
				}
				o, do := later(op.Key, have, op)
				if !do {
					continue
				}
				op = o
				op.Key = f.ops[i].Key
				l.live[op.Key] = op.Value
				l.refs[op.Key] = ref{} // it is written anew with the whole state
			}
		}
		if op.Delete {
			delete(l.live, op.Key)
			delete(l.refs, op.Key)
		} else if !l.gap {
			l.live[op.Key] = op.Value
			l.refs[op.Key] = ref{name, at + int64(f.at[i]), len(op.Value)}
		}
	}
}
