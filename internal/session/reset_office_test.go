package session

import (
	"fmt"
	"testing"
)

// A caller is told late of the end of a call that its office released on a connection which was just then reset, as were the
// next ones: the connect after them waited longer than a release may take.
func TestReleaseBetweenResetsIsToldInTime(t *testing.T) {
	const released, toldWithin = 6000, 1050
	for _, lasts := range []int{20, 50, 150, 300} {
		t.Run(fmt.Sprintf("connections last %d ms", lasts), func(t *testing.T) {
			p := newPlayer(t)
			p.step()
			p.play("10 a open")
			p.play(`12 a > [01 00000000000000a1 10["balance-check"] 13["3000"] 1c["n/1"] 1f["dest:0;width:1;via:-1"] 3d["offer"]]`)
			p.play(`30 o1 > [09 00000000000000a1 3d["d1"]]`)
			// Each connection is reset some time after it came up. From the release on the second that comes up brings it.
			came, ups := int64(0), 0
			p.came = func(c *fakeConn) {
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
				if ups >= 2 && !conn.dead {
					p.play(fmt.Sprintf("%d o1 > [0c 00000000000000a1 3a[10]]", ms))
					break
				}
				if !conn.dead {
					p.play(fmt.Sprintf("%d o1 > [06 00000000000000b1]", ms))
				}
				if !conn.dead && p.now-came >= int64(lasts)*1000 || ms == released && !conn.dead {
					p.play(fmt.Sprintf("%d o1 close", ms))
				}
			}
			if at, _ := releasedCall(p.lines, "a1"); at == 0 || at > released+toldWithin {
				t.Errorf("the caller was told of the end at %d ms, want by %d ms (0: never)", at, released+toldWithin)
			}
		})
	}
}
