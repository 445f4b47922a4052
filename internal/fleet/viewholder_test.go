package fleet

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Readers see whole views, each no older than the last, while another goroutine posts; the race detector looks on.
func TestBoardUnderReaders(t *testing.T) {
	var board ViewHolder
	var stop atomic.Bool
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			last := uint64(0)
			for !stop.Load() {
				v := board.Read()
				if v == nil {
					continue
				}
				if v.Number < last || len(v.Members) != 3 || v.Member("m1").Version != v.Number {
					t.Errorf("view %d after %d: %+v", v.Number, last, v)
					return
				}
				last = v.Number
			}
		})
	}
	for n := range uint64(1500) {
		v := &View{Number: n + 1, Self: "m0"}
		for i := range 3 {
			v.Members = append(v.Members, Member{Entry: Entry{Name: fmt.Sprintf("m%d", i), Version: n + 1}})
		}
		board.Post(v)
	}
	stop.Store(true)
	wg.Wait()
	if n := testing.AllocsPerRun(1000, func() { _ = board.Read() }); n != 0 {
		t.Errorf("%v allocations a read", n)
	}
}

// What a read costs with 8 readers and 1,000 updates a second, beside the usual ways: go test -bench ViewHolder -cpu 8.
func BenchmarkBoard(b *testing.B) {
	views := [2]*View{{Number: 1}, {Number: 2}}
	var board ViewHolder
	var mu sync.Mutex
	var rw sync.RWMutex
	var m sync.Map
	var plain *View
	for _, c := range []struct {
		name string
		post func(*View)
		read func() *View
	}{
		{"board", board.Post, board.Read},
		{"mutex", func(v *View) { mu.Lock(); plain = v; mu.Unlock() }, func() *View { mu.Lock(); defer mu.Unlock(); return plain }},
		{"rwmutex", func(v *View) { rw.Lock(); plain = v; rw.Unlock() }, func() *View { rw.RLock(); defer rw.RUnlock(); return plain }},
		{"syncmap", func(v *View) { m.Store("view", v) }, func() *View { v, _ := m.Load("view"); return v.(*View) }},
	} {
		b.Run(c.name, func(b *testing.B) {
			c.post(views[0])
			stop, over := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(over)
				tick := time.NewTicker(time.Millisecond)
				defer tick.Stop()
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					case <-tick.C:
						c.post(views[i&1])
					}
				}
			}()
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if c.read() == nil {
						b.Error("no view")
					}
				}
			})
			b.StopTimer()
			close(stop)
			<-over
		})
	}
}
