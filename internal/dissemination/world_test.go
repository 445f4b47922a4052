package dissemination

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"

	"pewterwheel/internal/fleet"
)

// Of a simulated fleet, in microseconds and bytes.
const (
	step          = 50_000 // every message takes one
	probeEvery    = 300_000
	gossipEvery   = 200_000
	gossipTo      = 3
	datagramLimit = 1_400
	bodyOverhead  = 4
	packetHeaders = 28 // IP and UDP
	envelope      = 40 // kind and names around a message of a module
	probeBytes    = 2 * (packetHeaders + 30)
	ackBytes      = probeBytes + 8
)

// worldConfig says what a simulated fleet does.
type worldConfig struct {
	members    int
	headBytes  int     // of a coded entry without windows; 300 where it is 0
	rate       int64   // of the budgets; DefaultRate where it is 0
	loss       float64 // of every datagram
	spreadsAll bool    // entries that were passed by a repair are gossiped again, too
	seed       uint64
}

// world is a fleet in virtual time: registries, queues, budgets and repairs of all members, and the datagrams between
// them.
type world struct {
	worldConfig
	t        testing.TB
	random   *rand.Rand
	now      int64
	members  []*worldMember
	byName   map[string]*worldMember
	flying   []datagram
	versions map[string]fleet.Version // the newest of each
}

type worldMember struct {
	name     string
	registry *fakeRegistry
	queue    *Queue
	budget   *Budget
	repair   *Repair
	deafTill int64 // loses all gossip before this
	probes   []int // order in which it probes the others
	probe    int
	phase    int64   // of its probes and gossip
	traffic  []int64 // bytes in and out by second
}

type datagram struct {
	from, to *worldMember
	class    Class
	bytes    int
	bodies   [][]byte       // gossip
	message  *fleet.Message // of a repair
	passed   []byte         // an entry that was passed
	isAck    bool
	root     uint64 // of an acknowledgement
}

func newWorld(t testing.TB, config worldConfig) *world {
	config.headBytes = cmp.Or(config.headBytes, 300)
	w := &world{
		worldConfig: config,
		t:           t,
		random:      rand.New(rand.NewPCG(config.seed, 7)),
		byName:      map[string]*worldMember{},
		versions:    map[string]fleet.Version{},
	}
	for i := range config.members {
		m := &worldMember{
			name:     fmt.Sprintf("sidecar-%04d", i),
			registry: newFakeRegistry(),
			queue:    NewQueue(),
			budget:   NewBudget(BudgetConfig{Rate: config.rate}),
		}
		m.repair = NewRepair(RepairConfig{Self: m.name, Seed: w.random.Uint64()}, m.registry)
		m.probes = w.random.Perm(config.members)
		m.phase = w.random.Int64N(probeEvery / step)
		w.members = append(w.members, m)
		w.byName[m.name] = m
		w.versions[m.name] = fleet.Version{Name: m.name, Incarnation: 1_700_000_000_000_000 + uint64(i), Version: 1}
	}
	for _, m := range w.members {
		for _, v := range w.versions {
			m.registry.set(v)
		}
	}
	return w
}

// encodeHead writes an entry as long as heads are.
func (w *world) encodeHead(v fleet.Version) []byte {
	raw := binary.BigEndian.AppendUint64(nil, v.Incarnation)
	raw = binary.BigEndian.AppendUint64(raw, v.Version)
	raw = append(raw, byte(len(v.Name)))
	raw = append(raw, v.Name...)
	return append(raw, make([]byte, max(0, w.headBytes-len(raw)))...)
}

func decodeHead(raw []byte) fleet.Version {
	return fleet.Version{
		Incarnation: binary.BigEndian.Uint64(raw),
		Version:     binary.BigEndian.Uint64(raw[8:]),
		Name:        string(raw[17 : 17+int(raw[16])]),
	}
}

// change has a member change its own entry and gossip it.
func (w *world) change(m *worldMember) {
	v := w.versions[m.name]
	v.Version++
	w.versions[m.name] = v
	m.registry.set(v)
	m.queue.Put(m.name, w.encodeHead(v))
}

// send puts a datagram on its way, if the sender's budget allows it; tells whether it did.
func (w *world) send(d datagram) bool {
	d.bytes += packetHeaders
	if !d.from.budget.Allow(w.now, d.class, d.bytes) {
		return false
	}
	d.from.charge(w.now, d.class, Out, d.bytes)
	if w.random.Float64() >= w.loss {
		w.flying = append(w.flying, d)
	}
	return true
}

func (m *worldMember) charge(now int64, class Class, direction Direction, bytes int) {
	m.budget.Spend(now, class, direction, bytes)
	for int64(len(m.traffic)) <= now/second {
		m.traffic = append(m.traffic, 0)
	}
	m.traffic[now/second] += int64(bytes)
}

