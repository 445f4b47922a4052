package liveness

import "testing"

// countEstablishedAt counts calls by the times at which they were established.
func countEstablishedAt(times ...int64) CountEstablished {
	return func(from, to int64) int {
		n := 0
		for _, at := range times {
			if at >= from && at < to {
				n++
			}
		}
		return n
	}
}

// Calls of a process that has ended are over 7 s after its last message, where connects were refused before the next
// connection and the list could not be received; messages of the next process do not extend the time.
func TestRestarted(t *testing.T) {
	for _, c := range []struct {
		name    string
		refused bool
		lost    int64 // when the list was last unreachable
		want    bool
	}{
		{"list received", true, 0, false},
		{"list unreachable long ago", true, 2 * second, false},
		{"list unreachable", true, 12 * second, true},
		{"connects not established", false, 12 * second, false},
	} {
		var o Office
		o.MessageReceived(message(9 * second))
		o.ConnectionLost(10*second, LostConnection{Opened: second})
		o.ConnectFailed(10*second+second/10, c.refused)
		o.Connected()
		o.MessageReceived(message(11 * second))
		list := ListReception{LastUnreachable: c.lost}
		established := countEstablishedAt(8 * second)
		o.MessageReceived(message(16*second - 1))
		if _, over := o.Restarted(16*second-1, list, established, false); over {
			t.Errorf("%s: over before the list could have announced it", c.name)
		}
		restart, over := o.Restarted(16*second, list, established, false)
		if over != c.want || over && (restart.Before != 10*second || restart.Evidence != RefusedBlind) {
			t.Errorf("%s: %+v over: %t, want %t for calls from before 10 s", c.name, restart, over, c.want)
		}
		if _, again := o.Restarted(18*second, list, established, false); again {
			t.Errorf("%s: reported twice", c.name)
		}
	}
}

// A process that was killed twice leaves calls of two earlier processes, each with a time limit of its own.
func TestRestartedTwice(t *testing.T) {
	var o Office
	for i := int64(0); i < 2; i++ {
		o.MessageReceived(message((10 + 2*i) * second))
		o.ConnectionLost((11+2*i)*second, LostConnection{Opened: second})
		o.ConnectFailed((11+2*i)*second+second/10, true)
	}
	o.MessageReceived(message(14 * second))
	established := countEstablishedAt(9*second, 12*second+second/2)
	list := ListReception{LastUnreachable: 14 * second}
	want := []int64{11 * second, 13 * second}
	for now := int64(14 * second); now <= 19*second; now += second / 10 {
		o.MessageReceived(message(now))
		restart, over := o.Restarted(now, list, established, false)
		if !over {
			continue
		}
		if len(want) == 0 || restart.Before != want[0] || now > restart.LastMessage+releaseAfter {
			t.Fatalf("%+v over at %d us, want calls from before %v 7 s after the last message", restart, now, want)
		}
		want = want[1:]
	}
	if len(want) > 0 {
		t.Errorf("calls from before %v were never over", want)
	}
}

// An office that ends a call from before an outage is still the same process; one that ends a call from after it may
// be another.
func TestEndOfAnOlderCallRefutesARestart(t *testing.T) {
	for _, c := range []struct {
		name          string
		since, opened int64
		at            int64
		want          bool // restarted
	}{
		{"call from before", 9 * second, 11 * second, 12 * second, false},
		{"call from before, at once on the next connection",
			9 * second, 10*second + second/20, 10*second + second/10, false},
		{"call from after", 11*second + second/2, 11 * second, 12 * second, true},
		{"call from before, end read late on another connection", 9 * second, second, 10*second + second/10, true},
	} {
		var o Office
		o.MessageReceived(message(10 * second))
		o.ConnectionLost(10*second, LostConnection{Opened: second})
		o.ConnectFailed(10*second+second/20, true)
		o.MessageReceived(message(10*second + second/10))
		o.CallEnded(c.at, Call{Since: c.since}, c.opened)
		list := ListReception{LastUnreachable: 10 * second}
		if _, over := o.Restarted(13*second, list, countEstablishedAt(9*second), false); over {
			t.Errorf("%s: restarted 3 s after the last message", c.name)
		}
		if _, over := o.Restarted(17*second, list, countEstablishedAt(9*second), false); over != c.want {
			t.Errorf("%s: restarted %t, want %t", c.name, over, c.want)
		}
	}
}

