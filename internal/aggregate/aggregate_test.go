package aggregate

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pewterwheel/internal/advice"
	"pewterwheel/internal/fleet"
)

// offered is the sum of the calls offered in a window.
func offered(w fleet.Window) (n uint64) {
	for _, c := range w.Class {
		n += c.Offered
	}
	return n
}

// What a subscriber hears adds up to what the senders' own windows were, each counted once, in the length that it
// asked for: from the history that was kept when it asked.
func TestWindowsAddUp(t *testing.T) {
	w := newWorld(6, func(_ int, c *Config) { c.Rate = 120 })
	var all [6][]uint64 // calls offered, by process and base window
	inner := w.window
	w.window = func(i int) fleet.Window {
		win := inner(i)
		all[i] = append(all[i], offered(win))
		return win
	}
	const before = 20
	w.seconds(before)
	w.want(0, true)
	w.seconds(205)
	if got := w.procs[0].module.Length(); got < 8*second || got > 30*second {
		t.Fatalf("length %d", got)
	}
	count := map[string]int{}
	heard := map[string]uint64{}
	length := map[string]int64{}
	for _, h := range w.procs[0].heard {
		heard[h.Name] += offered(h.Window)
		length[h.Name] += h.Window.Length
		count[h.Name]++
	}
	for i, p := range w.procs {
		name := p.entry.Name
		if i == 0 {
			continue // its own windows stand in its views
		}
		seconds := int(length[name] / second)
		want := uint64(0)
		for _, n := range all[i][before-History : before-History+seconds] {
			want += n
		}
		if heard[name] != want || count[name] < 5 || seconds < 150 {
			t.Errorf("%s: %d calls in %d windows over %d s, want %d", name, heard[name], count[name], seconds, want)
		}
	}
}

// A window carries sums, and of memory and broken rules the last.
func TestSum(t *testing.T) {
	m := New(Config{Self: "a"})
	v := &service{}
	m.add(v, &fleet.Window{Number: 1, Length: 5, CPU: 2, Memory: 9, Broken: 1, Class: []fleet.ClassFigures{
		{Name: "x", Offered: 1, Served: 2, Refused: 3, Failed: 4, Late: 5, Worth: 6, Whole: 7,
			Waits: []uint32{1, math.MaxUint32}}}})
	m.add(v, &fleet.Window{Number: 2, Length: 7, CPU: 3, Memory: 8, Broken: 4, Class: []fleet.ClassFigures{
		{Name: "y", Offered: 1},
		{Name: "x", Offered: 10, Served: 20, Refused: 30, Failed: 40, Late: 50, Worth: 60, Whole: 70,
			Waits: []uint32{1, 1, 1}}}})
	want := fleet.Window{Number: 2, Length: 12, CPU: 5, Memory: 8, Broken: 4, Class: []fleet.ClassFigures{
		{Name: "x", Offered: 11, Served: 22, Refused: 33, Failed: 44, Late: 55, Worth: 66, Whole: 77,
			Waits: []uint32{2, math.MaxUint32, 1}},
		{Name: "y", Offered: 1}}}
	if !reflect.DeepEqual(v.sum, want) {
		t.Errorf("got %+v, want %+v", v.sum, want)
	}
	// What no reader would take is left out and counted: names too long, worth that is no number, classes over the bound.
	w := fleet.Window{Class: []fleet.ClassFigures{
		{Name: strings.Repeat("n", fleet.MaxName+1)},
		{Name: "x", Worth: math.Inf(1)}}}
	for i := range fleet.MaxClasses {
		w.Class = append(w.Class, fleet.ClassFigures{Name: fmt.Sprint(i)})
	}
	m.add(v, &w)
	if len(v.sum.Class) != fleet.MaxClasses || m.counts.shed != 4 || v.sum.Class[0].Worth != 66 {
		t.Errorf("%d classes, %d shed, worth %g", len(v.sum.Class), m.counts.shed, v.sum.Class[0].Worth)
	}
}

