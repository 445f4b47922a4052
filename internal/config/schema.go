package config

// Owner tells whose file a section stands in. A written file holds all of them.
type Owner int

// The owners.
const (
	OfSite Owner = iota + 1
	OfApplication
	OfWriter // computed where the file is written
)

// Naming tells what stands behind a section's kind.
type Naming int

// The ways of naming a section.
const (
	Alone  Naming = iota // nothing: there is one such section
	ByWord               // a name of our own
	ByHost               // a host's name in the site's domain
)

// Setting is one key: what it may be, and what it is where the file does not say.
type Setting struct {
	Key      string
	Type     Type
	Default  string // as a file would have it; empty: the setting is required, or absent if Optional
	Optional bool   // absent where the file does not say
	Min, Max float64
	Choices  []string
	Reload   bool // takes effect on reload; else at the next start
	Doc      string
}

// Section is one kind of section.
type Section struct {
	Kind     string
	Owner    Owner
	Named    Naming
	Required bool // one at least has to be there
	Absent   bool // nothing is made of it where no file has it: what it switches on is off
	Doc      string
	Settings []Setting
}

const (
	ms     = 1e3
	second = 1e6
	minute = 60e6
	hour   = 3600e6
	kib    = 1 << 10
	mib    = 1 << 20
	gib    = 1 << 30
)

