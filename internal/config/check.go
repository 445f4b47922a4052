package config

import (
	"fmt"
	"net/netip"
	"slices"
)

// The findings about what files say together.
const (
	MoreSites        Kind = "more-than-one-site"
	NoSite           Kind = "no-site"          // warning
	SiteDiffers      Kind = "site-differs"     // warning
	PoolUndefined    Kind = "pool-not-defined" //
	PoolEmpty        Kind = "pool-without-host"
	PoolDraining     Kind = "pool-all-draining" // warning
	AddressShared    Kind = "address-shared"
	AddressWild      Kind = "address-of-no-host"
	Privileged       Kind = "privileged-port"
	PortOutside      Kind = "port-outside-range"
	Claimed          Kind = "listener-claimed"
	OpenToAll        Kind = "listener-open" // warning
	Loop             Kind = "listener-is-host"
	AppRepeated      Kind = "application-repeated"
	AimOverDeadline  Kind = "aim-over-deadline"
	DeadlineShort    Kind = "deadline-too-short"
	NoWindow         Kind = "guarded-without-window"
	Unused           Kind = "without-effect" // warning
	ClassShares      Kind = "class-shares"
	RateOverShare    Kind = "rate-over-share"
	Capacity         Kind = "pool-over-capacity"
	Shares           Kind = "pool-shares"
	SidecarsOver     Kind = "too-many-sidecars"
	DescriptorsShort Kind = "descriptors-short"
	MemoryShort      Kind = "memory-short"
	LimitMissing     Kind = "limit-missing"
	LimitOver        Kind = "limit-over-share"
	LimitUnused      Kind = "limit-of-unused-pool"
	FleetMissing     Kind = "section-without-fleet"
	FleetEmpty       Kind = "fleet-without-members"
	RosterSize       Kind = "roster-size"
	NotMember        Kind = "not-a-member"
	RosterZone       Kind = "roster-in-one-zone" // warning
)

// What one sidecar needs beside callers and hosts, and what a set-up takes beside its description. The service's bounds.
const (
	ownDescriptors = 48
	perHost        = 2 // the connection, and one that is opened while it ends
	perSetUp       = 1 << 10
	memoryPart     = 8 // one part in so many is for open set-ups
)

// File is a file's name and content.
type File struct {
	Name string
	Text []byte
}

// Result is what a check found, and what was read.
type Result struct {
	Findings  Findings
	Documents []*Document
}

// Check reads files, each of any kind, and checks each alone and all together.
func Check(files []File) Result {
	var r Result
	fs := &r.Findings
	for _, f := range files {
		r.Documents = append(r.Documents, Read(f.Name, f.Text, fs))
	}
	var site *Document
	for _, d := range r.Documents {
		if d.Kind != SiteFile {
			continue
		}
		if site != nil {
			fs.add(d.File, d.one("site").lineOr(1), MoreSites, "this is a second site file beside "+site.File, "check each site alone")
			continue
		}
		site = d
	}
	checkSite(site, fs)
	// Among files of which nothing could be read, which has been said, the site's may be.
	unread := slices.ContainsFunc(r.Documents, func(d *Document) bool { return d.Kind == 0 })
	var apps []*Document
	for _, d := range r.Documents {
		of := site
		switch d.Kind {
		case SidecarFile:
			checkSite(d, fs)
			of = d
			if site != nil {
				compareSites(d, site, fs)
			}
			checkLimits(d, fs)
		case Declaration:
			if site == nil && !unread {
				fs.warn(d.File, d.one("application").lineOr(1), NoSite, "the declaration is checked alone",
					"give the site file too; pools, ports and sums cannot be checked without it")
			}
		default:
			continue
		}
		apps = append(apps, d)
		checkApplication(d, of, fs)
	}
	if site == nil {
		for _, d := range apps {
			if d.Kind == SidecarFile {
				site = d
				break
			}
		}
	}
	checkTogether(apps, site, fs)
	r.Findings = r.Findings.sorted()
	return r
}

