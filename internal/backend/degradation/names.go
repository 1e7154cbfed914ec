package degradation

import "milletbarrow/internal/sexpr"

// policySignalNames are the names of the signals in policy files. Traces and printed output use signalNames.
var policySignalNames = [signalCount]string{
	Queue:      "queue",
	Cores:      "cores",
	Rejected:   "rejected",
	Infeasible: "infeasible",
	Late:       "late",
	Retries:    "retries",
	Memory:     "memory",
	Unknown:    "unknown",
	WarmingUp:  "warming-up",
	Draining:   "draining",
}

// policyName returns the signal's name in policy files and in messages about them.
func (s Signal) policyName() string { return policySignalNames[s] }

// formerSignalNames maps the signal names that policy files used until December 2026 to the current ones.
var formerSignalNames = map[string]string{
	"cold":     "warming-up",
	"hopeless": "infeasible",
	"turned":   "rejected",
}

// formerPolicyNames maps the names that policy files used until December 2026 to the current ones, by enclosing form.
// They are still accepted.
var formerPolicyNames = sexpr.FormerNames{
	"": {
		"ladder": "degradation",
	},
	"degradation": {
		"every":  "change-interval",
		"pins":   "max-override",
		"ramp":   "recovery-ramp",
		"smooth": "smoothing",
	},
	"level": {
		"stay": "min-duration",
	},
	"shed": {
		"rank-below": "priority-below",
	},
	"smoothing": formerSignalNames,
	"enter":     formerSignalNames,
	"exit":      formerSignalNames,
	"any":       formerSignalNames,
	"all":       formerSignalNames,
}
