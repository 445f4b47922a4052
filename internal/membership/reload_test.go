package membership

import (
	"encoding/json"
	"strings"
	"testing"

	"pewterwheel/decide"
	"pewterwheel/internal/wire"
)

// A file of which one event cannot be read changes nothing, wherever in the file it stands: neither the address, nor the
// number, nor what was told.
func TestReloadIsAllOrNothing(t *testing.T) {
	const good = `{"pos":%,"hosts":{"hosts":[{"host":"s-0000000%","dial":"127.0.0.1:100%","site":"east","health":"SERVING","share":1}]}}`
	entry := func(n string) string { return strings.ReplaceAll(good, "%", n) }
	for name, c := range map[string]struct{ from, to string }{
		"unknown state":             {"SERVING", "ASLEEP"},
		"no state":                  {`"health":"SERVING",`, ""},
		"events of an unknown zone": {`"site":"east"`, `"site":"moon"`},
		"address that is none":      {"127.0.0.1:1006", "127.0.0.1"},
		"address of a name":         {"127.0.0.1:1006", "host:1006"},
		"port that is none":         {"127.0.0.1:1006", "127.0.0.1:70000"},
		"nothing is wrong":          {"", ""},
		"events out of order":       {`"pos":6`, `"pos":5`},
		"an event that was skipped": {`"pos":6`, `"pos":7`},
	} {
		fails := !strings.HasPrefix(name, "nothing") && !strings.HasPrefix(name, "event") && !strings.HasPrefix(name, "an event")
		for _, at := range []string{"first", "last"} {
			var known wire.Known
			bad := strings.Replace(entry("6"), c.from, c.to, 1)
			text := entry("4") + "," + entry("5") + "," + bad
			if at == "first" {
				text = bad + "," + entry("4") + "," + entry("5")
			}
			if err := json.Unmarshal([]byte(`{"pos":6,"entries":[`+text+`]}`), &known); err != nil {
				t.Fatal(err)
			}
			j := NewJournal("old:1", wire.Known{Last: 3}, []string{"west", "east"})
			var told []decide.ServerID
			take := func(c wire.Change) {
				for _, o := range c.Offices {
					zone := 1
					if o.ID == "s-00000006" && strings.Contains(name, "unknown zone") {
						zone = 2 // behind all others, and no reason to lose the address
					}
					if told = append(told, o.ID); o.Zone != zone {
						t.Errorf("%s, %s: %s is in zone %d", name, at, o.ID, o.Zone)
					}
				}
			}
			_ = j.Start(0, take)
			err := j.Reload(1, Update{Address: "new:1", Known: known}, take)
			if changed := len(told) > 0 || j.Last() != 3 || j.Address() != "old:1"; fails != (err != nil) || fails == changed {
				t.Errorf("%s, %s: %v; told %v, last %d, address %s", name, at, err, told, j.Last(), j.Address())
			}
		}
	}
}
