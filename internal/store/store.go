package store

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"
)

// Options are what a store goes by.
type Options struct {
	SegmentBytes int64         // a segment is closed at this size; 0: 4 MiB
	MaxBytes     int64         // on the disk in all; past it nothing is written; 0: 1 GiB
	MaxQueue     int           // bytes that may wait to be written; 0: 4 MiB
	CompactAt    int64         // no compaction while the disk holds less; 0: 64 KiB
	SyncEvery    time.Duration // 0: every commit is synced; negative: never
	Later        Later         // see Later; nil: behind damage only deletions count
}

func (o Options) filled() Options {
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = 4 << 20
	}
	if o.MaxBytes <= 0 {
		o.MaxBytes = 1 << 30
	}
	if o.CompactAt <= 0 {
		o.CompactAt = 64 << 10
	}
	if o.MaxQueue <= 0 {
		o.MaxQueue = 4 << 20
	}
	return o
}

// Stats are what a store has done and holds.
type Stats struct {
	Frames, Syncs, Compactions uint64
	Refused                    uint64 // batches that were not taken: the disk was behind, full or failing
	Failures                   uint64 // writes, syncs or compactions that failed
	Keys                       int
	Bytes                      int64 // on the disk
	Damage                     []Damage
}

type batch struct {
	ops   []Op
	whole bool
	size  int
}

// Store is an open store. Append may be called by one goroutine, the rest by any.
type Store struct {
	fs   FS
	opt  Options
	lock io.Closer

	mu     sync.Mutex
	queue  []batch
	queued int
	broken bool // nothing is taken until the whole state is handed over
	stats  Stats
	taken  uint64 // batches handed over and taken
	synced uint64 // of those, how many are on the disk, or were lost with it
	done   sync.Cond
	closed bool
	wake   chan struct{}
	ended  chan struct{}
	now    bool // whoever waits wants a sync now

	// The writer's alone, but for index, which imu guards.
	imu     sync.RWMutex
	index   map[string]ref
	segment uint64
	name    string
	file    File
	size    int64  // of the segment
	number  uint64 // of the last frame written
	bytes   map[string]int64
	old     []string        // files of the state, but for the segment that is written
	harmed  map[string]bool // those of them that are damaged
	live    int64           // bytes of keys and values
	dirty   bool
	pending uint64 // batches written and not synced
	lastOut time.Time
	buf     []byte
	compact chan compacted
	working bool
}

// Open opens a store, recovers it, and holds its lock until Close.
func Open(fs FS, opt Options) (*Store, error) {
	lock, err := fs.Lock(lockName)
	if err != nil {
		return nil, err
	}
	s := &Store{fs: fs, opt: opt.filled(), lock: lock, wake: make(chan struct{}, 1), ended: make(chan struct{}),
		compact: make(chan compacted, 1), bytes: map[string]int64{}}
	s.done.L = &s.mu
	if err := s.recover(); err != nil {
		_ = lock.Close() // the error before it counts
		return nil, fmt.Errorf("open store: %w", err)
	}
	go s.write()
	return s, nil
}

func (s *Store) recover() error {
	l, err := load(s.fs, s.opt.Later)
	if err != nil {
		return err
	}
	for _, name := range l.leftover { // of a compaction that was cut; the manifest does not name it
		if err := s.fs.Remove(name); err != nil {
			return err
		}
	}
	s.index, s.number, s.segment, s.old = l.refs, l.last, l.segment, l.names
	s.harmed = map[string]bool{}
	for _, f := range l.files {
		s.harmed[f.Name] = f.Damaged
		if !f.Aside {
			s.bytes[f.Name] = f.Bytes
		}
	}
	for k, v := range l.live {
		s.live += int64(len(k) + len(v))
	}
	s.stats.Damage = l.damage
	if err := s.roll(); err != nil {
		return err
	}
	if !l.gap {
		return nil
	}
	// Frames are missing: the numbers cannot go on. What was recovered is the whole state from here on.
	var ops []Op
	for _, k := range slices.Sorted(maps.Keys(l.live)) {
		ops = append(ops, Op{Key: k, Value: l.live[k]})
	}
	if err := s.frames([]batch{{ops: ops, whole: true}}); err != nil {
		return err
	}
	return s.sync()
}

