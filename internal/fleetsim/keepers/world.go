package keepers

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"pewterwheel/decide"
	"pewterwheel/internal/fleet"
	"pewterwheel/internal/keeper"
)

// Config is what a world is made from. Times are microseconds.
type Config struct {
	Processes int
	Numbers   int     // of called numbers
	Lines     int     // of each
	Demand    float64 // times what the lines can bear, of each number
	Stands    int64   // a call stands so long in the mean
	Exchange  int64   // an office answers a set-up after this
	Delay     int64   // between two processes, one way, in the mean
	Loss      float64 // part of messages lost, and as many doubled
	Gossip    int64   // the views are brought up to date so often
	Skew      float64 // how unevenly the processes share the demand; 0: evenly
	Off       bool    // without keepers
	Oracle    bool    // an all-seeing keeper instead: a call is tried when a line is free, else refused
	Spread    int     // processes that a number's calls come to; 0: all
	Turns     int64   // so long one number is asked for, then the next; 0: all at once
	Seed      uint64
	Keeper    keeper.Config // what all have in common
}

// World is processes, offices and callers.
type World struct {
	Cfg    Config
	Now    int64
	Procs  []*Proc
	Court  *Court
	Counts Counts
	// After is called behind each event; it may look, and change nothing.
	After func()

	rng     *rand.Rand
	events  events
	seq     uint64
	lines   []int // in use, by number
	lastUse []int64
	version uint64
	calls   uint64
	name    map[string]int
	names   []string // called numbers
	viewN   uint64
}

// Counts are what became of all calls.
type Counts struct {
	Offered, SetUps, Busy, Served, Refused, Failed uint64
	Messages, Bytes, Lost                          uint64
	Used                                           float64 // line-microseconds in use
	Refusals, Delays                               []int64 // wait of those refused; of those set up under the front
	Notes                                          []Noted
}

// Noted is a note of one process.
type Noted struct {
	At   int64
	Proc string
	fleet.Note
}

// Proc is one process.
type Proc struct {
	W       *World
	Name    string
	Front   *keeper.AdmissionFilter
	Part    *keeper.Module
	Table   *keeper.Table
	Queue   *keeper.Queue
	Lessor  *Lessor
	Dead    bool
	Entry   fleet.Entry
	Suspect bool
	Reaches func(to string) bool // nil: all
	Life    uint64
	stopped int64 // it does nothing before this
	node    session
	calls   map[decide.CallID]*live
	tickAt  int64
	share   float64
}

// session is what decides in a process: a front, or what is behind it alone.
type session interface {
	Step(now int64, e decide.Event, out []decide.Action) []decide.Action
}

type live struct {
	number int
	came   int64
	stands bool
}

// direct sends each call at once, and takes a failed one as failed: what is behind the front.
type direct struct{}

func (direct) Step(_ int64, e decide.Event, out []decide.Action) []decide.Action {
	switch e.Kind {
	case decide.CallArrived:
		return append(out, decide.Action{Kind: decide.Send, Call: e.Call, Server: "o"})
	case decide.AttemptEnded:
		if !e.AnswerGiven {
			return append(out, decide.Action{Kind: decide.Fail, Call: e.Call})
		}
	}
	return out
}

func (direct) Avoids(decide.ServerID) bool { return false }

