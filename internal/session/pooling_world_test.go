package session

import (
	"flag"
	"fmt"
	"net"
	"testing"

	"pewterwheel/internal/fleet"
	"pewterwheel/internal/pooling"
	"pewterwheel/internal/standin"
	"pewterwheel/internal/wire"
)

var hours = flag.Float64("hours", 0, "hours of virtual time that clients call in TestVerdictsReachTheLanes; 0: a few minutes")

// addressed is a caller's connection with the address that it came from.
type addressed struct {
	fakeConn
	from string
}

func (c *addressed) RemoteAddr() net.Addr {
	return &net.TCPAddr{IP: net.ParseIP(c.from), Port: 40_000}
}

// habitual is a client with one connection.
type habitual struct {
	conn   *addressed
	mind   *standin.Mind
	open   int
	next   int64 // when it may set up its next call
	calls  int
	harmed int
	raised int // calls until it was raised above BySession; 0: not
}

type due struct {
	at int64
	do func()
}

// Verdicts of the true module in virtual time, with one process: clients of every habit call through sessions whose lanes the
// module chooses, at two offices that keep state on their connections. Nobody is raised above what its habit bears, and who
// relies on nothing is raised; each call has its one final answer; who is harmed in a trial is answered all the same.
func TestVerdictsReachTheLanes(t *testing.T) {
	long := int64(230_000_000)
	if *hours > 0 {
		long = int64(*hours * 3.6e9)
	}
	loop := pooling.NewLoop(1)
	part, err := pooling.New(pooling.Config{Self: "a", Seed: 1, Loop: loop, Unsafe: 0.01})
	if err != nil {
		t.Fatal(err)
	}
	p := newPlayerOf(t, Config{Sockets: 1024, Seed: 7, Laner: loop, Application: "app"})
	var out fleet.Out
	part.Start(0, &out)
	part.View(0, &fleet.View{Number: 1, Self: "a", Members: []fleet.Member{{Entry: fleet.Entry{Name: "a", Incarnation: 1, State: fleet.Serving}}}}, &out)
	var later []due
	after := func(wait int64, do func()) { later = append(later, due{p.now + wait, do}) }
	say := func(c interface{ Write([]byte) (int, error) }, m wire.Message) {
		b, err := m.Append(nil)
		if err != nil {
			t.Fatal(err)
		}
		switch c := c.(type) {
		case *fakeConn:
			if !c.dead {
				p.ready = append(p.ready, Arrival{Kind: Data, At: p.now, Conn: c, Data: b})
			}
		case *addressed:
			p.ready = append(p.ready, Arrival{Kind: Data, At: p.now, Conn: c, Data: b})
		}
	}
	ties := []standin.Ties{{}, {}}
	clients, of, finals := []*habitual{}, map[uint64]*habitual{}, map[uint64]int{}
	lanes, mostLanes := 0, 0
	p.came = func(*fakeConn) { lanes++; mostLanes = max(mostLanes, lanes) }
	p.shut = func(c *fakeConn) {
		if c.name[0] == 'o' {
			lanes--
			ties[c.place()].Forget(c)
		}
	}
	p.wrote = func(c *fakeConn, b []byte) {
		for _, m := range messages(b) {
			id := m.Call
			switch {
			case c.name[0] == 'o' && m.Type == wire.TypeSetUp:
				name, tied, text := c.name[:2], &ties[c.place()], ""
				if d, ok := m.Get(wire.ParamDescription); ok {
					text = string(d)
				}
				missing := tied.Missing(name, c, id, text)
				after(1000, func() {
					if missing != "" {
						of[id].harmed++
						say(c, wire.ReleaseOf(id, wire.CauseMissing))
						return
					}
					say(c, wire.Message{Type: wire.TypeAnswer, Call: id, Params: []wire.Param{wire.Text(wire.ParamDescription, tied.Give(name, c, id))}})
				})
			case c.name[0] == 'o' && m.Type == wire.TypeRelease:
				if ties[c.place()].End(c, id) {
					of[id].harmed++
					return // it knows no such call here
				}
				say(c, wire.Message{Type: wire.TypeHeard, Call: id})
			case c.name[0] == 'o', c.name[0] == 'j':
			case m.Type == wire.TypeAnswer, m.Type == wire.TypeRelease:
				finals[id]++
				k := of[id]
				k.open--
				if d, ok := m.Get(wire.ParamDescription); ok {
					k.mind.Took(id, string(d))
					by := k.conn
					if k.mind.Habit == standin.EndsElsewhere {
						by = clients[0].conn
					}
					after(2000, func() { say(by, wire.ReleaseOf(id, wire.CauseNormal)) })
				}
			}
		}
	}
	p.step()
	connect := func(habit standin.Habit) {
		from := fmt.Sprintf("10.0.0.%d", len(clients)+1)
		k := &habitual{conn: &addressed{fakeConn{p: p, name: "c" + from}, from}, mind: standin.NewMind(habit, uint64(len(clients)))}
		clients = append(clients, k)
		p.step(Arrival{Kind: Accepted, At: p.now, Conn: k.conn})
	}
	for habit := standin.Stateless; habit <= standin.Rarely; habit++ {
		if habit != standin.ReusesIDs { // its second connection is not in this world
			connect(habit)
		}
	}
	ids := uint64(0)
	for p.now < long {
		p.now += 1000
		for i, k := range clients {
			most := 3
			if k.mind.OneAtATime() {
				most = 1
			}
			if k.open >= most || p.now < k.next {
				continue
			}
			k.next = p.now + 10_000 + int64(i)
			k.open++
			k.calls++
			ids++
			of[ids] = k
			m := wire.SetUp{Class: "balance-check", Number: "n/1", Description: []byte(k.mind.Describe())}.Onward(ids, 5_000_000)
			m.Params = append(m.Params, wire.Text(wire.ParamInfo, "dest:-1;width:1;via:-1"))
			say(k.conn, m)
			if k.raised == 0 && loop.Verdict(pooling.Key("app", k.conn.from)).Mode > pooling.BySession {
				k.raised = k.calls
			}
		}
		ready := later
		later = nil
		for _, d := range ready {
			if d.at <= p.now {
				d.do()
			} else {
				later = append(later, d)
			}
		}
		p.step()
		if p.now >= part.Next() {
			part.Tick(p.now, &out)
			out = fleet.Out{}
		}
	}
	for i, k := range clients {
		v := loop.Verdict(pooling.Key("app", k.conn.from))
		t.Logf("%2d %-16s mode %v trial %v, raised after %d of %d calls, harmed %d", i, k.mind.Habit, v.Mode, v.Trial, k.raised, k.calls, k.harmed)
		// When the others that bear sharing are raised is pooling's own to measure.
		if safe := k.mind.Habit.Safe; !safe(max(v.Mode, pooling.BySession)) || safe(pooling.ByMessage) && v.Mode < pooling.ByCall {
			t.Errorf("client %d, %s, goes %v", i, k.mind.Habit, v.Mode)
		}
	}
	for id := range ids {
		if finals[id+1] != 1 && of[id+1].open == 0 {
			t.Errorf("call %x has %d final answers", id+1, finals[id+1])
		}
	}
	t.Logf("%d calls, %d connections to offices at the most", ids, mostLanes)
}
