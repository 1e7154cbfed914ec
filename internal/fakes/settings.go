package fakes

// Settings is the platform's JSON settings of a small deployment: two operations, two tenants, two cores.
const Settings = `{"classes":[
 {"name":"look","aim_ms":2000,"deadline_ms":5000,"repeat":"idempotent","late_value":0.1},
 {"name":"post","aim_ms":2000,"deadline_ms":5000,"repeat":"at_most_once"}],
 "projects":[{"name":"acme","quota_per_s":50},{"name":"zenith","quota_per_s":50}],"a_new_key":[1],
 "over_share_worth":0.05,"fleet_size":3,"round_ms":5,"policy_limits":{"max_retry_after_ms":1000,"retry_after":true},
 "invariants":{"answer_slack_ms":80,"cold_ms":9000,"cold_share":0.3,"drain_grace_ms":300,"fall_ms":3000,"fall_multiple":8},
 "family_info":{"below":"off","callers":3,"idle_ms":15000,"just_started":false,"mem_limit_kb":90000,"n_cores":2,
 "own_stats":["core_use","on_cores","heap_share","links"],"preemption":"off","run_factor":8,"say":"off"}}`
