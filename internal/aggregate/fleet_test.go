package aggregate

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pewterwheel/internal/fleet"
)

// What comes in stays within the rate and a fifth, at each size of fleet, with usual windows and with the largest,
// and no second has many times its share.
func TestRate(t *testing.T) {
	for _, c := range []struct {
		members int
		largest bool
		settle  int // seconds until the length is learned
	}{{24, false, 20}, {120, false, 20}, {510, false, 40}, {1020, false, 80}, {24, true, 120}, {510, true, 200}} {
		t.Run(fmt.Sprintf("%d members, largest %t", c.members, c.largest), func(t *testing.T) {
			w := newWorld(c.members, nil)
			if c.largest {
				large := largestWindow()
				w.window = func(int) fleet.Window { return large }
			}
			w.seconds(10)
			w.want(0, true)
			w.seconds(c.settle)
			p := w.procs[0]
			length := int(p.module.Length() / second)
			before, peak := p.in, int64(0)
			span := (120 + length) / length * length
			for range span {
				at := p.in
				w.second()
				peak = max(peak, p.in-at)
			}
			got := float64(p.in-before) / float64(span)
			t.Logf("%.0f bytes a second, at most %d in one; windows of %d s, %.0f bytes each; %d asks", got, peak, length,
				p.module.subscriber.mean, p.module.subscriber.serial)
			if got > 1.2*DefaultRate {
				t.Errorf("%.0f bytes a second", got)
			}
			if got < 0.5*DefaultRate && length > 1 {
				t.Errorf("%.0f bytes a second: the rate is not used", got)
			}
			if !c.largest && peak > 4*DefaultRate {
				t.Errorf("%d bytes in one second", peak)
			}
			if bad := p.figure("figures_bad") + p.figure("figures_incomplete") + p.figure("figures_old"); bad != 0 {
				t.Errorf("%d passed by", bad)
			}
		})
	}
}

// While the size of the windows is not known, what comes is bounded too: windows of the largest size from all at once.
func TestRateAtFirst(t *testing.T) {
	w := newWorld(510, nil)
	large := largestWindow()
	w.window = func(int) fleet.Window { return large }
	w.seconds(10)
	w.want(0, true)
	p := w.procs[0]
	w.seconds(120)
	got := float64(p.in) / 120
	t.Logf("%.0f bytes a second in the first two minutes, length %d s, asked %d times", got, p.module.Length()/second,
		p.module.subscriber.serial)
	if got > 3*DefaultRate || p.module.subscriber.serial > 12 {
		t.Errorf("%.0f bytes a second, asked %d times", got, p.module.subscriber.serial)
	}
}

// Loss, doubling and delay take windows away and bring none twice or out of order (the test's world sees to that);
// each of the others is heard.
func TestLossDoubledLate(t *testing.T) {
	w := newWorld(120, nil)
	w.loss, w.twice, w.late = 0.05, 0.05, 12
	w.want(0, true)
	w.seconds(300)
	p := w.procs[0]
	sent := uint64(0)
	for _, q := range w.procs[1:] {
		sent += q.figure("figures_sent")
	}
	heard := uint64(0)
	count := map[string]int{}
	for _, h := range p.heard {
		count[h.Name]++
	}
	least := math.MaxInt
	for _, q := range w.procs[1:] {
		heard += uint64(count[q.entry.Name])
		least = min(least, count[q.entry.Name])
	}
	t.Logf("%d sent, %d heard, the fewest of one %d, %d doubled or late", sent, heard, least, p.figure("figures_old"))
	if heard > sent || float64(heard) < 0.8*float64(sent) || least < 10 || p.figure("figures_old") == 0 {
		t.Errorf("%d sent, %d heard, the fewest of one %d, %d passed by", sent, heard, least, p.figure("figures_old"))
	}
}

