// Package config decodes what a deployment tells one backend: the settings object, which the simulator
// hands to an instance at its start and the configuration file to a program, and that file itself.
package config

import (
	"encoding/json"
	"math"

	"milletbarrow/admission"
)

// Settings is a decoded settings object.
type Settings struct {
	Admission        admission.Config
	Operations       []string // names, by number
	Tenants          []string
	Gauges           []string
	DeadlineOptional bool     // frames need not tell how long callers wait: it is the client timeout then
	IgnoredFields    []string // fields that permit what this program has no way to do, and leaves
	words            words
}

// words are the choices that the object spells out.
type words struct {
	repeats                []string
	below, preemption, say string
	worthBy                string
	freshMs                float64
}

// object is the part of the settings that Settings is made of.
type object struct {
	Classes []struct {
		Name       string  `json:"name"`
		AimMs      float64 `json:"aim_ms"`
		AimStretch float64 `json:"aim_stretch"`
		DeadlineMs float64 `json:"deadline_ms"`
		Repeat     string  `json:"repeat"`
		WindowMs   float64 `json:"window_ms"`
		LateValue  float64 `json:"late_value"`
		Worth      float64 `json:"worth"`
	} `json:"classes"`
	Projects []struct {
		Name      string  `json:"name"`
		QuotaPerS float64 `json:"quota_per_s"`
	} `json:"projects"`
	Clients struct {
		MarksRetry *bool `json:"marks_retry"` // absent: they are marked
	} `json:"clients"`
	OverShareWorth float64 `json:"over_share_worth"`
	WorthBy        string  `json:"worth_by"`
	FleetSize      int     `json:"fleet_size"`
	RoundMs        float64 `json:"round_ms"`
	Limits         struct {
		MaxRetryAfterMs float64 `json:"max_retry_after_ms"`
		RetryAfter      bool    `json:"retry_after"`
	} `json:"policy_limits"`
	Rules struct {
		AnswerSlackMs float64 `json:"answer_slack_ms"`
		ColdMs        float64 `json:"cold_ms"`
		ColdShare     float64 `json:"cold_share"`
		DrainGraceMs  float64 `json:"drain_grace_ms"`
		FallMs        float64 `json:"fall_ms"`
		FallMultiple  float64 `json:"fall_multiple"`
	} `json:"invariants"`
	Family struct {
		Below         string    `json:"below"`
		Callers       int       `json:"callers"`
		CallsOut      float64   `json:"calls_out"`
		CallsOverMs   float64   `json:"calls_over_ms"`
		ClassCalls    []bool    `json:"class_calls"`
		DegradedWorth []float64 `json:"degraded_worth"`
		FreshMs       float64   `json:"fresh_ms"`
		IdleMs        float64   `json:"idle_ms"`
		JustStarted   bool      `json:"just_started"`
		KeyKB         float64   `json:"key_kb"`
		LingerMs      float64   `json:"linger_ms"`
		MemLimitKB    float64   `json:"mem_limit_kb"`
		Cores         int       `json:"n_cores"`
		Gauges        []string  `json:"own_stats"`
		Preemption    string    `json:"preemption"`
		Passes        *bool     `json:"passes_deadline"` // absent: they tell
		RunFactor     float64   `json:"run_factor"`
		Say           string    `json:"say"`
	} `json:"family_info"`
}

var (
	repeats = map[string]admission.RetrySafety{
		"idempotent": admission.Idempotent, "deduplicated": admission.IdempotencyKeyed, "at_most_once": admission.NonIdempotent,
	}
	preemptions = map[string]admission.Preemption{
		"off": admission.NoPreemption, "discard": admission.PreemptionDiscards, "freeze": admission.PreemptionPauses,
	}
	freeValues = map[string]admission.AdvertisedValue{
		"off":       admission.NothingAdvertised,
		"floor":     admission.NothingAdvertised, // no decision here makes one
		"allowance": admission.CallerAllowance, "weight": admission.TrafficWeight,
	}
)

