package wire

import (
	"fmt"
	"time"

	"pewterwheel/decide"
)

// ClassSettings is what the settings say of one class of call.
type ClassSettings struct {
	Name     string  `json:"name"`
	Aim      int64   `json:"aim_us"`
	Deadline int64   `json:"deadline_us"`
	Worth    float64 `json:"importance"`
	Late     float64 `json:"late_worth"`
	Effect   string  `json:"effect"`
	Scope    string  `json:"dedup_scope"`
	Window   int64   `json:"key_ttl_us"`
}

// Settings is the settings object as it stands in JSON, for the adapter and the real program alike.
type Settings struct {
	Zones     []string        `json:"areas"`
	Balancers int             `json:"balancers"`
	Classes   []ClassSettings `json:"classes"`
	Discovery string          `json:"discovery"`
	Info      struct {
		Cells  [][]int `json:"class_cells"`
		Widths []int   `json:"class_width"`
		Guard  int64   `json:"guard_us"`
		Resend int64   `json:"resend_us"`
		Home   *int    `json:"home_no"`
	} `json:"family_info"`
	Limits struct {
		MaxTries   int   `json:"most_tries"`
		Cancel     bool  `json:"may_cancel"`
		RetryAfter bool  `json:"retry_after"`
		Dial       int64 `json:"dial_timeout_us"`
		MaxHeld    int   `json:"most_held"`
		MaxAfter   int64 `json:"max_retry_after_us"`
	} `json:"policy_limits"`
	Quantum int64 `json:"quantum_us"`
	Rules   struct {
		Slack    int64   `json:"answer_slack_us"`
		Ask      int64   `json:"ask_within_us"`
		Start    float64 `json:"start_capacity"`
		Cold     int64   `json:"cold_us"`
		Grace    int64   `json:"drain_grace_us"`
		Multiple float64 `json:"fall_multiple"`
		Fall     int64   `json:"fall_us"`
	} `json:"rules"`
	Tenants []struct {
		Quota float64 `json:"quota_per_s"`
	} `json:"tenants"`
	OverShare float64 `json:"over_share_worth"`
}

var effects = map[string]decide.Effect{"": decide.Repeatable, "free": decide.Repeatable, "guarded": decide.Guarded,
	"single_shot": decide.SingleShot}

var scopes = map[string]decide.Scope{"": decide.ScopeAll, "all": decide.ScopeAll, "zone": decide.ScopeZone,
	"cell": decide.ScopeCell}

// DialLimit is how long a connect may take.
func (r *Settings) DialLimit() time.Duration {
	if r.Limits.Dial <= 0 {
		return 500 * time.Millisecond
	}
	return time.Duration(r.Limits.Dial) * time.Microsecond
}

// Decide gives the part of the settings that the decisions need.
func (r *Settings) Decide() (decide.Settings, error) {
	s := decide.Settings{Instances: r.Balancers, OverShareWorth: r.OverShare, ResendAfter: r.Info.Resend,
		Quantum: r.Quantum, MaxTries: r.Limits.MaxTries, MayCancel: r.Limits.Cancel,
		RetryAdvice: r.Limits.RetryAfter, MaxRetryAfter: r.Limits.MaxAfter,
		Subscribe: r.Discovery == "subscribe", HomePlace: -1,
		Rules: decide.Rules{AnswerSlack: r.Rules.Slack, DrainGrace: r.Rules.Grace,
			StartCapacity: r.Rules.Start, ColdTime: r.Rules.Cold, FallMultiple: r.Rules.Multiple,
			FallTime: r.Rules.Fall, AskWithin: r.Rules.Ask, GuardTime: r.Info.Guard}}
	if r.Info.Home != nil {
		s.HomePlace = *r.Info.Home
	}
	for i, c := range r.Classes {
		effect, ok := effects[c.Effect]
		if !ok {
			return s, fmt.Errorf("field settings.classes: unknown effect %q", c.Effect)
		}
		scope, ok := scopes[c.Scope]
		if !ok {
			return s, fmt.Errorf("field settings.classes: unknown dedup_scope %q", c.Scope)
		}
		class := decide.Class{Aim: c.Aim, Deadline: c.Deadline, Worth: c.Worth, LateWorth: c.Late,
			Effect: effect, Scope: scope, Window: c.Window}
		if i < len(r.Info.Cells) {
			class.Pools = r.Info.Cells[i]
		}
		s.Classes = append(s.Classes, class)
	}
	for _, t := range r.Tenants {
		s.Tenants = append(s.Tenants, decide.Tenant{Quota: t.Quota})
	}
	return s, nil
}