// With windows of several messages and loss, the windows that miss a piece are counted, and what is kept of them is
// bounded.
func TestLossOfPieces(t *testing.T) {
	w := newWorld(24, nil)
	large := largestWindow()
	w.window = func(int) fleet.Window { return large }
	w.loss, w.late = 0.05, 2
	w.want(0, true)
	w.seconds(600)
	p := w.procs[0]
	heard, incomplete := p.figure("figures_heard"), p.figure("figures_incomplete")
	t.Logf("%d heard, %d incomplete, %d bytes of incomplete ones", heard, incomplete, p.module.subscriber.pending)
	if heard < 100 || incomplete < 50 || p.module.subscriber.pending > 24*(fleet.MaxClasses*fleet.MaxBody) {
		t.Errorf("%d heard, %d incomplete, %d bytes", heard, incomplete, p.module.subscriber.pending)
	}
}

// A subscriber that dies is sent nothing once it is suspected; one whose renewals do not come, nothing after the
// lapse; and one that takes nothing is sent what it asked for and no more.
func TestSubscribersThatFail(t *testing.T) {
	sentIn := func(w *world, seconds int) (n int) {
		for _, p := range w.procs {
			for s := w.now/second - int64(seconds) + 1; s <= w.now/second; s++ {
				n += p.sent[uint64(s)]
			}
		}
		return n
	}
	t.Run("dies", func(t *testing.T) {
		w := newWorld(60, nil)
		w.want(0, true)
		w.seconds(30)
		w.die(0)
		w.seconds(20)
		if n := sentIn(w, 19); n != 0 {
			t.Errorf("%d messages to the dead", n)
		}
	})
	t.Run("is cut off one way", func(t *testing.T) {
		w := newWorld(60, nil)
		w.want(0, true)
		w.seconds(30)
		w.procs[0].frozen = true
		w.seconds(int(Lapse/second) - 60)
		if n := sentIn(w, 10); n == 0 {
			t.Error("ended before the lapse")
		}
		w.seconds(80)
		if n := sentIn(w, 10); n != 0 {
			t.Errorf("%d messages after the lapse", n)
		}
	})
	t.Run("never takes", func(t *testing.T) {
		w := newWorld(60, nil)
		w.deaf["member-0000"] = true
		w.want(0, true)
		w.seconds(300)
		length := int(w.procs[0].module.Length() / second)
		if n := sentIn(w, 250); n > 59*250/length+59 || n < 59*250/length-59 {
			t.Errorf("%d messages in 250 s, windows of %d s", n, length)
		}
	})
}

// All of a large fleet answer a new subscriber spread over the length, and not at once.
func TestAnswersAreSpread(t *testing.T) {
	w := newWorld(510, nil)
	w.seconds(10)
	w.want(0, true)
	w.seconds(40)
	length := w.procs[0].module.Length() / second
	perSecond := map[int64]int{}
	first := 0
	for _, p := range w.procs {
		if len(p.sent) > 0 {
			first++
		}
		for s, n := range p.sent {
			perSecond[int64(s)] += n
		}
	}
	most := 0
	for _, n := range perSecond {
		most = max(most, n)
	}
	share := 510 / int(length)
	if first < 505 || most > 3*share {
		t.Errorf("%d of 509 answered, at most %d in a second, where the share is %d", first, most, share)
	}
}

// Four subscribers at once are each served in full, and a sender keeps nothing for them once they end.
func TestSeveralSubscribers(t *testing.T) {
	w := newWorld(30, nil)
	for i := range 4 {
		w.want(i, true)
	}
	w.seconds(60)
	for i := range 4 {
		names := map[string]bool{}
		for _, h := range w.procs[i].heard {
			names[h.Name] = true
		}
		if len(names) != 29 || names[w.procs[i].entry.Name] {
			t.Errorf("subscriber %d hears %d", i, len(names))
		}
		w.want(i, false)
	}
	w.seconds(2)
	for _, p := range w.procs {
		if s := &p.module.sender; len(s.served)+len(s.requests) != 0 || len(s.history) != History {
			t.Fatalf("%d served, %d requests, %d windows kept", len(s.served), len(s.requests), len(s.history))
		}
	}
}

