// Package experiment plans, runs and evaluates experiments on simulated fleets: scenarios by policies by swept values by
// seeds, and paired differences with their confidence intervals. Runs are spread over cores (run.go) and their results
// stored (result_dir.go). What a policy does is the simulation's concern.
package experiment

import (
	"slices"

	"milletbarrow/internal/sexpr"
	"milletbarrow/internal/simulation"
)

// Experiment is the content of an experiment's file: what is to be run.
type Experiment struct {
	Name        string
	Scenarios   []simulation.Scenario
	Policies    []simulation.Policy
	Seeds       []uint64
	SweptField  string          // name of the swept field; empty: none
	SweptValues []float64       // its values, in the units of the file
	Warnings    []sexpr.Warning // former names in the file
}

// Bounds of an experiment.
const (
	MaxSeeds  = 1000
	MaxValues = 100
	MaxCells  = 100_000
)

// Cell is one run of an experiment.
type Cell struct {
	Scenario   simulation.Scenario
	Policy     *simulation.Policy
	Seed       uint64
	SweptValue float64 // of the swept field
	Key        string  // the name of the stored result: the same for the same run, whatever else the file holds
}

// Cells returns the runs of an experiment, in order of scenarios, values, seeds and policies. The error is that of a swept
// value, or a *TooManyRunsError.
func (x *Experiment) Cells() (cells []Cell, err error) {
	values := x.SweptValues
	if x.SweptField == "" {
		values = []float64{0}
	}
	if n := len(x.Scenarios) * len(values) * len(x.Seeds) * len(x.Policies); n > MaxCells {
		return nil, &TooManyRunsError{Runs: n}
	}
	for _, s := range x.Scenarios {
		for _, v := range values {
			day := s
			day.Tenants = slices.Clone(s.Tenants)
			if err := setSwept(&day, x.SweptField, v); err != nil {
				return nil, err
			}
			for _, seed := range x.Seeds {
				for i := range x.Policies {
					c := Cell{Scenario: day, Policy: &x.Policies[i], Seed: seed, SweptValue: v}
					c.Key = resultKey(&c)
					cells = append(cells, c)
				}
			}
		}
	}
	return cells, nil
}
