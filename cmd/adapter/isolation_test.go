package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pewterwheel/decide"
	"pewterwheel/internal/wire"
)

// customerSettings are some customer's: figures, classes and tenants far from the next one's.
func customerSettings(n int64) decide.Settings {
	rng := rand.New(rand.NewPCG(uint64(n), 5))
	s := decide.Settings{Instances: 1 + rng.IntN(40), OverShareWorth: 0.1, Quantum: 5000, MaxTries: rng.IntN(7), MayCancel: rng.IntN(2) == 0,
		RetryAdvice: rng.IntN(2) == 0, MaxRetryAfter: rng.Int64N(3_000_000), HomePlace: -1}
	s.Rules = decide.Rules{AnswerSlack: 20_000, DrainGrace: 1_000_000, StartCapacity: 0.1 + 0.5*rng.Float64(), ColdTime: 1 + rng.Int64N(20_000_000),
		FallMultiple: 2 + 3*rng.Float64(), FallTime: 500_000 + rng.Int64N(2_000_000), GuardTime: rng.Int64N(300_000)}
	for range 1 + rng.IntN(4) {
		aim := 100_000 + rng.Int64N(900_000)
		s.Classes = append(s.Classes, decide.Class{Aim: aim, Deadline: aim * (1 + rng.Int64N(4)), Worth: 1 + 9*rng.Float64(), LateWorth: rng.Float64(),
			Effect: []decide.Effect{decide.Repeatable, decide.Guarded, decide.SingleShot}[rng.IntN(3)], Window: 5_000_000})
	}
	for range rng.IntN(3) {
		s.Tenants = append(s.Tenants, decide.Tenant{Quota: 5 + 50*rng.Float64()})
	}
	return s
}

// customerDay is what one node is told, which depends on nothing but its number and its own actions.
type customerDay struct {
	node    int64
	set     decide.Settings
	rng     *rand.Rand
	due     map[int64][]wire.Event
	calls   uint64
	sends   map[decide.CallID]int
	told    []string // all that it did
	started bool
}

func newCustomerDay(node int64) *customerDay {
	return &customerDay{node: node, set: customerSettings(node), rng: rand.New(rand.NewPCG(uint64(node), 9)), due: map[int64][]wire.Event{}, sends: map[decide.CallID]int{}}
}

const tick = 5000

// at puts off an event of the module's.
func (d *customerDay) at(when int64, e decide.Event) {
	when = (when + tick - 1) / tick * tick
	d.due[when] = append(d.due[when], wire.Event{Kind: wire.Plain, Event: e})
}

// events are those of one batch.
func (d *customerDay) events(now int64) []wire.Event {
	var all []wire.Event
	if !d.started {
		d.started = true
		all = append(all, wire.Event{Kind: wire.Init, Settings: d.set, Seed: uint64(d.node)},
			wire.Event{Kind: wire.Update, Event: decide.Event{Kind: decide.ListUpdate, Form: decide.ListFull}})
	}
	all = append(all, d.due[now]...)
	delete(d.due, now)
	for range d.rng.IntN(3) {
		d.calls++
		class := d.rng.IntN(len(d.set.Classes))
		e := decide.Event{Kind: decide.CallArrived, Call: decide.CallID(d.calls), Class: class, Deadline: now + d.set.Classes[class].Deadline, Destination: -1, Key: fmt.Sprint("n/", d.node, "-", d.calls%50)}
		if n := len(d.set.Tenants); n > 0 {
			e.Tenant = d.rng.IntN(n)
		}
		all = append(all, wire.Event{Kind: wire.Plain, Event: e})
	}
	return all
}

// did takes what the node did, and what comes of it.
func (d *customerDay) did(now int64, acts []decide.Action) {
	for _, a := range acts {
		d.told = append(d.told, fmt.Sprintf("%d %+v", now, a))
		switch a.Kind {
		case decide.StartTimer:
			d.at(now+max(a.Wait, 1), decide.Event{Kind: decide.TimerFired, Token: a.Token})
		case decide.Send:
			e := decide.Event{Kind: decide.AttemptEnded, Call: a.Call, Server: a.Server, Attempt: d.sends[a.Call], Load: decide.NoLoad(), Elapsed: 1 + d.rng.Int64N(400_000)}
			d.sends[a.Call]++
			switch d.rng.IntN(8) {
			case 0:
				e.Outcome = decide.Rejected
			case 1:
				e.Outcome = decide.Unreachable
			default:
				e.Kind = decide.SetUpCompleted
			}
			d.at(now+e.Elapsed, e)
		}
	}
}

// playCustomers plays the days of nodes in one process, by turns in each batch.
func playCustomers(t *testing.T, nodes ...int64) map[int64][]string {
	t.Helper()
	h := host{nodes: map[int64]*decide.Node{}}
	for i := range 6 {
		h.lists[0] = append(h.lists[0], decide.Listed{ID: decide.ServerID(fmt.Sprintf("h:%d", i)), State: decide.Up, Share: 1, Started: int64(i%2) * 900_000})
	}
	rows := slices.Clone(h.lists[0])
	var days []*customerDay
	for _, n := range nodes {
		days = append(days, newCustomerDay(n))
	}
	for now := int64(1_000_000); now < 6_000_000; now += tick {
		for _, d := range days {
			if _, err := h.part(now, wire.Part{Node: d.node, Events: d.events(now)}); err != nil {
				t.Fatal(err)
			}
			d.did(now, slices.Clone(h.acts))
		}
	}
	if !slices.Equal(rows, h.lists[0]) {
		t.Error("a node has changed the list that all are given")
	}
	told := map[int64][]string{}
	for _, d := range days {
		told[d.node] = d.told
	}
	return told
}

// Customers with settings of their own have nodes in one process, which share the list and nothing else: each does to the
// letter what it does where it is alone.
func TestNodesOfManyCustomersShareNothing(t *testing.T) {
	nodes := []int64{1, 2, 3, 4, 5, 6, 7, 8}
	together := playCustomers(t, nodes...)
	for _, n := range nodes {
		alone := playCustomers(t, n)[n]
		if len(alone) < 500 {
			t.Errorf("node %d did %d things: too few to tell anything", n, len(alone))
		}
		for i := range min(len(alone), len(together[n])) {
			if alone[i] != together[n][i] {
				t.Fatalf("node %d: alone it did %q, beside others %q", n, alone[i], together[n][i])
			}
		}
		if len(alone) != len(together[n]) {
			t.Errorf("node %d did %d things alone, and %d beside others", n, len(alone), len(together[n]))
		}
	}
}
