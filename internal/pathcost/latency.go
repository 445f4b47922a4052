package pathcost

import (
	"slices"
	"time"

	"pewterwheel/internal/wire"
)

// Latencies are what callers waited, from when each call was to be sent.
type Latencies struct{ P50, P99, P999 time.Duration }

// Latency offers so many calls a second for so long, whatever comes back, with an office that answers at once.
func Latency(program string, env []string, mode, dir string, rate int, long time.Duration) (l Latencies, err error) {
	r, err := start(program, env, mode, dir)
	if err != nil {
		return l, err
	}
	defer r.stop()
	for range 300 {
		if err := r.pass(1); err != nil {
			return l, err
		}
	}
	calls := int(long.Seconds() * float64(rate))
	due := make([]time.Time, calls)
	waits := make([]time.Duration, 0, calls)
	failed := make(chan error, 3)
	first := r.next + 1
	go func() { // the office
		for range calls {
			ms, err := r.office.want(wire.TypeSetUp, 1)
			if err == nil {
				err = r.answer(ms)
			}
			if err != nil {
				failed <- err
				return
			}
		}
		failed <- nil
	}()
	begin := time.Now()
	for i := range due {
		due[i] = begin.Add(time.Duration(i) * time.Second / time.Duration(rate))
	}
	go func() { // the callers
		for i := range due {
			time.Sleep(time.Until(due[i]))
			if err := r.caller.write(r.setUp(6 * time.Second)); err != nil {
				failed <- err
				return
			}
		}
		failed <- nil
	}()
	for range calls {
		ms, err := r.caller.want(wire.TypeAnswer, 1)
		if err != nil {
			return l, err
		}
		waits = append(waits, time.Since(due[ms[0].Call-first]))
	}
	for range 2 {
		if err := <-failed; err != nil {
			return l, err
		}
	}
	slices.Sort(waits)
	at := func(part float64) time.Duration { return waits[int(part*float64(len(waits)-1))] }
	return Latencies{at(0.5), at(0.99), at(0.999)}, nil
}
