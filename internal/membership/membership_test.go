package membership

import (
	"encoding/binary"
	"errors"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"pewterwheel/decide"
	"pewterwheel/internal/wire"
)

func member(name string, port uint16) Member {
	return Member{Name: name, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port), Weight: 1}
}

// A reload reports nothing for unchanged offices, drains removed ones, starts a known name at a new address as cold,
// and removes an office when no calls are left there or its linger time is over.
func TestFileReload(t *testing.T) {
	a, b, c := member("a", 1), member("b", 2), member("c", 3)
	f := NewFile([]Member{a, b, c}, 10_000)
	var got []wire.Change
	emit := func(c wire.Change) { got = append(got, c) }
	if err := f.Start(5, emit); err != nil || len(got) != 1 || len(got[0].Offices) != 3 ||
		got[0].Offices[0].Started != 0 {
		t.Fatalf("Start reported %v, %v", got, err)
	}
	moved := member("b", 9)
	got = nil
	if err := f.Reload(100, Update{Members: []Member{a, moved}, Linger: 10_000}, emit); err != nil {
		t.Fatal(err)
	}
	want := map[decide.ServerID]decide.Listed{
		moved.ID(): {ID: moved.ID(), Share: 1, Started: 100},
		b.ID():     {ID: b.ID(), Share: 1, State: decide.Draining},
		c.ID():     {ID: c.ID(), Share: 1, State: decide.Draining},
	}
	if len(got) != 1 || len(got[0].Offices) != len(want) {
		t.Fatalf("Reload reported %+v", got)
	}
	for _, o := range got[0].Offices {
		if o.Listed != want[o.ID] {
			t.Errorf("reported %+v, want %+v", o.Listed, want[o.ID])
		}
	}
	standing := map[decide.ServerID]int{c.ID(): 1}
	countCalls := func(id decide.ServerID) int { return standing[id] }
	got = nil
	f.Tick(200, countCalls, emit)
	if len(got) != 1 || len(got[0].Offices) != 1 || got[0].Offices[0].ID != b.ID() ||
		got[0].Offices[0].State != decide.Removed {
		t.Errorf("with a call at c Tick reported %+v", got)
	}
	got = nil
	f.Tick(10_099, countCalls, emit)
	if got != nil {
		t.Errorf("before the linger time was over Tick reported %+v", got)
	}
	f.Tick(10_100, countCalls, emit)
	if len(got) != 1 || got[0].Offices[0].ID != c.ID() || got[0].Offices[0].State != decide.Removed {
		t.Errorf("after the linger time Tick reported %+v", got)
	}
}

// A long list is reported in batches, except for offices to be drained, which are reported at once.
func TestLongListInBatches(t *testing.T) {
	list := func(from int) (ms []Member) {
		for i := range 4 * batch {
			ms = append(ms, member("h", uint16(from+i+1)))
		}
		return ms
	}
	f := NewFile(list(0), 0)
	up, worst := map[decide.ServerID]bool{}, 0
	emit := func(c wire.Change) {
		added := 0
		for _, o := range c.Offices {
			if up[o.ID] = o.State == decide.Up; up[o.ID] {
				added++
			} else if o.State == decide.Removed {
				delete(up, o.ID)
			}
		}
		worst = max(worst, added)
	}
	count := func() (n int) {
		for _, is := range up {
			if is {
				n++
			}
		}
		return n
	}
	_ = f.Start(1, emit)
	if worst = 0; len(up) != 4*batch {
		t.Fatalf("%d offices at the start", len(up))
	}
	_ = f.Reload(2, Update{Members: list(2 * batch)}, emit)
	if n := count(); n != 3*batch {
		t.Errorf("%d are up after the reload; half are drained at once, and a batch is new", n)
	}
	for range 8 {
		f.Tick(3, func(decide.ServerID) int { return 0 }, emit)
	}
	if n := count(); n != 4*batch || len(up) != n || worst > batch {
		t.Errorf("%d are up of %d known in the end, %d added at a time", n, len(up), worst)
	}
}

