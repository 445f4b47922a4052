//go:build review

package main

import (
	"syscall"
	"time"
)

func init() {
	cases["upgrade-ends"] = upgradeEnds
	cases["restart-cut"] = restartCut
}

const ms = time.Millisecond

// keepAsking lets a client ask for a short call every pause until stop, so that its connection is one of a client in use.
func keepAsking(c *client, place int, pause time.Duration, stop <-chan struct{}) {
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
			c.call("balance-check", 3*time.Second, place, 20*ms, 20*ms, 300*ms)
		}
	}()
}

// standing sends calls of a client to the office of place 0, the first of which lasts hold and each further one step more.
func standing(c *client, count int, hold, step time.Duration) (calls []*call) {
	for i := range count {
		calls = append(calls, c.call("balance-check", 3*time.Second, 0, 20*ms, 20*ms, hold+time.Duration(i)*step))
		time.Sleep(20 * ms)
	}
	return calls
}

// upgradeEnds: calls of one client end while a process that is being replaced still waits for another client's slow set-up.
func upgradeEnds(s *site) bool {
	a, b := newOffice(s.b, "A", 0xa1, 0), newOffice(s.b, "B", 0xb2, 1)
	s.journal = newJournal(s.b, a, b)
	first := s.start("first")
	s.ready(first)
	one, two := newClient(s.b, "client-1", s.listen), newClient(s.b, "client-2", s.listen)
	stop := make(chan struct{})
	calls := standing(one, 8, 6450*ms, 100*ms)
	time.Sleep(5 * time.Second)
	if trouble() {
		second := s.start("second")
		s.ready(second)
	}
	// Client 2 keeps its connection with a set-up to the office whose processor is slow.
	two.call("balance-check", 3600*ms, 1, 700*ms, 2800*ms, 2*time.Second)
	time.Sleep(300 * ms)
	if trouble() {
		s.signal(first, syscall.SIGTERM)
	}
	time.Sleep(1500 * ms)
	keepAsking(one, 1, 2*time.Second, stop)
	time.Sleep(4200 * ms)
	if trouble() && !first.ended() {
		s.signal(first, syscall.SIGKILL)
	}
	time.Sleep(13500 * ms) // 5 s after both processes have run, and the 8 s of the rule
	close(stop)
	return s.told(calls, 13050*ms)
}

// restartCut: a planned restart while one set-up waits at a slow office.
func restartCut(s *site) bool {
	a, b := newOffice(s.b, "A", 0xa1, 0), newOffice(s.b, "B", 0xb2, 1)
	s.journal = newJournal(s.b, a, b)
	first := s.start("first")
	s.ready(first)
	one, two := newClient(s.b, "client-1", s.listen), newClient(s.b, "client-2", s.listen)
	stop := make(chan struct{})
	calls := standing(one, 8, 9*time.Second, 100*ms)
	time.Sleep(4 * time.Second)
	two.call("balance-check", 3600*ms, 0, 2800*ms, 2800*ms, 2*time.Second)
	time.Sleep(200 * ms)
	if trouble() {
		s.signal(first, syscall.SIGTERM)
		<-first.done
		s.ready(s.start("second"))
	}
	keepAsking(one, 1, 2*time.Second, stop)
	time.Sleep(15 * time.Second)
	close(stop)
	return s.told(calls, ruleEnds)
}

// ruleEnds is the longest time in which a client has to be told of the end of a call, with the slack of 50 ms on sockets.
const ruleEnds = 8050 * ms

// told tells whether the client of each of the calls that stood and is over was told of that within a time.
func (s *site) told(calls []*call, within time.Duration) bool {
	ok := true
	for _, c := range calls {
		k := s.b.look(c)
		if k.answered.IsZero() || len(k.attempts) == 0 {
			fail("call %x of %s was not set up (%d final answers, cause %d)", k.id, k.client, k.finals, k.cause)
		}
		at := k.attempts[len(k.attempts)-1]
		if at.over.IsZero() {
			fail("call %x of %s has not ended", k.id, k.client)
		}
		late := k.told.IsZero() || k.told.Sub(at.over) > within
		word := ""
		if late {
			ok, word = false, ": late, or left standing"
		}
		s.b.say("call %x of %s: ended at %.3f by %s, client told at %.3f (cause %d)%s", k.id, k.client, s.b.at(at.over), at.by,
			s.b.at(k.told), k.toldCause, word)
	}
	return ok
}
