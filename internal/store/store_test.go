package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

func init() { checkpointFrame = 40 } // some frames in each checkpoint

// state is a model of what a store holds.
type state map[string]string

func (s state) apply(ops []Op) state {
	n := maps.Clone(s)
	if n == nil {
		n = state{}
	}
	for _, op := range ops {
		if op.Delete {
			delete(n, op.Key)
		} else {
			n[op.Key] = string(op.Value)
		}
	}
	return n
}

func asState(live map[string][]byte) state {
	s := state{}
	for k, v := range live {
		s[k] = string(v)
	}
	return s
}

// draw draws a batch over few keys, so that values are changed and ended often.
func draw(rng *rand.Rand, i int) []Op {
	var ops []Op
	for range 1 + rng.IntN(3) {
		k := fmt.Sprint("k", rng.IntN(8))
		if rng.IntN(3) == 0 {
			ops = append(ops, Op{Delete: true, Key: k})
		} else {
			ops = append(ops, Op{Key: k, Value: fmt.Appendf(nil, "v%d-%s", i, strings.Repeat("x", rng.IntN(20)))})
		}
	}
	return ops
}

func small() Options { return Options{SegmentBytes: 200, CompactAt: 400} }

func content(t *testing.T, fs FS) state {
	t.Helper()
	s, err := Open(fs, small())
	if err != nil {
		t.Fatal(err)
	}
	got := state{}
	if err := s.Each(func(k string, v []byte) error { got[k] = string(v); return nil }); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	return got
}

// play hands over batches and syncs after each; it returns the model's state after each batch, and how many batches
// were on the disk for sure when the power failed.
func play(fs *memFS, seed uint64, batches int) (states []state, sure int) {
	rng := rand.New(rand.NewPCG(seed, 5))
	states = []state{{}}
	s, err := Open(fs, small())
	if err != nil {
		return states, 0
	}
	for i := range batches {
		ops := draw(rng, i)
		if !s.Append(ops) {
			break
		}
		states = append(states, states[len(states)-1].apply(ops))
		if s.Sync() != nil {
			break
		}
		sure = len(states) - 1
		// Compactions go on beside the writing. Guards against a machine so busy that too few of them come to their end.
		const each = 20
		for by := time.Now().Add(30 * time.Second); fs.cutAt == 0 && (i+1)%each == 0 && s.Stats().Compactions < uint64((i+1)/each) && time.Now().Before(by); {
			time.Sleep(time.Millisecond)
		}
	}
	_ = s.Close() // after a cut it fails
	if fs.cutAt == 0 && s.Stats().Compactions < 3 {
		panic("too few compactions for a cut between two of them")
	}
	return states, sure
}

// The power fails at every step of a store at work, compactions included, and each time what is recovered is one whole
// state, and none from before what was synced.
func TestCutAtEveryStep(t *testing.T) {
	whole := newMemFS()
	_, sure := play(whole, 1, 60)
	if sure != 60 {
		t.Fatalf("without a cut %d batches were written", sure)
	}
	cuts, compactions := 0, 0
	for at := 1; at <= whole.steps; at++ {
		for seed := range uint64(8) {
			fs := newMemFS()
			fs.cutAt = at
			states, sure := play(fs, 1, 60)
			disk := fs.afterCut(uint64(at)<<8 | seed) // another order of the names at each cut
			if slices.ContainsFunc(slices.Collect(maps.Keys(disk.files)), func(n string) bool { return strings.HasPrefix(n, "checkpoint") }) {
				compactions++
			}
			got := content(t, disk)
			if !slices.ContainsFunc(states[sure:], func(s state) bool { return maps.Equal(s, got) }) {
				t.Fatalf("cut at step %d, seed %d: recovered %v, which is none of the states from %d on: %v", at, seed, got, sure, states[sure:])
			}
			if again := content(t, disk); !maps.Equal(again, got) {
				t.Fatalf("cut at step %d: opened again it is %v, and was %v", at, again, got)
			}
			cuts++
		}
	}
	if compactions < cuts/4 {
		t.Errorf("only %d of %d cuts came with a compaction", compactions, cuts)
	}
	t.Logf("%d cuts", cuts)
}

