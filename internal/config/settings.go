// Package config decodes and validates the platform's JSON for one backend: the settings object, which the simulator
// hands to an instance at its start and the configuration file to a process, and that file itself (Backend). Keys of the
// JSON are the platform's; keys that are not known are skipped.
package config

import (
	"encoding/json"

	"milletbarrow/admission"
	"milletbarrow/monotime"
)

// Settings is a decoded settings object.
type Settings struct {
	Admission        admission.Config
	Operations       []string // names, by number
	Tenants          []string // names, by number
	Gauges           []string // names, in the order of their values
	DeadlineOptional bool     // frames may lack the time that their caller still waits: it is the client timeout then
	IgnoredFields    []string // what the settings permit and this program has no way to do
	choices          choices
}

// choices are the fields that validation needs as they are spelled.
type choices struct {
	retrySafety     []string // by operation
	dependency      string
	preemption      string
	advertisedValue string
	valueBy         string
	freshMs         float64
}

// object is the JSON form of Settings.
type object struct {
	Operations []struct {
		Name             string  `json:"name"`
		ObjectiveMs      float64 `json:"aim_ms"`
		ObjectiveStretch float64 `json:"aim_stretch"`
		ClientTimeoutMs  float64 `json:"deadline_ms"`
		RetrySafety      string  `json:"repeat"`
		RepeatWindowMs   float64 `json:"window_ms"`
		LateValue        float64 `json:"late_value"`
		Value            float64 `json:"worth"`
	} `json:"classes"`
	Tenants []struct {
		Name           string  `json:"name"`
		QuotaPerSecond float64 `json:"quota_per_s"`
	} `json:"projects"`
	Clients struct {
		MarksRetry *bool `json:"marks_retry"` // absent: they are marked
	} `json:"clients"`
	OverQuotaValue  float64 `json:"over_share_worth"`
	ValueBy         string  `json:"worth_by"`
	FleetSize       int     `json:"fleet_size"`
	BatchIntervalMs float64 `json:"round_ms"`
	Limits          struct {
		MaxRetryAfterMs float64 `json:"max_retry_after_ms"`
		RetryAfter      bool    `json:"retry_after"`
	} `json:"policy_limits"`
	Rules struct {
		AnswerSlackMs    float64 `json:"answer_slack_ms"`
		WarmUpMs         float64 `json:"cold_ms"`
		ColdSpeed        float64 `json:"cold_share"`
		DrainGraceMs     float64 `json:"drain_grace_ms"`
		CollapseAfterMs  float64 `json:"fall_ms"`
		CollapseMultiple float64 `json:"fall_multiple"`
	} `json:"invariants"`
	Family struct {
		Dependency            string    `json:"below"`
		Callers               int       `json:"callers"`
		CallQuota             float64   `json:"calls_out"`
		CallQuotaWindowMs     float64   `json:"calls_over_ms"`
		MakesCalls            []bool    `json:"class_calls"`
		ValueWithoutCall      []float64 `json:"degraded_worth"`
		FreshMs               float64   `json:"fresh_ms"`
		IdleTimeoutMs         float64   `json:"idle_ms"`
		JustStarted           bool      `json:"just_started"`
		IdempotencyKeyKB      float64   `json:"key_kb"`
		AbandonedCallLingerMs float64   `json:"linger_ms"`
		MemLimitKB            float64   `json:"mem_limit_kb"`
		Cores                 int       `json:"n_cores"`
		Gauges                []string  `json:"own_stats"`
		Preemption            string    `json:"preemption"`
		PassesDeadline        *bool     `json:"passes_deadline"` // absent: they do
		RunFactor             float64   `json:"run_factor"`
		AdvertisedValue       string    `json:"say"`
	} `json:"family_info"`
}

var (
	retrySafeties = map[string]admission.RetrySafety{
		"idempotent": admission.Idempotent, "deduplicated": admission.IdempotencyKeyed, "at_most_once": admission.NonIdempotent,
	}
	preemptions = map[string]admission.Preemption{
		"off": admission.NoPreemption, "discard": admission.PreemptionDiscards, "freeze": admission.PreemptionPauses,
	}
	advertisedValues = map[string]admission.AdvertisedValue{
		"off":       admission.NothingAdvertised,
		"floor":     admission.NothingAdvertised, // no decision here makes one
		"allowance": admission.CallerAllowance, "weight": admission.TrafficWeight,
	}
)

