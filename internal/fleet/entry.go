package fleet

// State is what a process does.
type State uint8

// The states of a process, in order of its life.
const (
	Starting State = iota + 1
	Serving
	Draining
	Leaving
)

// What a process speaks, as its entry says. Numbers are never given anew.
const (
	// ProtocolWindows writes its windows into its entry, which spreads to all with each of them.
	ProtocolWindows = 0
	// ProtocolHeads spreads its entry on change alone, without windows, reads Updates, and sends windows to who asks for them.
	ProtocolHeads = 2
)

// Entry is what one process tells of itself. Nobody else writes it.
type Entry struct {
	Name        string
	Incarnation uint64 // this life of the process; every later life has a higher one, also when the clock stepped back
	Version     uint64 // of this entry, within the life
	Program     string // the program's version
	Settings    uint64 // digest of the settings it goes by
	Zone        string
	State       State
	Roster      uint64          // number of the roster it knows
	Protocol    uint64          // what its writer speaks: ProtocolWindows, ProtocolHeads or later
	Windows     []Window        // the newest last; MaxWindows at the most
	Parts       map[Kind][]byte // what the modules keep in it; MaxBody each

	rest fields // of a newer version: kept, and written again
}

// Window are a process's figures over one stretch of time of fixed length. Numbers count up from the process's start.
type Window struct {
	Number uint64
	Length int64 // microseconds
	Class  []ClassFigures
	CPU    int64  // microseconds of processor time used
	Memory int64  // bytes resident at its end
	Broken uint64 // counters that must stay 0, summed, as they stand since the process's start

	rest fields
}

// ClassFigures are what became of the calls of one class in a window.
type ClassFigures struct {
	Name                                   string
	Offered, Served, Refused, Failed, Late uint64
	Worth, Whole                           float64  // worth served, and that of all offered
	Waits                                  []uint32 // answers by their wait: bucket i holds waits of under 2^(i+9) microseconds

	rest fields
}