// A store that is opened and closed again and again, with nothing written, has too many files in the end and compacts them;
// so does one that finds a whole checkpoint which no manifest names yet. What it holds is the same throughout.
func TestCompactionWithNothingWritten(t *testing.T) {
	fs := newMemFS()
	s, err := Open(fs, Options{})
	if err != nil {
		t.Fatal(err)
	}
	want := state{"a": "1", "b": "2"}
	s.Append([]Op{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("2")}})
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	for compactions, opens := uint64(0), 0; compactions < 3; opens++ {
		if opens > 5*manyFiles {
			t.Fatalf("%d compactions", compactions)
		}
		if s, err = Open(fs, Options{}); err != nil {
			t.Fatal(err)
		}
		many := len(s.old) > manyFiles
		for by := time.Now().Add(30 * time.Second); many && s.Stats().Compactions == 0 && time.Now().Before(by); time.Sleep(time.Millisecond) {
			_ = s.Sync() // wakes the writer
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		compactions += s.Stats().Compactions
		if got := content(t, fs.clone()); !maps.Equal(got, want) {
			t.Fatalf("opened %d times, after %d compactions: %v", opens+1, compactions, got)
		}
	}
}

// One step fails, and the store goes on: what was lost is told, and nothing is written behind it until the whole state is.
func TestOneStepFails(t *testing.T) {
	whole := newMemFS()
	play(whole, 2, 40)
	for at := 5; at <= whole.steps; at++ {
		fs := newMemFS()
		fs.failAt = at
		rng := rand.New(rand.NewPCG(2, 5))
		s, err := Open(fs, small())
		if err != nil {
			continue // it failed at the open
		}
		model, states := state{}, []state{{}}
		for i := range 40 {
			ops := draw(rng, i)
			model = model.apply(ops)
			if s.Append(ops) && s.Sync() == nil {
				states = append(states, model)
				continue
			}
			var all []Op
			for k, v := range model {
				all = append(all, Op{Key: k, Value: []byte(v)})
			}
			if s.AppendWhole(all); s.Sync() == nil {
				states = append(states, model)
			}
		}
		_ = s.Close() // it may tell of the failure
		got := content(t, fs.clone())
		if !maps.Equal(got, model) {
			t.Fatalf("step %d failed: in the end it holds %v, and should %v", at, got, model)
		}
	}
}

