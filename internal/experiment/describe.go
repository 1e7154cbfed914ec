package experiment

import (
	"fmt"
	"strings"

	"milletbarrow/internal/simulation"
	"milletbarrow/monotime"
)

// Describe returns a human-readable listing of the scenarios, policies, seeds and swept values of an experiment with
// the given number of runs.
func (x *Experiment) Describe(cells int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "experiment %s: %d runs\n", x.Name, cells)
	for i := range x.Scenarios {
		describeScenario(&b, &x.Scenarios[i])
	}
	for _, policy := range x.Policies {
		fmt.Fprintf(&b, "  policy %s: %s\n", policy.Name, policy.Description)
	}
	fmt.Fprintf(&b, "  seeds: %d, from %d to %d\n", len(x.Seeds), x.Seeds[0], x.Seeds[len(x.Seeds)-1])
	if x.SweptField != "" {
		fmt.Fprintf(&b, "  sweep over %s: %v\n", x.SweptField, x.SweptValues)
	}
	return b.String()
}

// describeScenario writes the lines of one scenario.
func describeScenario(b *strings.Builder, s *simulation.Scenario) {
	fmt.Fprintf(b, "  scenario %s: %d hosts of %d cores, %d nodes, %g s, "+
		"capacity %.0f invocations per second\n",
		s.Name, s.Hosts.Count, s.Hosts.Cores, s.Nodes.Count, s.Duration.Seconds(), s.Capacity())
	for _, op := range s.Operations {
		fmt.Fprintf(b, "    operation %s: value %g, priority %g, %g of the load, "+
			"work %g ms, objective %g ms, timeout %g ms\n",
			op.Name, op.Value, op.Priority, op.Share,
			milliseconds(op.Work), milliseconds(op.Objective), milliseconds(op.Timeout))
	}
	for _, fault := range s.Faults {
		fmt.Fprintf(b, "    fault %v at %g s for %g s\n", fault.Kind, fault.At.Seconds(), fault.Duration.Seconds())
	}
}

func milliseconds(m monotime.Micros) float64 { return float64(m) / float64(monotime.Millisecond) }

// Facts is the summary of an experiment that is printed as JSON.
type Facts struct {
	Name        string    `json:"name"`
	Scenarios   []string  `json:"scenarios"`
	Policies    []string  `json:"policies"`
	Seeds       []uint64  `json:"seeds"`
	SweptField  string    `json:"over,omitempty"`
	SweptValues []float64 `json:"values,omitempty"`
	Runs        int       `json:"runs"`
}

// Facts returns the summary of an experiment. Runs is zero if Cells fails, which Parse and Sweep rule out.
func (x *Experiment) Facts() Facts {
	cells, _ := x.Cells()
	facts := Facts{
		Name:        x.Name,
		Seeds:       x.Seeds,
		SweptField:  x.SweptField,
		SweptValues: x.SweptValues,
		Runs:        len(cells),
	}
	for i := range x.Scenarios {
		facts.Scenarios = append(facts.Scenarios, x.Scenarios[i].Name)
	}
	for i := range x.Policies {
		facts.Policies = append(facts.Policies, x.Policies[i].Name)
	}
	return facts
}
