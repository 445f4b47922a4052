package dissemination

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"pewterwheel/internal/advice"
	"pewterwheel/internal/fleet"
)

func drawVersion(t *rapid.T) fleet.Version {
	number := rapid.OneOf(rapid.Uint64Range(1, 300), rapid.Uint64Range(1, maxNumber))
	return fleet.Version{
		Name:        rapid.StringN(1, fleet.MaxName, fleet.MaxName).Draw(t, "name"),
		Incarnation: number.Draw(t, "incarnation"),
		Version:     number.Draw(t, "version"),
	}
}

// A list takes exactly as many bytes as are reckoned, and its frame no more than is left for it.
func TestSizesAreExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &repairMessage{Type: typeVersions, Versions: []listedVersion{{"a", 1, 1}}}
		m.Covered = rapid.Uint64().Draw(t, "covered")
		was := len(m.encode())
		v := drawVersion(t)
		m.add([]fleet.Version{v})
		if got := len(m.encode()) - was; got != versionBytes(v) {
			t.Fatalf("%+v takes %d bytes, not %d", v, got, versionBytes(v))
		}
		want := &repairMessage{Type: typeWant, Names: []string{"a"}}
		was = len(want.encode())
		want.Names = append(want.Names, v.Name)
		if got := len(want.encode()) - was; got != textBytes(v.Name) {
			t.Fatalf("%q takes %d bytes, not %d", v.Name, got, textBytes(v.Name))
		}
	})
	least := fleet.Version{Name: "a", Incarnation: 1, Version: 1}
	full := &repairMessage{Type: typeVersions, Covered: math.MaxUint64}
	for range maxListed {
		full.add([]fleet.Version{least})
	}
	if frame := len(full.encode()) - maxListed*versionBytes(least); frame != listFrame {
		t.Errorf("the frame takes %d bytes, not %d", frame, listFrame)
	}
}

// What is written is read back as it was.
func TestMessagesComeBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &repairMessage{Type: typeVersions, Covered: rapid.Uint64().Draw(t, "covered")}
		for range rapid.IntRange(0, 10).Draw(t, "versions") {
			m.add([]fleet.Version{drawVersion(t)})
		}
		back, err := decodeRepair(m.encode())
		if err != nil || !bytes.Equal(back.encode(), m.encode()) {
			t.Fatalf("%v: %+v came back as %+v", err, m, back)
		}
	})
}