func (b *Block) lineOr(line int) int {
	if b == nil || b.Line == 0 {
		return line
	}
	return b.Line
}

// checkSite checks what a file says of the site: hosts, pools, and what one sidecar needs for them.
func checkSite(d *Document, fs *Findings) {
	if d == nil {
		return
	}
	domain := d.one("site").text("domain")
	hosts := map[string]int{}
	up := map[string]int{}
	names := map[netip.AddrPort]string{}
	pools := namesOf(d.of("pool"))
	for _, h := range d.of("host") {
		checkHost(h, domain, fs)
		if at, ok := h.socket("address"); ok {
			if first, twice := names[at]; twice {
				fs.add(h.File, h.at("address"), AddressShared, fmt.Sprintf("hosts %s and %s have one address, %s", first, h.Name, at),
					"give each host its own; two names for one host would count it twice")
			}
			names[at] = h.Name
			if at.Addr().IsUnspecified() || at.Addr().IsMulticast() {
				fs.add(h.File, h.at("address"), AddressWild, fmt.Sprintf("host %s has the address %s, which is no host's", h.Name, at), "write the address of the host")
			}
		}
		v, ok := h.value("pool")
		if !ok {
			continue
		}
		if !slices.Contains(pools, v.Text) {
			fs.add(h.File, h.at("pool"), PoolUndefined, fmt.Sprintf("host %s is in pool %s, which is not defined", h.Name, quote(v.Text)), nearest(v.Text, pools))
			continue
		}
		if hosts[v.Text]++; h.text("state") != "draining" {
			up[v.Text]++
		}
	}
	for _, p := range d.of("pool") {
		switch {
		case hosts[p.Name] == 0:
			fs.add(p.File, p.Line, PoolEmpty, fmt.Sprintf("pool %s has no host", p.Name), "add hosts with pool = "+p.Name+", or take the pool out")
		case up[p.Name] == 0:
			fs.warn(p.File, p.Line, PoolDraining, fmt.Sprintf("every host of pool %s is draining", p.Name), "nothing will be sent there; set one to state = up")
		}
	}
	checkFleet(d, names, fs)
	m := d.one("machine")
	if n, ok := m.num("descriptors"); ok {
		if need := ownDescriptors + perHost*len(d.of("host")); float64(need) > n/2 {
			fs.add(m.File, m.lineOf("descriptors"), DescriptorsShort, fmt.Sprintf("%d hosts need %d descriptors, and half of %s are for callers", len(d.of("host")), need, format(Count, n)),
				fmt.Sprintf("set descriptors to %d or more", 2*need))
		}
	}
}

// lineOf is the line of a key, or the first of the file where defaults hold.
func (b *Block) lineOf(key string) int { return max(1, b.at(key)) }

func namesOf(bs []*Block) []string {
	var names []string
	for _, b := range bs {
		names = append(names, b.Name)
	}
	return names
}

