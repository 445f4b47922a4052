package liveness

import "testing"

const second = 1_000_000

// message returns a message on the main connection.
func message(at int64) Message { return Message{At: at, OnMain: true} }

// An office that sends nothing is suspected after half of the time limit and unresponsive after all of it, whatever
// the result of connects.
func TestSilenceIsBounded(t *testing.T) {
	for name, connects := range map[string]func(o *Office, now int64){
		"no other events": func(*Office, int64) {},
		"connections are established and lost": func(o *Office, now int64) {
			o.Connected()
			o.ConnectionLost(now, LostConnection{Opened: now - second/2})
		},
		"connects fail and succeed alternately": func(o *Office, now int64) {
			o.ConnectFailed(now, now%2 == 0)
			o.Connected()
		},
	} {
		var o Office
		o.MessageReceived(message(10 * second))
		suspected, unresponsive := int64(0), int64(0)
		for now := int64(10 * second); now < 30*second && unresponsive == 0; now += second / 10 {
			connects(&o, now)
			if transition, changed := o.Judge(now, Unanswered{}); changed && transition.To == Unresponsive {
				unresponsive = now
			} else if changed && suspected == 0 {
				suspected = now
			}
		}
		if suspected == 0 || suspected > 14*second {
			t.Errorf("%s: suspected at %d us, want within 4 s of the last message at 10 s", name, suspected)
		}
		if unresponsive == 0 || unresponsive > 17*second {
			t.Errorf("%s: unresponsive at %d us, want within 7 s of the last message", name, unresponsive)
		}
	}
}

// A series of failed connects counts from the loss of a connection that lasted, and a message ends it.
func TestFailedConnects(t *testing.T) {
	for _, c := range []struct {
		name    string
		refused bool
		after   int64 // from the loss to the transition
	}{{"refused", true, refusedFor}, {"not established", false, unreachableFor}} {
		var o Office
		o.MessageReceived(message(10 * second))
		o.ConnectionLost(10*second, LostConnection{Opened: second})
		at := int64(0)
		for now := int64(10*second + second/2); at == 0 && now < 30*second; now += second / 2 {
			o.ConnectFailed(now, c.refused)
			if transition, changed := o.Judge(now, Unanswered{}); changed && transition.To == Unresponsive {
				at = now
			}
		}
		if at != 10*second+c.after {
			t.Errorf("%s: unresponsive %d us after the loss, want %d", c.name, at-10*second, c.after)
		}
		if transition, changed := o.MessageReceived(message(at)); !changed ||
			transition.To != Responsive || transition.Reason != MessageReceived {
			t.Errorf("%s: %+v %t by a message, want responsive", c.name, transition, changed)
		}
		o.ConnectFailed(at+1, c.refused)
		if transition, changed := o.Judge(at+1, Unanswered{}); changed {
			t.Errorf("%s: %+v by the first failure after a message", c.name, transition)
		}
	}
}

// A message on a pooled connection shows that the office runs, not that it can be connected to.
func TestPooledConnectionsDoNotProveMainConnection(t *testing.T) {
	var o Office
	o.MessageReceived(message(10 * second))
	o.ConnectionLost(10*second, LostConnection{Opened: second})
	verdict := Transition{}
	for now := int64(10 * second); now <= 20*second; now += second / 2 {
		o.ConnectFailed(now, true)
		o.MessageReceived(Message{At: now})
		if transition, changed := o.Judge(now, Unanswered{}); changed {
			verdict = transition
		}
	}
	if verdict.To != Unresponsive || verdict.Reason != Refused {
		t.Errorf("%+v, want unresponsive because of refused connects", verdict)
	}
}

// Refused connects do not affect calls on pooled connections; silence on all connections does.
func TestSilenceHoldsBesideRefusedConnects(t *testing.T) {
	var o Office
	o.MessageReceived(message(10 * second))
	o.ConnectionLost(10*second, LostConnection{Opened: second})
	var last Transition
	for now := int64(10 * second); now <= 17*second; now += second / 2 {
		o.ConnectFailed(now, true)
		if transition, changed := o.Judge(now, Unanswered{}); changed {
			last = transition
		}
	}
	if last.To != Unresponsive || last.Reason != Silent {
		t.Errorf("%+v after 7 s, want unresponsive because of silence", last)
	}
}

// An office that sends a message now and then is never unresponsive, even if connections to it are lost.
func TestSendingOfficeIsResponsive(t *testing.T) {
	var o Office
	for now := int64(second); now < 120*second; now += second / 10 {
		if now%(6*second) == 0 {
			o.MessageReceived(message(now))
		}
		if now%(11*second) == 0 {
			o.ConnectionLost(now, LostConnection{Opened: now - 5*second})
			o.ConnectFailed(now, true)
			o.Connected()
		}
		if transition, changed := o.Judge(now, Unanswered{}); changed && transition.To == Unresponsive {
			t.Fatalf("%+v at %d us", transition, now)
		}
	}
}

