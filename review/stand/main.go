//go:build review

// Command stand plays the cases of the review: stand-ins for callers, offices and the journal service around session
// controllers that it starts with the command of the deploy file.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
	"time"
)

var sockets = 1024

var (
	cleanups []func()
	failing  sync.Mutex // held until the program has ended
)

// fail ends the program: 0 the rule held, 1 it was broken, 2 the case could not run.
func fail(code int, format string, args ...any) {
	failing.Lock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	cleanups = nil
	fmt.Printf(format+"\n", args...)
	os.Exit(code)
}

func main() {
	if len(os.Args) != 3 {
		fail(2, "stand burst|two|crowd|clients|quiet|late|leave|parts RECORD")
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fail(2, "%v", err)
	}
	rec := &recorder{f: f}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fail(2, "%v", err)
	}
	if os.Getenv("KEEP") == "" {
		cleanups = append(cleanups, func() { os.RemoveAll(dir) })
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		fail(2, "interrupted: nothing is judged")
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, trouble %v", os.Args[1], trouble)
	switch os.Args[1] {
	case "burst":
		burst(rec, dir, trouble)
	case "clients":
		clients(rec, dir, trouble)
	case "crowd":
		crowd(rec, dir, trouble)
	case "two":
		two(rec, dir, trouble)
	case "parts":
		parts(rec, dir, trouble)
	case "leave":
		leave(rec, dir, trouble)
	case "late":
		late(rec, dir, trouble)
	case "quiet":
		quiet(rec, dir, trouble)
	}
	fail(2, "no such case")
}

// world starts a journal service and offices, and a controller that knows them.
func world(rec *recorder, dir string, offices int) (*controller, []*office) {
	_, c, list := worldWith(rec, dir, offices)
	return c, list
}

func worldWith(rec *recorder, dir string, offices int) (*journal, *controller, []*office) {
	j, err := newJournal(rec)
	if err != nil {
		fail(2, "%v", err)
	}
	c := &controller{rec: rec, dir: dir, listen: freeAddress(), control: freeAddress(), journal: j.l.Addr().String(), sockets: sockets, memory: 192}
	var list []*office
	for i := range offices {
		o, err := newOffice(fmt.Sprintf("office%d", i), "127.0.0.1:0", rec)
		if err != nil {
			fail(2, "%v", err)
		}
		go o.serve()
		c.offices = append(c.offices, entry{id: uint32(0xa0 + i), address: o.address()})
		list = append(list, o)
	}
	c.start()
	cleanups = append(cleanups, c.kill)
	return j, c, list
}

// traffic makes calls at a rate for a time.
func traffic(c *client, rate float64, duration time.Duration) {
	began := time.Now()
	for n := 0; time.Since(began) < duration; n++ {
		c.call()
		time.Sleep(time.Until(began.Add(time.Duration(float64(n+1) / rate * float64(time.Second)))))
	}
}

// burst: callers' set-ups that wait while the controller is restarted are sent together on the new connection.
func burst(rec *recorder, dir string, trouble bool) {
	c, offices := world(rec, dir, 3)
	for _, o := range offices {
		o.hold = holdings
	}
	cl := newClient("client", "127.0.0.1", rec, c)
	cl.description = 4000
	go cl.front()
	go cl.run()
	cleanups = append(cleanups, cl.stop)
	go func() {
		time.Sleep(10 * time.Second)
		if trouble {
			c.restart(2 * time.Second)
		}
	}()
	traffic(cl, 50, 20*time.Second)
	time.Sleep(4500 * time.Millisecond)
	verdict(rec, cl)
}

func verdict(rec *recorder, cl *client) {
	rec.say("results: %v", cl.sums())
	bad := cl.unanswered(550 * time.Millisecond)
	for _, s := range bad {
		rec.note("verdict", "no final answer", s.id, fmt.Sprintf("lost with its connection: %v, sent again: %v", s.lost, s.resent))
	}
	if len(bad) > 0 {
		rec.say("BROKEN: %d set-ups were taken and have no final answer half a second after their time", len(bad))
		fail(1, "rule broken")
	}
	if cl.sums()["answer"] == 0 {
		fail(2, "no set-up was answered: nothing is judged")
	}
	rec.say("held: every set-up that was taken has its final answer")
	fail(0, "rule held")
}

