package decide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// coldScenario describes a simulation of many nodes and several offices of equal capacity, some of which start cold.
type coldScenario struct {
	nodes, offices, cold int
	officeRate           float64 // set-ups a second of a warm office
	load                 float64 // requested calls relative to the capacity of all offices when warm
	heavyNodeShare       float64 // part of the traffic at one node; 0: one node in twenty has three times the mean
	runBefore            int64   // how long nodes and offices have run before; 0: all nodes have just started
	restartTenthEvery    int64   // a tenth of the nodes restarts each time this has passed; 0: none restart
	restartedShare       float64 // this part of the nodes restarts at once
	restartedAfter       int64   // this long after the offices
	lateInformedShare    float64 // this part of the nodes
	informedAfter        int64   // learns of the cold offices this late
	rules                Rules   // parameters of cold offices; none: coldRules as in newColdSimulation
	length               int64
}

func coldRules(start float64, cold, fall int64) Rules {
	return Rules{AnswerSlack: 20 * ms, DrainGrace: sec, StartCapacity: start, ColdTime: cold, FallMultiple: 3,
		FallTime: fall, GuardTime: 200 * ms}
}

// coldSimulation runs a coldScenario. Each office processes set-ups one by one; a cold one does so at a rate that grows
// as the settings say.
type coldSimulation struct {
	coldScenario
	t        *testing.T
	set      Settings
	now      int64
	rng      *rand.Rand
	nodes    []*coldNode
	offices  []*coldOffice
	calls    CallID
	attempts map[CallID]*coldAttempt
	onTime   int // calls that were set up within their aim
}

type coldNode struct {
	*runner
	rate     float64 // calls a second
	informed bool
}

type coldOffice struct {
	started    int64 // 0: long ago
	freeAt     int64
	queue      []*coldAttempt
	recent     []*coldAttempt // received within the last FallTime
	worstRatio float64        // highest ratio of what came within FallTime to what the rule permits
}

type coldAttempt struct {
	node                *coldNode
	sender              *runner // the node's runner when it was sent: a node that has restarted gets no answer
	action              Action
	informed            bool
	sent, done          int64
	rejected, cancelled bool // rejected; cancelled, which saves the office no work
}

func newColdSimulation(t *testing.T, seed uint64, scenario coldScenario) *coldSimulation {
	t.Helper()
	c := &coldSimulation{coldScenario: scenario, t: t, set: testSettings(), now: 100 * sec,
		rng: rand.New(rand.NewPCG(seed, 9)), attempts: map[CallID]*coldAttempt{}}
	c.set.Instances, c.set.ResendAfter, c.set.MaxTries = scenario.nodes, 500*ms, 6
	c.set.Classes = []Class{{Aim: 1500 * ms, Deadline: 9 * sec, Worth: 1, LateWorth: 0.25},
		{Aim: 800 * ms, Deadline: 6 * sec, Worth: 6, LateWorth: 0.1}}
	if c.set.Rules = scenario.rules; scenario.rules.FallTime == 0 {
		c.set.Rules = coldRules(0.28, 13*sec, 1500*ms)
	}
	for range scenario.offices {
		c.offices = append(c.offices, &coldOffice{})
	}
	totalRate := 0.0
	for i := range scenario.nodes {
		n := &coldNode{rate: 1, informed: true}
		switch {
		case scenario.heavyNodeShare > 0 && i == 0:
			n.rate = scenario.heavyNodeShare * float64(scenario.nodes-1) / (1 - scenario.heavyNodeShare)
		case scenario.heavyNodeShare == 0 && i%20 == 0:
			n.rate = 57.0 / 17
		}
		totalRate += n.rate
		c.nodes = append(c.nodes, n)
	}
	for _, n := range c.nodes {
		n.rate *= scenario.load * scenario.officeRate * float64(scenario.offices) / totalRate
		c.startNode(n)
	}
	return c
}

// startNode starts or restarts a node; it knows only the list, as far as it was informed.
func (c *coldSimulation) startNode(n *coldNode) {
	node, err := New(c.set, c.rng.Uint64())
	if err != nil {
		c.t.Fatal(err)
	}
	n.runner = &runner{t: c.t, node: node, now: c.now}
	n.step(Event{Kind: NodeStarted})
	c.sendList(n)
}

func (c *coldSimulation) sendList(n *coldNode) []Action {
	var list []Listed
	for i, o := range c.offices {
		entry := Listed{ID: ServerID(fmt.Sprint(i)), Place: i, Share: 1}
		if n.informed {
			entry.Started = o.started
		}
		list = append(list, entry)
	}
	return n.step(Event{Kind: ListUpdate, Form: ListCached, Servers: list})
}

// capacityPart is the part of its capacity that an office has at an age, according to the settings.
func (c *coldSimulation) capacityPart(age int64) float64 {
	r := c.set.Rules
	return r.StartCapacity + (1-r.StartCapacity)*min(1, float64(max(0, age))/float64(r.ColdTime))
}

