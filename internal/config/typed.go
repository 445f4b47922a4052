package config

import (
	"fmt"
	"net/netip"
	"slices"
)

// Sidecar is everything that one sidecar's file says. Times are microseconds, sizes bytes, rates a second, parts of one.
type Sidecar struct {
	Site        string
	Domain      string
	Sidecars    int // of the whole site
	LogLevel    string
	LogFormat   string
	Machine     Machine
	Rules       Rules
	Pools       []Pool // in the order of the file
	Hosts       []Host
	Application Application
	Classes     []Class

	// Of members that speak with each other; nil: the file has no such section, and there is none of it.
	Fleet   *Fleet
	Members []Member // in the order of the file
	Change  *Staged
	Keepers *Keepers
	Pooling *Pooling
}

// Machine is what one sidecar may use.
type Machine struct {
	Cores       float64
	Memory      int64
	Descriptors int
}

// Rules are the figures of the rules.
type Rules struct {
	Guard, DrainGrace, AnswerSlack, ConnectTime, Resend, Quantum, Cold, Fall, StayAway, Linger int64

	StartCapacity, ColdMultiple float64
}

// Pool is a pool, and this sidecar's limits there.
type Pool struct {
	Name      string
	Rate      float64
	Open      int
	LimitRate float64
	LimitOpen int
}

// Host is a call server.
type Host struct {
	Name     string
	Address  netip.AddrPort
	Pool     string
	Zone     string
	Weight   float64
	Draining bool
}

// Application is what the application declared.
type Application struct {
	Name              string
	Listener, Control netip.AddrPort // Control may be absent: not valid
	Sidecars, Callers int
	Open, Tries       int
	Share, Repeats    float64
	RepeatsFloor      float64
	SpillWait         int64
	SpillReturn       float64 // a second
	SpillLeast        float64
}

// Class is a class of call.
type Class struct {
	Name             string
	Aim, Deadline    int64
	Worth, LateWorth float64
	Effect, Scope    string
	Window           int64
	Pools            []string
	Rate             float64 // one sidecar's part
	Share            float64 // of what the application may use
}

// Fleet is what members share.
type Fleet struct {
	Cluster      string
	RosterNumber uint64
	Roster       []string
	Seeds        []string // none: all members
	Lease        int64
	Drift        float64
	ControlBytes int64 // a second, in and out together, of one member
}

// Member is one process of the fleet.
type Member struct {
	Name    string
	Address netip.AddrPort
	Bind    netip.AddrPort // Address where the file has none
	Zone    string
}

// Staged is a change that is brought out in stages.
type Staged struct {
	Number            uint64
	Settings, Program string // paths; {member} and {application} stand for names
}

// Keepers is what members keep of called numbers that run out of lines.
type Keepers struct {
	Numbers int
	Share   float64
}

// Pooling is how connections to hosts are shared.
type Pooling struct {
	Mode   string // off, watch or on
	Unsafe float64
}