// Numbers of windows grow by one, also over an end of the subscription and its next beginning.
func TestNumbers(t *testing.T) {
	w := newWorld(3, nil)
	w.want(0, true)
	w.seconds(30)
	before := w.procs[0].taken["member-0001"]
	last := uint64(0)
	for _, h := range w.procs[0].heard {
		if h.Name != "member-0001" {
			continue
		}
		if last != 0 && h.Window.Number != last+1 {
			t.Fatalf("window %d after %d", h.Window.Number, last)
		}
		last = h.Window.Number
	}
	if last < 20 {
		t.Fatalf("the last window is %d", last)
	}
	for range 5 {
		w.want(0, false)
		w.want(0, true)
		w.seconds(1)
		w.want(0, false)
		w.seconds(1)
		w.want(0, true)
		w.seconds(3)
	}
	// Two come unasked in each of the five seconds in which nothing is wanted.
	if after := w.procs[0].taken["member-0001"]; after < before+5 || w.procs[0].figure("figures_old") != 10 {
		t.Errorf("window %d after %d, %d passed by", after, before, w.procs[0].figure("figures_old"))
	}
}

// Each way in which a subscription ends is seen by the senders, and no other one ends it.
func TestSubscriptionsEnd(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(w *world)
		want uint64 // subscribers after it
	}{
		{"nothing", func(w *world) { w.seconds(400) }, 1},
		{"no longer wanted", func(w *world) { w.want(0, false) }, 0},
		{"wanted again", func(w *world) { w.want(0, false); w.seconds(1); w.want(0, true) }, 1},
		{"dead", func(w *world) { w.die(0) }, 0},
		{"gone from the view", func(w *world) { w.procs = w.procs[1:]; w.changed = true }, 0},
		{"restarted without it", func(w *world) { w.restart(0) }, 0},
		{"restarted and wanted", func(w *world) { w.restart(0); w.seconds(1); w.want(0, true) }, 1},
		{"suspected for a while", func(w *world) {
			w.die(0)
			w.seconds(10)
			w.procs[0].dead, w.changed = false, true
		}, 1},
		{"cut off one way, for less than the lapse", func(w *world) { w.procs[0].frozen = true; w.seconds(110) }, 1},
		{"cut off one way", func(w *world) { w.procs[0].frozen = true; w.seconds(int(Lapse / second)) }, 0},
		{"renewed after it", func(w *world) {
			w.procs[0].frozen = true
			w.seconds(int(Lapse / second))
			w.procs[0].frozen, w.changed = false, true
		}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(4, nil)
			w.want(0, true)
			w.seconds(3)
			sender := w.procs[2]
			if sender.figure("figures_subscribers") != 1 {
				t.Fatal("no subscription")
			}
			c.do(w)
			w.seconds(2)
			if got := sender.figure("figures_subscribers"); got != c.want {
				t.Errorf("%d subscribers, want %d", got, c.want)
			}
			sent := sender.figure("figures_sent")
			w.seconds(20)
			if got := sender.figure("figures_sent"); got > sent != (c.want == 1) {
				t.Errorf("%d windows sent after %d", got, sent)
			}
		})
	}
}

// So many subscribers are served and no more, those that were first.
func TestTooManySubscribers(t *testing.T) {
	w := newWorld(12, nil)
	for i := range 3 {
		w.want(9+i, true)
	}
	w.seconds(2)
	for i := range 9 {
		w.want(i, true)
	}
	w.seconds(30)
	p := w.procs[0]
	var served []string
	for _, s := range p.module.sender.served {
		served = append(served, s.name[len(s.name)-2:])
	}
	refused := p.figure("figures_refused_subscribers")
	if got := strings.Join(served, " "); got != "09 10 11 01 02 03 04 05" || refused != 3 {
		t.Errorf("served %s, refused %d", got, refused)
	}
	w.want(10, false)
	w.seconds(2)
	if got := p.module.sender.served[7].name; got != "member-0006" {
		t.Errorf("%s comes next", got)
	}
}