// receive makes an office accept a set-up, or reject it where its queue is long.
func (c *coldSimulation) receive(office *coldOffice, attempt *coldAttempt) {
	part, rules := 1.0, c.set.Rules
	if age := c.now - office.started; office.started != 0 && age < rules.ColdTime {
		part = c.capacityPart(age)
		for office.recent = append(office.recent, attempt); office.recent[0].sent <= c.now-rules.FallTime; {
			office.recent = office.recent[1:]
		}
		informed := 0.0
		for _, g := range office.recent {
			if g.informed {
				informed++
			}
		}
		if received := float64(len(office.recent)); informed > received*2/3 {
			permitted := rules.FallMultiple * part * c.officeRate * float64(rules.FallTime) / 1e6
			office.worstRatio = max(office.worstRatio, received/(permitted+2*math.Sqrt(permitted)+2))
		}
	}
	attempt.done = max(office.freeAt, c.now) + int64(1e6/(c.officeRate*part))
	if attempt.rejected = attempt.done-c.now > 1500*ms; attempt.rejected {
		attempt.done = c.now
	} else {
		office.freeAt = attempt.done
	}
	office.queue, c.attempts[attempt.action.Call] = append(office.queue, attempt), attempt
}

func (c *coldSimulation) handleActions(n *coldNode, actions []Action) {
	for i := 0; i < len(actions); i++ {
		switch a := actions[i]; a.Kind {
		case Send:
			var place int
			_, _ = fmt.Sscan(string(a.Server), &place) // always one of this simulation
			c.receive(c.offices[place], &coldAttempt{node: n, sender: n.runner, action: a, informed: n.informed, sent: c.now})
		case Cancel:
			c.attempts[a.Call].cancelled = true
			actions = append(actions, n.end(a, Cancelled, false)...)
		}
	}
}

// answer makes an office answer the set-ups that are due.
func (c *coldSimulation) answer(office *coldOffice) {
	queue := office.queue
	office.queue = nil
	for _, attempt := range queue {
		switch {
		case attempt.done+10*ms > c.now:
			office.queue = append(office.queue, attempt)
		case attempt.cancelled || attempt.sender != attempt.node.runner:
		case attempt.rejected:
			c.handleActions(attempt.node, attempt.node.end(attempt.action, Rejected, true))
		default:
			if pending := attempt.node.node.calls[attempt.action.Call]; pending != nil && c.now <= pending.aimBy {
				c.onTime++
			}
			c.handleActions(attempt.node, attempt.node.complete(attempt.action, c.now-attempt.sent))
		}
	}
}

// startColdOffices restarts the first offices cold: set-ups in progress there are cut off.
func (c *coldSimulation) startColdOffices() {
	for i, o := range c.offices[:c.cold] {
		queue := o.queue
		c.offices[i] = &coldOffice{started: c.now}
		for _, attempt := range queue {
			if !attempt.cancelled && attempt.sender == attempt.node.runner {
				c.handleActions(attempt.node, attempt.node.end(attempt.action, Cut, false))
			}
		}
	}
	late := int(c.lateInformedShare * float64(len(c.nodes)))
	for i, n := range c.nodes {
		n.informed = (i*7+3)%len(c.nodes) >= late
		c.handleActions(n, c.sendList(n))
	}
}

// restartAndInform restarts nodes, and informs those that learn late, at a time after the start of the offices.
func (c *coldSimulation) restartAndInform(age int64) {
	if c.lateInformedShare > 0 && age == c.informedAfter {
		for _, n := range c.nodes {
			if !n.informed {
				n.informed = true
				c.handleActions(n, c.sendList(n))
			}
		}
	}
	if c.restartedShare > 0 && age == c.restartedAfter {
		for i, n := range c.nodes {
			if i < int(c.restartedShare*float64(len(c.nodes))) {
				c.startNode(n)
			}
		}
	}
	if c.restartTenthEvery > 0 && age%c.restartTenthEvery == 0 && age/c.restartTenthEvery < 10 {
		for i, n := range c.nodes {
			if i%10 == int(age/c.restartTenthEvery) {
				c.startNode(n)
			}
		}
	}
}

func (c *coldSimulation) run() {
	cold := c.now + c.runBefore
	for end := cold + c.length; c.now < end; c.now += 10 * ms {
		if c.now == cold {
			c.startColdOffices()
		}
		if c.now >= cold {
			c.restartAndInform(c.now - cold)
		}
		for _, o := range c.offices {
			c.answer(o)
		}
		for _, n := range c.nodes {
			c.handleActions(n, n.advance(c.now-n.now))
			for next := c.rng.ExpFloat64() / n.rate; next < 0.01; next += c.rng.ExpFloat64() / n.rate {
				c.calls++
				class := c.rng.IntN(len(c.set.Classes))
				c.handleActions(n, n.step(Event{Kind: CallArrived, Call: c.calls, Class: class,
					Destination: c.rng.IntN(len(c.offices)), Key: fmt.Sprint(c.calls),
					Deadline: c.now + c.set.Classes[class].Deadline}))
			}
		}
	}
}

