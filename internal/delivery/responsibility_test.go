package delivery

import "testing"

const second = 1_000 * millisecond

// closedConnection returns a connection that has ended.
func closedConnection() *Connection {
	conn := (&Log{}).Open(0)
	(&Log{}).Close(&conn, true, 0)
	return &conn
}

// Guards against a process that shuts down and releases calls whose clients it has disconnected, so that nobody tells
// them, and against one that leaves calls at an office in doubt standing while their clients are still connected.
func TestReleaseOnEvidenceByClient(t *testing.T) {
	const shutdown = 100 * second
	opened := (&Log{}).Open(0)
	connected, disconnected := &opened, closedConnection()
	for _, c := range []struct {
		name     string
		setUpOn  *Connection
		evidence Evidence
		at       int64 // since the shutdown; negative: before it
		released bool
	}{
		{"doubt while serving", connected, Doubt, -second, false},
		{"inference while serving", connected, Inferred, -second, true},
		{"inference while serving, client away", disconnected, Inferred, -second, true},
		{"doubt as the shutdown begins", connected, Doubt, 0, false},
		{"doubt just before clients are disconnected", connected, Doubt, 820 * millisecond, true},
		{"doubt just before, client away", disconnected, Doubt, 820 * millisecond, true},
		{"doubt afterwards, client still connected", connected, Doubt, 2 * second, true},
		{"doubt afterwards, client disconnected", disconnected, Doubt, 2 * second, false},
		{"inference afterwards, client still connected", connected, Inferred, 2 * second, true},
		{"inference afterwards, client disconnected", disconnected, Inferred, 2 * second, false},
		{"process ended, client disconnected", disconnected, ProcessEnded, 2 * second, true},
	} {
		r := NewResponsibility(0)
		if c.at >= 0 {
			r.ShutDown(shutdown)
		}
		if released := r.MayRelease(c.setUpOn, c.evidence, shutdown+c.at); released != c.released {
			t.Errorf("%s: released %v", c.name, released)
		}
	}
}

// Guards against an office that gets no connection on which it could send the end of a call of a previous process,
// however long that call lasts, and against connects without end where no such call is left.
func TestContactWithOfficesOfEarlierCalls(t *testing.T) {
	const hour = 3_600 * second
	r := NewResponsibility(0)
	r.ReportedReady(2 * second) // the previous process has ended by 8 s
	r.ReportedReady(9 * second)
	for _, c := range []struct {
		name      string
		office    Contact
		connected bool
		at        int64
		due       ContactKind
	}{
		{"just lost", Contact{opened: second, lost: 20 * second}, false, 21 * second, NoContact},
		{"lost for long", Contact{opened: second, lost: 20 * second}, false, 26 * second, Reconnect},
		{"after an hour", Contact{opened: second, lost: hour}, false, hour + 6*second, Reconnect},
		{"never connected", Contact{}, false, second, Reconnect},
		{"previous process may run", Contact{opened: millisecond}, true, 7 * second, NoContact},
		{"connected before it ended", Contact{opened: 7 * second}, true, 8 * second, Collect},
		{"connected since", Contact{opened: 8 * second}, true, 15 * second, NoContact},
		{"connection that brought nothing", Contact{opened: second, tried: 10 * second}, true, 15 * second, NoContact},
		{"again", Contact{opened: second, tried: 10 * second}, true, 16 * second, Collect},
		{"no more", Contact{opened: second, tried: 22 * second}, true, 28 * second, NoContact},
		{"shown to hold none", Contact{lost: 20 * second, noEarlierCalls: true}, false, hour, NoContact},
	} {
		if due := r.ContactDue(c.office, c.connected, c.at); due != c.due {
			t.Errorf("%s: contact %d is due, not %d", c.name, due, c.due)
		}
	}
	if started := NewResponsibility(0); started.ContactDue(Contact{opened: second}, true, 20*second) != NoContact {
		t.Error("further connections are opened although no process was replaced")
	}
	r.ShutDown(30 * second)
	if r.ContactDue(Contact{}, false, 60*second) != NoContact {
		t.Error("a process that shuts down takes releases which it may not deliver")
	}
}

// Guards against a report of free lines that is taken to cover calls of a previous process which still ran.
func TestFreeLinesShowThatNoEarlierCallIsLeft(t *testing.T) {
	for _, c := range []struct {
		name             string
		lines            int
		connectionOpened int64
		none             bool
	}{
		{"lines in use", 1, 20 * second, false},
		{"previous process may run", 0, 11 * second, false},
		{"none in use since", 0, 13 * second, true},
	} {
		r, office := NewResponsibility(0), Contact{} // never asked whether it is ready
		r.LinesInUse(&office, c.lines, c.connectionOpened)
		if office.noEarlierCalls != c.none {
			t.Errorf("%s: shown %v", c.name, office.noEarlierCalls)
		}
	}
}