// Whatever versions of the file follow each other, an observer of the changes has the list of the last one: each
// office in it has the state given there, and each office that was removed from it is draining or removed. Numbers
// grow by one.
func TestFileFollowsFiles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := func() []Member {
			var ms []Member
			for _, port := range rapid.SliceOfDistinct(rapid.Uint16Range(1, 8), rapid.ID[uint16]).Draw(t, "ports") {
				m := member(string(rune('a'+port%4)), port)
				m.Draining, m.Place = rapid.Bool().Draw(t, "draining"), rapid.IntRange(0, 2).Draw(t, "place")
				ms = append(ms, m)
			}
			return ms
		}
		now, number := int64(1), uint64(0)
		seen := map[decide.ServerID]wire.Office{}
		emit := func(c wire.Change) {
			if number++; c.Number != number || len(c.Offices) == 0 {
				t.Fatalf("change %d with %d offices came as number %d", number, len(c.Offices), c.Number)
			}
			for _, o := range c.Offices {
				if old, ok := seen[o.ID]; ok && old.Listed == o.Listed {
					t.Fatalf("%+v was reported again", o)
				}
				if seen[o.ID] = o; o.State == decide.Removed {
					delete(seen, o.ID)
				}
			}
		}
		members := list()
		f := NewFile(members, 50)
		_ = f.Start(now, emit)
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			now += rapid.Int64Range(1, 40).Draw(t, "pause")
			if rapid.Bool().Draw(t, "tick") {
				f.Tick(now, func(decide.ServerID) int { return rapid.IntRange(0, 1).Draw(t, "stands") }, emit)
				continue
			}
			members = list()
			_ = f.Reload(now, Update{Members: members, Linger: 50}, emit)
		}
		on := map[decide.ServerID]bool{}
		for _, m := range members {
			on[m.ID()] = true
			if o, ok := seen[m.ID()]; !ok || o.State != stateOf(m) || o.Place != m.Place {
				t.Fatalf("%+v is known as %+v, %v", m, o, ok)
			}
		}
		for id, o := range seen {
			if !on[id] && o.State == decide.Up {
				t.Fatalf("%s was removed from the file but is up", id)
			}
		}
	})
}

// Frames may arrive in pieces. A gap and an invalid length are errors, after which a new connection resumes.
func TestJournalFrames(t *testing.T) {
	j := NewJournal("x:1", wire.Known{Last: 3}, nil)
	reported := 0
	emit := func(wire.Change) { reported++ }
	if err := j.Start(0, emit); err != nil {
		t.Fatal(err)
	}
	if ask := j.Request(5); binary.BigEndian.Uint64(ask) != 3 || j.LastFrame() != 5 {
		t.Errorf("requested % x, heard at %d", ask, j.LastFrame())
	}
	frame := func(number uint64, kind byte) []byte {
		b := binary.BigEndian.AppendUint64([]byte{0, 0, 0, 9}, number)
		return append(b, kind)
	}
	for i, b := range append(frame(4, 2), frame(4, 0)...) {
		if err := j.Feed(int64(10+i), []byte{b}, emit); err != nil {
			t.Fatal(err)
		}
	}
	if reported != 1 || j.LastNumber() != 4 || j.LastFrame() != 35 {
		t.Errorf("reported %d, last %d, heard at %d", reported, j.LastNumber(), j.LastFrame())
	}
	var skipped *SkippedError
	if err := j.Feed(40, frame(6, 2), emit); !errors.As(err, &skipped) || skipped.Last != 4 || skipped.Number != 6 {
		t.Errorf("a gap gave %v", err)
	}
	if err := j.Feed(41, []byte{0, 0, 0, 1, 0, 0, 0, 0}, emit); err == nil {
		t.Error("a frame of one byte was accepted")
	}
}