// checkApplication checks a declaration, alone and against its site, which may be missing.
func checkApplication(d, site *Document, fs *Findings) {
	app := d.one("application")
	if app == nil {
		return
	}
	for _, key := range []string{"listener", "control"} {
		checkListener(app, key, site, fs)
	}
	machine, rules := site.one("machine"), site.one("rules")
	callers, ok := app.num("callers")
	if n, ok2 := machine.num("descriptors"); ok && ok2 && callers > n/2 {
		fs.add(app.File, app.at("callers"), DescriptorsShort, fmt.Sprintf("%s callers need as many descriptors, and half of %s are for callers", format(Count, callers), format(Count, n)),
			fmt.Sprintf("set callers to %s or less, or descriptors of the machine to %s or more", format(Count, float64(int(n/2))), format(Count, 2*callers)))
	}
	open, ok := app.num("open")
	description, ok2 := app.num("description")
	if memory, ok3 := machine.num("memory"); ok && ok2 && ok3 && open*(perSetUp+description) > memory/memoryPart {
		fs.add(app.File, app.at("open"), MemoryShort, fmt.Sprintf("%s open set-ups of %s take %.0f MiB, and an eighth of %s is for them", format(Count, open), format(Size, description),
			open*(perSetUp+description)/mib, format(Size, memory)),
			fmt.Sprintf("set open to %.0f or less, or memory of the machine to %.0fMiB or more", float64(int(memory/memoryPart/(perSetUp+description))), open*(perSetUp+description)*memoryPart/mib+1))
	}
	pools, shares := namesOf(site.of("pool")), 0.0
	for _, c := range d.of("class") {
		aim, ok := c.num("aim")
		deadline, ok2 := c.num("deadline")
		if ok && ok2 && aim > deadline {
			fs.add(c.File, c.at("aim"), AimOverDeadline, fmt.Sprintf("class %s aims at %s, after its deadline of %s", c.Name, format(Duration, aim), format(Duration, deadline)), "set aim to the deadline or less")
		}
		connect, ok3 := rules.num("connect-time")
		guard, ok4 := rules.num("guard")
		if ok2 && ok3 && ok4 && deadline < connect+guard {
			fs.add(c.File, c.at("deadline"), DeadlineShort, fmt.Sprintf("class %s ends after %s, before a failed connect of %s and the guard of %s have passed", c.Name, format(Duration, deadline), format(Duration, connect), format(Duration, guard)),
				"set deadline to "+format(Duration, connect+guard)+" or more; no second attempt could be made")
		}
		if window, ok := c.num("window"); ok && c.text("effect") == "guarded" && window == 0 {
			fs.add(c.File, c.at("effect"), NoWindow, fmt.Sprintf("class %s is guarded, and no window says for how long", c.Name), "add window = 30s, or for how long hosts drop repeats")
		}
		for _, key := range []string{"window", "scope"} {
			if _, given := c.lines[key]; given && d.Kind == Declaration && c.text("effect") != "guarded" && c.text("effect") != "" {
				fs.warn(c.File, c.at(key), Unused, fmt.Sprintf("class %s is %s, for which %s means nothing", c.Name, c.text("effect"), key), "take the line out, or set effect to guarded")
			}
		}
		v, _ := c.value("pools")
		for _, p := range v.List {
			if site != nil && !slices.Contains(pools, p) {
				fs.add(c.File, c.at("pools"), PoolUndefined, fmt.Sprintf("class %s wants pool %s, which is not defined", c.Name, quote(p)), nearest(p, pools))
			}
		}
		if s, ok := c.num("share"); ok {
			shares += s
		}
	}
	if shares > 1.000001 {
		fs.add(app.File, app.Line, ClassShares, fmt.Sprintf("the classes of %s have shares of %s together", app.text("name"), format(Part, shares)), "bring them to 100% or less")
	}
	share, _ := app.num("share")
	for _, p := range site.of("pool") {
		rate, ok := p.num("rate")
		if want := expected(d, p.Name); ok && share > 0 && want > rate*share*1.000001 {
			fs.add(app.File, app.at("share"), RateOverShare, fmt.Sprintf("%s expects %s at pool %s, repeats included, and its share of %s is %s", app.text("name"), format(Rate, want), p.Name, format(Part, share), format(Rate, rate*share)),
				"raise share, or lower the expected rates; what is over it would be refused")
		}
	}
}

// expected is the rate that a declaration's classes of first choice bring to a pool, repeats included.
func expected(d *Document, pool string) float64 {
	repeats, _ := d.one("application").num("repeats")
	sum := 0.0
	for _, c := range d.of("class") {
		v, _ := c.value("pools")
		if rate, ok := c.num("rate"); ok && len(v.List) > 0 && v.List[0] == pool {
			sum += rate * (1 + repeats)
		}
	}
	return sum
}

// uses tells whether any class of a declaration may go to a pool.
func uses(d *Document, pool string) bool {
	return slices.ContainsFunc(d.of("class"), func(c *Block) bool {
		v, _ := c.value("pools")
		return slices.Contains(v.List, pool)
	})
}

