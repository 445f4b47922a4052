package sidecar

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pewterwheel/internal/config"
	"pewterwheel/internal/route"
	"pewterwheel/internal/service"
)

// plan is what a customer's file says by names, in the order in which it says it.
type plan struct {
	customer int
	pools    []string
	classes  []string
	rates    map[string]int      // of pools and classes
	of       map[string][]string // pools of a class
}

// drawPlan draws one whose names are its customer's; a reload keeps some of them, in any order, and has new ones.
func drawPlan(customer int, rng *rand.Rand) plan {
	p := plan{customer: customer, rates: map[string]int{}, of: map[string][]string{}}
	for _, i := range rng.Perm(4)[:2+rng.IntN(3)] {
		name := fmt.Sprintf("p%d-%d", customer, i)
		p.pools = append(p.pools, name)
		p.rates[name] = 2000 + rng.IntN(1000)
	}
	for _, i := range rng.Perm(5)[:1+rng.IntN(5)] {
		name := fmt.Sprintf("c%d-%d", customer, i)
		p.classes = append(p.classes, name)
		p.rates[name] = 1 + rng.IntN(9)
		for _, at := range rng.Perm(len(p.pools))[:1+rng.IntN(len(p.pools))] {
			p.of[name] = append(p.of[name], p.pools[at])
		}
	}
	p.pools = slices.DeleteFunc(p.pools, func(pool string) bool { // what no class goes to is not in the file
		used := false
		for _, of := range p.of {
			used = used || slices.Contains(of, pool)
		}
		if !used {
			delete(p.rates, pool)
		}
		return !used
	})
	return p
}

// file writes it as the tool does.
func (p plan) file(t *testing.T) []byte {
	t.Helper()
	site := "[site]\nname = s\ndomain = example.org\nsidecars = 1\n"
	for i, name := range p.pools {
		site += fmt.Sprintf("[pool %s]\nrate = %d/s\nopen = 500\n", name, p.rates[name])
		site += fmt.Sprintf("[host h-%s.example.org]\naddress = 127.0.%d.%d:7000\npool = %s\n", name, p.customer+1, i, name)
	}
	app := fmt.Sprintf("[application]\nname = a%d\nlistener = 127.0.0.1:%d\ncontrol = 127.0.0.1:%d\nshare = 50%%\n", p.customer, 21000+2*p.customer, 21001+2*p.customer)
	for _, name := range p.classes {
		app += fmt.Sprintf("[class %s]\naim = 800ms\ndeadline = 6s\neffect = free\nrate = %d/s\npools = ", name, p.rates[name])
		for i, pool := range p.of[name] {
			if i > 0 {
				app += ", "
			}
			app += pool
		}
		app += "\n"
	}
	out, found := config.Write(config.File{Name: "site.ini", Text: []byte(site)}, []config.File{{Name: "a.ini", Text: []byte(app)}})
	if found.Errors() > 0 {
		t.Fatalf("%v\n%s\n%s", found, site, app)
	}
	return out[0].Text
}

// Two customers' sidecars in one process read their files by turns, again and again: pools and classes come, go, and change
// their order. Each setting that is gone by is of the same name as in the customer's own file: the newest that has the name,
// of what was there at the start. Guards against limits that move to the next class or pool with its number.
func TestReloadsKeepSettingsWithTheirNames(t *testing.T) {
	rng := rand.New(rand.NewPCG(25, 3))
	for range 20 {
		type customer struct {
			text  []byte
			r     *Reader
			first plan
			cfg   service.Config
		}
		customers := make([]*customer, 2)
		for i := range customers {
			c := &customer{first: drawPlan(i, rng)}
			c.r = NewReader("f.ini", nil)
			c.r.read = func(string) ([]byte, error) { return c.text, nil }
			customers[i] = c
		}
		for reload := range 6 {
			for i, c := range customers {
				now := c.first
				if reload > 0 {
					now = drawPlan(i, rng)
				}
				c.text = now.file(t)
				var err error
				if c.cfg, err = c.r.Read(); err != nil {
					t.Fatalf("%v\n%s", err, c.text)
				}
				holdTo(t, c.first, now, c.cfg)
			}
		}
	}
}

// holdTo holds a configuration to the file of the start and that of now.
func holdTo(t *testing.T, first, now plan, cfg service.Config) {
	t.Helper()
	routes := cfg.Part.(route.Config)
	for i, pool := range routes.Pools {
		want, ok := now.rates[pool.Name]
		if !ok {
			want = first.rates[pool.Name]
		}
		if pool.Name != first.pools[i] || pool.TotalRate != float64(want) {
			t.Errorf("pool %d is %s with %g/s; it was %s, and its file says %d/s", i, pool.Name, pool.TotalRate, first.pools[i], want)
		}
	}
	known := func(pool string) bool { return slices.Contains(first.pools, pool) }
	for i, class := range cfg.Settings.Classes {
		name := first.classes[i]
		if class.Name != name {
			t.Fatalf("class %d is %s; it was %s", i, class.Name, name)
		}
		of := slices.DeleteFunc(slices.Clone(now.of[name]), func(p string) bool { return !known(p) })
		if len(of) == 0 {
			of = first.of[name]
		}
		var got []string
		for _, p := range routes.Classes[i].Pools {
			got = append(got, routes.Pools[p].Name)
		}
		if !slices.Equal(got, of) {
			t.Errorf("class %s goes to %v; its file says %v", name, got, of)
		}
	}
	for _, m := range cfg.Members {
		pool := routes.Pools[m.Place].Name
		if m.Name != "h-"+pool+".example.org" || !slices.Contains(now.pools, pool) {
			t.Errorf("host %s is in pool %s", m.Name, pool)
		}
	}
}
