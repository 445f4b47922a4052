package wire

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"

	"pewterwheel/decide"
)

// Office is one record of the journal: a call server and where it is reached.
type Office struct {
	decide.Listed
	Address netip.AddrPort
}

// Change is one numbered event of the journal.
type Change struct {
	Number  uint64
	Empty   bool // nothing new
	Whole   bool // all there is, in place of what was known
	Offices []Office
}

const (
	frameHead  = 9 // number and kind, which the length counts
	recordSize = 27
	// maxFrame is far above any list of call servers; a longer frame is not one of the journal's.
	maxFrame = 1 << 20
)

// NextFrame reads the first frame of buf and tells how many bytes it took; 0 means that more is needed.
func NextFrame(buf []byte) (Change, int, error) {
	if len(buf) < 4 {
		return Change{}, 0, nil
	}
	size := int64(binary.BigEndian.Uint32(buf))
	if size < frameHead || size > maxFrame {
		return Change{}, 0, fmt.Errorf("journal frame of %d bytes", size)
	}
	end := 4 + int(size)
	if len(buf) < end {
		return Change{}, 0, nil
	}
	c := Change{Number: binary.BigEndian.Uint64(buf[4:])}
	switch kind := buf[12]; kind {
	case 0:
		c.Empty = true
		return c, end, nil
	case 1:
		c.Whole = true
	case 2:
	default:
		return Change{}, 0, fmt.Errorf("journal frame %d of unknown kind %d", c.Number, kind)
	}
	records := buf[13:end]
	if len(records)%recordSize != 0 {
		return Change{}, 0, fmt.Errorf("journal frame %d: %d bytes are no whole records", c.Number, len(records))
	}
	for ; len(records) > 0; records = records[recordSize:] {
		o, err := record(records)
		if err != nil {
			return Change{}, 0, fmt.Errorf("journal frame %d: %w", c.Number, err)
		}
		c.Offices = append(c.Offices, o)
	}
	return c, end, nil
}

func record(b []byte) (Office, error) {
	id := binary.BigEndian.Uint32(b)
	if b[10] > 2 {
		return Office{}, fmt.Errorf("s-%08x: unknown state %d", id, b[10])
	}
	var o Office
	o.ID = decide.ServerID(fmt.Sprintf("s-%08x", id))
	o.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), binary.BigEndian.Uint16(b[8:]))
	o.State = decide.State(b[10])
	o.Zone = int(b[11])
	o.Place = int(binary.BigEndian.Uint16(b[13:]))
	o.Share = float64(binary.BigEndian.Uint32(b[15:])) / 1000
	o.Started = int64(binary.BigEndian.Uint64(b[19:])) * 1000
	return o, nil
}

// Known is the part of the journal that a controller finds in its configuration.
type Known struct {
	Last    uint64  `json:"pos"`
	Entries []Entry `json:"entries"`
}

// Entry is one event of the journal in JSON.
type Entry struct {
	Number uint64 `json:"pos"`
	List   struct {
		Whole   bool `json:"whole"`
		Offices []struct {
			ID      string  `json:"host"`
			Address string  `json:"dial"`
			Zone    string  `json:"site"`
			Place   int     `json:"block"`
			State   string  `json:"health"`
			Share   float64 `json:"share"`
			Started int64   `json:"born_ms"`
		} `json:"hosts"`
	} `json:"hosts"`
}

var journalStates = map[string]decide.State{"SERVING": decide.Up, "DRAINING": decide.Draining,
	"DELETED": decide.Removed}

// Change reads an entry; zones are named as in the settings, and one that is not among them comes behind them.
func (e Entry) Change(zones []string) (Change, error) {
	c := Change{Number: e.Number, Whole: e.List.Whole}
	for _, raw := range e.List.Offices {
		state, ok := journalStates[raw.State]
		if !ok {
			return c, fmt.Errorf("event %d: %s: unknown state %q", e.Number, raw.ID, raw.State)
		}
		address, err := netip.ParseAddrPort(raw.Address)
		if err != nil {
			return c, fmt.Errorf("event %d: %s: %w", e.Number, raw.ID, err)
		}
		o := Office{Address: address, Listed: decide.Listed{ID: decide.ServerID(raw.ID), Place: raw.Place,
			State: state, Share: raw.Share, Started: raw.Started * 1000}}
		// Guards against taking a place that the settings do not know for the first: a repeat may be bound to its zone.
		if o.Zone = slices.Index(zones, raw.Zone); o.Zone < 0 && raw.Zone != "" {
			o.Zone = len(zones)
		}
		o.Zone = max(0, o.Zone)
		c.Offices = append(c.Offices, o)
	}
	return c, nil
}
