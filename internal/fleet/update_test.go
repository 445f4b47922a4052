package fleet

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// writer returns a registry whose own entry spreads without windows.
func writer(name string, incarnation uint64) *Registry {
	b := NewRegistry(Entry{Name: name, Incarnation: incarnation, State: Serving, Protocol: ProtocolHeads, Zone: "north"})
	b.Heads = true
	b.Write(func(*Entry) {})
	return b
}

// takeCoded gives a registry what another knows of a process.
func takeCoded(b *Registry, c Coded) {
	take(b, c.Entry)
	if c.Update != nil {
		_, _, _ = b.TakeUpdate(1, c.Update)
	}
}

// drawHistory is what a process spreads over some changes, as the pieces that pass: entries and updates.
func drawHistory(t *rapid.T, b *Registry) (pieces []Coded) {
	for range rapid.IntRange(1, 8).Draw(t, "changes") {
		change := rapid.IntRange(0, 3).Draw(t, "change")
		c := b.Change(func(e *Entry) {
			switch change {
			case 0:
				e.Parts = map[Kind][]byte{Stage: {byte(len(pieces) + 1)}}
			case 1:
				e.State = Draining
			default:
				e.Settings++
			}
		})
		if c.Update != nil {
			pieces = append(pieces, Coded{Update: c.Update})
		} else {
			pieces = append(pieces, Coded{Entry: c.Entry})
		}
	}
	return pieces
}

func takePiece(b *Registry, c Coded) {
	if c.Update != nil {
		_, _, _ = b.TakeUpdate(1, c.Update)
		return
	}
	take(b, c.Entry)
}

// shownBy is how a registry shows a process.
func shownBy(t *rapid.T, b *Registry, name string) Entry {
	if m := b.View(2).Member(name); m != nil {
		return m.Entry
	}
	t.Fatalf("%s is not shown", name)
	return Entry{}
}

// Whatever order entries and updates come in, and however often, nothing older is ever shown than what is known, and what
// repair brings makes all the same: as the process itself has it.
func TestUpdatesAreAJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		own := writer("b", 5)
		first := Coded{Entry: own.Write(func(*Entry) {})}
		pieces := append([]Coded{first}, drawHistory(t, own)...)
		other := writer("a", 1)
		high := uint64(0)
		for _, piece := range rapid.Permutation(append(pieces, pieces...)).Draw(t, "order") {
			takePiece(other, piece)
			if v, ok := other.Newest("b"); ok {
				if v.Version < high {
					t.Fatalf("version %d after %d", v.Version, high)
				}
				high = v.Version
			}
		}
		newest, _ := own.Coded("b")
		takeCoded(other, newest)
		want, got := *own.Own(), shownBy(t, other, "b")
		if d := cmp.Diff(want, got, cmp.AllowUnexported(Entry{})); d != "" {
			t.Fatalf("another than the process itself has: %s", d)
		}
		if other.Counts.Garbage != 0 {
			t.Fatalf("%d garbage", other.Counts.Garbage)
		}
	})
}

// A digest is that of the newest versions shown, whatever way they came; it differs where anything differs.
func TestDigests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, two := writer("x", 1), writer("x", 1)
		for i := range rapid.IntRange(1, 20).Draw(t, "processes") {
			own := writer(fmt.Sprintf("n%d", i), uint64(i+1))
			for _, piece := range append([]Coded{{Entry: own.Write(func(*Entry) {})}}, drawHistory(t, own)...) {
				takePiece(one, piece)
			}
			newest, _ := one.Coded(own.Own().Name)
			takeCoded(two, newest)
		}
		root, buckets := one.Digest()
		if other, otherBuckets := two.Digest(); other != root || otherBuckets != buckets {
			t.Fatalf("digests %x and %x of the same", root, other)
		}
		var again digest
		for bucket := range DigestBuckets {
			one.Versions(bucket, func(v Version) {
				if known, ok := one.Newest(v.Name); !ok || known != v || bucketOf(v.Name) != bucket {
					t.Fatalf("%+v is listed in %d, %+v is known", v, bucket, known)
				}
				again.toggle(v)
			})
		}
		if again.root != root || again.buckets != buckets {
			t.Fatal("the digest is another than that of the versions listed")
		}
		late := writer("n0", 99)
		takeCoded(two, Coded{Entry: late.Write(func(*Entry) {})})
		other, otherBuckets := two.Digest()
		if other == root || otherBuckets[bucketOf("n0")] == buckets[bucketOf("n0")] {
			t.Fatal("a later incarnation does not show in the digest")
		}
	})
}