// wait plays for so many microseconds.
func (w *world) wait(length int64) {
	w.play(length, func() bool { return false })
}

// converge plays until all are equal, and returns how many seconds it took; it fails after the most allowed.
func (w *world) converge(most float64) float64 {
	w.t.Helper()
	start := w.now
	w.play(int64(most*second), w.equal)
	if !w.equal() {
		w.t.Errorf("not equal after %.1f s", most)
	}
	return float64(w.now-start) / second
}

// play goes on for so many microseconds, or until done.
func (w *world) play(length int64, done func() bool) {
	for end := w.now + length; w.now < end && !done(); w.now += step {
		arrived := w.flying
		w.flying = nil
		for i := range arrived {
			w.arrive(&arrived[i])
		}
		for _, m := range w.members {
			ticks := w.now/step + m.phase
			if ticks%(probeEvery/step) == 0 {
				w.probe(m)
			}
			if ticks%(gossipEvery/step) == 0 {
				w.gossip(m)
			}
		}
	}
}

func (w *world) probe(m *worldMember) {
	m.probe = (m.probe + 1) % len(m.probes)
	if peer := w.members[m.probes[m.probe]]; peer != m {
		w.send(datagram{from: m, to: peer, class: Membership, bytes: probeBytes - packetHeaders})
	}
}

func (w *world) gossip(m *worldMember) {
	for range gossipTo {
		if m.queue.Len() == 0 || !m.budget.Allow(w.now, Settings, datagramLimit) {
			return
		}
		d := datagram{from: m, to: w.members[w.random.IntN(len(w.members))], class: Settings}
		d.bodies = m.queue.Fill(datagramLimit-packetHeaders, bodyOverhead, len(w.members))
		for _, body := range d.bodies {
			d.bytes += len(body) + bodyOverhead
		}
		w.send(d)
	}
}

func (w *world) arrive(d *datagram) {
	d.to.charge(w.now, d.class, In, d.bytes)
	var out fleet.Out
	switch {
	case d.message != nil:
		d.to.repair.Message(w.now, *d.message, &out)
	case d.passed != nil:
		w.take(d.to, d.passed, w.spreadsAll)
	case d.isAck:
		d.to.repair.Root(w.now, d.from.name, d.root, &out)
	case d.class == Membership:
		root, _ := d.to.registry.Digest()
		ack := datagram{from: d.to, to: d.from, class: Membership, bytes: ackBytes - packetHeaders}
		ack.isAck = true
		ack.root = root
		w.send(ack)
	case w.now >= d.to.deafTill:
		for _, body := range d.bodies {
			w.take(d.to, body, true)
		}
	}
	w.carryOut(d.to, &out)
}

func (w *world) take(m *worldMember, raw []byte, spread bool) {
	v := decodeHead(raw)
	if m.registry.take(v) && spread {
		m.queue.Put(v.Name, raw)
	}
}

// carryOut does what a repair asked for, as the agent would.
func (w *world) carryOut(m *worldMember, out *fleet.Out) {
	for i := range out.Send {
		message := &out.Send[i]
		if len(message.Body) > fleet.MaxBody {
			w.t.Errorf("a message of %d bytes", len(message.Body))
		}
		size := len(message.Body) + envelope
		w.send(datagram{from: m, to: w.byName[message.To], class: Settings, bytes: size, message: message})
	}
	for _, passed := range out.Pass {
		if v, known := m.registry.Newest(passed.Name); known {
			head := w.encodeHead(v)
			size := len(head) + envelope
			w.send(datagram{from: m, to: w.byName[passed.To], class: Settings, bytes: size, passed: head})
		}
	}
}

// equal tells whether all members know the newest version of all.
func (w *world) equal() bool {
	newest := newFakeRegistry()
	for _, v := range w.versions {
		newest.set(v)
	}
	for _, m := range w.members {
		if m.registry.root != newest.root {
			return false
		}
	}
	return true
}

// report returns the mean bytes a second a member, of all between two seconds, and the most of one member in one of
// them.
func (w *world) report(from, to int64) (mean float64, most int64) {
	sum := int64(0)
	for _, m := range w.members {
		for s := from; s < min(to, int64(len(m.traffic))); s++ {
			sum += m.traffic[s]
			most = max(most, m.traffic[s])
		}
	}
	return float64(sum) / float64(int64(len(w.members))*max(1, to-from)), most
}

// counts sums what a figure is over all members.
func (w *world) counts(name string) (sum uint64) {
	add := func(n string, count uint64, _ bool) {
		if n == name {
			sum += count
		}
	}
	for _, m := range w.members {
		m.repair.Figures(add)
		m.queue.Figures(add)
		m.budget.Figures(add)
	}
	return sum
}
