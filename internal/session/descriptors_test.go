package session

import (
	"fmt"
	"strings"
	"testing"
)

// The shares never exceed the descriptors unless callers are at their guaranteed minimum.
func TestDescriptorShares(t *testing.T) {
	for _, c := range []struct{ sockets, offices int }{{64, 8}, {128, 24}, {256, 24}, {256, 100}, {1024, 24},
		{1024, 600}} {
		p := newPlayerOf(t, Config{Sockets: c.sockets, Seed: 7})
		p.step()
		for i := range c.offices - 2 {
			p.play(fmt.Sprintf("10 j > {%016x 02 %08x 7f000001 %04x 00 00 00 0000 000003e8 0000000000000000}", i+2, i+16,
				2000+i))
		}
		callers := p.s.callerLimit()
		if sum := callers + c.offices + reservedDescriptors(c.sockets); sum > c.sockets || callers < minCallers {
			t.Errorf("%d descriptors, %d offices: %d callers, %d in all", c.sockets, c.offices, callers, sum)
		}
		if usual := c.sockets / callerReserveDivisor; c.offices <= 24 && callers < usual {
			t.Errorf("%d descriptors, %d offices: %d callers, below their reserve of %d", c.sockets, c.offices, callers, usual)
		}
	}
}

// New callers wait while the input of the connected ones is unread, but not for ever. A caller that has just
// connected is not closed in place of an idle trusted one.
func TestPlacesForCallers(t *testing.T) {
	p := newPlayer(t)
	p.s.maxCallers = 2
	p.step()
	for _, line := range []string{"10 a open", "10 b open", "10 a waiting", "10 b waiting"} {
		p.play(line)
	}
	if n := p.s.AcceptableCallers(4); n != 0 {
		t.Errorf("%d places while both callers have unread input", n)
	}
	p.until(600_000)
	if n := p.s.AcceptableCallers(4); n != 4 {
		t.Errorf("%d places after the grace period, want 4", n)
	}
	p.play("610 b idle")
	if n := p.s.AcceptableCallers(4); n != 1 {
		t.Errorf("%d places while one caller is idle", n)
	}
	p.play(`620 a idle`)
	p.play(`620 a > [01 00000000000000a1 10["balance-check"] 13["3000"] 1c["n/1"] 1f["dest:0;width:1;via:-1"] 3d["offer"]]`)
	p.play(`630 o1 > [09 00000000000000a1 3d["d1"]]`)
	p.play("640 b close")
	p.play("700 c open")
	p.play("710 d open")
	if got := strings.Join(p.lines, "; "); !strings.Contains(got, "710 a shut") || strings.Contains(got, "c shut") {
		t.Errorf("want a closed, which is idle, and not c, which has just connected: %s", got)
	}
}
