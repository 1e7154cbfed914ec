// Package demo sets up an environment for running backends on one machine: fakes of the executors and the endpoint
// registry, configurations and a fleet file. It owns the directory and the fakes; the command line starts the agent and
// backends in it.
package demo

import (
	"time"

	"milletbarrow/admission"
	"milletbarrow/internal/simulation"
	"milletbarrow/monotime"
)

// Scenario returns the demo's scenario for a number of backends and a duration: a load near their capacity, with a
// burst and a rolling update.
func Scenario(backends int, duration time.Duration) simulation.Scenario {
	s := simulation.Default()
	s.Name, s.Duration = "demo", monotime.FromDuration(duration)
	s.Hosts.Count, s.Hosts.Cores, s.Hosts.SpeedSpread, s.Hosts.ReadWork, s.Hosts.HandshakeWork = backends, 2, 0, 0, 0
	s.Hosts.WarmUp, s.Hosts.ColdSpeed = 2*simulation.Second, 0.5
	s.Nodes.Count, s.Nodes.Subset = 4, 0
	s.Load.Level = 0.75
	s.Faults = []simulation.Fault{
		{
			Kind:     simulation.Burst,
			At:       s.Duration / 4,
			Duration: s.Duration / 5,
			Factor:   2,
		},
		{Kind: simulation.Release, At: s.Duration * 11 / 20, BatchShare: 1 / float64(backends)},
	}
	return s
}

// Settings returns the settings of a backend of a scenario, as the JSON object that the platform sends.
func Settings(s *simulation.Scenario) map[string]any {
	retrySafetyNames := map[admission.RetrySafety]string{
		admission.Idempotent:    "idempotent",
		admission.NonIdempotent: "at_most_once",
	}
	operations := make([]map[string]any, 0, len(s.Operations))
	tenants := make([]map[string]any, 0, len(s.Tenants))
	milliseconds := func(m monotime.Micros) float64 { return float64(m) / 1000 }
	for _, op := range s.Operations {
		operations = append(operations, map[string]any{
			"name":        op.Name,
			"aim_ms":      milliseconds(op.Objective),
			"deadline_ms": milliseconds(op.Timeout),
			"repeat":      retrySafetyNames[op.RetrySafety],
			"late_value":  op.LateValue,
		})
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, map[string]any{"name": t.Name, "quota_per_s": t.Quota})
	}
	h := &s.Hosts
	return map[string]any{
		"classes": operations, "projects": tenants, "over_share_worth": 0.3, "fleet_size": h.Count, "round_ms": 5,
		"policy_limits": map[string]any{
			"max_retry_after_ms": milliseconds(h.MaxRetryAfter),
			"retry_after":        h.MaxRetryAfter > 0,
		},
		"invariants": map[string]any{
			"answer_slack_ms": milliseconds(h.AnswerSlack),
			"cold_ms":         milliseconds(h.WarmUp),
			"cold_share":      h.ColdSpeed,
			"drain_grace_ms":  milliseconds(h.DrainGrace),
			"fall_ms":         milliseconds(h.CollapseAfter),
			"fall_multiple":   h.CollapseMultiple,
		},
		"family_info": map[string]any{
			"below":        "off",
			"callers":      s.Nodes.Count,
			"idle_ms":      milliseconds(h.IdleTimeout),
			"just_started": false,
			"mem_limit_kb": h.MemoryKB,
			"n_cores":      h.Cores,
			"own_stats": []string{
				"core_use",
				"on_cores",
				"heap_share",
				"links",
			},
			"preemption": "off",
			"run_factor": h.RunFactor,
			"say":        "off",
		},
	}
}