type event struct {
	at  int64
	seq uint64
	f   func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any     { o := *q; x := o[len(o)-1]; *q = o[:len(o)-1]; return x }

// Settings are those of the one class that all calls have.
func Settings() decide.Settings {
	return decide.Settings{Classes: []decide.Class{{Aim: 500_000, Deadline: 2_000_000, Worth: 1}}, RetryAdvice: true, MaxRetryAfter: 10_000_000}
}

// New returns a world in which the callers have begun to call.
func New(cfg Config) *World {
	w := &World{Cfg: cfg, Now: 1_000_000, Court: NewCourt(), rng: rand.New(rand.NewPCG(cfg.Seed, 7)), lines: make([]int, cfg.Numbers),
		lastUse: make([]int64, cfg.Numbers), name: map[string]int{}}
	for i := range cfg.Numbers {
		w.names = append(w.names, fmt.Sprintf("0800%07d", i))
		w.name[w.names[i]] = i
	}
	sum := 0.0
	for i := range cfg.Processes {
		p := &Proc{W: w, Name: fmt.Sprintf("p%04d", i), share: math.Exp(cfg.Skew * w.rng.NormFloat64())}
		sum += p.share
		w.Procs = append(w.Procs, p)
		p.Begin()
	}
	for _, p := range w.Procs {
		p.share /= sum
	}
	w.view()
	w.order()
	return w
}

// Begin starts a life of a process.
func (p *Proc) Begin() {
	w := p.W
	p.Life++
	p.Dead, p.calls, p.tickAt = false, map[decide.CallID]*live{}, 0
	w.version++
	p.Entry = fleet.Entry{Name: p.Name, Incarnation: p.Life, Version: w.version, State: fleet.Serving}
	p.node = direct{}
	if w.Cfg.Off || w.Cfg.Oracle {
		return
	}
	cfg := w.Cfg.Keeper
	cfg.PollInterval = max(cfg.PollInterval, 250_000) // parts are woken
	cfg.Self, cfg.Incarnation = p.Name, p.Life
	p.Lessor = &Lessor{Court: w.Court, Name: p.Name}
	cfg.Lessor = p.Lessor
	p.Table, p.Queue = keeper.NewTable(), keeper.NewQueue(4096)
	p.Front = keeper.NewAdmissionFilter(cfg, Settings(), direct{}, p.Table, p.Queue)
	part, err := keeper.New(cfg, p.Table, p.Queue)
	if err != nil {
		panic(err) // the world's own configuration
	}
	p.Part, p.node = part, p.Front
	p.drive(func(out *fleet.Out) { p.Part.Start(w.Now, out) })
}

// Stop has a process do nothing for a while, and then take up what has come meanwhile.
func (p *Proc) Stop(d int64) { p.stopped = p.W.Now + d }

// awake does something when the process is not stopped; it may be another life by then.
func (p *Proc) awake(f func()) {
	if p.W.Now >= p.stopped {
		f()
		return
	}
	p.W.after(p.stopped-p.W.Now, func() { p.awake(f) })
}

// Kill ends a process at once: its calls end, too, and free their lines.
func (p *Proc) Kill() {
	p.Dead = true
	for id, c := range p.calls { // lines are counted, in any order
		if c.stands {
			p.W.use(c.number, -1)
		}
		delete(p.calls, id)
	}
	p.Lessor.wants = nil
}

func (w *World) after(d int64, f func()) {
	w.seq++
	heap.Push(&w.events, event{w.Now + max(0, d), w.seq, f})
}

// Later has something done after a while.
func (w *World) Later(d int64, f func()) { w.after(d, f) }

// Run plays on until a time.
func (w *World) Run(until int64) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.Now = e.at
		e.f()
		if w.After != nil {
			w.After()
		}
	}
	w.Now = until
	for i := range w.lines {
		w.use(i, 0)
	}
}

// use counts lines in use.
func (w *World) use(number, by int) {
	w.Counts.Used += float64(w.lines[number]) * float64(w.Now-w.lastUse[number])
	w.lastUse[number] = w.Now
	w.lines[number] += by
}

// Holds is the lines that all processes hold of a number, and might still take: calls and set-ups under permits, and
// permits in hand.
func (w *World) Holds(number int) (n int64) {
	for _, p := range w.Procs {
		if p.Table != nil && !p.Dead {
			open, _, permits := p.Table.HeldLines(w.Now, w.names[number])
			n += open + permits
		}
	}
	return n
}

// Noted is the notes of one kind.
func (w *World) Noted(what string) (notes []Noted) {
	for _, n := range w.Counts.Notes {
		if n.What == what {
			notes = append(notes, n)
		}
	}
	return notes
}

