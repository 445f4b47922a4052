package sidecar

import (
	"runtime"
	"testing"

	"pewterwheel/internal/session"
	"pewterwheel/internal/wire"
)

// heap is what is live.
func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// After a burst of 100,000 calls memory falls back to what it was, within a tenth and what the runtime itself may keep.
func TestMemoryFallsBack(t *testing.T) {
	w, _ := newWorld(t, bigSite(24, 0, 1), nil)
	quiet := func() {
		for range 40 {
			w.now += 1_000_000
			w.step()
		}
	}
	for range 2000 {
		w.pass()
	}
	quiet()
	before := heap()
	for range 1000 { // a hundred at once, each time
		var out []byte
		for range 100 {
			w.call++
			m := wire.SetUp{Class: "sale-auth", Number: "n/1", Description: make([]byte, 900)}.Onward(w.call, 6_000_000)
			m.Params = append(m.Params, wire.Text(wire.ParamInfo, "dest:-1;width:1;via:-1"))
			b, _ := m.Append(nil)
			out = append(out, b...)
		}
		w.now += 1000
		w.step(session.Arrival{Kind: session.Data, At: w.now, Conn: w.caller, Data: out})
		out = nil
		for i := range uint64(100) {
			b, _ := wire.ReleaseOf(w.call-i, wire.CauseNormal).Append(nil)
			out = append(out, b...)
		}
		w.step(session.Arrival{Kind: session.Data, At: w.now, Conn: w.caller, Data: out})
	}
	during := heap()
	quiet()
	after := heap()
	t.Logf("live before %d KiB, in the burst %d, after %d", before>>10, during>>10, after>>10)
	if after > before+before/10+256<<10 {
		t.Errorf("%d KiB are live after the burst, %d were before it", after>>10, before>>10)
	}
	runtime.KeepAlive(w)
}