// A probe is due only after half of the time limit, and only if the connection predates the last message.
func TestProbeConnectionDue(t *testing.T) {
	var o Office
	o.MessageReceived(message(10 * second))
	for _, c := range []struct {
		now, opened int64
		want        bool
	}{{13 * second, second, false}, {14 * second, second, true}, {14 * second, 13 * second, false}} {
		if got := o.NeedsProbe(c.now, c.opened); got != c.want {
			t.Errorf("at %d us, opened at %d us: %t, want %t", c.now, c.opened, got, c.want)
		}
	}
}

// A connection is mute when a report is overdue by the usual interval, and never where no office reports.
func TestReportInterval(t *testing.T) {
	var all ReportInterval
	var c Connection
	c.Begin(second)
	if c.IsSilent(100*second, all) {
		t.Error("mute, although no office reports")
	}
	for at := int64(2 * second); at <= 6*second; at += second / 2 {
		c.Report(at, &all)
		c.LastReceived = at
	}
	if all != second/2 || c.ReportInterval != second/2 {
		t.Errorf("learned %d and %d us, want half a second", all, c.ReportInterval)
	}
	for _, x := range []struct {
		now  int64
		want bool
	}{{6*second + second/2, false}, {6*second + second/2 + 99_999, false}, {6*second + second/2 + 100_000, true}} {
		if got := c.IsSilent(x.now, all); got != x.want {
			t.Errorf("%d us after the last report: %t, want %t", x.now-6*second, got, x.want)
		}
	}
	for range 100 {
		all.Observe(1000) // a burst
	}
	if all != second/2 {
		t.Errorf("a burst makes the usual interval %d us", all)
	}
	all.Observe(60 * second) // several were missed
	if all > second {
		t.Errorf("one late report makes the usual interval %d us", all)
	}
}

// An office that reports but leaves set-ups unanswered cannot end its calls. A single set-up that was lost while
// others were answered, or a caller who gave up at once, is no evidence of that.
func TestReportsDoNotProveService(t *testing.T) {
	for _, c := range []struct {
		name             string
		every, out       int64 // interval of the set-ups, and the time after which each is given up
		servedEvery      int64 // interval of other set-ups that are answered; 0: never
		wantUnresponsive bool
	}{
		{"no set-ups", 0, 0, 0, false},
		{"one set-up unanswered", 30 * second, second, 0, false},
		{"set-ups unanswered one after the other", 2 * second, second, 0, true},
		{"set-ups briefly unanswered", second, second / 2, 0, true},
		{"callers give up at once", second / 10, second / 100, 0, false},
		{"some unanswered", 2 * second, second, 3 * second, false},
	} {
		var o Office
		o.MessageReceived(Message{At: 10 * second, Kind: Answer, OnMain: true})
		at := int64(0)
		for now := int64(10*second + second/100); now < 40*second && at == 0; now += second / 100 {
			if now%(second/2) == 0 {
				o.MessageReceived(message(now))
			}
			if c.every != 0 && now%c.every == c.out%c.every && now > 11*second {
				o.SetUpCancelled(now, now-c.out)
			}
			if c.servedEvery != 0 && now%c.servedEvery == 0 {
				o.MessageReceived(Message{At: now, Kind: Answer, OnMain: true})
			}
			if transition, changed := o.Judge(now, Unanswered{}); changed && transition.To == Unresponsive {
				if at = now; transition.Reason != Stalled {
					t.Errorf("%s: %+v, want stalled", c.name, transition)
				}
			}
		}
		if c.wantUnresponsive != (at != 0) || at > 17*second+second/2 {
			t.Errorf("%s: unresponsive at %d us, want %t, by 17.5 s (0: never)", c.name, at, c.wantUnresponsive)
		}
	}
}

// At shutdown of this process doubt suffices, and an office that has no reason to send anything is not in doubt.
func TestDeparting(t *testing.T) {
	for _, c := range []struct {
		name      string
		silent    int64
		usual     ReportInterval
		connected bool
		lost      bool // a set-up is unanswered
		want      bool
	}{
		{"reports in time", second / 2, second / 2, true, false, false},
		{"report overdue", second, second / 2, true, false, true},
		{"reports rarely", 2 * second, 3 * second, true, false, false},
		{"never reports, silent", 3 * second, 0, true, false, false},
		{"never reports, silent for longer", 4 * second, 0, true, false, true},
		{"never reports, no connection", 2 * second, 0, false, false, true},
		{"connection just lost", second / 2, 0, false, false, false},
		{"a set-up is unanswered", 2 * second, 0, true, true, true},
	} {
		var o Office
		o.MessageReceived(Message{At: 10 * second, Kind: Answer, OnMain: true})
		if c.lost {
			o.SetUpCancelled(11*second, 10*second+second/10)
		}
		transition, changed := o.JudgeDeparting(10*second+c.silent,
			ShutdownObservation{ReportInterval: c.usual, Connected: c.connected})
		if changed != c.want || changed && (transition.To != Unresponsive || transition.Reason != Departing) {
			t.Errorf("%s: %+v %t, want %t", c.name, transition, changed, c.want)
		}
	}
}