// checkListener checks one address on which a sidecar listens.
func checkListener(app *Block, key string, site *Document, fs *Findings) {
	at, ok := app.socket(key)
	if !ok {
		return
	}
	line := app.at(key)
	if at.Port() < 1024 {
		fs.add(app.File, line, Privileged, fmt.Sprintf("%s has the port %d, for which a program needs privileges", key, at.Port()), "use a port of 1024 or above")
	} else if v, ok := site.one("site").value("ports"); ok && (int(at.Port()) < v.Ports[0] || int(at.Port()) > v.Ports[1]) {
		fs.add(app.File, line, PortOutside, fmt.Sprintf("%s has the port %d, outside the site's range", key, at.Port()), fmt.Sprintf("use a port from %d to %d", v.Ports[0], v.Ports[1]))
	}
	if !at.Addr().IsLoopback() {
		fs.warn(app.File, line, OpenToAll, fmt.Sprintf("%s is %s, which other machines may reach", key, at), "use 127.0.0.1 unless the application runs elsewhere")
	}
	for _, m := range site.of("member") {
		for _, their := range []string{"address", "bind"} {
			if claimed, ok := m.socket(their); ok && claimed == at {
				fs.add(app.File, line, Claimed, fmt.Sprintf("%s is %s, the %s of member %s", key, at, their, m.Name), "give one of them another port")
			}
		}
	}
	for _, h := range site.of("host") {
		if host, ok := h.socket("address"); ok && overlap(host, at) {
			fs.add(app.File, line, Loop, fmt.Sprintf("%s is %s, the address of host %s", key, at, h.Name), "use another port; the sidecar would send to itself")
		}
	}
}

// overlap tells whether two sockets claim the same port of the same machine. A wildcard claims it on every address,
// the one of IPv6 that of IPv4 too.
func overlap(a, b netip.AddrPort) bool {
	return a.Port() == b.Port() && (a.Addr().Unmap() == b.Addr().Unmap() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified())
}

// checkTogether checks what applications claim beside each other.
func checkTogether(apps []*Document, site *Document, fs *Findings) {
	type claim struct {
		at    netip.AddrPort
		whose string
		b     *Block
		key   string
	}
	var claims []claim
	byName := map[string]*Block{}
	byPort := map[uint16][]int{}
	sidecars := 0.0
	for _, d := range apps {
		app := d.one("application")
		if app == nil {
			continue
		}
		name := app.text("name")
		if first := byName[name]; first != nil && name != "" {
			fs.add(app.File, app.at("name"), AppRepeated, fmt.Sprintf("application %s is declared here again", name), fmt.Sprintf("keep one; the first is at %s:%d", first.File, first.at("name")))
		} else {
			byName[name] = app
		}
		n, _ := app.num("sidecars")
		sidecars += n
		for _, key := range []string{"listener", "control"} {
			at, ok := app.socket(key)
			if !ok {
				continue
			}
			for _, i := range byPort[at.Port()] {
				if c := claims[i]; overlap(c.at, at) {
					fs.add(app.File, app.at(key), Claimed, fmt.Sprintf("%s of %s, %s, is claimed by %s of %s, %s", key, name, at, c.key, c.whose, c.at),
						fmt.Sprintf("give one of them another port; the other stands at %s:%d", c.b.File, c.b.at(c.key)))
				}
			}
			byPort[at.Port()] = append(byPort[at.Port()], len(claims))
			claims = append(claims, claim{at, name, app, key})
		}
	}
	if site == nil || len(apps) == 0 {
		return
	}
	s := site.one("site")
	if n, ok := s.num("sidecars"); ok && sidecars > n {
		fs.add(s.File, s.at("sidecars"), SidecarsOver, fmt.Sprintf("the applications run %s sidecars, and the site says %s", format(Count, sidecars), format(Count, n)),
			"raise it; a cold host's bound is divided by it")
	}
	for _, p := range site.of("pool") {
		rate, ok := p.num("rate")
		if !ok {
			continue
		}
		want, shares, who := 0.0, 0.0, []string{}
		for _, d := range apps {
			if e := expected(d, p.Name); e > 0 {
				want += e
				who = append(who, fmt.Sprintf("%s %s", d.one("application").text("name"), format(Rate, e)))
			}
			if sh, ok := d.one("application").num("share"); ok && uses(d, p.Name) {
				shares += sh
			}
		}
		if want > rate*1.000001 {
			if len(who) > 4 {
				who = append(who[:4], fmt.Sprintf("%d more", len(who)-4))
			}
			fs.add(p.File, p.at("rate"), Capacity, fmt.Sprintf("pool %s takes %s, and %s is expected of it, repeats included (%s)", p.Name, format(Rate, rate), format(Rate, want), join(who)),
				"give the pool more hosts and a higher rate, or the applications another first choice")
		}
		if shares > 1.000001 {
			fs.add(p.File, p.Line, Shares, fmt.Sprintf("applications have shares of %s of pool %s together", format(Part, shares), p.Name), "bring the shares of those that use it to 100% or less")
		}
	}
}

