package stage

// Rules are the limits of a change. Times are in microseconds, fractions parts of 1. A zero value stands for the
// default.
type Rules struct {
	Baseline       int64 // time for which figures are gathered before the first process changes: 2 minutes
	WarmUp         int64 // time from the change of a process until its figures count: 30 s
	SlotLength     int64 // length of the intervals over which old and new are compared: 10 s
	MinEvaluation  int64 // minimum time for which a stage is judged: 1 minute
	MaxEvaluation  int64 // maximum time for which a stage without a clear result is judged: 10 minutes
	ApplyTimeout   int64 // time in which a reachable process that was ordered must have changed: 1 minute
	SuspectTimeout int64 // an ordered process that has been suspected for so long is no longer waited for: 20 s
	LeaseTimeout   int64 // time after which a proposal is dropped if the lease is not granted: 30 s
	ResendInterval int64 // interval at which an order is repeated: 1 s
	MaxUnreachable float64
	WaveSize       int     // maximum number of processes that change at the same time: 8, at most MaxWave
	CapacityFactor float64 // required ratio of the capacity that serving processes have shown to the offered load: 1.1
	Alpha          float64 // probability that a harmless change is halted, over all stages and measures: 0.005
	Beta           float64 // probability that a stage passes although a measure is worse by its margin: 0.005
	Margins        Margins
}

// MaxWave is the upper limit of Rules.WaveSize: the record of a change names the processes that are being ordered.
const MaxWave = 16

// Margins are the increases of each measure that must be detected. Increases of up to a quarter of a margin, for
// processor time and memory up to half of it, are tolerated.
type Margins struct {
	Worth   float64 // worth served, as a fraction of the whole: 0.01
	Refused float64 // refused, as a fraction of those offered: 0.005
	Failed  float64 // 0.005
	Late    float64 // 0.005
	WaitP99 float64 // 99th percentile of the waits, relative to the old one: 0.15
	CPU     float64 // processor time per call, relative to the old: 0.10
	Memory  float64 // resident memory, relative to the old: 0.25
	Growth  float64 // growth of memory, bytes a minute: 2.5 MB
}

func setDefault[T int | int64 | float64](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

const second = int64(1_000_000)

// WithDefaults returns the rules with defaults in place of zero values.
func (r Rules) WithDefaults() Rules { return r.withDefaults() }

func (r Rules) withDefaults() Rules {
	setDefault(&r.Baseline, 120*second)
	setDefault(&r.WarmUp, 30*second)
	setDefault(&r.SlotLength, 10*second)
	setDefault(&r.MinEvaluation, 60*second)
	setDefault(&r.MaxEvaluation, 600*second)
	setDefault(&r.ApplyTimeout, 60*second)
	setDefault(&r.SuspectTimeout, 20*second)
	setDefault(&r.LeaseTimeout, 30*second)
	setDefault(&r.ResendInterval, second)
	setDefault(&r.MaxUnreachable, 0.05)
	setDefault(&r.WaveSize, 8)
	r.WaveSize = min(r.WaveSize, MaxWave)
	setDefault(&r.CapacityFactor, 1.1)
	setDefault(&r.Alpha, 0.005)
	setDefault(&r.Beta, 0.005)
	margins := &r.Margins
	setDefault(&margins.Worth, 0.01)
	setDefault(&margins.Refused, 0.005)
	setDefault(&margins.Failed, 0.005)
	setDefault(&margins.Late, 0.005)
	setDefault(&margins.WaitP99, 0.15)
	setDefault(&margins.CPU, 0.10)
	setDefault(&margins.Memory, 0.25)
	setDefault(&margins.Growth, 2.5e6)
	return r
}