// A window that the budget refuses grows, and goes once it is of eight lengths; nothing of it is lost.
func TestBudget(t *testing.T) {
	allowed := false
	asked := 0
	w := newWorld(2, func(i int, c *Config) {
		if i == 1 {
			c.Allow = func(_ int64, bytes int) bool { asked += bytes; return allowed }
		}
	})
	w.want(0, true)
	w.seconds(4)
	p := w.procs[1]
	if p.figure("figures_sent") != 0 || p.figure("figures_summed") == 0 || asked == 0 {
		t.Fatalf("%d sent, %d summed, %d bytes asked for", p.figure("figures_sent"), p.figure("figures_summed"), asked)
	}
	w.seconds(30)
	var lengths []int64
	for _, h := range w.procs[0].heard {
		if h.Name == p.entry.Name {
			lengths = append(lengths, h.Window.Length/second)
		}
	}
	if len(lengths) < 3 || slices.Max(lengths) != MaxGrowth || slices.Min(lengths) != MaxGrowth {
		t.Errorf("lengths %v", lengths)
	}
	allowed = true
	before := len(w.procs[0].heard)
	w.seconds(10)
	heard := w.procs[0].heard
	if last := heard[len(heard)-1]; len(heard) < before+9 || last.Window.Length != second {
		t.Errorf("%d windows after %d, the last of %d us", len(heard), before, last.Window.Length)
	}
}

// The largest window goes in pieces that fit, and is the same once they are joined, in whatever order they come.
func TestPieces(t *testing.T) {
	w := largestWindow()
	w.Number = 5
	bodies, shed := messages(math.MaxUint64, &w)
	if shed != 0 || len(bodies) < 8 || len(bodies) > maxPieces {
		t.Fatalf("%d pieces, %d shed", len(bodies), shed)
	}
	for _, b := range bodies {
		if len(b) > fleet.MaxBody {
			t.Fatalf("a body of %d bytes", len(b))
		}
	}
	for _, backwards := range []bool{false, true} {
		m, out := subscribed(t, math.MaxUint64)
		list := slices.Clone(bodies)
		if backwards {
			slices.Reverse(list)
		}
		for i, b := range list {
			if len(out.Heard) != 0 {
				t.Fatalf("heard after %d pieces", i)
			}
			m.Message(1, fleet.Message{From: "b", Body: b}, out)
			m.Message(1, fleet.Message{From: "b", Body: b}, out)
		}
		if len(out.Heard) != 1 || m.counts.old != uint64(len(bodies)) || m.subscriber.pending != 0 {
			t.Fatalf("%d heard, %d doubled, %d bytes pending", len(out.Heard), m.counts.old, m.subscriber.pending)
		}
		if got := out.Heard[0].Window; !backwards && !reflect.DeepEqual(got, w) {
			t.Errorf("got %+v, want %+v", got, w)
		}
	}
}

// subscribed is a module of process a that wants figures, and sees b under that incarnation.
func subscribed(t testing.TB, incarnation uint64) (*Module, *fleet.Out) {
	t.Helper()
	m, out := New(Config{Self: "a"}), &fleet.Out{}
	m.View(0, &fleet.View{Members: []fleet.Member{member("a", 1, nil), member("b", incarnation, nil)}}, out)
	m.Want(0, true, out)
	return m, out
}

// A piece that is lost takes its window with it, and no other.
func TestIncomplete(t *testing.T) {
	m, out := subscribed(t, 3)
	for number := range uint64(4) {
		w := largestWindow()
		w.Number = number + 1
		bodies, _ := messages(3, &w)
		if number == 1 {
			bodies = bodies[1:]
		}
		for _, b := range bodies {
			m.Message(1, fleet.Message{From: "b", Body: b}, out)
		}
	}
	if len(out.Heard) != 3 || m.counts.incomplete != 1 || m.subscriber.pending != 0 {
		t.Errorf("%d heard, %d incomplete, %d pending", len(out.Heard), m.counts.incomplete, m.subscriber.pending)
	}
	for i, want := range []uint64{1, 3, 4} {
		if got := out.Heard[i].Window.Number; got != want {
			t.Errorf("window %d, want %d", got, want)
		}
	}
}