// Member returns a member by name.
func (s *Sidecar) Member(name string) (Member, bool) {
	i := slices.IndexFunc(s.Members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return s.Members[i], true
}

// Sidecar gives the typed value of a written file that was checked and found sound.
func (d *Document) Sidecar() (Sidecar, error) {
	if d.Kind != SidecarFile {
		return Sidecar{}, fmt.Errorf("%s is a %s; a sidecar needs the file that config write makes of it", d.File, d.Kind)
	}
	site, machine, rules, app := d.one("site"), d.one("machine"), d.one("rules"), d.one("application")
	num := func(b *Block, key string) float64 { n, _ := b.num(key); return n }
	us := func(b *Block, key string) int64 { return int64(num(b, key)) }
	count := func(b *Block, key string) int { return int(num(b, key)) }
	s := Sidecar{Site: site.text("name"), Domain: site.text("domain"), Sidecars: count(site, "sidecars"),
		LogLevel: site.text("log-level"), LogFormat: site.text("log-format"),
		Machine: Machine{num(machine, "cores"), us(machine, "memory"), count(machine, "descriptors")},
		Rules: Rules{Guard: us(rules, "guard"), DrainGrace: us(rules, "drain-grace"), AnswerSlack: us(rules, "answer-slack"),
			ConnectTime: us(rules, "connect-time"), Resend: us(rules, "resend"), Quantum: us(rules, "quantum"), Cold: us(rules, "cold"),
			Fall: us(rules, "fall"), StayAway: us(rules, "stay-away"), Linger: us(rules, "linger"),
			StartCapacity: num(rules, "start-capacity"), ColdMultiple: num(rules, "cold-multiple")},
		Application: Application{Name: app.text("name"), Sidecars: count(app, "sidecars"), Callers: count(app, "callers"),
			Open: count(app, "open"), Tries: count(app, "tries"), Share: num(app, "share"), Repeats: num(app, "repeats"),
			RepeatsFloor: num(app, "repeats-floor"), SpillWait: us(app, "spill-wait"), SpillReturn: num(app, "spill-return"),
			SpillLeast: num(app, "spill-least")}}
	s.Application.Listener, _ = app.socket("listener")
	s.Application.Control, _ = app.socket("control")
	limits := d.of("limit")
	for _, b := range d.of("pool") {
		p := Pool{Name: b.Name, Rate: num(b, "rate"), Open: count(b, "open")}
		if i := slices.IndexFunc(limits, func(l *Block) bool { return l.Name == b.Name }); i >= 0 {
			p.LimitRate, p.LimitOpen = num(limits[i], "rate"), count(limits[i], "open")
		}
		s.Pools = append(s.Pools, p)
	}
	for _, b := range d.of("host") {
		at, _ := b.socket("address")
		s.Hosts = append(s.Hosts, Host{b.Name, at, b.text("pool"), b.text("zone"), num(b, "weight"), b.text("state") == "draining"})
	}
	shares := classShares(d)
	for i, b := range d.of("class") {
		v, _ := b.value("pools")
		s.Classes = append(s.Classes, Class{Name: b.Name, Aim: us(b, "aim"), Deadline: us(b, "deadline"), Worth: num(b, "worth"),
			LateWorth: num(b, "late-worth"), Effect: b.text("effect"), Scope: b.text("scope"), Window: us(b, "window"),
			Pools: v.List, Rate: num(b, "rate") / max(1, num(app, "sidecars")), Share: shares[i]})
	}
	if f := d.one("fleet"); f != nil {
		roster, _ := f.value("roster")
		seeds, _ := f.value("seeds")
		s.Fleet = &Fleet{f.text("cluster"), uint64(num(f, "roster-number")), roster.List, seeds.List, us(f, "lease"), num(f, "drift"), int64(num(f, "control-bytes"))}
	}
	for _, b := range d.of("member") {
		m := Member{Name: b.Name, Zone: b.text("zone")}
		m.Address, _ = b.socket("address")
		if at, ok := b.socket("bind"); ok {
			m.Bind = at
		} else {
			m.Bind = m.Address
		}
		s.Members = append(s.Members, m)
	}
	if b := d.one("change"); b != nil {
		s.Change = &Staged{uint64(num(b, "number")), b.text("settings"), b.text("program")}
	}
	if b := d.one("keepers"); b != nil {
		s.Keepers = &Keepers{count(b, "numbers"), num(b, "share")}
	}
	if b := d.one("pooling"); b != nil {
		s.Pooling = &Pooling{b.text("mode"), num(b, "unsafe")}
	}
	return s, nil
}

// classShares gives each class its part of what the application may use: the one declared, and of what is left a
// part by expected rate. Classes that expect nothing have the same small part each.
func classShares(d *Document) []float64 {
	classes := d.of("class")
	shares := make([]float64, len(classes))
	left, rates := 1.0, 0.0
	for i, c := range classes {
		if s, ok := c.num("share"); ok {
			shares[i] = s
			left -= s
			continue
		}
		rate, _ := c.num("rate")
		rates += max(rate, leastRate)
	}
	for i, c := range classes {
		if _, ok := c.num("share"); !ok {
			rate, _ := c.num("rate")
			shares[i] = max(0, left) * max(rate, leastRate) / rates
		}
	}
	return shares
}

// leastRate is what a class that expects no calls counts for beside the others.
const leastRate = 0.01
