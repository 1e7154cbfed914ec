// Package config decodes and validates the platform's JSON for one backend: the settings object (Settings), which an
// instance gets from the simulator or from a configuration file, and that file (Backend). Unknown keys are skipped. The
// platform's words are mapped to the terms of this program in object.go and, for the file, in backend.go.
package config

import (
	"encoding/json"

	"milletbarrow/admission"
	"milletbarrow/monotime"
)

// Settings is a decoded settings object.
type Settings struct {
	Admission        admission.Config
	Operations       []string // names, by index
	Tenants          []string // names, by index
	Gauges           []string // names, in the order of their values
	DeadlineOptional bool     // invocations without a deadline are valid; the client timeout then applies
	IgnoredFields    []string // paths of fields that enable unsupported optional features

	choices choices
}

// choices are words of the settings that validation needs in their original spelling.
type choices struct {
	retrySafety     []string // by operation
	dependency      string
	preemption      string
	advertisedValue string
	valueBy         string
	freshMs         float64 // how long results of reads may be cached, in milliseconds
}

// UnmarshalJSON decodes a settings object. Unknown keys are skipped.
func (s *Settings) UnmarshalJSON(raw []byte) error {
	var o settingsObject
	if err := json.Unmarshal(raw, &o); err != nil {
		return err
	}
	*s = Settings{
		Admission:        o.admissionConfig(),
		Gauges:           o.Family.Gauges,
		DeadlineOptional: o.Family.PassesDeadline != nil && !*o.Family.PassesDeadline,
		choices: choices{
			dependency:      o.Family.Dependency,
			preemption:      o.Family.Preemption,
			advertisedValue: o.Family.AdvertisedValue,
			valueBy:         o.ValueBy,
			freshMs:         o.Family.FreshMs,
		},
	}
	for _, tenant := range o.Tenants {
		s.Admission.QuotaPerSecond = append(s.Admission.QuotaPerSecond, tenant.QuotaPerSecond)
		s.Tenants = append(s.Tenants, tenant.Name)
	}
	for i, operation := range o.Operations {
		s.Admission.Operations = append(s.Admission.Operations, o.operation(i))
		s.Operations = append(s.Operations, operation.Name)
		s.choices.retrySafety = append(s.choices.retrySafety, operation.RetrySafety)
	}
	return nil
}

// admissionConfig returns the configuration of the admission module, without operations and quotas.
func (o *settingsObject) admissionConfig() admission.Config {
	family, rules := &o.Family, &o.Rules
	cfg := admission.Config{
		OverQuotaValue:      o.OverQuotaValue,
		FleetSize:           o.FleetSize,
		Callers:             family.Callers,
		Cores:               family.Cores,
		MemoryKB:            family.MemLimitKB,
		RunFactor:           family.RunFactor,
		IdempotencyKeyKB:    family.IdempotencyKeyKB,
		JustStarted:         family.JustStarted,
		Preemption:          preemptions[family.Preemption],
		AdvertisedValue:     advertisedValues[family.AdvertisedValue],
		AnswerSlack:         monotime.FromMilliseconds(rules.AnswerSlackMs),
		DrainGrace:          monotime.FromMilliseconds(rules.DrainGraceMs),
		ColdSpeed:           rules.ColdSpeed,
		WarmUp:              monotime.FromMilliseconds(rules.WarmUpMs),
		CollapseMultiple:    rules.CollapseMultiple,
		CollapseAfter:       monotime.FromMilliseconds(rules.CollapseAfterMs),
		SharedDependency:    family.Dependency == sharedDependency,
		CallQuota:           family.CallQuota,
		CallQuotaWindow:     monotime.FromMilliseconds(family.CallQuotaWindowMs),
		AbandonedCallLinger: monotime.FromMilliseconds(family.AbandonedCallLingerMs),
		BatchInterval:       monotime.FromMilliseconds(o.BatchIntervalMs),
		ValuePerWork:        o.ValueBy == valuePerWork,
		RetriesUnmarked:     o.Clients.MarksRetry != nil && !*o.Clients.MarksRetry,
		IdleTimeout:         monotime.FromMilliseconds(family.IdleTimeoutMs),
	}
	if o.Limits.RetryAfter {
		cfg.MaxRetryAfter = monotime.FromMilliseconds(o.Limits.MaxRetryAfterMs)
	}
	return cfg
}

// operation returns the configuration of the operation at index. The per-operation lists may be shorter than the list
// of operations.
func (o *settingsObject) operation(index int) admission.Operation {
	operation := &o.Operations[index]
	cfg := admission.Operation{
		RetrySafety:      retrySafeties[operation.RetrySafety],
		Value:            operation.Value,
		Objective:        monotime.FromMilliseconds(operation.ObjectiveMs),
		ObjectiveStretch: operation.ObjectiveStretch,
		ClientTimeout:    monotime.FromMilliseconds(operation.ClientTimeoutMs),
		RepeatWindow:     monotime.FromMilliseconds(operation.RepeatWindowMs),
		LateValue:        operation.LateValue,
	}
	if index < len(o.Family.MakesCalls) {
		cfg.MakesCalls = o.Family.MakesCalls[index]
	}
	if index < len(o.Family.ValueWithoutCall) {
		cfg.ValueWithoutCall = o.Family.ValueWithoutCall[index]
	}
	return cfg
}

// Reading returns a reading of values in the order of Gauges. A gauge without a value is -1.
func (s *Settings) Reading(values []float64) admission.Reading {
	return Reading(s.Gauges, values)
}

// Reading returns a reading of values in the order of names. A gauge without a value is -1.
func Reading(names []string, values []float64) admission.Reading {
	reading := admission.Reading{CoreUse: -1, OnCores: -1, MemoryShare: -1, Connections: -1}
	gauges := map[string]*float64{
		coreUseGauge:     &reading.CoreUse,
		onCoresGauge:     &reading.OnCores,
		memoryShareGauge: &reading.MemoryShare,
		connectionsGauge: &reading.Connections,
	}
	for i, name := range names {
		if gauge := gauges[name]; gauge != nil && i < len(values) {
			*gauge = values[i]
		}
	}
	return reading
}
