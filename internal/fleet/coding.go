package fleet

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"pewterwheel/internal/advice"
)

// Bounds of an entry. What is over them is shed by the writer in this order: the oldest windows, the waits of the last
// one, its classes from the last on. A reader passes by an entry that is over them.
const (
	MaxEntry   = 6 << 10 // bytes, coded; it fits one datagram of the fleet's
	MaxName    = 63      // bytes of a name of a process, class or zone, and of a program's version
	MaxWindows = 8
	MaxClasses = 32
	MaxBuckets = 24 // of waits: the last holds all of 2^32 microseconds, over an hour, and more
	MaxParts   = 8  // kinds of parts, of which this version knows four
	MaxUnknown = 16 // fields of a newer version, in each of the levels
)

// maxIncarnation bounds what a life may be numbered. Guards against an entry after which no higher number is left.
const maxIncarnation = 1 << 62

// EntryError is an entry that cannot be read, or is over a bound.
type EntryError struct {
	Size int // bytes
	What string
}

func (e *EntryError) Error() string {
	return fmt.Sprintf("fleet: entry of %d bytes: %s", e.Size, e.What)
}

// Advice says what an operator can do.
func (e *EntryError) Advice() string {
	return "Look for another program that sends to this address, or for a process of a version that is years away; one alone harms nothing."
}

// Errors are all errors of this package, for the operators' page.
var Errors = []advice.Advised{&EntryError{}, &NameTwiceError{}, &FullError{}}

// Keys of the fields. They are spoken between versions: none is given anew.
const (
	keyName = iota + 1
	keyIncarnation
	keyVersion
	keyProgram
	keySettings
	keyZone
	keyState
	keyRoster
	keyWindows
	keyParts
	entryKeys = keyParts
)

// keyProtocol is of the second version of an entry; 11 stands for an unknown field in the corpus of the first.
const keyProtocol = 12

const (
	keyNumber = iota + 1
	keyLength
	keyClass
	keyCPU
	keyMemory
	keyBroken
	windowKeys = keyBroken
)

const (
	keyClassName = iota + 1
	keyOffered
	keyServed
	keyRefused
	keyFailed
	keyLate
	keyWorth
	keyWhole
	keyWaits
	classKeys = keyWaits
)

// fields are the coded fields of one level by key; those of a newer version stay as they came.
type fields map[uint64]cbor.RawMessage

// Made when first used: the platform's process links this and never uses it.
var (
	coder = sync.OnceValue(func() cbor.EncMode {
		m, err := cbor.CoreDetEncOptions().EncMode()
		if err != nil {
			panic(err) // the options are constants
		}
		return m
	})
	decoder = sync.OnceValue(func() cbor.DecMode {
		m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
			MaxNestedLevels: 8, MaxArrayElements: 64, MaxMapPairs: 64, UTF8: cbor.UTF8RejectInvalid}.DecMode()
		if err != nil {
			panic(err)
		}
		return m
	})
)

// Coding returns the modes in which everything between processes is written and read: sorted keys and the shortest form;
// no tags, no indefinite lengths, no key twice, at most 64 elements a level and 8 levels.
func Coding() (cbor.EncMode, cbor.DecMode) { return coder(), decoder() }

// put codes one field; nothing is written for what is empty, which is what a missing field means.
func (f fields) put(key uint64, v any, empty bool) {
	if empty {
		return
	}
	b, err := coder().Marshal(v)
	if err != nil {
		panic(err) // plain numbers, texts and lists of them: there is nothing that could fail
	}
	f[key] = b
}

// get reads one field, which may be missing.
func (f fields) get(key uint64, into any) error {
	b, ok := f[key]
	if !ok {
		return nil
	}
	return decoder().Unmarshal(b, into)
}

// rest takes out the fields of a newer version; nil: there are none.
func (f fields) rest(known uint64) (fields, error) {
	var r fields
	for k, b := range f {
		if k > known || k == 0 {
			if r == nil {
				r = fields{}
			}
			r[k] = b
		}
	}
	if len(r) > MaxUnknown {
		return nil, fmt.Errorf("%d unknown fields", len(r))
	}
	return r, nil
}

func (f fields) bytes() []byte {
	b, err := coder().Marshal(f)
	if err != nil {
		panic(err)
	}
	return b
}