// A report of fewer lines in use than calls are established shows another process, unless the office's reports
// already contradicted the established calls before.
func TestFewerLinesInUse(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after []int
		want          bool
	}{
		{"fewer", []int{5}, []int{1}, true},
		{"as many", []int{5}, []int{3}, false},
		{"more, by calls of other senders", []int{5}, []int{9}, false},
		{"fewer at first", []int{5}, []int{1, 3}, false},
		{"fewer always", []int{0}, []int{0}, false},
		{"none before", nil, []int{0}, true},
	} {
		var o Office
		established := countEstablishedAt(8*second, 8*second+1, 8*second+2)
		o.MessageReceived(message(9 * second))
		for _, lines := range c.before {
			o.LinesInUse(9*second, lines, established)
		}
		o.ConnectionLost(10*second, LostConnection{Opened: second})
		for i, lines := range c.after {
			at := 10*second + int64(i+1)*second/5
			o.MessageReceived(message(at))
			o.LinesInUse(at, lines, established)
		}
		restart, over := o.Restarted(17*second, ListReception{}, established, false)
		if over != c.want || over && restart.Evidence != FewerLines {
			t.Errorf("%s: %+v %t, want %t", c.name, restart, over, c.want)
		}
	}
}

// Guards against forgetting a report of fewer lines: new calls of all senders soon take as many lines as the old ones
// did, before the old calls are due to be released.
func TestFewerLinesInUseAreRemembered(t *testing.T) {
	for _, secondReport := range []int64{second, 5 * second} {
		var o Office
		established := countEstablishedAt(8*second, 8*second+1, 8*second+2)
		o.MessageReceived(message(10 * second))
		o.ConnectionLost(10*second, LostConnection{Opened: second})
		over := false
		for now := int64(10*second + second/10); now <= 17*second; now += second / 10 {
			o.MessageReceived(message(now))
			if now == 10*second+second/10 {
				o.LinesInUse(now, 0, established)
			} else if now >= 10*second+secondReport {
				o.LinesInUse(now, 9, established)
			}
			if _, restarted := o.Restarted(now, ListReception{}, established, false); restarted && now == 17*second {
				over = true
			}
		}
		if !over {
			t.Errorf("second report after %d us: the calls from before are not over 7 s after the last message",
				secondReport)
		}
	}
}

// An office whose process survives first reports on a new connection, and then sends the releases that became due
// meanwhile.
func TestFewerLinesInUseUntilReleasesCome(t *testing.T) {
	var o Office
	o.MessageReceived(message(10 * second))
	o.ConnectionLost(10*second, LostConnection{Opened: second})
	o.MessageReceived(message(14 * second))
	o.LinesInUse(14*second, 1, countEstablishedAt(8*second, 8*second+1, 8*second+2))
	left := countEstablishedAt(8 * second)
	for now := int64(14 * second); now <= 20*second; now += second / 10 {
		o.MessageReceived(message(now))
		if restart, over := o.Restarted(now, ListReception{}, left, false); over {
			t.Fatalf("%+v at %d us, although as many calls are established as lines are in use", restart, now)
		}
	}
}

// A process that is replaced by a third one before its second report is detected by the first report of the third.
func TestFewerLinesInUseTwice(t *testing.T) {
	var o Office
	established := countEstablishedAt(8*second, 8*second+1, 10*second+second/2, 10*second+second/2+1)
	o.MessageReceived(message(9 * second))
	for _, at := range []int64{10 * second, 12 * second} {
		o.ConnectionLost(at, LostConnection{Opened: at - second})
		o.MessageReceived(message(at + second/5))
		o.LinesInUse(at+second/5, 0, established)
	}
	for _, c := range []struct{ now, before int64 }{{16 * second, 10 * second}, {17*second + second/5, 12 * second}} {
		o.MessageReceived(message(c.now))
		if restart, over := o.Restarted(c.now, ListReception{}, established, false); !over || restart.Before != c.before {
			t.Errorf("%+v %t at %d us, want calls from before %d us over", restart, over, c.now, c.before)
		}
	}
}

