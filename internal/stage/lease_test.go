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
func TestOverLeases(t *testing.T) {
	const n, tick = 7, second / 20
	type process struct {
		lease  *lease.Part
		stage  *Part
		entry  fleet.Entry
		wrote  Target
		cut    int64 // cut off until then
		obeyed uint64
	}
	type parcel struct {
		at int64
		m  fleet.Message
	}
	type job struct {
		at, life int64
		who      int
		act      fleet.Act
	}
	conducted := 0
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 3))
		var ps [n]*process
		var names []string
		var mail []parcel
		var jobs []job
		var opened []int64
		now, kills, worse, ended, stood := int64(1), 2, int(seed%5)-1, "", false
		target := Target{Change: change, Settings: "x"}
		lose := 0.05
		for i := range n {
			names = append(names, string(rune('a'+i)))
		}
		use := func(i int, f func(p *process, out *fleet.Out)) {
			p, out := ps[i], &fleet.Out{}
			f(p, out)
			for _, m := range out.Send {
				for range 1 + r.IntN(20)/19 {
					if r.Float64() >= lose || m.To == p.entry.Name {
						mail = append(mail, parcel{now + tick*int64(1+r.IntN(3)), m})
					}
				}
			}
			for _, a := range out.Acts {
				jobs = append(jobs, job{now + tick*int64(1+r.IntN(10)), int64(p.entry.Incarnation), i, a})
			}
			for _, x := range out.Notes {
				switch x.What {
				case "stage":
					opened = append(opened, x.N)
				case "conducts": // the process that opened the stage may have died before it noted so
					conducted++
					_, name, _ := strings.Cut(x.Text, ", stage ")
					if at := int64(slices.Index(stageNames[:], name)); len(opened) == 0 || at == opened[len(opened)-1]+1 {
						opened = append(opened, at)
					}
				case "over":
					ended = x.Text
				case Apply, Back:
					if x.Fence < p.obeyed {
						t.Errorf("seed %d: %s carries out an order with fencing number %d after %d", seed, p.entry.Name, x.Fence, p.obeyed)
					}
					p.obeyed = x.Fence
				}
			}
			if b, ok := out.Parts[fleet.Stage]; ok {
				p.entry.Parts = map[fleet.Kind][]byte{fleet.Stage: b}
				p.entry.Version++
			}
		}
		begin := func(i int) {
			if ps[i] == nil {
				ps[i] = &process{entry: fleet.Entry{Name: names[i], Zone: "z", State: fleet.Serving}}
			}
			p := ps[i]
			p.entry.Incarnation, p.entry.Version, p.entry.Parts = p.entry.Incarnation+1, 1, nil
			p.lease = lease.New(lease.Config{Self: names[i], Incarnation: p.entry.Incarnation, Seed: seed, Roster: 1, Names: names, Lease: second})
			p.stage = New(Config{Name: names[i], Zone: "z", Lease: p.lease, Running: p.wrote, Concluded: p.wrote, oracle: func(s int) bool { return s == worse },
				Rules: Rules{Baseline: second, Warm: 1, Slot: 1, Look: 1, Patience: 20 * second, Lost: 5 * second, Away: 1}})
			use(i, func(p *process, out *fleet.Out) { p.lease.Start(now, out); p.stage.Start(now, out) })
		}
		for i := range n {
			begin(i)
		}
		for ; now < 300*second && !stood; now += tick {
			// A proposal is lost with the process that holds it; an operator then gives it to the next process.
			if at := now / tick; at%(40*second/tick) == 8*second/tick && ended == "" {
				use(int(seed+uint64(at))%n, func(p *process, out *fleet.Out) {
					if err := p.stage.Propose(now, target, out); err != nil && !Refused(err) {
						t.Fatal(err)
					}
				})
			}
			for i, p := range ps {
				if p.stage.conductor.holds && kills > 0 && r.IntN(60) == 0 {
					if kills--; r.IntN(2) == 0 {
						begin(i)
					} else {
						p.cut = now + 4*second
					}
				}
				if (now/tick+int64(i))%10 == 0 && now >= p.cut {
					v := &fleet.View{Self: p.entry.Name}
					for _, q := range ps {
						v.Members = append(v.Members, fleet.Member{Entry: q.entry, Suspect: now < q.cut})
					}
					use(i, func(p *process, out *fleet.Out) { p.lease.View(now, v, out); p.stage.View(now, v, out) })
				}
				use(i, func(p *process, out *fleet.Out) {
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
				case now < ps[from].cut || now < ps[to].cut:
				case x.m.Kind == fleet.Lease:
					use(to, func(p *process, out *fleet.Out) { p.lease.Message(now, x.m, out) })
				default:
					use(to, func(p *process, out *fleet.Out) { p.stage.Message(now, x.m, out) })
				}
			}
			ready := jobs
			jobs = nil
			for _, j := range ready {
				if p := ps[j.who]; now < j.at {
					jobs = append(jobs, j)
				} else if int64(p.entry.Incarnation) == j.life {
					if j.act.What == Conclude {
						p.wrote = target
					}
					use(j.who, func(p *process, out *fleet.Out) { p.stage.Done(now, j.act, nil, out) })
				}
			}
			stood = ended != "" && len(jobs) == 0
			for _, p := range ps {
				stood = stood && p.stage.state == Unchanged && p.stage.watch.over == change
			}
		}
		by := map[uint64]int{}
		for _, p := range ps {
			by[p.stage.running.Change]++
		}
		if !stood || len(by) != 1 || (ended[:6] == "halted") != (by[0] == n) {
			t.Errorf("seed %d: ended %q, processes by change %v, stages %v", seed, ended, by, opened)
		}
		for i := 1; i < len(opened); i++ {
			if opened[i] != opened[i-1]+1 {
				t.Errorf("seed %d: stages %v", seed, opened)
			}
		}
		if worse >= 0 && by[0] != n {
			t.Errorf("seed %d: worse at %s, and not rolled back: %s", seed, stageNames[worse], fmt.Sprint(by))
		}
	}
	if conducted < 10 {
		t.Errorf("another process took over as conductor only %d times", conducted)
	}
}
