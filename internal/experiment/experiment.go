// Package experiment decides what an experiment runs and what its results say: scenarios by policies by values by seeds, paired
// differences with their intervals. How runs are spread over cores and kept on disk is in bench.go and keep.go. It
// knows nothing of what a policy does.
package experiment

import (
	"fmt"
	"slices"

	"milletbarrow/internal/simulation"
)

// Experiment is a file that has been read: what is to be run.
type Experiment struct {
	Name        string
	Scenarios   []simulation.Scenario
	Policies    []simulation.Policy
	Seeds       []uint64
	SweptField  string    // what is swept; empty: nothing
	SweptValues []float64 // its values
}

// Bounds of an experiment's file.
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
	SweptValue float64 // of what is swept
	Key        string  // the same for the same run, whatever else the file holds
}

// setSwept gives a scenario one value of what is swept.
func setSwept(s *simulation.Scenario, over string, v float64) error {
	callerContext := int(v)
	switch over {
	case "":
	case "load.at":
		s.Load.Level = v
	case "hosts.count":
		s.Hosts.Count = callerContext
	case "nodes.count":
		s.Nodes.Count = callerContext
	case "size": // hosts, with nodes, and what they share, in proportion
		part := v / float64(s.Hosts.Count)
		s.Nodes.Count = max(1, int(float64(s.Nodes.Count)*part+0.5))
		s.Dependency.Slots = max(1, int(float64(s.Dependency.Slots)*part+0.5))
		s.Hosts.Count = callerContext
		for i := range s.Tenants {
			s.Tenants[i].Quota *= part
		}
	case "nodes.deaf":
		s.Nodes.UnresponsiveShare = v
	case "nodes.tries":
		s.Nodes.MaxAttempts = callerContext
	case "nodes.subset":
		s.Nodes.Subset = callerContext
	case "nodes.behind":
		s.Nodes.ClientRetryShare = v
	case "register.lag":
		s.Registry.Lag = simulation.Micros(v * 1e6)
	case "trouble.factor":
		s.Faults = slices.Clone(s.Faults)
		for i := range s.Faults {
			s.Faults[i].Factor = v
		}
	case "trouble.share":
		s.Faults = slices.Clone(s.Faults)
		for i := range s.Faults {
			s.Faults[i].Share = v
		}
	default:
		return fmt.Errorf("%q can't be swept; load.at, size, hosts.count, nodes.count, nodes.deaf, nodes.tries, nodes.subset, nodes.behind, register.lag (seconds), trouble.factor and trouble.share can", over)
	}
	return s.Check()
}

// Cells are the runs of an experiment, in the order of the file: scenarios, values, seeds, policies.
func (x *Experiment) Cells() (cells []Cell, err error) {
	values := x.SweptValues
	if x.SweptField == "" {
		values = []float64{0}
	}
	if n := len(x.Scenarios) * len(values) * len(x.Seeds) * len(x.Policies); n > MaxCells {
		return nil, fmt.Errorf("%d runs, wanted %d at the most", n, MaxCells)
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
