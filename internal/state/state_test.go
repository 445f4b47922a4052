package state

import (
	"net/netip"
	"testing"

	"pewterwheel/decide"
	"pewterwheel/internal/wire"
)

func office(id string, state decide.State, port uint16, started int64) wire.Office {
	return wire.Office{Listed: decide.Listed{ID: decide.ServerID(id), State: state, Started: started},
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)}
}

func TestOfficesEnd(t *testing.T) {
	var l Offices
	if gone := l.Apply(wire.Change{Whole: true, Offices: []wire.Office{office("a", decide.Up, 1, 0),
		office("b", decide.Up, 2, 0), office("c", decide.Up, 3, 0)}}); len(gone) != 0 {
		t.Errorf("at the start: %v", gone)
	}
	gone := l.Apply(wire.Change{Offices: []wire.Office{office("a", decide.Draining, 1, 0),
		office("b", decide.Up, 2, 9), office("c", decide.Up, 4, 0)}})
	if len(gone) != 2 || gone[0].Office.ID != "b" || gone[0].Removed || gone[1].Office.ID != "c" || !gone[1].Removed {
		t.Errorf("a new start and a new address: %+v", gone)
	}
	gone = l.Apply(wire.Change{Whole: true, Offices: []wire.Office{office("b", decide.Removed, 2, 9)}})
	if len(gone) != 3 {
		t.Errorf("a list without two of them: %+v", gone)
	}
	l.Get("a").Established[1] = &EstablishedCall{}
	l.Prune()
	if len(l.All()) != 1 || l.Get("b") != nil || l.Get("a") == nil {
		t.Errorf("kept %v", l.All())
	}
}

func TestCountersNamed(t *testing.T) {
	for i, name := range counterNames {
		if name == "" {
			t.Errorf("counter %d has no name", i)
		}
	}
}

// Guards against an office that is taken for alive because another one listens at its address: whichever the list names
// first, the one that started later holds the address, and one that names no start changes nothing.
func TestOfficesWhoseAddressIsTakenAreRemoved(t *testing.T) {
	const old, successor = decide.ServerID("s-1"), decide.ServerID("s-2")
	office := func(id decide.ServerID, started int64, state decide.State) wire.Office {
		return office(string(id), state, 1001, started)
	}
	for _, c := range []struct {
		name    string
		changes []wire.Change
		gone    bool
	}{
		{"the new one is told of later", []wire.Change{{Offices: []wire.Office{office(old, 0, decide.Up)}},
			{Offices: []wire.Office{office(successor, 5, decide.Up)}}}, true},
		{"the old one is told of later", []wire.Change{{Offices: []wire.Office{office(successor, 5, decide.Up)}},
			{Offices: []wire.Office{office(old, 0, decide.Up)}}}, true},
		{"a whole list with both", []wire.Change{{Whole: true, Offices: []wire.Office{office(old, 0, decide.Up),
			office(successor, 5, decide.Draining)}}}, true},
		{"the old one changes afterwards", []wire.Change{{Offices: []wire.Office{office(old, 0, decide.Up)}},
			{Offices: []wire.Office{office(successor, 5, decide.Up)}}, {Offices: []wire.Office{office(old, 0, decide.Draining)}}},
			true},
		{"starts unknown", []wire.Change{{Offices: []wire.Office{office(old, 0, decide.Up)}},
			{Offices: []wire.Office{office(successor, 0, decide.Up)}}}, false},
		{"the new one has gone", []wire.Change{{Offices: []wire.Office{office(successor, 5, decide.Removed)}},
			{Offices: []wire.Office{office(old, 0, decide.Up)}}}, false},
	} {
		var list Offices
		for _, change := range c.changes {
			list.Apply(list.EndReplaced(change))
		}
		if gone := list.Get(old).State == decide.Removed; gone != c.gone {
			t.Errorf("%s: gone %v", c.name, gone)
		}
		if c.gone && list.Get(successor).State == decide.Removed {
			t.Errorf("%s: the new one is gone", c.name)
		}
	}
}
