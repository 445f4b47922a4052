package stage

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pewterwheel/internal/fleet"
	"pewterwheel/internal/lease"
)

// Runs a change over seven processes with real leases, over a network that loses, duplicates and delays messages,
// while conductors are killed or cut off. The change must end completely, without a skipped stage and without an
// order carried out under a lower fencing number.
func TestChangeOverLeases(t *testing.T) {
	const n, tick = 7, second / 20
	type process struct {
		lease        *lease.Module
		stage        *Module
		entry        fleet.Entry
		concluded    Target
		cut          int64 // cut off until then
		highestFence uint64
	}
	type delivery struct {
		at int64
		m  fleet.Message
	}
	type job struct {
		at, incarnation int64
		process         int
		act             fleet.Act
	}
	takeOvers := 0
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 3))
		var processes [n]*process
		var names []string
		var mail []delivery
		var jobs []job
		var openedStages []int64
		now, kills, worse, ended, finished := int64(1), 2, int(seed%5)-1, "", false
		target := Target{Change: change, Settings: "x"}
		lossRate := 0.05
		for i := range n {
			names = append(names, string(rune('a'+i)))
		}
		call := func(i int, f func(p *process, out *fleet.Out)) {
			p, out := processes[i], &fleet.Out{}
			f(p, out)
			for _, m := range out.Send {
				for range 1 + r.IntN(20)/19 {
					if r.Float64() >= lossRate || m.To == p.entry.Name {
						mail = append(mail, delivery{now + tick*int64(1+r.IntN(3)), m})
					}
				}
			}
			for _, a := range out.Acts {
				jobs = append(jobs, job{now + tick*int64(1+r.IntN(10)), int64(p.entry.Incarnation), i, a})
			}
			for _, x := range out.Notes {
				switch x.What {
				case "stage":
					openedStages = append(openedStages, x.N)
				case "conducts": // the process that opened the stage may have died before it noted so
					takeOvers++
					_, name, _ := strings.Cut(x.Text, ", stage ")
					if at := int64(slices.Index(stageNames[:], name)); len(openedStages) == 0 ||
						at == openedStages[len(openedStages)-1]+1 {
						openedStages = append(openedStages, at)
					}
				case "over":
					ended = x.Text
				case Apply, Back:
					if x.Fence < p.highestFence {
						t.Errorf("seed %d: %s carries out an order with fencing number %d after %d", seed, p.entry.Name,
							x.Fence, p.highestFence)
					}
					p.highestFence = x.Fence
				}
			}
			if b, ok := out.Parts[fleet.Stage]; ok {
				p.entry.Parts = map[fleet.Kind][]byte{fleet.Stage: b}
				p.entry.Version++
			}
		}
		start := func(i int) {
			if processes[i] == nil {
				processes[i] = &process{entry: fleet.Entry{Name: names[i], Zone: "z", State: fleet.Serving}}
			}
			p := processes[i]
			p.entry.Incarnation, p.entry.Version, p.entry.Parts = p.entry.Incarnation+1, 1, nil
			p.lease = lease.New(lease.Config{Self: names[i], Incarnation: p.entry.Incarnation, Seed: seed, Roster: 1,
				Names: names, Lease: second})
			p.stage = New(Config{Name: names[i], Zone: "z", Lease: p.lease, Running: p.concluded,
				Concluded: p.concluded,
				oracle:    func(s int) bool { return s == worse },
				Rules: Rules{Baseline: second, WarmUp: 1, SlotLength: 1, MinEvaluation: 1,
					ApplyTimeout: 20 * second, SuspectTimeout: 5 * second, MaxUnreachable: 1}})
			call(i, func(p *process, out *fleet.Out) { p.lease.Start(now, out); p.stage.Start(now, out) })
		}
		for i := range n {
			start(i)
		}
		for ; now < 300*second && !finished; now += tick {
			// A proposal is lost with the process that holds it; an operator then gives it to the next process.
			if at := now / tick; at%(40*second/tick) == 8*second/tick && ended == "" {
				call(int(seed+uint64(at))%n, func(p *process, out *fleet.Out) {
					if err := p.stage.Propose(now, target, out); err != nil && !IsConflict(err) {
						t.Fatal(err)
					}
				})
			}
			for i, p := range processes {
				if p.stage.conductor.holdsLease && kills > 0 && r.IntN(60) == 0 {
					if kills--; r.IntN(2) == 0 {
						start(i)
					} else {
						p.cut = now + 4*second
					}
				}
				if (now/tick+int64(i))%10 == 0 && now >= p.cut {
					v := &fleet.View{Self: p.entry.Name}
					for _, q := range processes {
						v.Members = append(v.Members, fleet.Member{Entry: q.entry, Suspect: now < q.cut})
					}
					call(i, func(p *process, out *fleet.Out) { p.lease.View(now, v, out); p.stage.View(now, v, out) })
				}
				call(i, func(p *process, out *fleet.Out) {
					if now >= p.lease.Next() {
						p.lease.Tick(now, out)
					}
					if now >= p.stage.Next() {
						p.stage.Tick(now, out)
					}
				})
			}
			due := mail
			mail = nil
			for _, x := range due {
				from, to := slices.Index(names, x.m.From), slices.Index(names, x.m.To)
				switch {
				case now < x.at:
					mail = append(mail, x)
				case now < processes[from].cut || now < processes[to].cut:
				case x.m.Kind == fleet.Lease:
					call(to, func(p *process, out *fleet.Out) { p.lease.Message(now, x.m, out) })
				default:
					call(to, func(p *process, out *fleet.Out) { p.stage.Message(now, x.m, out) })
				}
			}
			ready := jobs
			jobs = nil
			for _, j := range ready {
				if p := processes[j.process]; now < j.at {
					jobs = append(jobs, j)
				} else if int64(p.entry.Incarnation) == j.incarnation {
					if j.act.What == Conclude {
						p.concluded = target
					}
					call(j.process, func(p *process, out *fleet.Out) { p.stage.Done(now, j.act, nil, out) })
				}
			}
			finished = ended != "" && len(jobs) == 0
			for _, p := range processes {
				finished = finished && p.stage.state == Unchanged && p.stage.peers.highestOver == change
			}
		}
		by := map[uint64]int{}
		for _, p := range processes {
			by[p.stage.running.Change]++
		}
		if !finished || len(by) != 1 || (ended[:6] == "halted") != (by[0] == n) {
			t.Errorf("seed %d: ended %q, processes by change %v, stages %v", seed, ended, by, openedStages)
		}
		for i := 1; i < len(openedStages); i++ {
			if openedStages[i] != openedStages[i-1]+1 {
				t.Errorf("seed %d: stages %v", seed, openedStages)
			}
		}
		if worse >= 0 && by[0] != n {
			t.Errorf("seed %d: worse at %s, and not rolled back: %s", seed, stageNames[worse], fmt.Sprint(by))
		}
	}
	if takeOvers < 10 {
		t.Errorf("another process took over as conductor only %d times", takeOvers)
	}
}
