//go:build review

package main

import (
	"syscall"
	"time"
)

func init() {
	cases["quiet-restart"] = quietRestart
	cases["late-list"] = lateList
	cases["many-releases"] = manyReleases
}

// quietRestart: a controller is killed and started again; calls of before end later, at an office to which there is no
// connection any more, because it was idle.
func quietRestart(s *site) bool {
	s.idle = 5 * time.Second
	a, b := newOffice(s.b, "A", 0xa1, 0), newOffice(s.b, "B", 0xb2, 1)
	a.idle, b.idle = s.idle, s.idle
	s.journal = newJournal(s.b, a, b)
	first := s.start("first")
	s.ready(first)
	one := newClient(s.b, "client-1", s.listen)
	stop := make(chan struct{})
	calls := standing(one, 4, 13*time.Second, time.Second)
	time.Sleep(500 * ms)
	if trouble() {
		s.signal(first, syscall.SIGKILL)
		<-first.done
		s.ready(s.start("second"))
	}
	keepAsking(one, 1, 2*time.Second, stop)
	time.Sleep(27 * time.Second)
	close(stop)
	return s.told(calls, ruleEnds)
}

// lateList: an office's process dies and is replaced while the list is further behind than usual.
func lateList(s *site) bool {
	a, b := newOffice(s.b, "A", 0xa1, 0), newOffice(s.b, "B", 0xb2, 1)
	s.journal = newJournal(s.b, a, b)
	s.ready(s.start("first"))
	one := newClient(s.b, "client-1", s.listen)
	stop := make(chan struct{})
	a.take(60)
	calls := standing(one, 2, 20*time.Second, time.Second)
	keepAsking(one, 1, time.Second, stop)
	time.Sleep(3 * time.Second)
	if trouble() {
		started := time.Now()
		a.take(0)
		a.replace(400 * ms)
		go func() { // the other controllers' new calls
			for i := range 100 {
				a.take(i)
				time.Sleep(50 * ms)
			}
		}()
		time.Sleep(time.Until(started.Add(9500 * ms)))
		s.journal.tell(entry{o: a, started: started.Add(400 * ms).UnixMilli()})
	} else {
		time.Sleep(9500 * ms)
	}
	time.Sleep(10 * time.Second)
	close(stop)
	return s.told(calls, ruleEnds)
}

func (o *office) take(lines int) {
	o.mu.Lock()
	o.others = lines
	o.mu.Unlock()
}

// manyReleases: a controller is killed under load. When it is back, its client releases at once the calls that their callers
// ended meanwhile, and goes on releasing the others as they end.
func manyReleases(s *site) bool {
	const rate, lasts, away = 50, 9 * time.Second, 7 * time.Second
	a, b := newOffice(s.b, "A", 0xa1, 0), newOffice(s.b, "B", 0xb2, 1)
	s.journal = newJournal(s.b, a, b)
	first := s.start("first")
	s.ready(first)
	one := newClient(s.b, "client-1", s.listen)
	var calls []*call
	begin := time.Now()
	for i := range rate * 9 {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / rate)))
		// The offices end none: the callers do.
		calls = append(calls, one.call("balance-check", 3*time.Second, i%2, 10*ms, 10*ms, 2*time.Minute))
	}
	if trouble() {
		s.signal(first, syscall.SIGKILL)
		<-first.done
		time.Sleep(away)
		s.ready(s.start("second"))
	}
	for next := 0; next < len(calls); time.Sleep(20 * ms) {
		k := one.connect()
		var out []byte
		due := next
		for ; due < len(calls) && time.Since(calls[due].sent) >= lasts; due++ {
			if s.b.look(calls[due]).answered.IsZero() {
				continue
			}
			s.b.with(calls[due].id, one.name, func(c *call) { c.hungUp = time.Now() })
			out = append(out, release(calls[due].id, 16).bytes()...)
		}
		if len(out) > 0 {
			s.b.note("client-1: releases calls %d to %d, in one write", next, due-1)
			if err := k.write(out, true); err != nil {
				s.b.note("client-1: write: %v", err)
			}
		}
		next = due
	}
	time.Sleep(9 * time.Second)
	stood, left := 0, 0
	for _, c := range calls {
		k := s.b.look(c)
		if k.hungUp.IsZero() {
			continue
		}
		stood++
		if at := k.attempts[len(k.attempts)-1]; at.over.IsZero() || at.over.Sub(k.hungUp) > ruleEnds {
			left++
			s.b.note("call %x: its client released it at %.3f, and it still stands at %s", k.id, s.b.at(k.hungUp), at.office)
		}
	}
	if stood < len(calls)*9/10 {
		fail("only %d of %d calls were set up", stood, len(calls))
	}
	s.b.say("%d calls were released by their client, %d of them are left standing at their office", stood, left)
	return left == 0
}
