package experiment

import "milletbarrow/internal/sexpr"

// formerNames maps the names that the files of experiments used until December 2026, which are still read, to the
// present ones, by form.
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
