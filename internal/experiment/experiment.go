// Package experiment plans, runs and evaluates experiments on simulated fleets. An experiment runs each scenario with
// each swept value, seed and policy; policies are compared by paired differences with their confidence intervals.
// run.go distributes the runs over cores and result_dir.go stores their results. Package simulation executes the runs.
package experiment

import (
	"slices"

	"milletbarrow/internal/sexpr"
	"milletbarrow/internal/simulation"
)

// Experiment is the content of an experiment's file.
type Experiment struct {
	Name        string
	Scenarios   []simulation.Scenario
	Policies    []simulation.Policy
	Seeds       []uint64
	SweptField  string          // a key of sweepableFields; empty: none
	SweptValues []float64       // in the units of the file
	Warnings    []sexpr.Warning // one for each former name in the file
}

// Limits of the size of an experiment.
const (
	MaxSeeds  = 1000    // seeds
	MaxValues = 100     // swept values
	MaxCells  = 100_000 // runs
)

// Cell is one run of an experiment.
type Cell struct {
	Scenario   simulation.Scenario
	Policy     *simulation.Policy
	Seed       uint64
	SweptValue float64 // zero if no field is swept
	Key        string  // name of the stored result; it depends on this run alone
}

// Cells returns the runs of an experiment, ordered by scenario, swept value, seed and policy. The error is a
// *TooManyRunsError or that of a swept value: an *UnsweepableError or a *simulation.ScenarioError.
func (x *Experiment) Cells() (cells []Cell, err error) {
	values := x.SweptValues
	if x.SweptField == "" {
		values = []float64{0}
	}
	if n := len(x.Scenarios) * len(values) * len(x.Seeds) * len(x.Policies); n > MaxCells {
		return nil, &TooManyRunsError{Runs: n}
	}
	for _, scenario := range x.Scenarios {
		for _, value := range values {
			swept := scenario
			swept.Tenants = slices.Clone(scenario.Tenants)
			if err := setSwept(&swept, x.SweptField, value); err != nil {
				return nil, err
			}
			cells = append(cells, x.cellsOf(swept, value)...)
		}
	}
	return cells, nil
}

// cellsOf returns the runs of one scenario with one swept value, ordered by seed and policy.
func (x *Experiment) cellsOf(scenario simulation.Scenario, sweptValue float64) []Cell {
	cells := make([]Cell, 0, len(x.Seeds)*len(x.Policies))
	for _, seed := range x.Seeds {
		for i := range x.Policies {
			cell := Cell{
				Scenario:   scenario,
				Policy:     &x.Policies[i],
				Seed:       seed,
				SweptValue: sweptValue,
			}
			cell.Key = resultKey(&cell)
			cells = append(cells, cell)
		}
	}
	return cells
}
