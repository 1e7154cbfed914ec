package config

import (
	"fmt"

	"milletbarrow/admission"
)

// settingsObject is the JSON form of Settings, with the keys that the platform defines. Times are in milliseconds.
type settingsObject struct {
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
		MarksRetry *bool `json:"marks_retry"` // nil: callers mark retries
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
		PassesDeadline        *bool     `json:"passes_deadline"` // nil: callers state deadlines
		RunFactor             float64   `json:"run_factor"`
		AdvertisedValue       string    `json:"say"`
	} `json:"family_info"`
}

// Paths of the fields within a settings object, as errors name them.
const (
	operationsPath       = "classes"
	tenantsPath          = "projects"
	valueByPath          = "worth_by"
	answerSlackPath      = "invariants.answer_slack_ms"
	collapseMultiplePath = "invariants.fall_multiple"
	dependencyPath       = "family_info.below"
	callQuotaPath        = "family_info.calls_out"
	makesCallsPath       = "family_info.class_calls"
	valueWithoutCallPath = "family_info.degraded_worth"
	freshPath            = "family_info.fresh_ms"
	idempotencyKeyPath   = "family_info.key_kb"
	memLimitPath         = "family_info.mem_limit_kb"
	hostCoresPath        = "family_info.n_cores"
	preemptionPath       = "family_info.preemption"
	runFactorPath        = "family_info.run_factor"
	advertisedValuePath  = "family_info.say"
)

// Names of the fields within an operation or a tenant.
const (
	nameField          = "name"
	objectiveField     = "aim_ms"
	clientTimeoutField = "deadline_ms"
	retrySafetyField   = "repeat"
	repeatWindowField  = "window_ms"
	lateValueField     = "late_value"
	valueField         = "worth"
)

// elementPath returns the path of an element of a list.
func elementPath(list string, index int) string { return fmt.Sprintf("%s[%d]", list, index) }

// choiceOff is the word for an option that is disabled.
const choiceOff = "off"

// retrySafeties maps the words of retrySafetyField.
var retrySafeties = map[string]admission.RetrySafety{
	"idempotent":   admission.Idempotent,
	"deduplicated": admission.IdempotencyKeyed,
	"at_most_once": admission.NonIdempotent,
}

// preemptions maps the words of preemptionPath.
var preemptions = map[string]admission.Preemption{
	choiceOff: admission.NoPreemption,
	"discard": admission.PreemptionDiscards,
	"freeze":  admission.PreemptionPauses,
}

// advertisedValues maps the words of advertisedValuePath.
var advertisedValues = map[string]admission.AdvertisedValue{
	choiceOff:   admission.NothingAdvertised,
	"floor":     admission.NothingAdvertised, // floors are not computed by the module
	"allowance": admission.CallerAllowance,
	"weight":    admission.TrafficWeight,
}

// Words of valueByPath.
const (
	valuePerRequest = "request"
	valuePerWork    = "work"
)

// Words of dependencyPath, besides choiceOff.
const (
	sharedDependency = "one_for_all"
	tierDependency   = "tier"
)

// Gauge names.
const (
	coreUseGauge     = "core_use"
	onCoresGauge     = "on_cores"
	memoryShareGauge = "heap_share"
	connectionsGauge = "links"
)
