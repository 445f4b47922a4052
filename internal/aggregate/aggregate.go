// Package aggregate carries windows of figures from each process of a fleet to those few that ask for them, by
// message. A process that wants figures says so in its own entry, with the length of the windows that it can take
// in; every other one sums its own windows to that length and sends the sum. It is a pure state machine: no clock,
// goroutine, socket or log. Times are microseconds of the process's own monotonic clock.
package aggregate

import (
	"cmp"
	"math"

	"pewterwheel/internal/fleet"
)

// Bounds and times of a Module, in microseconds where they are times.
const (
	// DefaultRate is how many bytes a second of figures a subscriber takes in, from all members together.
	DefaultRate = 5_500
	// DefaultMinLength is the shortest window that a subscriber asks for.
	DefaultMinLength = second
	// MaxLength is the longest window that a subscriber asks for; a part that asks for a longer one is garbled.
	MaxLength = 3600 * second
	// Renew is how often a subscriber renews its subscription.
	Renew = 60 * second
	// Lapse is after how long a sender ends a subscription that is not renewed, by the sender's own clock.
	Lapse = 180 * second
	// MaxSubscribers bounds the subscribers served at once.
	MaxSubscribers = 8
	// History is how many base windows are kept for the first window to a new subscriber.
	History = 8
	// MaxGrowth is by how many times the length asked for a window grows while Config.Allow refuses it.
	MaxGrowth = 8

	second = 1_000_000
)

// Config is what a Module is made from.
type Config struct {
	Self string // name of this process
	Seed uint64 // draws when the first window goes to a subscriber
	Rate int64  // bytes a second of figures that this process takes in when it subscribes; 0: DefaultRate
	// MinLength is the shortest length of the windows asked for, in microseconds, and what any length is a multiple of;
	// 0: DefaultMinLength.
	MinLength int64
	// Allow is asked before a window is sent, with the bytes of all its messages; true takes them from the budget. nil:
	// always.
	Allow func(now int64, bytes int) bool
}

// Module sends this process's figures to those that ask, and collects the others' while this process asks. It
// implements fleet.Module, for messages and parts of kind fleet.Figures.
type Module struct {
	cfg  Config
	view *fleet.View

	sender     sender
	subscriber subscriber
	counts     counts
}

type counts struct{ sent, heard, summed, old, incomplete, bad, shed, refused uint64 }

var _ fleet.Module = (*Module)(nil)

// New returns a module that knows nothing yet.
func New(cfg Config) *Module {
	cfg.Rate = cmp.Or(max(0, cfg.Rate), DefaultRate)
	cfg.MinLength = cmp.Or(max(0, cfg.MinLength), DefaultMinLength)
	return &Module{
		cfg:        cfg,
		sender:     sender{requests: map[string]*request{}},
		subscriber: newSubscriber(cfg.MinLength),
	}
}

// Kind is fleet.Figures.
func (m *Module) Kind() fleet.Kind { return fleet.Figures }

// Start does nothing: nobody has asked yet.
func (m *Module) Start(int64, *fleet.Out) {}

// View brings who asks for figures, and how many members there are.
func (m *Module) View(now int64, v *fleet.View, out *fleet.Out) {
	m.view = v
	m.learn(now, v)
	m.prune(v)
	m.adapt(now, out)
}

// Done does nothing: the module asks for no acts.
func (m *Module) Done(int64, fleet.Act, error, *fleet.Out) {}

// Tick renews this process's own subscription.
func (m *Module) Tick(now int64, out *fleet.Out) {
	if now >= m.Next() {
		m.ask(now, out)
	}
}

// Next tells when the subscription has to be renewed.
func (m *Module) Next() int64 {
	if !m.subscriber.told {
		return math.MaxInt64
	}
	return m.subscriber.renewed + Renew
}

// Figures gives counts of what was sent, heard and passed by, and the state of this process's own subscription.
func (m *Module) Figures(put func(name string, n uint64, gauge bool)) {
	wanted := uint64(0)
	if m.subscriber.wanted {
		wanted = 1
	}
	put("figures_subscribers", uint64(len(m.sender.served)), true)
	put("figures_wanted", wanted, true)
	put("figures_length_us", uint64(m.Length()), true)
	put("figures_sent", m.counts.sent, false)
	put("figures_heard", m.counts.heard, false)
	put("figures_summed", m.counts.summed, false)
	put("figures_old", m.counts.old, false)
	put("figures_incomplete", m.counts.incomplete, false)
	put("figures_bad", m.counts.bad, false)
	put("figures_shed", m.counts.shed, false)
	put("figures_refused_subscribers", m.counts.refused, false)
}