// limitOf is what one sidecar of an application may use of a pool.
func limitOf(pool, app *Block) (rate, open float64, ok bool) {
	r, ok1 := pool.num("rate")
	o, ok2 := pool.num("open")
	share, ok3 := app.num("share")
	n, ok4 := app.num("sidecars")
	if !ok1 || !ok2 || !ok3 || !ok4 {
		return 0, 0, false
	}
	return r * share / n, max(1, float64(int(o*share/n+1e-9))), true
}

// checkLimits checks the computed sections of a written file: a hand may have changed them.
func checkLimits(d *Document, fs *Findings) {
	app := d.one("application")
	limits := d.of("limit")
	for _, p := range d.of("pool") {
		i := slices.IndexFunc(limits, func(l *Block) bool { return l.Name == p.Name })
		if uses(d, p.Name) && i < 0 {
			fs.add(d.File, p.lineOr(1), LimitMissing, fmt.Sprintf("there is no [limit %s], and classes use the pool", p.Name), "write the file anew, or add the section")
		}
		if i < 0 {
			continue
		}
		l := limits[i]
		rate, open, ok := limitOf(p, app)
		if have, ok2 := l.num("rate"); ok && ok2 && have > rate*1.00001+1e-6 {
			fs.add(l.File, l.at("rate"), LimitOver, fmt.Sprintf("limit %s is %s, and the application's share for each sidecar is %s", l.Name, format(Rate, have), format(Rate, rate)), "write the file anew, or raise the share in the declaration")
		}
		if have, ok2 := l.num("open"); ok && ok2 && have > open {
			fs.add(l.File, l.at("open"), LimitOver, fmt.Sprintf("limit %s is %s open set-ups, and the application's share for each sidecar is %s", l.Name, format(Count, have), format(Count, open)), "write the file anew, or raise the share in the declaration")
		}
	}
	for _, l := range limits {
		if !uses(d, l.Name) {
			fs.warn(l.File, l.Line, LimitUnused, fmt.Sprintf("no class uses pool %s, to which this limit belongs", l.Name), "take the section out, or write the file anew")
		}
	}
}

// compareSites says where a written file tells of another site than the site file does.
func compareSites(d, site *Document, fs *Findings) {
	for _, b := range d.Blocks {
		if b.Section.Owner != OfSite || b.Line == 0 {
			continue
		}
		var other *Block
		for _, o := range site.of(b.Section.Kind) {
			if o.Name == b.Name {
				other = o
			}
		}
		if other == nil {
			fs.warn(b.File, b.Line, SiteDiffers, fmt.Sprintf("[%s] is not in the site file", b.Title()), "write the file anew")
			continue
		}
		for _, set := range b.Section.Settings {
			v, ok := b.value(set.Key)
			if o, ok2 := other.value(set.Key); ok && ok2 && !same(set.Type, v, o) {
				fs.warn(b.File, b.at(set.Key), SiteDiffers, fmt.Sprintf("%s of [%s] is %s, and the site file says %s", set.Key, b.Title(), v.Text, o.Text), "write the file anew")
			}
		}
	}
}