// What is not from a member in the view, of its life now, or newer than what came is passed by and counted.
func TestPassedBy(t *testing.T) {
	body := func(incarnation, number uint64) []byte {
		w := fleet.Window{Number: number, Length: second}
		bodies, _ := messages(incarnation, &w)
		return bodies[0]
	}
	m, out := subscribed(t, 3)
	say := func(from string, b []byte) { m.Message(1, fleet.Message{From: from, Body: b}, out) }
	say("b", body(3, 5))
	say("b", body(3, 5)) // doubled
	say("b", body(3, 4)) // late
	say("b", body(2, 9)) // of the life before
	say("c", body(3, 9)) // of nobody in the view
	say("b", body(4, 1)) // of a life that the view does not have yet
	say("b", body(3, 6)) // and of that before it
	if len(out.Heard) != 2 || m.counts.old != 5 || m.counts.bad != 0 {
		t.Errorf("%d heard, %d old, %d bad", len(out.Heard), m.counts.old, m.counts.bad)
	}
	empty := fleet.EncodeWindow(&fleet.Window{})
	bad := [][]byte{
		nil,
		{1},
		[]byte(strings.Repeat("x", fleet.MaxBody+1)),
		body(0, 1),
		body(1, 0),
		encode(message{1, 1, 0, 0, empty}),
		encode(message{1, 1, 2, 2, empty}),
		encode(message{1, 1, 0, maxPieces + 1, empty}),
		encode(message{1, 1, 0, 1, encode("x")}),
		encode(message{4, 8, 0, 1, empty}), // of no length
	}
	for i, b := range bad {
		if say("b", b); m.counts.bad != uint64(i)+1 {
			t.Fatalf("%d bad after %x", m.counts.bad, b)
		}
	}
	m.Want(1, false, out)
	if say("b", body(4, 9)); len(out.Heard) != 2 || m.counts.old != 6 {
		t.Errorf("heard unasked: %d, %d old", len(out.Heard), m.counts.old)
	}
	if _, err := decodeMessage(bad[1]); !errors.As(err, new(*BodyError)) || advice.Of(err) == "" || err.Error() == "" {
		t.Errorf("%v", err)
	}
}

// A subscription that cannot be read is counted once and served by nobody, until another one stands there.
func TestGarbledSubscriptions(t *testing.T) {
	for _, bad := range [][]byte{
		{1},
		encode(subscription{0, 1}),
		encode(subscription{-1, 1}),
		encode(subscription{MaxLength + 1, 1}),
		encode(subscription{second, 0}),
		make([]byte, fleet.MaxBody+1),
	} {
		m, out := New(Config{Self: "a"}), &fleet.Out{}
		view := func(body []byte) {
			m.View(1, &fleet.View{Members: []fleet.Member{member("a", 1, nil), member("b", 1, body)}}, out)
			m.Window(1, fleet.Window{Length: second}, out)
		}
		view(bad)
		view(bad)
		if m.counts.bad != 1 || len(m.sender.served) != 0 || len(out.Send) != 0 {
			t.Errorf("%x: %d bad, %d served", bad, m.counts.bad, len(m.sender.served))
		}
		if view(encode(subscription{second, 1})); len(m.sender.served) != 1 {
			t.Errorf("%x: not mended", bad)
		}
	}
}