// holdings is how long a call lasts.
func holdings() time.Duration { return time.Duration(7500+rand.IntN(2500)) * time.Millisecond }

// clients: two clients' calls stand as the controller is restarted, and offices end them afterwards.
func clients(rec *recorder, dir string, trouble bool) {
	c, offices := world(rec, dir, 3)
	for _, o := range offices {
		o.hold = holdings
	}
	list := []*client{newClient("tills", "127.0.0.2", rec, c), newClient("kiosks", "127.0.0.3", rec, c)}
	for _, cl := range list {
		go cl.front()
		go cl.run()
		cleanups = append(cleanups, cl.stop)
		go traffic(cl, 10, 30*time.Second)
	}
	time.Sleep(10 * time.Second)
	if trouble {
		c.restart(300 * time.Millisecond)
	}
	time.Sleep(35 * time.Second)
	ends(rec, offices, list...)
}

// quiet: a client with one call that stands has nothing to ask for after the controller was restarted.
func quiet(rec *recorder, dir string, trouble bool) {
	c, offices := world(rec, dir, 3)
	for _, o := range offices {
		o.hold = holdings
	}
	cl := newClient("client", "127.0.0.1", rec, c)
	go cl.front()
	go cl.run()
	cleanups = append(cleanups, cl.stop)
	traffic(cl, 2, 2500*time.Millisecond)
	time.Sleep(time.Second)
	if trouble {
		c.restart(300 * time.Millisecond)
	}
	time.Sleep(35 * time.Second)
	traffic(cl, 2, 2*time.Second) // and asks again later
	time.Sleep(5 * time.Second)
	ends(rec, offices, cl)
}

// ends judges whether what has stood and is over was released towards its client within 8 s after its end, each time limit
// being 50 ms longer.
func ends(rec *recorder, offices []*office, list ...*client) {
	const limit = 8050 * time.Millisecond
	late, never, foreign, judged := 0, 0, 0, 0
	for _, cl := range list {
		rec.say("%s: %v, %d messages about calls that are not its own", cl.name, cl.sums(), cl.foreign)
		foreign += cl.foreign
		cl.mu.Lock()
		for _, s := range cl.order {
			for _, o := range offices {
				o.mu.Lock()
				at, ended := o.ended[s.id]
				o.mu.Unlock()
				if !s.stands || !ended || time.Since(at) < limit {
					continue
				}
				judged++
				switch {
				case s.over.IsZero():
					never++
					rec.note("verdict", "never released", s.id, fmt.Sprintf("towards %s; %s ended it %.1f s ago", cl.name, o.name, time.Since(at).Seconds()))
				case s.over.Sub(at) > limit:
					late++
					rec.note("verdict", "released late", s.id, fmt.Sprintf("towards %s, %.1f s after its end", cl.name, s.over.Sub(at).Seconds()))
				}
			}
		}
		cl.mu.Unlock()
	}
	if never+late > 0 {
		rec.say("BROKEN: of the calls that stood and are over, %d were never released towards their client, and %d over 8.05 s after their end", never, late)
		fail(1, "rule broken")
	}
	if judged == 0 {
		fail(2, "no call stood and ended: nothing is judged")
	}
	rec.say("held: what stood and is over was released towards its client")
	fail(0, "rule held")
}

// late: an office's process dies and is started anew while the list is late, and other controllers use it at once.
func late(rec *recorder, dir string, trouble bool) {
	j, c, offices := worldWith(rec, dir, 3)
	for _, o := range offices {
		o.hold = holdings
	}
	o := offices[0]
	began := time.Now()
	o.others = func() int { return min(180, 180+0*int(time.Since(began).Seconds())) }
	cl := newClient("client", "127.0.0.1", rec, c)
	go cl.front()
	go cl.run()
	cleanups = append(cleanups, cl.stop)
	go traffic(cl, 0.7, 45*time.Second)
	time.Sleep(12 * time.Second)
	if trouble {
		o.die()
		time.Sleep(800 * time.Millisecond)
		born := time.Now()
		o.others = func() int { return int(8 * time.Since(born).Seconds()) }
		if err := o.again(); err != nil {
			fail(2, "%v", err)
		}
		time.Sleep(9500 * time.Millisecond)
		j.add(entry{id: c.offices[0].id, address: c.offices[0].address, born: born.UnixMilli()})
	}
	time.Sleep(25 * time.Second)
	ends(rec, offices, cl)
}

