package experiment

import "milletbarrow/internal/sexpr"

// formerNames maps names that experiment files used until December 2026, and that are still accepted, to the current
// ones, by form.
var formerNames = sexpr.FormerNames{
	"policy": {
		"ladder": "degradation",
	},
	"scenario": {
		"trouble": "fault",
	},
	"hosts": {
		"told": "reported-fleet-size",
	},
	"nodes": {
		"tries": "attempts",
	},
	"fault": {
		"width": "batch-share",
	},
}
