package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func known(b *Registry) map[string]string {
	m := map[string]string{}
	b.Known(func(name string, known Coded) { m[name] = string(known.Entry) })
	return m
}

func others(b *Registry) map[string]string {
	m := known(b)
	delete(m, b.Own().Name)
	return m
}

func take(b *Registry, raw []byte) { _, _, _ = b.Take(1, raw) }

// The merge of entries does not depend on their order, on how often they come, or on who passed them on in which groups.
func TestMergeIsAJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all [][]byte
		for range rapid.IntRange(1, 12).Draw(t, "entries") {
			e := drawEntry(t, rapid.SampledFrom([]string{"b", "c", "d"}).Draw(t, "name"))
			e.State = Serving // one that leaves is left out of Known at its own time
			all = append(all, e.Encode())
		}
		book := func() *Registry { return NewRegistry(Entry{Name: "a", Incarnation: 1, State: Serving}) }
		straight, shuffled, grouped := book(), book(), book()
		for _, raw := range all {
			take(straight, raw)
		}
		for _, raw := range rapid.Permutation(append(all, all...)).Draw(t, "order") {
			take(shuffled, raw)
		}
		cut := rapid.IntRange(0, len(all)).Draw(t, "cut")
		left, right := book(), book()
		for _, raw := range all[:cut] {
			take(left, raw)
		}
		for _, raw := range all[cut:] {
			take(right, raw)
		}
		for _, part := range []*Registry{right, left} { // what each has made of its part
			for _, raw := range others(part) {
				take(grouped, []byte(raw))
			}
		}
		if d := cmp.Diff(others(straight), others(shuffled)); d != "" {
			t.Fatalf("another order or twice: %s", d)
		}
		if d := cmp.Diff(others(straight), others(grouped)); d != "" {
			t.Fatalf("by groups: %s", d)
		}
		for _, raw := range all { // and none is newer than what is kept
			e, _ := DecodeEntry(raw)
			kept, _ := DecodeEntry([]byte(others(straight)[e.Name]))
			if Newer(e.Incarnation, e.Version, kept.Incarnation, kept.Version) {
				t.Fatalf("%d.%d of %s is kept, and %d.%d came", kept.Incarnation, kept.Version, e.Name, e.Incarnation, e.Version)
			}
		}
	})
}

// earlier plays a process that restarts with its clock a day back and hears of its earlier life. It returns what a third
// process knows of it in the end.
func earlier(loose bool) *Entry {
	old, third := NewRegistry(Entry{Name: "b", Incarnation: 1000, State: Serving, Program: "old"}), NewRegistry(Entry{Name: "c", Incarnation: 1, State: Serving})
	third.loose = loose
	for range 5 {
		take(third, old.Write(func(*Entry) {}))
	}
	again := NewRegistry(Entry{Name: "b", Incarnation: 10, State: Serving, Program: "new"})
	take(third, []byte(known(again)["b"])) // too low a life: passed by
	for _, raw := range known(third) {
		if _, spread, _ := again.Take(2, []byte(raw)); spread != nil {
			take(third, spread)
		}
	}
	for raw := range old.replays() { // and what the earlier life had sent still comes
		take(third, raw)
	}
	return third.records["b"].entry
}

func (b *Registry) replays() func(func([]byte) bool) {
	return func(yield func([]byte) bool) { yield(b.ownRaw) }
}

// An entry of an earlier life never shadows one of a later, also when the clock stepped back.
func TestEarlierLifeShadowsNothing(t *testing.T) {
	if e := earlier(false); e.Program != "new" || e.Incarnation <= 1000 {
		t.Errorf("the third knows %s of life %d", e.Program, e.Incarnation)
	}
	if e := earlier(true); e.Program == "new" {
		t.Error("without the order of lives nothing else is seen")
	}
}

// Its own entry is nobody else's to write: an echo changes nothing, another one makes it take a higher life, and a name that
// is used twice is told.
func TestOwnEntryIsItsOwn(t *testing.T) {
	b := NewRegistry(Entry{Name: "a", Incarnation: 5, State: Serving})
	if _, spread, err := b.Take(1, []byte(known(b)["a"])); spread != nil || err != nil || b.Own().Incarnation != 5 {
		t.Errorf("an echo gave %d, %v", b.Own().Incarnation, err)
	}
	twin := NewRegistry(Entry{Name: "a", Incarnation: 7, State: Serving})
	var twice *NameTwiceError
	for range 10 {
		if _, spread, err := b.Take(1, twin.ownRaw); spread != nil && errors.As(err, &twice) {
			break
		}
		if _, _, err := twin.Take(1, b.ownRaw); errors.As(err, &twice) {
			break
		}
	}
	if twice == nil || twice.Advice() == "" {
		t.Errorf("two processes of one name were not found out: lives %d and %d", b.Own().Incarnation, twin.Own().Incarnation)
	}
}