// crowd: bad clients open connections by hundreds and say nothing, while a quiet client's calls stand.
func crowd(rec *recorder, dir string, trouble bool) {
	sockets = 256
	c, offices := world(rec, dir, 3)
	for _, o := range offices {
		o.hold = holdings
	}
	cl := newClient("client", "127.0.0.1", rec, c)
	go cl.front()
	go cl.run()
	cleanups = append(cleanups, cl.stop)
	traffic(cl, 2, 2500*time.Millisecond)
	time.Sleep(time.Second)
	if trouble {
		silent(rec, c, 400)
	}
	time.Sleep(35 * time.Second)
	traffic(cl, 2, 2*time.Second) // and asks again later
	time.Sleep(5 * time.Second)
	ends(rec, offices, cl)
}

// silent opens connections that say nothing and stay until they are ended.
func silent(rec *recorder, c *controller, n int) {
	rec.note("bad clients", "open connections and say nothing", 0, fmt.Sprint(n))
	for range n {
		go func() {
			conn, err := net.DialTimeout("tcp4", c.listen, time.Second)
			if err != nil {
				rec.note("bad clients", "connection did not come up", 0, err.Error())
				return
			}
			var b [1]byte
			_, _ = conn.Read(b[:])
			_ = conn.Close()
		}()
	}
}

// two: as crowd, with two clients that go on asking.
func two(rec *recorder, dir string, trouble bool) {
	sockets = 256
	c, offices := world(rec, dir, 3)
	for _, o := range offices {
		o.hold, o.work = holdings, 30*time.Millisecond
	}
	list := []*client{newClient("tills", "127.0.0.2", rec, c), newClient("kiosks", "127.0.0.3", rec, c)}
	for _, cl := range list {
		go cl.front()
		go cl.run()
		cleanups = append(cleanups, cl.stop)
		go traffic(cl, 3, 32*time.Second)
	}
	for range 5 {
		time.Sleep(5 * time.Second)
		if trouble {
			silent(rec, c, 500)
		}
	}
	time.Sleep(20 * time.Second)
	ends(rec, offices, list...)
}

// leave: an office hangs through the whole of a shutdown. It tells its free lines when they change.
func leave(rec *recorder, dir string, trouble bool) {
	c, offices := world(rec, dir, 2)
	for _, o := range offices {
		o.hold = holdings
	}
	cl := newClient("client", "127.0.0.1", rec, c)
	go cl.front()
	go cl.run()
	cleanups = append(cleanups, cl.stop)
	go traffic(cl, 5, 30*time.Second)
	time.Sleep(10 * time.Second)
	if trouble {
		offices[0].hang()
		time.Sleep(200 * time.Millisecond)
		c.restart(300 * time.Millisecond)
	}
	time.Sleep(32 * time.Second)
	ends(rec, offices, cl)
}

// parts: an office's processor hangs for good while it goes on telling its free lines; RATE is the calls a second.
func parts(rec *recorder, dir string, trouble bool) {
	rate, err := strconv.ParseFloat(os.Getenv("RATE"), 64)
	if err != nil {
		rate = 5
	}
	c, offices := world(rec, dir, 2)
	for _, o := range offices {
		o.hold = holdings
	}
	offices[0].reports = true
	cl := newClient("client", "127.0.0.1", rec, c)
	go cl.front()
	go cl.run()
	cleanups = append(cleanups, cl.stop)
	go traffic(cl, rate, 30*time.Second)
	time.Sleep(12 * time.Second)
	if trouble {
		offices[0].hang()
	}
	time.Sleep(32 * time.Second)
	ends(rec, offices, cl)
}
