package pathcost

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"pewterwheel/internal/wire"
)

// Case is one kind of call, of which so many are played.
type Case struct {
	Name  string
	Calls int
	play  func(r *rig, n int) error
	// Varies: when the calls go out is the module's to choose, by what it has seen: together, or one by one.
	Varies bool
}

// Cases are all that is counted, in the order in which they are played on one program.
var Cases = []Case{
	{Name: "one at a time", Calls: 1000, play: func(r *rig, n int) error {
		for range n {
			if err := r.pass(1); err != nil {
				return err
			}
		}
		return nil
	}},
	{Name: "64 at once", Calls: 64 * 40, play: func(r *rig, n int) error {
		for range n / 64 {
			if err := r.pass(64); err != nil {
				return err
			}
		}
		return nil
	}},
	{Name: "split in two", Calls: 250, play: func(r *rig, n int) error {
		for i := range n {
			if err := r.pieces(func(len int) []int { return []int{1 + i%(len-1)} }); err != nil {
				return err
			}
		}
		return nil
	}},
	{Name: "one byte a read", Calls: 4, play: func(r *rig, n int) error {
		for range n {
			if err := r.pieces(func(n int) (at []int) {
				for i := 1; i < n; i++ {
					at = append(at, i)
				}
				return at
			}); err != nil {
				return err
			}
		}
		return nil
	}},
	{Name: "given up by the caller", Calls: 60, play: func(r *rig, n int) error {
		for range n {
			m := r.setUp(6 * time.Second)
			if err := r.caller.write(m); err != nil {
				return err
			}
			if _, err := r.office.want(wire.TypeSetUp, 1); err != nil {
				return err
			}
			if err := r.caller.write(wire.ReleaseOf(m.Call, wire.CauseNormal)); err != nil {
				return err
			}
			rel, err := r.office.want(wire.TypeRelease, 1)
			if err != nil {
				return err
			}
			if err := r.heard(rel); err != nil {
				return err
			}
		}
		return nil
	}},
	{Name: "full, then tried again", Calls: 3, play: func(r *rig, n int) error {
		for range n {
			if err := r.caller.write(r.setUp(6 * time.Second)); err != nil {
				return err
			}
			ms, err := r.office.want(wire.TypeSetUp, 1)
			if err != nil {
				return err
			}
			full := wire.ReleaseOf(ms[0].Call, wire.CauseFull)
			full.Params = append(full.Params, wire.Text(wire.ParamNote, wire.NoteOverload))
			if err := r.office.write(full); err != nil {
				return err
			}
			if err := r.serve(1); err != nil {
				return err
			}
		}
		return nil
	}},
	{Name: "timed out", Calls: 4, play: func(r *rig, n int) error {
		for range n {
			if err := r.caller.write(r.setUp(300 * time.Millisecond)); err != nil {
				return err
			}
			if _, err := r.office.want(wire.TypeSetUp, 1); err != nil {
				return err
			}
			if _, err := r.caller.want(wire.TypeRelease, 1); err != nil {
				return err
			}
			rel, err := r.office.want(wire.TypeRelease, 1)
			if err != nil {
				return err
			}
			if err := r.heard(rel); err != nil {
				return err
			}
			time.Sleep(250 * time.Millisecond) // the guard; the next one would be held by it
		}
		return nil
	}},
	{Name: "held, then sent or refused", Calls: 64, play: func(r *rig, n int) error {
		var ms []wire.Message
		for range n {
			ms = append(ms, r.setUp(400*time.Millisecond))
		}
		if err := r.caller.write(ms...); err != nil {
			return err
		}
		_, err := r.caller.want(wire.TypeRelease, n) // the office says nothing
		return err
	}, Varies: true},
}

// Figures are what one call costs, by name.
type Figures map[string]float64

func (f Figures) String() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(f)) {
		fmt.Fprintf(&b, "%s %.2f  ", name, f[name])
	}
	return b.String()
}

// per gives what a play cost a call: the difference of two snapshots, less what the program spends by time alone.
func per(before, after, idle Snapshot, took, idleTook time.Duration, calls int) Figures {
	part := took.Seconds() / idleTook.Seconds()
	f := Figures{}
	add := func(name string, a, b, rest uint64) {
		f[name] = max(0, (float64(b)-float64(a)-float64(rest)*part)/float64(calls))
	}
	add("allocations", before.Allocs, after.Allocs, idle.Allocs)
	add("bytes", before.Bytes, after.Bytes, idle.Bytes)
	add("read calls", before.SysReads, after.SysReads, idle.SysReads)
	add("write calls", before.SysWrites, after.SysWrites, idle.SysWrites)
	f["cpu us"] = float64((after.CPU - before.CPU).Microseconds()) / float64(calls)
	for _, name := range Own {
		add(name, before.Counters[name], after.Counters[name], idle.Counters[name])
	}
	return f
}

// Own are the program's own counters of what it spends.
var Own = []string{"reads", "writes", "rounds", "timers", "copied"}

func minus(a, b Snapshot) Snapshot {
	d := Snapshot{Allocs: a.Allocs - b.Allocs, Bytes: a.Bytes - b.Bytes, SysReads: a.SysReads - b.SysReads, SysWrites: a.SysWrites - b.SysWrites,
		Counters: map[string]uint64{}}
	for name, n := range a.Counters {
		d.Counters[name] = n - b.Counters[name]
	}
	return d
}

// Play plays the cases, all or those named, in one of the ways in which the program runs.
func Play(program string, env []string, mode, dir string, cases []Case) (map[string]Figures, error) {
	r, err := start(program, env, mode, dir)
	if err != nil {
		return nil, err
	}
	defer r.stop()
	for range 300 { // what is made once is made here, and control ends
		if err := r.pass(1); err != nil {
			return nil, fmt.Errorf("warming up: %w", err)
		}
	}
	for range 20 {
		if r.alone {
			break
		}
		if err := r.pass(64); err != nil {
			return nil, fmt.Errorf("warming up: %w", err)
		}
	}
	first, err := r.snapshot()
	if err != nil {
		return nil, err
	}
	const idleTook = time.Second
	time.Sleep(idleTook)
	last, err := r.snapshot()
	if err != nil {
		return nil, err
	}
	idle := minus(last, first)
	all := map[string]Figures{}
	for _, c := range cases {
		before, err := r.snapshot()
		if err != nil {
			return nil, err
		}
		begin := time.Now()
		if err := c.play(r, c.Calls); err != nil {
			return nil, fmt.Errorf("%s, %s: %w", mode, c.Name, err)
		}
		took := time.Since(begin)
		after, err := r.snapshot()
		if err != nil {
			return nil, err
		}
		all[c.Name] = per(before, after, idle, took, idleTook, c.Calls)
	}
	return all, nil
}
