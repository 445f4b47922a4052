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

var hours = flag.Float64("hours", 0,
	"hours of virtual time that clients call in TestVerdictsSelectConnections; 0: a few minutes")

// addressedConn is a caller's connection with a source address.
type addressedConn struct {
	fakeConn
	address string
}

func (c *addressedConn) RemoteAddr() net.Addr {
	return &net.TCPAddr{IP: net.ParseIP(c.address), Port: 40_000}
}

// simClient is a client with one connection.
type simClient struct {
	conn      *addressedConn
	behaviour *standin.Mind
	open      int
	next      int64 // when it may set up its next call
	calls     int
	harmed    int
	raised    int // number of calls after which it was raised above BySession; 0: not raised
}

type delayedAction struct {
	at int64
	do func()
}

// Verdicts of the real pooling module in virtual time, with one process: clients of every habit call through
// sessions whose connections the module chooses, at two offices that keep state per connection. No client is raised
// above what its habit permits, and those that rely on no state are raised. Each call has exactly one final
// answer, and a client harmed in a trial is still answered.
func TestVerdictsSelectConnections(t *testing.T) {
	long := int64(230_000_000)
	if *hours > 0 {
		long = int64(*hours * 3.6e9)
	}
	loop := pooling.NewLoop(1)
	part, err := pooling.New(pooling.Config{Self: "a", Seed: 1, Loop: loop, MaxUnsafeRate: 0.01})
	if err != nil {
		t.Fatal(err)
	}
	p := newPlayerOf(t, Config{Sockets: 1024, Seed: 7, ConnSelector: loop, Application: "app"})
	var out fleet.Out
	part.Start(0, &out)
	part.View(0,
		&fleet.View{Number: 1, Self: "a",
			Members: []fleet.Member{{Entry: fleet.Entry{Name: "a", Incarnation: 1, State: fleet.Serving}}}}, &out)
	var later []delayedAction
	after := func(wait int64, do func()) { later = append(later, delayedAction{p.now + wait, do}) }
	say := func(c interface{ Write([]byte) (int, error) }, message wire.Message) {
		b, err := message.Append(nil)
		if err != nil {
			t.Fatal(err)
		}
		switch c := c.(type) {
		case *fakeConn:
			if !c.closed {
				p.pendingArrivals = append(p.pendingArrivals, Arrival{Kind: Data, At: p.now, Conn: c, Data: b})
			}
		case *addressedConn:
			p.pendingArrivals = append(p.pendingArrivals, Arrival{Kind: Data, At: p.now, Conn: c, Data: b})
		}
	}
	ties := []standin.Ties{{}, {}}
	clients, of, finals := []*simClient{}, map[uint64]*simClient{}, map[uint64]int{}
	conns, mostConns := 0, 0
	p.onConnect = func(*fakeConn) { conns++; mostConns = max(mostConns, conns) }
	p.onClose = func(conn *fakeConn) {
		if conn.name[0] == 'o' {
			conns--
			ties[conn.officeIndex()].Forget(conn)
		}
	}
	p.onWrite = func(conn *fakeConn, b []byte) {
		for _, message := range messages(b) {
			id := message.Call
			switch {
			case conn.name[0] == 'o' && message.Type == wire.TypeSetUp:
				name, tied, text := conn.name[:2], &ties[conn.officeIndex()], ""
				if d, ok := message.Get(wire.ParamDescription); ok {
					text = string(d)
				}
				missing := tied.Missing(name, conn, id, text)
				after(1000, func() {
					if missing != "" {
						of[id].harmed++
						say(conn, wire.ReleaseOf(id, wire.CauseMissing))
						return
					}
					say(conn, wire.Message{Type: wire.TypeAnswer, Call: id,
						Params: []wire.Param{wire.Text(wire.ParamDescription, tied.Give(name, conn, id))}})
				})
			case conn.name[0] == 'o' && message.Type == wire.TypeRelease:
				if ties[conn.officeIndex()].End(conn, id) {
					of[id].harmed++
					return // it knows no such call on this connection
				}
				say(conn, wire.Message{Type: wire.TypeHeard, Call: id})
			case conn.name[0] == 'o', conn.name[0] == 'j':
			case message.Type == wire.TypeAnswer, message.Type == wire.TypeRelease:
				finals[id]++
				client := of[id]
				client.open--
				if d, ok := message.Get(wire.ParamDescription); ok {
					client.behaviour.Took(id, string(d))
					by := client.conn
					if client.behaviour.Habit == standin.EndsElsewhere {
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
		client := &simClient{conn: &addressedConn{fakeConn{p: p, name: "c" + from}, from},
			behaviour: standin.NewMind(habit, uint64(len(clients)))}
		clients = append(clients, client)
		p.step(Arrival{Kind: Accepted, At: p.now, Conn: client.conn})
	}
	for habit := standin.Stateless; habit <= standin.Rarely; habit++ {
		if habit != standin.ReusesIDs { // needs a second connection, which this simulation does not have
			connect(habit)
		}
	}
	ids := uint64(0)
	for p.now < long {
		p.now += 1000
		for i, client := range clients {
			most := 3
			if client.behaviour.OneAtATime() {
				most = 1
			}
			if client.open >= most || p.now < client.next {
				continue
			}
			client.next = p.now + 10_000 + int64(i)
			client.open++
			client.calls++
			ids++
			of[ids] = client
			message := wire.SetUp{Class: "balance-check", Number: "n/1",
				Description: []byte(client.behaviour.Describe())}.Onward(ids, 5_000_000)
			message.Params = append(message.Params, wire.Text(wire.ParamInfo, "dest:-1;width:1;via:-1"))
			say(client.conn, message)
			if client.raised == 0 && loop.Verdict(pooling.Key("app", client.conn.address)).Mode > pooling.BySession {
				client.raised = client.calls
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
	for i, client := range clients {
		v := loop.Verdict(pooling.Key("app", client.conn.address))
		t.Logf("%2d %-16s mode %v trial %v, raised after %d of %d calls, harmed %d", i, client.behaviour.Habit, v.Mode,
			v.Trial, client.raised, client.calls, client.harmed)
		// When other clients that tolerate sharing are raised is measured in package pooling.
		if safe := client.behaviour.Habit.Safe; !safe(max(v.Mode, pooling.BySession)) || safe(pooling.ByMessage) &&
			v.Mode < pooling.ByCall {
			t.Errorf("client %d, %s, has mode %v", i, client.behaviour.Habit, v.Mode)
		}
	}
	for id := range ids {
		if finals[id+1] != 1 && of[id+1].open == 0 {
			t.Errorf("call %x has %d final answers", id+1, finals[id+1])
		}
	}
	t.Logf("%d calls, %d connections to offices at the most", ids, mostConns)
}