// What is kept stays bounded, whoever sends whatever: incomplete windows from the largest fleet, names that come
// and go.
func TestMemoryIsBounded(t *testing.T) {
	m, out := New(Config{Self: "m0000"}), &fleet.Out{}
	large := largestWindow()
	small, _ := messages(1, &fleet.Window{Number: 1, Length: second})
	for round := range 2 {
		v := &fleet.View{}
		for i := range fleet.MaxMembers {
			v.Members = append(v.Members, member(fmt.Sprintf("m%04d-%d", i, round), 1, nil))
		}
		m.View(int64(round), v, out)
		m.Want(int64(round), true, out)
		large.Number = uint64(round) + 1
		bodies, _ := messages(1, &large)
		for i := range v.Members {
			for _, b := range bodies[1:3] {
				m.Message(int64(round), fleet.Message{From: v.Members[i].Name, Body: b}, out)
			}
			m.Message(int64(round), fleet.Message{From: fmt.Sprintf("stranger-%d-%d", round, i), Body: small[0]}, out)
		}
		s := &m.subscriber
		if s.pending > maxPending || len(s.sources) > 2*fleet.MaxMembers || len(out.Heard) != 0 {
			t.Fatalf("%d bytes pending, %d sources, %d heard", s.pending, len(s.sources), len(out.Heard))
		}
	}
	if m.counts.incomplete == 0 {
		t.Error("nothing was dropped")
	}
	m.Want(9, false, out)
	if m.subscriber.pending != 0 {
		t.Errorf("%d bytes pending when nothing is wanted", m.subscriber.pending)
	}
}

// FuzzFiguresRead brings anything as a message and as a subscription: nothing panics, what is kept and heard is
// within its bounds, and what is sent can be read.
func FuzzFiguresRead(f *testing.F) {
	usual := fleet.Window{Number: 1, Length: second}
	usual.Class = []fleet.ClassFigures{{Name: "x", Offered: 9, Waits: []uint32{1, 2}}}
	coded := fleet.EncodeWindow(&usual)
	whole, _ := messages(3, &usual)
	large := largestWindow()
	large.Number = 2
	pieces, _ := messages(3, &large)
	f.Add(whole[0], pieces[0], encode(subscription{second, 1}))
	f.Add(pieces[1], pieces[1], encode(subscription{MaxLength, 9}))
	f.Add(pieces[0], whole[0][:20], []byte{0xbf})
	f.Add(encode(message{3, 9, 1, 2, coded}), encode(message{3, 9, 0, 3, coded}), []byte{})
	f.Fuzz(func(t *testing.T, first, second []byte, part []byte) {
		m, out := subscribed(t, 3)
		for _, from := range []string{"b", "c", "a"} {
			for _, body := range [][]byte{first, second, first} {
				m.Message(1, fleet.Message{From: from, Body: body}, out)
			}
		}
		s := &m.subscriber
		if s.pending > 2*2*fleet.MaxBody || len(s.sources) > 2 {
			t.Errorf("%d bytes pending, %d sources", s.pending, len(s.sources))
		}
		for _, h := range out.Heard {
			long := func(c fleet.ClassFigures) bool { return len(c.Name) > fleet.MaxName || len(c.Waits) > fleet.MaxBuckets }
			if len(h.Window.Class) > fleet.MaxClasses || slices.ContainsFunc(h.Window.Class, long) {
				t.Errorf("heard %+v", h)
			}
			if h.Window.Length <= 0 || h.Window.Length > longestSum {
				t.Errorf("heard a window of %d us", h.Window.Length)
			}
		}
		*out = fleet.Out{}
		v := &fleet.View{Members: []fleet.Member{member("a", 1, nil), member("b", 3, part)}}
		m.View(2, v, out)
		m.Window(3, large, out)
		m.Window(2*MaxLength, large, out)
		for _, msg := range out.Send {
			if _, err := decodeMessage(msg.Body); err != nil || msg.To != "b" {
				t.Errorf("sent to %s: %v", msg.To, err)
			}
		}
	})
}