// Nobody is taken for dead: who is no longer seen, or from whom nothing comes, is suspected, and left out only after the
// bound; who said that it leaves is left out at once; who comes back is shown again.
func TestSuspicionIsNotDeath(t *testing.T) {
	b := NewRegistry(Entry{Name: "a", Incarnation: 1, State: Serving})
	other := NewRegistry(Entry{Name: "b", Incarnation: 1, State: Serving})
	now := int64(1)
	shown := func() string {
		b.changed = true
		switch m := b.View(now).Member("b"); {
		case m == nil:
			return "no"
		case m.Suspect:
			return "suspected"
		}
		return "yes"
	}
	at := func(after int64, want string) {
		t.Helper()
		now += after
		if got := shown(); got != want {
			t.Errorf("at %d it is shown: %s, want %s", now, got, want)
		}
	}
	hear := func() { _, _, _ = b.Take(now, other.Write(func(*Entry) {})) }
	hear()
	at(0, "yes")
	at(DefaultStale-1, "yes")
	at(1, "suspected") // quiet, and still seen
	hear()
	at(0, "yes")
	b.Gone(now, "b")
	at(0, "suspected")
	hear() // by way of others
	at(0, "suspected")
	at(DefaultAbsent-1, "suspected")
	at(1, "no")
	b.Up(now, "b")
	at(0, "yes")
	b.Gone(now, "b")
	other = NewRegistry(Entry{Name: "b", Incarnation: 2, State: Serving}) // a later life
	hear()
	at(0, "yes")
	_, _, _ = b.Take(now, other.Write(func(e *Entry) { e.State = Leaving }))
	at(0, "yes")
	b.Gone(now, "b")
	at(0, "no")
}

// Bytes kept are bounded, and so is the number of processes: the longest gone make room, and then no more are taken.
func TestRegistryIsBounded(t *testing.T) {
	b := NewRegistry(Entry{Name: "a", Incarnation: 1, State: Serving})
	raw := func(i int) []byte {
		e := Entry{Name: fmt.Sprintf("n%d", i), Incarnation: 1, Version: 1, State: Serving, Parts: map[Kind][]byte{}}
		for k := range Kind(4) {
			e.Parts[k+1] = bytes.Repeat([]byte{1}, MaxBody)
		}
		return e.Encode()
	}
	for i := range MaxMembers - 1 {
		if _, spread, err := b.Take(1, raw(i)); spread == nil || err != nil {
			t.Fatal(err)
		}
	}
	var full *FullError
	if _, _, err := b.Take(1, raw(MaxMembers)); !errors.As(err, &full) || b.Counts.Full != 1 {
		t.Errorf("one too many gave %v", err)
	}
	if size, n := b.Size(); size > MaxMembers*MaxEntry || n != MaxMembers {
		t.Errorf("%d bytes of %d processes", size, n)
	}
	b.Gone(2, "n7")
	b.View(2 + DefaultAbsent)
	if _, spread, err := b.Take(2+DefaultAbsent, raw(MaxMembers)); spread == nil || err != nil {
		t.Errorf("with one long gone: %v", err)
	}
	if _, _, err := b.Take(3, []byte("x")); err == nil || b.Counts.Garbage != 1 {
		t.Error("garbage was not counted")
	}
}

// Where there are many processes each tells of itself less often, and its quiet is suspected later.
func TestManyAreSlower(t *testing.T) {
	b := NewRegistry(Entry{Name: "a", Incarnation: 1, State: Serving})
	for i := range 10 * MembersPerSlot {
		e := Entry{Name: fmt.Sprintf("n%d", i), Incarnation: 1, Version: 1, State: Serving}
		take(b, e.Encode())
	}
	b.View(2)
	if b.IntervalFactor() != 11 {
		t.Errorf("%d times slower", b.IntervalFactor())
	}
	if v := b.View(DefaultStale + 2); v != nil {
		t.Errorf("%+v is suspected", v.Members[1].Name)
	}
	if v := b.View(11*DefaultStale + 2); v == nil || !v.Members[1].Suspect {
		t.Error("nobody is suspected, ever")
	}
}
