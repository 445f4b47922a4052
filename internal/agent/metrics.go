package agent

import "sync/atomic"

// figure is one figure of a snapshot.
type figure struct {
	name  string
	n     uint64
	gauge bool
}

// metrics are an agent's figures as they were at the end of the last window: an immutable snapshot, so that anybody may ask
// at any time. Nothing here listens.
type metrics struct{ snapshot atomic.Pointer[[]figure] }

func newMetrics() *metrics { return &metrics{} }

func (m *metrics) set(fs []figure) { m.snapshot.Store(&fs) }

func (m *metrics) gathered() []figure {
	if fs := m.snapshot.Load(); fs != nil {
		return *fs
	}
	return nil
}
