package experiment

import (
	"testing"

	"milletbarrow/internal/fakes"
)

// TestParseReportsPlaceOfErrors records the errors of invalid files, with place and field, and the description of a
// valid experiment.
func TestParseReportsPlaceOfErrors(t *testing.T) {
	trace := fakes.NewTrace(t)
	for _, text := range []string{
		`(experiment)`,
		`(scenario a)`,
		`(experiment x (policies wrong))`,
		`(experiment x (scenarios b)) (scenario a)`,
		"(scenario a (hosts (count 0)\n (crowd x)) (nodes (deaf 2)))\n(experiment x)",
		`(scenario a (trouble flood (at 1s))) (experiment x)`,
		`(scenario a (trouble tenant-burst (tenant z))) (experiment x)`,
		`(scenario a (hosts (memory 1))) (experiment x)`,
		`(scenario a) (scenario a) (experiment x (seeds 5..1))`,
		`(scenario a) (experiment x (over colour (values 1)))`,
		`(scenario a) (experiment x (over load.at (values one)))`,
		`(scenario a) (experiment x (over size (values 0)))`,
		`(scenario a (operation b (work 1s) (timeout 10ms))) (experiment x)`,
		`(policy p (base pool) (ladder "none.sx")) (experiment x)`,
		`(scenario a (recorded "none.txt")) (experiment x)`,
		`(scenario a (speed 3)) (experiment x)`,
		`(scenario a (hosts (count 3)`,
	} {
		_, err := Parse("file.sx", []byte(text))
		trace.Say("%s\n%v\n", text, err)
	}
	trace.Say("%s", parse(t, smallExperiment).Describe(smallRuns))
}