// roll begins a new segment. What the last one holds stays as it is, a torn tail with it.
func (s *Store) roll() error {
	if s.file != nil {
		if err := s.file.Sync(); err != nil {
			return err
		}
		if err := s.file.Close(); err != nil {
			return err
		}
		s.old = append(s.old, s.name)
		s.file = nil
	}
	s.segment++
	name := segmentName(s.segment)
	f, err := s.fs.Create(name)
	if err != nil {
		return err
	}
	if _, err = f.Write(head(kindSegment, s.segment)); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = s.fs.Sync()
	}
	if err != nil {
		_ = f.Close() // the error before it counts
		return err
	}
	s.name, s.file, s.size = name, f, headSize
	s.bytes[name] = headSize
	return nil
}

// Append hands over a batch, which is then the store's: it is written whole or not at all. It never waits for the disk;
// false tells that the batch was refused and that nothing is taken any more until AppendWhole.
func (s *Store) Append(ops []Op) bool { return s.put(batch{ops: ops}) }

// AppendWhole hands over all there is, in place of what was handed over before.
func (s *Store) AppendWhole(ops []Op) bool { return s.put(batch{ops: ops, whole: true}) }

// opSize is what an Op takes beside its key and value.
const opSize = 48

func (s *Store) put(b batch) bool {
	for _, op := range b.ops {
		b.size += len(op.Key) + len(op.Value) + opSize
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.broken && !b.whole || s.queued+b.size > s.opt.MaxQueue && s.queued > 0 || b.size > maxFrame {
		s.stats.Refused++
		s.broken = true
		return false
	}
	s.broken = false
	s.queue = append(s.queue, b)
	s.queued += b.size
	s.taken++
	s.signal()
	return true
}

func (s *Store) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Sync waits until all that was taken is on the disk; an error tells that some of it was lost.
func (s *Store) Sync() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	want, failures := s.taken, s.stats.Failures
	s.now = true
	s.signal()
	for s.synced < want {
		s.done.Wait()
	}
	if s.stats.Failures != failures || s.broken {
		return errors.New("store: some of it was lost")
	}
	return nil
}

// Close writes what is left and lets the store go.
func (s *Store) Close() error {
	err := s.Sync()
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return err
	}
	s.closed = true
	s.signal()
	s.mu.Unlock()
	<-s.ended
	if err2 := s.lock.Close(); err == nil {
		err = err2
	}
	return err
}

// Stats tells what the store has done.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Each reads the state as it is written now, by key; f must not call the store.
func (s *Store) Each(f func(key string, value []byte) error) error {
	s.imu.RLock()
	defer s.imu.RUnlock()
	r := newReaders(s.fs)
	defer r.close()
	for _, k := range slices.Sorted(maps.Keys(s.index)) {
		v, err := r.value(s.index[k])
		if err != nil {
			return err
		}
		if err := f(k, v); err != nil {
			return err
		}
	}
	return nil
}

// readers are open files, by name.
type readers struct {
	fs   FS
	open map[string]Reader
}

func newReaders(fs FS) *readers { return &readers{fs, map[string]Reader{}} }

func (r *readers) value(at ref) ([]byte, error) {
	f := r.open[at.file]
	if f == nil {
		var err error
		if f, err = r.fs.Open(at.file); err != nil {
			return nil, err
		}
		r.open[at.file] = f
	}
	v := make([]byte, at.size)
	if n, err := f.ReadAt(v, at.offset); n < at.size {
		return nil, fmt.Errorf("%s at %d: %w", at.file, at.offset, err)
	}
	return v, nil
}

func (r *readers) close() {
	for _, f := range r.open {
		_ = f.Close() // it was only read
	}
}

// write is the writer: it takes what has gathered, writes it, and syncs it when it is time.
func (s *Store) write() {
	defer close(s.ended)
	timer := time.NewTimer(time.Hour)
	for {
		select {
		case <-s.wake:
		case c := <-s.compact:
			s.compacted(c)
		case <-timer.C:
		}
		s.mu.Lock()
		queue, closed, now := s.queue, s.closed, s.now
		s.queue, s.queued, s.now = nil, 0, false
		s.mu.Unlock()
		if len(queue) > 0 {
			s.commit(queue)
		}
		if s.dirty && (now || closed || s.opt.SyncEvery == 0 || s.opt.SyncEvery > 0 && time.Since(s.lastOut) >= s.opt.SyncEvery) {
			s.fail(s.sync())
		}
		if s.dirty && s.opt.SyncEvery > 0 {
			timer.Reset(s.opt.SyncEvery)
		}
		s.tell(now)
		if closed {
			if s.working {
				s.compacted(<-s.compact)
			}
			if s.file != nil {
				s.fail(s.file.Close())
			}
			return
		}
		s.compactIfDue()
	}
}

