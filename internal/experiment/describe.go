package experiment

import (
	"fmt"
	"strings"
)

// Describe returns a text of what an experiment runs.
func (x *Experiment) Describe(cells int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "experiment %s: %d runs\n", x.Name, cells)
	for _, s := range x.Scenarios {
		fmt.Fprintf(&b, "  scenario %s: %d hosts of %d cores, %d nodes, %g s, %.0f invocations a second are all they can take\n", s.Name,
			s.Hosts.Count, s.Hosts.Cores, s.Nodes.Count, float64(s.Duration)/1e6, s.Capacity())
		for _, op := range s.Operations {
			fmt.Fprintf(&b, "    operation %s: value %g, rank %g, %g of the load, work %g ms, objective %g ms, timeout %g ms\n", op.Name, op.Value, op.Priority,
				op.Share, float64(op.Work)/1000, float64(op.Objective)/1000, float64(op.Timeout)/1000)
		}
		for _, t := range s.Faults {
			fmt.Fprintf(&b, "    trouble %v at %g s for %g s\n", t.Kind, float64(t.At)/1e6, float64(t.Duration)/1e6)
		}
	}
	for _, p := range x.Policies {
		fmt.Fprintf(&b, "  policy %s: %s\n", p.Name, p.Description)
	}
	fmt.Fprintf(&b, "  seeds: %d of them, %d to %d\n", len(x.Seeds), x.Seeds[0], x.Seeds[len(x.Seeds)-1])
	if x.SweptField != "" {
		fmt.Fprintf(&b, "  over %s: %v\n", x.SweptField, x.SweptValues)
	}
	return b.String()
}

// Facts are what an experiment runs, for JSON.
type Facts struct {
	Name        string    `json:"name"`
	Scenarios   []string  `json:"scenarios"`
	Policies    []string  `json:"policies"`
	Seeds       []uint64  `json:"seeds"`
	SweptField  string    `json:"over,omitempty"`
	SweptValues []float64 `json:"values,omitempty"`
	Runs        int       `json:"runs"`
}

// Facts returns what an experiment runs.
func (x *Experiment) Facts() Facts {
	f := Facts{Name: x.Name, Seeds: x.Seeds, SweptField: x.SweptField, SweptValues: x.SweptValues}
	for _, s := range x.Scenarios {
		f.Scenarios = append(f.Scenarios, s.Name)
	}
	for _, p := range x.Policies {
		f.Policies = append(f.Policies, p.Name)
	}
	cells, _ := x.Cells()
	f.Runs = len(cells)
	return f
}