// An update says what changes often in a fraction of the bytes; what it cannot say goes whole; one without its entry is passed
// by and counted; so is one that is garbled, over size, or of an older version.
func TestUpdatesAndGaps(t *testing.T) {
	own, other := writer("sidecar-0123456789", 1_700_000_000_000_000), writer("a", 1)
	own.Write(func(e *Entry) { e.Parts = map[Kind][]byte{Stage: bytes.Repeat([]byte{1}, 60)} })
	first, _ := own.Coded("sidecar-0123456789")
	c := own.Change(func(e *Entry) { e.Settings = 0xfedcba9876543210 })
	if c.Update == nil || len(c.Update) > 60 || len(c.Update) > len(c.Entry)/2 {
		t.Errorf("an update of %d bytes beside %d", len(c.Update), len(c.Entry))
	}
	if _, spread, err := other.TakeUpdate(1, c.Update); spread != nil || err != nil || other.Counts.Gaps != 1 {
		t.Errorf("an update without its entry: %v, %v, %d gaps", spread, err, other.Counts.Gaps)
	}
	takeCoded(other, first)
	name, spread, err := other.TakeUpdate(1, c.Update)
	if name != "sidecar-0123456789" || spread == nil || !bytes.Equal(spread.Update, c.Update) || err != nil {
		t.Errorf("an update on its entry: %q, %v, %v", name, spread, err)
	}
	if _, spread, _ := other.TakeUpdate(1, c.Update); spread != nil {
		t.Error("it is news twice")
	}
	whole := own.Change(func(e *Entry) { e.Parts = nil })
	if whole.Update != nil {
		t.Error("an update said that a part is gone")
	}
	take(other, whole.Entry)
	if _, spread, _ := other.TakeUpdate(1, c.Update); spread != nil || other.View(2).Member(name).Settings != 0xfedcba9876543210 {
		t.Error("an update on top of an earlier entry was taken, or the entry lacks it")
	}
	own.Heads = false
	if c := own.Change(func(e *Entry) { e.Settings = 1 }); c.Update != nil {
		t.Error("members of the version before are sent updates")
	}
	for _, b := range [][]byte{nil, {0xa0}, {0xff}, c.Update[:10], append(c.Update, 0), bytes.Repeat([]byte{0}, MaxUpdate+1)} {
		was := other.Counts.Garbage
		if _, _, err := other.TakeUpdate(1, b); err == nil || other.Counts.Garbage != was+1 {
			t.Errorf("%x was taken", b)
		}
	}
	longest := Update{Name: strings.Repeat("n", MaxName), Incarnation: maxIncarnation, Base: 1<<63 - 1, Version: 1 << 63, State: 255, Settings: 1<<64 - 1, Roster: 1<<64 - 1}
	if b := longest.Encode(); len(b) > MaxUpdate {
		t.Errorf("the longest update has %d bytes", len(b))
	}
}

// An update of this process's own name by somebody else makes it take a higher incarnation.
func TestUpdateOfOwn(t *testing.T) {
	twin, own := writer("a", 50), writer("a", 7)
	twin.Write(func(*Entry) {})
	c := twin.Change(func(e *Entry) { e.Settings = 3 })
	name, spread, err := own.TakeUpdate(1, c.Update)
	if name != "a" || spread == nil || err != nil || own.Own().Incarnation != 51 {
		t.Errorf("%q, %v, %v: incarnation %d", name, spread, err, own.Own().Incarnation)
	}
	echo := own.Change(func(e *Entry) { e.Settings = 4 })
	if _, spread, _ := own.TakeUpdate(1, echo.Update); spread != nil {
		t.Error("its own update made it take a higher incarnation")
	}
}

// One that tells of itself on change alone is not suspected between its heartbeats while the membership sees it; one that
// the membership does not see, as of which only others still tell, is suspected as soon as before.
func TestQuietBetweenHeartbeats(t *testing.T) {
	b := writer("a", 1)
	suspected := func(now int64, name string) bool {
		b.changed = true
		return b.View(now).Member(name).Suspect
	}
	b.Up(1, "b")
	takeCoded(b, Coded{Entry: writer("b", 1).Write(func(*Entry) {})})
	takeCoded(b, Coded{Entry: writer("c", 1).Write(func(*Entry) {})})
	const late = heartbeatsMissed*DefaultHeartbeat + 1
	if suspected(DefaultStale, "b") || suspected(late-1, "b") || !suspected(late, "b") {
		t.Error("one that is seen is not suspected after its heartbeats alone")
	}
	if !suspected(DefaultStale+1, "c") {
		t.Error("one that is not seen, and quiet, is not suspected")
	}
	b.Gone(late+1, "b")
	b.Up(late+2, "b")
	if suspected(late+2, "b") {
		t.Error("one that came back is suspected")
	}
	b.Gone(late+3, "b")
	if !suspected(late+3, "b") {
		t.Error("one that the membership no longer sees is not suspected at once")
	}
}

// Windows that were asked for stand in the view, the newest last and few; those of an earlier incarnation do not.
func TestWindowsOfOthers(t *testing.T) {
	b, own := writer("a", 1), writer("b", 1)
	if b.AddWindow(HeardWindow{Name: "b", Incarnation: 1}) {
		t.Error("a window of nobody was taken")
	}
	takeCoded(b, Coded{Entry: own.Write(func(*Entry) {})})
	for i := range MaxWindows + 3 {
		b.AddWindow(HeardWindow{Name: "b", Incarnation: 1, Window: Window{Number: uint64(i + 1)}})
	}
	if b.AddWindow(HeardWindow{Name: "b", Incarnation: 2}) {
		t.Error("a window of another incarnation was taken")
	}
	w := b.View(2).Member("b").Windows
	if len(w) != MaxWindows || w[0].Number != 4 || w[MaxWindows-1].Number != MaxWindows+3 {
		t.Errorf("%d windows, from %d", len(w), w[0].Number)
	}
	takeCoded(b, Coded{Entry: writer("b", 2).Write(func(*Entry) {})})
	if w := b.View(2).Member("b").Windows; len(w) != 0 {
		t.Errorf("%d windows of an earlier incarnation", len(w))
	}
}

// What is read of an update never harms the reader, and what it reads it writes again.
func FuzzUpdate(f *testing.F) {
	own := writer("b", 3)
	f.Add(own.Change(func(e *Entry) { e.Settings = 5 }).Update)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, b []byte) {
		u, err := DecodeUpdate(b)
		if err != nil {
			return
		}
		again, err := DecodeUpdate(u.Encode())
		if err != nil || *again != *u {
			t.Fatalf("%+v, again %+v, %v", u, again, err)
		}
		r := writer("a", 1)
		_, _, _ = r.TakeUpdate(1, b)
	})
}