// The length follows the number of members, and does not go to and fro.
func TestLengthIsSteady(t *testing.T) {
	m, out := New(Config{Self: "m0000"}), &fleet.Out{}
	now, asks := int64(0), 0
	show := func(members int) int64 {
		now += 5 * second
		v := &fleet.View{}
		for i := range members {
			v.Members = append(v.Members, member(fmt.Sprintf("m%04d", i), 1, nil))
		}
		*out = fleet.Out{}
		m.View(now, v, out)
		m.Want(now, true, out)
		asks += len(out.Parts)
		return m.Length() / second
	}
	for _, c := range []struct {
		members int
		want    int64
	}{
		{510, 38}, {520, 38}, {560, 38}, {480, 38}, {410, 38}, {390, 38}, {380, 28}, {1020, 75}, {24, 2},
		{13, 1}, {14, 1}, {16, 1}, {13, 1}, {17, 2}, {14, 2}, {300, 22},
	} {
		if got := show(c.members); got != c.want {
			t.Errorf("%d members: %d s, want %d", c.members, got, c.want)
		}
	}
	if asks != 7 {
		t.Errorf("asked %d times", asks)
	}
}

// Want says the same thing once.
func TestWantIsIdempotent(t *testing.T) {
	m, out := New(Config{Self: "a"}), &fleet.Out{}
	m.Want(0, true, out)
	if m.Want(0, true, out); out.Parts != nil || m.Next() != math.MaxInt64 {
		t.Fatal("asks before it knows how many would answer")
	}
	m.View(1, &fleet.View{Members: []fleet.Member{member("a", 1, nil)}}, out)
	if out.Parts[fleet.Figures] == nil || m.Next() != 1+Renew {
		t.Fatalf("part %x, next %d", out.Parts[fleet.Figures], m.Next())
	}
	*out = fleet.Out{}
	if m.Want(2, true, out); out.Parts != nil {
		t.Fatal("asks twice")
	}
	if m.Tick(Renew, out); out.Parts != nil {
		t.Fatal("renews early")
	}
	if m.Tick(1+Renew, out); out.Parts[fleet.Figures] == nil {
		t.Fatal("does not renew")
	}
	m.Want(3, false, out)
	if body, ok := out.Parts[fleet.Figures]; !ok || body != nil || m.Next() != math.MaxInt64 {
		t.Fatal("does not take it back")
	}
	for _, e := range Errors {
		if e.Advice() == "" || advice.Of(fmt.Errorf("so: %w", e)) != e.Advice() {
			t.Errorf("%T has no advice", e)
		}
	}
}

// A message of the life before is passed by also where it is the first that comes of its sender.
func TestLifeBefore(t *testing.T) {
	m, out := subscribed(t, 3)
	bodies, _ := messages(2, &fleet.Window{Number: 9, Length: second})
	if m.Message(1, fleet.Message{From: "b", Body: bodies[0]}, out); len(out.Heard) != 0 || m.counts.old != 1 {
		t.Errorf("%d heard, %d passed by", len(out.Heard), m.counts.old)
	}
}

// A subscriber that is suspected for a moment is not sent the history a second time.
func TestHistoryIsSentOnce(t *testing.T) {
	w := newWorld(3, nil)
	w.want(0, true)
	w.seconds(20)
	for range 5 {
		w.die(0)
		w.seconds(1)
		w.procs[0].dead, w.changed = false, true
		w.seconds(4)
	}
	length := int64(0)
	for _, h := range w.procs[0].heard {
		if h.Name == "member-0001" {
			length += h.Window.Length / second
		}
	}
	if length > 45 || length < 35 {
		t.Errorf("windows of %d s in 45 s", length)
	}
}

// Only a serial that has grown renews a subscription.
func TestSameSerialRenewsNothing(t *testing.T) {
	m, out := New(Config{Self: "a"}), &fleet.Out{}
	view := func(now, length int64, serial uint64) int {
		asks := encode(subscription{Length: length, Serial: serial})
		m.View(now, &fleet.View{Members: []fleet.Member{member("a", 1, nil), member("b", 1, asks)}}, out)
		return len(m.sender.served)
	}
	if view(0, second, 2) != 1 || view(Lapse-1, 2*second, 2) != 1 || view(Lapse, 3*second, 2) != 0 {
		t.Error("renewed by a length alone")
	}
	if view(Lapse+1, 3*second, 1) != 0 || view(Lapse+2, 3*second, 3) != 1 {
		t.Error("not renewed by the next serial alone")
	}
}
