package session

import (
	"fmt"
	"testing"
)

// The release of a call was delivered late if its office sent it on a connection that was reset just then,
// like the next ones: the delay before the connect after them was longer than a release may take.
func TestReleaseBetweenResetsIsDeliveredInTime(t *testing.T) {
	const released, toldWithin = 6000, 1050
	for _, lasts := range []int{20, 50, 150, 300} {
		t.Run(fmt.Sprintf("connections last %d ms", lasts), func(t *testing.T) {
			p := newPlayer(t)
			p.step()
			p.play("10 a open")
			p.play(`12 a > [01 00000000000000a1 10["balance-check"] 13["3000"] 1c["n/1"] 1f["dest:0;width:1;via:-1"] 3d["offer"]]`)
			p.play(`30 o1 > [09 00000000000000a1 3d["d1"]]`)
			// Each connection is reset some time after it was opened. From the release on, the second one to
			// open delivers it.
			came, ups := int64(0), 0
			p.onConnect = func(c *fakeConn) {
				if c.name == "o1" {
					came = p.now
					if p.now >= released*1000 {
						ups++
					}
				}
			}
			for ms := 500; ms < released+toldWithin+500; ms += 10 {
				p.until(int64(ms) * 1000)
				conn := p.conns["o1"]
				if ups >= 2 && !conn.closed {
					p.play(fmt.Sprintf("%d o1 > [0c 00000000000000a1 3a[10]]", ms))
					break
				}
				if !conn.closed {
					p.play(fmt.Sprintf("%d o1 > [06 00000000000000b1]", ms))
				}
				if !conn.closed && p.now-came >= int64(lasts)*1000 || ms == released && !conn.closed {
					p.play(fmt.Sprintf("%d o1 close", ms))
				}
			}
			if at, _ := releaseOf(p.lines, "a1"); at == 0 || at > released+toldWithin {
				t.Errorf("the release reached the caller at %d ms, want by %d ms (0: never)", at, released+toldWithin)
			}
		})
	}
}

// The release of a previous process's call was never delivered: its office was unreachable or lost its
// connection as this process started, and no call of this process made it reconnect.
func TestReconnectForCallsOfPreviousProcess(t *testing.T) {
	for _, c := range []struct {
		name  string
		lines []string
		back  int // when the office is reachable again
	}{
		{"connects were not answered", []string{"40 o1 silent", "41 o1 close", "3000 o1 accept"}, 3000},
		{"connects were refused", []string{"40 o1 refuse", "41 o1 close", "2000 o1 accept"}, 2000},
		{"its connection was lost", []string{"1000 o1 close"}, 1000},
		{"its connection was lost, and it drains", []string{
			"900 j > {0000000000000002 02 00000001 7f000001 03e9 01 00 00 0000 000003e8 0000000000000000}", "1000 o1 close"},
			1000},
		{"its connection was lost, and the next connects were not answered", []string{"1000 o1 silent", "1001 o1 close",
			"5000 o1 accept"}, 5000},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPlayer(t)
			up := int64(0)
			p.onConnect = func(conn *fakeConn) {
				if conn.name == "o1" {
					up = p.now
				}
			}
			p.step()
			p.play("10 a open")
			p.play(`12 a > [01 00000000000000a1 10["balance-check"] 13["3000"] 1c["n/1"] 1f["dest:1;width:1;via:-1"] 3d["offer"]]`)
			p.play(`30 o2 > [09 00000000000000a1 3d["d1"]]`)
			for _, line := range c.lines {
				p.play(line)
			}
			p.until(int64(c.back+1000) * 1000)
			if up < int64(c.back)*1000 {
				t.Fatalf("the last connection opened at %d ms, want one between %d and %d ms", up/1000, c.back, c.back+1000)
			}
			p.play(fmt.Sprintf("%d o1 > [0c 00000000000000b7 3a[10]]", c.back+1000))
			if at, _ := releaseOf(p.lines, "b7"); at == 0 {
				t.Error("the release of a previous process's call did not reach the caller")
			}
		})
	}
}

// The release of a call was delivered late at an office that never reports and to which nothing passes: its
// connection was closed after 3.5 s of silence, and with it the path on which the office sent the release.
func TestReleaseOnIdleConnectionIsDelivered(t *testing.T) {
	for _, connects := range []string{"silent", "refuse"} {
		t.Run("connects: "+connects, func(t *testing.T) {
			p := newPlayer(t)
			p.step()
			p.play("10 a open")
			p.play(`12 a > [01 00000000000000a1 10["balance-check"] 13["3000"] 1c["n/1"] 1f["dest:0;width:1;via:-1"] 3d["offer"]]`)
			p.play(`30 o1 > [09 00000000000000a1 3d["d1"]]`)
			p.play("600 o1 " + connects)
			p.until(6_000_000)
			if p.conns["o1"].closed {
				t.Fatal("the connection was closed before another one was open")
			}
			p.play("6000 o1 > [0c 00000000000000a1 3a[10]]")
			if at, _ := releaseOfFirstCall(p.lines); at == 0 || at > 7050 {
				t.Errorf("the release reached the caller at %d ms, want by 7050 ms (0: never)", at)
			}
		})
	}
}
