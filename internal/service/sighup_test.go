package service

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"

	"pewterwheel/internal/standin"
)

// A real process gets SIGHUP after SIGHUP with files that cannot be used: each is counted, and neither the list nor the journal's
// connection changes. Then good files follow each other without a pause, and the last one holds.
func TestHangUpsWithBadFiles(t *testing.T) {
	d, next := newDiscovery(t, refused), newDiscovery(t, refused)
	d.back()
	next.back()
	listen, control := fmt.Sprintf("127.0.0.1:%d", standin.FreePort()), fmt.Sprintf("127.0.0.1:%d", standin.FreePort())
	path := siteFile(t, listen, d.address, 256, []string{port(t).Addr().String(), port(t).Addr().String()})
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	good := string(raw)
	c := startLimited(t, path, control, 256)
	eventually(t, "the journal is asked", func() bool { return len(d.asked) > 0 })
	eventually(t, "it is ready", func() bool { return strings.HasPrefix(say(control, "READY\n"), "200 ") })
	hangUp := func(text string) {
		t.Helper()
		if text == "gone" {
			err = os.Remove(path)
		} else if err = os.WriteFile(path+".new", []byte(text), 0o600); err == nil {
			err = os.Rename(path+".new", path)
		}
		if err == nil {
			err = c.cmd.Process.Signal(syscall.SIGHUP)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	moved := strings.Replace(good, d.address, next.address, 1)
	more := func(state string) string { // a further event behind the first, which is good
		return strings.Replace(moved, `]}}]},`, `]}},
			{"pos":4,"hosts":{"hosts":[{"host":"s-00000001","dial":"127.0.0.1:9","health":"DELETED","share":1}]}},
			{"pos":5,"hosts":{"hosts":[{"host":"s-00000002","dial":"127.0.0.1:9","health":"`+state+`","share":1}]}}]},`, 1)
	}
	bad := []string{"", "{", "gone", "[]", good[:len(good)/2], strings.Replace(good, `"journal":"`, `"was":"`, 1), more("ASLEEP")}
	for _, address := range []string{"127.0.0.1", "127.0.0.1:", ":1", "127.0.0.1:0", "127.0.0.1:70000", "a b:1", "::1:1", "[::1]:1", "x"} {
		bad = append(bad, strings.Replace(good, d.address, address, 1))
	}
	for i, text := range bad {
		hangUp(text)
		var figures string
		eventually(t, fmt.Sprintf("%.60q is counted", text), func() bool {
			figures = say(control, "STATS\n")
			return strings.Contains(figures, fmt.Sprintf("config_reload_errors:%d|", i+1))
		})
		for _, want := range []string{"app.members:2|g", "config_reloads:0|c"} {
			if !strings.Contains(figures, want) {
				t.Errorf("after %.60q the figures lack %s:\n%s", text, want, figures)
			}
		}
	}
	for range 5 {
		hangUp(moved)
		hangUp(good)
	}
	hangUp(more("SERVING"))
	eventually(t, "the last file is known", func() bool { return strings.Contains(say(control, "STATS\n"), "app.members:1|g") })
	follows := frameOf(6, 2, recordOf(t, 7, port(t).Addr().String()))
	eventually(t, "what follows is heard from the last address", func() bool {
		select {
		case next.frames <- follows: // again: a connection of before may still take it
		default:
		}
		return strings.Contains(say(control, "STATS\n"), "app.members:2|g")
	})
	c.stop()
	hangUp(good) // crosses the stop
	c.waitFor(t)
	if n := strings.Count(c.log.String(), "configuration unreadable"); n != len(bad) {
		t.Errorf("%d of %d bad files were logged\n%s", n, len(bad), &c.log)
	}
}