// worstOverload is the highest overload ratio of all cold offices.
func (c *coldSimulation) worstOverload() float64 {
	worst := 0.0
	for _, o := range c.offices[:c.cold] {
		worst = max(worst, o.worstRatio)
	}
	return worst
}

// All nodes have just started, some offices are cold, and callers request more than all offices can take. The nodes
// then overestimate an office's capacity by two thirds: calls that no office took in time are counted, and the counts
// are young. With two fifths of the budget for each node by that estimate, and what completed set-ups add, all nodes
// together exceeded what a cold office bears, up to 1.3 times.
func TestColdOfficesWhenAllNodesHaveJustStarted(t *testing.T) {
	for _, testCase := range []struct {
		load float64
		cold int
	}{{1.2, 4}, {2.5, 12}} {
		for seed := range uint64(2) {
			c := newColdSimulation(t, seed+1, coldScenario{nodes: 300, offices: 24, cold: testCase.cold, officeRate: 30,
				load: testCase.load, length: 8 * sec})
			c.run()
			if got := c.worstOverload(); got > 1 || got < 0.3 { // less: the scenario would not need the protection
				t.Errorf("load %.1f, %d cold, seed %d: the worst office received %.2f times what it bears",
					testCase.load, testCase.cold, seed+1, got)
			}
		}
	}
}

// Load of a cold office from all nodes, relative to N + 2 root N + 2. Calls that no office took were counted as
// capacity, and so were two unseen calls at each node: where more was requested than offices take, and all or most
// nodes had just started, all nodes together exceeded that bound, up to 1.65 times.
func TestColdOfficesUnderLoadFromAllNodes(t *testing.T) {
	for _, testCase := range []struct {
		name     string
		scenario coldScenario
	}{
		{"300 nodes, all just started",
			coldScenario{nodes: 300, offices: 24, cold: 12, officeRate: 12.5, load: 2.5}},
		{"300 nodes, all just started, one cold",
			coldScenario{nodes: 300, offices: 4, cold: 1, officeRate: 75, load: 2.5}},
		{"300 nodes, all just started, little traffic",
			coldScenario{nodes: 300, offices: 24, cold: 24, officeRate: 3.75, load: 2.5}},
		{"300 nodes, no more calls than offices take",
			coldScenario{nodes: 300, offices: 24, cold: 4, officeRate: 30, load: 1}},
		{"300 nodes, most restarted, some informed late",
			coldScenario{nodes: 300, offices: 24, cold: 24, officeRate: 12.5, load: 2.5, runBefore: 6 * sec,
				restartedShare: 0.7, restartedAfter: sec, lateInformedShare: 0.25, informedAfter: 4 * sec}},
		{"30 nodes, all just started",
			coldScenario{nodes: 30, offices: 4, cold: 1, officeRate: 4.5, load: 2.5}},
		{"30 nodes, most restarted",
			coldScenario{nodes: 30, offices: 4, cold: 4, officeRate: 4.5, load: 2.5,
				runBefore: 12 * sec, restartedShare: 0.7, restartedAfter: 2 * sec}},
		{"30 nodes, a tenth restarted at a time",
			coldScenario{nodes: 30, offices: 4, cold: 4, officeRate: 4.5, load: 2.5,
				runBefore: 12 * sec, restartTenthEvery: 500 * ms}},
		{"30 nodes, a quarter of the traffic at one",
			coldScenario{nodes: 30, offices: 4, cold: 1, officeRate: 7.5, load: 1.5, runBefore: 12 * sec, heavyNodeShare: 0.25}},
		{"20 nodes, half of the traffic at one, most restarted",
			coldScenario{nodes: 20, offices: 2, cold: 1, officeRate: 30, load: 2.5, runBefore: 12 * sec, heavyNodeShare: 0.5,
				restartedShare: 0.7, restartedAfter: sec}},
		{"20 nodes, some informed late",
			coldScenario{nodes: 20, offices: 4, cold: 2, officeRate: 15, load: 1.5,
				runBefore: 12 * sec, lateInformedShare: 0.3, informedAfter: 4 * sec}},
		{"20 nodes, short cold time",
			coldScenario{nodes: 20, offices: 4, cold: 1, officeRate: 5, load: 2.5, rules: coldRules(0.48, 8500*ms, sec)}},
		{"30 nodes, long cold time",
			coldScenario{nodes: 30, offices: 4, cold: 4, officeRate: 4.5, load: 2.5, rules: coldRules(0.28, 15*sec, 2*sec)}},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			testCase.scenario.length = 5 * sec
			for seed := range uint64(2) {
				c := newColdSimulation(t, seed+1, testCase.scenario)
				c.run()
				if got := c.worstOverload(); got > 1 || got < 0.2 { // less: the scenario would not need the protection
					t.Errorf("seed %d: the worst office received %.2f times what it bears", seed+1, got)
				}
			}
		})
	}
}