// Sections is every section and key there is. Reader, checker, writer and diff go by it, and the operators' page lists it.
var Sections = []Section{
	{Kind: "site", Owner: OfSite, Required: true, Doc: "what holds for all sidecars of a site", Settings: []Setting{
		{Key: "name", Type: Word, Doc: "the site's name"},
		{Key: "domain", Type: Domain, Doc: "every host of the site is below it"},
		{Key: "sidecars", Type: Count, Min: 1, Max: 100_000, Reload: true, Doc: "how many sidecars the site runs in all; a cold host's bound is divided by it"},
		{Key: "ports", Type: Ports, Default: "1024-65535", Doc: "where listeners and control addresses may be"},
		{Key: "log-level", Type: Choice, Default: "info", Choices: []string{"debug", "info", "warn", "error"}, Reload: true, Doc: "what is logged at the least"},
		{Key: "log-format", Type: Choice, Default: "text", Choices: []string{"text", "json"}, Doc: "how it is logged"},
	}},
	{Kind: "machine", Owner: OfSite, Doc: "what one sidecar may use", Settings: []Setting{
		{Key: "cores", Type: Figure, Default: "1", Min: 0.1, Max: 64, Doc: "processor cores"},
		{Key: "memory", Type: Size, Default: "256MiB", Min: 32 * mib, Max: 64 * gib, Doc: "memory; an eighth of it is for open set-ups"},
		{Key: "descriptors", Type: Count, Default: "1024", Min: 128, Max: 1 << 20, Doc: "file descriptors; half of them are for callers"},
	}},
	{Kind: "rules", Owner: OfSite, Doc: "the figures of the rules", Settings: []Setting{
		{Key: "guard", Type: Duration, Default: "200ms", Min: 200 * ms, Max: 10 * second, Doc: "after a time-out, reset or cancel no attempt before this has passed"},
		{Key: "drain-grace", Type: Duration, Default: "1s", Max: second, Doc: "sends to a drained or gone host must have stopped this long after it was told"},
		{Key: "answer-slack", Type: Duration, Default: "20ms", Max: second, Doc: "how long after its deadline a final answer still counts"},
		{Key: "connect-time", Type: Duration, Default: "500ms", Min: 10 * ms, Max: 2 * second, Doc: "a connection that takes longer has failed"},
		{Key: "resend", Type: Duration, Default: "500ms", Max: minute, Doc: "a set-up that waits this long is repeated by the network; 0s: never"},
		{Key: "quantum", Type: Duration, Default: "5ms", Min: ms, Max: 50 * ms, Doc: "the shortest time between two looks"},
		{Key: "start-capacity", Type: Part, Default: "28%", Min: 0.01, Max: 1, Doc: "least part of its capacity a host starts with"},
		{Key: "cold", Type: Duration, Default: "13s", Min: second, Max: 10 * minute, Doc: "a host is warm after this"},
		{Key: "cold-multiple", Type: Figure, Default: "3", Min: 1, Max: 3, Doc: "more work than this times its present capacity pushes a cold host over"},
		{Key: "fall", Type: Duration, Default: "1500ms", Min: 100 * ms, Max: minute, Doc: "that much work for this long pushes it over"},
		{Key: "stay-away", Type: Duration, Default: "2s", Max: minute, Doc: "the longest time to stay away that callers are told"},
		{Key: "linger", Type: Duration, Default: "10m", Max: 24 * hour, Reload: true, Doc: "how long calls may go on standing at a host that has left the file"},
	}},
	{Kind: "pool", Owner: OfSite, Named: ByWord, Required: true, Doc: "hosts that serve the same", Settings: []Setting{
		{Key: "rate", Type: Rate, Min: 0.01, Max: 1e6, Reload: true, Doc: "set-ups that the whole pool takes when all its hosts are warm"},
		{Key: "open", Type: Count, Min: 1, Max: 1e6, Reload: true, Doc: "set-ups that the whole pool may have open"},
	}},
	{Kind: "host", Owner: OfSite, Named: ByHost, Required: true, Doc: "one call server", Settings: []Setting{
		{Key: "address", Type: Socket, Reload: true, Doc: "where it is reached; a host at a new address is a new host, and cold"},
		{Key: "pool", Type: Word, Reload: true, Doc: "the pool that it belongs to"},
		{Key: "zone", Type: Word, Default: "none", Reload: true, Doc: "what fails together"},
		{Key: "weight", Type: Figure, Default: "1", Min: 0.01, Max: 1000, Reload: true, Doc: "its size beside the other hosts of its pool"},
		{Key: "state", Type: Choice, Default: "up", Choices: []string{"up", "draining"}, Reload: true, Doc: "draining: nothing new is sent there, what stands goes on"},
	}},
	{Kind: "fleet", Owner: OfSite, Absent: true, Doc: "what sidecars that speak with each other share; without it none does", Settings: []Setting{
		{Key: "cluster", Type: Word, Doc: "the fleet's name; what comes from another one is passed by"},
		{Key: "roster-number", Type: Count, Min: 1, Max: 1e9, Reload: true, Doc: "the roster's number; it grows by one with each change of the roster"},
		{Key: "roster", Type: Words, Reload: true, Doc: "members that vote on who alone may act: an odd number, three at least"},
		{Key: "seeds", Type: Words, Optional: true, Reload: true, Doc: "members to join by; absent: all of them"},
		{Key: "lease", Type: Duration, Default: "2s", Min: 500 * ms, Max: minute, Doc: "how long who alone may act may do so without asking again"},
		{Key: "drift", Type: Part, Default: "1%", Min: 0.001, Max: 0.2, Doc: "how much faster or slower than another the clock of a machine may run at the most"},
		{Key: "control-bytes", Type: Count, Default: "11000", Min: 2000, Max: 1e8, Doc: "bytes a second that one member's traffic with the others may have in the long run, in and out together"},
	}},
	{Kind: "member", Owner: OfSite, Named: ByWord, Doc: "one process of the fleet", Settings: []Setting{
		{Key: "address", Type: Socket, Reload: true, Doc: "where others reach it, by UDP and TCP"},
		{Key: "bind", Type: Socket, Optional: true, Doc: "where it listens, if that is another address"},
		{Key: "zone", Type: Word, Default: "none", Doc: "what fails together"},
	}},
	{Kind: "change", Owner: OfSite, Absent: true, Doc: "a change that is brought out in stages, from SIGHUP to any member on", Settings: []Setting{
		{Key: "number", Type: Count, Min: 1, Max: 1e9, Reload: true, Doc: "the change's number; each has a higher one"},
		{Key: "settings", Type: Path, Optional: true, Reload: true, Doc: "the new written file; {member} and {application} stand for their names"},
		{Key: "program", Type: Path, Optional: true, Reload: true, Doc: "the new program's file"},
	}},
	{Kind: "keepers", Owner: OfSite, Absent: true, Doc: "keepers of called numbers that run out of lines", Settings: []Setting{
		{Key: "numbers", Type: Count, Default: "16", Min: 1, Max: 16, Doc: "numbers that one member keeps at the most"},
		{Key: "share", Type: Part, Default: "5%", Max: 1, Doc: "calls to a kept number that go without a permit while its keeper cannot be reached"},
	}},
	{Kind: "pooling", Owner: OfSite, Absent: true, Doc: "connections to hosts by what callers' sessions were observed to need", Settings: []Setting{
		{Key: "mode", Type: Choice, Default: "watch", Choices: []string{"off", "watch", "on"}, Doc: "watch: verdicts are reached and shown; all calls go by session, but for the trials"},
		{Key: "unsafe", Type: Part, Default: "0.01%", Min: 0.00001, Max: 0.01, Doc: "unsafe sessions that may be taken for safe at the most"},
	}},
	{Kind: "application", Owner: OfApplication, Required: true, Doc: "what an application declares of itself", Settings: []Setting{
		{Key: "name", Type: Word, Doc: "the application's name; its sidecar's file is named after it"},
		{Key: "listener", Type: Socket, Doc: "where the application connects to its sidecar"},
		{Key: "control", Type: Socket, Optional: true, Doc: "the second address, for staff and tools"},
		{Key: "sidecars", Type: Count, Default: "1", Min: 1, Max: 100_000, Reload: true, Doc: "how many sidecars of this application run"},
		{Key: "callers", Type: Count, Default: "64", Min: 1, Max: 1 << 19, Doc: "connections that the application opens at the most"},
		{Key: "open", Type: Count, Default: "1000", Min: 1, Max: 1e6, Doc: "set-ups that one sidecar holds at the most"},
		{Key: "description", Type: Size, Default: "2KiB", Min: 1, Max: 16 * kib, Doc: "a set-up's usual description at the most"},
		{Key: "tries", Type: Count, Default: "3", Min: 1, Max: 6, Doc: "attempts for one call"},
		{Key: "share", Type: Part, Min: 0.0001, Max: 1, Reload: true, Doc: "the part of its pools that the application may use"},
		{Key: "repeats", Type: Part, Default: "20%", Max: 1, Reload: true, Doc: "repeated attempts, as a part of first ones"},
		{Key: "repeats-floor", Type: Rate, Default: "1/s", Max: 1e4, Reload: true, Doc: "repeated attempts that one sidecar may make in any case"},
		{Key: "spill-wait", Type: Duration, Default: "100ms", Min: 20 * ms, Max: 10 * second, Reload: true, Doc: "a call that waited this long at a pool may move to the next"},
		{Key: "spill-return", Type: Part, Default: "5%", Min: 0.001, Max: 1, Reload: true, Doc: "what of a class returns to an earlier pool each second"},
		{Key: "spill-least", Type: Part, Default: "2%", Min: 0.001, Max: 1, Reload: true, Doc: "what still goes to a capped pool at the least, so that its recovery is seen"},
	}},
	{Kind: "class", Owner: OfApplication, Named: ByWord, Required: true, Doc: "one class of call", Settings: []Setting{
		{Key: "aim", Type: Duration, Min: ms, Max: hour, Doc: "set up within this, a call earns its full worth"},
		{Key: "deadline", Type: Duration, Min: ms, Max: hour, Doc: "the caller gives up after this"},
		{Key: "worth", Type: Figure, Default: "1", Max: 1e6, Doc: "worth of a call that stands"},
		{Key: "late-worth", Type: Part, Default: "10%", Max: 1, Doc: "part of the worth earned after the aim"},
		{Key: "effect", Type: Choice, Choices: []string{"free", "guarded", "single-shot"}, Doc: "what repeating a call may do: nothing; dropped by the hosts for a time; harm"},
		{Key: "scope", Type: Choice, Default: "all", Choices: []string{"all", "zone", "cell"}, Doc: "for guarded: the hosts among which repeats are dropped (cell: the pool)"},
		{Key: "window", Type: Duration, Default: "0s", Max: 24 * hour, Doc: "for guarded: how long repeats are dropped"},
		{Key: "pools", Type: Words, Reload: true, Doc: "pools that may take it, in order of choice"},
		{Key: "rate", Type: Rate, Min: 0, Max: 1e6, Reload: true, Doc: "expected calls, over all sidecars of the application"},
		{Key: "share", Type: Part, Optional: true, Min: 0.0001, Max: 1, Reload: true, Doc: "its part of what the application may use; else by expected rate"},
	}},
	{Kind: "limit", Owner: OfWriter, Named: ByWord, Doc: "what this sidecar may use of a pool; computed", Settings: []Setting{
		{Key: "rate", Type: Rate, Min: 0, Max: 1e6, Reload: true, Doc: "set-ups"},
		{Key: "open", Type: Count, Min: 1, Max: 1e6, Reload: true, Doc: "open set-ups"},
	}},
}

func sectionOf(kind string) *Section {
	for i := range Sections {
		if Sections[i].Kind == kind {
			return &Sections[i]
		}
	}
	return nil
}

func (s *Section) setting(key string) *Setting {
	for i := range s.Settings {
		if s.Settings[i].Key == key {
			return &s.Settings[i]
		}
	}
	return nil
}

// required tells whether a file has to give the setting.
func (s *Setting) required() bool { return s.Default == "" && !s.Optional }
