package pathcost

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pewterwheel/internal/wire"
)

// Load is what became of calls offered at one rate, open loop.
type Load struct {
	Rate                      int // calls a second
	Offered, Served, Refused  int
	Failed, Unanswered        int
	ServedWaits, RefusedWaits *hdrhistogram.Histogram // microseconds, from when each call was to be sent
	CPU                       time.Duration           // of the program
	Rounds, AtDoor            uint64                  // rounds of the loop; of the refused, those that the door refused
}

// lines is over how many connections calls are offered; each may have 256 open.
const lines = 16

// line is one of the callers' connections: when each of its calls was to be sent, by its number.
type line struct {
	*end
	mu    sync.Mutex // guards writes
	first uint64
	due   []time.Time
	open  int
	load  Load // of this line alone
}

// Jump offers calls at one rate after another, each for so long, whatever comes back, after a steady rate at which the
// program's limits grow. An office answers at once; callers end their calls as they stand.
func Jump(program string, env []string, mode, dir string, steady int, warm time.Duration, rates []int, long, wait time.Duration) ([]Load, error) {
	r, err := start(program, env, mode, dir)
	if err != nil {
		return nil, err
	}
	defer r.stop()
	go r.serveAll()
	ls := make([]*line, lines)
	for i := range ls {
		c, err := net.Dial("tcp4", r.caller.conn.RemoteAddr().String())
		if err != nil {
			return nil, err
		}
		r.closers = append(r.closers, c)
		ls[i] = &line{end: &end{conn: c}}
	}
	if _, err := r.offer(ls, steady, warm, wait); err != nil {
		return nil, err
	}
	var all []Load
	for _, rate := range rates {
		l, err := r.offer(ls, rate, long, wait)
		if err != nil {
			return nil, fmt.Errorf("%d a second: %w", rate, err)
		}
		all = append(all, l)
	}
	return all, nil
}

// serveAll is an office that answers at once and hears every release, a write for each read.
func (r *rig) serveAll() {
	var out []byte
	for {
		out = out[:0]
		for {
			m, k, err := wire.Next(r.office.buf)
			if err != nil || k == 0 {
				break
			}
			r.office.buf = r.office.buf[k:]
			switch m.Type {
			case wire.TypeSetUp:
				out, _ = wire.Message{Type: wire.TypeAnswer, Call: m.Call, Params: []wire.Param{description}}.Append(out)
			case wire.TypeRelease:
				out, _ = wire.Message{Type: wire.TypeHeard, Call: m.Call}.Append(out)
			}
		}
		if len(out) > 0 {
			if _, err := r.office.conn.Write(out); err != nil {
				return
			}
		}
		k, err := r.office.conn.Read(r.office.read[:])
		if err != nil {
			return
		}
		r.office.buf = append(append(make([]byte, 0, len(r.office.buf)+k), r.office.buf...), r.office.read[:k]...)
	}
}

// offer offers calls at a rate for so long, spread over the lines, and waits until all have their answers or could have.
func (r *rig) offer(ls []*line, rate int, long, wait time.Duration) (Load, error) {
	load := func() Load {
		return Load{Rate: rate, ServedWaits: hdrhistogram.New(1, 60_000_000, 3), RefusedWaits: hdrhistogram.New(1, 60_000_000, 3)}
	}
	l := load()
	before, err := r.snapshot()
	if err != nil {
		return l, err
	}
	n := int(long.Seconds()*float64(rate)) / len(ls)
	begin := time.Now().Add(10 * time.Millisecond)
	var sending, reading sync.WaitGroup
	for i, ln := range ls {
		ln.first, ln.open, ln.due, ln.load = r.next+1, n, make([]time.Time, n), load()
		r.next += uint64(n)
		for k := range n {
			ln.due[k] = begin.Add(time.Duration(k*len(ls)+i) * time.Second / time.Duration(rate))
		}
		reading.Go(func() { ln.hear(begin.Add(long + wait + time.Second)) })
		sending.Go(func() { ln.say(r, wait) })
	}
	sending.Wait()
	reading.Wait()
	after, err := r.snapshot()
	for _, ln := range ls {
		l.Served, l.Refused, l.Failed = l.Served+ln.load.Served, l.Refused+ln.load.Refused, l.Failed+ln.load.Failed
		l.Unanswered += ln.open
		l.ServedWaits.Merge(ln.load.ServedWaits)
		l.RefusedWaits.Merge(ln.load.RefusedWaits)
	}
	l.Offered, l.CPU = n*len(ls), after.CPU-before.CPU
	l.AtDoor = after.Counters["refused_at_door"] - before.Counters["refused_at_door"]
	l.Rounds = after.Counters["rounds"] - before.Counters["rounds"]
	return l, err
}

// say sends the line's calls when they are due, what is due at once in one write.
func (ln *line) say(r *rig, wait time.Duration) {
	var out []byte
	for k := 0; k < len(ln.due); {
		time.Sleep(time.Until(ln.due[k]))
		out = out[:0]
		for now := time.Now(); k < len(ln.due) && !ln.due[k].After(now); k++ {
			m := wire.SetUp{Class: r.class, Number: "number/0123456789", Description: description.Value}.Onward(ln.first+uint64(k), wait.Microseconds())
			m.Params = append(m.Params, wire.Text(wire.ParamInfo, "dest:-1;width:1;via:-1"))
			out, _ = m.Append(out)
		}
		if ln.send(out) != nil {
			return // its reader finds the calls unanswered
		}
	}
}

func (ln *line) send(b []byte) error {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	_, err := ln.conn.Write(b)
	return err
}

// hear takes the answers to the line's calls until all are there, or the time is over.
func (ln *line) hear(until time.Time) {
	_ = ln.conn.SetReadDeadline(until)
	l := &ln.load
	var out []byte
	for ln.open > 0 {
		out = out[:0]
		for {
			m, k, err := wire.Next(ln.buf)
			if err != nil || k == 0 {
				break
			}
			ln.buf = ln.buf[k:]
			at := m.Call - ln.first
			if m.Type != wire.TypeAnswer && m.Type != wire.TypeRelease || at >= uint64(len(ln.due)) {
				continue
			}
			took := time.Since(ln.due[at]).Microseconds()
			switch {
			case m.Type == wire.TypeAnswer:
				l.Served++
				_ = l.ServedWaits.RecordValue(took)
				out, _ = wire.ReleaseOf(m.Call, wire.CauseNormal).Append(out)
			case m.Cause() == wire.CauseCongestion:
				l.Refused++
				_ = l.RefusedWaits.RecordValue(took)
			default:
				l.Failed++
			}
			ln.open--
		}
		if len(out) > 0 && ln.send(out) != nil {
			return
		}
		if ln.open == 0 {
			return
		}
		k, err := ln.conn.Read(ln.read[:])
		if err != nil {
			return
		}
		ln.buf = append(append(make([]byte, 0, len(ln.buf)+k), ln.buf...), ln.read[:k]...)
	}
}