// Micros converts milliseconds, with room to add two of them safely.
func Micros(ms float64) admission.Micros {
	const most = 1e15
	return admission.Micros(math.Round(math.Max(-most, math.Min(most, ms*1000))))
}

// UnmarshalJSON decodes a settings object; keys that it does not know are skipped.
func (s *Settings) UnmarshalJSON(raw []byte) error {
	var o object
	if err := json.Unmarshal(raw, &o); err != nil {
		return err
	}
	f, r := &o.Family, &o.Rules
	t := admission.Config{
		OverQuotaValue: o.OverShareWorth, FleetSize: o.FleetSize, Callers: f.Callers, Cores: f.Cores,
		MemoryKB: f.MemLimitKB, RunFactor: f.RunFactor, IdempotencyKeyKB: f.KeyKB,
		JustStarted: f.JustStarted, Preemption: preemptions[f.Preemption], AdvertisedValue: freeValues[f.Say],
		AnswerSlack: Micros(r.AnswerSlackMs), DrainGrace: Micros(r.DrainGraceMs),
		ColdSpeed: r.ColdShare, WarmUp: Micros(r.ColdMs), CollapseMultiple: r.FallMultiple, CollapseAfter: Micros(r.FallMs),
		SharedDependency: f.Below == "one_for_all", CallQuota: f.CallsOut, CallQuotaWindow: Micros(f.CallsOverMs),
		AbandonedCallLinger: Micros(f.LingerMs), BatchInterval: Micros(o.RoundMs), ValuePerWork: o.WorthBy == "work", IdleTimeout: Micros(f.IdleMs),
	}
	t.RetriesUnmarked = o.Clients.MarksRetry != nil && !*o.Clients.MarksRetry
	if o.Limits.RetryAfter {
		t.MaxRetryAfter = Micros(o.Limits.MaxRetryAfterMs)
	}
	*s = Settings{Gauges: f.Gauges, DeadlineOptional: f.Passes != nil && !*f.Passes, words: words{below: f.Below, preemption: f.Preemption, say: f.Say, worthBy: o.WorthBy, freshMs: f.FreshMs}}
	for _, p := range o.Projects {
		t.QuotaPerSecond = append(t.QuotaPerSecond, p.QuotaPerS)
		s.Tenants = append(s.Tenants, p.Name)
	}
	for n, c := range o.Classes {
		op := admission.Operation{
			RetrySafety: repeats[c.Repeat], Value: c.Worth, Objective: Micros(c.AimMs), ObjectiveStretch: c.AimStretch,
			ClientTimeout: Micros(c.DeadlineMs), RepeatWindow: Micros(c.WindowMs), LateValue: c.LateValue,
		}
		if n < len(f.ClassCalls) {
			op.MakesCalls = f.ClassCalls[n]
		}
		if n < len(f.DegradedWorth) {
			op.ValueWithoutCall = f.DegradedWorth[n]
		}
		t.Operations = append(t.Operations, op)
		s.Operations = append(s.Operations, c.Name)
		s.words.repeats = append(s.words.repeats, c.Repeat)
	}
	s.Admission = t
	return nil
}

// Reading names raw gauge values; what is not among them is -1.
func (s *Settings) Reading(values []float64) admission.Reading {
	return Reading(s.Gauges, values)
}

// Reading names raw gauge values by the names given; what is not among them is -1.
func Reading(names []string, values []float64) admission.Reading {
	r := admission.Reading{CoreUse: -1, OnCores: -1, MemoryShare: -1, Connections: -1}
	byName := map[string]*float64{
		"core_use": &r.CoreUse, "on_cores": &r.OnCores, "heap_share": &r.MemoryShare, "links": &r.Connections,
	}
	for n, name := range names {
		if to := byName[name]; to != nil && n < len(values) {
			*to = values[n]
		}
	}
	return r
}
