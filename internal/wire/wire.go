// Package wire turns the JSON lines of the bench's protocol into the decision module's types and back.
package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"pewterwheel/decide"
)

// Kind tells what a decoded event is for.
type Kind int

// The kinds of decoded event.
const (
	Init     Kind = iota + 1 // a node starts: Seed, Settings
	Teardown                 // a node is killed
	Manifest                 // a numbered list for the whole process: Sheet, Rows
	Update                   // news of the list: Sheet names the rows, Event the form
	Plain                    // Event goes to the module as it is
)

// Event is one event of a batch.
type Event struct {
	Kind     Kind
	Seed     uint64
	Settings decide.Settings
	Sheet    int
	Rows     []decide.Listed
	Event    decide.Event
}

// Part is what one node is told in a batch.
type Part struct {
	Node   int64
	Events []Event
}

// Batch is one line of input.
type Batch struct {
	Now   int64
	Frame uint64
	Parts []Part
}

// Sheets is the number of lists a process keeps.
const Sheets = 16

type rawBatch struct {
	Now   *int64  `json:"ts_us"`
	Frame *uint64 `json:"frame"`
	Parts []struct {
		Node *int64            `json:"node_id"`
		News []json.RawMessage `json:"news"`
	} `json:"parts"`
}

type rawEvent struct {
	Handle   *uint64            `json:"handle"`
	Class    int                `json:"tier_class"`
	Team     int                `json:"team"`
	Key      string             `json:"key"`
	Deadline *int64             `json:"client_deadline_us"`
	Dest     *float64           `json:"destination"`
	Retry    bool               `json:"again_by_client"`
	Again    bool               `json:"again"`
	Transit  bool               `json:"passing"`
	Server   *string            `json:"server"`
	N        int                `json:"n"`
	Took     int64              `json:"time_taken_us"`
	Result   *string            `json:"result"`
	Code     int                `json:"clear_code"`
	Finished bool               `json:"finished"`
	Load     map[string]float64 `json:"load"`
	Label    *uint64            `json:"label"`
	Form     *string            `json:"form"`
	Sheet    *int               `json:"sheet"`
	Rows     []rawRow           `json:"rows"`
	Nonce    *json.Number       `json:"nonce64"`
	Settings *Settings          `json:"settings"`
}

type rawRow struct {
	Server  *string  `json:"server"`
	Zone    int      `json:"failure_domain"`
	Place   int      `json:"place_no"`
	State   *string  `json:"availability"`
	Share   *float64 `json:"share"`
	ReadyAt int64    `json:"ready_at_us"`
}

var outcomes = map[string]decide.Outcome{"S": decide.OK, "E": decide.Failed, "F": decide.Rejected,
	"T": decide.TimedOut, "C": decide.Unreachable, "R": decide.Cut, "X": decide.Cancelled, "N": decide.NotSent}

var forms = map[string]decide.Form{"incr": decide.ListDelta, "total": decide.ListFull,
	"warm_copy": decide.ListCached, "lost": decide.ListFailed}

var states = map[string]decide.State{"up": decide.Up, "draining": decide.Draining, "removed": decide.Removed}

// Decode reads one line. Unknown fields and unknown kinds of event are passed over.
func Decode(line []byte) (Batch, error) {
	var raw rawBatch
	if err := json.Unmarshal(line, &raw); err != nil {
		return Batch{}, fmt.Errorf("batch %s: %w", frameOf(raw.Frame), plain(err))
	}
	if raw.Frame == nil {
		return Batch{}, errors.New("batch without number: field frame is missing")
	}
	b := Batch{Frame: *raw.Frame}
	if raw.Now == nil {
		return Batch{}, fmt.Errorf("batch %d: field ts_us is missing", b.Frame)
	}
	b.Now = *raw.Now
	for i, p := range raw.Parts {
		if p.Node == nil {
			return Batch{}, fmt.Errorf("batch %d: part %d: field node_id is missing", b.Frame, i)
		}
		part := Part{Node: *p.Node}
		for j, msg := range p.News {
			ev, ok, err := decodeEvent(msg)
			if err != nil {
				return Batch{}, fmt.Errorf("batch %d: node %d, event %d: %w", b.Frame, part.Node, j, err)
			}
			if ok {
				part.Events = append(part.Events, ev)
			}
		}
		b.Parts = append(b.Parts, part)
	}
	return b, nil
}