// If many calls ended each second before a loss and none of as many earlier calls ends after it, their process is
// gone.
func TestNoEndsAfterConnectionLoss(t *testing.T) {
	for _, c := range []struct {
		name        string
		ended       int
		established int
		age         int64 // of the calls, at the loss
		want        bool
	}{
		{"many ended, many young calls established", 40, 40, second, true},
		{"few ended", 5, 40, second, false},
		{"few established", 40, 5, second, false},
		{"old calls established", 40, 40, 20 * second, false},
	} {
		var o Office
		o.MessageReceived(message(10 * second))
		for range c.ended {
			o.CallEnded(28*second, Call{Since: 27 * second}, second)
		}
		o.MessageReceived(message(30 * second))
		o.ConnectionLost(30*second+second/10, LostConnection{Opened: second})
		var times []int64
		for range c.established {
			times = append(times, 30*second-c.age)
		}
		o.MessageReceived(message(30*second + second/5))
		if _, over := o.Restarted(37*second-1, ListReception{}, countEstablishedAt(times...), false); over {
			t.Errorf("%s: over before 7 s", c.name)
		}
		restart, over := o.Restarted(37*second, ListReception{}, countEstablishedAt(times...), false)
		if over != c.want || over && restart.Evidence != NoEnds {
			t.Errorf("%s: %+v %t, want %t", c.name, restart, over, c.want)
		}
	}
}

// When this process shuts down, nobody can gather more evidence: a refused connect suffices.
func TestRestartedAtShutdown(t *testing.T) {
	for _, refused := range []bool{true, false} {
		var o Office
		o.MessageReceived(message(10 * second))
		o.ConnectionLost(10*second, LostConnection{Opened: second})
		o.ConnectFailed(10*second+second/10, refused)
		o.MessageReceived(message(11 * second))
		if _, over := o.Restarted(12*second, ListReception{}, countEstablishedAt(9*second), true); over != refused {
			t.Errorf("refused %t: restarted %t", refused, over)
		}
	}
}

// The number of outages kept is bounded, however often connections are lost.
func TestOutagesAreBounded(t *testing.T) {
	var o Office
	for at := int64(second); at < 200*second; at += second {
		o.MessageReceived(message(at))
		o.ConnectionLost(at+second/2, LostConnection{Opened: at})
	}
	if len(o.outages) > maxOutages {
		t.Errorf("%d outages are kept, want %d at most", len(o.outages), maxOutages)
	}
}

// A process that replaced a killed one loses its connection before the calls of the killed one are released. Guards
// against cutting the calls of the new process with them, because they do not take the lines of the old ones.
func TestFewerLinesInUseByPreviousProcess(t *testing.T) {
	var o Office
	killed, reset := int64(10*second), int64(12*second)
	of := func(now int64) CountEstablished {
		first := countEstablishedAt(8*second, 8*second+1, 8*second+2)
		own := countEstablishedAt(11*second, 11*second+1)
		return func(from, to int64) int {
			n := own(from, min(to, now))
			if now < 17*second+second/10 {
				n += first(from, to)
			}
			return n
		}
	}
	o.MessageReceived(Message{At: 10 * second, Kind: Answer, OnMain: true})
	o.ConnectionLost(killed, LostConnection{Opened: second})
	o.MessageReceived(message(killed + second/10))
	o.LinesInUse(killed+second/10, 0, of(killed+second/10))
	for now := killed + second/10; now < 30*second; now += second / 10 {
		if now == reset {
			o.ConnectionLost(reset, LostConnection{Opened: killed + second/10})
		}
		o.MessageReceived(message(now + 1))
		if now > 11*second {
			o.LinesInUse(now+1, 2, of(now))
		}
		if restart, over := o.Restarted(now+2, ListReception{}, of(now), false); over && restart.Before != killed {
			t.Fatalf("%+v at %d us, although the process of these calls runs and reports both", restart, now)
		}
	}
}
