// Package sidecar starts and reloads a session controller from a sidecar's file: it turns the checked settings into
// the service's configuration, and keeps what a running program cannot change as it was at the start.
package sidecar

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"

	"github.com/cespare/xxhash/v2"

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

	company Company // nil: this process serves alone

	mu      sync.Mutex
	applied string       // the file of a change that this process goes by; empty: its own
	taken   chan<- error // told once what came of the next Read
	digest  uint64       // of the file that it goes by
}

// GoBy sets the file of a change that the next Read takes the settings from; empty: the process's own. Taken is told what
// came of it, and has room for that. It returns the one before.
func (r *Reader) GoBy(path string, taken chan<- error) (was string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	was = r.applied
	r.applied, r.taken = path, taken
	return was
}

// Going tells by which settings the process goes: their digest, and the file of a change that they are from.
func (r *Reader) Going() (digest uint64, applied string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.digest, r.applied
}

// NewReader returns a reader of a file. Level is set as the file says; it may be nil, and then stays.
func NewReader(path string, level *slog.LevelVar) *Reader {
	return &Reader{path: path, read: os.ReadFile, level: level, log: slog.New(slog.DiscardHandler)}
}

// load reads and checks a file.
func (r *Reader) load(path string) (d *config.Document, s config.Sidecar, digest uint64, err error) {
	text, err := r.read(path)
	if err != nil {
		return nil, s, 0, &UnreadableError{fmt.Errorf("could not read the configuration: %w", err)}
	}
	result := config.Check([]config.File{{Name: path, Text: text}})
	if result.Findings.Errors() > 0 {
		return nil, s, 0, &FindingsError{result.Findings}
	}
	s, err = result.Documents[0].Sidecar()
	return result.Documents[0], s, xxhash.Sum64(text), err
}

// Settings gives what the file says, checked, without starting anything.
func (r *Reader) Settings() (config.Sidecar, error) {
	_, s, _, err := r.load(r.path)
	return s, err
}

// With says whom the process serves with. It comes before the first Read.
func (r *Reader) With(c Company) { r.company = c }

// Path is the process's own file.
func (r *Reader) Path() string { return r.path }

// Read gives the service's configuration. On a reload it holds what can change while the program runs, and the rest as
// it was at the start; a file that is wrong is an error, and changes nothing.
func (r *Reader) Read() (service.Config, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, err := r.readAnew()
	if r.taken != nil {
		r.taken <- err
		r.taken = nil
	}
	return c, err
}

// readAnew reads the process's own file, and that of a change if it goes by one. What concerns the fleet is in its own.
func (r *Reader) readAnew() (service.Config, error) {
	doc, s, digest, err := r.load(r.path)
	if err != nil {
		return service.Config{}, err
	}
	own := s
	if r.applied != "" && r.taken == nil && r.company != nil && r.company.Released() {
		r.applied = ""
	}
	if r.applied != "" {
		if doc, s, digest, err = r.load(r.applied); err != nil {
			return service.Config{}, err
		}
	}
	if r.digest = digest; r.company != nil {
		r.company.Loaded(own, digest)
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
	routes := route.Config{Sidecars: s.Sidecars, RepeatRatio: s.Application.Repeats, MinRepeatRate: s.Application.RepeatsFloor,
		MoveAfter: s.Application.SpillWait, ReturnRate: s.Application.SpillReturn, MinFlow: s.Application.SpillLeast}
	for i, p := range s.Pools {
		places[p.Name] = i
		routes.Pools = append(routes.Pools, route.Pool{Name: p.Name, RateLimit: p.LimitRate, MaxOpen: p.LimitOpen, TotalRate: p.Rate})
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
		routed, err := route.New(routes, set, inner, seed)
		if err != nil || r.company == nil {
			return routed, err
		}
		var names []string
		for _, cl := range s.Classes {
			names = append(names, cl.Name)
		}
		return r.company.Front(set, names, routed), nil
	}
	if r.company != nil {
		r.company.Configure(&c)
	}
	return c
}

// UnreadableError is a file that could not be read, or a word of the command that is off.
type UnreadableError struct{ Err error }

func (e *UnreadableError) Error() string { return e.Err.Error() }
func (e *UnreadableError) Unwrap() error { return e.Err }

// MemberVariable of the environment names the member that this process is, where no flag does.
const MemberVariable = "PEWTERWHEEL_MEMBER"

// ErrProgram is what a member's name gets from a program without what members share.
var ErrProgram = errors.New("this program serves alone; members are served by pewterwheel-member, which lies beside it after make build")

// Company is what a process has to do with the others of its fleet.
type Company interface {
	// Front makes what stands before the decider of this process. Classes are the names of the settings' classes.
	Front(set decide.Settings, classes []string, inner session.Decider) session.Decider
	// Configure sets what the service needs beside the file's own: a clock, lanes.
	Configure(c *service.Config)
	// Loaded tells of each file of this process's own that was read, and the digest of the settings that it goes by.
	Loaded(own config.Sidecar, digest uint64)
	// Released tells whether a process that goes by the file of a change may go by its own again.
	Released() bool
	// Forward passes signals on, and may add some.
	Forward(<-chan os.Signal) <-chan os.Signal
	// Run serves until Leave, which returns once all of it has ended.
	Run()
	Leave()
}

// Join makes the company of a process of that member's name. It is set by the program that has it, and nil in others: the
// platform's process holds none of the libraries for it.
var Join func(r *Reader, s config.Sidecar, member string, log *slog.Logger) (Company, error)

// Options are the words of the command.
type Options struct {
	Path          string // of the sidecar's file
	Format, Level string // of the log, in place of what the file says; empty: as it says
	Member        string // which member of the fleet this process is; empty: none
}

// Serve checks a file and serves by it until SIGTERM. What is logged goes to out.
func Serve(o Options, out io.Writer) error {
	path, format, level := o.Path, o.Format, o.Level
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
	if o.Member == "" {
		if s.Fleet != nil {
			log.Info("serving alone: the file has a fleet, and no member is named")
		}
		return service.Run(r.Read, signals, log)
	}
	if Join == nil {
		return ErrProgram
	}
	company, err := Join(r, s, o.Member, log)
	if err != nil {
		return err
	}
	r.With(company)
	signals = r.company.Forward(signals)
	go r.company.Run()
	defer r.company.Leave()
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