func frameOf(f *uint64) string {
	if f == nil {
		return "without number"
	}
	return strconv.FormatUint(*f, 10)
}

// plain words a JSON error so that it names the field.
func plain(err error) error {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return fmt.Errorf("field %s: %s where %s is wanted", te.Field, te.Value, te.Type)
	}
	return err
}

func decodeEvent(msg []byte) (Event, bool, error) {
	var name struct {
		What *string `json:"what"`
	}
	if err := json.Unmarshal(msg, &name); err != nil {
		return Event{}, false, plain(err)
	}
	if name.What == nil {
		return Event{}, false, errors.New("field what is missing")
	}
	build, known := builders[*name.What]
	if !known {
		return Event{}, false, nil
	}
	var raw rawEvent
	dec := json.NewDecoder(bytes.NewReader(msg))
	if err := dec.Decode(&raw); err != nil {
		return Event{}, false, fmt.Errorf("%s: %w", *name.What, plain(err))
	}
	ev, err := build(&raw)
	if err != nil {
		return Event{}, false, fmt.Errorf("%s: %w", *name.What, err)
	}
	return ev, true, nil
}

var builders = map[string]func(*rawEvent) (Event, error){
	"INIT":                buildInit,
	"TEARDOWN":            func(*rawEvent) (Event, error) { return Event{Kind: Teardown}, nil },
	"MANIFEST":            buildManifest,
	"UPDATE":              buildUpdate,
	"ORDER":               buildOrder,
	"BEGUN":               buildBegun,
	"ENDED":               buildEnded,
	"CANCELLED_BY_CLIENT": buildGone,
	"FIRED":               buildFired,
	"HEALTH":              buildHealth,
}

// need names the first field of the list that is absent.
func need(fields ...any) error {
	for i := 0; i < len(fields); i += 2 {
		missing := false
		switch p := fields[i+1].(type) {
		case *uint64:
			missing = p == nil
		case *int64:
			missing = p == nil
		case *int:
			missing = p == nil
		case *string:
			missing = p == nil
		}
		if missing {
			return fmt.Errorf("field %s is missing", fields[i])
		}
	}
	return nil
}

func buildInit(r *rawEvent) (Event, error) {
	if r.Nonce == nil || r.Settings == nil {
		return Event{}, errors.New("fields nonce64 and settings are needed")
	}
	seed, err := strconv.ParseUint(r.Nonce.String(), 10, 64)
	if err != nil {
		signed, serr := strconv.ParseInt(r.Nonce.String(), 10, 64)
		if serr != nil {
			return Event{}, fmt.Errorf("field nonce64: %q is no 64-bit integer", r.Nonce.String())
		}
		seed = uint64(signed)
	}
	set, err := r.Settings.Decide()
	return Event{Kind: Init, Seed: seed, Settings: set}, err
}

func sheetOf(p *int) (int, error) {
	if p == nil {
		return 0, errors.New("field sheet is missing")
	}
	if *p < 0 || *p >= Sheets {
		return 0, fmt.Errorf("field sheet: no list can have number %d", *p)
	}
	return *p, nil
}

func buildManifest(r *rawEvent) (Event, error) {
	sheet, err := sheetOf(r.Sheet)
	if err != nil {
		return Event{}, err
	}
	ev := Event{Kind: Manifest, Sheet: sheet, Rows: []decide.Listed{}}
	for i, row := range r.Rows {
		if row.Server == nil || row.State == nil {
			return Event{}, fmt.Errorf("field rows: entry %d lacks server or availability", i)
		}
		state, ok := states[*row.State]
		if !ok {
			return Event{}, fmt.Errorf("field availability: unknown value %q", *row.State)
		}
		share := 1.0
		if row.Share != nil {
			share = *row.Share
		}
		ev.Rows = append(ev.Rows, decide.Listed{ID: decide.ServerID(*row.Server), Zone: row.Zone,
			Place: row.Place, State: state, Share: share, Started: row.ReadyAt})
	}
	return ev, nil
}

