package experiment

import (
	"milletbarrow/internal/sexpr"
)

// formerNames has the names that the files of experiments used until December 2026. They are still read.
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
