// Package scaletest runs many members of a fleet in one process on loopback, and measures what they cost each other
// and how fast they learn of each other. The members are hollow: their agent, membership, leases and staged changes
// are those of the service, and the figures that they tell are generated, for there are no callers. Nothing in service
// imports it.
package scaletest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"pewterwheel/internal/agent"
	"pewterwheel/internal/aggregate"
	"pewterwheel/internal/dissemination"
	"pewterwheel/internal/fleet"
	"pewterwheel/internal/fleetnet"
	"pewterwheel/internal/lease"
	"pewterwheel/internal/stage"
)

// Spec says what a fleet is made of.
type Spec struct {
	Members int
	Zones   int    // 0: 8; members go to them in turn
	Regions int    // 0: 2; zones are divided evenly
	Links   *Links // what passes between members; nil: they reach each other directly
	Seed    uint64 // of the generated figures, and of what is lost
	Budget  dissemination.BudgetConfig
	Modules func(*Member) []fleet.Module // further modules of each incarnation; nil: none
}

// Fleet is a number of hollow members.
type Fleet struct {
	Members []*Member

	spec    Spec
	names   []string
	octet   byte         // the second of all its addresses
	held    net.Listener // keeps the addresses from other processes
	network *network     // nil: there are no links between members
	mu      sync.Mutex
	books   map[int]addressBook // where members are reached, by the offset from their own ports
}

type addressBook = map[string]netip.AddrPort

const (
	// firstPort is that of a member; links from the zones to it are at the ports that follow. It is below those that
	// the system gives to connections.
	firstPort = 10_946
	// aRow of members has addresses that differ in the last number.
	aRow = 250
	// electors are so many, the first members: they take turns over the zones.
	electors = 5
	// ourRoster is the number of the roster that all members know.
	ourRoster = 1
)

// NewFleet makes a fleet of members that do not run yet.
func NewFleet(spec Spec) (*Fleet, error) {
	if spec.Zones == 0 {
		spec.Zones = 8
	}
	if spec.Regions == 0 {
		spec.Regions = 2
	}
	f := &Fleet{spec: spec, books: map[int]addressBook{}}
	if err := f.hold(); err != nil {
		return nil, err
	}
	for i := range spec.Members {
		zone := i % spec.Zones
		m := &Member{fleet: f, index: i, zone: zone}
		m.Name = fmt.Sprintf("member-%04d", i)
		m.Zone = fmt.Sprintf("zone-%d", zone)
		m.settings.Store(firstSettings)
		f.Members = append(f.Members, m)
		f.names = append(f.names, m.Name)
	}
	if spec.Links == nil {
		return f, nil
	}
	var err error
	if f.network, err = newNetwork(f); err != nil {
		_ = f.held.Close()
		return nil, err
	}
	return f, nil
}

// hold takes addresses that no other process with such a fleet has, until Close.
func (f *Fleet) hold() error {
	const first, last = 16, 250
	var err error
	for try := range last - first {
		f.octet = byte(first + (os.Getpid()+try)%(last-first))
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, f.octet, 255, 254}), firstPort)
		if f.held, err = net.Listen("tcp4", at.String()); err == nil {
			return nil
		}
	}
	return err
}

// address is where a member listens, or with an offset where a link to it does.
func (f *Fleet) address(member, offset int) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{127, f.octet, byte(member / aRow), byte(1 + member%aRow)})
	return netip.AddrPortFrom(ip, uint16(firstPort+offset))
}