// UnmarshalJSON decodes a settings object; keys that it does not know are skipped.
func (s *Settings) UnmarshalJSON(raw []byte) error {
	var o object
	if err := json.Unmarshal(raw, &o); err != nil {
		return err
	}
	f := &o.Family
	*s = Settings{
		Admission:        o.deployment(),
		Gauges:           f.Gauges,
		DeadlineOptional: f.PassesDeadline != nil && !*f.PassesDeadline,
		choices: choices{
			dependency: f.Dependency, preemption: f.Preemption, advertisedValue: f.AdvertisedValue,
			valueBy: o.ValueBy, freshMs: f.FreshMs,
		},
	}
	for _, tenant := range o.Tenants {
		s.Admission.QuotaPerSecond = append(s.Admission.QuotaPerSecond, tenant.QuotaPerSecond)
		s.Tenants = append(s.Tenants, tenant.Name)
	}
	for n, c := range o.Operations {
		s.Admission.Operations = append(s.Admission.Operations, o.operation(n))
		s.Operations = append(s.Operations, c.Name)
		s.choices.retrySafety = append(s.choices.retrySafety, c.RetrySafety)
	}
	return nil
}

// deployment is the configuration of the backend, without operations and quotas.
func (o *object) deployment() admission.Config {
	f, r := &o.Family, &o.Rules
	c := admission.Config{
		OverQuotaValue:      o.OverQuotaValue,
		FleetSize:           o.FleetSize,
		Callers:             f.Callers,
		Cores:               f.Cores,
		MemoryKB:            f.MemLimitKB,
		RunFactor:           f.RunFactor,
		IdempotencyKeyKB:    f.IdempotencyKeyKB,
		JustStarted:         f.JustStarted,
		Preemption:          preemptions[f.Preemption],
		AdvertisedValue:     advertisedValues[f.AdvertisedValue],
		AnswerSlack:         monotime.FromMilliseconds(r.AnswerSlackMs),
		DrainGrace:          monotime.FromMilliseconds(r.DrainGraceMs),
		ColdSpeed:           r.ColdSpeed,
		WarmUp:              monotime.FromMilliseconds(r.WarmUpMs),
		CollapseMultiple:    r.CollapseMultiple,
		CollapseAfter:       monotime.FromMilliseconds(r.CollapseAfterMs),
		SharedDependency:    f.Dependency == "one_for_all",
		CallQuota:           f.CallQuota,
		CallQuotaWindow:     monotime.FromMilliseconds(f.CallQuotaWindowMs),
		AbandonedCallLinger: monotime.FromMilliseconds(f.AbandonedCallLingerMs),
		BatchInterval:       monotime.FromMilliseconds(o.BatchIntervalMs),
		ValuePerWork:        o.ValueBy == "work",
		RetriesUnmarked:     o.Clients.MarksRetry != nil && !*o.Clients.MarksRetry,
		IdleTimeout:         monotime.FromMilliseconds(f.IdleTimeoutMs),
	}
	if o.Limits.RetryAfter {
		c.MaxRetryAfter = monotime.FromMilliseconds(o.Limits.MaxRetryAfterMs)
	}
	return c
}

// operation is the class of that number; lists by class may be shorter than the classes.
func (o *object) operation(n int) admission.Operation {
	c := &o.Operations[n]
	op := admission.Operation{
		RetrySafety:      retrySafeties[c.RetrySafety],
		Value:            c.Value,
		Objective:        monotime.FromMilliseconds(c.ObjectiveMs),
		ObjectiveStretch: c.ObjectiveStretch,
		ClientTimeout:    monotime.FromMilliseconds(c.ClientTimeoutMs),
		RepeatWindow:     monotime.FromMilliseconds(c.RepeatWindowMs),
		LateValue:        c.LateValue,
	}
	if n < len(o.Family.MakesCalls) {
		op.MakesCalls = o.Family.MakesCalls[n]
	}
	if n < len(o.Family.ValueWithoutCall) {
		op.ValueWithoutCall = o.Family.ValueWithoutCall[n]
	}
	return op
}

// Reading makes a reading of raw values in the order of Gauges; a gauge that is not among them is -1.
func (s *Settings) Reading(values []float64) admission.Reading {
	return Reading(s.Gauges, values)
}

// Reading makes a reading of raw values in the order of names; a gauge that is not among them is -1.
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
