package member

import (
	"testing"

	"pewterwheel/internal/aggregate"
	"pewterwheel/internal/dissemination"
	"pewterwheel/internal/fleet"
	"pewterwheel/internal/fleetnet"
)

// spentNet is a net whose budget has room for nothing, or for all.
type spentNet struct {
	fleetnet.Net
	room  bool
	asked dissemination.Class
}

// Allow remembers the class that was asked for.
func (n *spentNet) Allow(class dissemination.Class, _ int) bool {
	n.asked = class
	return n.room
}

// A window for which the budget has no room is not sent, and not lost: it is in the next one that is.
func TestFiguresWaitForTheBudget(t *testing.T) {
	net := &spentNet{}
	m := &together{net: net}
	figures := aggregate.New(aggregate.Config{Self: "a", Seed: 1, Allow: m.allowFigures})
	asks := aggregate.New(aggregate.Config{Self: "b", Seed: 2})
	view := &fleet.View{Number: 1, Self: "a", Members: []fleet.Member{
		{Entry: fleet.Entry{Name: "a", Incarnation: 1, Version: 1, State: fleet.Serving}},
		{Entry: fleet.Entry{Name: "b", Incarnation: 1, Version: 1, State: fleet.Serving}}}}
	var part fleet.Out
	asks.View(1, view, &part)
	asks.Want(1, true, &part)
	view.Members[1].Parts = part.Parts
	var out fleet.Out
	figures.View(1, view, &out)
	play := func(from, to uint64) {
		for n := from; n <= to; n++ {
			figures.Window(int64(n)*1_000_000, fleet.Window{Number: n, Length: 1_000_000, Class: []fleet.ClassFigures{{Name: "c", Offered: 1}}}, &out)
		}
	}
	play(1, 4)
	if len(out.Send) != 0 || net.asked != dissemination.Figures {
		t.Fatalf("%d messages without room, class %s asked for", len(out.Send), net.asked)
	}
	net.room = true
	play(5, 7)
	var heard fleet.Out
	asks.View(1, view, &heard)
	for _, message := range out.Send {
		message.From = "a"
		asks.Message(7_000_000, message, &heard)
	}
	sum := uint64(0)
	for _, h := range heard.Heard {
		sum += h.Window.Class[0].Offered
	}
	if sum < 6 {
		t.Errorf("%d calls of 7 were told, in %d windows", sum, len(heard.Heard))
	}
}