// At shutdown of this process, an office whose reports continue but whose call processing has sent nothing for a
// while is in doubt; a slow one is not.
func TestDepartingWhileOfficeReports(t *testing.T) {
	for _, c := range []struct {
		name    string
		lost    int // set-ups given up unanswered
		out     int // set-ups outstanding for long
		served  int64
		stalled bool
	}{
		{"answers", 0, 0, second / 2, false},
		{"slow", 0, 2, second, false},
		{"one outstanding", 0, 1, 2 * second, false},
		{"two outstanding", 0, 2, 2 * second, true},
		{"one lost", 1, 0, 2 * second, true},
		{"no set-ups", 0, 0, 5 * second, false},
	} {
		var o Office
		o.MessageReceived(Message{At: 10 * second, Kind: Answer, OnMain: true})
		now := 10*second + c.served
		for range c.lost {
			o.SetUpCancelled(now, 10*second+second/10)
		}
		o.MessageReceived(message(now - second/10))
		seen := ShutdownObservation{ReportInterval: second / 2, Connected: true, Unanswered: c.out}
		if transition, changed := o.JudgeDeparting(now, seen); changed != c.stalled {
			t.Errorf("%s: %+v %t, want %t", c.name, transition, changed, c.stalled)
		}
	}
}

// A set-up that was on its way when the office sent its last message counts as unanswered, like one sent after it.
func TestSetUpSentBeforeLastMessageCounts(t *testing.T) {
	for _, c := range []struct {
		name string
		sent int64 // time before the last message
		want bool
	}{{"just before", second / 10, true}, {"long before, others answered", second, false}} {
		var o Office
		o.MessageReceived(Message{At: 10 * second, Kind: Answer, OnMain: true})
		o.SetUpCancelled(11*second, 10*second-c.sent)
		o.SetUpCancelled(12*second, 11*second)
		o.MessageReceived(message(17 * second))
		transition, changed := o.Judge(17*second, Unanswered{})
		if judged := changed && transition.To == Unresponsive && transition.Reason == Stalled; judged != c.want {
			t.Errorf("%s: %+v, want unresponsive %t", c.name, transition, c.want)
		}
	}
}

// Guards against too little evidence on an office that hangs: one set-up was unanswered, and no other was sent there.
func TestUnansweredSetUpRequestsTrial(t *testing.T) {
	var o Office
	o.MessageReceived(Message{At: 10 * second, Kind: Answer, OnMain: true})
	if o.WantsTrial(12 * second) {
		t.Error("a trial set-up is requested although nothing was left unanswered")
	}
	o.SetUpCancelled(12*second, 11*second)
	asked := 0
	for now := int64(12 * second); now < 30*second; now += second / 50 {
		if o.WantsTrial(now) {
			asked++
		}
	}
	if asked != maxTrials {
		t.Errorf("%d trial set-ups were requested, want %d", asked, maxTrials)
	}
	o.MessageReceived(Message{At: 30 * second, Kind: Answer, OnMain: true})
	if o.WantsTrial(31 * second) {
		t.Error("a trial set-up is requested although the office answered")
	}
}

// An outstanding set-up counts while it is outstanding, and an office that works has some seconds to answer one.
func TestOutstandingSetUpsCount(t *testing.T) {
	for _, c := range []struct {
		name         string
		served, sent int64
		want         int64 // when it becomes unresponsive
	}{
		{"served just before", 10 * second, 10*second + second/10, 10*second + silentAfter},
		{"served long before", 10 * second, 30 * second, 30*second + stalledFor},
	} {
		var o Office
		o.MessageReceived(Message{At: c.served, Kind: Answer, OnMain: true})
		at := int64(0)
		for now := c.sent; now < c.sent+20*second && at == 0; now += second / 50 {
			o.MessageReceived(message(now))
			var out Unanswered
			out.Add(now, o.OutstandingFor(now, c.sent))
			out.Add(now, o.OutstandingFor(now, c.sent))
			if transition, changed := o.Judge(now, out); changed && transition.To == Unresponsive {
				at = now
			}
		}
		if at < c.want || at > c.want+second/50 {
			t.Errorf("%s: unresponsive at %d us, want at %d", c.name, at, c.want)
		}
	}
}

// Ends of calls are queued behind the messages that an office answers: the time limit counts from when the last
// answered set-up was queued.
func TestQueueDelayCounts(t *testing.T) {
	for _, waited := range []int64{second / 100, second, 2 * second, 60 * second} {
		var o Office
		o.MessageReceived(Message{At: 70 * second, Kind: Answer, OnMain: true, SetUpSent: 70*second - waited})
		o.MessageReceived(Message{At: 70*second + second/2, Kind: End, OnMain: true})
		last := 70*second + second/2 - min(waited, maxQueueDelay)
		if transition, changed := o.Judge(last+silentAfter-1, Unanswered{}); changed && transition.To == Unresponsive {
			t.Errorf("delay %d us: %+v too early", waited, transition)
		}
		if transition, changed := o.Judge(last+silentAfter, Unanswered{}); !changed || transition.To != Unresponsive {
			t.Errorf("delay %d us: %+v %t, want unresponsive %d us after the earliest end that may be undelivered",
				waited, transition, changed, int64(silentAfter))
		}
	}
}
