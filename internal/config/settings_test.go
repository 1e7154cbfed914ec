package config

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"milletbarrow/admission"
)

// TestSettingsDecoded: each key of the settings has its own field, in the module's units.
func TestSettingsDecoded(t *testing.T) {
	const text = `{"classes":[
	 {"name":"a","aim_ms":1,"aim_stretch":2.5,"deadline_ms":3,"repeat":"deduplicated","window_ms":4,"late_value":0.5,"worth":6},
	 {"name":"b","repeat":"at_most_once"},{"name":"c","repeat":"idempotent"}],
	 "projects":[{"name":"p","quota_per_s":7},{"name":"q"}],"clients":{"marks_retry":false},
	 "over_share_worth":0.8,"worth_by":"work","fleet_size":9,"round_ms":10,
	 "policy_limits":{"max_retry_after_ms":11,"retry_after":true},
	 "invariants":{"answer_slack_ms":12,"cold_ms":13,"cold_share":0.14,"drain_grace_ms":15,"fall_ms":16,"fall_multiple":17},
	 "family_info":{"below":"one_for_all","callers":18,"calls_out":19.5,"calls_over_ms":20,"class_calls":[true],
	 "degraded_worth":[0,0.21],"fresh_ms":22,"idle_ms":23,"just_started":true,"key_kb":24,"linger_ms":25,"mem_limit_kb":26,
	 "n_cores":27,"own_stats":["core_use","heap_share"],"preemption":"freeze","run_factor":28,"say":"weight"}}`
	want := admission.Config{
		Operations: []admission.Operation{{
			RetrySafety: admission.IdempotencyKeyed, Value: 6, Objective: 1000, ObjectiveStretch: 2.5, ClientTimeout: 3000,
			RepeatWindow: 4000, LateValue: 0.5, MakesCalls: true,
		}, {RetrySafety: admission.NonIdempotent, ValueWithoutCall: 0.21}, {RetrySafety: admission.Idempotent}},
		QuotaPerSecond: []float64{7, 0}, OverQuotaValue: 0.8, FleetSize: 9, Callers: 18, Cores: 27, MemoryKB: 26, RunFactor: 28,
		IdempotencyKeyKB: 24, JustStarted: true, Preemption: admission.PreemptionPauses, AdvertisedValue: admission.TrafficWeight,
		AnswerSlack: 12_000, DrainGrace: 15_000, ColdSpeed: 0.14, WarmUp: 13_000, CollapseMultiple: 17, CollapseAfter: 16_000,
		SharedDependency: true, CallQuota: 19.5, CallQuotaWindow: 20_000, AbandonedCallLinger: 25_000, MaxRetryAfter: 11_000,
		BatchInterval: 10_000, ValuePerWork: true, RetriesUnmarked: true, IdleTimeout: 23_000,
	}
	var s Settings
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, s.Admission); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([][]string{{"a", "b", "c"}, {"p", "q"}, {"core_use", "heap_share"}}, [][]string{s.Operations, s.Tenants, s.Gauges}); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	reading := admission.Reading{CoreUse: 0.5, OnCores: -1, MemoryShare: 0.25, Connections: -1}
	if diff := cmp.Diff(reading, s.Reading([]float64{0.5, 0.25, 9})); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
