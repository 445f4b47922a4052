package membership

import (
	"encoding/json"
	"strings"
	"testing"

	"pewterwheel/decide"
	"pewterwheel/internal/wire"
)

// A configuration with one event that cannot be read changes nothing, wherever that event stands: not the address,
// not the event number, and nothing is reported.
func TestReloadIsAllOrNothing(t *testing.T) {
	const good = `{"pos":%,"hosts":{"hosts":[{"host":"s-0000000%","dial":"127.0.0.1:100%","site":"east","health":"SERVING","share":1}]}}`
	entry := func(n string) string { return strings.ReplaceAll(good, "%", n) }
	for name, c := range map[string]struct{ from, to string }{
		"unknown state":             {"SERVING", "ASLEEP"},
		"no state":                  {`"health":"SERVING",`, ""},
		"events of an unknown zone": {`"site":"east"`, `"site":"moon"`},
		"invalid address":           {"127.0.0.1:1006", "127.0.0.1"},
		"address with a host name":  {"127.0.0.1:1006", "host:1006"},
		"invalid port":              {"127.0.0.1:1006", "127.0.0.1:70000"},
		"nothing is wrong":          {"", ""},
		"events out of order":       {`"pos":6`, `"pos":5`},
		"an event that was skipped": {`"pos":6`, `"pos":7`},
	} {
		fails := !strings.HasPrefix(name, "nothing") && !strings.HasPrefix(name, "event") &&
			!strings.HasPrefix(name, "an event")
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
			var reported []decide.ServerID
			emit := func(c wire.Change) {
				for _, o := range c.Offices {
					zone := 1
					if o.ID == "s-00000006" && strings.Contains(name, "unknown zone") {
						zone = 2 // sorted after all others; no reason to lose the address
					}
					if reported = append(reported, o.ID); o.Zone != zone {
						t.Errorf("%s, %s: %s is in zone %d", name, at, o.ID, o.Zone)
					}
				}
			}
			_ = j.Start(0, emit)
			err := j.Reload(1, Update{Address: "new:1", Known: known}, emit)
			if changed := len(reported) > 0 || j.LastNumber() != 3 || j.Address() != "old:1"; fails != (err != nil) ||
				fails == changed {
				t.Errorf("%s, %s: %v; reported %v, last %d, address %s", name, at, err, reported, j.LastNumber(), j.Address())
			}
		}
	}
}
