package experiment

import (
	"fmt"
	"strconv"
	"strings"

	"milletbarrow/internal/simulation"
)

// Sweep replaces what the file sweeps, by NAME=VALUE,VALUE... The error is a *SweepError, or that of Cells.
func (x *Experiment) Sweep(text string) error {
	name, list, ok := strings.Cut(text, "=")
	if !ok {
		return &SweepError{Text: text, Wanted: "NAME=VALUE,VALUE"}
	}
	x.SweptField, x.SweptValues = name, nil
	for _, w := range strings.Split(list, ",") {
		v, err := strconv.ParseFloat(w, 64)
		if err != nil {
			return &SweepError{Text: w, Wanted: "a number"}
		}
		x.SweptValues = append(x.SweptValues, v)
	}
	_, err := x.Cells()
	return err
}

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

// Row is one line of an experiment's table: all days of one scenario, swept value and policy.
type Row struct {
	Scenario       string   `json:"scenario"`
	SweptValue     float64  `json:"at"`
	Policy         string   `json:"policy"`
	BilledShare    Estimate `json:"value"`
	Attempts       float64  `json:"attempts"`
	WastedMicros   float64  `json:"wasted_us"`
	BreachesByRule [5]int   `json:"rules"`
	FirstBreach    string   `json:"first_breach,omitempty"`
}

// BreachCount returns the number of breaches.
func (r *Row) BreachCount() (n int) {
	for _, c := range r.BreachesByRule {
		n += c
	}
	return n
}

// BreachSummary says which rules were broken and how often; "-" where all were kept.
func (r *Row) BreachSummary() string {
	var words []string
	for rule, n := range r.BreachesByRule {
		if n > 0 {
			words = append(words, fmt.Sprintf("%d: %d times", rule, n))
		}
	}
	if len(words) == 0 {
		return "-"
	}
	return strings.Join(words, ", ")
}

// Summary returns the table of an experiment, in the order of its cells. Results are in the same order; a missing one
// is nil.
func Summary(cells []Cell, results []*simulation.Result) (rows []Row) {
	type at struct {
		scenario, policy string
		value            float64
	}
	places := map[at]int{}
	values := map[int][]float64{}
	for i, c := range cells {
		r := results[i]
		if r == nil {
			continue
		}
		k := at{c.Scenario.Name, c.Policy.Name, c.SweptValue}
		n, ok := places[k]
		if !ok {
			n = len(rows)
			places[k] = n
			rows = append(rows, Row{Scenario: k.scenario, SweptValue: k.value, Policy: k.policy})
		}
		row := &rows[n]
		values[n] = append(values[n], r.Value())
		row.Attempts += float64(r.Attempts) / max(1, float64(r.Requests))
		row.WastedMicros += r.WastedMicros / max(1, float64(r.Requests))
		for rule, broken := range r.BreachesByRule {
			row.BreachesByRule[rule] += broken
		}
		if len(r.Breaches) > 0 && row.FirstBreach == "" {
			row.FirstBreach = fmt.Sprintf("seed %d: %v", c.Seed, r.Breaches[0])
		}
	}
	for n := range rows {
		rows[n].BilledShare = Bootstrap(values[n])
		rows[n].Attempts /= float64(len(values[n]))
		rows[n].WastedMicros /= float64(len(values[n]))
	}
	return rows
}
