package fleet

import "fmt"

// EncodeWindow writes one window of figures as it stands in an entry: at most MaxClasses classes of it, and MaxBuckets
// waits of each.
func EncodeWindow(w *Window) []byte { return w.encode(MaxClasses, true) }

// DecodeWindow reads what EncodeWindow wrote, within the bounds of an entry. The error is an *EntryError.
func DecodeWindow(b []byte) (Window, error) {
	if len(b) > MaxEntry {
		return Window{}, &EntryError{len(b), fmt.Sprintf("a window over %d", MaxEntry)}
	}
	w, err := decodeWindow(b)
	if err != nil {
		return Window{}, &EntryError{len(b), fmt.Sprintf("a window: %v", err)}
	}
	return w, nil
}
