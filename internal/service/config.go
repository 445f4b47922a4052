// Package service starts and stops a session controller: its configuration, its connections and its loop.
package service

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"

	"pewterwheel/decide"
	"pewterwheel/internal/membership"
	"pewterwheel/internal/pooling"
	"pewterwheel/internal/session"
	"pewterwheel/internal/wire"
)

// Config is what the platform tells a session controller in the file named by BALANCER_CONFIG.
type Config struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB int64   `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Control  string        `json:"control"` // the second address, for staff and the platform; empty: none
	Journal  string        `json:"journal"`
	Known    wire.Known    `json:"known"`
	Settings wire.Settings `json:"settings"`

	// A sidecar's configuration comes from another form of file and has no journal: the list is in the file.
	Members []membership.Member                                    `json:"-"`
	Linger  int64                                                  `json:"-"` // microseconds; see membership.NewFile
	Node    func(decide.Settings, uint64) (session.Decider, error) `json:"-"` // nil: the module alone
	Part    any                                                    `json:"-"` // for a Node that is a session.Reloader

	// What gives calls lanes at the offices, for callers of the application of this name; nil: all share one. See session.Config.
	ConnSelector pooling.ConnectionSelector `json:"-"`
	Watch        bool                       `json:"-"`
	Application  string                     `json:"-"`
	Clock        func() int64               `json:"-"` // of Clock's; nil: one of the service's own
	// Beside: a successor may listen on the second address, too, and has the new connections from then on.
	Beside bool `json:"-"`
}

// ReadConfig reads the configuration. Unknown fields are passed over: newer platforms tell more.
func ReadConfig(path string) (Config, error) {
	var c Config
	text, err := os.ReadFile(path)
	if err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	if err := json.Unmarshal(text, &c); err != nil {
		return c, fmt.Errorf("configuration %s: %w", path, err)
	}
	if c.Listen == "" || c.Journal == "" {
		return c, fmt.Errorf("configuration %s: listen and journal are needed", path)
	}
	if c.Limits.Sockets <= 0 {
		c.Limits.Sockets = 1024
	}
	return c, nil
}

// checkJournal tells whether the journal's address is one that can be connected to. At a start it is not asked: the list that
// the configuration knows is served by. Guards against a reload that leaves an address which works for one that cannot.
func (c Config) checkJournal() error {
	if c.Journal == "" {
		return nil // a sidecar's
	}
	host, port, err := net.SplitHostPort(c.Journal)
	if err != nil {
		return fmt.Errorf("configuration: journal: %w", err)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" || strings.ContainsAny(host, ": \t") {
		return fmt.Errorf("configuration: journal: %q is no address", c.Journal)
	}
	return nil
}

// Session is the part of the configuration that the session is made from.
func (c Config) Session() (session.Config, error) {
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return session.Config{}, fmt.Errorf("configuration: seed: %w", err)
	}
	cfg := session.Config{Settings: c.Settings, Sockets: c.Limits.Sockets, Memory: c.Limits.MemoryMB << 20, Seed: seed,
		NewDecider: c.Node, ConnSelector: c.ConnSelector, ObserveOnly: c.Watch, Application: c.Application}
	if c.Journal != "" {
		cfg.Source = membership.NewJournal(c.Journal, c.Known, c.Settings.Zones)
	} else {
		cfg.Source = membership.NewFile(c.Members, c.Linger)
	}
	return cfg, nil
}

// Update is what a configuration that was read anew tells a running program.
func (c Config) Update() membership.Update {
	return membership.Update{Address: c.Journal, Known: c.Known, Members: c.Members, Linger: c.Linger, Other: c.Part}
}
