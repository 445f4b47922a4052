package store

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	bolt "go.etcd.io/bbolt"
)

// The use that a store is for: at 2,000 calls a second each round of the loop has some calls that begin and some that end,
// three records a call, with about 2,000 standing. What counts is how long the loop is held, what is on the disk in the end,
// and how long a recovery takes. The store is measured beside bbolt and a snapshot file that is replaced by rename.

const (
	rounds   = 1000 // 5 ms each: five seconds
	perRound = 10   // calls
	standing = 2000
)

// round is what one round writes: calls sent, standing, and ended.
func round(i int) []Op {
	var ops []Op
	for j := range perRound {
		id := i*perRound + j
		ops = append(ops, Op{Key: fmt.Sprintf("c/%x", id), Value: make([]byte, 48)})
		if old := id - standing; old >= 0 {
			ops = append(ops, Op{Delete: true, Key: fmt.Sprintf("c/%x", old)})
		}
	}
	return ops
}

func size(b *testing.B, dir string) (n int64) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		b.Fatal(err)
	}
	for _, e := range entries {
		if info, err := e.Info(); err == nil {
			n += info.Size()
		}
	}
	return n
}

func report(b *testing.B, held []time.Duration, bytes int64, recovery time.Duration) {
	slices.Sort(held)
	b.ReportMetric(float64(held[len(held)/2].Microseconds()), "held-p50-us")
	b.ReportMetric(float64(held[len(held)*99/100].Microseconds()), "held-p99-us")
	b.ReportMetric(float64(held[len(held)-1].Microseconds()), "held-worst-us")
	b.ReportMetric(float64(bytes)/1024, "disk-KiB")
	b.ReportMetric(float64(recovery.Microseconds()), "recovery-us")
}

// paced plays the rounds at their pace, and tells how long each held the loop.
func paced(do func(i int)) (held []time.Duration) {
	begin := time.Now()
	for i := range rounds {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * 5 * time.Millisecond)))
		at := time.Now()
		do(i)
		held = append(held, time.Since(at))
	}
	return held
}

func BenchmarkWrites(b *testing.B) {
	for _, every := range []time.Duration{0, 50 * time.Millisecond} {
		b.Run(fmt.Sprintf("store, sync every %s", every), func(b *testing.B) {
			for b.Loop() {
				dir := b.TempDir()
				s, err := Open(Dir(dir), Options{SyncEvery: every})
				if err != nil {
					b.Fatal(err)
				}
				held := paced(func(i int) {
					if !s.Append(round(i)) {
						b.Fatal("refused")
					}
				})
				if err := s.Close(); err != nil {
					b.Fatal(err)
				}
				bytes := size(b, dir)
				at := time.Now()
				if s, err = Open(Dir(dir), Options{}); err != nil {
					b.Fatal(err)
				}
				took := time.Since(at)
				if n := len(s.index); n != standing {
					b.Fatalf("%d keys", n)
				}
				_ = s.Close() // nothing was written
				report(b, held, bytes, took)
			}
		})
	}
	bucket := []byte("b")
	for _, noSync := range []bool{false, true} {
		b.Run(fmt.Sprintf("bbolt, no sync %v", noSync), func(b *testing.B) {
			for b.Loop() {
				dir := b.TempDir()
				db, err := bolt.Open(filepath.Join(dir, "db"), 0o600, &bolt.Options{NoSync: noSync})
				if err != nil {
					b.Fatal(err)
				}
				held := paced(func(i int) {
					err := db.Update(func(tx *bolt.Tx) error {
						k, err := tx.CreateBucketIfNotExists(bucket)
						for _, op := range round(i) {
							if err == nil && op.Delete {
								err = k.Delete([]byte(op.Key))
							} else if err == nil {
								err = k.Put([]byte(op.Key), op.Value)
							}
						}
						return err
					})
					if err != nil {
						b.Fatal(err)
					}
				})
				if err := db.Close(); err != nil {
					b.Fatal(err)
				}
				bytes := size(b, dir)
				at := time.Now()
				if db, err = bolt.Open(filepath.Join(dir, "db"), 0o600, nil); err != nil {
					b.Fatal(err)
				}
				n := 0
				_ = db.View(func(tx *bolt.Tx) error {
					return tx.Bucket(bucket).ForEach(func(_, _ []byte) error { n++; return nil })
				})
				took := time.Since(at)
				if n != standing {
					b.Fatalf("%d keys", n)
				}
				_ = db.Close() // nothing was written
				report(b, held, bytes, took)
			}
		})
	}
	b.Run("snapshot by rename", func(b *testing.B) {
		for b.Loop() {
			dir := Dir(b.TempDir())
			live := map[string][]byte{}
			held := paced(func(i int) {
				var ops []Op
				for _, op := range round(i) {
					if op.Delete {
						delete(live, op.Key)
					} else {
						live[op.Key] = op.Value
					}
				}
				for k, v := range live {
					ops = append(ops, Op{Key: k, Value: v})
				}
				f, err := dir.Create("state.new")
				if err == nil {
					_, err = f.Write(appendFrame(nil, 1, Whole, ops))
				}
				if err == nil {
					err = f.Sync()
				}
				if err == nil {
					err = f.Close()
				}
				if err == nil {
					err = dir.Rename("state.new", "state")
				}
				if err != nil {
					b.Fatal(err)
				}
			})
			bytes := size(b, string(dir))
			at := time.Now()
			text, err := readAll(dir, "state")
			if err != nil {
				b.Fatal(err)
			}
			if f, err := readFrame(text, Version); err != nil || len(f.ops) != standing {
				b.Fatalf("%v, %d keys", err, len(f.ops))
			}
			report(b, held, bytes, time.Since(at))
		}
	})
}