func buildUpdate(r *rawEvent) (Event, error) {
	if err := need("form", r.Form); err != nil {
		return Event{}, err
	}
	form, ok := forms[*r.Form]
	if !ok {
		return Event{}, fmt.Errorf("field form: unknown value %q", *r.Form)
	}
	ev := Event{Kind: Update, Event: decide.Event{Kind: decide.ListUpdate, Form: form}}
	if form == decide.ListFailed {
		return ev, nil
	}
	var err error
	ev.Sheet, err = sheetOf(r.Sheet)
	return ev, err
}

func buildOrder(r *rawEvent) (Event, error) {
	if err := need("handle", r.Handle, "client_deadline_us", r.Deadline); err != nil {
		return Event{}, err
	}
	dest := -1
	if r.Dest != nil {
		dest = int(*r.Dest)
	}
	return Event{Kind: Plain, Event: decide.Event{Kind: decide.CallArrived, Call: decide.CallID(*r.Handle),
		Class: r.Class, Tenant: r.Team, Key: r.Key, Deadline: *r.Deadline, Destination: dest, MarkedRepeat: r.Retry,
		AgainAfterCut: r.Again, Transit: r.Transit}}, nil
}

func buildBegun(r *rawEvent) (Event, error) {
	if err := need("handle", r.Handle, "server", r.Server); err != nil {
		return Event{}, err
	}
	return Event{Kind: Plain, Event: decide.Event{Kind: decide.SetUpCompleted, Call: decide.CallID(*r.Handle),
		Server: decide.ServerID(*r.Server), Attempt: r.N, Elapsed: r.Took}}, nil
}

// Clear codes. A full processor may add 16 times a wait; a tandem may say that the one behind it was full.
const (
	fullNote   = 3
	turnedFull = 18
)

func buildEnded(r *rawEvent) (Event, error) {
	if err := need("handle", r.Handle, "result", r.Result); err != nil {
		return Event{}, err
	}
	out, ok := outcomes[*r.Result]
	if !ok {
		return Event{}, fmt.Errorf("field result: unknown value %q", *r.Result)
	}
	ev := decide.Event{Kind: decide.AttemptEnded, Call: decide.CallID(*r.Handle), Attempt: r.N, Elapsed: r.Took,
		Outcome: out, AnswerGiven: r.Finished, ProcessorFull: r.Code%16 == fullNote || r.Code == turnedFull,
		Load: load(r.Load)}
	if r.Server != nil {
		ev.Server = decide.ServerID(*r.Server)
	}
	return Event{Kind: Plain, Event: ev}, nil
}

func buildGone(r *rawEvent) (Event, error) {
	if err := need("handle", r.Handle); err != nil {
		return Event{}, err
	}
	return Event{Kind: Plain, Event: decide.Event{Kind: decide.CallerLeft, Call: decide.CallID(*r.Handle)}}, nil
}

func buildFired(r *rawEvent) (Event, error) {
	if err := need("label", r.Label); err != nil {
		return Event{}, err
	}
	return Event{Kind: Plain, Event: decide.Event{Kind: decide.TimerFired, Token: *r.Label}}, nil
}

func buildHealth(r *rawEvent) (Event, error) {
	if err := need("server", r.Server, "result", r.Result); err != nil {
		return Event{}, err
	}
	out, ok := outcomes[*r.Result]
	if !ok {
		return Event{}, fmt.Errorf("field result: unknown value %q", *r.Result)
	}
	return Event{Kind: Plain, Event: decide.Event{Kind: decide.ServerReport, Server: decide.ServerID(*r.Server),
		Elapsed: r.Took, Outcome: out, Load: load(r.Load)}}, nil
}

func load(m map[string]float64) decide.Load {
	l := decide.NoLoad()
	for name, v := range m { // no order: each goes to a field of its own
		l = told(l, name, v)
	}
	return l
}

// told sets the one figure that a server tells under a name. Names that are not known are passed over.
func told(l decide.Load, name string, v float64) decide.Load {
	switch name {
	case "recent_ms":
		if v >= 0 {
			l.Wait = v * 1000
		}
	case "can_take":
		l.CanTake = v
	case "utilization":
		l.Utilization = v
	case "backlog":
		l.QueuedMessages = v
	case "hold_back":
		l.HoldBack = v
	case "free":
		l.FreeLines = v
	}
	return l
}
