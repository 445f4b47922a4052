package wire

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"pewterwheel/decide"
)

func one(t *testing.T, event string) Event {
	t.Helper()
	b, err := Decode([]byte(`{"ts_us":77,"frame":3,"parts":[{"node_id":2,"news":[` + event + `]}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if b.Now != 77 || b.Frame != 3 || len(b.Parts) != 1 || b.Parts[0].Node != 2 || len(b.Parts[0].Events) != 1 {
		t.Fatalf("decoded %+v", b)
	}
	return b.Parts[0].Events[0]
}

func TestDecodeEvents(t *testing.T) {
	quiet := decide.NoLoad()
	told := decide.NoLoad()
	told.FreeLines = 2
	told.CanTake, told.Wait = 31.5, 40_000
	for line, want := range map[string]decide.Event{
		`{"what":"ORDER","handle":4503599627370495,"tier_class":1,"team":2,"key":"n/q","client_deadline_us":900,
			"destination":3,"circuits":1,"advised_route":-1,"again_by_client":true,"novel":[1]}`: {
			Kind: decide.CallArrived, Call: 4503599627370495, Class: 1, Tenant: 2, Key: "n/q", Deadline: 900, Destination: 3,
			MarkedRepeat: true},
		`{"what":"BEGUN","handle":8,"time_taken_us":55,"server":"h:1","n":2}`: {Kind: decide.SetUpCompleted, Call: 8,
			Server: "h:1", Attempt: 2, Elapsed: 55},
		`{"what":"ENDED","handle":8,"result":"F","clear_code":3,"time_taken_us":5,"n":1,"server":"h:1",
			"load":{"free":2,"can_take":31.5,"recent_ms":40,"new_one":1}}`: {Kind: decide.AttemptEnded, Call: 8,
			Server: "h:1", Attempt: 1, Elapsed: 5, Outcome: decide.Rejected, ProcessorFull: true, Load: told},
		`{"what":"ENDED","handle":8,"result":"E","clear_code":4,"finished":true}`: {Kind: decide.AttemptEnded, Call: 8,
			Outcome: decide.Failed, AnswerGiven: true, Load: quiet},
		`{"what":"ENDED","handle":8,"result":"F","clear_code":1603}`: {Kind: decide.AttemptEnded, Call: 8,
			Outcome: decide.Rejected, ProcessorFull: true, Load: quiet},
		`{"what":"CANCELLED_BY_CLIENT","handle":9}`:     {Kind: decide.CallerLeft, Call: 9},
		`{"what":"FIRED","label":9223372036854775808}`:  {Kind: decide.TimerFired, Token: 1 << 63},
		`{"what":"HEALTH","server":"h:1","result":"S"}`: {Kind: decide.ServerReport, Server: "h:1", Outcome: decide.OK, Load: quiet},
	} {
		if got := one(t, line); got.Kind != Plain || !reflect.DeepEqual(got.Event, want) {
			t.Errorf("%s\n got %+v\nwant %+v", line, got.Event, want)
		}
	}
}

func TestDecodeListsAndInit(t *testing.T) {
	got := one(t, `{"what":"MANIFEST","sheet":15,"rows":[{"server":"h:1","failure_domain":1,"place_no":4,
		"availability":"draining","share":1.5,"ready_at_us":61}]}`)
	row := decide.Listed{ID: "h:1", Zone: 1, Place: 4, State: decide.Draining, Share: 1.5, Started: 61}
	if got.Kind != Manifest || got.Sheet != 15 || len(got.Rows) != 1 || got.Rows[0] != row {
		t.Errorf("list: %+v", got)
	}
	for form, want := range map[string]decide.Form{"incr": decide.ListDelta, "total": decide.ListFull,
		"warm_copy": decide.ListCached, "lost": decide.ListFailed} {
		got := one(t, `{"what":"UPDATE","form":"`+form+`","sheet":2,"rev":1}`)
		if got.Kind != Update || got.Event.Form != want {
			t.Errorf("%s: %+v", form, got)
		}
	}
	got = one(t, `{"what":"INIT","nonce64":18446744073709551615,"settings":{"balancers":4,"later":{},
		"classes":[{"aim_us":5,"deadline_us":9,"importance":2,"effect":"guarded","dedup_scope":"cell","key_ttl_us":6}],
		"family_info":{"class_cells":[[1,2]],"guard_us":7,"resend_us":8},"discovery":"subscribe",
		"rules":{"start_capacity":0.5,"fall_multiple":3}}}`)
	s := got.Settings
	class := decide.Class{Aim: 5, Deadline: 9, Worth: 2, Effect: decide.Guarded, Scope: decide.ScopeCell,
		Window: 6, Pools: []int{1, 2}}
	if got.Seed != 1<<64-1 || s.Instances != 4 || !s.Subscribe || s.ResendAfter != 8 || s.Rules.GuardTime != 7 ||
		s.Rules.StartCapacity != 0.5 || s.HomePlace != -1 || !reflect.DeepEqual(s.Classes, []decide.Class{class}) {
		t.Errorf("settings: %+v", got)
	}
}

func TestDecodeMalformed(t *testing.T) {
	part := func(e string) string { return `{"ts_us":1,"frame":12,"parts":[{"node_id":0,"news":[` + e + `]}]}` }
	for line, want := range map[string]string{
		`not json`:                 "invalid",
		`{"ts_us":1,"parts":[]}`:   "frame is missing",
		`{"frame":12,"parts":[]}`:  "batch 12: field ts_us",
		`{"ts_us":"x","frame":12}`: "field ts_us",
		part(`{"handle":1}`):       "field what is missing",
		part(`{"what":"FIRED"}`):   "batch 12: node 0, event 0: FIRED: field label",
		part(`{"what":"ORDER","handle":"x","client_deadline_us":1}`):                "field handle",
		part(`{"what":"ORDER","handle":1}`):                                         "client_deadline_us is missing",
		part(`{"what":"ENDED","handle":1,"result":"Q"}`):                            `unknown value "Q"`,
		part(`{"what":"UPDATE","form":"total","sheet":16}`):                         "number 16",
		part(`{"what":"UPDATE","form":"odd","sheet":1}`):                            `unknown value "odd"`,
		part(`{"what":"MANIFEST","sheet":1,"rows":[{"availability":"up"}]}`):        "lacks server",
		part(`{"what":"INIT","nonce64":1.5,"settings":{}}`):                         "nonce64",
		part(`{"what":"INIT","nonce64":1,"settings":{"classes":[{"effect":"?"}]}}`): "unknown effect",
		`{"ts_us":1,"frame":12,"parts":[{"news":[]}]}`:                              "node_id is missing",
	} {
		if _, err := Decode([]byte(line)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s\n got %v\nwant a message with %q", line, err, want)
		}
	}
	b, err := Decode([]byte(part(`{"what":"SOMETHING_NEW","handle":"x"}`)))
	if err != nil || len(b.Parts[0].Events) != 0 {
		t.Errorf("an unknown event should be skipped: %v %v", b, err)
	}
}

func TestActions(t *testing.T) {
	for want, a := range map[string]decide.Action{
		`{"what":"ROUTE","handle":5,"server":"h:1"}`:                     {Kind: decide.Send, Call: 5, Server: "h:1"},
		`{"what":"OVERLOAD_REPLY","handle":5}`:                           {Kind: decide.Refuse, Call: 5},
		`{"what":"OVERLOAD_REPLY","handle":5,"not_before_for_us":70}`:    {Kind: decide.Refuse, Call: 5, Wait: 70},
		`{"what":"SURRENDER","handle":5}`:                                {Kind: decide.Fail, Call: 5},
		`{"what":"UNDO_SEND","handle":5,"n":0}`:                          {Kind: decide.Cancel, Call: 5},
		`{"what":"SET_TIMER","offset_us":9,"label":9223372036854775808}`: {Kind: decide.StartTimer, Wait: 9, Token: 1 << 63},
		`{"what":"WATCH","active":true}`:                                 {Kind: decide.SubscribeList},
		`{"what":"WRITE_LOG","words":"a \"quoted\" word"}`:               {Kind: decide.Log, Text: `a "quoted" word`},
	} {
		m, err := Action(a)
		if err != nil {
			t.Fatal(err)
		}
		if got, _ := json.Marshal(m); string(got) != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
	if _, err := Action(decide.Action{}); err == nil {
		t.Error("an action of no kind was encoded")
	}
	if line, err := Encode(Reply{Frame: 4}); err != nil || string(line) != "{\"frame\":4,\"parts\":[]}\n" {
		t.Errorf("empty reply: %q %v", line, err)
	}
}
