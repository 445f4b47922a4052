package wire

import (
	"bytes"
	"errors"
	"strconv"
)

// What staff and the platform ask on the second address: one line on each connection, a word alone.
const (
	AskReady   = "READY"
	AskStats   = "STATS"
	AskDrain   = "DRAIN"
	AskUndrain = "UNDRAIN"
)

// maxAsk bounds the line that asks.
const maxAsk = 256

// ErrAsk is a line that is longer than any that asks for something.
var ErrAsk = errors.New("line too long")

// NextAsk reads the line that asks; false means that it is not whole yet.
func NextAsk(buf []byte) (string, bool, error) {
	line, _, whole := bytes.Cut(buf[:min(len(buf), maxAsk)], []byte{'\n'})
	if !whole && len(buf) >= maxAsk {
		return "", false, ErrAsk
	}
	return string(bytes.TrimRight(line, "\r")), whole, nil
}

// Told makes the answer's first line: yes or no, and a word for people.
func Told(b []byte, yes bool, word string) []byte {
	code := "400 "
	if yes {
		code = "200 "
	}
	return append(append(append(b, code...), word...), '\n')
}

// The names of the figures, and their prefix.
const (
	figures = "app."

	FigureCompleted    = "completed"
	FigureRejected     = "rejected"
	FigureFailed       = "failed"
	FigureAttempts     = "upstream_requests"
	FigurePending      = "pending"
	FigureMembers      = "members"
	FigureUnavailable  = "members_unavailable"
	FigureReloads      = "config_reloads"
	FigureReloadErrors = "config_reload_errors"

	// FiguresEnd is the line behind the last of them.
	FiguresEnd = "EOF\n"
)

// Count appends a figure that only grows; class is empty where it is not told by class.
func Count(b []byte, name, class string, n uint64) []byte { return figure(b, name, class, n, "|c\n") }

// Gauge appends a figure as it stands now.
func Gauge(b []byte, name string, n int) []byte { return figure(b, name, "", uint64(n), "|g\n") }

func figure(b []byte, name, class string, n uint64, unit string) []byte {
	b = append(append(b, figures...), name...)
	if class != "" {
		b = append(append(b, '.'), class...)
	}
	return append(strconv.AppendUint(append(b, ':'), n, 10), unit...)
}