// addresses is where a member reaches the others: they themselves, the links of its zone, or links of its own.
func (f *Fleet) addresses(m *Member) addressBook {
	offset := 0
	if f.network != nil {
		offset = f.network.offset(m)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.books[offset] == nil {
		book := addressBook{}
		for i, name := range f.names {
			book[name] = f.address(i, offset)
		}
		f.books[offset] = book
	}
	return f.books[offset]
}

// Start starts all members at once, or evenly spread over a time, and returns when all run.
func (f *Fleet) Start(within time.Duration) error {
	errs := make(chan error, len(f.Members))
	for i, m := range f.Members {
		pause := within * time.Duration(i) / time.Duration(len(f.Members))
		go func() {
			time.Sleep(pause)
			errs <- m.Start()
		}()
	}
	var first error
	for range f.Members {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// Close ends all members and links.
func (f *Fleet) Close() {
	var ends sync.WaitGroup
	for _, m := range f.Members {
		ends.Go(m.Kill)
	}
	ends.Wait()
	if f.network != nil {
		f.network.close()
	}
	_ = f.held.Close()
}

// Member is one hollow member.
type Member struct {
	Name, Zone string

	fleet    *Fleet
	index    int
	zone     int
	settings atomic.Uint64 // that it goes by
	mu       sync.Mutex
	running  *incarnation // nil: it does not run
	figures  *aggregate.Module
	lessor   *lease.Module
	before   Counters // of earlier incarnations
}

// incarnation is a member from its start to its end.
type incarnation struct {
	net   *mutedNet
	agent *agent.Agent
	board fleet.ViewHolder
	ended chan struct{}
}

// firstSettings is the digest of the settings that all members start with.
const firstSettings = 0x9e3779b97f4a7c15

// Start runs a member that does not run.
func (m *Member) Start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running != nil {
		return nil
	}
	at := m.fleet.address(m.index, 0)
	opened, err := fleetnet.Open(fleetnet.Config{
		Cluster: "scale",
		Self:    m.Name,
		Bind:    at,
		Reach:   at,
		Names:   m.fleet.addresses(m),
		Budget:  m.fleet.spec.Budget,
	})
	if err != nil {
		return err
	}
	r := &incarnation{net: &mutedNet{Net: opened}, ended: make(chan struct{})}
	figures := &generator{rng: rand.New(rand.NewPCG(m.fleet.spec.Seed, uint64(m.index)))}
	r.agent = agent.New(agent.Config{
		Self:         m.Name,
		Zone:         m.Zone,
		Program:      "0123456789ab",
		Settings:     m.settings.Load(),
		Roster:       ourRoster,
		Net:          r.net,
		Views:        &r.board,
		NewModules:   m.modules,
		InitialParts: map[fleet.Kind][]byte{fleet.Stage: stage.InitialStatus(stage.Target{}, stage.Target{})},
		Window:       figures.window,
	})
	go func() {
		defer close(r.ended)
		r.agent.Run()
	}()
	r.agent.SetState(fleet.Serving)
	m.running = r
	return nil
}

// modules makes the state machines of a member for an incarnation.
func (m *Member) modules(incarnation uint64) []fleet.Module {
	lessor := lease.New(lease.Config{
		Self:        m.Name,
		Incarnation: incarnation,
		Seed:        incarnation,
		Roster:      ourRoster,
		Names:       m.fleet.names[:min(electors, len(m.fleet.names))],
		Floor:       incarnation / 1000,
	})
	figures := aggregate.New(aggregate.Config{Self: m.Name, Seed: incarnation})
	m.mu.Lock()
	m.figures, m.lessor = figures, lessor
	m.mu.Unlock()
	modules := []fleet.Module{lessor, figures, stage.New(stage.Config{Name: m.Name, Zone: m.Zone, Lease: lessor})}
	if more := m.fleet.spec.Modules; more != nil {
		modules = append(modules, more(m)...)
	}
	return modules
}

// Claim asks for the lease of a thing, which is held from then on.
func (m *Member) Claim(thing string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running == nil || m.lessor == nil {
		return
	}
	lessor := m.lessor
	m.running.agent.Post(func(now int64, out *fleet.Out) { lessor.Claim(now, thing, out) })
}

// Want says whether a member asks for the windows of figures of all others, as the conductor of a change does.
func (m *Member) Want(wanted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running == nil || m.figures == nil {
		return
	}
	figures := m.figures
	m.running.agent.Post(func(now int64, out *fleet.Out) { figures.Want(now, wanted, out) })
}

// Stop ends a member that tells the others that it leaves.
func (m *Member) Stop() { m.end(false) }

// Kill ends a member that tells nobody.
func (m *Member) Kill() { m.end(true) }

// Restart stops a member and starts it again.
func (m *Member) Restart() error {
	m.Stop()
	return m.Start()
}

func (m *Member) end(silently bool) {
	m.mu.Lock()
	r := m.running
	m.mu.Unlock()
	if r == nil {
		return
	}
	if silently {
		r.net.muted.Store(true)
		r.net.Close()
	}
	r.agent.Stop()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running == r { // another may have ended it meanwhile
		m.before.add(read(r.net))
		m.running = nil
	}
}

// ChangeSettings has a member go by settings of another digest, and returns that digest.
func (m *Member) ChangeSettings() uint64 {
	digest := m.settings.Add(0x100000001b3)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running != nil {
		m.running.agent.SetSettingsAndRoster(digest, ourRoster)
	}
	return digest
}

// View is what a member knows of all; nil: it does not run, or knows nothing yet.
func (m *Member) View() *fleet.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running == nil {
		return nil
	}
	return m.running.board.Read()
}

// mutedNet is a membership whose member can end without a word to the others.
type mutedNet struct {
	fleetnet.Net
	muted atomic.Bool
}

// Leave tells the others, unless the member ends without a word.
func (n *mutedNet) Leave() {
	if !n.muted.Load() {
		n.Net.Leave()
	}
}

// generator makes the figures of calls that a member tells.
type generator struct{ rng *rand.Rand }

const (
	classes       = 3
	waitBuckets   = 12
	mostInABucket = 300
)

// window makes the figures of one window.
func (g *generator) window() fleet.Window {
	var w fleet.Window
	for i := range classes {
		c := fleet.ClassFigures{Name: fmt.Sprintf("class-%d", i)}
		for range waitBuckets {
			n := 1 + g.rng.Uint32N(mostInABucket)
			c.Waits = append(c.Waits, n)
			c.Served += uint64(n)
		}
		c.Refused, c.Failed, c.Late = g.rng.Uint64N(mostInABucket), g.rng.Uint64N(4), g.rng.Uint64N(mostInABucket)
		c.Offered = c.Served + c.Refused + c.Failed
		c.Worth, c.Whole = float64(c.Served)*1.37, float64(c.Offered)*1.37
		w.Class = append(w.Class, c)
	}
	return w
}
