package stage

// Rules are the bounds of a change. Times are microseconds, shares parts of 1. A zero value stands for the default.
type Rules struct {
	Baseline int64 // figures are gathered for so long before the first process changes: 2 minutes
	Warm     int64 // a process's figures count so long after it has changed: 30 s
	Slot     int64 // old and new are compared over stretches of so long: 10 s
	Look     int64 // a stage is judged for so long at least: 1 minute
	Most     int64 // a stage that cannot be told is waited for so long at most: 10 minutes
	Patience int64 // a process that was told and is heard must have changed by then: 1 minute
	Lost     int64 // a process that was told and is suspected for so long is no longer waited for: 20 s
	Ask      int64 // a proposal is dropped if the lease is not granted by then: 30 s
	Repeat   int64 // an order is repeated after: 1 s
	Away     float64
	Wave     int     // processes that change at one moment at the most: 8; MaxWave
	Room     float64 // what the serving processes showed they serve must be so many times what is offered: 1.1
	Alpha    float64 // chance that a harmless change is halted by the comparison, over all stages and measures: 0.005
	Beta     float64 // chance that a stage passes though a measure is worse by its margin: 0.005
	Margins  Margins
}

// MaxWave bounds Rules.Wave: the record of a change names those who are being told.
const MaxWave = 16

// Margins are how much worse a measure may be before it must be seen; what is under a tenth of it is let pass.
type Margins struct {
	Worth   float64 // worth served, as a part of the whole: 0.01
	Refused float64 // refused, as a part of those offered: 0.005
	Failed  float64 // 0.005
	Late    float64 // 0.005
	Wait    float64 // 99th percentile of the waits, as a part of the old: 0.15
	CPU     float64 // processor time a call, as a part of the old: 0.10
	Memory  float64 // resident memory, as a part of the old: 0.25
	Growth  float64 // growth of memory, bytes a minute: 2.5 MB
}

func or[T int | int64 | float64](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

const second = int64(1_000_000)

// Whole is the rules with the defaults in place of zero values.
func (r Rules) Whole() Rules { return r.whole() }

func (r Rules) whole() Rules {
	or(&r.Baseline, 120*second)
	or(&r.Warm, 30*second)
	or(&r.Slot, 10*second)
	or(&r.Look, 60*second)
	or(&r.Most, 600*second)
	or(&r.Patience, 60*second)
	or(&r.Lost, 20*second)
	or(&r.Ask, 30*second)
	or(&r.Repeat, second)
	or(&r.Away, 0.05)
	or(&r.Wave, 8)
	r.Wave = min(r.Wave, MaxWave)
	or(&r.Room, 1.1)
	or(&r.Alpha, 0.005)
	or(&r.Beta, 0.005)
	m := &r.Margins
	or(&m.Worth, 0.01)
	or(&m.Refused, 0.005)
	or(&m.Failed, 0.005)
	or(&m.Late, 0.005)
	or(&m.Wait, 0.15)
	or(&m.CPU, 0.10)
	or(&m.Memory, 0.25)
	or(&m.Growth, 2.5e6)
	return r
}