// Keeper is the process that holds a number's lease now; nil: none does.
func (w *World) Keeper(number int) *Proc {
	name, _ := (&Lessor{Court: w.Court}).Holder("number/" + w.names[number])
	for _, p := range w.Procs {
		if p.Name == name && !p.Dead {
			return p
		}
	}
	return nil
}

// Lease is until when a number's lease lasts, and its fence.
func (w *World) Lease(number int) (until int64, fence uint64) {
	if h := w.Court.things["number/"+w.names[number]]; h != nil {
		return h.until, h.fence
	}
	return 0, 0
}

// SetLines gives all numbers an other count of lines.
func (w *World) SetLines(n int) { w.Cfg.Lines = n }

// view brings the newest entries to all.
func (w *World) view() {
	w.viewN++
	v := &fleet.View{Number: w.viewN}
	for _, p := range w.Procs {
		if !p.Dead || p.Suspect {
			v.Members = append(v.Members, fleet.Member{Entry: p.Entry, Suspect: p.Suspect})
		}
	}
	for _, p := range w.Procs {
		if p.Part != nil && !p.Dead {
			w.after(w.rng.Int64N(w.Cfg.Gossip/2), func() {
				p.awake(func() {
					if !p.Dead {
						p.drive(func(out *fleet.Out) { p.Part.View(w.Now, v, out) })
					}
				})
			})
		}
	}
	w.after(w.Cfg.Gossip, w.view)
}

// order has the next call come.
func (w *World) order() {
	rate := w.Cfg.Demand * float64(w.Cfg.Lines) / float64(w.Cfg.Stands) // of one number
	n := w.rng.IntN(w.Cfg.Numbers)
	if w.Cfg.Turns > 0 {
		n = int(w.Now/w.Cfg.Turns) % w.Cfg.Numbers
	} else {
		rate *= float64(w.Cfg.Numbers)
	}
	x := w.rng.Float64()
	i := 0
	for i < len(w.Procs)-1 && x >= w.Procs[i].share {
		x -= w.Procs[i].share
		i++
	}
	if w.Cfg.Spread > 0 {
		i = (n*7919 + w.rng.IntN(w.Cfg.Spread)) % len(w.Procs)
	}
	p := w.Procs[i]
	p.awake(func() {
		if !p.Dead {
			p.call(n)
		}
	})
	w.after(int64(w.rng.ExpFloat64()/rate), w.order)
}

func (p *Proc) call(number int) {
	w := p.W
	w.calls++
	w.Counts.Offered++
	id := decide.CallID(w.calls)
	p.calls[id] = &live{number: number, came: w.Now}
	if w.Cfg.Oracle && w.lines[number] >= w.Cfg.Lines {
		w.Counts.Refused++
		delete(p.calls, id)
		return
	}
	p.step(decide.Event{Kind: decide.CallArrived, Call: id, Key: w.names[number], Deadline: w.Now + 2_000_000})
}

// step has the loop take one event.
func (p *Proc) step(e decide.Event) {
	w := p.W
	if p.Dead {
		return
	}
	acts := p.node.Step(w.Now, e, nil)
	for _, a := range acts {
		c := p.calls[a.Call]
		switch a.Kind {
		case decide.Send:
			p.send(a.Call, c)
		case decide.Refuse, decide.Fail:
			if a.Kind == decide.Refuse {
				w.Counts.Refused++
				w.Counts.Refusals = append(w.Counts.Refusals, w.Now-c.came)
			} else {
				w.Counts.Failed++
			}
			delete(p.calls, a.Call)
		case decide.StartTimer:
			w.after((a.Wait+4_999)/5_000*5_000, func() { p.awake(func() { p.step(decide.Event{Kind: decide.TimerFired, Token: a.Token}) }) })
		}
	}
	if p.Queue != nil {
		select {
		case <-p.Queue.Wake():
			p.plan(w.Now + 50)
		default:
		}
	}
}