// commit writes batches. After a failure the batches are lost, and so is what comes, up to the whole state.
func (s *Store) commit(queue []batch) {
	s.pending += uint64(len(queue))
	for len(queue) > 0 {
		if s.file == nil { // it failed; only the whole state begins anew
			i := slices.IndexFunc(queue, func(b batch) bool { return b.whole })
			if i < 0 {
				s.refuse(len(queue))
				return
			}
			s.refuse(i)
			queue = queue[i:]
			if err := s.roll(); err != nil {
				s.fail(err)
				s.refuse(len(queue))
				return
			}
		}
		// As many as the segment takes; a frame is never in two.
		n, size := 1, queue[0].size
		for n < len(queue) && s.size+int64(size) < s.opt.SegmentBytes {
			size += queue[n].size
			n++
		}
		if s.total()+int64(size) > s.opt.MaxBytes {
			s.fail(errFull)
			s.drop()
			s.refuse(len(queue))
			return
		}
		if err := s.frames(queue[:n]); err != nil {
			s.fail(err)
			s.drop()
			s.refuse(len(queue))
			return
		}
		queue = queue[n:]
		if s.size >= s.opt.SegmentBytes {
			if err := s.roll(); err != nil {
				s.fail(err)
				s.drop()
			}
		}
	}
}

var errFull = errors.New("store: as large as it may be")

func (s *Store) refuse(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Refused += uint64(n)
	s.broken = s.broken || n > 0
}

// drop lets the segment go after a failure: what of the last write is on the disk is not known, so nothing may follow.
func (s *Store) drop() {
	if s.file != nil {
		_ = s.file.Close() // it has failed
		s.old = append(s.old, s.name)
		s.file = nil
	}
	s.mu.Lock()
	s.broken = true
	s.mu.Unlock()
}

func (s *Store) fail(err error) {
	if err == nil {
		return
	}
	s.mu.Lock()
	s.stats.Failures++
	s.mu.Unlock()
}

// frames writes batches as frames, in one write, and enters them into the index.
func (s *Store) frames(queue []batch) error {
	s.buf = s.buf[:0]
	type written struct {
		at  int
		ops []Op
		all bool
	}
	var ws []written
	for _, b := range queue {
		s.number++
		flags := byte(0)
		if b.whole {
			flags = Whole
		}
		ws = append(ws, written{len(s.buf), b.ops, b.whole})
		s.buf = appendFrame(s.buf, s.number, flags, b.ops)
	}
	if _, err := s.file.Write(s.buf); err != nil {
		return err
	}
	s.dirty = true
	s.imu.Lock()
	for _, w := range ws {
		if w.all {
			s.index, s.live = map[string]ref{}, 0
		}
		f, err := readFrame(s.buf[w.at:], Version) // the offsets, by the reader's own rules
		if err != nil {
			s.imu.Unlock()
			return err
		}
		for i, op := range f.ops {
			if was, ok := s.index[op.Key]; ok {
				s.live -= int64(len(op.Key) + was.size)
			}
			if op.Delete {
				delete(s.index, op.Key)
				continue
			}
			s.index[op.Key] = ref{s.name, s.size + int64(w.at+f.at[i]), len(op.Value)}
			s.live += int64(len(op.Key) + len(op.Value))
		}
	}
	s.imu.Unlock()
	s.size += int64(len(s.buf))
	s.bytes[s.name] = s.size
	s.mu.Lock()
	s.stats.Frames += uint64(len(queue))
	s.mu.Unlock()
	if cap(s.buf) > 1<<20 {
		s.buf = nil
	}
	return nil
}

func (s *Store) sync() error {
	s.dirty = false
	s.lastOut = time.Now()
	if s.file == nil {
		return nil
	}
	if err := s.file.Sync(); err != nil {
		s.drop()
		return err
	}
	s.mu.Lock()
	s.stats.Syncs++
	s.mu.Unlock()
	return nil
}

// tell tells whoever waits how far the disk is, and the figures.
func (s *Store) tell(now bool) {
	s.imu.RLock()
	keys := len(s.index)
	s.imu.RUnlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dirty || now {
		s.synced += s.pending
		s.pending = 0
	}
	s.stats.Keys, s.stats.Bytes = keys, s.total()
	s.done.Broadcast()
}

func (s *Store) total() (n int64) {
	for _, b := range s.bytes {
		n += b
	}
	return n
}
