package admit

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestCostIsLearnt(t *testing.T) {
	var d Door
	if got := d.Most(500); got != 1166 {
		t.Errorf("at first a round holds %d", got)
	}
	for range 200 {
		d.Took(100, 0, 1_000)
	}
	if c := d.Cost(); c < 9.5 || c > 10.5 {
		t.Errorf("a set-up at 10 us is taken to cost %.2f", c)
	}
	if a, b, c := d.Most(2000), d.Most(4000), d.Most(100_000); a < 1996 || a > 2000 || b < 1329 || b > 1334 || c != leastRound {
		t.Errorf("at 10 us a round holds %d of 2000, %d of 4000, %d of 100000", a, b, c)
	}
	d.Took(100, 400, 2_000) // refusals at a quarter of the price
	if c := d.Cost(); c < 9.5 || c > 10.5 {
		t.Errorf("with refusals a set-up at 10 us is taken to cost %.2f", c)
	}
	d.Took(countsFrom-1, 0, 1_000_000) // tells nothing
	d.Took(100, 0, 0)
	before := d.Cost()
	d.Took(100, 0, 50_000_000) // the process stood still
	if c := d.Cost(); c <= before || c > 1.5*before {
		t.Errorf("one round of 50 s moves the cost from %.2f to %.2f", before, c)
	}
	for range 50 {
		d.Took(100, 0, 4_000)
	}
	if c := d.Cost(); c < 38 || c > 41 {
		t.Errorf("at 40 us it is taken to cost %.2f", c)
	}
	for range 400 {
		d.Took(16, 0, 16_000_000)
	}
	if got := d.Most(100); got != leastRound {
		t.Errorf("however dear, a round holds %d", got)
	}
}

// Whatever is offered: nobody is taken twice, none whose time is up, no more than a round holds, as many as it holds if there
// are; and nobody is refused who is worth more, or as much and newer, than one that is taken.
func TestJudge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := Door{cost: rapid.SampledFrom([]float64{0, 15, 150, 1000}).Draw(t, "cost")}
		const now = 10_000_000
		n := rapid.IntRange(0, 900).Draw(t, "offers")
		kinds := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Offer {
			return Offer{At: now - rapid.Int64Range(0, 3_000_000).Draw(t, "age"), Deadline: now + rapid.Int64Range(-1_000_000, 5_000_000).Draw(t, "left"),
				Aim: rapid.Int64Range(100_000, 2_000_000).Draw(t, "aim"), Worth: float64(rapid.IntRange(1, 6).Draw(t, "worth")),
				LateWorth: rapid.SampledFrom([]float64{0, 0.1, 0.25, 1}).Draw(t, "late")}
		}), 1, 12).Draw(t, "kinds")
		offers, alive := make([]Offer, n), 0
		for i := range offers {
			if offers[i] = kinds[(i*7)%len(kinds)]; offers[i].Deadline > now {
				alive++
			}
		}
		taken := slices.Clone(d.Judge(now, offers))
		worth := func(o Offer) float64 {
			if now-o.At > o.Aim {
				return o.Worth * o.LateWorth
			}
			return o.Worth
		}
		in := map[int]bool{}
		for _, i := range taken {
			if in[i] || offers[i].Deadline <= now {
				t.Fatalf("offer %d, taken before: %v, is taken with %d us left", i, in[i], offers[i].Deadline-now)
			}
			in[i] = true
		}
		if len(taken) != min(alive, d.Most(n)) {
			t.Fatalf("%d of %d are taken, a round holds %d", len(taken), alive, d.Most(n))
		}
		if alive <= d.Most(n) {
			if !slices.IsSorted(taken) {
				t.Fatalf("there is room for all, and they change places: %v", taken)
			}
			return
		}
		for i, o := range offers {
			if in[i] || o.Deadline <= now {
				continue
			}
			for _, k := range taken {
				if w, v := worth(o), worth(offers[k]); w > v || w == v && o.At > offers[k].At {
					t.Fatalf("%+v is refused, and %+v is taken", o, offers[k])
				}
			}
		}
		for i := 1; i < len(taken); i++ {
			if a, b := offers[taken[i-1]], offers[taken[i]]; worth(a) < worth(b) || worth(a) == worth(b) && a.At < b.At {
				t.Fatalf("%+v goes before %+v", a, b)
			}
		}
	})
}
