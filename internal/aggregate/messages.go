package aggregate

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"pewterwheel/internal/fleet"
)

// maxPieces bounds the messages of one window: each holds a class at least.
const maxPieces = fleet.MaxClasses

// pieceRoom is how many bytes of a message are left for its piece of the window: the keys, two numbers of nine
// bytes and two of two take the rest.
const pieceRoom = fleet.MaxBody - 32

// frame is what a message takes beside its body and the names, in the figures of bytes that the length is drawn from.
const frame = 16

// subscription is what a subscriber says in its entry.
type subscription struct {
	Length int64  `cbor:"1,keyasint"` // of the windows, in microseconds
	Serial uint64 `cbor:"2,keyasint"` // grows with each renewal
}

// message is a window of figures, or a piece of one that is too long for a message.
type message struct {
	Incarnation uint64 `cbor:"1,keyasint"` // of the sender
	Number      uint64 `cbor:"2,keyasint"` // of the window; grows by one a window sent
	Index       uint8  `cbor:"3,keyasint,omitempty"`
	Of          uint8  `cbor:"4,keyasint"` // how many pieces the window has
	// Window is coded as in an entry; the figures of the whole process are in the first piece.
	Window cbor.RawMessage `cbor:"5,keyasint"`
}

// piece is a message that has been read.
type piece struct {
	Incarnation, Number uint64
	Index, Of           uint8
	Window              fleet.Window
}

func encode(v any) []byte {
	mode, _ := fleet.Coding()
	b, err := mode.Marshal(v)
	if err != nil {
		panic(err) // structs of numbers, and a window that was coded before
	}
	return b
}

// decodeSubscription reads a part of an entry. The error is a *BodyError.
func decodeSubscription(b []byte) (subscription, error) {
	var s subscription
	_, mode := fleet.Coding()
	if len(b) > fleet.MaxBody {
		return s, &BodyError{fmt.Sprintf("a subscription of %d bytes", len(b))}
	}
	if err := mode.Unmarshal(b, &s); err != nil {
		return s, &BodyError{err.Error()}
	}
	if s.Length <= 0 || s.Length > MaxLength || s.Serial == 0 {
		return s, &BodyError{fmt.Sprintf("a subscription to windows of %d us, serial %d", s.Length, s.Serial)}
	}
	return s, nil
}

// decodeMessage reads a piece of a window. The error is a *BodyError.
func decodeMessage(b []byte) (piece, error) {
	var m message
	_, mode := fleet.Coding()
	if len(b) > fleet.MaxBody {
		return piece{}, &BodyError{fmt.Sprintf("a message of %d bytes", len(b))}
	}
	if err := mode.Unmarshal(b, &m); err != nil {
		return piece{}, &BodyError{err.Error()}
	}
	if m.Incarnation == 0 || m.Number == 0 || m.Of == 0 || m.Of > maxPieces || m.Index >= m.Of {
		why := fmt.Sprintf("incarnation %d, window %d, piece %d of %d", m.Incarnation, m.Number, m.Index, m.Of)
		return piece{}, &BodyError{why}
	}
	w, err := fleet.DecodeWindow(m.Window)
	if err != nil {
		return piece{}, &BodyError{err.Error()}
	}
	return piece{m.Incarnation, m.Number, m.Index, m.Of, w}, nil
}

// messages codes a window as the bodies of as few messages as hold it, and tells how many classes had to be
// shortened or left out.
func messages(incarnation uint64, w *fleet.Window) (bodies [][]byte, shed int) {
	pieces, shed := split(w)
	for i, p := range pieces {
		bodies = append(bodies, encode(message{
			Incarnation: incarnation,
			Number:      w.Number,
			Index:       uint8(i),
			Of:          uint8(len(pieces)),
			Window:      p,
		}))
	}
	return bodies, shed
}

// split codes a window in pieces of at most pieceRoom bytes.
func split(w *fleet.Window) (pieces [][]byte, shed int) {
	whole := fleet.EncodeWindow(w)
	if len(whole) <= pieceRoom {
		return [][]byte{whole}, 0
	}
	current := *w
	current.Class = nil
	last := fleet.EncodeWindow(&current) // what is in current, coded
	for _, c := range w.Class[:min(len(w.Class), fleet.MaxClasses)] {
		class, cut, ok := fitting(c)
		if cut || !ok {
			shed++
		}
		if !ok {
			continue
		}
		next := current
		next.Class = append(current.Class[:len(current.Class):len(current.Class)], class)
		coded := fleet.EncodeWindow(&next)
		if len(coded) > pieceRoom {
			pieces = append(pieces, last)
			next = fleet.Window{Class: []fleet.ClassFigures{class}}
			coded = fleet.EncodeWindow(&next)
		}
		current, last = next, coded
	}
	return append(pieces, last), shed
}

// fitting is a class as it fits into a message of its own: without its waits where they are too many, and not at
// all where its name alone is too long.
func fitting(c fleet.ClassFigures) (class fleet.ClassFigures, cut, ok bool) {
	fits := func() bool {
		return len(fleet.EncodeWindow(&fleet.Window{Class: []fleet.ClassFigures{c}})) <= pieceRoom
	}
	if fits() {
		return c, false, true
	}
	c.Waits = nil
	return c, true, fits()
}
