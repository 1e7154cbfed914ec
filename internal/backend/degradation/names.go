package degradation

import "milletbarrow/internal/sexpr"

// policySignalNames has the names of the signals in policies. Traces and printed output use those of signalNames.
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

// policyName returns the signal's name in policies and in texts about them.
func (s Signal) policyName() string { return policySignalNames[s] }

// formerSignalNames has the names of signals that policies used until December 2026.
var formerSignalNames = map[string]string{
	"cold":     "warming-up",
	"hopeless": "infeasible",
	"turned":   "rejected",
}

// formerPolicyNames has the names that policies used until December 2026. They are still read.
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