// Encode writes an entry, at most MaxEntry bytes of it. What was read from a newer version's entry is written again as it
// came, byte for byte.
func (e *Entry) Encode() []byte {
	windows, classes, waits := e.Windows, math.MaxInt, true
	if len(windows) > MaxWindows {
		windows = windows[len(windows)-MaxWindows:]
	}
	for {
		b := e.encode(windows, classes, waits)
		switch {
		case len(b) <= MaxEntry:
			return b
		case len(windows) > 1:
			windows = windows[1:]
		case waits:
			waits = false
		case len(windows) == 1 && classes > 0:
			classes = min(classes, len(windows[0].Class), MaxClasses) - 1
		case len(windows) == 1:
			windows = nil
		default:
			return b // parts of a size that Tell refuses; Registry counts it
		}
	}
}

func (e *Entry) encode(windows []Window, classes int, waits bool) []byte {
	f := maps.Clone(e.rest)
	if f == nil {
		f = fields{}
	}
	f.put(keyName, e.Name, e.Name == "")
	f.put(keyIncarnation, e.Incarnation, e.Incarnation == 0)
	f.put(keyVersion, e.Version, e.Version == 0)
	f.put(keyProgram, e.Program, e.Program == "")
	f.put(keySettings, e.Settings, e.Settings == 0)
	f.put(keyZone, e.Zone, e.Zone == "")
	f.put(keyState, uint64(e.State), e.State == 0)
	f.put(keyRoster, e.Roster, e.Roster == 0)
	f.put(keyProtocol, e.Protocol, e.Protocol == 0)
	var ws []cbor.RawMessage
	for i := range windows {
		ws = append(ws, windows[i].encode(classes, waits))
	}
	f.put(keyWindows, ws, len(ws) == 0)
	parts := fields{}
	for k, b := range e.Parts {
		parts.put(uint64(k), b, len(b) == 0)
	}
	f.put(keyParts, parts, len(parts) == 0)
	return f.bytes()
}

func (w *Window) encode(classes int, waits bool) cbor.RawMessage {
	f := maps.Clone(w.rest)
	if f == nil {
		f = fields{}
	}
	f.put(keyNumber, w.Number, w.Number == 0)
	f.put(keyLength, w.Length, w.Length == 0)
	f.put(keyCPU, w.CPU, w.CPU == 0)
	f.put(keyMemory, w.Memory, w.Memory == 0)
	f.put(keyBroken, w.Broken, w.Broken == 0)
	var cs []cbor.RawMessage
	for i := range w.Class[:min(len(w.Class), classes, MaxClasses)] {
		cs = append(cs, w.Class[i].encode(waits))
	}
	f.put(keyClass, cs, len(cs) == 0)
	return f.bytes()
}

func (c *ClassFigures) encode(waits bool) cbor.RawMessage {
	f := maps.Clone(c.rest)
	if f == nil {
		f = fields{}
	}
	f.put(keyClassName, c.Name, c.Name == "")
	f.put(keyOffered, c.Offered, c.Offered == 0)
	f.put(keyServed, c.Served, c.Served == 0)
	f.put(keyRefused, c.Refused, c.Refused == 0)
	f.put(keyFailed, c.Failed, c.Failed == 0)
	f.put(keyLate, c.Late, c.Late == 0)
	f.put(keyWorth, c.Worth, c.Worth == 0)
	f.put(keyWhole, c.Whole, c.Whole == 0)
	n := min(len(c.Waits), MaxBuckets)
	for n > 0 && c.Waits[n-1] == 0 {
		n--
	}
	f.put(keyWaits, c.Waits[:n], !waits || n == 0)
	return f.bytes()
}

