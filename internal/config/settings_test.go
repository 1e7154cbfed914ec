package config

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"milletbarrow/admission"
	"milletbarrow/internal/fakes"
	"milletbarrow/monotime"
)

// allSettings has each key of the settings with a distinct value.
const allSettings = `{
	"classes": [
		{
			"name": "a", "aim_ms": 1, "aim_stretch": 2.5, "deadline_ms": 3, "repeat": "deduplicated", "window_ms": 4,
			"late_value": 0.5, "worth": 6
		},
		{"name": "b", "repeat": "at_most_once"},
		{"name": "c", "repeat": "idempotent"}
	],
	"projects": [{"name": "p", "quota_per_s": 7}, {"name": "q"}],
	"clients": {"marks_retry": false},
	"over_share_worth": 0.8, "worth_by": "work", "fleet_size": 9, "round_ms": 10,
	"policy_limits": {"max_retry_after_ms": 11, "retry_after": true},
	"invariants": {
		"answer_slack_ms": 12, "cold_ms": 13, "cold_share": 0.14, "drain_grace_ms": 15, "fall_ms": 16,
		"fall_multiple": 17
	},
	"family_info": {
		"below": "one_for_all", "callers": 18, "calls_out": 19.5, "calls_over_ms": 20, "class_calls": [true],
		"degraded_worth": [0, 0.21], "fresh_ms": 22, "idle_ms": 23, "just_started": true, "key_kb": 24, "linger_ms": 25,
		"mem_limit_kb": 26, "n_cores": 27, "own_stats": ["core_use", "heap_share"], "preemption": "freeze",
		"run_factor": 28, "say": "weight"
	}
}`

// Each key of the settings is decoded into its own field, in the module's units.
func TestSettingsAreDecoded(t *testing.T) {
	want := admission.Config{
		Operations: []admission.Operation{
			{
				RetrySafety:      admission.IdempotencyKeyed,
				Value:            6,
				Objective:        monotime.Millisecond,
				ObjectiveStretch: 2.5,
				ClientTimeout:    3 * monotime.Millisecond,
				RepeatWindow:     4 * monotime.Millisecond,
				LateValue:        0.5,
				MakesCalls:       true,
			},
			{RetrySafety: admission.NonIdempotent, ValueWithoutCall: 0.21},
			{RetrySafety: admission.Idempotent},
		},
		QuotaPerSecond:      []float64{7, 0},
		OverQuotaValue:      0.8,
		FleetSize:           9,
		Callers:             18,
		Cores:               27,
		MemoryKB:            26,
		RunFactor:           28,
		IdempotencyKeyKB:    24,
		JustStarted:         true,
		Preemption:          admission.PreemptionPauses,
		AdvertisedValue:     admission.TrafficWeight,
		AnswerSlack:         12 * monotime.Millisecond,
		DrainGrace:          15 * monotime.Millisecond,
		ColdSpeed:           0.14,
		WarmUp:              13 * monotime.Millisecond,
		CollapseMultiple:    17,
		CollapseAfter:       16 * monotime.Millisecond,
		SharedDependency:    true,
		CallQuota:           19.5,
		CallQuotaWindow:     20 * monotime.Millisecond,
		AbandonedCallLinger: 25 * monotime.Millisecond,
		MaxRetryAfter:       11 * monotime.Millisecond,
		BatchInterval:       10 * monotime.Millisecond,
		ValuePerWork:        true,
		RetriesUnmarked:     true,
		IdleTimeout:         23 * monotime.Millisecond,
	}
	var s Settings
	if err := json.Unmarshal([]byte(allSettings), &s); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, s.Admission); diff != "" {
		t.Errorf("Admission (-want +got):\n%s", diff)
	}
	wantNames := [][]string{{"a", "b", "c"}, {"p", "q"}, {"core_use", "heap_share"}}
	if diff := cmp.Diff(wantNames, [][]string{s.Operations, s.Tenants, s.Gauges}); diff != "" {
		t.Errorf("names (-want +got):\n%s", diff)
	}
	reading := admission.Reading{CoreUse: 0.5, OnCores: -1, MemoryShare: 0.25, Connections: -1}
	if diff := cmp.Diff(reading, s.Reading([]float64{0.5, 0.25, 9})); diff != "" {
		t.Errorf("Reading (-want +got):\n%s", diff)
	}
}

// Deadlines are optional only if the settings state that callers do not pass them.
func TestDeadlineIsOptionalIfCallersPassNone(t *testing.T) {
	for _, test := range []struct {
		name  string
		field string
		want  bool
	}{
		{"not stated", ``, false},
		{"passed", `"passes_deadline":true,`, false},
		{"not passed", `"passes_deadline":false,`, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(fakes.Settings, `"callers"`, test.field+`"callers"`, 1)
			var s Settings
			if err := json.Unmarshal([]byte(text), &s); err != nil {
				t.Fatal(err)
			}
			if s.DeadlineOptional != test.want {
				t.Errorf("DeadlineOptional = %t, want %t", s.DeadlineOptional, test.want)
			}
		})
	}
}
