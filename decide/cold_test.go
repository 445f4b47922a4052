package decide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// coldTier is a fleet of nodes before offices of one size. Each office takes set-ups in turn; the rate at which a cold
// one does grows as the settings allow it.
type coldTier struct {
	set     Settings
	now     int64
	load    float64 // calls asked for beside what all offices take when warm
	rng     *rand.Rand
	rigs    []*rig
	offices []*coldOffice
	calls   CallID
	out     map[CallID]*coldJob
}

type coldOffice struct {
	started int64 // 0: long ago
	free    int64
	line    []*coldJob
	got     []int64 // when what came within the last Fall did
	most    float64 // the most that came within Fall, beside what the page lets come before the office falls
}

type coldJob struct {
	r          *rig
	a          Action
	sent, done int64
	full, off  bool // turned away; called off, which spares the office nothing
}

const (
	coldNodes, coldOffices = 300, 24
	coldRate               = 30.0 // set-ups a second of a warm office
)

func newColdTier(t *testing.T, seed uint64, load float64, cold int) *coldTier {
	t.Helper()
	c := &coldTier{set: testSettings(), now: 100 * sec, load: load, rng: rand.New(rand.NewPCG(seed, 9)), out: map[CallID]*coldJob{}}
	c.set.Instances, c.set.Resend, c.set.MaxTries = coldNodes, 500*ms, 6
	c.set.Classes = []Class{{Aim: 1500 * ms, Deadline: 9 * sec, Worth: 1, LateWorth: 0.25},
		{Aim: 800 * ms, Deadline: 6 * sec, Worth: 6, LateWorth: 0.1}}
	c.set.Rules = Rules{AnswerSlack: 20 * ms, DrainGrace: sec, StartCapacity: 0.28, Cold: 13 * sec, FallMultiple: 3,
		Fall: 1500 * ms, Guard: 200 * ms}
	var list []Listed
	for i := range coldOffices {
		o := &coldOffice{}
		if i < cold {
			o.started = c.now
		}
		c.offices = append(c.offices, o)
		list = append(list, Listed{ID: ServerID(fmt.Sprint(i)), Place: i, Share: 1, Started: o.started})
	}
	for range coldNodes {
		n, err := New(c.set, c.rng.Uint64())
		if err != nil {
			t.Fatal(err)
		}
		r := &rig{t: t, n: n, now: c.now}
		r.step(Event{Kind: Start})
		r.step(Event{Kind: List, Form: Copy, Servers: list})
		c.rigs = append(c.rigs, r)
	}
	return c
}

// send has an office take a set-up, or turn it away where its line is long.
func (c *coldTier) send(o *coldOffice, j *coldJob) {
	part, rules := 1.0, c.set.Rules
	if age := c.now - o.started; o.started != 0 && age < rules.Cold {
		part = rules.StartCapacity + (1-rules.StartCapacity)*float64(age)/float64(rules.Cold)
		for o.got = append(o.got, c.now); o.got[0] <= c.now-rules.Fall; {
			o.got = o.got[1:]
		}
		n := rules.FallMultiple * part * coldRate * float64(rules.Fall) / 1e6
		o.most = max(o.most, float64(len(o.got))/(n+3*math.Sqrt(n)+3))
	}
	work := int64(1e6 / (coldRate * part))
	j.done = max(o.free, c.now) + work
	if j.full = j.done-c.now > 1500*ms; j.full {
		j.done = c.now
	} else {
		o.free = j.done
	}
	o.line, c.out[j.a.Call] = append(o.line, j), j
}

func (c *coldTier) do(r *rig, acts []Action) {
	for i := 0; i < len(acts); i++ {
		switch a := acts[i]; a.Kind {
		case Send:
			var place int
			_, _ = fmt.Sscan(string(a.Server), &place) // it is one of ours
			c.send(c.offices[place], &coldJob{r: r, a: a, sent: c.now})
		case Cancel:
			c.out[a.Call].off = true
			acts = append(acts, r.ended(a, Cancelled, false)...)
		}
	}
}

func (c *coldTier) run(length int64) {
	for end := c.now + length; c.now < end; c.now += 10 * ms {
		for _, o := range c.offices {
			line := o.line
			o.line = nil
			for _, j := range line {
				switch {
				case j.done+10*ms > c.now:
					o.line = append(o.line, j)
				case j.off:
				case j.full:
					c.do(j.r, j.r.ended(j.a, Rejected, true))
				default:
					c.do(j.r, j.r.begun(j.a, c.now-j.sent))
				}
			}
		}
		for i, r := range c.rigs {
			c.do(r, r.run(c.now-r.now))
			rate := c.load * coldRate * coldOffices / coldNodes * 17 / 19
			if i%20 == 0 {
				rate *= 57.0 / 17 // some see several times the mean
			}
			if c.rng.Float64() < rate/100 {
				c.calls++
				class := c.rng.IntN(len(c.set.Classes))
				c.do(r, r.step(Event{Kind: Order, Call: c.calls, Class: class, Dest: c.rng.IntN(coldOffices),
					Key: fmt.Sprint(c.calls), Deadline: c.now + c.set.Classes[class].Deadline}))
			}
		}
	}
}

// Every node of a fleet has just started, some offices are cold, and callers ask for more than all can take. What the nodes
// judge an office by is too high then, by two thirds: calls that no office took in time are counted, and the count is young.
// With two fifths of the budget for each, and what is earned by set-ups that began, all nodes together went past what a
// cold office bears, up to 1.3 times.
func TestColdOfficesBearAFleetThatHasJustStarted(t *testing.T) {
	for _, day := range []struct {
		load float64
		cold int
	}{{1.2, 4}, {2.5, 12}} {
		for seed := range uint64(2) {
			c := newColdTier(t, seed+1, day.load, day.cold)
			c.run(8 * sec)
			got := 0.0
			for _, o := range c.offices[:day.cold] {
				got = max(got, o.most)
			}
			if got > 1 || got < 0.3 { // less would say that the play has no need of the guard
				t.Errorf("load %.1f, %d cold, seed %d: the worst got %.2f times what it bears", day.load, day.cold, seed+1, got)
			}
		}
	}
}