func coded(t testing.TB, v any) []byte {
	t.Helper()
	raw, err := cbor.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// badMessages are messages that must not be read, with what is wrong with them.
func badMessages(t testing.TB) map[string]struct {
	raw   []byte
	fault Fault
} {
	t.Helper()
	version := func(name any, incarnation, version any) []byte {
		return coded(t, map[int]any{1: 2, 4: []any{map[int]any{1: name, 2: incarnation, 3: version}}})
	}
	good := coded(t, map[int]any{1: 3, 5: []string{"a", "b"}})
	names := func(count int) []byte { return coded(t, map[int]any{1: 3, 5: make([]string, count)}) }
	tooLong := strings.Repeat("x", fleet.MaxName+1)
	lyingList := []byte{0xa2, 0x01, 0x02, 0x04, 0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}
	return map[string]struct {
		raw   []byte
		fault Fault
	}{
		"empty":               {nil, NotCoded},
		"cut off":             {good[:len(good)-1], NotCoded},
		"more behind":         {append(bytes.Clone(good), 0), NotCoded},
		"huge":                {make([]byte, fleet.MaxBody+1), TooLong},
		"no map":              {coded(t, "ask"), NotCoded},
		"a key twice":         {[]byte{0xa2, 0x01, 0x02, 0x01, 0x02}, NotCoded},
		"indefinite":          {[]byte{0xbf, 0x01, 0x02, 0xff}, NotCoded},
		"a tag":               {[]byte{0xa1, 0x01, 0xc1, 0x02}, NotCoded},
		"a list of 2^63":      {lyingList, NotCoded},
		"a list behind all":   {append((&repairMessage{Type: typeVersions}).encode(), lyingList[4:]...), NotCoded},
		"a list that is cut":  {[]byte{0xa2, 0x01, 0x02, 0x04, 0x83, 0xa0}, NotCoded},
		"no text":             {[]byte{0xa2, 0x01, 0x03, 0x05, 0x81, 0x61, 0xff}, NotCoded},
		"a number too large":  {coded(t, map[int]any{1: 2, 3: 1.5}), NotCoded},
		"a negative number":   {version("a", -1, 1), NotCoded},
		"too many listed":     {coded(t, map[int]any{1: 2, 4: make([]map[int]any, maxListed+1)}), NotCoded},
		"no type":             {coded(t, map[int]any{5: []string{"a"}}), UnknownType},
		"another type":        {coded(t, map[int]any{1: 4}), UnknownType},
		"type 0":              {coded(t, map[int]any{1: 0}), UnknownType},
		"no digests":          {coded(t, map[int]any{1: 1}), BadCount},
		"a digest too few":    {coded(t, map[int]any{1: 1, 2: make([]byte, 252)}), BadCount},
		"a digest too many":   {coded(t, map[int]any{1: 1, 2: make([]byte, 260)}), BadCount},
		"half a digest":       {coded(t, map[int]any{1: 1, 2: make([]byte, 255)}), BadCount},
		"nothing wanted":      {names(0), BadCount},
		"too much wanted":     {names(MaxPassed + 1), BadCount},
		"wanted without name": {names(1), BadName},
		"a long name wanted":  {coded(t, map[int]any{1: 3, 5: []string{tooLong}}), BadName},
		"listed without name": {version("", 1, 1), BadName},
		"a long name listed":  {version(tooLong, 1, 1), BadName},
		"incarnation 0":       {version("a", 0, 1), BadNumber},
		"version 0":           {version("a", 1, 0), BadNumber},
		"incarnation 2^63":    {version("a", uint64(1)<<63, 1), BadNumber},
		"version 2^64-1":      {version("a", 1, uint64(math.MaxUint64)), BadNumber},
	}
}

// What is no message, or out of bounds, is refused with the error's type, and counted.
func TestBadMessages(t *testing.T) {
	bad := badMessages(t)
	r := NewRepair(RepairConfig{Self: "self"}, newFakeRegistry())
	var out fleet.Out
	for name, message := range bad {
		_, err := decodeRepair(message.raw)
		var typed *MessageError
		if !errors.As(err, &typed) || typed.Fault != message.fault || typed.Size != len(message.raw) {
			t.Errorf("%s: %v, and it is %s", name, err, message.fault)
		}
		r.Message(0, fleet.Message{Kind: fleet.Repair, From: "peer", To: "self", Body: message.raw}, &out)
	}
	got := figuresOf(t, r.Figures)["repair_bad_messages"]
	if got != uint64(len(bad)) || len(out.Send)+len(out.Pass) != 0 {
		t.Errorf("%d of %d bad messages were counted; %+v", got, len(bad), out)
	}
}

// Every error says what went wrong and what to do about it.
func TestErrors(t *testing.T) {
	for _, e := range Errors {
		say := e.Advice()
		if e.Error() == "" || !strings.HasSuffix(say, ".") || advice.Of(fmt.Errorf("wrapped: %w", e)) != say {
			t.Errorf("%T advises %q", e, say)
		}
	}
	cause := errors.New("cut off")
	err := &MessageError{Size: 9, Fault: NotCoded, Cause: cause}
	if !errors.Is(err, cause) || err.Error() != "repair: message of 9 bytes: not readable: cut off" {
		t.Error(err)
	}
	for fault := TooLong; fault <= BadNumber; fault++ {
		if fault.String() == "" || fault.String() == "unknown" {
			t.Errorf("fault %d has no name", fault)
		}
	}
	if Fault(0).String() != "unknown" || Fault(99).String() != "unknown" {
		t.Error("what is no fault has a name")
	}
}

// Whatever comes, nothing out of bounds gets in, what is sent in turn can be read, and entries passed are bounded.
func FuzzRepairReads(f *testing.F) {
	f.Add((&repairMessage{Type: typeAsk, Buckets: make([]byte, 256)}).encode())
	listed := []listedVersion{{"member-1", 1, 9}, {"x", 2, 3}}
	f.Add((&repairMessage{Type: typeVersions, Covered: 7, Versions: listed}).encode())
	f.Add((&repairMessage{Type: typeWant, Names: []string{"member-1", "member-1", "x"}}).encode())
	f.Add(coded(f, map[int]any{1: 3, 5: []string{"a"}, 99: "of a newer version"}))
	bad := badMessages(f)
	for _, name := range slices.Sorted(maps.Keys(bad)) {
		f.Add(bad[name].raw)
	}
	registry := newFakeRegistry()
	for i := range 400 {
		registry.set(fleet.Version{Name: fmt.Sprint("member-", i), Incarnation: 5, Version: 7})
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := decodeRepair(raw)
		if err != nil && !errors.As(err, new(*MessageError)) {
			t.Errorf("%T", err)
		}
		if again := m.encode(); err == nil && len(again) > fleet.MaxBody {
			t.Errorf("%d bytes from %d", len(again), len(raw))
		}
		r := NewRepair(RepairConfig{Self: "self", Seed: uint64(len(raw))}, registry)
		r.Root(0, "peer", 1, &fleet.Out{})
		var out fleet.Out
		r.Message(1, fleet.Message{Kind: fleet.Repair, From: "peer", To: "self", Body: raw}, &out)
		checkOut(t, &out)
	})
}

// checkOut holds what one message made a module do against its bounds.
func checkOut(t testing.TB, out *fleet.Out) {
	t.Helper()
	if len(out.Pass) > MaxPassed || len(out.Send) > 1 {
		t.Errorf("%d entries passed, %d messages sent", len(out.Pass), len(out.Send))
	}
	for _, sent := range out.Send {
		if _, err := decodeRepair(sent.Body); err != nil {
			t.Errorf("sent and not readable: %v", err)
		}
	}
}
