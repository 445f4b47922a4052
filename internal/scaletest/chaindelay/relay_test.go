package chaindelay

import (
	"bytes"
	"net"
	"testing"
	"time"

	"pewterwheel/internal/wire"
)

// information is parameter 31 of a caller's set-up, which a controller's set-up to its office does not have.
var information = wire.Text(wire.ParamInfo, "dest:-1;width:1;via:-1")

// startRelay starts what stands between two controllers in a row, and returns its address. It passes all messages on, and
// gives each set-up the parameter that the second controller asks of its callers.
func startRelay(t *testing.T, to string) string {
	t.Helper()
	listener := listenHere(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // closed
			}
			go relayConnection(conn, to)
		}
	}()
	return listener.Addr().String()
}

// startRelays starts relays in a row and returns the address of the first.
func startRelays(t *testing.T, to string, count int) string {
	t.Helper()
	for range count {
		to = startRelay(t, to)
	}
	return to
}

// relayConnection passes on what comes, in both directions, until one side ends.
func relayConnection(caller net.Conn, to string) {
	defer func() { _ = caller.Close() }()
	office, err := net.DialTimeout("tcp4", to, patience)
	if err != nil {
		return
	}
	go func() {
		defer func() { _ = caller.Close() }()
		passBytes(caller, office)
	}()
	defer func() { _ = office.Close() }()
	passMessages(office, caller)
}

// passBytes passes on what comes as it comes.
func passBytes(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

// passMessages passes on whole messages, set-ups completed, a write for each read.
func passMessages(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	held := 0 // bytes of a message that is not whole
	var out []byte
	for {
		count, err := from.Read(buffer[held:])
		if err != nil {
			return
		}
		var taken int
		out, taken, err = completeSetUps(out[:0], buffer[:held+count])
		if err != nil {
			return
		}
		held = copy(buffer, buffer[taken:held+count])
		if len(out) == 0 {
			continue
		}
		if _, err := to.Write(out); err != nil {
			return
		}
	}
}

// completeSetUps appends the whole messages of in to out, each set-up with parameter 31, and tells how much it took.
func completeSetUps(out, in []byte) ([]byte, int, error) {
	taken := 0
	for {
		message, size, err := wire.Next(in[taken:])
		if err != nil || size == 0 {
			return out, taken, err
		}
		if _, complete := message.Get(wire.ParamInfo); message.Type != wire.TypeSetUp || complete {
			out = append(out, in[taken:taken+size]...)
		} else {
			message.Params = append(message.Params, information)
			if out, err = message.Append(out); err != nil {
				return out, taken, err
			}
		}
		taken += size
	}
}

func controllersSetUp(call uint64) wire.Message {
	setUp := wire.SetUp{Class: className, Number: "number/0123456789", Description: make([]byte, 200)}
	return setUp.Onward(call, (6 * time.Second).Microseconds())
}

// A relay changes nothing but set-ups that lack parameter 31, and leaves what is not whole.
func TestRelayCompletesSetUps(t *testing.T) {
	complete := controllersSetUp(7)
	complete.Params = append(complete.Params, information)
	var in, want []byte
	for _, pair := range [][2]wire.Message{{controllersSetUp(7), complete}, {complete, complete},
		{wire.ReleaseOf(7, wire.CauseNormal), wire.ReleaseOf(7, wire.CauseNormal)}} {
		in, _ = pair[0].Append(in)
		want, _ = pair[1].Append(want)
	}
	whole := len(in)
	in = append(in, 0, 9, 1)
	out, taken, err := completeSetUps(nil, in)
	if err != nil || taken != whole || !bytes.Equal(out, want) {
		t.Errorf("%d of %d bytes taken, %v; got % x, want % x", taken, whole, err, out, want)
	}
}

// A controller refuses the set-up that another one sends to its office: parameter 31 is missing. If this is no longer so,
// controllers can stand in a row without relays.
func TestControllersNeedRelays(t *testing.T) {
	address := startController(t, "c1", listenHere(t).Addr().String()).listen
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(patience))
	request, _ := controllersSetUp(7).Append(nil)
	if _, err := conn.Write(request); err != nil {
		t.Fatal(err)
	}
	reader := messageReader{conn: conn}
	message, err := reader.next()
	if err != nil || message.Type != wire.TypeRelease || message.Cause() != wire.CauseMissing {
		t.Errorf("the answer was %+v, %v", message, err)
	}
}
