package config

import (
	"fmt"
	"net/netip"
	"slices"
)

// leastRoster is how many members must vote at the least: of two none may be missing.
const leastRoster = 3

// checkFleet checks what a file says of members that speak with each other. Claimed are the addresses of hosts, with whose
// they are.
func checkFleet(d *Document, claimed map[netip.AddrPort]string, fs *Findings) {
	fleet := d.one("fleet")
	members := d.of("member")
	if fleet == nil {
		for _, kind := range []string{"member", "change", "keepers", "pooling"} {
			if b := d.one(kind); b != nil {
				fs.add(b.File, b.lineOr(1), FleetMissing, fmt.Sprintf("[%s] means nothing without [fleet]", b.Title()), "add [fleet], or take the section out")
			}
		}
		return
	}
	if len(members) == 0 {
		fs.add(fleet.File, fleet.lineOr(1), FleetEmpty, "[fleet] has no members", "add a [member NAME] with its address for each process")
		return
	}
	names, zones := namesOf(members), map[string]string{}
	for _, m := range members {
		zones[m.Name] = m.text("zone")
		at, ok := m.socket("address")
		if !ok {
			continue
		}
		if first, twice := claimed[at]; twice {
			fs.add(m.File, m.at("address"), AddressShared, fmt.Sprintf("member %s and %s have one address, %s", m.Name, first, at),
				"give each its own; what is meant for one would come to the other")
		}
		claimed[at] = m.Name
		if at.Addr().IsUnspecified() || at.Addr().IsMulticast() {
			fs.add(m.File, m.at("address"), AddressWild, fmt.Sprintf("member %s has the address %s, at which nobody is reached", m.Name, at),
				"write the address at which others reach it; where it listens is bind")
		}
	}
	for _, key := range []string{"roster", "seeds"} {
		v, _ := fleet.value(key)
		for _, name := range v.List {
			if !slices.Contains(names, name) {
				fs.add(fleet.File, fleet.at(key), NotMember, fmt.Sprintf("%s names %s, which is no member", key, quote(name)), nearest(name, names))
			}
		}
	}
	v, ok := fleet.value("roster")
	if !ok {
		return
	}
	if n := len(v.List); n < leastRoster || n%2 == 0 {
		fs.add(fleet.File, fleet.at("roster"), RosterSize, fmt.Sprintf("the roster has %d members", n),
			"name an odd number, three at least: of an even number one more may fail and no more may be missing")
		return
	}
	in := map[string]int{}
	for _, name := range v.List {
		in[zones[name]]++
	}
	for _, name := range v.List { // in order, for the message
		if z := zones[name]; z != "none" && len(in) > 1 && in[z] > len(v.List)/2 {
			fs.warn(fleet.File, fleet.at("roster"), RosterZone, fmt.Sprintf("%d of %d of the roster are in zone %s", in[z], len(v.List), z),
				"spread it over zones, or nobody alone may act while that one is lost")
			return
		}
	}
}
