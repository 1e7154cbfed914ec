package experiment

import (
	"testing"

	"milletbarrow/internal/fakes"
	"milletbarrow/internal/simulation"
)

// TestCompareGivesVerdictAtEachPoint records the verdicts on policies that differ, on two equal policies,
// and on missing metrics and policies.
func TestCompareGivesVerdictAtEachPoint(t *testing.T) {
	trace := fakes.NewTrace(t)
	x := parse(t, `(scenario day (for 1s) (hosts (count 3)) (nodes (count 2)) (load (at 1.4)))
(policy again (base pool)) (experiment small (policies milletbarrow pool again two-choices) (seeds 1..8))`)
	cells := cellsOf(t, x)
	results := run(t, x, nil, 4)
	for _, test := range []struct{ first, second, measure string }{
		{"pool", "milletbarrow", "value"},
		{"pool", "again", "value"},
		{"milletbarrow", "pool", "attempts"},
		{"pool", "two-choices", "pay-post.p99"},
		{"milletbarrow", "pool", "pay-post.throttled"},
		{"milletbarrow", "pool", "none.value"},
		{"milletbarrow", "nobody", "value"},
	} {
		for _, d := range Compare(cells, results, test.first, test.second, measure(t, test.measure)) {
			trace.Say("%s of %s and %s: %s", test.measure, test.first, test.second, d.Verdict)
		}
	}
	_, err := MeasureNamed("colour")
	trace.Say("%v", err)
}

// TestComparePairsRunsByScenarioValueAndSeed compares two points whose scenario and value are equal when
// concatenated, "s" at 12 and "s1" at 2, which a concatenated key would confuse.
func TestComparePairsRunsByScenarioValueAndSeed(t *testing.T) {
	var cells []Cell
	var results []*simulation.Result
	add := func(scenario string, value float64, policy string, billed float64) {
		cells = append(cells, Cell{
			Scenario:   simulation.Scenario{Name: scenario},
			Policy:     &simulation.Policy{Name: policy},
			Seed:       1,
			SweptValue: value,
		})
		results = append(results, &simulation.Result{Offered: 1, Billed: billed})
	}
	// All runs of the first policy come before those of the second, unlike in the order of Cells.
	add("s", 12, "pool", 0.25)
	add("s1", 2, "pool", 0.75)
	add("s", 12, simulation.Module, 0.75)
	add("s1", 2, simulation.Module, 0.875)
	all := Compare(cells, results, "pool", simulation.Module, measure(t, "value"))
	if len(all) != 2 {
		t.Fatalf("%d differences, want 2: %+v", len(all), all)
	}
	if all[0].Scenario != "s" || all[0].Paired.Mean != 0.5 {
		t.Errorf("first difference %+v, want 0.5 of s", all[0])
	}
	if all[1].Scenario != "s1" || all[1].Paired.Mean != 0.125 {
		t.Errorf("second difference %+v, want 0.125 of s1", all[1])
	}
}
