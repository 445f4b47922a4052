package corpus

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// laterKey is the unknown key: free in every map of this version's, and no Kind or sign. laterName is that of JSON.
const (
	laterKey  = 200
	laterName = "SpokenLater"
)

// withUnknown adds an unknown field to each map of raw, at every level, and returns the name that it has when it is rendered.
func withUnknown(raw []byte) ([]byte, string, error) {
	var v any
	if len(raw) > 0 && raw[0] == '{' {
		d := json.NewDecoder(bytes.NewReader(raw))
		d.UseNumber()
		if err := d.Decode(&v); err != nil {
			return nil, "", err
		}
		b, err := json.Marshal(extend(v))
		return b, laterName, err
	}
	if err := cbor.Unmarshal(raw, &v); err != nil {
		return nil, "", err
	}
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, "", err
	}
	b, err := mode.Marshal(extend(v))
	return b, fmt.Sprint(laterKey), err
}

// extend gives each map one field more, of the kind of value that its lowest key has: a list by number takes no other.
func extend(v any) any {
	switch v := v.(type) {
	case map[any]any:
		lowest := uint64(laterKey)
		for k, x := range v {
			v[k] = extend(x)
			if n, ok := k.(uint64); ok {
				lowest = min(lowest, n)
			}
		}
		v[uint64(laterKey)] = v[lowest]
	case map[string]any:
		for k, x := range v {
			v[k] = extend(x)
		}
		v[laterName] = []any{"later", 1}
	case []any:
		for i := range v {
			v[i] = extend(v[i])
		}
	}
	return v
}

// plain reads JSON with numbers as they stand.
func plain(b []byte) (v any) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	_ = d.Decode(&v) // nil then, which is not what was meant
	return v
}

// differ tells where now says something else than old. What old did not know must be empty now, or of the name added.
func differ(path string, old, now any, added string) string {
	was, ok1 := old.(map[string]any)
	is, ok2 := now.(map[string]any)
	if ok1 && ok2 {
		for _, k := range slices.Sorted(maps.Keys(was)) {
			if why := differ(path+"."+k, was[k], is[k], added); why != "" {
				return why
			}
		}
		for _, k := range slices.Sorted(maps.Keys(is)) {
			if _, known := was[k]; !known && k != added && !empty(is[k]) {
				return fmt.Sprintf("%s.%s: %v out of nothing", path, k, is[k])
			}
		}
		return ""
	}
	wasList, ok1 := old.([]any)
	isList, ok2 := now.([]any)
	if ok1 && ok2 && len(wasList) == len(isList) {
		for i := range wasList {
			if why := differ(fmt.Sprintf("%s[%d]", path, i), wasList[i], isList[i], added); why != "" {
				return why
			}
		}
		return ""
	}
	if !reflect.DeepEqual(old, now) {
		return fmt.Sprintf("%s: %v, and it was %v", path, now, old)
	}
	return ""
}

func empty(v any) bool {
	switch v := v.(type) {
	case map[string]any:
		for _, x := range v {
			if !empty(x) {
				return false
			}
		}
		return true
	case []any:
		return len(v) == 0
	case json.Number:
		return v == "0"
	}
	return v == nil || v == "" || v == false
}

// spoil reads raw cut off and changed at places drawn from a seed: no reader panics, and what is read is within bounds.
func (c Case) spoil(file string, raw []byte) []string {
	const most = 500 // of each
	rng := rand.New(rand.NewPCG(uint64(len(raw)), 1))
	for n := 0; n < len(raw); n += 1 + len(raw)/most {
		if why := c.survives(raw[:n]); why != "" {
			return []string{fmt.Sprintf("%s: cut to %d bytes: %s", file, n, why)}
		}
	}
	for _, size := range []int{9, 33, 64, 130, 600} {
		for n := 0; ; n++ {
			b, done := grown(raw, n, size)
			if done {
				break
			}
			if why := c.survives(b); why != "" {
				return []string{fmt.Sprintf("%s: text or list %d grown to %d: %s", file, n, size, why)}
			}
		}
	}
	for range most {
		b := slices.Clone(raw)
		for range 1 + rng.IntN(4) {
			at := rng.IntN(len(b))
			switch rng.IntN(4) {
			case 0:
				b[at] ^= 1 << rng.IntN(8)
			case 1:
				b[at] = byte(rng.Uint32())
			case 2:
				b = slices.Insert(b, at, byte(rng.Uint32()))
			default:
				b = slices.Insert(b, at, b[rng.IntN(at+1):at+1]...)
			}
		}
		if why := c.survives(b); why != "" {
			return []string{fmt.Sprintf("%s: spoilt to %x: %s", file, b, why)}
		}
	}
	return nil
}

// survives reads b, which may be anything.
func (c Case) survives(b []byte) (why string) {
	defer func() {
		if p := recover(); p != nil {
			why = fmt.Sprintf("panic: %v", p)
		}
	}()
	v, err := c.Read(b)
	if c.Again != nil {
		if again, e := c.Again(b); e == nil && len(again) > c.Max {
			return fmt.Sprintf("written again with %d bytes", len(again))
		}
	}
	if err == nil && c.Max > 0 {
		return c.over(reflect.ValueOf(v), c.Max)
	}
	return ""
}

// grown makes the text or list number n of CBOR as long as size; done: there are not so many. Guards against a bound that
// changes of single bytes hardly ever reach.
func grown(raw []byte, n, size int) (b []byte, done bool) {
	var v any
	if cbor.Unmarshal(raw, &v) != nil {
		return nil, true
	}
	v = grow(v, &n, size)
	b, err := cbor.Marshal(v)
	return b, n >= 0 || err != nil
}

func grow(v any, n *int, size int) any {
	mine := func() bool { *n--; return *n == -1 }
	switch v := v.(type) {
	case map[any]any:
		keys := slices.SortedFunc(maps.Keys(v), func(a, b any) int { return cmp.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
		for _, k := range keys {
			v[k] = grow(v[k], n, size)
		}
	case []any:
		if len(v) > 0 && mine() {
			return slices.Repeat(v, size)[:min(size, 64)]
		}
		for i := range v {
			v[i] = grow(v[i], n, size)
		}
	case string:
		if mine() {
			return strings.Repeat("x", size)
		}
	case []byte:
		if mine() {
			return bytes.Repeat([]byte{1}, size)
		}
	}
	return v
}

// over tells of a text or list in v that is longer than its bound.
func (c Case) over(v reflect.Value, most int) string {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if !v.IsNil() {
			return c.over(v.Elem(), most)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			name, bound := v.Type().Field(i).Name, c.Max
			if b, ok := c.Bounds[name]; ok {
				bound = b
			}
			if why := c.over(v.Field(i), bound); why != "" {
				return name + ": " + why
			}
		}
	case reflect.String, reflect.Map, reflect.Slice:
		if v.Len() > most {
			return fmt.Sprintf("%d long", v.Len())
		}
		for i := 0; v.Kind() == reflect.Slice && i < v.Len(); i++ {
			if why := c.over(v.Index(i), max(most, c.Max)); why != "" {
				return why
			}
		}
	}
	return ""
}