func (p *Proc) send(id decide.CallID, c *live) {
	w, life := p.W, p.Life
	w.Counts.SetUps++
	w.Counts.Delays = append(w.Counts.Delays, w.Now-c.came)
	w.after(w.Cfg.Exchange/2, func() {
		busy := w.lines[c.number] >= w.Cfg.Lines || p.Dead || p.Life != life
		if !busy {
			w.use(c.number, 1)
			c.stands = true
		}
		w.after(w.Cfg.Exchange/2, func() { p.awake(func() { p.reply(id, c, busy, life) }) })
	})
}

// reply brings an office's answer.
func (p *Proc) reply(id decide.CallID, c *live, busy bool, life uint64) {
	w := p.W
	if p.Dead || p.Life != life {
		return
	}
	if busy {
		w.Counts.Busy++
		p.step(decide.Event{Kind: decide.AttemptEnded, Call: id, Server: "o", Outcome: decide.Failed, NumberBusy: true, Key: w.names[c.number]})
		delete(p.calls, id)
		return
	}
	w.Counts.Served++
	p.step(decide.Event{Kind: decide.SetUpCompleted, Call: id, Server: "o"})
	w.after(int64(w.rng.ExpFloat64()*float64(w.Cfg.Stands)), func() {
		if p.Dead || p.Life != life {
			return
		}
		w.use(c.number, -1)
		w.after(w.Cfg.Exchange/2, func() {
			p.awake(func() {
				if p.Life == life {
					p.step(decide.Event{Kind: decide.CallEnded, Call: id})
					delete(p.calls, id)
				}
			})
		})
	})
}

// Drive has the part do something, and carries out what it wants done.
func (p *Proc) Drive(f func(out *fleet.Out)) { p.drive(f) }

func (p *Proc) drive(f func(out *fleet.Out)) {
	w := p.W
	var out fleet.Out
	f(&out)
	for kind, body := range out.Parts { // there is one kind
		w.version++
		p.Entry.Version = w.version
		p.Entry.Parts = map[fleet.Kind][]byte{kind: body}
	}
	for _, n := range out.Notes {
		w.Counts.Notes = append(w.Counts.Notes, Noted{w.Now, p.Name, n})
	}
	for _, m := range out.Send {
		if len(m.Body) > fleet.MaxBody {
			panic("a message over its bound")
		}
		w.Counts.Messages++
		w.Counts.Bytes += uint64(len(m.Body))
		i, ok := slices.BinarySearchFunc(w.Procs, m.To, func(p *Proc, name string) int {
			if p.Name < name {
				return -1
			} else if p.Name > name {
				return 1
			}
			return 0
		})
		if !ok {
			continue
		}
		to := w.Procs[i]
		for n := w.copies(); n > 0; n-- {
			if p.Reaches != nil && !p.Reaches(m.To) || to.Reaches != nil && !to.Reaches(p.Name) {
				w.Counts.Lost++
				break
			}
			delay := w.Cfg.Delay/2 + int64(w.rng.ExpFloat64()*float64(w.Cfg.Delay)/2)
			w.after(delay, func() {
				to.awake(func() {
					if !to.Dead {
						to.drive(func(out *fleet.Out) { to.Part.Message(w.Now, m, out) })
					}
				})
			})
		}
	}
	p.plan(p.Part.Next())
}

// copies is how many of one message arrive.
func (w *World) copies() int {
	switch x := w.rng.Float64(); {
	case x < w.Cfg.Loss:
		w.Counts.Lost++
		return 0
	case x < 2*w.Cfg.Loss:
		return 2
	}
	return 1
}

// plan has the part's next tick come.
func (p *Proc) plan(at int64) {
	w := p.W
	if at == math.MaxInt64 || p.tickAt > w.Now && p.tickAt <= at {
		return
	}
	at = max(at, w.Now+1)
	p.tickAt = at
	life := p.Life
	w.after(at-w.Now, func() {
		p.awake(func() {
			if p.Dead || p.Life != life || p.tickAt != at {
				return
			}
			p.tickAt = 0
			p.drive(func(out *fleet.Out) { p.Part.Tick(w.Now, out) })
		})
	})
}
