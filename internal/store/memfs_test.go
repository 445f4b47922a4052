package store

import (
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
)

var errCut = errors.New("the power failed")

// memFS is a disk that can fail at any step, and that forgets what was not synced. What a cut leaves is drawn: of each file
// some length between what was synced and what was written, of names those that were synced, and perhaps those since.
type memFS struct {
	mu     sync.Mutex
	files  map[string]*memFile
	synced map[string]*memFile // names that are lasting
	steps  int
	cutAt  int // the step at which the power fails; 0: never
	failAt int // the step that fails alone; 0: none
	slow   chan struct{}
	rng    *rand.Rand
	locked bool
}

type memFile struct {
	data   []byte
	synced int
}

func newMemFS() *memFS {
	return &memFS{files: map[string]*memFile{}, synced: map[string]*memFile{}, rng: rand.New(rand.NewPCG(1, 2))}
}

// step counts a step and tells whether it fails.
func (m *memFS) step() error {
	m.steps++
	if m.cutAt > 0 && m.steps >= m.cutAt || m.steps == m.failAt {
		return errCut
	}
	return nil
}

// afterCut is the disk that a cut leaves.
func (m *memFS) afterCut(seed uint64) *memFS {
	m.mu.Lock()
	defer m.mu.Unlock()
	rng := rand.New(rand.NewPCG(seed, 3))
	n := newMemFS()
	all := maps.Clone(m.synced)
	maps.Copy(all, m.files)
	order := rng.IntN(3) // the names that were synced; those since; or some of each, in any order
	for _, name := range slices.Sorted(maps.Keys(all)) {
		from := m.synced
		if order == 1 || order == 2 && rng.IntN(2) == 0 {
			from = m.files
		}
		f := from[name]
		if f == nil {
			continue
		}
		size := f.synced + rng.IntN(len(f.data)-f.synced+1)
		data := slices.Clone(f.data[:size])
		if size > f.synced && rng.IntN(4) == 0 { // blocks may be there in another order than they were written
			data[f.synced+rng.IntN(size-f.synced)] ^= 0x5a
		}
		c := &memFile{data, len(data)}
		n.files[name], n.synced[name] = c, c
	}
	return n
}

func (m *memFS) clone() *memFS {
	n := newMemFS()
	for name, f := range m.files {
		c := &memFile{slices.Clone(f.data), len(f.data)}
		n.files[name], n.synced[name] = c, c
	}
	return n
}

type memWriter struct {
	m *memFS
	f *memFile
}

func (m *memFS) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.step(); err != nil {
		return nil, err
	}
	f := &memFile{}
	m.files[name] = f
	return &memWriter{m, f}, nil
}

func (w *memWriter) Write(b []byte) (int, error) {
	if w.m.slow != nil {
		<-w.m.slow
	}
	w.m.mu.Lock()
	defer w.m.mu.Unlock()
	if err := w.m.step(); err != nil {
		n := w.m.rng.IntN(len(b) + 1)
		w.f.data = append(w.f.data, b[:n]...)
		return n, err
	}
	w.f.data = append(w.f.data, b...)
	return len(b), nil
}

func (w *memWriter) Sync() error {
	w.m.mu.Lock()
	defer w.m.mu.Unlock()
	if err := w.m.step(); err != nil {
		return err
	}
	w.f.synced = len(w.f.data)
	return nil
}

func (w *memWriter) Close() error { return nil }

type memReader struct{ data []byte }

func (r memReader) Size() int64  { return int64(len(r.data)) }
func (r memReader) Close() error { return nil }
func (r memReader) ReadAt(b []byte, at int64) (int, error) {
	if at >= int64(len(r.data)) {
		return 0, io.EOF
	}
	n := copy(b, r.data[at:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (m *memFS) Open(name string) (Reader, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.files[name]
	if f == nil {
		return nil, errors.New("no such file: " + name)
	}
	return memReader{slices.Clone(f.data)}, nil
}

func (m *memFS) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.step(); err != nil {
		return err
	}
	f := m.files[from]
	if f == nil {
		return errors.New("no such file: " + from)
	}
	delete(m.files, from)
	m.files[to] = f
	return nil
}

func (m *memFS) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.step(); err != nil {
		return err
	}
	delete(m.files, name)
	return nil
}

func (m *memFS) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.files)), nil
}

func (m *memFS) Sync() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.step(); err != nil {
		return err
	}
	m.synced = maps.Clone(m.files)
	return nil
}

type memLock struct{ m *memFS }

func (l memLock) Close() error { l.m.mu.Lock(); defer l.m.mu.Unlock(); l.m.locked = false; return nil }

func (m *memFS) Lock(string) (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.locked {
		return nil, ErrLocked
	}
	m.locked = true
	return memLock{m}, nil
}
