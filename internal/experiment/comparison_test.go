package experiment

import (
	"testing"

	"milletbarrow/internal/simulation"
)

// TestDaysArePairedByScenarioValueAndSeed: days whose names and values read the same when joined ("s" at 12, "s1" at 2)
// are different days.
func TestDaysArePairedByScenarioValueAndSeed(t *testing.T) {
	pool, module := &simulation.Policy{Name: "pool"}, &simulation.Policy{Name: simulation.Module}
	var cells []Cell
	var results []*simulation.Result
	for _, day := range []struct {
		scenario           string
		value              float64
		ofPool, difference float64
	}{{"s", 12, 0.25, 0.5}, {"s1", 2, 0.75, 0.125}} {
		for _, c := range []struct {
			policy *simulation.Policy
			billed float64
		}{{pool, day.ofPool}, {module, day.ofPool + day.difference}} {
			cells = append(cells, Cell{Scenario: simulation.Scenario{Name: day.scenario}, Policy: c.policy, Seed: 1, SweptValue: day.value})
			results = append(results, &simulation.Result{Offered: 1, Billed: c.billed})
		}
	}
	// All days of the first policy come before those of the second, as when policies are swept one after the other.
	cells[1], cells[2] = cells[2], cells[1]
	results[1], results[2] = results[2], results[1]
	value, err := MeasureNamed("value")
	if err != nil {
		t.Fatal(err)
	}
	all := Compare(cells, results, "pool", simulation.Module, value)
	if len(all) != 2 || all[0].Scenario != "s" || all[0].Paired.Mean != 0.5 || all[1].Scenario != "s1" || all[1].Paired.Mean != 0.125 {
		t.Errorf("%+v", all)
	}
}
