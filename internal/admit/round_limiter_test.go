package admit

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestSetUpCostEstimate(t *testing.T) {
	var d RoundLimiter
	if got := d.MaxSetUps(500); got != 1166 {
		t.Errorf("a round holds %d before any measurement, want 1166", got)
	}
	for range 200 {
		d.RecordRound(100, 0, 1_000)
	}
	if c := d.Cost(); c < 9.5 || c > 10.5 {
		t.Errorf("a set-up of 10 us has an estimated cost of %.2f", c)
	}
	if a, b, c := d.MaxSetUps(2000), d.MaxSetUps(4000), d.MaxSetUps(100_000); a < 1996 || a > 2000 ||
		b < 1329 || b > 1334 || c != minRoundSetUps {
		t.Errorf("at 10 us a round holds %d of 2000, %d of 4000, %d of 100000", a, b, c)
	}
	d.RecordRound(100, 400, 2_000) // a refusal costs a quarter of a set-up
	if c := d.Cost(); c < 9.5 || c > 10.5 {
		t.Errorf("with refusals, a set-up of 10 us has an estimated cost of %.2f", c)
	}
	d.RecordRound(minMeasuredSetUps-1, 0, 1_000_000) // too few to be measured
	d.RecordRound(100, 0, 0)
	before := d.Cost()
	d.RecordRound(100, 0, 50_000_000) // the process was stalled
	if c := d.Cost(); c <= before || c > 1.5*before {
		t.Errorf("one round of 50 s changes the cost from %.2f to %.2f", before, c)
	}
	for range 50 {
		d.RecordRound(100, 0, 4_000)
	}
	if c := d.Cost(); c < 38 || c > 41 {
		t.Errorf("a set-up of 40 us has an estimated cost of %.2f", c)
	}
	for range 400 {
		d.RecordRound(16, 0, 16_000_000)
	}
	if got := d.MaxSetUps(100); got != minRoundSetUps {
		t.Errorf("at a very high cost a round holds %d, want the minimum", got)
	}
}

// For any offers: none is accepted twice or after its deadline, no more than the maximum of a round are accepted, and
// as many as that if there are enough; no refused offer has a higher worth than an accepted one, or the same worth and
// a later arrival.
func TestJudge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := RoundLimiter{cost: rapid.SampledFrom([]float64{0, 15, 150, 1000}).Draw(t, "cost")}
		const now = 10_000_000
		n := rapid.IntRange(0, 900).Draw(t, "offers")
		kinds := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Candidate {
			return Candidate{ReadAt: now - rapid.Int64Range(0, 3_000_000).Draw(t, "age"),
				Deadline:  now + rapid.Int64Range(-1_000_000, 5_000_000).Draw(t, "left"),
				Aim:       rapid.Int64Range(100_000, 2_000_000).Draw(t, "aim"),
				Worth:     float64(rapid.IntRange(1, 6).Draw(t, "worth")),
				LateWorth: rapid.SampledFrom([]float64{0, 0.1, 0.25, 1}).Draw(t, "late")}
		}), 1, 12).Draw(t, "kinds")
		offers, inTime := make([]Candidate, n), 0
		for i := range offers {
			if offers[i] = kinds[(i*7)%len(kinds)]; offers[i].Deadline > now {
				inTime++
			}
		}
		accepted := slices.Clone(d.Select(now, offers))
		worth := func(o Candidate) float64 {
			if now-o.ReadAt > o.Aim {
				return o.Worth * o.LateWorth
			}
			return o.Worth
		}
		isAccepted := map[int]bool{}
		for _, i := range accepted {
			if isAccepted[i] || offers[i].Deadline <= now {
				t.Fatalf("offer %d (accepted before: %v) is accepted with %d us left", i, isAccepted[i], offers[i].Deadline-now)
			}
			isAccepted[i] = true
		}
		if len(accepted) != min(inTime, d.MaxSetUps(n)) {
			t.Fatalf("%d of %d are accepted, a round holds %d", len(accepted), inTime, d.MaxSetUps(n))
		}
		if inTime <= d.MaxSetUps(n) {
			if !slices.IsSorted(accepted) {
				t.Fatalf("all are accepted, but not in the order of arrival: %v", accepted)
			}
			return
		}
		for i, o := range offers {
			if isAccepted[i] || o.Deadline <= now {
				continue
			}
			for _, acceptedIndex := range accepted {
				if w, v := worth(o), worth(offers[acceptedIndex]); w > v || w == v && o.ReadAt > offers[acceptedIndex].ReadAt {
					t.Fatalf("%+v is refused, but %+v is accepted", o, offers[acceptedIndex])
				}
			}
		}
		for i := 1; i < len(accepted); i++ {
			if a, b := offers[accepted[i-1]], offers[accepted[i]]; worth(a) < worth(b) ||
				worth(a) == worth(b) && a.ReadAt < b.ReadAt {
				t.Fatalf("%+v is placed before %+v", a, b)
			}
		}
	})
}
