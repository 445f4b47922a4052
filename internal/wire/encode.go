package wire

import (
	"encoding/json"
	"fmt"

	"pewterwheel/decide"
)

// Reply is the answer to one batch.
type Reply struct {
	Frame uint64      `json:"frame"`
	Parts []ReplyPart `json:"parts"`
}

// ReplyPart is what one node does.
type ReplyPart struct {
	Node    int64 `json:"node_id"`
	Actions []any `json:"actions"`
}

type route struct {
	What   string          `json:"what"`
	Handle decide.CallID   `json:"handle"`
	Server decide.ServerID `json:"server"`
}

type answer struct {
	What   string        `json:"what"`
	Handle decide.CallID `json:"handle"`
	Wait   int64         `json:"not_before_for_us,omitempty"`
}

type undo struct {
	What   string        `json:"what"`
	Handle decide.CallID `json:"handle"`
	N      int           `json:"n"`
}

type timer struct {
	What   string `json:"what"`
	Offset int64  `json:"offset_us"`
	Label  uint64 `json:"label"`
}

type watch struct {
	What   string `json:"what"`
	Active bool   `json:"active"`
}

type words struct {
	What  string `json:"what"`
	Words string `json:"words"`
}

// Broken is the action that declares the decision code of a node broken.
func Broken(text string) any { return words{"GIVE_IN", text} }

// Action turns one of the module's actions into its message.
func Action(a decide.Action) (any, error) {
	switch a.Kind {
	case decide.Send:
		return route{"ROUTE", a.Call, a.Server}, nil
	case decide.Refuse:
		return answer{"OVERLOAD_REPLY", a.Call, a.Wait}, nil
	case decide.Fail:
		return answer{What: "SURRENDER", Handle: a.Call}, nil
	case decide.Cancel:
		return undo{"UNDO_SEND", a.Call, a.Attempt}, nil
	case decide.StartTimer:
		return timer{"SET_TIMER", a.Wait, a.Token}, nil
	case decide.SubscribeList:
		return watch{"WATCH", true}, nil
	case decide.Log:
		return words{"WRITE_LOG", a.Text}, nil
	}
	return nil, fmt.Errorf("action of unknown kind %d", a.Kind)
}

// Encode writes a reply as one line with its newline.
func Encode(r Reply) ([]byte, error) {
	if r.Parts == nil {
		r.Parts = []ReplyPart{}
	}
	line, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("reply to batch %d: %w", r.Frame, err)
	}
	return append(line, '\n'), nil
}
