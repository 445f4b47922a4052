package session

import (
	"encoding/binary"
	"testing"

	"pewterwheel/internal/wire"
)

// BenchmarkCallOnPooledConns measures the session's own cost of a call without sockets, from its set-up to the
// acknowledgment of its release.
func BenchmarkCallOnPooledConns(b *testing.B) {
	for _, how := range []string{"off", "watch", "any", "own", "taken"} {
		b.Run(how, func(b *testing.B) {
			cfg := Config{Sockets: 1024, Seed: 7, ObserveOnly: how == "watch"}
			connSelector := &fakeConnSelector{modes: map[string]string{"a": how}, callers: []string{"a"}, nextCaller: "a",
				silent: true}
			if how != "off" {
				cfg.ConnSelector = connSelector
			}
			p := newPlayerOf(b, cfg)
			connSelector.picks, connSelector.p, connSelector.callers = nil, p, nil
			var on *fakeConn
			p.onWrite = func(conn *fakeConn, b []byte) {
				if conn.name[0] == 'o' && b[2] == byte(wire.TypeSetUp) {
					on = conn
				}
			}
			p.step()
			a := &fakeConn{p: p, name: "a"}
			p.step(Arrival{Kind: Accepted, Conn: a})
			bytes := func(message wire.Message) []byte {
				out, err := message.Append(nil)
				if err != nil {
					b.Fatal(err)
				}
				return out
			}
			up := wire.SetUp{Class: "balance-check", Number: "n/1", Description: make([]byte, 100)}.Onward(1, 5_000_000)
			up.Params = append(up.Params, wire.Text(wire.ParamInfo, "dest:-1;width:1;via:-1"))
			texts := [][]byte{bytes(up),
				bytes(wire.Message{Type: wire.TypeAnswer, Params: []wire.Param{wire.Text(wire.ParamDescription, "d")}}),
				bytes(wire.ReleaseOf(1, wire.CauseNormal)), bytes(wire.Message{Type: wire.TypeHeard})}
			var as [1]Arrival
			var buf [512]byte
			say := func(conn *fakeConn, id uint64, text []byte) {
				data := buf[:copy(buf[:], text)]
				binary.BigEndian.PutUint64(data[3:], id)
				as[0] = Arrival{Kind: Data, At: p.now, Conn: conn, Data: data}
				p.s.Step(p.now, as[:])
				for len(p.pendingArrivals) > 0 {
					ready := p.pendingArrivals
					p.pendingArrivals = nil
					p.s.Step(p.now, ready)
				}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				id := uint64(i + 1)
				p.now += 1000
				on = nil
				say(a, id, texts[0])
				for on == nil { // the module holds it for a while
					p.now += 5000
					p.s.Step(p.now, nil)
				}
				say(on, id, texts[1])
				say(a, id, texts[2])
				say(on, id, texts[3])
			}
		})
	}
}
