package fleet

import "milletbarrow/internal/sexpr"

// formerSpecNames maps the names that a fleet's file used until December 2026 to the current ones. Files with the
// former names are still accepted, with a warning.
var formerSpecNames = sexpr.FormerNames{
	"fleet": {
		"budgets": "quotas",
		"rise":    "cold-start",
		"wave":    "rolling-update",
	},
	"rolling-update": {
		"budget":      "quota",
		"failures":    "max-failures",
		"least-count": "min-ready",
		"least-share": "min-ready-share",
		"stall":       "stall-timeout",
		"turned-away": "rejected-share",
		"turned-for":  "rejected-for",
		"width":       "max-unavailable",
	},
	"quotas": {
		"budget": "quota",
		"ledger": "quota-store",
	},
	"quota": {
		"alone": "reserve-per-host",
	},
	"cold-start": {
		"budget":   "quota",
		"failures": "max-failures",
		"first":    "initial-concurrent",
		"least":    "min-serving-share",
		"refused":  "rejected-share",
		"slow":     "slow-factor",
	},
	"group": {
		"levels": "degradation",
	},
	"restart": {
		"most": "max",
	},
}
