package fleet

import (
	"fmt"
	"math"
)

// MaxUpdate bounds a coded update, in bytes.
const MaxUpdate = 160

// Update is what changes often in an entry, without the rest: a fraction of an entry's bytes. It holds on top of the entry
// of one version alone.
type Update struct {
	Name        string
	Incarnation uint64
	Base        uint64 // version of the entry that it is on top of
	Version     uint64 // of the update: higher than Base, and than that of every earlier update
	State       State
	Settings    uint64
	Roster      uint64
}

// Coded is the newest that is known of a member, as it passes between processes.
type Coded struct {
	Entry  []byte // whole
	Update []byte // on top of it; nil: there is none
}

// Newest is the part of it that is the newest.
func (c Coded) Newest() []byte {
	if c.Update != nil {
		return c.Update
	}
	return c.Entry
}

// Keys of an update's fields. They are spoken between versions: none is given anew.
const (
	updateName = iota + 1
	updateIncarnation
	updateBase
	updateVersion
	updateState
	updateSettings
	updateRoster
)

// Encode writes an update.
func (u *Update) Encode() []byte {
	f := fields{}
	f.put(updateName, u.Name, u.Name == "")
	f.put(updateIncarnation, u.Incarnation, u.Incarnation == 0)
	f.put(updateBase, u.Base, u.Base == 0)
	f.put(updateVersion, u.Version, u.Version == 0)
	f.put(updateState, uint64(u.State), u.State == 0)
	f.put(updateSettings, u.Settings, u.Settings == 0)
	f.put(updateRoster, u.Roster, u.Roster == 0)
	return f.bytes()
}

// DecodeUpdate reads an update. Fields that it does not know are passed over. The error is an *EntryError.
func DecodeUpdate(b []byte) (*Update, error) {
	if len(b) > MaxUpdate {
		return nil, &EntryError{len(b), fmt.Sprintf("an update over %d", MaxUpdate)}
	}
	var f fields
	if err := decoder().Unmarshal(b, &f); err != nil {
		return nil, &EntryError{len(b), fmt.Sprintf("an update: %v", err)}
	}
	u := &Update{}
	var state uint64
	for key, into := range []any{updateName: &u.Name, updateIncarnation: &u.Incarnation, updateBase: &u.Base, updateVersion: &u.Version,
		updateState: &state, updateSettings: &u.Settings, updateRoster: &u.Roster} {
		if into == nil {
			continue
		}
		if err := f.get(uint64(key), into); err != nil {
			return nil, &EntryError{len(b), fmt.Sprintf("an update, field %d: %v", key, err)}
		}
	}
	switch {
	case u.Name == "" || len(u.Name) > MaxName:
		return nil, &EntryError{len(b), fmt.Sprintf("an update with a name of %d bytes", len(u.Name))}
	case u.Incarnation == 0 || u.Incarnation > maxIncarnation || u.Base == 0 || u.Version <= u.Base:
		return nil, &EntryError{len(b), fmt.Sprintf("an update of incarnation %d, %d on top of %d", u.Incarnation, u.Version, u.Base)}
	case state == 0 || state > math.MaxUint8:
		return nil, &EntryError{len(b), fmt.Sprintf("an update with state %d", state)}
	}
	u.State = State(state)
	return u, nil
}
