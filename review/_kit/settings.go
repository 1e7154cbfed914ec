package main

// settings gives the settings of a small deployment.
func settings(classes []map[string]any) map[string]any {
	calls := make([]bool, len(classes))
	worth := make([]float64, len(classes))
	return map[string]any{
		"classes": classes,
		"clients": map[string]any{"marks_retry": true},
		"family_info": map[string]any{
			"below": "off", "callers": 3, "calls_out": 0, "calls_over_ms": 0, "class_calls": calls, "degraded_worth": worth,
			"fresh_ms": 0, "heeded_ms": 1000, "idle_ms": 15000, "just_started": false, "key_kb": 20, "linger_ms": 200,
			"mem_limit_kb": 89016, "n_cores": 2, "own_stats": []string{"core_use", "on_cores", "heap_share", "links"},
			"passes_deadline": true, "preemption": "off", "readiness": false, "real_checks": false, "run_factor": 16,
			"say": "off", "tells_gone": true,
		},
		"fleet_size": 1,
		"invariants": map[string]any{"answer_slack_ms": 80, "cold_ms": 18000, "cold_share": 0.21, "drain_grace_ms": 2000,
			"fall_ms": 3000, "fall_multiple": 8},
		"localities": []string{"tvm"}, "over_share_worth": 0.05,
		"policy_limits": map[string]any{"cpu_us_per_request": 0, "cpu_us_per_s": 60000, "max_retry_after_ms": 1000,
			"retry_after": true},
		"prices":     map[string]any{},
		"projects":   []map[string]any{{"name": "malanad-power", "quota_per_s": 450, "share": 1}},
		"result_mix": map[string]any{"whole": 1}, "round_ms": 5, "self_index": 0,
		"telemetry": map[string]any{"fields": []string{"rate"}, "how": "inline"},
		"tier":      0, "tiers": []string{"billing-hosts"}, "workload": "server", "worth_by": "work", "zone": 0,
	}
}

func class(name, repeat string, aim, deadline, window int) map[string]any {
	c := map[string]any{"name": name, "aim_ms": aim, "deadline_ms": deadline, "repeat": repeat, "late_value": 0.2, "worth": 1}
	if window > 0 {
		c["window_ms"] = window
	}
	return c
}
