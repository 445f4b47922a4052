package stages

import (
	"slices"

	"pewterwheel/internal/aggregate"
	"pewterwheel/internal/fleet"
	"pewterwheel/internal/stage"
)

// mailed is a fleet in which figures go by message to those who ask, as internal/aggregate carries them. The
// simulation's windows are of 10 s, so what a subscription asks for is rounded to whole ones of these.
type mailed struct {
	modules []*aggregate.Module
	heard   []map[string]*heard
	rate    int64
	Bytes   int64 // of figures, in all messages
	Length  int64 // the longest window asked for
}

// heard are the figures of one process that another one has.
type heard struct {
	incarnation uint64
	windows     []fleet.Window
}

// PlayMailed takes one change through a fleet whose conductors ask for figures, and take in so many bytes of them a
// second. It returns the length of the windows besides.
func PlayMailed(seed uint64, n int, e Effect, rules stage.Rules, rate int64) (Result, int64) {
	calls := &mailed{modules: make([]*aggregate.Module, n), heard: make([]map[string]*heard, n), rate: rate}
	return playWith(seed, n, e, rules, calls), calls.Length
}

// begin makes the module of a process's new life.
func (c *mailed) begin(i int, incarnation uint64) *aggregate.Module {
	c.modules[i] = aggregate.New(aggregate.Config{Self: name(i), Seed: incarnation, Rate: c.rate})
	c.heard[i] = map[string]*heard{}
	return c.modules[i]
}

// hear keeps a window that came, the last eight of each process.
func (c *mailed) hear(i int, h fleet.HeardWindow) {
	k := c.heard[i][h.Name]
	if k == nil || k.incarnation < h.Incarnation {
		k = &heard{incarnation: h.Incarnation}
		c.heard[i][h.Name] = k
	}
	if k.incarnation == h.Incarnation {
		k.windows = append(k.windows[max(0, len(k.windows)-fleet.MaxWindows+1):len(k.windows):len(k.windows)], h.Window)
	}
}

// windows shows all modules the view, and gives each its process's last window.
func (c *mailed) windows(p *play, v *fleet.View) {
	for i, q := range p.w.procs {
		p.run(i, func(out *fleet.Out) {
			m := c.modules[i]
			m.View(p.w.now, v, out)
			m.Tick(p.w.now, out)
			if n := len(q.entry.Windows); n > 0 && !q.gone {
				m.Window(p.w.now, q.entry.Windows[n-1], out)
			}
			for _, s := range out.Send {
				c.Bytes += int64(len(s.Body))
			}
			c.Length = max(c.Length, m.Length())
		})
	}
}

// shown is the view as one process has it: with the figures that it has heard, and its own.
func (c *mailed) shown(i int, v *fleet.View, windows []fleet.Window) *fleet.View {
	if len(c.heard[i]) == 0 {
		return v
	}
	own := &fleet.View{Number: v.Number, Self: name(i), Members: slices.Clone(v.Members)}
	for k := range own.Members {
		m := &own.Members[k]
		if h := c.heard[i][m.Name]; h != nil && h.incarnation == m.Incarnation {
			m.Windows = h.windows
		}
		if m.Name == own.Self {
			m.Windows = windows
		}
	}
	return own
}