// DecodeEntry reads an entry. Fields that it does not know are kept, and written again by Encode. The error is an
// *EntryError.
func DecodeEntry(b []byte) (*Entry, error) {
	bad := func(what string, args ...any) (*Entry, error) {
		return nil, &EntryError{len(b), fmt.Sprintf(what, args...)}
	}
	if len(b) > MaxEntry {
		return bad("over %d", MaxEntry)
	}
	var f fields
	if err := decoder().Unmarshal(b, &f); err != nil {
		return bad("%v", err)
	}
	e := &Entry{}
	var state uint64
	var windows []cbor.RawMessage
	var parts fields
	for key, into := range []any{keyName: &e.Name, keyIncarnation: &e.Incarnation, keyVersion: &e.Version, keyProgram: &e.Program,
		keySettings: &e.Settings, keyZone: &e.Zone, keyState: &state, keyRoster: &e.Roster, keyWindows: &windows, keyParts: &parts} {
		if into == nil {
			continue
		}
		if err := f.get(uint64(key), into); err != nil {
			return bad("field %d: %v", key, err)
		}
	}
	if err := f.get(keyProtocol, &e.Protocol); err != nil {
		return bad("field %d: %v", keyProtocol, err)
	}
	delete(f, keyProtocol)
	var err error
	if e.rest, err = f.rest(entryKeys); err != nil {
		return bad("%v", err)
	}
	switch {
	case e.Name == "" || len(e.Name) > MaxName || len(e.Zone) > MaxName || len(e.Program) > MaxName:
		return bad("a name of %d bytes, a zone of %d, a version of %d", len(e.Name), len(e.Zone), len(e.Program))
	case e.Incarnation == 0 || e.Incarnation > maxIncarnation || e.Version == 0:
		return bad("life %d, version %d", e.Incarnation, e.Version)
	case state == 0 || state > math.MaxUint8:
		return bad("state %d", state)
	case len(windows) > MaxWindows || len(parts) > MaxParts:
		return bad("%d windows, %d parts", len(windows), len(parts))
	}
	e.State = State(state)
	for _, w := range windows {
		window, err := decodeWindow(w)
		if err != nil {
			return bad("a window: %v", err)
		}
		e.Windows = append(e.Windows, window)
	}
	for k := range parts {
		var body []byte
		if err := parts.get(k, &body); err != nil || k == 0 || k > math.MaxUint8 || len(body) > MaxBody {
			return bad("part %d of %d bytes: %v", k, len(body), err)
		}
		if e.Parts == nil {
			e.Parts = map[Kind][]byte{}
		}
		e.Parts[Kind(k)] = body
	}
	return e, nil
}

func decodeWindow(b []byte) (w Window, err error) {
	var f fields
	if err := decoder().Unmarshal(b, &f); err != nil {
		return w, err
	}
	var classes []cbor.RawMessage
	for key, into := range []any{keyNumber: &w.Number, keyLength: &w.Length, keyClass: &classes, keyCPU: &w.CPU, keyMemory: &w.Memory, keyBroken: &w.Broken} {
		if into == nil {
			continue
		}
		if err := f.get(uint64(key), into); err != nil {
			return w, err
		}
	}
	if w.rest, err = f.rest(windowKeys); err != nil {
		return w, err
	}
	if w.Length < 0 || w.CPU < 0 || w.Memory < 0 || len(classes) > MaxClasses {
		return w, fmt.Errorf("length %d, processor %d, memory %d, %d classes", w.Length, w.CPU, w.Memory, len(classes))
	}
	for _, c := range classes {
		class, err := decodeClass(c)
		if err != nil {
			return w, err
		}
		w.Class = append(w.Class, class)
	}
	return w, nil
}

func decodeClass(b []byte) (c ClassFigures, err error) {
	var f fields
	if err := decoder().Unmarshal(b, &f); err != nil {
		return c, err
	}
	for key, into := range []any{keyClassName: &c.Name, keyOffered: &c.Offered, keyServed: &c.Served, keyRefused: &c.Refused,
		keyFailed: &c.Failed, keyLate: &c.Late, keyWorth: &c.Worth, keyWhole: &c.Whole, keyWaits: &c.Waits} {
		if into == nil {
			continue
		}
		if err := f.get(uint64(key), into); err != nil {
			return c, err
		}
	}
	if c.rest, err = f.rest(classKeys); err != nil {
		return c, err
	}
	finite := func(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }
	if len(c.Name) > MaxName || len(c.Waits) > MaxBuckets || !finite(c.Worth) || !finite(c.Whole) {
		return c, fmt.Errorf("a class name of %d bytes, %d waits, worth %g of %g", len(c.Name), len(c.Waits), c.Worth, c.Whole)
	}
	return c, nil
}

// Kinds returns the kinds of an entry's parts, in order.
func (e *Entry) Kinds() []Kind { return slices.Sorted(maps.Keys(e.Parts)) }

// Equal tells whether two entries say the same.
func (e *Entry) Equal(o *Entry) bool { return bytes.Equal(e.Encode(), o.Encode()) }
