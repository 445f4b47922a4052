package session

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"

	"pewterwheel/internal/membership"
	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

// updateOf returns the update of a file with a journal address and one more office in its last event.
func updateOf(t *testing.T, address, health string) membership.Update {
	t.Helper()
	var k wire.Known
	text := `{"pos":3,"entries":[
		{"pos":2,"hosts":{"hosts":[{"host":"s-00000001","dial":"127.0.0.1:1001","site":"lisboa","block":0,"health":"DRAINING","share":1}]}},
		{"pos":3,"hosts":{"hosts":[{"host":"s-00000003","dial":"127.0.0.1:1003","site":"lisboa","block":0,"health":"` + health + `","share":1}]}}]}`
	if err := json.Unmarshal([]byte(text), &k); err != nil {
		t.Fatal(err)
	}
	return membership.Update{Address: address, Known: k}
}

// SIGHUP arrives in different states of the program. A file that is unreadable in whole or in part is counted
// and changes nothing. A valid one leads to a single connection to the address in the last file.
func TestReloadCrossings(t *testing.T) {
	hup := func(address string) func(*player) {
		return func(p *player) {
			p.step(Arrival{Kind: Reload, At: p.now, Update: membership.Update{Address: address}})
		}
	}
	line := func(text string) func(*player) { return func(p *player) { p.play(text) } }
	for _, c := range []struct {
		name            string
		do              []func(*player)
		asked           []string // subscriptions at each journal address from the first SIGHUP on, in order
		reloads, errors uint64
	}{
		{"unreadable", []func(*player){func(p *player) {
			p.step(Arrival{Kind: Reload, At: p.now, Err: errors.New("broken")})
		}}, nil, 0, 1},
		{"its last event unreadable", []func(*player){func(p *player) {
			p.step(Arrival{Kind: Reload, At: p.now, Update: updateOf(t, "journal2", "ASLEEP")})
		}}, nil, 0, 1},
		{"its events readable", []func(*player){func(p *player) {
			p.step(Arrival{Kind: Reload, At: p.now, Update: updateOf(t, "journal2", "SERVING")})
		}}, []string{"j2 < 0000000000000003"}, 1, 0},
		{"the same address", []func(*player){hup("journal")}, nil, 1, 0},
		{"while the same address is dialled", []func(*player){line("1000 j silent"), line("1000 j close"), hup("journal"),
			line("1100 j accept")},
			[]string{"j < 0000000000000001"}, 1, 0},
		{"while the old address is dialled", []func(*player){line("1000 j silent"), line("1000 j close"), hup("journal2")},
			[]string{"j2 < 0000000000000001"}, 1, 0},
		{"while a dial of the old address comes up", []func(*player){line("1000 j silent"), line("1000 j close"),
			func(p *player) {
				late := &fakeConn{p: p, name: "late"}
				p.step(Arrival{Kind: Reload, At: p.now, Update: membership.Update{Address: "journal2"}},
					Arrival{Kind: Dialled, At: p.now, Dial: p.s.lastDialID, Conn: late})
				if !late.closed {
					t.Error("the old address's connection stays open")
				}
			}}, []string{"j2 < 0000000000000001"}, 1, 0},
		{"twice in one round", []func(*player){func(p *player) {
			p.step(Arrival{Kind: Reload, At: p.now, Update: membership.Update{Address: "journal2"}},
				Arrival{Kind: Reload, At: p.now, Update: membership.Update{Address: "journal"}})
		}}, []string{"j < 0000000000000001"}, 2, 0},
		{"good, then bad", []func(*player){hup("journal2"), func(p *player) {
			p.step(Arrival{Kind: Reload, At: p.now, Update: updateOf(t, "journal", "ASLEEP")})
		}}, []string{"j2 < 0000000000000001"}, 1, 1},
		{"during a shutdown", []func(*player){line("1000 term"), hup("journal2")}, []string{"j2 < 0000000000000001"}, 1, 0},
	} {
		p := newPlayer(t)
		p.step()
		p.play("500 a open")
		p.until(1_000_000)
		p.lines = nil
		for _, do := range c.do {
			do(p)
		}
		p.until(1_700_000)
		var asked []string
		for _, l := range p.lines {
			if _, what, _ := strings.Cut(l, " "); what[0] == 'j' && strings.Contains(what, " < ") {
				asked = append(asked, what)
			}
		}
		if n := p.s.Counters; !slices.Equal(asked, c.asked) || n[state.Reloads] != c.reloads ||
			n[state.ReloadErrors] != c.errors {
			t.Errorf("%s: asked %q, want %q; %d reloads, %d errors", c.name, asked, c.asked, n[state.Reloads],
				n[state.ReloadErrors])
		}
		if c.reloads == 0 && (len(p.s.offices.All()) != 2 || p.s.offices.All()[0].State != 0 ||
			p.s.source.LastNumber() != 1) {
			t.Errorf("%s: the list has changed", c.name)
		}
	}
}