// damaged is a disk with a checkpoint and several segments behind it, and the model of what was written.
func damaged(t *testing.T) (fs *memFS, states []state, batches [][]Op) {
	t.Helper()
	fs = newMemFS()
	rng := rand.New(rand.NewPCG(7, 5))
	opt := Options{SegmentBytes: 300, CompactAt: 1 << 30}
	s, err := Open(fs, opt)
	if err != nil {
		t.Fatal(err)
	}
	states = []state{{}}
	for i := range 75 {
		if i == 45 { // here and only here, so that the files are the same each time
			if err := s.closeCompacted(); err != nil {
				t.Fatal(err)
			}
			if s, err = Open(fs, opt); err != nil {
				t.Fatal(err)
			}
		}
		ops := draw(rng, i)
		batches = append(batches, ops)
		states = append(states, states[i].apply(ops))
		if !s.Append(ops) || s.Sync() != nil {
			t.Fatal("refused")
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	return fs, states, batches
}

// Every file is cut short and spoilt at every byte. What is recovered is what the model says: the state before the damage,
// of a checkpoint the values in the frames before it, less all that whole frames behind it have ended. So nothing is invented and nothing revived.
func TestDamageAtEveryByte(t *testing.T) {
	fs, states, batches := damaged(t)
	report, err := Inspect(fs.clone(), nil)
	if err != nil || len(report.Damage) > 0 {
		t.Fatalf("%v, %+v", err, report)
	}
	segments, last := 0, ""
	for _, f := range report.Files {
		if strings.HasPrefix(f.Name, "segment") && f.Frames > 0 {
			segments++
			last = f.Name
		}
	}
	if segments < 3 || !strings.HasPrefix(report.Files[0].Name, "checkpoint") {
		t.Fatalf("not the disk that is wanted: %+v", report.Files)
	}
	cases := 0
	for _, f := range report.Files {
		data := fs.files[f.Name].data
		// Where each frame of a segment ends.
		var ends []int
		sofar := []state{{}} // of a checkpoint, after each frame
		if f.Frames > 0 {
			for at := headSize; at < len(data); {
				fr, err := readFrame(data[at:], Version)
				if err != nil {
					t.Fatal(err)
				}
				at += fr.size
				ends = append(ends, at)
				sofar = append(sofar, sofar[len(sofar)-1].apply(fr.ops))
			}
		}
		for at := range data {
			for how, spoil := range map[string]func([]byte) []byte{
				"cut":     func(b []byte) []byte { return b[:at] },
				"flipped": func(b []byte) []byte { b[at] ^= 0xff; return b },
				"one bit": func(b []byte) []byte { b[at] ^= 1; return b },
				"zeroed": func(b []byte) []byte {
					for i := at; i < min(at+8, len(b)); i++ {
						b[i] = 0
					}
					return b
				},
			} {
				disk := fs.clone()
				spoilt := spoil(slices.Clone(data))
				if bytes.Equal(spoilt, data) {
					continue
				}
				disk.files[f.Name].data = spoilt
				got, err := Inspect(disk, nil)
				if err != nil {
					t.Fatalf("%s %s at %d: %v", f.Name, how, at, err)
				}
				cases++
				var want state
				first := 0 // byte that differs
				for first < len(spoilt) && spoilt[first] == data[first] {
					first++
				}
				if ends != nil {
					d := slices.IndexFunc(ends, func(end int) bool { return first < end })
					if first < headSize {
						d = 0
					}
					behind := int(f.Last)
					if strings.HasPrefix(f.Name, "segment") {
						want = maps.Clone(states[int(f.First)-1+d])
					} else {
						want, behind = maps.Clone(sofar[d]), 45
					}
					if f.Name != last {
						for _, ops := range batches[behind:] {
							for _, op := range ops {
								if op.Delete {
									delete(want, op.Key)
								}
							}
						}
					}
				}
				if f.Frames == 0 {
					want = states[len(states)-1]
				}
				if !maps.Equal(asState(got.State), want) {
					t.Fatalf("%s %s at %d: recovered %v, want %v", f.Name, how, at, asState(got.State), want)
				}
				// Opened, it holds the same, and goes on from there.
				if at%16 == 0 && how == "flipped" {
					s, err := Open(disk, Options{SegmentBytes: 300, CompactAt: 1 << 30}) // a compaction would heal it
					if err != nil {
						t.Fatal(err)
					}
					if !s.Append([]Op{{Key: "new", Value: []byte("n")}}) || s.Close() != nil {
						t.Fatalf("%s at %d: nothing can be written", f.Name, at)
					}
					if after := content(t, disk); !maps.Equal(after, want.apply([]Op{{Key: "new", Value: []byte("n")}})) {
						t.Fatalf("%s at %d: with one more it holds %v, recovered was %v", f.Name, at, after, want)
					}
				}
			}
		}
	}
	for at := range fs.files[manifestName].data { // without a manifest the files tell all
		disk := fs.clone()
		disk.files[manifestName].data[at] ^= 0xff
		if got := content(t, disk); !maps.Equal(got, states[len(states)-1]) {
			t.Fatalf("manifest spoilt at %d: %v", at, got)
		}
		cases++
	}
	t.Logf("%d damaged disks", cases)
}

// What a later change does to an earlier value is asked behind damage, and only endings may come of it.
func TestLaterBehindDamage(t *testing.T) {
	fs := newMemFS()
	s, err := Open(fs, Options{SegmentBytes: 20})
	if err != nil {
		t.Fatal(err)
	}
	for _, ops := range [][]Op{{{Key: "a", Value: []byte("up")}, {Key: "b", Value: []byte("up")}}, {{Key: "lost", Value: []byte("x")}},
		{{Key: "a", Value: []byte("drained")}, {Key: "b", Value: []byte("up2")}, {Key: "c", Value: []byte("up")}}} {
		if !s.Append(ops) || s.Sync() != nil {
			t.Fatal("refused")
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	names, _ := fs.List()
	fs.files[names[1]].data[30] ^= 1 // each batch has a segment of its own
	later := func(_ string, _ []byte, op Op) (Op, bool) { return op, string(op.Value) == "drained" }
	r, err := Inspect(fs, later)
	if err != nil {
		t.Fatal(err)
	}
	if want := (state{"a": "drained", "b": "up"}); !maps.Equal(asState(r.State), want) || r.Sound() {
		t.Errorf("recovered %v, want %v; damage %v", asState(r.State), want, r.Damage)
	}
}

// A repair sets aside what it took the state from and deletes nothing; a dry run changes nothing.
func TestRepair(t *testing.T) {
	fs, _, _ := damaged(t)
	names, _ := fs.List()
	var segment string
	for _, n := range names {
		if strings.HasPrefix(n, "segment") && segment == "" && len(fs.files[n].data) > 100 {
			segment = n
		}
	}
	fs.files[segment].data[40] ^= 1
	before := fs.clone()
	want, err := Inspect(fs, nil)
	if err != nil {
		t.Fatal(err)
	}
	aside, _, err := Repair(fs, nil, true)
	if after, _ := fs.List(); err != nil || len(aside) < 3 || !slices.Equal(after, names) {
		t.Errorf("a dry run: %v, %v, files %v and before %v", err, aside, after, names)
	}
	if _, _, err = Repair(fs, nil, false); err != nil {
		t.Fatal(err)
	}
	for n, f := range before.files {
		if now := fs.files[asidePrefix+n]; now == nil || !bytes.Equal(now.data, f.data) {
			t.Errorf("%s is not set aside as it was", n)
		}
	}
	got, err := Inspect(fs, nil)
	if err != nil || len(got.Damage) > 0 || !maps.Equal(asState(got.State), asState(want.State)) {
		t.Errorf("%v: after the repair it holds %v, damage %v; want %v", err, asState(got.State), got.Damage, asState(want.State))
	}
}

// A disk that stands still costs durability and no time: batches are refused, and the whole state comes after.
func TestSlowDisk(t *testing.T) {
	fs := newMemFS()
	s, err := Open(fs, Options{MaxQueue: 1000})
	if err != nil {
		t.Fatal(err)
	}
	fs.slow = make(chan struct{})
	value := make([]byte, 100)
	refused := 0
	for i := range 100 {
		if !s.Append([]Op{{Key: fmt.Sprint(i), Value: value}}) {
			refused++
		}
	}
	if refused < 80 || s.Stats().Refused != uint64(refused) {
		t.Errorf("%d batches were refused, %d counted", refused, s.Stats().Refused)
	}
	close(fs.slow)
	_ = s.Sync() // it tells of what was lost
	if s.Append([]Op{{Key: "x", Value: value}}) {
		t.Error("a batch was taken behind lost ones")
	}
	if !s.AppendWhole([]Op{{Key: "all", Value: []byte("there is")}}) || s.Sync() != nil || !s.Append([]Op{{Key: "more", Value: []byte("x")}}) {
		t.Error("the whole state was not taken")
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	if got := content(t, fs); !maps.Equal(got, state{"all": "there is", "more": "x"}) {
		t.Errorf("it holds %v", got)
	}
}

// A full store takes nothing more and is still whole.
func TestFullStore(t *testing.T) {
	fs := newMemFS()
	s, err := Open(fs, Options{MaxBytes: 2000, SegmentBytes: 500, CompactAt: 1 << 30})
	if err != nil {
		t.Fatal(err)
	}
	last := -1
	for i := range 100 {
		if s.Append([]Op{{Key: fmt.Sprint(i), Value: make([]byte, 50)}}) && s.Sync() == nil {
			last = i
		}
	}
	_ = s.Close() // it tells that the store is full
	size := 0
	for _, f := range fs.files {
		size += len(f.data)
	}
	if last < 5 || last > 40 || size > 2000+2*headSize {
		t.Errorf("the last batch was %d, the files have %d bytes of 2000", last, size)
	}
	if got := content(t, fs); len(got) != last+1 {
		t.Errorf("%d keys, %d were written", len(got), last+1)
	}
}

func TestOneProcessAlone(t *testing.T) {
	dir := Dir(t.TempDir())
	s, err := Open(dir, Options{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, Options{}); !errors.Is(err, ErrLocked) {
		t.Errorf("opened twice: %v", err)
	}
	if _, err := Inspect(dir, nil); !errors.Is(err, ErrLocked) {
		t.Errorf("looked at while open: %v", err)
	}
	if !s.Append([]Op{{Key: "a", Value: []byte("1")}}) {
		t.Error("refused")
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if err := Compact(dir, Options{}); err != nil {
		t.Fatal(err)
	}
	r, err := Inspect(dir, nil)
	if err != nil || r.Keys != 1 || string(r.State["a"]) != "1" || len(r.Damage) > 0 {
		t.Errorf("%v, %+v", err, r)
	}
}

// Files of form 1, whose frames had no flags, are read, and written on in the form of now.
func TestUpgrade(t *testing.T) {
	fs := newMemFS()
	h := binary.BigEndian.AppendUint64([]byte{'p', 'w', 'l', kindSegment, 1}, 1)
	h = binary.BigEndian.AppendUint32(h, crc32.Checksum(h, castagnoli))
	for i, ops := range [][]Op{{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("2")}}, {{Delete: true, Key: "a"}}} {
		f := appendFrame(nil, uint64(i+1), 0, ops)
		f = slices.Delete(f, frameHead+8, frameHead+9) // the flags
		seal(f)
		h = append(h, f...)
	}
	fs.files[segmentName(1)] = &memFile{h, len(h)}
	if got := content(t, fs); !maps.Equal(got, state{"b": "2"}) {
		t.Fatalf("form 1 reads as %v", got)
	}
	s, err := Open(fs, Options{})
	if err != nil || !s.Append([]Op{{Key: "c", Value: []byte("3")}}) || s.Close() != nil {
		t.Fatal(err)
	}
	if err := Compact(fs, Options{}); err != nil {
		t.Fatal(err)
	}
	r, err := Inspect(fs, nil)
	if err != nil || !maps.Equal(asState(r.State), state{"b": "2", "c": "3"}) {
		t.Errorf("%v, %v", err, asState(r.State))
	}
	for _, f := range r.Files {
		if f.Form != Version && !f.Aside {
			t.Errorf("%s is still of form %d", f.Name, f.Form)
		}
	}
	fs.files[segmentName(9)] = &memFile{append([]byte{'p', 'w', 'l', kindSegment, 9}, make([]byte, 12)...), 17}
	if r, err = Inspect(fs, nil); err != nil || len(r.Damage) != 1 {
		t.Errorf("a form of the future: %v, %v", err, r.Damage)
	}
}

// Group commit: what comes while a sync is under way goes out together.
func TestSyncEvery(t *testing.T) {
	fs := newMemFS()
	s, err := Open(fs, Options{SyncEvery: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 1000 {
		s.Append([]Op{{Key: fmt.Sprint(i % 10), Value: []byte("v")}})
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if st := s.Stats(); st.Syncs > 3 || st.Frames != 1000 || st.Keys != 10 {
		t.Errorf("%+v", st)
	}
}

func FuzzReadFrame(f *testing.F) {
	f.Add(appendFrame(nil, 7, Whole, []Op{{Key: "a", Value: []byte("1")}, {Delete: true, Key: "b"}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		fr, err := readFrame(b, Version)
		if err != nil {
			return
		}
		again, err := readFrame(appendFrame(nil, fr.number, fr.flags, fr.ops), Version)
		if err != nil || again.number != fr.number || len(again.ops) != len(fr.ops) {
			t.Errorf("%+v is read again as %+v, %v", fr, again, err)
		}
	})
}
