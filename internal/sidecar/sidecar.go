// Package sidecar starts and reloads a session controller from a sidecar's file: it turns the checked settings into
// the service's configuration, and keeps what a running program cannot change as it was at the start.
package sidecar

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"strings"
	"syscall"

	"pewterwheel/decide"
	"pewterwheel/internal/config"
	"pewterwheel/internal/membership"
	"pewterwheel/internal/route"
	"pewterwheel/internal/service"
	"pewterwheel/internal/session"
	"pewterwheel/internal/wire"
)

// FindingsError is a file that was found wrong.
type FindingsError struct{ Findings config.Findings }

func (e *FindingsError) Error() string {
	var lines []string
	for _, f := range e.Findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Reader reads a sidecar's file, at the start and again on each reload.
type Reader struct {
	path  string
	read  func(string) ([]byte, error)
	level *slog.LevelVar
	log   *slog.Logger

	seed  string
	first config.Sidecar // as it started
	zones []string       // numbers of zones, in order
	last  *config.Document
}

// NewReader returns a reader of a file. Level is set as the file says; it may be nil, and then stays.
func NewReader(path string, level *slog.LevelVar) *Reader {
	return &Reader{path: path, read: os.ReadFile, level: level, log: slog.New(slog.DiscardHandler)}
}

// load reads and checks the file.
func (r *Reader) load() (*config.Document, config.Sidecar, error) {
	text, err := r.read(r.path)
	if err != nil {
		return nil, config.Sidecar{}, &UnreadableError{fmt.Errorf("could not read the configuration: %w", err)}
	}
	result := config.Check([]config.File{{Name: r.path, Text: text}})
	if result.Findings.Errors() > 0 {
		return nil, config.Sidecar{}, &FindingsError{result.Findings}
	}
	s, err := result.Documents[0].Sidecar()
	return result.Documents[0], s, err
}

// Settings gives what the file says, checked, without starting anything.
func (r *Reader) Settings() (config.Sidecar, error) {
	_, s, err := r.load()
	return s, err
}

// Read gives the service's configuration. On a reload it holds what can change while the program runs, and the rest as
// it was at the start; a file that is wrong is an error, and changes nothing.
func (r *Reader) Read() (service.Config, error) {
	doc, s, err := r.load()
	if err != nil {
		return service.Config{}, err
	}
	if r.last == nil {
		seed := make([]byte, 8)
		if _, err := rand.Read(seed); err != nil {
			return service.Config{}, err
		}
		r.first, r.seed = s, hex.EncodeToString(seed)
	} else {
		for _, c := range config.Diff(r.last, doc) {
			if c.Reload {
				r.log.Info("configuration changes", "section", c.Section, "what", c.What)
			} else {
				r.log.Warn("configuration waits for the next start", "section", c.Section, "what", c.What)
			}
		}
		s = merge(r.first, s)
	}
	r.last = doc
	if r.level != nil {
		_ = r.level.UnmarshalText([]byte(s.LogLevel)) // the checker knows the levels
	}
	return r.service(s), nil
}

// merge takes of a new file what can change while the program runs. Pools and classes are those of the start: the
// module was built for them.
func merge(first, s config.Sidecar) config.Sidecar {
	m := first
	m.Sidecars, m.LogLevel, m.Rules.Linger = s.Sidecars, s.LogLevel, s.Rules.Linger
	a, b := &m.Application, &s.Application
	a.Sidecars, a.Share, a.Repeats, a.RepeatsFloor = b.Sidecars, b.Share, b.Repeats, b.RepeatsFloor
	a.SpillWait, a.SpillReturn, a.SpillLeast = b.SpillWait, b.SpillReturn, b.SpillLeast
	m.Pools = slices.Clone(first.Pools)
	known := map[string]bool{}
	for i := range m.Pools {
		known[m.Pools[i].Name] = true
		for _, p := range s.Pools {
			if p.Name == m.Pools[i].Name {
				m.Pools[i] = p
			}
		}
	}
	m.Hosts = slices.DeleteFunc(slices.Clone(s.Hosts), func(h config.Host) bool { return !known[h.Pool] })
	m.Classes = slices.Clone(first.Classes)
	for i := range m.Classes {
		c := &m.Classes[i]
		for _, n := range s.Classes {
			if n.Name != c.Name {
				continue
			}
			c.Rate, c.Share = n.Rate, n.Share
			if pools := slices.DeleteFunc(slices.Clone(n.Pools), func(p string) bool { return !known[p] }); len(pools) > 0 {
				c.Pools = pools
			}
		}
	}
	return m
}

// service turns settings into the service's configuration.
func (r *Reader) service(s config.Sidecar) service.Config {
	var c service.Config
	c.Name, c.Listen, c.Seed = s.Application.Name, s.Application.Listener.String(), r.seed
	if s.Application.Control.IsValid() {
		c.Control = s.Application.Control.String()
	}
	c.Limits.Cores, c.Limits.MemoryMB, c.Limits.Sockets = s.Machine.Cores, s.Machine.Memory>>20, s.Machine.Descriptors
	places := map[string]int{}
	routes := route.Config{Sidecars: s.Sidecars, Repeats: s.Application.Repeats, Floor: s.Application.RepeatsFloor,
		Wait: s.Application.SpillWait, Return: s.Application.SpillReturn, Least: s.Application.SpillLeast}
	for i, p := range s.Pools {
		places[p.Name] = i
		routes.Pools = append(routes.Pools, route.Pool{Name: p.Name, Rate: p.LimitRate, Open: p.LimitOpen, Whole: p.Rate})
	}
	set := &c.Settings
	set.Balancers, set.Quantum = s.Sidecars, s.Rules.Quantum
	for _, cl := range s.Classes {
		set.Classes = append(set.Classes, wire.ClassSettings{Name: cl.Name, Aim: cl.Aim, Deadline: cl.Deadline, Worth: cl.Worth,
			Late: cl.LateWorth, Effect: strings.ReplaceAll(cl.Effect, "-", "_"), Scope: cl.Scope, Window: cl.Window})
		rc := route.Class{Share: cl.Share}
		for _, p := range cl.Pools {
			rc.Pools = append(rc.Pools, places[p])
		}
		routes.Classes = append(routes.Classes, rc)
	}
	set.Info.Guard, set.Info.Resend = s.Rules.Guard, s.Rules.Resend
	set.Limits.MaxTries, set.Limits.Cancel, set.Limits.RetryAfter = s.Application.Tries, true, true
	set.Limits.Dial, set.Limits.MaxHeld, set.Limits.MaxAfter = s.Rules.ConnectTime, s.Application.Open, s.Rules.StayAway
	set.Rules.Slack, set.Rules.Start, set.Rules.Cold = s.Rules.AnswerSlack, s.Rules.StartCapacity, s.Rules.Cold
	set.Rules.Grace, set.Rules.Multiple, set.Rules.Fall = s.Rules.DrainGrace, s.Rules.ColdMultiple, s.Rules.Fall
	set.Rules.Ask = 1 << 60 // a file has not to be asked
	for _, h := range s.Hosts {
		zone := slices.Index(r.zones, h.Zone)
		if zone < 0 {
			zone = len(r.zones)
			r.zones = append(r.zones, h.Zone)
		}
		c.Members = append(c.Members, membership.Member{Name: h.Name, Address: h.Address, Place: places[h.Pool], Zone: zone,
			Weight: h.Weight, Draining: h.Draining})
	}
	set.Zones = r.zones
	c.Linger = s.Rules.Linger
	c.Part = routes
	c.Node = func(set decide.Settings, seed uint64) (session.Decider, error) {
		inner, err := decide.New(routes.Settings(set), seed)
		if err != nil {
			return nil, err
		}
		return route.New(routes, set, inner, seed)
	}
	return c
}

// UnreadableError is a file that could not be read, or a word of the command that is off.
type UnreadableError struct{ Err error }

func (e *UnreadableError) Error() string { return e.Err.Error() }
func (e *UnreadableError) Unwrap() error { return e.Err }

// Serve checks a file and serves by it until SIGTERM. Format and level take the place of what the file says, unless they
// are empty. What is logged goes to out.
func Serve(path, format, level string, out io.Writer) error {
	signals := service.Signals()
	var own slog.LevelVar
	follow := &own
	if level != "" {
		if err := own.UnmarshalText([]byte(level)); err != nil {
			return &UnreadableError{fmt.Errorf("log level %q: debug, info, warn or error", level)}
		}
		follow = nil
	}
	r := NewReader(path, follow)
	s, err := r.Settings()
	if err != nil {
		return err
	}
	if err := enough(s.Machine.Descriptors); err != nil {
		return err
	}
	if format == "" {
		format = s.LogFormat
	}
	options := &slog.HandlerOptions{Level: &own}
	log := slog.New(slog.NewTextHandler(out, options))
	if format == "json" {
		log = slog.New(slog.NewJSONHandler(out, options))
	}
	r.log = log
	return service.Run(r.Read, signals, log)
}

// enough tells whether this process may open as many descriptors as the file counts on. Guards against a sidecar that
// serves well until the afternoon on which it needs them.
func enough(descriptors int) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("descriptors: %w", err)
	}
	if limit.Cur < uint64(descriptors) { // the runtime has raised it to what it may be raised to
		return fmt.Errorf("the file counts on %d descriptors, and this process may open %d; raise its limit, or lower descriptors of [machine]", descriptors, limit.Cur)
	}
	return nil
}
